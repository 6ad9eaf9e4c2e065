"""The search finds each mistake by its shortest history, and no violation in the production code."""

from __future__ import annotations

import json
import time
from dataclasses import replace

import pytest
from click.testing import CliRunner

from brackengate.cli import main
from brackengate.model_check.history_text import format_history
from brackengate.model_check.mistakes import MISTAKES, ORDERS
from brackengate.model_check.model import Bounds, Model
from brackengate.model_check.search import Limits, SearchResult, search


def explore(model: Model) -> SearchResult:
    return search(model, Limits(seconds=150), time.monotonic)


@pytest.mark.parametrize(
    ("name", "events", "breach"),
    [
        ("before-sync", 5, "write 1 was acknowledged when 0 of 2 disks had stored it"),
        ("chain-of-one", 5, "write 1 was acknowledged when 1 of 2 disks had stored it"),
        ("wiped-voter", 5, "B voted on view 2 with a disk that has no seat in view 1"),
        ("number-again", 10, "there are two views with number 2"),
        ("stale-tail", 12, "a read went back: it gave version 0 after version 1 was known"),
        ("lease-from-receipt", 13, "B serves by view 1, 2 half leases after a newer one was agreed"),
        ("lease-by-detection", 10, "C serves by view 1, 2 half leases after a newer one was agreed"),
        ("admission-before-copy", 21, "view 3 admits C, whose disk has no complete copy"),
        ("kept-deletion", 24, "A and B hold different rows at index 2"),
        ("equal-version", 6, "orders 1 and 2 differ under one version; both are confirmed"),
        ("resent-refused", 12, "write 1 was acknowledged, and is refused when it comes again"),
    ],
)
def test_each_mistake_is_found_by_its_shortest_history(name: str, events: int, breach: str) -> None:
    mistake = MISTAKES[name]
    found = explore(Model(mistake.bounds, mistake.kind))
    assert (found.breach, len(found.history)) == (breach, events)
    assert (
        format_history(Model(mistake.bounds, mistake.kind), found.history, found.breach).count("\n") > events
    )


def test_a_history_is_formatted_with_a_column_for_each_member() -> None:
    mistake = MISTAKES["wiped-voter"]
    model = Model(mistake.bounds, mistake.kind)
    lines = format_history(
        Model(mistake.bounds, mistake.kind), explore(model).history, "so it is"
    ).splitlines()
    assert lines[0] == "     | A                             B                             C"
    assert lines[2] == "   1 |                               LOSES ITS DISK, and stops"
    assert lines[-1] == "     | BROKEN: so it is"


@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(writes=1, crashes=0),  # a write around a view change
        Bounds(writes=1, crashes=1, doubts=0, views=1, bids=0, apart=True),  # power lost around each store
        Bounds(members=2, writes=1, wipes=1, pings=1, doubts=0, crashes=0, losses=1),  # of two, one lost
        Bounds(writes=0, wipes=1, pings=1, doubts=0, crashes=0, delays=1),
        Bounds(writes=0, crashes=0, pings=0, clock=2, freezes=1, delays=0),  # leases expire
        Bounds(writes=0, wipes=1, pings=3, doubts=0, crashes=0, delays=0, views=3, bids=2),  # a learner
        replace(ORDERS, delays=1),  # an order comes again after its service was removed
    ],
)
def test_the_production_state_machines_keep_the_invariants_within_small_bounds(bounds: Bounds) -> None:
    model = Model(bounds)
    found = explore(model)
    assert (found.breach, found.stopped) == ("", "")
    got = [past for past in model._pasts if past.views and past.views[-1].epoch == bounds.views]
    assert any(len(past.acked) == bounds.writes for past in got)  # the search reached the relevant states


def test_the_limit_that_stopped_a_search_is_reported() -> None:
    assert search(Model(Bounds()), Limits(depth=3), time.monotonic).stopped == "depth"
    assert search(Model(replace(Bounds(), writes=0)), Limits(states=100), time.monotonic).stopped == "states"


def test_the_command_reports_counts_and_whether_an_invariant_is_violated() -> None:
    run = CliRunner().invoke
    json_run = run(main, ["lab", "check-agreement", "--mistake", "chain-of-one", "--json"])
    figures = json.loads(json_run.output)
    assert (json_run.exit_code, figures["depth"], figures["bounds"]["members"]) == (5, 5, 2)
    text_run = run(main, ["lab", "check-agreement", "--members", "2", "--crashes", "0", "--doubts", "0"])
    assert text_run.exit_code == 0 and "all of it was seen" in text_run.output
    for wrong in (["--mistake", "none"], ["--spare", "3"], ["--reads", "4"]):
        assert run(main, ["lab", "check-agreement", *wrong]).exit_code == 2
    assert run(main, ["lab", "model-check", "--workload", "overtaken", "--writes", "4"]).exit_code == 2
    orders = ["--workload", "same-version", "--writes", "2", "--min-replicas", "1", "--members", "1"]
    one = run(main, ["lab", "model-check", *orders, "--bids", "0", "--crashes", "0", "--doubts", "0"])
    assert one.exit_code == 0 and "all of it was seen" in one.output


def test_orders_that_differ_under_one_version_are_never_both_acknowledged() -> None:
    """But one of them is, whichever comes first."""
    model = Model(MISTAKES["equal-version"].bounds)
    found = explore(model)
    assert (found.breach, found.stopped) == ("", "")
    assert {past.acked for past in model._pasts} == {frozenset(), frozenset({1}), frozenset({2})}
