"""Which queue a client's requests wait in: its own while memory lasts, else a shared one.  Pure.

Shuffle sharding over hashed queues as in McKenney, "Stochastic Fairness Queueing" (1990), with a secret seed
that changes; who asks most beyond the table is found by space-saving and kept apart from the rest.
"""

from __future__ import annotations

import functools
import hashlib
import ipaddress
from collections import OrderedDict
from dataclasses import dataclass

from brackengate.queues.scheduler import Identity, Queue, Scheduler, Tenant
from brackengate.talkers import Talkers

HEAVY_SLOTS = 64  # clients that the sketch tells apart
HEAVY_PART = 4.0  # times a slot's even share of what came, from which a client is heavy
HEAVY_LEAST = 50  # requests in a time of the sketch, under which nobody is
SKETCH_US = 5_000_000
NEW_US = 500_000
SEEN_PART = 8  # newcomers that are remembered for each client in the table


@dataclass(frozen=True, slots=True)
class ClientBounds:
    clients: int = 2000  # with a queue of their own
    hashed: int = 64  # shared queues a tenant
    hand: int = 4  # of them that one client may use
    reseed: int = 60_000_000  # microseconds
    per_prefix: int = 8  # clients of one prefix that have their own at a time
    prefix_v4: int = 24
    prefix_v6: int = 56
    retries: float = 5.0  # that a new client may send


@functools.lru_cache(maxsize=4096)
def prefix_of(address: str, v4: int, v6: int) -> str:
    """The network that an address belongs to; itself where it is none."""
    try:
        known = ipaddress.ip_address(address.partition("%")[0])
    except ValueError:
        return address
    if isinstance(known, ipaddress.IPv6Address) and known.ipv4_mapped is not None:
        known = known.ipv4_mapped
    length = v4 if known.version == 4 else v6
    if not length:
        return ""
    return str(ipaddress.ip_network((known, length), strict=False))


def _text(identity: Identity) -> str:
    """One string for one identity, whatever stands in its names."""
    return f"{len(identity.tenant)}:{identity.tenant}{identity.client}"


class Clients:
    """`evicted`: clients whose queue made room for another's; `shared`: requests that went to shared ones.

    A newcomer has no queue of its own: all newcomers of a network share one client's part, so that a new
    identity for each request gains nothing.  Who is seen again `NEW_US` later is known.
    """

    def __init__(self, bounds: ClientBounds, scheduler: Scheduler, seed: bytes) -> None:
        self.bounds, self._scheduler = bounds, scheduler
        self._seed = self._seen_seed = seed
        self.own: dict[Identity, Queue] = {}
        self._idle: OrderedDict[Identity, Queue] = OrderedDict()
        self._seen: OrderedDict[bytes, int] = OrderedDict()  # newcomers: when first
        self._in_use: dict[tuple[str, str], int] = {}  # by tenant and network: known clients with requests
        self._shared: dict[tuple[str, str], Queue] = {}  # by tenant and what it is
        self._where: dict[Identity, Queue] = {}  # whose requests wait in a shared one
        self._networks: dict[Identity, str] = {}  # of these, who counts in `_in_use`
        self._sketch, self._sketch_before = Talkers(HEAVY_SLOTS), Talkers(HEAVY_SLOTS)
        self._sketched = self._seeded = 0
        self._tidy_at = bounds.clients
        self.evicted = self.shared = self.heavy = 0

    def queue(self, now: int, identity: Identity, address: str) -> Queue:
        """Where its next request is to wait.  Tell `used` when it does, or is handed on."""
        self._turn(now)
        queue = self.own.get(identity)
        if queue is not None:
            return queue
        tenant, bounds = self._scheduler.tenant(identity.tenant), self.bounds
        prefix = prefix_of(address, bounds.prefix_v4, bounds.prefix_v6) if address else ""
        known = self._known(now, identity)
        crowded = bool(prefix) and self._in_use.get((tenant.name, prefix), 0) >= bounds.per_prefix
        waits = self._where.get(identity)
        if known and not crowded and (len(self.own) < bounds.clients or self._evict()):
            queue = Queue(identity.client, tenant, prefix=prefix, retries=bounds.retries)
            self.own[identity] = self._idle[identity] = queue
            if waits is not None:
                self._move(identity, waits, queue)
            return queue
        if waits is not None:
            return waits  # behind its earlier ones, else they would change places
        if prefix and (crowded or not known):
            return self._share(tenant, f"network {prefix}", prefix=prefix)
        if not known:
            return self._hashed(tenant, "new", identity)
        queue = self._beyond(identity, tenant)
        if prefix:
            self._networks[identity] = prefix
        return queue

    def used(self, queue: Queue, identity: Identity) -> None:
        """A request of its goes to `queue`, to wait or straight on: before it is counted there."""
        if queue.shared:
            self.shared += 1
            if identity not in self._where:
                self._where[identity] = queue
                if prefix := self._networks.get(identity):
                    self._count(queue.tenant, prefix, 1)
            queue.holds[identity] = queue.holds.get(identity, 0) + 1
        elif queue.idle:
            self._idle.pop(identity, None)
            self._count(queue.tenant, queue.prefix, 1)

    def left(self, queue: Queue, identity: Identity) -> None:
        """One of its requests is gone from `queue`, waiting or out: after it was taken off there."""
        if queue.shared:
            queue.holds[identity] -= 1
            if not queue.holds[identity]:
                del queue.holds[identity], self._where[identity]
                self._count(queue.tenant, self._networks.pop(identity, ""), -1)
        elif queue.idle:
            self._idle[identity] = queue
            self._count(queue.tenant, queue.prefix, -1)

    def not_used(self, queue: Queue, identity: Identity) -> None:
        """After `queue`, where the request was turned away."""
        if queue.shared and identity not in self._where:
            self._networks.pop(identity, None)

    def shared_queues(self) -> list[Queue]:
        return list(self._shared.values())

    # --- inside

    def _move(self, identity: Identity, shared: Queue, own: Queue) -> None:
        """What waits goes along, in its order; what is out stays counted where it was."""
        for item in self._scheduler.take_all(shared, identity):
            self.left(shared, identity)
            self.used(own, identity)
            self._scheduler.push(own, item)

    def _known(self, now: int, identity: Identity) -> bool:
        """Whether it was seen before, and not only just now."""
        digest = self._digest(identity, 8, self._seen_seed)
        first = self._seen.get(digest)
        if first is None:
            self._seen[digest] = now
            if len(self._seen) > SEEN_PART * self.bounds.clients:
                self._seen.popitem(last=False)
            return False
        return now - first >= NEW_US

    def _digest(self, identity: Identity, size: int, seed: bytes) -> bytes:
        return hashlib.blake2b(_text(identity).encode(), key=seed, digest_size=size).digest()

    def _count(self, tenant: Tenant, prefix: str, sign: int) -> None:
        if prefix:
            key = (tenant.name, prefix)
            left = self._in_use.get(key, 0) + sign
            if left:
                self._in_use[key] = left
            else:
                del self._in_use[key]

    def _evict(self) -> bool:
        if not self._idle:
            return False
        identity, _ = self._idle.popitem(last=False)
        del self.own[identity]
        self.evicted += 1
        return True

    def _share(self, tenant: Tenant, label: str, by_client: bool = False, prefix: str = "") -> Queue:
        queue = self._shared.get((tenant.name, label))
        if queue is None:
            if prefix and len(self._shared) >= self._tidy_at:  # networks have no end; all others have
                for key in [key for key, old in self._shared.items() if old.prefix and not old.holds]:
                    del self._shared[key]
                self._tidy_at = max(self.bounds.clients, 2 * len(self._shared))
            queue = Queue(
                label, tenant, shared=True, by_client=by_client, prefix=prefix, retries=self.bounds.retries
            )
            self._shared[tenant.name, label] = queue
        return queue

    def _beyond(self, identity: Identity, tenant: Tenant) -> Queue:
        """No room in the table: the least filled queue of its hand, or the heavy ones' queue."""
        text = _text(identity)
        self._sketch.add(text)
        if self._is_heavy(text):
            self.heavy += 1
            return self._share(tenant, "heavy")
        return self._hashed(tenant, "hashed", identity, by_client=True)

    def _hashed(self, tenant: Tenant, kind: str, identity: Identity, by_client: bool = False) -> Queue:
        """The least filled of its hand."""
        digest = self._digest(identity, 2 * self.bounds.hand, self._seed)
        numbers = [
            int.from_bytes(digest[i : i + 2], "big") % self.bounds.hashed for i in range(0, len(digest), 2)
        ]
        queues = (self._share(tenant, f"{kind} {n}", by_client) for n in numbers)
        return min(queues, key=lambda queue: queue.ahead())

    def _is_heavy(self, text: str) -> bool:
        for sketch in (self._sketch, self._sketch_before):
            count = sketch.at_least(text)
            if count >= max(HEAVY_LEAST, HEAVY_PART * sketch.total / HEAVY_SLOTS):
                return True
        return False

    def _turn(self, now: int) -> None:
        """Old counts go, and the seed changes: who found the way into another's hand loses it."""
        if now - self._sketched >= SKETCH_US:
            self._sketch_before, self._sketch = self._sketch, Talkers(HEAVY_SLOTS)
            self._sketched = now
        if now - self._seeded >= self.bounds.reseed:
            self._seed = hashlib.blake2b(b"next", key=self._seed, digest_size=32).digest()
            self._seeded = now
