"""Long messages in parts, so that short ones pass between them.  Pure.

A long message is compressed and sent as parts of bounded size, each of which the receiver acknowledges; only
a window of bytes may be unacknowledged.  A stream of messages keeps its order; what is in the background
waits while the stream has anything to send.  The window follows the time that an acknowledgement takes, so a
heartbeat that is sent between two parts waits behind a bounded time of the link and not behind a whole
message.  Times are seconds of a clock that never steps, sizes are bytes.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field

from brackengate.protocol.messages import MessagePart

COMPRESS_FROM_BYTES = 1_024  # a line of that size or more is sent compressed and in parts
PART_BYTES = 4_096  # of compressed data in one part
MAX_MESSAGE_BYTES = 32 << 20  # of one message, and of what may wait to be sent
ZLIB_LEVEL = 1  # of zlib: 1,520 routes take 0.6 ms and become a twenty-fifth
MIN_WINDOW_BYTES, INITIAL_WINDOW_BYTES, MAX_WINDOW_BYTES = 2 * PART_BYTES, 4 * PART_BYTES, 64 * PART_BYTES
FAST_ACK_S, SLOW_ACK_S = 0.06, 0.15  # acknowledgements that widen the window and that halve it


class MalformedMessage(Exception):
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


def compress_long(line: bytes) -> EncodedMessage:
    """`line`: with its line feed."""
    if len(line) < COMPRESS_FROM_BYTES:
        return EncodedMessage(line)
    return EncodedMessage(zlib.compress(line, ZLIB_LEVEL), len(line))


def decompress(data: bytes, size: int) -> bytes:
    """`MalformedMessage` where it does not become `size` bytes exactly."""
    if not 0 < size <= MAX_MESSAGE_BYTES:
        raise MalformedMessage(f"a message of {size} bytes")
    unpacking = zlib.decompressobj()
    try:
        line = unpacking.decompress(data, size + 1)
    except zlib.error as error:
        raise MalformedMessage(str(error)) from None
    if len(line) != size or not unpacking.eof or unpacking.unused_data:
        raise MalformedMessage(f"not the {size} bytes that were told")
    return line


@dataclass
class SendWindow:
    """How many bytes may be unacknowledged."""

    size: int = INITIAL_WINDOW_BYTES
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
            raise MalformedMessage("an acknowledgement of nothing")
        sent, count = self.unacknowledged.popleft()
        self.in_flight -= count
        if now - sent < FAST_ACK_S:
            self.size = min(MAX_WINDOW_BYTES, self.size + PART_BYTES)
        elif now - sent > SLOW_ACK_S:
            self.size = max(MIN_WINDOW_BYTES, self.size // 2)


@dataclass
class SendQueue:
    """Messages in their order, the first of them sent in part."""

    background: bool
    messages: deque[EncodedMessage] = field(default_factory=deque)
    size: int = 0  # bytes
    _sent: int = 0  # of the first one

    def add(self, message: EncodedMessage) -> None:
        self.messages.append(message)
        self.size += len(message)

    def next(self) -> MessagePart | bytes:
        """A part, or a short line whose turn it is."""
        message = self.messages[0]
        if not message.size:
            self._leaves(message)
            return message.data
        data = message.data[self._sent : self._sent + PART_BYTES]
        self._sent += len(data)
        if self._sent < len(message.data):
            return MessagePart(data, 0, self.background)
        self._leaves(message)
        return MessagePart(data, message.size, self.background)

    def _leaves(self, message: EncodedMessage) -> None:
        self.messages.popleft()
        self.size -= len(message)
        self._sent = 0


@dataclass
class OutgoingMessages:
    """What waits on one connection: a stream in its order, and what it passes, in the background."""

    stream: SendQueue = field(default_factory=lambda: SendQueue(False))
    background: SendQueue = field(default_factory=lambda: SendQueue(True))
    window: SendWindow = field(default_factory=SendWindow)

    @property
    def waiting_bytes(self) -> int:
        return self.stream.size + self.background.size

    def add(self, message: EncodedMessage, background: bool = False) -> None:
        (self.background if background else self.stream).add(message)

    def next(self, now: float) -> MessagePart | bytes | None:
        """What may be sent now."""
        waiting = self.stream if self.stream.messages else self.background
        if not waiting.messages or not self.window.room():
            return None
        found = waiting.next()
        if isinstance(found, MessagePart):
            self.window.sent(len(found.data), now)
        return found


@dataclass
class PartialMessage:
    """The parts that have come of one message."""

    parts: list[bytes] = field(default_factory=list)
    size: int = 0

    def take(self, part: MessagePart) -> bytes | None:
        self.parts.append(part.data)
        self.size += len(part.data)
        if self.size > MAX_MESSAGE_BYTES:
            raise MalformedMessage(f"a message of more than {MAX_MESSAGE_BYTES} bytes")
        if not part.size:
            return None
        data, self.parts, self.size = b"".join(self.parts), [], 0
        return decompress(data, part.size)


@dataclass
class IncomingMessages:
    stream: PartialMessage = field(default_factory=PartialMessage)
    background: PartialMessage = field(default_factory=PartialMessage)

    def take(self, part: MessagePart) -> bytes | None:
        """The line, with its last part.  `MalformedMessage` ends the connection."""
        return (self.background if part.background else self.stream).take(part)
