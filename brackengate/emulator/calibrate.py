"""How far the emulator and real sockets are apart on one scenario, by class and outcome."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from brackengate.emulator.report import ENDS, Outcome, Summary

NEAR = 1.96  # standard errors: within that the two can't be told apart


@dataclass(frozen=True, slots=True)
class Apart:
    """One class and outcome: parts of the items, of both."""

    name: str
    end: str
    emulated: float
    real: float
    noise: float  # of their difference, by chance alone

    @property
    def difference(self) -> float:
        return self.real - self.emulated

    @property
    def told_apart(self) -> bool:
        return abs(self.difference) > NEAR * self.noise


def pooled(runs: Iterable[Summary]) -> dict[str, Outcome]:
    """Several seeds as one."""
    made: dict[str, Outcome] = {}
    for run in runs:
        for name, one in run.classes.items():
            all_of = made.setdefault(name, Outcome())
            all_of.ends += Counter(one.ends)
            all_of.took += one.took
    return made


def compare(emulated: Sequence[Summary], real: Sequence[Summary]) -> Iterator[Apart]:
    """By class and outcome, over all seeds together."""
    one, other = pooled(emulated), pooled(real)
    for name in one:
        for end in ENDS:
            counts = [(side[name].ends[end], max(1, side[name].items)) for side in (one, other)]
            parts = [count / items for count, items in counts]
            # One more of each, so that none and none has an error too (Agresti and Caffo, 2000).
            near = [(count + 1) / (items + 2) for count, items in counts]
            noise = sum(p * (1 - p) / (items + 2) for p, (_, items) in zip(near, counts, strict=True)) ** 0.5
            yield Apart(name, end, parts[0], parts[1], noise)


def times(
    emulated: Sequence[Summary], real: Sequence[Summary], part: float
) -> Iterator[tuple[str, float, float]]:
    """By class: a quantile of the served items' times in milliseconds, of both."""
    one, other = pooled(emulated), pooled(real)
    for name in one:
        yield name, one[name].quantile(part) / 1000, other[name].quantile(part) / 1000
