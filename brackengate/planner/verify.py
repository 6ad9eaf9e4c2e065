"""Whether a plan keeps its bounds.  Shares nothing with the model: it counts upstreams and adds up demand."""

from __future__ import annotations

from brackengate.planner.model import Demand, Plan

SLACK = 1e-6


def broken(told: Demand, plan: Plan) -> list[str]:
    """Every bound that it passes, in words."""
    bound, found = told.bound, list[str]()
    for name in told.tenant:
        if plan.assign.get(name) not in told.cells:
            found.append(f"{name} is in no cell")
    for row, counts in zip(told.upstreams, plan.upstreams, strict=True):
        if sum(counts.values()) > row.count:
            found.append(f"zone {row.zone}: {sum(counts.values())} upstreams of {row.count}")
        if any(count < 0 for count in counts.values()) or not set(counts) <= set(told.cells):
            found.append(f"zone {row.zone}: counts that can't be")
    work = dict.fromkeys(told.cells, 0.0)
    for name, tenant in told.tenant.items():
        cell = plan.assign.get(name, "")
        if cell in work:
            work[cell] += sum(tenant.demand.values())
        if tenant.cell and cell != tenant.cell:
            found.append(f"{name} is in {cell}, and must be in {tenant.cell}")
        found += [
            f"{name} and {other} are both in {cell}"
            for other in tenant.apart
            if plan.assign.get(other) == cell
        ]
    each: dict[str, dict[str, float]] = {cell: {} for cell in told.cells}
    for row, counts in zip(told.upstreams, plan.upstreams, strict=True):
        for cell, count in counts.items():
            if count and cell in each:
                each[cell][row.zone] = each[cell].get(row.zone, 0.0) + count * row.capacity
    capacity = {cell: sum(zones.values()) for cell, zones in each.items()}
    for cell in told.cells:
        if work[cell] > bound.usual * capacity[cell] + SLACK:
            found.append(f"cell {cell}: {work[cell]:.2f} of {capacity[cell]:.2f}, over {bound.usual:.0%}")
        for zone, there in each[cell].items():
            if bound.zone_lost and work[cell] > bound.zone_lost * (capacity[cell] - there) + SLACK:
                found.append(
                    f"cell {cell} without zone {zone}: {work[cell]:.2f} of {capacity[cell] - there:.2f}"
                )
        if len(each[cell]) < bound.least_zones:
            found.append(f"cell {cell} has upstreams in {len(each[cell])} zones")
        others = sum(can for other, can in capacity.items() if other != cell)
        if bound.cell_lost and sum(work.values()) > bound.cell_lost * others + SLACK:
            found.append(f"without cell {cell}: {sum(work.values()):.2f} of {others:.2f}")
    return found
