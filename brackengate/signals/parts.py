"""Long messages in parts, so that short ones pass between them.  Pure.

A long message is compressed and sent as parts of bounded size, each of which the receiver acknowledges; only
a window of bytes may be unacknowledged.  The window follows the time that an acknowledgement takes, so a
heartbeat that is sent between two parts waits behind a bounded time of the link and not behind a whole
message.  Times are seconds of a clock that never steps, sizes are bytes.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field

from brackengate.signals.words import Part

LONG = 1_024  # a line of that size or more is sent compressed and in parts
PART_BYTES = 4_096  # of compressed data in one part
MOST_BYTES = 32 << 20  # of one message, and of what may wait to be sent
LEVEL = 1  # of zlib: 1,520 routes take 0.6 ms and become a twenty-fifth
LEAST_WINDOW, FIRST_WINDOW, MOST_WINDOW = 2 * PART_BYTES, 4 * PART_BYTES, 64 * PART_BYTES
QUICK_S, SLOW_S = 0.06, 0.15  # acknowledgements that widen the window and that halve it


class Unreadable(Exception):
    """The parts of a message do not make one."""


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """A message as it goes on a connection, made once for all that it goes to.

    `size`: of the line before it was compressed; 0: `data` is the line itself.
    """

    data: bytes
    size: int = 0

    def __len__(self) -> int:
        return len(self.data)


def packed(line: bytes) -> EncodedMessage:
    """`line`: with its line feed."""
    if len(line) < LONG:
        return EncodedMessage(line)
    return EncodedMessage(zlib.compress(line, LEVEL), len(line))


def unpacked(data: bytes, size: int) -> bytes:
    """`Unreadable` where it does not become `size` bytes exactly."""
    if not 0 < size <= MOST_BYTES:
        raise Unreadable(f"a message of {size} bytes")
    unpacking = zlib.decompressobj()
    try:
        line = unpacking.decompress(data, size + 1)
    except zlib.error as error:
        raise Unreadable(str(error)) from None
    if len(line) != size or not unpacking.eof or unpacking.unused_data:
        raise Unreadable(f"not the {size} bytes that were told")
    return line


@dataclass
class SendWindow:
    """How many bytes may be unacknowledged."""

    size: int = FIRST_WINDOW
    unacknowledged: deque[tuple[float, int]] = field(default_factory=deque)  # when sent, how many bytes
    in_flight: int = 0

    def room(self) -> bool:
        return self.in_flight < self.size

    def sent(self, count: int, now: float) -> None:
        self.unacknowledged.append((now, count))
        self.in_flight += count

    def acknowledged(self, now: float) -> None:
        """The oldest part has arrived."""
        if not self.unacknowledged:
            raise Unreadable("an acknowledgement of nothing")
        sent, count = self.unacknowledged.popleft()
        self.in_flight -= count
        if now - sent < QUICK_S:
            self.size = min(MOST_WINDOW, self.size + PART_BYTES)
        elif now - sent > SLOW_S:
            self.size = max(LEAST_WINDOW, self.size // 2)


@dataclass
class Outgoing:
    """The messages that wait on one connection, in order."""

    waiting: deque[EncodedMessage] = field(default_factory=deque)
    waiting_bytes: int = 0
    window: SendWindow = field(default_factory=SendWindow)
    _at: int = 0  # how much of the first one was sent

    @property
    def idle(self) -> bool:
        """Whether a message that keeps the order may be sent at once."""
        return not self.waiting

    def add(self, message: EncodedMessage) -> None:
        self.waiting.append(message)
        self.waiting_bytes += len(message)

    def next(self, now: float) -> Part | bytes | None:
        """What may be sent now: a part, or a short line whose turn it is."""
        if not self.waiting or not self.window.room():
            return None
        message = self.waiting[0]
        if not message.size:
            self._leaves(message)
            return message.data
        data = message.data[self._at : self._at + PART_BYTES]
        self._at += len(data)
        self.window.sent(len(data), now)
        if self._at < len(message.data):
            return Part(data)
        self._leaves(message)
        return Part(data, message.size)

    def _leaves(self, message: EncodedMessage) -> None:
        self.waiting.popleft()
        self.waiting_bytes -= len(message)
        self._at = 0


@dataclass
class Incoming:
    """The parts that have come of one message."""

    parts: list[bytes] = field(default_factory=list)
    size: int = 0

    def take(self, part: Part) -> bytes | None:
        """The line, with its last part.  `Unreadable` ends the connection."""
        self.parts.append(part.data)
        self.size += len(part.data)
        if self.size > MOST_BYTES:
            raise Unreadable(f"a message of more than {MOST_BYTES} bytes")
        if not part.size:
            return None
        data, self.parts, self.size = b"".join(self.parts), [], 0
        return unpacked(data, part.size)
