"""The last good version on disk: torn, foreign and damaged files; and what a difference says."""

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

ROW = Upstream(name="u1", address="127.0.0.1:1", zone="a")
ONE = make({"p": Pool(upstream=(ROW,))}, [Route(name="r", header=(HeaderMatch(name="X-A"),), pool="p")])


def test_what_was_written_is_read():
    data = disk.pack("here", "7", 5, ONE)
    assert disk.unpack(data, "here") == disk.Saved("7", 5, ONE)


WHOLE = disk.pack("here", "7", 5, ONE)


@given(st.integers(0, len(WHOLE) - 1))
def test_a_torn_file_is_refused_wherever_it_is_torn(length):
    with pytest.raises(disk.Unusable):
        disk.unpack(WHOLE[:length], "here")


def test_a_torn_file_is_called_so():
    with pytest.raises(disk.Unusable, match="is torn"):
        disk.unpack(WHOLE[:-1], "here")
    with pytest.raises(disk.Unusable, match="is torn"):
        disk.unpack(WHOLE.partition(b"\n")[0], "here")


@given(st.integers(WHOLE.index(b"\n") + 1, len(WHOLE) - 1), st.integers(1, 255))
def test_a_damaged_body_is_refused(place, change):
    raw = bytearray(WHOLE)
    raw[place] ^= change
    with pytest.raises(disk.Unusable, match="damaged"):
        disk.unpack(bytes(raw), "here")


def test_a_foreign_file_is_refused_by_name():
    with pytest.raises(disk.Unusable, match="'there'"):
        disk.unpack(disk.pack("there", "7", 5, ONE), "here")
    with pytest.raises(disk.Unusable, match="format"):
        disk.unpack(WHOLE.replace(b"last-good/1", b"last-good/2", 1), "here")
    with pytest.raises(disk.Unusable, match="can't be read"):
        disk.unpack(b"\xff\xfe\n{}", "here")


def test_its_own_file_comes_first_then_the_newest_of_others(tmp_path):
    other = make({"p": Pool()}, [Route(name="other", pool="p")])
    files.replace(disk.path_of(str(tmp_path), 1), disk.pack("here", "old", 5, other))
    files.replace(disk.path_of(str(tmp_path), 2), disk.pack("here", "new", 9, other))
    saved, faults = disk.read(str(tmp_path), 0, "here")
    assert saved.label == "new" and faults == []
    files.replace(disk.path_of(str(tmp_path), 0), disk.pack("here", "own", 1, ONE))
    assert disk.read(str(tmp_path), 0, "here")[0].label == "own"
    disk.path_of(str(tmp_path), 0).write_bytes(WHOLE[:40])
    saved, faults = disk.read(str(tmp_path), 0, "here")
    assert saved.label == "new" and len(faults) == 1 and "last-good-0" in faults[0]


def test_a_write_that_fails_leaves_the_old_file(tmp_path, monkeypatch):
    path = disk.path_of(str(tmp_path), 0)
    files.replace(path, b"old")

    def full(_: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError):
        files.replace(path, b"new")
    assert path.read_bytes() == b"old" and os.listdir(tmp_path) == [path.name]


def test_a_difference_in_meaning_is_told_in_lines():
    drained = Upstream(name="u1", address="127.0.0.1:1", zone="a", state="draining")
    new = make(
        {
            "p": Pool(upstream=(drained, Upstream(name="u2", address="127.0.0.1:2")), max_requests=5),
            "q": Pool(),
        },
        [Route(name="r", pool="q"), Route(name="s", pool="p")],
    )
    told = lines(ONE, new)
    assert "+ pool q, 0 upstreams" in told
    assert "~ pool p: max_requests 0 -> 5" in told
    assert "~ upstream p/u1: state serving -> draining" in told
    assert "+ upstream p/u2 127.0.0.1:2 serving" in told
    assert "+ route s" in told
    assert any(line.startswith("~ route r: header ") and "pool 'p' -> 'q'" in line for line in told)
    assert "- route s" in lines(new, ONE) and "- pool q, 0 upstreams" in lines(new, ONE)
    swapped = make(new.pools, new.routes[::-1])
    assert lines(new, swapped) == ["~ order of routes: s, r"]
    assert lines(new, new) == [] and not compare(new, new)


def test_what_needs_a_new_module_is_told_from_what_does_not():
    pool = Pool(upstream=(ROW,))
    old = Snapshot(pools={"p": pool}, routes=ONE.routes)
    caps = Snapshot(pools={"p": Pool(upstream=(ROW,), max_connections=3)}, routes=ONE.routes)
    made = Snapshot(pools={"p": Pool(upstream=(ROW,), max_attempts=3)}, routes=ONE.routes)
    assert compare(old, caps).caps == ("p",) and compare(old, caps).rebuilt == ()
    assert compare(old, made).rebuilt == ("p",) and compare(old, made).caps == ()
