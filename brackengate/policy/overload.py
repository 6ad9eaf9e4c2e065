"""Overload: which requests could not be answered in time, and the latencies that this is judged by."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.state import (
    BEST_TIME_FALL,
    BEST_TIME_RISE,
    EWMA_WEIGHT,
    MIN_TIME_SHARE,
    ZERO_VALUE_TIME_SHARE,
    Attempt,
    State,
    TrackedRequest,
)


class Overload(State):
    """Learns latencies and recognizes requests that would be answered too late."""

    def _usable_time_share(self, request: TrackedRequest) -> float:
        """The share of the time left that its expected latency may take; 1 for the highest value."""
        return ZERO_VALUE_TIME_SHARE + (1 - ZERO_VALUE_TIME_SHARE) * request.value / self.max_value

    def _is_too_late(self, request: TrackedRequest, load: float) -> bool:
        """Whether an answer is not to be expected in time; ending it early keeps it from holding slots.

        `load`: requests that the upstream holds already.
        """
        if self.settings.tier > 0:
            mean = self.mean_latency.get(request.request_class.name, 0.0)
            if request.target_by - self.now >= MIN_TIME_SHARE * mean:
                return False
            self.mean_latency[request.request_class.name] = mean * (1 - BEST_TIME_RISE)
            return True
        expected = self.best_time_per_work * request.expected_work + self.time_per_queued * load
        if expected <= self._usable_time_share(request) * (request.target_by - self.now):
            return False
        # While nothing is sent nothing is learned: lower the estimate so that requests are tried again.
        self.time_per_queued *= 1 - BEST_TIME_RISE
        return True

    def _record_latency(self, request: TrackedRequest, attempt: Attempt) -> None:
        """Learn from an ended attempt: the mean latency, the best case and the delay per queued request."""
        latency = (attempt.answer_started_at or self.now) - attempt.sent_at
        if attempt.outcome is api.Outcome.OK:
            mean = self.mean_latency.get(request.request_class.name, float(latency))
            self.mean_latency[request.request_class.name] = mean + EWMA_WEIGHT * (latency - mean)
        if attempt.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT):
            if attempt.load_when_sent > 0:
                per_queued = (
                    max(0.0, latency - self.best_time_per_work * request.expected_work)
                    / attempt.load_when_sent
                )
                self.time_per_queued += EWMA_WEIGHT * (per_queued - self.time_per_queued)
            elif attempt.load_when_sent == 0 and attempt.outcome is api.Outcome.OK:
                # The best case: with a mean, one slow answer could refuse all requests, which ends learning.
                error = latency / request.expected_work - self.best_time_per_work
                self.best_time_per_work += error * (BEST_TIME_FALL if error < 0 else BEST_TIME_RISE)
