"""A simulated disk of a control replica: synced data survives a loss of power, data in flight may not.

It implements the interface of `control/store.py`, in place of sqlite and its thread.  A commit is one write
and one sync; the checksums of the log drop torn writes, so a commit is atomic.
"""

from __future__ import annotations

import asyncio
import random
import sqlite3
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from brackengate.control.actions import Store
from brackengate.control.replica import FIRST_INCARNATION, StoredState
from brackengate.control.rows import is_deletion
from brackengate.control.view import NO_BALLOT
from brackengate.emulator.loop import Loop
from brackengate.emulator.mesh.ground import RoleProcess
from brackengate.protocol.messages import Ballot, Entry, View

COMPLETION_DELAY_US = 60  # from a sync until its process is notified


class EmulatedDisk:
    """The disk of one machine, across all its processes."""

    def __init__(self, loop: Loop, rng: random.Random, sync_us: int) -> None:
        """`sync_us`: duration of a commit."""
        self.loop, self._rng, self.sync_us = loop, rng, sync_us
        self.stalled_until = self.full_until = 0  # times in microseconds
        self.on_commit: Callable[[list[Store]], None] = lambda stores: None  # called after each commit
        self.writes = 0
        self.wipe()

    def wipe(self) -> None:
        """Empties the disk and discards writes in flight."""
        self._meta: dict[str, bytes] = {}
        self._rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._entries: dict[int, bytes] = {}
        self._in_flight: list[Store] | None = None
        self._write_token = object()  # identifies the writes in flight

    def begin(self, stores: list[Store], done: Callable[[Exception | None], None]) -> None:
        """Starts a commit; `done` is called with None once it is synced, or with the error if it fails."""
        if self.full_until > self.loop.now:
            error = sqlite3.OperationalError("database or disk is full")
            self.loop.after(self.sync_us, partial(done, error))
            return
        self._in_flight = stores
        duration = max(0, self.stalled_until - self.loop.now) + int(
            self.sync_us * self._rng.uniform(0.8, 1.6)
        )
        self.loop.after(duration, partial(self._sync, self._write_token, stores, done))

    def _sync(
        self, write_token: object, stores: list[Store], done: Callable[[Exception | None], None]
    ) -> None:
        if write_token is not self._write_token:
            return
        if self.stalled_until > self.loop.now:
            self.loop.after(
                self.stalled_until - self.loop.now + self.sync_us,
                partial(self._sync, write_token, stores, done),
            )
            return
        self._in_flight = None
        self._apply(stores)
        self.loop.after(COMPLETION_DELAY_US, partial(done, None))
        self.on_commit(stores)

    def crash(self, power_lost: bool, lose_unsynced: bool = False) -> None:
        """The process dies or the machine loses power: a commit in flight is either kept entirely or lost.

        With a loss of power it is lost in half of the cases, or in all if `lose_unsynced`; otherwise the
        kernel usually still has what was written.
        """
        stores, self._in_flight, self._write_token = self._in_flight, None, object()
        if stores is not None and not lose_unsynced and self._rng.random() < (0.5 if power_lost else 0.8):
            self._apply(stores)

    def _apply(self, stores: list[Store]) -> None:
        self.writes += 1
        encode = msgspec.json.encode
        for store in stores:
            if store.drop_all:
                self._rows.clear()
            if store.drop_all or store.drop_entries:
                self._entries.clear()
            for name, value in store.meta.items():
                self._meta[name] = encode(value)
            for index, (kind, name, value) in store.rows:
                if is_deletion(kind, value):
                    self._rows.pop((kind, name), None)
                else:
                    self._rows[kind, name] = (index, encode(value))
            for index in [index for index in self._entries if index <= store.committed]:
                del self._entries[index]
            for entry in store.entries:
                self._entries[entry.index] = encode(entry)

    def read(self, first: bool) -> StoredState:
        """Returns the stored state, as `control.store.open_disk` does; stores an incarnation if none is."""
        incarnation = FIRST_INCARNATION if first else f"{self._rng.getrandbits(48):012x}"
        held = self._read("inc", str)
        if held is None or (held == FIRST_INCARNATION != incarnation and self._read("view", View) is None):
            self._meta["inc"] = msgspec.json.encode(incarnation)
            held = incarnation
        decode = msgspec.json.decode
        return StoredState(
            held,
            self._read("place", int) or 0,
            self._read("lineage", int) or 0,
            self._read("view", View),
            self._read("promised", Ballot) or NO_BALLOT,
            self._read("taken_at", Ballot),
            self._read("taken", View),
            [(kind, name, index, decode(value)) for (kind, name), (index, value) in self._rows.items()],
            [decode(data, type=Entry) for _, data in sorted(self._entries.items())],
            self._read("base", int),
            self._read("copy", int) or 0,
        )

    def _read(self, name: str, kind: Any) -> Any:
        found = self._meta.get(name)
        return msgspec.json.decode(found, type=kind | None) if found is not None else None


class ProcessDisk:
    """A disk as seen by one process."""

    def __init__(self, disk: EmulatedDisk, process: RoleProcess) -> None:
        self._disk, self._process = disk, process

    async def open(self, first: bool) -> StoredState:
        """Returns the stored state, after a stall has ended.

        Raises sqlite3.OperationalError if the disk is full and was never written.
        """
        while self._disk.stalled_until > self._disk.loop.now:
            await asyncio.sleep((self._disk.stalled_until - self._disk.loop.now) / 1e6)
        if self._disk.full_until > self._disk.loop.now and self._disk.writes == 0:
            raise sqlite3.OperationalError("database or disk is full")
        return self._disk.read(first)

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        """Starts a commit and returns a future that is done when it is synced or has failed."""
        future: asyncio.Future[None] = self._process.create_future()

        def done(error: Exception | None) -> None:
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(None)

        self._disk.begin(stores, lambda error: self._process.enter(partial(done, error)))
        return future
