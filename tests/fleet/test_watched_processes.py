"""Processes of a fleet: one that cannot be watched does not stay behind."""

from __future__ import annotations

import asyncio
import os
import sys

import pytest

from brackengate.fleet.processes import Processes, Start, Unwatchable


def test_a_process_that_cannot_be_watched_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """Else the supervisor would wait for its end, which nobody brings about."""

    started = []

    def no_descriptor(pid: int) -> int:
        started.append(pid)
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(os, "pidfd_open", no_descriptor)
    argv = [sys.executable, "-c", "import time; time.sleep(60)"]
    loop = asyncio.new_event_loop()
    try:
        processes = Processes(loop, lambda pid, how: None)
        with pytest.raises(Unwatchable):
            processes.start(Start(argv, dict(os.environ), [], b""))
        with pytest.raises(ChildProcessError):
            os.waitpid(started[0], os.WNOHANG)
    finally:
        loop.close()
