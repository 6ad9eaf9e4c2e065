"""A request comes: what time it has, what it is worth, and what is left of its tenant's share."""

from __future__ import annotations

from collections import deque

from brackengate import interface as api
from brackengate.policy.probes import Probes
from brackengate.policy.state import (
    AIM_MARGIN,
    MOST_TRIES,
    OPEN_WAIT,
    SHARE_BURST,
    USUAL_BAND,
    USUAL_OF,
    USUAL_RANK,
    Call,
)


class Arrivals(Probes):
    def _on_request(self, event: api.Request) -> None:
        left = event.deadline - self.now  # a class the settings do not name gets the most careful handling
        cls = self.classes.get(event.class_name) or api.RequestClass(event.class_name, left, left)
        aim_by = answer_by = event.deadline - self.settings.resolution
        if self.uncut:  # else the aim is in the deadline
            aim = min(cls.target_latency + int(cls.target_stretch * event.work_hint), cls.deadline)
            recent = self.time_left.setdefault(cls.name, deque(maxlen=USUAL_OF))
            recent.append(left)
            usual = sorted(recent)[int(USUAL_RANK * len(recent))]
            unusual = abs(left - usual) > USUAL_BAND * usual and not self.settings.marks_retry
            spent = cls.deadline - left if event.is_retry or unusual else 0  # a last try has all that is left
            aim_by = min(answer_by, self.now + aim - spent - int(AIM_MARGIN * aim))
        answer_by = aim_by if cls.late_value <= 0 and not cls.stream else answer_by
        quota, worth = self.quotas.get(event.tenant, 0.0), cls.value
        if quota > 0:  # only of tenants that the settings name: what callers name has no end
            saved, then = self.shares.get(event.tenant, (SHARE_BURST, self.now))
            saved = min(SHARE_BURST, saved + quota * (self.now - then))
            worth *= self.settings.over_quota_value if saved < 1 else 1.0  # as far as this copy can tell
            self.shares[event.tenant] = (max(0.0, saved - 1), self.now)
        call = Call(
            event.request, cls, answer_by, aim_by, worth, max(1, event.work_hint or cls.target_latency)
        )
        call.earlier, call.whole = event.earlier, event.body_complete
        call.most = cls.max_attempts or self.settings.max_attempts
        if self.settings.unsent_attempts_free:
            call.most = min(call.most, MOST_TRIES)
        if not call.whole:
            call.answer_by = call.aim_by = self.now + OPEN_WAIT
        self.calls[call.id] = call
        self.retries = min(self.retry_burst, self.retries + self.retry_share)
        if self.now >= answer_by or self._hopeless(call, 0.0):
            self._end_unserved(call)
        else:
            self._place(call)

    def _on_whole(self, event: api.RequestBodyComplete) -> None:
        """Its body has come: what is out can run from here on, and its time begins."""
        call = self.calls.get(event.request)
        if call is None or call.whole:
            return
        call.whole = True
        call.aim_by = call.answer_by = event.deadline - self.settings.resolution
        if self.uncut and call.cls.late_value <= 0:
            aim = self.now + int((1 - AIM_MARGIN) * call.cls.target_latency)
            call.aim_by = call.answer_by = min(call.answer_by, aim)
        for attempt in call.attempts:
            if attempt.outcome is None:
                attempt.sent = self.now
                self._count(attempt, True)
                self._order(attempt.upstream)
                if call.cls.name in self.mean_time:
                    self._timer(self._patience(call), "doubt", call.id)
