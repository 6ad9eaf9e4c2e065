"""How old the keys are, by the log index that stood at a time: keys that nobody may repeat any more.  Pure.

A row whose index is not above that of a mark was written before the mark's time.  So the ages of all keys
take a few dozen marks, whatever their number; by a steady clock, as the time of day jumps.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from brackengate.control.rows import BUCKETS, KEY_KIND, CommittedRows

MARKS_PER_WINDOW = 16  # for each window
SCAN_BYTES = 1 << 20  # of rows that one step looks through


@dataclass
class KeyAges:
    """`window`: how long a key may be repeated.  Keys are kept for twice as long."""

    window: int
    marks: deque[tuple[int, int]] = field(default_factory=deque)  # time, log index
    cutoff: int = -1  # keys with rows up to this index are too old
    bucket: int = BUCKETS  # where the look through the rows goes on; BUCKETS: it is done

    def record(self, now: int, index: int) -> None:
        if self.marks:
            at, held = self.marks[-1]
            if index == held or now - at < self.window // MARKS_PER_WINDOW:
                return
        self.marks.append((now, index))

    def expired_keys(self, rows: CommittedRows, now: int, max_keys: int) -> list[str]:
        """Some of the keys that are too old, and not many more than `most`; the next call looks further."""
        while self.marks and now - self.marks[0][0] > 2 * self.window:
            index = self.marks.popleft()[1]
            if index > self.cutoff:
                self.cutoff = index
                self.bucket = self.bucket if self.scanning else 0
        found: list[str] = []
        seen = 0
        while self.scanning and len(found) < max_keys and seen < SCAN_BYTES:
            seen += len(rows.buckets.get(self.bucket, b""))
            found += rows.names_up_to(self.bucket, KEY_KIND, self.cutoff)
            self.bucket += 1
        return found

    @property
    def scanning(self) -> bool:
        return self.bucket < BUCKETS
