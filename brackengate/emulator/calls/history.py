"""Histories of requests: what clients send, what upstreams do with it, and which faults occur meanwhile.

Pure functions and data.  A simulated mesh has five machines.  Machine 0: most clients are there, and no
upstream; 1 to 3: service p; 4: service s, with its only upstream.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from brackengate.emulator.loop import S
from brackengate.emulator.mesh.talk import HttpMessage

INBOUND_PORT, APPLICATION_PORT, OUTBOUND_PORT = 8300, 8301, 8304
SERVICES = ("front", "p", "p", "p", "s")  # the service beside each machine's proxy, by machine number
CUTOFF_MS, MAX_ATTEMPTS, CLAIM_WINDOW_US = 600, 2, 60 * S  # the first two of every route
SIGNAL_KINDS = {"read": "idempotent", "buy": "effectful", "bid": "keyed"}  # by the prefix of a route's name
RETRY_BUDGET = (10.0, 500.0)  # share of the requests and burst: enough for every retry to be made

# Names of behaviours, see `ScriptedUpstream`.  A name that is listed more often is drawn more often.
EXECUTED_BEHAVIOURS = tuple(
    "served failed overdue bare-503 bare-429 reset closed half half-closed garbage other other-refusal"
    " other-failure no-id no-seal twice-now twice-soon twice-later twice-next silent slow pieces long"
    " long-broken last brief".split()
)
FAULT_KINDS = tuple(
    "freeze freeze freeze reset cut refuse stray stray term kill restart restart replace".split()
)
UNEXECUTED_BEHAVIOURS = ("full", "full-twice", "reset-unread", "closed-unread", "misdirected")


@dataclass(frozen=True)
class Attempt:
    """One attempt of a client.

    Times in ms.  `at`: when it is sent; `proxy`: the number of the client's machine; `leaves`: how long the
    client waits before it closes the connection; `size`: bytes of the body; `half`: the client never sends
    the last third of the message.
    """

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
    """What an upstream does with one request, and `after` how many ms."""

    what: str = "served"
    after: int = 10


@dataclass(frozen=True)
class Fault:
    """A fault of one machine.

    Times in ms.  `at`: when it begins; `proxy`: the machine's number; `lasts`: until it ends; `other`: the
    machine at the other side of a cut.
    """

    what: str  # freeze, reset, cut, refuse, stray, term, kill, restart, replace
    at: int
    proxy: int
    lasts: int = 0
    other: int = 0


@dataclass(frozen=True)
class History:
    """The complete input of a simulation: requests, behaviours of upstreams, faults and the random seed."""

    seed: int
    attempts: tuple[Attempt, ...]
    behaviours: tuple[
        tuple[int, tuple[Behaviour, ...]], ...
    ] = ()  # by machine number, in the order of the requests there
    faults: tuple[Fault, ...] = ()
    core: float = 0.0  # share of the messages to and from the control replicas that are late or lost


@dataclass(frozen=True)
class Execution:
    """A request that an upstream has begun to execute; `at` in microseconds."""

    at: int
    upstream: str
    attempt: str
    key: str


@dataclass(frozen=True)
class SealedAnswer:
    """An upstream's complete answer, as it was sent with a seal."""

    attempt: str
    status: int
    body: bytes


@dataclass
class AttemptResult:
    """How an attempt ended for its client, and when (microseconds): an answer, or why there is none."""

    at: int
    answer: HttpMessage | None
    reason: str

    @property
    def status(self) -> int:
        """The answer's status; 0: there is no answer."""
        return self.answer.status if self.answer is not None else 0


@dataclass
class Observations:
    """What clients and upstreams observed in a simulation."""

    history: History
    executions: list[Execution] = field(default_factory=list)
    sealed_answers: dict[str, SealedAnswer] = field(default_factory=dict)  # by seal
    results: dict[str, AttemptResult] = field(default_factory=dict)  # by attempt id
    errors: list[str] = field(default_factory=list)  # uncaught exceptions
    connections: int = 0  # that upstreams accepted
    pending_requests: int = 0  # at proxies that are alive at the end of the simulation

    def attempt_of(self, attempt_id: str) -> Attempt:
        """The attempt with an id, which is "t" and its position in the history."""
        return self.history.attempts[int(attempt_id[1:])]


def machine_ip(number: int) -> str:
    """The address of a machine."""
    return f"10.0.0.{number + 1}"


def routing_rows() -> list[tuple[str, str, Any]]:
    """Rows of the routing table: a route of each kind to each service, and the upstreams."""
    rows: list[tuple[str, str, Any]] = []
    for service in ("p", "s"):
        for name, kind in SIGNAL_KINDS.items():
            route = {
                "Name": f"{name}-{service}",
                "PathPrefix": f"/{name}-{service}/",
                "SignalKind": kind,
                "Cutoff": f"{CUTOFF_MS}ms",
                "Setpoint": "300ms",
                "Plant": service,
                "MaxAttempts": MAX_ATTEMPTS,
                "Revision": "r1",
            }
            rows.append(("route", f"{name}-{service}", [1, "h", route]))
    for number, local_service in enumerate(SERVICES):
        if local_service != "front":
            row = {"id": f"i-{number}", "plant": local_service, "zone": "z", "state": "ready", "capacity": 50}
            rows.append(("inst", machine_ip(number), row))
    return rows


# --- random histories


def random_history(seed: int) -> History:
    """A history of a few attempts, of behaviours and of faults, all drawn from the seed."""
    rng = random.Random(seed)
    services = rng.choice((("p",), ("s",), ("p", "s")))
    keys = [f"k{n}" for n in range(rng.randint(1, 2))]
    attempts = tuple(_random_attempt(rng, services, keys) for _ in range(rng.randint(2, 9)))
    behaviours = tuple((n, tuple(_random_behaviour(rng) for _ in range(6))) for n in range(1, len(SERVICES)))
    faults = tuple(_random_fault(rng) for _ in range(rng.choice((0, 0, 1, 2, 4))))
    return History(seed, attempts, behaviours, faults, rng.choice((0.0, 0.0, 0.3)))


def _random_attempt(rng: random.Random, services: tuple[str, ...], keys: list[str]) -> Attempt:
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


def _random_behaviour(rng: random.Random) -> Behaviour:
    """About half of the requests are served without a fault."""
    if rng.random() < 0.4:
        return Behaviour("served", rng.choice((0, 10, 40)))
    return Behaviour(
        rng.choice(EXECUTED_BEHAVIOURS + 2 * UNEXECUTED_BEHAVIOURS[:-1]),
        rng.choice((0, 1, 10, 100, 250, 700)),
    )


def _random_fault(rng: random.Random) -> Fault:
    kind = rng.choice(FAULT_KINDS)
    machine, other = rng.sample(range(len(SERVICES)), 2)
    at = rng.choice((1, 3, 8, 50, rng.randrange(2500)))
    return Fault(kind, at, machine, rng.choice((100, 400, 700, 1500, 3000)), other)


def minimise_history(history: History, fails: Callable[[History], bool]) -> History:
    """Remove parts from a history that fails, as long as it still fails without them."""
    while True:
        smaller = next((one for one in _with_one_removed(history) if one.attempts and fails(one)), None)
        if smaller is None:
            return history
        history = smaller


def _with_one_removed(history: History) -> Iterator[History]:
    """Each history that lacks one fault, one attempt or one machine's behaviours."""
    for at in range(len(history.faults)):
        yield replace(history, faults=history.faults[:at] + history.faults[at + 1 :])
    for at in range(len(history.attempts)):
        yield replace(history, attempts=history.attempts[:at] + history.attempts[at + 1 :])
    for at in range(len(history.behaviours)):
        yield replace(history, behaviours=history.behaviours[:at] + history.behaviours[at + 1 :])
