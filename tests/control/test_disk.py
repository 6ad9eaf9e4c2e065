"""The database on disk: damaged files, full disks, and formats of other versions."""

from __future__ import annotations

import asyncio
import os
import shutil
import sqlite3
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from brackengate.control.actions import Store
from brackengate.control.replica import FIRST_INCARNATION, StoredState
from brackengate.control.role import ControlReplica
from brackengate.control.store import (
    DAMAGED_NAME,
    DATABASE_NAME,
    TALLY_NAME,
    Disk,
    NewerFormat,
    is_damage,
    open_disk,
)
from brackengate.protocol.messages import Member, View
from brackengate.protocol.settings import parse

VIEW = View(2, (Member("a:1", FIRST_INCARNATION, 1),))
OTHERS = (f"{DATABASE_NAME}-wal", DAMAGED_NAME, f"{DAMAGED_NAME}-wal")


def rows(first: int, last: int) -> Store:
    held = [(n, ("key", f"k{n}", ["gate", f"attempt {n}"])) for n in range(first, last)]
    return Store({"place": last - 1}, held)


def killed(folder: Path, name: str = "killed") -> Path:
    """A copy of the files as a killed process leaves them, with the log not merged into the database."""
    there = folder.with_name(name)
    shutil.rmtree(there, ignore_errors=True)
    shutil.copytree(folder, there)
    return there


@pytest.fixture
def served(tmp_path: Path) -> Path:
    """The disk of a member that has served, was restarted, and made a promise last."""
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), initial_start=True)
    disk.write([Store({"view": VIEW, "lineage": 1}), rows(1, 60)])
    disk.close()  # merges the log into the database
    disk, _ = open_disk(str(folder), initial_start=True)
    disk.write([rows(60, 70), Store(rows=[(70, ("key", "k5", None))])])
    disk.write([Store({"promised": (7, "b:1")})])
    there = killed(folder, "served")
    disk.close()
    return there


def reopened(folder: Path) -> StoredState:
    """Opens the disk and checks that it is usable: new writes are found at the next start."""
    disk, stored = open_disk(str(folder), initial_start=True)
    try:
        disk.write([Store({"place": 500})])
    finally:
        disk.close()
    disk, again = open_disk(str(folder), initial_start=True)
    disk.close()
    assert (again.incarnation, again.promised, again.index) == (stored.incarnation, stored.promised, 500)
    return stored


def state(stored: StoredState) -> tuple[object, ...]:
    return stored.incarnation, stored.view, stored.promised, stored.index, sorted(stored.rows)


def is_new_incarnation(stored: StoredState) -> bool:
    """Whether it looks like a lost disk: no vote, no index, and not the first incarnation."""
    return stored.incarnation != FIRST_INCARNATION and state(stored)[1:] == (None, (0, ""), 0, [])


def test_what_was_written_is_read_after_a_kill(served: Path) -> None:
    stored = reopened(served)
    assert (stored.incarnation, stored.view, stored.promised, stored.index) == (
        FIRST_INCARNATION,
        VIEW,
        (7, "b:1"),
        69,
    )
    assert [row[1] for row in sorted(stored.rows, key=lambda row: row[2])] == [
        f"k{n}" for n in range(1, 70) if n != 5
    ]
    assert not (served / DAMAGED_NAME).exists()


@pytest.mark.parametrize("which", [DATABASE_NAME, f"{DATABASE_NAME}-wal"])
def test_a_flipped_byte_is_never_believed(served: Path, which: str) -> None:
    """The state is complete or a new incarnation: never an older promise, never fewer rows."""
    whole = state(open_disk(str(killed(served)), initial_start=True)[1])
    size = (served / which).stat().st_size
    found = 0
    for at in sorted({*range(0, 100, 3), 18, 19, 20, *range(100, size, 307)}):
        folder = killed(served)
        with (folder / which).open("r+b") as file:
            file.seek(at)
            byte = file.read(1)
            file.seek(at)
            file.write(bytes([byte[0] ^ 0x5A]))
        stored = reopened(folder)
        assert state(stored) == whole or is_new_incarnation(stored), at
        found += is_new_incarnation(stored)
    assert found > 15


@pytest.mark.parametrize(
    ("value", "other", "found"),
    [
        (b'[7,"b:1"]', b'[6,"b:1"]', "the checksum over meta"),
        (b"attempt 9", b"attempt 8", "the checksum over its 68 rows"),
    ],
)
def test_a_changed_value_that_is_valid_is_found(
    served: Path, caplog: pytest.LogCaptureFixture, value: bytes, other: bytes, found: str
) -> None:
    """An older ballot, a claim of another attempt: in a database without a log, which sqlite does not
    check."""
    open_disk(str(served), initial_start=True)[0].close()
    data = (served / DATABASE_NAME).read_bytes()
    assert value in data
    (served / DATABASE_NAME).write_bytes(data.replace(value, other))
    assert is_new_incarnation(reopened(served))
    assert found in caplog.text


@pytest.mark.parametrize("which", [DATABASE_NAME, f"{DATABASE_NAME}-wal"])
def test_a_truncated_file_is_never_believed(served: Path, which: str) -> None:
    whole = state(open_disk(str(killed(served)), initial_start=True)[1])
    for length in (0, 1, 100, 4096, 4500, (served / which).stat().st_size - 1):
        folder = killed(served)
        os.truncate(folder / which, length)
        stored = reopened(folder)  # pages that are also in the log are restored
        assert is_new_incarnation(stored) or (
            length >= 4096 and which == DATABASE_NAME and state(stored) == whole
        ), length


def test_a_removed_log_counts_as_damage_unless_it_was_merged(served: Path) -> None:
    folder = killed(served)
    connection = sqlite3.connect(folder / DATABASE_NAME)  # as an operator may, who inspects it
    connection.execute("SELECT * FROM meta").fetchall()
    connection.close()
    assert not (folder / f"{DATABASE_NAME}-wal").exists()
    assert reopened(folder).promised == (7, "b:1")
    folder = killed(served)
    (folder / f"{DATABASE_NAME}-wal").unlink()
    assert is_new_incarnation(reopened(folder))


def test_a_log_torn_by_a_power_loss_is_no_damage(served: Path) -> None:
    """The last commit was in flight: nothing was sent after it, and the tally file is older."""
    told = (served / TALLY_NAME).read_bytes()
    disk, before = open_disk(str(served), initial_start=True)
    disk.write([rows(70, 90)])
    for torn in (b"", told[:20], told):
        folder = killed(served)
        wal = folder / f"{DATABASE_NAME}-wal"
        os.truncate(wal, wal.stat().st_size - 300)
        (folder / TALLY_NAME).write_bytes(torn)
        assert state(reopened(folder)) == state(before)
    disk.close()


def test_the_damaged_file_is_set_aside_and_logged(served: Path, caplog: pytest.LogCaptureFixture) -> None:
    for damaged_content in (b"", b"spoilt"):  # the second one replaces the first
        (served / DATABASE_NAME).write_bytes(damaged_content)
        assert is_new_incarnation(reopened(served))
        assert (served / DAMAGED_NAME).read_bytes() == damaged_content
    assert f"file {served / DATABASE_NAME}: damaged: it is empty" in caplog.text
    assert f"file {served / DATABASE_NAME}: damaged: it does not begin as a file of sqlite" in caplog.text
    assert {file.name for file in served.iterdir()} <= {DATABASE_NAME, TALLY_NAME, *OTHERS}


def test_an_interrupted_start_after_damage_is_never_taken_for_the_first_start(
    served: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process is killed at each rename, removal and sync in turn."""

    class Killed(BaseException):
        pass

    (served / DATABASE_NAME).write_bytes(b"")
    calls = [0, 0]

    def dying(real: object) -> object:
        def call(*arguments: object, **named: object) -> object:
            calls[0] += 1
            if calls[0] == calls[1]:
                raise Killed
            return real(*arguments, **named)  # type: ignore[operator]

        return call

    real = {name: getattr(os, name) for name in ("replace", "unlink", "fsync")}
    done = False
    while not done:
        calls[:] = [0, calls[1] + 1]
        folder = killed(served)
        with monkeypatch.context() as patch:
            for name, function in real.items():
                patch.setattr(os, name, dying(function))
            try:
                open_disk(str(folder), initial_start=True)[0].close()
                done = True
            except Killed:
                pass
        assert is_new_incarnation(reopened(folder)), calls
    assert calls[1] > 5


def test_a_file_of_an_older_format_is_upgraded_in_place(tmp_path: Path) -> None:
    """The database as an earlier version wrote it."""
    db = sqlite3.connect(tmp_path / DATABASE_NAME, isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL")
    db.execute("CREATE TABLE meta (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
    db.execute(
        "CREATE TABLE rows (kind TEXT, name TEXT, place INTEGER, value BLOB,"
        " PRIMARY KEY (kind, name)) WITHOUT ROWID"
    )
    meta = {"form": b"1", "inc": b'"first"', "place": b"9", "lineage": b"1", "promised": b'[3,"c:1"]',
            "view": msgspec.json.encode(VIEW)}  # fmt: skip
    db.executemany("INSERT INTO meta VALUES (?, ?)", meta.items())
    db.execute("INSERT INTO rows VALUES ('key', 'k9', 9, ?)", (b'["gate","attempt"]',))
    folder = killed(tmp_path, "before")
    db.close()
    disk, stored = open_disk(str(folder), initial_start=False)
    assert (stored.incarnation, stored.promised, stored.index) == (FIRST_INCARNATION, (3, "c:1"), 9)
    assert list(stored.rows) == [("key", "k9", 9, ["gate", "attempt"])]
    after = killed(folder, "after")  # the upgrade is on disk at once
    disk.close()
    held = sqlite3.connect(after / DATABASE_NAME)
    assert held.execute("SELECT value FROM meta WHERE name = 'form'").fetchone() == (b"3",)
    held.execute("DELETE FROM rows")
    held.commit()
    held.close()
    assert is_new_incarnation(reopened(after))


def test_a_full_disk_is_no_damage_and_truncates_the_file_that_was_set_aside(tmp_path: Path) -> None:
    disk, _ = open_disk(str(tmp_path), initial_start=True)
    disk.write([rows(1, 50)])
    (tmp_path / DAMAGED_NAME).write_bytes(bytes(9000))
    disk.db.execute("PRAGMA max_page_count=1")  # sqlite raises it to the number of pages in use
    with pytest.raises(sqlite3.OperationalError, match="full"):
        disk.write([rows(50, 400)])
    assert (tmp_path / DAMAGED_NAME).stat().st_size == 0
    disk.db.execute("PRAGMA max_page_count=10000")
    disk.write([rows(50, 400)])
    folder = killed(tmp_path)
    disk.close()
    assert len(list(reopened(folder).rows)) == 399


@pytest.mark.parametrize("is_damaged", [False, True])
def test_opening_a_full_disk_is_retried(
    served: Path, monkeypatch: pytest.MonkeyPatch, is_damaged: bool
) -> None:
    """Also if a new file has to be created: truncating the one set aside frees the space for it."""
    whole = state(open_disk(str(killed(served)), initial_start=True)[1])
    if is_damaged:
        (served / DATABASE_NAME).write_bytes(b"spoilt")
    real = Disk.set_pragmas

    def full(self: Disk, journal: str) -> None:
        self.db.execute("PRAGMA max_page_count=1")
        self.db.execute("CREATE TABLE more (a)")

    monkeypatch.setattr(Disk, "set_pragmas", full)
    with pytest.raises(sqlite3.OperationalError, match="full"):
        open_disk(str(served), initial_start=True)
    monkeypatch.setattr(Disk, "set_pragmas", real)
    assert [file.stat().st_size for file in served.glob(f"{DAMAGED_NAME}*")] == [0, 0] * is_damaged
    stored = reopened(served)
    assert is_new_incarnation(stored) if is_damaged else state(stored) == whole


SETTINGS = """
Ip = "127.0.0.1"
InternalPorts = [1, 2]
InitialStart = true
DataDir = "%s"
[Listen]
Control = "127.0.0.1:1"
"""


def lighthouse(folder: Path, settings: Path) -> subprocess.Popen[str]:
    settings.write_text(SETTINGS % folder)
    command = [sys.executable, "-m", "brackengate.mesh", "lighthouse", "--settings", str(settings)]
    return subprocess.Popen(command, stderr=subprocess.PIPE, text=True)


def test_a_replica_that_waits_for_its_disk_can_be_stopped(tmp_path: Path) -> None:
    (tmp_path / "no folder").write_bytes(b"")
    process = lighthouse(tmp_path / "no folder", tmp_path / "local.toml")
    try:
        assert process.stderr is not None
        assert "store: step open, folder" in process.stderr.readline()
        process.terminate()
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.communicate()


def test_a_file_damaged_while_in_use_ends_the_process_and_the_next_start_recovers(
    served: Path, caplog: pytest.LogCaptureFixture
) -> None:
    disk, _ = open_disk(str(served), initial_start=True)
    disk.db.execute("PRAGMA cache_size=0")
    disk.db.execute("PRAGMA shrink_memory")
    for name in (DATABASE_NAME, f"{DATABASE_NAME}-wal"):
        (served / name).write_bytes(os.urandom((served / name).stat().st_size))
    with pytest.raises(sqlite3.DatabaseError) as broken:
        disk.write([rows(100, 200)])
    assert is_damage(broken.value)

    async def told() -> int:
        lighthouse = ControlReplica(parse(SETTINGS % served))
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.set_exception(broken.value)
        lighthouse._written([], done)
        async with asyncio.timeout(10):
            return await lighthouse._stopped

    assert asyncio.run(told()) == 1
    assert "; this ends here, and the next start" in caplog.text
    assert is_new_incarnation(reopened(killed(served)))
    disk.close()


def test_a_newer_programs_file_is_refused_and_not_changed(served: Path, tmp_path: Path) -> None:
    disk, _ = open_disk(str(served), initial_start=True)
    disk.db.execute("UPDATE meta SET value = '4' WHERE name = 'form'")
    folder = killed(served)
    disk.close()
    with pytest.raises(NewerFormat):
        open_disk(str(killed(served, "other")), initial_start=True)
    process = lighthouse(folder, tmp_path / "local.toml")
    _, told = process.communicate(timeout=30)
    said = f"brackengate: {folder / DATABASE_NAME}: written by a newer program (form 4, this one reads 3)\n"
    assert (process.returncode, told) == (2, said)
    assert not (folder / DAMAGED_NAME).exists()
