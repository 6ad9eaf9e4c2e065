"""Links before the internal ports of core machines, which a case can cut; processes listen behind them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time

from mesh2 import Machine, Mesh


class Link:
    """The way to a core machine's internal port.  A cut holds bytes up; a dark machine hears nothing."""

    def __init__(self, links: Links, ip: str) -> None:
        self.links, self.ip = links, ip
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accept, self.ip, self.links.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            first = await reader.readuntil(b"\n")
            sender = str(json.loads(first)["addr"]).partition(":")[0]
            self.links.dialled[sender] = (self.ip, time.monotonic())
            await self.links.passable(sender, self.ip)
            there, onward = await asyncio.open_connection(inner(self.ip), self.links.port)
            onward.write(first)
            await asyncio.gather(
                self._pump(reader, onward, sender, self.ip), self._pump(there, writer, self.ip, sender)
            )
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sender: str, receiver: str
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.links.passable(sender, receiver)
                writer.write(data)
        with contextlib.suppress(OSError):
            await self.links.passable(sender, receiver)
            writer.close()


class Links:
    """The ways between core machines, and from proxies to them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.cuts: list[tuple[set[str], set[str]]] = []  # nothing gets from the one side to the other
        self.changed = asyncio.Event()
        self.dialled: dict[str, tuple[str, float]] = {}  # by sender: whom it has dialled last, and when

    def cut(self, cuts: list[tuple[set[str], set[str]]]) -> None:
        """From now on these are cut, and no others."""
        self.cuts = cuts
        self.changed.set()
        self.changed = asyncio.Event()

    async def passable(self, sender: str, receiver: str) -> None:
        """Returns when bytes get from the one machine to the other."""
        while self._cut(sender, receiver):
            await self.changed.wait()

    def _cut(self, sender: str, receiver: str) -> bool:
        return any(
            (sender in one and receiver in other) or (sender in other and receiver in one)
            for one, other in self.cuts
        )


def inner(ip: str) -> str:
    """The address at which the process of a core machine listens behind its link."""
    head, _, last = ip.rpartition(".")
    return f"{head}.{int(last) + 50}"


class CutMesh(Mesh):
    """A mesh in which a link stands before the internal port of each core machine."""

    def write_settings(self, machine: Machine, first: bool) -> None:
        super().write_settings(machine, first)
        if machine.role == "lighthouse":
            path = machine.folder / "local.toml"
            text = path.read_text()
            path.write_text(text.replace(f'Ip = "{machine.ip}"', f'Ip = "{inner(machine.ip)}"'))
