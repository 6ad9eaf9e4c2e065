"""The log as one replica holds it: the committed rows, and the entries after them.  Pure.

On disk it is the same: a store of new entries takes along the rows that were committed since the one before.
So the rows on disk are always a prefix of what is committed, whatever becomes of the entries.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from brackengate.control.actions import Store
from brackengate.control.item_index import ItemIndex
from brackengate.control.prepared_rows import PreparedRows, item_of
from brackengate.control.recent import RecentEntries
from brackengate.control.rows import LatestRows, Name, State, state_of
from brackengate.protocol.messages import ITEM_KINDS, PUBLIC_KINDS, Entry, Row

RECENT, RECENT_BYTES = 20_000, 4 << 20  # committed entries kept for learners
RECENT_PUBLIC, RECENT_PUBLIC_BYTES = 2_000, 2 << 20  # and of these, what followers may have
APPEND_ENTRIES, APPEND_BYTES = 500, 64 << 10  # in one message
FOLD, FOLD_MOST = 1_000_000, 2_000  # committed rows wait for the next store, so long and so many
FOLD_AT_ONCE = 500  # of them go to the disk with one store: others wait behind it


def _recent() -> RecentEntries:
    return RecentEntries(RECENT, RECENT_BYTES)


def _recent_public() -> RecentEntries:
    return RecentEntries(RECENT_PUBLIC, RECENT_PUBLIC_BYTES)


@dataclass(frozen=True, slots=True)
class PublicChanges:
    """What followers may have of some entries.  `staged`: the orders that some of it was delivered by."""

    index: int  # that it leads to
    rows: tuple[Row, ...]
    staged: tuple[str, ...] = ()


def public_changes(index: int, entries: Iterable[Entry]) -> PublicChanges:
    entries = tuple(entries)
    rows = tuple(row for entry in entries for row in entry.rows)
    return PublicChanges(index, rows, tuple(entry.staged for entry in entries if entry.staged))


@dataclass
class ReplicaLog:
    """`index`: of the last entry.  `firm`: whether all rows of `state` are known to be committed; those of a
    file of an older form are once that is heard of `firm_from`."""

    index: int
    generation: int = 0  # another one begins where some of what is held is dropped
    state: State = field(default_factory=State)
    items: ItemIndex = field(default_factory=ItemIndex)  # the operator's, as in `rows`
    uncommitted: deque[Entry] = field(default_factory=deque)
    overlay: dict[Name, tuple[int, Any]] = field(default_factory=dict)  # the rows of these
    recent: RecentEntries = field(default_factory=_recent)
    recent_public: RecentEntries = field(default_factory=_recent_public)
    firm: bool = True
    firm_from: int = 0
    prepared: PreparedRows = field(default_factory=PreparedRows)
    folded: deque[tuple[int, Row]] = field(default_factory=deque)  # committed, and not in a store yet
    folded_at: int = 0

    def load(
        self, rows: Iterable[tuple[str, str, int, Any]], entries: Iterable[Entry], base: int | None
    ) -> None:
        """`base`: the index up to which the rows are committed; None: they may not be."""
        entries = tuple(entries)
        self.firm = base is not None or self.index == 0
        if base is None:
            base = entries[0].index - 1 if entries else self.index
        self.firm_from = base
        self.state = state_of(base, rows)
        self._take_items_of_state()
        for entry in entries:
            self.take(entry)
        self.recent.begin(base)
        self.recent_public.begin(base)

    @property
    def rows(self) -> LatestRows:
        """All rows with what is not committed yet."""
        return LatestRows(self.state, self.overlay)

    # --- entries

    def take(self, entry: Entry) -> None:
        self.index = entry.index
        self.uncommitted.append(entry)
        for row in entry.rows:
            kind, name, value = row
            self.overlay[kind, name] = (entry.index, value)
            prepared = self.prepared.find(entry.staged, row) if entry.staged else None
            if prepared is not None:
                self.items.put((kind, name), prepared.item, prepared.read)
            else:
                self._take_item(kind, name, value)

    def commit(self, index: int) -> PublicChanges:
        """All up to there is committed."""
        self.firm = self.firm or index >= self.firm_from
        entries: list[Entry] = []
        while self.uncommitted and self.uncommitted[0].index <= index:
            entries.append(self._commit_entry(self.uncommitted.popleft()))
        return public_changes(index, entries)

    def _commit_entry(self, entry: Entry) -> Entry:
        """What of it followers may have."""
        for row in entry.rows:
            prepared = self.prepared.find(entry.staged, row) if entry.staged else None
            self.state.set(entry.index, row, prepared.text if prepared is not None else None)
            self.folded.append((entry.index, row))
            if self.overlay.get((row[0], row[1]), (0,))[0] == entry.index:
                del self.overlay[row[0], row[1]]
        self.prepared.forget(entry.staged)
        self.state.index = entry.index
        self.recent.add(entry)
        public = Entry(entry.index, tuple(row for row in entry.rows if row[0] in PUBLIC_KINDS), entry.staged)
        if public.rows:
            self.recent_public.add(public)
        return public

    def drop_uncommitted(self) -> None:
        """Nobody owes them any more; the committed rows stay."""
        self.uncommitted.clear()
        self.overlay.clear()
        self.items.clear()
        self._take_items_of_state()
        self.index = self.state.index
        self.generation += 1

    def covers(self, index: int) -> bool:
        """Whether the entries that follow that index are here."""
        return index >= self.state.index or self.recent.reaches(index)

    def after(self, index: int, until: int) -> list[tuple[Entry, ...]]:
        """The entries that follow an index that is covered, in batches of a message each."""
        out: list[tuple[Entry, ...]] = []
        while index < self.state.index:
            entries, _ = self.recent.after(index, APPEND_ENTRIES, APPEND_BYTES)
            out.append(entries)
            index = entries[-1].index
        rest = [entry for entry in self.uncommitted if index < entry.index <= until]
        return out + [tuple(rest[at : at + APPEND_ENTRIES]) for at in range(0, len(rest), APPEND_ENTRIES)]

    # --- copies

    def forget(self, index: int) -> None:
        """A copy begins at that index: what was held before counts for nothing."""
        self.state.clear()
        self.items.clear()
        self.generation += 1
        self.firm = True
        self.index = 0
        self.recent.begin(index)

    def learn(self, index: int, changes: Iterable[tuple[int, Row]], entries: Iterable[Entry]) -> None:
        """What a piece of a copy changes, which brings all that is held to an index."""
        for at, row in changes:
            self.state.set(at, row)
            self._take_item(*row)
        for entry in entries:
            self.recent.add(entry)
        self.state.index = self.index = index

    # --- stores

    def store(self, entries: Iterable[Entry], most: int = FOLD_AT_ONCE, **meta: Any) -> Store:
        """Of new entries, with `most` of the rows that were committed since the last store."""
        store = self.fold(most, **meta)
        store.meta["place"], store.entries = self.index, list(entries)
        store.index, store.generation = self.index, self.generation
        return store

    def fold(self, most: int = FOLD_AT_ONCE, **meta: Any) -> Store:
        """`most` of the committed rows that wait.

        Of an entry whose rows are not all in the store yet, the entry stays on disk too: it is taken again
        after a start, which gives the same rows.
        """
        rows = [self.folded.popleft() for _ in range(min(most, len(self.folded)))]
        reached = self.folded[0][0] - 1 if self.folded else self.state.index
        base = reached if self.firm else None
        return Store({"base": base, **meta}, rows, committed=reached)

    def fold_if_due(self, now: int) -> list[Store]:
        """Committed rows that wait for a store for too long get one of their own, in slices."""
        if not self.folded:
            self.folded_at = now
        elif now - self.folded_at >= FOLD or len(self.folded) >= FOLD_MOST:
            store = self.fold()
            if not self.folded:
                self.folded_at = now
            return [store]
        return []

    # --- items

    def _take_items_of_state(self) -> None:
        for (kind, name), (_, value) in self.state.published.items():
            self._take_item(kind, name, value)

    def _take_item(self, kind: str, name: str, value: Any) -> None:
        if kind in ITEM_KINDS:
            self.items.put((kind, name), item_of(value))
