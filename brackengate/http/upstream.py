"""One connection to an upstream as a machine: what is written, and what comes back for it.

One exchange at a time.  An answer of up to `body.WHOLE` is kept until it is whole; a longer or slower one is
passed on as it comes, where whoever asked allows it.  The states stand in `table.UPSTREAM`; whether the
request is written whole is apart from them, since an upstream may answer before it has read all.

An answer that can be read in two ways, or that can't be one, is `InvalidResponse`: it ends its exchange, and
the
connection is not used again.
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

MAX_BUFFERED_RESPONSE_BYTES = 1 << 20  # of an answer that somebody must have whole
MAX_STREAMED_RESPONSE_BYTES = 64 << 20  # of one that is passed on in pieces; they are said to hold 32 MB
SLOW_RESPONSE_US = (
    100_000  # an answer that comes slowly is passed on from here on, however short it is so far
)
STALL_TIMEOUT_US = (
    10_000_000  # an upstream that neither reads nor writes for this long, in the middle of a body
)


# --- what the carrier does


@dataclass(slots=True)
class ResponseStarted:
    """The head and the first bytes of a long answer; the rest comes in `BodyPiece`s."""

    head: UpstreamResponse
    length: int | None


@dataclass(slots=True)
class BodyPiece:
    data: bytes


@dataclass(slots=True)
class UpstreamResponse:
    """A whole answer.  `body` is empty where it was passed on.  `reuse`: the connection may serve another.

    Of one that begins (`ResponseStarted`) it has the head, and what there is of the body.
    """

    status: int
    fields: dict[bytes, bytes]
    body: bytes
    reuse: bool
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class InvalidResponse:
    reason: str


@dataclass(slots=True)
class UnsolicitedData:
    """Bytes, and nobody had asked."""


Event = ResponseStarted | BodyPiece | UpstreamResponse | InvalidResponse | UnsolicitedData


@dataclass(frozen=True, slots=True)
class StreamingPolicy:
    """Which answers are passed on as they come."""

    is_streamable: Callable[[UpstreamResponse], bool] = (
        lambda head: head.status == 200
    )  # as the head says; a pure function
    unstreamed_bytes: int = MAX_UNSTREAMED_BYTES  # up to here a body is kept until it is whole
    stream_slow_responses: bool = True  # also a shorter one, where it comes slowly


class UpstreamMachine:
    """All times are whole microseconds of one clock that never goes back."""

    def __init__(self) -> None:
        self.state = UpstreamState.IDLE
        self.written = False  # the request's last byte is with the kernel: only then may it have run
        self.response_started = False  # whether anything has come for this request
        self.paused = False  # the caller can't take more of the answer now
        self.request_started_at = self.progress_at = (
            0  # when a piece of either body last moved, while one is under way
        )
        self._parser = httptools.HttpResponseParser(self)
        self._streaming_policy: StreamingPolicy | None = None  # None: somebody must have it whole
        self._request: Body | None = None
        self._body_sent = False  # of a request's body
        self._clear()

    def _clear(self) -> None:
        self._unparsed = b""
        self._head_bytes = 0  # bytes of interim answers
        self._searched_bytes = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields: dict[bytes, bytes] = {}
        self._status = 0
        self._pieces: list[bytes] = []
        self._body: list[bytes] = []
        self.buffered_bytes = 0  # bytes of a body that is kept until it is whole
        self._body_bytes = 0
        self._length: int | None = None
        self._chunks: ChunkedBodyScanner | None = None
        self._ends_at_close = False  # only the connection's end ends the answer
        self._message_complete = self._keep_alive = False
        self._head_at = 0

    # --- the request

    def start_request(
        self, now: int, body: Body | None = None, passing: StreamingPolicy | None = None
    ) -> None:
        """An exchange begins: the carrier writes its head.  `passing`: a long answer may be passed on."""
        self._transition(UpstreamTransition.REQUEST_STARTED)
        self.written = self.response_started = self._body_sent = False
        self.request_started_at = self.progress_at = now
        self._request, self._streaming_policy = body, passing

    def next_piece(self, now: int) -> bytes | None:
        """What to write next, once all before it is with the kernel.  Empty: that was all, and it is written.
        None: there is nothing yet."""
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

    # --- the answer

    def received(self, data: bytes, now: int) -> list[Event]:
        if self.state is UpstreamState.CLOSED:
            return []
        if self.state is UpstreamState.IDLE:
            self._close()
            return [UnsolicitedData()]
        self.response_started = True
        if self.state is UpstreamState.AWAITING:
            self._transition(UpstreamTransition.RESPONSE_STARTED)
        out: list[Event] = []
        try:
            if self.state is UpstreamState.HEAD:
                self._unparsed = self._unparsed + data if self._unparsed else data
                while self.state is UpstreamState.HEAD and self._unparsed and self._read_head(now):
                    pass
                data, self._unparsed = (
                    (b"", self._unparsed) if self.state is UpstreamState.HEAD else (self._unparsed, b"")
                )
            if self.state is not UpstreamState.HEAD:
                self._read_body(data, now, out)
        except (RequestError, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._close()
            out.append(InvalidResponse(str(error) or type(error).__name__))
        return out

    def ended(self, clean: bool) -> list[Event]:
        """The connection has ended.  An answer that only this ends is whole, where it ended in order."""
        out: list[Event] = []
        if self._ends_at_close and clean and self.written:
            out.append(
                UpstreamResponse(self._status, self._fields, b"".join(self._body), False, self._headers)
            )
        self._close()
        return out

    def set_paused(self, on: bool, now: int) -> None:
        """The caller can take no more of a long answer, or can again."""
        self.paused, self.progress_at = on, now

    def stalled(self, now: int, unsent: bool) -> bool:
        """Whether a body that is under way stands still, and it is not the caller who holds it up."""
        if now - self.progress_at < STALL_TIMEOUT_US:
            return False
        if self.state is UpstreamState.STREAMING:
            return not self.paused
        return self._request is not None and not self.written and unsent

    def close(self) -> None:
        self._close()

    # --- reading

    def _read_head(self, now: int) -> bool:
        """One head, the final or an interim one; whether there was a whole one."""
        rest = self._unparsed
        end = rest.find(b"\r\n\r\n", max(0, self._searched_bytes - 3)) + 4
        if end < 4:
            if has_stray_byte(rest, max(0, self._searched_bytes - 1)):
                raise RequestError(502, "a bare CR or LF, or a control character, in an answer's head")
            if self._head_bytes + len(rest) > MAX_HEAD_BYTES:
                raise RequestError(502, "headers too large")
            self._searched_bytes = len(rest)
            return False
        head, self._unparsed, self._searched_bytes = rest[:end], rest[end:], 0
        self._head_bytes += end
        if self._head_bytes > MAX_HEAD_BYTES:
            raise RequestError(502, "headers too large")
        found = head_syntax_fault(head, request=False)
        if found is None:
            self._headers = []
            self._parser.feed_data(head)
            status, version = self._parser.get_status_code(), self._parser.get_http_version()
            fields = self._fields = {name.lower(): value for name, value in self._headers}
            found = response_fault(status, version, self._headers, fields)
        if found is not None:
            raise RequestError(502, found.description)
        self._status = status
        if status < 200:
            self._message_complete = False
        else:
            self._handle_final_head(status, fields, now)
        return True

    def _handle_final_head(self, status: int, fields: dict[bytes, bytes], now: int) -> None:
        """Judge an answer by its head.

        Guards against waiting for, or reading, what can't be an answer: one of 3 GB, and one without a
        length, whose end nothing would tell from a break.  An upstream that says that it closes may end an
        answer so: a break shows as a reset.
        """
        told = fields.get(b"content-length")
        length = self._length = int(told) if told is not None else None
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
        elif told is None and not self._message_complete:
            closes = fields.get(b"connection", b"").strip().lower() == b"close"
            if status < 300 and not (closes and self.written):
                raise RequestError(502, "an answer without a length")
            self._ends_at_close = True
        self._head_at = now
        self._transition(UpstreamTransition.HEAD_COMPLETE)

    def _read_body(self, data: bytes, now: int, out: list[Event]) -> None:
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
            raise RequestError(502, "two readers of one answer that do not agree on its end")
        pieces, self._pieces = self._pieces, []
        for piece in pieces:
            self._body_bytes += len(piece)
            begins = (
                self.state is not UpstreamState.STREAMING and self._should_stream(now) and self._may_stream()
            )
            if self._body_bytes > self._max_response_bytes():
                raise RequestError(502, "answer too large")
            if self.state is UpstreamState.STREAMING:
                self.progress_at = now
                out.append(BodyPiece(piece))
                continue
            self._body.append(piece)
            self.buffered_bytes += len(piece)
            if begins:
                self._start_streaming(now, out)
        if ends:
            # More than the answer: what it belongs to nobody can tell, so the connection is not used again.
            reuse = self.written and self._keep_alive and count == len(data)
            if self._status == 200 and not self.written:
                raise RequestError(502, "an answer to a request that is not all there")
            out.append(
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
        """Whether an answer is passed on as it comes: it is long, or comes slowly."""
        passing = self._streaming_policy
        if passing is None:
            return False
        if self._length is not None:
            return self._length > passing.unstreamed_bytes
        return self._body_bytes > passing.unstreamed_bytes or (
            passing.stream_slow_responses and now - self._head_at > SLOW_RESPONSE_US
        )

    def _may_stream(self) -> bool:
        """Judge a long answer by its head.  A failure that comes before the request is all there is kept."""
        if self._streaming_policy is not None and (
            not self._streaming_policy.is_streamable(self._response_head())
            or (self._status >= 300 and not self.written)
        ):
            self._streaming_policy = None
        return self._streaming_policy is not None

    def _response_head(self, body: bytes = b"") -> UpstreamResponse:
        return UpstreamResponse(self._status, self._fields, body, False, self._headers)

    def _start_streaming(self, now: int, out: list[Event]) -> None:
        if not self.written:
            raise RequestError(502, "an answer to a request that is not all there")
        self._transition(UpstreamTransition.STREAMING_STARTED)
        out.append(ResponseStarted(self._response_head(b"".join(self._body)), self._length))
        self._body, self.buffered_bytes = [], 0
        self.progress_at = now

    def _close(self) -> None:
        self._transition(UpstreamTransition.CLOSE)
        self._clear()

    def _transition(self, move: UpstreamTransition) -> None:
        self.state = next_state(UPSTREAM_STATES, self.state, move)

    # --- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """A trailer must not say that a request was turned away whose answer has begun."""
        if self.state is UpstreamState.HEAD:
            self._headers.append((name, value.strip(b" \t")))  # the library leaves what is behind it

    def on_body(self, data: bytes) -> None:
        self._pieces.append(data)

    def on_message_complete(self) -> None:
        self._message_complete, self._keep_alive = True, self._parser.should_keep_alive()
