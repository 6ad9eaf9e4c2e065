"""HTTP/1.1 on one caller's connection: framing, its limits, keep-alive.  Fronts say what a request means."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Protocol, cast

import httptools

from brackengate.interface import Request, RequestClass
from brackengate.net.body import WHOLE, AnswerStream, Body, ByteBudget, too_slow
from brackengate.net.node import Caller, Clock, Message, Reply
from brackengate.net.observer import FlowCounter, FlowWatch

MAX_BODY = WHOLE  # where a front takes bodies whole
MAX_LONG_BODY = 64 << 20  # where it takes them in pieces; they are said to hold 32 MB
MAX_HEAD = 16 << 10
HEAD_S = 3.0  # a head from its first byte to its last; callers are said to take 2 s
LINGER_S = 0.7  # for the caller to read an answer that came before its request's end
LINGER_BODY_S = 4.0  # the same, where a long body is on its way: it is read, and let go
DRAIN_ANSWER_S = 2.0  # for a caller to take an answer
STALL_S = 10.0  # a caller that takes nothing of a long answer
SEND_BUFFER = (
    128 << 10
)  # the kernel's, for a long answer: else seconds pass before a slow reader is seen to read
OUT_AHEAD = 32 << 10  # of a long answer, what may wait here for its caller
READ = 64 << 10  # bytes read at once
PIECE = 16 << 10  # what the parser is given at once
ANY = b"*"  # the front of every path that has none of its own
AT_ONCE = 8  # requests of one caller that are begun in one turn of the loop

ONCE = (b"x-txn", b"x-lane", b"x-remaining-ms", b"idempotency-key", b"content-length", b"transfer-encoding")
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    406: b"Not Acceptable",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    415: b"Unsupported Media Type",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Bad(Exception):
    """A request that gets an answer of the server's own."""

    def __init__(self, status: int, why: str, extra: bytes = b"") -> None:
        super().__init__(why)
        self.status, self.why, self.extra = status, why, extra


@dataclass(slots=True)
class Arrival:
    """A whole request, as it was parsed."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    at: int
    bad: Bad | None = None
    stream: Body | None = None  # in place of `body`: it is still coming
    version: str = "1.1"


_BUFFER = memoryview(bytearray(READ))  # each read is copied out of it before the next: one serves all


def response(
    status: int, body: bytes, content_type: bytes, retry_after: int, close: bool, extra: bytes = b""
) -> bytes:
    head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS[status], len(body))
    if content_type:
        head += b"Content-Type: %s\r\n" % content_type
    if retry_after > 0:  # decimal: whole seconds would be coarser than the advice
        head += b"Retry-After: %.3f\r\n" % (retry_after / 1e6)
    return head + extra + (b"Connection: close\r\n\r\n" if close else b"\r\n") + body


class Front(Protocol):
    """What one path means: makes of a request one that the door takes, or answers it."""

    most_body: int
    """The longest body in bytes.  One of over MAX_BODY comes in pieces: then `Arrival.stream` is set."""

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        """Call `connection.submit` or `connection.respond` once, or raise `Bad`."""


class Door(Protocol):
    """Where fronts hand requests in: the node, or a stage before it."""

    def submit(self, request: Request, message: Message, caller: Caller) -> None: ...

    def gone(self, request: str, caller: Caller) -> None: ...


class Inner(Door, Protocol):
    """The node, or a stage before it, as the next stage out needs it."""

    classes: dict[str, RequestClass]
    clock: Clock

    def started(self, request: str) -> bool:
        """Whether an attempt of it has been sent."""


class Core(Inner, Protocol):
    """What stands behind all stages: one node, or one for each pool."""

    def can_serve(self) -> bool:
        """Whether an upstream is known that serves."""

    def known(self, request: str) -> bool:
        """Whether the id is in flight, or was of late."""


class Host(Protocol):
    """The server, as its connections see it."""

    loop: asyncio.AbstractEventLoop
    node: Core
    door: Door
    fronts: Mapping[bytes, Front]
    draining: bool
    flows: FlowWatch | None
    bytes: ByteBudget

    def lost(self, connection: CallerConnection) -> None: ...

    def complain(self, bad: Bad) -> None: ...


class CallerConnection(asyncio.Protocol):
    """One caller's connection.  Requests are served one at a time, in the order in which they came."""

    def __init__(self, server: Host) -> None:
        self._server, self._clock = server, server.node.clock
        self._loop = server.loop
        self._transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # the transport's own gives no look at what is unread
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[Arrival] = deque()  # read, not begun
        self._current: Arrival | None = None
        self._gone: Callable[[], None] | None = None  # while a request is held: whom to tell that it goes
        self._flow: FlowCounter | None = None  # where somebody looks on
        self._asked: tuple[str, str, int] | None = None  # the same: class, tenant and time of what is held
        self._peer = self.network = ""
        self._last = False  # no further request is read
        self._lingers = False  # nothing more is said either
        self._timer: asyncio.TimerHandle | None = None
        self._full = False  # answers wait in the transport
        self._rest = b""  # read, not parsed
        self._deaf = False  # what came cannot be read; nor can what follows
        self.opened = self.since = self._loop.time()  # `since`: the last answer
        self.heard = self.opened  # when something last came
        self.began = 0.0  # the first byte of the request that is being read: later ones do not renew it
        self._raw = 0  # bytes since the head's start or the last part of a body
        self._moved = False  # whether a piece brought a part of a body or an end
        self.served = 0
        self._incoming: Arrival | None = None  # whose body is coming in pieces
        self._out: _Outgoing | None = None  # the long answer that is being passed on
        self._handed_on = False  # it waits, is served or has been
        self._held_back = False  # the body's reader can't take more now
        self._body_at = self._paused_at = self._paused_s = 0.0  # for how fast a body comes
        self._most_body = MAX_BODY
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._head_size = self._body_size = 0
        self._partial = self._in_body = False

    # --- state, for the server

    @property
    def idle(self) -> bool:
        return not (self._current or self._waiting or self._rest or self._partial or self._last)

    def too_slow(self, now: float) -> bool:
        """Whether the rest of a request is overdue; a first one counts from the start of its connection."""
        if self._last or not self._partial or (self._current is not None and self._incoming is None):
            return False
        if self._in_body:
            paused = self._paused_s + (now - self._paused_at if self._held_back else 0.0)
            return too_slow(now - self._body_at - paused, self._body_size)
        return now - (self.began if self.served else self.opened) > HEAD_S

    @property
    def silent(self) -> bool:
        """Nothing has come on it yet."""
        return self.idle and not self.served

    @property
    def unfinished(self) -> bool:
        """A head has begun, and there is nothing else to it."""
        waits = self._current or self._waiting or self._in_body or self._last
        return self._partial and not waits

    @property
    def leaving(self) -> bool:
        """It has had its last answer, and only waits for its caller to read that."""
        return self._last

    def unread(self) -> bool:
        """Whether bytes lie in the kernel that the loop has not met yet."""
        if self.sock is None:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing there, or it has gone
            return False

    def close(self, at_once: bool = False) -> None:
        self._last = True
        if self._transport is not None:
            (self._transport.abort if at_once else self._transport.close)()

    def give_up(self) -> None:
        """A request whose rest does not come."""
        bad = Bad(408, "the request's rest did not come")
        if self._incoming is None:
            self._refuse(bad)
        else:
            self._broken(bad)
            self._next()

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one without deriving from it
        if self._last:  # evicted before it began
            self._transport.abort()
        if self._server.flows is not None:
            local, peer = transport.get_extra_info("sockname"), transport.get_extra_info("peername")
            self._flow = self._server.flows.client(local, peer)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _BUFFER

    def buffer_updated(self, count: int) -> None:
        self.data_received(bytes(_BUFFER[:count]))

    def data_received(self, data: bytes) -> None:
        if self._flow is not None:
            self._flow.received(len(data))
        self.heard = self._loop.time()
        self._rest += data
        self._parse()

    def _parse(self) -> None:
        """Parse a piece of what was read; the rest in later turns of the loop, once its requests have begun.

        Guards against a caller that sends requests by the thousand: one read holds 256 KB of them, which
        would all be kept, parsed and answered before anybody else has a turn.
        """
        if self._deaf or self._last:
            self._rest = b""
        if not self._rest or len(self._waiting) > 1 or self._full or self._held_back:
            return
        size = PIECE if self._incoming is None else READ
        piece, self._rest = self._rest[:size], self._rest[size:]
        self._feed(piece)
        self._next()
        if not self._rest:
            self._read_on()
        elif self._transport is not None:
            self._transport.pause_reading()
            self._loop.call_soon(self._parse)

    def _feed(self, piece: bytes) -> None:
        """Parse a piece.

        Guards against what has no end: the parser joins the pieces of a header, or of a trailer, and tells
        of it when it is whole, so bytes that bring neither body nor end are counted here.
        """
        if not self._partial:
            self.began, self._raw = self._loop.time(), 0
        self._partial, self._moved = True, False
        try:
            self._parser.feed_data(piece)
            if self._moved:
                self._raw = 0
            else:
                self._raw += len(piece)
                if self._raw > MAX_HEAD:
                    raise Bad(431, "headers too large")
        except httptools.HttpParserUpgrade:
            self._broken(Bad(400, "no upgrade is offered"))
        except httptools.HttpParserError as error:
            # An exception of our own in a callback comes wrapped.
            inner = error.__context__
            self._broken(inner if isinstance(inner, Bad) else Bad(400, f"malformed HTTP: {error}"))
        except Bad as bad:
            self._broken(bad)

    def eof_received(self) -> bool:
        return False  # a caller that ends its sending has gone away

    def connection_lost(self, exc: Exception | None) -> None:
        self._last = True
        if self._timer is not None:
            self._timer.cancel()
        self._waiting.clear()
        incoming, self._incoming = self._incoming, None
        out, self._out = self._out, None
        if self._flow is not None and self._server.flows is not None:
            self._server.flows.ended(self._flow, exc is not None)
            self._flow = None
        gone, self._gone = self._gone, None
        if gone is not None:
            gone()
        if incoming is not None and incoming.stream is not None:
            incoming.stream.cut_off()
        if out is not None:
            out.gone()
        self._current = None
        self._server.lost(self)

    def pause_writing(self) -> None:
        """A caller that does not take its answers: serve and read nothing more of it, and not for ever.

        Guards against a caller that sends many requests and reads nothing: one read can hold thousands of
        them, and their answers would fill the memory.
        """
        assert self._transport is not None
        self._full = True
        self._transport.pause_reading()
        if self._out is not None:
            self._out.stream.hold_back(True)
        if self._timer is None:
            within_s = DRAIN_ANSWER_S if self._out is None else STALL_S
            self._timer = self._loop.call_later(within_s, self._transport.abort)

    def resume_writing(self) -> None:
        assert self._transport is not None
        if self._timer is not None and not self._lingers:
            self._timer.cancel()
            self._timer = None
        self._full = False
        if self._out is not None:
            self._out.taken()
            self._out.stream.hold_back(False)
        self._next()
        self._read_on()

    def _read_on(self) -> None:
        open_here = self._transport is not None and not self._transport.is_closing()
        if open_here and not self._full and not self._held_back and not self._waiting:
            if self._rest:
                self._loop.call_soon(self._parse)
            else:
                cast(asyncio.Transport, self._transport).resume_reading()

    # --- httptools

    def on_message_begin(self) -> None:
        self._reset()
        self._partial = True

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._grow_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, but none that follows the body.

        Guards against a trailer that would stand in for a header after the headers were checked.  The parser
        leaves the white space behind a value that is cut there; it is no part of it (RFC 9110, 5.5).
        """
        if not self._in_body:
            self._headers.append((name, value.strip(b" \t")))
        self._grow_head(len(name) + len(value) + 4)

    def _grow_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            raise Bad(431, "headers too large")

    def on_headers_complete(self) -> None:
        self._in_body = True
        names = [name.lower() for name, _ in self._headers]
        front = self._front(self._target)
        self._most_body, length = front.most_body if front is not None else MAX_BODY, 0
        self._body_at, self._paused_s = self._loop.time(), 0.0
        if any(names.count(name) > 1 for name in ONCE):
            raise Bad(400, "a header that may stand once stands twice")
        for (_, value), name in zip(self._headers, names, strict=True):
            if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise Bad(400, "a transfer coding other than chunked")
            if name == b"content-length":
                length = int(value)
        if b"transfer-encoding" in names and b"content-length" in names:
            raise Bad(400, "two framings")
        if length > self._most_body:
            raise Bad(413, "body too large")
        if self._parser.should_upgrade():
            raise Bad(400, "no upgrade is offered")
        if length > WHOLE:
            self._open(length)
        for (_, value), name in zip(self._headers, names, strict=True):
            waits = name == b"expect" and value.lower() == b"100-continue"
            first = self._current is None and not self._waiting  # else it would go out amid other answers
            if waits and first and self._transport is not None:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._moved = True
        self._body_size += len(data)
        if self._body_size > self._most_body:
            raise Bad(413, "body too large")
        if self._incoming is None:
            self._body.append(data)
            if self._body_size > WHOLE:
                pieces, self._body = self._body, []
                self._open(None)
                self._take(b"".join(pieces))
        else:
            self._take(data)

    def _open(self, length: int | None) -> None:
        """A body too long to be read whole first: its request goes on when it is whole or there is no room.

        An attempt that begins later is chosen better, and can go again for longer.
        """
        self._incoming = Arrival(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"",
            False,  # until its end is there
            self._clock.now(),
            stream=Body(self._server.bytes, length, self._go_on),
            version=self._parser.get_http_version(),
        )
        self._handed_on = False

    def _hand_on(self, incoming: Arrival) -> None:
        if not self._handed_on:
            self._handed_on = True
            self._waiting.append(incoming)

    def _take(self, data: bytes) -> None:
        assert self._incoming is not None and self._incoming.stream is not None
        if not self._incoming.stream.feed(data) and not self._held_back:
            self._held_back, self._paused_at = True, self._loop.time()
            self._hand_on(self._incoming)
            if self._transport is not None:
                self._transport.pause_reading()

    def _go_on(self) -> None:
        """The body's reader has room again."""
        if self._held_back:
            self._held_back = False
            self._paused_s += self._loop.time() - self._paused_at
            self._read_on()

    def on_message_complete(self) -> None:
        method, keep_alive = self._parser.get_method(), self._parser.should_keep_alive()
        incoming, self._incoming = self._incoming, None
        if incoming is not None and incoming.stream is not None:
            self._reset()
            self._moved = True
            incoming.keep_alive = keep_alive
            if incoming is not self._current:  # its time counts from here; one that is served hears it itself
                incoming.at = self._clock.now()
            self._hand_on(incoming)
            incoming.stream.end()
            return
        arrival = Arrival(
            method,
            self._target,
            self._headers,
            b"".join(self._body),
            keep_alive,
            self._clock.now(),
            version=self._parser.get_http_version(),
        )
        self._reset()
        self._moved = True
        self._waiting.append(arrival)
        if len(self._waiting) > 1 and self._transport is not None:
            self._transport.pause_reading()  # bounds what a caller can make this process hold

    # --- requests

    def _broken(self, bad: Bad) -> None:
        """What came cannot be read: it gets its answer in its turn, and the connection ends.

        Of a body in pieces the rest is lost: what was sent of it has not run, and its request ends here.
        """
        self._reset()
        self._deaf = True
        incoming, self._incoming = self._incoming, None
        if incoming is not None and incoming.stream is not None:
            incoming.bad, self._held_back = bad, False
            if incoming is self._current:
                self._gone = None
                incoming.stream.cut_off()
                self._server.complain(bad)
                self._refuse(bad)
            else:
                incoming.stream.cut_off()
                self._hand_on(incoming)
            return
        self._waiting.append(Arrival(b"", b"", [], b"", False, self._clock.now(), bad))

    def _next(self) -> None:
        """Begin the next request that was read."""
        for _ in range(AT_ONCE):
            if self._current is not None or not self._waiting or self._last or self._full:
                return
            self._current = arrival = self._waiting.popleft()
            if arrival.stream is not None and not arrival.stream.whole:
                arrival.at = self._clock.now()  # as if it ended now: the node counts anew from its end
            self._read_on()
            try:
                if arrival.bad is not None:
                    raise arrival.bad
                self._begin(arrival)
            except Bad as bad:
                if bad.status not in (404, 405, 503):
                    self._server.complain(bad)
                self._refuse(bad)
        self._loop.call_soon(self._next)

    def _begin(self, arrival: Arrival) -> None:
        front = self._front(arrival.target)
        if front is None:
            raise Bad(404, "path")
        front.begin(arrival, self)

    def _front(self, target: bytes) -> Front | None:
        fronts = self._server.fronts
        return fronts.get(target.partition(b"?")[0]) or fronts.get(ANY)

    def peer(self) -> str:
        """The caller's address, without its port; empty once it has gone."""
        if not self._peer and self._transport is not None:
            name = self._transport.get_extra_info("peername")  # a call of the system, each time
            self._peer = str(name[0]) if name else ""
        return self._peer

    def submit(self, request: Request, message: Message, caller: Caller | None = None) -> None:
        """A front's way on: `caller`, or this connection, gets the one answer."""
        awaits = caller or self
        if self._flow is not None:
            self._asked = (request.class_name, request.tenant, self._clock.now())
        self._gone = partial(self._server.door.gone, request.request, awaits)
        self._server.door.submit(request, message, awaits)

    def hold(self, gone: Callable[[], None]) -> None:
        """A front that hands in by itself: `answer` is owed once, and `gone` is called if the caller goes."""
        self._gone = gone

    # --- answers

    def answer(self, reply: Reply) -> None:
        """The one answer to the request that is held for this connection."""
        self._gone = None
        if self._asked is not None and self._flow is not None and self._server.flows is not None:
            (name, tenant, at), self._asked = self._asked, None
            self._server.flows.request(self._flow, name, tenant, reply.status, self._clock.now() - at)
        if reply.stream is not None:
            self._pass_on(reply, reply.stream)
            return
        self.respond(reply.status, reply.body, reply.content_type, reply.retry_after, reply.extra)
        if self._waiting:
            self._loop.call_soon(self._next)

    def respond(
        self, status: int, body: bytes, content_type: bytes = b"", retry_after: int = 0, extra: bytes = b""
    ) -> None:
        """Answer the request that is being served.  `extra`: whole header lines."""
        arrival, self._current = self._current, None
        if arrival is None or self._transport is None or self._transport.is_closing():
            return
        unread = arrival.stream is not None and not arrival.stream.whole  # the rest of its body is on its way
        close = unread or not arrival.keep_alive or self._leaving
        head_only = arrival.method == b"HEAD"
        out = response(status, body, content_type, retry_after, close, extra)
        self._write(out[: len(out) - len(body)] if head_only else out)
        self._answered(close, unread)

    def _answered(self, close: bool, unread: bool = False) -> None:
        assert self._transport is not None
        self.since = self._loop.time()
        self.served += 1
        if unread:
            self._linger(LINGER_BODY_S)
        elif close:
            self._last = True
            self._transport.close()

    def _linger(self, for_s: float) -> None:
        """Nothing more is said; what still comes is read and let go, for a while.

        Guards against the reset that closing on unread bytes brings: it could wipe out the answer.
        """
        assert self._transport is not None
        self._last = self._lingers = True
        self._waiting.clear()
        self._transport.resume_reading()
        self._transport.write_eof()
        if self._timer is None:
            self._timer = self._loop.call_later(for_s, self._transport.abort)

    # --- long answers

    def _pass_on(self, reply: Reply, stream: AnswerStream) -> None:
        """Begin an answer whose rest comes in pieces, in its length, in chunks or until the end."""
        arrival, transport = self._current, self._transport
        if arrival is None or transport is None or transport.is_closing():
            return
        chunked = stream.length is None and arrival.version != "1.0"
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        transport.set_write_buffer_limits(high=OUT_AHEAD)
        close = not arrival.keep_alive or self._leaving or (stream.length is None and not chunked)
        self._out = _Outgoing(self, stream, self._server.bytes, chunked, close)
        stream.sink = self._out
        head = [b"HTTP/1.1 200 OK"]
        if stream.length is not None:
            head.append(b"Content-Length: %d" % stream.length)
        elif chunked:
            head.append(b"Transfer-Encoding: chunked")
        if reply.content_type:
            head.append(b"Content-Type: %s" % reply.content_type)
        if close:
            head.append(b"Connection: close")
        self._write(b"\r\n".join(head) + b"\r\n" + reply.extra + b"\r\n")
        self._out.piece(reply.body)

    def send_piece(self, data: bytes) -> int:
        """Write; how much of what was written waits here."""
        if self._transport is None or self._transport.is_closing():
            return 0
        self._write(data)
        return self._transport.get_write_buffer_size()

    def passed_on(self, close: bool) -> None:
        """The last byte of a long answer was written."""
        self._out, self._current = None, None
        if self._timer is not None and not self._full:
            self._timer.cancel()
            self._timer = None
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.set_write_buffer_limits()
        self._answered(close)
        if self._waiting:
            self._loop.call_soon(self._next)

    def cut(self) -> None:
        """The rest of a long answer will not come: its caller sees the connection break."""
        self._out = None
        self.close(at_once=True)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        if self._flow is not None:
            self._flow.sent(len(data))
        self._transport.write(data)

    @property
    def _leaving(self) -> bool:
        """Whether this answer is the last: requests that were read are answered also when leaving."""
        return self._server.draining and not self._waiting and not self._rest

    def _refuse(self, bad: Bad) -> None:
        """Answer what is not served; where the rest of it may still come, wait for it a while.

        Guards against the reset that closing on unread bytes brings: it could wipe out the answer.
        """
        arrival, self._current = self._current, None
        if self._transport is None or self._transport.is_closing():
            return
        self.served += 1
        keep = arrival is not None and arrival.bad is None and arrival.keep_alive and not self._leaving
        self._write(response(bad.status, f"{bad.why}\n".encode(), b"text/plain", 0, not keep, bad.extra))
        self.since = self._loop.time()
        if not keep:
            unread = arrival is not None and arrival.stream is not None
            self._linger(LINGER_BODY_S if unread else LINGER_S)


class _Outgoing:
    """A long answer on its way to its caller, and what it holds of the process's bound."""

    def __init__(
        self,
        connection: CallerConnection,
        stream: AnswerStream,
        budget: ByteBudget,
        chunked: bool,
        close: bool,
    ) -> None:
        self._connection, self.stream, self._budget = connection, stream, budget
        self._chunked, self._close = chunked, close
        self._held = 0

    def piece(self, data: bytes) -> None:
        framed = b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data
        self._hold(self._connection.send_piece(framed))

    def finish(self) -> None:
        if self._chunked:
            self._connection.send_piece(b"0\r\n\r\n")
        self._hold(0)  # what still waits is no stream's any more, and bounded by OUT_AHEAD and a piece
        self._connection.passed_on(self._close)

    def cut(self) -> None:
        self._hold(0)
        self._connection.cut()

    def taken(self) -> None:
        """Its caller has taken what waited, or nearly."""
        self._hold(0)

    def gone(self) -> None:
        self._hold(0)
        self.stream.abandon()

    def _hold(self, count: int) -> None:
        self._budget.take(count - self._held)
        self._held = count
