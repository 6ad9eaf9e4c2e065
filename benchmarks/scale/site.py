"""One deployment on loopback: real control replicas, a few real proxies, and processes of hollow ones."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import IO, TypeVar

import msgspec

from benchmarks.scale.orders import CHANGED_ROUTE, HOST, End, HollowPlan, Order, Report
from brackengate.meshctl.ask import MeshClient
from brackengate.protocol.messages import ReplicaStatus
from brackengate.proxy.failure_detector import KEEPALIVE_TIMEOUT_US
from standins.mesh import ROOT, Machine, Ports, Upstream, call

FEEDBACK_US = 1_500_000
ZONES = 7
SERVICES_PER_PROXY = 170 / 970  # as at the target
ROUTES_PER_SERVICE = 2
HOLLOW_PROCESSES = 40  # at most
HOLLOW_EACH = 20  # proxies of a process, while there are not that many processes
SECONDS_TO_START = 60.0
REPORT_WITHIN_S = 120.0
FIRST_PORT = 19400
Expected = TypeVar("Expected", bound=msgspec.Struct)


@dataclass(frozen=True)
class Size:
    """How much of everything: `proxies` are the real and the hollow ones together.

    `late_us`: after which a hollow proxy suspects another.  The product's own is for proxies that have a core
    each; on a machine without spare cores many that share a loop hold each other up for longer, and the
    suspicions then keep all of them busy.
    """

    proxies: int
    replicas: int = 3
    real_proxies: int = 3
    tolerance: int = 1
    late_us: int = KEEPALIVE_TIMEOUT_US

    @property
    def services(self) -> int:
        return max(1, round(self.proxies * SERVICES_PER_PROXY))

    @property
    def hollow(self) -> int:
        return self.proxies - self.real_proxies


def replica_ip(number: int) -> str:
    return f"127.40.{number + 1}.1"


def proxy_ip(number: int) -> str:
    """Of the real proxies first, then of the hollow ones."""
    return f"127.{41 + number // 10_000}.{number // 200 % 50}.{number % 200 + 1}"


def zone(number: int) -> str:
    return f"z{number % ZONES + 1}"


def settings_text(machine: Machine, ports: Ports, seeds: list[str], tolerance: int) -> str:
    """The settings file of a real process."""
    lines = [
        f'Node = "{machine.folder.name}"',
        f'Ip = "{machine.ip}"',
        f'Zone = "{machine.zone}"',
        f"InternalPorts = [{ports.internal}, {ports.internal + 3}]",
        f"Seeds = {json.dumps(seeds)}",
        "InitialStart = true",
        f'Feedback = "{FEEDBACK_US // 1000}ms"',
    ]
    listen = {"Control": ports.control}
    if machine.role == "pilot":
        lines += [f'Plant = "{machine.plant}"', f'Application = "{machine.ip}:{ports.application}"']
        listen |= {"Inbound": ports.inbound, "Outbound": ports.outbound, "Readiness": ports.readiness}
    else:
        lines.append(f'DataDir = "{machine.folder / "data"}"')
    addresses = [f'{name} = "{machine.ip}:{port}"' for name, port in listen.items()]
    tail = ["[Listen]", *addresses, "[Limits]", "FileLimit = 4100", "[Tolerance]", f"Machines = {tolerance}"]
    return "\n".join([*lines, *tail, ""])


def route(name: str, service: str, version: int) -> dict[str, object]:
    """Each version has another timeout."""
    return {
        "Name": name,
        "PathPrefix": f"/{name}/",
        "SignalKind": "idempotent",
        "Cutoff": f"{timeout_us(version) // 1000}ms",
        "Setpoint": "1s",
        "Priority": 1,
        "Plant": service,
        "MaxAttempts": 2,
        "Revision": f"r{version}",
    }


def timeout_us(version: int) -> int:
    return 2_000_000 + 1_000 * version


def first_configuration(size: Size) -> bytes:
    services = [f"s{n}" for n in range(size.services)]
    plants = [
        {"Name": name, "HealthPath": "/health", "ConnLimit": 100, "Revision": "r1"} for name in services
    ]
    paths = [route(f"{name}-{n}", name, 1) for name in services for n in range(ROUTES_PER_SERVICE)]
    return json.dumps({"Apply": {"Plants": plants, "Hosts": [{"Host": HOST, "Paths": paths}]}}).encode()


@dataclass(frozen=True)
class RealProcess:
    """A replica or a real proxy.  `address`: as the replicas name it."""

    machine: Machine
    address: str

    @property
    def pid(self) -> int:
        assert self.machine.process is not None
        return self.machine.process.pid


class HollowGroup:
    """One process of hollow proxies, and its orders."""

    def __init__(self, plan: HollowPlan, process: asyncio.subprocess.Process) -> None:
        self.plan, self.process = plan, process

    @property
    def pid(self) -> int:
        return self.process.pid

    @classmethod
    async def start(cls, plan: HollowPlan, log: IO[bytes]) -> HollowGroup:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.scale.hollow", msgspec.json.encode(plan).decode(),
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log, cwd=ROOT, limit=8 << 20,
        )  # fmt: skip
        return cls(plan, process)

    async def order(self, order: Order, expected: type[Expected]) -> Expected:
        """RuntimeError where the process ended, TimeoutError where it does not answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(msgspec.json.encode(order) + b"\n")
        async with asyncio.timeout(REPORT_WITHIN_S):
            line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"a process of hollow proxies ended, code {await self.process.wait()}")
        report: Report = msgspec.json.decode(line, type=Report)
        assert isinstance(report, expected), report
        return report

    async def stop(self) -> None:
        if self.process.returncode is None and self.process.stdin is not None:
            self.process.stdin.write(msgspec.json.encode(End()) + b"\n")
            try:
                async with asyncio.timeout(5.0):
                    await self.process.wait()
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


class Site:
    def __init__(self, folder: Path, size: Size, first_port: int) -> None:
        self.size, self.ports, self._folder = size, Ports(first_port), folder
        replicas = [
            Machine(replica_ip(n), zone(n), "lighthouse", folder / f"core-{n}") for n in range(size.replicas)
        ]
        proxies = [
            Machine(proxy_ip(n), zone(n), "pilot", folder / f"side-{n}", "s0")
            for n in range(size.real_proxies)
        ]
        self.replicas = [RealProcess(one, f"{one.ip}:{self.ports.control}") for one in replicas]
        self.proxies = [RealProcess(one, one.ip) for one in proxies]
        self.upstreams = [
            Upstream(one, self.ports.application, self.ports.control, f"i-{one.ip}", work_s=0.0)
            for one in proxies
        ]
        self.groups: list[HollowGroup] = []
        self.log = folder / "log.txt"
        self._log: IO[bytes] | None = None
        self._version = 1
        self.client = MeshClient([(one.machine.ip, self.ports.internal) for one in self.replicas])

    @property
    def seeds(self) -> list[str]:
        return [one.address for one in self.replicas[:3]]

    async def start(self) -> None:
        """All processes and the first configuration; hollow proxies wait for their order to begin."""
        self._log = self.log.open("wb")
        for machine in (one.machine for one in (*self.replicas, *self.proxies)):
            machine.folder.mkdir()
            text = settings_text(machine, self.ports, self.seeds, self.size.tolerance)
            machine.settings.write_text(text)
            machine.start(self._log)
        async with asyncio.timeout(SECONDS_TO_START):
            await self._seated()
            await self.amend(first_configuration(self.size))
        for upstream in self.upstreams:
            await upstream.start()
        plans = hollow_plans(self.size, self.ports.internal, self.seeds)
        self.groups = list(await asyncio.gather(*(HollowGroup.start(plan, self._log) for plan in plans)))

    async def _seated(self) -> None:
        """Until all replicas hold a seat."""
        while True:
            try:
                standings, _ = await self.client.statuses()
            except ExceptionGroup:
                standings = []
            if len(standings) == len(self.replicas) and all(
                one.is_member and one.has_snapshot for one in standings
            ):
                return
            await asyncio.sleep(0.2)

    async def standings(self) -> list[ReplicaStatus]:
        """Of the members, from the head to the tail; then of those that have lost their seat."""
        standings, _ = await self.client.statuses()
        order = [member.addr for member in max(standings, key=lambda one: one.epoch).members]
        return sorted(standings, key=lambda one: order.index(one.addr) if one.addr in order else len(order))

    def replica(self, address: str) -> RealProcess:
        return next(one for one in self.replicas if one.address == address)

    async def amend(self, body: bytes) -> None:
        """ValueError where it is refused."""
        while True:
            for machine in (one.machine for one in self.replicas):
                try:
                    async with asyncio.timeout(10.0):
                        target = "/v1/rpc?call=config.amend"
                        status, _, said = await call(machine.ip, self.ports.control, "POST", target, body)
                except OSError:  # TimeoutError is one
                    continue
                if status == 200:
                    return
                if status == 400:
                    raise ValueError(said.decode())
            await asyncio.sleep(0.05)

    async def change_route(self) -> tuple[int, int, int]:
        """One order that sets one route: when it was sent, when it was acknowledged, and the new timeout."""
        self._version += 1
        hosts = [{"Host": HOST, "Paths": [route(CHANGED_ROUTE, "s0", self._version)]}]
        body = json.dumps({"Apply": {"Hosts": hosts}}).encode()
        sent = time.monotonic_ns()
        await self.amend(body)
        return sent, time.monotonic_ns(), timeout_us(self._version)

    async def all(self, order: Order, expected: type[Expected]) -> list[Expected]:
        """The same order to all processes of hollow proxies."""
        return list(await asyncio.gather(*(group.order(order, expected) for group in self.groups)))

    async def stop(self) -> None:
        await asyncio.gather(*(group.stop() for group in self.groups))
        for upstream in self.upstreams:
            await upstream.stop()
        for one in (*self.replicas, *self.proxies):
            one.machine.end()
        if self._log is not None:
            self._log.close()


def hollow_plans(size: Size, port: int, seeds: list[str]) -> list[HollowPlan]:
    """The hollow proxies dealt out over as few processes as measure well."""
    numbers = range(size.real_proxies, size.proxies)
    processes = min(HOLLOW_PROCESSES, -(-size.hollow // HOLLOW_EACH))
    plans = []
    for process in range(processes):
        mine = tuple((proxy_ip(n), zone(n), f"s{n % size.services}") for n in numbers[process::processes])
        plans.append(HollowPlan(port, tuple(seeds), FEEDBACK_US, size.late_us, mine))
    return plans
