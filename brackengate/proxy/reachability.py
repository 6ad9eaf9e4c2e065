"""Checks over a connection whether a machine that answers no datagrams is reachable, before its requests end.

A congested link loses datagrams, while connections are only delayed: such a machine is slow, and will answer
the requests in flight.  One that is paused, without power or partitioned answers on no connection either.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from brackengate.net.sockets import Address

log = logging.getLogger("brackengate.watch")

ANSWER_TIMEOUT_S = 0.5  # to connect and receive any data
RECHECK_INTERVAL_S = 0.2  # while the machine answers connections but no datagrams
PROBE_REQUEST = b"GET / HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n"  # rejected at ingress


class Reachability:
    """Runs a check for each machine that has been silent for long, until it answers or is unreachable."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address_of: Callable[[str], Address],
        on_unreachable: Callable[[str], None],
    ) -> None:
        """`address_of`: of a machine's proxy.  `on_unreachable`: gets a machine that does not answer."""
        self._loop, self._address_of, self._on_unreachable = loop, address_of, on_unreachable
        self._checks: dict[str, asyncio.Task[None]] = {}

    def check(self, machine: str) -> None:
        """Start checking a machine that has answered no datagram for long."""
        if machine not in self._checks:
            self._checks[machine] = self._loop.create_task(self._check_until_unreachable(machine))

    def cancel(self, machine: str) -> None:
        """Stop checking a machine, as it answers datagrams again."""
        task = self._checks.pop(machine, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Stop all checks."""
        for machine in list(self._checks):
            self.cancel(machine)

    async def _check_until_unreachable(self, machine: str) -> None:
        while await self._is_reachable(machine):
            await asyncio.sleep(RECHECK_INTERVAL_S)
        log.info("watch: %s answers on no connection: its requests in flight end", machine)
        self._checks.pop(machine, None)
        self._on_unreachable(machine)

    async def _is_reachable(self, machine: str) -> bool:
        answered: asyncio.Future[None] = self._loop.create_future()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                transport, _ = await self._loop.create_connection(
                    lambda: _Probe(answered), *self._address_of(machine)
                )
                try:
                    await answered
                finally:
                    transport.abort()
        except OSError:  # TimeoutError is one
            return False
        return True


class _Probe(asyncio.Protocol):
    """Takes any received data as an answer."""

    def __init__(self, answered: asyncio.Future[None]) -> None:
        self._answered = answered

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).write(PROBE_REQUEST)

    def data_received(self, data: bytes) -> None:
        if not self._answered.done():
            self._answered.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._answered.done():
            self._answered.set_exception(ConnectionResetError())
