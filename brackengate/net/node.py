"""The node: passes events to the decision module and executes its actions.  It makes no decisions itself."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from brackengate.http.body import Body, ResponseSink, ResponseStream
from brackengate.http.upstream import UpstreamResponse
from brackengate.interface import (
    Action,
    AnswerStarted,
    AttemptEnded,
    CancelAttempt,
    ClientGone,
    EarlierAttempt,
    Endpoint,
    Event,
    Fail,
    Lifecycle,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    Release,
    Request,
    RequestBodyComplete,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    UpstreamList,
    WatchList,
)
from brackengate.net.alarms import Timer, TimerQueue
from brackengate.net.observer import Observer
from brackengate.net.sockets import Address
from brackengate.net.upstream import Job, Pool, Result, always_true, parse_load_report

log = logging.getLogger(__name__)

PROBE_REQUEST = b"GET /status/load HTTP/1.1\r\nHost: %s\r\n\r\n"
PROBE_TIMEOUT_FRACTION = 0.25  # of the connect timeout; a later load report would be out of date
MAX_RECENT_IDS = 1024

NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
STATUS_UNAVAILABLE, STATUS_BAD_GATEWAY, STATUS_GATEWAY_TIMEOUT, STATUS_INTERNAL_ERROR = 503, 502, 504, 500


class Clock:
    """Unix time in whole microseconds, read once at the start and advanced by the monotonic clock.

    It is not affected by steps of the wall clock: deadlines must not move, and an upstream's `since_ms` must
    give the same start time in each row, or each row would look like a restart.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Microseconds since the Unix epoch."""
        return self._offset + time.monotonic_ns() // 1000


@dataclass(slots=True)
class Reply:
    """The answer to a request, on its way to the caller."""

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0  # 0: no Retry-After header
    possible_executions: Sequence[
        EarlierAttempt
    ] = ()  # attempts of a failed request that may have been executed
    extra_headers: bytes = b""  # whole header lines
    stream: ResponseStream | None = None  # the rest of the body, for a caller that sets the stream's `sink`


class Caller(Protocol):
    """The sender of a request, which receives one answer."""

    def answer(self, reply: Reply) -> None:
        """Take the answer."""


class DecisionModule(Protocol):
    """`brackengate.balancer.Balancer`, or a script in its place in tests of the host."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event at clock time `now` in microseconds; returns the actions to execute."""


class DiscoveryWatch(Protocol):
    """Starts and ends the watch on discovery's list."""

    def watch(self, on: bool) -> None:
        """Start the watch, or end it."""


@dataclass(slots=True)
class ClientInfo:
    """Who sent a request, for the pipeline stages that need it."""

    client: str
    address: str  # without the port
    queue_token: bytes = b""  # of a queue place that the request claims


@dataclass(slots=True)
class Message:
    """The HTTP message to send to an upstream: the head up to its last header, and the body."""

    head: bytes
    body: bytes
    key: bytes = b""  # its Idempotency-Key
    client: str | None = None  # the sender's name, if known
    client_info: ClientInfo | None = None
    operation_count: int = 1
    route: object = None  # chosen by the frontend's router, if there is one
    stream: Body | None = None  # replaces `body` while the body is still being received
    stream_response: bool = False  # whether the response may be streamed to the caller
    call_id: bytes = b""  # the id that responses to it carry
    still_wanted: Callable[[], bool] = always_true  # False: the caller has left without being noticed yet

    def payload(self, remaining_ms: int, upstream: str, number: int) -> bytes:
        """The bytes to write for an attempt, without a body that is still being received."""
        return b"%sX-Remaining-Ms: %d\r\n\r\n%s" % (self.head, remaining_ms, self.body)


class ReplyFormat(Protocol):
    """Builds the answers of a node to its callers."""

    def success(self, result: Result) -> Reply:
        """The answer for a complete successful response."""

    def streaming(self, head: UpstreamResponse) -> Reply:
        """The start of a streamed answer, with the first bytes of its body."""

    def failure(
        self,
        status: int,
        retry_after_us: int,
        last: Result | None,
        possible_executions: Sequence[EarlierAttempt],
    ) -> Reply:
        """The answer for a failed request.

        `retry_after_us` in microseconds; `last`: the last complete response that was not successful, if any;
        `possible_executions`: the attempts that may have been executed.
        """


class PlainReplyFormat:
    """The platform's answers: a failure has a status and no body."""

    def success(self, result: Result) -> Reply:
        return Reply(200, result.body, result.content_type)

    def streaming(self, head: UpstreamResponse) -> Reply:
        return Reply(200, head.body, head.fields.get(b"content-type", b""))

    def failure(
        self,
        status: int,
        retry_after_us: int,
        last: Result | None,
        possible_executions: Sequence[EarlierAttempt],
    ) -> Reply:
        return Reply(status, retry_after_us=retry_after_us, possible_executions=possible_executions)


@dataclass(slots=True, eq=False)
class Attempt:
    """One try of a request, or a probe, at one upstream."""

    endpoint: Endpoint
    sent_at: int
    job: Job | None = None
    timer: Timer | None = None
    outcome: Outcome | None = None  # None: still in flight


@dataclass(slots=True, eq=False)
class Exchange:
    """One request, from its arrival until it is answered and all its attempts have ended."""

    id: str
    request: Request
    caller: Caller
    message: Message
    deadline: int
    began_at: int
    deadline_timer: Timer | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    answered: bool = False  # completely or in part
    streaming_attempt: Attempt | None = None  # the attempt whose response is being streamed
    sink: ResponseSink | None = None
    start_reported: bool = False  # the observer was notified of its start
    last_failure: Result | None = None  # with the last response that was not successful

    @property
    def body_incomplete(self) -> bool:
        """Whether its body is still being received."""
        stream = self.message.stream
        return stream is not None and not stream.complete

    def possible_executions(self) -> list[EarlierAttempt]:
        """Attempts that may have been executed, including the earlier ones that the request reported."""
        here = [EarlierAttempt(a.endpoint, a.sent_at) for a in self.attempts if a.outcome not in NOT_EXECUTED]
        return [*self.request.earlier, *here]


class Node:
    """Connects callers, upstreams, discovery and timers to one decision module."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        settings: Settings,
        module: DecisionModule,
        pool: Pool,
        reply_format: ReplyFormat | None = None,
    ) -> None:
        self._settings, self._pool = settings, pool
        self._reply_format: ReplyFormat = reply_format or PlainReplyFormat()
        self.clock, self._timers = clock, TimerQueue(loop, clock)
        self.watch: DiscoveryWatch | None = None
        self.observer: Observer | None = None
        self._module = module
        self._exchanges: dict[str, Exchange] = {}
        self._recent_ids: dict[str, None] = {}  # ids of the latest requests that have ended
        self.classes = {cls.name: cls for cls in settings.classes}
        self._addresses = pool.addresses
        self._serving: set[str] = set()
        self._rows: dict[str, Endpoint] = {}
        self._events: deque[Event] = deque()
        self._handling = False
        self._probe_timeout_us = int(settings.connect_timeout * PROBE_TIMEOUT_FRACTION)
        self._handlers: dict[type, Callable[..., None]] = {
            Send: self._send,
            CancelAttempt: self._cancel,
            Refuse: self._refuse,
            Fail: self._fail,
            SetTimer: self._set_timer,
            Probe: self._probe,
            Release: self._release,
            WatchList: self._watch_list,
        }

    # --- state and input

    def can_serve(self) -> bool:
        """Whether at least one upstream serves."""
        return bool(self._serving)

    def serving_count(self) -> int:
        """The number of upstreams that serve according to the list."""
        return len(self._serving)

    def upstream_count(self) -> int:
        """The number of upstreams in the list, including draining ones."""
        return len(self._rows)

    def pending_count(self) -> int:
        """The number of requests that are not completely answered."""
        return sum(
            1
            for exchange in self._exchanges.values()
            if not exchange.answered or exchange.streaming_attempt is not None
        )

    def unfinished_count(self) -> int:
        """The number of requests that are not answered or have attempts in flight."""
        return len(self._exchanges)

    def in_flight(self, request: str) -> bool:
        """Whether the request is not answered or has attempts in flight."""
        return request in self._exchanges

    def started(self, request: str) -> bool:
        """Whether an attempt of the request was sent, here or earlier by the caller's own report."""
        exchange = self._exchanges.get(request)
        return exchange is not None and bool(exchange.attempts or exchange.request.earlier)

    def known(self, request: str) -> bool:
        """Whether the id is in flight or was used recently."""
        return request in self._exchanges or request in self._recent_ids

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        """Accept a request.

        `caller` gets exactly one answer, by the deadline, unless `client_disconnected` is called.
        """
        now = self.clock.now()
        exchange = Exchange(request.request, request, caller, message, request.deadline, now)
        self._exchanges[request.request] = exchange
        stream = message.stream
        if stream is not None:
            stream.on_end = partial(self._body_ended, exchange)
        if exchange.body_incomplete:
            request.body_complete = False
        else:
            self._request_complete(exchange, now)
        self._post(request, now)

    def _request_complete(self, exchange: Exchange, now: int) -> None:
        """The request's last byte was received: it is counted, and its deadline timer starts."""
        self._report_started(exchange)
        exchange.deadline_timer = self._timers.schedule(
            exchange.deadline, partial(self._overdue, exchange), now
        )

    def _report_started(self, exchange: Exchange) -> None:
        exchange.start_reported = True
        if self.observer is not None:
            self.observer.request_started(exchange.request, exchange.began_at)

    def _body_ended(self, exchange: Exchange) -> None:
        """The body of a request that was submitted early is complete or was truncated."""
        stream = exchange.message.stream
        if exchange.answered or stream is None:
            return
        if stream.truncated:
            self.client_disconnected(exchange.id, exchange.caller)
            return
        now = self.clock.now()
        exchange.deadline, exchange.began_at = now + exchange.deadline - exchange.began_at, now
        self._request_complete(exchange, now)
        for attempt in exchange.attempts:
            if attempt.job is not None:
                timed_out = partial(self._attempt_timed_out, attempt)
                attempt.timer = self._timers.schedule(exchange.deadline, timed_out, now)
        self._post(RequestBodyComplete(exchange.id, exchange.deadline))

    def client_disconnected(self, request: str, caller: Caller) -> None:
        """The caller has closed its connection: the request needs no answer any more."""
        exchange = self._exchanges.get(request)
        if exchange is not None and exchange.caller is caller and not exchange.answered:
            self._close(exchange, 0)
            self._post(ClientGone(request))

    def update_upstreams(
        self, kind: ListKind, rows: Iterable[tuple[Endpoint, Address]], version: int = 0
    ) -> None:
        """Apply a complete list of upstreams or changes to it, and notify the decision module."""
        rows, was_serving = list(rows), bool(self._serving)
        if kind in (ListKind.FULL, ListKind.CACHED):
            listed = {row.upstream for row, _ in rows}
            for name in [name for name in self._addresses if name not in listed]:
                self._remove_upstream(name)
        for row, address in rows:
            name = row.upstream
            if row.state is Lifecycle.GONE:
                self._remove_upstream(name)
                continue
            if self._addresses.get(name, address) != address:
                self._pool.close_idle(name)
            self._addresses[name] = address
            self._rows[name] = row
            if row.state is Lifecycle.SERVING:
                self._serving.add(name)
            else:
                self._serving.discard(name)
        self._post(UpstreamList(kind, tuple(row for row, _ in rows), version))
        if self.observer is not None and bool(self._serving) is not was_serving:
            self.observer.serving_changed(not was_serving)

    def post_event(self, event: Event) -> None:
        """Pass the decision module an event that concerns neither a request nor the list."""
        self._post(event)

    def retire(self) -> None:
        """Remove all upstreams for good.

        The decision module answers waiting requests now, and those in flight when their attempts end.
        """
        for name in list(self._addresses):
            self._remove_upstream(name)
        self._post(UpstreamList(ListKind.FULL, final=True))

    def _remove_upstream(self, name: str) -> None:
        self._addresses.pop(name, None)
        self._rows.pop(name, None)
        self._serving.discard(name)
        self._pool.close_idle(name)

    # --- the decision module

    def _post(self, event: Event, now: int = 0) -> None:
        """Pass an event to the decision module, after those queued before it.

        An outcome that occurs while an action is executed is queued until all actions of the present event
        are done: the decision module must not be entered recursively.  `now`: the clock time, if it was just
        read.
        """
        if self._handling:
            self._events.append(event)
            return
        self._handling = True
        try:
            self._handle(event, now or self.clock.now())
            while self._events:
                self._handle(self._events.popleft(), self.clock.now())
        finally:
            self._handling = False

    def _handle(self, event: Event, now: int) -> None:
        try:
            for action in self._module.handle(now, event):
                self._handlers[type(action)](action)
        except Exception:
            log.exception("the decision module failed on %s", type(event).__name__)
            exchange = self._exchanges.get(getattr(event, "request", ""))
            if exchange is not None and not exchange.answered:
                self._close(exchange, STATUS_INTERNAL_ERROR)
                exchange.caller.answer(
                    Reply(STATUS_INTERNAL_ERROR, possible_executions=exchange.possible_executions())
                )
                for attempt in exchange.attempts:
                    if attempt.job is not None:
                        attempt.job.give_up(Outcome.CANCELLED)

    # --- attempts

    def _send(self, action: Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None:
            log.error("the decision module sent an unknown request: %s", action.request)
            self._post(AttemptEnded(action.request, 0, action.upstream, Outcome.NOT_SENT, 0, True))
            return
        now = self.clock.now()
        number = len(exchange.attempts)
        attempt = Attempt(self._rows.get(action.upstream) or Endpoint(action.upstream, cell=-1), now)
        exchange.attempts.append(attempt)
        exchange.in_flight += 1
        if self.observer is not None:
            self.observer.attempt_began(exchange.request, number, action.upstream, now)
        message, body_incomplete = exchange.message, exchange.body_incomplete
        until = min(action.until, exchange.deadline) if action.until > 0 else exchange.deadline
        address = self._addresses.get(action.upstream)
        finish = partial(self._attempt_ended, exchange, number, attempt)
        overdue = until <= now and not body_incomplete
        replayable = message.stream is None or message.stream.replayable
        not_sendable = exchange.answered or overdue or not replayable or number >= self._settings.max_attempts
        if not_sendable or address is None or not message.still_wanted():
            finish(Result(Outcome.NOT_SENT))
            return
        remaining = exchange.deadline - exchange.began_at if body_incomplete else until - now
        payload = message.payload(max(1, remaining // 1000), action.upstream, number)
        on_written = None
        if self.observer is not None:
            on_written = partial(self.observer.attempt_written, exchange.request, number, action.upstream)
        on_streaming = (
            partial(self._response_started, exchange, number, attempt) if message.stream_response else None
        )
        attempt.job = self._pool.start(
            action.upstream,
            address,
            payload,
            finish,
            on_written=on_written,
            body=message.stream,
            on_streaming=on_streaming,
            call_id=message.call_id,
            still_wanted=partial(self._still_wanted, exchange, until),
        )
        if not body_incomplete:
            attempt.timer = self._timers.schedule(until, partial(self._attempt_timed_out, attempt), now)

    def _still_wanted(self, exchange: Exchange, until: int) -> bool:
        """Whether an attempt that waited for a connection is still to be sent.

        The process may have been paused meanwhile, so that its deadline has passed or its caller has left.
        """
        overdue = not exchange.body_incomplete and self.clock.now() >= max(until, exchange.deadline)
        return not overdue and exchange.message.still_wanted()

    def _response_started(
        self,
        exchange: Exchange,
        number: int,
        attempt: Attempt,
        head: UpstreamResponse,
        stream: ResponseStream,
    ) -> ResponseSink | None:
        """Start to stream a response to the caller; the request cannot be retried from here on.

        Returns None if the request was already answered.
        """
        if exchange.answered:
            return None
        exchange.answered, exchange.streaming_attempt = True, attempt
        self._release_body(exchange)
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        if attempt.timer is not None:
            attempt.timer.cancel()
        reply = self._reply_format.streaming(head)
        reply.stream = stream
        exchange.caller.answer(reply)
        exchange.sink = stream.sink
        self._post(
            AnswerStarted(exchange.id, number, attempt.endpoint.upstream, self.clock.now() - attempt.sent_at)
        )
        return stream.sink

    def _attempt_timed_out(self, attempt: Attempt) -> None:
        job = attempt.job
        if job is not None:  # an attempt that was not completely written cannot have been executed
            job.give_up(Outcome.TIMEOUT if job.written else Outcome.CONNECT_FAILED)

    def _attempt_ended(self, exchange: Exchange, number: int, attempt: Attempt, result: Result) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.job = None
        attempt.outcome = result.outcome
        exchange.in_flight -= 1
        now = self.clock.now()
        latency = now - attempt.sent_at
        if self.observer is not None:
            self.observer.attempt_ended(
                exchange.request, number, attempt.endpoint.upstream, result.outcome, latency
            )
        if exchange.streaming_attempt is attempt:
            self._stream_ended(exchange, result.outcome)
        elif result.outcome is Outcome.OK and not exchange.answered:
            self._close(exchange, 200, now)
            exchange.caller.answer(self._reply_format.success(result))
        elif exchange.answered and exchange.in_flight == 0:
            self._exchanges.pop(exchange.id, None)
        if result.outcome is not Outcome.OK:
            exchange.last_failure = result if result.response is not None else exchange.last_failure
            log.debug(
                "%s/%d to %s: %s, %d us",
                exchange.id,
                number,
                attempt.endpoint.upstream,
                result.outcome,
                latency,
            )
        ended = AttemptEnded(
            exchange.id,
            number,
            attempt.endpoint.upstream,
            result.outcome,
            latency,
            exchange.answered,
            result.load,
            result.stale,
            exchange.message.stream is None or exchange.message.stream.replayable,
        )
        self._post(ended, now)

    def _stream_ended(self, exchange: Exchange, outcome: Outcome) -> None:
        """A streamed response ended or was cut off; it is reported with status 0 if the caller had left."""
        sink, exchange.sink, exchange.streaming_attempt = exchange.sink, None, None
        complete = outcome is Outcome.OK
        self._close(exchange, 200 if complete else 0 if outcome is Outcome.CANCELLED else STATUS_BAD_GATEWAY)
        if sink is not None:
            (sink.finish if complete else sink.truncate)()

    def _cancel(self, action: CancelAttempt) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is not None and action.attempt < len(exchange.attempts):
            attempt = exchange.attempts[action.attempt]
            if attempt.job is not None and exchange.streaming_attempt is not attempt:
                attempt.job.give_up(Outcome.CANCELLED)

    # --- answers

    def _close(self, exchange: Exchange, status: int, now: int = 0) -> None:
        """End a request: no answer is given after this.  `status` is reported to the observer.

        Every request ends here and nowhere else.
        """
        exchange.answered = True
        if not exchange.start_reported and status:
            self._report_started(exchange)  # answered before its body was complete
        if self.observer is not None and exchange.start_reported:
            self.observer.request_ended(exchange.request, status, exchange.began_at, now or self.clock.now())
        self._recent_ids[exchange.id] = None
        if len(self._recent_ids) > MAX_RECENT_IDS:
            del self._recent_ids[next(iter(self._recent_ids))]
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        self._release_body(exchange)
        if exchange.in_flight == 0:
            self._exchanges.pop(exchange.id, None)

    def _release_body(self, exchange: Exchange) -> None:
        """Discard the body, and end the attempts that have not sent all of it: they cannot have executed."""
        if exchange.message.stream is None:
            return
        exchange.message.stream.truncate()
        for attempt in exchange.attempts:
            if attempt.job is not None and not attempt.job.written:
                attempt.job.give_up(Outcome.CONNECT_FAILED)

    def _refuse(self, action: Refuse) -> None:
        self._finish(action.request, STATUS_UNAVAILABLE, action.retry_after)

    def _fail(self, action: Fail) -> None:
        self._finish(action.request, STATUS_BAD_GATEWAY, 0)

    def _finish(self, request: str, status: int, retry_after_us: int) -> None:
        exchange = self._exchanges.get(request)
        if exchange is not None and not exchange.answered:
            self._close(exchange, status)
            remaining_us = exchange.deadline - self.clock.now()
            log.debug("%s: answered %d, %d us before its deadline", request, status, remaining_us)
            exchange.caller.answer(
                self._reply_format.failure(
                    status, retry_after_us, exchange.last_failure, exchange.possible_executions()
                )
            )

    def _overdue(self, exchange: Exchange) -> None:
        """The deadline passed without an answer from the decision module: answer the caller in time."""
        if not exchange.answered:
            self._close(exchange, STATUS_GATEWAY_TIMEOUT)
            exchange.caller.answer(
                self._reply_format.failure(STATUS_GATEWAY_TIMEOUT, 0, None, exchange.possible_executions())
            )
            self._post(ClientGone(exchange.id))

    # --- timers, probes and the watch

    def _set_timer(self, action: SetTimer) -> None:
        fired = TimerFired(action.token)
        now = self.clock.now()
        self._timers.schedule(now + action.delay, partial(self._post, fired), now)

    def _probe(self, action: Probe) -> None:
        name, sent = action.upstream, self.clock.now()
        address = self._addresses.get(name)
        if address is None:
            self._post(ProbeEnded(name, Outcome.NOT_SENT))
            return
        payload = PROBE_REQUEST % f"{address[0]}:{address[1]}".encode()
        attempt = Attempt(self._rows.get(name) or Endpoint(name), sent)
        finish = partial(self._probe_ended, attempt)
        attempt.job = self._pool.start(name, address, payload, finish, probe=True)
        timed_out = partial(self._probe_timed_out, attempt)
        attempt.timer = self._timers.schedule(sent + self._probe_timeout_us, timed_out, sent)

    def _probe_timed_out(self, attempt: Attempt) -> None:
        if attempt.job is not None:
            attempt.job.give_up(Outcome.TIMEOUT)

    def _probe_ended(self, attempt: Attempt, result: Result) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.job = None
        load = result.load
        outcome = result.outcome
        if load is None and outcome is Outcome.OK:
            load = parse_load_report(result.body.decode("latin-1"))
            if load is None and result.body.strip():
                outcome = Outcome.ERROR  # the decision module would take a missing report as idle
        latency = self.clock.now() - attempt.sent_at
        if outcome is not Outcome.OK:
            log.debug("probe of %s: %s, %d us", attempt.endpoint.upstream, outcome, latency)
        self._post(ProbeEnded(attempt.endpoint.upstream, outcome, latency, load))

    def _release(self, action: Release) -> None:
        self._pool.close_idle(action.upstream)

    def _watch_list(self, action: WatchList) -> None:
        if self.watch is not None:
            self.watch.watch(action.on)
