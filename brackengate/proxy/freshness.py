"""How stale the configuration of this proxy may be.  Pure.

Each heartbeat of a serving replica has a log index and a time of the replica's steady clock: everything that
was acknowledged by that time is in force at that index.  To convert the time to this proxy's clock, a
timestamp of the proxy travels to the replica and back: the replica's clock showed `remote` no earlier than
this one showed `local`.  So a converted time is never too late, however long a heartbeat was delayed in a
queue.  Times are microseconds of clocks that never step.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

NEVER = -(2**60)
MAX_DRIFT_DIVISOR = 1_000  # two steady clocks drift apart by at most one part in this many
MAX_PENDING = 64


@dataclass
class ClockOffset:
    """A lower bound of the difference between this clock and a replica's."""

    _offset: int | None = None
    _measured_at: int = 0  # by this clock

    def add_exchange(self, local: int, remote: int, now: int) -> None:
        """The replica's clock showed `remote`, no earlier than this one showed `local`."""
        offset = local - remote
        if self._offset is None or offset > self._offset - self._drift(now):
            self._offset, self._measured_at = offset, now

    def to_local(self, remote: int, now: int) -> int:
        """A time of this clock at which the replica's showed at most `remote`; NEVER: not known."""
        return remote + self._offset - self._drift(now) if self._offset is not None else NEVER

    def _drift(self, now: int) -> int:
        return (now - self._measured_at) // MAX_DRIFT_DIVISOR


@dataclass
class ConfigFreshness:
    """Tracks `as_of`: everything that was acknowledged by that time is in force here."""

    as_of: int = NEVER
    index: int = -1  # log index that is in force here
    _pending: deque[tuple[int, int]] = field(default_factory=deque)  # heartbeats: index, `as_of`

    def heartbeat(self, index: int, as_of: int) -> None:
        """Record that everything acknowledged by `as_of` of this clock is in force at `index`."""
        if index <= self.index:
            self.as_of = max(self.as_of, as_of)
            return
        self._pending.append((index, as_of))
        if len(self._pending) > MAX_PENDING:
            self._pending.popleft()

    def index_applied(self, index: int) -> None:
        """Record that `index` is in force here."""
        self.index = max(self.index, index)
        still_pending = deque[tuple[int, int]]()
        for pending_index, as_of in self._pending:
            if pending_index <= self.index:
                self.as_of = max(self.as_of, as_of)
            else:
                still_pending.append((pending_index, as_of))
        self._pending = still_pending

    def is_current(self, now: int, max_age: int) -> bool:
        """Whether everything that was acknowledged `max_age` ago is in force here."""
        return now - self.as_of <= max_age
