"""The callers' side: bad input, keep-alive, limits and backpressure."""

from __future__ import annotations

import asyncio
import socket

import pytest
from peers import Bench, Caller, Module, Peer, answer, replies, request, run, send_once

from brackengate import interface as api
from brackengate.http import body as body_module
from brackengate.http import caller as caller_module
from brackengate.net import server as server_module
from brackengate.net.connection_admission import ConnectionAdmission

GOOD = request("a1", "read", 900)
POST = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: a1\r\nX-Lane: buy\r\nX-Remaining-Ms: 900\r\n"


def refuse_all() -> Module:
    return Module(lambda event: [api.Refuse(event.request)] if isinstance(event, api.Request) else [])


@pytest.mark.parametrize(
    ("data", "status", "kept"),
    [
        (b"\x16\x03\x01\x00\xa5\r\n\r\n", 400, False),
        (b"GET /api\r\n\r\n", 400, False),
        (b"GET /api HTTP/1.1\r\nno colon\r\n\r\n", 400, False),
        (GOOD.replace(b"X-Txn: a1\r\n", b""), 400, True),
        (GOOD.replace(b"X-Txn: a1", b"X-Txn: "), 400, True),
        (GOOD.replace(b"X-Txn: a1", b"X-Txn: a 1"), 400, True),
        (GOOD.replace(b"X-Txn: a1", b"X-Txn: " + b"a" * 65), 400, True),
        (GOOD.replace(b"X-Txn: a1", b"X-Txn: a1\r\nX-Txn: a2"), 400, False),
        (GOOD.replace(b"X-Lane: read\r\n", b""), 400, True),
        (GOOD.replace(b"X-Lane: read", b"X-Lane: re\xffad"), 400, True),
        (GOOD.replace(b"X-Lane: read", b"X-Lane: read2"), 400, True),
        (GOOD.replace(b"X-Lane: read", b"X-Lane: buy"), 400, True),
        (POST.replace(b"buy", b"read") + b"Content-Length: 0\r\n\r\n", 400, True),
        (POST.replace(b"buy", b"bid") + b"Content-Length: 0\r\n\r\n", 400, True),
        (GOOD.replace(b"a1", b"g1"), 400, True),  # another caller's id, already answered
        (GOOD.replace(b"X-Remaining-Ms: 900\r\n", b""), 400, True),
        (GOOD.replace(b": 900", b": -5"), 400, True),
        (GOOD.replace(b": 900", b": 1e3"), 400, True),
        (GOOD.replace(b": 900", b": 99999999999999999999"), 400, True),
        (POST + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400, False),
        (POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, False),
        (POST + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400, False),
        (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400, False),
        (POST + b"Transfer-Encoding: gzip\r\n\r\n", 400, False),
        (POST + b"Content-Length: -1\r\n\r\n", 400, False),
        (POST + b"Content-Length: +1\r\n\r\nx", 400, False),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400, False),
        (POST + b"Connection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 0\r\n\r\n", 400, False),
        (POST + b"Content-Length: 67108865\r\n\r\n", 413, False),
        (POST + b"Content-Length: 99999999999999999999999\r\n\r\n", 400, False),
        (b"GET /api HTTP/1.1\r\nX-Big: " + b"x" * 20_000 + b"\r\n\r\n", 431, False),
        (b"GET /api?" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n", 431, False),
        (GOOD.replace(b"/api", b"/apix"), 404, True),
        (GOOD.replace(b"/api?x=1", b"/"), 404, True),
        (GOOD.replace(b"GET", b"DELETE"), 405, True),
        (b"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405, True),
    ],
)
def test_bad_input_is_answered_and_other_callers_are_unaffected(data: bytes, status: int, kept: bool) -> None:
    async def main() -> None:
        peer = await Peer(replies(answer())).start()
        module = send_once()
        bench = Bench(module)
        bench.list(peer.port)
        good, bad = await bench.caller(), await bench.caller()
        assert (await good.ask("g1"))[0] == 200
        bad.writer.write(data)
        got, headers, _ = await bad.read()
        assert (got, headers.get("connection")) == (status, None if kept else "close")
        if kept:
            assert (await bad.ask("a2"))[0] == 200
        else:
            bad.writer.write(GOOD)  # later bytes are not parsed as a request
            assert await bad.ended()
        assert (await good.ask("g2"))[0] == 200
        requests = [event.request for event in module.events if isinstance(event, api.Request)]
        assert requests == (["g1", "a2", "g2"] if kept else ["g1", "g2"])

    run(main())


def test_an_id_in_flight_is_refused_to_a_second_request() -> None:
    async def main() -> None:
        module = Module(lambda event: [])
        bench = Bench(module)
        first, second = await bench.caller(), await bench.caller()
        first.send("a1", ms=400)
        await module.next(api.Request)
        assert (await second.ask("a1"))[0] == 400
        assert (await first.read())[0] == 504

    run(main())


def test_the_request_event_that_the_module_receives() -> None:
    async def main() -> None:
        module = refuse_all()
        bench = Bench(module)
        more = {"X_Org": "acme", "X_Entity": "7f", "X_Resent": "1", "X_Estimate": "1200"}
        before = bench.clock.now()
        await (await bench.caller()).ask("a1", "buy", 800, **more)
        event = await module.next(api.Request)
        assert before + 800_000 <= event.deadline <= bench.clock.now() + 800_000
        event.deadline = 0
        assert event == api.Request("a1", "buy", 0, "acme", "7f", True, True, 1200)

    run(main())


def test_the_deadline_counts_from_the_last_byte() -> None:
    async def main() -> None:
        module = refuse_all()
        bench = Bench(module)
        caller = await bench.caller()
        data = request("a1", "buy", 800, b"body")
        caller.writer.write(data[:-1])
        await caller.writer.drain()
        await asyncio.sleep(0.05)  # any delay will do
        last = bench.clock.now()
        caller.writer.write(data[-1:])
        assert (await caller.read())[0] == 503
        assert (await module.next(api.Request)).deadline >= last + 800_000

    run(main())


def test_split_chunked_and_pipelined_requests() -> None:
    async def main() -> None:
        peer = await Peer(replies(answer())).start()
        bench = Bench(send_once())
        bench.list(peer.port)
        caller = await bench.caller()
        for byte in request("a1", "buy", 5000, b"piecemeal"):
            caller.writer.write(bytes([byte]))
            await caller.writer.drain()
        assert (await caller.read())[0] == 200
        chunked = (
            POST.replace(b": 900", b": 5000")
            + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        caller.writer.write(chunked.replace(b"a1", b"a2"))
        assert (await caller.read())[0] == 200
        caller.writer.write(b"".join(request(f"p{n}", ms=5000) for n in range(20)))
        for _ in range(20):
            assert (await caller.read())[0] == 200
        assert [body for _, _, body in peer.requests[:2]] == [b"piecemeal", b"abcde"]
        assert [headers["x-txn"] for _, headers, _ in peer.requests[2:]] == [f"p{n}" for n in range(20)]

    run(main())


def test_a_trailer_does_not_replace_a_header() -> None:
    """A second X-Txn after the body would reach the upstream, bypassing the check that it occurs once."""

    async def main() -> None:
        peer = await Peer(replies(answer())).start()
        bench = Bench(send_once())
        bench.list(peer.port)
        caller = await bench.caller()
        caller.writer.write(POST + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Txn: zz\r\nX-New: 1\r\n\r\n")
        assert (await caller.read())[0] == 200
        assert peer.requests[0][1]["x-txn"] == "a1"
        assert "x-new" not in peer.requests[0][1]

    run(main())


def test_bytes_after_invalid_input_are_discarded() -> None:
    """The request before them is still answered, then the invalid input, once."""

    async def main() -> None:
        module = Module(lambda event: [])
        bench = Bench(module)
        caller = await bench.caller()
        caller.send("a1", ms=300)
        await module.next(api.Request)
        for _ in range(50):
            caller.writer.write(b"\x00garbage\r\n\r\n")
            await caller.writer.drain()
        assert (await caller.read())[0] == 504
        assert (await caller.read())[0] == 400
        assert await caller.ended()

    run(main())


def test_close_and_old_versions_end_the_connection_after_the_answer() -> None:
    async def main() -> None:
        bench = Bench(refuse_all())
        for data in (
            GOOD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
            GOOD.replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"a1", b"a2"),
        ):
            caller = await bench.caller()
            caller.writer.write(data)
            status, headers, _ = await caller.read()
            assert (status, headers["connection"]) == (503, "close")
            assert await caller.ended()

    run(main())


def test_expect_continue_is_answered() -> None:
    async def main() -> None:
        bench = Bench(refuse_all())
        caller = await bench.caller()
        caller.writer.write(POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
        assert (await caller.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
        caller.writer.write(b"abc")
        assert (await caller.read())[0] == 503

    run(main())


def test_ready_reports_whether_requests_can_be_served() -> None:
    async def main() -> None:
        bench = Bench(refuse_all())
        caller = await bench.caller()
        probe = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"

        async def ready() -> int:
            caller.writer.write(probe)
            return (await caller.read())[0]

        assert await ready() == 503  # no upstream is known
        bench.list(1)
        assert await ready() == 200
        bench.list(1, state=api.Lifecycle.DRAINING)
        assert await ready() == 503
        caller.writer.write(probe.replace(b"GET", b"HEAD"))
        head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        bench.list(1)
        assert await ready() == 200

    run(main())


@pytest.mark.parametrize("data", [b"", GOOD[:30], POST + b"Content-Length: 9\r\n\r\n12", b"\r\n"])
def test_a_silent_or_slow_caller_is_disconnected(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """The timeout counts from the first byte or from the connect; later bytes do not extend it."""
    monkeypatch.setattr(caller_module, "HEAD_TIMEOUT_US", 300_000)
    monkeypatch.setattr(body_module, "RATE_GRACE_S", 0.3)
    monkeypatch.setattr(server_module, "FIRST_BYTE_TIMEOUT_US", 300_000)
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.05)

    async def main() -> None:
        bench = Bench(refuse_all())
        caller = await bench.caller()

        async def drip() -> None:
            for byte in data:
                caller.writer.write(bytes([byte]))
                await asyncio.sleep(0.05)  # well within the limit, each

        dripping = asyncio.create_task(drip())
        started_at = bench.clock.now()
        if data:
            assert (await caller.read())[0] == 408
        assert await caller.ended()
        assert bench.clock.now() - started_at < 1_200_000  # 30 bytes would take 1.5 s
        dripping.cancel()

    run(main())


@pytest.mark.parametrize(
    "head",
    [
        b"GET /api HTTP/1.1\r\nX-Long: ",
        b"GET /api HTTP/1.1\r\nX-Long",
        POST + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Trailer: ",
        POST + b"Transfer-Encoding: chunked\r\n\r\n1;",
    ],
)
def test_endless_heads_and_framing_are_rejected(head: bytes) -> None:
    """The parser buffers a header until it is complete, so an endless one would fill the memory."""

    async def main() -> None:
        bench = Bench(refuse_all())
        caller = await bench.caller()
        caller.writer.write(head)
        sent = 0
        answered = asyncio.create_task(caller.read())
        while not answered.done():
            caller.writer.write(b"x" * 4096)
            sent += 4096
            await asyncio.sleep(0)
            assert sent < 8 << 20
        assert (await answered)[0] == 431

    run(main())


@pytest.mark.parametrize(("sockets", "max_callers", "max_sockets"), [(20, 1000, 20), (100, 5, 6)])
def test_silent_callers_leave_sockets_for_others(sockets: int, max_callers: int, max_sockets: int) -> None:
    """With more silent callers than sockets, a regular caller is served and its attempt gets a connection."""

    async def main() -> None:
        peer = await Peer(replies(answer())).start()
        bench = Bench(send_once(), sockets=sockets, max_callers=max_callers)
        bench.list(peer.port)
        silent = [await bench.caller() for _ in range(40)]
        caller = await bench.caller()
        assert (await caller.ask("a1", ms=1000))[0] == 200
        assert bench.budget.in_use <= max_sockets
        for one in silent:
            one.writer.close()

    run(main())


def test_a_flood_of_pipelined_requests_does_not_delay_other_callers() -> None:
    """One read contains hundreds: if all were answered at once, other callers would wait for them."""

    async def main() -> None:
        bench = Bench(refuse_all())
        flood, caller = await bench.caller(), await bench.caller()
        bad = GOOD.replace(b"X-Lane: read", b"X-Lane: none")
        flood.writer.write(bad * 2000)
        await asyncio.sleep(0)
        assert (await caller.ask("g1"))[0] == 503
        seen = bench.server._bad_requests
        assert seen < 1500
        for _ in range(2000):
            assert (await flood.read())[0] == 400
        flood.writer.write(bad * 400 + GOOD[:50])  # the last piece ends amid a request
        for _ in range(400):
            assert (await flood.read())[0] == 400
        flood.writer.write(GOOD[50:])
        assert (await flood.read())[0] == 503

    run(main())


def test_an_excessive_deadline_is_limited_to_its_class() -> None:
    """Otherwise a timer and the request's state would be kept for a day."""

    async def main() -> None:
        module = refuse_all()
        bench = Bench(module)
        assert (await (await bench.caller()).ask("a1", ms=99_999_999))[0] == 503
        assert (await module.next(api.Request)).deadline <= bench.clock.now() + 1_000_000

    run(main())


def test_a_caller_that_reads_no_answers_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its requests are not parsed any more, and after a while it is disconnected."""
    monkeypatch.setattr(caller_module, "UNREAD_RESPONSE_TIMEOUT_US", 200_000)

    async def main() -> None:
        peer = await Peer(replies(answer(200, b"x" * 65536))).start()
        module = send_once()
        bench = Bench(module)
        bench.list(peer.port)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", bench.port))
            sock.setblocking(False)
            data = b"".join(request(f"p{n}", ms=20_000) for n in range(5000))
            loop = asyncio.get_running_loop()
            with pytest.raises(OSError):
                await loop.sock_sendall(sock, data)
                while True:  # it reads nothing, so the disconnect shows when writing
                    await loop.sock_sendall(sock, b"x")
                    await asyncio.sleep(0.01)
        started = sum(isinstance(event, api.Request) for event in module.events)
        assert 0 < started < 1000
        assert bench.node.pending_count() == 0

    run(main())


def test_requests_already_received_are_answered_while_draining() -> None:
    """Closing after the first answer would lose the requests received after it."""

    async def main() -> None:
        module = Module(lambda event: [])
        bench = Bench(module)
        bench.list(1)
        caller = await bench.caller()
        first, ready = request("a1", ms=300), b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        caller.writer.write(first + request("a2", ms=600) + GOOD.replace(b"X-Lane", b"X-None") + ready)
        await module.next(api.Request)
        leaving = asyncio.create_task(bench.server.drain(5.0))
        for status, connection in ((504, None), (504, None), (400, None), (503, "close")):
            got, headers, _ = await caller.read()
            assert (got, headers.get("connection")) == (status, connection)
        assert await caller.ended()
        await leaving
        with pytest.raises(ConnectionRefusedError):
            await Caller.to(bench.port)

    run(main())


def test_eviction_spares_callers_with_a_request() -> None:
    async def main() -> None:
        module = Module(lambda event: [])
        bench = Bench(module, sockets=2)
        idle, busy = await bench.caller(), await bench.caller()
        busy.send("b1", ms=1500)
        await module.next(api.Request)
        # A fresh connection is not evicted.
        await asyncio.sleep(server_module.FRESH_CONNECTION_US / 1e6 + 0.05)
        third = await Caller.to(bench.port)
        third.send("c1", ms=500)
        assert await idle.ended()
        assert (await third.read())[0] == 504
        assert (await busy.read())[0] == 504

    run(main())


def test_a_networks_connections_are_limited_and_other_networks_are_admitted() -> None:
    """Connections over the limit are closed on arrival; closing one makes room again."""

    async def main() -> None:
        admission = ConnectionAdmission(3, lambda address: address)
        bench, upstream = Bench(send_once(), admission=admission), await Peer(replies(answer())).start()
        bench.list(upstream.port)
        held = [await bench.caller() for _ in range(3)]
        for number, caller in enumerate(held):
            assert (await caller.ask(f"a{number}"))[0] == 200
        over = await bench.caller()
        assert await over.ended()
        assert admission.rejected == 1
        other = Caller(*await asyncio.open_connection("127.0.0.1", bench.port, local_addr=("127.0.0.2", 0)))
        assert (await other.ask("b0"))[0] == 200
        held[0].writer.close()
        while bench.server.connections() > 3:
            await asyncio.sleep(0)
        again = await bench.caller()
        assert (await again.ask("a9"))[0] == 200

    run(main())


def test_stalled_heads_are_evicted_and_slow_ones_are_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Beside many callers that never finish a head, a slow caller and a new one are both served."""
    monkeypatch.setattr(server_module, "STUCK_HEAD_US", 200_000)
    monkeypatch.setattr(caller_module, "HEAD_TIMEOUT_US", 15_000_000)  # no timeout ends them

    async def main() -> None:
        upstream = await Peer(replies(answer())).start()
        bench = Bench(send_once(), sockets=20)  # twelve for callers, and one above the limit
        bench.list(upstream.port)
        slow = await bench.caller()
        data = request("slow1")
        slow.writer.write(data[:10])
        stalled = [await bench.caller() for _ in range(12)]
        for stuck in stalled:
            stuck.writer.write(b"GET /api HTTP/1.1\r\nX-")
        for number in range(10):
            await asyncio.sleep(0.05)
            slow.writer.write(data[10 + number * 5 : 15 + number * 5])
        fresh = await bench.caller()
        fresh.send("fresh1")
        assert (await fresh.read())[0] == 200
        slow.writer.write(data[60:])
        assert (await slow.read())[0] == 200
        assert bench.server.connections() in (12, 13)
        ends = [asyncio.ensure_future(stuck.closed()) for stuck in stalled]
        done, left = await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        assert all(end.result() for end in done) and len(left) >= 10  # only as many as necessary
        for end in left:
            end.cancel()

    run(main())


def test_a_connection_with_unread_bytes_is_not_closed_as_idle() -> None:
    """Closing would reset a request that is still in the kernel: it is served, with `Connection: close`."""

    async def main() -> None:
        upstream = await Peer(replies(answer())).start()
        bench = Bench(send_once())
        bench.list(upstream.port)
        loop, idle = asyncio.get_running_loop(), await bench.caller()
        raw = socket.create_connection(("127.0.0.1", bench.port))
        raw.setblocking(False)
        assert (await idle.ask("a0"))[0] == 200
        raw.send(request("a1"))
        assert (await loop.sock_recv(raw, 1000)).startswith(b"HTTP/1.1 200")
        bench.server.set_draining(True)
        bench.server._draining_since -= 2 * server_module.DRAIN_NOTICE_US  # the notice period has passed
        raw.send(request("b1"))  # the kernel has it before the event loop can read it
        bench.server._close_idle(0)
        response = await loop.sock_recv(raw, 1000)
        assert response.startswith(b"HTTP/1.1 200") and b"Connection: close" in response
        assert await idle.ended()
        raw.close()
        bench.server.set_draining(False)
        assert (await (await bench.caller()).ask("c1"))[1].get("connection") is None

    run(main())


def test_trailing_whitespace_of_a_split_header_is_removed() -> None:
    """From callers and upstreams: the parser keeps it if a read ends within the line."""

    async def main() -> None:
        async def turns_away(_: object, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Turned-Away: 1 ")
            await asyncio.sleep(0.05)
            writer.write(b"\r\n\r\n")

        upstream, module = await Peer(turns_away).start(), send_once()
        bench = Bench(module)
        bench.list(upstream.port)
        caller = await bench.caller()
        first, rest = request("a1").split(b"a1\r\n")
        caller.writer.write(first + b"a1 \t")
        await asyncio.sleep(0.05)
        caller.writer.write(b"\r\n" + rest)
        assert (await module.next(api.Request)).request == "a1"
        assert (await module.next(api.AttemptEnded)).outcome is api.Outcome.REJECTED
        assert (await caller.read())[0] == 502

    run(main())
