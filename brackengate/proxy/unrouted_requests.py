"""Requests for which no route is in force here, while this proxy may be behind.

A 404 says that no configuration in force has a route: only a proxy that is current may say so.  One that is
not holds the request for a moment, as the news may be on its way, and then answers 503: it has not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from brackengate.http.message import Arrival
from brackengate.net.http import CallerConnection
from brackengate.net.node import REFUSED, Reply

MAX_HOLD_S = 0.15
RETRY_AFTER_US = 100_000  # microseconds
NOT_FOUND = 404


@dataclass(eq=False, slots=True)
class HeldRequest:
    arrival: Arrival
    connection: CallerConnection
    timer: asyncio.TimerHandle


class UnroutedRequests:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        is_current: Callable[[], bool],
        send: Callable[[Arrival, CallerConnection], bool],
    ) -> None:
        """`begin`: sends a request on its way; False: there is no route for it."""
        self._loop, self._is_current, self._send = loop, is_current, send
        self._held: list[HeldRequest] = []

    def hold(self, arrival: Arrival, connection: CallerConnection) -> None:
        held = HeldRequest(
            arrival, connection, self._loop.call_later(MAX_HOLD_S, lambda: self._on_timeout(held))
        )
        self._held.append(held)
        connection.hold(lambda: self._drop(held))

    def recheck(self) -> None:
        """What is in force, or how current it is, has changed."""
        for held in list(self._held):
            if self._send(held.arrival, held.connection):
                self._drop(held)
            elif self._is_current():
                self._answer(held, Reply(NOT_FOUND))

    def count(self) -> int:
        return len(self._held)

    def _on_timeout(self, held: HeldRequest) -> None:
        self._answer(held, Reply(REFUSED, retry_after=RETRY_AFTER_US))

    def _answer(self, held: HeldRequest, reply: Reply) -> None:
        self._drop(held)
        held.connection.answer(reply)

    def _drop(self, held: HeldRequest) -> None:
        if held in self._held:
            self._held.remove(held)
            held.timer.cancel()
