"""Processes that accept from one inherited socket: how they discover each other, and how they share limits.

Each keeps a file in a common directory and holds a lock on it while it runs.  The kernel releases the lock
with the process, so a file without a lock was left by a process that has died.
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

FILE_NAME = re.compile(r"brackengate-[0-9]+-[0-9]+\.process")
RECORD = struct.Struct("<8sqqq")  # magic, start time, whether it is ready, open sockets
MAGIC = b"brknprc1"

RESERVED_DESCRIPTORS = (
    48  # for the event loop, discovery, operators, standard streams, and sockets being closed
)
SECOND_PROCESS_DESCRIPTORS = 24  # of these, for a second process
PROCESS_MB, CLIENT_KB = (
    16,
    96,
)  # memory of a process without clients, and of one client with a complete request
STREAMS_SHARE = 0.25  # of the remaining memory, for all streamed bodies together


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """The share of the limits that one process may use."""

    sockets: int  # counted together with those of the other processes
    max_clients: int
    stream_bytes: int


def process_limits(descriptors: int, memory_mb: int, shared: bool) -> ProcessLimits:
    """The limits of this process.  `shared`: another process may run under the same limits.

    Open sockets are counted together; of the memory that remains for clients each process has half, since
    none can reclaim it from the other.
    """
    sockets, remaining_mb = descriptors - RESERVED_DESCRIPTORS, float(memory_mb - PROCESS_MB)
    if shared:
        sockets, remaining_mb = sockets - SECOND_PROCESS_DESCRIPTORS, (remaining_mb - PROCESS_MB) / 2
    return ProcessLimits(
        max(16, sockets),
        max(32, int(remaining_mb * 1024) // CLIENT_KB),
        int(max(1.0, remaining_mb * STREAMS_SHARE) * (1 << 20)),
    )


@dataclass(frozen=True, slots=True)
class Sibling:
    """The published state of one process."""

    started_ns: int  # CLOCK_MONOTONIC
    ready: bool
    sockets: int


def has_successor(started_ns: int, others: Iterable[Sibling]) -> bool:
    """Whether a process that started later than `started_ns` is ready to take over."""
    return any(other.ready and other.started_ns > started_ns for other in others)


class Siblings:
    """This process's file in the common directory, and those of the other processes."""

    def __init__(self, directory: str, started_ns: int) -> None:
        """Raises OSError if the directory is not writable."""
        self._directory, self._started_ns = directory, started_ns
        self._maps: dict[str, tuple[int, mmap.mmap]] = {}  # of the other running processes, by file name
        self._own = f"brackengate-{started_ns}-{os.getpid()}.process"
        name = os.path.join(directory, self._own)
        fd = os.open(name + ".new", os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(
                fd, fcntl.LOCK_EX | fcntl.LOCK_NB
            )  # before the rename, so that no process takes it for dead
            os.ftruncate(fd, RECORD.size)
            self._mine = mmap.mmap(fd, RECORD.size)
            self.publish(False, 0)
            os.rename(name + ".new", name)
        except OSError:
            os.close(fd)
            raise
        self._fd = fd

    def publish(self, ready: bool, sockets: int) -> None:
        """Update the state that the other processes read."""
        RECORD.pack_into(self._mine, 0, MAGIC, self._started_ns, int(ready), sockets)

    def scan(self) -> list[Sibling]:
        """Scan the directory; the other processes that are running now."""
        names = {name for name in os.listdir(self._directory) if FILE_NAME.fullmatch(name)}
        for removed in self._maps.keys() - names:
            self._close_file(removed)
        for name in names - {self._own}:
            self._check(name)
        return self.last_seen()

    def last_seen(self) -> list[Sibling]:
        """The processes of the last scan, with their current state."""
        found = []
        for _, mapped in self._maps.values():
            magic, started_ns, ready, sockets = RECORD.unpack_from(mapped)
            if magic == MAGIC:
                found.append(Sibling(started_ns, bool(ready), max(0, sockets)))
        return found

    def sockets_elsewhere(self) -> int:
        """Open sockets of the other processes."""
        return sum(sibling.sockets for sibling in self.last_seen())

    def close(self) -> None:
        """Remove this process's file and close all others."""
        for name in list(self._maps):
            self._close_file(name)
        self._unlink(self._own)
        os.close(self._fd)

    def _check(self, name: str) -> None:
        """Open the file of a running process; remove one that a dead process left."""
        opened = self._maps.get(name)
        try:
            path = os.path.join(self._directory, name)
            fd = opened[0] if opened is not None else os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:  # its process is running
            if opened is None:
                try:
                    self._maps[name] = (fd, mmap.mmap(fd, RECORD.size))
                except (OSError, ValueError) as error:
                    log.warning("%s is not the file of a process: %s", path, error)
                    os.close(fd)
            return
        if opened is not None:
            self._close_file(name)
        else:
            os.close(fd)
        self._unlink(name)

    def _close_file(self, name: str) -> None:
        fd, mapped = self._maps.pop(name)
        mapped.close()
        os.close(fd)

    def _unlink(self, name: str) -> None:
        try:
            os.unlink(os.path.join(self._directory, name))
        except FileNotFoundError:
            pass
        except OSError as error:
            log.warning("cannot remove %s: %s", name, error)
