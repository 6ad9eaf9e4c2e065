"""What a lighthouse keeps on disk: one sqlite file, synced at each commit, and what shows that it is sound.

`locking_mode=EXCLUSIVE` keeps the index of the write-ahead log in memory: no shared mapping, and locks are
of no use on a disk that only one process has.  A commit is synced as a whole (`synchronous=FULL`); what a
loss of power tears behind the last sync is found by the log's own checksums and left out.

From form 3 on the committed rows are in `rows`, and in `log` the entries after them that were not committed
when they were written; before, rows were written with their entry, committed or not.  From form 2 on all of
`meta` is in one value, `state`, behind its checksum; form 1 had a row for each.  With each commit it says the
number of commits and the sum of all rows and entries (`tally`).  sqlite leaves out all of its log
behind a broken place without a word, so the number of commits is also told to a small file beside it, after
each commit and without a sync: it may be behind the file after a loss of power, never ahead of it.

A file that holds less than that, or whose sums do not hold, or that sqlite can't read, is damaged: nothing
in it is believed, and the machine goes on as one whose disk was lost, which costs it its vote until the
others have let it in anew.  A file gets its name when it is whole (`lighthouse.new` is renamed), so one that
is empty is damaged and not new.  A damaged one is kept under another name, until the next one or until its
room is needed; that name alone says that this is no first start.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import os
import sqlite3
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Protocol
from zlib import crc32

import msgspec

from brackengate.control.actions import Store
from brackengate.control.replica import FIRST_INCARNATION, StoredState
from brackengate.control.rows import BUCKETS, CommittedRows, LoadedRows, bucket_of, is_deletion
from brackengate.control.view import NO_BALLOT
from brackengate.protocol.messages import Ballot, Entry, Row, View

log = logging.getLogger("brackengate.lighthouse.store")

FORMAT_VERSION = 3
DATABASE_NAME = "lighthouse.db"
DAMAGED_NAME = f"{DATABASE_NAME}.damaged"
TALLY_NAME = "lighthouse.tally"
ROWS_TABLE = (  # in the order in which copies come, so that a piece is written to few pages
    "CREATE TABLE rows (bucket INTEGER, kind TEXT, name TEXT, place INTEGER, value BLOB,"
    " PRIMARY KEY (bucket, kind, name)) WITHOUT ROWID"
)
LOG_TABLE = "CREATE TABLE log (place INTEGER PRIMARY KEY, value BLOB)"
THIS_ROW = "WHERE bucket = ? AND kind = ? AND name = ?"
LOAD_BATCH_ROWS = 50_000  # rows that are held twice while they are read
DAMAGE_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)


class NewerFormat(Exception):
    """The file was written by a newer program."""


class DamagedFile(Exception):
    """What was found in the file."""


def is_damage(error: BaseException | None) -> bool:
    """Whether sqlite says that the file itself is broken, and not that the disk is full or slow."""
    return getattr(error, "sqlite_errorcode", 0) & 0xFF in DAMAGE_CODES


def _is_disk_full(error: Exception) -> bool:
    if isinstance(error, OSError):
        return error.errno in (errno.ENOSPC, errno.EDQUOT)
    return getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_FULL


def open_disk(folder: str, first: bool) -> tuple[Disk, StoredState]:
    """The folder's file and all that is there; a new one where there is none or it is damaged.

    `first`: the system's very first start, which a folder that ever held a file has behind it.
    OSError or sqlite3.Error where the disk is in trouble, Damaged where it spoils even a new file: worth
    another try.  NewerForm: it is not.
    """
    os.makedirs(folder, exist_ok=True)
    path = Path(folder) / DATABASE_NAME
    disk: Disk | None = None
    try:
        if not path.exists():
            began = any(path.parent.glob(f"{DATABASE_NAME}*"))
            _create_file(path, _new_incarnation(first and not began))
        try:
            _check_header(path)
            disk = Disk(path)
            return disk, _read_checked(disk, first)
        except DamagedFile as what:
            log.error(
                "store: step open, file %s: damaged: %s; kept as %s, and a new life begins without a vote",
                path, what, DAMAGED_NAME,
            )  # fmt: skip
        _set_damaged_aside(path)
        if disk is not None:
            disk.close()  # not before: it would merge its log; not later: it would remove the new one's
        _create_file(path, _new_incarnation(False))
        disk = Disk(path)
        return disk, _read_checked(disk, False)
    except (OSError, sqlite3.Error, DamagedFile, NewerFormat) as error:
        if disk is not None:
            disk.close()
        if _is_disk_full(error):
            _free_space(path)
        raise


def _new_incarnation(first: bool) -> str:
    return FIRST_INCARNATION if first else os.urandom(6).hex()


def _create_file(path: Path, incarnation: str) -> None:
    """A whole new file under its name; nothing of one before it is left beside it."""
    new = path.with_name("lighthouse.new")
    beside = (f"{DATABASE_NAME}-*", f"{new.name}*", TALLY_NAME)
    for left in [file for pattern in beside for file in path.parent.glob(pattern)]:
        left.unlink()
    _sync_folder(path.parent)
    disk = Disk(new)
    try:
        disk.set_pragmas("MEMORY")  # what is cut off here is begun anew
        run = disk.db.execute
        run("CREATE TABLE meta (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
        run(ROWS_TABLE)
        run(LOG_TABLE)
        disk.write([Store({"form": FORMAT_VERSION, "inc": incarnation})])
    finally:
        disk.close()
    os.replace(new, path)
    _sync_folder(path.parent)


def _read_checked(disk: Disk, first: bool) -> StoredState:
    try:
        disk.set_pragmas("WAL")
        kept = disk.read()
    except sqlite3.Error as error:
        # SQLITE_ERROR: no such table, or a file format that this sqlite does not know.
        if is_damage(error) or getattr(error, "sqlite_errorcode", 0) == sqlite3.SQLITE_ERROR:
            raise DamagedFile(str(error)) from None
        raise
    except (TypeError, ValueError) as error:  # what should be text or JSON is not
        raise DamagedFile(f"a value that can't be read: {error}") from None
    if kept.incarnation == FIRST_INCARNATION and not first and kept.view is None:  # it never took its seat
        kept.incarnation = _new_incarnation(False)
        disk.write([Store({"inc": kept.incarnation})])
    return kept


class Disk:
    """One open file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._meta: dict[str, msgspec.Raw] = {}  # as on disk
        self._format = 0  # of what is on disk; 0: nothing
        self._commits = self._checksum = 0  # commits, and the sum of all rows and entries, on disk
        self._log: dict[int, int] = {}  # the entries on disk, each with its part of the sum
        self._tally_fd: int | None = None  # the small file, open
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self.db.text_factory = bytes  # text of a damaged file may be no UTF-8

    def set_pragmas(self, journal: str) -> None:
        for pragma in ("locking_mode=EXCLUSIVE", f"journal_mode={journal}", "synchronous=FULL"):
            self.db.execute(f"PRAGMA {pragma}")

    def read(self) -> StoredState:
        """All that is there, checked; one of the form before is of this form from here on."""
        meta = {name: value for name, value in self.db.execute("SELECT name, value FROM meta")}
        if b"form" not in meta:
            raise DamagedFile("it does not say its form")
        self._format = msgspec.json.decode(meta.pop(b"form"), type=int)
        if self._format > FORMAT_VERSION:
            raise NewerFormat(
                f"{self.path}: written by a newer program"
                f" (form {self._format}, this one reads {FORMAT_VERSION})"
            )
        if self._format > 1:
            total, text = meta.get(b"state", b"")[:8], meta.get(b"state", b"")[8:]
            if total != b"%08x" % crc32(text):
                raise DamagedFile("the sum over meta does not hold")
            self._meta = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        else:
            self._meta = {name.decode(): msgspec.Raw(value) for name, value in meta.items()}
        incarnation: str | None = self._get("inc", str)
        if incarnation is None:
            raise DamagedFile("it does not say its life")
        self._commits, held_sum = self._get("tally", tuple[int, int]) or (0, 0)
        lost = self._last_tally(incarnation) - self._commits
        if lost > 0:
            raise DamagedFile(f"commits that were on the disk are gone from its end: {lost}")
        rows = self._read_rows()
        entries = self._read_log() if self._format > 2 else []
        if self._format > 1 and held_sum != self._checksum:
            raise DamagedFile(f"the sum over its {len(rows.rows)} rows does not hold")
        for (found,) in self.db.execute("PRAGMA quick_check(1)"):
            if found != b"ok":
                raise DamagedFile(found.decode(errors="replace"))
        kept = StoredState(
            incarnation,
            self._get("place", int) or 0,
            self._get("lineage", int) or 0,
            self._get("view", View),
            self._get("promised", Ballot) or NO_BALLOT,
            self._get("taken_at", Ballot),
            self._get("taken", View),
            rows,
            entries,
            self._get("base", int),
            self._get("copy", int) or 0,
        )
        if self._format < FORMAT_VERSION:
            self.write([])
        return kept

    def _read_rows(self) -> LoadedRows:
        loaded = LoadedRows(CommittedRows(), [], 0)
        waiting: list[tuple[int, bytes]] = []
        for kind, name, place, value in self.db.execute("SELECT kind, name, place, value FROM rows"):
            self._checksum += _row_checksum(kind, name, place, value)
            if self._format < FORMAT_VERSION or kind != b"key":
                held = msgspec.json.decode(value)
                if kind != b"key":  # others are few
                    loaded.others.append((kind.decode(), name.decode(), place, held))
            waiting.append(loaded.record(kind, name, place, value))
            if len(waiting) >= LOAD_BATCH_ROWS:
                loaded.rows.add_records(waiting)
                waiting.clear()
        loaded.rows.add_records(waiting)
        return loaded

    def _read_log(self) -> list[Entry]:
        entries = []
        for place, value in self.db.execute("SELECT place, value FROM log ORDER BY place"):
            self._log[place] = _row_checksum(b"", b"", place, value)
            entries.append(Entry(place, msgspec.json.decode(value, type=tuple[Row, ...])))
        self._checksum += sum(self._log.values())
        return entries

    def _get(self, name: str, kind: Any) -> Any:
        value = self._meta.get(name)
        return msgspec.json.decode(value, type=kind | None) if value is not None else None

    def write(self, stores: Iterable[Store]) -> None:
        """All of it or nothing, and on the disk when this returns; sqlite3.Error where it can't be."""
        change = _Transaction(self.db.execute, self._meta.copy(), self._checksum, self._log.copy())
        run = self.db.execute
        run("BEGIN IMMEDIATE")
        try:
            if self._format < FORMAT_VERSION:
                self._upgrade_format()
            for store in stores:
                change.apply(store)
            text = change.meta_with_tally(self._commits + 1)
            run("INSERT OR REPLACE INTO meta VALUES ('state', ?)", (b"%08x%b" % (crc32(text), text),))
            run("COMMIT")
        except BaseException as error:
            if self.db.in_transaction:
                run("ROLLBACK")
            if isinstance(error, sqlite3.Error) and _is_disk_full(error):
                _free_space(self.path)
            raise
        self._meta, self._format = change.meta, FORMAT_VERSION
        self._commits, self._checksum, self._log = self._commits + 1, change.sum, change.log
        self._write_tally()

    def _upgrade_format(self) -> None:
        run = self.db.execute
        run("DELETE FROM meta")
        run("INSERT INTO meta VALUES ('form', ?)", (msgspec.json.encode(FORMAT_VERSION),))
        if self._format:  # else the tables are there
            self.db.create_function("bucket_of", 1, lambda name: crc32(name) % BUCKETS, deterministic=True)
            run("ALTER TABLE rows RENAME TO rows_before")
            run(ROWS_TABLE)
            run(
                "INSERT INTO rows SELECT bucket_of(CAST(name AS BLOB)), kind, name, place, value"
                " FROM rows_before ORDER BY 1, 2, 3"
            )
            run("DROP TABLE rows_before")
            run(LOG_TABLE)

    # --- the number of commits, told apart

    def _last_tally(self, incarnation: str) -> int:
        """0 where nothing was told, or not of this file's life."""
        try:
            data = self.path.with_name(TALLY_NAME).read_bytes()
        except FileNotFoundError:
            return 0
        total, text = data[:8], data[8:].rstrip(b"\0")
        if total != b"%08x" % crc32(text):
            return 0  # torn by a loss of power
        told: tuple[str, int] = msgspec.json.decode(text, type=tuple[str, int])
        return told[1] if told[0] == incarnation else 0

    def _write_tally(self) -> None:
        """Where the disk does not take it there is one witness less, and nothing else."""
        text = msgspec.json.encode((self._meta["inc"], self._commits))
        with contextlib.suppress(OSError):
            if self._tally_fd is None:
                self._tally_fd = os.open(self.path.with_name(TALLY_NAME), os.O_RDWR | os.O_CREAT, 0o644)
            os.pwrite(self._tally_fd, (b"%08x%b" % (crc32(text), text)).ljust(64, b"\0"), 0)

    def close(self) -> None:
        self.db.close()
        if self._tally_fd is not None:
            os.close(self._tally_fd)
            self._tally_fd = None


class _Transaction:
    """What one commit changes; `meta`, `sum` and `log` are as they are once it is on the disk."""

    def __init__(
        self,
        run: Callable[..., sqlite3.Cursor],
        meta: dict[str, msgspec.Raw],
        total: int,
        log: dict[int, int],
    ) -> None:
        self._run, self.meta, self.sum, self.log = run, meta, total, log

    def apply(self, store: Store) -> None:
        if store.drop_all:
            self._run("DELETE FROM rows")
            self.sum = sum(self.log.values())
        if store.drop_all or store.drop_entries:
            self._drop_entries(max(self.log, default=0))
        for name, meant in store.meta.items():
            self.meta[name] = msgspec.Raw(msgspec.json.encode(meant))
        for place, row in store.rows:
            self._row(place, *row)
        self._drop_entries(store.committed)
        for entry in store.entries:
            value = msgspec.json.encode(entry.rows)
            self._run("INSERT INTO log VALUES (?, ?)", (entry.index, value))
            self.log[entry.index] = _row_checksum(b"", b"", entry.index, value)
            self.sum += self.log[entry.index]

    def meta_with_tally(self, count: int) -> bytes:
        self.meta["tally"] = msgspec.Raw(msgspec.json.encode((count, self.sum)))
        return msgspec.json.encode(self.meta)

    def _row(self, place: int, kind: str, name: str, value: Any) -> None:
        run, key = self._run, (bucket_of(name), kind, name)
        for old in run(f"SELECT place, value FROM rows {THIS_ROW}", key).fetchall():
            self.sum -= _row_checksum(kind.encode(), name.encode(), *old)
        if is_deletion(kind, value):
            run(f"DELETE FROM rows {THIS_ROW}", key)
            return
        new = msgspec.json.encode(value)
        self.sum += _row_checksum(kind.encode(), name.encode(), place, new)
        run("INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)", (*key, place, new))

    def _drop_entries(self, index: int) -> None:
        """Those up to that one."""
        gone = [place for place in self.log if place <= index]
        if gone:
            self._run("DELETE FROM log WHERE place <= ?", (index,))
        for place in gone:
            self.sum -= self.log.pop(place)


def _row_checksum(kind: bytes, name: bytes, place: int, value: bytes) -> int:
    return crc32(value, crc32(b"%b\0%b\0%d\0" % (kind, name, place)))


def _check_header(path: Path) -> None:
    """sqlite would take an empty file for a new one, and not write to one that names another version."""
    with path.open("rb") as file:
        head = file.read(20)
    if head[:16] != b"SQLite format 3\0" or head[18:] not in (b"\1\1", b"\2\2"):
        raise DamagedFile("it does not begin as a file of sqlite" if head else "it is empty")


# --- the folder


def _set_damaged_aside(path: Path) -> None:
    """In steps that each last, so that no half of the damaged pair is ever met under its old name with a new
    other half."""
    folder = path.parent
    os.replace(path, folder / DAMAGED_NAME)
    _sync_folder(folder)
    wal, kept = folder / f"{DATABASE_NAME}-wal", folder / f"{DAMAGED_NAME}-wal"
    kept.unlink(missing_ok=True)
    if wal.exists():
        os.replace(wal, kept)
    _sync_folder(folder)


def _free_space(path: Path) -> None:
    """On a full disk what was put aside gives up its bytes; its name stays."""
    for kept in (path.with_name(DAMAGED_NAME), path.with_name(f"{DAMAGED_NAME}-wal")):
        with contextlib.suppress(OSError):
            if kept.stat().st_size:
                os.truncate(kept, 0)
                log.warning("store: the disk is full: %s is given up", kept)


def _sync_folder(folder: Path) -> None:
    """Guards against a loss of power that takes new names, or brings back old ones."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


# --- as a member uses it


class AsyncDisk(Protocol):
    """A disk as a member uses it: one call after the other, none of which holds up the loop."""

    async def open(self, first: bool) -> StoredState:
        """All that is there; errors as of `open_disk`, of which some are worth another try."""

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        """Done once all of it is on the disk; it has the error where it can't be."""


class ThreadedDisk:
    """The folder's disk, and the thread that waits for it."""

    def __init__(self, folder: str) -> None:
        self._folder, self._threads = folder, ThreadPoolExecutor(1)
        self._disk: Disk | None = None

    async def open(self, first: bool) -> StoredState:
        loop = asyncio.get_running_loop()
        self._disk, kept = await loop.run_in_executor(self._threads, open_disk, self._folder, first)
        return kept

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        assert self._disk is not None
        return asyncio.get_running_loop().run_in_executor(self._threads, self._disk.write, stores)
