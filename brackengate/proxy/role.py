"""The proxy as a process: wires its parts together and reconciles its row at the control plane.

Outbound          egress.py            requests that begin on this machine: route, service, another proxy
Inbound           ingress.py           requests from proxies: admission, operation key, the local upstream
Control           heartbeats.py        heartbeats of the upstream
control replicas  control_client.py    receives the log of changes; sends reports and claims
other proxies     liveness_monitor.py  keepalives and probes, to and from the few that watch each other
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
from brackengate.net.environment import Environment
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
SEND_STALL_TIMEOUT_MS = 500  # without any bytes taken by another proxy; a partition closes no connection
IDLE_TIMEOUT_S = 9.0  # of kept connections; a shorter limit that an upstream announces takes precedence
REPORT_INTERVAL_S = 0.25  # between two checks that the control plane's row of this machine is right
REPORT_TIMEOUT_S = 1.0
SHUTDOWN_CHECK_S = 0.02  # between two checks for pending requests, at the end of a shutdown
MAX_BODY_BYTES = 16 << 20  # of all streamed bodies together, which bounds the peak of memory


class Proxy:
    """The parts of a proxy.  `exited`: done with 0 after an orderly shutdown."""

    def __init__(
        self, settings: Settings, read: Callable[[], Settings], ground: Environment | None = None
    ) -> None:
        """`read`: loads the settings file again; BadSettings if it is invalid.  `ground`: the runtime
        environment, by default this machine's."""
        self.settings, self._read = settings, read
        ground = ground or Environment(asyncio.get_running_loop(), random.Random())
        loop, rng, bind = ground.loop, ground.rng, ground.bind
        self._loop = loop
        clock = self.clock = ground.clock or Clock()
        self.exited: asyncio.Future[int] = loop.create_future()
        self._shutting_down = False
        descriptors = min(
            settings.limits.file_limit - 250, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 100
        )
        self._socket_budget = SocketBudget(max(64, descriptors))
        inbound = required_address(settings.listen.inbound, "Inbound")
        self._port = inbound[1]
        self.table = RoutingTable()
        request_log, network = RequestLog(), ground.network
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
            network=network,
            classify=classify_proxy_answer,
            settle_us=0,
            tcp_user_timeout_ms=SEND_STALL_TIMEOUT_MS,
            stream_slow_responses=False,
        )
        self._upstream_pool = Pool(
            loop,
            self._socket_budget,
            CONNECT_TIMEOUT_S,
            IDLE_TIMEOUT_S,
            body_budget,
            network=network,
            classify=classify_upstream_answer,
            stream_slow_responses=False,
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
            network,
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
        """Whether clients may use this proxy."""
        return self.table.has_configuration and not self._shutting_down

    def _address_of(self, machine: str) -> Address:
        return machine, self._port

    def reload_settings(self) -> None:
        """Read the settings file again, as it has changed."""
        self._control_replicas()

    def _control_replicas(self) -> Iterable[str]:
        """Addresses from the settings file, read again, as it may have changed without a signal."""
        try:
            self.settings = self._read()
        except InvalidSettings as error:
            log.warning("pilot: invalid settings file, keeping the old settings: %s", error)
        return [f"{host}:{port}" for host, port in self.settings.seeds]

    # --- start and shutdown

    def start(self) -> None:
        """Start all parts and servers."""
        self._loop.create_task(self.liveness_monitor.start()).add_done_callback(self._on_monitor_started)
        self.control_client.start()
        for server in (self._egress_server, self._ingress_server, *self._other_servers):
            server.start()
        self._report_periodically()
        log.info("pilot: %s started beside %s", self.settings.ip, self.settings.plant or "no upstream")

    def _on_monitor_started(self, started: asyncio.Task[None]) -> None:
        """Exit with the error if the monitor has no port: other proxies would take this one for silent."""
        if not started.cancelled() and (error := started.exception()) is not None and not self.exited.done():
            self.exited.set_exception(error)

    def stop(self) -> None:
        """Shut down in order: drain clients, then other proxies, answer pending requests, and exit."""
        if self._shutting_down:
            return
        self._shutting_down = True
        log.info(
            "pilot: shutting down with %d pending requests",
            self.egress.pending_count() + self.ingress.pending_count(),
        )
        self._egress_server.set_draining(True)
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
        """Notify callers to use another upstream, before the ingress closes."""
        self.admission.leaving = True
        self._reconcile()

    def _close_ingress(self) -> None:
        """End other proxies' connections with their next answer.

        Not before they were notified: a close that crosses a request leaves its caller without knowing
        whether the request ran.
        """
        self.admission.closed = True
        self._ingress_server.set_draining(True)

    def _exit_when_idle(self, plan: ShutdownPlan) -> None:
        pending = self.egress.pending_count() + self.ingress.pending_count()
        if pending and self.clock.now() < plan.exit_deadline:
            self._loop.call_later(SHUTDOWN_CHECK_S, self._exit_when_idle, plan)
            return
        log.info("pilot: exiting with %d pending requests", pending)
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
            self._upstream_pool.close_idle(before.id)
        self._reconcile()

    def _on_upstream_leaving(self, id_: str) -> None:
        self.admission.remove_upstream(id_)
        self._upstream_pool.close_idle(id_)
        self._reconcile()

    def _report_periodically(self) -> None:
        self._loop.call_later(REPORT_INTERVAL_S, self._report_periodically)
        self._reconcile()

    def _reconcile(self) -> None:
        """Report to the control plane if its row of this machine differs from the state at admission."""
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

    # --- control plane and liveness

    def _on_table_changed(self, kinds: set[str]) -> None:
        # Not before the table is complete: this machine's row may come in the last slice.
        if self.table.has_configuration and not self._adopted:
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
        """Send nothing new to a machine that does not answer."""
        if up:
            self.reachability.cancel(machine)
        self.egress.set_health(machine, up)

    def _on_unreachable(self, machine: str) -> None:
        """End the requests at a machine that has not answered for long, on no connection either."""
        self.egress.break_connections(machine)
        self._peer_pool.reset_connections(machine)


def _reported_fields(instance: UpstreamReport) -> tuple[str, str, str]:
    """The fields of a row whose change requires a new report; the others are sent with it."""
    return instance.id, instance.state, instance.proxy_incarnation


async def serve(settings: Settings, path: str) -> int:
    """Run a proxy until it has shut down; returns its exit status.  `path`: of the settings file."""
    proxy, loop = Proxy(settings, lambda: files.load(path)), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, proxy.stop)
    loop.add_signal_handler(signal.SIGHUP, proxy.reload_settings)
    proxy.start()
    gc.collect()
    gc.freeze()
    return await proxy.exited
