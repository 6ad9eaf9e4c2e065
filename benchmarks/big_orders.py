"""What a large order costs, by its routes and by the proxies, over small links in simulated time.

    python -m benchmarks.big_orders                        # the whole table, and its chart
    python -m benchmarks.big_orders --case 1500 60 plain   # one case, as JSON
    python -m benchmarks.big_orders --tree ../elsewhere --label before   # control code of another checkout

The roles as they are, in `lab`: four control replicas with 100 Mbit/s, proxies with 2 Mbit/s, 2 requests a
second at each proxy on the same links; one order.  Told of each case: the seconds from the order's sending to
its acknowledgement, and from there until it is in force at the last proxy (0: it was before); bytes that the
control replicas sent from the order's sending until it is in force, without headers; the share of requests
that end in their aim; the longest step of a replica and of a proxy meanwhile, in processor time of this
machine with the collector off; and the memory of the whole run.  Another checkout needs this one's emulator.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import gc
import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
RESULTS = HERE / "results"
ROUTES, PROXIES = (100, 500, 1_500, 4_000, 10_000), (10, 60, 300)
MANY_PROXIES = (1_500,)  # the only sizes of orders that are sent to the most proxies
REQUESTS = 2.0  # a second, at each proxy
LIMIT_S = 300.0
PLAIN, RANDOM = "plain", "random"
SCENARIO = """
kind = "mesh"
name = "big-orders"
names = "plain"
length = "{length}s"
link = 2.0
core_link = 100.0
[core]
count = 4
[service.a]
pilots = {a}
[service.b]
pilots = {b}
[service.c]
pilots = {c}
[route.read]
service = "a"
rate = {rate}
deadline = "1s"
[[fault]]
at = "2s"
kind = "big_order"
routes = {routes}
content = "{content}"
"""


@dataclass(frozen=True)
class Case:
    """Times in seconds; -1: it did not come to that."""

    routes: int
    proxies: int
    content: str
    acknowledged: float = -1.0
    last_proxy: float = -1.0
    megabytes: float = 0.0
    in_aim: float = 0.0
    longest_step_ms: float = 0.0  # of a control replica
    proxy_step_ms: float = 0.0  # the same of a proxy
    peak_mb: float = 0.0
    rules: tuple[str, ...] = ()
    failed: str = ""


# --- one case


def play(routes: int, proxies: int, content: str) -> Case:
    from brackengate.emulator.mesh import checks, faults
    from brackengate.emulator.mesh.ground import RoleProcess
    from brackengate.emulator.mesh.play import MeshRun, summarise
    from brackengate.emulator.mesh.scenario import parse_scenario
    from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, World
    from brackengate.emulator.network import DATA, Network

    length = 12 + routes // 500
    third = max(1, proxies // 3)
    counts = {"a": third, "b": third, "c": max(1, proxies - 2 * third)}
    rate = REQUESTS * proxies
    text = SCENARIO.format(length=length, rate=rate, routes=routes, content=content, **counts)
    told = parse_scenario(text, "big-orders.toml", ())
    world = World(told, 1)
    core = {machine.ip for machine in world.control_machines}
    sent = 0
    longest = {True: 0, False: 0}  # nanoseconds; of replicas, of proxies
    acknowledged = last_proxy = -1
    enter, carry = RoleProcess.enter, Network.carry

    def running() -> bool:
        return world.loop.now > FIRST_REQUEST_AT_US + 2_000_000 and min(acknowledged, last_proxy) < 0

    def timed(process: RoleProcess, do: Callable[[], Any]) -> None:
        begun = time.thread_time_ns()
        enter(process, do)
        if running():
            of = process.name.startswith("l")
            longest[of] = max(longest[of], time.thread_time_ns() - begun)

    def counted(net: Network, end: Any, kind: int, data: bytes, more: int = 0) -> None:
        nonlocal sent
        if kind == DATA and end.zone in core and running():
            sent += len(data)
        carry(net, end, kind, data, more)

    def look() -> None:
        nonlocal last_proxy
        if all(_in_force(machine.role, routes - 1) for machine in world.proxy_machines):
            last_proxy = world.loop.now
        else:
            world.loop.after(5_000, look)

    def acked() -> None:
        nonlocal acknowledged
        if not any(len(change.items) == routes for change in world.operators.history):
            world.operators.on_next_ack.append(acked)
            return
        acknowledged = world.loop.now

    world.operators.on_next_ack.append(acked)
    world.loop.after(FIRST_REQUEST_AT_US + 2_000_000, look)
    gc.disable()
    RoleProcess.enter, Network.carry = timed, counted  # type: ignore[method-assign]
    try:
        records = world.run(faults.schedule(world), faults.end_time(told))
    finally:
        RoleProcess.enter, Network.carry = enter, carry  # type: ignore[method-assign]
    names = {machine.ip: machine.name for machine in (*world.control_machines, *world.proxy_machines)}
    seen = checks.History(records, told.limits, names, FIRST_REQUEST_AT_US + int(told.length))
    made = MeshRun(world, checks.check_history(seen), summarise(records, told))
    begun = FIRST_REQUEST_AT_US + 2_000_000
    return Case(
        routes,
        proxies,
        content,
        (acknowledged - begun) / 1e6 if acknowledged >= 0 else -1.0,
        max(0, last_proxy - acknowledged) / 1e6 if min(last_proxy, acknowledged) >= 0 else -1.0,
        sent / 1e6,
        made.worth,
        longest[True] / 1e6,
        longest[False] / 1e6,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        made.rules,
    )


def _in_force(role: Any, number: int) -> bool:
    return role is not None and role.table.find("h.example", f"/z{number}/x") is not None


# --- all of them


def cases() -> list[tuple[int, int, str]]:
    found = [(routes, proxies, PLAIN) for proxies in PROXIES[:-1] for routes in ROUTES]
    found += [(routes, PROXIES[-1], PLAIN) for routes in MANY_PROXIES]
    return [*found, (1_500, 10, RANDOM), (1_500, 60, RANDOM), (4_000, 10, RANDOM)]


def run(case: tuple[int, int, str], tree: Path, limit_s: float) -> Case:
    command = [sys.executable, str(Path(__file__).resolve()), "--case", *map(str, case)]
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    try:
        done = subprocess.run(
            command, env=environment, capture_output=True, text=True, timeout=limit_s, check=False
        )
    except subprocess.TimeoutExpired:
        return Case(*case, failed=f"not over after {limit_s:.0f} s")
    if done.returncode:
        return Case(*case, failed=done.stderr.strip().splitlines()[-1][:120])
    return read_case(json.loads(done.stdout.splitlines()[-1]))


def read_case(told: dict[str, Any]) -> Case:
    return Case(**{**told, "rules": tuple(told["rules"])})


def table(label: str, found: Sequence[Case]) -> str:
    lines = [
        f"{label}",
        f"{'routes':>7} {'proxies':>8} {'content':>8} {'acked s':>8} {'last proxy s':>13} {'core MB':>8}"
        f" {'in aim':>7} {'core ms':>8} {'proxy ms':>8} {'peak MB':>8}  rules broken",
    ]
    for one in found:
        if one.failed:
            lines.append(f"{one.routes:7} {one.proxies:8} {one.content:>8}  FAILED: {one.failed}")
            continue
        lines.append(
            f"{one.routes:7} {one.proxies:8} {one.content:>8} {one.acknowledged:8.3f} {one.last_proxy:13.3f}"
            f" {one.megabytes:8.2f} {one.in_aim:7.3f}"
            f" {one.longest_step_ms:8.1f} {one.proxy_step_ms:8.1f} {one.peak_mb:8.0f}  {', '.join(one.rules)}"
        )
    return "\n".join([*lines, ""])


def chart(labelled: dict[str, list[Case]], path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for label, found in labelled.items():
        for proxies in PROXIES[:-1]:
            points = [one for one in found if (one.proxies, one.content, one.failed) == (proxies, PLAIN, "")]
            routes, name = [one.routes for one in points], f"{label}, {proxies} proxies"
            late = [max(one.last_proxy, 0.001) if one.last_proxy >= 0 else None for one in points]
            left.plot(routes, late, marker="o", label=name)
            right.plot(routes, [one.megabytes for one in points], marker="o", label=name)
    titles = "s from the acknowledgement to the last proxy", "MB sent by the core"
    for axes, title in zip((left, right), titles, strict=True):
        axes.set(xscale="log", yscale="log", xlabel="routes in the order", title=title)
        axes.grid(alpha=0.3)
        axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--case", nargs=3, metavar=("ROUTES", "PROXIES", "CONTENT"))
    parser.add_argument("--tree", type=Path, default=HERE.parent)
    parser.add_argument("--label", default="now")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--most-routes", type=int, default=ROUTES[-1])
    parser.add_argument("--most-proxies", type=int, default=PROXIES[-1])
    parser.add_argument("--limit", type=float, default=LIMIT_S, help="seconds that a case may take")
    told = parser.parse_args()
    if told.case:
        routes, proxies, content = told.case
        print(json.dumps(asdict(play(int(routes), int(proxies), content))))
        return
    chosen = [one for one in cases() if one[0] <= told.most_routes and one[1] <= told.most_proxies]
    with concurrent.futures.ThreadPoolExecutor(told.jobs) as pool:
        found = list(pool.map(lambda case: run(case, told.tree.resolve(), told.limit), chosen))
    held = RESULTS / "big_orders.json"
    labelled = json.loads(held.read_text()) if held.exists() else {}
    labelled[told.label] = [asdict(one) for one in found]
    held.write_text(json.dumps(labelled, indent=1) + "\n")
    read = {label: [read_case(one) for one in rows] for label, rows in labelled.items()}
    (RESULTS / "big_orders.txt").write_text("\n".join(table(label, rows) for label, rows in read.items()))
    chart(read, RESULTS / "big_orders.png")
    print(table(told.label, found))


if __name__ == "__main__":
    main()
