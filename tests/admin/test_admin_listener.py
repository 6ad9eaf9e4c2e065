"""The operators' listener on loopback sockets: whoever means it is answered beside those who hold on."""

from __future__ import annotations

import asyncio

import pytest
from peers import run

from brackengate.admin import listener as listener_module
from brackengate.admin.listener import MAX_CONNECTIONS, AdminListener
from brackengate.admin.protocol import AdminCommand, encode_yes
from brackengate.net.sockets import bind


class Desk:
    """A listener that keeps the calls it was asked."""

    def __init__(self) -> None:
        self.calls: list[AdminCommand] = []
        self.listener = AdminListener(self._answer)

    def _answer(self, call: AdminCommand) -> bytes:
        self.calls.append(call)
        return encode_yes(call.value)

    async def start(self) -> Desk:
        sock = bind(("127.0.0.1", 0))
        self.port: int = sock.getsockname()[1]
        await self.listener.start(sock)
        return self

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, line: bytes) -> bytes:
        reader, writer = await self.open()
        writer.write(line)
        told = await reader.read()
        writer.close()
        return told


def test_a_call_is_answered_and_its_connection_closed() -> None:
    async def main() -> None:
        desk = await Desk().start()
        assert await desk.ask(b"check\n") == b"YES check\n"
        assert await desk.ask(b"drain-on\r\n") == b"YES drain-on\n"
        assert (await desk.ask(b"stop\n")).startswith(b"NO no call 'stop'")
        assert (await desk.ask(b"\x00\xff\n")).startswith(b"NO ")
        assert (await desk.ask(b"y" * 1000)).startswith(b"NO ")
        assert desk.calls == [AdminCommand.CHECK, AdminCommand.DRAIN_ON]
        desk.listener.close()

    run(main())


def test_those_who_hold_on_keep_nobody_out_and_are_bounded() -> None:
    """Ten times the bound hold connections with half a line; every call beside them is answered."""

    async def main() -> None:
        desk = await Desk().start()
        held = []
        for _ in range(10 * MAX_CONNECTIONS):
            reader, writer = await desk.open()
            writer.write(b"che")
            held.append((reader, writer))
            if len(held) % MAX_CONNECTIONS == 0:
                assert await desk.ask(b"vars\n") == b"YES vars\n"
        while desk.listener.evicted_count < 9 * MAX_CONNECTIONS:
            await asyncio.sleep(0)
        first = held[0][0]
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await first.readexactly(1)  # the one that waited longest went
        last_reader, last_writer = held[-1]
        last_writer.write(b"ck\n")
        assert await last_reader.read() == b"YES check\n"
        desk.listener.close()

    run(main())


def test_a_line_that_never_ends_is_closed_and_one_that_ends_with_the_connection_asks_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener_module, "REQUEST_TIMEOUT_S", 0.05)

    async def main() -> None:
        desk = await Desk().start()
        reader, writer = await desk.open()
        writer.write(b"drain-on")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        reader, writer = await desk.open()
        writer.write(b"drain-on")
        writer.write_eof()
        assert await reader.read() == b""
        assert desk.calls == []
        desk.listener.close()

    run(main())
