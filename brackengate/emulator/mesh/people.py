"""Models of the clients, which send requests to proxies, and of two operators, who configure the mesh."""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.ground import MachineNetwork
from brackengate.emulator.mesh.names import WireNames
from brackengate.emulator.mesh.order_troubles import ChangeFaults
from brackengate.emulator.mesh.scenario import MeshScenario, Route
from brackengate.emulator.mesh.talk import HttpMessage, HttpRequest, encode_message
from brackengate.emulator.process import Process
from brackengate.net.sockets import Address

HOST = "h.example"
MAX_ATTEMPTS = 4
FIRST_RETRY_DELAY_US = 30 * MS  # without Retry-After; doubled for each further attempt
READINESS_INTERVAL_US = S  # between the platform's readiness checks of a proxy
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class MeshContext(Protocol):
    """What clients and operators use of the simulated mesh."""

    loop: Loop
    net: MachineNetwork
    scenario: MeshScenario
    services: list[str]
    names: WireNames

    def trace(self, what: str, *of: object) -> None:
        """Records an event."""
        ...

    def active_proxies(self) -> Sequence[ProxyMachine]:
        """The machines with proxies that currently exist."""

    def probe(self, route: str) -> None:
        """Sends a request that shows which configuration is in force at some machine."""

    def control_addresses(self, list_age: int) -> list[Address]:
        """Addresses of the control replicas in the operators' list, as it was `list_age` microseconds ago."""


class ProxyMachine(Protocol):
    """A machine with a proxy, as its clients see it."""

    ip: str
    zone: str
    service: str
    in_rotation: bool

    @property
    def outbound(self) -> Address:
        """Where clients send requests."""
        ...

    @property
    def readiness(self) -> Address:
        """Where the platform checks readiness."""
        ...


@dataclass(eq=False, slots=True)
class ClientOperation:
    """An operation of a client, across all its attempts; times in microseconds."""

    number: int
    route: str
    kind: str
    work: int
    target_latency: int
    proxy: ProxyMachine
    started: int
    deadline: int
    key: str = ""
    repeat_chance: float = 0.0  # chance that the operation is sent once more when it has ended
    attempts: int = 0


class Callers:
    """The clients on all machines, and the platform that checks the readiness of proxies."""

    def __init__(self, context: MeshContext, seed: int) -> None:
        self._context, self._loop = context, context.loop
        self._rng = random.Random(f"{seed}/callers")
        self._operation_count = self._attempt_count = 0
        self._clients: dict[str, Process] = {}  # client processes, by IP address
        self._readiness_failures: dict[str, int] = {}  # consecutive, by IP address
        self.until = 0

    def start(self, until: int) -> None:
        """Sends requests at the rates of the scenario until a time in microseconds."""
        self.until = until
        for name, route in self._context.scenario.route.items():
            if route.rate > 0:
                self._schedule_next(name, route)
        self._schedule_probes()
        self._check_readiness()

    def _client_at(self, proxy: ProxyMachine) -> Process:
        found = self._clients.get(proxy.ip)
        if found is None:
            found = self._clients[proxy.ip] = Process(self._loop, self._context.net, proxy.ip, "clients")
        return found

    def _check_readiness(self) -> None:
        for proxy in self._context.active_proxies():
            data = encode_message("GET /v1/readiness HTTP/1.1", {"Host": "pilot"})
            HttpRequest(
                self._client_at(proxy), proxy.readiness, data, partial(self._readiness_checked, proxy), S - MS
            )
        if self._loop.now < self.until:
            self._loop.after(READINESS_INTERVAL_US, self._check_readiness)

    def _readiness_checked(self, proxy: ProxyMachine, response: HttpMessage | None, reason: str) -> None:
        if response is not None and response.status == 200:
            proxy.in_rotation, self._readiness_failures[proxy.ip] = True, 0
            return
        self._readiness_failures[proxy.ip] = self._readiness_failures.get(proxy.ip, 0) + 1
        if self._readiness_failures[proxy.ip] >= 2:
            proxy.in_rotation = False

    def _proxies_in_rotation(self) -> list[ProxyMachine]:
        """The machines whose clients send requests: those that are ready, and all of a zone in which fewer
        than half are ready."""
        zones: dict[str, list[ProxyMachine]] = {}
        for proxy in self._context.active_proxies():
            zones.setdefault(proxy.zone, []).append(proxy)
        found: list[ProxyMachine] = []
        for proxies in zones.values():
            ready = [proxy for proxy in proxies if proxy.in_rotation]
            found += ready if 2 * len(ready) >= len(proxies) else proxies
        return found

    def _schedule_next(self, name: str, route: Route) -> None:
        def due() -> None:
            if self._loop.now < self.until:
                self._schedule_next(name, route)
                self._start_operation(name, route)

        self._loop.after(int(self._rng.expovariate(route.rate) * 1e6), due)

    def _start_operation(self, name: str, route: Route) -> None:
        proxies = self._proxies_in_rotation()
        if not proxies:
            return
        self._operation_count += 1
        now, number = self._loop.now, self._operation_count
        key = f"k{number}" if route.kind == "keyed" else ""
        operation = ClientOperation(
            number, name, route.kind, int(route.work), int(route.aim), self._rng.choice(proxies),
            now, now + int(route.deadline), key, float(route.again),
        )  # fmt: skip
        self._send_attempt(operation)

    def probe(self, route: str) -> None:
        """Sends a request without retries to a random proxy, to see whether it has the route."""
        proxies = self._proxies_in_rotation()
        if proxies and self._loop.now < self.until:
            self._operation_count += 1
            now, proxy = self._loop.now, self._rng.choice(proxies)
            self._send_attempt(
                ClientOperation(
                    self._operation_count, route, "probe", 10 * MS, 300 * MS, proxy, now, now + 500 * MS
                )
            )

    def _schedule_probes(self) -> None:
        """Sends probes on routes that the operators add and remove, and on one that never exists."""

        def due() -> None:
            if self._loop.now < self.until:
                self._schedule_probes()
                self.probe(f"x{self._rng.randrange(4)}")

        self._loop.after(int(self._rng.expovariate(self._context.scenario.operators.probes) * 1e6), due)

    def _send_attempt(self, operation: ClientOperation) -> None:
        operation.attempts += 1
        self._attempt_count += 1
        attempt, proxy = f"a{self._attempt_count}", operation.proxy
        method = "GET" if operation.kind in ("idempotent", "probe") else "POST"
        target = f"/{operation.route}/{operation.work}/{operation.number}"
        body = b"" if method == "GET" else f"wants {operation.number}".encode()
        left = max(MS, operation.deadline - self._loop.now)
        fields = {
            "Host": HOST,
            "X-Brackengate-Attempt-Id": attempt,
            "X-Brackengate-Deadline-Ms": str(left // MS),
        }
        if operation.key:
            fields["X-Brackengate-Operation-Key"] = operation.key
        request_text = f"{method} {target} {body.decode()}"
        self._context.trace(
            "asked",
            attempt,
            operation.number,
            operation.route,
            operation.kind,
            operation.key,
            proxy.ip,
            proxy.service,
            request_text,
        )
        data = encode_message(f"{method} {target} HTTP/1.1", fields, body)
        HttpRequest(
            self._client_at(proxy),
            proxy.outbound,
            data,
            partial(self._attempt_ended, operation, attempt),
            left,
        )

    def _attempt_ended(
        self, operation: ClientOperation, attempt: str, response: HttpMessage | None, reason: str
    ) -> None:
        trace, now = self._context.trace, self._loop.now
        if response is None:
            trace("ended", attempt, reason, "", "", False)
            status, retry_after = 0, 0
        else:
            status, fields = response.status, response.fields
            seal, body = fields.get("x-brackengate-server-seal", ""), response.body.decode("latin-1")
            trace("ended", attempt, status, seal, body, response.has_trailing_data)
            retry_after = int(float(fields.get("retry-after", "0")) * 1e6)
        if 200 <= status < 300:
            trace(
                "served", operation.number, operation.route, now - operation.started, operation.target_latency
            )
            self._maybe_repeat(operation)
            return
        retry = operation.kind in ("idempotent", "keyed") or status in NOT_EXECUTED_STATUSES
        if status in (400, 401, 404, 413, 431) or operation.kind == "probe":
            retry = False
        pause = max(
            min(retry_after, (operation.deadline - now) // 3),
            FIRST_RETRY_DELAY_US << (operation.attempts - 1),
        )
        if retry and operation.attempts < MAX_ATTEMPTS and now + pause + MS < operation.deadline:
            self._loop.after(pause, partial(self._send_attempt, operation))
        else:
            trace("failed", operation.number, operation.route, status or reason)
            self._maybe_repeat(operation)

    def _maybe_repeat(self, operation: ClientOperation) -> None:
        """Sometimes sends an ended operation again, from another zone."""
        if not operation.key or self._rng.random() >= operation.repeat_chance:
            return
        other_proxies = [
            one
            for one in self._context.active_proxies()
            if one.in_rotation and one.zone != operation.proxy.zone
        ]
        other_proxies = other_proxies or [one for one in self._context.active_proxies() if one.in_rotation]
        wait = int(self._rng.uniform(0.05, 12.0) * 1e6)
        if not other_proxies or self._loop.now + wait >= self.until:
            return
        proxy, time_limit = self._rng.choice(other_proxies), operation.deadline - operation.started

        def due() -> None:
            self._operation_count += 1
            now = self._loop.now
            repeat = ClientOperation(
                operation.number, operation.route, operation.kind, operation.work,
                operation.target_latency, proxy, now, now + time_limit, operation.key,
                operation.repeat_chance / 2,
            )  # fmt: skip
            self._context.trace("repeats", operation.number)
            self._send_attempt(repeat)

        self._loop.after(wait, due)


# --- the operators


@dataclass(eq=False, slots=True)
class Change:
    """A configuration change by an operator, across all its attempts."""

    number: int
    body: bytes
    items: list[tuple[str, int, tuple[str, ...]]]  # route, version, services; no services: removed
    valid: bool = True
    attempts: int = 0
    rejections: int = 0  # answers 4xx other than 408 and 429
    lost_ack_addresses: list[Address] = field(default_factory=list)  # replicas whose acknowledgement was lost
    avoid: Address | None = None  # a replica that the first attempt is not sent to
    address: Address | None = None  # of the last attempt
    acknowledged: bool = False
    done: Callable[[Change], None] | None = None  # called once, on its acknowledgement


@dataclass(slots=True)
class LostAcks:
    """Until a time in microseconds, this share of the acknowledgements to the operators is lost."""

    until: int = 0
    share: float = 0.0


class Operators:
    """Two operators, who change the configuration; one of them reads it back at the end."""

    def __init__(self, context: MeshContext, seed: int) -> None:
        self._context, self.loop = context, context.loop
        self.trace, self.services = context.trace, context.services
        self.probe, self.apply_time = context.probe, int(context.scenario.limits.apply_time)
        self._rng = random.Random(f"{seed}/operators")
        context.net.zones["operators"] = context.scenario.zones[0]
        self._process = Process(context.loop, context.net, "operators", "operators")
        self._changes = 0
        self._versions: dict[str, int] = {}
        self._used_versions: dict[str, set[int]] = {}  # all versions used in changes, by route
        self.on_next_ack: list[Callable[[], None]] = []  # called once, at the next acknowledgement
        self.on_next_send: list[Callable[[], None]] = []  # called once, when the next valid change is sent
        self.lost_acks = LostAcks()
        self.history: list[Change] = []  # acknowledged valid changes, oldest first
        self.answered_by: Address | None = None  # the replica that last answered a change
        self.troubles = ChangeFaults(self, random.Random(f"{seed}/order troubles"))
        self._ack_rng = random.Random(f"{seed}/lost acks")
        self.until = 0

    def start(self, until: int) -> None:
        """Sends the initial configuration, then changes as the scenario says until a time in microseconds."""
        self.until = until
        scenario = self._context.scenario
        plants = [
            {"Name": name, "HealthPath": "/health", "ConnLimit": 110, "Revision": "r1"}
            for name in self._context.services
        ]
        limits = {"HeaderMaxBytes": 16384, "BodyMaxBytes": 67108864, "Revision": "r1"}
        routes = [(name, (route.service,)) for name, route in scenario.route.items()]
        self.send(routes, plants=plants, limits=limits)
        if scenario.operators.every:
            self.loop.after(5 * S, self._schedule_next)

    def _schedule_next(self) -> None:
        settings = self._context.scenario.operators
        if self.loop.now >= self.until:
            return
        self.loop.after(int(self._rng.uniform(0.5, 1.5) * int(settings.every)), self._schedule_next)
        self._change()
        if self._rng.random() < settings.race:
            self._change()

    def send_valid_change(self) -> None:
        """Sends a valid change of a random route."""
        name = self._rng.choice(list(self._context.scenario.route))
        self.send([(name, (self._rng.choice(self._context.services),))])

    def _change(self) -> None:
        rng, scenario = self._rng, self._context.scenario
        if rng.random() < float(scenario.operators.invalid):
            self.send([(rng.choice(list(scenario.route)), ("nobody",))], valid=False)
            return
        choice = rng.random()
        if choice < 0.5:
            name = f"x{rng.randrange(3)}"
            self.send([(name, (rng.choice(self._context.services),) if rng.random() < 0.6 else ())])
        else:
            name = rng.choice(list(scenario.route))
            count = min(len(self._context.services), rng.choice((1, 1, 2)))
            self.send([(name, tuple(rng.sample(self._context.services, count)))])

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
        """Sends a configuration change.

        `version`: for all its routes, instead of the next version of each; `avoid`: a replica that the first
        attempt is not sent to; `done`: called once it is acknowledged; `digits`: number of random, so
        incompressible, hexadecimal digits that are added to each route.
        """
        names = self._context.names
        paths: list[dict[str, object]] = []
        removed: list[dict[str, object]] = []
        items: list[tuple[str, int, tuple[str, ...]]] = []
        for name, services in routes:
            number = version or self.next_version(name)
            if valid:
                self._versions[name] = max(number, self._versions.get(name, 0))
            items.append((name, number, services))
            self._used_versions.setdefault(name, set()).add(number)
            if not services:
                removed.append({"Name": names.route(name), "Revision": f"r{number}"})
                continue
            route = self._context.scenario.route.get(name)
            path: dict[str, object] = {
                "Name": names.route(name),
                "PathPrefix": f"/{name}/",
                "SignalKind": route.kind if route else "idempotent",
                "Cutoff": f"{(int(route.deadline) if route else 500 * MS) // MS}ms",
                "Setpoint": f"{(int(route.aim) if route else 300 * MS) // MS}ms",
                "Priority": 1,
                "MaxAttempts": route.attempts if route else 2,
                "Revision": f"r{number}",
            }
            if len(services) == 1:
                path["Plant"] = names.service(services[0])
            else:
                path["Split"] = [{"Plant": names.service(one), "Gain": 1} for one in services]
            if digits:
                path["Note"] = f"{self._ack_rng.getrandbits(4 * digits):x}"
            paths.append(path)
        call: dict[str, object] = {"Hosts": [{"Host": HOST, "Paths": paths}]} if paths else {}
        if plants is not None:
            call["Plants"] = [{**plant, "Name": names.service(str(plant["Name"]))} for plant in plants]
        if limits is not None:
            call["Limits"] = limits
        remove: dict[str, object] = {"Routes": removed}
        if removed_plants:
            remove["Plants"] = [
                {"Name": names.service(name), "Revision": f"r{number}"} for name, number in removed_plants
            ]
        body = json.dumps({"Apply": call, "Remove": remove}).encode()
        self._changes += 1
        change = Change(self._changes, body, items, valid, avoid=avoid, done=done)
        for name, number, services in items:
            self.trace("offers", change.number, name, number, services, valid)
        self._send_attempt(change)
        if valid:
            _call_all(self.on_next_send)
        return change

    def next_version(self, name: str) -> int:
        """Returns a version above the current one of a route, and may skip some."""
        return self._versions.get(name, 0) + self._rng.randint(1, 3)

    def version_of(self, name: str) -> int:
        """Returns the newest version of a route in valid changes; 0 if there is none."""
        return self._versions.get(name, 0)

    def used_versions(self, name: str) -> set[int]:
        """Returns all versions of a route in changes so far."""
        return self._used_versions.get(name, set())

    def note_version(self, name: str, number: int) -> None:
        """Sets the newest version of a name."""
        self._versions[name] = number

    def resend(self, change: Change) -> None:
        """Sends an acknowledged change again, unchanged."""
        self.trace("resends", change.number)
        change.attempts = change.rejections = 0
        self._send_attempt(change)

    def _send_attempt(self, change: Change) -> None:
        change.attempts += 1
        addresses = self._context.control_addresses(int(self._context.scenario.operators.late))
        avoided = (
            [*change.lost_ack_addresses, change.avoid] if change.attempts == 1 else change.lost_ack_addresses
        )
        address = self._rng.choice([one for one in addresses if one not in avoided] or addresses)
        data = encode_message(
            "POST /v1/rpc?call=config.amend HTTP/1.1",
            {"Host": "core", "Content-Type": "application/json"},
            change.body,
        )
        self.trace("sends", change.number, address[0])
        change.address = address
        HttpRequest(self._process, address, data, partial(self._attempt_ended, change, address), S)

    def _attempt_ended(
        self, change: Change, address: Address, response: HttpMessage | None, reason: str
    ) -> None:
        status = response.status if response is not None else 0
        self.trace("said", change.number, status)
        if response is not None:
            self.answered_by = address
        if status == 200 and self._ack_is_lost():
            self.trace("ack lost", change.number)
            change.lost_ack_addresses.append(address)
            status = 0
        if status == 200:
            self._acknowledged(change)
            return
        if 400 <= status < 500 and status not in (408, 429):
            change.rejections += 1
            if status in (400, 409, 412, 413, 422) or change.rejections >= 3:
                return
        pause = min(S, 50 * MS << min(change.attempts, 5))
        self.loop.after(pause, partial(self._send_attempt, change))

    def _ack_is_lost(self) -> bool:
        lost = self.lost_acks
        return self.loop.now < lost.until and self._ack_rng.random() < lost.share

    def _acknowledged(self, change: Change) -> None:
        self.trace("acked", change.number)
        if change.valid and not change.acknowledged:
            self.history.append(change)
        change.acknowledged = True
        _call_all(self.on_next_ack)
        done, change.done = change.done, None
        if done is not None:
            done(change)

    def read(self, duration: int) -> None:
        """Reads the configuration back repeatedly for `duration` microseconds."""
        first, names = self.loop.now, self._context.names

        def ask() -> None:
            data = encode_message("POST /v1/rpc?call=config.read HTTP/1.1", {"Host": "core"})
            address, started = self._rng.choice(self._context.control_addresses(0)), self.loop.now
            HttpRequest(self._process, address, data, partial(done, started), S)

        def done(started: int, response: HttpMessage | None, reason: str) -> None:
            if response is not None and response.status == 200:
                routes_read: list[tuple[str, int, tuple[str, ...]]] = []
                for host in json.loads(response.body).get("Hosts", []):
                    for path in host["Paths"]:
                        plants = [one["Plant"] for one in path.get("Split") or []] or [path["Plant"]]
                        services = tuple(map(names.plain, plants))
                        routes_read.append((names.plain(path["Name"]), int(path["Revision"][1:]), services))
                self.trace("read", tuple(routes_read), started)
            else:
                self.trace("unread", response.status if response is not None else reason)
            if self.loop.now - first < duration:
                self.loop.after(300 * MS, ask)

        ask()


def _call_all(waiting: list[Callable[[], None]]) -> None:
    """Calls and removes each callback; one that is to be called again has to be added again."""
    called, waiting[:] = list(waiting), []
    for do in called:
        do()
