"""A follower's copy of the public rows, in pieces; none of it is in force until it is whole.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.control.rows import CommittedRows
from brackengate.control.transfer import EMPTY_POSITION, CopyMismatch, changed_rows, check_total
from brackengate.protocol.messages import CopyPiece, CopyPosition, Row


@dataclass
class PublicCopy:
    """It goes on where it was cut off, at whichever replica."""

    position: CopyPosition = EMPTY_POSITION
    rows: CommittedRows = field(default_factory=CommittedRows)

    def take(self, asked: CopyPosition, piece: CopyPiece) -> bool:
        """Whether it is whole.  `asked`: what the piece follows; it may have gone on elsewhere since then.

        Differs, and it begins anew, where it is not what its sender holds.
        """
        if not piece.anew and asked != self.position:
            return False
        changes = changed_rows(self.position, piece)
        if piece.anew:
            self.rows.clear()
        for index, (kind, name, value) in changes:
            self.rows.set(kind, name, index, value)
        self.position = piece.position
        try:
            check_total(self.rows, piece)
        except CopyMismatch:
            self.begin_anew()
            raise
        return piece.total is not None

    def whole(self) -> tuple[int, list[Row]]:
        """Its index and its rows, once it is whole; the next one begins with nothing."""
        index = self.position.index
        rows: list[Row] = [(kind, name, value) for kind, name, _, value in self.rows]
        self.begin_anew()
        return index, rows

    def begin_anew(self) -> None:
        self.position = EMPTY_POSITION
        self.rows.clear()
