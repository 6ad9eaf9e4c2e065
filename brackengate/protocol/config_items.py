"""The operator's items: routes, services (plants) and limits, each under a version of its own.  Pure.

A call is read whole before anything of it counts; `Invalid` says which item and what is wrong with it.
"""

from __future__ import annotations

import re
from collections.abc import Generator, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any

import msgspec

from brackengate.installation.units import duration

MINUTE = 60_000_000
REVISION = re.compile(r"r([0-9]{1,18})")
KINDS = ("idempotent", "effectful", "keyed")

_NESTING = (dict, list)
MOST_DEPTH = 32  # of an item's body; deeper ones could be taken and then not be written
SLICE_ROUTES = 200  # that are read in one step

Name = tuple[str, str]  # kind of item, name of item


class Invalid(Exception):
    """A configuration that must not be in force, in any part."""


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One item under one version.  `body`: as it was sent; None: dropped."""

    version: int
    host: str = ""  # of a route
    body: dict[str, Any] | None = None


NamedItem = tuple[Name, Item]


class Part(msgspec.Struct, frozen=True):
    """A service among those that a route goes to, and its weight."""

    plant: str
    gain: float


class Route(msgspec.Struct, frozen=True):
    """A route as pilots use it; times in microseconds."""

    name: str
    host: str
    prefix: str
    kind: str
    cutoff: int
    setpoint: int
    priority: int
    parts: tuple[Part, ...]
    attempts: int


class Plant(msgspec.Struct, frozen=True):
    name: str
    health: str
    connections: int
    deduplicates: bool


@dataclass(frozen=True, slots=True)
class Order:
    """What one call sets and drops.  A name may be set under one version and dropped under another.

    `routes`: those that it sets, as they were read, by name.
    """

    items: tuple[NamedItem, ...] = ()
    routes: Mapping[str, Route] = field(default_factory=dict)

    def __iter__(self) -> Iterator[NamedItem]:
        return iter(self.items)


class _Split(msgspec.Struct, rename="pascal"):
    plant: str
    gain: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    path_prefix: str
    signal_kind: str
    cutoff: str
    revision: str
    setpoint: str | None = None
    priority: int = 0
    plant: str | None = None
    split: list[_Split] | None = None
    max_attempts: int = 1


class _Plant(msgspec.Struct, rename="pascal"):
    name: str
    revision: str
    health_path: str = "/health"
    conn_limit: int = 0
    deduplicates: bool = False


class _Limits(msgspec.Struct, rename="pascal"):
    revision: str


class _Host(msgspec.Struct, rename="pascal"):
    host: str
    paths: list[dict[str, Any]]


class _Dropped(msgspec.Struct, rename="pascal"):
    name: str
    revision: str


class _Apply(msgspec.Struct, rename="pascal"):
    plants: list[dict[str, Any]] = []
    limits: dict[str, Any] | None = None
    hosts: list[_Host] = []


class _Remove(msgspec.Struct, rename="pascal"):
    routes: list[_Dropped] = []
    plants: list[_Dropped] = []


class _Call(msgspec.Struct, rename="pascal"):
    apply: _Apply = msgspec.field(default_factory=_Apply)
    remove: _Remove = msgspec.field(default_factory=_Remove)


def _version(text: str) -> int:
    found = REVISION.fullmatch(text)
    if found is None:
        raise Invalid(f"a version is r and a number, not {text[:40]!r}")
    return int(found[1])


@lru_cache(1_024)
def _time(text: str) -> int:
    """ValueError where it is none.  A configuration has few different ones."""
    return int(duration(text))


def route(item: Item) -> Route:
    """Read a route's item; `Invalid` where it can't be one."""
    try:
        it = msgspec.convert(item.body, _Route)
    except msgspec.ValidationError as error:
        raise Invalid(f"a route: {error}") from None
    try:
        return _checked(it, item.host)
    except ValueError as why:
        raise Invalid(f"route {it.name[:40]!r}: {why}") from None


def _checked(it: _Route, host: str) -> Route:
    """ValueError says what is wrong with it."""
    if not it.name or not host:
        raise ValueError("its name and its host must not be empty")
    if not it.path_prefix.startswith("/"):
        raise ValueError(f"PathPrefix must begin with a slash, not {it.path_prefix[:40]!r}")
    if it.signal_kind not in KINDS:
        raise ValueError(f"SignalKind is one of {', '.join(KINDS)}, not {it.signal_kind[:40]!r}")
    cutoff = _named_time(it.cutoff, "Cutoff")
    setpoint = _named_time(it.setpoint, "Setpoint") if it.setpoint is not None else cutoff
    if setpoint - cutoff >= MINUTE:
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
        _parts(it),
        it.max_attempts,
    )


def _named_time(text: str, name: str) -> int:
    try:
        return _time(text)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from None


def _parts(it: _Route) -> tuple[Part, ...]:
    if not it.split:
        if not it.plant:
            raise ValueError("it names no service")
        return (Part(it.plant, 1.0),)
    parts = tuple(Part(one.plant, one.gain) for one in it.split)
    if any(not one.gain >= 0 for one in parts):
        raise ValueError("a weight under 0")
    if sum(one.gain for one in parts) <= 0:
        raise ValueError("its weights add up to nothing")
    return parts


def plant(item: Item) -> Plant:
    try:
        it = msgspec.convert(item.body, _Plant)
    except msgspec.ValidationError as error:
        raise Invalid(f"a service: {error}") from None
    if not it.name:
        raise Invalid("a service without a name")
    return Plant(it.name, it.health_path, it.conn_limit, it.deduplicates)


def read_call(body: bytes) -> Order:
    """All that one order sets and drops, each item checked on its own; `Invalid` where any is not sound."""
    reading = read_in_slices(body)
    while True:
        try:
            next(reading)
        except StopIteration as end:
            order: Order = end.value
            return order


def read_in_slices(body: bytes) -> Generator[None, None, Order]:
    """As `read_call`, with a pause after each `SLICE_ROUTES` routes; returns the order."""
    try:
        call: _Call = msgspec.json.decode(body, type=_Call)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Invalid(f"the call cannot be read: {error}") from None
    routes: list[tuple[Route, Item]] = []
    for one in _routes(call):
        routes.append(one)
        if len(routes) % SLICE_ROUTES == 0:
            yield
    return _order(call, routes)


def _order(call: _Call, routes: list[tuple[Route, Item]]) -> Order:
    found: dict[tuple[Name, int], Item] = {}
    names: set[Name] = set()
    set_items = ((("route", read.name), item) for read, item in routes)
    for name, item in (*_plants(call), *_limits(call), *set_items):
        if name in names:
            raise Invalid(f"{name[0]} {name[1][:40]!r} stands twice in one call")
        names.add(name)
        found[name, item.version] = item
    for kind, dropped in (("route", call.remove.routes), ("plant", call.remove.plants)):
        for one in dropped:
            version = _version(one.revision)
            found.setdefault(((kind, one.name), version), Item(version))
    items = tuple((name, item) for (name, _), item in found.items())
    return Order(items, {read.name: read for read, _ in routes})


def _sound(item: Item) -> Item:
    """With the version that its body names."""
    assert item.body is not None
    text = item.body.get("Revision")
    if not isinstance(text, str):
        raise Invalid("an item's Revision is missing")
    if _depth_over(item.body, MOST_DEPTH):
        raise Invalid(f"an item is nested more than {MOST_DEPTH} deep")
    return Item(_version(text), item.host, item.body)


def _depth_over(value: dict[str, Any] | list[Any], most: int) -> bool:
    if most == 0:
        return True
    for one in value.values() if isinstance(value, dict) else value:
        if isinstance(one, _NESTING) and _depth_over(one, most - 1):
            return True
    return False


def _plants(call: _Call) -> Iterator[NamedItem]:
    for raw in call.apply.plants:
        item = Item(0, body=raw)
        yield ("plant", plant(item).name), _sound(item)


def _limits(call: _Call) -> Iterator[NamedItem]:
    if call.apply.limits is not None:
        yield ("limits", ""), _sound(Item(0, body=call.apply.limits))


def _routes(call: _Call) -> Iterator[tuple[Route, Item]]:
    places: dict[tuple[str, str], str] = {}
    for host in call.apply.hosts:
        if not host.host:
            raise Invalid("a Host is empty")
        for raw in host.paths:
            item = Item(0, host.host, raw)
            read = route(item)
            if places.setdefault((read.host, read.prefix), read.name) != read.name:
                raise Invalid(f"two routes at {read.host}{read.prefix}")
            yield read, _sound(item)


def layout(items: Iterable[tuple[Name, Item]]) -> dict[str, Any]:
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
