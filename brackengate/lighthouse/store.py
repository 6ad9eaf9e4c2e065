"""What a lighthouse keeps on disk: one sqlite file, synced at each commit.

`locking_mode=EXCLUSIVE` keeps the index of the write-ahead log in memory: no shared mapping, and locks are
of no use on a disk that only one process has.  A commit is synced as a whole (`synchronous=FULL`); what a
loss of power tears behind the last sync is found by the log's own checksums and left out.
"""

from __future__ import annotations

import asyncio
import os
import sqlite3
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Protocol

import msgspec

from brackengate.lighthouse.actions import Store
from brackengate.lighthouse.member import FIRST, Kept
from brackengate.lighthouse.view import NOBODY
from brackengate.signals.words import Ballot, View

FORM = 1


class BadDisk(Exception):
    """The file can't be used: damaged, or of a newer form."""


class Disk:
    def __init__(self, folder: str) -> None:
        """OSError or sqlite3.Error where the folder takes no file; BadDisk where the file is of no use."""
        os.makedirs(folder, exist_ok=True)
        self.path = Path(folder) / "lighthouse.db"
        self._db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        run = self._db.execute
        run("PRAGMA locking_mode=EXCLUSIVE")
        run("PRAGMA journal_mode=WAL")
        run("PRAGMA synchronous=FULL")
        run("CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
        run(
            "CREATE TABLE IF NOT EXISTS rows (kind TEXT, name TEXT, place INTEGER, value BLOB,"
            " PRIMARY KEY (kind, name)) WITHOUT ROWID"
        )
        form = self._meta("form", int)
        if form is not None and form > FORM:
            raise BadDisk(f"{self.path}: written by a newer program (form {form}, this one reads {FORM})")
        self._sync_folder(folder)

    def read(self, inc: str) -> Kept:
        """All that is there; `inc`: the life that a new disk begins."""
        held = self._meta("inc", str)
        if held is None or (held == FIRST != inc and self._meta("view", View) is None):  # it never began
            meta = {"form": FORM, "inc": inc}
            self.write([Store(meta)])
            held = inc
        rows = self._db.execute("SELECT kind, name, place, value FROM rows").fetchall()
        decode = msgspec.json.decode
        return Kept(
            held,
            self._meta("place", int) or 0,
            self._meta("lineage", int) or 0,
            self._meta("view", View),
            self._meta("promised", Ballot) or NOBODY,
            self._meta("taken_at", Ballot),
            self._meta("taken", View),
            [(kind, name, place, decode(value)) for kind, name, place, value in rows],
        )

    def write(self, stores: Iterable[Store]) -> None:
        """All of it or nothing, and on the disk when this returns; sqlite3.Error where it can't be."""
        run, encode = self._db.execute, msgspec.json.encode
        run("BEGIN IMMEDIATE")
        try:
            for store in stores:
                if store.forget:
                    run("DELETE FROM rows")
                for name, value in store.meta.items():
                    run("INSERT OR REPLACE INTO meta VALUES (?, ?)", (name, encode(value)))
                for place, (kind, name, value) in store.rows:
                    if kind == "key" and value is None:
                        run("DELETE FROM rows WHERE kind = ? AND name = ?", (kind, name))
                    else:
                        run(
                            "INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?)",
                            (kind, name, place, encode(value)),
                        )
            run("COMMIT")
        except BaseException:
            if self._db.in_transaction:
                run("ROLLBACK")
            raise

    def close(self) -> None:
        self._db.close()

    def _meta(self, name: str, kind: Any) -> Any:
        found = self._db.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()
        return msgspec.json.decode(found[0], type=kind | None) if found is not None else None

    def _sync_folder(self, folder: str) -> None:
        """Guards against a loss of power that takes the new files' names."""
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class Waits(Protocol):
    """A disk as a member uses it: one call after the other, none of which holds up the loop."""

    async def open(self, inc: str) -> Kept:
        """All that is there; OSError, sqlite3.Error or BadDisk as of `Disk`.  May be tried again."""

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        """Done once all of it is on the disk; it has the error where it can't be."""


class Drive:
    """The folder's disk, and the thread that waits for it."""

    def __init__(self, folder: str) -> None:
        self._folder, self._threads = folder, ThreadPoolExecutor(1)
        self._disk: Disk | None = None

    async def open(self, inc: str) -> Kept:
        loop = asyncio.get_running_loop()
        disk = self._disk = await loop.run_in_executor(self._threads, Disk, self._folder)
        return await loop.run_in_executor(self._threads, disk.read, inc)

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        assert self._disk is not None
        return asyncio.get_running_loop().run_in_executor(self._threads, self._disk.write, stores)
