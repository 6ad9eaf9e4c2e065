"""The way out: requests that begin on this machine, by route and service to a pilot beside an upstream."""

from __future__ import annotations

import asyncio
import logging
import random
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

from brackengate.balancer import Balancer
from brackengate.http.body import ByteBudget
from brackengate.http.message import Arrival, Bad
from brackengate.http.upstream import Answered
from brackengate.interface import (
    ClassesChanged,
    EarlierAttempt,
    Endpoint,
    Idempotency,
    Lifecycle,
    ListKind,
    Request,
    RequestClass,
    Settings,
    UpstreamHealth,
)
from brackengate.net.ground import Wire
from brackengate.net.http import CallerConnection
from brackengate.net.node import FAILED, OVERDUE, REFUSED, Clock, Message, Node, Reply
from brackengate.net.sockets import Address, SocketBudget
from brackengate.net.upstream import Pool, Result
from brackengate.policy.state import MAX_TOTAL_ATTEMPTS
from brackengate.protocol.config_items import Route
from brackengate.protocol.http_api import MAX_BODY_BYTES
from brackengate.protocol.messages import UpstreamReport
from brackengate.proxy.answer_classification import classify_proxy_answer
from brackengate.proxy.budget import proxy_retry_budget
from brackengate.proxy.hop_headers import (
    CALLER_SERVICE,
    DEADLINE,
    HOP,
    OPERATION_KEY,
    HopInfo,
    HopOutcome,
    forwarded_answer,
    forwarded_head,
    parse_hop_outcome,
)
from brackengate.proxy.request_log import ATTEMPT_ID_FIELD, RequestLog
from brackengate.proxy.routing_table import RoutingTable, choose_service, host_without_port
from brackengate.proxy.shutdown_plan import RETRY_AFTER_US, ShutdownPlan
from brackengate.proxy.unrouted_requests import NOT_FOUND, UnroutedRequests

log = logging.getLogger("brackengate.way")

CONNECT_TIMEOUT_S = 0.25
SEND_STALL_TIMEOUT_MS = 500  # a machine that takes no bytes for so long is given up: a cut says nothing
IDLE_TIMEOUT_S = 60.0  # of connections to other pilots, which keep theirs as long
WARM_UP_US = 3_000_000
CONFLICT = 409
TIER = 1  # deadlines are the callers' own: the module keeps no part of them back
DEADLINE_SLACK_US = (
    20_000  # a request is given up so long behind its client's deadline: that is told in whole
)
# milliseconds, and an upstream ends its work by itself at what it is handed
CLIENT_RETRY_BELOW = 0.97  # of a route's time: a client that has less left has tried before
SHUTDOWN_RETRY_AFTER = b"Retry-After: %.1f\r\n" % (RETRY_AFTER_US / 1e6)
DEFAULT_RETRY_AFTER_US = (
    80_000  # told where nothing better is known: an upstream that was full has moved on by then
)


@dataclass(slots=True)
class OutgoingRequest(Message):
    """A request on its way to another pilot: the target and the time that is left differ with each
    attempt."""

    keyed: bool = False
    route_name: str = ""
    target_before_deadline_ms: int = 0  # how long before its deadline its answer loses worth
    client_retry: bool = False
    priority: int = 0

    def payload(self, remaining_ms: int, upstream: str, number: int) -> bytes:
        remaining_ms = max(1, remaining_ms - DEADLINE_SLACK_US // 1000)
        target_latency_ms = remaining_ms - self.target_before_deadline_ms
        step = HopInfo(
            upstream,
            self.keyed,
            number,
            target_latency_ms=target_latency_ms,
            client_retry=self.client_retry,
            route=self.route_name,
            priority=self.priority,
        )
        return b"%s%s%s: %d\r\n\r\n%s" % (self.head, step.header_line(), DEADLINE, remaining_ms, self.body)


class EgressReplies:
    """Upstreams' answers go back as they are; refusals say when to come back."""

    def served(self, result: Result) -> Reply:
        answer = result.answer
        assert answer is not None
        return forwarded_answer(answer)

    def begins(self, head: Answered) -> Reply:
        return forwarded_answer(head)

    def unserved(
        self, status: int, retry_after: int, last: Result | None, ran: Sequence[EarlierAttempt]
    ) -> Reply:
        answer = last.answer if last is not None else None
        if answer is not None and parse_hop_outcome(answer.fields) is HopOutcome.RAN and status != OVERDUE:
            return forwarded_answer(answer)
        outcome = parse_hop_outcome(answer.fields) if answer is not None else None
        if outcome is HopOutcome.BUSY:
            return Reply(CONFLICT)
        if not ran or (outcome is HopOutcome.UNKNOWN and len(ran) <= 1):  # this try has not run, and will not
            if status == REFUSED or ran:
                return Reply(REFUSED, retry_after=retry_after or DEFAULT_RETRY_AFTER_US)
        elif (
            status == REFUSED
        ):  # the module refuses what may be repeated; a 503 would promise that it never ran
            return Reply(FAILED)
        return Reply(status)


class Service:
    """The upstreams of one service, and the module that chooses among them."""

    def __init__(
        self,
        name: str,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        socket_budget: SocketBudget,
        seed: int,
        body_budget: ByteBudget | None = None,
        wire: Wire | None = None,
    ) -> None:
        self.name, self._clock = name, clock
        self.pool = Pool(
            loop,
            socket_budget,
            CONNECT_TIMEOUT_S,
            IDLE_TIMEOUT_S,
            body_budget,
            wire=wire,
            judge=classify_proxy_answer,
            settle=0,
            silent_ms=SEND_STALL_TIMEOUT_MS,
            slow=False,
        )  # a node's list is its pool's
        settings = Settings(
            classes=(),
            tier=TIER,
            cold_share=0.4,
            cold_time=WARM_UP_US,
            max_attempts=MAX_TOTAL_ATTEMPTS,  # of any kind; a route says how many may reach an upstream
            retry_start=0.0,
            wait_for_upstream=False,
            unsent_attempts_free=True,
            fail_fast=True,
            connect_timeout=200_000,
            max_retry_after=DEFAULT_RETRY_AFTER_US,
        )
        self.balancer = Balancer(settings, seed)
        self.node = Node(loop, clock, settings, self.balancer, self.pool, EgressReplies())
        self.classes: dict[str, RequestClass] = {}  # by route
        self.node.classes = self.classes
        self._warm_since: dict[str, int] = {}  # when an upstream became known here, less what it had been up
        self._proxy_incarnations: dict[str, str] = {}  # by upstream, the life of the pilot beside it

    def update_upstreams(self, rows: list[tuple[str, UpstreamReport, Address]]) -> None:
        now = self._clock.now()
        named = {instance.id for _, instance, _ in rows}
        self._warm_since = {id_: at for id_, at in self._warm_since.items() if id_ in named}
        endpoints: list[tuple[Endpoint, Address]] = []
        for _, instance, address in rows:
            started = self._warm_since.get(instance.id)
            if started is None:
                started = now - WARM_UP_US + instance.warmup if instance.warmup > 0 else 0
                self._warm_since[instance.id] = started
            state = Lifecycle.SERVING if instance.state == "ready" else Lifecycle.DRAINING
            row = Endpoint(
                instance.id,
                instance.zone,
                state=state,
                weight=float(max(1, instance.capacity)),
                started_at=started,
            )
            endpoints.append((row, address))
        self.node.listed(ListKind.FULL, endpoints)
        before, self._proxy_incarnations = (
            self._proxy_incarnations,
            {instance.id: instance.proxy_incarnation for _, instance, _ in rows},
        )
        for id_, incarnation in self._proxy_incarnations.items():
            if (
                before.get(id_, incarnation) != incarnation
            ):  # a new process: what had failed was the one before it
                self.node.told(UpstreamHealth(id_, True))

    def set_health(self, address: Address, up: bool) -> None:
        """What its watchers say of a machine."""
        for id_ in [id_ for id_, at in self.pool.wanted.items() if at == address]:
            self.node.told(UpstreamHealth(id_, up))

    def update_classes(self, changed: dict[str, RequestClass], gone: set[str]) -> None:
        for name in gone:
            self.classes.pop(name, None)
        self.classes.update(changed)
        self.node.told(ClassesChanged(tuple(changed.values()), tuple(sorted(gone))))


class Egress:
    """The front of `Outbound`."""

    most_body = MAX_BODY_BYTES

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        socket_budget: SocketBudget,
        table: RoutingTable,
        service: str,
        address_of: Callable[[str], Address],
        rng: random.Random,
        shared_retry_budget: tuple[float, float],
        request_log: RequestLog,
        body_budget: ByteBudget | None = None,
        wire: Wire | None = None,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """`plant`: the service beside this pilot.  `address_of`: where the pilot of a machine is reached.
        `budget_of_tries`: the ratio and the slack that all pilots share.  `bytes_`: the process's bound on
        bodies.  `wire`: as of a pool.  `is_current`: whether the table may say that there is no route."""
        self._request_log, self._wire = request_log, wire
        self._retry_budget = shared_retry_budget
        self._loop, self._clock, self._socket_budget, self._table = loop, clock, socket_budget, table
        self._service, self._address_of, self._rng, self._body_budget = (
            service.encode(),
            address_of,
            rng,
            body_budget,
        )
        self.services: dict[str, Service] = {}
        self._services_by_route: dict[str, set[str]] = {}  # services, by route
        self.unrouted = UnroutedRequests(loop, is_current, self._send_held)
        self._is_current = is_current
        self._shutdown_plan: ShutdownPlan | None = None
        self._known_proxies = 0  # of which the services know
        self._request_count = 0

    # --- what the table says

    def apply_table_changes(self) -> None:
        """Bring the services to what the table says, as far as that has changed."""
        changed_names = self._table.take_changed_names()
        new_services = self._update_routes(changed_names.routes)
        for name in sorted((changed_names.services | new_services) & self.services.keys()):
            upstreams = self._table.upstreams_of(name)
            self.services[name].update_upstreams(
                [(machine, one, self._address_of(machine)) for machine, one in upstreams.items()]
            )
        proxies = len(self._table.proxy_machines()) if changed_names.services else self._known_proxies
        for name, service in self.services.items():
            if proxies != self._known_proxies or name in new_services:
                service.node.told(proxy_retry_budget(*self._retry_budget, proxies))
        self._known_proxies = proxies

    def _update_routes(self, names: set[str]) -> set[str]:
        """The services that are new by it."""
        changed: dict[str, dict[str, RequestClass]] = {}
        gone: dict[str, set[str]] = {}
        for name in sorted(names):
            route = self._table.route(name)
            now = {part.service for part in route.services} if route is not None else set()
            for service in self._services_by_route.pop(name, set()) - now:
                gone.setdefault(service, set()).add(name)
            if route is not None:
                self._services_by_route[name] = now
                class_ = _request_class_of(route)
                for service in now:
                    changed.setdefault(service, {})[name] = class_
        new_services = changed.keys() - self.services.keys()
        for service in sorted(new_services):
            self.services[service] = self._start_service(service)
        for service in sorted(changed.keys() | gone.keys()):
            self.services[service].update_classes(changed.get(service, {}), gone.get(service, set()))
        return new_services

    def _start_service(self, name: str) -> Service:
        seed = self._rng.getrandbits(64)
        service = Service(
            name, self._loop, self._clock, self._socket_budget, seed, self._body_budget, self._wire
        )
        service.node.observer = self._request_log
        return service

    def set_health(self, machine: str, up: bool) -> None:
        for service in self.services.values():
            service.set_health(self._address_of(machine), up)

    def break_connections(self, machine: str) -> None:
        """What is under way there ends as if its connection had broken."""
        for service in self.services.values():
            service.pool.break_off(self._address_of(machine)[0])

    # --- requests

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        if connection.abandoned():
            return
        attempt = arrival.fields.get(ATTEMPT_ID_FIELD, b"")
        if not self._table.has_configuration:
            self._request_log.record_rejection(attempt, arrival.at, 503, "no configuration yet")
            raise Bad(503, "no configuration yet", b"Retry-After: 0.3\r\n")
        route = self._find_route(arrival)
        if route is not None:
            if not self._accepts(route, arrival):
                self._request_log.record_rejection(attempt, arrival.at, REFUSED, "this proxy leaves")
                raise Bad(REFUSED, "this proxy leaves", SHUTDOWN_RETRY_AFTER)
            self._forward(route, arrival, connection)
        elif self._is_current():
            self._request_log.record_rejection(attempt, arrival.at, NOT_FOUND, "no route")
            raise Bad(NOT_FOUND, "no route")
        else:
            self._request_log.record_rejection(attempt, arrival.at, REFUSED, "no route, and it may be behind")
            self.unrouted.hold(arrival, connection)

    def start_shutdown(self, plan: ShutdownPlan) -> None:
        """This proxy was told to stop."""
        self._shutdown_plan = plan

    def _accepts(self, route: Route, arrival: Arrival) -> bool:
        plan = self._shutdown_plan
        return plan is None or plan.accepts(time_limit_of(route, arrival), self._clock.now())

    def _find_route(self, arrival: Arrival) -> Route | None:
        host = host_without_port(arrival.fields.get(b"host", b""))
        path = arrival.target.partition(b"?")[0].decode("latin-1")
        return self._table.find(host, path)

    def _send_held(self, arrival: Arrival, connection: CallerConnection) -> bool:
        route = self._find_route(arrival)
        if route is not None:
            self._forward(route, arrival, connection)
        return route is not None

    def _forward(self, route: Route, arrival: Arrival, connection: CallerConnection) -> None:
        attempt = arrival.fields.get(ATTEMPT_ID_FIELD, b"")
        service = self.services[self._choose_service(route, arrival)]
        limit = time_limit_of(route, arrival)
        self._request_count += 1
        request = Request(
            str(self._request_count), route.name, arrival.at + max(limit, 1000) + DEADLINE_SLACK_US
        )
        self._request_log.record_request(
            request.request, attempt, arrival.at, route.name, service.name, limit
        )
        keyed = route.kind == "keyed" and OPERATION_KEY.lower() in arrival.fields
        head = forwarded_head(arrival, drop=(CALLER_SERVICE, DEADLINE, HOP)) + b"%s: %s\r\n" % (
            CALLER_SERVICE,
            self._service,
        )
        message = OutgoingRequest(
            head, arrival.body, stream=arrival.stream, keyed=keyed, route_name=route.name
        )
        message.target_before_deadline_ms = max(0, route.cutoff - route.setpoint) // 1000
        message.priority = max(0, route.priority)
        message.in_pieces = arrival.method != b"HEAD"  # its answer tells a length and has no body
        message.call = attempt
        message.wanted = partial(_is_awaited, connection)
        message.client_retry = limit < CLIENT_RETRY_BELOW * route.cutoff
        connection.hold(partial(service.node.gone, request.request, connection))
        service.node.submit(request, message, connection)

    def _choose_service(self, route: Route, arrival: Arrival) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        key = arrival.fields.get(OPERATION_KEY.lower())
        at = zlib.crc32(key) / 2**32 if key else self._rng.random()  # a repeat goes where the first one went
        return choose_service(route.services, at)

    def pending_count(self) -> int:
        return self.unrouted.count() + sum(service.node.out() for service in self.services.values())


def time_limit_of(route: Route, arrival: Arrival) -> int:
    """How long a request may take, in microseconds: its client's deadline or its route's, the sooner."""
    left = arrival.fields.get(DEADLINE.lower(), b"")
    return min(int(left) * 1000, route.cutoff) if left.isdigit() and len(left) < 10 else route.cutoff


def _is_awaited(connection: CallerConnection) -> bool:
    return not connection.abandoned()


def _request_class_of(route: Route) -> RequestClass:
    kind = Idempotency.REPEATABLE if route.kind == "idempotent" else Idempotency.UNSAFE
    aim = min(route.setpoint, route.cutoff)
    longest = route.cutoff + DEADLINE_SLACK_US
    return RequestClass(route.name, aim, longest, kind, late_value=0.3, max_attempts=route.attempts)
