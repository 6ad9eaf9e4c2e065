"""Decides when one instance of a fleet applies a version, and whether it reverts to the one before.

No I/O and no clock.  Instances share nothing, so each evaluates a version by its own counts only.  Whether an
instance is a canary follows from a hash of its name and the version's digest: each version has other
canaries, and they need no coordination.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """How a version is rolled out; canary_share 0: without canaries and evaluation."""

    jitter_us: int = 0
    canary_share: float = 0.0  # of the fleet that applies a version first
    canary_time_us: int = 30_000_000  # length of an evaluation, and how much later the other instances follow
    min_answers: int = 20  # before a version can be reverted
    max_failure_increase: float = 0.05  # of the share of failed answers over the baseline


@dataclass(slots=True)
class Counts:
    """The number of answers and of failed ones; fractions, as old counts are halved."""

    total: float = 0.0
    failed: float = 0.0

    def add(self, failed: bool) -> None:
        """Count one answer."""
        self.total += 1
        self.failed += failed

    def failure_share(self) -> float:
        """Failed answers as a share of all; 0 without answers."""
        return self.failed / self.total if self.total else 0.0


def hash_fraction(*parts: str) -> float:
    """A number from 0 to 1, the same for the same parts."""
    digest_bytes = hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
    return int.from_bytes(digest_bytes, "big") / 2.0**64


class Rollout:
    """One instance's schedule for versions, and its evaluation of the one in use."""

    def __init__(self, settings: RolloutSettings, instance: str) -> None:
        self.settings, self._instance = settings, instance
        self._baseline, self._current = Counts(), Counts()
        self._halved_at = 0  # when the counts were last halved
        self._evaluation_ends_at = 0  # 0: no evaluation is in progress

    def is_canary(self, digest: str) -> bool:
        """Whether this instance is among the first to apply the version with this digest."""
        return hash_fraction(self._instance, digest) < self.settings.canary_share

    def delay(self, digest: str, removes_pools: bool) -> int:
        """Microseconds from the arrival of a version until this instance applies it.

        `removes_pools`: the version lacks a pool that is in use.  Its upstreams are leaving already, so the
        version waits for the jitter only, whose bound is under the cutoff of 500 ms, and never for a canary.
        """
        wait = int(self.settings.jitter_us * hash_fraction("jitter", self._instance, digest))
        if self.settings.canary_share and not removes_pools and not self.is_canary(digest):
            wait += self.settings.canary_time_us
        return wait

    def start_evaluation(self, now: int) -> None:
        """Evaluate the version that has come into use, if there are canaries."""
        if self.settings.canary_share:
            # A version that is still being evaluated is not known to be good, so it is no baseline.
            if not self._evaluation_ends_at:
                self._baseline.total += self._current.total
                self._baseline.failed += self._current.failed
            self._current, self._evaluation_ends_at = Counts(), now + self.settings.canary_time_us

    def cancel_evaluation(self) -> None:
        """Another version is in use again; the counts of the evaluated one do not apply to it."""
        self._current, self._evaluation_ends_at = Counts(), 0

    def is_evaluating(self) -> bool:
        """Whether an evaluation is in progress."""
        return self._evaluation_ends_at > 0

    def due(self) -> int:
        """When the evaluation ends; 0: none is in progress."""
        return self._evaluation_ends_at

    def end_evaluation(self, now: int) -> bool:
        """End an evaluation whose time is over; True: it ended now, and the version in use is good."""
        if not self._evaluation_ends_at or now < self._evaluation_ends_at:
            return False
        self._evaluation_ends_at = 0
        return True

    def record_answer(self, now: int, failed: bool) -> str:
        """Count one answer; returns why the version in use must be reverted, or ""."""
        if not self.settings.canary_share:
            return ""
        if self._evaluation_ends_at:
            self._current.add(failed)
            if (
                self._current.total >= self.settings.min_answers
                and self._current.failure_share()
                > self._baseline.failure_share() + self.settings.max_failure_increase
            ):
                current, baseline = self._current, self._baseline
                return (
                    f"returned: {current.failed:.0f} of {current.total:.0f} answers failed,"
                    f" {baseline.failure_share():.1%} of those before it"
                )
            return ""
        if now - self._halved_at > self.settings.canary_time_us:  # old answers count less
            for counts in (self._baseline, self._current):
                counts.total, counts.failed = counts.total / 2, counts.failed / 2
            self._halved_at = now
        self._baseline.add(failed)
        return ""
