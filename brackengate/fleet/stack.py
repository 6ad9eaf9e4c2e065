"""All that a request passes in one instance: listener, fronts, stages at the door, node or pools.

One piece for the process (`fleet/instance.py`) and for the emulator, which gives it another ground.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from brackengate.balancer import Balancer
from brackengate.cells.keeper import Maps
from brackengate.fleet.configured import Configured
from brackengate.installation import settings as derived
from brackengate.installation.schema import File
from brackengate.interface import Settings
from brackengate.net.api import API_PATH, ApiFrontend
from brackengate.net.environment import Environment
from brackengate.net.http import ANY_PATH, Frontend, InnerStage, RequestStage
from brackengate.net.node import Clock, Node
from brackengate.net.observer import FlowWatch, Observer
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget
from brackengate.net.upstream import Pool
from brackengate.queues import setup as queues
from brackengate.queues.door import QueuesDoor
from brackengate.repeats import setup as repeats
from brackengate.repeats.door import RepeatsDoor
from brackengate.repeats.journal import Journal
from brackengate.routing.pools import Pools

OWN_MB, CALLER_KB = 24, 96  # memory of the program with no caller, and of one caller with a whole request


class Stack:
    """`sockets`: bound, and the server's from here on.  OSError where the journal's folder can't be used."""

    def __init__(
        self,
        file: File,
        slot: int,
        clock: Clock,
        budget: SocketBudget,
        sockets: Sequence[Any],
        observer: Observer,
        ground: Environment,
        maps: Maps | None = None,
        decide: Callable[[Settings, int], Balancer] = Balancer,
    ) -> None:
        """`decide`: what makes the module of a single node."""
        settings, loop = derived.settings(file), ground.loop
        connect_s, idle_s = settings.connect_timeout / 1e6, settings.idle_close / 1e6
        self._pool = Pool(loop, budget, connect_s, idle_s, network=ground.network)
        self._module: Balancer | None = None  # of the single node
        self.configured: Configured | None = None
        self.node: Node | Pools
        if file.versions.source == "off":
            self._module = decide(settings, ground.rng.getrandbits(64))
            self.node = Node(loop, clock, settings, self._module, self._pool)
            self.node.observer = observer
        else:
            self.configured = Configured(file, slot, clock, budget, observer, ground, maps)
            self.node = self.configured.pools
        route_of = self.configured.route_of if self.configured is not None else None
        room = max(32, (derived.share(file).memory_mb - OWN_MB) * 1024 // CALLER_KB)
        self.crowd = queues.crowd(file)
        client_of, origin_of = repeats.client_of(file), queues.origin_of(file)
        self.repeats: RepeatsDoor | None = None
        self.journal: Journal | None = None
        self.queues: QueuesDoor | None = None
        door: InnerStage = self.node
        if origin_of is not None:
            door = self.queues = queues.door(file, door, ground)
        self.door: RequestStage = door
        if client_of is not None:
            self.repeats, self.journal = repeats.door(file, door, clock, ground, slot)
            self.door = self.repeats
        fronts: dict[bytes, Frontend] = {
            API_PATH: ApiFrontend(self.node, client_of, origin_of, route_of, bool(file.cells.file))
        }
        if route_of is not None:
            fronts[ANY_PATH] = fronts[API_PATH]  # routes say which paths there are
        self.graphql: dict[str, Any] = {}
        if file.graphql.path:
            from brackengate.graphql import setup  # graphql-core is an extra: only where it is used

            front = self.graphql[file.graphql.path] = setup.front(
                file, self.node, self.door, client_of, origin_of, route_of
            )
            fronts[file.graphql.path.encode()] = front
        once = derived.once(file)
        self.server = Server(
            loop, self.node, budget, sockets, room, fronts, self.door, self.crowd, single_headers=once
        )

    def watch_flows(self, flows: FlowWatch) -> None:
        self.server.flows = self._pool.flows = flows
        if self.configured is not None:
            self.configured.pools.watch_flows(flows)

    def modules(self) -> list[Balancer]:
        """The decision modules in use, one for each pool."""
        if self._module is not None:
            return [self._module]
        assert self.configured is not None
        return [run.module for run in self.configured.pools.runs.values()]

    def held(self) -> int:
        """Requests that still await their answer, at the door or beyond."""
        return self.node.pending_count() + (self.queues.waiting() if self.queues is not None else 0)

    async def close(self) -> None:
        """What is still open; the listener's sockets are closed by its drain."""
        if self.journal is not None:
            await self.journal.close()
        self._pool.close()
        if self.configured is not None:
            await self.configured.close()

    # --- for operators

    def queues_status(self) -> dict[str, Any]:
        if self.queues is None:
            return {}
        return self.queues.status() | {"connections_turned": self.crowd.rejected if self.crowd else 0}

    def repeats_status(self) -> dict[str, int]:
        if self.repeats is None:
            return {}
        table = self.repeats.table
        told = {"entries": len(table), "bytes": table.size(), "waiting": self.repeats.waiting()}
        return told | dict(table.counters) | (self.journal.stats() if self.journal else {})
