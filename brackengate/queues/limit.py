"""How many requests may be out at once, learned from how long answers take and from refusals.  Pure.

Additive increase, multiplicative decrease, against a part of each class's aim: see docs/queues-design.md for
why not against the shortest time seen.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

WINDOW_US = 100_000
ENOUGH, LONG_WINDOWS = 5, 5  # samples; with fewer a window goes on, up to this many times its length
LATE_SHARE, REFUSED_SHARE = 0.1, 0.05  # of a window's samples, above which the limit falls
MANY_LATE = 0.4  # of a window's samples, from which it falls by more the more there are
RISE, LEAST_CUT, MOST_CUT = 0.05, 0.9, 0.5
FLOOR_US = 10_000_000  # a span for which the shortest time of a class counts; the one before counts too
CALM = 0.25  # of the limit: a request that begins with no more out shows what its class takes by nature
OVER_FLOOR, FLOOR_MOST, OVER_SLOW = 2.0, 0.7, 1.2  # see `Limit.target`
IN_USE = 0.85  # of the limit, below which a calm window tells nothing of what more would do


@dataclass(frozen=True, slots=True)
class LimitBounds:
    least: int = 4
    start: int = 32
    most: int = 2048
    target: float = 0.35  # of a class's aim, which an answer may take


class Limit:
    """`value`: the limit now.  It falls once a window at the most, by what was seen since it last fell."""

    def __init__(self, bounds: LimitBounds) -> None:
        self.bounds = bounds
        self.value = float(bounds.start)
        self.falls = self.rises = 0
        self._began = 0
        self._fell = 0
        self._peak = 0
        self._ratios: list[float] = []
        self._refused = 0
        self._floors: dict[str, tuple[int, int, int]] = {}  # by class: span, shortest in it, and in the last

    def target(self, class_name: str, aim: int) -> float:
        """How long an answer of this class may take, in microseconds.

        A part of its aim.  One that takes longer by nature may take twice its shortest time, within
        `FLOOR_MOST` of the aim, and one that cannot keep even that a fifth more than its shortest.
        """
        _, shortest, before = self._floors.get(class_name, (0, 0, 0))
        floor = min(shortest, before)
        most = max(FLOOR_MOST * aim, OVER_SLOW * floor)
        return max(1.0, min(max(self.bounds.target * aim, OVER_FLOOR * floor), most))

    def room(self, running: int) -> bool:
        return running < int(self.value)

    def began(self, now: int, running: int) -> bool:
        """One more is out: `running` with it.  Whether so few are that its time tells of its class alone."""
        if not self._began:
            self._began = now
        self._peak = max(self._peak, running)
        return running <= max(self.bounds.least, CALM * self.value)

    def ended(
        self, class_name: str, began: int, now: int, aim: int, served: bool, refused: bool, calm: bool = False
    ) -> None:
        """A request that was handed on at `began` is over; `refused`: the module gave it up.

        Whatever became of it, it counts if it took too long: a client that leaves must not hide that.
        """
        took = now - began
        if served and calm:
            span = now // FLOOR_US
            last, shortest, before = self._floors.get(class_name, (span, took, took))
            if span == last:
                self._floors[class_name] = span, min(shortest, took), before
            else:
                self._floors[class_name] = span, took, shortest
        if began < self._fell:
            return  # it met what was out before the limit fell
        ratio = took / self.target(class_name, aim)
        if refused:
            self._refused += 1
        elif served or ratio > 1:
            self._ratios.append(ratio)

    def window_over(self, now: int) -> bool:
        return now - self._began >= WINDOW_US

    def look(self, now: int, out: Iterable[tuple[str, int, int]], running: int) -> None:
        """When the window is over.  `out`: class, since when, and aim; the oldest first.

        Guards against what goes silent: requests that have been out for too long count before they end.
        """
        lasted = now - self._began
        overdue = []
        for class_name, began, aim in out:
            ratio = (now - began) / self.target(class_name, aim)
            if ratio > 1 and began >= self._fell:
                overdue.append(ratio)
        ratios = sorted(self._ratios + overdue)
        seen = len(ratios) + self._refused
        if seen < ENOUGH and lasted < LONG_WINDOWS * WINDOW_US:
            return
        if seen:
            self._judge(now, ratios, seen)
        self._ratios, self._refused = [], 0
        self._began, self._peak = now, running

    def _judge(self, now: int, ratios: list[float], seen: int) -> None:
        late = sum(1 for ratio in ratios if ratio > 1) / seen
        refused = self._refused / seen
        if late > LATE_SHARE or refused > REFUSED_SHARE:
            middle = ratios[int(0.7 * len(ratios))] if ratios else 1.0
            factor = min(LEAST_CUT, 1 / max(middle, 1e-9), 1 - refused / 2, 1 - (late - MANY_LATE))
            base = min(self.value, 2.0 * max(self._peak, 1))
            self.value = max(float(self.bounds.least), base * max(MOST_CUT, factor))
            self._fell = now
            self.falls += 1
        elif self._peak >= IN_USE * int(self.value):
            self.value = min(float(self.bounds.most), self.value + max(1.0, RISE * self.value))
            self.rises += 1
