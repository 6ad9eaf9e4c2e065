"""The gate's carrier with a scripted core, upstream and callers: an operation runs once, promises hold.

A world of one machine: `loop` is asked for timers by hand, the core answers when a test says so.
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
from brackengate.pilot.entry import Entry
from brackengate.pilot.gate import Beat, Gate, Operations, State
from brackengate.pilot.hop import HOP, Said, Step, passed_on
from brackengate.pilot.verdict import own_judge
from brackengate.signals.words import Claim, CommandDone, HeldBy, InvalidOrder, Unclaim

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
    sink: Any = None  # of a long answer
    left: bool = False  # its caller has, and the loop has not met that

    def closed_by_caller(self) -> bool:
        return self.left

    def expect_answer(self, gone: Callable[[], None]) -> None:
        self.gone = gone

    def answer(self, reply: Reply) -> None:
        assert self.reply is None, "answered twice"
        self.reply = reply
        if reply.stream is not None:
            reply.stream.sink = self.sink

    @property
    def said(self) -> str:
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
        self.own, self.gates = Pool(), Pool()
        self.asked: list[tuple[Any, Callable[[Any], None]]] = []
        self.gate = Gate("z", 1500_000, 2 * S)
        self.gate.heard(Beat("i-1", "p", "ready", 2, 0, 1), 0)

        def ask(what: Any, done: Callable[[Any], None], within_s: float) -> None:
            self.asked.append((what, done))

        self.entry = Entry(
            self.loop,  # type: ignore[arg-type]
            self.clock,  # type: ignore[arg-type]
            self.own,  # type: ignore[arg-type]
            self.gate,
            "me",
            ("10.0.0.1", 1),
            60 * S,
            ask,
            self.gates,  # type: ignore[arg-type]
            lambda machine: (machine, 2),
            "life",
        )

    def comes(
        self,
        key: str = "",
        replay: bool = False,
        left: int = 1000,
        attempt: str = "t1",
        method: bytes = b"POST",
        stream: Body | None = None,
        route: str = "r",
        left_already: bool = False,
    ) -> Connection:
        step = Step("i-1", bool(key), replay=replay, aim_ms=left, route=route)
        headers = [
            (b"X-Brackengate-Attempt-Id", attempt.encode()),
            (b"X-Brackengate-Deadline-Ms", b"%d" % left),
        ]
        headers += [(b"X-Brackengate-Operation-Key", key.encode())] if key else []
        name, _, value = step.lines().strip().partition(b": ")
        headers.append((name, value))
        fields = {name.lower(): value for name, value in headers}
        arrival = IncomingRequest(method, b"/a/", headers, b"x", True, self.clock.at, stream, fields=fields)
        connection = Connection(left=left_already)
        self.entry.begin(arrival, connection)  # type: ignore[arg-type]
        return connection

    def core(self, result: Any) -> Any:
        """The core answers the oldest ask."""
        what, done = self.asked.pop(0)
        done(result)
        return what

    def upstream(self, status: int = 200, outcome: Outcome = Outcome.OK, body: bytes = b"done") -> None:
        headers = [(b"X-Brackengate-Server-Seal", b"seal"), (b"X-Brackengate-Attempt-Id", b"t1")]
        fields = {name.lower(): value for name, value in headers}
        answer = UpstreamResponse(status, fields, body, True, headers) if outcome is Outcome.OK else None
        self.own.jobs.pop(0).done(Result(outcome, response=answer))


OK = CommandDone()


class Keys(TestCase):
    def test_nothing_runs_before_its_claim_and_a_repeat_gets_the_first_answer(self) -> None:
        world = World()
        first = world.comes("k")
        self.assertThat(world.own.jobs, Equals([]))
        world.core(OK)
        second = world.comes("k", attempt="t2")
        self.assertThat([len(world.own.jobs), first.said, second.said], Equals([1, "nothing", "nothing"]))
        world.upstream()
        third = world.comes("k", attempt="t3")
        self.assertThat([c.said for c in (first, second, third)], Equals(["ran"] * 3))
        assert third.reply is not None
        self.assertThat(third.reply.body, Equals(b"done"))
        self.assertThat(b"X-Brackengate-Attempt-Id: t3\r\n" in third.reply.extra_headers, Equals(True))
        self.assertThat([world.own.jobs, world.asked], Equals([[], []]))

    def test_a_claim_without_an_answer_is_not_taken_for_granted(self) -> None:
        world = World()
        first = world.comes("k")
        world.loop.run(0.6)  # half of its time: it is turned away, with a promise
        self.assertThat(first.said, Equals("unclaimed"))
        before = world.core(None)
        world.comes("k", attempt="t2")
        self.assertThat(world.own.jobs, Equals([]))
        after = world.asked[0][0]
        self.assertThat([type(after), after.instead], Equals([Claim, before.attempt]))
        self.assertThat(after.attempt == before.attempt, Equals(False))
        world.core(HeldBy("other", "x"))
        self.assertThat([world.own.jobs, len(world.gates.jobs)], Equals([[], 1]))

    def test_any_other_word_on_a_claim_is_no_grant(self) -> None:
        world = World()
        first = world.comes("k")
        world.core(InvalidOrder("what is asked is not known here"))
        self.assertThat([first.said, world.own.jobs], Equals(["unclaimed", []]))

    def test_a_claim_that_is_granted_late_runs_nothing_by_itself(self) -> None:
        world = World()
        world.comes("k")
        world.loop.run(0.6)
        world.core(OK)
        self.assertThat(world.own.jobs, Equals([]))
        world.comes("k", attempt="t2")  # whoever comes next runs under it
        self.assertThat([len(world.own.jobs), world.asked], Equals([1, []]))

    def test_what_the_upstream_turned_away_is_free_for_another_gate(self) -> None:
        world = World()
        first = world.comes("k")
        world.core(OK)
        world.upstream(outcome=Outcome.REJECTED)
        self.assertThat(first.said, Equals("nothing"))  # not before the claim is lifted
        self.assertThat(type(world.core(OK)), Equals(Unclaim))
        self.assertThat(first.said, Equals("shed"))
        world.comes("k")
        self.assertThat(type(world.asked[0][0]), Equals(Claim))

    def test_a_repeat_whose_route_has_moved_away_is_not_run_here(self) -> None:
        """here:   claims k ... given up, not run            the claim is lifted
        there:                      k comes, route moved ->  relayed    -> away: it runs there
        """
        for route, runs in (("other", 0), ("p", 1), ("-", 1)):  # "-": said by an earlier program
            world = World()
            world.comes("k", left=200)
            world.loop.run(0.3)
            world.core(OK)
            repeat = world.comes("k", replay=True, attempt="t2", route=route)
            if not runs:
                self.assertThat(type(world.core(OK)), Equals(Unclaim))
            self.assertThat([len(world.own.jobs), repeat.said], Equals([runs, "nothing" if runs else "away"]))

    def test_a_claim_of_over_a_window_is_lifted_before_anything_runs_under_it(self) -> None:
        """The core holds it for two windows: a run that begins in the second would be guarded for less than
        one.

        0 s: claimed, and given up   61 s: a try comes -> lifted, turned away -> the next one claims anew
        """
        world = World()
        world.comes("k", left=200)
        world.loop.run(0.3)
        world.core(OK)
        world.loop.run(61.0)
        second = world.comes("k", attempt="t2")
        lifted = world.core(OK)
        self.assertThat([type(lifted), second.said, world.own.jobs], Equals([Unclaim, "away", []]))
        world.comes("k", attempt="t3")
        again = world.core(OK)
        self.assertThat([type(again), again.instead], Equals([Claim, lifted.attempt]))  # a late sending of it
        self.assertThat(len(world.own.jobs), Equals(1))

    def test_what_is_kept_of_an_operation_ends_with_its_claim_also_behind_one_that_runs(self) -> None:
        held = Operations(60 * S, 1 << 20)
        held.begin("first", "a", 0).state = State.RUNNING
        held.keep(held.begin("k", "b", 0), Reply(200), 0)
        self.assertThat(held.get("k", 119 * S) is None, Equals(False))
        self.assertThat([held.get("k", 121 * S), held.get("first", 121 * S) is None], Equals([None, False]))

    def test_nothing_runs_for_those_who_left_while_this_process_stood_still(self) -> None:
        world = World()
        self.assertThat([world.comes(left_already=True).said, world.own.jobs], Equals(["nothing", []]))
        first = world.comes("k")
        first.left = True
        world.core(OK)
        self.assertThat(world.own.jobs, Equals([]))
        world.comes("k", attempt="t2")  # the claim stands: it runs under it
        self.assertThat([len(world.own.jobs), world.asked], Equals([1, []]))

    def test_a_run_that_nobody_awaits_is_held_until_its_end(self) -> None:
        """A process that leaves waits for it: its answer is its repeats'."""
        world = World()
        first = world.comes("k")
        world.core(OK)
        first.gone()
        held = [world.entry.held()]
        world.upstream()
        self.assertThat([*held, world.entry.held()], Equals([1, 0]))

    def test_a_run_that_broke_blocks_its_key(self) -> None:
        world = World()
        first = world.comes("k")
        world.core(OK)
        world.upstream(outcome=Outcome.RESET)
        second = world.comes("k")
        self.assertThat([first.said, second.said, world.own.jobs], Equals(["broken", "unknown", []]))

    def test_a_claim_of_an_earlier_life_of_this_pilot_runs_nothing(self) -> None:
        world = World()
        first = world.comes("k")
        world.core(HeldBy("me", "before"))
        replay = world.comes("other", replay=True)
        self.assertThat([first.said, replay.said, world.own.jobs], Equals(["unknown", "unknown", []]))

    def test_an_operation_goes_on_without_its_caller_and_is_lost_when_it_hangs(self) -> None:
        world = World()
        first = world.comes("k")
        world.core(OK)
        first.gone()
        self.assertThat(world.own.jobs[0].given_up, Equals(None))
        world.loop.run(4.0)
        self.assertThat(
            [world.own.jobs[0].given_up, world.comes("k").said], Equals([Outcome.TIMEOUT, "unknown"])
        )


class LongAnswers(TestCase):
    """One that has begun is not bound by the deadline, counts as held until its end, and is not kept."""

    def streaming(self) -> tuple[World, Connection, Sink]:
        world = World()
        connection = world.comes("k")
        connection.sink = Sink()
        world.core(OK)
        head = UpstreamResponse(200, {SEAL: b"seal"}, b"first", False, [(SEAL, b"seal")])
        sink = world.own.jobs[0].on_streaming(head, ResponseStream(1 << 21, lambda on: None, lambda: None))
        assert sink is connection.sink
        return world, connection, sink

    def test_it_goes_on_past_the_deadline_and_its_end_is_passed_on(self) -> None:
        for outcome, ends in ((Outcome.OK, "finish"), (Outcome.RESET, "cut"), (Outcome.CANCELLED, "cut")):
            world, connection, sink = self.streaming()
            repeat = world.comes("k", attempt="t2")
            world.loop.run(60.0)
            self.assertThat([connection.said, repeat.said, sink.ends], Equals(["ran", "unknown", []]))
            self.assertThat([world.own.jobs[0].given_up, len(world.entry.visits)], Equals([None, 1]))
            world.own.jobs[0].done(Result(outcome))
            self.assertThat([sink.ends, len(world.entry.visits)], Equals([[ends], 0]))

    def test_what_tells_a_length_and_has_no_body_is_not_passed_on(self) -> None:
        world = World()
        world.comes(method=b"HEAD")
        self.assertThat(world.own.jobs[0].on_streaming, Equals(None))

    def test_one_that_nobody_awaits_any_more_is_not_taken(self) -> None:
        world = World()
        connection = world.comes("k")
        world.core(OK)
        connection.gone()
        head = UpstreamResponse(200, {SEAL: b"seal"}, b"first", False, [(SEAL, b"seal")])
        stream = ResponseStream(1 << 21, lambda on: None, lambda: None)
        self.assertThat(world.own.jobs[0].on_streaming(head, stream), Equals(None))
        world.own.jobs[0].done(Result(Outcome.ERROR))
        self.assertThat([world.comes("k").said, len(world.entry.visits)], Equals(["unknown", 0]))


class LongRequests(TestCase):
    def test_their_time_counts_from_their_bodys_end(self) -> None:
        for key, lost in (("", Outcome.CANCELLED), ("k", Outcome.TIMEOUT)):
            world, stream = World(), Body(ByteBudget(1 << 20), None, lambda: None)
            connection = world.comes(key, stream=stream)
            if key:
                world.core(OK)
            world.loop.run(30.0)
            stream.end()
            world.loop.run(0.9)
            self.assertThat([connection.said, world.own.jobs[0].given_up], Equals(["nothing", None]))
            world.loop.run(0.2)
            self.assertThat(connection.said, Equals("late"))
            world.loop.run(2.0)  # an operation goes on a while
            self.assertThat(world.own.jobs[0].given_up, Equals(lost))


class Relays(TestCase):
    def relayed(self) -> tuple[World, Connection]:
        world = World()
        connection = world.comes("k")
        world.core(HeldBy("other", "x"))
        return world, connection

    def test_a_relay_that_broke_behind_its_request_promises_nothing(self) -> None:
        for outcome, said in ((Outcome.RESET, "broken"), (Outcome.CONNECT_FAILED, "unknown")):
            world, connection = self.relayed()
            world.gates.jobs[0].done(Result(outcome))
            self.assertThat(connection.said, Equals(said))

    def test_the_other_gates_answer_comes_back_and_its_turning_away_frees_the_key(self) -> None:
        for word, said in (
            (Said.RAN, "ran"),
            (Said.FULL, "away"),
            (Said.SHED, "shed"),  # an upstream was asked: that counts as sent
            (Said.BROKEN, "broken"),
            (Said.LATE, "late"),
        ):
            world, connection = self.relayed()
            headers = [(HOP, word.value)]
            fields = {HOP.lower(): word.value}
            world.gates.jobs[0].done(
                Result(Outcome.OK, response=UpstreamResponse(200, fields, b"", True, headers))
            )
            self.assertThat(connection.said, Equals(said))


class Turned(TestCase):
    def test_the_gate_lets_nothing_through_to_another_life(self) -> None:
        world = World()
        world.gate.heard(Beat("i-2", "p", "ready", 2, 0, 1), 1)
        self.assertThat([world.comes().said, world.comes("k").said], Equals(["away", "away"]))
        self.assertThat([world.own.jobs, world.asked], Equals([[], []]))

    def test_a_word_of_the_gate_itself_bears_the_id_of_its_call(self) -> None:
        world = World()
        world.gate.heard(Beat("i-2", "p", "ready", 2, 0, 1), 1)
        reply = world.comes(attempt="t7").reply
        assert reply is not None
        self.assertThat(b"X-Brackengate-Attempt-Id: t7\r\n" in reply.extra_headers, Equals(True))

    def test_an_answer_cannot_name_its_own_seal_as_a_header_of_one_connection(self) -> None:
        headers = [(b"Connection", b"x-brackengate-server-seal, x-one"), (b"X-One", b"1"), (SEAL, b"seal")]
        answer = UpstreamResponse(200, {name.lower(): value for name, value in headers}, b"", True, headers)
        self.assertThat(passed_on(answer).extra_headers, Equals(SEAL + b": seal\r\n"))

    def test_the_target_and_what_is_left_go_to_the_upstream_and_the_hop_does_not(self) -> None:
        world = World()
        world.comes()
        head = world.own.jobs[0].payload
        self.assertThat(b"X-Brackengate-Target-Instance: i-1\r\n" in head, Equals(True))
        self.assertThat(b"X-Brackengate-Deadline-Ms: 1000\r\n" in head, Equals(True))
        self.assertThat(HOP in head, Equals(False))

    def test_answers_that_are_no_success_of_this_request_reach_no_caller_as_one(self) -> None:
        head = b"GET / HTTP/1.1\r\nX-Brackengate-Attempt-Id: t1\r\n\r\n"
        seal, mine, other = (b"x-brackengate-server-seal", b"s"), (b"x-brackengate-attempt-id", b"t1"), b"t0"

        def outcome(status: int, *fields: tuple[bytes, bytes]) -> Outcome:
            return own_judge(head, UpstreamResponse(status, dict(fields), b"", True)).outcome

        self.assertThat(outcome(200, seal, mine), Equals(Outcome.OK))
        self.assertThat(outcome(200, seal, (mine[0], other)), Equals(Outcome.RESET))
        self.assertThat(outcome(200, mine), Equals(Outcome.ERROR))
        self.assertThat(outcome(200, seal), Equals(Outcome.ERROR))
        self.assertThat(outcome(503, mine, (b"x-brackengate-not-executed", b"1")), Equals(Outcome.REJECTED))
        self.assertThat(outcome(421, mine), Equals(Outcome.REJECTED))
        self.assertThat(outcome(421), Equals(Outcome.ERROR))  # nobody's: it says nothing of this request
        self.assertThat(outcome(421, (mine[0], other)), Equals(Outcome.RESET))
        unrun = (b"x-brackengate-not-executed", b"1")
        twice = [(b"X-Brackengate-Attempt-Id", b"t0"), mine, seal]
        told = UpstreamResponse(
            200, dict([mine, seal]), b"", True, twice
        )  # two ids, of which the last is ours
        self.assertThat(own_judge(head, told).outcome, Equals(Outcome.ERROR))
        self.assertThat(outcome(503, (mine[0], other), unrun), Equals(Outcome.RESET))
        self.assertThat(outcome(500, seal, (mine[0], other)), Equals(Outcome.RESET))
        for status in (408, 429, 503):  # only that header says that a call has not run
            self.assertThat(outcome(status, seal, mine), Equals(Outcome.ERROR))
            self.assertThat(outcome(status, mine, unrun), Equals(Outcome.REJECTED))
        self.assertThat(outcome(500, seal, mine), Equals(Outcome.OK))
