"""The log as one replica holds it: the committed rows, and the entries after them.  Pure.

The disk has the same layout: a store of new entries also writes the rows that were committed since the store
before.  So the rows on disk are always a prefix of the committed state, whatever happens to the entries.
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
from brackengate.control.rows import CommittedState, LatestRows, Name, committed_state
from brackengate.protocol.messages import ITEM_KINDS, PUBLIC_KINDS, Entry, Row

RECENT_ENTRIES, RECENT_BYTES = 20_000, 4 << 20  # committed entries kept in memory for learners
RECENT_PUBLIC_ENTRIES, RECENT_PUBLIC_BYTES = 2_000, 2 << 20  # public ones, for followers
APPEND_ENTRIES, APPEND_BYTES = 500, 64 << 10  # in one message
FLUSH_AFTER_US, FLUSH_ROWS = 1_000_000, 2_000  # limits for committed rows that wait for the next store
FLUSH_BATCH_ROWS = 500  # in one store: other stores wait behind it


def _recent() -> RecentEntries:
    return RecentEntries(RECENT_ENTRIES, RECENT_BYTES)


def _recent_public() -> RecentEntries:
    return RecentEntries(RECENT_PUBLIC_ENTRIES, RECENT_PUBLIC_BYTES)


@dataclass(frozen=True, slots=True)
class PublicChanges:
    """The public rows of some entries.  `staged`: ids of orders that delivered some of them in advance."""

    index: int  # the log index that these changes lead to
    rows: tuple[Row, ...]
    staged: tuple[str, ...] = ()


def public_changes(index: int, entries: Iterable[Entry]) -> PublicChanges:
    """The changes of these entries, which hold public rows only."""
    entries = tuple(entries)
    rows = tuple(row for entry in entries for row in entry.rows)
    return PublicChanges(index, rows, tuple(entry.staged for entry in entries if entry.staged))


@dataclass
class ReplicaLog:
    """One replica's log.

    `index`: of the last entry.  `rows_committed`: whether all rows of `state` are known to be committed; rows
    from a file of an older format are, once the index `rows_committed_from` is known to be committed.
    """

    index: int
    generation: int = 0  # increases whenever a part of the log is dropped
    state: CommittedState = field(default_factory=CommittedState)
    items: ItemIndex = field(default_factory=ItemIndex)  # the operator's items, as in `rows`
    uncommitted: deque[Entry] = field(default_factory=deque)
    overlay: dict[Name, tuple[int, Any]] = field(default_factory=dict)  # the rows of the uncommitted entries
    recent: RecentEntries = field(default_factory=_recent)
    recent_public: RecentEntries = field(default_factory=_recent_public)
    rows_committed: bool = True
    rows_committed_from: int = 0
    prepared: PreparedRows = field(default_factory=PreparedRows)
    unflushed: deque[tuple[int, Row]] = field(default_factory=deque)  # committed rows, not in a store yet
    flushed_at: int = 0  # the last time at which no row waited

    def load(
        self, rows: Iterable[tuple[str, str, int, Any]], entries: Iterable[Entry], base: int | None
    ) -> None:
        """Loads what is on disk.  `base`: the index up to which rows are committed; None: some may not be."""
        entries = tuple(entries)
        self.rows_committed = base is not None or self.index == 0
        if base is None:
            base = entries[0].index - 1 if entries else self.index
        self.rows_committed_from = base
        self.state = committed_state(base, rows)
        self._index_committed_items()
        for entry in entries:
            self.append(entry)
        self.recent.reset(base)
        self.recent_public.reset(base)

    @property
    def rows(self) -> LatestRows:
        """All rows, including those of uncommitted entries."""
        return LatestRows(self.state, self.overlay)

    # --- entries

    def append(self, entry: Entry) -> None:
        """Adds an uncommitted entry."""
        self.index = entry.index
        self.uncommitted.append(entry)
        for row in entry.rows:
            kind, name, value = row
            self.overlay[kind, name] = (entry.index, value)
            prepared = self.prepared.find(entry.staged, row) if entry.staged else None
            if prepared is not None:
                self.items.put((kind, name), prepared.item, prepared.parsed_route)
            else:
                self._index_item(kind, name, value)

    def commit(self, index: int) -> PublicChanges:
        """Commits all entries up to this index; returns their public changes."""
        self.rows_committed = self.rows_committed or index >= self.rows_committed_from
        entries: list[Entry] = []
        while self.uncommitted and self.uncommitted[0].index <= index:
            entries.append(self._commit_entry(self.uncommitted.popleft()))
        return public_changes(index, entries)

    def _commit_entry(self, entry: Entry) -> Entry:
        """Commits one entry; returns it with its public rows only."""
        for row in entry.rows:
            prepared = self.prepared.find(entry.staged, row) if entry.staged else None
            self.state.set(entry.index, row, prepared.value_json if prepared is not None else None)
            self.unflushed.append((entry.index, row))
            if self.overlay.get((row[0], row[1]), (0,))[0] == entry.index:
                del self.overlay[row[0], row[1]]
        self.prepared.forget(entry.staged)
        self.state.index = entry.index
        return self._keep_recent(entry)

    def _keep_recent(self, entry: Entry) -> Entry:
        """Keeps a committed entry for those that lag behind; returns it with its public rows only."""
        self.recent.add(entry)
        public = Entry(entry.index, tuple(row for row in entry.rows if row[0] in PUBLIC_KINDS), entry.staged)
        if public.rows:
            self.recent_public.add(public)
        else:
            self.recent_public.extend_to(entry.index)
        return public

    def drop_uncommitted(self) -> None:
        """Drops the uncommitted entries and keeps the committed rows."""
        self.uncommitted.clear()
        self.overlay.clear()
        self.items.clear()
        self._index_committed_items()
        self.index = self.state.index
        self.generation += 1

    def has_entries_after(self, index: int) -> bool:
        """Whether the entries that follow this index are in memory."""
        return index >= self.state.index or self.recent.covers(index, self.state.index)

    def entries_after(self, index: int, until: int) -> list[tuple[Entry, ...]]:
        """The entries between these indexes, in batches of one message each.  See `has_entries_after`."""
        out: list[tuple[Entry, ...]] = []
        while index < self.state.index:
            entries, _ = self.recent.after(index, APPEND_ENTRIES, APPEND_BYTES)
            out.append(entries)
            index = entries[-1].index
        rest = [entry for entry in self.uncommitted if index < entry.index <= until]
        return out + [tuple(rest[at : at + APPEND_ENTRIES]) for at in range(0, len(rest), APPEND_ENTRIES)]

    # --- copies

    def reset(self, index: int) -> None:
        """Drops everything; a copy starts from scratch at this index."""
        self.state.clear()
        self.items.clear()
        self.generation += 1
        self.rows_committed = True
        self.index = 0
        self.recent.reset(index)
        self.recent_public.reset(index)

    def apply_copy(self, index: int, changes: Iterable[tuple[int, Row]], entries: Iterable[Entry]) -> None:
        """Applies the changes of one piece of a copy, which brings all rows held to this index."""
        for at, row in changes:
            self.state.set(at, row)
            self._index_item(*row)
        for entry in entries:
            self._keep_recent(entry)
        self.recent.extend_to(index)
        self.recent_public.extend_to(index)
        self.state.index = self.index = index

    # --- stores

    def store(self, entries: Iterable[Entry], max_rows: int = FLUSH_BATCH_ROWS, **meta: Any) -> Store:
        """A store of new entries, with up to `max_rows` rows that were committed since the last store.

        `meta`: values to store, by their names on disk.
        """
        store = self.flush(max_rows, **meta)
        store.meta["place"], store.entries = self.index, list(entries)
        store.index, store.generation = self.index, self.generation
        return store

    def flush(self, max_rows: int = FLUSH_BATCH_ROWS, **meta: Any) -> Store:
        """A store of up to `max_rows` of the committed rows that wait.

        An entry whose rows are not all stored yet stays on disk too: it is applied again after a restart,
        with the same result.
        """
        rows = [self.unflushed.popleft() for _ in range(min(max_rows, len(self.unflushed)))]
        reached = self.unflushed[0][0] - 1 if self.unflushed else self.state.index
        base = reached if self.rows_committed else None
        return Store({"base": base, **meta}, rows, committed=reached)

    def flush_if_due(self, now: int) -> list[Store]:
        """A store for committed rows that have waited too long or are too many, one batch at a time."""
        if not self.unflushed:
            self.flushed_at = now
        elif now - self.flushed_at >= FLUSH_AFTER_US or len(self.unflushed) >= FLUSH_ROWS:
            store = self.flush()
            if not self.unflushed:
                self.flushed_at = now
            return [store]
        return []

    # --- items

    def _index_committed_items(self) -> None:
        for (kind, name), (_, value) in self.state.published.items():
            self._index_item(kind, name, value)

    def _index_item(self, kind: str, name: str, value: Any) -> None:
        if kind in ITEM_KINDS:
            self.items.put((kind, name), item_of(value))
