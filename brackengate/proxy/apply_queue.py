"""Applies changes to the routing table in order, long ones in slices.

Requests are served between two slices.  Only the last slice of a change moves the table to the change's
index, so a proxy in the middle of a change does not count as current.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brackengate.protocol.messages import Row
from brackengate.proxy.routing_table import RoutingTable

SLICE_ROWS = 100  # applied in one turn of the event loop


@dataclass(slots=True)
class PendingChange:
    """A change that is not completely in force.  `applied`: the number of its rows that are."""

    index: int
    rows: Sequence[Row]
    applied: int = 0


class ApplyQueue:
    """Changes that wait to be applied."""

    def __init__(
        self,
        table: RoutingTable,
        call_soon: Callable[[Callable[[], None]], object],
        on_applied: Callable[[set[str]], None],
    ) -> None:
        """`call_soon`: calls back in the next turn of the loop.  `on_applied`: gets kinds of changed rows."""
        self._table, self._call_soon, self._on_applied = table, call_soon, on_applied
        self._pending: deque[PendingChange] = deque()  # the first one is being applied
        self._scheduled = False

    def add(self, index: int, rows: Sequence[Row]) -> None:
        """Add a change; a short one with nothing before it is applied at once."""
        self._pending.append(PendingChange(index, rows))
        if not self._scheduled:
            self._apply_next_slices()

    def add_snapshot(self, index: int, rows: Sequence[Row]) -> None:
        """Add a complete snapshot, which replaces all waiting changes; what it does not name is removed.

        The first one is applied in one step: until then this proxy has no configuration, and with a part of
        it requests could go to a route that a more specific one overrides.
        """
        self._pending.clear()
        if not self._table.has_configuration:
            self._on_applied(self._table.apply_snapshot(index, rows))
        elif index > self._table.index:
            self.add(index, self._table.rows_with_removals(rows))

    def _apply_next_slices(self) -> None:
        """Apply waiting changes, up to the first slice that does not complete its change."""
        self._scheduled = False
        while self._pending:
            change = self._pending[0]
            if change.index <= self._table.index:  # sent again by another replica: it is in force
                self._pending.popleft()
                self._on_applied(set())
                continue
            rows = change.rows[change.applied : change.applied + SLICE_ROWS]
            change.applied += len(rows)
            if change.applied < len(change.rows):
                self._on_applied(self._table.apply_rows(rows))
                self._scheduled = True
                self._call_soon(self._apply_next_slices)
                return
            self._pending.popleft()
            self._on_applied(self._table.apply_changes(change.index, rows))
