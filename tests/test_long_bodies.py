"""The module and long bodies: what counts as an upstream's work, when time begins, what may go again."""

from __future__ import annotations

from world import ONCE, World, endings, rows, sends

from brackengate import interface as api


def opened(world: World, cls: str = "buy") -> tuple[str, str]:
    """A request whose body still comes, and where it was sent."""
    name, actions = world.call(cls, body_complete=False)
    return name, sends(actions)[0].upstream


def test_a_body_on_its_way_is_no_work_of_its_upstream() -> None:
    """While it comes and while its answer goes, its upstream is idle; between the two it is not."""
    world = World(rows(2))
    name, upstream = opened(world)
    assert world.balancer.upstreams[upstream].own_in_flight == 0
    world.tell(api.RequestBodyComplete(name, world.now + 1_000_000))
    assert world.balancer.upstreams[upstream].own_in_flight == 1
    assert {world.sent("read")[1]} == {"u0", "u1"} - {upstream}
    world.tell(api.AnswerStarted(name, 0, upstream, 50_000))
    assert world.balancer.upstreams[upstream].own_in_flight == 0
    world.ended(name, upstream, api.Outcome.OK)
    assert world.balancer.upstreams[upstream].own_in_flight == 0 and name not in world.balancer.requests


def test_time_begins_when_the_body_is_whole() -> None:
    """The body takes three seconds, beyond its class's deadline: an attempt that failed goes again."""
    world = World(rows(2))
    name, upstream = opened(world)
    world.wait(3_000_000)
    world.tell(api.RequestBodyComplete(name, world.now + 1_000_000))
    actions = world.ended(name, upstream, api.Outcome.CONNECT_FAILED)
    (again,) = sends(actions)
    assert again.until == world.now + int(0.99 * ONCE.target_latency)


def test_an_attempt_whose_body_is_no_longer_held_is_refused_and_not_sent_again() -> None:
    world = World(rows(2))
    name, upstream = opened(world)
    world.wait(3_000_000)
    actions = world.tell(
        api.AttemptEnded(name, 0, upstream, api.Outcome.CONNECT_FAILED, 10_000, body_replayable=False)
    )
    assert sends(actions) == [] and [type(a) for a in endings(actions)] == [api.Refuse]


def test_one_that_is_held_goes_again_while_the_body_still_comes() -> None:
    world = World(rows(2))
    name, upstream = opened(world)
    world.wait(3_000_000)
    (again,) = sends(world.ended(name, upstream, api.Outcome.CONNECT_FAILED))
    assert again.upstream != upstream


def test_an_answer_that_has_begun_ends_the_choice() -> None:
    """No second attempt after a break, and nothing else is said to the client."""
    world = World(rows(2))
    name, upstream = world.sent("read")
    world.tell(api.AnswerStarted(name, 0, upstream, 50_000))
    actions = world.ended(name, upstream, api.Outcome.RESET, closed=True)
    assert sends(actions) == [] and endings(actions) == []
    assert name not in world.balancer.requests


def test_what_an_answer_takes_is_the_time_to_its_first_bytes() -> None:
    world = World(rows(1))
    name, upstream = world.sent("read")
    world.wait(50_000)
    world.tell(api.AnswerStarted(name, 0, upstream, 50_000))
    world.wait(10_000_000)  # a slow reader
    world.ended(name, upstream, api.Outcome.OK)
    assert world.balancer.mean_latency["read"] == 50_000
