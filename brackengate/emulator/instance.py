"""A balancer in simulated time: the program's own listener, fronts, stages, node, module and life cycle.

What is modelled is beneath it (`process.py`, `network.py`): its clock, its loop and its sockets.  What it
does is seen on its connections, not asked of it.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from brackengate import interface as api
from brackengate.balancer import Balancer
from brackengate.cells.keeper import Maps
from brackengate.emulator.backend import field
from brackengate.emulator.loop import Loop
from brackengate.emulator.network import End, Network
from brackengate.emulator.process import EmulatedClock, EmulatedWire, Process
from brackengate.fleet import lifecycle
from brackengate.fleet.counters import Counters
from brackengate.fleet.stack import Stack
from brackengate.installation import settings as derived
from brackengate.installation.schema import File
from brackengate.net.environment import Environment
from brackengate.net.node import Clock, Node
from brackengate.net.server import DRAIN_ACCEPT_S
from brackengate.net.sockets import Address, SocketBudget

ANSWER = b"HTTP/1.1 "


class Around(Protocol):
    """What an instance is in."""

    loop: Loop
    net: Network

    def trace(self, what: str, *of: object) -> None: ...

    def address(self, upstream: str) -> Address: ...

    def named(self, address: str) -> str:
        """The upstream that is there."""

    def maps(self, instance: Instance, clock: Clock) -> Maps | None: ...


class Instance:
    """One balancer, as often as its process starts."""

    def __init__(
        self,
        around: Around,
        name: str,
        zone: str,
        address: Address,
        file: File,
        seed: str,
        decide: Callable[[api.Settings, int], Balancer] = Balancer,
    ) -> None:
        self._around, self._loop, self.name, self.zone = around, around.loop, name, zone
        self.address, self._file, self._decide = address, file, decide
        self.rng = random.Random(f"{seed}/{name}")
        self.off = 0  # of its machine's clock, as its next process will see it
        self.offered = False  # whether the front gives it connections
        self.listed: dict[str, api.Endpoint] = {}
        self.deaf = False  # discovery's word does not reach it
        self.process = Process(around.loop, around.net, zone, name)
        self.process.alive = False
        self.stack: Stack | None = None
        self._asked: dict[End, deque[str]] = {}  # by connection, what was taken and not answered
        self._upward: dict[End, str] = {}
        self._then: Callable[[], None] = lambda: None

    @property
    def alive(self) -> bool:
        return self.process.alive

    @property
    def ready(self) -> bool:
        return self.alive and self.life.ready

    # --- life

    def begin(self) -> None:
        process = self.process = Process(self._loop, self._around.net, self.zone, self.name)
        self._asked, self._upward, self.listed = {}, {}, {}
        process.accepted, process.connected, process.closed = self._accepts, self._connects, self._closes
        clock = EmulatedClock(self._loop, self.off)
        ground = Environment(
            process.as_loop(), random.Random(self.rng.getrandbits(64)), EmulatedWire(self._around.net, clock)
        )
        self.life = lifecycle.Lifecycle(alone=True)
        counters = Counters(lambda now: self._live(lifecycle.Serving(now)))
        budget = SocketBudget(derived.share(self._file).sockets)
        sockets = [process.listener(self.address)]
        maps = self._around.maps(self, clock)
        stack = self.stack = Stack(
            self._file, 0, clock, budget, sockets, counters, ground, maps, self._decide
        )
        self._budget = budget
        self._around.trace("begins", self.name)
        self._live(lifecycle.Listening())
        if stack.configured is not None:
            stack.configured.start(self._file)

    def kill(self) -> None:
        """Its connections break, on both sides; what its upstreams have begun goes on."""
        if self.alive:
            self._around.trace("killed", self.name)
            self.process.die()

    def stop(self, then: Callable[[], None]) -> None:
        """A planned restart: leave in order, then `then`."""
        if self.alive:
            self._then = then
            self._live(lifecycle.StopAsked())

    def _live(self, event: lifecycle.Event) -> None:
        stack = self.stack
        for action in self.life.handle(event):
            assert stack is not None
            match action:
                case lifecycle.Open():
                    stack.server.start()
                case lifecycle.AskToGo(on):
                    stack.server.set_draining(on)
                case lifecycle.Accept(on):
                    stack.server.set_accepting(on)
                case lifecycle.Drain(last_call):
                    self._around.trace("leaves", self.name)
                    self.process.create_task(self._drain(stack, last_call))
                case lifecycle.Leave():
                    self._around.trace("left", self.name)
                    self.process.die()
                    self._loop.after(0, self._then)

    async def _drain(self, stack: Stack, last_call: bool) -> None:
        within = (derived.longest(self._file) + derived.DRAIN_EXTRA_US) / 1e6
        if self.life.open:
            await stack.server.drain(within, DRAIN_ACCEPT_S if last_call else 0.0)
        self._live(lifecycle.Drained(stack.held()))

    def later(self, delay: int, do: Callable[[], None]) -> None:
        """For this process only: one that has died does nothing more."""
        self.process.call_later(delay / 1e6, do)

    def hear(self, kind: api.ListKind, rows: Iterable[api.Endpoint]) -> None:
        """Discovery's word."""
        if self.stack is None or not self.alive:
            return
        rows = list(rows)
        if kind is api.ListKind.FULL:
            named = {row.upstream for row in rows}
            for name in [name for name in self.listed if name not in named]:
                del self.listed[name]
                self._around.trace("told", self.name, name, api.Lifecycle.GONE.value)
        for row in rows:
            self._around.trace("told", self.name, row.upstream, row.state.value)
            if row.state is api.Lifecycle.GONE:
                self.listed.pop(row.upstream, None)
            else:
                self.listed[row.upstream] = row
        told = [(row, self._around.address(row.upstream)) for row in rows]
        if self.stack.configured is not None:
            self.stack.configured.feed.update_upstreams(kind, told)
        elif isinstance(self.stack.node, Node):
            self.stack.node.update_upstreams(kind, told)

    # --- what is seen on its connections

    def _accepts(self, end: End) -> None:
        self._asked[end] = deque()
        end.read, end.wrote = self._reads, self._answers

    def _reads(self, end: End, data: bytes) -> None:
        request = field(data, b"X-Txn").decode()
        if request:
            self._asked[end].append(request)
            deadline = self._loop.now + int(field(data, b"X-Remaining-Ms")) * 1000
            self._around.trace("taken", self.name, request, deadline)

    def _answers(self, end: End, data: bytes) -> None:
        if data.startswith(ANSWER):
            waits = self._asked.get(end)
            request = waits.popleft() if waits else "nobody's"
            self._around.trace("answered", self.name, request, data[9:12].decode())

    def _closes(self, end: End) -> None:
        self._upward.pop(end, None)
        for request in self._asked.pop(end, ()):
            self._around.trace("gone" if end.over else "dropped", self.name, request)

    def _connects(self, end: End, address: Address) -> None:
        self._upward[end] = end.peer
        end.wrote = self._sends

    def _sends(self, end: End, data: bytes) -> None:
        request = field(data, b"X-Txn")
        if request:
            self._around.trace("sent", self.name, request.decode(), self._around.named(end.peer))

    def break_some(self, upward: bool, part: float, rng: random.Random) -> None:
        """Reset connections that have a request on them, as a middlebox does."""
        ends = list(self._upward) if upward else [end for end, waits in self._asked.items() if waits]
        for end in ends:
            if rng.random() < part and not end.closed:
                end.over = True
                end.reset()

    # --- at the end

    def holds(self) -> Iterable[tuple[str, int, int]]:
        """What it keeps when all is answered, and how much of it is allowed."""
        assert self.stack is not None
        stack = self.stack
        yield "requests", stack.held(), 0
        yield "waiting repeats", stack.repeats.waiting() if stack.repeats is not None else 0, 0
        yield "requests of its module", sum(len(module.requests) for module in stack.modules()), 0
        entries = sum(len(module.heap) for module in stack.modules())
        yield "entries in the module's order", entries, 5 * len(self.listed) + 16
        yield "sockets", self._budget.in_use, self._budget.limit
