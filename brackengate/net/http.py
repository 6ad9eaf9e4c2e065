"""One caller's connection on a socket: carries out what its machine says."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Collection, Mapping
from functools import partial
from typing import Protocol, cast

from brackengate.http import caller as machine
from brackengate.http.body import MAX_UNSTREAMED_BYTES, Body, ByteBudget, ResponseStream
from brackengate.http.message import IncomingRequest, RequestError
from brackengate.interface import Request, RequestClass
from brackengate.net.node import Caller, Clock, Message, Reply
from brackengate.net.observer import FlowCounter, FlowWatch
from brackengate.net.sockets import READ_BUFFER

MAX_BUFFERED_BODY_BYTES = MAX_UNSTREAMED_BYTES  # where a front takes bodies whole
MAX_STREAMED_BODY_BYTES = 64 << 20  # where it takes them in pieces; they are said to hold 32 MB
SEND_BUFFER_BYTES = (
    128 << 10
)  # the kernel's, for a long answer: else seconds pass before a slow reader is seen to read
MAX_UNSENT_BYTES = 32 << 10  # of a long answer, what may wait here for its caller
LINGER_RESET = struct.pack("ii", 1, 0)
ANY_PATH = b"*"  # the front of every path that has none of its own


class Frontend(Protocol):
    """What one path means: makes of a request one that the door takes, or answers it."""

    max_body_bytes: int
    """The longest body in bytes.  One of over MAX_BODY comes in pieces: then `IncomingRequest.stream` is
    set."""

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Call `connection.submit` or `connection.respond` once, or raise `RequestError`."""


class RequestStage(Protocol):
    """Where fronts hand requests in: the node, or a stage before it."""

    def submit(self, request: Request, message: Message, caller: Caller) -> None: ...

    def client_disconnected(self, request: str, caller: Caller) -> None: ...


class InnerStage(RequestStage, Protocol):
    """The node, or a stage before it, as the next stage out needs it."""

    classes: dict[str, RequestClass]
    clock: Clock

    def started(self, request: str) -> bool:
        """Whether an attempt of it has been sent."""


class TerminalStage(InnerStage, Protocol):
    """What stands behind all stages: one node, or one for each pool."""

    def can_serve(self) -> bool:
        """Whether an upstream is known that serves."""

    def known(self, request: str) -> bool:
        """Whether the id is in flight, or was of late."""


class ConnectionServer(Protocol):
    """The server, as its connections see it."""

    loop: asyncio.AbstractEventLoop
    node: TerminalStage
    stage: RequestStage
    frontends: Mapping[bytes, Frontend]
    single_headers: Collection[bytes]
    draining: bool
    flows: FlowWatch | None
    byte_budget: ByteBudget

    def connection_closed(self, connection: CallerConnection) -> None: ...

    def recently_paused(self) -> bool: ...

    def report_bad_request(self, bad: RequestError) -> None: ...


class CallerConnection(asyncio.BufferedProtocol):
    """One caller's connection.  Requests are served one at a time, in the order in which they came."""

    def __init__(self, server: ConnectionServer) -> None:
        self._server, self._clock = server, server.node.clock
        self._loop = server.loop
        self.machine = machine.CallerMachine(self._clock.now(), self._max_body_bytes, server.single_headers)
        self._transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # the transport's own gives no look at what is unread
        self._on_caller_gone: Callable[[], None] | None = (
            None  # while a request is held: whom to tell that it goes
        )
        self._streamed: _StreamedResponse | None = None  # the long answer that is being passed on
        self._flow: FlowCounter | None = None  # where somebody looks on
        self._flow_request: tuple[str, str, int] | None = (
            None  # the same: class, tenant and time of what is held
        )
        self._peer = self.network = ""
        self._queued_commands: list[machine.Command] = []
        self._busy = False

    # --- for the server

    def has_unread_bytes(self) -> bool:
        """Whether bytes lie in the kernel that the loop has not met yet."""
        if self.sock is None:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing there, or it has gone
            return False

    def closed_by_caller(self) -> bool:
        """Whether the caller has left and the loop has not met that yet.

        Guards against a process that thaws and sends on what was given up while it was frozen.  Only then is
        the kernel asked: a call of the system for each request has its price.
        """
        if self.sock is None or not self._server.recently_paused():
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self, at_once: bool = False) -> None:
        self._execute_all(self.machine.close(self._clock.now(), at_once))

    def tick(self, now: int) -> None:
        self._execute_all(self.machine.tick(now))

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
        self._execute_all(self.machine.received(bytes(READ_BUFFER[:nbytes]), self._clock.now()))

    def eof_received(self) -> bool:
        return False  # a caller that ends its sending has gone away

    def connection_lost(self, exc: Exception | None) -> None:
        if self._flow is not None and self._server.flows is not None:
            self._server.flows.ended(self._flow, exc is not None)
            self._flow = None
        self._execute_all(self.machine.connection_closed())
        self._server.connection_closed(self)

    def pause_writing(self) -> None:
        if self._streamed is not None:
            self._streamed.stream.set_paused(True)
        self._execute_all(self.machine.set_write_buffer_full(True, self._clock.now()))

    def resume_writing(self) -> None:
        if self._streamed is not None:
            self._streamed.drained()
            self._streamed.stream.set_paused(False)
        self._execute_all(self.machine.set_write_buffer_full(False, self._clock.now()))

    # --- carrying out

    def _execute_all(self, commands: list[machine.Command]) -> None:
        """In order; what comes of one is done after those that were said with it."""
        if self._busy:
            self._queued_commands += commands
            return
        self._busy = True
        try:
            while commands:
                for command in commands:
                    self._execute(command)
                commands, self._queued_commands = self._queued_commands, []
        finally:
            self._busy = False

    def _execute(self, command: machine.Command) -> None:
        transport = self._transport
        if isinstance(command, machine.Deliver):
            self._dispatch(command.arrival)
        elif isinstance(command, machine.Write):
            if transport is not None and not transport.is_closing():
                if self._flow is not None:
                    self._flow.sent(len(command.data))
                transport.write(command.data)
        elif isinstance(command, machine.FeedBody):
            assert command.arrival.stream is not None
            if not command.arrival.stream.feed(command.data):
                self._execute_all(self.machine.set_body_paused(True, self._clock.now()))
        elif isinstance(command, machine.OpenBody):
            command.arrival.stream = Body(self._server.byte_budget, command.length, self._body_has_room)
        elif isinstance(command, machine.EndBody):
            assert command.arrival.stream is not None
            command.arrival.stream.end()
        elif isinstance(command, machine.TruncateBody):
            self._on_caller_gone = None
            if command.arrival.stream is not None:
                command.arrival.stream.truncate()
        elif isinstance(command, machine.CallerGone):
            gone, self._on_caller_gone = self._on_caller_gone, None
            out, self._streamed = self._streamed, None
            if gone is not None:
                gone()
            if out is not None:
                out.caller_gone()
        elif isinstance(command, machine.ReportBadRequest):
            self._server.report_bad_request(command.error)
        elif isinstance(command, machine.ContinueLater):
            self._loop.call_soon(self._resume_parsing)
        elif transport is None:
            return  # what is left is for a connection that has been made
        elif isinstance(command, machine.Close):
            if command.reset and self.sock is not None:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            (transport.abort if command.immediately else transport.close)()
        elif not transport.is_closing():
            if isinstance(command, machine.SetReading):
                (transport.resume_reading if command.on else transport.pause_reading)()
            else:
                transport.write_eof()

    def _resume_parsing(self) -> None:
        self._execute_all(self.machine.resume(self._clock.now()))

    def _body_has_room(self) -> None:
        """The body's reader has room again."""
        self._execute_all(self.machine.set_body_paused(False, self._clock.now()))

    # --- requests

    def _dispatch(self, arrival: IncomingRequest) -> None:
        try:
            front = self._frontend_for(arrival.target)
            if front is None:
                raise RequestError(404, "path")
            front.begin(arrival, self)
        except RequestError as bad:
            self._execute_all(self.machine.refuse(bad, self._clock.now(), self._server.draining))

    def _frontend_for(self, target: bytes) -> Frontend | None:
        fronts = self._server.frontends
        return fronts.get(target.partition(b"?")[0]) or fronts.get(ANY_PATH)

    def _max_body_bytes(self, target: bytes) -> int:
        front = self._frontend_for(target)
        return front.max_body_bytes if front is not None else MAX_BUFFERED_BODY_BYTES

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
            self._flow_request = (request.class_name, request.tenant, self._clock.now())
        self._on_caller_gone = partial(self._server.stage.client_disconnected, request.request, awaits)
        self._server.stage.submit(request, message, awaits)

    def expect_answer(self, gone: Callable[[], None]) -> None:
        """A front that hands in by itself: `answer` is owed once, and `gone` is called if the caller goes."""
        self._on_caller_gone = gone

    # --- answers

    def answer(self, reply: Reply) -> None:
        """The one answer to the request that is held for this connection."""
        self._on_caller_gone = None
        if self._flow_request is not None and self._flow is not None and self._server.flows is not None:
            (name, tenant, at), self._flow_request = self._flow_request, None
            self._server.flows.request(self._flow, name, tenant, reply.status, self._clock.now() - at)
        if reply.stream is not None:
            self._start_streaming(reply, reply.stream)
        else:
            self.respond(
                reply.status, reply.body, reply.content_type, reply.retry_after_us, reply.extra_headers
            )

    def respond(
        self,
        status: int,
        body: bytes,
        content_type: bytes = b"",
        retry_after_us: int = 0,
        extra_headers: bytes = b"",
    ) -> None:
        """Answer the request that is being served.  `extra_headers`: whole header lines."""
        draining = self._server.draining
        self._execute_all(
            self.machine.answer(
                self._clock.now(), status, body, content_type, retry_after_us, extra_headers, draining
            )
        )

    def _start_streaming(self, reply: Reply, stream: ResponseStream) -> None:
        """Begin an answer whose rest comes in pieces."""
        transport, now = self._transport, self._clock.now()
        draining = self._server.draining
        head = self.machine.begin_answer(
            now, stream.length, reply.content_type, reply.extra_headers, draining, reply.status
        )
        if not head or transport is None or transport.is_closing():
            return
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._streamed = stream.sink = _StreamedResponse(self, stream, self._server.byte_budget)
        self._execute_all(head)
        self._streamed.write(reply.body)

    def send_piece(self, data: bytes) -> int:
        """Write; how much of what was written waits here."""
        if self._transport is None or self._transport.is_closing():
            return 0
        self._execute_all(self.machine.answer_piece(data))
        return self._transport.get_write_buffer_size()

    def finish_answer(self) -> None:
        self._streamed = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.set_write_buffer_limits()
        self._execute_all(self.machine.end_answer(self._clock.now()))

    def cut_answer(self) -> None:
        self._streamed = None
        self._execute_all(self.machine.abort_answer(self._clock.now()))


class _StreamedResponse:
    """A long answer on its way to its caller, and what it holds of the process's bound."""

    def __init__(self, connection: CallerConnection, stream: ResponseStream, budget: ByteBudget) -> None:
        self._connection, self.stream, self._budget = connection, stream, budget
        self._held_bytes = 0

    def write(self, data: bytes) -> None:
        self._set_held_bytes(self._connection.send_piece(data))

    def finish(self) -> None:
        self._set_held_bytes(
            0
        )  # what still waits is no stream's any more, and bounded by OUT_AHEAD and a piece
        self._connection.finish_answer()

    def truncate(self) -> None:
        self._set_held_bytes(0)
        self._connection.cut_answer()

    def drained(self) -> None:
        """Its caller has taken what waited, or nearly."""
        self._set_held_bytes(0)

    def caller_gone(self) -> None:
        self._set_held_bytes(0)
        self.stream.abandon()

    def _set_held_bytes(self, count: int) -> None:
        self._budget.acquire(count - self._held_bytes)
        self._held_bytes = count
