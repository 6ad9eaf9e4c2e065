"""Mistakes in the call path that the drawn histories have to find: each takes one mechanism out."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from brackengate.http.upstream import Answered, UpstreamMachine
from brackengate.interface import Idempotency, Outcome, RequestClass
from brackengate.net import upstream
from brackengate.net.http import CallerConnection
from brackengate.net.node import FAILED, Reply
from brackengate.net.upstream import Result
from brackengate.policy import retries
from brackengate.policy.state import TrackedRequest
from brackengate.proxy import answer_classification, egress, ingress, keys
from brackengate.proxy.admission import OperationState
from brackengate.proxy.hop_headers import SERVER_SEAL, HopOutcome, forwarded_answer

Judge = Callable[[bytes, Answered], Result]
Patch = Callable[[], AbstractContextManager[Any]]


@dataclass(frozen=True)
class Mistake:
    description: str
    apply: Patch


def _no_id(judge: Judge) -> Judge:
    """Takes every answer for the call's own."""

    def judged(payload: bytes, answer: Answered) -> Result:
        asked = answer_classification.attempt_id_of(payload)
        fields = {**answer.fields, answer_classification._ATTEMPT_ID: asked or b""}
        return judge(payload, Answered(answer.status, fields, answer.body, answer.reuse, answer.headers))

    return judged


def _bare_refusal(payload: bytes, answer: Answered) -> Result:
    """Passes a 429 or 503 on that does not say that nothing has run."""
    result = _own_judge(payload, answer)
    bare = answer.status in answer_classification.NOT_EXECUTED_STATUSES and result.outcome is Outcome.ERROR
    return Result(Outcome.OK, answer=answer) if bare else result


def _bare_refusal_back(payload: bytes, answer: Answered) -> Result:
    result = _judge(payload, answer)
    if (
        answer.status in answer_classification.NOT_EXECUTED_STATUSES
        and result.astray
        and answer.fields.get(answer_classification._SERVER_SEAL)
    ):
        return Result(Outcome.ERROR, answer=answer)
    return result


def _no_seal(judge: Judge) -> Judge:
    """Takes a success that nobody has put a seal to."""

    def judged(payload: bytes, answer: Answered) -> Result:
        fields = {answer_classification._SERVER_SEAL: b"", **answer.fields}
        return judge(payload, Answered(answer.status, fields, answer.body, answer.reuse, answer.headers))

    return judged


def _sealed_502(
    self: egress.EgressReplies, status: int, retry_after: int, last: Result | None, ran: Any
) -> Reply:
    """A failure of the proxy's own keeps what the upstream's answer bore."""
    reply = _unserved(self, status, retry_after, last, ran)
    answer = last.answer if last is not None else None
    if answer is not None and SERVER_SEAL.lower() in answer.fields and status == FAILED:
        return Reply(FAILED, extra=forwarded_answer(answer).extra)
    return reply


def _request_class_of(route: Any) -> RequestClass:
    """What must run once is sent again as what may run twice."""
    made = _true_class_of(route)
    return RequestClass(
        made.name, made.target_latency, made.deadline, Idempotency.REPEATABLE, late_value=0.3,
        max_attempts=made.max_attempts,
    )  # fmt: skip


def _claim(self: keys.KeyedRequests, operation: Any, request: Any) -> None:
    """Runs before the claim is granted."""
    operation.state = OperationState.CLAIMED
    self._resolve(request, operation)


def _on_upstream_done(self: ingress.Ingress, request: Any, result: Result) -> None:
    """Lifts the claim of what may have run."""
    if request.operation is not None and result.outcome is Outcome.RESET:
        result = Result(Outcome.CONNECT_FAILED)
    _true_ran(self, request, result)


def _unclaim(self: ingress.Ingress, request: Any, operation: Any, outcome: HopOutcome) -> None:
    """Says that it has not run, and keeps the claim as one to run under; the try itself too."""
    operation.state = OperationState.CLAIMED
    request.operation = None
    self._say(request, outcome)


def _ended(self: UpstreamMachine, clean: bool) -> list[Any]:
    """Takes what there is of an answer for all of it, once its connection has closed in order."""
    if clean and self.written and self._status and not self._complete:
        answer = Answered(self._status, self._fields, b"".join(self._body), False, self._headers)
        self._close()
        return [answer]
    return _true_ended(self, clean)


def _spend_retry(self: retries.Retries, request: TrackedRequest, ended: Any) -> bool:
    """Counts a try that was lost with its connection for none."""
    request.max_attempts += ended.outcome is Outcome.RESET
    return _true_spend_retry(self, request, ended)


def _broken(self: upstream.Job, stale: bool = False) -> None:
    """Takes a call whose connection broke for one that has not run."""
    self.finish(Result(Outcome.CONNECT_FAILED, stale=stale))


_own_judge, _judge, _unserved = (
    answer_classification.classify_upstream_answer,
    answer_classification.classify_proxy_answer,
    egress.EgressReplies.unserved,
)
_true_class_of, _true_ran, _true_ended = (
    egress._request_class_of,
    ingress.Ingress._on_upstream_done,
    UpstreamMachine.ended,
)
_true_spend_retry = retries.Retries._spend_retry


_always_wanted = property(lambda self: upstream.always, lambda self, wanted: None)


def _both(own: Judge, back: Judge) -> Patch:
    """At both hops: each one alone would be caught by the other."""

    def apply() -> AbstractContextManager[Any]:
        stack = ExitStack()
        stack.enter_context(patch.object(answer_classification, "classify_upstream_answer", own))
        stack.enter_context(patch.object(answer_classification, "classify_proxy_answer", back))
        stack.enter_context(patch.object(egress, "classify_proxy_answer", back))
        return stack

    return apply


MISTAKES = {
    "id-at-gate": Mistake(
        "the proxy beside the upstream doesn't look whose an answer is",
        lambda: patch.object(answer_classification, "classify_upstream_answer", _no_id(_own_judge)),
    ),
    "id-at-way-out": Mistake(
        "the proxy beside the client doesn't look whose an answer is", _both(_own_judge, _no_id(_judge))
    ),
    "bare-refusal": Mistake(
        "a 503 that proves nothing goes back as a promise", _both(_bare_refusal, _bare_refusal_back)
    ),
    "no-seal": Mistake("a success without a seal goes back", _both(_no_seal(_own_judge), _no_seal(_judge))),
    "sealed-502": Mistake(
        "a failure of the proxy's own bears an upstream's seal",
        lambda: patch.object(egress.EgressReplies, "unserved", _sealed_502),
    ),
    "sent-again": Mistake(
        "what must run once is sent again after its connection broke",
        lambda: patch.object(egress, "_request_class_of", _request_class_of),
    ),
    "unclaimed": Mistake(
        "a keyed call runs before its key is claimed",
        lambda: patch.object(keys.KeyedRequests, "_claim", _claim),
    ),
    "lifted": Mistake(
        "the claim of what may have run is lifted",
        lambda: patch.object(ingress.Ingress, "_on_upstream_done", _on_upstream_done),
    ),
    "same-connection": Mistake(
        "a call goes again on a connection that refused it", lambda: patch.object(upstream, "NOT_RUN", ())
    ),
    "cut-short": Mistake(
        "what there is of an answer counts as all of it",
        lambda: patch.object(UpstreamMachine, "ended", _ended),
    ),
    "broken-is-unrun": Mistake(
        "a connection that breaks behind a call says that it has not run",
        lambda: patch.object(upstream.Job, "broken", _broken),
    ),
    "free-resets": Mistake(
        "a try that was lost with its connection doesn't count toward MaxAttempts",
        lambda: patch.object(retries.Retries, "_spend_retry", _spend_retry),
    ),
    "thawed": Mistake(
        "a proxy that stood still sends for callers who have left",
        lambda: patch.object(CallerConnection, "abandoned", lambda self: False),
    ),
    "late-dial": Mistake(
        "what waited for a connection is sent although its time is over",
        lambda: patch.object(
            upstream.Job, "wanted", property(lambda self: lambda: True, lambda self, to: None)
        ),
    ),
    "no-deadline": Mistake(
        "a call is held past its route's Cutoff",
        lambda: patch.object(egress, "min", lambda one, other: max(one, other) + 1_000_000, create=True),
    ),
}
