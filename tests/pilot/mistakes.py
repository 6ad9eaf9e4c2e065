"""Mistakes in the call path that the drawn histories have to find: each takes one mechanism out."""

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
from brackengate.pilot import entry, keys, verdict, way
from brackengate.pilot.gate import State
from brackengate.pilot.hop import SEAL, Said, passed_on
from brackengate.policy import retries
from brackengate.policy.state import Call

Judge = Callable[[bytes, UpstreamResponse], Result]
Patch = Callable[[], AbstractContextManager[Any]]


@dataclass(frozen=True)
class Mistake:
    words: str
    made: Patch


def _no_id(judge: Judge) -> Judge:
    """Takes every answer for the call's own."""

    def judged(payload: bytes, answer: UpstreamResponse) -> Result:
        asked = verdict.call_id(payload)
        fields = {**answer.fields, verdict._ID: asked or b""}
        return judge(
            payload, UpstreamResponse(answer.status, fields, answer.body, answer.reuse, answer.headers)
        )

    return judged


def _bare_refusal(payload: bytes, answer: UpstreamResponse) -> Result:
    """Passes a 429 or 503 on that does not say that nothing has run."""
    result = _own_judge(payload, answer)
    bare = answer.status in verdict.PROMISES and result.outcome is Outcome.ERROR
    return Result(Outcome.OK, response=answer) if bare else result


def _bare_refusal_back(payload: bytes, answer: UpstreamResponse) -> Result:
    result = _judge(payload, answer)
    if answer.status in verdict.PROMISES and result.mismatched and answer.fields.get(verdict._SEAL):
        return Result(Outcome.ERROR, response=answer)
    return result


def _no_seal(judge: Judge) -> Judge:
    """Takes a success that nobody has put a seal to."""

    def judged(payload: bytes, answer: UpstreamResponse) -> Result:
        fields = {verdict._SEAL: b"", **answer.fields}
        return judge(
            payload, UpstreamResponse(answer.status, fields, answer.body, answer.reuse, answer.headers)
        )

    return judged


def _sealed_502(self: way.MeshWords, status: int, retry_after: int, last: Result | None, ran: Any) -> Reply:
    """A failure of the proxy's own keeps what the upstream's answer bore."""
    reply = _unserved(self, status, retry_after, last, ran)
    answer = last.response if last is not None else None
    if answer is not None and SEAL.lower() in answer.fields and status == STATUS_BAD_GATEWAY:
        return Reply(STATUS_BAD_GATEWAY, extra_headers=passed_on(answer).extra_headers)
    return reply


def _class_of(route: Any) -> RequestClass:
    """What must run once is sent again as what may run twice."""
    made = _true_class_of(route)
    return RequestClass(
        made.name, made.aim, made.deadline, Idempotency.REPEATABLE, late_worth=0.3,
        max_attempts=made.max_attempts,
    )  # fmt: skip


def _claim(self: keys.Keys, operation: Any, visit: Any) -> None:
    """Runs before the claim is granted."""
    operation.state = State.UNRUN
    self._join(visit, operation)


def _ran(self: entry.Entry, visit: Any, result: Result) -> None:
    """Lifts the claim of what may have run."""
    if visit.operation is not None and result.outcome is Outcome.RESET:
        result = Result(Outcome.CONNECT_FAILED)
    _true_ran(self, visit, result)


def _unclaim(self: entry.Entry, visit: Any, operation: Any, said: Said) -> None:
    """Says that it has not run, and keeps the claim as one to run under; the try itself too."""
    operation.state = State.UNRUN
    visit.operation = None
    self._say(visit, said)


def _ended(self: UpstreamMachine, clean: bool) -> list[Any]:
    """Takes what there is of an answer for all of it, once its connection has closed in order."""
    if clean and self.written and self._status and not self._message_complete:
        answer = UpstreamResponse(self._status, self._fields, b"".join(self._body), False, self._headers)
        self._close()
        return [answer]
    return _true_ended(self, clean)


def _retry(self: retries.Retries, call: Call, ended: Any) -> bool:
    """Counts a try that was lost with its connection for none."""
    call.most += ended.outcome is Outcome.RESET
    return _true_retry(self, call, ended)


def _broken(self: upstream.Job, stale: bool = False) -> None:
    """Takes a call whose connection broke for one that has not run."""
    self.finish(Result(Outcome.CONNECT_FAILED, stale=stale))


_own_judge, _judge, _unserved = verdict.own_judge, verdict.judge, way.MeshWords.failure
_true_class_of, _true_ran, _true_ended = way._class_of, entry.Entry._ran, UpstreamMachine.ended
_true_retry = retries.Retries._retry


_always_wanted = property(lambda self: upstream.always_true, lambda self, wanted: None)


def _both(own: Judge, back: Judge) -> Patch:
    """At both hops: each one alone would be caught by the other."""

    def made() -> AbstractContextManager[Any]:
        stack = ExitStack()
        stack.enter_context(patch.object(verdict, "own_judge", own))
        stack.enter_context(patch.object(verdict, "judge", back))
        stack.enter_context(patch.object(way, "judge", back))
        return stack

    return made


MISTAKES = {
    "id-at-gate": Mistake(
        "the proxy beside the upstream doesn't look whose an answer is",
        lambda: patch.object(verdict, "own_judge", _no_id(_own_judge)),
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
        lambda: patch.object(way.MeshWords, "failure", _sealed_502),
    ),
    "sent-again": Mistake(
        "what must run once is sent again after its connection broke",
        lambda: patch.object(way, "_class_of", _class_of),
    ),
    "unclaimed": Mistake(
        "a keyed call runs before its key is claimed", lambda: patch.object(keys.Keys, "_claim", _claim)
    ),
    "lifted": Mistake(
        "the claim of what may have run is lifted", lambda: patch.object(entry.Entry, "_ran", _ran)
    ),
    "same-connection": Mistake(
        "a call goes again on a connection that refused it",
        lambda: patch.object(upstream, "NOT_EXECUTED", ()),
    ),
    "cut-short": Mistake(
        "what there is of an answer counts as all of it",
        lambda: patch.object(UpstreamMachine, "ended", _ended),
    ),
    "broken-is-unrun": Mistake(
        "a connection that breaks behind a call says that it has not run",
        lambda: patch.object(upstream.Job, "connection_broken", _broken),
    ),
    "free-resets": Mistake(
        "a try that was lost with its connection doesn't count toward MaxAttempts",
        lambda: patch.object(retries.Retries, "_retry", _retry),
    ),
    "thawed": Mistake(
        "a proxy that stood still sends for callers who have left",
        lambda: patch.object(CallerConnection, "closed_by_caller", lambda self: False),
    ),
    "late-dial": Mistake(
        "what waited for a connection is sent although its time is over",
        lambda: patch.object(
            upstream.Job, "still_wanted", property(lambda self: lambda: True, lambda self, to: None)
        ),
    ),
    "no-deadline": Mistake(
        "a call is held past its route's Cutoff",
        lambda: patch.object(way, "min", lambda one, other: max(one, other) + 1_000_000, create=True),
    ),
}
