"""One caller's connection as a machine: bytes and times in, what to do out.

One request is read at a time.  What follows one that is held lies unread in a bounded buffer until that has
had its answer, so answers leave in the order of their requests and no message is judged before the one before
it is over.  The states and every move between them stand in `table.CALLER`.

The carrier (`net/http.py`) carries out what is returned, in its order; whatever happens while it does so
comes back as another call, after the machine has made its move.
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
HEAD_TIMEOUT_US = 3 * SECOND_US  # a head from its first byte to its last; callers are said to take 2 s
LINGER_US = 700_000  # for the caller to read an answer that came before its request's end
LINGER_WITH_BODY_US = 4 * SECOND_US  # the same, where a long body is on its way: it is read, and let go
UNREAD_RESPONSE_TIMEOUT_US = 2 * SECOND_US  # for a caller to take an answer
STALL_TIMEOUT_US = 10 * SECOND_US  # a caller that takes nothing of a long answer, or of its last one
ARRIVAL_TIME_RESOLUTION_US = 1_000  # how exactly it is known when what lies unread came
MAX_READ_AHEAD_BYTES = 16 << 10  # read behind a request that is held, before reading stops


# --- what the carrier does


@dataclass(slots=True)
class Write:
    data: bytes


@dataclass(slots=True)
class Deliver:
    """Hand it to its front."""

    arrival: IncomingRequest


@dataclass(slots=True)
class OpenBody:
    """Give it a stream; `length` is as told, None in chunks."""

    arrival: IncomingRequest
    length: int | None


@dataclass(slots=True)
class FeedBody:
    arrival: IncomingRequest
    data: bytes


@dataclass(slots=True)
class EndBody:
    arrival: IncomingRequest


@dataclass(slots=True)
class TruncateBody:
    """Its rest will not come, and its own end is its request's."""

    arrival: IncomingRequest  # without a stream where its body was short


@dataclass(slots=True)
class CallerGone:
    """Tell whoever holds the request, or gives the long answer, that nobody awaits it any more."""


@dataclass(slots=True)
class SetReading:
    """Go on reading, or stop."""

    on: bool


@dataclass(slots=True)
class EndSending:
    """Nothing more is said; what comes is still read."""


@dataclass(slots=True)
class Close:
    immediately: bool  # else after what was written
    reset: bool = False  # its end must not look like an end in order


@dataclass(slots=True)
class ReportBadRequest:
    error: RequestError


@dataclass(slots=True)
class ContinueLater:
    """Call `go_on` in a later turn: others come first."""


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
    """All times are whole microseconds of one clock that never goes back."""

    def __init__(
        self,
        now: int,
        max_body_bytes: Callable[[bytes], int],
        single_headers: Collection[bytes] = SINGLE_REQUEST_HEADERS,
    ) -> None:
        """`max_body_bytes`: the longest body for a target.  `single_headers`: headers that may stand once."""
        self.state = CallerState.IDLE
        self.opened_at = self.idle_since = self.received_at = now  # `since`: the last answer
        self.request_started_at = (
            now  # the first byte of the request that is being read: later ones do not renew it
        )
        self.answered_count = 0
        self._max_body_bytes_for, self._single_headers = max_body_bytes, single_headers
        self._parser = httptools.HttpRequestParser(self)
        self._unparsed = b""  # come, not read
        self._searched_bytes = 0  # so much of it is known to hold no end of a head
        self._skipped_empty_line = False  # the one empty line that may stand before a request
        self._received_bytes = self._parsed_bytes = 0  # bytes, from the start
        self._arrival_times: deque[tuple[int, int]] = (
            deque()
        )  # what had come by when: a request's time is its own
        self._arrival: IncomingRequest | None = None  # read in part or whole, and not answered
        self._reset()
        self._max_body_bytes = 0
        self._write_buffer_full = self._body_paused = (
            False  # answers wait to be taken; the body's reader has no room
        )
        self._reading = True
        self._write_blocked_since = self._closed_at = self._linger_until = 0
        self._body_started_at = self._paused_at = self._paused_us = 0  # for how fast a body comes
        self._chunked_answer = self._close_after = False  # of a long answer
        self._answer_ends_at_close = False  # the same: only the connection's end tells its end

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

    # --- how it stands, for the limits on all callers

    @property
    def idle(self) -> bool:
        return self.state is CallerState.IDLE and not self._unparsed

    @property
    def silent(self) -> bool:
        """Nothing has come on it yet."""
        return self.idle and not self.answered_count

    @property
    def unfinished(self) -> bool:
        """A head has begun, and there is nothing else to it."""
        return self.state is CallerState.HEAD

    @property
    def leaving(self) -> bool:
        """It has had its last answer, and only waits for its caller to read that."""
        return self.state in (CallerState.LINGERING, CallerState.CLOSED)

    def buffered_bytes(self) -> int:
        """Bytes kept here, without those of a body that is a stream."""
        return len(self._unparsed) + sum(map(len, self._body))

    # --- what comes

    def received(self, data: bytes, now: int) -> list[Command]:
        if self.state in (CallerState.LINGERING, CallerState.CLOSED):
            return []  # of no use to anybody
        self.received_at = now
        self._received_bytes += len(data)
        marks = self._arrival_times
        if not self._unparsed or self.state is CallerState.HEAD:
            marks.clear()  # the last byte of what is being read is none of those before
            marks.append((self._received_bytes, now))
        elif now - marks[-1][1] < ARRIVAL_TIME_RESOLUTION_US:
            marks[-1] = (self._received_bytes, marks[-1][1])
        else:
            marks.append((self._received_bytes, now))
        self._unparsed = self._unparsed + data if self._unparsed else data
        return self.resume(now)

    def resume(self, now: int) -> list[Command]:
        """Read on in what has come, up to the next whole request."""
        out: list[Command] = []
        try:
            while self._parse_next(now, out):
                pass
        except RequestError as bad:
            self._refuse(bad, now, out)
        self._update_reading(out)
        return out

    def connection_closed(self) -> list[Command]:
        """The connection has ended, from whichever side."""
        out: list[Command] = []
        self._close(out)
        return out

    def set_write_buffer_full(self, on: bool, now: int) -> list[Command]:
        """The caller does not take what it is sent, or does again: till then nothing more of it is read.

        Guards against a caller that sends many requests and reads nothing: answers would fill the memory.
        """
        out: list[Command] = []
        if on:
            self._write_buffer_full, self._write_blocked_since = (
                True,
                self._write_blocked_since if self._write_buffer_full else now,
            )
        else:
            self._write_buffer_full = False
            if self._unparsed:
                out.append(ContinueLater())
        self._update_reading(out)
        return out

    def set_body_paused(self, on: bool, now: int) -> list[Command]:
        """A body's reader has no room for more, or has again.

        Its request goes on at the latest now: an attempt that begins later is chosen better, and can go again
        for longer, so it waited for the body's end or for this.
        """
        out: list[Command] = []
        if on and not self._body_paused:
            self._body_paused, self._paused_at = True, now
            if self.state is CallerState.BODY and self._arrival is not None:
                self._transition(CallerTransition.HANDED_ON)
                self._arrival.received_at = now  # as if it ended now: its time counts anew from its end
                out.append(Deliver(self._arrival))
        elif not on and self._body_paused:
            self._body_paused = False
            self._paused_us += now - self._paused_at
            if self._unparsed:
                out.append(ContinueLater())
        self._update_reading(out)
        return out

    def tick(self, now: int) -> list[Command]:
        """What time brings: to be called a few times a second."""
        out: list[Command] = []
        if self.state is CallerState.LINGERING:
            over = now >= self._linger_until
        elif self.state is CallerState.CLOSED:
            over = now - self._closed_at > STALL_TIMEOUT_US
        else:
            patience = STALL_TIMEOUT_US if self.state is CallerState.ANSWERING else UNREAD_RESPONSE_TIMEOUT_US
            over = self._write_buffer_full and now - self._write_blocked_since > patience
        if over:
            return self.close(now, at_once=True)
        if self._too_slow(now):
            self._refuse(RequestError(408, "the request's rest did not come"), now, out)
        return out

    def _too_slow(self, now: int) -> bool:
        if self.state is CallerState.HEAD:
            return (
                now - (self.request_started_at if self.answered_count else self.opened_at) > HEAD_TIMEOUT_US
            )
        if self.state not in (CallerState.BODY, CallerState.STREAMING_BODY) or self._write_buffer_full:
            return False
        paused = self._paused_us + (now - self._paused_at if self._body_paused else 0)
        return too_slow((now - self._body_started_at - paused) / SECOND_US, self._body_size)

    def close(self, now: int, at_once: bool) -> list[Command]:
        """Ended from here, for want of room or in a drain."""
        out: list[Command] = []
        self._closed_at = now
        resets = self.state is CallerState.ANSWERING and self._answer_ends_at_close
        self._close(out)
        out.append(Close(at_once or resets, resets))
        return out

    # --- reading

    def _parse_next(self, now: int, out: list[Command]) -> bool:
        """Whether more could be read."""
        if not self._unparsed or self._write_buffer_full:
            return False
        if self.state is CallerState.IDLE:
            self._transition(CallerTransition.REQUEST_STARTED)
            self.request_started_at = now
        if self.state is CallerState.HEAD:
            return self._read_head(now, out)
        if self.state in (CallerState.BODY, CallerState.STREAMING_BODY) and not self._body_paused:
            return self._read_body(now, out)
        return False

    def _take(self, count: int) -> bytes:
        rest = self._unparsed
        self._parsed_bytes += count
        if count == len(rest):
            self._unparsed = b""
            return rest
        self._unparsed = rest[count:]
        return rest[:count]

    def _last_byte_received_at(self) -> int:
        """When the last byte that was taken came."""
        marks, used = self._arrival_times, self._parsed_bytes
        while len(marks) > 1 and marks[0][0] < used:
            marks.popleft()
        return marks[0][1]

    def _read_head(self, now: int, out: list[Command]) -> bool:
        if not self._skipped_empty_line and self._unparsed.startswith(
            b"\r\n"
        ):  # RFC 9112, 2.2: one, for old callers
            self._skipped_empty_line = True
            self._take(2)
            self._searched_bytes = 0
        rest = self._unparsed
        end = rest.find(b"\r\n\r\n", max(0, self._searched_bytes - 3)) + 4
        if end < 4 or end > MAX_HEAD_BYTES:
            if has_stray_byte(rest[:MAX_HEAD_BYTES], max(0, self._searched_bytes - 1)):
                raise _rule_error(Rule.LINE_ENDS)
            if len(rest) > MAX_HEAD_BYTES:
                raise RequestError(431, "headers too large")
            self._searched_bytes = len(rest)
            return False
        head = self._take(end)
        found = head_syntax_fault(head, request=True)
        if found is not None:
            raise _rule_error(found)
        self._feed(head)
        headers = self._headers
        fields = {name.lower(): value for name, value in headers}
        method, version = self._parser.get_method(), self._parser.get_http_version()
        found = request_fault(method, version, headers, fields, self._single_headers)
        if found is not None:
            raise _rule_error(found)
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
            self._deliver_complete(arrival, out)
            return False
        self._max_body_bytes = self._max_body_bytes_for(target)
        if length > self._max_body_bytes:
            raise RequestError(413, "body too large")
        self._transition(CallerTransition.HEAD_COMPLETE)
        self._length, self._chunks = (None, ChunkedBodyScanner()) if chunked else (length, None)
        self._body_started_at, self._paused_us = now, 0
        if length > MAX_UNSTREAMED_BYTES:
            out.append(OpenBody(arrival, length))
        if fields.get(b"expect", b"").lower() == b"100-continue" and version != "1.0":
            out.append(Write(b"HTTP/1.1 100 Continue\r\n\r\n"))
        return True

    def _read_body(self, now: int, out: list[Command]) -> bool:
        # Once more than WHOLE has come, or was told, it goes on in pieces.
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
            raise _rule_error(Rule.MALFORMED)  # two readers of one message that do not agree on its end
        for piece in self._pieces:
            self._body_size += len(piece)
            if self._body_size > self._max_body_bytes:
                raise RequestError(413, "body too large")
            if streams:
                out.append(FeedBody(arrival, piece))
                continue
            self._body.append(piece)
            if self._body_size > MAX_UNSTREAMED_BYTES:
                streams, whole, self._body = True, b"".join(self._body), []
                out += (OpenBody(arrival, None), FeedBody(arrival, whole))
        self._pieces = []
        if not ends:
            return bool(self._unparsed)
        arrival.keep_alive = self._keep_alive
        if not streams:
            arrival.body = b"".join(self._body)
            arrival.received_at = self._last_byte_received_at()
            self._deliver_complete(arrival, out)
            return False
        if self.state is CallerState.BODY:
            arrival.received_at = self._last_byte_received_at()
            out += (EndBody(arrival), Deliver(arrival))
        else:
            out.append(EndBody(arrival))  # whoever reads it hears so: its time counts from here
        self._request_complete()
        return False

    def _deliver_complete(self, arrival: IncomingRequest, out: list[Command]) -> None:
        self._request_complete()
        out.append(Deliver(arrival))

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
                raise invalid_chunks() from None  # at which byte it is found depends on how they came
            raise RequestError(400, f"malformed HTTP: {error}", rule_slug=Rule.MALFORMED.slug) from None

    def _update_reading(self, out: list[Command]) -> None:
        """Read while there is room for what comes; bounds what a caller can make this process hold."""
        if self.state is CallerState.CLOSED:
            return
        waits = len(self._unparsed) > MAX_READ_AHEAD_BYTES and self.state in (
            CallerState.IDLE,
            CallerState.AWAITING_ANSWER,
            CallerState.ANSWERING,
        )
        wanted = self.state is CallerState.LINGERING or not (
            self._write_buffer_full or self._body_paused or waits
        )
        if wanted is not self._reading:
            self._reading = wanted
            out.append(SetReading(wanted))

    # --- httptools

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header, but none that follows the body: it could stand in for one that was checked."""
        if self._chunks is None:
            self._headers.append((name, value.strip(b" \t")))  # the library leaves what is behind it

    def on_body(self, data: bytes) -> None:
        self._pieces.append(data)

    def on_message_complete(self) -> None:
        self._message_complete, self._keep_alive = True, self._parser.should_keep_alive()

    # --- answers

    def _is_last_answer(self, arrival: IncomingRequest, draining: bool) -> bool:
        """Whether this answer is the last: requests that were read are answered also when leaving."""
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
        """The whole answer to the request that is held.  Nothing is said where its caller has gone."""
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
        out: list[Command] = [Write(data[: len(data) - len(body)] if arrival.method == b"HEAD" else data)]
        self._answered(now, out)
        if early:
            out.append(TruncateBody(arrival))
            self._linger(now, LINGER_WITH_BODY_US, out)
        elif last:
            self._close_after_answer(now, out)
        return out

    def refuse(self, bad: RequestError, now: int, draining: bool = False) -> list[Command]:
        """A front turns down what it was handed."""
        arrival = self._arrival
        if self.state in (CallerState.LINGERING, CallerState.CLOSED) or arrival is None:
            return []
        if (
            self.state is CallerState.AWAITING_ANSWER
            and not bad.rule_slug
            and not self._is_last_answer(arrival, draining)
        ):
            out: list[Command] = []
            if bad.status not in (404, 405, 503):
                out.append(ReportBadRequest(bad))
            return out + self.answer(
                now, bad.status, _error_body(bad), b"text/plain", 0, bad.extra_headers, draining
            )
        out = []
        self._refuse(bad, now, out)
        self._update_reading(out)
        return out

    def _refuse(self, bad: RequestError, now: int, out: list[Command]) -> None:
        """Answer what is not served, and end; where the rest of it may still come, wait for it a while.

        Guards against the reset that closing on unread bytes brings: it could wipe out the answer.
        """
        unread = self.state in (CallerState.BODY, CallerState.STREAMING_BODY)
        arrival = self._arrival
        self._transition(CallerTransition.REFUSED)
        if bad.status not in (404, 405, 503):
            out.append(ReportBadRequest(bad))
        if unread and arrival is not None:
            out.append(TruncateBody(arrival))
        out.append(
            Write(encode_response(bad.status, _error_body(bad), b"text/plain", 0, True, bad.extra_headers))
        )
        self._answered(now, out)
        self._linger(now, LINGER_WITH_BODY_US if unread else LINGER_US, out)

    def _answered(self, now: int, out: list[Command]) -> None:
        self.idle_since = now
        self.answered_count += 1
        self._arrival = None
        if self.state is CallerState.IDLE and self._unparsed:
            out.append(ContinueLater())

    def _linger(self, now: int, for_us: int, out: list[Command]) -> None:
        self._linger_until = now + for_us
        self._discard_unparsed()
        out.append(EndSending())
        self._update_reading(out)

    def _close_after_answer(self, now: int, out: list[Command]) -> None:
        self._closed_at = now
        self._discard_unparsed()
        out.append(Close(False))

    def _discard_unparsed(self) -> None:
        self._unparsed = b""
        self._arrival_times.clear()
        self._reset()

    def _close(self, out: list[Command]) -> None:
        """Who holds its request, gives its long answer or reads its body hears of it, whoever ended it."""
        if self.state in (CallerState.AWAITING_ANSWER, CallerState.STREAMING_BODY, CallerState.ANSWERING):
            out.append(CallerGone())
        if self.state in (CallerState.BODY, CallerState.STREAMING_BODY) and self._arrival is not None:
            out.append(TruncateBody(self._arrival))
        self._transition(CallerTransition.CLOSE)
        self._arrival = None
        self._discard_unparsed()

    # --- long answers

    def begin_answer(
        self,
        now: int,
        length: int | None,
        content_type: bytes,
        extra_headers: bytes,
        draining: bool,
        status: int = 200,
    ) -> list[Command]:
        """The head of an answer whose body follows in pieces: in its length, in chunks or until the end."""
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
        if self.state is not CallerState.ANSWERING or not data:
            return []
        return [Write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked_answer else data)]

    def end_answer(self, now: int) -> list[Command]:
        """The last piece was given."""
        if self.state is not CallerState.ANSWERING:
            return []
        out: list[Command] = [Write(b"0\r\n\r\n")] if self._chunked_answer else []
        self._transition(
            CallerTransition.LAST_ANSWER_ENDED if self._close_after else CallerTransition.ANSWER_ENDED
        )
        self._answered(now, out)
        if self._close_after:
            self._close_after_answer(now, out)
        self._update_reading(out)
        return out

    def abort_answer(self, now: int) -> list[Command]:
        """The rest will not come: its caller sees the connection break."""
        return self.close(now, at_once=True) if self.state is CallerState.ANSWERING else []

    def _transition(self, move: CallerTransition) -> None:
        self.state = next_state(CALLER_STATES, self.state, move)


def _rule_error(rule: Rule) -> RequestError:
    return RequestError(400, rule.description, rule_slug=rule.slug)


def _error_body(bad: RequestError) -> bytes:
    return f"{bad.detail}\n".encode()
