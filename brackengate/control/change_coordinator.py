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
    DELIVERY_US_PER_ROW,
    Deliveries,
    Delivery,
    StagedChange,
    Submission,
    Submissions,
    stage_change,
)
from brackengate.protocol.config_items import InvalidConfig, parse_in_slices
from brackengate.protocol.messages import PUBLIC_KINDS, Amend, InvalidChange

# A large order waits so long for its followers at the most, and `DELIVERY_US_PER_ROW`.
MAX_DELIVERY_US = 1_200_000
SLICED_BODY_BYTES = 64 << 10  # bytes of a call: a longer one is examined in slices


@dataclass(frozen=True, slots=True)
class AppendNow:
    decision: Decision


@dataclass(frozen=True, slots=True)
class AwaitDelivery:
    """Its delivery is under way.  `begins`: with this submission."""

    delivery: Delivery
    begins: bool


class Examining:
    """It is being read."""


class LeaveUnanswered:
    """It may be a late copy of an order that was refused."""


SubmissionOutcome = AppendNow | AwaitDelivery | LeaveUnanswered


@dataclass(frozen=True, slots=True)
class DecidedDelivery:
    """A delivery is over: what is decided of its order, for all who submitted it."""

    delivery: Delivery
    decision: Decision


@dataclass(frozen=True, slots=True)
class ExaminationResult:
    """What an order would do now; `staged`: its rows, if they are to be delivered first."""

    decision: Decision
    staged: StagedChange | None = None


ExaminationSteps = Generator[None, None, ExaminationResult]


@dataclass(slots=True)
class Examination:
    body: str
    steps: ExaminationSteps
    submissions: Submissions


@dataclass(frozen=True, slots=True)
class ExaminationOutcome:
    """An examination is over: what becomes of its order, for all who submitted it."""

    taken: SubmissionOutcome
    submissions: tuple[Submission, ...]


@dataclass
class ChangeCoordinator:
    deliver_within: int = MAX_DELIVERY_US
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
    ) -> SubmissionOutcome | Examining:
        delivery = self._deliveries.by_body.get(what.body)
        if delivery is not None:
            delivery.submissions.joined(addr, id_)
            return AwaitDelivery(delivery, begins=False)
        found = self._examinations.get(what.body)
        if found is None:
            found = Examination(what.body, _examine(what.body, rows, items), Submissions())
        found.submissions.joined(addr, id_)
        if len(what.body) >= SLICED_BODY_BYTES:
            self._examinations[what.body] = found
            return Examining()
        examined = _next_step(found.steps)
        while examined is None:
            examined = _next_step(found.steps)
        return self._take(found, examined, members, now)

    def examine(self, members: Iterable[str], now: int) -> ExaminationOutcome | None:
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
        return ExaminationOutcome(self._take(first, examined, members, now), tuple(first.submissions))

    def _take(
        self, one: Examination, examined: ExaminationResult, members: Iterable[str], now: int
    ) -> SubmissionOutcome:
        decision, order = examined.decision, examined.staged
        if not self._answers(one.body, decision, now):
            return LeaveUnanswered()
        if order is None:
            return AppendNow(decision)
        until = now + self.deliver_within + DELIVERY_US_PER_ROW * len(decision.rows)
        delivery = Delivery(one.body, decision.order, order, until, set(members), one.submissions)
        self._deliveries.begin(delivery)
        return AwaitDelivery(delivery, begins=True)

    def delivered(self, id_: str, addr: str) -> None:
        """The followers of that member hold that order."""
        self._deliveries.delivered(id_, addr)

    def take_due(self, rows: Rows, items: ItemIndex, now: int) -> DecidedDelivery | None:
        """The next order whose delivery is over; to be entered before the one after it is asked for."""
        delivery = self._deliveries.take_over(now)
        if delivery is None:
            return None
        decision = decide_order(delivery.read, rows, items)
        if not self._answers(delivery.body, decision, now):
            return self.take_due(rows, items, now)
        return DecidedDelivery(delivery, decision)

    def _answers(self, body: str, decision: Decision, now: int) -> bool:
        if isinstance(decision.result, REFUSALS):
            self._refused.add(body, now)
            return True
        return not decision.rows or not self._refused.holds(body, now)


def _examine(body: str, rows: Rows, items: ItemIndex) -> ExaminationSteps:
    """`rows`, `items`: all that the head holds, as it stands at each step."""
    try:
        order = yield from parse_in_slices(body.encode())
    except InvalidConfig as why:
        return ExaminationResult(Decision((), InvalidChange(str(why))))
    yield
    decision = decide_order(order, rows, items)
    yield
    return ExaminationResult(decision, stage_change([row for row in decision.rows if row[0] in PUBLIC_KINDS]))


def _next_step(steps: ExaminationSteps) -> ExaminationResult | None:
    """None: there are more."""
    try:
        next(steps)
    except StopIteration as end:
        examined: ExaminationResult = end.value
        return examined
    return None
