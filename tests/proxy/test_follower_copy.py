"""A follower's copy of the public rows: in pieces, resumed anywhere, in force when it is whole."""

from __future__ import annotations

from typing import Any

import pytest

from brackengate.control import transfer
from brackengate.control.log import ReplicaLog
from brackengate.control.transfer import EMPTY_POSITION, CopyMismatch, next_piece
from brackengate.protocol.messages import CopyPiece, CopyRequest, Entry
from brackengate.proxy.copy import PublicCopy
from brackengate.proxy.routing_table import Table

ITEMS = 60


@pytest.fixture(autouse=True)
def small_pieces(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 7)


class Sender:
    """A replica, as far as followers copy from it."""

    def __init__(self) -> None:
        self.log = ReplicaLog(0)
        for n in range(1, ITEMS + 1):
            self.set(n, "plant", f"p{n}", plant(n, 1))

    def set(self, index: int, kind: str, name: str, value: Any) -> None:
        self.log.append(Entry(index, ((kind, name, value), ("key", f"k{index}", ["g", "1"]))))
        self.log.commit(index)

    def piece(self, copy: PublicCopy) -> CopyPiece:
        log = self.log
        made = next_piece(log.state.public, log.recent_public, log.index, CopyRequest(1, copy.position))
        assert made is not None
        return made


def plant(n: int, version: int) -> list[Any]:
    return [version, "", {"Name": f"p{n}", "Revision": f"r{version}", "HealthPath": f"/{version}"}]


def finish(sender: Sender, copy: PublicCopy) -> int:
    """The pieces that it took."""
    count = 1
    while not copy.take(copy.position, sender.piece(copy)):
        count += 1
    return count


def test_nothing_of_it_is_in_force_before_it_is_whole() -> None:
    sender, copy, table = Sender(), PublicCopy(), Table()
    for _ in range(5):
        assert not copy.take(copy.position, sender.piece(copy))
    assert (table.index, table.plants) == (-1, {}) and copy.rows.count >= 35
    assert finish(sender, copy) > 2
    index, rows = copy.whole()
    assert table.snapshot(index, rows) == {"plant"}
    assert table.index == ITEMS and len(table.plants) == ITEMS
    assert not any(kind == "key" for kind, _, _ in rows)


def test_it_goes_on_at_another_replica_with_what_changed_meanwhile() -> None:
    sender, other, copy = Sender(), Sender(), PublicCopy()
    for _ in range(5):
        copy.take(copy.position, sender.piece(copy))
    for n in range(1, ITEMS + 1):  # of what it holds and of what it does not hold yet
        other.set(ITEMS + n, "plant", f"p{n}", plant(n, 2))
    other.set(2 * ITEMS + 1, "inst", "10.0.0.1", None)
    before = copy.rows.count
    pieces = [other.piece(copy)]
    assert not pieces[0].anew
    while not copy.take(copy.position, pieces[-1]):
        pieces.append(other.piece(copy))
    assert sum(len(piece.rows) for piece in pieces) <= ITEMS + 1 - before
    index, rows = copy.whole()
    assert index == 2 * ITEMS + 1 and {value[0] for kind, _, value in rows if kind == "plant"} == {2}


def test_it_begins_anew_where_the_changes_are_gone() -> None:
    sender, copy = Sender(), PublicCopy()
    for _ in range(5):
        copy.take(copy.position, sender.piece(copy))
    sender.log.recent_public.reset(ITEMS)
    sender.set(ITEMS + 1, "plant", "p1", plant(1, 2))
    sender.log.recent_public.reset(ITEMS + 1)
    assert sender.piece(copy).anew
    finish(sender, copy)
    assert copy.rows.checksum == sender.log.state.public.checksum


def test_a_piece_that_follows_another_place_is_left_alone() -> None:
    """Two replicas are asked at once, and the copy has gone on at the other one."""
    sender, copy = Sender(), PublicCopy()
    copy.take(EMPTY_POSITION, sender.piece(copy))
    asked, piece = copy.position, sender.piece(copy)
    for _ in range(2):
        copy.take(copy.position, sender.piece(copy))
    held = copy.position, copy.rows.count
    assert not copy.take(asked, piece)
    assert (copy.position, copy.rows.count) == held
    finish(sender, copy)
    assert copy.rows.checksum == sender.log.state.public.checksum


def test_one_that_differs_is_not_taken() -> None:
    sender, copy = Sender(), PublicCopy()
    for _ in range(3):
        copy.take(copy.position, sender.piece(copy))
    copy.rows.set("plant", "p0", 1, plant(0, 1))
    with pytest.raises(CopyMismatch):
        finish(sender, copy)
    assert copy.position == EMPTY_POSITION and copy.rows.count == 0
    finish(sender, copy)
    assert copy.rows.checksum == sender.log.state.public.checksum


def test_an_older_copy_takes_nothing_back() -> None:
    """It was at a replica that knows more; the one that it comes to gives a whole copy of before."""
    newer, older, table = Sender(), Sender(), Table()
    newer.set(ITEMS + 1, "plant", "p1", plant(1, 2))
    copy = PublicCopy()
    finish(newer, copy)
    table.snapshot(*copy.whole())
    finish(older, copy)
    assert table.snapshot(*copy.whole()) == set()
    assert (table.index, table.plants["p1"].health) == (ITEMS + 1, "/2")
