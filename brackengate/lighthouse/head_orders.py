"""The operator's orders at the head: which are entered at once, and which are delivered first.  Pure.

An order is decided when it is entered, by all that the head holds then; what was decided when its delivery
began says only that it is worth delivering.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from brackengate.lighthouse.commands import REFUSALS, Decision, RefusedOrders, Rows, decide, decide_order
from brackengate.lighthouse.item_index import ItemIndex
from brackengate.lighthouse.staging import PER_ROW, Deliveries, Delivery, staged_order
from brackengate.signals.words import PUBLIC, Amend

DELIVER_WITHIN = 1_200_000  # a large order waits so long for its followers at the most, and `PER_ROW`


@dataclass(frozen=True, slots=True)
class EnterNow:
    decision: Decision


@dataclass(frozen=True, slots=True)
class Wait:
    """Its delivery is under way.  `begins`: with this submission."""

    delivery: Delivery
    begins: bool


class NoAnswer:
    """It may be a late copy of an order that was refused."""


Taken = EnterNow | Wait | NoAnswer


@dataclass(frozen=True, slots=True)
class Due:
    """A delivery is over: what is decided of its order, for all who submitted it."""

    delivery: Delivery
    decision: Decision


@dataclass
class HeadOrders:
    deliver_within: int = DELIVER_WITHIN
    _refused: RefusedOrders = field(default_factory=RefusedOrders)
    _deliveries: Deliveries = field(default_factory=Deliveries)

    def begin_view(self) -> None:
        """Whoever submitted something submits it again in the new view."""
        self._deliveries = Deliveries()

    def submitted(
        self, what: Amend, addr: str, id_: int, rows: Rows, items: ItemIndex, members: Iterable[str], now: int
    ) -> Taken:
        delivery = self._deliveries.by_body.get(what.body)
        if delivery is not None:
            delivery.joined(addr, id_)
            return Wait(delivery, begins=False)
        decision = decide(what, rows, items)
        if not self._answers(what.body, decision, now):
            return NoAnswer()
        order = staged_order([row for row in decision.rows if row[0] in PUBLIC])
        if order is None:
            return EnterNow(decision)
        until = now + self.deliver_within + PER_ROW * len(decision.rows)
        delivery = self._deliveries.begin(what.body, decision.order, order, members, until)
        delivery.joined(addr, id_)
        return Wait(delivery, begins=True)

    def delivered(self, id_: str, addr: str) -> None:
        """The followers of that member hold that order."""
        self._deliveries.delivered(id_, addr)

    def take_due(self, rows: Rows, items: ItemIndex, now: int) -> Due | None:
        """The next order whose delivery is over; to be entered before the one after it is asked for."""
        delivery = self._deliveries.take_over(now)
        if delivery is None:
            return None
        decision = decide_order(delivery.read, rows, items)
        if not self._answers(delivery.body, decision, now):
            return self.take_due(rows, items, now)
        return Due(delivery, decision)

    def _answers(self, body: str, decision: Decision, now: int) -> bool:
        if isinstance(decision.result, REFUSALS):
            self._refused.add(body, now)
            return True
        return not decision.rows or not self._refused.holds(body, now)
