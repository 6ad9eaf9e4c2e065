"""The plan as a mixed-integer model, for HiGHS (by scipy): the same answer every time, within a time.

Variables: whether tenant t is in cell c; how many upstreams of row r are in cell c, and how many of those it
has today leave it; how full the fullest cell is; in the elastic form, by how much each bound is passed.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from functools import partial

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import csr_array

from brackengate.planner.greedy import greedy
from brackengate.planner.model import Demand, Impossible, Plan, Upstreams, cost, demand_of, move_cost
from brackengate.planner.verify import broken

GAP = 0.01  # a plan this near to the best possible is good enough
PENALTY = 1e4  # of a bound that is passed, in the elastic form
SMALL = 1e-6


def _apart(one: str, other: str, over: float) -> str:
    return f"{one} and {other} must be apart"


def _missing(row: Upstreams, over: float) -> str:
    return f"zone {row.zone}: {math.ceil(over - SMALL)} upstreams of capacity {row.capacity:g} are missing"


def _over(where: str, of: str, over: float) -> str:
    return f"{where}: {over:.2f} more work than {of}"


class _Model:
    """Rows and columns as they come; `bounds` names each row that may be passed in the elastic form."""

    def __init__(self, told: Demand, elastic: bool) -> None:
        self.told, self.elastic = told, elastic
        self.cost: list[float] = []
        self.upper: list[float] = []
        self.whole: list[int] = []
        self._at: list[tuple[int, int, float]] = []  # row, column, factor
        self.low: list[float] = []
        self.high: list[float] = []
        self.passed: dict[int, Callable[[float], str]] = {}  # column: what its value means in words
        self._build()

    def column(self, cost: float, upper: float, whole: bool = True) -> int:
        self.cost.append(cost)
        self.upper.append(upper)
        self.whole.append(1 if whole else 0)
        return len(self.cost) - 1

    def row(self, factors: list[tuple[int, float]], low: float, high: float) -> int:
        number = len(self.low)
        self._at += [(number, column, factor) for column, factor in factors if factor]
        self.low.append(low)
        self.high.append(high)
        return number

    def most(self, factors: list[tuple[int, float]], high: float, words: Callable[[float], str]) -> None:
        """A bound; in the elastic form it may be passed, at a price."""
        if self.elastic:
            over = self.column(PENALTY, math.inf, whole=False)
            self.passed[over] = words
            factors = [*factors, (over, -1.0)]
        self.row(factors, -math.inf, high)

    def _build(self) -> None:
        told, bound = self.told, self.told.bound
        cells, rows = told.cells, told.upstreams
        self.home = {
            (name, cell): self.column(0.0 if told.assign.get(name) == cell else move_cost(told, name), 1)
            for name in told.tenant
            for cell in cells
        }
        self.count = {(r, cell): self.column(0.0, row.count) for r, row in enumerate(rows) for cell in cells}
        full = self.column(told.cost.full, 1.0 if not self.elastic else math.inf, whole=False)
        for name, tenant in told.tenant.items():
            self.row([(self.home[name, cell], 1.0) for cell in cells], 1.0, 1.0)
            if tenant.cell:
                self.row([(self.home[name, tenant.cell], 1.0)], 1.0, 1.0)
            for other in tenant.apart:
                for cell in cells:
                    self.most(
                        [(self.home[name, cell], 1.0), (self.home[other, cell], 1.0)],
                        1.0,
                        partial(_apart, name, other),
                    )
        for r, row in enumerate(rows):
            self.most(
                [(self.count[r, cell], 1.0) for cell in cells],
                row.count,
                partial(_missing, row),
            )
            for cell, before in row.cells.items():
                left = self.column(told.cost.upstream, before, whole=False)
                self.row([(self.count[r, cell], 1.0), (left, 1.0)], before, math.inf)
        demand = {name: demand_of(tenant) for name, tenant in told.tenant.items()}
        total = sum(demand.values())
        zones = sorted({row.zone for row in rows})
        has: dict[tuple[str, str], int] = {}
        for cell in cells:
            asks = [(self.home[name, cell], demand[name]) for name in told.tenant]
            can = [(self.count[r, cell], row.capacity) for r, row in enumerate(rows)]
            self.most(
                [*asks, *((column, -bound.usual * factor) for column, factor in can)],
                0.0,
                partial(_over, f"cell {cell}", f"{bound.usual:.0%} of its capacity"),
            )
            # How full it is, against an even part of all: linear, and the same order where cells are alike.
            fair = sum(row.count * row.capacity for row in rows) / len(cells)
            self.row([*((c, f / fair) for c, f in asks), (full, -1.0)], -math.inf, 0.0)
            for zone in zones if bound.zone_lost else ():
                rest = [(self.count[r, cell], row.capacity) for r, row in enumerate(rows) if row.zone != zone]
                self.most(
                    [*asks, *((column, -bound.zone_lost * factor) for column, factor in rest)],
                    0.0,
                    partial(_over, f"cell {cell} without zone {zone}", f"{bound.zone_lost:.0%} of the rest"),
                )
            if bound.least_zones > 1:
                for zone in zones:
                    has[cell, zone] = self.column(0.0, 1)
                    there = [(self.count[r, cell], -1.0) for r, row in enumerate(rows) if row.zone == zone]
                    self.row([(has[cell, zone], 1.0), *there], -math.inf, 0.0)
                self.row([(has[cell, zone], 1.0) for zone in zones], bound.least_zones, math.inf)
            if bound.cell_lost:
                others = [
                    (self.count[r, other], -bound.cell_lost * row.capacity)
                    for r, row in enumerate(rows)
                    for other in cells
                    if other != cell
                ]
                self.most(
                    others,
                    -total,
                    partial(_over, f"without cell {cell}", f"{bound.cell_lost:.0%} of all others"),
                )

    def solve(self, within_s: float) -> tuple[np.ndarray | None, float]:
        """Its values and the gap; None where none were found in time, or there are none."""
        size = (len(self.low), len(self.cost))
        at = np.array(self._at)
        matrix = csr_array((at[:, 2], (at[:, 0].astype(int), at[:, 1].astype(int))), shape=size)
        found = milp(
            np.array(self.cost),
            integrality=np.array(self.whole),
            bounds=Bounds(0, np.array(self.upper)),
            constraints=LinearConstraint(matrix, np.array(self.low), np.array(self.high)),
            options={"time_limit": within_s, "mip_rel_gap": GAP},
        )
        return found.x, float(found.mip_gap) if found.mip_gap is not None else 0.0

    def plan(self, values: np.ndarray, gap: float, seconds: float) -> Plan:
        told = self.told
        assign = {
            name: next(cell for cell in told.cells if values[self.home[name, cell]] > 0.5)
            for name in told.tenant
        }
        counts = tuple(
            {cell: n for cell in told.cells if (n := round(values[self.count[r, cell]]))}
            for r in range(len(told.upstreams))
        )
        return Plan(assign, counts, "solver", gap, seconds)


def make(told: Demand) -> Plan | Impossible:
    """The best plan that is found within the time; the greedy one where that is cheaper, or nothing else is.

    Where no plan keeps all bounds, what would have to give: the least that would do.
    """
    begun, within_s = time.monotonic(), int(told.within) / 1e6
    start = greedy(told)
    model = _Model(told, elastic=False)
    values, gap = model.solve(within_s)
    plans = [start] if start is not None else []
    if values is not None:
        made = model.plan(values, gap, time.monotonic() - begun)
        plans += [made] if not broken(told, made) else []
    if plans:
        return min(plans, key=lambda plan: cost(told, plan))
    elastic = _Model(told, elastic=True)
    values, gap = elastic.solve(within_s)
    if values is None:
        return Impossible((f"nothing was found within {told.within}; allow more by `within`",))
    why = tuple(words(float(values[at])) for at, words in elastic.passed.items() if values[at] > SMALL)
    return Impossible(why or (f"nothing was found within {told.within}; allow more by `within`",),
                      elastic.plan(values, gap, time.monotonic() - begun))  # fmt: skip
