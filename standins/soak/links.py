"""Links in front of the ports of a mesh's machines, which hold, delay or reset what passes.

A link listens at a machine's address, and the machine's process behind it (`Mesh.behind_links`).  What is
held arrives late and in order, as over a network that loses packets for a while; nothing is lost or doubled.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterator

from standins import http
from standins.mesh import Machine, Mesh, inner_ip

CHUNK_BYTES = 1 << 16
ANYBODY = ""  # the sender on a link whose connections do not name it


class Links:
    """The links of one mesh: to the control replicas' internal ports, and to the proxies' `Inbound` ports."""

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._held: list[frozenset[tuple[str, str]]] = []  # pairs of addresses, in either order
        self._delays_s: dict[str, float] = {}  # by the address of the machine behind the link
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._open: dict[str, set[asyncio.StreamWriter]] = {}

    async def start(self) -> None:
        """Opens all links; the processes behind them may start later."""
        for machine in self._mesh.core:
            await self._open_link(machine, self._mesh.ports.internal, named=True)
        for machine in self._mesh.sides:
            await self._open_link(machine, self._mesh.ports.inbound, named=False)

    async def stop(self) -> None:
        """Closes the links and all connections."""
        for server in self._servers:
            server.close()
        for machine in (*self._mesh.core, *self._mesh.sides):
            self.reset(machine)

    @contextlib.contextmanager
    def holding(self, machine: Machine, others: list[Machine]) -> Iterator[None]:
        """Holds what passes between the machine and these others, in both directions."""
        with self._held_while(frozenset((machine.ip, other.ip) for other in others)):
            yield

    @contextlib.contextmanager
    def holding_requests(self, machine: Machine) -> Iterator[None]:
        """Holds what passes between the machine's `Inbound` port and all who send requests there."""
        with self._held_while(frozenset({(machine.ip, ANYBODY)})):
            yield

    @contextlib.contextmanager
    def delaying(self, machine: Machine, by_s: float) -> Iterator[None]:
        """Delays what passes the machine's link, in each direction."""
        self._delays_s[machine.ip] = by_s
        try:
            yield
        finally:
            self._delays_s.pop(machine.ip, None)

    def reset(self, machine: Machine) -> None:
        """Resets all connections through the machine's link."""
        for writer in list(self._open.get(machine.ip, ())):
            http.reset(writer)

    @contextlib.contextmanager
    def _held_while(self, pairs: frozenset[tuple[str, str]]) -> Iterator[None]:
        self._held.append(pairs)
        try:
            yield
        finally:
            self._held.remove(pairs)
            self._changed.set()
            self._changed = asyncio.Event()

    async def _open_link(self, machine: Machine, port: int, named: bool) -> None:
        """`named`: the first line on a connection is a message that names its sender."""
        self._open[machine.ip] = set()

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                first = await reader.readuntil(b"\n") if named else b""
                sender = json.loads(first)["addr"].partition(":")[0] if named else ANYBODY
                await self._relay(reader, writer, first, (sender, machine.ip), port)
            except (OSError, EOFError, ValueError, asyncio.CancelledError):
                http.reset(writer)  # nobody listens behind the link, or the link closes

        self._servers.append(await asyncio.start_server(accept, machine.ip, port))

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: bytes,
        pair: tuple[str, str],
        port: int,
    ) -> None:
        """Passes bytes both ways until either side has ended; `first`: what was read before."""
        await self._passage(pair)
        answers, onward = await asyncio.open_connection(inner_ip(pair[1]), port)
        connections = self._open[pair[1]]
        connections |= {writer, onward}
        try:
            onward.write(first)
            pumps = [
                asyncio.create_task(self._pump(source, target, pair))
                for source, target in ((reader, onward), (answers, writer))
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
            await asyncio.wait(pumps)
        finally:
            connections -= {writer, onward}
            onward.close()
            writer.close()

    async def _pump(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter, pair: tuple[str, str]
    ) -> None:
        """Passes bytes one way until they end; then the end has passed the link, too."""
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                await self._passage(pair)
                target.write(data)
                await target.drain()
        await self._passage(pair)

    async def _passage(self, pair: tuple[str, str]) -> None:
        """Returns when bytes that are sent now get to the other side."""
        delay_s = self._delays_s.get(pair[1], 0.0)
        if delay_s:
            await asyncio.sleep(delay_s)
        while any(pair in held or pair[::-1] in held for held in self._held):
            await self._changed.wait()
