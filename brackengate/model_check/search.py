"""Breadth-first search, so that the first violation that it finds has the shortest history.  Pure except for
the clock that it is given."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brackengate.model_check.model import Event, Model, State


@dataclass(frozen=True)
class Limits:
    """Limits at which a search stops."""

    depth: int = 10_000
    states: int = 10_000_000
    seconds: float = 3600.0


@dataclass
class SearchResult:
    """Counts of a search, and the first violation with its history if one was found."""

    states: int = 0
    steps: int = 0  # events executed
    beyond_bounds: int = 0  # of these, rejected by the bounds
    depth: int = 0  # events up to the furthest state
    layers: list[int] = field(default_factory=list)  # states by depth
    machine_states: int = 0  # states of single machines
    seconds: float = 0.0
    stopped: str = ""  # the limit that stopped it; empty: every state within the bounds was visited
    breach: str = ""
    history: tuple[Event, ...] = ()


def search(
    model: Model,
    limits: Limits,
    clock: Callable[[], float],
    on_layer_done: Callable[[SearchResult], None] | None = None,
) -> SearchResult:
    """Visits all states within the bounds, up to the first violation or limit."""
    begun, found = clock(), SearchResult()
    first = model.start()
    predecessors: dict[State, tuple[State, Event] | None] = {first: None}
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
            if len(predecessors) > limits.states:
                found.stopped = "states"
                break
            for event, new, breach in model.steps(state):
                found.steps += 1
                if breach:
                    found.breach, found.history = breach, (*_history(predecessors, state), event)
                    break
                if new is None:
                    found.beyond_bounds += 1
                elif new not in predecessors:
                    predecessors[new] = (state, event)
                    after.append(new)
            if found.breach:
                break
        layer = after
        found.states, found.machine_states, found.seconds = (
            len(predecessors),
            len(model.machines),
            clock() - begun,
        )
        if on_layer_done is not None:
            on_layer_done(found)
    found.states, found.machine_states, found.seconds = (
        len(predecessors),
        len(model.machines),
        clock() - begun,
    )
    return found


def _history(predecessors: dict[State, tuple[State, Event] | None], state: State) -> tuple[Event, ...]:
    events: list[Event] = []
    step = predecessors[state]
    while step is not None:
        events.append(step[1])
        step = predecessors[step[0]]
    return tuple(reversed(events))
