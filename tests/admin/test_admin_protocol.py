"""The operators' line, in any pieces, and the text of the figures."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackengate.admin.protocol import (
    MAX_LINE_BYTES,
    AdminCommand,
    CommandReader,
    InvalidCommand,
    encode_metrics,
)
from brackengate.interface import Request
from brackengate.net.metrics import RequestMetrics, ResultKind, result_kind


@pytest.mark.parametrize("call", list(AdminCommand))
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b" \r\n", b"\nand more"])
def test_each_call_with_each_end_of_a_line(call: AdminCommand, end: bytes) -> None:
    assert CommandReader().feed(call.value.encode() + end) is call


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"\n", "empty"),
        (b"  \r\n", "empty"),
        (b"CHECK\n", "no call 'CHECK'"),
        (b"check now\n", "no call 'check now'"),
        (b"\x16\x03\x01\n", "no text"),
        (b"ch\xc3\xa9ck\n", "no text"),
        (b"x" * (MAX_LINE_BYTES + 1), "64 bytes"),
    ],
)
def test_what_is_no_call_is_told_so_with_what_is_allowed(data: bytes, word: str) -> None:
    told = CommandReader().feed(data)
    assert isinstance(told, InvalidCommand) and word in told.reason
    assert "\n" not in told.reason
    if "64" not in word:
        assert "drain-off" in told.reason


def test_an_unfinished_line_is_no_call_and_holds_no_more_than_its_bound() -> None:
    line = CommandReader()
    for _ in range(MAX_LINE_BYTES):
        assert line.feed(b"x") is None
    assert isinstance(line.feed(b"x" * 10_000_000), InvalidCommand)
    assert line.feed(b"check\n") is None  # one line a connection


@given(st.binary(max_size=200), st.lists(st.integers(1, 60), max_size=20))
def test_the_verdict_does_not_depend_on_the_cuts(data: bytes, cuts: list[int]) -> None:
    whole, pieces, told = CommandReader().feed(data), CommandReader(), None
    at = 0
    for cut in [*cuts, len(data)]:
        told = told or pieces.feed(data[at : at + cut])
        at += cut
    assert told == whole


def test_figures_begin_at_zero_for_every_class_and_end_with_the_end() -> None:
    text = encode_metrics(RequestMetrics(), ["read", "buy"], 3, 1).decode().splitlines()
    assert text == [
        "app.success.read:0|c",
        "app.success.buy:0|c",
        "app.busy.read:0|c",
        "app.busy.buy:0|c",
        "app.failure.read:0|c",
        "app.failure.buy:0|c",
        "app.backend_calls:0|c",
        "app.inflight:0|g",
        "app.hosts_listed:3|g",
        "app.hosts_down:1|g",
        "END",
    ]


def test_each_status_counts_as_one_kind_and_who_has_left_as_none() -> None:
    figures = RequestMetrics()
    for number, status in enumerate((200, 503, 429, 502, 504, 500, 0)):
        request = Request(f"r{number}", "read", 1)
        figures.taken(request, 0)
        assert figures.inflight == 1
        figures.ended(request, status, 0, 1)
    assert figures.inflight == 0
    counts = figures.count_by_result(["read"])
    assert counts == {
        (ResultKind.SERVED, "read"): 1,
        (ResultKind.BUSY, "read"): 2,
        (ResultKind.FAILED, "read"): 3,
    }
    assert result_kind(0) is None
