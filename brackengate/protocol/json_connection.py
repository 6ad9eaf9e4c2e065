"""Connections between this system's processes: JSON messages over TCP, one per line.

Long messages are compressed and sent in parts (`message_parts.py`).  `ORDERED_MESSAGES` form a stream that
keeps its order.  Other long messages are sent in the background, and other short ones at once, so that
heartbeats never wait behind bulk data, nor committed changes behind data that is not in effect yet.
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
UNACKNOWLEDGED_TIMEOUT_MS = 1_200  # TCP_USER_TIMEOUT: a network partition sends no reset
CONNECT_TIMEOUT_S = 0.6
RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.05, 0.4

_encode = msgspec.json.Encoder().encode
_decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode


class JsonConnection(asyncio.Protocol):
    """One connection.  `on_message` gets every message; one that can't be read ends the connection."""

    def __init__(
        self,
        on_message: Callable[[JsonConnection, Message], None],
        on_open: Callable[[JsonConnection], None],
        on_lost: Callable[[JsonConnection], None],
        on_part: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_part`: called for each part of a long message, which shows that a slow peer is alive."""
        self._on_message, self._on_open, self._on_lost, self._on_part = on_message, on_open, on_lost, on_part
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._incomplete: list[bytes] = []  # of a line whose end has not arrived
        self._incomplete_bytes = 0
        self._incoming, self._outgoing = IncomingMessages(), OutgoingMessages()
        self.peer = ""  # the peer's address, from its first message

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        lines, end, rest = data.rpartition(b"\n")
        if not end:
            self._incomplete.append(data)
            self._incomplete_bytes += len(data)
            return self.close() if self._incomplete_bytes > MAX_MESSAGE_BYTES else None
        lines = b"".join((*self._incomplete, lines))
        self._incomplete, self._incomplete_bytes = [rest], len(rest)
        for line in lines.split(b"\n"):
            if self._transport is None:
                return
            try:
                self._read(line)
            except (msgspec.DecodeError, UnicodeDecodeError, MalformedMessage) as error:
                log.warning("lines: malformed message from %s: %s", self.peer or "an unknown peer", error)
                return self.close()

    def _read(self, line: bytes) -> None:
        message = _decode(line)
        if isinstance(message, PartReceived):
            self._outgoing.window.acknowledged(self._loop.time())
            self._send_waiting()
        elif isinstance(message, MessagePart):
            self.send(PartReceived())
            self._on_part()
            complete = self._incoming.add(message)
            if complete is not None:
                self._on_message(self, _decode(complete))
        else:
            self._on_message(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._on_lost(self)

    def send(self, message: Message) -> None:
        """Sends or queues a message; it is lost if the connection is closed or ends."""
        self._send(encode_message(message), isinstance(message, ORDERED_MESSAGES))

    def send_encoded(self, message: EncodedMessage, ordered: bool = True) -> None:
        """Sends a message that was encoded once for several connections.

        `ordered`: whether it belongs to the stream of `ORDERED_MESSAGES`.
        """
        self._send(message, ordered)

    def _send(self, message: EncodedMessage, ordered: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        waiting = transport.get_write_buffer_size() + self._outgoing.waiting_bytes
        if waiting > MAX_MESSAGE_BYTES:
            return self.close()
        if message.size or (ordered and self._outgoing.stream.messages):
            self._outgoing.add(message, background=not ordered)
            self._send_waiting()
        else:
            transport.write(message.data)

    def _send_waiting(self) -> None:
        """Sends queued messages as far as the window allows."""
        while self._transport is not None:
            following = self._outgoing.next(self._loop.time())
            if following is None:
                return
            line = following if isinstance(following, bytes) else _encode(following) + b"\n"
            self._transport.write(line)

    def close(self) -> None:
        """Aborts the connection; queued messages are lost."""
        if self._transport is not None:
            self._transport.abort()


def encode_message(message: Message) -> EncodedMessage:
    """Encodes a message, to be sent on any number of connections."""
    return compress_long(_encode(message) + b"\n")


class Dialer:
    """Keeps a connection to one address open: connects, and reconnects with exponential backoff."""

    def __init__(
        self,
        address: Address,
        on_message: Callable[[Message], None],
        on_open: Callable[[Dialer], None],
        on_lost: Callable[[], None] = lambda: None,
        on_refused: Callable[[], None] = lambda: None,
        max_failures: int = 0,
        on_part: Callable[[], None] = lambda: None,
    ) -> None:
        """`max_failures`: give up after so many failed attempts in a row; 0: never.  `on_lost` is called then
        too.  `on_refused`: nobody listens at the address.  `on_part`: as in `JsonConnection`."""
        self.address = address
        self._on_message, self._on_open = on_message, on_open
        self._on_lost, self._on_refused = on_lost, on_refused
        self._max_failures, self._on_part = max_failures, on_part
        self._connection: JsonConnection | None = None
        self._disconnected = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def open(self) -> bool:
        """Whether there is a connection now."""
        return self._connection is not None

    def send(self, message: Message) -> None:
        """Sends a message; it is lost if there is no connection."""
        if self._connection is not None:
            self._connection.send(message)

    def send_encoded(self, message: EncodedMessage) -> None:
        """Sends a message in the background that was encoded once for several connections."""
        if self._connection is not None:
            self._connection.send_encoded(message, ordered=False)

    def drop(self) -> None:
        """Closes the present connection; a new one is opened."""
        if self._connection is not None:
            self._connection.close()

    def close(self) -> None:
        """Closes the connection and stops reconnecting."""
        self._task.cancel()
        if self._connection is not None:
            self._connection.close()

    async def _run(self) -> None:
        delay, failures = RECONNECT_DELAY_S, 0
        loop = asyncio.get_running_loop()
        while True:
            self._disconnected.clear()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(self._new_connection, *self.address)
            except ConnectionRefusedError:
                self._on_refused()
            except OSError as error:  # TimeoutError is a subclass
                log.debug("lines: no connection to %s:%d: %r", *self.address, error)
            else:
                delay, failures = RECONNECT_DELAY_S, 0
                await self._disconnected.wait()
                self._on_lost()
                continue
            failures += 1
            if self._max_failures and failures >= self._max_failures:
                self._on_lost()
                return
            await asyncio.sleep(delay)
            delay = min(MAX_RECONNECT_DELAY_S, delay * 2)

    def _new_connection(self) -> JsonConnection:
        return JsonConnection(
            lambda _, message: self._on_message(message), self._opened, self._closed, self._on_part
        )

    def _opened(self, connection: JsonConnection) -> None:
        self._connection = connection
        self._on_open(self)

    def _closed(self, connection: JsonConnection) -> None:
        if self._connection is connection:
            self._connection = None
        self._disconnected.set()
