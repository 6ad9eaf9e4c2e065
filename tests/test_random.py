"""Seeded random valid events: the rules hold for any sequence."""

import random
from typing import Any

import pytest
from balancer_harness import BalancerHarness, keyed

from brackengate import interface as api

O = api.Outcome  # noqa: E741
NEVER_RAN = (O.REJECTED, O.CONNECT_FAILED, O.NOT_SENT)
CLASSES = (
    api.RequestClass("read", 400_000, 1_000_000, api.Idempotency.REPEATABLE),
    api.RequestClass("buy", 400_000, 1_000_000, api.Idempotency.UNSAFE),
    keyed(api.KeyScope.ZONE, key_memory=600_000),
)
RELEASE_WITHIN_US = 1_000_000


class RuleCheckingHost:
    """A host that checks every action against the rules as it executes it."""

    def __init__(self, seed: int, **settings: Any) -> None:
        self.rng = random.Random(seed)
        endpoints = tuple(self.endpoint(i) for i in range(8))
        self.endpoints = {endpoint.upstream: endpoint for endpoint in endpoints}
        self.harness = BalancerHarness(
            endpoints, seed, CLASSES, release_within=RELEASE_WITHIN_US, cold_time=2_000_000, **settings
        )
        self.open_requests: dict[str, tuple[str, int]] = {}  # by request: its class and deadline
        self.attempts: dict[str, list[list[Any]]] = {}  # by request: [upstream, sent at, outcome] of each
        self.ended: set[str] = set()
        self.pending_probes: list[str] = []
        self.must_close: dict[str, int] = {}
        self.trace: list[object] = []

    def endpoint(self, number: int, **fields: Any) -> api.Endpoint:
        return api.Endpoint(f"u{number}", zone=f"z{number % 2}", cell=number % 3, **fields)

    def execute(self, actions: list[api.Action]) -> None:
        now = self.harness.now
        for action in actions:
            self.trace.append(action)
            match action:
                case api.Send():
                    self.check_send(action)
                    self.attempts[action.request].append([action.upstream, now, None])
                case api.Refuse() | api.Fail():
                    assert action.request in self.open_requests, "ended a second time"
                    name, deadline = self.open_requests.pop(action.request)
                    assert now <= deadline, "ended too late"
                    ran = [a for a in self.attempts[action.request] if a[2] not in NEVER_RAN]
                    assert not (
                        isinstance(action, api.Refuse) and ran and name != "read"
                    ), "refused a request that may run"
                case api.Probe():
                    assert self.endpoints[action.upstream].state is api.Lifecycle.SERVING
                    self.pending_probes.append(action.upstream)
                case api.Release():
                    self.must_close.pop(action.upstream, None)
        for upstream, since in self.must_close.items():
            assert now <= since + RELEASE_WITHIN_US, f"{upstream} still connected"

    def check_send(self, send: api.Send) -> None:
        assert send.request in self.open_requests, "sent after its end"
        endpoint = self.endpoints[send.upstream]
        assert endpoint.state is api.Lifecycle.SERVING, "sent to a leaving upstream"
        for upstream, when, outcome in self.attempts[send.request]:
            name = self.open_requests[send.request][0]
            if outcome in NEVER_RAN or name == "read":
                continue
            assert name == "bid", "an unsafe request was repeated"
            assert self.endpoints[upstream].zone == endpoint.zone, "repeated outside its zone"
            assert self.harness.now - when < 600_000, "repeated after its key memory"

    def step(self, number: int) -> None:
        event_kind, now = self.rng.random(), self.harness.now
        in_flight = [
            (c, i, a) for c, attempts in self.attempts.items() for i, a in enumerate(attempts) if a[2] is None
        ]
        if event_kind < 0.4:
            request, name = f"c{number}", self.rng.choice(CLASSES).name
            left = self.rng.choice((0, 50_000, 400_000, 900_000))
            self.open_requests[request], self.attempts[request] = (name, now + left), []
            self.handle(api.Request(request, name, now + left, is_retry=self.rng.random() < 0.2))
        elif event_kind < 0.75 and in_flight:
            request, index, attempt = self.rng.choice(in_flight)
            self.end_attempt(request, index, attempt, self.rng.choice((*O, O.OK, O.OK)))
        elif event_kind < 0.85 and self.pending_probes:
            upstream = self.pending_probes.pop(self.rng.randrange(len(self.pending_probes)))
            load = api.LoadReport(self.rng.randrange(3), self.rng.randrange(2), 0.5)
            outcome = self.rng.choice((O.OK, O.OK, O.TIMEOUT, O.CONNECT_FAILED))
            if self.endpoints[upstream].state is not api.Lifecycle.SERVING:
                self.must_close[upstream] = now
            self.handle(api.ProbeEnded(upstream, outcome, 900, load if outcome is O.OK else None))
        elif event_kind < 0.9:
            endpoint = self.endpoint(
                self.rng.randrange(8),
                state=self.rng.choice((*api.Lifecycle, api.Lifecycle.SERVING)),
                started_at=self.rng.choice((0, now)),
            )
            if endpoint.state is api.Lifecycle.DRAINING:
                self.must_close[endpoint.upstream] = now
            self.endpoints[endpoint.upstream] = endpoint
            self.handle(api.UpstreamList(api.ListKind.CHANGES, (endpoint,)))
        elif event_kind < 0.92 and self.open_requests:
            request = self.rng.choice(sorted(self.open_requests))
            del self.open_requests[request]
            self.handle(api.ClientGone(request))
        self.advance(self.rng.choice((0, 1_000, 20_000, 100_000)))

    def end_attempt(self, request: str, index: int, attempt: list[Any], outcome: api.Outcome) -> None:
        attempt[2] = outcome
        if self.endpoints[attempt[0]].state is api.Lifecycle.DRAINING:
            self.must_close[attempt[0]] = self.harness.now
        if outcome is O.OK:
            self.open_requests.pop(request, None)
        load = api.LoadReport(self.rng.randrange(4), self.rng.randrange(3), 0.5)
        self.handle(
            api.AttemptEnded(
                request, index, attempt[0], outcome, 900, request not in self.open_requests, load
            )
        )

    def handle(self, event: api.Event) -> None:
        self.execute(self.harness.handle(event))

    def advance(self, duration: int) -> None:
        """Fire the timers and time attempts out at their deadlines, as a host does."""
        end, harness = self.harness.now + duration, self.harness
        while True:
            due = [(at, 0, token) for at, token in harness.timers if at <= end]
            due += [(by, 1, request) for request, (_, by) in self.open_requests.items() if by <= end]
            if not due:
                break
            at, kind, which = min(due, key=lambda d: (d[0], d[1], str(d[2])))
            harness.now = max(harness.now, at)
            if kind == 0:
                harness.timers.remove((at, which))
                self.handle(api.TimerFired(which))
                continue
            for index, attempt in enumerate(self.attempts[which]):
                if attempt[2] is None and which in self.open_requests:
                    self.end_attempt(which, index, attempt, O.TIMEOUT)
            assert which not in self.open_requests, "not ended by the deadline"
        harness.now = end


SETTINGS = [
    {},
    {"probes": True},
    {"tier": 1, "max_attempts": 2},
    {"list_on_request": True, "cancel": False},
    {"wait_for_upstream": False, "tier": 1},
    {"wait_for_upstream": False, "unsent_attempts_free": True, "probes": True},
]


def run_random(seed: int, settings: dict[str, Any]) -> RuleCheckingHost:
    host = RuleCheckingHost(seed, **settings)
    for number in range(600):
        host.step(number)
    host.advance(5_000_000)
    return host


@pytest.mark.parametrize("settings", SETTINGS)
@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_for_random_events(seed, settings):
    host = run_random(seed, settings)
    balancer = host.harness.balancer
    assert not host.open_requests
    assert not balancer.waiting
    assert len(balancer.heap) <= 4 * len(balancer.upstreams) + 1
    in_flight = sum(a[2] is None for attempts in host.attempts.values() for a in attempts)
    assert len(balancer.requests) <= in_flight
    assert sum(up.own_in_flight for up in balancer.upstreams.values()) <= in_flight
    assert len(host.harness.timers) < 100


def test_the_seed_determines_the_actions():
    assert run_random(3, {"probes": True}).trace == run_random(3, {"probes": True}).trace
    assert run_random(3, {}).trace != run_random(4, {}).trace


@pytest.mark.parametrize(("probes", "count"), [(False, 3000), (True, 500)])
def test_many_requests_at_once_end_once_each_while_every_upstream_fails(probes, count):
    host = RuleCheckingHost(1, probes=probes)
    for number in range(count):
        host.open_requests[f"c{number}"], host.attempts[f"c{number}"] = (
            ("read", host.harness.now + 400_000),
            [],
        )
        host.handle(api.Request(f"c{number}", "read", host.harness.now + 400_000))
    for upstream in list(host.pending_probes):
        host.handle(api.ProbeEnded(upstream, O.CONNECT_FAILED))
    host.pending_probes.clear()
    for request, attempts in list(host.attempts.items()):
        for index, attempt in enumerate(attempts):
            if attempt[2] is None and request in host.open_requests:
                host.end_attempt(request, index, attempt, O.CONNECT_FAILED)
    host.advance(1_000_000)
    assert not host.open_requests
