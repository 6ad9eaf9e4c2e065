"""The operator's items as a head holds them, with the places and services of routes kept up.  Pure.

What an order may do is found by what it changes, so that it costs its own size and not the configuration's.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field
from typing import Any, TypeVar

from brackengate.protocol.config_items import InvalidConfig, Item, ItemName, Route, parse_route

_Key = TypeVar("_Key")
Place = tuple[str, str]  # host, prefix
NOBODY: frozenset[str] = frozenset()


@dataclass(eq=False)
class ItemIndex(Mapping[ItemName, Item]):
    """Items by kind and name; those that were dropped too, with their versions."""

    _items: dict[ItemName, Item] = field(default_factory=dict)
    _routes: dict[str, Route] = field(default_factory=dict)  # that stand
    _at_place: dict[Place, set[str]] = field(default_factory=dict)  # names of routes
    _users: dict[str, set[str]] = field(default_factory=dict)  # names of routes, by the service they go to

    @classmethod
    def of(cls, items: Iterable[tuple[ItemName, Item]]) -> ItemIndex:
        made = cls()
        for name, item in items:
            made.put(name, item)
        return made

    def __getitem__(self, name: ItemName) -> Item:
        return self._items[name]

    def get(self, name: ItemName, default: Any = None) -> Any:
        """As of any mapping, without an exception for each name that is new."""
        return self._items.get(name, default)

    def __contains__(self, name: object) -> bool:
        return name in self._items

    def __iter__(self) -> Iterator[ItemName]:
        return iter(self._items)

    def __len__(self) -> int:
        return len(self._items)

    def put(self, name: ItemName, item: Item, read: Route | None = None) -> None:
        """`read`: the route that the item sets, where it was read before."""
        self._items[name] = item
        if name[0] == "route":
            self._set_route(name[1], item, read)

    def clear(self) -> None:
        self._items.clear()
        self._routes.clear()
        self._at_place.clear()
        self._users.clear()

    def has_service(self, name: str) -> bool:
        item = self._items.get(("plant", name))
        return item is not None and item.body is not None

    def at_place(self, place: Place) -> Set[str]:
        """The names of the routes that stand there."""
        return self._at_place.get(place, NOBODY)

    def users(self, service: str) -> Set[str]:
        """The names of the routes that go to a service."""
        return self._users.get(service, NOBODY)

    def _set_route(self, name: str, item: Item, read: Route | None) -> None:
        before = self._routes.pop(name, None)
        if before is not None:
            _take_out(self._at_place, place_of(before), name)
            for service in services_of(before):
                _take_out(self._users, service, name)
        if item.body is None:
            return
        try:
            now = read or parse_route(item)
        except InvalidConfig:  # let in by another version of the program: nobody follows it
            return
        self._routes[name] = now
        self._at_place.setdefault(place_of(now), set()).add(name)
        for service in services_of(now):
            self._users.setdefault(service, set()).add(name)


def place_of(it: Route) -> Place:
    return it.host, it.prefix


def services_of(it: Route) -> set[str]:
    return {part.service for part in it.services}


def _take_out(index: dict[_Key, set[str]], key: _Key, name: str) -> None:
    names = index.get(key)
    if names is not None:
        names.discard(name)
        if not names:
            del index[key]
