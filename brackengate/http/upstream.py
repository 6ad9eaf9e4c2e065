"""One connection to an upstream as a machine: what is written, and what comes back for it.

One exchange at a time.  An answer of up to `body.WHOLE` is kept until it is whole; a longer or slower one is
passed on as it comes, where whoever asked allows it.  The states stand in `table.UPSTREAM`; whether the
request is written whole is apart from them, since an upstream may answer before it has read all.

An answer that can be read in two ways, or that can't be one, is `Spoilt`: it ends its exchange, and the
connection is not used again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from brackengate.http.body import WHOLE, Body
from brackengate.http.chunks import Chunks
from brackengate.http.message import MAX_HEAD, Bad
from brackengate.http.rules import answer_fault, broken_line, form
from brackengate.http.table import UPSTREAM, Upstream, UpstreamMove, step

MAX_ANSWER = 1 << 20  # of an answer that somebody must have whole
MAX_STREAM = 64 << 20  # of one that is passed on in pieces; they are said to hold 32 MB
FIRST = 100_000  # an answer that comes slowly is passed on from here on, however short it is so far
STALL = 10_000_000  # an upstream that neither reads nor writes for this long, in the middle of a body


# --- what the carrier does


@dataclass(slots=True)
class Begins:
    """The head and the first bytes of a long answer; the rest comes in `Piece`s."""

    head: Answered
    length: int | None


@dataclass(slots=True)
class Piece:
    data: bytes


@dataclass(slots=True)
class Answered:
    """A whole answer.  `body` is empty where it was passed on.  `reuse`: the connection may serve another.

    Of one that begins (`Begins`) it has the head, and what there is of the body.
    """

    status: int
    fields: dict[bytes, bytes]
    body: bytes
    reuse: bool
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)


@dataclass(slots=True)
class Spoilt:
    why: str


@dataclass(slots=True)
class Unasked:
    """Bytes, and nobody had asked."""


Event = Begins | Piece | Answered | Spoilt | Unasked


@dataclass(frozen=True, slots=True)
class Passing:
    """Which answers are passed on as they come."""

    may: Callable[[Answered], bool] = lambda head: head.status == 200  # as the head says; a pure function
    whole: int = WHOLE  # up to here a body is kept until it is whole
    slow: bool = True  # also a shorter one, where it comes slowly


class UpstreamMachine:
    """All times are whole microseconds of one clock that never goes back."""

    def __init__(self) -> None:
        self.state = Upstream.IDLE
        self.written = False  # the request's last byte is with the kernel: only then may it have run
        self.heard = False  # whether anything has come for this request
        self.held_back = False  # the caller can't take more of the answer now
        self.asked_at = self.moved_at = 0  # when a piece of either body last moved, while one is under way
        self._parser = httptools.HttpResponseParser(self)
        self._passing: Passing | None = None  # None: somebody must have it whole
        self._request: Body | None = None
        self._sent_all = False  # of a request's body
        self._clear()

    def _clear(self) -> None:
        self._rest = b""
        self._heads = 0  # bytes of interim answers
        self._looked = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._fields: dict[bytes, bytes] = {}
        self._status = 0
        self._pieces: list[bytes] = []
        self._body: list[bytes] = []
        self.kept = 0  # bytes of a body that is kept until it is whole
        self._size = 0
        self._length: int | None = None
        self._chunks: Chunks | None = None
        self._till_close = False  # only the connection's end ends the answer
        self._complete = self._keep_alive = False
        self._head_at = 0

    # --- the request

    def ask(self, now: int, body: Body | None = None, passing: Passing | None = None) -> None:
        """An exchange begins: the carrier writes its head.  `passing`: a long answer may be passed on."""
        self._move(UpstreamMove.ASKS)
        self.written = self.heard = self._sent_all = False
        self.asked_at = self.moved_at = now
        self._request, self._passing = body, passing

    def next_piece(self, now: int) -> bytes | None:
        """What to write next, once all before it is with the kernel.  Empty: that was all, and it is written.
        None: there is nothing yet."""
        body = self._request
        if body is not None and not self._sent_all:
            self.moved_at = now
            if body.over:
                self._sent_all = True
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
        if self.state is Upstream.CLOSED:
            return []
        if self.state is Upstream.IDLE:
            self._close()
            return [Unasked()]
        self.heard = True
        if self.state is Upstream.AWAITING:
            self._move(UpstreamMove.BEGINS)
        out: list[Event] = []
        try:
            if self.state is Upstream.HEAD:
                self._rest = self._rest + data if self._rest else data
                while self.state is Upstream.HEAD and self._rest and self._read_head(now):
                    pass
                data, self._rest = (b"", self._rest) if self.state is Upstream.HEAD else (self._rest, b"")
            if self.state is not Upstream.HEAD:
                self._read_body(data, now, out)
        except (Bad, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._close()
            out.append(Spoilt(str(error) or type(error).__name__))
        return out

    def ended(self, clean: bool) -> list[Event]:
        """The connection has ended.  An answer that only this ends is whole, where it ended in order."""
        out: list[Event] = []
        if self._till_close and clean and self.written:
            out.append(Answered(self._status, self._fields, b"".join(self._body), False, self._headers))
        self._close()
        return out

    def hold_back(self, on: bool, now: int) -> None:
        """The caller can take no more of a long answer, or can again."""
        self.held_back, self.moved_at = on, now

    def stalled(self, now: int, unsent: bool) -> bool:
        """Whether a body that is under way stands still, and it is not the caller who holds it up."""
        if now - self.moved_at < STALL:
            return False
        if self.state is Upstream.PASSING:
            return not self.held_back
        return self._request is not None and not self.written and unsent

    def close(self) -> None:
        self._close()

    # --- reading

    def _read_head(self, now: int) -> bool:
        """One head, the final or an interim one; whether there was a whole one."""
        rest = self._rest
        end = rest.find(b"\r\n\r\n", max(0, self._looked - 3)) + 4
        if end < 4:
            if broken_line(rest, max(0, self._looked - 1)):
                raise Bad(502, "a bare CR or LF, or a control character, in an answer's head")
            if self._heads + len(rest) > MAX_HEAD:
                raise Bad(502, "headers too large")
            self._looked = len(rest)
            return False
        head, self._rest, self._looked = rest[:end], rest[end:], 0
        self._heads += end
        if self._heads > MAX_HEAD:
            raise Bad(502, "headers too large")
        found = form(head, request=False)
        if found is None:
            self._headers = []
            self._parser.feed_data(head)
            status, version = self._parser.get_status_code(), self._parser.get_http_version()
            fields = self._fields = {name.lower(): value for name, value in self._headers}
            found = answer_fault(status, version, self._headers, fields)
        if found is not None:
            raise Bad(502, found.words)
        self._status = status
        if status < 200:
            self._complete = False
        else:
            self._final(status, fields, now)
        return True

    def _final(self, status: int, fields: dict[bytes, bytes], now: int) -> None:
        """Judge an answer by its head.

        Guards against waiting for, or reading, what can't be an answer: one of 3 GB, and one without a
        length, whose end nothing would tell from a break.  An upstream that says that it closes may end an
        answer so: a break shows as a reset.
        """
        told = fields.get(b"content-length")
        length = self._length = int(told) if told is not None else None
        if length is not None and self._passing is not None and length > self._passing.whole:
            self._ask_whether()
        if length is not None and length > self._most():
            raise Bad(502, f"answer too large: {length}")
        if b"transfer-encoding" in fields:
            self._chunks = Chunks()
        elif told is None and not self._complete:
            closes = fields.get(b"connection", b"").strip().lower() == b"close"
            if status < 300 and not (closes and self.written):
                raise Bad(502, "an answer without a length")
            self._till_close = True
        self._head_at = now
        self._move(UpstreamMove.HEAD_ENDS)

    def _read_body(self, data: bytes, now: int, out: list[Event]) -> None:
        count = 0
        if self._complete:
            ends = True
        elif self._chunks is not None:
            count = self._chunks.span(data)
            ends = self._chunks.done
        elif self._till_close:
            count, ends = len(data), False
        else:
            count = min(len(data), (self._length or 0) - self._size)
            ends = self._size + count == self._length
        if count:
            self._parser.feed_data(data if count == len(data) else data[:count])
        if self._chunks is not None and self._chunks.fault is not None:
            raise self._chunks.fault
        if ends is not self._complete:
            raise Bad(502, "two readers of one answer that do not agree on its end")
        pieces, self._pieces = self._pieces, []
        for piece in pieces:
            self._size += len(piece)
            begins = self.state is not Upstream.PASSING and self._long(now) and self._ask_whether()
            if self._size > self._most():
                raise Bad(502, "answer too large")
            if self.state is Upstream.PASSING:
                self.moved_at = now
                out.append(Piece(piece))
                continue
            self._body.append(piece)
            self.kept += len(piece)
            if begins:
                self._pass_on(now, out)
        if ends:
            # More than the answer: what it belongs to nobody can tell, so the connection is not used again.
            reuse = self.written and self._keep_alive and count == len(data)
            if self._status == 200 and not self.written:
                raise Bad(502, "an answer to a request that is not all there")
            out.append(Answered(self._status, self._fields, b"".join(self._body), reuse, self._headers))
            if reuse:
                self._move(UpstreamMove.WHOLE)
                self._clear()
            else:
                self._close()

    def _most(self) -> int:
        return MAX_ANSWER if self._passing is None else MAX_STREAM

    def _long(self, now: int) -> bool:
        """Whether an answer is passed on as it comes: it is long, or comes slowly."""
        passing = self._passing
        if passing is None:
            return False
        if self._length is not None:
            return self._length > passing.whole
        return self._size > passing.whole or (passing.slow and now - self._head_at > FIRST)

    def _ask_whether(self) -> bool:
        """Judge a long answer by its head.  A failure that comes before the request is all there is kept."""
        if self._passing is not None and (
            not self._passing.may(self._head()) or (self._status >= 300 and not self.written)
        ):
            self._passing = None
        return self._passing is not None

    def _head(self, body: bytes = b"") -> Answered:
        return Answered(self._status, self._fields, body, False, self._headers)

    def _pass_on(self, now: int, out: list[Event]) -> None:
        if not self.written:
            raise Bad(502, "an answer to a request that is not all there")
        self._move(UpstreamMove.PASSED_ON)
        out.append(Begins(self._head(b"".join(self._body)), self._length))
        self._body, self.kept = [], 0
        self.moved_at = now

    def _close(self) -> None:
        self._move(UpstreamMove.CLOSE)
        self._clear()

    def _move(self, move: UpstreamMove) -> None:
        self.state = step(UPSTREAM, self.state, move)

    # --- httptools

    def on_header(self, name: bytes, value: bytes) -> None:
        """A trailer must not say that a request was turned away whose answer has begun."""
        if self.state is Upstream.HEAD:
            self._headers.append((name, value.strip(b" \t")))  # the library leaves what is behind it

    def on_body(self, data: bytes) -> None:
        self._pieces.append(data)

    def on_message_complete(self) -> None:
        self._complete, self._keep_alive = True, self._parser.should_keep_alive()
