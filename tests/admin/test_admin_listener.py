"""The admin listener on loopback sockets: commands are answered beside connections that stay idle."""

from __future__ import annotations

import asyncio

import pytest
from peers import run

from brackengate.admin import listener as listener_module
from brackengate.admin.listener import MAX_CONNECTIONS, AdminListener
from brackengate.admin.protocol import AdminCommand, encode_yes
from brackengate.net.sockets import bind


class RecordingListener:
    """A listener that records the commands it receives."""

    def __init__(self) -> None:
        self.calls: list[AdminCommand] = []
        self.listener = AdminListener(self._answer)

    def _answer(self, command: AdminCommand) -> bytes:
        self.calls.append(command)
        return encode_yes(command.value)

    async def start(self) -> RecordingListener:
        sock = bind(("127.0.0.1", 0))
        self.port: int = sock.getsockname()[1]
        await self.listener.start(sock)
        return self

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, line: bytes) -> bytes:
        reader, writer = await self.open()
        writer.write(line)
        response = await reader.read()
        writer.close()
        return response


def test_a_command_is_answered_and_its_connection_closed() -> None:
    async def main() -> None:
        recorder = await RecordingListener().start()
        assert await recorder.ask(b"check\n") == b"YES check\n"
        assert await recorder.ask(b"drain-on\r\n") == b"YES drain-on\n"
        assert (await recorder.ask(b"stop\n")).startswith(b"NO no call 'stop'")
        assert (await recorder.ask(b"\x00\xff\n")).startswith(b"NO ")
        assert (await recorder.ask(b"y" * 1000)).startswith(b"NO ")
        assert recorder.calls == [AdminCommand.CHECK, AdminCommand.DRAIN_ON]
        recorder.listener.close()

    run(main())


def test_idle_connections_are_limited_and_block_nobody() -> None:
    """Ten times the limit of connections hold half a line; every command beside them is answered."""

    async def main() -> None:
        recorder = await RecordingListener().start()
        held = []
        for _ in range(10 * MAX_CONNECTIONS):
            reader, writer = await recorder.open()
            writer.write(b"che")
            held.append((reader, writer))
            if len(held) % MAX_CONNECTIONS == 0:
                assert await recorder.ask(b"vars\n") == b"YES vars\n"
        while recorder.listener.evicted_count < 9 * MAX_CONNECTIONS:
            await asyncio.sleep(0)
        first = held[0][0]
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await first.readexactly(1)  # the oldest one was evicted
        last_reader, last_writer = held[-1]
        last_writer.write(b"ck\n")
        assert await last_reader.read() == b"YES check\n"
        recorder.listener.close()

    run(main())


def test_an_unfinished_line_times_out_and_is_no_command(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener_module, "REQUEST_TIMEOUT_S", 0.05)

    async def main() -> None:
        recorder = await RecordingListener().start()
        reader, writer = await recorder.open()
        writer.write(b"drain-on")
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        reader, writer = await recorder.open()
        writer.write(b"drain-on")
        writer.write_eof()
        assert await reader.read() == b""
        assert recorder.calls == []
        recorder.listener.close()

    run(main())
