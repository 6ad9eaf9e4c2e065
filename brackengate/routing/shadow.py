"""Routes that can never match: what an earlier one takes first, and what contradicts itself.  Pure.

Sound and not complete: what is named here surely never matches; a route that several earlier ones cover only
together is not found.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from brackengate.installation.schema import HeaderMatch, Route
from brackengate.interface import Idempotency


def never(routes: Sequence[Route], classes: Mapping[str, Idempotency]) -> list[tuple[int, str]]:
    """Number and why, for each route that can never match."""
    found = []
    for number, route in enumerate(routes):
        why = _contradiction(route, classes)
        if not why:
            for earlier in routes[:number]:
                if covers(earlier, route):
                    why = f"route {earlier.name!r} before it takes all that it would"
                    break
        if why:
            found.append((number, why))
    return found


def _contradiction(route: Route, classes: Mapping[str, Idempotency]) -> str:
    known = all(name in classes for name in route.class_)
    if route.class_ and known and route.method and not route.operation:
        kinds = {classes[name] for name in route.class_}
        reads = {"GET"} if Idempotency.REPEATABLE in kinds else set()
        writes = {"POST"} if kinds - {Idempotency.REPEATABLE} else set()
        # By GraphQL a class that is safe comes by POST too.
        if not set(route.method) & (reads | writes | {"POST"}):
            return f"its classes never come by {' or '.join(route.method)}"
    exact: dict[str, str] = {}
    for match in route.header:
        name = match.name.lower()
        if match.exact and not match.invert and exact.setdefault(name, match.exact) != match.exact:
            return f"header {match.name} would have to be two things at once"
    for match in route.header:
        value = exact.get(match.name.lower())
        if value is None:
            continue
        fits = value == match.exact if match.exact else value.startswith(match.prefix)
        if fits is match.invert:
            return f"header {match.name} can't be {value!r} and meet its other condition"
    return ""


def covers(one: Route, other: Route) -> bool:
    """Whether `one` fits wherever `other` does."""
    return (
        _path_covers(one, other)
        and all(
            _set_covers(getattr(one, name), getattr(other, name)) for name in ("method", "class_", "tenant")
        )
        and _set_covers(one.operation, other.operation)
        and (not one.host or _hosts_cover(one.host, other.host))
        and all(any(_implies(theirs, mine) for theirs in other.header) for mine in one.header)
    )


def _path_covers(one: Route, other: Route) -> bool:
    if one.path:
        return one.path == other.path
    return not one.prefix or (other.path or other.prefix).startswith(one.prefix)


def _set_covers(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    return not one or (bool(other) and set(other) <= set(one))


def _hosts_cover(one: tuple[str, ...], other: tuple[str, ...]) -> bool:
    if "*" in one:
        return True
    return bool(other) and all(any(_pattern_covers(a, b) for a in one) for b in other)


def _pattern_covers(one: str, other: str) -> bool:
    one, other = one.lower(), other.lower()
    if one == other:
        return True
    if one.startswith("*"):
        if other.startswith("*") or not other.endswith("*"):
            return len(other) >= len(one) and other.endswith(one[1:])
        return False
    if one.endswith("*") and not other.startswith("*"):
        return len(other) >= len(one) and other.startswith(one[:-1])
    return False


def _implies(theirs: HeaderMatch, mine: HeaderMatch) -> bool:
    """Whether a header that meets `theirs` always meets `mine`."""
    if theirs.name.lower() != mine.name.lower():
        return False
    if (theirs.exact, theirs.prefix, theirs.invert) == (mine.exact, mine.prefix, mine.invert):
        return True
    if theirs.invert or mine.invert:
        return False
    known = theirs.exact or theirs.prefix
    return known == mine.exact and bool(theirs.exact) if mine.exact else known.startswith(mine.prefix)
