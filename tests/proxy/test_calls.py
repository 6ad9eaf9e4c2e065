"""Whose answer, and how often sent: histories over both real proxies, drawn and written, and mistakes found.

client --> way out --> gate --> upstream, as `emulator/calls` plays them; `mistakes` takes one mechanism out.
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

CHUNKS, EACH = 4, 40  # drawn histories, as parts that can run side by side


def script(
    *asks: Attempt,
    s: tuple[Behaviour, ...] = (),
    p: tuple[Behaviour, ...] = (),
    faults: tuple[Fault, ...] = (),
) -> History:
    """`s`, `p`: what the upstreams of a service do; each of p's three does the same."""
    return History(1, asks, ((4, s), *((number, p) for number in (1, 2, 3))), faults)


def buy(at: int = 0, **more: object) -> Attempt:
    return Attempt(at, "buy-s", **more)  # type: ignore[arg-type]


def bid(at: int = 0, **more: object) -> Attempt:
    return Attempt(at, "bid-s", key="k", **more)  # type: ignore[arg-type]


def read(at: int = 0, **more: object) -> Attempt:
    return Attempt(at, "read-s", **more)  # type: ignore[arg-type]


FOUND_BY = {
    "id-at-gate": script(bid(), bid(200), s=(Behaviour("other"),)),
    "id-at-way-out": script(
        read(), buy(50), s=(Behaviour(), Behaviour("served", 50)), faults=(Fault("stray", 70, 4),)
    ),
    "bare-refusal": script(buy(), s=(Behaviour("bare-503"),)),
    "no-seal": script(buy(), s=(Behaviour("no-seal"),)),
    "sealed-502": script(buy(), s=(Behaviour("overdue"),)),
    "sent-again": script(buy(), s=(Behaviour("reset"),)),
    "unclaimed": script(*(Attempt(0, "bid-p", proxy, "k") for proxy in (0, 0, 1))),
    "lifted": script(bid(), s=(Behaviour("reset"),)),
    "same-connection": script(
        read(),
        buy(50, deadline=2000),
        s=(Behaviour(), Behaviour("full-twice")),
        faults=(Fault("freeze", 55, 0, 100),),
    ),
    "cut-short": script(read(), s=(Behaviour("half-closed"),) * 4),
    "broken-is-unrun": script(buy(), s=(Behaviour("reset"),)),
    "free-resets": script(Attempt(0, "read-p", deadline=2000), p=(Behaviour("reset"),)),
    "thawed": script(read(), buy(60, leaves=200), faults=(Fault("freeze", 50, 0, 1500),)),
    "no-deadline": script(read(), s=(Behaviour("silent"),)),
}


@pytest.mark.parametrize("part", range(CHUNKS))
def test_no_drawn_history_breaks_a_promise(part: int) -> None:
    """On a failure the history is told with all left out that it fails without."""
    for seed in range(part * EACH, (part + 1) * EACH):
        if broken(play(drawn(seed))):
            least = smallest(drawn(seed), lambda one: bool(broken(play(one))))
            raise AssertionError(f"{seed}: {broken(play(least))}\n{least}")


@pytest.mark.parametrize("name", FOUND_BY)
def test_a_mistake_is_found(name: str) -> None:
    history = FOUND_BY[name]
    assert broken(play(history)) == []
    with MISTAKES[name].apply():
        assert broken(play(history)) != [], MISTAKES[name].description


def test_the_command_plays_histories_and_tells_the_shortest_that_breaks_a_promise() -> None:
    run = CliRunner()
    kept = run.invoke(main, ["lab", "check-calls", "--histories", "5"])
    assert (kept.exit_code, kept.output) == (0, "5 histories: no promise is broken\n")
    with MISTAKES["sent-again"].apply():
        told = run.invoke(main, ["lab", "check-calls", "--histories", "40", "--json"])
    assert told.exit_code == 5 and "ran 2 times" in json.loads(told.output)["broken"][0]


def test_every_mistake_has_a_history() -> None:
    assert set(MISTAKES) == {*FOUND_BY, "late-dial"}


# --- a proxy that stands still


def test_a_gate_that_thaws_runs_nothing_that_the_other_proxy_has_given_up() -> None:
    """client        way out        gate (frozen from 50 ms to 1550 ms)
    60 ms: asks ->  sends ->       (unread, on a connection that stands)
    560 ms:      <- 502, closes    1550 ms: the request, and its connection's end
    """
    history = script(read(), buy(60), faults=(Fault("freeze", 50, 4, 1500),))
    seen = play(history)
    assert ([one.attempt for one in seen.ran], seen.ended["t1"].status) == (["t0"], 502)
    with MISTAKES["thawed"].apply():
        assert [one.attempt for one in play(history).ran] == ["t0", "t1"]


def test_what_waits_for_a_connection_while_its_proxy_stands_still_is_not_sent() -> None:
    """Frozen while the connection is made, beyond the call's 60 ms; the client still waits."""
    history = script(buy(deadline=60, leaves=2500), faults=(Fault("freeze", 1, 0, 150),))
    assert play(history).ran == []
    with MISTAKES["late-dial"].apply():
        assert [one.attempt for one in play(history).ran] == ["t0"]


def test_an_upstreams_own_limit_on_idle_connections_comes_first() -> None:
    """It keeps them for a second: what has rested for most of that is not sent on again."""
    for act, wait, connections in (("brief", 700, 1), ("brief", 950, 2), ("served", 950, 1)):
        seen = play(script(read(), buy(wait), s=(Behaviour(act),)))
        assert (seen.connections, seen.ended["t1"].status) == (connections, 200)


@pytest.mark.parametrize(("act", "connections"), [("other", 2), ("other-failure", 2), ("no-id", 2),
                                                  ("no-seal", 2), ("failed", 1)])  # fmt: skip
def test_a_connection_that_is_out_of_step_is_not_used_again(act: str, connections: int) -> None:
    assert play(script(buy(), buy(100), s=(Behaviour(act),))).connections == connections


# --- the rules of the later page


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
def test_a_failure_bears_a_seal_only_with_its_own_status(
    route: str, act: str, status: int, sealed: bool
) -> None:
    asks = Attempt(0, f"{route}-s", key="k" if route == "bid" else "")
    seen = play(script(asks, s=(Behaviour(act),) * 8))
    heard = seen.ended["t0"].heard
    assert heard is not None
    assert (heard.status, "x-brackengate-server-seal" in heard.fields) == (status, sealed)
    assert broken(seen) == []


@pytest.mark.parametrize("act", ["reset", "closed", "failed", "half", "garbage", "other"])
def test_a_try_runs_on_no_more_upstreams_than_its_route_allows(act: str) -> None:
    """Over both hops: three upstreams run whatever they get, and each answer is lost or no success."""
    seen = play(script(Attempt(0, "read-p", deadline=2000), p=(Behaviour(act),) * 8))
    assert len(seen.ran) == 2 and broken(seen) == []


def test_upstreams_that_turn_a_try_away_count_as_sent_to_and_not_as_run() -> None:
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


def test_a_key_that_was_turned_away_is_free_for_the_next_try() -> None:
    """A promise frees it: the upstream is full, and then is not."""
    seen = play(script(bid(), bid(700), s=(Behaviour("full"),) * 2))
    assert [seen.ended[f"t{n}"].status for n in (0, 1)] == [503, 200] and len(seen.ran) == 1
