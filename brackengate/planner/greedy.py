"""A plan by simple rules, at once: the largest first, where it is today, else where there is most room."""

from __future__ import annotations

from brackengate.planner.model import Demand, Plan, demand_of
from brackengate.planner.verify import broken


def greedy(told: Demand) -> Plan | None:
    """None where it finds none that keeps all bounds, though there may be one."""
    for keep in (True, False):  # today's upstreams first, then dealt anew
        counts = _upstreams(told, keep)
        plan = Plan(_tenants(told, counts), tuple(counts), "greedy")
        if not broken(told, plan):
            return plan
    return None


def _upstreams(told: Demand, keep: bool) -> list[dict[str, int]]:
    """Today's, and what is free in turn to the cells that have least in that zone."""
    counts = []
    for row in told.upstreams:
        now = {cell: row.cells.get(cell, 0) if keep else 0 for cell in told.cells}
        for _ in range(row.count - sum(now.values())):
            now[min(now, key=now.__getitem__)] += 1
        counts.append({cell: count for cell, count in now.items() if count})
    return counts


def _tenants(told: Demand, counts: list[dict[str, int]]) -> dict[str, str]:
    bound = told.bound
    room: dict[str, float] = {}
    for cell in told.cells:
        zones: dict[str, float] = {}
        for row, now in zip(told.upstreams, counts, strict=True):
            zones[row.zone] = zones.get(row.zone, 0.0) + row.capacity * now.get(cell, 0)
        can = sum(zones.values())
        lost = bound.zone_lost * (can - max(zones.values(), default=0.0)) if bound.zone_lost else can
        room[cell] = min(bound.usual * can, lost)
    assign: dict[str, str] = {}
    for name in sorted(told.tenant, key=lambda one: (-demand_of(told.tenant[one]), one)):
        tenant, asks = told.tenant[name], demand_of(told.tenant[name])
        not_there = {assign[other] for other in tenant.apart if other in assign}
        not_there |= {cell for other, cell in assign.items() if name in told.tenant[other].apart}
        may = [tenant.cell] if tenant.cell else [cell for cell in told.cells if cell not in not_there]
        today = told.assign.get(name, "")
        if today in may and room[today] >= asks:
            assign[name] = today
        elif may:
            assign[name] = max(may, key=lambda cell: (room[cell], -told.cells.index(cell)))
        else:
            assign[name] = told.cells[0]
        room[assign[name]] -= asks
    return assign
