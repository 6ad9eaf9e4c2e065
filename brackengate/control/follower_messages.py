"""What a replica sends to its followers, made once for all of them that are equally far.  Pure.

Many followers come at the same moment, after a change of the view or a restart of many proxies, and lack the
same.  What was made for one of them holds for the others until there is a newer public row.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from brackengate.control.chain import Chain
from brackengate.control.log import PublicChanges
from brackengate.control.staging import FollowerProgress, by_reference
from brackengate.protocol.json_connection import encode_message
from brackengate.protocol.message_parts import EncodedMessage
from brackengate.protocol.messages import Changes, SnapshotPiece, SnapshotRequest, StagePiece

MAX_SNAPSHOT_PIECES = (
    64  # of copies that are kept: followers that come together ask for the same ones in turn
)
MAX_START_INDEXES = (
    4  # that followers come from, for which what they lack is kept: it may be a large order's rows
)
MAX_CHANGES_MESSAGES = 16  # messages with it

StagedIds = tuple[str, ...]  # of the staged orders that a follower holds


@dataclass(frozen=True, slots=True)
class EncodedSnapshotPiece:
    piece: SnapshotPiece
    message: EncodedMessage


@dataclass(frozen=True, slots=True)
class CacheKey:
    """Messages are of use while this stays the same."""

    epoch: int
    generation: int
    public_index: int


@dataclass
class FollowerMessages:
    chain: Chain
    _valid: CacheKey | None = None
    _missed: dict[int, PublicChanges | None] = field(default_factory=dict)  # by a follower's index
    _changes: dict[tuple[int, StagedIds], EncodedMessage] = field(default_factory=dict)
    _pieces: dict[SnapshotRequest, EncodedSnapshotPiece] = field(default_factory=dict)
    _stage_pieces: dict[tuple[str, int], EncodedMessage] = field(default_factory=dict)

    # --- changes

    def missed_since(self, index: int) -> PublicChanges | None:
        """What a follower lacks that holds everything up to that index; None: it has to take a copy."""
        self._look()
        if index not in self._missed:
            _evict_oldest(self._missed, MAX_START_INDEXES)
            self._missed[index] = self.chain.changes_since(index)
        return self._missed[index]

    def changes_since(self, index: int, news: PublicChanges, held: StagedIds) -> EncodedMessage:
        """`news`: what it lacks; `held`: it gets references to these staged orders."""
        self._look()
        found = self._changes.get((index, held))
        if found is None:
            _evict_oldest(self._changes, MAX_CHANGES_MESSAGES)
            found = self._changes[index, held] = self.changes(news, held)
        return found

    def changes(self, news: PublicChanges, held: StagedIds) -> EncodedMessage:
        staged = self.chain.staged
        rows, references = by_reference(news.rows, [staged.orders[id_] for id_ in held])
        return encode_message(Changes(news.index, rows, references))

    def held_of(self, follower: FollowerProgress, staged: StagedIds) -> StagedIds:
        """Those of the staged orders that this follower holds."""
        return tuple(id_ for id_ in staged if self.chain.staged.holds(follower, id_))

    # --- copies

    def piece(self, request: SnapshotRequest) -> EncodedSnapshotPiece | None:
        """None: the follower has seen more than is held here."""
        self._look()
        found = self._pieces.get(request)
        if found is None:
            piece = self.chain.public_piece(request)
            if piece is None:
                return None
            _evict_oldest(self._pieces, MAX_SNAPSHOT_PIECES)
            found = self._pieces[request] = EncodedSnapshotPiece(piece, encode_message(piece))
        return found

    def _look(self) -> None:
        chain = self.chain
        now = CacheKey(chain.view.epoch, chain.generation, chain.public_index)
        if now != self._valid:
            self._valid = now
            self._missed.clear()
            self._changes.clear()
            self._pieces.clear()

    # --- orders ahead of their decision

    def stage_piece(self, id_: str, number: int) -> EncodedMessage | None:
        """None: there is no such piece."""
        order = self.chain.staged.orders.get(id_)
        if order is None or not 0 <= number < len(order.pieces):
            return None
        found = self._stage_pieces.get((id_, number))
        if found is None:
            found = encode_message(StagePiece(id_, number, order.pieces[number]))
            self._stage_pieces[id_, number] = found
        return found

    def forget_stage_pieces(self) -> None:
        """Nothing is being delivered."""
        self._stage_pieces.clear()


def _evict_oldest(held: dict[Any, Any], most: int) -> None:
    """For one more; the oldest goes."""
    while len(held) >= most:
        del held[next(iter(held))]
