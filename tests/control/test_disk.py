"""The state on disk: what a damaged file, a full disk and other programs' forms lead to."""

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
from brackengate.control.replica import FIRST, StoredState
from brackengate.control.role import ControlReplica
from brackengate.control.store import ASIDE, NAME, TALLY, Disk, NewerForm, damaged, open_disk
from brackengate.protocol.messages import Member, View
from brackengate.protocol.settings import parse

VIEW = View(2, (Member("a:1", FIRST, 1),))
OTHERS = (f"{NAME}-wal", ASIDE, f"{ASIDE}-wal")


def rows(first: int, last: int) -> Store:
    held = [(n, ("key", f"k{n}", ["gate", f"attempt {n}"])) for n in range(first, last)]
    return Store({"place": last - 1}, held)


def killed(folder: Path, name: str = "killed") -> Path:
    """The files as the death of a process leaves them: the log is not merged into the file."""
    there = folder.with_name(name)
    shutil.rmtree(there, ignore_errors=True)
    shutil.copytree(folder, there)
    return there


@pytest.fixture
def served(tmp_path: Path) -> Path:
    """A member that has served, seen a restart, and promised last."""
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), first=True)
    disk.write([Store({"view": VIEW, "lineage": 1}), rows(1, 60)])
    disk.close()  # merged into the file
    disk, _ = open_disk(str(folder), first=True)
    disk.write([rows(60, 70), Store(rows=[(70, ("key", "k5", None))])])
    disk.write([Store({"promised": (7, "b:1")})])
    there = killed(folder, "served")
    disk.close()
    return there


def reopened(folder: Path) -> StoredState:
    """It is usable too: what is written now is found next time."""
    disk, kept = open_disk(str(folder), first=True)
    try:
        disk.write([Store({"place": 500})])
    finally:
        disk.close()
    disk, again = open_disk(str(folder), first=True)
    disk.close()
    assert (again.incarnation, again.promised, again.index) == (kept.incarnation, kept.promised, 500)
    return kept


def state(kept: StoredState) -> tuple[object, ...]:
    return kept.incarnation, kept.view, kept.promised, kept.index, sorted(kept.rows)


def is_new_life(kept: StoredState) -> bool:
    """As of a lost disk: no vote, no index, and the very first start is not claimed either."""
    return kept.incarnation != FIRST and state(kept)[1:] == (None, (0, ""), 0, [])


def test_what_was_written_is_read_after_a_kill(served: Path) -> None:
    kept = reopened(served)
    assert (kept.incarnation, kept.view, kept.promised, kept.index) == (FIRST, VIEW, (7, "b:1"), 69)
    assert [row[1] for row in sorted(kept.rows, key=lambda row: row[2])] == [
        f"k{n}" for n in range(1, 70) if n != 5
    ]
    assert not (served / ASIDE).exists()


@pytest.mark.parametrize("which", [NAME, f"{NAME}-wal"])
def test_no_flipped_byte_is_believed(served: Path, which: str) -> None:
    """It has what it had, or a new life: never an older promise, never fewer rows."""
    whole = state(open_disk(str(killed(served)), first=True)[1])
    size = (served / which).stat().st_size
    found = 0
    for at in sorted({*range(0, 100, 3), 18, 19, 20, *range(100, size, 307)}):
        folder = killed(served)
        with (folder / which).open("r+b") as file:
            file.seek(at)
            byte = file.read(1)
            file.seek(at)
            file.write(bytes([byte[0] ^ 0x5A]))
        kept = reopened(folder)
        assert state(kept) == whole or is_new_life(kept), at
        found += is_new_life(kept)
    assert found > 15


@pytest.mark.parametrize(
    ("value", "other", "found"),
    [
        (b'[7,"b:1"]', b'[6,"b:1"]', "the sum over meta"),
        (b"attempt 9", b"attempt 8", "the sum over its 68 rows"),
    ],
)
def test_a_value_that_reads_well_and_is_another_is_found(
    served: Path, caplog: pytest.LogCaptureFixture, value: bytes, other: bytes, found: str
) -> None:
    """An older ballot, a claim of another attempt: in a file without a log, which sqlite does not
    check."""
    open_disk(str(served), first=True)[0].close()
    data = (served / NAME).read_bytes()
    assert value in data
    (served / NAME).write_bytes(data.replace(value, other))
    assert is_new_life(reopened(served))
    assert found in caplog.text


@pytest.mark.parametrize("which", [NAME, f"{NAME}-wal"])
def test_no_file_that_was_cut_short_is_believed(served: Path, which: str) -> None:
    whole = state(open_disk(str(killed(served)), first=True)[1])
    for length in (0, 1, 100, 4096, 4500, (served / which).stat().st_size - 1):
        folder = killed(served)
        os.truncate(folder / which, length)
        kept = reopened(folder)  # pages that the log holds too are not missed
        assert is_new_life(kept) or (length >= 4096 and which == NAME and state(kept) == whole), length


def test_a_log_that_is_taken_away_costs_the_promise_and_a_closed_one_does_not(served: Path) -> None:
    folder = killed(served)
    connection = sqlite3.connect(folder / NAME)  # as an operator who looks into it
    connection.execute("SELECT * FROM meta").fetchall()
    connection.close()
    assert not (folder / f"{NAME}-wal").exists()
    assert reopened(folder).promised == (7, "b:1")
    folder = killed(served)
    (folder / f"{NAME}-wal").unlink()
    assert is_new_life(reopened(folder))


def test_a_log_torn_by_a_loss_of_power_is_no_damage(served: Path) -> None:
    """The last commit was under way: nothing was said for it, and the small file is of some time before."""
    told = (served / TALLY).read_bytes()
    disk, before = open_disk(str(served), first=True)
    disk.write([rows(70, 90)])
    for torn in (b"", told[:20], told):
        folder = killed(served)
        wal = folder / f"{NAME}-wal"
        os.truncate(wal, wal.stat().st_size - 300)
        (folder / TALLY).write_bytes(torn)
        assert state(reopened(folder)) == state(before)
    disk.close()


def test_the_damaged_file_is_put_aside_and_named(served: Path, caplog: pytest.LogCaptureFixture) -> None:
    for spoilt in (b"", b"spoilt"):  # the second one takes the place of the first
        (served / NAME).write_bytes(spoilt)
        assert is_new_life(reopened(served))
        assert (served / ASIDE).read_bytes() == spoilt
    assert f"file {served / NAME}: damaged: it is empty" in caplog.text
    assert f"file {served / NAME}: damaged: it does not begin as a file of sqlite" in caplog.text
    assert {file.name for file in served.iterdir()} <= {NAME, TALLY, *OTHERS}


def test_a_start_cut_off_anywhere_on_its_way_to_a_new_life_is_no_first_start(
    served: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process dies at each rename, removal and sync in turn."""

    class Killed(BaseException):
        pass

    (served / NAME).write_bytes(b"")
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
                open_disk(str(folder), first=True)[0].close()
                done = True
            except Killed:
                pass
        assert is_new_life(reopened(folder)), calls
    assert calls[1] > 5


def test_a_file_of_the_form_before_is_taken_over_in_place(tmp_path: Path) -> None:
    """As the program before wrote it."""
    db = sqlite3.connect(tmp_path / NAME, isolation_level=None)
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
    disk, kept = open_disk(str(folder), first=False)
    assert (kept.incarnation, kept.promised, kept.index) == (FIRST, (3, "c:1"), 9)
    assert list(kept.rows) == [("key", "k9", 9, ["gate", "attempt"])]
    after = killed(folder, "after")  # and it is on the disk at once
    disk.close()
    held = sqlite3.connect(after / NAME)
    assert held.execute("SELECT value FROM meta WHERE name = 'form'").fetchone() == (b"3",)
    held.execute("DELETE FROM rows")
    held.commit()
    held.close()
    assert is_new_life(reopened(after))


def test_a_full_disk_is_no_damage_and_what_was_put_aside_gives_way(tmp_path: Path) -> None:
    disk, _ = open_disk(str(tmp_path), first=True)
    disk.write([rows(1, 50)])
    (tmp_path / ASIDE).write_bytes(bytes(9000))
    disk.db.execute("PRAGMA max_page_count=1")  # sqlite takes the number of pages in use
    with pytest.raises(sqlite3.OperationalError, match="full"):
        disk.write([rows(50, 400)])
    assert (tmp_path / ASIDE).stat().st_size == 0
    disk.db.execute("PRAGMA max_page_count=10000")
    disk.write([rows(50, 400)])
    folder = killed(tmp_path)
    disk.close()
    assert len(list(reopened(folder).rows)) == 399


@pytest.mark.parametrize("spoilt", [False, True])
def test_a_disk_that_is_full_while_it_opens_is_tried_again(
    served: Path, monkeypatch: pytest.MonkeyPatch, spoilt: bool
) -> None:
    """Also where a new file has to be begun: what was put aside makes room for it."""
    whole = state(open_disk(str(killed(served)), first=True)[1])
    if spoilt:
        (served / NAME).write_bytes(b"spoilt")
    real = Disk.settle

    def full(self: Disk, journal: str) -> None:
        self.db.execute("PRAGMA max_page_count=1")
        self.db.execute("CREATE TABLE more (a)")

    monkeypatch.setattr(Disk, "settle", full)
    with pytest.raises(sqlite3.OperationalError, match="full"):
        open_disk(str(served), first=True)
    monkeypatch.setattr(Disk, "settle", real)
    assert [file.stat().st_size for file in served.glob(f"{ASIDE}*")] == [0, 0] * spoilt
    kept = reopened(served)
    assert is_new_life(kept) if spoilt else state(kept) == whole


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


def test_one_that_waits_for_its_disk_can_be_told_to_stop(tmp_path: Path) -> None:
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


def test_a_file_that_breaks_while_in_use_ends_the_process_and_the_next_start_mends_it(
    served: Path, caplog: pytest.LogCaptureFixture
) -> None:
    disk, _ = open_disk(str(served), first=True)
    disk.db.execute("PRAGMA cache_size=0")
    disk.db.execute("PRAGMA shrink_memory")
    for name in (NAME, f"{NAME}-wal"):
        (served / name).write_bytes(os.urandom((served / name).stat().st_size))
    with pytest.raises(sqlite3.DatabaseError) as broken:
        disk.write([rows(100, 200)])
    assert damaged(broken.value)

    async def told() -> int:
        lighthouse = ControlReplica(parse(SETTINGS % served))
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.set_exception(broken.value)
        lighthouse._written([], done)
        async with asyncio.timeout(10):
            return await lighthouse._left

    assert asyncio.run(told()) == 1
    assert "; this ends here, and the next start" in caplog.text
    assert is_new_life(reopened(killed(served)))
    disk.close()


def test_a_newer_programs_file_is_refused_in_a_sentence_and_left_alone(served: Path, tmp_path: Path) -> None:
    disk, _ = open_disk(str(served), first=True)
    disk.db.execute("UPDATE meta SET value = '4' WHERE name = 'form'")
    folder = killed(served)
    disk.close()
    with pytest.raises(NewerForm):
        open_disk(str(killed(served, "other")), first=True)
    process = lighthouse(folder, tmp_path / "local.toml")
    _, told = process.communicate(timeout=30)
    said = f"brackengate: {folder / NAME}: written by a newer program (form 4, this one reads 3)\n"
    assert (process.returncode, told) == (2, said)
    assert not (folder / ASIDE).exists()
