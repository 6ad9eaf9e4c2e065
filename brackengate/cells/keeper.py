"""The file with the map of cells: read when it changes, and confirmed at each look.  Decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Protocol

import msgspec
import tomli_w

from brackengate import files
from brackengate.installation.reading import BadFile, load_cells
from brackengate.installation.schema import CellMap
from brackengate.net.node import Clock

log = logging.getLogger(__name__)


class Maps(Protocol):
    """A source of maps: `told` is the newest that it has seen; `confirmed`: when that was last so."""

    told: CellMap | None
    confirmed: int
    why: str
    changed: Callable[[], None]

    @property
    def epoch(self) -> int: ...

    def start(self) -> None: ...

    def close(self) -> None: ...

    def status(self) -> dict[str, Any]: ...


class Keeper:
    """`told` is the newest map that could be read; `confirmed`: when it was last seen to be the newest.

    A file that can't be read confirms nothing: it may be a newer map, half written.  So the lease runs out on
    what was read before, and what changes something is refused, until the file can be read again.
    """

    def __init__(self, path: str, every_s: float, clock: Clock) -> None:
        self._path, self._every_s, self._clock = path, every_s, clock
        self.changed: Callable[[], None] = lambda: None
        self.told: CellMap | None = None
        self.confirmed = 0
        self.why = "not read yet"
        self.refused = 0
        self._seen: tuple[int, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def epoch(self) -> int:
        return self.told.epoch if self.told is not None else 0

    def start(self) -> None:
        self._look()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(self._every_s, self._look)
        at = self._clock.now()  # before the look: what is written later is not seen
        seen = files.mark(self._path)
        if seen == self._seen:
            if not self.why:
                self.confirmed = at
            return
        self._seen = seen
        try:
            told = load_cells(self._path)
        except BadFile as error:
            self.refused += 1
            self.why = str(error).splitlines()[0]
            log.error("the map of cells stays as it is, and is confirmed no more: %s", error)
            return
        self.why, self.confirmed, changed = "", at, told != self.told
        self.told = told
        if changed:
            log.info("map of cells: epoch %d from %s", told.epoch, self._path)
            self.changed()

    def status(self) -> dict[str, Any]:
        age = self._clock.now() - self.confirmed
        return {
            "epoch": self.epoch,
            "confirmed_ms_ago": age // 1000 if self.confirmed else -1,
            "why_not": self.why,
            "files_refused": self.refused,
        }


def write(path: str, told: CellMap) -> None:
    """The old file or the new one, never a part.  OSError where it fails; the old one stays."""
    files.replace(Path(path).resolve(), tomli_w.dumps(msgspec.to_builtins(told)).encode())


@contextlib.contextmanager
def alone(path: str) -> Iterator[None]:
    """One writer at a time: who changes a map reads, decides and writes within this."""
    folder = os.open(Path(path).resolve().parent, os.O_RDONLY | os.O_DIRECTORY)  # the file itself is replaced
    try:
        fcntl.flock(folder, fcntl.LOCK_EX)
        yield
    finally:
        os.close(folder)
