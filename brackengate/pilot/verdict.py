"""What an answer means at each hop: whose it is, whether its call ran, and whether it may go back.  Pure.

Each hop has a check of its own, on failures as on successes: the proxy beside the upstream (`own_judge`)
reads what an application sent, the proxy beside the client (`judge`) what another proxy sent.  An answer
whose id is not the call's own is out of step with its connection: nothing of it goes back, and the connection
is closed.
"""

from __future__ import annotations

from brackengate.http.upstream import UpstreamResponse
from brackengate.interface import Outcome
from brackengate.net.upstream import Result
from brackengate.pilot.hop import ATTEMPT, SEAL, UNRUN, Said, hop_of

PROMISES = frozenset((408, 421, 429, 503))  # to a client they say that its call has not run and never will
MISDIRECTED = 421
_ID, _SEAL, _UNRUN = ATTEMPT.lower(), SEAL.lower(), UNRUN.lower()
_ID_LINE = b"\r\n" + _ID + b":"

_OUTCOMES = {
    Said.AWAY: Outcome.NOT_SENT,
    Said.FULL: Outcome.NOT_SENT,
    Said.UNCLAIMED: Outcome.NOT_SENT,
    Said.SHED: Outcome.REJECTED,
    Said.UNREACHED: Outcome.CONNECT_FAILED,
    Said.BROKEN: Outcome.RESET,
    # The call may have run, or its operation has; that tells nothing of the upstream.
    Said.SPOILT: Outcome.TIMEOUT,
    Said.LATE: Outcome.TIMEOUT,
    Said.BUSY: Outcome.TIMEOUT,
    Said.UNKNOWN: Outcome.TIMEOUT,
}


def call_id(payload: bytes) -> bytes | None:
    """The attempt id in the head of a request as it is written; None: it has none."""
    head = payload[: payload.find(b"\r\n\r\n") + 2]
    at = head.lower().find(_ID_LINE)
    if at < 0:
        return None
    start = at + len(_ID_LINE)
    return head[start : head.index(b"\r\n", start)].strip()


def own_judge(payload: bytes, answer: UpstreamResponse) -> Result:
    """What an upstream's answer means, by its head."""
    told = answer.fields.get(_ID)
    if _twofold(answer):
        return Result(Outcome.ERROR, mismatched=True)
    if told != call_id(payload):
        return Result(Outcome.ERROR if told is None else Outcome.RESET, mismatched=True)
    if _UNRUN in answer.fields or answer.status == MISDIRECTED:
        return Result(Outcome.REJECTED, response=answer)
    if answer.status in PROMISES:
        return Result(Outcome.ERROR)  # without that header it proves nothing, and would become our promise
    if _lacks_seal(answer):
        return Result(Outcome.ERROR, mismatched=True)
    return Result(Outcome.OK, response=answer)


def judge(payload: bytes, answer: UpstreamResponse) -> Result:
    """What the answer of the proxy beside an upstream means to the module that chooses among upstreams."""
    said = hop_of(answer.fields)
    if said is None:
        return Result(
            Outcome.TIMEOUT, mismatched=True
        )  # a listener's own words; which call they are for is open
    if answer.fields.get(_ID) != call_id(payload) or _twofold(answer):
        return Result(Outcome.RESET, mismatched=True)
    if said is not Said.RAN:
        return Result(_OUTCOMES[said], response=answer)
    if answer.status in PROMISES or _lacks_seal(answer):
        return Result(Outcome.TIMEOUT, mismatched=True)
    return Result(Outcome.OK if answer.status < 500 else Outcome.ERROR, response=answer)


def _twofold(answer: UpstreamResponse) -> bool:
    """Whether it names two ids or two seals: each reader could take another one for its own."""
    if len(answer.headers) <= len(answer.fields):
        return False
    names = [name.lower() for name, _ in answer.headers]
    return max(names.count(_ID), names.count(_SEAL)) > 1


def _lacks_seal(answer: UpstreamResponse) -> bool:
    """Whether it is a success that no upstream has put its seal to."""
    return answer.status < 300 and _SEAL not in answer.fields
