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

LEARN = 0.1  # weight of a new duration in a mean
LATE_PART = 0.3  # of the time that is left: the wait that one may take which is late anyway
LATE_SHORT = 0.8  # the same for one that takes next to nothing of the time of what runs here
LEAST = 0.3  # of a mean: less than this is not believed of one that waited
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
    waits: float  # what it was expected to wait for those before it
    takes: float  # what it was expected to take itself


class Load:
    def __init__(self) -> None:
        self.slots = 1
        self.running = 0
        self._kinds: dict[str, Kind] = {}
        self._all = 0.0  # what one takes, over all kinds
        self._work = 0.0  # what all that are at the upstream take, each for itself

    def takes(self, name: str, rank: int, aim: int, left: int, again: bool, now: int) -> bool:
        """Whether one of this kind may go to the upstream.

        `rank`: 0 is the highest.  `aim`: until its answer loses worth; `left`: until nobody awaits it;
        `again`: it was refused before.
        """
        kind = self._kinds.setdefault(name, Kind())
        own, wait = kind.mean or self._all, self._wait()
        if aim > own:  # one that comes late, as after a refusal, does not say what a first one can bear
            kind.bears = max(LATE_PART * (left - own), aim - own)
        kind.rank, kind.seen = rank, now
        if wait <= 0:
            return True
        short = 1 - min(1.0, own * self.running / self._work) if self._work else 0.0
        bears = max(aim - own, (LATE_PART + (LATE_SHORT - LATE_PART) * short) * (left - own))
        bears *= 1.0 if again else FRESH_PART
        for other in self._kinds.values():
            if other is not kind and other.rank <= rank and now - other.seen < RECENT and other.mean:
                bears = min(bears, (BESIDE if other.rank == rank else BELOW) * other.bears)
        return wait <= bears

    def _wait(self) -> float:
        """What one that comes now would wait: until as many have ended as are before it."""
        ahead = self.running - self.slots + 1
        return ahead / self.slots * self._work / self.running if ahead > 0 else 0.0

    def sent(self, name: str, now: int) -> Ticket:
        kind = self._kinds.setdefault(name, Kind())
        ticket = Ticket(kind, now, self._wait(), kind.mean or self._all)
        self.running += 1
        self._work += ticket.takes
        return ticket

    def ended(self, ticket: Ticket, now: int, ran: bool) -> None:
        """It is over.  `ran`: its time tells what the upstream needs."""
        self.running -= 1
        self._work = max(0.0, self._work - ticket.takes) if self.running else 0.0
        if not ran:
            return
        kind = ticket.kind
        own = max(now - ticket.sent - ticket.waits, LEAST * kind.mean)
        kind.mean += (LEARN if kind.mean else 1.0) * (own - kind.mean)
        self._all += (LEARN if self._all else 1.0) * (own - self._all)
