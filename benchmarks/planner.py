"""Time, gap and changes of the planner, by size.

python -m benchmarks.planner            # --within 20: seconds that the solver may take
"""

from __future__ import annotations

import argparse
import random
import time

from brackengate.installation.units import Duration
from brackengate.planner.greedy import greedy
from brackengate.planner.model import Demand, Impossible, Tenant, Upstreams, cost
from brackengate.planner.solve import make
from brackengate.planner.steps import Stuck, order

SIZES = ((10, 4, 24), (50, 10, 120), (200, 50, 500))  # tenants, cells, upstreams
LOAD = 0.45  # of what the upstreams can do


def demand(tenants: int, cells: int, upstreams: int, within_s: float) -> Demand:
    """Sizes as 1/rank; today's places by chance, so that some cells are over their bounds."""
    rng = random.Random(1)
    sizes = [1 / (n + 1) ** 0.6 for n in range(tenants)]
    work = LOAD * upstreams / sum(sizes)
    names = tuple(f"c{n}" for n in range(cells))
    zones = 3
    rows = []
    for zone in range(zones):
        count = upstreams // zones + (zone < upstreams % zones)
        rows.append(
            Upstreams(
                zone=f"z{zone}", count=count, cells={name: count // cells for name in names if count // cells}
            )
        )
    most = 0.7 * 0.6 * upstreams / cells  # of one tenant: none is larger than a cell
    return Demand(
        cells=names,
        tenant={f"t{n}": Tenant(demand={"r": min(most, work * one)}) for n, one in enumerate(sizes)},
        upstreams=tuple(rows),
        assign={f"t{n}": rng.choice(names) for n in range(tenants)},
        within=Duration(int(within_s * 1e6)),
    )


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--within", type=float, default=20.0)
    args = parser.parse_args()
    print("tenants  cells  upstreams  seconds  by      gap    moves  cost   greedy's  steps")
    for tenants, cells, upstreams in SIZES:
        told = demand(tenants, cells, upstreams, args.within)
        begun = time.perf_counter()
        made = make(told)
        took = time.perf_counter() - begun
        if isinstance(made, Impossible):
            print(f"{tenants:7}  {cells:5}  {upstreams:9}  {took:7.1f}  none: {made.why[0]}")
            continue
        start = greedy(told)
        moves = sum(told.assign[name] != cell for name, cell in made.assign.items())
        way = order(told, made)
        steps = f"{len(way.done)}, stuck" if isinstance(way, Stuck) else str(len(way))
        simple = cost(told, start) if start is not None else float("nan")
        print(
            f"{tenants:7}  {cells:5}  {upstreams:9}  {took:7.1f}  {made.made_by:<6}"
            f"  {made.gap:5.1%}  {moves:5}  {cost(told, made):5.2f}  {simple:8.2f}  {steps}",
            flush=True,
        )


if __name__ == "__main__":
    main()
