"""The gate's carrier: requests from other pilots, through the gate, to the upstream on this machine.

Keyed requests are claimed at the core before they are passed on, so that their operation runs once whatever
is lost. A repeat gets the first one's answer: from here, or from the gate that has it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from brackengate.http.body import WHOLE, AnswerSink, AnswerStream
from brackengate.http.message import Arrival, Bad
from brackengate.http.upstream import MAX_ANSWER, Answered
from brackengate.interface import Outcome
from brackengate.net.http import CallerConnection
from brackengate.net.node import Clock, Reply
from brackengate.net.sockets import Address
from brackengate.net.upstream import Begun, Job, Pool, Result
from brackengate.pilot.gate import Gate, Operation, Operations, State
from brackengate.pilot.hop import (
    ATTEMPT,
    DEADLINE,
    HOP,
    KEY,
    TARGET,
    UNRUN,
    Said,
    Step,
    forwarded,
    hop_of,
    passed_on,
    step_of,
    turned_down,
)
from brackengate.pilot.load import Load, Ticket
from brackengate.pilot.wake import ID, Wake
from brackengate.signals.door import MOST_BODY
from brackengate.signals.words import Claim, Command, HeldBy, Unclaim

log = logging.getLogger("brackengate.gate")

CLAIM_SHARE = 0.5  # of a request's time, at the most, is spent on the claim of its key
CLAIM_S = 5.0
UNCLAIM_S = 1.0
SLACK_S = 0.05  # behind a request's deadline, for its upstream to say so itself
HANGS_S = 2.0  # behind its deadline, an operation is taken for lost
FREE = (
    Said.AWAY,
    Said.FULL,
    Said.SHED,
    Said.UNREACHED,
    Said.UNCLAIMED,
)  # said by the gate that had the claim
RAN = b"%s: %s\r\n" % (HOP, Said.RAN.value)
KEPT_BYTES = 24 << 20  # of answers to operations; one of over MAX_ANSWER is passed on, and not kept


@dataclass(slots=True, eq=False)
class Visit:
    """One request at the gate, until it is answered."""

    arrival: Arrival
    connection: CallerConnection
    step: Step
    deadline: int
    timer: asyncio.TimerHandle | None = None
    job: Job | None = None
    operation: Operation | None = None
    ticket: Ticket | None = None
    sink: AnswerSink | None = None  # once a long answer is passed on
    over: bool = False  # it is answered, or its answer has begun, or nobody awaits one

    @property
    def open(self) -> bool:
        """Whether its body is still coming."""
        stream = self.arrival.stream
        return stream is not None and not stream.whole


class Entry:
    """The front of `Inbound`."""

    most_body = MOST_BODY

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        pool: Pool,
        gate: Gate,
        me: str,
        application: Address,
        window: int,
        ask: Callable[[Command, Callable[[Any], None], float], None],
        peers: Pool,
        address_of: Callable[[str], Address],
        life: str,
        wake: Wake | None = None,
    ) -> None:
        """`pool`: to the upstream alone.  `peers`: to other pilots.  `me`: this machine's name among
        gates.  `life`: of this process, like no other's: a claim of an earlier one is not ours."""
        self._loop, self._clock, self._pool, self._gate = loop, clock, pool, gate
        self._me, self._application, self._ask = me, application, ask
        self._peers, self._address_of = peers, address_of
        self._wake = wake or Wake()
        self.load = Load()
        self._operations = Operations(window, KEPT_BYTES)
        self._life, self._count = life, 0
        self.visits: set[Visit] = set()
        self._running: set[Visit] = set()  # whose job the upstream has, also where nobody awaits it any more

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        step = step_of(arrival.fields)
        left = arrival.fields.get(DEADLINE.lower(), b"")
        if step is None or not left.isdigit():
            raise Bad(400, "this door is for pilots")
        if connection.abandoned():
            return
        visit = Visit(arrival, connection, step, arrival.at + int(left) * 1000)
        connection.hold(partial(self._gone, visit))
        self.visits.add(visit)
        self._await(visit)
        if arrival.stream is not None:
            arrival.stream.on_end = partial(self._body_ended, visit, visit.deadline - arrival.at)
        if step.keyed:
            self._keyed(visit)
        else:
            why = self._gate.admits(step.instance, self._clock.now())
            if why:
                self._say(visit, Said.AWAY, why)
            elif not self._takes(visit):
                self._say(visit, Said.FULL)
            else:
                self._run(visit)

    def held(self) -> int:
        """What would be lost if this process ended now."""
        return len(self.visits | self._running)

    def _takes(self, visit: Visit) -> bool:
        """Whether it would be answered in time here, as far as that can be told."""
        if self._gate.beat is not None:
            self.load.slots = max(1, self._gate.beat.capacity)
        now, step = self._clock.now(), visit.step
        left = visit.deadline - now
        return self.load.takes(step.route, step.rank, step.aim_ms * 1000, left, step.again, now)

    # --- the upstream

    def _run(self, visit: Visit) -> None:
        beat = self._gate.beat
        assert beat is not None
        if log.isEnabledFor(logging.DEBUG):
            fields, key = visit.arrival.fields, visit.operation.key if visit.operation else ""
            log.debug("gate: %s runs at %s, key %r", fields.get(ATTEMPT.lower()), beat.id, key)
        left = max(1, (visit.deadline - self._clock.now()) // 1000)
        head = forwarded(visit.arrival, drop=(HOP, DEADLINE, TARGET))
        head += b"%s: %s\r\n%s: %d\r\n\r\n" % (TARGET, beat.id.encode(), DEADLINE, left)
        visit.ticket = self.load.sent(visit.step.route, self._clock.now())
        self._pool.wanted = {beat.id: self._application}
        self._running.add(visit)
        visit.job = self._pool.start(
            beat.id,
            self._application,
            head + visit.arrival.body,
            partial(self._ran, visit),
            body=visit.arrival.stream,
            begun=self._passes(visit, partial(passed_on, drop=(HOP, UNRUN), add=RAN)),
            whole=WHOLE if visit.operation is None else MAX_ANSWER,
            call=visit.arrival.fields.get(ID, b""),
            wanted=partial(self._wanted, visit),
        )
        if visit.operation is not None and not visit.open:
            self._bound(visit.job, visit)

    def _wanted(self, visit: Visit) -> bool:
        """Whether somebody still awaits it; asked before it is sent, in case this process stood still."""
        in_time = visit.open or self._clock.now() < visit.deadline
        return in_time and not visit.over and not visit.connection.abandoned()

    def _bound(self, job: Job, visit: Visit) -> None:
        """An operation goes on without its caller, but not for ever."""

        def hangs() -> None:
            if visit.sink is None:  # an answer that has begun goes on for as long as it is given and taken
                job.give_up(Outcome.TIMEOUT)

        self._loop.call_later((visit.deadline - self._clock.now()) / 1e6 + HANGS_S, hangs)

    def _ran(self, visit: Visit, result: Result) -> None:
        visit.job = None
        self._running.discard(visit)
        operation, answer = visit.operation, result.answer
        self._unload(visit, result.outcome is Outcome.OK)
        if self._passed(visit, result):
            return
        if result.outcome is Outcome.OK and answer is not None:
            reply = passed_on(answer, drop=(HOP, UNRUN), add=RAN)
            if operation is not None:
                self._operations.keep(operation, reply, len(reply.body) + len(reply.extra))
            self._answer(visit, reply)
        elif result.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            said = Said.SHED if result.outcome is Outcome.REJECTED else Said.UNREACHED
            if operation is not None:
                self._unclaim(visit, operation, said)
            else:
                self._say(visit, said)
        else:
            if operation is not None:
                operation.state = State.LOST
            broken = result.outcome is Outcome.RESET
            self._say(visit, Said.BROKEN if broken else Said.SPOILT)
        if operation is not None:
            self._settle(operation)
        self._let_go(visit)

    def _unload(self, visit: Visit, ran: bool) -> None:
        if visit.ticket is not None:
            self.load.ended(visit.ticket, self._clock.now(), ran)
            visit.ticket = None

    # --- long bodies

    def _body_ended(self, visit: Visit, limit: int) -> None:
        """A request that came in pieces is whole: its time counts from here.  Or its rest will not come."""
        stream, job = visit.arrival.stream, visit.job
        assert stream is not None
        if stream.cut:
            self._end(visit)
            if job is not None and not job.written:
                job.give_up(Outcome.CONNECT_FAILED)  # what is not written whole has not run
        elif not visit.over:
            visit.deadline = self._clock.now() + limit
            self._await(visit)
            if visit.operation is not None and job is not None:
                self._bound(job, visit)

    def _passes(self, visit: Visit, made: Callable[[Answered], Reply]) -> Begun | None:
        """Who takes a long answer; none where a length is told and no body follows.  `made`: what goes back
        of its head."""
        return None if visit.arrival.method == b"HEAD" else partial(self._begun, visit, made)

    def _begun(
        self, visit: Visit, made: Callable[[Answered], Reply], head: Answered, stream: AnswerStream
    ) -> AnswerSink | None:
        """A long answer's head and first bytes are there: it is the caller's from here on.

        It is not kept: of its operation nobody can be told any more than that it has run.
        """
        self._unload(visit, True)
        operation = visit.operation
        if operation is not None:
            operation.state = State.LOST
            self._settle(operation)
        if visit.over:
            return None
        reply = made(head)
        reply.stream = stream
        self._answer(visit, reply)
        visit.sink = stream.sink
        if visit.sink is not None:
            self.visits.add(visit)  # until its last byte
        return visit.sink

    def _passed(self, visit: Visit, result: Result) -> bool:
        """Whether its answer had begun; then this is its end."""
        sink, visit.sink = visit.sink, None
        if sink is None:
            return False
        (sink.finish if result.outcome is Outcome.OK else sink.cut)()
        self._end(visit)
        return True

    def _read_off(self, visit: Visit, reply: Reply) -> None:
        """A repeat's body that still comes: it is let go, since whoever sends it takes no success before its
        end."""
        stream = visit.arrival.stream
        assert stream is not None

        def wake() -> None:
            while stream.take() is not None:
                pass
            if stream.over:
                self._answer(visit, reply)

        if stream.open(wake):
            wake()
        else:
            self._say(visit, Said.UNKNOWN)

    def _let_go(self, visit: Visit) -> None:
        """Nobody will read its body any more: what is held of it counts."""
        if visit.over and visit.job is None and visit.arrival.stream is not None:
            visit.arrival.stream.cut_off()

    # --- keys

    def _keyed(self, visit: Visit) -> None:
        now = self._clock.now()
        key = visit.arrival.fields.get(KEY.lower(), b"").decode("latin-1")
        operation = self._operations.get(key, now)
        if operation is not None:
            self._join(visit, operation)
            return
        why = self._gate.admits(visit.step.instance, now)
        if visit.step.replay:
            self._say(visit, Said.UNKNOWN)  # of an earlier life of this process
        elif why:
            self._say(visit, Said.AWAY, why)
        elif not self._takes(visit):
            self._say(visit, Said.FULL)
        else:
            self._claim(self._operations.begin(key, "", now), visit)

    def _claim(self, operation: Operation, visit: Visit) -> None:
        before, self._count = operation.attempt, self._count + 1
        operation.state, operation.attempt = State.CLAIMING, f"{self._life}.{self._count}"
        operation.waiters.append(visit)
        claim = Claim(operation.key, self._me, operation.attempt, before)
        self._ask(claim, partial(self._claimed, operation), CLAIM_S)
        wait = (visit.deadline - self._clock.now()) / 1e6 * CLAIM_SHARE
        self._loop.call_later(wait, self._claim_late, operation, visit)

    def _claim_late(self, operation: Operation, visit: Visit) -> None:
        if operation.state is State.CLAIMING and not visit.over:
            self._say(visit, Said.UNCLAIMED)

    def _claimed(self, operation: Operation, result: Any) -> None:
        log.debug("gate: claim of %r, attempt %s: %s", operation.key, operation.attempt, result)
        if result is None:
            operation.state = State.UNCLAIMED
            for visit in self._waiting(operation):
                self._say(visit, Said.UNCLAIMED)
            return
        if not isinstance(result, HeldBy):
            operation.state = State.UNRUN
        elif result.owner == self._me:
            operation.state = State.LOST  # claimed by an earlier life of this process
        else:
            operation.state, operation.holder = State.ELSEWHERE, result.owner
        self._settle(operation)

    def _waiting(self, operation: Operation) -> list[Visit]:
        waiters, operation.waiters = operation.waiters, []
        visits = [visit for visit in waiters if isinstance(visit, Visit) and not visit.over]
        return [visit for visit in visits if not visit.connection.abandoned()]

    def _settle(self, operation: Operation) -> None:
        """It has come to another state: those who wait hear of it."""
        for visit in self._waiting(operation):
            self._join(visit, operation)

    def _join(self, visit: Visit, operation: Operation) -> None:
        """Whatever is known of the operation, for a try of it."""
        log.debug("gate: join of %r: %s", operation.key, operation.state.name)
        state, now = operation.state, self._clock.now()
        if state is State.DONE and isinstance(operation.answer, Reply):
            reply = _again(operation.answer, visit.arrival)
            if visit.open:
                self._read_off(visit, reply)
            else:
                self._answer(visit, reply, why="the first try's answer")
        elif state in (State.CLAIMING, State.RUNNING):
            operation.waiters.append(visit)
        elif state in (State.UNRUN, State.UNCLAIMED) and (
            self._elsewhere(visit.step) or self._operations.outlived(operation, now)
        ):
            self._unclaim(visit, operation, Said.AWAY)
        elif state is State.UNRUN:
            beat = self._gate.beat
            why = self._gate.admits(
                visit.step.instance if not visit.step.replay or beat is None else beat.id, now
            )
            if why or now >= visit.deadline:
                self._unclaim(visit, operation, Said.AWAY)
            else:
                operation.state = State.RUNNING
                visit.operation = operation
                self._run(visit)
        elif state is State.UNCLAIMED:
            why = "" if visit.step.replay else self._gate.admits(visit.step.instance, now)
            if why:
                self._say(visit, Said.AWAY, why)
            else:
                self._claim(operation, visit)
        elif state is State.ELSEWHERE and not visit.step.replay:
            self._relay(visit, operation)
        else:
            self._say(visit, Said.UNKNOWN)

    def _elsewhere(self, step: Step) -> bool:
        """Whether a repeat is for another service: its route has moved since the key was claimed here."""
        beat = self._gate.beat
        return step.replay and beat is not None and step.route not in ("-", beat.plant)

    def _unclaim(self, visit: Visit, operation: Operation, said: Said) -> None:
        """It has not run here: another gate may run it, once the claim is lifted."""
        operation.state = State.CLAIMING  # who comes meanwhile waits
        visit.operation = None

        def lifted(result: Any) -> None:
            operation.state = State.UNCLAIMED
            if result is not None:
                self._operations.drop(operation)  # nothing is left of it: the next try claims anew
            self._say(visit, said)
            for waiter in self._waiting(operation):
                self._say(waiter, Said.AWAY)

        self._ask(Unclaim(operation.key, self._me, operation.attempt), lifted, UNCLAIM_S)

    def _relay(self, visit: Visit, operation: Operation) -> None:
        """The gate that holds the key has the answer, or will have it."""
        address = self._address_of(operation.holder)
        left = max(1, (visit.deadline - self._clock.now()) // 1000)
        service = self._gate.beat.plant if self._gate.beat is not None else "-"
        step = Step(visit.step.instance, True, visit.step.number, replay=True, route=service)
        head = forwarded(visit.arrival, drop=(HOP, DEADLINE))
        head += b"%s%s: %d\r\n\r\n" % (step.lines(), DEADLINE, left)
        name = f"gate {operation.holder}"
        self._peers.wanted[name] = address

        def done(result: Result) -> None:
            visit.job = None
            if self._passed(visit, result):
                return
            answer = result.answer
            said = hop_of(answer.fields) if answer is not None else None
            if answer is not None and said is Said.RAN:
                self._answer(visit, passed_on(answer, drop=()), why=f"by the gate {operation.holder}")
            elif said in FREE:
                operation.state = State.UNCLAIMED  # SHED stays: an upstream was asked, which counts
                self._say(visit, Said.SHED if said is Said.SHED else Said.AWAY)
            elif said is not None:
                self._say(visit, said)
            else:  # the other gate may have begun to run this very try
                unsent = result.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
                self._say(visit, Said.UNKNOWN if unsent else Said.BROKEN)
            self._let_go(visit)

        visit.job = self._peers.start(
            name,
            address,
            head + visit.arrival.body,
            done,
            body=visit.arrival.stream,
            begun=self._passes(visit, partial(passed_on, drop=())),
        )

    # --- answers

    def _answer(self, visit: Visit, reply: Reply, said: Said = Said.RAN, why: str = "") -> None:
        if visit.over:
            return
        self._end(visit)
        fields, at, step = visit.arrival.fields, visit.arrival.at, visit.step
        key = fields.get(KEY.lower(), b"") if step.keyed else b""
        took = self._clock.now() - at
        self._wake.visited(fields.get(ID, b""), at, took, step.route, step.instance, key, said, why)
        visit.connection.answer(reply)

    def _say(self, visit: Visit, said: Said, why: str = "") -> None:
        if not visit.over:
            status = 409 if said is Said.BUSY else 503
            log.debug("gate: %s: %s %s", visit.step.instance, said.name, why)
            self._answer(visit, turned_down(visit.arrival, status, said), said, why)

    def _await(self, visit: Visit) -> None:
        if visit.timer is not None:
            visit.timer.cancel()
        wait = (visit.deadline - self._clock.now()) / 1e6 + SLACK_S
        visit.timer = self._loop.call_later(max(0.0, wait), self._late, visit)

    def _late(self, visit: Visit) -> None:
        if visit.over or (visit.open and visit.job is not None):
            return  # the second: its time counts from its body's end
        operation = visit.operation
        waits = operation is None and visit.step.keyed
        self._say(visit, Said.BUSY if waits else Said.LATE)
        if visit.job is not None and operation is None:
            visit.job.give_up(Outcome.CANCELLED)

    def _gone(self, visit: Visit) -> None:
        """Nobody awaits its answer.  An operation goes on: its answer is its repeats'."""
        self._end(visit)
        if visit.job is not None and visit.operation is None:
            visit.job.give_up(Outcome.CANCELLED)

    def _end(self, visit: Visit) -> None:
        visit.over = True
        if visit.timer is not None:
            visit.timer.cancel()
        self.visits.discard(visit)
        self._let_go(visit)


def _again(reply: Reply, arrival: Arrival) -> Reply:
    """The first try's answer for another try: only whose answer it is differs."""
    lines = [
        line for line in reply.extra.split(b"\r\n") if line and not line.lower().startswith(ATTEMPT.lower())
    ]
    asked = arrival.fields.get(ATTEMPT.lower())
    if asked is not None:
        lines.append(b"%s: %s" % (ATTEMPT, asked))
    return Reply(reply.status, reply.body, extra=b"".join(line + b"\r\n" for line in lines))
