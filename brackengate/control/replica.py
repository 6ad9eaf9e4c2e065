"""One core machine's part in what is agreed: views and the log together.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from brackengate.control.actions import Action, Store
from brackengate.control.chain import Chain
from brackengate.control.commands import GIVE_UP_AFTER
from brackengate.control.failure_detector import FIRST_START
from brackengate.control.view import NOBODY, Agreement
from brackengate.protocol.messages import (
    Ack,
    Append,
    Ballot,
    ChangeDelivered,
    Command,
    CommandInProgress,
    EntriesRequest,
    Entry,
    Member,
    Message,
    Result,
    SnapshotPiece,
    SnapshotRequest,
    StageChange,
    Submit,
    View,
)

OF_THE_LOG = (
    Submit, CommandInProgress, StageChange, ChangeDelivered, Result,
    EntriesRequest, Append, SnapshotRequest, SnapshotPiece, Ack,
)  # fmt: skip
FIRST = "first"  # the life of a disk at the system's very first start


@dataclass(slots=True)
class StoredState:
    """What was on disk at the start."""

    incarnation: str
    index: int = 0
    snapshot_epoch: int = 0
    view: View | None = None
    promised: Ballot = NOBODY
    taken_at: Ballot | None = None
    taken: View | None = None
    rows: Iterable[tuple[str, str, int, Any]] = ()
    entries: Iterable[Entry] = ()  # that follow the rows, up to `index`
    base: int | None = None  # the index up to which the rows are committed; None: they may not be
    bucket: int = 0  # of a copy under way; COMPLETE: it is whole


class Replica:
    agreement_kind: type[Agreement] = Agreement  # others where mistakes are tried: see `model_check`
    chain_kind: type[Chain] = Chain

    def __init__(
        self,
        me: str,
        zone: str,
        kept: StoredState,
        seeds: Iterable[str],
        first: bool,
        min_replicas: int,
        window: int,
        now: int,
    ) -> None:
        """`first`: the system's very first start, with an empty disk: the seeds are the first view."""
        seeds = sorted(set(seeds))
        view, snapshot_epoch = kept.view, kept.snapshot_epoch
        if view is None and first:
            view = View(1, tuple(Member(seed, FIRST, 1) for seed in seeds))
            snapshot_epoch = 1 if me in seeds else 0
        self.me, self._first = me, kept.view is None and view is not None
        self.agreement = self.agreement_kind(
            me, kept.incarnation, zone, now, view, kept.promised, kept.taken_at, kept.taken, min_replicas
        )
        self.chain = self.chain_kind(me, min_replicas, window, kept.index, snapshot_epoch, now)
        self.chain.incarnation = kept.incarnation
        self.chain.load(kept.rows, kept.entries, kept.base, kept.bucket, now)
        patient = FIRST_START if self._first else 0
        for addr in (*seeds, *(member.addr for member in self.agreement.view.members)):
            self.agreement.meet(addr, now + patient)

    def start(self, now: int) -> list[Action]:
        out: list[Action] = []
        if self._first:
            out.append(Store({"view": self.agreement.view, "lineage": self.chain.snapshot_epoch}))
        return self._settle(out, now, anyway=True)

    def tick(self, now: int) -> list[Action]:
        out = self._settle(self.agreement.tick(now, self.chain.log()), now)
        return out + self.chain.tick(now)

    def heard(self, addr: str, word: Message, now: int) -> list[Action]:
        if isinstance(word, OF_THE_LOG):
            return self.chain.heard(addr, word, now)
        return self._settle(self.agreement.heard(addr, word, now, self.chain.log()), now)

    def met(self, addr: str, now: int) -> None:
        self.agreement.meet(addr, now)

    def reconnected(self, addr: str, now: int) -> list[Action]:
        return self.chain.reconnected(addr, now)

    def refused(self, addr: str, now: int) -> list[Action]:
        return self._settle(self.agreement.refused(addr, now, self.chain.log()), now)

    def stored(self, index: int, generation: int) -> list[Action]:
        return self.chain.stored(index, generation)

    def ask(self, what: Command, local: int, now: int, give_up_after: int = GIVE_UP_AFTER) -> list[Action]:
        return self.chain.ask(what, local, now, give_up_after)

    def withdraw(self, local: int) -> None:
        self.chain.withdraw(local)

    def delivered(self, id_: str, now: int) -> list[Action]:
        return self.chain.delivered(id_, now)

    def proceed(self, now: int) -> list[Action]:
        return self.chain.proceed(now)

    def set_disk_healthy(self, disk_healthy: bool) -> None:
        """Whether the disk takes what it is given, in time."""
        self.agreement.disk_healthy = disk_healthy

    def leave(self, replaced: bool, now: int) -> str:
        """Told to leave; why it does not, empty where it does."""
        return self.agreement.leave(replaced, now)

    def rejoin(self) -> None:
        self.agreement.rejoin()

    def current_as_of(self) -> int:
        """Where it serves: everything that was acknowledged by then is committed here."""
        return self.agreement.lease_from

    def serves(self, now: int) -> bool:
        """Whether followers may rely on it."""
        return self.chain.ready and self.agreement.holds_lease(now)

    def _settle(self, out: list[Action], now: int, anyway: bool = False) -> list[Action]:
        """What the views have decided holds for the log."""
        view = self.agreement.view
        if view.epoch != self.chain.view.epoch or anyway:
            out = out + self.chain.viewed(view, self.agreement.incarnation, now)
        self.chain.epoch_closed = self.agreement.epoch_closed
        return out
