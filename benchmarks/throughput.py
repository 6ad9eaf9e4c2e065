"""Requests a second and latency of one instance against a bare TCP relay, and of fleets of 1, 2 and 4.

    python -m benchmarks.throughput                 # one instance at 32 and 200 connections, then fleets
    python -m benchmarks.throughput --part single --seconds 4 --rounds 3

All on loopback, each part a process pinned to cores of its own: callers, the relay or the instances, and an
upstream that answers at once.  Relay and balancer take turns, round by round, and the ratio is that of the
medians of their rounds.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any, cast

import uvloop

ROOT = Path(__file__).parent.parent
BODY = b'{"data": {"lot": 7, "price": 1250}}'  # also a GraphQL answer
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)
FILE = """
[installation]
name = "bench"
[fleet]
instances = {instances}
runtime_dir = "{dir}"
pin_cores = true
[[listener]]
name = "api"
address = "127.0.0.1:0"
[class.pregled]
repeats = "safe"
aim = "5s"
deadline = "5s"
[upstreams]
source = "static"
{upstreams}
[limits]
sockets = {sockets}
memory = "4GB"
[log]
level = "info"
"""


@dataclass(frozen=True, slots=True)
class Measured:
    per_s: float
    p50_ms: float
    p99_ms: float
    failed: int


# --- parts, each a process of its own


class _Answerer(asyncio.Protocol):
    """An upstream at no cost: an answer for each end of a head."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._tail = b""

    def data_received(self, data: bytes) -> None:
        data = self._tail + data
        count = data.count(b"\r\n\r\n")
        self._tail = b"" if data.endswith(b"\r\n\r\n") else data[-3:] if count else data
        if count:
            self._transport.write(ANSWER * count)


class _Relay(asyncio.Protocol):
    """Bytes from one side to the other."""

    def __init__(self, to: tuple[str, int]) -> None:
        self._to, self._other, self._early = to, None, [] if to[1] else []
        self._transport: asyncio.Transport | None = None
        self.peer: _Relay | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._to[1]:
            asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        _, peer = await asyncio.get_running_loop().create_connection(lambda: _Relay(("", 0)), *self._to)
        self.peer, peer.peer = peer, self
        assert peer._transport is not None
        for data in self._early:
            peer._transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.peer is not None and self.peer._transport is not None:
            self.peer._transport.write(data)
        else:
            self._early.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer._transport is not None:
            self.peer._transport.close()


async def _listen(make: Any) -> None:
    server = await asyncio.get_running_loop().create_server(make, "127.0.0.1", 0, backlog=4096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()


class _Caller(asyncio.Protocol):
    """One connection that asks again as soon as it is answered."""

    count = 0

    def __init__(self, took: list[float], name: str) -> None:
        self._took, self._name, self.failed = took, name, 0
        self.stopped = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._buffer = b""
        self._ask()

    def _ask(self) -> None:
        _Caller.count += 1
        self._sent = time.perf_counter()
        self._transport.write(
            b"GET /api?lot=7 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s%d\r\nX-Lane: pregled\r\n"
            b"X-Org: zadruga-drava\r\nX-Remaining-Ms: 4000\r\n\r\n" % (self._name.encode(), _Caller.count)
        )

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if not self._buffer.endswith(BODY):
            if b"\r\n\r\n" not in self._buffer or b" 200 " in self._buffer[:16]:
                return
            self.failed += 1
        self._buffer = b""
        self._took.append(time.perf_counter() - self._sent)
        if not self.stopped:
            self._ask()


async def _load(port: int, connections: int, seconds: float, name: str) -> None:
    took: list[float] = []
    loop = asyncio.get_running_loop()
    callers: list[_Caller] = []
    for i in range(connections):
        _, caller = await loop.create_connection(lambda i=i: _Caller(took, f"{name}{i}x"), "127.0.0.1", port)
        callers.append(caller)
    await asyncio.sleep(min(1.0, seconds / 4))  # warm
    took.clear()
    begun = time.perf_counter()
    await asyncio.sleep(seconds)
    lasted = time.perf_counter() - begun
    done = sorted(took)
    for caller in callers:
        caller.stopped = True
    told = {
        "per_s": len(done) / lasted,
        "p50_ms": done[len(done) // 2] * 1000 if done else 0.0,
        "p99_ms": done[int(len(done) * 0.99)] * 1000 if done else 0.0,
        "failed": sum(caller.failed for caller in callers),
    }
    print(json.dumps(told), flush=True)


# --- the measurement


class Parts:
    """Processes, each on its cores; all are ended at the end."""

    def __init__(self) -> None:
        self._started: list[subprocess.Popen[bytes]] = []
        self.cores = sorted(os.sched_getaffinity(0))

    def start(self, words: list[str], cores: list[int], **more: Any) -> subprocess.Popen[bytes]:
        chosen = {self.cores[core % len(self.cores)] for core in cores}
        process = subprocess.Popen(
            [sys.executable, *words],
            cwd=ROOT,
            preexec_fn=lambda: os.sched_setaffinity(0, chosen),
            **more,
        )
        self._started.append(process)
        return process

    def part(self, *words: str, core: int) -> int:
        """A part of this module; its port."""
        process = self.start(["-m", "benchmarks.throughput", *words], [core], stdout=subprocess.PIPE)
        return int(cast(IO[bytes], process.stdout).readline())

    def close(self) -> None:
        for process in self._started:
            process.terminate()
        for process in self._started:
            process.wait()


def fleet_up(parts: Parts, folder: Path, upstream: int, instances: int, cores: list[int]) -> int:
    rows = f'[[upstreams.static]]\nname = "u0"\naddress = "127.0.0.1:{upstream}"\n'
    text = FILE.format(instances=instances, dir=folder / "run", upstreams=rows, sockets=2048 * instances)
    path = folder / "bench.toml"
    path.write_text(text)
    words = ["-m", "brackengate.cli", "fleet", "up", str(path)]
    process = parts.start(words, cores, stderr=subprocess.PIPE)
    port, ready = 0, 0
    for line in cast(IO[bytes], process.stderr):
        if found := re.search(rb"listener api: 127\.0\.0\.1:(\d+)", line):
            port = int(found[1])
        ready += b": serving api" in line
        if ready == instances:
            break
    # From here on the log must not fill its pipe.
    os.set_blocking(cast(IO[bytes], process.stderr).fileno(), False)
    return port


def load(parts: Parts, port: int, connections: int, seconds: float, cores: list[int]) -> Measured:
    """Callers spread over the cores; rates are added, of latencies the worst process counts."""
    each = max(1, connections // len(cores))
    run = [
        parts.start(
            ["-m", "benchmarks.throughput", "--load", str(port), str(each), str(seconds), f"c{core}"],
            [core],
            stdout=subprocess.PIPE,
        )
        for core in cores
    ]
    told = [json.loads(process.communicate()[0]) for process in run]
    return Measured(
        sum(t["per_s"] for t in told),
        max(t["p50_ms"] for t in told),
        max(t["p99_ms"] for t in told),
        sum(t["failed"] for t in told),
    )


def show(name: str, rounds: list[Measured]) -> Measured:
    mid = Measured(
        statistics.median(m.per_s for m in rounds),
        statistics.median(m.p50_ms for m in rounds),
        statistics.median(m.p99_ms for m in rounds),
        sum(m.failed for m in rounds),
    )
    spread = (max(m.per_s for m in rounds) - min(m.per_s for m in rounds)) / mid.per_s
    line = f"  {name:<10} {mid.per_s:>8.0f}/s  p50 {mid.p50_ms:6.2f} ms  p99 {mid.p99_ms:7.2f} ms"
    print(f"{line}  spread {spread:.0%}  failed {mid.failed}", flush=True)
    return mid


def single(seconds: float, rounds: int) -> None:
    parts = Parts()
    try:
        with tempfile.TemporaryDirectory() as folder:
            upstream = parts.part("--answer", core=0)
            relay = parts.part("--relay", str(upstream), core=1)
            balancer = fleet_up(parts, Path(folder), upstream, 1, [2])
            for connections in (32, 200):
                print(f"one instance, {connections} connections", flush=True)
                got: dict[str, list[Measured]] = {"relay": [], "balancer": []}
                for _ in range(rounds):
                    got["relay"].append(load(parts, relay, connections, seconds, [3, 4]))
                    got["balancer"].append(load(parts, balancer, connections, seconds, [3, 4]))
                base, mine = show("relay", got["relay"]), show("balancer", got["balancer"])
                print(f"  ratio: {mine.per_s / base.per_s:.3f}", flush=True)
            parts.close()
    finally:
        parts.close()


def fleets(seconds: float, rounds: int) -> None:
    rates: dict[int, Measured] = {}
    for instances in (1, 2, 4):
        parts = Parts()
        try:
            with tempfile.TemporaryDirectory() as folder:
                upstream = parts.part("--answer", core=0)
                port = fleet_up(parts, Path(folder), upstream, instances, list(range(1, 1 + instances)))
                got = [load(parts, port, 192, seconds, [5, 6, 7]) for _ in range(rounds)]
                rates[instances] = show(f"fleet of {instances}", got)
                parts.close()
        finally:
            parts.close()
    base = rates[1].per_s
    print("  against one: " + ", ".join(f"{n}: {m.per_s / base:.2f}" for n, m in rates.items()), flush=True)


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--part", choices=("single", "fleets", "all"), default="all")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--answer", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--relay", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--load", nargs=4, help=argparse.SUPPRESS)
    args = parser.parse_args()
    try:
        if args.answer:
            uvloop.run(_listen(_Answerer))
        elif args.relay:
            uvloop.run(_listen(lambda: _Relay(("127.0.0.1", args.relay))))
        elif args.load:
            port, connections, seconds, name = args.load
            uvloop.run(_load(int(port), int(connections), float(seconds), name))
        else:
            if args.part in ("single", "all"):
                single(args.seconds, args.rounds)
            if args.part in ("fleets", "all"):
                fleets(args.seconds, args.rounds)
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
