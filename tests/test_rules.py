"""The four rules, each against the events that could break it."""

import pytest
from world import ONCE, World, endings, keyed, probes, releases, rows, sends

from brackengate import interface as api

O = api.Outcome  # noqa: E741
NEVER_RAN = [O.REJECTED, O.CONNECT_FAILED, O.NOT_SENT]
MAY_HAVE_RUN = [O.ERROR, O.TIMEOUT, O.RESET, O.CANCELLED]


# --- rule 1: one ending, in time, nothing after it ---------------------------------------------


def test_with_no_upstreams_a_call_ends_once_and_in_time():
    world = World(())
    name, _ = world.call(left=300_000)
    world.wait(300_000)
    assert [a.request for a in endings(world.log)] == [name]
    assert not world.balancer.requests


def test_all_upstreams_gone_while_a_call_waits():
    world = World(rows(1, state=api.Lifecycle.DRAINING))
    name, _ = world.call()
    world.list(api.Endpoint("u0", state=api.Lifecycle.GONE))
    world.wait(1_000_000)
    assert [a.request for a in endings(world.log)] == [name]


def test_a_new_upstream_takes_the_waiting_call():
    world = World(())
    name, _ = world.call()
    assert [s.request for s in sends(world.list(api.Endpoint("new")))] == [name]


def test_a_timeout_at_the_end_is_answered_once():
    world = World(rows(2))
    name, upstream = world.sent("buy")
    world.now += 500_000
    assert endings(world.ended(name, upstream, O.TIMEOUT)) == [api.Fail(name)]
    assert world.ended(name, upstream, O.TIMEOUT) == []


def test_nothing_goes_out_after_the_client_left():
    world = World(rows(2))
    name, upstream = world.sent()
    assert world.tell(api.ClientGone(name)) == [api.CancelAttempt(name, 0)]
    assert not sends(world.ended(name, upstream, O.CANCELLED, closed=True))
    assert world.balancer.upstreams[upstream].own_in_flight == 0
    assert world.tell(api.ClientGone(name)) == []


def test_a_silent_probe_does_not_hold_a_call_past_its_end():
    world = World(rows(3), probes=True)
    name, actions = world.call(left=200_000)
    assert probes(actions)
    assert [s.request for s in sends(world.wait(100_000))] == [name]


def test_silent_probes_are_not_followed_blindly():
    """A zone was cut off: calls whose probes stayed silent went to the silent upstream all the same."""
    for seed in range(10):
        world = World(rows(6), probes=True, seed=seed)
        name, actions = world.call()
        silent = probes(actions)
        for upstream in probes(world.wait(20_000)):
            world.tell(api.ProbeEnded(upstream, O.OK, 900, api.LoadReport(0, 0, 0)))
        world.wait(20_000)
        sent = sends(world.log)
        assert [s.request for s in sent] == [name]
        assert sent[0].upstream not in silent


def test_looks_at_a_waiting_call_do_not_multiply():
    """Each look once set two timers, and these doubled."""
    for probing in (False, True):
        world = World(rows(2), probes=probing, classes=(api.RequestClass("read", 10_000_000, 10_000_000),))
        world.list(*(api.Endpoint(f"u{i}", state=api.Lifecycle.DRAINING) for i in range(2)))
        world.call(left=10_000_000)
        world.wait(9_000_000)
        assert len(world.timers) <= 2


def test_a_call_that_arrives_with_no_time_left_is_ended_at_once():
    world = World(rows(1))
    _, actions = world.call(left=500)
    assert len(endings(actions)) == 1


# --- rule 2: no effect twice -----------------------------------------------------------------


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_unsafe_work_that_may_have_run_is_neither_resent_nor_refused(outcome):
    world = World(rows(4))
    name, upstream = world.sent("buy")
    actions = world.ended(name, upstream, outcome)
    assert not sends(actions)
    assert endings(actions) == [api.Fail(name)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_unsafe_work_that_never_ran_is_resent_elsewhere(outcome):
    world = World(rows(4))
    name, upstream = world.sent("buy")
    again = sends(world.ended(name, upstream, outcome))
    assert len(again) == 1
    assert again[0].upstream != upstream


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN + NEVER_RAN)
def test_repeatable_work_is_resent_after_any_outcome(outcome):
    world = World(rows(4))
    name, upstream = world.sent()
    assert len(sends(world.ended(name, upstream, outcome))) == 1


GROUPED = (
    api.Endpoint("a", zone="z1", cell=1),
    api.Endpoint("b", zone="z1", cell=2),
    api.Endpoint("c", zone="z1", cell=1),
    api.Endpoint("d", zone="z2", cell=1),
)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize("scope", list(api.KeyScope))
def test_keyed_work_stays_in_its_group(scope, outcome):
    by_name = {e.upstream: e for e in GROUPED}
    for seed in range(6):
        world = World(GROUPED, seed=seed, classes=(keyed(scope),))
        name, first = world.sent("bid")
        for send in sends(world.ended(name, first, outcome)):
            one, other = by_name[first], by_name[send.upstream]
            assert scope is not api.KeyScope.ZONE or one.zone == other.zone
            assert scope is not api.KeyScope.CELL or one.cell == other.cell


def test_keyed_work_with_nobody_left_in_its_group_fails_without_a_claim():
    world = World((api.Endpoint("a", cell=1),), classes=(keyed(api.KeyScope.CELL),))
    name, first = world.sent("bid")
    world.list(api.Endpoint("a", state=api.Lifecycle.DRAINING), api.Endpoint("b", cell=2))
    actions = world.ended(name, first, O.ERROR) + world.wait(500_000)
    assert not sends(actions)
    assert endings(actions) == [api.Fail(name)]


def test_upstreams_of_no_known_cell_share_none():
    world = World(rows(3, cell=-1), classes=(keyed(api.KeyScope.CELL),))
    name, first = world.sent("bid")
    assert not sends(world.ended(name, first, O.ERROR))


@pytest.mark.parametrize(("waited", "resent"), [(90_000, 1), (100_000, 0)])
def test_keyed_work_is_not_resent_past_its_window(waited, resent):
    world = World(rows(3), classes=(keyed(api.KeyScope.ALL, memory=100_000),))
    name, first = world.sent("bid")
    world.now += waited
    assert len(sends(world.ended(name, first, O.ERROR))) == resent


def test_attempts_are_limited():
    world = World(rows(9), max_attempts=3)
    name, upstream = world.sent()
    for attempt in range(2):
        upstream = sends(world.ended(name, upstream, O.ERROR, attempt=attempt))[0].upstream
    assert len(endings(world.ended(name, upstream, O.ERROR, attempt=2))) == 1


def test_retries_come_from_a_budget():
    world = World(rows(9))
    resent = 0
    for _ in range(100):
        name, upstream = world.sent()
        again = sends(world.ended(name, upstream, O.ERROR))
        resent += len(again)
        if again:
            world.ended(name, again[0].upstream, O.OK, attempt=1)
    assert 10 <= resent <= 30


# --- rule 3: drains ----------------------------------------------------------------------------


@pytest.mark.parametrize("state", [api.Lifecycle.DRAINING, api.Lifecycle.GONE])
def test_nothing_new_to_a_leaving_upstream(state):
    world = World(rows(2), tier=1)
    world.list(api.Endpoint("u0", state=state))
    assert {world.sent()[1] for _ in range(5)} == {"u1"}


def test_absent_from_a_full_list_is_gone():
    world = World(rows(3), tier=1)
    world.list(api.Endpoint("u1"), kind=api.ListKind.FULL)
    assert {world.sent()[1] for _ in range(5)} == {"u1"}


def test_a_drain_told_while_its_probe_is_out():
    world = World(rows(2), probes=True)
    name, actions = world.call()
    asked = probes(actions)
    for upstream in asked:
        world.list(api.Endpoint(upstream, state=api.Lifecycle.DRAINING))
        assert not sends(world.tell(api.ProbeEnded(upstream, O.OK, 900, api.LoadReport(0, 0, 0))))
    world.list(api.Endpoint("late"))
    world.wait(100_000)
    assert {s.upstream for s in sends(world.log)} <= {"late"}


def test_a_gone_upstream_with_a_probe_out_frees_the_call():
    world = World(rows(2), probes=True)
    name, _ = world.call()
    world.list(api.Endpoint("new"), kind=api.ListKind.FULL)
    world.wait(100_000)
    assert [(s.request, s.upstream) for s in sends(world.log)] == [(name, "new")]


def test_the_list_is_asked_for_and_again_after_a_failure_well_within_the_limit():
    world = World(rows(1), list_on_request=True, list_max_age=1_000_000)
    assert any(isinstance(a, api.WatchList) for a in world.wait(100_000))
    for _ in range(12):  # an overrun list service
        world.tell(api.UpstreamList(api.ListKind.BROKEN))
        assert any(isinstance(a, api.WatchList) for a in world.wait(1_000_000))


def test_copies_ask_at_different_times():
    delays = set()
    for seed in range(20):
        world = World(rows(1), seed=seed, list_on_request=True)
        delays.add(world.timers[0][0])
    assert len(delays) > 15


# --- rule 5: connections to leaving upstreams are closed ------------------------------------------

LEAVING = [api.Lifecycle.DRAINING, api.Lifecycle.GONE]


@pytest.mark.parametrize("state", LEAVING)
def test_idle_connections_close_on_the_notice(state):
    world = World(rows(2), release_within=1_000_000)
    assert releases(world.list(api.Endpoint("u0", state=state))) == ["u0"]


def test_idle_connections_close_when_a_full_list_lacks_the_upstream():
    world = World(rows(2), release_within=1_000_000)
    assert releases(world.list(api.Endpoint("u1"), kind=api.ListKind.FULL)) == ["u0"]


@pytest.mark.parametrize("outcome", [O.OK, *MAY_HAVE_RUN, *NEVER_RAN])
@pytest.mark.parametrize("state", LEAVING)
def test_connections_close_after_an_outcome_that_comes_later_than_the_notice(state, outcome):
    world = World(rows(2), release_within=1_000_000)
    name, upstream = world.sent("buy")
    world.list(api.Endpoint(upstream, state=state))
    assert releases(world.ended(name, upstream, outcome)) == [upstream]


def test_connections_close_after_a_late_outcome_of_an_ended_call():
    world = World(rows(2), release_within=1_000_000)
    name, upstream = world.sent()
    world.tell(api.ClientGone(name))
    world.list(api.Endpoint(upstream, state=api.Lifecycle.DRAINING))
    world.list(api.Endpoint(upstream, state=api.Lifecycle.GONE))
    assert releases(world.ended(name, upstream, O.TIMEOUT, closed=True)) == [upstream]


@pytest.mark.parametrize("state", LEAVING)
def test_connections_close_after_a_probe_that_was_out(state):
    world = World(rows(3), probes=True, release_within=1_000_000)
    _, actions = world.call()
    asked = probes(actions)[0]
    world.list(api.Endpoint(asked, state=state))
    assert releases(world.tell(api.ProbeEnded(asked, O.OK, 900, api.LoadReport(0, 0, 0)))) == [asked]


def test_connections_stay_where_the_rule_is_not_set_and_to_those_that_serve():
    world = World(rows(2))
    assert not releases(world.list(api.Endpoint("u0", state=api.Lifecycle.DRAINING)))
    world = World(rows(2), release_within=1_000_000)
    name, upstream = world.sent()
    assert not releases(world.ended(name, upstream, O.OK))


# --- rule 4: cold upstreams ----------------------------------------------------------------------


def test_many_copies_together_send_a_cold_upstream_little():
    """100 copies, 20 upstreams, one restarts: its part must follow its warmth, from the first second on."""
    copies = [World(rows(20), seed=s, cold_time=20_000_000, cold_share=0.1) for s in range(100)]
    for world in copies:
        for _ in range(40):  # warm: 2 calls a second
            name, upstream = world.sent()
            world.now += 500_000
            world.ended(name, upstream, O.OK)
    start = max(w.now for w in copies)
    per_second = [0] * 20
    for world in copies:
        world.now = start
        world.list(api.Endpoint("u7", started_at=start))
        for step in range(40):
            name, upstream = world.sent()
            per_second[step // 2] += upstream == "u7"
            world.wait(500_000)
            world.ended(name, upstream, O.OK)
    warm = 100 * 2 / 20  # what a warm upstream gets each second
    for second, count in enumerate(per_second):
        share = 0.1 + 0.9 * second / 20
        assert count <= 3 * share * warm + 3, per_second
    assert sum(per_second) > 20


def test_a_copy_that_just_started_sends_a_cold_upstream_nothing_at_first():
    for seed in range(50):
        world = World(
            (*rows(9), api.Endpoint("cold", started_at=100_000_000)), seed=seed, cold_time=20_000_000
        )
        assert "cold" not in [world.sent()[1] for _ in range(9)]


# --- overload: refusing early at the first tier ------------------------------------------------

DEAR = api.RequestClass("dear", 500_000, 1_000_000, api.Idempotency.REPEATABLE, value=10.0)
CHEAP = api.RequestClass("cheap", 500_000, 1_000_000, api.Idempotency.REPEATABLE, value=0.0)


def admitted(world: World, cls: str, count: int, **fields: object) -> int:
    return sum(bool(sends(world.call(cls, **fields)[1])) for _ in range(count))


def test_the_tiers_behind_do_not_refuse():
    world = World(rows(2), tier=1, classes=(CHEAP, DEAR))
    assert admitted(world, "cheap", 50) == 50


def test_the_tiers_behind_end_what_has_no_time_left_for_a_usual_answer_but_not_for_ever():
    """Calls that had waited too long in front held slots of every tier behind until their deadline."""
    world = World(rows(2), tier=1, classes=(DEAR,))
    for _ in range(20):
        name, upstream = world.sent("dear")
        world.now += 100_000
        world.ended(name, upstream, O.OK)
    assert endings(world.call("dear", left=40_000)[1]) == [api.Refuse("r21", 0)]
    assert sends(world.call("dear", left=70_000)[1])
    assert any(sends(world.call("dear", left=40_000)[1]) for _ in range(100))


def test_a_repeat_is_held_to_what_remains_of_the_aim():
    """A client's last try has all its time left; one with more left than that began with it."""
    world = World(rows(5), classes=(DEAR,), marks_retry=True)
    assert sends(world.call("dear", left=600_000)[1])[0].until == world.now + 500_000 - 5_000
    _, actions = world.call("dear", left=800_000, is_retry=True)  # 200 ms of the client's second are gone
    assert sends(actions)[0].until == world.now + 300_000 - 5_000
    assert endings(world.call("dear", left=300_000, is_retry=True)[1])


def test_hinted_work_that_cannot_be_done_in_time_is_refused_at_once():
    world = World(rows(2), classes=(ONCE,))
    for _ in range(400):
        name, upstream = world.sent("buy", work_hint=100_000)
        world.balancer.requests[name].attempts[0].load_when_sent = 0.0
        world.now += 100_000
        world.ended(name, upstream, O.OK)
    assert isinstance(endings(world.call("buy", work_hint=2_000_000)[1])[0], api.Refuse)
    assert sends(world.call("buy", work_hint=100_000)[1])


def test_patient_first_tries_are_served_right_after_impatient_clients():
    """An account's clients gave up early for a while; then all calls with a usual deadline looked like last
    tries with their aim spent, and were refused for minutes."""
    world = World(rows(5), classes=(DEAR,), marks_retry=True)
    for _ in range(200):
        name, actions = world.call("dear", left=150_000)
        for send in sends(actions):
            world.ended(name, send.upstream, O.OK)
    assert sends(world.call("dear", left=500_000)[1])
    assert endings(world.call("dear", left=500_000, is_retry=True)[1])  # a last try: its aim has passed


def test_cheap_work_is_refused_first_when_answers_take_most_of_the_aim_and_told_to_stay_away():
    world = World(rows(2), classes=(DEAR, CHEAP), max_retry_after=700_000)
    for _ in range(400):
        name, upstream = world.sent("dear")
        world.balancer.requests[name].attempts[0].load_when_sent = 0.0
        world.now += 350_000
        world.ended(name, upstream, O.OK)
    assert admitted(world, "dear", 1) == 1
    assert endings(world.call("cheap")[1])[0].retry_after == 700_000


def test_traffic_beyond_a_tenants_share_counts_as_cheap():
    tenants = (api.Tenant("a", 0.5, 1.0), api.Tenant("b", 0.5, 1000.0))
    world = World(rows(10), classes=(DEAR,), tenants=tenants, over_quota_value=0.0)
    worths = [world.balancer.requests[world.sent("dear", tenant="a")[0]].value for _ in range(8)]
    assert worths[0] == 10.0
    assert worths[-1] == 0.0
    assert world.balancer.requests[world.sent("dear", tenant="b")[0]].value == 10.0


def test_a_late_answer_that_still_earns_is_waited_for():
    late = api.RequestClass("late", 200_000, 1_000_000, api.Idempotency.REPEATABLE, late_value=0.5)
    _, actions = World(rows(5), classes=(late,)).call("late")
    assert sends(actions)[0].until > 100_000_000 + 900_000


def test_where_repeats_are_not_marked_an_unusual_deadline_tells_a_last_try():
    world = World(rows(5), classes=(DEAR,))
    for _ in range(20):
        world.ended(*world.sent("dear", left=600_000), O.OK)
    _, actions = world.call("dear", left=800_000)  # 200 ms of the client's second are gone
    assert sends(actions)[0].until == world.now + 300_000 - 5_000
    assert endings(world.call("dear", left=300_000)[1])
    for _ in range(15):  # clients change their patience for good: soon that is usual
        world.call("dear", left=300_000)
    assert sends(world.call("dear", left=300_000)[1])
