"""Several processes on one socket: which are running and ready, and what they hold together."""

from __future__ import annotations

import heapq
import itertools
import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackengate import interface as api
from brackengate.balancer import Balancer
from brackengate.net.sockets import SocketBudget
from brackengate.platform.siblings import (
    CLIENT_KB,
    PROCESS_MB,
    Sibling,
    Siblings,
    has_successor,
    process_limits,
)

SAFE = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.REPEATABLE)
ROOT = Path(__file__).parent.parent.parent
OTHER_PROCESS = """
import sys
from brackengate.platform.siblings import Siblings
mine = Siblings(sys.argv[1], int(sys.argv[2]))
mine.publish(True, 7)
print("there", flush=True)
sys.stdin.read()
"""


def start_other(directory: Path, started_ns: int) -> subprocess.Popen[str]:
    command = [sys.executable, "-c", OTHER_PROCESS, str(directory), str(started_ns)]
    made = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    assert made.stdout is not None and made.stdout.readline() == "there\n"
    return made


def kill(process: subprocess.Popen[str]) -> None:
    process.kill()
    process.wait()
    for stream in (process.stdin, process.stdout):
        if stream is not None:
            stream.close()


def test_a_running_process_is_seen_and_the_file_of_a_killed_one_is_removed(tmp_path: Path) -> None:
    mine = Siblings(str(tmp_path), 5)
    assert mine.scan() == []
    process = start_other(tmp_path, 9)
    try:
        assert mine.scan() == [Sibling(9, True, 7)]
        assert mine.sockets_elsewhere() == 7
        assert has_successor(5, mine.scan()) and not has_successor(9, [Sibling(5, True, 0)])
    finally:
        kill(process)
    assert mine.scan() == [] and mine.sockets_elsewhere() == 0
    assert len(os.listdir(tmp_path)) == 1
    mine.close()
    assert os.listdir(tmp_path) == []


def test_the_file_of_a_dead_process_is_no_successor(tmp_path: Path) -> None:
    process = start_other(tmp_path, 9)
    kill(process)
    assert len(os.listdir(tmp_path)) == 1  # killed: nothing removed its file
    mine = Siblings(str(tmp_path), 5)
    assert mine.scan() == []
    (tmp_path / "brackengate-1-1.process").write_bytes(
        b""
    )  # of another process, never written and not locked
    (tmp_path / "brackengate-x.process").write_bytes(b"not a process file")
    (tmp_path / "notes").write_bytes(b"of another program")
    assert mine.scan() == []
    assert {"brackengate-x.process", "notes"} <= set(os.listdir(tmp_path))
    mine.close()


def test_a_directory_that_is_not_writable_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(OSError):
        Siblings(str(tmp_path / "missing"), 1)


@given(st.integers(0, 9), st.lists(st.builds(Sibling, st.integers(0, 9), st.booleans(), st.integers(0, 3))))
def test_of_several_processes_at_most_one_is_not_replaced(mine: int, others: list[Sibling]) -> None:
    """Of the ready processes the one that started last stays; it never sees a successor."""
    ready = [one.started_ns for one in others if one.ready]
    assert has_successor(mine, others) is (max(ready, default=-1) > mine)


def test_sockets_of_both_count_against_one_limit() -> None:
    """Sockets of the other process leave fewer here; idle ones here are closed first."""
    elsewhere = 6
    budget = SocketBudget(10, lambda: elsewhere)
    assert all(budget.acquire() for _ in range(4))
    assert not budget.acquire()
    idle = [1]
    budget.add_evictor(lambda: bool(idle) and (idle.pop(), budget.release()) is not None)
    assert budget.acquire() and not budget.acquire()
    elsewhere = 0
    assert all(budget.acquire() for _ in range(6)) and not budget.acquire()


def test_repeated_scans_open_no_further_descriptors(tmp_path: Path) -> None:
    """The event loop scans regularly; each file is opened only once."""
    mine = Siblings(str(tmp_path), 5)
    process = start_other(tmp_path, 9)
    try:
        mine.scan()
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(100):
            mine.scan()
        assert len(os.listdir("/proc/self/fd")) == before
    finally:
        kill(process)
    mine.close()


@pytest.mark.parametrize("memory_mb", [40, 64, 80, 96, 192])
@pytest.mark.parametrize("descriptors", [192, 384, 512, 1024])
def test_two_processes_together_keep_to_the_limits_of_one(memory_mb: int, descriptors: int) -> None:
    """The clients and bodies of both processes, and the processes themselves, fit into one memory limit."""
    alone, shared = (process_limits(descriptors, memory_mb, is_shared) for is_shared in (False, True))
    assert 0 < shared.sockets < alone.sockets < descriptors
    for count, one in ((1, alone), (2, shared)):
        held = one.max_clients * CLIENT_KB / 1024 + PROCESS_MB
        if one.max_clients > 32:  # the minimum that is of use
            assert count * held <= memory_mb + 1
        assert one.stream_bytes >= 1 << 20


def sent_to_cold(processes: int, seed: int) -> int:
    """Requests that a cold upstream among ten gets in its first 5 s; the processes get requests in turn."""
    start, end = 100_000_000, 105_000_000
    endpoints = [api.Endpoint(f"u{n}") for n in range(10)] + [api.Endpoint("cold", started_at=start)]
    settings = api.Settings(classes=(SAFE,), cold_share=0.3, cold_time=8_000_000)
    made = [Balancer(settings, seed + n) for n in range(processes)]
    count, serial = 0, itertools.count()
    todo: list[tuple[int, int, int, api.Event]] = []
    for n in range(processes):
        heapq.heappush(todo, (start, next(serial), n, api.UpstreamList(api.ListKind.FULL, tuple(endpoints))))
    for number, at in enumerate(range(start + 1000, end, 10_000)):
        event = api.Request(f"r{number}", SAFE.name, at + 1_000_000)
        heapq.heappush(todo, (at, next(serial), number % processes, event))
    while todo and todo[0][0] < end:
        now, _, n, event = heapq.heappop(todo)
        for action in made[n].handle(now, event):
            if isinstance(action, api.SetTimer):
                due, fired = now + action.delay, api.TimerFired(action.token)
                heapq.heappush(todo, (due, next(serial), n, fired))
            elif isinstance(action, api.Send):
                count += action.upstream == "cold"
                ended = api.AttemptEnded(action.request, 0, action.upstream, api.Outcome.OK, 50_000, True)
                heapq.heappush(todo, (now + 50_000, next(serial), n, ended))
    return count


def test_two_processes_send_a_cold_upstream_no_more_than_one() -> None:
    """Each process paces by the interval between its own sends, and has half of the traffic."""
    one, two = (sum(sent_to_cold(count, seed) for seed in range(20)) for count in (1, 2))
    assert 0 < two <= 1.25 * one
