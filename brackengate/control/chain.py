"""Chain replication of the log: the head appends entries, each member stores them in turn, the tail commits.

Pure.  A member stores an entry before it sends it to its successor, so each log is a prefix of its
predecessor's.  What the tail has stored is on every disk of the view: it is committed, and acknowledgements
travel back up the chain.  Only committed rows are published, so nothing published is ever retracted.

The log is kept as the committed rows and the entries after them, in memory and on disk alike.  Entries are
forwarded unchanged, so that a deletion is applied on every replica.  A replica that is not a member drops the
entries and keeps the rows, which remain a prefix of the committed state whatever happens; it continues from
there as a learner (`transfer`).  A new member takes up its duties when it holds everything that its
predecessor had stored when they connected.

Pending commands, and how the head decides them, are in `commands.py`.  Times are microseconds of a monotonic
clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from brackengate.control.actions import Action, Continue, Deliver, Publish, ResetFollowers, Send
from brackengate.control.ages import KeyAges
from brackengate.control.change_coordinator import (
    AppendNow,
    AwaitDelivery,
    ChangeCoordinator,
    ExaminationOutcome,
    Examining,
)
from brackengate.control.commands import (
    GIVE_UP_AFTER_US,
    Decision,
    PendingCommands,
    PendingReply,
    decide,
)
from brackengate.control.item_index import ItemIndex
from brackengate.control.learning import Learner, apply_piece, restart_from_committed
from brackengate.control.log import PublicChanges, ReplicaLog, public_changes
from brackengate.control.prepared_rows import NO_ROUTES, item_of
from brackengate.control.rows import KEY_KIND, CommittedState, LatestRows
from brackengate.control.staging import Delivery, StagedChange, StagedChanges, Submission
from brackengate.control.transfer import COMPLETE_BUCKET, next_piece
from brackengate.control.view import LogStatus
from brackengate.protocol.config_items import ItemName, Route, config_document
from brackengate.protocol.messages import (
    ITEM_KINDS,
    Ack,
    Amend,
    Append,
    ChangeDelivered,
    Command,
    CommandInProgress,
    Configuration,
    EntriesRequest,
    Entry,
    Message,
    Result,
    Row,
    SnapshotPiece,
    SnapshotPosition,
    SnapshotRequest,
    StageChange,
    Submit,
    View,
)

POSITION_INTERVAL_US = 200_000  # a member that is not caught up reports its position again
PRUNE_BATCH_KEYS = 500
# Between two scans for expired keys, and between the steps of one scan.
PRUNE_INTERVAL_US, PRUNE_CONTINUE_INTERVAL_US = 1_000_000, 100_000


class Chain:
    """One replica's log and its part in the chain: as head, member, tail or learner."""

    def __init__(
        self, me: str, min_replicas: int, window: int, index: int, snapshot_epoch: int, now: int
    ) -> None:
        """`min_replicas`: disks that hold a write before its ack.  `window`: how long a key may be repeated.
        `index`, `snapshot_epoch`: as stored; the epoch in which this replica became the member that the rows
        were copied for, 0 if it is none."""
        self.me, self.min_replicas = me, min_replicas
        self.view = View(0, ())
        self.incarnation = ""
        self.epoch_closed = False
        self.replica_log = ReplicaLog(index)
        self.stored_index = index
        self.commit_index = -1  # on the disks of all members; -1: not known since the start
        self.caught_up_epoch = 0
        self.snapshot_epoch = snapshot_epoch
        self.learner = Learner()
        self.key_ages = KeyAges(window)
        self._ready_index = index
        self._catching_up = False  # a new member that receives entries but lacks some of its predecessor's
        self._required_index: int | None = None  # the index up to which it must catch up
        self._sent_until: int | None = None  # sent to the successor; None until it reports its position
        self._now = now  # of the last event
        self._position_sent_at = self._last_prune_at = 0
        self._prune_index = 0  # the last entry that deletes expired keys
        self._commands = PendingCommands(now)
        self.staged = StagedChanges()
        self._orders = ChangeCoordinator()
        self._preparations: deque[Iterator[None]] = deque()  # of rows that will be appended
        self._pending_replies: deque[PendingReply] = deque()
        self._configuration: Configuration | None = None  # as last read
        self._configuration_of = (0, -1)  # the generation and public index that it was built from

    def load(
        self,
        rows: Iterable[tuple[str, str, int, Any]],
        entries: Iterable[Entry],
        base: int | None,
        bucket: int,
        now: int,
    ) -> None:
        """Loads what is on disk at the start: committed rows, and entries that may not be committed.

        `base`: the index up to which the rows are committed, None if some may not be.  `bucket`: the position
        of a partial copy.
        """
        self.replica_log.load(rows, entries, base)
        if self.snapshot_epoch and self.replica_log.rows_committed:
            bucket = COMPLETE_BUCKET
        self.learner.position = SnapshotPosition(bucket, self.state.index)
        self.key_ages.record(now, self.index)

    # --- state

    def log_status(self) -> LogStatus:
        """The state of the log, for the view agreement."""
        copied = -1 if self._chain_position() >= 0 or not self.learner.complete else self.state.index
        committed = max(self.commit_index, self.state.index if self.replica_log.rows_committed else -1)
        return LogStatus(self.stored_index, self.has_snapshot, self.caught_up_epoch, committed, copied)

    @property
    def index(self) -> int:
        """The index of the last entry in memory."""
        return self.replica_log.index

    @property
    def generation(self) -> int:
        """Increases whenever a part of the log is dropped."""
        return self.replica_log.generation

    @property
    def state(self) -> CommittedState:
        """The committed rows."""
        return self.replica_log.state

    @property
    def rows(self) -> LatestRows:
        """All rows, including those of uncommitted entries."""
        return self.replica_log.rows

    @property
    def items(self) -> ItemIndex:
        """The operator's configuration items, as in `rows`."""
        return self.replica_log.items

    def set_delivery_timeout(self, time: int) -> None:
        """Sets how long a large order waits for followers at most, in addition to the time for its rows."""
        self._orders.deliver_within = time

    @property
    def has_snapshot(self) -> bool:
        """Whether this replica is a member that holds every entry its membership requires."""
        member = self.view.member(self.me)
        return (
            member is not None
            and member.incarnation == self.incarnation
            and member.since == self.snapshot_epoch
        )

    def _chain_position(self) -> int:
        """The number of members in front of this one; -1 if it is no member."""
        return next(
            (
                position
                for position, member in enumerate(self.view.members)
                if member.addr == self.me and member.incarnation == self.incarnation
            ),
            -1,
        )

    @property
    def head(self) -> str:
        """The address of the chain's head; empty without a view."""
        return self.view.members[0].addr if self.view.members else ""

    def _predecessor(self) -> str:
        at = self._chain_position()
        return self.view.members[at - 1].addr if at > 0 else ""

    def _successor(self) -> str:
        at = self._chain_position()
        return self.view.members[at + 1].addr if 0 <= at < len(self.view.members) - 1 else ""

    @property
    def ready(self) -> bool:
        """Whether followers can be served: everything loaded or copied here is known to be committed."""
        return self.has_snapshot and self.commit_index >= self._ready_index and self.commit_index >= 0

    # --- the view

    def on_view(self, view: View, incarnation: str, now: int) -> list[Action]:
        """A new view was agreed, or this replica starts with a stored one."""
        self._now = now
        self.view, self.incarnation, self.epoch_closed = view, incarnation, False
        self.caught_up_epoch = 0
        self._sent_until = self._required_index = None
        self._catching_up = False
        self._pending_replies.clear()  # the replicas submit their commands again
        self._orders.begin_view()
        self.staged.forget_undelivered()
        out: list[Action] = []
        if not self.has_snapshot:
            out += self._become_learner()
        if self._chain_position() == 0 and self.has_snapshot:
            self.caught_up_epoch = view.epoch
        out += self._send_position(now)
        out += self._commit_as_tail()
        out += self._request_copy(now)
        out += self._give_up(now)
        for command_id in list(self._commands.by_id):
            out += self._submit(command_id, now)
        return out

    def tick(self, now: int) -> list[Action]:
        """Periodic work: repeats reports and commands, and starts whatever is due."""
        self._now = now
        out: list[Action] = []
        if (
            self._chain_position() > 0
            and self.caught_up_epoch != self.view.epoch
            and now - self._position_sent_at >= POSITION_INTERVAL_US
        ):
            out += self._send_position(now)
        out += self._give_up(now)
        for command_id in self._commands.due(now):
            out += self._submit(command_id, now)
        out += self._append_delivered(now)
        self.key_ages.record(now, self.state.index)
        if now - self._last_prune_at > (
            PRUNE_CONTINUE_INTERVAL_US if self.key_ages.scanning else PRUNE_INTERVAL_US
        ):
            self._last_prune_at = now
            out += self._prune(now)
        return out + self._request_copy(now) + list(self.replica_log.flush_if_due(now))

    def on_reconnected(self, addr: str, now: int) -> list[Action]:
        """A connection with that member is new: messages on the one before may be lost."""
        out: list[Action] = []
        if addr == self._successor():
            self._sent_until = None
        if addr == self._predecessor():
            out += self._send_position(now)
        if addr == self.learner.source:
            self.learner.open_request = 0
            out += self._request_copy(now)
        return out

    def _send_position(self, now: int) -> list[Action]:
        predecessor = self._predecessor()
        self._position_sent_at = now
        if not predecessor or not (self.has_snapshot or self.learner.complete):
            return []
        out: list[Action] = [Send(predecessor, EntriesRequest(self.view.epoch, self.stored_index))]
        if self.commit_index >= 0 and self.has_snapshot:  # unknown right after a start
            out.append(Send(predecessor, Ack(self.view.epoch, self.commit_index)))
        return out

    # --- commands

    def submit_command(
        self, command: Command, request_id: int, now: int, give_up_after: int = GIVE_UP_AFTER_US
    ) -> list[Action]:
        """Submits a command; answered once, by `Answer(request_id, result)`."""
        return self._submit(self._commands.add(command, request_id, now, give_up_after), now)

    def withdraw(self, request_id: int) -> None:
        """The caller no longer waits for the command: it is not submitted again."""
        self._commands.withdraw(request_id)

    def _give_up(self, now: int) -> list[Action]:
        return [self._commands.finish(command_id, None) for command_id in self._commands.expired(now)]

    def _submit(self, command_id: int, now: int) -> list[Action]:
        message = self._commands.submission(command_id, self.view.epoch, now)
        if self.head == self.me:
            return self._execute(self.me, message, now)
        return [Send(self.head, message)] if self.head else []

    def _on_result(self, message: Result) -> list[Action]:
        answer = self._commands.on_result(message)
        return [answer] if answer is not None else []

    def _accepts_commands(self) -> bool:
        is_ready_head = self._chain_position() == 0 and self.has_snapshot and not self.epoch_closed
        return is_ready_head and len(self.view.members) >= self.min_replicas

    def _execute(self, addr: str, message: Submit, now: int) -> list[Action]:
        """Decides a command as the head.  The result is sent once every entry it depends on is committed."""
        if not self._accepts_commands() or message.epoch != self.view.epoch:
            return []  # its replica submits it again once it knows the view
        if isinstance(message.what, Amend):
            return self._execute_order(addr, message.id, message.what, now)
        return self._append_and_reply(addr, message.id, decide(message.what, self.rows, self.items), now)

    def _execute_order(self, addr: str, id_: int, command: Amend, now: int) -> list[Action]:
        """Decides an order as the head; a large one is read in slices and delivered to followers first."""
        match self._orders.submit(command, addr, id_, self.rows, self.items, self._members(), now):
            case AppendNow(decision):
                return self._append_and_reply(addr, id_, decision, now)
            case AwaitDelivery(delivery, begins):
                out = self._begin_delivery(delivery) if begins else []
                return out + self._report_underway(addr, id_)
            case Examining():
                return [*self._report_underway(addr, id_), Continue()]
        return []

    def _members(self) -> list[str]:
        return [member.addr for member in self.view.members]

    def run_slice(self, now: int) -> list[Action]:
        """Does one slice of the long-running work: reading orders and preparing their rows."""
        self._now = now
        out: list[Action] = []
        if self._orders.examining:
            outcome = self._orders.examine(self._members(), now)
            if outcome is not None and self._accepts_commands():
                out += self._on_examined(outcome, now)
        elif self._preparations and next(self._preparations[0], self) is self:
            self._preparations.popleft()
        more = self._orders.examining or self._preparations
        return [*out, Continue()] if more else out

    def _on_examined(self, outcome: ExaminationOutcome, now: int) -> list[Action]:
        match outcome.outcome:
            case AppendNow(decision):
                return self._append_and_reply_all(decision, outcome.submissions, now)
            case AwaitDelivery(delivery, _):
                return self._begin_delivery(delivery)
        return []

    def _begin_delivery(self, delivery: Delivery) -> list[Action]:
        order = delivery.staged
        stage = StageChange(self.view.epoch, order.id, order.pieces)
        others = [addr for addr in self._members() if addr != self.me]
        return [*(Send(other, stage) for other in others), *self._deliver(order, delivery.change.routes)]

    def _report_underway(self, addr: str, id_: int) -> list[Action]:
        if addr == self.me:
            self._commands.on_underway(id_, self._now)
            return []
        return [Send(addr, CommandInProgress(id_))]

    def _deliver(self, order: StagedChange, read: Mapping[str, Route] = NO_ROUTES) -> list[Action]:
        """Offers an order to the followers and prepares its rows.  `read`: its routes, if already parsed."""
        self.staged.add(order)
        self._preparations.append(self.replica_log.prepared.prepare(order.id, order.rows(), read))
        return [Deliver(order), Continue()]

    def on_delivered(self, id_: str, now: int) -> list[Action]:
        """All connected followers of this member hold the order with this id."""
        self._now = now
        if self.head != self.me:
            return [Send(self.head, ChangeDelivered(self.view.epoch, id_))] if self.head else []
        self._orders.delivered(id_, self.me)
        return self._append_delivered(now)

    def _append_delivered(self, now: int) -> list[Action]:
        """Appends the orders whose delivery has ended; every submission of an order gets the same result."""
        out: list[Action] = []
        if self._chain_position() != 0 or not self.has_snapshot or self.epoch_closed:
            return out
        while (due := self._orders.take_due(self.rows, self.items, now)) is not None:
            submissions = due.delivery.submissions
            out += self._append_and_reply_all(due.decision, submissions, now, due.delivery.staged.id)
        return out

    def _append_decision(self, decision: Decision, now: int, staged: str = "") -> list[Action]:
        """`staged`: the id of the order that delivered the rows in advance."""
        entry = Entry(self.index + 1, decision.rows, staged if decision.rows else "")
        return self._store_entries((entry,), now)

    def _append_and_reply(self, addr: str, id_: int, decision: Decision, now: int) -> list[Action]:
        return self._append_and_reply_all(decision, [Submission(addr, id_)], now)

    def _append_and_reply_all(
        self, decision: Decision, submissions: Iterable[Submission], now: int, staged: str = ""
    ) -> list[Action]:
        """Appends the decision's rows and queues a reply for each submission.

        A decision without rows shares the last entry if that was not sent on yet: its commit comes later than
        now, which shows that this replica is still the head.  Guards against a flood of repeated commands,
        each of which would otherwise cost a log entry on the disks of all members.
        """
        out = self._append_decision(decision, now, staged) if decision.rows or self._all_stored() else []
        for one in submissions:
            self._pending_replies.append(PendingReply(self.index, one.addr, one.id, decision.result))
        return out

    def _all_stored(self) -> bool:
        """Whether every entry is on disk here, and so may have been sent to the successor."""
        return self.index <= self.stored_index

    def _reply(self, reply: PendingReply) -> list[Action]:
        result = reply.result if reply.result is not None else self.configuration()
        message = Result(reply.id, result)
        return self._on_result(message) if reply.addr == self.me else [Send(reply.addr, message)]

    def _append_rows(self, rows: list[Row], now: int) -> list[Action]:
        return self._store_entries((Entry(self.index + 1, tuple(rows)),), now)

    def _prune(self, now: int) -> list[Action]:
        """Deletes, as the head, expired keys that may no longer be repeated."""
        if (
            self._chain_position() != 0
            or not self.has_snapshot
            or self.epoch_closed
            or self.commit_index < self._prune_index
        ):
            return []
        rows, expired = self.rows, list[Row]()
        for key in self.key_ages.expired_keys(self.state.rows, now, PRUNE_BATCH_KEYS):
            held = rows.get((KEY_KIND, key))
            if held is not None and held[0] <= self.key_ages.cutoff:
                expired.append((KEY_KIND, key, None))
        if not expired:
            return []
        out = self._append_rows(expired, now)
        self._prune_index = self.index
        return out

    # --- the log

    def on_message(self, addr: str, message: Message, now: int) -> list[Action]:
        """Handles a message about the log, commands or copies."""
        self._now = now
        match message:
            case Submit():
                return self._execute(addr, message, now)
            case CommandInProgress():
                self._commands.on_underway(message.id, now)
            case StageChange():
                if message.epoch == self.view.epoch and addr == self.head:
                    return self._deliver(StagedChange(message.id, message.pieces))
            case ChangeDelivered():
                if message.epoch == self.view.epoch:
                    self._orders.delivered(message.id, addr)
                    return self._append_delivered(now)
            case Result():
                return self._on_result(message)
            case EntriesRequest():
                return self._on_position(addr, message)
            case Append():
                return self._on_append(addr, message, now)
            case SnapshotRequest():
                return self._on_copy_request(addr, message)
            case SnapshotPiece():
                return self._on_copy_piece(addr, message)
            case Ack():
                if message.epoch == self.view.epoch and addr == self._successor():
                    return self._commit(min(message.index, self.stored_index))
        return []

    def _on_position(self, addr: str, message: EntriesRequest) -> list[Action]:
        if (
            message.epoch != self.view.epoch
            or addr != self._successor()
            or not self.has_snapshot
            or self.epoch_closed
        ):
            return []
        if message.index > self.index:
            return []  # it can't be ahead: a message of another incarnation
        if not self.replica_log.has_entries_after(message.index):
            return []  # it needs a copy
        self._sent_until = message.index
        return self._send_new_entries(send_empty=True)

    def _send_new_entries(self, send_empty: bool = False) -> list[Action]:
        """Sends the successor the entries that are stored here and were not sent yet."""
        successor = self._successor()
        if not successor or self._sent_until is None or self.epoch_closed:
            return []
        start, until = self._sent_until, self.stored_index
        if start >= until and not send_empty:
            return []
        out: list[Action] = []
        for entries in self.replica_log.entries_after(start, until) or [()]:
            out.append(Send(successor, Append(self.view.epoch, start, entries, until)))
            start = entries[-1].index if entries else start
        self._sent_until = max(start, until)
        return out

    def _on_append(self, addr: str, message: Append, now: int) -> list[Action]:
        if (
            message.epoch != self.view.epoch
            or addr != self._predecessor()
            or self.epoch_closed
            or not (self.has_snapshot or self.learner.complete)
        ):
            return []
        if message.after > self.index:
            return self._send_position(now)
        entries = tuple(entry for entry in message.entries if entry.index > self.index)
        if not self.has_snapshot:
            return self._catch_up_new_member(entries, message.until)
        self.caught_up_epoch = self.view.epoch
        out = self._store_entries(entries, now)
        return out or self._commit_as_tail()

    def _catch_up_new_member(self, entries: tuple[Entry, ...], until: int) -> list[Action]:
        """Takes entries as a new member, which is complete once it holds all that its predecessor had stored
        when they connected."""
        self._catching_up, self.learner.open_request = True, 0
        if self._required_index is None:
            self._required_index = until
        for entry in entries:
            self.replica_log.append(entry)
        if self.index < self._required_index:
            return [self.replica_log.store(entries)] if entries else []
        member = self.view.member(self.me)
        assert member is not None
        self._catching_up, self.snapshot_epoch, self.caught_up_epoch = False, member.since, self.view.epoch
        self._ready_index = self.index
        self.replica_log.generation += 1  # nothing counts as stored before the store below
        self.stored_index = -1
        return [ResetFollowers(), self.replica_log.store(entries, lineage=member.since)]

    def _store_entries(self, entries: tuple[Entry, ...], now: int) -> list[Action]:
        if not entries:
            return []
        for entry in entries:
            self.replica_log.append(entry)
        return [self.replica_log.store(entries)]

    def on_stored(self, index: int, generation: int) -> list[Action]:
        """The disk holds everything up to this index of this generation."""
        if generation != self.generation:
            return []
        if self.learner.unstored_pieces:
            self.learner.unstored_pieces -= 1
            self.stored_index = index
            return self._request_copy(self._now) + self._send_position(self._now)
        if index <= self.stored_index:
            return []
        self.stored_index = index
        out = self._send_new_entries()
        return out + self._commit_as_tail()

    def _commit_as_tail(self) -> list[Action]:
        """Commits, as the tail, everything that it has stored."""
        at = self._chain_position()
        if (
            at < 0
            or at != len(self.view.members) - 1
            or not self.has_snapshot
            or self.caught_up_epoch != self.view.epoch
        ):
            return []
        return self._commit(self.stored_index)

    def _commit(self, index: int) -> list[Action]:
        out: list[Action] = []
        if len(self.view.members) < self.min_replicas or not self.has_snapshot:
            return out
        predecessor = self._predecessor()
        if predecessor:
            out.append(Send(predecessor, Ack(self.view.epoch, index)))
        if index <= self.commit_index:
            return out
        was_ready = self.ready
        self.commit_index = index
        changes = self.replica_log.commit(index)
        if self.ready and not was_ready:
            self.replica_log.recent_public.reset(index)
            out.append(ResetFollowers())
        elif self.ready and changes.rows:
            out.append(Publish(index, changes.rows, changes.staged))
        while self._pending_replies and self._pending_replies[0].index <= index:
            out += self._reply(self._pending_replies.popleft())
        return out

    # --- copies

    def _on_copy_request(self, addr: str, message: SnapshotRequest) -> list[Action]:
        """Answers in any view: what is sent is a prefix of the committed state."""
        if not self.has_snapshot or not self.replica_log.rows_committed:
            return []
        piece = next_piece(self.state.rows, self.replica_log.recent, self.state.index, message)
        return [Send(addr, piece)] if piece is not None else []

    def _become_learner(self) -> list[Action]:
        """Keeps only the committed rows, as a replica that is no member, or a new one."""
        if not self.snapshot_epoch and self.index == self.state.index:
            return []
        self.snapshot_epoch, self.stored_index = 0, -1
        return [ResetFollowers(), restart_from_committed(self.replica_log, self.learner)]

    def _request_copy(self, now: int) -> list[Action]:
        if self.has_snapshot or self._catching_up:
            return []
        request = self.learner.next_request(self._sources(), now)
        return [Send(self.learner.source, request)] if request is not None else []

    def _sources(self) -> list[str]:
        """The senders for a copy, the best first: the predecessor, else the members from the tail on, which
        has the least work."""
        predecessor = self._predecessor()
        if predecessor:
            return [predecessor]
        return [member.addr for member in reversed(self.view.members) if member.addr != self.me]

    def _on_copy_piece(self, addr: str, piece: SnapshotPiece) -> list[Action]:
        if self.has_snapshot or self._catching_up or not self.learner.accepts(addr, piece):
            return []
        store = apply_piece(self.replica_log, self.learner, piece)
        self.commit_index = self._ready_index = self.index
        return [*([store] if store is not None else []), *self._request_copy(self._now)]

    # --- data for followers

    @property
    def public_index(self) -> int:
        """The log index of the last committed row that followers may receive."""
        return self.state.public_index

    @property
    def published(self) -> Mapping[ItemName, tuple[int, Any]]:
        """The committed rows that followers may receive, each with its log index."""
        return self.state.published

    def configuration(self) -> Configuration:
        """The configuration, rebuilt only when a public row has changed."""
        state = (self.generation, self.public_index)
        if self._configuration is None or self._configuration_of != state:
            items = ((name, item_of(row[1])) for name, row in self.published.items() if name[0] in ITEM_KINDS)
            self._configuration, self._configuration_of = Configuration(config_document(items)), state
        return self._configuration

    def changes_since(self, index: int) -> PublicChanges | None:
        """The public changes after this index; None if the follower needs a copy."""
        if index > self.commit_index:
            return PublicChanges(index, ())  # it is ahead of this member: nothing to send yet
        entries = self.replica_log.recent_public.all_between(index, self.commit_index)
        return public_changes(self.commit_index, entries) if entries is not None else None

    def public_copy_piece(self, request: SnapshotRequest) -> SnapshotPiece | None:
        """The next piece of a follower's copy."""
        return next_piece(self.state.public, self.replica_log.recent_public, self.commit_index, request)
