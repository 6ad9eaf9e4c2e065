"""What fair queues cost and do: a request, a decision, and others' served share under floods.

    python -m benchmarks.queues                 # all; --part request | decide | flood | loopback

`request` is a ratio from one run, on and off by turns.  `decide` is this machine's.  `flood` is simulated
time on the real queues and the real module: the same figures every time.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

from benchmarks import throughput
from brackengate.emulator.door import BID, CLASSES, READ, Client, Simulation
from brackengate.emulator.loop import MS, S
from brackengate.emulator.upstream import Upstream
from brackengate.queues.admission import Admission, Bounds, ClassTerms, Offer
from brackengate.queues.clients import ClientBounds
from brackengate.queues.limit import LimitBounds
from brackengate.queues.scheduler import Identity
from standins import http
from standins.clients import Clients, Kind, Repeat

SECTION = '\n[queues]\nmode = "{mode}"\n'
TERMS = {cls.name: ClassTerms(cls.target_latency, cls.value) for cls in CLASSES}


def request(seconds: float, rounds: int, connections: int) -> None:
    parts, ports, plain = throughput.Parts(), dict[str, int](), throughput.FILE
    modes = ("off", "dry", "on")
    got: dict[str, list[dict[str, float]]] = {mode: [] for mode in modes}
    try:
        with tempfile.TemporaryDirectory() as folder:
            upstream = parts.part("--answer", core=0)
            for mode in modes:
                throughput.FILE = plain + SECTION.replace("{mode}", mode)
                place = Path(folder) / mode
                place.mkdir()
                ports[mode] = throughput.fleet_up(parts, place, upstream, 1, [2])
            for number in range(rounds):
                for mode, port in ports.items():
                    words = [
                        "-m",
                        "benchmarks.throughput",
                        "--load",
                        str(port),
                        str(connections),
                        str(seconds),
                    ]
                    process = parts.start([*words, f"{mode}{number}"], [3], stdout=subprocess.PIPE)
                    got[mode].append(json.loads(process.communicate()[0]))
            parts.close()
    finally:
        parts.close()
        throughput.FILE = plain
    rates = {mode: statistics.median(one["per_s"] for one in rows) for mode, rows in got.items()}
    for mode, rows in got.items():
        p50 = statistics.median(one["p50_ms"] for one in rows)
        print(f"  queues {mode:<4} {rates[mode]:>7.0f}/s  p50 {p50:6.2f} ms")
    for mode in modes[1:]:
        print(f"  cost of a request, {mode}: {rates['off'] / rates[mode]:.3f} of one without")


def decide() -> None:
    """A request's decisions while many wait: arrival, its end, and whom that lets in."""
    for clients in (10, 50_000):
        bounds = Bounds(
            clients=ClientBounds(clients=60_000, per_prefix=60_000),
            limit=LimitBounds(64, 64, 64),
            waiting=60_000,
            size=1 << 30,
        )
        terms = {name: ClassTerms(1000 * S, 1.0) for name in TERMS}
        tracemalloc.start()
        made = Admission(terms, {}, bounds, 1, b"s" * 32)
        offers = [
            Offer(f"w{n}", Identity("t", f"c{n % clients}"), "10.0.0.1", "pregled", 10**15, 600)
            for n in range(max(clients, 5000))
        ]
        empty = tracemalloc.get_traced_memory()[0]
        for offer in offers:
            made.arrive(0, offer)  # seen for the first time
        for offer in offers:
            made.gone(0, offer.name)
            made.ended(0, offer.name, False, False)
        for offer in offers:
            made.arrive(S, offer)
        each = (tracemalloc.get_traced_memory()[0] - empty) / len(offers)
        tracemalloc.stop()
        waiting, rounds = made.waiting(), 20_000
        began = time.perf_counter()
        for number in range(rounds):
            now = S + number * 100
            offer = offers[number % len(offers)]
            again = Offer(f"x{number}", offer.identity, offer.address, "pregled", 10**15, 600)
            made.arrive(now, again)
            made.ended(now, next(iter(made._out)), True, False)
        took = (time.perf_counter() - began) / rounds * 1e6
        print(
            f"  {clients:>6} clients, {waiting} wait: {took:.1f} us a request; "
            f"{each:.0f} bytes for each that waits, its client and its name"
        )


def flood(seconds: int) -> None:
    """Nine clients that bid at half their share, and one that reads at so many times its own."""
    capacity, clients = 400, 10
    share = capacity / clients
    print("  flood  queues  others served  in aim  p99 ms  flood/s  all/s")
    for times in (1, 5, 50):
        for on in (False, True):
            admission = Admission(TERMS, {}, Bounds(), 1, b"s" * 32) if on else None
            sim = Simulation(1, admission, {f"u{i}": Upstream(1, 30) for i in range(4)})
            until = seconds * S
            for i in range(clients - 1):
                client = Client(f"c{i}", share / 2, BID, end_us=until)
                client.address = lambda _, i=i: f"10.0.{i}.1"  # type: ignore[misc]
                sim.add(client)
            sim.add(Client("flood", times * share, READ, address=lambda _: "10.9.0.1", end_us=until))
            sim.run(until)
            others = [row for label, row in sim.records.items() if label != "flood"]
            items, one = sum(row.items for row in others), sim.records["flood"]
            served, in_aim = sum(r.served for r in others), sum(r.in_aim for r in others)
            p99 = max(row.quantile(0.99) for row in others) / MS
            print(
                f"  {times:>4}x  {'on' if on else 'off':<6}  {served / items:>13.4f}  {in_aim / items:.4f}"
                f"  {p99:>6.0f}  {one.served / seconds:>7.1f}  {(served + one.served) / seconds:>5.1f}"
            )


LOOPBACK = """
[class.ponudba]
repeats = "keyed"
key_memory = "4s"
aim = "410ms"
deadline = "1s"
worth = 8
[tenant.zadruga-drava]
[tenant.zadruga-mura]
[queues]
mode = "{mode}"
"""


async def _read(port: int, connections: int, seconds: float) -> None:
    """Readers that ask again as soon as they are answered, whatever the answer."""
    tries = served = 0
    until = time.monotonic() + seconds

    async def reader(number: int) -> None:
        nonlocal tries, served
        into, out = await asyncio.open_connection("127.0.0.1", port)
        while time.monotonic() < until:
            tries += 1
            headers = {"X-Txn": f"f{number}-{tries}", "X-Lane": "pregled", "X-Org": "zadruga-drava"}
            out.write(http.request("GET", "/api", {**headers, "X-Remaining-Ms": 1000}))
            answer = await http.read(into)
            if answer is None or not answer.keep_alive:
                into, out = await asyncio.open_connection("127.0.0.1", port)
            served += answer is not None and answer.status == 200

    await asyncio.gather(*(reader(number) for number in range(connections)))
    print(json.dumps({"tries": tries, "served": served}))


def loopback(seconds: float, connections: int) -> None:
    """On sockets: 60 bids a second of one tenant, beside connections of another that read without a pause.

    One upstream does 200 requests of 20 ms a second.  The bids' clients do not try again.
    """
    plain = throughput.FILE
    bids = (Kind("ponudba", Repeat.KEYED, 1.0),)
    for mode in ("off", "on"):
        parts = throughput.Parts()
        try:
            with tempfile.TemporaryDirectory() as folder:
                words = ["-m", "standins.upstream", "--slots", "4", "--work-ms", "20", "--room", "60"]
                process = parts.start(words, [0], stdout=subprocess.PIPE)
                assert process.stdout is not None
                upstream = int(process.stdout.readline().rpartition(b":")[2])
                more = LOOPBACK.replace("{mode}", mode)
                throughput.FILE = plain.replace('"5s"', '"410ms"', 1) + more
                port = throughput.fleet_up(parts, Path(folder), upstream, 1, [2])
                words = ["-m", "benchmarks.queues", "--read", str(port), str(connections), str(seconds + 2)]
                flooder = parts.start(words, [3], stdout=subprocess.PIPE)
                clients = Clients(port, 60.0, kinds=bids, retries=0, tenants=("zadruga-mura",))
                tally = asyncio.run(clients.run(asyncio.Event(), int(60 * seconds)))
                told = json.loads(flooder.communicate()[0])
                in_aim = sum(1 for one in tally.tries if one.status == 200 and one.took_s <= 0.41)
                print(
                    f"  queues {mode:<3}  bids in aim {in_aim / len(tally.tries):.3f}, served "
                    f"{tally.served() / len(tally.items):.3f}, p99 {tally.quantile(0.99) * 1000:.0f} ms, "
                    f"lost {len(tally.lost())}; flooder: {told['tries'] / (seconds + 2):.0f} tries a second, "
                    f"served {told['served'] / (seconds + 2):.0f}"
                )
        finally:
            parts.close()
            throughput.FILE = plain


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--part", choices=("request", "decide", "flood", "loopback", "all"), default="all")
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--read", nargs=3, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.read:
        asyncio.run(_read(int(args.read[0]), int(args.read[1]), float(args.read[2])))
        return
    if args.part in ("flood", "all"):
        flood(20)
    if args.part in ("decide", "all"):
        decide()
    if args.part in ("loopback", "all"):
        loopback(2 * args.seconds, 2 * args.connections)
    if args.part in ("request", "all"):
        request(args.seconds, args.rounds, args.connections)


if __name__ == "__main__":
    sys.exit(main())
