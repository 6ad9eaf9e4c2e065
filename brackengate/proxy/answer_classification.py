"""Classifies answers at each hop: whose they are, whether the request ran, whether to forward them.  Pure.

Each hop makes its own check, on failures as on successes: the proxy beside the upstream
(`classify_upstream_answer`) reads what an application sent, the proxy beside the client
(`classify_proxy_answer`) what another proxy sent.  An answer with another attempt id than the request's is
out of step with its connection: nothing of it is forwarded, and the connection is closed.
"""

from __future__ import annotations

from brackengate.http.upstream import UpstreamResponse
from brackengate.interface import Outcome
from brackengate.net.upstream import Result
from brackengate.proxy.hop_headers import ATTEMPT_ID, NOT_EXECUTED, SERVER_SEAL, HopOutcome, parse_hop_outcome

NOT_EXECUTED_STATUSES = frozenset(
    (408, 421, 429, 503)
)  # they promise a client that its request has not run and never will
MISDIRECTED = 421
_ATTEMPT_ID, _SERVER_SEAL, _NOT_EXECUTED = ATTEMPT_ID.lower(), SERVER_SEAL.lower(), NOT_EXECUTED.lower()
_ATTEMPT_ID_LINE = b"\r\n" + _ATTEMPT_ID + b":"

_OUTCOMES = {
    HopOutcome.AWAY: Outcome.NOT_SENT,
    HopOutcome.FULL: Outcome.NOT_SENT,
    HopOutcome.UNCLAIMED: Outcome.NOT_SENT,
    HopOutcome.SHED: Outcome.REJECTED,
    HopOutcome.UNREACHED: Outcome.CONNECT_FAILED,
    HopOutcome.BROKEN: Outcome.RESET,
    # The request may have run, or its operation has; that says nothing about the upstream's health.
    HopOutcome.SPOILT: Outcome.TIMEOUT,
    HopOutcome.LATE: Outcome.TIMEOUT,
    HopOutcome.BUSY: Outcome.TIMEOUT,
    HopOutcome.UNKNOWN: Outcome.TIMEOUT,
}


def attempt_id_of(payload: bytes) -> bytes | None:
    """The attempt id in the head of a request as it is sent; None: it has none."""
    head = payload[: payload.find(b"\r\n\r\n") + 2]
    at = head.lower().find(_ATTEMPT_ID_LINE)
    if at < 0:
        return None
    start = at + len(_ATTEMPT_ID_LINE)
    return head[start : head.index(b"\r\n", start)].strip()


def classify_upstream_answer(payload: bytes, answer: UpstreamResponse) -> Result:
    """Classify an upstream's answer by its head."""
    answer_id = answer.fields.get(_ATTEMPT_ID)
    if _has_duplicate_headers(answer):
        return Result(Outcome.ERROR, mismatched=True)
    if answer_id != attempt_id_of(payload):
        return Result(Outcome.ERROR if answer_id is None else Outcome.RESET, mismatched=True)
    if _NOT_EXECUTED in answer.fields or answer.status == MISDIRECTED:
        return Result(Outcome.REJECTED, response=answer)
    if answer.status in NOT_EXECUTED_STATUSES:
        # Without that header it does not prove that nothing ran, which forwarding it would promise.
        return Result(Outcome.ERROR)
    if _lacks_seal(answer):
        return Result(Outcome.ERROR, mismatched=True)
    return Result(Outcome.OK, response=answer)


def classify_proxy_answer(payload: bytes, answer: UpstreamResponse) -> Result:
    """Classify the answer of the proxy beside an upstream, for the balancer."""
    outcome = parse_hop_outcome(answer.fields)
    if outcome is None:
        return Result(
            Outcome.TIMEOUT, mismatched=True
        )  # from the listener itself; not known for which request
    if answer.fields.get(_ATTEMPT_ID) != attempt_id_of(payload) or _has_duplicate_headers(answer):
        return Result(Outcome.RESET, mismatched=True)
    if outcome is not HopOutcome.RAN:
        return Result(_OUTCOMES[outcome], response=answer)
    if answer.status in NOT_EXECUTED_STATUSES or _lacks_seal(answer):
        return Result(Outcome.TIMEOUT, mismatched=True)
    return Result(Outcome.OK if answer.status < 500 else Outcome.ERROR, response=answer)


def _has_duplicate_headers(answer: UpstreamResponse) -> bool:
    """Whether it has two attempt ids or two seals: two readers could each pick a different one."""
    if len(answer.headers) <= len(answer.fields):
        return False
    names = [name.lower() for name, _ in answer.headers]
    return max(names.count(_ATTEMPT_ID), names.count(_SERVER_SEAL)) > 1


def _lacks_seal(answer: UpstreamResponse) -> bool:
    """Whether it is a success without an upstream's seal."""
    return answer.status < 300 and _SERVER_SEAL not in answer.fields
