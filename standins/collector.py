"""A scripted collector of IPFIX and NetFlow v9 with a decoder of its own.

    python -m standins.collector --port 2055

It keeps templates by session and domain, counts what it could not read, and loss by sequence numbers; it can
be stopped, restarted with no memory, or made slow to read.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import socket
from collections import Counter
from dataclasses import dataclass, field

Element = tuple[int, int]  # enterprise, number
Values = dict[Element, bytes]


def number(data: bytes) -> int:
    return int.from_bytes(data, "big")


@dataclass(slots=True)
class Session:
    """What one exporter's session has told."""

    layouts: dict[tuple[int, int], list[tuple[Element, int]]] = field(default_factory=dict)
    expected: dict[int, int] = field(default_factory=dict)  # next sequence number by domain


@dataclass(slots=True)
class Store:
    """All that was collected, over all sessions."""

    records: list[Values] = field(default_factory=list)
    statistics: list[Values] = field(default_factory=list)
    talkers: list[Values] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)

    def take(self, session: Session, data: bytes) -> None:
        self.counts["messages"] += 1
        version = number(data[:2])
        if version == 10:
            assert number(data[2:4]) == len(data), "the length does not fit"
            domain, sequence, body = number(data[12:16]), number(data[8:12]), data[16:]
        elif version == 9:
            domain, sequence, body = number(data[16:20]), number(data[12:16]), data[20:]
        else:
            self.counts["strange"] += 1
            return
        before = sum(self.counts[name] for name in ("records", "statistics", "talkers", "unreadable"))
        while len(body) >= 4:
            set_id, length = number(body[:2]), number(body[2:4])
            assert 4 <= length <= len(body), "a set's length does not fit"
            self._set(session, version, domain, set_id, body[4:length])
            body = body[length:]
        assert not body, "bytes behind the last set"
        if domain in session.expected and sequence != session.expected[domain]:
            self.counts["lost"] += (sequence - session.expected[domain]) & 0xFFFFFFFF
        after = sum(self.counts[name] for name in ("records", "statistics", "talkers", "unreadable"))
        step = after - before if version == 10 else 1
        session.expected[domain] = (sequence + step) & 0xFFFFFFFF

    def _set(self, session: Session, version: int, domain: int, set_id: int, body: bytes) -> None:
        if set_id in (0, 2):
            self._layouts(session, domain, body, scopes=False)
        elif set_id == 3:
            self._layouts(session, domain, body, scopes=True)
        elif set_id == 1:
            self._options9(session, domain, body)
        elif (domain, set_id) not in session.layouts:
            self.counts["unreadable"] += 1
        else:
            self._data(session.layouts[domain, set_id], set_id, body)

    def _layouts(self, session: Session, domain: int, body: bytes, scopes: bool) -> None:
        while len(body) >= 4 and number(body[:2]) >= 256:
            template, count = number(body[:2]), number(body[2:4])
            body = body[6:] if scopes else body[4:]
            layout: list[tuple[Element, int]] = []
            for _ in range(count):
                element, length, body = number(body[:2]), number(body[2:4]), body[4:]
                enterprise = 0
                if element >= 0x8000:
                    enterprise, body = number(body[:4]), body[4:]
                layout.append(((enterprise, element & 0x7FFF), length))
            session.layouts[domain, template] = layout
            self.counts["templates"] += 1

    def _options9(self, session: Session, domain: int, body: bytes) -> None:
        template, scope, options = number(body[:2]), number(body[2:4]), number(body[4:6])
        body, layout = body[6:], []
        for i in range((scope + options) // 4):
            enterprise = -1 if i < scope // 4 else 0  # scopes have numbers of their own
            layout.append(((enterprise, number(body[:2])), number(body[2:4])))
            body = body[4:]
        session.layouts[domain, template] = layout

    def _data(self, layout: list[tuple[Element, int]], set_id: int, body: bytes) -> None:
        least = sum(1 if length == 65535 else length for _, length in layout)
        while len(body) >= least:
            values: Values = {}
            for element, length in layout:
                if length == 65535:
                    length, body = body[0], body[1:]
                    if length == 255:
                        length, body = number(body[:2]), body[2:]
                values[element], body = body[:length], body[length:]
                assert len(values[element]) == length, "a record is cut off"
            if set_id in (256, 257):
                self.records.append(values)
                self.counts["records"] += 1
            elif set_id == 261:
                self.statistics.append(values)
                self.counts["statistics"] += 1
            else:
                self.talkers.append(values)
                self.counts["talkers"] += 1
        assert not any(body) and len(body) < 4, "padding"

    def total(self, element: Element) -> int:
        return sum(number(values.get(element, b"")) for values in self.records)

    def flows(self) -> set[int]:
        return {number(values[0, 148]) for values in self.records}


class Collector:
    """Listens for datagrams, or for connections, on a port that stays the same over stops and starts."""

    def __init__(self, transport: str = "udp") -> None:
        self.transport, self.store = transport, Store()
        self.port = 0
        self.slow = asyncio.Event()
        self.slow.set()  # cleared: nothing is read
        self.new = asyncio.Condition()
        self.connections = 0
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._sessions: dict[object, Session] = {}
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> Collector:
        """With no memory of templates."""
        self._sessions = {}
        if self.transport == "tcp":
            self._server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
            self.port = self._server.sockets[0].getsockname()[1]
        else:
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
            self._socket.bind(("127.0.0.1", self.port))
            self.port = self._socket.getsockname()[1]
            self._task = asyncio.get_running_loop().create_task(self._receive(self._socket))
        return self

    async def stop(self) -> None:
        """Close the port: datagrams are refused (ICMP), connections reset."""
        if self._task is not None:
            self._task.cancel()
        if self._socket is not None:
            self._socket.close()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def until(self, name: str, count: int) -> None:
        """Wait until so many of `records`, `templates`, ... have come."""
        async with self.new:
            while self.store.counts[name] < count:
                await self.new.wait()

    async def _told(self) -> None:
        async with self.new:
            self.new.notify_all()

    async def _receive(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                await self.slow.wait()
                data, sender = await loop.sock_recvfrom(sock, 65536)
                self.store.take(self._sessions.setdefault(sender, Session()), data)
                await self._told()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        session = Session()
        try:
            while True:
                await self.slow.wait()
                head = await reader.readexactly(4)
                rest = await reader.readexactly(number(head[2:]) - 4)
                self.store.take(session, head + rest)
                await self._told()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _main(args: argparse.Namespace) -> None:
    made = Collector(args.transport)
    made.port = args.port
    await made.start()
    print(f"collector on {made.address}", flush=True)
    while True:
        await asyncio.sleep(5)
        print(dict(made.store.counts), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--transport", choices=("udp", "tcp"), default="udp")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args()))
