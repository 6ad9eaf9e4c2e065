"""One core machine's part in what is agreed: views and the log together.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from brackengate.lighthouse.actions import Action, Store
from brackengate.lighthouse.chain import Chain
from brackengate.lighthouse.view import NOBODY, Agreement
from brackengate.signals.words import Ask, Ballot, Do, Done, Forward, Have, Line, Seat, Stored, View, Whole

FIRST = "first"  # the life of a disk at the system's very first start


@dataclass(slots=True)
class Kept:
    """What was on disk at the start."""

    inc: str
    place: int = 0
    lineage: int = 0
    view: View | None = None
    promised: Ballot = NOBODY
    taken_at: Ballot | None = None
    taken: View | None = None
    rows: Iterable[tuple[str, str, int, Any]] = ()


class Member:
    agreement_kind: type[Agreement] = Agreement  # others where mistakes are tried: see `soundings`
    chain_kind: type[Chain] = Chain

    def __init__(
        self,
        me: str,
        zone: str,
        kept: Kept,
        seeds: Iterable[str],
        first: bool,
        enough: int,
        window: int,
        now: int,
    ) -> None:
        """`first`: the system's very first start, with an empty disk: the seeds are the first view."""
        seeds = sorted(set(seeds))
        view, lineage = kept.view, kept.lineage
        if view is None and first:
            view = View(1, tuple(Seat(seed, FIRST, 1) for seed in seeds))
            lineage = 1 if me in seeds else 0
        self.me, self._first = me, kept.view is None and view is not None
        self.agreement = self.agreement_kind(
            me, kept.inc, zone, now, view, kept.promised, kept.taken_at, kept.taken, enough
        )
        self.chain = self.chain_kind(me, enough, window, kept.place, lineage, now)
        self.chain.inc = kept.inc
        self.chain.load(list(kept.rows), now)
        for addr in (*seeds, *(seat.addr for seat in self.agreement.view.seats)):
            self.agreement.meet(addr, now)

    def start(self, now: int) -> list[Action]:
        out: list[Action] = []
        if self._first:
            out.append(Store({"view": self.agreement.view, "lineage": self.chain.lineage}))
        return self._settle(out, now, anyway=True)

    def tick(self, now: int) -> list[Action]:
        out = self._settle(self.agreement.tick(now, self.chain.log()), now)
        return out + self.chain.tick(now)

    def heard(self, addr: str, word: Line, now: int) -> list[Action]:
        if isinstance(word, Do | Done | Have | Forward | Whole | Stored):
            return self.chain.heard(addr, word, now)
        return self._settle(self.agreement.heard(addr, word, now, self.chain.log()), now)

    def met(self, addr: str, now: int) -> None:
        self.agreement.meet(addr, now)

    def reconnected(self, addr: str, now: int) -> list[Action]:
        return self.chain.reconnected(addr, now)

    def refused(self, addr: str, now: int) -> list[Action]:
        return self._settle(self.agreement.refused(addr, now, self.chain.log()), now)

    def stored(self, place: int, life: int) -> list[Action]:
        return self.chain.stored(place, life)

    def ask(self, what: Ask, local: int, now: int) -> list[Action]:
        return self.chain.ask(what, local, now)

    def fit(self, fit: bool) -> None:
        """Whether the disk takes what it is given, in time."""
        self.agreement.fit = fit

    def leave(self, replaced: bool, now: int) -> str:
        """Told to give up its seat; why it does not, empty where it does."""
        return self.agreement.leave(replaced, now)

    def rejoin(self) -> None:
        self.agreement.rejoin()

    def serves(self, now: int) -> bool:
        """Whether followers may rely on it."""
        return self.chain.ready and self.agreement.in_touch(now)

    def _settle(self, out: list[Action], now: int, anyway: bool = False) -> list[Action]:
        """What the views have decided holds for the log."""
        view = self.agreement.view
        if view.epoch != self.chain.view.epoch or anyway:
            out = out + self.chain.viewed(view, self.agreement.inc, now)
        self.chain.sealed = self.agreement.sealed
        return out
