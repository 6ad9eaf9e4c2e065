"""Admission to the local upstream: which requests may reach it, and the operations that run here.  Pure.

Only the proxy on its machine can reach an upstream, so a request that is rejected here has not run and never
will.  The upstream's current incarnation and state come from its heartbeats, whatever the control replicas
know.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from brackengate.protocol.messages import UpstreamReport
from brackengate.proxy.hop_names import name_after_hop

# In heartbeat intervals:
ADOPTED_INTERVALS = 1.5  # an adopted instance row is valid for this long without a heartbeat
SILENT_AFTER_INTERVALS = 3.4  # without a heartbeat, after which an upstream counts as gone


@dataclass(slots=True)
class Heartbeat:
    """A heartbeat of an upstream: its identity and state.  `sequence`: rises with each one."""

    id: str
    service: str
    state: str
    capacity: int
    warmup: int
    sequence: int
    zone: str = ""


class Admission:
    """Tracks the upstream beside this proxy and decides which requests may reach it."""

    def __init__(self, zone: str, heartbeat_interval: int, drain_time: int, incarnation: str = "") -> None:
        """`heartbeat_interval`: between two heartbeats.  `drain_time`: the longest time for which a draining
        upstream still takes requests.  `incarnation`: of this process."""
        self.zone, self._heartbeat_interval, self._drain_time, self.incarnation = (
            zone,
            heartbeat_interval,
            drain_time,
            incarnation,
        )
        self.heartbeat: Heartbeat | None = None
        self._last_heartbeat_at = 0
        self._ended_instances: set[str] = set()  # incarnations that left or were replaced
        self._draining_since = 0
        self.leaving = False  # this process will end: callers should use other proxies
        self.closed = False  # this process ends: requests in flight finish, new ones are rejected

    def receive_heartbeat(self, heartbeat: Heartbeat, now: int) -> bool:
        """Record a heartbeat; False if it is ignored, as late or of an earlier incarnation."""
        current = self.heartbeat
        if heartbeat.id in self._ended_instances:
            return False
        if current is not None and current.id == heartbeat.id:
            if heartbeat.sequence <= current.sequence and current.sequence > 0:
                return False
            if current.state == "draining":
                heartbeat.state = "draining"  # draining is final
        if heartbeat.state == "draining" and (
            current is None or current.id != heartbeat.id or current.state != "draining"
        ):
            self._draining_since = now
        if current is not None and current.id != heartbeat.id:
            self._ended_instances.add(current.id)
        self.heartbeat, self._last_heartbeat_at = heartbeat, now
        return True

    def adopt(self, known: UpstreamReport, now: int) -> None:
        """Use the control plane's last row of this machine until the first heartbeat arrives.

        Without it, a restarted proxy would reject everything until then.  The upstream itself rejects
        requests for an earlier incarnation.
        """
        if self.heartbeat is None and not self._ended_instances and known.state in ("ready", "away"):
            self.heartbeat = Heartbeat(known.id, known.service, "ready", known.capacity, 0, 0, known.zone)
            self._last_heartbeat_at = now - int(
                (SILENT_AFTER_INTERVALS - ADOPTED_INTERVALS) * self._heartbeat_interval
            )

    def remove_upstream(self, id_: str) -> None:
        """The upstream has announced that this incarnation ends."""
        self._ended_instances.add(id_)
        if self.heartbeat is not None and self.heartbeat.id == id_:
            self.heartbeat = None

    def has_ended(self, id_: str) -> bool:
        """Whether this incarnation has left or was replaced."""
        return id_ in self._ended_instances

    def is_silent(self, now: int) -> bool:
        """Whether the upstream has missed heartbeats for so long that it counts as gone."""
        return (
            self.heartbeat is not None
            and now - self._last_heartbeat_at > SILENT_AFTER_INTERVALS * self._heartbeat_interval
        )

    def rejection_reason(self, wanted: str, now: int) -> str:
        """Why a request for this incarnation of the upstream may not reach it; empty: it may.

        `wanted`: the incarnation's id as `name_after_hop` gives it.
        """
        heartbeat = self.heartbeat
        if heartbeat is None:
            return "nobody is known here"
        if self.closed:
            return "its pilot leaves"
        if heartbeat.sequence == 0 and self.is_silent(now):
            return "no beat has come yet"
        if wanted != name_after_hop(heartbeat.id):
            return "another life"
        if heartbeat.state == "draining" and now - self._draining_since >= self._drain_time // 2:
            return "draining"
        return ""

    def report(self, now: int) -> UpstreamReport | None:
        """The row that the control plane should have of this machine; None: nothing is known yet."""
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
    """Progress of an operation at this proxy."""

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"  # its answer is kept
    CLAIMED = "unrun"  # claimed here, but not run
    UNCLAIMED = "unclaimed"  # not run here; not known whether a claim exists
    OUTCOME_UNKNOWN = "lost"  # it may have run, with an outcome that nobody knows
    ELSEWHERE = "elsewhere"  # another proxy holds the claim


@dataclass(slots=True, eq=False)
class Operation:
    """What is known here about one operation key."""

    key: str
    attempt: str  # identifies the claim
    state: OperationState
    claimed_at: int
    answer: object = None
    size: int = 0
    holder: str = ""  # the machine of the other proxy that holds the claim
    waiters: list[object] = field(default_factory=list)


class OperationStore:
    """Operations by key, bounded in time and bytes.

    What is evicted here is still claimed at the control plane, so it never runs again.
    """

    def __init__(self, window: int, max_bytes: int) -> None:
        self._window, self._max_bytes = window, max_bytes
        self._operations: OrderedDict[str, Operation] = OrderedDict()
        self._bytes = 0

    def get(self, key: str, now: int) -> Operation | None:
        """The operation of a key, unless it is not known or has expired."""
        self._evict(now)
        operation = self._operations.get(key)
        if operation is not None and self._expired(operation, now):
            self.drop(operation)  # the control plane may have dropped its claim: nothing may run under it
            return None
        return operation

    def claim_expired(self, operation: Operation, now: int) -> bool:
        """Whether its claim is too old to run under.

        The control plane holds a claim for two windows.  A run that begins in the second one would be
        protected for less than a window.
        """
        return now - operation.claimed_at > self._window

    def begin(self, key: str, attempt: str, now: int) -> Operation:
        """Add an operation whose key is about to be claimed."""
        operation = self._operations[key] = Operation(key, attempt, OperationState.CLAIMING, now)
        return operation

    def restart_window(self, operation: Operation, now: int) -> None:
        """Start the window again, as the control plane has released the claim.

        The operation stays in the store: its next claim names the released one, so that it replaces a copy
        of that claim's message that arrives late.
        """
        if self._operations.get(operation.key) is operation:
            operation.claimed_at = now
            self._operations.move_to_end(operation.key)

    def store_answer(self, operation: Operation, answer: object, size: int) -> None:
        """Mark an operation as done and keep its answer of `size` bytes for repeats."""
        operation.state, operation.answer, operation.size = OperationState.DONE, answer, size + 200
        if self._operations.get(operation.key) is operation:
            self._bytes += operation.size

    def drop(self, operation: Operation) -> None:
        """Remove an operation."""
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
