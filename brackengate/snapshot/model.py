"""A snapshot: all pools and routes of one version.  Plain data in the installation file's own form.

Sources that speak another form translate to this one, so that the same content gives the same snapshot and
the same digest, wherever it came from.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from brackengate.installation.schema import CellMap, Pool, Route


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """`pools` by name, in any order; `routes` in the order in which they are tried."""

    pools: dict[str, Pool] = {}
    routes: tuple[Route, ...] = ()
    cells: CellMap | None = None


class _Bare(msgspec.Struct, frozen=True, kw_only=True):
    """One without cells, as it was written before there were any: its digest stays the same."""

    pools: dict[str, Pool]
    routes: tuple[Route, ...]


EMPTY = Snapshot()
_ENCODER = msgspec.json.Encoder(order="deterministic", enc_hook=int)  # durations are whole microseconds
_DECODER: msgspec.json.Decoder[Snapshot] = msgspec.json.Decoder(
    Snapshot, dec_hook=lambda kind, value: kind(value)
)


def make(pools: Mapping[str, Pool], routes: Sequence[Route], cells: CellMap | None = None) -> Snapshot:
    """A snapshot in its one form: upstreams by name, so that order alone is no difference."""
    ordered = {}
    for name in sorted(pools):
        pool = pools[name]
        rows = tuple(sorted(pool.upstream, key=lambda row: row.name))
        ordered[name] = pool if rows == pool.upstream else msgspec.structs.replace(pool, upstream=rows)
    return Snapshot(pools=ordered, routes=tuple(routes), cells=cells)


def pools_of(routes: Iterable[Route]) -> set[str]:
    """The pools that routes refer to."""
    return {pool for route in routes for pool in (*([route.pool] if route.pool else ()), *route.split)}


def encode(snapshot: Snapshot) -> bytes:
    """JSON with sorted keys: equal snapshots give equal bytes."""
    bare = _Bare(pools=snapshot.pools, routes=snapshot.routes)
    return _ENCODER.encode(bare if snapshot.cells is None else snapshot)


def builtins(snapshot: Snapshot) -> dict[str, Any]:
    """The same as plain dicts and lists."""
    told: dict[str, Any] = msgspec.to_builtins(snapshot, enc_hook=int)
    if snapshot.cells is None:
        del told["cells"]
    return told


def decode(data: bytes) -> Snapshot:
    """The reverse of `encode`; ValueError (msgspec.ValidationError) where it is no snapshot."""
    return _DECODER.decode(data)


def digests(snapshot: Snapshot) -> tuple[str, str]:
    """Of the whole, and of its shape, without upstreams and cells: sixteen hexadecimal characters each."""
    pools = {name: msgspec.structs.replace(pool, upstream=()) for name, pool in snapshot.pools.items()}
    shape = msgspec.structs.replace(snapshot, pools=pools, cells=None)
    whole, rest = (hashlib.sha256(encode(one)).hexdigest()[:16] for one in (snapshot, shape))
    return whole, rest
