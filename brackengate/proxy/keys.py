"""Requests with an operation key: claimed at the control plane before they run; repeats get the same answer.

An operation runs once, whatever messages are lost: only under a claim that was granted to this incarnation of
this proxy, and that is released only if nothing has run.  A repeat gets the first request's answer, from here
or from the proxy that holds the claim.
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
from brackengate.proxy.hop_names import name_after_hop
from brackengate.proxy.ingress_request import IngressRequest, RequestHandler

log = logging.getLogger("brackengate.gate")

MAX_CLAIM_TIME_SHARE = 0.5  # of a request's time, for the claim of its key
CLAIM_TIMEOUT_S = 5.0
UNCLAIM_TIMEOUT_S = 1.0
MAX_KEPT_ANSWER_BYTES = 24 << 20  # over all operations; an answer over MAX_ANSWER is forwarded but not kept
# Answers of the proxy that held the claim that say that the operation has not run.
NOT_RUN_OUTCOMES = (
    HopOutcome.AWAY,
    HopOutcome.FULL,
    HopOutcome.SHED,
    HopOutcome.UNREACHED,
    HopOutcome.UNCLAIMED,
)


class KeyedRequests:
    """Requests with operation keys at one proxy: claims, answers of completed runs, and repeats."""

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
        """`machine`, `claim_window`, `incarnation`: as for an `Ingress`."""
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
        """Run the request under a claim of its key, or answer it as a repeat."""
        now = self._clock.now()
        key = request.arrival.fields.get(OPERATION_KEY.lower(), b"").decode("latin-1")
        operation = self.operations.get(key, now)
        if operation is not None:
            self._resolve(request, operation)
            return
        reason = self._admission.rejection_reason(request.hop.instance, now)
        if request.hop.replay:
            # The key was claimed by an earlier incarnation of this process.
            self._handler.answer_outcome(request, HopOutcome.UNKNOWN)
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
                # The key was claimed by an earlier incarnation of this process.
                operation.state = OperationState.OUTCOME_UNKNOWN
            case HeldBy(owner):
                operation.state, operation.holder = OperationState.ELSEWHERE, owner
            case _:  # no answer in time, or an error: the claim may exist
                operation.state = OperationState.UNCLAIMED
                for request in self._take_waiters(operation):
                    self._handler.answer_outcome(request, HopOutcome.UNCLAIMED)
                return
        self.resume_waiters(operation)

    def _take_waiters(self, operation: Operation) -> list[IngressRequest]:
        waiters, operation.waiters = operation.waiters, []
        requests = [
            request for request in waiters if isinstance(request, IngressRequest) and not request.finished
        ]
        return [request for request in requests if not request.connection.closed_by_caller()]

    def resume_waiters(self, operation: Operation) -> None:
        """Proceed with the requests that wait for a change of the operation's state."""
        for request in self._take_waiters(operation):
            self._resolve(request, operation)

    def _resolve(self, request: IngressRequest, operation: Operation) -> None:
        """Answer, run, relay or queue a request, according to the state of its operation."""
        log.debug("gate: repeat of %r: %s", operation.key, operation.state.name)
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
                request.hop.instance
                if not request.hop.replay or heartbeat is None
                else name_after_hop(heartbeat.id),
                now,
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
        """Whether a repeat is for another service, as its route has moved since the key was claimed here."""
        heartbeat = self._admission.heartbeat
        if not hop.replay or heartbeat is None or not hop.route:
            return False
        return hop.route != name_after_hop(heartbeat.service)

    def release_claim(self, request: IngressRequest, operation: Operation, outcome: HopOutcome) -> None:
        """Release the claim of an operation that has not run, so that another proxy may run it.

        The request is answered with `outcome` after that.
        """
        operation.state = OperationState.CLAIMING  # repeats that arrive meanwhile wait
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
        """Forward the request to the proxy that holds the claim, which has or will have the answer."""
        address = self._address_of(operation.holder)
        remaining = max(1, (request.deadline - self._clock.now()) // 1000)
        service = self._admission.heartbeat.service if self._admission.heartbeat is not None else ""
        hop = HopInfo(request.hop.instance, True, request.hop.attempt_number, replay=True, route=service)
        head = forwarded_head(request.arrival, drop=(HOP, DEADLINE))
        head += b"%s%s: %d\r\n\r\n" % (hop.header_line(), DEADLINE, remaining)
        name = f"gate {operation.holder}"
        self._peer_pool.addresses[name] = address

        def done(result: Result) -> None:
            request.job = None
            if self._handler.finish_stream(request, result):
                return
            answer = result.response
            outcome = parse_hop_outcome(answer.fields) if answer is not None else None
            if answer is not None and outcome is HopOutcome.RAN:
                self._handler.answer(
                    request, forwarded_answer(answer, drop=()), reason=f"by the gate {operation.holder}"
                )
            elif outcome in NOT_RUN_OUTCOMES:
                operation.state = OperationState.UNCLAIMED
                # SHED is kept, as an attempt at an upstream counts.
                self._handler.answer_outcome(
                    request, HopOutcome.SHED if outcome is HopOutcome.SHED else HopOutcome.AWAY
                )
            elif outcome is not None:
                self._handler.answer_outcome(request, outcome)
            else:  # the other proxy may have begun to run this attempt
                unsent = result.outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
                self._handler.answer_outcome(request, HopOutcome.UNKNOWN if unsent else HopOutcome.BROKEN)
            self._handler.discard_body(request)

        request.job = self._peer_pool.start(
            name,
            address,
            head + request.arrival.body,
            done,
            body=request.arrival.stream,
            on_streaming=self._handler.stream_receiver(request, partial(forwarded_answer, drop=())),
        )

    def _drain_body(self, request: IngressRequest, reply: Reply) -> None:
        """Read and discard a repeat's body, then answer: its sender takes no success before the end."""
        stream = request.arrival.stream
        assert stream is not None

        def on_data() -> None:
            while stream.take() is not None:
                pass
            if stream.fully_taken:
                self._handler.answer(request, reply)

        if stream.open(on_data):
            on_data()
        else:
            self._handler.answer_outcome(request, HopOutcome.UNKNOWN)


def _answer_for_repeat(reply: Reply, arrival: IncomingRequest) -> Reply:
    """The first request's answer for a repeat; they differ in the attempt id only."""
    lines = [
        line
        for line in reply.extra_headers.split(b"\r\n")
        if line and not line.lower().startswith(ATTEMPT_ID.lower())
    ]
    attempt_id = arrival.fields.get(ATTEMPT_ID.lower())
    if attempt_id is not None:
        lines.append(b"%s: %s" % (ATTEMPT_ID, attempt_id))
    return Reply(reply.status, reply.body, extra_headers=b"".join(line + b"\r\n" for line in lines))
