"""The operators' listener: small, bounded, and apart from the callers' limits.  Decides nothing."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from brackengate.admin.protocol import Call, Fault, Line, no

MOST = 16  # connections; one more pushes out the one that has waited longest
WAIT_S = 6.0  # for a line
TAKE_S = 2.0  # for the answer to be read
BACKLOG = 64

Answer = Callable[[Call], bytes]


class Listener:
    """Answers one call a connection.  Whoever sends its line is answered in the turn in which it is read."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._held: dict[_Connection, None] = {}  # in the order in which they came
        self._server: asyncio.Server | None = None
        self.pushed_out = 0

    async def start(self, sock: socket.socket) -> None:
        """`sock`: bound, and this listener's from here on."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self, loop), sock=sock, backlog=BACKLOG)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self._held):
            connection.end()

    def comes(self, connection: _Connection) -> None:
        self._held[connection] = None
        while len(self._held) > MOST:
            self.pushed_out += 1
            next(iter(self._held)).end()

    def goes(self, connection: _Connection) -> None:
        self._held.pop(connection, None)

    def answer(self, told: Call | Fault) -> bytes:
        return no(told.why) if isinstance(told, Fault) else self._answer(told)


class _Connection(asyncio.Protocol):
    def __init__(self, listener: Listener, loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self._line = Line()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one without deriving from it
        self._timer = self._loop.call_later(WAIT_S, self.end)
        self._listener.comes(self)

    def data_received(self, data: bytes) -> None:
        told = self._line.feed(data)
        if told is None or self._transport is None:
            return
        self._transport.write(self._listener.answer(told))
        self._wait(TAKE_S)
        self._transport.close()

    def eof_received(self) -> bool:
        """A line without an end, and then the end: nothing was asked."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._listener.goes(self)

    def end(self) -> None:
        self._listener.goes(self)
        if self._transport is not None:
            self._transport.abort()

    def _wait(self, for_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(for_s, self.end)
