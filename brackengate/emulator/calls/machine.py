"""One machine of a simulation: both sides of its proxy as they are, and the store of claims they ask."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from brackengate.emulator.calls.history import (
    APPLICATION,
    INBOUND,
    OUTBOUND,
    SERVICES,
    TRIES,
    WINDOW,
    Behaviour,
    ip_of,
    rows,
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
    """Who holds which key, as the control replicas agree on it.  Its words may be late or lost."""

    def __init__(self, simulation: Simulation, trouble: float) -> None:
        self._simulation, self._trouble = simulation, trouble
        self._rng = random.Random(f"{simulation.seen.history.seed}/core")
        self._held: dict[str, tuple[str, str]] = {}

    def ask(
        self, process: RoleProcess, what: Claim | Unclaim, done: Callable[[Any], None], within_s: float
    ) -> None:
        waiting = [done]

        def answers(result: Any) -> None:
            if waiting:
                waiting.pop()(result)

        process.call_later(within_s, answers, None)
        there, back = self._way(), self._way()
        if there is not None:
            self._simulation.loop.after(there, lambda: self._back(process, self._does(what), answers, back))

    def _back(
        self, process: RoleProcess, result: Any, answers: Callable[[Any], None], way: int | None
    ) -> None:
        if way is not None:
            self._simulation.loop.after(way, lambda: process.enter(partial(answers, result)))

    def _way(self) -> int | None:
        if self._rng.random() >= self._trouble:
            return 1 * MS
        return self._rng.choice((None, 50 * MS, 400 * MS, 1500 * MS))

    def _does(self, what: Claim | Unclaim) -> Any:
        held, mine = self._held.get(what.key), (what.owner, what.attempt)
        if isinstance(what, Claim):
            if held is None or held == (what.owner, what.replaces):
                self._held[what.key] = mine
            elif held != mine:
                return HeldBy(held[0], held[1])
        elif held == mine:
            del self._held[what.key]
        return CommandDone()


class Machine:
    """One machine: its way out, its gate and the upstream beside it."""

    process: RoleProcess

    def __init__(self, simulation: Simulation, number: int, acts: tuple[Behaviour, ...]) -> None:
        self.simulation, self.number, self.behaviours, self.lives = simulation, number, acts, 0
        self.ip, self.plant = ip_of(number), SERVICES[number]
        simulation.net.zones[self.ip] = "z"
        self.upstream = (
            ScriptedUpstream(simulation, number, f"i-{number}", acts) if self.plant != "front" else None
        )
        self.start()

    def start(self) -> None:
        """A process, with nothing of an earlier one but what its upstream beats and the core says."""
        simulation, number = self.simulation, self.number
        if self.lives and self.process.alive:
            return
        self.lives += 1
        rng = random.Random(f"{simulation.seen.history.seed}/{number}/{self.lives}")
        process = RoleProcess(simulation.loop, simulation.net, self.ip, f"proxy {number}", rng)
        self.process = process
        self.said: dict[End, bytes] = {}  # last, on each connection that came in
        process.accepted = self._looks_on
        ground = create_environment(process, simulation.loop, simulation.net, rng, 0)
        clock = ground.clock
        assert clock is not None
        self.admission = Admission("z", 10**12, 2 * S)
        if self.upstream is not None:
            self.admission.receive_heartbeat(
                Heartbeat(self.upstream.id, self.plant, "ready", 50, 0, 1), clock.now()
            )
        budget = SocketBudget(500)
        own, peers = (
            Pool(
                ground.loop, budget, 0.25, 9.0, ByteBudget(8 << 20),
                network=ground.network, classify=judge, settle_us=settle, stream_slow_responses=False,
            )
            for judge, settle in (
                (answer_classification.classify_upstream_answer, None),
                (answer_classification.classify_proxy_answer, 0),
            )
        )  # fmt: skip
        address_of = lambda machine: (machine, INBOUND)  # noqa: E731
        ask = partial(simulation.core.ask, process)
        self.ingress = Ingress(
            ground.loop, clock, own, self.admission, self.ip, (self.ip, APPLICATION), WINDOW, ask, peers,
            address_of, f"life{number}.{self.lives}",
        )  # fmt: skip
        table = RoutingTable()
        self.egress = Egress(
            ground.loop, clock, budget, table, self.plant, address_of, rng, TRIES, RequestLog(),
            ByteBudget(8 << 20), ground.network,
        )  # fmt: skip
        self.servers = [
            create_server(ground.loop, clock, [ground.bind((self.ip, port))], front, budget)
            for port, front in ((INBOUND, self.ingress), (OUTBOUND, self.egress))
        ]
        process.enter(partial(self._start, table))

    def _start(self, table: RoutingTable) -> None:
        for server in self.servers:
            server.start()
        table.apply_snapshot(1, rows())
        self.egress.apply_table_changes()

    def _looks_on(self, end: End) -> None:
        end.wrote = lambda end, data: self.said.__setitem__(end, data)

    def stray(self) -> None:
        """Whatever it said last on each connection that came in comes there once more."""
        for end, data in list(self.said.items()):
            if not end.closed:
                end.write(data)

    def new_upstream(self) -> None:
        """Another life at the same address, of which only its own gate knows."""
        if self.upstream is None or not self.process.alive:
            return
        self.upstream.process.die()
        id_ = self.upstream.id + "'"
        self.upstream = ScriptedUpstream(self.simulation, self.number, id_, self.behaviours)
        self.admission.receive_heartbeat(Heartbeat(id_, self.plant, "ready", 50, 0, 1), 0)

    def term(self) -> None:
        self.admission.closed = True
        for server in self.servers:
            server.set_draining(True)
