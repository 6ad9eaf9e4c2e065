"""One door with its queues and scripted clients who come back when they are told.

Queues, node, pool of connections and decision module are the program's own, on the emulator's loop, network
and upstreams.  A fleet of balancers: `world.py`.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from brackengate import interface as api
from brackengate.balancer import Balancer
from brackengate.emulator.backend import Backend
from brackengate.emulator.backend import field as header
from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.network import Network
from brackengate.emulator.process import EmulatedClock, EmulatedWire, Process
from brackengate.emulator.upstream import Upstream
from brackengate.net.http import RequestStage
from brackengate.net.node import ClientInfo, Message, Node, Reply
from brackengate.net.sockets import SocketBudget
from brackengate.net.upstream import Pool
from brackengate.queues.admission import Admission
from brackengate.queues.door import QueuesDoor

WAY_US = 500  # one way over the network
SOCKETS = 1 << 16
READ = api.RequestClass("pregled", 410 * MS, S, api.Idempotency.REPEATABLE, value=1.0)
BID = api.RequestClass("ponudba", 410 * MS, S, api.Idempotency.KEYED, api.KeyScope.ALL, 4 * S, value=8.0)
BUY = api.RequestClass("takoj-kupi", 410 * MS, S, api.Idempotency.UNSAFE, value=8.0)
CLASSES = (READ, BID, BUY)


@dataclass
class Client:
    """Who asks.  `address`: of one request, by its number; `name`: the same for its identity."""

    label: str
    rate: float  # items a second
    cls: api.RequestClass = READ
    tenant: str = ""
    work_us: int = 10 * MS
    obedient: bool = False  # comes back when it is told, with its token; else never
    early_us: int = 0  # an obedient one comes so much too early
    hammers: bool = False  # comes back at once, three times
    carries_token: bool = True
    forges: Callable[[bytes], bytes] | None = None  # what it makes of its token
    name: Callable[[int], str] | None = None
    address: Callable[[int], str] | None = None
    marks_retry: bool = True
    parts: int = 1
    start_us: int = 0
    end_us: int = 1 << 60


@dataclass
class Record:
    """What became of one client's items."""

    items: int = 0
    tries: int = 0
    served: int = 0
    in_aim: int = 0
    work: float = 0.0  # microseconds that upstreams worked for it, on what was answered in time
    took: list[int] = field(default_factory=list)  # of served tries
    refused: int = 0
    invited: int = 0
    came_back: int = 0  # at the stated time
    kept: int = 0  # of these, served
    answers: Counter[str] = field(default_factory=Counter)  # by try

    def quantile(self, share: float) -> int:
        took = sorted(self.took)
        return took[min(len(took) - 1, int(share * len(took)))] if took else 0


class _Try:
    """One try, and the caller that the door sees."""

    def __init__(self, sim: Simulation, name: str, client: Client, item: int, deadline: int) -> None:
        self._sim, self.id, self.client, self.item, self.deadline = sim, name, client, item, deadline
        self.cls, self.work, self.began = client.cls, client.work_us, sim.now
        self.number = 0
        self.invited = self.done = False  # `done`: for its client
        self.at_door = self.over = False  # `over`: the door has answered it

    def answer(self, reply: Reply) -> None:
        assert not self.over, f"{self.id} is answered twice"
        self.over = True
        what = {200: "ok", 503: "refused"}.get(reply.status, "failed")
        token = header(b"\r\n" + reply.extra_headers, b"X-Place")
        sim = self._sim
        sim.at(sim.now + WAY_US, lambda: sim._answer(self, what, reply.retry_after_us, token))


class Simulation:
    """`admission` None: no queues, every request goes to the node at once."""

    def __init__(
        self,
        seed: int,
        admission: Admission | None,
        servers: dict[str, Upstream],
        settings: api.Settings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.admission, self.servers = admission, servers
        self.settings = settings or api.Settings(
            classes=CLASSES, max_attempts=4, max_retry_after=2 * S, probes=True, probe_price=0.0001
        )
        self.loop = Loop()
        net = Network(self.loop, random.Random(f"{seed}/net"), WAY_US, WAY_US, 0.0)
        process, self._clock = Process(self.loop, net, "a"), EmulatedClock(self.loop)
        pool = Pool(
            process.as_loop(),
            SocketBudget(SOCKETS),
            self.settings.connect_timeout / 1e6,
            self.settings.idle_close / 1e6,
            network=EmulatedWire(net, self._clock),
        )
        module = Balancer(self.settings, self.rng.getrandbits(32))
        self.node = Node(process.as_loop(), self._clock, self.settings, module, pool)
        self.queues = QueuesDoor(self.node, admission, process.as_loop()) if admission is not None else None
        self._door: RequestStage = self.queues or self.node
        self._backends: dict[str, Backend] = {}
        for number, (name, server) in enumerate(servers.items()):
            server.name = server.name or name
            server.attach(self.loop, self.rng)
            self._backends[name] = Backend(self.loop, net, server, (f"10.1.0.{number}", 9000), self._seen)
        self.records: dict[str, Record] = {}
        self.limits: list[tuple[int, int]] = []  # time and the limit
        self.executions: dict[str, int] = {}  # by try
        self._ids = itertools.count()
        self._tries: dict[str, _Try] = {}
        self.at(
            0, lambda: self._listed(api.ListKind.FULL, [api.Endpoint(name, zone="a") for name in servers])
        )

    # --- the script

    @property
    def now(self) -> int:
        return self.loop.now

    def at(self, when: int, do: Callable[[], None]) -> None:
        self.loop.at(when, do)

    def add(self, client: Client) -> Client:
        self.records.setdefault(client.label, Record())
        first = client.start_us + int(self.rng.expovariate(client.rate) * S)
        self.at(first, lambda: self._comes(client, 0))
        return client

    def kill(self, name: str) -> None:
        """It goes, and all its connections with it."""
        self._backends[name].kill()

    def mend(self, name: str, cold_us: int, fall: float) -> None:
        """It starts again, cold, and the list says so."""
        self._backends[name].start(cold_us, fall)
        self._listed(api.ListKind.CHANGES, [api.Endpoint(name, zone="a", started_at=self._clock.now())])

    def run(self, until: int) -> Simulation:
        """Until `until`, in microseconds; what is out then is let end, and nothing new begins."""
        for when in range(0, until, 100 * MS):
            self.at(when, self._note)
        self.loop.run(until + 2 * S)
        assert not self.loop.errors, self.loop.errors
        return self

    def unanswered(self) -> list[str]:
        return [one.id for one in self._tries.values() if not one.done and one.deadline < self.now]

    def _listed(self, kind: api.ListKind, rows: list[api.Endpoint]) -> None:
        self.node.update_upstreams(kind, [(row, self._backends[row.upstream].address) for row in rows])

    def _seen(self, what: str, *of: object) -> None:
        if what == "ran":
            self.executions[str(of[1])] = self.executions.get(str(of[1]), 0) + 1

    def _note(self) -> None:
        if self.admission is not None:
            self.limits.append((self.now, int(self.admission.limit.value)))

    # --- clients

    def _comes(self, client: Client, item: int) -> None:
        if self.now > client.end_us:
            return
        self.at(
            self.now + max(1, int(self.rng.expovariate(client.rate) * S)),
            lambda: self._comes(client, item + 1),
        )
        self.records[client.label].items += 1
        self.ask(client, item)

    def ask(self, client: Client, item: int, before: _Try | None = None, token: bytes = b"") -> None:
        """One try: `before` is the one that was refused."""
        number = before.number + 1 if before is not None else 0
        name = f"{client.label}/{item}/{number}/{next(self._ids)}"
        deadline = before.deadline if before is not None else self.now + client.cls.deadline
        one = self._tries[name] = _Try(self, name, client, item, deadline)
        one.number, one.invited = number, bool(token)
        self.records[client.label].tries += 1
        if client.forges is not None and token:
            token = client.forges(token)
        self.at(self.now + WAY_US, lambda: self._at_door(one, token if client.carries_token else b""))
        self.at(deadline, lambda: self._gives_up(one))

    def _at_door(self, one: _Try, token: bytes) -> None:
        if one.done:
            return
        one.at_door = True
        client = one.client
        deadline = self._clock.now() + one.deadline - self.now
        retry = one.number > 0 and client.marks_retry
        identity = client.name(one.item) if client.name else client.label
        address = client.address(one.item) if client.address else ""
        head = b"GET /api HTTP/1.1\r\nX-Txn: %s\r\nX-Work: %d\r\n" % (one.id.encode(), one.work)
        origin = ClientInfo(identity, address, b"" if token == b"-" else token)
        message = Message(head, b"", client_info=origin, operation_count=client.parts)
        request = api.Request(one.id, one.cls.name, deadline, client.tenant, is_retry=retry)
        self._door.submit(request, message, one)

    def _gives_up(self, one: _Try) -> None:
        if one.done:
            return
        one.done = True
        self.records[one.client.label].answers["nothing"] += 1
        if one.at_door and not one.over:
            one.over = True
            self._door.client_disconnected(one.id, one)

    def _answer(self, one: _Try, what: str, after: int = 0, token: bytes = b"") -> None:
        if one.done:
            return
        one.done = True
        record, client, took = self.records[one.client.label], one.client, self.now - one.began
        record.answers[what] += 1
        if what == "ok":
            record.served += 1
            record.took.append(took)
            record.in_aim += took <= one.cls.target_latency
            record.work += one.work
            record.kept += one.invited
            return
        record.refused += what == "refused"
        if client.hammers and one.number < 3:
            self.ask(client, one.item, one)
        elif client.obedient and after and what == "refused":
            record.invited += 1
            back = max(self.now + 1, self.now + after - client.early_us)
            if back < one.deadline:
                record.came_back += 1
                self.at(back, partial(self.ask, client, one.item, one, token or b"-"))
