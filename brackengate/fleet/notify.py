"""The service manager's side of a process: NOTIFY_SOCKET and WATCHDOG_USEC, as in sd_notify(3)."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from collections.abc import Mapping

log = logging.getLogger(__name__)

MAX_MESSAGE = 4096
RETRY_S, KEPT = 0.05, 16


class Notifier:
    """Sends states to the service manager.  Never waits, never raises: the requests come first."""

    def __init__(self, environ: Mapping[str, str] = os.environ) -> None:
        path = environ.get("NOTIFY_SOCKET", "")
        self.failed = 0  # messages that did not go out
        self._address = f"\0{path[1:]}" if path.startswith("@") else path
        self._socket: socket.socket | None = None
        self._waiting: deque[bytes] = deque(maxlen=KEPT)
        if path.startswith(("/", "@")):
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)
        elif path:
            log.warning("NOTIFY_SOCKET is neither a path nor an abstract name: %.100r", path)
        self.watchdog_us = _watchdog(environ)

    def tell(self, text: str) -> None:
        """Lines of NAME=value.

        Guards against a manager whose queue is full, which for a Unix datagram socket is some ten messages:
        a lost READY would hold up a restart.  What it has no room for is sent again, the newest 16 at most.
        """
        if self._socket is None:
            return
        self._waiting.append(text.encode()[:MAX_MESSAGE])
        if len(self._waiting) == 1:
            self._send()

    def _send(self) -> None:
        while self._waiting and self._socket is not None:
            try:
                self._socket.sendto(self._waiting[0], self._address)
            except BlockingIOError:
                asyncio.get_running_loop().call_later(RETRY_S, self._send)
                return
            except OSError as error:  # the manager has gone; the next one asks how things are
                self.failed += 1
                log.debug("the service manager could not be told: %s", error)
            self._waiting.popleft()

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def _watchdog(environ: Mapping[str, str]) -> int:
    """How often a sign of life is owed, in microseconds; 0 for not at all or not by this process."""
    asked, pid = environ.get("WATCHDOG_USEC", ""), environ.get("WATCHDOG_PID", "")
    if pid and pid != str(os.getpid()):
        return 0
    return int(asked) if asked.isascii() and asked.isdigit() else 0
