"""The processes of a fleet as the system sees them: started, watched until they end, and signalled.

A process is watched by a descriptor (pidfd_open(2)), so that one that an earlier supervisor started is heard
of too, and no signal goes to a number that has become another's.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brackengate.fleet import activation

log = logging.getLogger("brackengate.fleet")

PIPE_HOLDS = 60_000  # bytes of text, without asking for a larger pipe
LARGE_PIPE = 1 << 21

FOREIGN = "gone (started by an earlier supervisor)"


class Unwatchable(Exception):
    """A process was started and ended again: there is no descriptor left to watch it."""


@dataclass(frozen=True)
class Start:
    """What a new process gets: its arguments, variables, sockets, the text of the file, and its core."""

    argv: list[str]
    environ: dict[str, str]
    sockets: Sequence[int]  # from descriptor 3 on; the file comes in a pipe after them
    text: bytes
    core: int | None = None


class Processes:
    def __init__(self, loop: asyncio.AbstractEventLoop, ended: Callable[[int, str], None]) -> None:
        """`ended`: told the number of a process that has ended, and how."""
        self._loop, self._on_end = loop, ended
        self._pidfds: dict[int, int] = {}
        self._children: set[int] = set()

    def start(self, what: Start) -> int:
        """The new process's number.  OSError where it can't be started, `Unwatchable` where not watched."""
        pid = _fork(what)
        self._children.add(pid)
        if not self.watch(pid):
            os.kill(pid, signal.SIGKILL)  # a child that was not waited for: the number is its own
            with contextlib.suppress(ChildProcessError):
                os.waitpid(pid, 0)
            self._children.discard(pid)
            raise Unwatchable("no descriptor left to watch it")
        return pid

    def watch(self, pid: int) -> bool:
        """Hear of a process's end, also where it is not a child."""
        try:
            fd = os.pidfd_open(pid)
        except OSError as error:
            log.warning("pid %d cannot be watched: %s", pid, error)
            return False
        self._pidfds[pid] = fd
        self._loop.add_reader(fd, self._ended, pid)
        return True

    def signal(self, pid: int, number: signal.Signals) -> None:
        fd = self._pidfds.get(pid)
        if fd is None:
            return  # it has ended: its number may be another's by now
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(fd, number)

    def _ended(self, pid: int) -> None:
        fd = self._pidfds.pop(pid)
        self._loop.remove_reader(fd)
        os.close(fd)
        how = self._exit_of(pid) if pid in self._children else FOREIGN
        self._on_end(pid, how)

    def _exit_of(self, child: int) -> str:
        self._children.discard(child)
        _, status = os.waitpid(child, 0)
        code = os.waitstatus_to_exitcode(status)
        return f"signal {signal.Signals(-code).name}" if code < 0 else f"exit {code}"


def _fork(what: Start) -> int:
    """Guards against a LISTEN_PID of another process: only a fork of one's own can know its number."""
    read_end, write_end = os.pipe()
    try:
        if len(what.text) > PIPE_HOLDS:
            fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, LARGE_PIPE)
        os.set_blocking(write_end, False)
        if what.text and os.write(write_end, what.text) != len(what.text):
            raise OSError("the file does not fit a pipe")
        sys.stderr.flush()
        pid = os.fork()
        if pid == 0:
            _become(what, [*what.sockets, read_end])
        return pid
    finally:
        os.close(read_end)
        os.close(write_end)


def _become(what: Start, fds: list[int]) -> None:
    """In the child: descriptors to 3, 4, ..., then the program.  Never returns."""
    try:
        os.setsid()  # the terminal's Ctrl-C is the supervisor's to pass on
        if what.core is not None:
            os.sched_setaffinity(0, {what.core})
        base = activation.FIRST + len(fds)
        high = [fcntl.fcntl(fd, fcntl.F_DUPFD_CLOEXEC, base) for fd in fds]
        for step, fd in enumerate(high):
            os.dup2(fd, activation.FIRST + step, inheritable=True)
        null = os.open(os.devnull, os.O_RDONLY)
        os.dup2(null, 0)
        what.environ["LISTEN_PID"] = str(os.getpid())
        os.execve(what.argv[0], what.argv, what.environ)
    except BaseException as error:
        os.write(2, f"brackengate: cannot start {what.argv[0]}: {error}\n".encode())
    finally:
        os._exit(127)
