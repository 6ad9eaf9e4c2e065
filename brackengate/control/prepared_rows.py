"""Rows of large orders, parsed and encoded before they are appended to the log.  Pure.

A replica appends, stores or commits a large order in one step.  What that step needs of each row (the route
that it sets, its value as JSON) is computed beforehand, some rows at a time, while the order is being
delivered.  This is only an optimization: a row that is not prepared, or that was prepared with another value,
is parsed and encoded when it is needed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brackengate.protocol.config_items import InvalidConfig, Item, ItemName, Route, parse_route
from brackengate.protocol.messages import ITEM_KINDS, Row

SLICE_ROWS = 200  # prepared in one iteration of the event loop
MAX_PREPARED_ROWS = 20_000  # a kilobyte each; the oldest order is evicted
NO_ROUTES: Mapping[str, Route] = {}

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class PreparedRow:
    """A parsed row.  `value_json`: `value` as JSON; `parsed_route`: the route that it sets, if any."""

    value: Any
    item: Item
    value_json: bytes
    parsed_route: Route | None


@dataclass
class PreparedRows:
    """Prepared rows by the id of their order and by name."""

    orders: dict[str, dict[ItemName, PreparedRow]] = field(default_factory=dict)

    def prepare(
        self, id_: str, rows: Iterable[Row], parsed_routes: Mapping[str, Route] = NO_ROUTES
    ) -> Iterator[None]:
        """Prepares the rows of an order, yielding after each slice.  `parsed_routes`: by name, if known."""
        held = self.orders[id_] = {}
        for count, (kind, name, value) in enumerate(rows, 1):
            if kind in ITEM_KINDS:
                held[kind, name] = _prepared(kind, name, value, parsed_routes)
            if count % SLICE_ROWS == 0:
                self._evict_oldest(id_)
                yield

    def _evict_oldest(self, keep_id: str) -> None:
        count = sum(map(len, self.orders.values()))
        for id_ in [id_ for id_ in self.orders if id_ != keep_id]:
            if count <= MAX_PREPARED_ROWS:
                return
            count -= len(self.orders.pop(id_))

    def find(self, id_: str, row: Row) -> PreparedRow | None:
        """The prepared row of this order; None if there is none or it has another value."""
        found = self.orders.get(id_, {}).get((row[0], row[1]))
        return found if found is not None and found.value == row[2] else None

    def forget(self, id_: str) -> None:
        """Drops the rows of an order."""
        self.orders.pop(id_, None)


def _prepared(kind: str, name: str, value: Any, parsed_routes: Mapping[str, Route]) -> PreparedRow:
    item = item_of(value)
    return PreparedRow(value, item, _encode(value), _route(kind, name, item, parsed_routes))


def _route(kind: str, name: str, item: Item, parsed_routes: Mapping[str, Route]) -> Route | None:
    if kind != "route" or item.body is None:
        return None
    if name in parsed_routes:
        return parsed_routes[name]
    try:
        return parse_route(item)
    except InvalidConfig:  # accepted by another version of the program: no proxy applies it
        return None


def item_of(value: Any) -> Item:
    """The item of a row."""
    return msgspec.convert(value, Item)
