"""Detects machines that have gone silent; a few proxies, chosen by rendezvous hashing, watch each one.

A proxy sends keepalives to the few watchers that its own address selects (`watchers_of`), so what it sends
and what it watches does not grow with the fleet.  A watcher reports to the control plane when keepalives
stop.  That is a suspicion only, as the watcher may be the one that is partitioned.  So each proxy that learns
of it probes the machine itself, and takes it for silent if no reply comes: its own path to the machine is
what matters to its requests.  A silent machine gets no new requests; those in flight there are ended later,
since a machine that is only slow will answer them.  Pure.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

WATCHERS_PER_PROXY = 3
KEEPALIVE_INTERVAL_US = 100_000
KEEPALIVE_TIMEOUT_US = 320_000  # two keepalives lost in a row, and a margin
PROBE_INTERVAL_US = 50_000  # between two ticks while any machine is probed
SILENT_AFTER_US = 150_000  # of probes without a reply
GONE_AFTER_US = 450_000  # of probes without a reply: requests in flight there will not be answered
REPROBE_INTERVAL_US = 600_000  # for suspected machines that have replied, or that are gone
MAX_TICK_GAP_US = 250_000  # between two ticks; beyond it this process was paused, and its data is stale
NEVER = -(2**60)


def watchers_of(machine: str, proxies: Iterable[str]) -> tuple[str, ...]:
    """The proxies that watch this machine, by rendezvous hashing."""

    def rank(other: str) -> bytes:
        return hashlib.blake2b(f"{machine}|{other}".encode(), digest_size=8).digest()

    return tuple(sorted((other for other in proxies if other != machine), key=rank)[:WATCHERS_PER_PROXY])


@dataclass(frozen=True, slots=True)
class Datagrams:
    """The machines to send keepalives and probes to."""

    keepalives: tuple[str, ...]
    probes: tuple[str, ...]


@dataclass(slots=True)
class Suspicion:
    """The probes of a machine whose keepalives to a watcher stopped."""

    next_probe_at: int
    unanswered_since: int | None = None  # time of the first probe since its last reply


class FailureDetector:
    """One proxy's view: `suspects` is reported to the control plane, `silent` and `gone` are used here.

    `suspects`: watched machines whose keepalives stopped.  `silent`: machines that do not reply to this
    proxy's probes.  `gone`: those of them that have been silent for long.
    """

    def __init__(self, me: str, now: int) -> None:
        self.me = me
        self._proxies: frozenset[str] = frozenset()
        self._own_watchers: tuple[str, ...] | None = ()  # None: computed at the next tick
        self._watched_here: dict[str, bool] = {}  # late senders: whether this proxy is one of their watchers
        self._last_keepalive: dict[str, int] = {}  # by sender
        self._suspicions: dict[str, Suspicion] = {}
        self._last_tick = now
        self._last_sent = NEVER
        self.suspects: tuple[str, ...] = ()
        self.silent: frozenset[str] = frozenset()
        self.gone: frozenset[str] = frozenset()

    @property
    def probing(self) -> bool:
        """Whether any machine is probed: then `tick` is due each `PROBE_INTERVAL_US`, else each
        `KEEPALIVE_INTERVAL_US`."""
        return bool(self._suspicions)

    def update(self, proxies: Iterable[str], suspects: Iterable[str], now: int) -> None:
        """Set the machines of the list of upstreams, and those that any watcher suspects."""
        proxies = frozenset(proxies)
        if proxies != self._proxies:
            self._proxies = proxies
            self._own_watchers = None  # computed once a tick: a starting region changes the list 1000 times
            self._watched_here.clear()
            self._last_keepalive = {
                machine: at for machine, at in self._last_keepalive.items() if machine in proxies
            }
        suspected = (set(suspects) & proxies) - {self.me}
        self._suspicions = {machine: self._suspicions.get(machine) or Suspicion(now) for machine in suspected}
        self.silent, self.gone = self.silent & suspected, self.gone & suspected

    def receive_keepalive(self, sender: str, now: int) -> None:
        """A keepalive of `sender` has arrived; it also counts as a reply to probes."""
        if sender in self._proxies:
            self._last_keepalive[sender] = now
        self.receive_probe_reply(sender, now)

    def receive_probe_reply(self, sender: str, now: int) -> None:
        """A reply of `sender` to a probe has arrived."""
        suspicion = self._suspicions.get(sender)
        if suspicion is not None:
            suspicion.unanswered_since, suspicion.next_probe_at = None, now + REPROBE_INTERVAL_US
            self.silent, self.gone = self.silent - {sender}, self.gone - {sender}

    def tick(self, now: int) -> Datagrams:
        """The datagrams to send now; brings `suspects`, `silent` and `gone` up to date."""
        if now - self._last_tick > MAX_TICK_GAP_US:
            self._last_keepalive = dict.fromkeys(self._last_keepalive, now)
            self._suspicions = {machine: Suspicion(now) for machine in self._suspicions}
        self._last_tick = now
        late = [machine for machine, at in self._last_keepalive.items() if now - at > KEEPALIVE_TIMEOUT_US]
        for machine in late:
            if not self._watches(machine):
                del self._last_keepalive[machine]  # its watchers are others by now
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
        """Whether this proxy is a watcher of the machine.

        Cached until the list changes: a dead machine is late at every tick until it leaves the list.
        """
        if machine not in self._watched_here:
            self._watched_here[machine] = self.me in watchers_of(machine, self._proxies)
        return self._watched_here[machine]

    def _probe_due(self, machine: str, suspicion: Suspicion, now: int) -> bool:
        """Whether to probe the machine now; marks it silent or gone if its replies are overdue."""
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
