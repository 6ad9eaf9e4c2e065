"""The listening sockets of an installation: opened, kept over a reload, and taken back from instances."""

from __future__ import annotations

import logging
import os
import socket
from collections.abc import Sequence

from brackengate.fleet import activation
from brackengate.installation.schema import File
from brackengate.net.sockets import bind, parse_address

log = logging.getLogger("brackengate.fleet")

SHARED = -1  # the slot of a socket that all instances accept from

Key = tuple[str, int]  # the listener's name, and the slot that the socket is for


class Listeners:
    """One socket for each address of the file."""

    def __init__(self) -> None:
        self._sockets: dict[Key, socket.socket] = {}

    def adopt(self, file: File, slot: int, names: Sequence[str], fds: Sequence[int]) -> None:
        """Take sockets that an instance handed back; those that the file does not want are closed."""
        shared = {listener.name: bool(listener.address) for listener in file.listener}
        for name, fd in zip(names, fds, strict=False):
            key = (name, SHARED if shared.get(name) else slot)
            if name not in shared or key in self._sockets:
                os.close(fd)
            else:
                self._sockets[key] = activation.listening(fd)

    def open(self, file: File) -> None:
        """Hold a socket for each address of the file.  OSError names the address that cannot be had."""
        wanted = wanted_addresses(file)
        for key, address in wanted.items():
            self._drop_moved(key, address)
            if key not in self._sockets:
                self._sockets[key] = _listen(file, key, address)
        for key in [key for key in self._sockets if key not in wanted]:
            self._sockets.pop(key).close()

    def of_slot(self, file: File, slot: int) -> list[tuple[Key, socket.socket]]:
        """What an instance in this slot accepts from, in the file's order."""
        return [(key, self._sockets[key]) for key in wanted_addresses(file) if key[1] in (SHARED, slot)]

    def close(self) -> None:
        for sock in self._sockets.values():
            sock.close()

    def _drop_moved(self, key: Key, address: str) -> None:
        """Close a socket that is bound to another address than the file has now; port 0 fits any port."""
        held = self._sockets.get(key)
        if held is None:
            return
        host, port = parse_address(address)
        bound_host, bound_port = held.getsockname()[:2]
        if port not in (0, bound_port) or bound_host != host:
            held.close()
            del self._sockets[key]


def wanted_addresses(file: File) -> dict[Key, str]:
    wanted: dict[Key, str] = {}
    for listener in file.listener:
        if listener.address:
            wanted[listener.name, SHARED] = listener.address
        for slot, address in enumerate(listener.addresses):
            wanted[listener.name, slot] = address
    return wanted


def _listen(file: File, key: Key, address: str) -> socket.socket:
    backlog = next(entry.backlog for entry in file.listener if entry.name == key[0])
    try:
        sock = bind(parse_address(address))
        sock.listen(backlog)
    except OSError as error:
        raise OSError(f"cannot listen on {address}: {error.strerror}") from None
    where = sock.getsockname()
    log.info("listener %s: %s:%d", key[0], where[0], where[1])
    return sock
