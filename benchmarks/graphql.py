"""What a GraphQL operation costs beside a REST request, and the slowest document under the limits.

    python -m benchmarks.graphql --part cost       # operations a second: REST, cached, uncached
    python -m benchmarks.graphql --part parse      # a search for the document that takes longest to tell

Figures of `cost` are ratios from one run, REST and GraphQL by turns; those of `parse` are of this machine.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import cast

import uvloop

from benchmarks import throughput
from brackengate.graphql.analysis import Limits, analyse
from brackengate.graphql.errors import Refused

GRAPHQL = """
[class.kupi]
aim = "5s"
deadline = "5s"
[graphql]
path = "/graphql"
query_class = "pregled"
unnamed_class = "kupi"
"""
QUERY = "query Pregled($id: ID) { lot(id: $id) { cena zgodovina { cas znesek } prodajalec { ime } } }"


class _Caller(asyncio.Protocol):
    """One connection that asks again as soon as it is answered; `make` gives the next request."""

    def __init__(self, made: Callable[[], bytes], took: list[float]) -> None:
        self._made, self._took, self.stopped, self.failed = made, took, False, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._ask()

    def _ask(self) -> None:
        self._sent = time.perf_counter()
        self._transport.write(self._made())

    def data_received(self, data: bytes) -> None:
        self._took.append(time.perf_counter() - self._sent)
        self.failed += b" 200 " not in data[:16]
        if not self.stopped:
            self._ask()


def requests(kind: str, name: str) -> Callable[[], bytes]:
    count = 0

    def rest() -> bytes:
        nonlocal count
        count += 1
        return (
            b"GET /api?lot=7 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s%d\r\nX-Lane: pregled\r\n"
            b"X-Org: zadruga-drava\r\nX-Remaining-Ms: 4000\r\n\r\n" % (name.encode(), count)
        )

    def graphql() -> bytes:
        nonlocal count
        count += 1
        query = QUERY if kind == "cached" else QUERY.replace("Pregled", f"P{name}{count}")
        body = json.dumps({"query": query, "variables": {"id": str(count)}}).encode()
        return (
            b"POST /graphql HTTP/1.1\r\nHost: app.svc\r\nX-Org: zadruga-drava\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )

    return rest if kind == "rest" else graphql


async def _load(port: int, kind: str, connections: int, seconds: float, name: str) -> None:
    took: list[float] = []
    loop = asyncio.get_running_loop()
    callers: list[_Caller] = []
    for i in range(connections):
        made = requests(kind, f"{name}{i}x")
        _, caller = await loop.create_connection(lambda made=made: _Caller(made, took), "127.0.0.1", port)
        callers.append(caller)
    await asyncio.sleep(min(1.0, seconds / 4))
    took.clear()
    begun = time.perf_counter()
    await asyncio.sleep(seconds)
    lasted, done = time.perf_counter() - begun, sorted(took)
    for caller in callers:
        caller.stopped = True
    failed = sum(caller.failed for caller in callers)
    print(json.dumps({"per_s": len(done) / lasted, "p50_ms": done[len(done) // 2] * 1000, "failed": failed}))


def cost(seconds: float, rounds: int) -> None:
    parts = throughput.Parts()
    throughput.FILE += GRAPHQL
    kinds = ("rest", "cached", "uncached")
    got: dict[str, list[dict[str, float]]] = {kind: [] for kind in kinds}
    try:
        with tempfile.TemporaryDirectory() as folder:
            upstream = parts.part("--answer", core=0)
            port = throughput.fleet_up(parts, Path(folder), upstream, 1, [2])
            for number in range(rounds):
                for kind in kinds:
                    words = [
                        "-m",
                        "benchmarks.graphql",
                        "--load",
                        str(port),
                        kind,
                        "32",
                        str(seconds),
                        f"r{number}",
                    ]
                    process = parts.start(words, [3], stdout=throughput.subprocess.PIPE)
                    got[kind].append(json.loads(process.communicate()[0]))
            parts.close()
    finally:
        parts.close()
    base = statistics.median(one["per_s"] for one in got["rest"])
    for kind in kinds:
        rate = statistics.median(one["per_s"] for one in got[kind])
        p50 = statistics.median(one["p50_ms"] for one in got[kind])
        failed = sum(one["failed"] for one in got[kind])
        cost_of = base / rate
        print(
            f"  {kind:<9} {rate:>7.0f}/s  p50 {p50:6.2f} ms  against REST {cost_of:.2f}  failed {failed:.0f}"
        )


def candidates(limits: Limits, rng: random.Random) -> list[tuple[str, str]]:
    """Documents that fill the limits, each in its own way."""
    room, tokens = limits.bytes, limits.tokens
    spread = min(limits.root_fields - 1, 30)
    fragments = (tokens - 20) // 8
    last = fragments - 1
    deep = min(fragments // 2, 80)
    declared = " ".join(f"$v{i}: Int = {i}" for i in range((tokens - 12) // 6))
    return [
        ("names", "{ a { " + " ".join(f"f{i}" for i in range(tokens - 8)) + " } }"),
        ("arguments", "{ a(x: [" + " ".join(["1"] * (tokens - 12)) + "]) }"),
        ("escapes", '{ a(x: "' + "\\u0041" * ((room - 20) // 6) + '") }'),
        ("block string", '{ a(x: """' + "\n x" * ((room - 24) // 3) + '""") }'),
        ("comment", "#" + "x" * (room - 10) + "\n{ a }"),
        ("comments", "# x\n" * ((room - 10) // 4) + "{ a }"),
        ("commas", "{ a" + "," * (room - 10) + "}"),
        ("brackets", "{ a(x: " + "[" * (limits.nesting - 4) + "]" * (limits.nesting - 4) + ") }"),
        ("fragments", "{ ...F0 }" + "".join(f"fragment F{i} on Q {{ a }} " for i in range(fragments))),
        ("chain", "{ ...F0 }" + "".join(f"fragment F{i} on Q {{ ...F{i + 1} }} " for i in range(last))
         + f"fragment F{last} on Q {{ a }}"),
        ("spreads", "{ " + "...F " * spread + "} fragment F on Q { a }"),
        ("bomb", "{ a { ...F0 } }" + "".join(
            f"fragment F{i} on Q {{ b ...F{i + 1} ...F{i + 1} }} " for i in range(deep))
         + f"fragment F{deep} on Q {{ a }}"),
        ("variables", f"query Q({declared}) {{ a }}"),
        ("noise", "{ a(x: " + "".join(rng.choice('{}[]():"#\\u $@') for _ in range(room - 20))),
        ("open string", '{ a(x: "' + "\\" * (room - 20)),
        ("open block", '{ a(x: """' + '\\"' * ((room - 20) // 2)),
    ]  # fmt: skip


def parse(rounds: int) -> None:
    limits, rng = Limits(), random.Random(1)
    worst = ("", 0.0)
    for name, document in candidates(limits, rng):
        took = []
        end = "told"
        for _ in range(rounds):
            begun = time.perf_counter()
            try:
                analyse(document, limits)
            except Refused as refused:
                end = refused.code
            took.append(time.perf_counter() - begun)
        best = min(took) * 1000
        worst = max(worst, (name, best), key=lambda pair: pair[1])
        print(f"  {name:<13} {len(document.encode()):>6} bytes  {best:7.2f} ms  {end}")
    print(f"  slowest: {worst[0]}, {worst[1]:.2f} ms")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--part", choices=("cost", "parse", "all"), default="all")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--load", nargs=5, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.load:
        port, kind, connections, seconds, name = args.load
        uvloop.run(_load(int(port), kind, int(connections), float(seconds), name))
        return
    if args.part in ("parse", "all"):
        parse(args.rounds)
    if args.part in ("cost", "all"):
        cost(args.seconds, args.rounds)


if __name__ == "__main__":
    sys.exit(main())
