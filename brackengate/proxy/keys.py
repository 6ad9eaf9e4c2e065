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

from brackengate.http.message import Arrival
from brackengate.interface import Outcome
from brackengate.net.node import Clock, Reply
from brackengate.net.sockets import Address
from brackengate.net.upstream import Pool, Result
from brackengate.protocol.messages import Claim, Command, CommandDone, HeldBy, Unclaim
from brackengate.proxy.admission import Admission, Operation, OperationState, OperationStore
from brackengate.proxy.hop_headers import (
    ATTEMPT_ID,
    DEADLINE,
    HOP,
    OPERATION_KEY,
    HopInfo,
    HopOutcome,
    forwarded_answer,
    forwarded_head,
    parse_hop_outcome,
)
from brackengate.proxy.ingress_request import IngressRequest, RequestHandler

log = logging.getLogger("brackengate.gate")

MAX_CLAIM_TIME_SHARE = 0.5  # of a request's time, at the most, is spent on the claim of its key
CLAIM_TIMEOUT_S = 5.0
UNCLAIM_TIMEOUT_S = 1.0
MAX_KEPT_ANSWER_BYTES = (
    24 << 20
)  # of answers to operations; one of over MAX_ANSWER is passed on, and not kept
NOT_RUN_OUTCOMES = (
    HopOutcome.AWAY,
    HopOutcome.FULL,
    HopOutcome.SHED,
    HopOutcome.UNREACHED,
    HopOutcome.UNCLAIMED,
)  # said by the gate that had the claim


class KeyedRequests:
    """Keys of operations at one gate: their claims, their runs' answers, and repeats of them."""

    def __init__(
        self,
        handler: RequestHandler,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        admission: Admission,
        machine: str,
        claim_window: int,
        send_command: Callable[[Command, Callable[[Any], None], float], None],
        peer_pool: Pool,
        address_of: Callable[[str], Address],
        incarnation: str,
    ) -> None:
        """`me`, `life`: as of an `Entry`."""
        self._handler, self._loop, self._clock, self._admission = handler, loop, clock, admission
        self._machine, self._send_command, self._peer_pool, self._address_of = (
            machine,
            send_command,
            peer_pool,
            address_of,
        )
        self._incarnation, self._count = incarnation, 0
        self.operations = OperationStore(claim_window, MAX_KEPT_ANSWER_BYTES)

    def begin(self, request: IngressRequest) -> None:
        now = self._clock.now()
        key = request.arrival.fields.get(OPERATION_KEY.lower(), b"").decode("latin-1")
        operation = self.operations.get(key, now)
        if operation is not None:
            self._resolve(request, operation)
            return
        reason = self._admission.rejection_reason(request.hop.instance, now)
        if request.hop.replay:
            self._handler.answer_outcome(request, HopOutcome.UNKNOWN)  # of an earlier life of this process
        elif reason:
            self._handler.answer_outcome(request, HopOutcome.AWAY, reason)
        elif not self._handler.accepts(request):
            self._handler.answer_outcome(request, HopOutcome.FULL)
        else:
            self._claim(self.operations.begin(key, "", now), request)

    def _claim(self, operation: Operation, request: IngressRequest) -> None:
        before, self._count = operation.attempt, self._count + 1
        operation.state, operation.attempt = OperationState.CLAIMING, f"{self._incarnation}.{self._count}"
        operation.waiters.append(request)
        claim = Claim(operation.key, self._machine, operation.attempt, before)
        self._send_command(claim, partial(self._on_claim_result, operation), CLAIM_TIMEOUT_S)
        wait = (request.deadline - self._clock.now()) / 1e6 * MAX_CLAIM_TIME_SHARE
        self._loop.call_later(wait, self._on_claim_timeout, operation, request)

    def _on_claim_timeout(self, operation: Operation, request: IngressRequest) -> None:
        if operation.state is OperationState.CLAIMING and not request.finished:
            self._handler.answer_outcome(request, HopOutcome.UNCLAIMED)

    def _on_claim_result(self, operation: Operation, result: Any) -> None:
        log.debug("gate: claim of %r, attempt %s: %s", operation.key, operation.attempt, result)
        match result:
            case CommandDone():
                operation.state = OperationState.CLAIMED
            case HeldBy(owner) if owner == self._machine:
                operation.state = OperationState.OUTCOME_UNKNOWN  # claimed by an earlier life of this process
            case HeldBy(owner):
                operation.state, operation.holder = OperationState.ELSEWHERE, owner
            case _:  # no word in time, or none on the claim: it may stand
                operation.state = OperationState.UNCLAIMED
                for request in self._take_waiters(operation):
                    self._handler.answer_outcome(request, HopOutcome.UNCLAIMED)
                return
        self.resume_waiters(operation)

    def _take_waiters(self, operation: Operation) -> list[IngressRequest]:
        waiters, operation.waiters = operation.waiters, []
        visits = [
            request for request in waiters if isinstance(request, IngressRequest) and not request.finished
        ]
        return [request for request in visits if not request.connection.abandoned()]

    def resume_waiters(self, operation: Operation) -> None:
        """It has come to another state: those who wait hear of it."""
        for request in self._take_waiters(operation):
            self._resolve(request, operation)

    def _resolve(self, request: IngressRequest, operation: Operation) -> None:
        """Whatever is known of the operation, for a try of it."""
        log.debug("gate: join of %r: %s", operation.key, operation.state.name)
        state, now = operation.state, self._clock.now()
        if state is OperationState.DONE and isinstance(operation.answer, Reply):
            reply = _answer_for_repeat(operation.answer, request.arrival)
            if request.receiving_body:
                self._drain_body(request, reply)
            else:
                self._handler.answer(request, reply, reason="the first try's answer")
        elif state in (OperationState.CLAIMING, OperationState.RUNNING):
            operation.waiters.append(request)
        elif state in (OperationState.CLAIMED, OperationState.UNCLAIMED) and (
            self._route_has_moved(request.hop) or self.operations.claim_expired(operation, now)
        ):
            self.release_claim(request, operation, HopOutcome.AWAY)
        elif state is OperationState.CLAIMED:
            heartbeat = self._admission.heartbeat
            reason = self._admission.rejection_reason(
                request.hop.instance if not request.hop.replay or heartbeat is None else heartbeat.id, now
            )
            if reason or now >= request.deadline:
                self.release_claim(request, operation, HopOutcome.AWAY)
            else:
                operation.state = OperationState.RUNNING
                request.operation = operation
                self._handler.run(request)
        elif state is OperationState.UNCLAIMED:
            reason = "" if request.hop.replay else self._admission.rejection_reason(request.hop.instance, now)
            if reason:
                self._handler.answer_outcome(request, HopOutcome.AWAY, reason)
            else:
                self._claim(operation, request)
        elif state is OperationState.ELSEWHERE and not request.hop.replay:
            self._relay(request, operation)
        else:
            self._handler.answer_outcome(request, HopOutcome.UNKNOWN)

    def _route_has_moved(self, hop: HopInfo) -> bool:
        """Whether a repeat is for another service: its route has moved since the key was claimed here."""
        heartbeat = self._admission.heartbeat
        return hop.replay and heartbeat is not None and hop.route not in ("-", heartbeat.service)

    def release_claim(self, request: IngressRequest, operation: Operation, outcome: HopOutcome) -> None:
        """It has not run here: another gate may run it, once the claim is lifted."""
        operation.state = OperationState.CLAIMING  # who comes meanwhile waits
        request.operation = None

        def on_released(result: Any) -> None:
            operation.state = OperationState.UNCLAIMED
            if result is not None:
                self.operations.restart_window(operation, self._clock.now())
            self._handler.answer_outcome(request, outcome)
            for waiter in self._take_waiters(operation):
                self._handler.answer_outcome(waiter, HopOutcome.AWAY)

        self._send_command(
            Unclaim(operation.key, self._machine, operation.attempt), on_released, UNCLAIM_TIMEOUT_S
        )

    def _relay(self, request: IngressRequest, operation: Operation) -> None:
        """The gate that holds the key has the answer, or will have it."""
        address = self._address_of(operation.holder)
        remaining = max(1, (request.deadline - self._clock.now()) // 1000)
        service = self._admission.heartbeat.service if self._admission.heartbeat is not None else "-"
        hop = HopInfo(request.hop.instance, True, request.hop.attempt_number, replay=True, route=service)
        head = forwarded_head(request.arrival, drop=(HOP, DEADLINE))
        head += b"%s%s: %d\r\n\r\n" % (hop.header_line(), DEADLINE, remaining)
        name = f"gate {operation.holder}"
        self._peer_pool.wanted[name] = address

        def done(result: Result) -> None:
            request.job = None
            if self._handler.finish_stream(request, result):
                return
            answer = result.answer
            outcome = parse_hop_outcome(answer.fields) if answer is not None else None
            if answer is not None and outcome is HopOutcome.RAN:
                self._handler.answer(
                    request, forwarded_answer(answer, drop=()), reason=f"by the gate {operation.holder}"
                )
            elif outcome in NOT_RUN_OUTCOMES:
                operation.state = OperationState.UNCLAIMED  # SHED stays: an upstream was asked, which counts
                self._handler.answer_outcome(
                    request, HopOutcome.SHED if outcome is HopOutcome.SHED else HopOutcome.AWAY
                )
            elif outcome is not None:
                self._handler.answer_outcome(request, outcome)
            else:  # the other gate may have begun to run this very try
                unsent = result.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
                self._handler.answer_outcome(request, HopOutcome.UNKNOWN if unsent else HopOutcome.BROKEN)
            self._handler.discard_body(request)

        request.job = self._peer_pool.start(
            name,
            address,
            head + request.arrival.body,
            done,
            body=request.arrival.stream,
            begun=self._handler.stream_receiver(request, partial(forwarded_answer, drop=())),
        )

    def _drain_body(self, request: IngressRequest, reply: Reply) -> None:
        """A repeat's body that still comes: it is let go, since whoever sends it takes no success before its
        end."""
        stream = request.arrival.stream
        assert stream is not None

        def on_data() -> None:
            while stream.take() is not None:
                pass
            if stream.over:
                self._handler.answer(request, reply)

        if stream.open(on_data):
            on_data()
        else:
            self._handler.answer_outcome(request, HopOutcome.UNKNOWN)


def _answer_for_repeat(reply: Reply, arrival: Arrival) -> Reply:
    """The first try's answer for another try: only whose answer it is differs."""
    lines = [
        line
        for line in reply.extra.split(b"\r\n")
        if line and not line.lower().startswith(ATTEMPT_ID.lower())
    ]
    attempt_id = arrival.fields.get(ATTEMPT_ID.lower())
    if attempt_id is not None:
        lines.append(b"%s: %s" % (ATTEMPT_ID, attempt_id))
    return Reply(reply.status, reply.body, extra=b"".join(line + b"\r\n" for line in lines))
