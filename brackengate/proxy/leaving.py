"""When a proxy that was told to stop closes which door.  Pure.

Its clients still come for a while: the platform moves them after two looks at readiness, and leaves them here
where few others of the zone are ready.  What is taken is finished: a request that could outlast the process
is turned away, since 503 promises that it has not run, while a connection that ends says nothing.

Times are microseconds of a steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass

CLIENTS_PART = 55  # hundredths of the grace in which clients are taken: until two looks have failed
ANY_LENGTH = 2_900_000  # after the stop; until then requests of any length are taken
NEWS = 300_000  # for the news that the gate will close
SPARE = 600_000  # of the grace, at its end: for the process to end
REFUSED_FOR = 1_000_000  # what a client that is turned away is told: by then a restarted process may be ready


@dataclass(frozen=True, slots=True)
class LeavePlan:
    """`longest`: the longest time that a route gives its requests."""

    begun: int
    grace: int
    longest: int

    @property
    def ends_by(self) -> int:
        """The process ends, whatever it holds."""
        return self.begun + self.grace - SPARE

    @property
    def gate_closes(self) -> int:
        """Other proxies' requests are taken until then: what came last can end in time."""
        last = min(self.clients_end, self.ends_by - self.longest - NEWS)
        return max(self.begun + NEWS, last)

    @property
    def leaves_list(self) -> int:
        """Other proxies hear that they are to look elsewhere."""
        return self.gate_closes - NEWS

    @property
    def clients_end(self) -> int:
        """No client's request is taken from then on; the process ends when it holds nothing."""
        return self.begun + self.grace * CLIENTS_PART // 100

    def takes(self, limit: int, now: int) -> bool:
        """Whether to take a request of a client that may last for so long."""
        if now >= self.clients_end:
            return False
        return now < self.begun + ANY_LENGTH or now + limit <= self.ends_by
