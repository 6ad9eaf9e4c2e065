"""A simulated disk that outlives its process: the content that `control/store.py` keeps.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from brackengate.control.actions import Store
from brackengate.control.replica import StoredState
from brackengate.control.rows import is_deletion
from brackengate.control.view import NO_BALLOT
from brackengate.protocol.messages import Ballot, Entry, Row, View


@dataclass
class DiskState:
    """The content of one disk.  `meta` and values are encoded as JSON."""

    incarnation: str = ""
    meta: dict[str, bytes] = field(default_factory=dict)
    committed: dict[tuple[str, str], tuple[int, bytes]] = field(default_factory=dict)
    entries: dict[int, bytes] = field(default_factory=dict)

    def write(self, store: Store) -> None:
        """Executes one store; see `Store` for the order of its parts."""
        if store.drop_all:
            self.committed.clear()
        if store.drop_all or store.drop_entries:
            self.entries.clear()
        for name, value in store.meta.items():
            self.meta[name] = msgspec.json.encode(value)
        for index, row in store.rows:
            _set_row(self.committed, index, row)
        for index in [index for index in self.entries if index <= store.committed]:
            del self.entries[index]
        for entry in store.entries:
            self.entries[entry.index] = msgspec.json.encode(entry)

    @property
    def rows(self) -> dict[tuple[str, str], tuple[int, bytes]]:
        """All rows, committed or not."""
        rows = self.committed.copy()
        for entry in self._log():
            for row in entry.rows:
                _set_row(rows, entry.index, row)
        return rows

    def _log(self) -> list[Entry]:
        return [msgspec.json.decode(data, type=Entry) for _, data in sorted(self.entries.items())]

    def get(self, name: str, kind: Any, default: Any) -> Any:
        """A value of `meta`, decoded as `kind`; `default` if there is none."""
        found = msgspec.json.decode(self.meta[name], type=kind) if name in self.meta else None
        return default if found is None else found

    def stored_state(self) -> StoredState:
        """The state that a process finds at its start."""
        rows = [
            (k, n, index, msgspec.json.decode(value)) for (k, n), (index, value) in self.committed.items()
        ]
        return StoredState(
            self.incarnation,
            self.get("place", int, 0),
            self.get("lineage", int, 0),
            self.get("view", View | None, None),
            self.get("promised", Ballot | None, NO_BALLOT),
            self.get("taken_at", Ballot | None, None),
            self.get("taken", View | None, None),
            rows,
            self._log(),
            self.get("base", int | None, None),
            self.get("copy", int, 0),
        )


def _set_row(rows: dict[tuple[str, str], tuple[int, bytes]], index: int, row: Row) -> None:
    kind, name, value = row
    if is_deletion(kind, value):
        rows.pop((kind, name), None)
    else:
        rows[kind, name] = (index, msgspec.json.encode(value))
