"""A simulated mesh: machines with control replicas or proxies, upstreams, clients and operators.

The roles are the program itself (`proxy/role.py`, `control/role.py`) on an emulated machine; the rest are
models.  Everything that clients, upstreams and operators observe goes into `records`; the state of the roles
does not.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable
from functools import partial

from brackengate.control.role import ControlReplica
from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.disk import EmulatedDisk, ProcessDisk
from brackengate.emulator.mesh.ground import MachineNetwork, RoleProcess, create_environment
from brackengate.emulator.mesh.names import WireNames
from brackengate.emulator.mesh.people import Callers, Operators
from brackengate.emulator.mesh.scenario import MeshScenario
from brackengate.emulator.mesh.upstream import Upstream
from brackengate.net.sockets import Address
from brackengate.protocol.settings import Settings, parse
from brackengate.proxy.role import Proxy

STARTUP_DELAY_US = 250 * MS  # from the creation of a process to its first step
RESTART_DELAY_US = 300 * MS  # from the end of a process to the start of the next
FIRST_REQUEST_AT_US = 10 * S  # after the start of the machines
SETTLE_TIME_US = 5 * S  # after the last request, until all are answered
INBOUND, APPLICATION, READINESS, OUTBOUND, CONTROL, INTERNAL = 8300, 8301, 8302, 8304, 8306, 7620

Record = tuple[int, str, tuple[object, ...]]  # time in microseconds, event, its details


class Machine:
    """A machine, which outlasts its processes: address, disk, clock, and whether it has power."""

    def __init__(self, world: World, name: str, ip: str, zone: str, plant: str) -> None:
        self.world, self.name, self.ip, self.zone, self.service = world, name, ip, zone, plant
        self.is_control = name.startswith("l")
        self.next_service = plant  # of its next process
        self.clock_offset = 0  # error of the time of day in its next process, in microseconds
        self.in_rotation = False  # whether clients send requests to its proxy
        self.started = False  # whether it has ever been started
        self.removed = False  # permanently, or until it returns as a spare machine
        self.removed_at = -1  # time of its last removal; -1: never
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
        """Where clients send requests to its proxy."""
        return self.ip, OUTBOUND

    @property
    def readiness(self) -> Address:
        """Where the platform checks the readiness of its proxy."""
        return self.ip, READINESS

    # --- the process

    def start(self, first: bool = False) -> None:
        """Starts a process, if none runs and the machine has power; `first`: initial start of the mesh."""
        if self.process.alive or self.removed or not self.powered:
            return
        world = self.world
        self.started, self.role, self.service = True, None, self.next_service
        rng = random.Random(self.rng.getrandbits(64))
        process = self.process = RoleProcess(world.loop, world.net, self.ip, self.name, rng)
        world.trace("up", self.name)
        text = world.settings(self, first)
        process.call_later(
            self.rng.uniform(0.8, 1.4) * STARTUP_DELAY_US / 1e6, self._run, process, parse(text)
        )

    def _run(self, process: RoleProcess, settings: Settings) -> None:
        world = self.world
        environment = create_environment(
            process, world.loop, world.net, random.Random(self.rng.getrandbits(64)), self.clock_offset
        )
        if self.is_control:
            replica_role = ControlReplica(settings, environment, ProcessDisk(self.disk, process))
            self.role = replica_role
            task = process.create_task(replica_role.run())
            task.add_done_callback(lambda _: world.loop.after(0, partial(self._exited, process)))
        else:
            proxy = Proxy(settings, lambda: parse(world.settings(self, False)), environment)
            self.role = proxy
            proxy.exited.add_done_callback(lambda _: world.loop.after(0, partial(self._exited, process)))
            proxy.start()

    def _exited(self, process: RoleProcess) -> None:
        """The role has shut down by itself; the platform restarts it."""
        if process.alive:
            self.kill("left")
            self.world.loop.after(RESTART_DELAY_US, self.start)

    def kill(self, what: str = "down") -> None:
        """Ends the process at once, as SIGKILL does; `what`: the event to record."""
        if self.process.alive:
            self.world.trace(what, self.name)
            self.disk.crash(power_lost=False)
            self.process.die()

    def terminate(self) -> None:
        """Restarts the process as the platform does: SIGTERM, and SIGKILL after `Grace`."""
        process = self.process
        if not process.alive or self.role is None:
            return
        self.world.trace("term", self.name)
        process.enter(self.role.stop)
        self.world.loop.after(int(self.world.scenario.limits.grace), partial(self._grace_expired, process))

    def _grace_expired(self, process: RoleProcess) -> None:
        if process.alive:
            self.kill()
            self.world.loop.after(RESTART_DELAY_US, self.start)

    # --- power

    def lose_power(self, wipe: bool = False, lose_unsynced: bool = False) -> None:
        """Switches the machine off; `wipe`: empties its disk; `lose_unsynced`: loses all unsynced writes."""
        if not self.powered:
            return
        self.world.trace("power", self.name, wipe)
        self.powered = False
        self.world.net.set_power(self.ip, False)
        self.disk.crash(power_lost=True, lose_unsynced=lose_unsynced)
        if wipe:
            self.disk.wipe()
        self.process.die()
        if self.upstream is not None:
            self.upstream.die()

    def restore_power(self) -> None:
        """Switches the machine on again and starts its process and upstream."""
        if self.powered or self.removed:
            return
        self.powered = True
        self.world.net.set_power(self.ip, True)
        self.start()
        self.start_upstream()

    # --- the upstream next to its proxy

    def start_upstream(self) -> None:
        """Starts a new upstream process with a new id, in place of the one that may be running."""
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
            world.names,
        )


class World:
    """All machines of a simulated mesh, its clients and operators, and the records of a run."""

    def __init__(self, scenario: MeshScenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        self.loop, self.records = Loop(), list[Record]()
        net = scenario.network
        self.net = MachineNetwork(
            self.loop, random.Random(f"{seed}/net"), int(net.same), int(net.cross), net.jitter
        )
        self.services = list(scenario.service)
        self.names = WireNames(scenario.names, seed)
        self._ids = 0
        zones = scenario.zones
        self.control_machines = [
            Machine(
                self, f"l{n}", f"10.{n % len(zones) + 1}.0.{n // len(zones) + 1}", zones[n % len(zones)], ""
            )
            for n in range(scenario.core.count + scenario.core.spare)
        ]
        self.proxy_machines: list[Machine] = []
        for plant, service in scenario.service.items():
            for n in range(service.pilots):
                at, number = n % len(zones), len(self.proxy_machines)
                ip = f"10.{at + 1}.{1 + number // 200}.{1 + number % 200}"
                self.proxy_machines.append(Machine(self, f"p{number}", ip, zones[at], plant))
        self.seeds = [machine.name for machine in self.control_machines[: min(3, scenario.core.count)]]
        # The operators' lists of control replicas, each with the time since when it is in force.
        self._control_lists: list[tuple[int, list[Machine]]] = [
            (0, self.control_machines[: scenario.core.count])
        ]
        self.rng = random.Random(f"{seed}/faults")
        self.callers, self.operators = Callers(self, seed), Operators(self, seed)

    def trace(self, what: str, *of: object) -> None:
        """Adds an event to the records."""
        self.records.append((self.loop.now, what, of))

    def probe(self, route: str) -> None:
        """Sends a request that shows which configuration is in force at some machine."""
        self.callers.probe(route)

    def new_id(self) -> str:
        """Returns an unused id for an upstream."""
        self._ids += 1
        return f"i{self._ids}"

    def machine(self, name: str) -> Machine:
        """Returns the machine of a name such as l0 or p3."""
        return (self.control_machines if name[0] == "l" else self.proxy_machines)[int(name[1:])]

    # --- queries by clients, operators and faults

    def active_proxies(self) -> list[Machine]:
        """The machines with proxies that currently exist."""
        return [one for one in self.proxy_machines if one.started and not one.removed]

    def current_controls(self) -> list[Machine]:
        """The machines in the operators' list of control replicas."""
        return self._control_lists[-1][1]

    def control_addresses(self, list_age: int) -> list[Address]:
        """Addresses of the control replicas in the list as it was `list_age` microseconds ago."""
        then = self.loop.now - list_age
        known = next(
            (machines for since, machines in reversed(self._control_lists) if since <= then),
            self._control_lists[0][1],
        )
        return [(machine.ip, CONTROL) for machine in known]

    def replace(self, old: Machine, new: Machine) -> None:
        """Replaces a control replica by another in the operators' list, and sets the seeds from that list."""
        now = [new if one is old else one for one in self.current_controls()]
        self._control_lists.append((self.loop.now, now))
        self.seeds = [machine.name for machine in now[:3]]

    def put_seeds_first(self, names: list[str]) -> None:
        """Puts these machines first in the seeds of later starts."""
        self.seeds = list(dict.fromkeys([*names, *self.seeds]))[:3]

    def machine_at(self, address: Address) -> Machine:
        """Returns the control replica's machine with this address."""
        return next(one for one in self.control_machines if one.ip == address[0])

    def members_in_order(self) -> list[str]:
        """Names of the members in the newest view, from head to tail, for faults that strike one of them."""
        views = [
            machine.role.replica.agreement.view
            for machine in self.control_machines
            if machine.process.alive
            and isinstance(machine.role, ControlReplica)
            and hasattr(machine.role, "replica")
        ]
        names = {machine.ip: machine.name for machine in self.control_machines}
        newest = max(views, key=lambda view: view.epoch, default=None)
        return [names[member.addr.partition(":")[0]] for member in newest.members] if newest else []

    def settings(self, machine: Machine, first: bool) -> str:
        """Returns the current settings file of one machine."""
        limits, scenario = self.scenario.limits, self.scenario
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
            service = json.dumps(self.names.service(machine.service), ensure_ascii=False)
            lines += [f"Plant = {service}", f'Application = "{machine.ip}:{APPLICATION}"']
            listen += [
                f'{name} = "{machine.ip}:{port}"'
                for name, port in (("Inbound", INBOUND), ("Outbound", OUTBOUND), ("Readiness", READINESS))
            ]
        bound_lines = [
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
        bound_lines += [f"RetryRatio = {limits.retry_ratio}", f"RetrySlack = {limits.retry_slack}"]
        tail = ["[Limits]", "FileLimit = 1000", "[Tolerance]", f"Machines = {scenario.core.tolerance}"]
        return "\n".join([*lines, "[Listen]", *listen, *tail, "[Bounds]", *bound_lines, ""])

    # --- the run

    def run(self, before: Iterable[Callable[[], None]] = (), faults_end: int = 0) -> list[Record]:
        """Runs the whole scenario and returns its records.

        All machines start with empty disks; requests begin FIRST_REQUEST_AT_US later.

        `before`: called before the clock starts, to schedule faults.  `faults_end`: when the last fault is
        over; the configuration is read back `Contact` later.
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
        self.loop.run(max(until, faults_end + contact))
        self.operators.read(contact)
        self.loop.run(max(until, faults_end + contact) + max(SETTLE_TIME_US, contact + S))
        for error in self.loop.errors:
            self.trace("crashed", error)
        for machine in (*self.control_machines, *self.proxy_machines):
            machine.process.die()
        return self.records
