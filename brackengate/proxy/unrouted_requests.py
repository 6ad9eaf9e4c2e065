"""Requests without a route, at a proxy whose configuration may be stale.

A 404 says that no configuration in force has a route, so only a proxy with a current configuration may answer
it.  Any other holds the request for a moment, as an update may be in flight, and then answers 503, which says
that the request has not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from brackengate.http.message import IncomingRequest
from brackengate.net.http import CallerConnection
from brackengate.net.node import STATUS_UNAVAILABLE, Reply

MAX_HOLD_S = 0.15
RETRY_AFTER_US = 100_000  # microseconds
NOT_FOUND = 404


@dataclass(eq=False, slots=True)
class HeldRequest:
    """A request that waits for a route, and the timer that ends its wait."""

    arrival: IncomingRequest
    connection: CallerConnection
    timer: asyncio.TimerHandle


class UnroutedRequests:
    """Holds requests without a route until a route comes, the configuration is current, or time is up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        is_current: Callable[[], bool],
        send: Callable[[IncomingRequest, CallerConnection], bool],
    ) -> None:
        """`is_current`: whether the configuration is recent enough for a 404.  `send`: forwards a request;
        False: there is no route for it."""
        self._loop, self._is_current, self._send = loop, is_current, send
        self._held: list[HeldRequest] = []

    def hold(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Hold a request, for at most `MAX_HOLD_S`."""
        held = HeldRequest(
            arrival, connection, self._loop.call_later(MAX_HOLD_S, lambda: self._on_timeout(held))
        )
        self._held.append(held)
        connection.expect_answer(lambda: self._drop(held))

    def recheck(self) -> None:
        """Try all held requests again, after the configuration or its freshness has changed."""
        for held in list(self._held):
            if self._send(held.arrival, held.connection):
                self._drop(held)
            elif self._is_current():
                self._answer(held, Reply(NOT_FOUND))

    def count(self) -> int:
        """How many requests are held."""
        return len(self._held)

    def _on_timeout(self, held: HeldRequest) -> None:
        self._answer(held, Reply(STATUS_UNAVAILABLE, retry_after_us=RETRY_AFTER_US))

    def _answer(self, held: HeldRequest, reply: Reply) -> None:
        self._drop(held)
        held.connection.answer(reply)

    def _drop(self, held: HeldRequest) -> None:
        if held in self._held:
            self._held.remove(held)
            held.timer.cancel()
