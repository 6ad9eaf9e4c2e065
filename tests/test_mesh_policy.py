"""Settings that the mesh uses: requests that do not wait, free unsent attempts, changed classes."""

import random

import pytest
from balancer_harness import BUY, READ, BalancerHarness, endings, endpoints, keyed, probes, sends
from test_random import RuleCheckingHost

from brackengate import interface as api

OK, CONNECT_FAILED, NOT_SENT = api.Outcome.OK, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT
RESET = api.Outcome.RESET
DRAINING = api.Lifecycle.DRAINING


def refused(name: str) -> list[api.Action]:
    return [api.Refuse(name, 0)]


def eject(harness: BalancerHarness, *which: str) -> None:
    """Let these fail until they are ejected; requests to other upstreams are answered."""
    answered, ups = [], harness.balancer.upstreams
    while any(harness.now >= ups[one].ejected_until for one in which):
        name, upstream = harness.send_request()
        if upstream in which:
            harness.end_attempt(name, upstream, CONNECT_FAILED, request_ended=True)
        else:
            answered.append((name, upstream))
    for name, upstream in answered:
        harness.end_attempt(name, upstream, OK)


# --- wait_for_upstream: False ---------------------------------------------------------------------


def test_by_default_a_request_waits_while_all_upstreams_are_ejected():
    harness = BalancerHarness(endpoints(2))
    eject(harness, "u0", "u1")
    name, actions = harness.start_request()
    assert not sends(actions) and not endings(actions)
    assert list(harness.balancer.waiting) == [name]


def test_requests_that_do_not_wait_go_to_the_least_bad_while_all_are_ejected():
    """Fewest own requests first, then fewest failures, then the earliest assignment."""
    harness = BalancerHarness(endpoints(4), wait_for_upstream=False)
    _, busy = harness.send_request()
    eject(harness, "u0", "u1", "u2", "u3")
    name, worst = harness.send_request()
    harness.end_attempt(name, worst, CONNECT_FAILED, request_ended=True)  # its third in a row
    for _ in range(2):  # the others are assigned later and have failed less often
        harness.end_attempt(*harness.send_request(), api.Outcome.ERROR, request_ended=True)
    last = {send.upstream: number for number, send in enumerate(sends(harness.log))}
    others = sorted({"u0", "u1", "u2", "u3"} - {busy, worst}, key=lambda name: last[name])
    assert [harness.send_request()[1] for _ in range(4)] == [*others, worst, busy]
    assert not harness.balancer.waiting


def test_a_request_that_does_not_wait_is_retried_on_the_only_upstream():
    harness = BalancerHarness(endpoints(1), wait_for_upstream=False)
    name, failing = harness.send_request()
    for attempt in range(3):
        assert [
            s.upstream for s in sends(harness.end_attempt(name, failing, CONNECT_FAILED, attempt=attempt))
        ] == [failing]
    assert endings(harness.end_attempt(name, failing, CONNECT_FAILED, attempt=3)) == refused(
        name
    )  # 4 at most
    assert not harness.balancer.waiting and not harness.balancer.requests


def test_requests_that_do_not_wait_go_to_a_cold_upstream_only_where_all_are_cold():
    cold = [api.Endpoint(f"u{i}", started_at=100_000_000) for i in range(2)]
    for waits in (True, False):
        harness = BalancerHarness(tuple(cold), wait_for_upstream=waits, cold_time=20_000_000)
        assert bool(sends(harness.start_request()[1])) is not waits
    harness = BalancerHarness((*cold, api.Endpoint("warm")), wait_for_upstream=False, cold_time=20_000_000)
    assert {harness.send_request()[1] for _ in range(6)} == {"warm"}


def test_an_ejection_still_directs_requests_to_the_healthy_upstreams():
    harness = BalancerHarness(endpoints(3), wait_for_upstream=False)
    eject(harness, "u1")
    assert {harness.send_request()[1] for _ in range(20)} == {"u0", "u2"}


@pytest.mark.parametrize("listed", [(), endpoints(2, state=DRAINING)])
def test_without_a_serving_upstream_a_request_that_does_not_wait_ends_at_once(listed):
    harness = BalancerHarness(listed, wait_for_upstream=False)
    name, actions = harness.start_request()
    assert actions == refused(name)
    name, actions = harness.start_request("buy")
    assert actions == refused(name)  # nothing of it ran
    assert not harness.balancer.requests and not harness.balancer.waiting


def test_the_last_upstream_drains_while_a_request_is_in_flight():
    harness = BalancerHarness(endpoints(1), wait_for_upstream=False)
    name, upstream = harness.send_request()
    harness.update_list(api.Endpoint(upstream, state=DRAINING))
    assert endings(harness.end_attempt(name, upstream, CONNECT_FAILED)) == refused(name)


def test_a_request_that_does_not_wait_and_may_have_run_goes_only_where_its_repeat_is_discarded():
    harness = BalancerHarness(
        (api.Endpoint("a", zone="z1"), api.Endpoint("b", zone="z2")),
        classes=(keyed(api.KeyScope.ZONE),),
        wait_for_upstream=False,
    )
    name, first = harness.send_request("bid")
    retried = sends(harness.end_attempt(name, first, api.Outcome.RESET))
    assert [s.upstream for s in retried] == [first]
    retried = sends(
        harness.end_attempt(name, first, api.Outcome.RESET, attempt=1)
    )  # ejected, but the only one allowed
    assert [s.upstream for s in retried] == [first]
    harness.update_list(api.Endpoint(first, zone="z1" if first == "a" else "z2", state=DRAINING))
    assert endings(harness.end_attempt(name, first, api.Outcome.RESET, attempt=2)) == [api.Fail(name)]


def test_a_request_that_does_not_wait_still_probes_and_is_sent_if_all_are_ejected_by_then():
    harness = BalancerHarness(endpoints(2), probes=True, wait_for_upstream=False)
    for failures in (1, 2):
        name, actions = harness.start_request()
        probed = probes(actions)
        assert sorted(probed) == ["u0", "u1"] and not sends(actions)
        for upstream in probed:
            actions = harness.handle(api.ProbeEnded(upstream, CONNECT_FAILED))
        assert [up.consecutive_failures for up in harness.balancer.upstreams.values()] == [
            failures,
            failures,
        ]  # two eject it
        assert [s.request for s in sends(actions)] == [name]
        assert not harness.balancer.waiting
        harness.end_attempt(name, sends(actions)[0].upstream, api.Outcome.ERROR, request_ended=True)
        harness.advance(6_000_000)


@pytest.mark.parametrize("probing", [False, True])
@pytest.mark.parametrize("seed", range(4))
def test_for_random_events_a_request_that_does_not_wait_waits_for_probes_only(seed, probing):
    host = RuleCheckingHost(seed, wait_for_upstream=False, probes=probing, tier=1)
    for number in range(400):
        host.step(number)
        assert all(
            request.probed and request.probes_pending for request in host.harness.balancer.waiting.values()
        )
    assert probing or not host.harness.balancer.waiting


# --- unsent_attempts_free: True -------------------------------------------------------------------


def attempted_unsent(harness: BalancerHarness, cls: str = "read") -> list[str]:
    """Start a request whose every attempt ends unsent; the upstreams of its attempts."""
    name, upstream = harness.send_request(cls)
    attempted = [upstream]
    while retried := sends(harness.end_attempt(name, upstream, NOT_SENT, attempt=len(attempted) - 1)):
        upstream = retried[0].upstream
        attempted.append(upstream)
        assert len(attempted) < 20
    assert [a.request for a in endings(harness.log)][-1] == name
    return attempted


def test_by_default_unsent_attempts_count_and_spend_retries():
    harness = BalancerHarness(endpoints(12))
    assert len(attempted_unsent(harness)) == 4
    assert harness.balancer.retry_tokens == 5.0 - 3


def test_free_unsent_attempts_use_up_nothing_up_to_eight():
    for max_attempts in (1, 3, 12):
        harness = BalancerHarness(endpoints(12), unsent_attempts_free=True, max_attempts=max_attempts)
        attempted = attempted_unsent(harness, "buy")
        assert len(attempted) == len(set(attempted)) == 8
        assert harness.balancer.retry_tokens == 5.0


def test_free_unsent_attempts_need_no_retry_tokens_and_others_still_do():
    harness = BalancerHarness(endpoints(12), unsent_attempts_free=True, max_attempts=3)
    name, upstream = harness.send_request()
    for attempt, outcome in enumerate([NOT_SENT, RESET, CONNECT_FAILED, RESET]):
        upstream = sends(harness.end_attempt(name, upstream, outcome, attempt=attempt))[0].upstream
    assert harness.balancer.retry_tokens == 3.0
    assert endings(harness.end_attempt(name, upstream, RESET, attempt=4)) == refused(name)
    harness.balancer.retry_tokens = 0.0
    name, upstream = harness.send_request()
    upstream = sends(harness.end_attempt(name, upstream, CONNECT_FAILED))[0].upstream
    assert endings(harness.end_attempt(name, upstream, RESET, attempt=1)) == refused(name)
    assert 0 <= harness.balancer.retry_tokens < 1


def test_a_request_reaches_the_live_upstream_after_several_dead_ones():
    """Without a connection nothing of it reached an upstream: not even its single attempt is used up."""
    once = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.UNSAFE, max_attempts=1)
    harness = BalancerHarness(
        endpoints(5),
        classes=(once,),
        unsent_attempts_free=True,
        fail_fast=True,
        wait_for_upstream=False,
        retry_start=0.0,
    )
    name, upstream = harness.send_request()
    attempted = [upstream]
    for attempt in range(4):
        (send,) = sends(harness.end_attempt(name, attempted[-1], CONNECT_FAILED, attempt=attempt))
        attempted.append(send.upstream)
    assert len(set(attempted)) == 5
    assert endings(harness.end_attempt(name, attempted[-1], CONNECT_FAILED, attempt=4)) == refused(
        name
    )  # all were tried


# --- UpstreamHealth, RetryBudget ------------------------------------------------------------------


def test_a_health_report_ejects_an_upstream_and_readmits_it():
    harness = BalancerHarness(endpoints(3), wait_for_upstream=False)
    harness.handle(api.UpstreamHealth("u1", False))
    assert {harness.send_request()[1] for _ in range(12)} == {"u0", "u2"}
    harness.handle(api.UpstreamHealth("u1", True))
    assert [harness.send_request()[1] for _ in range(3)] == ["u1"] * 3  # the fewest own requests by far
    harness.handle(api.UpstreamHealth("unknown", False))


def test_a_smaller_retry_budget_discards_tokens_above_it():
    harness = BalancerHarness(endpoints(12), unsent_attempts_free=True)
    harness.handle(api.RetryBudget(0.5, 2.0))
    assert harness.balancer.retry_tokens == 2.0
    harness.balancer.retry_tokens = 0.0
    for _ in range(6):
        harness.send_request()
    assert harness.balancer.retry_tokens == 2.0


def test_a_rejecting_upstream_is_not_tried_again_while_another_serves():
    harness = BalancerHarness(endpoints(3), unsent_attempts_free=True, wait_for_upstream=False)
    eject(harness, "u1", "u2")
    attempted = attempted_unsent(harness)
    assert attempted[0] == "u0" and set(attempted[1:3]) == {
        "u1",
        "u2",
    }  # ejected ones come first
    assert len(attempted) == 8 and "u0" in attempted[3:]  # all have rejected it: any may be tried again
    name, upstream = harness.send_request()
    assert upstream == "u0"  # rejections of another request do not count
    harness.update_list(*(api.Endpoint(f"u{i}", state=DRAINING) for i in (1, 2)))
    assert [s.upstream for s in sends(harness.end_attempt(name, upstream, NOT_SENT))] == ["u0"]


def test_a_waiting_request_waits_for_the_other_upstream_rather_than_go_back():
    harness = BalancerHarness(endpoints(2), unsent_attempts_free=True, connect_timeout=10_000)
    eject(harness, "u1")
    name, upstream = harness.send_request()
    assert upstream == "u0"
    assert not sends(harness.end_attempt(name, upstream, NOT_SENT))
    assert [s.upstream for s in sends(harness.advance(300_000))] == ["u1"]


def test_it_goes_back_where_only_that_upstream_discards_a_repeat():
    harness = BalancerHarness(
        (api.Endpoint("a", zone="z1"), api.Endpoint("b", zone="z2")),
        classes=(keyed(api.KeyScope.ZONE),),
        unsent_attempts_free=True,
    )
    name, first = harness.send_request("bid")
    assert sends(harness.end_attempt(name, first, api.Outcome.ERROR))[0].upstream == first
    assert sends(harness.end_attempt(name, first, NOT_SENT, attempt=1))[0].upstream == first


# --- Classes --------------------------------------------------------------------------------------


def test_a_new_table_of_classes_applies_to_later_requests():
    harness = BalancerHarness(endpoints(4))
    name, upstream = harness.send_request("buy")
    safe_now = api.RequestClass("buy", 300_000, 1_000_000, api.Idempotency.REPEATABLE)
    assert harness.handle(api.Classes((READ, safe_now))) == []
    assert endings(harness.end_attempt(name, upstream, api.Outcome.ERROR)) == [
        api.Fail(name)
    ]  # as on arrival
    name, actions = harness.start_request("buy")
    assert sends(actions)[0].until == harness.now + 300_000 - 3_000
    assert sends(harness.end_attempt(name, sends(actions)[0].upstream, api.Outcome.ERROR))


def test_random_changes_of_classes_have_the_result_of_a_whole_new_table():
    rng, table = random.Random(1), {one.name: one for one in (READ, BUY)}
    incremental, replaced = BalancerHarness(endpoints(1)), BalancerHarness(endpoints(1))
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
        incremental.handle(api.ClassesChanged(tuple(changed), tuple(gone)))
        replaced.handle(api.Classes(tuple(table.values())))
        one, other = incremental.balancer, replaced.balancer
        assert one.classes == other.classes
        assert (one.recheck_interval, one.max_value, one.report_max_age) == (
            other.recheck_interval,
            other.max_value,
            other.report_max_age,
        )


def test_a_class_missing_from_the_new_table_is_handled_as_unsafe():
    harness = BalancerHarness(endpoints(4))
    harness.handle(api.Classes((BUY,)))
    name, upstream = harness.send_request("read")
    assert endings(harness.end_attempt(name, upstream, api.Outcome.ERROR)) == [api.Fail(name)]


def test_values_derived_from_the_classes_are_updated():
    high_value = api.RequestClass("high_value", 2_000_000, 4_000_000, value=8.0)
    for probing, lasts in ((False, 30_000_000), (True, 2_000_000)):
        harness = BalancerHarness(endpoints(2), probes=probing)
        assert (harness.balancer.max_value, harness.balancer.recheck_interval) == (1.0, 10_000)
        harness.handle(api.Classes((high_value,)))
        assert (harness.balancer.max_value, harness.balancer.recheck_interval) == (8.0, 40_000)
        assert harness.balancer.report_max_age == lasts
        assert list(harness.balancer.classes) == ["high_value"]
        harness.handle(api.Classes(()))
        assert (harness.balancer.max_value, harness.balancer.recheck_interval) == (1.0, 600_000)


def test_the_mean_latency_of_a_class_outlives_its_table():
    harness = BalancerHarness(endpoints(2))
    name, upstream = harness.send_request()
    harness.now += 50_000
    harness.end_attempt(name, upstream, OK)
    harness.handle(api.Classes((READ,)))
    assert harness.balancer.mean_latency["read"] == 50_000


# --- max_attempts of a class ----------------------------------------------------------------------


@pytest.mark.parametrize(("own", "attempts"), [(0, 3), (1, 1), (2, 2), (5, 5)])
def test_a_class_may_have_its_own_maximum_of_attempts(own, attempts):
    mine = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.REPEATABLE, max_attempts=own)
    harness = BalancerHarness(endpoints(9), classes=(mine,), max_attempts=3)
    name, upstream = harness.send_request()
    for attempt in range(attempts - 1):
        upstream = sends(harness.end_attempt(name, upstream, api.Outcome.ERROR, attempt=attempt))[0].upstream
    assert endings(harness.end_attempt(name, upstream, api.Outcome.ERROR, attempt=attempts - 1)) == refused(
        name
    )


def test_requests_in_flight_keep_the_maximum_of_their_class():
    harness = BalancerHarness(endpoints(9))
    name, upstream = harness.send_request()
    harness.handle(api.Classes((api.RequestClass("read", 500_000, 1_000_000, max_attempts=1),)))
    assert sends(harness.end_attempt(name, upstream, CONNECT_FAILED))
    name, upstream = harness.send_request()
    assert endings(harness.end_attempt(name, upstream, CONNECT_FAILED)) == refused(name)


# --- retry_after of a refusal ---------------------------------------------------------------------


@pytest.mark.parametrize("retry_after", [0, 250_000])
def test_a_refusal_carries_the_longest_retry_after_of_the_settings(retry_after):
    harness = BalancerHarness((), wait_for_upstream=False, max_retry_after=retry_after)
    name, actions = harness.start_request()
    assert actions == [api.Refuse(name, retry_after)]


# --- fail_fast: True ------------------------------------------------------------------------------


def test_fail_fast_ends_a_request_once_all_serving_upstreams_rejected_it():
    harness = BalancerHarness(
        endpoints(3), unsent_attempts_free=True, wait_for_upstream=False, fail_fast=True
    )
    assert sorted(attempted_unsent(harness)) == ["u0", "u1", "u2"]
    harness.update_list(api.Endpoint("u1", state=DRAINING))
    assert sorted(attempted_unsent(harness)) == ["u0", "u2"]


def test_fail_fast_retries_nothing_without_time_left():
    for fail_fast in (False, True):
        harness = BalancerHarness(
            endpoints(2), unsent_attempts_free=True, wait_for_upstream=False, fail_fast=fail_fast, tier=1
        )
        for _ in range(20):
            name, upstream = harness.send_request()
            harness.advance(100_000)
            harness.end_attempt(name, upstream, OK)
        name, upstream = harness.send_request()
        request = harness.balancer.requests[name]
        harness.advance(request.answer_by - harness.now - 20_000)
        attempted = sends(harness.end_attempt(name, upstream, api.Outcome.ERROR))
        assert bool(attempted) is not fail_fast
