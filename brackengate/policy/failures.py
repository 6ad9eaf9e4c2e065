"""Failures of upstreams: what counts as one, and when an upstream is demoted or ejected."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.order import Order
from brackengate.policy.state import (
    EJECTION_CONNECT_TIMEOUTS,
    FAST_ERROR_SHARE,
    MAX_CONSECUTIVE_FAILURES,
    Attempt,
    TrackedRequest,
    Upstream,
)


class Failures(Order):
    """Demotes and ejects upstreams that fail, and closes connections to leaving ones."""

    def _is_fast_error(self, request: TrackedRequest, attempt: Attempt) -> bool:
        """Whether it failed much faster than answers come, although it had time enough.

        An upstream that errs at once looks idle and would attract every request.
        """
        mean = (
            self.mean_latency.get(request.request_class.name, 0.0)
            if attempt.outcome is api.Outcome.ERROR
            else 0.0
        )
        return self.now - attempt.sent_at < FAST_ERROR_SHARE * mean < mean < request.answer_by - self.now

    def _record_failure(self, upstream: Upstream, count: int = 1) -> None:
        """Demote the upstream; MAX_CONSECUTIVE_FAILURES in a row eject it for a while."""
        upstream.consecutive_failures += count
        upstream.demoted = True
        ejection_time = EJECTION_CONNECT_TIMEOUTS * self.settings.connect_timeout
        if upstream.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            upstream.ejected_until = self.now + ejection_time
        self._start_timer(ejection_time, "readmit", upstream.id)
        self._update_order(upstream)

    def _on_upstream_health(self, event: api.UpstreamHealth) -> None:
        """Others report its health: eject it at once, or clear its failures."""
        upstream = self.upstreams.get(event.upstream)
        if upstream is None:
            return
        if not event.healthy:
            return self._record_failure(upstream, MAX_CONSECUTIVE_FAILURES)
        upstream.consecutive_failures, upstream.demoted, upstream.ejected_until = 0, False, self.now
        self._update_order(upstream)

    def _release_connections(self, upstream_id: str, upstream: Upstream | None) -> None:
        """Rule 5: close idle connections to a leaving upstream, on the notice and at each later outcome."""
        if self.settings.release_within > 0 and (upstream is None or not upstream.serving):
            self.actions.append(api.Release(upstream_id))
