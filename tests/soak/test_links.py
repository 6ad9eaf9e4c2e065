"""Links in front of machines: what is held or delayed arrives late, whole and in order."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from standins.mesh import Machine, Mesh, inner_ip
from standins.soak.links import Links

LIMIT_S = 20.0
SHORT_S = 0.2
FIRST_PORT = 18_200


class Bench:
    """Two core machines and a proxy behind links; in place of their processes, servers that echo lines."""

    def __init__(self, folder: Path) -> None:
        self.mesh = Mesh(folder, 2, 1, FIRST_PORT, behind_links=True)
        self.links = Links(self.mesh)
        self._servers: list[asyncio.Server] = []
        self._lines: list[Line] = []

    async def start(self) -> None:
        ports = self.mesh.ports
        for machine, port in (
            *((one, ports.internal) for one in self.mesh.core),
            *((one, ports.inbound) for one in self.mesh.sides),
        ):
            self._servers.append(await asyncio.start_server(self._echo, inner_ip(machine.ip), port))
        await self.links.start()

    async def stop(self) -> None:
        for line in self._lines:
            await line.close()
        await self.links.stop()
        for server in self._servers:
            server.close()
        await self.mesh.stop()

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while line := await reader.readline():
                writer.write(line)
        writer.close()

    async def named(self, sender: Machine, receiver: Machine) -> Line:
        """A connection between control replicas, which begins with the sender's name."""
        line = await self._line(receiver, self.mesh.ports.internal)
        line.send(f'{{"addr":"{sender.ip}:1"}}')
        return line

    async def request(self, receiver: Machine) -> Line:
        """A connection on which requests are sent."""
        return await self._line(receiver, self.mesh.ports.inbound)

    async def _line(self, receiver: Machine, port: int) -> Line:
        line = Line(*await asyncio.open_connection(receiver.ip, port))
        self._lines.append(line)
        return line


class Line:
    """A connection to an echo."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    def send(self, text: str) -> None:
        self._writer.write(text.encode() + b"\n")

    async def echo(self) -> str:
        return (await self._reader.readline()).decode().strip()

    async def close(self) -> None:
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    async def silent(self) -> bool:
        try:
            await asyncio.wait_for(self._reader.readline(), SHORT_S)
        except TimeoutError:
            return True
        return False


@contextlib.asynccontextmanager
async def bench(folder: Path) -> AsyncIterator[Bench]:
    made = Bench(folder)
    try:
        await made.start()
        async with asyncio.timeout(LIMIT_S):
            yield made
    finally:
        await made.stop()


def test_a_cut_holds_both_directions_between_the_named_machines_alone(tmp_path: Path) -> None:
    async def main() -> None:
        async with bench(tmp_path) as made:
            first, second = made.mesh.core
            cut_off, other = await made.named(second, first), await made.named(made.mesh.sides[0], first)
            assert first.ip not in await cut_off.echo() and await other.echo()
            with made.links.holding(first, [second]):
                for line in (cut_off, other):
                    line.send("a")
                    line.send("b")
                assert [await other.echo(), await other.echo()] == ["a", "b"]
                assert await cut_off.silent()
            assert [await cut_off.echo(), await cut_off.echo()] == ["a", "b"]

    asyncio.run(main())


@pytest.mark.parametrize("how", ["held", "delayed"])
def test_requests_that_are_held_or_delayed_arrive_late_and_in_order(how: str, tmp_path: Path) -> None:
    async def main() -> None:
        async with bench(tmp_path) as made:
            (side,) = made.mesh.sides
            line = await made.request(side)
            line.send("before")
            assert await line.echo() == "before"
            links = made.links
            fault = links.holding_requests(side) if how == "held" else links.delaying(side, 2 * SHORT_S)
            with fault:
                line.send("a")
                line.send("b")
                assert await line.silent()
                if how == "delayed":
                    assert [await line.echo(), await line.echo()] == ["a", "b"]
            if how == "held":
                assert [await line.echo(), await line.echo()] == ["a", "b"]

    asyncio.run(main())


def test_a_reset_ends_connections_and_the_link_takes_new_ones(tmp_path: Path) -> None:
    async def main() -> None:
        async with bench(tmp_path) as made:
            (side,) = made.mesh.sides
            line = await made.request(side)
            line.send("before")
            assert await line.echo() == "before"
            made.links.reset(side)
            with pytest.raises(ConnectionResetError):
                await line.echo()
            again = await made.request(side)
            again.send("after")
            assert await again.echo() == "after"

    asyncio.run(main())


def test_a_link_with_nobody_behind_it_resets_and_passes_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        mesh = Mesh(tmp_path, 1, 1, FIRST_PORT, behind_links=True)
        links = Links(mesh)
        await links.start()
        try:
            line = Line(*await asyncio.open_connection(mesh.sides[0].ip, mesh.ports.inbound))
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(line.echo(), LIMIT_S)
            await line.close()
        finally:
            await links.stop()
            await mesh.stop()

    asyncio.run(main())
