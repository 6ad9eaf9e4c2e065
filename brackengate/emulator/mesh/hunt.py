"""Search over fault schedules of the mesh: random faults, mutation of a schedule and shrinking."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any, get_args

import msgspec

from brackengate.emulator import report
from brackengate.emulator.loop import MS, S
from brackengate.emulator.mesh.faults import REPLACEMENT_OVERLAP_US
from brackengate.emulator.mesh.play import MeshRun
from brackengate.emulator.mesh.scenario import (
    CHANGE_FAULTS,
    NEED_DURATION,
    TARGETS_BY_KIND,
    BadChangeKinds,
    Fault,
    MeshScenario,
    proxy_count,
)
from brackengate.installation.units import Duration

MAX_FAULTS = 6
KINDS = tuple(kind for kind in TARGETS_BY_KIND if kind != "close")
BAD_CHANGE_KINDS = get_args(BadChangeKinds)
LATE_BOUND_TARGETS = ("acker", "lot")  # control replicas that are chosen only when the fault starts
MAX_FAULT_US = 8 * S
RECOVERY_US = 4 * S  # a machine still counts as lost for this time after its return
TAIL_US = 5 * S  # kept after the last fault when a scenario is shortened


def features(scenario: MeshScenario, run: MeshRun) -> frozenset[str]:
    """Coarse features of a run, to tell whether it did something new.

    The outcomes of each route in powers of two, the broken rules, and which pairs of faults occurred.
    """
    seen = {f"broken {rule}" for rule in run.rules}
    for name, one in run.summary.classes.items():
        seen |= {f"{name} {end} {one.ends[end].bit_length()}" for end in report.ENDS[1:] if one.ends[end]}
    kinds = sorted({f"{one.kind}{one.after}" for one in scenario.fault})
    seen |= {f"{one}+{other}" for index, one in enumerate(kinds) for other in kinds[index + 1 :]}
    return frozenset(seen)


def random_fault(scenario: MeshScenario, rng: random.Random) -> Fault:
    """A random fault that is valid in the scenario."""
    allowed = [kind for kind in KINDS if kind != "replace_core" or scenario.core.spare]
    replace, kind = msgspec.structs.replace, rng.choice(allowed)
    core = [f"l{n}" for n in range(scenario.core.count)] + ["head", "middle", "tail", *LATE_BOUND_TARGETS]
    proxies = [f"p{n}" for n in range(proxy_count(scenario))]
    targets = (core if "l" in TARGETS_BY_KIND[kind] else []) + (
        proxies if "p" in TARGETS_BY_KIND[kind] else []
    )
    on: tuple[str, ...] = (rng.choice(targets),) if targets else ()
    if kind in ("kill", "freeze", "power") and rng.random() < 0.2:
        on = (rng.choice(("core", "pilots")),)
    length = max(1, int(scenario.length) - 2 * S)
    fault = Fault(
        at=Duration(rng.randrange(0, length, 10 * MS)),
        kind=kind,  # type: ignore[arg-type]
        on=on,
        lasts=Duration(rng.choice((300 * MS, rng.randrange(100 * MS, MAX_FAULT_US, 10 * MS)))),
        by=Duration(rng.randrange(S, 60 * S, 100 * MS)),
        back=rng.random() < 0.5,
    )
    if kind == "loss":
        fault = replace(fault, part=round(rng.uniform(0.01, 0.3), 2))
    elif kind == "cut":
        to = rng.choice([(), ("core",), ("pilots",), (rng.choice([one for one in core + proxies]),)])
        fault = replace(fault, to=to, one_way=rng.random() < 0.4)
        if on[0] in core:
            restart = rng.choice(("", "", "others", "both"))
            fault = replace(fault, seeds_first=rng.random() < 0.3, restart=restart)
    elif kind in ("ack_lost", "reset_conns"):
        fault = replace(fault, part=round(rng.uniform(0.3, 0.9), 2))
    elif kind == "replace_core":
        fault = replace(fault, planned=rng.random() < 0.5, lasts=Duration(S))
    elif kind in CHANGE_FAULTS:
        fault = replace(fault, order=rng.choice(BAD_CHANGE_KINDS), count=rng.randrange(1, 4))
    elif kind in ("kill", "power", "wipe") and on[0] in core and rng.random() < 0.4:
        fault = replace(fault, after=rng.choice(("sync", "ack", "sent", "sent")))
    return fault


def within_tolerance(scenario: MeshScenario) -> bool:
    """Whether the faults lose no more disks of the core than `tolerance` allows, so that all rules must hold.

    Prevents false findings.  While a disk is lost, and until its machine has returned and recovered, other
    replicas may only be killed or lose their power for a second.
    """
    spans: list[tuple[int, int, bool]] = []  # start, end, whether a disk is lost
    for one in scenario.fault:
        at, lasts, loses_disk = int(one.at), int(one.lasts), one.kind in ("wipe", "seeds", "replace_core")
        core = [name for name in (*one.on, *(one.to if one.kind == "cut" else ())) if name[0] != "p"]
        short_outage = one.kind in ("kill", "power") and lasts <= S
        if not core or short_outage or one.kind in ("clock", "term"):
            continue
        if one.kind in ("seeds", "replace_core"):
            lasts = REPLACEMENT_OVERLAP_US
        if one.after:
            lasts += S  # it waits for its trigger
        loses_one_disk = loses_disk and core != ["core"]
        spans += [(at, at + lasts + RECOVERY_US, loses_disk)] * (
            1 if loses_one_disk or not loses_disk else scenario.core.count
        )
    for number, (since, until, loses_disk) in enumerate(spans):
        overlapping = [
            one for n, one in enumerate(spans) if n != number and one[0] < until and since < one[1]
        ]
        if loses_disk and len(overlapping) >= max(1, scenario.core.tolerance):
            return False
    return True


def mutated(scenario: MeshScenario, rng: random.Random) -> MeshScenario:
    """The scenario with a fault added, dropped or changed; unchanged where that exceeds the tolerance."""
    faults = list(scenario.fault)
    action = rng.choice(("add", "add", "drop", "change")) if faults else "add"
    if action == "add" and len(faults) < MAX_FAULTS:
        added = random_fault(scenario, rng)
        if faults and rng.random() < 0.5:  # shortly after another fault: coinciding faults break most
            at = int(rng.choice(faults).at) + rng.randrange(0, 2 * S, 10 * MS)
            added = msgspec.structs.replace(added, at=Duration(min(at, int(scenario.length) - S)))
        faults.append(added)
    elif action == "drop":
        faults.pop(rng.randrange(len(faults)))
    else:
        index = rng.randrange(len(faults))
        new = random_fault(scenario, rng)
        if rng.random() < 0.5:  # the same fault at another time
            new = msgspec.structs.replace(faults[index], at=new.at)
        faults[index] = new
    candidate = msgspec.structs.replace(scenario, fault=tuple(sorted(faults, key=lambda one: int(one.at))))
    return candidate if within_tolerance(candidate) else scenario


def smaller(scenario: MeshScenario) -> Iterable[MeshScenario]:
    """Variants of the scenario that are smaller by one step, the greatest steps first."""
    replace, faults = msgspec.structs.replace, scenario.fault
    for index in range(len(faults)):
        yield replace(scenario, fault=faults[:index] + faults[index + 1 :])
    last = max((int(one.at) + int(one.lasts) for one in faults), default=0)
    for length in (last + TAIL_US, int(scenario.length) * 3 // 4):
        if S <= length < scenario.length:
            yield replace(scenario, length=Duration(length))
    used = {route.service for route in scenario.route.values()}
    for name in scenario.route:
        if len(scenario.route) > 1:
            yield replace(scenario, route=_without_key(scenario.route, name))
    for name in scenario.service:
        if name not in used and len(scenario.service) > 1:
            yield replace(scenario, service=_without_key(scenario.service, name))
    for name, service in scenario.service.items():
        if service.pilots > 1:
            smaller_service = replace(service, pilots=service.pilots - 1)
            yield replace(scenario, service={**scenario.service, name: smaller_service})
    for name, route in scenario.route.items():
        if route.rate > 1:
            yield replace(
                scenario, route={**scenario.route, name: replace(route, rate=round(route.rate / 2, 3))}
            )
    if scenario.operators.every:
        yield replace(scenario, operators=replace(scenario.operators, every=Duration(0)))
    for index, one in enumerate(faults):
        if one.kind in NEED_DURATION and one.lasts > 200 * MS:
            shorter = replace(one, lasts=Duration(int(one.lasts) // 2 // MS * MS))
            yield replace(scenario, fault=(*faults[:index], shorter, *faults[index + 1 :]))


def _without_key(table: dict[str, Any], name: str) -> dict[str, Any]:
    return {one: value for one, value in table.items() if one != name}
