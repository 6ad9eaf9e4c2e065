"""Worst cases: replacements, lost acknowledgements, partitions with seeds, changes under one version.

In the timelines, time runs from left to right; `x` is a loss of power, `w` a loss of power and disk, `~`
paused or partitioned.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import pytest
from test_mesh_lab import (
    FIRST,
    MESH,
    S,
    assert_no_violations,
    attempt_record,
    broken_rules,
    offer_version,
    run_record,
    run_scenario,
    small_scenario,
)

from brackengate.control import config_changes
from brackengate.control.replica import Replica
from brackengate.control.role import ControlReplica
from brackengate.emulator.mesh import checks
from brackengate.emulator.mesh.hunt import mutated, within_tolerance
from brackengate.emulator.mesh.play import MeshRun, play
from brackengate.emulator.mesh.scenario import load, validation_errors
from brackengate.installation.units import Duration

CASES = {
    "replace-unplanned": """
        head  w, removed  | an empty machine starts 1 s later at another address, and is admitted
        tail                       w, removed  | ...
        acker                                       w, removed | ...  all are killed, and read back""",
    "replace-planned": """
        new   starts, copies ....
        old   1 s later: SIGTERM        then the next; finally all lose power""",
    "lost-acks": """
        operator  change -> accepted, acked -x   the same change -> another machine -> acked
                  change with service s  |  route moves  |  s is removed  |  the first change again""",
    "one-number": """
        operator a  route r, version 7: bids -> acked
        operator b  route r, version 7: lots -> any answer but an acknowledgement""",
    "after-sent": """
        change  sent ... 5 to 400 ms ... x or w of the machine that answered last, or of a random one
        change  acked | x of all of them at once""",
    "cut-seeds": """
        head  ~~~~~~~~~~~~~~~~~~~~~ 20 s from the other replicas; seeds begin with it
        p0, p1, p2   restart meanwhile: they must not use its outdated configuration as the newest""",
    "cut-frozen": """
        head  ~~~~~~~~~~~~~~~~~~~~~ partitioned and paused; messages queued for 20 s arrive together""",
}


def run_first_faults(name: str, faults: int, seconds: int, seed: int = 1) -> MeshRun:
    """Run a case with its first `faults` faults only, for `seconds`."""
    scenario = load(MESH / f"{name}.toml")
    length = Duration(seconds * S)
    return play(msgspec.structs.replace(scenario, fault=scenario.fault[:faults], length=length), seed)


@pytest.mark.parametrize("name", CASES)
def test_worst_case_breaks_no_rule(name: str) -> None:
    run = run_scenario(f"{name}.toml")
    assert_no_violations(run)
    applied = {of[0] for _, what, of in run.world.records if what == "fault"}
    assert applied == {one.kind for one in run.world.scenario.fault}


def members(run: MeshRun) -> set[str]:
    """Names of the machines in the newest view at the end."""
    roles = [one.role for one in run.world.control_machines if isinstance(one.role, ControlReplica)]
    view = max((role.replica.agreement.view for role in roles), key=lambda view: view.epoch)
    names = {one.ip: one.name for one in run.world.control_machines}
    return {names[member.addr.partition(":")[0]] for member in view.members}


def test_replaced_machines_leave_the_view_and_others_join() -> None:
    run = run_first_faults("replace-unplanned", 2, 24)
    records = run.world.records
    removed = [str(of[0]) for _, what, of in records if what == "removed"]
    assert len(removed) == 2 and not set(removed) & {one.name for one in run.world.current_controls()}
    assert len(members(run)) == 3 and not set(removed) & members(run)


def test_change_whose_acknowledgement_is_lost_is_retried_at_another_machine() -> None:
    records = run_first_faults("lost-acks", 1, 8).world.records
    tried_addresses: dict[object, list[object]] = {}
    ack_lost: set[object] = set()
    seen = 0
    for _, what, of in records:
        if what == "ack lost":
            ack_lost.add(of[0])
        elif what == "sends":
            number, address = of[0], of[1]
            if number in ack_lost and len(tried_addresses[number]) == 1:
                assert address not in tried_addresses[number]
                seen += 1
            tried_addresses.setdefault(number, []).append(address)
    assert seen >= 3


def test_repeated_replacement_of_members_breaks_no_rule() -> None:
    """As many replacements and changes as in five hours, without the idle time between them."""
    quick = ("fault.0.at=5s", "fault.0.every=30s", "fault.1.at=20s", "fault.1.every=30s")
    run = run_scenario("thirty-days.toml", "length=75s", *quick, "operators.every=125ms")
    assert_no_violations(run)
    records = run.world.records
    assert sum(what == "removed" for _, what, _ in records) == 5
    assert sum(what == "acked" for _, what, _ in records) > 500
    assert len(members(run)) >= 2


# --- removing a mechanism is detected


def test_member_serving_without_a_majority_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """head ~~~~ partitioned | p0 restarts, its seeds begin with the head | it serves old configuration"""
    monkeypatch.setattr(Replica, "serves", lambda self, now: self.chain.ready)
    assert "CONFIG" in run_first_faults("cut-seeds", 1, 26, seed=2).rules


def test_acknowledgement_before_its_sync_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The replica reports a write as stored before its sync: it is acknowledged, then lost with the power."""

    def write(self: ControlReplica) -> None:
        batch, self._queue = self._queue, []
        self._writing_since = self.now()
        self._drive.write(batch)
        done: asyncio.Future[None] = self._loop.create_future()
        done.set_result(None)
        self._loop.call_soon(self._written, batch, done)

    monkeypatch.setattr(ControlReplica, "_write", write)
    assert "CONFIG" in run_scenario("after-sent.toml").rules


def test_second_change_accepted_under_one_version_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check for other content that was acknowledged under the same version is removed."""
    monkeypatch.setattr(config_changes, "_refusal_by_records", lambda judged: None)
    assert "CONFIG" in run_first_faults("one-number", 3, 20).rules


def test_acknowledged_change_reevaluated_when_resent_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check whether the change was acknowledged before is removed."""
    classify = config_changes._classify

    def forget_acknowledged(*given: Any) -> config_changes.Verdict:
        found = classify(*given)
        return config_changes.Verdict.OVERTAKEN if found is config_changes.Verdict.ACKNOWLEDGED else found

    monkeypatch.setattr(config_changes, "_classify", forget_acknowledged)
    assert "CONFIG" in run_first_faults("lost-acks", 2, 9).rules


# --- each rule, on a history that breaks it


def reply_record(at: int, call: int, status: int) -> checks.Record:
    return at, "said", (call, status)


def test_two_changes_under_one_version_are_acknowledged_at_most_once() -> None:
    both = offer_version(5 * S, 7, 4, "s"), reply_record(6 * S, 7, 200), offer_version(5 * S, 8, 4, "t")
    end = (20 * S, "read", ((("r", 4, ("s",)),), 20 * S))
    acked = (6 * S, "acked", (7,))
    assert broken_rules(*both, acked, reply_record(6 * S, 8, 200), (6 * S, "acked", (8,)), end) == {"CONFIG"}
    assert (
        broken_rules(*both, acked, reply_record(6 * S, 8, 409), (5 * S, "may be refused", (8,)), end) == set()
    )
    same = offer_version(5 * S, 8, 4, "s")
    assert (
        broken_rules(*both[:2], same, acked, reply_record(6 * S, 8, 200), (6 * S, "acked", (8,)), end)
        == set()
    )
    other = (20 * S, "read", ((("r", 4, ("t",)),), 20 * S))
    assert broken_rules(*both, acked, (5 * S, "may be refused", (8,)), other) == {"CONFIG"}


def test_acknowledged_change_is_not_refused_when_resent() -> None:
    order = offer_version(5 * S, 7, 4, "s"), reply_record(6 * S, 7, 200), (6 * S, "acked", (7,))
    end = (20 * S, "read", ((("r", 4, ("s",)),), 20 * S))
    assert broken_rules(*order, reply_record(8 * S, 7, 400), end) == {"CONFIG"}
    ack_lost = offer_version(5 * S, 7, 4, "s"), reply_record(6 * S, 7, 200), (6 * S, "ack lost", (7,))
    assert broken_rules(*ack_lost, reply_record(8 * S, 7, 409), end) == {
        "CONFIG"
    }  # the operator missed the first acknowledgement
    assert broken_rules(*order, reply_record(8 * S, 7, 503), reply_record(9 * S, 7, 200), end) == set()


def test_proxy_uses_nothing_older_than_was_acknowledged_before_its_start() -> None:
    moved = *FIRST, offer_version(S, 2, 2, "t"), (2 * S, "acked", (2,))
    end = (20 * S, "read", ((("r", 2, ("t",)),), 20 * S))
    cut = (3 * S, "cut", ("p0", "l0"))  # not in contact: the other rules exempt it
    again = (4 * S, "down", ("p0",)), (5 * S, "up", ("p0",))
    stale = attempt_record(9 * S, "a"), run_record(9 * S, "a")
    assert broken_rules(cut, *stale, end, first=moved) == set()
    assert broken_rules(cut, *again, *stale, end, first=moved) == {"CONFIG"}


# --- the search


def test_search_uses_all_faults_and_stays_within_the_tolerance() -> None:
    scenario, rng, kinds, fields = small_scenario(length=20), random.Random(3), set(), set()
    scenario = msgspec.structs.replace(scenario, core=msgspec.structs.replace(scenario.core, spare=2))
    for _ in range(400):
        scenario = mutated(scenario, rng)
        kinds |= {one.kind for one in scenario.fault}
        fields |= {word for one in scenario.fault for word in (one.after, one.restart, *one.on)}
        assert within_tolerance(scenario) and not validation_errors(scenario)
    assert kinds >= {"replace_core", "ack_lost", "reset_conns", "bad_order", "config_race", "resend"}
    assert fields >= {"sent", "others", "both", "acker", "lot"}
