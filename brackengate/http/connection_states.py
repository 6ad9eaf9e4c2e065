"""The states of callers' and upstreams' connections, and all valid transitions between them.

A transition that is not in its table is a bug in this program: it raises
`InvalidTransition` and has no effect.
"""

from __future__ import annotations

from enum import IntEnum, auto
from typing import TypeVar

from brackengate.http.message import InvalidTransition

S = TypeVar("S")
M = TypeVar("M")


class CallerState(IntEnum):
    """State of a caller's connection.  Bytes after a request stay unparsed until that request is answered."""

    IDLE = auto()
    HEAD = auto()  # part of a request's head was received
    BODY = auto()  # the head is complete, the body is being received; the request is not delivered yet
    STREAMING_BODY = auto()  # the request was delivered and its body is still being received
    AWAITING_ANSWER = auto()  # the request is complete and delivered
    ANSWERING = auto()  # a streamed answer has started
    LINGERING = auto()  # the last answer was sent; further input is read and discarded for a while
    CLOSED = auto()  # nothing is read or written any more


class CallerTransition(IntEnum):
    """What changes the state of a caller's connection."""

    REQUEST_STARTED = auto()  # first byte of a request
    HEAD_COMPLETE = auto()  # the head is complete and a body follows
    HANDED_ON = auto()  # the body is long and there is no room for more: deliver the request
    REQUEST_COMPLETE = auto()  # last byte of a request
    REFUSED = auto()  # the input is answered with an error, and nothing more is parsed
    ANSWERED = auto()  # a complete answer
    ANSWERED_LAST = auto()  # a complete answer, after which the connection is closed
    ANSWERED_EARLY = auto()  # the last answer, sent before the request is complete
    ANSWER_STARTED = auto()  # start of a streamed answer
    ANSWER_ENDED = auto()  # last byte of a streamed answer
    LAST_ANSWER_ENDED = auto()  # the same, after which the connection is closed
    CLOSE = auto()  # closed from here or by the caller


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
    """State of a connection to an upstream, for the response only; writing the request is tracked apart."""

    IDLE = auto()
    AWAITING = auto()  # a request was started and nothing was received
    HEAD = auto()  # part of the response's head, or an interim response, was received
    BODY = auto()  # the head is complete; the body is buffered until it is complete
    STREAMING = auto()  # the body is passed on as it arrives
    CLOSED = auto()


class UpstreamTransition(IntEnum):
    """What changes the state of a connection to an upstream."""

    REQUEST_STARTED = auto()
    RESPONSE_STARTED = auto()  # first byte of a response
    HEAD_COMPLETE = auto()  # the final response's head is complete
    STREAMING_STARTED = auto()  # the response is long or slow: its first bytes are passed on
    RESPONSE_COMPLETE = auto()  # last byte, and the connection may be used again
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


def next_state(table: dict[tuple[S, M], S], state: S, transition: M) -> S:
    """The state after a transition; raises `InvalidTransition` if it is not valid in this state."""
    found = table.get((state, transition))
    if found is None:
        raise InvalidTransition(f"a connection in state {state!r} has no transition {transition!r}")
    return found
