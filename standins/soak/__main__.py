"""Soaks the mesh: `python -m standins.soak --seed 7 --seconds 40`.

Starts control replicas and proxies as processes on loopback, has clients, an operator and drawn disturbances
at them, and judges what these saw.  Exit code 1 if a rule was broken.  The seed gives the disturbances and
what is asked; the order in which processes answer is the machine's, so a seed does not repeat a run exactly.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path

import click

from standins.mesh import Mesh
from standins.soak.clients import Client, Operator
from standins.soak.links import Links
from standins.soak.machines import Machines
from standins.soak.plan import Disturbance, draw
from standins.soak.records import APPLY_TIME_S, CONTACT_S, Records, violations

PORTS_FROM, PORTS_PER_SEED, PORT_SLOTS = 18_400, 16, 800
CLIENTS_PER_PROXY = 2
UPSTREAM_WORK_S = (0.002, 0.3)
FINAL_PROBES, FINAL_PROBE_PAUSE_S = 3, 0.5
LOG_LINES = 40


@dataclass
class Report:
    """The outcome of one soak."""

    seed: int
    seconds: float
    disturbances: dict[str, int]
    restarts: int
    requests: int
    keyed_operations: int
    orders: int
    config_reads: int
    probes: int
    statuses: dict[str, int]
    descriptors_before: dict[str, int]
    descriptors_after: dict[str, int]
    violations: list[str]

    def text(self) -> str:
        """One line of figures, then one for each violation."""
        disturbed = ", ".join(f"{count} {name}" for name, count in sorted(self.disturbances.items()))
        head = (
            f"seed {self.seed}: {self.requests} requests, {self.keyed_operations} keyed operations,"
            f" {self.orders} orders, {self.config_reads} reads, {self.probes} probes,"
            f" {self.restarts} restarts ({disturbed}): {len(self.violations)} violations"
        )
        return "\n".join([head, *(f"  {one}" for one in self.violations)])


async def soak(
    seed: int, seconds: float, core: int, proxies: int, folder: Path, linked: bool = False
) -> Report:
    """Plays one soak.  `linked`: with links in front of the machines, which are disturbed too."""
    records = Records()
    mesh = Mesh(folder, core, proxies, first_port_of(seed), linked)
    links = Links(mesh) if linked else None
    machines, rng = Machines(mesh, records, links), random.Random(f"{seed}.work")
    for upstream in mesh.upstreams:
        upstream.work_s = rng.uniform(*UPSTREAM_WORK_S) if rng.random() < 0.5 else UPSTREAM_WORK_S[0]
    plan = draw(seed, seconds, core, proxies, linked)
    try:
        if links is not None:
            await links.start()
        await mesh.start()
        before = machines.descriptors()
        await _play(mesh, records, machines, plan, seed, seconds)
        after = machines.descriptors()
    finally:
        await mesh.stop()
        if links is not None:
            await links.stop()
    records.runs = [run for upstream in mesh.upstreams for run in upstream.ran]
    return _report(records, machines, plan, seed, seconds, (before, after))


async def _play(
    mesh: Mesh, records: Records, machines: Machines, plan: list[Disturbance], seed: int, seconds: float
) -> None:
    stop, over = asyncio.Event(), asyncio.Event()
    operator = Operator(mesh, records, seed, machines.running)
    clients = [Client(n, mesh, records, seed) for n in range(CLIENTS_PER_PROXY * len(mesh.sides))]
    watching = asyncio.create_task(machines.watch(over))
    working = asyncio.gather(operator.run(stop), *(client.run(stop) for client in clients))
    began = time.monotonic()
    await machines.carry_out(plan)
    await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))
    stop.set()
    await working
    await asyncio.sleep(APPLY_TIME_S + CONTACT_S)
    await _ask_everywhere(mesh, records, operator)
    over.set()
    await watching


async def _ask_everywhere(mesh: Mesh, records: Records, operator: Operator) -> None:
    """At rest: the configuration can be read, and each route is served at each proxy."""
    if not any([await operator.read() for _ in range(FINAL_PROBES * len(mesh.core))]):
        records.process_faults.append("no control replica answers a read of the configuration at the end")
    for route in range(operator.routes):
        for proxy in range(len(mesh.sides)):
            statuses = [await operator.probe(route, proxy, f"last.{route}.{proxy}")]
            while statuses[-1] != 200 and len(statuses) < FINAL_PROBES:
                await asyncio.sleep(FINAL_PROBE_PAUSE_S)
                statuses.append(await operator.probe(route, proxy, f"last.{route}.{proxy}.{len(statuses)}"))
            if statuses[-1] != 200:
                records.process_faults.append(
                    f"route {route} at proxy {proxy} is answered {statuses} at rest"
                )


def _report(
    records: Records,
    machines: Machines,
    plan: list[Disturbance],
    seed: int,
    seconds: float,
    descriptors: tuple[dict[str, int], dict[str, int]],
) -> Report:
    attempts = [attempt for operation in records.operations for attempt in operation.attempts]
    return Report(
        seed,
        seconds,
        dict(Counter(one.action.value for one in plan)),
        machines.restarts,
        len(attempts),
        sum(bool(operation.key) for operation in records.operations),
        len(records.orders),
        len(records.reads),
        len(records.probes),
        dict(Counter(str(attempt.status) for attempt in attempts)),
        *descriptors,
        violations(records),
    )


def first_port_of(seed: int) -> int:
    """The first port of a seed's machines: soaks of near seeds can run beside each other."""
    return PORTS_FROM + seed % PORT_SLOTS * PORTS_PER_SEED


@click.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--runs", default=1, show_default=True, help="Seeds to play, one after the other.")
@click.option("--seconds", default=40.0, show_default=True, help="How long clients are at work in each.")
@click.option("--core", default=3, show_default=True, help="Control replicas.")
@click.option("--proxies", default=6, show_default=True, help="Proxies, each with an upstream.")
@click.option("--links", is_flag=True, help="Disturb the links between machines, too.")
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Write all reports there.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep the machines' folders and log there.")
def main(
    seed: int,
    runs: int,
    seconds: float,
    core: int,
    proxies: int,
    links: bool,
    json_path: Path | None,
    keep: Path | None,
) -> None:
    """Soak the mesh on this machine under drawn signals, restarts and orders."""
    reports: list[Report] = []
    for one in range(seed, seed + runs):
        with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
            folder = Path(temporary)
            if keep is not None:
                folder = keep / str(one)
                folder.mkdir(parents=True)
            reports.append(asyncio.run(soak(one, seconds, core, proxies, folder, links)))
            print(reports[-1].text(), flush=True)
    if json_path is not None:
        json_path.write_text(json.dumps([asdict(report) for report in reports], indent=1) + "\n")
    sys.exit(any(report.violations for report in reports))


if __name__ == "__main__":
    main()
