"""What the operator calls: configurations in, and read back."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from brackengate.http.message import Arrival, Bad
from brackengate.net.http import CallerConnection
from brackengate.signals.door import MOST_BODY, collect, rpc
from brackengate.signals.words import Amend, Command, Read

log = logging.getLogger("brackengate.control")

JSON = b"application/json"


class Asks(Protocol):
    def ask(self, what: Command, done: Callable[[Any], None]) -> None: ...


class Control:
    most_body = MOST_BODY

    def __init__(self, asks: Asks) -> None:
        self._pending = asks

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        call, _ = rpc(arrival.target)
        if call == "config.amend":
            connection.hold(lambda: None)
            collect(arrival, lambda body: self._amend(body, connection))
        elif call == "config.read":
            connection.hold(lambda: None)
            self._pending.ask(Read(), lambda result: self._answer(connection, "config.read", result))
        else:
            raise Bad(404, "no such call")

    def _amend(self, body: bytes, connection: CallerConnection) -> None:
        try:
            text = body.decode()
        except UnicodeDecodeError:
            connection.respond(400, b'{"Error":"not UTF-8"}', JSON)
            return
        self._pending.ask(Amend(text), lambda result: self._answer(connection, "config.amend", result))

    def _answer(self, connection: CallerConnection, call: str, result: Any) -> None:
        if result is None:
            log.warning("control: %s: no word from the chain in time", call)
            connection.respond(503, b'{"Error":"the core did not agree in time"}', JSON)
        elif "invalid" in result:
            log.info("control: %s: turned down: %s", call, result["invalid"])
            connection.respond(400, msgspec.json.encode({"Error": result["invalid"]}), JSON)
        else:
            connection.respond(200, msgspec.json.encode(result) if call == "config.read" else b"{}", JSON)
