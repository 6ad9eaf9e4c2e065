"""Lines of JSON over TCP: the connections between the system's own processes.

Long lines go compressed and in parts (`message_parts.py`).  The messages of the stream (`STREAM`) keep their
order; other long ones go in the background, and other short ones at once: liveness never waits behind bulk,
nor do news behind what is not in force yet.
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
    MOST_BYTES,
    EncodedMessage,
    Incoming,
    Outgoing,
    Unreadable,
    packed,
)
from brackengate.protocol.messages import Append, Changes, CopyPiece, Line, Part, PartReceived

log = logging.getLogger("brackengate.lines")

STREAM = (Append, Changes, CopyPiece)
SILENT_MS = 1_200  # a connection whose bytes nobody takes for so long is given up: a cut says nothing
DIAL_S = 0.6
AGAIN_S, AGAIN_MOST_S = 0.05, 0.4

_encode = msgspec.json.Encoder().encode
_decode: Callable[[bytes], Line] = msgspec.json.Decoder(Line).decode


class Lines(asyncio.Protocol):
    """One connection.  `on_line` gets every word; one that can't be read ends the connection."""

    def __init__(
        self,
        on_line: Callable[[Lines, Line], None],
        on_open: Callable[[Lines], None],
        on_lost: Callable[[Lines], None],
        on_part: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_part`: a part of a long message has come: the other side is slow, but not silent."""
        self._on_line, self._on_open, self._on_lost, self._on_part = on_line, on_open, on_lost, on_part
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._rest: list[bytes] = []  # of a line that is not whole yet
        self._waits = 0  # bytes of it
        self._incoming, self._outgoing = Incoming(), Outgoing()
        self.peer = ""  # who speaks, by its first line

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_MS)
        self._on_open(self)

    def data_received(self, data: bytes) -> None:
        whole, end, rest = data.rpartition(b"\n")
        if not end:
            self._rest.append(data)
            self._waits += len(data)
            return self.close() if self._waits > MOST_BYTES else None
        whole = b"".join((*self._rest, whole))
        self._rest, self._waits = [rest], len(rest)
        for one in whole.split(b"\n"):
            if self._transport is None:
                return
            try:
                self._read(one)
            except (msgspec.DecodeError, UnicodeDecodeError, Unreadable) as error:
                log.warning("lines: unreadable from %s: %s", self.peer or "a stranger", error)
                return self.close()

    def _read(self, line: bytes) -> None:
        word = _decode(line)
        if isinstance(word, PartReceived):
            self._outgoing.window.acknowledged(self._loop.time())
            self._send_waiting()
        elif isinstance(word, Part):
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

    def send(self, word: Line) -> None:
        self._send(encoded(word), isinstance(word, STREAM))

    def send_raw(self, message: EncodedMessage, stream: bool = True) -> None:
        """One that is encoded for several connections.  `stream`: it is of the stream."""
        self._send(message, stream)

    def _send(self, message: EncodedMessage, stream: bool) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        waiting = transport.get_write_buffer_size() + self._outgoing.waiting_bytes
        if waiting > MOST_BYTES:
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


def encoded(word: Line) -> EncodedMessage:
    """For any number of connections."""
    return packed(_encode(word) + b"\n")


class Dialer:
    """Wants a connection to one address, and works towards it for as long as it is wanted."""

    def __init__(
        self,
        address: Address,
        on_line: Callable[[Line], None],
        on_open: Callable[[Dialer], None],
        on_lost: Callable[[], None] = lambda: None,
        on_refused: Callable[[], None] = lambda: None,
        tries: int = 0,
        on_part: Callable[[], None] = lambda: None,
    ) -> None:
        """`tries`: given up after so many failures in a row; 0: never.  `on_lost` is called then too.
        `on_part`: as of `Lines`."""
        self.address = address
        self._line, self._opened, self._lost, self._refused = on_line, on_open, on_lost, on_refused
        self._tries, self._on_part = tries, on_part
        self._lines: Lines | None = None
        self._gone = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._work())

    @property
    def open(self) -> bool:
        return self._lines is not None

    def send(self, word: Line) -> None:
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
        pause, failed = AGAIN_S, 0
        loop = asyncio.get_running_loop()
        while True:
            self._gone.clear()
            try:
                async with asyncio.timeout(DIAL_S):
                    await loop.create_connection(self._new, *self.address)
            except ConnectionRefusedError:
                self._refused()
            except OSError as error:  # TimeoutError is one
                log.debug("lines: no connection to %s:%d: %r", *self.address, error)
            else:
                pause, failed = AGAIN_S, 0
                await self._gone.wait()
                self._lost()
                continue
            failed += 1
            if self._tries and failed >= self._tries:
                self._lost()
                return
            await asyncio.sleep(pause)
            pause = min(AGAIN_MOST_S, pause * 2)

    def _new(self) -> Lines:
        return Lines(lambda _, word: self._line(word), self._made, self._ended, self._on_part)

    def _made(self, lines: Lines) -> None:
        self._lines = lines
        self._opened(self)

    def _ended(self, lines: Lines) -> None:
        if self._lines is lines:
            self._lines = None
        self._gone.set()
