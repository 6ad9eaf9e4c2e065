"""A core machine's disk: what is synced outlasts a loss of power, what is under way may or may not.

It stands behind the seam of `control/store.py`, in place of sqlite and its thread.  A commit is one write
and one sync; its log's checksums leave out what is torn, so that a commit is there whole or not at all.
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

TOLD = 60  # from a sync to its process's next step, in microseconds


class EmulatedDisk:
    """Of one machine, through all its processes."""

    def __init__(self, loop: Loop, rng: random.Random, sync: int) -> None:
        """`sync`: microseconds for a commit."""
        self.loop, self._rng, self.sync = loop, rng, sync
        self.stalled_until = self.full_until = 0  # until then
        self.on_commit: Callable[[list[Store]], None] = lambda stores: None  # who looks on
        self.writes = 0
        self.wipe()

    def wipe(self) -> None:
        self._meta: dict[str, bytes] = {}
        self._rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._entries: dict[int, bytes] = {}
        self._under_way: list[Store] | None = None
        self._life = object()  # of what is under way

    def begin(self, stores: list[Store], done: Callable[[Exception | None], None]) -> None:
        """`done` is called once it is on the disk, or can't be."""
        if self.full_until > self.loop.now:
            error = sqlite3.OperationalError("database or disk is full")
            self.loop.after(self.sync, partial(done, error))
            return
        self._under_way = stores
        takes = max(0, self.stalled_until - self.loop.now) + int(self.sync * self._rng.uniform(0.8, 1.6))
        self.loop.after(takes, partial(self._sync, self._life, stores, done))

    def _sync(self, life: object, stores: list[Store], done: Callable[[Exception | None], None]) -> None:
        if life is not self._life:
            return
        if self.stalled_until > self.loop.now:
            self.loop.after(
                self.stalled_until - self.loop.now + self.sync, partial(self._sync, life, stores, done)
            )
            return
        self._under_way = None
        self._apply(stores)
        self.loop.after(TOLD, partial(done, None))
        self.on_commit(stores)

    def crash(self, power: bool, all_gone: bool = False) -> None:
        """The process dies, or the machine loses power: what is under way is there whole, or torn or lost.

        Without power it is lost in half of the cases, or in all; else the kernel still has what was written.
        """
        stores, self._under_way, self._life = self._under_way, None, object()
        if stores is not None and not all_gone and self._rng.random() < (0.5 if power else 0.8):
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
            for place, (kind, name, value) in store.rows:
                if is_deletion(kind, value):
                    self._rows.pop((kind, name), None)
                else:
                    self._rows[kind, name] = (place, encode(value))
            for place in [place for place in self._entries if place <= store.committed]:
                del self._entries[place]
            for entry in store.entries:
                self._entries[entry.index] = encode(entry)

    def read(self, first: bool) -> StoredState:
        """As of `control.store.open_disk`."""
        inc = FIRST_INCARNATION if first else f"{self._rng.getrandbits(48):012x}"
        held = self._read("inc", str)
        if held is None or (held == FIRST_INCARNATION != inc and self._read("view", View) is None):
            self._meta["inc"] = msgspec.json.encode(inc)
            held = inc
        decode = msgspec.json.decode
        return StoredState(
            held,
            self._read("place", int) or 0,
            self._read("lineage", int) or 0,
            self._read("view", View),
            self._read("promised", Ballot) or NO_BALLOT,
            self._read("taken_at", Ballot),
            self._read("taken", View),
            [(kind, name, place, decode(value)) for (kind, name), (place, value) in self._rows.items()],
            [decode(data, type=Entry) for _, data in sorted(self._entries.items())],
            self._read("base", int),
            self._read("copy", int) or 0,
        )

    def _read(self, name: str, kind: Any) -> Any:
        found = self._meta.get(name)
        return msgspec.json.decode(found, type=kind | None) if found is not None else None


class ProcessDisk:
    """The disk as one process uses it."""

    def __init__(self, disk: EmulatedDisk, process: RoleProcess) -> None:
        self._disk, self._process = disk, process

    async def open(self, first: bool) -> StoredState:
        while self._disk.stalled_until > self._disk.loop.now:
            await asyncio.sleep((self._disk.stalled_until - self._disk.loop.now) / 1e6)
        if self._disk.full_until > self._disk.loop.now and self._disk.writes == 0:
            raise sqlite3.OperationalError("database or disk is full")
        return self._disk.read(first)

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        future: asyncio.Future[None] = self._process.create_future()

        def done(error: Exception | None) -> None:
            if error is not None:
                future.set_exception(error)
            else:
                future.set_result(None)

        self._disk.begin(stores, lambda error: self._process.enter(partial(done, error)))
        return future
