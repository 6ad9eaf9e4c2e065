"""Splits long messages into parts, so that short messages can be sent in between.  No I/O.

A long message is compressed and sent as parts of bounded size, each of which the receiver acknowledges; only
a window of bytes may be unacknowledged.  The stream of ordered messages keeps its order; messages in the
background wait while the stream has anything to send.  The window adapts to the time that an acknowledgement
takes, so a heartbeat that is sent between two parts waits for a bounded time of the link and not for a whole
message.  Times are seconds of a monotonic clock, sizes are bytes.
"""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass, field

from brackengate.protocol.messages import MessagePart

COMPRESS_FROM_BYTES = 1_024  # a line of this size or more is sent compressed and in parts
PART_BYTES = 4_096  # of compressed data in one part
MAX_MESSAGE_BYTES = 32 << 20  # of one message, and of everything that waits to be sent
ZLIB_LEVEL = 1  # compresses 1,520 routes in 0.6 ms to a twenty-fifth
MIN_WINDOW_BYTES, INITIAL_WINDOW_BYTES, MAX_WINDOW_BYTES = 2 * PART_BYTES, 4 * PART_BYTES, 64 * PART_BYTES
FAST_ACK_S, SLOW_ACK_S = 0.06, 0.15  # a faster one widens the window, a slower one halves it


class MalformedMessage(Exception):
    """The parts do not form a valid message, or an acknowledgement has no part."""


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """A message as it is sent, encoded once for all its receivers.

    `size` is that of the line before compression; 0 if `data` is the uncompressed line.
    """

    data: bytes
    size: int = 0

    def __len__(self) -> int:
        return len(self.data)


def compress_long(line: bytes) -> EncodedMessage:
    """Compresses a line of `COMPRESS_FROM_BYTES` or more.  `line` includes its line feed."""
    if len(line) < COMPRESS_FROM_BYTES:
        return EncodedMessage(line)
    return EncodedMessage(zlib.compress(line, ZLIB_LEVEL), len(line))


def decompress(data: bytes, size: int) -> bytes:
    """The line of a compressed message; `MalformedMessage` if it does not have exactly `size` bytes."""
    if not 0 < size <= MAX_MESSAGE_BYTES:
        raise MalformedMessage(f"a message may not have {size} bytes")
    decompressor = zlib.decompressobj()
    try:
        line = decompressor.decompress(data, size + 1)
    except zlib.error as error:
        raise MalformedMessage(str(error)) from None
    if len(line) != size or not decompressor.eof or decompressor.unused_data:
        raise MalformedMessage(f"a message does not decompress to the {size} bytes that it declares")
    return line


@dataclass
class SendWindow:
    """How many bytes may be unacknowledged."""

    size: int = INITIAL_WINDOW_BYTES
    unacknowledged: deque[tuple[float, int]] = field(default_factory=deque)  # time of sending, bytes
    in_flight: int = 0  # bytes

    def has_room(self) -> bool:
        """Whether another part may be sent."""
        return self.in_flight < self.size

    def sent(self, count: int, now: float) -> None:
        """Records that a part of `count` bytes was sent."""
        self.unacknowledged.append((now, count))
        self.in_flight += count

    def acknowledged(self, now: float) -> None:
        """Records that the oldest part was received; `MalformedMessage` if there is none."""
        if not self.unacknowledged:
            raise MalformedMessage("an acknowledgement without an unacknowledged part")
        sent, count = self.unacknowledged.popleft()
        self.in_flight -= count
        if now - sent < FAST_ACK_S:
            self.size = min(MAX_WINDOW_BYTES, self.size + PART_BYTES)
        elif now - sent > SLOW_ACK_S:
            self.size = max(MIN_WINDOW_BYTES, self.size // 2)


@dataclass
class SendQueue:
    """Messages in their order, of which the first may be sent in part."""

    background: bool
    messages: deque[EncodedMessage] = field(default_factory=deque)
    size: int = 0  # bytes
    _sent: int = 0  # bytes of the first message that were sent

    def add(self, message: EncodedMessage) -> None:
        """Appends a message."""
        self.messages.append(message)
        self.size += len(message)

    def next(self) -> MessagePart | bytes:
        """Takes the next part, or the next short line."""
        message = self.messages[0]
        if not message.size:
            self._remove_first(message)
            return message.data
        data = message.data[self._sent : self._sent + PART_BYTES]
        self._sent += len(data)
        if self._sent < len(message.data):
            return MessagePart(data, 0, self.background)
        self._remove_first(message)
        return MessagePart(data, message.size, self.background)

    def _remove_first(self, message: EncodedMessage) -> None:
        self.messages.popleft()
        self.size -= len(message)
        self._sent = 0


@dataclass
class OutgoingMessages:
    """Messages that wait on one connection: the ordered stream, and the background, which it overtakes."""

    stream: SendQueue = field(default_factory=lambda: SendQueue(False))
    background: SendQueue = field(default_factory=lambda: SendQueue(True))
    window: SendWindow = field(default_factory=SendWindow)

    @property
    def waiting_bytes(self) -> int:
        """Bytes of all queued messages."""
        return self.stream.size + self.background.size

    def add(self, message: EncodedMessage, background: bool = False) -> None:
        """Queues a message."""
        (self.background if background else self.stream).add(message)

    def next(self, now: float) -> MessagePart | bytes | None:
        """Takes what may be sent now: a part, a short line, or None."""
        queue = self.stream if self.stream.messages else self.background
        if not queue.messages or not self.window.has_room():
            return None
        found = queue.next()
        if isinstance(found, MessagePart):
            self.window.sent(len(found.data), now)
        return found


@dataclass
class PartialMessage:
    """The parts received so far of one message."""

    parts: list[bytes] = field(default_factory=list)
    size: int = 0  # bytes

    def add(self, part: MessagePart) -> bytes | None:
        """Adds a part; returns the line if it is the last one."""
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
    """The incomplete messages of one connection: one of the stream and one in the background."""

    stream: PartialMessage = field(default_factory=PartialMessage)
    background: PartialMessage = field(default_factory=PartialMessage)

    def add(self, part: MessagePart) -> bytes | None:
        """Adds a part; returns the line if it is the last one.  `MalformedMessage` ends the connection."""
        return (self.background if part.background else self.stream).add(part)
