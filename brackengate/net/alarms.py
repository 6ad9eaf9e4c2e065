"""All timers of a process on one of the loop's own."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections.abc import Callable
from typing import Protocol

log = logging.getLogger(__name__)

TIMER_RESOLUTION_US = 1_000  # the loop's timers have whole milliseconds
LATE_TIMER_US = 4_000  # an alarm later than this tells of a stall
MIN_CANCELLED_TO_COMPACT = 64  # cancelled alarms that may lie about in any case


class MicrosecondClock(Protocol):
    def now(self) -> int: ...


class Timer:
    """One timer; `callback` is None once it has rung or was cancelled."""

    __slots__ = ("_queue", "callback", "deferred", "due")

    def __init__(self, alarms: TimerQueue, due: int, callback: Callable[[], None]) -> None:
        self._queue, self.due = alarms, due
        self.callback: Callable[[], None] | None = callback
        self.deferred = False

    def cancel(self) -> None:
        if self.callback is not None:
            self.callback = None
            self._queue.timer_cancelled()


class TimerQueue:
    """Timers that are never early.

    Guards against the loop's timers, which count whole milliseconds from the start of its turn: a module
    that is woken before its time finds nothing due, and would not be woken again.  And against stalls of
    the process: the loop runs late timers before it reads, so an answer that came in time, and lies unread,
    would be given up.  A late alarm lets the loop read first.

    Most are cancelled long before they are due: they leave the heap when they are met, or once they are more
    than half of it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: MicrosecondClock) -> None:
        self._loop, self._clock = loop, clock
        self._heap: list[tuple[int, int, Timer]] = []
        self._sequence = self._cancelled = 0
        self._handle: asyncio.TimerHandle | None = None
        self._armed_for = 0

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, due: int, callback: Callable[[], None], now: int) -> Timer:
        """Ring at `due`, in microseconds of the clock that says `now`."""
        alarm = Timer(self, due, callback)
        self._push(due, alarm)
        if self._handle is None or due < self._armed_for:
            self._arm(due, now)
        return alarm

    def timer_cancelled(self) -> None:
        """One in the heap was cancelled."""
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and self._cancelled * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _push(self, due: int, alarm: Timer) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (due, self._sequence, alarm))

    def _arm(self, due: int, now: int) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_for = due
        self._handle = self._loop.call_later(max(0.0, (due - now) / 1e6), self._run_due)

    def _run_due(self) -> None:
        self._handle = None
        now, last = self._clock.now(), self._sequence  # those that are set meanwhile wait for the next time
        while self._heap and self._heap[0][0] <= now and self._heap[0][1] <= last:
            alarm = heapq.heappop(self._heap)[2]
            callback = alarm.callback
            if callback is None:
                self._cancelled -= 1
            elif now - alarm.due > LATE_TIMER_US and not alarm.deferred:
                alarm.deferred = True
                self._push(now + 1, alarm)
            else:
                alarm.callback = None
                try:
                    callback()
                except Exception:
                    log.exception("an alarm's callback failed")
        if self._heap:
            due = max(self._heap[0][0], now + TIMER_RESOLUTION_US)
            if self._handle is None or due < self._armed_for:
                self._arm(due, now)
