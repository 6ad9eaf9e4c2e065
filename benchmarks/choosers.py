"""What choosing by one's own calls alone costs: one service, many callers, few slots.

    python -m benchmarks.choosers --callers 59 --upstreams 18 --slots 3 --rate 405

Each caller knows the calls that it has in flight, and sends to the upstream with the fewest, the earliest
assigned first.  Compared with callers that are told how many calls an upstream has by each of its answers,
with callers that see all calls, and with one queue before all slots.  No network, no failures, no processor
time, nobody turned away: what is left is the choice.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

MS_A_SECOND = 1_000.0


@dataclass(frozen=True)
class Load:
    callers: int
    upstreams: int
    slots: int
    rate: float  # requests a second
    clump: float  # of that many that come together
    work_ms: float
    spread: float  # of its logarithm
    speeds: tuple[float, ...]  # what upstreams take of that, in turn
    inner_ms: float  # in which a slot is held for a call of its own, on average
    aim_ms: float
    deadline_ms: float
    seconds: float


@dataclass
class Upstream:
    speed: float
    busy: int = 0
    line: deque[Request] = field(default_factory=deque)

    @property
    def calls(self) -> int:
        return self.busy + len(self.line)


@dataclass(eq=False)
class Request:
    caller: int
    at: float
    work: float
    upstream: int = -1


@dataclass
class Caller:
    """What one caller knows of each upstream."""

    own: list[int]
    assigned: list[int]
    told: list[int]


@dataclass
class Outcome:
    asked: int = 0
    in_aim: int = 0
    took: list[float] = field(default_factory=list)
    queued: int = 0  # requests that found no slot free
    queued_with_idle: int = 0  # of those, while another upstream had one


Chooser = Callable[["Service", Request], int]


class Service:
    def __init__(self, load: Load, chooser: Chooser, seed: int) -> None:
        self.load, self._chooser, self._rng = load, chooser, random.Random(seed)
        speeds = itertools.cycle(load.speeds)
        self.upstreams = [Upstream(next(speeds)) for _ in range(load.upstreams)]
        zeros = [0] * load.upstreams
        self.callers = [
            Caller(list(zeros), self._rng.sample(range(load.upstreams), load.upstreams), list(zeros))
            for _ in range(load.callers)
        ]
        self._count = load.upstreams
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.now = 0.0
        self.outcome = Outcome()

    def run(self) -> Outcome:
        self._after(0.0, self._arrivals)
        while self._events:
            self.now, _, what = heapq.heappop(self._events)
            what()
        return self.outcome

    def _after(self, wait: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + wait, next(self._numbers), what))

    def _arrivals(self) -> None:
        load = self.load
        if self.now > load.seconds * MS_A_SECOND:
            return
        self._after(self._rng.expovariate(load.rate / load.clump) * MS_A_SECOND, self._arrivals)
        for _ in range(max(1, round(load.clump))):
            self._arrives()

    def _arrives(self) -> None:
        load, rng = self.load, self._rng
        work = rng.lognormvariate(math.log(load.work_ms) - load.spread**2 / 2, load.spread)
        request = Request(rng.randrange(load.callers), self.now, work)
        self.outcome.asked += 1
        request.upstream = self._chooser(self, request)
        caller, upstream = self.callers[request.caller], self.upstreams[request.upstream]
        caller.own[request.upstream] += 1
        self._count += 1
        caller.assigned[request.upstream] = self._count
        if upstream.busy < load.slots:
            self._starts(upstream, request)
            return
        self.outcome.queued += 1
        self.outcome.queued_with_idle += any(one.busy < load.slots for one in self.upstreams)
        upstream.line.append(request)

    def _starts(self, upstream: Upstream, request: Request) -> None:
        upstream.busy += 1
        inner = self._rng.expovariate(1 / self.load.inner_ms) if self.load.inner_ms else 0.0
        self._after(request.work * upstream.speed + inner, lambda: self._ends(upstream, request))

    def _ends(self, upstream: Upstream, request: Request) -> None:
        caller = self.callers[request.caller]
        upstream.busy -= 1
        caller.own[request.upstream] -= 1
        caller.told[request.upstream] = upstream.calls
        self.outcome.took.append(self.now - request.at)
        self.outcome.in_aim += self.now - request.at <= self.load.aim_ms
        while upstream.line:
            following = upstream.line.popleft()
            if self.now - following.at < self.load.deadline_ms:
                self._starts(upstream, following)
                return


def by_own_calls(service: Service, request: Request) -> int:
    caller = service.callers[request.caller]
    return min(range(len(caller.own)), key=lambda n: (caller.own[n], caller.assigned[n]))


def by_told_calls(service: Service, request: Request) -> int:
    """Idle first and fewest own calls first; among equals, those that the last answer said had fewest."""
    caller = service.callers[request.caller]
    return min(range(len(caller.own)), key=lambda n: (caller.own[n], caller.told[n], caller.assigned[n]))


def by_all_calls(service: Service, request: Request) -> int:
    upstreams = service.upstreams
    return min(range(len(upstreams)), key=lambda n: (upstreams[n].calls, upstreams[n].speed))


CHOOSERS: dict[str, Chooser] = {
    "own calls": by_own_calls,
    "own calls, told load": by_told_calls,
    "all calls": by_all_calls,
}


def one_queue(load: Load) -> Load:
    """All slots behind one line."""
    return Load(**{**load.__dict__, "upstreams": 1, "slots": load.upstreams * load.slots,
                   "speeds": (sum(load.speeds) / len(load.speeds),)})  # fmt: skip


def row(name: str, outcome: Outcome) -> str:
    took = sorted(outcome.took)
    p50, p99 = took[len(took) // 2], took[int(len(took) * 0.99)]
    idle = outcome.queued_with_idle / max(1, outcome.queued)
    return (
        f"{name:22} {outcome.in_aim / outcome.asked:7.3f} {p50:8.0f} {p99:8.0f}"
        f" {outcome.queued / outcome.asked:8.3f} {idle:10.3f}"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--callers", type=int, default=59)
    parser.add_argument("--upstreams", type=int, default=18)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--rate", type=float, default=405.0)
    parser.add_argument("--clump", type=float, default=1.0)
    parser.add_argument("--work", type=float, default=90.0, help="ms")
    parser.add_argument("--spread", type=float, default=0.5)
    parser.add_argument("--speeds", type=float, nargs="+", default=[0.7, 0.7, 1.6])
    parser.add_argument(
        "--inner", type=float, default=20.0, help="ms that a slot is held for an own call, on average"
    )
    parser.add_argument("--aim", type=float, default=311.0, help="ms")
    parser.add_argument("--deadline", type=float, default=1038.0, help="ms")
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    load = Load(
        told.callers, told.upstreams, told.slots, told.rate, told.clump, told.work, told.spread,
        tuple(told.speeds), told.inner, told.aim, told.deadline, told.seconds,
    )  # fmt: skip
    mean_speed = sum(load.speeds) / len(load.speeds)
    use = (
        load.rate * (load.work_ms * mean_speed + load.inner_ms) / MS_A_SECOND / (load.upstreams * load.slots)
    )
    print(f"{load.rate:.0f} a second, use of the slots {use:.2f} if all upstreams got as many")
    print(f"{'chosen by':22} {'in aim':>7} {'p50 ms':>8} {'p99 ms':>8} {'queued':>8} {'idle seen':>10}")
    for name, chooser in CHOOSERS.items():
        print(row(name, Service(load, chooser, told.seed).run()))
    print(row("one line for all", Service(one_queue(load), by_own_calls, told.seed).run()))


if __name__ == "__main__":
    main()
