"""The gate beside an upstream: which requests may reach it, and which operation runs here.  Pure.

Only the pilot on its machine reaches an upstream, so what is turned away here reaches none: it has not run
and never will.  The gate knows the upstream's present life and state from its beats, whatever the core
knows. Times are microseconds of a steady clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from brackengate.protocol.messages import UpstreamReport

ADOPTED_INTERVALS = 1.5  # for so long what an earlier process knew holds without a beat
SILENT_AFTER_INTERVALS = 3.4  # an upstream that lets as many beats pass is taken for gone


@dataclass(slots=True)
class Heartbeat:
    """What an upstream says of itself."""

    id: str
    service: str
    state: str
    capacity: int
    warmup: int
    sequence: int
    zone: str = ""


class Admission:
    def __init__(self, zone: str, heartbeat_interval: int, drain_time: int, incarnation: str = "") -> None:
        """`every`: between two beats.  `drain`: for which a leaving upstream still takes requests at the
        most.  `life`: of this process."""
        self.zone, self._heartbeat_interval, self._drain_time, self.incarnation = (
            zone,
            heartbeat_interval,
            drain_time,
            incarnation,
        )
        self.heartbeat: Heartbeat | None = None
        self._last_heartbeat_at = 0
        self._ended_instances: set[str] = set()  # lives that have said that they end
        self._draining_since = 0
        self.leaving = False  # this process will end: callers are to look elsewhere
        self.closed = False  # this process ends: what is under way is let go on, and nothing new comes

    def receive_heartbeat(self, heartbeat: Heartbeat, now: int) -> bool:
        """Take a beat; False: a late one, or one of an earlier life, changes nothing."""
        current = self.heartbeat
        if heartbeat.id in self._ended_instances:
            return False
        if current is not None and current.id == heartbeat.id:
            if heartbeat.sequence <= current.sequence and current.sequence > 0:
                return False
            if current.state == "draining":
                heartbeat.state = "draining"  # there is no way back
        if heartbeat.state == "draining" and (
            current is None or current.id != heartbeat.id or current.state != "draining"
        ):
            self._draining_since = now
        if current is not None and current.id != heartbeat.id:
            self._ended_instances.add(current.id)
        self.heartbeat, self._last_heartbeat_at = heartbeat, now
        return True

    def adopt(self, known: UpstreamReport, now: int) -> None:
        """What the core last heard of this machine, until the first beat says what is.

        Guards against the time that a restarted pilot would turn everything away.  The upstream itself turns
        away what is for an earlier life.
        """
        if self.heartbeat is None and not self._ended_instances and known.state in ("ready", "away"):
            self.heartbeat = Heartbeat(known.id, known.service, "ready", known.capacity, 0, 0, known.zone)
            self._last_heartbeat_at = now - int(
                (SILENT_AFTER_INTERVALS - ADOPTED_INTERVALS) * self._heartbeat_interval
            )

    def remove_upstream(self, id_: str) -> None:
        self._ended_instances.add(id_)
        if self.heartbeat is not None and self.heartbeat.id == id_:
            self.heartbeat = None

    def has_ended(self, id_: str) -> bool:
        """Whether this life has said that it ends."""
        return id_ in self._ended_instances

    def is_silent(self, now: int) -> bool:
        """Whether it has missed beats for so long that it is taken for gone."""
        return (
            self.heartbeat is not None
            and now - self._last_heartbeat_at > SILENT_AFTER_INTERVALS * self._heartbeat_interval
        )

    def rejection_reason(self, wanted: str, now: int) -> str:
        """Why a request for this life of the upstream may not reach it; empty: it may."""
        heartbeat = self.heartbeat
        if heartbeat is None:
            return "nobody is known here"
        if self.closed:
            return "its pilot leaves"
        if heartbeat.sequence == 0 and self.is_silent(now):
            return "no beat has come yet"
        if wanted != heartbeat.id:
            return "another life"
        if heartbeat.state == "draining" and now - self._draining_since >= self._drain_time // 2:
            return "draining"
        return ""

    def report(self, now: int) -> UpstreamReport | None:
        """What the core should know; None: nothing yet."""
        heartbeat = self.heartbeat
        if heartbeat is None:
            return None
        state = "gone" if self.is_silent(now) else "away" if self.leaving else heartbeat.state
        zone = heartbeat.zone or self.zone
        return UpstreamReport(
            heartbeat.id,
            heartbeat.service,
            zone,
            state,
            heartbeat.capacity,
            heartbeat.warmup,
            self.incarnation,
        )


class OperationState(Enum):
    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"  # its answer is kept
    CLAIMED = "unrun"  # claimed here, and not run
    UNCLAIMED = "unclaimed"  # not run here; whether the claim stands is not known
    OUTCOME_UNKNOWN = "lost"  # it may have run, and nobody knows with which outcome
    ELSEWHERE = "elsewhere"  # another gate has it


@dataclass(slots=True, eq=False)
class Operation:
    """What is known here of one operation key."""

    key: str
    attempt: str  # the claim's
    state: OperationState
    claimed_at: int
    answer: object = None
    size: int = 0
    holder: str = ""  # the other gate
    waiters: list[object] = field(default_factory=list)


class OperationStore:
    """Bounded in time and bytes.  What is forgotten here is still claimed at the core: it never runs
    again."""

    def __init__(self, window: int, max_bytes: int) -> None:
        self._window, self._max_bytes = window, max_bytes
        self._operations: OrderedDict[str, Operation] = OrderedDict()
        self._bytes = 0

    def get(self, key: str, now: int) -> Operation | None:
        self._evict(now)
        operation = self._operations.get(key)
        if operation is not None and self._expired(operation, now):
            self.drop(operation)  # the core may have let its claim go: it is no longer ours to run under
            return None
        return operation

    def claim_expired(self, operation: Operation, now: int) -> bool:
        """Whether its claim is too old to run under.

        The core holds a claim for two windows from its making.  A run that begins in the second one would
        be guarded for less than a window.
        """
        return now - operation.claimed_at > self._window

    def begin(self, key: str, attempt: str, now: int) -> Operation:
        operation = self._operations[key] = Operation(key, attempt, OperationState.CLAIMING, now)
        return operation

    def restart_window(self, operation: Operation, now: int) -> None:
        """Its claim is gone at the core: what is claimed from here on is as old as that.

        It stays by name, since its next claim has to replace a sending of this one that comes late.
        """
        if self._operations.get(operation.key) is operation:
            operation.claimed_at = now
            self._operations.move_to_end(operation.key)

    def store_answer(self, operation: Operation, answer: object, size: int) -> None:
        operation.state, operation.answer, operation.size = OperationState.DONE, answer, size + 200
        if self._operations.get(operation.key) is operation:
            self._bytes += operation.size

    def drop(self, operation: Operation) -> None:
        if self._operations.get(operation.key) is operation:
            del self._operations[operation.key]
            self._bytes -= operation.size

    def __len__(self) -> int:
        return len(self._operations)

    def _evict(self, now: int) -> None:
        while self._operations:
            oldest = next(iter(self._operations.values()))
            if _in_progress(oldest) or not (self._expired(oldest, now) or self._bytes > self._max_bytes):
                return
            self.drop(oldest)

    def _expired(self, operation: Operation, now: int) -> bool:
        return not _in_progress(operation) and now - operation.claimed_at > 2 * self._window


def _in_progress(operation: Operation) -> bool:
    return operation.state in (OperationState.CLAIMING, OperationState.RUNNING)
