"""What an upstream can still take: the gate's own count against its slots, and what waiting there would
cost.  Pure.

The gate sees all that its upstream is given, so it knows what no caller can: how many are before a request.
One that would come too late is turned away at once, while another upstream may still take it, and before it
holds up others. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

LEARN = 0.1  # weight of a new duration in a mean
LATE_PART = 0.3  # of the time that is left: the wait that one may take which is late anyway
FRESH_PART = 0.85  # of the wait that its aim allows: the rest is for those who were refused before


@dataclass(slots=True)
class Ticket:
    """One request at the upstream."""

    kind: str
    sent: int
    ahead: int  # that waited before it


class Load:
    def __init__(self) -> None:
        self.slots = 1
        self.running = 0
        self._mean: dict[str, float] = {}  # by route: what one takes that does not wait
        self._all = 0.0  # over all of them

    def takes(self, kind: str, aim: int, left: int, again: bool) -> bool:
        """Whether one of this kind may go to the upstream.

        `aim`: until its answer loses worth; `left`: until nobody awaits it; `again`: it was refused before.
        """
        ahead = self.running - self.slots + 1
        if ahead <= 0:
            return True
        own = self._mean.get(kind, self._all)
        wait = ahead / self.slots * self._all
        if aim <= own:
            return wait <= LATE_PART * (left - own)
        return wait <= (1.0 if again else FRESH_PART) * (aim - own)

    def sent(self, kind: str, now: int) -> Ticket:
        ticket = Ticket(kind, now, max(0, self.running - self.slots + 1))
        self.running += 1
        return ticket

    def ended(self, ticket: Ticket, now: int, ran: bool) -> None:
        """It is over.  `ran`: its time tells what the upstream needs."""
        self.running -= 1
        if not ran:
            return
        own = (now - ticket.sent) / (1 + ticket.ahead / self.slots)
        mean = self._mean.get(ticket.kind, own)
        self._mean[ticket.kind] = mean + LEARN * (own - mean)
        self._all += (LEARN if self._all else 1.0) * (own - self._all)

    def forget(self, kinds: set[str]) -> None:
        """Only these routes are left."""
        self._mean = {kind: mean for kind, mean in self._mean.items() if kind in kinds}
