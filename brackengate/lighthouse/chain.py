"""The log of changes as a chain: entered at the head, stored by each in turn, answered from the tail.  Pure.

A member stores an entry before it passes it on, so each one's log is a prefix of the log of the one before
it. What the tail has stored is on every disk of the view: it is agreed, and word of that goes back up the
chain. Only what is agreed is published, so nothing published is ever taken back.  The log is kept as the
latest value of each row with the log index of its entry: what follows an index is the rows with a higher one.

What commands wait, and what the head decides of them, is in `commands.py`.  Times are microseconds of a
steady clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any

import msgspec

from brackengate.lighthouse.actions import Action, Publish, Restart, Store, Tell
from brackengate.lighthouse.commands import KEY, PendingCommands, PendingReply, decide
from brackengate.lighthouse.view import LogStatus
from brackengate.signals.items import Item, Name, layout
from brackengate.signals.words import (
    ITEMS,
    PUBLIC,
    Ack,
    Append,
    ChainSnapshot,
    Command,
    Configuration,
    Entry,
    Line,
    Position,
    Result,
    Row,
    Submit,
    View,
)

HAVE = 200_000  # a member that has not met the one before it says again what it has
RECENT = 2_000  # entries kept for followers
PRUNE_AT_ONCE = 200
PRUNE = 1_000_000


class Chain:
    def __init__(
        self, me: str, min_replicas: int, window: int, index: int, snapshot_epoch: int, now: int
    ) -> None:
        """`min_replicas`: disks that hold a write before its ack.  `window`: how long a key is kept.
        `index`, `snapshot_epoch`: as stored; the epoch is that of the membership the rows were taken for."""
        self.me, self.min_replicas, self.window = me, min_replicas, window
        self.view = View(0, ())
        self.incarnation = ""
        self.epoch_closed = False
        self.generation = 0  # of the rows: a snapshot begins a new one
        self.index = self.stored_index = index  # in memory, and on disk
        self.commit_index = -1  # on all disks of a view; -1: not known since the start
        self.caught_up_epoch = 0
        self.snapshot_epoch = snapshot_epoch
        self.rows: dict[Name, tuple[int, Any]] = {}
        self.items: dict[Name, Item] = {}  # the operator's, as in `rows`
        self.born: dict[str, int] = {}  # keys, since when they are held here
        self._loaded = index
        self._next_from: int | None = None  # the index up to which the next one was sent; None: it has to say
        self._uncommitted: deque[Entry] = deque()
        self._recent: deque[tuple[int, tuple[Row, ...]]] = deque()
        self._recent_from = index  # entries after this index are in `_recent`
        self._published: dict[Name, tuple[int, Any]] = {}
        self._said_have = self._pruned = 0
        self._commands = PendingCommands(now)
        self._pending_replies: deque[PendingReply] = deque()

    def load(self, rows: list[tuple[str, str, int, Any]], now: int) -> None:
        """What is on disk at the start; some of it may not have been agreed."""
        for kind, name, index, value in rows:
            self._set(index, (kind, name, value), now)
            if kind in PUBLIC:
                self._published[kind, name] = (index, value)

    # --- where it stands

    def log(self) -> LogStatus:
        return LogStatus(self.stored_index, self.has_snapshot, self.caught_up_epoch)

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
        return self.commit_index >= self._loaded and self.commit_index >= 0

    # --- the view

    def viewed(self, view: View, incarnation: str, now: int) -> list[Action]:
        """A view was agreed."""
        self.view, self.incarnation, self.epoch_closed = view, incarnation, False
        self.caught_up_epoch = 0
        self._next_from = None
        self._pending_replies.clear()  # whoever asked asks again
        out: list[Action] = []
        if self._chain_position() == 0 and self.has_snapshot:
            self.caught_up_epoch = view.epoch
        out += self._say_have(now)
        out += self._tail()
        for command_id in list(self._commands.by_id):
            out += self._submit(command_id, now)
        return out

    def tick(self, now: int) -> list[Action]:
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
        if now - self._pruned > PRUNE:
            self._pruned = now
            out += self._prune(now)
        return out

    def reconnected(self, addr: str, now: int) -> list[Action]:
        """A connection to that member is new: what was said on the one before may be lost."""
        out: list[Action] = []
        if addr == self._after():
            self._next_from = None
        if addr == self._before():
            out += self._say_have(now)
        return out

    def _say_have(self, now: int) -> list[Action]:
        before = self._before()
        self._said_have = now
        if not before:
            return []
        out: list[Action] = [
            Tell(before, Position(self.view.epoch, self.stored_index if self.has_snapshot else -1))
        ]
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
        """A duty of the head: keys that nobody may repeat any more.  By age: the time of day jumps."""
        if (
            self._chain_position() != 0
            or not self.has_snapshot
            or self.epoch_closed
            or self.commit_index < self.index
        ):
            return []
        old: list[Row] = []
        for key, born in self.born.items():
            if now - born <= 2 * self.window or len(old) >= PRUNE_AT_ONCE:
                break
            old.append((KEY, key, None))
        return self._append(old, now) if old else []

    # --- the log

    def heard(self, addr: str, word: Line, now: int) -> list[Action]:
        match word:
            case Submit():
                return self._execute(addr, word, now)
            case Result():
                return self._resolved(word)
            case Position():
                return self._on_have(addr, word)
            case Append():
                return self._on_forward(addr, word, now)
            case ChainSnapshot():
                return self._on_whole(addr, word, now)
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
        if word.index < 0:
            rows = tuple((kind, name, index, value) for (kind, name), (index, value) in self.rows.items())
            if self.stored_index < self.index:
                return []  # what is not stored here must not be passed on; it asks again
            self._next_from = self.index
            return [Tell(addr, ChainSnapshot(word.epoch, self.index, rows))]
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
        entries = [entry for entry in self._uncommitted if start < entry.index <= until]
        if start < until and (not entries or entries[0].index > start + 1):
            rows = [(k, n, v) for (k, n), (index, v) in self.rows.items() if start < index]
            if until < self.index:
                return []  # rows of the last entries are not stored yet: wait for those
            entries = [Entry(until, tuple(rows))]
        self._next_from = max(start, until)
        return [Tell(after, Append(self.view.epoch, start, tuple(entries)))]

    def _on_forward(self, addr: str, word: Append, now: int) -> list[Action]:
        if (
            word.epoch != self.view.epoch
            or addr != self._before()
            or not self.has_snapshot
            or self.epoch_closed
        ):
            return []
        if word.after > self.index:
            return self._say_have(now)
        self.caught_up_epoch = self.view.epoch
        out = self._take(tuple(entry for entry in word.entries if entry.index > self.index), now)
        return out or self._tail()

    def _on_whole(self, addr: str, word: ChainSnapshot, now: int) -> list[Action]:
        member = self.view.member(self.me)
        if (
            word.epoch != self.view.epoch
            or addr != self._before()
            or self.epoch_closed
            or member is None
            or self.has_snapshot
        ):
            return []
        for held in (self.rows, self.items, self.born, self._uncommitted, self._recent, self._published):
            held.clear()
        self.generation += 1
        self.index, self.snapshot_epoch, self.caught_up_epoch = word.index, member.since, self.view.epoch
        self.stored_index, self.commit_index, self._loaded = -1, -1, word.index
        self.load(list(word.rows), now)
        rows = [(index, (kind, name, value)) for kind, name, index, value in word.rows]
        meta = {"place": word.index, "lineage": self.snapshot_epoch}
        return [Restart(), Store(meta, rows, forget=True, index=word.index, generation=self.generation)]

    def _take(self, entries: tuple[Entry, ...], now: int) -> list[Action]:
        if not entries:
            return []
        rows: list[tuple[int, Row]] = []
        for entry in entries:
            self.index = entry.index
            self._uncommitted.append(entry)
            for row in entry.rows:
                self._set(entry.index, row, now)
                rows.append((entry.index, row))
        return [Store({"place": self.index}, rows, index=self.index, generation=self.generation)]

    def _set(self, index: int, row: Row, now: int) -> None:
        kind, name, value = row
        if kind == KEY:
            if value is None:
                self.rows.pop((kind, name), None)
                self.born.pop(name, None)
                return
            self.born.setdefault(name, now)
        self.rows[kind, name] = (index, value)
        if kind in ITEMS:
            self.items[kind, name] = msgspec.convert(value, Item)

    def stored(self, index: int, generation: int) -> list[Action]:
        """The disk holds everything up to there, of that life of the rows."""
        if generation != self.generation or index <= self.stored_index:
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
        if len(self.view.members) < self.min_replicas:
            return out
        before = self._before()
        if before:
            out.append(Tell(before, Ack(self.view.epoch, index)))
        if index <= self.commit_index:
            return out
        was_ready = self.ready
        self.commit_index = index
        rows: list[Row] = []
        while self._uncommitted and self._uncommitted[0].index <= index:
            entry = self._uncommitted.popleft()
            for row in entry.rows:
                if row[0] in PUBLIC:
                    self._published[row[0], row[1]] = (entry.index, row[2])
                    rows.append(row)
        if self.ready and not was_ready:
            self._recent_from = index
            self._recent.clear()
            out.append(Restart())
        elif self.ready and rows:
            self._recent.append((index, tuple(rows)))
            if len(self._recent) > RECENT:
                self._recent_from = self._recent.popleft()[0]
            out.append(Publish(index, tuple(rows)))
        while self._pending_replies and self._pending_replies[0].index <= index:
            out += self._reply(self._pending_replies.popleft())
        return out

    # --- what followers get

    @property
    def published(self) -> Mapping[Name, tuple[int, Any]]:
        """All that is agreed of what followers may have, with the place of each."""
        return self._published

    def configuration(self) -> Configuration:
        held = (
            (name, msgspec.convert(row[1], Item)) for name, row in self._published.items() if name[0] in ITEMS
        )
        return Configuration(layout(held))

    def since(self, index: int) -> tuple[bool, int, tuple[Row, ...]]:
        """Whether it is a snapshot, the index that it leads to, and the rows."""
        if index > self.commit_index:
            return False, index, ()  # it has seen more than this member: nothing until there is news for it
        if index >= self._recent_from:
            news = tuple(row for at, rows in self._recent if at > index for row in rows)
            return False, self.commit_index, news
        return True, self.commit_index, tuple((k, n, v) for (k, n), (_, v) in self._published.items())
