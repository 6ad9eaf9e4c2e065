"""What differs between two snapshots, in meaning.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from brackengate.installation.schema import Pool, Upstream
from brackengate.snapshot.model import Snapshot

CAPS = ("max_connections", "max_requests")  # what a pool that runs can take; all else needs a new module


@dataclass(frozen=True, slots=True)
class Rows:
    """What happened to one pool's upstreams."""

    added: tuple[Upstream, ...] = ()
    changed: tuple[Upstream, ...] = ()
    removed: tuple[Upstream, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.added or self.changed or self.removed)


@dataclass(frozen=True, slots=True)
class Diff:
    added: tuple[str, ...] = ()  # pools
    removed: tuple[str, ...] = ()
    rebuilt: tuple[str, ...] = ()  # pools whose settings need a decision module of their own anew
    caps: tuple[str, ...] = ()
    rows: dict[str, Rows] = field(default_factory=dict)
    routes: bool = False  # any, or their order

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.rebuilt or self.caps or self.rows or self.routes)


def settings_of(pool: Pool) -> Pool:
    """What its decision module and connections are made with."""
    return msgspec.structs.replace(
        pool, upstream=(), from_discovery=False, kind="", max_connections=0, max_requests=0
    )


def compare(old: Snapshot, new: Snapshot) -> Diff:
    """From one to the other."""
    both = [name for name in new.pools if name in old.pools]
    rows = {}
    for name in both:
        if old.pools[name] is not new.pools[name] and (one := _rows(old.pools[name], new.pools[name])):
            rows[name] = one
    return Diff(
        added=tuple(name for name in new.pools if name not in old.pools),
        removed=tuple(name for name in old.pools if name not in new.pools),
        rebuilt=tuple(n for n in both if settings_of(old.pools[n]) != settings_of(new.pools[n])),
        caps=tuple(
            n for n in both if any(getattr(old.pools[n], c) != getattr(new.pools[n], c) for c in CAPS)
        ),
        rows=rows,
        routes=old.routes != new.routes,
    )


def _rows(old: Pool, new: Pool) -> Rows:
    before = {row.name: row for row in old.upstream}
    now = {row.name for row in new.upstream}
    return Rows(
        tuple(row for row in new.upstream if row.name not in before),
        tuple(row for row in new.upstream if row.name in before and row != before[row.name]),
        tuple(row for row in old.upstream if row.name not in now),
    )


def lines(old: Snapshot, new: Snapshot) -> list[str]:
    """For people: one change a line."""
    told, out = compare(old, new), list[str]()
    out += [f"+ pool {name}, {len(new.pools[name].upstream)} upstreams" for name in told.added]
    out += [f"- pool {name}, {len(old.pools[name].upstream)} upstreams" for name in told.removed]
    for name in new.pools:
        if name not in old.pools:
            continue
        one, other = old.pools[name], new.pools[name]
        for key in (f.name for f in msgspec.structs.fields(Pool) if f.name != "upstream"):
            if getattr(one, key) != getattr(other, key):
                out.append(f"~ pool {name}: {key} {getattr(one, key)} -> {getattr(other, key)}")
        rows = told.rows.get(name, Rows())
        before = {row.name: row for row in one.upstream}
        out += [f"+ upstream {name}/{row.name} {row.address} {row.state}" for row in rows.added]
        out += [f"- upstream {name}/{row.name} {row.address}" for row in rows.removed]
        for row in rows.changed:
            was = before[row.name]
            changes = [
                f"{f.name} {getattr(was, f.name)} -> {getattr(row, f.name)}"
                for f in msgspec.structs.fields(Upstream)
                if getattr(was, f.name) != getattr(row, f.name)
            ]
            out.append(f"~ upstream {name}/{row.name}: {', '.join(changes)}")
    was_routes = {route.name: route for route in old.routes}
    now_routes = {route.name: route for route in new.routes}
    out += [f"+ route {name}" for name in now_routes if name not in was_routes]
    out += [f"- route {name}" for name in was_routes if name not in now_routes]
    for name, route in now_routes.items():
        was_route = was_routes.get(name)
        if was_route is not None and was_route != route:
            changes = [
                f"{f.encode_name} {getattr(was_route, f.name)!r} -> {getattr(route, f.name)!r}"
                for f in msgspec.structs.fields(type(route))
                if getattr(was_route, f.name) != getattr(route, f.name)
            ]
            out.append(f"~ route {name}: {', '.join(changes)}")
    kept = [name for name in now_routes if name in was_routes]
    if kept != [name for name in was_routes if name in now_routes]:
        out.append(f"~ order of routes: {', '.join(kept)}")
    return out
