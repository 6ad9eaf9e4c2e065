"""The runtime environment of an instance: event loop, clocks, sockets and random source, real or emulated."""

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
    """Microseconds of the machine's monotonic clock."""
    return time.monotonic_ns() // 1000


class NetworkBackend(Protocol):
    """Clock and sockets for connections to upstreams, in place of the machine's own."""

    def now(self) -> int:
        """Microseconds of a monotonic clock."""

    def socket(self, address: Address) -> socket.socket:
        """A new socket to connect to this address; raises OSError if none is available."""


@dataclass(frozen=True, slots=True)
class Environment:
    """Event loop, random source, network and clocks of one instance."""

    loop: asyncio.AbstractEventLoop
    rng: random.Random  # source of secrets and of all other seeds
    network: NetworkBackend | None = None  # None: the machine's clock and sockets
    clock: Clock | None = None  # for requests and deadlines; None: the machine's own
    monotonic: Callable[[], int] = monotonic_clock_us  # microseconds; continues across restarts
    bind: Callable[[Address], socket.socket] = bind  # raises OSError if the address is not available

    @classmethod
    def for_this_machine(cls) -> Environment:
        """The running event loop, the system's random source, and the machine's clocks and sockets."""
        return cls(asyncio.get_running_loop(), random.SystemRandom())
