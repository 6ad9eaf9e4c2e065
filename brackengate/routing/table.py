"""The route table: the first route that fits, in a split the pool that a hash keeps a client at.  Pure."""

from __future__ import annotations

import hashlib
import heapq
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from brackengate.installation.schema import HeaderMatch, Route

REMEMBERED = 512  # paths whose candidates are kept; callers make paths up


@dataclass(slots=True)
class Traits:
    """What routes look at.  Header names are lower-case; of one that stands twice the last counts."""

    method: str = "GET"
    path: str = "/"
    host: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    class_name: str = ""
    tenant: str = ""
    operation: str = ""  # a GraphQL operation's name
    operation_type: str = ""  # "query" or "mutation"; empty where it is no GraphQL
    client: str = ""
    entity: str = ""
    request: str = ""


def host_fits(pattern: str, host: str) -> bool:
    """As in RFC 9110, 7.2, names are compared without case and port."""
    if pattern == "*":
        return True
    pattern = pattern.lower()
    if pattern.startswith("*"):
        return len(host) >= len(pattern) and host.endswith(pattern[1:])
    if pattern.endswith("*"):
        return len(host) >= len(pattern) and host.startswith(pattern[:-1])
    return host == pattern


def bare_host(value: str) -> str:
    """A Host header's name in lower case, without its port."""
    name, colon, port = value.lower().rpartition(":")
    return name if colon and port.isdigit() and not name.endswith(":") else value.lower()


def header_fits(match: HeaderMatch, headers: Mapping[str, str]) -> bool:
    value = headers.get(match.name.lower())
    if value is None:
        return match.invert
    fits = value == match.exact if match.exact else value.startswith(match.prefix)
    return fits is not match.invert


def fits(route: Route, traits: Traits) -> bool:
    """Whether every condition of a route holds."""
    return (
        (not route.path or route.path == traits.path)
        and (not route.prefix or traits.path.startswith(route.prefix))
        and (not route.class_ or traits.class_name in route.class_)
        and (not route.tenant or traits.tenant in route.tenant)
        and (not route.method or traits.method in route.method)
        and (not route.operation or _operation_fits(route.operation, traits))
        and (not route.host or any(host_fits(pattern, traits.host) for pattern in route.host))
        and all(header_fits(match, traits.headers) for match in route.header)
    )


def _operation_fits(operations: tuple[str, ...], traits: Traits) -> bool:
    if not traits.operation_type:
        return False
    return traits.operation in operations or f"type:{traits.operation_type}" in operations


def share(split: Mapping[str, int], salt: str, who: str) -> str:
    """The pool of a split for `who`, by weighted rendezvous hashing.

    Each pool draws a score from the hash of `who` and its own name, scaled by its weight, and the best wins:
    when a weight rises, clients only move to that pool, and when it falls, only away from it.
    """
    best, chosen = -math.inf, ""
    for pool, weight in split.items():
        if weight <= 0:
            continue
        raw = hashlib.blake2b(f"{salt}\0{pool}\0{who}".encode(), digest_size=8).digest()
        drawn = (int.from_bytes(raw, "big") + 0.5) / 2.0**64
        score = math.log(drawn) / weight  # the largest of weighted exponential draws
        if score > best or not chosen:
            best, chosen = score, pool
    return chosen


class RouteTable:
    """Routes in their order, with an index by the most selective condition of each.

    A route stands in one bucket, under each value that it allows; a look-up walks the buckets that its
    request names, merged by the order of routes, so a thousand routes cost as many as share those values.
    """

    def __init__(self, routes: Iterable[Route], version: str = "") -> None:
        self.routes, self.version = tuple(routes), version
        self._by: dict[str, dict[str, list[int]]] = {
            name: {} for name in ("path", "tenant", "operation", "class", "prefix")
        }
        self._rest: list[int] = []
        for number, route in enumerate(self.routes):
            kind, values = _selective(route)
            if not kind:
                self._rest.append(number)
            for value in set(values):
                self._by[kind].setdefault(value, []).append(number)
        self.headers = {match.name.lower().encode() for r in self.routes for match in r.header}  # looked at
        self._lengths = sorted({len(prefix) for prefix in self._by["prefix"]})
        self._paths: dict[str, list[list[int]]] = {}

    def _candidates(self, traits: Traits) -> Iterator[int]:
        by_path = self._paths.get(traits.path)
        if by_path is None:
            if len(self._paths) >= REMEMBERED:
                self._paths.clear()
            by_path = self._paths[traits.path] = self._of_path(traits.path)
        lists = list(by_path)
        for kind, value in (("tenant", traits.tenant), ("class", traits.class_name)):
            if some := self._by[kind].get(value):
                lists.append(some)
        if traits.operation_type:
            for value in {traits.operation, f"type:{traits.operation_type}"}:
                if some := self._by["operation"].get(value):
                    lists.append(some)
        return iter(lists[0] if len(lists) == 1 else heapq.merge(*lists))

    def _of_path(self, path: str) -> list[list[int]]:
        lists = [self._rest] if self._rest else []
        if path in self._by["path"]:
            lists.append(self._by["path"][path])
        for length in self._lengths:
            if some := self._by["prefix"].get(path[:length]) if length <= len(path) else None:
                lists.append(some)
        return lists

    def find(self, traits: Traits) -> Route | None:
        """The first route that fits; None where there is none."""
        for number in self._candidates(traits):
            if fits(self.routes[number], traits):
                return self.routes[number]
        return None

    def pool(self, traits: Traits) -> str:
        """The pool of the first route that fits; empty where none does, or that one has no pool."""
        route = self.find(traits)
        return "" if route is None else pool_of(route, traits)


def pool_of(route: Route, traits: Traits) -> str:
    """Where a route that fits sends a request."""
    if not route.split:
        return route.pool
    who = {
        "client": traits.client,
        "tenant": traits.tenant,
        "entity": traits.entity,
        "request": traits.request,
    }[route.by]
    return share(route.split, route.name, who or traits.request)


def _selective(route: Route) -> tuple[str, tuple[str, ...]]:
    if route.path:
        return "path", (route.path,)
    for kind, values in (("tenant", route.tenant), ("operation", route.operation)):
        if values:
            return kind, values
    if len(route.prefix) > 1:
        return "prefix", (route.prefix,)
    return ("class", route.class_) if route.class_ else ("", ())


def explain(table: RouteTable, traits: Traits) -> list[str]:
    """Why a request goes where it goes: for each route before the one that fits, a condition that failed."""
    out = list[str]()
    for route in table.routes:
        failed = _failed(route, traits)
        if not failed:
            pool = pool_of(route, traits)
            how = f"by {route.by}, of {', '.join(f'{p} {w}' for p, w in route.split.items())}"
            told = f"pool {pool}{f' ({how})' if route.split else ''}" if pool else "no pool: 404"
            return [*out, f"{route.name}: fits: {told}"]
        out.append(f"{route.name}: {failed}")
    return [*out, "no route fits: 404"]


def _failed(route: Route, traits: Traits) -> str:
    for field_name, value, allowed in (
        ("path", traits.path, (route.path,) if route.path else ()),
        ("class", traits.class_name, route.class_),
        ("tenant", traits.tenant, route.tenant),
        ("method", traits.method, route.method),
    ):
        if allowed and value not in allowed:
            return f"{field_name} is {value!r}, not {' or '.join(map(repr, allowed))}"
    if route.prefix and not traits.path.startswith(route.prefix):
        return f"path {traits.path!r} does not begin with {route.prefix!r}"
    if route.operation and not _operation_fits(route.operation, traits):
        what = traits.operation or traits.operation_type or "none"
        return f"operation is {what!r}, not {' or '.join(map(repr, route.operation))}"
    if route.host and not any(host_fits(pattern, traits.host) for pattern in route.host):
        return f"host is {traits.host!r}, not {' or '.join(map(repr, route.host))}"
    for match in route.header:
        if not header_fits(match, traits.headers):
            got = traits.headers.get(match.name.lower())
            return f"header {match.name} is {'missing' if got is None else repr(got)}"
    return ""
