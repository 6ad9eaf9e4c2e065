"""A proxy's own time for a call: two real proxies and a trivial upstream, each a process of its own.

The same calls go to the upstream directly and through both proxies (out of the caller's, into the callee's).
What is added is the difference of the two at the same percentile: both hops, and two more loopback
connections.
"""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import uvloop

from benchmarks.scale import usage
from benchmarks.scale.orders import CHANGED_PATH, HOST
from benchmarks.scale.site import RealProcess, Site, Size
from benchmarks.scale.slopes import Target, percentile
from standins.mesh import ROOT, Machine, Upstream

SEED = 41
CALLER_SERVICE = "s-caller"
AT_ONCE = 16
WARM = 300


class Added(msgspec.Struct, frozen=True):
    """Milliseconds of the same calls, directly and through both proxies; processor time of each proxy for a
    call.  `rate` 0: as fast as the given number of calls at once allows."""

    rate: float
    at_once: int
    calls: int
    per_s: float
    direct_p50: float
    direct_p99: float
    both_p50: float
    both_p99: float
    out_cpu_ms: float  # of the caller's proxy
    in_cpu_ms: float  # of the callee's

    @property
    def cpu_ms(self) -> float:
        return self.out_cpu_ms + self.in_cpu_ms


class Caller:
    """Kept connections to one address, one call at a time on each."""

    def __init__(self, ip: str, port: int, instance: str = "") -> None:
        self._address = ip, port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._instance = instance
        self._count = 0

    async def call(self) -> float:
        """Milliseconds; RuntimeError where it is not answered 200."""
        self._count += 1
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(*self._address)
        target = f"X-Brackengate-Target-Instance: {self._instance}\r\n" if self._instance else ""
        head = (
            f"GET {CHANGED_PATH} HTTP/1.1\r\nHost: {HOST}\r\nX-Brackengate-Attempt-Id: c{self._count}\r\n"
            f"X-Brackengate-Deadline-Ms: 2000\r\n{target}Content-Length: 0\r\n\r\n"
        )
        begun = time.perf_counter()
        writer.write(head.encode())
        said = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(said.partition("content-length: ")[2].partition("\r\n")[0])
        await reader.readexactly(length)
        took = time.perf_counter() - begun
        if not said.startswith("http/1.1 200"):
            raise RuntimeError(f"a call was answered {said.partition(chr(13))[0]}")
        self._idle.append((reader, writer))
        return took * 1e3

    def close(self) -> None:
        for _, writer in self._idle:
            writer.close()


async def as_fast(caller: Caller, calls: int, at_once: int) -> list[float]:
    """So many at once, each after the one before it."""
    numbers, took = iter(range(calls)), list[float]()

    async def one() -> None:
        for _ in numbers:
            took.append(await caller.call())

    await asyncio.gather(*(one() for _ in range(at_once)))
    return took


async def at_rate(caller: Caller, calls: int, rate: float) -> list[float]:
    """Arrivals drawn with a fixed seed, whether or not those before are answered."""
    rng, loop = random.Random(SEED), asyncio.get_running_loop()
    at, under_way = loop.time(), list[asyncio.Task[float]]()
    for _ in range(calls):
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, at - loop.time()))
        under_way.append(loop.create_task(caller.call()))
    return list(await asyncio.gather(*under_way))


class Bench:
    def __init__(self, site: Site) -> None:
        self._out, self._in = site.proxies
        machine = self._in.machine
        self._direct = Caller(machine.ip, site.ports.application, f"i-{machine.ip}")
        self._both = Caller(self._out.machine.ip, site.ports.outbound)

    async def ready(self) -> None:
        """Until calls pass both proxies."""
        async with asyncio.timeout(30.0):
            while True:
                try:
                    await as_fast(self._both, WARM, 1)
                    break
                except (OSError, RuntimeError, asyncio.IncompleteReadError):
                    await asyncio.sleep(0.1)
        await as_fast(self._direct, WARM, 1)

    async def fast(self, calls: int, at_once: int) -> Added:
        return await self._measure(0.0, at_once, lambda caller: as_fast(caller, calls, at_once))

    async def rate(self, calls: int, rate: float) -> Added:
        return await self._measure(rate, 0, lambda caller: at_rate(caller, calls, rate))

    async def _measure(
        self, rate: float, at_once: int, play: Callable[[Caller], Awaitable[list[float]]]
    ) -> Added:
        direct = await play(self._direct)
        before, begun = self._cpu(), time.perf_counter()
        both = await play(self._both)
        took, after = time.perf_counter() - begun, self._cpu()
        out_ms, in_ms = ((new - old) / len(both) * 1e3 for old, new in zip(before, after, strict=True))
        return Added(
            rate, at_once, len(both), len(both) / took, percentile(direct, 0.5), percentile(direct, 0.99),
            percentile(both, 0.5), percentile(both, 0.99), out_ms, in_ms,
        )  # fmt: skip

    def _cpu(self) -> tuple[float, float]:
        return usage.cpu_s(self._out.pid), usage.cpu_s(self._in.pid)

    def close(self) -> None:
        self._direct.close()
        self._both.close()


async def measure(quick: bool, first_port: int) -> tuple[Added, ...]:
    """One after the other, as fast as it goes, and at the target's rate for one proxy."""
    calls, repeats = (150, 1) if quick else (3_000, 3)
    with tempfile.TemporaryDirectory(prefix="calls-") as folder:
        site = Site(Path(folder), Size(2, real_proxies=2), first_port)
        upstreams: list[subprocess.Popen[bytes]] = []
        try:
            site.upstreams = []  # each is a process of its own here
            site.proxies[0].machine.plant = CALLER_SERVICE
            await site.start()
            upstreams = [start_upstream(site, one) for one in site.proxies]
            bench = Bench(site)
            await bench.ready()
            found: list[Added] = []
            for _ in range(repeats):
                found.append(await bench.fast(calls, 1))
                found.append(await bench.rate(calls // 2, Target().calls_per_proxy))
                found.append(await bench.fast(calls, AT_ONCE))
            bench.close()
            return tuple(found)
        finally:
            for process in upstreams:
                process.kill()
                process.wait()
            await site.stop()


def start_upstream(site: Site, proxy: RealProcess) -> subprocess.Popen[bytes]:
    machine, ports = proxy.machine, site.ports
    told = [machine.ip, machine.zone, machine.plant, str(ports.application), str(ports.control)]
    return subprocess.Popen([sys.executable, "-m", "benchmarks.scale.calls", *told], cwd=ROOT)


async def upstream(ip: str, zone: str, service: str, port: str, control: str) -> None:
    """A trivial upstream, until the process is killed."""
    machine = Machine(ip, zone, "upstream", Path(), service)
    await Upstream(machine, int(port), int(control), f"i-{ip}", work_s=0.0).start()
    await asyncio.get_running_loop().create_future()


if __name__ == "__main__":
    uvloop.run(upstream(*sys.argv[1:]))
