"""The operator's configuration items at the head, with indexes of routes by host and prefix and by service.

Pure.  With the indexes an order is checked only against what it affects, so that the cost depends on the size
of the order and not on that of the configuration.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field
from typing import Any, TypeVar

from brackengate.protocol.config_items import InvalidConfig, Item, ItemName, Route, parse_route

_Key = TypeVar("_Key")
RouteKey = tuple[str, str]  # host, prefix
NO_NAMES: frozenset[str] = frozenset()


@dataclass(eq=False)
class ItemIndex(Mapping[ItemName, Item]):
    """Items by kind and name, including deleted ones, which keep their versions."""

    _items: dict[ItemName, Item] = field(default_factory=dict)
    _routes: dict[str, Route] = field(default_factory=dict)  # that are not deleted
    _routes_by_key: dict[RouteKey, set[str]] = field(default_factory=dict)  # names of routes
    _routes_by_service: dict[str, set[str]] = field(
        default_factory=dict
    )  # names of routes, by the service they go to

    @classmethod
    def of(cls, items: Iterable[tuple[ItemName, Item]]) -> ItemIndex:
        """An index of these items."""
        index = cls()
        for name, item in items:
            index.put(name, item)
        return index

    def __getitem__(self, name: ItemName) -> Item:
        return self._items[name]

    def get(self, name: ItemName, default: Any = None) -> Any:
        """Same as `Mapping.get`, but without raising an exception internally for each unknown name."""
        return self._items.get(name, default)

    def __contains__(self, name: object) -> bool:
        return name in self._items

    def __iter__(self) -> Iterator[ItemName]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)

    def put(self, name: ItemName, item: Item, parsed_route: Route | None = None) -> None:
        """Adds or replaces an item.  `parsed_route`: the route that it sets, if already parsed."""
        self._items[name] = item
        if name[0] == "route":
            self._set_route(name[1], item, parsed_route)

    def clear(self) -> None:
        """Removes all items."""
        self._items.clear()
        self._routes.clear()
        self._routes_by_key.clear()
        self._routes_by_service.clear()

    def has_service(self, name: str) -> bool:
        """Whether a service of this name exists and is not deleted."""
        item = self._items.get(("plant", name))
        return item is not None and item.body is not None

    def routes_at(self, key: RouteKey) -> Set[str]:
        """The names of the routes with this host and prefix."""
        return self._routes_by_key.get(key, NO_NAMES)

    def routes_to(self, service: str) -> Set[str]:
        """The names of the routes that forward to this service."""
        return self._routes_by_service.get(service, NO_NAMES)

    def _set_route(self, name: str, item: Item, parsed_route: Route | None) -> None:
        previous = self._routes.pop(name, None)
        if previous is not None:
            _remove(self._routes_by_key, route_key(previous), name)
            for service in services_of(previous):
                _remove(self._routes_by_service, service, name)
        if item.body is None:
            return
        try:
            current = parsed_route or parse_route(item)
        except InvalidConfig:  # accepted by another version of the program: no proxy applies it
            return
        self._routes[name] = current
        self._routes_by_key.setdefault(route_key(current), set()).add(name)
        for service in services_of(current):
            self._routes_by_service.setdefault(service, set()).add(name)


def route_key(route_: Route) -> RouteKey:
    """The host and prefix of a route."""
    return route_.host, route_.prefix


def services_of(route_: Route) -> set[str]:
    """The services that a route forwards to."""
    return {part.service for part in route_.services}


def _remove(index: dict[_Key, set[str]], key: _Key, name: str) -> None:
    names = index.get(key)
    if names is not None:
        names.discard(name)
        if not names:
            del index[key]
