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
from brackengate.proxy.hop_headers import ATTEMPT_ID, HopOutcome

MAX_REQUESTS, MAX_UNUSUAL = 512, 512  # requests; odd ones
MAX_OPEN = 4096  # that have no answer yet: one whose caller leaves before its body is whole has no end
ATTEMPT_ID_FIELD = ATTEMPT_ID.lower()
NO_ANSWER_YET = "no answer by then"
SERVED = 200  # as the node says it: an upstream's answer went back, whatever its status

AttemptRecord = tuple[
    int, int, str, Outcome | None, int
]  # number, when sent, upstream, outcome, how long it took


IngressRecord = tuple[bytes, int, int, str, str, bytes, HopOutcome, str]


@dataclass(slots=True, eq=False)
class EgressRecord:
    """One request at the way out."""

    attempt: bytes
    at: int
    route: str
    service: str
    limit: int  # the time that it had
    reason: str = ""
    attempts: list[AttemptRecord] = field(default_factory=list)  # what has become of its attempts so far
    status: int | None = None  # None: no answer yet; 0: its caller has gone
    took: int = 0


class RequestLog:
    """`observer.Observer` of the way out's nodes, and told of each visit at the gate."""

    def __init__(self, max_requests: int = MAX_REQUESTS, max_unusual: int = MAX_UNUSUAL) -> None:
        self._egress: deque[EgressRecord] = deque(maxlen=max_requests)
        self._egress_unusual: deque[EgressRecord] = deque(maxlen=max_unusual)
        self._open: dict[str, EgressRecord] = {}
        self._ingress: deque[IngressRecord] = deque(maxlen=max_requests)
        self._ingress_unusual: deque[IngressRecord] = deque(maxlen=max_unusual)

    # --- the way out

    def record_request(
        self, request: str, attempt: bytes, at: int, route: str, service: str, limit: int
    ) -> None:
        """A request is about to be handed to the service's node.  `limit`: the time that it has."""
        record = self._open[request] = EgressRecord(attempt, at, route, service, limit)
        self._egress.append(record)
        if len(self._open) > MAX_OPEN:
            del self._open[next(iter(self._open))]

    def record_rejection(self, attempt: bytes, at: int, status: int, reason: str) -> None:
        self._egress_unusual.append(EgressRecord(attempt, at, "", "", 0, reason, status=status))

    def serving(self, now: bool) -> None:
        pass

    def taken(self, request: Request, at: int) -> None:
        pass

    def attempt_began(self, request: Request, number: int, upstream: str, at: int) -> None:
        record = self._open.get(request.request)
        if record is not None:
            record.attempts.append((number, at, upstream, None, 0))

    def attempt_written(self, request: Request, number: int, upstream: str) -> None:
        pass

    def attempt_ended(
        self, request: Request, number: int, upstream: str, outcome: Outcome, latency: int
    ) -> None:
        record = self._open.get(request.request)
        if record is not None:
            record.attempts[number] = (number, record.attempts[number][1], upstream, outcome, latency)

    def ended(self, request: Request, status: int, began: int, at: int) -> None:
        record = self._open.pop(request.request, None)
        if record is not None:
            record.status, record.took = status, at - began
            if status != SERVED or len(record.attempts) > 1:
                self._egress_unusual.append(record)

    # --- the gate

    def record_ingress(
        self,
        attempt: bytes,
        at: int,
        took: int,
        route: str,
        upstream: str,
        key: bytes,
        outcome: HopOutcome,
        reason: str,
    ) -> None:
        """The gate has answered: what it said, and why.  `upstream`: the life that was asked for."""
        record = (attempt, at, took, route, upstream, key, outcome, reason)
        self._ingress.append(record)
        if outcome is not HopOutcome.RAN:
            self._ingress_unusual.append(record)

    # --- told

    def records_of(self, attempt: str) -> tuple[dict[str, Any], ...]:
        """All that is known of an attempt, the oldest first; times in milliseconds."""
        wanted = attempt.encode("latin-1", "replace")
        egress = {
            id(record): _egress_to_dict(record)
            for record in (*self._egress_unusual, *self._egress)
            if record.attempt == wanted
        }
        ingress = {
            id(record): _ingress_to_dict(record)
            for record in (*self._ingress_unusual, *self._ingress)
            if record[0] == wanted
        }
        return tuple(sorted((*egress.values(), *ingress.values()), key=lambda record: record["at"]))


def _egress_to_dict(record: EgressRecord) -> dict[str, Any]:
    attempts = [
        {
            "upstream": upstream,
            "after_ms": (at - record.at) / 1000,
            "took_ms": took / 1000,
            "outcome": outcome.value if outcome is not None else NO_ANSWER_YET,
        }
        for _, at, upstream, outcome, took in record.attempts
    ]
    return {
        "hop": "out",
        "at": record.at,
        "route": record.route,
        "service": record.service,
        "limit_ms": record.limit / 1000,
        "steps": attempts,
        "status": record.status,
        "took_ms": record.took / 1000,
        "why": record.reason,
    }


def _ingress_to_dict(record: IngressRecord) -> dict[str, Any]:
    _, at, took, route, upstream, key, outcome, reason = record
    return {
        "hop": "gate",
        "at": at,
        "route": route,
        "upstream": upstream,
        "key": key.decode("latin-1"),
        "said": outcome.value.decode(),
        "why": reason,
        "took_ms": took / 1000,
    }
