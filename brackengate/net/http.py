"""One caller's connection on a socket: carries out what its machine says."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Collection, Mapping
from functools import partial
from typing import Protocol, cast

from brackengate.http import caller as machine
from brackengate.http.body import WHOLE, AnswerStream, Body, ByteBudget
from brackengate.http.message import Arrival, Bad
from brackengate.interface import Request, RequestClass
from brackengate.net.node import Caller, Clock, Message, Reply
from brackengate.net.observer import FlowCounter, FlowWatch
from brackengate.net.sockets import READ_BUFFER

MAX_BODY = WHOLE  # where a front takes bodies whole
MAX_LONG_BODY = 64 << 20  # where it takes them in pieces; they are said to hold 32 MB
SEND_BUFFER = (
    128 << 10
)  # the kernel's, for a long answer: else seconds pass before a slow reader is seen to read
OUT_AHEAD = 32 << 10  # of a long answer, what may wait here for its caller
RESETS = struct.pack("ii", 1, 0)
ANY = b"*"  # the front of every path that has none of its own


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
    once: Collection[bytes]
    draining: bool
    flows: FlowWatch | None
    bytes: ByteBudget

    def lost(self, connection: CallerConnection) -> None: ...

    def stood_still(self) -> bool: ...

    def complain(self, bad: Bad) -> None: ...


class CallerConnection(asyncio.BufferedProtocol):
    """One caller's connection.  Requests are served one at a time, in the order in which they came."""

    def __init__(self, server: Host) -> None:
        self._server, self._clock = server, server.node.clock
        self._loop = server.loop
        self.machine = machine.CallerMachine(self._clock.now(), self._most_body, server.once)
        self._transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # the transport's own gives no look at what is unread
        self._gone: Callable[[], None] | None = None  # while a request is held: whom to tell that it goes
        self._out: _Outgoing | None = None  # the long answer that is being passed on
        self._flow: FlowCounter | None = None  # where somebody looks on
        self._asked: tuple[str, str, int] | None = None  # the same: class, tenant and time of what is held
        self._peer = self.network = ""
        self._todo: list[machine.Command] = []
        self._busy = False

    # --- for the server

    def unread(self) -> bool:
        """Whether bytes lie in the kernel that the loop has not met yet."""
        if self.sock is None:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing there, or it has gone
            return False

    def abandoned(self) -> bool:
        """Whether the caller has left and the loop has not met that yet.

        Guards against a process that thaws and sends on what was given up while it was frozen.  Only then is
        the kernel asked: a call of the system for each request has its price.
        """
        if self.sock is None or not self._server.stood_still():
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self, at_once: bool = False) -> None:
        self._do(self.machine.close(self._clock.now(), at_once))

    def tick(self, now: int) -> None:
        self._do(self.machine.tick(now))

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one without deriving from it
        if self.machine.leaving:  # evicted before it began
            self._transport.abort()
        if self._server.flows is not None:
            local, peer = transport.get_extra_info("sockname"), transport.get_extra_info("peername")
            self._flow = self._server.flows.client(local, peer)

    def get_buffer(self, sizehint: int) -> memoryview:
        return READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._flow is not None:
            self._flow.received(nbytes)
        self._do(self.machine.received(bytes(READ_BUFFER[:nbytes]), self._clock.now()))

    def eof_received(self) -> bool:
        return False  # a caller that ends its sending has gone away

    def connection_lost(self, exc: Exception | None) -> None:
        if self._flow is not None and self._server.flows is not None:
            self._server.flows.ended(self._flow, exc is not None)
            self._flow = None
        self._do(self.machine.lost())
        self._server.lost(self)

    def pause_writing(self) -> None:
        if self._out is not None:
            self._out.stream.hold_back(True)
        self._do(self.machine.full(True, self._clock.now()))

    def resume_writing(self) -> None:
        if self._out is not None:
            self._out.taken()
            self._out.stream.hold_back(False)
        self._do(self.machine.full(False, self._clock.now()))

    # --- carrying out

    def _do(self, commands: list[machine.Command]) -> None:
        """In order; what comes of one is done after those that were said with it."""
        if self._busy:
            self._todo += commands
            return
        self._busy = True
        try:
            while commands:
                for command in commands:
                    self._carry_out(command)
                commands, self._todo = self._todo, []
        finally:
            self._busy = False

    def _carry_out(self, command: machine.Command) -> None:
        transport = self._transport
        if isinstance(command, machine.Deliver):
            self._begin(command.arrival)
        elif isinstance(command, machine.Write):
            if transport is not None and not transport.is_closing():
                if self._flow is not None:
                    self._flow.sent(len(command.data))
                transport.write(command.data)
        elif isinstance(command, machine.Feed):
            assert command.arrival.stream is not None
            if not command.arrival.stream.feed(command.data):
                self._do(self.machine.hold_back(True, self._clock.now()))
        elif isinstance(command, machine.OpenBody):
            command.arrival.stream = Body(self._server.bytes, command.length, self._room)
        elif isinstance(command, machine.EndBody):
            assert command.arrival.stream is not None
            command.arrival.stream.end()
        elif isinstance(command, machine.CutBody):
            self._gone = None
            if command.arrival.stream is not None:
                command.arrival.stream.cut_off()
        elif isinstance(command, machine.Gone):
            gone, self._gone = self._gone, None
            out, self._out = self._out, None
            if gone is not None:
                gone()
            if out is not None:
                out.gone()
        elif isinstance(command, machine.Complain):
            self._server.complain(command.bad)
        elif isinstance(command, machine.Again):
            self._loop.call_soon(self._again)
        elif transport is None:
            return  # what is left is for a connection that has been made
        elif isinstance(command, machine.Close):
            if command.resets and self.sock is not None:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
            (transport.abort if command.at_once else transport.close)()
        elif not transport.is_closing():
            if isinstance(command, machine.Read):
                (transport.resume_reading if command.on else transport.pause_reading)()
            else:
                transport.write_eof()

    def _again(self) -> None:
        self._do(self.machine.go_on(self._clock.now()))

    def _room(self) -> None:
        """The body's reader has room again."""
        self._do(self.machine.hold_back(False, self._clock.now()))

    # --- requests

    def _begin(self, arrival: Arrival) -> None:
        try:
            front = self._front(arrival.target)
            if front is None:
                raise Bad(404, "path")
            front.begin(arrival, self)
        except Bad as bad:
            self._do(self.machine.refuse(bad, self._clock.now(), self._server.draining))

    def _front(self, target: bytes) -> Front | None:
        fronts = self._server.fronts
        return fronts.get(target.partition(b"?")[0]) or fronts.get(ANY)

    def _most_body(self, target: bytes) -> int:
        front = self._front(target)
        return front.most_body if front is not None else MAX_BODY

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
        else:
            self.respond(reply.status, reply.body, reply.content_type, reply.retry_after, reply.extra)

    def respond(
        self, status: int, body: bytes, content_type: bytes = b"", retry_after: int = 0, extra: bytes = b""
    ) -> None:
        """Answer the request that is being served.  `extra`: whole header lines."""
        draining = self._server.draining
        self._do(
            self.machine.answer(self._clock.now(), status, body, content_type, retry_after, extra, draining)
        )

    def _pass_on(self, reply: Reply, stream: AnswerStream) -> None:
        """Begin an answer whose rest comes in pieces."""
        transport, now = self._transport, self._clock.now()
        draining = self._server.draining
        head = self.machine.begin_answer(
            now, stream.length, reply.content_type, reply.extra, draining, reply.status
        )
        if not head or transport is None or transport.is_closing():
            return
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        transport.set_write_buffer_limits(high=OUT_AHEAD)
        self._out = stream.sink = _Outgoing(self, stream, self._server.bytes)
        self._do(head)
        self._out.piece(reply.body)

    def send_piece(self, data: bytes) -> int:
        """Write; how much of what was written waits here."""
        if self._transport is None or self._transport.is_closing():
            return 0
        self._do(self.machine.piece(data))
        return self._transport.get_write_buffer_size()

    def finish_answer(self) -> None:
        self._out = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.set_write_buffer_limits()
        self._do(self.machine.end_answer(self._clock.now()))

    def cut_answer(self) -> None:
        self._out = None
        self._do(self.machine.cut_answer(self._clock.now()))


class _Outgoing:
    """A long answer on its way to its caller, and what it holds of the process's bound."""

    def __init__(self, connection: CallerConnection, stream: AnswerStream, budget: ByteBudget) -> None:
        self._connection, self.stream, self._budget = connection, stream, budget
        self._held = 0

    def piece(self, data: bytes) -> None:
        self._hold(self._connection.send_piece(data))

    def finish(self) -> None:
        self._hold(0)  # what still waits is no stream's any more, and bounded by OUT_AHEAD and a piece
        self._connection.finish_answer()

    def cut(self) -> None:
        self._hold(0)
        self._connection.cut_answer()

    def taken(self) -> None:
        """Its caller has taken what waited, or nearly."""
        self._hold(0)

    def gone(self) -> None:
        self._hold(0)
        self.stream.abandon()

    def _hold(self, count: int) -> None:
        self._budget.take(count - self._held)
        self._held = count
