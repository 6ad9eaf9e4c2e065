"""What the machines hand out and take: a whole request, what is wrong with one, and an answer's bytes."""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.http.body import Body

MAX_HEAD_BYTES = 16 << 10  # of a request, and of an answer with the interim ones before it
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
    """A request that gets an answer of the server's own: the caller's fault, or a front's refusal.

    `reason`: the row of `rules` that it breaks, under which it is counted; then its connection ends too.
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
    """A machine was asked for what its state does not allow: a fault of this program, never of a peer."""


@dataclass(slots=True)
class IncomingRequest:
    """A whole request, as it was parsed."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    received_at: (
        int  # microseconds: when its last byte came, or where the body is still coming, when it was handed on
    )
    stream: Body | None = None  # in place of `body`: it is still coming
    version: str = "1.1"
    fields: dict[bytes, bytes] = field(default_factory=dict)  # by name in lower case, the last of each

    def framing(self) -> list[bytes]:
        """The header that tells the body's end to whoever it goes on to; none where it has no body."""
        if self.stream is not None and self.stream.length is None:
            return [b"Transfer-Encoding: chunked"]
        if self.stream is not None:
            return [b"Content-Length: %d" % (self.stream.length or 0)]
        if self.body or self.method not in (b"GET", b"HEAD"):
            return [b"Content-Length: %d" % len(self.body)]
        return []


def status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))


def encode_response(
    status: int,
    body: bytes,
    content_type: bytes,
    retry_after_us: int,
    close: bool,
    extra_headers: bytes = b"",
) -> bytes:
    """A whole answer.  `retry_after_us` in microseconds: told as a decimal, as whole seconds would be
    coarse."""
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
