"""The gate's carrier: requests from other pilots, through the gate, to the upstream on this machine.

Keyed requests are `keys.py`'s before they run.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from brackengate.http.body import MAX_UNSTREAMED_BYTES, ResponseSink, ResponseStream
from brackengate.http.message import IncomingRequest, RequestError
from brackengate.http.upstream import MAX_BUFFERED_RESPONSE_BYTES, UpstreamResponse
from brackengate.interface import Outcome
from brackengate.net.http import CallerConnection
from brackengate.net.node import Clock, Reply
from brackengate.net.sockets import Address
from brackengate.net.upstream import Job, Pool, Result, StreamAcceptor
from brackengate.pilot.gate import Gate, State
from brackengate.pilot.hop import (
    ATTEMPT,
    DEADLINE,
    HOP,
    KEY,
    TARGET,
    UNRUN,
    Said,
    forwarded,
    passed_on,
    step_of,
    turned_down,
)
from brackengate.pilot.keys import Keys
from brackengate.pilot.load import Load
from brackengate.pilot.visit import Visit
from brackengate.pilot.wake import ID, Wake
from brackengate.signals.door import MOST_BODY
from brackengate.signals.words import Command

log = logging.getLogger("brackengate.gate")

SLACK_S = 0.05  # behind a request's deadline, for its upstream to say so itself
HANGS_S = 2.0  # behind its deadline, an operation is taken for lost
RAN = b"%s: %s\r\n" % (HOP, Said.RAN.value)


class Entry:
    """The front of `Inbound`."""

    max_body_bytes = MOST_BODY

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
        self._application = application
        self._wake = wake or Wake()
        self.load = Load()
        self._keys = Keys(self, loop, clock, gate, me, window, ask, peers, address_of, life)
        self.visits: set[Visit] = set()
        self._running: set[Visit] = set()  # whose job the upstream has, also where nobody awaits it any more

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        step = step_of(arrival.fields)
        left = arrival.fields.get(DEADLINE.lower(), b"")
        if step is None or not left.isdigit():
            raise RequestError(400, "this door is for pilots")
        if connection.closed_by_caller():
            return
        visit = Visit(arrival, connection, step, arrival.received_at + int(left) * 1000)
        connection.expect_answer(partial(self._gone, visit))
        self.visits.add(visit)
        self._await(visit)
        if arrival.stream is not None:
            arrival.stream.on_end = partial(self._body_ended, visit, visit.deadline - arrival.received_at)
        if step.keyed:
            self._keys.comes(visit)
        else:
            why = self._gate.admits(step.instance, self._clock.now())
            if why:
                self.say(visit, Said.AWAY, why)
            elif not self.takes(visit):
                self.say(visit, Said.FULL)
            else:
                self.run(visit)

    def held(self) -> int:
        """What would be lost if this process ended now."""
        return len(self.visits | self._running)

    def takes(self, visit: Visit) -> bool:
        """Whether it would be answered in time here, as far as that can be told."""
        if self._gate.beat is not None:
            self.load.slots = max(1, self._gate.beat.capacity)
        now, step = self._clock.now(), visit.step
        left = visit.deadline - now
        return self.load.takes(step.route, step.rank, step.aim_ms * 1000, left, step.again, now)

    # --- the upstream

    def run(self, visit: Visit) -> None:
        beat = self._gate.beat
        assert beat is not None
        if log.isEnabledFor(logging.DEBUG):
            fields, key = visit.arrival.fields, visit.operation.key if visit.operation else ""
            log.debug("gate: %s runs at %s, key %r", fields.get(ATTEMPT.lower()), beat.id, key)
        left = max(1, (visit.deadline - self._clock.now()) // 1000)
        head = forwarded(visit.arrival, drop=(HOP, DEADLINE, TARGET))
        head += b"%s: %s\r\n%s: %d\r\n\r\n" % (TARGET, beat.id.encode(), DEADLINE, left)
        visit.ticket = self.load.sent(visit.step.route, self._clock.now())
        self._pool.addresses = {beat.id: self._application}
        self._running.add(visit)
        visit.job = self._pool.start(
            beat.id,
            self._application,
            head + visit.arrival.body,
            partial(self._ran, visit),
            body=visit.arrival.stream,
            on_streaming=self.passes(visit, partial(passed_on, drop=(HOP, UNRUN), add=RAN)),
            unstreamed_bytes=MAX_UNSTREAMED_BYTES if visit.operation is None else MAX_BUFFERED_RESPONSE_BYTES,
            call_id=visit.arrival.fields.get(ID, b""),
            still_wanted=partial(self._wanted, visit),
        )
        if visit.operation is not None and not visit.open:
            self._bound(visit.job, visit)

    def _wanted(self, visit: Visit) -> bool:
        """Whether somebody still awaits it; asked before it is sent, in case this process stood still."""
        in_time = visit.open or self._clock.now() < visit.deadline
        return in_time and not visit.over and not visit.connection.closed_by_caller()

    def _bound(self, job: Job, visit: Visit) -> None:
        """An operation goes on without its caller, but not for ever."""

        def hangs() -> None:
            if visit.sink is None:  # an answer that has begun goes on for as long as it is given and taken
                job.give_up(Outcome.TIMEOUT)

        self._loop.call_later((visit.deadline - self._clock.now()) / 1e6 + HANGS_S, hangs)

    def _ran(self, visit: Visit, result: Result) -> None:
        visit.job = None
        self._running.discard(visit)
        operation, answer = visit.operation, result.response
        self._unload(visit, result.outcome is Outcome.OK)
        if self.passed(visit, result):
            return
        if result.outcome is Outcome.OK and answer is not None:
            reply = passed_on(answer, drop=(HOP, UNRUN), add=RAN)
            if operation is not None:
                self._keys.operations.keep(operation, reply, len(reply.body) + len(reply.extra_headers))
            self.answer(visit, reply)
        elif result.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            said = Said.SHED if result.outcome is Outcome.REJECTED else Said.UNREACHED
            if operation is not None:
                self._keys.unclaim(visit, operation, said)
            else:
                self.say(visit, said)
        else:
            if operation is not None:
                operation.state = State.LOST
            broken = result.outcome is Outcome.RESET
            self.say(visit, Said.BROKEN if broken else Said.SPOILT)
        if operation is not None:
            self._keys.settle(operation)
        self.let_go(visit)

    def _unload(self, visit: Visit, ran: bool) -> None:
        if visit.ticket is not None:
            self.load.ended(visit.ticket, self._clock.now(), ran)
            visit.ticket = None

    # --- long bodies

    def _body_ended(self, visit: Visit, limit: int) -> None:
        """A request that came in pieces is whole: its time counts from here.  Or its rest will not come."""
        stream, job = visit.arrival.stream, visit.job
        assert stream is not None
        if stream.truncated:
            self._end(visit)
            if job is not None and not job.written:
                job.give_up(Outcome.CONNECT_FAILED)  # what is not written whole has not run
        elif not visit.over:
            visit.deadline = self._clock.now() + limit
            self._await(visit)
            if visit.operation is not None and job is not None:
                self._bound(job, visit)

    def passes(self, visit: Visit, made: Callable[[UpstreamResponse], Reply]) -> StreamAcceptor | None:
        """Who takes a long answer; none where a length is told and no body follows.  `made`: what goes back
        of its head."""
        return None if visit.arrival.method == b"HEAD" else partial(self._begun, visit, made)

    def _begun(
        self,
        visit: Visit,
        made: Callable[[UpstreamResponse], Reply],
        head: UpstreamResponse,
        stream: ResponseStream,
    ) -> ResponseSink | None:
        """A long answer's head and first bytes are there: it is the caller's from here on.

        It is not kept: of its operation nobody can be told any more than that it has run.
        """
        self._unload(visit, True)
        operation = visit.operation
        if operation is not None:
            operation.state = State.LOST
            self._keys.settle(operation)
        if visit.over:
            return None
        reply = made(head)
        reply.stream = stream
        self.answer(visit, reply)
        visit.sink = stream.sink
        if visit.sink is not None:
            self.visits.add(visit)  # until its last byte
        return visit.sink

    def passed(self, visit: Visit, result: Result) -> bool:
        """Whether its answer had begun; then this is its end."""
        sink, visit.sink = visit.sink, None
        if sink is None:
            return False
        (sink.finish if result.outcome is Outcome.OK else sink.truncate)()
        self._end(visit)
        return True

    def let_go(self, visit: Visit) -> None:
        """Nobody will read its body any more: what is held of it counts."""
        if visit.over and visit.job is None and visit.arrival.stream is not None:
            visit.arrival.stream.truncate()

    # --- answers

    def answer(self, visit: Visit, reply: Reply, said: Said = Said.RAN, why: str = "") -> None:
        if visit.over:
            return
        self._end(visit)
        fields, at, step = visit.arrival.fields, visit.arrival.received_at, visit.step
        key = fields.get(KEY.lower(), b"") if step.keyed else b""
        took = self._clock.now() - at
        self._wake.visited(fields.get(ID, b""), at, took, step.route, step.instance, key, said, why)
        visit.connection.answer(reply)

    def say(self, visit: Visit, said: Said, why: str = "") -> None:
        if not visit.over:
            status = 409 if said is Said.BUSY else 503
            log.debug("gate: %s: %s %s", visit.step.instance, said.name, why)
            self.answer(visit, turned_down(visit.arrival, status, said), said, why)

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
        self.say(visit, Said.BUSY if waits else Said.LATE)
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
        self.let_go(visit)
