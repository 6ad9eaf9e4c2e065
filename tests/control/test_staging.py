"""Large orders: delivered before they are decided, acknowledged when they can be in force.

Timelines run from left to right; `D` is the delivery to the followers of one member, `!` the acknowledgement.
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from operators import Sent, order, route
from test_order_timelines import Mesh, S

from brackengate.control.change_coordinator import MAX_DELIVERY_US
from brackengate.control.staging import (
    DELIVERY_US_PER_ROW,
    PIECE_BYTES,
    STALLED_AFTER_US,
    FollowerProgress,
    StagedChanges,
    by_reference,
    stage_change,
)
from brackengate.protocol.messages import Amend, Row

ROUTES = 400
MS = 1_000
BIG = order(*(route(f"big{n}", 5) for n in range(ROUTES)))
BOUND = MAX_DELIVERY_US + DELIVERY_US_PER_ROW * ROUTES


def mesh(*followers_take: int | None) -> Mesh:
    """`followers_take`: of each member, until its followers hold a large order."""
    made = Mesh(members=len(followers_take))
    for host, takes in zip(made.hosts, followers_take, strict=True):
        host.followers_take = takes
    return made


def acknowledged_after(made: Mesh, sent: Sent) -> int:
    begun = made.core.now
    while not sent.status and made.core.now < begun + 20 * S:
        made.core.run(made.core.now + 10 * MS)
    assert sent.status == 200
    return made.core.now - begun


def in_force(made: Mesh) -> set[str]:
    """The members whose followers have it in force."""
    return {
        host.name
        for host in made.hosts
        if any(row[1] == "big0" for _, rows in host.published for row in rows)
    }


def test_it_is_acknowledged_when_the_followers_of_all_members_hold_it() -> None:
    """
    a  DDDD
    b  DDDDDDDDDDDDDDDDDDDDDD!
    c  D
    """
    made = mesh(200 * MS, 900 * MS, 10 * MS)
    sent = made.operator.send(BIG)
    made.passes(0.85)
    assert not in_force(made)
    assert 0 < acknowledged_after(made, sent) < 300 * MS
    assert len(in_force(made)) == 3


def test_followers_that_never_have_it_hold_nothing_up_for_longer_than_the_bound() -> None:
    made = mesh(10 * MS, None, 10 * MS)
    sent = made.operator.send(BIG, made.hosts[:1])
    took = acknowledged_after(made, sent)
    assert MAX_DELIVERY_US <= took <= BOUND + 1_500 * MS  # the operator asks again after a second


def test_a_small_order_passes_one_that_is_being_delivered() -> None:
    made = mesh(None, None, None)
    made.operator.send(BIG)
    made.passes(0.2)
    assert acknowledged_after(made, made.operator.send(order(route("a", 7)))) < 200 * MS
    assert not in_force(made)


def test_what_it_says_is_decided_when_it_is_entered_and_not_before() -> None:
    made = mesh(None, None, None)
    late = made.operator.send(order(*(route(f"big{n}", 5) for n in range(ROUTES)), drop=[("a", 5)]))
    made.passes(0.2)
    made.taken(order(route("a", 7)))
    acknowledged_after(made, late)
    assert made.read("a")["Revision"] == "r7"


def test_one_that_became_invalid_meanwhile_is_refused_whole() -> None:
    made = mesh(None, None, None)
    late = made.operator.send(order(*(route(f"big{n}", 5, to="q") for n in range(ROUTES))))
    made.passes(0.2)
    made.taken(order(route("a", 7), route("b", 7), drop_plants=[("q", 7)]))
    made.passes(5)
    assert late.status == 400 and not in_force(made)


def test_sent_to_every_member_it_is_entered_once() -> None:
    made = mesh(400 * MS, 400 * MS, 400 * MS)
    assert made.status_everywhere(BIG) == [200, 200, 200]
    begun = {host.name: [id_ for _, id_ in host.staged] for host in made.hosts}
    assert all(len(ids) == 1 for ids in begun.values()), begun
    rows = [row for _, rows in made.hosts[0].published for row in rows if row[1] == "big0"]
    assert len(rows) == 1


@pytest.mark.parametrize("lost", ["head", "middle", "tail"])
@pytest.mark.parametrize("wipe", [False, True])
@pytest.mark.parametrize("after_ms", [50, 390, 402, 405])
def test_a_member_lost_between_delivery_and_entry(lost: str, wipe: bool, after_ms: int) -> None:
    """
    a  DDDDDD  x
    b  DDDDDD  ....  DDDDDD  !
    c  DDDDDD  ....  DDDDDD  !
    """
    made = mesh(400 * MS, 400 * MS, 400 * MS)
    sent = made.operator.send(BIG, made.hosts[1:2])
    made.core.run(made.core.now + after_ms * MS)
    view = made.head().replica.agreement.view  # type: ignore[union-attr]
    host = made.core.hosts[view.members[{"head": 0, "middle": 1, "tail": 2}[lost]].addr]
    host.stop(wipe=wipe)
    acknowledged_after(made, sent)
    made.passes(1)
    host.start()
    made.passes(4)
    assert made.read("big7")["Revision"] == "r5"


def test_all_lose_power_while_it_is_delivered_and_it_is_taken_afterwards() -> None:
    made = mesh(400 * MS, 400 * MS, 400 * MS)
    sent = made.operator.send(BIG)
    made.passes(0.3)
    for host in made.hosts:
        host.stop()
    made.passes(0.5)
    for host in made.hosts:
        host.start()
    acknowledged_after(made, sent)
    assert made.read("big7")["Revision"] == "r5"


def test_a_head_that_is_no_head_any_more_enters_nothing() -> None:
    made = mesh(3 * S, 3 * S, 3 * S)
    head = made.head()
    others = [host for host in made.hosts if host is not head]
    head.ask(Amend(BIG), lambda _: None)
    made.passes(0.2)
    made.cut_off(head)
    made.passes(4)
    assert not any(row[1] == "big0" for _, rows in head.published for row in rows)
    for host in others:
        host.followers_take = 0
    assert acknowledged_after(made, made.operator.send(BIG, others)) < S


# --- what a member's followers hold


def rows_of(numbers: range) -> list[Row]:
    return [("route", f"r{n}", [5, "h", {"x": "y" * 80, "n": n}]) for n in numbers]


def test_its_pieces_hold_all_of_it_in_order_and_small_ones_are_none() -> None:
    rows = rows_of(range(1_000))
    made = stage_change(rows)
    assert made is not None and list(made.rows()) == rows and len(made.pieces) > 5
    assert max(len(repr(piece)) for piece in made.pieces) < 1.3 * PIECE_BYTES
    again = stage_change(rows)
    assert again is not None and again.id == made.id
    assert stage_change(rows[:50]) is None


def test_drawn_references_stand_for_the_rows_that_came_into_force() -> None:
    rng = random.Random(1)
    orders = [stage_change(rows_of(range(at, at + 200))) for at in (0, 100, 400)]
    for _ in range(200):
        held = [one for one in orders if one is not None and rng.random() < 0.7]
        rows: dict[tuple[str, str], Any] = {}
        for one in held:
            rows.update({(k, n): v for k, n, v in one.rows() if rng.random() < 0.9})
        rows.update({(k, n): "other" for k, n, _ in rows_of(range(rng.randrange(600)))[-3:]})
        left, references = by_reference([(k, n, v) for (k, n), v in rows.items()], held)
        found = {(k, n): v for k, n, v in left}
        for reference, one in zip(references, held, strict=True):
            without = set(reference.without)
            found.update({(k, n): v for at, (k, n, v) in enumerate(one.rows()) if at not in without})
        assert found == rows


def test_a_follower_that_asks_for_nothing_is_not_waited_for() -> None:
    made, orders = stage_change(rows_of(range(1_000))), StagedChanges()
    assert made is not None
    orders.add(made)
    quick, slow, dead = FollowerProgress(), FollowerProgress(), FollowerProgress()
    for one in (quick, slow, dead):
        one.asked_at[made.id] = 0
    quick.pieces[made.id] = len(made.pieces)
    for piece in range(len(made.pieces)):
        now = (piece + 1) * (STALLED_AFTER_US - MS)
        slow.pieces[made.id], slow.asked_at[made.id] = piece, now
        assert orders.take_delivered([quick, slow, dead], now) == []
    slow.pieces[made.id] = len(made.pieces)
    assert orders.take_delivered([quick, slow, dead], now) == [made.id]
    assert orders.take_delivered([quick, slow, dead], now) == []
