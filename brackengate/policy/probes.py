"""Probes: of a few upstreams before a request is sent, and of one whose attempt has been silent for long."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.failures import Failures
from brackengate.policy.overload import Overload
from brackengate.policy.sends import Sends
from brackengate.policy.state import (
    COLD_TURN_DUE,
    CONNECTION_LOST,
    MAX_MISSING_REPORTS,
    MAX_PENDING_PROBES,
    MIN_IN_FLIGHT,
    Attempt,
    TrackedRequest,
    Upstream,
)


class Probes(Sends, Failures, Overload):
    """Assigns a request to an upstream, after probes where they help, and probes silent attempts."""

    def _assign(self, request: TrackedRequest) -> None:
        """Send the request to the first in the order; where that one is idle, probe a few before."""
        request.probed, request.probed_busy, request.probes_pending = [], [], 0
        first = self._pick_upstreams(request, 1, probing=self.max_probes > 0)
        recent = self._recently_idle(request) if first and first[0].last_assigned > COLD_TURN_DUE else []
        first = recent or first
        if first and (recent or not self._should_probe(first[0])):
            self._send(request, first[0])
            return
        if not first:
            self._handle_no_upstream(request)
            return
        self._wait_for_upstream(request)
        if not request.done:
            self._probe_more(request)

    def _recently_idle(self, request: TrackedRequest) -> list[Upstream]:
        """The upstream that answered last, if few requests waited there by the report in its answer.

        An exception to the order among idle upstreams: instances that see little of the traffic settle on
        different upstreams, and leave those that fail or stall.  Where upstreams can be probed, only a recent
        report saves a probe; where they cannot, an old report is still better than none.
        """
        upstream, self.last_idle = self.last_idle, None
        if (
            upstream is None
            or upstream.own_in_flight
            or upstream.demoted
            or self.now - upstream.reported_at > self.report_max_age
        ):
            return []  # with an own request in flight there, the ordinary order applies
        return [upstream] if not request.attempts and self._may_send(request, upstream) else []

    def _should_probe(self, upstream: Upstream) -> bool:
        """Whether it is idle as far as this instance can see."""
        return self.max_probes > 0 and upstream.own_in_flight == 0 and not upstream.demoted

    def _probe_more(self, request: TrackedRequest) -> None:
        """Probe further upstreams, as many as this pick may; choose one when no more can be awaited."""
        count = min(MAX_PENDING_PROBES - request.probes_pending, self.max_probes - len(request.probed))
        for upstream in filter(self._should_probe, self._pick_upstreams(request, count, probing=True)):
            request.probed.append(upstream)
            request.probes_pending += 1
            if not upstream.awaiting_probe and not upstream.suspect_attempts:
                self.actions.append(api.Probe(upstream.id))
            upstream.awaiting_probe.append(request)
        # One probe may stay unanswered without delaying the request.
        if request.probes_pending < (2 if len(request.probed) >= self.max_probes else 1):
            self._choose_least_loaded(request)

    def _choose_least_loaded(self, request: TrackedRequest) -> None:
        """No upstream reported that it is idle: send to the least loaded of those that answered."""
        best = [u for u in request.probed_busy if self._may_send(request, u)] or self._pick_upstreams(
            request, 1
        )
        request.probed = []
        best = best or self._pick_upstreams(request, 1)
        upstream = min(best, key=lambda u: (u.own_in_flight, u.demoted, u.reported_load), default=None)
        if upstream is None:
            self._handle_no_upstream(request)
        elif self._is_too_late(request, upstream.reported_load if upstream in request.probed_busy else 0.0):
            self._end_unserved(request)
        else:
            self._send(request, upstream)

    def _on_probe_ended(self, event: api.ProbeEnded) -> None:
        upstream = self.upstreams.get(event.upstream)
        self._release_connections(event.upstream, upstream)
        if upstream is None:
            return
        awaiting, upstream.awaiting_probe, suspects, upstream.suspect_attempts = (
            upstream.awaiting_probe,
            [],
            upstream.suspect_attempts,
            [],
        )
        if event.outcome is api.Outcome.OK:
            report, upstream.reported_at = event.load or api.LoadReport(), self.now
            estimate = (report.waiting or 0.0) + (report.utilization or 0.0)
            upstream.reported_load = estimate if report.in_flight is None else report.in_flight
        elif event.outcome in CONNECTION_LOST or event.outcome is api.Outcome.TIMEOUT:
            self._record_failure(upstream)
        for request, attempt in suspects:
            self._check_suspect(request, attempt, event.load)
        for request in awaiting:
            if upstream not in request.probed or request.id not in self.waiting:
                continue
            request.probes_pending = max(0, request.probes_pending - 1)
            if event.outcome is api.Outcome.OK:
                request.probed_busy.append(upstream)
            if (
                request.probed_busy
                and request.probed_busy[-1] is upstream
                and upstream.reported_load == upstream.own_in_flight == 0
                and self._may_send(request, upstream)
            ):
                self._send(request, upstream)
            else:
                self._probe_more(request)

    def _probe_suspect(self, request: TrackedRequest) -> None:
        """Probe the upstream of an attempt that has been in flight for long.

        The number in flight that it reports shows whether it holds anything at all.  Guards against silent
        losses, which would wait until the deadline: a request never taken up, a lost answer, a connection
        that a middlebox forgot.
        """
        attempt, may_repeat = (
            request.attempts[-1],
            request.request_class.idempotency is not api.Idempotency.UNSAFE,
        )
        upstream = attempt.upstream
        if (
            attempt.outcome is None
            and not request.done
            and may_repeat
            and upstream.serving
            and self.max_probes
            and self.settings.cancel
        ):
            if not upstream.awaiting_probe and not upstream.suspect_attempts:
                self.actions.append(api.Probe(upstream.id))
            upstream.suspect_attempts.append((request, attempt))

    def _check_suspect(
        self, request: TrackedRequest, attempt: Attempt, report: api.LoadReport | None
    ) -> None:
        """Cancel an attempt that its upstream does not hold, so that it is retried.

        Where reports lag by more than that, one that still runs is sent twice; the retry budget bounds that.
        """
        if attempt.outcome is not None or request.done:
            return
        missing = report is not None and report.in_flight is not None and report.in_flight < MIN_IN_FLIGHT
        attempt.missing_reports = attempt.missing_reports + 1 if missing else 0
        if attempt.missing_reports < MAX_MISSING_REPORTS:
            self._start_timer(
                self.recheck_interval if missing else self._suspect_after(request), "suspect", request.id
            )
        elif self.retry_tokens >= 1:
            self.recent_loss = 1.0
            self._record_failure(attempt.upstream, 0)
            self.actions.append(api.CancelAttempt(request.id, request.attempts.index(attempt)))
