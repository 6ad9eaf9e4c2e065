"""Beats of the upstream on this machine: read, taken at the gate, acknowledged at once."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from brackengate.http.message import IncomingRequest, RequestError
from brackengate.installation.units import duration
from brackengate.net.http import CallerConnection
from brackengate.pilot.gate import Beat
from brackengate.signals.door import collect, rpc

log = logging.getLogger("brackengate.beats")

JSON = b"application/json"


class _Beat(msgspec.Struct, rename="pascal"):
    plant: str
    state: str
    capacity: int = 1
    warmup_left: str = "0ms"
    call_count: int = 0
    zone: str = ""


class Beats:
    """The front of `Control` on machines with an upstream."""

    max_body_bytes = 64 << 10

    def __init__(self, heard: Callable[[Beat], None], leaves: Callable[[str], None]) -> None:
        self._heard, self._leaves = heard, leaves

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        call, of = rpc(arrival.target)
        if call == "instances.feedback" and of:
            collect(arrival, lambda body: self._beat(of, body, connection))
        elif call == "instances.leave" and of:
            self._leaves(of)
            connection.respond(200, b"{}", JSON)
        else:
            raise RequestError(404, "no such call")

    def _beat(self, of: str, body: bytes, connection: CallerConnection) -> None:
        try:
            said: _Beat = msgspec.json.decode(body, type=_Beat)
            warmup = int(duration(said.warmup_left))
        except (msgspec.DecodeError, ValueError) as error:
            log.warning("beats: unreadable from %s: %s", of, error)
            raise RequestError(400, "not a beat") from None
        self._heard(
            Beat(of, said.plant, said.state, max(1, said.capacity), warmup, said.call_count, said.zone)
        )
        connection.respond(200, b"{}", JSON)
