"""What a replica knows of the view in force and of the others: pings, failure detection, leases.  Pure.

`holds_lease` guards all that claims to be current: it runs from the sending of a ping that was answered.  Who
counts as alive (`_live_members`) is another question, decided by other times.  Microseconds of a clock that
never steps.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from brackengate.control.actions import Action, Tell
from brackengate.control.ballots import NOBODY, Acceptor
from brackengate.control.failure_detector import (
    APART,
    FORGOTTEN,
    GAP,
    LEASE,
    NEVER,
    REMEMBERED,
    Peer,
    majority_since,
)
from brackengate.protocol.messages import Member, NewView, Ping, Pong, View, ViewRequest


@dataclass(slots=True)
class LogStatus:
    """What the chain tells of itself."""

    index: int = 0  # on disk
    has_snapshot: bool = False  # it holds all that its membership owes
    caught_up_epoch: int = 0  # the epoch in which it has met the one before it
    commit_index: int = -1  # the last index that is known to be committed
    copied: int = -1  # a learner's complete copy reaches to this index; -1: it is not complete


class Contact:
    """What one replica knows of the view and of the others."""

    def __init__(
        self, me: str, incarnation: str, zone: str, now: int, view: View | None, acceptor: Acceptor
    ) -> None:
        self.me, self.incarnation, self.zone = me, incarnation, zone
        self.view = view or View(0, ())
        self.peers: dict[str, Peer] = {}
        self.disk_healthy = True  # its disk takes what it is given
        self.leaves = False  # it was told to leave, until told or started again
        self._acceptor = acceptor
        self._pinged = self._ticked = now
        self._adopted = now  # when it learned of this view
        self._open_until = NEVER  # it had promised nothing in this epoch by then
        self.lease_from = NEVER  # at this time, what was in force here was in force for all
        self._apart: dict[tuple[str, str], int] = {}  # pairs that do not hear each other, since when

    # --- what is known

    @property
    def is_member(self) -> bool:
        member = self.view.member(self.me)
        return member is not None and member.incarnation == self.incarnation

    @property
    def epoch_closed(self) -> bool:
        """Whether it has promised to store nothing more in this epoch."""
        return self._acceptor.promised != NOBODY

    def meet(self, addr: str, now: int) -> None:
        """There is somebody at this address, by a seed list or by its own word.  It gets time to answer."""
        if addr != self.me and addr not in self.peers:
            self.peers[addr] = Peer(now)

    def hears(self, addr: str, now: int) -> bool:
        peer = self.peers.get(addr)
        return peer is not None and peer.hears(now)

    def holds_lease(self, now: int) -> bool:
        """Whether what is in force here was in force for all at most `LEASE` ago."""
        ahead = any(
            peer.said is not None and peer.said.epoch > self.view.epoch for peer in self.peers.values()
        )
        return self.is_member and not ahead and now - self.lease_from < LEASE

    def _renew_lease(self, now: int) -> None:
        """A next view needs the promises of a majority: a majority that had promised nothing by then, this
        replica among it, shows that none was agreed by then.  What was so once stays so in a later view."""
        self._closes(now)
        others = [self.peers[member.addr] for member in self._other_members() if self._same(member)]
        open_since = [peer.open_since for peer in others if peer.open_epoch == self.view.epoch]
        since = min(self._open_until, majority_since(open_since, self.view.majority - 1, now))
        self.lease_from = max(self.lease_from, since)

    def _closes(self, now: int) -> None:
        """To be called before a promise."""
        if not self.epoch_closed:
            self._open_until = now

    def _other_members(self) -> list[Member]:
        return [member for member in self.view.members if member.addr != self.me]

    def _same(self, member: Member) -> bool:
        """Whether it was this member, and not another disk at its address, that answered last."""
        peer = self.peers.get(member.addr)
        return peer is not None and peer.incarnation == member.incarnation

    def _wiped(self, member: Member) -> bool:
        """Another disk stands at its address: its vote is gone for ever.

        Shown by an answer to a ping sent since the member was known as such: words of a process that was
        there before it may still be under way.
        """
        peer = self.peers.get(member.addr)
        return peer is not None and peer.incarnation_at >= self._adopted and not self._same(member)

    def zones(self) -> dict[str, str]:
        """The members by address, with their zones."""
        said = {addr: peer.said.zone for addr, peer in self.peers.items() if peer.said is not None}
        return {
            member.addr: self.zone if member.addr == self.me else said.get(member.addr, "")
            for member in self.view.members
        }

    # --- pings

    def _stood_still(self, now: int) -> bool:
        """Whether this process did: then the others get time to be heard.  No lease is extended by it."""
        still = now - self._ticked > GAP
        if still:
            for peer in self.peers.values():
                peer.forgive_gap(now)
            self._apart.clear()
        self._ticked = now
        return still

    def _forget_the_silent(self, now: int) -> None:
        """Guards against a list that grows with each machine that ever was.  Whoever is no member keeps all:
        among them may be the only ones that it can find the view by."""
        if self.is_member:
            for addr in [addr for addr, peer in self.peers.items() if peer.silence(now) > FORGOTTEN]:
                if self.view.member(addr) is None:
                    del self.peers[addr]

    def _on_ping(self, addr: str, peer: Peer, ping: Ping, now: int, log: LogStatus) -> list[Action]:
        peer.said, peer.said_at = ping, now
        pong = Pong(self.view.epoch, ping.sent, self.epoch_closed, self.incarnation)
        out: list[Action] = [Tell(addr, pong)]
        if ping.epoch > self.view.epoch:
            out.append(Tell(addr, ViewRequest()))
        elif ping.epoch < self.view.epoch:
            out.append(Tell(addr, NewView(self.view)))
        return out

    def _on_pong(self, peer: Peer, pong: Pong, now: int, log: LogStatus) -> list[Action]:
        fresh = not peer.ever or not peer.hears(now)
        if not peer.on_pong(pong, now):
            return []
        self._renew_lease(now)
        return self._ping(now, log) if fresh else []

    def _ping(self, now: int, log: LogStatus) -> list[Action]:
        hears = tuple(addr for addr in self.peers if self.hears(addr, now))
        joining = not self.is_member and self.disk_healthy and not self.leaves
        ping = Ping(
            self.incarnation,
            self.view.epoch,
            log.index,
            log.caught_up_epoch,
            joining,
            self.disk_healthy,
            self.zone,
            hears,
            self.leaves,
            now,
            log.copied,
        )
        others = dict.fromkeys([member.addr for member in self._other_members()])
        others.update(dict.fromkeys(addr for addr in self.peers if self._worth_a_ping(addr, now)))
        for addr in others:
            self.meet(addr, now)
            self.peers[addr].on_ping_sent(now)
        return [Tell(addr, ping) for addr in others]

    def _worth_a_ping(self, addr: str, now: int) -> bool:
        """Old members and strangers are pinged while they speak, and by those who are no members."""
        return not self.is_member or now - self.peers[addr].said_at < REMEMBERED

    # --- who is alive

    def _live_members(self, now: int) -> list[Member]:
        """The members that could hold the next view together, in their order."""
        alive = [
            member for member in self.view.members if member.addr == self.me or self._is_healthy(member, now)
        ]
        apart: dict[tuple[str, str], int] = {}
        for one in alive:
            said = self._fresh(one.addr, now)
            for other in alive:
                if said is not None and other.addr not in (one.addr, self.me, *said.reachable):
                    pair = (one.addr, other.addr)
                    apart[pair] = self._apart.get(pair, now)
        self._apart = apart
        for (one_addr, other_addr), since in apart.items():
            pair_now = [member for member in alive if member.addr in (one_addr, other_addr)]
            if len(pair_now) == 2 and now - since > APART:  # they can't stand in one chain: the later goes
                alive.remove(pair_now[1])
        return alive

    def _fresh(self, addr: str, now: int) -> Ping | None:
        peer = self.peers.get(addr)
        return peer.fresh_word(now) if peer is not None else None

    def _is_healthy(self, member: Member, now: int) -> bool:
        if not self.hears(member.addr, now) or self._wiped(member):
            return False
        said = self.peers[member.addr].said
        return said is None or (said.incarnation == member.incarnation and said.disk_healthy)

    def _learners(self, now: int) -> Iterator[tuple[str, Ping]]:
        """Live replicas that want to be members."""
        for addr in sorted(self.peers):
            said = self._fresh(addr, now)
            if said is not None and said.joining and self.hears(addr, now):
                yield addr, said
