"""Executes the decisions of the version store: on the pools, the disk and the source, and its timer."""

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

MAX_DIFFERENCE_LINES = 2000  # shown of the difference between two versions


class Target(Protocol):
    """What versions are applied to."""

    def apply(self, snapshot: Snapshot, version: str) -> None: ...


class Versions:
    """The version store of a process, connected to its pools, its disk and its clock."""

    def __init__(
        self,
        store: Store,
        target: Target,
        clock: Clock,
        installation: str = "",
        slot: int = 0,
        folder: str = "",
        save_interval_us: int = 1_000_000,
        loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        self.store, self._target, self._clock = store, target, clock
        self._installation_name, self._slot, self._folder = installation, slot, folder
        self._save_interval_s = save_interval_us / 1e6
        self._loop = loop or asyncio.get_running_loop()
        self.on_verdict: Callable[[Version, tuple[str, ...]], None] | None = None
        self._pending_actions: deque[Action] = deque()
        self._executing = False
        self._timers = TimerQueue(self._loop, clock)
        self._timer: Timer | None = None
        self._timer_due = 0
        self._pending_save: Save | None = None
        self._save_task: asyncio.Task[None] | None = None
        self._closed = asyncio.Event()
        self.counters = {"saves": 0, "saves_failed": 0, "files_refused": 0, "late_us": 0}

    def offer(self, label: str, source: str, snapshot: Snapshot, received_at: int) -> None:
        """Offer a version to the store."""
        self._execute(self.store.offer(self._clock.now(), Candidate(label, source, snapshot, received_at)))

    def record_answer(self, status: int) -> None:
        """Count an answer by its status: 5xx is a failure, other errors are the caller's fault."""
        if actions := self.store.record_answer(self._clock.now(), status >= 500):
            self._execute(actions)

    def recover(self) -> str:
        """Start with the last good version from the disk; returns a text on what was found."""
        if not self._folder:
            return "versions.folder is not set, so nothing was kept"
        saved, faults = disk.read(self._folder, self._slot, self._installation_name)
        self.counters["files_refused"] += len(faults)
        for fault in faults:
            log.error("a saved version is not used: %s", fault)
        if saved is None:
            return f"{self._folder} has no saved version that can be used"
        now = self._clock.now()
        self._execute(self.store.offer(now, Candidate(saved.label, "disk", saved.snapshot, now)))
        return f"serving on version {saved.label}, as last saved" if self.store.in_use else "not usable"

    def rollback(self, name: str) -> str:
        """Restore and pin a version; returns why not, or ""."""
        reason, actions = self.store.rollback(self._clock.now(), name)
        self._execute(actions)
        return reason

    def release(self) -> str:
        """Remove the pin; returns why not, or ""."""
        reason, actions = self.store.release(self._clock.now())
        self._execute(actions)
        return reason

    def difference(self, one: str, other: str) -> dict[str, Any]:
        """The difference between two versions; by default, between the one in use and the one before it."""
        store = self.store
        found = [store.find(name) for name in (one, other)]
        for name, version in zip((one, other), found, strict=True):
            if name and version is None:
                return {"error": f"no version {name!r} is held"}
        right = found[1] or store.in_use
        before = [v for v in store.history if right and v.number < right.number and v.snapshot != EMPTY]
        left = found[0] or (before[-1] if before else None)
        differences = lines(left.snapshot if left else EMPTY, right.snapshot if right else EMPTY)
        return {
            "from": left.label if left else "",
            "to": right.label if right else "",
            "lines": differences[:MAX_DIFFERENCE_LINES],
            "more": max(0, len(differences) - MAX_DIFFERENCE_LINES),
        }

    def _execute(self, actions: list[Action]) -> None:
        """Execute actions after all earlier ones.

        The queue guards against recursion: a pool that is removed rejects its waiting requests.  These are
        answers, which may revert the version while it is still being applied.
        """
        self._pending_actions.extend(actions)
        if self._executing:
            return
        self._executing = True
        try:
            while self._pending_actions:
                self._execute_one(self._pending_actions.popleft())
        finally:
            self._executing = False
        due = self.store.due()
        if due and (self._timer is None or due < self._timer_due):
            if self._timer is not None:
                self._timer.cancel()
            self._timer, self._timer_due = self._timers.schedule(due, self._on_timer, self._clock.now()), due

    def _execute_one(self, action: Action) -> None:
        match action:
            case Apply(snapshot, version, received_at):
                self._target.apply(snapshot, version.label)
                delay_us = self._clock.now() - received_at
                self.counters["late_us"] = max(self.counters["late_us"], delay_us)
                log.info(
                    "version %s (%s, %s): in use, %d ms after it was received",
                    version.label,
                    version.source,
                    version.digest,
                    delay_us // 1000,
                )
            case Verdict(version, reasons):
                if reasons:
                    log.error("version %s: %s: %s", version.label, version.state.value, "; ".join(reasons))
                if self.on_verdict is not None:
                    self.on_verdict(version, reasons)
            case Save():
                self._pending_save = action
                if self._folder and self._save_task is None:
                    self._save_task = self._loop.create_task(self._write_saves())

    def _on_timer(self) -> None:
        self._timer = None
        self._execute(self.store.tick(self._clock.now()))

    async def _write_saves(self) -> None:
        """Save the last good version, and newer ones that arrive meanwhile, at most once per interval."""
        try:
            while self._pending_save is not None:
                save, self._pending_save = self._pending_save, None
                now, path = self._clock.now(), disk.path_of(self._folder, self._slot)
                await asyncio.to_thread(
                    _write_file, path, self._installation_name, save.version.label, now, save.snapshot
                )
                self.counters["saves"] += 1
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._save_interval_s):
                        await self._closed.wait()
        except OSError as error:
            self.counters["saves_failed"] += 1
            log.error("the last good version can't be saved in %s: %s", self._folder, error)
        finally:
            self._save_task = None

    async def close(self) -> None:
        """Stop the timer and finish pending saves."""
        if self._timer is not None:
            self._timer.cancel()
        # Awaited, not cancelled: the write would continue in its thread and could overwrite a newer file.
        self._closed.set()
        if self._save_task is not None:
            await self._save_task

    def in_use(self) -> str:
        """Label and digest of the version in use."""
        version = self.store.in_use
        return f"{version.label} ({version.digest})" if version else "none"

    def status(self) -> dict[str, object]:
        """Statistics and versions, for `config versions`."""
        return {**self.store.status(), **self.counters}


def _write_file(path: Path, installation: str, label: str, now: int, snapshot: Snapshot) -> None:
    files.replace(path, disk.pack(installation, label, now, snapshot))
