"""Changes on their way into the routing table: in their order, long ones in slices.

Requests pass between two slices.  Only the last slice of a change brings the table to the index of the
change, so a proxy that is in the middle of one does not call itself current.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brackengate.protocol.messages import Row
from brackengate.proxy.routing_table import RoutingTable

SLICE_ROWS = 100  # rows that are put in force in one step of the loop


@dataclass(slots=True)
class PendingChange:
    """`applied`: how many of its rows are in force."""

    index: int
    rows: Sequence[Row]
    applied: int = 0


class ApplyQueue:
    def __init__(
        self,
        table: RoutingTable,
        call_soon: Callable[[Callable[[], None]], object],
        on_applied: Callable[[set[str]], None],
    ) -> None:
        """`call_soon`: calls back in the next step of the loop.  `told`: hears the kinds of rows changed."""
        self._table, self._call_soon, self._on_applied = table, call_soon, on_applied
        self._pending: deque[PendingChange] = deque()  # the first one is being put in force
        self._scheduled = False

    def add(self, index: int, rows: Sequence[Row]) -> None:
        """A short change that waits for nothing is in force at once."""
        self._pending.append(PendingChange(index, rows))
        if not self._scheduled:
            self._apply_next_slices()

    def add_snapshot(self, index: int, rows: Sequence[Row]) -> None:
        """A whole copy, which is newer than all that waits.  What it does not name is gone.

        The first one is put in force in one step: until then this proxy has no configuration, and a part of
        one could send requests to a route that a more specific one overrides.
        """
        self._pending.clear()
        if not self._table.has_configuration:
            self._on_applied(self._table.apply_snapshot(index, rows))
        elif index > self._table.index:
            self.add(index, self._table.rows_with_removals(rows))

    def _apply_next_slices(self) -> None:
        """Up to the end of one slice that is not the last of its change."""
        self._scheduled = False
        while self._pending:
            change = self._pending[0]
            if change.index <= self._table.index:  # sent again by the next replica: all of it is in force
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
