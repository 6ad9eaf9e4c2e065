"""What one instance counts, for `fleet status`: answers by class, attempts by upstream, latencies."""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Callable

from brackengate.interface import Outcome, Request
from brackengate.net.metrics import RequestMetrics

BOUNDS_MS = (1, 2, 5, 10, 20, 30, 50, 75, 100, 150, 200, 300, 410, 500, 750, 1000, 2000, 5000)
MOST_UPSTREAMS = 4096  # names are ever new: beyond this the oldest is forgotten


class Counters(RequestMetrics):
    """The figures of every process, and by upstream and latency.  Bounded also by MOST_UPSTREAMS."""

    def __init__(self, on_serving: Callable[[bool], None]) -> None:
        super().__init__()
        self._on_serving = on_serving
        self.attempts: dict[str, Counter[str]] = {}
        self.latencies = [0] * (len(BOUNDS_MS) + 1)

    def serving_changed(self, now: bool) -> None:
        self._on_serving(now)

    def request_ended(self, request: Request, status: int, began: int, at: int) -> None:
        super().request_ended(request, status, began, at)
        if status == 200:
            self.latencies[bisect.bisect_left(BOUNDS_MS, (at - began) / 1000)] += 1

    def attempt_ended(
        self, request: Request, number: int, upstream: str, outcome: Outcome, latency: int
    ) -> None:
        counts = self.attempts.get(upstream)
        if counts is None:
            counts = self.attempts[upstream] = Counter()
            if len(self.attempts) > MOST_UPSTREAMS:
                del self.attempts[next(iter(self.attempts))]
        counts[outcome.value] += 1

    def as_json(self) -> dict[str, object]:
        classes: dict[str, dict[str, int]] = {}
        for (name, status), count in sorted(self.requests_by_status.items()):
            classes.setdefault(name, {})[str(status)] = count
        return {
            "taken": self.started_total,
            "inflight": self.inflight,
            "attempts_written": self.attempts_written,
            "answers": classes,
            "attempts": {name: dict(counts) for name, counts in self.attempts.items()},
            "latencies": {"bounds_ms": list(BOUNDS_MS), "counts": self.latencies},
        }
