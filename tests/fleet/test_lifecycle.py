"""The life of one instance, event by event, and in any order of events."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from brackengate.fleet import lifecycle as life
from brackengate.fleet.lifecycle import Lifecycle, State


def ready() -> Lifecycle:
    made = Lifecycle()
    made.handle(life.Listening())
    made.handle(life.Serving(True))
    return made


def test_it_is_ready_once_it_listens_and_an_upstream_serves() -> None:
    made = Lifecycle()
    assert made.handle(life.Listening()) == []
    told = made.handle(life.Serving(True))
    assert told == [life.Open(), life.Tell("READY=1\nSTATUS=serving")]
    assert made.state is State.READY


def test_in_the_other_order_too() -> None:
    made = Lifecycle()
    assert made.handle(life.Serving(True)) == []
    assert life.Open() in made.handle(life.Listening())


def test_without_an_upstream_it_accepts_after_a_while_if_nobody_else_does() -> None:
    alone, beside = Lifecycle(alone=True), Lifecycle(alone=False)
    for made in (alone, beside):
        made.handle(life.Listening())
    assert alone.handle(life.Waited()) == [life.Open()]
    assert alone.state is State.STARTING  # accepting, and still not ready
    assert beside.handle(life.Waited()) == []
    assert alone.handle(life.Serving(True)) == [life.Tell("READY=1\nSTATUS=serving")]  # opened once
    assert life.Open() in beside.handle(life.Serving(True))


def test_losing_all_upstreams_is_told_and_is_no_end() -> None:
    made = ready()
    assert made.handle(life.Serving(False)) == [life.Tell("STATUS=no upstream serves")]
    assert made.state is State.READY
    assert made.handle(life.Serving(False)) == []


def test_a_reload_is_told_with_its_time_and_its_end() -> None:
    made = ready()
    first = made.handle(life.ReloadAsked(77))
    assert first[-1] == life.Reload()
    assert isinstance(first[0], life.Tell) and first[0].text.startswith("RELOADING=1\nMONOTONIC_USEC=77")
    assert made.handle(life.ReloadAsked(78)) == []  # during it: once more afterwards
    assert made.handle(life.Reloaded("one")) == [life.Reload()]
    assert made.handle(life.Reloaded("two\nmore")) == [life.Tell("READY=1\nSTATUS=two")]
    assert made.state is State.READY


def test_a_reload_before_it_is_ready_does_not_make_it_ready() -> None:
    made = Lifecycle()
    made.handle(life.Listening())
    made.handle(life.ReloadAsked(1))
    assert made.handle(life.Reloaded("done")) == [life.Tell("STATUS=done")]
    assert made.state is State.STARTING


def test_an_upstream_that_comes_during_a_reload_is_not_forgotten() -> None:
    made = Lifecycle()
    made.handle(life.Listening())
    made.handle(life.ReloadAsked(1))
    made.handle(life.Serving(True))
    assert life.Tell("READY=1\nSTATUS=serving") in made.handle(life.Reloaded("done"))


def test_it_drains_with_a_last_call_unless_it_was_replaced() -> None:
    assert ready().handle(life.StopAsked())[-1] == life.Drain(last_call=True)
    assert ready().handle(life.StopAsked(replaced=True))[-1] == life.Drain(last_call=False)


def test_a_stop_ends_a_reload_and_comes_once() -> None:
    made = ready()
    made.handle(life.ReloadAsked(1))
    assert made.handle(life.StopAsked())
    assert made.handle(life.StopAsked()) == []
    assert made.handle(life.Reloaded("late")) == []
    assert made.handle(life.ReloadAsked(2)) == []
    assert made.handle(life.Drained()) == [life.Leave(0)]
    assert made.handle(life.Drained()) == []


def test_what_it_leaves_unanswered_shows_in_its_exit_code() -> None:
    made = ready()
    made.handle(life.StopAsked())
    assert made.handle(life.Drained(held=2)) == [life.Leave(life.EXIT_UNANSWERED)]


def test_a_drain_by_call_sends_clients_away_and_ends_by_call() -> None:
    made = ready()
    assert made.ready
    assert life.AskToGo(True) in made.handle(life.DrainOn())
    assert made.state is State.AWAY and not made.ready and made.asks_to_go
    assert made.why_not == "drained by a call"
    assert made.handle(life.DrainOn()) == []  # twice is once
    assert life.AskToGo(False) in made.handle(life.DrainOff())
    assert made.state is State.READY and made.ready
    assert made.handle(life.DrainOff()) == []  # off without on


def test_a_drain_outlasts_a_reload_and_one_in_the_middle_of_it_counts() -> None:
    made = ready()
    made.handle(life.DrainOn())
    made.handle(life.ReloadAsked(1))
    assert not made.ready
    made.handle(life.Reloaded("done"))
    assert made.state is State.AWAY and not made.ready
    made.handle(life.ReloadAsked(2))
    made.handle(life.DrainOff())
    assert made.state is State.RELOADING and made.ready
    made.handle(life.Reloaded("done"))
    assert made.state is State.READY


def test_a_drain_before_it_is_ready_is_not_forgotten() -> None:
    made = Lifecycle()
    made.handle(life.DrainOn())
    made.handle(life.Listening())
    assert life.Open() in made.handle(life.Serving(True))  # what comes is still served
    assert made.state is State.AWAY and not made.ready


def test_sigterm_during_a_drain_leaves_as_ever_and_no_call_undoes_it() -> None:
    made = ready()
    made.handle(life.DrainOn())
    assert made.handle(life.StopAsked())[-1] == life.Drain(last_call=True)
    assert made.handle(life.DrainOff()) == []
    assert made.state is State.DRAINING and made.asks_to_go and not made.ready
    assert made.why_not == "leaving"


def test_a_successor_takes_over_and_what_it_leaves_is_taken_back() -> None:
    made = ready()
    told = made.handle(life.Successor(True))
    assert life.AskToGo(True) in told and life.Accept(False) in told
    assert made.state is State.REPLACED
    assert made.ready  # the balancer serves, whichever process was asked
    told = made.handle(life.Successor(False))  # it died
    assert life.AskToGo(False) in told and life.Accept(True) in told
    assert made.state is State.READY
    made.handle(life.Successor(True))
    assert made.handle(life.StopAsked())[-1] == life.Drain(last_call=False)
    assert made.ready


def test_a_drain_and_a_successor_do_not_forget_each_other() -> None:
    made = ready()
    made.handle(life.DrainOn())
    told = made.handle(life.Successor(True))
    assert life.Accept(False) in told and not any(isinstance(a, life.AskToGo) for a in told)
    assert made.state is State.REPLACED and not made.ready
    assert not any(isinstance(a, life.AskToGo) for a in made.handle(life.Successor(False)))
    assert made.state is State.AWAY


EVENTS = st.one_of(
    st.just(life.Listening()),
    st.builds(life.Serving, st.booleans()),
    st.just(life.Waited()),
    st.just(life.ReloadAsked(1)),
    st.just(life.Reloaded("x")),
    st.just(life.DrainOn()),
    st.just(life.DrainOff()),
    st.builds(life.Successor, st.booleans()),
    st.builds(life.StopAsked, st.booleans()),
    st.just(life.Drained()),
)


@given(st.lists(EVENTS, max_size=30), st.booleans())
def test_in_any_order_it_opens_once_drains_once_and_leaves_once(
    events: list[life.Event], alone: bool
) -> None:
    made, out = Lifecycle(alone), list[life.Action]()
    for event in events:
        actions = made.handle(event)
        if made.state in (State.DRAINING, State.STOPPED):
            assert not any(isinstance(a, life.Open | life.Reload) for a in actions)
        out += actions
    assert sum(isinstance(a, life.Open) for a in out) <= 1
    assert sum(isinstance(a, life.Drain) for a in out) <= 1
    assert sum(isinstance(a, life.Leave) for a in out) <= 1
    if any(isinstance(a, life.Leave) for a in out):
        assert any(isinstance(a, life.Drain) for a in out)


@given(st.lists(EVENTS, max_size=40), st.booleans())
def test_in_any_order_what_it_says_fits_what_it_has_ordered(events: list[life.Event], alone: bool) -> None:
    """Whoever is asked to go is never welcome here, but for the word on a successor; nothing is accepted
    after leaving began, or while another accepts."""
    made, asks, accepts, successor, drained = Lifecycle(alone), False, True, False, False
    for event in events:
        leaving = made.state in (State.DRAINING, State.STOPPED)
        for action in made.handle(event):
            match action:
                case life.AskToGo(on):
                    assert on is not asks
                    asks = on
                case life.Accept(on):
                    accepts = on
                    assert not leaving
        if not leaving and made.state is not State.DRAINING:
            match event:
                case life.Successor(there):
                    successor = there
                case life.DrainOn():
                    drained = True
                case life.DrainOff():
                    drained = False
            assert asks is (successor or drained)
            assert not made.open or accepts is not successor
        if drained:
            assert not made.ready
        if made.ready and asks:
            assert successor
