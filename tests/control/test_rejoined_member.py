"""Followers of a member that was dropped from the view, missed an order and joined again."""

from __future__ import annotations

from typing import Any

import pytest
from simulated_cluster import SimulatedCluster
from test_followers import FakeConnection
from timeline import play

from brackengate.control import log as log_module
from brackengate.control import transfer
from brackengate.control.chain import Chain
from brackengate.control.follower_connections import FollowerConnections
from brackengate.control.log import ReplicaLog
from brackengate.control.transfer import COMPLETE_BUCKET
from brackengate.protocol.messages import Entry, Follow, SnapshotPosition, SnapshotRequest

PLANT = ("plant", "p")
REJOIN = """
    ms    | A              B              C
    2000  |                order 1
    3000  | cut
    4500  |                order 2
    5500  | heal
    9000  | in             in             in
"""
WIPE = """
    ms    | A              B              C
    2000  |                order 1
    3000  | wipe
    4500  |                order 2
    5500  | up
    9000  | in             in             in
"""


def rejoined(text: str) -> tuple[SimulatedCluster, Chain]:
    """The cluster and the chain of A, after A has joined again and nothing was appended since."""
    cluster, answers = play(text)
    assert answers == {"order 1": "ok", "order 2": "ok"}
    replica = cluster.hosts["10.0.0.1:80"].replica
    assert replica is not None and replica.serves(cluster.now)
    return cluster, replica.chain


def index_before_order_2(chain: Chain) -> int:
    """The index of a follower that has got order 1 and not order 2."""
    return chain.published[PLANT][0] - 1


@pytest.mark.parametrize("how", ["entries", "new copy", "wiped disk"])
def test_a_follower_gets_the_order_that_it_and_the_rejoined_member_have_missed(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against `review/7`: the member told the newest index without the order, for good."""
    if how == "new copy":
        monkeypatch.setattr(log_module, "RECENT_ENTRIES", 0)
    cluster, chain = rejoined(WIPE if how == "wiped disk" else REJOIN)
    stopped_at = index_before_order_2(chain)
    replica = cluster.hosts["10.0.0.1:80"].replica
    assert replica is not None
    followers = FollowerConnections(
        replica, lambda: cluster.now, lambda actions: None, lambda what, done, within: 0, lambda number: None
    )
    fake = FakeConnection()
    connection: Any = fake
    followers.add(connection)
    followers.receive(connection, Follow(stopped_at))
    changes = fake.changes()
    rows = [row for one in changes for row in one.rows] or [
        (row.kind, row.name, row.value) for row in fake.last_piece().rows
    ]
    assert [value[0] for kind, name, value in rows if (kind, name) == PLANT] == [2]


def test_a_rejoined_member_sends_followers_the_missed_entries_and_no_copy() -> None:
    """Else each follower that comes back to it would fetch all rows, over a link that requests share."""
    _, chain = rejoined(REJOIN)
    changes = chain.changes_since(index_before_order_2(chain))
    assert changes is not None and [name for _, name, _ in changes.rows] == ["p"]


def test_a_follower_resumes_its_copy_at_a_rejoined_member() -> None:
    """The missed order may belong to the part of the copy that the follower holds already."""
    _, chain = rejoined(REJOIN)
    before = SnapshotPosition(COMPLETE_BUCKET - 1, index_before_order_2(chain))
    piece = chain.public_copy_piece(SnapshotRequest(1, before))
    assert piece is not None and not piece.from_start
    assert [row[:2] for entry in piece.entries for row in entry.rows] == [PLANT]


def test_a_log_that_moves_on_without_its_entries_has_followers_fetch_a_copy() -> None:
    log = ReplicaLog(0)
    log.append(Entry(1, (("plant", "p", [1, "", None]),)))
    log.commit(1)
    assert log.recent_public.all_between(0, 1) is not None
    assert log.recent_public.all_between(0, 2) is None and log.recent.all_between(0, 2) is None
    request = SnapshotRequest(1, SnapshotPosition(1, 1))
    piece = transfer.next_piece(log.state.public, log.recent_public, 2, request)
    assert piece is not None and piece.from_start


def test_a_copy_that_starts_anew_drops_the_entries_kept_before_it() -> None:
    """They belong to rows that are gone; what stands between them and the copy is not known."""
    log = ReplicaLog(0)
    log.append(Entry(1, (("plant", "p", [1, "", None]),)))
    log.commit(1)
    log.reset(9)
    log.apply_copy(9, [(9, ("plant", "q", [1, "", None]))], ())
    assert log.recent_public.all_between(1, 9) is None
    assert log.recent_public.all_between(9, 9) == []
