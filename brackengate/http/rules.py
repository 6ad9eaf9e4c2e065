"""Rules for messages that are rejected although the library parses them, each with its RFC section.

The library (llhttp) is strict about most syntax.  This module checks what it accepts nevertheless and what
needs the complete head, so that no ambiguous message is forwarded, which two parties could read differently.
A head is checked as a whole, from its first byte to the empty line, so that the way it was split into packets
makes no difference.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from enum import Enum

TOKEN_PATTERN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
VALUE_PATTERN = rb"[\t -~\x80-\xff]*"
FIELD_VALUE_PATTERN = re.compile(VALUE_PATTERN)
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


def is_unchanged_as_field_value(value: bytes) -> bool:
    """Whether a header field can carry the value: receivers drop blanks at its ends."""
    return FIELD_VALUE_PATTERN.fullmatch(value) is not None and value == value.strip(b" \t")


class Rule(Enum):
    """A rule that a message violates: its name in metrics, RFC section and description for the caller."""

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
        """The name in metrics."""
        return self.value[0]

    @property
    def section(self) -> str:
        """The RFC and its section."""
        return self.value[1]

    @property
    def description(self) -> str:
        """What is wrong, as sent to the caller."""
        return self.value[2]


def has_stray_byte(head: bytes, start: int = 0) -> bool:
    """Whether an incomplete head contains a control character or a bare CR or LF, from `start` on."""
    return STRAY_BYTE_PATTERN.search(head, start) is not None


def head_syntax_fault(head: bytes, request: bool) -> Rule | None:
    """The rule that the syntax of a complete head violates, from its first line to the empty one, if any."""
    if (REQUEST_HEAD_PATTERN if request else RESPONSE_HEAD_PATTERN).fullmatch(head):
        return None
    if STRAY_BYTE_PATTERN.search(head):
        return Rule.LINE_ENDS
    first_line = head[: head.index(b"\r\n") + 2]
    grammar = REQUEST_HEAD_PATTERN if request else RESPONSE_HEAD_PATTERN
    if grammar.fullmatch(first_line + b"\r\n"):
        return Rule.FIELD_LINE
    match = VERSION_PATTERN.search(first_line) if request else None
    return Rule.VERSION if match and match[0][1:-2] not in (b"HTTP/1.0", b"HTTP/1.1") else Rule.FIRST_LINE


def origin_form(target: bytes, method: bytes, host: bytes) -> bytes | None:
    """The target as a path; None if it has no valid form or names another host than the Host header."""
    if target.startswith(b"/"):
        return None if b"#" in target else target
    if target == b"*":
        return target if method == b"OPTIONS" else None
    match = ABSOLUTE_TARGET_PATTERN.fullmatch(target)
    if match is None or match[1].lower() != host.lower() or not host:
        return None
    return match[2] if match[2].startswith(b"/") else b"/" + match[2]


def request_fault(
    method: bytes,
    version: str,
    headers: Headers,
    fields: dict[bytes, bytes],
    single_headers: Collection[bytes] = SINGLE_REQUEST_HEADERS,
) -> Rule | None:
    """The rule that a syntactically valid request head violates, if any.

    `fields`: the headers by lower-case name.  `single_headers`: headers that may occur only once, because
    they affect decisions here or upstream.
    """
    if len(fields) != len(headers) or any(b"_" in name for name in fields):
        rule = _repeated_header(headers, single_headers)
        if rule is not None:
            return rule
    host = fields.get(b"host")
    if (host is None and version != "1.0") or (host is not None and not HOST_PATTERN.fullmatch(host)):
        return Rule.HOST
    rule = _framing_fault(version, fields)
    if rule is not None:
        return rule
    if method in METHODS_WITHOUT_BODY:
        has_length = int(fields.get(b"content-length", b"0")) > 0
        if has_length or b"transfer-encoding" in fields:
            return Rule.CONTENT
    connection_header = fields.get(b"connection")
    if connection_header is not None:
        tokens = {token.strip().lower() for token in connection_header.split(b",")}
        if not tokens.isdisjoint(single_headers):
            return Rule.UNNAMED
    return None


def response_fault(status: int, version: str, headers: Headers, fields: dict[bytes, bytes]) -> Rule | None:
    """The rule that a syntactically valid response head violates, if any."""
    if len(fields) != len(headers):
        rule = _repeated_header(headers, SINGLE_RESPONSE_HEADERS)
        if rule is not None:
            return rule
    return _framing_fault(version, fields)


def _framing_fault(version: str, fields: dict[bytes, bytes]) -> Rule | None:
    """Check the transfer coding.

    The library itself rejects invalid or conflicting lengths, and a length beside a transfer coding.
    """
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
