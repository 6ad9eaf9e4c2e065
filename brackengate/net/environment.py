"""What an instance stands on: the machine that it runs on, or one that is emulated."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from brackengate.net.sockets import Address, bind

if TYPE_CHECKING:
    from brackengate.net.node import Clock


def monotonic_clock_us() -> int:
    """Microseconds of the machine's clock that never steps."""
    return time.monotonic_ns() // 1000


class NetworkBackend(Protocol):
    """What connections to upstreams stand on, where that is not the machine itself."""

    def now(self) -> int:
        """Microseconds of a clock that does not step."""

    def socket(self, address: Address) -> socket.socket:
        """One to connect to this address; OSError where none is to be had."""


@dataclass(frozen=True, slots=True)
class Environment:
    loop: asyncio.AbstractEventLoop
    rng: random.Random  # whence secrets and all other seeds are drawn
    network: NetworkBackend | None = None  # None: the machine's clock and sockets
    clock: Clock | None = None  # of requests and deadlines; None: the machine's own
    monotonic: Callable[[], int] = monotonic_clock_us  # microseconds; the same through all lives of a process
    bind: Callable[[Address], socket.socket] = bind  # OSError where an address cannot be had

    @classmethod
    def for_this_machine(cls) -> Environment:
        return cls(asyncio.get_running_loop(), random.SystemRandom())
