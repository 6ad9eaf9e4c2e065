"""What a pilot follows: routes, services and upstreams, as rows with versions.  Pure.

All that is looked up is kept up with each row, so that a change costs its own size.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brackengate.protocol.config_items import (
    InvalidConfig,
    Item,
    Route,
    Service,
    WeightedService,
    parse_route,
    parse_service,
)
from brackengate.protocol.messages import ITEM_KINDS, Row, UpstreamReport


@dataclass(frozen=True, slots=True)
class ParsedItem:
    """An operator's item, read.  `read` None: dropped, or not to be followed."""

    item: Item
    parsed: Route | Service | None = None


def parse_item(kind: str, value: Any) -> ParsedItem:
    item = msgspec.convert(value, Item)
    if item.body is None or kind not in _PARSERS:
        return ParsedItem(item)
    try:
        return ParsedItem(item, _PARSERS[kind](item))
    except InvalidConfig:  # the lighthouses check; one that a newer program let in is not followed
        return ParsedItem(item)


_PARSERS: dict[str, Callable[[Item], Route | Service]] = {"route": parse_route, "plant": parse_service}


@dataclass(slots=True)
class ChangedNames:
    """What has changed since this was last asked."""

    routes: set[str] = field(default_factory=set)  # by name
    services: set[str] = field(default_factory=set)  # those whose upstreams did


class RoutingTable:
    """Never goes from a newer version of an item to an older one, whichever lighthouse says what."""

    def __init__(self) -> None:
        self.index = -1  # of the log of changes; -1: nothing is known yet
        self._items: dict[tuple[str, str], Item] = {}
        self.services: dict[str, Service] = {}
        self.instances: dict[str, UpstreamReport] = {}  # by machine
        self.suspects_by_watcher: dict[
            str, tuple[str, ...]
        ] = {}  # by watcher, the machines that it does not hear
        self._routes: dict[str, Route] = {}
        self._routes_by_host: dict[str, dict[str, Route]] = {}  # by host and prefix
        self._upstreams: dict[str, dict[str, UpstreamReport]] = {}  # those that are not gone, by service
        self._changed_names = ChangedNames()
        self.has_configuration = (
            False  # whether there is a whole configuration: without one, no request can be routed
        )

    def apply_snapshot(self, index: int, rows: Iterable[Row]) -> set[str]:
        """As `changes`, and what is not named is gone.  An older one than what is held is left alone."""
        if index < self.index:
            return set()
        return self.apply_changes(index, self.rows_with_removals(rows))

    def rows_with_removals(self, rows: Iterable[Row]) -> list[Row]:
        """The rows of a whole copy, and the removal of whatever stands here and is not named in it."""
        rows = list(rows)
        named = {(kind, name) for kind, name, _ in rows}
        gone: list[Row] = [("inst", name, None) for name in self.instances if ("inst", name) not in named]
        gone += [("silent", name, None) for name in self.suspects_by_watcher if ("silent", name) not in named]
        return [*rows, *gone]

    def apply_changes(self, index: int, rows: Iterable[Row]) -> set[str]:
        """Take rows up to a index; the kinds of what they changed."""
        changed: set[str] = set()
        if index <= self.index and self.index >= 0:
            return changed
        self.index = index
        changed = self.apply_rows(rows)
        self.has_configuration = bool(self._items)
        return changed

    def apply_rows(self, rows: Iterable[Row]) -> set[str]:
        """Rows of changes that are in force; the kinds of what they changed.

        Of items, a part may be taken at a time: the versions keep their order.
        """
        changed: set[str] = set()
        for kind, name, value in rows:
            if kind in ITEM_KINDS:
                if self._apply_item(
                    kind, name, value if isinstance(value, ParsedItem) else parse_item(kind, value)
                ):
                    changed.add(kind)
            elif kind == "inst":
                changed.add(kind)
                self._apply_instance(
                    name, msgspec.convert(value, UpstreamReport) if value is not None else None
                )
            elif kind == "silent":
                changed.add(kind)
                if value:
                    self.suspects_by_watcher[name] = tuple(value)
                else:
                    self.suspects_by_watcher.pop(name, None)
        return changed

    def take_changed_names(self) -> ChangedNames:
        changed_names, self._changed_names = self._changed_names, ChangedNames()
        return changed_names

    def _apply_instance(self, machine: str, now: UpstreamReport | None) -> None:
        before = self.instances.pop(machine, None)
        if before is not None:
            self._changed_names.services.add(before.service)
            self._upstreams.get(before.service, {}).pop(machine, None)
        if now is None:
            return
        self.instances[machine] = now
        self._changed_names.services.add(now.service)
        if now.state != "gone":
            self._upstreams.setdefault(now.service, {})[machine] = now

    def _set_route(self, name: str, now: Route | None) -> None:
        before = self._routes.pop(name, None)
        self._changed_names.routes.add(name)
        if before is not None:
            prefixes = self._routes_by_host[before.host]
            if prefixes.get(before.prefix) is before:  # another one may have come to its place
                del prefixes[before.prefix]
                if not prefixes:
                    del self._routes_by_host[before.host]
        if now is not None:
            self._routes[name] = now
            self._routes_by_host.setdefault(now.host, {})[now.prefix] = now

    def _apply_item(self, kind: str, name: str, one: ParsedItem) -> bool:
        held = self._items.get((kind, name))
        if held is not None and held.version >= one.item.version:
            return False
        self._items[kind, name] = one.item
        if kind == "route":
            self._set_route(name, one.parsed if isinstance(one.parsed, Route) else None)
        elif isinstance(one.parsed, Service):
            self.services[name] = one.parsed
        else:
            self.services.pop(name, None)
        return True

    def proxy_machines(self) -> list[str]:
        """The machines whose pilot has an upstream beside it."""
        return [machine for upstreams in self._upstreams.values() for machine in upstreams]

    def upstreams_of(self, service: str) -> Mapping[str, UpstreamReport]:
        """Those that are not gone, by machine."""
        return self._upstreams.get(service, {})

    def route(self, name: str) -> Route | None:
        return self._routes.get(name)

    def routes(self) -> Iterable[Route]:
        return self._routes.values()

    def find(self, host: str, path: str) -> Route | None:
        """Of the host's routes the one with the longest prefix that begins the path; prefixes end with a
        slash."""
        prefixes = self._routes_by_host.get(host, {})
        end = path.rfind("/") + 1
        while end > 0:
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None


def choose_service(parts: tuple[WeightedService, ...], at: float) -> str:
    """The service at a index between 0 and 1 of the weights laid side by side."""
    ends: list[float] = []
    total = 0.0
    for part in parts:
        total += part.weight
        ends.append(total)
    return parts[min(bisect.bisect_right(ends, at * total), len(parts) - 1)].service


def host_without_port(value: bytes) -> str:
    """The name in a Host header, without its port."""
    text = value.decode("latin-1").lower()
    name, colon, port = text.rpartition(":")
    return name if colon and port.isdigit() else text
