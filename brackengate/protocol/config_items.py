"""The operator's items: routes, services (plants) and limits, each under a version of its own.  Pure.

A call is read whole before anything of it counts; `InvalidConfig` says which item and what is wrong with it.
"""

from __future__ import annotations

import re
from collections.abc import Generator, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

import msgspec

from brackengate.installation.units import duration

MINUTE_US = 60_000_000
REVISION_PATTERN = re.compile(r"r([0-9]{1,18})")
SIGNAL_KINDS = ("idempotent", "effectful", "keyed")

_NESTING = (dict, list)
MAX_BODY_DEPTH = 32  # of an item's body; deeper ones could be taken and then not be written
ROUTES_PER_SLICE = 200  # that are read in one step

ItemName = tuple[str, str]  # kind of item, name of item


class InvalidConfig(Exception):
    """A configuration that must not be in force, in any part."""


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item under one version.  `body`: as it was sent; None: dropped."""

    version: int
    host: str = ""  # of a route
    body: dict[str, Any] | None = None


NamedItem = tuple[ItemName, Item]


class WeightedService(msgspec.Struct, frozen=True):
    """A service among those that a route goes to, and its weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A route as pilots use it; times in microseconds."""

    name: str
    host: str
    prefix: str
    kind: str
    cutoff: int
    setpoint: int
    priority: int
    services: tuple[WeightedService, ...]
    attempts: int


class Service(msgspec.Struct, frozen=True):
    name: str
    health: str
    connections: int
    deduplicates: bool


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """What one call sets and drops.  A name may be set under one version and dropped under another.

    `routes`: those that it sets, as they were read, by name.
    """

    items: tuple[NamedItem, ...] = ()
    routes: Mapping[str, Route] = field(default_factory=dict)

    def __iter__(self) -> Iterator[NamedItem]:
        return iter(self.items)


class _WireSplit(msgspec.Struct, rename="pascal"):
    plant: str
    gain: float


class _WireRoute(msgspec.Struct, rename="pascal"):
    name: str
    path_prefix: str
    signal_kind: str
    cutoff: str
    revision: str
    setpoint: str | None = None
    priority: int = 0
    plant: str | None = None
    split: list[_WireSplit] | None = None
    max_attempts: int = 1


class _WireService(msgspec.Struct, rename="pascal"):
    name: str
    revision: str
    health_path: str = "/health"
    conn_limit: int = 0
    deduplicates: bool = False


class _WireLimits(msgspec.Struct, rename="pascal"):
    revision: str


class _WireHost(msgspec.Struct, rename="pascal"):
    host: str
    paths: list[dict[str, Any]]


class _WireRemoval(msgspec.Struct, rename="pascal"):
    name: str
    revision: str


class _WireApply(msgspec.Struct, rename="pascal"):
    plants: list[dict[str, Any]] = []
    limits: dict[str, Any] | None = None
    hosts: list[_WireHost] = []


class _WireRemove(msgspec.Struct, rename="pascal"):
    routes: list[_WireRemoval] = []
    plants: list[_WireRemoval] = []


class _WireChange(msgspec.Struct, rename="pascal"):
    apply: _WireApply = msgspec.field(default_factory=_WireApply)
    remove: _WireRemove = msgspec.field(default_factory=_WireRemove)


def _version(text: str) -> int:
    found = REVISION_PATTERN.fullmatch(text)
    if found is None:
        raise InvalidConfig(f"a version is r and a number, not {text[:40]!r}")
    return int(found[1])


@lru_cache(1_024)
def _duration_us(text: str) -> int:
    """ValueError where it is none.  A configuration has few different ones."""
    return int(duration(text))


def parse_route(item: Item) -> Route:
    """Read a route's item; `InvalidConfig` where it can't be one."""
    try:
        it = msgspec.convert(item.body, _WireRoute)
    except msgspec.ValidationError as error:
        raise InvalidConfig(f"a route: {error}") from None
    try:
        return _validated_route(it, item.host)
    except ValueError as why:
        raise InvalidConfig(f"route {it.name[:40]!r}: {why}") from None


def _validated_route(it: _WireRoute, host: str) -> Route:
    """ValueError says what is wrong with it."""
    if not it.name or not host:
        raise ValueError("its name and its host must not be empty")
    if not it.path_prefix.startswith("/"):
        raise ValueError(f"PathPrefix must begin with a slash, not {it.path_prefix[:40]!r}")
    if it.signal_kind not in SIGNAL_KINDS:
        raise ValueError(f"SignalKind is one of {', '.join(SIGNAL_KINDS)}, not {it.signal_kind[:40]!r}")
    cutoff = _named_duration(it.cutoff, "Cutoff")
    setpoint = _named_duration(it.setpoint, "Setpoint") if it.setpoint is not None else cutoff
    if setpoint - cutoff >= MINUTE_US:
        raise ValueError("Setpoint is a minute or more above Cutoff")
    if it.max_attempts < 1:
        raise ValueError("MaxAttempts must be 1 or more")
    return Route(
        it.name,
        host.lower(),
        it.path_prefix,
        it.signal_kind,
        cutoff,
        setpoint,
        it.priority,
        _weighted_services(it),
        it.max_attempts,
    )


def _named_duration(text: str, name: str) -> int:
    try:
        return _duration_us(text)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from None


def _weighted_services(it: _WireRoute) -> tuple[WeightedService, ...]:
    if not it.split:
        if not it.plant:
            raise ValueError("it names no service")
        return (WeightedService(it.plant, 1.0),)
    parts = tuple(WeightedService(one.plant, one.gain) for one in it.split)
    if any(not one.weight >= 0 for one in parts):
        raise ValueError("a weight under 0")
    if sum(one.weight for one in parts) <= 0:
        raise ValueError("its weights add up to nothing")
    return parts


def parse_service(item: Item) -> Service:
    try:
        it = msgspec.convert(item.body, _WireService)
    except msgspec.ValidationError as error:
        raise InvalidConfig(f"a service: {error}") from None
    if not it.name:
        raise InvalidConfig("a service without a name")
    return Service(it.name, it.health_path, it.conn_limit, it.deduplicates)


def parse_change(body: bytes) -> ConfigChange:
    """All that one order sets and drops, each item checked alone; `InvalidConfig` where one is not sound."""
    reading = parse_in_slices(body)
    while True:
        try:
            next(reading)
        except StopIteration as end:
            order: ConfigChange = end.value
            return order


def parse_in_slices(body: bytes) -> Generator[None, None, ConfigChange]:
    """As `parse_change`, with a pause after each `ROUTES_PER_SLICE` routes; returns the order."""
    try:
        call: _WireChange = msgspec.json.decode(body, type=_WireChange)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidConfig(f"the call cannot be read: {error}") from None
    routes: list[tuple[Route, Item]] = []
    for one in _routes(call):
        routes.append(one)
        if len(routes) % ROUTES_PER_SLICE == 0:
            yield
    return _change(call, routes)


def _change(call: _WireChange, routes: list[tuple[Route, Item]]) -> ConfigChange:
    found: dict[tuple[ItemName, int], Item] = {}
    names: set[ItemName] = set()
    set_items = ((("route", read.name), item) for read, item in routes)
    for name, item in (*_services(call), *_limits(call), *set_items):
        if name in names:
            raise InvalidConfig(f"{name[0]} {name[1][:40]!r} stands twice in one call")
        names.add(name)
        found[name, item.version] = item
    for kind, dropped in (("route", call.remove.routes), ("plant", call.remove.plants)):
        for one in dropped:
            version = _version(one.revision)
            found.setdefault(((kind, one.name), version), Item(version))
    items = tuple((name, item) for (name, _), item in found.items())
    return ConfigChange(items, {read.name: read for read, _ in routes})


def _versioned_item(item: Item) -> Item:
    """With the version that its body names."""
    assert item.body is not None
    text = item.body.get("Revision")
    if not isinstance(text, str):
        raise InvalidConfig("an item's Revision is missing")
    if _nested_deeper_than(item.body, MAX_BODY_DEPTH):
        raise InvalidConfig(f"an item is nested more than {MAX_BODY_DEPTH} deep")
    return Item(_version(text), item.host, item.body)


def _nested_deeper_than(value: dict[str, Any] | list[Any], most: int) -> bool:
    if most == 0:
        return True
    for one in value.values() if isinstance(value, dict) else value:
        if isinstance(one, _NESTING) and _nested_deeper_than(one, most - 1):
            return True
    return False


def _services(call: _WireChange) -> Iterator[NamedItem]:
    for raw in call.apply.plants:
        item = Item(0, body=raw)
        yield ("plant", parse_service(item).name), _versioned_item(item)


def _limits(call: _WireChange) -> Iterator[NamedItem]:
    if call.apply.limits is not None:
        yield ("limits", ""), _versioned_item(Item(0, body=call.apply.limits))


def _routes(call: _WireChange) -> Iterator[tuple[Route, Item]]:
    places: dict[tuple[str, str], str] = {}
    for host in call.apply.hosts:
        if not host.host:
            raise InvalidConfig("a Host is empty")
        for raw in host.paths:
            item = Item(0, host.host, raw)
            read = parse_route(item)
            if places.setdefault((read.host, read.prefix), read.name) != read.name:
                raise InvalidConfig(f"two routes at {read.host}{read.prefix}")
            yield read, _versioned_item(item)


def config_document(items: Iterable[tuple[ItemName, Item]]) -> dict[str, Any]:
    """All items that stand, as the first call lays them out."""
    plants: list[dict[str, Any]] = []
    hosts: dict[str, list[dict[str, Any]]] = {}
    out: dict[str, Any] = {}
    for (kind, _), item in sorted(items, key=lambda one: one[0]):
        if item.body is None:
            continue
        if kind == "plant":
            plants.append(item.body)
        elif kind == "limits":
            out["Limits"] = item.body
        else:
            hosts.setdefault(item.host, []).append(item.body)
    return {
        "Plants": plants,
        **out,
        "Hosts": [{"Host": host, "Paths": paths} for host, paths in hosts.items()],
    }
