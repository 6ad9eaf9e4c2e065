"""The log of changes as a chain: entered at the head, stored by each in turn, answered from the tail.  Pure.

A member stores an entry before it passes it on, so each one's log is a prefix of the log of the one before
it. What the tail has stored is on every disk of the view: it is committed, and word of that goes back up the
chain. Only what is committed is published, so nothing published is ever taken back.

The log is kept as the committed rows and the entries after them, in memory and on disk alike.  Entries are
passed on as they were made, so that what they free is free everywhere.  A replica without a place in the view
drops the entries and keeps the rows, which are a prefix of what is committed whatever comes; it goes on from
there as a learner (`transfer`), and a new member takes its duties when it holds all that the one before it
had stored.

What commands wait, and what the head decides of them, is in `commands.py`.  Times are microseconds of a
steady clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from brackengate.control.actions import Action, Continue, Deliver, Publish, Restart, Tell
from brackengate.control.ages import KeyAges
from brackengate.control.change_coordinator import (
    AppendNow,
    AwaitDelivery,
    ChangeCoordinator,
    ExaminationOutcome,
    Examining,
)
from brackengate.control.commands import (
    GIVE_UP_AFTER,
    Decision,
    PendingCommands,
    PendingReply,
    decide,
)
from brackengate.control.item_index import ItemIndex
from brackengate.control.learning import Learner, keep_committed, take_piece
from brackengate.control.log import PublicChanges, ReplicaLog, public_changes
from brackengate.control.prepared_rows import NO_ROUTES, item_of
from brackengate.control.rows import KEY, LatestRows, State
from brackengate.control.staging import Delivery, StagedChange, StagedChanges, Submission
from brackengate.control.transfer import COMPLETE, next_piece
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

HAVE = 200_000  # a member that has not met the one before it says again what it has
PRUNE_AT_ONCE = 500
PRUNE, PRUNE_ON = 1_000_000, 100_000  # between two looks for old keys, and while there are more


class Chain:
    def __init__(
        self, me: str, min_replicas: int, window: int, index: int, snapshot_epoch: int, now: int
    ) -> None:
        """`min_replicas`: disks that hold a write before its ack.  `window`: how long a key is kept.
        `index`, `snapshot_epoch`: as stored; the epoch is that of the membership the rows were taken for."""
        self.me, self.min_replicas = me, min_replicas
        self.view = View(0, ())
        self.incarnation = ""
        self.epoch_closed = False
        self.held = ReplicaLog(index)
        self.stored_index = index
        self.commit_index = -1  # on all disks of a view; -1: not known since the start
        self.caught_up_epoch = 0
        self.snapshot_epoch = snapshot_epoch
        self.learner = Learner()
        self.ages = KeyAges(window)
        self._loaded = index
        self._fed = False  # a new member that is passed entries, and does not hold all that it owes yet
        self._owed: int | None = None  # the index from which on it does
        self._next_from: int | None = None  # the index up to which the next one was sent; None: it has to say
        self._now = now  # of the last event
        self._said_have = self._pruned = 0
        self._pruned_to = 0  # the last entry that frees old keys
        self._commands = PendingCommands(now)
        self.staged = StagedChanges()
        self._orders = ChangeCoordinator()
        self._preparations: deque[Iterator[None]] = deque()  # of rows that are about to be entered
        self._pending_replies: deque[PendingReply] = deque()
        self._configuration: Configuration | None = None  # as it was read last
        self._configuration_of = (0, -1)  # the generation and the public index that this was made of

    def load(
        self,
        rows: Iterable[tuple[str, str, int, Any]],
        entries: Iterable[Entry],
        base: int | None,
        bucket: int,
        now: int,
    ) -> None:
        """What is on disk at the start: committed rows, and entries of which some may not have been."""
        self.held.load(rows, entries, base)
        if self.snapshot_epoch and self.held.firm:
            bucket = COMPLETE
        self.learner.position = SnapshotPosition(bucket, self.state.index)
        self.ages.mark(now, self.index)

    # --- where it stands

    def log(self) -> LogStatus:
        copied = -1 if self._chain_position() >= 0 or not self.learner.complete else self.state.index
        committed = max(self.commit_index, self.state.index if self.held.firm else -1)
        return LogStatus(self.stored_index, self.has_snapshot, self.caught_up_epoch, committed, copied)

    @property
    def index(self) -> int:
        """Of the last entry that is held."""
        return self.held.index

    @property
    def generation(self) -> int:
        return self.held.generation

    @property
    def state(self) -> State:
        """What is committed."""
        return self.held.state

    @property
    def rows(self) -> LatestRows:
        return self.held.rows

    @property
    def items(self) -> ItemIndex:
        """The operator's, as in `rows`."""
        return self.held.items

    def deliver_within(self, time: int) -> None:
        """How long a large order waits for followers at the most, beside the time for its rows."""
        self._orders.deliver_within = time

    @property
    def has_snapshot(self) -> bool:
        member = self.view.member(self.me)
        return (
            member is not None
            and member.incarnation == self.incarnation
            and member.since == self.snapshot_epoch
        )

    def _chain_position(self) -> int:
        return next(
            (
                n
                for n, s in enumerate(self.view.members)
                if s.addr == self.me and s.incarnation == self.incarnation
            ),
            -1,
        )

    @property
    def head(self) -> str:
        return self.view.members[0].addr if self.view.members else ""

    def _before(self) -> str:
        at = self._chain_position()
        return self.view.members[at - 1].addr if at > 0 else ""

    def _after(self) -> str:
        at = self._chain_position()
        return self.view.members[at + 1].addr if 0 <= at < len(self.view.members) - 1 else ""

    @property
    def ready(self) -> bool:
        """Whether followers can be served: all that is held here has been agreed at some time."""
        return self.has_snapshot and self.commit_index >= self._loaded and self.commit_index >= 0

    # --- the view

    def viewed(self, view: View, incarnation: str, now: int) -> list[Action]:
        """A view was agreed."""
        self._now = now
        self.view, self.incarnation, self.epoch_closed = view, incarnation, False
        self.caught_up_epoch = 0
        self._next_from = self._owed = None
        self._fed = False
        self._pending_replies.clear()  # whoever asked asks again
        self._orders.begin_view()
        self.staged.forget_open()
        out: list[Action] = []
        if not self.has_snapshot:
            out += self._drop_entries()
        if self._chain_position() == 0 and self.has_snapshot:
            self.caught_up_epoch = view.epoch
        out += self._say_have(now)
        out += self._tail()
        out += self._learn(now)
        out += self._give_up(now)
        for command_id in list(self._commands.by_id):
            out += self._submit(command_id, now)
        return out

    def tick(self, now: int) -> list[Action]:
        self._now = now
        out: list[Action] = []
        if (
            self._chain_position() > 0
            and self.caught_up_epoch != self.view.epoch
            and now - self._said_have >= HAVE
        ):
            out += self._say_have(now)
        out += self._give_up(now)
        for command_id in self._commands.due(now):
            out += self._submit(command_id, now)
        out += self._enter_delivered(now)
        self.ages.mark(now, self.state.index)
        if now - self._pruned > (PRUNE_ON if self.ages.looking else PRUNE):
            self._pruned = now
            out += self._prune(now)
        return out + self._learn(now) + list(self.held.fold_if_due(now))

    def reconnected(self, addr: str, now: int) -> list[Action]:
        """A connection to that member is new: what was said on the one before may be lost."""
        out: list[Action] = []
        if addr == self._after():
            self._next_from = None
        if addr == self._before():
            out += self._say_have(now)
        if addr == self.learner.source:
            self.learner.request = 0
            out += self._learn(now)
        return out

    def _say_have(self, now: int) -> list[Action]:
        before = self._before()
        self._said_have = now
        if not before or not (self.has_snapshot or self.learner.complete):
            return []
        out: list[Action] = [Tell(before, EntriesRequest(self.view.epoch, self.stored_index))]
        if (
            self.commit_index >= 0 and self.has_snapshot
        ):  # whoever has just started knows of nothing that is agreed
            out.append(Tell(before, Ack(self.view.epoch, self.commit_index)))
        return out

    # --- commands

    def ask(self, what: Command, local: int, now: int, give_up_after: int = GIVE_UP_AFTER) -> list[Action]:
        """Answered once, by `Answer(local, result)`."""
        return self._submit(self._commands.add(what, local, now, give_up_after), now)

    def withdraw(self, local: int) -> None:
        """Whoever asked has gone."""
        self._commands.withdraw(local)

    def _give_up(self, now: int) -> list[Action]:
        return [self._commands.settle(command_id, None) for command_id in self._commands.expired(now)]

    def _submit(self, command_id: int, now: int) -> list[Action]:
        word = self._commands.submission(command_id, self.view.epoch, now)
        if self.head == self.me:
            return self._execute(self.me, word, now)
        return [Tell(self.head, word)] if self.head else []

    def _resolved(self, word: Result) -> list[Action]:
        answer = self._commands.resolved(word)
        return [answer] if answer is not None else []

    def _takes_commands(self) -> bool:
        fit = self._chain_position() == 0 and self.has_snapshot and not self.epoch_closed
        return fit and len(self.view.members) >= self.min_replicas

    def _execute(self, addr: str, word: Submit, now: int) -> list[Action]:
        """At the head: its result is told once all that it was decided by is agreed."""
        if not self._takes_commands() or word.epoch != self.view.epoch:
            return []  # submitted again once its replica knows the view
        if isinstance(word.what, Amend):
            return self._execute_order(addr, word.id, word.what, now)
        return self._enter_and_reply(addr, word.id, decide(word.what, self.rows, self.items), now)

    def _execute_order(self, addr: str, id_: int, what: Amend, now: int) -> list[Action]:
        """A large one is read in slices and delivered first."""
        match self._orders.submitted(what, addr, id_, self.rows, self.items, self._members(), now):
            case AppendNow(decision):
                return self._enter_and_reply(addr, id_, decision, now)
            case AwaitDelivery(delivery, begins):
                out = self._begin_delivery(delivery) if begins else []
                return out + self._say_underway(addr, id_)
            case Examining():
                return [*self._say_underway(addr, id_), Continue()]
        return []

    def _members(self) -> list[str]:
        return [member.addr for member in self.view.members]

    def proceed(self, now: int) -> list[Action]:
        """One slice of the work that is done beside everything else."""
        self._now = now
        out: list[Action] = []
        if self._orders.examining:
            outcome = self._orders.examine(self._members(), now)
            if outcome is not None and self._takes_commands():
                out += self._examined(outcome, now)
        elif self._preparations and next(self._preparations[0], self) is self:
            self._preparations.popleft()
        more = self._orders.examining or self._preparations
        return [*out, Continue()] if more else out

    def _examined(self, outcome: ExaminationOutcome, now: int) -> list[Action]:
        match outcome.taken:
            case AppendNow(decision):
                return self._enter_and_reply_all(decision, outcome.submissions, now)
            case AwaitDelivery(delivery, _):
                return self._begin_delivery(delivery)
        return []

    def _begin_delivery(self, delivery: Delivery) -> list[Action]:
        order = delivery.order
        stage = StageChange(self.view.epoch, order.id, order.pieces)
        others = [addr for addr in self._members() if addr != self.me]
        return [*(Tell(other, stage) for other in others), *self._deliver(order, delivery.read.routes)]

    def _say_underway(self, addr: str, id_: int) -> list[Action]:
        if addr == self.me:
            self._commands.underway(id_, self._now)
            return []
        return [Tell(addr, CommandInProgress(id_))]

    def _deliver(self, order: StagedChange, read: Mapping[str, Route] = NO_ROUTES) -> list[Action]:
        """`read`: its routes, where they were read here."""
        self.staged.add(order)
        self._preparations.append(self.held.prepared.prepare(order.id, order.rows(), read))
        return [Deliver(order), Continue()]

    def delivered(self, id_: str, now: int) -> list[Action]:
        """All followers of this member that are in touch hold that order."""
        self._now = now
        if self.head != self.me:
            return [Tell(self.head, ChangeDelivered(self.view.epoch, id_))] if self.head else []
        self._orders.delivered(id_, self.me)
        return self._enter_delivered(now)

    def _enter_delivered(self, now: int) -> list[Action]:
        """All who wait for an order get its one result."""
        out: list[Action] = []
        if self._chain_position() != 0 or not self.has_snapshot or self.epoch_closed:
            return out
        while (due := self._orders.take_due(self.rows, self.items, now)) is not None:
            submissions = due.delivery.submissions
            out += self._enter_and_reply_all(due.decision, submissions, now, due.delivery.order.id)
        return out

    def _enter(self, decision: Decision, now: int, staged: str = "") -> list[Action]:
        """`staged`: the order by which its rows were delivered."""
        entry = Entry(self.index + 1, decision.rows, staged if decision.rows else "")
        return self._take((entry,), now)

    def _enter_and_reply(self, addr: str, id_: int, decision: Decision, now: int) -> list[Action]:
        return self._enter_and_reply_all(decision, [Submission(addr, id_)], now)

    def _enter_and_reply_all(
        self, decision: Decision, submissions: Iterable[Submission], now: int, staged: str = ""
    ) -> list[Action]:
        """Where nothing is set, the last entry serves if it was not passed on yet: it will be agreed later
        than now, which shows that this is the head still.  Guards against a flood of commands that are sent
        again, each of which would cost all members a place on their disks."""
        out = self._enter(decision, now, staged) if decision.rows or self._all_stored() else []
        for one in submissions:
            self._pending_replies.append(PendingReply(self.index, one.addr, one.id, decision.result))
        return out

    def _all_stored(self) -> bool:
        """Whether every entry is on the disk here, and so may have been passed on."""
        return self.index <= self.stored_index

    def _reply(self, reply: PendingReply) -> list[Action]:
        result = reply.result if reply.result is not None else self.configuration()
        word = Result(reply.id, result)
        return self._resolved(word) if reply.addr == self.me else [Tell(reply.addr, word)]

    def _append(self, rows: list[Row], now: int) -> list[Action]:
        return self._take((Entry(self.index + 1, tuple(rows)),), now)

    def _prune(self, now: int) -> list[Action]:
        """A duty of the head: keys that nobody may repeat any more."""
        if (
            self._chain_position() != 0
            or not self.has_snapshot
            or self.epoch_closed
            or self.commit_index < self._pruned_to
        ):
            return []
        rows, old = self.rows, list[Row]()
        for key in self.ages.too_old(self.state.rows, now, PRUNE_AT_ONCE):
            held = rows.get((KEY, key))
            if held is not None and held[0] <= self.ages.cutoff:
                old.append((KEY, key, None))
        if not old:
            return []
        out = self._append(old, now)
        self._pruned_to = self.index
        return out

    # --- the log

    def heard(self, addr: str, word: Message, now: int) -> list[Action]:
        self._now = now
        match word:
            case Submit():
                return self._execute(addr, word, now)
            case CommandInProgress():
                self._commands.underway(word.id, now)
            case StageChange():
                if word.epoch == self.view.epoch and addr == self.head:
                    return self._deliver(StagedChange(word.id, word.pieces))
            case ChangeDelivered():
                if word.epoch == self.view.epoch:
                    self._orders.delivered(word.id, addr)
                    return self._enter_delivered(now)
            case Result():
                return self._resolved(word)
            case EntriesRequest():
                return self._on_have(addr, word)
            case Append():
                return self._on_forward(addr, word, now)
            case SnapshotRequest():
                return self._on_copy_request(addr, word)
            case SnapshotPiece():
                return self._on_copy_piece(addr, word)
            case Ack():
                if word.epoch == self.view.epoch and addr == self._after():
                    return self._commit(min(word.index, self.stored_index))
        return []

    def _on_have(self, addr: str, word: EntriesRequest) -> list[Action]:
        if (
            word.epoch != self.view.epoch
            or addr != self._after()
            or not self.has_snapshot
            or self.epoch_closed
        ):
            return []
        if word.index > self.index:
            return []  # it can't have more: a line from another life
        if not self.held.covers(word.index):
            return []  # it has to copy
        self._next_from = word.index
        return self._feed_next(even_none=True)

    def _feed_next(self, even_none: bool = False) -> list[Action]:
        """Pass on what is stored here and was not sent yet."""
        after = self._after()
        if not after or self._next_from is None or self.epoch_closed:
            return []
        start, until = self._next_from, self.stored_index
        if start >= until and not even_none:
            return []
        out: list[Action] = []
        for entries in self.held.after(start, until) or [()]:
            out.append(Tell(after, Append(self.view.epoch, start, entries, until)))
            start = entries[-1].index if entries else start
        self._next_from = max(start, until)
        return out

    def _on_forward(self, addr: str, word: Append, now: int) -> list[Action]:
        if (
            word.epoch != self.view.epoch
            or addr != self._before()
            or self.epoch_closed
            or not (self.has_snapshot or self.learner.complete)
        ):
            return []
        if word.after > self.index:
            return self._say_have(now)
        entries = tuple(entry for entry in word.entries if entry.index > self.index)
        if not self.has_snapshot:
            return self._feed_new_member(entries, word.until)
        self.caught_up_epoch = self.view.epoch
        out = self._take(entries, now)
        return out or self._tail()

    def _feed_new_member(self, entries: tuple[Entry, ...], until: int) -> list[Action]:
        """It holds all that it owes once it has what the one before it had stored when they met."""
        self._fed, self.learner.request = True, 0
        if self._owed is None:
            self._owed = until
        for entry in entries:
            self.held.take(entry)
        if self.index < self._owed:
            return [self.held.store(entries)] if entries else []
        member = self.view.member(self.me)
        assert member is not None
        self._fed, self.snapshot_epoch, self.caught_up_epoch = False, member.since, self.view.epoch
        self._loaded = self.index
        self.held.generation += 1  # nothing counts as stored until this one is
        self.stored_index = -1
        return [Restart(), self.held.store(entries, lineage=member.since)]

    def _take(self, entries: tuple[Entry, ...], now: int) -> list[Action]:
        if not entries:
            return []
        for entry in entries:
            self.held.take(entry)
        return [self.held.store(entries)]

    def stored(self, index: int, generation: int) -> list[Action]:
        """The disk holds everything up to there, of that generation."""
        if generation != self.generation:
            return []
        if self.learner.storing:
            self.learner.storing -= 1
            self.stored_index = index
            return self._learn(self._now) + self._say_have(self._now)
        if index <= self.stored_index:
            return []
        self.stored_index = index
        out = self._feed_next()
        return out + self._tail()

    def _tail(self) -> list[Action]:
        """The tail's word that what it has stored is agreed."""
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
        before = self._before()
        if before:
            out.append(Tell(before, Ack(self.view.epoch, index)))
        if index <= self.commit_index:
            return out
        was_ready = self.ready
        self.commit_index = index
        changes = self.held.commit(index)
        if self.ready and not was_ready:
            self.held.recent_public.begin(index)
            out.append(Restart())
        elif self.ready and changes.rows:
            out.append(Publish(index, changes.rows, changes.staged))
        while self._pending_replies and self._pending_replies[0].index <= index:
            out += self._reply(self._pending_replies.popleft())
        return out

    # --- copies

    def _on_copy_request(self, addr: str, word: SnapshotRequest) -> list[Action]:
        """Whatever has become of the view: what is sent is a prefix of what is committed."""
        if not self.has_snapshot or not self.held.firm:
            return []
        piece = next_piece(self.state.rows, self.held.recent, self.state.index, word)
        return [Tell(addr, piece)] if piece is not None else []

    def _drop_entries(self) -> list[Action]:
        """No member, or a new one: it goes on from the committed rows."""
        if not self.snapshot_epoch and self.index == self.state.index:
            return []
        self.snapshot_epoch, self.stored_index = 0, -1
        return [Restart(), keep_committed(self.held, self.learner)]

    def _learn(self, now: int) -> list[Action]:
        if self.has_snapshot or self._fed:
            return []
        request = self.learner.next_request(self._sources(), now)
        return [Tell(self.learner.source, request)] if request is not None else []

    def _sources(self) -> list[str]:
        """Who can send a copy, the best first: the one before it, else the tail: it has least to do."""
        before = self._before()
        if before:
            return [before]
        return [member.addr for member in reversed(self.view.members) if member.addr != self.me]

    def _on_copy_piece(self, addr: str, piece: SnapshotPiece) -> list[Action]:
        if self.has_snapshot or self._fed or not self.learner.answered(addr, piece):
            return []
        store = take_piece(self.held, self.learner, piece)
        self.commit_index = self._loaded = self.index
        return [*([store] if store is not None else []), *self._learn(self._now)]

    # --- what followers get

    @property
    def public_index(self) -> int:
        """Of the last committed row that followers may have."""
        return self.state.public_index

    @property
    def published(self) -> Mapping[ItemName, tuple[int, Any]]:
        """All that is agreed of what followers may have, with the place of each."""
        return self.state.published

    def configuration(self) -> Configuration:
        """Made once for all who read it until there is a newer public row."""
        state = (self.generation, self.public_index)
        if self._configuration is None or self._configuration_of != state:
            items = ((name, item_of(row[1])) for name, row in self.published.items() if name[0] in ITEM_KINDS)
            self._configuration, self._configuration_of = Configuration(config_document(items)), state
        return self._configuration

    def changes_since(self, index: int) -> PublicChanges | None:
        """None where a follower has to take a copy."""
        if index > self.commit_index:
            return PublicChanges(index, ())  # it has seen more than this member: nothing until there is news
        entries = self.held.recent_public.all_after(index)
        return public_changes(self.commit_index, entries) if entries is not None else None

    def public_piece(self, request: SnapshotRequest) -> SnapshotPiece | None:
        """Of a follower's copy."""
        return next_piece(self.state.public, self.held.recent_public, self.commit_index, request)
