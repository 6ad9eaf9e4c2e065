"""Receives a snapshot of the public rows in pieces; none of it is in force until it is complete.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.control.rows import CommittedRows
from brackengate.control.transfer import EMPTY_POSITION, CopyMismatch, changed_rows, check_total
from brackengate.protocol.messages import Row, SnapshotPiece, SnapshotPosition


@dataclass
class SnapshotReceiver:
    """A snapshot being received; after an interruption it resumes at its position, from any replica."""

    position: SnapshotPosition = EMPTY_POSITION
    rows: CommittedRows = field(default_factory=CommittedRows)

    def receive(self, requested_after: SnapshotPosition, piece: SnapshotPiece) -> bool:
        """Add a piece; returns whether the snapshot is complete.

        `requested_after`: the position that the piece follows.  A piece is ignored if another one has moved
        the position since the request.  `Differs`: the checksum does not match the sender's; the snapshot
        restarts from nothing.
        """
        if not piece.from_start and requested_after != self.position:
            return False
        changes = changed_rows(self.position, piece)
        if piece.from_start:
            self.rows.clear()
        for index, (kind, name, value) in changes:
            self.rows.set(kind, name, index, value)
        self.position = piece.position
        try:
            check_total(self.rows, piece)
        except CopyMismatch:
            self.restart()
            raise
        return piece.total is not None

    def take_complete(self) -> tuple[int, list[Row]]:
        """The log index and the rows of a complete snapshot; the next one starts from nothing."""
        index = self.position.index
        rows: list[Row] = [(kind, name, value) for kind, name, _, value in self.rows]
        self.restart()
        return index, rows

    def restart(self) -> None:
        """Drop what was received."""
        self.position = EMPTY_POSITION
        self.rows.clear()
