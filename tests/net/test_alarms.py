"""Alarms on one timer of the loop's, in simulated time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, cast

from brackengate.net import alarms as module
from brackengate.net.alarms import Timer, TimerQueue


class Loop:
    """A loop whose timers are driven by hand, and its clock."""

    def __init__(self) -> None:
        self.time = 0
        self.set: list[Handle] = []

    def now(self) -> int:
        return self.time

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Handle:
        self.set.append(Handle(self.time + round(delay_s * 1e6), callback))
        return self.set[-1]

    def run(self, until: int, late: int = 0) -> None:
        """Ring what is due up to then, each `late` after its time."""
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


def made() -> tuple[Loop, TimerQueue]:
    loop = Loop()
    return loop, TimerQueue(cast(asyncio.AbstractEventLoop, loop), loop)


def test_each_rings_once_in_its_order_and_none_early_or_after_its_end() -> None:
    rng = random.Random(4)
    loop, alarms = made()
    rung: list[tuple[int, int]] = []
    set_: dict[int, tuple[int, Timer]] = {}
    cancelled: set[int] = set()
    for number in range(2000):
        due = loop.time + rng.randrange(1, 50_000)
        ring = lambda number=number: rung.append((number, loop.time))  # noqa: E731
        set_[number] = (due, alarms.schedule(due, cast(Any, ring), loop.time))
        if rng.random() < 0.5:
            some = rng.randrange(number + 1)
            if some not in {one for one, _ in rung}:
                cancelled.add(some)
            set_[some][1].cancel()
            set_[some][1].cancel()
        loop.run(loop.time + rng.randrange(0, 200))
    loop.run(loop.time + 100_000)
    assert sorted(number for number, _ in rung) == sorted(set(set_) - cancelled)
    assert all(0 <= at - set_[number][0] <= module.TIMER_RESOLUTION_US for number, at in rung)
    assert len(alarms) == 0


def test_what_is_cancelled_does_not_pile_up_and_only_one_timer_of_the_loop_is_held() -> None:
    loop, alarms = made()
    alarms.schedule(90_000_000, lambda: None, 0)
    for number in range(10_000):
        alarms.schedule(5_000_000 + number, lambda: None, 0).cancel()
        assert len(alarms) <= 2 * module.MIN_CANCELLED_TO_COMPACT + 2
    assert sum(not handle.over for handle in loop.set) == 1


def test_a_late_alarm_lets_the_loop_read_first_and_then_rings() -> None:
    loop, alarms = made()
    rung: list[int] = []
    alarm = alarms.schedule(1000, lambda: rung.append(loop.time), 0)
    answered = alarms.schedule(1000, lambda: rung.append(-1), 0)
    loop.set[0].cancel()
    loop.time = 200_000  # the process stood still
    alarms._run_due()
    assert rung == []
    answered.cancel()  # the loop has read an answer
    loop.run(400_000)
    assert rung == [201_000] and alarm.callback is None


def test_one_that_fails_takes_no_other_with_it() -> None:
    loop, alarms = made()
    rung: list[str] = []

    def fails() -> None:
        alarms.schedule(loop.time, lambda: rung.append("set meanwhile"), loop.time)
        raise ValueError("told in the log")

    alarms.schedule(1000, fails, 0)
    alarms.schedule(1000, lambda: rung.append("after"), 0)
    loop.run(10_000)
    assert rung == ["after", "set meanwhile"]
