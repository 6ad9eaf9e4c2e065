"""Test harness: a balancer with settings and a clock, and short methods to send it events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from brackengate import interface as api
from brackengate.balancer import Balancer

READ = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.REPEATABLE)
BUY = api.RequestClass("buy", 500_000, 1_000_000, api.Idempotency.UNSAFE)


def keyed(scope: api.KeyScope, key_memory: int = 5_000_000) -> api.RequestClass:
    return api.RequestClass("bid", 500_000, 1_000_000, api.Idempotency.KEYED, scope, key_memory)


BASE = api.Settings(classes=(READ, BUY), max_attempts=4, resolution=1000)


def endpoints(count: int, **fields: Any) -> tuple[api.Endpoint, ...]:
    return tuple(api.Endpoint(f"u{i}", **fields) for i in range(count))


class BalancerHarness:
    """A balancer whose clock and timers the test advances; `log` holds every action so far."""

    def __init__(
        self,
        listed: tuple[api.Endpoint, ...],
        seed: int = 1,
        classes: tuple[api.RequestClass, ...] = (READ, BUY),
        **settings: Any,
    ) -> None:
        self.now = 100_000_000
        self.settings = replace(BASE, classes=classes, **settings)
        self.balancer = Balancer(self.settings, seed)
        self.request_count = 0
        self.timers: list[tuple[int, int]] = []
        self.log: list[api.Action] = []
        self.handle(api.UpstreamList(api.ListKind.CACHED, listed))

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        self.log += actions
        return actions

    def update_list(
        self, *endpoints: api.Endpoint, kind: api.ListKind = api.ListKind.CHANGES
    ) -> list[api.Action]:
        return self.handle(api.UpstreamList(kind, endpoints))

    def start_request(
        self, cls: str = "read", time_left: int = 1_000_000, **fields: Any
    ) -> tuple[str, list[api.Action]]:
        self.request_count += 1
        name = f"r{self.request_count}"
        return name, self.handle(api.Request(name, cls, self.now + time_left, **fields))

    def send_request(self, cls: str = "read", **fields: Any) -> tuple[str, str]:
        """Start a request that is sent at once; its id and its upstream."""
        name, actions = self.start_request(cls, **fields)
        return name, sends(actions)[0].upstream

    def end_attempt(
        self,
        name: str,
        upstream: str,
        outcome: api.Outcome,
        attempt: int = 0,
        request_ended: bool | None = None,
        load: api.LoadReport | None = None,
    ) -> list[api.Action]:
        ended = outcome is api.Outcome.OK if request_ended is None else request_ended
        return self.handle(api.AttemptEnded(name, attempt, upstream, outcome, 10_000, ended, load))

    def advance(self, duration: int) -> list[api.Action]:
        """Let `duration` microseconds pass and fire the timers that are due; all actions of that time."""
        end, actions = self.now + duration, []
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            assert len(self.timers) < 1000, "too many timers"
            self.now = max(self.now, due[0][0])
            actions += self.handle(api.TimerFired(due[0][1]))
        self.now = end
        return actions


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def endings(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]


def probes(actions: list[api.Action]) -> list[str]:
    return [a.upstream for a in actions if isinstance(a, api.Probe)]


def releases(actions: list[api.Action]) -> list[str]:
    return [a.upstream for a in actions if isinstance(a, api.Release)]
