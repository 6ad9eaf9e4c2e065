"""Which answers a connection to an upstream passes on as they come, and which it keeps, by their heads."""

from __future__ import annotations

import pytest

from brackengate.http.body import WHOLE
from brackengate.http.upstream import (
    FIRST,
    MAX_ANSWER,
    Answered,
    Begins,
    Event,
    Passing,
    Spoilt,
    UpstreamMachine,
)

LENGTH = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def asked(passing: Passing, written: bool = True) -> UpstreamMachine:
    machine = UpstreamMachine()
    machine.ask(0, None, passing)
    if written:
        machine.next_piece(0)
    return machine


def any_of(head: Answered) -> bool:
    return True


def test_a_long_failure_before_the_request_is_all_there_is_kept_and_its_connection_ends() -> None:
    machine = asked(Passing(any_of), written=False)
    (told,) = machine.received(LENGTH % (413, WHOLE + 1) + bytes(WHOLE + 1), 0)
    assert isinstance(told, Answered) and (len(told.body), told.reuse) == (WHOLE + 1, False)


@pytest.mark.parametrize("status", [200, 201])
def test_a_success_without_a_length_is_none(status: int) -> None:
    (told,) = asked(Passing(any_of)).received(b"HTTP/1.1 %d X\r\n\r\n" % status, 0)
    assert isinstance(told, Spoilt)


@pytest.mark.parametrize("good", [True, False])
def test_the_head_is_judged_only_where_the_body_is_long(good: bool) -> None:
    heads: list[Answered] = []

    def may(head: Answered) -> bool:
        heads.append(head)
        return good

    machine = asked(Passing(may))
    machine.received(LENGTH % (200, WHOLE) + bytes(WHOLE), 0)
    assert heads == []
    machine.ask(0, None, Passing(may))
    machine.next_piece(0)
    told: list[Event] = machine.received(LENGTH % (206, WHOLE + 1) + b"one", 0)
    assert {head.status for head in heads} == {206}
    assert [type(event) for event in told] == ([Begins] if good else [])


def test_one_in_chunks_is_kept_up_to_its_own_bound_however_slowly_it_comes() -> None:
    machine = asked(Passing(any_of, whole=MAX_ANSWER, slow=False))
    half = b"%x\r\n%s\r\n" % (MAX_ANSWER // 2, bytes(MAX_ANSWER // 2))
    assert machine.received(CHUNKED + half, 0) == [] == machine.received(half, FIRST + 1)
    (told,) = machine.received(b"1\r\nx\r\n", FIRST + 2)
    assert isinstance(told, Begins) and len(told.head.body) == MAX_ANSWER + 1
