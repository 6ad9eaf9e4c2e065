"""The planner's file, plans as files, and a plan's steps as lines.  Reads and writes; decides nothing."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from brackengate import files
from brackengate.installation.reading import BadFile, Fault, read_as, read_text
from brackengate.planner.model import Demand, Plan, faults_of
from brackengate.planner.steps import Give, Move, Step


def demand(path: str | Path) -> Demand:
    """BadFile with every fault, its line, and what is allowed."""
    return read_as(Demand, path, lambda told: faults_of(told, time.time_ns() // 1000))


class _Saved(msgspec.Struct, forbid_unknown_fields=True):
    assign: dict[str, str]
    upstreams: tuple[dict[str, int], ...]
    made_by: str = "solver"
    gap: float = 0.0


def save(plan: Plan, path: str | Path) -> None:
    """Whole or not at all; OSError where it can't be."""
    told = {
        "made_by": plan.made_by,
        "gap": round(plan.gap, 4),
        "assign": dict(sorted(plan.assign.items())),
        "upstreams": [dict(row) for row in plan.upstreams],
    }
    files.replace(Path(path).resolve(), tomli_w.dumps(told).encode())


def plan(path: str | Path, told: Demand) -> Plan:
    """BadFile where it is no plan for this demand."""
    import tomllib

    try:
        made = msgspec.convert(tomllib.loads(read_text(path)), _Saved)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise BadFile(str(path), [Fault("", f"is no plan: {error}")]) from None
    if len(made.upstreams) != len(told.upstreams) or set(made.assign) != set(told.tenant):
        what = "is a plan for other tenants or upstreams; make it anew"
        raise BadFile(str(path), [Fault("assign", what)])
    return Plan(made.assign, made.upstreams, "greedy" if made.made_by == "greedy" else "solver", made.gap)


def words(told: Demand, step: Step) -> str:
    match step:
        case Give(row, from_, to):
            zone = told.upstreams[row].zone
            if not from_:
                return f"a free upstream of zone {zone} joins {to}"
            return f"an upstream of zone {zone} leaves {from_}" + (f" for {to}" if to else "")
        case Move(tenant, from_, to, detour):
            way = " (on its way: no room yet where it goes)" if detour else ""
            return f"{tenant} moves from {from_} to {to}{way}" if from_ else f"{tenant} begins in {to}"


def figures(rows: dict[str, tuple[float, float, float]]) -> list[dict[str, Any]]:
    return [
        {
            "cell": cell,
            "work": round(used, 3),
            "capacity": round(can, 3),
            "full": round(used / can, 3) if can else None,
            "full_without_a_zone": round(used / rest, 3) if rest else None,
        }
        for cell, (used, can, rest) in rows.items()
    ]
