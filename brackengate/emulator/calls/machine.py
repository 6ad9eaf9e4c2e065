"""One machine of a simulation: the production code of its proxy, and the store of claims that it queries."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from brackengate.emulator.calls.history import (
    APPLICATION_PORT,
    CLAIM_WINDOW_US,
    INBOUND_PORT,
    OUTBOUND_PORT,
    RETRY_BUDGET,
    SERVICES,
    Behaviour,
    machine_ip,
    routing_rows,
)
from brackengate.emulator.calls.upstream import ScriptedUpstream
from brackengate.emulator.loop import MS, S
from brackengate.emulator.mesh.ground import RoleProcess, create_environment
from brackengate.emulator.network import End
from brackengate.http.body import ByteBudget
from brackengate.net.sockets import SocketBudget
from brackengate.net.upstream import Pool
from brackengate.protocol.http_api import create_server
from brackengate.protocol.messages import Claim, CommandDone, HeldBy, Unclaim
from brackengate.proxy import answer_classification
from brackengate.proxy.admission import Admission, Heartbeat
from brackengate.proxy.egress import Egress
from brackengate.proxy.ingress import Ingress
from brackengate.proxy.request_log import RequestLog
from brackengate.proxy.routing_table import RoutingTable

if TYPE_CHECKING:
    from brackengate.emulator.calls.simulation import Simulation


class ClaimStore:
    """The claims that the control replicas have granted; messages to and from it may be late or lost."""

    def __init__(self, simulation: Simulation, trouble_share: float) -> None:
        """`trouble_share`: the share of messages that are late or lost."""
        self._simulation, self._trouble_share = simulation, trouble_share
        self._rng = random.Random(f"{simulation.observations.history.seed}/core")
        self._claims: dict[str, tuple[str, str]] = {}  # owner and attempt, by key

    def send_command(
        self, process: RoleProcess, command: Claim | Unclaim, done: Callable[[Any], None], within_s: float
    ) -> None:
        """Apply a command of a process; `done` gets the result, or None if none arrives in time."""
        waiting = [done]

        def finish(result: Any) -> None:
            if waiting:
                waiting.pop()(result)

        process.call_later(within_s, finish, None)
        request_delay, reply_delay = self._message_delay(), self._message_delay()
        if request_delay is not None:
            self._simulation.loop.after(
                request_delay, lambda: self._reply(process, self._apply(command), finish, reply_delay)
            )

    def _reply(
        self, process: RoleProcess, result: Any, finish: Callable[[Any], None], delay: int | None
    ) -> None:
        if delay is not None:
            self._simulation.loop.after(delay, lambda: process.enter(partial(finish, result)))

    def _message_delay(self) -> int | None:
        """Microseconds until a message arrives; None: it is lost."""
        if self._rng.random() >= self._trouble_share:
            return 1 * MS
        return self._rng.choice((None, 50 * MS, 400 * MS, 1500 * MS))

    def _apply(self, command: Claim | Unclaim) -> Any:
        current, requested = self._claims.get(command.key), (command.owner, command.attempt)
        if isinstance(command, Claim):
            if current is None or current == (command.owner, command.replaces):
                self._claims[command.key] = requested
            elif current != requested:
                return HeldBy(current[0], current[1])
        elif current == requested:
            del self._claims[command.key]
        return CommandDone()


class Machine:
    """One machine: its proxy with egress and ingress, and the upstream beside it."""

    process: RoleProcess

    def __init__(self, simulation: Simulation, number: int, behaviours: tuple[Behaviour, ...]) -> None:
        self.simulation, self.number, self.behaviours, self.incarnation = simulation, number, behaviours, 0
        self.ip, self.service = machine_ip(number), SERVICES[number]
        simulation.network.zones[self.ip] = "z"
        self.upstream = (
            ScriptedUpstream(simulation, number, f"i-{number}", behaviours)
            if self.service != "front"
            else None
        )
        self.start()

    def start(self) -> None:
        """Start a proxy process unless one is alive.

        It keeps nothing of an earlier one: it learns from heartbeats and from the control replicas' answers.
        """
        simulation, number = self.simulation, self.number
        if self.incarnation and self.process.alive:
            return
        self.incarnation += 1
        rng = random.Random(f"{simulation.observations.history.seed}/{number}/{self.incarnation}")
        process = RoleProcess(simulation.loop, simulation.network, self.ip, f"proxy {number}", rng)
        self.process = process
        self.last_writes: dict[End, bytes] = {}  # on each connection that the proxy accepted
        process.accepted = self._record_writes
        environment = create_environment(process, simulation.loop, simulation.network, rng, 0)
        clock = environment.clock
        assert clock is not None
        self.admission = Admission("z", 10**12, 2 * S)
        if self.upstream is not None:
            self.admission.receive_heartbeat(
                Heartbeat(self.upstream.id, self.service, "ready", 50, 0, 1), clock.now()
            )
        socket_budget = SocketBudget(500)
        upstream_pool, peer_pool = (
            Pool(
                environment.loop, socket_budget, 0.25, 9.0, ByteBudget(8 << 20),
                network=environment.network, classify=classify, settle_us=settle_us,
                stream_slow_responses=False,
            )
            for classify, settle_us in (
                (answer_classification.classify_upstream_answer, None),
                (answer_classification.classify_proxy_answer, 0),
            )
        )  # fmt: skip
        address_of = lambda machine: (machine, INBOUND_PORT)  # noqa: E731
        send_command = partial(simulation.claim_store.send_command, process)
        self.ingress = Ingress(
            environment.loop, clock, upstream_pool, self.admission, self.ip, (self.ip, APPLICATION_PORT),
            CLAIM_WINDOW_US, send_command, peer_pool, address_of, f"life{number}.{self.incarnation}",
        )  # fmt: skip
        table = RoutingTable()
        self.egress = Egress(
            environment.loop, clock, socket_budget, table, self.service, address_of, rng, RETRY_BUDGET,
            RequestLog(), ByteBudget(8 << 20), environment.network,
        )  # fmt: skip
        self.servers = [
            create_server(
                environment.loop, clock, [environment.bind((self.ip, port))], frontend, socket_budget
            )
            for port, frontend in ((INBOUND_PORT, self.ingress), (OUTBOUND_PORT, self.egress))
        ]
        process.enter(partial(self._start_serving, table))

    def _start_serving(self, table: RoutingTable) -> None:
        for server in self.servers:
            server.start()
        table.apply_snapshot(1, routing_rows())
        self.egress.apply_table_changes()

    def _record_writes(self, end: End) -> None:
        end.wrote = lambda end, data: self.last_writes.__setitem__(end, data)

    def repeat_last_writes(self) -> None:
        """Send the last bytes on each accepted connection once more, as stray bytes."""
        for end, data in list(self.last_writes.items()):
            if not end.closed:
                end.write(data)

    def replace_upstream(self) -> None:
        """Start another incarnation of the upstream at its address; only its own ingress is notified."""
        if self.upstream is None or not self.process.alive:
            return
        self.upstream.process.die()
        id_ = self.upstream.id + "'"
        self.upstream = ScriptedUpstream(self.simulation, self.number, id_, self.behaviours)
        self.admission.receive_heartbeat(Heartbeat(id_, self.service, "ready", 50, 0, 1), 0)

    def start_draining(self) -> None:
        """Reject new requests and drain connections, as after SIGTERM."""
        self.admission.closed = True
        for server in self.servers:
            server.set_draining(True)
