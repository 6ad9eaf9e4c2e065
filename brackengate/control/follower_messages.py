"""Cache of encoded messages to followers, shared by all followers at the same index.  No I/O.

After a change of the view or a restart of many proxies, many followers connect at the same time and lack the
same changes.  A message that was encoded for one of them is valid for the others until there is a newer
public row.
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

MAX_SNAPSHOT_PIECES = 64  # followers that connect at the same time request the same pieces in turn
MAX_START_INDEXES = 4  # of followers; the rows after one may be those of a large configuration change
MAX_CHANGES_MESSAGES = 16

StagedIds = tuple[str, ...]  # of the staged changes that a follower holds


@dataclass(frozen=True, slots=True)
class EncodedSnapshotPiece:
    """A piece of a snapshot, and the message that carries it."""

    piece: SnapshotPiece
    message: EncodedMessage


@dataclass(frozen=True, slots=True)
class CacheKey:
    """Cached messages are valid while this stays the same."""

    epoch: int
    generation: int
    public_index: int


@dataclass
class FollowerMessages:
    """The messages to the followers of one replica, built from its chain."""

    chain: Chain
    _cache_key: CacheKey | None = None
    _missed: dict[int, PublicChanges | None] = field(default_factory=dict)  # by the follower's index
    _changes: dict[tuple[int, StagedIds], EncodedMessage] = field(default_factory=dict)
    _pieces: dict[SnapshotRequest, EncodedSnapshotPiece] = field(default_factory=dict)
    _stage_pieces: dict[tuple[str, int], EncodedMessage] = field(default_factory=dict)

    # --- changes

    def missed_since(self, index: int) -> PublicChanges | None:
        """The changes after `index`; None: the follower needs a snapshot."""
        self._drop_outdated()
        if index not in self._missed:
            _evict_oldest(self._missed, MAX_START_INDEXES)
            self._missed[index] = self.chain.changes_since(index)
        return self._missed[index]

    def changes_since(self, index: int, news: PublicChanges, held: StagedIds) -> EncodedMessage:
        """The message with `news`, the changes after `index`, by reference to the staged changes `held`."""
        self._drop_outdated()
        found = self._changes.get((index, held))
        if found is None:
            _evict_oldest(self._changes, MAX_CHANGES_MESSAGES)
            found = self._changes[index, held] = self.changes(news, held)
        return found

    def changes(self, news: PublicChanges, held: StagedIds) -> EncodedMessage:
        """The message with `news`, not cached."""
        staged = self.chain.staged
        rows, references = by_reference(news.rows, [staged.by_id[id_] for id_ in held])
        return encode_message(Changes(news.index, rows, references))

    def held_by(self, follower: FollowerProgress, staged: StagedIds) -> StagedIds:
        """Those of the staged changes that this follower holds."""
        return tuple(id_ for id_ in staged if self.chain.staged.holds(follower, id_))

    # --- snapshots

    def piece(self, request: SnapshotRequest) -> EncodedSnapshotPiece | None:
        """The requested piece; None: the follower has seen more than this replica holds."""
        self._drop_outdated()
        found = self._pieces.get(request)
        if found is None:
            piece = self.chain.public_copy_piece(request)
            if piece is None:
                return None
            _evict_oldest(self._pieces, MAX_SNAPSHOT_PIECES)
            found = self._pieces[request] = EncodedSnapshotPiece(piece, encode_message(piece))
        return found

    def _drop_outdated(self) -> None:
        chain = self.chain
        now = CacheKey(chain.view.epoch, chain.generation, chain.public_index)
        if now != self._cache_key:
            self._cache_key = now
            self._missed.clear()
            self._changes.clear()
            self._pieces.clear()

    # --- staged changes

    def stage_piece(self, id_: str, number: int) -> EncodedMessage | None:
        """One piece of a staged change; None: there is no such piece."""
        change = self.chain.staged.by_id.get(id_)
        if change is None or not 0 <= number < len(change.pieces):
            return None
        found = self._stage_pieces.get((id_, number))
        if found is None:
            found = encode_message(StagePiece(id_, number, change.pieces[number]))
            self._stage_pieces[id_, number] = found
        return found

    def forget_stage_pieces(self) -> None:
        """Drops the cached pieces, when no change is being delivered."""
        self._stage_pieces.clear()


def _evict_oldest(cache: dict[Any, Any], max_entries: int) -> None:
    """Makes room for one more entry."""
    while len(cache) >= max_entries:
        del cache[next(iter(cache))]
