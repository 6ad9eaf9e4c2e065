"""Upstreams of pools that come from discovery or a watched file, in place of a single node's list."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from brackengate.installation.schema import Upstream
from brackengate.interface import Endpoint, Lifecycle, ListKind
from brackengate.net.node import Clock
from brackengate.net.sockets import Address
from brackengate.snapshot.model import Snapshot, make

LONG_AGO = 1  # in a pool's row 0 means that nobody knows: an instance that starts would take all for cold


class Feed:
    """Keeps the list as last told, and lays it over the pools that ask for it."""

    def __init__(self, clock: Clock, changed: Callable[[int], None]) -> None:
        """`changed`: hears of each list, with its version."""
        self.clock, self._changed = clock, changed
        self._rows: dict[str, Upstream] = {}

    def update_upstreams(
        self, kind: ListKind, rows: Iterable[tuple[Endpoint, Address]], version: int = 0
    ) -> None:
        """Discovery's word, as a node would take it.  `CACHED` is what a start holds: nothing."""
        if kind in (ListKind.BROKEN, ListKind.CACHED):
            return
        if kind is ListKind.FULL:
            self._rows.clear()
        for endpoint, address in rows:
            if endpoint.state is Lifecycle.GONE:
                self._rows.pop(endpoint.upstream, None)
            else:
                self._rows[endpoint.upstream] = _row(endpoint, address)
        self._changed(version)

    def lay(self, snapshot: Snapshot) -> Snapshot:
        """The snapshot with the rows of discovery in its pools."""
        pools = dict(snapshot.pools)
        for name, pool in pools.items():
            if pool.from_discovery:
                rows = tuple(row for row in self._rows.values() if pool.kind in ("", row.kind))
                pools[name] = msgspec.structs.replace(pool, upstream=rows, from_discovery=False, kind="")
        return make(pools, snapshot.routes, snapshot.cells)


def _row(endpoint: Endpoint, address: Address) -> Upstream:
    host, port = address
    return Upstream(
        name=endpoint.upstream,
        address=f"[{host}]:{port}" if ":" in host else f"{host}:{port}",
        zone=endpoint.zone,
        kind=endpoint.kind,
        cell=endpoint.cell,
        weight=endpoint.weight,
        state="serving" if endpoint.state is Lifecycle.SERVING else "draining",
        since=endpoint.started_at or LONG_AGO,
    )
