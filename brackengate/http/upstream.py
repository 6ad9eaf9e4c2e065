"""State machine of one connection to an upstream: the request to write and the response to it; no I/O.

It handles one exchange at a time.  A response of up to `body.MAX_UNSTREAMED_BYTES` is buffered until it is
complete; a longer or slower one is streamed if the sender of the request allows it.  The states are in
`connection_states.UPSTREAM_STATES`; whether the request is completely written is tracked separately, since an
upstream may respond before it has read all.

An ambiguous or impossible response is an `InvalidResponse`: it ends its exchange, and the connection is not
used again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from brackengate.http.body import MAX_UNSTREAMED_BYTES, Body
from brackengate.http.chunks import ChunkedBodyScanner
from brackengate.http.connection_states import UPSTREAM_STATES, UpstreamState, UpstreamTransition, next_state
from brackengate.http.message import MAX_HEAD_BYTES, RequestError
from brackengate.http.rules import has_stray_byte, head_syntax_fault, response_fault

MAX_BUFFERED_RESPONSE_BYTES = 1 << 20  # of a response that must be complete before it is used
MAX_STREAMED_RESPONSE_BYTES = 64 << 20  # responses are specified as up to 32 MB
SLOW_RESPONSE_US = 100_000  # a response that takes longer is streamed, however short it is so far
STALL_TIMEOUT_US = 10_000_000  # for an upstream that neither reads nor writes in the middle of a body


# --- events for the connection


@dataclass(slots=True)
class ResponseStarted:
    """The head and first bytes of a streamed response; the rest follows in `BodyPiece` events."""

    head: UpstreamResponse
    length: int | None


@dataclass(slots=True)
class BodyPiece:
    """A further piece of a streamed response."""

    data: bytes


@dataclass(slots=True)
class UpstreamResponse:
    """A complete response.  `body` is empty if it was streamed.  `reuse`: the connection may be used again.

    In `ResponseStarted` it has the head and the first bytes of the body.
    """

    status: int
    fields: dict[bytes, bytes]
    body: bytes
    reuse: bool
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class InvalidResponse:
    """The response violates the protocol; the connection is closed."""

    reason: str


@dataclass(slots=True)
class UnsolicitedData:
    """Bytes were received without a request; the connection is closed."""


Event = ResponseStarted | BodyPiece | UpstreamResponse | InvalidResponse | UnsolicitedData


@dataclass(frozen=True, slots=True)
class StreamingPolicy:
    """Which responses are streamed."""

    # Decided by the head; a pure function.
    is_streamable: Callable[[UpstreamResponse], bool] = lambda head: head.status == 200
    unstreamed_bytes: int = MAX_UNSTREAMED_BYTES  # a body up to this size is buffered
    stream_slow_responses: bool = True  # also stream a shorter one that is slow


class UpstreamMachine:
    """The state of one connection to an upstream.  All times are whole microseconds of a monotonic clock."""

    def __init__(self) -> None:
        self.state = UpstreamState.IDLE
        self.written = False  # the kernel has the request's last byte: only then may it have been executed
        self.response_started = False  # whether any byte of the response was received
        self.paused = False  # the caller cannot take more of the response now
        self.request_started_at = self.progress_at = 0  # last progress of either body
        self._parser = httptools.HttpResponseParser(self)
        self._streaming_policy: StreamingPolicy | None = None  # None: buffer the response
        self._request: Body | None = None
        self._body_sent = False  # the request's body
        self._clear()

    def _clear(self) -> None:
        self._unparsed = b""
        self._head_bytes = 0  # including interim responses
        self._searched_bytes = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields: dict[bytes, bytes] = {}
        self._status = 0
        self._pieces: list[bytes] = []
        self._body: list[bytes] = []
        self.buffered_bytes = 0  # of the body, until it is complete or streamed
        self._body_bytes = 0
        self._length: int | None = None
        self._chunks: ChunkedBodyScanner | None = None
        self._ends_at_close = False  # only the connection's end ends the response
        self._message_complete = self._keep_alive = False
        self._head_at = 0

    # --- the request

    def start_request(
        self, now: int, body: Body | None = None, policy: StreamingPolicy | None = None
    ) -> None:
        """Start an exchange; the connection writes the head.  `policy`: which responses may be streamed."""
        self._transition(UpstreamTransition.REQUEST_STARTED)
        self.written = self.response_started = self._body_sent = False
        self.request_started_at = self.progress_at = now
        self._request, self._streaming_policy = body, policy

    def next_piece(self, now: int) -> bytes | None:
        """The next bytes to write, once the kernel has taken all before them.

        Empty if the request is completely written; None if there are no bytes yet.
        """
        body = self._request
        if body is not None and not self._body_sent:
            self.progress_at = now
            if body.fully_taken:
                self._body_sent = True
                if body.length is None:
                    return b"0\r\n\r\n"
            else:
                piece = body.take()
                if piece is None or body.length is not None:
                    return piece
                return b"%x\r\n%s\r\n" % (len(piece), piece)
        self.written = True
        return b""

    # --- the response

    def received(self, data: bytes, now: int) -> list[Event]:
        """Bytes were received; returns what they contain."""
        if self.state is UpstreamState.CLOSED:
            return []
        if self.state is UpstreamState.IDLE:
            self._close()
            return [UnsolicitedData()]
        self.response_started = True
        if self.state is UpstreamState.AWAITING:
            self._transition(UpstreamTransition.RESPONSE_STARTED)
        events: list[Event] = []
        try:
            if self.state is UpstreamState.HEAD:
                self._unparsed = self._unparsed + data if self._unparsed else data
                while self.state is UpstreamState.HEAD and self._unparsed and self._read_head(now):
                    pass
                data, self._unparsed = (
                    (b"", self._unparsed) if self.state is UpstreamState.HEAD else (self._unparsed, b"")
                )
            if self.state is not UpstreamState.HEAD:
                self._read_body(data, now, events)
        except (RequestError, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._close()
            events.append(InvalidResponse(str(error) or type(error).__name__))
        return events

    def ended(self, clean: bool) -> list[Event]:
        """The connection was closed; `clean`: without an error.

        This completes a response without a length.
        """
        events: list[Event] = []
        if self._ends_at_close and clean and self.written:
            events.append(
                UpstreamResponse(self._status, self._fields, b"".join(self._body), False, self._headers)
            )
        self._close()
        return events

    def set_paused(self, on: bool, now: int) -> None:
        """The caller cannot take more of a streamed response, or can again."""
        self.paused, self.progress_at = on, now

    def stalled(self, now: int, unsent: bool) -> bool:
        """Whether a body in transfer has stalled for a reason other than the caller."""
        if now - self.progress_at < STALL_TIMEOUT_US:
            return False
        if self.state is UpstreamState.STREAMING:
            return not self.paused
        return self._request is not None and not self.written and unsent

    def close(self) -> None:
        """The connection is closed from this side."""
        self._close()

    # --- parsing

    def _read_head(self, now: int) -> bool:
        """Parse one head, final or interim; whether there was a complete one."""
        unparsed = self._unparsed
        end = unparsed.find(b"\r\n\r\n", max(0, self._searched_bytes - 3)) + 4
        if end < 4:
            if has_stray_byte(unparsed, max(0, self._searched_bytes - 1)):
                raise RequestError(502, "a bare CR or LF, or a control character, in an answer's head")
            if self._head_bytes + len(unparsed) > MAX_HEAD_BYTES:
                raise RequestError(502, "headers too large")
            self._searched_bytes = len(unparsed)
            return False
        head, self._unparsed, self._searched_bytes = unparsed[:end], unparsed[end:], 0
        self._head_bytes += end
        if self._head_bytes > MAX_HEAD_BYTES:
            raise RequestError(502, "headers too large")
        rule = head_syntax_fault(head, request=False)
        if rule is None:
            self._headers = []
            self._parser.feed_data(head)
            status, version = self._parser.get_status_code(), self._parser.get_http_version()
            fields = self._fields = {name.lower(): value for name, value in self._headers}
            rule = response_fault(status, version, self._headers, fields)
        if rule is not None:
            raise RequestError(502, rule.description)
        self._status = status
        if status < 200:
            self._message_complete = False
        else:
            self._handle_final_head(status, fields, now)
        return True

    def _handle_final_head(self, status: int, fields: dict[bytes, bytes], now: int) -> None:
        """Check the final head.

        Rejects what cannot be a valid response before reading it: one of 3 GB, or one without a length, whose
        regular end looks like a broken connection.  An upstream that announces `Connection: close` may end a
        response that way, as a broken connection then shows as a reset.
        """
        content_length = fields.get(b"content-length")
        length = self._length = int(content_length) if content_length is not None else None
        if (
            length is not None
            and self._streaming_policy is not None
            and length > self._streaming_policy.unstreamed_bytes
        ):
            self._may_stream()
        if length is not None and length > self._max_response_bytes():
            raise RequestError(502, f"answer too large: {length}")
        if b"transfer-encoding" in fields:
            self._chunks = ChunkedBodyScanner()
        elif content_length is None and not self._message_complete:
            closes = fields.get(b"connection", b"").strip().lower() == b"close"
            if status < 300 and not (closes and self.written):
                raise RequestError(502, "an answer without a length")
            self._ends_at_close = True
        self._head_at = now
        self._transition(UpstreamTransition.HEAD_COMPLETE)

    def _read_body(self, data: bytes, now: int, events: list[Event]) -> None:
        count = 0
        if self._message_complete:
            ends = True
        elif self._chunks is not None:
            count = self._chunks.scan(data)
            ends = self._chunks.done
        elif self._ends_at_close:
            count, ends = len(data), False
        else:
            count = min(len(data), (self._length or 0) - self._body_bytes)
            ends = self._body_bytes + count == self._length
        if count:
            self._parser.feed_data(data if count == len(data) else data[:count])
        if self._chunks is not None and self._chunks.fault is not None:
            raise self._chunks.fault
        if ends is not self._message_complete:
            raise RequestError(502, "the parsers do not agree on the end of a response")
        pieces, self._pieces = self._pieces, []
        for piece in pieces:
            self._body_bytes += len(piece)
            starts_streaming = (
                self.state is not UpstreamState.STREAMING and self._should_stream(now) and self._may_stream()
            )
            if self._body_bytes > self._max_response_bytes():
                raise RequestError(502, "answer too large")
            if self.state is UpstreamState.STREAMING:
                self.progress_at = now
                events.append(BodyPiece(piece))
                continue
            self._body.append(piece)
            self.buffered_bytes += len(piece)
            if starts_streaming:
                self._start_streaming(now, events)
        if ends:
            # Bytes after the response cannot be attributed to a request, so the connection is not used again.
            reuse = self.written and self._keep_alive and count == len(data)
            if self._status == 200 and not self.written:
                raise RequestError(502, "an answer to a request that is not all there")
            events.append(
                UpstreamResponse(self._status, self._fields, b"".join(self._body), reuse, self._headers)
            )
            if reuse:
                self._transition(UpstreamTransition.RESPONSE_COMPLETE)
                self._clear()
            else:
                self._close()

    def _max_response_bytes(self) -> int:
        return MAX_BUFFERED_RESPONSE_BYTES if self._streaming_policy is None else MAX_STREAMED_RESPONSE_BYTES

    def _should_stream(self, now: int) -> bool:
        """Whether the response is to be streamed because it is long or slow."""
        policy = self._streaming_policy
        if policy is None:
            return False
        if self._length is not None:
            return self._length > policy.unstreamed_bytes
        return self._body_bytes > policy.unstreamed_bytes or (
            policy.stream_slow_responses and now - self._head_at > SLOW_RESPONSE_US
        )

    def _may_stream(self) -> bool:
        """Whether the response may be streamed, by its head.

        An error response that arrives before the request is completely written is buffered.
        """
        if self._streaming_policy is not None and (
            not self._streaming_policy.is_streamable(self._response_head())
            or (self._status >= 300 and not self.written)
        ):
            self._streaming_policy = None
        return self._streaming_policy is not None

    def _response_head(self, body: bytes = b"") -> UpstreamResponse:
        return UpstreamResponse(self._status, self._fields, body, False, self._headers)

    def _start_streaming(self, now: int, events: list[Event]) -> None:
        if not self.written:
            raise RequestError(502, "an answer to a request that is not all there")
        self._transition(UpstreamTransition.STREAMING_STARTED)
        events.append(ResponseStarted(self._response_head(b"".join(self._body)), self._length))
        self._body, self.buffered_bytes = [], 0
        self.progress_at = now

    def _close(self) -> None:
        self._transition(UpstreamTransition.CLOSE)
        self._clear()

    def _transition(self, transition: UpstreamTransition) -> None:
        self.state = next_state(UPSTREAM_STATES, self.state, transition)

    # --- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, but no trailer: it must not claim that a request was rejected."""
        if self.state is UpstreamState.HEAD:
            self._headers.append((name, value.strip(b" \t")))  # the library keeps trailing whitespace

    def on_body(self, data: bytes) -> None:
        self._pieces.append(data)

    def on_message_complete(self) -> None:
        self._message_complete, self._keep_alive = True, self._parser.should_keep_alive()
