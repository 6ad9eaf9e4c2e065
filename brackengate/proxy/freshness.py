"""Until when what this proxy holds was all that had been acknowledged.  Pure.

A serving replica says with each heartbeat an index and a time of its own steady clock: everything that was
acknowledged by then is in force at that index.  To say when that was by this proxy's clock, a time of this
proxy goes to the replica and back: the replica's clock showed `theirs` no earlier than this one showed
`ours`.  So a time of the replica's is never taken for later than it was, however long a heartbeat lay in a
queue.  Microseconds of clocks that never step.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

NEVER = -(2**60)
MAX_DRIFT_DIVISOR = 1_000  # one part in so many: how far two steady clocks may run apart
MAX_PENDING = 64


@dataclass
class ClockOffset:
    """From one replica's clock to this one, at the least."""

    _offset: int | None = None
    _measured_at: int = 0  # when, by this clock

    def add_exchange(self, local: int, remote: int, now: int) -> None:
        """The replica's clock showed `theirs`, no earlier than this one showed `ours`."""
        offset = local - remote
        if self._offset is None or offset > self._offset - self._drift(now):
            self._offset, self._measured_at = offset, now

    def to_local(self, remote: int, now: int) -> int:
        """A time of this clock at which the replica's did not show more than `theirs`; NEVER: not known."""
        return remote + self._offset - self._drift(now) if self._offset is not None else NEVER

    def _drift(self, now: int) -> int:
        return (now - self._measured_at) // MAX_DRIFT_DIVISOR


@dataclass
class ConfigFreshness:
    """`as_of`: everything that was acknowledged by then is in force here."""

    as_of: int = NEVER
    index: int = -1  # that is in force here
    _pending: deque[tuple[int, int]] = field(default_factory=deque)  # index, and as of when

    def heartbeat(self, index: int, as_of: int) -> None:
        """Everything that was acknowledged by `as_of` of this clock is in force at `index`."""
        if index <= self.index:
            self.as_of = max(self.as_of, as_of)
            return
        self._pending.append((index, as_of))
        if len(self._pending) > MAX_PENDING:
            self._pending.popleft()

    def index_applied(self, index: int) -> None:
        """That index is in force here."""
        self.index = max(self.index, index)
        still_pending = deque[tuple[int, int]]()
        for pending_index, as_of in self._pending:
            if pending_index <= self.index:
                self.as_of = max(self.as_of, as_of)
            else:
                still_pending.append((pending_index, as_of))
        self._pending = still_pending

    def is_current(self, now: int, max_age: int) -> bool:
        """Whether all that was acknowledged `within` ago is in force here."""
        return now - self.as_of <= max_age
