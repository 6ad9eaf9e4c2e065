"""What a soak does to the machines and when, drawn from a seed.  Pure; times are seconds from its start."""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

SETTLING_S = 4.0  # between the end of one disturbance of the core and the next one
FIRST_AT_S = 1.0
CALM_END_S = 10.0  # without disturbances, so that all machines are in touch when the rest is judged
RECOVERY_S = 4.0  # after a disturbance of a proxy, before the next one of the same
DISTURBED_SHARE = 0.5  # of the proxies, at once
LEAST_GAP_S, GREATEST_GAP_S = 0.05, 1.0  # between two disturbances
SERIES_SHARE = 0.3  # of the disturbances are a series: one proxy after the other gets the same signal
SERIES_GAP_S = 0.3


class Action(Enum):
    """What happens to a machine; the value is how it is reported."""

    TERMINATE = "TERM"  # and it is started again after its end
    KILL = "KILL"  # and it is started again
    WIPE = "KILL, disk lost"  # and it is started again with an empty disk
    RELOAD = "HUP"
    FREEZE = "STOP, CONT"


CORE_ACTIONS = tuple(Action)
PROXY_ACTIONS = (Action.TERMINATE, Action.KILL, Action.RELOAD, Action.FREEZE)
# How long it lasts: until the restart, or until CONT.
DURATIONS_S = {
    Action.TERMINATE: (0.1, 2.0),
    Action.KILL: (0.1, 2.0),
    Action.WIPE: (0.1, 2.0),
    Action.RELOAD: (0.0, 0.0),
    Action.FREEZE: (0.1, 3.0),
}


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One action on one machine, by its number among those of its role."""

    at: float
    action: Action
    is_core: bool
    machine: int
    lasts: float

    @property
    def ends(self) -> float:
        """When the machine is whole again, as far as the plan goes."""
        return self.at + self.lasts


def draw(seed: int, seconds: float, core: int, proxies: int) -> list[Disturbance]:
    """The disturbances of a soak of this length, in the order of time."""
    rng = random.Random(seed)
    found: list[Disturbance] = []
    at = FIRST_AT_S
    while at < seconds - CALM_END_S:
        if rng.random() < 1 / 3:
            found += _of_core(rng, at, core, found)
        else:
            found += _of_proxies(rng, at, proxies, found)
        at += rng.uniform(LEAST_GAP_S, GREATEST_GAP_S)
    return sorted((one for one in found if one.ends < seconds - CALM_END_S), key=lambda one: one.at)


def _of_core(
    rng: random.Random, at: float, count: int, before: Sequence[Disturbance]
) -> Iterator[Disturbance]:
    """One disk may be lost at once: a machine counts as lost until it has settled."""
    if any(one.is_core and at < one.ends + SETTLING_S for one in before):
        return
    action = rng.choice(CORE_ACTIONS)
    yield Disturbance(at, action, True, rng.randrange(count), rng.uniform(*DURATIONS_S[action]))


def _of_proxies(
    rng: random.Random, at: float, count: int, before: Sequence[Disturbance]
) -> Iterator[Disturbance]:
    """One proxy, or a series of them."""
    action = rng.choice(PROXY_ACTIONS)
    busy = {one.machine for one in before if not one.is_core and at < one.ends + RECOVERY_S}
    free = [machine for machine in range(count) if machine not in busy]
    room = int(count * DISTURBED_SHARE) - len(busy)
    chosen = rng.sample(free, max(0, min(len(free), room, count if rng.random() < SERIES_SHARE else 1)))
    for number, machine in enumerate(chosen):
        begin = at + number * SERIES_GAP_S
        yield Disturbance(begin, action, False, machine, rng.uniform(*DURATIONS_S[action]))
