"""The last committed entries, bounded in number and bytes: what whoever was away for a while has missed.

Pure.  An entry is kept as JSON, which costs a fifth of what it costs as objects.
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
    """`start`: every entry after this index is here, of those that are kept at all."""

    max_entries: int
    max_bytes: int
    start: int = 0
    held: deque[tuple[int, bytes]] = field(default_factory=deque)
    size: int = 0

    def begin(self, index: int) -> None:
        self.held.clear()
        self.start, self.size = index, 0

    def add(self, entry: Entry) -> None:
        data = msgspec.json.encode(entry)
        self.held.append((entry.index, data))
        self.size += len(data)
        while len(self.held) > self.max_entries or self.size > self.max_bytes:
            self.start, old = self.held.popleft()
            self.size -= len(old)

    def reaches(self, index: int) -> bool:
        """Whether whoever holds everything up to that index can go on with what is here."""
        return index >= self.start

    def after(self, index: int, max_entries: int, max_bytes: int) -> tuple[tuple[Entry, ...], bool]:
        """The next entries, one at least where there are any; and whether these are all."""
        found: list[Entry] = []
        size = 0
        for _, data in self._from(index):
            if found and (len(found) >= max_entries or size + len(data) > max_bytes):
                return tuple(found), False
            found.append(_decode(data))
            size += len(data)
        return tuple(found), True

    def all_after(self, index: int) -> list[Entry] | None:
        """None: some are gone."""
        return [_decode(data) for _, data in self._from(index)] if self.reaches(index) else None

    def _from(self, index: int) -> list[tuple[int, bytes]]:
        """From the back: whoever follows closely has missed little."""
        found = []
        for one in reversed(self.held):
            if one[0] <= index:
                break
            found.append(one)
        found.reverse()
        return found
