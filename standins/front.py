"""A plain front: deals out connections among balancers that say they are ready.  Bytes go through untouched.

python -m standins.front --port 8080 --to 127.0.0.1:8001 --to 127.0.0.1:8002
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from typing import cast

from standins import http

Address = tuple[str, int]


class _Pipe(asyncio.Protocol):
    """One direction of a connection; the other side's pipe is its peer."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.peer: _Pipe | None = None
        self._early: list[bytes] = []
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def join(self, peer: _Pipe) -> None:
        self.peer, peer.peer = peer, self
        for one, other in ((self, peer), (peer, self)):
            assert other.transport is not None
            for data in one._early:
                other.transport.write(data)
            if one._ended:
                other.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.write(data)
        else:
            self._early.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        if self.peer is not None and self.peer.transport is not None:
            if exc is not None:
                self.peer.transport.abort()
            else:
                self.peer.transport.close()


class Front:
    """Balancers are asked `GET /ready`; connections go in turn to those that answered 200 last."""

    def __init__(self, balancers: list[Address], every_s: float = 0.5) -> None:
        self.balancers, self._every_s = balancers, every_s
        self.ready: list[Address] = []
        self.dealt: dict[Address, int] = {}
        self.refused = 0
        self.changed = asyncio.Event()
        self._turn = 0
        self._server: asyncio.Server | None = None
        self._task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self, port: int = 0) -> Front:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accepted, "127.0.0.1", port, backlog=1024)
        self._task = loop.create_task(self._check())
        return self

    async def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()

    async def until_ready(self, count: int = 1) -> None:
        while len(self.ready) < count:
            self.changed.clear()
            await self.changed.wait()

    def _accepted(self) -> asyncio.Protocol:
        caller = _Pipe()
        task = asyncio.get_running_loop().create_task(self._deal(caller))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return caller

    async def _deal(self, caller: _Pipe) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(max(1, len(self.ready))):
            if not self.ready:
                break
            self._turn += 1
            address = self.ready[self._turn % len(self.ready)]
            try:
                _, pipe = await loop.create_connection(_Pipe, *address)
            except OSError:
                continue
            self.dealt[address] = self.dealt.get(address, 0) + 1
            caller.join(pipe)
            return
        self.refused += 1
        if caller.transport is not None:
            caller.transport.abort()

    async def _check(self) -> None:
        while True:
            answers = await asyncio.gather(*(self._is_ready(address) for address in self.balancers))
            pairs = zip(self.balancers, answers, strict=True)
            ready = [address for address, answer in pairs if answer]
            if ready != self.ready:
                self.ready = ready
                self.changed.set()
            await asyncio.sleep(self._every_s)

    async def _is_ready(self, address: Address) -> bool:
        try:
            async with asyncio.timeout(max(0.2, self._every_s)):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write(http.request("GET", "/ready", {"Connection": "close"}))
                    answer = await http.read(reader)
                finally:
                    writer.close()
        except (OSError, http.Broken):
            return False
        return answer is not None and answer.status == 200


async def _main(args: argparse.Namespace) -> None:
    pairs = [text.rpartition(":") for text in args.to]
    made = await Front([(host, int(port)) for host, _, port in pairs]).start(args.port)
    print(f"front on 127.0.0.1:{made.port}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--to", action="append", required=True, metavar="HOST:PORT")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args()))
