"""Headers between proxies: what one proxy tells the next about a request or its answer.  Pure.

There is one header each way, `X-Brackengate-Hop`.  Only proxies set it: one that a client or an upstream
sends is dropped.  Whatever a sender puts into a request's header can be read by the receiver: names are
encoded (`hop_names.py`), numbers are bounded.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

from brackengate.http.message import IncomingRequest
from brackengate.http.rules import is_unchanged_as_field_value
from brackengate.http.upstream import UpstreamResponse
from brackengate.net.node import Reply
from brackengate.proxy.hop_names import decode_name, encode_name

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
MAX_NUMBER = 10**18 - 1  # a number beyond it, of either sign, is sent as this one
_HOP_INFO = re.compile(
    rb"([srk]) ([0-9]{1,18}) (-?[0-9]{1,18}) ([01]) ([0-9]{1,18}) ([!-~]{1,200}) ([!-~]{1,200})"
)


class HopOutcome(Enum):
    """What became of a request at ingress; the value is what the hop header says."""

    RAN = b"ran"  # the upstream's own answer
    FULL = b"full"  # rejected at ingress: it would be answered too late here
    AWAY = b"away"  # rejected at ingress: it has not run and never will
    UNCLAIMED = b"unclaimed"  # its key could not be claimed in time: it has not run and never will
    SHED = b"shed"  # the upstream rejected it
    UNREACHED = b"unreached"  # no connection to the upstream: it has not run
    BROKEN = b"broken"  # the connection broke after the request was sent
    SPOILT = b"spoilt"  # what came back is not a valid answer to it
    LATE = b"late"  # its deadline passed
    BUSY = b"busy"  # another attempt of its operation is in progress
    UNKNOWN = b"unknown"  # the outcome of its operation is not known; this attempt has not run


_OUTCOMES_BY_VALUE = {outcome.value: outcome for outcome in HopOutcome}


@dataclass(frozen=True, slots=True)
class HopInfo:
    """A request's hop header: from egress to ingress, or from ingress to the one that holds its key.

    At the receiver, names are as `name_after_hop` gives them.
    """

    instance: str
    keyed: bool
    attempt_number: int = 0
    replay: bool = False
    target_latency_ms: int = 0  # after which its answer loses value
    client_retry: bool = False  # its client was rejected before
    route: str = ""  # of a replay: the service its route leads to; empty: not known
    priority: int = 0  # its route's priority; 0 is the highest

    def header_line(self) -> bytes:
        """The header as a line with its line end."""
        kind = b"r" if self.replay else b"k" if self.keyed else b"s"
        return b"%s: %s %d %d %d %d %s %s\r\n" % (
            HOP,
            kind,
            _bounded(self.attempt_number),
            _bounded(self.target_latency_ms),
            self.client_retry,
            _bounded(self.priority),
            encode_name(self.instance),
            encode_name(self.route),
        )


def _bounded(number: int) -> int:
    return number if -MAX_NUMBER <= number <= MAX_NUMBER else MAX_NUMBER if number > 0 else -MAX_NUMBER


def parse_hop_info(fields: dict[bytes, bytes]) -> HopInfo | None:
    """The hop header of a request; None: it is missing or malformed."""
    found = _HOP_INFO.fullmatch(fields.get(HOP.lower(), b""))
    if found is None:
        return None
    keyed, replay = found[1] != b"s", found[1] == b"r"
    instance, route = decode_name(found[6]), decode_name(found[7])
    return HopInfo(
        instance, keyed, int(found[2]), replay, int(found[3]), found[4] == b"1", route, int(found[5])
    )


def parse_hop_outcome(fields: dict[bytes, bytes]) -> HopOutcome | None:
    """The hop header of an answer; None: it is missing or not known."""
    return _OUTCOMES_BY_VALUE.get(fields.get(HOP.lower(), b""))


def forwarded_head(arrival: IncomingRequest, drop: tuple[bytes, ...]) -> bytes:
    """A request's head as it is forwarded, without hop-by-hop headers and those in `drop`."""
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


def target_instance_line(instance: str) -> bytes:
    """The header line that names the upstream a request is for, which any other one rejects.

    Empty if no header can carry its id: the header is optional, and one with another id would be rejected.
    """
    id_ = instance.encode()
    return b"%s: %s\r\n" % (TARGET_INSTANCE, id_) if is_unchanged_as_field_value(id_) else b""


def rejection_reply(arrival: IncomingRequest, status: int, outcome: HopOutcome) -> Reply:
    """A proxy's own answer."""
    return Reply(status, extra_headers=rejection_headers(arrival, outcome))


def rejection_headers(arrival: IncomingRequest, outcome: HopOutcome) -> bytes:
    """Header lines of a proxy's own answer, with the attempt id by which the other proxy can match it."""
    lines = b"%s: %s\r\n" % (HOP, outcome.value)
    attempt_id = arrival.fields.get(ATTEMPT_ID.lower())
    if attempt_id is not None:
        lines += b"%s: %s\r\n" % (ATTEMPT_ID, attempt_id)
    return lines


def forwarded_answer(answer: UpstreamResponse, drop: tuple[bytes, ...] = (HOP,), add: bytes = b"") -> Reply:
    """An answer as it is forwarded, without hop-by-hop headers and those in `drop`; `add`: header lines."""
    dropped = HOP_BY_HOP | {name.lower() for name in drop}
    connection_tokens = answer.fields.get(b"connection")
    if connection_tokens is not None:
        dropped |= {token.strip().lower() for token in connection_tokens.split(b",")} - {
            ATTEMPT_ID.lower(),
            SERVER_SEAL.lower(),
        }
    extra = [b"%s: %s\r\n" % (name, value) for name, value in answer.headers if name.lower() not in dropped]
    return Reply(answer.status, answer.body, extra_headers=b"".join(extra) + add)
