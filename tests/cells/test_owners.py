"""Who owns a tenant when: by itself, and for many instances that hear of moves late or never."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackengate.cells import change
from brackengate.cells.change import Refused
from brackengate.cells.check import change_faults, map_faults, term_faults
from brackengate.cells.owners import Go, Owners, Terms, Turned, ends
from brackengate.installation.schema import Cell, CellMap, Move
from brackengate.interface import Idempotency

S = 1_000_000
T = 1_700_000_000 * S
TERMS = Terms(lease=3 * S, skew=100_000, deadline=S, memory=4 * S)
READ, BID, BUY = Idempotency.REPEATABLE, Idempotency.KEYED, Idempotency.UNSAFE
CELLS = {name: Cell(pools={"api": name}) for name in "abcd"}
BASE = CellMap(epoch=1, published=T, cell=CELLS, default="a", assign={"drava": "a", "ptuj": "b"})


def done(told: CellMap | Refused) -> CellMap:
    assert isinstance(told, CellMap), told
    return told


def where(told: CellMap, who: str, kind: Idempotency, at: int, confirmed: int | None = None) -> str:
    verdict = Owners.of(told).decide(who, kind, at, at if confirmed is None else confirmed, TERMS)
    return verdict.cell if isinstance(verdict, Go) else verdict.why.name


def test_a_move_goes_by_its_times_and_reads_go_first() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    move = moved.move["drava"]
    start = move.start
    assert start == T + TERMS.notice
    before, gap, keyed, after = start - 200_000, start + 500_000, start + 2 * S, start + 6 * S
    assert [where(moved, "drava", BUY, at) for at in (before, gap, keyed, after)] == ["a", "MOVING", "b", "b"]
    assert [where(moved, "drava", BID, at) for at in (before, gap, keyed, after)] == [
        "a",
        "MOVING",
        "MOVING",
        "b",
    ]
    assert [where(moved, "drava", READ, at) for at in (before, gap, keyed, after)] == ["a", "b", "b", "b"]
    assert where(moved, "ptuj", BUY, gap) == "b" and where(moved, "nobody", BUY, gap) == "a"


def test_what_is_turned_away_is_told_when_it_may_come_back_and_may_then() -> None:
    moved = Owners.of(done(change.begin(BASE, "drava", "b", T, TERMS)))
    start = moved.moves["drava"].start
    for kind in (BUY, BID):
        for at in range(start - TERMS.skew, start + S, 50_000):
            verdict = moved.decide("drava", kind, at, at, TERMS)
            assert isinstance(verdict, Turned)
            again = at + verdict.wait
            assert moved.decide("drava", kind, again, again, TERMS) == Go("b")


def test_a_map_that_was_not_confirmed_of_late_sends_reads_alone() -> None:
    assert where(BASE, "drava", BUY, T + TERMS.lease, T) == "a"
    assert where(BASE, "drava", BUY, T + TERMS.lease + 1, T) == "STALE"
    assert where(BASE, "drava", BID, T + TERMS.lease + 1, T) == "STALE"
    assert where(BASE, "drava", READ, T + 1000 * S, T) == "a"


def test_undo_before_the_new_owner_can_have_begun_takes_the_move_out() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    back = done(change.undo(moved, "drava", T + S // 2, TERMS))
    assert not back.move and back.epoch == 3
    assert replace_epoch(back) == replace_epoch(BASE)


def replace_epoch(told: CellMap) -> tuple[object, ...]:
    return told.cell, told.default, told.assign, told.move


def test_undo_waits_where_there_is_no_safe_answer_and_then_moves_back() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    between = moved.move["drava"].start + S // 2
    told = change.undo(moved, "drava", between, TERMS)
    assert isinstance(told, Refused) and "too late" in told.why
    late = ends(moved.move["drava"], True) + 2 * TERMS.skew
    back = done(change.undo(moved, "drava", late, TERMS))
    assert (back.move["drava"].from_, back.move["drava"].to) == ("b", "a")
    assert back.assign["drava"] == "b"


def test_a_pause_keeps_the_old_owner_and_goes_on_later() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    paused = done(change.pause(moved, "drava", T + S // 2, TERMS))
    assert where(paused, "drava", BUY, T + 100 * S) == "a" == where(paused, "drava", READ, T + 100 * S)
    on = done(change.resume(paused, "drava", T + 50 * S, TERMS))
    assert on.move["drava"].start == T + 50 * S + TERMS.notice
    assert isinstance(change.pause(on, "drava", on.move["drava"].start + S, TERMS), Refused)
    assert isinstance(change.resume(on, "drava", T + 51 * S, TERMS), Refused)
    assert isinstance(change.pause(BASE, "drava", T, TERMS), Refused)


def test_moves_that_are_over_settle_without_changing_anything() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    over = ends(moved.move["drava"], True)
    assert change.settle(moved, over, TERMS) is moved
    settled = change.settle(moved, over + 2 * TERMS.skew, TERMS)
    assert (settled.assign["drava"], settled.move, settled.epoch) == ("b", {}, 3)
    at = over + 2 * TERMS.skew
    assert change_faults(Owners.of(moved), Owners.of(settled), at, TERMS) == []
    assert change.settle(settled, at, TERMS) is settled


@pytest.mark.parametrize(
    ("who", "to", "word"),
    [("drava", "z", "there is no cell 'z'"), ("drava", "a", "in 'a' already"), ("ptuj", "b", "already")],
)
def test_a_move_to_nowhere_is_refused_with_a_reason(who: str, to: str, word: str) -> None:
    told = change.begin(BASE, who, to, T, TERMS)
    assert isinstance(told, Refused) and word in told.why


def test_a_second_move_waits_for_the_first() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    told = change.begin(moved, "drava", "c", T + S, TERMS)
    assert isinstance(told, Refused) and "on its way" in told.why


def test_an_assignment_that_is_changed_without_a_move_is_turned_down() -> None:
    for fields in ({"assign": {"drava": "b", "ptuj": "b"}}, {"assign": {"drava": "a"}}, {"default": "c"}):
        new = CellMap(**{**as_fields(BASE), "epoch": 2, "published": T + S, **fields})
        (fault,) = change_faults(Owners.of(BASE), Owners.of(new), T + S, TERMS)
        assert "at once; move it" in fault
    grown = CellMap(
        **{**as_fields(BASE), "epoch": 2, "published": T + S, "assign": {**BASE.assign, "ruse": "a"}}
    )
    assert change_faults(Owners.of(BASE), Owners.of(grown), T + S, TERMS) == []  # it was there by default


def as_fields(told: CellMap) -> dict[str, object]:
    return {name: getattr(told, name) for name in told.__struct_fields__}


def test_epochs_that_go_back_or_stand_twice_and_times_to_come_are_turned_down() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    assert "older" in change_faults(Owners.of(moved), Owners.of(BASE), T, TERMS)[0]
    twin = CellMap(**{**as_fields(BASE), "default": "b"})
    assert "with another map" in change_faults(Owners.of(BASE), Owners.of(twin), T, TERMS)[0]
    assert change_faults(Owners.of(BASE), Owners.of(BASE), T, TERMS) == []
    assert "future" in change_faults(Owners.of(BASE), Owners.of(moved), T - S, TERMS)[0]


def test_a_move_that_starts_too_soon_or_waits_too_little_is_turned_down() -> None:
    moved = done(change.begin(BASE, "drava", "b", T, TERMS))
    move = moved.move["drava"]
    fields = as_fields(moved)
    hasty = CellMap(
        **{**fields, "move": {"drava": Move(from_="a", to="b", start=T + S, gap=S, memory=4 * S)}}
    )
    assert change_faults(Owners.of(BASE), Owners.of(hasty), T, TERMS)
    short = Move(from_="a", to="b", start=move.start, gap=S // 2, memory=S)
    assert len(term_faults(CellMap(**{**fields, "move": {"drava": short}}), TERMS)) == 2
    assert term_faults(moved, TERMS) == []


def test_every_fault_of_a_map_is_told_with_its_key() -> None:
    told = CellMap(
        epoch=1,
        published=0,
        cell={"a": Cell(pools={"api": "a"}), "b": Cell(), "c": Cell(pools={"api": "a", "x": "y"})},
        default="z",
        assign={"drava": "q", "ptuj": "a"},
        move={
            "drava": Move(from_="a", to="a", gap=1),
            "ptuj": Move(from_="c", to="nowhere", gap=1),
        },
    )
    found = {".".join(map(str, key)): what for key, what in map_faults(told, {"api", "a"})}
    assert found.keys() == {
        "cells.default",
        "cells.cell.b.pools",
        "cells.cell.c.pools.api",
        "cells.cell.c.pools.x",
        "cells.assign.drava",
        "cells.move.drava.to",
        "cells.move.drava.from",
        "cells.move.ptuj.to",
        "cells.move.ptuj.from",
    }
    assert "allowed: a, b, c" in found["cells.default"]


def test_the_next_map_shares_what_it_does_not_change() -> None:
    many = CellMap(**{**as_fields(BASE), "assign": {f"t{n}": "ab"[n % 2] for n in range(100_000)}})
    first = Owners.of(many)
    second = Owners.of(done(change.begin(many, "t1", "c", T, TERMS)), first)
    assert second.assigned is first.assigned  # a move is beside them
    assert (first.owner("t1", T), second.owner("t99999", T)) == ("b", "b")


# --- many instances


@dataclass
class Seen:
    """What one instance has: a map, when it saw that it was the newest, and how far its clock is off."""

    told: CellMap
    owners: Owners
    confirmed: int
    off: int


@dataclass
class World:
    """Instances with clocks of their own, that look at the one file when they do, in true time.

    `sent`: by tenant, what was sent as (true time, cell, kind); it may run until a deadline later.
    """

    rng: random.Random
    terms: Terms  # what instances go by when they decide
    plan: Terms = TERMS  # what moves are planned and checked by
    true: Terms = TERMS  # what holds
    now: int = T
    told: CellMap = BASE
    sent: dict[str, list[tuple[int, str, Idempotency]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.instances = [
            Seen(BASE, Owners.of(BASE), T, self.rng.randint(-self.true.skew, self.true.skew))
            for _ in range(20)
        ]

    def step(self) -> None:
        self.now += self.rng.randint(1, 400_000)
        what = self.rng.random()
        if what < 0.08:
            self.operate()
        for number, one in enumerate(self.instances):
            clock = self.now + one.off
            often = 0.02 if number % 7 == 1 else 0.5
            if number and self.rng.random() < often:  # the first never looks again
                self.look(one, clock)
            if number and self.rng.random() < 0.01:  # started anew, from what an old disk has
                one.confirmed = 0
            for who in ("drava", "ptuj"):
                kind = self.rng.choice((BUY, BID))
                verdict = one.owners.decide(who, kind, clock, one.confirmed, self.terms)
                if isinstance(verdict, Go):
                    self.sent.setdefault(who, []).append((self.now, verdict.cell, kind))

    def look(self, one: Seen, clock: int) -> None:
        if one.told is not self.told:
            owners = Owners.of(self.told, one.owners)
            if change_faults(one.owners, owners, clock, self.plan):
                return
            one.told, one.owners = self.told, owners
        one.confirmed = clock

    def operate(self) -> None:
        at = self.now + self.rng.randint(-self.true.skew, self.true.skew)
        who, to = self.rng.choice(("drava", "ptuj")), self.rng.choice("abcd")
        new = self.rng.choice(
            [
                lambda: change.begin(self.told, who, to, at, self.plan),
                lambda: change.undo(self.told, who, at, self.plan),
                lambda: change.pause(self.told, who, at, self.plan),
                lambda: change.resume(self.told, who, at, self.plan),
                lambda: change.settle(self.told, at, self.plan),
            ]
        )()
        if isinstance(new, CellMap):
            self.told = new

    def clashes(self) -> list[tuple[str, str]]:
        """Sends of one tenant to two cells that could run at the same time, or a key that was forgotten."""
        found = []
        for sent in self.sent.values():
            last: dict[str, int] = {}  # by cell: when something was sent there last
            bids: dict[str, int] = {}
            for at, cell, kind in sent:
                for other, then in last.items():
                    if other != cell and at < then + self.true.deadline:
                        found.append((other, cell))
                for other, then in bids.items():
                    if kind is BID and other != cell and at < then + self.true.memory:
                        found.append((other, cell))
                last[cell] = at
                if kind is BID:
                    bids[cell] = at
        return found


def play(seed: int, terms: Terms, steps: int = 250) -> World:
    world = World(random.Random(seed), terms)
    for _ in range(steps):
        world.step()
    return world


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 1 << 32))
def test_no_tenant_has_two_cells_in_any_history_of_twenty_instances(seed: int) -> None:
    """Moves, undos, pauses and restarts drawn; one instance never looks again, some look rarely."""
    assert play(seed, TERMS).clashes() == []


def test_the_histories_do_move_tenants_and_turn_requests_away() -> None:
    cells = [{cell for _, cell, _ in sent} for seed in range(10) for sent in play(seed, TERMS).sent.values()]
    assert sum(len(one) > 1 for one in cells) >= 8


@pytest.mark.parametrize(
    "without",
    [
        {"lease": 1000 * S},  # a map is believed for ever
        {"skew": 0},
        {"deadline": 0},
        {"memory": 0},
    ],
)
def test_each_guard_is_needed(without: dict[str, int]) -> None:
    """The same histories with one guard taken out, in what instances go by or in what is planned."""
    terms = replace(TERMS, **without)
    for seed in range(60):
        world = World(random.Random(seed), terms, TERMS if "lease" in without else terms)
        for _ in range(250):
            world.step()
        if world.clashes():
            return
    raise AssertionError("no history shows that it is missing")
