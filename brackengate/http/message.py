"""The parsed request, the error for an invalid one, and the encoding of answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.http.body import Body

MAX_HEAD_BYTES = 16 << 10  # of a request, and of a response with its interim responses
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    406: b"Not Acceptable",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    415: b"Unsupported Media Type",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RequestError(Exception):
    """A request that the server itself answers with an error: it is invalid, or a frontend rejects it.

    `detail` is the body of the answer.  `rule_slug`: the rule of `http.rules` that the request violates,
    under which it is counted; its connection is then closed, too.
    """

    def __init__(self, status: int, detail: str, extra_headers: bytes = b"", rule_slug: str = "") -> None:
        super().__init__(detail)
        self.status, self.detail, self.extra_headers, self.rule_slug = (
            status,
            detail,
            extra_headers,
            rule_slug,
        )


class InvalidTransition(Exception):
    """A state machine was called in a state that does not allow it: a bug in this program, not in a peer."""


@dataclass(slots=True)
class IncomingRequest:
    """A parsed request."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    received_at: int  # microseconds: time of its last byte, or of its delivery if it is not complete yet
    stream: Body | None = None  # replaces `body` if that is streamed
    version: str = "1.1"
    fields: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name, the last one of each

    def framing(self) -> list[bytes]:
        """The framing header for forwarding the request: length or chunked; empty if it has no body."""
        if self.stream is not None and self.stream.length is None:
            return [b"Transfer-Encoding: chunked"]
        if self.stream is not None:
            return [b"Content-Length: %d" % (self.stream.length or 0)]
        if self.body or self.method not in (b"GET", b"HEAD"):
            return [b"Content-Length: %d" % len(self.body)]
        return []


def status_line(status: int) -> bytes:
    """The first line of an answer."""
    return b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))


def encode_response(
    status: int,
    body: bytes,
    content_type: bytes,
    retry_after_us: int,
    close: bool,
    extra_headers: bytes = b"",
) -> bytes:
    """A complete answer.  Retry-After is sent as a decimal, as whole seconds would be too coarse."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s%s%s\r\n%s" % (
        status,
        REASON_PHRASES.get(status, b"Status"),
        len(body),
        b"Content-Type: %s\r\n" % content_type if content_type else b"",
        b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us > 0 else b"",
        extra_headers,
        b"Connection: close\r\n" if close else b"",
        body,
    )
