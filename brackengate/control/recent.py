"""The last committed entries, bounded in number and bytes, for replicas and followers that lag behind.

Pure.  An entry is kept as JSON, which costs a fifth of what it costs as objects.

The range of log indexes that is covered is kept beside the entries.  A log that moves on without its entries
leaves a gap here, and whoever lags is then sent a copy instead of entries with a part missing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from brackengate.protocol.messages import Entry

_decode: Callable[[bytes], Entry] = msgspec.json.Decoder(Entry).decode


@dataclass
class RecentEntries:
    """Every relevant entry after index `start`, up to and including index `end`, is held."""

    max_entries: int
    max_bytes: int
    start: int = 0
    end: int = 0
    encoded: deque[tuple[int, bytes]] = field(default_factory=deque)
    size: int = 0

    def __post_init__(self) -> None:
        self.end = max(self.start, self.end)

    def reset(self, index: int) -> None:
        """Drops all entries; the next ones follow this index."""
        self.encoded.clear()
        self.start, self.end, self.size = index, index, 0

    def add(self, entry: Entry) -> None:
        """Adds the newest entry and drops the oldest ones beyond the bounds."""
        self.end = entry.index
        data = msgspec.json.encode(entry)
        self.encoded.append((entry.index, data))
        self.size += len(data)
        while len(self.encoded) > self.max_entries or self.size > self.max_bytes:
            self.start, old = self.encoded.popleft()
            self.size -= len(old)

    def extend_to(self, index: int) -> None:
        """Records that no relevant entry stands between the newest one and this index."""
        self.end = index

    def covers(self, index: int, until: int) -> bool:
        """Whether all entries after `index`, up to and including `until`, are held."""
        return self.start <= index and until <= self.end

    def after(self, index: int, max_entries: int, max_bytes: int) -> tuple[tuple[Entry, ...], bool]:
        """The next entries within the bounds, at least one if there are any, and whether these are all."""
        found: list[Entry] = []
        size = 0
        for _, data in self._encoded_after(index):
            if found and (len(found) >= max_entries or size + len(data) > max_bytes):
                return tuple(found), False
            found.append(_decode(data))
            size += len(data)
        return tuple(found), True

    def all_between(self, index: int, until: int) -> list[Entry] | None:
        """All entries after `index` up to the newest one, at `until`; None if some are not held."""
        if not self.covers(index, until):
            return None
        return [_decode(data) for _, data in self._encoded_after(index)]

    def _encoded_after(self, index: int) -> list[tuple[int, bytes]]:
        """Searched from the newest entry: a close follower lacks only few."""
        found = []
        for one in reversed(self.encoded):
            if one[0] <= index:
                break
            found.append(one)
        found.reverse()
        return found
