"""The timer queue on one event-loop timer, in simulated time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

from brackengate.net import alarms as module
from brackengate.net.alarms import Timer, TimerQueue


class Loop:
    """An event loop whose timers are driven manually, and its clock."""

    def __init__(self) -> None:
        self.time = 0
        self.set: list[Handle] = []

    def now(self) -> int:
        return self.time

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Handle:
        self.set.append(Handle(self.time + round(delay_s * 1e6), callback))
        return self.set[-1]

    def run(self, until: int, late: int = 0) -> None:
        """Run what is due until then, the first timer `late` microseconds after its time."""
        while due := [handle for handle in self.set if not handle.over and handle.at <= until]:
            first = min(due, key=lambda handle: handle.at)
            self.time, first.over = max(self.time, first.at + late), True
            first.callback()
            late = 0
        self.time = max(self.time, until)


class Handle:
    def __init__(self, at: int, callback: Callable[[], None]) -> None:
        self.at, self.callback, self.over = at, callback, False

    def cancel(self) -> None:
        self.over = True


def new_timer_queue() -> tuple[Loop, TimerQueue]:
    loop = Loop()
    return loop, TimerQueue(cast(asyncio.AbstractEventLoop, loop), loop)


def test_each_timer_runs_once_in_order_never_early_or_after_its_cancellation() -> None:
    rng = random.Random(4)
    loop, timers = new_timer_queue()
    runs: list[tuple[int, int]] = []
    scheduled: dict[int, tuple[int, Timer]] = {}
    cancelled: set[int] = set()
    for number in range(2000):
        due = loop.time + rng.randrange(1, 50_000)
        callback = lambda number=number: runs.append((number, loop.time))  # noqa: E731
        scheduled[number] = (due, timers.schedule(due, cast(Any, callback), loop.time))
        if rng.random() < 0.5:
            some = rng.randrange(number + 1)
            if some not in {one for one, _ in runs}:
                cancelled.add(some)
            scheduled[some][1].cancel()
            scheduled[some][1].cancel()
        loop.run(loop.time + rng.randrange(0, 200))
    loop.run(loop.time + 100_000)
    assert sorted(number for number, _ in runs) == sorted(set(scheduled) - cancelled)
    assert all(0 <= at - scheduled[number][0] <= module.TIMER_RESOLUTION_US for number, at in runs)
    assert len(timers) == 0


def test_cancelled_timers_are_removed_and_only_one_loop_timer_is_armed() -> None:
    loop, timers = new_timer_queue()
    timers.schedule(90_000_000, lambda: None, 0)
    for number in range(10_000):
        timers.schedule(5_000_000 + number, lambda: None, 0).cancel()
        assert len(timers) <= 2 * module.MIN_CANCELLED_TO_COMPACT + 2
    assert sum(not handle.over for handle in loop.set) == 1


def test_a_late_timer_lets_the_loop_read_first_and_then_runs() -> None:
    loop, timers = new_timer_queue()
    runs: list[int] = []
    timer = timers.schedule(1000, lambda: runs.append(loop.time), 0)
    answered = timers.schedule(1000, lambda: runs.append(-1), 0)
    loop.set[0].cancel()
    loop.time = 200_000  # the process was paused
    timers._run_due()
    assert runs == []
    answered.cancel()  # the event loop has read a response
    loop.run(400_000)
    assert runs == [201_000] and timer.callback is None


def test_a_failing_callback_does_not_affect_other_timers() -> None:
    loop, timers = new_timer_queue()
    runs: list[str] = []

    def fails() -> None:
        timers.schedule(loop.time, lambda: runs.append("set meanwhile"), loop.time)
        raise ValueError("logged")

    timers.schedule(1000, fails, 0)
    timers.schedule(1000, lambda: runs.append("after"), 0)
    loop.run(10_000)
    assert runs == ["after", "set meanwhile"]
