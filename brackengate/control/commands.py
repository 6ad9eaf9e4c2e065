"""Commands: those that wait at the replica they came to, and what the head decides of each.  Pure.

A command may come to any replica, which submits it to the head again and again until it hears the result;
submitting it twice does no harm, as each command says what is wanted and not a step towards it.  The head
decides it against all that it holds, and its result is told once every entry up to that point is agreed.
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
from brackengate.control.rows import KEY
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

RESUBMIT_AFTER = 400_000  # a command without a result is submitted again, microseconds
RESUBMIT_DOUBLINGS = 2  # each time after twice as long, so often: a head that is too full is not made fuller
FOLLOWER_PATIENCE = 5_000_000  # a follower waits no longer for the result of its command
UNDERWAY = 1_600_000  # that much later, while the head is at work on it
GIVE_UP_AFTER = 12_000_000  # and forgotten
OPERATOR_PATIENCE = 2_000_000  # an operator goes elsewhere after a second: no longer is its call pursued
PATIENCE_PER_BYTE = 20  # and longer with a large order, which is delivered first: 4 ms for each route
HOLD_REFUSED = 4_000_000  # longer than that, and than its last submission can be under way; and for each
# byte as much longer as its call is pursued
MOST_REFUSED = 1_000  # orders whose refusal a head remembers
HISTORY = "history"  # rows of what was acknowledged of an item, see `config_changes.py`
REFUSALS = (HeldBy, InvalidChange, ConflictingChange, UndecidedChange)

DONE = CommandDone()
EMPTY_ORDER = ConfigChange()

Rows = Mapping[ItemName, tuple[int, Any]]


@dataclass(slots=True)
class PendingCommand:
    """A command that came to this replica and waits for its result."""

    what: Command
    at: int
    sent: int
    local: int  # the carrier's number
    give_up_after: int
    numbers: list[int] = field(default_factory=list)  # one for each time that it was submitted

    def due(self, now: int) -> bool:
        """Whether it is to be submitted again."""
        doublings = min(max(0, len(self.numbers) - 1), RESUBMIT_DOUBLINGS)
        return now - self.sent > RESUBMIT_AFTER << doublings


@dataclass(slots=True)
class PendingReply:
    """What the head says once an index is agreed.  `result` None: read when it is said."""

    index: int
    addr: str
    id: int
    result: CommandResult | None


@dataclass(slots=True)
class PendingCommands:
    """The commands that came to this replica, and the numbers under which each was submitted.

    `last_id` begins at the steady clock, so that no number of an earlier life comes again: messages for
    those may still be under way.
    """

    last_id: int
    by_id: dict[int, PendingCommand] = field(default_factory=dict)
    command_of: dict[int, int] = field(default_factory=dict)  # by the number of a submission

    def add(self, what: Command, local: int, now: int, give_up_after: int = GIVE_UP_AFTER) -> int:
        self.last_id += 1
        self.by_id[self.last_id] = PendingCommand(what, now, now, local, give_up_after)
        return self.last_id

    def submission(self, command_id: int, epoch: int, now: int) -> Submit:
        """Under a new number, which tells this submission from the ones before."""
        pending = self.by_id[command_id]
        pending.sent = now
        self.last_id += 1
        pending.numbers.append(self.last_id)
        self.command_of[self.last_id] = command_id
        return Submit(self.last_id, pending.what, epoch)

    def underway(self, number: int, now: int) -> None:
        """The head has it, and is at work on it."""
        command_id = self.command_of.get(number)
        if command_id is not None:
            self.by_id[command_id].sent = now + UNDERWAY

    def resolved(self, word: Result) -> Answer | None:
        """None: nobody waits for it, or it may still come to another end."""
        command_id = self.command_of.get(word.id)
        if command_id is None:
            return None
        latest = self.by_id[command_id].numbers[-1]
        if word.id != latest and isinstance(word.result, REFUSALS):
            return None  # turned down, but it was submitted again
        return self.settle(command_id, word.result)

    def settle(self, command_id: int, result: Any) -> Answer:
        pending = self.by_id.pop(command_id)
        for number in pending.numbers:
            del self.command_of[number]
        return Answer(pending.local, result)

    def withdraw(self, local: int) -> None:
        """Nobody waits for it any more, so it is not submitted again.

        Whoever asked may have been refused elsewhere meanwhile, and what was refused must not come into
        force by a late copy.
        """
        for command_id, pending in list(self.by_id.items()):
            if pending.local == local:
                self.settle(command_id, None)

    def expired(self, now: int) -> list[int]:
        return [number for number, one in self.by_id.items() if now - one.at > one.give_up_after]

    def due(self, now: int) -> list[int]:
        """Those that are to be submitted again."""
        return [number for number, one in self.by_id.items() if one.due(now)]


def patience_for(body: str) -> int:
    """For how long the call of an operator is pursued."""
    return OPERATOR_PATIENCE + _more_patience(body)


def _more_patience(body: str) -> int:
    return PATIENCE_PER_BYTE * max(0, len(body) - MIN_STAGED_BYTES)


@dataclass(slots=True)
class RefusedOrders:
    """The orders that this replica refused lately as the head, by their text.

    Another copy of one may be under way still, sent to another replica before.  It must not come into force
    behind the refusal, so for a while such an order is not taken, and no answer is given: a late copy ends
    there, and an operator who sends it again is heard once the time is over.
    """

    refused_at: dict[str, int] = field(default_factory=dict)

    def add(self, body: str, now: int) -> None:
        self.refused_at.pop(body, None)
        self.refused_at[body] = now
        for old in list(self.refused_at):
            if self.holds(old, now) and len(self.refused_at) <= MOST_REFUSED:
                break
            del self.refused_at[old]

    def holds(self, body: str, now: int) -> bool:
        refused_at = self.refused_at.get(body)
        return refused_at is not None and now - refused_at <= HOLD_REFUSED + _more_patience(body)


@dataclass(frozen=True, slots=True)
class Decision:
    """The rows that a command sets, and its result.  `result` None: read when it is said."""

    rows: tuple[Row, ...]
    result: CommandResult | None = DONE
    order: ConfigChange = EMPTY_ORDER  # as it was read, of an order that was taken


def decide(what: Command, rows: Rows, items: ItemIndex) -> Decision:
    """At the head.  `rows`, `items`: all that it holds, agreed or not yet."""
    match what:
        case Amend(body):
            return _read_and_decide(body, rows, items)
        case Read():
            return Decision((), None)
        case Claim():
            return _decide_claim(what, rows)
        case Unclaim(key, gate, attempt):
            held = _value(rows, (KEY, key))
            return Decision(((KEY, key, None),) if held == [gate, attempt] else ())
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
    decision = config_changes.decide(order, items, partial(_history, rows))
    news: list[Row] = [
        (kind, name, [item.version, item.host, item.body]) for (kind, name), item in decision.items.items()
    ]
    for name, history in decision.histories.items():
        news.append((HISTORY, _history_name(name), msgspec.to_builtins(history)))
    return Decision(tuple(news), decision.result, order)


def _history_name(name: ItemName) -> str:
    return " ".join(name)


def _history(rows: Rows, name: ItemName) -> config_changes.History:
    held = rows.get((HISTORY, _history_name(name)))
    return msgspec.convert(held[1], config_changes.History) if held is not None else config_changes.History()


def _decide_claim(claim: Claim, rows: Rows) -> Decision:
    held = _value(rows, (KEY, claim.key))
    if held is None or held == [claim.owner, claim.replaces]:
        return Decision(((KEY, claim.key, [claim.owner, claim.attempt]),))
    if held == [claim.owner, claim.attempt]:
        return Decision(())
    return Decision((), HeldBy(held[0], held[1]))
