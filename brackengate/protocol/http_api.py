"""The HTTP interface for clients outside the mesh, on this program's own HTTP server: listening, paths
and bodies."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import parse_qs

from brackengate.http.body import ByteBudget
from brackengate.http.message import IncomingRequest, RequestError
from brackengate.interface import Request, RequestClass
from brackengate.net.http import ANY_PATH, CallerConnection, Frontend
from brackengate.net.node import Caller, Clock, Message
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget

SINGLE_VALUE_HEADERS = frozenset(
    b"content-length transfer-encoding host expect x-brackengate-attempt-id x-brackengate-deadline-ms"
    b" x-brackengate-operation-key x-brackengate-caller-service x-brackengate-target-instance".split()
)
MAX_BODY_BYTES = 64 << 20


class NoCore:
    """Request handler of a server whose frontends answer every request themselves: it handles none."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.classes: dict[str, RequestClass] = {}

    def can_serve(self) -> bool:
        return True

    def known(self, request: str) -> bool:
        return False

    def started(self, request: str) -> bool:
        return False

    def submit(self, request: Request, message: Message, caller: Caller) -> None:
        raise NotImplementedError

    def client_disconnected(self, request: str, caller: Caller) -> None:
        raise NotImplementedError


def create_server(
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    sockets: Sequence[socket.socket],
    front: Frontend,
    budget: SocketBudget | None = None,
    bytes_: ByteBudget | None = None,
) -> Server:
    """A server that passes every path to one frontend.  `bytes_` limits the bytes of chunked bodies."""
    fronts: Mapping[bytes, Frontend] = {ANY_PATH: front}
    budget = budget or SocketBudget(512)
    return Server(
        loop,
        NoCore(clock),
        budget,
        sockets,
        frontends=fronts,
        byte_budget=bytes_,
        single_headers=SINGLE_VALUE_HEADERS,
        without_default_frontends=True,
    )


def parse_rpc_target(target: bytes) -> tuple[str, str]:
    """The `call` and `of` parameters of a `/v1/rpc` target; empty if the path is another one."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != "/v1/rpc":
        return "", ""
    fields = parse_qs(query)
    return fields.get("call", [""])[0], fields.get("of", [""])[0]


def collect_body(arrival: IncomingRequest, done: Callable[[bytes], None]) -> None:
    """Calls `done` with the complete body of a request, also if it is streamed."""
    stream = arrival.stream
    if stream is None:
        done(arrival.body)
        return
    pieces: list[bytes] = []

    def wake() -> None:
        while (piece := stream.take()) is not None:
            pieces.append(piece)
        if stream.fully_taken:
            stream.close()
            stream.truncate()
            done(b"".join(pieces))

    if not stream.open(wake):
        raise RequestError(400, "the body is gone")
    wake()


class Readiness:
    """Frontend of the readiness check: 200 if clients may be accepted, else 503."""

    max_body_bytes = 1 << 10

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        connection.respond(200 if self._ready() else 503, b"", b"text/plain")
