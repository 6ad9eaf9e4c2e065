"""What a mesh needs of the module: calls that are not held, unsent attempts for nothing, new classes."""

import random

import pytest
from test_random import Play
from world import ONCE, SAFE, World, endings, keyed, probes, rows, sends

from brackengate import interface as api

OK, BROKE, NOT_SENT = api.Outcome.OK, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT
RESET = api.Outcome.RESET
DRAINING = api.Lifecycle.DRAINING


def refused(name: str) -> list[api.Action]:
    return [api.Refuse(name, 0)]


def rests(world: World, *which: str) -> None:
    """Let these fail until they rest; calls that go to others are answered."""
    answered, ups = [], world.balancer.upstreams
    while any(world.now >= ups[one].ejected_until for one in which):
        name, upstream = world.sent()
        if upstream in which:
            world.ended(name, upstream, BROKE, closed=True)
        else:
            answered.append((name, upstream))
    for name, upstream in answered:
        world.ended(name, upstream, OK)


# --- holds: False --------------------------------------------------------------------------------


def test_by_default_a_call_waits_while_all_rest():
    world = World(rows(2))
    rests(world, "u0", "u1")
    name, actions = world.call()
    assert not sends(actions) and not endings(actions)
    assert list(world.balancer.waiting) == [name]


def test_unheld_calls_go_to_the_least_bad_while_all_rest():
    """Fewest own calls first, then fewest failures, then the earliest assignment."""
    world = World(rows(4), wait_for_upstream=False)
    _, busy = world.sent()
    rests(world, "u0", "u1", "u2", "u3")
    name, worst = world.sent()
    world.ended(name, worst, BROKE, closed=True)  # its third in a row
    for _ in range(2):  # the others are assigned later, and have failed less
        world.ended(*world.sent(), api.Outcome.ERROR, closed=True)
    last = {send.upstream: number for number, send in enumerate(sends(world.log))}
    others = sorted({"u0", "u1", "u2", "u3"} - {busy, worst}, key=lambda name: last[name])
    assert [world.sent()[1] for _ in range(4)] == [*others, worst, busy]
    assert not world.balancer.waiting


def test_an_unheld_call_that_failed_twice_on_the_only_upstream_goes_there_again():
    world = World(rows(1), wait_for_upstream=False)
    name, bad = world.sent()
    for attempt in range(3):
        assert [s.upstream for s in sends(world.ended(name, bad, BROKE, attempt=attempt))] == [bad]
    assert endings(world.ended(name, bad, BROKE, attempt=3)) == refused(name)  # four are its most
    assert not world.balancer.waiting and not world.balancer.requests


def test_unheld_calls_go_to_a_cold_upstream_where_all_are_cold_and_keep_its_pace_otherwise():
    cold = [api.Endpoint(f"u{i}", started_at=100_000_000) for i in range(2)]
    for holds in (True, False):
        world = World(tuple(cold), wait_for_upstream=holds, cold_time=20_000_000)
        assert bool(sends(world.call()[1])) is not holds
    world = World((*cold, api.Endpoint("warm")), wait_for_upstream=False, cold_time=20_000_000)
    assert {world.sent()[1] for _ in range(6)} == {"warm"}


def test_a_rest_still_turns_unheld_calls_to_the_sound_ones():
    world = World(rows(3), wait_for_upstream=False)
    rests(world, "u1")
    assert {world.sent()[1] for _ in range(20)} == {"u0", "u2"}


@pytest.mark.parametrize("listed", [(), rows(2, state=DRAINING)])
def test_with_none_that_serves_an_unheld_call_ends_at_once(listed):
    world = World(listed, wait_for_upstream=False)
    name, actions = world.call()
    assert actions == refused(name)
    name, actions = world.call("buy")
    assert actions == refused(name)  # nothing of it ran
    assert not world.balancer.requests and not world.balancer.waiting


def test_the_last_one_drains_while_an_unheld_call_is_out():
    world = World(rows(1), wait_for_upstream=False)
    name, upstream = world.sent()
    world.list(api.Endpoint(upstream, state=DRAINING))
    assert endings(world.ended(name, upstream, BROKE)) == refused(name)


def test_an_unheld_call_that_may_have_run_goes_only_where_its_repeat_is_discarded():
    world = World(
        (api.Endpoint("a", zone="z1"), api.Endpoint("b", zone="z2")),
        classes=(keyed(api.KeyScope.ZONE),),
        wait_for_upstream=False,
    )
    name, first = world.sent("bid")
    again = sends(world.ended(name, first, api.Outcome.RESET))
    assert [s.upstream for s in again] == [first]
    again = sends(world.ended(name, first, api.Outcome.RESET, attempt=1))  # it rests, and is the only one
    assert [s.upstream for s in again] == [first]
    world.list(api.Endpoint(first, zone="z1" if first == "a" else "z2", state=DRAINING))
    assert endings(world.ended(name, first, api.Outcome.RESET, attempt=2)) == [api.Fail(name)]


def test_an_unheld_call_still_asks_before_it_is_sent_and_goes_out_if_all_rest_by_then():
    world = World(rows(2), probes=True, wait_for_upstream=False)
    for tries in (1, 2):
        name, actions = world.call()
        asked = probes(actions)
        assert sorted(asked) == ["u0", "u1"] and not sends(actions)
        for upstream in asked:
            actions = world.tell(api.ProbeEnded(upstream, BROKE))
        assert [up.consecutive_failures for up in world.balancer.upstreams.values()] == [
            tries,
            tries,
        ]  # at two it rests
        assert [s.request for s in sends(actions)] == [name]
        assert not world.balancer.waiting
        world.ended(name, sends(actions)[0].upstream, api.Outcome.ERROR, closed=True)
        world.wait(6_000_000)


@pytest.mark.parametrize("probing", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_whatever_comes_no_unheld_call_waits_but_for_a_word(seed, probing):
    game = Play(seed, wait_for_upstream=False, probes=probing, tier=1)
    for number in range(400):
        game.step(number)
        assert all(call.probed and call.probes_pending for call in game.world.balancer.waiting.values())
    assert probing or not game.world.balancer.waiting


# --- unsent_attempts_free: True ---------------------------------------------------------------------------


def unsent_until_it_ends(world: World, cls: str = "read") -> list[str]:
    """A call that every upstream turns away unsent: where it went."""
    name, upstream = world.sent(cls)
    went = [upstream]
    while again := sends(world.ended(name, upstream, NOT_SENT, attempt=len(went) - 1)):
        upstream = again[0].upstream
        went.append(upstream)
        assert len(went) < 20
    assert [a.request for a in endings(world.log)][-1] == name
    return went


def test_by_default_unsent_attempts_count_and_spend_retries():
    world = World(rows(12))
    assert len(unsent_until_it_ends(world)) == 4
    assert world.balancer.retry_tokens == 5.0 - 3


def test_free_unsent_attempts_count_for_nothing_up_to_eight():
    for most in (1, 3, 12):
        world = World(rows(12), unsent_attempts_free=True, max_attempts=most)
        went = unsent_until_it_ends(world, "buy")
        assert len(went) == len(set(went)) == 8
        assert world.balancer.retry_tokens == 5.0


def test_free_unsent_attempts_go_on_without_retries_and_the_others_still_count():
    world = World(rows(12), unsent_attempts_free=True, max_attempts=3)
    name, upstream = world.sent()
    for attempt, outcome in enumerate([NOT_SENT, RESET, BROKE, RESET]):
        upstream = sends(world.ended(name, upstream, outcome, attempt=attempt))[0].upstream
    assert world.balancer.retry_tokens == 3.0
    assert endings(world.ended(name, upstream, RESET, attempt=4)) == refused(name)
    world.balancer.retry_tokens = 0.0
    name, upstream = world.sent()
    upstream = sends(world.ended(name, upstream, BROKE))[0].upstream
    assert endings(world.ended(name, upstream, RESET, attempt=1)) == refused(name)
    assert 0 <= world.balancer.retry_tokens < 1


def test_a_request_that_may_reach_one_upstream_still_goes_on_behind_dead_ones():
    """No connection: nothing of it came to an upstream, so nothing is spent, even of one attempt."""
    once = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.UNSAFE, max_attempts=1)
    world = World(
        rows(5),
        classes=(once,),
        unsent_attempts_free=True,
        fail_fast=True,
        wait_for_upstream=False,
        retry_start=0.0,
    )
    name, upstream = world.sent()
    went = [upstream]
    for attempt in range(4):
        (send,) = sends(world.ended(name, went[-1], BROKE, attempt=attempt))
        went.append(send.upstream)
    assert len(set(went)) == 5
    assert endings(world.ended(name, went[-1], BROKE, attempt=4)) == refused(name)  # all have been asked


# --- Standing, RetryBudget -----------------------------------------------------------------------------


def test_others_word_makes_an_upstream_rest_and_lifts_the_rest_again():
    world = World(rows(3), wait_for_upstream=False)
    world.tell(api.UpstreamHealth("u1", False))
    assert {world.sent()[1] for _ in range(12)} == {"u0", "u2"}
    world.tell(api.UpstreamHealth("u1", True))
    assert [world.sent()[1] for _ in range(3)] == ["u1"] * 3  # the fewest own calls by far
    world.tell(api.UpstreamHealth("unknown", False))


def test_a_smaller_part_of_the_budget_takes_back_what_was_saved_above_it():
    world = World(rows(12), unsent_attempts_free=True)
    world.tell(api.RetryBudget(0.5, 2.0))
    assert world.balancer.retry_tokens == 2.0
    world.balancer.retry_tokens = 0.0
    for _ in range(6):
        world.sent()
    assert world.balancer.retry_tokens == 2.0


def test_what_turned_a_call_away_is_not_offered_it_again_while_another_serves():
    world = World(rows(3), unsent_attempts_free=True, wait_for_upstream=False)
    rests(world, "u1", "u2")
    went = unsent_until_it_ends(world)
    assert went[0] == "u0" and set(went[1:3]) == {"u1", "u2"}  # those that rest come before going back
    assert len(went) == 8 and "u0" in went[3:]  # all have turned it away: any may again
    name, upstream = world.sent()
    assert upstream == "u0"  # another request's refusals do not count
    world.list(*(api.Endpoint(f"u{i}", state=DRAINING) for i in (1, 2)))
    assert [s.upstream for s in sends(world.ended(name, upstream, NOT_SENT))] == ["u0"]


def test_a_held_call_waits_for_the_other_rather_than_go_back():
    world = World(rows(2), unsent_attempts_free=True, connect_timeout=10_000)
    rests(world, "u1")
    name, upstream = world.sent()
    assert upstream == "u0"
    assert not sends(world.ended(name, upstream, NOT_SENT))
    assert [s.upstream for s in sends(world.wait(300_000))] == ["u1"]


def test_it_goes_back_where_a_repeat_is_discarded_only_there():
    world = World(
        (api.Endpoint("a", zone="z1"), api.Endpoint("b", zone="z2")),
        classes=(keyed(api.KeyScope.ZONE),),
        unsent_attempts_free=True,
    )
    name, first = world.sent("bid")
    assert sends(world.ended(name, first, api.Outcome.ERROR))[0].upstream == first
    assert sends(world.ended(name, first, NOT_SENT, attempt=1))[0].upstream == first


# --- Classes -------------------------------------------------------------------------------------


def test_a_new_table_of_classes_holds_for_calls_that_come_after_it():
    world = World(rows(4))
    name, upstream = world.sent("buy")
    safe_now = api.RequestClass("buy", 300_000, 1_000_000, api.Idempotency.REPEATABLE)
    assert world.tell(api.Classes((SAFE, safe_now))) == []
    assert endings(world.ended(name, upstream, api.Outcome.ERROR)) == [api.Fail(name)]  # unsafe, as it came
    name, actions = world.call("buy")
    assert sends(actions)[0].until == world.now + 300_000 - 3_000
    assert sends(world.ended(name, sends(actions)[0].upstream, api.Outcome.ERROR))


def test_drawn_changes_of_classes_leave_what_the_whole_table_would():
    rng, table = random.Random(1), {one.name: one for one in (SAFE, ONCE)}
    changing, whole = World(rows(1)), World(rows(1))
    for _ in range(400):
        names = rng.sample("abcdefgh", rng.randrange(1, 5))
        split = rng.randrange(len(names) + 1)
        gone = names[split:]
        changed = [
            api.RequestClass(name, rng.choice((200_000, 300_000)), 1_000_000, value=rng.choice((1.0, 2.0)))
            for name in names[:split]
        ]
        table = {name: one for name, one in table.items() if name not in gone}
        table.update((one.name, one) for one in changed)
        changing.tell(api.ClassesChanged(tuple(changed), tuple(gone)))
        whole.tell(api.Classes(tuple(table.values())))
        one, other = changing.balancer, whole.balancer
        assert one.classes == other.classes
        assert (one.recheck_interval, one.max_value, one.report_max_age) == (
            other.recheck_interval,
            other.max_value,
            other.report_max_age,
        )


def test_a_class_that_the_new_table_lacks_gets_the_most_careful_handling():
    world = World(rows(4))
    world.tell(api.Classes((ONCE,)))
    name, upstream = world.sent("read")
    assert endings(world.ended(name, upstream, api.Outcome.ERROR)) == [api.Fail(name)]


def test_what_follows_from_the_classes_is_derived_anew():
    dear = api.RequestClass("dear", 2_000_000, 4_000_000, value=8.0)
    for probing, lasts in ((False, 30_000_000), (True, 2_000_000)):
        world = World(rows(2), probes=probing)
        assert (world.balancer.max_value, world.balancer.recheck_interval) == (1.0, 10_000)
        world.tell(api.Classes((dear,)))
        assert (world.balancer.max_value, world.balancer.recheck_interval) == (8.0, 40_000)
        assert world.balancer.report_max_age == lasts
        assert list(world.balancer.classes) == ["dear"]
        world.tell(api.Classes(()))
        assert (world.balancer.max_value, world.balancer.recheck_interval) == (1.0, 600_000)


def test_what_was_learned_of_a_class_outlives_its_table():
    world = World(rows(2))
    name, upstream = world.sent()
    world.now += 50_000
    world.ended(name, upstream, OK)
    world.tell(api.Classes((SAFE,)))
    assert world.balancer.mean_latency["read"] == 50_000


# --- max_attempts of a class ---------------------------------------------------------------------


@pytest.mark.parametrize(("own", "tries"), [(0, 3), (1, 1), (2, 2), (5, 5)])
def test_a_class_may_have_a_most_of_attempts_of_its_own(own, tries):
    mine = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.REPEATABLE, max_attempts=own)
    world = World(rows(9), classes=(mine,), max_attempts=3)
    name, upstream = world.sent()
    for attempt in range(tries - 1):
        upstream = sends(world.ended(name, upstream, api.Outcome.ERROR, attempt=attempt))[0].upstream
    assert endings(world.ended(name, upstream, api.Outcome.ERROR, attempt=tries - 1)) == refused(name)


def test_calls_under_way_keep_the_most_of_their_class():
    world = World(rows(9))
    name, upstream = world.sent()
    world.tell(api.Classes((api.RequestClass("read", 500_000, 1_000_000, max_attempts=1),)))
    assert sends(world.ended(name, upstream, BROKE))
    name, upstream = world.sent()
    assert endings(world.ended(name, upstream, BROKE)) == refused(name)


# --- the advice of a refusal ---------------------------------------------------------------------


@pytest.mark.parametrize("advice", [0, 250_000])
def test_a_refusal_carries_the_longest_advice_that_the_settings_allow(advice):
    world = World((), wait_for_upstream=False, max_retry_after=advice)
    name, actions = world.call()
    assert actions == [api.Refuse(name, advice)]


# --- fail_fast: True -----------------------------------------------------------------------------


def test_one_round_ends_once_all_that_serve_have_turned_it_away():
    world = World(rows(3), unsent_attempts_free=True, wait_for_upstream=False, fail_fast=True)
    assert sorted(unsent_until_it_ends(world)) == ["u0", "u1", "u2"]
    world.list(api.Endpoint("u1", state=DRAINING))
    assert sorted(unsent_until_it_ends(world)) == ["u0", "u2"]


def test_one_round_tries_nothing_that_has_no_time_left():
    for fail_fast in (False, True):
        world = World(
            rows(2), unsent_attempts_free=True, wait_for_upstream=False, fail_fast=fail_fast, tier=1
        )
        for _ in range(20):
            name, upstream = world.sent()
            world.wait(100_000)
            world.ended(name, upstream, OK)
        name, upstream = world.sent()
        call = world.balancer.requests[name]
        world.wait(call.answer_by - world.now - 20_000)
        went = sends(world.ended(name, upstream, api.Outcome.ERROR))
        assert bool(went) is not fail_fast
