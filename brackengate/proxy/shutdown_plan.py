"""When a proxy that was told to stop closes which door.  Pure.

Its clients still come for a while: the platform moves them after two looks at readiness, and leaves them here
where few others of the zone are ready.  What is taken is finished: a request that could outlast the process
is turned away, since 503 promises that it has not run, while a connection that ends says nothing.

Times are microseconds of a steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass

CLIENT_GRACE_PERCENT = 55  # hundredths of the grace in which clients are taken: until two looks have failed
ANY_LENGTH_US = 2_900_000  # after the stop; until then requests of any length are taken
NOTICE_US = 300_000  # for the news that the gate will close
EXIT_RESERVE_US = 600_000  # of the grace, at its end: for the process to end
RETRY_AFTER_US = (
    1_000_000  # what a client that is turned away is told: by then a restarted process may be ready
)


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """`longest`: the longest time that a route gives its requests."""

    started_at: int
    grace: int
    longest_request: int

    @property
    def exit_deadline(self) -> int:
        """The process ends, whatever it holds."""
        return self.started_at + self.grace - EXIT_RESERVE_US

    @property
    def ingress_closes_at(self) -> int:
        """Other proxies' requests are taken until then: what came last can end in time."""
        last = min(self.egress_closes_at, self.exit_deadline - self.longest_request - NOTICE_US)
        return max(self.started_at + NOTICE_US, last)

    @property
    def deregisters_at(self) -> int:
        """Other proxies hear that they are to look elsewhere."""
        return self.ingress_closes_at - NOTICE_US

    @property
    def egress_closes_at(self) -> int:
        """No client's request is taken from then on; the process ends when it holds nothing."""
        return self.started_at + self.grace * CLIENT_GRACE_PERCENT // 100

    def accepts(self, time_limit: int, now: int) -> bool:
        """Whether to take a request of a client that may last for so long."""
        if now >= self.egress_closes_at:
            return False
        return now < self.started_at + ANY_LENGTH_US or now + time_limit <= self.exit_deadline
