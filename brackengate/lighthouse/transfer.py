"""A copy of the committed rows in pieces: what its sender says, and how its taker goes on.  Pure.

The sender keeps nothing of a copy: a request says how far the copy is, as a bucket and a log index, and the
piece brings what is held to the sender's index by the entries in between, then the rows that come next, as
they stand at that index.  So what a taker holds below its bucket is exact at its index at any time, whoever
sent it; it goes on at any sender whose recent entries reach back to its index, and begins anew elsewhere.
With the last piece come the number of rows and their checksum: a copy that differs does not count.

One request is open at a time, and the next is made when the piece is stored: the taker sets the pace, and
neither side holds more than a piece.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.lighthouse.recent import RecentEntries
from brackengate.lighthouse.rows import BUCKETS, CommittedRows, bucket_of
from brackengate.signals.words import (
    CommittedRow,
    CopyPiece,
    CopyPosition,
    CopyRequest,
    CopyTotal,
    Row,
)

PIECE_ROWS = 500
PIECE_BYTES = 64 << 10
ANSWER_WITHIN = 600_000  # a sender that takes longer is passed over
LOOK_AGAIN = 200_000  # a complete copy asks for what is new
NOTHING = CopyPosition()
COMPLETE = BUCKETS  # the bucket of a copy that holds all rows


class Differs(Exception):
    """A copy does not hold what its sender holds."""


# --- the sender


def next_piece(
    rows: CommittedRows, recent: RecentEntries, index: int, request: CopyRequest
) -> CopyPiece | None:
    """What follows the position of that request; None where the taker has seen more than is held here."""
    position = request.position
    if position.index > index and position.bucket > 0:
        return None
    anew = position.bucket == 0 or not recent.reaches(position.index)
    if anew:
        position = CopyPosition(0, index)
    entries, all_of_them = recent.after(position.index, PIECE_ROWS, PIECE_BYTES)
    if not all_of_them:
        reached = CopyPosition(position.bucket, entries[-1].index)
        return CopyPiece(request.id, reached, anew, entries)
    found, bucket = _next_rows(rows, position.bucket)
    total = CopyTotal(rows.count, rows.checksum) if bucket == COMPLETE else None
    return CopyPiece(request.id, CopyPosition(bucket, index), anew, entries, found, total)


def _next_rows(rows: CommittedRows, bucket: int) -> tuple[tuple[CommittedRow, ...], int]:
    """Whole buckets, until the piece is large enough; and the bucket that comes after them."""
    found: list[CommittedRow] = []
    size = 0
    while bucket < COMPLETE and len(found) < PIECE_ROWS and size < PIECE_BYTES:
        blob = rows.buckets.get(bucket)
        if blob is not None:
            found += rows.in_bucket(bucket)
            size += len(blob)
        bucket += 1
    return tuple(found), bucket


# --- the taker


def taken(position: CopyPosition, piece: CopyPiece) -> list[tuple[int, Row]]:
    """What changes in the rows that are held, in order; those of an `anew` piece are gone before."""
    bucket = 0 if piece.anew else position.bucket
    changes = [(entry.index, row) for entry in piece.entries for row in entry.rows]
    below = [(index, row) for index, row in changes if bucket_of(row[1]) < bucket]
    return below + [(row.index, (row.kind, row.name, row.value)) for row in piece.rows]


def check(rows: CommittedRows, piece: CopyPiece) -> None:
    """Differs where the complete copy is not the sender's."""
    if piece.total is not None and piece.total != CopyTotal(rows.count, rows.checksum):
        raise Differs(
            f"{rows.count} rows with sum {rows.checksum}, its sender has {piece.total.count} with"
            f" {piece.total.checksum}"
        )


@dataclass
class Learner:
    """Asks for one piece after the other, of one sender after the other where one does not answer."""

    position: CopyPosition = NOTHING  # of what is held in memory
    source: str = ""
    storing: bool = False  # the piece that came last is not on the disk yet
    request: int = 0  # the open one; 0: none
    asked_at: int = 0
    last_id: int = 0
    unanswered: list[str] = field(default_factory=list)  # since the last piece

    @property
    def complete(self) -> bool:
        """Whether all of it is held, and on the disk."""
        return self.position.bucket == COMPLETE and not self.storing

    def next_request(self, sources: list[str], now: int) -> CopyRequest | None:
        """The request that is due, to `source`, of those that could answer it, the best first."""
        if self.storing or not sources:
            return None
        if self.request and self.source in sources:
            if now - self.asked_at < ANSWER_WITHIN:
                return None
            self.unanswered.append(self.source)
        elif not self.request and self.complete and now - self.asked_at < LOOK_AGAIN:
            return None
        left = [source for source in sources if source not in self.unanswered]
        if not left:
            self.unanswered.clear()
        if self.source not in left:
            self.source = (left or sources)[0]
        self.last_id = max(self.last_id + 1, now)  # none of an earlier life comes again
        self.request, self.asked_at = self.last_id, now
        return CopyRequest(self.request, self.position)

    def answered(self, source: str, piece: CopyPiece) -> bool:
        """Whether that piece is the one that was asked for, and takes the copy on."""
        if not self.request or piece.id != self.request or source != self.source:
            return False
        self.request = 0
        self.unanswered.clear()
        return piece.position.index >= self.position.index

    def begin_anew(self) -> None:
        self.position, self.request, self.storing = NOTHING, 0, False
