"""The log of changes as a chain: entered at the head, stored by each in turn, answered from the tail.  Pure.

A member stores an entry before it passes it on, so each one's log is a prefix of the log of the one before
it. What the tail has stored is on every disk of the view: it is agreed, and word of that goes back up the
chain. Only what is agreed is published, so nothing published is ever taken back.  The log is kept as the
latest value of each row with the place of its entry: what follows a place is the rows with a higher one.

Asks may come to any member, which sends them to the head until it hears what became of them; asking again
does no harm, as each ask says what is wanted and not a step towards it.  Times are microseconds of a steady
clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brackengate.lighthouse.actions import Action, Answer, Publish, Restart, Store, Tell
from brackengate.lighthouse.view import Log
from brackengate.signals.items import Invalid, Item, Name, effect, layout, read_call
from brackengate.signals.words import (
    ITEMS,
    PUBLIC,
    Amend,
    Ask,
    Claim,
    Do,
    Done,
    Entry,
    Forward,
    Have,
    Line,
    Noticed,
    Read,
    Report,
    Row,
    Stored,
    Unclaim,
    View,
    Whole,
)

AGAIN = 400_000  # an ask without an answer is sent again
GIVE_UP = 12_000_000  # and forgotten
HAVE = 200_000  # a member that has not met the one before it says again what it has
RECENT = 2_000  # entries kept for followers
PRUNE_AT_ONCE = 200
PRUNE = 1_000_000
KEY = "key"


@dataclass(slots=True)
class Pending:
    """An ask that came to this member."""

    what: Ask
    at: int
    sent: int
    local: int  # the carrier's number
    numbers: list[int] = field(default_factory=list)  # one for each time that it was sent


@dataclass(slots=True)
class Owed:
    """What the head says once a place is agreed."""

    place: int
    addr: str
    id: int
    result: Any


class Chain:
    def __init__(self, me: str, enough: int, window: int, place: int, lineage: int, now: int) -> None:
        """`enough`: disks that hold a write before it is acknowledged.  `window`: for which keys are kept.
        `place`, `lineage`: as stored; the lineage is the epoch of the seat that the rows were taken for."""
        self.me, self.enough, self.window = me, enough, window
        self.view = View(0, ())
        self.inc = ""
        self.sealed = False
        self.life = 0  # of the rows: a snapshot begins a new one
        self.place = self.stored_place = place  # in memory, and on disk
        self.agreed = -1  # on all disks of a view; -1: not known since the start
        self.synced = 0
        self.lineage = lineage
        self.rows: dict[Name, tuple[int, Any]] = {}
        self.items: dict[Name, Item] = {}  # the operator's, as in `rows`
        self.born: dict[str, int] = {}  # keys, since when they are held here
        self._loaded = place
        self._next_from: int | None = None  # the place up to which the next one was sent; None: it has to say
        self._unagreed: deque[Entry] = deque()
        self._recent: deque[tuple[int, tuple[Row, ...]]] = deque()
        self._recent_from = place  # places after this one are in `_recent`
        self._published: dict[Name, tuple[int, Any]] = {}
        self._said_have = self._pruned = 0
        self._asks: dict[int, Pending] = {}
        self._sent: dict[int, int] = {}  # the ask of each number
        self._last_id = (
            now  # no number of an earlier life comes again: words for those may still be under way
        )
        self._owed: deque[Owed] = deque()

    def load(self, rows: list[tuple[str, str, int, Any]], now: int) -> None:
        """What is on disk at the start; some of it may not have been agreed."""
        for kind, name, place, value in rows:
            self._set(place, (kind, name, value), now)
            if kind in PUBLIC:
                self._published[kind, name] = (place, value)

    # --- where it stands

    def log(self) -> Log:
        return Log(self.stored_place, self.whole, self.synced)

    @property
    def whole(self) -> bool:
        seat = self.view.seat(self.me)
        return seat is not None and seat.inc == self.inc and seat.since == self.lineage

    def _index(self) -> int:
        return next((n for n, s in enumerate(self.view.seats) if s.addr == self.me and s.inc == self.inc), -1)

    @property
    def head(self) -> str:
        return self.view.seats[0].addr if self.view.seats else ""

    def _before(self) -> str:
        at = self._index()
        return self.view.seats[at - 1].addr if at > 0 else ""

    def _after(self) -> str:
        at = self._index()
        return self.view.seats[at + 1].addr if 0 <= at < len(self.view.seats) - 1 else ""

    @property
    def ready(self) -> bool:
        """Whether followers can be served: all that is held here has been agreed at some time."""
        return self.agreed >= self._loaded and self.agreed >= 0

    # --- the view

    def viewed(self, view: View, inc: str, now: int) -> list[Action]:
        """A view was agreed."""
        self.view, self.inc, self.sealed = view, inc, False
        self.synced = 0
        self._next_from = None
        self._owed.clear()  # whoever asked asks again
        out: list[Action] = []
        if self._index() == 0 and self.whole:
            self.synced = view.epoch
        out += self._say_have(now)
        out += self._tail()
        for ask in list(self._asks):
            out += self._send(ask, now)
        return out

    def tick(self, now: int) -> list[Action]:
        out: list[Action] = []
        if self._index() > 0 and self.synced != self.view.epoch and now - self._said_have >= HAVE:
            out += self._say_have(now)
        for ask, pending in list(self._asks.items()):
            if now - pending.at > GIVE_UP:
                out.append(self._settle(ask, None))
            elif now - pending.sent > AGAIN:
                out += self._send(ask, now)
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
        out: list[Action] = [Tell(before, Have(self.view.epoch, self.stored_place if self.whole else -1))]
        if self.agreed >= 0 and self.whole:  # whoever has just started knows of nothing that is agreed
            out.append(Tell(before, Stored(self.view.epoch, self.agreed)))
        return out

    # --- asks, where they come in

    def ask(self, what: Ask, local: int, now: int) -> list[Action]:
        """Answered once, by `Answer(local, result)`."""
        self._last_id += 1
        self._asks[self._last_id] = Pending(what, now, now, local)
        return self._send(self._last_id, now)

    def _send(self, ask: int, now: int) -> list[Action]:
        pending = self._asks[ask]
        pending.sent = now
        self._last_id += 1
        pending.numbers.append(self._last_id)
        self._sent[self._last_id] = ask
        word = Do(self._last_id, pending.what)
        if self.head == self.me:
            return self._do(self.me, word, now)
        return [Tell(self.head, word)] if self.head else []

    def _done(self, word: Done) -> list[Action]:
        ask = self._sent.get(word.id)
        if ask is None:
            return []
        if word.id != self._asks[ask].numbers[-1] and ("gate" in word.result or "invalid" in word.result):
            return []  # turned down, but it was sent again: that may come to another end
        return [self._settle(ask, word.result)]

    def _settle(self, ask: int, result: Any) -> Answer:
        pending = self._asks.pop(ask)
        for number in pending.numbers:
            del self._sent[number]
        return Answer(pending.local, result)

    # --- asks, at the head

    def _do(self, addr: str, word: Do, now: int) -> list[Action]:
        fit = self._index() == 0 and self.whole and not self.sealed
        if not fit or len(self.view.seats) < self.enough:
            return []
        rows: list[Row] = []
        result: Any = {"ok": True}
        match word.what:
            case Amend(body):
                try:
                    news = effect(read_call(body.encode()), self.items)
                    rows = [(kind, name, msgspec.to_builtins(item)) for (kind, name), item in news.items()]
                except Invalid as why:
                    result = {"invalid": str(why)}
            case Read():
                result = None  # read when it is answered, which is from the tail on
            case Claim(key, gate, attempt, instead):
                held = self.rows.get((KEY, key))
                if held is None or held[1] == [gate, instead]:
                    rows = [(KEY, key, [gate, attempt])]
                elif held[1] != [gate, attempt]:  # said once it is agreed: what is held here may yet be lost
                    result = {"gate": held[1][0], "attempt": held[1][1]}
            case Unclaim(key, gate, attempt):
                held = self.rows.get((KEY, key))
                if held is not None and held[1] == [gate, attempt]:
                    rows = [(KEY, key, None)]
            case Report(name, value):
                held = self.rows.get(("inst", name))
                if held is None or held[1] != value:
                    rows = [("inst", name, value)]
            case Noticed(watcher, silent):
                held = self.rows.get(("silent", watcher))
                if (list(held[1] or ()) if held is not None else []) != list(silent):
                    rows = [("silent", watcher, list(silent) or None)]
        out = self._append(rows, now)
        self._owed.append(Owed(self.place, addr, word.id, result))
        return out

    def _append(self, rows: list[Row], now: int) -> list[Action]:
        return self._take((Entry(self.place + 1, tuple(rows)),), now)

    def _tell_done(self, addr: str, ask: int, result: Any) -> list[Action]:
        done = Done(ask, result)
        return self._done(done) if addr == self.me else [Tell(addr, done)]

    def _prune(self, now: int) -> list[Action]:
        """A duty of the head: keys that nobody may repeat any more.  By age: the time of day jumps."""
        if self._index() != 0 or not self.whole or self.sealed or self.agreed < self.place:
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
            case Do():
                return self._do(addr, word, now)
            case Done():
                return self._done(word)
            case Have():
                return self._on_have(addr, word)
            case Forward():
                return self._on_forward(addr, word, now)
            case Whole():
                return self._on_whole(addr, word, now)
            case Stored():
                if word.epoch == self.view.epoch and addr == self._after():
                    return self._agree(min(word.place, self.stored_place))
        return []

    def _on_have(self, addr: str, word: Have) -> list[Action]:
        if word.epoch != self.view.epoch or addr != self._after() or not self.whole or self.sealed:
            return []
        if word.place > self.place:
            return []  # it can't have more: a line from another life
        if word.place < 0:
            rows = tuple((kind, name, place, value) for (kind, name), (place, value) in self.rows.items())
            if self.stored_place < self.place:
                return []  # what is not stored here must not be passed on; it asks again
            self._next_from = self.place
            return [Tell(addr, Whole(word.epoch, self.place, rows))]
        self._next_from = word.place
        return self._feed_next(even_none=True)

    def _feed_next(self, even_none: bool = False) -> list[Action]:
        """Pass on what is stored here and was not sent yet."""
        after = self._after()
        if not after or self._next_from is None or self.sealed:
            return []
        start, until = self._next_from, self.stored_place
        if start >= until and not even_none:
            return []
        entries = [entry for entry in self._unagreed if start < entry.place <= until]
        if start < until and (not entries or entries[0].place > start + 1):
            rows = [(k, n, v) for (k, n), (place, v) in self.rows.items() if start < place]
            if until < self.place:
                return []  # rows of the last entries are not stored yet: wait for those
            entries = [Entry(until, tuple(rows))]
        self._next_from = max(start, until)
        return [Tell(after, Forward(self.view.epoch, start, tuple(entries)))]

    def _on_forward(self, addr: str, word: Forward, now: int) -> list[Action]:
        if word.epoch != self.view.epoch or addr != self._before() or not self.whole or self.sealed:
            return []
        if word.after > self.place:
            return self._say_have(now)
        self.synced = self.view.epoch
        out = self._take(tuple(entry for entry in word.entries if entry.place > self.place), now)
        return out or self._tail()

    def _on_whole(self, addr: str, word: Whole, now: int) -> list[Action]:
        seat = self.view.seat(self.me)
        if (
            word.epoch != self.view.epoch
            or addr != self._before()
            or self.sealed
            or seat is None
            or self.whole
        ):
            return []
        for held in (self.rows, self.items, self.born, self._unagreed, self._recent, self._published):
            held.clear()
        self.life += 1
        self.place, self.lineage, self.synced = word.place, seat.since, self.view.epoch
        self.stored_place, self.agreed, self._loaded = -1, -1, word.place
        self.load(list(word.rows), now)
        rows = [(place, (kind, name, value)) for kind, name, place, value in word.rows]
        meta = {"place": word.place, "lineage": self.lineage}
        return [Restart(), Store(meta, rows, forget=True, place=word.place, life=self.life)]

    def _take(self, entries: tuple[Entry, ...], now: int) -> list[Action]:
        if not entries:
            return []
        rows: list[tuple[int, Row]] = []
        for entry in entries:
            self.place = entry.place
            self._unagreed.append(entry)
            for row in entry.rows:
                self._set(entry.place, row, now)
                rows.append((entry.place, row))
        return [Store({"place": self.place}, rows, place=self.place, life=self.life)]

    def _set(self, place: int, row: Row, now: int) -> None:
        kind, name, value = row
        if kind == KEY:
            if value is None:
                self.rows.pop((kind, name), None)
                self.born.pop(name, None)
                return
            self.born.setdefault(name, now)
        self.rows[kind, name] = (place, value)
        if kind in ITEMS:
            self.items[kind, name] = msgspec.convert(value, Item)

    def stored(self, place: int, life: int) -> list[Action]:
        """The disk holds everything up to there, of that life of the rows."""
        if life != self.life or place <= self.stored_place:
            return []
        self.stored_place = place
        out = self._feed_next()
        return out + self._tail()

    def _tail(self) -> list[Action]:
        """The tail's word that what it has stored is agreed."""
        at = self._index()
        if at < 0 or at != len(self.view.seats) - 1 or not self.whole or self.synced != self.view.epoch:
            return []
        return self._agree(self.stored_place)

    def _agree(self, place: int) -> list[Action]:
        out: list[Action] = []
        if len(self.view.seats) < self.enough:
            return out
        before = self._before()
        if before:
            out.append(Tell(before, Stored(self.view.epoch, place)))
        if place <= self.agreed:
            return out
        was_ready = self.ready
        self.agreed = place
        rows: list[Row] = []
        while self._unagreed and self._unagreed[0].place <= place:
            entry = self._unagreed.popleft()
            for row in entry.rows:
                if row[0] in PUBLIC:
                    self._published[row[0], row[1]] = (entry.place, row[2])
                    rows.append(row)
        if self.ready and not was_ready:
            self._recent_from = place
            self._recent.clear()
            out.append(Restart())
        elif self.ready and rows:
            self._recent.append((place, tuple(rows)))
            if len(self._recent) > RECENT:
                self._recent_from = self._recent.popleft()[0]
            out.append(Publish(place, tuple(rows)))
        while self._owed and self._owed[0].place <= place:
            owed = self._owed.popleft()
            result = owed.result if owed.result is not None else self.configuration()
            out += self._tell_done(owed.addr, owed.id, result)
        return out

    # --- what followers get

    @property
    def published(self) -> Mapping[Name, tuple[int, Any]]:
        """All that is agreed of what followers may have, with the place of each."""
        return self._published

    def configuration(self) -> dict[str, Any]:
        held = (
            (name, msgspec.convert(row[1], Item)) for name, row in self._published.items() if name[0] in ITEMS
        )
        return layout(held)

    def since(self, place: int) -> tuple[bool, int, tuple[Row, ...]]:
        """Whether it is a snapshot, the place that it leads to, and the rows."""
        if place > self.agreed:
            return False, place, ()  # it has seen more than this member: nothing until there is news for it
        if place >= self._recent_from:
            news = tuple(row for at, rows in self._recent if at > place for row in rows)
            return False, self.agreed, news
        return True, self.agreed, tuple((k, n, v) for (k, n), (_, v) in self._published.items())
