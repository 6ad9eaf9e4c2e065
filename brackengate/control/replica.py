"""One control replica: agreement on views and the replicated log together.  Pure."""

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

LOG_MESSAGES = (
    Submit, CommandInProgress, StageChange, ChangeDelivered, Result, EntriesRequest,
    Append, SnapshotRequest, SnapshotPiece, Ack,
)  # fmt: skip
FIRST_INCARNATION = "first"  # of a disk that was created at the system's first start


@dataclass(slots=True)
class StoredState:
    """What was on disk when the process started."""

    incarnation: str
    index: int = 0
    snapshot_epoch: int = 0
    view: View | None = None
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot | None = None
    accepted_view: View | None = None
    rows: Iterable[tuple[str, str, int, Any]] = ()
    entries: Iterable[Entry] = ()  # that follow the rows, up to `index`
    base_index: int | None = None  # the index up to which the rows are committed; None: some may not be
    copy_bucket: int = 0  # the position of a partial copy; COMPLETE_BUCKET: it is complete


class Replica:
    """Passes each event to the view agreement or to the chain, and each new view to the chain."""

    agreement_type: type[Agreement] = Agreement  # replaced by faulty variants in `model_check`
    chain_type: type[Chain] = Chain

    def __init__(
        self,
        me: str,
        zone: str,
        stored: StoredState,
        seeds: Iterable[str],
        initial_start: bool,
        min_replicas: int,
        window: int,
        now: int,
    ) -> None:
        """`initial_start`: the system's first start, with an empty disk; the seeds form the first view.
        `min_replicas`: disks that hold a write before it is acknowledged.  `window`: microseconds in which a
        key may be repeated."""
        seeds = sorted(set(seeds))
        view, snapshot_epoch = stored.view, stored.snapshot_epoch
        if view is None and initial_start:
            view = View(1, tuple(Member(seed, FIRST_INCARNATION, 1) for seed in seeds))
            snapshot_epoch = 1 if me in seeds else 0
        self.me, self._is_initial_start = me, stored.view is None and view is not None
        self.agreement = self.agreement_type(
            me,
            stored.incarnation,
            zone,
            now,
            view,
            stored.promised,
            stored.accepted_ballot,
            stored.accepted_view,
            min_replicas,
        )
        self.chain = self.chain_type(me, min_replicas, window, stored.index, snapshot_epoch, now)
        self.chain.incarnation = stored.incarnation
        self.chain.load(stored.rows, stored.entries, stored.base_index, stored.copy_bucket, now)
        grace_us = FIRST_START_GRACE_US if self._is_initial_start else 0
        for addr in (*seeds, *(member.addr for member in self.agreement.view.members)):
            self.agreement.add_peer(addr, now + grace_us)

    def start(self, now: int) -> list[Action]:
        """The first actions of the process.  Called once."""
        out: list[Action] = []
        if self._is_initial_start:
            out.append(Store({"view": self.agreement.view, "lineage": self.chain.snapshot_epoch}))
        return self._apply_view(out, now, force=True)

    def tick(self, now: int) -> list[Action]:
        """Periodic work."""
        out = self._apply_view(self.agreement.tick(now, self.chain.log_status()), now)
        return out + self.chain.tick(now)

    def on_message(self, addr: str, message: Message, now: int) -> list[Action]:
        """Handles a message of the replica at that address, or of this one."""
        if isinstance(message, LOG_MESSAGES):
            return self.chain.on_message(addr, message, now)
        return self._apply_view(self.agreement.on_message(addr, message, now, self.chain.log_status()), now)

    def add_peer(self, addr: str, now: int) -> None:
        """Another replica connected from that address."""
        self.agreement.add_peer(addr, now)

    def on_reconnected(self, addr: str, now: int) -> list[Action]:
        """A connection with that replica is new: messages on the one before may be lost."""
        return self.chain.on_reconnected(addr, now)

    def on_connection_refused(self, addr: str, now: int) -> list[Action]:
        """No process listens at that address."""
        return self._apply_view(self.agreement.on_connection_refused(addr, now, self.chain.log_status()), now)

    def on_stored(self, index: int, generation: int) -> list[Action]:
        """A `Store` with this index and generation is on disk."""
        return self.chain.on_stored(index, generation)

    def submit_command(
        self, command: Command, request_id: int, now: int, give_up_after: int = GIVE_UP_AFTER_US
    ) -> list[Action]:
        """Submits a command; answered once, by `Answer(request_id, result)`."""
        return self.chain.submit_command(command, request_id, now, give_up_after)

    def withdraw(self, request_id: int) -> None:
        """The caller no longer waits for the command: it is not submitted again."""
        self.chain.withdraw(request_id)

    def on_delivered(self, id_: str, now: int) -> list[Action]:
        """All connected followers hold the order with this id."""
        return self.chain.on_delivered(id_, now)

    def run_slice(self, now: int) -> list[Action]:
        """Does one slice of the work that was announced by `Continue`."""
        return self.chain.run_slice(now)

    def set_disk_healthy(self, disk_healthy: bool) -> None:
        """Records whether the disk completes writes in time."""
        self.agreement.disk_healthy = disk_healthy

    def leave(self, replaced: bool, now: int) -> str:
        """Asks this member to leave.  Returns the reason if it may not, else an empty string."""
        return self.agreement.leave(replaced, now)

    def rejoin(self) -> None:
        """Withdraws an earlier `leave`."""
        self.agreement.rejoin()

    def current_as_of(self) -> int:
        """The lease start: if it serves, every write acknowledged by then is committed here."""
        return self.agreement.lease_start

    def serves(self, now: int) -> bool:
        """Whether followers may treat the data held here as current."""
        return self.chain.ready and self.agreement.holds_lease(now)

    def _apply_view(self, out: list[Action], now: int, force: bool = False) -> list[Action]:
        """Passes the agreed view to the chain if it is new (or `force`), and whether the epoch is closed."""
        view = self.agreement.view
        if view.epoch != self.chain.view.epoch or force:
            out = out + self.chain.on_view(view, self.agreement.incarnation, now)
        self.chain.epoch_closed = self.agreement.epoch_closed
        return out
