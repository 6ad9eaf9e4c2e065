"""Which machines have gone silent: each pilot is watched by the few others that rendezvous hashing names.

A pilot sends signs of life to the few that its own address names (`named`), so what one sends and what it
watches does not grow with the fleet.  Whoever gets signs watches their sender, and tells the core when they
stop.  That is a reason to ask, and no verdict: the watcher may be the one that is cut off.  So each pilot
that hears of it asks the machine itself, and takes it for silent where no answer comes: its own way there is
what matters to its requests.  Silent, it gets nothing new; what is under way there is given up later, as a
machine that is only slow must not lose it.  Pure.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

FEW = 3  # that watch one
EVERY = 100_000  # between two signs of life
LATE = 320_000  # two signs lost in a row, and a little
ASKS = 50_000  # between two ticks while somebody is asked
CONFIRM = 150_000  # asked for so long without an answer: it is silent
GONE = 450_000  # and for so long: what is under way there will not be answered
ROUND = 600_000  # one that has answered is asked again after this, one that is gone too
GAP = 250_000  # between two ticks: this process stood still, and nothing that it has heard is fresh
NEVER = -(2**60)


def named(machine: str, pilots: Iterable[str]) -> tuple[str, ...]:
    """Those who watch this machine, by rendezvous hashing."""

    def rank(other: str) -> bytes:
        return hashlib.blake2b(f"{machine}|{other}".encode(), digest_size=8).digest()

    return tuple(sorted((one for one in pilots if one != machine), key=rank)[:FEW])


@dataclass(frozen=True, slots=True)
class Sends:
    signs: tuple[str, ...]
    asks: tuple[str, ...]


@dataclass(slots=True)
class Doubt:
    """Of one that a watcher does not hear."""

    next: int  # when it is asked
    since: int | None = None  # when it was asked first without an answer to that or a later ask


class Watch:
    def __init__(self, me: str, now: int) -> None:
        self.me = me
        self._pilots: frozenset[str] = frozenset()
        self._named: tuple[str, ...] | None = ()  # None: to be found at the next tick
        self._names_me: dict[str, bool] = {}  # late senders: whether this pilot watches them, by this list
        self._heard: dict[str, int] = {}  # by sender of signs
        self._doubts: dict[str, Doubt] = {}
        self._ticked = now
        self._signed = NEVER
        self.noticed: tuple[str, ...] = ()  # whom this watcher does not hear: what the core should know
        self.silent: frozenset[str] = frozenset()  # who does not answer this pilot either
        self.gone: frozenset[str] = frozenset()  # of these, for long

    @property
    def busy(self) -> bool:
        """Whether somebody is being asked: ticks are then wanted at each `ASKS`, else at each `EVERY`."""
        return bool(self._doubts)

    def know(self, pilots: Iterable[str], noticed: Iterable[str], now: int) -> None:
        """The machines by the list of upstreams, and those that any watcher does not hear."""
        pilots = frozenset(pilots)
        if pilots != self._pilots:
            self._pilots = pilots
            self._named = None  # at the next tick: when a region starts, the list changes a thousand times
            self._names_me.clear()
            self._heard = {one: at for one, at in self._heard.items() if one in pilots}
        doubted = (set(noticed) & pilots) - {self.me}
        self._doubts = {one: self._doubts.get(one) or Doubt(now) for one in doubted}
        self.silent, self.gone = self.silent & doubted, self.gone & doubted

    def sign(self, sender: str, now: int) -> None:
        if sender in self._pilots:
            self._heard[sender] = now
        self.answer(sender, now)

    def answer(self, sender: str, now: int) -> None:
        doubt = self._doubts.get(sender)
        if doubt is not None:
            doubt.since, doubt.next = None, now + ROUND
            self.silent, self.gone = self.silent - {sender}, self.gone - {sender}

    def tick(self, now: int) -> Sends:
        """Whom to send what; `noticed` and `silent` are right after it."""
        if now - self._ticked > GAP:
            self._heard = dict.fromkeys(self._heard, now)
            self._doubts = {one: Doubt(now) for one in self._doubts}
        self._ticked = now
        late = [one for one, at in self._heard.items() if now - at > LATE]
        for one in late:
            if not self._watches(one):
                del self._heard[one]  # it has others to send to by now
        self.noticed = tuple(sorted(one for one in late if one in self._heard))
        signs: tuple[str, ...] = ()
        if now - self._signed >= EVERY - ASKS // 2:
            if self._named is None:
                self._named = named(self.me, self._pilots)
            self._signed, signs = now, self._named
        return Sends(signs, tuple(one for one, doubt in self._doubts.items() if self._asks(one, doubt, now)))

    def _watches(self, one: str) -> bool:
        """Found once for each list: one that is dead is late at every tick until it leaves the list."""
        if one not in self._names_me:
            self._names_me[one] = self.me in named(one, self._pilots)
        return self._names_me[one]

    def _asks(self, one: str, doubt: Doubt, now: int) -> bool:
        """Whether to ask it now."""
        if now < doubt.next:
            return False
        if doubt.since is None:
            doubt.since = now
        elif now - doubt.since >= GONE:
            self.gone |= {one}
            doubt.next = now + ROUND
        if now - doubt.since >= CONFIRM:
            self.silent |= {one}
        return True
