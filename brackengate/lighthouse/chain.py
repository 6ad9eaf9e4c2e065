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
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from brackengate.lighthouse.actions import Action, Publish, Restart, Store, Tell
from brackengate.lighthouse.ages import KeyAges
from brackengate.lighthouse.commands import PendingCommands, PendingReply, decide
from brackengate.lighthouse.recent import RecentEntries
from brackengate.lighthouse.rows import KEY, LatestRows, State, state_of
from brackengate.lighthouse.transfer import COMPLETE, Differs, Learner, check, next_piece, taken
from brackengate.lighthouse.view import LogStatus
from brackengate.signals.items import Item, Name, layout
from brackengate.signals.words import (
    ITEMS,
    PUBLIC,
    Ack,
    Append,
    Command,
    Configuration,
    CopyPiece,
    CopyPosition,
    CopyRequest,
    Entry,
    Line,
    Position,
    Result,
    Row,
    Submit,
    View,
)

HAVE = 200_000  # a member that has not met the one before it says again what it has
RECENT, RECENT_BYTES = 20_000, 4 << 20  # committed entries kept for learners
RECENT_PUBLIC, RECENT_PUBLIC_BYTES = 2_000, 2 << 20  # and of these, what followers may have
APPEND_ENTRIES, APPEND_BYTES = 500, 64 << 10  # in one message
FOLD, FOLD_MOST = 1_000_000, 2_000  # committed rows wait for the next store, so long and so many
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
        self.generation = 0  # of what is held: another one begins where some of it is dropped
        self.index = self.stored_index = index  # in memory, and on disk
        self.commit_index = -1  # on all disks of a view; -1: not known since the start
        self.caught_up_epoch = 0
        self.snapshot_epoch = snapshot_epoch
        self.state = State()
        self.learner = Learner()
        self.ages = KeyAges(window)
        self.items: dict[Name, Item] = {}  # the operator's, as in `rows`
        self._firm = True  # whether all rows of `state` are known to be committed
        self._firm_from = 0  # they are from this index on
        self._loaded = index
        self._fed = False  # a new member that is passed entries, and does not hold all that it owes yet
        self._owed: int | None = None  # the index from which on it does
        self._next_from: int | None = None  # the index up to which the next one was sent; None: it has to say
        self._uncommitted: deque[Entry] = deque()
        self._overlay: dict[Name, tuple[int, Any]] = {}  # the rows of these
        self._folded: list[tuple[int, Row]] = []  # committed since the last store
        self._folded_at = 0
        self._recent = RecentEntries(RECENT, RECENT_BYTES, index)
        self._recent_public = RecentEntries(RECENT_PUBLIC, RECENT_PUBLIC_BYTES, index)
        self._now = now  # of the last event
        self._said_have = self._pruned = 0
        self._pruned_to = 0  # the last entry that frees old keys
        self._commands = PendingCommands(now)
        self._pending_replies: deque[PendingReply] = deque()

    def load(
        self,
        rows: Iterable[tuple[str, str, int, Any]],
        entries: Iterable[Entry],
        base: int | None,
        bucket: int,
        now: int,
    ) -> None:
        """What is on disk at the start: committed rows, and entries of which some may not have been."""
        entries = tuple(entries)
        self._firm = base is not None or self.index == 0
        if base is None:
            base = entries[0].index - 1 if entries else self.index
        self.state = state_of(base, rows)
        self._firm_from = base
        if self.snapshot_epoch and self._firm:
            bucket = COMPLETE
        self.learner.position = CopyPosition(bucket, self.state.index)
        self._take_items((name, value) for name, (_, value) in self.state.published.items())
        for entry in entries:
            self._take_entry(entry)
        self._recent.begin(self.state.index)
        self._recent_public.begin(self.state.index)
        self.ages.mark(now, self.index)

    # --- where it stands

    def log(self) -> LogStatus:
        copied = -1 if self._chain_position() >= 0 or not self.learner.complete else self.state.index
        committed = max(self.commit_index, self.state.index if self._firm else -1)
        return LogStatus(self.stored_index, self.has_snapshot, self.caught_up_epoch, committed, copied)

    @property
    def rows(self) -> LatestRows:
        """All rows with what is not committed yet."""
        return LatestRows(self.state, self._overlay)

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
        out: list[Action] = []
        if not self.has_snapshot:
            out += self._drop_entries()
        if self._chain_position() == 0 and self.has_snapshot:
            self.caught_up_epoch = view.epoch
        out += self._say_have(now)
        out += self._tail()
        out += self._learn(now)
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
        for command_id in self._commands.expired(now):
            out.append(self._commands.settle(command_id, None))
        for command_id in self._commands.due(now):
            out += self._submit(command_id, now)
        self.ages.mark(now, self.state.index)
        if now - self._pruned > (PRUNE_ON if self.ages.looking else PRUNE):
            self._pruned = now
            out += self._prune(now)
        return out + self._learn(now) + self._fold(now)

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
        out: list[Action] = [Tell(before, Position(self.view.epoch, self.stored_index))]
        if (
            self.commit_index >= 0 and self.has_snapshot
        ):  # whoever has just started knows of nothing that is agreed
            out.append(Tell(before, Ack(self.view.epoch, self.commit_index)))
        return out

    # --- commands

    def ask(self, what: Command, local: int, now: int) -> list[Action]:
        """Answered once, by `Answer(local, result)`."""
        return self._submit(self._commands.add(what, local, now), now)

    def withdraw(self, local: int) -> None:
        """Whoever asked has gone."""
        self._commands.withdraw(local)

    def _submit(self, command_id: int, now: int) -> list[Action]:
        word = self._commands.submission(command_id, self.view.epoch, now)
        if self.head == self.me:
            return self._execute(self.me, word, now)
        return [Tell(self.head, word)] if self.head else []

    def _resolved(self, word: Result) -> list[Action]:
        answer = self._commands.resolved(word)
        return [answer] if answer is not None else []

    def _execute(self, addr: str, word: Submit, now: int) -> list[Action]:
        """At the head: its result is told once all that it was decided by is agreed."""
        fit = self._chain_position() == 0 and self.has_snapshot and not self.epoch_closed
        if not fit or len(self.view.members) < self.min_replicas or word.epoch != self.view.epoch:
            return []  # submitted again once its replica knows the view
        decision = decide(word.what, self.rows, self.items)
        out = self._append(list(decision.rows), now)
        self._pending_replies.append(PendingReply(self.index, addr, word.id, decision.result))
        return out

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

    def heard(self, addr: str, word: Line, now: int) -> list[Action]:
        self._now = now
        match word:
            case Submit():
                return self._execute(addr, word, now)
            case Result():
                return self._resolved(word)
            case Position():
                return self._on_have(addr, word)
            case Append():
                return self._on_forward(addr, word, now)
            case CopyRequest():
                return self._on_copy_request(addr, word)
            case CopyPiece():
                return self._on_copy_piece(addr, word, now)
            case Ack():
                if word.epoch == self.view.epoch and addr == self._after():
                    return self._commit(min(word.index, self.stored_index))
        return []

    def _on_have(self, addr: str, word: Position) -> list[Action]:
        if (
            word.epoch != self.view.epoch
            or addr != self._after()
            or not self.has_snapshot
            or self.epoch_closed
        ):
            return []
        if word.index > self.index:
            return []  # it can't have more: a line from another life
        if word.index < self.state.index and not self._recent.reaches(word.index):
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
        while start < self.state.index:
            entries, _ = self._recent.after(start, APPEND_ENTRIES, APPEND_BYTES)
            out.append(Tell(after, Append(self.view.epoch, start, entries, until)))
            start = entries[-1].index
        rest = [entry for entry in self._uncommitted if start < entry.index <= until]
        while rest or not out:
            entries, rest = tuple(rest[:APPEND_ENTRIES]), rest[APPEND_ENTRIES:]
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
            self._take_entry(entry)
        if self.index < self._owed:
            return [self._log_store(entries)] if entries else []
        member = self.view.member(self.me)
        assert member is not None
        self._fed, self.snapshot_epoch, self.caught_up_epoch = False, member.since, self.view.epoch
        self._loaded = self.index
        self.generation += 1  # nothing counts as stored until this one is
        self.stored_index = -1
        return [Restart(), self._log_store(entries, lineage=member.since)]

    def _take(self, entries: tuple[Entry, ...], now: int) -> list[Action]:
        if not entries:
            return []
        for entry in entries:
            self._take_entry(entry)
        return [self._log_store(entries)]

    def _take_entry(self, entry: Entry) -> None:
        self.index = entry.index
        self._uncommitted.append(entry)
        for kind, name, value in entry.rows:
            self._overlay[kind, name] = (entry.index, value)
        self._take_items(((kind, name), value) for kind, name, value in entry.rows)

    def _take_items(self, rows: Iterable[tuple[Name, Any]]) -> None:
        for (kind, name), value in rows:
            if kind in ITEMS:
                self.items[kind, name] = msgspec.convert(value, Item)

    def _log_store(self, entries: tuple[Entry, ...], **meta: Any) -> Store:
        """The next store of the log, with the rows that were committed since the last one."""
        store = self._fold_store(**meta)
        store.meta["place"], store.entries = self.index, list(entries)
        store.index, store.generation = self.index, self.generation
        return store

    def _fold_store(self, **meta: Any) -> Store:
        rows, self._folded = self._folded, []
        base = self.state.index if self._firm else None
        return Store({"base": base, **meta}, rows, committed=self.state.index)

    def _fold(self, now: int) -> list[Action]:
        """Committed rows that wait for a store for too long get one of their own."""
        if not self._folded:
            self._folded_at = now
        elif now - self._folded_at >= FOLD or len(self._folded) >= FOLD_MOST:
            self._folded_at = now
            return [self._fold_store()]
        return []

    def stored(self, index: int, generation: int) -> list[Action]:
        """The disk holds everything up to there, of that generation."""
        if generation != self.generation:
            return []
        if self.learner.storing:
            self.learner.storing = False
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
        self._firm = self._firm or index >= self._firm_from
        rows: list[Row] = []
        while self._uncommitted and self._uncommitted[0].index <= index:
            rows += self._commit_entry(self._uncommitted.popleft())
        if self.ready and not was_ready:
            self._recent_public.begin(index)
            out.append(Restart())
        elif self.ready and rows:
            out.append(Publish(index, tuple(rows)))
        while self._pending_replies and self._pending_replies[0].index <= index:
            out += self._reply(self._pending_replies.popleft())
        return out

    def _commit_entry(self, entry: Entry) -> list[Row]:
        """Its rows are committed; those that followers may have."""
        for row in entry.rows:
            self.state.set(entry.index, row)
            self._folded.append((entry.index, row))
            if self._overlay.get((row[0], row[1]), (0,))[0] == entry.index:
                del self._overlay[row[0], row[1]]
        self.state.index = entry.index
        self._recent.add(entry)
        public = [row for row in entry.rows if row[0] in PUBLIC]
        if public:
            self._recent_public.add(Entry(entry.index, tuple(public)))
        return public

    # --- copies

    def _on_copy_request(self, addr: str, word: CopyRequest) -> list[Action]:
        """Whatever has become of the view: what is sent is a prefix of what is committed."""
        if not self.has_snapshot or not self._firm:
            return []
        piece = next_piece(self.state.rows, self._recent, self.state.index, word)
        return [Tell(addr, piece)] if piece is not None else []

    def _drop_entries(self) -> list[Action]:
        """No member, or a new one: it goes on from the committed rows."""
        if not self.snapshot_epoch and self.index == self.state.index:
            return []
        self._uncommitted.clear()
        self._overlay.clear()
        self.items.clear()
        self._take_items((name, value) for name, (_, value) in self.state.published.items())
        self.generation += 1
        self.snapshot_epoch = 0
        self.index = self.state.index
        self.stored_index = -1
        self.learner.begin_anew()
        if self._firm:
            self.learner.position = CopyPosition(COMPLETE, self.index)
        self.learner.storing = True
        store = self._log_store((), lineage=0, copy=self.learner.position.bucket)
        store.cut = True
        return [Restart(), store]

    def _sources(self) -> list[str]:
        """Who can send a copy, the best first: the one before it, else the tail: it has least to do."""
        before = self._before()
        if before:
            return [before]
        return [member.addr for member in reversed(self.view.members) if member.addr != self.me]

    def _learn(self, now: int) -> list[Action]:
        if self.has_snapshot or self._fed:
            return []
        request = self.learner.next_request(self._sources(), now)
        return [Tell(self.learner.source, request)] if request is not None else []

    def _on_copy_piece(self, addr: str, piece: CopyPiece, now: int) -> list[Action]:
        if self.has_snapshot or self._fed or not self.learner.answered(addr, piece):
            return []
        learner, before = self.learner, self.learner.position
        changes = taken(before, piece)
        if piece.anew:
            self._forget(piece.position.index)
        for index, row in changes:
            self.state.set(index, row)
            self._take_items([((row[0], row[1]), row[2])])
        for entry in piece.entries:
            self._recent.add(entry)
        learner.position = piece.position
        self.state.index = self.index = self.commit_index = self._loaded = piece.position.index
        try:
            check(self.state.rows, piece)
        except Differs:
            return self._copy_again()
        if learner.position == before and not changes:
            return []
        return [self._copy_store(changes, piece.anew)]

    def _copy_store(self, changes: list[tuple[int, Row]], forget: bool) -> Store:
        self.learner.storing = True
        meta = {"place": self.index, "base": self.index, "lineage": 0, "copy": self.learner.position.bucket}
        return Store(meta, changes, forget=forget, index=self.index, generation=self.generation)

    def _copy_again(self) -> list[Action]:
        self._forget(0)
        self.learner.begin_anew()
        return [self._copy_store([], forget=True)]

    def _forget(self, index: int) -> None:
        """A copy begins: what was held before counts for nothing."""
        self.state.clear()
        self.items.clear()
        self.generation += 1
        self._firm = True
        self.index = self.stored_index = self.commit_index = self._loaded = 0
        self._recent.begin(index)

    # --- what followers get

    @property
    def published(self) -> Mapping[Name, tuple[int, Any]]:
        """All that is agreed of what followers may have, with the place of each."""
        return self.state.published

    def configuration(self) -> Configuration:
        held = (
            (name, msgspec.convert(row[1], Item)) for name, row in self.published.items() if name[0] in ITEMS
        )
        return Configuration(layout(held))

    def changes_since(self, index: int) -> tuple[int, tuple[Row, ...]] | None:
        """The index that they lead to, and the rows; None where a follower has to take a copy."""
        if index > self.commit_index:
            return index, ()  # it has seen more than this member: nothing until there is news for it
        if not self._recent_public.reaches(index):
            return None
        entries, _ = self._recent_public.after(index, RECENT_PUBLIC, RECENT_PUBLIC_BYTES)
        return self.commit_index, tuple(row for entry in entries for row in entry.rows)

    def public_piece(self, request: CopyRequest) -> CopyPiece | None:
        """Of a follower's copy."""
        return next_piece(self.state.public, self._recent_public, self.commit_index, request)
