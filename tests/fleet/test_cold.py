"""Twenty instances see the same freshly started upstream at once.  In simulated time, on the real module.

What is checked is what the upstream gets, not what the module says: the work of every window of a second
against what the upstream can do in it, each instance's part, and that it does get its share once warm.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from brackengate import interface as api
from brackengate.balancer import Balancer

S = 1_000_000
INSTANCES, WARM, SLOTS, WORK = 20, 10, 2, 40_000  # each upstream can do 50 requests a second
COLD_TIME, COLD_SHARE, FALL = 20 * S, 0.1, 3.0
STARTS, ENDS = 4 * S, 44 * S
LOAD = 0.6 * WARM * SLOTS * S / WORK  # requests a second
READ = api.RequestClass("pregled", 410_000, S, api.Idempotency.REPEATABLE)


@dataclass
class Server:
    """Slots, a queue in front of them, and work that takes longer while it is cold."""

    started: int = 0
    free_at: list[int] = field(default_factory=lambda: [0] * SLOTS)

    def warmth(self, now: int) -> float:
        if not self.started:
            return 1.0
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (now - self.started) / COLD_TIME)

    def take(self, now: int) -> int:
        """When a request that comes now is answered."""
        begins = max(now, heapq.heappop(self.free_at))
        done = begins + int(WORK / self.warmth(begins))
        heapq.heappush(self.free_at, done)
        return done


class World:
    def __init__(self, seed: int, probes: bool) -> None:
        self.rng = random.Random(seed)
        settings = api.Settings(
            classes=(READ,),
            balancers=INSTANCES,
            cold_share=COLD_SHARE,
            cold_time=COLD_TIME,
            fall_multiple=FALL,
            probes=probes,
            probe_price=0.0001,
        )
        self.brains = [Balancer(settings, self.rng.getrandbits(32)) for _ in range(INSTANCES)]
        self.servers = {f"w{i}": Server() for i in range(WARM)}
        self.events: list[tuple[int, int, int, api.Event]] = []  # when, order, which brain, what
        self.order = itertools.count()
        self.sent: list[tuple[int, str, int]] = []  # when, to whom, by whom
        self.attempts: Counter[str] = Counter()
        self.holds: Counter[str] = Counter()

    def post(self, when: int, brain: int, event: api.Event) -> None:
        heapq.heappush(self.events, (when, next(self.order), brain, event))

    def run(self) -> None:
        rows = tuple(api.Endpoint(name, zone="a") for name in self.servers)
        for brain in range(INSTANCES):
            self.post(0, brain, api.UpstreamList(api.ListKind.FULL, rows))
        fresh = api.Endpoint("cold", zone="a", started_at=STARTS)
        self.servers["cold"] = Server(STARTS)
        for brain in range(INSTANCES):  # all are told in the same instant
            self.post(STARTS, brain, api.UpstreamList(api.ListKind.CHANGES, (fresh,)))
        when, number = 1000.0, 0
        while when < ENDS:
            number += 1
            request = api.Request(f"r{number}", "pregled", int(when) + S)
            self.post(int(when), self.rng.randrange(INSTANCES), request)
            when += self.rng.expovariate(LOAD / S)
        while self.events:
            now, _, brain, event = heapq.heappop(self.events)
            if isinstance(event, api.AttemptEnded):
                self.holds[event.upstream] -= 1
            if now > ENDS + S:
                break
            for action in self.brains[brain].handle(now, event):
                self.carry_out(now, brain, action)

    def carry_out(self, now: int, brain: int, action: api.Action) -> None:
        match action:
            case api.Send(request, upstream):
                number = self.attempts[request]
                self.attempts[request] += 1
                self.sent.append((now, upstream, brain))
                self.holds[upstream] += 1
                done = self.servers[upstream].take(now)
                ended = api.AttemptEnded(request, number, upstream, api.Outcome.OK, done - now, True)
                self.post(done, brain, ended)
            case api.SetTimer(delay, token):
                self.post(now + delay, brain, api.TimerFired(token))
            case api.Probe(upstream):
                said = api.LoadReport(float(self.holds[upstream]), 0.0, 0.0)
                self.post(now + 500, brain, api.ProbeEnded(upstream, api.Outcome.OK, 500, said))
            case _:
                pass


@pytest.mark.parametrize("probes", [False, True])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cold_upstream_is_not_pushed_over_and_gets_its_share(seed: int, probes: bool) -> None:
    world = World(seed, probes)
    world.run()
    to_cold = [(when, brain) for when, name, brain in world.sent if name == "cold"]
    server = world.servers["cold"]
    worst = 0.0
    for i, (end, _) in enumerate(to_cold):
        if end > STARTS + COLD_TIME:
            break
        window = sum(WORK for when, _ in to_cold[: i + 1] if when > end - S)
        worst = max(worst, window / (SLOTS * server.warmth(end) * S))
    assert worst < FALL, f"{worst:.2f} times what it can do in a second"
    # It is used while cold, by all, and by none for much more than a twentieth.
    early = Counter(brain for when, brain in to_cold if when <= STARTS + COLD_TIME)
    total = sum(early.values())
    assert len(early) == INSTANCES
    assert total > 0.2 * COLD_TIME / S * LOAD / (WARM + 1)
    assert max(early.values()) < 3 * total / INSTANCES
    assert min(early.values()) > total / INSTANCES / 4
    # Once warm it has what each of the others has, within a half.
    late = Counter(name for when, name, _ in world.sent if when > STARTS + 1.2 * COLD_TIME)
    fair = sum(late.values()) / (WARM + 1)
    assert 0.5 * fair < late["cold"] < 1.5 * fair
