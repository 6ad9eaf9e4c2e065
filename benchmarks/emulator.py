"""Simulated against real seconds, and events a second, by size of the installation.

python -m benchmarks.emulator                  # --most 200: up to so many balancers
python -m benchmarks.emulator --part day       # 200 balancers, 1,000 upstreams, ten minutes
python -m benchmarks.emulator --part search    # schedules a minute
"""

from __future__ import annotations

import argparse
import logging
import time
from collections.abc import Sequence

import msgspec

from brackengate.emulator import checks, faults, hunt, report
from brackengate.emulator.scenario import Balancers, Clients, Fault, Kind, Scenario, Upstreams, load
from brackengate.emulator.world import World
from brackengate.installation.units import Duration

SIZES = ((2, 10), (10, 50), (50, 250), (200, 1000))  # balancers, upstreams
SECONDS = 20
LOAD = 0.6  # of what the upstreams can do
WORK = 100_000
DAY_RATE = 100.0  # items a second
SCHEDULES = 60
HEAD = "balancers  upstreams   items    events  simulated s  real s  events/s  us/item  broken"


def scenario(balancers: int, upstreams: int) -> Scenario:
    rate = LOAD * upstreams * 1e6 / WORK
    return Scenario(
        name="size",
        length=Duration(SECONDS * 1_000_000),
        zones=("a", "b", "c"),
        upstreams=Upstreams(count=upstreams),
        balancers=Balancers(count=balancers),
        clients=Clients(rate=rate),
        class_={
            "read": Kind(share=85.0, work=Duration(WORK)),
            "buy": Kind(share=15.0, work=Duration(WORK), repeats="unsafe"),
        },
        fault=(
            Fault(at=Duration(5_000_000), kind="roll", on="balancers", part=0.5, step=0.1),
            Fault(at=Duration(10_000_000), kind="zone", zone="b", lasts=Duration(3_000_000)),
        ),
    )


def day() -> None:
    """Thin traffic, as a fleet of this size has it; both tiers rolled, a zone lost, another cut off."""
    told = scenario(200, 1000)
    told = msgspec.structs.replace(
        told,
        length=Duration(600_000_000),
        clients=Clients(rate=DAY_RATE),
        fault=(
            Fault(at=Duration(30_000_000), kind="roll", on="balancers", part=1.0, step=0.1),
            Fault(at=Duration(120_000_000), kind="roll", part=0.5, step=0.05),
            Fault(at=Duration(240_000_000), kind="zone", zone="b", lasts=Duration(60_000_000)),
            Fault(at=Duration(450_000_000), kind="partition", zone="c", lasts=Duration(10_000_000)),
        ),
    )
    print(HEAD)
    made = played(told)
    aims = {name: int(kind.aim) for name, kind in told.class_.items()}
    for name, one in report.summarise(made, aims).classes.items():
        print(f"{name}: {one.share():.4f} of {one.items} in aim, {dict(one.ends)}")


def search() -> None:
    told = load("examples/lab/short-day.toml")
    begun = time.perf_counter()
    kinds: dict[tuple[str, ...], Scenario] = {}
    worst, score = hunt.search(told, 4, SCHEDULES, kinds=kinds)
    took = time.perf_counter() - begun
    print(f"{SCHEDULES / took * 60:.0f} schedules of {int(told.length) / 1e6:.0f} s a minute on one core")
    print(f"worst: {score.broken} breaches, {score.lost:.1%} lost, by {[one.kind for one in worst.fault]}")
    for rules, found in kinds.items():
        print(f"broken: {', '.join(rules)}, by {[one.kind for one in found.fault]}")


def played(told: Scenario) -> Sequence[checks.Record]:
    """Play it and print a line."""
    world = World(told, 1)
    faults.schedule(world)
    begun = time.perf_counter()
    records = world.run()  # judging it is no part of the time
    took = time.perf_counter() - begun
    items = sum(what == "asked" for _, what, _ in records)
    broken = sum(one.count for one in checks.verdict(records, 3.0))
    print(
        f"{told.balancers.count:9}  {told.upstreams.count:9}  {items:6}  {world.loop.events:8}"
        f"  {world.loop.now / 1e6:11.0f}  {took:6.1f}  {world.loop.events / took:8.0f}"
        f"  {took / items * 1e6:7.0f}  {broken:6}",
        flush=True,
    )
    return records


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--most", type=int, default=200)
    parser.add_argument("--part", choices=("sizes", "day", "search"), default="sizes")
    args = parser.parse_args()
    logging.disable(logging.CRITICAL)  # what balancers say of their day
    if args.part == "search":
        search()
        return
    if args.part == "day":
        day()
        return
    print(HEAD)
    for balancers, upstreams in SIZES:
        if balancers > args.most:
            break
        played(scenario(balancers, upstreams))


if __name__ == "__main__":
    main()
