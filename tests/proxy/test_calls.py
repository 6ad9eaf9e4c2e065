"""Answers reach the right caller, and requests run as often as promised: random and scripted histories.

client --> egress --> ingress --> upstream, both proxies as in production, emulated by `emulator/calls`.
The faulty variants of `mistakes`, with one mechanism disabled each, must be detected.
"""

from __future__ import annotations

import json

import pytest
from click.testing import CliRunner
from mistakes import MISTAKES

from brackengate.cli import main
from brackengate.emulator.calls.history import (
    CUTOFF_MS,
    Attempt,
    Behaviour,
    Fault,
    History,
    minimise_history,
    random_history,
)
from brackengate.emulator.calls.promises import broken_promises
from brackengate.emulator.calls.simulation import play
from brackengate.emulator.loop import MS

CHUNKS, HISTORIES_PER_CHUNK = 4, 40  # of random histories; chunks can run in parallel


def script(
    *attempts: Attempt,
    s: tuple[Behaviour, ...] = (),
    p: tuple[Behaviour, ...] = (),
    faults: tuple[Fault, ...] = (),
) -> History:
    """`s`, `p`: the behaviours of the upstreams of each service; the three of p behave the same."""
    return History(1, attempts, ((4, s), *((number, p) for number in (1, 2, 3))), faults)


def buy(at: int = 0, **more: object) -> Attempt:
    """An attempt of an effectful route; `more`: fields of `Attempt`."""
    return Attempt(at, "buy-s", **more)  # type: ignore[arg-type]


def bid(at: int = 0, **more: object) -> Attempt:
    """An attempt of a keyed route, always with the same key."""
    return Attempt(at, "bid-s", key="k", **more)  # type: ignore[arg-type]


def read(at: int = 0, **more: object) -> Attempt:
    """An attempt of an idempotent route."""
    return Attempt(at, "read-s", **more)  # type: ignore[arg-type]


FOUND_BY = {
    "id-at-ingress": script(bid(), bid(200), s=(Behaviour("other"),)),
    "id-at-egress": script(
        read(), buy(50), s=(Behaviour(), Behaviour("served", 50)), faults=(Fault("stray", 70, 4),)
    ),
    "bare-refusal": script(buy(), s=(Behaviour("bare-503"),)),
    "no-seal": script(buy(), s=(Behaviour("no-seal"),)),
    "sealed-502": script(buy(), s=(Behaviour("overdue"),)),
    "sent-again": script(buy(), s=(Behaviour("reset"),)),
    "unclaimed": script(*(Attempt(0, "bid-p", proxy, "k") for proxy in (0, 0, 1))),
    "claim-released": script(bid(), s=(Behaviour("reset"),)),
    "same-connection": script(
        read(),
        buy(50, deadline=2000),
        s=(Behaviour(), Behaviour("full-twice")),
        faults=(Fault("freeze", 55, 0, 100),),
    ),
    "cut-short": script(read(), s=(Behaviour("half-closed"),) * 4),
    "broken-is-unrun": script(buy(), s=(Behaviour("reset"),)),
    "free-resets": script(Attempt(0, "read-p", deadline=2000), p=(Behaviour("reset"),)),
    "resumed": script(read(), buy(60, leaves=200), faults=(Fault("freeze", 50, 0, 1500),)),
    "no-deadline": script(read(), s=(Behaviour("silent"),)),
}


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_no_random_history_breaks_a_promise(chunk: int) -> None:
    """A failure prints the history, minimised to the steps that it needs."""
    for seed in range(chunk * HISTORIES_PER_CHUNK, (chunk + 1) * HISTORIES_PER_CHUNK):
        if broken_promises(play(random_history(seed))):
            smallest = minimise_history(random_history(seed), lambda one: bool(broken_promises(play(one))))
            raise AssertionError(f"{seed}: {broken_promises(play(smallest))}\n{smallest}")


@pytest.mark.parametrize("name", FOUND_BY)
def test_each_mistake_is_detected(name: str) -> None:
    history = FOUND_BY[name]
    assert broken_promises(play(history)) == []
    with MISTAKES[name].apply():
        assert broken_promises(play(history)) != [], MISTAKES[name].description


def test_command_plays_histories_and_prints_the_shortest_that_breaks_a_promise() -> None:
    run = CliRunner()
    kept = run.invoke(main, ["lab", "check-calls", "--histories", "5"])
    assert (kept.exit_code, kept.output) == (0, "5 histories: no promise is broken\n")
    with MISTAKES["sent-again"].apply():
        failed = run.invoke(main, ["lab", "check-calls", "--histories", "40", "--json"])
    assert failed.exit_code == 5 and "ran 2 times" in json.loads(failed.output)["broken"][0]


def test_every_mistake_has_a_history() -> None:
    assert set(MISTAKES) == {*FOUND_BY, "late-dial"}


# --- paused proxies


def test_resumed_proxy_runs_nothing_that_the_other_proxy_has_given_up() -> None:
    """client           egress         ingress (paused from 50 ms to 1550 ms)
    60 ms: request -> sends ->     (unread, on an open connection)
    560 ms:        <- 502, closes  1550 ms: reads the request and the end of its connection
    """
    history = script(read(), buy(60), faults=(Fault("freeze", 50, 4, 1500),))
    seen = play(history)
    assert ([execution.attempt for execution in seen.executions], seen.results["t1"].status) == (["t0"], 502)
    with MISTAKES["resumed"].apply():
        assert [execution.attempt for execution in play(history).executions] == ["t0", "t1"]


def test_request_that_waits_for_a_connection_while_its_proxy_is_paused_is_not_sent() -> None:
    """Paused while it connects, past the request's 60 ms; the client still waits."""
    history = script(buy(deadline=60, leaves=2500), faults=(Fault("freeze", 1, 0, 150),))
    assert play(history).executions == []
    with MISTAKES["late-dial"].apply():
        assert [execution.attempt for execution in play(history).executions] == ["t0"]


def test_upstreams_limit_on_idle_connections_takes_precedence() -> None:
    """It keeps them for a second: one that was idle for most of that is not reused."""
    for behaviour, wait, connections in (("brief", 700, 1), ("brief", 950, 2), ("served", 950, 1)):
        seen = play(script(read(), buy(wait), s=(Behaviour(behaviour),)))
        assert (seen.connections, seen.results["t1"].status) == (connections, 200)


@pytest.mark.parametrize(("behaviour", "connections"), [("other", 2), ("other-failure", 2), ("no-id", 2),
                                                  ("no-seal", 2), ("failed", 1)])  # fmt: skip
def test_connection_that_is_out_of_step_is_not_reused(behaviour: str, connections: int) -> None:
    assert play(script(buy(), buy(100), s=(Behaviour(behaviour),))).connections == connections


# --- failures, limits of attempts and deadlines


@pytest.mark.parametrize(
    ("behaviour", "status", "sealed"),
    [
        ("failed", 500, True),
        ("overdue", 504, True),
        ("bare-503", 502, False),
        ("bare-429", 502, False),
        ("other-failure", 502, False),
        ("full", 503, False),
    ],
)
@pytest.mark.parametrize("route", ["buy", "bid", "read"])
def test_failure_has_a_seal_only_with_its_own_status(
    route: str, behaviour: str, status: int, sealed: bool
) -> None:
    attempt = Attempt(0, f"{route}-s", key="k" if route == "bid" else "")
    seen = play(script(attempt, s=(Behaviour(behaviour),) * 8))
    answer = seen.results["t0"].answer
    assert answer is not None
    assert (answer.status, "x-brackengate-server-seal" in answer.fields) == (status, sealed)
    assert broken_promises(seen) == []


@pytest.mark.parametrize("behaviour", ["reset", "closed", "failed", "half", "garbage", "other"])
def test_attempt_runs_on_no_more_upstreams_than_its_route_allows(behaviour: str) -> None:
    """Over both hops: three upstreams run every request, and each answer is lost or no success."""
    seen = play(script(Attempt(0, "read-p", deadline=2000), p=(Behaviour(behaviour),) * 8))
    assert len(seen.executions) == 2 and broken_promises(seen) == []


def test_upstreams_that_reject_an_attempt_do_not_count_as_run() -> None:
    seen = play(script(Attempt(0, "read-p", deadline=2000), p=(Behaviour("full"),) * 8))
    assert (seen.executions, seen.results["t0"].status) == ([], 503)


@pytest.mark.parametrize("route", ["buy-s", "bid-s", "read-s", "read-p"])
@pytest.mark.parametrize("behaviour", ["silent", "slow", "reset", "full"])
def test_nothing_is_held_past_its_routes_cutoff(route: str, behaviour: str) -> None:
    """The client would wait for 2 s, the route's Cutoff is 600 ms."""
    attempt = Attempt(0, route, key="k" if route == "bid-s" else "", deadline=2000, leaves=3000)
    behaviours = (Behaviour(behaviour, 900),) * 8
    result = play(script(attempt, s=behaviours, p=behaviours)).results["t0"]
    assert result.at <= (CUTOFF_MS + 20) * MS and result.status >= 502


def test_rejected_key_is_free_for_the_next_attempt() -> None:
    """A rejection promises that nothing ran: the upstream is full at first, and then is not."""
    seen = play(script(bid(), bid(700), s=(Behaviour("full"),) * 2))
    assert [seen.results[f"t{n}"].status for n in (0, 1)] == [503, 200] and len(seen.executions) == 1
