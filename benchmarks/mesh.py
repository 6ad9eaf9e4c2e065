"""What the mesh costs and how fast it is, on loopback with real processes.

    python -m benchmarks.mesh                    # 3 lighthouses, 6 pilots
    python -m benchmarks.mesh --pilots 12 --rounds 5
    python -m benchmarks.mesh --wake             # what a pilot's memory of its requests costs, alone

Processor time of a commit on a lighthouse's disk and of its reading at a start.  Processor time for a request
on a pilot and for a claim on a lighthouse, memory, the time from an
acknowledgement to the effect on the last pilot, and the time that a keyed request waits while a killed head
is mended away.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
import time
import tracemalloc
from pathlib import Path

from brackengate.control.actions import Store
from brackengate.control.store import open_disk
from brackengate.interface import Outcome, Request
from brackengate.protocol.messages import Row
from brackengate.proxy.hop_headers import HopOutcome
from brackengate.proxy.request_log import RequestLog
from standins.mesh import LONG, Machine, Mesh, call

REQUESTS = 1500
AT_ONCE = 16
COMMITS = 1000
KEYS = 16_000


async def load(mesh: Mesh, keyed: bool, tag: str) -> float:
    """Run requests over all pilots; the seconds that it took."""
    numbers = iter(range(REQUESTS))
    begun = time.perf_counter()

    async def caller() -> None:
        for n in numbers:
            side = mesh.sides[n % len(mesh.sides)]
            key = f"{tag}-{n}" if keyed else ""
            target = "/bid/x" if keyed else "/read/x"
            status = (await mesh.request(side, target, key=key, attempt=f"{tag}{n}"))[0]
            if status != 200:
                raise SystemExit(f"a request was answered {status}")

    await asyncio.gather(*(caller() for _ in range(AT_ONCE)))
    return time.perf_counter() - begun


def cpu(machines: list[Machine]) -> float:
    return sum(machine.cpu_s() for machine in machines if machine.process is not None)


async def long(mesh: Mesh, count: int = 10) -> tuple[float, float]:
    """Of one long answer, one after the other: seconds, and processor seconds of all pilots."""
    begun, before = time.perf_counter(), cpu(mesh.sides)
    for n in range(count):
        status, _, body = await mesh.request(
            mesh.sides[n % len(mesh.sides)], "/read/long", attempt=f"long{n}"
        )
        if (status, len(body)) != (200, LONG):
            raise SystemExit(f"a long answer came as {status}, {len(body)} bytes")
    return (time.perf_counter() - begun) / count, (cpu(mesh.sides) - before) / count


async def spread(mesh: Mesh, n: int) -> tuple[float, float]:
    """Of a new route: seconds until it is acknowledged, and from there until the last pilot has it."""
    begun = time.perf_counter()
    await mesh.amend([(f"new{n}", f"/new{n}/", "idempotent")])
    acknowledged = time.perf_counter()

    async def has(side: Machine) -> None:
        while (await mesh.request(side, f"/new{n}/x"))[0] == 404:
            await asyncio.sleep(0.001)

    await asyncio.gather(*(has(side) for side in mesh.sides))
    return acknowledged - begun, time.perf_counter() - acknowledged


async def mend(mesh: Mesh, n: int) -> float:
    """Kill the head; seconds until a keyed request at another pilot is served.  Then it comes back."""
    head = mesh.core[0]
    head.end()
    begun = time.perf_counter()
    while (await mesh.request(mesh.sides[1], "/bid/x", key=f"mend-{n}", attempt=f"mend{n}"))[0] != 200:
        await asyncio.sleep(0.005)
    took = time.perf_counter() - begun
    mesh.restart(head)
    while True:
        try:
            if (await call(head.ip, mesh.ports.control, "POST", "/v1/rpc?call=config.read"))[0] == 200:
                break
        except OSError:
            pass
        await asyncio.sleep(0.05)
    mesh.core.append(mesh.core.pop(0))  # it came back as the tail: the next one is the head now
    await asyncio.sleep(1.0)
    return took


def remembering(count: int = 200_000) -> None:
    """One attempt at the way out and one visit at the gate for each request, in one process."""

    def run(request_log: RequestLog, requests: int) -> None:
        for n in range(requests):
            request, at = Request(str(n), "route", 0), n * 1_000_000
            request_log.record_request(request.request, b"%016x" % n, at, "route", "service", 500_000)
            request_log.attempt_began(request, 0, "i-7f3a91c2", at + 300)
            request_log.attempt_written(request, 0, "i-7f3a91c2")
            request_log.attempt_ended(request, 0, "i-7f3a91c2", Outcome.OK, 9_000)
            request_log.ended(request, 200 if n % 2 else 503, at, at + 9_400)
            request_log.record_ingress(
                b"%016x" % n, at, 5_000, "route", "i-7f3a91c2", b"", HopOutcome.RAN, ""
            )

    begun = time.perf_counter()
    run(RequestLog(), count)
    took = time.perf_counter() - begun
    tracemalloc.start()
    request_log = RequestLog()
    run(request_log, 5_000)
    size = tracemalloc.get_traced_memory()[0]
    each = took / count * 1e6
    print(f"remembering a request, out and at the gate: {each:.1f} us; {size / 1024:.0f} KB at most")


def store(folder: Path) -> None:
    """A claim a commit, and a start with as many keys as two windows hold at 130 a second."""
    disk, _ = open_disk(str(folder), first=True)
    for count in (COMMITS, KEYS):
        begun, used = time.perf_counter(), time.process_time()
        for commit in range(0, count, count // COMMITS):
            rows: list[tuple[int, Row]] = [
                (n, ("key", f"{count}-{n:032x}", ["10.1.0.8:8300", f"{n:016x}"]))
                for n in range(commit, commit + count // COMMITS)
            ]
            disk.write([Store({"place": rows[-1][0]}, rows)])
        took, cpu_s = time.perf_counter() - begun, time.process_time() - used
        print(
            f"a commit of {count // COMMITS}: {cpu_s / COMMITS * 1e6:.0f} us of processor time,"
            f" {took / COMMITS * 1e6:.0f} us with its sync"
        )
    disk.close()
    used = time.process_time()
    disk, kept = open_disk(str(folder), first=False)
    print(f"a start with {len(list(kept.rows))} rows: {(time.process_time() - used) * 1e3:.0f} ms of it")
    disk.close()


async def main(pilots: int, rounds: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        store(Path(folder) / "store")
        mesh = Mesh(Path(folder), pilots=pilots)
        try:
            await mesh.start()
            await load(mesh, False, "warm")
            for kind, keyed in (("read", False), ("keyed", True)):
                before = cpu(mesh.sides), cpu(mesh.core)
                took = await load(mesh, keyed, kind)
                side, core = cpu(mesh.sides) - before[0], cpu(mesh.core) - before[1]
                print(
                    f"{kind}: {REQUESTS / took:.0f} a second; pilots {side / REQUESTS * 1e3:.2f} ms a request"
                    f" (two hops), lighthouses {core / REQUESTS * 1e3:.2f} ms"
                )
            took, side = await long(mesh)
            mb = LONG / 1e6
            print(f"an answer of {mb:.0f} MB: {mb / took:.0f} MB/s, pilots {side / mb * 1e3:.1f} ms a MB")
            news = [await spread(mesh, n) for n in range(rounds * 4)]
            for which, what in enumerate(("acknowledged", "then on the last pilot")):
                ms = sorted(times[which] * 1e3 for times in news)
                print(f"a change, {what}: median {statistics.median(ms):.1f} ms, most {ms[-1]:.1f} ms")
            mends = [await mend(mesh, n) * 1e3 for n in range(rounds)]
            wait, most = statistics.median(mends), max(mends)
            print(f"the head is killed: a keyed request waits {wait:.0f} ms, most {most:.0f} ms")
            for role, machines in (("lighthouse", mesh.core), ("pilot", mesh.sides)):
                print(f"memory of a {role}: {max(one.memory_mb() for one in machines):.0f} MB at the peak")
        finally:
            await mesh.stop()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--pilots", type=int, default=6)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--wake", action="store_true")
    arguments = parser.parse_args()
    if arguments.wake:
        remembering()
    else:
        asyncio.run(main(arguments.pilots, arguments.rounds))
