"""What a plan is made from, what it says, and what it costs.  Plain data, and no solver.

Demand and capacity are in upstreams' work, seconds a second: a warm upstream with one slot can do 1.0.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Literal

import msgspec

from brackengate.installation.schema import Bounds, S, Section
from brackengate.installation.units import Duration

Name = Annotated[str, msgspec.Meta(pattern="^[!-~]{1,128}$")]
Part = Annotated[float, Bounds(0.0, 1.0)]


class Bound(Section, frozen=True, kw_only=True):
    """How full a cell may be."""

    usual: Annotated[float, Bounds(0.01, 1.0)] = 0.7  # of its capacity
    zone_lost: Annotated[float, Bounds(0.0, 1.0)] = (
        0.95  # of what is left of it when any one zone is lost; 0: none
    )
    cell_lost: Annotated[float, Bounds(0.0, 1.0)] = (
        0.0  # of all others, with any one cell's demand; 0: no room kept
    )
    least_zones: Annotated[int, Bounds(1, 100)] = 1  # that a cell has upstreams in
    stale: Annotated[Duration, Bounds(S, 30 * 24 * 3600 * S)] = Duration(
        3600 * S
    )  # older figures are no demand


class Cost(Section, frozen=True, kw_only=True):
    """What changes weigh, against how full the fullest cell is."""

    move: Annotated[float, Bounds(0.0, 1e6)] = 1.0  # of a tenant that asks for one upstream's work
    least: Annotated[float, Bounds(0.0, 1e6)] = 0.05  # of any tenant's move
    upstream: Annotated[float, Bounds(0.0, 1e6)] = 0.2  # of an upstream that changes its cell: it starts cold
    full: Annotated[float, Bounds(0.0, 1e6)] = 1.0  # of the fullest cell's part, 0 to 1


class Tenant(Section, frozen=True, kw_only=True):
    demand: dict[str, Annotated[float, Bounds(0.0, 1e9)]]  # by class
    measured: Annotated[int, Bounds(0, 1 << 60)] = 0  # when, in microseconds of Unix time; 0: not said
    cell: str = ""  # that it must be in; empty: any
    apart: tuple[str, ...] = ()  # tenants that must be in other cells


class Upstreams(Section, frozen=True, kw_only=True):
    """Those of one zone that are alike."""

    zone: Name
    count: Annotated[int, Bounds(0, 100_000)]
    capacity: Annotated[float, Bounds(0.001, 1e6)] = 1.0  # of each
    cells: dict[str, Annotated[int, Bounds(0, 100_000)]] = {}  # noqa: RUF012  today's, by cell


class Demand(Section, frozen=True, kw_only=True):
    """The planner's file."""

    cells: tuple[Name, ...]
    tenant: dict[str, Tenant]
    upstreams: tuple[Upstreams, ...]
    assign: dict[str, str] = {}  # noqa: RUF012  today's, by tenant; who is not named is new
    bound: Bound = Bound()
    cost: Cost = Cost()
    within: Annotated[Duration, Bounds(100_000, 600 * S)] = Duration(10 * S)  # that the solver may take


@dataclass(frozen=True, slots=True)
class Plan:
    """Tenants to cells, and upstreams to cells by their row in the demand's file."""

    assign: Mapping[str, str]
    upstreams: tuple[Mapping[str, int], ...]
    made_by: Literal["solver", "greedy"] = "solver"
    gap: float = 0.0  # how far from the best possible it may be, as a part of its cost
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Impossible:
    """No plan keeps all bounds; what would have to give."""

    why: tuple[str, ...]
    plan: Plan | None = field(default=None)  # the one that is over its bounds by least


def demand_of(tenant: Tenant) -> float:
    return sum(tenant.demand.values())


def move_cost(told: Demand, name: str) -> float:
    """Of moving this tenant; nothing for one that is new."""
    if name not in told.assign:
        return 0.0
    return max(told.cost.least, told.cost.move * demand_of(told.tenant[name]))


def cost(told: Demand, plan: Plan) -> float:
    moves = sum(
        move_cost(told, name) for name, cell in plan.assign.items() if told.assign.get(name, cell) != cell
    )
    # Each upstream that leaves a cell; those that were in none come at no cost.
    left = sum(
        max(0, count - now.get(cell, 0))
        for row, now in zip(told.upstreams, plan.upstreams, strict=True)
        for cell, count in row.cells.items()
    )
    fullest = max((used / max(can, 1e-9) for used, can, _ in load(told, plan).values() if used), default=0.0)
    return moves + told.cost.upstream * left + told.cost.full * fullest


def load(told: Demand, plan: Plan) -> dict[str, tuple[float, float, float]]:
    """By cell: its demand, its capacity, and its capacity without the zone that it has most in."""
    found = {}
    for cell in told.cells:
        used = sum(demand_of(told.tenant[name]) for name, home in plan.assign.items() if home == cell)
        zones: dict[str, float] = {}
        for row, counts in zip(told.upstreams, plan.upstreams, strict=True):
            zones[row.zone] = zones.get(row.zone, 0.0) + row.capacity * counts.get(cell, 0)
        can = sum(zones.values())
        found[cell] = (used, can, can - max(zones.values(), default=0.0))
    return found


def faults_of(told: Demand, now: int) -> list[tuple[tuple[str | int, ...], str]]:
    """What the form alone does not show.  `now`: microseconds of Unix time."""
    found: list[tuple[tuple[str | int, ...], str]] = []
    names = ", ".join(told.cells[:8]) + (" ..." if len(told.cells) > 8 else "")
    if not told.cells or len(set(told.cells)) < len(told.cells):
        found.append((("cells",), "is empty or names a cell twice"))
    if not told.tenant:
        found.append((("tenant",), "is missing: whom is the plan for?"))
    if not sum(row.count for row in told.upstreams):
        found.append((("upstreams",), "has none at all"))
    for name, one in told.tenant.items():
        if not one.demand:
            found.append((("tenant", name, "demand"), "is missing: its work by class"))
        if one.measured and now - one.measured > told.bound.stale:
            age = Duration(now - one.measured)
            found.append((("tenant", name, "measured"), f"is {age} old; allowed: up to {told.bound.stale}"))
        if one.cell and one.cell not in told.cells:
            found.append((("tenant", name, "cell"), f"there is no cell {one.cell!r}; allowed: {names}"))
        for other in one.apart:
            if other not in told.tenant or other == name:
                found.append((("tenant", name, "apart"), f"there is no other tenant {other!r}"))
    for name, cell in told.assign.items():
        if cell not in told.cells:
            found.append((("assign", name), f"there is no cell {cell!r}; allowed: {names}"))
        if name not in told.tenant:
            found.append((("assign", name), f"there is no tenant {name!r}: its demand is not known"))
    for number, row in enumerate(told.upstreams):
        if sum(row.cells.values()) > row.count:
            found.append((("upstreams", number, "cells"), f"has more than `count`, which is {row.count}"))
        for cell in row.cells:
            if cell not in told.cells:
                found.append(
                    (("upstreams", number, "cells", cell), f"there is no such cell; allowed: {names}")
                )
    zones = len({row.zone for row in told.upstreams})
    if told.bound.least_zones > zones:
        found.append((("bound", "least_zones"), f"is over the number of zones, which is {zones}"))
    if told.bound.zone_lost and zones < 2:
        found.append((("bound", "zone_lost"), "needs two zones at least; 0 keeps no room for that"))
    return found
