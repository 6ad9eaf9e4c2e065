"""Scripted peers on loopback sockets: callers, upstreams, discovery and a scripted decision module."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import replace
from typing import Any

import uvloop

from brackengate import interface as api
from brackengate.balancer import Balancer
from brackengate.http.body import ByteBudget
from brackengate.net.connection_admission import ConnectionAdmission
from brackengate.net.http import Frontend, RequestStage
from brackengate.net.node import Clock, Node
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget, bind
from brackengate.net.upstream import Pool

SAFE = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.REPEATABLE)
ONCE = api.RequestClass("buy", 500_000, 1_000_000, api.Idempotency.UNSAFE)
KEYED = api.RequestClass("bid", 500_000, 1_000_000, api.Idempotency.KEYED, api.KeyScope.ALL, 4_000_000)
SETTINGS = api.Settings(classes=(SAFE, ONCE, KEYED), max_attempts=4, max_retry_after=2_000_000)
LIMIT_S = 90.0  # far above what any test takes, also on a loaded machine


def run(coroutine: Coroutine[Any, Any, None], limit_s: float = LIMIT_S) -> None:
    async def limited() -> None:
        await asyncio.wait_for(coroutine, limit_s)

    uvloop.run(limited())


def answer(status: int = 200, body: bytes = b"done", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection, as a crashing process does."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One HTTP message: its first line, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:-2])}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0], headers, body


Script = Callable[[tuple[str, dict[str, str], bytes], asyncio.StreamWriter], Awaitable[None]]


class Peer:
    """A server that handles each request with `script`."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.connections = 0
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.got: asyncio.Queue[tuple[str, dict[str, str], bytes]] = asyncio.Queue()
        self.closed: asyncio.Queue[int] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.writers.append(writer)
        try:
            while True:
                message = await read_message(reader)
                self.requests.append(message)
                self.got.put_nowait(message)
                await self.script(message, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.closed.put_nowait(number)
            writer.close()


def replies(data: bytes) -> Script:
    async def script(_: object, writer: asyncio.StreamWriter) -> None:
        writer.write(data)

    return script


async def silent(_: object, writer: asyncio.StreamWriter) -> None:
    pass


class Module:
    """A scripted decision module: `act` returns the actions for an event; all events are recorded."""

    def __init__(self, act: Callable[[api.Event], list[api.Action]]) -> None:
        self.act = act
        self.events: list[api.Event] = []
        self.seen: asyncio.Queue[api.Event] = asyncio.Queue()
        self.inside = False

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        assert not self.inside, "entered a second time"
        self.now = now
        self.events.append(event)
        self.seen.put_nowait(event)
        return self.act(event)

    async def next(self, kind: type[Any]) -> Any:
        while True:
            event = await self.seen.get()
            if isinstance(event, kind):
                return event


class Bench:
    """A balancer in this process, listening on a port chosen by the kernel."""

    def __init__(
        self,
        module: Module | None = None,
        settings: api.Settings = SETTINGS,
        sockets: int = 100,
        connect_timeout_s: float = 0.3,
        idle_close_s: float = 60.0,
        max_callers: int = 1000,
        frontends: Callable[[Node], dict[bytes, Frontend]] = lambda node: {},
        stage: Callable[[Node], RequestStage] | None = None,
        admission: ConnectionAdmission | None = None,
        byte_limit: int = 16 << 20,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.clock = Clock()
        self.budget = SocketBudget(sockets)
        self.byte_budget = ByteBudget(byte_limit)
        self.pool = Pool(loop, self.budget, connect_timeout_s, idle_close_s, self.byte_budget)
        chosen = module if module is not None else Balancer(settings, 1)
        self.node = Node(loop, self.clock, settings, chosen, self.pool)
        self.server = Server(
            loop,
            self.node,
            self.budget,
            [bind(("127.0.0.1", 0))],
            max_callers,
            frontends(self.node),
            stage(self.node) if stage else None,
            admission,
            byte_budget=self.byte_budget,
        )
        self.port = self.server.start()[0]

    def list(self, *ports: int, kind: api.ListKind = api.ListKind.FULL, **fields: Any) -> None:
        rows = [(api.Endpoint(f"u{i}", **fields), ("127.0.0.1", port)) for i, port in enumerate(ports)]
        self.node.update_upstreams(kind, rows)

    async def caller(self) -> Caller:
        return await Caller.to(self.port)


class Caller:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    async def to(port: int) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", port))

    def send(
        self, txn: str = "a1", lane: str = "read", ms: object = 1000, body: bytes = b"", **more: str
    ) -> None:
        self.writer.write(request(txn, lane, ms, body, **more))

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        line, headers, body = await read_message(self.reader)
        return int(line.split(" ")[1]), headers, body

    async def ask(self, *args: Any, **kwargs: Any) -> tuple[int, dict[str, str], bytes]:
        self.send(*args, **kwargs)
        return await self.read()

    async def closed(self) -> bool:
        """Whether the connection was closed or reset."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    async def ended(self) -> bool:
        """Whether the connection was closed without further bytes."""
        return await self.reader.read() == b""


def request(txn: str, lane: str = "read", ms: object = 1000, body: bytes = b"", **more: str) -> bytes:
    method = "POST" if lane in ("buy", "bid") else "GET"
    lines = [f"{method} /api?x=1 HTTP/1.1", "Host: app.svc", f"X-Txn: {txn}", f"X-Lane: {lane}"]
    lines += [
        f"X-Remaining-Ms: {ms}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in more.items()),
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def send_once(upstream: str = "u0", until: Callable[[int], int] = lambda now: 0) -> Module:
    """A module that sends each request once, and fails it if the attempt does not succeed."""

    def act(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return [api.Send(event.request, upstream, until(module.now))]
        if isinstance(event, api.AttemptEnded) and not event.request_ended:
            return [api.Fail(event.request)]
        return []

    module = Module(act)
    return module


def settings(**fields: Any) -> api.Settings:
    return replace(SETTINGS, **fields)


def watch_line(index: int, *rows: dict[str, Any], snapshot: bool = False) -> bytes:
    line = json.dumps({"index": index, "snapshot": snapshot, "endpoints": list(rows)}).encode() + b"\n"
    return chunk(line)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def row(name: str, port: int, **fields: Any) -> dict[str, Any]:
    base = {"name": name, "address": f"127.0.0.1:{port}", "zone": "a", "type": "m", "group": 3}
    return {**base, "status": "ready", "weight": 1.0, "since_ms": 0, **fields}


WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
