"""Both hops of the mesh in this process, on loopback sockets; the core that grants claims is a script.

caller -> way out -> gate -> upstream
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
    """Of an answer to what was read."""
    said = b"X-Brackengate-Attempt-Id: " + reader.headers["x-brackengate-attempt-id"].encode() + b"\r\n"
    said += b"X-Brackengate-Server-Seal: seal\r\n" if seal else b""
    return b"HTTP/1.1 %d X\r\n%s%s\r\n" % (status, framing, said)


async def body(writer: asyncio.StreamWriter, size: int, form: str) -> None:
    while size:
        block = BLOCK[: min(size, 1 << 18)]
        writer.write(chunk(block) if form == "chunks" else block)
        await writer.drain()
        size -= len(block)


def answers(size: int, form: str = "length", status: int = 200) -> Act:
    """Reads the request and gives that many bytes of `BLOCK`, over and over."""

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
    """`act` does what it does with a request whose head has come; `ran` is what it has executed."""

    def __init__(self, act: Act) -> None:
        self.act = act
        self.ran: list[Reader] = []
        self.heads = 0
        self.ended: asyncio.Queue[None] = asyncio.Queue()  # connections

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
    """One pilot beside the caller, one beside the upstream; bodies of each have a budget of their own."""

    def __init__(self, upstream: Upstream, max_body_bytes: int = 16 << 20) -> None:
        loop = asyncio.get_running_loop()
        self.clock, sockets = Clock(), SocketBudget(2000)
        self.egress_budget, self.ingress_budget = ByteBudget(max_body_bytes), ByteBudget(max_body_bytes)
        self.admission = Admission("z", 60 * S, 2 * S)
        self.admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 100, 0, 1), self.clock.now())
        own = Pool(loop, sockets, 5.0, 9.0, self.ingress_budget, judge=classify_upstream_answer, slow=False)
        peers = Pool(
            loop, sockets, 5.0, 9.0, self.ingress_budget, judge=classify_proxy_answer, settle=0, slow=False
        )
        self.holder: Mesh | None = None  # whose gate has all keys
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
            "life",
        )
        table = self.table = RoutingTable()
        self.current = True  # whether the proxy beside the caller can show that it is
        rng, tries = random.Random(1), (0.2, 50.0)
        self.egress = Egress(
            loop,
            self.clock,
            sockets,
            table,
            "p",
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
        rows = [_route(name, kind) for name, kind in kinds]
        instance = {"id": "i-1", "plant": "p", "zone": "z", "state": "ready", "capacity": 100}
        table.apply_snapshot(1, [*rows, ("inst", LOCAL, instance)])
        self.egress.apply_table_changes()

    def add_route(self, name: str) -> None:
        self.table.apply_changes(self.table.index + 1, [_route(name, "idempotent")])
        self.egress.apply_table_changes()
        self.egress.unrouted.recheck()

    def _address_of(self, machine: str) -> tuple[str, int]:
        return LOCAL, self.holder.inbound if self.holder and machine == "other" else self.inbound

    def _grant_claims(self, what: Any, done: Callable[[Any], None], within_s: float) -> None:
        said = HeldBy("other", "x") if self.holder else CommandDone()
        asyncio.get_running_loop().call_soon(done, said)

    async def caller(self) -> Caller:
        return await Caller.to(self.port)

    def pending_count(self) -> int:
        return self.egress.pending_count() + len(self.ingress.requests)


_ROUTE = {"Cutoff": "20s", "Setpoint": "10s", "Plant": "p", "MaxAttempts": 2, "Revision": "r1"}


def _route(name: str, kind: str) -> tuple[str, str, Any]:
    body = {**_ROUTE, "Name": name, "PathPrefix": f"/{name}/", "SignalKind": kind}
    return "route", name, [1, "h", body]


def request_head(
    route: str, framing: bytes = b"Content-Length: 0\r\n", key: str = "", attempt: str = "t1"
) -> bytes:
    """A request's head."""
    lines = f"POST /{route}/x HTTP/1.1\r\nHost: h\r\nX-Brackengate-Attempt-Id: {attempt}\r\n"
    lines += "X-Brackengate-Deadline-Ms: 20000\r\n"
    lines += f"X-Brackengate-Operation-Key: {key}\r\n" if key else ""
    return lines.encode() + framing + b"\r\n"
