"""How a request ends, and which are retried within the retry budget."""

from __future__ import annotations

from brackengate import interface as api
from brackengate.policy.overload import Overload
from brackengate.policy.state import MAX_TOTAL_ATTEMPTS, UNSENT, Attempt, TrackedRequest


class Retries(Overload):
    """Ends requests and grants retries."""

    def _spend_retry(self, request: TrackedRequest, ended: Attempt) -> bool:
        """Whether it may be retried; takes a token from the retry budget unless unsent attempts are free."""
        free = self.settings.unsent_attempts_free and ended.outcome in UNSENT
        if self.settings.fail_fast and (self._all_rejected(request) or self._is_too_late(request, 0.0)):
            return False
        if free:
            request.max_attempts = min(request.max_attempts + 1, MAX_TOTAL_ATTEMPTS)
        unsafe = request.request_class.idempotency is api.Idempotency.UNSAFE and request.may_have_run()
        if (self.retry_tokens < 1 and not free) or unsafe or len(request.attempts) >= request.max_attempts:
            return False
        self.retry_tokens -= 0 if free else 1
        return True

    def _on_retry_budget(self, event: api.RetryBudget) -> None:
        self.retry_share, self.retry_burst = event.share, event.burst
        self.retry_tokens = min(self.retry_tokens, self.retry_burst)

    def _all_rejected(self, request: TrackedRequest) -> bool:
        """Whether an attempt ended unsent at each upstream that serves.

        Guards against retrying on a full fleet again and again: it is full for the next request too.
        """
        unsent_at = {a.upstream.id for a in request.attempts if a.outcome in UNSENT}
        return bool(unsent_at) and all(u.id in unsent_at for u in self.upstreams.values() if u.serving)

    def _end_unserved(self, request: TrackedRequest) -> None:
        """Refuse if it had no effect for certain or a repeat by the client is harmless, otherwise fail."""
        keyed_everywhere = (
            request.request_class.idempotency is api.Idempotency.KEYED
            and request.request_class.key_scope is api.KeyScope.ALL
        )
        harmless = request.request_class.idempotency is api.Idempotency.REPEATABLE or keyed_everywhere
        if harmless or (
            not request.may_have_run()
            and (not request.body_complete or self.now + self.recheck_interval < request.answer_by)
        ):
            self._end(request, api.Refuse(request.id, self.settings.max_retry_after))
        else:
            self._end(request, api.Fail(request.id))

    def _end(self, request: TrackedRequest | None, answer: api.Action | None) -> None:
        """The only place that ends a request; `answer` is None when the client has its answer or has left."""
        if request is None or request.done:
            return
        request.done = True
        self.waiting.pop(request.id, None)
        self.actions += [answer] if answer is not None else []
        self._cancel_others(request)
        if not request.attempts_in_flight:
            self.requests.pop(request.id, None)

    def _cancel_others(self, request: TrackedRequest, kept: int = -1) -> None:
        """Cancel all attempts in flight but the one numbered `kept`."""
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None and number != kept and self.settings.cancel:
                self.actions.append(api.CancelAttempt(request.id, number))
