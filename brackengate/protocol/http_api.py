"""HTTP towards those who are not of the system, on the present program's own server: listening, paths,
bodies."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import parse_qs

from brackengate.http.body import ByteBudget
from brackengate.http.message import Arrival, Bad
from brackengate.interface import Request, RequestClass
from brackengate.net.http import ANY, CallerConnection, Front
from brackengate.net.node import Caller, Clock, Message
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget

SINGLE_VALUE_HEADERS = frozenset(
    b"content-length transfer-encoding host expect x-brackengate-attempt-id x-brackengate-deadline-ms"
    b" x-brackengate-operation-key x-brackengate-caller-service x-brackengate-target-instance".split()
)
MAX_BODY_BYTES = 64 << 20


class NoCore:
    """What stands behind a server whose fronts answer by themselves."""

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

    def gone(self, request: str, caller: Caller) -> None:
        raise NotImplementedError


def create_server(
    loop: asyncio.AbstractEventLoop,
    clock: Clock,
    sockets: Sequence[socket.socket],
    front: Front,
    budget: SocketBudget | None = None,
    bytes_: ByteBudget | None = None,
) -> Server:
    """A server whose every path is one front's.  `bytes_`: what its bodies in pieces may hold."""
    fronts: Mapping[bytes, Front] = {ANY: front}
    budget = budget or SocketBudget(512)
    return Server(
        loop,
        NoCore(clock),
        budget,
        sockets,
        fronts=fronts,
        bytes_=bytes_,
        once=SINGLE_VALUE_HEADERS,
        bare=True,
    )


def parse_rpc_target(target: bytes) -> tuple[str, str]:
    """The call of an rpc target, and what it is of; empty where the path is another one."""
    path, _, query = target.decode("latin-1").partition("?")
    if path != "/v1/rpc":
        return "", ""
    fields = parse_qs(query)
    return fields.get("call", [""])[0], fields.get("of", [""])[0]


def collect_body(arrival: Arrival, done: Callable[[bytes], None]) -> None:
    """The whole body of a request, also of one that comes in pieces."""
    stream = arrival.stream
    if stream is None:
        done(arrival.body)
        return
    pieces: list[bytes] = []

    def wake() -> None:
        while (piece := stream.take()) is not None:
            pieces.append(piece)
        if stream.over:
            stream.close()
            stream.cut_off()
            done(b"".join(pieces))

    if not stream.open(wake):
        raise Bad(400, "the body is gone")
    wake()


class Readiness:
    """Answers whether clients may come."""

    most_body = 1 << 10

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        connection.respond(200 if self._ready() else 503, b"", b"text/plain")
