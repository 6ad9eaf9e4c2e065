"""Processes that accept from one inherited socket: how they know of each other, and what they share.

Each keeps a file in the folder that is common to them, locked for as long as its process lives: what a dead
one left is told from a living one by its lock, which the kernel takes away with the process.
"""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
import re
import struct
from collections.abc import Iterable
from dataclasses import dataclass

log = logging.getLogger(__name__)

NAME = re.compile(r"brackengate-[0-9]+-[0-9]+\.process")
FORM = struct.Struct("<8sqqq")  # mark, order of the start, whether it is ready, sockets held
MARK = b"brknprc1"


RESERVED_DESCRIPTORS = 48  # the loop's own, discovery, operators, standard streams, and those being closed
BESIDE_DESCRIPTORS = 24  # what a second program needs of these
OWN_MB, CALLER_KB = 16, 96  # memory of the program with no caller, and of one caller with a whole request
STREAMS_SHARE = 0.25  # of the rest of the memory: what bodies in pieces may hold together


@dataclass(frozen=True, slots=True)
class Part:
    """What one process may hold of the limits."""

    sockets: int  # together with those that the others hold
    callers: int
    stream_bytes: int


def part(descriptors: int, memory_mb: int, shared: bool) -> Part:
    """`shared`: another program may run beside this one, under the same limits.  Pure.

    Sockets are counted together as they are taken; of the memory that two programs leave each has half, since
    nobody can take it back from the other.
    """
    sockets, rest_mb = descriptors - RESERVED_DESCRIPTORS, float(memory_mb - OWN_MB)
    if shared:
        sockets, rest_mb = sockets - BESIDE_DESCRIPTORS, (rest_mb - OWN_MB) / 2
    return Part(
        max(16, sockets),
        max(32, int(rest_mb * 1024) // CALLER_KB),
        int(max(1.0, rest_mb * STREAMS_SHARE) * (1 << 20)),
    )


@dataclass(frozen=True, slots=True)
class Sibling:
    """What one process says of itself."""

    began: int  # CLOCK_MONOTONIC, nanoseconds
    ready: bool
    sockets: int


def successor(mine: int, others: Iterable[Sibling]) -> bool:
    """Whether one that began later is ready to take over from one that began at `mine`.  Pure."""
    return any(other.ready and other.began > mine for other in others)


class Siblings:
    """This process's file, and a look at those of the others."""

    def __init__(self, folder: str, began: int) -> None:
        """OSError where the folder can't be written."""
        self._folder, self._began = folder, began
        self._maps: dict[str, tuple[int, mmap.mmap]] = {}  # others that live, by their files' names
        self._own = f"brackengate-{began}-{os.getpid()}.process"
        name = os.path.join(folder, self._own)
        fd = os.open(name + ".new", os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)  # before it has its name: none may think it dead
            os.ftruncate(fd, FORM.size)
            self._mine = mmap.mmap(fd, FORM.size)
            self.tell(False, 0)
            os.rename(name + ".new", name)
        except OSError:
            os.close(fd)
            raise
        self._fd = fd

    def tell(self, ready: bool, sockets: int) -> None:
        FORM.pack_into(self._mine, 0, MARK, self._began, int(ready), sockets)

    def look(self) -> list[Sibling]:
        """The others that live now."""
        names = {name for name in os.listdir(self._folder) if NAME.fullmatch(name)}
        for gone in self._maps.keys() - names:
            self._forget(gone)
        for name in names - {self._own}:
            self._check(name)
        return self.last_seen()

    def last_seen(self) -> list[Sibling]:
        """The same as of the last look, with what they say now."""
        found = []
        for _, told in self._maps.values():
            mark, began, ready, sockets = FORM.unpack_from(told)
            if mark == MARK:
                found.append(Sibling(began, bool(ready), max(0, sockets)))
        return found

    def sockets_elsewhere(self) -> int:
        return sum(sibling.sockets for sibling in self.last_seen())

    def close(self) -> None:
        for name in list(self._maps):
            self._forget(name)
        self._unlink(self._own)
        os.close(self._fd)

    def _check(self, name: str) -> None:
        """Take in a living one; clear away what a dead one left."""
        held = self._maps.get(name)
        try:
            path = os.path.join(self._folder, name)
            fd = held[0] if held is not None else os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:  # it lives
            if held is None:
                try:
                    self._maps[name] = (fd, mmap.mmap(fd, FORM.size))
                except (OSError, ValueError) as error:
                    log.warning("%s is no process's file: %s", path, error)
                    os.close(fd)
            return
        if held is not None:
            self._forget(name)
        else:
            os.close(fd)
        self._unlink(name)

    def _forget(self, name: str) -> None:
        fd, told = self._maps.pop(name)
        told.close()
        os.close(fd)

    def _unlink(self, name: str) -> None:
        try:
            os.unlink(os.path.join(self._folder, name))
        except FileNotFoundError:
            pass
        except OSError as error:
            log.warning("cannot clear %s away: %s", name, error)
