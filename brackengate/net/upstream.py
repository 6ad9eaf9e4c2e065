"""Connections to upstreams: the pool, and the outcome of each attempt and probe sent on them."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol, cast

import httptools

from brackengate.interface import LoadReport, Outcome
from brackengate.net.body import WHOLE, AnswerSink, AnswerStream, Body, ByteBudget
from brackengate.net.observer import FlowCounter, FlowWatch
from brackengate.net.sockets import Address, SocketBudget

log = logging.getLogger(__name__)

MAX_ANSWER = 1 << 20  # of an answer that somebody must have whole
MAX_STREAM = 64 << 20  # of one that is passed on in pieces; they are said to hold 32 MB
MAX_HEAD = 16 << 10  # of an answer, with the interim ones before it
RAW_TIMES = (
    2  # an answer in small chunks, or with a trailer without end, may take this much more than its body
)
READ = 64 << 10  # bytes read at once
FIRST_S = 0.1  # an answer that comes slowly is passed on from here on, however short it is so far
STALL_S = 10.0  # an upstream that neither reads nor writes for this long, in the middle of a body
MAX_FIGURE = 1e6  # in a load report
SETTLE_S = 0.005  # after an answer, before its connection is used again
IDLE_SHARE = 0.8  # idle connections are closed after this share of the upstream's limit
SWEEP_S = 1.0
STALE_S = 0.02  # a request on a connection that stood dead is lost within this time, else it is another loss
TRUST_LEAST_S = 0.05  # however many are lost, connections that stood idle for less than this are used again
TRUST_DOUBLES_S = 10.0  # the idle time that is trusted doubles in this time
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


class Begun(Protocol):
    """Who is asked whether an answer may be passed on in pieces; None: nobody wants it any more."""

    def __call__(self, first: bytes, content_type: bytes, stream: AnswerStream) -> AnswerSink | None: ...


_BUFFER = memoryview(bytearray(READ))  # each read is copied out of it before the next: one serves all


def load_report(text: str) -> LoadReport | None:
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
                if not 0 <= figures[field] <= MAX_FIGURE:  # also where it is no number
                    return None  # a report that says what cannot be is not to be believed in the rest
    except (ValueError, TypeError, RecursionError):
        return None  # a report that cannot be read is no report; the answer it came with stands
    return LoadReport(**figures) if figures else None


def parse_headers(pairs: list[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in pairs}


class Spoilt(Exception):
    """An answer that cannot be one of ours."""


class Job:
    """One exchange with an upstream.  It ends exactly once, with `done`."""

    __slots__ = (
        "_done",
        "_wrote",
        "again",
        "begun",
        "body",
        "connection",
        "dial",
        "ended",
        "payload",
        "probe",
        "sink",
    )

    def __init__(
        self,
        payload: bytes,
        done: Callable[[Result], None],
        probe: bool = False,
        wrote: Callable[[], None] | None = None,
        body: Body | None = None,
        begun: Begun | None = None,
    ) -> None:
        """`wrote`: told once, when the last byte is with the kernel.  `body`: what follows `payload` in
        pieces.  `begun`: takes a long answer in pieces; None: it must be whole."""
        self.probe = probe
        self._wrote = wrote
        self.body, self.begun = body, begun
        self.sink: AnswerSink | None = None  # once an answer is passed on
        self.again = False  # sent a second time
        self.payload = payload
        self._done = done
        self.ended = False
        self.connection: Connection | None = None
        self.dial: asyncio.Task[None] | None = None

    @property
    def written(self) -> bool:
        """Whether the last byte was handed to the kernel: only then may the request have run."""
        return self.connection is not None and self.connection.written

    def wrote(self) -> None:
        told, self._wrote = self._wrote, None
        if told is not None and not self.ended:
            told()

    def finish(self, result: Result) -> None:
        if not self.ended:
            self.ended = True
            self._let_go()
            self._done(result)

    def _let_go(self) -> None:
        if self.body is not None:
            self.body.close()

    def broken(self, stale: bool = False) -> None:
        self.finish(Result(Outcome.RESET if self.written else Outcome.CONNECT_FAILED, stale=stale))

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting.  The connection is closed: that is how an upstream is told."""
        if self.ended:
            return
        connection, dial = self.connection, self.dial
        self.ended = True  # what the closing brings about is not an outcome any more
        self._let_go()
        if connection is not None:
            connection.drop()
        elif dial is not None:
            dial.cancel()
        self._done(Result(outcome))


class Connection(asyncio.Protocol):
    """One connection to one upstream, one exchange at a time."""

    def __init__(self, pool: Pool, name: str, address: Address, sock: socket.socket) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.idle_since = self.used_at = 0.0
        self.written = False
        self.closing = False
        self._sock = sock
        self._job: Job | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._raw = self._size = 0
        self._length: int | None = None  # of an answer's body, as its head told it
        self._finished: Result | None = None
        self._surplus = self._keep_alive = self._in_body = False
        self._heard = False  # whether anything has come for this request
        self._moved = False  # whether a read brought a part of a body
        self._sent_all = False  # of a request's body
        self._till_close = False  # only the connection's end ends the answer
        self._held = 0  # bytes of an answer that is kept until it is whole
        self._head_at = 0.0  # when its head came
        self.moved_at = 0.0  # when a piece of either body last moved, while one is under way
        self._held_back = False  # the caller can't take more now
        self.settles = False  # whether more could follow its last answer
        self._flow: FlowCounter | None = None  # where somebody looks on

    # --- use

    def start(self, job: Job) -> None:
        """Write the whole request.

        With a high-water mark of 0 the transport tries the kernel at once and calls `resume_writing` when
        a rest it had to keep is out, so `written` never counts bytes that lie in the transport.
        """
        assert self._transport is not None
        self.used_at = self.pool.now()
        self._job, job.connection, self.written = job, self, False
        # Nothing that an earlier answer left half read may count for this request.
        self._parser = httptools.HttpResponseParser(self)
        self._raw, self._heard, self._till_close, self._sent_all = 0, False, False, False
        self._write(job.payload)
        if job.body is not None:
            self.moved_at = self.used_at
            if not job.body.open(self._pump):
                self.drop()
                job.broken()
                return
        self._pump()

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        if self._flow is not None:
            self._flow.sent(len(data))
        self._transport.write(data)

    def _pump(self) -> None:
        """Write the request's pieces as the kernel takes them; after the last one the request is written."""
        job, transport = self._job, self._transport
        if job is None or transport is None or self.written:
            return
        if job.body is None:  # as nearly always: all of it was written at once
            if transport.get_write_buffer_size() == 0 and not transport.is_closing():
                self.written = True
                job.wrote()
            return
        while not transport.is_closing() and transport.get_write_buffer_size() == 0:
            piece = self._next_piece(job.body)
            if piece is None:
                return
            if not piece:
                self.written = True
                job.wrote()
                return
            self._write(piece)

    def _next_piece(self, body: Body) -> bytes | None:
        """In its framing; empty: nothing follows; None: not there yet."""
        if self._sent_all:
            return b""
        self.moved_at = self.pool.now()
        if body.over:
            self._sent_all = True
            return b"0\r\n\r\n" if body.length is None else b""
        piece = body.take()
        if piece is None or body.length is not None:
            return piece
        return b"%x\r\n%s\r\n" % (len(piece), piece)

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
        self.closing, self._job = True, None
        self._let_go()
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
        self._pump()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _BUFFER

    def buffer_updated(self, count: int) -> None:
        self.data_received(bytes(_BUFFER[:count]))

    def data_received(self, data: bytes) -> None:
        if self._flow is not None:
            self._flow.received(len(data))
        if self.closing:
            return
        if self._job is None:
            log.warning("upstream %s sent bytes that nobody asked for", self.name)
            self.drop()
            return
        self._heard, self._moved = True, False
        try:
            self._parser.feed_data(data)
            # The parser tells of a header, or a trailer, when it is whole, and joins it till then.
            self._raw = 0 if self._moved else self._raw + len(data)
            if self._raw > MAX_HEAD:
                raise Spoilt("no end to it")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, Spoilt) as error:
            if self._finished is None:
                log.info("upstream %s sent what is no answer: %s", self.name, error.__context__ or error)
                self._end_spoilt()
                return
            self._surplus = True
        if self._finished is not None:
            if self._finished.outcome is Outcome.OK and not self.written:
                self._end_spoilt()  # to what, then?  Not to a request that is not all there
            else:
                self._complete(self._finished)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        if (
            self._till_close
            and exc is None
            and self._job is not None
            and self._finished is None
            and self.written
        ):
            self._surplus = True  # it is not used again
            self._ended_well()
        if self._finished is not None and self._job is not None:
            self._complete(self._finished)
        if self._flow is not None and self.pool.flows is not None:
            self.pool.flows.ended(self._flow, exc is not None)
            self._flow = None
        job, self._job = self._job, None
        self._let_go()
        self.pool.lost(self)
        if job is None:
            return
        stale = self.idle_since > 0 and not self._heard and self.pool.now() - self.used_at < STALE_S
        if stale:
            self.pool.distrust(self.used_at - self.idle_since)
        if job.probe and not self._heard and not job.again:
            job.again = True
            self.pool.dial(job, self.name, self.address)
        else:
            job.broken(stale)

    # --- httptools

    def on_message_begin(self) -> None:
        if self._finished is not None:
            self._surplus = True
            return
        self._headers, self._size, self._in_body = [], 0, False
        self._let_go()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD:
            raise Spoilt("headers too large")
        # A trailer must not say that a request was turned away whose answer has begun.
        if self._finished is None and not self._in_body:
            self._headers.append((name, value.strip(b" \t")))  # the parser leaves it where a value is cut

    def on_headers_complete(self) -> None:
        """Judge an answer by its head.

        Guards against waiting for, or reading, what can't be an answer: one of 3 GB, and one without a
        length, whose end nothing would tell from a break.  An upstream that says that it closes may end an
        answer so: a break shows as a reset.
        """
        self._in_body = True
        status = self._parser.get_status_code()
        if status < 200 or self._finished is not None:
            return
        self._size, self._head_at = 0, self.pool.now()
        headers = parse_headers(self._headers)
        length, coding = headers.get(b"content-length"), headers.get(b"transfer-encoding")
        in_pieces = status == 200 and self._job is not None and self._job.begun is not None
        if length is not None and int(length) > (MAX_STREAM if in_pieces else MAX_ANSWER):
            raise Spoilt(f"answer too large: {int(length)}")
        self._length = int(length) if length is not None else None
        if status == 200 and length is None and (coding or b"").strip().lower() != b"chunked":
            if not (headers.get(b"connection", b"").strip().lower() == b"close" and self.written):
                raise Spoilt("an answer without a length")
            self._till_close = True

    def on_body(self, data: bytes) -> None:
        if self._finished is not None or self._job is None:
            return
        job, self._moved = self._job, True
        self._size += len(data)
        if job.sink is not None:
            if self._size > MAX_STREAM:
                raise Spoilt("answer too large")
            self.moved_at = self.pool.now()
            job.sink.piece(data)
            return
        self._body.append(data)
        self._held += len(data)
        self.pool.bytes.take(len(data))
        if self._long() and job.begun is not None and self._parser.get_status_code() == 200:
            if not self.written:
                raise Spoilt("an answer to a request that is not all there")
            self._begin(job)
        elif self._size > MAX_ANSWER:
            raise Spoilt("answer too large")

    def _long(self) -> bool:
        """Whether an answer is passed on as it comes: it is long, or comes slowly."""
        if self._length is not None:
            return self._length > WHOLE
        return self._size > WHOLE or self.pool.now() - self._head_at > FIRST_S

    def _begin(self, job: Job) -> None:
        """The first bytes are there: the rest goes the same way, as fast as the caller takes it."""
        first = b"".join(self._body)
        content_type = parse_headers(self._headers).get(b"content-type", b"")
        stream = AnswerStream(self._length, self._hold_back, partial(job.give_up, Outcome.CANCELLED))
        self._let_go()
        assert job.begun is not None
        job.sink = job.begun(first, content_type, stream)
        self.moved_at = self.pool.now()
        if job.sink is None:
            raise Spoilt("an answer that nobody awaits")
        stream.sink = job.sink

    def _hold_back(self, on: bool) -> None:
        if self._transport is not None and not self._transport.is_closing() and on is not self._held_back:
            self._held_back, self.moved_at = on, self.pool.now()
            (self._transport.pause_reading if on else self._transport.resume_reading)()

    def stalled(self, now: float) -> bool:
        """Whether a body that is under way stands still, and it is not the caller who holds it up."""
        job = self._job
        if job is None or now - self.moved_at < STALL_S:
            return False
        if job.sink is not None:
            return not self._held_back
        return job.body is not None and not self.written and self.unsent > 0

    @property
    def unsent(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() < 200 or self._finished is not None:
            return  # an interim answer, or bytes after the answer
        self._keep_alive = self._parser.should_keep_alive()  # the parser knows only here, not after the feed
        self._ended_well()

    def _ended_well(self) -> None:
        """The answer is whole: what does it say?"""
        status, headers = self._parser.get_status_code(), parse_headers(self._headers)
        if status == 200:
            outcome = Outcome.OK
        elif status in (503, 504) and headers.get(b"x-turned-away") == b"1":
            outcome = Outcome.REJECTED
        else:
            outcome = Outcome.ERROR  # without that header 503 and 504 prove nothing
        pressure = headers.get(b"x-pressure")
        load = load_report(pressure.decode("latin-1")) if pressure is not None else None
        self._finished = Result(outcome, b"".join(self._body), headers.get(b"content-type", b""), load)

    def _let_go(self) -> None:
        """Of an answer that was kept until it is whole."""
        self._body = []
        self.pool.bytes.free(self._held)
        self._held = 0

    # --- endings

    def _complete(self, result: Result) -> None:
        job, self._job, self._finished = self._job, None, None
        self._hold_back(
            False
        )  # the caller may not have taken the last piece yet; the next answer is another's
        self._headers = []
        self._let_go()
        self.settles = job is None or not job.probe
        if self.written and not self._surplus and self._keep_alive and not self.closing:
            self.pool.put_back(self)  # before `done`: what it starts may use this connection
        else:
            self.drop()
        if job is not None:
            job.finish(result)

    def break_off(self) -> None:
        """The exchange ends here as if the connection had broken."""
        job = self._job
        self.drop()
        if job is not None:
            job.broken()

    def _end_spoilt(self) -> None:
        """The request may have run, but the upstream stands and its connection did too: an error of its own.

        Spoilt answers come from any upstream alike.  As resets they would demote half of a fleet for seconds.
        """
        job, ran = self._job, self.written
        self.drop()
        if job is not None:
            job.finish(Result(Outcome.ERROR if ran else Outcome.CONNECT_FAILED))


class Pool:
    """All connections to upstreams.  The host names upstreams; addresses change beneath them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        budget: SocketBudget,
        connect_timeout_s: float,
        idle_close_s: float,
        bytes_: ByteBudget | None = None,
    ) -> None:
        self.bytes = bytes_ or ByteBudget(MAX_STREAM)
        self._loop, self._budget = loop, budget
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_close_s * IDLE_SHARE
        self._trust_s, self._trust_at = self._idle_limit_s, 0.0  # as of a time
        self._idle: dict[str, list[Connection]] = {}  # by upstream, the warmest last
        self._oldest: dict[Connection, None] = {}  # all idle ones, in the order in which they became so
        self._open: set[Connection] = set()
        self.wanted: dict[str, Address] = {}  # upstreams that the list holds: only their connections are kept
        self.flows: FlowWatch | None = None
        budget.on_short(self._evict)
        self._sweep_timer = loop.call_later(SWEEP_S, self._sweep)

    def start(
        self,
        name: str,
        address: Address,
        payload: bytes,
        done: Callable[[Result], None],
        probe: bool = False,
        wrote: Callable[[], None] | None = None,
        body: Body | None = None,
        begun: Begun | None = None,
    ) -> Job:
        """Send on the warmest idle connection, else on a new one.  `done` never comes before this returns.

        Guards against bytes behind an answer that come a moment after it: on a connection that is used again
        at once they would be read as the answer to the next request.  Probes' answers, small and made beside
        the work, are held to settle at once.
        """
        job = Job(payload, done, probe, wrote, body, begun)
        settled, trusted = self.now() - SETTLE_S, self.now() - self._trusted()
        for connection in self._idle.get(name, [])[::-1]:
            if connection.settles and connection.idle_since > settled:
                continue
            self._forget_idle(connection)
            if connection.address == address and connection.idle_since > trusted and connection.usable():
                connection.start(job)
                return job
            connection.drop()
        self.dial(job, name, address)
        return job

    def dial(self, job: Job, name: str, address: Address) -> None:
        """Send on a new connection.

        Also a probe, once, that was lost with its connection: word of a dead upstream should not rest on
        one connection, and a probe runs nothing twice.  An upstream that is down refuses the second at once.
        """
        job.connection = None
        job.dial = self._loop.create_task(self._dial(job, name, address, self._connect_timeout_s))

    def now(self) -> float:
        return self._loop.time()

    def distrust(self, idle_s: float) -> None:
        """A connection that had stood idle this long was dead, and nothing had told so.

        Guards against what drops idle connections unseen (an upstream's own shorter limit, a middlebox that
        forgets flows): each loss may be of a request that cannot be sent again.  Half the time is trusted
        from then on, and twice as much after each TRUST_DOUBLES_S.  The harm: where the losses have other
        causes, more requests pay for a new connection, for some ten seconds from the last loss.
        """
        self._trust_s = max(TRUST_LEAST_S, min(self._trusted(), idle_s / 2))
        self._trust_at = self.now()

    def _trusted(self) -> float:
        doublings = min(60.0, (self.now() - self._trust_at) / TRUST_DOUBLES_S)
        return min(self._idle_limit_s, self._trust_s * 2**doublings)

    def put_back(self, connection: Connection) -> None:
        if self.wanted.get(connection.name) != connection.address:
            connection.drop()  # its upstream has left the list, or moved, while it was in use
            return
        connection.idle_since = self.now()
        self._idle.setdefault(connection.name, []).append(connection)
        self._oldest[connection] = None

    def lost(self, connection: Connection) -> None:
        self._forget_idle(connection)
        if connection in self._open:
            self._open.discard(connection)
            self._budget.free()

    def release(self, name: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle.pop(name, []):
            self._oldest.pop(connection, None)
            connection.drop()

    def close(self) -> None:
        self._sweep_timer.cancel()
        for connection in list(self._open):
            connection.drop()

    async def _dial(self, job: Job, name: str, address: Address, within_s: float) -> None:
        sock: socket.socket | None = None
        claimed = False
        try:
            claimed = self._budget.claim()
            if not claimed:
                level = logging.DEBUG if self._budget.own_bound else logging.WARNING
                log.log(level, "no socket left for a connection to %s", name)
                if self._budget.own_bound:
                    job.dial = None
                    job.finish(
                        Result(Outcome.NOT_SENT)
                    )  # a bound of ours: nothing is wrong with the upstream
                    return
                raise OSError("out of sockets")
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            made = Connection(self, name, address, sock)
            async with asyncio.timeout(within_s):
                await self._loop.sock_connect(sock, address)
                await self._loop.create_connection(lambda: made, sock=sock)
            sock = None  # the transport closes it
            self._open.add(made)
            claimed = False
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            log.debug("no connection to %s: %r", name, error)
            job.dial = None
            job.finish(Result(Outcome.CONNECT_FAILED))
            return
        finally:
            if sock is not None:
                sock.close()
            if claimed:
                self._budget.free()
        job.dial = None
        if job.ended or made.closing:
            made.drop()
            job.broken()
        else:
            made.start(job)

    def _forget_idle(self, connection: Connection) -> None:
        if connection in self._oldest:
            del self._oldest[connection]
            stack = self._idle[connection.name]
            stack.remove(connection)
            if not stack:
                del self._idle[connection.name]  # names are ever new: an empty list for each would pile up

    def _evict(self) -> bool:
        oldest = next(iter(self._oldest), None)
        if oldest is None:
            return False
        self._forget_idle(oldest)
        oldest.drop()
        self.lost(oldest)
        return True

    def _sweep(self) -> None:
        """Close idle connections before the upstream may: a request that crosses its close is a reset."""
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)
        for connection in [one for one in self._open if one.stalled(self.now())]:
            log.info("upstream %s stands still in the middle of a body", connection.name)
            connection.break_off()
        too_old = self.now() - min(self._idle_limit_s - SWEEP_S, self._trusted())
        for connection in list(self._oldest):
            if connection.idle_since > too_old:
                break
            self._forget_idle(connection)
            connection.drop()
