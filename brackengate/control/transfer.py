"""Copying the committed rows to another replica in pieces, as sender and as receiver.  Pure.

The sender keeps no state of a copy: a request names the position of the copy, as a bucket and a log index.
The piece first brings the copied rows to the sender's index, by the entries in between, and then adds the
next rows as of that index.  So the rows below the receiver's bucket are always exact at its index, whoever
sent them; the copy continues with any sender whose recent entries reach back to its index, and starts from
scratch with any other.  The last piece carries the number of rows and their checksum: a copy that differs is
discarded.

One request is open at a time, and the next is sent when its piece has arrived and the piece before it is
stored: the receiver sets the pace, and neither side holds more than two pieces.
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
EMPTY_POSITION = SnapshotPosition()
COMPLETE_BUCKET = BUCKETS  # the bucket of a copy that holds all rows


class CopyMismatch(Exception):
    """A complete copy differs from its sender's rows."""


# --- the sender


def next_piece(
    rows: CommittedRows, recent: RecentEntries, index: int, request: SnapshotRequest
) -> SnapshotPiece | None:
    """The piece that follows the requested position; None if the receiver is ahead of this sender.

    `index`: the log index of `rows`.
    """
    position = request.position
    if position.index > index and position.bucket > 0:
        return None
    anew = position.bucket == 0 or not recent.covers(position.index, index)
    if anew:
        position = SnapshotPosition(0, index)
    entries, all_of_them = recent.after(position.index, PIECE_ROWS, PIECE_BYTES)
    if not all_of_them:
        reached = SnapshotPosition(position.bucket, entries[-1].index)
        return SnapshotPiece(request.id, reached, anew, entries)
    found, bucket = _next_rows(rows, position.bucket)
    total = SnapshotTotal(rows.count, rows.checksum) if bucket == COMPLETE_BUCKET else None
    return SnapshotPiece(request.id, SnapshotPosition(bucket, index), anew, entries, found, total)


def _next_rows(rows: CommittedRows, bucket: int) -> tuple[tuple[CommittedRow, ...], int]:
    """The rows of the next whole buckets, up to the size of a piece, and the bucket that follows them."""
    found: list[CommittedRow] = []
    size = 0
    while bucket < COMPLETE_BUCKET and len(found) < PIECE_ROWS and size < PIECE_BYTES:
        blob = rows.buckets.get(bucket)
        if blob is not None:
            found += rows.in_bucket(bucket)
            size += len(blob)
        bucket += 1
    return tuple(found), bucket


# --- the receiver


def changed_rows(position: SnapshotPosition, piece: SnapshotPiece) -> list[tuple[int, Row]]:
    """The row changes that a piece brings, in order; an `anew` piece replaces all rows held before."""
    bucket = 0 if piece.from_start else position.bucket
    changes = [(entry.index, row) for entry in piece.entries for row in entry.rows]
    below = [(index, row) for index, row in changes if bucket_of(row[1]) < bucket]
    return below + [(row.index, (row.kind, row.name, row.value)) for row in piece.rows]


def check_total(rows: CommittedRows, piece: SnapshotPiece) -> None:
    """Raises CopyMismatch if the complete copy differs from the sender's rows."""
    if piece.total is not None and piece.total != SnapshotTotal(rows.count, rows.checksum):
        raise CopyMismatch(
            f"{rows.count} rows with sum {rows.checksum}, its sender has {piece.total.count} with"
            f" {piece.total.checksum}"
        )
