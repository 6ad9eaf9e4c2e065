"""The taker of a copy: what it asks for next, and what a piece changes in its log and on its disk.  Pure.

A copy under way is recognised on disk by its bucket: its rows, how far they go and that the replica is a
member of no view are stored together, so that no loss of power leaves it looking complete.
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
from brackengate.protocol.messages import CopyPiece, CopyPosition, CopyRequest, Row

ANSWER_TIMEOUT_US = 600_000  # a sender that takes longer is passed over
POLL_INTERVAL_US = 200_000  # a complete copy asks for what is new


@dataclass
class Learner:
    """Asks for one piece after the other, of one sender after the other where one does not answer.

    A piece is asked for while the one before it is being stored: two are under way at the most."""

    position: CopyPosition = EMPTY_POSITION  # of what is held in memory
    source: str = ""
    unstored_pieces: int = 0  # pieces that are not on the disk yet
    open_request: int = 0  # the open one; 0: none
    requested_at: int = 0
    last_request_id: int = 0
    unresponsive: list[str] = field(default_factory=list)  # since the last piece

    @property
    def complete(self) -> bool:
        """Whether all of it is held, and on the disk."""
        return self.position.bucket == COMPLETE_BUCKET and self.unstored_pieces == 0

    def next_request(self, sources: list[str], now: int) -> CopyRequest | None:
        """The request that is due, to `source`, of those that could answer it, the best first."""
        if self.unstored_pieces > 1 or not sources or not self._due(sources, now):
            return None
        left = [source for source in sources if source not in self.unresponsive]
        if not left:
            self.unresponsive.clear()
        if self.source not in left:
            self.source = (left or sources)[0]
        self.last_request_id = max(self.last_request_id + 1, now)  # none of an earlier life comes again
        self.open_request, self.requested_at = self.last_request_id, now
        return CopyRequest(self.open_request, self.position)

    def _due(self, sources: list[str], now: int) -> bool:
        waited = now - self.requested_at
        if not self.open_request:
            return not self.complete or waited >= POLL_INTERVAL_US
        if self.source in sources:
            if waited < ANSWER_TIMEOUT_US:
                return False
            self.unresponsive.append(self.source)
        return True

    def accepts(self, source: str, piece: CopyPiece) -> bool:
        """Whether that piece is the one that was asked for, and takes the copy on."""
        if not self.open_request or piece.id != self.open_request or source != self.source:
            return False
        self.open_request = 0
        self.unresponsive.clear()
        return piece.position.index >= self.position.index

    def restart_at(self, position: CopyPosition) -> None:
        self.position, self.open_request, self.unstored_pieces = position, 0, 0


def apply_piece(log: ReplicaLog, learner: Learner, piece: CopyPiece) -> Store | None:
    """None: it brings nothing new."""
    before = learner.position
    changes = changed_rows(before, piece)
    if piece.anew:
        log.reset(piece.position.index)
        learner.unstored_pieces = 0  # what is under way is of before
    log.apply_copy(piece.position.index, changes, piece.entries)
    learner.position = piece.position
    try:
        check_total(log.state.rows, piece)
    except CopyMismatch:
        log.reset(0)
        learner.restart_at(EMPTY_POSITION)
        return _store(log, learner, [], forget=True)
    if learner.position == before and not changes:
        return None
    return _store(log, learner, changes, piece.anew)


def restart_from_committed(log: ReplicaLog, learner: Learner) -> Store:
    """A replica that is no member any more goes on from its committed rows, if it knows which those are."""
    log.drop_uncommitted()
    learner.restart_at(CopyPosition(COMPLETE_BUCKET, log.index) if log.rows_committed else EMPTY_POSITION)
    learner.unstored_pieces += 1
    every_row = len(log.unflushed)  # the entries go, so all that they set has to be among the rows
    store = log.store((), every_row, lineage=0, copy=learner.position.bucket)
    store.cut = True
    return store


def _store(log: ReplicaLog, learner: Learner, changes: list[tuple[int, Row]], forget: bool) -> Store:
    learner.unstored_pieces += 1
    meta = {"place": log.index, "base": log.index, "lineage": 0, "copy": learner.position.bucket}
    return Store(meta, changes, forget=forget, index=log.index, generation=log.generation)
