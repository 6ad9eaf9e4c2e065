"""The decision module and long bodies: an upstream's load, the start of deadlines, and retries."""

from __future__ import annotations

from world import ONCE, World, endings, rows, sends

from brackengate import interface as api


def opened(world: World, cls: str = "buy") -> tuple[str, str]:
    """A request whose body is still being received, and the upstream it was sent to."""
    name, actions = world.call(cls, whole=False)
    return name, sends(actions)[0].upstream


def test_a_body_in_transfer_does_not_count_as_work_of_its_upstream() -> None:
    """While the body is received and while the answer is sent, the upstream is idle; between, it is busy."""
    world = World(rows(2))
    name, upstream = opened(world)
    assert world.balancer.upstreams[upstream].own == 0
    world.tell(api.RequestWhole(name, world.now + 1_000_000))
    assert world.balancer.upstreams[upstream].own == 1
    assert {world.sent("read")[1]} == {"u0", "u1"} - {upstream}
    world.tell(api.AnswerStarted(name, 0, upstream, 50_000))
    assert world.balancer.upstreams[upstream].own == 0
    world.ended(name, upstream, api.Outcome.OK)
    assert world.balancer.upstreams[upstream].own == 0 and name not in world.balancer.calls


def test_the_deadline_starts_when_the_body_is_complete() -> None:
    """The body takes three seconds, longer than its class's deadline: a failed attempt is retried."""
    world = World(rows(2))
    name, upstream = opened(world)
    world.wait(3_000_000)
    world.tell(api.RequestWhole(name, world.now + 1_000_000))
    actions = world.ended(name, upstream, api.Outcome.CONNECT_FAILED)
    (again,) = sends(actions)
    assert again.until == world.now + int(0.99 * ONCE.aim)


def test_a_request_whose_body_was_released_is_refused_and_not_retried() -> None:
    world = World(rows(2))
    name, upstream = opened(world)
    world.wait(3_000_000)
    actions = world.tell(api.AttemptEnded(name, 0, upstream, api.Outcome.CONNECT_FAILED, 10_000, again=False))
    assert sends(actions) == [] and [type(a) for a in endings(actions)] == [api.Refuse]


def test_a_held_body_is_retried_while_it_is_still_received() -> None:
    world = World(rows(2))
    name, upstream = opened(world)
    world.wait(3_000_000)
    (again,) = sends(world.ended(name, upstream, api.Outcome.CONNECT_FAILED))
    assert again.upstream != upstream


def test_a_streamed_answer_allows_no_retry() -> None:
    """There is no second attempt after a break, and the client gets no other answer."""
    world = World(rows(2))
    name, upstream = world.sent("read")
    world.tell(api.AnswerStarted(name, 0, upstream, 50_000))
    actions = world.ended(name, upstream, api.Outcome.RESET, closed=True)
    assert sends(actions) == [] and endings(actions) == []
    assert name not in world.balancer.calls


def test_the_latency_of_a_streamed_answer_is_measured_to_its_first_bytes() -> None:
    world = World(rows(1))
    name, upstream = world.sent("read")
    world.wait(50_000)
    world.tell(api.AnswerStarted(name, 0, upstream, 50_000))
    world.wait(10_000_000)  # a slow reader
    world.ended(name, upstream, api.Outcome.OK)
    assert world.balancer.mean_time["read"] == 50_000
