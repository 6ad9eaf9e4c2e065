"""Whoever was away catches up by a copy in pieces and the entries after it, and counts for nothing before."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest
from corekit import Core, Host
from timeline import play

from brackengate.control import log, recent, transfer
from brackengate.control.learning import Learner
from brackengate.control.replica import FIRST
from brackengate.control.rows import KEY, CommittedRows
from brackengate.control.transfer import COMPLETE
from brackengate.model_check.disk import DiskState
from brackengate.protocol.messages import (
    Amend,
    Claim,
    CommandDone,
    Member,
    Message,
    SnapshotPiece,
    Unclaim,
    View,
)

NAMES = [f"10.0.0.{n}:80" for n in range(1, 6)]
ROWS = 1_000
decode = msgspec.json.Decoder(Message).decode


@pytest.fixture(autouse=True)
def small_pieces(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 20)


def filled(disk: DiskState, members: list[str], rows: int = ROWS) -> None:
    """As the disk of a member of the first view that has taken so many claims."""
    disk.incarnation = FIRST
    view = View(1, tuple(Member(name, FIRST, 1) for name in members))
    for name, value in {"place": rows, "base": rows, "lineage": 1, "view": view}.items():
        disk.meta[name] = msgspec.json.encode(value)
    for n in range(rows):
        disk.committed[KEY, f"old {n}"] = (n + 1, msgspec.json.encode(["g", "1"]))


class Copies:
    """A core of three with many keys, and a fourth replica that starts when it is told."""

    def __init__(self, members: int = 3, seed: int = 1, rows: int = ROWS) -> None:
        self.core = core = Core(NAMES[: members + 1], seed, seeds=3)
        self.hosts = list(core.hosts.values())
        self.members, self.learner = self.hosts[:members], self.hosts[members]
        for host in self.members:
            assert isinstance(host.disk, DiskState)
            filled(host.disk, [host.name for host in self.members], rows)
        self.learner.start = lambda first=False: None  # type: ignore[method-assign]
        self.acked: dict[str, str] = {}
        self.freed: set[str] = set()
        self.pieces: list[tuple[str, SnapshotPiece]] = []  # that the learner heard
        core.run(1_500_000)
        del self.learner.start

    def begin(self) -> None:
        """The learner starts, and what it hears is written down."""
        hear = self.learner.hear

        def heard(addr: str, line: bytes) -> None:
            word = decode(line)
            if isinstance(word, SnapshotPiece) and self.learner.replica is not None:
                self.pieces.append((addr, word))
            hear(addr, line)

        self.learner.hear = heard  # type: ignore[method-assign]
        self.learner.start()

    def until(self, what: Callable[[], bool], most: int = 20_000_000, step: int = 1_000) -> int:
        """The time that it took."""
        begun = self.core.now
        while not what():
            assert self.core.now - begun < most
            self.core.run(self.core.now + step)
        return self.core.now - begun

    def copied(self, host: Host | None = None) -> int:
        replica = (host or self.learner).replica
        return replica.chain.log().copied if replica is not None else -1

    def is_in(self, host: Host) -> bool:
        return host.replica is not None and host.replica.chain.has_snapshot

    def claim(self, key: str, host: Host) -> None:
        def done(result: Any) -> None:
            if isinstance(result, CommandDone):
                self.acked[key] = host.name

        host.ask(Claim(key, host.name, "1"), done)

    def claims(self, every: int, until: int) -> None:
        """Claims at all members by turns, while they are up."""
        numbers = iter(range(1_000_000))

        def one() -> None:
            n = next(numbers)
            self.claim(f"new {n}", self.members[n % len(self.members)])
            if self.core.now < until:
                self.core.later(every, one)

        one()

    def alike(self) -> None:
        """All hold the same, by rows and by sum, and all that was acknowledged."""
        held = {_held(host) for host in self.hosts}
        assert len(held) == 1, held
        for host in self.hosts:
            assert host.replica is not None
            assert self.lacks(host) == []

    def lacks(self, host: Host) -> list[str]:
        """What was acknowledged and is not held there."""
        assert host.replica is not None
        rows = host.replica.chain.rows
        return [key for key in self.acked if key not in self.freed and (KEY, key) not in rows]


def _held(host: Host) -> tuple[int, int, int]:
    assert host.replica is not None and host.replica.chain.has_snapshot, host.name
    state = host.replica.chain.state
    return state.index, state.rows.count, state.rows.checksum


def anew(pieces: list[tuple[str, SnapshotPiece]]) -> int:
    return sum(piece.from_start for _, piece in pieces)


def sent(pieces: list[tuple[str, SnapshotPiece]]) -> int:
    return sum(len(piece.rows) for _, piece in pieces)


def test_a_new_replica_copies_before_it_takes_its_place_and_claims_go_on() -> None:
    case = Copies()
    case.claims(5_000, case.core.now + 1_000_000)
    case.begin()
    epochs = set[int]()
    longest = 0

    def look() -> bool:
        nonlocal longest
        replica = case.members[0].replica
        assert replica is not None and case.learner.replica is not None
        if not case.learner.replica.agreement.is_member and case.copied() < 0:
            epochs.add(replica.agreement.view.epoch)
            assert not case.learner.replica.serves(case.core.now)
            longest = max(longest, len(replica.chain._pending_replies))
        return case.is_in(case.learner)

    case.until(look)
    assert epochs == {1}  # nobody was missed, and nobody let in, while it copied
    assert longest < 5  # and the chain did not stand still
    case.core.run(case.core.now + 2_000_000)
    case.alike()
    assert anew(case.pieces) == 1 and len(case.pieces) > ROWS // 40
    assert len(case.acked) > 150


def test_a_copy_that_is_cut_goes_on_where_it_was() -> None:
    case = Copies()
    case.begin()
    case.until(lambda: len(case.pieces) > 20)
    case.core.cut((a.name, b.name) for m in case.members for a, b in ((m, case.learner), (case.learner, m)))
    case.claims(20_000, case.core.now + 1_500_000)
    case.core.run(case.core.now + 2_000_000)
    assert case.copied() < 0
    case.core.heal()
    case.until(lambda: case.is_in(case.learner))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert anew(case.pieces) == 1 and sent(case.pieces) <= ROWS + len(case.acked) + 40


@pytest.mark.parametrize("how", ["stop", "leave", "cut"])
def test_a_sender_that_loses_its_place_is_followed_by_another(how: str) -> None:
    case = Copies()
    case.claims(20_000, case.core.now + 1_500_000)
    case.begin()
    case.until(lambda: len(case.pieces) > 20)
    sender = next(host for host in case.members if host.name == case.pieces[-1][0])
    if how == "stop":
        sender.stop()
    elif how == "leave":
        assert sender.replica is not None
        assert sender.replica.leave(False, case.core.now) == ""
    else:
        others = [host for host in case.hosts if host is not sender]
        case.core.cut((a.name, b.name) for o in others for a, b in ((o, sender), (sender, o)))
    case.until(lambda: case.is_in(case.learner))
    if how == "stop":
        sender.start()
    elif how == "leave":
        sender.replica.rejoin()  # type: ignore[union-attr]
    else:
        case.core.heal()
    case.until(lambda: case.is_in(sender))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert anew(case.pieces) == 1 and sent(case.pieces) <= ROWS + len(case.acked) + 40
    assert how == "leave" or len({addr for addr, _ in case.pieces}) > 1


def test_a_sender_that_does_not_answer_is_passed_over() -> None:
    """It is a member all along; it and the learner alone do not hear each other."""
    case = Copies()
    case.begin()
    case.until(lambda: len(case.pieces) > 20)
    sender = case.core.hosts[case.pieces[-1][0]]
    case.core.cut(((sender.name, case.learner.name), (case.learner.name, sender.name)))
    case.until(lambda: case.copied() >= 0, most=3_000_000)
    assert len({addr for addr, _ in case.pieces}) == 2
    case.core.heal()
    case.until(lambda: case.is_in(case.learner))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert anew(case.pieces) == 1 and sent(case.pieces) <= ROWS + 40


@pytest.mark.parametrize("after", [1, 7, 30, 45])
def test_power_lost_in_the_middle_of_a_copy_is_never_taken_for_a_whole_one(after: int) -> None:
    case = Copies()
    case.begin()
    case.until(lambda: len(case.pieces) > after, step=300)
    case.learner.stop()
    case.claims(20_000, case.core.now + 500_000)
    case.core.run(case.core.now + 700_000)
    case.learner.start()
    assert case.learner.replica is not None
    held = case.learner.replica.chain
    assert case.copied() < 0 and not held.has_snapshot and held.learner.position.bucket < COMPLETE
    assert held.state.rows.count < ROWS
    case.until(lambda: case.is_in(case.learner))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert anew(case.pieces) == 1 and sent(case.pieces) <= ROWS + len(case.acked) + 60


def test_what_was_held_before_counts_for_nothing_once_a_copy_has_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A member is away for longer than the entries are kept: its place and its rows are of no use."""
    monkeypatch.setattr(log, "RECENT", 10)
    case = Copies()
    case.learner = tail = case.members[2]
    case.hosts = case.members
    tail.stop()
    case.claims(10_000, case.core.now + 1_000_000)
    case.core.run(case.core.now + 2_000_000)
    case.begin()
    case.until(lambda: len(case.pieces) > 5, step=300)
    tail.stop()
    assert isinstance(tail.disk, DiskState)
    assert tail.disk.get("lineage", int, 0) == 0 and len(tail.disk.rows) < 200
    tail.start()
    assert case.copied() < 0
    case.until(lambda: case.is_in(tail))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert anew(case.pieces) == 1


def test_a_short_absence_costs_no_rows() -> None:
    case = Copies()
    case.learner = tail = case.members[2]
    case.hosts = case.members
    tail.stop()
    case.claims(10_000, case.core.now + 1_000_000)
    case.core.run(case.core.now + 2_000_000)
    case.begin()
    took = case.until(lambda: case.is_in(tail))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert sent(case.pieces) == 0 and anew(case.pieces) == 0
    assert took < 1_500_000


def test_a_disk_that_takes_nothing_holds_up_the_copy_and_nothing_else() -> None:
    case = Copies()
    case.begin()
    case.until(lambda: len(case.pieces) > 10)
    case.learner.stalled_until = case.core.now + 3_000_000
    before = len(case.pieces)
    case.claims(20_000, case.core.now + 2_000_000)
    case.core.run(case.core.now + 2_500_000)
    assert len(case.pieces) <= before + 2  # no piece is asked for while two wait for the disk
    assert len(case.acked) > 100
    case.until(lambda: case.is_in(case.learner))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert anew(case.pieces) == 1


def test_a_copy_that_differs_does_not_count() -> None:
    """A row is spoilt in the learner's memory: the sum at the end tells, and it begins anew."""
    case = Copies()
    case.begin()
    case.until(lambda: len(case.pieces) > 30)
    assert case.learner.replica is not None
    case.learner.replica.chain.state.rows.set(KEY, "spoilt", 1, ["g", "2"])
    case.until(lambda: case.is_in(case.learner))
    case.core.run(case.core.now + 1_000_000)
    case.alike()
    assert anew(case.pieces) == 2


def test_a_key_that_was_freed_is_free_at_a_replica_that_lagged_and_leads_later() -> None:
    """C lacks the last entry, and B, which has to pass it on, starts anew in between."""
    _, answers = play(
        """
        ms    | A              B              C              D
        400   |                                              down
        2000  | claim k1 g1
        2400  |                               cut
        2410  | free k1 g1
        2440  |                down
        2450  |                up
        2700  |                               heal
        3400  | head           in             in
        3400  |                lacks k1       lacks k1
        3500  | down
        4500  |                                              up
        7000  |                                              in
        7000  |                down
        9000  |                               head           in
        9000  |                               claim k1 g2
        """
    )
    assert answers == {"k1 g1": "ok", "k1 g2": "ok"}


def test_a_new_member_that_lost_its_predecessor_before_it_was_fed_does_not_lead() -> None:
    """It took its place with a copy that lacks the last entries: until it has them, it holds no snapshot."""
    case = Copies()
    case.begin()
    case.claims(3_000, case.core.now + 3_000_000)

    def is_member() -> bool:
        replica = case.learner.replica
        return replica is not None and replica.agreement.is_member

    case.until(is_member, step=50)
    replica = case.learner.replica
    assert replica is not None and not replica.chain.has_snapshot
    assert case.lacks(case.learner) and not replica.serves(case.core.now)
    case.members[2].stop()  # the one before it, which it has not met yet
    assert not replica.chain.has_snapshot
    case.until(lambda: case.is_in(case.learner))
    assert case.lacks(case.learner) == []


def test_a_new_member_that_is_passed_its_entries_one_by_one_holds_no_snapshot_before_the_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(log, "APPEND_ENTRIES", 1)
    monkeypatch.setattr(log, "APPEND_BYTES", 1)
    case = Copies()
    case.begin()
    case.claims(3_000, case.core.now + 3_000_000)

    def is_member() -> bool:
        replica = case.learner.replica
        return replica is not None and replica.agreement.is_member

    case.until(is_member, step=50)
    lacks = [len(case.lacks(case.learner))]
    while lacks[-1]:  # whatever it lacks was acknowledged before its view
        assert not case.is_in(case.learner)
        case.core.run(case.core.now + 1)
        lacks.append(len(case.lacks(case.learner)))
    assert len(set(lacks)) > 5  # it was seen in between
    case.until(lambda: case.is_in(case.learner))


@pytest.mark.parametrize("seed", range(3))
def test_orders_and_keys_through_restarts_of_each_in_turn(seed: int) -> None:
    """What `benchmarks/snapshots.py` does with 1,000 orders and 200,000 keys."""
    case = Copies(seed=seed + 1)
    hosts, orders = case.members, dict[int, bool]()
    case.hosts = hosts

    def order(version: int) -> None:
        body = f'{{"Apply":{{"Plants":[{{"Name":"p{version % 7}","Revision":"r{version}"}}]}}}}'

        def done(result: Any) -> None:
            orders[version] = isinstance(result, CommandDone)

        hosts[version % 3].ask(Amend(body), done)

    for version in range(1, 200):
        case.core.later(version * 50_000, lambda version=version: order(version))
    case.claims(10_000, case.core.now + 9_000_000)
    for n, host in enumerate([*hosts, *hosts]):
        case.core.later(500_000 + n * 1_500_000, host.stop)
        case.core.later(500_000 + n * 1_500_000 + 150_000 + 400_000 * (n % 3), host.start)
    case.core.run(case.core.now + 14_000_000)
    case.alike()
    assert sum(orders.values()) > 150
    newest = {n: max(version for version, ok in orders.items() if ok and version % 7 == n) for n in range(7)}
    for host in hosts:
        assert host.replica is not None
        held = {f"p{n}": host.replica.chain.published["plant", f"p{n}"][1][0] for n in range(7)}
        assert all(held[f"p{n}"] >= version for n, version in newest.items())


@pytest.mark.parametrize("seed", range(6))
def test_who_says_that_it_holds_all_does_so_whatever_happens(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Drawn faults over five replicas, with short logs so that copies begin anew; looked at all along."""
    monkeypatch.setattr(log, "RECENT", 30)
    case, rng = Copies(members=4, seed=seed, rows=300), random.Random(seed)
    case.begin()
    hosts, core = case.hosts, case.core
    case.members = hosts
    case.claims(15_000, core.now + 14_000_000)

    def free() -> None:
        held = sorted(set(case.acked) - case.freed)
        if held and core.now < 15_000_000:
            key = rng.choice(held)
            owner = core.hosts[case.acked[key]]
            case.freed.add(key)
            owner.ask(Unclaim(key, owner.name, "1"), lambda _: None)
        core.later(rng.randrange(100_000), free)

    def fault() -> None:
        if core.now > 15_000_000:
            return
        host, lasts = rng.choice(hosts), rng.randrange(100_000, 2_000_000)
        others = [(host.name, other.name) for other in hosts if other is not host]
        kind = rng.choice(("down", "wipe", "cut", "stall", "freeze", "all"))
        if kind in ("down", "wipe"):
            host.stop(wipe=kind == "wipe")
            core.later(lasts, host.start)
        elif kind == "cut":
            core.cut([*others, *((b, a) for a, b in others)])
            core.later(lasts, core.heal)
        elif kind == "stall":
            host.stalled_until = core.now + lasts
        elif kind == "freeze":
            host.frozen_until = core.now + lasts
        else:
            for one in hosts:
                one.stop()
                core.later(rng.randrange(50_000, 600_000), one.start)
        core.later(lasts + 4_000_000, fault)

    def look() -> None:
        """The members of the newest view that say so hold all that was acknowledged and not freed."""
        newest = max((v for v in core.views().values()), key=lambda view: view.epoch, default=None)
        for host in hosts:
            if host.replica is None or host.replica.agreement.view != newest:
                continue
            if host.replica.chain.has_snapshot:
                assert case.lacks(host) == [], (host.name, core.now)
        core.later(197_000, look)

    core.later(2_000_000, fault)
    core.later(500_000, free)
    look()
    core.run(24_000_000)
    case.alike()
    assert len(case.acked) > 300


def test_a_sender_that_has_less_than_the_taker_says_nothing() -> None:
    rows = CommittedRows.of((KEY, f"k{n}", n, ["g", "1"]) for n in range(1, 50))
    entries = recent.RecentEntries(10, 1_000, start=49)
    request = transfer.SnapshotRequest(5, transfer.SnapshotPosition(COMPLETE, 50))
    assert transfer.next_piece(rows, entries, 49, request) is None
    learner = Learner(transfer.SnapshotPosition(9, 50))
    asked = learner.next_request(["a"], 100)
    assert asked is not None
    older = SnapshotPiece(asked.id, transfer.SnapshotPosition(12, 49), from_start=True)
    assert not learner.answered("a", older)


def pieces_of(rows: CommittedRows, entries: recent.RecentEntries, index: int) -> Iterator[SnapshotPiece]:
    position = transfer.NOTHING
    while True:
        piece = transfer.next_piece(rows, entries, index, transfer.SnapshotRequest(1, position))
        assert piece is not None
        yield piece
        position = piece.position
        if piece.total is not None:
            return


def test_a_piece_is_bounded() -> None:
    rows = CommittedRows.of((KEY, f"k{n}", n, ["g", "x" * (n % 300)]) for n in range(1, 5_000))
    pieces = list(pieces_of(rows, recent.RecentEntries(10, 1_000, start=5_000), 5_000))
    assert sum(len(piece.rows) for piece in pieces) == 4_999
    assert max(len(piece.rows) for piece in pieces) < 30
    assert max(len(msgspec.json.encode(piece)) for piece in pieces) < transfer.PIECE_BYTES + 4_096
