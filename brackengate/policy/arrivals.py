"""Arrival of a request: how much time it has, its value, and its tenant's quota."""

from __future__ import annotations

from collections import deque

from brackengate import interface as api
from brackengate.policy.probes import Probes
from brackengate.policy.state import (
    INCOMPLETE_BODY_WAIT_US,
    MAX_TOTAL_ATTEMPTS,
    QUOTA_BURST,
    TARGET_MARGIN,
    TYPICAL_QUANTILE,
    TYPICAL_SAMPLES,
    TYPICAL_TOLERANCE,
    TrackedRequest,
)


class Arrivals(Probes):
    """Handles new requests and the end of their bodies."""

    def _on_request(self, event: api.Request) -> None:
        time_left = event.deadline - self.now
        # A class that the settings do not name is handled as the most restrictive one.
        cls = self.classes.get(event.class_name) or api.RequestClass(event.class_name, time_left, time_left)
        target_by = answer_by = event.deadline - self.settings.resolution
        if self.client_deadlines:  # otherwise the deadline already ends at the target latency
            target = min(cls.target_latency + int(cls.target_stretch * event.work_hint), cls.deadline)
            recent = self.recent_time_left.setdefault(cls.name, deque(maxlen=TYPICAL_SAMPLES))
            recent.append(time_left)
            typical = sorted(recent)[int(TYPICAL_QUANTILE * len(recent))]
            # Where retries are unmarked, first attempts are told by the time left that they have in common.
            untypical = (
                abs(time_left - typical) > TYPICAL_TOLERANCE * typical and not self.settings.marks_retry
            )
            # A client's last retry may use all the time that is left.
            spent = cls.deadline - time_left if event.is_retry or untypical else 0
            target_by = min(answer_by, self.now + target - spent - int(TARGET_MARGIN * target))
        answer_by = target_by if cls.late_value <= 0 and not cls.stream else answer_by
        quota, value = self.quotas.get(event.tenant, 0.0), cls.value
        if quota > 0:  # only tenants that the settings name: clients may send any number of other names
            balance, updated_at = self.quota_balances.get(event.tenant, (QUOTA_BURST, self.now))
            balance = min(QUOTA_BURST, balance + quota * (self.now - updated_at))
            value *= self.settings.over_quota_value if balance < 1 else 1.0  # by this instance's share
            self.quota_balances[event.tenant] = (max(0.0, balance - 1), self.now)
        request = TrackedRequest(
            event.request, cls, answer_by, target_by, value, max(1, event.work_hint or cls.target_latency)
        )
        request.earlier, request.body_complete = event.earlier, event.body_complete
        request.max_attempts = cls.max_attempts or self.settings.max_attempts
        if self.settings.unsent_attempts_free:
            request.max_attempts = min(request.max_attempts, MAX_TOTAL_ATTEMPTS)
        if not request.body_complete:
            request.answer_by = request.target_by = self.now + INCOMPLETE_BODY_WAIT_US
        self.requests[request.id] = request
        self.retry_tokens = min(self.retry_burst, self.retry_tokens + self.retry_share)
        if self.now >= answer_by or self._is_too_late(request, 0.0):
            self._end_unserved(request)
        else:
            self._assign(request)

    def _on_body_complete(self, event: api.RequestBodyComplete) -> None:
        """Its body has arrived: its time begins, and attempts in flight can run from here on."""
        request = self.requests.get(event.request)
        if request is None or request.body_complete:
            return
        request.body_complete = True
        request.target_by = request.answer_by = event.deadline - self.settings.resolution
        if self.client_deadlines and request.request_class.late_value <= 0:
            target_by = self.now + int((1 - TARGET_MARGIN) * request.request_class.target_latency)
            request.target_by = request.answer_by = min(request.answer_by, target_by)
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.sent_at = self.now
                self._count_in_flight(attempt, True)
                self._update_order(attempt.upstream)
                if request.request_class.name in self.mean_latency:
                    self._start_timer(self._suspect_after(request), "suspect", request.id)
