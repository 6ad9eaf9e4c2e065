"""One caller's connection on a socket, and the protocols between server, frontends and pipeline stages."""

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

MAX_BUFFERED_BODY_BYTES = MAX_UNSTREAMED_BYTES  # for frontends that need complete bodies
MAX_STREAMED_BODY_BYTES = 64 << 20  # for frontends that stream them; bodies are specified as up to 32 MB
# The kernel's send buffer for a streamed answer: by default, slow reading shows only after seconds.
SEND_BUFFER_BYTES = 128 << 10
MAX_UNSENT_BYTES = 32 << 10  # of a streamed answer, in the transport's buffer
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER value that makes a close send a reset
ANY_PATH = b"*"  # key of the frontend for paths without their own


class Frontend(Protocol):
    """Handles the requests of one path: submits them to the pipeline or answers them."""

    max_body_bytes: int
    """The longest accepted body.  Bodies over MAX_BUFFERED_BODY_BYTES are streamed: `IncomingRequest.stream`
    is set."""

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Call `connection.submit` or `connection.respond` once, or raise `RequestError`."""


class RequestStage(Protocol):
    """A stage of the request pipeline, to which frontends submit requests: the node, or a stage before it."""

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        """Process a request; `caller` gets exactly one answer unless it disconnects."""

    def client_disconnected(self, request: str, caller: Caller) -> None:
        """The caller needs no answer to this request any more."""


class InnerStage(RequestStage, Protocol):
    """A pipeline stage as seen by the stage in front of it."""

    classes: dict[str, RequestClass]
    clock: Clock

    def started(self, request: str) -> bool:
        """Whether an attempt of the request was sent."""


class TerminalStage(InnerStage, Protocol):
    """The last pipeline stage: one node, or one node for each pool."""

    def can_serve(self) -> bool:
        """Whether at least one upstream serves."""

    def known(self, request: str) -> bool:
        """Whether the id is in flight or was used recently."""


class ConnectionServer(Protocol):
    """The server as its connections see it."""

    loop: asyncio.AbstractEventLoop
    node: TerminalStage
    stage: RequestStage
    frontends: Mapping[bytes, Frontend]
    single_headers: Collection[bytes]
    draining: bool
    flows: FlowWatch | None
    byte_budget: ByteBudget

    def connection_closed(self, connection: CallerConnection) -> None:
        """Called once the connection has ended."""

    def recently_paused(self) -> bool:
        """Whether the process was paused a moment ago."""

    def report_bad_request(self, error: RequestError) -> None:
        """Count and log a bad request."""


class CallerConnection(asyncio.BufferedProtocol):
    """One caller's connection.  Executes the commands of its state machine.

    Requests are served one at a time, in the order in which they arrive.
    """

    def __init__(self, server: ConnectionServer) -> None:
        self._server, self._clock = server, server.node.clock
        self._loop = server.loop
        self.machine = machine.CallerMachine(self._clock.now(), self._max_body_bytes, server.single_headers)
        self._transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # the transport's socket object does not allow MSG_PEEK
        self._on_caller_gone: Callable[[], None] | None = None  # set while an answer is owed
        self._streamed: _StreamedResponse | None = None  # the answer that is being streamed
        self._flow: FlowCounter | None = None  # if flows are observed
        self._flow_request: tuple[str, str, int] | None = None  # class, tenant and start of its request
        self._peer = self.network = ""
        self._queued_commands: list[machine.Command] = []
        self._busy = False

    # --- for the server

    def has_unread_bytes(self) -> bool:
        """Whether the kernel holds bytes that the event loop has not read yet."""
        if self.sock is None:
            return False
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # no bytes, or the connection has ended
            return False

    def closed_by_caller(self) -> bool:
        """Whether the caller has closed the connection and the event loop has not seen that yet.

        A process that resumes after a pause must not forward requests that were abandoned meanwhile.  Only
        then is the kernel queried, to save a system call for each request.
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
        """Close the connection; `at_once`: without sending buffered bytes."""
        self._execute_all(self.machine.close(self._clock.now(), at_once))

    def tick(self, now: int) -> None:
        """Check the connection's timeouts; to be called a few times a second."""
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
        return False  # a caller that closes its sending side has left

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

    # --- commands of the state machine

    def _execute_all(self, commands: list[machine.Command]) -> None:
        """Execute in order; commands caused by one of them run after the rest of this list."""
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
            on_gone, self._on_caller_gone = self._on_caller_gone, None
            streamed, self._streamed = self._streamed, None
            if on_gone is not None:
                on_gone()
            if streamed is not None:
                streamed.caller_gone()
        elif isinstance(command, machine.ReportBadRequest):
            self._server.report_bad_request(command.error)
        elif isinstance(command, machine.ContinueLater):
            self._loop.call_soon(self._resume_parsing)
        elif transport is None:
            return  # the remaining commands need an established connection
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
        """The reader of the request's body has room again."""
        self._execute_all(self.machine.set_body_paused(False, self._clock.now()))

    # --- requests

    def _dispatch(self, arrival: IncomingRequest) -> None:
        try:
            frontend = self._frontend_for(arrival.target)
            if frontend is None:
                raise RequestError(404, "path")
            frontend.begin(arrival, self)
        except RequestError as error:
            self._execute_all(self.machine.refuse(error, self._clock.now(), self._server.draining))

    def _frontend_for(self, target: bytes) -> Frontend | None:
        frontends = self._server.frontends
        return frontends.get(target.partition(b"?")[0]) or frontends.get(ANY_PATH)

    def _max_body_bytes(self, target: bytes) -> int:
        frontend = self._frontend_for(target)
        return frontend.max_body_bytes if frontend is not None else MAX_BUFFERED_BODY_BYTES

    def peer(self) -> str:
        """The caller's address without the port; may be empty after it has disconnected."""
        if not self._peer and self._transport is not None:
            address = self._transport.get_extra_info("peername")  # a system call each time
            self._peer = str(address[0]) if address else ""
        return self._peer

    def submit(self, request: Request, message: Message, caller: Caller | None = None) -> None:
        """Submit a request to the pipeline; `caller`, or else this connection, gets the answer."""
        recipient = caller or self
        if self._flow is not None:
            self._flow_request = (request.class_name, request.tenant, self._clock.now())
        self._on_caller_gone = partial(self._server.stage.client_disconnected, request.request, recipient)
        self._server.stage.submit(request, message, recipient)

    def expect_answer(self, on_gone: Callable[[], None]) -> None:
        """For frontends that process requests themselves: `answer` is to be called once.

        `on_gone` is called instead if the caller disconnects first.
        """
        self._on_caller_gone = on_gone

    # --- answers

    def answer(self, reply: Reply) -> None:
        """Send the answer to the present request of this connection."""
        self._on_caller_gone = None
        if self._flow_request is not None and self._flow is not None and self._server.flows is not None:
            (class_name, tenant, started_at), self._flow_request = self._flow_request, None
            self._server.flows.request(
                self._flow, class_name, tenant, reply.status, self._clock.now() - started_at
            )
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
        """Send a complete answer to the present request.  `extra_headers`: complete header lines."""
        draining = self._server.draining
        self._execute_all(
            self.machine.answer(
                self._clock.now(), status, body, content_type, retry_after_us, extra_headers, draining
            )
        )

    def _start_streaming(self, reply: Reply, stream: ResponseStream) -> None:
        """Send the start of a streamed answer."""
        transport, now = self._transport, self._clock.now()
        draining = self._server.draining
        commands = self.machine.begin_answer(
            now, stream.length, reply.content_type, reply.extra_headers, draining, reply.status
        )
        if not commands or transport is None or transport.is_closing():
            return
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._streamed = stream.sink = _StreamedResponse(self, stream, self._server.byte_budget)
        self._execute_all(commands)
        self._streamed.write(reply.body)

    def send_piece(self, data: bytes) -> int:
        """Write a piece of a streamed answer; returns the number of bytes in the transport's buffer."""
        if self._transport is None or self._transport.is_closing():
            return 0
        self._execute_all(self.machine.answer_piece(data))
        return self._transport.get_write_buffer_size()

    def finish_answer(self) -> None:
        """End a streamed answer after its last piece."""
        self._streamed = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.set_write_buffer_limits()
        self._execute_all(self.machine.end_answer(self._clock.now()))

    def cut_answer(self) -> None:
        """End a streamed answer that will not be complete, by closing the connection."""
        self._streamed = None
        self._execute_all(self.machine.abort_answer(self._clock.now()))


class _StreamedResponse:
    """A streamed answer on its way to the caller; its unsent bytes count in the byte budget."""

    def __init__(self, connection: CallerConnection, stream: ResponseStream, budget: ByteBudget) -> None:
        self._connection, self.stream, self._budget = connection, stream, budget
        self._held_bytes = 0

    def write(self, data: bytes) -> None:
        self._set_held_bytes(self._connection.send_piece(data))

    def finish(self) -> None:
        self._set_held_bytes(0)  # bytes still unsent are bounded by MAX_UNSENT_BYTES and one piece
        self._connection.finish_answer()

    def truncate(self) -> None:
        self._set_held_bytes(0)
        self._connection.cut_answer()

    def drained(self) -> None:
        """The caller has read all buffered bytes, or nearly all."""
        self._set_held_bytes(0)

    def caller_gone(self) -> None:
        """The caller has disconnected: stop reading the response."""
        self._set_held_bytes(0)
        self.stream.abandon()

    def _set_held_bytes(self, count: int) -> None:
        self._budget.acquire(count - self._held_bytes)
        self._held_bytes = count
