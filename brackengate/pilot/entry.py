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

from brackengate.http.message import Arrival, Bad
from brackengate.http.upstream import Answered
from brackengate.interface import Outcome
from brackengate.net.http import CallerConnection
from brackengate.net.node import Clock, Reply
from brackengate.net.sockets import Address
from brackengate.net.upstream import Job, Pool, Result
from brackengate.pilot.gate import Gate, Operation, Operations, State
from brackengate.pilot.hop import (
    ATTEMPT,
    DEADLINE,
    HOP,
    KEY,
    SEAL,
    TARGET,
    UNRUN,
    Said,
    Step,
    forwarded,
    hop_of,
    passed_on,
    step_of,
)
from brackengate.pilot.load import Load, Ticket
from brackengate.signals.door import MOST_BODY
from brackengate.signals.words import Ask, Claim, Unclaim

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
KEPT_BYTES = 24 << 20


def own_judge(payload: bytes, answer: Answered) -> Result:
    """What an upstream's answer means: whose it is stands in it."""
    asked = _value(payload, ATTEMPT)
    told = answer.fields.get(ATTEMPT.lower())
    if told is not None and asked is not None and told != asked:
        return Result(Outcome.RESET)  # another request's answer, in place of this one's
    if UNRUN.lower() in answer.fields or answer.status == 421:
        return Result(Outcome.REJECTED, answer=answer)
    if answer.status < 300 and (SEAL.lower() not in answer.fields or told != asked):
        return Result(Outcome.ERROR)  # a success that nobody has put a seal to
    return Result(Outcome.OK, answer=answer)


def _value(head: bytes, name: bytes) -> bytes | None:
    at = head.lower().find(b"\r\n" + name.lower() + b":")
    if at < 0 or at > head.find(b"\r\n\r\n"):
        return None
    start = at + len(name) + 3
    return head[start : head.index(b"\r\n", start)].strip()


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
    over: bool = False


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
        ask: Callable[[Ask, Callable[[Any], None], float], None],
        peers: Pool,
        address_of: Callable[[str], Address],
        life: str,
    ) -> None:
        """`pool`: to the upstream alone.  `peers`: to other pilots.  `me`: this machine's name among
        gates.  `life`: of this process, like no other's: a claim of an earlier one is not ours."""
        self._loop, self._clock, self._pool, self._gate = loop, clock, pool, gate
        self._me, self._application, self._ask = me, application, ask
        self._peers, self._address_of = peers, address_of
        self.load = Load()
        self._operations = Operations(window, KEPT_BYTES)
        self._life, self._count = life, 0
        self.visits: set[Visit] = set()

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        step = step_of(arrival.fields)
        left = arrival.fields.get(DEADLINE.lower(), b"")
        if step is None or not left.isdigit():
            raise Bad(400, "this door is for pilots")
        visit = Visit(arrival, connection, step, arrival.at + int(left) * 1000)
        connection.hold(partial(self._gone, visit))
        self.visits.add(visit)
        wait = (visit.deadline - self._clock.now()) / 1e6 + SLACK_S
        visit.timer = self._loop.call_later(max(0.0, wait), self._late, visit)
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
        visit.job = self._pool.start(
            beat.id,
            self._application,
            head + visit.arrival.body,
            partial(self._ran, visit),
            body=visit.arrival.stream,
        )
        if visit.operation is not None:  # it goes on without its caller, but not for ever
            wait = (visit.deadline - self._clock.now()) / 1e6 + HANGS_S
            self._loop.call_later(wait, visit.job.give_up, Outcome.TIMEOUT)

    def _ran(self, visit: Visit, result: Result) -> None:
        visit.job = None
        operation, answer = visit.operation, result.answer
        if visit.ticket is not None:
            self.load.ended(visit.ticket, self._clock.now(), result.outcome is Outcome.OK)
            visit.ticket = None
        if result.outcome is Outcome.OK and answer is not None:
            reply = passed_on(answer, drop=(HOP, UNRUN), add=b"%s: ran\r\n" % HOP)
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
        elif "gate" not in result:
            operation.state = State.UNRUN
            self._settle(operation)
        elif result["gate"] == self._me:
            operation.state = State.LOST  # claimed by an earlier life of this process
            self._settle(operation)
        else:
            operation.state, operation.holder = State.ELSEWHERE, result["gate"]
            self._settle(operation)

    def _waiting(self, operation: Operation) -> list[Visit]:
        waiters, operation.waiters = operation.waiters, []
        return [visit for visit in waiters if isinstance(visit, Visit) and not visit.over]

    def _settle(self, operation: Operation) -> None:
        """It has come to another state: those who wait hear of it."""
        for visit in self._waiting(operation):
            self._join(visit, operation)

    def _join(self, visit: Visit, operation: Operation) -> None:
        """Whatever is known of the operation, for a try of it."""
        log.debug("gate: join of %r: %s", operation.key, operation.state.name)
        state, now = operation.state, self._clock.now()
        if state is State.DONE and isinstance(operation.answer, Reply):
            self._answer(visit, _again(operation.answer, visit.arrival))
        elif state in (State.CLAIMING, State.RUNNING):
            operation.waiters.append(visit)
        elif state in (State.UNRUN, State.UNCLAIMED) and self._elsewhere(visit.step):
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
            answer = result.answer
            said = hop_of(answer.fields) if answer is not None else None
            if answer is not None and said is Said.RAN:
                self._answer(visit, passed_on(answer, drop=()))
            elif said in FREE:
                operation.state = State.UNCLAIMED
                self._say(visit, Said.AWAY)
            elif said is not None:
                self._say(visit, said)
            else:  # the other gate may have begun to run this very try
                unsent = result.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
                self._say(visit, Said.UNKNOWN if unsent else Said.BROKEN)

        visit.job = self._peers.start(
            name, address, head + visit.arrival.body, done, body=visit.arrival.stream
        )

    # --- answers

    def _answer(self, visit: Visit, reply: Reply) -> None:
        if visit.over:
            return
        self._end(visit)
        visit.connection.answer(reply)

    def _say(self, visit: Visit, said: Said, why: str = "") -> None:
        if not visit.over:
            status = 409 if said is Said.BUSY else 503
            log.debug("gate: %s: %s %s", visit.step.instance, said.name, why)
            self._answer(visit, Reply(status, extra=b"%s: %s\r\n" % (HOP, said.value)))

    def _late(self, visit: Visit) -> None:
        if visit.over:
            return
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


def _again(reply: Reply, arrival: Arrival) -> Reply:
    """The first try's answer for another try: only whose answer it is differs."""
    lines = [
        line for line in reply.extra.split(b"\r\n") if line and not line.lower().startswith(ATTEMPT.lower())
    ]
    asked = arrival.fields.get(ATTEMPT.lower())
    if asked is not None:
        lines.append(b"%s: %s" % (ATTEMPT, asked))
    return Reply(reply.status, reply.body, extra=b"".join(line + b"\r\n" for line in lines))
