"""Faulty variants of the request path that the random histories must detect: each disables one mechanism."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from brackengate.http.upstream import UpstreamMachine, UpstreamResponse
from brackengate.interface import Idempotency, Outcome, RequestClass
from brackengate.net import upstream
from brackengate.net.http import CallerConnection
from brackengate.net.node import STATUS_BAD_GATEWAY, Reply
from brackengate.net.upstream import Result
from brackengate.policy import retries
from brackengate.policy.state import TrackedRequest
from brackengate.proxy import answer_classification, egress, ingress, keys
from brackengate.proxy.admission import OperationState
from brackengate.proxy.hop_headers import SERVER_SEAL, HopOutcome, forwarded_answer

Classify = Callable[[bytes, UpstreamResponse], Result]
Patch = Callable[[], AbstractContextManager[Any]]


@dataclass(frozen=True)
class Mistake:
    """A fault: what is wrong, and the patch that makes it."""

    description: str
    apply: Patch


def _ignore_attempt_id(classify: Classify) -> Classify:
    """Ignores the attempt id of answers."""

    def classify_changed(payload: bytes, answer: UpstreamResponse) -> Result:
        attempt_id = answer_classification.attempt_id_of(payload)
        fields = {**answer.fields, answer_classification._ATTEMPT_ID: attempt_id or b""}
        return classify(
            payload, UpstreamResponse(answer.status, fields, answer.body, answer.reuse, answer.headers)
        )

    return classify_changed


def _forward_unproven_rejection(payload: bytes, answer: UpstreamResponse) -> Result:
    """Forwards a 429 or 503 without the header that says that nothing has run."""
    result = _classify_upstream_answer(payload, answer)
    bare = answer.status in answer_classification.NOT_EXECUTED_STATUSES and result.outcome is Outcome.ERROR
    return Result(Outcome.OK, response=answer) if bare else result


def _forward_unproven_rejection_of_proxy(payload: bytes, answer: UpstreamResponse) -> Result:
    """The same at the client's proxy, of what the other proxy forwarded."""
    result = _classify_proxy_answer(payload, answer)
    if (
        answer.status in answer_classification.NOT_EXECUTED_STATUSES
        and result.mismatched
        and answer.fields.get(answer_classification._SERVER_SEAL)
    ):
        return Result(Outcome.ERROR, response=answer)
    return result


def _accept_without_seal(classify: Classify) -> Classify:
    """Accepts a success without a seal."""

    def classify_changed(payload: bytes, answer: UpstreamResponse) -> Result:
        fields = {answer_classification._SERVER_SEAL: b"", **answer.fields}
        return classify(
            payload, UpstreamResponse(answer.status, fields, answer.body, answer.reuse, answer.headers)
        )

    return classify_changed


def _failure_with_seal(
    self: egress.EgressReplies, status: int, retry_after: int, last: Result | None, ran: Any
) -> Reply:
    """Adds the headers of the upstream's answer to the proxy's own failure answer."""
    reply = _true_failure(self, status, retry_after, last, ran)
    answer = last.response if last is not None else None
    if answer is not None and SERVER_SEAL.lower() in answer.fields and status == STATUS_BAD_GATEWAY:
        return Reply(STATUS_BAD_GATEWAY, extra_headers=forwarded_answer(answer).extra_headers)
    return reply


def _request_class_of(route: Any) -> RequestClass:
    """Declares requests that must run once as repeatable."""
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
    """Releases the claim of an operation that may have run."""
    if request.operation is not None and result.outcome is Outcome.RESET:
        result = Result(Outcome.CONNECT_FAILED)
    _true_on_upstream_done(self, request, result)


def _unclaim(self: ingress.Ingress, request: Any, operation: Any, outcome: HopOutcome) -> None:
    """Answers that the request has not run, and keeps its claim for the next run."""
    operation.state = OperationState.CLAIMED
    request.operation = None
    self._say(request, outcome)


def _accept_incomplete_answer(self: UpstreamMachine, clean: bool) -> list[Any]:
    """Takes an incomplete answer for a complete one if its connection was closed cleanly."""
    if clean and self.written and self._status and not self._message_complete:
        answer = UpstreamResponse(self._status, self._fields, b"".join(self._body), False, self._headers)
        self._close()
        return [answer]
    return _true_ended(self, clean)


def _spend_retry(self: retries.Retries, request: TrackedRequest, ended: Any) -> bool:
    """Does not count an attempt whose connection was reset."""
    request.max_attempts += ended.outcome is Outcome.RESET
    return _true_spend_retry(self, request, ended)


def _count_as_not_run(self: upstream.Job, stale: bool = False) -> None:
    """Takes a request whose connection broke for one that has not run."""
    self.finish(Result(Outcome.CONNECT_FAILED, stale=stale))


_classify_upstream_answer, _classify_proxy_answer, _true_failure = (
    answer_classification.classify_upstream_answer,
    answer_classification.classify_proxy_answer,
    egress.EgressReplies.failure,
)
_true_class_of, _true_on_upstream_done, _true_ended = (
    egress._request_class_of,
    ingress.Ingress._on_upstream_done,
    UpstreamMachine.ended,
)
_true_spend_retry = retries.Retries._spend_retry


_always_wanted = property(lambda self: upstream.always_true, lambda self, wanted: None)


def _patch_both(upstream_classify: Classify, proxy_classify: Classify) -> Patch:
    """Patches both hops, as either hop alone would detect the fault of the other."""

    def apply() -> AbstractContextManager[Any]:
        stack = ExitStack()
        stack.enter_context(
            patch.object(answer_classification, "classify_upstream_answer", upstream_classify)
        )
        stack.enter_context(patch.object(answer_classification, "classify_proxy_answer", proxy_classify))
        stack.enter_context(patch.object(egress, "classify_proxy_answer", proxy_classify))
        return stack

    return apply


MISTAKES = {
    "id-at-ingress": Mistake(
        "the proxy beside the upstream doesn't check the attempt id of answers",
        lambda: patch.object(
            answer_classification, "classify_upstream_answer", _ignore_attempt_id(_classify_upstream_answer)
        ),
    ),
    "id-at-egress": Mistake(
        "the proxy beside the client doesn't check the attempt id of answers",
        _patch_both(_classify_upstream_answer, _ignore_attempt_id(_classify_proxy_answer)),
    ),
    "bare-refusal": Mistake(
        "a 503 without proof that nothing ran is forwarded as a promise",
        _patch_both(_forward_unproven_rejection, _forward_unproven_rejection_of_proxy),
    ),
    "no-seal": Mistake(
        "a success without a seal is forwarded",
        _patch_both(
            _accept_without_seal(_classify_upstream_answer), _accept_without_seal(_classify_proxy_answer)
        ),
    ),
    "sealed-502": Mistake(
        "a proxy's own failure answer has an upstream's seal",
        lambda: patch.object(egress.EgressReplies, "failure", _failure_with_seal),
    ),
    "sent-again": Mistake(
        "a request that must run once is retried after its connection broke",
        lambda: patch.object(egress, "_request_class_of", _request_class_of),
    ),
    "unclaimed": Mistake(
        "a keyed request runs before its key is claimed",
        lambda: patch.object(keys.KeyedRequests, "_claim", _claim),
    ),
    "claim-released": Mistake(
        "the claim of an operation that may have run is released",
        lambda: patch.object(ingress.Ingress, "_on_upstream_done", _on_upstream_done),
    ),
    "same-connection": Mistake(
        "a request is retried on the connection that rejected it",
        lambda: patch.object(upstream, "NOT_EXECUTED", ()),
    ),
    "cut-short": Mistake(
        "an incomplete answer is taken for a complete one",
        lambda: patch.object(UpstreamMachine, "ended", _accept_incomplete_answer),
    ),
    "broken-is-unrun": Mistake(
        "a connection that breaks after a request was sent counts as proof that it has not run",
        lambda: patch.object(upstream.Job, "connection_broken", _count_as_not_run),
    ),
    "free-resets": Mistake(
        "an attempt whose connection was reset doesn't count toward MaxAttempts",
        lambda: patch.object(retries.Retries, "_spend_retry", _spend_retry),
    ),
    "resumed": Mistake(
        "a proxy that was paused sends requests of callers that have left",
        lambda: patch.object(CallerConnection, "closed_by_caller", lambda self: False),
    ),
    "late-dial": Mistake(
        "a request that waited for a connection is sent after its deadline",
        lambda: patch.object(
            upstream.Job, "still_wanted", property(lambda self: lambda: True, lambda self, to: None)
        ),
    ),
    "no-deadline": Mistake(
        "a request is held past its route's Cutoff",
        lambda: patch.object(egress, "min", lambda one, other: max(one, other) + 1_000_000, create=True),
    ),
}
