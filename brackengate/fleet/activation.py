"""Sockets that the service manager has opened: LISTEN_FDS, LISTEN_PID, LISTEN_FDNAMES (sd_listen_fds(3))."""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping

FIRST = 3
MOST = 1024


class BadActivation(ValueError):
    """What the service manager handed over cannot be used."""


def inherited(environ: Mapping[str, str] = os.environ) -> list[tuple[str, int]]:
    """Name and descriptor of each socket meant for this process; empty where none is.

    BadActivation where the variables are for this process and do not make sense.
    """
    if environ.get("LISTEN_PID") != str(os.getpid()):
        return []  # inherited by way of another process, which they were meant for
    text = environ.get("LISTEN_FDS", "")
    if not (text.isascii() and text.isdigit()) or not 0 <= int(text) <= MOST:
        raise BadActivation(f"LISTEN_FDS is no number from 0 to {MOST}: {text[:40]!r}")
    count = int(text)
    names = environ.get("LISTEN_FDNAMES", "").split(":") if environ.get("LISTEN_FDNAMES") else []
    if names and len(names) != count:
        raise BadActivation(f"LISTEN_FDNAMES has {len(names)} names for {count} descriptors")
    return [(names[i] if names else "unknown", FIRST + i) for i in range(count)]


def listening(fd: int) -> socket.socket:
    """The socket behind a descriptor; BadActivation unless it is a TCP one that listens."""
    try:
        sock = socket.socket(fileno=fd)
        accepts = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError as error:
        raise BadActivation(f"descriptor {fd} is no socket: {error.strerror}") from None
    if sock.family not in (socket.AF_INET, socket.AF_INET6) or sock.type != socket.SOCK_STREAM or not accepts:
        sock.detach()
        raise BadActivation(f"descriptor {fd} is not a TCP socket that listens")
    sock.setblocking(False)
    os.set_inheritable(fd, False)
    return sock


def forget(environ: dict[str, str] | None = None) -> None:
    """Take the variables out of the environment: children must not think that they are meant."""
    target = os.environ if environ is None else environ
    for name in ("LISTEN_PID", "LISTEN_FDS", "LISTEN_FDNAMES"):
        target.pop(name, None)
