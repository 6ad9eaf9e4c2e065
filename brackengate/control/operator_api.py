"""What the operator calls: configurations in, and read back."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import msgspec

from brackengate.control.commands import OPERATOR_PATIENCE, patience_for
from brackengate.http.message import Arrival, Bad
from brackengate.net.http import CallerConnection
from brackengate.protocol.http_api import MAX_BODY_BYTES, collect_body, parse_rpc_target
from brackengate.protocol.messages import (
    Amend,
    Command,
    CommandDone,
    CommandResult,
    Configuration,
    ConflictingChange,
    HeldBy,
    InvalidChange,
    Read,
    UndecidedChange,
)

log = logging.getLogger("brackengate.control")

JSON = b"application/json"


class CommandSubmitter(Protocol):
    def submit(
        self, what: Command, done: Callable[[CommandResult | None], None], give_up_after: int
    ) -> int: ...

    def withdraw(self, number: int) -> None: ...


class OperatorApi:
    most_body = MAX_BODY_BYTES

    def __init__(self, submitter: CommandSubmitter) -> None:
        self._submitter = submitter

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        call, _ = parse_rpc_target(arrival.target)
        if call == "config.amend":
            connection.hold(lambda: None)
            collect_body(arrival, lambda body: self._amend(body, connection))
        elif call == "config.read":
            self._ask(Read(), connection, call)
        else:
            raise Bad(404, "no such call")

    def _amend(self, body: bytes, connection: CallerConnection) -> None:
        try:
            text = body.decode()
        except UnicodeDecodeError:
            connection.respond(400, _error("not UTF-8"), JSON)
            return
        self._ask(Amend(text), connection, "config.amend", patience_for(text))

    def _ask(
        self, what: Command, connection: CallerConnection, call: str, patience: int = OPERATOR_PATIENCE
    ) -> None:
        """A caller that goes may be refused elsewhere: its call is not pursued any more."""
        number = self._submitter.submit(what, lambda result: self._answer(connection, call, result), patience)
        connection.hold(lambda: self._submitter.withdraw(number))

    def _answer(self, connection: CallerConnection, call: str, result: CommandResult | None) -> None:
        status, body = answer_to(result)
        if status != 200:
            log.info("control: %s: %d: %s", call, status, body.decode(errors="replace"))
        connection.respond(status, body, JSON)


def answer_to(result: CommandResult | None) -> tuple[int, bytes]:
    """Status and body.  A 400 or 409 ends the operator's call; after a 503 it is sent again."""
    match result:
        case Configuration(content):
            return 200, msgspec.json.encode(content)
        case InvalidChange(reason):
            return 400, _error(reason)
        case ConflictingChange(reason):
            return 409, _error(reason)
        case UndecidedChange(reason):
            return 503, _error(reason)
        case None | HeldBy():
            return 503, _error("the core did not agree in time")
        case CommandDone():
            return 200, b"{}"


def _error(reason: str) -> bytes:
    return msgspec.json.encode({"Error": reason})
