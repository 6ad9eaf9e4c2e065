"""An answer begins or an attempt ends: what that says of its upstream, and how the call goes on."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.probes import Probes
from brackengate.policy.state import FORGET, LEARN, UNREACHED


class Outcomes(Probes):
    def _on_answer(self, event: api.AnswerStarted) -> None:
        """Its answer has begun: no other attempt is wanted, and this one goes on as long as it gives."""
        call = self.calls.get(event.request)
        if call is None or call.done or event.attempt >= len(call.attempts):
            return
        attempt = call.attempts[event.attempt]
        call.done, attempt.answered = True, self.now
        self._count(attempt, False)
        self._order(attempt.upstream)
        self.waiting.pop(call.id, None)
        self._cancel_others(call, event.attempt)

    def _on_attempt(self, event: api.AttemptEnded) -> None:
        call = self.calls.get(event.request)
        attempt = call.attempts[event.attempt] if call and event.attempt < len(call.attempts) else None
        if call is None or attempt is None or attempt.outcome is not None:
            return
        up, attempt.outcome = attempt.upstream, event.outcome
        call.live -= 1
        self._count(attempt, False)
        no_connection = event.outcome is api.Outcome.CONNECT_FAILED
        self.unconnected += LEARN * (no_connection - self.unconnected)
        if event.outcome in UNREACHED:
            up.linked = -(2**62)
        elif event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            up.linked = self.now
        self._release(up.id, up)
        self.silent *= 1 - FORGET
        self._learn_time(call, attempt)
        if event.outcome is api.Outcome.OK:
            up.fails, up.demoted = 0, False
            if event.load is not None:
                up.heard = self.now
                self.idle = up if round(event.load.waiting or 0.0) <= self.word_waiting else None
        elif (event.outcome in UNREACHED and not event.stale_connection) or self._abrupt(call, attempt):
            self._failed(up)
        self._order(up)
        if event.request_ended:
            self._end(call, None)
        elif not call.done and not call.live:
            if event.body_replayable and self._retry(call, attempt):
                self._place(call)
            else:
                self._end_unserved(call)
        if call.done and not call.live:
            self.calls.pop(call.id, None)
