"""An answer starts or an attempt ends: what that shows of its upstream, and how the request continues."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.probes import Probes
from brackengate.policy.state import CONNECTION_LOST, EWMA_WEIGHT, LOSS_DECAY


class Outcomes(Probes):
    """Handles started answers and ended attempts."""

    def _on_answer_started(self, event: api.AnswerStarted) -> None:
        """Its answer has started: the request is done, and every other attempt is cancelled."""
        request = self.requests.get(event.request)
        if request is None or request.done or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        request.done, attempt.answer_started_at = True, self.now
        self._count_in_flight(attempt, False)
        self._update_order(attempt.upstream)
        self.waiting.pop(request.id, None)
        self._cancel_others(request, event.attempt)

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        request = self.requests.get(event.request)
        attempt = (
            request.attempts[event.attempt] if request and event.attempt < len(request.attempts) else None
        )
        if request is None or attempt is None or attempt.outcome is not None:
            return
        upstream, attempt.outcome = attempt.upstream, event.outcome
        request.attempts_in_flight -= 1
        self._count_in_flight(attempt, False)
        no_connection = event.outcome is api.Outcome.CONNECT_FAILED
        self.connect_failure_rate += EWMA_WEIGHT * (no_connection - self.connect_failure_rate)
        if event.outcome in CONNECTION_LOST:
            upstream.connected_at = -(2**62)
        elif event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            upstream.connected_at = self.now
        self._release_connections(upstream.id, upstream)
        self.recent_loss *= 1 - LOSS_DECAY
        self._record_latency(request, attempt)
        if event.outcome is api.Outcome.OK:
            upstream.consecutive_failures, upstream.demoted = 0, False
            if event.load is not None:
                upstream.reported_at = self.now
                self.last_idle = upstream if round(event.load.waiting or 0.0) <= self.max_waiting else None
        elif (event.outcome in CONNECTION_LOST and not event.stale_connection) or self._is_fast_error(
            request, attempt
        ):
            self._record_failure(upstream)
        self._update_order(upstream)
        if event.request_ended:
            self._end(request, None)
        elif not request.done and not request.attempts_in_flight:
            if event.body_replayable and self._spend_retry(request, attempt):
                self._assign(request)
            else:
                self._end_unserved(request)
        if request.done and not request.attempts_in_flight:
            self.requests.pop(request.id, None)
