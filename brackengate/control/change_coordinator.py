"""Configuration changes at the head: which are appended at once, and which are delivered first.  No I/O.

A change is decided when it is appended to the log, against everything that the head holds then; the decision
made when its delivery began says only that it is worth delivering.  A long document is parsed some routes at
a time, so that the head goes on answering meanwhile.  Times are microseconds of a monotonic clock.
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

# A large change waits for its followers for this long at most, plus `DELIVERY_US_PER_ROW` for each row.
MAX_DELIVERY_US = 1_200_000
SLICED_BODY_BYTES = 64 << 10  # a document of this size or more is examined in slices


@dataclass(frozen=True, slots=True)
class AppendNow:
    """The change is small or has no effect: append its rows at once."""

    decision: Decision


@dataclass(frozen=True, slots=True)
class AwaitDelivery:
    """The change is being delivered.  `begins`: the delivery starts with this submission."""

    delivery: Delivery
    begins: bool


class Examining:
    """The change is being examined in slices."""


class LeaveUnanswered:
    """Send no answer: it may be a late duplicate of a change that was rejected."""


SubmissionOutcome = AppendNow | AwaitDelivery | LeaveUnanswered


@dataclass(frozen=True, slots=True)
class DecidedDelivery:
    """A delivery has ended: the decision on its change, for all who submitted it."""

    delivery: Delivery
    decision: Decision


@dataclass(frozen=True, slots=True)
class ExaminationResult:
    """What a change would do now; `staged`: its rows, if they are to be delivered first."""

    decision: Decision
    staged: StagedChange | None = None


ExaminationSteps = Generator[None, None, ExaminationResult]


@dataclass(slots=True)
class Examination:
    """A change that is being parsed and decided, with all its submissions."""

    body: str
    steps: ExaminationSteps
    submissions: Submissions


@dataclass(frozen=True, slots=True)
class ExaminationOutcome:
    """An examination has ended: what is to be done with its change, for all who submitted it."""

    outcome: SubmissionOutcome
    submissions: tuple[Submission, ...]


@dataclass
class ChangeCoordinator:
    """The changes that this head examines and delivers, and those that it rejected lately."""

    deliver_within: int = MAX_DELIVERY_US
    _refused: RefusedOrders = field(default_factory=RefusedOrders)
    _deliveries: Deliveries = field(default_factory=Deliveries)
    _examinations: dict[str, Examination] = field(default_factory=dict)  # by document; the first is next

    def begin_view(self) -> None:
        """Forgets all submissions: replicas submit them again in the new view."""
        self._deliveries = Deliveries()
        self._examinations.clear()

    @property
    def examining(self) -> bool:
        """Whether `examine` has work to do."""
        return bool(self._examinations)

    def submit(
        self, what: Amend, addr: str, id_: int, rows: Rows, items: ItemIndex, members: Iterable[str], now: int
    ) -> SubmissionOutcome | Examining:
        """Takes a submission of the replica `addr`; a change that is known already gets one more."""
        delivery = self._deliveries.by_body.get(what.body)
        if delivery is not None:
            delivery.submissions.add(addr, id_)
            return AwaitDelivery(delivery, begins=False)
        found = self._examinations.get(what.body)
        if found is None:
            found = Examination(what.body, _examine(what.body, rows, items), Submissions())
        found.submissions.add(addr, id_)
        if len(what.body) >= SLICED_BODY_BYTES:
            self._examinations[what.body] = found
            return Examining()
        examined = _next_step(found.steps)
        while examined is None:
            examined = _next_step(found.steps)
        return self._conclude(found, examined, members, now)

    def examine(self, members: Iterable[str], now: int) -> ExaminationOutcome | None:
        """Runs one step of an examination, in turn.  None: it is not finished, or there is none.

        An examination whose step raises is dropped: replicas submit its change again.
        """
        if not self._examinations:
            return None
        first = self._examinations.pop(next(iter(self._examinations)))
        examined = _next_step(first.steps)
        if examined is None:
            self._examinations[first.body] = first
            return None
        return ExaminationOutcome(self._conclude(first, examined, members, now), tuple(first.submissions))

    def _conclude(
        self, one: Examination, examined: ExaminationResult, members: Iterable[str], now: int
    ) -> SubmissionOutcome:
        decision, staged = examined.decision, examined.staged
        if not self._may_answer(one.body, decision, now):
            return LeaveUnanswered()
        if staged is None:
            return AppendNow(decision)
        until = now + self.deliver_within + DELIVERY_US_PER_ROW * len(decision.rows)
        delivery = Delivery(one.body, decision.order, staged, until, set(members), one.submissions)
        self._deliveries.begin(delivery)
        return AwaitDelivery(delivery, begins=True)

    def delivered(self, id_: str, addr: str) -> None:
        """Records that the followers of the member `addr` hold this change."""
        self._deliveries.delivered(id_, addr)

    def take_due(self, rows: Rows, items: ItemIndex, now: int) -> DecidedDelivery | None:
        """Takes the next change whose delivery has ended; the caller appends it before it calls again."""
        delivery = self._deliveries.take_over(now)
        if delivery is None:
            return None
        decision = decide_order(delivery.change, rows, items)
        if not self._may_answer(delivery.body, decision, now):
            return self.take_due(rows, items, now)
        return DecidedDelivery(delivery, decision)

    def _may_answer(self, body: str, decision: Decision, now: int) -> bool:
        """Remembers a rejection.  False: the change would take effect after it was rejected lately."""
        if isinstance(decision.result, REFUSALS):
            self._refused.add(body, now)
            return True
        return not decision.rows or not self._refused.holds(body, now)


def _examine(body: str, rows: Rows, items: ItemIndex) -> ExaminationSteps:
    """Steps that parse and decide a document.  `rows`, `items`: live views of all that the head holds."""
    try:
        change = yield from parse_in_slices(body.encode())
    except InvalidConfig as why:
        return ExaminationResult(Decision((), InvalidChange(str(why))))
    yield
    decision = decide_order(change, rows, items)
    yield
    return ExaminationResult(decision, stage_change([row for row in decision.rows if row[0] in PUBLIC_KINDS]))


def _next_step(steps: ExaminationSteps) -> ExaminationResult | None:
    """Runs one step.  None: there are more."""
    try:
        next(steps)
    except StopIteration as end:
        examined: ExaminationResult = end.value
        return examined
    return None
