"""Commands for the replicated state machine: pending ones, and how the head decides each.  Pure.

A client may submit a command at any replica, which submits it to the head repeatedly until it receives the
result; submitting it twice does no harm, as commands are idempotent: each names the wanted state.  The head
decides a command against all rows that it holds, and sends the result once every entry up to that point is
committed.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from brackengate.control import config_changes
from brackengate.control.actions import Answer
from brackengate.control.item_index import ItemIndex
from brackengate.control.rows import KEY_KIND
from brackengate.control.staging import MIN_STAGED_BYTES
from brackengate.protocol.config_items import ConfigChange, InvalidConfig, ItemName, parse_change
from brackengate.protocol.messages import (
    Amend,
    Claim,
    Command,
    CommandDone,
    CommandResult,
    ConflictingChange,
    HeldBy,
    InvalidChange,
    Read,
    ReportUpstream,
    Result,
    Row,
    Submit,
    Suspect,
    Unclaim,
    UndecidedChange,
)

RESUBMIT_AFTER_US = 400_000  # without a result
MAX_RESUBMIT_DOUBLINGS = 2  # of the time before a resubmission, so as not to overload the head further
FOLLOWER_TIMEOUT_US = 5_000_000  # for the result of a follower's command
UNDERWAY_EXTENSION_US = 1_600_000  # later resubmission while the head works on the command
GIVE_UP_AFTER_US = 12_000_000  # a command without a result is dropped
OPERATOR_TIMEOUT_US = 2_000_000  # an operator's client tries another replica after a second
TIMEOUT_PER_BYTE_US = 20  # in addition: a large order is delivered first; 4 ms for each route
# Longer than OPERATOR_TIMEOUT_US plus the time that the last submission may be in flight; extended for each
# byte like the timeout.
HOLD_REFUSED_US = 4_000_000
MAX_REFUSED_ORDERS = 1_000  # orders whose refusal a head remembers
HISTORY_KIND = "history"  # rows with the acknowledged versions of an item, see `orders.py`
REFUSALS = (HeldBy, InvalidChange, ConflictingChange, UndecidedChange)

DONE = CommandDone()
EMPTY_ORDER = ConfigChange()

Rows = Mapping[ItemName, tuple[int, Any]]


@dataclass(slots=True)
class PendingCommand:
    """A command that was submitted at this replica and waits for its result."""

    command: Command
    submitted_at: int
    last_sent_at: int
    request_id: int  # the caller's id
    give_up_after: int  # microseconds
    submission_ids: list[int] = field(default_factory=list)  # one for each submission

    def due(self, now: int) -> bool:
        """Whether it must be submitted again."""
        doublings = min(max(0, len(self.submission_ids) - 1), MAX_RESUBMIT_DOUBLINGS)
        return now - self.last_sent_at > RESUBMIT_AFTER_US << doublings


@dataclass(slots=True)
class PendingReply:
    """A reply that the head sends once an index is committed.  `result` None: read when it is sent."""

    index: int
    addr: str
    id: int
    result: CommandResult | None


@dataclass(slots=True)
class PendingCommands:
    """The commands that were submitted at this replica, and the ids of their submissions to the head.

    `last_id` starts at the monotonic clock, so that no id of an earlier incarnation is reused: messages with
    such ids may still be in flight.
    """

    last_id: int
    by_id: dict[int, PendingCommand] = field(default_factory=dict)
    command_of_submission: dict[int, int] = field(default_factory=dict)  # by submission id

    def add(self, command: Command, request_id: int, now: int, give_up_after: int = GIVE_UP_AFTER_US) -> int:
        """Adds a command; returns its id."""
        self.last_id += 1
        self.by_id[self.last_id] = PendingCommand(command, now, now, request_id, give_up_after)
        return self.last_id

    def submission(self, command_id: int, epoch: int, now: int) -> Submit:
        """The message that submits a command, with a new id to distinguish it from earlier submissions."""
        pending = self.by_id[command_id]
        pending.last_sent_at = now
        self.last_id += 1
        pending.submission_ids.append(self.last_id)
        self.command_of_submission[self.last_id] = command_id
        return Submit(self.last_id, pending.command, epoch)

    def on_underway(self, number: int, now: int) -> None:
        """The head is working on the command of this submission: resubmit it later."""
        command_id = self.command_of_submission.get(number)
        if command_id is not None:
            self.by_id[command_id].last_sent_at = now + UNDERWAY_EXTENSION_US

    def on_result(self, result_message: Result) -> Answer | None:
        """The answer for the caller; None if nobody waits, or if a later submission may succeed."""
        command_id = self.command_of_submission.get(result_message.id)
        if command_id is None:
            return None
        latest = self.by_id[command_id].submission_ids[-1]
        if result_message.id != latest and isinstance(result_message.result, REFUSALS):
            return None  # refused, but it was submitted again since
        return self.finish(command_id, result_message.result)

    def finish(self, command_id: int, result: Any) -> Answer:
        """Removes a command; returns the answer for its caller."""
        pending = self.by_id.pop(command_id)
        for number in pending.submission_ids:
            del self.command_of_submission[number]
        return Answer(pending.request_id, result)

    def withdraw(self, request_id: int) -> None:
        """Removes a command that its caller no longer waits for, so that it is not submitted again.

        The caller may have been refused by another replica meanwhile, and a refused command must not take
        effect through a late submission.
        """
        for command_id, pending in list(self.by_id.items()):
            if pending.request_id == request_id:
                self.finish(command_id, None)

    def expired(self, now: int) -> list[int]:
        """The ids of the commands that have waited for longer than their `give_up_after`."""
        return [
            number
            for number, pending in self.by_id.items()
            if now - pending.submitted_at > pending.give_up_after
        ]

    def due(self, now: int) -> list[int]:
        """The ids of the commands that must be submitted again."""
        return [number for number, pending in self.by_id.items() if pending.due(now)]


def operator_timeout_us(body: str) -> int:
    """How long an operator's call is pursued before the replica gives up."""
    return OPERATOR_TIMEOUT_US + _extra_timeout_us(body)


def _extra_timeout_us(body: str) -> int:
    return TIMEOUT_PER_BYTE_US * max(0, len(body) - MIN_STAGED_BYTES)


@dataclass(slots=True)
class RefusedOrders:
    """The orders that this replica recently refused as the head, by their text.

    Another submission of such an order, sent to another replica before, may still be in flight.  It must not
    take effect after the refusal, so for a while the order is neither accepted nor answered: a late
    submission is dropped, and an operator who sends it again is answered once the time is over.
    """

    refused_at: dict[str, int] = field(default_factory=dict)

    def add(self, body: str, now: int) -> None:
        """Remembers a refusal and drops those that are too old or too many."""
        self.refused_at.pop(body, None)
        self.refused_at[body] = now
        for old in list(self.refused_at):
            if self.holds(old, now) and len(self.refused_at) <= MAX_REFUSED_ORDERS:
                break
            del self.refused_at[old]

    def holds(self, body: str, now: int) -> bool:
        """Whether this order was refused recently."""
        refused_at = self.refused_at.get(body)
        return refused_at is not None and now - refused_at <= HOLD_REFUSED_US + _extra_timeout_us(body)


@dataclass(frozen=True, slots=True)
class Decision:
    """The rows that a command sets, and its result.  `result` None: read when it is sent."""

    rows: tuple[Row, ...]
    result: CommandResult | None = DONE
    order: ConfigChange = EMPTY_ORDER  # as parsed, if an order was accepted


def decide(command: Command, rows: Rows, items: ItemIndex) -> Decision:
    """Decides a command at the head.  `rows`, `items`: all that it holds, committed or not."""
    match command:
        case Amend(body):
            return _read_and_decide(body, rows, items)
        case Read():
            return Decision((), None)
        case Claim():
            return _decide_claim(command, rows)
        case Unclaim(key, gate, attempt):
            held = _value(rows, (KEY_KIND, key))
            return Decision(((KEY_KIND, key, None),) if held == [gate, attempt] else ())
        case ReportUpstream(name, value):
            changed = _value(rows, ("inst", name)) != value
            return Decision((("inst", name, value),) if changed else ())
        case Suspect(watcher, silent):
            changed = list(_value(rows, ("silent", watcher)) or ()) != list(silent)
            return Decision((("silent", watcher, list(silent) or None),) if changed else ())


def _value(rows: Rows, name: ItemName) -> Any:
    held = rows.get(name)
    return held[1] if held is not None else None


def _read_and_decide(body: str, rows: Rows, items: ItemIndex) -> Decision:
    try:
        order = parse_change(body.encode())
    except InvalidConfig as why:
        return Decision((), InvalidChange(str(why)))
    return decide_order(order, rows, items)


def decide_order(order: ConfigChange, rows: Rows, items: ItemIndex) -> Decision:
    """Decides a parsed order, as `decide`."""
    decision = config_changes.decide(order, items, partial(_history, rows))
    rows_set: list[Row] = [
        (kind, name, [item.version, item.host, item.body]) for (kind, name), item in decision.items.items()
    ]
    for name, history in decision.histories.items():
        rows_set.append((HISTORY_KIND, _history_name(name), msgspec.to_builtins(history)))
    return Decision(tuple(rows_set), decision.result, order)


def _history_name(name: ItemName) -> str:
    return " ".join(name)


def _history(rows: Rows, name: ItemName) -> config_changes.History:
    held = rows.get((HISTORY_KIND, _history_name(name)))
    return msgspec.convert(held[1], config_changes.History) if held is not None else config_changes.History()


def _decide_claim(claim: Claim, rows: Rows) -> Decision:
    held = _value(rows, (KEY_KIND, claim.key))
    if held is None or held == [claim.owner, claim.replaces]:
        return Decision(((KEY_KIND, claim.key, [claim.owner, claim.attempt]),))
    if held == [claim.owner, claim.attempt]:
        return Decision(())
    return Decision((), HeldBy(held[0], held[1]))
