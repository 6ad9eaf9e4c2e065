"""A fleet of balancers, their upstreams and tiers, discovery, maps of cells, a front and clients.

The balancers are the program itself (`instance.py`) on a modelled machine and network; the rest are models.
All that is seen goes into `records`, which the checkers read; nothing here looks at it again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

from brackengate import interface as api
from brackengate.cells import change
from brackengate.cells import setup as cells
from brackengate.cells.keeper import Maps
from brackengate.emulator.backend import Backend
from brackengate.emulator.callers import Callers, Exchange, Told
from brackengate.emulator.instance import Instance
from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.network import End, Network
from brackengate.emulator.process import EPOCH
from brackengate.emulator.scenario import Scenario, Upstreams, installation
from brackengate.emulator.upstream import KeyMemory, Upstream
from brackengate.emulator.variants import MODULES
from brackengate.installation.schema import Cell, CellMap
from brackengate.net.node import Clock
from brackengate.net.sockets import Address

LOOK = 100 * MS  # the front asks each balancer this often
SETTLE = 5 * S  # after the last arrival, until all is answered
PORT = 9000

Record = tuple[int, str, tuple[object, ...]]  # when, what, and of whom


def homes(told: Scenario) -> dict[str, str]:
    """Dealers by cell, as the day begins; empty where there are no cells."""
    count, dealers = told.cells.count, range(told.clients.dealers)
    return {f"d{n}": f"c{n % count}" for n in dealers} | told.cells.assign if count else {}


def _address(network: int, number: int) -> Address:
    return f"10.{network}.{number >> 8}.{number & 255}", PORT


class Tier:
    """Upstreams, what discovery says of them, and the balancers that use them."""

    def __init__(self, world: World, number: int, told: Upstreams, zones: tuple[str, ...]) -> None:
        self.world, self.told, self.names = world, told, list[str]()
        self.backends: dict[str, Backend] = {}
        self.rows: dict[str, api.Endpoint] = {}
        self.instances: list[Instance] = []
        self.hidden: set[str] = set()  # serving, and discovery says that they are gone
        self.late = 0  # of discovery's word, more than usual
        classes = world.told.class_.values()
        memories: dict[tuple[str, str], KeyMemory] = {}
        for n in range(told.count):
            name, zone = f"{'ul'[number]}{n}", zones[n % len(zones)]
            kind = self.kinds(name)
            window = max(int(kind.key_memory) for kind in classes)
            apart = kind if world.told.cells.apply else ""  # without cells a zone's remember together
            memory = memories.setdefault((zone, apart), KeyMemory(window))
            model = Upstream(told.slots, told.room, name=name, zone=zone, memory=memory)
            model.cold_share = told.cold_share
            model.attach(world.loop, random.Random(f"{world.seed}/{name}"))
            backend = Backend(world.loop, world.net, model, _address(1 + number, n), world.trace)
            backend.model.fell = partial(self._falls, backend)
            self.backends[name] = backend
            self.rows[name] = api.Endpoint(name, zone, kind)

    def _falls(self, backend: Backend) -> None:
        self.world.trace("fell", backend.model.name)
        backend.kill()

    # --- discovery

    def row(self, name: str, state: api.Lifecycle = api.Lifecycle.SERVING) -> api.Endpoint:
        model, before = self.backends[name].model, self.rows.get(name)
        kind = before.kind if before is not None else self.kinds(name)
        since = EPOCH + model.started + self.world.offs.get(name, 0) if model.started > 0 else 0
        return api.Endpoint(name, model.zone, kind, state=state, started_at=since)

    def kinds(self, name: str) -> str:
        count, zones = self.world.told.cells.count, len(self.world.told.zones)
        return f"c{int(name[1:]) // zones % count}" if count and name[0] == "u" else ""

    def publish(self, row: api.Endpoint) -> None:
        """Each balancer hears of it in its own time, and of each upstream in order."""
        if row.state is api.Lifecycle.GONE:
            self.rows.pop(row.upstream, None)
        else:
            self.rows[row.upstream] = row
        self.tell(row.upstream)

    def tell(self, name: str) -> None:
        told = self.world.told.discovery
        for instance in self.instances:
            late = instance.rng.randint(int(told.least), int(told.most)) + self.late
            if instance.alive:
                instance.later(late, partial(self._hears, instance, name))

    def _hears(self, instance: Instance, name: str) -> None:
        """What is listed by then: a later word never comes before an earlier one."""
        if instance.deaf:
            return
        row = None if name in self.hidden else self.rows.get(name)
        if row is None:
            row = api.Endpoint(name, self.backends[name].model.zone, state=api.Lifecycle.GONE)
            if name not in instance.listed:
                return
        if instance.listed.get(name) != row:
            instance.hear(api.ListKind.CHANGES, (row,))

    def first_list(self, instance: Instance) -> None:
        if not instance.deaf:
            instance.hear(api.ListKind.FULL, [r for n, r in self.rows.items() if n not in self.hidden])

    # --- their processes

    def start(self, name: str) -> None:
        """A new process in its place, cold, and listed; with the balancer beside it, where it has one."""
        told = self.told
        self.backends[name].start(int(told.cold), told.fall_multiple)
        self.world.trace("started", name, told.slots, int(told.cold), told.cold_share)
        self.publish(self.row(name))
        self.world.start_beside(name)

    def kill(self, name: str) -> None:
        self.backends[name].kill()
        self.world.kill_beside(name)


class World:
    def __init__(self, told: Scenario, seed: int) -> None:
        self.told, self.seed = told, seed
        self.loop, self.records = Loop(), list[Record]()
        self.offs: dict[str, int] = {}  # of upstreams' clocks
        net = told.network
        self.net = Network(self.loop, random.Random(f"{seed}/net"), int(net.same), int(net.cross), net.jitter)
        zones = told.zones
        self.tiers = [Tier(self, 0, told.upstreams, zones)]
        file, decide = installation(told), MODULES[told.balancers.module]
        self.instances = [
            Instance(self, f"b{n}", zones[n % len(zones)], _address(0, n), file, str(seed), decide)
            for n in range(told.balancers.count)
        ]
        self.tiers[0].instances = self.instances
        self.beside: dict[str, Instance] = {}
        if told.below.count:
            self._below(decide)
        self.terms = cells.terms(file)
        self.map = self._map()
        self.callers = Callers(self, seed)

    def trace(self, what: str, *of: object) -> None:
        self.records.append((self.loop.now, what, of))

    def _below(self, decide: Callable[..., Any]) -> None:
        """A tier that the first one calls, each upstream through a balancer of its own."""
        told = self.told
        lower = Tier(self, 1, told.below, told.zones)
        self.tiers.append(lower)
        file = installation(told, tier=1)
        for n, (name, backend) in enumerate(self.tiers[0].backends.items()):
            zone = backend.model.zone
            one = Instance(self, f"{name}b", zone, _address(200, n), file, str(self.seed), decide)
            self.beside[name] = one
            lower.instances.append(one)
            backend.below, backend.below_part = partial(self._calls_below, backend, one), told.below.part

    def _calls_below(
        self,
        backend: Backend,
        beside: Instance,
        request: str,
        work: int,
        name: str,
        key: str,
        latest: int,
        told: Callable[[bool], None],
    ) -> None:
        """As an upstream calls the next tier: through the balancer beside it, while it has time."""
        left = latest - self.loop.now
        if left <= 0:
            told(False)
            return
        safe = self.told.class_[name].repeats == "safe"
        lines = [
            b"%s /api HTTP/1.1\r\nHost: beside" % (b"GET" if safe else b"POST"),
            b"X-Txn: %s\r\nX-Lane: %s" % (request.encode(), name.encode()),
            b"X-Remaining-Ms: %d\r\nX-Work: %d" % (max(1, left // 1000), work),
            *([b"Idempotency-Key: %s" % key.encode()] if key else []),
            *([] if safe else [b"Content-Length: 2"]),
        ]
        data = b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if safe else b"{}")
        over = False

        def ends(well: bool, exchange: Exchange | None = None) -> None:
            nonlocal over
            if not over:
                over = True
                if exchange is not None:
                    exchange.give_up()
                told(well)

        def stands(end: End | None) -> None:
            if end is None or over:
                if end is not None:
                    end.close()
                ends(False)
                return

            def answered(how: Told, keep: bool) -> None:
                end.close()
                ends(how.what == "200")

            exchange = Exchange(end, data, answered)
            self.loop.after(left, lambda: ends(False, exchange))

        self.loop.after(left, lambda: ends(False))
        backend.process.connect(beside.address, stands)

    # --- what the parts ask of it

    def tier_of(self, name: str) -> Tier:
        return self.tiers["ul".index(name[0])]

    def address(self, upstream: str) -> Address:
        return self.tier_of(upstream).backends[upstream].address

    def named(self, address: str) -> str:
        _, network, high, low = address.rpartition(":")[0].split(".")
        return f"{'ul'[int(network) - 1]}{(int(high) << 8) + int(low)}"

    def start_beside(self, name: str) -> None:
        beside = self.beside.get(name)
        if beside is not None:
            beside.kill()
            self.begin(beside)

    def kill_beside(self, name: str) -> None:
        if name in self.beside:
            self.beside[name].kill()

    def begin(self, instance: Instance) -> None:
        """Start its process, unless it runs."""
        if not instance.alive:
            instance.offered = False
            instance.begin()
            tier = self.tiers[1 if instance in self.beside.values() else 0]
            instance.later(int(self.told.balancers.start), partial(tier.first_list, instance))

    # --- cells

    def _map(self) -> CellMap | None:
        told = self.told.cells
        if not told.count or not told.apply:
            return None
        names = [f"c{n}" for n in range(told.count)]
        return CellMap(
            epoch=1,
            published=EPOCH - 60 * S,
            cell={name: Cell(pools={"c0": name}) for name in names},
            default=names[0],
            assign=homes(self.told),
        )

    def move(self, dealer: str, to: str) -> None:
        assert self.map is not None
        now = EPOCH + self.loop.now
        told = change.begin(change.settle(self.map, now, self.terms), dealer, to, now, self.terms)
        if isinstance(told, change.Refused):
            self.trace("turned down", dealer, told.why)
        else:
            self.map = told
            self.trace("moves", dealer, to, told.move[dealer].start - EPOCH)

    def maps(self, instance: Instance, clock: Clock) -> Maps | None:
        if self.map is None or instance in self.beside.values():
            return None
        return _Maps(self, instance, clock)

    # --- the front

    def _look(self) -> None:
        """The front takes in what says yes, and leaves out what says no; the dead it sees late."""
        for instance in self.instances:
            if instance.alive:
                instance.offered = instance.ready
        self.loop.after(LOOK, self._look)

    def unoffer(self, instance: Instance) -> None:
        if not instance.alive:
            instance.offered = False

    def run(self) -> list[Record]:
        """From an installation that has been up for a while to some seconds after the last arrival."""
        for instance in (*self.instances, *self.beside.values()):
            self.begin(instance)
        self.loop.after(0, self._look)
        self.callers.begin(int(self.told.balancers.start) + 2 * LOOK)
        self.loop.run(int(self.told.length) + SETTLE)
        for instance in (*self.instances, *self.beside.values()):
            if instance.alive:
                for what, count, most in instance.holds():
                    self.trace("holds", instance.name, what, count, most)
        for words in self.loop.errors:
            self.trace("crashed", words)
        self._close()
        return self.records

    def _close(self) -> None:
        """Let go of all coroutines."""
        self.callers.close()
        for instance in (*self.instances, *self.beside.values()):
            instance.process.die()
        self.loop.run(self.loop.now)


class _Maps:
    """The newest map, as one instance sees it: looked at now and then."""

    def __init__(self, world: World, instance: Instance, clock: Clock) -> None:
        self._world, self._instance, self._clock = world, instance, clock
        self.told: CellMap | None = None
        self.confirmed = 0
        self.why = "not read yet"
        self.changed: Callable[[], None] = lambda: None

    @property
    def epoch(self) -> int:
        return self.told.epoch if self.told is not None else 0

    def start(self) -> None:
        self._look()

    def close(self) -> None:
        pass

    def _look(self) -> None:
        self._instance.later(int(self._world.told.cells.check_every), self._look)
        if self._instance.deaf:
            return
        changed, self.told = self._world.map is not self.told, self._world.map
        self.why, self.confirmed = "", self._clock.now()
        if changed:
            self.changed()

    def status(self) -> dict[str, Any]:
        return {"epoch": self.epoch}
