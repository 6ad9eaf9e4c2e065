"""Large orders over small links: in force at every proxy in touch soon after they were acknowledged.

`D` the order is delivered, `!` it is acknowledged, `|` it is in force; `x` is a loss of power, `~` frozen.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

import pytest
from test_mesh_lab import MESH, kept

from brackengate.control import staging
from brackengate.control.role import ControlReplica
from brackengate.emulator.loop import MS, S
from brackengate.emulator.mesh import checks, faults
from brackengate.emulator.mesh.order_troubles import OrderTroubles
from brackengate.emulator.mesh.people import Change
from brackengate.emulator.mesh.play import Played, summarise
from brackengate.emulator.mesh.scenario import changed
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, Machine, World
from brackengate.protocol import message_parts
from brackengate.proxy.egress import Egress
from brackengate.proxy.freshness import ConfigFreshness
from brackengate.proxy.role import Proxy

SOON = 400 * MS  # after an acknowledgement
RANDOM = 'content = "random"'
TROUBLES = {
    "a proxy restarts": """
        p2  DDDD x      DDDD |
        p3  DDDDDDDD !       |""",
    "a proxy is frozen": """
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
    "whoever acknowledged loses power": """
        l?  DDDDDDDD ! x        |""",
}
FAULTS = {
    "a proxy restarts": ("kill", ["p2"], "2200ms", "300ms", ""),
    "a proxy is frozen": ("freeze", ["p2"], "2200ms", "2s", ""),
    "all proxies restart": ("kill", ["pilots"], "2200ms", "300ms", ""),
    "the head loses power": ("power", ["head"], "2200ms", "2s", ""),
    "a member loses its disk": ("wipe", ["tail"], "2200ms", "2s", ""),
    "whoever acknowledged loses power": ("power", ["acker"], "2050ms", "2s", 'after = "ack"\n'),
}


@dataclass
class Outcome:
    made: Played
    behind: list[str] = field(default_factory=list)  # proxies that lack it soon after its acknowledgement
    lag: int = 0  # from the acknowledgement until it is in force at the last proxy


def played(more: str = "", content: str = "", routes: int = 1500, sets: tuple[str, ...] = ()) -> Outcome:
    """One large order, two seconds after the first request."""
    text = (MESH / "big-order.toml").read_text().partition("[[fault]]")[0]
    text += f'[[fault]]\nat = "2s"\nkind = "big_order"\nroutes = {routes}\n{content}\n{more}'
    told = changed(text, "big-order.toml", ("length=9s", *sets))
    world = World(told, 1)
    outcome = Outcome(Played(world, [], summarise([], told)))

    def look(since: int, name: str) -> None:
        lacking = [one.name for one in world.proxy_machines if _runs(one) and not _holds(one, name)]
        if world.loop.now - since >= SOON and not outcome.behind:
            outcome.behind = lacking
        if lacking and world.loop.now < since + 8 * S:
            world.loop.after(20 * MS, partial(look, since, name))
        else:
            outcome.lag = world.loop.now - since

    probe = OrderTroubles._probe_later

    def acknowledged(troubles: OrderTroubles, change: Change) -> None:
        name = change.items[-1][0]
        world.loop.after(SOON, partial(look, world.loop.now, name))
        probe(troubles, change)

    OrderTroubles._probe_later = acknowledged  # type: ignore[method-assign]
    try:
        records = world.run(faults.schedule(world), faults.over(told))
    finally:
        OrderTroubles._probe_later = probe  # type: ignore[method-assign]
    names = {machine.ip: machine.name for machine in (*world.control_machines, *world.proxy_machines)}
    seen = checks.Seen(records, told.limits, names, FIRST_REQUEST_AT_US + int(told.length))
    outcome.made = Played(world, checks.verdict(seen), summarise(records, told))
    return outcome


def _runs(machine: Machine) -> bool:
    """It serves, and has had time since its start."""
    role = machine.role
    return machine.process.alive and isinstance(role, Proxy) and role.ready


def _holds(machine: Machine, name: str) -> bool:
    assert isinstance(machine.role, Proxy)
    return machine.role.table.route(name) is not None


@pytest.mark.parametrize("content", ["", RANDOM])
def test_a_large_order_is_in_force_everywhere_when_it_is_acknowledged(content: str) -> None:
    outcome = played(content=content)
    kept(outcome.made)
    assert outcome.behind == [] and outcome.made.worth > 0.97


def test_requests_and_small_orders_pass_one_that_takes_the_links_seconds() -> None:
    outcome = played(content=RANDOM, routes=4000, sets=("length=14s",))
    kept(outcome.made)
    assert outcome.behind == [] and outcome.made.worth > 0.9


@pytest.mark.parametrize("trouble", TROUBLES)
def test_whatever_is_lost_in_the_middle_of_it(trouble: str) -> None:
    kind, on, at, lasts, after = FAULTS[trouble]
    names = ", ".join(f'"{name}"' for name in on)
    more = f'[[fault]]\nat = "{at}"\nkind = "{kind}"\non = [{names}]\nlasts = "{lasts}"\n{after}'
    outcome = played(more, RANDOM)
    kept(outcome.made)
    assert any(what == "fault" and of[0] == kind for _, what, of in outcome.made.world.records)
    frozen = {"p2"} if kind == "freeze" else set()
    assert set(outcome.behind) <= frozen


def test_over_a_small_link_between_the_members_of_the_core() -> None:
    outcome = played(content=RANDOM, sets=("core_link=20.0",))
    kept(outcome.made)
    assert outcome.behind == [] and views(outcome) == 1


def views(outcome: Outcome) -> int:
    """The newest view that was agreed."""
    roles = [machine.role for machine in outcome.made.world.control_machines]
    return max(role.replica.agreement.view.epoch for role in roles if isinstance(role, ControlReplica))


# --- taken out, each is missed


def test_without_delivery_it_is_acknowledged_too_early(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(staging, "MIN_STAGED_BYTES", 1 << 40)
    assert played(content=RANDOM, routes=3000).behind != []


def test_without_parts_liveness_waits_behind_bulk(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(staging, "MIN_STAGED_BYTES", 1 << 40)
    monkeypatch.setattr(message_parts, "COMPRESS_FROM_BYTES", 1 << 40)
    assert played(content=RANDOM).made.worth < 0.8


def test_without_currency_a_proxy_that_is_behind_says_404(monkeypatch: pytest.MonkeyPatch) -> None:
    said: list[int] = []
    not_found = Egress._find_route

    def looked_up(egress: Egress, arrival: object) -> object:
        route = not_found(egress, arrival)  # type: ignore[arg-type]
        if route is None:
            said.append(1)
        return route

    monkeypatch.setattr(Egress, "_find_route", looked_up)
    monkeypatch.setattr(ConfigFreshness, "is_current", lambda *_: True)
    monkeypatch.setattr(staging, "STAGED_BYTES", 1 << 40)
    monkeypatch.setattr(message_parts, "LONG", 1 << 40)
    assert "CONFIG" in played(content=RANDOM, routes=3000).made.rules
