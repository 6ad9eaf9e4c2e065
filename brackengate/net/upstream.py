"""The pool of connections to upstreams, and the attempts and probes that are sent on them."""

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
SETTLE_US = 5_000  # pause after a response before its connection is used again
IDLE_LIMIT_FRACTION = 0.8  # idle connections are closed after this part of the upstream's limit
SWEEP_INTERVAL_S = 1.0
# A request on a connection that was already dead fails within this time; a later loss has another cause.
STALE_LOSS_WITHIN_US = 20_000
MIN_TRUSTED_IDLE_US = 50_000  # connections idle for less than this are always used again
TRUST_DOUBLING_TIME_US = 10 * SECOND_US  # the trusted idle time doubles in this time
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=([0-9]{1,6})")
# After these outcomes a request may be sent again.
NOT_EXECUTED = (Outcome.REJECTED, Outcome.NOT_SENT, Outcome.CONNECT_FAILED)
MAX_REJECTED_CALLS = 64  # rejected calls that a connection remembers; it is replaced if there are more
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
    """How an exchange with an upstream ended, and its response."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: LoadReport | None = None
    stale: bool = False  # the connection had been idle and broke
    response: machine.UpstreamResponse | None = None  # as received, if the classifier keeps it
    mismatched: bool = False  # the response is to another request; the connection is closed


def always_true() -> bool:
    """The default for checks whether a request is still wanted."""
    return True


def monotonic_us() -> int:
    """Microseconds of the machine's monotonic clock."""
    return monotonic_ns() // 1000


def new_tcp_socket(address: Address) -> socket.socket:
    """A non-blocking TCP socket without Nagle's algorithm, of the address's family."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class StreamAcceptor(Protocol):
    """Accepts a response that is to be streamed."""

    def __call__(self, head: machine.UpstreamResponse, stream: ResponseStream) -> ResponseSink | None:
        """The sink for the response's body, or None if the response is no longer wanted."""


def parse_load_report(text: str) -> LoadReport | None:
    """Parse `inflight=7,queue=2,util=0.61`, or the same as JSON; unknown fields are ignored.

    Returns None if the report is invalid or has no known field.
    """
    values: dict[str, float] = {}
    try:
        if text.lstrip().startswith("{"):
            pairs: dict[str, Any] = json.loads(text)
        else:
            pairs = dict(pair.split("=", 1) for pair in text.split(",") if "=" in pair)
        for name, value in pairs.items():
            field = LOAD_FIELDS.get(name.strip())
            if field is not None:
                values[field] = float(value)
                if not 0 <= values[field] <= MAX_LOAD_VALUE:  # also false for NaN
                    return None  # a report with an impossible value is not trusted at all
    except (ValueError, TypeError, RecursionError):
        return None  # the response that carried an invalid report is still valid
    return LoadReport(**values) if values else None


def classify_response(response: machine.UpstreamResponse) -> Result:
    """The outcome of a complete response by the platform's rules, with its load report."""
    status, fields = response.status, response.fields
    if status == 200:
        outcome = Outcome.OK
    elif status in (503, 504) and fields.get(b"x-turned-away") == b"1":
        outcome = Outcome.REJECTED
    else:
        outcome = Outcome.ERROR  # without that header, 503 and 504 do not prove that it was not executed
    pressure = fields.get(b"x-pressure")
    load = parse_load_report(pressure.decode("latin-1")) if pressure is not None else None
    return Result(outcome, response.body, fields.get(b"content-type", b""), load)


# Maps a request's payload and its complete response to a result.
ResponseClassifier = Callable[[bytes, machine.UpstreamResponse], Result]


class Job:
    """One exchange with an upstream: a request and its response.  It ends exactly once, with `on_done`."""

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
        """`on_written`: called once, when the last byte was passed to the kernel.  `body`: the streamed body
        that follows `payload`.  `on_streaming`: accepts a response of over `unstreamed_bytes` bytes as a
        stream; None: responses are buffered.  `call_id`: the id that the response carries.  `still_wanted`:
        checked after a new connection was made, so that an abandoned request is not sent."""
        self.probe, self.call_id, self.still_wanted = probe, call_id, still_wanted
        self._on_written = on_written
        self.body, self.on_streaming, self.unstreamed_bytes = body, on_streaming, unstreamed_bytes
        self.sink: ResponseSink | None = None  # set when the response is streamed
        self.retried = False  # a probe that was sent a second time
        self.payload = payload
        self._on_done = on_done
        self.ended = False
        self.connection: Connection | None = None
        self.dial_task: asyncio.Task[None] | None = None

    @property
    def written(self) -> bool:
        """Whether the last byte was passed to the kernel: only then may the request have been executed."""
        return self.connection is not None and self.connection.written

    def on_written(self) -> None:
        """Notify the owner that the last byte was passed to the kernel."""
        callback, self._on_written = self._on_written, None
        if callback is not None and not self.ended:
            callback()

    def finish(self, result: Result) -> None:
        """End with a result; no effect if it has ended."""
        if not self.ended:
            self.ended = True
            self._release_body()
            self._on_done(result)

    def _release_body(self) -> None:
        if self.body is not None:
            self.body.close()

    def connection_broken(self, stale: bool = False) -> None:
        """End because the connection broke or could not be used."""
        self.finish(Result(Outcome.RESET if self.written else Outcome.CONNECT_FAILED, stale=stale))

    def give_up(self, outcome: Outcome) -> None:
        """End with `outcome` without waiting for a response.

        The connection is closed, which tells the upstream to stop.
        """
        if self.ended:
            return
        connection, dial_task = self.connection, self.dial_task
        self.ended = True  # the closing must not cause a second outcome
        self._release_body()
        if connection is not None:
            connection.drop()
        elif dial_task is not None:
            dial_task.cancel()
        self._on_done(Result(outcome))


class Connection(asyncio.BufferedProtocol):
    """One connection to one upstream, for one exchange at a time.  Executes its state machine's events."""

    def __init__(self, pool: Pool, name: str, address: Address, sock: socket.socket) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.idle_since = 0
        self.machine = UpstreamMachine()
        self._sock = sock
        self._job: Job | None = None
        self._transport: asyncio.Transport | None = None
        self._accounted_bytes = 0  # bytes of a buffered response that the byte budget has counted
        self.must_settle = False  # whether stray bytes could follow its last response
        self.rejected_calls: set[bytes] = set()  # ids of calls that were not executed here
        self.idle_limit_us = pool.idle_limit_us
        self._keep_alive_header = b""  # as last received
        self._flow: FlowCounter | None = None  # if flows are observed

    @property
    def closing(self) -> bool:
        """Whether it was closed from here or by the upstream."""
        return self.machine.state is State.CLOSED

    @property
    def written(self) -> bool:
        """Whether the request's last byte was passed to the kernel."""
        return self.machine.written

    # --- use

    def start(self, job: Job, now: int) -> None:
        """Write the request.

        With a high-water mark of 0, the transport writes to the kernel at once and calls `resume_writing`
        when bytes that it had to buffer are written, so `written` never counts bytes in the transport.
        """
        self._job, job.connection = job, self
        policy = (
            None
            if job.on_streaming is None
            else self.pool.streaming_policy(job.payload, job.unstreamed_bytes)
        )
        self.machine.start_request(now, job.body, policy)
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
        """Write pieces of the request's body as fast as the kernel takes them."""
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
        """Whether an idle connection is still open and has no unread bytes.

        The kernel is checked, as the event loop may not yet have seen that the upstream closed it.  A request
        sent on a closed connection ends with a reset, after which an unsafe request cannot be retried.
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
        """Close at once, discarding unsent bytes."""
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
        pass  # the next piece is written when the transport's buffer is empty

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
        now, state_machine = self.pool.now(), self.machine
        response_started, idle_since = state_machine.response_started, self.idle_since
        self._handle_events(state_machine.ended(exc is None), now)
        self._update_byte_budget()
        if self._flow is not None and self.pool.flows is not None:
            self.pool.flows.ended(self._flow, exc is not None)
            self._flow = None
        job, self._job = self._job, None
        self.pool.connection_closed(self)
        if job is None:
            return
        stale = (
            idle_since > 0
            and not response_started
            and now - state_machine.request_started_at < STALE_LOSS_WITHIN_US
        )
        if stale:
            self.pool.reduce_trusted_idle(state_machine.request_started_at - idle_since)
        if job.probe and not response_started and not job.retried:
            job.retried = True
            self.pool.dial(job, self.name, self.address)
        else:
            job.connection_broken(stale)

    # --- events of the state machine

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
                    self._end_with_invalid_response("a response that is no longer awaited")
            elif isinstance(event, machine.InvalidResponse):
                self._end_with_invalid_response(event.reason)
            else:
                log.warning("upstream %s sent bytes that nobody asked for", self.name)
                self.drop()

    def _start_streaming(self, job: Job, started: machine.ResponseStarted) -> bool:
        """Stream a response to the caller as fast as it reads; False if it is no longer wanted."""
        stream = ResponseStream(started.length, self._set_paused, partial(job.give_up, Outcome.CANCELLED))
        assert job.on_streaming is not None
        job.sink = stream.sink = job.on_streaming(started.head, stream)
        return job.sink is not None

    def _set_paused(self, on: bool) -> None:
        transport = self._transport
        if on is self.machine.paused or transport is None or transport.is_closing():
            return
        self.machine.set_paused(on, self.pool.now())
        (transport.pause_reading if on else transport.resume_reading)()

    def stalled(self, now: int) -> bool:
        """Whether a body in transfer has stopped moving because of the upstream."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return self._job is not None and self.machine.stalled(now, unsent)

    def _update_byte_budget(self) -> None:
        """Count the bytes of a buffered response."""
        buffered = self.machine.buffered_bytes
        if buffered != self._accounted_bytes:
            self.pool.byte_budget.acquire(buffered - self._accounted_bytes)
            self._accounted_bytes = buffered

    # --- endings

    def _response_complete(self, response: machine.UpstreamResponse, now: int) -> None:
        job, self._job = self._job, None
        self._set_paused(False)  # the caller may not have read the last piece; the connection is free anyway
        self.must_settle = job is None or not job.probe
        result = self.pool.classify(job.payload, response) if job is not None else None
        if job is not None and job.call_id and result is not None and result.outcome in NOT_EXECUTED:
            self.rejected_calls.add(job.call_id)
        self._apply_keep_alive(response)
        # The next response would be another request's, too.
        mismatched = result is not None and result.mismatched
        too_many_rejected = len(self.rejected_calls) > MAX_REJECTED_CALLS
        if response.reuse and not (self.closing or mismatched or too_many_rejected):
            self.pool.return_to_pool(self, now)  # before `finish`: what it starts may use this connection
        else:
            self.drop()
        if job is not None and result is not None:
            job.finish(result)

    def _apply_keep_alive(self, response: machine.UpstreamResponse) -> None:
        """Apply the idle limit of the upstream's Keep-Alive header, if it is shorter than the pool's.

        If a request crosses the upstream's close, it is unknown whether the request was executed.
        """
        header = response.fields.get(b"keep-alive", b"")
        if header == self._keep_alive_header:
            return
        self._keep_alive_header = header
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(header)
        upstream_limit_us = (
            int(int(match[1]) * IDLE_LIMIT_FRACTION * SECOND_US)
            if match is not None
            else self.pool.idle_limit_us
        )
        self.idle_limit_us = min(self.pool.idle_limit_us, upstream_limit_us)

    def reset(self) -> None:
        """Close, and end the exchange as if the connection had broken."""
        job = self._job
        self.drop()
        if job is not None:
            job.connection_broken()

    def _end_with_invalid_response(self, reason: str) -> None:
        """Close, and end the exchange with an error, as the upstream and its connection work.

        The request may have been executed.  Any upstream sends an invalid response now and then: counted as
        resets, these would demote half of a fleet for seconds.
        """
        log.info("upstream %s sent what is no answer: %s", self.name, reason)
        job, written = self._job, self.written
        self.drop()
        if job is not None:
            job.finish(Result(Outcome.ERROR if written else Outcome.CONNECT_FAILED))


def _return_connection(connection: Connection) -> Connection:
    return connection


class Pool:
    """All connections to upstreams.  The host identifies upstreams by name; their addresses may change."""

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
        """`byte_budget`: bounds buffered responses.  `network`: replaces the machine's clock and sockets.
        `classify`: the result of a complete response and, from its head, whether a long one may be streamed;
        a pure function.  `settle_us`: pause after a response before its connection is used again.
        `tcp_user_timeout_ms`: a connection with bytes unacknowledged for this long is closed; 0: the system's
        default.  `stream_slow_responses`: also stream short responses that arrive slowly."""
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
        self._trusted_idle_us, self._trust_updated_at = self.idle_limit_us, 0  # and when it was set
        self._idle: dict[str, list[Connection]] = {}  # by upstream, the most recently used last
        self._idle_by_age: dict[Connection, None] = {}  # in the order in which they became idle
        self._open: dict[Connection, None] = {}
        self.addresses: dict[str, Address] = {}  # of upstreams in the list; only their connections are kept
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
        """Send on the most recently used idle connection, or else on a new one; see `Job` for the arguments.

        `on_done` is never called before this returns.

        Stray bytes may arrive shortly after a response; if its connection were used again at once, they would
        be read as the response to the next request, so it settles first.  Responses to probes are small and
        produced apart from requests, so they need no pause.  An upstream may also repeat a response that
        rejected this call, and its id matches, so a call is not sent again on a connection that rejected it.
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
        settled_before, trusted_since = now - self._settle_us, now - self._trusted_idle_at(now)
        for connection in self._idle.get(name, [])[::-1]:
            if connection.must_settle and connection.idle_since > settled_before:
                continue
            if call_id and call_id in connection.rejected_calls:
                continue
            self._forget_idle(connection)
            fresh = connection.idle_since > max(trusted_since, now - connection.idle_limit_us)
            if connection.address == address and fresh and connection.usable():
                connection.start(job, now)
                return job
            connection.drop()
        self.dial(job, name, address)
        return job

    def streaming_policy(self, payload: bytes, unstreamed_bytes: int) -> machine.StreamingPolicy:
        """Which responses to a request are streamed: only those classified as successful."""
        return machine.StreamingPolicy(
            lambda head: self.classify(payload, head).outcome is Outcome.OK,
            unstreamed_bytes,
            self._stream_slow_responses,
        )

    def dial(self, job: Job, name: str, address: Address) -> None:
        """Send on a new connection.

        Also used to retry a probe once whose connection broke: one broken connection does not show that an
        upstream is down, and a probe has no effects.  An upstream that is down refuses the second at once.
        """
        job.connection = None
        job.dial_task = self._loop.create_task(self._dial(job, name, address, self._connect_timeout_s))

    def reduce_trusted_idle(self, idle_us: int) -> None:
        """Record that a connection was dead after having been idle this long, without a sign of it.

        An upstream with a shorter idle limit, or a middlebox that forgets flows, may drop idle connections
        silently, and each loss may be of a request that cannot be retried.  From now on only half that idle
        time is trusted; it doubles every TRUST_DOUBLING_TIME_US.  The cost: if the losses have other causes,
        more requests need a new connection, for about ten seconds after the last loss.
        """
        now = self.now()
        self._trusted_idle_us = max(MIN_TRUSTED_IDLE_US, min(self._trusted_idle_at(now), idle_us // 2))
        self._trust_updated_at = now

    def _trusted_idle_at(self, now: int) -> int:
        if self._trusted_idle_us >= self.idle_limit_us:  # the usual case
            return self.idle_limit_us
        doublings = min(60.0, (now - self._trust_updated_at) / TRUST_DOUBLING_TIME_US)
        return min(self.idle_limit_us, int(self._trusted_idle_us * 2**doublings))

    def return_to_pool(self, connection: Connection, now: int) -> None:
        """Keep a connection for later use, if its upstream is still listed at its address."""
        if self.addresses.get(connection.name) != connection.address:
            connection.drop()  # its upstream was removed or changed its address while it was in use
            return
        connection.idle_since = now
        self._idle.setdefault(connection.name, []).append(connection)
        self._idle_by_age[connection] = None

    def connection_closed(self, connection: Connection) -> None:
        """Remove a closed connection and return its socket to the budget; no effect the second time."""
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
        """Close every connection to a host; exchanges in flight end as if their connections had broken."""
        for connection in [one for one in self._open if one.address[0] == host]:
            connection.reset()

    def close(self) -> None:
        """Close all connections."""
        self._sweep_timer.cancel()
        for connection in list(self._open):
            connection.drop()

    async def _dial(self, job: Job, name: str, address: Address, within_s: float) -> None:
        sock: socket.socket | None = None
        connection: Connection | None = None
        claimed = False
        try:
            claimed = self._budget.acquire()
            if not claimed:
                level = logging.DEBUG if self._budget.refused_by_own_limit else logging.WARNING
                log.log(level, "no socket left for a connection to %s", name)
                if self._budget.refused_by_own_limit:
                    job.dial_task = None
                    job.finish(Result(Outcome.NOT_SENT))  # a local limit: the upstream is not at fault
                    return
                raise OSError("out of sockets")
            sock = self._new_socket(address)
            if self._tcp_user_timeout_ms:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._tcp_user_timeout_ms)
            connection = Connection(self, name, address, sock)
            async with asyncio.timeout(within_s):
                await self._loop.sock_connect(sock, address)
                await self._loop.create_connection(partial(_return_connection, connection), sock=sock)
            sock = None  # the transport closes it
            self._open[connection] = None
            claimed = False
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            log.debug("no connection to %s: %r", name, error)
            job.dial_task = None
            job.finish(Result(Outcome.CONNECT_FAILED))
            return
        finally:
            if sock is not None:
                if connection is not None:
                    connection.drop()  # cancelled just after the connection was established
                sock.close()
            if claimed:
                self._budget.release()
        job.dial_task = None
        if job.ended or connection.closing:
            connection.drop()
            job.connection_broken()
        elif not job.still_wanted():
            connection.drop()
            job.finish(Result(Outcome.NOT_SENT))
        else:
            connection.start(job, self.now())

    def _forget_idle(self, connection: Connection) -> None:
        if connection in self._idle_by_age:
            del self._idle_by_age[connection]
            connections = self._idle[connection.name]
            connections.remove(connection)
            if not connections:
                del self._idle[connection.name]  # there are always new names: empty lists would accumulate

    def _evict(self) -> bool:
        oldest = next(iter(self._idle_by_age), None)
        if oldest is None:
            return False
        self._forget_idle(oldest)
        oldest.drop()
        self.connection_closed(oldest)
        return True

    def _sweep(self) -> None:
        """Close idle connections before the upstream does, as a request that crosses its close is reset.

        Also resets connections whose bodies have stalled.
        """
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.now()
        for connection in [one for one in self._open if one.stalled(now)]:
            log.info("upstream %s stands still in the middle of a body", connection.name)
            connection.reset()
        sweep_us, trusted_us = int(SWEEP_INTERVAL_S * SECOND_US), self._trusted_idle_at(now)
        for connection in list(self._idle_by_age):
            own_limit_us = connection.idle_limit_us
            if now - connection.idle_since < min(max(own_limit_us - sweep_us, own_limit_us // 2), trusted_us):
                continue
            self._forget_idle(connection)
            connection.drop()
