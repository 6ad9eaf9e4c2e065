"""Who asks: items of dealers, tried on connections, given up, tried again, and told when to come back."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from brackengate.emulator.backend import cut, field
from brackengate.emulator.instance import Instance
from brackengate.emulator.loop import Loop, S
from brackengate.emulator.network import End, Network
from brackengate.emulator.process import Process
from brackengate.emulator.scenario import Kind, Scenario

LINGER = 100_000
KEPT = 4  # idle connections that a zone's callers keep to one balancer


@dataclass(frozen=True, slots=True)
class Told:
    """How a try ended.  `what`: a status, "refused connection", "reset", "nothing" or "impatient"."""

    what: str
    after: int = 0  # microseconds, where it says when to come back
    place: bytes = b""


@dataclass(eq=False, slots=True)
class Item:
    """What a client wants, over all its tries."""

    name: str
    kind: str
    zone: str
    dealer: str
    key: str
    began: int
    work: int
    tries: int = 0
    place: bytes = b""


class Around(Protocol):
    told: Scenario
    loop: Loop
    net: Network
    instances: list[Instance]

    def trace(self, what: str, *of: object) -> None: ...


class Exchange:
    """One request on a connection: one answer, or how it ended without."""

    def __init__(self, end: End, data: bytes, told: Callable[[Told, bool], None]) -> None:
        """`told` hears once; whether the connection may be used again, too."""
        self._end, self._told, self._data = end, told, b""
        self.over = False
        end.listen(self._hears, self._ends)
        end.write(data)

    @property
    def heard(self) -> bool:
        return bool(self._data)

    def _hears(self, data: bytes) -> None:
        self._data += data
        message = cut(self._data)
        if message is not None:
            head, _ = message
            after = int(float(field(head, b"Retry-After") or b"0") * S)
            keep = field(head, b"Connection").lower() != b"close"
            self._finish(Told(head[9:12].decode(), after, field(head, b"X-Place")), keep)

    def _ends(self, broken: bool) -> None:
        self._finish(Told("reset"), False)

    def give_up(self) -> None:
        """Nobody waits for it any more."""
        if not self.over:
            self.over = True
            self._end.close()

    def _finish(self, told: Told, keep: bool) -> None:
        if not self.over:
            self.over = True
            if not keep:
                self._end.close()
            self._told(told, keep)


class Dealers:
    """How often each asks, and when: sizes by rank, rushes before closes, floods."""

    def __init__(self, told: Scenario) -> None:
        self._told = told.clients
        self.names = [f"d{n}" for n in range(told.clients.dealers)]
        sizes: list[float] = [(n + 1) ** -told.clients.skew for n in range(len(self.names))]
        self.rates = {
            name: told.clients.rate * size / sum(sizes) for name, size in zip(self.names, sizes, strict=True)
        }

    def flood(self, dealer: str, times: float) -> None:
        for name in [dealer] if dealer else self.names:
            self.rates[name] *= times

    def rate(self, now: int) -> float:
        """Items a second, of all together."""
        told, rate = self._told, float(sum(self.rates.values()))
        for close in told.closes:
            left = int(close) - now
            if 0 <= left < told.rush_for:
                rate *= 1 + (told.rush - 1) * (1 - left / int(told.rush_for))
        return rate

    def draw(self, rng: random.Random) -> str:
        if len(self.names) == 1:
            return self.names[0]
        return rng.choices(self.names, list(self.rates.values()))[0]


class Arrivals:
    """What is asked, and when: the same in simulated time and on sockets."""

    def __init__(self, told: Scenario, seed: int) -> None:
        self._told, self._rng = told, random.Random(f"{seed}/arrivals")
        self.dealers = Dealers(told)
        self._names, self._kinds = list(told.class_), list(told.class_.values())
        self._shares = [kind.share for kind in self._kinds]

    def gap(self, now: int) -> int:
        """From now to the next item."""
        return max(1, int(self._rng.expovariate(self.dealers.rate(now)) * S))

    def item(self, number: int, now: int) -> Item:
        rng = self._rng
        name = rng.choices(self._names, self._shares)[0]
        kind = self._told.class_[name]
        key = f"k{number}" if kind.repeats == "keyed" else ""
        work = max(1, int(kind.work * rng.uniform(0.5, 1.5)))
        zone, dealer = rng.choice(self._told.zones), self.dealers.draw(rng)
        return Item(f"i{number}", name, zone, dealer, key, now, work)


def wait_after(told: Scenario, item: Item, how: Told, now: int, chance: float) -> int | None:
    """How long after a try that ended so the next one begins; None: there is none.  `chance`: 0 to 1."""
    kind, clients, status = told.class_[item.kind], told.clients, how.what
    harmless = status in ("503", "refused connection")
    again = harmless or (kind.repeats != "unsafe" and status != "nothing")
    wait = int(clients.backoff * 2 ** (item.tries - 1) * (0.5 + chance))
    if clients.obey and how.after:
        wait = how.after
    in_time = now + wait < item.began + int(kind.deadline)
    return wait if status != "200" and again and item.tries <= clients.retries and in_time else None


def request(told: Scenario, item: Item, now: int) -> bytes:
    """One try, as it is written."""
    kind = told.class_[item.kind]
    left = max(1, (item.began + int(kind.deadline) - now) // 1000)
    safe = kind.repeats == "safe"
    lines = [
        b"%s /api?lot=7 HTTP/1.1\r\nHost: drazba" % (b"GET" if safe else b"POST"),
        b"X-Txn: %s.%d" % (item.name.encode(), item.tries),
        b"X-Lane: %s" % item.kind.encode(),
        b"X-Remaining-Ms: %d" % left,
        b"X-Work: %d" % item.work,
        b"X-Org: %s" % item.dealer.encode(),
        b"X-Client: %s" % item.dealer.encode(),
    ]
    if item.key:
        lines.append(b"Idempotency-Key: %s" % item.key.encode())
    if item.tries > 1 and told.balancers.marks_retry:
        lines.append(b"X-Resent: 1")
    if item.place:
        lines.append(b"X-Place: %s" % item.place)
    if not safe:
        lines.append(b"Content-Length: 9")
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if safe else b'{"lot":7}')


class Callers:
    """All clients, and the front that deals their connections out."""

    def __init__(self, around: Around, seed: int) -> None:
        told = around.told
        self._around, self._loop, self._told, self._rng = (
            around,
            around.loop,
            told,
            random.Random(f"{seed}/callers"),
        )
        self._arrivals = Arrivals(told, seed)
        self.dealers = self._arrivals.dealers
        self._homes = {zone: Process(around.loop, around.net, zone, f"callers {zone}") for zone in told.zones}
        self._kept: dict[tuple[str, str], list[End]] = {}

    def begin(self, at: int) -> None:
        self._loop.at(at, partial(self._comes, 0))

    def close(self) -> None:
        for home in self._homes.values():
            home.die()

    # --- items

    def _comes(self, number: int) -> None:
        now = self._loop.now
        if now < self._told.length:
            self._loop.after(self._arrivals.gap(now), partial(self._comes, number + 1))
        item = self._arrivals.item(number, now)
        kind = self._told.class_[item.kind]
        self._around.trace("asked", item.name, item.kind, kind.repeats, item.dealer)
        self._try(item)

    def _try(self, item: Item) -> None:
        kind, told = self._told.class_[item.kind], self._told.clients
        item.tries += 1
        left = item.began + int(kind.deadline) - self._loop.now
        patience = min(left, int(told.patience)) if told.patience else left
        _Try(self, item, kind, patience, "nothing" if patience == left else "impatient").start()

    def ended(self, item: Item, how: Told) -> None:
        """One try's end: another, or the item's."""
        wait = wait_after(self._told, item, how, self._loop.now, self._rng.random())
        item.place = how.place if wait is not None else b""
        if wait is not None:
            self._loop.after(wait, partial(self._try, item))
            return
        took = self._loop.now - item.began
        self._around.trace("ended", item.name, item.kind, how.what, took, item.dealer)

    # --- connections

    def offered(self, zone: str) -> Instance | None:
        here = [one for one in self._around.instances if one.offered and one.zone == zone]
        there = here or [one for one in self._around.instances if one.offered]
        return self._rng.choice(there) if there else None

    def kept(self, zone: str, instance: Instance) -> End | None:
        stack = self._kept.get((zone, instance.name), [])
        while stack:
            end = stack.pop()
            if not end.closed:
                return end
        return None

    def keep(self, zone: str, instance: Instance, end: End) -> None:
        stack = self._kept.setdefault((zone, instance.name), [])
        if len(stack) < KEPT and self._told.clients.keep and not end.closed:
            end.listen(lambda data: None, lambda broken: None)
            stack.append(end)
        else:
            end.close()

    def home(self, zone: str) -> Process:
        return self._homes[zone]


class _Try:
    """One try: a connection, an exchange on it, and the time after which it is given up."""

    def __init__(self, callers: Callers, item: Item, kind: Kind, patience: int, late: str) -> None:
        self._callers, self._item, self._kind, self._late = callers, item, kind, late
        self._patience = patience
        self._over = False
        self._exchange: Exchange | None = None
        self._instance: Instance | None = None

    def start(self) -> None:
        item = self._item
        self._instance = self._callers.offered(item.zone)
        if self._instance is None:
            self._ends(Told("refused connection"))
            return
        self._callers._loop.after(self._patience, self._gives_up)
        # What must not run twice takes no connection that the other side may just be closing.
        kept = None if self._kind.repeats == "unsafe" else self._callers.kept(item.zone, self._instance)
        if kept is not None:
            self._asks(kept, on_kept=True)
        else:
            self._dial()

    def _dial(self) -> None:
        assert self._instance is not None
        self._callers.home(self._item.zone).connect(self._instance.address, self._connected)

    def _connected(self, end: End | None) -> None:
        if self._over:
            if end is not None:
                end.close()
        elif end is None:
            self._ends(Told("refused connection"))
        else:
            self._asks(end, on_kept=False)

    def _asks(self, end: End, on_kept: bool) -> None:
        data = request(self._callers._told, self._item, self._callers._loop.now)
        self._exchange = Exchange(end, data, partial(self._told, end, on_kept))

    def _told(self, end: End, on_kept: bool, told: Told, keep: bool) -> None:
        assert self._exchange is not None and self._instance is not None
        if told.what == "reset" and on_kept and not self._exchange.heard and not self._over:
            self._item.tries += 1  # its id may be known there: another
            self._dial()  # once more, as RFC 9110, 9.2.2 allows
            return
        if keep:
            self._callers.keep(self._item.zone, self._instance, end)
        self._ends(told)

    def _gives_up(self) -> None:
        if not self._over:
            if self._exchange is not None:
                # Whoever has no time left hangs up a little later: so it is seen whether an answer came late.
                after = LINGER if self._late == "nothing" else 0
                self._callers._loop.after(after, self._exchange.give_up)
            self._ends(Told(self._late))

    def _ends(self, told: Told) -> None:
        if not self._over:
            self._over = True
            self._callers.ended(self._item, told)
