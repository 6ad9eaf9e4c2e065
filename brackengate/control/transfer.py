"""A copy of the committed rows in pieces: what its sender says, and how its taker goes on.  Pure.

The sender keeps nothing of a copy: a request says how far the copy is, as a bucket and a log index, and the
piece brings what is held to the sender's index by the entries in between, then the rows that come next, as
they stand at that index.  So what a taker holds below its bucket is exact at its index at any time, whoever
sent it; it goes on at any sender whose recent entries reach back to its index, and begins anew elsewhere.
With the last piece come the number of rows and their checksum: a copy that differs does not count.

One request is open at a time, and the next is made when the piece has come and the one before it is stored:
the taker sets the pace, and neither side holds more than two pieces.
"""

from __future__ import annotations

from brackengate.control.recent import RecentEntries
from brackengate.control.rows import BUCKETS, CommittedRows, bucket_of
from brackengate.protocol.messages import (
    CommittedRow,
    Row,
    SnapshotPiece,
    SnapshotPosition,
    SnapshotRequest,
    SnapshotTotal,
)

PIECE_ROWS = 500
PIECE_BYTES = 64 << 10
NOTHING = SnapshotPosition()
COMPLETE = BUCKETS  # the bucket of a copy that holds all rows


class Differs(Exception):
    """A copy does not hold what its sender holds."""


# --- the sender


def next_piece(
    rows: CommittedRows, recent: RecentEntries, index: int, request: SnapshotRequest
) -> SnapshotPiece | None:
    """What follows the position of that request; None where the taker has seen more than is held here."""
    position = request.position
    if position.index > index and position.bucket > 0:
        return None
    anew = position.bucket == 0 or not recent.reaches(position.index)
    if anew:
        position = SnapshotPosition(0, index)
    entries, all_of_them = recent.after(position.index, PIECE_ROWS, PIECE_BYTES)
    if not all_of_them:
        reached = SnapshotPosition(position.bucket, entries[-1].index)
        return SnapshotPiece(request.id, reached, anew, entries)
    found, bucket = _next_rows(rows, position.bucket)
    total = SnapshotTotal(rows.count, rows.checksum) if bucket == COMPLETE else None
    return SnapshotPiece(request.id, SnapshotPosition(bucket, index), anew, entries, found, total)


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


def taken(position: SnapshotPosition, piece: SnapshotPiece) -> list[tuple[int, Row]]:
    """What changes in the rows that are held, in order; those of an `anew` piece are gone before."""
    bucket = 0 if piece.from_start else position.bucket
    changes = [(entry.index, row) for entry in piece.entries for row in entry.rows]
    below = [(index, row) for index, row in changes if bucket_of(row[1]) < bucket]
    return below + [(row.index, (row.kind, row.name, row.value)) for row in piece.rows]


def check(rows: CommittedRows, piece: SnapshotPiece) -> None:
    """Differs where the complete copy is not the sender's."""
    if piece.total is not None and piece.total != SnapshotTotal(rows.count, rows.checksum):
        raise Differs(
            f"{rows.count} rows with sum {rows.checksum}, its sender has {piece.total.count} with"
            f" {piece.total.checksum}"
        )
