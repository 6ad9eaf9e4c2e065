"""What passes the door, what waits, what is refused at once, and when a refused one may come back.  Pure.

Upstream, retries and refusals of what passes are the decision module's.  `now` is microseconds on one clock
that does not step.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from brackengate.queues.clients import ClientBounds, Clients
from brackengate.queues.limit import Limit, LimitBounds
from brackengate.queues.places import Places
from brackengate.queues.scheduler import WORK_QUANTA, Identity, Item, Place, Queue, Scheduler

TO_BEST, FROM_BEST = 0.2, 0.001  # steps of the time that a class takes at best: down quickly, up slowly
LEARN, SLOWLY = 0.05, 0.02  # weight of a new figure in the means of a class, and of all
FIRST_PART = 0.1  # of its aim: the time of a class of which nothing is known yet
MARGIN = 0.02  # of the aim, for the way back
HINT_LEAST, HINT_MOST = 0.25, 8.0  # of its class's mean, what a caller's estimate may make of a request
RATE_US = 200_000  # over which the drain rate is measured
RATE_LEARN = 0.3
FORGET_RATE_US = 5_000_000  # with nobody waiting: what could pass may have changed
AGES = 64
AT_WORK_LEAST = 0.05  # of the time that an answer takes
FACTOR_LEAST, FACTOR_MOST = 0.25, 16.0  # of its class's work, what one client's requests may count as


class Reason(Enum):
    """Why a request was turned away at the door."""

    WAIT = "wait"  # it could not be answered within its aim
    EXPIRED = "expired"  # it waited, and the same became true
    FULL = "full"  # no memory for more that waits, and its client has most there
    RETRIES = "retries"  # its client's retries are used up


@dataclass(frozen=True, slots=True)
class ClassTerms:
    """What the door is told of a class.  Microseconds."""

    aim: int
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """One instance's."""

    clients: ClientBounds = field(default_factory=ClientBounds)
    limit: LimitBounds = field(default_factory=LimitBounds)
    waiting: int = 1000  # requests
    size: int = 8_000_000  # bytes that these hold
    max_retry_after: int = 2_000_000  # 0: nobody is told when to come back
    patience: int = 0  # how long after its refusal a client comes back; 0: while its request has time left
    reserve: float = 0.5  # of what passes, for those who were told when
    grace: int = 300_000
    places: int = 20_000
    retry_ratio: float = 0.2  # retries that a first try earns its client
    retry_burst: float = 5.0
    keys: int = 10_000  # by which retries are recognised


@dataclass(slots=True)  # not frozen: that would triple the cost of making one
class Offer:
    """A request that has come.  `latest`: its deadline; `token`: of the place that it comes to."""

    name: str
    identity: Identity
    address: str
    class_name: str
    latest: int
    size: int = 0
    hint: int = 0
    parts: int = 1
    is_retry: bool = False
    key: bytes = b""
    token: bytes = b""


@dataclass(slots=True)
class Go:
    """Hand it on."""

    name: str


@dataclass(slots=True)
class Turn:
    """Refuse it now.  `wait`: how long its client's share would have it wait, in us.

    `retry_after`: when it finds its place, in us from now, or 0: it is not invited back.
    """

    name: str
    reason: Reason
    wait: int
    retry_after: int = 0
    token: bytes = b""


Verdict = Go | Turn


@dataclass(slots=True)
class _Known:
    """Of a class: how long an answer takes in the mean, how far single ones are off that, and at best.

    `hint`: the mean of what callers say of its requests.
    """

    mean: float
    off: float
    best: float = 0.0
    work: float = 0.0  # of one operation
    hint: float = 0.0


class Admission:
    def __init__(
        self,
        classes: dict[str, ClassTerms],
        tenants: dict[str, float],
        bounds: Bounds,
        seed: int,
        secret: bytes,
        other_share: float = 1.0,
    ) -> None:
        """`tenants`: shares by name; `secret`: signs tokens; `seed`: for what differs by instance."""
        self.bounds, self._classes = bounds, classes
        self._rng = random.Random(seed)
        self.scheduler = Scheduler(tenants, other_share)
        self.clients = Clients(bounds.clients, self.scheduler, self._rng.randbytes(32))
        self.limit = Limit(bounds.limit)
        issuer = self._rng.getrandbits(32)
        self.places = Places(secret, bounds.reserve, bounds.grace, bounds.places, issuer)
        self.counters: Counter[str] = Counter()
        self._items: dict[str, Item] = {}
        self._out: dict[str, Item] = {}  # handed on, the oldest first
        self._reserved: OrderedDict[str, Item] = OrderedDict()
        self._reserved_size = 0
        self._due: list[tuple[int, str]] = []
        self._known: dict[str, _Known] = {}
        self._keys: OrderedDict[bytes, None] = OrderedDict()
        self._longest: Queue | None = None
        self._mean_work = self._mean_took = 0.0
        self._line = 0.0  # the mean time that requests spend beyond the door and not at work
        self._drained, self._rate, self._rate_since, self._busy = 0.0, 0.0, 0, 0

    # --- events; each answers with what is to be done now

    def arrive(self, now: int, offer: Offer) -> list[Verdict]:
        """A request; it waits if no verdict names it."""
        told: list[Verdict] = []
        queue = self.clients.queue(now, offer.identity, offer.address)
        self.scheduler.asks(queue, now)
        item = self._item(now, offer, queue)
        calm = self.limit.room(len(self._out)) and not self.scheduler.count and not self._reserved
        place = self._come_to(now, offer, item) if offer.token or len(self.places) else None
        by_key = bool(offer.key) and self._by_key(offer)
        retry = place is None and self._retry(queue, offer, by_key)
        if calm:
            self.clients.used(queue, item.identity)
            self._hand_on(now, item, told)
            return told
        self.scheduler.forgive(queue, now, self.rate())
        if retry:
            return [self._turn(now, item, Reason.RETRIES)]
        if place is None and now + self.wait(queue, item) > item.latest:
            return [self._turn(now, item, Reason.WAIT)]
        if not self._make_room(now, item, place is not None, told):
            told.append(self._turn(now, item, Reason.FULL))
            return told
        self.clients.used(queue, item.identity)
        self._items[item.name] = item
        heapq.heappush(self._due, (item.latest, item.name))
        if place is not None:
            queue.running += 1  # so that it stays; it is not in the ring
            self._reserved[item.name] = item
            self._reserved_size += item.size
        else:
            self.scheduler.push(queue, item)
            self.counters["waited"] += 1
            if self._longest is None or queue.count > self._longest.count:
                self._longest = queue
        self._pass_on(now, told)
        return told

    def ended(self, now: int, name: str, served: bool, refused: bool) -> list[Verdict]:
        """One that was handed on is over: served, given up by the module (`refused`), or neither."""
        item = self._out.pop(name, None)
        if item is None:
            return []
        queue = item.queue
        queue.running -= 1
        took = now - item.began
        aim = self._classes[item.class_name].aim
        self.limit.ended(item.class_name, item.began, now, aim, served, refused, item.calm)
        if served:
            self._learn(item, took)
            self._drained += item.work
        self.clients.left(queue, item.identity)
        told: list[Verdict] = []
        self._measure(now)
        self._look(now)
        self._pass_on(now, told)
        return told

    def gone(self, now: int, name: str) -> bool:
        """Its client has gone; whether it waited, and so was never handed on."""
        item = self._items.pop(name, None)
        if item is None:
            return False
        self._withdraw(item)
        self.counters["gone"] += 1
        return True

    def due(self) -> int | None:
        """When `expire` has something to do next."""
        while self._due and not self._waits(self._due[0]):
            heapq.heappop(self._due)
        if len(self._due) > 1000 + 4 * len(self._items):  # those of long aims that were served long ago
            self._due = sorted(filter(self._waits, self._due))
        return self._due[0][0] if self._due else None

    def expire(self, now: int) -> list[Verdict]:
        """Refuse what could no longer be answered in its aim."""
        told: list[Verdict] = []
        while (due := self.due()) is not None and due <= now:
            item = self._items.pop(heapq.heappop(self._due)[1])
            self._withdraw(item)
            told.append(self._turn(now, item, Reason.EXPIRED))
        self._look(now)
        self._pass_on(now, told)
        return told

    def refused(self, now: int, name: str, advised: int) -> tuple[int, bytes]:
        """The module refuses one that was handed on, before its `ended`: when to come back, and a token.

        `advised`: the module's own word on that, in us, which holds where there is no place; 0 stays 0.
        """
        item = self._out.get(name)
        if not advised or item is None:
            return advised, b""
        after, token = self._invite(now, item)
        return after or advised, token

    # --- what is known

    def waiting(self) -> int:
        return self.scheduler.count + len(self._reserved)

    def waiting_bytes(self) -> int:
        return self.scheduler.size + self._reserved_size

    def running(self) -> int:
        return len(self._out)

    def rate(self) -> float:
        """Work that passes in a microsecond: measured while some wait, else what the limit lets out."""
        if self._rate > 0:
            return self._rate
        at_work = self._mean_work / self._mean_took if self._mean_took else 1.0
        return max(1e-3, self.limit.value * at_work)

    def wait(self, queue: Queue, item: Item) -> int:
        """How long this one would wait at its client's share, if all who wait now went on asking."""
        share = self.scheduler.share(queue, item.identity)
        ahead = queue.ahead(item.worth) + item.work + max(0.0, -queue.deficit)
        return int(ahead / (self.rate() * share))

    # --- inside

    def _waits(self, entry: tuple[int, str]) -> bool:
        """Whether an entry of the heap is of one that waits, and not of an earlier one with its name."""
        item = self._items.get(entry[1])
        return item is not None and item.latest == entry[0]

    def _item(self, now: int, offer: Offer, queue: Queue) -> Item:
        terms = self._classes[offer.class_name]
        known = self._known.get(offer.class_name)
        if known is None:
            first = FIRST_PART * terms.aim
            known = self._known[offer.class_name] = _Known(first, first)
        base = self._work(known, offer)
        aim_by = min(offer.latest, now + terms.aim) - int(MARGIN * terms.aim)
        return Item(
            offer.name,
            offer.identity,
            offer.class_name,
            terms.worth,
            min(base * queue.factor, WORK_QUANTA * self.scheduler.quantum),
            aim_by - int(min(known.mean + 2 * known.off, (aim_by - now) / 2)),
            offer.latest,
            offer.size,
            offer.parts,
            base,
            now,
            queue,
        )

    def _come_to(self, now: int, offer: Offer, item: Item) -> Place | None:
        """The place that a request comes to, if any, which is spent by this."""
        for missed in self.places.missed(now):
            self.counters["places.missed"] += 1
            if (holder := self.clients.own.get(missed.identity)) is not None:
                self.scheduler.charge(holder, -missed.work)
        queue = item.queue
        if queue.carries and not offer.token:
            return None
        place = self.places.redeem(now, offer.identity, offer.token, item.work, self.rate())
        if place is None:
            item.place = self.places.named(now, offer.identity, offer.token)
            return None
        queue.carries = queue.carries or (bool(offer.token) and not queue.shared)
        self.counters["places.kept"] += 1
        return place

    def _work(self, known: _Known, offer: Offer) -> float:
        """Microseconds of an upstream's time, by its class.

        That is what answers take without the time in upstreams' lines, which all classes have alike.  What
        the caller says of itself moves it within bounds, and so does what its client's requests took before.
        """
        factor = 1.0
        if offer.hint > 0:
            known.hint += LEARN * (offer.hint - known.hint) if known.hint else offer.hint
            factor = min(max(offer.hint / known.hint, HINT_LEAST), HINT_MOST)
        each = known.work or known.mean
        return max(each * factor * offer.parts, 1.0)

    def _by_key(self, offer: Offer) -> bool:
        """Whether its client sent this key of late."""
        names = repr(offer.identity).encode()  # unambiguous, whatever stands in them
        text = hashlib.blake2b(names + offer.key, digest_size=16).digest()
        known = text in self._keys
        self._keys[text] = None
        self._keys.move_to_end(text)
        if len(self._keys) > self.bounds.keys:
            self._keys.popitem(last=False)
        return known

    def _retry(self, queue: Queue, offer: Offer, by_key: bool) -> bool:
        """Count a retry against its client; whether it has none left."""
        if not (offer.is_retry or by_key):
            queue.retries = min(self.bounds.retry_burst, queue.retries + self.bounds.retry_ratio)
            return False
        if queue.retries < 1:
            return True
        queue.retries -= 1
        return False

    def _make_room(self, now: int, item: Item, promised: bool, told: list[Verdict]) -> bool:
        """Where memory is full, the client that has most waiting gives up its last; whether there is room.

        `promised`: it comes to its place, and so before whatever waits.
        """
        bounds, queue = self.bounds, item.queue
        fair = 0.0 if promised else (queue.count + 1) / queue.weight
        while self.waiting() >= bounds.waiting or self.waiting_bytes() + item.size > bounds.size:
            longest = self._longest
            if longest is None or longest.count / longest.weight <= fair:
                return False
            last = self.scheduler.last_of(longest)
            self._items.pop(last.name, None)
            self._withdraw(last)
            told.append(self._turn(now, last, Reason.FULL))
        return True

    def _withdraw(self, item: Item) -> None:
        """It waits no more, and is not handed on."""
        if self._reserved.pop(item.name, None) is not None:
            item.queue.running -= 1
            self._reserved_size -= item.size
        else:
            self.scheduler.remove(item)
        self.clients.left(item.queue, item.identity)

    def _pass_on(self, now: int, told: list[Verdict]) -> None:
        while self.limit.room(len(self._out)):
            if self._reserved:
                _, item = self._reserved.popitem(last=False)
                self._reserved_size -= item.size
                item.queue.running -= 1  # its work was charged when the place was given
            else:
                popped = self.scheduler.pop()
                if popped is None:
                    return
                item = popped
            self._items.pop(item.name, None)
            self._hand_on(now, item, told)

    def _hand_on(self, now: int, item: Item, told: list[Verdict]) -> None:
        queue = item.queue
        item.began = now
        queue.running += 1
        queue.passed += 1
        queue.tenant.passed += 1
        self.counters["passed"] += 1
        self.counters["waited_us"] += now - item.arrived
        self._out[item.name] = item
        item.calm = self.limit.began(now, len(self._out))
        told.append(Go(item.name))

    def _turn(self, now: int, item: Item, reason: Reason) -> Turn:
        queue = item.queue
        self.clients.not_used(queue, item.identity)
        queue.turned += 1
        queue.tenant.turned += 1
        queue.reason = reason.value
        self.counters[f"turned.{reason.value}"] += 1
        wait = self.wait(queue, item)
        after, token = self._invite(now, item) if reason is not Reason.RETRIES else (0, b"")
        return Turn(item.name, reason, wait, after, token)

    def _invite(self, now: int, item: Item) -> tuple[int, bytes]:
        """Keep a place for the client of one that is not served: in how long, and its token; 0: none."""
        place = self._place(now, item)
        return (max(1, place.at - now), self.places.token(place)) if place is not None else (0, b"")

    def _place(self, now: int, item: Item) -> Place | None:
        """The place that its client has already, else the next that its share gives it.

        None where that is later than it may be told, or than the client waits: it is not invited back.
        """
        bounds, queue = self.bounds, item.queue
        if not bounds.max_retry_after:
            return None
        known = self._known.get(item.class_name)
        service = int(known.mean) if known is not None else 0
        patience = bounds.patience or max(0, item.deadline - service - now)
        latest = now + min(patience, bounds.max_retry_after)
        rate = self.rate()
        each = int(item.work / (rate * self.scheduler.sure_share(queue, now)))
        if item.place is not None:  # who comes early has what it was told, and no more
            self.counters["places.again"] += 1
            return item.place if item.place.at <= latest else None
        earliest = now + max(each, self.wait(queue, item))
        earliest = max(earliest, queue.booked_until + each)
        place = None
        if earliest <= latest:
            place = self.places.book(
                now, item.identity, earliest, latest, item.work, rate, self._rng.random()
            )
        if place is None:
            self.counters["places.none"] += 1
            return None
        queue.booked_until = place.at
        self.scheduler.charge(queue, item.work)
        self.counters["places.given"] += 1
        return place

    def _look(self, now: int) -> None:
        if self.limit.window_over(now):
            self.limit.look(now, self._ages(), len(self._out))

    def _ages(self) -> list[tuple[str, int, int]]:
        """Class, since when, and aim, of the oldest that are out; no more than tell something."""
        rows = []
        for item in self._out.values():
            rows.append((item.class_name, item.began, self._classes[item.class_name].aim))
            if len(rows) >= AGES:
                break
        return rows

    def _learn(self, item: Item, took: int) -> None:
        known = self._known[item.class_name]
        known.off += LEARN * (abs(took - known.mean) - known.off)
        known.mean += LEARN * (took - known.mean)
        known.best = known.best or float(took)
        known.best += (took - known.best) * (TO_BEST if took < known.best else FROM_BEST)
        work = max(took - self._line, AT_WORK_LEAST * took) / item.parts
        known.work = known.work or work
        known.work += LEARN * (work - known.work)
        queue, usual = item.queue, self._line + item.base
        off = (took - self._line - item.base * queue.factor) / usual
        queue.factor = min(max(queue.factor + SLOWLY * off, FACTOR_LEAST), FACTOR_MOST)
        self._line += SLOWLY * (max(0.0, took - known.best) - self._line)
        self._mean_took = self._mean_took or float(took)
        self._mean_took += SLOWLY * (took - self._mean_took)
        self._mean_work = self._mean_work or item.work
        self._mean_work += SLOWLY * (item.work - self._mean_work)
        self.scheduler.quantum = max(100.0, self._mean_work)

    def _measure(self, now: int) -> None:
        """The drain rate counts only while requests wait: else it tells what was asked, not what can pass."""
        if not self.waiting() or not self._rate_since:  # the clock does not begin with this instance
            self._rate_since, self._drained = now, 0.0
            if now - self._busy > FORGET_RATE_US:
                self._rate = 0.0
            return
        self._busy = now
        lasted = now - self._rate_since
        if lasted >= RATE_US:
            seen = self._drained / lasted
            self._rate += RATE_LEARN * (seen - self._rate) if self._rate else seen
            self._rate_since, self._drained = now, 0.0
