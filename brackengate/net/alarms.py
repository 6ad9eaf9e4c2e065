"""A timer queue that runs all timers of a process on a single event-loop timer."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections.abc import Callable
from typing import Protocol

log = logging.getLogger(__name__)

TIMER_RESOLUTION_US = 1_000  # the event loop's timers have whole milliseconds
LATE_TIMER_US = 4_000  # a timer later than this indicates that the process stalled
MIN_CANCELLED_TO_COMPACT = 64  # cancelled timers that may stay in the heap in any case


class MicrosecondClock(Protocol):
    """A clock whose `now` returns whole microseconds."""

    def now(self) -> int: ...


class Timer:
    """One scheduled callback; `callback` is None once it has run or was cancelled."""

    __slots__ = ("_queue", "callback", "deferred", "due")

    def __init__(self, queue: TimerQueue, due: int, callback: Callable[[], None]) -> None:
        self._queue, self.due = queue, due
        self.callback: Callable[[], None] | None = callback
        self.deferred = False

    def cancel(self) -> None:
        """Keep the callback from running; no effect after it has run."""
        if self.callback is not None:
            self.callback = None
            self._queue.timer_cancelled()


class TimerQueue:
    """Runs timers in the order of their due times, never early.

    Event-loop timers count whole milliseconds from the start of the loop's iteration and may fire early.  A
    decision module that is called before its timer is due finds nothing to do, and would not be called again.

    After a stall of the process, the loop runs late timers before it reads sockets, so a request would time
    out although its answer arrived in time and is still unread.  A late timer is therefore deferred once, so
    that the loop reads first.

    Most timers are cancelled long before they are due.  Cancelled timers are removed from the heap when they
    reach its top, or all at once when they make up more than half of it.
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
        """Run `callback` at `due`, in microseconds of the clock; `now` is the clock's present time."""
        timer = Timer(self, due, callback)
        self._push(due, timer)
        if self._handle is None or due < self._armed_for:
            self._arm(due, now)
        return timer

    def timer_cancelled(self) -> None:
        """Count a cancelled timer; compacts the heap when more than half of it is cancelled."""
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and self._cancelled * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def _push(self, due: int, timer: Timer) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (due, self._sequence, timer))

    def _arm(self, due: int, now: int) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._armed_for = due
        self._handle = self._loop.call_later(max(0.0, (due - now) / 1e6), self._run_due)

    def _run_due(self) -> None:
        self._handle = None
        now, last = self._clock.now(), self._sequence  # timers that callbacks add wait for the next run
        while self._heap and self._heap[0][0] <= now and self._heap[0][1] <= last:
            timer = heapq.heappop(self._heap)[2]
            callback = timer.callback
            if callback is None:
                self._cancelled -= 1
            elif now - timer.due > LATE_TIMER_US and not timer.deferred:
                timer.deferred = True
                self._push(now + 1, timer)
            else:
                timer.callback = None
                try:
                    callback()
                except Exception:
                    log.exception("a timer's callback failed")
        if self._heap:
            due = max(self._heap[0][0], now + TIMER_RESOLUTION_US)
            if self._handle is None or due < self._armed_for:
                self._arm(due, now)
