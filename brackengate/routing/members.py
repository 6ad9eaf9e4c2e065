"""How old the upstreams of all pools are, and in what portions changes are told.  Pure.

A control service says which upstreams there are, seldom since when.  What stands in a pool's first list
counts as warm, as with a static list (unless `versions.new_pools` says cold); what comes later under a new
address as just started, and keeps that age under whichever name, pool or version it stands next.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

from brackengate.installation.schema import Upstream
from brackengate.installation.settings import listed
from brackengate.interface import Endpoint, Lifecycle
from brackengate.net.sockets import Address
from brackengate.snapshot.diff import Rows

SLICE = 16  # rows that the decision module takes in one turn of the loop, at the most
SLICE_WORK = 40_000  # rows of a slice times rows of the list: the module walks the list for each new row
KEPT = (
    60_000_000  # microseconds that an address keeps its age after it has left: a flapping list is no restart
)

Listed = tuple[Endpoint, Address]


class Ages:
    """When each address was first seen, in microseconds of the clock; 0: before this instance."""

    def __init__(self) -> None:
        self._since: dict[str, int] = {}
        self._left: dict[str, int] = {}

    def see(self, now: int, rows: Iterable[Upstream], first: bool = False) -> None:
        for row in rows:
            self._since.setdefault(row.address, 0 if first else now)
            self._left.pop(row.address, None)

    def left(self, now: int, rows: Iterable[Upstream]) -> None:
        """These are in no pool any more.  Their age is forgotten some time later."""
        for row in rows:
            self._left.pop(row.address, None)
            self._left[row.address] = now
        while self._left:
            address = next(iter(self._left))
            if now - self._left[address] < KEPT:
                break
            del self._left[address]
            self._since.pop(address, None)

    def __len__(self) -> int:
        return len(self._since)

    def row(self, row: Upstream) -> Listed:
        return listed(row, self._since.get(row.address, 0))


class Telling:
    """What one pool's decision module has yet to be told of its upstreams.

    Guards two things: the cutoff of those that leave does not wait for thousands that come, and the module's
    work on a list, which grows with the list for each new row, does not hold up the loop.
    """

    def __init__(self, ages: Ages) -> None:
        self._ages = ages
        self._told: set[str] = set()
        self._pending: dict[str, Upstream] = {}

    def take(self, rows: Rows) -> list[Listed]:
        """What is to be told at once: all that leave or drain.  The rest is got by `slice`."""
        urgent = list[Listed]()
        for row in rows.removed:
            self._pending.pop(row.name, None)
            if row.name in self._told:
                self._told.discard(row.name)
                urgent.append((Endpoint(row.name, state=Lifecycle.GONE), ("", 0)))
        for row in (*rows.changed, *rows.added):
            if row.state != "serving" and row.name in self._told:
                self._pending.pop(row.name, None)
                urgent.append(self._ages.row(row))
            else:
                self._pending[row.name] = row
        return urgent

    def slice(self, most: int = 0) -> list[Listed]:
        """The next rows, in the order in which they came; none when all are told."""
        most = most or max(1, min(SLICE, SLICE_WORK // (len(self._told) + 1)))
        names = list(itertools.islice(self._pending, most))
        self._told.update(names)
        return [self._ages.row(self._pending.pop(name)) for name in names]

    def known(self) -> int:
        """Upstreams that are told or about to be."""
        return len(self._told) + sum(name not in self._told for name in self._pending)

    def done(self) -> bool:
        return not self._pending
