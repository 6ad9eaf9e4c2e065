"""Orders that a proxy holds ahead of their decision; none of them is in force.  Pure.

Their rows are read when they come, so that putting an order in force is quick.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.protocol.messages import ITEM_KINDS, Row, StagedPosition, StagedRows, StagePiece
from brackengate.proxy.routing_table import ParsedItem, parse_item

MAX_STAGED_CHANGES = (
    12  # orders that are held at most, so that several can be under way at once; the oldest goes
)


@dataclass(slots=True)
class StagedChange:
    count: int  # of its pieces
    pieces: int = 0  # that are here
    rows: list[tuple[str, str, ParsedItem]] = field(default_factory=list)


class StagedChangeMissing(Exception):
    """A reference to an order that is not here."""


@dataclass
class StagedChanges:
    changes: dict[str, StagedChange] = field(default_factory=dict)

    def next_piece(self, id_: str, pieces: int) -> int:
        """The piece that comes next; `pieces` where all are here."""
        change = self.changes.get(id_)
        if change is None:
            change = self.changes[id_] = StagedChange(pieces)
            for old in list(self.changes)[:-MAX_STAGED_CHANGES]:
                del self.changes[old]
        return change.pieces

    def receive(self, piece: StagePiece) -> int | None:
        """The piece to ask for now; None where this one was not asked for."""
        change = self.changes.get(piece.id)
        if change is None or piece.piece != change.pieces:
            return None
        change.rows += [
            (kind, name, parse_item(kind, value)) for kind, name, value in piece.rows if kind in ITEM_KINDS
        ]
        change.pieces += 1
        return change.pieces

    def positions(self) -> tuple[StagedPosition, ...]:
        return tuple(StagedPosition(id_, change.pieces) for id_, change in self.changes.items())

    def take_rows(self, reference: StagedRows) -> list[Row]:
        """Its rows; it is not held any more.  `NotHeld` where some of it never came."""
        change = self.changes.pop(reference.id, None)
        if change is None or change.pieces < change.count:
            raise StagedChangeMissing(reference.id)
        without = set(reference.without)
        return [row for at, row in enumerate(change.rows) if at not in without]
