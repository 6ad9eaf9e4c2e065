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
    CUT = "cut"  # from the other control replicas; a proxy from all of them
    HOLD = "requests held"  # what others send to a proxy, and its answers, are held and arrive late
    DELAY = "delay"  # of all that passes its link
    RESET = "connections reset"


CORE_PROCESS_ACTIONS = (Action.TERMINATE, Action.KILL, Action.WIPE, Action.RELOAD, Action.FREEZE)
PROXY_PROCESS_ACTIONS = (Action.TERMINATE, Action.KILL, Action.RELOAD, Action.FREEZE)
CORE_LINK_ACTIONS = (Action.CUT, Action.DELAY, Action.RESET)
PROXY_LINK_ACTIONS = (Action.CUT, Action.HOLD, Action.DELAY, Action.RESET)
DELAYS_S = (0.02, 0.4)
# How long it lasts: until the restart, until CONT, or until the link is whole again.
DURATIONS_S = {
    Action.TERMINATE: (0.1, 2.0),
    Action.KILL: (0.1, 2.0),
    Action.WIPE: (0.1, 2.0),
    Action.RELOAD: (0.0, 0.0),
    Action.FREEZE: (0.1, 3.0),
    Action.CUT: (0.5, 5.5),
    Action.HOLD: (0.1, 3.0),
    Action.DELAY: (0.5, 4.0),
    Action.RESET: (0.0, 0.0),
}


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One action on one machine, by its number among those of its role."""

    at: float
    action: Action
    is_core: bool
    machine: int
    lasts: float
    delay_s: float = 0.0

    @property
    def ends(self) -> float:
        """When the machine is whole again, as far as the plan goes."""
        return self.at + self.lasts


def draw(seed: int, seconds: float, core: int, proxies: int, links: bool = False) -> list[Disturbance]:
    """The disturbances of a soak of this length, in the order of time.

    `links`: there are links in front of the machines, which are disturbed too.  Without them, a machine whose
    process is gone refuses connections at once.
    """
    rng = random.Random(seed)
    found: list[Disturbance] = []
    at = FIRST_AT_S
    while at < seconds - CALM_END_S:
        if rng.random() < 1 / 3:
            found += _of_core(rng, at, core, found, links)
        else:
            found += _of_proxies(rng, at, proxies, found, links)
        at += rng.uniform(LEAST_GAP_S, GREATEST_GAP_S)
    return sorted((one for one in found if one.ends < seconds - CALM_END_S), key=lambda one: one.at)


def _of_core(
    rng: random.Random, at: float, count: int, before: Sequence[Disturbance], links: bool
) -> Iterator[Disturbance]:
    """One disk may be lost at once: a machine counts as lost until it has settled."""
    if any(one.is_core and at < one.ends + SETTLING_S for one in before):
        return
    action = rng.choice(CORE_PROCESS_ACTIONS + CORE_LINK_ACTIONS if links else CORE_PROCESS_ACTIONS)
    yield _disturbance(rng, at, action, True, rng.randrange(count))


def _of_proxies(
    rng: random.Random, at: float, count: int, before: Sequence[Disturbance], links: bool
) -> Iterator[Disturbance]:
    """One proxy, or a series of them."""
    action = rng.choice(PROXY_PROCESS_ACTIONS + PROXY_LINK_ACTIONS if links else PROXY_PROCESS_ACTIONS)
    busy = {one.machine for one in before if not one.is_core and at < one.ends + RECOVERY_S}
    free = [machine for machine in range(count) if machine not in busy]
    room = int(count * DISTURBED_SHARE) - len(busy)
    chosen = rng.sample(free, max(0, min(len(free), room, count if rng.random() < SERIES_SHARE else 1)))
    for number, machine in enumerate(chosen):
        yield _disturbance(rng, at + number * SERIES_GAP_S, action, False, machine)


def _disturbance(rng: random.Random, at: float, action: Action, is_core: bool, machine: int) -> Disturbance:
    lasts = rng.uniform(*DURATIONS_S[action])
    delay_s = rng.uniform(*DELAYS_S) if action is Action.DELAY else 0.0
    return Disturbance(at, action, is_core, machine, lasts, delay_s)
