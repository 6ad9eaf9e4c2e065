"""Connections to upstreams: the pool, and the outcome of each attempt and probe sent on them."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools

from brackengate.interface import LoadReport, Outcome
from brackengate.net.observer import FlowCounter, FlowWatch
from brackengate.net.sockets import Address, SocketBudget

log = logging.getLogger(__name__)

MAX_ANSWER = 1 << 20  # bodies are said to hold 64 KiB, but good ones of more have been met
MAX_HEAD = 16 << 10  # of an answer, with the interim ones before it
MAX_RAW = 2 * MAX_ANSWER  # of an answer in small chunks, or with a trailer without end
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

    __slots__ = ("_done", "_wrote", "again", "connection", "dial", "ended", "payload", "probe")

    def __init__(
        self,
        payload: bytes,
        done: Callable[[Result], None],
        probe: bool = False,
        wrote: Callable[[], None] | None = None,
    ) -> None:
        """`wrote`: told once, when the last byte is with the kernel."""
        self.probe = probe
        self._wrote = wrote
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
            self._done(result)

    def broken(self, stale: bool = False) -> None:
        self.finish(Result(Outcome.RESET if self.written else Outcome.CONNECT_FAILED, stale=stale))

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting.  The connection is closed: that is how an upstream is told."""
        if self.ended:
            return
        connection, dial = self.connection, self.dial
        self.ended = True  # what the closing brings about is not an outcome any more
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
        self._finished: Result | None = None
        self._surplus = self._keep_alive = self._in_body = self._head_done = False
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
        self._raw, self._head_done = 0, False
        if self._flow is not None:
            self._flow.sent(len(job.payload))
        self._transport.write(job.payload)
        self.written = not self._transport.is_closing() and self._transport.get_write_buffer_size() == 0
        if self.written:
            job.wrote()

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
        pass  # a request is 64 KiB at most, and the next comes only after its answer

    def resume_writing(self) -> None:
        self.written = True
        if self._job is not None:
            self._job.wrote()

    def data_received(self, data: bytes) -> None:
        if self._flow is not None:
            self._flow.received(len(data))
        if self.closing:
            return
        if self._job is None:
            log.warning("upstream %s sent bytes that nobody asked for", self.name)
            self.drop()
            return
        try:
            self._parser.feed_data(data)
            self._raw += len(data)  # the parser tells of a header when it is whole, and joins it till then
            if self._raw > (MAX_RAW if self._head_done else MAX_HEAD):
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
        if self._flow is not None and self.pool.flows is not None:
            self.pool.flows.ended(self._flow, exc is not None)
            self._flow = None
        job, self._job = self._job, None
        self.pool.lost(self)
        if job is None:
            return
        stale = self.idle_since > 0 and not self._raw and self.pool.now() - self.used_at < STALE_S
        if stale:
            self.pool.distrust(self.used_at - self.idle_since)
        if job.probe and not self._raw and not job.again:
            job.again = True
            self.pool.dial(job, self.name, self.address)
        else:
            job.broken(stale)

    # --- httptools

    def on_message_begin(self) -> None:
        if self._finished is not None:
            self._surplus = True
            return
        self._headers, self._body, self._size, self._in_body = [], [], 0, False

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD:
            raise Spoilt("headers too large")
        # A trailer must not say that a request was turned away whose answer has begun.
        if self._finished is None and not self._in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Judge an answer by its head.

        Guards against waiting for, or reading, what can't be an answer: one of 3 GB, and one without a
        length, whose end nothing would tell from a break.
        """
        self._in_body = True
        status = self._parser.get_status_code()
        if status < 200 or self._finished is not None:
            return
        self._head_done, self._size = True, 0
        headers = parse_headers(self._headers)
        length, coding = headers.get(b"content-length"), headers.get(b"transfer-encoding")
        if length is not None and int(length) > MAX_ANSWER:
            raise Spoilt(f"answer too large: {int(length)}")
        if status == 200 and length is None and (coding or b"").strip().lower() != b"chunked":
            raise Spoilt("an answer without a length")

    def on_body(self, data: bytes) -> None:
        if self._finished is None:
            self._size += len(data)
            if self._size > MAX_ANSWER:
                raise Spoilt("answer too large")
            self._body.append(data)

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status < 200 or self._finished is not None:
            return  # an interim answer, or bytes after the answer
        self._keep_alive = self._parser.should_keep_alive()  # the parser knows only here, not after the feed
        headers = parse_headers(self._headers)
        if status == 200:
            outcome = Outcome.OK
        elif status in (503, 504) and headers.get(b"x-turned-away") == b"1":
            outcome = Outcome.REJECTED
        else:
            outcome = Outcome.ERROR  # without that header 503 and 504 prove nothing
        pressure = headers.get(b"x-pressure")
        load = load_report(pressure.decode("latin-1")) if pressure is not None else None
        self._finished = Result(outcome, b"".join(self._body), headers.get(b"content-type", b""), load)

    # --- endings

    def _complete(self, result: Result) -> None:
        job, self._job, self._finished = self._job, None, None
        self._headers, self._body = [], []
        self.settles = job is None or not job.probe
        if self.written and not self._surplus and self._keep_alive:
            self.pool.put_back(self)  # before `done`: what it starts may use this connection
        else:
            self.drop()
        if job is not None:
            job.finish(result)

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
    ) -> None:
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
    ) -> Job:
        """Send on the warmest idle connection, else on a new one.  `done` never comes before this returns.

        Guards against bytes behind an answer that come a moment after it: on a connection that is used again
        at once they would be read as the answer to the next request.  Probes' answers, small and made beside
        the work, are held to settle at once.
        """
        job = Job(payload, done, probe, wrote)
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
        too_old = self.now() - min(self._idle_limit_s - SWEEP_S, self._trusted())
        for connection in list(self._oldest):
            if connection.idle_since > too_old:
                break
            self._forget_idle(connection)
            connection.drop()
