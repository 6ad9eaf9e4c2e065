"""What an upstream can still take: the gate's own count against its slots, and what waiting there would cost.

The gate sees all that its upstream is given, so it knows what no caller can: how many are before a request.
One that would come too late is turned away at once, while another upstream may still take it, and before it
holds up others.  Work of a lower rank leaves room for that of a higher one which can wait
less: else calls that others wait for starve behind it.  What is short among long work may come late rather
than not at all: it costs the others little, and whoever called it has spent more.  Pure; times are
microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

MEAN_WEIGHT = 0.1  # weight of a new duration in a mean
LATE_WAIT_SHARE = 0.3  # of the time that is left: the wait that one may take which is late anyway
LATE_SHORT_WAIT_SHARE = 0.8  # the same for one that takes next to nothing of the time of what runs here
MIN_TIME_SHARE = 0.3  # of a mean: less than this is not believed of one that waited
FIRST_TRY_WAIT_SHARE = 0.85  # of the wait that its aim allows: the rest is for those who were refused before
LOWER_PRIORITY_WAIT_SHARE, EQUAL_PRIORITY_WAIT_SHARE = (
    0.5,
    0.8,
)  # of the wait that work of a higher rank, or of the same, can bear
RECENT_US = 2_000_000  # work that came this lately counts


@dataclass(slots=True)
class RouteLoad:
    """One route's work here."""

    mean_time: float = 0.0  # what one takes that does not wait
    priority: int = 0
    max_wait: float = 0.0  # the wait that one can bear that has just begun
    last_seen: int = -(2**60)


@dataclass(slots=True)
class LoadTicket:
    """One request at the upstream."""

    route_load: RouteLoad
    sent_at: int
    expected_wait: float  # what it was expected to wait for those before it
    expected_time: float  # what it was expected to take itself


class UpstreamLoad:
    def __init__(self) -> None:
        self.slots = 1
        self.running = 0
        self._routes: dict[str, RouteLoad] = {}
        self._overall_mean = 0.0  # what one takes, over all kinds
        self._total_work = 0.0  # what all that are at the upstream take, each for itself

    def accepts(
        self, route: str, priority: int, target_latency: int, remaining: int, client_retry: bool, now: int
    ) -> bool:
        """Whether one of this kind may go to the upstream.

        `rank`: 0 is the highest.  `aim`: until its answer loses worth; `left`: until nobody awaits it;
        `again`: it was refused before.
        """
        route_load = self._routes.setdefault(route, RouteLoad())
        service_time, wait = route_load.mean_time or self._overall_mean, self._wait()
        if (
            target_latency > service_time
        ):  # one that comes late, as after a refusal, does not say what a first one can bear
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
        """What one that comes now would wait: until as many have ended as are before it."""
        ahead = self.running - self.slots + 1
        return ahead / self.slots * self._total_work / self.running if ahead > 0 else 0.0

    def record_start(self, route: str, now: int) -> LoadTicket:
        route_load = self._routes.setdefault(route, RouteLoad())
        ticket = LoadTicket(route_load, now, self._wait(), route_load.mean_time or self._overall_mean)
        self.running += 1
        self._total_work += ticket.expected_time
        return ticket

    def record_end(self, ticket: LoadTicket, now: int, ran: bool) -> None:
        """It is over.  `ran`: its time tells what the upstream needs."""
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
