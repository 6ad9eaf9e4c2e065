"""Two levels of deficit round robin: tenants by their weight, clients within a tenant alike.  Pure.

Shreedhar and Varghese, "Efficient Fair Queueing using Deficit Round Robin" (1995), over estimates of work in
place of packet lengths.  Work and deficits are microseconds of an upstream's time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

SPAN_US = 1_000_000  # who asked within two of these counts as there
DEBT_QUANTA = 32.0  # the most that a queue or tenant can owe; bounds the rounds it is passed over
WORK_QUANTA = 16.0  # the most that one request counts as


class Identity(NamedTuple):
    """A client, within its tenant."""

    tenant: str
    client: str


@dataclass(frozen=True, slots=True)
class Place:
    """A time at which one client is let in before others."""

    number: int
    identity: Identity
    at: int  # microseconds, on the clock
    work: float


@dataclass(slots=True, eq=False)
class Item:
    """One request at the door.  Times are microseconds on the node's clock."""

    name: str
    identity: Identity
    class_name: str
    worth: float
    work: float
    latest: int  # to be begun by then, or its aim is missed
    deadline: int
    size: int  # bytes that it holds
    parts: int  # operations in it
    base: float  # its work, were it an ordinary request of its class
    arrived: int
    queue: Queue
    place: Place | None = None  # it has come before the time of this one
    began: int = 0
    calm: bool = False  # with few others out


@dataclass(slots=True, eq=False)
class Queue:
    """What one client has waiting, or several that share it.  The dearest class first, each in its order."""

    label: str
    tenant: Tenant
    by_worth: dict[float, deque[Item]] = field(default_factory=dict)
    works: dict[float, float] = field(default_factory=dict)  # the same, as sums of work
    clients: dict[Identity, int] = field(default_factory=dict)  # whose requests wait in it, and how many
    shared: bool = False
    by_client: bool = False  # shared, with a part for each client in it; else one part for all
    holds: dict[Identity, int] = field(default_factory=dict)  # shared: whose requests wait or are out
    prefix: str = ""  # the network of its client, or of all its clients
    count: int = 0
    deficit: float = 0.0
    factor: float = 1.0  # what its requests take, against others of their class
    running: int = 0  # of its requests, handed on and not ended
    in_ring: bool = False
    visited: bool = False
    rested: int = 0  # since when nothing of it waits, or up to when its debt is forgiven
    carries: bool = False  # it has shown a token, and so has its places by token alone
    booked_until: int = 0  # the last place that was promised to it
    seen: int = -1  # span in which it last asked
    retries: float = 0.0  # it may send yet
    passed: int = 0
    turned: int = 0
    reason: str = ""  # why it was turned away last

    def first(self) -> Item:
        return self.by_worth[max(self.by_worth)][0]

    def ahead(self, worth: float = 0.0) -> float:
        """Work that goes before a further request of this worth; of one of none, all that waits."""
        return sum(work for other, work in self.works.items() if other >= worth)

    @property
    def weight(self) -> float:
        return float(max(1, len(self.clients))) if self.by_client else 1.0

    @property
    def idle(self) -> bool:
        return not self.count and not self.running


@dataclass(slots=True, eq=False)
class Tenant:
    name: str
    weight: float = 1.0
    ring: deque[Queue] = field(default_factory=deque)
    deficit: float = 0.0
    clients: float = 0.0  # the weights of all queues in which requests wait
    count: int = 0
    in_ring: bool = False
    visited: bool = False
    rested: int = 0
    span: int = -1
    asked: float = 0.0  # weights of the queues that asked in this span
    asked_before: float = 0.0  # and in the one before
    passed: int = 0
    turned: int = 0


class Scheduler:
    """`quantum`: what a client of weight 1 gains a round; follows the mean work of a request.

    A request no longer than the quantum, of a client that has nothing else waiting and owes nothing, is
    passed over by at most one visit to each other client of its tenant, each of a quantum and one request
    at most.  Among tenants the same holds with quanta by weight.
    """

    def __init__(self, tenants: dict[str, float], other: float = 1.0, quantum: float = 20_000.0) -> None:
        """`tenants`: weights by name.  All that are not named count as one, of weight `other`."""
        mean = (sum(tenants.values()) + other) / (len(tenants) + 1)
        self.tenants = {name: Tenant(name, weight / mean) for name, weight in tenants.items()}
        self.other = Tenant("", other / mean)
        self.quantum = quantum
        self.count = 0
        self.size = 0
        self._ring: deque[Tenant] = deque()

    def tenant(self, name: str) -> Tenant:
        return self.tenants.get(name, self.other)

    def all_tenants(self) -> Iterator[Tenant]:
        yield from self.tenants.values()
        yield self.other

    def share(self, queue: Queue, identity: Identity) -> float:
        """The part of all that passes which this queue has, with this client in it; over 0, at most 1."""
        tenant = queue.tenant
        of_all = self._part(tenant)
        part = queue.weight
        if not queue.clients or (queue.by_client and identity not in queue.clients):
            part += 1.0 if queue.clients else 0.0
            return of_all * part / (tenant.clients + 1.0)
        return of_all * part / tenant.clients

    def asks(self, queue: Queue, now: int) -> None:
        """Note that a client of this queue asks, for `sure_share`."""
        tenant, span = queue.tenant, now // SPAN_US
        if tenant.span != span:
            tenant.asked_before = tenant.asked if tenant.span == span - 1 else 0.0
            tenant.asked, tenant.span = 0.0, span
        if queue.seen != span:
            queue.seen = span
            tenant.asked += queue.weight

    def sure_share(self, queue: Queue, now: int) -> float:
        """The part that this queue has even if all wait who asked of late: what can be promised ahead."""
        tenant, span = queue.tenant, now // SPAN_US
        clients = max(tenant.clients, tenant.asked, tenant.asked_before, queue.weight)
        return self._part(tenant, span - 1) * queue.weight / clients

    def push(self, queue: Queue, item: Item) -> None:
        tenant = queue.tenant
        item.queue = queue
        line = queue.by_worth.get(item.worth)
        if line is None:
            line = queue.by_worth[item.worth] = deque()
            queue.works[item.worth] = 0.0
        line.append(item)
        queue.works[item.worth] += item.work
        before = queue.weight if queue.clients else 0.0
        queue.clients[item.identity] = queue.clients.get(item.identity, 0) + 1
        tenant.clients += queue.weight - before
        self._count(queue, item, 1)
        if not queue.in_ring:
            queue.in_ring, queue.visited = True, False
            tenant.ring.append(queue)
        if not tenant.in_ring:
            tenant.in_ring, tenant.visited = True, False
            self._ring.append(tenant)

    def pop(self) -> Item | None:
        """The next to be served; None where nobody waits."""
        tenant = self._next_tenant()
        if tenant is None:
            return None
        queue = self._next_queue(tenant)
        assert queue is not None
        item = queue.first()
        queue.deficit -= item.work
        tenant.deficit -= item.work
        self._take(queue, item)
        return item

    def remove(self, item: Item) -> None:
        """One that waits leaves without being served."""
        self._take(item.queue, item)

    def take_all(self, queue: Queue, identity: Identity) -> list[Item]:
        """Take off all that one client has waiting in a queue, in its order."""
        found = [item for line in queue.by_worth.values() for item in line if item.identity == identity]
        for item in found:
            self._take(queue, item)
        return found

    def charge(self, queue: Queue, work: float) -> None:
        """Work beside what was counted, done for this client (or, below 0, counted and not done)."""
        least, most = -DEBT_QUANTA * self.quantum, self.quantum
        queue.deficit = min(max(queue.deficit - work, least), max(most, queue.deficit))
        tenant = queue.tenant
        tenant.deficit = min(max(tenant.deficit - work, least), max(most, tenant.deficit))
        self._rest(queue, tenant)

    def forgive(self, queue: Queue, now: int, rate: float) -> None:
        """A debt goes with time while nothing waits, as its part would pay it.  `rate`: work a us, of all."""
        tenant = queue.tenant
        part = rate * self._part(tenant)
        if not tenant.count:
            tenant.deficit = min(0.0, tenant.deficit + part * (now - tenant.rested))
        if not queue.count:
            queue.deficit = min(0.0, queue.deficit + part / (tenant.clients + 1) * (now - queue.rested))
        tenant.rested = queue.rested = now

    def last_of(self, queue: Queue) -> Item:
        """The cheapest class's latest: what it misses least."""
        return queue.by_worth[min(queue.by_worth)][-1]

    # --- inside

    def _part(self, tenant: Tenant, since: int = 1 << 62) -> float:
        """Of all that passes, if none but those tenants ask that have requests waiting, or asked `since`."""
        others = (other for other in self.all_tenants() if other is not tenant)
        weights = sum(other.weight for other in others if other.count or other.span >= since)
        return tenant.weight / (weights + tenant.weight)

    def _next_tenant(self) -> Tenant | None:
        while self._ring:
            tenant = self._ring[0]
            queue = self._next_queue(tenant)
            if queue is None:
                self._ring.popleft()
                tenant.in_ring = tenant.visited = False
                continue
            if not tenant.visited:
                tenant.visited = True
                tenant.deficit += self.quantum * tenant.weight
            if tenant.deficit >= queue.first().work:
                return tenant
            tenant.visited = False
            self._ring.rotate(-1)
        return None

    def _next_queue(self, tenant: Tenant) -> Queue | None:
        while tenant.ring:
            queue = tenant.ring[0]
            if not queue.count:  # its last one left in another way
                tenant.ring.popleft()
                queue.in_ring = queue.visited = False
                continue
            if not queue.visited:
                queue.visited = True
                queue.deficit += self.quantum * queue.weight
            if queue.deficit >= queue.first().work:
                return queue
            queue.visited = False
            tenant.ring.rotate(-1)
        return None

    def _take(self, queue: Queue, item: Item) -> None:
        line = queue.by_worth[item.worth]
        if line[0] is item:
            line.popleft()
        else:
            line.remove(item)
        queue.works[item.worth] -= item.work
        if not line:
            del queue.by_worth[item.worth], queue.works[item.worth]
        before, left = queue.weight, queue.clients[item.identity] - 1
        if left:
            queue.clients[item.identity] = left
        else:
            del queue.clients[item.identity]
        queue.tenant.clients += (queue.weight if queue.clients else 0.0) - before
        self._count(queue, item, -1)
        self._rest(queue, queue.tenant)

    def _count(self, queue: Queue, item: Item, sign: int) -> None:
        queue.count += sign
        queue.tenant.count += sign
        self.count += sign
        self.size += sign * item.size

    def _rest(self, queue: Queue, tenant: Tenant) -> None:
        """Who has nothing waiting saves nothing up; what it owes stays."""
        if not queue.count:
            queue.deficit = min(0.0, queue.deficit)
        if not tenant.count:
            tenant.deficit = min(0.0, tenant.deficit)
