"""Random legal events, seeded: whatever comes, the rules hold."""

import random
from typing import Any

import pytest
from world import World, keyed

from brackengate import interface as api

O = api.Outcome  # noqa: E741
NEVER_RAN = (O.REJECTED, O.CONNECT_FAILED, O.NOT_SENT)
CLASSES = (
    api.RequestClass("read", 400_000, 1_000_000, api.Idempotency.REPEATABLE),
    api.RequestClass("buy", 400_000, 1_000_000, api.Idempotency.UNSAFE),
    keyed(api.KeyScope.ZONE, memory=600_000),
)
RELEASE = 1_000_000


class Play:
    """A host that checks every action against the rules as it carries it out."""

    def __init__(self, seed: int, **settings: Any) -> None:
        self.rng = random.Random(seed)
        rows = tuple(self.row(i) for i in range(8))
        self.rows = {row.upstream: row for row in rows}
        self.world = World(rows, seed, CLASSES, release_within=RELEASE, cold_time=2_000_000, **settings)
        self.open: dict[str, tuple[str, int]] = {}  # call: its class and deadline
        self.sent: dict[str, list[list[Any]]] = {}  # call: of each attempt [upstream, when, outcome]
        self.ended: set[str] = set()
        self.probing: list[str] = []
        self.must_close: dict[str, int] = {}
        self.trace: list[object] = []

    def row(self, number: int, **fields: Any) -> api.Endpoint:
        return api.Endpoint(f"u{number}", zone=f"z{number % 2}", cell=number % 3, **fields)

    def carry_out(self, actions: list[api.Action]) -> None:
        now = self.world.now
        for action in actions:
            self.trace.append(action)
            match action:
                case api.Send():
                    self.check_send(action)
                    self.sent[action.request].append([action.upstream, now, None])
                case api.Refuse() | api.Fail():
                    assert action.request in self.open, "a second ending"
                    name, deadline = self.open.pop(action.request)
                    assert now <= deadline, "an ending too late"
                    ran = [a for a in self.sent[action.request] if a[2] not in NEVER_RAN]
                    assert not (
                        isinstance(action, api.Refuse) and ran and name != "read"
                    ), "refused what may run"
                case api.Probe():
                    assert self.rows[action.upstream].state is api.Lifecycle.SERVING
                    self.probing.append(action.upstream)
                case api.Release():
                    self.must_close.pop(action.upstream, None)
        for upstream, since in self.must_close.items():
            assert now <= since + RELEASE, f"{upstream} still connected"

    def check_send(self, send: api.Send) -> None:
        assert send.request in self.open, "sent after its ending"
        row = self.rows[send.upstream]
        assert row.state is api.Lifecycle.SERVING, "sent to a leaving upstream"
        for upstream, when, outcome in self.sent[send.request]:
            name = self.open[send.request][0]
            if outcome in NEVER_RAN or name == "read":
                continue
            assert name == "bid", "an unsafe call repeated"
            assert self.rows[upstream].zone == row.zone, "repeated outside its group"
            assert self.world.now - when < 600_000, "repeated past its memory"

    def step(self, number: int) -> None:
        kind, now = self.rng.random(), self.world.now
        out = [(c, i, a) for c, tries in self.sent.items() for i, a in enumerate(tries) if a[2] is None]
        if kind < 0.4:
            call, name = f"c{number}", self.rng.choice(CLASSES).name
            left = self.rng.choice((0, 50_000, 400_000, 900_000))
            self.open[call], self.sent[call] = (name, now + left), []
            self.tell(api.Request(call, name, now + left, is_retry=self.rng.random() < 0.2))
        elif kind < 0.75 and out:
            call, index, attempt = self.rng.choice(out)
            self.outcome(call, index, attempt, self.rng.choice((*O, O.OK, O.OK)))
        elif kind < 0.85 and self.probing:
            upstream = self.probing.pop(self.rng.randrange(len(self.probing)))
            load = api.LoadReport(self.rng.randrange(3), self.rng.randrange(2), 0.5)
            outcome = self.rng.choice((O.OK, O.OK, O.TIMEOUT, O.CONNECT_FAILED))
            if self.rows[upstream].state is not api.Lifecycle.SERVING:
                self.must_close[upstream] = now
            self.tell(api.ProbeEnded(upstream, outcome, 900, load if outcome is O.OK else None))
        elif kind < 0.9:
            row = self.row(
                self.rng.randrange(8),
                state=self.rng.choice((*api.Lifecycle, api.Lifecycle.SERVING)),
                started_at=self.rng.choice((0, now)),
            )
            if row.state is api.Lifecycle.DRAINING:
                self.must_close[row.upstream] = now
            self.rows[row.upstream] = row
            self.tell(api.UpstreamList(api.ListKind.CHANGES, (row,)))
        elif kind < 0.92 and self.open:
            call = self.rng.choice(sorted(self.open))
            del self.open[call]
            self.tell(api.ClientGone(call))
        self.pass_time(self.rng.choice((0, 1_000, 20_000, 100_000)))

    def outcome(self, call: str, index: int, attempt: list[Any], outcome: api.Outcome) -> None:
        attempt[2] = outcome
        if self.rows[attempt[0]].state is api.Lifecycle.DRAINING:
            self.must_close[attempt[0]] = self.world.now
        if outcome is O.OK:
            self.open.pop(call, None)
        load = api.LoadReport(self.rng.randrange(4), self.rng.randrange(3), 0.5)
        self.tell(api.AttemptEnded(call, index, attempt[0], outcome, 900, call not in self.open, load))

    def tell(self, event: api.Event) -> None:
        self.carry_out(self.world.tell(event))

    def pass_time(self, time: int) -> None:
        """Fire the timers, and time out attempts at their calls' deadlines, as a host does."""
        end, world = self.world.now + time, self.world
        while True:
            due = [(at, 0, token) for at, token in world.timers if at <= end]
            due += [(by, 1, call) for call, (_, by) in self.open.items() if by <= end]
            if not due:
                break
            at, kind, which = min(due, key=lambda d: (d[0], d[1], str(d[2])))
            world.now = max(world.now, at)
            if kind == 0:
                world.timers.remove((at, which))
                self.tell(api.TimerFired(which))
                continue
            for index, attempt in enumerate(self.sent[which]):
                if attempt[2] is None and which in self.open:
                    self.outcome(which, index, attempt, O.TIMEOUT)
            assert which not in self.open, "no ending by the deadline"
        world.now = end


SETTINGS = [
    {},
    {"probes": True},
    {"tier": 1, "max_attempts": 2},
    {"list_on_request": True, "cancel": False},
    {"wait_for_upstream": False, "tier": 1},
    {"wait_for_upstream": False, "unsent_attempts_free": True, "probes": True},
]


def play(seed: int, settings: dict[str, Any]) -> Play:
    game = Play(seed, **settings)
    for number in range(600):
        game.step(number)
    game.pass_time(5_000_000)
    return game


@pytest.mark.parametrize("settings", SETTINGS)
@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_for_random_events(seed, settings):
    game = play(seed, settings)
    balancer = game.world.balancer
    assert not game.open
    assert not balancer.waiting
    assert len(balancer.heap) <= 4 * len(balancer.upstreams) + 1
    live = sum(a[2] is None for tries in game.sent.values() for a in tries)
    assert len(balancer.requests) <= live
    assert sum(up.own_in_flight for up in balancer.upstreams.values()) <= live
    assert len(game.world.timers) < 100


def test_equal_events_give_equal_actions_and_other_seeds_others():
    assert play(3, {"probes": True}).trace == play(3, {"probes": True}).trace
    assert play(3, {}).trace != play(4, {}).trace


@pytest.mark.parametrize(("probes", "count"), [(False, 3000), (True, 500)])
def test_many_calls_at_once_with_every_upstream_failing_each_end_once(probes, count):
    game = Play(1, probes=probes)
    for number in range(count):
        game.open[f"c{number}"], game.sent[f"c{number}"] = ("read", game.world.now + 400_000), []
        game.tell(api.Request(f"c{number}", "read", game.world.now + 400_000))
    for upstream in list(game.probing):
        game.tell(api.ProbeEnded(upstream, O.CONNECT_FAILED))
    game.probing.clear()
    for call, tries in list(game.sent.items()):
        for index, attempt in enumerate(tries):
            if attempt[2] is None and call in game.open:
                game.outcome(call, index, attempt, O.CONNECT_FAILED)
    game.pass_time(1_000_000)
    assert not game.open
