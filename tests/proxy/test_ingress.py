"""Ingress with a scripted control plane, upstream and callers: an operation runs once, promises hold.

`World` is one machine: its loop fires timers on request, and commands are answered when a test does so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from brackengate.http.body import Body, ByteBudget, ResponseStream
from brackengate.http.message import IncomingRequest
from brackengate.http.upstream import UpstreamResponse
from brackengate.interface import Outcome
from brackengate.net.node import Reply
from brackengate.net.upstream import Result
from brackengate.protocol.messages import Claim, CommandDone, HeldBy, InvalidChange, Unclaim
from brackengate.proxy.admission import Admission, Heartbeat, OperationState, OperationStore
from brackengate.proxy.answer_classification import classify_upstream_answer
from brackengate.proxy.hop_headers import HOP, HopInfo, HopOutcome, forwarded_answer
from brackengate.proxy.ingress import Ingress

S = 1_000_000
SEAL = b"x-brackengate-server-seal"


class Clock:
    def __init__(self) -> None:
        self.at = 0

    def now(self) -> int:
        return self.at


@dataclass
class Timer:
    at: float
    call: Callable[[], None]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    def __init__(self, clock: Clock) -> None:
        self.clock, self.timers = clock, list[Timer]()

    def call_later(self, delay: float, call: Callable[..., None], *args: Any) -> Timer:
        timer = Timer(self.clock.at + delay * S, lambda: call(*args))
        self.timers.append(timer)
        return timer

    def run(self, seconds: float) -> None:
        until = self.clock.at + seconds * S
        while due := [t for t in self.timers if not t.cancelled and t.at <= until]:
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.clock.at = max(self.clock.at, int(first.at))
            first.call()
        self.clock.at = int(until)


@dataclass
class Job:
    payload: bytes
    done: Callable[[Result], None]
    on_streaming: Any = None
    written: bool = True
    given_up: Outcome | None = None

    def give_up(self, outcome: Outcome) -> None:
        if self.given_up is None:
            self.given_up = outcome
            self.done(Result(outcome))


class Pool:
    def __init__(self) -> None:
        self.addresses: dict[str, Any] = {}
        self.jobs: list[Job] = []

    def start(self, name: str, address: Any, payload: bytes, done: Any, on_streaming: Any, **_: Any) -> Job:
        self.jobs.append(Job(payload, done, on_streaming))
        return self.jobs[-1]


@dataclass
class Connection:
    reply: Reply | None = None
    gone: Callable[[], None] = field(default=lambda: None)
    sink: Any = None  # of a streamed answer
    caller_left: bool = False  # which the event loop has not noticed yet

    def closed_by_caller(self) -> bool:
        return self.caller_left

    def expect_answer(self, gone: Callable[[], None]) -> None:
        self.gone = gone

    def answer(self, reply: Reply) -> None:
        assert self.reply is None, "answered twice"
        self.reply = reply
        if reply.stream is not None:
            reply.stream.sink = self.sink

    @property
    def hop_outcome(self) -> str:
        if self.reply is None:
            return "nothing"
        lines = self.reply.extra_headers.split(b"\r\n")
        return next(line.partition(b": ")[2].decode() for line in lines if line.startswith(HOP))


@dataclass
class Sink:
    ends: list[str] = field(default_factory=list)

    def finish(self) -> None:
        self.ends.append("finish")

    def truncate(self) -> None:
        self.ends.append("cut")


class World:
    def __init__(self) -> None:
        self.clock = Clock()
        self.loop = Loop(self.clock)
        self.upstream_pool, self.peer_pool = Pool(), Pool()
        self.commands: list[tuple[Any, Callable[[Any], None]]] = []
        self.admission = Admission("z", 1500_000, 2 * S)
        self.admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 2, 0, 1), 0)

        def send_command(what: Any, done: Callable[[Any], None], within_s: float) -> None:
            self.commands.append((what, done))

        self.ingress = Ingress(
            self.loop,  # type: ignore[arg-type]
            self.clock,  # type: ignore[arg-type]
            self.upstream_pool,  # type: ignore[arg-type]
            self.admission,
            "me",
            ("10.0.0.1", 1),
            60 * S,
            send_command,
            self.peer_pool,  # type: ignore[arg-type]
            lambda machine: (machine, 2),
            "incarnation",
        )

    def arrive(
        self,
        key: str = "",
        replay: bool = False,
        remaining_ms: int = 1000,
        attempt: str = "t1",
        method: bytes = b"POST",
        stream: Body | None = None,
        route: str = "r",
        left_already: bool = False,
    ) -> Connection:
        step = HopInfo("i-1", bool(key), replay=replay, target_latency_ms=remaining_ms, route=route)
        headers = [
            (b"X-Brackengate-Attempt-Id", attempt.encode()),
            (b"X-Brackengate-Deadline-Ms", b"%d" % remaining_ms),
        ]
        headers += [(b"X-Brackengate-Operation-Key", key.encode())] if key else []
        name, _, value = step.header_line().strip().partition(b": ")
        headers.append((name, value))
        fields = {name.lower(): value for name, value in headers}
        arrival = IncomingRequest(method, b"/a/", headers, b"x", True, self.clock.at, stream, fields=fields)
        connection = Connection(caller_left=left_already)
        self.ingress.begin(arrival, connection)  # type: ignore[arg-type]
        return connection

    def answer_command(self, result: Any) -> Any:
        """The control plane answers the oldest command."""
        what, done = self.commands.pop(0)
        done(result)
        return what

    def answer_upstream(
        self, status: int = 200, outcome: Outcome = Outcome.OK, body: bytes = b"done"
    ) -> None:
        headers = [(b"X-Brackengate-Server-Seal", b"seal"), (b"X-Brackengate-Attempt-Id", b"t1")]
        fields = {name.lower(): value for name, value in headers}
        answer = UpstreamResponse(status, fields, body, True, headers) if outcome is Outcome.OK else None
        self.upstream_pool.jobs.pop(0).done(Result(outcome, response=answer))


OK = CommandDone()


class KeyedRequestTests(TestCase):
    def test_request_runs_after_its_claim_and_repeats_get_the_first_answer(self) -> None:
        world = World()
        first = world.arrive("k")
        self.assertThat(world.upstream_pool.jobs, Equals([]))
        world.answer_command(OK)
        second = world.arrive("k", attempt="t2")
        self.assertThat(
            [len(world.upstream_pool.jobs), first.hop_outcome, second.hop_outcome],
            Equals([1, "nothing", "nothing"]),
        )
        world.answer_upstream()
        third = world.arrive("k", attempt="t3")
        self.assertThat([c.hop_outcome for c in (first, second, third)], Equals(["ran"] * 3))
        assert third.reply is not None
        self.assertThat(third.reply.body, Equals(b"done"))
        self.assertThat(b"X-Brackengate-Attempt-Id: t3\r\n" in third.reply.extra_headers, Equals(True))
        self.assertThat([world.upstream_pool.jobs, world.commands], Equals([[], []]))

    def test_unanswered_claim_does_not_count_as_granted(self) -> None:
        world = World()
        first = world.arrive("k")
        world.loop.run(0.6)  # half of its time: it is rejected, and has not run
        self.assertThat(first.hop_outcome, Equals("unclaimed"))
        before = world.answer_command(None)
        world.arrive("k", attempt="t2")
        self.assertThat(world.upstream_pool.jobs, Equals([]))
        after = world.commands[0][0]
        self.assertThat([type(after), after.replaces], Equals([Claim, before.attempt]))
        self.assertThat(after.attempt == before.attempt, Equals(False))
        world.answer_command(HeldBy("other", "x"))
        self.assertThat([world.upstream_pool.jobs, len(world.peer_pool.jobs)], Equals([[], 1]))

    def test_error_answer_to_a_claim_is_no_grant(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(InvalidChange("what is asked is not known here"))
        self.assertThat([first.hop_outcome, world.upstream_pool.jobs], Equals(["unclaimed", []]))

    def test_late_grant_runs_nothing_until_the_next_request(self) -> None:
        world = World()
        world.arrive("k")
        world.loop.run(0.6)
        world.answer_command(OK)
        self.assertThat(world.upstream_pool.jobs, Equals([]))
        world.arrive("k", attempt="t2")  # the next request runs under it
        self.assertThat([len(world.upstream_pool.jobs), world.commands], Equals([1, []]))

    def test_rejection_by_the_upstream_releases_the_claim(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(OK)
        world.answer_upstream(outcome=Outcome.REJECTED)
        self.assertThat(first.hop_outcome, Equals("nothing"))  # not before the claim is released
        self.assertThat(type(world.answer_command(OK)), Equals(Unclaim))
        self.assertThat(first.hop_outcome, Equals("shed"))
        world.arrive("k")
        self.assertThat(type(world.commands[0][0]), Equals(Claim))

    def test_repeat_whose_route_has_moved_is_not_run_here(self) -> None:
        """here:   claims k ... timed out, not run              the claim is released
        there:                      k arrives, route moved -> relayed   -> away: it runs there
        """
        for route, runs in (("other", 0), ("p", 1), ("", 1)):  # "": not known, as from an earlier release
            world = World()
            world.arrive("k", remaining_ms=200)
            world.loop.run(0.3)
            world.answer_command(OK)
            repeat = world.arrive("k", replay=True, attempt="t2", route=route)
            if not runs:
                self.assertThat(type(world.answer_command(OK)), Equals(Unclaim))
            self.assertThat(
                [len(world.upstream_pool.jobs), repeat.hop_outcome],
                Equals([runs, "nothing" if runs else "away"]),
            )

    def test_claim_older_than_a_window_is_released_before_anything_runs_under_it(self) -> None:
        """The control plane holds it for two windows: a run that begins in the second would be protected for
        less than one.

        0 s: claimed, timed out   61 s: an attempt -> released, rejected -> the next one claims again
        """
        world = World()
        world.arrive("k", remaining_ms=200)
        world.loop.run(0.3)
        world.answer_command(OK)
        world.loop.run(61.0)
        second = world.arrive("k", attempt="t2")
        released = world.answer_command(OK)
        self.assertThat(
            [type(released), second.hop_outcome, world.upstream_pool.jobs], Equals([Unclaim, "away", []])
        )
        world.arrive("k", attempt="t3")
        again = world.answer_command(OK)
        self.assertThat([type(again), again.replaces], Equals([Claim, released.attempt]))  # sent late
        self.assertThat(len(world.upstream_pool.jobs), Equals(1))

    def test_stored_answer_expires_with_its_claim_even_behind_a_running_operation(self) -> None:
        held = OperationStore(60 * S, 1 << 20)
        held.begin("first", "a", 0).state = OperationState.RUNNING
        held.store_answer(held.begin("k", "b", 0), Reply(200), 0)
        self.assertThat(held.get("k", 119 * S) is None, Equals(False))
        self.assertThat([held.get("k", 121 * S), held.get("first", 121 * S) is None], Equals([None, False]))

    def test_nothing_runs_for_callers_that_left_while_the_process_was_paused(self) -> None:
        world = World()
        self.assertThat(
            [world.arrive(left_already=True).hop_outcome, world.upstream_pool.jobs], Equals(["nothing", []])
        )
        first = world.arrive("k")
        first.caller_left = True
        world.answer_command(OK)
        self.assertThat(world.upstream_pool.jobs, Equals([]))
        world.arrive("k", attempt="t2")  # it runs under the same claim
        self.assertThat([len(world.upstream_pool.jobs), world.commands], Equals([1, []]))

    def test_run_without_a_caller_is_pending_until_its_end(self) -> None:
        """A process that shuts down waits for it, as repeats will ask for its answer."""
        world = World()
        first = world.arrive("k")
        world.answer_command(OK)
        first.gone()
        held = [world.ingress.pending_count()]
        world.answer_upstream()
        self.assertThat([*held, world.ingress.pending_count()], Equals([1, 0]))

    def test_run_whose_connection_broke_blocks_its_key(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(OK)
        world.answer_upstream(outcome=Outcome.RESET)
        second = world.arrive("k")
        self.assertThat(
            [first.hop_outcome, second.hop_outcome, world.upstream_pool.jobs],
            Equals(["broken", "unknown", []]),
        )

    def test_claim_of_an_earlier_incarnation_of_the_proxy_runs_nothing(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(HeldBy("me", "before"))
        replay = world.arrive("other", replay=True)
        self.assertThat(
            [first.hop_outcome, replay.hop_outcome, world.upstream_pool.jobs],
            Equals(["unknown", "unknown", []]),
        )

    def test_operation_goes_on_without_its_caller_and_has_unknown_outcome_if_it_hangs(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(OK)
        first.gone()
        self.assertThat(world.upstream_pool.jobs[0].given_up, Equals(None))
        world.loop.run(4.0)
        self.assertThat(
            [world.upstream_pool.jobs[0].given_up, world.arrive("k").hop_outcome],
            Equals([Outcome.TIMEOUT, "unknown"]),
        )


class StreamedAnswers(TestCase):
    """A streamed answer ignores the deadline once begun, is pending until its end, and is not stored."""

    def streaming(self) -> tuple[World, Connection, Sink]:
        world = World()
        connection = world.arrive("k")
        connection.sink = Sink()
        world.answer_command(OK)
        head = UpstreamResponse(200, {SEAL: b"seal"}, b"first", False, [(SEAL, b"seal")])
        sink = world.upstream_pool.jobs[0].on_streaming(
            head, ResponseStream(1 << 21, lambda on: None, lambda: None)
        )
        assert sink is connection.sink
        return world, connection, sink

    def test_streamed_answer_goes_on_past_the_deadline_and_its_end_is_forwarded(self) -> None:
        for outcome, ends in ((Outcome.OK, "finish"), (Outcome.RESET, "cut"), (Outcome.CANCELLED, "cut")):
            world, connection, sink = self.streaming()
            repeat = world.arrive("k", attempt="t2")
            world.loop.run(60.0)
            self.assertThat(
                [connection.hop_outcome, repeat.hop_outcome, sink.ends], Equals(["ran", "unknown", []])
            )
            self.assertThat(
                [world.upstream_pool.jobs[0].given_up, len(world.ingress.requests)], Equals([None, 1])
            )
            world.upstream_pool.jobs[0].done(Result(outcome))
            self.assertThat([sink.ends, len(world.ingress.requests)], Equals([[ends], 0]))

    def test_answer_to_head_is_not_streamed(self) -> None:
        world = World()
        world.arrive(method=b"HEAD")
        self.assertThat(world.upstream_pool.jobs[0].on_streaming, Equals(None))

    def test_streamed_answer_without_a_caller_is_not_read(self) -> None:
        world = World()
        connection = world.arrive("k")
        world.answer_command(OK)
        connection.gone()
        head = UpstreamResponse(200, {SEAL: b"seal"}, b"first", False, [(SEAL, b"seal")])
        stream = ResponseStream(1 << 21, lambda on: None, lambda: None)
        self.assertThat(world.upstream_pool.jobs[0].on_streaming(head, stream), Equals(None))
        world.upstream_pool.jobs[0].done(Result(Outcome.ERROR))
        self.assertThat([world.arrive("k").hop_outcome, len(world.ingress.requests)], Equals(["unknown", 0]))


class StreamedRequests(TestCase):
    def test_time_limit_starts_at_the_end_of_the_body(self) -> None:
        for key, lost in (("", Outcome.CANCELLED), ("k", Outcome.TIMEOUT)):
            world, stream = World(), Body(ByteBudget(1 << 20), None, lambda: None)
            connection = world.arrive(key, stream=stream)
            if key:
                world.answer_command(OK)
            world.loop.run(30.0)
            stream.end()
            world.loop.run(0.9)
            self.assertThat(
                [connection.hop_outcome, world.upstream_pool.jobs[0].given_up], Equals(["nothing", None])
            )
            world.loop.run(0.2)
            self.assertThat(connection.hop_outcome, Equals("late"))
            world.loop.run(2.0)  # an operation goes on for a while
            self.assertThat(world.upstream_pool.jobs[0].given_up, Equals(lost))


class Relays(TestCase):
    def relayed(self) -> tuple[World, Connection]:
        world = World()
        connection = world.arrive("k")
        world.answer_command(HeldBy("other", "x"))
        return world, connection

    def test_relay_that_broke_after_sending_promises_nothing(self) -> None:
        for outcome, hop_outcome in ((Outcome.RESET, "broken"), (Outcome.CONNECT_FAILED, "unknown")):
            world, connection = self.relayed()
            world.peer_pool.jobs[0].done(Result(outcome))
            self.assertThat(connection.hop_outcome, Equals(hop_outcome))

    def test_relayed_answer_is_forwarded_and_a_rejection_frees_the_key(self) -> None:
        for peer_outcome, hop_outcome in (
            (HopOutcome.RAN, "ran"),
            (HopOutcome.FULL, "away"),
            (HopOutcome.SHED, "shed"),  # counts as an attempt at an upstream
            (HopOutcome.BROKEN, "broken"),
            (HopOutcome.LATE, "late"),
        ):
            world, connection = self.relayed()
            headers = [(HOP, peer_outcome.value)]
            fields = {HOP.lower(): peer_outcome.value}
            world.peer_pool.jobs[0].done(
                Result(Outcome.OK, response=UpstreamResponse(200, fields, b"", True, headers))
            )
            self.assertThat(connection.hop_outcome, Equals(hop_outcome))


class Rejections(TestCase):
    def test_requests_for_another_incarnation_are_rejected(self) -> None:
        world = World()
        world.admission.receive_heartbeat(Heartbeat("i-2", "p", "ready", 2, 0, 1), 1)
        self.assertThat([world.arrive().hop_outcome, world.arrive("k").hop_outcome], Equals(["away", "away"]))
        self.assertThat([world.upstream_pool.jobs, world.commands], Equals([[], []]))

    def test_rejection_has_the_attempt_id_of_its_request(self) -> None:
        world = World()
        world.admission.receive_heartbeat(Heartbeat("i-2", "p", "ready", 2, 0, 1), 1)
        reply = world.arrive(attempt="t7").reply
        assert reply is not None
        self.assertThat(b"X-Brackengate-Attempt-Id: t7\r\n" in reply.extra_headers, Equals(True))

    def test_answer_cannot_drop_its_seal_as_a_connection_header(self) -> None:
        headers = [(b"Connection", b"x-brackengate-server-seal, x-one"), (b"X-One", b"1"), (SEAL, b"seal")]
        answer = UpstreamResponse(200, {name.lower(): value for name, value in headers}, b"", True, headers)
        self.assertThat(forwarded_answer(answer).extra_headers, Equals(SEAL + b": seal\r\n"))

    def test_upstream_gets_target_and_remaining_time_but_no_hop_header(self) -> None:
        world = World()
        world.arrive()
        head = world.upstream_pool.jobs[0].payload
        self.assertThat(b"X-Brackengate-Target-Instance: i-1\r\n" in head, Equals(True))
        self.assertThat(b"X-Brackengate-Deadline-Ms: 1000\r\n" in head, Equals(True))
        self.assertThat(HOP in head, Equals(False))

    def test_only_valid_answers_to_the_request_count_as_success(self) -> None:
        head = b"GET / HTTP/1.1\r\nX-Brackengate-Attempt-Id: t1\r\n\r\n"
        seal, mine, other = (b"x-brackengate-server-seal", b"s"), (b"x-brackengate-attempt-id", b"t1"), b"t0"

        def outcome(status: int, *fields: tuple[bytes, bytes]) -> Outcome:
            return classify_upstream_answer(head, UpstreamResponse(status, dict(fields), b"", True)).outcome

        self.assertThat(outcome(200, seal, mine), Equals(Outcome.OK))
        self.assertThat(outcome(200, seal, (mine[0], other)), Equals(Outcome.RESET))
        self.assertThat(outcome(200, mine), Equals(Outcome.ERROR))
        self.assertThat(outcome(200, seal), Equals(Outcome.ERROR))
        self.assertThat(outcome(503, mine, (b"x-brackengate-not-executed", b"1")), Equals(Outcome.REJECTED))
        self.assertThat(outcome(421, mine), Equals(Outcome.REJECTED))
        # Without an attempt id it says nothing about this request.
        self.assertThat(outcome(421), Equals(Outcome.ERROR))
        self.assertThat(outcome(421, (mine[0], other)), Equals(Outcome.RESET))
        unrun = (b"x-brackengate-not-executed", b"1")
        twice = [(b"X-Brackengate-Attempt-Id", b"t0"), mine, seal]
        duplicated = UpstreamResponse(
            200, dict([mine, seal]), b"", True, twice
        )  # two ids, of which the last is ours
        self.assertThat(classify_upstream_answer(head, duplicated).outcome, Equals(Outcome.ERROR))
        self.assertThat(outcome(503, (mine[0], other), unrun), Equals(Outcome.RESET))
        self.assertThat(outcome(500, seal, (mine[0], other)), Equals(Outcome.RESET))
        for status in (408, 429, 503):  # only that header says that a request has not run
            self.assertThat(outcome(status, seal, mine), Equals(Outcome.ERROR))
            self.assertThat(outcome(status, mine, unrun), Equals(Outcome.REJECTED))
        self.assertThat(outcome(500, seal, mine), Equals(Outcome.OK))
