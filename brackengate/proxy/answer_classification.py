"""What an answer means at each hop: whose it is, whether its call ran, and whether it may go back.  Pure.

Each hop has a check of its own, on failures as on successes: the proxy beside the upstream (`own_judge`)
reads what an application sent, the proxy beside the client (`judge`) what another proxy sent.  An answer
whose id is not the call's own is out of step with its connection: nothing of it goes back, and the connection
is closed.
"""

from __future__ import annotations

from brackengate.http.upstream import Answered
from brackengate.interface import Outcome
from brackengate.net.upstream import Result
from brackengate.proxy.hop_headers import ATTEMPT_ID, NOT_EXECUTED, SERVER_SEAL, HopOutcome, parse_hop_outcome

NOT_EXECUTED_STATUSES = frozenset(
    (408, 421, 429, 503)
)  # to a client they say that its call has not run and never will
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
    # The call may have run, or its operation has; that tells nothing of the upstream.
    HopOutcome.SPOILT: Outcome.TIMEOUT,
    HopOutcome.LATE: Outcome.TIMEOUT,
    HopOutcome.BUSY: Outcome.TIMEOUT,
    HopOutcome.UNKNOWN: Outcome.TIMEOUT,
}


def attempt_id_of(payload: bytes) -> bytes | None:
    """The attempt id in the head of a request as it is written; None: it has none."""
    head = payload[: payload.find(b"\r\n\r\n") + 2]
    at = head.lower().find(_ATTEMPT_ID_LINE)
    if at < 0:
        return None
    start = at + len(_ATTEMPT_ID_LINE)
    return head[start : head.index(b"\r\n", start)].strip()


def classify_upstream_answer(payload: bytes, answer: Answered) -> Result:
    """What an upstream's answer means, by its head."""
    answer_id = answer.fields.get(_ATTEMPT_ID)
    if _has_duplicate_headers(answer):
        return Result(Outcome.ERROR, astray=True)
    if answer_id != attempt_id_of(payload):
        return Result(Outcome.ERROR if answer_id is None else Outcome.RESET, astray=True)
    if _NOT_EXECUTED in answer.fields or answer.status == MISDIRECTED:
        return Result(Outcome.REJECTED, answer=answer)
    if answer.status in NOT_EXECUTED_STATUSES:
        return Result(Outcome.ERROR)  # without that header it proves nothing, and would become our promise
    if _lacks_seal(answer):
        return Result(Outcome.ERROR, astray=True)
    return Result(Outcome.OK, answer=answer)


def classify_proxy_answer(payload: bytes, answer: Answered) -> Result:
    """What the answer of the proxy beside an upstream means to the module that chooses among upstreams."""
    outcome = parse_hop_outcome(answer.fields)
    if outcome is None:
        return Result(Outcome.TIMEOUT, astray=True)  # a listener's own words; which call they are for is open
    if answer.fields.get(_ATTEMPT_ID) != attempt_id_of(payload) or _has_duplicate_headers(answer):
        return Result(Outcome.RESET, astray=True)
    if outcome is not HopOutcome.RAN:
        return Result(_OUTCOMES[outcome], answer=answer)
    if answer.status in NOT_EXECUTED_STATUSES or _lacks_seal(answer):
        return Result(Outcome.TIMEOUT, astray=True)
    return Result(Outcome.OK if answer.status < 500 else Outcome.ERROR, answer=answer)


def _has_duplicate_headers(answer: Answered) -> bool:
    """Whether it names two ids or two seals: each reader could take another one for its own."""
    if len(answer.headers) <= len(answer.fields):
        return False
    names = [name.lower() for name, _ in answer.headers]
    return max(names.count(_ATTEMPT_ID), names.count(_SERVER_SEAL)) > 1


def _lacks_seal(answer: Answered) -> bool:
    """Whether it is a success that no upstream has put its seal to."""
    return answer.status < 300 and _SERVER_SEAL not in answer.fields
