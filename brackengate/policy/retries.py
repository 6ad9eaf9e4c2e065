"""How a request ends, what is tried again, and the ration of that."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.overload import Overload
from brackengate.policy.state import MOST_TRIES, UNSENT, Attempt, Call


class Retries(Overload):
    def _retry(self, call: Call, ended: Attempt) -> bool:
        """Whether it may be tried once more; that comes off the ration unless unsent ones are free."""
        free = self.settings.unsent_attempts_free and ended.outcome in UNSENT
        if self.settings.fail_fast and (self._all_turned_away(call) or self._hopeless(call, 0.0)):
            return False
        if free:
            call.most = min(call.most + 1, MOST_TRIES)
        unsafe = call.cls.idempotency is api.Idempotency.UNSAFE and call.ran()
        if (self.retries < 1 and not free) or unsafe or len(call.attempts) >= call.most:
            return False
        self.retries -= 0 if free else 1
        return True

    def _on_ration(self, event: api.RetryBudget) -> None:
        self.retry_share, self.retry_burst = event.share, event.burst
        self.retries = min(self.retries, self.retry_burst)

    def _all_turned_away(self, call: Call) -> bool:
        """Guards against asking a full fleet again and again: it is full for the next one too."""
        away = {a.upstream.id for a in call.attempts if a.outcome in UNSENT}
        return bool(away) and all(up.id in away for up in self.upstreams.values() if up.serving)

    def _end_unserved(self, call: Call) -> None:
        """Refuse where the rules let it be claimed and the client would come back anyway, else fail."""
        keyed_all = call.cls.idempotency is api.Idempotency.KEYED and call.cls.key_scope is api.KeyScope.ALL
        anyway = call.cls.idempotency is api.Idempotency.REPEATABLE or keyed_all
        if anyway or (not call.ran() and (not call.whole or self.now + self.recheck < call.answer_by)):
            self._end(call, api.Refuse(call.id, self.settings.max_retry_after))
        else:
            self._end(call, api.Fail(call.id))

    def _end(self, call: Call | None, answer: api.Action | None) -> None:
        """The only place that ends a request; `answer` is None when it has ended already."""
        if call is None or call.done:
            return
        call.done = True
        self.waiting.pop(call.id, None)
        self.actions += [answer] if answer is not None else []
        self._cancel_others(call)
        if not call.live:
            self.calls.pop(call.id, None)

    def _cancel_others(self, call: Call, but: int = -1) -> None:
        for number, attempt in enumerate(call.attempts):
            if attempt.outcome is None and number != but and self.settings.cancel:
                self.actions.append(api.CancelAttempt(call.id, number))
