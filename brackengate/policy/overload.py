"""What would not be answered in time, and what is learned of times."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.state import CHEAP_PART, FROM_BEST, LEARN, NO_HOPE, TO_BEST, Attempt, Call, State


class Overload(State):
    def _part(self, call: Call) -> float:
        """Overload: the part of its time that this call may be expected to take; all for the dearest work."""
        return CHEAP_PART + (1 - CHEAP_PART) * call.worth / self.top_worth

    def _hopeless(self, call: Call, ahead: float) -> bool:
        """Overload: what would not be answered in time is refused early, before it holds slots on its way."""
        if self.settings.tier > 0:
            mean = self.mean_time.get(call.cls.name, 0.0)
            if call.aim_by - self.now >= NO_HOPE * mean:
                return False
            self.mean_time[call.cls.name] = mean * (1 - FROM_BEST)
            return True
        expected = self.best_time * call.hint + self.queue_time * ahead
        if expected <= self._part(call) * (call.aim_by - self.now):
            return False
        self.queue_time *= 1 - FROM_BEST  # with none sent, nothing is learned: look again some day
        return True

    def _learn_time(self, call: Call, attempt: Attempt) -> None:
        taken = (attempt.answered or self.now) - attempt.sent
        if attempt.outcome is api.Outcome.OK:
            mean = self.mean_time.get(call.cls.name, float(taken))
            self.mean_time[call.cls.name] = mean + LEARN * (taken - mean)
        if attempt.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT):
            if attempt.ahead > 0:
                each = max(0.0, taken - self.best_time * call.hint) / attempt.ahead
                self.queue_time += LEARN * (each - self.queue_time)
            elif attempt.ahead == 0 and attempt.outcome is api.Outcome.OK:
                # What it takes at best: a mean would let one slow call stop all calls, and so all learning.
                off = taken / call.hint - self.best_time
                self.best_time += off * (TO_BEST if off < 0 else FROM_BEST)
