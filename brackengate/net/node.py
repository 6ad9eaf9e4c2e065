"""One balancer: feeds events to the decision module and carries out its actions.  Decides nothing."""

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
    Earlier,
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
    RequestWhole,
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
PROBE_TIMEOUT_FRACTION = 0.25  # of the connect time-out: word that takes longer says nothing of the present
MAX_RECENT_IDS = 1024  # ids

NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
STATUS_UNAVAILABLE, STATUS_BAD_GATEWAY, STATUS_GATEWAY_TIMEOUT, STATUS_INTERNAL_ERROR = 503, 502, 504, 500


class Clock:
    """Whole microseconds of Unix time, as at the start, carried on by the monotonic clock.

    Guards against steps of the wall clock: deadlines must not move, and an upstream's `since_ms` must give
    the same start from row to row, or each row would look like a restart.
    """

    def __init__(self) -> None:
        self._offset = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        return self._offset + time.monotonic_ns() // 1000


@dataclass(slots=True)
class Reply:
    """The one answer to a request, on its way to whoever asked."""

    status: int
    body: bytes = b""
    content_type: bytes = b""
    retry_after_us: int = 0  # microseconds; 0: nothing is said
    possible_executions: Sequence[
        Earlier
    ] = ()  # of one that was not served: where an upstream may have executed it
    extra_headers: bytes = b""  # whole header lines
    stream: ResponseStream | None = None  # what follows `body`, for a caller that sets its `sink`


class Caller(Protocol):
    """The callers' side of a request: takes one answer."""

    def answer(self, reply: Reply) -> None: ...


class DecisionModule(Protocol):
    """`brackengate.brain.Balancer`, or a script in its place in tests of the host."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


class DiscoveryWatch(Protocol):
    """Discovery's side: starts or ends the watch."""

    def watch(self, on: bool) -> None: ...


@dataclass(slots=True)
class ClientInfo:
    """Whence a request came, where a stage at the door asks."""

    client: str
    address: str  # without its port
    queue_token: bytes = b""  # the token of a place that it comes to


@dataclass(slots=True)
class Message:
    """What goes on to an upstream: the head up to its last header, and the body."""

    head: bytes
    body: bytes
    key: bytes = b""  # its Idempotency-Key
    client: str | None = None  # who sent it, where that is declared
    client_info: ClientInfo | None = None
    operation_count: int = 1  # operations in it
    route: object = None  # what its front's router chose, where there is one
    stream: Body | None = None  # in place of `body`: it is still coming
    stream_response: bool = False  # whether its answer may be passed on as it comes
    call_id: bytes = b""  # the id that answers to it bear
    still_wanted: Callable[[], bool] = (
        always_true  # False: its caller has left, though nobody has said so yet
    )

    def payload(self, remaining_ms: int, upstream: str, number: int) -> bytes:
        """What is written for an attempt, up to a body that is still coming."""
        return b"%sX-Remaining-Ms: %d\r\n\r\n%s" % (self.head, remaining_ms, self.body)


class ReplyFormat(Protocol):
    """What a node says to its callers: by default the platform's words."""

    def success(self, result: Result) -> Reply: ...

    def streaming(self, head: UpstreamResponse) -> Reply:
        """Of a long answer, with the first bytes of its body."""

    def failure(self, status: int, retry_after: int, last: Result | None, ran: Sequence[Earlier]) -> Reply:
        """`last`: the last whole answer that was no success, where there was one."""


class PlainReplyFormat:
    def success(self, result: Result) -> Reply:
        return Reply(200, result.body, result.content_type)

    def streaming(self, head: UpstreamResponse) -> Reply:
        return Reply(200, head.body, head.fields.get(b"content-type", b""))

    def failure(self, status: int, retry_after: int, last: Result | None, ran: Sequence[Earlier]) -> Reply:
        return Reply(status, retry_after_us=retry_after, possible_executions=ran)


@dataclass(slots=True, eq=False)
class Attempt:
    endpoint: Endpoint
    sent_at: int
    job: Job | None = None
    timer: Timer | None = None
    outcome: Outcome | None = None  # None: still out


@dataclass(slots=True, eq=False)
class Exchange:
    """One request, from its last byte until its answer and the last outcome of its attempts."""

    id: str
    request: Request
    caller: Caller
    message: Message
    deadline: int
    began_at: int
    deadline_timer: Timer | None = None
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    answered: bool = False  # it has had its answer, or the beginning of it
    streaming_attempt: Attempt | None = None  # whose answer is being passed on
    sink: ResponseSink | None = None
    start_reported: bool = False  # the observer has heard that it was taken
    last_failure: Result | None = None  # with the last answer that was no success

    @property
    def body_incomplete(self) -> bool:
        """Whether its body is still coming."""
        stream = self.message.stream
        return stream is not None and not stream.complete

    def possible_executions(self) -> list[Earlier]:
        """Where it may have run, with what its request said of earlier ones."""
        mine = [Earlier(a.endpoint, a.sent_at) for a in self.attempts if a.outcome not in NOT_EXECUTED]
        return [*self.request.earlier, *mine]


class Node:
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

    # --- what comes in

    def can_serve(self) -> bool:
        return bool(self._serving)

    def serving_count(self) -> int:
        """Upstreams that the list says serve."""
        return len(self._serving)

    def upstream_count(self) -> int:
        """Upstreams in the list, those that drain too."""
        return len(self._rows)

    def pending_count(self) -> int:
        """Requests that still await their answer."""
        return sum(
            1 for one in self._exchanges.values() if not one.answered or one.streaming_attempt is not None
        )

    def unfinished_count(self) -> int:
        """Requests that still have something of them here: an answer to come, or an attempt that runs."""
        return len(self._exchanges)

    def in_flight(self, request: str) -> bool:
        return request in self._exchanges

    def started(self, request: str) -> bool:
        """Whether an attempt of it has been sent, by its request's own word or here."""
        exchange = self._exchanges.get(request)
        return exchange is not None and bool(exchange.attempts or exchange.request.earlier)

    def known(self, request: str) -> bool:
        """Whether the id is in flight, or was of late."""
        return request in self._exchanges or request in self._recent_ids

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        """Take a request; `caller` gets exactly one answer, by the deadline, unless `gone` is called."""
        now = self.clock.now()
        exchange = Exchange(request.request, request, caller, message, request.deadline, now)
        self._exchanges[request.request] = exchange
        stream = message.stream
        if stream is not None:
            stream.on_end = partial(self._body_ended, exchange)
        if exchange.body_incomplete:
            request.whole = False
        else:
            self._request_complete(exchange, now)
        self._post(request, now)

    def _request_complete(self, exchange: Exchange, now: int) -> None:
        """Its last byte has come: it counts, and its time begins."""
        self._report_started(exchange)
        exchange.deadline_timer = self._timers.schedule(
            exchange.deadline, partial(self._overdue, exchange), now
        )

    def _report_started(self, exchange: Exchange) -> None:
        exchange.start_reported = True
        if self.observer is not None:
            self.observer.taken(exchange.request, exchange.began_at)

    def _body_ended(self, exchange: Exchange) -> None:
        """The body of an open request is whole, or cut."""
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
        self._post(RequestWhole(exchange.id, exchange.deadline))

    def client_disconnected(self, request: str, caller: Caller) -> None:
        """The caller has closed its connection: nobody awaits the answer any more."""
        exchange = self._exchanges.get(request)
        if exchange is not None and exchange.caller is caller and not exchange.answered:
            self._close(exchange, 0)
            self._post(ClientGone(request))

    def update_upstreams(
        self, kind: ListKind, rows: Iterable[tuple[Endpoint, Address]], version: int = 0
    ) -> None:
        """Take discovery's word on the list of upstreams."""
        rows, served = list(rows), bool(self._serving)
        if kind in (ListKind.FULL, ListKind.CACHED):
            named = {row.upstream for row, _ in rows}
            for name in [name for name in self._addresses if name not in named]:
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
        if self.observer is not None and bool(self._serving) is not served:
            self.observer.serving(not served)

    def post_event(self, event: Event) -> None:
        """Word for the module that is neither of requests nor of the list."""
        self._post(event)

    def retire(self) -> None:
        """No upstream any more, and none to come.

        What waits gets its answer now, what is out when its attempt ends; the module says which.
        """
        for name in list(self._addresses):
            self._remove_upstream(name)
        self._post(UpstreamList(ListKind.FULL, last=True))

    def _remove_upstream(self, name: str) -> None:
        self._addresses.pop(name, None)
        self._rows.pop(name, None)
        self._serving.discard(name)
        self._pool.close_idle(name)

    # --- the module

    def _post(self, event: Event, now: int = 0) -> None:
        """Hand an event to the module, after those before it.

        Guards against recursion: an outcome found while an action is carried out waits until all actions
        of the present event are done, as the module would be entered a second time otherwise.  `now`: where
        the clock has just been read.
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
            log.error("the module sent a request that is not held: %s", action.request)
            self._post(AttemptEnded(action.request, 0, action.upstream, Outcome.NOT_SENT, 0, True))
            return
        now = self.clock.now()
        number = len(exchange.attempts)
        attempt = Attempt(self._rows.get(action.upstream) or Endpoint(action.upstream, cell=-1), now)
        exchange.attempts.append(attempt)
        exchange.in_flight += 1
        if self.observer is not None:
            self.observer.attempt_began(exchange.request, number, action.upstream, now)
        message, opened = exchange.message, exchange.body_incomplete
        until = min(action.until, exchange.deadline) if action.until > 0 else exchange.deadline
        address = self._addresses.get(action.upstream)
        finish = partial(self._attempt_ended, exchange, number, attempt)
        late = until <= now and not opened
        again = message.stream is None or message.stream.replayable
        stopped = exchange.answered or late or not again or number >= self._settings.max_attempts
        if stopped or address is None or not message.still_wanted():
            finish(Result(Outcome.NOT_SENT))
            return
        remaining = exchange.deadline - exchange.began_at if opened else until - now
        payload = message.payload(max(1, remaining // 1000), action.upstream, number)
        wrote = None
        if self.observer is not None:
            wrote = partial(self.observer.attempt_written, exchange.request, number, action.upstream)
        begun = (
            partial(self._response_started, exchange, number, attempt) if message.stream_response else None
        )
        attempt.job = self._pool.start(
            action.upstream,
            address,
            payload,
            finish,
            on_written=wrote,
            body=message.stream,
            on_streaming=begun,
            call_id=message.call_id,
            still_wanted=partial(self._still_wanted, exchange, until),
        )
        if not opened:
            attempt.timer = self._timers.schedule(until, partial(self._attempt_timed_out, attempt), now)

    def _still_wanted(self, exchange: Exchange, until: int) -> bool:
        """Whether what waited for a connection is still to be sent: the process may have stood still."""
        late = not exchange.body_incomplete and self.clock.now() >= max(until, exchange.deadline)
        return not late and exchange.message.still_wanted()

    def _response_started(
        self,
        exchange: Exchange,
        number: int,
        attempt: Attempt,
        head: UpstreamResponse,
        stream: ResponseStream,
    ) -> ResponseSink | None:
        """The first bytes of a long answer: from here on it is the request's, and there is no way back."""
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
        if job is not None:  # what was never wholly written can't have run
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
        """The rest of an answer is out, or will not come.  One whose caller has left counts under none."""
        sink, exchange.sink, exchange.streaming_attempt = exchange.sink, None, None
        whole = outcome is Outcome.OK
        self._close(exchange, 200 if whole else 0 if outcome is Outcome.CANCELLED else STATUS_BAD_GATEWAY)
        if sink is not None:
            (sink.finish if whole else sink.truncate)()

    def _cancel(self, action: CancelAttempt) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is not None and action.attempt < len(exchange.attempts):
            attempt = exchange.attempts[action.attempt]
            if attempt.job is not None and exchange.streaming_attempt is not attempt:
                attempt.job.give_up(Outcome.CANCELLED)

    # --- answers

    def _close(self, exchange: Exchange, status: int, now: int = 0) -> None:
        """The only place that ends a request: after it no answer is given.  `status` is for the observer."""
        exchange.answered = True
        if not exchange.start_reported and status:
            self._report_started(exchange)  # answered before its body was there
        if self.observer is not None and exchange.start_reported:
            self.observer.ended(exchange.request, status, exchange.began_at, now or self.clock.now())
        self._recent_ids[exchange.id] = None
        if len(self._recent_ids) > MAX_RECENT_IDS:
            del self._recent_ids[next(iter(self._recent_ids))]
        if exchange.deadline_timer is not None:
            exchange.deadline_timer.cancel()
        self._release_body(exchange)
        if exchange.in_flight == 0:
            self._exchanges.pop(exchange.id, None)

    def _release_body(self, exchange: Exchange) -> None:
        """Nobody will send its body any more: what was not written whole never will be, and has not run."""
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

    def _finish(self, request: str, status: int, retry_after: int) -> None:
        exchange = self._exchanges.get(request)
        if exchange is not None and not exchange.answered:
            self._close(exchange, status)
            left = exchange.deadline - self.clock.now()
            log.debug("%s: answered %d, %d us before its deadline", request, status, left)
            exchange.caller.answer(
                self._reply_format.failure(
                    status, retry_after, exchange.last_failure, exchange.possible_executions()
                )
            )

    def _overdue(self, exchange: Exchange) -> None:
        """The deadline, with no answer from the module: the caller still gets its one answer in time."""
        if not exchange.answered:
            self._close(exchange, STATUS_GATEWAY_TIMEOUT)
            exchange.caller.answer(
                self._reply_format.failure(STATUS_GATEWAY_TIMEOUT, 0, None, exchange.possible_executions())
            )
            self._post(ClientGone(exchange.id))

    # --- the rest

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
                outcome = Outcome.ERROR  # the module would take no word for 'idle'
        latency = self.clock.now() - attempt.sent_at
        if outcome is not Outcome.OK:
            log.debug("probe of %s: %s, %d us", attempt.endpoint.upstream, outcome, latency)
        self._post(ProbeEnded(attempt.endpoint.upstream, outcome, latency, load))

    def _release(self, action: Release) -> None:
        self._pool.close_idle(action.upstream)

    def _watch_list(self, action: WatchList) -> None:
        if self.watch is not None:
            self.watch.watch(action.on)
