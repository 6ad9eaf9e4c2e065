"""One core machine's part in what is agreed: views and the log together.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from brackengate.control.actions import Action, Store
from brackengate.control.chain import Chain
from brackengate.control.commands import GIVE_UP_AFTER_US
from brackengate.control.failure_detector import FIRST_START_GRACE_US
from brackengate.control.view import NO_BALLOT, Agreement
from brackengate.protocol.messages import (
    Ack,
    Append,
    Ballot,
    Command,
    CopyPiece,
    CopyRequest,
    Delivered,
    Entry,
    Line,
    Member,
    Position,
    Result,
    Stage,
    Submit,
    Underway,
    View,
)

LOG_MESSAGES = (
    Submit, Underway, Stage, Delivered, Result, Position, Append, CopyRequest, CopyPiece, Ack,
)  # fmt: skip
FIRST_INCARNATION = "first"  # the life of a disk at the system's very first start


@dataclass(slots=True)
class StoredState:
    """What was on disk at the start."""

    incarnation: str
    index: int = 0
    snapshot_epoch: int = 0
    view: View | None = None
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    accepted_view: View | None = None
    rows: Iterable[tuple[str, str, int, Any]] = ()
    entries: Iterable[Entry] = ()  # that follow the rows, up to `index`
    base_index: int | None = None  # the index up to which the rows are committed; None: they may not be
    copy_bucket: int = 0  # of a copy under way; COMPLETE: it is whole


class Replica:
    agreement_type: type[Agreement] = Agreement  # others where mistakes are tried: see `model_check`
    chain_type: type[Chain] = Chain

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
            view = View(1, tuple(Member(seed, FIRST_INCARNATION, 1) for seed in seeds))
            snapshot_epoch = 1 if me in seeds else 0
        self.me, self._first = me, kept.view is None and view is not None
        self.agreement = self.agreement_type(
            me,
            kept.incarnation,
            zone,
            now,
            view,
            kept.promised,
            kept.accepted_ballot,
            kept.accepted_view,
            min_replicas,
        )
        self.chain = self.chain_type(me, min_replicas, window, kept.index, snapshot_epoch, now)
        self.chain.incarnation = kept.incarnation
        self.chain.load(kept.rows, kept.entries, kept.base_index, kept.copy_bucket, now)
        patient = FIRST_START_GRACE_US if self._first else 0
        for addr in (*seeds, *(member.addr for member in self.agreement.view.members)):
            self.agreement.add_peer(addr, now + patient)

    def start(self, now: int) -> list[Action]:
        out: list[Action] = []
        if self._first:
            out.append(Store({"view": self.agreement.view, "lineage": self.chain.snapshot_epoch}))
        return self._settle(out, now, anyway=True)

    def tick(self, now: int) -> list[Action]:
        out = self._settle(self.agreement.tick(now, self.chain.log_status()), now)
        return out + self.chain.tick(now)

    def on_message(self, addr: str, word: Line, now: int) -> list[Action]:
        if isinstance(word, LOG_MESSAGES):
            return self.chain.on_message(addr, word, now)
        return self._settle(self.agreement.on_message(addr, word, now, self.chain.log_status()), now)

    def add_peer(self, addr: str, now: int) -> None:
        self.agreement.add_peer(addr, now)

    def on_reconnected(self, addr: str, now: int) -> list[Action]:
        return self.chain.on_reconnected(addr, now)

    def on_connection_refused(self, addr: str, now: int) -> list[Action]:
        return self._settle(self.agreement.on_connection_refused(addr, now, self.chain.log_status()), now)

    def on_stored(self, index: int, generation: int) -> list[Action]:
        return self.chain.on_stored(index, generation)

    def submit_command(
        self, what: Command, request_id: int, now: int, give_up_after: int = GIVE_UP_AFTER_US
    ) -> list[Action]:
        return self.chain.submit_command(what, request_id, now, give_up_after)

    def withdraw(self, request_id: int) -> None:
        self.chain.withdraw(request_id)

    def on_delivered(self, id_: str, now: int) -> list[Action]:
        return self.chain.on_delivered(id_, now)

    def run_slice(self, now: int) -> list[Action]:
        return self.chain.run_slice(now)

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
        return self.agreement.lease_start

    def serves(self, now: int) -> bool:
        """Whether followers may rely on it."""
        return self.chain.ready and self.agreement.holds_lease(now)

    def _settle(self, out: list[Action], now: int, anyway: bool = False) -> list[Action]:
        """What the views have decided holds for the log."""
        view = self.agreement.view
        if view.epoch != self.chain.view.epoch or anyway:
            out = out + self.chain.on_view(view, self.agreement.incarnation, now)
        self.chain.epoch_closed = self.agreement.epoch_closed
        return out
