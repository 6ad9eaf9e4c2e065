"""Large configuration changes: delivered before they are decided, acknowledged when they can take effect.

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


def mesh(*follower_fetch_us: int | None) -> Mesh:
    """`followers_take`: for each member, the time until its followers hold a large change; None: never."""
    made = Mesh(members=len(follower_fetch_us))
    for host, takes in zip(made.hosts, follower_fetch_us, strict=True):
        host.follower_fetch_us = takes
    return made


def acknowledged_after(made: Mesh, sent: Sent) -> int:
    begun = made.cluster.now
    while not sent.status and made.cluster.now < begun + 20 * S:
        made.cluster.run(made.cluster.now + 10 * MS)
    assert sent.status == 200
    return made.cluster.now - begun


def in_force(made: Mesh) -> set[str]:
    """The members whose followers have the large change in effect."""
    return {
        host.name
        for host in made.hosts
        if any(row[1] == "big0" for _, rows in host.published for row in rows)
    }


def test_a_large_change_is_acknowledged_when_the_followers_of_all_members_hold_it() -> None:
    """
    a  DDDD
    b  DDDDDDDDDDDDDDDDDDDDDD!
    c  D
    """
    made = mesh(200 * MS, 900 * MS, 10 * MS)
    sent = made.operator.send(BIG)
    made.run_for(0.85)
    assert not in_force(made)
    assert 0 < acknowledged_after(made, sent) < 300 * MS
    assert len(in_force(made)) == 3


def test_followers_that_never_hold_it_delay_a_change_no_longer_than_the_bound() -> None:
    made = mesh(10 * MS, None, 10 * MS)
    sent = made.operator.send(BIG, made.hosts[:1])
    took = acknowledged_after(made, sent)
    assert MAX_DELIVERY_US <= took <= BOUND + 1_500 * MS  # the operator retries after a second


def test_a_small_change_overtakes_one_that_is_being_delivered() -> None:
    made = mesh(None, None, None)
    made.operator.send(BIG)
    made.run_for(0.2)
    assert acknowledged_after(made, made.operator.send(order(route("a", 7)))) < 200 * MS
    assert not in_force(made)


def test_a_change_is_decided_when_it_is_appended_and_not_before() -> None:
    made = mesh(None, None, None)
    late = made.operator.send(order(*(route(f"big{n}", 5) for n in range(ROUTES)), drop=[("a", 5)]))
    made.run_for(0.2)
    made.accept(order(route("a", 7)))
    acknowledged_after(made, late)
    assert made.read("a")["Revision"] == "r7"


def test_a_change_that_became_invalid_meanwhile_is_rejected_as_a_whole() -> None:
    made = mesh(None, None, None)
    late = made.operator.send(order(*(route(f"big{n}", 5, to="q") for n in range(ROUTES))))
    made.run_for(0.2)
    made.accept(order(route("a", 7), route("b", 7), drop_plants=[("q", 7)]))
    made.run_for(5)
    assert late.status == 400 and not in_force(made)


def test_a_change_sent_to_every_member_is_appended_once() -> None:
    made = mesh(400 * MS, 400 * MS, 400 * MS)
    assert made.status_everywhere(BIG) == [200, 200, 200]
    begun = {host.name: [id_ for _, id_ in host.staged] for host in made.hosts}
    assert all(len(ids) == 1 for ids in begun.values()), begun
    rows = [row for _, rows in made.hosts[0].published for row in rows if row[1] == "big0"]
    assert len(rows) == 1


@pytest.mark.parametrize("lost", ["head", "middle", "tail"])
@pytest.mark.parametrize("wipe", [False, True])
@pytest.mark.parametrize("after_ms", [50, 390, 402, 405])
def test_a_member_lost_between_delivery_and_append(lost: str, wipe: bool, after_ms: int) -> None:
    """
    a  DDDDDD  x
    b  DDDDDD  ....  DDDDDD  !
    c  DDDDDD  ....  DDDDDD  !
    """
    made = mesh(400 * MS, 400 * MS, 400 * MS)
    sent = made.operator.send(BIG, made.hosts[1:2])
    made.cluster.run(made.cluster.now + after_ms * MS)
    view = made.head().replica.agreement.view  # type: ignore[union-attr]
    host = made.cluster.hosts[view.members[{"head": 0, "middle": 1, "tail": 2}[lost]].addr]
    host.stop(wipe=wipe)
    acknowledged_after(made, sent)
    made.run_for(1)
    host.start()
    made.run_for(4)
    assert made.read("big7")["Revision"] == "r5"


def test_a_change_is_accepted_after_all_members_lost_power_during_its_delivery() -> None:
    made = mesh(400 * MS, 400 * MS, 400 * MS)
    sent = made.operator.send(BIG)
    made.run_for(0.3)
    for host in made.hosts:
        host.stop()
    made.run_for(0.5)
    for host in made.hosts:
        host.start()
    acknowledged_after(made, sent)
    assert made.read("big7")["Revision"] == "r5"


def test_a_former_head_appends_nothing() -> None:
    made = mesh(3 * S, 3 * S, 3 * S)
    head = made.head()
    others = [host for host in made.hosts if host is not head]
    head.ask(Amend(BIG), lambda _: None)
    made.run_for(0.2)
    made.partition(head)
    made.run_for(4)
    assert not any(row[1] == "big0" for _, rows in head.published for row in rows)
    for host in others:
        host.follower_fetch_us = 0
    assert acknowledged_after(made, made.operator.send(BIG, others)) < S


# --- staged changes at a member


def rows_of(numbers: range) -> list[Row]:
    return [("route", f"r{n}", [5, "h", {"x": "y" * 80, "n": n}]) for n in numbers]


def test_pieces_hold_all_rows_in_order_and_small_changes_are_not_staged() -> None:
    rows = rows_of(range(1_000))
    made = stage_change(rows)
    assert made is not None and list(made.rows()) == rows and len(made.pieces) > 5
    assert max(len(repr(piece)) for piece in made.pieces) < 1.3 * PIECE_BYTES
    again = stage_change(rows)
    assert again is not None and again.id == made.id
    assert stage_change(rows[:50]) is None


def test_random_references_resolve_to_the_rows_that_took_effect() -> None:
    rng = random.Random(1)
    changes = [stage_change(rows_of(range(at, at + 200))) for at in (0, 100, 400)]
    for _ in range(200):
        held = [one for one in changes if one is not None and rng.random() < 0.7]
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


def test_a_follower_that_requests_nothing_is_not_waited_for() -> None:
    made, changes = stage_change(rows_of(range(1_000))), StagedChanges()
    assert made is not None
    changes.add(made)
    quick, slow, dead = FollowerProgress(), FollowerProgress(), FollowerProgress()
    for one in (quick, slow, dead):
        one.asked_at[made.id] = 0
    quick.pieces[made.id] = len(made.pieces)
    for piece in range(len(made.pieces)):
        now = (piece + 1) * (STALLED_AFTER_US - MS)
        slow.pieces[made.id], slow.asked_at[made.id] = piece, now
        assert changes.take_delivered([quick, slow, dead], now) == []
    slow.pieces[made.id] = len(made.pieces)
    assert changes.take_delivered([quick, slow, dead], now) == [made.id]
    assert changes.take_delivered([quick, slow, dead], now) == []
