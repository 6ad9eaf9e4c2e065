"""Looks for the schedules of faults that hurt most, and makes one that breaks a rule as small as it gets.

Everything is drawn from one seed, so a hunt gives the same find again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from brackengate.emulator import report
from brackengate.emulator.loop import MS, S
from brackengate.emulator.play import Played, play
from brackengate.emulator.scenario import LASTING, ON, Fault, Scenario, faults_of
from brackengate.installation.units import Duration, Size

MOST_FAULTS = 6
KEPT = 6  # schedules that are gone on from
NOVEL, NOVEL_KEPT = 0.3, 20  # part of the runs that go on from what did something new, of the latest such
KINDS = tuple(ON)


@dataclass(frozen=True, slots=True, order=True)
class Score:
    """The more the worse: rules broken first, then the part of the worth that was lost."""

    broken: int
    lost: float
    rules: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Game:
    """A kind of scenario, as playing, search and shrinking need it."""

    play: Callable[[Any, int], Any]
    faults_of: Callable[[Any], list[Any]]
    mutated: Callable[[Any, random.Random], Any]
    features: Callable[[Any, Any], frozenset[str]]
    smaller: Callable[[Any], Iterable[Any]]


def game(told: Any) -> Game:
    """An installation's, or the mesh's."""
    if isinstance(told, Scenario):
        return Game(play, faults_of, mutated, features, smaller)
    from brackengate.emulator.mesh import hunt, scenario
    from brackengate.emulator.mesh.play import play as play_mesh

    return Game(play_mesh, scenario.validation_errors, hunt.mutated, hunt.features, hunt.smaller)


def judge(told: Any, seed: int) -> tuple[Score, Any]:
    """Play it once."""
    played = game(told).play(told, seed)
    return Score(played.breaches, round(1 - played.worth, 6), played.rules), played


def same_rules(rules: Iterable[str]) -> Callable[[Score, Any], bool]:
    """Whether one of these is still broken."""
    wanted = set(rules)
    return lambda score, played: bool(wanted & set(score.rules))


def features(told: Scenario, played: Played) -> frozenset[str]:
    """What a run did, coarsely: ends by class in powers of two, rules, and which faults came together."""
    seen = {f"broken {rule}" for rule in played.rules}
    for name, one in played.summary.classes.items():
        seen |= {f"{name} {end} {one.ends[end].bit_length()}" for end in report.ENDS[1:] if one.ends[end]}
    kinds = sorted({one.kind for one in told.fault})
    seen |= {f"{one}+{other}" for place, one in enumerate(kinds) for other in kinds[place + 1 :]}
    return frozenset(seen)


# --- search


def drawn(told: Scenario, rng: random.Random) -> Fault:
    """A fault that the scenario allows."""
    without = set() if told.cells.count else {"move"}
    without |= set() if len(told.zones) > 1 else {"partition"}
    kind = rng.choice([one for one in KINDS if one not in without])
    zone = rng.choice(told.zones) if kind in ("zone", "partition") else ""
    others = [one for one in told.zones if one != zone]
    to = rng.choice(["", *others]) if kind == "partition" else ""
    if kind == "move":
        to = f"c{rng.randrange(told.cells.count)}"
    dealer = rng.choice(["", f"d{rng.randrange(told.clients.dealers)}"]) if kind == "flood" else ""
    lasts = rng.randrange(500 * MS, 8 * S, 100 * MS) if kind in (*LASTING, "release") else 0
    return Fault(
        at=Duration(rng.randrange(0, max(1, int(told.length) - S), 100 * MS)),
        kind=kind,  # type: ignore[arg-type]
        on=rng.choice(ON[kind]),  # type: ignore[arg-type]
        part=round(rng.uniform(0.01, 0.1) if kind == "loss" else rng.uniform(0.05, 0.6), 2),
        lasts=Duration(lasts),
        zone=zone,
        to=to,
        times=round(rng.uniform(1.5, 5.0), 1),
        errors=round(rng.uniform(0.1, 1.0), 1),
        step=round(rng.uniform(0.1, 0.5), 2),
        by=Duration(rng.randrange(100 * MS, 20 * S, 100 * MS)),
        back=rng.random() < 0.5,
        dealer=dealer or ("d0" if kind == "move" else ""),
    )


def mutated(told: Scenario, rng: random.Random) -> Scenario:
    """One fault more, one less, or one changed."""
    found = list(told.fault)
    what = rng.choice(("add", "drop", "change", "change")) if found else "add"
    if what == "add" and len(found) < MOST_FAULTS:
        found.append(drawn(told, rng))
    elif what == "drop":
        found.pop(rng.randrange(len(found)))
    else:
        place = rng.randrange(len(found))
        new = drawn(told, rng)
        if rng.random() < 0.5:  # the same at another time
            new = msgspec.structs.replace(found[place], at=new.at)
        found[place] = new
    return msgspec.structs.replace(told, fault=tuple(sorted(found, key=lambda one: int(one.at))))


def search(
    told: Any,
    seed: int,
    runs: int,
    heard: Callable[[int, Any, Score], None] = lambda run, worst, score: None,
    kinds: dict[tuple[str, ...], Any] | None = None,
) -> tuple[Any, Score]:
    """The worst schedule of `runs` that were played, the scenario's own among them.

    Gone on from are the worst, and those that did what none before them had done.  `heard` is told after each
    of the worst so far: what was found outlasts a stop.  `kinds` gets the first of each kind of breach.
    """
    rng = random.Random(f"{seed}/search")
    kind, (score, played) = game(told), judge(told, seed)
    kept, seen, novel = [(score, told)], set(kind.features(told, played)), [told]
    kinds = {} if kinds is None else kinds
    for run in range(1, runs):
        if rng.random() < NOVEL:
            parent = rng.choice(novel)
        else:
            parent = kept[min(len(kept) - 1, int(rng.expovariate(1.0)))][1]  # mostly from the worst
        child = kind.mutated(parent, rng)
        if kind.faults_of(child):
            continue
        score, played = judge(child, seed)
        if score.rules:
            kinds.setdefault(score.rules, child)
        new = kind.features(child, played) - seen
        if new:
            seen |= new
            novel = [*novel, child][-NOVEL_KEPT:]
        kept.append((score, child))
        kept.sort(key=lambda one: one[0], reverse=True)
        del kept[KEPT:]
        heard(run, kept[0][1], kept[0][0])
    return kept[0][1], kept[0][0]


# --- shrinking


def smaller(told: Scenario) -> Iterable[Scenario]:
    """What is a little less of the same, the greatest steps first."""
    replace, found = msgspec.structs.replace, told.fault
    for place in range(len(found)):
        yield replace(told, fault=found[:place] + found[place + 1 :])
    last = max((int(one.at) + int(one.lasts) for one in found), default=0)
    for length in (last + 2 * S, int(told.length) * 3 // 4):
        if S <= length < told.length:
            yield replace(told, length=Duration(length))
    if told.balancers.count > 1:
        yield replace(told, balancers=replace(told.balancers, count=told.balancers.count // 2))
    if told.upstreams.count > 1:
        yield replace(told, upstreams=replace(told.upstreams, count=told.upstreams.count // 2))
    if told.clients.rate > 1:
        yield replace(told, clients=replace(told.clients, rate=round(told.clients.rate / 2, 3)))
    for name in told.class_:
        if len(told.class_) > 1:
            yield replace(told, class_={one: kind for one, kind in told.class_.items() if one != name})
    for place, one in enumerate(found):
        for less in (
            replace(one, part=round(one.part / 2, 3)) if one.part > 0.02 else one,
            replace(one, lasts=Duration(int(one.lasts) // 2)) if one.lasts > 200 * MS else one,
        ):
            if less != one:
                yield replace(told, fault=(*found[:place], less, *found[place + 1 :]))


def shrink(
    told: Any,
    seed: int,
    still: Callable[[Score, Any], bool],
    most: int = 400,
    heard: Callable[[int, Any], None] = lambda run, least: None,
) -> tuple[Any, int]:
    """The smallest that `still` shows it, by steps that each do, and how many runs that took.

    `heard` is told of each step that held.
    """
    runs, kind = 0, game(told)
    while True:
        for less in kind.smaller(told):
            if kind.faults_of(less):
                continue
            if runs >= most:
                return told, runs
            runs += 1
            if still(*judge(less, seed)):
                told = less
                heard(runs, told)
                break
        else:
            return told, runs


def plain(value: Any) -> Any:
    """A section as tables, with units as the file has them; what stands at its default is left out."""
    if isinstance(value, msgspec.Struct):
        made = {}
        for field in msgspec.structs.fields(value):
            got = getattr(value, field.name)
            if field.required or got != field.default:
                made[field.encode_name] = plain(got)
        return made
    if isinstance(value, dict):
        return {name: plain(one) for name, one in value.items()}
    if isinstance(value, tuple):
        return [plain(one) for one in value]
    return str(value) if isinstance(value, Duration | Size) else value
