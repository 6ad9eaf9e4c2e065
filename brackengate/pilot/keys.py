"""Keyed requests at a gate: claimed at the core before they run, and repeats answered as the first one was.

An operation runs once whatever is lost: under a claim that was granted to this life of this gate, and lifted
only where nothing has run.  A repeat gets the first one's answer: from here, or from the gate that has it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import Any

from brackengate.http.message import IncomingRequest
from brackengate.interface import Outcome
from brackengate.net.node import Clock, Reply
from brackengate.net.sockets import Address
from brackengate.net.upstream import Pool, Result
from brackengate.pilot.gate import Gate, Operation, Operations, State
from brackengate.pilot.hop import ATTEMPT, DEADLINE, HOP, KEY, Said, Step, forwarded, hop_of, passed_on
from brackengate.pilot.visit import Host, Visit
from brackengate.signals.words import Claim, Command, CommandDone, HeldBy, Unclaim

log = logging.getLogger("brackengate.gate")

CLAIM_SHARE = 0.5  # of a request's time, at the most, is spent on the claim of its key
CLAIM_S = 5.0
UNCLAIM_S = 1.0
KEPT_BYTES = 24 << 20  # of answers to operations; one of over MAX_ANSWER is passed on, and not kept
FREE = (
    Said.AWAY,
    Said.FULL,
    Said.SHED,
    Said.UNREACHED,
    Said.UNCLAIMED,
)  # said by the gate that had the claim


class Keys:
    """Keys of operations at one gate: their claims, their runs' answers, and repeats of them."""

    def __init__(
        self,
        host: Host,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        gate: Gate,
        me: str,
        window: int,
        ask: Callable[[Command, Callable[[Any], None], float], None],
        peers: Pool,
        address_of: Callable[[str], Address],
        life: str,
    ) -> None:
        """`me`, `life`: as of an `Entry`."""
        self._host, self._loop, self._clock, self._gate = host, loop, clock, gate
        self._me, self._ask, self._peers, self._address_of = me, ask, peers, address_of
        self._life, self._count = life, 0
        self.operations = Operations(window, KEPT_BYTES)

    def comes(self, visit: Visit) -> None:
        now = self._clock.now()
        key = visit.arrival.fields.get(KEY.lower(), b"").decode("latin-1")
        operation = self.operations.get(key, now)
        if operation is not None:
            self._join(visit, operation)
            return
        why = self._gate.admits(visit.step.instance, now)
        if visit.step.replay:
            self._host.say(visit, Said.UNKNOWN)  # of an earlier life of this process
        elif why:
            self._host.say(visit, Said.AWAY, why)
        elif not self._host.takes(visit):
            self._host.say(visit, Said.FULL)
        else:
            self._claim(self.operations.begin(key, "", now), visit)

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
            self._host.say(visit, Said.UNCLAIMED)

    def _claimed(self, operation: Operation, result: Any) -> None:
        log.debug("gate: claim of %r, attempt %s: %s", operation.key, operation.attempt, result)
        match result:
            case CommandDone():
                operation.state = State.UNRUN
            case HeldBy(owner) if owner == self._me:
                operation.state = State.LOST  # claimed by an earlier life of this process
            case HeldBy(owner):
                operation.state, operation.holder = State.ELSEWHERE, owner
            case _:  # no word in time, or none on the claim: it may stand
                operation.state = State.UNCLAIMED
                for visit in self._waiting(operation):
                    self._host.say(visit, Said.UNCLAIMED)
                return
        self.settle(operation)

    def _waiting(self, operation: Operation) -> list[Visit]:
        waiters, operation.waiters = operation.waiters, []
        visits = [visit for visit in waiters if isinstance(visit, Visit) and not visit.over]
        return [visit for visit in visits if not visit.connection.closed_by_caller()]

    def settle(self, operation: Operation) -> None:
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
                self._host.answer(visit, reply, why="the first try's answer")
        elif state in (State.CLAIMING, State.RUNNING):
            operation.waiters.append(visit)
        elif state in (State.UNRUN, State.UNCLAIMED) and (
            self._elsewhere(visit.step) or self.operations.outlived(operation, now)
        ):
            self.unclaim(visit, operation, Said.AWAY)
        elif state is State.UNRUN:
            beat = self._gate.beat
            why = self._gate.admits(
                visit.step.instance if not visit.step.replay or beat is None else beat.id, now
            )
            if why or now >= visit.deadline:
                self.unclaim(visit, operation, Said.AWAY)
            else:
                operation.state = State.RUNNING
                visit.operation = operation
                self._host.run(visit)
        elif state is State.UNCLAIMED:
            why = "" if visit.step.replay else self._gate.admits(visit.step.instance, now)
            if why:
                self._host.say(visit, Said.AWAY, why)
            else:
                self._claim(operation, visit)
        elif state is State.ELSEWHERE and not visit.step.replay:
            self._relay(visit, operation)
        else:
            self._host.say(visit, Said.UNKNOWN)

    def _elsewhere(self, step: Step) -> bool:
        """Whether a repeat is for another service: its route has moved since the key was claimed here."""
        beat = self._gate.beat
        return step.replay and beat is not None and step.route not in ("-", beat.plant)

    def unclaim(self, visit: Visit, operation: Operation, said: Said) -> None:
        """It has not run here: another gate may run it, once the claim is lifted."""
        operation.state = State.CLAIMING  # who comes meanwhile waits
        visit.operation = None

        def lifted(result: Any) -> None:
            operation.state = State.UNCLAIMED
            if result is not None:
                self.operations.renew(operation, self._clock.now())
            self._host.say(visit, said)
            for waiter in self._waiting(operation):
                self._host.say(waiter, Said.AWAY)

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
        self._peers.addresses[name] = address

        def done(result: Result) -> None:
            visit.job = None
            if self._host.passed(visit, result):
                return
            answer = result.response
            said = hop_of(answer.fields) if answer is not None else None
            if answer is not None and said is Said.RAN:
                self._host.answer(visit, passed_on(answer, drop=()), why=f"by the gate {operation.holder}")
            elif said in FREE:
                operation.state = State.UNCLAIMED  # SHED stays: an upstream was asked, which counts
                self._host.say(visit, Said.SHED if said is Said.SHED else Said.AWAY)
            elif said is not None:
                self._host.say(visit, said)
            else:  # the other gate may have begun to run this very try
                unsent = result.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
                self._host.say(visit, Said.UNKNOWN if unsent else Said.BROKEN)
            self._host.let_go(visit)

        visit.job = self._peers.start(
            name,
            address,
            head + visit.arrival.body,
            done,
            body=visit.arrival.stream,
            on_streaming=self._host.passes(visit, partial(passed_on, drop=())),
        )

    def _read_off(self, visit: Visit, reply: Reply) -> None:
        """A repeat's body that still comes: it is let go, since whoever sends it takes no success before its
        end."""
        stream = visit.arrival.stream
        assert stream is not None

        def wake() -> None:
            while stream.take() is not None:
                pass
            if stream.fully_taken:
                self._host.answer(visit, reply)

        if stream.open(wake):
            wake()
        else:
            self._host.say(visit, Said.UNKNOWN)


def _again(reply: Reply, arrival: IncomingRequest) -> Reply:
    """The first try's answer for another try: only whose answer it is differs."""
    lines = [
        line
        for line in reply.extra_headers.split(b"\r\n")
        if line and not line.lower().startswith(ATTEMPT.lower())
    ]
    asked = arrival.fields.get(ATTEMPT.lower())
    if asked is not None:
        lines.append(b"%s: %s" % (ATTEMPT, asked))
    return Reply(reply.status, reply.body, extra_headers=b"".join(line + b"\r\n" for line in lines))
