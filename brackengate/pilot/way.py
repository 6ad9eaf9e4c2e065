"""The way out: requests that begin on this machine, by route and service to a pilot beside an upstream."""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from brackengate.brain import Balancer
from brackengate.http.body import ByteBudget
from brackengate.http.message import IncomingRequest, RequestError
from brackengate.http.upstream import UpstreamResponse
from brackengate.interface import (
    ClassesChanged,
    Earlier,
    Endpoint,
    Idempotency,
    Lifecycle,
    ListKind,
    Request,
    RequestClass,
    Settings,
    Standing,
)
from brackengate.net.environment import NetworkBackend
from brackengate.net.http import CallerConnection
from brackengate.net.node import (
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    Clock,
    Message,
    Node,
    Reply,
)
from brackengate.net.sockets import Address, SocketBudget
from brackengate.net.upstream import Pool, Result
from brackengate.pilot.budget import ration
from brackengate.pilot.hop import CALLER, DEADLINE, HOP, KEY, Said, Step, forwarded, hop_of, passed_on
from brackengate.pilot.leaving import REFUSED_FOR, LeavePlan
from brackengate.pilot.table import Table, choose, host_of
from brackengate.pilot.unrouted import NOT_FOUND, Unrouted
from brackengate.pilot.verdict import judge
from brackengate.pilot.wake import ID, Wake
from brackengate.policy.state import MOST_TRIES
from brackengate.signals.door import MOST_BODY
from brackengate.signals.items import Route
from brackengate.signals.words import Instance

log = logging.getLogger("brackengate.way")

CONNECT_S = 0.25
SILENT_MS = 500  # a machine that takes no bytes for so long is given up: a cut says nothing
IDLE_S = 60.0  # of connections to other pilots, which keep theirs as long
COLD_TIME = 3_000_000
CONFLICT = 409
TIER = 1  # deadlines are the callers' own: the module keeps no part of them back
END_SLACK = 20_000  # a request is given up so long behind its client's deadline: that is told in whole
# milliseconds, and an upstream ends its work by itself at what it is handed
AGAIN_PART = 0.97  # of a route's time: a client that has less left has tried before
LEAVING = b"Retry-After: %.1f\r\n" % (REFUSED_FOR / 1e6)
RETRY_AFTER = 80_000  # told where nothing better is known: an upstream that was full has moved on by then


@dataclass(slots=True)
class Outgoing(Message):
    """A request on its way to another pilot: the target and the time that is left differ with each
    attempt."""

    keyed: bool = False
    route_name: str = ""
    aim_before_end_ms: int = 0  # how long before its deadline its answer loses worth
    again: bool = False
    rank: int = 0

    def payload(self, remaining_ms: int, upstream: str, number: int) -> bytes:
        remaining_ms = max(1, remaining_ms - END_SLACK // 1000)
        aim = remaining_ms - self.aim_before_end_ms
        step = Step(
            upstream, self.keyed, number, aim_ms=aim, again=self.again, route=self.route_name, rank=self.rank
        )
        return b"%s%s%s: %d\r\n\r\n%s" % (self.head, step.lines(), DEADLINE, remaining_ms, self.body)


class MeshWords:
    """Upstreams' answers go back as they are; refusals say when to come back."""

    def success(self, result: Result) -> Reply:
        answer = result.response
        assert answer is not None
        return passed_on(answer)

    def streaming(self, head: UpstreamResponse) -> Reply:
        return passed_on(head)

    def failure(self, status: int, retry_after: int, last: Result | None, ran: Sequence[Earlier]) -> Reply:
        answer = last.response if last is not None else None
        if answer is not None and hop_of(answer.fields) is Said.RAN and status != STATUS_GATEWAY_TIMEOUT:
            return passed_on(answer)
        said = hop_of(answer.fields) if answer is not None else None
        if said is Said.BUSY:
            return Reply(CONFLICT)
        if not ran or (said is Said.UNKNOWN and len(ran) <= 1):  # this try has not run, and will not
            if status == STATUS_UNAVAILABLE or ran:
                return Reply(STATUS_UNAVAILABLE, retry_after_us=retry_after or RETRY_AFTER)
        elif (
            status == STATUS_UNAVAILABLE
        ):  # the module refuses what may be repeated; a 503 would promise that it never ran
            return Reply(STATUS_BAD_GATEWAY)
        return Reply(status)


class Service:
    """The upstreams of one service, and the module that chooses among them."""

    def __init__(
        self,
        name: str,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        budget: SocketBudget,
        seed: int,
        bytes_: ByteBudget | None = None,
        wire: NetworkBackend | None = None,
    ) -> None:
        self.name, self._clock = name, clock
        self.pool = Pool(
            loop,
            budget,
            CONNECT_S,
            IDLE_S,
            bytes_,
            network=wire,
            classify=judge,
            settle_us=0,
            tcp_user_timeout_ms=SILENT_MS,
            stream_slow_responses=False,
        )  # a node's list is its pool's
        settings = Settings(
            classes=(),
            tier=TIER,
            cold_share=0.4,
            cold_time=COLD_TIME,
            max_attempts=MOST_TRIES,  # of any kind; a route says how many may reach an upstream
            retry_start=0.0,
            holds=False,
            free_unsent=True,
            one_round=True,
            connect_timeout=200_000,
            max_retry_after=RETRY_AFTER,
        )
        self.module = Balancer(settings, seed)
        self.node = Node(loop, clock, settings, self.module, self.pool, MeshWords())
        self.classes: dict[str, RequestClass] = {}  # by route
        self.node.classes = self.classes
        self._started: dict[str, int] = {}  # when an upstream became known here, less what it had been up
        self._pilots: dict[str, str] = {}  # by upstream, the life of the pilot beside it

    def listed(self, rows: list[tuple[str, Instance, Address]]) -> None:
        now = self._clock.now()
        named = {instance.id for _, instance, _ in rows}
        self._started = {id_: at for id_, at in self._started.items() if id_ in named}
        said: list[tuple[Endpoint, Address]] = []
        for _, instance, address in rows:
            started = self._started.get(instance.id)
            if started is None:
                started = now - COLD_TIME + instance.warmup if instance.warmup > 0 else 0
                self._started[instance.id] = started
            state = Lifecycle.SERVING if instance.state == "ready" else Lifecycle.DRAINING
            row = Endpoint(
                instance.id,
                instance.zone,
                state=state,
                weight=float(max(1, instance.capacity)),
                started_at=started,
            )
            said.append((row, address))
        self.node.update_upstreams(ListKind.FULL, said)
        before, self._pilots = self._pilots, {instance.id: instance.pilot for _, instance, _ in rows}
        for id_, life in self._pilots.items():
            if before.get(id_, life) != life:  # a new process: what had failed was the one before it
                self.node.post_event(Standing(id_, True))

    def standing(self, address: Address, up: bool) -> None:
        """What its watchers say of a machine."""
        for id_ in [id_ for id_, at in self.pool.addresses.items() if at == address]:
            self.node.post_event(Standing(id_, up))

    def change_classes(self, changed: dict[str, RequestClass], gone: set[str]) -> None:
        for name in gone:
            self.classes.pop(name, None)
        self.classes.update(changed)
        self.node.post_event(ClassesChanged(tuple(changed.values()), tuple(sorted(gone))))


class WayOut:
    """The front of `Outbound`."""

    max_body_bytes = MOST_BODY

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        budget: SocketBudget,
        table: Table,
        plant: str,
        address_of: Callable[[str], Address],
        rng: random.Random,
        budget_of_tries: tuple[float, float],
        wake: Wake,
        bytes_: ByteBudget | None = None,
        wire: NetworkBackend | None = None,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """`plant`: the service beside this pilot.  `address_of`: where the pilot of a machine is reached.
        `budget_of_tries`: the ratio and the slack that all pilots share.  `bytes_`: the process's bound on
        bodies.  `wire`: as of a pool.  `is_current`: whether the table may say that there is no route."""
        self._wake, self._wire = wake, wire
        self._tries = budget_of_tries
        self._loop, self._clock, self._budget, self._table = loop, clock, budget, table
        self._plant, self._address_of, self._rng, self._bytes = plant.encode(), address_of, rng, bytes_
        self.services: dict[str, Service] = {}
        self._goes_to: dict[str, set[str]] = {}  # services, by route
        self.unrouted = Unrouted(loop, is_current, self._begin_held)
        self._is_current = is_current
        self._leaving: LeavePlan | None = None
        self._pilots = 0  # of which the services know
        self._count = 0

    # --- what the table says

    def changed(self) -> None:
        """Bring the services to what the table says, as far as that has changed."""
        touched = self._table.take_touched()
        begun = self._routes_changed(touched.routes)
        for name in sorted((touched.services | begun) & self.services.keys()):
            upstreams = self._table.upstreams_of(name)
            self.services[name].listed(
                [(machine, one, self._address_of(machine)) for machine, one in upstreams.items()]
            )
        pilots = len(self._table.pilots()) if touched.services else self._pilots
        for name, service in self.services.items():
            if pilots != self._pilots or name in begun:
                service.node.post_event(ration(*self._tries, pilots))
        self._pilots = pilots

    def _routes_changed(self, names: set[str]) -> set[str]:
        """The services that are new by it."""
        changed: dict[str, dict[str, RequestClass]] = {}
        gone: dict[str, set[str]] = {}
        for name in sorted(names):
            route = self._table.route(name)
            now = {part.plant for part in route.parts} if route is not None else set()
            for service in self._goes_to.pop(name, set()) - now:
                gone.setdefault(service, set()).add(name)
            if route is not None:
                self._goes_to[name] = now
                class_ = _class_of(route)
                for service in now:
                    changed.setdefault(service, {})[name] = class_
        begun = changed.keys() - self.services.keys()
        for service in sorted(begun):
            self.services[service] = self._begin(service)
        for service in sorted(changed.keys() | gone.keys()):
            self.services[service].change_classes(changed.get(service, {}), gone.get(service, set()))
        return begun

    def _begin(self, name: str) -> Service:
        seed = self._rng.getrandbits(64)
        service = Service(name, self._loop, self._clock, self._budget, seed, self._bytes, self._wire)
        service.node.observer = self._wake
        return service

    def standing(self, machine: str, up: bool) -> None:
        for service in self.services.values():
            service.standing(self._address_of(machine), up)

    def given_up(self, machine: str) -> None:
        """What is under way there ends as if its connection had broken."""
        for service in self.services.values():
            service.pool.reset_connections(self._address_of(machine)[0])

    # --- requests

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        if connection.closed_by_caller():
            return
        attempt = arrival.fields.get(ID, b"")
        if not self._table.known:
            self._wake.turned_away(attempt, arrival.received_at, 503, "no configuration yet")
            raise RequestError(503, "no configuration yet", b"Retry-After: 0.3\r\n")
        route = self._route_of(arrival)
        if route is not None:
            if not self._takes(route, arrival):
                self._wake.turned_away(attempt, arrival.received_at, STATUS_UNAVAILABLE, "this proxy leaves")
                raise RequestError(STATUS_UNAVAILABLE, "this proxy leaves", LEAVING)
            self._send_on(route, arrival, connection)
        elif self._is_current():
            self._wake.turned_away(attempt, arrival.received_at, NOT_FOUND, "no route")
            raise RequestError(NOT_FOUND, "no route")
        else:
            self._wake.turned_away(
                attempt, arrival.received_at, STATUS_UNAVAILABLE, "no route, and it may be behind"
            )
            self.unrouted.hold(arrival, connection)

    def leave(self, plan: LeavePlan) -> None:
        """This proxy was told to stop."""
        self._leaving = plan

    def _takes(self, route: Route, arrival: IncomingRequest) -> bool:
        leaving = self._leaving
        return leaving is None or leaving.takes(limit_of(route, arrival), self._clock.now())

    def _route_of(self, arrival: IncomingRequest) -> Route | None:
        host = host_of(arrival.fields.get(b"host", b""))
        path = arrival.target.partition(b"?")[0].decode("latin-1")
        return self._table.find(host, path)

    def _begin_held(self, arrival: IncomingRequest, connection: CallerConnection) -> bool:
        route = self._route_of(arrival)
        if route is not None:
            self._send_on(route, arrival, connection)
        return route is not None

    def _send_on(self, route: Route, arrival: IncomingRequest, connection: CallerConnection) -> None:
        attempt = arrival.fields.get(ID, b"")
        service = self.services[self._choose(route, arrival)]
        limit = limit_of(route, arrival)
        self._count += 1
        request = Request(str(self._count), route.name, arrival.received_at + max(limit, 1000) + END_SLACK)
        self._wake.begins(request.request, attempt, arrival.received_at, route.name, service.name, limit)
        keyed = route.kind == "keyed" and KEY.lower() in arrival.fields
        head = forwarded(arrival, drop=(CALLER, DEADLINE, HOP)) + b"%s: %s\r\n" % (CALLER, self._plant)
        message = Outgoing(head, arrival.body, stream=arrival.stream, keyed=keyed, route_name=route.name)
        message.aim_before_end_ms = max(0, route.cutoff - route.setpoint) // 1000
        message.rank = max(0, route.priority)
        message.stream_response = arrival.method != b"HEAD"  # its answer tells a length and has no body
        message.call_id = attempt
        message.still_wanted = partial(_awaited, connection)
        message.again = limit < AGAIN_PART * route.cutoff
        connection.expect_answer(partial(service.node.client_disconnected, request.request, connection))
        service.node.submit(request, message, connection)

    def _choose(self, route: Route, arrival: IncomingRequest) -> str:
        if len(route.parts) == 1:
            return route.parts[0].plant
        key = arrival.fields.get(KEY.lower())
        at = zlib.crc32(key) / 2**32 if key else self._rng.random()  # a repeat goes where the first one went
        return choose(route.parts, at)

    def held(self) -> int:
        return self.unrouted.count() + sum(
            service.node.unfinished_count() for service in self.services.values()
        )


def limit_of(route: Route, arrival: IncomingRequest) -> int:
    """How long a request may take, in microseconds: its client's deadline or its route's, the sooner."""
    left = arrival.fields.get(DEADLINE.lower(), b"")
    return min(int(left) * 1000, route.cutoff) if left.isdigit() and len(left) < 10 else route.cutoff


def _awaited(connection: CallerConnection) -> bool:
    return not connection.closed_by_caller()


def _class_of(route: Route) -> RequestClass:
    kind = Idempotency.REPEATABLE if route.kind == "idempotent" else Idempotency.UNSAFE
    aim = min(route.setpoint, route.cutoff)
    longest = route.cutoff + END_SLACK
    return RequestClass(route.name, aim, longest, kind, late_worth=0.3, max_attempts=route.attempts)
