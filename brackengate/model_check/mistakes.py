"""Mistakes that the search has to find: each a decider with one thing done wrong.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from brackengate.control.actions import Action, Answer
from brackengate.control.chain import Chain
from brackengate.control.commands import GIVE_UP_AFTER, PendingReply
from brackengate.control.failure_detector import Peer
from brackengate.control.replica import Replica
from brackengate.control.view import Agreement, LogStatus
from brackengate.model_check.model import FREE, Bounds
from brackengate.protocol.config_items import parse_change, parse_route
from brackengate.protocol.messages import (
    Amend,
    Command,
    CommandDone,
    ConflictingChange,
    Entry,
    InvalidChange,
    Member,
    Pong,
    Promise,
    Read,
    SnapshotPiece,
    Submit,
)


class _HastyChain(Chain):
    def _take(self, entries: tuple[Entry, ...], now: int) -> list[Action]:
        """Counts as stored what has only been handed to the disk."""
        out = super()._take(entries, now)
        return out + (self.stored(self.index, self.generation) if entries else [])


class _LonelyChain(Chain):
    def __init__(
        self, me: str, min_replicas: int, window: int, index: int, snapshot_epoch: int, now: int
    ) -> None:
        """One disk is min_replicas, whatever may be lost."""
        super().__init__(me, 1, window, index, snapshot_epoch, now)


class _StaleChain(Chain):
    def ask(self, what: Command, local: int, now: int, give_up_after: int = GIVE_UP_AFTER) -> list[Action]:
        """The tail answers a read from what it holds, without a look at whether it still is the tail."""
        if isinstance(what, Read) and 0 <= self._chain_position() == len(self.view.members) - 1:
            return [Answer(local, self.configuration())]
        return super().ask(what, local, now, give_up_after)


class _WipedVotes(Agreement):
    @property
    def is_member(self) -> bool:
        """Its address is min_replicas, whatever has become of its disk."""
        return self.view.member(self.me) is not None

    def _wiped(self, member: Member) -> bool:
        return False


class _NumberAgain(Agreement):
    def _on_promise(self, addr: str, word: Promise, now: int, log: LogStatus) -> list[Action]:
        """Its own view under a number for which another may have been accepted."""
        blank = Promise(word.epoch, word.ballot, word.index, word.has_snapshot)
        return super()._on_promise(addr, blank, now, log)


class _LeaseFromReceipt(Agreement):
    def _on_pong(self, peer: Peer, pong: Pong, now: int, log: LogStatus) -> list[Action]:
        """The lease runs from when the answer was heard, however long it was under way."""
        out = super()._on_pong(peer, pong, now, log)
        if not pong.epoch_closed:
            peer.open_since = now
            self._renew_lease(now)
        return out


class _ClosedRenews(Agreement):
    def _on_pong(self, peer: Peer, pong: Pong, now: int, log: LogStatus) -> list[Action]:
        """A voter that has promised to leave the epoch still renews the lease in it."""
        return super()._on_pong(peer, msgspec.structs.replace(pong, epoch_closed=False), now, log)


class _LeaseByDetection(Agreement):
    def holds_lease(self, now: int) -> bool:
        """Who is not known to be dead vouches: after a freeze that is everybody."""
        heard = sum(self.hears(member.addr, now) for member in self._other_members())
        return self.is_member and heard + 1 >= self.view.majority


class _AdmitsAtOnce(Agreement):
    def _admissible_learner(self, alive: list[Member], now: int, log: LogStatus) -> Member | None:
        """Whoever waits becomes a member, and copies then."""
        for addr, said in self._learners(now):
            return Member(addr, said.incarnation, self.view.epoch + 1)
        return None


class _KeepsWhatIsFreed(Chain):
    def _on_copy_piece(self, addr: str, piece: SnapshotPiece) -> list[Action]:
        """What follows a copy is taken without its deletions, and is not checked whole."""
        entries = tuple(
            Entry(entry.index, tuple(row for row in entry.rows if row[2] is not None))
            for entry in piece.entries
        )
        lacking = msgspec.structs.replace(piece, entries=entries, total=None)
        return super()._on_copy_piece(addr, lacking)


class _EqualVersionChain(Chain):
    def _reply(self, reply: PendingReply) -> list[Action]:
        """An order of equal version and other content gives no news, and is acknowledged."""
        if isinstance(reply.result, ConflictingChange):
            reply.result = CommandDone()
        return super()._reply(reply)


class _ForgetfulChain(Chain):
    def _execute(self, addr: str, word: Submit, now: int) -> list[Action]:
        """An order is judged by what holds now, also where it was acknowledged before."""
        out = super()._execute(addr, word, now)
        if isinstance(word.what, Amend) and self._pending_replies:
            known = {name for (kind, name), item in self.items.items() if kind == "plant" and item.body}
            order = [item for (kind, _), item in parse_change(word.what.body.encode()) if kind == "route"]
            if any(
                part.service not in known
                for item in order
                if item.body
                for part in parse_route(item).services
            ):
                self._pending_replies[-1].result = InvalidChange("it names a service that is not known")
        return out


class _Hasty(Replica):
    chain_kind = _HastyChain


class _Lonely(Replica):
    chain_kind = _LonelyChain


class _Stale(Replica):
    chain_kind = _StaleChain


class _Wiped(Replica):
    agreement_kind = _WipedVotes


class _Again(Replica):
    agreement_kind = _NumberAgain


class _Receipt(Replica):
    agreement_kind = _LeaseFromReceipt


class _Closed(Replica):
    agreement_kind = _ClosedRenews


class _Detection(Replica):
    agreement_kind = _LeaseByDetection


class _AtOnce(Replica):
    agreement_kind = _AdmitsAtOnce


class _Keeps(Replica):
    chain_kind = _KeepsWhatIsFreed


class _EqualVersion(Replica):
    chain_kind = _EqualVersionChain


class _Forgetful(Replica):
    chain_kind = _ForgetfulChain


LEASES = Bounds(
    writes=0, views=2, bids=1, crashes=0, doubts=1, pings=1, clock=2, freezes=1, delays=0
)  # a member is frozen while the others agree on a view without it


LEARNER = Bounds(
    writes=1, wipes=1, pings=3, views=3, bids=2, crashes=0, doubts=0, delays=0
)  # a disk is lost; its machine comes back as a learner
ORDERS = Bounds(
    members=2, writes=3, workload="overtaken", views=1, bids=0, crashes=0, doubts=0, resends=1, delays=0
)  # an order comes again after its service was removed


@dataclass(frozen=True)
class Mistake:
    words: str
    kind: type[Replica]
    bounds: Bounds  # small ones, within which it shows


MISTAKES = {
    "before-sync": Mistake(
        "a write counts as stored before the disk has synced it",
        _Hasty,
        Bounds(writes=1, views=1, bids=0, crashes=0, doubts=0, apart=True),
    ),
    "chain-of-one": Mistake(
        "a chain of one acknowledges, although one machine may be lost",
        _Lonely,
        Bounds(members=2, writes=1, views=2, bids=1, crashes=0, doubts=0, wipes=1, pings=1),
    ),
    "wiped-voter": Mistake(
        "a voter that lost its disk keeps its vote",
        _Wiped,
        Bounds(writes=0, views=2, bids=1, crashes=0, doubts=0, wipes=1, pings=1),
    ),
    "stale-tail": Mistake(
        "the tail answers reads without a look at whether it still is the tail",
        _Stale,
        Bounds(writes=1, reads=1, views=2, bids=1, crashes=0, doubts=1),
    ),
    "number-again": Mistake(
        "a view is proposed under a number for which another may have been agreed",
        _Again,
        Bounds(writes=0, views=2, bids=2, crashes=0, doubts=2),
    ),
    "lease-from-receipt": Mistake(
        "a lease runs from when an answer was heard, not from the sending of what it answers",
        _Receipt,
        LEASES,
    ),
    "closed-voter-renews": Mistake(
        "a voter that has promised to leave the epoch still renews a lease in it",
        _Closed,
        replace(LEASES, freezes=0, delays=FREE),
    ),
    "lease-by-detection": Mistake(
        "whoever is not known to be dead vouches for what is served, also after a freeze",
        _Detection,
        LEASES,
    ),
    "admission-before-copy": Mistake(
        "a learner becomes a member before it holds the committed state",
        _AtOnce,
        replace(LEARNER, writes=0, pings=2, delays=1),
    ),
    "kept-deletion": Mistake(
        "what a learner lacks is sent without deletions",
        _Keeps,
        replace(LEARNER, frees=1, learns=1, views=2, bids=1, pings=1),
    ),
    "equal-version": Mistake(
        "a second order under the same version, with other content, is acknowledged",
        _EqualVersion,
        Bounds(members=2, writes=2, workload="same-version", views=1, bids=0, crashes=0, doubts=0),
    ),
    "resent-refused": Mistake(
        "an order that was acknowledged is judged anew when it comes again",
        _Forgetful,
        Bounds(
            members=2,
            writes=3,
            workload="overtaken",
            views=1,
            bids=0,
            crashes=0,
            doubts=0,
            resends=1,
            delays=0,
        ),
    ),
}
