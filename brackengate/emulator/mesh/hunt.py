"""Schedules of faults for a mesh: drawn, changed and made smaller."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any, get_args

import msgspec

from brackengate.emulator import report
from brackengate.emulator.loop import MS, S
from brackengate.emulator.mesh.faults import OVERLAP
from brackengate.emulator.mesh.play import MeshRun
from brackengate.emulator.mesh.scenario import (
    LASTING,
    ORDERS,
    STRIKES,
    Fault,
    MeshScenario,
    OrderKinds,
    proxy_count,
)
from brackengate.installation.units import Duration

MOST_FAULTS = 6
KINDS = tuple(kind for kind in STRIKES if kind != "close")
ORDER_KINDS = get_args(OrderKinds)
BY_LOT = ("acker", "lot")  # core machines that are known only when the fault strikes
LONGEST = 8 * S
SETTLING = 4 * S  # a machine that has returned counts as lost for so long
TAIL = 5 * S  # of a scenario, behind its last fault


def features(told: MeshScenario, played: MeshRun) -> frozenset[str]:
    """What a run did, coarsely: ends by route in powers of two, rules, and which faults came together."""
    seen = {f"broken {rule}" for rule in played.rules}
    for name, one in played.summary.classes.items():
        seen |= {f"{name} {end} {one.ends[end].bit_length()}" for end in report.ENDS[1:] if one.ends[end]}
    kinds = sorted({f"{one.kind}{one.after}" for one in told.fault})
    seen |= {f"{one}+{other}" for place, one in enumerate(kinds) for other in kinds[place + 1 :]}
    return frozenset(seen)


def drawn(told: MeshScenario, rng: random.Random) -> Fault:
    """A fault that the scenario allows."""
    allowed = [kind for kind in KINDS if kind != "replace_core" or told.core.spare]
    replace, kind = msgspec.structs.replace, rng.choice(allowed)
    core = [f"l{n}" for n in range(told.core.count)] + ["head", "middle", "tail", *BY_LOT]
    sides = [f"p{n}" for n in range(proxy_count(told))]
    places = (core if "l" in STRIKES[kind] else []) + (sides if "p" in STRIKES[kind] else [])
    on: tuple[str, ...] = (rng.choice(places),) if places else ()
    if kind in ("kill", "freeze", "power") and rng.random() < 0.2:
        on = (rng.choice(("core", "pilots")),)
    length = max(1, int(told.length) - 2 * S)
    made = Fault(
        at=Duration(rng.randrange(0, length, 10 * MS)),
        kind=kind,  # type: ignore[arg-type]
        on=on,
        lasts=Duration(rng.choice((300 * MS, rng.randrange(100 * MS, LONGEST, 10 * MS)))),
        by=Duration(rng.randrange(S, 60 * S, 100 * MS)),
        back=rng.random() < 0.5,
    )
    if kind == "loss":
        made = replace(made, part=round(rng.uniform(0.01, 0.3), 2))
    elif kind == "cut":
        to = rng.choice([(), ("core",), ("pilots",), (rng.choice([one for one in core + sides]),)])
        made = replace(made, to=to, one_way=rng.random() < 0.4)
        if on[0] in core:
            restart = rng.choice(("", "", "others", "both"))
            made = replace(made, seeds_first=rng.random() < 0.3, restart=restart)
    elif kind in ("ack_lost", "reset_conns"):
        made = replace(made, part=round(rng.uniform(0.3, 0.9), 2))
    elif kind == "replace_core":
        made = replace(made, planned=rng.random() < 0.5, lasts=Duration(S))
    elif kind in ORDERS:
        made = replace(made, order=rng.choice(ORDER_KINDS), count=rng.randrange(1, 4))
    elif kind in ("kill", "power", "wipe") and on[0] in core and rng.random() < 0.4:
        made = replace(made, after=rng.choice(("sync", "ack", "sent", "sent")))
    return made


def within_tolerance(told: MeshScenario) -> bool:
    """Whether every rule has to hold: no more of the core is lost with its disk than `tolerance` says.

    Guards against finds that are none.  Beside a lost disk, until it is back and has settled, others of the
    core may only be killed or lose their power for a second.
    """
    spans: list[tuple[int, int, bool]] = []  # whether a disk goes
    for one in told.fault:
        at, lasts, disk = int(one.at), int(one.lasts), one.kind in ("wipe", "seeds", "replace_core")
        core = [name for name in (*one.on, *(one.to if one.kind == "cut" else ())) if name[0] != "p"]
        brief = one.kind in ("kill", "power") and lasts <= S
        if not core or brief or one.kind in ("clock", "term"):
            continue
        if one.kind in ("seeds", "replace_core"):
            lasts = OVERLAP
        if one.after:
            lasts += S  # it waits for its moment
        disks = disk and core != ["core"]
        spans += [(at, at + lasts + SETTLING, disk)] * (1 if disks or not disk else told.core.count)
    for number, (since, until, disk) in enumerate(spans):
        meet = [one for n, one in enumerate(spans) if n != number and one[0] < until and since < one[1]]
        if disk and len(meet) >= max(1, told.core.tolerance):
            return False
    return True


def mutated(told: MeshScenario, rng: random.Random) -> MeshScenario:
    """One fault more, one less, or one changed; as it is where that would be too much."""
    found = list(told.fault)
    what = rng.choice(("add", "add", "drop", "change")) if found else "add"
    if what == "add" and len(found) < MOST_FAULTS:
        near = drawn(told, rng)
        if found and rng.random() < 0.5:  # close behind another one: what comes together hurts most
            at = int(rng.choice(found).at) + rng.randrange(0, 2 * S, 10 * MS)
            near = msgspec.structs.replace(near, at=Duration(min(at, int(told.length) - S)))
        found.append(near)
    elif what == "drop":
        found.pop(rng.randrange(len(found)))
    else:
        place = rng.randrange(len(found))
        new = drawn(told, rng)
        if rng.random() < 0.5:  # the same at another time
            new = msgspec.structs.replace(found[place], at=new.at)
        found[place] = new
    made = msgspec.structs.replace(told, fault=tuple(sorted(found, key=lambda one: int(one.at))))
    return made if within_tolerance(made) else told


def smaller(told: MeshScenario) -> Iterable[MeshScenario]:
    """What is a little less of the same, the greatest steps first."""
    replace, found = msgspec.structs.replace, told.fault
    for place in range(len(found)):
        yield replace(told, fault=found[:place] + found[place + 1 :])
    last = max((int(one.at) + int(one.lasts) for one in found), default=0)
    for length in (last + TAIL, int(told.length) * 3 // 4):
        if S <= length < told.length:
            yield replace(told, length=Duration(length))
    used = {route.service for route in told.route.values()}
    for name in told.route:
        if len(told.route) > 1:
            yield replace(told, route=_without(told.route, name))
    for name in told.service:
        if name not in used and len(told.service) > 1:
            yield replace(told, service=_without(told.service, name))
    for name, service in told.service.items():
        if service.pilots > 1:
            less = replace(service, pilots=service.pilots - 1)
            yield replace(told, service={**told.service, name: less})
    for name, route in told.route.items():
        if route.rate > 1:
            yield replace(told, route={**told.route, name: replace(route, rate=round(route.rate / 2, 3))})
    if told.operators.every:
        yield replace(told, operators=replace(told.operators, every=Duration(0)))
    for place, one in enumerate(found):
        if one.kind in LASTING and one.lasts > 200 * MS:
            shorter = replace(one, lasts=Duration(int(one.lasts) // 2 // MS * MS))
            yield replace(told, fault=(*found[:place], shorter, *found[place + 1 :]))


def _without(table: dict[str, Any], name: str) -> dict[str, Any]:
    return {one: held for one, held in table.items() if one != name}
