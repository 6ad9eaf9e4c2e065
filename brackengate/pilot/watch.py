"""Which machines have gone silent: each pilot is watched by the few others that rendezvous hashing names.

A pilot sends signs of life to the few that its own address names (`named`), so what one sends and what it
watches does not grow with the fleet.  Whoever gets signs watches their sender, and tells the core when they
stop.  That is a reason to ask, and no verdict: the watcher may be the one that is cut off.  So each pilot
that hears of it asks the machine itself, and takes it for silent where no answer comes: its own way there is
what matters to its requests.  Pure.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

FEW = 3  # that watch one
EVERY = 100_000  # between two signs of life
LATE = 320_000  # two signs lost in a row, and a little
ASKS = 50_000  # between two ticks while somebody is asked
CONFIRM = 150_000  # for an answer to any of the asks of a round
ROUND = 600_000  # between two rounds
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


class Watch:
    def __init__(self, me: str, now: int) -> None:
        self.me = me
        self._pilots: frozenset[str] = frozenset()
        self._named: tuple[str, ...] = ()
        self._heard: dict[str, int] = {}  # by sender of signs
        self._rounds: dict[str, int] = {}  # of those that a watcher does not hear, since when they are asked
        self._proof: dict[str, int] = {}  # of these, when they last said anything
        self._ticked = now
        self._signed = NEVER
        self.noticed: tuple[str, ...] = ()  # whom this watcher does not hear: what the core should know
        self.silent: frozenset[str] = frozenset()  # who does not answer this pilot either

    @property
    def busy(self) -> bool:
        """Whether somebody is being asked: ticks are then wanted at each `ASKS`, else at each `EVERY`."""
        return bool(self._rounds)

    def know(self, pilots: Iterable[str], noticed: Iterable[str], now: int) -> None:
        """The machines by the list of upstreams, and those that any watcher does not hear."""
        pilots = frozenset(pilots)
        if pilots != self._pilots:
            self._pilots = pilots
            self._named = named(self.me, pilots)
            self._heard = {one: at for one, at in self._heard.items() if one in pilots}
        doubted = (set(noticed) & pilots) - {self.me}
        self._rounds = {one: self._rounds.get(one, now) for one in doubted}
        self._proof = {one: at for one, at in self._proof.items() if one in doubted}
        self.silent &= doubted

    def sign(self, sender: str, now: int) -> None:
        if sender in self._pilots:
            self._heard[sender] = now
        self.answer(sender, now)

    def answer(self, sender: str, now: int) -> None:
        if sender in self._rounds:
            self._proof[sender] = now
            self.silent -= {sender}

    def tick(self, now: int) -> Sends:
        """Whom to send what; `noticed` and `silent` are right after it."""
        if now - self._ticked > GAP:
            self._heard = dict.fromkeys(self._heard, now)
            self._rounds = dict.fromkeys(self._rounds, now)
        self._ticked = now
        late = [one for one, at in self._heard.items() if now - at > LATE]
        for one in late:
            if self.me not in named(one, self._pilots):
                del self._heard[one]  # it has others to send to by now
        self.noticed = tuple(sorted(one for one in late if one in self._heard))
        signs: tuple[str, ...] = ()
        if now - self._signed >= EVERY - ASKS // 2:
            self._signed, signs = now, self._named
        return Sends(signs, tuple(one for one in self._rounds if self._doubt(one, now)))

    def _doubt(self, one: str, now: int) -> bool:
        """Whether to ask it now."""
        since = now - self._rounds[one]
        if since < CONFIRM:
            return True
        if self._proof.get(one, NEVER) < self._rounds[one]:
            self.silent |= {one}
        if since < ROUND:
            return False
        self._rounds[one] = now
        return True
