"""The four rules, each against the events that could break it."""

import pytest
from balancer_harness import BUY, BalancerHarness, endings, endpoints, keyed, probes, releases, sends

from brackengate import interface as api

O = api.Outcome  # noqa: E741
NEVER_RAN = [O.REJECTED, O.CONNECT_FAILED, O.NOT_SENT]
MAY_HAVE_RUN = [O.ERROR, O.TIMEOUT, O.RESET, O.CANCELLED]


# --- rule 1: each request ends once, in time, with nothing after that -----------------------------


def test_without_upstreams_a_request_ends_once_and_in_time():
    harness = BalancerHarness(())
    name, _ = harness.start_request(time_left=300_000)
    harness.advance(300_000)
    assert [a.request for a in endings(harness.log)] == [name]
    assert not harness.balancer.requests


def test_all_upstreams_are_removed_while_a_request_waits():
    harness = BalancerHarness(endpoints(1, state=api.Lifecycle.DRAINING))
    name, _ = harness.start_request()
    harness.update_list(api.Endpoint("u0", state=api.Lifecycle.GONE))
    harness.advance(1_000_000)
    assert [a.request for a in endings(harness.log)] == [name]


def test_a_new_upstream_takes_the_waiting_request():
    harness = BalancerHarness(())
    name, _ = harness.start_request()
    assert [s.request for s in sends(harness.update_list(api.Endpoint("new")))] == [name]


def test_a_timeout_at_the_end_is_answered_once():
    harness = BalancerHarness(endpoints(2))
    name, upstream = harness.send_request("buy")
    harness.now += 500_000
    assert endings(harness.end_attempt(name, upstream, O.TIMEOUT)) == [api.Fail(name)]
    assert harness.end_attempt(name, upstream, O.TIMEOUT) == []


def test_nothing_is_sent_after_the_client_disconnected():
    harness = BalancerHarness(endpoints(2))
    name, upstream = harness.send_request()
    assert harness.handle(api.ClientGone(name)) == [api.CancelAttempt(name, 0)]
    assert not sends(harness.end_attempt(name, upstream, O.CANCELLED, request_ended=True))
    assert harness.balancer.upstreams[upstream].own_in_flight == 0
    assert harness.handle(api.ClientGone(name)) == []


def test_an_unanswered_probe_does_not_delay_a_request_past_its_deadline():
    harness = BalancerHarness(endpoints(3), probes=True)
    name, actions = harness.start_request(time_left=200_000)
    assert probes(actions)
    assert [s.request for s in sends(harness.advance(100_000))] == [name]


def test_upstreams_that_do_not_answer_probes_are_not_chosen():
    """Guards against a partitioned zone: requests went to upstreams that had not answered their probes."""
    for seed in range(10):
        harness = BalancerHarness(endpoints(6), probes=True, seed=seed)
        name, actions = harness.start_request()
        unanswered = probes(actions)
        for upstream in probes(harness.advance(20_000)):
            harness.handle(api.ProbeEnded(upstream, O.OK, 900, api.LoadReport(0, 0, 0)))
        harness.advance(20_000)
        sent = sends(harness.log)
        assert [s.request for s in sent] == [name]
        assert sent[0].upstream not in unanswered


def test_rechecks_of_a_waiting_request_do_not_multiply():
    """Guards against a recheck that sets two timers, each of which sets two again."""
    for probing in (False, True):
        harness = BalancerHarness(
            endpoints(2), probes=probing, classes=(api.RequestClass("read", 10_000_000, 10_000_000),)
        )
        harness.update_list(*(api.Endpoint(f"u{i}", state=api.Lifecycle.DRAINING) for i in range(2)))
        harness.start_request(time_left=10_000_000)
        harness.advance(9_000_000)
        assert len(harness.timers) <= 2


def test_a_request_that_arrives_without_time_left_ends_at_once():
    harness = BalancerHarness(endpoints(1))
    _, actions = harness.start_request(time_left=500)
    assert len(endings(actions)) == 1


# --- rule 2: no effect twice ----------------------------------------------------------------------


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_neither_retried_nor_refused(outcome):
    harness = BalancerHarness(endpoints(4))
    name, upstream = harness.send_request("buy")
    actions = harness.end_attempt(name, upstream, outcome)
    assert not sends(actions)
    assert endings(actions) == [api.Fail(name)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_is_retried_elsewhere(outcome):
    harness = BalancerHarness(endpoints(4))
    name, upstream = harness.send_request("buy")
    retried = sends(harness.end_attempt(name, upstream, outcome))
    assert len(retried) == 1
    assert retried[0].upstream != upstream


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN + NEVER_RAN)
def test_a_repeatable_request_is_retried_after_any_outcome(outcome):
    harness = BalancerHarness(endpoints(4))
    name, upstream = harness.send_request()
    assert len(sends(harness.end_attempt(name, upstream, outcome))) == 1


ENDPOINTS_WITH_ZONES_AND_CELLS = (
    api.Endpoint("a", zone="z1", cell=1),
    api.Endpoint("b", zone="z1", cell=2),
    api.Endpoint("c", zone="z1", cell=1),
    api.Endpoint("d", zone="z2", cell=1),
)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
@pytest.mark.parametrize("scope", list(api.KeyScope))
def test_a_keyed_request_stays_in_its_zone_or_cell(scope, outcome):
    by_name = {e.upstream: e for e in ENDPOINTS_WITH_ZONES_AND_CELLS}
    for seed in range(6):
        harness = BalancerHarness(ENDPOINTS_WITH_ZONES_AND_CELLS, seed=seed, classes=(keyed(scope),))
        name, first = harness.send_request("bid")
        for send in sends(harness.end_attempt(name, first, outcome)):
            one, other = by_name[first], by_name[send.upstream]
            assert scope is not api.KeyScope.ZONE or one.zone == other.zone
            assert scope is not api.KeyScope.CELL or one.cell == other.cell


def test_a_keyed_request_without_upstreams_left_in_its_cell_fails():
    harness = BalancerHarness((api.Endpoint("a", cell=1),), classes=(keyed(api.KeyScope.CELL),))
    name, first = harness.send_request("bid")
    harness.update_list(api.Endpoint("a", state=api.Lifecycle.DRAINING), api.Endpoint("b", cell=2))
    actions = harness.end_attempt(name, first, O.ERROR) + harness.advance(500_000)
    assert not sends(actions)
    assert endings(actions) == [api.Fail(name)]


def test_upstreams_of_unknown_cells_are_in_no_common_cell():
    harness = BalancerHarness(endpoints(3, cell=-1), classes=(keyed(api.KeyScope.CELL),))
    name, first = harness.send_request("bid")
    assert not sends(harness.end_attempt(name, first, O.ERROR))


@pytest.mark.parametrize(("elapsed", "retries"), [(90_000, 1), (100_000, 0)])
def test_a_keyed_request_is_not_retried_after_its_key_memory(elapsed, retries):
    harness = BalancerHarness(endpoints(3), classes=(keyed(api.KeyScope.ALL, key_memory=100_000),))
    name, first = harness.send_request("bid")
    harness.now += elapsed
    assert len(sends(harness.end_attempt(name, first, O.ERROR))) == retries


def test_the_number_of_attempts_is_limited():
    harness = BalancerHarness(endpoints(9), max_attempts=3)
    name, upstream = harness.send_request()
    for attempt in range(2):
        upstream = sends(harness.end_attempt(name, upstream, O.ERROR, attempt=attempt))[0].upstream
    assert len(endings(harness.end_attempt(name, upstream, O.ERROR, attempt=2))) == 1


def test_retries_are_limited_by_a_budget():
    harness = BalancerHarness(endpoints(9))
    retries = 0
    for _ in range(100):
        name, upstream = harness.send_request()
        retried = sends(harness.end_attempt(name, upstream, O.ERROR))
        retries += len(retried)
        if retried:
            harness.end_attempt(name, retried[0].upstream, O.OK, attempt=1)
    assert 10 <= retries <= 30


# --- rule 3: drains -------------------------------------------------------------------------------


@pytest.mark.parametrize("state", [api.Lifecycle.DRAINING, api.Lifecycle.GONE])
def test_a_leaving_upstream_receives_no_new_requests(state):
    harness = BalancerHarness(endpoints(2), tier=1)
    harness.update_list(api.Endpoint("u0", state=state))
    assert {harness.send_request()[1] for _ in range(5)} == {"u1"}


def test_an_upstream_absent_from_a_full_list_is_removed():
    harness = BalancerHarness(endpoints(3), tier=1)
    harness.update_list(api.Endpoint("u1"), kind=api.ListKind.FULL)
    assert {harness.send_request()[1] for _ in range(5)} == {"u1"}


def test_an_upstream_drains_while_its_probe_is_pending():
    harness = BalancerHarness(endpoints(2), probes=True)
    name, actions = harness.start_request()
    probed = probes(actions)
    for upstream in probed:
        harness.update_list(api.Endpoint(upstream, state=api.Lifecycle.DRAINING))
        assert not sends(harness.handle(api.ProbeEnded(upstream, O.OK, 900, api.LoadReport(0, 0, 0))))
    harness.update_list(api.Endpoint("late"))
    harness.advance(100_000)
    assert {s.upstream for s in sends(harness.log)} <= {"late"}


def test_a_removed_upstream_with_a_pending_probe_does_not_block_the_request():
    harness = BalancerHarness(endpoints(2), probes=True)
    name, _ = harness.start_request()
    harness.update_list(api.Endpoint("new"), kind=api.ListKind.FULL)
    harness.advance(100_000)
    assert [(s.request, s.upstream) for s in sends(harness.log)] == [(name, "new")]


def test_the_list_is_watched_and_watched_again_after_a_failure_within_its_maximum_age():
    harness = BalancerHarness(endpoints(1), list_on_request=True, list_max_age=1_000_000)
    assert any(isinstance(a, api.WatchList) for a in harness.advance(100_000))
    for _ in range(12):  # an overloaded discovery service
        harness.handle(api.UpstreamList(api.ListKind.BROKEN))
        assert any(isinstance(a, api.WatchList) for a in harness.advance(1_000_000))


def test_instances_fetch_the_list_at_different_times():
    delays = set()
    for seed in range(20):
        harness = BalancerHarness(endpoints(1), seed=seed, list_on_request=True)
        delays.add(harness.timers[0][0])
    assert len(delays) > 15


# --- rule 5: connections to leaving upstreams are closed ------------------------------------------

LEAVING = [api.Lifecycle.DRAINING, api.Lifecycle.GONE]


@pytest.mark.parametrize("state", LEAVING)
def test_idle_connections_close_on_the_notice(state):
    harness = BalancerHarness(endpoints(2), release_within=1_000_000)
    assert releases(harness.update_list(api.Endpoint("u0", state=state))) == ["u0"]


def test_idle_connections_close_when_a_full_list_lacks_the_upstream():
    harness = BalancerHarness(endpoints(2), release_within=1_000_000)
    assert releases(harness.update_list(api.Endpoint("u1"), kind=api.ListKind.FULL)) == ["u0"]


@pytest.mark.parametrize("outcome", [O.OK, *MAY_HAVE_RUN, *NEVER_RAN])
@pytest.mark.parametrize("state", LEAVING)
def test_connections_close_after_an_outcome_that_comes_later_than_the_notice(state, outcome):
    harness = BalancerHarness(endpoints(2), release_within=1_000_000)
    name, upstream = harness.send_request("buy")
    harness.update_list(api.Endpoint(upstream, state=state))
    assert releases(harness.end_attempt(name, upstream, outcome)) == [upstream]


def test_connections_close_after_a_late_outcome_of_an_ended_request():
    harness = BalancerHarness(endpoints(2), release_within=1_000_000)
    name, upstream = harness.send_request()
    harness.handle(api.ClientGone(name))
    harness.update_list(api.Endpoint(upstream, state=api.Lifecycle.DRAINING))
    harness.update_list(api.Endpoint(upstream, state=api.Lifecycle.GONE))
    assert releases(harness.end_attempt(name, upstream, O.TIMEOUT, request_ended=True)) == [upstream]


@pytest.mark.parametrize("state", LEAVING)
def test_connections_close_after_a_pending_probe_ends(state):
    harness = BalancerHarness(endpoints(3), probes=True, release_within=1_000_000)
    _, actions = harness.start_request()
    probed = probes(actions)[0]
    harness.update_list(api.Endpoint(probed, state=state))
    assert releases(harness.handle(api.ProbeEnded(probed, O.OK, 900, api.LoadReport(0, 0, 0)))) == [probed]


def test_connections_stay_open_without_the_rule_and_to_serving_upstreams():
    harness = BalancerHarness(endpoints(2))
    assert not releases(harness.update_list(api.Endpoint("u0", state=api.Lifecycle.DRAINING)))
    harness = BalancerHarness(endpoints(2), release_within=1_000_000)
    name, upstream = harness.send_request()
    assert not releases(harness.end_attempt(name, upstream, O.OK))


# --- rule 4: cold upstreams -----------------------------------------------------------------------


def test_many_instances_together_send_a_cold_upstream_little():
    """100 instances, 20 upstreams, one restarts: its share follows its warmth from the first second on."""
    instances = [
        BalancerHarness(endpoints(20), seed=s, cold_time=20_000_000, cold_share=0.1) for s in range(100)
    ]
    for harness in instances:
        for _ in range(40):  # warm: 2 requests a second
            name, upstream = harness.send_request()
            harness.now += 500_000
            harness.end_attempt(name, upstream, O.OK)
    start = max(w.now for w in instances)
    per_second = [0] * 20
    for harness in instances:
        harness.now = start
        harness.update_list(api.Endpoint("u7", started_at=start))
        for step in range(40):
            name, upstream = harness.send_request()
            per_second[step // 2] += upstream == "u7"
            harness.advance(500_000)
            harness.end_attempt(name, upstream, O.OK)
    warm = 100 * 2 / 20  # what a warm upstream gets each second
    for second, count in enumerate(per_second):
        share = 0.1 + 0.9 * second / 20
        assert count <= 3 * share * warm + 3, per_second
    assert sum(per_second) > 20


def test_an_instance_that_just_started_sends_a_cold_upstream_nothing_at_first():
    for seed in range(50):
        harness = BalancerHarness(
            (*endpoints(9), api.Endpoint("cold", started_at=100_000_000)), seed=seed, cold_time=20_000_000
        )
        assert "cold" not in [harness.send_request()[1] for _ in range(9)]


# --- overload: early refusals at the first tier ---------------------------------------------------

HIGH_VALUE = api.RequestClass("high", 500_000, 1_000_000, api.Idempotency.REPEATABLE, value=10.0)
ZERO_VALUE = api.RequestClass("zero", 500_000, 1_000_000, api.Idempotency.REPEATABLE, value=0.0)


def admitted(harness: BalancerHarness, cls: str, count: int, **fields: object) -> int:
    return sum(bool(sends(harness.start_request(cls, **fields)[1])) for _ in range(count))


def test_inner_tiers_do_not_refuse():
    harness = BalancerHarness(endpoints(2), tier=1, classes=(ZERO_VALUE, HIGH_VALUE))
    assert admitted(harness, "zero", 50) == 50


def test_inner_tiers_end_requests_without_time_for_an_answer_but_not_for_ever():
    """Guards against requests that waited too long at the first tier, then held slots of inner ones."""
    harness = BalancerHarness(endpoints(2), tier=1, classes=(HIGH_VALUE,))
    for _ in range(20):
        name, upstream = harness.send_request("high")
        harness.now += 100_000
        harness.end_attempt(name, upstream, O.OK)
    assert endings(harness.start_request("high", time_left=40_000)[1]) == [api.Refuse("r21", 0)]
    assert sends(harness.start_request("high", time_left=70_000)[1])
    assert any(sends(harness.start_request("high", time_left=40_000)[1]) for _ in range(100))


def test_a_retry_is_limited_to_the_rest_of_the_target_latency():
    """A client's last retry may use all the time left; an attempt with more than that left is a first one."""
    harness = BalancerHarness(endpoints(5), classes=(HIGH_VALUE,), marks_retry=True)
    assert (
        sends(harness.start_request("high", time_left=600_000)[1])[0].until == harness.now + 500_000 - 5_000
    )
    _, actions = harness.start_request(
        "high", time_left=800_000, is_retry=True
    )  # 200 of its 1000 ms have passed
    assert sends(actions)[0].until == harness.now + 300_000 - 5_000
    assert endings(harness.start_request("high", time_left=300_000, is_retry=True)[1])


def test_a_work_hint_too_long_for_the_time_left_is_refused_at_once():
    harness = BalancerHarness(endpoints(2), classes=(BUY,))
    for _ in range(400):
        name, upstream = harness.send_request("buy", work_hint=100_000)
        harness.balancer.requests[name].attempts[0].load_when_sent = 0.0
        harness.now += 100_000
        harness.end_attempt(name, upstream, O.OK)
    assert isinstance(endings(harness.start_request("buy", work_hint=2_000_000)[1])[0], api.Refuse)
    assert sends(harness.start_request("buy", work_hint=100_000)[1])


def test_first_attempts_with_usual_deadlines_are_served_after_short_deadlines():
    """Guards against a change of deadlines: after a while of short ones, requests with the usual deadline
    looked like last retries without time left and were refused for minutes."""
    harness = BalancerHarness(endpoints(5), classes=(HIGH_VALUE,), marks_retry=True)
    for _ in range(200):
        name, actions = harness.start_request("high", time_left=150_000)
        for send in sends(actions):
            harness.end_attempt(name, send.upstream, O.OK)
    assert sends(harness.start_request("high", time_left=500_000)[1])
    assert endings(
        harness.start_request("high", time_left=500_000, is_retry=True)[1]
    )  # a last retry, past its target


def test_requests_of_no_value_are_refused_first_under_overload_with_a_retry_after():
    harness = BalancerHarness(endpoints(2), classes=(HIGH_VALUE, ZERO_VALUE), max_retry_after=700_000)
    for _ in range(400):
        name, upstream = harness.send_request("high")
        harness.balancer.requests[name].attempts[0].load_when_sent = 0.0
        harness.now += 350_000
        harness.end_attempt(name, upstream, O.OK)
    assert admitted(harness, "high", 1) == 1
    assert endings(harness.start_request("zero")[1])[0].retry_after == 700_000


def test_requests_beyond_a_tenants_quota_have_a_lower_value():
    tenants = (api.Tenant("a", 0.5, 1.0), api.Tenant("b", 0.5, 1000.0))
    harness = BalancerHarness(endpoints(10), classes=(HIGH_VALUE,), tenants=tenants, over_quota_value=0.0)
    values = [harness.balancer.requests[harness.send_request("high", tenant="a")[0]].value for _ in range(8)]
    assert values[0] == 10.0
    assert values[-1] == 0.0
    assert harness.balancer.requests[harness.send_request("high", tenant="b")[0]].value == 10.0


def test_a_late_answer_that_has_value_is_waited_for():
    late = api.RequestClass("late", 200_000, 1_000_000, api.Idempotency.REPEATABLE, late_value=0.5)
    _, actions = BalancerHarness(endpoints(5), classes=(late,)).start_request("late")
    assert sends(actions)[0].until > 100_000_000 + 900_000


def test_without_marked_retries_an_unusual_deadline_is_taken_for_a_last_retry():
    harness = BalancerHarness(endpoints(5), classes=(HIGH_VALUE,))
    for _ in range(20):
        harness.end_attempt(*harness.send_request("high", time_left=600_000), O.OK)
    _, actions = harness.start_request("high", time_left=800_000)  # 200 of its 1000 ms have passed
    assert sends(actions)[0].until == harness.now + 300_000 - 5_000
    assert endings(harness.start_request("high", time_left=300_000)[1])
    for _ in range(15):  # clients change their deadline for good: soon that is typical
        harness.start_request("high", time_left=300_000)
    assert sends(harness.start_request("high", time_left=300_000)[1])
