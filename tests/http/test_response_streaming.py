"""Which responses a connection to an upstream streams and which it buffers, by their heads."""

from __future__ import annotations

import pytest

from brackengate.http.body import MAX_UNSTREAMED_BYTES
from brackengate.http.upstream import (
    MAX_BUFFERED_RESPONSE_BYTES,
    SLOW_RESPONSE_US,
    Event,
    InvalidResponse,
    ResponseStarted,
    StreamingPolicy,
    UpstreamMachine,
    UpstreamResponse,
)

LENGTH = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def asked(passing: StreamingPolicy, written: bool = True) -> UpstreamMachine:
    machine = UpstreamMachine()
    machine.start_request(0, None, passing)
    if written:
        machine.next_piece(0)
    return machine


def any_of(head: UpstreamResponse) -> bool:
    return True


def test_a_long_error_before_the_request_is_complete_is_buffered_and_its_connection_closed() -> None:
    machine = asked(StreamingPolicy(any_of), written=False)
    (told,) = machine.received(LENGTH % (413, MAX_UNSTREAMED_BYTES + 1) + bytes(MAX_UNSTREAMED_BYTES + 1), 0)
    assert isinstance(told, UpstreamResponse) and (len(told.body), told.reuse) == (
        MAX_UNSTREAMED_BYTES + 1,
        False,
    )


@pytest.mark.parametrize("status", [200, 201])
def test_a_successful_response_without_a_length_is_invalid(status: int) -> None:
    (told,) = asked(StreamingPolicy(any_of)).received(b"HTTP/1.1 %d X\r\n\r\n" % status, 0)
    assert isinstance(told, InvalidResponse)


@pytest.mark.parametrize("good", [True, False])
def test_the_head_is_checked_only_if_the_body_is_long(good: bool) -> None:
    heads: list[UpstreamResponse] = []

    def may(head: UpstreamResponse) -> bool:
        heads.append(head)
        return good

    machine = asked(StreamingPolicy(may))
    machine.received(LENGTH % (200, MAX_UNSTREAMED_BYTES) + bytes(MAX_UNSTREAMED_BYTES), 0)
    assert heads == []
    machine.start_request(0, None, StreamingPolicy(may))
    machine.next_piece(0)
    told: list[Event] = machine.received(LENGTH % (206, MAX_UNSTREAMED_BYTES + 1) + b"one", 0)
    assert {head.status for head in heads} == {206}
    assert [type(event) for event in told] == ([ResponseStarted] if good else [])


def test_a_chunked_response_is_buffered_up_to_its_limit_however_slow() -> None:
    machine = asked(
        StreamingPolicy(any_of, unstreamed_bytes=MAX_BUFFERED_RESPONSE_BYTES, stream_slow_responses=False)
    )
    half = b"%x\r\n%s\r\n" % (MAX_BUFFERED_RESPONSE_BYTES // 2, bytes(MAX_BUFFERED_RESPONSE_BYTES // 2))
    assert machine.received(CHUNKED + half, 0) == [] == machine.received(half, SLOW_RESPONSE_US + 1)
    (told,) = machine.received(b"1\r\nx\r\n", SLOW_RESPONSE_US + 2)
    assert isinstance(told, ResponseStarted) and len(told.head.body) == MAX_BUFFERED_RESPONSE_BYTES + 1
