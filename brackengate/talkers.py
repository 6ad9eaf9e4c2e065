"""Who asks most, in fixed memory: the space-saving summary (Metwally, Agrawal, El Abbadi 2005).  Pure.

A count is never under the true one, and over it by no more than its error; every key with more than a
`size`-th of all is in it.
"""

from __future__ import annotations

import heapq


class Talkers:
    def __init__(self, size: int = 128) -> None:
        self._size = size
        self._counts: dict[str, list[int]] = {}  # count, error
        self._heap: list[tuple[int, str]] = []  # lower bounds of counts, one a key
        self.total = 0

    def add(self, key: str, weight: int = 1) -> None:
        self.total += weight
        entry = self._counts.get(key)
        if entry is not None:
            entry[0] += weight
            return
        if len(self._counts) < self._size:
            self._counts[key] = [weight, 0]
            heapq.heappush(self._heap, (weight, key))
            return
        least, gone = self._least()
        del self._counts[gone]
        self._counts[key] = [least + weight, least]
        heapq.heapreplace(self._heap, (least + weight, key))

    def _least(self) -> tuple[int, str]:
        """The smallest count, at the heap's top.  Counts only grow, so an old entry is put right when met."""
        while True:
            told, key = self._heap[0]
            count = self._counts[key][0]
            if count == told:
                return count, key
            heapq.heapreplace(self._heap, (count, key))

    def at_least(self, key: str) -> int:
        """A count that the key's true one is not under; 0 where it is not held."""
        count, error = self._counts.get(key, (0, 0))
        return count - error

    def top(self, most: int = 20) -> list[tuple[str, int, int]]:
        """Key, count and error, the largest first."""
        rows = [(key, count, error) for key, (count, error) in self._counts.items()]
        return heapq.nlargest(most, rows, key=lambda row: (row[1], row[0]))
