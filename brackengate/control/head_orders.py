"""The operator's orders at the head: which are entered at once, and which are delivered first.  Pure.

An order is decided when it is entered, by all that the head holds then; what was decided when its delivery
began says only that it is worth delivering.  A long one is read some routes at a time, so that the head goes
on answering meanwhile.  Times are microseconds of a steady clock.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable
from dataclasses import dataclass, field

from brackengate.control.commands import REFUSALS, Decision, RefusedOrders, Rows, decide_order
from brackengate.control.item_index import ItemIndex
from brackengate.control.staging import (
    PER_ROW,
    Deliveries,
    Delivery,
    StagedOrder,
    Submission,
    Submissions,
    staged_order,
)
from brackengate.protocol.config_items import Invalid, read_in_slices
from brackengate.protocol.messages import PUBLIC, Amend, InvalidOrder

DELIVER_WITHIN = 1_200_000  # a large order waits so long for its followers at the most, and `PER_ROW`
LONG_BODY = 64 << 10  # bytes of a call: a longer one is examined in slices


@dataclass(frozen=True, slots=True)
class EnterNow:
    decision: Decision


@dataclass(frozen=True, slots=True)
class Wait:
    """Its delivery is under way.  `begins`: with this submission."""

    delivery: Delivery
    begins: bool


class Examining:
    """It is being read."""


class NoAnswer:
    """It may be a late copy of an order that was refused."""


Taken = EnterNow | Wait | NoAnswer


@dataclass(frozen=True, slots=True)
class Due:
    """A delivery is over: what is decided of its order, for all who submitted it."""

    delivery: Delivery
    decision: Decision


@dataclass(frozen=True, slots=True)
class Examined:
    """What an order would do now; `staged`: its rows, if they are to be delivered first."""

    decision: Decision
    staged: StagedOrder | None = None


ExaminationSteps = Generator[None, None, Examined]


@dataclass(slots=True)
class Examination:
    body: str
    steps: ExaminationSteps
    submissions: Submissions


@dataclass(frozen=True, slots=True)
class Outcome:
    """An examination is over: what becomes of its order, for all who submitted it."""

    taken: Taken
    submissions: tuple[Submission, ...]


@dataclass
class HeadOrders:
    deliver_within: int = DELIVER_WITHIN
    _refused: RefusedOrders = field(default_factory=RefusedOrders)
    _deliveries: Deliveries = field(default_factory=Deliveries)
    _examinations: dict[str, Examination] = field(default_factory=dict)  # by text; the first is next

    def begin_view(self) -> None:
        """Whoever submitted something submits it again in the new view."""
        self._deliveries = Deliveries()
        self._examinations.clear()

    @property
    def examining(self) -> bool:
        return bool(self._examinations)

    def submitted(
        self, what: Amend, addr: str, id_: int, rows: Rows, items: ItemIndex, members: Iterable[str], now: int
    ) -> Taken | Examining:
        delivery = self._deliveries.by_body.get(what.body)
        if delivery is not None:
            delivery.submissions.joined(addr, id_)
            return Wait(delivery, begins=False)
        found = self._examinations.get(what.body)
        if found is None:
            found = Examination(what.body, _examine(what.body, rows, items), Submissions())
        found.submissions.joined(addr, id_)
        if len(what.body) >= LONG_BODY:
            self._examinations[what.body] = found
            return Examining()
        examined = _next_step(found.steps)
        while examined is None:
            examined = _next_step(found.steps)
        return self._take(found, examined, members, now)

    def examine(self, members: Iterable[str], now: int) -> Outcome | None:
        """One step of an examination, by turns; None: it is not over, or there is none.

        One whose step raises is dropped: whoever submitted its order submits it again.
        """
        if not self._examinations:
            return None
        first = self._examinations.pop(next(iter(self._examinations)))
        examined = _next_step(first.steps)
        if examined is None:
            self._examinations[first.body] = first
            return None
        return Outcome(self._take(first, examined, members, now), tuple(first.submissions))

    def _take(self, one: Examination, examined: Examined, members: Iterable[str], now: int) -> Taken:
        decision, order = examined.decision, examined.staged
        if not self._answers(one.body, decision, now):
            return NoAnswer()
        if order is None:
            return EnterNow(decision)
        until = now + self.deliver_within + PER_ROW * len(decision.rows)
        delivery = Delivery(one.body, decision.order, order, until, set(members), one.submissions)
        self._deliveries.begin(delivery)
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


def _examine(body: str, rows: Rows, items: ItemIndex) -> ExaminationSteps:
    """`rows`, `items`: all that the head holds, as it stands at each step."""
    try:
        order = yield from read_in_slices(body.encode())
    except Invalid as why:
        return Examined(Decision((), InvalidOrder(str(why))))
    yield
    decision = decide_order(order, rows, items)
    yield
    return Examined(decision, staged_order([row for row in decision.rows if row[0] in PUBLIC]))


def _next_step(steps: ExaminationSteps) -> Examined | None:
    """None: there are more."""
    try:
        next(steps)
    except StopIteration as end:
        examined: Examined = end.value
        return examined
    return None
