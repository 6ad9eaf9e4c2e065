"""Staging: large configuration changes are delivered to followers before they are decided.  No I/O.

An acknowledged change must take effect soon afterwards.  A small change is sent in one message; a large one
may occupy a slow link for seconds.  So the head has a large change delivered first: every member offers it to
its followers, which fetch it piece by piece and hold it without effect.  When all of them hold it, or when a
time limit has passed, the head decides the change and appends it, and followers get a reference of a few
bytes.

Only time depends on the delivery: a change is decided when it is appended, as if it had been received then,
and a follower that does not hold it gets its rows.  Staged changes are identified by their content, so a new
head can use what was delivered before.  Times are microseconds of a monotonic clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Container, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from brackengate.protocol.config_items import ConfigChange
from brackengate.protocol.messages import Row, StagedRows

MIN_STAGED_BYTES = 8 << 10  # of rows: a smaller change is appended at once
PIECE_BYTES = 16 << 10  # of rows in one piece
MAX_RETAINED_CHANGES = 4  # kept after they were appended, for followers that connect late
DELIVERY_US_PER_ROW = 2_000  # additional time for the delivery
STALLED_AFTER_US = 500_000  # a follower that requests nothing for so long is not waited for

Pieces = tuple[tuple[Row, ...], ...]

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class StagedChange:
    """The rows of a change, in pieces of bounded size.  `id` is a digest of the rows."""

    id: str
    pieces: Pieces

    def rows(self) -> Iterator[Row]:
        """All rows, in their order."""
        for piece in self.pieces:
            yield from piece


def stage_change(rows: Sequence[Row]) -> StagedChange | None:
    """The staged form of a change's rows; None if they are few enough to be sent when they take effect."""
    pieces: list[tuple[Row, ...]] = []
    piece: list[Row] = []
    size = total = 0
    sum_ = hashlib.blake2b(digest_size=12)
    for row in rows:
        data = _encode(row)
        sum_.update(data)
        if piece and size + len(data) > PIECE_BYTES:
            pieces.append(tuple(piece))
            piece, size = [], 0
        piece.append(row)
        size += len(data)
        total += len(data)
    if total < MIN_STAGED_BYTES:
        return None
    return StagedChange(sum_.hexdigest(), (*pieces, tuple(piece)))


@dataclass(frozen=True, slots=True)
class Submission:
    """A replica that waits for the result of a change, and the id of its submission."""

    addr: str
    id: int


@dataclass(slots=True)
class Submissions:
    """The submissions of one change: the latest of each replica."""

    _by_addr: dict[str, Submission] = field(default_factory=dict)

    def add(self, addr: str, id_: int) -> None:
        """Adds a submission; it replaces an earlier one of the same replica."""
        self._by_addr[addr] = Submission(addr, id_)

    def __iter__(self) -> Iterator[Submission]:
        return iter(self._by_addr.values())


@dataclass(slots=True)
class Delivery:
    """At the head: a change that is being delivered.

    `undelivered`: the members that have not reported yet that their followers hold it.
    """

    body: str
    change: ConfigChange
    staged: StagedChange
    until: int
    undelivered: set[str]
    submissions: Submissions

    def over(self, now: int) -> bool:
        """Whether all followers hold the change or its time limit has passed."""
        return not self.undelivered or now >= self.until


@dataclass
class Deliveries:
    """At the head: the changes that are being delivered, by their document."""

    by_body: dict[str, Delivery] = field(default_factory=dict)

    def begin(self, delivery: Delivery) -> None:
        """Adds a delivery."""
        self.by_body[delivery.body] = delivery

    def delivered(self, id_: str, addr: str) -> None:
        """Records that the followers of the member `addr` hold this change."""
        for one in self.by_body.values():
            if one.staged.id == id_:
                one.undelivered.discard(addr)

    def take_over(self, now: int) -> Delivery | None:
        """Takes the earliest delivery that has ended, None if there is none."""
        found = next((one for one in self.by_body.values() if one.over(now)), None)
        if found is not None:
            del self.by_body[found.body]
        return found


@dataclass(slots=True)
class FollowerProgress:
    """How many pieces of each staged change a follower holds, and when it last requested one."""

    pieces: dict[str, int] = field(default_factory=dict)
    asked_at: dict[str, int] = field(default_factory=dict)

    def keep(self, ids: Container[str]) -> None:
        """Forgets all other changes."""
        for id_ in [id_ for id_ in (*self.pieces, *self.asked_at) if id_ not in ids]:
            self.pieces.pop(id_, None)
            self.asked_at.pop(id_, None)

    def stalled(self, id_: str, now: int) -> bool:
        """Whether the follower has requested nothing of this change for too long."""
        return now - self.asked_at.get(id_, now) > STALLED_AFTER_US


@dataclass
class StagedChanges:
    """At a member: the changes that its followers may fetch."""

    by_id: dict[str, StagedChange] = field(default_factory=dict)
    undelivered: set[str] = field(default_factory=set)  # whose delivery was not reported to the head yet

    def add(self, change: StagedChange) -> None:
        """Adds a change to be delivered; drops the oldest delivered ones."""
        self.by_id.pop(change.id, None)
        self.by_id[change.id] = change
        self.undelivered.add(change.id)
        for old in list(self.by_id)[:-MAX_RETAINED_CHANGES]:
            if old not in self.undelivered:
                del self.by_id[old]

    def forget_undelivered(self) -> None:
        """Reports no more deliveries of the present changes: their head is no longer the head."""
        self.undelivered.clear()

    def holds(self, follower: FollowerProgress, id_: str) -> bool:
        """Whether the follower holds the whole change."""
        change = self.by_id.get(id_)
        return change is not None and follower.pieces.get(id_, 0) >= len(change.pieces)

    def take_delivered(self, followers: Sequence[FollowerProgress], now: int) -> list[str]:
        """Takes the ids of the changes that are delivered by now; each is returned once."""
        found = [
            id_
            for id_ in sorted(self.undelivered)
            if all(self.holds(one, id_) or one.stalled(id_, now) for one in followers)
        ]
        self.undelivered.difference_update(found)
        return found


def by_reference(
    rows: Sequence[Row], changes: Iterable[StagedChange]
) -> tuple[tuple[Row, ...], tuple[StagedRows, ...]]:
    """Rows that take effect, as the rows that no staged change has and references to staged changes."""
    left = {(kind, name): value for kind, name, value in rows}
    references: list[StagedRows] = []
    for change in changes:
        without: list[int] = []
        for at, (kind, name, value) in enumerate(change.rows()):
            if left.get((kind, name)) == value:
                del left[kind, name]
            else:
                without.append(at)
        references.append(StagedRows(change.id, tuple(without)))
    return tuple((kind, name, value) for (kind, name), value in left.items()), tuple(references)
