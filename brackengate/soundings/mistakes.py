"""Mistakes that the search has to find: each a decider with one thing done wrong.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

from brackengate.lighthouse.actions import Action, Answer
from brackengate.lighthouse.chain import Chain
from brackengate.lighthouse.commands import GIVE_UP_AFTER
from brackengate.lighthouse.replica import Replica
from brackengate.lighthouse.view import Agreement, LogStatus
from brackengate.signals.words import Command, Entry, Member, Promise, Read
from brackengate.soundings.model import Bounds


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
}
