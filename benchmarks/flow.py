"""What flow export costs: a request with it on and off, bids with the collector stopped, records a second.

    python -m benchmarks.flow                 # all; --part cost | bids | records

`cost` and `bids` are measured by turns in one run.  `bids` compares distributions by a permutation test of
the medians, and says which difference it would have found.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from benchmarks import throughput
from brackengate.flow import ipfix
from brackengate.flow.cache import Cache, Limits
from brackengate.flow.exporter import Exporter, Options, UdpLink
from brackengate.flow.records import Kind
from standins.clients import AUCTION, Clients
from standins.collector import Collector
from standins.upstream import Shape, Upstream


def cost(seconds: float, rounds: int) -> None:
    parts, plain, ports = throughput.Parts(), throughput.FILE, dict[str, int]()
    got: dict[str, list[throughput.Measured]] = {"off": [], "on": []}
    try:
        with tempfile.TemporaryDirectory() as off, tempfile.TemporaryDirectory() as on:
            upstream = parts.part("--answer", core=0)
            words = ["-m", "standins.collector"]
            collector = parts.start(words, [4], stdout=subprocess.PIPE)
            assert collector.stdout is not None
            port = int(collector.stdout.readline().rpartition(b":")[2])
            for kind, folder in (("off", off), ("on", on)):
                section = f'[flow]\ncollector = "127.0.0.1:{port}"\n' if kind == "on" else ""
                throughput.FILE = plain + section
                ports[kind] = throughput.fleet_up(parts, Path(folder), upstream, 1, [2])
            for _ in range(rounds):
                for kind, at in ports.items():
                    got[kind].append(throughput.load(parts, at, 32, seconds, [3]))
            parts.close()
    finally:
        parts.close()
        throughput.FILE = plain
    off_, on_ = throughput.show("off", got["off"]), throughput.show("on", got["on"])
    print(f"  cost of a request with export: {off_.per_s / on_.per_s:.3f} of one without")


async def _bids(rounds: int, seconds: float) -> None:
    """Open-loop bids at a moderate rate, in slices: off, collector up, collector stopped."""
    ups = [await Upstream(f"u{i}", Shape(64, 256, 5)).start() for i in range(3)]
    collector = await Collector().start()
    took: dict[str, list[float]] = {"off": [], "up": [], "stopped": []}
    processes = []
    try:
        ports: dict[str, int] = {}
        for kind in ("off", "on"):
            folder = Path(tempfile.mkdtemp())
            rows = "".join(f'[[upstreams.static]]\nname = "{u.name}"\naddress = "{u.address}"\n' for u in ups)
            text = throughput.FILE.format(instances=1, dir=folder / "run", upstreams=rows, sockets=2048)
            if kind == "on":
                text += f'[flow]\ncollector = "{collector.address}"\n'
            (folder / "b.toml").write_text(text)
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "brackengate.cli", "serve", str(folder / "b.toml"),
                cwd=throughput.ROOT, stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            processes.append(process)
            assert process.stderr is not None
            line = b""
            while b"serving api on" not in line:
                line = await process.stderr.readline()
            ports[kind] = int(line.rpartition(b":")[2])
        for _ in range(rounds):
            for kind in ("off", "up", "stopped"):
                if kind == "stopped":
                    await collector.stop()
                clients, until = (
                    Clients(ports["off" if kind == "off" else "on"], 150, kinds=AUCTION[:1]),
                    asyncio.Event(),
                )
                asyncio.get_running_loop().call_later(seconds, until.set)
                tally = await clients.run(until)
                took[kind] += [t.took_s * 1000 for t in tally.tries if t.status == 200]
                if kind == "stopped":
                    await collector.start()
    finally:
        for process in processes:
            process.terminate()
            await process.wait()
    rng = random.Random(1)
    base = took["off"]
    for kind in ("up", "stopped"):
        other = took[kind]
        change = statistics.median(other) - statistics.median(base)
        pool, spread = base + other, []
        for _ in range(400):
            rng.shuffle(pool)
            spread.append(abs(statistics.median(pool[: len(base)]) - statistics.median(pool[len(base) :])))
        spread.sort()
        chance = sum(one >= abs(change) for one in spread) / len(spread)
        found = spread[int(0.95 * len(spread))]
        share = change / statistics.median(base)
        median = statistics.median(other)
        told = f"{share:+.1%} (p {chance:.2f}); differences over {found:.3f} ms would show; n {len(other)}"
        print(f"  collector {kind:<8} median {median:.3f} ms, {told}")
    print(f"  export off         median {statistics.median(base):.3f} ms; n {len(base)}")


async def _records(count: int) -> None:
    collector = await Collector().start()
    collector.slow.clear()  # who only sends
    cache = Cache(Limits(waiting=count + 1))
    link = UdpLink(("127.0.0.1", collector.port), lambda: ipfix.Encoder(1, 32_473), Options(queue=count + 1))
    exporter = Exporter(cache, [link], Options())
    for port in range(count):
        flow = cache.open(0, Kind.CLIENT, ("127.0.0.9", port % 65_536), ("127.0.0.1", 80))
        flow.received(10)
        flow.request("ponudba", "zadruga-drava", False, 1000)
        cache.close(1, flow)
    begun = time.perf_counter()
    while link.flows < count:
        exporter._work(time.time(), time.perf_counter() + 0.0008)
    lasted = time.perf_counter() - begun
    exporter.start()
    await asyncio.sleep(1)
    told = f"{count / lasted:,.0f} records a second with the loop to itself"
    print(f"  {told}; worst slice {exporter.worst_slice_us} us")
    exporter.close()
    await collector.stop()


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--part", choices=("cost", "bids", "records", "all"), default="all")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=3)
    args = parser.parse_args()
    if args.part in ("records", "all"):
        asyncio.run(_records(50_000))
    if args.part in ("cost", "all"):
        cost(args.seconds, args.rounds)
    if args.part in ("bids", "all"):
        asyncio.run(_bids(args.rounds, args.seconds))


if __name__ == "__main__":
    sys.exit(main())
