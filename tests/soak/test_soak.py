"""The soak of the mesh: its plan keeps to what may be lost at once, its judge sees each broken rule."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import pytest

from standins.soak.__main__ import soak
from standins.soak.plan import (
    CALM_END_S,
    CORE_LINK_ACTIONS,
    CORE_PROCESS_ACTIONS,
    PROXY_LINK_ACTIONS,
    PROXY_PROCESS_ACTIONS,
    SETTLING_S,
    Action,
    draw,
)
from standins.soak.records import Attempt, ConfigRead, Operation, Order, Probe, Records, Trouble, violations

SEED, SECONDS = 20261204, 30.0


@pytest.mark.parametrize("links", [False, True])
@pytest.mark.parametrize("seed", range(40))
def test_a_plan_loses_one_control_replica_at_once_and_ends_in_calm(seed: int, links: bool) -> None:
    plan = draw(seed, 60.0, core=3, proxies=6, links=links)
    assert len(plan) > 5 and plan == draw(seed, 60.0, core=3, proxies=6, links=links)
    assert all(one.ends < 60.0 - CALM_END_S for one in plan)
    core = [one for one in plan if one.is_core]
    assert all(after.at >= before.ends + SETTLING_S for before, after in pairwise(core))


@pytest.mark.parametrize("links", [False, True])
def test_plans_have_every_action_series_and_overlaps(links: bool) -> None:
    plans = [draw(seed, 60.0, core=3, proxies=6, links=links) for seed in range(40)]
    expected = {
        *((action, True) for action in CORE_PROCESS_ACTIONS + CORE_LINK_ACTIONS * links),
        *((action, False) for action in PROXY_PROCESS_ACTIONS + PROXY_LINK_ACTIONS * links),
    }
    assert {(one.action, one.is_core) for plan in plans for one in plan} == expected
    pairs = [(a, b) for plan in plans for a, b in pairwise(plan)]
    assert sum(b.at < a.ends for a, b in pairs) > 100


def test_all_actions_are_played() -> None:
    assert set(Action) == {
        *CORE_PROCESS_ACTIONS,
        *CORE_LINK_ACTIONS,
        *PROXY_PROCESS_ACTIONS,
        *PROXY_LINK_ACTIONS,
    }


def answered(id_: str = "a1", key: str = "k1", proxy: int = 0, at: float = 10.0, body: str = "") -> Operation:
    body = body or f"i-1 {id_}"
    return Operation(key, [Attempt(id_, key, proxy, at, at + 0.1, 200, body.encode())])


def unanswered(records: Records, planned: bool) -> None:
    records.operations.append(Operation("", [Attempt("a2", "", 1, 10.0, 10.1)]))
    records.runs.append(("a2", ""))
    records.troubles.append(Trouble(False, 1, 10.05, 10.5, planned))


def old_read(records: Records) -> None:
    records.orders.append(Order(3, 7, 10.0))
    records.reads.append(ConfigRead(12.5, {3: 6}))


def missing_route(records: Records, disturbed: bool = False) -> None:
    records.orders.append(Order(3, 7, 10.0))
    records.probes.append(Probe(3, 1, 12.5, 404))
    if disturbed:
        records.troubles.append(Trouble(False, 1, 9.0, 10.0, False))


def unserved(records: Records, key: str = "c", status: int = 0, killed_at: float = 1.5) -> None:
    """An operation whose first attempt, of 1 to 2 s, got this status; proxy 3 was killed at this time."""
    attempts = [Attempt("c.0", key, 0, 1.0, 2.0, status), Attempt("c.1", key, 1, 20.0, 22.0, 503)]
    records.operations.append(Operation(key, attempts))
    records.troubles.append(Trouble(False, 3, killed_at, killed_at + 1.0, False, killed=True))


BROKEN: dict[str, Callable[[Records], object]] = {
    "PROCESS": lambda records: records.process_faults.append("core-1 ended by itself with 1"),
    "TWICE": lambda records: records.runs.append(("a3", "k1")),
    "TWICE: k2 was answered": lambda records: records.operations.append(answered("b", "k2")),
    "MIXED: b got": lambda records: records.operations.append(answered("b", "", body="i-1 a1")),
    "MIXED: k1 has two": lambda records: records.operations[0].attempts.append(
        Attempt("a9", "k1", 0, 11.0, 11.1, 200, b"i-2 a1")
    ),
    "LOST": lambda records: unanswered(records, planned=True),
    "UNSERVED": lambda records: records.operations.append(Operation("", [Attempt("c", "", 0, 1.0, 22.0)])),
    "UNSERVED: c for": lambda records: unserved(records, killed_at=2.5),
    "UNSERVED: c for 21.0": lambda records: unserved(records, status=503),
    "UNSERVED: c.0": lambda records: unserved(records, key=""),
    "CONFIG: a read": old_read,
    "CONFIG: proxy 1 answers 404": missing_route,
}
ALLOWED: dict[str, Callable[[Records], object]] = {
    "nothing": lambda records: None,
    "a request lost with a process that was killed": lambda records: unanswered(records, planned=False),
    "a key that a proxy may have claimed as it was killed": unserved,
    "a proxy that was disturbed just before": lambda records: missing_route(records, disturbed=True),
}


def of_one_good_operation() -> Records:
    return Records(operations=[answered()], runs=[("a1", "k1")])


@pytest.mark.parametrize("rule", BROKEN)
def test_each_broken_rule_is_seen(rule: str) -> None:
    records = of_one_good_operation()
    BROKEN[rule](records)
    found = violations(records)
    assert len(found) == 1 and found[0].startswith(rule)


@pytest.mark.parametrize("what", ALLOWED)
def test_what_is_allowed_is_no_violation(what: str) -> None:
    records = of_one_good_operation()
    ALLOWED[what](records)
    assert violations(records) == []


@pytest.mark.alone
@pytest.mark.parametrize("links", [False, True])
def test_a_short_soak_breaks_no_rule(links: bool, tmp_path: Path) -> None:
    """Longer ones by hand: `python -m standins.soak --runs 50`."""
    report = asyncio.run(asyncio.wait_for(soak(SEED, SECONDS, 3, 4, tmp_path, links), 120))
    assert report.violations == []
    assert report.requests > 300 and report.restarts > 0 and report.orders > 5
