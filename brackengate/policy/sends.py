"""Sending an attempt, and what happens to a request that no upstream may take now."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.order import Order
from brackengate.policy.retries import Retries
from brackengate.policy.state import (
    EWMA_WEIGHT,
    LOSS_THRESHOLD,
    SUSPECT_AFTER,
    SUSPECT_AFTER_LOSS,
    Attempt,
    TrackedRequest,
    Upstream,
)


class Sends(Order, Retries):
    """Sends attempts, and keeps requests that have to wait."""

    def _wait_for_upstream(self, request: TrackedRequest) -> None:
        """Keep a request without an attempt in flight until the next recheck; end it if that is too late."""
        if self.closing or self.now + self.recheck_interval >= request.answer_by:
            return self._end_unserved(request)
        self.waiting[request.id] = request
        if (
            request.recheck_at <= self.now
        ):  # one timer at a time: if each recheck set two, they would multiply
            request.recheck_at = self.now + self.recheck_interval
            self._start_timer(self.recheck_interval, "recheck", request.id)

    def _handle_no_upstream(self, request: TrackedRequest) -> None:
        """No upstream may take it now: it waits, or where requests do not wait goes to the least bad one.

        The cost: upstreams that are ejected or cold receive it then.  Rules 1 to 3 still hold; if they leave
        no upstream, the request ends.
        """
        if self.settings.wait_for_upstream:
            return self._wait_for_upstream(request)
        allowed = [upstream for upstream in self.upstreams.values() if self._is_allowed(request, upstream)]
        if allowed:
            self._start_attempt(
                request,
                min(allowed, key=lambda u: (u.own_in_flight, u.consecutive_failures, u.last_assigned)),
            )
        else:
            self._end_unserved(request)

    def _send(self, request: TrackedRequest, upstream: Upstream) -> None:
        """Send to the upstream if that is still allowed."""
        if self._may_send(request, upstream):
            self._start_attempt(request, upstream)
        else:
            self._handle_no_upstream(request)

    def _start_attempt(self, request: TrackedRequest, upstream: Upstream) -> None:
        """The only place that sends; the caller has checked that it is allowed."""
        self.waiting.pop(request.id, None)
        upstream.last_assigned = self.assignment_count = self.assignment_count + 1
        request.attempts.append(
            Attempt(upstream, self.now, upstream.reported_load if upstream in request.probed_busy else -1.0)
        )
        self._count_in_flight(request.attempts[-1], request.body_complete)
        request.attempts_in_flight += 1
        self.mean_send_interval, self.last_sent_at = (
            self.mean_send_interval + EWMA_WEIGHT * (self.now - self.last_sent_at - self.mean_send_interval),
            self.now,
        )
        self._pace_cold_upstream(upstream, 0.5, 1.5)
        self._update_order(upstream)
        if request.request_class.name in self.mean_latency and request.body_complete:
            self._start_timer(self._suspect_after(request), "suspect", request.id)
        self.actions.append(api.Send(request.id, upstream.id, request.answer_by))

    def _suspect_after(self, request: TrackedRequest) -> int:
        """How long an attempt may be silent before a probe: shorter after a loss, as probes have a cost."""
        factor = SUSPECT_AFTER_LOSS if self.recent_loss > LOSS_THRESHOLD else SUSPECT_AFTER
        return int(factor * self.mean_latency.get(request.request_class.name, 0.0))
