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

WATCHERS_PER_PROXY = 3  # that watch one
KEEPALIVE_INTERVAL_US = 100_000  # between two signs of life
KEEPALIVE_TIMEOUT_US = 320_000  # two signs lost in a row, and a little
PROBE_INTERVAL_US = 50_000  # between two ticks while somebody is asked
SILENT_AFTER_US = 150_000  # asked for so long without an answer: it is silent
GONE_AFTER_US = 450_000  # and for so long: what is under way there will not be answered
REPROBE_INTERVAL_US = 600_000  # one that has answered is asked again after this, one that is gone too
MAX_TICK_GAP_US = (
    250_000  # between two ticks: this process stood still, and nothing that it has heard is fresh
)
NEVER = -(2**60)


def watchers_of(machine: str, proxies: Iterable[str]) -> tuple[str, ...]:
    """Those who watch this machine, by rendezvous hashing."""

    def rank(other: str) -> bytes:
        return hashlib.blake2b(f"{machine}|{other}".encode(), digest_size=8).digest()

    return tuple(sorted((other for other in proxies if other != machine), key=rank)[:WATCHERS_PER_PROXY])


@dataclass(frozen=True, slots=True)
class Datagrams:
    keepalives: tuple[str, ...]
    probes: tuple[str, ...]


@dataclass(slots=True)
class Suspicion:
    """Of one that a watcher does not hear."""

    next_probe_at: int  # when it is asked
    unanswered_since: int | None = None  # when it was asked first without an answer to that or a later ask


class FailureDetector:
    def __init__(self, me: str, now: int) -> None:
        self.me = me
        self._proxies: frozenset[str] = frozenset()
        self._own_watchers: tuple[str, ...] | None = ()  # None: to be found at the next tick
        self._watched_here: dict[
            str, bool
        ] = {}  # late senders: whether this pilot watches them, by this list
        self._last_keepalive: dict[str, int] = {}  # by sender of signs
        self._suspicions: dict[str, Suspicion] = {}
        self._last_tick = now
        self._last_sent = NEVER
        self.suspects: tuple[str, ...] = ()  # whom this watcher does not hear: what the core should know
        self.silent: frozenset[str] = frozenset()  # who does not answer this pilot either
        self.gone: frozenset[str] = frozenset()  # of these, for long

    @property
    def probing(self) -> bool:
        """Whether somebody is being asked: ticks are then wanted at each `ASKS`, else at each `EVERY`."""
        return bool(self._suspicions)

    def update(self, proxies: Iterable[str], suspects: Iterable[str], now: int) -> None:
        """The machines by the list of upstreams, and those that any watcher does not hear."""
        proxies = frozenset(proxies)
        if proxies != self._proxies:
            self._proxies = proxies
            self._own_watchers = (
                None  # at the next tick: when a region starts, the list changes a thousand times
            )
            self._watched_here.clear()
            self._last_keepalive = {
                machine: at for machine, at in self._last_keepalive.items() if machine in proxies
            }
        suspected = (set(suspects) & proxies) - {self.me}
        self._suspicions = {machine: self._suspicions.get(machine) or Suspicion(now) for machine in suspected}
        self.silent, self.gone = self.silent & suspected, self.gone & suspected

    def receive_keepalive(self, sender: str, now: int) -> None:
        if sender in self._proxies:
            self._last_keepalive[sender] = now
        self.receive_probe_reply(sender, now)

    def receive_probe_reply(self, sender: str, now: int) -> None:
        suspicion = self._suspicions.get(sender)
        if suspicion is not None:
            suspicion.unanswered_since, suspicion.next_probe_at = None, now + REPROBE_INTERVAL_US
            self.silent, self.gone = self.silent - {sender}, self.gone - {sender}

    def tick(self, now: int) -> Datagrams:
        """Whom to send what; `noticed` and `silent` are right after it."""
        if now - self._last_tick > MAX_TICK_GAP_US:
            self._last_keepalive = dict.fromkeys(self._last_keepalive, now)
            self._suspicions = {machine: Suspicion(now) for machine in self._suspicions}
        self._last_tick = now
        late = [machine for machine, at in self._last_keepalive.items() if now - at > KEEPALIVE_TIMEOUT_US]
        for machine in late:
            if not self._watches(machine):
                del self._last_keepalive[machine]  # it has others to send to by now
        self.suspects = tuple(sorted(machine for machine in late if machine in self._last_keepalive))
        keepalives: tuple[str, ...] = ()
        if now - self._last_sent >= KEEPALIVE_INTERVAL_US - PROBE_INTERVAL_US // 2:
            if self._own_watchers is None:
                self._own_watchers = watchers_of(self.me, self._proxies)
            self._last_sent, keepalives = now, self._own_watchers
        return Datagrams(
            keepalives,
            tuple(
                machine
                for machine, suspicion in self._suspicions.items()
                if self._probe_due(machine, suspicion, now)
            ),
        )

    def _watches(self, machine: str) -> bool:
        """Found once for each list: one that is dead is late at every tick until it leaves the list."""
        if machine not in self._watched_here:
            self._watched_here[machine] = self.me in watchers_of(machine, self._proxies)
        return self._watched_here[machine]

    def _probe_due(self, machine: str, suspicion: Suspicion, now: int) -> bool:
        """Whether to ask it now."""
        if now < suspicion.next_probe_at:
            return False
        if suspicion.unanswered_since is None:
            suspicion.unanswered_since = now
        elif now - suspicion.unanswered_since >= GONE_AFTER_US:
            self.gone |= {machine}
            suspicion.next_probe_at = now + REPROBE_INTERVAL_US
        if now - suspicion.unanswered_since >= SILENT_AFTER_US:
            self.silent |= {machine}
        return True
