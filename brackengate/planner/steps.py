"""The order in which a plan is carried out: no step puts a cell over its bounds.  Pure.

One change at a time: an upstream goes from one cell to another (it starts cold there, so the next step
waits until it is warm), or a tenant moves.  What a step takes room from must keep its bounds after it; what
it gives room to can only get better, so a day that begins over a bound never gets worse on the way.  Each
step can be undone by its reverse, from the last back.
"""

from __future__ import annotations

from dataclasses import dataclass

from brackengate.planner.model import Demand, Plan, demand_of

SLACK = 1e-9


@dataclass(frozen=True, slots=True)
class Give:
    """One upstream of a row from one cell to another; empty: from or to none."""

    row: int
    from_: str
    to: str

    def undo(self) -> Give:
        return Give(self.row, self.to, self.from_)


@dataclass(frozen=True, slots=True)
class Move:
    tenant: str
    from_: str  # empty: it is new
    to: str
    detour: bool = False  # on its way to another cell, as there is no room there yet

    def undo(self) -> Move:
        return Move(self.tenant, self.to, self.from_)


Step = Give | Move


@dataclass(frozen=True, slots=True)
class Stuck:
    """There is no order with the room that there is; `done` could be carried out and is safe to stop at."""

    done: tuple[Step, ...]
    why: str


class State:
    """Who is where, half-way through a plan."""

    def __init__(self, told: Demand) -> None:
        self._told = told
        self.home = dict(told.assign)
        self.rows = [{cell: row.cells.get(cell, 0) for cell in told.cells} for row in told.upstreams]
        self._work: dict[str, float] = dict.fromkeys(told.cells, 0.0)
        for name, cell in self.home.items():
            self._work[cell] += demand_of(told.tenant[name])

    def take(self, step: Step) -> None:
        if isinstance(step, Give):
            for cell, one in ((step.from_, -1), (step.to, 1)):
                if cell:
                    self.rows[step.row][cell] += one
            return
        asks = demand_of(self._told.tenant[step.tenant])
        for cell, more in ((step.from_, -asks), (step.to, asks)):
            if cell:
                self._work[cell] += more
        if step.to:
            self.home[step.tenant] = step.to
        else:
            self.home.pop(step.tenant, None)

    def keeps(self, cell: str) -> bool:
        """Whether this cell is within its bounds.  The room for a lost cell is the whole plan's matter."""
        bound, zones, work = self._told.bound, dict[str, float](), self._work[cell]
        for row, counts in zip(self._told.upstreams, self.rows, strict=True):
            zones[row.zone] = zones.get(row.zone, 0.0) + row.capacity * counts[cell]
        can = sum(zones.values())
        if work > bound.usual * can + SLACK:
            return False
        return not bound.zone_lost or work <= bound.zone_lost * (can - max(zones.values())) + SLACK

    def fits(self, step: Step) -> bool:
        """Whether the cell that it takes room from keeps its bounds."""
        self.take(step)
        loser = step.to if isinstance(step, Move) else step.from_
        kept = not loser or not self._work[loser] or self.keeps(loser)
        self.take(step.undo())
        return kept


def order(told: Demand, plan: Plan) -> tuple[Step, ...] | Stuck:
    """From today to the plan."""
    state, made = State(told), list[Step]()
    round_about: set[str] = set()  # tenants that have gone round: each once at the most
    while (step := _next(told, state, plan, round_about)) is not None:
        if isinstance(step, Move) and step.detour:
            round_about.add(step.tenant)
        state.take(step)
        made.append(step)
    left = sorted(name for name, cell in plan.assign.items() if state.home.get(name) != cell)
    short = [
        row.zone
        for row, want, have in zip(told.upstreams, plan.upstreams, state.rows, strict=True)
        if any(want.get(cell, 0) != count for cell, count in have.items())
    ]
    if left or short:
        what = f"tenants {', '.join(left[:5])}" if left else f"upstreams of zone {', '.join(short)}"
        return Stuck(
            tuple(made), f"no cell has the room that {what} need on the way; a spare upstream would do"
        )
    return tuple(made)


def _next(told: Demand, state: State, plan: Plan, round_about: set[str]) -> Step | None:
    for row, want in enumerate(plan.upstreams):
        have = state.rows[row]
        wanted = [cell for cell in told.cells if want.get(cell, 0) > have[cell]]
        spare = [cell for cell in told.cells if have[cell] > want.get(cell, 0)]
        free = told.upstreams[row].count > sum(have.values())
        gives = [Give(row, "", cell) for cell in wanted if free]
        gives += [Give(row, source, cell) for cell in wanted for source in spare]
        gives += [Give(row, source, "") for source in spare if not wanted]
        for give in gives:
            if state.fits(give):
                return give
    moves = [
        Move(name, state.home.get(name, ""), cell)
        for name, cell in plan.assign.items()
        if state.home.get(name) != cell
    ]
    moves.sort(key=lambda one: (-demand_of(told.tenant[one.tenant]), one.tenant))
    for move in moves:
        if state.fits(move):
            return move
    # A circle: the smallest goes round by a cell that has room for it.
    for move in reversed(moves):
        for cell in told.cells if move.from_ and move.tenant not in round_about else ():
            detour = Move(move.tenant, move.from_, cell, detour=True)
            if cell not in (move.from_, move.to) and state.fits(detour):
                return detour
    return None
