"""Commands that wait for their results, and the operator's calls behind them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from test_order_timelines import Mesh

from brackengate.control.actions import Answer
from brackengate.control.commands import (
    GIVE_UP_AFTER,
    HOLD_REFUSED,
    MOST_REFUSED,
    OPERATOR_PATIENCE,
    RESUBMIT_AFTER,
    PendingCommands,
    RefusedOrders,
    patience_for,
)
from brackengate.control.operator_api import OperatorApi, answer_to
from brackengate.http.message import Arrival
from brackengate.protocol.messages import (
    Amend,
    Claim,
    Command,
    CommandDone,
    CommandResult,
    Configuration,
    ConflictingChange,
    HeldBy,
    InvalidChange,
    Message,
    Read,
    Result,
    UndecidedChange,
)

ORDER = Amend("{}")
REFUSED: list[CommandResult] = [
    HeldBy("g", "1"),
    InvalidChange("why"),
    ConflictingChange("why"),
    UndecidedChange("why"),
]


@pytest.mark.parametrize("refused", REFUSED)
def test_a_refusal_of_an_earlier_submission_is_no_result(refused: CommandResult) -> None:
    """The later one may be taken."""
    commands = PendingCommands(100)
    command = commands.add(ORDER, 7, 0)
    first, second = commands.submission(command, 1, 0).id, commands.submission(command, 1, 0).id
    assert commands.resolved(Result(first, refused)) is None
    assert commands.resolved(Result(second, refused)) == Answer(7, refused)
    assert commands.resolved(Result(second, refused)) is None
    assert not commands.by_id and not commands.command_of


def test_an_acknowledgement_of_any_submission_is_the_result() -> None:
    commands = PendingCommands(100)
    command = commands.add(ORDER, 7, 0)
    first = commands.submission(command, 1, 0).id
    commands.submission(command, 2, 0)
    assert commands.resolved(Result(first, CommandDone())) == Answer(7, CommandDone())


def test_a_command_is_submitted_again_and_then_given_up() -> None:
    commands = PendingCommands(100)
    order, read = commands.add(ORDER, 7, 0, OPERATOR_PATIENCE), commands.add(Read(), 8, 0)
    commands.submission(order, 1, 0)
    commands.submission(read, 1, 0)
    assert commands.due(RESUBMIT_AFTER) == []
    assert commands.due(RESUBMIT_AFTER + 1) == [order, read]
    assert commands.expired(OPERATOR_PATIENCE) == []
    assert commands.expired(OPERATOR_PATIENCE + 1) == [order]
    assert commands.expired(GIVE_UP_AFTER) == [order]
    assert commands.expired(GIVE_UP_AFTER + 1) == [order, read]


def test_refusals_are_remembered_for_a_while_and_up_to_a_number() -> None:
    refused = RefusedOrders()
    for n in range(MOST_REFUSED + 10):
        refused.add(f"order {n}", n)
    assert (len(refused.refused_at), refused.holds("order 9", n)) == (MOST_REFUSED, False)
    assert refused.holds("order 10", 10 + HOLD_REFUSED)
    assert not refused.holds("order 10", 11 + HOLD_REFUSED)
    large = "x" * (1 << 20)  # it may be under way for longer
    refused.add(large, 0)
    assert refused.holds(large, patience_for(large))
    del refused.refused_at[large]
    refused.add("order 10", 2 * HOLD_REFUSED)
    assert list(refused.refused_at) == ["order 10"]


@pytest.mark.parametrize("result", [*REFUSED, CommandDone(), Configuration({"Plants": []}), None])
def test_a_result_is_read_as_it_was_written(result: CommandResult | None) -> None:
    assert msgspec.json.decode(msgspec.json.encode(Result(5, result)), type=Message) == Result(5, result)


@pytest.mark.parametrize(
    ("result", "status"),
    [
        (CommandDone(), 200),
        (Configuration({"Plants": []}), 200),
        (InvalidChange("why"), 400),
        (ConflictingChange("why"), 409),
        (UndecidedChange("why"), 503),
        (None, 503),
    ],
)
def test_what_an_operator_is_answered(result: CommandResult | None, status: int) -> None:
    """400 and 409 end its call; after a 503 it is sent again."""
    assert answer_to(result)[0] == status


class Asks:
    """Stands for the replica's process."""

    def __init__(self) -> None:
        self.asked: list[Command] = []
        self.withdrawn: list[int] = []

    def submit(self, what: Command, done: Callable[[Any], None], give_up_after: int) -> int:
        assert give_up_after == OPERATOR_PATIENCE
        self.asked.append(what)
        return len(self.asked)

    def withdraw(self, number: int) -> None:
        self.withdrawn.append(number)


class Connection:
    def hold(self, gone: Callable[[], None]) -> None:
        self.gone = gone


def arrival(call: str) -> Arrival:
    return Arrival(b"POST", b"/v1/rpc?call=" + call.encode(), [], b"{}", True, 0)


def test_an_order_whose_caller_goes_is_withdrawn() -> None:
    asks, connection = Asks(), Connection()
    OperatorApi(asks).begin(arrival("config.amend"), connection)  # type: ignore[arg-type]
    OperatorApi(asks).begin(arrival("config.read"), Connection())  # type: ignore[arg-type]
    assert asks.asked == [ORDER, Read()]
    connection.gone()
    assert asks.withdrawn == [1]


def test_a_command_is_submitted_again_after_longer_and_longer() -> None:
    """Guards against replicas that keep a head full with what it has not come to yet."""
    commands, now, at = PendingCommands(100), 0, list[int]()
    command = commands.add(Read(), 8, 0)
    commands.submission(command, 1, 0)
    while now < 5_000_000:
        now += 1_000
        if commands.due(now):
            commands.submission(command, 1, now)
            at.append(now // 100_000)
    assert at == [4, 12, 28, 44]


def test_commands_that_set_nothing_share_an_entry_while_the_disk_is_busy() -> None:
    """
    head  |claim k|====disk is busy====|claim k, 300 times|   all are answered, by a few entries
    """
    mesh, answers = Mesh(members=3), list[Any]()
    head = mesh.head()
    assert head.replica is not None
    claim = Claim("k", "g", "1", "")
    head.ask(claim, answers.append)
    mesh.passes(1)
    before = head.replica.chain.index
    head.stalled_until = mesh.core.now + 200_000
    for host in mesh.hosts:
        for _ in range(100):
            host.ask(claim, answers.append)
    mesh.passes(1)
    assert answers == [CommandDone()] * 301
    assert head.replica.chain.index - before <= 5
