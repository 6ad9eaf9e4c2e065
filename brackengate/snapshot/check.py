"""What is wrong with a snapshot: every reason at once, each with its place.  Pure.

A snapshot is taken whole or not at all, so references between resources are checked here, for all sources
alike.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Collection
from functools import lru_cache

from brackengate.cells.check import map_faults
from brackengate.installation.schema import Pool, Route, Upstream
from brackengate.net.sockets import parse_address
from brackengate.snapshot.model import Snapshot

Key = tuple[str | int, ...]
Found = list[tuple[Key, str]]

MAX_POOLS, MAX_ROUTES, MAX_UPSTREAMS = 1_000, 10_000, 50_000  # of one snapshot
MAX_CONDITIONS = 64  # headers of one route; pools of one split
POOL = re.compile(r"[!-~]{1,128}")
HOST = re.compile(r"\*|(\*\.|\*-)?[A-Za-z0-9._:-]{1,253}|[A-Za-z0-9._-]{1,253}\.\*")
METHODS = ("GET", "POST")


def faults(snapshot: Snapshot, classes: Collection[str]) -> Found:
    """Every fault, each under the key that the installation file has for it."""
    found: Found = []
    rows = sum(len(pool.upstream) for pool in snapshot.pools.values())
    for what, count, most in (
        ("pool", len(snapshot.pools), MAX_POOLS),
        ("route", len(snapshot.routes), MAX_ROUTES),
        ("upstream", rows, MAX_UPSTREAMS),
    ):
        if count > most:
            found.append(((what,), f"{count} of them; {most} are allowed"))
    if found:
        return found  # what is too large is not looked through
    for name, pool in snapshot.pools.items():
        _pool(name, pool, found)
    names: set[str] = set()
    for i, route in enumerate(snapshot.routes):
        if route.name in names:
            found.append((("route", i, "name"), f"{route.name!r} stands twice"))
        names.add(route.name)
        _route(i, route, snapshot, classes, found)
    if snapshot.cells is not None:
        found += map_faults(snapshot.cells, snapshot.pools)
    if not snapshot.routes:
        found.append((("route",), "is missing: without routes nothing is answered"))
    return found


def tell(found: Found) -> list[str]:
    """Each fault in a line."""
    return [f"{'.'.join(map(str, key))}: {what}" for key, what in found]


def _pool(name: str, pool: Pool, found: Found) -> None:
    if not POOL.fullmatch(name):
        found.append((("pool", name), "a pool's name has 1 to 128 visible ASCII characters"))
    known = _CHECKED.get(id(pool.upstream))
    if known is None:
        known = _CHECKED[id(pool.upstream)] = (pool.upstream, _rows(pool.upstream))
        if len(_CHECKED) > MAX_CHECKED:
            del _CHECKED[next(iter(_CHECKED))]
    found += [(("pool", name, "upstream", *key), what) for key, what in known[1]]


# What was found of lists that are looked at again and again, by their identity; each is kept, so no other can
# have its identity.  Ten thousand rows take some milliseconds.
_CHECKED: dict[int, tuple[tuple[Upstream, ...], Found]] = {}
MAX_CHECKED = 64


def _rows(rows: tuple[Upstream, ...]) -> Found:
    found: Found = []
    addresses = {row.address for row in rows}
    if len({row.name for row in rows}) == len(addresses) == len(rows) and all(map(_address_does, addresses)):
        return found  # as nearly always
    by_name: set[str] = set()
    by_address: dict[str, str] = {}
    for i, row in enumerate(rows):
        key: Key = (i,)
        if row.name in by_name:
            found.append(((*key, "name"), f"{row.name!r} stands twice"))
        by_name.add(row.name)
        if row.address in by_address:
            other = by_address[row.address]
            found.append(((*key, "address"), f"{row.address} is also that of {other!r} ({row.name!r})"))
        by_address[row.address] = row.name
        if not _address_does(row.address):
            what = f"expected host:port with a numeric host, got {row.address!r}"
            found.append(((*key, "address"), what))
    return found


@lru_cache(1 << 16)  # the same ten thousand come again with each change of a hundred
def _address_does(text: str) -> bool:
    try:
        host, port = parse_address(text)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port > 0


def _route(i: int, route: Route, snapshot: Snapshot, classes: Collection[str], found: Found) -> None:
    key: Key = ("route", i)

    def fault(field: str, what: str) -> None:
        found.append(((*key, field), f"{what} (route {route.name!r})"))

    if route.pool and route.split:
        fault("split", "stands beside pool; one of the two is allowed")
    for pool in (*([route.pool] if route.pool else ()), *route.split):
        if pool not in snapshot.pools:
            fault("pool" if pool == route.pool else "split", f"names no pool: {pool!r}")
    if len(route.split) > MAX_CONDITIONS or len(route.header) > MAX_CONDITIONS:
        fault("split", f"more than {MAX_CONDITIONS} pools or headers")
    if route.split and not any(route.split.values()):
        fault("split", "all weights are 0")
    if route.path and route.prefix:
        fault("prefix", "stands beside path; one of the two is allowed")
    for field in ("path", "prefix"):
        text = getattr(route, field)
        if text and not (text.startswith("/") and text.isascii() and text.isprintable() and "?" not in text):
            fault(field, f"expected a path that begins with / and has no ?, got {text!r}")
    for method in route.method:
        if method not in METHODS:
            fault("method", f"{method!r} is not served; allowed: {', '.join(METHODS)}")
    for name in route.class_:
        if name not in classes:
            fault("class", f"names no class: {name!r}; allowed: {', '.join(classes)}")
    for host in route.host:
        if not HOST.fullmatch(host):
            fault("host", f"expected a name, *.name, name.* or *, got {host!r}")
    for n, header in enumerate(route.header):
        if header.exact and header.prefix:
            fault(f"header.{n}", "exact and prefix exclude each other")


def vanishing(old: Snapshot, new: Snapshot) -> list[str]:
    """Pools that the new one no longer has."""
    return [name for name in old.pools if name not in new.pools]
