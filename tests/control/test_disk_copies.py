"""Partial copies and uncommitted entries on disk after a restart."""

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
from brackengate.control.learning import Learner, apply_piece, restart_from_committed
from brackengate.control.log import ReplicaLog
from brackengate.control.recent import RecentEntries
from brackengate.control.replica import FIRST_INCARNATION, Replica, StoredState
from brackengate.control.rows import KEY_KIND, CommittedRows
from brackengate.control.store import DATABASE_NAME, open_disk
from brackengate.control.transfer import COMPLETE_BUCKET, next_piece
from brackengate.protocol.messages import Entry, Message, SnapshotPiece, SnapshotRequest
from brackengate.proxy.snapshot_receiver import SnapshotReceiver

ROWS = 300
SENT = CommittedRows.of((KEY_KIND, f"k{n}", n, ["g", str(n)]) for n in range(1, ROWS + 1))


def entry(index: int, key: str, value: list[str] | None) -> Entry:
    return Entry(index, ((KEY_KIND, key, value),))


def stores(learner: Learner, log: ReplicaLog) -> Iterator[Store]:
    """The stores of a whole copy, one piece after the other."""
    recent = RecentEntries(10, 1_000, start=ROWS)
    piece = None
    while piece is None or piece.total is None:
        request = learner.next_request(["a"], 10**6)
        assert request is not None
        piece = next_piece(SENT, recent, ROWS, request)
        assert piece is not None and learner.accepts("a", piece)
        store = apply_piece(log, learner, piece)
        assert store is not None
        yield store
        learner.unstored_pieces = 0


def found(stored: StoredState) -> tuple[int, int, int]:
    return stored.copy_bucket, stored.snapshot_epoch, len(list(stored.rows))


@pytest.fixture
def older(tmp_path: Path) -> Path:
    """The disk of a member that was away: an old state, and an entry that was never committed."""
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), initial_start=True)
    rows = [(n, (KEY_KIND, f"old {n}", ["g", "1"])) for n in range(1, 40)]
    disk.write([Store({"place": 40, "base": 39, "lineage": 1, "view": VIEW}, rows)])
    disk.write([Store(entries=[entry(40, "lost", ["g", "1"])])])
    disk.close()
    return folder


def test_a_partial_copy_never_looks_complete_and_no_old_row_is_left(
    older: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Power is lost after each piece, and within the write of each."""
    monkeypatch.setattr(transfer, "PIECE_ROWS", 40)
    disk, stored = open_disk(str(older), initial_start=True)
    log, learner = ReplicaLog(stored.index), Learner()
    log.load(stored.rows, stored.entries, stored.base_index)
    disk.write([restart_from_committed(log, learner)])
    learner.unstored_pieces = 0
    seen = [found(reopened(killed(older)))]
    assert seen == [(COMPLETE_BUCKET, 0, 39)]
    for store in stores(learner, log):
        wal = older / f"{DATABASE_NAME}-wal"
        before = wal.stat().st_size
        disk.write([store])
        held = found(reopened(killed(older)))
        assert held == (learner.position.bucket, 0, log.state.rows.count)
        torn = killed(older)
        if wal.stat().st_size > before:
            os.truncate(torn / f"{DATABASE_NAME}-wal", wal.stat().st_size - 100)
            (torn / "lighthouse.tally").unlink()
            assert found(reopened(torn)) == seen[-1]
        seen.append(held)
    assert [bucket for bucket, _, _ in seen[1:-1]] == sorted({bucket for bucket, _, _ in seen[1:-1]})
    assert len(seen) > 7 and seen[-1] == (COMPLETE_BUCKET, 0, ROWS)
    assert max(bucket for bucket, _, _ in seen[1:-1]) < COMPLETE_BUCKET
    names = [name for _, name, _, _ in reopened(killed(older)).rows]
    assert "lost" not in names and not any(name.startswith("old") for name in names)
    disk.close()


def test_a_disk_that_is_full_in_the_middle_of_a_copy_keeps_the_piece_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 100)
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), initial_start=True)
    log, learner = ReplicaLog(0), Learner()
    written = 0
    for store in stores(learner, log):
        disk.db.execute("PRAGMA max_page_count=1")  # sqlite raises it to the number of pages in use
        with pytest.raises(sqlite3.OperationalError, match="full"):
            disk.write([Store(rows=[(n, (KEY_KIND, f"fill {n}", ["g"] * 99)) for n in range(400)]), store])
        assert len(list(reopened(killed(folder)).rows)) == written
        disk.db.execute("PRAGMA max_page_count=10000")
        disk.write([store])  # the same one again, as the process does
        written = log.state.rows.count
        assert found(reopened(killed(folder))) == (learner.position.bucket, 0, written)
    assert written == ROWS
    disk.close()


def test_uncommitted_entries_are_kept_next_to_the_rows(tmp_path: Path) -> None:
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), initial_start=True)
    log = ReplicaLog(0)
    log.load((), (), 0)
    for one in (entry(1, "a", ["g", "1"]), entry(2, "b", ["g", "1"]), entry(3, "a", None)):
        log.append(one)
        disk.write([log.store([one])])
    log.commit(2)
    log.append(entry(4, "c", ["g", "1"]))
    disk.write([log.store([entry(4, "c", ["g", "1"])])])
    stored = open_disk(str(killed(folder)), initial_start=True)[1]
    assert (stored.index, stored.base_index) == (4, 2)
    assert sorted(name for _, name, _, _ in stored.rows) == ["a", "b"]
    assert list(stored.entries) == [entry(3, "a", None), entry(4, "c", ["g", "1"])]
    again = ReplicaLog(stored.index)
    again.load(stored.rows, stored.entries, stored.base_index)
    assert sorted(name for _, name in again.rows) == ["b", "c"]
    log.commit(4)
    disk.write([log.flush()])
    stored = open_disk(str(killed(folder)), initial_start=True)[1]
    assert (stored.index, stored.base_index, list(stored.entries)) == (4, 4, [])
    assert sorted(name for _, name, _, _ in stored.rows) == ["b", "c"]
    disk.close()


def test_entries_that_a_replica_drops_do_not_come_back(older: Path) -> None:
    """Another entry may have their index by then."""
    disk, stored = open_disk(str(older), initial_start=True)
    log, learner = ReplicaLog(stored.index), Learner()
    log.load(stored.rows, stored.entries, stored.base_index)
    disk.write([restart_from_committed(log, learner)])
    assert list(open_disk(str(killed(older)), initial_start=True)[1].entries) == []
    log.append(entry(40, "found", ["g", "2"]))
    disk.write([log.store([entry(40, "found", ["g", "2"])])])
    stored = open_disk(str(killed(older)), initial_start=True)[1]
    assert (stored.index, stored.base_index, list(stored.entries)) == (
        40,
        39,
        [entry(40, "found", ["g", "2"])],
    )
    disk.close()


def test_a_corrupted_entry_is_found(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    folder = tmp_path / "data"
    disk, _ = open_disk(str(folder), initial_start=True)
    disk.write([Store({"place": 1, "base": 0}, entries=[entry(1, "key one", ["gate", "attempt 9"])])])
    disk.close()
    data = (folder / DATABASE_NAME).read_bytes()
    assert b"attempt 9" in data
    (folder / DATABASE_NAME).write_bytes(data.replace(b"attempt 9", b"attempt 8"))
    stored = reopened(folder)
    assert stored.incarnation != FIRST_INCARNATION and not list(stored.entries)
    assert "the checksum over its 0 rows" in caplog.text


def write_format_2(folder: Path) -> None:
    """A database of format 2: rows are stored with their entry, committed or not."""
    db = sqlite3.connect(folder / DATABASE_NAME, isolation_level=None)
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
    meta = {"inc": FIRST_INCARNATION, "place": 29, "lineage": 1, "view": VIEW, "tally": (7, total)}
    text = msgspec.json.encode(meta)
    db.execute("INSERT INTO meta VALUES ('form', '2'), ('state', ?)", (b"%08x%b" % (crc32(text), text),))
    db.close()


def test_rows_of_an_older_format_count_as_committed_once_their_index_is_known_to_be(tmp_path: Path) -> None:
    write_format_2(tmp_path)
    disk, stored = open_disk(str(tmp_path), initial_start=False)
    disk.close()
    assert (stored.index, stored.base_index, len(list(stored.rows))) == (29, None, 29)
    disk, stored = open_disk(str(killed(tmp_path)), initial_start=False)  # it has been upgraded
    held = ReplicaLog(stored.index)
    held.load(stored.rows, stored.entries, stored.base_index)
    disk.write([held.flush()])
    disk.close()
    disk, stored = open_disk(str(tmp_path.with_name("killed")), initial_start=False)
    disk.close()
    assert (stored.index, stored.base_index, len(list(stored.rows))) == (29, None, 29)

    def begun() -> Replica:
        replica = Replica("a:1", "", stored, ["a:1"], False, 2, 1_000, 0)
        replica.start(0)
        return replica

    member = begun()
    assert member.chain.has_snapshot and not member.chain.replica_log.rows_committed
    restart_from_committed(
        member.chain.replica_log, member.chain.learner
    )  # it loses its membership before the commit is known
    assert member.chain.learner.position == transfer.EMPTY_POSITION
    member = begun()
    member.chain.replica_log.commit(29)
    restart_from_committed(member.chain.replica_log, member.chain.learner)
    assert member.chain.learner.position == transfer.SnapshotPosition(COMPLETE_BUCKET, 29)


def test_rows_with_strange_names_survive_disk_and_copy(tmp_path: Path) -> None:
    """No letter and no length of an item's name is ruled out."""
    names = ["fare lookup", "", "-", "nul\0x", "line\nfeed", '"quoted"\\', "vožnja", "\N{SNOWMAN}" * 2_000]
    disk, _ = open_disk(str(tmp_path / "data"), initial_start=True)
    written = [(index, ("route", name, [index, "h", {"Name": name}])) for index, name in enumerate(names, 1)]
    disk.write([Store({"place": len(names), "base": len(names), "lineage": 1, "view": VIEW}, written)])
    disk.close()
    stored = reopened(tmp_path / "data")
    log = ReplicaLog(len(names))
    log.load(stored.rows, stored.entries, stored.base_index)
    assert [log.state.published["route", name][1][2]["Name"] for name in names] == names
    receiver, complete = SnapshotReceiver(), False
    while not complete:
        request = SnapshotRequest(1, receiver.position)
        piece = next_piece(log.state.public, log.recent_public, len(names), request)
        assert piece is not None
        sent: Message = msgspec.json.decode(msgspec.json.encode(piece), type=Message)
        assert isinstance(sent, SnapshotPiece)
        complete = receiver.receive(receiver.position, sent)
    assert sorted(name for _, name, _ in receiver.take_complete()[1]) == sorted(names)
