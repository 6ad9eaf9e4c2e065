"""Routes, pools and xDS, measured.

    python -m benchmarks.xds --part push      # from a push to applied, by endpoints, and the loop's stalls
    python -m benchmarks.xds --part churn     # 10,000 endpoints, 1 % changed a second, for a minute
    python -m benchmarks.xds --part routes    # a request's cost with one node, 1 and 1,000 routes, by turns
    python -m benchmarks.xds --part look-up   # the table alone
    python -m benchmarks.xds --part list      # the decision module alone, told a whole list
    python -m benchmarks.xds --part idle      # processor time of a stream on which nothing comes

The control service runs in a process of its own, so that its work is not counted.  One JSON line a row.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import multiprocessing
import resource
import statistics
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import uvloop

from brackengate.balancer import Balancer
from brackengate.fleet.configured import Configured
from brackengate.fleet.counters import Counters
from brackengate.installation import settings as derived
from brackengate.installation.reading import loads
from brackengate.installation.schema import Route
from brackengate.interface import Endpoint, ListKind, Settings, UpstreamList
from brackengate.net.api import API_PATH, ApiFrontend
from brackengate.net.http import ANY_PATH
from brackengate.net.node import Clock, Node
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget, bind, parse_address
from brackengate.net.upstream import Pool as Connections
from brackengate.routing.table import RouteTable, Traits
from standins import http
from standins.control import EDS, Control, Set, endpoint, route
from standins.upstream import Shape, Upstream

FILE = """
[installation]
name = "bench"
[[listener]]
name = "api"
address = "127.0.0.1:0"
[class.pregled]
repeats = "safe"
aim = "2s"
deadline = "5s"
"""
XDS = """
[upstreams]
source = "none"
[versions]
source = "xds"
[xds]
servers = ["%s"]
incremental = %s
"""


def show(**row: object) -> None:
    print(json.dumps(row), flush=True)


def addresses(count: int, version: int, part: float) -> list[str]:
    """`part` of them are others in each version."""
    every = max(1, round(1 / part)) if part else count + 1
    return [
        f"127.1.{n // 250 + 1}.{n % 250 + 1}:{1000 + (version if n % every == 0 else 0)}"
        for n in range(count)
    ]


def made(version: int, count: int, part: float) -> Set:
    rows = [endpoint(address) for address in addresses(count, version, part)]
    return Set.of(str(version), {"p": rows}, route("all", "p"))


def service(pipe: Any) -> None:
    """The other process: pushes what it is told, and answers with the time of the push."""

    async def work() -> None:
        control = await Control().start()
        loop = asyncio.get_running_loop()
        pipe.send(control.address)
        while (told := await loop.run_in_executor(None, pipe.recv)) is not None:
            version, count, part, types = told
            next_set = made(version, count, part)
            began = time.monotonic()
            if types is None:
                control.set = next_set
            else:
                await control.push(next_set, *types)
            pipe.send(began)
        await control.stop()

    asyncio.run(work())


@contextlib.contextmanager
def control_service() -> Iterator[Any]:
    """The other process, and a pipe to it, whose first word is its address."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=service, args=(theirs,))
    process.start()
    try:
        yield ours
    finally:
        ours.send(None)
        process.join()


@dataclass(slots=True)
class Stalls:
    """How long the loop stood: lateness of a call every millisecond."""

    worst: float = 0.0
    over: int = 0  # of 10 ms
    running: bool = True

    async def watch(self) -> None:
        while self.running:
            began = time.monotonic()
            await asyncio.sleep(0.001)
            late = time.monotonic() - began - 0.001
            self.worst = max(self.worst, late)
            self.over += late > 0.01


class Bench:
    def __init__(self, address: str, incremental: bool) -> None:
        told = loads(FILE + XDS % (address, "true" if incremental else "false"))
        self.configured = Configured(told, 0, Clock(), SocketBudget(1000), Counters(lambda now: None))
        self.configured.start(told)
        self.pools = self.configured.pools

    async def until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            await asyncio.sleep(0.001)

    def has(self, address: str, count: int) -> bool:
        """Whether the decision module has been told all."""
        run = self.pools.runs.get("p")
        return (
            run is not None
            and run.telling.done()
            and run.node.serving_count() == count
            and address in run.node._rows
        )


async def push(count: int, incremental: bool, part: float) -> None:
    with control_service() as ours:
        bench = Bench(ours.recv(), incremental)
        loop = asyncio.get_running_loop()

        async def tell(*told: Any) -> float:
            ours.send(told)
            sent: float = await loop.run_in_executor(None, ours.recv)
            return sent

        stalls = Stalls()
        watch = asyncio.create_task(stalls.watch())
        first = addresses(count, 0, part)[0]
        began = time.monotonic()
        await tell(0, count, part, None)
        await bench.until(lambda: bench.has(first, count))
        whole, worst_first = time.monotonic() - began, stalls.worst
        stalls.worst, times = 0.0, []
        for version in range(1, 6):
            changed = addresses(count, version, part)[0]
            sent = await tell(version, count, part, (EDS,))
            await bench.until(lambda address=changed: bench.has(address, count))  # type: ignore[misc]
            times.append(time.monotonic() - sent)
        stalls.running = False
        await watch
        show(
            part="push",
            endpoints=count,
            incremental=incremental,
            whole_list_ms=round(whole * 1000, 1),
            worst_stall_of_that_ms=round(worst_first * 1000, 1),
            one_percent_ms=round(statistics.median(times) * 1000, 1),
            worst_stall_ms=round(stalls.worst * 1000, 1),
        )
        await bench.configured.close()


async def churn(count: int, seconds: int) -> None:
    with control_service() as ours:
        bench = Bench(ours.recv(), False)
        loop = asyncio.get_running_loop()
        ours.send((0, count, 0.01, None))
        await loop.run_in_executor(None, ours.recv)
        await bench.until(lambda: bench.has(addresses(count, 0, 0.01)[0], count))
        stalls = Stalls()
        watch = asyncio.create_task(stalls.watch())
        memory, used = [], time.process_time()
        for version in range(1, seconds + 1):
            due = time.monotonic() + 1.0
            ours.send((version, count, 0.01, (EDS,)))
            await loop.run_in_executor(None, ours.recv)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            with open("/proc/self/statm", encoding="ascii") as statm:
                memory.append(int(statm.read().split()[1]) * resource.getpagesize() // 1_000_000)
        await bench.until(lambda: bench.has(addresses(count, seconds, 0.01)[0], count))
        stalls.running = False
        await watch
        show(
            part="churn",
            endpoints=count,
            seconds=seconds,
            worst_stall_ms=round(stalls.worst * 1000, 1),
            stalls_over_10_ms=stalls.over,
            processor=round((time.process_time() - used) / seconds, 3),
            memory_mb=[memory[0], memory[len(memory) // 2], memory[-1]],
            modules_rows=len(bench.pools.runs["p"].node._rows),
            ages=len(bench.pools._ages),
        )
        await bench.configured.close()


def many_routes(count: int) -> str:
    """Routes by tenant and path, the last of which fits all."""
    rows = [
        f'[[route]]\nname = "r{n}"\ntenant = ["t{n}"]\nprefix = "/api"\npool = "p"\n'
        for n in range(count - 1)
    ]
    return "".join(rows) + '[[route]]\nname = "all"\npool = "p"\n'


async def serve(kind: int, address: str) -> Server:
    """`kind`: 0 for one node, else so many routes to one pool."""
    loop, budget, clock = asyncio.get_running_loop(), SocketBudget(1000), Clock()
    sock = bind(("127.0.0.1", 0))
    if not kind:
        told = loads(
            FILE
            + f'[upstreams]\nsource = "static"\n[[upstreams.static]]\nname = "u"\naddress = "{address}"\n'
        )
        settings = derived.settings(told)
        pool = Connections(loop, budget, settings.connect_timeout / 1e6, 60.0)
        node = Node(loop, clock, settings, Balancer(settings, 1), pool)
        node.observer = Counters(lambda now: None)  # as instances have
        node.update_upstreams(ListKind.FULL, [(Endpoint("u"), parse_address(address))])
        return Server(loop, node, budget, [sock])
    told = loads(
        FILE
        + '[upstreams]\nsource = "none"\n[versions]\nsource = "file"\n'
        + many_routes(kind)
        + f'[[pool.p.upstream]]\nname = "u"\naddress = "{address}"\n'
    )
    configured = Configured(told, 0, clock, budget, Counters(lambda now: None))
    configured.start(told)
    front = ApiFrontend(configured.pools, None, None, configured.route_of)
    return Server(loop, configured.pools, budget, [sock], frontends={API_PATH: front, ANY_PATH: front})


async def routes(rounds: int, requests: int) -> None:
    upstream = await Upstream("u", Shape(slots=1000, room=1000, work_ms=0.0)).start()
    servers = {kind: await serve(kind, upstream.address) for kind in (0, 1, 1000)}
    ports = {kind: server.start()[0] for kind, server in servers.items()}
    costs: dict[int, list[float]] = {kind: [] for kind in ports}
    number = 0
    for _ in range(rounds):
        for kind, port in ports.items():
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            began = time.process_time()
            for _ in range(requests):
                number += 1
                headers = {
                    "X-Txn": f"{number:x}",
                    "X-Lane": "pregled",
                    "X-Remaining-Ms": 5000,
                    "X-Org": "t9999",
                }
                writer.write(http.request("GET", "/api", headers))
                answer = await http.read(reader)
                assert answer is not None and answer.status == 200
            costs[kind].append((time.process_time() - began) / requests * 1e6)
            writer.close()
    base = statistics.median(costs[0])
    for kind, found in costs.items():
        cost = statistics.median(found)
        show(part="routes", routes=kind, request_us=round(cost, 1), ratio=round(cost / base, 3))


def look_up(count: int) -> None:
    table = RouteTable(
        [
            *(Route(name=f"r{n}", tenant=(f"t{n}",), prefix="/api", pool="p") for n in range(count - 1)),
            Route(name="all", split={"p": 90, "q": 10}),
        ]
    )
    asked = [Traits(path="/api", tenant=f"t{n * 7 % (2 * count)}", client=f"c{n}") for n in range(1000)]
    best = float("inf")
    for _ in range(5):
        began = time.perf_counter()
        for one in asked:
            table.pool(one)
        best = min(best, time.perf_counter() - began)
    show(part="look-up", routes=count, microseconds=round(best * 1000, 2))


def whole_list(count: int, cold: bool) -> None:
    rows = tuple(Endpoint(f"u{n}", started_at=1_000_000_000 if cold else 0) for n in range(count))
    best = float("inf")
    for _ in range(3):
        module = Balancer(Settings(classes=()), 1)
        began = time.perf_counter()
        module.handle(1_000_001_000, UpstreamList(ListKind.FULL, rows))
        best = min(best, time.perf_counter() - began)
    show(part="list", upstreams=count, cold=cold, milliseconds=round(best * 1000, 1))


async def idle(seconds: float) -> None:
    with control_service() as ours:
        bench = Bench(ours.recv(), False)
        loop = asyncio.get_running_loop()
        ours.send((0, 100, 0.0, None))
        await loop.run_in_executor(None, ours.recv)
        await bench.until(bench.pools.can_serve)
        used = time.process_time()
        await asyncio.sleep(seconds)
        with_stream = (time.process_time() - used) / seconds
        await bench.configured.close()
        used = time.process_time()
        await asyncio.sleep(seconds)
        without = (time.process_time() - used) / seconds
        show(part="idle", with_stream=round(with_stream, 5), without=round(without, 5))


async def main(args: argparse.Namespace) -> None:
    if args.part in ("push", "all"):
        for incremental in (False, True):
            for count in (100, 1000, 10_000):
                await push(count, incremental, 0.01)
    if args.part in ("churn", "all"):
        await churn(10_000, args.seconds)
    if args.part in ("routes", "all"):
        await routes(9, 1500)
    if args.part in ("look-up", "all"):
        for count in (1, 10, 100, 1000, 10_000):
            look_up(count)
    if args.part in ("list", "all"):
        for cold in (False, True):
            for count in (16, 256, 1024, 4096, 10_000):
                whole_list(count, cold)
    if args.part in ("idle", "all"):
        await idle(10.0)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--part", choices=["push", "churn", "routes", "look-up", "list", "idle", "all"], default="all"
    )
    parser.add_argument("--seconds", type=int, default=60, help="Of the churn.")
    uvloop.run(main(parser.parse_args()))
