"""The operator's configuration items: routes, services (`Plants`) and limits, each with a version.  No I/O.

A configuration document is parsed completely before any of it takes effect; `InvalidConfig` names the item
and what is wrong with it.  The error texts are sent to the operator.
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

_CONTAINERS = (dict, list)
MAX_BODY_DEPTH = 32  # of nested values in an item; deeper ones might be accepted and then fail to encode
ROUTES_PER_SLICE = 200  # parsed in one step

ItemName = tuple[str, str]  # kind of item, name of item


class InvalidConfig(Exception):
    """The configuration change is invalid and must be rejected as a whole."""


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One version of an item.  `body` is the JSON object as received, None if the item is removed."""

    version: int
    host: str = ""  # for a route
    body: dict[str, Any] | None = None


NamedItem = tuple[ItemName, Item]


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services that a route forwards to, and its weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A parsed route, as proxies use it; times are microseconds."""

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
    """A parsed service: path of its health check, connection limit, and whether it deduplicates requests."""

    name: str
    health: str
    connections: int
    deduplicates: bool


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """The items that one configuration document sets and removes.

    A name may be set in one version and removed in another.  `routes` holds the parsed routes that it sets,
    by name.
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
    """Microseconds; ValueError if it is no duration.  Cached: a configuration has few different ones."""
    return int(duration(text))


def parse_route(item: Item) -> Route:
    """Parses the item of a route; `InvalidConfig` if it is not valid."""
    try:
        raw = msgspec.convert(item.body, _WireRoute)
    except msgspec.ValidationError as error:
        raise InvalidConfig(f"a route: {error}") from None
    try:
        return _validated_route(raw, item.host)
    except ValueError as why:
        raise InvalidConfig(f"route {raw.name[:40]!r}: {why}") from None


def _validated_route(raw: _WireRoute, host: str) -> Route:
    """The route; ValueError says what is wrong with it."""
    if not raw.name or not host:
        raise ValueError("its name and its host must not be empty")
    if not raw.path_prefix.startswith("/"):
        raise ValueError(f"PathPrefix must begin with a slash, not {raw.path_prefix[:40]!r}")
    if raw.signal_kind not in SIGNAL_KINDS:
        raise ValueError(f"SignalKind is one of {', '.join(SIGNAL_KINDS)}, not {raw.signal_kind[:40]!r}")
    cutoff = _named_duration(raw.cutoff, "Cutoff")
    setpoint = _named_duration(raw.setpoint, "Setpoint") if raw.setpoint is not None else cutoff
    if setpoint - cutoff >= MINUTE_US:
        raise ValueError("Setpoint is a minute or more above Cutoff")
    if raw.max_attempts < 1:
        raise ValueError("MaxAttempts must be 1 or more")
    return Route(
        raw.name,
        host.lower(),
        raw.path_prefix,
        raw.signal_kind,
        cutoff,
        setpoint,
        raw.priority,
        _weighted_services(raw),
        raw.max_attempts,
    )


def _named_duration(text: str, name: str) -> int:
    try:
        return _duration_us(text)
    except ValueError as error:
        raise ValueError(f"{name}: {error}") from None


def _weighted_services(raw: _WireRoute) -> tuple[WeightedService, ...]:
    if not raw.split:
        if not raw.plant:
            raise ValueError("it names no service")
        return (WeightedService(raw.plant, 1.0),)
    services = tuple(WeightedService(one.plant, one.gain) for one in raw.split)
    if any(not one.weight >= 0 for one in services):
        raise ValueError("a weight under 0")
    if sum(one.weight for one in services) <= 0:
        raise ValueError("its weights add up to nothing")
    return services


def parse_service(item: Item) -> Service:
    """Parses the item of a service; `InvalidConfig` if it is not valid."""
    try:
        raw = msgspec.convert(item.body, _WireService)
    except msgspec.ValidationError as error:
        raise InvalidConfig(f"a service: {error}") from None
    if not raw.name:
        raise InvalidConfig("a service without a name")
    return Service(raw.name, raw.health_path, raw.conn_limit, raw.deduplicates)


def parse_change(body: bytes) -> ConfigChange:
    """Parses a configuration document, each item by itself; `InvalidConfig` if one is not valid."""
    steps = parse_in_slices(body)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            change: ConfigChange = end.value
            return change


def parse_in_slices(body: bytes) -> Generator[None, None, ConfigChange]:
    """As `parse_change`, but yields after each `ROUTES_PER_SLICE` routes; returns the change."""
    try:
        document: _WireChange = msgspec.json.decode(body, type=_WireChange)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidConfig(f"the call cannot be read: {error}") from None
    routes: list[tuple[Route, Item]] = []
    for one in _routes(document):
        routes.append(one)
        if len(routes) % ROUTES_PER_SLICE == 0:
            yield
    return _change(document, routes)


def _change(document: _WireChange, routes: list[tuple[Route, Item]]) -> ConfigChange:
    found: dict[tuple[ItemName, int], Item] = {}
    names: set[ItemName] = set()
    set_items = ((("route", read.name), item) for read, item in routes)
    for name, item in (*_services(document), *_limits(document), *set_items):
        if name in names:
            raise InvalidConfig(f"{name[0]} {name[1][:40]!r} stands twice in one call")
        names.add(name)
        found[name, item.version] = item
    for kind, removals in (("route", document.remove.routes), ("plant", document.remove.plants)):
        for one in removals:
            version = _version(one.revision)
            found.setdefault(((kind, one.name), version), Item(version))
    items = tuple((name, item) for (name, _), item in found.items())
    return ConfigChange(items, {read.name: read for read, _ in routes})


def _versioned_item(item: Item) -> Item:
    """The item with the version that its body names; `InvalidConfig` if that or the nesting is not valid."""
    assert item.body is not None
    text = item.body.get("Revision")
    if not isinstance(text, str):
        raise InvalidConfig("an item's Revision is missing")
    if _nested_deeper_than(item.body, MAX_BODY_DEPTH):
        raise InvalidConfig(f"an item is nested more than {MAX_BODY_DEPTH} deep")
    return Item(_version(text), item.host, item.body)


def _nested_deeper_than(value: dict[str, Any] | list[Any], max_depth: int) -> bool:
    if max_depth == 0:
        return True
    for one in value.values() if isinstance(value, dict) else value:
        if isinstance(one, _CONTAINERS) and _nested_deeper_than(one, max_depth - 1):
            return True
    return False


def _services(document: _WireChange) -> Iterator[NamedItem]:
    for raw in document.apply.plants:
        item = Item(0, body=raw)
        yield ("plant", parse_service(item).name), _versioned_item(item)


def _limits(document: _WireChange) -> Iterator[NamedItem]:
    if document.apply.limits is not None:
        yield ("limits", ""), _versioned_item(Item(0, body=document.apply.limits))


def _routes(document: _WireChange) -> Iterator[tuple[Route, Item]]:
    name_by_location: dict[tuple[str, str], str] = {}
    for host in document.apply.hosts:
        if not host.host:
            raise InvalidConfig("a Host is empty")
        for raw in host.paths:
            item = Item(0, host.host, raw)
            read = parse_route(item)
            if name_by_location.setdefault((read.host, read.prefix), read.name) != read.name:
                raise InvalidConfig(f"two routes at {read.host}{read.prefix}")
            yield read, _versioned_item(item)


def config_document(items: Iterable[tuple[ItemName, Item]]) -> dict[str, Any]:
    """All items in force, in the layout of the operator's configuration document."""
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
