"""Socket addresses, listening sockets and the process's budget of sockets."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

Address = tuple[str, int]
READ_BYTES = 64 << 10  # read at once
READ_BUFFER = memoryview(
    bytearray(READ_BYTES)
)  # shared by all connections: each read is copied out before the next


def parse_address(text: str) -> Address:
    """Split `host:port` or `[host]:port`; the platform has no DNS, so the host is numeric.

    Raises ValueError if the text has another form.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"not an address of the form host:port: {text[:80]!r}")
    return host.strip("[]"), int(port)


def bind(address: Address) -> socket.socket:
    """A TCP socket bound to an address, not listening yet; raises OSError if that fails."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def inherited_listener(descriptor: int) -> socket.socket:
    """An inherited listening TCP socket.

    Raises OSError if the descriptor is closed, is no TCP socket or does not listen.
    """
    sock = socket.socket(fileno=os.dup(descriptor))
    try:
        if sock.type != socket.SOCK_STREAM or sock.family not in (socket.AF_INET, socket.AF_INET6):
            raise OSError("not a TCP socket")
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError("not listening")
    except OSError:
        sock.close()
        raise
    sock.setblocking(False)
    return sock


def bind_datagrams(address: Address) -> socket.socket:
    """A blocking UDP socket bound to an address; raises OSError if that fails."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


class SocketBudget:
    """Counts callers' and upstreams' sockets together.

    At the limit of file descriptors an accept or connect would fail with EMFILE, so idle connections are
    closed before that limit is reached.
    """

    def __init__(self, limit: int, used_elsewhere: Callable[[], int] = lambda: 0) -> None:
        """`used_elsewhere`: sockets that other processes hold under the same limit."""
        self.limit = limit
        self.in_use = 0
        self._used_elsewhere = used_elsewhere
        self.refused_by_own_limit = False  # whether the last refusal was by the limit of one user alone
        self._evictors: list[Callable[[], bool]] = []

    def add_evictor(self, evict: Callable[[], bool]) -> None:
        """Register a function that closes one idle socket; they are tried in the order of registration."""
        self._evictors.append(evict)

    def remove_evictor(self, evict: Callable[[], bool]) -> None:
        """Remove a function registered with `add_evictor`."""
        self._evictors.remove(evict)

    def acquire(self) -> bool:
        """Reserve one socket, evicting an idle one if necessary; False if the budget is exhausted."""
        if self.in_use + self._used_elsewhere() >= self.limit and not any(
            evict() for evict in self._evictors
        ):
            return False
        self.in_use += 1
        return True

    def release(self) -> None:
        """Return a socket to the budget."""
        self.in_use -= 1


class NestedSocketBudget(SocketBudget):
    """A limit for one user within a parent budget, so that no user can take all sockets.

    At this limit only the user's own idle sockets are evicted.
    """

    def __init__(self, parent: SocketBudget, limit: int) -> None:
        super().__init__(limit)
        self._parent = parent
        self.parent_limit = parent.limit
        self.refused = 0

    def add_evictor(self, evict: Callable[[], bool]) -> None:
        super().add_evictor(evict)
        self._parent.add_evictor(evict)

    def close(self) -> None:
        """Remove the evictors from the parent budget when the user shuts down."""
        for evict in self._evictors:
            self._parent.remove_evictor(evict)

    def acquire(self) -> bool:
        self.refused_by_own_limit = not super().acquire()
        if self.refused_by_own_limit:
            self.refused += 1
            return False
        if not self._parent.acquire():
            self.in_use -= 1
            return False
        return True

    def release(self) -> None:
        super().release()
        self._parent.release()
