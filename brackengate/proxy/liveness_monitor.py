"""Network I/O of `failure_detector.py`: keepalive and probe datagrams, and reports to the control plane."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, cast

from brackengate.net.sockets import Address
from brackengate.protocol.messages import Command, Suspect
from brackengate.proxy.failure_detector import KEEPALIVE_INTERVAL_US, PROBE_INTERVAL_US, FailureDetector

log = logging.getLogger("brackengate.watch")

KEEPALIVE, PROBE, PROBE_REPLY = b"s", b"a", b"h"
REPORT_TIMEOUT_S = 1.0


class LivenessMonitor(asyncio.DatagramProtocol):
    """Runs a `FailureDetector` on a UDP port and passes on what it finds."""

    def __init__(
        self,
        me: Address,
        now: Callable[[], int],
        send_command: Callable[[Command, Callable[[Any], None], float], None],
        on_health_changed: Callable[[str, bool], None],
        on_gone: Callable[[str], None],
    ) -> None:
        """`me`: the address this proxy sends from and listens on; all machines use the same port.
        `on_health_changed`: a machine has gone silent (False) or answers again.  `on_gone`: it has been
        silent for long."""
        self.detector = FailureDetector(me[0], now())
        self._me, self._now, self._send_command, self._on_health_changed = (
            me,
            now,
            send_command,
            on_health_changed,
        )
        self._on_gone = on_gone
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reported: tuple[str, ...] | None = None  # None: the last report is an earlier process's
        self._reporting = False
        self._silent: frozenset[str] = frozenset()
        self._gone: frozenset[str] = frozenset()

    async def start(self) -> None:
        """Open the port and start sending.  OSError: the port is in use."""
        await self._loop.create_datagram_endpoint(lambda: self, self._me)
        self._tick()

    def close(self) -> None:
        """Stop sending and close the port."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def update(self, proxies: Iterable[str], suspects: Iterable[str]) -> None:
        """Set the list of machines, and of those that any watcher suspects."""
        was_probing = self.detector.probing
        self.detector.update(proxies, suspects, self._now())
        if self.detector.probing and not was_probing and self._timer is not None:
            self._timer.cancel()
            self._tick()
        self._notify_changes()

    # --- asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The port is open."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handle a keepalive, a probe or a reply to one."""
        sender, now = str(addr[0]), self._now()
        if data == KEEPALIVE:
            self.detector.receive_keepalive(sender, now)
        elif data == PROBE_REPLY:
            self.detector.receive_probe_reply(sender, now)
        elif data == PROBE and self._transport is not None:
            self._transport.sendto(PROBE_REPLY, addr)
        self._notify_changes()

    def error_received(self, exc: Exception) -> None:
        """Ignored: nobody listens there, which the machine's watchers detect."""

    # --- failure detector

    def _tick(self) -> None:
        if self._transport is None:
            return
        datagrams = self.detector.tick(self._now())
        self._timer = self._loop.call_later(
            (PROBE_INTERVAL_US if self.detector.probing else KEEPALIVE_INTERVAL_US) / 1e6, self._tick
        )
        for kind, receivers in ((KEEPALIVE, datagrams.keepalives), (PROBE, datagrams.probes)):
            for machine in receivers:
                self._transport.sendto(kind, (machine, self._me[1]))
        self._notify_changes()
        suspects = self.detector.suspects
        if suspects != self._reported and not self._reporting:
            if suspects or self._reported:
                log.info("watch: suspected now: %s", ", ".join(suspects) or "none")
            self._reporting = True
            self._send_command(
                Suspect(self._me[0], suspects), partial(self._on_reported, suspects), REPORT_TIMEOUT_S
            )

    def _notify_changes(self) -> None:
        silent, gone = self.detector.silent, self.detector.gone
        if silent is self._silent and gone is self._gone:
            return
        before, self._silent = self._silent, silent
        for machine in silent ^ before:
            up = machine not in silent
            log.info("watch: %s %s", machine, "answers again" if up else "is silent")
            self._on_health_changed(machine, up)
        newly_gone, self._gone = gone - self._gone, gone
        for machine in newly_gone:
            log.info("watch: %s has been silent for long", machine)
            self._on_gone(machine)

    def _on_reported(self, suspects: tuple[str, ...], result: object) -> None:
        self._reporting = False
        if result is not None:
            self._reported = suspects
