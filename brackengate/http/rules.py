"""What is refused though the library parses it: each row with the section that it rests on.

The library (llhttp) is strict about most forms.  What it still lets through, and what needs the whole head,
is judged here, so that no message goes on whose meaning two parties could read differently.  A head is judged
whole, from its first byte to the empty line: how it was cut on its way changes nothing.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from enum import Enum

TOKEN_PATTERN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
VALUE_PATTERN = rb"[\t -~\x80-\xff]*"
FIELD_LINES_PATTERN = rb"(?:" + TOKEN_PATTERN + rb":" + VALUE_PATTERN + rb"\r\n)*\r\n"
REQUEST_HEAD_PATTERN = re.compile(
    rb"(" + TOKEN_PATTERN + rb") ([!-~]+) HTTP/1\.[01]\r\n" + FIELD_LINES_PATTERN
)
RESPONSE_HEAD_PATTERN = re.compile(
    rb"HTTP/1\.[01] [1-9][0-9][0-9](?: " + VALUE_PATTERN + rb")?\r\n" + FIELD_LINES_PATTERN
)
STRAY_BYTE_PATTERN = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n|\Z)|(?<!\r)\n")
VERSION_PATTERN = re.compile(rb" HTTP/[0-9]+(?:\.[0-9]+)?\r\n")
HOST_PATTERN = re.compile(rb"(?:[A-Za-z0-9._~!$&'()*+,;=%-]*|\[[0-9A-Fa-f:.]+\])(?::[0-9]*)?")
ABSOLUTE_TARGET_PATTERN = re.compile(rb"https?://([^/?#]*)(/[^#]*|\?[^#]*|)", re.I)

METHODS_WITHOUT_BODY = (b"GET", b"HEAD")
SINGLE_REQUEST_HEADERS = frozenset(
    b"content-length transfer-encoding host expect content-type idempotency-key"
    b" x-txn x-lane x-remaining-ms x-org x-entity x-resent x-estimate x-labels".split()
)
SINGLE_RESPONSE_HEADERS = frozenset(
    b"content-length transfer-encoding content-type x-turned-away x-pressure".split()
)

Headers = list[tuple[bytes, bytes]]


class Rule(Enum):
    """Name in the figures, section, and what is wrong in words for the caller."""

    MALFORMED = "malformed", "RFC 9112, 2.2 and 6.3", "the message cannot be read"
    LINE_ENDS = "line-ends", "RFC 9112, 2.2", "a bare CR or LF, or a control character"
    FIRST_LINE = "first-line", "RFC 9112, 3 and 4", "the first line has not the one form that it may have"
    VERSION = "version", "RFC 9112, 2.3", "a version other than HTTP/1.1 and HTTP/1.0"
    FIELD_LINE = "field-line", "RFC 9112, 5", "a header that is folded, or not NAME:VALUE"
    HOST = "host", "RFC 9112, 3.2", "Host is to stand once, and to name a host"
    TARGET = "target", "RFC 9112, 3.2", "a target other than a path, or one that names another host"
    CHUNKS = "chunks", "RFC 9112, 7.1", "a body whose chunks cannot be read"
    CODING = "coding", "RFC 9112, 6.1", "a transfer coding other than chunked, or one under HTTP/1.0"
    CONTENT = "content", "RFC 9110, 9.3.1", "a body behind a method that has none"
    TWICE = "twice", "RFC 9110, 5.3", "a header that may stand once stands twice"
    DISGUISED = "disguised", "RFC 9110, 5.1", "a header that some read as another, with _ for -"
    UNNAMED = "unnamed", "RFC 9110, 7.6.1", "Connection names a header that decides something"
    UPGRADE = "upgrade", "RFC 9110, 7.8", "no upgrade is offered"

    @property
    def slug(self) -> str:
        return self.value[0]

    @property
    def section(self) -> str:
        return self.value[1]

    @property
    def description(self) -> str:
        return self.value[2]


def has_stray_byte(head: bytes, start: int = 0) -> bool:
    """Whether what has come of a head can be no good one's beginning.  `start`: looked at from there on."""
    return STRAY_BYTE_PATTERN.search(head, start) is not None


def head_syntax_fault(head: bytes, request: bool) -> Rule | None:
    """What is wrong with the bytes of a whole head, from its first line to the empty one."""
    if (REQUEST_HEAD_PATTERN if request else RESPONSE_HEAD_PATTERN).fullmatch(head):
        return None
    if STRAY_BYTE_PATTERN.search(head):
        return Rule.LINE_ENDS
    first = head[: head.index(b"\r\n") + 2]
    grammar = REQUEST_HEAD_PATTERN if request else RESPONSE_HEAD_PATTERN
    if grammar.fullmatch(first + b"\r\n"):
        return Rule.FIELD_LINE
    found = VERSION_PATTERN.search(first) if request else None
    return Rule.VERSION if found and found[0][1:-2] not in (b"HTTP/1.0", b"HTTP/1.1") else Rule.FIRST_LINE


def origin_form(target: bytes, method: bytes, host: bytes) -> bytes | None:
    """The target as a path; None where it is none, or names another host than `Host` does."""
    if target.startswith(b"/"):
        return None if b"#" in target else target
    if target == b"*":
        return target if method == b"OPTIONS" else None
    told = ABSOLUTE_TARGET_PATTERN.fullmatch(target)
    if told is None or told[1].lower() != host.lower() or not host:
        return None
    return told[2] if told[2].startswith(b"/") else b"/" + told[2]


def request_fault(
    method: bytes,
    version: str,
    headers: Headers,
    fields: dict[bytes, bytes],
    single_headers: Collection[bytes] = SINGLE_REQUEST_HEADERS,
) -> Rule | None:
    """What is wrong with a request's head that has the right form.

    `fields`: the headers by name in lower case.  `single_headers`: names that decide something here or
    upstream.
    """
    if len(fields) != len(headers) or any(b"_" in name for name in fields):
        found = _repeated_header(headers, single_headers)
        if found is not None:
            return found
    host = fields.get(b"host")
    if (host is None and version != "1.0") or (host is not None and not HOST_PATTERN.fullmatch(host)):
        return Rule.HOST
    found = _framing_fault(version, fields)
    if found is not None:
        return found
    if method in METHODS_WITHOUT_BODY:
        has_length = int(fields.get(b"content-length", b"0")) > 0
        if has_length or b"transfer-encoding" in fields:
            return Rule.CONTENT
    named = fields.get(b"connection")
    if named is not None:
        tokens = {token.strip().lower() for token in named.split(b",")}
        if not tokens.isdisjoint(single_headers):
            return Rule.UNNAMED
    return None


def response_fault(status: int, version: str, headers: Headers, fields: dict[bytes, bytes]) -> Rule | None:
    """What is wrong with an answer's head that has the right form."""
    if len(fields) != len(headers):
        found = _repeated_header(headers, SINGLE_RESPONSE_HEADERS)
        if found is not None:
            return found
    return _framing_fault(version, fields)


def _framing_fault(version: str, fields: dict[bytes, bytes]) -> Rule | None:
    """What the library leaves of this: lengths that are none, two, or beside a coding it refuses itself."""
    coding = fields.get(b"transfer-encoding")
    return None if coding is None or (coding.lower() == b"chunked" and version != "1.0") else Rule.CODING


def _repeated_header(headers: Headers, single_headers: Collection[bytes]) -> Rule | None:
    seen: set[bytes] = set()
    for raw, _ in headers:
        name = raw.lower()
        if name in seen and name in single_headers:
            return Rule.HOST if name == b"host" else Rule.TWICE
        seen.add(name)
        if b"_" in name and name.replace(b"_", b"-") in single_headers:
            return Rule.DISGUISED
    return None
