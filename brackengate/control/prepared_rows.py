"""Rows of large orders, read and encoded before they are entered.  Pure.

A replica that enters, stores or commits a large order does so in one step.  What that step needs of each row
(the route that it sets, its value as JSON) is worked out beforehand, some rows at a time, while the order is
being delivered.  Nothing depends on it but time: a row that is not prepared, or that was prepared with
another value, is read and encoded when it is needed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brackengate.protocol.config_items import InvalidConfig, Item, ItemName, Route, parse_route
from brackengate.protocol.messages import ITEM_KINDS, Row

SLICE_ROWS = 200  # that are worked on in one step of the loop
MOST_ROWS = 20_000  # that are held, a kilobyte each; the oldest order goes
NO_ROUTES: Mapping[str, Route] = {}

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class PreparedRow:
    """`text`: `value` as JSON; `read`: the route that it sets, if it sets one."""

    value: Any
    item: Item
    text: bytes
    read: Route | None


@dataclass
class PreparedRows:
    """By the order that they are rows of, and by their names."""

    orders: dict[str, dict[ItemName, PreparedRow]] = field(default_factory=dict)

    def prepare(self, id_: str, rows: Iterable[Row], read: Mapping[str, Route] = NO_ROUTES) -> Iterator[None]:
        """Pauses after each slice.  `read`: routes that were read before, by name."""
        held = self.orders[id_] = {}
        for count, (kind, name, value) in enumerate(rows, 1):
            if kind in ITEM_KINDS:
                held[kind, name] = _prepared(kind, name, value, read)
            if count % SLICE_ROWS == 0:
                self._make_room(id_)
                yield

    def _make_room(self, for_: str) -> None:
        count = sum(map(len, self.orders.values()))
        for id_ in [id_ for id_ in self.orders if id_ != for_]:
            if count <= MOST_ROWS:
                return
            count -= len(self.orders.pop(id_))

    def find(self, id_: str, row: Row) -> PreparedRow | None:
        """What was prepared of that order's row; None where its value is another one."""
        found = self.orders.get(id_, {}).get((row[0], row[1]))
        return found if found is not None and found.value == row[2] else None

    def forget(self, id_: str) -> None:
        self.orders.pop(id_, None)


def _prepared(kind: str, name: str, value: Any, read: Mapping[str, Route]) -> PreparedRow:
    item = item_of(value)
    return PreparedRow(value, item, _encode(value), _route(kind, name, item, read))


def _route(kind: str, name: str, item: Item, read: Mapping[str, Route]) -> Route | None:
    if kind != "route" or item.body is None:
        return None
    if name in read:
        return read[name]
    try:
        return parse_route(item)
    except InvalidConfig:  # let in by another version of the program: nobody follows it
        return None


def item_of(value: Any) -> Item:
    """The item of a row."""
    return msgspec.convert(value, Item)
