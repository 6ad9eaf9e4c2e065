"""Ambiguous messages, which two parties could read differently: each is rejected, however it is split."""

from __future__ import annotations

import re

import pytest
from machines import all_splits, run_caller, run_upstream

from brackengate.http.connection_states import CallerState
from brackengate.http.rules import REQUEST_HEAD_PATTERN, SINGLE_REQUEST_HEADERS, Rule

GET = b"GET /api HTTP/1.1\r\nHost: a\r\n\r\n"
GOOD = b"GET /api?good HTTP/1.1\r\nHost: a\r\nX-Org: one\r\n\r\n"


def get(*lines: bytes) -> bytes:
    return b"GET /api HTTP/1.1\r\nHost: a\r\n" + b"".join(line + b"\r\n" for line in lines) + b"\r\n"


def post(*lines: bytes, body: bytes = b"0\r\n\r\n") -> bytes:
    return b"POST /api HTTP/1.1\r\nHost: a\r\n" + b"".join(line + b"\r\n" for line in lines) + b"\r\n" + body


def chunked(body: bytes) -> bytes:
    return post(b"Transfer-Encoding: chunked", body=body)


HIDDEN = b"GET /api HTTP/1.1\r\nHost: b\r\n\r\n"
AMBIGUOUS_REQUESTS = {
    # framing: CL.TE, TE.CL, TE.TE and their relatives
    "both framings": (post(b"Content-Length: 5", b"Transfer-Encoding: chunked"), Rule.MALFORMED),
    "both, the other way": (post(b"Transfer-Encoding: chunked", b"Content-Length: 5"), Rule.MALFORMED),
    "both, hidden": (post(b"Transfer-Encoding: chunked", b"Content-Length: 0", body=b"0\r\n\r\n" + HIDDEN),),
    "two lengths": (post(b"Content-Length: 5", b"Content-Length: 6"),),
    "two equal lengths": (post(b"Content-Length: 5", b"Content-Length: 5"),),
    "length list": (post(b"Content-Length: 5, 5"),),
    "length sign": (post(b"Content-Length: +5"),),
    "length minus": (post(b"Content-Length: -5"),),
    "length hex": (post(b"Content-Length: 0x5"),),
    "length underscore": (post(b"Content-Length: 1_0"),),
    "length with space": (post(b"Content-Length: 5 5"),),
    "length empty": (post(b"Content-Length:"),),
    "length too long": (post(b"Content-Length: " + b"9" * 40),),
    "length quoted": (post(b'Content-Length: "5"'),),
    "two codings": (post(b"Transfer-Encoding: chunked", b"Transfer-Encoding: identity"),),
    "coding list": (post(b"Transfer-Encoding: gzip, chunked"),),
    "coding twice": (post(b"Transfer-Encoding: chunked, chunked"),),
    "coding unknown": (post(b"Transfer-Encoding: xchunked"),),
    "coding identity": (post(b"Transfer-Encoding: identity"),),
    "coding quoted": (post(b'Transfer-Encoding: "chunked"'),),
    "coding empty": (post(b"Transfer-Encoding:"),),
    "coding with VT": (post(b"Transfer-Encoding: \x0bchunked"),),
    "coding parameter": (post(b"Transfer-Encoding: chunked;q=1"),),
    "coding under 1.0": (
        b"POST /api HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        Rule.CODING,
    ),
    "coding disguised": (post(b"Transfer_Encoding: chunked", b"Content-Length: 0", body=b""), Rule.DISGUISED),
    "length disguised": (post(b"Content_Length: 5", b"Content-Length: 0", body=b""), Rule.DISGUISED),
    "coding folded": (post(b"Transfer-Encoding:", b" chunked"),),
    "coding with a space": (post(b"Transfer-Encoding : chunked"),),
    "coding behind a tab": (post(b"Transfer-Encoding\t: chunked"),),
    "a GET with a body": (get(b"Content-Length: 5")[:-2] + b"\r\nabcde", Rule.CONTENT),
    "a GET in chunks": (get(b"Transfer-Encoding: chunked") + b"0\r\n\r\n", Rule.CONTENT),
    # line ends and control characters
    "bare LF behind the method line": (b"GET /api HTTP/1.1\nHost: a\r\n\r\n", Rule.LINE_ENDS),
    "bare LF before the version": (b"GET /api\nHost: a HTTP/1.1\r\n\r\n", Rule.LINE_ENDS),
    "an old form": (b"GET /api\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "an old form and LF": (b"GET /api\nHost: a\r\n\r\n", Rule.LINE_ENDS),
    "bare LF in a header": (get(b"X: a\nX-Org: b"), Rule.LINE_ENDS),
    "bare LF at the end": (b"GET /api HTTP/1.1\r\nHost: a\n\n", Rule.LINE_ENDS),
    "bare LF at the very end": (b"GET /api HTTP/1.1\r\nHost: a\r\n\n", Rule.LINE_ENDS),
    "bare CR in a header": (get(b"X: a\rX-Org: b"), Rule.LINE_ENDS),
    "CR CR LF": (get(b"X: a\r"), Rule.LINE_ENDS),
    "NUL in a value": (get(b"X: a\x00b"), Rule.LINE_ENDS),
    "NUL in a name": (get(b"X\x00: b"), Rule.LINE_ENDS),
    "NUL in the target": (b"GET /a\x00pi HTTP/1.1\r\nHost: a\r\n\r\n", Rule.LINE_ENDS),
    "VT between": (b"GET\x0b/api HTTP/1.1\r\nHost: a\r\n\r\n", Rule.LINE_ENDS),
    "TLS": (b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03", Rule.LINE_ENDS),
    # header lines
    "folded": (get(b"X: a", b" b"), Rule.FIELD_LINE),
    "folded with a tab": (get(b"X: a", b"\tb"), Rule.FIELD_LINE),
    "folded at once": (b"GET /api HTTP/1.1\r\n Host: a\r\n\r\n", Rule.FIELD_LINE),
    "space before the colon": (get(b"X-Org : a"), Rule.FIELD_LINE),
    "no colon": (get(b"X-Org a"), Rule.FIELD_LINE),
    "no name": (get(b": a"), Rule.FIELD_LINE),
    "a name with a bracket": (get(b"X(a): b"), Rule.FIELD_LINE),
    "a name of other letters": (get(b"X-\xc3\xa9: b"), Rule.FIELD_LINE),
    # the first line
    "version 2.0": (b"GET /api HTTP/2.0\r\nHost: a\r\n\r\n", Rule.VERSION),
    "version 1.2": (b"GET /api HTTP/1.2\r\nHost: a\r\n\r\n", Rule.VERSION),
    "version 0.9": (b"GET /api HTTP/0.9\r\nHost: a\r\n\r\n", Rule.VERSION),
    "version 1": (b"GET /api HTTP/1\r\nHost: a\r\n\r\n", Rule.VERSION),
    "version 01.1": (b"GET /api HTTP/01.1\r\nHost: a\r\n\r\n", Rule.VERSION),
    "version in small letters": (b"GET /api http/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "two spaces": (b"GET  /api HTTP/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "two spaces behind": (b"GET /api  HTTP/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "a space behind": (b"GET /api HTTP/1.1 \r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "a tab": (b"GET\t/api HTTP/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "a space in the target": (b"GET /a pi HTTP/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "two targets": (b"GET /api HTTP/1.1 /x HTTP/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "other letters": (b"GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "another protocol": (b"GET /api ICY/1.1\r\nHost: a\r\n\r\n", Rule.FIRST_LINE),
    "empty lines before": (b"\r\n\r\n" + GET, Rule.FIRST_LINE),
    "a bare LF before": (b"\n" + GET, Rule.LINE_ENDS),
    "an unknown method": (b"BREW /api HTTP/1.1\r\nHost: a\r\n\r\n", Rule.MALFORMED),
    "the preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", Rule.VERSION),
    # the target and the host
    "no host": (b"GET /api HTTP/1.1\r\n\r\n", Rule.HOST),
    "two hosts": (get(b"Host: b"), Rule.HOST),
    "two equal hosts": (get(b"Host: a"), Rule.HOST),
    "a host with a path": (b"GET /api HTTP/1.1\r\nHost: a/b\r\n\r\n", Rule.HOST),
    "a host with a user": (b"GET /api HTTP/1.1\r\nHost: u@a\r\n\r\n", Rule.HOST),
    "a list of hosts": (b"GET /api HTTP/1.1\r\nHost: a, b\r\n\r\n", Rule.HOST),
    "a host in disguise": (get(b"Ho_st: b", b"X_Org: b"), Rule.DISGUISED),
    "another host in the target": (b"GET http://b/api HTTP/1.1\r\nHost: a\r\n\r\n", Rule.TARGET),
    "a user in the target": (b"GET http://u@a/api HTTP/1.1\r\nHost: a\r\n\r\n", Rule.TARGET),
    "another scheme": (b"GET ftp://a/api HTTP/1.1\r\nHost: a\r\n\r\n", Rule.TARGET),
    "a fragment": (b"GET /api#x HTTP/1.1\r\nHost: a\r\n\r\n", Rule.TARGET),
    "an asterisk": (b"GET * HTTP/1.1\r\nHost: a\r\n\r\n", Rule.TARGET),
    "a tunnel": (b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", Rule.UPGRADE),
    "an upgrade": (get(b"Connection: upgrade", b"Upgrade: h2c"), Rule.UPGRADE),
    # headers that affect decisions
    "two tenants": (get(b"X-Org: one", b"X-Org: two"), Rule.TWICE),
    "two tenants in other letters": (get(b"X-Org: one", b"x-org: two"), Rule.TWICE),
    "two things": (get(b"X-Entity: 1", b"X-Entity: 2"), Rule.TWICE),
    "two keys": (get(b"Idempotency-Key: 1", b"Idempotency-Key: 2"), Rule.TWICE),
    "a tenant in disguise": (get(b"X-Org: one", b"X_Org: two"), Rule.DISGUISED),
    "a tenant for this hop": (get(b"X-Org: one", b"Connection: keep-alive, X-Org"), Rule.UNNAMED),
    "a length for this hop": (
        post(b"Content-Length: 0", b"Connection: Content-Length", body=b""),
        Rule.UNNAMED,
    ),
    # chunks
    "chunk size in words": (chunked(b"xyz\r\n"),),
    "chunk size 0x": (chunked(b"0x1\r\na\r\n0\r\n\r\n"),),
    "chunk size signed": (chunked(b"+1\r\na\r\n0\r\n\r\n"),),
    "chunk size minus": (chunked(b"-1\r\na\r\n0\r\n\r\n"),),
    "chunk size with space before": (chunked(b" 1\r\na\r\n0\r\n\r\n"),),
    "chunk size with space behind": (chunked(b"1 \r\na\r\n0\r\n\r\n"),),
    "chunk size empty": (chunked(b"\r\na\r\n0\r\n\r\n"),),
    "chunk size too long": (chunked(b"1" * 17 + b"\r\na\r\n0\r\n\r\n"),),
    "chunk size of zeros": (chunked(b"0" * 17 + b"1\r\na\r\n0\r\n\r\n"),),
    "chunk size underscore": (chunked(b"1_0\r\na\r\n0\r\n\r\n"),),
    "chunk size and LF": (chunked(b"1\na\r\n0\r\n\r\n"),),
    "chunk size and CR": (chunked(b"1\ra\r\n0\r\n\r\n"),),
    "extension and LF": (chunked(b"1;x\na\r\n0\r\n\r\n"),),
    "extension and CR": (chunked(b"1;x\ry\r\na\r\n0\r\n\r\n"),),
    "extension and NUL": (chunked(b"1;x\x00\r\na\r\n0\r\n\r\n"),),
    "data too long": (chunked(b"1\r\nab\r\n0\r\n\r\n"),),
    "data and LF": (chunked(b"1\r\na\n0\r\n\r\n"),),
    "end and LF": (chunked(b"1\r\na\r\n0\n\n"),),
    "end and one LF": (chunked(b"1\r\na\r\n0\r\n\n"),),
    "trailer length": (chunked(b"0\r\nContent-Length: 5\r\n\r\n"),),
    "trailer coding": (chunked(b"0\r\nTransfer-Encoding: chunked\r\n\r\n"),),
    "trailer folded": (chunked(b"0\r\nX: a\r\n b\r\n\r\n"),),
    "trailer and LF": (chunked(b"0\r\nX: a\nY: b\r\n\r\n"),),
    "trailer without colon": (chunked(b"0\r\nGET /api HTTP/1.1\r\n\r\n"),),
    "trailer with a space": (chunked(b"0\r\nX : a\r\n\r\n"),),
}


@pytest.mark.parametrize("name", AMBIGUOUS_REQUESTS)
@pytest.mark.parametrize("before", [b"", GOOD], ids=["alone", "pipelined"])
def test_an_ambiguous_message_is_rejected_the_same_way_however_it_is_split(name: str, before: bytes) -> None:
    data, *rules = AMBIGUOUS_REQUESTS[name]
    outcomes = []
    for pieces in all_splits(data):
        run = run_caller([before, *pieces, HIDDEN] if before else [*pieces, HIDDEN])
        assert [target for _, target, _, _ in run.requests] == ([b"/api?good"] if before else [])
        assert [status for status, _ in run.refused] == [400]
        assert run.machine.state is CallerState.LINGERING
        assert (
            len(re.findall(rb"HTTP/1\.1 \d", run.written)) == 1 + bool(before)
            and b"Connection: close" in run.written
        )
        outcomes.append(run.outcome())
    assert all(outcome == outcomes[0] for outcome in outcomes)
    if rules:
        assert outcomes[0][1][0][1] in {rule.slug for rule in rules}  # type: ignore[index]


VALID_REQUESTS = {
    "plain": (GET, b"/api", b""),
    "an empty line before": (b"\r\n" + GET, b"/api", b""),
    "the old version without a host": (b"GET /api HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", b"/api", b""),
    "a port": (b"GET /api HTTP/1.1\r\nHost: a.b:80\r\n\r\n", b"/api", b""),
    "an address": (b"GET /api HTTP/1.1\r\nHost: [::1]:80\r\n\r\n", b"/api", b""),
    "no name for the host": (b"GET /api HTTP/1.1\r\nHost:\r\n\r\n", b"/api", b""),
    "an absolute target": (b"GET http://A:80/api?x HTTP/1.1\r\nHost: a:80\r\n\r\n", b"/api?x", b""),
    "an absolute target without a path": (b"GET http://a HTTP/1.1\r\nHost: a\r\n\r\n", b"/", b""),
    "an absolute query": (b"GET http://a?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", b"/?x=1", b""),
    "a header that may stand twice": (get(b"Via: 1.1 a", b"Via: 1.1 b"), b"/api", b""),
    "an underscore that stands for nothing": (get(b"my_own: a"), b"/api", b""),
    "letters of old": (get(b"X-Name: \xe9"), b"/api", b""),
    "an empty value": (get(b"X-Org:"), b"/api", b""),
    "a GET of no length": (get(b"Content-Length: 0"), b"/api", b""),
    "a length": (post(b"Content-Length: 5", body=b"abcde"), b"/api", b"abcde"),
    "zeros before a length": (post(b"Content-Length: 005", body=b"abcde"), b"/api", b"abcde"),
    "a request in a body": (post(b"Content-Length: 29", body=HIDDEN[:29]), b"/api", HIDDEN[:29]),
    "chunks": (chunked(b"3\r\nabc\r\n2;x=\"y\"\r\nde\r\n0\r\nX-Org: no\r\n\r\n"), b"/api", b"abcde"),
    "chunks in great letters": (
        post(b"Transfer-Encoding: Chunked", body=b"A\r\n0123456789\r\n0\r\n\r\n"), b"/api", b"0123456789"
    ),
    "a request in a chunk": (chunked(b"1d\r\n" + HIDDEN[:29] + b"\r\n0\r\n\r\n"), b"/api", HIDDEN[:29]),
    "empty lines in a chunk": (chunked(b"8\r\n\r\n\r\n\r\n\r\n\r\n0\r\n\r\n"), b"/api", b"\r\n\r\n\r\n\r\n"),
}  # fmt: skip


@pytest.mark.parametrize("name", VALID_REQUESTS)
def test_an_unambiguous_message_is_accepted_however_it_is_split(name: str) -> None:
    data, target, body = VALID_REQUESTS[name]
    for pieces in all_splits(data + GOOD):
        run = run_caller(pieces)
        assert [(t, b) for _, t, _, b in run.requests] == [(target, body), (b"/api?good", b"")]
        assert run.refused == []


def test_a_trailer_replaces_no_header() -> None:
    run = run_caller([chunked(b"0\r\nX-Org: forged\r\nX-Other: a\r\n\r\n")])
    assert [name for name, _ in run.requests[0][2]] == [b"Host", b"Transfer-Encoding"]


def test_headers_named_by_the_installation_may_occur_only_once() -> None:
    from brackengate.http.caller import CallerMachine as Machine
    from brackengate.http.caller import Deliver, ReportBadRequest

    twice = get(b"X-Member: 1", b"X-Member: 2")
    machine = Machine(0, lambda target: 0, SINGLE_REQUEST_HEADERS | {b"x-member"})
    assert [
        command.error.rule_slug
        for command in machine.received(twice, 0)
        if isinstance(command, ReportBadRequest)
    ] == ["twice"]
    usual = Machine(0, lambda target: 0)
    assert any(isinstance(command, Deliver) for command in usual.received(twice, 0))


def test_every_rule_has_a_case_and_a_section() -> None:
    reasons = set()
    for data, *_ in AMBIGUOUS_REQUESTS.values():
        reasons |= {reason for _, reason in run_caller([data]).refused}
    assert reasons >= {rule.slug for rule in Rule}
    assert all(rule.section.startswith("RFC 91") for rule in Rule)
    assert REQUEST_HEAD_PATTERN.fullmatch(GET)


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
INVALID_RESPONSES = {
    "both framings": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    "two equal lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    "a length list": b"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nab",
    "a length signed": b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nab",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nabc",
    "another coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
    "two codings": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "a coding under 1.0": b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "version 2.0": b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nab",
    "another protocol": b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nab",
    "a status of two figures": b"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nab",
    "a status of four": b"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nab",
    "bare LF": b"HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nab",
    "bare LF in a header": b"HTTP/1.1 200 OK\r\nX: a\nContent-Length: 2\r\n\r\nab",
    "bare CR": b"HTTP/1.1 200 OK\r\nX: a\rContent-Length: 3\r\nContent-Length: 2\r\n\r\nab",
    "NUL": b"HTTP/1.1 200 OK\r\nX: \x00\r\nContent-Length: 2\r\n\r\nab",
    "folded": b"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nab",
    "space before the colon": b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nab",
    "no head": b"<html>\r\n\r\n",
    "turned away and not": b"HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nX-Turned-Away: 0\r\n\r\n",
    "chunk size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n",
    "chunk LF": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
    "an upgrade": b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "too long": b"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n",
}  # fmt: skip


@pytest.mark.parametrize("name", INVALID_RESPONSES)
def test_an_ambiguous_response_fails_its_attempt_and_closes_the_connection(name: str) -> None:
    for pieces in all_splits(INVALID_RESPONSES[name]):
        run = run_upstream(pieces)
        assert run.results == [("invalid",)] and run.machine.state.name == "CLOSED"


@pytest.mark.parametrize(
    ("data", "status", "body"),
    [
        (OK, 200, b"ok"),
        (b"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, b"ok"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + OK, 200, b"ok"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n", 200, b"ok"),
        (b"HTTP/1.1 204 X\r\n\r\n", 204, b""),
        (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Turned-Away: 1\r\n\r\n", 503, b""),
    ],
)
def test_an_unambiguous_response_is_accepted_however_it_is_split(
    data: bytes, status: int, body: bytes
) -> None:
    for pieces in all_splits(data):
        assert run_upstream(pieces).results == [("answered", status, body, True)]
    for pieces in all_splits(
        data + b"HTTP/1.1 200 OK\r\n"
    ):  # surplus bytes: the connection is not used again
        run = run_upstream(pieces).results
        assert run[0][:3] == ("answered", status, body)
        assert run[0][3] is False or run[1:] == [("unsolicited",)]


def test_a_response_that_ends_with_its_connection_must_announce_the_close() -> None:
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
    assert run_upstream([head, b"abc"], ends=True).results == [("answered", 200, b"abc", False)]
    assert run_upstream([head, b"abc"]).results == []
    assert run_upstream([b"HTTP/1.1 200 OK\r\n\r\nabc"], ends=True).results == [("invalid",)]
