"""The states of both kinds of connection, and every move that there is, in one place.

A move that is not in its table is a fault of this program (`InvalidTransition`): nothing was said or done by
it.
"""

from __future__ import annotations

from enum import IntEnum, auto
from typing import TypeVar

from brackengate.http.message import InvalidTransition

S = TypeVar("S")
M = TypeVar("M")


class CallerState(IntEnum):
    """A caller's connection.  What follows a request that is held lies unread until that has its answer."""

    IDLE = auto()
    HEAD = auto()  # a part of a request's head is there
    BODY = auto()  # its head is, and its body is coming; nobody has been told yet
    STREAMING_BODY = auto()  # handed on, with its body still coming
    AWAITING_ANSWER = auto()  # it is whole and handed on: an answer is owed
    ANSWERING = auto()  # a long answer has begun
    LINGERING = auto()  # the last answer was given; what still comes is read and let go for a while
    CLOSED = auto()  # nothing is read or said any more


class CallerTransition(IntEnum):
    REQUEST_STARTED = auto()  # the first byte of a request
    HEAD_COMPLETE = auto()  # its head is whole, and a body follows
    HANDED_ON = auto()  # its body is long, and there is no room for more of it
    REQUEST_COMPLETE = auto()  # its last byte
    REFUSED = auto()  # what came is answered with an error, and nothing more is read
    ANSWERED = auto()  # the whole answer
    ANSWERED_LAST = auto()  # the same, and the connection ends
    ANSWERED_EARLY = auto()  # the last answer, with more of its request on the way
    ANSWER_STARTED = auto()
    ANSWER_ENDED = auto()  # a long answer's last byte
    LAST_ANSWER_ENDED = auto()
    CLOSE = auto()  # ended from here, or by the other side


_C, _CM = CallerState, CallerTransition
CALLER_STATES: dict[tuple[CallerState, CallerTransition], CallerState] = {
    (_C.IDLE, _CM.REQUEST_STARTED): _C.HEAD,
    (_C.HEAD, _CM.HEAD_COMPLETE): _C.BODY,
    (_C.HEAD, _CM.REQUEST_COMPLETE): _C.AWAITING_ANSWER,
    (_C.HEAD, _CM.REFUSED): _C.LINGERING,
    (_C.BODY, _CM.HANDED_ON): _C.STREAMING_BODY,
    (_C.BODY, _CM.REQUEST_COMPLETE): _C.AWAITING_ANSWER,
    (_C.BODY, _CM.REFUSED): _C.LINGERING,
    (_C.STREAMING_BODY, _CM.REQUEST_COMPLETE): _C.AWAITING_ANSWER,
    (_C.STREAMING_BODY, _CM.REFUSED): _C.LINGERING,
    (_C.STREAMING_BODY, _CM.ANSWERED_EARLY): _C.LINGERING,
    (_C.AWAITING_ANSWER, _CM.REFUSED): _C.LINGERING,
    (_C.AWAITING_ANSWER, _CM.ANSWERED): _C.IDLE,
    (_C.AWAITING_ANSWER, _CM.ANSWERED_LAST): _C.CLOSED,
    (_C.AWAITING_ANSWER, _CM.ANSWER_STARTED): _C.ANSWERING,
    (_C.ANSWERING, _CM.ANSWER_ENDED): _C.IDLE,
    (_C.ANSWERING, _CM.LAST_ANSWER_ENDED): _C.CLOSED,
    **{(state, _CM.CLOSE): _C.CLOSED for state in CallerState},
}


class UpstreamState(IntEnum):
    """A connection to an upstream, as far as answers go; whether the request is written is apart."""

    IDLE = auto()
    AWAITING = auto()  # a request was begun; nothing has come
    HEAD = auto()  # a part of an answer's head, or an interim answer
    BODY = auto()  # its head is there; the body is kept until it is whole
    STREAMING = auto()  # the body is passed on as it comes
    CLOSED = auto()


class UpstreamTransition(IntEnum):
    REQUEST_STARTED = auto()  # a request begins
    RESPONSE_STARTED = auto()  # the first byte of an answer
    HEAD_COMPLETE = auto()  # the final answer's head is whole
    STREAMING_STARTED = auto()  # it is long, or slow: its first bytes go on
    RESPONSE_COMPLETE = auto()  # its last byte, and the connection may be used again
    CLOSE = auto()


_U, _UM = UpstreamState, UpstreamTransition
UPSTREAM_STATES: dict[tuple[UpstreamState, UpstreamTransition], UpstreamState] = {
    (_U.IDLE, _UM.REQUEST_STARTED): _U.AWAITING,
    (_U.AWAITING, _UM.RESPONSE_STARTED): _U.HEAD,
    (_U.HEAD, _UM.HEAD_COMPLETE): _U.BODY,
    (_U.BODY, _UM.STREAMING_STARTED): _U.STREAMING,
    (_U.BODY, _UM.RESPONSE_COMPLETE): _U.IDLE,
    (_U.STREAMING, _UM.RESPONSE_COMPLETE): _U.IDLE,
    **{(state, _UM.CLOSE): _U.CLOSED for state in UpstreamState},
}


def next_state(table: dict[tuple[S, M], S], state: S, move: M) -> S:
    """Where a move leads; LocalFault where there is none from here."""
    found = table.get((state, move))
    if found is None:
        raise InvalidTransition(f"a connection that is {state!r} has no move {move!r}")
    return found
