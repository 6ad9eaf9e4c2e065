"""Agreement on views: which replicas hold the log, each view decided by a majority of the one before.  Pure.

Each view is one decision among the members of the previous view, by ballots (see `ballots`).  Every
acknowledged write is on the disks of all members, and the head of the new view is a member that promised and
holds the complete log, so no acknowledged write is lost.  `membership` decides which members the next view
should have.

A member is an address and the incarnation of its disk.  A replica whose disk was lost is a different member:
it has no vote until it has been admitted again, which needs a complete copy.  The first live member
coordinates a view change; each later one takes over after a delay for every live member in front of it.
Times are microseconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from brackengate.control.actions import Action, Send, Store
from brackengate.control.ballots import NO_BALLOT, Acceptor, ViewChange, quorum
from brackengate.control.contact import LogStatus, PeerMonitor
from brackengate.control.failure_detector import NEVER, PARTITIONED_AFTER_US, PING_INTERVAL_US
from brackengate.control.membership import LeaveRequest, MembershipFacts, next_members, refusal_to_leave
from brackengate.protocol.messages import (
    Accept,
    Accepted,
    Ballot,
    BallotRejected,
    Member,
    Message,
    NewView,
    Ping,
    Pong,
    Prepare,
    Promise,
    View,
    ViewRequest,
)

__all__ = ["NEVER", "NO_BALLOT", "PARTITIONED_AFTER_US", "Agreement", "LogStatus"]

COORDINATOR_DELAY_US = 400_000  # each member in front gets this long to coordinate
VIEW_CHANGE_TIMEOUT_US = 500_000  # a ballot without an outcome is replaced by a new one
MAX_ADMISSION_LAG_ENTRIES = 2_000  # that a learner may lack: it gets them before it counts as caught up


class Agreement(PeerMonitor):
    """One replica's part in agreeing on views: coordinator, voter and learner of the result."""

    def __init__(
        self,
        me: str,
        incarnation: str,
        zone: str,
        now: int,
        view: View | None,
        promised: Ballot = NO_BALLOT,
        taken_at: Ballot | None = None,
        taken: View | None = None,
        min_replicas: int = 1,
    ) -> None:
        """`view`: the stored or the initial view; None if this replica has none yet.  `min_replicas`: no
        member may leave if fewer than this would remain."""
        super().__init__(me, incarnation, zone, now, view, Acceptor(promised, taken_at, taken))
        self._min_replicas = min_replicas
        self._change_wanted_since: int | None = None  # time since when another view is needed
        self._change: ViewChange | None = None
        self._highest_ballot_number = promised[0]  # highest known

    # --- events

    def tick(self, now: int, log: LogStatus) -> list[Action]:
        """Periodic work: renews the lease, sends pings and starts a view change if one is due."""
        if self._was_paused(now):
            self._change_wanted_since = None
        self._renew_lease(now)
        out: list[Action] = []
        if now - self._last_ping_sent_at >= PING_INTERVAL_US:
            self._last_ping_sent_at = now
            self._forget_silent_peers(now)
            out += self._ping(now, log)
        return out + self._reconfigure(now, log)

    def on_connection_refused(self, addr: str, now: int, log: LogStatus) -> list[Action]:
        """The machine at that address refused a connection: no process listens there."""
        self.add_peer(addr, now)
        if addr in self.peers:
            self.peers[addr].refused = self.peers[addr].ever_answered
        return self._reconfigure(now, log)

    def on_message(self, addr: str, message: Message, now: int, log: LogStatus) -> list[Action]:
        """Handles a message about views, pings or leases; `log`: the current state of the chain."""
        match message:
            case Prepare():
                return self._on_prepare(addr, message, now, log)
            case Promise():
                return self._on_promise(addr, message, now, log)
            case Accept():
                return self._on_accept(addr, message, now)
            case Accepted():
                return self._on_accepted(addr, message, now)
            case BallotRejected():
                self._highest_ballot_number = max(self._highest_ballot_number, message.ballot[0])
                return []
        self.add_peer(addr, now)
        peer = self.peers.get(addr)
        if peer is None:
            return []
        match message:
            case Ping():
                return self._on_ping(addr, peer, message, now, log) + self._reconfigure(now, log)
            case Pong():
                return self._on_pong(peer, message, now, log)
            case ViewRequest():
                return [Send(addr, NewView(self.view))] if self.view.epoch else []
            case NewView(view):
                return self._adopt(view, now)
        return []

    # --- leaving the view

    def leave(self, replaced: bool, now: int) -> str:
        """Asks this member to leave.  Returns the reason if it may not, else an empty string.

        `replaced`: the remaining members must survive the loss of `min_replicas - 1` more, or have a learner
        to admit.  The member keeps its membership and all its duties until a view without it is agreed (see
        `membership`).
        """
        if not self.is_member:
            return f"{self.me} is no member of view {self.view.epoch}"
        alive = self._live_members(now)
        staying = [member for member in alive if member.addr != self.me and not self._leaving(member)]
        successor = replaced and any(self._learners(now))
        why = refusal_to_leave(
            LeaveRequest(self.view, len(alive), len(staying), self._min_replicas, replaced, successor)
        )
        if why:
            return why
        self.leaving = True
        return ""

    def rejoin(self) -> None:
        """Withdraws an earlier `leave`."""
        self.leaving = False

    def _leaving(self, member: Member) -> bool:
        if member.addr == self.me:
            return self.leaving
        ping = self.peers[member.addr].last_ping if member.addr in self.peers else None
        return ping is not None and ping.leaving

    def coordinator(self, now: int) -> str:
        """The address of the first live member, which coordinates a view change; empty without a quorum."""
        alive = self._live_members(now)
        return alive[0].addr if len(alive) >= self._quorum() else ""

    # --- the members of the next view

    def _admissible_learner(self, alive: list[Member], now: int, log: LogStatus) -> Member | None:
        """A learner that holds the committed state up to a few entries, and that all live members hear."""
        if log.commit_index < 0:
            return None
        needed = max(0, log.commit_index - MAX_ADMISSION_LAG_ENTRIES)
        others = [self._recent_ping(member.addr, now) for member in alive if member.addr != self.me]
        for addr, ping in self._learners(now):
            heard_by_all = all(one is not None and addr in one.reachable for one in others)
            if heard_by_all and ping.copied_index >= needed:
                return Member(addr, ping.incarnation, self.view.epoch + 1)
        return None

    def _facts(self, alive: list[Member], now: int, log: LogStatus) -> MembershipFacts:
        caught_up = [member.addr for member in alive if self._caught_up(member, now, log)]
        all_caught_up = len(caught_up) == len(alive)
        head = self.view.members[0]
        return MembershipFacts(
            self.view.members,
            tuple(alive),
            frozenset(member.addr for member in self._other_members() if self._wiped(member)),
            frozenset(caught_up),
            frozenset(member.addr for member in alive if self._leaving(member)),
            self._admissible_learner(alive, now, log) if all_caught_up else None,
            any(self._learners(now)),
            self._min_replicas,
            log.commit_index >= 0,
            self.epoch_closed and head not in alive,
        )

    def _caught_up(self, member: Member, now: int, log: LogStatus) -> bool:
        if member.addr == self.me:
            return log.caught_up_epoch == self.view.epoch
        ping = self._recent_ping(member.addr, now)
        return ping is not None and ping.caught_up_epoch == self.view.epoch

    # --- view change: coordinator

    def _reconfigure(self, now: int, log: LogStatus) -> list[Action]:
        if not self.is_member or not self.disk_healthy:
            return []
        if self._change is not None:
            if now - self._change.started_at < VIEW_CHANGE_TIMEOUT_US:
                return []
            self._change = None
        alive = self._live_members(now)
        facts = self._facts(alive, now, log)
        members = next_members(facts)
        if members == self.view.members and not self.epoch_closed:
            self._change_wanted_since = None
            return []
        if len(alive) < self._quorum() or not log.has_snapshot:
            return []
        if self._change_wanted_since is None:
            self._change_wanted_since = now
        rank = [member.addr for member in alive].index(self.me) + (1 if self.epoch_closed else 0)
        if now - self._change_wanted_since < rank * COORDINATOR_DELAY_US:
            return []
        self._change_wanted_since = now
        return self._begin_change(View(self.view.epoch + 1, members), now, log)

    def _quorum(self) -> int:
        return quorum(self.view, any(self._wiped(member) for member in self._other_members()))

    def _begin_change(self, view: View, now: int, log: LogStatus) -> list[Action]:
        """Starts a ballot.  The prepare messages are sent only once its own promise is on disk."""
        self._highest_ballot_number += 1
        self._change = ViewChange((self._highest_ballot_number, self.me), view, now, self._quorum())
        prepare = Prepare(view.epoch, self._change.ballot)
        out = self._on_prepare(self.me, prepare, now, log)
        for action in out:
            if isinstance(action, Store):
                action.sends += [Send(member.addr, prepare) for member in self._other_members()]
        return out

    def _on_promise(self, addr: str, message: Promise, now: int, log: LogStatus) -> list[Action]:
        change = self._voted_on(addr, message.epoch, message.ballot)
        if change is None or change.accepting:
            return []
        change.promises[addr] = message
        return self._propose(now)

    def _voted_on(self, addr: str, epoch: int, ballot: Ballot) -> ViewChange | None:
        """The current view change, if this is a vote on it by a member that may vote; else None."""
        change, member = self._change, self.view.member(addr)
        if change is None or ballot != change.ballot or epoch != self.view.epoch + 1:
            return None
        return change if member is not None and (addr == self.me or not self._wiped(member)) else None

    def _count(self, votes: Iterable[str]) -> int:
        members = {member.addr: member for member in self.view.members}
        return sum(1 for addr in votes if addr == self.me or not self._wiped(members[addr]))

    def _propose(self, now: int) -> list[Action]:
        """Sends the accept messages once enough members have promised."""
        change = self._change
        if change is None or change.accepting or self._count(change.promises) < change.quorum:
            return []
        view = change.proposal()
        if view is None:
            return []
        change.view, change.accepting = view, True
        accept = Accept(view.epoch, change.ballot, view)
        out: list[Action] = [Send(one.addr, accept) for one in self._other_members()]
        return out + self._on_accept(self.me, accept, now)

    def _on_accepted(self, addr: str, message: Accepted, now: int) -> list[Action]:
        change = self._voted_on(addr, message.epoch, message.ballot)
        if change is None or not change.accepting:
            return []
        change.accepted.add(addr)
        if self._count(change.accepted) < change.quorum:
            return []
        old, view = self.view, change.view
        recipients = dict.fromkeys([one.addr for one in (*view.members, *old.members) if one.addr != self.me])
        return [*self._adopt(view, now), *(Send(one, NewView(view)) for one in recipients)]

    # --- view change: voter

    def _on_prepare(self, addr: str, message: Prepare, now: int, log: LogStatus) -> list[Action]:
        if not self.is_member or message.epoch != self.view.epoch + 1:
            return [Send(addr, NewView(self.view))] if 0 < message.epoch <= self.view.epoch else []
        self._mark_epoch_open(now)
        if not self._acceptor.promise(message.ballot):
            return self._outvoted(addr, message.epoch)
        self._highest_ballot_number = max(self._highest_ballot_number, message.ballot[0])
        acceptor = self._acceptor
        promise = Promise(
            message.epoch,
            message.ballot,
            log.index,
            log.has_snapshot,
            acceptor.accepted_ballot,
            acceptor.accepted_view,
        )
        return [Store(meta=acceptor.meta(), sends=[Send(addr, promise)])]

    def _on_accept(self, addr: str, message: Accept, now: int) -> list[Action]:
        if not self.is_member or message.epoch != self.view.epoch + 1:
            return []
        self._mark_epoch_open(now)
        if not self._acceptor.accept(message.ballot, message.view):
            return self._outvoted(addr, message.epoch)
        self._highest_ballot_number = max(self._highest_ballot_number, message.ballot[0])
        return [
            Store(meta=self._acceptor.meta(), sends=[Send(addr, Accepted(message.epoch, message.ballot))])
        ]

    def _outvoted(self, addr: str, epoch: int) -> list[Action]:
        return [Send(addr, BallotRejected(epoch, self._acceptor.promised))] if addr != self.me else []

    def _adopt(self, view: View, now: int) -> list[Action]:
        if view.epoch <= self.view.epoch:
            return []
        self.view, self._acceptor, self._view_adopted_at = view, Acceptor(), now
        self._change = self._change_wanted_since = None
        for member in view.members:
            self.add_peer(member.addr, now)
        return [Store(meta={"view": view, **self._acceptor.meta()})]
