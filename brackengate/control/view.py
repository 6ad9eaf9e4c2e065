"""Who holds the log: views, agreed one after the other by the majority of the one before.  Pure.

Each view is one decision among the members of the view before it, by ballots (see `ballots`).  Every
acknowledged write is on the disks of all members, and the head of the new view is one that promised and holds
everything: so nothing acknowledged is lost.  Which members it should have is decided in `membership`.

A member is an address and the incarnation of its disk.  A member whose disk was lost is another one: it has
no vote until it has been admitted anew, which needs a complete copy.  The first live member coordinates a
view change; a later one takes it up after a pause for each member before it.  Times are microseconds of a
clock that never steps.
"""

from __future__ import annotations

from collections.abc import Iterable

from brackengate.control.actions import Action, Store, Tell
from brackengate.control.ballots import NOBODY, Acceptor, ViewChange, quorum
from brackengate.control.contact import Contact, LogStatus
from brackengate.control.failure_detector import APART, NEVER, PING
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

__all__ = ["APART", "NEVER", "NOBODY", "Agreement", "LogStatus"]

RANK = 400_000  # each member in front gets this long to coordinate
CHANGE_TIMEOUT = 500_000  # a ballot without an outcome is begun anew
ADMISSION_LAG = 2_000  # entries that a learner may lack: it is fed them before it counts as complete


class Agreement(Contact):
    """One replica's part in deciding the views."""

    def __init__(
        self,
        me: str,
        incarnation: str,
        zone: str,
        now: int,
        view: View | None,
        promised: Ballot = NOBODY,
        taken_at: Ballot | None = None,
        taken: View | None = None,
        min_replicas: int = 1,
    ) -> None:
        """`view`: as stored, or the first one; None where this replica has none yet.  `min_replicas`: members
        that no wish to leave may go below."""
        super().__init__(me, incarnation, zone, now, view, Acceptor(promised, taken_at, taken))
        self._min_replicas = min_replicas
        self._trouble: int | None = None  # since when another view is wanted
        self._change: ViewChange | None = None
        self._high = promised[0]  # the highest number of a ballot that it has heard of

    # --- events

    def tick(self, now: int, log: LogStatus) -> list[Action]:
        if self._stood_still(now):
            self._trouble = None
        self._renew_lease(now)
        out: list[Action] = []
        if now - self._pinged >= PING:
            self._pinged = now
            self._forget_the_silent(now)
            out += self._ping(now, log)
        return out + self._reconfigure(now, log)

    def refused(self, addr: str, now: int, log: LogStatus) -> list[Action]:
        """Its machine says that nobody listens there."""
        self.meet(addr, now)
        if addr in self.peers:
            self.peers[addr].refused = self.peers[addr].ever
        return self._reconfigure(now, log)

    def heard(self, addr: str, word: Message, now: int, log: LogStatus) -> list[Action]:
        match word:
            case Prepare():
                return self._on_prepare(addr, word, now, log)
            case Promise():
                return self._on_promise(addr, word, now, log)
            case Accept():
                return self._on_accept(addr, word, now)
            case Accepted():
                return self._on_accepted(addr, word, now)
            case BallotRejected():
                self._high = max(self._high, word.ballot[0])
                return []
        self.meet(addr, now)
        peer = self.peers.get(addr)
        if peer is None:
            return []
        match word:
            case Ping():
                return self._on_ping(addr, peer, word, now, log) + self._reconfigure(now, log)
            case Pong():
                return self._on_pong(peer, word, now, log)
            case ViewRequest():
                return [Tell(addr, NewView(self.view))] if self.view.epoch else []
            case NewView(view):
                return self._adopt(view, now)
        return []

    # --- a member that leaves

    def leave(self, replaced: bool, now: int) -> str:
        """This member is told to leave; why it does not, empty where it does.

        `replaced`: what is left must do without `min_replicas - 1` more, or have somebody to admit.  Until
        the others do without it (see `membership`) it keeps its membership and all its duties.
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
        self.leaves = True
        return ""

    def rejoin(self) -> None:
        self.leaves = False

    def _leaving(self, member: Member) -> bool:
        if member.addr == self.me:
            return self.leaves
        said = self.peers[member.addr].said if member.addr in self.peers else None
        return said is not None and said.leaving

    def coordinator(self, now: int) -> str:
        """Whose turn it is first to change the view, by what is known here; empty where nobody can."""
        alive = self._live_members(now)
        return alive[0].addr if len(alive) >= self._quorum() else ""

    # --- which view should be next

    def _admissible_learner(self, alive: list[Member], now: int, log: LogStatus) -> Member | None:
        """One that holds the committed state up to a few entries, and that all live members hear."""
        if log.commit_index < 0:
            return None
        needed = max(0, log.commit_index - ADMISSION_LAG)
        others = [self._fresh(member.addr, now) for member in alive if member.addr != self.me]
        for addr, said in self._learners(now):
            heard_by_all = all(one is not None and addr in one.reachable for one in others)
            if heard_by_all and said.copied_index >= needed:
                return Member(addr, said.incarnation, self.view.epoch + 1)
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
        said = self._fresh(member.addr, now)
        return said is not None and said.caught_up_epoch == self.view.epoch

    # --- a view change, as its coordinator

    def _reconfigure(self, now: int, log: LogStatus) -> list[Action]:
        if not self.is_member or not self.disk_healthy:
            return []
        if self._change is not None:
            if now - self._change.at < CHANGE_TIMEOUT:
                return []
            self._change = None
        alive = self._live_members(now)
        facts = self._facts(alive, now, log)
        members = next_members(facts)
        if members == self.view.members and not self.epoch_closed:
            self._trouble = None
            return []
        if len(alive) < self._quorum() or not log.has_snapshot:
            return []
        if self._trouble is None:
            self._trouble = now
        rank = [member.addr for member in alive].index(self.me) + (1 if self.epoch_closed else 0)
        if now - self._trouble < rank * RANK:
            return []
        self._trouble = now
        return self._begin_change(View(self.view.epoch + 1, members), now, log)

    def _quorum(self) -> int:
        return quorum(self.view, any(self._wiped(member) for member in self._other_members()))

    def _begin_change(self, view: View, now: int, log: LogStatus) -> list[Action]:
        """Its own promise is on its disk before the others hear of the ballot."""
        self._high += 1
        self._change = ViewChange((self._high, self.me), view, now, self._quorum())
        prepare = Prepare(view.epoch, self._change.ballot)
        out = self._on_prepare(self.me, prepare, now, log)
        for action in out:
            if isinstance(action, Store):
                action.tells += [Tell(member.addr, prepare) for member in self._other_members()]
        return out

    def _on_promise(self, addr: str, word: Promise, now: int, log: LogStatus) -> list[Action]:
        change = self._voted_on(addr, word.epoch, word.ballot)
        if change is None or change.second:
            return []
        change.promises[addr] = word
        return self._propose(now)

    def _voted_on(self, addr: str, epoch: int, ballot: Ballot) -> ViewChange | None:
        """The view change under way, where this is a vote on it by one that may vote."""
        change, member = self._change, self.view.member(addr)
        if change is None or ballot != change.ballot or epoch != self.view.epoch + 1:
            return None
        return change if member is not None and (addr == self.me or not self._wiped(member)) else None

    def _count(self, votes: Iterable[str]) -> int:
        members = {member.addr: member for member in self.view.members}
        return sum(1 for addr in votes if addr == self.me or not self._wiped(members[addr]))

    def _propose(self, now: int) -> list[Action]:
        """Ask for the view to be accepted, once enough have promised."""
        change = self._change
        if change is None or change.second or self._count(change.promises) < change.quorum:
            return []
        view = change.proposal()
        if view is None:
            return []
        change.view, change.second = view, True
        accept = Accept(view.epoch, change.ballot, view)
        out: list[Action] = [Tell(one.addr, accept) for one in self._other_members()]
        return out + self._on_accept(self.me, accept, now)

    def _on_accepted(self, addr: str, word: Accepted, now: int) -> list[Action]:
        change = self._voted_on(addr, word.epoch, word.ballot)
        if change is None or not change.second:
            return []
        change.accepted.add(addr)
        if self._count(change.accepted) < change.quorum:
            return []
        old, view = self.view, change.view
        told = dict.fromkeys([one.addr for one in (*view.members, *old.members) if one.addr != self.me])
        return [*self._adopt(view, now), *(Tell(one, NewView(view)) for one in told)]

    # --- a view change, as one of its voters

    def _on_prepare(self, addr: str, word: Prepare, now: int, log: LogStatus) -> list[Action]:
        if not self.is_member or word.epoch != self.view.epoch + 1:
            return [Tell(addr, NewView(self.view))] if 0 < word.epoch <= self.view.epoch else []
        self._closes(now)
        if not self._acceptor.promise(word.ballot):
            return self._outvoted(addr, word.epoch)
        self._high = max(self._high, word.ballot[0])
        acceptor = self._acceptor
        promise = Promise(
            word.epoch, word.ballot, log.index, log.has_snapshot, acceptor.taken_at, acceptor.taken
        )
        return [Store(meta=acceptor.meta(), tells=[Tell(addr, promise)])]

    def _on_accept(self, addr: str, word: Accept, now: int) -> list[Action]:
        if not self.is_member or word.epoch != self.view.epoch + 1:
            return []
        self._closes(now)
        if not self._acceptor.accept(word.ballot, word.view):
            return self._outvoted(addr, word.epoch)
        self._high = max(self._high, word.ballot[0])
        return [Store(meta=self._acceptor.meta(), tells=[Tell(addr, Accepted(word.epoch, word.ballot))])]

    def _outvoted(self, addr: str, epoch: int) -> list[Action]:
        return [Tell(addr, BallotRejected(epoch, self._acceptor.promised))] if addr != self.me else []

    def _adopt(self, view: View, now: int) -> list[Action]:
        if view.epoch <= self.view.epoch:
            return []
        self.view, self._acceptor, self._adopted = view, Acceptor(), now
        self._change = self._trouble = None
        for member in view.members:
            self.meet(member.addr, now)
        return [Store(meta={"view": view, **self._acceptor.meta()})]
