"""When one instance of a fleet goes over to a version, and whether it goes back.  Pure.

Instances share nothing, so each judges by its own counts only.  Each draws its place from a hash of its own
name and the version's digest: another part of the fleet is the canary each time, and nobody has to be told.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in microseconds."""

    jitter: int = 0
    canary: float = 0.0  # the part of the fleet that goes first
    canary_time: int = 30_000_000  # how long a version is judged, and how much later the others go
    least: int = 20  # answers before a version is judged
    more: float = 0.05  # more failed, as a part of all, than before


@dataclass(slots=True)
class Counts:
    """Answers, and those of them that failed."""

    all: float = 0.0
    bad: float = 0.0

    def add(self, bad: bool) -> None:
        self.all += 1
        self.bad += bad

    def part(self) -> float:
        return self.bad / self.all if self.all else 0.0


def draw(*words: str) -> float:
    """A number from 0 to 1, the same for the same words."""
    raw = hashlib.blake2b("\0".join(words).encode(), digest_size=8).digest()
    return int.from_bytes(raw, "big") / 2.0**64


class Rollout:
    def __init__(self, terms: Terms, instance: str) -> None:
        self.terms, self._instance = terms, instance
        self._before, self._now = Counts(), Counts()
        self._halved = 0  # when the counts before were last halved
        self._until = 0  # how long the present version is judged; 0: it is not

    def is_canary(self, digest: str) -> bool:
        return draw(self._instance, digest) < self.terms.canary

    def delay(self, digest: str, takes_away: bool) -> int:
        """How long after it was told this instance goes over to a version.

        `takes_away`: it has a pool less.  Those that leave are told of now, so it waits for the jitter alone,
        whose bound is under the cutoff of 500 ms, and never for a canary.
        """
        wait = int(self.terms.jitter * draw("jitter", self._instance, digest))
        if self.terms.canary and not takes_away and not self.is_canary(digest):
            wait += self.terms.canary_time
        return wait

    def began(self, now: int) -> None:
        """A version has come into use: it is judged from now on, where there are canaries."""
        if self.terms.canary:
            if not self._until:  # else what is judged is not yet known to be good, and no measure
                self._before.all += self._now.all
                self._before.bad += self._now.bad
            self._now, self._until = Counts(), now + self.terms.canary_time

    def returned(self) -> None:
        """The version before is in use again: what was counted under the other says nothing of it."""
        self._now, self._until = Counts(), 0

    def judging(self) -> bool:
        return self._until > 0

    def due(self) -> int:
        """When the judging ends; 0: it is not under way."""
        return self._until

    def end(self, now: int) -> bool:
        """Whether the judging has ended by now, with the version in use found good."""
        if not self._until or now < self._until:
            return False
        self._until = 0
        return True

    def count(self, now: int, bad: bool) -> str:
        """One answer; why the version in use is to be left, or nothing."""
        if not self.terms.canary:
            return ""
        if self._until:
            self._now.add(bad)
            if self._now.all >= self.terms.least and self._now.part() > self._before.part() + self.terms.more:
                one, other = self._now, self._before
                return (
                    f"returned: {one.bad:.0f} of {one.all:.0f} answers failed,"
                    f" {other.part():.1%} of those before it"
                )
            return ""
        if now - self._halved > self.terms.canary_time:  # the measure is of late, not of all times
            for counts in (self._before, self._now):
                counts.all, counts.bad = counts.all / 2, counts.bad / 2
            self._halved = now
        self._before.add(bad)
        return ""
