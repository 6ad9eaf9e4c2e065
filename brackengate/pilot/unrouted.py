"""Requests for which no route is in force here, while this proxy may be behind.

A 404 says that no configuration in force has a route: only a proxy that is current may say so.  One that is
not holds the request for a moment, as the news may be on its way, and then answers 503: it has not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from brackengate.http.message import IncomingRequest
from brackengate.net.http import CallerConnection
from brackengate.net.node import STATUS_UNAVAILABLE, Reply

HOLD_S = 0.15
RETRY_AFTER = 100_000  # microseconds
NOT_FOUND = 404


@dataclass(eq=False, slots=True)
class Held:
    arrival: IncomingRequest
    connection: CallerConnection
    timer: asyncio.TimerHandle


class Unrouted:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        is_current: Callable[[], bool],
        begin: Callable[[IncomingRequest, CallerConnection], bool],
    ) -> None:
        """`begin`: sends a request on its way; False: there is no route for it."""
        self._loop, self._is_current, self._begin = loop, is_current, begin
        self._held: list[Held] = []

    def hold(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        held = Held(arrival, connection, self._loop.call_later(HOLD_S, lambda: self._over(held)))
        self._held.append(held)
        connection.expect_answer(lambda: self._drop(held))

    def look(self) -> None:
        """What is in force, or how current it is, has changed."""
        for held in list(self._held):
            if self._begin(held.arrival, held.connection):
                self._drop(held)
            elif self._is_current():
                self._end(held, Reply(NOT_FOUND))

    def count(self) -> int:
        return len(self._held)

    def _over(self, held: Held) -> None:
        self._end(held, Reply(STATUS_UNAVAILABLE, retry_after_us=RETRY_AFTER))

    def _end(self, held: Held, reply: Reply) -> None:
        self._drop(held)
        held.connection.answer(reply)

    def _drop(self, held: Held) -> None:
        if held in self._held:
            self._held.remove(held)
            held.timer.cancel()
