"""The mesh's demo: what it holds against the mesh, and one whole round of it with real processes."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

from standins.mesh import Machine, Upstream
from standins.mesh_callers import Books, Operation

ROOT = Path(__file__).parent.parent


def upstream(*ran: str) -> Upstream:
    side = Machine("127.0.0.1", "z1", "pilot", Path())
    return Upstream(side, 1, 2, "i-1", ran=[("a", key) for key in ran])


def test_nothing_but_an_answer_that_went_with_a_killed_part_is_forgiven() -> None:
    books = Books(kills=[10.0])
    books.operations = [
        Operation("good", 9.0, 9.5, served=True),
        Operation("at work", 9.0, 20.0),  # refused until it was given up
        Operation("later", 11.0, 75.0),
        Operation("never ran", 9.0, 9.5, served=True),
        Operation("twice", 9.0, 9.5, served=True),
        Operation("", 9.0, 75.0),  # a read can go elsewhere
        Operation("still under way", 12.0),
    ]
    assert books.faults([upstream("good", "at work", "twice"), upstream("twice", "other")]) == [
        "later was not served in 60 s",
        "the key never ran was answered and never ran",
        "the key twice ran 2 times",
        "a read was not served in 60 s",
    ]
    assert [one.key for one in books.lost()] == ["at work"]


def test_one_of_each_is_killed_and_mended_and_nothing_is_lost() -> None:
    argv = [sys.executable, "-m", "brackengate.cli", "demo", "--once", "--rate", "20"]
    told = subprocess.run(argv, cwd=ROOT, capture_output=True, text=True, timeout=300)
    assert (told.returncode, told.stderr) == (0, ""), told.stdout + told.stderr
    troubles = [line.partition(": mended after ") for line in told.stdout.splitlines()]
    assert [re.sub(r"[\d.]+", "IP", what) for what, found, _ in troubles if found] == [
        "the pilot IP is killed",
        "the upstream beside IP is killed",
        "the head IP is killed",
        "the head IP is killed, its file damaged",
    ]
    assert told.stdout.splitlines()[-1] == "served through, and nothing lost"
