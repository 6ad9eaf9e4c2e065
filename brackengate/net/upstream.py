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
from brackengate.http.body import WHOLE, AnswerSink, AnswerStream, Body, ByteBudget
from brackengate.http.table import Upstream as State
from brackengate.http.upstream import MAX_STREAM, UpstreamMachine
from brackengate.interface import LoadReport, Outcome
from brackengate.net.ground import Wire
from brackengate.net.observer import FlowCounter, FlowWatch
from brackengate.net.sockets import READ_BUFFER, Address, SocketBudget

log = logging.getLogger(__name__)

MAX_FIGURE = 1e6  # in a load report
SECOND = 1_000_000
SETTLE = 5_000  # after an answer, before its connection is used again
IDLE_SHARE = 0.8  # idle connections are closed after this share of the upstream's limit
SWEEP_S = 1.0
STALE = 20_000  # a request on a connection that stood dead is lost within this time, else it is another loss
TRUST_LEAST = 50_000  # however many are lost, connections that stood idle for less than this are used again
TRUST_DOUBLES = 10 * SECOND  # the idle time that is trusted doubles in this time
KEEP_ALIVE = re.compile(rb"timeout=([0-9]{1,6})")
NOT_RUN = (Outcome.REJECTED, Outcome.NOT_SENT, Outcome.CONNECT_FAILED)  # after any of them it may go again
MOST_TURNED_AWAY = 64  # calls that a connection remembers; beyond that another one is made
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
    answer: machine.Answered | None = None  # as it came, where whoever judges answers keeps it
    astray: bool = False  # it is not this request's answer: the connection is out of step, and is closed


def always() -> bool:
    return True


def monotonic_us() -> int:
    return monotonic_ns() // 1000


def unconnected(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Begun(Protocol):
    """Who is asked whether an answer may be passed on in pieces; None: nobody wants it any more."""

    def __call__(self, head: machine.Answered, stream: AnswerStream) -> AnswerSink | None: ...


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


def result_of(answer: machine.Answered) -> Result:
    """What a whole answer says."""
    status, fields = answer.status, answer.fields
    if status == 200:
        outcome = Outcome.OK
    elif status in (503, 504) and fields.get(b"x-turned-away") == b"1":
        outcome = Outcome.REJECTED
    else:
        outcome = Outcome.ERROR  # without that header 503 and 504 prove nothing
    pressure = fields.get(b"x-pressure")
    load = load_report(pressure.decode("latin-1")) if pressure is not None else None
    return Result(outcome, answer.body, fields.get(b"content-type", b""), load)


Judge = Callable[[bytes, machine.Answered], Result]  # what a request's payload and its whole answer mean


class Job:
    """One exchange with an upstream.  It ends exactly once, with `done`."""

    __slots__ = (
        "_done",
        "_wrote",
        "again",
        "begun",
        "body",
        "call",
        "connection",
        "dial",
        "ended",
        "payload",
        "probe",
        "sink",
        "wanted",
        "whole",
    )

    def __init__(
        self,
        payload: bytes,
        done: Callable[[Result], None],
        probe: bool = False,
        wrote: Callable[[], None] | None = None,
        body: Body | None = None,
        begun: Begun | None = None,
        whole: int = WHOLE,
        call: bytes = b"",
        wanted: Callable[[], bool] = always,
    ) -> None:
        """`wrote`: told once, when the last byte is with the kernel.  `body`: what follows `payload` in
        pieces.  `begun`: takes an answer of over `whole` bytes in pieces; None: it must be whole.  `call`:
        the id that its answer will bear.  `wanted`: asked once a connection stands that had to be made, so
        that what was given up meanwhile is not sent."""
        self.probe, self.call, self.wanted = probe, call, wanted
        self._wrote = wrote
        self.body, self.begun, self.whole = body, begun, whole
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


class Connection(asyncio.BufferedProtocol):
    """One connection to one upstream, one exchange at a time: carries out what its machine says."""

    def __init__(self, pool: Pool, name: str, address: Address, sock: socket.socket) -> None:
        self.pool, self.name, self.address = pool, name, address
        self.idle_since = 0
        self.machine = UpstreamMachine()
        self._sock = sock
        self._job: Job | None = None
        self._transport: asyncio.Transport | None = None
        self._kept = 0  # bytes of an answer that is kept until it is whole, as told to the bound
        self.settles = False  # whether more could follow its last answer
        self.turned_away: set[bytes] = set()  # calls that were not run here
        self.idle_limit = pool.idle_limit
        self._keep_alive = b""  # as last told
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
        passing = None if job.begun is None else self.pool.passing(job.payload, job.whole)
        self.machine.ask(now, job.body, passing)
        self._write(job.payload)
        if job.body is not None and not job.body.open(self._pump):
            self.drop()
            job.broken()
            return
        self._pump(now)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        if self._flow is not None:
            self._flow.sent(len(data))
        self._transport.write(data)

    def _pump(self, now: int = 0) -> None:
        """Write the request's pieces as the kernel takes them; after the last one the request is written."""
        job, transport = self._job, self._transport
        if job is None or transport is None or self.machine.written:
            return
        while not transport.is_closing() and transport.get_write_buffer_size() == 0:
            piece = self.machine.next_piece(now or self.pool.now())
            if piece is None:
                return
            if not piece:
                job.wrote()
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
        self._account()
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
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._flow is not None:
            self._flow.received(nbytes)
        now = self.pool.now()
        self._take(self.machine.received(bytes(READ_BUFFER[:nbytes]), now), now)

    def connection_lost(self, exc: Exception | None) -> None:
        now, it = self.pool.now(), self.machine
        heard, idle = it.heard, self.idle_since
        self._take(it.ended(exc is None), now)
        self._account()
        if self._flow is not None and self.pool.flows is not None:
            self.pool.flows.ended(self._flow, exc is not None)
            self._flow = None
        job, self._job = self._job, None
        self.pool.lost(self)
        if job is None:
            return
        stale = idle > 0 and not heard and now - it.asked_at < STALE
        if stale:
            self.pool.distrust(it.asked_at - idle)
        if job.probe and not heard and not job.again:
            job.again = True
            self.pool.dial(job, self.name, self.address)
        else:
            job.broken(stale)

    # --- carrying out

    def _take(self, events: list[machine.Event], now: int) -> None:
        self._account()
        for event in events:
            job = self._job
            if isinstance(event, machine.Answered):
                self._complete(event, now)
            elif isinstance(event, machine.Piece):
                if job is not None and job.sink is not None:
                    job.sink.piece(event.data)
            elif isinstance(event, machine.Begins):
                if job is not None and not self._begin(job, event):
                    self._end_spoilt("an answer that nobody awaits")
            elif isinstance(event, machine.Spoilt):
                self._end_spoilt(event.why)
            else:
                log.warning("upstream %s sent bytes that nobody asked for", self.name)
                self.drop()

    def _begin(self, job: Job, answer: machine.Begins) -> bool:
        """The first bytes are there: the rest goes the same way, as fast as the caller takes it."""
        stream = AnswerStream(answer.length, self._hold_back, partial(job.give_up, Outcome.CANCELLED))
        assert job.begun is not None
        job.sink = stream.sink = job.begun(answer.head, stream)
        return job.sink is not None

    def _hold_back(self, on: bool) -> None:
        transport = self._transport
        if on is self.machine.held_back or transport is None or transport.is_closing():
            return
        self.machine.hold_back(on, self.pool.now())
        (transport.pause_reading if on else transport.resume_reading)()

    def stalled(self, now: int) -> bool:
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return self._job is not None and self.machine.stalled(now, unsent)

    def _account(self) -> None:
        """Of an answer that is kept until it is whole."""
        kept = self.machine.kept
        if kept != self._kept:
            self.pool.bytes.take(kept - self._kept)
            self._kept = kept

    # --- endings

    def _complete(self, answer: machine.Answered, now: int) -> None:
        job, self._job = self._job, None
        self._hold_back(False)  # the caller may not have taken the last piece; the next answer is another's
        self.settles = job is None or not job.probe
        result = self.pool.judge(job.payload, answer) if job is not None else None
        if job is not None and job.call and result is not None and result.outcome in NOT_RUN:
            self.turned_away.add(job.call)
        self._heed_keep_alive(answer)
        astray = result is not None and result.astray  # another one's answer: so may the next be
        crowded = len(self.turned_away) > MOST_TURNED_AWAY
        if answer.reuse and not (self.closing or astray or crowded):
            self.pool.put_back(self, now)  # before `done`: what it starts may use this connection
        else:
            self.drop()
        if job is not None and result is not None:
            job.finish(result)

    def _heed_keep_alive(self, answer: machine.Answered) -> None:
        """An upstream's own limit on idle connections, where it tells one, comes before ours.

        Guards against a request that crosses its close: whether that one ran, nobody could tell.
        """
        told = answer.fields.get(b"keep-alive", b"")
        if told == self._keep_alive:
            return
        self._keep_alive = told
        found = KEEP_ALIVE.search(told)
        theirs = int(int(found[1]) * IDLE_SHARE * SECOND) if found is not None else self.pool.idle_limit
        self.idle_limit = min(self.pool.idle_limit, theirs)

    def break_off(self) -> None:
        """The exchange ends here as if the connection had broken."""
        job = self._job
        self.drop()
        if job is not None:
            job.broken()

    def _end_spoilt(self, why: str) -> None:
        """The request may have run, but the upstream stands and its connection did too: an error of its own.

        Spoilt answers come from any upstream alike.  As resets they would demote half of a fleet for seconds.
        """
        log.info("upstream %s sent what is no answer: %s", self.name, why)
        job, ran = self._job, self.written
        self.drop()
        if job is not None:
            job.finish(Result(Outcome.ERROR if ran else Outcome.CONNECT_FAILED))


def _itself(made: Connection) -> Connection:
    return made


class Pool:
    """All connections to upstreams.  The host names upstreams; addresses change beneath them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        budget: SocketBudget,
        connect_timeout_s: float,
        idle_close_s: float,
        bytes_: ByteBudget | None = None,
        wire: Wire | None = None,
        judge: Judge = lambda _, answer: result_of(answer),
        settle: int | None = None,
        silent_ms: int = 0,
        slow: bool = True,
    ) -> None:
        """`wire`: what it stands on, in place of the machine's clock and sockets.  `judge`: says what a whole
        answer means, and by its head whether a long one is passed on; a pure function.  `settle`: how long a
        connection rests after an answer, in microseconds.  `silent_ms`: one whose bytes nobody takes for so
        long is broken off; 0: for as long as the system says.  `slow`: short ones that come slowly are passed
        on, too."""
        self._silent_ms = silent_ms
        self.judge, self._settle, self._slow = judge, SETTLE if settle is None else settle, slow
        self.bytes = bytes_ or ByteBudget(MAX_STREAM)
        self.now = wire.now if wire is not None else monotonic_us
        self._new_socket = wire.socket if wire is not None else unconnected
        self._loop, self._budget = loop, budget
        self._connect_timeout_s = connect_timeout_s
        self.idle_limit = int(idle_close_s * IDLE_SHARE * SECOND)
        self._trust, self._trust_at = self.idle_limit, 0  # as of a time
        self._idle: dict[str, list[Connection]] = {}  # by upstream, the warmest last
        self._oldest: dict[Connection, None] = {}  # all idle ones, in the order in which they became so
        self._open: dict[Connection, None] = {}
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
        whole: int = WHOLE,
        call: bytes = b"",
        wanted: Callable[[], bool] = always,
    ) -> Job:
        """Send on the warmest idle connection, else on a new one.  `done` never comes before this returns.

        Guards against bytes behind an answer that come a moment after it: on a connection that is used again
        at once they would be read as the answer to the next request.  Probes' answers, small and made beside
        the work, are held to settle at once.  And against a second copy of an answer that turned this very
        call away: its id would fit, so the call does not go on that connection again.
        """
        job, now = Job(payload, done, probe, wrote, body, begun, whole, call, wanted), self.now()
        settled, trusted = now - self._settle, now - self._trusted(now)
        for connection in self._idle.get(name, [])[::-1]:
            if connection.settles and connection.idle_since > settled:
                continue
            if call and call in connection.turned_away:
                continue
            self._forget_idle(connection)
            fresh = connection.idle_since > max(trusted, now - connection.idle_limit)
            if connection.address == address and fresh and connection.usable():
                connection.start(job, now)
                return job
            connection.drop()
        self.dial(job, name, address)
        return job

    def passing(self, payload: bytes, whole: int) -> machine.Passing:
        """Which answers to a request are passed on as they come: only what is judged good."""
        return machine.Passing(
            lambda head: self.judge(payload, head).outcome is Outcome.OK, whole, self._slow
        )

    def dial(self, job: Job, name: str, address: Address) -> None:
        """Send on a new connection.

        Also a probe, once, that was lost with its connection: word of a dead upstream should not rest on
        one connection, and a probe runs nothing twice.  An upstream that is down refuses the second at once.
        """
        job.connection = None
        job.dial = self._loop.create_task(self._dial(job, name, address, self._connect_timeout_s))

    def distrust(self, idle_for: int) -> None:
        """A connection that had stood idle this long was dead, and nothing had told so.

        Guards against what drops idle connections unseen (an upstream's own shorter limit, a middlebox that
        forgets flows): each loss may be of a request that cannot be sent again.  Half the time is trusted
        from then on, and twice as much after each TRUST_DOUBLES.  The harm: where the losses have other
        causes, more requests pay for a new connection, for some ten seconds from the last loss.
        """
        now = self.now()
        self._trust = max(TRUST_LEAST, min(self._trusted(now), idle_for // 2))
        self._trust_at = now

    def _trusted(self, now: int) -> int:
        if self._trust >= self.idle_limit:  # as nearly always
            return self.idle_limit
        doublings = min(60.0, (now - self._trust_at) / TRUST_DOUBLES)
        return min(self.idle_limit, int(self._trust * 2**doublings))

    def put_back(self, connection: Connection, now: int) -> None:
        if self.wanted.get(connection.name) != connection.address:
            connection.drop()  # its upstream has left the list, or moved, while it was in use
            return
        connection.idle_since = now
        self._idle.setdefault(connection.name, []).append(connection)
        self._oldest[connection] = None

    def lost(self, connection: Connection) -> None:
        self._forget_idle(connection)
        if connection in self._open:
            del self._open[connection]
            self._budget.free()

    def release(self, name: str) -> None:
        """Close the idle connections to an upstream."""
        for connection in self._idle.pop(name, []):
            self._oldest.pop(connection, None)
            connection.drop()

    def break_off(self, host: str) -> None:
        """End every connection to a machine, and what is under way on it, as if they had broken."""
        for connection in [one for one in self._open if one.address[0] == host]:
            connection.break_off()

    def close(self) -> None:
        self._sweep_timer.cancel()
        for connection in list(self._open):
            connection.drop()

    async def _dial(self, job: Job, name: str, address: Address, within_s: float) -> None:
        sock: socket.socket | None = None
        made: Connection | None = None
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
            sock = self._new_socket(address)
            if self._silent_ms:
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._silent_ms)
            made = Connection(self, name, address, sock)
            async with asyncio.timeout(within_s):
                await self._loop.sock_connect(sock, address)
                await self._loop.create_connection(partial(_itself, made), sock=sock)
            sock = None  # the transport closes it
            self._open[made] = None
            claimed = False
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            log.debug("no connection to %s: %r", name, error)
            job.dial = None
            job.finish(Result(Outcome.CONNECT_FAILED))
            return
        finally:
            if sock is not None:
                if made is not None:
                    made.drop()  # given up in the turn in which it stood
                sock.close()
            if claimed:
                self._budget.free()
        job.dial = None
        if job.ended or made.closing:
            made.drop()
            job.broken()
        elif not job.wanted():
            made.drop()
            job.finish(Result(Outcome.NOT_SENT))
        else:
            made.start(job, self.now())

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
        now = self.now()
        for connection in [one for one in self._open if one.stalled(now)]:
            log.info("upstream %s stands still in the middle of a body", connection.name)
            connection.break_off()
        sweep, trusted = int(SWEEP_S * SECOND), self._trusted(now)
        for connection in list(self._oldest):
            own = connection.idle_limit
            if now - connection.idle_since < min(max(own - sweep, own // 2), trusted):
                continue
            self._forget_idle(connection)
            connection.drop()
