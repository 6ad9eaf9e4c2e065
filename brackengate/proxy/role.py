"""The pilot as a process: what is wanted, and the loops that bring it about.  Decides nothing.

Outbound   egress.py      requests that begin on this machine: route, service, choice, another pilot
Inbound    ingress.py     requests from pilots: gate, key, the upstream beside this one
Control    heartbeats.py  the upstream's beats
lighthouse control_client.py the log of changes in; reports and claims out
pilots     liveness_monitor.py signs of life, to and from the few others that watch this one
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import resource
import signal
from collections.abc import Callable, Iterable

import msgspec

from brackengate.http.body import ByteBudget
from brackengate.net.ground import Ground
from brackengate.net.node import Clock
from brackengate.net.server import Server
from brackengate.net.sockets import Address, SocketBudget
from brackengate.net.upstream import Pool
from brackengate.protocol import settings as files
from brackengate.protocol.http_api import Readiness, create_server
from brackengate.protocol.messages import ReportUpstream, UpstreamReport
from brackengate.protocol.settings import InvalidSettings, Settings, required_address
from brackengate.proxy.admission import Admission, Heartbeat
from brackengate.proxy.answer_classification import classify_proxy_answer, classify_upstream_answer
from brackengate.proxy.control_client import ControlClient
from brackengate.proxy.egress import Egress
from brackengate.proxy.heartbeats import HeartbeatEndpoint
from brackengate.proxy.ingress import Ingress
from brackengate.proxy.liveness_monitor import LivenessMonitor
from brackengate.proxy.reachability import Reachability
from brackengate.proxy.request_log import RequestLog
from brackengate.proxy.routing_table import RoutingTable
from brackengate.proxy.shutdown_plan import ShutdownPlan

log = logging.getLogger("brackengate.pilot")

CONNECT_TIMEOUT_S = 0.25
SEND_STALL_TIMEOUT_MS = (
    500  # a pilot's machine that takes no bytes for so long is given up: a cut says nothing
)
IDLE_TIMEOUT_S = 9.0  # kept connections; an upstream's own limit comes first where it says so
REPORT_INTERVAL_S = 0.25  # between two looks whether the core knows what this pilot knows
REPORT_TIMEOUT_S = 1.0
SHUTDOWN_CHECK_S = 0.02  # between two looks whether a proxy that leaves still holds anything
MAX_BODY_BYTES = 16 << 20  # bytes: what all bodies in pieces hold together; memory at its peak has a price


class Proxy:
    def __init__(
        self, settings: Settings, read: Callable[[], Settings], ground: Ground | None = None
    ) -> None:
        """`read`: the settings as the file has them by now; BadSettings where it can't be used.  `ground`:
        what it stands on; by default the machine."""
        self.settings, self._read = settings, read
        ground = ground or Ground(asyncio.get_running_loop(), random.Random())
        loop, rng, bind = ground.loop, ground.rng, ground.bind
        self._loop = loop
        clock = self.clock = ground.clock or Clock()
        self.exited: asyncio.Future[int] = loop.create_future()  # done with 0 once it has left in order
        self._shutting_down = False
        descriptors = min(
            settings.limits.file_limit - 250, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 100
        )
        self._socket_budget = SocketBudget(max(64, descriptors))
        inbound = required_address(settings.listen.inbound, "Inbound")
        self._port = inbound[1]
        self.table = RoutingTable()
        request_log, wire = RequestLog(), ground.wire
        self.admission = Admission(
            settings.zone, settings.feedback, settings.bounds.drain, f"{rng.getrandbits(32):08x}"
        )
        body_budget = ByteBudget(MAX_BODY_BYTES)
        self._peer_pool = Pool(
            loop,
            self._socket_budget,
            CONNECT_TIMEOUT_S,
            IDLE_TIMEOUT_S,
            body_budget,
            wire=wire,
            judge=classify_proxy_answer,
            settle=0,
            silent_ms=SEND_STALL_TIMEOUT_MS,
            slow=False,
        )
        self._upstream_pool = Pool(
            loop,
            self._socket_budget,
            CONNECT_TIMEOUT_S,
            IDLE_TIMEOUT_S,
            body_budget,
            wire=wire,
            judge=classify_upstream_answer,
            slow=False,
        )
        self.control_client = ControlClient(
            settings.ip,
            settings.zone,
            settings.control_plane_port,
            self._control_replicas,
            self.table,
            self._on_table_changed,
            clock.now,
            request_log.records_of,
        )
        current_within = settings.bounds.apply_time // 2
        me = settings.ip, settings.internal_ports[0]
        self.reachability = Reachability(loop, self._address_of, self._on_unreachable)
        self.liveness_monitor = LivenessMonitor(
            me, clock.now, self.control_client.send_command, self._on_health_changed, self.reachability.check
        )
        self.egress = Egress(
            loop,
            clock,
            self._socket_budget,
            self.table,
            settings.plant,
            self._address_of,
            rng,
            (settings.bounds.retry_ratio, settings.bounds.retry_slack),
            request_log,
            body_budget,
            wire,
            lambda: self.control_client.is_current(current_within),
        )
        self.control_client.on_freshness_changed = self.egress.unrouted.recheck
        self.ingress = Ingress(
            loop,
            clock,
            self._upstream_pool,
            self.admission,
            settings.ip,
            required_address(settings.application, "Application") if settings.application else inbound,
            settings.bounds.dedupe_window,
            self.control_client.send_command,
            self._peer_pool,
            self._address_of,
            f"{rng.getrandbits(48):012x}",
            request_log,
        )
        listen = settings.listen
        self._egress_server = create_server(
            loop,
            clock,
            [bind(required_address(listen.outbound, "Outbound"))],
            self.egress,
            self._socket_budget,
            body_budget,
        )
        self._ingress_server = create_server(
            loop, clock, [bind(inbound)], self.ingress, self._socket_budget, body_budget
        )
        readiness = Readiness(lambda: self.ready)
        self._other_servers: list[Server] = [
            create_server(
                loop,
                clock,
                [bind(required_address(listen.readiness, "Readiness"))],
                readiness,
                self._socket_budget,
            ),
            create_server(
                loop,
                clock,
                [bind(required_address(listen.control, "Control"))],
                HeartbeatEndpoint(self._on_heartbeat, self._on_upstream_leaving),
                self._socket_budget,
            ),
        ]
        self._reporting = self._adopted = False

    @property
    def ready(self) -> bool:
        return self.table.has_configuration and not self._shutting_down

    def _address_of(self, machine: str) -> Address:
        return machine, self._port

    def reload_settings(self) -> None:
        """The settings file has changed."""
        self._control_replicas()

    def _control_replicas(self) -> Iterable[str]:
        """As the file names them now: they may have changed without a signal."""
        try:
            self.settings = self._read()
        except InvalidSettings as error:
            log.warning("pilot: the settings stay as they are: %s", error)
        return [f"{host}:{port}" for host, port in self.settings.seeds]

    # --- life

    def start(self) -> None:
        self._loop.create_task(self.liveness_monitor.start()).add_done_callback(self._on_monitor_started)
        self.control_client.start()
        for server in (self._egress_server, self._ingress_server, *self._other_servers):
            server.start()
        self._report_periodically()
        log.info("pilot: %s is up beside %s", self.settings.ip, self.settings.plant or "nobody")

    def _on_monitor_started(self, started: asyncio.Task[None]) -> None:
        """Without its port it would be taken for silent: it ends with that error."""
        if not started.cancelled() and (error := started.exception()) is not None and not self.exited.done():
            self.exited.set_exception(error)

    def stop(self) -> None:
        """Leave in order: clients and pilots are asked to go, what is held is answered, then the end."""
        if self._shutting_down:
            return
        self._shutting_down = True
        log.info(
            "pilot: leaving, with %d requests held",
            self.egress.pending_count() + self.ingress.pending_count(),
        )
        self._egress_server.ask_to_go(True)
        now, longest_request = (
            self.clock.now(),
            max((route.cutoff for route in self.table.routes()), default=0),
        )
        plan = ShutdownPlan(now, self.settings.bounds.grace, longest_request)
        self.egress.start_shutdown(plan)
        self._schedule(plan.deregisters_at, self._deregister)
        self._schedule(plan.ingress_closes_at, self._close_ingress)
        self._schedule(plan.egress_closes_at, self._exit_when_idle, plan)

    def _schedule(self, when: int, do: Callable[..., None], *args: object) -> None:
        self._loop.call_later((when - self.clock.now()) / 1e6, do, *args)

    def _deregister(self) -> None:
        """Callers hear that they are to look elsewhere before the gate closes."""
        self.admission.leaving = True
        self._reconcile()

    def _close_ingress(self) -> None:
        """Other proxies' connections end with their next answer, and not before the news has reached them:
        a close that crosses a request leaves its caller without knowing whether it ran."""
        self.admission.closed = True
        self._ingress_server.ask_to_go(True)

    def _exit_when_idle(self, plan: ShutdownPlan) -> None:
        pending = self.egress.pending_count() + self.ingress.pending_count()
        if pending and self.clock.now() < plan.exit_deadline:
            self._loop.call_later(SHUTDOWN_CHECK_S, self._exit_when_idle, plan)
            return
        log.info("pilot: left, with %d requests held", pending)
        self.control_client.close()
        self.liveness_monitor.close()
        self.reachability.close()
        if not self.exited.done():
            self.exited.set_result(0)

    # --- the upstream beside it

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        before = self.admission.heartbeat
        self.admission.receive_heartbeat(heartbeat, self.clock.now())
        if before is not None and before.id != heartbeat.id:
            self._upstream_pool.release(before.id)
        self._reconcile()

    def _on_upstream_leaving(self, id_: str) -> None:
        self.admission.remove_upstream(id_)
        self._upstream_pool.release(id_)
        self._reconcile()

    def _report_periodically(self) -> None:
        self._loop.call_later(REPORT_INTERVAL_S, self._report_periodically)
        self._reconcile()

    def _reconcile(self) -> None:
        """Wanted: that the core's row of this machine says what the gate knows."""
        me, wanted = self.settings.ip, self.admission.report(self.clock.now())
        known = self.table.instances.get(me)
        if wanted is None:
            if (
                known is None
                or known.state == "gone"
                or (self.admission.heartbeat is None and not self.admission.has_ended(known.id))
            ):
                return
            wanted = msgspec.structs.replace(known, state="gone")
        same = known is not None and _reported_fields(known) == _reported_fields(wanted)
        if same or self._reporting or not self.control_client.connected:
            return
        self._reporting = True
        self.control_client.send_command(
            ReportUpstream(me, msgspec.to_builtins(wanted)), self._on_reported, REPORT_TIMEOUT_S
        )

    def _on_reported(self, result: object) -> None:
        self._reporting = False

    # --- what is followed

    def _on_table_changed(self, kinds: set[str]) -> None:
        if self.table.has_configuration and not self._adopted:  # its own row may come in the last slice
            self._adopt()
        self.egress.apply_table_changes()
        if kinds & {"inst", "silent"}:
            suspects = {
                machine for machines in self.table.suspects_by_watcher.values() for machine in machines
            }
            self.liveness_monitor.update(self.table.proxy_machines(), suspects)

    def _adopt(self) -> None:
        self._adopted = True
        known = self.table.instances.get(self.settings.ip)
        if known is not None and known.service == self.settings.plant:
            self.admission.adopt(known, self.clock.now())

    def _on_health_changed(self, machine: str, up: bool) -> None:
        """Wanted: that nothing new goes to a machine which does not answer."""
        if up:
            self.reachability.cancel(machine)
        self.egress.set_health(machine, up)

    def _on_unreachable(self, machine: str) -> None:
        """And that nothing waits for one which has not answered for long, nor on a connection."""
        self.egress.break_connections(machine)
        self._peer_pool.break_off(machine)


def _reported_fields(instance: UpstreamReport) -> tuple[str, str, str]:
    """What of a report is news; the rest goes with it."""
    return instance.id, instance.state, instance.proxy_incarnation


async def serve(settings: Settings, path: str) -> int:
    proxy, loop = Proxy(settings, lambda: files.load(path)), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, proxy.stop)
    loop.add_signal_handler(signal.SIGHUP, proxy.reload_settings)
    proxy.start()
    gc.collect()
    gc.freeze()
    return await proxy.exited
