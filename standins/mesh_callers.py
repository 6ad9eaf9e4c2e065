"""Callers of a mesh: each beside a pilot, trying again as users would, and what became of what they asked."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from standins.mesh import Mesh, Upstream

TRY_S = 4.0
GIVE_UP_S = 60.0  # an operation
LOST_S = 8.0  # one that was at work in a part that was killed: it may be refused for as long as it is asked
PAUSE_S = 0.1
MOST_PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class Try:
    at: float  # seconds of the steady clock, when it ended
    took_s: float
    status: int  # 0: broken off, or no connection
    keyed: bool


@dataclass(slots=True, eq=False)
class Operation:
    key: str  # empty: a read
    began: float
    ended: float = float("inf")
    served: bool = False


@dataclass
class Books:
    """What was asked, and what can be held against it.  `kills`: when a machine with work was taken away."""

    operations: list[Operation] = field(default_factory=list)
    answered: list[Try] = field(default_factory=list)  # in the order in which they ended
    kills: list[float] = field(default_factory=list)

    def forget(self) -> None:
        """What is still under way is not held against anybody any more."""
        for held in (self.operations, self.answered, self.kills):
            held.clear()

    def lost(self) -> list[Operation]:
        """Keyed ones whose answer went with a machine that had them at work: refused, and not run again."""
        return [one for one in self._ended() if one.key and not one.served and self.was_at_work(one)]

    def faults(self, upstreams: list[Upstream]) -> list[str]:
        """Rules broken, a sentence each."""
        runs = Counter(key for upstream in upstreams for _, key in upstream.ran)
        found: list[str] = []
        for one in self._ended():
            if one.key and runs[one.key] > 1:
                found.append(f"the key {one.key} ran {runs[one.key]} times")
            if one.key and one.served and not runs[one.key]:
                found.append(f"the key {one.key} was answered and never ran")
            if not one.served and not (one.key and self.was_at_work(one)):
                found.append(f"{one.key or 'a read'} was not served in {GIVE_UP_S:.0f} s")
        return found

    def _ended(self) -> list[Operation]:
        return [one for one in self.operations if one.ended < float("inf")]

    def was_at_work(self, one: Operation) -> bool:
        return any(one.began <= kill <= one.ended for kill in self.kills)


class Callers:
    def __init__(self, mesh: Mesh, rate: float, count: int = 12) -> None:
        """`rate`: operations a second of all together; every second one has a key."""
        self.mesh, self.books = mesh, Books()
        self._period, self._count, self._asked = count / rate, count, 0

    async def run(self, stop: asyncio.Event) -> None:
        """Until `stop`, and until each has ended what it is at."""
        await asyncio.gather(*(self._caller(n, stop) for n in range(self._count)))

    async def _caller(self, n: int, stop: asyncio.Event) -> None:
        due = time.monotonic() + self._period * n / self._count
        while not stop.is_set():
            try:
                async with asyncio.timeout(max(0.0, due - time.monotonic())):
                    await stop.wait()
            except TimeoutError:
                await self._operation(n)
            due = max(due + self._period, time.monotonic() - self._period)

    async def _operation(self, n: int) -> None:
        self._asked += 1
        number, sides = self._asked, self.mesh.sides
        one = Operation(f"op-{number}" if number % 2 else "", time.monotonic())
        self.books.operations.append(one)
        again = 0
        while not one.served:
            begun, status, pause = time.monotonic(), 0, PAUSE_S * 2**again
            if begun - one.began > (LOST_S if one.key and self.books.was_at_work(one) else GIVE_UP_S):
                break
            try:
                async with asyncio.timeout(TRY_S):
                    target = "/bid/x" if one.key else "/read/x"
                    side = sides[(n + again) % len(sides)]  # its own pilot first
                    status, fields, _ = await self.mesh.request(side, target, one.key, f"{number}.{again}")
                    pause = max(pause, float(fields.get("retry-after", 0)))
            except OSError:  # TimeoutError is one
                pass
            now = time.monotonic()
            self.books.answered.append(Try(now, now - begun, status, bool(one.key)))
            one.served = status == 200
            again += 1
            if not one.served:
                await asyncio.sleep(min(pause, MOST_PAUSE_S))
        one.ended = time.monotonic()
