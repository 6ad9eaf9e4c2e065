"""Connections to upstreams: the pool, and the outcome of each attempt and probe sent on them."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from time import monotonic_ns
from typing import Any, Protocol, cast

from brackengate.http import upstream as machine
from brackengate.http.body import MAX_UNSTREAMED_BYTES, Body, ByteBudget, ResponseSink, ResponseStream
from brackengate.http.connection_states import UpstreamState as State
from brackengate.http.upstream import MAX_STREAMED_RESPONSE_BYTES, UpstreamMachine
from brackengate.interface import LoadReport, Outcome
from brackengate.net.environment import NetworkBackend
from brackengate.net.observer import FlowCounter, FlowWatch
from brackengate.net.sockets import READ_BUFFER, Address, SocketBudget

log = logging.getLogger(__name__)

MAX_LOAD_VALUE = 1e6  # in a load report
SECOND_US = 1_000_000
SETTLE_US = 5_000  # after an answer, before its connection is used again
IDLE_LIMIT_FRACTION = 0.8  # idle connections are closed after this share of the upstream's limit
SWEEP_INTERVAL_S = 1.0
STALE_LOSS_WITHIN_US = (
    20_000  # a request on a connection that stood dead is lost within this time, else it is another loss
)
MIN_TRUSTED_IDLE_US = (
    50_000  # however many are lost, connections that stood idle for less than this are used again
)
TRUST_DOUBLING_TIME_US = 10 * SECOND_US  # the idle time that is trusted doubles in this time
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=([0-9]{1,6})")
NOT_EXECUTED = (
    Outcome.REJECTED,
    Outcome.NOT_SENT,
    Outcome.CONNECT_FAILED,
)  # after any of them it may go again
MAX_REJECTED_CALLS = 64  # calls that a connection remembers; beyond that another one is made
LOAD_FIELDS = {
    "inflight": "in_flight",
    "outstanding": "in_flight",
    "queue": "waiting",
    "backlog": "waiting",
    "util": "utilization",
    "utilization": "utilization",
}


@dataclass(slots=True)
class Result:
    """How an exchange ended, and what came back."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: LoadReport | None = None
    stale: bool = False  # lost with a connection that had stood idle
    response: machine.UpstreamResponse | None = None  # as it came, where whoever judges answers keeps it
    mismatched: bool = False  # it is not this request's answer: the connection is out of step, and is closed


def always_true() -> bool:
    return True


def monotonic_us() -> int:
    return monotonic_ns() // 1000


def new_tcp_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class StreamAcceptor(Protocol):
    """Who is asked whether an answer may be passed on in pieces; None: nobody wants it any more."""

    def __call__(self, head: machine.UpstreamResponse, stream: ResponseStream) -> ResponseSink | None: ...


def parse_load_report(text: str) -> LoadReport | None:
    """Read `inflight=7,queue=2,util=0.61`, or the same as JSON; fields not known here are skipped."""
    figures: dict[str, float] = {}
    try:
        if text.lstrip().startswith("{"):
            pairs: dict[str, Any] = json.loads(text)
        else:
            pairs = dict(pair.split("=", 1) for pair in text.split(",") if "=" in pair)
        for name, value in pairs.items():
            field = LOAD_FIELDS.get(name.strip())
            if field is not None:
                figures[field] = float(value)
                if not 0 <= figures[field] <= MAX_LOAD_VALUE:  # also where it is no number
                    return None  # a report that says what cannot be is not to be believed in the rest
    except (ValueError, TypeError, RecursionError):
        return None  # a report that cannot be read is no report; the answer it came with stands
    return LoadReport(**figures) if figures else None


def classify_response(answer: machine.UpstreamResponse) -> Result:
    """What a whole answer says."""
    status, fields = answer.status, answer.fields
    if status == 200:
        outcome = Outcome.OK
    elif status in (503, 504) and fields.get(b"x-turned-away") == b"1":
        outcome = Outcome.REJECTED
    else:
        outcome = Outcome.ERROR  # without that header 503 and 504 prove nothing
    pressure = fields.get(b"x-pressure")
    load = parse_load_report(pressure.decode("latin-1")) if pressure is not None else None
    return Result(outcome, answer.body, fields.get(b"content-type", b""), load)


ResponseClassifier = Callable[
    [bytes, machine.UpstreamResponse], Result
]  # what a request's payload and its whole answer mean


class Job:
    """One exchange with an upstream.  It ends exactly once, with `done`."""

    __slots__ = (
        "_on_done",
        "_on_written",
        "body",
        "call_id",
        "connection",
        "dial_task",
        "ended",
        "on_streaming",
        "payload",
        "probe",
        "retried",
        "sink",
        "still_wanted",
        "unstreamed_bytes",
    )

    def __init__(
        self,
        payload: bytes,
        on_done: Callable[[Result], None],
        probe: bool = False,
        on_written: Callable[[], None] | None = None,
        body: Body | None = None,
        on_streaming: StreamAcceptor | None = None,
        unstreamed_bytes: int = MAX_UNSTREAMED_BYTES,
        call_id: bytes = b"",
        still_wanted: Callable[[], bool] = always_true,
    ) -> None:
        """`on_written`: told once, when the last byte is with the kernel.  `body`: what follows `payload` in
        pieces.  `on_streaming`: takes an answer of over `unstreamed_bytes` bytes in pieces; None: it must be
        whole.  `call_id`:
        the id that its answer will bear.  `still_wanted`: asked once a connection stands that had to be
        made, so
        that what was given up meanwhile is not sent."""
        self.probe, self.call_id, self.still_wanted = probe, call_id, still_wanted
        self._on_written = on_written
        self.body, self.on_streaming, self.unstreamed_bytes = body, on_streaming, unstreamed_bytes
        self.sink: ResponseSink | None = None  # once an answer is passed on
        self.retried = False  # sent a second time
        self.payload = payload
        self._on_done = on_done
        self.ended = False
        self.connection: Connection | None = None
        self.dial_task: asyncio.Task[None] | None = None

    @property
    def written(self) -> bool:
        """Whether the last byte was handed to the kernel: only then may the request have run."""
        return self.connection is not None and self.connection.written

    def on_written(self) -> None:
        told, self._on_written = self._on_written, None
        if told is not None and not self.ended:
            told()

    def finish(self, result: Result) -> None:
        if not self.ended:
            self.ended = True
            self._release_body()
            self._on_done(result)

    def _release_body(self) -> None:
        if self.body is not None:
            self.body.close()

    def connection_broken(self, stale: bool = False) -> None:
        self.finish(Result(Outcome.RESET if self.written else Outcome.CONNECT_FAILED, stale=stale))

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting.  The connection is closed: that is how an upstream is told."""
        if self.ended:
            return
        connection, dial = self.connection, self.dial_task
        self.ended = True  # what the closing brings about is not an outcome any more
        self._release_body()
        if connection is not None:
            connection.drop()
        elif dial is not None:
            dial.cancel()
        self._on_done(Result(outcome))


class Connection(asyncio.BufferedProtocol):
    """One connection to one upstream, one exchange at a time: carries out what its machine says."""

    def __init__(self, pool: Pool, name: str, address: Address, sock: socket.socket) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.idle_since = 0
        self.machine = UpstreamMachine()
        self._sock = sock
        self._job: Job | None = None
        self._transport: asyncio.Transport | None = None
        self._accounted_bytes = 0  # bytes of an answer that is kept until it is whole, as told to the bound
        self.must_settle = False  # whether more could follow its last answer
        self.rejected_calls: set[bytes] = set()  # calls that were not run here
        self.idle_limit_us = pool.idle_limit_us
        self._keep_alive_header = b""  # as last told
        self._flow: FlowCounter | None = None  # where somebody looks on

    @property
    def closing(self) -> bool:
        return self.machine.state is State.CLOSED

    @property
    def written(self) -> bool:
        return self.machine.written

    # --- use

    def start(self, job: Job, now: int) -> None:
        """Write the whole request.

        With a high-water mark of 0 the transport tries the kernel at once and calls `resume_writing` when
        a rest it had to keep is out, so `written` never counts bytes that lie in the transport.
        """
        self._job, job.connection = job, self
        passing = (
            None
            if job.on_streaming is None
            else self.pool.streaming_policy(job.payload, job.unstreamed_bytes)
        )
        self.machine.start_request(now, job.body, passing)
        self._write(job.payload)
        if job.body is not None and not job.body.open(self._write_pieces):
            self.drop()
            job.connection_broken()
            return
        self._write_pieces(now)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        if self._flow is not None:
            self._flow.sent(len(data))
        self._transport.write(data)

    def _write_pieces(self, now: int = 0) -> None:
        """Write the request's pieces as the kernel takes them; after the last one the request is written."""
        job, transport = self._job, self._transport
        if job is None or transport is None or self.machine.written:
            return
        while not transport.is_closing() and transport.get_write_buffer_size() == 0:
            piece = self.machine.next_piece(now or self.pool.now())
            if piece is None:
                return
            if not piece:
                job.on_written()
                return
            self._write(piece)

    def usable(self) -> bool:
        """Whether an idle connection still stands: bytes or an end that the loop has not met yet end it.

        Guards against sending on a connection that the upstream has closed: that would be a reset, which
        an unsafe request cannot be repeated after.
        """
        if self.closing or self._transport is None or self._transport.is_closing():
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def drop(self) -> None:
        """Close at once, with whatever is unsent."""
        self._job = None
        self.machine.close()
        self._update_byte_budget()
        if self._transport is not None:
            self._transport.abort()

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one without deriving from it
        self._transport.set_write_buffer_limits(high=0)
        if self.pool.flows is not None:
            local = transport.get_extra_info("sockname")
            self._flow = self.pool.flows.upstream(local, self.address)

    def pause_writing(self) -> None:
        pass  # the next piece is written when this one is out

    def resume_writing(self) -> None:
        self._write_pieces()

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._flow is not None:
            self._flow.received(nbytes)
        now = self.pool.now()
        self._handle_events(self.machine.received(bytes(READ_BUFFER[:nbytes]), now), now)

    def connection_lost(self, exc: Exception | None) -> None:
        now, it = self.pool.now(), self.machine
        heard, idle = it.response_started, self.idle_since
        self._handle_events(it.ended(exc is None), now)
        self._update_byte_budget()
        if self._flow is not None and self.pool.flows is not None:
            self.pool.flows.ended(self._flow, exc is not None)
            self._flow = None
        job, self._job = self._job, None
        self.pool.connection_closed(self)
        if job is None:
            return
        stale = idle > 0 and not heard and now - it.request_started_at < STALE_LOSS_WITHIN_US
        if stale:
            self.pool.reduce_trusted_idle(it.request_started_at - idle)
        if job.probe and not heard and not job.retried:
            job.retried = True
            self.pool.dial(job, self.name, self.address)
        else:
            job.connection_broken(stale)

    # --- carrying out

    def _handle_events(self, events: list[machine.Event], now: int) -> None:
        self._update_byte_budget()
        for event in events:
            job = self._job
            if isinstance(event, machine.UpstreamResponse):
                self._response_complete(event, now)
            elif isinstance(event, machine.BodyPiece):
                if job is not None and job.sink is not None:
                    job.sink.write(event.data)
            elif isinstance(event, machine.ResponseStarted):
                if job is not None and not self._start_streaming(job, event):
                    self._end_with_invalid_response("an answer that nobody awaits")
            elif isinstance(event, machine.InvalidResponse):
                self._end_with_invalid_response(event.reason)
            else:
                log.warning("upstream %s sent bytes that nobody asked for", self.name)
                self.drop()

    def _start_streaming(self, job: Job, answer: machine.ResponseStarted) -> bool:
        """The first bytes are there: the rest goes the same way, as fast as the caller takes it."""
        stream = ResponseStream(answer.length, self._set_paused, partial(job.give_up, Outcome.CANCELLED))
        assert job.on_streaming is not None
        job.sink = stream.sink = job.on_streaming(answer.head, stream)
        return job.sink is not None

    def _set_paused(self, on: bool) -> None:
        transport = self._transport
        if on is self.machine.paused or transport is None or transport.is_closing():
            return
        self.machine.set_paused(on, self.pool.now())
        (transport.pause_reading if on else transport.resume_reading)()

    def stalled(self, now: int) -> bool:
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return self._job is not None and self.machine.stalled(now, unsent)

    def _update_byte_budget(self) -> None:
        """Of an answer that is kept until it is whole."""
        kept = self.machine.buffered_bytes
        if kept != self._accounted_bytes:
            self.pool.byte_budget.acquire(kept - self._accounted_bytes)
            self._accounted_bytes = kept

    # --- endings

    def _response_complete(self, answer: machine.UpstreamResponse, now: int) -> None:
        job, self._job = self._job, None
        self._set_paused(False)  # the caller may not have taken the last piece; the next answer is another's
        self.must_settle = job is None or not job.probe
        result = self.pool.classify(job.payload, answer) if job is not None else None
        if job is not None and job.call_id and result is not None and result.outcome in NOT_EXECUTED:
            self.rejected_calls.add(job.call_id)
        self._apply_keep_alive(answer)
        astray = result is not None and result.mismatched  # another one's answer: so may the next be
        crowded = len(self.rejected_calls) > MAX_REJECTED_CALLS
        if answer.reuse and not (self.closing or astray or crowded):
            self.pool.return_to_pool(self, now)  # before `done`: what it starts may use this connection
        else:
            self.drop()
        if job is not None and result is not None:
            job.finish(result)

    def _apply_keep_alive(self, answer: machine.UpstreamResponse) -> None:
        """An upstream's own limit on idle connections, where it tells one, comes before ours.

        Guards against a request that crosses its close: whether that one ran, nobody could tell.
        """
        told = answer.fields.get(b"keep-alive", b"")
        if told == self._keep_alive_header:
            return
        self._keep_alive_header = told
        found = KEEP_ALIVE_TIMEOUT_PATTERN.search(told)
        theirs = (
            int(int(found[1]) * IDLE_LIMIT_FRACTION * SECOND_US)
            if found is not None
            else self.pool.idle_limit_us
        )
        self.idle_limit_us = min(self.pool.idle_limit_us, theirs)

    def reset(self) -> None:
        """The exchange ends here as if the connection had broken."""
        job = self._job
        self.drop()
        if job is not None:
            job.connection_broken()

    def _end_with_invalid_response(self, why: str) -> None:
        """The request may have run, but the upstream stands and its connection did too: an error of its own.

        Spoilt answers come from any upstream alike.  As resets they would demote half of a fleet for seconds.
        """
        log.info("upstream %s sent what is no answer: %s", self.name, why)
        job, ran = self._job, self.written
        self.drop()
        if job is not None:
            job.finish(Result(Outcome.ERROR if ran else Outcome.CONNECT_FAILED))


def _return_connection(made: Connection) -> Connection:
    return made


class Pool:
    """All connections to upstreams.  The host names upstreams; addresses change beneath them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        budget: SocketBudget,
        connect_timeout_s: float,
        idle_close_s: float,
        byte_budget: ByteBudget | None = None,
        network: NetworkBackend | None = None,
        classify: ResponseClassifier = lambda _, answer: classify_response(answer),
        settle_us: int | None = None,
        tcp_user_timeout_ms: int = 0,
        stream_slow_responses: bool = True,
    ) -> None:
        """`network`: what it stands on, in place of the machine's clock and sockets.  `classify`: says what
        a whole
        answer means, and by its head whether a long one is passed on; a pure function.  `settle_us`: how
        long a
        connection rests after an answer, in microseconds.  `tcp_user_timeout_ms`: one whose bytes nobody
        takes for so
        long is broken off; 0: for as long as the system says.  `stream_slow_responses`: short ones that come
        slowly are passed
        on, too."""
        self._tcp_user_timeout_ms = tcp_user_timeout_ms
        self.classify, self._settle_us, self._stream_slow_responses = (
            classify,
            SETTLE_US if settle_us is None else settle_us,
            stream_slow_responses,
        )
        self.byte_budget = byte_budget or ByteBudget(MAX_STREAMED_RESPONSE_BYTES)
        self.now = network.now if network is not None else monotonic_us
        self._new_socket = network.socket if network is not None else new_tcp_socket
        self._loop, self._budget = loop, budget
        self._connect_timeout_s = connect_timeout_s
        self.idle_limit_us = int(idle_close_s * IDLE_LIMIT_FRACTION * SECOND_US)
        self._trusted_idle_us, self._trust_updated_at = self.idle_limit_us, 0  # as of a time
        self._idle: dict[str, list[Connection]] = {}  # by upstream, the warmest last
        self._idle_by_age: dict[Connection, None] = {}  # all idle ones, in the order in which they became so
        self._open: dict[Connection, None] = {}
        self.addresses: dict[
            str, Address
        ] = {}  # upstreams that the list holds: only their connections are kept
        self.flows: FlowWatch | None = None
        budget.add_evictor(self._evict)
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def start(
        self,
        name: str,
        address: Address,
        payload: bytes,
        on_done: Callable[[Result], None],
        probe: bool = False,
        on_written: Callable[[], None] | None = None,
        body: Body | None = None,
        on_streaming: StreamAcceptor | None = None,
        unstreamed_bytes: int = MAX_UNSTREAMED_BYTES,
        call_id: bytes = b"",
        still_wanted: Callable[[], bool] = always_true,
    ) -> Job:
        """Send on the warmest idle connection, else on a new one.  `on_done` never comes before this returns.

        Guards against bytes behind an answer that come a moment after it: on a connection that is used again
        at once they would be read as the answer to the next request.  Probes' answers, small and made beside
        the work, are held to settle at once.  And against a second copy of an answer that turned this very
        call away: its id would fit, so the call does not go on that connection again.
        """
        job, now = (
            Job(
                payload,
                on_done,
                probe,
                on_written,
                body,
                on_streaming,
                unstreamed_bytes,
                call_id,
                still_wanted,
            ),
            self.now(),
        )
        settled, trusted = now - self._settle_us, now - self._trusted_idle_at(now)
        for connection in self._idle.get(name, [])[::-1]:
            if connection.must_settle and connection.idle_since > settled:
                continue
            if call_id and call_id in connection.rejected_calls:
                continue
            self._forget_idle(connection)
            fresh = connection.idle_since > max(trusted, now - connection.idle_limit_us)
            if connection.address == address and fresh and connection.usable():
                connection.start(job, now)
                return job
            connection.drop()
        self.dial(job, name, address)
        return job

    def streaming_policy(self, payload: bytes, unstreamed_bytes: int) -> machine.StreamingPolicy:
        """Which answers to a request are passed on as they come: only what is judged good."""
        return machine.StreamingPolicy(
            lambda head: self.classify(payload, head).outcome is Outcome.OK,
            unstreamed_bytes,
            self._stream_slow_responses,
        )

    def dial(self, job: Job, name: str, address: Address) -> None:
        """Send on a new connection.

        Also a probe, once, that was lost with its connection: word of a dead upstream should not rest on
        one connection, and a probe runs nothing twice.  An upstream that is down refuses the second at once.
        """
        job.connection = None
        job.dial_task = self._loop.create_task(self._dial(job, name, address, self._connect_timeout_s))

    def reduce_trusted_idle(self, idle_for: int) -> None:
        """A connection that had stood idle this long was dead, and nothing had told so.

        Guards against what drops idle connections unseen (an upstream's own shorter limit, a middlebox that
        forgets flows): each loss may be of a request that cannot be sent again.  Half the time is trusted
        from then on, and twice as much after each TRUST_DOUBLES.  The harm: where the losses have other
        causes, more requests pay for a new connection, for some ten seconds from the last loss.
        """
        now = self.now()
        self._trusted_idle_us = max(MIN_TRUSTED_IDLE_US, min(self._trusted_idle_at(now), idle_for // 2))
        self._trust_updated_at = now

    def _trusted_idle_at(self, now: int) -> int:
        if self._trusted_idle_us >= self.idle_limit_us:  # as nearly always
            return self.idle_limit_us
        doublings = min(60.0, (now - self._trust_updated_at) / TRUST_DOUBLING_TIME_US)
        return min(self.idle_limit_us, int(self._trusted_idle_us * 2**doublings))

    def return_to_pool(self, connection: Connection, now: int) -> None:
        if self.addresses.get(connection.name) != connection.address:
            connection.drop()  # its upstream has left the list, or moved, while it was in use
            return
        connection.idle_since = now
        self._idle.setdefault(connection.name, []).append(connection)
        self._idle_by_age[connection] = None

    def connection_closed(self, connection: Connection) -> None:
        self._forget_idle(connection)
        if connection in self._open:
            del self._open[connection]
            self._budget.release()

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle.pop(name, []):
            self._idle_by_age.pop(connection, None)
            connection.drop()

    def reset_connections(self, host: str) -> None:
        """End every connection to a machine, and what is under way on it, as if they had broken."""
        for connection in [one for one in self._open if one.address[0] == host]:
            connection.reset()

    def close(self) -> None:
        self._sweep_timer.cancel()
        for connection in list(self._open):
            connection.drop()

    async def _dial(self, job: Job, name: str, address: Address, within_s: float) -> None:
        sock: socket.socket | None = None
        made: Connection | None = None
        claimed = False
        try:
            claimed = self._budget.acquire()
            if not claimed:
                level = logging.DEBUG if self._budget.refused_by_own_limit else logging.WARNING
                log.log(level, "no socket left for a connection to %s", name)
                if self._budget.refused_by_own_limit:
                    job.dial_task = None
                    job.finish(
                        Result(Outcome.NOT_SENT)
                    )  # a bound of ours: nothing is wrong with the upstream
                    return
                raise OSError("out of sockets")
            sock = self._new_socket(address)
            if self._tcp_user_timeout_ms:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._tcp_user_timeout_ms)
            made = Connection(self, name, address, sock)
            async with asyncio.timeout(within_s):
                await self._loop.sock_connect(sock, address)
                await self._loop.create_connection(partial(_return_connection, made), sock=sock)
            sock = None  # the transport closes it
            self._open[made] = None
            claimed = False
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            log.debug("no connection to %s: %r", name, error)
            job.dial_task = None
            job.finish(Result(Outcome.CONNECT_FAILED))
            return
        finally:
            if sock is not None:
                if made is not None:
                    made.drop()  # given up in the turn in which it stood
                sock.close()
            if claimed:
                self._budget.release()
        job.dial_task = None
        if job.ended or made.closing:
            made.drop()
            job.connection_broken()
        elif not job.still_wanted():
            made.drop()
            job.finish(Result(Outcome.NOT_SENT))
        else:
            made.start(job, self.now())

    def _forget_idle(self, connection: Connection) -> None:
        if connection in self._idle_by_age:
            del self._idle_by_age[connection]
            stack = self._idle[connection.name]
            stack.remove(connection)
            if not stack:
                del self._idle[connection.name]  # names are ever new: an empty list for each would pile up

    def _evict(self) -> bool:
        oldest = next(iter(self._idle_by_age), None)
        if oldest is None:
            return False
        self._forget_idle(oldest)
        oldest.drop()
        self.connection_closed(oldest)
        return True

    def _sweep(self) -> None:
        """Close idle connections before the upstream may: a request that crosses its close is a reset."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.now()
        for connection in [one for one in self._open if one.stalled(now)]:
            log.info("upstream %s stands still in the middle of a body", connection.name)
            connection.reset()
        sweep, trusted = int(SWEEP_INTERVAL_S * SECOND_US), self._trusted_idle_at(now)
        for connection in list(self._idle_by_age):
            own = connection.idle_limit_us
            if now - connection.idle_since < min(max(own - sweep, own // 2), trusted):
                continue
            self._forget_idle(connection)
            connection.drop()
