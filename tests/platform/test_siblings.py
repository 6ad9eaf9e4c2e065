"""Two processes on one socket: who lives, who is ready, what they hold together."""

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
from brackengate.brain import Balancer
from brackengate.net.sockets import SocketBudget
from brackengate.platform.siblings import CALLER_KB, OWN_MB, Sibling, Siblings, part, successor

SAFE = api.RequestClass("read", 500_000, 1_000_000, api.Idempotency.REPEATABLE)
ROOT = Path(__file__).parent.parent.parent
OTHER = """
import sys
from brackengate.platform.siblings import Siblings
mine = Siblings(sys.argv[1], int(sys.argv[2]))
mine.tell(True, 7)
print("there", flush=True)
sys.stdin.read()
"""


def other(folder: Path, began: int) -> subprocess.Popen[str]:
    command = [sys.executable, "-c", OTHER, str(folder), str(began)]
    made = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    assert made.stdout is not None and made.stdout.readline() == "there\n"
    return made


def end(process: subprocess.Popen[str]) -> None:
    process.kill()
    process.wait()
    for stream in (process.stdin, process.stdout):
        if stream is not None:
            stream.close()


def test_a_living_one_is_seen_and_a_killed_one_is_cleared_away(tmp_path: Path) -> None:
    mine = Siblings(str(tmp_path), 5)
    assert mine.look() == []
    process = other(tmp_path, 9)
    try:
        assert mine.look() == [Sibling(9, True, 7)]
        assert mine.sockets_elsewhere() == 7
        assert successor(5, mine.look()) and not successor(9, [Sibling(5, True, 0)])
    finally:
        end(process)
    assert mine.look() == [] and mine.sockets_elsewhere() == 0
    assert len(os.listdir(tmp_path)) == 1
    mine.close()
    assert os.listdir(tmp_path) == []


def test_a_leftover_of_an_earlier_process_is_no_successor(tmp_path: Path) -> None:
    process = other(tmp_path, 9)
    end(process)
    assert len(os.listdir(tmp_path)) == 1  # killed: nobody cleared it
    mine = Siblings(str(tmp_path), 5)
    assert mine.look() == []
    (tmp_path / "brackengate-1-1.process").write_bytes(b"")  # another's, never written and not held
    (tmp_path / "brackengate-x.process").write_bytes(b"not one of ours")
    (tmp_path / "notes").write_bytes(b"of somebody else")
    assert mine.look() == []
    assert {"brackengate-x.process", "notes"} <= set(os.listdir(tmp_path))
    mine.close()


def test_a_folder_that_cannot_be_written_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(OSError):
        Siblings(str(tmp_path / "missing"), 1)


@given(st.integers(0, 9), st.lists(st.builds(Sibling, st.integers(0, 9), st.booleans(), st.integers(0, 3))))
def test_of_several_processes_at_most_one_is_not_replaced(mine: int, others: list[Sibling]) -> None:
    """Of those that are ready the one that began last goes on; it is never told that it is replaced."""
    ready = [one.began for one in others if one.ready]
    assert successor(mine, others) is (max(ready, default=-1) > mine)


def test_sockets_of_both_count_against_one_limit() -> None:
    """What the other holds leaves less here; what is idle here makes room first."""
    elsewhere = 6
    budget = SocketBudget(10, lambda: elsewhere)
    assert all(budget.acquire() for _ in range(4))
    assert not budget.acquire()
    idle = [1]
    budget.add_evictor(lambda: bool(idle) and (idle.pop(), budget.release()) is not None)
    assert budget.acquire() and not budget.acquire()
    elsewhere = 0
    assert all(budget.acquire() for _ in range(6)) and not budget.acquire()


def test_the_look_is_cheap_enough_to_be_taken_in_the_loop(tmp_path: Path) -> None:
    """A look opens each file once, however often it is taken."""
    mine = Siblings(str(tmp_path), 5)
    process = other(tmp_path, 9)
    try:
        mine.look()
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(100):
            mine.look()
        assert len(os.listdir("/proc/self/fd")) == before
    finally:
        end(process)
    mine.close()


@pytest.mark.parametrize("memory_mb", [40, 64, 80, 96, 192])
@pytest.mark.parametrize("descriptors", [192, 384, 512, 1024])
def test_two_programs_plan_with_no_more_than_one_may_have(memory_mb: int, descriptors: int) -> None:
    """Callers and bodies of both, and both programs, fit into the one limit of memory."""
    alone, shared = (part(descriptors, memory_mb, told) for told in (False, True))
    assert 0 < shared.sockets < alone.sockets < descriptors
    for count, one in ((1, alone), (2, shared)):
        held = one.callers * CALLER_KB / 1024 + OWN_MB
        if one.callers > 32:  # the least that is of any use
            assert count * held <= memory_mb + 1
        assert one.stream_bytes >= 1 << 20


def sent_to_cold(processes: int, seed: int) -> int:
    """Calls that a cold upstream among ten gets in its first five seconds, the traffic dealt out in turn."""
    start, end = 100_000_000, 105_000_000
    rows = [api.Endpoint(f"u{n}") for n in range(10)] + [api.Endpoint("cold", started_at=start)]
    settings = api.Settings(classes=(SAFE,), cold_share=0.3, cold_time=8_000_000)
    made = [Balancer(settings, seed + n) for n in range(processes)]
    count, serial = 0, itertools.count()
    todo: list[tuple[int, int, int, api.Event]] = []
    for n in range(processes):
        heapq.heappush(todo, (start, next(serial), n, api.UpstreamList(api.ListKind.FULL, tuple(rows))))
    for number, at in enumerate(range(start + 1000, end, 10_000)):
        event = api.Request(f"r{number}", SAFE.name, at + 1_000_000)
        heapq.heappush(todo, (at, next(serial), number % processes, event))
    while todo and todo[0][0] < end:
        now, _, n, event = heapq.heappop(todo)
        for action in made[n].handle(now, event):
            if isinstance(action, api.SetTimer):
                due, told = now + action.delay, api.TimerFired(action.token)
                heapq.heappush(todo, (due, next(serial), n, told))
            elif isinstance(action, api.Send):
                count += action.upstream == "cold"
                over = api.AttemptEnded(action.request, 0, action.upstream, api.Outcome.OK, 50_000, True)
                heapq.heappush(todo, (now + 50_000, next(serial), n, over))
    return count


def test_a_cold_upstream_gets_no_more_of_two_processes_than_of_one() -> None:
    """Each paces by the time between its own sends, and has half of the traffic."""
    one, two = (sum(sent_to_cold(count, seed) for seed in range(20)) for count in (1, 2))
    assert 0 < two <= 1.25 * one
