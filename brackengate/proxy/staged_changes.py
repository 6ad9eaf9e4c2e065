"""Configuration changes that a proxy receives before they are committed; none is in force.  Pure.

Their rows are parsed on arrival, so that applying a change after its commit is quick.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.protocol.messages import ITEM_KINDS, Row, StagedPosition, StagedRows, StagePiece
from brackengate.proxy.routing_table import ParsedItem, parse_item

MAX_STAGED_CHANGES = 12  # allows several in flight at once; beyond that the oldest is dropped


@dataclass(slots=True)
class StagedChange:
    """A change of `count` pieces, of which the first `pieces` have arrived."""

    count: int
    pieces: int = 0
    rows: list[tuple[str, str, ParsedItem]] = field(default_factory=list)


class StagedChangeMissing(Exception):
    """A committed entry refers to a staged change that is missing or incomplete here."""


@dataclass
class StagedChanges:
    """The staged changes of a proxy, by id."""

    changes: dict[str, StagedChange] = field(default_factory=dict)

    def next_piece(self, id_: str, pieces: int) -> int:
        """The number of the piece to request of an offered change; `pieces` if all have arrived."""
        change = self.changes.get(id_)
        if change is None:
            change = self.changes[id_] = StagedChange(pieces)
            for old in list(self.changes)[:-MAX_STAGED_CHANGES]:
                del self.changes[old]
        return change.pieces

    def receive(self, piece: StagePiece) -> int | None:
        """Add a piece; returns the number of the next one, or None if this one was not requested."""
        change = self.changes.get(piece.id)
        if change is None or piece.piece != change.pieces:
            return None
        change.rows += [
            (kind, name, parse_item(kind, value)) for kind, name, value in piece.rows if kind in ITEM_KINDS
        ]
        change.pieces += 1
        return change.pieces

    def positions(self) -> tuple[StagedPosition, ...]:
        """How much of each change has arrived."""
        return tuple(StagedPosition(id_, change.pieces) for id_, change in self.changes.items())

    def take_rows(self, reference: StagedRows) -> list[Row]:
        """Remove a change that is committed and return its rows, without those named by the reference.

        `StagedChangeMissing`: some of it never arrived.
        """
        change = self.changes.pop(reference.id, None)
        if change is None or change.pieces < change.count:
            raise StagedChangeMissing(reference.id)
        without = set(reference.without)
        return [row for at, row in enumerate(change.rows) if at not in without]
