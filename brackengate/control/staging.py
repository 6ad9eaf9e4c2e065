"""Large orders, delivered to the followers before they are decided.  Pure.

An acknowledgement owes that a change is in force soon after it.  A small change is on its way in one message;
a large one may take a small link seconds.  So the head has a large order delivered first: every member offers
it to its followers, which fetch it piece by piece and hold it, not in force.  When all of them hold it, or
when a bound is over, the head decides the order and enters it, and followers get a reference of a few bytes.

Nothing depends on the delivery but time: an order is decided when it is entered, as if it had come then; a
follower that does not hold it gets its rows.  What was delivered is known by its content, so a new head finds
it where it lies.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Container, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

import msgspec

from brackengate.protocol.config_items import ConfigChange
from brackengate.protocol.messages import Row, StagedRows

MIN_STAGED_BYTES = 8 << 10  # of rows: a smaller order is entered at once
PIECE_BYTES = 16 << 10  # of rows in one piece
MAX_RETAINED_CHANGES = 4  # orders that are held after they were entered, for followers that come late
DELIVERY_US_PER_ROW = 2_000  # more time for the delivery, for each row
STALLED_AFTER_US = 500_000  # a follower that asks for nothing for so long is not waited for

Pieces = tuple[tuple[Row, ...], ...]

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class StagedChange:
    """`id`: a digest of its rows."""

    id: str
    pieces: Pieces

    def rows(self) -> Iterator[Row]:
        for piece in self.pieces:
            yield from piece


def stage_change(rows: Sequence[Row]) -> StagedChange | None:
    """None: they are few enough to be sent when they are in force."""
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
    """Who waits for an order."""

    addr: str
    id: int


@dataclass(slots=True)
class Submissions:
    """Of one order, the latest of each replica."""

    _by_addr: dict[str, Submission] = field(default_factory=dict)

    def joined(self, addr: str, id_: int) -> None:
        """A submission of one replica takes the place of its earlier one."""
        self._by_addr[addr] = Submission(addr, id_)

    def __iter__(self) -> Iterator[Submission]:
        return iter(self._by_addr.values())


@dataclass(slots=True)
class Delivery:
    """At the head: an order that is being delivered.  `undelivered`: members that have not said it is."""

    body: str
    read: ConfigChange
    order: StagedChange
    until: int
    undelivered: set[str]
    submissions: Submissions

    def over(self, now: int) -> bool:
        return not self.undelivered or now >= self.until


@dataclass
class Deliveries:
    """At the head: the orders that are being delivered, by their text."""

    by_body: dict[str, Delivery] = field(default_factory=dict)

    def begin(self, delivery: Delivery) -> None:
        self.by_body[delivery.body] = delivery

    def delivered(self, id_: str, addr: str) -> None:
        for one in self.by_body.values():
            if one.order.id == id_:
                one.undelivered.discard(addr)

    def take_over(self, now: int) -> Delivery | None:
        """One whose delivery has ended, the first to begin first."""
        found = next((one for one in self.by_body.values() if one.over(now)), None)
        if found is not None:
            del self.by_body[found.body]
        return found


@dataclass(slots=True)
class FollowerProgress:
    """What one follower holds of staged orders: how many pieces, and when it last asked for one."""

    pieces: dict[str, int] = field(default_factory=dict)
    asked_at: dict[str, int] = field(default_factory=dict)

    def keep(self, ids: Container[str]) -> None:
        for id_ in [id_ for id_ in (*self.pieces, *self.asked_at) if id_ not in ids]:
            self.pieces.pop(id_, None)
            self.asked_at.pop(id_, None)

    def stalled(self, id_: str, now: int) -> bool:
        return now - self.asked_at.get(id_, now) > STALLED_AFTER_US


@dataclass
class StagedChanges:
    """At a member: the orders that its followers may fetch."""

    orders: dict[str, StagedChange] = field(default_factory=dict)
    open: set[str] = field(default_factory=set)  # whose delivery the head has not been told of

    def add(self, order: StagedChange) -> None:
        self.orders.pop(order.id, None)
        self.orders[order.id] = order
        self.open.add(order.id)
        for old in list(self.orders)[:-MAX_RETAINED_CHANGES]:
            if old not in self.open:
                del self.orders[old]

    def forget_open(self) -> None:
        """The head that asked is head no more."""
        self.open.clear()

    def holds(self, follower: FollowerProgress, id_: str) -> bool:
        order = self.orders.get(id_)
        return order is not None and follower.pieces.get(id_, 0) >= len(order.pieces)

    def take_delivered(self, followers: Sequence[FollowerProgress], now: int) -> list[str]:
        """The orders that are delivered by now, each once."""
        found = [
            id_
            for id_ in sorted(self.open)
            if all(self.holds(one, id_) or one.stalled(id_, now) for one in followers)
        ]
        self.open.difference_update(found)
        return found


def by_reference(
    rows: Sequence[Row], orders: Iterable[StagedChange]
) -> tuple[tuple[Row, ...], tuple[StagedRows, ...]]:
    """Rows that came into force, as references to staged orders and the rows that those lack."""
    left = {(kind, name): value for kind, name, value in rows}
    references: list[StagedRows] = []
    for order in orders:
        without: list[int] = []
        for at, (kind, name, value) in enumerate(order.rows()):
            if left.get((kind, name)) == value:
                del left[kind, name]
            else:
                without.append(at)
        references.append(StagedRows(order.id, tuple(without)))
    return tuple((kind, name, value) for (kind, name), value in left.items()), tuple(references)
