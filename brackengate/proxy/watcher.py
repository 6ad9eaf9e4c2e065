"""The carrier of `failure_detector.py`.

Signs of life as datagrams, and word to the core of those that have stopped.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, cast

from brackengate.net.sockets import Address
from brackengate.protocol.messages import Command, Suspect
from brackengate.proxy.failure_detector import ASKS, EVERY, Watch

log = logging.getLogger("brackengate.watch")

SIGN, ASK, HERE = b"s", b"a", b"h"
TELL_WITHIN_S = 1.0


class Watcher(asyncio.DatagramProtocol):
    def __init__(
        self,
        me: Address,
        now: Callable[[], int],
        ask: Callable[[Command, Callable[[Any], None], float], None],
        standing: Callable[[str, bool], None],
        gone: Callable[[str], None],
    ) -> None:
        """`me`: where this pilot sends from and hears; all machines have the same port.  `standing`: told of
        a machine that has gone silent (False) or answers again.  `gone`: it has been silent for long."""
        self.watch = Watch(me[0], now())
        self._me, self._now, self._ask, self._standing = me, now, ask, standing
        self._tell_gone = gone
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._told: tuple[str, ...] | None = None  # None: what the core has of an earlier process
        self._telling = False
        self._silent: frozenset[str] = frozenset()
        self._gone: frozenset[str] = frozenset()

    async def start(self) -> None:
        """OSError where the port is taken."""
        await self._loop.create_datagram_endpoint(lambda: self, self._me)
        self._tick()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def know(self, pilots: Iterable[str], noticed: Iterable[str]) -> None:
        """The list of machines, and whom any watcher does not hear, have changed."""
        was_busy = self.watch.busy
        self.watch.know(pilots, noticed, self._now())
        if self.watch.busy and not was_busy and self._timer is not None:
            self._timer.cancel()
            self._tick()
        self._look()

    # --- asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        sender, now = str(addr[0]), self._now()
        if data == SIGN:
            self.watch.sign(sender, now)
        elif data == HERE:
            self.watch.answer(sender, now)
        elif data == ASK and self._transport is not None:
            self._transport.sendto(HERE, addr)
        self._look()

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there: its other watchers notice."""

    # --- what the decider says

    def _tick(self) -> None:
        if self._transport is None:
            return
        sends = self.watch.tick(self._now())
        self._timer = self._loop.call_later((ASKS if self.watch.busy else EVERY) / 1e6, self._tick)
        for what, whom in ((SIGN, sends.signs), (ASK, sends.asks)):
            for other in whom:
                self._transport.sendto(what, (other, self._me[1]))
        self._look()
        noticed = self.watch.noticed
        if noticed != self._told and not self._telling:
            if noticed or self._told:
                log.info("watch: not heard by now: %s", ", ".join(noticed) or "nobody")
            self._telling = True
            self._ask(Suspect(self._me[0], noticed), partial(self._done, noticed), TELL_WITHIN_S)

    def _look(self) -> None:
        silent, gone = self.watch.silent, self.watch.gone
        if silent is self._silent and gone is self._gone:
            return
        before, self._silent = self._silent, silent
        for machine in silent ^ before:
            up = machine not in silent
            log.info("watch: %s %s", machine, "answers again" if up else "is silent")
            self._standing(machine, up)
        lately, self._gone = gone - self._gone, gone
        for machine in lately:
            log.info("watch: %s is given up", machine)
            self._tell_gone(machine)

    def _done(self, noticed: tuple[str, ...], result: object) -> None:
        self._telling = False
        if result is not None:
            self._told = noticed
