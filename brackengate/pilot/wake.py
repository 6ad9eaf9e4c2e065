"""What a pilot decided of its latest requests, told when an operator asks.  Pure.

Kept as bare tuples in bounded queues and written out only on demand: a few microseconds a request, and some
hundred bytes each.  Those that took more than one upstream, or were not served by any, are kept for longer.
Times are microseconds of the pilot's clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from brackengate.interface import Outcome, Request
from brackengate.pilot.hop import ATTEMPT, Said

MOST, MOST_ODD = 512, 512  # requests; odd ones
MOST_OPEN = 4096  # that have no answer yet: one whose caller leaves before its body is whole has no end
ID = ATTEMPT.lower()
OUT = "no answer by then"
SERVED = 200  # as the node says it: an upstream's answer went back, whatever its status

Step = tuple[int, int, str, Outcome | None, int]  # number, when sent, upstream, outcome, how long it took


Visit = tuple[bytes, int, int, str, str, bytes, Said, str]


@dataclass(slots=True, eq=False)
class Trace:
    """One request at the way out."""

    attempt: bytes
    at: int
    route: str
    service: str
    limit: int  # the time that it had
    why: str = ""
    steps: list[Step] = field(default_factory=list)  # what has become of its attempts so far
    status: int | None = None  # None: no answer yet; 0: its caller has gone
    took: int = 0


class Wake:
    """`observer.Observer` of the way out's nodes, and told of each visit at the gate."""

    def __init__(self, most: int = MOST, odd: int = MOST_ODD) -> None:
        self._out: deque[Trace] = deque(maxlen=most)
        self._odd: deque[Trace] = deque(maxlen=odd)
        self._open: dict[str, Trace] = {}
        self._gate: deque[Visit] = deque(maxlen=most)
        self._gate_odd: deque[Visit] = deque(maxlen=odd)

    # --- the way out

    def begins(self, request: str, attempt: bytes, at: int, route: str, service: str, limit: int) -> None:
        """A request is about to be handed to the service's node.  `limit`: the time that it has."""
        trace = self._open[request] = Trace(attempt, at, route, service, limit)
        self._out.append(trace)
        if len(self._open) > MOST_OPEN:
            del self._open[next(iter(self._open))]

    def turned_away(self, attempt: bytes, at: int, status: int, why: str) -> None:
        self._odd.append(Trace(attempt, at, "", "", 0, why, status=status))

    def serving_changed(self, now: bool) -> None:
        pass

    def request_started(self, request: Request, at: int) -> None:
        pass

    def attempt_began(self, request: Request, number: int, upstream: str, at: int) -> None:
        trace = self._open.get(request.request)
        if trace is not None:
            trace.steps.append((number, at, upstream, None, 0))

    def attempt_written(self, request: Request, number: int, upstream: str) -> None:
        pass

    def attempt_ended(
        self, request: Request, number: int, upstream: str, outcome: Outcome, latency: int
    ) -> None:
        trace = self._open.get(request.request)
        if trace is not None:
            trace.steps[number] = (number, trace.steps[number][1], upstream, outcome, latency)

    def request_ended(self, request: Request, status: int, began: int, at: int) -> None:
        trace = self._open.pop(request.request, None)
        if trace is not None:
            trace.status, trace.took = status, at - began
            if status != SERVED or len(trace.steps) > 1:
                self._odd.append(trace)

    # --- the gate

    def visited(
        self, attempt: bytes, at: int, took: int, route: str, upstream: str, key: bytes, said: Said, why: str
    ) -> None:
        """The gate has answered: what it said, and why.  `upstream`: the life that was asked for."""
        visit = (attempt, at, took, route, upstream, key, said, why)
        self._gate.append(visit)
        if said is not Said.RAN:
            self._gate_odd.append(visit)

    # --- told

    def about(self, attempt: str) -> tuple[dict[str, Any], ...]:
        """All that is known of an attempt, the oldest first; times in milliseconds."""
        wanted = attempt.encode("latin-1", "replace")
        out = {id(one): _told(one) for one in (*self._odd, *self._out) if one.attempt == wanted}
        gate = {id(one): _visit(one) for one in (*self._gate_odd, *self._gate) if one[0] == wanted}
        return tuple(sorted((*out.values(), *gate.values()), key=lambda one: one["at"]))


def _told(one: Trace) -> dict[str, Any]:
    steps = [
        {
            "upstream": upstream,
            "after_ms": (at - one.at) / 1000,
            "took_ms": took / 1000,
            "outcome": outcome.value if outcome is not None else OUT,
        }
        for _, at, upstream, outcome, took in one.steps
    ]
    return {
        "hop": "out",
        "at": one.at,
        "route": one.route,
        "service": one.service,
        "limit_ms": one.limit / 1000,
        "steps": steps,
        "status": one.status,
        "took_ms": one.took / 1000,
        "why": one.why,
    }


def _visit(one: Visit) -> dict[str, Any]:
    _, at, took, route, upstream, key, said, why = one
    return {
        "hop": "gate",
        "at": at,
        "route": route,
        "upstream": upstream,
        "key": key.decode("latin-1"),
        "said": said.value.decode(),
        "why": why,
        "took_ms": took / 1000,
    }
