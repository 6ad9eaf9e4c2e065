"""What a pool takes no more of, so that one slow pool can't hold what all need.  Pure.

The decision module says what is refused for want of an upstream that may be sent to; this says what does not
get as far as that: more than the pool may hold here, a pool without upstreams, and one that has gone.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

LEARN = 0.1  # weight of one answer in the mean time


class Reason(Enum):
    FULL = "full"
    EMPTY = "empty"
    GONE = "gone"


WORDS = {
    Reason.FULL: b"refused: its pool holds as many requests as it may\n",
    Reason.EMPTY: b"refused: its pool has no upstreams\n",
    Reason.GONE: b"refused: its pool is gone\n",
}


class Bulkhead:
    """One pool's bound on requests that are held, with how long they are held on the mean."""

    def __init__(self, most: int, retry_after: int) -> None:
        """`most`: 0 is no bound.  `retry_after`: the longest advice that callers follow, microseconds."""
        self.most, self._longest = most, retry_after
        self.held = 0
        self.mean = 0.0
        self.refused: Counter[Reason] = Counter()

    def ask(self, upstreams: int, retired: bool) -> Reason | None:
        """Whether one more request may come in; a refusal is counted."""
        reason = None
        if retired:
            reason = Reason.GONE
        elif upstreams == 0:
            reason = Reason.EMPTY
        elif self.most and self.held >= self.most:
            reason = Reason.FULL
        if reason is None:
            self.held += 1
        else:
            self.refused[reason] += 1
        return reason

    def left(self, took: int) -> None:
        """One that came in has had its answer, or its caller has gone, after so many microseconds."""
        self.held -= 1
        self.mean += LEARN * (took - self.mean)

    def retry_after(self, reason: Reason) -> int:
        """When to come back, in microseconds; 0 where callers follow no advice.

        A full pool has room again when one is answered; the route of one that is gone has changed already.
        """
        if reason is Reason.EMPTY or not self._longest:
            return self._longest
        return min(self._longest, max(10_000, int(self.mean)))
