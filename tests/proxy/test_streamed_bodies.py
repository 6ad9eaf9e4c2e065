"""Long bodies over both hops: complete, broken, slow or abandoned, with no memory held afterwards.

caller          egress        ingress         upstream
  |--- request --->|------------>|--------------->|
  |<-- head, first bytes: no retry from here on --|
  |<-- the rest, at the pace of the slowest ------|
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import os
import socket
from collections.abc import Callable

import pytest
from peers import Caller, chunk, reset, run
from proxy_pair import FORMS, Mesh, Upstream, answers, body, head, request_head
from test_bodies import BLOCK, Reader, received, send, until

from brackengate.http import upstream as machine
from brackengate.net import http as http_module

KIB, MIB = 1 << 10, 1 << 20
LONG = 20 * MIB


def digest(size: int) -> bytes:
    """The digest of `size` bytes as `proxy_pair.body` writes them."""
    checksum = hashlib.sha256()
    for at in range(0, size, 256 * KIB):
        checksum.update(BLOCK[: min(size - at, 256 * KIB)])
    return checksum.digest()


def settled(mesh: Mesh) -> Callable[[], bool]:
    return lambda: not (mesh.pending_count() or mesh.egress_budget.in_use or mesh.ingress_budget.in_use)


@pytest.mark.parametrize("form", list(FORMS))
@pytest.mark.parametrize("route", ["read", "buy", "bid"])
def test_answers_of_any_length_are_forwarded_unchanged(route: str, form: str) -> None:
    async def main() -> None:
        for size in (64 * KIB, MIB, 3 * MIB // 2, LONG):
            upstream = await Upstream(answers(size, form)).start()
            mesh = Mesh(upstream)
            caller = await mesh.caller()
            caller.writer.write(request_head(route, key="k" if route == "bid" else ""))
            got = await received(caller)
            assert (got.first[:12], got.size, got.digest.digest()) == ("HTTP/1.1 200", size, digest(size))
            assert got.headers["x-brackengate-server-seal"] == "seal"
            assert "x-brackengate-hop" not in got.headers
            await until(settled(mesh))
            assert max(mesh.egress_budget.peak, mesh.ingress_budget.peak) <= 2 * MIB
            caller.writer.write(request_head("read", attempt="t2"))  # the connection is still usable
            assert (await received(caller)).size == size

    run(main())


@pytest.mark.parametrize("form", ["length", "chunks"])
@pytest.mark.parametrize("route", ["read", "bid"])
def test_request_bodies_are_forwarded_unchanged_and_released(route: str, form: str) -> None:
    async def main() -> None:
        for size in (64 * KIB, MIB, 3 * MIB // 2, LONG):
            upstream = await Upstream(answers(4)).start()
            mesh = Mesh(upstream)
            caller = await mesh.caller()
            caller.writer.write(request_head(route, FORMS[form](size), key="k" if route == "bid" else ""))
            await body(caller.writer, size, form)
            caller.writer.write(b"0\r\n\r\n" if form == "chunks" else b"")
            assert (await caller.read())[0] == 200
            (ran,) = upstream.ran
            assert (ran.size, ran.digest.digest()) == (size, digest(size))
            await until(settled(mesh))

    run(main())


@pytest.mark.parametrize("status", [201, 404])
def test_a_long_answer_keeps_its_status(status: int) -> None:
    async def main() -> None:
        mesh = Mesh(await Upstream(answers(2 * MIB, status=status)).start())
        caller = await mesh.caller()
        caller.writer.write(request_head("buy"))
        got = await received(caller)
        assert (got.first.split()[1], got.size) == (str(status), 2 * MIB)

    run(main())


@pytest.mark.parametrize("form", list(FORMS))
@pytest.mark.parametrize("route", ["read", "bid"])
def test_broken_answer_never_looks_complete_and_runs_once(route: str, form: str) -> None:
    async def main() -> None:
        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            upstream.ran.append(reader)
            writer.write(head(reader, FORMS[form](LONG)))
            await body(writer, 3 * MIB, form)
            await on.wait()
            reset(writer)

        on = asyncio.Event()
        upstream = await Upstream(act).start()
        mesh = Mesh(upstream)
        caller = await mesh.caller()
        caller.writer.write(request_head(route, key="k" if route == "bid" else ""))
        got = Reader(caller.reader)
        await got.head()
        await got._take(1000)
        on.set()
        rest = b""
        with contextlib.suppress(ConnectionResetError):
            while data := await caller.reader.read(MIB):
                rest += data
        assert len(rest) < 4 * MIB and not rest.endswith(b"0\r\n\r\n")
        await until(settled(mesh))
        assert len(upstream.ran) == 1  # no retry once the answer has begun

    run(main())


def test_http_1_0_caller_sees_a_broken_answer_as_a_reset() -> None:
    """It gets no chunks: only the end of the connection ends the body, and here that is a reset."""

    async def main() -> None:
        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            writer.write(head(reader, FORMS["chunks"](LONG)))
            await body(writer, MIB, "chunks")
            await on.wait()
            reset(writer)

        on = asyncio.Event()
        mesh = Mesh(await Upstream(act).start())
        caller = await mesh.caller()
        caller.writer.write(request_head("read").replace(b"HTTP/1.1", b"HTTP/1.0"))
        got = Reader(caller.reader)
        await got.head()
        await got._take(1000)
        on.set()
        with pytest.raises(ConnectionResetError):
            while await caller.reader.read(MIB):
                pass

    run(main())


def test_long_answer_that_is_no_valid_success_is_not_forwarded() -> None:
    async def main() -> None:
        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            upstream.ran.append(reader)
            answer_head = head(reader, FORMS["length"](2 * MIB), seal=len(upstream.ran) > 1)
            writer.write(answer_head.replace(b"Attempt-Id: t1", b"Attempt-Id: t0"))
            await body(writer, 2 * MIB, "length")

        mesh = Mesh(await Upstream(act).start())
        for number, status in enumerate((502, 502)):  # without a seal; with another request's id
            caller = await mesh.caller()
            caller.writer.write(request_head("buy"))
            assert ((await caller.read())[0], number) == (status, number)
        await until(settled(mesh))

    run(main())


def test_callers_that_stop_reading_slow_their_upstreams_and_use_no_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Forty answers of 20 MiB, of which nothing is read; then one of them is."""
    monkeypatch.setattr(http_module, "SEND_BUFFER_BYTES", 16 * KIB)

    async def main() -> None:
        written = 0

        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            nonlocal written
            await reader.body()
            writer.transport.set_write_buffer_limits(high=0)
            writer.write(head(reader, FORMS["length"](LONG)))
            for _ in range(LONG // (64 * KIB)):
                writer.write(BLOCK[: 64 * KIB])
                await writer.drain()
                written += 64 * KIB

        mesh = Mesh(await Upstream(act).start(), max_body_bytes=4 * MIB)
        callers = []
        for number in range(40):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * KIB)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", mesh.port))
            caller = Caller(*await asyncio.open_connection(sock=sock, limit=16 * KIB))
            caller.writer.write(request_head("read", attempt=f"t{number}"))
            await caller.reader.readuntil(b"\r\n\r\n")
            callers.append(caller)
        before = -1
        while before != written:  # until nothing is written for ten turns of the loop
            before = written
            for _ in range(10):
                await asyncio.sleep(0)
                await asyncio.to_thread(os.sched_yield)
        assert mesh.pending_count() == 80 and written < 40 * LONG // 2
        assert (
            mesh.egress_budget.peak <= 40 * 96 * KIB + 4 * MIB
            and mesh.ingress_budget.peak <= 40 * 96 * KIB + 4 * MIB
        )
        assert len(await callers[0].reader.readexactly(LONG)) == LONG
        for caller in callers[1:]:
            reset(caller.writer)
        await until(settled(mesh))

    run(main())


@pytest.mark.parametrize("route", ["read", "bid"])
def test_disconnect_of_a_caller_ends_its_upstream_connection(route: str) -> None:
    async def main() -> None:
        async def endless(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            writer.write(head(reader, FORMS["length"](60 * MIB)))
            await body(writer, 60 * MIB, "length")

        upstream = await Upstream(endless).start()
        mesh = Mesh(upstream)
        caller = await mesh.caller()
        caller.writer.write(request_head(route, key="k" if route == "bid" else ""))
        await received(caller, max_bytes=100 * KIB)
        reset(caller.writer)
        await upstream.ended.get()
        await until(settled(mesh))

    run(main())


@pytest.mark.parametrize("route", ["buy", "bid"])
def test_incomplete_request_runs_nothing_and_frees_its_key(route: str) -> None:
    async def main() -> None:
        upstream = await Upstream(answers(4)).start()
        mesh = Mesh(upstream)
        key = "k" if route == "bid" else ""
        caller = await mesh.caller()
        caller.writer.write(request_head(route, FORMS["length"](LONG), key=key))
        await send(caller.writer, LONG // 2)
        reset(caller.writer)
        await upstream.ended.get()
        await until(settled(mesh))
        assert upstream.ran == []
        again = await mesh.caller()
        again.writer.write(request_head(route, key=key, attempt="t2"))
        assert (await again.read())[0] == 200

    run(main())


def test_time_limit_starts_after_the_request_body() -> None:
    """On both hops the time limit starts at the body's last byte; here the deadline would pass before it."""

    async def main() -> None:
        upstream = await Upstream(answers(4)).start()
        mesh = Mesh(upstream)
        caller = await mesh.caller()
        caller.writer.write(
            request_head("bid", FORMS["length"](LONG), key="k").replace(b"Ms: 20000", b"Ms: 1000")
        )
        await send(caller.writer, LONG // 2)
        at = mesh.clock.now()
        await until(lambda: mesh.clock.now() - at > 1_200_000)
        await send(caller.writer, LONG // 2)
        assert (await caller.read())[0] == 200

    run(main())


def test_keyed_answer_is_kept_for_repeats_up_to_a_limit() -> None:
    async def main() -> None:
        for size, statuses in (
            (machine.MAX_BUFFERED_RESPONSE_BYTES, [200, 200]),
            (machine.MAX_BUFFERED_RESPONSE_BYTES + 1, [200, 503]),
        ):
            upstream = await Upstream(answers(size)).start()
            mesh = Mesh(upstream)
            for number, status in enumerate(statuses):
                caller = await mesh.caller()
                caller.writer.write(request_head("bid", key="k", attempt=f"t{number}"))
                got = await received(caller)
                assert got.first.split()[1] == str(status)
                assert got.size == (size if status == 200 else 0)
                if status == 200:
                    assert got.headers["x-brackengate-attempt-id"] == f"t{number}"
            assert len(upstream.ran) == 1

    run(main())


def test_repeat_at_another_proxy_gets_the_first_answer_streamed() -> None:
    """Its long body is relayed to the proxy that holds the claim; the stored answer takes three hops back."""

    async def main() -> None:
        upstream, other = await Upstream(answers(MIB)).start(), await Upstream(answers(4)).start()
        first, second = Mesh(upstream), Mesh(other)
        second.holder = first
        for number, mesh in enumerate((first, second)):
            caller = await mesh.caller()
            caller.writer.write(request_head("bid", FORMS["length"](3 * MIB), key="k", attempt=f"t{number}"))
            await send(caller.writer, 3 * MIB)
            got = await received(caller)
            assert (got.first.split()[1], got.size, got.digest.digest()) == ("200", MIB, digest(MIB))
            assert got.headers["x-brackengate-attempt-id"] == f"t{number}"
        assert (len(upstream.ran), other.ran) == (1, [])
        await until(settled(first))
        await until(settled(second))

    run(main())


def test_repeat_with_a_long_body_gets_the_first_answer() -> None:
    async def main() -> None:
        upstream = await Upstream(answers(4)).start()
        mesh = Mesh(upstream)
        for attempt in ("t1", "t2"):
            caller = await mesh.caller()
            caller.writer.write(request_head("bid", FORMS["length"](LONG), key="k", attempt=attempt))
            await send(caller.writer, LONG)
            status, fields, said = await caller.read()
            assert (status, fields["x-brackengate-attempt-id"], said) == (200, attempt, BLOCK[:4])
        await until(settled(mesh))
        assert len(upstream.ran) == 1

    run(main())


def test_short_slow_answer_is_buffered_and_replaced_by_another_attempt_if_it_breaks() -> None:
    async def main() -> None:
        async def act(upstream: Upstream, reader: Reader, writer: asyncio.StreamWriter) -> None:
            upstream.ran.append(reader)
            writer.write(head(reader, FORMS["chunks"](0)) + chunk(b"one"))
            at = mesh.clock.now()
            await until(lambda: mesh.clock.now() - at > machine.SLOW_RESPONSE_US + 20_000)
            writer.write(chunk(b"two"))
            if len(upstream.ran) == 1:
                await writer.drain()
                reset(writer)
            else:
                writer.write(b"0\r\n\r\n")

        upstream = await Upstream(act).start()
        mesh = Mesh(upstream)
        mesh.egress.services["p"].balancer.retry_tokens = 1.0  # as if earned by earlier requests
        caller = await mesh.caller()
        caller.writer.write(request_head("read"))
        assert (await caller.read())[::2] == (200, b"onetwo") and len(upstream.ran) == 2

    run(main())
