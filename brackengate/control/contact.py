"""What a replica knows of the current view and of its peers: pings, failure detection, leases.  Pure.

`holds_lease` guards everything that is served as current: the lease runs from the sending of a ping that was
answered.  Which members count as alive (`_live_members`) is a separate question with its own times.  Times
are microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from brackengate.control.actions import Action, Send
from brackengate.control.ballots import NO_BALLOT, Acceptor
from brackengate.control.failure_detector import (
    FORGET_PEER_AFTER_US,
    LEASE_US,
    NEVER,
    PARTITIONED_AFTER_US,
    PAUSE_THRESHOLD_US,
    PING_ANSWERABLE_US,
    Peer,
    majority_since,
)
from brackengate.protocol.messages import Member, NewView, Ping, Pong, View, ViewRequest


@dataclass(slots=True)
class LogStatus:
    """The state of this replica's log, as reported by the chain."""

    index: int = 0  # the last index on disk
    has_snapshot: bool = False  # it holds every entry that its membership requires
    caught_up_epoch: int = 0  # the epoch in which it synchronized with its predecessor
    commit_index: int = -1  # the last index that is known to be committed
    copied: int = -1  # a learner's complete copy reaches to this index; -1: it is not complete


class PeerMonitor:
    """One replica's view, peers, failure detection and lease; `Agreement` adds the decisions."""

    def __init__(
        self, me: str, incarnation: str, zone: str, now: int, view: View | None, acceptor: Acceptor
    ) -> None:
        self.me, self.incarnation, self.zone = me, incarnation, zone
        self.view = view or View(0, ())
        self.peers: dict[str, Peer] = {}
        self.disk_healthy = True  # its disk completes writes in time
        self.leaving = False  # it was asked to leave; reset by `rejoin` or a restart
        self._acceptor = acceptor
        self._last_ping_sent_at = self._last_tick_at = now
        self._view_adopted_at = now  # when it learned of this view
        self._open_until = NEVER  # the last time at which it had not yet promised in this epoch
        self.lease_start = NEVER  # at this time, the view held here was the latest one agreed
        self._partitioned_since: dict[tuple[str, str], int] = {}  # pairs without contact, and since when

    # --- state

    @property
    def is_member(self) -> bool:
        """Whether this replica, with the disk that it has now, is a member of the current view."""
        member = self.view.member(self.me)
        return member is not None and member.incarnation == self.incarnation

    @property
    def epoch_closed(self) -> bool:
        """Whether it has promised to store nothing more in this epoch."""
        return self._acceptor.promised != NO_BALLOT

    def add_peer(self, addr: str, now: int) -> None:
        """Adds a peer known from the seed list, a view or its own message.  It gets time to answer."""
        if addr != self.me and addr not in self.peers:
            self.peers[addr] = Peer(now)

    def is_alive(self, addr: str, now: int) -> bool:
        """Whether failure detection counts the peer at this address as alive."""
        peer = self.peers.get(addr)
        return peer is not None and peer.is_alive(now)

    def holds_lease(self, now: int) -> bool:
        """Whether the view held here was the latest one at some time within the last `LEASE_US`."""
        ahead = any(
            peer.last_ping is not None and peer.last_ping.epoch > self.view.epoch
            for peer in self.peers.values()
        )
        return self.is_member and not ahead and now - self.lease_start < LEASE_US

    def _renew_lease(self, now: int) -> None:
        """Moves the lease start forward to when a majority last had the epoch open.

        The next view needs promises of a majority.  So if a majority, including this replica, had promised
        nothing by some time, no later view was agreed by then.  This also holds in later views.
        """
        self._mark_epoch_open(now)
        others = [
            self.peers[member.addr] for member in self._other_members() if self._answers_as_member(member)
        ]
        open_since = [peer.open_since for peer in others if peer.open_epoch == self.view.epoch]
        since = min(self._open_until, majority_since(open_since, self.view.majority - 1, now))
        self.lease_start = max(self.lease_start, since)

    def _mark_epoch_open(self, now: int) -> None:
        """Records that nothing was promised in this epoch until now.  Must be called before a promise."""
        if not self.epoch_closed:
            self._open_until = now

    def _other_members(self) -> list[Member]:
        return [member for member in self.view.members if member.addr != self.me]

    def _answers_as_member(self, member: Member) -> bool:
        """Whether the last answer came from this member, and not from another disk at its address."""
        peer = self.peers.get(member.addr)
        return peer is not None and peer.incarnation == member.incarnation

    def _wiped(self, member: Member) -> bool:
        """Whether the member's disk was lost, so that its vote is gone for ever.

        Shown by an answer of another incarnation to a ping that was sent after this view was adopted: older
        messages may still be in flight from a process that preceded the member at its address.
        """
        peer = self.peers.get(member.addr)
        return (
            peer is not None
            and peer.incarnation_at >= self._view_adopted_at
            and not self._answers_as_member(member)
        )

    def zones(self) -> dict[str, str]:
        """The zones of the members, by address; empty where unknown."""
        known_zones = {
            addr: peer.last_ping.zone for addr, peer in self.peers.items() if peer.last_ping is not None
        }
        return {
            member.addr: self.zone if member.addr == self.me else known_zones.get(member.addr, "")
            for member in self.view.members
        }

    # --- pings

    def _was_paused(self, now: int) -> bool:
        """Whether this process was paused; if so, the peers get time to answer.  Does not extend a lease."""
        paused = now - self._last_tick_at > PAUSE_THRESHOLD_US
        if paused:
            for peer in self.peers.values():
                peer.extend_after_pause(now)
            self._partitioned_since.clear()
        self._last_tick_at = now
        return paused

    def _forget_silent_peers(self, now: int) -> None:
        """Removes peers that are no members and have been silent for long, so that the list stays bounded.

        A replica that is no member keeps all peers: it may be able to find the view only through them.
        """
        if self.is_member:
            for addr in [
                addr for addr, peer in self.peers.items() if peer.silent_for(now) > FORGET_PEER_AFTER_US
            ]:
                if self.view.member(addr) is None:
                    del self.peers[addr]

    def _on_ping(self, addr: str, peer: Peer, ping: Ping, now: int, log: LogStatus) -> list[Action]:
        peer.last_ping, peer.last_ping_at = ping, now
        pong = Pong(self.view.epoch, ping.sent, self.epoch_closed, self.incarnation)
        out: list[Action] = [Send(addr, pong)]
        if ping.epoch > self.view.epoch:
            out.append(Send(addr, ViewRequest()))
        elif ping.epoch < self.view.epoch:
            out.append(Send(addr, NewView(self.view)))
        return out

    def _on_pong(self, peer: Peer, pong: Pong, now: int, log: LogStatus) -> list[Action]:
        fresh = not peer.ever_answered or not peer.is_alive(now)
        if not peer.on_pong(pong, now):
            return []
        self._renew_lease(now)
        return self._ping(now, log) if fresh else []

    def _ping(self, now: int, log: LogStatus) -> list[Action]:
        hears = tuple(addr for addr in self.peers if self.is_alive(addr, now))
        joining = not self.is_member and self.disk_healthy and not self.leaving
        ping = Ping(
            self.incarnation,
            self.view.epoch,
            log.index,
            log.caught_up_epoch,
            joining,
            self.disk_healthy,
            self.zone,
            hears,
            self.leaving,
            now,
            log.copied,
        )
        others = dict.fromkeys([member.addr for member in self._other_members()])
        others.update(dict.fromkeys(addr for addr in self.peers if self._should_ping(addr, now)))
        for addr in others:
            self.add_peer(addr, now)
            self.peers[addr].on_ping_sent(now)
        return [Send(addr, ping) for addr in others]

    def _should_ping(self, addr: str, now: int) -> bool:
        """Whether to ping a peer that is no member: while it sends pings, or if this replica is no member."""
        return not self.is_member or now - self.peers[addr].last_ping_at < PING_ANSWERABLE_US

    # --- failure detection

    def _live_members(self, now: int) -> list[Member]:
        """The healthy members that can reach each other and so could form the next view, in chain order."""
        alive = [
            member for member in self.view.members if member.addr == self.me or self._is_healthy(member, now)
        ]
        partitioned: dict[tuple[str, str], int] = {}
        for reporter in alive:
            ping = self._recent_ping(reporter.addr, now)
            for other in alive:
                if ping is not None and other.addr not in (reporter.addr, self.me, *ping.reachable):
                    pair = (reporter.addr, other.addr)
                    partitioned[pair] = self._partitioned_since.get(pair, now)
        self._partitioned_since = partitioned
        for (reporter_addr, other_addr), since in partitioned.items():
            pair_now = [member for member in alive if member.addr in (reporter_addr, other_addr)]
            # Members that can't reach each other can't be in one chain: the later one is dropped.
            if len(pair_now) == 2 and now - since > PARTITIONED_AFTER_US:
                alive.remove(pair_now[1])
        return alive

    def _recent_ping(self, addr: str, now: int) -> Ping | None:
        peer = self.peers.get(addr)
        return peer.recent_ping(now) if peer is not None else None

    def _is_healthy(self, member: Member, now: int) -> bool:
        if not self.is_alive(member.addr, now) or self._wiped(member):
            return False
        ping = self.peers[member.addr].last_ping
        return ping is None or (ping.incarnation == member.incarnation and ping.disk_healthy)

    def _learners(self, now: int) -> Iterator[tuple[str, Ping]]:
        """The live replicas that want to become members, each with its last ping."""
        for addr in sorted(self.peers):
            ping = self._recent_ping(addr, now)
            if ping is not None and ping.joining and self.is_alive(addr, now):
                yield addr, ping
