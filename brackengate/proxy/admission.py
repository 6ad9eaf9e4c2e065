"""The gate beside an upstream: which requests may reach it, and which operation runs here.  Pure.

Only the pilot on its machine reaches an upstream, so what is turned away here reaches none: it has not run
and never will.  The gate knows the upstream's present life and state from its beats, whatever the core
knows. Times are microseconds of a steady clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from brackengate.protocol.messages import Instance

ADOPTED_BEATS = 1.5  # for so long what an earlier process knew holds without a beat
SILENT_BEATS = 3.4  # an upstream that lets as many beats pass is taken for gone


@dataclass(slots=True)
class Beat:
    """What an upstream says of itself."""

    id: str
    plant: str
    state: str
    capacity: int
    warmup: int
    count: int
    zone: str = ""


class Gate:
    def __init__(self, zone: str, every: int, drain: int, life: str = "") -> None:
        """`every`: between two beats.  `drain`: for which a leaving upstream still takes requests at the
        most.  `life`: of this process."""
        self.zone, self._every, self._drain, self.life = zone, every, drain, life
        self.beat: Beat | None = None
        self._heard = 0
        self._left: set[str] = set()  # lives that have said that they end
        self._drains_since = 0
        self.leaving = False  # this process will end: callers are to look elsewhere
        self.closed = False  # this process ends: what is under way is let go on, and nothing new comes

    def heard(self, beat: Beat, now: int) -> bool:
        """Take a beat; False: a late one, or one of an earlier life, changes nothing."""
        held = self.beat
        if beat.id in self._left:
            return False
        if held is not None and held.id == beat.id:
            if beat.count <= held.count and held.count > 0:
                return False
            if held.state == "draining":
                beat.state = "draining"  # there is no way back
        if beat.state == "draining" and (held is None or held.id != beat.id or held.state != "draining"):
            self._drains_since = now
        if held is not None and held.id != beat.id:
            self._left.add(held.id)
        self.beat, self._heard = beat, now
        return True

    def adopt(self, known: Instance, now: int) -> None:
        """What the core last heard of this machine, until the first beat says what is.

        Guards against the time that a restarted pilot would turn everything away.  The upstream itself turns
        away what is for an earlier life.
        """
        if self.beat is None and not self._left and known.state in ("ready", "away"):
            self.beat = Beat(known.id, known.plant, "ready", known.capacity, 0, 0, known.zone)
            self._heard = now - int((SILENT_BEATS - ADOPTED_BEATS) * self._every)

    def leaves(self, id_: str) -> None:
        self._left.add(id_)
        if self.beat is not None and self.beat.id == id_:
            self.beat = None

    def ended(self, id_: str) -> bool:
        """Whether this life has said that it ends."""
        return id_ in self._left

    def silent(self, now: int) -> bool:
        """Whether it has missed beats for so long that it is taken for gone."""
        return self.beat is not None and now - self._heard > SILENT_BEATS * self._every

    def admits(self, wanted: str, now: int) -> str:
        """Why a request for this life of the upstream may not reach it; empty: it may."""
        beat = self.beat
        if beat is None:
            return "nobody is known here"
        if self.closed:
            return "its pilot leaves"
        if beat.count == 0 and self.silent(now):
            return "no beat has come yet"
        if wanted != beat.id:
            return "another life"
        if beat.state == "draining" and now - self._drains_since >= self._drain // 2:
            return "draining"
        return ""

    def report(self, now: int) -> Instance | None:
        """What the core should know; None: nothing yet."""
        beat = self.beat
        if beat is None:
            return None
        state = "gone" if self.silent(now) else "away" if self.leaving else beat.state
        zone = beat.zone or self.zone
        return Instance(beat.id, beat.plant, zone, state, beat.capacity, beat.warmup, self.life)


class State(Enum):
    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"  # its answer is kept
    UNRUN = "unrun"  # claimed here, and not run
    UNCLAIMED = "unclaimed"  # not run here; whether the claim stands is not known
    LOST = "lost"  # it may have run, and nobody knows with which outcome
    ELSEWHERE = "elsewhere"  # another gate has it


@dataclass(slots=True, eq=False)
class Operation:
    """What is known here of one operation key."""

    key: str
    attempt: str  # the claim's
    state: State
    since: int
    answer: object = None
    size: int = 0
    holder: str = ""  # the other gate
    waiters: list[object] = field(default_factory=list)


class Operations:
    """Bounded in time and bytes.  What is forgotten here is still claimed at the core: it never runs
    again."""

    def __init__(self, window: int, most_bytes: int) -> None:
        self._window, self._most = window, most_bytes
        self._held: OrderedDict[str, Operation] = OrderedDict()
        self._bytes = 0

    def get(self, key: str, now: int) -> Operation | None:
        self._trim(now)
        operation = self._held.get(key)
        if operation is not None and self._too_old(operation, now):
            self.drop(operation)  # the core may have let its claim go: it is no longer ours to run under
            return None
        return operation

    def outlived(self, operation: Operation, now: int) -> bool:
        """Whether its claim is too old to run under.

        The core holds a claim for two windows from its making.  A run that begins in the second one would
        be guarded for less than a window.
        """
        return now - operation.since > self._window

    def begin(self, key: str, attempt: str, now: int) -> Operation:
        operation = self._held[key] = Operation(key, attempt, State.CLAIMING, now)
        return operation

    def renew(self, operation: Operation, now: int) -> None:
        """Its claim is gone at the core: what is claimed from here on is as old as that.

        It stays by name, since its next claim has to replace a sending of this one that comes late.
        """
        if self._held.get(operation.key) is operation:
            operation.since = now
            self._held.move_to_end(operation.key)

    def keep(self, operation: Operation, answer: object, size: int) -> None:
        operation.state, operation.answer, operation.size = State.DONE, answer, size + 200
        if self._held.get(operation.key) is operation:
            self._bytes += operation.size

    def drop(self, operation: Operation) -> None:
        if self._held.get(operation.key) is operation:
            del self._held[operation.key]
            self._bytes -= operation.size

    def __len__(self) -> int:
        return len(self._held)

    def _trim(self, now: int) -> None:
        while self._held:
            oldest = next(iter(self._held.values()))
            if _busy(oldest) or not (self._too_old(oldest, now) or self._bytes > self._most):
                return
            self.drop(oldest)

    def _too_old(self, operation: Operation, now: int) -> bool:
        return not _busy(operation) and now - operation.since > 2 * self._window


def _busy(operation: Operation) -> bool:
    return operation.state in (State.CLAIMING, State.RUNNING)
