"""The disk of a control replica: one sqlite file, synced at each commit, with checks for damage.

`locking_mode=EXCLUSIVE` keeps the index of the write-ahead log in memory: there is no shared mapping, and
only one process uses the disk.  Each commit is synced completely (`synchronous=FULL`); pages that a power
loss tears after the last sync are found by the log's own checksums and ignored.

Since format 3 the committed rows are in `rows`, and the entries after them that were not committed when they
were written are in `log`; before, rows were written with their entry, committed or not.  Since format 2 all
of `meta` is in one value, `state`, prefixed by its checksum; format 1 had a row for each.  Each commit stores
the number of commits and the checksum of all rows and entries (`tally`).  sqlite silently ignores the rest of
its log after a broken page, so the number of commits is also written to a small file next to it, after each
commit and without a sync: after a power loss it may be behind the database, never ahead of it.

A database with fewer commits than that, with wrong checksums, or that sqlite can't read, is damaged: none of
its content is used, and the replica continues as one whose disk was lost, without a vote until the others
have admitted it again.  A new database gets its name once it is complete (`lighthouse.new` is renamed), so an
empty one is damaged and not new.  A damaged one is kept under another name, until the next one is found or
its space is needed; the presence of that name shows that this is not the first start.
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
LOAD_BATCH_ROWS = 50_000  # held in memory twice while they are loaded
DAMAGE_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)


class NewerFormat(Exception):
    """The database was written by a newer program."""


class DamagedFile(Exception):
    """The database is damaged; the message says what was found."""


def is_damage(error: BaseException | None) -> bool:
    """Whether sqlite reports that the file itself is corrupt, and not that the disk is full or slow."""
    return getattr(error, "sqlite_errorcode", 0) & 0xFF in DAMAGE_CODES


def _is_disk_full(error: Exception) -> bool:
    if isinstance(error, OSError):
        return error.errno in (errno.ENOSPC, errno.EDQUOT)
    return getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_FULL


def open_disk(folder: str, initial_start: bool) -> tuple[Disk, StoredState]:
    """Opens the folder's database and reads it; creates one if there is none or it is damaged.

    `initial_start`: the system's first start; ignored for a folder that ever held a database.
    Raises OSError or sqlite3.Error if the disk fails, DamagedFile if even a new file is damaged: these can be
    retried.  Raises NewerFormat if a newer program wrote it, which can't.
    """
    os.makedirs(folder, exist_ok=True)
    path = Path(folder) / DATABASE_NAME
    disk: Disk | None = None
    try:
        if not path.exists():
            existed = any(path.parent.glob(f"{DATABASE_NAME}*"))
            _create_file(path, _new_incarnation(initial_start and not existed))
        try:
            _check_header(path)
            disk = Disk(path)
            return disk, _read_checked(disk, initial_start)
        except DamagedFile as damage:
            log.error(
                "store: step open, file %s: damaged: %s; kept as %s; starts a new incarnation without a vote",
                path, damage, DAMAGED_NAME,
            )  # fmt: skip
        _set_damaged_aside(path)
        if disk is not None:
            disk.close()  # any earlier it would merge its log, any later it would remove the new file's log
        _create_file(path, _new_incarnation(False))
        disk = Disk(path)
        return disk, _read_checked(disk, False)
    except (OSError, sqlite3.Error, DamagedFile, NewerFormat) as error:
        if disk is not None:
            disk.close()
        if _is_disk_full(error):
            _free_space(path)
        raise


def _new_incarnation(initial_start: bool) -> str:
    return FIRST_INCARNATION if initial_start else os.urandom(6).hex()


def _create_file(path: Path, incarnation: str) -> None:
    """Creates a complete database under its final name; removes all files of an earlier one first."""
    new = path.with_name("lighthouse.new")
    leftover_patterns = (f"{DATABASE_NAME}-*", f"{new.name}*", TALLY_NAME)
    for leftover in [file for pattern in leftover_patterns for file in path.parent.glob(pattern)]:
        leftover.unlink()
    _sync_folder(path.parent)
    disk = Disk(new)
    try:
        disk.set_pragmas("MEMORY")  # no durability needed: an interrupted creation is repeated
        execute = disk.db.execute
        execute("CREATE TABLE meta (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
        execute(ROWS_TABLE)
        execute(LOG_TABLE)
        disk.write([Store({"form": FORMAT_VERSION, "inc": incarnation})])
    finally:
        disk.close()
    os.replace(new, path)
    _sync_folder(path.parent)


def _read_checked(disk: Disk, initial_start: bool) -> StoredState:
    try:
        disk.set_pragmas("WAL")
        stored = disk.read()
    except sqlite3.Error as error:
        # SQLITE_ERROR: no such table, or a file format that this sqlite does not know.
        if is_damage(error) or getattr(error, "sqlite_errorcode", 0) == sqlite3.SQLITE_ERROR:
            raise DamagedFile(str(error)) from None
        raise
    except (TypeError, ValueError) as error:  # bytes that are not valid text or JSON
        raise DamagedFile(f"a value that can't be read: {error}") from None
    if (
        stored.incarnation == FIRST_INCARNATION and not initial_start and stored.view is None
    ):  # it never became a member
        stored.incarnation = _new_incarnation(False)
        disk.write([Store({"inc": stored.incarnation})])
    return stored


class Disk:
    """One open database."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._meta: dict[str, msgspec.Raw] = {}  # as on disk
        self._format = 0  # of the database on disk; 0: it is empty
        self._commits = self._checksum = 0  # on disk, the checksum over all rows and entries
        self._log: dict[int, int] = {}  # the checksums of the entries on disk, by index
        self._tally_fd: int | None = None  # of the open tally file
        self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        self.db.text_factory = bytes  # text of a damaged file may not be valid UTF-8

    def set_pragmas(self, journal: str) -> None:
        """Sets locking, journal mode and syncing."""
        for pragma in ("locking_mode=EXCLUSIVE", f"journal_mode={journal}", "synchronous=FULL"):
            self.db.execute(f"PRAGMA {pragma}")

    def read(self) -> StoredState:
        """Reads and checks the whole database; upgrades an older format.

        Raises DamagedFile, NewerFormat or sqlite3.Error.
        """
        meta = {name: value for name, value in self.db.execute("SELECT name, value FROM meta")}
        if b"form" not in meta:
            raise DamagedFile("its format version is missing")
        self._format = msgspec.json.decode(meta.pop(b"form"), type=int)
        if self._format > FORMAT_VERSION:
            raise NewerFormat(
                f"{self.path}: written by a newer program"
                f" (form {self._format}, this one reads {FORMAT_VERSION})"
            )
        if self._format > 1:
            total, text = meta.get(b"state", b"")[:8], meta.get(b"state", b"")[8:]
            if total != b"%08x" % crc32(text):
                raise DamagedFile("the checksum over meta is wrong")
            self._meta = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        else:
            self._meta = {name.decode(): msgspec.Raw(value) for name, value in meta.items()}
        incarnation: str | None = self._get("inc", str)
        if incarnation is None:
            raise DamagedFile("its incarnation is missing")
        self._commits, expected_checksum = self._get("tally", tuple[int, int]) or (0, 0)
        lost = self._last_tally(incarnation) - self._commits
        if lost > 0:
            raise DamagedFile(f"commits that were on the disk are gone from its end: {lost}")
        rows = self._read_rows()
        entries = self._read_log() if self._format > 2 else []
        if self._format > 1 and expected_checksum != self._checksum:
            raise DamagedFile(f"the checksum over its {len(rows.rows)} rows is wrong")
        for (found,) in self.db.execute("PRAGMA quick_check(1)"):
            if found != b"ok":
                raise DamagedFile(found.decode(errors="replace"))
        stored = StoredState(
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
        return stored

    def _read_rows(self) -> LoadedRows:
        loaded = LoadedRows(CommittedRows(), [], 0)
        waiting: list[tuple[int, bytes]] = []
        for kind, name, log_index, value in self.db.execute("SELECT kind, name, place, value FROM rows"):
            self._checksum += _row_checksum(kind, name, log_index, value)
            if self._format < FORMAT_VERSION or kind != b"key":
                held = msgspec.json.decode(value)
                if kind != b"key":  # rows of other kinds are few
                    loaded.others.append((kind.decode(), name.decode(), log_index, held))
            waiting.append(loaded.record(kind, name, log_index, value))
            if len(waiting) >= LOAD_BATCH_ROWS:
                loaded.rows.add_records(waiting)
                waiting.clear()
        loaded.rows.add_records(waiting)
        return loaded

    def _read_log(self) -> list[Entry]:
        entries = []
        for log_index, value in self.db.execute("SELECT place, value FROM log ORDER BY place"):
            self._log[log_index] = _row_checksum(b"", b"", log_index, value)
            entries.append(Entry(log_index, msgspec.json.decode(value, type=tuple[Row, ...])))
        self._checksum += sum(self._log.values())
        return entries

    def _get(self, name: str, kind: Any) -> Any:
        value = self._meta.get(name)
        return msgspec.json.decode(value, type=kind | None) if value is not None else None

    def write(self, stores: Iterable[Store]) -> None:
        """Writes all stores in one transaction, durable on return.  Raises sqlite3.Error if it can't."""
        change = _Transaction(self.db.execute, self._meta.copy(), self._checksum, self._log.copy())
        execute = self.db.execute
        execute("BEGIN IMMEDIATE")
        try:
            if self._format < FORMAT_VERSION:
                self._upgrade_format()
            for store in stores:
                change.apply(store)
            text = change.meta_with_tally(self._commits + 1)
            execute("INSERT OR REPLACE INTO meta VALUES ('state', ?)", (b"%08x%b" % (crc32(text), text),))
            execute("COMMIT")
        except BaseException as error:
            if self.db.in_transaction:
                execute("ROLLBACK")
            if isinstance(error, sqlite3.Error) and _is_disk_full(error):
                _free_space(self.path)
            raise
        self._meta, self._format = change.meta, FORMAT_VERSION
        self._commits, self._checksum, self._log = self._commits + 1, change.checksum, change.log
        self._write_tally()

    def _upgrade_format(self) -> None:
        execute = self.db.execute
        execute("DELETE FROM meta")
        execute("INSERT INTO meta VALUES ('form', ?)", (msgspec.json.encode(FORMAT_VERSION),))
        if self._format:  # else the tables have just been created
            self.db.create_function("bucket_of", 1, lambda name: crc32(name) % BUCKETS, deterministic=True)
            execute("ALTER TABLE rows RENAME TO rows_before")
            execute(ROWS_TABLE)
            execute(
                "INSERT INTO rows SELECT bucket_of(CAST(name AS BLOB)), kind, name, place, value"
                " FROM rows_before ORDER BY 1, 2, 3"
            )
            execute("DROP TABLE rows_before")
            execute(LOG_TABLE)

    # --- the tally file: the number of commits

    def _last_tally(self, incarnation: str) -> int:
        """The number of commits in the tally file; 0 if there is none of this incarnation."""
        try:
            data = self.path.with_name(TALLY_NAME).read_bytes()
        except FileNotFoundError:
            return 0
        total, text = data[:8], data[8:].rstrip(b"\0")
        if total != b"%08x" % crc32(text):
            return 0  # torn by a power loss
        tally: tuple[str, int] = msgspec.json.decode(text, type=tuple[str, int])
        return tally[1] if tally[0] == incarnation else 0

    def _write_tally(self) -> None:
        """Writes the tally file.  A failure is ignored: only this additional check is lost."""
        text = msgspec.json.encode((self._meta["inc"], self._commits))
        with contextlib.suppress(OSError):
            if self._tally_fd is None:
                self._tally_fd = os.open(self.path.with_name(TALLY_NAME), os.O_RDWR | os.O_CREAT, 0o644)
            os.pwrite(self._tally_fd, (b"%08x%b" % (crc32(text), text)).ljust(64, b"\0"), 0)

    def close(self) -> None:
        """Closes the database and the tally file."""
        self.db.close()
        if self._tally_fd is not None:
            os.close(self._tally_fd)
            self._tally_fd = None


class _Transaction:
    """The changes of one commit; `meta`, `checksum` and `log` are the values once it is on disk."""

    def __init__(
        self,
        execute: Callable[..., sqlite3.Cursor],
        meta: dict[str, msgspec.Raw],
        total: int,
        log: dict[int, int],
    ) -> None:
        self._execute, self.meta, self.checksum, self.log = execute, meta, total, log

    def apply(self, store: Store) -> None:
        """Executes one store; see `Store` for the order of its parts."""
        if store.drop_all:
            self._execute("DELETE FROM rows")
            self.checksum = sum(self.log.values())
        if store.drop_all or store.drop_entries:
            self._drop_entries(max(self.log, default=0))
        for name, meant in store.meta.items():
            self.meta[name] = msgspec.Raw(msgspec.json.encode(meant))
        for log_index, row in store.rows:
            self._row(log_index, *row)
        self._drop_entries(store.committed)
        for entry in store.entries:
            value = msgspec.json.encode(entry.rows)
            self._execute("INSERT INTO log VALUES (?, ?)", (entry.index, value))
            self.log[entry.index] = _row_checksum(b"", b"", entry.index, value)
            self.checksum += self.log[entry.index]

    def meta_with_tally(self, count: int) -> bytes:
        """The encoded `meta` with this number of commits and the checksum."""
        self.meta["tally"] = msgspec.Raw(msgspec.json.encode((count, self.checksum)))
        return msgspec.json.encode(self.meta)

    def _row(self, log_index: int, kind: str, name: str, value: Any) -> None:
        execute, key = self._execute, (bucket_of(name), kind, name)
        for old in execute(f"SELECT place, value FROM rows {THIS_ROW}", key).fetchall():
            self.checksum -= _row_checksum(kind.encode(), name.encode(), *old)
        if is_deletion(kind, value):
            execute(f"DELETE FROM rows {THIS_ROW}", key)
            return
        new = msgspec.json.encode(value)
        self.checksum += _row_checksum(kind.encode(), name.encode(), log_index, new)
        execute("INSERT OR REPLACE INTO rows VALUES (?, ?, ?, ?, ?)", (*key, log_index, new))

    def _drop_entries(self, index: int) -> None:
        """Deletes the entries up to this index."""
        gone = [log_index for log_index in self.log if log_index <= index]
        if gone:
            self._execute("DELETE FROM log WHERE place <= ?", (index,))
        for log_index in gone:
            self.checksum -= self.log.pop(log_index)


def _row_checksum(kind: bytes, name: bytes, log_index: int, value: bytes) -> int:
    return crc32(value, crc32(b"%b\0%b\0%d\0" % (kind, name, log_index)))


def _check_header(path: Path) -> None:
    """Checks the file header: sqlite would treat an empty file as new, and can't write other versions."""
    with path.open("rb") as file:
        header = file.read(20)
    if header[:16] != b"SQLite format 3\0" or header[18:] not in (b"\1\1", b"\2\2"):
        raise DamagedFile("it does not begin as a file of sqlite" if header else "it is empty")


# --- the folder


def _set_damaged_aside(path: Path) -> None:
    """Renames a damaged database and its log.  Each step is synced, so that neither file is ever found under
    its old name next to a new other one."""
    folder = path.parent
    os.replace(path, folder / DAMAGED_NAME)
    _sync_folder(folder)
    wal, stored = folder / f"{DATABASE_NAME}-wal", folder / f"{DAMAGED_NAME}-wal"
    stored.unlink(missing_ok=True)
    if wal.exists():
        os.replace(wal, stored)
    _sync_folder(folder)


def _free_space(path: Path) -> None:
    """Truncates the damaged database that was set aside when the disk is full; its name stays."""
    for stored in (path.with_name(DAMAGED_NAME), path.with_name(f"{DAMAGED_NAME}-wal")):
        with contextlib.suppress(OSError):
            if stored.stat().st_size:
                os.truncate(stored, 0)
                log.warning("store: the disk is full: truncated %s", stored)


def _sync_folder(folder: Path) -> None:
    """Makes renames durable: a power loss can otherwise lose new names or bring back old ones."""
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)


# --- asynchronous access


class AsyncDisk(Protocol):
    """A disk used from the event loop: one call at a time, none of which blocks the loop."""

    async def open(self, initial_start: bool) -> StoredState:
        """Opens the disk and reads it.  Raises the errors of `open_disk`, some of which can be retried."""

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        """Writes in one transaction; the future completes when it is durable, or with the error."""


class ThreadedDisk:
    """The disk of a folder, accessed by a thread of its own."""

    def __init__(self, folder: str) -> None:
        self._folder, self._threads = folder, ThreadPoolExecutor(1)
        self._disk: Disk | None = None

    async def open(self, initial_start: bool) -> StoredState:
        loop = asyncio.get_running_loop()
        self._disk, stored = await loop.run_in_executor(self._threads, open_disk, self._folder, initial_start)
        return stored

    def write(self, stores: list[Store]) -> asyncio.Future[None]:
        assert self._disk is not None
        return asyncio.get_running_loop().run_in_executor(self._threads, self._disk.write, stores)
