"""Calls over both hops in simulated time: real proxies, scripted upstreams, and what breaks in between.

client --> way out (egress proxy) --> gate (ingress proxy) --> upstream
  proxies 0: where most clients are; 1 to 3: service p; 4: service s, with the only upstream it has

A `Script` says all that happens; `play` gives what clients and upstreams saw.  The proxies' code is as it is:
`WayOut`, `Entry`, their pools and listeners, each pair in a process of its own that can be frozen or killed.
"""

from __future__ import annotations

import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from brackengate.emulator.loop import MS, Loop, S
from brackengate.emulator.mesh.ground import RoleProcess, Ways, ground_of
from brackengate.emulator.mesh.talk import Call, Heard, Reader, message
from brackengate.emulator.network import End
from brackengate.emulator.process import Process
from brackengate.http.body import ByteBudget
from brackengate.net.sockets import SocketBudget
from brackengate.net.upstream import Pool
from brackengate.pilot import verdict
from brackengate.pilot.entry import Entry
from brackengate.pilot.gate import Beat, Gate
from brackengate.pilot.table import Table
from brackengate.pilot.wake import Wake
from brackengate.pilot.way import WayOut
from brackengate.signals.door import listener
from brackengate.signals.words import Claim, Command, CommandDone, HeldBy

INBOUND, APPLICATION, OUTBOUND = 8300, 8301, 8304
SERVICES = ("front", "p", "p", "p", "s")  # beside each proxy
CUTOFF, ATTEMPTS, WINDOW = 600, 2, 60 * S  # ms; of every route
KINDS = {"read": "idempotent", "buy": "effectful", "bid": "keyed"}
TRIES = (10.0, 500.0)  # ratio and slack of further tries: enough for them to be made
AFTERWARDS = 6 * S  # until whatever was late has come

RUNS = tuple(
    "served failed overdue bare-503 bare-429 reset closed half half-closed garbage other other-refusal"
    " other-failure no-id no-seal twice-now twice-soon twice-later twice-next silent slow pieces long"
    " long-broken last brief".split()
)
FAULTS = tuple("freeze freeze freeze reset cut refuse stray stray term kill restart restart replace".split())
RUNS_NOT = ("full", "full-twice", "reset-unread", "closed-unread", "misdirected")


@dataclass(frozen=True)
class Asks:
    """One try of a client.  Times in ms; `leaves`: when it gives up; `half`: it never sends the rest."""

    at: int
    route: str  # a kind and a service, as in "buy-p"
    proxy: int = 0
    key: str = ""
    deadline: int = 500
    leaves: int = 800
    size: int = 0
    half: bool = False


@dataclass(frozen=True)
class Act:
    """What an upstream does with one request; `after` ms."""

    what: str = "served"
    after: int = 10


@dataclass(frozen=True)
class Fault:
    what: str  # freeze, reset, cut, refuse, stray, term, kill, restart, replace
    at: int
    proxy: int
    lasts: int = 0
    other: int = 0


@dataclass(frozen=True)
class Script:
    seed: int
    asks: tuple[Asks, ...]
    acts: tuple[tuple[int, tuple[Act, ...]], ...] = ()  # by proxy, in the order of the requests there
    faults: tuple[Fault, ...] = ()
    core: float = 0.0  # share of words to and from the core that are late or lost


@dataclass(frozen=True)
class Ran:
    at: int
    upstream: str
    attempt: str
    key: str


@dataclass(frozen=True)
class Done:
    """An upstream's whole answer, by its seal."""

    attempt: str
    status: int
    body: bytes


@dataclass
class Ended:
    at: int
    heard: Heard | None
    why: str

    @property
    def status(self) -> int:
        return self.heard.status if self.heard is not None else 0


@dataclass
class Seen:
    script: Script
    ran: list[Ran] = field(default_factory=list)
    done: dict[str, Done] = field(default_factory=dict)
    ended: dict[str, Ended] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    connections: int = 0  # to upstreams
    held: int = 0  # by proxies that stand, when all is over

    def asked(self, attempt: str) -> Asks:
        return self.script.asks[int(attempt[1:])]


class Upstream:
    """One life beside a proxy, which runs what the script says."""

    def __init__(self, rig: Rig, number: int, id_: str, acts: tuple[Act, ...]) -> None:
        self._rig, self.ip, self.id = rig, ip_of(number), id_
        self._acts, self._seals = deque(acts), 0
        self.process = Process(rig.loop, rig.net, self.ip, self.id)
        self.listen()

    def listen(self) -> None:
        if not self.process.alive:
            return  # replaced meanwhile
        self._listener = self.process.listener((self.ip, APPLICATION))
        self._listener.taken = self._taken

    def refuse(self) -> None:
        self._listener.close()

    def _taken(self, end: End) -> None:
        self._rig.seen.connections += 1
        self.process.holds(end)
        reader, owed = Reader(), list[bytes]()

        def hears(data: bytes) -> None:
            for heard in reader.take(data):
                if owed:
                    end.write(owed.pop())  # in the place of the next answer
                self._asked(end, heard, owed)

        end.listen(hears, lambda broken: None)

    def _asked(self, end: End, heard: Heard, owed: list[bytes]) -> None:
        fields = heard.fields
        attempt = fields["x-brackengate-attempt-id"]
        act = self._acts.popleft() if self._acts else Act()
        if fields["x-brackengate-target-instance"] != self.id:
            act = Act("misdirected")
        if act.what in RUNS:
            key = fields.get("x-brackengate-operation-key", "")
            self._rig.seen.ran.append(Ran(self._rig.loop.now, self.id, attempt, key))
        self._rig.loop.after(act.after * MS, partial(self._does, act.what, end, attempt, owed))

    def _does(self, what: str, end: End, attempt: str, owed: list[bytes]) -> None:
        says, unrun = self._says, {"X-Brackengate-Not-Executed": "1"}
        match what:
            case "reset" | "reset-unread":
                end.reset()
            case "closed" | "closed-unread":
                end.close()
            case "silent":
                pass
            case "garbage":
                end.write(b"\x00what\r\n\r\n")
            case "failed" | "overdue" | "bare-503" | "bare-429":
                status = {"failed": 500, "overdue": 504, "bare-503": 503, "bare-429": 429}[what]
                end.write(says(attempt, status))
            case "full" | "misdirected":
                end.write(self._bare(attempt, 503 if what == "full" else 421, unrun))
            case "full-twice":
                owed.append(self._bare(attempt, 503, unrun))
                end.write(owed[-1])
            case "other-refusal":
                end.write(self._bare("t999", 503, unrun))
            case "other" | "other-failure":
                end.write(says("t999", 200 if what == "other" else 500))
            case "no-id":
                end.write(says(attempt, 200, name=False))
            case "no-seal":
                end.write(self._bare(attempt, 200, {}))
            case "half" | "half-closed" | "long-broken":
                data = says(attempt, 200, size=200_000 if what == "long-broken" else 90)
                end.write(data[: len(data) * 2 // 3])
                self._rig.loop.after(5 * MS, end.close if what == "half-closed" else end.reset)
            case "pieces":
                data = says(attempt, 200)
                end.write(data[: len(data) // 2])
                self._rig.loop.after(20 * MS, partial(end.write, data[len(data) // 2 :]))
            case "last":
                end.write(says(attempt, 200, close=True))
                end.close()
            case "twice-now":
                end.write(says(attempt, 200) + says(attempt, 200))
            case "twice-soon" | "twice-later" | "twice-next":
                data = says(attempt, 200)
                end.write(data)
                if what == "twice-next":
                    owed.append(data)
                else:
                    wait = 2 if what == "twice-soon" else 60
                    self._rig.loop.after(wait * MS, partial(end.write, data))
            case "brief":
                end.write(says(attempt, 200, idle=1))
            case _:  # served, slow
                end.write(says(attempt, 200, size=100_000 if what == "long" else 40))

    def _says(
        self,
        attempt: str,
        status: int,
        size: int = 40,
        name: bool = True,
        close: bool = False,
        idle: int = 10,
    ) -> bytes:
        """An answer of its own, under a seal that it notes."""
        self._seals += 1
        seal = f"{self.id}.{self._seals}"
        body = f"{attempt}|{seal}|".encode().ljust(size, b"x")
        self._rig.seen.done[seal] = Done(attempt, status, body)
        fields = {"X-Brackengate-Server-Seal": seal, "Keep-Alive": f"timeout={idle}"}
        if name:
            fields["X-Brackengate-Attempt-Id"] = attempt
        if close:
            fields["Connection"] = "close"
        return message(f"HTTP/1.1 {status} Said", fields, body)

    def _bare(self, attempt: str, status: int, fields: dict[str, str]) -> bytes:
        return message(f"HTTP/1.1 {status} Said", {"X-Brackengate-Attempt-Id": attempt, **fields})


class Core:
    """Who holds which key, as the control replicas agree on it.  Its words may be late or lost."""

    def __init__(self, rig: Rig, trouble: float) -> None:
        self._rig, self._trouble = rig, trouble
        self._rng = random.Random(f"{rig.seen.script.seed}/core")
        self._held: dict[str, tuple[str, str]] = {}

    def ask(self, process: RoleProcess, what: Command, done: Callable[[Any], None], within_s: float) -> None:
        waiting = [done]

        def answers(result: Any) -> None:
            if waiting:
                waiting.pop()(result)

        process.call_later(within_s, answers, None)
        there, back = self._way(), self._way()
        if there is not None:
            self._rig.loop.after(there, lambda: self._back(process, self._does(what), answers, back))

    def _back(
        self, process: RoleProcess, result: Any, answers: Callable[[Any], None], way: int | None
    ) -> None:
        if way is not None:
            self._rig.loop.after(way, lambda: process.enter(partial(answers, result)))

    def _way(self) -> int | None:
        if self._rng.random() >= self._trouble:
            return 1 * MS
        return self._rng.choice((None, 50 * MS, 400 * MS, 1500 * MS))

    def _does(self, what: Any) -> Any:
        held, mine = self._held.get(what.key), (what.gate, what.attempt)
        if isinstance(what, Claim):
            if held is None or held == (what.gate, what.instead):
                self._held[what.key] = mine
            elif held != mine:
                return HeldBy(held[0], held[1])
        elif held == mine:
            del self._held[what.key]
        return CommandDone()


class Proxy:
    """One machine: its way out, its gate and the upstream beside it."""

    def __init__(self, rig: Rig, number: int, acts: tuple[Act, ...]) -> None:
        self.rig, self.number, self.acts, self.lives = rig, number, acts, 0
        self.ip, self.plant = ip_of(number), SERVICES[number]
        rig.net.zones[self.ip] = "z"
        self.upstream = Upstream(rig, number, f"i-{number}", acts) if self.plant != "front" else None
        self.start()

    def start(self) -> None:
        """A process, with nothing of an earlier one but what its upstream beats and the core says."""
        rig, number = self.rig, self.number
        if self.lives and self.process.alive:
            return
        self.lives += 1
        rng = random.Random(f"{rig.seen.script.seed}/{number}/{self.lives}")
        process = self.process = RoleProcess(rig.loop, rig.net, self.ip, f"proxy {number}", rng)
        self.said: dict[End, bytes] = {}  # last, on each connection that came in
        process.accepted = self._looks_on
        ground = ground_of(process, rig.loop, rig.net, rng, 0)
        clock = ground.clock
        assert clock is not None
        self.gate = Gate("z", 10**12, 2 * S)
        if self.upstream is not None:
            self.gate.heard(Beat(self.upstream.id, self.plant, "ready", 50, 0, 1), clock.now())
        budget = SocketBudget(500)
        own, peers = (
            Pool(
                ground.loop, budget, 0.25, 9.0, ByteBudget(8 << 20),
                wire=ground.wire, judge=judge, settle=settle, slow=False,
            )
            for judge, settle in ((verdict.own_judge, None), (verdict.judge, 0))
        )  # fmt: skip
        address_of = lambda machine: (machine, INBOUND)  # noqa: E731
        ask = partial(rig.core.ask, process)
        self.entry = Entry(
            ground.loop, clock, own, self.gate, self.ip, (self.ip, APPLICATION), WINDOW, ask, peers,
            address_of, f"life{number}.{self.lives}",
        )  # fmt: skip
        table = Table()
        self.way = WayOut(
            ground.loop, clock, budget, table, self.plant, address_of, rng, TRIES, Wake(),
            ByteBudget(8 << 20), ground.wire,
        )  # fmt: skip
        self.servers = [
            listener(ground.loop, clock, [ground.bind((self.ip, port))], front, budget)
            for port, front in ((INBOUND, self.entry), (OUTBOUND, self.way))
        ]
        process.enter(partial(self._start, table))

    def _start(self, table: Table) -> None:
        for server in self.servers:
            server.start()
        self.way.changed(table.snapshot(1, rows()))

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
        self.upstream = Upstream(self.rig, self.number, id_, self.acts)
        self.gate.heard(Beat(id_, self.plant, "ready", 50, 0, 1), 0)

    def term(self) -> None:
        self.gate.closed = True
        for server in self.servers:
            server.ask_to_go(True)


def ip_of(number: int) -> str:
    return f"10.0.0.{number + 1}"


def rows() -> list[tuple[str, str, Any]]:
    """Routes of each kind to each service, and the upstreams."""
    found: list[tuple[str, str, Any]] = []
    for service in ("p", "s"):
        for name, kind in KINDS.items():
            route = {
                "Name": f"{name}-{service}", "PathPrefix": f"/{name}-{service}/", "SignalKind": kind,
                "Cutoff": f"{CUTOFF}ms", "Setpoint": "300ms", "Plant": service, "MaxAttempts": ATTEMPTS,
                "Revision": "r1",
            }  # fmt: skip
            found.append(("route", route["Name"], [1, "h", route]))
    for number, plant in enumerate(SERVICES):
        if plant != "front":
            row = {"id": f"i-{number}", "plant": plant, "zone": "z", "state": "ready", "capacity": 50}
            found.append(("inst", ip_of(number), row))
    return found


class Rig:
    def __init__(self, script: Script) -> None:
        self.loop, self.seen = Loop(), Seen(script)
        self.net = Ways(self.loop, random.Random(f"{script.seed}/net"), 700, 700, 0.3)
        self.core = Core(self, script.core)
        acts = defaultdict[int, tuple[Act, ...]](tuple, dict(script.acts))
        self.proxies = [Proxy(self, number, acts[number]) for number in range(len(SERVICES))]
        self.clients = [Process(self.loop, self.net, one.ip, "client") for one in self.proxies]

    def play(self) -> Seen:
        script, last = self.seen.script, 0
        for number, asks in enumerate(script.asks):
            self.loop.after(asks.at * MS, partial(self._ask, f"t{number}", asks))
            last = max(last, asks.at + asks.leaves)
        for fault in script.faults:
            self.loop.after(fault.at * MS, partial(self._begin, fault))
            last = max(last, fault.at + fault.lasts)
        self.loop.run(last * MS + AFTERWARDS)
        self.seen.errors = self.loop.errors
        standing = [one for one in self.proxies if one.process.alive]
        self.seen.held = sum(one.way.held() + one.entry.held() for one in standing)
        for one in self.proxies:
            one.process.die()
        return self.seen

    def _ask(self, attempt: str, asks: Asks) -> None:
        kind = asks.route.partition("-")[0]
        fields = {
            "Host": "h",
            "X-Brackengate-Attempt-Id": attempt,
            "X-Brackengate-Deadline-Ms": str(asks.deadline),
        }
        if asks.key:
            fields["X-Brackengate-Operation-Key"] = asks.key
        method = "GET" if kind == "read" and not asks.size else "POST"
        data = message(f"{method} /{asks.route}/x HTTP/1.1", fields, b"b" * asks.size)
        if asks.half:
            data = data[: len(data) * 2 // 3]
        address = (ip_of(asks.proxy), OUTBOUND)
        Call(self.clients[asks.proxy], address, data, partial(self._ended, attempt), asks.leaves * MS)

    def _ended(self, attempt: str, heard: Heard | None, why: str) -> None:
        self.seen.ended[attempt] = Ended(self.loop.now, heard, why)

    def _begin(self, fault: Fault) -> None:
        proxy, over = self.proxies[fault.proxy], partial(self.loop.after, fault.lasts * MS)
        match fault.what:
            case "freeze":
                proxy.process.freeze()
                over(proxy.process.thaw)
            case "reset":
                proxy.process.reset()
            case "cut":
                pair = proxy.ip, ip_of(fault.other)
                self.net.set_cut(*pair, True)
                over(partial(self.net.set_cut, *pair, False))
            case "refuse" if proxy.upstream is not None:
                proxy.upstream.refuse()
                over(proxy.upstream.listen)
            case "stray":
                proxy.stray()
            case "term":
                proxy.process.enter(proxy.term)
            case "kill":
                proxy.process.die()
            case "restart":
                proxy.process.die()
                over(proxy.start)
            case "replace":
                proxy.new_upstream()


def play(script: Script) -> Seen:
    return Rig(script).play()


# --- what must hold


def broken(seen: Seen) -> list[str]:
    """Every promise that was not kept, in words."""
    found = [f"an error nobody caught: {words}" for words in seen.errors]
    if seen.held:
        found.append(f"{seen.held} requests are held for ever")
    ran, keys = defaultdict[str, list[Ran]](list), defaultdict[str, list[Ran]](list)
    for one in seen.ran:
        ran[one.attempt].append(one)
        if one.key:
            keys[one.key].append(one)
    found += [f"key {key} ran {len(runs)} times" for key, runs in keys.items() if len(runs) > 1]
    for attempt, runs in ran.items():
        found += _of_runs(seen, attempt, runs)
    for attempt, ended in seen.ended.items():
        first = next((one for one in keys[seen.asked(attempt).key]), None)
        found += _of_answer(seen, attempt, ended, ran[attempt], first.attempt if first else attempt)
    return found


def _of_runs(seen: Seen, attempt: str, runs: list[Ran]) -> list[str]:
    asks, found = seen.asked(attempt), list[str]()
    upstreams = {one.upstream for one in runs}
    if asks.half:
        found.append(f"{attempt} ran, and was never sent whole")
    if not asks.route.startswith("read") and len(runs) > 1:
        found.append(f"{attempt} on {asks.route} ran {len(runs)} times")
    crashed = any(fault.what == "replace" for fault in seen.script.faults)  # those don't count
    if len(upstreams) > ATTEMPTS and not crashed:
        found.append(f"{attempt} ran on {len(upstreams)} upstreams")
    faults = seen.script.faults
    cuts = any(fault.what == "cut" for fault in faults)  # they deliver late, whoever sends
    frozen = {fault.proxy for fault in faults if fault.what == "freeze"}
    ended = seen.ended.get(attempt)
    if not cuts and len(frozen) < 2 and ended is not None:  # one that stands still can't say that it gave up
        late = max(one.at for one in runs) - ended.at
        if late > 550 * MS:  # a shorter freeze is not noticed
            found.append(f"{attempt} ran {late // MS} ms after it was given up")
    return found


def _of_answer(seen: Seen, attempt: str, ended: Ended, runs: list[Ran], first: str) -> list[str]:
    """`first`: whose run's answer it may have."""
    asks, heard, found = seen.asked(attempt), ended.heard, list[str]()
    if ended.status in verdict.PROMISES and runs:
        found.append(f"{attempt} is answered {ended.status}, and ran on {runs[0].upstream}")
    frozen = any(fault.what in ("freeze", "kill", "restart") for fault in seen.script.faults)
    held = ended.at - asks.at * MS - min(asks.deadline, CUTOFF) * MS
    if held > 240 * MS and not frozen and not asks.half and asks.leaves > asks.deadline + 250:
        found.append(f"{attempt} is held {held // MS} ms past its time")
    if heard is None:
        return [*found, f"{attempt}: bytes that are no answer"] if ended.why == "no answer" else found
    if heard.more:
        found.append(f"{attempt}: bytes behind its answer")
    done = seen.done.get(heard.fields.get("x-brackengate-server-seal", ""))
    if done is not None and (done.status != ended.status or done.attempt not in (attempt, first)):
        found.append(f"{attempt}: {ended.status} under the seal of {done.status} for {done.attempt}")
    if 200 <= ended.status < 300:
        if done is None or done.body != heard.body:
            found.append(f"{attempt}: a success that no upstream gave")
        if heard.fields.get("x-brackengate-attempt-id") != attempt:
            found.append(f"{attempt}: a success with another id")
    return found


# --- scripts by lot


def drawn(seed: int) -> Script:
    """A history by lot: some calls, what becomes of each at its upstream, and what breaks meanwhile."""
    rng = random.Random(seed)
    services = rng.choice((("p",), ("s",), ("p", "s")))
    keys = [f"k{n}" for n in range(rng.randint(1, 2))]
    asks = tuple(_drawn_ask(rng, services, keys) for _ in range(rng.randint(2, 9)))
    acts = tuple((n, tuple(_drawn_act(rng) for _ in range(6))) for n in range(1, len(SERVICES)))
    faults = tuple(_drawn_fault(rng) for _ in range(rng.choice((0, 0, 1, 2, 4))))
    return Script(seed, asks, acts, faults, rng.choice((0.0, 0.0, 0.3)))


def _drawn_ask(rng: random.Random, services: tuple[str, ...], keys: list[str]) -> Asks:
    kind, deadline = rng.choice(("read", "buy", "buy", "bid", "bid")), rng.choice((60, 300, 500, 2000))
    return Asks(
        rng.choice((0, 0, 5, 100, rng.randrange(2500))),
        f"{kind}-{rng.choice(services)}",
        rng.choice((0, 0, 0, 1, 4)),
        rng.choice(keys) if kind == "bid" else "",
        deadline,
        rng.choice((20, 200, deadline + 300, deadline + 300, deadline + 300)),
        rng.choice((0, 0, 0, 100, 150_000)),
        rng.random() < 0.06,
    )


def _drawn_act(rng: random.Random) -> Act:
    """Half of them in order."""
    if rng.random() < 0.4:
        return Act("served", rng.choice((0, 10, 40)))
    return Act(rng.choice(RUNS + 2 * RUNS_NOT[:-1]), rng.choice((0, 1, 10, 100, 250, 700)))


def _drawn_fault(rng: random.Random) -> Fault:
    what = rng.choice(FAULTS)
    one, other = rng.sample(range(len(SERVICES)), 2)
    at = rng.choice((1, 3, 8, 50, rng.randrange(2500)))
    return Fault(what, at, one, rng.choice((100, 400, 700, 1500, 3000)), other)


def smallest(script: Script, fails: Callable[[Script], bool]) -> Script:
    """With all left out that it fails without."""
    from dataclasses import replace

    shrunk = True
    while shrunk:
        shrunk = False
        less = [
            replace(script, **{part: tuple(x for n, x in enumerate(getattr(script, part)) if n != at)})
            for part in ("faults", "asks", "acts")
            for at in range(len(getattr(script, part)))
        ]
        found = next((one for one in less if one.asks and fails(one)), None)
        if found is not None:
            script, shrunk = found, True
    return script
