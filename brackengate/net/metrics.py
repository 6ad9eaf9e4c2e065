"""Request metrics of one process, collected by an observer and read by every status page."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum

from brackengate.interface import Outcome, Request


class ResultKind(Enum):
    """How a request ended from its caller's point of view."""

    SERVED = "success"
    BUSY = "busy"
    FAILED = "failure"


def result_kind(status: int) -> ResultKind | None:
    """The result that a status counts as; None for status 0, when the caller had disconnected."""
    if status == 0:
        return None
    if status == 200:
        return ResultKind.SERVED
    return ResultKind.BUSY if status in (429, 503) else ResultKind.FAILED


class RequestMetrics:
    """Counters since the start of the process.  Their number is bounded by classes and statuses."""

    def __init__(self) -> None:
        self.started_total = 0
        self.ended_total = 0
        self.attempts_written = 0  # completely written to upstreams; without probes
        self.requests_by_status: Counter[tuple[str, int]] = Counter()

    @property
    def inflight(self) -> int:
        """Requests that were accepted and have not ended."""
        return self.started_total - self.ended_total

    def count_by_result(self, classes: Iterable[str]) -> dict[tuple[ResultKind, str], int]:
        """Requests by result and class, with zeros for combinations that have not occurred."""
        counts = {(kind, name): 0 for kind in ResultKind for name in classes}
        for (name, status), count in self.requests_by_status.items():
            kind = result_kind(status)
            if kind is not None:
                counts[kind, name] = counts.get((kind, name), 0) + count
        return counts

    # --- Observer

    def serving_changed(self, now: bool) -> None:
        pass

    def request_started(self, request: Request, at: int) -> None:
        self.started_total += 1

    def request_ended(self, request: Request, status: int, began: int, at: int) -> None:
        self.ended_total += 1
        self.requests_by_status[request.class_name, status] += 1

    def attempt_began(self, request: Request, number: int, upstream: str, at: int) -> None:
        pass

    def attempt_written(self, request: Request, number: int, upstream: str) -> None:
        self.attempts_written += 1

    def attempt_ended(
        self, request: Request, number: int, upstream: str, outcome: Outcome, latency: int
    ) -> None:
        pass
