"""A disk that outlasts its process: what `lighthouse/store.py` keeps, without a file.  Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from brackengate.lighthouse.actions import Store
from brackengate.lighthouse.replica import StoredState
from brackengate.lighthouse.view import NOBODY
from brackengate.signals.words import Ballot, View


@dataclass
class DiskState:
    incarnation: str = ""
    meta: dict[str, bytes] = field(default_factory=dict)
    rows: dict[tuple[str, str], tuple[int, bytes]] = field(default_factory=dict)

    def write(self, store: Store) -> None:
        if store.forget:
            self.rows.clear()
        for name, value in store.meta.items():
            self.meta[name] = msgspec.json.encode(value)
        for index, (kind, name, value) in store.rows:
            if kind == "key" and value is None:
                self.rows.pop((kind, name), None)
            else:
                self.rows[kind, name] = (index, msgspec.json.encode(value))

    def get(self, name: str, kind: Any, default: Any) -> Any:
        found = msgspec.json.decode(self.meta[name], type=kind) if name in self.meta else None
        return default if found is None else found

    def kept(self) -> StoredState:
        rows = [(k, n, index, msgspec.json.decode(value)) for (k, n), (index, value) in self.rows.items()]
        return StoredState(
            self.incarnation,
            self.get("place", int, 0),
            self.get("lineage", int, 0),
            self.get("view", View | None, None),
            self.get("promised", Ballot | None, NOBODY),
            self.get("taken_at", Ballot | None, None),
            self.get("taken", View | None, None),
            rows,
        )
