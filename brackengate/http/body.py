"""Bodies as bounded streams: of requests to upstreams and of answers to callers.  No I/O.

The streams decide which bytes are held or released and when a side has to wait; readers and writers are
notified by callbacks.  One `ByteBudget` bounds the memory of all streams together.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_UNSTREAMED_BYTES = 64 << 10  # bodies up to this size are read completely before they are forwarded
SHARE_DIVISOR = 8  # one stream may hold the remaining budget divided by this
MIN_SHARE_BYTES = 16 << 10  # what a stream may hold in any case, so that none stalls when the budget is full
MIN_BODY_BYTES_PER_S = 32 << 10  # a body that is slower on average is aborted
RATE_GRACE_S = 3.0  # time added to the limit that MIN_BODY_BYTES_PER_S sets


class ByteBudget:
    """Bounds the bytes that all streams of a process hold together.

    Each stream may hold a part of what remains: a few streams get much, many get little, and the sum stays
    under the limit (dynamic thresholds: Choudhury and Hahne, 1998).  Beyond the limit each stream may hold
    MIN_SHARE_BYTES and the piece just read.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.in_use = self.peak = 0

    def share(self) -> int:
        """The bytes that one stream may hold now."""
        return max(MIN_SHARE_BYTES, (self.limit - self.in_use) // SHARE_DIVISOR)

    def acquire(self, count: int) -> None:
        """Count bytes that are held from now on; negative if fewer are held."""
        self.in_use += count
        self.peak = max(self.peak, self.in_use)

    def release(self, count: int) -> None:
        """Count bytes that are no longer held."""
        self.in_use -= count


class Body:
    """A request's body: receives pieces from the caller and passes them to one attempt at a time.

    Half of its share of the budget may hold unsent bytes.  Sent pieces are kept for a retry as long as the
    share has room for them.
    """

    def __init__(self, budget: ByteBudget, length: int | None, resume: Callable[[], None]) -> None:
        """`length`: from Content-Length; None: chunked.  `resume`: called when a paused caller may go on."""
        self.length = length
        self._budget, self._resume = budget, resume
        self._pieces: deque[bytes] = deque()  # that are held: sent ones, then unsent ones
        self._dropped_count = 0  # pieces released, from the start
        self._held_bytes = self._unsent_bytes = 0
        self._sent_count = 0  # pieces, from the start
        self._source_paused = False  # `feed` has told the caller to wait
        self._wake_reader: Callable[[], None] | None = None
        self.size = 0
        self.complete = self.truncated = False
        self.on_end: Callable[[], None] = lambda: None  # called when it is complete or truncated

    # --- the caller's side

    def feed(self, piece: bytes) -> bool:
        """Add a piece; False: wait for `resume` before the next."""
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
        """The last byte was received."""
        if not self.complete and not self.truncated:
            self.complete = True
            self.on_end()
            self._notify_reader()

    def truncate(self) -> None:
        """The rest will not arrive or is not wanted any more.  All held bytes are released."""
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
        """Whether another attempt could send it from the start."""
        return self._dropped_count == 0 and not self.truncated

    def open(self, wake: Callable[[], None]) -> bool:
        """Read from the start; `wake` is called when more pieces may be available.

        False if the start is no longer held or another attempt reads the body.
        """
        if not self.replayable or self._wake_reader is not None:
            return False
        self._wake_reader = wake
        self._sent_count = 0
        self._unsent_bytes = self._held_bytes
        return True

    def close(self) -> None:
        """The attempt that read the body has ended."""
        self._wake_reader = None

    def take(self) -> bytes | None:
        """The next piece, or None if there is none now.

        To be called when the kernel has taken all pieces before it.
        """
        index = self._sent_count - self._dropped_count
        if self.truncated or index >= len(self._pieces):
            return None
        piece = self._pieces[index]
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

    # --- internals

    def _has_room(self) -> bool:
        # The other half of the share is for sent pieces.
        return self._unsent_bytes < max(MIN_SHARE_BYTES, self._budget.share() // 2)

    def _drop_sent_pieces(self) -> None:
        """Release sent pieces while more than the share is held.

        The piece taken last is kept, as it may still be in a transport.
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
    """The caller's side of a streamed response."""

    def write(self, data: bytes) -> None:
        """Pass on a piece of the body."""

    def finish(self) -> None:
        """The last piece was passed to `write`."""

    def truncate(self) -> None:
        """The rest will not arrive; the caller must be able to notice that."""


@dataclass(slots=True, eq=False)
class ResponseStream:
    """The rest of a response that is being streamed.

    The upstream's side calls the methods of `sink`; the caller's side calls `set_paused` when it cannot take
    more, and `abandon` when it has disconnected.
    """

    length: int | None  # of the complete body; None: only its end shows
    set_paused: Callable[[bool], None]  # stop or resume reading from the upstream
    abandon: Callable[[], None]  # the response is not wanted any more
    sink: ResponseSink | None = None


def too_slow(reading_s: float, size: int) -> bool:
    """Whether a body of `size` bytes so far is too slow; `reading_s` excludes the time when it was paused."""
    return reading_s > RATE_GRACE_S + size / MIN_BODY_BYTES_PER_S
