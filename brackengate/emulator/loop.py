"""Events in simulated time.  The same seed gives the same run, in any process."""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, cast

S, MS = 1_000_000, 1_000


class Timer:
    """What `asyncio` gets in place of its handles."""

    __slots__ = ("_do", "_when")

    def __init__(self, when: int, do: Callable[[], Any]) -> None:
        self._when, self._do = when, cast("Callable[[], Any] | None", do)

    def cancel(self) -> None:
        self._do = None

    def cancelled(self) -> bool:
        return self._do is None

    def when(self) -> float:
        return self._when / 1e6

    def __call__(self) -> None:
        do, self._do = self._do, None
        if do is not None:
            do()


class Loop:
    """What is due at the same time happens in the order in which it was set.

    It is also as much of an asyncio loop as coroutines need that wait, sleep and have time-outs; sockets are
    a process's own matter (`process.py`).
    """

    def __init__(self) -> None:
        self.now = 0  # microseconds
        self.events = 0  # that have happened
        self.errors: list[str] = []  # exceptions that nobody caught
        self._heap: list[tuple[int, int, Callable[[], Any]]] = []
        self._made = 0

    def at(self, when: int, do: Callable[[], Any]) -> None:
        """Not before now, whatever is asked for."""
        self._made += 1
        heapq.heappush(self._heap, (max(when, self.now), self._made, do))

    def after(self, delay: int, do: Callable[[], Any]) -> None:
        self.at(self.now + delay, do)

    def run(self, until: int) -> None:
        """Up to and including `until`; what is due later stays."""
        heap, before = self._heap, asyncio._get_running_loop()
        asyncio._set_running_loop(cast(asyncio.AbstractEventLoop, self))
        try:
            while heap and heap[0][0] <= until:
                self.now, _, do = heapq.heappop(heap)
                self.events += 1
                do()
        finally:
            asyncio._set_running_loop(before)
        self.now = max(self.now, until)

    # --- asyncio's side

    def time(self) -> float:
        return self.now / 1e6

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: object = None) -> Timer:
        return self._set(self.now, partial(callback, *args) if args else callback)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: object = None
    ) -> Timer:
        return self._set(self.now + round(delay * 1e6), partial(callback, *args) if args else callback)

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any, context: object = None) -> Timer:
        return self._set(round(when * 1e6), partial(callback, *args) if args else callback)

    def _set(self, when: int, do: Callable[[], Any]) -> Timer:
        timer = Timer(when, do)
        self.at(when, timer)
        return timer

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=cast(asyncio.AbstractEventLoop, self))

    def create_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        return asyncio.Task(work, loop=cast(asyncio.AbstractEventLoop, self))

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False

    def get_debug(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")
