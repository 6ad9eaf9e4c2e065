"""Whether a machine that answers no datagrams is still there: asked on a connection, before work is cut off.

Datagrams are lost where a link is full, while connections only wait: a machine with a full link is slow, and
what is under way there will be answered.  One that is frozen, without power or behind a cut says nothing on a
connection either.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from brackengate.net.sockets import Address

log = logging.getLogger("brackengate.watch")

ANSWER_S = 0.5  # for a connection and a word on it
AGAIN_S = 0.2  # between two questions to one that answers no datagrams yet
QUESTION = b"GET / HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n"  # its gate turns it away


class Reachability:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address_of: Callable[[str], Address],
        cut_off: Callable[[str], None],
    ) -> None:
        """`address_of`: where a machine's proxy listens.  `cut_off`: told of one that is not there."""
        self._loop, self._address_of, self._cut_off = loop, address_of, cut_off
        self._asking: dict[str, asyncio.Task[None]] = {}

    def given_up(self, machine: str) -> None:
        """It has answered no datagram for long."""
        if machine not in self._asking:
            self._asking[machine] = self._loop.create_task(self._ask(machine))

    def answers(self, machine: str) -> None:
        task = self._asking.pop(machine, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        for machine in list(self._asking):
            self.answers(machine)

    async def _ask(self, machine: str) -> None:
        while await self._answers(machine):
            await asyncio.sleep(AGAIN_S)
        log.info("watch: %s answers on no connection: what is under way there ends", machine)
        self._asking.pop(machine, None)
        self._cut_off(machine)

    async def _answers(self, machine: str) -> bool:
        answered: asyncio.Future[None] = self._loop.create_future()
        try:
            async with asyncio.timeout(ANSWER_S):
                transport, _ = await self._loop.create_connection(
                    lambda: _Question(answered), *self._address_of(machine)
                )
                try:
                    await answered
                finally:
                    transport.abort()
        except OSError:  # TimeoutError is one
            return False
        return True


class _Question(asyncio.Protocol):
    """Any word is an answer."""

    def __init__(self, answered: asyncio.Future[None]) -> None:
        self._answered = answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).write(QUESTION)

    def data_received(self, data: bytes) -> None:
        if not self._answered.done():
            self._answered.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._answered.done():
            self._answered.set_exception(ConnectionResetError())
