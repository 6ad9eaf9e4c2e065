"""Who asks: callers at the pilots, and two operators at the lighthouses."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.ground import MachineNetwork
from brackengate.emulator.mesh.order_troubles import OrderTroubles
from brackengate.emulator.mesh.scenario import MeshScenario, Route
from brackengate.emulator.mesh.talk import HttpMessage, HttpRequest, encode_message
from brackengate.emulator.process import Process
from brackengate.net.sockets import Address

HOST = "h.example"
MOST_TRIES = 4
PAUSE = 30 * MS  # before a try that nobody said when to make, doubled
LOOK = S  # the platform asks a pilot whether it is ready
PROMISES = (408, 421, 429, 503)


class MeshContext(Protocol):
    loop: Loop
    net: MachineNetwork
    scenario: MeshScenario
    services: list[str]

    def trace(self, what: str, *of: object) -> None: ...

    def active_proxies(self) -> Sequence[ProxyMachine]:
        """The machines with pilots that there are."""

    def probe(self, route: str) -> None:
        """A request that shows which configuration is in force at some machine."""

    def control_addresses(self, late: int) -> list[Address]:
        """The lighthouses, as the operators' list has them, which is so late."""


class ProxyMachine(Protocol):
    """A machine with a pilot, as callers know it."""

    ip: str
    zone: str
    service: str
    in_rotation: bool

    @property
    def outbound(self) -> Address: ...

    @property
    def readiness(self) -> Address: ...


@dataclass(eq=False, slots=True)
class Asked:
    """What a client wants, through all its tries."""

    number: int
    route: str
    kind: str
    work: int
    aim: int
    side: ProxyMachine
    since: int
    latest: int
    key: str = ""
    again: float = 0.0  # chance that it is sent once more when it was served
    tries: int = 0


class Callers:
    def __init__(self, around: MeshContext, seed: int) -> None:
        self._around, self._loop = around, around.loop
        self._rng = random.Random(f"{seed}/callers")
        self._numbers = self._attempts = 0
        self._at: dict[str, Process] = {}  # clients, by machine
        self._looks: dict[str, int] = {}  # failures in a row, by machine
        self.until = 0

    def start(self, until: int) -> None:
        self.until = until
        for name, route in self._around.scenario.route.items():
            if route.rate > 0:
                self._next(name, route)
        self._probe()
        self._look()

    def _here(self, side: ProxyMachine) -> Process:
        found = self._at.get(side.ip)
        if found is None:
            found = self._at[side.ip] = Process(self._loop, self._around.net, side.ip, "clients")
        return found

    def _look(self) -> None:
        for side in self._around.active_proxies():
            data = encode_message("GET /v1/readiness HTTP/1.1", {"Host": "pilot"})
            HttpRequest(self._here(side), side.readiness, data, partial(self._looked, side), S - MS)
        if self._loop.now < self.until:
            self._loop.after(LOOK, self._look)

    def _looked(self, side: ProxyMachine, heard: HttpMessage | None, why: str) -> None:
        if heard is not None and heard.status == 200:
            side.in_rotation, self._looks[side.ip] = True, 0
            return
        self._looks[side.ip] = self._looks.get(side.ip, 0) + 1
        if self._looks[side.ip] >= 2:
            side.in_rotation = False

    def _offered(self) -> list[ProxyMachine]:
        """The machines whose clients get work: those that are ready, and all of a zone in which fewer than
        half are."""
        zones: dict[str, list[ProxyMachine]] = {}
        for side in self._around.active_proxies():
            zones.setdefault(side.zone, []).append(side)
        found: list[ProxyMachine] = []
        for sides in zones.values():
            ready = [side for side in sides if side.in_rotation]
            found += ready if 2 * len(ready) >= len(sides) else sides
        return found

    def _next(self, name: str, route: Route) -> None:
        def comes() -> None:
            if self._loop.now < self.until:
                self._next(name, route)
                self._new(name, route)

        self._loop.after(int(self._rng.expovariate(route.rate) * 1e6), comes)

    def _new(self, name: str, route: Route) -> None:
        sides = self._offered()
        if not sides:
            return
        self._numbers += 1
        now, number = self._loop.now, self._numbers
        key = f"k{number}" if route.kind == "keyed" else ""
        asked = Asked(
            number, name, route.kind, int(route.work), int(route.aim), self._rng.choice(sides),
            now, now + int(route.deadline), key, float(route.again),
        )  # fmt: skip
        self._try(asked)

    def probe(self, route: str) -> None:
        sides = self._offered()
        if sides and self._loop.now < self.until:
            self._numbers += 1
            now, side = self._loop.now, self._rng.choice(sides)
            self._try(Asked(self._numbers, route, "probe", 10 * MS, 300 * MS, side, now, now + 500 * MS))

    def _probe(self) -> None:
        """On routes that the operators add and drop, and on one that never was."""

        def comes() -> None:
            if self._loop.now < self.until:
                self._probe()
                self.probe(f"x{self._rng.randrange(4)}")

        self._loop.after(int(self._rng.expovariate(self._around.scenario.operators.probes) * 1e6), comes)

    def _try(self, asked: Asked) -> None:
        asked.tries += 1
        self._attempts += 1
        attempt, side = f"a{self._attempts}", asked.side
        method = "GET" if asked.kind in ("idempotent", "probe") else "POST"
        target = f"/{asked.route}/{asked.work}/{asked.number}"
        body = b"" if method == "GET" else f"wants {asked.number}".encode()
        left = max(MS, asked.latest - self._loop.now)
        fields = {
            "Host": HOST,
            "X-Brackengate-Attempt-Id": attempt,
            "X-Brackengate-Deadline-Ms": str(left // MS),
        }
        if asked.key:
            fields["X-Brackengate-Operation-Key"] = asked.key
        sent = f"{method} {target} {body.decode()}"
        self._around.trace(
            "asked", attempt, asked.number, asked.route, asked.kind, asked.key, side.ip, side.service, sent
        )
        data = encode_message(f"{method} {target} HTTP/1.1", fields, body)
        HttpRequest(self._here(side), side.outbound, data, partial(self._ended, asked, attempt), left)

    def _ended(self, asked: Asked, attempt: str, heard: HttpMessage | None, why: str) -> None:
        trace, now = self._around.trace, self._loop.now
        if heard is None:
            trace("ended", attempt, why, "", "", False)
            status, after = 0, 0
        else:
            status, fields = heard.status, heard.fields
            seal, body = fields.get("x-brackengate-server-seal", ""), heard.body.decode("latin-1")
            trace("ended", attempt, status, seal, body, heard.has_trailing_data)
            after = int(float(fields.get("retry-after", "0")) * 1e6)
        if 200 <= status < 300:
            trace("served", asked.number, asked.route, now - asked.since, asked.aim)
            self._once_more(asked)
            return
        again = asked.kind in ("idempotent", "keyed") or status in PROMISES
        if status in (400, 401, 404, 413, 431) or asked.kind == "probe":
            again = False
        pause = max(min(after, (asked.latest - now) // 3), PAUSE << (asked.tries - 1))
        if again and asked.tries < MOST_TRIES and now + pause + MS < asked.latest:
            self._loop.after(pause, partial(self._try, asked))
        else:
            trace("failed", asked.number, asked.route, status or why)
            self._once_more(asked)

    def _once_more(self, asked: Asked) -> None:
        """The same operation again, from another zone: after a good answer, or after all tries."""
        if not asked.key or self._rng.random() >= asked.again:
            return
        others = [
            one for one in self._around.active_proxies() if one.in_rotation and one.zone != asked.side.zone
        ]
        others = others or [one for one in self._around.active_proxies() if one.in_rotation]
        wait = int(self._rng.uniform(0.05, 12.0) * 1e6)
        if not others or self._loop.now + wait >= self.until:
            return
        side, lasts = self._rng.choice(others), asked.latest - asked.since

        def comes() -> None:
            self._numbers += 1
            now = self._loop.now
            repeat = Asked(
                asked.number, asked.route, asked.kind, asked.work, asked.aim, side, now, now + lasts,
                asked.key, asked.again / 2,
            )  # fmt: skip
            self._around.trace("repeats", asked.number)
            self._try(repeat)

        self._loop.after(wait, comes)


# --- the operators


@dataclass(eq=False, slots=True)
class Change:
    number: int
    body: bytes
    items: list[tuple[str, int, tuple[str, ...]]]  # route, version, services; none: dropped
    valid: bool = True
    tries: int = 0
    odd: int = 0  # other 4xx
    unheard: list[Address] = field(default_factory=list)  # machines whose acknowledgement was lost
    avoid: Address | None = None  # a machine that the first try does not go to
    address: Address | None = None  # of the last try
    acked: bool = False
    done: Callable[[Change], None] | None = None  # called once, when it is acknowledged


@dataclass(slots=True)
class LostAcks:
    """A share of the acknowledgements to the operators does not reach them, until a time."""

    until: int = 0
    share: float = 0.0


class Operators:
    """Two who change the configuration; one reads it back at the end."""

    def __init__(self, around: MeshContext, seed: int) -> None:
        self._around, self.loop = around, around.loop
        self.trace, self.services = around.trace, around.services
        self.probe, self.apply_time = around.probe, int(around.scenario.limits.apply_time)
        self._rng = random.Random(f"{seed}/operators")
        around.net.zones["operators"] = around.scenario.zones[0]
        self._process = Process(around.loop, around.net, "operators", "operators")
        self._changes = 0
        self._versions: dict[str, int] = {}
        self._used: dict[str, set[int]] = {}  # all versions that orders were sent under, by route
        self.on_next_ack: list[Callable[[], None]] = []  # called once, at the next acknowledgement
        self.on_next_send: list[Callable[[], None]] = []  # called once, at the next sending of a valid change
        self.lost_acks = LostAcks()
        self.history: list[Change] = []  # valid changes that were acknowledged, the oldest first
        self.answered_by: Address | None = None  # who answered an order last
        self.troubles = OrderTroubles(self, random.Random(f"{seed}/order troubles"))
        self._lots = random.Random(f"{seed}/lost acks")
        self.until = 0

    def start(self, until: int) -> None:
        """The first configuration, and then what the scenario says."""
        self.until = until
        told = self._around.scenario
        plants = [
            {"Name": name, "HealthPath": "/health", "ConnLimit": 110, "Revision": "r1"}
            for name in self._around.services
        ]
        limits = {"HeaderMaxBytes": 16384, "BodyMaxBytes": 67108864, "Revision": "r1"}
        routes = [(name, (route.service,)) for name, route in told.route.items()]
        self.send(routes, plants=plants, limits=limits)
        if told.operators.every:
            self.loop.after(5 * S, self._next)

    def _next(self) -> None:
        told = self._around.scenario.operators
        if self.loop.now >= self.until:
            return
        self.loop.after(int(self._rng.uniform(0.5, 1.5) * int(told.every)), self._next)
        self._change()
        if self._rng.random() < told.race:
            self._change()

    def send_valid_change(self) -> None:
        """One that is valid."""
        name = self._rng.choice(list(self._around.scenario.route))
        self.send([(name, (self._rng.choice(self._around.services),))])

    def _change(self) -> None:
        rng, told = self._rng, self._around.scenario
        if rng.random() < float(told.operators.invalid):
            self.send([(rng.choice(list(told.route)), ("nobody",))], valid=False)
            return
        what = rng.random()
        if what < 0.5:
            name = f"x{rng.randrange(3)}"
            self.send([(name, (rng.choice(self._around.services),) if rng.random() < 0.6 else ())])
        else:
            name = rng.choice(list(told.route))
            count = min(len(self._around.services), rng.choice((1, 1, 2)))
            self.send([(name, tuple(rng.sample(self._around.services, count)))])

    def send(
        self,
        routes: Iterable[tuple[str, tuple[str, ...]]],
        plants: list[dict[str, object]] | None = None,
        limits: dict[str, object] | None = None,
        valid: bool = True,
        version: int = 0,
        removed_plants: Sequence[tuple[str, int]] = (),
        avoid: Address | None = None,
        done: Callable[[Change], None] | None = None,
        digits: int = 0,
    ) -> Change:
        """`version`: of all its routes, in place of the next one of each; `avoid`: a machine that the first
        try does not go to; `done`: called once it is acknowledged; `digits`: that come with each route and
        can't be compressed."""
        paths: list[dict[str, object]] = []
        removed: list[dict[str, object]] = []
        items: list[tuple[str, int, tuple[str, ...]]] = []
        for name, services in routes:
            number = version or self.next_version(name)
            if valid:
                self._versions[name] = max(number, self._versions.get(name, 0))
            items.append((name, number, services))
            self._used.setdefault(name, set()).add(number)
            if not services:
                removed.append({"Name": name, "Revision": f"r{number}"})
                continue
            told = self._around.scenario.route.get(name)
            path: dict[str, object] = {
                "Name": name,
                "PathPrefix": f"/{name}/",
                "SignalKind": told.kind if told else "idempotent",
                "Cutoff": f"{(int(told.deadline) if told else 500 * MS) // MS}ms",
                "Setpoint": f"{(int(told.aim) if told else 300 * MS) // MS}ms",
                "Priority": 1,
                "MaxAttempts": told.attempts if told else 2,
                "Revision": f"r{number}",
            }
            if len(services) == 1:
                path["Plant"] = services[0]
            else:
                path["Split"] = [{"Plant": one, "Gain": 1} for one in services]
            if digits:
                path["Note"] = f"{self._lots.getrandbits(4 * digits):x}"
            paths.append(path)
        call: dict[str, object] = {"Hosts": [{"Host": HOST, "Paths": paths}]} if paths else {}
        if plants is not None:
            call["Plants"] = plants
        if limits is not None:
            call["Limits"] = limits
        remove: dict[str, object] = {"Routes": removed}
        if removed_plants:
            remove["Plants"] = [{"Name": name, "Revision": f"r{number}"} for name, number in removed_plants]
        body = json.dumps({"Apply": call, "Remove": remove}).encode()
        self._changes += 1
        change = Change(self._changes, body, items, valid, avoid=avoid, done=done)
        for name, number, services in items:
            self.trace("offers", change.number, name, number, services, valid)
        self._try(change)
        if valid:
            _call_all(self.on_next_send)
        return change

    def next_version(self, name: str) -> int:
        return self._versions.get(name, 0) + self._rng.randint(1, 3)

    def version_of(self, name: str) -> int:
        return self._versions.get(name, 0)

    def used_versions(self, name: str) -> set[int]:
        return self._used.get(name, set())

    def note_version(self, name: str, number: int) -> None:
        self._versions[name] = number

    def resend(self, change: Change) -> None:
        """An order that was acknowledged is sent again, unchanged."""
        self.trace("resends", change.number)
        change.tries = change.odd = 0
        self._try(change)

    def _try(self, change: Change) -> None:
        change.tries += 1
        addresses = self._around.control_addresses(int(self._around.scenario.operators.late))
        avoided = [*change.unheard, change.avoid] if change.tries == 1 else change.unheard
        address = self._rng.choice([one for one in addresses if one not in avoided] or addresses)
        data = encode_message(
            "POST /v1/rpc?call=config.amend HTTP/1.1",
            {"Host": "core", "Content-Type": "application/json"},
            change.body,
        )
        self.trace("sends", change.number, address[0])
        change.address = address
        HttpRequest(self._process, address, data, partial(self._ended, change, address), S)

    def _ended(self, change: Change, address: Address, heard: HttpMessage | None, why: str) -> None:
        status = heard.status if heard is not None else 0
        self.trace("said", change.number, status)
        if heard is not None:
            self.answered_by = address
        if status == 200 and self._ack_is_lost():
            self.trace("ack lost", change.number)
            change.unheard.append(address)
            status = 0
        if status == 200:
            self._acknowledged(change)
            return
        if 400 <= status < 500 and status not in (408, 429):
            change.odd += 1
            if status in (400, 409, 412, 413, 422) or change.odd >= 3:
                return
        pause = min(S, 50 * MS << min(change.tries, 5))
        self.loop.after(pause, partial(self._try, change))

    def _ack_is_lost(self) -> bool:
        lost = self.lost_acks
        return self.loop.now < lost.until and self._lots.random() < lost.share

    def _acknowledged(self, change: Change) -> None:
        self.trace("acked", change.number)
        if change.valid and not change.acked:
            self.history.append(change)
        change.acked = True
        _call_all(self.on_next_ack)
        done, change.done = change.done, None
        if done is not None:
            done(change)

    def read(self, again: int) -> None:
        """Read back, for so long again and again."""
        first = self.loop.now

        def ask() -> None:
            data = encode_message("POST /v1/rpc?call=config.read HTTP/1.1", {"Host": "core"})
            address, since = self._rng.choice(self._around.control_addresses(0)), self.loop.now
            HttpRequest(self._process, address, data, partial(done, since), S)

        def done(since: int, heard: HttpMessage | None, why: str) -> None:
            if heard is not None and heard.status == 200:
                held: list[tuple[str, int, tuple[str, ...]]] = []
                for host in json.loads(heard.body).get("Hosts", []):
                    for path in host["Paths"]:
                        split = [one["Plant"] for one in path.get("Split") or []]
                        held.append(
                            (path["Name"], int(path["Revision"][1:]), tuple(split or [path["Plant"]]))
                        )
                self.trace("read", tuple(held), since)
            else:
                self.trace("unread", heard.status if heard is not None else why)
            if self.loop.now - first < again:
                self.loop.after(300 * MS, ask)

        ask()


def _call_all(waiting: list[Callable[[], None]]) -> None:
    """Each is called once; whoever wants to be called again puts itself in again."""
    called, waiting[:] = list(waiting), []
    for do in called:
        do()
