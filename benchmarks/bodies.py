"""What long bodies hold and cost: memory by size and number, throughput, and a small request beside before.

    python -m benchmarks.bodies                  # all; --part memory | speed | small

`speed` and `small` are ratios within one run: through a balancer against a bare connection to its upstream.
`small --against FOLDER` also runs the package of another checkout by turns, and prints the ratio to it.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import uvloop

if TYPE_CHECKING:
    from brackengate.http.body import ByteBudget

from brackengate import interface as api
from brackengate.net.node import Clock, Node
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget, bind
from brackengate.net.upstream import Pool

BLOCK = bytes(256 << 10)
MB = 1 << 20
CLASSES = (
    api.RequestClass("read", 60_000_000, 60_000_000, api.Idempotency.REPEATABLE),
    api.RequestClass("buy", 60_000_000, 60_000_000, api.Idempotency.UNSAFE),
)
SMALL_EACH = 3000


class Module:
    """Sends each request to the one upstream: what the decision costs is not measured here."""

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        return [api.Send(event.request, "u0", 0)] if isinstance(event, api.Request) else []


async def upstream(paused: asyncio.Event) -> asyncio.Server:
    """Reads a body once `paused` is set; answers with as many bytes as X-Give asks for."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
                told = dict(line.split(b": ", 1) for line in head[1:] if b": " in line)
                left, give = int(told.get(b"content-length", 0)), int(told.get(b"x-give", 4))
                if left:
                    await paused.wait()
                while left:
                    left -= len(await reader.read(min(left, 256 << 10)))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % give)
                while give:
                    writer.write(BLOCK[: min(give, len(BLOCK))])
                    give -= min(give, len(BLOCK))
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def balancer(to: int, limit: int) -> tuple[int, ByteBudget]:
    from brackengate.http.body import ByteBudget  # not there in older checkouts, which `small` runs too

    loop, bytes_ = asyncio.get_running_loop(), ByteBudget(limit)
    budget = SocketBudget(4000)
    pool = Pool(loop, budget, 1.0, 60.0, bytes_)
    node = Node(loop, Clock(), api.Settings(classes=CLASSES, cancel=True), Module(), pool)
    node.update_upstreams(api.ListKind.FULL, [(api.Endpoint("u0"), ("127.0.0.1", to))])
    server = Server(loop, node, budget, [bind(("127.0.0.1", 0))], 4000, byte_budget=bytes_)
    return server.start()[0], bytes_


async def exchange(port: int, name: str, up: int, down: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lane, method = ("buy", "POST") if up else ("read", "GET")
    writer.write(
        f"{method} /api HTTP/1.1\r\nHost: x\r\nX-Txn: {name}\r\nX-Lane: {lane}\r\nX-Remaining-Ms: 60000\r\n"
        f"X-Give: {down}\r\nContent-Length: {up}\r\n\r\n".encode()
    )
    while up:
        writer.write(BLOCK[: min(up, len(BLOCK))])
        up -= min(up, len(BLOCK))
        await writer.drain()
    await reader.readuntil(b"\r\n\r\n")
    while down:
        data = await reader.read(min(down, 256 << 10))
        if not data:
            raise ConnectionError("cut")
        down -= len(data)
    writer.close()


def resident_kb() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024


async def memory() -> None:
    """Uploads that the upstream does not take yet: what the balancer holds of them, by number and size."""
    print("uploads  MB each  bound MB  held MB  most MB")
    for limit in (4, 16):
        for number, size in ((1, 32), (10, 32), (50, 1), (50, 32), (200, 32)):
            paused = asyncio.Event()
            server = await upstream(paused)
            port, bytes_ = balancer(server.sockets[0].getsockname()[1], limit * MB)
            tasks = [asyncio.create_task(exchange(port, f"b{n}", size * MB, 4)) for n in range(number)]
            held = -1
            while held != bytes_.in_use:  # until nothing moves any more
                held = bytes_.in_use
                await asyncio.sleep(0.5)
            print(f"{number:7}  {size:7}  {limit:8}  {held / MB:7.2f}  {bytes_.peak / MB:7.2f}")
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            server.close()


async def speed() -> None:
    """Eight bodies of 32 MB each way, bare and through a balancer by turns."""
    paused = asyncio.Event()
    paused.set()
    server = await upstream(paused)
    bare = server.sockets[0].getsockname()[1]
    port, _ = balancer(bare, 16 * MB)
    for what, up, down in (("up", 32 * MB, 4), ("down", 0, 32 * MB)):
        took: dict[int, list[float]] = {bare: [], port: []}
        for number in range(8):
            for to in (bare, port):
                begun = time.perf_counter()
                await exchange(to, f"{what}{number}", up, down)
                took[to].append(time.perf_counter() - begun)
        through, direct = (32 / statistics.median(took[to]) for to in (port, bare))
        print(f"{what}: {through:.0f} MB/s through, {direct:.0f} bare, ratio {through / direct:.2f}")


async def small() -> None:
    """Small requests on one connection, bare and through a balancer by turns: the ratio of the medians."""
    paused = asyncio.Event()
    paused.set()
    server = await upstream(paused)
    bare = server.sockets[0].getsockname()[1]
    loop = asyncio.get_running_loop()
    budget = SocketBudget(100)
    node = Node(loop, Clock(), api.Settings(classes=CLASSES), Module(), Pool(loop, budget, 1.0, 60.0))
    node.update_upstreams(api.ListKind.FULL, [(api.Endpoint("u0"), ("127.0.0.1", bare))])
    port = Server(loop, node, budget, [bind(("127.0.0.1", 0))], 100).start()[0]
    took: dict[int, list[float]] = {bare: [], port: []}
    streams = {to: await asyncio.open_connection("127.0.0.1", to) for to in took}
    for number in range(SMALL_EACH):
        for to, (reader, writer) in streams.items():
            begun = time.perf_counter()
            writer.write(
                b"POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: s%d\r\nX-Lane: buy\r\nX-Remaining-Ms: 9000\r\n"
                b"Content-Length: 100\r\n\r\n%s" % (number, BLOCK[:100])
            )
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(4)
            took[to].append(time.perf_counter() - begun)
            assert head.startswith(b"HTTP/1.1 200")
    print(statistics.median(took[port]) / statistics.median(took[bare]))


def against(folder: str) -> None:
    """This package and another checkout's by turns, each against the bare connection."""
    here = os.getcwd()
    ratios: dict[str, list[float]] = {here: [], folder: []}
    for _ in range(5):
        for where, found in ratios.items():
            command = [sys.executable, os.path.abspath(__file__), "--part", "small"]
            env = {**os.environ, "PYTHONPATH": where}
            out = subprocess.run(command, cwd=where, env=env, capture_output=True, text=True, check=True)
            found.append(float(out.stdout.split()[-1]))
    mine, other = (statistics.median(ratios[where]) for where in (here, folder))
    print(f"a small request: {mine:.2f} of a bare one, {other:.2f} in {folder}: ratio {mine / other:.3f}")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", choices=("memory", "speed", "small"))
    parser.add_argument("--against", help="another checkout, for the small request")
    told = parser.parse_args()
    if told.against:
        against(os.path.abspath(told.against))
        return
    parts: dict[str, Callable[[], object]] = {"memory": memory, "speed": speed, "small": small}
    for name, part in parts.items():
        if told.part in (None, name):
            uvloop.run(part())  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
