"""Histories of calls: who asks what, what upstreams do with it, and what breaks meanwhile.  Pure.

Machine 0: most clients are there; 1 to 3: service p; 4: service s, with the only upstream that it has.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from brackengate.emulator.loop import S
from brackengate.emulator.mesh.talk import HttpMessage

INBOUND, APPLICATION, OUTBOUND = 8300, 8301, 8304
SERVICES = ("front", "p", "p", "p", "s")  # beside each proxy
CUTOFF, ATTEMPTS, WINDOW = 600, 2, 60 * S  # ms; of every route
KINDS = {"read": "idempotent", "buy": "effectful", "bid": "keyed"}
TRIES = (10.0, 500.0)  # ratio and slack of further tries: enough for them to be made

RUNS = tuple(
    "served failed overdue bare-503 bare-429 reset closed half half-closed garbage other other-refusal"
    " other-failure no-id no-seal twice-now twice-soon twice-later twice-next silent slow pieces long"
    " long-broken last brief".split()
)
FAULTS = tuple("freeze freeze freeze reset cut refuse stray stray term kill restart restart replace".split())
NOT_RUN = ("full", "full-twice", "reset-unread", "closed-unread", "misdirected")


@dataclass(frozen=True)
class Attempt:
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
class Behaviour:
    """What an upstream does with one request; `after` ms."""

    what: str = "served"
    after: int = 10


@dataclass(frozen=True)
class Fault:
    """What befalls a machine, from `at` on; ms."""

    what: str  # freeze, reset, cut, refuse, stray, term, kill, restart, replace
    at: int
    proxy: int
    lasts: int = 0
    other: int = 0


@dataclass(frozen=True)
class History:
    """All that happens, but for what the proxies make of it."""

    seed: int
    attempts: tuple[Attempt, ...]
    behaviours: tuple[
        tuple[int, tuple[Behaviour, ...]], ...
    ] = ()  # by proxy, in the order of the requests there
    faults: tuple[Fault, ...] = ()
    core: float = 0.0  # share of words to and from the core that are late or lost


@dataclass(frozen=True)
class Run:
    """A request that an upstream has begun to work on; microseconds."""

    at: int
    upstream: str
    attempt: str
    key: str


@dataclass(frozen=True)
class Answer:
    """An upstream's whole answer, by its seal."""

    attempt: str
    status: int
    body: bytes


@dataclass
class Ended:
    """How an attempt ended for its client; microseconds."""

    at: int
    heard: HttpMessage | None
    why: str

    @property
    def status(self) -> int:
        return self.heard.status if self.heard is not None else 0


@dataclass
class Observations:
    """What clients and upstreams saw."""

    history: History
    ran: list[Run] = field(default_factory=list)
    done: dict[str, Answer] = field(default_factory=dict)
    ended: dict[str, Ended] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    connections: int = 0  # to upstreams
    held: int = 0  # by proxies that stand, when all is over

    def asked(self, attempt: str) -> Attempt:
        return self.history.attempts[int(attempt[1:])]


def ip_of(number: int) -> str:
    return f"10.0.0.{number + 1}"


def rows() -> list[tuple[str, str, Any]]:
    """Routes of each kind to each service, and the upstreams."""
    found: list[tuple[str, str, Any]] = []
    for service in ("p", "s"):
        for name, kind in KINDS.items():
            route = {
                "Name": f"{name}-{service}",
                "PathPrefix": f"/{name}-{service}/",
                "SignalKind": kind,
                "Cutoff": f"{CUTOFF}ms",
                "Setpoint": "300ms",
                "Plant": service,
                "MaxAttempts": ATTEMPTS,
                "Revision": "r1",
            }
            found.append(("route", f"{name}-{service}", [1, "h", route]))
    for number, plant in enumerate(SERVICES):
        if plant != "front":
            row = {"id": f"i-{number}", "plant": plant, "zone": "z", "state": "ready", "capacity": 50}
            found.append(("inst", ip_of(number), row))
    return found


# --- by lot


def drawn(seed: int) -> History:
    """A history by lot: some calls, what becomes of each at its upstream, and what breaks meanwhile."""
    rng = random.Random(seed)
    services = rng.choice((("p",), ("s",), ("p", "s")))
    keys = [f"k{n}" for n in range(rng.randint(1, 2))]
    attempts = tuple(_drawn_ask(rng, services, keys) for _ in range(rng.randint(2, 9)))
    behaviours = tuple((n, tuple(_drawn_act(rng) for _ in range(6))) for n in range(1, len(SERVICES)))
    faults = tuple(_drawn_fault(rng) for _ in range(rng.choice((0, 0, 1, 2, 4))))
    return History(seed, attempts, behaviours, faults, rng.choice((0.0, 0.0, 0.3)))


def _drawn_ask(rng: random.Random, services: tuple[str, ...], keys: list[str]) -> Attempt:
    kind, deadline = rng.choice(("read", "buy", "buy", "bid", "bid")), rng.choice((60, 300, 500, 2000))
    return Attempt(
        rng.choice((0, 0, 5, 100, rng.randrange(2500))),
        f"{kind}-{rng.choice(services)}",
        rng.choice((0, 0, 0, 1, 4)),
        rng.choice(keys) if kind == "bid" else "",
        deadline,
        rng.choice((20, 200, deadline + 300, deadline + 300, deadline + 300)),
        rng.choice((0, 0, 0, 100, 150_000)),
        rng.random() < 0.06,
    )


def _drawn_act(rng: random.Random) -> Behaviour:
    """Half of them in order."""
    if rng.random() < 0.4:
        return Behaviour("served", rng.choice((0, 10, 40)))
    return Behaviour(rng.choice(RUNS + 2 * NOT_RUN[:-1]), rng.choice((0, 1, 10, 100, 250, 700)))


def _drawn_fault(rng: random.Random) -> Fault:
    what = rng.choice(FAULTS)
    one, other = rng.sample(range(len(SERVICES)), 2)
    at = rng.choice((1, 3, 8, 50, rng.randrange(2500)))
    return Fault(what, at, one, rng.choice((100, 400, 700, 1500, 3000)), other)


def smallest(history: History, fails: Callable[[History], bool]) -> History:
    """With all left out that it fails without."""
    while True:
        found = next((one for one in _without_one(history) if one.attempts and fails(one)), None)
        if found is None:
            return history
        history = found


def _without_one(history: History) -> Iterator[History]:
    """Each history with one thing left out."""
    for at in range(len(history.faults)):
        yield replace(history, faults=history.faults[:at] + history.faults[at + 1 :])
    for at in range(len(history.attempts)):
        yield replace(history, attempts=history.attempts[:at] + history.attempts[at + 1 :])
    for at in range(len(history.behaviours)):
        yield replace(history, behaviours=history.behaviours[:at] + history.behaviours[at + 1 :])
