"""Carries out what the store decides: pools, disk, the source, and the time at which it wants to be asked."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from brackengate import files
from brackengate.net.alarms import Timer, TimerQueue
from brackengate.net.node import Clock
from brackengate.snapshot.diff import lines
from brackengate.snapshot.model import EMPTY, Snapshot
from brackengate.versions import disk
from brackengate.versions.store import Action, Apply, Candidate, Save, Store, Verdict, Version

log = logging.getLogger(__name__)

MOST_LINES = 2000  # of a difference that is shown


class Target(Protocol):
    def apply(self, snapshot: Snapshot, version: str) -> None: ...


class Versions:
    def __init__(
        self,
        store: Store,
        target: Target,
        clock: Clock,
        installation: str = "",
        slot: int = 0,
        folder: str = "",
        save_every: int = 1_000_000,
        loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        self.store, self._target, self._clock = store, target, clock
        self._installation, self._slot, self._folder = installation, slot, folder
        self._save_every_s = save_every / 1e6
        self._loop = loop or asyncio.get_running_loop()
        self.on_verdict: Callable[[Version, tuple[str, ...]], None] | None = None
        self._todo: deque[Action] = deque()
        self._busy = False
        self._alarms = TimerQueue(self._loop, clock)
        self._alarm: Timer | None = None
        self._alarm_at = 0
        self._save: Save | None = None
        self._saving: asyncio.Task[None] | None = None
        self._closed = asyncio.Event()
        self.counters = {"saves": 0, "saves_failed": 0, "files_refused": 0, "late_us": 0}

    def offer(self, label: str, source: str, snapshot: Snapshot, told_at: int) -> None:
        self._act(self.store.offer(self._clock.now(), Candidate(label, source, snapshot, told_at)))

    def answered(self, status: int) -> None:
        """One request had this answer.  What a caller got wrong says nothing of a version."""
        if actions := self.store.answered(self._clock.now(), status >= 500):
            self._act(actions)

    def recover(self) -> str:
        """Start with what was last good; a word on what was found."""
        if not self._folder:
            return "versions.folder is not set, so nothing was kept"
        saved, faults = disk.read(self._folder, self._slot, self._installation)
        self.counters["files_refused"] += len(faults)
        for fault in faults:
            log.error("a saved version is not used: %s", fault)
        if saved is None:
            return f"{self._folder} has no saved version that can be used"
        now = self._clock.now()
        self._act(self.store.offer(now, Candidate(saved.label, "disk", saved.snapshot, now)))
        return f"serving on version {saved.label}, as last saved" if self.store.in_use else "not usable"

    def rollback(self, name: str) -> str:
        """Empty where done."""
        why, actions = self.store.rollback(self._clock.now(), name)
        self._act(actions)
        return why

    def release(self) -> str:
        why, actions = self.store.release(self._clock.now())
        self._act(actions)
        return why

    def difference(self, one: str, other: str) -> dict[str, Any]:
        """What differs between two versions; without names, between the one before and that in use."""
        store = self.store
        found = [store.find(name) for name in (one, other)]
        for name, version in zip((one, other), found, strict=True):
            if name and version is None:
                return {"error": f"no version {name!r} is held"}
        right = found[1] or store.in_use
        before = [v for v in store.history if right and v.number < right.number and v.snapshot != EMPTY]
        left = found[0] or (before[-1] if before else None)
        told = lines(left.snapshot if left else EMPTY, right.snapshot if right else EMPTY)
        return {
            "from": left.label if left else "",
            "to": right.label if right else "",
            "lines": told[:MOST_LINES],
            "more": max(0, len(told) - MOST_LINES),
        }

    def _act(self, actions: list[Action]) -> None:
        """Carry them out, after those before them.

        Guards against recursion: a pool that leaves refuses what waits in it, which is an answer, which may
        bring about a return, in the middle of going over.
        """
        self._todo.extend(actions)
        if self._busy:
            return
        self._busy = True
        try:
            while self._todo:
                self._carry_out(self._todo.popleft())
        finally:
            self._busy = False
        due = self.store.due()
        if due and (self._alarm is None or due < self._alarm_at):
            if self._alarm is not None:
                self._alarm.cancel()
            self._alarm, self._alarm_at = self._alarms.schedule(due, self._ring, self._clock.now()), due

    def _carry_out(self, action: Action) -> None:
        match action:
            case Apply(snapshot, version, told_at):
                self._target.apply(snapshot, version.label)
                took = self._clock.now() - told_at
                self.counters["late_us"] = max(self.counters["late_us"], took)
                log.info(
                    "version %s (%s, %s): in use, %d ms after it was told",
                    version.label,
                    version.source,
                    version.digest,
                    took // 1000,
                )
            case Verdict(version, reasons):
                if reasons:
                    log.error("version %s: %s: %s", version.label, version.state.value, "; ".join(reasons))
                if self.on_verdict is not None:
                    self.on_verdict(version, reasons)
            case Save():
                self._save = action
                if self._folder and self._saving is None:
                    self._saving = self._loop.create_task(self._write())

    def _ring(self) -> None:
        self._alarm = None
        self._act(self.store.tick(self._clock.now()))

    async def _write(self) -> None:
        """Save what is the last good one, and again while newer ones come, at a bounded pace."""
        try:
            while self._save is not None:
                save, self._save = self._save, None
                now, path = self._clock.now(), disk.path_of(self._folder, self._slot)
                await asyncio.to_thread(
                    _put, path, self._installation, save.version.label, now, save.snapshot
                )
                self.counters["saves"] += 1
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._save_every_s):
                        await self._closed.wait()
        except OSError as error:
            self.counters["saves_failed"] += 1
            log.error("the last good version can't be saved in %s: %s", self._folder, error)
        finally:
            self._saving = None

    async def close(self) -> None:
        """What is still to be saved is saved."""
        if self._alarm is not None:
            self._alarm.cancel()
        # Waited for and not cancelled: a write goes on in its thread, and could come after a newer one.
        self._closed.set()
        if self._saving is not None:
            await self._saving

    def in_use(self) -> str:
        """Label and digest."""
        version = self.store.in_use
        return f"{version.label} ({version.digest})" if version else "none"

    def status(self) -> dict[str, object]:
        return {**self.store.status(), **self.counters}


def _put(path: Path, installation: str, label: str, now: int, snapshot: Snapshot) -> None:
    files.replace(path, disk.pack(installation, label, now, snapshot))
