"""The search: breadth first, so that the first breach that it finds has the shortest history.  Pure but for
the clock that it is handed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brackengate.model_check.model import Event, Model, State


@dataclass(frozen=True)
class Limits:
    depth: int = 10_000
    states: int = 10_000_000
    seconds: float = 3600.0


@dataclass
class Found:
    states: int = 0
    steps: int = 0  # events that were tried
    cut: int = 0  # of these, turned away by the bounds
    depth: int = 0  # events to the furthest state
    layers: list[int] = field(default_factory=list)  # states by depth
    vessels: int = 0  # states of single machines
    seconds: float = 0.0
    stopped: str = ""  # by which limit; empty: all within the bounds was seen
    breach: str = ""
    history: tuple[Event, ...] = ()


def search(
    model: Model, limits: Limits, clock: Callable[[], float], heard: Callable[[Found], None] | None = None
) -> Found:
    """All states within the bounds, or up to the first breach or limit."""
    begun, found = clock(), Found()
    first = model.start()
    came: dict[State, tuple[State, Event] | None] = {first: None}
    layer = [first]
    while layer and not found.breach and not found.stopped:
        found.layers.append(len(layer))
        found.depth = len(found.layers) - 1
        if found.depth >= limits.depth:
            found.stopped = "depth"
            break
        after: list[State] = []
        for n, state in enumerate(layer):
            if n % 256 == 0 and clock() - begun > limits.seconds:
                found.stopped = "seconds"
                break
            if len(came) > limits.states:
                found.stopped = "states"
                break
            for event, new, breach in model.steps(state):
                found.steps += 1
                if breach:
                    found.breach, found.history = breach, (*_history(came, state), event)
                    break
                if new is None:
                    found.cut += 1
                elif new not in came:
                    came[new] = (state, event)
                    after.append(new)
            if found.breach:
                break
        layer = after
        found.states, found.vessels, found.seconds = len(came), len(model.vessels), clock() - begun
        if heard is not None:
            heard(found)
    found.states, found.vessels, found.seconds = len(came), len(model.vessels), clock() - begun
    return found


def _history(came: dict[State, tuple[State, Event] | None], state: State) -> tuple[Event, ...]:
    events: list[Event] = []
    step = came[state]
    while step is not None:
        events.append(step[1])
        step = came[step[0]]
    return tuple(reversed(events))
