"""What goes wrong, when the scenario says so."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import TypeVar

from brackengate.emulator.instance import Instance
from brackengate.emulator.loop import MS, S
from brackengate.emulator.scenario import ON, Fault
from brackengate.emulator.world import Tier, World
from brackengate.interface import Lifecycle

T = TypeVar("T")
DOWN = 500 * MS  # between the end of an instance or upstream that is replaced and its successor's start
STEP = 1 * S  # between two steps of a roll, once the one before has come back


def schedule(world: World) -> None:
    """Set all faults of the scenario on the world's loop."""
    for number, fault in enumerate(world.told.fault):
        rng = random.Random(f"{world.seed}/fault/{number}")
        world.loop.at(int(fault.at), partial(_strike, world, fault, rng))


def _some(of: Sequence[T], part: float, rng: random.Random) -> list[T]:
    return rng.sample(list(of), min(len(of), max(1, round(part * len(of)))))


def _strike(world: World, fault: Fault, rng: random.Random) -> None:
    on = fault.on or ON[fault.kind][0]
    world.trace("fault", fault.kind, on)
    KINDS[fault.kind](world, fault, on, rng)


def _upstreams(world: World, fault: Fault, rng: random.Random) -> list[str]:
    """Some of each tier."""
    return [name for tier in world.tiers for name in _of(tier, fault, rng)]


def _of(tier: Tier, fault: Fault, rng: random.Random) -> list[str]:
    """Some of a tier, or of a cell's there."""
    names = [name for name in tier.backends if fault.cell in ("", tier.kinds(name))]
    return _some(names, fault.part, rng) if names else []


def _kill(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    if on == "balancers":
        _kill_balancers(world, _some(world.instances, fault.part, rng), int(fault.lasts))
    else:
        _kill_upstreams(world, _upstreams(world, fault, rng), int(fault.lasts))


def _zone(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    lasts = int(fault.lasts)
    _kill_balancers(world, [one for one in world.instances if one.zone == fault.zone], lasts)
    names = [n for tier in world.tiers for n, b in tier.backends.items() if b.model.zone == fault.zone]
    _kill_upstreams(world, names, lasts)


def _roll(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    if on == "balancers":
        _roll_balancers(world, _some(world.instances, fault.part, rng), fault.step)
        return
    for tier in world.tiers:
        _roll_upstreams(world, tier, _of(tier, fault, rng), fault, lambda name: None)


def _release(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    """A roll into a build that errs and is slow; after `lasts` those that have it are rolled back."""
    tier, bad = world.tiers[0], list[str]()

    def worse(name: str) -> None:
        model = tier.backends[name].model
        model.errors, model.slow = fault.errors, fault.times
        bad.append(name)

    def better(name: str) -> None:
        tier.backends[name].model.errors, tier.backends[name].model.slow = 0.0, 1.0

    names = _of(tier, fault, rng)
    rolling = _roll_upstreams(world, tier, names, fault, worse)

    def back() -> None:
        rolling.clear()
        world.trace("fault", "rolled back", "upstreams")
        _roll_upstreams(world, tier, bad, fault, better)

    world.loop.after(int(fault.lasts), back)


def _partition(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    if fault.to:
        cuts = [(fault.zone, fault.to)]
    else:
        others = [zone for zone in world.told.zones if zone != fault.zone]
        cuts = [pair for other in others for pair in ((fault.zone, other), (other, fault.zone))]
    for pair in cuts:
        world.net.set_cut(*pair, on=True)
        world.loop.after(int(fault.lasts), partial(world.net.set_cut, *pair, on=False))


def _loss(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    before = world.net.loss
    world.net.loss = 1 - (1 - before) * (1 - min(fault.part, 0.9))

    def less() -> None:
        world.net.loss = max(0.0, 1 - (1 - world.net.loss) / (1 - min(fault.part, 0.9)))
        if world.net.loss < 1e-9:
            world.net.loss = 0.0

    world.loop.after(int(fault.lasts), less)


def _reset(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    for instance in world.instances:
        if instance.alive:
            instance.break_some(on == "upstreams", fault.part, rng)


def _slow(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    for name in _upstreams(world, fault, rng):
        model = world.tier_of(name).backends[name].model
        model.slow *= fault.times
        world.loop.after(int(fault.lasts), partial(_faster, model, fault.times))


def _faster(model: object, times: float) -> None:
    model.slow = max(1.0, model.slow / times)  # type: ignore[attr-defined]


def _silent(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    for name in _upstreams(world, fault, rng):
        model = world.tier_of(name).backends[name].model
        model.silent = True
        world.loop.after(int(fault.lasts), partial(setattr, model, "silent", False))


def _flap(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    """Down for half of each turn, and cold again in the other half."""
    names, every = _upstreams(world, fault, rng), int(fault.every)
    for at in range(0, max(1, int(fault.lasts)), every):
        world.loop.after(at, partial(_kill_upstreams, world, names, every // 2))


def _clock(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    """Processes that run do not see a step: it counts from the next start of each."""
    off = -int(fault.by) if fault.back else int(fault.by)
    if on == "balancers":
        for instance in _some(world.instances, fault.part, rng):
            instance.off += off
    else:
        for name in _upstreams(world, fault, rng):
            world.offs[name] = world.offs.get(name, 0) + off


def _late(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    for tier in world.tiers:
        tier.late += int(fault.by)
        world.loop.after(int(fault.lasts), partial(_sooner, tier, int(fault.by)))


def _sooner(tier: Tier, by: int) -> None:
    tier.late -= by


def _stale(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    """Some balancers hear nothing, neither changes nor a list; then they get the whole list."""
    for instance in _some(world.instances, fault.part, rng):
        instance.deaf = True
        world.loop.after(int(fault.lasts), partial(_hears_again, world, instance))


def _hears_again(world: World, instance: Instance) -> None:
    instance.deaf = False
    if instance.alive:
        world.tiers[0].first_list(instance)


def _wrong(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    """Discovery says of some that they have gone, and they serve."""
    tier = world.tiers[0]
    names = _some(list(tier.backends), fault.part, rng)
    tier.hidden |= set(names)
    for name in names:
        tier.tell(name)
        world.loop.after(int(fault.lasts), partial(_shown, tier, name))


def _shown(tier: Tier, name: str) -> None:
    tier.hidden.discard(name)
    tier.tell(name)


def _flood(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    dealers = world.callers.dealers
    dealers.flood(fault.dealer, fault.times)
    world.loop.after(int(fault.lasts), partial(dealers.flood, fault.dealer, 1 / fault.times))


def _move(world: World, fault: Fault, on: str, rng: random.Random) -> None:
    world.move(fault.dealer, fault.to)


KINDS: dict[str, Callable[[World, Fault, str, random.Random], None]] = {
    "kill": _kill,
    "roll": _roll,
    "release": _release,
    "zone": _zone,
    "partition": _partition,
    "loss": _loss,
    "reset": _reset,
    "slow": _slow,
    "silent": _silent,
    "flap": _flap,
    "clock": _clock,
    "late": _late,
    "stale": _stale,
    "wrong": _wrong,
    "flood": _flood,
    "move": _move,
}


def _kill_balancers(world: World, struck: Sequence[Instance], lasts: int) -> None:
    for instance in struck:
        instance.kill()
        world.loop.after(int(world.told.clients.notice), partial(world.unoffer, instance))
        if lasts:
            world.loop.after(lasts, partial(world.begin, instance))


def _kill_upstreams(world: World, names: Sequence[str], lasts: int) -> None:
    for name in names:
        tier = world.tier_of(name)
        tier.kill(name)
        tier.publish(tier.row(name, Lifecycle.GONE))
        if lasts:
            world.loop.after(lasts, partial(tier.start, name))


def _roll_balancers(world: World, struck: Sequence[Instance], step: float) -> None:
    """So many at once; the next when these are back."""
    if not struck:
        return
    count = max(1, round(step * len(world.instances)))
    batch, rest = struck[:count], struck[count:]
    waits = len(batch)

    def back(instance: Instance) -> None:
        nonlocal waits
        world.begin(instance)
        waits -= 1
        if not waits:
            world.loop.after(STEP, partial(_roll_balancers, world, rest, step))

    for instance in batch:
        if instance.alive:
            instance.stop(partial(world.loop.after, DOWN, partial(back, instance)))
        else:
            world.loop.after(DOWN, partial(back, instance))


def _roll_upstreams(
    world: World, tier: Tier, names: Sequence[str], fault: Fault, started: Callable[[str], None]
) -> list[str]:
    """So many at once, each told to leave first; what it gives are those still to come."""
    count = max(1, round(fault.step * len(tier.backends)))
    rest = list(names)

    def next_batch() -> None:
        batch = [rest.pop(0) for _ in range(min(count, len(rest)))]
        for name in batch:
            tier.publish(tier.row(name, Lifecycle.DRAINING))
            world.loop.after(int(fault.drain), partial(leaves, name))
            world.loop.after(int(fault.drain) + DOWN, partial(starts, name))
        if rest:
            world.loop.after(int(fault.drain) + DOWN + STEP, next_batch)

    def leaves(name: str) -> None:
        tier.kill(name)
        tier.publish(tier.row(name, Lifecycle.GONE))

    def starts(name: str) -> None:
        tier.start(name)
        started(name)

    next_batch()
    return rest
