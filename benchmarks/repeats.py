"""What recognising repeats costs: a request with the table on and off, a key's bytes, look-ups, recovery.

    python -m benchmarks.repeats                 # all; --part request | table | journal

`request` is a ratio from one run, on and off by turns; the others are figures of this machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import cast

import uvloop

from benchmarks import throughput
from brackengate.repeats.journal import Journal
from brackengate.repeats.table import Answer, Bounds, Identity, Table

SECTION = """
[class.ponudba]
repeats = "keyed"
key_memory = "4s"
aim = "5s"
deadline = "5s"
[repeats]
client = "{client}"
memory = "256MB"
"""


class _Bidder(asyncio.Protocol):
    """One connection that bids again, each time with a new key, as soon as it is answered."""

    count = 0

    def __init__(self, took: list[float], name: str) -> None:
        self._took, self._name, self.stopped, self.failed = took, name, False, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._ask()

    def _ask(self) -> None:
        _Bidder.count += 1
        self._sent = time.perf_counter()
        name = b"%s%d" % (self._name.encode(), _Bidder.count)
        self._transport.write(
            b"POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: ponudba\r\nX-Client: c\r\n"
            b"Idempotency-Key: %s\r\nX-Org: zadruga-drava\r\nX-Remaining-Ms: 4000\r\n"
            b'Content-Length: 10\r\n\r\n{"lot": 7}' % (name, name)
        )

    def data_received(self, data: bytes) -> None:
        self._took.append(time.perf_counter() - self._sent)
        self.failed += b" 200 " not in data[:16]
        if not self.stopped:
            self._ask()


async def _load(port: int, seconds: float, name: str) -> None:
    took: list[float] = []
    loop = asyncio.get_running_loop()
    bidders: list[_Bidder] = []
    for i in range(32):
        made = f"{name}{i}x"
        _, bidder = await loop.create_connection(lambda made=made: _Bidder(took, made), "127.0.0.1", port)
        bidders.append(bidder)
    await asyncio.sleep(min(1.0, seconds / 4))
    took.clear()
    begun = time.perf_counter()
    await asyncio.sleep(seconds)
    lasted, done = time.perf_counter() - begun, sorted(took)
    for bidder in bidders:
        bidder.stopped = True
    failed = sum(bidder.failed for bidder in bidders)
    print(json.dumps({"per_s": len(done) / lasted, "p50_ms": done[len(done) // 2] * 1000, "failed": failed}))


def request(seconds: float, rounds: int) -> None:
    parts, ports, plain = throughput.Parts(), dict[str, int](), throughput.FILE
    got: dict[str, list[dict[str, float]]] = {"off": [], "header": []}
    try:
        with tempfile.TemporaryDirectory() as off, tempfile.TemporaryDirectory() as on:
            upstream = parts.part("--answer", core=0)
            for kind, folder in (("header", on), ("off", off)):
                throughput.FILE = plain + SECTION.replace("{client}", kind)
                ports[kind] = throughput.fleet_up(parts, Path(folder), upstream, 1, [2])
            for number in range(rounds):
                for kind, port in ports.items():
                    words = ["-m", "benchmarks.repeats", "--load", str(port), str(seconds), f"{kind}{number}"]
                    process = parts.start(words, [3], stdout=subprocess.PIPE)
                    got[kind].append(json.loads(process.communicate()[0]))
            parts.close()
    finally:
        parts.close()
        throughput.FILE = plain
    rates = {kind: statistics.median(one["per_s"] for one in rows) for kind, rows in got.items()}
    for kind, rows in got.items():
        p50, failed = statistics.median(one["p50_ms"] for one in rows), sum(one["failed"] for one in rows)
        print(f"  table {kind:<7} {rates[kind]:>7.0f}/s  p50 {p50:6.2f} ms  failed {failed:.0f}")
    print(f"  cost of a request with the table: {rates['off'] / rates['header']:.3f} of one without")


def table() -> None:
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    made = Table(Bounds(bytes=1 << 32), os.urandom(32))
    answer = Answer(b'{"ok": true}', b"application/json")
    count = 0
    for most in (100_000, 1_000_000):
        while count < most:
            identity = Identity("t", "c", "bid", b"%032d" % count)
            made.arrive(count, identity, b"d" * 16, "r", 1)
            made.answered(count, identity, "r", answer)
            count += 1
        if most == 100_000:
            each = (tracemalloc.get_traced_memory()[0] - base) / count
            counted = made.size() / count
            tracemalloc.stop()  # it slows the rest
            print(f"  a key of 32 bytes, an answer of 12: {each:.0f} bytes, counted as {counted:.0f}")
        begun = time.perf_counter()
        for number in range(0, 100_000):
            made.arrive(count, Identity("t", "c", "bid", b"%032d" % (number % count)), b"d" * 16, "r", 1)
        print(f"  a look-up among {count:>9,}: {(time.perf_counter() - begun) * 10:.2f} us")


async def _journal(count: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        journal = Journal(path, "r", 3_600_000_000, sync=False, every_s=0.0, max_bytes=1 << 32)
        journal.start(Table(Bounds(), journal.secret), [], lambda: time.time_ns() // 1000)
        answer = Answer(b'{"ok": true}', b"application/json")
        for number in range(count):
            journal.keep(Identity("t", "c", "bid", b"%032d" % number), b"d" * 16, answer)
            if number % 10_000 == 0:
                await asyncio.sleep(0.005)
        await journal.close()
        journal.path.rename(path / "r-1.journal")
        size = (path / "r-1.journal").stat().st_size
        begun = time.perf_counter()
        again = Journal(path, "r", 3_600_000_000)
        records = again.read()
        made = Table(Bounds(bytes=1 << 32), again.secret)
        again.fill(made, records, time.time_ns() // 1000)
        lasted = time.perf_counter() - begun
        print(f"  recovery of {again.recovered:,} keys ({size / 1e6:.0f} MB): {lasted:.2f} s")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--part", choices=("request", "table", "journal", "all"), default="all")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--keys", type=int, default=1_000_000)
    parser.add_argument("--load", nargs=3, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.load:
        uvloop.run(_load(int(args.load[0]), float(args.load[1]), args.load[2]))
        return
    if args.part in ("table", "all"):
        table()
    if args.part in ("journal", "all"):
        asyncio.run(_journal(args.keys))
    if args.part in ("request", "all"):
        request(args.seconds, args.rounds)


if __name__ == "__main__":
    sys.exit(main())
