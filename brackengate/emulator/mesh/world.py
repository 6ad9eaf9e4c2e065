"""A mesh: core machines and machines with pilots, upstreams, callers and operators.

The roles are the program itself (`proxy/role.py`, `control/role.py`) on an emulated machine; the rest are
models.  All that callers, upstreams and operators see goes into `records`; the roles are not asked.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial

from brackengate.control.role import ControlReplica
from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.disk import EmulatedDisk, ProcessDisk
from brackengate.emulator.mesh.ground import MachineNetwork, RoleProcess, create_environment
from brackengate.emulator.mesh.people import Callers, Operators
from brackengate.emulator.mesh.scenario import MeshScenario
from brackengate.emulator.mesh.upstream import Upstream
from brackengate.net.sockets import Address
from brackengate.protocol.settings import Settings, parse
from brackengate.proxy.role import Proxy

STARTS = 250 * MS  # from a process to its first step
RESTART_DELAY_US = 300 * MS  # from a process's end to the next one
FIRST_REQUEST_AT_US = 10 * S  # from the machines' start to the first request
SETTLE = 5 * S  # after the last request, until all is answered
INBOUND, APPLICATION, READINESS, OUTBOUND, CONTROL, INTERNAL = 8300, 8301, 8302, 8304, 8306, 7620

Record = tuple[int, str, tuple[object, ...]]  # when, what, and of whom


class Machine:
    """What outlasts its processes: address, disk, clock, and whether it has power."""

    def __init__(self, world: World, name: str, ip: str, zone: str, plant: str) -> None:
        self.world, self.name, self.ip, self.zone, self.service = world, name, ip, zone, plant
        self.is_control = name.startswith("l")
        self.next_service = plant  # of its next process
        self.clock_offset = 0  # of its time of day, as its next process sees it
        self.in_rotation = False  # whether clients come to its pilot
        self.started = False  # it has been started
        self.removed = False  # for good, or until it comes as another machine
        self.removed_at = -1  # when it went last
        self.powered = True
        self.upstream: Upstream | None = None
        self.role: Proxy | ControlReplica | None = None
        self.rng = random.Random(f"{world.seed}/{name}")
        self.process = RoleProcess(world.loop, world.net, ip, name, self.rng)
        self.process.alive = False
        world.net.zones[ip] = zone
        world.net.set_bandwidth(ip, world.scenario.core_link if self.is_control else world.scenario.link)
        sync = int(world.scenario.core.sync)
        self.disk = EmulatedDisk(world.loop, random.Random(f"{world.seed}/{name}/disk"), sync)

    @property
    def outbound(self) -> Address:
        return self.ip, OUTBOUND

    @property
    def readiness(self) -> Address:
        return self.ip, READINESS

    # --- its process

    def start(self, first: bool = False) -> None:
        if self.process.alive or self.removed or not self.powered:
            return
        world = self.world
        self.started, self.role, self.service = True, None, self.next_service
        rng = random.Random(self.rng.getrandbits(64))
        process = self.process = RoleProcess(world.loop, world.net, self.ip, self.name, rng)
        world.trace("up", self.name)
        text = world.settings(self, first)
        process.call_later(self.rng.uniform(0.8, 1.4) * STARTS / 1e6, self._run, process, parse(text))

    def _run(self, process: RoleProcess, settings: Settings) -> None:
        world = self.world
        ground = create_environment(
            process, world.loop, world.net, random.Random(self.rng.getrandbits(64)), self.clock_offset
        )
        if self.is_control:
            light = ControlReplica(settings, ground, ProcessDisk(self.disk, process))
            self.role = light
            task = process.create_task(light.run())
            task.add_done_callback(lambda _: world.loop.after(0, partial(self._left, process)))
        else:
            pilot = Proxy(settings, lambda: parse(world.settings(self, False)), ground)
            self.role = pilot
            pilot.exited.add_done_callback(lambda _: world.loop.after(0, partial(self._left, process)))
            pilot.start()

    def _left(self, process: RoleProcess) -> None:
        """In order; the platform starts it again."""
        if process.alive:
            self.kill("left")
            self.world.loop.after(RESTART_DELAY_US, self.start)

    def kill(self, what: str = "down") -> None:
        if self.process.alive:
            self.world.trace(what, self.name)
            self.disk.crash(power=False)
            self.process.die()

    def terminate(self) -> None:
        """As the platform stops it: SIGTERM, and SIGKILL after `Grace`; then it starts again."""
        process = self.process
        if not process.alive or self.role is None:
            return
        self.world.trace("term", self.name)
        process.enter(self.role.stop)
        self.world.loop.after(int(self.world.scenario.limits.grace), partial(self._too_late, process))

    def _too_late(self, process: RoleProcess) -> None:
        if process.alive:
            self.kill()
            self.world.loop.after(RESTART_DELAY_US, self.start)

    # --- power

    def lose_power(self, wipe: bool = False, all_gone: bool = False) -> None:
        """`all_gone`: every write goes that was not synced."""
        if not self.powered:
            return
        self.world.trace("power", self.name, wipe)
        self.powered = False
        self.world.net.set_power(self.ip, False)
        self.disk.crash(power=True, all_gone=all_gone)
        if wipe:
            self.disk.wipe()
        self.process.die()
        if self.upstream is not None:
            self.upstream.die()

    def restore_power(self) -> None:
        if self.powered or self.removed:
            return
        self.powered = True
        self.world.net.set_power(self.ip, True)
        self.start()
        self.start_upstream()

    # --- the upstream beside its pilot

    def start_upstream(self) -> None:
        world = self.world
        if self.is_control or self.removed or not self.powered:
            return
        if self.upstream is not None:
            self.upstream.die()
        limits, id_ = world.scenario.limits, world.new_id()
        self.upstream = Upstream(
            world.loop,
            world.net,
            random.Random(f"{world.seed}/{id_}"),
            world.trace,
            id_,
            self.service,
            world.scenario.service[self.service],
            (self.ip, APPLICATION),
            (self.ip, CONTROL),
            int(limits.feedback),
            int(limits.drain),
        )


class World:
    def __init__(self, told: MeshScenario, seed: int) -> None:
        self.scenario, self.seed = told, seed
        self.loop, self.records = Loop(), list[Record]()
        net = told.network
        self.net = MachineNetwork(
            self.loop, random.Random(f"{seed}/net"), int(net.same), int(net.cross), net.jitter
        )
        self.services = list(told.service)
        self._ids = 0
        zones = told.zones
        self.control_machines = [
            Machine(
                self, f"l{n}", f"10.{n % len(zones) + 1}.0.{n // len(zones) + 1}", zones[n % len(zones)], ""
            )
            for n in range(told.core.count + told.core.spare)
        ]
        self.proxy_machines: list[Machine] = []
        for plant, service in told.service.items():
            for n in range(service.pilots):
                at, number = n % len(zones), len(self.proxy_machines)
                ip = f"10.{at + 1}.{1 + number // 200}.{1 + number % 200}"
                self.proxy_machines.append(Machine(self, f"p{number}", ip, zones[at], plant))
        self.seeds = [machine.name for machine in self.control_machines[: min(3, told.core.count)]]
        self._lists: list[tuple[int, list[Machine]]] = [
            (0, self.control_machines[: told.core.count])
        ]  # since when
        self.rng = random.Random(f"{seed}/faults")
        self.callers, self.operators = Callers(self, seed), Operators(self, seed)

    def trace(self, what: str, *of: object) -> None:
        self.records.append((self.loop.now, what, of))

    def probe(self, route: str) -> None:
        self.callers.probe(route)

    def new_id(self) -> str:
        self._ids += 1
        return f"i{self._ids}"

    def machine(self, name: str) -> Machine:
        return (self.control_machines if name[0] == "l" else self.proxy_machines)[int(name[1:])]

    # --- what the parts ask of it

    def active_proxies(self) -> list[Machine]:
        return [one for one in self.proxy_machines if one.started and not one.removed]

    def current_controls(self) -> list[Machine]:
        """The core machines that there are."""
        return self._lists[-1][1]

    def control_addresses(self, late: int) -> list[Address]:
        then = self.loop.now - late
        known = next((names for since, names in reversed(self._lists) if since <= then), self._lists[0][1])
        return [(machine.ip, CONTROL) for machine in known]

    def replace(self, old: Machine, new: Machine) -> None:
        """Another machine takes its place in the operators' list, and among the seeds."""
        now = [new if one is old else one for one in self.current_controls()]
        self._lists.append((self.loop.now, now))
        self.seeds = [machine.name for machine in now[:3]]

    def put_seeds_first(self, names: list[str]) -> None:
        """The seeds of later starts begin with these."""
        self.seeds = list(dict.fromkeys([*names, *self.seeds]))[:3]

    def machine_at(self, address: Address) -> Machine:
        return next(one for one in self.control_machines if one.ip == address[0])

    def members_in_order(self) -> list[str]:
        """The core from the head to the tail, for faults that strike a seat."""
        views = [
            machine.role.replica.agreement.view
            for machine in self.control_machines
            if machine.process.alive
            and isinstance(machine.role, ControlReplica)
            and hasattr(machine.role, "replica")
        ]
        names = {machine.ip: machine.name for machine in self.control_machines}
        newest = max(views, key=lambda view: view.epoch, default=None)
        return [names[seat.addr.partition(":")[0]] for seat in newest.members] if newest else []

    def settings(self, machine: Machine, first: bool) -> str:
        """The file of one machine, as it stands now."""
        limits, told = self.scenario.limits, self.scenario
        seeds = ", ".join(f'"{self.machine(name).ip}:{CONTROL}"' for name in self.seeds)
        lines = [
            f'Node = "{machine.name}"',
            f'Ip = "{machine.ip}"',
            f'Zone = "{machine.zone}"',
            f"InternalPorts = [{INTERNAL}, {INTERNAL + 15}]",
            f"Seeds = [{seeds}]",
            f"InitialStart = {str(first).lower()}",
            f'Feedback = "{int(limits.feedback) // MS}ms"',
        ]
        listen = [f'Control = "{machine.ip}:{CONTROL}"']
        if machine.is_control:
            lines += ['DataDir = "disk"']
        else:
            lines += [f'Plant = "{machine.service}"', f'Application = "{machine.ip}:{APPLICATION}"']
            listen += [
                f'{name} = "{machine.ip}:{port}"'
                for name, port in (("Inbound", INBOUND), ("Outbound", OUTBOUND), ("Readiness", READINESS))
            ]
        bounds = [
            f'{name} = "{int(value) // MS}ms"'
            for name, value in (
                ("Contact", limits.contact),
                ("Drain", limits.drain),
                ("Grace", limits.grace),
                ("Apply_time", limits.apply_time),
                ("RetryWindow", limits.retry_window),
                ("DedupeWindow", limits.dedupe_window),
                ("ReuseDelay", limits.reuse_delay),
            )
        ]
        bounds += [f"RetryRatio = {limits.retry_ratio}", f"RetrySlack = {limits.retry_slack}"]
        tail = ["[Limits]", "FileLimit = 1000", "[Tolerance]", f"Machines = {told.core.tolerance}"]
        return "\n".join([*lines, "[Listen]", *listen, *tail, "[Bounds]", *bounds, ""])

    # --- from beginning to end

    def run(self, before: Iterable[Callable[[], None]] = (), quiet: int = 0) -> list[Record]:
        """All machines start with empty disks; requests begin FIRST_REQUEST_AT_US later.

        `quiet`: when the last fault is over; the configuration is read back `Contact` behind it.
        """
        for machine in (*self.control_machines[: self.scenario.core.count], *self.proxy_machines):
            self.loop.after(machine.rng.randrange(300 * MS), partial(machine.start, True))
            self.loop.after(machine.rng.randrange(300 * MS, 900 * MS), machine.start_upstream)
        until = FIRST_REQUEST_AT_US + int(self.scenario.length)
        self.operators.start(until)
        self.loop.after(FIRST_REQUEST_AT_US, partial(self.callers.start, until))
        for do in before:
            do()
        self.loop.run(until)
        self.trace("closes")
        for machine in self.control_machines:
            machine.disk.on_commit = lambda stores: None
        self.operators.on_next_ack.clear()
        contact = int(self.scenario.limits.contact)
        self.loop.run(max(until, quiet + contact))
        self.operators.read(contact)
        self.loop.run(max(until, quiet + contact) + max(SETTLE, contact + S))
        for words in self.loop.errors:
            self.trace("crashed", words)
        for machine in (*self.control_machines, *self.proxy_machines):
            machine.process.die()
        return self.records
