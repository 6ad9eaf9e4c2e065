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
from brackengate.emulator.calls.history import CUTOFF, Attempt, Behaviour, Fault, History, drawn, smallest
from brackengate.emulator.calls.promises import broken
from brackengate.emulator.calls.simulation import play
from brackengate.emulator.loop import MS

CHUNKS, EACH = 4, 40  # random histories, in parts that can run in parallel


def script(
    *asks: Attempt,
    s: tuple[Behaviour, ...] = (),
    p: tuple[Behaviour, ...] = (),
    faults: tuple[Fault, ...] = (),
) -> History:
    """`s`, `p`: the behaviour of the upstreams of each service; the three of p behave the same."""
    return History(1, asks, ((4, s), *((number, p) for number in (1, 2, 3))), faults)


def buy(at: int = 0, **more: object) -> Attempt:
    return Attempt(at, "buy-s", **more)  # type: ignore[arg-type]


def bid(at: int = 0, **more: object) -> Attempt:
    return Attempt(at, "bid-s", key="k", **more)  # type: ignore[arg-type]


def read(at: int = 0, **more: object) -> Attempt:
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


@pytest.mark.parametrize("part", range(CHUNKS))
def test_no_random_history_breaks_a_promise(part: int) -> None:
    """A failure prints the history, minimised to the steps that it needs."""
    for seed in range(part * EACH, (part + 1) * EACH):
        if broken(play(drawn(seed))):
            least = smallest(drawn(seed), lambda one: bool(broken(play(one))))
            raise AssertionError(f"{seed}: {broken(play(least))}\n{least}")


@pytest.mark.parametrize("name", FOUND_BY)
def test_each_mistake_is_detected(name: str) -> None:
    history = FOUND_BY[name]
    assert broken(play(history)) == []
    with MISTAKES[name].apply():
        assert broken(play(history)) != [], MISTAKES[name].description


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
    assert ([one.attempt for one in seen.ran], seen.ended["t1"].status) == (["t0"], 502)
    with MISTAKES["resumed"].apply():
        assert [one.attempt for one in play(history).ran] == ["t0", "t1"]


def test_request_that_waits_for_a_connection_while_its_proxy_is_paused_is_not_sent() -> None:
    """Paused while it connects, past the request's 60 ms; the client still waits."""
    history = script(buy(deadline=60, leaves=2500), faults=(Fault("freeze", 1, 0, 150),))
    assert play(history).ran == []
    with MISTAKES["late-dial"].apply():
        assert [one.attempt for one in play(history).ran] == ["t0"]


def test_upstreams_limit_on_idle_connections_takes_precedence() -> None:
    """It keeps them for a second: one that was idle for most of that is not reused."""
    for act, wait, connections in (("brief", 700, 1), ("brief", 950, 2), ("served", 950, 1)):
        seen = play(script(read(), buy(wait), s=(Behaviour(act),)))
        assert (seen.connections, seen.ended["t1"].status) == (connections, 200)


@pytest.mark.parametrize(("act", "connections"), [("other", 2), ("other-failure", 2), ("no-id", 2),
                                                  ("no-seal", 2), ("failed", 1)])  # fmt: skip
def test_connection_that_is_out_of_step_is_not_reused(act: str, connections: int) -> None:
    assert play(script(buy(), buy(100), s=(Behaviour(act),))).connections == connections


# --- failures, limits of attempts and deadlines


@pytest.mark.parametrize(
    ("act", "status", "sealed"),
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
def test_failure_has_a_seal_only_with_its_own_status(route: str, act: str, status: int, sealed: bool) -> None:
    asks = Attempt(0, f"{route}-s", key="k" if route == "bid" else "")
    seen = play(script(asks, s=(Behaviour(act),) * 8))
    heard = seen.ended["t0"].heard
    assert heard is not None
    assert (heard.status, "x-brackengate-server-seal" in heard.fields) == (status, sealed)
    assert broken(seen) == []


@pytest.mark.parametrize("act", ["reset", "closed", "failed", "half", "garbage", "other"])
def test_attempt_runs_on_no_more_upstreams_than_its_route_allows(act: str) -> None:
    """Over both hops: three upstreams run every request, and each answer is lost or no success."""
    seen = play(script(Attempt(0, "read-p", deadline=2000), p=(Behaviour(act),) * 8))
    assert len(seen.ran) == 2 and broken(seen) == []


def test_upstreams_that_reject_an_attempt_do_not_count_as_run() -> None:
    seen = play(script(Attempt(0, "read-p", deadline=2000), p=(Behaviour("full"),) * 8))
    assert (seen.ran, seen.ended["t0"].status) == ([], 503)


@pytest.mark.parametrize("route", ["buy-s", "bid-s", "read-s", "read-p"])
@pytest.mark.parametrize("act", ["silent", "slow", "reset", "full"])
def test_nothing_is_held_past_its_routes_cutoff(route: str, act: str) -> None:
    """The client would wait for 2 s, the route's Cutoff is 600 ms."""
    asks = Attempt(0, route, key="k" if route == "bid-s" else "", deadline=2000, leaves=3000)
    acts = (Behaviour(act, 900),) * 8
    ended = play(script(asks, s=acts, p=acts)).ended["t0"]
    assert ended.at <= (CUTOFF + 20) * MS and ended.status >= 502


def test_rejected_key_is_free_for_the_next_attempt() -> None:
    """A rejection promises that nothing ran: the upstream is full at first, and then is not."""
    seen = play(script(bid(), bid(700), s=(Behaviour("full"),) * 2))
    assert [seen.ended[f"t{n}"].status for n in (0, 1)] == [503, 200] and len(seen.ran) == 1
