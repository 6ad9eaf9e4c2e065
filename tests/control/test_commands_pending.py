"""Pending commands, and the operator's calls that wait for them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from test_order_timelines import Mesh

from brackengate.control.actions import Answer
from brackengate.control.commands import (
    GIVE_UP_AFTER_US,
    HOLD_REFUSED_US,
    MAX_REFUSED_ORDERS,
    OPERATOR_TIMEOUT_US,
    RESUBMIT_AFTER_US,
    PendingCommands,
    RefusedOrders,
    operator_timeout_us,
)
from brackengate.control.operator_api import OperatorApi, answer_to
from brackengate.http.message import IncomingRequest
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
def test_a_refusal_of_an_earlier_submission_is_ignored(refused: CommandResult) -> None:
    """The later one may be accepted."""
    commands = PendingCommands(100)
    command = commands.add(ORDER, 7, 0)
    first, second = commands.submission(command, 1, 0).id, commands.submission(command, 1, 0).id
    assert commands.on_result(Result(first, refused)) is None
    assert commands.on_result(Result(second, refused)) == Answer(7, refused)
    assert commands.on_result(Result(second, refused)) is None
    assert not commands.by_id and not commands.command_of_submission


def test_an_acknowledgement_of_any_submission_is_the_result() -> None:
    commands = PendingCommands(100)
    command = commands.add(ORDER, 7, 0)
    first = commands.submission(command, 1, 0).id
    commands.submission(command, 2, 0)
    assert commands.on_result(Result(first, CommandDone())) == Answer(7, CommandDone())


def test_a_command_is_submitted_again_and_then_given_up() -> None:
    commands = PendingCommands(100)
    order, read = commands.add(ORDER, 7, 0, OPERATOR_TIMEOUT_US), commands.add(Read(), 8, 0)
    commands.submission(order, 1, 0)
    commands.submission(read, 1, 0)
    assert commands.due(RESUBMIT_AFTER_US) == []
    assert commands.due(RESUBMIT_AFTER_US + 1) == [order, read]
    assert commands.expired(OPERATOR_TIMEOUT_US) == []
    assert commands.expired(OPERATOR_TIMEOUT_US + 1) == [order]
    assert commands.expired(GIVE_UP_AFTER_US) == [order]
    assert commands.expired(GIVE_UP_AFTER_US + 1) == [order, read]


def test_refusals_are_remembered_for_a_while_and_up_to_a_number() -> None:
    refused = RefusedOrders()
    for n in range(MAX_REFUSED_ORDERS + 10):
        refused.add(f"order {n}", n)
    assert (len(refused.refused_at), refused.holds("order 9", n)) == (MAX_REFUSED_ORDERS, False)
    assert refused.holds("order 10", 10 + HOLD_REFUSED_US)
    assert not refused.holds("order 10", 11 + HOLD_REFUSED_US)
    large = "x" * (1 << 20)  # it may be in flight for longer
    refused.add(large, 0)
    assert refused.holds(large, operator_timeout_us(large))
    del refused.refused_at[large]
    refused.add("order 10", 2 * HOLD_REFUSED_US)
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
    """The client ends its call after a 400 or 409 and retries after a 503."""
    assert answer_to(result)[0] == status


class FakeReplicaProcess:
    """Records the commands that the operator API submits and withdraws."""

    def __init__(self) -> None:
        self.submitted: list[Command] = []
        self.withdrawn: list[int] = []

    def submit(self, what: Command, done: Callable[[Any], None], give_up_after: int) -> int:
        assert give_up_after == OPERATOR_TIMEOUT_US
        self.submitted.append(what)
        return len(self.submitted)

    def withdraw(self, number: int) -> None:
        self.withdrawn.append(number)


class Connection:
    def expect_answer(self, gone: Callable[[], None]) -> None:
        self.gone = gone


def arrival(call: str) -> IncomingRequest:
    return IncomingRequest(b"POST", b"/v1/rpc?call=" + call.encode(), [], b"{}", True, 0)


def test_an_order_is_withdrawn_when_its_caller_disconnects() -> None:
    process, connection = FakeReplicaProcess(), Connection()
    OperatorApi(process).begin(arrival("config.amend"), connection)  # type: ignore[arg-type]
    OperatorApi(process).begin(arrival("config.read"), Connection())  # type: ignore[arg-type]
    assert process.submitted == [ORDER, Read()]
    connection.gone()
    assert process.withdrawn == [1]


def test_a_command_is_submitted_again_with_a_growing_delay() -> None:
    """Guards against replicas that overload a busy head with repeated submissions."""
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
    mesh.run_for(1)
    before = head.replica.chain.index
    head.stalled_until = mesh.cluster.now + 200_000
    for host in mesh.hosts:
        for _ in range(100):
            host.ask(claim, answers.append)
    mesh.run_for(1)
    assert answers == [CommandDone()] * 301
    assert head.replica.chain.index - before <= 5
