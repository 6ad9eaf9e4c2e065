"""Bodies as bounded streams: a request's on its way up, an answer's on its way down.  No sockets.

What is held, what is let go and when a side has to wait is decided here; who reads and writes is told by
callbacks.  One `ByteBudget` bounds what all of them hold together.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_UNSTREAMED_BYTES = 64 << 10  # up to here a body is read whole before it is passed on
SHARE_DIVISOR = 8  # one stream may hold this part of the room that is left
MIN_SHARE_BYTES = 16 << 10  # and this much in any case, so that none stands still for want of room
MIN_BODY_BYTES_PER_S = 32 << 10  # bytes a second: a body that comes slower in the long run is given up
RATE_GRACE_S = 3.0  # before that counts


class ByteBudget:
    """What all streams of a process hold together.

    Each may hold a part of what is left, so a few get much, many get little, and the sum stays under the
    limit (dynamic thresholds: Choudhury and Hahne, 1998).  Beyond it each has FLOOR and the piece just read.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_use = self.peak = 0

    def share(self) -> int:
        """What one stream may hold now."""
        return max(MIN_SHARE_BYTES, (self.limit - self.in_use) // SHARE_DIVISOR)

    def acquire(self, count: int) -> None:
        self.in_use += count
        self.peak = max(self.peak, self.in_use)

    def release(self, count: int) -> None:
        self.in_use -= count


class Body:
    """A request's body: pieces in from the caller, out to one attempt at a time.

    Half of its share may wait to be sent.  Sent pieces are kept for another attempt for as long as the whole
    share holds them.
    """

    def __init__(self, budget: ByteBudget, length: int | None, resume: Callable[[], None]) -> None:
        """`length`: as its caller told it; None: in chunks.  `resume`: room again for a caller that waits."""
        self.length = length
        self._budget, self._resume = budget, resume
        self._pieces: deque[bytes] = deque()  # held: those that were sent, then those that were not
        self._dropped_count = 0  # pieces let go, from the start
        self._held_bytes = self._unsent_bytes = 0  # bytes
        self._sent_count = 0  # pieces, from the start
        self._source_paused = False  # the caller was told to wait
        self._wake_reader: Callable[[], None] | None = None
        self.size = 0
        self.complete = self.truncated = False
        self.on_end: Callable[[], None] = lambda: None  # its last byte has come, or it was cut

    # --- the caller's side

    def feed(self, piece: bytes) -> bool:
        """Take a piece; False: wait for `resume` before the next."""
        if self.truncated:
            return True
        self.size += len(piece)
        self._pieces.append(piece)
        self._held_bytes += len(piece)
        self._unsent_bytes += len(piece)
        self._budget.acquire(len(piece))
        self._notify_reader()
        self._drop_sent_pieces()
        self._source_paused = not self._has_room()
        return not self._source_paused

    def end(self) -> None:
        """Its last byte has come."""
        if not self.complete and not self.truncated:
            self.complete = True
            self.on_end()
            self._notify_reader()

    def truncate(self) -> None:
        """The rest will not come, or nobody wants it any more.  All that is held is let go."""
        if self.truncated:
            return
        self.truncated = True
        self._budget.release(self._held_bytes)
        self._dropped_count += len(self._pieces)
        self._pieces.clear()
        self._held_bytes = self._unsent_bytes = 0
        if not self.complete:
            self.on_end()
        if self._source_paused:
            self._source_paused = False
            self._resume()

    # --- the attempt's side

    @property
    def replayable(self) -> bool:
        """Whether another attempt could send it from its start."""
        return self._dropped_count == 0 and not self.truncated

    def open(self, wake: Callable[[], None]) -> bool:
        """Read from the start; `wake` is called when more may be taken.  False: its start is no longer held,
        or another attempt reads it."""
        if not self.replayable or self._wake_reader is not None:
            return False
        self._wake_reader = wake
        self._sent_count = 0
        self._unsent_bytes = self._held_bytes
        return True

    def close(self) -> None:
        """The attempt that read it is over."""
        self._wake_reader = None

    def take(self) -> bytes | None:
        """The next piece; None: there is none now.  Those before it are with the kernel."""
        place = self._sent_count - self._dropped_count
        if self.truncated or place >= len(self._pieces):
            return None
        piece = self._pieces[place]
        self._sent_count += 1
        self._unsent_bytes -= len(piece)
        self._drop_sent_pieces()
        if self._source_paused and self._has_room():
            self._source_paused = False
            self._resume()
        return piece

    @property
    def fully_taken(self) -> bool:
        """Whether all of it has been taken."""
        return self.complete and self._sent_count - self._dropped_count >= len(self._pieces)

    # --- inside

    def _has_room(self) -> bool:
        return self._unsent_bytes < max(
            MIN_SHARE_BYTES, self._budget.share() // 2
        )  # the other half is for what was sent

    def _drop_sent_pieces(self) -> None:
        """Let go of what was sent, where too much is held.

        The piece taken last may still be in a transport.
        """
        while self._sent_count - self._dropped_count > 1 and self._held_bytes > self._budget.share():
            piece = self._pieces.popleft()
            self._dropped_count += 1
            self._held_bytes -= len(piece)
            self._budget.release(len(piece))

    def _notify_reader(self) -> None:
        if self._wake_reader is not None:
            self._wake_reader()


class ResponseSink(Protocol):
    """The caller's side of an answer whose rest comes in pieces."""

    def write(self, data: bytes) -> None: ...

    def finish(self) -> None:
        """Its last byte was given to `piece`."""

    def truncate(self) -> None:
        """The rest will not come: the caller has to be able to tell."""


@dataclass(slots=True, eq=False)
class ResponseStream:
    """The rest of an answer that has begun.

    The upstream's side calls what `sink` has; the caller's side says when it can't take more, and when it
    is gone.
    """

    length: int | None  # of the whole body; None: told by its end alone
    set_paused: Callable[[bool], None]  # stop or go on reading from the upstream
    abandon: Callable[[], None]  # nobody reads it any more
    sink: ResponseSink | None = None


def too_slow(reading_s: float, size: int) -> bool:
    """Whether a body, read for this long without being held back by us, comes too slowly to be waited for."""
    return reading_s > RATE_GRACE_S + size / MIN_BODY_BYTES_PER_S
