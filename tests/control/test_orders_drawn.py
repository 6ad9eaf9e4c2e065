"""Random histories of two operators and a faulty control plane, checked only by what the operators saw.

Up to eight configuration changes are in flight at once.  Versions are drawn from a few, so that many changes
set one item to different contents under one version; every acknowledged change is sent again to all
replicas, in any order, while services, locations and views change.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from operators import Operator, Sent, order, plant, route
from simulated_cluster import Host, SimulatedCluster

from brackengate.protocol.messages import Configuration, Read

S = 1_000_000
MAX_IN_FLIGHT = 8
CHANGES = 90
ROUTES, SERVICES = ("a", "b", "c"), ("p", "q", "s")
FIRST = order(
    *(route(name, 1) for name in ROUTES), plants=[plant(name, 1) for name in SERVICES], drop=[("gone", 1)]
)
Item = tuple[str, str, int]


def items_of(body: str) -> Iterator[tuple[Item, str]]:
    """Kind, name and version of each item of a change, with its content as text."""
    call = json.loads(body)
    for one in call["Apply"]["Plants"]:
        yield ("plant", one["Name"], int(one["Revision"][1:])), json.dumps(one)
    for host in call["Apply"]["Hosts"]:
        for one in host["Paths"]:
            yield ("route", one["Name"], int(one["Revision"][1:])), json.dumps(one)
    for kind, listed in (("route", "Routes"), ("plant", "Plants")):
        for one in call["Remove"][listed]:
            yield (kind, one["Name"], int(one["Revision"][1:])), "dropped"


class Observations:
    """What the operators saw, and the invariants on it."""

    def __init__(self) -> None:
        self.acknowledged: dict[Item, str] = {}
        self.rejected: set[tuple[Item, str]] = set()
        self.ends: dict[int, int] = {}

    def ended(self, sent: Sent, valid: bool) -> None:
        self.ends[sent.status] = self.ends.get(sent.status, 0) + 1
        if sent.status != 200:
            self.rejected.update(items_of(sent.body))
            return
        assert valid, f"an invalid change was acknowledged: {sent.body}"
        for item, content in items_of(sent.body):
            assert (
                self.acknowledged.setdefault(item, content) == content
            ), f"two contents were acknowledged as {item}"

    def ended_resent(self, sent: Sent) -> None:
        assert sent.status == 200, f"acknowledged, resent and rejected with {sent.status}: {sent.body}"

    def read_back(self, content: dict[str, Any]) -> None:
        """The highest acknowledged version of each item is in force, or one that was not answered."""
        held = dict(items_of(json.dumps({"Apply": content, "Remove": {"Routes": [], "Plants": []}})))
        versions = {item[:2]: item[2] for item in held}
        for item, text in held.items():
            assert self.acknowledged.get(item, text) == text, f"{item} is not what was acknowledged"
            assert item in self.acknowledged or (item, text) not in self.rejected, f"{item} was rejected"
        for kind, name, version in self.acknowledged:
            newest = max(v for k, n, v in self.acknowledged if (k, n) == (kind, name))
            if self.acknowledged[kind, name, newest] != "dropped":
                assert versions.get((kind, name), -1) >= version, f"{kind} {name} r{version} is gone"


class Play:
    """One random history: operators, faults and a control plane."""

    def __init__(self, seed: int, members: int) -> None:
        self.cluster = SimulatedCluster([f"10.0.0.{n + 1}:80" for n in range(members)], seed)
        self.rng, self.observed = random.Random(f"orders {seed}"), Observations()
        self.hosts = list(self.cluster.hosts.values())
        self.operators = [Operator(self.cluster, seed), Operator(self.cluster, seed + 1000)]
        self.in_flight = self.count = self.resent = 0
        self.cluster.run(2 * S)
        self._send(FIRST, True)
        self.cluster.run(4 * S)
        assert self.observed.ends == {200: 1}
        self._next()
        self.cluster.later(S, self._fault)

    def _next(self) -> None:
        if self.count < CHANGES:
            self.cluster.later(self.rng.randrange(300_000), self._next)
            if self.in_flight < MAX_IN_FLIGHT:
                self.count += 1
                valid = self.rng.random() > 0.1
                self._send(self._draw(valid), valid)

    def _draw(self, valid: bool) -> str:
        """A random change; two of three set one item. Contents differ by cutoff or path."""
        rng, version = self.rng, 2 + self.count // 6 + self.rng.randrange(-2, 3)
        mark = rng.randrange(1000)
        routes = [
            route(name, max(1, version), rng.choice(SERVICES), f"/{rng.choice(ROUTES)}/", f"{500 + mark}ms")
            for name in rng.sample(ROUTES, rng.choice((1, 1, 2)))
        ]
        if not valid:
            routes[0]["Plant"] = "nobody"
            return order(*routes)
        match rng.randrange(6):
            case 0:
                return order(drop=[(routes[0]["Name"], max(1, version))])
            case 1:
                return order(drop_plants=[(rng.choice(SERVICES), max(1, version))])
            case 2:
                return order(plants=[plant(rng.choice(SERVICES), max(1, version), f"/{mark}")])
            case 3:  # a service and its route at once
                return order(*routes, plants=[plant(routes[0]["Plant"], max(1, version), f"/{mark}")])
        return order(*routes)

    def _send(self, body: str, valid: bool) -> None:
        """Sends a change by one of the two operators until it is answered."""
        self.in_flight += 1
        sent = self.rng.choice(self.operators).send(body)
        sent.on_end.append(lambda: self._ended(sent, valid))

    def _ended(self, sent: Sent, valid: bool) -> None:
        self.in_flight -= 1
        self.observed.ended(sent, valid)
        if sent.status == 200:
            hosts = self.rng.sample(self.hosts, len(self.hosts))
            for host in hosts:
                self.cluster.later(
                    self.rng.randrange(12 * S), lambda host=host: self._resend(sent.body, host)
                )

    def _resend(self, body: str, host: Host) -> None:
        self.resent += 1
        sent = self.rng.choice(self.operators).send(body, [host])
        sent.on_end.append(lambda: self.observed.ended_resent(sent))

    def _fault(self) -> None:
        if self.cluster.now > 22 * S:
            return
        rng, host = self.rng, self.rng.choice(self.hosts)
        lasts = rng.randrange(300_000, 2_500_000)
        self._inject(rng.choice(("down", "wipe", "cut", "mute", "freeze", "all")), host, lasts)
        self.cluster.later(lasts + 3 * S, self._fault)

    def _inject(self, kind: str, host: Host, lasts: int) -> None:
        out = [(host.name, other.name) for other in self.hosts if other is not host]
        starts: Callable[[], None] = host.start
        if kind in ("down", "wipe"):
            host.stop(wipe=kind == "wipe")
            self.cluster.later(lasts, starts)
        elif kind in ("cut", "mute"):
            self.cluster.cut([*out, *((b, a) for a, b in out if kind == "cut")])
            self.cluster.later(lasts, self.cluster.heal)
        elif kind == "freeze":
            host.frozen_until = self.cluster.now + lasts
        else:
            for one in self.hosts:
                one.stop()
                self.cluster.later(self.rng.randrange(100_000, S), one.start)

    def finish(self) -> None:
        self.cluster.run(48 * S)
        assert self.in_flight == 0, "changes without an answer"
        for host in self.hosts:
            found: list[Any] = []
            host.ask(Read(), found.append)
            self.cluster.run(self.cluster.now + S)
            assert isinstance(found[0], Configuration)
            self.observed.read_back(found[0].content)


@pytest.mark.parametrize("members", [3, 4])
@pytest.mark.parametrize("seed", range(5))
def test_what_operators_see_of_random_histories(members: int, seed: int) -> None:
    play = Play(seed, members)
    play.finish()
    ends = play.observed.ends
    assert ends[200] > 20 and ends[400] > 5 and ends[409] > 5, ends  # each of them occurred
    assert play.resent >= 20 * members
