"""An upstream as a model: slots, a line, cold starts, a fall when pushed over, keys that it remembers."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from brackengate.emulator.loop import Loop, S
from brackengate.interface import LoadReport, Outcome

COLD_SHARE = 0.1


@dataclass(eq=False, slots=True)
class Job:
    """One attempt as it stands at its upstream."""

    request: str
    work: int  # microseconds, warm
    ended: Callable[[Outcome], None]  # told once, at the upstream's own time
    began: Callable[[], None] = lambda: None  # it has begun to run
    key: str = ""
    latest: int = 0  # it is not begun after this; 0: whenever
    below: Callable[[Callable[[bool], None]], None] | None = None  # called at the end of its work
    over: bool = False  # cancelled, or ended

    def end(self, outcome: Outcome) -> None:
        if not self.over:
            self.over = True
            self.ended(outcome)


@dataclass(eq=False)
class KeyMemory:
    """What the upstreams of one group remember together of keyed requests: a repeat does not run again."""

    window: int = 4 * S
    seen: dict[str, int] = field(default_factory=dict)

    def repeats(self, key: str, now: int) -> bool:
        """Whether it was seen within the window; from now on it is."""
        while self.seen and next(iter(self.seen.values())) < now - self.window:
            del self.seen[next(iter(self.seen))]
        known = key in self.seen
        if not known:
            self.seen[key] = now
        return known


@dataclass(eq=False)
class Upstream:
    """`slots` run at a time, `room` stand in line; slower while cold, and it falls if pushed over."""

    slots: int
    room: int
    started: int = -(1 << 60)
    cold_us: int = 0
    fall: float = 0.0  # times its capacity within a second; 0: it never falls
    cold_share: float = COLD_SHARE
    name: str = ""
    zone: str = "a"
    spread: float = 0.2  # of the work that a request takes, either way
    memory: KeyMemory | None = None
    up: bool = True
    fallen: bool = False
    slow: float = 1.0  # work takes so many times as long
    silent: bool = False  # takes what comes and says nothing
    errors: float = 0.0  # of what it has run it answers so many as failed
    fell: Callable[[], None] = lambda: None
    worst: float = 0.0  # most work within a second while cold, as a multiple of what it could do
    held: deque[Job] = field(default_factory=deque)
    running: dict[Job, None] = field(default_factory=dict)  # in order: a set's would be another each time
    repeats: int = 0  # keyed ones that did not run again
    _burden: deque[tuple[int, int]] = field(default_factory=deque)

    def attach(self, loop: Loop, rng: random.Random) -> Upstream:
        self._loop, self._rng = loop, rng
        return self

    def warmth(self, now: int) -> float:
        if not self.cold_us:
            return 1.0
        return min(1.0, self.cold_share + (1 - self.cold_share) * (now - self.started) / self.cold_us)

    def load(self) -> LoadReport:
        return LoadReport(float(len(self.held) + len(self.running)), float(len(self.held)), 0.0)

    def take(self, job: Job) -> None:
        """An attempt's last byte has come."""
        if self.silent:
            return
        if not self.up or self.fallen:
            job.end(Outcome.CONNECT_FAILED)
        elif len(self.running) + len(self.held) >= self.slots + self.room:
            job.end(Outcome.REJECTED)
        else:
            self._bear(job.work)
            self.held.append(job)
            self._next()

    def kill(self) -> None:
        """It goes, and all its connections with it."""
        self.up = False
        gone, self.running = [*self.running, *self.held], {}
        self.held.clear()
        for job in gone:
            job.end(Outcome.RESET)

    def start(self, cold_us: int, fall: float = 0.0) -> None:
        """A new process: cold, with nothing of the old one."""
        if self.up:
            self.kill()
        self.up, self.fallen, self.started = True, False, self._loop.now
        self.cold_us, self.fall = cold_us, fall
        self._burden.clear()

    def _bear(self, work: int) -> None:
        now = self._loop.now
        self._burden.append((now, work))
        while self._burden[0][0] < now - S:
            self._burden.popleft()
        warmth = self.warmth(now)
        if warmth < 1:
            told = sum(w for _, w in self._burden) / (max(1, self.slots) * warmth * S)
            self.worst = max(self.worst, told)
            if self.fall and told > self.fall:
                self.fallen = True
                self._loop.after(0, self.fell)

    def _next(self) -> None:
        while self.up and len(self.running) < self.slots and self.held:
            job = self.held.popleft()
            if job.over:
                continue  # cancelled while it stood in line
            if job.latest and self._loop.now > job.latest:
                job.end(Outcome.REJECTED)
                continue
            if job.key and self.memory is not None and self.memory.repeats(job.key, self._loop.now):
                self.repeats += 1
                job.end(Outcome.OK)
                continue
            self.running[job] = None
            job.began()
            part = self._rng.uniform(1 - self.spread, 1 + self.spread)
            lasts = int(job.work * part * self.slow / self.warmth(self._loop.now))
            self._loop.after(lasts, partial(self._worked, job))

    def _worked(self, job: Job) -> None:
        if job not in self.running:
            return  # its process has gone
        if job.below is not None and not job.over:
            job.below(partial(self._done, job))  # its slot is held meanwhile
        else:
            self._done(job, True)

    def _done(self, job: Job, well: bool) -> None:
        if job not in self.running:
            return
        del self.running[job]
        failed = not well or (self.errors > 0 and self._rng.random() < self.errors)
        job.end(Outcome.ERROR if failed else Outcome.OK)
        self._next()
