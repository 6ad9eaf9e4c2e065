"""What one pilot says to the next about a request, beside the request itself.  Pure.

One header each way, `X-Brackengate-Hop`.  It is the pilots' own: one that a client or an upstream sends is
dropped.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from brackengate.http.message import IncomingRequest
from brackengate.http.upstream import UpstreamResponse
from brackengate.net.node import Reply

ATTEMPT = b"X-Brackengate-Attempt-Id"
DEADLINE = b"X-Brackengate-Deadline-Ms"
KEY = b"X-Brackengate-Operation-Key"
SEAL = b"X-Brackengate-Server-Seal"
TARGET = b"X-Brackengate-Target-Instance"
UNRUN = b"X-Brackengate-Not-Executed"
CALLER = b"X-Brackengate-Caller-Service"
HOP = b"X-Brackengate-Hop"

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" content-length".split()
)
_STEP = re.compile(rb"([srk]) ([0-9]{1,4}) (-?[0-9]{1,9}) ([01]) ([0-9]{1,9}) ([!-~]{1,200}) ([!-~]{1,200})")


class Said(Enum):
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


_SAID = {said.value: said for said in Said}


@dataclass(frozen=True, slots=True)
class Step:
    """From a way out to a gate, or from a gate to another one that holds the key."""

    instance: str
    keyed: bool
    number: int = 0
    replay: bool = False
    aim_ms: int = 0  # until its answer loses worth
    again: bool = False  # its client was refused before
    route: str = "-"  # of a replay: the service that its route goes to
    rank: int = 0  # its route's priority; 0 is the highest

    def lines(self) -> bytes:
        kind = b"r" if self.replay else b"k" if self.keyed else b"s"
        names = self.instance.encode("latin-1", "replace"), (self.route or "-").encode("ascii", "replace")
        numbers = self.number, self.aim_ms, self.again, self.rank
        return b"%s: %s %d %d %d %d %s %s\r\n" % (HOP, kind, *numbers, *names)


def step_of(fields: dict[bytes, bytes]) -> Step | None:
    found = _STEP.fullmatch(fields.get(HOP.lower(), b""))
    if found is None:
        return None
    keyed, replay = found[1] != b"s", found[1] == b"r"
    instance, route = found[6].decode("latin-1"), found[7].decode("latin-1")
    return Step(instance, keyed, int(found[2]), replay, int(found[3]), found[4] == b"1", route, int(found[5]))


def hop_of(fields: dict[bytes, bytes]) -> Said | None:
    return _SAID.get(fields.get(HOP.lower(), b""))


def forwarded(arrival: IncomingRequest, drop: tuple[bytes, ...]) -> bytes:
    """A request's head as it goes on, without the headers of one connection and those that are dropped."""
    dropped = HOP_BY_HOP | {name.lower() for name in drop}
    named = arrival.fields.get(b"connection")
    if named is not None:
        dropped |= {token.strip().lower() for token in named.split(b",")} - {
            b"host",
            ATTEMPT.lower(),
            KEY.lower(),
        }
    lines = [b"%s %s HTTP/1.1" % (arrival.method, arrival.target)]
    lines += [b"%s: %s" % (name, value) for name, value in arrival.headers if name.lower() not in dropped]
    lines += arrival.framing()
    return b"\r\n".join(lines) + b"\r\n"


def turned_down(arrival: IncomingRequest, status: int, said: Said) -> Reply:
    """The word of a proxy itself; it bears the call's id, so that the other one can tell whose it is."""
    extra = b"%s: %s\r\n" % (HOP, said.value)
    asked = arrival.fields.get(ATTEMPT.lower())
    if asked is not None:
        extra += b"%s: %s\r\n" % (ATTEMPT, asked)
    return Reply(status, extra_headers=extra)


def passed_on(answer: UpstreamResponse, drop: tuple[bytes, ...] = (HOP,), add: bytes = b"") -> Reply:
    """An answer as it goes back."""
    dropped = HOP_BY_HOP | {name.lower() for name in drop}
    named = answer.fields.get(b"connection")
    if named is not None:
        dropped |= {token.strip().lower() for token in named.split(b",")} - {ATTEMPT.lower(), SEAL.lower()}
    extra = [b"%s: %s\r\n" % (name, value) for name, value in answer.headers if name.lower() not in dropped]
    return Reply(answer.status, answer.body, extra_headers=b"".join(extra) + add)
