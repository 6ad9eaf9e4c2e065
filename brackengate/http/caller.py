"""State machine of one caller's connection: bytes and times in, commands out; no I/O.

One request is parsed at a time.  Bytes after it stay in a bounded buffer until it is answered, so answers
are sent in the order of their requests and no message is checked before the previous one has ended.  The
states and transitions are in `connection_states.CALLER_STATES`.

The connection (`net/http.py`) executes the returned commands in their order.  Whatever happens meanwhile
arrives as another call, after the machine has changed its state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass

import httptools

from brackengate.http.body import MAX_UNSTREAMED_BYTES, too_slow
from brackengate.http.chunks import ChunkedBodyScanner, invalid_chunks
from brackengate.http.connection_states import CALLER_STATES, CallerState, CallerTransition, next_state
from brackengate.http.message import (
    MAX_HEAD_BYTES,
    IncomingRequest,
    RequestError,
    encode_response,
    status_line,
)
from brackengate.http.rules import (
    SINGLE_REQUEST_HEADERS,
    Rule,
    has_stray_byte,
    head_syntax_fault,
    origin_form,
    request_fault,
)

SECOND_US = 1_000_000
HEAD_TIMEOUT_US = 3 * SECOND_US  # a head from its first to its last byte; callers are specified to take 2 s
LINGER_US = 700_000  # time for the caller to read an answer sent before its request's end
LINGER_WITH_BODY_US = 4 * SECOND_US  # the same, while a long body is being received and discarded
UNREAD_RESPONSE_TIMEOUT_US = 2 * SECOND_US  # for a caller to read an answer
STALL_TIMEOUT_US = 10 * SECOND_US  # for a caller that reads nothing of a streamed or last answer
ARRIVAL_TIME_RESOLUTION_US = 1_000  # precision of the times at which unparsed bytes were received
MAX_READ_AHEAD_BYTES = 16 << 10  # read after the present request before reading stops


# --- commands to the connection


@dataclass(slots=True)
class Write:
    """Send these bytes."""

    data: bytes


@dataclass(slots=True)
class Deliver:
    """Pass the request to its frontend."""

    arrival: IncomingRequest


@dataclass(slots=True)
class OpenBody:
    """Create the request's body stream; `length` from Content-Length, None if chunked."""

    arrival: IncomingRequest
    length: int | None


@dataclass(slots=True)
class FeedBody:
    """Add a piece to the request's body stream."""

    arrival: IncomingRequest
    data: bytes


@dataclass(slots=True)
class EndBody:
    """The request's body stream is complete."""

    arrival: IncomingRequest


@dataclass(slots=True)
class TruncateBody:
    """The rest of the body will not arrive, which ends its request."""

    arrival: IncomingRequest  # without a stream if its body was short


@dataclass(slots=True)
class CallerGone:
    """Notify whoever processes the request or streams the answer that the caller has disconnected."""


@dataclass(slots=True)
class SetReading:
    """Resume or pause reading."""

    on: bool


@dataclass(slots=True)
class EndSending:
    """Close the sending side; input is still read."""


@dataclass(slots=True)
class Close:
    """Close the connection."""

    immediately: bool  # else after buffered bytes are sent
    reset: bool = False  # with a reset, as it must not look like a regular end


@dataclass(slots=True)
class ReportBadRequest:
    """Count and log a bad request."""

    error: RequestError


@dataclass(slots=True)
class ContinueLater:
    """Call `resume` in a later iteration of the event loop, after other events."""


Command = (
    Write
    | Deliver
    | OpenBody
    | FeedBody
    | EndBody
    | TruncateBody
    | CallerGone
    | SetReading
    | EndSending
    | Close
    | ReportBadRequest
    | ContinueLater
)


class CallerMachine:
    """The state of one caller's connection.  All times are whole microseconds of one monotonic clock."""

    def __init__(
        self,
        now: int,
        max_body_bytes: Callable[[bytes], int],
        single_headers: Collection[bytes] = SINGLE_REQUEST_HEADERS,
    ) -> None:
        """`max_body_bytes`: the longest body for a target.  `single_headers`: headers that may occur once."""
        self.state = CallerState.IDLE
        self.opened_at = self.idle_since = self.received_at = now  # idle since the last answer
        self.request_started_at = now  # first byte of the request that is being parsed
        self.answered_count = 0
        self._max_body_bytes_for, self._single_headers = max_body_bytes, single_headers
        self._parser = httptools.HttpRequestParser(self)
        self._unparsed = b""  # received but not parsed
        self._searched_bytes = 0  # the first bytes of it, known to contain no end of a head
        self._skipped_empty_line = False  # one empty line may precede a request
        self._received_bytes = self._parsed_bytes = 0  # since the connection was opened
        # Bytes received by a time, to date each request.
        self._arrival_times: deque[tuple[int, int]] = deque()
        self._arrival: IncomingRequest | None = None  # parsed in part or completely, and not answered
        self._reset()
        self._max_body_bytes = 0
        # The caller does not read answers; the body's reader has no room.
        self._write_buffer_full = self._body_paused = False
        self._reading = True
        self._write_blocked_since = self._closed_at = self._linger_until = 0
        self._body_started_at = self._paused_at = self._paused_us = 0  # to measure a body's speed
        self._chunked_answer = self._close_after = False  # of a streamed answer
        self._answer_ends_at_close = False  # of a streamed answer without a length or chunks

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._pieces: list[bytes] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._length: int | None = 0
        self._chunks: ChunkedBodyScanner | None = None
        self._message_complete = self._keep_alive = False
        self._searched_bytes = 0

    # --- state, for the server's limits on all callers

    @property
    def idle(self) -> bool:
        """Whether there is no request, not even a part of one."""
        return self.state is CallerState.IDLE and not self._unparsed

    @property
    def silent(self) -> bool:
        """Whether nothing was received yet."""
        return self.idle and not self.answered_count

    @property
    def unfinished(self) -> bool:
        """Whether the only request has an incomplete head."""
        return self.state is CallerState.HEAD

    @property
    def leaving(self) -> bool:
        """Whether the last answer was sent and the connection only waits for the caller to read it."""
        return self.state in (CallerState.LINGERING, CallerState.CLOSED)

    def buffered_bytes(self) -> int:
        """Bytes held here, without those of a streamed body."""
        return len(self._unparsed) + sum(map(len, self._body))

    # --- input

    def received(self, data: bytes, now: int) -> list[Command]:
        """Bytes were received."""
        if self.state in (CallerState.LINGERING, CallerState.CLOSED):
            return []  # discarded
        self.received_at = now
        self._received_bytes += len(data)
        times = self._arrival_times
        if not self._unparsed or self.state is CallerState.HEAD:
            times.clear()  # earlier bytes do not end the present message
            times.append((self._received_bytes, now))
        elif now - times[-1][1] < ARRIVAL_TIME_RESOLUTION_US:
            times[-1] = (self._received_bytes, times[-1][1])
        else:
            times.append((self._received_bytes, now))
        self._unparsed = self._unparsed + data if self._unparsed else data
        return self.resume(now)

    def resume(self, now: int) -> list[Command]:
        """Continue to parse the received bytes, up to the next complete request."""
        commands: list[Command] = []
        try:
            while self._parse_next(now, commands):
                pass
        except RequestError as error:
            self._refuse(error, now, commands)
        self._update_reading(commands)
        return commands

    def connection_closed(self) -> list[Command]:
        """The connection was closed by either side."""
        commands: list[Command] = []
        self._close(commands)
        return commands

    def set_write_buffer_full(self, on: bool, now: int) -> list[Command]:
        """The transport's write buffer is full, or has room again; while it is full, nothing is parsed.

        Otherwise the answers to a caller that sends many requests and reads nothing would fill the memory.
        """
        commands: list[Command] = []
        if on:
            self._write_buffer_full, self._write_blocked_since = (
                True,
                self._write_blocked_since if self._write_buffer_full else now,
            )
        else:
            self._write_buffer_full = False
            if self._unparsed:
                commands.append(ContinueLater())
        self._update_reading(commands)
        return commands

    def set_body_paused(self, on: bool, now: int) -> list[Command]:
        """A body's reader has no room for more, or has room again.

        The request is delivered now at the latest.  Until then it waits for the end of its body, because an
        attempt that starts later is chosen with newer information and can be retried for longer.
        """
        commands: list[Command] = []
        if on and not self._body_paused:
            self._body_paused, self._paused_at = True, now
            if self.state is CallerState.BODY and self._arrival is not None:
                self._transition(CallerTransition.HANDED_ON)
                self._arrival.received_at = now  # as if it ended now; set again at its end
                commands.append(Deliver(self._arrival))
        elif not on and self._body_paused:
            self._body_paused = False
            self._paused_us += now - self._paused_at
            if self._unparsed:
                commands.append(ContinueLater())
        self._update_reading(commands)
        return commands

    def tick(self, now: int) -> list[Command]:
        """Check the timeouts; to be called a few times a second."""
        commands: list[Command] = []
        if self.state is CallerState.LINGERING:
            timed_out = now >= self._linger_until
        elif self.state is CallerState.CLOSED:
            timed_out = now - self._closed_at > STALL_TIMEOUT_US
        else:
            timeout_us = (
                STALL_TIMEOUT_US if self.state is CallerState.ANSWERING else UNREAD_RESPONSE_TIMEOUT_US
            )
            timed_out = self._write_buffer_full and now - self._write_blocked_since > timeout_us
        if timed_out:
            return self.close(now, at_once=True)
        if self._too_slow(now):
            self._refuse(RequestError(408, "the request's rest did not come"), now, commands)
        return commands

    def _too_slow(self, now: int) -> bool:
        if self.state is CallerState.HEAD:
            return (
                now - (self.request_started_at if self.answered_count else self.opened_at) > HEAD_TIMEOUT_US
            )
        if self.state not in (CallerState.BODY, CallerState.STREAMING_BODY) or self._write_buffer_full:
            return False
        paused_us = self._paused_us + (now - self._paused_at if self._body_paused else 0)
        return too_slow((now - self._body_started_at - paused_us) / SECOND_US, self._body_size)

    def close(self, now: int, at_once: bool) -> list[Command]:
        """Close the connection from this side, to free resources or in a drain."""
        commands: list[Command] = []
        self._closed_at = now
        reset = self.state is CallerState.ANSWERING and self._answer_ends_at_close
        self._close(commands)
        commands.append(Close(at_once or reset, reset))
        return commands

    # --- parsing

    def _parse_next(self, now: int, commands: list[Command]) -> bool:
        """Parse one part of the input; whether more could be parsed."""
        if not self._unparsed or self._write_buffer_full:
            return False
        if self.state is CallerState.IDLE:
            self._transition(CallerTransition.REQUEST_STARTED)
            self.request_started_at = now
        if self.state is CallerState.HEAD:
            return self._read_head(now, commands)
        if self.state in (CallerState.BODY, CallerState.STREAMING_BODY) and not self._body_paused:
            return self._read_body(now, commands)
        return False

    def _take(self, count: int) -> bytes:
        unparsed = self._unparsed
        self._parsed_bytes += count
        if count == len(unparsed):
            self._unparsed = b""
            return unparsed
        self._unparsed = unparsed[count:]
        return unparsed[:count]

    def _last_byte_received_at(self) -> int:
        """When the last parsed byte was received."""
        times, parsed = self._arrival_times, self._parsed_bytes
        while len(times) > 1 and times[0][0] < parsed:
            times.popleft()
        return times[0][1]

    def _read_head(self, now: int, commands: list[Command]) -> bool:
        if not self._skipped_empty_line and self._unparsed.startswith(
            b"\r\n"
        ):  # RFC 9112, 2.2: for old clients
            self._skipped_empty_line = True
            self._take(2)
            self._searched_bytes = 0
        unparsed = self._unparsed
        end = unparsed.find(b"\r\n\r\n", max(0, self._searched_bytes - 3)) + 4
        if end < 4 or end > MAX_HEAD_BYTES:
            if has_stray_byte(unparsed[:MAX_HEAD_BYTES], max(0, self._searched_bytes - 1)):
                raise _rule_error(Rule.LINE_ENDS)
            if len(unparsed) > MAX_HEAD_BYTES:
                raise RequestError(431, "headers too large")
            self._searched_bytes = len(unparsed)
            return False
        head = self._take(end)
        violated = head_syntax_fault(head, request=True)
        if violated is not None:
            raise _rule_error(violated)
        self._feed(head)
        headers = self._headers
        fields = {name.lower(): value for name, value in headers}
        method, version = self._parser.get_method(), self._parser.get_http_version()
        violated = request_fault(method, version, headers, fields, self._single_headers)
        if violated is not None:
            raise _rule_error(violated)
        target = origin_form(self._target, method, fields.get(b"host", b""))
        if target is None:
            raise _rule_error(Rule.TARGET)
        chunked = b"transfer-encoding" in fields
        length = 0 if chunked else int(fields.get(b"content-length", b"0"))
        arrival = self._arrival = IncomingRequest(
            method,
            target,
            headers,
            b"",
            self._keep_alive,
            self._last_byte_received_at(),
            version=version,
            fields=fields,
        )
        if self._message_complete:
            self._deliver_complete(arrival, commands)
            return False
        self._max_body_bytes = self._max_body_bytes_for(target)
        if length > self._max_body_bytes:
            raise RequestError(413, "body too large")
        self._transition(CallerTransition.HEAD_COMPLETE)
        self._length, self._chunks = (None, ChunkedBodyScanner()) if chunked else (length, None)
        self._body_started_at, self._paused_us = now, 0
        if length > MAX_UNSTREAMED_BYTES:
            commands.append(OpenBody(arrival, length))
        if fields.get(b"expect", b"").lower() == b"100-continue" and version != "1.0":
            commands.append(Write(b"HTTP/1.1 100 Continue\r\n\r\n"))
        return True

    def _read_body(self, now: int, commands: list[Command]) -> bool:
        # A body is streamed once more than MAX_UNSTREAMED_BYTES was received or declared.
        arrival, streams = (
            self._arrival,
            self._body_size > MAX_UNSTREAMED_BYTES or (self._length or 0) > MAX_UNSTREAMED_BYTES,
        )
        assert arrival is not None
        if self._chunks is not None:
            count = self._chunks.scan(self._unparsed)
            ends = self._chunks.done
        else:
            count = min(len(self._unparsed), (self._length or 0) - self._body_size)
            ends = self._body_size + count == self._length
        self._feed(self._take(count))
        if self._chunks is not None and self._chunks.fault is not None:
            raise self._chunks.fault
        if ends is not self._message_complete:
            raise _rule_error(Rule.MALFORMED)  # the two parsers do not agree on the message's end
        for piece in self._pieces:
            self._body_size += len(piece)
            if self._body_size > self._max_body_bytes:
                raise RequestError(413, "body too large")
            if streams:
                commands.append(FeedBody(arrival, piece))
                continue
            self._body.append(piece)
            if self._body_size > MAX_UNSTREAMED_BYTES:
                streams, buffered, self._body = True, b"".join(self._body), []
                commands += (OpenBody(arrival, None), FeedBody(arrival, buffered))
        self._pieces = []
        if not ends:
            return bool(self._unparsed)
        arrival.keep_alive = self._keep_alive
        if not streams:
            arrival.body = b"".join(self._body)
            arrival.received_at = self._last_byte_received_at()
            self._deliver_complete(arrival, commands)
            return False
        if self.state is CallerState.BODY:
            arrival.received_at = self._last_byte_received_at()
            commands += (EndBody(arrival), Deliver(arrival))
        else:
            commands.append(EndBody(arrival))  # the reader is notified: its deadline counts from here
        self._request_complete()
        return False

    def _deliver_complete(self, arrival: IncomingRequest, commands: list[Command]) -> None:
        self._request_complete()
        commands.append(Deliver(arrival))

    def _request_complete(self) -> None:
        self._transition(CallerTransition.REQUEST_COMPLETE)
        self._skipped_empty_line = False
        self._reset()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise _rule_error(Rule.UPGRADE) from None
        except httptools.HttpParserError as error:
            if self._chunks is not None:
                raise invalid_chunks() from None  # the parser's message depends on how the bytes were split
            raise RequestError(400, f"malformed HTTP: {error}", rule_slug=Rule.MALFORMED.slug) from None

    def _update_reading(self, commands: list[Command]) -> None:
        """Read only while there is room for more input, to bound the memory that a caller can occupy."""
        if self.state is CallerState.CLOSED:
            return
        read_ahead_full = len(self._unparsed) > MAX_READ_AHEAD_BYTES and self.state in (
            CallerState.IDLE,
            CallerState.AWAITING_ANSWER,
            CallerState.ANSWERING,
        )
        should_read = self.state is CallerState.LINGERING or not (
            self._write_buffer_full or self._body_paused or read_ahead_full
        )
        if should_read is not self._reading:
            self._reading = should_read
            commands.append(SetReading(should_read))

    # --- httptools

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, but no trailer, which could replace a header that was checked."""
        if self._chunks is None:
            self._headers.append((name, value.strip(b" \t")))  # the library keeps trailing whitespace

    def on_body(self, data: bytes) -> None:
        self._pieces.append(data)

    def on_message_complete(self) -> None:
        self._message_complete, self._keep_alive = True, self._parser.should_keep_alive()

    # --- answers

    def _is_last_answer(self, arrival: IncomingRequest, draining: bool) -> bool:
        """Whether this answer is the last; while draining, requests already received are still answered."""
        return not arrival.keep_alive or (draining and not self._unparsed)

    def answer(
        self,
        now: int,
        status: int,
        body: bytes,
        content_type: bytes = b"",
        retry_after_us: int = 0,
        extra_headers: bytes = b"",
        draining: bool = False,
    ) -> list[Command]:
        """Send a complete answer to the present request; no commands if the caller has disconnected."""
        arrival = self._arrival
        if self.state in (CallerState.LINGERING, CallerState.CLOSED) or arrival is None:
            return []
        early = self.state is CallerState.STREAMING_BODY
        last = early or self._is_last_answer(arrival, draining)
        self._transition(
            CallerTransition.ANSWERED_EARLY
            if early
            else CallerTransition.ANSWERED_LAST
            if last
            else CallerTransition.ANSWERED
        )
        data = encode_response(status, body, content_type, retry_after_us, last, extra_headers)
        commands: list[Command] = [
            Write(data[: len(data) - len(body)] if arrival.method == b"HEAD" else data)
        ]
        self._answered(now, commands)
        if early:
            commands.append(TruncateBody(arrival))
            self._linger(now, LINGER_WITH_BODY_US, commands)
        elif last:
            self._close_after_answer(now, commands)
        return commands

    def refuse(self, error: RequestError, now: int, draining: bool = False) -> list[Command]:
        """Answer the present request with an error raised by its frontend."""
        arrival = self._arrival
        if self.state in (CallerState.LINGERING, CallerState.CLOSED) or arrival is None:
            return []
        if (
            self.state is CallerState.AWAITING_ANSWER
            and not error.rule_slug
            and not self._is_last_answer(arrival, draining)
        ):
            commands: list[Command] = []
            if error.status not in (404, 405, 503):
                commands.append(ReportBadRequest(error))
            return commands + self.answer(
                now, error.status, _error_body(error), b"text/plain", 0, error.extra_headers, draining
            )
        commands = []
        self._refuse(error, now, commands)
        self._update_reading(commands)
        return commands

    def _refuse(self, error: RequestError, now: int, commands: list[Command]) -> None:
        """Answer with an error and end the connection, after reading the rest of the input for a while.

        Closing with unread bytes would send a reset, which could destroy the answer before it is read.
        """
        unread = self.state in (CallerState.BODY, CallerState.STREAMING_BODY)
        arrival = self._arrival
        self._transition(CallerTransition.REFUSED)
        if error.status not in (404, 405, 503):
            commands.append(ReportBadRequest(error))
        if unread and arrival is not None:
            commands.append(TruncateBody(arrival))
        commands.append(
            Write(
                encode_response(error.status, _error_body(error), b"text/plain", 0, True, error.extra_headers)
            )
        )
        self._answered(now, commands)
        self._linger(now, LINGER_WITH_BODY_US if unread else LINGER_US, commands)

    def _answered(self, now: int, commands: list[Command]) -> None:
        self.idle_since = now
        self.answered_count += 1
        self._arrival = None
        if self.state is CallerState.IDLE and self._unparsed:
            commands.append(ContinueLater())

    def _linger(self, now: int, duration_us: int, commands: list[Command]) -> None:
        self._linger_until = now + duration_us
        self._discard_unparsed()
        commands.append(EndSending())
        self._update_reading(commands)

    def _close_after_answer(self, now: int, commands: list[Command]) -> None:
        self._closed_at = now
        self._discard_unparsed()
        commands.append(Close(False))

    def _discard_unparsed(self) -> None:
        self._unparsed = b""
        self._arrival_times.clear()
        self._reset()

    def _close(self, commands: list[Command]) -> None:
        """Notify whoever processes the request, streams its answer or reads its body, and close."""
        if self.state in (CallerState.AWAITING_ANSWER, CallerState.STREAMING_BODY, CallerState.ANSWERING):
            commands.append(CallerGone())
        if self.state in (CallerState.BODY, CallerState.STREAMING_BODY) and self._arrival is not None:
            commands.append(TruncateBody(self._arrival))
        self._transition(CallerTransition.CLOSE)
        self._arrival = None
        self._discard_unparsed()

    # --- streamed answers

    def begin_answer(
        self,
        now: int,
        length: int | None,
        content_type: bytes,
        extra_headers: bytes,
        draining: bool,
        status: int = 200,
    ) -> list[Command]:
        """Send the head of a streamed answer, whose body has a length, is chunked or ends at the close."""
        arrival = self._arrival
        if self.state in (CallerState.LINGERING, CallerState.CLOSED) or arrival is None:
            return []
        self._transition(CallerTransition.ANSWER_STARTED)
        self._chunked_answer = length is None and arrival.version != "1.0"
        self._answer_ends_at_close = length is None and not self._chunked_answer
        self._close_after = self._is_last_answer(arrival, draining) or self._answer_ends_at_close
        head = status_line(status)
        if length is not None:
            head += b"Content-Length: %d\r\n" % length
        elif self._chunked_answer:
            head += b"Transfer-Encoding: chunked\r\n"
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        if self._close_after:
            head += b"Connection: close\r\n"
        return [Write(head + extra_headers + b"\r\n")]

    def answer_piece(self, data: bytes) -> list[Command]:
        """Send a piece of a streamed answer."""
        if self.state is not CallerState.ANSWERING or not data:
            return []
        return [Write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked_answer else data)]

    def end_answer(self, now: int) -> list[Command]:
        """The last piece of a streamed answer was sent."""
        if self.state is not CallerState.ANSWERING:
            return []
        commands: list[Command] = [Write(b"0\r\n\r\n")] if self._chunked_answer else []
        self._transition(
            CallerTransition.LAST_ANSWER_ENDED if self._close_after else CallerTransition.ANSWER_ENDED
        )
        self._answered(now, commands)
        if self._close_after:
            self._close_after_answer(now, commands)
        self._update_reading(commands)
        return commands

    def abort_answer(self, now: int) -> list[Command]:
        """The rest of a streamed answer will not arrive: close, so that the caller notices."""
        return self.close(now, at_once=True) if self.state is CallerState.ANSWERING else []

    def _transition(self, transition: CallerTransition) -> None:
        self.state = next_state(CALLER_STATES, self.state, transition)


def _rule_error(rule: Rule) -> RequestError:
    return RequestError(400, rule.description, rule_slug=rule.slug)


def _error_body(error: RequestError) -> bytes:
    return f"{error.detail}\n".encode()
