"""The last good version on disk: incomplete, foreign and damaged files; and differences of snapshots."""

from __future__ import annotations

import os

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackengate import files
from brackengate.installation.schema import HeaderMatch, Pool, Route, Upstream
from brackengate.snapshot.diff import compare, lines
from brackengate.snapshot.model import Snapshot, make
from brackengate.versions import disk

UPSTREAM = Upstream(name="u1", address="127.0.0.1:1", zone="a")
SNAPSHOT = make(
    {"p": Pool(upstream=(UPSTREAM,))}, [Route(name="r", header=(HeaderMatch(name="X-A"),), pool="p")]
)


def test_saved_version_round_trips():
    data = disk.pack("here", "7", 5, SNAPSHOT)
    assert disk.unpack(data, "here") == disk.SavedVersion("7", 5, SNAPSHOT)


COMPLETE_FILE = disk.pack("here", "7", 5, SNAPSHOT)


@given(st.integers(0, len(COMPLETE_FILE) - 1))
def test_truncated_file_is_rejected_at_every_length(length):
    with pytest.raises(disk.UnusableFile):
        disk.unpack(COMPLETE_FILE[:length], "here")


def test_truncated_file_is_reported_as_torn():
    with pytest.raises(disk.UnusableFile, match="is torn"):
        disk.unpack(COMPLETE_FILE[:-1], "here")
    with pytest.raises(disk.UnusableFile, match="is torn"):
        disk.unpack(COMPLETE_FILE.partition(b"\n")[0], "here")


@given(st.integers(COMPLETE_FILE.index(b"\n") + 1, len(COMPLETE_FILE) - 1), st.integers(1, 255))
def test_damaged_body_is_rejected(place, change):
    raw = bytearray(COMPLETE_FILE)
    raw[place] ^= change
    with pytest.raises(disk.UnusableFile, match="damaged"):
        disk.unpack(bytes(raw), "here")


def test_foreign_file_is_rejected_with_its_installation_or_format():
    with pytest.raises(disk.UnusableFile, match="'there'"):
        disk.unpack(disk.pack("there", "7", 5, SNAPSHOT), "here")
    with pytest.raises(disk.UnusableFile, match="format"):
        disk.unpack(COMPLETE_FILE.replace(b"last-good/1", b"last-good/2", 1), "here")
    with pytest.raises(disk.UnusableFile, match="can't be read"):
        disk.unpack(b"\xff\xfe\n{}", "here")


def test_own_file_is_preferred_to_the_newest_of_other_slots(tmp_path):
    other = make({"p": Pool()}, [Route(name="other", pool="p")])
    files.replace(disk.path_of(str(tmp_path), 1), disk.pack("here", "old", 5, other))
    files.replace(disk.path_of(str(tmp_path), 2), disk.pack("here", "new", 9, other))
    saved, faults = disk.read(str(tmp_path), 0, "here")
    assert saved.label == "new" and faults == []
    files.replace(disk.path_of(str(tmp_path), 0), disk.pack("here", "own", 1, SNAPSHOT))
    assert disk.read(str(tmp_path), 0, "here")[0].label == "own"
    disk.path_of(str(tmp_path), 0).write_bytes(COMPLETE_FILE[:40])
    saved, faults = disk.read(str(tmp_path), 0, "here")
    assert saved.label == "new" and len(faults) == 1 and "last-good-0" in faults[0]


def test_failed_write_leaves_the_old_file(tmp_path, monkeypatch):
    path = disk.path_of(str(tmp_path), 0)
    files.replace(path, b"old")

    def full(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError):
        files.replace(path, b"new")
    assert path.read_bytes() == b"old" and os.listdir(tmp_path) == [path.name]


def test_difference_is_described_in_lines():
    drained = Upstream(name="u1", address="127.0.0.1:1", zone="a", state="draining")
    new = make(
        {
            "p": Pool(upstream=(drained, Upstream(name="u2", address="127.0.0.1:2")), max_requests=5),
            "q": Pool(),
        },
        [Route(name="r", pool="q"), Route(name="s", pool="p")],
    )
    described = lines(SNAPSHOT, new)
    assert "+ pool q, 0 upstreams" in described
    assert "~ pool p: max_requests 0 -> 5" in described
    assert "~ upstream p/u1: state serving -> draining" in described
    assert "+ upstream p/u2 127.0.0.1:2 serving" in described
    assert "+ route s" in described
    assert any(line.startswith("~ route r: header ") and "pool 'p' -> 'q'" in line for line in described)
    assert "- route s" in lines(new, SNAPSHOT) and "- pool q, 0 upstreams" in lines(new, SNAPSHOT)
    swapped = make(new.pools, new.routes[::-1])
    assert lines(new, swapped) == ["~ order of routes: s, r"]
    assert lines(new, new) == [] and not compare(new, new)


def test_changed_limits_are_distinguished_from_changes_that_need_a_new_balancer():
    pool = Pool(upstream=(UPSTREAM,))
    old = Snapshot(pools={"p": pool}, routes=SNAPSHOT.routes)
    caps = Snapshot(pools={"p": Pool(upstream=(UPSTREAM,), max_connections=3)}, routes=SNAPSHOT.routes)
    made = Snapshot(pools={"p": Pool(upstream=(UPSTREAM,), max_attempts=3)}, routes=SNAPSHOT.routes)
    assert compare(old, caps).caps == ("p",) and compare(old, caps).rebuilt == ()
    assert compare(old, made).rebuilt == ("p",) and compare(old, made).caps == ()
