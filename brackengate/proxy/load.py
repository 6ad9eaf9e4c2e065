"""Estimates the queueing time at the upstream, and rejects requests that would be answered too late.

The proxy sees all requests to its upstream, so it knows what no caller can: how many are ahead of a request.
One that would be late is rejected at once, while another upstream may still accept it, and before it delays
others.  Work of a lower priority leaves room for work of a higher one that can wait less: otherwise calls
that others wait for would starve behind it.  Short requests among long ones may be late rather than rejected:
they cost the others little, and their callers have spent more on them.  Pure; times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

MEAN_WEIGHT = 0.1  # of a new duration in a moving mean
LATE_WAIT_SHARE = 0.3  # of the remaining time: the longest wait of a request that misses its target anyway
LATE_SHORT_WAIT_SHARE = 0.8  # the same for a request that is very short compared with those that run
MIN_TIME_SHARE = 0.3  # of the mean: lower bound of the duration of a request that waited
FIRST_TRY_WAIT_SHARE = 0.85  # of the wait that the target allows: the rest is for requests rejected before
# Of the longest wait of other routes, of a higher or of the same priority: the longest wait of a request.
LOWER_PRIORITY_WAIT_SHARE, EQUAL_PRIORITY_WAIT_SHARE = 0.5, 0.8
RECENT_US = 2_000_000  # routes without requests for this long are left out


@dataclass(slots=True)
class RouteLoad:
    """What is known about the requests of one route."""

    mean_time: float = 0.0  # at the upstream, without waiting
    priority: int = 0
    max_wait: float = 0.0  # that a request can accept which has just begun
    last_seen: int = -(2**60)


@dataclass(slots=True)
class LoadTicket:
    """One request at the upstream, with the estimates made when it was sent."""

    route_load: RouteLoad
    sent_at: int
    expected_wait: float  # for the requests ahead of it
    expected_time: float  # its own, without the wait


class UpstreamLoad:
    """The requests at one upstream.  `slots`: how many it works on at once."""

    def __init__(self) -> None:
        self.slots = 1
        self.running = 0
        self._routes: dict[str, RouteLoad] = {}
        self._overall_mean = 0.0  # of the time without waiting, over all routes
        self._total_work = 0.0  # sum of the expected times of the requests at the upstream

    def accepts(
        self, route: str, priority: int, target_latency: int, remaining: int, client_retry: bool, now: int
    ) -> bool:
        """Whether a request of this route may go to the upstream.

        `priority`: 0 is the highest.  `target_latency`: the time until its answer loses value; `remaining`:
        the time until nobody awaits it; `client_retry`: it was rejected before.
        """
        route_load = self._routes.setdefault(route, RouteLoad())
        service_time, wait = route_load.mean_time or self._overall_mean, self._wait()
        # A request that comes late, e.g. after a rejection, does not show how long a first try can wait.
        if target_latency > service_time:
            route_load.max_wait = max(
                LATE_WAIT_SHARE * (remaining - service_time), target_latency - service_time
            )
        route_load.priority, route_load.last_seen = priority, now
        if wait <= 0:
            return True
        shortness = 1 - min(1.0, service_time * self.running / self._total_work) if self._total_work else 0.0
        max_wait = max(
            target_latency - service_time,
            (LATE_WAIT_SHARE + (LATE_SHORT_WAIT_SHARE - LATE_WAIT_SHARE) * shortness)
            * (remaining - service_time),
        )
        max_wait *= 1.0 if client_retry else FIRST_TRY_WAIT_SHARE
        for other in self._routes.values():
            if (
                other is not route_load
                and other.priority <= priority
                and now - other.last_seen < RECENT_US
                and other.mean_time
            ):
                max_wait = min(
                    max_wait,
                    (EQUAL_PRIORITY_WAIT_SHARE if other.priority == priority else LOWER_PRIORITY_WAIT_SHARE)
                    * other.max_wait,
                )
        return wait <= max_wait

    def _wait(self) -> float:
        """The expected wait of a request sent now, until as many have ended as are ahead of it."""
        ahead = self.running - self.slots + 1
        return ahead / self.slots * self._total_work / self.running if ahead > 0 else 0.0

    def record_start(self, route: str, now: int) -> LoadTicket:
        """A request of this route is sent to the upstream."""
        route_load = self._routes.setdefault(route, RouteLoad())
        ticket = LoadTicket(route_load, now, self._wait(), route_load.mean_time or self._overall_mean)
        self.running += 1
        self._total_work += ticket.expected_time
        return ticket

    def record_end(self, ticket: LoadTicket, now: int, ran: bool) -> None:
        """The request has ended.  `ran`: it was served, so that its duration counts in the means."""
        self.running -= 1
        self._total_work = max(0.0, self._total_work - ticket.expected_time) if self.running else 0.0
        if not ran:
            return
        route_load = ticket.route_load
        service_time = max(now - ticket.sent_at - ticket.expected_wait, MIN_TIME_SHARE * route_load.mean_time)
        route_load.mean_time += (MEAN_WEIGHT if route_load.mean_time else 1.0) * (
            service_time - route_load.mean_time
        )
        self._overall_mean += (MEAN_WEIGHT if self._overall_mean else 1.0) * (
            service_time - self._overall_mean
        )
