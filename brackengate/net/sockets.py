"""The process's budget of sockets, and addresses."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

Address = tuple[str, int]
READ_BYTES = 64 << 10  # bytes read at once
READ_BUFFER = memoryview(
    bytearray(READ_BYTES)
)  # each read is copied out of it before the next: one serves all


def parse_address(text: str) -> Address:
    """Split `host:port` or `[host]:port`; the platform has no DNS, so the host is numeric."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not (port.isascii() and port.isdigit()) or int(port) > 65535:
        raise ValueError(f"not an address of the form host:port: {text[:80]!r}")
    return host.strip("[]"), int(port)


def bind(address: Address) -> socket.socket:
    """A TCP socket bound to an address, not listening yet; OSError where it cannot be had."""
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
    """An inherited TCP socket; OSError where the descriptor is closed, a file or does not listen."""
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
    """A UDP socket bound to an address, that blocks; OSError where it cannot be had."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


class SocketBudget:
    """Counts callers' and upstreams' sockets together.

    Guards against EMFILE: at the limit of descriptors an accept or a connect would fail for want of a
    number, so idle connections make room before that.
    """

    def __init__(self, limit: int, used_elsewhere: Callable[[], int] = lambda: 0) -> None:
        """`used_elsewhere`: what other processes hold under the same limit."""
        self.limit = limit
        self.in_use = 0
        self._used_elsewhere = used_elsewhere
        self.refused_by_own_limit = False  # whether the last refusal was by a bound on one user alone
        self._evictors: list[Callable[[], bool]] = []

    def add_evictor(self, evict: Callable[[], bool]) -> None:
        """Register a way to close one idle socket; those registered first are asked first."""
        self._evictors.append(evict)

    def remove_evictor(self, evict: Callable[[], bool]) -> None:
        self._evictors.remove(evict)

    def acquire(self) -> bool:
        """Take a place for one socket, if need be that of an idle one."""
        if self.in_use + self._used_elsewhere() >= self.limit and not any(
            evict() for evict in self._evictors
        ):
            return False
        self.in_use += 1
        return True

    def release(self) -> None:
        self.in_use -= 1


class NestedSocketBudget(SocketBudget):
    """A bound of its own within another budget: one user of sockets can't take all of them.

    Only its own idle sockets make room for it at its own bound.
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
        """Its user is gone."""
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
