"""Egress: routes requests that begin on this machine to a service, and on to the proxy beside an upstream."""

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
from brackengate.http.message import IncomingRequest, RequestError
from brackengate.http.upstream import UpstreamResponse
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
SEND_STALL_TIMEOUT_MS = 500  # without any bytes taken by the peer; a partition closes no connection
IDLE_TIMEOUT_S = 60.0  # of connections to other proxies, which use the same limit
WARM_UP_US = 3_000_000
CONFLICT = 409
TIER = 1  # deadlines are the clients' own: the balancer reserves no part of them
# A request is given up this long after its client's deadline: the deadline header is in whole milliseconds,
# and an upstream ends its work by itself at the deadline it is handed.
DEADLINE_SLACK_US = 20_000
CLIENT_RETRY_BELOW = 0.97  # share of a route's timeout: a client that has less left has tried before
SHUTDOWN_RETRY_AFTER = b"Retry-After: %.1f\r\n" % (RETRY_AFTER_US / 1e6)
DEFAULT_RETRY_AFTER_US = 80_000  # if nothing better is known: a full upstream has finished some work by then


@dataclass(slots=True)
class OutgoingRequest(Message):
    """A request to another proxy; its target instance and remaining time differ with each attempt.

    `keyed`: it has an operation key.  `client_retry`: its client was rejected before.  `priority`: the
    route's, 0 is the highest.
    """

    keyed: bool = False
    route_name: str = ""
    target_before_deadline_ms: int = 0  # how long before its deadline its answer starts to lose value
    client_retry: bool = False
    priority: int = 0

    def payload(self, remaining_ms: int, upstream: str, number: int) -> bytes:
        """The bytes of attempt `number` at `upstream`, with the time it has left."""
        remaining_ms = max(1, remaining_ms - DEADLINE_SLACK_US // 1000)
        target_latency_ms = remaining_ms - self.target_before_deadline_ms
        hop = HopInfo(
            upstream,
            self.keyed,
            number,
            target_latency_ms=target_latency_ms,
            client_retry=self.client_retry,
            route=self.route_name,
            priority=self.priority,
        )
        return b"%s%s%s: %d\r\n\r\n%s" % (self.head, hop.header_line(), DEADLINE, remaining_ms, self.body)


class EgressReplies:
    """What the client gets: upstreams' answers unchanged, and rejections with a Retry-After."""

    def success(self, result: Result) -> Reply:
        """The answer of the upstream that served the request."""
        answer = result.response
        assert answer is not None
        return forwarded_answer(answer)

    def streaming(self, head: UpstreamResponse) -> Reply:
        """The head of a streamed answer."""
        return forwarded_answer(head)

    def failure(
        self, status: int, retry_after: int, last: Result | None, ran: Sequence[EarlierAttempt]
    ) -> Reply:
        """The answer to a request that no upstream served.

        503 promises that nothing has run, so it is given only where no attempt can have run.  `last`: the
        last attempt's result.  `ran`: attempts that may have run.
        """
        answer = last.response if last is not None else None
        if (
            answer is not None
            and parse_hop_outcome(answer.fields) is HopOutcome.RAN
            and status != STATUS_GATEWAY_TIMEOUT
        ):
            return forwarded_answer(answer)
        outcome = parse_hop_outcome(answer.fields) if answer is not None else None
        if outcome is HopOutcome.BUSY:
            return Reply(CONFLICT)
        if not ran or (outcome is HopOutcome.UNKNOWN and len(ran) <= 1):  # this attempt never runs
            if status == STATUS_UNAVAILABLE or ran:
                return Reply(STATUS_UNAVAILABLE, retry_after_us=retry_after or DEFAULT_RETRY_AFTER_US)
        elif (
            status == STATUS_UNAVAILABLE
        ):  # the balancer rejects what may be repeated; a 503 would promise it never ran
            return Reply(STATUS_BAD_GATEWAY)
        return Reply(status)


class Service:
    """The upstreams of one service, and the balancer that chooses among them."""

    def __init__(
        self,
        name: str,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        socket_budget: SocketBudget,
        seed: int,
        body_budget: ByteBudget | None = None,
        wire: NetworkBackend | None = None,
    ) -> None:
        self.name, self._clock = name, clock
        self.pool = Pool(
            loop,
            socket_budget,
            CONNECT_TIMEOUT_S,
            IDLE_TIMEOUT_S,
            body_budget,
            network=wire,
            classify=classify_proxy_answer,
            settle_us=0,
            tcp_user_timeout_ms=SEND_STALL_TIMEOUT_MS,
            stream_slow_responses=False,
        )  # the node's upstream list is the pool's
        settings = Settings(
            classes=(),
            tier=TIER,
            cold_share=0.4,
            cold_time=WARM_UP_US,
            max_attempts=MAX_TOTAL_ATTEMPTS,  # of any kind; the route limits how many may reach an upstream
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
        # By upstream: when it became known here, minus the part of its warm-up that was over by then.
        self._warm_since: dict[str, int] = {}
        self._proxy_incarnations: dict[str, str] = {}  # by upstream, of the proxy beside it

    def update_upstreams(self, rows: list[tuple[str, UpstreamReport, Address]]) -> None:
        """Replace the list of upstreams.  `rows`: machine, instance row, address of its proxy."""
        now = self._clock.now()
        listed_ids = {instance.id for _, instance, _ in rows}
        self._warm_since = {id_: at for id_, at in self._warm_since.items() if id_ in listed_ids}
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
        self.node.update_upstreams(ListKind.FULL, endpoints)
        before, self._proxy_incarnations = (
            self._proxy_incarnations,
            {instance.id: instance.proxy_incarnation for _, instance, _ in rows},
        )
        for id_, incarnation in self._proxy_incarnations.items():
            if before.get(id_, incarnation) != incarnation:  # its predecessor was the process that failed
                self.node.post_event(UpstreamHealth(id_, True))

    def set_health(self, address: Address, up: bool) -> None:
        """Apply what the liveness monitor found out about a machine."""
        for id_ in [id_ for id_, at in self.pool.addresses.items() if at == address]:
            self.node.post_event(UpstreamHealth(id_, up))

    def update_classes(self, changed: dict[str, RequestClass], gone: set[str]) -> None:
        """Add or replace the request classes of routes, and remove those of routes that are gone."""
        for name in gone:
            self.classes.pop(name, None)
        self.classes.update(changed)
        self.node.post_event(ClassesChanged(tuple(changed.values()), tuple(sorted(gone))))


class Egress:
    """Protocol frontend of the `Outbound` listener."""

    max_body_bytes = MAX_BODY_BYTES

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
        wire: NetworkBackend | None = None,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        """`service`: of the upstream beside this proxy.  `address_of`: of the proxy on a machine.
        `shared_retry_budget`: ratio and slack of the budget that all proxies share.  `body_budget`: the
        process's limit on buffered bodies.  `wire`: as for a pool.  `is_current`: whether the table is recent
        enough to decide that a request has no route."""
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
        self._services_by_route: dict[str, set[str]] = {}
        self.unrouted = UnroutedRequests(loop, is_current, self._send_held)
        self._is_current = is_current
        self._shutdown_plan: ShutdownPlan | None = None
        self._known_proxies = 0  # their number, as last given to the services
        self._request_count = 0

    # --- routing table

    def apply_table_changes(self) -> None:
        """Update the services with all table entries that changed since the last call."""
        changed_names = self._table.take_changed_names()
        new_services = self._update_routes(changed_names.routes)
        for name in sorted((changed_names.services | new_services) & self.services.keys()):
            upstreams = self._table.upstreams_of(name)
            self.services[name].update_upstreams(
                [(machine, instance, self._address_of(machine)) for machine, instance in upstreams.items()]
            )
        proxies = len(self._table.proxy_machines()) if changed_names.services else self._known_proxies
        for name, service in self.services.items():
            if proxies != self._known_proxies or name in new_services:
                service.node.post_event(proxy_retry_budget(*self._retry_budget, proxies))
        self._known_proxies = proxies

    def _update_routes(self, names: set[str]) -> set[str]:
        """Update the services of these routes; returns the names of services that were created."""
        changed: dict[str, dict[str, RequestClass]] = {}
        gone: dict[str, set[str]] = {}
        for name in sorted(names):
            route = self._table.route(name)
            targets = {part.service for part in route.services} if route is not None else set()
            for service in self._services_by_route.pop(name, set()) - targets:
                gone.setdefault(service, set()).add(name)
            if route is not None:
                self._services_by_route[name] = targets
                class_ = _request_class_of(route)
                for service in targets:
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
        """A machine has gone silent (False) or answers again."""
        for service in self.services.values():
            service.set_health(self._address_of(machine), up)

    def break_connections(self, machine: str) -> None:
        """End what is in flight to a machine, as if its connections had broken."""
        for service in self.services.values():
            service.pool.reset_connections(self._address_of(machine)[0])

    # --- requests

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Forward a client's request by its route.

        `Bad`: 503 without configuration or during shutdown, 404 if no route is in force.
        """
        if connection.closed_by_caller():
            return
        attempt = arrival.fields.get(ATTEMPT_ID_FIELD, b"")
        if not self._table.has_configuration:
            self._request_log.record_rejection(attempt, arrival.received_at, 503, "no configuration yet")
            raise RequestError(503, "no configuration yet", b"Retry-After: 0.3\r\n")
        route = self._find_route(arrival)
        if route is not None:
            if not self._accepts(route, arrival):
                self._request_log.record_rejection(
                    attempt, arrival.received_at, STATUS_UNAVAILABLE, "this proxy leaves"
                )
                raise RequestError(STATUS_UNAVAILABLE, "this proxy leaves", SHUTDOWN_RETRY_AFTER)
            self._forward(route, arrival, connection)
        elif self._is_current():
            self._request_log.record_rejection(attempt, arrival.received_at, NOT_FOUND, "no route")
            raise RequestError(NOT_FOUND, "no route")
        else:
            self._request_log.record_rejection(
                attempt, arrival.received_at, STATUS_UNAVAILABLE, "no route, and it may be behind"
            )
            self.unrouted.hold(arrival, connection)

    def start_shutdown(self, plan: ShutdownPlan) -> None:
        """From now on accept requests only as the plan allows."""
        self._shutdown_plan = plan

    def _accepts(self, route: Route, arrival: IncomingRequest) -> bool:
        plan = self._shutdown_plan
        return plan is None or plan.accepts(time_limit_of(route, arrival), self._clock.now())

    def _find_route(self, arrival: IncomingRequest) -> Route | None:
        host = host_without_port(arrival.fields.get(b"host", b""))
        path = arrival.target.partition(b"?")[0].decode("latin-1")
        return self._table.find(host, path)

    def _send_held(self, arrival: IncomingRequest, connection: CallerConnection) -> bool:
        route = self._find_route(arrival)
        if route is not None:
            self._forward(route, arrival, connection)
        return route is not None

    def _forward(self, route: Route, arrival: IncomingRequest, connection: CallerConnection) -> None:
        attempt = arrival.fields.get(ATTEMPT_ID_FIELD, b"")
        service = self.services[self._choose_service(route, arrival)]
        time_limit = time_limit_of(route, arrival)
        self._request_count += 1
        request = Request(
            str(self._request_count),
            route.name,
            arrival.received_at + max(time_limit, 1000) + DEADLINE_SLACK_US,
        )
        self._request_log.record_request(
            request.request, attempt, arrival.received_at, route.name, service.name, time_limit
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
        message.stream_response = arrival.method != b"HEAD"  # an answer to HEAD has a length and no body
        message.call_id = attempt
        message.still_wanted = partial(_is_awaited, connection)
        message.client_retry = time_limit < CLIENT_RETRY_BELOW * route.cutoff
        connection.expect_answer(partial(service.node.client_disconnected, request.request, connection))
        service.node.submit(request, message, connection)

    def _choose_service(self, route: Route, arrival: IncomingRequest) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        key = arrival.fields.get(OPERATION_KEY.lower())
        at = zlib.crc32(key) / 2**32 if key else self._rng.random()  # repeats go where the first one went
        return choose_service(route.services, at)

    def pending_count(self) -> int:
        """Requests that are held or in flight."""
        return self.unrouted.count() + sum(
            service.node.unfinished_count() for service in self.services.values()
        )


def time_limit_of(route: Route, arrival: IncomingRequest) -> int:
    """The time a request may take, in microseconds: its client's deadline or its route's, the shorter."""
    left = arrival.fields.get(DEADLINE.lower(), b"")
    return min(int(left) * 1000, route.cutoff) if left.isdigit() and len(left) < 10 else route.cutoff


def _is_awaited(connection: CallerConnection) -> bool:
    return not connection.closed_by_caller()


def _request_class_of(route: Route) -> RequestClass:
    kind = Idempotency.REPEATABLE if route.kind == "idempotent" else Idempotency.UNSAFE
    target_latency = min(route.setpoint, route.cutoff)
    deadline = route.cutoff + DEADLINE_SLACK_US
    return RequestClass(
        route.name, target_latency, deadline, kind, late_value=0.3, max_attempts=route.attempts
    )
