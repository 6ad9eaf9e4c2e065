"""The taker of a copy: what it asks for next, and what a piece changes in its log and on its disk.  Pure.

A copy under way is recognised on disk by its bucket: its rows, how far they go and that the replica is a
member of no view are stored together, so that no loss of power leaves it looking complete.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.control.actions import Store
from brackengate.control.log import ReplicaLog
from brackengate.control.transfer import COMPLETE, NOTHING, Differs, check, taken
from brackengate.protocol.messages import Row, SnapshotPiece, SnapshotPosition, SnapshotRequest

ANSWER_WITHIN = 600_000  # a sender that takes longer is passed over
LOOK_AGAIN = 200_000  # a complete copy asks for what is new


@dataclass
class Learner:
    """Asks for one piece after the other, of one sender after the other where one does not answer.

    A piece is asked for while the one before it is being stored: two are under way at the most."""

    position: SnapshotPosition = NOTHING  # of what is held in memory
    source: str = ""
    storing: int = 0  # pieces that are not on the disk yet
    request: int = 0  # the open one; 0: none
    asked_at: int = 0
    last_id: int = 0
    unanswered: list[str] = field(default_factory=list)  # since the last piece

    @property
    def complete(self) -> bool:
        """Whether all of it is held, and on the disk."""
        return self.position.bucket == COMPLETE and self.storing == 0

    def next_request(self, sources: list[str], now: int) -> SnapshotRequest | None:
        """The request that is due, to `source`, of those that could answer it, the best first."""
        if self.storing > 1 or not sources or not self._due(sources, now):
            return None
        left = [source for source in sources if source not in self.unanswered]
        if not left:
            self.unanswered.clear()
        if self.source not in left:
            self.source = (left or sources)[0]
        self.last_id = max(self.last_id + 1, now)  # none of an earlier life comes again
        self.request, self.asked_at = self.last_id, now
        return SnapshotRequest(self.request, self.position)

    def _due(self, sources: list[str], now: int) -> bool:
        waited = now - self.asked_at
        if not self.request:
            return not self.complete or waited >= LOOK_AGAIN
        if self.source in sources:
            if waited < ANSWER_WITHIN:
                return False
            self.unanswered.append(self.source)
        return True

    def answered(self, source: str, piece: SnapshotPiece) -> bool:
        """Whether that piece is the one that was asked for, and takes the copy on."""
        if not self.request or piece.id != self.request or source != self.source:
            return False
        self.request = 0
        self.unanswered.clear()
        return piece.position.index >= self.position.index

    def begin(self, position: SnapshotPosition) -> None:
        self.position, self.request, self.storing = position, 0, 0


def take_piece(log: ReplicaLog, learner: Learner, piece: SnapshotPiece) -> Store | None:
    """None: it brings nothing new."""
    before = learner.position
    changes = taken(before, piece)
    if piece.from_start:
        log.forget(piece.position.index)
        learner.storing = 0  # what is under way is of before
    log.learn(piece.position.index, changes, piece.entries)
    learner.position = piece.position
    try:
        check(log.state.rows, piece)
    except Differs:
        log.forget(0)
        learner.begin(NOTHING)
        return _store(log, learner, [], forget=True)
    if learner.position == before and not changes:
        return None
    return _store(log, learner, changes, piece.from_start)


def keep_committed(log: ReplicaLog, learner: Learner) -> Store:
    """A replica that is no member any more goes on from its committed rows, if it knows which those are."""
    log.drop_uncommitted()
    learner.begin(SnapshotPosition(COMPLETE, log.index) if log.firm else NOTHING)
    learner.storing += 1
    every_row = len(log.folded)  # the entries go, so all that they set has to be among the rows
    store = log.store((), every_row, lineage=0, copy=learner.position.bucket)
    store.cut = True
    return store


def _store(log: ReplicaLog, learner: Learner, changes: list[tuple[int, Row]], forget: bool) -> Store:
    learner.storing += 1
    meta = {"place": log.index, "base": log.index, "lineage": 0, "copy": learner.position.bucket}
    return Store(meta, changes, forget=forget, index=log.index, generation=log.generation)
