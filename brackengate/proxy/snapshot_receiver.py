"""A follower's copy of the public rows, in pieces; none of it is in force until it is whole.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.control.rows import CommittedRows
from brackengate.control.transfer import NOTHING, Differs, check, taken
from brackengate.protocol.messages import Row, SnapshotPiece, SnapshotPosition


@dataclass
class SnapshotReceiver:
    """It goes on where it was cut off, at whichever replica."""

    position: SnapshotPosition = NOTHING
    rows: CommittedRows = field(default_factory=CommittedRows)

    def receive(self, requested_after: SnapshotPosition, piece: SnapshotPiece) -> bool:
        """Whether it is whole.  `asked`: what the piece follows; it may have gone on elsewhere since then.

        Differs, and it begins anew, where it is not what its sender holds.
        """
        if not piece.from_start and requested_after != self.position:
            return False
        changes = taken(self.position, piece)
        if piece.from_start:
            self.rows.clear()
        for index, (kind, name, value) in changes:
            self.rows.set(kind, name, index, value)
        self.position = piece.position
        try:
            check(self.rows, piece)
        except Differs:
            self.restart()
            raise
        return piece.total is not None

    def take_complete(self) -> tuple[int, list[Row]]:
        """Its index and its rows, once it is whole; the next one begins with nothing."""
        index = self.position.index
        rows: list[Row] = [(kind, name, value) for kind, name, _, value in self.rows]
        self.restart()
        return index, rows

    def restart(self) -> None:
        self.position = NOTHING
        self.rows.clear()
