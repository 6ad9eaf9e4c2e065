"""The admin command line, split in any way, and the text of the metrics."""

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


@pytest.mark.parametrize("command", list(AdminCommand))
@pytest.mark.parametrize("end", [b"\n", b"\r\n", b" \r\n", b"\nand more"])
def test_each_command_with_each_line_end(command: AdminCommand, end: bytes) -> None:
    assert CommandReader().feed(command.value.encode() + end) is command


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
def test_an_invalid_command_is_answered_with_the_allowed_ones(data: bytes, word: str) -> None:
    result = CommandReader().feed(data)
    assert isinstance(result, InvalidCommand) and word in result.reason
    assert "\n" not in result.reason
    if "64" not in word:
        assert "drain-off" in result.reason


def test_an_unfinished_line_is_no_command_and_its_buffer_is_limited() -> None:
    line = CommandReader()
    for _ in range(MAX_LINE_BYTES):
        assert line.feed(b"x") is None
    assert isinstance(line.feed(b"x" * 10_000_000), InvalidCommand)
    assert line.feed(b"check\n") is None  # one line per connection


@given(st.binary(max_size=200), st.lists(st.integers(1, 60), max_size=20))
def test_splitting_a_line_does_not_change_the_result(data: bytes, lengths: list[int]) -> None:
    whole, pieces, result = CommandReader().feed(data), CommandReader(), None
    start = 0
    for length in [*lengths, len(data)]:
        result = result or pieces.feed(data[start : start + length])
        start += length
    assert result == whole


def test_metrics_start_at_zero_for_every_class_and_finish_with_end() -> None:
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


def test_each_status_counts_as_one_result_and_a_disconnected_caller_as_none() -> None:
    metrics = RequestMetrics()
    for number, status in enumerate((200, 503, 429, 502, 504, 500, 0)):
        request = Request(f"r{number}", "read", 1)
        metrics.request_started(request, 0)
        assert metrics.inflight == 1
        metrics.request_ended(request, status, 0, 1)
    assert metrics.inflight == 0
    counts = metrics.count_by_result(["read"])
    assert counts == {
        (ResultKind.SERVED, "read"): 1,
        (ResultKind.BUSY, "read"): 2,
        (ResultKind.FAILED, "read"): 3,
    }
    assert result_kind(0) is None
