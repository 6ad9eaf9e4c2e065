"""Snapshots of the public rows: received in pieces, resumable at any replica, applied when complete."""

from __future__ import annotations

from typing import Any

import pytest

from brackengate.control import transfer
from brackengate.control.log import ReplicaLog
from brackengate.control.transfer import EMPTY_POSITION, CopyMismatch, next_piece
from brackengate.protocol.messages import Entry, SnapshotPiece, SnapshotRequest
from brackengate.proxy.routing_table import RoutingTable
from brackengate.proxy.snapshot_receiver import SnapshotReceiver

ITEMS = 60


@pytest.fixture(autouse=True)
def small_pieces(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 7)


class Sender:
    """A replica, as far as it sends snapshots."""

    def __init__(self) -> None:
        self.log = ReplicaLog(0)
        for n in range(1, ITEMS + 1):
            self.set(n, "plant", f"p{n}", plant(n, 1))

    def set(self, index: int, kind: str, name: str, value: Any) -> None:
        self.log.append(Entry(index, ((kind, name, value), ("key", f"k{index}", ["g", "1"]))))
        self.log.commit(index)

    def piece(self, receiver: SnapshotReceiver) -> SnapshotPiece:
        log = self.log
        made = next_piece(
            log.state.public, log.recent_public, log.index, SnapshotRequest(1, receiver.position)
        )
        assert made is not None
        return made


def plant(n: int, version: int) -> list[Any]:
    return [version, "", {"Name": f"p{n}", "Revision": f"r{version}", "HealthPath": f"/{version}"}]


def finish(sender: Sender, receiver: SnapshotReceiver) -> int:
    """Receive the rest; returns the number of pieces."""
    count = 1
    while not receiver.receive(receiver.position, sender.piece(receiver)):
        count += 1
    return count


def test_nothing_is_in_force_before_the_snapshot_is_complete() -> None:
    sender, receiver, table = Sender(), SnapshotReceiver(), RoutingTable()
    for _ in range(5):
        assert not receiver.receive(receiver.position, sender.piece(receiver))
    assert (table.index, table.services) == (-1, {}) and receiver.rows.count >= 35
    assert finish(sender, receiver) > 2
    index, rows = receiver.take_complete()
    assert table.apply_snapshot(index, rows) == {"plant"}
    assert table.index == ITEMS and len(table.services) == ITEMS
    assert not any(kind == "key" for kind, _, _ in rows)


def test_transfer_resumes_at_another_replica_with_newer_changes() -> None:
    sender, other, receiver = Sender(), Sender(), SnapshotReceiver()
    for _ in range(5):
        receiver.receive(receiver.position, sender.piece(receiver))
    for n in range(1, ITEMS + 1):  # rows that were received, and rows that were not
        other.set(ITEMS + n, "plant", f"p{n}", plant(n, 2))
    other.set(2 * ITEMS + 1, "inst", "10.0.0.1", None)
    before = receiver.rows.count
    pieces = [other.piece(receiver)]
    assert not pieces[0].from_start
    while not receiver.receive(receiver.position, pieces[-1]):
        pieces.append(other.piece(receiver))
    assert sum(len(piece.rows) for piece in pieces) <= ITEMS + 1 - before
    index, rows = receiver.take_complete()
    assert index == 2 * ITEMS + 1 and {value[0] for kind, _, value in rows if kind == "plant"} == {2}


def test_transfer_restarts_where_the_changes_are_no_longer_kept() -> None:
    sender, receiver = Sender(), SnapshotReceiver()
    for _ in range(5):
        receiver.receive(receiver.position, sender.piece(receiver))
    sender.log.recent_public.reset(ITEMS)
    sender.set(ITEMS + 1, "plant", "p1", plant(1, 2))
    sender.log.recent_public.reset(ITEMS + 1)
    assert sender.piece(receiver).from_start
    finish(sender, receiver)
    assert receiver.rows.checksum == sender.log.state.public.checksum


def test_piece_that_follows_another_position_is_ignored() -> None:
    """Two replicas send pieces at once, and the snapshot has moved on with the other one's."""
    sender, receiver = Sender(), SnapshotReceiver()
    receiver.receive(EMPTY_POSITION, sender.piece(receiver))
    requested_after, piece = receiver.position, sender.piece(receiver)
    for _ in range(2):
        receiver.receive(receiver.position, sender.piece(receiver))
    held = receiver.position, receiver.rows.count
    assert not receiver.receive(requested_after, piece)
    assert (receiver.position, receiver.rows.count) == held
    finish(sender, receiver)
    assert receiver.rows.checksum == sender.log.state.public.checksum


def test_snapshot_with_a_wrong_checksum_is_dropped() -> None:
    sender, receiver = Sender(), SnapshotReceiver()
    for _ in range(3):
        receiver.receive(receiver.position, sender.piece(receiver))
    receiver.rows.set("plant", "p0", 1, plant(0, 1))
    with pytest.raises(CopyMismatch):
        finish(sender, receiver)
    assert receiver.position == EMPTY_POSITION and receiver.rows.count == 0
    finish(sender, receiver)
    assert receiver.rows.checksum == sender.log.state.public.checksum


def test_older_snapshot_is_ignored() -> None:
    """The proxy moves from a newer replica to a lagging one, which sends a complete older snapshot."""
    newer, older, table = Sender(), Sender(), RoutingTable()
    newer.set(ITEMS + 1, "plant", "p1", plant(1, 2))
    receiver = SnapshotReceiver()
    finish(newer, receiver)
    table.apply_snapshot(*receiver.take_complete())
    finish(older, receiver)
    assert table.apply_snapshot(*receiver.take_complete()) == set()
    assert (table.index, table.services["p1"].health) == (ITEMS + 1, "/2")
