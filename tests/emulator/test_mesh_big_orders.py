"""Large configuration changes over slow links are soon in force at every connected proxy once acknowledged.

Timelines: `D` delivery, `!` acknowledgement, `|` in force; `x` loss of power, `~` paused.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

import pytest
from test_mesh_lab import MESH, assert_no_violations

from brackengate.control import staging
from brackengate.control.role import ControlReplica
from brackengate.emulator.loop import MS, S
from brackengate.emulator.mesh import checks, faults
from brackengate.emulator.mesh.order_troubles import ChangeFaults
from brackengate.emulator.mesh.people import Change
from brackengate.emulator.mesh.play import MeshRun, summarise
from brackengate.emulator.mesh.scenario import parse_scenario
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, Machine, World
from brackengate.protocol import message_parts
from brackengate.proxy.egress import Egress
from brackengate.proxy.freshness import ConfigFreshness
from brackengate.proxy.role import Proxy

MAX_LAG_US = 400 * MS  # from an acknowledgement until it is in force
RANDOM = 'content = "random"'
TIMELINES = {
    "a proxy restarts": """
        p2  DDDD x      DDDD |
        p3  DDDDDDDD !       |""",
    "a proxy is paused": """
        p2  DD ~~~~~~~~~~ 2 s ~~~~~~~~~~ DDDDDD |
        p3  DDDDDDDDDDDDDDDD ! |""",
    "all proxies restart": """
        p*  DDDD x    DDDDDD ! |""",
    "the head loses power": """
        l0  DDDD x
        l1  DDDD    DDD ! |""",
    "a member loses its disk": """
        l2  DDDDD w
        l0  DDDDDDDDDDDDD ! |""",
    "the replica that acknowledged loses power": """
        l?  DDDDDDDD ! x        |""",
}
FAULTS = {
    "a proxy restarts": ("kill", ["p2"], "2200ms", "300ms", ""),
    "a proxy is paused": ("freeze", ["p2"], "2200ms", "2s", ""),
    "all proxies restart": ("kill", ["pilots"], "2200ms", "300ms", ""),
    "the head loses power": ("power", ["head"], "2200ms", "2s", ""),
    "a member loses its disk": ("wipe", ["tail"], "2200ms", "2s", ""),
    "the replica that acknowledged loses power": ("power", ["acker"], "2050ms", "2s", 'after = "ack"\n'),
}


@dataclass
class Outcome:
    """A run, and how the proxies followed the large change."""

    made: MeshRun
    behind: list[str] = field(default_factory=list)  # proxies that lack it MAX_LAG_US after its ack
    lag: int = 0  # from the acknowledgement until it is in force everywhere, in microseconds


def played(more: str = "", content: str = "", routes: int = 1500, sets: tuple[str, ...] = ()) -> Outcome:
    """Runs the scenario with one large configuration change, two seconds after the first request."""
    text = (MESH / "big-order.toml").read_text().partition("[[fault]]")[0]
    text += f'[[fault]]\nat = "2s"\nkind = "big_order"\nroutes = {routes}\n{content}\n{more}'
    scenario = parse_scenario(text, "big-order.toml", ("length=9s", *sets))
    world = World(scenario, 1)
    outcome = Outcome(MeshRun(world, [], summarise([], scenario)))

    def look(since: int, name: str) -> None:
        behind = [one.name for one in world.proxy_machines if _is_serving(one) and not _has_route(one, name)]
        if world.loop.now - since >= MAX_LAG_US and not outcome.behind:
            outcome.behind = behind
        if behind and world.loop.now < since + 8 * S:
            world.loop.after(20 * MS, partial(look, since, name))
        else:
            outcome.lag = world.loop.now - since

    probe = ChangeFaults._schedule_probes

    def acknowledged(troubles: ChangeFaults, change: Change) -> None:
        name = change.items[-1][0]
        world.loop.after(MAX_LAG_US, partial(look, world.loop.now, name))
        probe(troubles, change)

    ChangeFaults._schedule_probes = acknowledged  # type: ignore[method-assign]
    try:
        records = world.run(faults.schedule(world), faults.end_time(scenario))
    finally:
        ChangeFaults._schedule_probes = probe  # type: ignore[method-assign]
    names = {machine.ip: machine.name for machine in (*world.control_machines, *world.proxy_machines)}
    history = checks.History(records, scenario.limits, names, FIRST_REQUEST_AT_US + int(scenario.length))
    outcome.made = MeshRun(world, checks.check_history(history), summarise(records, scenario))
    return outcome


def _is_serving(machine: Machine) -> bool:
    """Whether it is a running proxy that reports itself ready."""
    role = machine.role
    return machine.process.alive and isinstance(role, Proxy) and role.ready


def _has_route(machine: Machine, name: str) -> bool:
    assert isinstance(machine.role, Proxy)
    return machine.role.table.route(name) is not None


@pytest.mark.parametrize("content", ["", RANDOM])
def test_large_change_is_in_force_everywhere_when_acknowledged(content: str) -> None:
    outcome = played(content=content)
    assert_no_violations(outcome.made)
    assert outcome.behind == [] and outcome.made.worth > 0.97


def test_requests_and_small_changes_pass_a_change_that_fills_the_links_for_seconds() -> None:
    outcome = played(content=RANDOM, routes=4000, sets=("length=14s",))
    assert_no_violations(outcome.made)
    assert outcome.behind == [] and outcome.made.worth > 0.9


@pytest.mark.parametrize("case", TIMELINES)
def test_large_change_survives_a_fault_during_its_delivery(case: str) -> None:
    kind, on, at, lasts, after = FAULTS[case]
    names = ", ".join(f'"{name}"' for name in on)
    more = f'[[fault]]\nat = "{at}"\nkind = "{kind}"\non = [{names}]\nlasts = "{lasts}"\n{after}'
    outcome = played(more, RANDOM)
    assert_no_violations(outcome.made)
    assert any(what == "fault" and of[0] == kind for _, what, of in outcome.made.world.records)
    frozen = {"p2"} if kind == "freeze" else set()
    assert set(outcome.behind) <= frozen


def test_large_change_over_slow_links_between_control_replicas() -> None:
    outcome = played(content=RANDOM, sets=("core_link=20.0",))
    assert_no_violations(outcome.made)
    assert outcome.behind == [] and newest_view_epoch(outcome) == 1


def newest_view_epoch(outcome: Outcome) -> int:
    """Epoch of the newest view that was agreed."""
    roles = [machine.role for machine in outcome.made.world.control_machines]
    return max(role.replica.agreement.view.epoch for role in roles if isinstance(role, ControlReplica))


# --- without one of the mechanisms, the failure it prevents occurs


def test_without_staged_delivery_it_is_acknowledged_too_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(staging, "MIN_STAGED_BYTES", 1 << 40)
    assert played(content=RANDOM, routes=3000).behind != []


def test_without_message_parts_heartbeats_wait_behind_bulk_data(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(staging, "MIN_STAGED_BYTES", 1 << 40)
    monkeypatch.setattr(message_parts, "COMPRESS_FROM_BYTES", 1 << 40)
    assert played(content=RANDOM).made.worth < 0.8


def test_without_the_freshness_check_a_proxy_that_is_behind_answers_404(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    not_found: list[int] = []
    original = Egress._find_route

    def find_route(egress: Egress, arrival: object) -> object:
        route = original(egress, arrival)  # type: ignore[arg-type]
        if route is None:
            not_found.append(1)
        return route

    monkeypatch.setattr(Egress, "_find_route", find_route)
    monkeypatch.setattr(ConfigFreshness, "is_current", lambda *_: True)
    monkeypatch.setattr(staging, "MIN_STAGED_BYTES", 1 << 40)
    monkeypatch.setattr(message_parts, "COMPRESS_FROM_BYTES", 1 << 40)
    assert "CONFIG" in played(content=RANDOM, routes=3000).made.rules
