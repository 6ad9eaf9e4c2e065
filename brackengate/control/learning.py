"""The receiver of a copy: what it requests next, and what a piece changes in its log and on disk.  Pure.

A partial copy is recognised on disk by its bucket: its rows, its position and the fact that the replica is no
member of a view are stored in one transaction, so that a power loss can't leave a copy that looks complete.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.control.actions import Store
from brackengate.control.log import ReplicaLog
from brackengate.control.transfer import (
    COMPLETE_BUCKET,
    EMPTY_POSITION,
    CopyMismatch,
    changed_rows,
    check_total,
)
from brackengate.protocol.messages import Row, SnapshotPiece, SnapshotPosition, SnapshotRequest

ANSWER_TIMEOUT_US = 600_000  # a sender that takes longer is skipped
POLL_INTERVAL_US = 200_000  # between two requests of a complete copy for new entries


@dataclass
class Learner:
    """Requests one piece after the other, from the next sender if one does not answer.

    A piece is requested while the one before it is being stored, so at most two are held at a time."""

    position: SnapshotPosition = EMPTY_POSITION  # of the copy in memory
    source: str = ""
    unstored_pieces: int = 0  # pieces that are not on disk yet
    open_request: int = 0  # id of the request without an answer; 0: none
    requested_at: int = 0
    last_request_id: int = 0
    unresponsive: list[str] = field(default_factory=list)  # since the last piece

    @property
    def complete(self) -> bool:
        """Whether all rows are held and on disk."""
        return self.position.bucket == COMPLETE_BUCKET and self.unstored_pieces == 0

    def next_request(self, sources: list[str], now: int) -> SnapshotRequest | None:
        """The request to send now to `source`, or None.  `sources`: possible senders, the best first."""
        if self.unstored_pieces > 1 or not sources or not self._due(sources, now):
            return None
        untried = [source for source in sources if source not in self.unresponsive]
        if not untried:
            self.unresponsive.clear()
        if self.source not in untried:
            self.source = (untried or sources)[0]
        self.last_request_id = max(self.last_request_id + 1, now)  # never an id of an earlier incarnation
        self.open_request, self.requested_at = self.last_request_id, now
        return SnapshotRequest(self.open_request, self.position)

    def _due(self, sources: list[str], now: int) -> bool:
        waited = now - self.requested_at
        if not self.open_request:
            return not self.complete or waited >= POLL_INTERVAL_US
        if self.source in sources:
            if waited < ANSWER_TIMEOUT_US:
                return False
            self.unresponsive.append(self.source)
        return True

    def accepts(self, source: str, piece: SnapshotPiece) -> bool:
        """Whether the piece answers the open request and does not set the copy back; closes the request."""
        if not self.open_request or piece.id != self.open_request or source != self.source:
            return False
        self.open_request = 0
        self.unresponsive.clear()
        return piece.position.index >= self.position.index

    def restart_at(self, position: SnapshotPosition) -> None:
        """Continues from this position, without an open request or an unstored piece."""
        self.position, self.open_request, self.unstored_pieces = position, 0, 0


def apply_piece(log: ReplicaLog, learner: Learner, piece: SnapshotPiece) -> Store | None:
    """Applies a piece to the log; the store that makes it durable, or None if it changes nothing."""
    previous = learner.position
    changes = changed_rows(previous, piece)
    if piece.from_start:
        log.reset(piece.position.index)
        learner.unstored_pieces = 0  # stores in flight belong to the earlier copy
    log.apply_copy(piece.position.index, changes, piece.entries)
    learner.position = piece.position
    try:
        check_total(log.state.rows, piece)
    except CopyMismatch:
        log.reset(0)
        learner.restart_at(EMPTY_POSITION)
        return _store(log, learner, [], drop_all=True)
    if learner.position == previous and not changes:
        return None
    return _store(log, learner, changes, piece.from_start)


def restart_from_committed(log: ReplicaLog, learner: Learner) -> Store:
    """Turns a former member into a learner that starts from its committed rows, if these are known."""
    log.drop_uncommitted()
    learner.restart_at(SnapshotPosition(COMPLETE_BUCKET, log.index) if log.rows_committed else EMPTY_POSITION)
    learner.unstored_pieces += 1
    every_row = len(log.unflushed)  # the entries are dropped, so their committed rows must be stored
    store = log.store((), every_row, lineage=0, copy=learner.position.bucket)
    store.drop_entries = True
    return store


def _store(log: ReplicaLog, learner: Learner, changes: list[tuple[int, Row]], drop_all: bool) -> Store:
    learner.unstored_pieces += 1
    meta = {"place": log.index, "base": log.index, "lineage": 0, "copy": learner.position.bucket}
    return Store(meta, changes, drop_all=drop_all, index=log.index, generation=log.generation)
