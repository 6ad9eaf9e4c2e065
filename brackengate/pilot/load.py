"""What an upstream can still take: the gate's own count against its slots, and what waiting there would cost.

The gate sees all that its upstream is given, so it knows what no caller can: how many are before a request.
One that would come too late is turned away at once, while another upstream may still take it, and before it
holds up others.  Work of a lower rank leaves room for that of a higher one which can wait
less: else calls that others wait for starve behind it.  Pure; times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

LEARN = 0.1  # weight of a new duration in a mean
LATE_PART = 0.3  # of the time that is left: the wait that one may take which is late anyway
FRESH_PART = 0.85  # of the wait that its aim allows: the rest is for those who were refused before
BELOW, BESIDE = 0.5, 0.8  # of the wait that work of a higher rank, or of the same, can bear
RECENT = 2_000_000  # work that came this lately counts


@dataclass(slots=True)
class Kind:
    """One route's work here."""

    mean: float = 0.0  # what one takes that does not wait
    rank: int = 0
    bears: float = 0.0  # the wait that one can bear that has just begun
    seen: int = -(2**60)


@dataclass(slots=True)
class Ticket:
    """One request at the upstream."""

    kind: Kind
    sent: int
    ahead: int  # that waited before it


class Load:
    def __init__(self) -> None:
        self.slots = 1
        self.running = 0
        self._kinds: dict[str, Kind] = {}
        self._all = 0.0  # what one takes, over all kinds

    def takes(self, name: str, rank: int, aim: int, left: int, again: bool, now: int) -> bool:
        """Whether one of this kind may go to the upstream.

        `rank`: 0 is the highest.  `aim`: until its answer loses worth; `left`: until nobody awaits it;
        `again`: it was refused before.
        """
        kind = self._kinds.setdefault(name, Kind())
        own = kind.mean or self._all
        bears = LATE_PART * (left - own)
        if aim > own:
            bears = max(bears, aim - own)
            kind.bears = bears
        kind.rank, kind.seen = rank, now
        ahead = self.running - self.slots + 1
        if ahead <= 0:
            return True
        bears *= 1.0 if again else FRESH_PART
        for other in self._kinds.values():
            if other is not kind and other.rank <= rank and now - other.seen < RECENT and other.mean:
                bears = min(bears, (BESIDE if other.rank == rank else BELOW) * other.bears)
        return ahead / self.slots * self._all <= bears

    def sent(self, name: str, now: int) -> Ticket:
        kind = self._kinds.setdefault(name, Kind())
        ticket = Ticket(kind, now, max(0, self.running - self.slots + 1))
        self.running += 1
        return ticket

    def ended(self, ticket: Ticket, now: int, ran: bool) -> None:
        """It is over.  `ran`: its time tells what the upstream needs."""
        self.running -= 1
        if not ran:
            return
        own = (now - ticket.sent) / (1 + ticket.ahead / self.slots)
        ticket.kind.mean += (LEARN if ticket.kind.mean else 1.0) * (own - ticket.kind.mean)
        self._all += (LEARN if self._all else 1.0) * (own - self._all)
