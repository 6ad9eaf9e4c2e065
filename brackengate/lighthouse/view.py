"""Who holds the log: views, agreed one after the other by the majority of the one before.  Pure.

Each view is one decision among the seats of the view before it, by ballots (single-decree Paxos).  A seat
that has promised seals its epoch: it stores nothing more in it, so nothing more can be acknowledged there.
Every acknowledged write is on all seats' disks, and any majority has one that promised: so the first seat of
the new view holds all of it.

A seat is an address and the life of its disk.  A member whose disk was lost is another one: it has no vote,
and its old seat is given up, until it has been let in anew.  The duty to mend is the first live seat's; a
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
    NewView,
    Outvoted,
    Ping,
    Pong,
    Prepare,
    Promise,
    Seat,
    View,
    WantView,
)

PING = 150_000
DEAD = 500_000  # without an answer to a ping
GAP = 350_000  # this process stood still: nothing that it believes of the others is fresh
RANK = 400_000  # each seat in front gets this long to do the duty
BID = 500_000  # a bid without an outcome is made anew
APART = 500_000  # two that do not hear each other for so long, by their own word
NEVER = -(2**60)
NOBODY: Ballot = (0, "")


@dataclass(slots=True)
class Log:
    """What the chain tells of itself."""

    place: int = 0
    whole: bool = False  # it holds all that its seat owes
    synced: int = 0  # the epoch in which it has met the one before it
    agreed: int = -1  # the last index that is known to be committed
    copied: int = -1  # a learner's complete copy reaches to this index; -1: it is not complete


@dataclass(slots=True)
class Peer:
    answered: int  # when its last pong came, or it was met
    said: Ping | None = None
    said_at: int = NEVER
    ever: bool = False  # whether it answered at all
    refused: bool = False


@dataclass(slots=True)
class Bid:
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
        inc: str,
        zone: str,
        now: int,
        view: View | None,
        promised: Ballot = NOBODY,
        taken_at: Ballot | None = None,
        taken: View | None = None,
        enough: int = 1,
    ) -> None:
        """`view`: as stored, or the first one; None where this member has none yet.  `enough`: seats that no
        wish to leave may go below."""
        self.me, self.inc, self.zone = me, inc, zone
        self.view = view or View(0, ())
        self.promised, self.taken_at, self.taken = promised, taken_at, taken
        self.peers: dict[str, Peer] = {}
        self.fit = True  # its disk takes what it is given
        self.leaves = False  # it was told to give up its seat, until told or started again
        self._enough = enough
        self._pinged = self._ticked = now
        self._trouble: int | None = None
        self._bid: Bid | None = None
        self._high = promised[0]
        self._apart: dict[tuple[str, str], int] = {}  # pairs that do not hear each other, since when

    # --- what is known

    @property
    def seated(self) -> bool:
        seat = self.view.seat(self.me)
        return seat is not None and seat.inc == self.inc

    @property
    def sealed(self) -> bool:
        """Whether it has promised to store nothing more in this epoch."""
        return self.promised != NOBODY

    def meet(self, addr: str, now: int) -> None:
        """There is somebody at this address, by a seed list or by its own word.  It gets time to answer."""
        if addr != self.me and addr not in self.peers:
            self.peers[addr] = Peer(now)

    def hears(self, addr: str, now: int) -> bool:
        peer = self.peers.get(addr)
        return peer is not None and not peer.refused and now - peer.answered < DEAD

    def in_touch(self, now: int) -> bool:
        """Whether what is agreed can't have moved on without it, as far as it can tell."""
        if not self.seated:
            return False
        others = [seat for seat in self.view.seats if seat.addr != self.me]
        heard = sum(1 for seat in others if self.hears(seat.addr, now) and not self._wiped(seat))
        ahead = any(
            peer.said is not None and peer.said.epoch > self.view.epoch for peer in self.peers.values()
        )
        return heard + 1 >= self.view.majority and not ahead

    def zones(self) -> dict[str, str]:
        """The members by address, with their zones."""
        said = {addr: peer.said.zone for addr, peer in self.peers.items() if peer.said is not None}
        return {
            seat.addr: self.zone if seat.addr == self.me else said.get(seat.addr, "")
            for seat in self.view.seats
        }

    # --- events

    def tick(self, now: int, log: Log) -> list[Action]:
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
        return out + self._mend(now, log)

    def refused(self, addr: str, now: int, log: Log) -> list[Action]:
        """Its machine says that nobody listens there."""
        self.meet(addr, now)
        if addr in self.peers:
            self.peers[addr].refused = self.peers[addr].ever
        return self._mend(now, log)

    def heard(self, addr: str, word: Line, now: int, log: Log) -> list[Action]:
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
                return out + self._mend(now, log)
            case Pong():
                fresh = peer.refused or not peer.ever or now - peer.answered >= DEAD
                peer.answered, peer.refused, peer.ever = now, False, True
                return self._ping(now, log) if fresh else []
            case WantView():
                return [Tell(addr, NewView(self.view))] if self.view.epoch else []
            case NewView(view):
                return self._adopt(view, now)
        return []

    def _ping(self, now: int, log: Log) -> list[Action]:
        hears = tuple(addr for addr in self.peers if self.hears(addr, now))
        joining = not self.seated and self.fit and not self.leaves
        ping = Ping(
            self.inc,
            self.view.epoch,
            log.place,
            log.synced,
            joining,
            self.fit,
            self.zone,
            hears,
            self.leaves,
        )
        others = dict.fromkeys([seat.addr for seat in self.view.seats if seat.addr != self.me])
        others.update(dict.fromkeys(addr for addr in self.peers if self._worth_a_ping(addr, now)))
        for addr in others:
            self.meet(addr, now)
        return [Tell(addr, ping) for addr in others]

    def _worth_a_ping(self, addr: str, now: int) -> bool:
        """Old members and strangers are pinged while they speak, and by those who have no seat."""
        return not self.seated or now - self.peers[addr].said_at < 4 * DEAD

    # --- a seat that is given up

    def leave(self, replaced: bool, now: int) -> str:
        """This member is told to leave; why it does not, empty where it does.

        `replaced`: what is left must do without `enough - 1` more, or have somebody to let in.  The view is
        changed as for a member that is gone: until then this one keeps its seat and all its duties.
        """
        if not self.seated:
            return f"{self.me} holds no seat in view {self.view.epoch}"
        alive = self._alive(now)
        left = [seat for seat in alive if seat.addr != self.me and not self._leaving(seat)]
        if len(left) < self._enough:
            return (
                f"{len(left)} of the {len(self.view.seats)} members of view {self.view.epoch} would be left;"
                f" a write needs {self._enough} (Tolerance.Machines + 1)"
            )
        if len(alive) < self.view.majority:
            return f"too few members of view {self.view.epoch} answer for a new view to be agreed"
        waits = any(
            said is not None and said.joining and self.hears(addr, now)
            for addr, said in ((addr, self._fresh(addr, now)) for addr in self.peers)
        )
        stand = 2 * self._enough - 1  # a majority of these outlasts the loss of `enough - 1`
        if replaced and not waits and len(left) < stand:
            return (
                f"{len(left)} members would be left and no other lighthouse waits for a seat;"
                f" it takes {stand} to lose {self._enough - 1} more"
            )
        self.leaves = True
        return ""

    def rejoin(self) -> None:
        self.leaves = False

    def _leaving(self, seat: Seat) -> bool:
        if seat.addr == self.me:
            return self.leaves
        said = self.peers[seat.addr].said if seat.addr in self.peers else None
        return said is not None and said.leaves

    def _spared(self, alive: list[Seat]) -> list[Seat]:
        """Those of the live seats that stay: who wants to leave does, the last first, while enough are left.

        Guards against two that are told at the same moment: neither has heard of the other's wish.
        """
        kept = list(alive)
        for seat in reversed(alive):
            if len(kept) > self._enough and self._leaving(seat):
                kept.remove(seat)
        return kept

    def mender(self, now: int) -> str:
        """Whose turn it is first to mend the view, by what is known here; empty where nobody can."""
        alive = self._alive(now)
        return alive[0].addr if len(alive) >= self._quorum() else ""

    # --- the duty to mend

    def _alive(self, now: int) -> list[Seat]:
        """The seats that could hold the next view together, in their order."""
        alive = [seat for seat in self.view.seats if seat.addr == self.me or self._sound(seat, now)]
        apart: dict[tuple[str, str], int] = {}
        for one in alive:
            said = self._fresh(one.addr, now)
            for other in alive:
                if said is not None and other.addr not in (one.addr, self.me, *said.hears):
                    pair = (one.addr, other.addr)
                    apart[pair] = self._apart.get(pair, now)
        self._apart = apart
        for (one_addr, other_addr), since in apart.items():
            pair_now = [seat for seat in alive if seat.addr in (one_addr, other_addr)]
            if len(pair_now) == 2 and now - since > APART:  # they can't stand in one chain: the later goes
                alive.remove(pair_now[1])
        return alive

    def _fresh(self, addr: str, now: int) -> Ping | None:
        peer = self.peers.get(addr)
        return peer.said if peer is not None and now - peer.said_at < DEAD else None

    def _sound(self, seat: Seat, now: int) -> bool:
        said = self.peers[seat.addr].said if seat.addr in self.peers else None
        return self.hears(seat.addr, now) and (said is None or (said.inc == seat.inc and said.fit))

    def _wiped(self, seat: Seat) -> bool:
        """Another disk stands at its address: its vote is gone for ever."""
        said = self.peers[seat.addr].said if seat.addr in self.peers else None
        return said is not None and said.inc != seat.inc

    def _joiner(self, alive: list[Seat], now: int) -> Seat | None:
        for addr in sorted(self.peers):
            said = self._fresh(addr, now)
            if said is None or not said.joining or not self.hears(addr, now):
                continue
            others = [seat.addr for seat in alive if seat.addr != self.me]
            told = [self._fresh(other, now) for other in others]
            if all(one is not None and addr in one.hears and one.synced == self.view.epoch for one in told):
                return Seat(addr, said.inc, self.view.epoch + 1)
        return None

    def _mend(self, now: int, log: Log) -> list[Action]:
        if not self.seated or not self.fit:
            return []
        if self._bid is not None:
            if now - self._bid.at < BID:
                return []
            self._bid = None
        alive = self._alive(now)
        joiner = self._joiner(alive, now) if log.synced == self.view.epoch else None
        kept = self._spared(alive)
        if joiner is not None:
            kept = [*kept, joiner]
        if tuple(kept) == self.view.seats and not self.sealed:
            self._trouble = None
            return []
        if len(alive) < self._quorum() or not log.whole:
            return []
        if self._trouble is None:
            self._trouble = now
        rank = next((n for n, seat in enumerate(alive) if seat.addr == self.me), 0) + (
            1 if self.sealed else 0
        )
        if now - self._trouble < rank * RANK:
            return []
        self._trouble = now
        self._high += 1
        view = View(self.view.epoch + 1, tuple(kept))
        self._bid = Bid((self._high, self.me), view, now)
        prepare = Prepare(view.epoch, self._bid.ballot)
        out: list[Action] = [Tell(seat.addr, prepare) for seat in self.view.seats if seat.addr != self.me]
        return out + self._on_prepare(self.me, prepare, log)

    def _quorum(self) -> int:
        """A majority; of two, one where the other's disk is gone: whatever was agreed, it took part in."""
        seats = self.view.seats
        if len(seats) == 2 and any(seat.addr != self.me and self._wiped(seat) for seat in seats):
            return 1
        return self.view.majority

    # --- ballots

    def _on_prepare(self, addr: str, word: Prepare, log: Log) -> list[Action]:
        if not self.seated or word.epoch != self.view.epoch + 1:
            return [Tell(addr, NewView(self.view))] if 0 < word.epoch <= self.view.epoch else []
        if word.ballot < self.promised:
            return [Tell(addr, Outvoted(word.epoch, self.promised))] if addr != self.me else []
        self.promised = word.ballot
        self._high = max(self._high, word.ballot[0])
        promise = Promise(word.epoch, word.ballot, log.place, log.whole, self.taken_at, self.taken)
        return [Store(meta=self._ballots(), tells=[Tell(addr, promise)])]

    def _ballots(self) -> dict[str, object]:
        return {"promised": self.promised, "taken_at": self.taken_at, "taken": self.taken}

    def _on_promise(self, addr: str, word: Promise, now: int, log: Log) -> list[Action]:
        bid = self._bid
        if bid is None or bid.second or word.ballot != bid.ballot or word.epoch != self.view.epoch + 1:
            return []
        seat = self.view.seat(addr)
        if seat is None or (addr != self.me and self._wiped(seat)):
            return []
        bid.promises[addr] = word
        if len(bid.promises) < self._quorum():
            return []
        bid.second = True
        taken = [(one.taken_at, one.taken) for one in bid.promises.values() if one.taken is not None]
        if taken:
            bid.view = max(taken, key=lambda one: one[0] or NOBODY)[1] or bid.view
        first = bid.promises.get(bid.view.seats[0].addr)
        if first is not None and not first.whole:
            self._bid = None
            return []
        accept = Accept(word.epoch, bid.ballot, bid.view)
        out: list[Action] = [Tell(one.addr, accept) for one in self.view.seats if one.addr != self.me]
        return out + self._on_accept(self.me, accept)

    def _on_accept(self, addr: str, word: Accept) -> list[Action]:
        if not self.seated or word.epoch != self.view.epoch + 1:
            return []
        if word.ballot < self.promised:
            return [Tell(addr, Outvoted(word.epoch, self.promised))] if addr != self.me else []
        self.promised = self.taken_at = word.ballot
        self.taken = word.view
        return [Store(meta=self._ballots(), tells=[Tell(addr, Accepted(word.epoch, word.ballot))])]

    def _on_accepted(self, addr: str, word: Accepted, now: int) -> list[Action]:
        bid = self._bid
        if bid is None or not bid.second or word.ballot != bid.ballot or word.epoch != self.view.epoch + 1:
            return []
        seat = self.view.seat(addr)
        if seat is None or (addr != self.me and self._wiped(seat)):
            return []
        bid.accepted.add(addr)
        if len(bid.accepted) < self._quorum():
            return []
        old, view = self.view, bid.view
        told = dict.fromkeys([one.addr for one in (*view.seats, *old.seats) if one.addr != self.me])
        return [*self._adopt(view, now), *(Tell(one, NewView(view)) for one in told)]

    def _adopt(self, view: View, now: int) -> list[Action]:
        if view.epoch <= self.view.epoch:
            return []
        self.view, self.promised, self.taken_at, self.taken = view, NOBODY, None, None
        self._bid = self._trouble = None
        for seat in view.seats:
            self.meet(seat.addr, now)
        return [Store(meta={"view": view, **self._ballots()})]
