"""Connections between this system's processes: JSON messages over TCP, one per line.

Long lines go compressed and in parts (`message_parts.py`). The messages of the stream (`ORDERED_MESSAGES`)
keep their order; other long ones go in the background, and other short ones at once: liveness never waits
behind bulk, nor do news behind what is not in force yet.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

import msgspec

from brackengate.net.sockets import Address
from brackengate.protocol.message_parts import (
    MAX_MESSAGE_BYTES,
    EncodedMessage,
    IncomingMessages,
    MalformedMessage,
    OutgoingMessages,
    compress_long,
)
from brackengate.protocol.messages import Append, Changes, Message, MessagePart, PartReceived, SnapshotPiece

log = logging.getLogger("brackengate.lines")

ORDERED_MESSAGES = (Append, Changes, SnapshotPiece)
UNACKNOWLEDGED_TIMEOUT_MS = (
    1_200  # a connection whose bytes nobody takes for so long is given up: a cut says nothing
)
CONNECT_TIMEOUT_S = 0.6
RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.05, 0.4

_encode = msgspec.json.Encoder().encode
_decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode


class JsonConnection(asyncio.Protocol):
    """One connection.  `on_line` gets every word; one that can't be read ends the connection."""

    def __init__(
        self,
        on_line: Callable[[JsonConnection, Message], None],
        on_open: Callable[[JsonConnection], None],
        on_lost: Callable[[JsonConnection], None],
        on_part: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_part`: a part of a long message has come: the other side is slow, but not silent."""
        self._on_line, self._on_open, self._on_lost, self._on_part = on_line, on_open, on_lost, on_part
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._rest: list[bytes] = []  # of a line that is not whole yet
        self._waits = 0  # bytes of it
        self._incoming, self._outgoing = IncomingMessages(), OutgoingMessages()
        self.peer = ""  # who speaks, by its first line

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        whole, end, rest = data.rpartition(b"\n")
        if not end:
            self._rest.append(data)
            self._waits += len(data)
            return self.close() if self._waits > MAX_MESSAGE_BYTES else None
        whole = b"".join((*self._rest, whole))
        self._rest, self._waits = [rest], len(rest)
        for one in whole.split(b"\n"):
            if self._transport is None:
                return
            try:
                self._read(one)
            except (msgspec.DecodeError, UnicodeDecodeError, MalformedMessage) as error:
                log.warning("lines: unreadable from %s: %s", self.peer or "a stranger", error)
                return self.close()

    def _read(self, line: bytes) -> None:
        word = _decode(line)
        if isinstance(word, PartReceived):
            self._outgoing.window.acknowledged(self._loop.time())
            self._send_waiting()
        elif isinstance(word, MessagePart):
            self.send(PartReceived())
            self._on_part()
            whole = self._incoming.take(word)
            if whole is not None:
                self._on_line(self, _decode(whole))
        else:
            self._on_line(self, word)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._on_lost(self)

    def send(self, word: Message) -> None:
        self._send(encode_message(word), isinstance(word, ORDERED_MESSAGES))

    def send_raw(self, message: EncodedMessage, stream: bool = True) -> None:
        """One that is encoded for several connections.  `stream`: it is of the stream."""
        self._send(message, stream)

    def _send(self, message: EncodedMessage, stream: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        waiting = transport.get_write_buffer_size() + self._outgoing.waiting_bytes
        if waiting > MAX_MESSAGE_BYTES:
            return self.close()
        if message.size or (stream and self._outgoing.stream.messages):
            self._outgoing.add(message, background=not stream)
            self._send_waiting()
        else:
            transport.write(message.data)

    def _send_waiting(self) -> None:
        """All of it that the window lets through."""
        while self._transport is not None:
            following = self._outgoing.next(self._loop.time())
            if following is None:
                return
            line = following if isinstance(following, bytes) else _encode(following) + b"\n"
            self._transport.write(line)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def encode_message(word: Message) -> EncodedMessage:
    """For any number of connections."""
    return compress_long(_encode(word) + b"\n")


class Dialer:
    """Wants a connection to one address, and works towards it for as long as it is wanted."""

    def __init__(
        self,
        address: Address,
        on_line: Callable[[Message], None],
        on_open: Callable[[Dialer], None],
        on_lost: Callable[[], None] = lambda: None,
        on_refused: Callable[[], None] = lambda: None,
        tries: int = 0,
        on_part: Callable[[], None] = lambda: None,
    ) -> None:
        """`tries`: given up after so many failures in a row; 0: never.  `on_lost` is called then too.
        `on_part`: as of `JsonConnection`."""
        self.address = address
        self._line, self._opened, self._lost, self._refused = on_line, on_open, on_lost, on_refused
        self._tries, self._on_part = tries, on_part
        self._lines: JsonConnection | None = None
        self._gone = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._work())

    @property
    def open(self) -> bool:
        return self._lines is not None

    def send(self, word: Message) -> None:
        if self._lines is not None:
            self._lines.send(word)

    def send_raw(self, message: EncodedMessage) -> None:
        """One in the background that is encoded for several connections."""
        if self._lines is not None:
            self._lines.send_raw(message, stream=False)

    def drop(self) -> None:
        """End the connection that there is; a new one is made."""
        if self._lines is not None:
            self._lines.close()

    def close(self) -> None:
        self._task.cancel()
        if self._lines is not None:
            self._lines.close()

    async def _work(self) -> None:
        pause, failed = RECONNECT_DELAY_S, 0
        loop = asyncio.get_running_loop()
        while True:
            self._gone.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(self._new, *self.address)
            except ConnectionRefusedError:
                self._refused()
            except OSError as error:  # TimeoutError is one
                log.debug("lines: no connection to %s:%d: %r", *self.address, error)
            else:
                pause, failed = RECONNECT_DELAY_S, 0
                await self._gone.wait()
                self._lost()
                continue
            failed += 1
            if self._tries and failed >= self._tries:
                self._lost()
                return
            await asyncio.sleep(pause)
            pause = min(MAX_RECONNECT_DELAY_S, pause * 2)

    def _new(self) -> JsonConnection:
        return JsonConnection(lambda _, word: self._line(word), self._made, self._ended, self._on_part)

    def _made(self, lines: JsonConnection) -> None:
        self._lines = lines
        self._opened(self)

    def _ended(self, lines: JsonConnection) -> None:
        if self._lines is lines:
            self._lines = None
        self._gone.set()
