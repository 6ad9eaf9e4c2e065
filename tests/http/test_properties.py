"""Any bytes, split anywhere: no exception, limited memory, one result, the same meaning when forwarded."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from machines import run_caller, run_upstream

from brackengate.http import caller, upstream
from brackengate.http.body import MAX_UNSTREAMED_BYTES
from brackengate.http.message import MAX_HEAD_BYTES

ROOT = Path(__file__).parent.parent.parent
PARTS = [
    b"GET /api HTTP/1.1\r\n", b"POST /api HTTP/1.1\r\n", b"POST /api HTTP/1.0\r\n", b"Host: a\r\n", b"\r\n",
    b"X-Org: b\r\n", b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n", b"Connection: close\r\n",
    b"Expect: 100-continue\r\n", b"abc", b"3\r\nabc\r\n", b"0\r\n\r\n", b"\n", b"\r", b" ", b"\x00", b"0\r\n",
    b"3;x=y\r\nabc\r\n", b"X: y\r\n", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 100 X\r\n\r\n",
    b"HTTP/1.1 503 X\r\n", b"X-Turned-Away: 1\r\n",
]  # fmt: skip
MESSAGES = st.lists(st.sampled_from(PARTS) | st.binary(max_size=4), max_size=14).map(b"".join)
CUTS = st.lists(st.integers(1, 40), min_size=1, max_size=6)
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
NAMES = st.from_regex(rb"Z[a-zA-Z0-9-]{0,9}", fullmatch=True)
VALUES = st.from_regex(rb"([!-~]([ -~]{0,9}[!-~])?)?", fullmatch=True)
STEADY = settings(max_examples=400, deadline=None, derandomize=True, database=None)


def split(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces, at = [], 0
    while at < len(data):
        size = sizes[len(pieces) % len(sizes)]
        pieces.append(data[at : at + size])
        at += size
    return pieces


@STEADY
@given(MESSAGES, CUTS)
def test_splitting_a_callers_bytes_does_not_change_the_result(data: bytes, sizes: list[int]) -> None:
    whole, cut = run_caller([data]), run_caller(split(data, sizes))
    assert whole.outcome() == cut.outcome()
    assert max(whole.max_buffered_bytes, cut.max_buffered_bytes) <= len(data)


@STEADY
@given(MESSAGES, CUTS, st.booleans(), st.booleans())
def test_splitting_an_upstreams_bytes_does_not_change_the_result(
    data: bytes, sizes: list[int], streaming: bool, ends: bool
) -> None:
    whole = run_upstream([data], ends, streaming=streaming).results
    cut = run_upstream(split(data, sizes), ends, streaming=streaming).results
    if whole and whole[0][0] == "answered":  # whether more was received by then depends on timing
        assert cut[0][:3] == whole[0][:3]
    else:
        assert cut == whole


@STEADY
@given(
    st.sampled_from([b"GET", b"POST"]),
    st.from_regex(rb"/[!$-;=?-~]{0,20}", fullmatch=True),
    st.lists(st.tuples(NAMES, VALUES)),
    st.binary(max_size=200),
    st.booleans(),
)
def test_an_accepted_request_parses_the_same_when_forwarded(
    method: bytes, target: bytes, more: list[tuple[bytes, bytes]], body: bytes, chunked: bool
) -> None:
    body = body if method == b"POST" else b""
    headers = [(b"Host", b"a"), *more]
    framed = body
    if method == b"POST" and chunked:
        headers.append((b"Transfer-Encoding", b"chunked"))
        framed = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
    elif method == b"POST":
        headers.append((b"Content-Length", b"%d" % len(body)))
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    run = run_caller([b"%s %s HTTP/1.1\r\n%s\r\n%s" % (method, target, lines, framed)])
    assert run.requests == [(method, target, headers, body)]


@pytest.mark.parametrize(
    ("data", "most"),
    [
        (b"GET /api HTTP/1.1\r\nX: " + b"x" * 100_000, MAX_HEAD_BYTES),
        (b"GET /" + b"x" * 100_000, MAX_HEAD_BYTES),
        (CHUNKED + b"1;" + b"x" * 100_000, MAX_HEAD_BYTES),
        (CHUNKED + b"0\r\nX: " + b"x" * 100_000, MAX_HEAD_BYTES),
        (CHUNKED + b"1;abcdefghijklmnop\r\na\r\n" * 9_000, MAX_UNSTREAMED_BYTES),
    ],
    ids=["header", "target", "chunk", "trailer", "framing"],
)  # fmt: skip
def test_endless_input_is_rejected_at_its_limit_however_it_is_split(data: bytes, most: int) -> None:
    outcomes = []
    for size in (1000, 4096, 100_000_000):
        run = run_caller(split(data, [size]))
        assert [status for status, _ in run.refused] == [431]
        assert size > 4096 or run.max_buffered_bytes <= most + size
        outcomes.append(run.outcome())
    assert outcomes[0] == outcomes[1] == outcomes[2]


def test_a_body_that_is_too_long_is_rejected_by_its_head_or_while_received() -> None:
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    for data in (
        head + b"Content-Length: 70001\r\n\r\n",
        head + b"Transfer-Encoding: chunked\r\n\r\n" + b"1000\r\n%s\r\n" % (b"x" * 4096) * 20,
    ):
        for size in (1000, 100_000_000):
            run = run_caller(split(data, [size]), max_body_bytes=70_000)
            assert [status for status, _ in run.refused] == [413] and not run.requests


def test_an_endless_response_is_invalid_at_its_limit() -> None:
    for data in (
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 100_000,
        b"HTTP/1.1 100 X\r\n\r\n" * 3000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * 100_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"10000\r\n%s\r\n" % (b"x" * 65536) * 17,
    ):
        run = run_upstream(split(data, [1000]))
        assert run.results == [("invalid",)]
        assert run.max_buffered_bytes <= upstream.MAX_BUFFERED_RESPONSE_BYTES + MAX_HEAD_BYTES


def test_reading_after_a_pending_request_is_limited_and_keeps_arrival_times() -> None:
    get = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
    run = run_caller([get % 0], answers=False)
    for number in range(1, 4):
        run.now = number * 10_000
        run.send(get % number)
    run.send(b"GET /4 HTTP/1.1\r\nHost: a\r\nX: " + b"x" * (MAX_HEAD_BYTES - 40))
    assert not run.reads and run.machine.buffered_bytes() > caller.MAX_READ_AHEAD_BYTES
    run.now = 100_000
    for _ in range(3):
        run.do(run.machine.answer(run.now, 200, b""))
    assert [(arrival.target, arrival.received_at) for arrival in run.delivered] == [
        (b"/0", 0), (b"/1", 10_000), (b"/2", 20_000), (b"/3", 30_000),
    ]  # fmt: skip


@pytest.mark.parametrize("machine", ["caller", "upstream"])
def test_a_bounded_run_of_the_fuzzer_finds_nothing(machine: str) -> None:
    command = [
        sys.executable,
        "-m",
        "benchmarks.fuzz",
        "--machine",
        machine,
        "--runs",
        "20000",
        "--seed",
        "7",
    ]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=100)
    assert done.returncode == 0, done.stdout[-4000:] + done.stderr[-4000:]
    assert "Done 20000 runs" in done.stdout
