"""Orders that a proxy holds ahead of their decision, and long changes that are put in force in slices."""

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
    Beat,
    Changes,
    CopyPiece,
    CopyPosition,
    CopyRequest,
    Entry,
    Line,
    Row,
    StagedPosition,
    StagedRows,
    StageOffer,
    StagePiece,
    StageRequest,
)
from brackengate.proxy import follow
from brackengate.proxy.admission import Gate
from brackengate.proxy.apply_queue import SLICE, ApplyQueue
from brackengate.proxy.follow import Following
from brackengate.proxy.role import Pilot
from brackengate.proxy.routing_table import Table
from brackengate.proxy.staged import KEPT, NotHeld, StagedStore

ROUTES = 2_000
PLAYED_S = 5.0


def route(number: int, version: int = 5) -> Row:
    body = {"Name": f"r{number}", "PathPrefix": f"/{number}/", "SignalKind": "idempotent", "Cutoff": "500ms"}
    return "route", f"r{number}", [version, "h", {**body, "Plant": "p", "Revision": f"r{version}"}]


def piece(number: int, each: int = 10) -> StagePiece:
    return StagePiece("x", number, tuple(route(n) for n in range(number * each, (number + 1) * each)))


def test_pieces_are_taken_in_order_and_go_on_at_another_replica() -> None:
    store = StagedStore()
    assert store.offered("x", 3) == 0
    assert store.take(piece(1)) is None
    assert store.take(piece(0)) == 1
    assert store.take(piece(0)) is None
    assert store.positions() == (StagedPosition("x", 1),)
    assert store.offered("x", 3) == 1
    with pytest.raises(NotHeld):
        StagedStore().put_in_force(StagedRows("x"))
    assert (store.take(piece(1)), store.take(piece(2))) == (2, 3)
    rows = store.put_in_force(StagedRows("x", (0, 29)))
    assert [name for _, name, _ in rows] == [f"r{n}" for n in range(1, 29)]
    assert store.positions() == ()


def test_an_order_that_lacks_a_piece_is_never_put_in_force() -> None:
    store = StagedStore()
    store.offered("x", 2)
    store.take(piece(0))
    with pytest.raises(NotHeld):
        store.put_in_force(StagedRows("x"))


def test_few_orders_are_held_at_a_time() -> None:
    store = StagedStore()
    for number in range(KEPT + 2):
        store.offered(f"x{number}", 1)
    assert [one.id for one in store.positions()] == [f"x{n}" for n in range(2, KEPT + 2)]


class Replica:
    """The end of a link, as the follower sees it."""

    def __init__(self) -> None:
        self.addr, self.good, self.closed = "10.0.0.1:80", True, False
        self.said: list[Line] = []
        self.clock = follow.ClockOffset()

    def send(self, word: Line) -> None:
        self.said.append(word)

    def close(self) -> None:
        self.closed = True


class Follower:
    def __init__(self) -> None:
        self.table, self.told, self.now = Table(), list[int](), 0
        self.following = Following(
            "10.0.0.9", "z", 1, lambda: (), self.table, self._changed, lambda: self.now, lambda _: ()
        )
        self.replica: Replica = Replica()
        self.following._link = self.replica  # type: ignore[assignment]

    def _changed(self, kinds: set[str]) -> None:
        self.told.append(sum(1 for _ in self.table.routes()))

    def hear(self, *words: Line) -> None:
        for word in words:
            self.following.line(self.replica, word)  # type: ignore[arg-type]

    def stage(self, pieces: int, each: int) -> None:
        self.hear(StageOffer("x", pieces))
        for number in range(pieces):
            assert self.replica.said[-1] == StageRequest("x", number)
            self.hear(piece(number, each))
        assert self.replica.said[-1] == StageRequest("x", pieces)


def played(coroutine: Coroutine[Any, Any, None]) -> None:
    run(coroutine, PLAYED_S)


def test_a_staged_order_is_in_force_with_its_reference_and_not_before() -> None:
    async def play() -> None:
        one = Follower()
        one.stage(3, 10)
        assert one.table.find("h", "/7/x") is None
        one.hear(Changes(4, (route(99),), (StagedRows("x", (7,)),)))
        await asyncio.sleep(0)
        assert one.table.find("h", "/7/x") is None and one.table.find("h", "/8/x") is not None
        assert one.table.find("h", "/99/x") is not None and one.table.index == 4

    played(play())


def test_a_long_change_goes_in_slices_and_what_follows_waits_for_it() -> None:
    async def play() -> None:
        one = Follower()
        one.stage(4, ROUTES // 4)
        one.hear(Changes(4, (), (StagedRows("x"),)), Changes(5, (route(3, 9),)), Changes(6, (route(1, 9),)))
        assert one.table.index == -1 and len(list(one.table.routes())) <= SLICE
        turns = 0
        while one.table.index < 6:
            turns += 1
            await asyncio.sleep(0)
        assert turns >= ROUTES // SLICE - 1
        assert all(now - before <= SLICE for before, now in zip(one.told, one.told[1:], strict=False))
        assert len(list(one.table.routes())) == ROUTES

    played(play())


def test_it_is_current_when_all_of_a_long_change_is_in_force() -> None:
    async def play() -> None:
        one = Follower()
        one.now = 1_000
        one.hear(Changes(3, (route(0, 1),)))
        one.stage(4, ROUTES // 4)
        one.hear(Beat(4, 5_000, 100, 900), Changes(4, (), (StagedRows("x"),)))
        assert not one.following.is_current(1_000_000)
        while one.table.index < 4:
            await asyncio.sleep(0)
        assert one.following.is_current(1_000_000)

    played(play())


def test_a_reference_to_what_is_not_here_makes_it_follow_anew() -> None:
    async def play() -> None:
        one = Follower()
        one.stage(1, 10)
        one.hear(Changes(4, (), (StagedRows("y"),)))
        assert one.replica.closed and one.table.index == -1

    played(play())


class Copied(Follower):
    """A follower that takes a whole copy, piece by piece."""

    def copy(self, index: int, *rows: Row) -> None:
        replica = CopySource(index, rows)
        self.following._link = self.replica = replica
        while not replica.sent_whole:
            self.hear(replica.next_piece())


class CopySource(Replica):
    def __init__(self, index: int, rows: tuple[Row, ...]) -> None:
        super().__init__()
        self.position, self.sent_whole = EMPTY_POSITION, False
        self._log = ReplicaLog(0)
        for at, row in enumerate(rows, index - len(rows) + 1):
            self._log.append(Entry(at, (row,)))
            self._log.commit(at)

    def asked_for(self, piece: CopyPiece) -> CopyPosition:
        return self.position

    def ask_for_piece(self, position: CopyPosition) -> None:
        self.position = position

    def next_piece(self) -> CopyPiece:
        log, request = self._log, CopyRequest(0, self.position)
        piece = transfer.next_piece(log.state.public, log.recent_public, log.index, request)
        assert piece is not None
        self.sent_whole = piece.total is not None
        return piece


def test_a_whole_copy_goes_in_slices_at_a_proxy_that_serves() -> None:
    async def play() -> None:
        one = Copied()
        gone = {"id": "i", "plant": "p", "zone": "z", "state": "ready"}
        one.hear(Changes(1, (route(0, 1), ("inst", "10.0.0.8", gone))))
        one.copy(ROUTES + 9, *(route(n) for n in range(ROUTES)))
        one.hear(Changes(ROUTES + 10, (route(3, 9),)))
        assert one.table.index == 1 and len(list(one.table.routes())) <= SLICE + 1
        while one.table.index < ROUTES + 10:
            await asyncio.sleep(0)
        assert all(now - before <= SLICE for before, now in zip(one.told, one.told[1:], strict=False))
        assert len(list(one.table.routes())) == ROUTES and not one.table.instances

    played(play())


def test_the_first_configuration_is_served_when_all_of_it_is_there() -> None:
    """A part of it could send a request to a route that a more specific one overrides."""

    async def play() -> None:
        changed = Follower()
        changed.hear(Changes(0, ()), Changes(1, tuple(route(n) for n in range(ROUTES))))
        while len(list(changed.table.routes())) < ROUTES:
            assert not changed.table.known
            await asyncio.sleep(0)
        assert changed.table.known
        copied = Copied()
        copied.copy(ROUTES + 9, *(route(n) for n in range(ROUTES)))
        assert copied.table.known and len(list(copied.table.routes())) == ROUTES

    played(play())


def test_a_change_that_comes_again_from_a_replica_that_lags_takes_nothing_back() -> None:
    """Rows of machines have no versions: what is in force already is passed over."""

    async def play() -> None:
        one = Follower()
        machine = "10.0.0.8"
        ready = {"id": "i", "plant": "p", "zone": "z", "state": "ready"}
        long = (("inst", machine, ready), *(route(n) for n in range(2 * SLICE)))
        states = list[str]()
        one.following._changed = lambda kinds: states.append(one.table.instances[machine].state)
        one.hear(Changes(4, long), Changes(5, (("inst", machine, {**ready, "state": "gone"}),)))
        one.hear(Changes(4, long))  # by the next replica, before the first one was in force
        for _ in range(20):
            await asyncio.sleep(0)
        assert states[-1] == "gone" and "ready" not in states[states.index("gone") :]
        assert one.table.index == 5

    played(play())


def test_a_restarted_proxy_knows_its_upstream_when_its_own_row_comes_in_the_last_slice() -> None:
    table, gate, steps = Table(), Gate("z", 1_500_000, 2_000_000), list[Callable[[], None]]()
    settings, clock = SimpleNamespace(ip="10.0.0.9", plant="p"), SimpleNamespace(now=lambda: 0)
    parts = {"settings": settings, "clock": clock, "way": Mock(), "watcher": Mock()}
    pilot: Any = SimpleNamespace(table=table, gate=gate, _adopted=False, **parts)
    pilot._adopt = lambda: Pilot._adopt(pilot)
    own = {"id": "i", "plant": "p", "zone": "z", "state": "ready"}
    queue = ApplyQueue(table, steps.append, lambda kinds: Pilot._changed(pilot, kinds))
    queue.add(1, (*(route(n) for n in range(2 * SLICE)), ("inst", "10.0.0.9", own)))
    while steps:
        assert gate.beat is None
        steps.pop()()
    assert gate.beat is not None and gate.beat.id == "i"
