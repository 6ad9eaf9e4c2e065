"""Long bodies: when a request counts as in flight, when its time begins, and when it may be retried."""

from __future__ import annotations

from balancer_harness import BUY, BalancerHarness, endings, endpoints, sends

from brackengate import interface as api


def start_request_with_open_body(harness: BalancerHarness, cls: str = "buy") -> tuple[str, str]:
    """A request whose body is still arriving; its id and its upstream."""
    name, actions = harness.start_request(cls, body_complete=False)
    return name, sends(actions)[0].upstream


def test_a_body_in_transfer_does_not_count_as_in_flight() -> None:
    """Its upstream is idle while either body is transferred, and busy between the two."""
    harness = BalancerHarness(endpoints(2))
    name, upstream = start_request_with_open_body(harness)
    assert harness.balancer.upstreams[upstream].own_in_flight == 0
    harness.handle(api.RequestBodyComplete(name, harness.now + 1_000_000))
    assert harness.balancer.upstreams[upstream].own_in_flight == 1
    assert {harness.send_request("read")[1]} == {"u0", "u1"} - {upstream}
    harness.handle(api.AnswerStarted(name, 0, upstream, 50_000))
    assert harness.balancer.upstreams[upstream].own_in_flight == 0
    harness.end_attempt(name, upstream, api.Outcome.OK)
    assert harness.balancer.upstreams[upstream].own_in_flight == 0 and name not in harness.balancer.requests


def test_time_begins_when_the_body_is_complete() -> None:
    """The body takes three seconds, beyond its class's deadline: a failed attempt is retried."""
    harness = BalancerHarness(endpoints(2))
    name, upstream = start_request_with_open_body(harness)
    harness.advance(3_000_000)
    harness.handle(api.RequestBodyComplete(name, harness.now + 1_000_000))
    actions = harness.end_attempt(name, upstream, api.Outcome.CONNECT_FAILED)
    (retried,) = sends(actions)
    assert retried.until == harness.now + int(0.99 * BUY.target_latency)


def test_a_request_whose_body_cannot_be_replayed_is_refused_and_not_retried() -> None:
    harness = BalancerHarness(endpoints(2))
    name, upstream = start_request_with_open_body(harness)
    harness.advance(3_000_000)
    actions = harness.handle(
        api.AttemptEnded(name, 0, upstream, api.Outcome.CONNECT_FAILED, 10_000, body_replayable=False)
    )
    assert sends(actions) == [] and [type(a) for a in endings(actions)] == [api.Refuse]


def test_a_replayable_body_allows_a_retry_while_it_is_still_arriving() -> None:
    harness = BalancerHarness(endpoints(2))
    name, upstream = start_request_with_open_body(harness)
    harness.advance(3_000_000)
    (retried,) = sends(harness.end_attempt(name, upstream, api.Outcome.CONNECT_FAILED))
    assert retried.upstream != upstream


def test_a_started_answer_excludes_further_attempts() -> None:
    """After a broken connection there is no second attempt and no other answer to the client."""
    harness = BalancerHarness(endpoints(2))
    name, upstream = harness.send_request("read")
    harness.handle(api.AnswerStarted(name, 0, upstream, 50_000))
    actions = harness.end_attempt(name, upstream, api.Outcome.RESET, request_ended=True)
    assert sends(actions) == [] and endings(actions) == []
    assert name not in harness.balancer.requests


def test_the_latency_is_the_time_to_the_first_bytes_of_the_answer() -> None:
    harness = BalancerHarness(endpoints(1))
    name, upstream = harness.send_request("read")
    harness.advance(50_000)
    harness.handle(api.AnswerStarted(name, 0, upstream, 50_000))
    harness.advance(10_000_000)  # a slow reader
    harness.end_attempt(name, upstream, api.Outcome.OK)
    assert harness.balancer.mean_latency["read"] == 50_000
