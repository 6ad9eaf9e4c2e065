"""The only place that sends, and what becomes of a call that cannot go now."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.order import Order
from brackengate.policy.retries import Retries
from brackengate.policy.state import ASK_LATE, ASK_SOON, LEARN, SILENT, Attempt, Call, Upstream


class Sends(Order, Retries):
    def _hold(self, call: Call) -> None:
        """Keep a call that is not out anywhere; it ends here in time, not at the look after that."""
        if self.closing or self.now + self.recheck >= call.answer_by:
            return self._end_unserved(call)
        self.waiting[call.id] = call
        if call.look <= self.now:  # one timer at a time: if each look set two, they would double without end
            call.look = self.now + self.recheck
            self._timer(self.recheck, "look", call.id)

    def _stranded(self, call: Call) -> None:
        """No upstream may take it now: it is held, or where none are it goes to the least bad at once.

        Harm: what rests or is cold gets it then.  Rules 1 to 3 stay; with none left by them it ends.
        """
        if self.settings.wait_for_upstream:
            return self._hold(call)
        left = [up for up in self.upstreams.values() if self._lets(call, up)]
        if left:
            self._go(call, min(left, key=lambda up: (up.own, up.fails, up.last)))
        else:
            self._end_unserved(call)

    def _send(self, call: Call, up: Upstream) -> None:
        if self._may_send(call, up):
            self._go(call, up)
        else:
            self._stranded(call)

    def _go(self, call: Call, up: Upstream) -> None:
        """The only place that sends; the gate has been passed."""
        self.waiting.pop(call.id, None)
        up.last = self.assigned = self.assigned + 1
        call.attempts.append(Attempt(up, self.now, up.load if up in call.seen else -1.0))
        self._count(call.attempts[-1], call.whole)
        call.live += 1
        self.gap, self.sent_at = self.gap + LEARN * (self.now - self.sent_at - self.gap), self.now
        self._pace_cold(up, 0.5, 1.5)
        self._order(up)
        if call.cls.name in self.mean_time and call.whole:
            self._timer(self._patience(call), "doubt", call.id)
        self.actions.append(api.Send(call.id, up.id, call.answer_by))

    def _patience(self, call: Call) -> int:
        """How long an attempt may be out: short once one was lost, as asking has its price."""
        part = ASK_SOON if self.silent > SILENT else ASK_LATE
        return int(part * self.mean_time.get(call.cls.name, 0.0))
