"""What a copy, and the entries that are not committed, look like on a disk after a restart."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from zlib import crc32

import msgspec
import pytest
from test_disk import VIEW, killed, reopened

from brackengate.control import transfer
from brackengate.control.actions import Store
from brackengate.control.learning import Learner, keep_committed, take_piece
from brackengate.control.log import ReplicaLog
from brackengate.control.recent import RecentEntries
from brackengate.control.replica import FIRST, Replica, StoredState
from brackengate.control.rows import KEY, CommittedRows
from brackengate.control.store import NAME, open_disk
from brackengate.control.transfer import COMPLETE, next_piece
from brackengate.protocol.messages import Entry

ROWS = 300
SENT = CommittedRows.of((KEY, f"k{n}", n, ["g", str(n)]) for n in range(1, ROWS + 1))


def entry(index: int, key: str, value: list[str] | None) -> Entry:
    return Entry(index, ((KEY, key, value),))


def stores(learner: Learner, log: ReplicaLog) -> Iterator[Store]:
    """All that a copy writes, one piece after the other."""
    recent = RecentEntries(10, 1_000, start=ROWS)
    piece = None
    while piece is None or piece.total is None:
        request = learner.next_request(["a"], 10**6)
        assert request is not None
        piece = next_piece(SENT, recent, ROWS, request)
        assert piece is not None and learner.answered("a", piece)
        store = take_piece(log, learner, piece)
        assert store is not None
        yield store
        learner.storing = 0


def found(kept: StoredState) -> tuple[int, int, int]:
    return kept.bucket, kept.snapshot_epoch, len(list(kept.rows))


@pytest.fixture
def older(tmp_path: Path) -> Path:
    """The disk of a member that was away: it holds a state of long ago, and an entry that was lost."""
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), first=True)
    rows = [(n, (KEY, f"old {n}", ["g", "1"])) for n in range(1, 40)]
    disk.write([Store({"place": 40, "base": 39, "lineage": 1, "view": VIEW}, rows)])
    disk.write([Store(entries=[entry(40, "lost", ["g", "1"])])])
    disk.close()
    return folder


def test_no_moment_of_a_copy_looks_complete_and_nothing_of_before_is_left(
    older: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Power is lost after each piece, and within the write of each."""
    monkeypatch.setattr(transfer, "PIECE_ROWS", 40)
    disk, kept = open_disk(str(older), first=True)
    log, learner = ReplicaLog(kept.index), Learner()
    log.load(kept.rows, kept.entries, kept.base)
    disk.write([keep_committed(log, learner)])
    learner.storing = 0
    seen = [found(reopened(killed(older)))]
    assert seen == [(COMPLETE, 0, 39)]
    for store in stores(learner, log):
        wal = older / f"{NAME}-wal"
        before = wal.stat().st_size
        disk.write([store])
        held = found(reopened(killed(older)))
        assert held == (learner.position.bucket, 0, log.state.rows.count)
        torn = killed(older)
        if wal.stat().st_size > before:
            os.truncate(torn / f"{NAME}-wal", wal.stat().st_size - 100)
            (torn / "lighthouse.tally").unlink()
            assert found(reopened(torn)) == seen[-1]
        seen.append(held)
    assert [bucket for bucket, _, _ in seen[1:-1]] == sorted({bucket for bucket, _, _ in seen[1:-1]})
    assert len(seen) > 7 and seen[-1] == (COMPLETE, 0, ROWS)
    assert max(bucket for bucket, _, _ in seen[1:-1]) < COMPLETE
    names = [name for _, name, _, _ in reopened(killed(older)).rows]
    assert "lost" not in names and not any(name.startswith("old") for name in names)
    disk.close()


def test_a_disk_that_is_full_in_the_middle_of_a_copy_keeps_the_piece_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 100)
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), first=True)
    log, learner = ReplicaLog(0), Learner()
    written = 0
    for store in stores(learner, log):
        disk.db.execute("PRAGMA max_page_count=1")  # sqlite takes the number of pages in use
        with pytest.raises(sqlite3.OperationalError, match="full"):
            disk.write([Store(rows=[(n, (KEY, f"fill {n}", ["g"] * 99)) for n in range(400)]), store])
        assert len(list(reopened(killed(folder)).rows)) == written
        disk.db.execute("PRAGMA max_page_count=10000")
        disk.write([store])  # the same one again, as the carrier does
        written = log.state.rows.count
        assert found(reopened(killed(folder))) == (learner.position.bucket, 0, written)
    assert written == ROWS
    disk.close()


def test_entries_that_are_not_committed_are_kept_beside_the_rows(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), first=True)
    log = ReplicaLog(0)
    log.load((), (), 0)
    for one in (entry(1, "a", ["g", "1"]), entry(2, "b", ["g", "1"]), entry(3, "a", None)):
        log.take(one)
        disk.write([log.store([one])])
    log.commit(2)
    log.take(entry(4, "c", ["g", "1"]))
    disk.write([log.store([entry(4, "c", ["g", "1"])])])
    kept = open_disk(str(killed(folder)), first=True)[1]
    assert (kept.index, kept.base) == (4, 2)
    assert sorted(name for _, name, _, _ in kept.rows) == ["a", "b"]
    assert list(kept.entries) == [entry(3, "a", None), entry(4, "c", ["g", "1"])]
    again = ReplicaLog(kept.index)
    again.load(kept.rows, kept.entries, kept.base)
    assert sorted(name for _, name in again.rows) == ["b", "c"]
    log.commit(4)
    disk.write([log.fold()])
    kept = open_disk(str(killed(folder)), first=True)[1]
    assert (kept.index, kept.base, list(kept.entries)) == (4, 4, [])
    assert sorted(name for _, name, _, _ in kept.rows) == ["b", "c"]
    disk.close()


def test_entries_that_a_replica_drops_do_not_come_back(older: Path) -> None:
    """Another entry stands under their index by now."""
    disk, kept = open_disk(str(older), first=True)
    log, learner = ReplicaLog(kept.index), Learner()
    log.load(kept.rows, kept.entries, kept.base)
    disk.write([keep_committed(log, learner)])
    assert list(open_disk(str(killed(older)), first=True)[1].entries) == []
    log.take(entry(40, "found", ["g", "2"]))
    disk.write([log.store([entry(40, "found", ["g", "2"])])])
    kept = open_disk(str(killed(older)), first=True)[1]
    assert (kept.index, kept.base, list(kept.entries)) == (40, 39, [entry(40, "found", ["g", "2"])])
    disk.close()


def test_an_entry_that_is_spoilt_is_found(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), first=True)
    disk.write([Store({"place": 1, "base": 0}, entries=[entry(1, "key one", ["gate", "attempt 9"])])])
    disk.close()
    data = (folder / NAME).read_bytes()
    assert b"attempt 9" in data
    (folder / NAME).write_bytes(data.replace(b"attempt 9", b"attempt 8"))
    kept = reopened(folder)
    assert kept.incarnation != FIRST and not list(kept.entries)
    assert "the sum over its 0 rows" in caplog.text


def form_2(folder: Path) -> None:
    """As the program before wrote it: rows are stored with their entry, committed or not."""
    db = sqlite3.connect(folder / NAME, isolation_level=None)
    db.execute("PRAGMA journal_mode=WAL")
    db.execute("CREATE TABLE meta (name TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID")
    db.execute(
        "CREATE TABLE rows (kind TEXT, name TEXT, place INTEGER, value BLOB,"
        " PRIMARY KEY (kind, name)) WITHOUT ROWID"
    )
    total = 0
    for n in range(1, 30):
        value = msgspec.json.encode(["g", "1"])
        total += crc32(value, crc32(b"key\0k%d\0%d\0" % (n, n)))
        db.execute("INSERT INTO rows VALUES ('key', ?, ?, ?)", (f"k{n}", n, value))
    meta = {"inc": FIRST, "place": 29, "lineage": 1, "view": VIEW, "tally": (7, total)}
    text = msgspec.json.encode(meta)
    db.execute("INSERT INTO meta VALUES ('form', '2'), ('state', ?)", (b"%08x%b" % (crc32(text), text),))
    db.close()


def test_rows_of_a_file_of_the_form_before_count_as_committed_once_that_is_heard(tmp_path: Path) -> None:
    form_2(tmp_path)
    disk, kept = open_disk(str(tmp_path), first=False)
    disk.close()
    assert (kept.index, kept.base, len(list(kept.rows))) == (29, None, 29)
    disk, kept = open_disk(str(killed(tmp_path)), first=False)  # it is of this form by now
    held = ReplicaLog(kept.index)
    held.load(kept.rows, kept.entries, kept.base)
    disk.write([held.fold()])
    disk.close()
    disk, kept = open_disk(str(tmp_path.with_name("killed")), first=False)
    disk.close()
    assert (kept.index, kept.base, len(list(kept.rows))) == (29, None, 29)

    def begun() -> Replica:
        replica = Replica("a:1", "", kept, ["a:1"], False, 2, 1_000, 0)
        replica.start(0)
        return replica

    member = begun()
    assert member.chain.has_snapshot and not member.chain.held.firm
    keep_committed(member.chain.held, member.chain.learner)  # it loses its membership before it hears
    assert member.chain.learner.position == transfer.NOTHING
    member = begun()
    member.chain.held.commit(29)
    keep_committed(member.chain.held, member.chain.learner)
    assert member.chain.learner.position == transfer.SnapshotPosition(COMPLETE, 29)
