"""The ages of idempotency keys, derived from the log index at given times, to find expired keys.  Pure.

A row whose index is not above that of a mark was written before the mark's time.  So a few dozen marks give
the ages of all keys, whatever their number.  Times are of a monotonic clock, as the time of day jumps.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from brackengate.control.rows import BUCKETS, KEY_KIND, CommittedRows

MARKS_PER_WINDOW = 16
SCAN_BYTES = 1 << 20  # of rows, in one step of the scan


@dataclass
class KeyAges:
    """Tracks key ages.  `window`: how long a key may be repeated; keys are kept for twice as long."""

    window: int  # microseconds
    marks: deque[tuple[int, int]] = field(default_factory=deque)  # time, log index
    cutoff: int = -1  # keys with rows up to this index are expired
    bucket: int = BUCKETS  # the next one to scan; BUCKETS: the scan is complete

    def record(self, now: int, index: int) -> None:
        """Adds a mark for the current log index, if it changed and the last mark is old enough."""
        if self.marks:
            at, held = self.marks[-1]
            if index == held or now - at < self.window // MARKS_PER_WINDOW:
                return
        self.marks.append((now, index))

    def expired_keys(self, rows: CommittedRows, now: int, max_keys: int) -> list[str]:
        """Some of the expired keys, not many more than `max_keys`; the next call continues the scan."""
        while self.marks and now - self.marks[0][0] > 2 * self.window:
            index = self.marks.popleft()[1]
            if index > self.cutoff:
                self.cutoff = index
                self.bucket = self.bucket if self.scanning else 0
        found: list[str] = []
        scanned_bytes = 0
        while self.scanning and len(found) < max_keys and scanned_bytes < SCAN_BYTES:
            scanned_bytes += len(rows.buckets.get(self.bucket, b""))
            found += rows.names_up_to(self.bucket, KEY_KIND, self.cutoff)
            self.bucket += 1
        return found

    @property
    def scanning(self) -> bool:
        """Whether a scan for expired keys is incomplete."""
        return self.bucket < BUCKETS
