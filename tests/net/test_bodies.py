"""Long bodies over loopback sockets: all framings, slow and broken peers, and what the upstream executed."""

from __future__ import annotations

import asyncio
import hashlib
import os
import socket
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import Bench, Caller, Module, Peer, answer, chunk, replies, request, reset, run

from brackengate import interface as api
from brackengate.http import caller as caller_module
from brackengate.http import upstream as upstream_machine
from brackengate.http.body import MAX_UNSTREAMED_BYTES, MIN_SHARE_BYTES
from brackengate.net import http as http_module
from brackengate.net import upstream as upstream_module
from brackengate.net.metrics import RequestMetrics, ResultKind
from brackengate.net.sockets import READ_BYTES

LONG = 32 << 20
BLOCK = os.urandom(1 << 20)
HEAD = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: a1\r\nX-Lane: %s\r\nX-Remaining-Ms: 1000\r\n"


def head(length: int | None, lane: str = "buy", extra: bytes = b"") -> bytes:
    framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    key = b"Idempotency-Key: k1\r\n" if lane == "bid" else b""
    return HEAD % lane.encode() + key + framing + b"\r\n" + extra + b"\r\n"


class Reader:
    """Reads one message from a stream and removes its framing: digest and size of its body."""

    def __init__(self, stream: asyncio.StreamReader) -> None:
        self.stream = stream
        self.digest, self.size = hashlib.sha256(), 0
        self.headers: dict[str, str] = {}
        self.first = ""

    async def head(self) -> None:
        lines = (await self.stream.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        self.first = lines[0]
        pairs = (line.partition(":") for line in lines[1:-2])
        self.headers = {name.lower(): value.strip() for name, _, value in pairs}

    async def body(self, max_bytes: int | None = None) -> None:
        """All of it, or its first `max_bytes` bytes."""
        if self.headers.get("transfer-encoding") == "chunked":
            while size := int((await self.stream.readline()).split(b";")[0], 16):
                await self._take(size)
                await self.stream.readexactly(2)
                if max_bytes is not None and self.size >= max_bytes:
                    return
            assert await self.stream.readline() == b"\r\n"
        elif "content-length" in self.headers:
            left = int(self.headers["content-length"])
            await self._take(left if max_bytes is None else min(left, max_bytes))
        elif self.headers.get("connection") == "close":
            while data := await self.stream.read(1 << 16):
                self._add(data)

    async def _take(self, left: int) -> None:
        while left:
            data = await self.stream.read(min(left, 1 << 16))
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            self._add(data)
            left -= len(data)

    def _add(self, data: bytes) -> None:
        self.digest.update(data)
        self.size += len(data)


Act = Callable[["Upstream", Reader, asyncio.StreamWriter], Awaitable[None]]


async def execute(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
    await reader.body()
    upstream.executed.append(reader)
    writer.write(answer(200, b"done"))


class Upstream:
    """An upstream; `act` handles a request after its head was read, `executed` lists those executed."""

    def __init__(self, act: Act = execute) -> None:
        self.act = act
        self.executed: list[Reader] = []
        self.seen: asyncio.Queue[Reader] = asyncio.Queue()
        self.ended: asyncio.Queue[None] = asyncio.Queue()

    async def start(self) -> Upstream:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port: int = self.server.sockets[0].getsockname()[1]
        return self

    async def _connected(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                reader = Reader(stream)
                await reader.head()
                self.seen.put_nowait(reader)
                await self.act(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.ended.put_nowait(None)
            writer.close()


async def send(writer: asyncio.StreamWriter, length: int) -> bytes:
    """Send `length` bytes; returns their digest."""
    digest = hashlib.sha256()
    while length:
        block = BLOCK[: min(length, len(BLOCK))]
        digest.update(block)
        writer.write(block)
        await writer.drain()
        length -= len(block)
    return digest.digest()


async def received(caller: Caller, max_bytes: int | None = None) -> Reader:
    reader = Reader(caller.reader)
    await reader.head()
    await reader.body(max_bytes)
    return reader


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.001)


def test_a_body_of_32_mb_arrives_as_it_was_sent_and_runs_once() -> None:
    async def main() -> None:
        upstream = await Upstream().start()
        bench = Bench()
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.writer.write(head(LONG, extra=b"Expect: 100-continue\r\n"))
        assert await caller.reader.readline() == b"HTTP/1.1 100 Continue\r\n"
        assert await caller.reader.readline() == b"\r\n"
        digest = await send(caller.writer, LONG)
        assert (await caller.read())[::2] == (200, b"done")
        executed = upstream.executed
        assert [(r.size, r.digest.digest(), r.headers["content-length"]) for r in executed] == [
            (LONG, digest, str(LONG))
        ]
        assert "expect" not in executed[0].headers
        assert bench.byte_budget.in_use == 0 and bench.byte_budget.peak <= bench.byte_budget.limit
        assert (await caller.ask("a2"))[0] == 200  # the connection is still good

    run(main())


def test_a_chunked_body_with_extensions_and_trailers_is_forwarded_in_chunks() -> None:
    async def main() -> None:
        upstream = await Upstream().start()
        bench = Bench()
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.writer.write(head(None, extra=b"Trailer: X-Sum\r\n"))
        digest, size = hashlib.sha256(), 0
        for number in range(300):
            data = BLOCK[number : number + 7001]
            digest.update(data)
            size += len(data)
            caller.writer.write(b'%x;name=%d;q="a"\r\n%s\r\n' % (len(data), number, data))
            await caller.writer.drain()
        caller.writer.write(b"0;last\r\nX-Sum: 1\r\nX-Lane: none\r\n\r\n")
        assert (await caller.read())[0] == 200
        (executed,) = upstream.executed
        assert (executed.size, executed.digest.digest()) == (size, digest.digest())
        assert executed.headers["transfer-encoding"] == "chunked" and "content-length" not in executed.headers
        assert bench.byte_budget.in_use == 0

    run(main())


@pytest.mark.parametrize("form", ["length", "chunks", "close"])
def test_a_long_response_is_streamed(form: str) -> None:
    """The caller has the first bytes while the upstream has not sent the rest."""

    async def main() -> None:
        on = asyncio.Event()
        framing = {"length": b"Content-Length: %d" % (4 << 20), "chunks": b"Transfer-Encoding: chunked"}

        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            upstream.executed.append(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + framing.get(form, b"Connection: close") + b"\r\n\r\n")
            for number in range(4):
                writer.write(chunk(BLOCK) if form == "chunks" else BLOCK)
                await writer.drain()
                if number == 0:
                    await on.wait()
            if form == "chunks":
                writer.write(b"0\r\n\r\n")
            if form == "close":
                writer.close()

        upstream = await Upstream(act).start()
        bench = Bench()
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.send()
        reader = Reader(caller.reader)
        await reader.head()
        assert reader.first == "HTTP/1.1 200 OK"
        first = await caller.reader.readexactly(1000)
        caller.reader._buffer[:0] = first  # type: ignore[attr-defined]
        on.set()
        await reader.body()
        assert (reader.size, reader.digest.digest()) == (4 << 20, hashlib.sha256(BLOCK * 4).digest())
        assert len(upstream.executed) == 1
        await until(lambda: bench.node.unfinished_count() == 0)
        assert bench.byte_budget.in_use == 0
        assert (await caller.ask("a2", lane="none"))[0] == 400  # the connection is still good

    run(main())


def test_a_second_long_response_uses_the_same_connections() -> None:
    """A reader that was slow until the end must not leave the upstream's connection paused."""

    async def main() -> None:
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (8 << 20) + BLOCK * 8
        upstream = await Peer(replies(data)).start()
        bench = Bench()
        bench.list(upstream.port)
        caller = await bench.caller()
        for number in range(3):
            caller.send(f"a{number}")
            reader = Reader(caller.reader)
            await reader.head()
            while bench.node.unfinished_count():  # until all of it is between the balancer and the caller
                if reader.size < (8 << 20) - http_module.MAX_UNSENT_BYTES:  # the kernel takes the rest
                    await reader._take(1 << 14)
                else:
                    await asyncio.sleep(0.001)
            await reader._take((8 << 20) - reader.size)
            await asyncio.sleep(0.01)  # longer than a used connection takes to settle
        assert upstream.connections == 1

    run(main())


def test_an_http_1_0_caller_gets_a_chunked_response_until_the_close() -> None:
    async def main() -> None:
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(BLOCK) + b"0\r\n\r\n"
        upstream = await Peer(replies(data)).start()
        bench = Bench()
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.writer.write(request("a1").replace(b"HTTP/1.1", b"HTTP/1.0"))
        reader = await received(caller)
        assert "transfer-encoding" not in reader.headers
        assert (reader.size, reader.digest.digest()) == (len(BLOCK), hashlib.sha256(BLOCK).digest())

    run(main())


@pytest.mark.parametrize("lane", ["buy", "bid"])
@pytest.mark.parametrize("length", [200_000, LONG])
def test_an_upload_interrupted_by_its_upstream_was_not_executed(lane: str, length: int) -> None:
    """It is retried while its pieces are held, else refused; the other upstream executes it once or never."""

    async def main() -> None:
        async def dies(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            await reader.body(min(length // 4, 1 << 20))
            reset(writer)
            raise ConnectionResetError

        broken, sound = await Upstream(dies).start(), await Upstream().start()

        def act(event: api.Event) -> list[api.Action]:
            """First u0, then u1 if possible."""
            if isinstance(event, api.Request):
                return [api.Send(event.request, "u0", 0)]
            if isinstance(event, api.AttemptEnded) and not event.request_ended:
                assert event.outcome is api.Outcome.CONNECT_FAILED
                if event.body_replayable:
                    return [api.Send(event.request, "u1", 0)]
                return [api.Refuse(event.request)]
            return []

        bench = Bench(Module(act), byte_limit=2 << 20)  # a share of 256 KiB: delivered at half of that
        bench.list(broken.port, sound.port)
        caller = await bench.caller()
        caller.writer.write(head(length, lane))
        if length == LONG:
            sending = asyncio.create_task(send(caller.writer, length))
        else:
            await send(caller.writer, 150_000)
            await broken.ended.get()
            await send(caller.writer, 50_000)
        status, headers, _ = await caller.read()
        if length == LONG:
            assert (status, headers["connection"], len(sound.executed)) == (503, "close", 0)
            sending.cancel()
            caller.writer.close()
        else:
            assert (status, len(sound.executed)) == (200, 1)
            want = hashlib.sha256(BLOCK[:150_000] + BLOCK[:50_000])
            assert sound.executed[0].digest.digest() == want.digest()
        assert broken.executed == []
        await until(lambda: bench.byte_budget.in_use == 0 and bench.node.unfinished_count() == 0)

    run(main())


def test_the_balancer_retries_a_held_body_and_refuses_one_that_was_released() -> None:
    """The same with the real module: an unsafe request is served once, or refused and never executed."""

    async def main() -> None:
        deaths = [1]

        async def dies_once(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            if deaths:
                deaths.pop()
                await reader.body(50_000)
                reset(writer)
                raise ConnectionResetError
            await execute(upstream, reader, writer)

        upstream = await Upstream(dies_once).start()
        bench = Bench(byte_limit=2 << 20)
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.writer.write(head(200_000))
        await send(caller.writer, 150_000)
        await upstream.ended.get()
        await send(caller.writer, 50_000)
        assert ((await caller.read())[0], len(upstream.executed)) == (200, 1)
        deaths.append(1)
        caller.writer.write(head(LONG).replace(b"a1", b"a2"))
        sending = asyncio.create_task(send(caller.writer, LONG))
        assert ((await caller.read())[0], len(upstream.executed)) == (503, 1)
        sending.cancel()

    run(main())


@pytest.mark.parametrize(("lane", "status", "runs"), [("buy", 502, 1), ("bid", 200, 2), ("read", 200, 2)])
def test_an_upstream_that_breaks_after_the_last_byte_may_have_executed(
    lane: str, status: int, runs: int
) -> None:
    async def main() -> None:
        async def dies_once(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            await reader.body()
            upstream.executed.append(reader)
            if len(upstream.executed) == 1:
                reset(writer)
                raise ConnectionResetError
            writer.write(answer())

        upstream = await Upstream(dies_once).start()
        bench = Bench()
        bench.list(upstream.port)
        caller = await bench.caller()
        if lane == "read":
            caller.send()
        else:
            caller.writer.write(head(300_000, lane))
            await send(caller.writer, 300_000)
        assert (await caller.read())[0] == status
        assert len(upstream.executed) == runs
        assert len({executed.digest.digest() for executed in upstream.executed}) == 1

    run(main())


@pytest.mark.parametrize(
    "form", [b"Content-Length: 4000000", b"Transfer-Encoding: chunked", b"Connection: close"]
)
def test_a_response_that_breaks_midway_is_truncated_and_not_retried(form: bytes) -> None:
    async def main() -> None:
        async def dies(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            await reader.body()
            upstream.executed.append(reader)
            writer.write(b"HTTP/1.1 200 OK\r\n" + form + b"\r\n\r\n")
            writer.write(chunk(BLOCK) if b"chunked" in form else BLOCK)
            await writer.drain()
            await asyncio.sleep(0.05)  # so that the reset does not discard the bytes before it
            reset(writer)
            raise ConnectionResetError

        upstream = await Upstream(dies).start()
        bench = Bench()
        bench.list(upstream.port, upstream.port)
        caller = await bench.caller()
        caller.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError, ValueError)):
            await received(caller)
        assert len(upstream.executed) == 1
        await until(lambda: bench.byte_budget.in_use == 0 and bench.node.unfinished_count() == 0)

    run(main())


def test_a_caller_that_disconnects_during_either_body_ends_the_attempt() -> None:
    async def main() -> None:
        async def gives(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            await reader.body()
            upstream.executed.append(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG)
            await send(writer, LONG)

        upstream = await Upstream(gives).start()
        bench = Bench(byte_limit=1 << 20)
        bench.list(upstream.port)
        up = await bench.caller()
        up.writer.write(head(LONG))
        await send(up.writer, 4 << 20)
        await upstream.seen.get()
        reset(up.writer)
        await upstream.ended.get()
        assert upstream.executed == []
        down = await bench.caller()
        down.send("a2")
        await received(down, 1 << 20)
        reset(down.writer)
        await upstream.ended.get()
        await until(lambda: bench.byte_budget.in_use == 0 and bench.node.unfinished_count() == 0)

    run(main())


def test_a_caller_that_stops_reading_is_disconnected_and_holds_little_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_module, "STALL_TIMEOUT_US", 300_000)

    async def main() -> None:
        async def gives(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG)
            await send(writer, LONG)

        upstream = await Upstream(gives).start()
        bench = Bench()
        bench.list(upstream.port)
        stuck = socket.create_connection(("127.0.0.1", bench.port))
        stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        stuck.sendall(request("a1"))
        await upstream.ended.get()  # the balancer closed the connection
        assert bench.byte_budget.peak <= http_module.MAX_UNSENT_BYTES + 2 * READ_BYTES
        await until(lambda: bench.byte_budget.in_use == 0 and bench.server.connections() == 0)
        stuck.close()

    run(main())


def test_an_upstream_that_stalls_in_its_response_is_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_machine, "STALL_TIMEOUT_US", 200_000)
    monkeypatch.setattr(upstream_module, "SWEEP_INTERVAL_S", 0.05)

    async def main() -> None:
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" + BLOCK
        upstream = await Peer(replies(data)).start()
        bench = Bench()
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await received(caller)

    run(main())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (head(100_000, extra=b"Transfer-Encoding: chunked\r\n"), 400),
        (head(100_000, extra=b"Content-Length: 100001\r\n"), 400),
        (head(100_000, extra=b"Content-Length: 100000\r\n"), 400),
        (head(http_module.MAX_STREAMED_BODY_BYTES + 1), 413),
        (head(None) + chunk(b"x" * 100_000) + b"zz\r\n", 400),
        (head(None) + chunk(b"x" * 100_000) + b"5\r\nabcdefgh\r\n", 400),
        (head(None) + chunk(b"x" * 100_000) + b"0\r\nX: " + b"y" * 100_000, 431),
    ],
)
def test_invalid_framing_is_rejected_and_not_executed(data: bytes, status: int) -> None:
    async def main() -> None:
        upstream = await Upstream().start()
        bench = Bench(byte_limit=1)  # each is delivered while its body is still received
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.writer.write(data)
        got, headers, _ = await caller.read()
        assert (got, headers["connection"]) == (status, "close")
        assert upstream.executed == []
        await until(lambda: bench.byte_budget.in_use == 0 and bench.node.unfinished_count() == 0)
        assert (await (await bench.caller()).ask("a2"))[0] == 200

    run(main())


def test_a_content_length_that_is_too_long_or_too_short() -> None:
    """Too long: it ends with its connection and is not executed.  Too short: the surplus is no request."""

    async def main() -> None:
        upstream = await Upstream().start()
        bench = Bench()
        bench.list(upstream.port)
        longer = await bench.caller()
        longer.writer.write(head(200_000))
        await send(longer.writer, 199_999)
        longer.writer.write_eof()
        assert await longer.ended()
        assert upstream.executed == []
        shorter = await bench.caller()
        shorter.writer.write(head(200_000).replace(b"a1", b"a2"))
        await send(shorter.writer, 200_000)
        shorter.writer.write(b"\x00surplus")
        assert (await shorter.read())[0] == 200
        assert (await shorter.read())[0] == 400
        assert await shorter.ended()
        assert [executed.size for executed in upstream.executed] == [200_000]

    run(main())


def test_a_long_body_behind_another_request_waits_for_its_turn() -> None:
    async def main() -> None:
        go = asyncio.Event()

        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            if reader.headers["x-txn"] == "first":
                await go.wait()
            await execute(upstream, reader, writer)

        upstream = await Upstream(act).start()
        bench = Bench(byte_limit=1)
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.send("first", ms=1000)
        caller.writer.write(head(300_000))
        sending = asyncio.create_task(send(caller.writer, 300_000))
        await upstream.seen.get()
        held = next(iter(bench.server._connections)).machine
        await until(
            lambda: held.buffered_bytes() > caller_module.MAX_READ_AHEAD_BYTES
        )  # it is unread, and reading is paused
        assert (
            held.buffered_bytes() <= caller_module.MAX_READ_AHEAD_BYTES + READ_BYTES
            and bench.byte_budget.in_use == 0
        )
        go.set()
        assert (await caller.read())[0] == 200
        assert (await caller.read())[0] == 200
        assert upstream.executed[1].digest.digest() == await sending
        assert [executed.size for executed in upstream.executed] == [0, 300_000]

    run(main())


@pytest.mark.alone
def test_fifty_bodies_of_32_mb_stay_within_the_budget_and_small_requests_pass() -> None:
    """The upstream reads none of them for now; small requests beside them are answered."""

    async def main() -> None:
        go = asyncio.Event()

        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            if (
                "content-length" in reader.headers
                and int(reader.headers["content-length"]) > MAX_UNSTREAMED_BYTES
            ):
                await go.wait()
            await execute(upstream, reader, writer)

        upstream = await Upstream(act).start()
        limit = 8 << 20
        everywhere = Module(
            lambda event: [api.Send(event.request, "u0", 0)] if isinstance(event, api.Request) else []
        )
        bench = Bench(everywhere, sockets=200, byte_limit=limit)
        bench.list(upstream.port)
        callers = [await bench.caller() for _ in range(50)]
        sending = []
        for number, caller in enumerate(callers):
            caller.writer.write(head(LONG).replace(b"a1", b"long%d" % number))
            sending.append(asyncio.create_task(send(caller.writer, LONG)))
        for _ in range(50):
            await upstream.seen.get()  # each is in transfer
        small = await bench.caller()
        for number in range(20):
            assert (await small.ask(f"small{number}"))[0] == 200
        assert bench.byte_budget.peak <= limit + 50 * (MIN_SHARE_BYTES + 2 * READ_BYTES)
        assert bench.byte_budget.in_use <= limit + 50 * (MIN_SHARE_BYTES + 2 * READ_BYTES)
        for task, caller in zip(sending[3:], callers[3:], strict=True):
            task.cancel()
            reset(caller.writer)
        go.set()
        for task, caller in zip(sending[:3], callers[:3], strict=True):
            assert (await caller.read())[0] == 200
            await task
        await until(lambda: bench.byte_budget.in_use == 0 and bench.node.unfinished_count() == 0)
        assert sum(executed.size == LONG for executed in upstream.executed) == 3

    run(main())


@settings(max_examples=12, deadline=None)
@given(
    st.lists(st.integers(1, 50_000), min_size=1, max_size=8),
    st.lists(st.integers(1, 40_000), min_size=1, max_size=12),
    st.booleans(),
)
def test_splitting_a_body_changes_neither_its_bytes_nor_the_result(
    chunks: list[int], cuts: list[int], chunked: bool
) -> None:
    """The same request in one piece and in arbitrary pieces: the upstream receives the same bytes."""
    body = b"".join(BLOCK[n : n + size] for n, size in enumerate(chunks))
    parts = b"".join(chunk(BLOCK[n : n + size]) for n, size in enumerate(chunks)) + b"0\r\n\r\n"
    data = head(None) + parts if chunked else head(len(body)) + body

    async def main() -> None:
        upstream = await Upstream().start()
        bench = Bench()
        bench.list(upstream.port)
        in_one = await bench.caller()
        in_one.writer.write(data)
        first = await in_one.read()
        in_pieces, at = await bench.caller(), 0
        rest = data.replace(b"a1", b"a2", 1)
        for cut in [*cuts, len(rest)]:
            in_pieces.writer.write(rest[at : at + cut])
            at += cut
            await asyncio.sleep(0)
        assert await in_pieces.read() == first
        want = hashlib.sha256(body).digest()
        assert [executed.digest.digest() for executed in upstream.executed] == [want, want]
        upstream.server.close()

    run(main())


def test_metrics_after_long_bodies_that_failed() -> None:
    """A truncated answer counts as failed, a refused upload as busy, a disconnected caller as nothing."""

    async def main() -> None:
        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            if reader.headers["x-txn"] == "refused":
                await reader.body(1000)
                reset(writer)
                raise ConnectionResetError
            await reader.body()
            upstream.executed.append(reader)
            size = LONG if reader.headers["x-txn"] == "leaves" else 4 << 20  # more than the kernels buffer
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            writer.write(BLOCK)
            if reader.headers["x-txn"] == "cut":
                await writer.drain()
                await asyncio.sleep(0.05)
                reset(writer)
                raise ConnectionResetError
            await send(writer, size - len(BLOCK))

        upstream = await Upstream(act).start()
        bench = Bench(byte_limit=1)
        figures = bench.node.observer = RequestMetrics()
        bench.list(upstream.port)
        good = await bench.caller()
        good.send("good")
        assert (await received(good)).size == 4 << 20
        cut = await bench.caller()
        cut.send("cut")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
            await received(cut)
        leaver = await bench.caller()
        leaver.send("leaves")
        await received(leaver, 1 << 20)
        reset(leaver.writer)
        halfway = await bench.caller()
        halfway.writer.write(head(LONG).replace(b"a1", b"halfway"))
        await send(halfway.writer, 1 << 20)
        reset(halfway.writer)
        refused = await bench.caller()
        refused.writer.write(head(LONG).replace(b"a1", b"refused"))
        sending = asyncio.create_task(send(refused.writer, LONG))
        assert (await refused.read())[0] == 503
        sending.cancel()
        await until(lambda: bench.node.unfinished_count() == 0 and figures.inflight == 0)
        told = figures.count_by_result(["read", "buy"])
        assert {key: count for key, count in told.items() if count} == {
            (ResultKind.SERVED, "read"): 1,
            (ResultKind.FAILED, "read"): 1,
            (ResultKind.BUSY, "buy"): 1,
        }
        assert figures.attempts_written == 3  # an incomplete request is no attempt

    run(main())
