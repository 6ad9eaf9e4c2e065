"""Orders that a proxy holds ahead of their decision; none of them is in force.  Pure.

Their rows are read when they come, so that putting an order in force is quick.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.protocol.messages import ITEMS, Row, StagedPosition, StagedRows, StagePiece
from brackengate.proxy.routing_table import Prepared, prepared

KEPT = 12  # orders that are held at most, so that several can be under way at once; the oldest goes


@dataclass(slots=True)
class PartialOrder:
    count: int  # of its pieces
    pieces: int = 0  # that are here
    rows: list[tuple[str, str, Prepared]] = field(default_factory=list)


class NotHeld(Exception):
    """A reference to an order that is not here."""


@dataclass
class StagedStore:
    orders: dict[str, PartialOrder] = field(default_factory=dict)

    def offered(self, id_: str, pieces: int) -> int:
        """The piece that comes next; `pieces` where all are here."""
        found = self.orders.get(id_)
        if found is None:
            found = self.orders[id_] = PartialOrder(pieces)
            for old in list(self.orders)[:-KEPT]:
                del self.orders[old]
        return found.pieces

    def take(self, piece: StagePiece) -> int | None:
        """The piece to ask for now; None where this one was not asked for."""
        found = self.orders.get(piece.id)
        if found is None or piece.piece != found.pieces:
            return None
        found.rows += [
            (kind, name, prepared(kind, value)) for kind, name, value in piece.rows if kind in ITEMS
        ]
        found.pieces += 1
        return found.pieces

    def positions(self) -> tuple[StagedPosition, ...]:
        return tuple(StagedPosition(id_, one.pieces) for id_, one in self.orders.items())

    def put_in_force(self, reference: StagedRows) -> list[Row]:
        """Its rows; it is not held any more.  `NotHeld` where some of it never came."""
        found = self.orders.pop(reference.id, None)
        if found is None or found.pieces < found.count:
            raise NotHeld(reference.id)
        without = set(reference.without)
        return [row for at, row in enumerate(found.rows) if at not in without]
