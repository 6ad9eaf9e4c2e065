"""Both hops of the mesh in this process, on loopback sockets; claims are granted by a script.

caller -> egress -> ingress -> upstream
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from peers import Caller, chunk
from test_bodies import BLOCK, Reader

from brackengate.http.body import ByteBudget
from brackengate.net.node import Clock
from brackengate.net.sockets import SocketBudget, bind
from brackengate.net.upstream import Pool
from brackengate.protocol.http_api import create_server
from brackengate.protocol.messages import CommandDone, HeldBy
from brackengate.proxy.admission import Admission, Heartbeat
from brackengate.proxy.answer_classification import classify_proxy_answer, classify_upstream_answer
from brackengate.proxy.egress import Egress
from brackengate.proxy.ingress import Ingress
from brackengate.proxy.request_log import RequestLog
from brackengate.proxy.routing_table import RoutingTable

LOCAL = "127.0.0.1"
MS, S = 1_000, 1_000_000
FORMS = {
    "length": lambda size: b"Content-Length: %d\r\n" % size,
    "chunks": lambda size: b"Transfer-Encoding: chunked\r\n",
    "close": lambda size: b"Connection: close\r\n",
}
Act = Callable[["Upstream", Reader, asyncio.StreamWriter], Awaitable[None]]


def head(reader: Reader, framing: bytes, status: int = 200, seal: bool = True) -> bytes:
    """The head of an answer to the request that was read."""
    lines = b"X-Brackengate-Attempt-Id: " + reader.headers["x-brackengate-attempt-id"].encode() + b"\r\n"
    lines += b"X-Brackengate-Server-Seal: seal\r\n" if seal else b""
    return b"HTTP/1.1 %d X\r\n%s%s\r\n" % (status, framing, lines)


async def body(writer: asyncio.StreamWriter, size: int, form: str) -> None:
    """Write a body of `size` bytes of `BLOCK`, over and over."""
    while size:
        block = BLOCK[: min(size, 1 << 18)]
        writer.write(chunk(block) if form == "chunks" else block)
        await writer.drain()
        size -= len(block)


def answers(size: int, form: str = "length", status: int = 200) -> Act:
    """Reads the request and answers with `size` bytes of `BLOCK`, over and over."""

    async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
        await reader.body()
        upstream.ran.append(reader)
        writer.write(head(reader, FORMS[form](size), status))
        await body(writer, size, form)
        if form == "chunks":
            writer.write(b"0\r\n\r\n")
        if form == "close":
            writer.close()

    return act


class Upstream:
    """A scripted upstream: `act` handles each request after its head; `ran` are the executed requests."""

    def __init__(self, act: Act) -> None:
        self.act = act
        self.ran: list[Reader] = []
        self.heads = 0
        self.ended: asyncio.Queue[None] = asyncio.Queue()  # one item for each closed connection

    async def start(self) -> Upstream:
        self.server = await asyncio.start_server(self._connected, LOCAL, 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _connected(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                reader = Reader(stream)
                await reader.head()
                self.heads += 1
                await self.act(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.ended.put_nowait(None)
            writer.close()


class Mesh:
    """A proxy beside the caller and one beside the upstream; each has its own budget for bodies."""

    def __init__(
        self, upstream: Upstream, max_body_bytes: int = 16 << 20, service: str = "p", upstream_id: str = "i-1"
    ) -> None:
        loop = asyncio.get_running_loop()
        self.clock, sockets = Clock(), SocketBudget(2000)
        self.egress_budget, self.ingress_budget = ByteBudget(max_body_bytes), ByteBudget(max_body_bytes)
        self.admission = Admission("z", 60 * S, 2 * S)
        self.service = service
        self.admission.receive_heartbeat(
            Heartbeat(upstream_id, service, "ready", 100, 0, 1), self.clock.now()
        )
        own = Pool(
            loop,
            sockets,
            5.0,
            9.0,
            self.ingress_budget,
            classify=classify_upstream_answer,
            stream_slow_responses=False,
        )
        peers = Pool(
            loop,
            sockets,
            5.0,
            9.0,
            self.ingress_budget,
            classify=classify_proxy_answer,
            settle_us=0,
            stream_slow_responses=False,
        )
        self.holder: Mesh | None = None  # the mesh whose proxy holds all claims
        self.ingress = Ingress(
            loop,
            self.clock,
            own,
            self.admission,
            "me",
            (LOCAL, upstream.port),
            60 * S,
            self._grant_claims,
            peers,
            self._address_of,
            "incarnation",
        )
        table = self.table = RoutingTable()
        self.current = True  # whether the caller's proxy has a current configuration
        rng, tries = random.Random(1), (0.2, 50.0)
        self.egress = Egress(
            loop,
            self.clock,
            sockets,
            table,
            service,
            self._address_of,
            rng,
            tries,
            RequestLog(),
            self.egress_budget,
            is_current=lambda: self.current,
        )
        frontends = ((self.ingress, self.ingress_budget), (self.egress, self.egress_budget))
        self.servers = [
            create_server(loop, self.clock, [bind((LOCAL, 0))], one, sockets, b) for one, b in frontends
        ]
        self.inbound, self.port = (server.start()[0] for server in self.servers)
        kinds = (("read", "idempotent"), ("buy", "effectful"), ("bid", "keyed"))
        rows = [_route(name, kind, service) for name, kind in kinds]
        instance = {"id": upstream_id, "plant": service, "zone": "z", "state": "ready", "capacity": 100}
        table.apply_snapshot(1, [*rows, ("inst", LOCAL, instance)])
        self.egress.apply_table_changes()

    def add_route(self, name: str, kind: str = "idempotent", prefix: str = "", **settings: Any) -> None:
        """`prefix`: by default the name.  `settings`: further ones of the route."""
        self.table.apply_changes(self.table.index + 1, [self.make_route(name, kind, prefix, **settings)])
        self.egress.apply_table_changes()
        self.egress.unrouted.recheck()

    def make_route(
        self, name: str, kind: str = "idempotent", prefix: str = "", **settings: Any
    ) -> tuple[str, str, Any]:
        """The row of such a route, under the host `h`."""
        return _route(name, kind, self.service, prefix, **settings)

    def _address_of(self, machine: str) -> tuple[str, int]:
        return LOCAL, self.holder.inbound if self.holder and machine == "other" else self.inbound

    def _grant_claims(self, what: Any, done: Callable[[Any], None], within_s: float) -> None:
        result = HeldBy("other", "x") if self.holder else CommandDone()
        asyncio.get_running_loop().call_soon(done, result)

    async def caller(self) -> Caller:
        return await Caller.to(self.port)

    def pending_count(self) -> int:
        return self.egress.pending_count() + len(self.ingress.requests)


_ROUTE = {"Cutoff": "20s", "Setpoint": "10s", "MaxAttempts": 2, "Revision": "r1"}


def _route(name: str, kind: str, service: str, prefix: str = "", **settings: Any) -> tuple[str, str, Any]:
    body = {**_ROUTE, "Plant": service, "PathPrefix": f"/{prefix or name}/", "SignalKind": kind, **settings}
    body["Name"] = name
    return "route", name, [1, "h", body]


def request_head(
    route: str, framing: bytes = b"Content-Length: 0\r\n", key: str = "", attempt: str = "t1"
) -> bytes:
    """A request's head."""
    lines = f"POST /{route}/x HTTP/1.1\r\nHost: h\r\nX-Brackengate-Attempt-Id: {attempt}\r\n"
    lines += "X-Brackengate-Deadline-Ms: 20000\r\n"
    lines += f"X-Brackengate-Operation-Key: {key}\r\n" if key else ""
    return lines.encode() + framing + b"\r\n"
