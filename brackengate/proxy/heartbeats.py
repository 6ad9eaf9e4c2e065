"""Beats of the upstream on this machine: read, taken at the gate, acknowledged at once."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from brackengate.http.message import Arrival, Bad
from brackengate.installation.units import duration
from brackengate.net.http import CallerConnection
from brackengate.protocol.http_api import collect_body, parse_rpc_target
from brackengate.proxy.admission import Heartbeat

log = logging.getLogger("brackengate.beats")

JSON = b"application/json"


class _HeartbeatBody(msgspec.Struct, rename="pascal"):
    plant: str
    state: str
    capacity: int = 1
    warmup_left: str = "0ms"
    call_count: int = 0
    zone: str = ""


class HeartbeatEndpoint:
    """The front of `Control` on machines with an upstream."""

    most_body = 64 << 10

    def __init__(self, on_heartbeat: Callable[[Heartbeat], None], on_leave: Callable[[str], None]) -> None:
        self._on_heartbeat, self._on_leave = on_heartbeat, on_leave

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        call, of = parse_rpc_target(arrival.target)
        if call == "instances.feedback" and of:
            collect_body(arrival, lambda body: self._receive(of, body, connection))
        elif call == "instances.leave" and of:
            self._on_leave(of)
            connection.respond(200, b"{}", JSON)
        else:
            raise Bad(404, "no such call")

    def _receive(self, of: str, body: bytes, connection: CallerConnection) -> None:
        try:
            decoded: _HeartbeatBody = msgspec.json.decode(body, type=_HeartbeatBody)
            warmup = int(duration(decoded.warmup_left))
        except (msgspec.DecodeError, ValueError) as error:
            log.warning("beats: unreadable from %s: %s", of, error)
            raise Bad(400, "not a beat") from None
        self._on_heartbeat(
            Heartbeat(
                of,
                decoded.plant,
                decoded.state,
                max(1, decoded.capacity),
                warmup,
                decoded.call_count,
                decoded.zone,
            )
        )
        connection.respond(200, b"{}", JSON)
