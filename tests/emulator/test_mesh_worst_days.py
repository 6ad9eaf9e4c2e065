"""The operators' worst days: replacements, lost acknowledgements, cuts with seeds, orders under one number.

Timelines run from left to right; `x` is a loss of power, `w` of the disk with it, `~` frozen or cut off.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import pytest
from test_mesh_lab import FIRST, MESH, S, asked, broken, kept, offers, played, ran, small

from brackengate.control import config_changes
from brackengate.control.replica import Replica
from brackengate.control.role import ControlReplica
from brackengate.emulator.mesh import checks
from brackengate.emulator.mesh.hunt import fair, mutated
from brackengate.emulator.mesh.play import Played, play
from brackengate.emulator.mesh.scenario import faults_of, load
from brackengate.installation.units import Duration

CASES = {
    "replace-unplanned": """
        head  w for good  | an empty machine comes 1 s later at another address, and is let in
        tail                       w for good  | ...
        acker                                       w for good | ...  all are killed, and read back""",
    "replace-planned": """
        new   starts, copies ....
        old   1 s later: SIGTERM        then the next; at last all lose their power""",
    "lost-acks": """
        operator  order -> taken, acked -x   the same order -> another machine -> acked
                  order with service s  |  route moves on  |  s is removed  |  the first order again""",
    "one-number": """
        operator a  route r, version 7: bids -> acked
        operator b  route r, version 7: lots -> anything but an acknowledgement""",
    "after-sent": """
        order  sent ... 5 to 400 ms ... x or w of the machine that answered last, or of one drawn by lot
        order  acked | x of all of them at once""",
    "cut-seeds": """
        head  ~~~~~~~~~~~~~~~~~~~~~ 20 s from the other core machines; seeds begin with it
        p0, p1, p2   restart meanwhile: they must not take what it has for the newest""",
    "cut-frozen": """
        head  ~~~~~~~~~~~~~~~~~~~~~ cut off and frozen; what lay in queues for 20 s arrives together""",
}


def first_faults(name: str, faults: int, seconds: int, seed: int = 1) -> Played:
    """A case with its first faults alone, up to so many seconds."""
    told = load(MESH / f"{name}.toml")
    length = Duration(seconds * S)
    return play(msgspec.structs.replace(told, fault=told.fault[:faults], length=length), seed)


@pytest.mark.parametrize("name", CASES)
def test_a_worst_day_keeps_every_rule(name: str) -> None:
    made = played(f"{name}.toml")
    kept(made)
    struck = {of[0] for _, what, of in made.world.records if what == "fault"}
    assert struck == {one.kind for one in made.world.scenario.fault}


def members(made: Played) -> set[str]:
    """The machines of the newest view at the end."""
    roles = [one.role for one in made.world.control_machines if isinstance(one.role, ControlReplica)]
    view = max((role.replica.agreement.view for role in roles), key=lambda view: view.epoch)
    names = {one.ip: one.name for one in made.world.control_machines}
    return {names[member.addr.partition(":")[0]] for member in view.members}


def test_replaced_machines_are_gone_and_others_stand_in_the_view() -> None:
    made = first_faults("replace-unplanned", 2, 24)
    records = made.world.records
    removed = [str(of[0]) for _, what, of in records if what == "removed"]
    assert len(removed) == 2 and not set(removed) & {one.name for one in made.world.current_controls()}
    assert len(members(made)) == 3 and not set(removed) & members(made)


def test_an_order_whose_acknowledgement_is_lost_goes_to_another_machine_first() -> None:
    records = first_faults("lost-acks", 1, 8).world.records
    went: dict[object, list[object]] = {}
    lost: set[object] = set()
    seen = 0
    for _, what, of in records:
        if what == "ack lost":
            lost.add(of[0])
        elif what == "sends":
            number, address = of[0], of[1]
            if number in lost and len(went[number]) == 1:
                assert address not in went[number]
                seen += 1
            went.setdefault(number, []).append(address)
    assert seen >= 3


def test_a_long_life_in_short_replaces_a_member_again_and_again() -> None:
    """As many replacements and orders as in five hours, with the quiet time between them left out."""
    quick = ("fault.0.at=5s", "fault.0.every=30s", "fault.1.at=20s", "fault.1.every=30s")
    made = played("thirty-days.toml", "length=75s", *quick, "operators.every=125ms")
    kept(made)
    records = made.world.records
    assert sum(what == "removed" for _, what, _ in records) == 5
    assert sum(what == "acked" for _, what, _ in records) > 500
    assert len(members(made)) >= 2


# --- a mechanism that is taken out is seen


def test_a_member_that_serves_without_a_majority_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """head ~~~~ cut off | p0 restarts, its seeds begin with the head | serves what it had"""
    monkeypatch.setattr(Replica, "serves", lambda self, now: self.chain.ready)
    assert "CONFIG" in first_faults("cut-seeds", 1, 26, seed=2).rules


def test_an_acknowledgement_before_its_sync_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """disks  writing ...... x     |  word of it: acked, and it is gone"""

    def write(self: ControlReplica) -> None:
        batch, self._queue = self._queue, []
        self._writing_since = self.now()
        self._drive.write(batch)
        done: asyncio.Future[None] = self._loop.create_future()
        done.set_result(None)
        self._loop.call_soon(self._written, batch, done)

    monkeypatch.setattr(ControlReplica, "_write", write)
    assert "CONFIG" in played("after-sent.toml").rules


def test_a_second_order_under_one_version_that_is_taken_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whether another content was acknowledged under its version is not asked."""
    monkeypatch.setattr(config_changes, "_refusal_by_records", lambda judged: None)
    assert "CONFIG" in first_faults("one-number", 3, 20).rules


def test_an_order_that_is_judged_anew_when_it_comes_again_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whether it was acknowledged before is not asked."""
    verdict = config_changes._classify

    def forgetful(*given: Any) -> config_changes.Verdict:
        found = verdict(*given)
        return config_changes.Verdict.OVERTAKEN if found is config_changes.Verdict.ACKNOWLEDGED else found

    monkeypatch.setattr(config_changes, "_classify", forgetful)
    assert "CONFIG" in first_faults("lost-acks", 2, 9).rules


# --- the checkers, each on a history that breaks its rule


def said(at: int, call: int, status: int) -> checks.Record:
    return at, "said", (call, status)


def test_two_orders_under_one_version_are_confirmed_at_most_once() -> None:
    both = offers(5 * S, 7, 4, "s"), said(6 * S, 7, 200), offers(5 * S, 8, 4, "t")
    end = (20 * S, "read", ((("r", 4, ("s",)),), 20 * S))
    acked = (6 * S, "acked", (7,))
    assert broken(*both, acked, said(6 * S, 8, 200), (6 * S, "acked", (8,)), end) == {"CONFIG"}
    assert broken(*both, acked, said(6 * S, 8, 409), (5 * S, "may be refused", (8,)), end) == set()
    same = offers(5 * S, 8, 4, "s")
    assert broken(*both[:2], same, acked, said(6 * S, 8, 200), (6 * S, "acked", (8,)), end) == set()
    other = (20 * S, "read", ((("r", 4, ("t",)),), 20 * S))
    assert broken(*both, acked, (5 * S, "may be refused", (8,)), other) == {"CONFIG"}


def test_an_order_that_was_acknowledged_is_never_refused_again() -> None:
    order = offers(5 * S, 7, 4, "s"), said(6 * S, 7, 200), (6 * S, "acked", (7,))
    end = (20 * S, "read", ((("r", 4, ("s",)),), 20 * S))
    assert broken(*order, said(8 * S, 7, 400), end) == {"CONFIG"}
    lost = offers(5 * S, 7, 4, "s"), said(6 * S, 7, 200), (6 * S, "ack lost", (7,))
    assert broken(*lost, said(8 * S, 7, 409), end) == {"CONFIG"}  # the operator did not hear of the first
    assert broken(*order, said(8 * S, 7, 503), said(9 * S, 7, 200), end) == set()


def test_a_proxy_handles_by_nothing_older_than_was_acknowledged_before_it_started() -> None:
    moved = *FIRST, offers(S, 2, 2, "t"), (2 * S, "acked", (2,))
    end = (20 * S, "read", ((("r", 2, ("t",)),), 20 * S))
    cut = (3 * S, "cut", ("p0", "l0"))  # not in touch: the other rules excuse it
    again = (4 * S, "down", ("p0",)), (5 * S, "up", ("p0",))
    stale = asked(9 * S, "a"), ran(9 * S, "a")
    assert broken(cut, *stale, end, first=moved) == set()
    assert broken(cut, *again, *stale, end, first=moved) == {"CONFIG"}


# --- the search


def test_the_search_draws_the_new_troubles_and_stays_within_what_may_be_lost() -> None:
    told, rng, kinds, fields = small(length=20), random.Random(3), set(), set()
    told = msgspec.structs.replace(told, core=msgspec.structs.replace(told.core, spare=2))
    for _ in range(400):
        told = mutated(told, rng)
        kinds |= {one.kind for one in told.fault}
        fields |= {word for one in told.fault for word in (one.after, one.restart, *one.on)}
        assert fair(told) and not faults_of(told)
    assert kinds >= {"replace_core", "ack_lost", "reset_conns", "bad_order", "config_race", "resend"}
    assert fields >= {"sent", "others", "both", "acker", "lot"}
