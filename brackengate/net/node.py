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

from brackengate.http.body import AnswerSink, AnswerStream, Body
from brackengate.http.upstream import Answered
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
from brackengate.net.alarms import Alarm, Alarms
from brackengate.net.observer import Observer
from brackengate.net.sockets import Address
from brackengate.net.upstream import Job, Pool, Result, always, load_report

log = logging.getLogger(__name__)

PROBE = b"GET /status/load HTTP/1.1\r\nHost: %s\r\n\r\n"
PROBE_SHARE = 0.25  # of the connect time-out: word that takes longer says nothing of the present
REMEMBERED = 1024  # ids

NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
REFUSED, FAILED, OVERDUE, BROKEN = 503, 502, 504, 500


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
    retry_after: int = 0  # microseconds; 0: nothing is said
    ran: Sequence[EarlierAttempt] = ()  # of one that was not served: where an upstream may have executed it
    extra: bytes = b""  # whole header lines
    stream: AnswerStream | None = None  # what follows `body`, for a caller that sets its `sink`


class Caller(Protocol):
    """The callers' side of a request: takes one answer."""

    def answer(self, reply: Reply) -> None: ...


class DecisionModule(Protocol):
    """`brackengate.balancer.Balancer`, or a script in its place in tests of the host."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


class Watch(Protocol):
    """Discovery's side: starts or ends the watch."""

    def watch(self, on: bool) -> None: ...


@dataclass(slots=True)
class Origin:
    """Whence a request came, where a stage at the door asks."""

    client: str
    address: str  # without its port
    place: bytes = b""  # the token of a place that it comes to


@dataclass(slots=True)
class Message:
    """What goes on to an upstream: the head up to its last header, and the body."""

    head: bytes
    body: bytes
    key: bytes = b""  # its Idempotency-Key
    client: str | None = None  # who sent it, where that is declared
    origin: Origin | None = None
    parts: int = 1  # operations in it
    route: object = None  # what its front's router chose, where there is one
    stream: Body | None = None  # in place of `body`: it is still coming
    in_pieces: bool = False  # whether its answer may be passed on as it comes
    call: bytes = b""  # the id that answers to it bear
    wanted: Callable[[], bool] = always  # False: its caller has left, though nobody has said so yet

    def payload(self, remaining_ms: int, upstream: str, number: int) -> bytes:
        """What is written for an attempt, up to a body that is still coming."""
        return b"%sX-Remaining-Ms: %d\r\n\r\n%s" % (self.head, remaining_ms, self.body)


class Words(Protocol):
    """What a node says to its callers: by default the platform's words."""

    def served(self, result: Result) -> Reply: ...

    def begins(self, head: Answered) -> Reply:
        """Of a long answer, with the first bytes of its body."""

    def unserved(
        self, status: int, retry_after: int, last: Result | None, ran: Sequence[EarlierAttempt]
    ) -> Reply:
        """`last`: the last whole answer that was no success, where there was one."""


class PlainWords:
    def served(self, result: Result) -> Reply:
        return Reply(200, result.body, result.content_type)

    def begins(self, head: Answered) -> Reply:
        return Reply(200, head.body, head.fields.get(b"content-type", b""))

    def unserved(
        self, status: int, retry_after: int, last: Result | None, ran: Sequence[EarlierAttempt]
    ) -> Reply:
        return Reply(status, retry_after=retry_after, ran=ran)


@dataclass(slots=True, eq=False)
class Attempt:
    row: Endpoint
    sent: int
    job: Job | None = None
    timer: Alarm | None = None
    outcome: Outcome | None = None  # None: still out


@dataclass(slots=True, eq=False)
class Exchange:
    """One request, from its last byte until its answer and the last outcome of its attempts."""

    id: str
    request: Request
    caller: Caller
    message: Message
    deadline: int
    began: int
    overdue: Alarm | None = None
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    done: bool = False  # it has had its answer, or the beginning of it
    streaming: Attempt | None = None  # whose answer is being passed on
    sink: AnswerSink | None = None
    counted: bool = False  # the observer has heard that it was taken
    last: Result | None = None  # with the last answer that was no success

    @property
    def open(self) -> bool:
        """Whether its body is still coming."""
        stream = self.message.stream
        return stream is not None and not stream.whole

    def ran(self) -> list[EarlierAttempt]:
        """Where it may have run, with what its request said of earlier ones."""
        mine = [EarlierAttempt(a.row, a.sent) for a in self.attempts if a.outcome not in NEVER_RAN]
        return [*self.request.earlier, *mine]


class Node:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        settings: Settings,
        module: DecisionModule,
        pool: Pool,
        words: Words | None = None,
    ) -> None:
        self._settings, self._pool = settings, pool
        self._words: Words = words or PlainWords()
        self.clock, self._alarms = clock, Alarms(loop, clock)
        self.watch: Watch | None = None
        self.observer: Observer | None = None
        self._module = module
        self._exchanges: dict[str, Exchange] = {}
        self._ended: dict[str, None] = {}  # ids of the latest requests that have ended
        self.classes = {cls.name: cls for cls in settings.classes}
        self._addresses = pool.wanted
        self._serving: set[str] = set()
        self._rows: dict[str, Endpoint] = {}
        self._events: deque[Event] = deque()
        self._busy = False
        self._probe_within = int(settings.connect_timeout * PROBE_SHARE)
        self._do: dict[type, Callable[..., None]] = {
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

    def serving(self) -> int:
        """Upstreams that the list says serve."""
        return len(self._serving)

    def listed_count(self) -> int:
        """Upstreams in the list, those that drain too."""
        return len(self._rows)

    def held(self) -> int:
        """Requests that still await their answer."""
        return sum(1 for one in self._exchanges.values() if not one.done or one.streaming is not None)

    def out(self) -> int:
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
        return request in self._exchanges or request in self._ended

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        """Take a request; `caller` gets exactly one answer, by the deadline, unless `gone` is called."""
        now = self.clock.now()
        exchange = Exchange(request.request, request, caller, message, request.deadline, now)
        self._exchanges[request.request] = exchange
        stream = message.stream
        if stream is not None:
            stream.on_end = partial(self._body_ended, exchange)
        if exchange.open:
            request.body_complete = False
        else:
            self._taken(exchange, now)
        self._post(request, now)

    def _taken(self, exchange: Exchange, now: int) -> None:
        """Its last byte has come: it counts, and its time begins."""
        self._count(exchange)
        exchange.overdue = self._alarms.at(exchange.deadline, partial(self._overdue, exchange), now)

    def _count(self, exchange: Exchange) -> None:
        exchange.counted = True
        if self.observer is not None:
            self.observer.taken(exchange.request, exchange.began)

    def _body_ended(self, exchange: Exchange) -> None:
        """The body of an open request is whole, or cut."""
        stream = exchange.message.stream
        if exchange.done or stream is None:
            return
        if stream.cut:
            self.gone(exchange.id, exchange.caller)
            return
        now = self.clock.now()
        exchange.deadline, exchange.began = now + exchange.deadline - exchange.began, now
        self._taken(exchange, now)
        for attempt in exchange.attempts:
            if attempt.job is not None:
                timed_out = partial(self._attempt_timed_out, attempt)
                attempt.timer = self._alarms.at(exchange.deadline, timed_out, now)
        self._post(RequestBodyComplete(exchange.id, exchange.deadline))

    def gone(self, request: str, caller: Caller) -> None:
        """The caller has closed its connection: nobody awaits the answer any more."""
        exchange = self._exchanges.get(request)
        if exchange is not None and exchange.caller is caller and not exchange.done:
            self._close(exchange, 0)
            self._post(ClientGone(request))

    def listed(self, kind: ListKind, rows: Iterable[tuple[Endpoint, Address]], version: int = 0) -> None:
        """Take discovery's word on the list of upstreams."""
        rows, served = list(rows), bool(self._serving)
        if kind in (ListKind.FULL, ListKind.CACHED):
            named = {row.upstream for row, _ in rows}
            for name in [name for name in self._addresses if name not in named]:
                self._drop(name)
        for row, address in rows:
            name = row.upstream
            if row.state is Lifecycle.GONE:
                self._drop(name)
                continue
            if self._addresses.get(name, address) != address:
                self._pool.release(name)
            self._addresses[name] = address
            self._rows[name] = row
            if row.state is Lifecycle.SERVING:
                self._serving.add(name)
            else:
                self._serving.discard(name)
        self._post(UpstreamList(kind, tuple(row for row, _ in rows), version))
        if self.observer is not None and bool(self._serving) is not served:
            self.observer.serving(not served)

    def told(self, event: Event) -> None:
        """Word for the module that is neither of requests nor of the list."""
        self._post(event)

    def retire(self) -> None:
        """No upstream any more, and none to come.

        What waits gets its answer now, what is out when its attempt ends; the module says which.
        """
        for name in list(self._addresses):
            self._drop(name)
        self._post(UpstreamList(ListKind.FULL, final=True))

    def _drop(self, name: str) -> None:
        self._addresses.pop(name, None)
        self._rows.pop(name, None)
        self._serving.discard(name)
        self._pool.release(name)

    # --- the module

    def _post(self, event: Event, now: int = 0) -> None:
        """Hand an event to the module, after those before it.

        Guards against recursion: an outcome found while an action is carried out waits until all actions
        of the present event are done, as the module would be entered a second time otherwise.  `now`: where
        the clock has just been read.
        """
        if self._busy:
            self._events.append(event)
            return
        self._busy = True
        try:
            self._handle(event, now or self.clock.now())
            while self._events:
                self._handle(self._events.popleft(), self.clock.now())
        finally:
            self._busy = False

    def _handle(self, event: Event, now: int) -> None:
        try:
            for action in self._module.handle(now, event):
                self._do[type(action)](action)
        except Exception:
            log.exception("the decision module failed on %s", type(event).__name__)
            exchange = self._exchanges.get(getattr(event, "request", ""))
            if exchange is not None and not exchange.done:
                self._close(exchange, BROKEN)
                exchange.caller.answer(Reply(BROKEN, ran=exchange.ran()))
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
        exchange.out += 1
        if self.observer is not None:
            self.observer.attempt_began(exchange.request, number, action.upstream, now)
        message, opened = exchange.message, exchange.open
        until = min(action.until, exchange.deadline) if action.until > 0 else exchange.deadline
        address = self._addresses.get(action.upstream)
        finish = partial(self._attempt_ended, exchange, number, attempt)
        late = until <= now and not opened
        again = message.stream is None or message.stream.again
        stopped = exchange.done or late or not again or number >= self._settings.max_attempts
        if stopped or address is None or not message.wanted():
            finish(Result(Outcome.NOT_SENT))
            return
        remaining = exchange.deadline - exchange.began if opened else until - now
        payload = message.payload(max(1, remaining // 1000), action.upstream, number)
        wrote = None
        if self.observer is not None:
            wrote = partial(self.observer.attempt_written, exchange.request, number, action.upstream)
        begun = partial(self._answer_begun, exchange, number, attempt) if message.in_pieces else None
        attempt.job = self._pool.start(
            action.upstream,
            address,
            payload,
            finish,
            wrote=wrote,
            body=message.stream,
            begun=begun,
            call=message.call,
            wanted=partial(self._wanted, exchange, until),
        )
        if not opened:
            attempt.timer = self._alarms.at(until, partial(self._attempt_timed_out, attempt), now)

    def _wanted(self, exchange: Exchange, until: int) -> bool:
        """Whether what waited for a connection is still to be sent: the process may have stood still."""
        late = not exchange.open and self.clock.now() >= max(until, exchange.deadline)
        return not late and exchange.message.wanted()

    def _answer_begun(
        self,
        exchange: Exchange,
        number: int,
        attempt: Attempt,
        head: Answered,
        stream: AnswerStream,
    ) -> AnswerSink | None:
        """The first bytes of a long answer: from here on it is the request's, and there is no way back."""
        if exchange.done:
            return None
        exchange.done, exchange.streaming = True, attempt
        self._let_go(exchange)
        if exchange.overdue is not None:
            exchange.overdue.cancel()
        if attempt.timer is not None:
            attempt.timer.cancel()
        reply = self._words.begins(head)
        reply.stream = stream
        exchange.caller.answer(reply)
        exchange.sink = stream.sink
        self._post(AnswerStarted(exchange.id, number, attempt.row.upstream, self.clock.now() - attempt.sent))
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
        exchange.out -= 1
        now = self.clock.now()
        latency = now - attempt.sent
        if self.observer is not None:
            self.observer.attempt_ended(
                exchange.request, number, attempt.row.upstream, result.outcome, latency
            )
        if exchange.streaming is attempt:
            self._stream_ended(exchange, result.outcome)
        elif result.outcome is Outcome.OK and not exchange.done:
            self._close(exchange, 200, now)
            exchange.caller.answer(self._words.served(result))
        elif exchange.done and exchange.out == 0:
            self._exchanges.pop(exchange.id, None)
        if result.outcome is not Outcome.OK:
            exchange.last = result if result.answer is not None else exchange.last
            log.debug(
                "%s/%d to %s: %s, %d us", exchange.id, number, attempt.row.upstream, result.outcome, latency
            )
        ended = AttemptEnded(
            exchange.id,
            number,
            attempt.row.upstream,
            result.outcome,
            latency,
            exchange.done,
            result.load,
            result.stale,
            exchange.message.stream is None or exchange.message.stream.again,
        )
        self._post(ended, now)

    def _stream_ended(self, exchange: Exchange, outcome: Outcome) -> None:
        """The rest of an answer is out, or will not come.  One whose caller has left counts under none."""
        sink, exchange.sink, exchange.streaming = exchange.sink, None, None
        whole = outcome is Outcome.OK
        self._close(exchange, 200 if whole else 0 if outcome is Outcome.CANCELLED else FAILED)
        if sink is not None:
            (sink.finish if whole else sink.cut)()

    def _cancel(self, action: CancelAttempt) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is not None and action.attempt < len(exchange.attempts):
            attempt = exchange.attempts[action.attempt]
            if attempt.job is not None and exchange.streaming is not attempt:
                attempt.job.give_up(Outcome.CANCELLED)

    # --- answers

    def _close(self, exchange: Exchange, status: int, now: int = 0) -> None:
        """The only place that ends a request: after it no answer is given.  `status` is for the observer."""
        exchange.done = True
        if not exchange.counted and status:
            self._count(exchange)  # answered before its body was there
        if self.observer is not None and exchange.counted:
            self.observer.ended(exchange.request, status, exchange.began, now or self.clock.now())
        self._ended[exchange.id] = None
        if len(self._ended) > REMEMBERED:
            del self._ended[next(iter(self._ended))]
        if exchange.overdue is not None:
            exchange.overdue.cancel()
        self._let_go(exchange)
        if exchange.out == 0:
            self._exchanges.pop(exchange.id, None)

    def _let_go(self, exchange: Exchange) -> None:
        """Nobody will send its body any more: what was not written whole never will be, and has not run."""
        if exchange.message.stream is None:
            return
        exchange.message.stream.cut_off()
        for attempt in exchange.attempts:
            if attempt.job is not None and not attempt.job.written:
                attempt.job.give_up(Outcome.CONNECT_FAILED)

    def _refuse(self, action: Refuse) -> None:
        self._finish(action.request, REFUSED, action.retry_after)

    def _fail(self, action: Fail) -> None:
        self._finish(action.request, FAILED, 0)

    def _finish(self, request: str, status: int, retry_after: int) -> None:
        exchange = self._exchanges.get(request)
        if exchange is not None and not exchange.done:
            self._close(exchange, status)
            left = exchange.deadline - self.clock.now()
            log.debug("%s: answered %d, %d us before its deadline", request, status, left)
            exchange.caller.answer(self._words.unserved(status, retry_after, exchange.last, exchange.ran()))

    def _overdue(self, exchange: Exchange) -> None:
        """The deadline, with no answer from the module: the caller still gets its one answer in time."""
        if not exchange.done:
            self._close(exchange, OVERDUE)
            exchange.caller.answer(self._words.unserved(OVERDUE, 0, None, exchange.ran()))
            self._post(ClientGone(exchange.id))

    # --- the rest

    def _set_timer(self, action: SetTimer) -> None:
        fired = TimerFired(action.token)
        now = self.clock.now()
        self._alarms.at(now + action.delay, partial(self._post, fired), now)

    def _probe(self, action: Probe) -> None:
        name, sent = action.upstream, self.clock.now()
        address = self._addresses.get(name)
        if address is None:
            self._post(ProbeEnded(name, Outcome.NOT_SENT))
            return
        payload = PROBE % f"{address[0]}:{address[1]}".encode()
        attempt = Attempt(self._rows.get(name) or Endpoint(name), sent)
        finish = partial(self._probe_ended, attempt)
        attempt.job = self._pool.start(name, address, payload, finish, probe=True)
        timed_out = partial(self._probe_timed_out, attempt)
        attempt.timer = self._alarms.at(sent + self._probe_within, timed_out, sent)

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
            load = load_report(result.body.decode("latin-1"))
            if load is None and result.body.strip():
                outcome = Outcome.ERROR  # the module would take no word for 'idle'
        latency = self.clock.now() - attempt.sent
        if outcome is not Outcome.OK:
            log.debug("probe of %s: %s, %d us", attempt.row.upstream, outcome, latency)
        self._post(ProbeEnded(attempt.row.upstream, outcome, latency, load))

    def _release(self, action: Release) -> None:
        self._pool.release(action.upstream)

    def _watch_list(self, action: WatchList) -> None:
        if self.watch is not None:
            self.watch.watch(action.on)
