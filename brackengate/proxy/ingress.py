"""Ingress: requests from other proxies, through admission, to the upstream on this machine.

Requests with an operation key go through `keys.py` before they run.
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
from brackengate.protocol.http_api import MAX_BODY_BYTES
from brackengate.protocol.messages import Command
from brackengate.proxy.admission import Admission, OperationState
from brackengate.proxy.hop_headers import (
    ATTEMPT_ID,
    DEADLINE,
    HOP,
    NOT_EXECUTED,
    OPERATION_KEY,
    TARGET_INSTANCE,
    HopOutcome,
    forwarded_answer,
    forwarded_head,
    parse_hop_info,
    rejection_headers,
    rejection_reply,
    target_instance_line,
)
from brackengate.proxy.ingress_request import IngressRequest
from brackengate.proxy.keys import KeyedRequests
from brackengate.proxy.load import UpstreamLoad
from brackengate.proxy.request_log import ATTEMPT_ID_FIELD, RequestLog

log = logging.getLogger("brackengate.gate")

DEADLINE_SLACK_S = 0.05  # after a request's deadline, for its upstream to answer that itself
HANG_TIMEOUT_S = 2.0  # after its deadline; then the outcome of an operation counts as unknown
UNREADABLE_LOG_INTERVAL_US = 1_000_000  # callers that are no proxies could fill the log
RAN_HEADER = b"%s: %s\r\n" % (HOP, HopOutcome.RAN.value)


class Ingress:
    """Protocol frontend of the `Inbound` listener."""

    max_body_bytes = MAX_BODY_BYTES

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        upstream_pool: Pool,
        admission: Admission,
        machine: str,
        application: Address,
        claim_window: int,
        send_command: Callable[[Command, Callable[[Any], None], float], None],
        peer_pool: Pool,
        address_of: Callable[[str], Address],
        incarnation: str,
        request_log: RequestLog | None = None,
    ) -> None:
        """`upstream_pool`: connections to the local upstream only.  `peer_pool`: to other proxies.
        `machine`: the name under which this proxy claims keys.  `incarnation`: unique to this process, so
        that claims of its predecessors are not taken for its own.  `claim_window`: in microseconds."""
        self._loop, self._clock, self._upstream_pool, self._admission = loop, clock, upstream_pool, admission
        self._application = application
        self._next_unreadable_log_at = 0
        self._request_log = request_log or RequestLog()
        self.load = UpstreamLoad()
        self._keyed_requests = KeyedRequests(
            self,
            loop,
            clock,
            admission,
            machine,
            claim_window,
            send_command,
            peer_pool,
            address_of,
            incarnation,
        )
        self.requests: set[IngressRequest] = set()
        # Requests that are at the upstream, even if no caller awaits their answer any more.
        self._running: set[IngressRequest] = set()

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Admit, run or reject a request.  `RequestError`: 400 without a readable hop header or deadline."""
        hop = parse_hop_info(arrival.fields)
        remaining = arrival.fields.get(DEADLINE.lower(), b"")
        if hop is None or not remaining.isdigit():
            raise self._unreadable_hop(arrival)
        if connection.closed_by_caller():
            return
        request = IngressRequest(arrival, connection, hop, arrival.received_at + int(remaining) * 1000)
        connection.expect_answer(partial(self._on_caller_gone, request))
        self.requests.add(request)
        self._arm_deadline(request)
        if arrival.stream is not None:
            arrival.stream.on_end = partial(self._body_ended, request, request.deadline - arrival.received_at)
        if hop.keyed:
            self._keyed_requests.begin(request)
        else:
            reason = self._admission.rejection_reason(hop.instance, self._clock.now())
            if reason:
                self.answer_outcome(request, HopOutcome.AWAY, reason)
            elif not self.accepts(request):
                self.answer_outcome(request, HopOutcome.FULL)
            else:
                self.run(request)

    def _unreadable_hop(self, arrival: IncomingRequest) -> RequestError:
        """Records a request without readable hop header and deadline; its error says that it has not run."""
        now, reason = self._clock.now(), "unreadable hop header or deadline"
        attempt = arrival.fields.get(ATTEMPT_ID_FIELD, b"")
        took = now - arrival.received_at
        self._request_log.record_ingress(
            attempt, arrival.received_at, took, "", "", b"", HopOutcome.AWAY, reason
        )
        if now >= self._next_unreadable_log_at:
            self._next_unreadable_log_at = now + UNREADABLE_LOG_INTERVAL_US
            hop, deadline = arrival.fields.get(HOP.lower()), arrival.fields.get(DEADLINE.lower())
            log.warning("gate: %s: %s: %.200r, %.40r", attempt.decode("latin-1"), reason, hop, deadline)
        return RequestError(400, "this door is for pilots", rejection_headers(arrival, HopOutcome.AWAY))

    def pending_count(self) -> int:
        """Requests whose answers would be lost if this process ended now."""
        return len(self.requests | self._running)

    def accepts(self, request: IngressRequest) -> bool:
        """Whether the upstream is expected to answer the request in time."""
        if self._admission.heartbeat is not None:
            self.load.slots = max(1, self._admission.heartbeat.capacity)
        now, hop = self._clock.now(), request.hop
        remaining = request.deadline - now
        return self.load.accepts(
            hop.route, hop.priority, hop.target_latency_ms * 1000, remaining, hop.client_retry, now
        )

    # --- the upstream

    def run(self, request: IngressRequest) -> None:
        """Send the request to the upstream."""
        heartbeat = self._admission.heartbeat
        assert heartbeat is not None
        if log.isEnabledFor(logging.DEBUG):
            fields, key = request.arrival.fields, request.operation.key if request.operation else ""
            log.debug("gate: %s runs at %s, key %r", fields.get(ATTEMPT_ID.lower()), heartbeat.id, key)
        remaining = max(1, (request.deadline - self._clock.now()) // 1000)
        head = forwarded_head(request.arrival, drop=(HOP, DEADLINE, TARGET_INSTANCE))
        head += target_instance_line(heartbeat.id) + b"%s: %d\r\n\r\n" % (DEADLINE, remaining)
        request.ticket = self.load.record_start(request.hop.route, self._clock.now())
        self._upstream_pool.addresses = {heartbeat.id: self._application}
        self._running.add(request)
        request.job = self._upstream_pool.start(
            heartbeat.id,
            self._application,
            head + request.arrival.body,
            partial(self._on_upstream_done, request),
            body=request.arrival.stream,
            on_streaming=self.stream_receiver(
                request, partial(forwarded_answer, drop=(HOP, NOT_EXECUTED), add=RAN_HEADER)
            ),
            unstreamed_bytes=MAX_UNSTREAMED_BYTES
            if request.operation is None
            else MAX_BUFFERED_RESPONSE_BYTES,
            call_id=request.arrival.fields.get(ATTEMPT_ID_FIELD, b""),
            still_wanted=partial(self._still_wanted, request),
        )
        if request.operation is not None and not request.receiving_body:
            self._limit_run_time(request.job, request)

    def _still_wanted(self, request: IngressRequest) -> bool:
        """Whether the caller still waits; checked right before sending, in case this process was paused."""
        in_time = request.receiving_body or self._clock.now() < request.deadline
        return in_time and not request.finished and not request.connection.closed_by_caller()

    def _limit_run_time(self, job: Job, request: IngressRequest) -> None:
        """End an operation that hangs: it runs on without its caller, but not for ever."""

        def on_hang() -> None:
            if request.sink is None:  # a streamed answer goes on while it is sent and read
                job.give_up(Outcome.TIMEOUT)

        self._loop.call_later((request.deadline - self._clock.now()) / 1e6 + HANG_TIMEOUT_S, on_hang)

    def _on_upstream_done(self, request: IngressRequest, result: Result) -> None:
        request.job = None
        self._running.discard(request)
        operation, answer = request.operation, result.response
        self._release_load(request, result.outcome is Outcome.OK)
        if self.finish_stream(request, result):
            return
        if result.outcome is Outcome.OK and answer is not None:
            reply = forwarded_answer(answer, drop=(HOP, NOT_EXECUTED), add=RAN_HEADER)
            if operation is not None:
                self._keyed_requests.operations.store_answer(
                    operation, reply, len(reply.body) + len(reply.extra_headers)
                )
            self.answer(request, reply)
        elif result.outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
            outcome = HopOutcome.SHED if result.outcome is Outcome.REJECTED else HopOutcome.UNREACHED
            if operation is not None:
                self._keyed_requests.release_claim(request, operation, outcome)
            else:
                self.answer_outcome(request, outcome)
        else:
            if operation is not None:
                operation.state = OperationState.OUTCOME_UNKNOWN
            broken = result.outcome is Outcome.RESET
            self.answer_outcome(request, HopOutcome.BROKEN if broken else HopOutcome.SPOILT)
        if operation is not None:
            self._keyed_requests.resume_waiters(operation)
        self.discard_body(request)

    def _release_load(self, request: IngressRequest, ran: bool) -> None:
        if request.ticket is not None:
            self.load.record_end(request.ticket, self._clock.now(), ran)
            request.ticket = None

    # --- long bodies

    def _body_ended(self, request: IngressRequest, time_limit: int) -> None:
        """A streamed request body is complete, and its time counts from now; or the rest will not come."""
        stream, job = request.arrival.stream, request.job
        assert stream is not None
        if stream.truncated:
            self._finish(request)
            if job is not None and not job.written:
                job.give_up(Outcome.CONNECT_FAILED)  # an incompletely written request has not run
        elif not request.finished:
            request.deadline = self._clock.now() + time_limit
            self._arm_deadline(request)
            if request.operation is not None and job is not None:
                self._limit_run_time(job, request)

    def stream_receiver(
        self, request: IngressRequest, make_reply: Callable[[UpstreamResponse], Reply]
    ) -> StreamAcceptor | None:
        """The receiver of a long answer; None for HEAD, whose answer has a length but no body.

        `make_reply`: the reply that is made from the answer's head.
        """
        return (
            None if request.arrival.method == b"HEAD" else partial(self._on_stream_start, request, make_reply)
        )

    def _on_stream_start(
        self,
        request: IngressRequest,
        make_reply: Callable[[UpstreamResponse], Reply],
        head: UpstreamResponse,
        stream: ResponseStream,
    ) -> ResponseSink | None:
        """Start to forward a long answer, as its head and first bytes have arrived.

        It is not kept for repeats: all that is known of its operation afterwards is that it has run.
        """
        self._release_load(request, True)
        operation = request.operation
        if operation is not None:
            operation.state = OperationState.OUTCOME_UNKNOWN
            self._keyed_requests.resume_waiters(operation)
        if request.finished:
            return None
        reply = make_reply(head)
        reply.stream = stream
        self.answer(request, reply)
        request.sink = stream.sink
        if request.sink is not None:
            self.requests.add(request)  # until its last byte is forwarded
        return request.sink

    def finish_stream(self, request: IngressRequest, result: Result) -> bool:
        """End the answer if it is being streamed; returns whether it was."""
        sink, request.sink = request.sink, None
        if sink is None:
            return False
        (sink.finish if result.outcome is Outcome.OK else sink.truncate)()
        self._finish(request)
        return True

    def discard_body(self, request: IngressRequest) -> None:
        """Release the buffered request body if nobody will read it any more."""
        if request.finished and request.job is None and request.arrival.stream is not None:
            request.arrival.stream.truncate()

    # --- answers

    def answer(
        self, request: IngressRequest, reply: Reply, outcome: HopOutcome = HopOutcome.RAN, reason: str = ""
    ) -> None:
        """Answer the caller and record the outcome, unless the request is finished."""
        if request.finished:
            return
        self._finish(request)
        fields, at, hop = request.arrival.fields, request.arrival.received_at, request.hop
        key = fields.get(OPERATION_KEY.lower(), b"") if hop.keyed else b""
        took = self._clock.now() - at
        self._request_log.record_ingress(
            fields.get(ATTEMPT_ID_FIELD, b""), at, took, hop.route, hop.instance, key, outcome, reason
        )
        request.connection.answer(reply)

    def answer_outcome(self, request: IngressRequest, outcome: HopOutcome, reason: str = "") -> None:
        """Answer for this proxy itself, with an outcome in the hop header; 409 for BUSY, else 503."""
        if not request.finished:
            status = 409 if outcome is HopOutcome.BUSY else 503
            log.debug("gate: %s: %s %s", request.hop.instance, outcome.name, reason)
            self.answer(request, rejection_reply(request.arrival, status, outcome), outcome, reason)

    def _arm_deadline(self, request: IngressRequest) -> None:
        if request.timer is not None:
            request.timer.cancel()
        wait = (request.deadline - self._clock.now()) / 1e6 + DEADLINE_SLACK_S
        request.timer = self._loop.call_later(max(0.0, wait), self._on_deadline, request)

    def _on_deadline(self, request: IngressRequest) -> None:
        if request.finished or (request.receiving_body and request.job is not None):
            return  # while its body is still arriving, its time has not started
        operation = request.operation
        awaits_claim = operation is None and request.hop.keyed
        self.answer_outcome(request, HopOutcome.BUSY if awaits_claim else HopOutcome.LATE)
        if request.job is not None and operation is None:
            request.job.give_up(Outcome.CANCELLED)

    def _on_caller_gone(self, request: IngressRequest) -> None:
        """The caller has left.  An operation goes on, since repeats will ask for its answer."""
        self._finish(request)
        if request.job is not None and request.operation is None:
            request.job.give_up(Outcome.CANCELLED)

    def _finish(self, request: IngressRequest) -> None:
        request.finished = True
        if request.timer is not None:
            request.timer.cancel()
        self.requests.discard(request)
        self.discard_body(request)
