"""The state machines on sockets: rejected messages reach no upstream, and slow callers block nobody."""

from __future__ import annotations

import asyncio
import socket

import pytest
from peers import Bench, Caller, Module, Peer, answer, replies, request, run, send_once
from test_smuggling import AMBIGUOUS_REQUESTS, HIDDEN, INVALID_RESPONSES

from brackengate import interface as api
from brackengate.http import caller as caller_module
from brackengate.net import server as server_module


def test_a_rejected_message_reaches_no_upstream_and_its_rule_is_counted() -> None:
    async def main() -> None:
        upstream, module = await Peer(replies(answer())).start(), send_once()
        bench = Bench(module)
        bench.list(upstream.port)
        for number, (name, (data, *_)) in enumerate(AMBIGUOUS_REQUESTS.items()):
            caller = await bench.caller()
            assert (await caller.ask(f"g{number}"))[0] == 200
            caller.writer.write(data + HIDDEN + request(f"h{number}"))
            status, headers, _ = await caller.read()
            assert (status, headers.get("connection")) == (400, "close"), name
            assert await caller.ended(), name
        asked = [headers["x-txn"] for _, headers, _ in upstream.requests]
        assert asked == [f"g{number}" for number in range(len(AMBIGUOUS_REQUESTS))]
        assert sum(isinstance(event, api.Request) for event in module.events) == len(AMBIGUOUS_REQUESTS)
        assert (
            sum(bench.server.refused.values()) == len(AMBIGUOUS_REQUESTS)
            and bench.server.refused["chunks"] >= 15
        )

    run(main())


def test_a_tenant_cannot_be_forged_by_a_second_or_hop_by_hop_header() -> None:
    """The balancer used the last one, and an upstream might use the first."""

    async def main() -> None:
        module = send_once()
        bench = Bench(module)
        for more in ({"X_Org": "own", "x_org": "other"}, {"X_Org": "own", "Connection": "X-Org"}):
            caller = await bench.caller()
            data = request("a1", **more)
            assert data.lower().count(b"x-org") == 2
            caller.writer.write(data)
            assert (await caller.read())[0] == 400
        assert not module.events

    run(main())


@pytest.mark.parametrize("name", ["both framings", "two lengths", "bare LF", "turned away and not", "folded"])
def test_an_ambiguous_response_is_an_error_of_its_attempt_and_closes_the_connection(name: str) -> None:
    async def main() -> None:
        upstream, module = await Peer(replies(INVALID_RESPONSES[name])).start(), send_once()
        bench = Bench(module)
        bench.list(upstream.port)
        caller = await bench.caller()
        assert (await caller.ask("a1", "buy"))[0] == 502
        assert (await module.next(api.AttemptEnded)).outcome is api.Outcome.ERROR
        await upstream.closed.get()
        upstream.script = replies(answer())
        assert (await caller.ask("a2", "buy"))[0] == 200
        assert upstream.connections == 2

    run(main())


def test_an_absolute_target_is_forwarded_as_a_path() -> None:
    async def main() -> None:
        upstream = await Peer(replies(answer())).start()
        bench = Bench(send_once())
        bench.list(upstream.port)
        caller = await bench.caller()
        caller.writer.write(request("a1").replace(b" /api", b" http://APP.svc/api"))
        assert (await caller.read())[0] == 200
        assert upstream.requests[0][0] == "GET /api?x=1 HTTP/1.1"

    run(main())


def test_many_slow_heads_bodies_and_readers_do_not_affect_a_regular_caller() -> None:
    """Three hundred of each are answered or time out while the regular caller is served."""

    async def main() -> None:
        long = b"x" * 2_000_000
        scripts = {"/api?x=1": replies(answer())}

        async def give(message: tuple[str, dict[str, str], bytes], writer: asyncio.StreamWriter) -> None:
            if message[1]["x-txn"].startswith("slow"):
                writer.write(answer(200, long))
            else:
                await scripts["/api?x=1"](message, writer)

        upstream = await Peer(give).start()
        everywhere = Module(
            lambda event: [api.Send(event.request, "u0", 0)] if isinstance(event, api.Request) else []
        )
        bench = Bench(everywhere, sockets=4000, max_callers=2000)
        bench.list(upstream.port)
        slow_sockets = []
        for number in range(300):
            head, body, reader = socket.socket(), socket.socket(), socket.socket()
            reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            for sock in (head, body, reader):
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", bench.port))
                slow_sockets.append(sock)
            head.send(request(f"h{number}")[:40])
            body.send(request(f"b{number}", "buy", body=b"").replace(b"Length: 0", b"Length: 9") + b"1234")
            reader.send(request(f"slow{number}"))
        regular = await bench.caller()
        for number in range(50):
            assert (await regular.ask(f"t{number}"))[0] == 200
        while len(upstream.requests) < 350:  # including the slow readers'
            await asyncio.sleep(0.01)
        assert bench.server.connections() >= 601
        later = bench.clock.now() + 2 * caller_module.STALL_TIMEOUT_US
        for connection in list(bench.server._connections):
            if connection.machine.state.name != "IDLE":
                connection.tick(later)
        after = bench.clock.now() + 3 * caller_module.STALL_TIMEOUT_US
        for connection in list(bench.server._connections):
            connection.tick(after)  # those that were answered 408 and stay connected
        while bench.server.connections() > 1:
            await asyncio.sleep(0.01)
        assert (await regular.ask("t99"))[0] == 200
        assert bench.byte_budget.in_use == 0
        for sock in slow_sockets:
            sock.close()

    run(main())


TIMEOUTS = {
    "a head": (caller_module, "HEAD_TIMEOUT_US", request("a1")[:20]),
    "a body": (caller_module, "too_slow", request("a1", "buy").replace(b"Length: 0", b"Length: 9")),
    "silence": (server_module, "FIRST_BYTE_TIMEOUT_US", b""),
}


@pytest.mark.parametrize("name", TIMEOUTS)
def test_each_timeout_is_what_disconnects_a_slow_caller(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """With it the connection is closed in simulated time; without it, the connection stays open."""
    module, constant, data = TIMEOUTS[name]

    async def main(disabled: bool) -> bool:
        if disabled:
            value = (lambda *_: False) if constant == "too_slow" else 1 << 60
            monkeypatch.setattr(module, constant, value)
        bench = Bench(send_once())
        caller = await bench.caller()
        caller.writer.write(data)
        while not bench.server._connections or (data and next(iter(bench.server._connections)).machine.idle):
            await asyncio.sleep(0)
        start = bench.clock.now()
        monkeypatch.setattr(bench.clock, "now", lambda: start + 20_000_000)
        bench.server._sweep()
        return next(iter(bench.server._connections)).machine.leaving

    async def both() -> None:
        assert await main(disabled=False)
        assert not await main(disabled=True)

    run(both())


def test_a_long_idle_connection_is_parsed_at_once_after_an_empty_line() -> None:
    async def main() -> None:
        upstream = await Peer(replies(answer())).start()
        bench = Bench(send_once())
        bench.list(upstream.port)
        caller: Caller = await bench.caller()
        for number in range(3):
            caller.writer.write(b"\r\n" + request(f"a{number}"))
            assert (await caller.read())[0] == 200

    run(main())
