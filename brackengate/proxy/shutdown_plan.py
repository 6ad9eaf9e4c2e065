"""When a proxy that shuts down closes its egress and its ingress.  Pure.

Its clients still send requests for a while: the platform moves them after two readiness checks, and leaves
them here if few other proxies of the zone are ready.  Accepted requests are finished: one that could outlast
the process is rejected, since 503 promises that it has not run, while a closed connection says nothing.

Times are microseconds of a steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass

CLIENT_GRACE_PERCENT = 55  # of the grace period: clients are served until two readiness checks have failed
ANY_LENGTH_US = 2_900_000  # after the start; until then requests with any time limit are accepted
NOTICE_US = 300_000  # for other proxies to learn that the ingress will close
EXIT_RESERVE_US = 600_000  # of the grace period, at its end: for the process to exit
RETRY_AFTER_US = 1_000_000  # for rejected clients: by then a restarted process may be ready


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """The schedule of a shutdown.  `longest_request`: the longest timeout of any route."""

    started_at: int
    grace: int
    longest_request: int

    @property
    def exit_deadline(self) -> int:
        """The process exits, whatever requests are pending."""
        return self.started_at + self.grace - EXIT_RESERVE_US

    @property
    def ingress_closes_at(self) -> int:
        """Until when other proxies' requests are accepted, so that the last ones can finish in time."""
        last = min(self.egress_closes_at, self.exit_deadline - self.longest_request - NOTICE_US)
        return max(self.started_at + NOTICE_US, last)

    @property
    def deregisters_at(self) -> int:
        """When other proxies are notified that they should use another upstream."""
        return self.ingress_closes_at - NOTICE_US

    @property
    def egress_closes_at(self) -> int:
        """From then on client requests are rejected, and the process exits once none is pending."""
        return self.started_at + self.grace * CLIENT_GRACE_PERCENT // 100

    def accepts(self, time_limit: int, now: int) -> bool:
        """Whether to accept a client's request with this time limit."""
        if now >= self.egress_closes_at:
            return False
        return now < self.started_at + ANY_LENGTH_US or now + time_limit <= self.exit_deadline
