"""Who holds the log: views, agreed one after the other by the majority of the one before.  Pure.

Each view is one decision among the seats of the view before it, by ballots (single-decree Paxos).  A seat
that has promised seals its epoch: it stores nothing more in it, so nothing more can be acknowledged there.
Every acknowledged write is on all seats' disks, and any majority has one that promised: so the first seat of
the new view holds all of it.

A member is an address and the life of its disk.  A member whose disk was lost is another one: it has no vote,
and its old member is given up, until it has been let in anew.  The duty to mend is the first live seat's; a
later one takes it up after a pause for each seat before it.  Times are microseconds of a clock that never
steps.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brackengate.lighthouse.actions import Action, Store, Tell
from brackengate.signals.words import (
    Accept,
    Accepted,
    Ballot,
    Line,
    Member,
    NewView,
    Outvoted,
    Ping,
    Pong,
    Prepare,
    Promise,
    View,
    WantView,
)

PING = 150_000
DEAD = 500_000  # without an answer to a ping
GAP = 350_000  # this process stood still: nothing that it believes of the others is fresh
RANK = 400_000  # each seat in front gets this long to do the duty
CHANGE_TIMEOUT = 500_000  # a bid without an outcome is made anew
APART = 500_000  # two that do not hear each other for so long, by their own word
NEVER = -(2**60)
NOBODY: Ballot = (0, "")


@dataclass(slots=True)
class LogStatus:
    """What the chain tells of itself."""

    index: int = 0
    has_snapshot: bool = False  # it holds all that its seat owes
    caught_up_epoch: int = 0  # the epoch in which it has met the one before it
    commit_index: int = -1  # the last index that is known to be committed
    copied: int = -1  # a learner's complete copy reaches to this index; -1: it is not complete


@dataclass(slots=True)
class Peer:
    answered: int  # when its last pong came, or it was met
    said: Ping | None = None
    said_at: int = NEVER
    ever: bool = False  # whether it answered at all
    refused: bool = False


@dataclass(slots=True)
class ViewChange:
    ballot: Ballot
    view: View
    at: int
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    second: bool = False


class Agreement:
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
        """`view`: as stored, or the first one; None where this member has none yet.  `min_replicas`: members
        that no wish to leave may go below."""
        self.me, self.incarnation, self.zone = me, incarnation, zone
        self.view = view or View(0, ())
        self.promised, self.taken_at, self.taken = promised, taken_at, taken
        self.peers: dict[str, Peer] = {}
        self.disk_healthy = True  # its disk takes what it is given
        self.leaves = False  # it was told to give up its seat, until told or started again
        self._min_replicas = min_replicas
        self._pinged = self._ticked = now
        self._trouble: int | None = None
        self._change: ViewChange | None = None
        self._high = promised[0]
        self._apart: dict[tuple[str, str], int] = {}  # pairs that do not hear each other, since when

    # --- what is known

    @property
    def is_member(self) -> bool:
        member = self.view.member(self.me)
        return member is not None and member.incarnation == self.incarnation

    @property
    def epoch_closed(self) -> bool:
        """Whether it has promised to store nothing more in this epoch."""
        return self.promised != NOBODY

    def meet(self, addr: str, now: int) -> None:
        """There is somebody at this address, by a seed list or by its own word.  It gets time to answer."""
        if addr != self.me and addr not in self.peers:
            self.peers[addr] = Peer(now)

    def hears(self, addr: str, now: int) -> bool:
        peer = self.peers.get(addr)
        return peer is not None and not peer.refused and now - peer.answered < DEAD

    def holds_lease(self, now: int) -> bool:
        """Whether what is agreed can't have moved on without it, as far as it can tell."""
        if not self.is_member:
            return False
        others = [member for member in self.view.members if member.addr != self.me]
        heard = sum(1 for member in others if self.hears(member.addr, now) and not self._wiped(member))
        ahead = any(
            peer.said is not None and peer.said.epoch > self.view.epoch for peer in self.peers.values()
        )
        return heard + 1 >= self.view.majority and not ahead

    def zones(self) -> dict[str, str]:
        """The members by address, with their zones."""
        said = {addr: peer.said.zone for addr, peer in self.peers.items() if peer.said is not None}
        return {
            member.addr: self.zone if member.addr == self.me else said.get(member.addr, "")
            for member in self.view.members
        }

    # --- events

    def tick(self, now: int, log: LogStatus) -> list[Action]:
        if now - self._ticked > GAP:
            for peer in self.peers.values():  # it has to hear them first: it slept, not they
                peer.answered = max(peer.answered, now - DEAD // 2)
                peer.said_at = NEVER
            self._apart.clear()
            self._trouble = None
        self._ticked = now
        out: list[Action] = []
        if now - self._pinged >= PING:
            self._pinged = now
            out += self._ping(now, log)
        return out + self._reconfigure(now, log)

    def refused(self, addr: str, now: int, log: LogStatus) -> list[Action]:
        """Its machine says that nobody listens there."""
        self.meet(addr, now)
        if addr in self.peers:
            self.peers[addr].refused = self.peers[addr].ever
        return self._reconfigure(now, log)

    def heard(self, addr: str, word: Line, now: int, log: LogStatus) -> list[Action]:
        match word:
            case Prepare():
                return self._on_prepare(addr, word, log)
            case Promise():
                return self._on_promise(addr, word, now, log)
            case Accept():
                return self._on_accept(addr, word)
            case Accepted():
                return self._on_accepted(addr, word, now)
            case Outvoted():
                self._high = max(self._high, word.ballot[0])
                return []
        self.meet(addr, now)
        peer = self.peers.get(addr)
        if peer is None:
            return []
        match word:
            case Ping():
                peer.said, peer.said_at = word, now
                out: list[Action] = [Tell(addr, Pong(self.view.epoch))]
                if word.epoch > self.view.epoch:
                    out.append(Tell(addr, WantView()))
                elif word.epoch < self.view.epoch:
                    out.append(Tell(addr, NewView(self.view)))
                return out + self._reconfigure(now, log)
            case Pong():
                fresh = peer.refused or not peer.ever or now - peer.answered >= DEAD
                peer.answered, peer.refused, peer.ever = now, False, True
                return self._ping(now, log) if fresh else []
            case WantView():
                return [Tell(addr, NewView(self.view))] if self.view.epoch else []
            case NewView(view):
                return self._adopt(view, now)
        return []

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
        )
        others = dict.fromkeys([member.addr for member in self.view.members if member.addr != self.me])
        others.update(dict.fromkeys(addr for addr in self.peers if self._worth_a_ping(addr, now)))
        for addr in others:
            self.meet(addr, now)
        return [Tell(addr, ping) for addr in others]

    def _worth_a_ping(self, addr: str, now: int) -> bool:
        """Old members and strangers are pinged while they speak, and by those who have no seat."""
        return not self.is_member or now - self.peers[addr].said_at < 4 * DEAD

    # --- a seat that is given up

    def leave(self, replaced: bool, now: int) -> str:
        """This member is told to leave; why it does not, empty where it does.

        `replaced`: what is left must do without `min_replicas - 1` more, or have somebody to let in.  The
        view is changed as for a member that is gone: until then this one keeps its seat and all its duties.
        """
        if not self.is_member:
            return f"{self.me} holds no seat in view {self.view.epoch}"
        alive = self._live_members(now)
        left = [member for member in alive if member.addr != self.me and not self._leaving(member)]
        if len(left) < self._min_replicas:
            return (
                f"{len(left)} of the {len(self.view.members)} members of view {self.view.epoch} would"
                f" be left; a write needs {self._min_replicas} (Tolerance.Machines + 1)"
            )
        if len(alive) < self.view.majority:
            return f"too few members of view {self.view.epoch} answer for a new view to be agreed"
        waits = any(
            said is not None and said.joining and self.hears(addr, now)
            for addr, said in ((addr, self._fresh(addr, now)) for addr in self.peers)
        )
        stand = 2 * self._min_replicas - 1  # a majority of these outlasts the loss of `min_replicas - 1`
        if replaced and not waits and len(left) < stand:
            return (
                f"{len(left)} members would be left and no other lighthouse waits for a seat;"
                f" it takes {stand} to lose {self._min_replicas - 1} more"
            )
        self.leaves = True
        return ""

    def rejoin(self) -> None:
        self.leaves = False

    def _leaving(self, member: Member) -> bool:
        if member.addr == self.me:
            return self.leaves
        said = self.peers[member.addr].said if member.addr in self.peers else None
        return said is not None and said.leaves

    def _staying_members(self, alive: list[Member]) -> list[Member]:
        """Those of the live seats that stay: who wants to leave does, the last first, while enough are left.

        Guards against two that are told at the same moment: neither has heard of the other's wish.
        """
        kept = list(alive)
        for member in reversed(alive):
            if len(kept) > self._min_replicas and self._leaving(member):
                kept.remove(member)
        return kept

    def coordinator(self, now: int) -> str:
        """Whose turn it is first to mend the view, by what is known here; empty where nobody can."""
        alive = self._live_members(now)
        return alive[0].addr if len(alive) >= self._quorum() else ""

    # --- the duty to mend

    def _live_members(self, now: int) -> list[Member]:
        """The seats that could hold the next view together, in their order."""
        alive = [
            member for member in self.view.members if member.addr == self.me or self._is_healthy(member, now)
        ]
        apart: dict[tuple[str, str], int] = {}
        for one in alive:
            said = self._fresh(one.addr, now)
            for other in alive:
                if said is not None and other.addr not in (one.addr, self.me, *said.hears):
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
        return peer.said if peer is not None and now - peer.said_at < DEAD else None

    def _is_healthy(self, member: Member, now: int) -> bool:
        said = self.peers[member.addr].said if member.addr in self.peers else None
        return self.hears(member.addr, now) and (
            said is None or (said.incarnation == member.incarnation and said.disk_healthy)
        )

    def _wiped(self, member: Member) -> bool:
        """Another disk stands at its address: its vote is gone for ever."""
        said = self.peers[member.addr].said if member.addr in self.peers else None
        return said is not None and said.incarnation != member.incarnation

    def _admissible_learner(self, alive: list[Member], now: int) -> Member | None:
        for addr in sorted(self.peers):
            said = self._fresh(addr, now)
            if said is None or not said.joining or not self.hears(addr, now):
                continue
            others = [member.addr for member in alive if member.addr != self.me]
            told = [self._fresh(other, now) for other in others]
            if all(
                one is not None and addr in one.hears and one.caught_up_epoch == self.view.epoch
                for one in told
            ):
                return Member(addr, said.incarnation, self.view.epoch + 1)
        return None

    def _reconfigure(self, now: int, log: LogStatus) -> list[Action]:
        if not self.is_member or not self.disk_healthy:
            return []
        if self._change is not None:
            if now - self._change.at < CHANGE_TIMEOUT:
                return []
            self._change = None
        alive = self._live_members(now)
        joiner = self._admissible_learner(alive, now) if log.caught_up_epoch == self.view.epoch else None
        kept = self._staying_members(alive)
        if joiner is not None:
            kept = [*kept, joiner]
        if tuple(kept) == self.view.members and not self.epoch_closed:
            self._trouble = None
            return []
        if len(alive) < self._quorum() or not log.has_snapshot:
            return []
        if self._trouble is None:
            self._trouble = now
        rank = next((n for n, member in enumerate(alive) if member.addr == self.me), 0) + (
            1 if self.epoch_closed else 0
        )
        if now - self._trouble < rank * RANK:
            return []
        self._trouble = now
        self._high += 1
        view = View(self.view.epoch + 1, tuple(kept))
        self._change = ViewChange((self._high, self.me), view, now)
        prepare = Prepare(view.epoch, self._change.ballot)
        out: list[Action] = [
            Tell(member.addr, prepare) for member in self.view.members if member.addr != self.me
        ]
        return out + self._on_prepare(self.me, prepare, log)

    def _quorum(self) -> int:
        """A majority; of two, one where the other's disk is gone: whatever was agreed, it took part in."""
        seats = self.view.members
        if len(seats) == 2 and any(member.addr != self.me and self._wiped(member) for member in seats):
            return 1
        return self.view.majority

    # --- ballots

    def _on_prepare(self, addr: str, word: Prepare, log: LogStatus) -> list[Action]:
        if not self.is_member or word.epoch != self.view.epoch + 1:
            return [Tell(addr, NewView(self.view))] if 0 < word.epoch <= self.view.epoch else []
        if word.ballot < self.promised:
            return [Tell(addr, Outvoted(word.epoch, self.promised))] if addr != self.me else []
        self.promised = word.ballot
        self._high = max(self._high, word.ballot[0])
        promise = Promise(word.epoch, word.ballot, log.index, log.has_snapshot, self.taken_at, self.taken)
        return [Store(meta=self._ballots(), tells=[Tell(addr, promise)])]

    def _ballots(self) -> dict[str, object]:
        return {"promised": self.promised, "taken_at": self.taken_at, "taken": self.taken}

    def _on_promise(self, addr: str, word: Promise, now: int, log: LogStatus) -> list[Action]:
        change = self._change
        if (
            change is None
            or change.second
            or word.ballot != change.ballot
            or word.epoch != self.view.epoch + 1
        ):
            return []
        member = self.view.member(addr)
        if member is None or (addr != self.me and self._wiped(member)):
            return []
        change.promises[addr] = word
        if len(change.promises) < self._quorum():
            return []
        change.second = True
        taken = [(one.taken_at, one.taken) for one in change.promises.values() if one.taken is not None]
        if taken:
            change.view = max(taken, key=lambda one: one[0] or NOBODY)[1] or change.view
        first = change.promises.get(change.view.members[0].addr)
        if first is not None and not first.has_snapshot:
            self._change = None
            return []
        accept = Accept(word.epoch, change.ballot, change.view)
        out: list[Action] = [Tell(one.addr, accept) for one in self.view.members if one.addr != self.me]
        return out + self._on_accept(self.me, accept)

    def _on_accept(self, addr: str, word: Accept) -> list[Action]:
        if not self.is_member or word.epoch != self.view.epoch + 1:
            return []
        if word.ballot < self.promised:
            return [Tell(addr, Outvoted(word.epoch, self.promised))] if addr != self.me else []
        self.promised = self.taken_at = word.ballot
        self.taken = word.view
        return [Store(meta=self._ballots(), tells=[Tell(addr, Accepted(word.epoch, word.ballot))])]

    def _on_accepted(self, addr: str, word: Accepted, now: int) -> list[Action]:
        change = self._change
        if (
            change is None
            or not change.second
            or word.ballot != change.ballot
            or word.epoch != self.view.epoch + 1
        ):
            return []
        member = self.view.member(addr)
        if member is None or (addr != self.me and self._wiped(member)):
            return []
        change.accepted.add(addr)
        if len(change.accepted) < self._quorum():
            return []
        old, view = self.view, change.view
        told = dict.fromkeys([one.addr for one in (*view.members, *old.members) if one.addr != self.me])
        return [*self._adopt(view, now), *(Tell(one, NewView(view)) for one in told)]

    def _adopt(self, view: View, now: int) -> list[Action]:
        if view.epoch <= self.view.epoch:
            return []
        self.view, self.promised, self.taken_at, self.taken = view, NOBODY, None, None
        self._change = self._trouble = None
        for member in view.members:
            self.meet(member.addr, now)
        return [Store(meta={"view": view, **self._ballots()})]
