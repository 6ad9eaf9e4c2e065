"""The gate's carrier with a scripted core, upstream and callers: an operation runs once, promises hold.

A world of one machine: `loop` is asked for timers by hand, the core answers when a test says so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from testtools import TestCase
from testtools.matchers import Equals

from brackengate.http.body import AnswerStream, Body, ByteBudget
from brackengate.http.message import Arrival
from brackengate.http.upstream import Answered
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
    begun: Any = None
    written: bool = True
    given_up: Outcome | None = None

    def give_up(self, outcome: Outcome) -> None:
        if self.given_up is None:
            self.given_up = outcome
            self.done(Result(outcome))


class Pool:
    def __init__(self) -> None:
        self.wanted: dict[str, Any] = {}
        self.jobs: list[Job] = []

    def start(self, name: str, address: Any, payload: bytes, done: Any, begun: Any, **_: Any) -> Job:
        self.jobs.append(Job(payload, done, begun))
        return self.jobs[-1]


@dataclass
class Connection:
    reply: Reply | None = None
    gone: Callable[[], None] = field(default=lambda: None)
    sink: Any = None  # of a long answer
    caller_left: bool = False  # its caller has, and the loop has not met that

    def abandoned(self) -> bool:
        return self.caller_left

    def hold(self, gone: Callable[[], None]) -> None:
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
        lines = self.reply.extra.split(b"\r\n")
        return next(line.partition(b": ")[2].decode() for line in lines if line.startswith(HOP))


@dataclass
class Sink:
    ends: list[str] = field(default_factory=list)

    def finish(self) -> None:
        self.ends.append("finish")

    def cut(self) -> None:
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
            "life",
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
        arrival = Arrival(method, b"/a/", headers, b"x", True, self.clock.at, stream, fields=fields)
        connection = Connection(caller_left=left_already)
        self.ingress.begin(arrival, connection)  # type: ignore[arg-type]
        return connection

    def answer_command(self, result: Any) -> Any:
        """The core answers the oldest ask."""
        what, done = self.commands.pop(0)
        done(result)
        return what

    def answer_upstream(
        self, status: int = 200, outcome: Outcome = Outcome.OK, body: bytes = b"done"
    ) -> None:
        headers = [(b"X-Brackengate-Server-Seal", b"seal"), (b"X-Brackengate-Attempt-Id", b"t1")]
        fields = {name.lower(): value for name, value in headers}
        answer = Answered(status, fields, body, True, headers) if outcome is Outcome.OK else None
        self.upstream_pool.jobs.pop(0).done(Result(outcome, answer=answer))


OK = CommandDone()


class Keys(TestCase):
    def test_nothing_runs_before_its_claim_and_a_repeat_gets_the_first_answer(self) -> None:
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
        self.assertThat(b"X-Brackengate-Attempt-Id: t3\r\n" in third.reply.extra, Equals(True))
        self.assertThat([world.upstream_pool.jobs, world.commands], Equals([[], []]))

    def test_a_claim_without_an_answer_is_not_taken_for_granted(self) -> None:
        world = World()
        first = world.arrive("k")
        world.loop.run(0.6)  # half of its time: it is turned away, with a promise
        self.assertThat(first.hop_outcome, Equals("unclaimed"))
        before = world.answer_command(None)
        world.arrive("k", attempt="t2")
        self.assertThat(world.upstream_pool.jobs, Equals([]))
        after = world.commands[0][0]
        self.assertThat([type(after), after.replaces], Equals([Claim, before.attempt]))
        self.assertThat(after.attempt == before.attempt, Equals(False))
        world.answer_command(HeldBy("other", "x"))
        self.assertThat([world.upstream_pool.jobs, len(world.peer_pool.jobs)], Equals([[], 1]))

    def test_any_other_word_on_a_claim_is_no_grant(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(InvalidChange("what is asked is not known here"))
        self.assertThat([first.hop_outcome, world.upstream_pool.jobs], Equals(["unclaimed", []]))

    def test_a_claim_that_is_granted_late_runs_nothing_by_itself(self) -> None:
        world = World()
        world.arrive("k")
        world.loop.run(0.6)
        world.answer_command(OK)
        self.assertThat(world.upstream_pool.jobs, Equals([]))
        world.arrive("k", attempt="t2")  # whoever comes next runs under it
        self.assertThat([len(world.upstream_pool.jobs), world.commands], Equals([1, []]))

    def test_what_the_upstream_turned_away_is_free_for_another_gate(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(OK)
        world.answer_upstream(outcome=Outcome.REJECTED)
        self.assertThat(first.hop_outcome, Equals("nothing"))  # not before the claim is lifted
        self.assertThat(type(world.answer_command(OK)), Equals(Unclaim))
        self.assertThat(first.hop_outcome, Equals("shed"))
        world.arrive("k")
        self.assertThat(type(world.commands[0][0]), Equals(Claim))

    def test_a_repeat_whose_route_has_moved_away_is_not_run_here(self) -> None:
        """here:   claims k ... given up, not run            the claim is lifted
        there:                      k comes, route moved ->  relayed    -> away: it runs there
        """
        for route, runs in (("other", 0), ("p", 1), ("-", 1)):  # "-": said by an earlier program
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

    def test_a_claim_of_over_a_window_is_lifted_before_anything_runs_under_it(self) -> None:
        """The core holds it for two windows: a run that begins in the second would be guarded for less than
        one.

        0 s: claimed, and given up   61 s: a try comes -> lifted, turned away -> the next one claims anew
        """
        world = World()
        world.arrive("k", remaining_ms=200)
        world.loop.run(0.3)
        world.answer_command(OK)
        world.loop.run(61.0)
        second = world.arrive("k", attempt="t2")
        lifted = world.answer_command(OK)
        self.assertThat(
            [type(lifted), second.hop_outcome, world.upstream_pool.jobs], Equals([Unclaim, "away", []])
        )
        world.arrive("k", attempt="t3")
        again = world.answer_command(OK)
        self.assertThat([type(again), again.replaces], Equals([Claim, lifted.attempt]))  # sent late
        self.assertThat(len(world.upstream_pool.jobs), Equals(1))

    def test_what_is_kept_of_an_operation_ends_with_its_claim_also_behind_one_that_runs(self) -> None:
        held = OperationStore(60 * S, 1 << 20)
        held.begin("first", "a", 0).state = OperationState.RUNNING
        held.store_answer(held.begin("k", "b", 0), Reply(200), 0)
        self.assertThat(held.get("k", 119 * S) is None, Equals(False))
        self.assertThat([held.get("k", 121 * S), held.get("first", 121 * S) is None], Equals([None, False]))

    def test_nothing_runs_for_those_who_left_while_this_process_stood_still(self) -> None:
        world = World()
        self.assertThat(
            [world.arrive(left_already=True).hop_outcome, world.upstream_pool.jobs], Equals(["nothing", []])
        )
        first = world.arrive("k")
        first.caller_left = True
        world.answer_command(OK)
        self.assertThat(world.upstream_pool.jobs, Equals([]))
        world.arrive("k", attempt="t2")  # the claim stands: it runs under it
        self.assertThat([len(world.upstream_pool.jobs), world.commands], Equals([1, []]))

    def test_a_run_that_nobody_awaits_is_held_until_its_end(self) -> None:
        """A process that leaves waits for it: its answer is its repeats'."""
        world = World()
        first = world.arrive("k")
        world.answer_command(OK)
        first.gone()
        held = [world.ingress.pending_count()]
        world.answer_upstream()
        self.assertThat([*held, world.ingress.pending_count()], Equals([1, 0]))

    def test_a_run_that_broke_blocks_its_key(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(OK)
        world.answer_upstream(outcome=Outcome.RESET)
        second = world.arrive("k")
        self.assertThat(
            [first.hop_outcome, second.hop_outcome, world.upstream_pool.jobs],
            Equals(["broken", "unknown", []]),
        )

    def test_a_claim_of_an_earlier_life_of_this_pilot_runs_nothing(self) -> None:
        world = World()
        first = world.arrive("k")
        world.answer_command(HeldBy("me", "before"))
        replay = world.arrive("other", replay=True)
        self.assertThat(
            [first.hop_outcome, replay.hop_outcome, world.upstream_pool.jobs],
            Equals(["unknown", "unknown", []]),
        )

    def test_an_operation_goes_on_without_its_caller_and_is_lost_when_it_hangs(self) -> None:
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


class LongAnswers(TestCase):
    """One that has begun is not bound by the deadline, counts as held until its end, and is not kept."""

    def begun(self) -> tuple[World, Connection, Sink]:
        world = World()
        connection = world.arrive("k")
        connection.sink = Sink()
        world.answer_command(OK)
        head = Answered(200, {SEAL: b"seal"}, b"first", False, [(SEAL, b"seal")])
        sink = world.upstream_pool.jobs[0].begun(head, AnswerStream(1 << 21, lambda on: None, lambda: None))
        assert sink is connection.sink
        return world, connection, sink

    def test_it_goes_on_past_the_deadline_and_its_end_is_passed_on(self) -> None:
        for outcome, ends in ((Outcome.OK, "finish"), (Outcome.RESET, "cut"), (Outcome.CANCELLED, "cut")):
            world, connection, sink = self.begun()
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

    def test_what_tells_a_length_and_has_no_body_is_not_passed_on(self) -> None:
        world = World()
        world.arrive(method=b"HEAD")
        self.assertThat(world.upstream_pool.jobs[0].begun, Equals(None))

    def test_one_that_nobody_awaits_any_more_is_not_taken(self) -> None:
        world = World()
        connection = world.arrive("k")
        world.answer_command(OK)
        connection.gone()
        head = Answered(200, {SEAL: b"seal"}, b"first", False, [(SEAL, b"seal")])
        stream = AnswerStream(1 << 21, lambda on: None, lambda: None)
        self.assertThat(world.upstream_pool.jobs[0].begun(head, stream), Equals(None))
        world.upstream_pool.jobs[0].done(Result(Outcome.ERROR))
        self.assertThat([world.arrive("k").hop_outcome, len(world.ingress.requests)], Equals(["unknown", 0]))


class LongRequests(TestCase):
    def test_their_time_counts_from_their_bodys_end(self) -> None:
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
            world.loop.run(2.0)  # an operation goes on a while
            self.assertThat(world.upstream_pool.jobs[0].given_up, Equals(lost))


class Relays(TestCase):
    def relayed(self) -> tuple[World, Connection]:
        world = World()
        connection = world.arrive("k")
        world.answer_command(HeldBy("other", "x"))
        return world, connection

    def test_a_relay_that_broke_behind_its_request_promises_nothing(self) -> None:
        for outcome, hop_outcome in ((Outcome.RESET, "broken"), (Outcome.CONNECT_FAILED, "unknown")):
            world, connection = self.relayed()
            world.peer_pool.jobs[0].done(Result(outcome))
            self.assertThat(connection.hop_outcome, Equals(hop_outcome))

    def test_the_other_gates_answer_comes_back_and_its_turning_away_frees_the_key(self) -> None:
        for peer_outcome, hop_outcome in (
            (HopOutcome.RAN, "ran"),
            (HopOutcome.FULL, "away"),
            (HopOutcome.SHED, "shed"),  # an upstream was asked: that counts as sent
            (HopOutcome.BROKEN, "broken"),
            (HopOutcome.LATE, "late"),
        ):
            world, connection = self.relayed()
            headers = [(HOP, peer_outcome.value)]
            fields = {HOP.lower(): peer_outcome.value}
            world.peer_pool.jobs[0].done(Result(Outcome.OK, answer=Answered(200, fields, b"", True, headers)))
            self.assertThat(connection.hop_outcome, Equals(hop_outcome))


class Turned(TestCase):
    def test_the_gate_lets_nothing_through_to_another_life(self) -> None:
        world = World()
        world.admission.receive_heartbeat(Heartbeat("i-2", "p", "ready", 2, 0, 1), 1)
        self.assertThat([world.arrive().hop_outcome, world.arrive("k").hop_outcome], Equals(["away", "away"]))
        self.assertThat([world.upstream_pool.jobs, world.commands], Equals([[], []]))

    def test_a_word_of_the_gate_itself_bears_the_id_of_its_call(self) -> None:
        world = World()
        world.admission.receive_heartbeat(Heartbeat("i-2", "p", "ready", 2, 0, 1), 1)
        reply = world.arrive(attempt="t7").reply
        assert reply is not None
        self.assertThat(b"X-Brackengate-Attempt-Id: t7\r\n" in reply.extra, Equals(True))

    def test_an_answer_cannot_name_its_own_seal_as_a_header_of_one_connection(self) -> None:
        headers = [(b"Connection", b"x-brackengate-server-seal, x-one"), (b"X-One", b"1"), (SEAL, b"seal")]
        answer = Answered(200, {name.lower(): value for name, value in headers}, b"", True, headers)
        self.assertThat(forwarded_answer(answer).extra, Equals(SEAL + b": seal\r\n"))

    def test_the_target_and_what_is_left_go_to_the_upstream_and_the_hop_does_not(self) -> None:
        world = World()
        world.arrive()
        head = world.upstream_pool.jobs[0].payload
        self.assertThat(b"X-Brackengate-Target-Instance: i-1\r\n" in head, Equals(True))
        self.assertThat(b"X-Brackengate-Deadline-Ms: 1000\r\n" in head, Equals(True))
        self.assertThat(HOP in head, Equals(False))

    def test_answers_that_are_no_success_of_this_request_reach_no_caller_as_one(self) -> None:
        head = b"GET / HTTP/1.1\r\nX-Brackengate-Attempt-Id: t1\r\n\r\n"
        seal, mine, other = (b"x-brackengate-server-seal", b"s"), (b"x-brackengate-attempt-id", b"t1"), b"t0"

        def outcome(status: int, *fields: tuple[bytes, bytes]) -> Outcome:
            return classify_upstream_answer(head, Answered(status, dict(fields), b"", True)).outcome

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
        duplicated = Answered(200, dict([mine, seal]), b"", True, twice)  # two ids, of which the last is ours
        self.assertThat(classify_upstream_answer(head, duplicated).outcome, Equals(Outcome.ERROR))
        self.assertThat(outcome(503, (mine[0], other), unrun), Equals(Outcome.RESET))
        self.assertThat(outcome(500, seal, (mine[0], other)), Equals(Outcome.RESET))
        for status in (408, 429, 503):  # only that header says that a call has not run
            self.assertThat(outcome(status, seal, mine), Equals(Outcome.ERROR))
            self.assertThat(outcome(status, mine, unrun), Equals(Outcome.REJECTED))
        self.assertThat(outcome(500, seal, mine), Equals(Outcome.OK))
