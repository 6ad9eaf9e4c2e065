"""Changes that a proxy receives before their commit, and long changes that are applied in slices."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import pytest
from peers import run

from brackengate.control import transfer
from brackengate.control.log import ReplicaLog
from brackengate.control.transfer import EMPTY_POSITION
from brackengate.protocol.messages import (
    Changes,
    Entry,
    Heartbeat,
    Message,
    Row,
    SnapshotPiece,
    SnapshotPosition,
    SnapshotRequest,
    StagedPosition,
    StagedRows,
    StageOffer,
    StagePiece,
    StageRequest,
)
from brackengate.proxy import control_client
from brackengate.proxy.admission import Admission
from brackengate.proxy.apply_queue import SLICE_ROWS, ApplyQueue
from brackengate.proxy.control_client import ControlClient
from brackengate.proxy.role import Proxy
from brackengate.proxy.routing_table import RoutingTable
from brackengate.proxy.staged_changes import MAX_STAGED_CHANGES, StagedChangeMissing, StagedChanges

ROUTES = 2_000
PLAYED_S = 5.0


def route(number: int, version: int = 5) -> Row:
    body = {"Name": f"r{number}", "PathPrefix": f"/{number}/", "SignalKind": "idempotent", "Cutoff": "500ms"}
    return "route", f"r{number}", [version, "h", {**body, "Plant": "p", "Revision": f"r{version}"}]


def piece(number: int, each: int = 10) -> StagePiece:
    return StagePiece("x", number, tuple(route(n) for n in range(number * each, (number + 1) * each)))


def test_pieces_are_received_in_order_and_resume_at_another_replica() -> None:
    store = StagedChanges()
    assert store.next_piece("x", 3) == 0
    assert store.receive(piece(1)) is None
    assert store.receive(piece(0)) == 1
    assert store.receive(piece(0)) is None
    assert store.positions() == (StagedPosition("x", 1),)
    assert store.next_piece("x", 3) == 1
    with pytest.raises(StagedChangeMissing):
        StagedChanges().take_rows(StagedRows("x"))
    assert (store.receive(piece(1)), store.receive(piece(2))) == (2, 3)
    rows = store.take_rows(StagedRows("x", (0, 29)))
    assert [name for _, name, _ in rows] == [f"r{n}" for n in range(1, 29)]
    assert store.positions() == ()


def test_change_that_lacks_a_piece_is_never_applied() -> None:
    store = StagedChanges()
    store.next_piece("x", 2)
    store.receive(piece(0))
    with pytest.raises(StagedChangeMissing):
        store.take_rows(StagedRows("x"))


def test_number_of_staged_changes_is_limited() -> None:
    store = StagedChanges()
    for number in range(MAX_STAGED_CHANGES + 2):
        store.next_piece(f"x{number}", 1)
    assert [position.id for position in store.positions()] == [
        f"x{n}" for n in range(2, MAX_STAGED_CHANGES + 2)
    ]


class Replica:
    """The replica's end of a link, as the proxy sees it."""

    def __init__(self) -> None:
        self.addr, self.established, self.closed = "10.0.0.1:80", True, False
        self.sent: list[Message] = []
        self.clock = control_client.ClockOffset()

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def close(self) -> None:
        self.closed = True


class Follower:
    def __init__(self) -> None:
        self.table, self.route_counts, self.now = RoutingTable(), list[int](), 0
        self.client = ControlClient(
            "10.0.0.9", "z", 1, lambda: (), self.table, self._on_changed, lambda: self.now, lambda _: ()
        )
        self.replica: Replica = Replica()
        self.client._link = self.replica  # type: ignore[assignment]

    def _on_changed(self, kinds: set[str]) -> None:
        self.route_counts.append(sum(1 for _ in self.table.routes()))

    def deliver(self, *messages: Message) -> None:
        for message in messages:
            self.client.receive(self.replica, message)  # type: ignore[arg-type]

    def stage(self, pieces: int, each: int) -> None:
        self.deliver(StageOffer("x", pieces))
        for number in range(pieces):
            assert self.replica.sent[-1] == StageRequest("x", number)
            self.deliver(piece(number, each))
        assert self.replica.sent[-1] == StageRequest("x", pieces)


def played(coroutine: Coroutine[Any, Any, None]) -> None:
    run(coroutine, PLAYED_S)


def test_staged_change_is_in_force_with_its_reference_and_not_before() -> None:
    async def play() -> None:
        follower = Follower()
        follower.stage(3, 10)
        assert follower.table.find("h", "/7/x") is None
        follower.deliver(Changes(4, (route(99),), (StagedRows("x", (7,)),)))
        await asyncio.sleep(0)
        assert follower.table.find("h", "/7/x") is None and follower.table.find("h", "/8/x") is not None
        assert follower.table.find("h", "/99/x") is not None and follower.table.index == 4

    played(play())


def test_long_change_is_applied_in_slices_and_later_ones_wait() -> None:
    async def play() -> None:
        follower = Follower()
        follower.stage(4, ROUTES // 4)
        follower.deliver(
            Changes(4, (), (StagedRows("x"),)), Changes(5, (route(3, 9),)), Changes(6, (route(1, 9),))
        )
        assert follower.table.index == -1 and len(list(follower.table.routes())) <= SLICE_ROWS
        turns = 0
        while follower.table.index < 6:
            turns += 1
            await asyncio.sleep(0)
        assert turns >= ROUTES // SLICE_ROWS - 1
        assert all(
            now - before <= SLICE_ROWS
            for before, now in zip(follower.route_counts, follower.route_counts[1:], strict=False)
        )
        assert len(list(follower.table.routes())) == ROUTES

    played(play())


def test_proxy_is_current_when_all_of_a_long_change_is_in_force() -> None:
    async def play() -> None:
        follower = Follower()
        follower.now = 1_000
        follower.deliver(Changes(3, (route(0, 1),)))
        follower.stage(4, ROUTES // 4)
        follower.deliver(Heartbeat(4, 5_000, 100, 900), Changes(4, (), (StagedRows("x"),)))
        assert not follower.client.is_current(1_000_000)
        while follower.table.index < 4:
            await asyncio.sleep(0)
        assert follower.client.is_current(1_000_000)

    played(play())


def test_reference_to_a_missing_change_closes_the_link() -> None:
    async def play() -> None:
        follower = Follower()
        follower.stage(1, 10)
        follower.deliver(Changes(4, (), (StagedRows("y"),)))
        assert follower.replica.closed and follower.table.index == -1

    played(play())


class SnapshotFollower(Follower):
    """A follower that receives a complete snapshot, piece by piece."""

    def follow_snapshot(self, index: int, *rows: Row) -> None:
        replica = SnapshotSource(index, rows)
        self.client._link = self.replica = replica
        while not replica.sent_all:
            self.deliver(replica.next_piece())


class SnapshotSource(Replica):
    def __init__(self, index: int, rows: tuple[Row, ...]) -> None:
        super().__init__()
        self.position, self.sent_all = EMPTY_POSITION, False
        self._log = ReplicaLog(0)
        for at, row in enumerate(rows, index - len(rows) + 1):
            self._log.append(Entry(at, (row,)))
            self._log.commit(at)

    def requested_position(self, piece: SnapshotPiece) -> SnapshotPosition:
        return self.position

    def request_piece(self, position: SnapshotPosition) -> None:
        self.position = position

    def next_piece(self) -> SnapshotPiece:
        log, request = self._log, SnapshotRequest(0, self.position)
        piece = transfer.next_piece(log.state.public, log.recent_public, log.index, request)
        assert piece is not None
        self.sent_all = piece.total is not None
        return piece


def test_snapshot_is_applied_in_slices_at_a_serving_proxy() -> None:
    async def play() -> None:
        follower = SnapshotFollower()
        gone = {"id": "i", "plant": "p", "zone": "z", "state": "ready"}
        follower.deliver(Changes(1, (route(0, 1), ("inst", "10.0.0.8", gone))))
        follower.follow_snapshot(ROUTES + 9, *(route(n) for n in range(ROUTES)))
        follower.deliver(Changes(ROUTES + 10, (route(3, 9),)))
        assert follower.table.index == 1 and len(list(follower.table.routes())) <= SLICE_ROWS + 1
        while follower.table.index < ROUTES + 10:
            await asyncio.sleep(0)
        assert all(
            now - before <= SLICE_ROWS
            for before, now in zip(follower.route_counts, follower.route_counts[1:], strict=False)
        )
        assert len(list(follower.table.routes())) == ROUTES and not follower.table.instances

    played(play())


def test_first_configuration_is_in_force_only_when_complete() -> None:
    """With a part of it a request could go to a route that a more specific one overrides."""

    async def play() -> None:
        changed = Follower()
        changed.deliver(Changes(0, ()), Changes(1, tuple(route(n) for n in range(ROUTES))))
        while len(list(changed.table.routes())) < ROUTES:
            assert not changed.table.has_configuration
            await asyncio.sleep(0)
        assert changed.table.has_configuration
        with_snapshot = SnapshotFollower()
        with_snapshot.follow_snapshot(ROUTES + 9, *(route(n) for n in range(ROUTES)))
        assert with_snapshot.table.has_configuration and len(list(with_snapshot.table.routes())) == ROUTES

    played(play())


def test_change_sent_again_by_a_lagging_replica_is_skipped() -> None:
    """Rows of machines have no versions: a change that is in force is skipped."""

    async def play() -> None:
        follower = Follower()
        machine = "10.0.0.8"
        ready = {"id": "i", "plant": "p", "zone": "z", "state": "ready"}
        long = (("inst", machine, ready), *(route(n) for n in range(2 * SLICE_ROWS)))
        states = list[str]()
        follower.client._on_changed = lambda kinds: states.append(follower.table.instances[machine].state)
        follower.deliver(Changes(4, long), Changes(5, (("inst", machine, {**ready, "state": "gone"}),)))
        follower.deliver(Changes(4, long))  # by the next replica, before the first change was in force
        for _ in range(20):
            await asyncio.sleep(0)
        assert states[-1] == "gone" and "ready" not in states[states.index("gone") :]
        assert follower.table.index == 5

    played(play())


def test_restarted_proxy_adopts_its_upstream_from_a_row_in_the_last_slice() -> None:
    table, admission, steps = RoutingTable(), Admission("z", 1_500_000, 2_000_000), list[Callable[[], None]]()
    settings, clock = SimpleNamespace(ip="10.0.0.9", plant="p"), SimpleNamespace(now=lambda: 0)
    parts = {"settings": settings, "clock": clock, "egress": Mock(), "liveness_monitor": Mock()}
    proxy: Any = SimpleNamespace(table=table, admission=admission, _adopted=False, **parts)
    proxy._adopt = lambda: Proxy._adopt(proxy)
    own = {"id": "i", "plant": "p", "zone": "z", "state": "ready"}
    queue = ApplyQueue(table, steps.append, lambda kinds: Proxy._on_table_changed(proxy, kinds))
    queue.add(1, (*(route(n) for n in range(2 * SLICE_ROWS)), ("inst", "10.0.0.9", own)))
    while steps:
        assert admission.heartbeat is None
        steps.pop()()
    assert admission.heartbeat is not None and admission.heartbeat.id == "i"
