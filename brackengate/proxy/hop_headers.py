"""What one pilot says to the next about a request, beside the request itself.  Pure.

One header each way, `X-Brackengate-Hop`.  It is the pilots' own: one that a client or an upstream sends is
dropped.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from brackengate.http.message import Arrival
from brackengate.http.upstream import Answered
from brackengate.net.node import Reply

ATTEMPT_ID = b"X-Brackengate-Attempt-Id"
DEADLINE = b"X-Brackengate-Deadline-Ms"
OPERATION_KEY = b"X-Brackengate-Operation-Key"
SERVER_SEAL = b"X-Brackengate-Server-Seal"
TARGET_INSTANCE = b"X-Brackengate-Target-Instance"
NOT_EXECUTED = b"X-Brackengate-Not-Executed"
CALLER_SERVICE = b"X-Brackengate-Caller-Service"
HOP = b"X-Brackengate-Hop"

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" content-length".split()
)
_HOP_INFO = re.compile(
    rb"([srk]) ([0-9]{1,4}) (-?[0-9]{1,9}) ([01]) ([0-9]{1,9}) ([!-~]{1,200}) ([!-~]{1,200})"
)


class HopOutcome(Enum):
    """What became of a request at a gate."""

    RAN = b"ran"  # the upstream's own answer
    FULL = b"full"  # turned away at the gate: it would come too late here
    AWAY = b"away"  # turned away at the gate: it has not run and never will
    UNCLAIMED = b"unclaimed"  # its key could not be claimed in time: it has not run and never will
    SHED = b"shed"  # the upstream turned it away
    UNREACHED = b"unreached"  # no connection to the upstream: it has not run
    BROKEN = b"broken"  # the connection broke behind the request
    SPOILT = b"spoilt"  # what came back was no answer to it
    LATE = b"late"  # its time was up
    BUSY = b"busy"  # another try of its operation is at work
    UNKNOWN = b"unknown"  # what became of its operation is not known; this try has not run


_OUTCOMES_BY_VALUE = {outcome.value: outcome for outcome in HopOutcome}


@dataclass(frozen=True, slots=True)
class HopInfo:
    """From a way out to a gate, or from a gate to another one that holds the key."""

    instance: str
    keyed: bool
    attempt_number: int = 0
    replay: bool = False
    target_latency_ms: int = 0  # until its answer loses worth
    client_retry: bool = False  # its client was refused before
    route: str = "-"  # of a replay: the service that its route goes to
    priority: int = 0  # its route's priority; 0 is the highest

    def header_line(self) -> bytes:
        kind = b"r" if self.replay else b"k" if self.keyed else b"s"
        names = self.instance.encode("latin-1", "replace"), (self.route or "-").encode("ascii", "replace")
        numbers = self.attempt_number, self.target_latency_ms, self.client_retry, self.priority
        return b"%s: %s %d %d %d %d %s %s\r\n" % (HOP, kind, *numbers, *names)


def parse_hop_info(fields: dict[bytes, bytes]) -> HopInfo | None:
    found = _HOP_INFO.fullmatch(fields.get(HOP.lower(), b""))
    if found is None:
        return None
    keyed, replay = found[1] != b"s", found[1] == b"r"
    instance, route = found[6].decode("latin-1"), found[7].decode("latin-1")
    return HopInfo(
        instance, keyed, int(found[2]), replay, int(found[3]), found[4] == b"1", route, int(found[5])
    )


def parse_hop_outcome(fields: dict[bytes, bytes]) -> HopOutcome | None:
    return _OUTCOMES_BY_VALUE.get(fields.get(HOP.lower(), b""))


def forwarded_head(arrival: Arrival, drop: tuple[bytes, ...]) -> bytes:
    """A request's head as it goes on, without the headers of one connection and those that are dropped."""
    dropped = HOP_BY_HOP | {name.lower() for name in drop}
    connection_tokens = arrival.fields.get(b"connection")
    if connection_tokens is not None:
        dropped |= {token.strip().lower() for token in connection_tokens.split(b",")} - {
            b"host",
            ATTEMPT_ID.lower(),
            OPERATION_KEY.lower(),
        }
    lines = [b"%s %s HTTP/1.1" % (arrival.method, arrival.target)]
    lines += [b"%s: %s" % (name, value) for name, value in arrival.headers if name.lower() not in dropped]
    lines += arrival.framing()
    return b"\r\n".join(lines) + b"\r\n"


def rejection_reply(arrival: Arrival, status: int, outcome: HopOutcome) -> Reply:
    """The word of a proxy itself; it bears the call's id, so that the other one can tell whose it is."""
    extra = b"%s: %s\r\n" % (HOP, outcome.value)
    attempt_id = arrival.fields.get(ATTEMPT_ID.lower())
    if attempt_id is not None:
        extra += b"%s: %s\r\n" % (ATTEMPT_ID, attempt_id)
    return Reply(status, extra=extra)


def forwarded_answer(answer: Answered, drop: tuple[bytes, ...] = (HOP,), add: bytes = b"") -> Reply:
    """An answer as it goes back."""
    dropped = HOP_BY_HOP | {name.lower() for name in drop}
    connection_tokens = answer.fields.get(b"connection")
    if connection_tokens is not None:
        dropped |= {token.strip().lower() for token in connection_tokens.split(b",")} - {
            ATTEMPT_ID.lower(),
            SERVER_SEAL.lower(),
        }
    extra = [b"%s: %s\r\n" % (name, value) for name, value in answer.headers if name.lower() not in dropped]
    return Reply(answer.status, answer.body, extra=b"".join(extra) + add)
