"""Any bytes, cut anywhere: no exception, a bound on what is held, one verdict, and the same meaning again."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from machines import answered, heard

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
def test_a_callers_bytes_have_one_verdict_for_all_cuts(data: bytes, sizes: list[int]) -> None:
    whole, cut = heard([data]), heard(split(data, sizes))
    assert whole.verdict() == cut.verdict()
    assert max(whole.most_held, cut.most_held) <= len(data)


@STEADY
@given(MESSAGES, CUTS, st.booleans(), st.booleans())
def test_an_upstreams_bytes_have_one_verdict_for_all_cuts(
    data: bytes, sizes: list[int], in_pieces: bool, ends: bool
) -> None:
    whole = answered([data], ends, in_pieces=in_pieces).said
    cut = answered(split(data, sizes), ends, in_pieces=in_pieces).said
    if whole and whole[0][0] == "answered":  # whether more had come by then is a matter of time
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
def test_what_was_accepted_reads_the_same_when_it_is_written_out_again(
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
    told = heard([b"%s %s HTTP/1.1\r\n%s\r\n%s" % (method, target, lines, framed)])
    assert told.requests == [(method, target, headers, body)]


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
def test_what_has_no_end_is_cut_off_at_its_bound_however_it_is_cut(data: bytes, most: int) -> None:
    verdicts = []
    for size in (1000, 4096, 100_000_000):
        told = heard(split(data, [size]))
        assert [status for status, _ in told.refused] == [431]
        assert size > 4096 or told.most_held <= most + size
        verdicts.append(told.verdict())
    assert verdicts[0] == verdicts[1] == verdicts[2]


def test_a_body_too_long_is_told_by_its_head_or_found_as_it_comes() -> None:
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    for data in (
        head + b"Content-Length: 70001\r\n\r\n",
        head + b"Transfer-Encoding: chunked\r\n\r\n" + b"1000\r\n%s\r\n" % (b"x" * 4096) * 20,
    ):
        for size in (1000, 100_000_000):
            told = heard(split(data, [size]), most_body=70_000)
            assert [status for status, _ in told.refused] == [413] and not told.requests


def test_an_answer_without_end_is_spoilt_at_its_bound() -> None:
    for data in (
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 100_000,
        b"HTTP/1.1 100 X\r\n\r\n" * 3000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + b"x" * 100_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"10000\r\n%s\r\n" % (b"x" * 65536) * 17,
    ):
        told = answered(split(data, [1000]))
        assert told.said == [("spoilt",)]
        assert told.most_held <= upstream.MAX_BUFFERED_RESPONSE_BYTES + MAX_HEAD_BYTES


def test_what_follows_a_held_request_is_not_read_beyond_its_bound_and_keeps_its_time() -> None:
    get = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
    told = heard([get % 0], answers=False)
    for number in range(1, 4):
        told.now = number * 10_000
        told.send(get % number)
    told.send(b"GET /4 HTTP/1.1\r\nHost: a\r\nX: " + b"x" * (MAX_HEAD_BYTES - 40))
    assert not told.reads and told.machine.buffered_bytes() > caller.MAX_READ_AHEAD_BYTES
    told.now = 100_000
    for _ in range(3):
        told.do(told.machine.answer(told.now, 200, b""))
    assert [(arrival.target, arrival.received_at) for arrival in told.delivered] == [
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
