"""The admin listener: bounded, and independent of the limits on callers.  It makes no decisions itself."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

from brackengate.admin.protocol import AdminCommand, CommandReader, InvalidCommand, encode_no

MAX_CONNECTIONS = 16  # one more evicts the oldest
REQUEST_TIMEOUT_S = 6.0  # for a complete command line
RESPONSE_TIMEOUT_S = 2.0  # for the response to be read
LISTEN_BACKLOG = 64

CommandHandler = Callable[[AdminCommand], bytes]


class AdminListener:
    """Answers one command per connection, as soon as its line is read."""

    def __init__(self, answer: CommandHandler) -> None:
        self._answer = answer
        self._connections: dict[_Connection, None] = {}  # the oldest first
        self._server: asyncio.Server | None = None
        self.evicted_count = 0

    async def start(self, sock: socket.socket) -> None:
        """Listen on `sock`, a bound socket that the listener owns from here on."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self, loop), sock=sock, backlog=LISTEN_BACKLOG
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: _Connection) -> None:
        """Add a connection; closes the oldest ones over the limit."""
        self._connections[connection] = None
        while len(self._connections) > MAX_CONNECTIONS:
            self.evicted_count += 1
            next(iter(self._connections)).abort()

    def connection_closed(self, connection: _Connection) -> None:
        """Remove a connection."""
        self._connections.pop(connection, None)

    def answer(self, command: AdminCommand | InvalidCommand) -> bytes:
        """The response to a command line."""
        return encode_no(command.reason) if isinstance(command, InvalidCommand) else self._answer(command)


class _Connection(asyncio.Protocol):
    """One operator's connection."""

    def __init__(self, listener: AdminListener, loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self._reader = CommandReader()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one without deriving from it
        self._timer = self._loop.call_later(REQUEST_TIMEOUT_S, self.abort)
        self._listener.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        command = self._reader.feed(data)
        if command is None or self._transport is None:
            return
        self._transport.write(self._listener.answer(command))
        self._restart_timeout(RESPONSE_TIMEOUT_S)
        self._transport.close()

    def eof_received(self) -> bool:
        """The operator closed its sending side before the line was complete: there is no command."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._listener.connection_closed(self)

    def abort(self) -> None:
        """Close the connection at once."""
        self._listener.connection_closed(self)
        if self._transport is not None:
            self._transport.abort()

    def _restart_timeout(self, timeout_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(timeout_s, self.abort)
