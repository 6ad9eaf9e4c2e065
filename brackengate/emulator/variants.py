"""Decision modules that differ from the one in use in a single place, for arms of an experiment.

What README's "What remains" leaves open is tried here first; a winner goes into the module itself.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

from brackengate import interface as api
from brackengate.balancer import EWMA_WEIGHT, Attempt, Balancer, TrackedRequest, Upstream
from brackengate.interface import Settings

SLOW_FROM, SLOWEST = (
    1.5,
    4.0,
)  # of its peers' time: from here on an idle one counts as busy; no more is believed
DEAR = 0.5  # of the dearest worth: from here on a call is dear
DEVIATIONS = 1.0  # by which an estimate may be wrong before a call is refused for it


class Weighted(Balancer):
    """Calls in flight are weighed by what their upstream takes, against its peers."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._ratio: dict[str, float] = {}

    def _record_latency(self, request: TrackedRequest, attempt: Attempt) -> None:
        mean = self.mean_latency.get(request.request_class.name, 0.0)
        super()._record_latency(request, attempt)
        if attempt.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT) and mean > 0:
            name, before = attempt.upstream.id, self._ratio.get(attempt.upstream.id, 1.0)
            seen = min(SLOWEST, (self.now - attempt.sent_at) / mean)
            self._ratio[name] = before + EWMA_WEIGHT * (seen - before)

    def _remove(self, upstream: Upstream) -> None:
        self._ratio.pop(upstream.id, None)
        super()._remove(upstream)

    def _update_order(self, upstream: Upstream) -> None:
        super()._update_order(upstream)
        ratio = max(1.0, self._ratio.get(upstream.id, 1.0))
        if (
            ratio > SLOW_FROM
            and upstream.serving
            and self.now >= max(upstream.ejected_until, upstream.eligible_at)
        ):
            upstream.order_version = self.order_version = self.order_version + 1
            heapq.heappush(
                self.heap,
                (
                    True,
                    ratio * (upstream.own_in_flight + 1) / upstream.weight,
                    upstream.last_assigned,
                    upstream.order_version,
                    upstream,
                ),
            )


class Reserving(Balancer):
    """A cheap call is held until an upstream is idle, as long as it has the time for that."""

    def _send(self, request: TrackedRequest, upstream: Upstream) -> None:
        cheap = request.value < DEAR * self.max_value
        busy = upstream.own_in_flight > 0 or (
            upstream.reported_load > 0 and self.now - upstream.reported_at <= self.recheck_interval
        )
        spare = request.target_by - self.now - 2 * self.mean_latency.get(request.request_class.name, 0.0)
        if cheap and busy and spare > self.recheck_interval and not request.attempts:
            request.probed, request.probed_busy, request.probes_pending = [], [], 0
            self._wait_for_upstream(request)
        else:
            super()._send(request, upstream)


class Spread(Balancer):
    """A call is refused for want of time only where the estimate leaves no room for its own error."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._off = 0.0

    def _record_latency(self, request: TrackedRequest, attempt: Attempt) -> None:
        if attempt.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT) and attempt.load_when_sent >= 0:
            expected = (
                self.best_time_per_work * request.expected_work
                + self.time_per_queued * attempt.load_when_sent
            )
            self._off += EWMA_WEIGHT * (abs(self.now - attempt.sent_at - expected) - self._off)
        super()._record_latency(request, attempt)

    def _is_too_late(self, request: TrackedRequest, ahead: float) -> bool:
        if self.settings.tier == 0:
            expected = (
                self.best_time_per_work * request.expected_work
                + self.time_per_queued * ahead
                - DEVIATIONS * self._off
            )
            if expected <= self._usable_time_share(request) * (request.target_by - self.now):
                return False
        return super()._is_too_late(request, ahead)


MODULES: dict[str, Callable[[Settings, int], Balancer]] = {
    "brain": Balancer,
    "weighted": Weighted,
    "reserving": Reserving,
    "spread": Spread,
}
