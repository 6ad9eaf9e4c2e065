"""Small helpers for tests: a balancer with settings, a clock and short ways to say events."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from brackengate import interface as api
from brackengate.balancer import Balancer

SAFE = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.REPEATABLE)
ONCE = api.RequestClass("buy", 500_000, 1_000_000, api.Idempotency.UNSAFE)


def keyed(scope: api.KeyScope, memory: int = 5_000_000) -> api.RequestClass:
    return api.RequestClass("bid", 500_000, 1_000_000, api.Idempotency.KEYED, scope, memory)


BASE = api.Settings(classes=(SAFE, ONCE), max_attempts=4, resolution=1000)


def rows(count: int, **fields: Any) -> tuple[api.Endpoint, ...]:
    return tuple(api.Endpoint(f"u{i}", **fields) for i in range(count))


class World:
    def __init__(
        self,
        endpoints: tuple[api.Endpoint, ...],
        seed: int = 1,
        classes: tuple[api.RequestClass, ...] = (SAFE, ONCE),
        **settings: Any,
    ) -> None:
        self.now = 100_000_000
        self.settings = replace(BASE, classes=classes, **settings)
        self.balancer = Balancer(self.settings, seed)
        self.count = 0
        self.timers: list[tuple[int, int]] = []
        self.log: list[api.Action] = []
        self.tell(api.UpstreamList(api.ListKind.CACHED, endpoints))

    def tell(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        self.log += actions
        return actions

    def list(self, *endpoints: api.Endpoint, kind: api.ListKind = api.ListKind.CHANGES) -> list[api.Action]:
        return self.tell(api.UpstreamList(kind, endpoints))

    def call(self, cls: str = "read", left: int = 1_000_000, **fields: Any) -> tuple[str, list[api.Action]]:
        self.count += 1
        name = f"r{self.count}"
        return name, self.tell(api.Request(name, cls, self.now + left, **fields))

    def sent(self, cls: str = "read", **fields: Any) -> tuple[str, str]:
        """A call that goes out at once: its id and its upstream."""
        name, actions = self.call(cls, **fields)
        return name, sends(actions)[0].upstream

    def ended(
        self,
        name: str,
        upstream: str,
        outcome: api.Outcome,
        attempt: int = 0,
        closed: bool | None = None,
        load: api.LoadReport | None = None,
    ) -> list[api.Action]:
        over = outcome is api.Outcome.OK if closed is None else closed
        return self.tell(api.AttemptEnded(name, attempt, upstream, outcome, 10_000, over, load))

    def wait(self, time: int) -> list[api.Action]:
        """Let time pass, firing the timers that come due; all actions of that time."""
        end, actions = self.now + time, []
        while due := sorted(t for t in self.timers if t[0] <= end):
            self.timers.remove(due[0])
            assert len(self.timers) < 1000, "timers multiply"
            self.now = max(self.now, due[0][0])
            actions += self.tell(api.TimerFired(due[0][1]))
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
