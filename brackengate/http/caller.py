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

from brackengate.http.body import WHOLE, too_slow
from brackengate.http.chunks import Chunks, unreadable
from brackengate.http.message import MAX_HEAD, Arrival, Bad, first_line, response
from brackengate.http.rules import ALWAYS_ONCE, Rule, broken_line, form, origin_form, request_fault
from brackengate.http.table import CALLER, Caller, CallerMove, step

SECOND = 1_000_000
HEAD_TIME = 3 * SECOND  # a head from its first byte to its last; callers are said to take 2 s
LINGER = 700_000  # for the caller to read an answer that came before its request's end
LINGER_BODY = 4 * SECOND  # the same, where a long body is on its way: it is read, and let go
DRAIN_ANSWER = 2 * SECOND  # for a caller to take an answer
STALL = 10 * SECOND  # a caller that takes nothing of a long answer, or of its last one
MARK = 1_000  # how exactly it is known when what lies unread came
AHEAD = 16 << 10  # read behind a request that is held, before reading stops


# --- what the carrier does


@dataclass(slots=True)
class Write:
    data: bytes


@dataclass(slots=True)
class Deliver:
    """Hand it to its front."""

    arrival: Arrival


@dataclass(slots=True)
class OpenBody:
    """Give it a stream; `length` is as told, None in chunks."""

    arrival: Arrival
    length: int | None


@dataclass(slots=True)
class Feed:
    arrival: Arrival
    data: bytes


@dataclass(slots=True)
class EndBody:
    arrival: Arrival


@dataclass(slots=True)
class CutBody:
    """Its rest will not come, and its own end is its request's."""

    arrival: Arrival  # without a stream where its body was short


@dataclass(slots=True)
class Gone:
    """Tell whoever holds the request, or gives the long answer, that nobody awaits it any more."""


@dataclass(slots=True)
class Read:
    """Go on reading, or stop."""

    on: bool


@dataclass(slots=True)
class EndSending:
    """Nothing more is said; what comes is still read."""


@dataclass(slots=True)
class Close:
    at_once: bool  # else after what was written
    resets: bool = False  # its end must not look like an end in order


@dataclass(slots=True)
class Complain:
    bad: Bad


@dataclass(slots=True)
class Again:
    """Call `go_on` in a later turn: others come first."""


Command = (
    Write
    | Deliver
    | OpenBody
    | Feed
    | EndBody
    | CutBody
    | Gone
    | Read
    | EndSending
    | Close
    | Complain
    | Again
)


class CallerMachine:
    """All times are whole microseconds of one clock that never goes back."""

    def __init__(
        self, now: int, most_body: Callable[[bytes], int], once: Collection[bytes] = ALWAYS_ONCE
    ) -> None:
        """`most_body`: the longest body for a target.  `once`: headers that may stand once."""
        self.state = Caller.IDLE
        self.opened = self.since = self.heard = now  # `since`: the last answer
        self.began = now  # the first byte of the request that is being read: later ones do not renew it
        self.served = 0
        self._most_body_of, self._once = most_body, once
        self._parser = httptools.HttpRequestParser(self)
        self._rest = b""  # come, not read
        self._looked = 0  # so much of it is known to hold no end of a head
        self._skipped = False  # the one empty line that may stand before a request
        self._got = self._used = 0  # bytes, from the start
        self._marks: deque[tuple[int, int]] = deque()  # what had come by when: a request's time is its own
        self._arrival: Arrival | None = None  # read in part or whole, and not answered
        self._reset()
        self._most_body = 0
        self._full = self._held_back = False  # answers wait to be taken; the body's reader has no room
        self._reads = True
        self._full_at = self._over_at = self._ends_at = 0
        self._body_at = self._paused_at = self._paused = 0  # for how fast a body comes
        self._chunked_out = self._close_after = False  # of a long answer
        self._till_close = False  # the same: only the connection's end tells its end

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._pieces: list[bytes] = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._length: int | None = 0
        self._chunks: Chunks | None = None
        self._complete = self._keep_alive = False
        self._looked = 0

    # --- how it stands, for the limits on all callers

    @property
    def idle(self) -> bool:
        return self.state is Caller.IDLE and not self._rest

    @property
    def silent(self) -> bool:
        """Nothing has come on it yet."""
        return self.idle and not self.served

    @property
    def unfinished(self) -> bool:
        """A head has begun, and there is nothing else to it."""
        return self.state is Caller.HEAD

    @property
    def leaving(self) -> bool:
        """It has had its last answer, and only waits for its caller to read that."""
        return self.state in (Caller.LINGERING, Caller.CLOSED)

    def held(self) -> int:
        """Bytes kept here, without those of a body that is a stream."""
        return len(self._rest) + sum(map(len, self._body))

    # --- what comes

    def received(self, data: bytes, now: int) -> list[Command]:
        if self.state in (Caller.LINGERING, Caller.CLOSED):
            return []  # of no use to anybody
        self.heard = now
        self._got += len(data)
        marks = self._marks
        if not self._rest or self.state is Caller.HEAD:
            marks.clear()  # the last byte of what is being read is none of those before
            marks.append((self._got, now))
        elif now - marks[-1][1] < MARK:
            marks[-1] = (self._got, marks[-1][1])
        else:
            marks.append((self._got, now))
        self._rest = self._rest + data if self._rest else data
        return self.go_on(now)

    def go_on(self, now: int) -> list[Command]:
        """Read on in what has come, up to the next whole request."""
        out: list[Command] = []
        try:
            while self._read_some(now, out):
                pass
        except Bad as bad:
            self._refuse(bad, now, out)
        self._watch_room(out)
        return out

    def lost(self) -> list[Command]:
        """The connection has ended, from whichever side."""
        out: list[Command] = []
        self._close(out)
        return out

    def full(self, on: bool, now: int) -> list[Command]:
        """The caller does not take what it is sent, or does again: till then nothing more of it is read.

        Guards against a caller that sends many requests and reads nothing: answers would fill the memory.
        """
        out: list[Command] = []
        if on:
            self._full, self._full_at = True, self._full_at if self._full else now
        else:
            self._full = False
            if self._rest:
                out.append(Again())
        self._watch_room(out)
        return out

    def hold_back(self, on: bool, now: int) -> list[Command]:
        """A body's reader has no room for more, or has again.

        Its request goes on at the latest now: an attempt that begins later is chosen better, and can go again
        for longer, so it waited for the body's end or for this.
        """
        out: list[Command] = []
        if on and not self._held_back:
            self._held_back, self._paused_at = True, now
            if self.state is Caller.BODY and self._arrival is not None:
                self._move(CallerMove.HANDED_ON)
                self._arrival.at = now  # as if it ended now: its time counts anew from its end
                out.append(Deliver(self._arrival))
        elif not on and self._held_back:
            self._held_back = False
            self._paused += now - self._paused_at
            if self._rest:
                out.append(Again())
        self._watch_room(out)
        return out

    def tick(self, now: int) -> list[Command]:
        """What time brings: to be called a few times a second."""
        out: list[Command] = []
        if self.state is Caller.LINGERING:
            over = now >= self._ends_at
        elif self.state is Caller.CLOSED:
            over = now - self._over_at > STALL
        else:
            patience = STALL if self.state is Caller.ANSWERING else DRAIN_ANSWER
            over = self._full and now - self._full_at > patience
        if over:
            return self.close(now, at_once=True)
        if self._too_slow(now):
            self._refuse(Bad(408, "the request's rest did not come"), now, out)
        return out

    def _too_slow(self, now: int) -> bool:
        if self.state is Caller.HEAD:
            return now - (self.began if self.served else self.opened) > HEAD_TIME
        if self.state not in (Caller.BODY, Caller.OPEN) or self._full:
            return False
        paused = self._paused + (now - self._paused_at if self._held_back else 0)
        return too_slow((now - self._body_at - paused) / SECOND, self._body_size)

    def close(self, now: int, at_once: bool) -> list[Command]:
        """Ended from here, for want of room or in a drain."""
        out: list[Command] = []
        self._over_at = now
        resets = self.state is Caller.ANSWERING and self._till_close
        self._close(out)
        out.append(Close(at_once or resets, resets))
        return out

    # --- reading

    def _read_some(self, now: int, out: list[Command]) -> bool:
        """Whether more could be read."""
        if not self._rest or self._full:
            return False
        if self.state is Caller.IDLE:
            self._move(CallerMove.BEGINS)
            self.began = now
        if self.state is Caller.HEAD:
            return self._read_head(now, out)
        if self.state in (Caller.BODY, Caller.OPEN) and not self._held_back:
            return self._read_body(now, out)
        return False

    def _take(self, count: int) -> bytes:
        rest = self._rest
        self._used += count
        if count == len(rest):
            self._rest = b""
            return rest
        self._rest = rest[count:]
        return rest[:count]

    def _came(self) -> int:
        """When the last byte that was taken came."""
        marks, used = self._marks, self._used
        while len(marks) > 1 and marks[0][0] < used:
            marks.popleft()
        return marks[0][1]

    def _read_head(self, now: int, out: list[Command]) -> bool:
        if not self._skipped and self._rest.startswith(b"\r\n"):  # RFC 9112, 2.2: one, for old callers
            self._skipped = True
            self._take(2)
            self._looked = 0
        rest = self._rest
        end = rest.find(b"\r\n\r\n", max(0, self._looked - 3)) + 4
        if end < 4 or end > MAX_HEAD:
            if broken_line(rest[:MAX_HEAD], max(0, self._looked - 1)):
                raise _bad(Rule.LINE_ENDS)
            if len(rest) > MAX_HEAD:
                raise Bad(431, "headers too large")
            self._looked = len(rest)
            return False
        head = self._take(end)
        found = form(head, request=True)
        if found is not None:
            raise _bad(found)
        self._feed(head)
        headers = self._headers
        fields = {name.lower(): value for name, value in headers}
        method, version = self._parser.get_method(), self._parser.get_http_version()
        found = request_fault(method, version, headers, fields, self._once)
        if found is not None:
            raise _bad(found)
        target = origin_form(self._target, method, fields.get(b"host", b""))
        if target is None:
            raise _bad(Rule.TARGET)
        chunked = b"transfer-encoding" in fields
        length = 0 if chunked else int(fields.get(b"content-length", b"0"))
        arrival = self._arrival = Arrival(
            method, target, headers, b"", self._keep_alive, self._came(), version=version, fields=fields
        )
        if self._complete:
            self._whole(arrival, out)
            return False
        self._most_body = self._most_body_of(target)
        if length > self._most_body:
            raise Bad(413, "body too large")
        self._move(CallerMove.HAS_BODY)
        self._length, self._chunks = (None, Chunks()) if chunked else (length, None)
        self._body_at, self._paused = now, 0
        if length > WHOLE:
            out.append(OpenBody(arrival, length))
        if fields.get(b"expect", b"").lower() == b"100-continue" and version != "1.0":
            out.append(Write(b"HTTP/1.1 100 Continue\r\n\r\n"))
        return True

    def _read_body(self, now: int, out: list[Command]) -> bool:
        # Once more than WHOLE has come, or was told, it goes on in pieces.
        arrival, streams = self._arrival, self._body_size > WHOLE or (self._length or 0) > WHOLE
        assert arrival is not None
        if self._chunks is not None:
            count = self._chunks.span(self._rest)
            ends = self._chunks.done
        else:
            count = min(len(self._rest), (self._length or 0) - self._body_size)
            ends = self._body_size + count == self._length
        self._feed(self._take(count))
        if self._chunks is not None and self._chunks.fault is not None:
            raise self._chunks.fault
        if ends is not self._complete:
            raise _bad(Rule.MALFORMED)  # two readers of one message that do not agree on its end
        for piece in self._pieces:
            self._body_size += len(piece)
            if self._body_size > self._most_body:
                raise Bad(413, "body too large")
            if streams:
                out.append(Feed(arrival, piece))
                continue
            self._body.append(piece)
            if self._body_size > WHOLE:
                streams, whole, self._body = True, b"".join(self._body), []
                out += (OpenBody(arrival, None), Feed(arrival, whole))
        self._pieces = []
        if not ends:
            return bool(self._rest)
        arrival.keep_alive = self._keep_alive
        if not streams:
            arrival.body = b"".join(self._body)
            arrival.at = self._came()
            self._whole(arrival, out)
            return False
        if self.state is Caller.BODY:
            arrival.at = self._came()
            out += (EndBody(arrival), Deliver(arrival))
        else:
            out.append(EndBody(arrival))  # whoever reads it hears so: its time counts from here
        self._over()
        return False

    def _whole(self, arrival: Arrival, out: list[Command]) -> None:
        self._over()
        out.append(Deliver(arrival))

    def _over(self) -> None:
        self._move(CallerMove.WHOLE)
        self._skipped = False
        self._reset()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise _bad(Rule.UPGRADE) from None
        except httptools.HttpParserError as error:
            if self._chunks is not None:
                raise unreadable() from None  # at which byte it is found depends on how they came
            raise Bad(400, f"malformed HTTP: {error}", reason=Rule.MALFORMED.slug) from None

    def _watch_room(self, out: list[Command]) -> None:
        """Read while there is room for what comes; bounds what a caller can make this process hold."""
        if self.state is Caller.CLOSED:
            return
        waits = len(self._rest) > AHEAD and self.state in (Caller.IDLE, Caller.HELD, Caller.ANSWERING)
        wanted = self.state is Caller.LINGERING or not (self._full or self._held_back or waits)
        if wanted is not self._reads:
            self._reads = wanted
            out.append(Read(wanted))

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
        self._complete, self._keep_alive = True, self._parser.should_keep_alive()

    # --- answers

    def _last(self, arrival: Arrival, draining: bool) -> bool:
        """Whether this answer is the last: requests that were read are answered also when leaving."""
        return not arrival.keep_alive or (draining and not self._rest)

    def answer(
        self,
        now: int,
        status: int,
        body: bytes,
        content_type: bytes = b"",
        retry_after: int = 0,
        extra: bytes = b"",
        draining: bool = False,
    ) -> list[Command]:
        """The whole answer to the request that is held.  Nothing is said where its caller has gone."""
        arrival = self._arrival
        if self.state in (Caller.LINGERING, Caller.CLOSED) or arrival is None:
            return []
        early = self.state is Caller.OPEN
        last = early or self._last(arrival, draining)
        self._move(
            CallerMove.ANSWERED_EARLY if early else CallerMove.ANSWERED_LAST if last else CallerMove.ANSWERED
        )
        data = response(status, body, content_type, retry_after, last, extra)
        out: list[Command] = [Write(data[: len(data) - len(body)] if arrival.method == b"HEAD" else data)]
        self._answered(now, out)
        if early:
            out.append(CutBody(arrival))
            self._linger(now, LINGER_BODY, out)
        elif last:
            self._end(now, out)
        return out

    def refuse(self, bad: Bad, now: int, draining: bool = False) -> list[Command]:
        """A front turns down what it was handed."""
        arrival = self._arrival
        if self.state in (Caller.LINGERING, Caller.CLOSED) or arrival is None:
            return []
        if self.state is Caller.HELD and not bad.reason and not self._last(arrival, draining):
            out: list[Command] = []
            if bad.status not in (404, 405, 503):
                out.append(Complain(bad))
            return out + self.answer(now, bad.status, _words(bad), b"text/plain", 0, bad.extra, draining)
        out = []
        self._refuse(bad, now, out)
        self._watch_room(out)
        return out

    def _refuse(self, bad: Bad, now: int, out: list[Command]) -> None:
        """Answer what is not served, and end; where the rest of it may still come, wait for it a while.

        Guards against the reset that closing on unread bytes brings: it could wipe out the answer.
        """
        unread = self.state in (Caller.BODY, Caller.OPEN)
        arrival = self._arrival
        self._move(CallerMove.REFUSED)
        if bad.status not in (404, 405, 503):
            out.append(Complain(bad))
        if unread and arrival is not None:
            out.append(CutBody(arrival))
        out.append(Write(response(bad.status, _words(bad), b"text/plain", 0, True, bad.extra)))
        self._answered(now, out)
        self._linger(now, LINGER_BODY if unread else LINGER, out)

    def _answered(self, now: int, out: list[Command]) -> None:
        self.since = now
        self.served += 1
        self._arrival = None
        if self.state is Caller.IDLE and self._rest:
            out.append(Again())

    def _linger(self, now: int, for_us: int, out: list[Command]) -> None:
        self._ends_at = now + for_us
        self._drop()
        out.append(EndSending())
        self._watch_room(out)

    def _end(self, now: int, out: list[Command]) -> None:
        self._over_at = now
        self._drop()
        out.append(Close(False))

    def _drop(self) -> None:
        self._rest = b""
        self._marks.clear()
        self._reset()

    def _close(self, out: list[Command]) -> None:
        """Who holds its request, gives its long answer or reads its body hears of it, whoever ended it."""
        if self.state in (Caller.HELD, Caller.OPEN, Caller.ANSWERING):
            out.append(Gone())
        if self.state in (Caller.BODY, Caller.OPEN) and self._arrival is not None:
            out.append(CutBody(self._arrival))
        self._move(CallerMove.CLOSE)
        self._arrival = None
        self._drop()

    # --- long answers

    def begin_answer(
        self,
        now: int,
        length: int | None,
        content_type: bytes,
        extra: bytes,
        draining: bool,
        status: int = 200,
    ) -> list[Command]:
        """The head of an answer whose body follows in pieces: in its length, in chunks or until the end."""
        arrival = self._arrival
        if self.state in (Caller.LINGERING, Caller.CLOSED) or arrival is None:
            return []
        self._move(CallerMove.ANSWER_BEGINS)
        self._chunked_out = length is None and arrival.version != "1.0"
        self._till_close = length is None and not self._chunked_out
        self._close_after = self._last(arrival, draining) or self._till_close
        head = first_line(status)
        if length is not None:
            head += b"Content-Length: %d\r\n" % length
        elif self._chunked_out:
            head += b"Transfer-Encoding: chunked\r\n"
        if content_type:
            head += b"Content-Type: %s\r\n" % content_type
        if self._close_after:
            head += b"Connection: close\r\n"
        return [Write(head + extra + b"\r\n")]

    def piece(self, data: bytes) -> list[Command]:
        if self.state is not Caller.ANSWERING or not data:
            return []
        return [Write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked_out else data)]

    def end_answer(self, now: int) -> list[Command]:
        """The last piece was given."""
        if self.state is not Caller.ANSWERING:
            return []
        out: list[Command] = [Write(b"0\r\n\r\n")] if self._chunked_out else []
        self._move(CallerMove.ENDED_LAST if self._close_after else CallerMove.ENDED)
        self._answered(now, out)
        if self._close_after:
            self._end(now, out)
        self._watch_room(out)
        return out

    def cut_answer(self, now: int) -> list[Command]:
        """The rest will not come: its caller sees the connection break."""
        return self.close(now, at_once=True) if self.state is Caller.ANSWERING else []

    def _move(self, move: CallerMove) -> None:
        self.state = step(CALLER, self.state, move)


def _bad(rule: Rule) -> Bad:
    return Bad(400, rule.words, reason=rule.slug)


def _words(bad: Bad) -> bytes:
    return f"{bad.why}\n".encode()
