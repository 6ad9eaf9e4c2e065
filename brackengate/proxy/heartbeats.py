"""Receives heartbeats of the upstream on this machine, and acknowledges them at once."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from brackengate.http.message import IncomingRequest, RequestError
from brackengate.installation.units import duration
from brackengate.net.http import CallerConnection
from brackengate.protocol.http_api import collect_body, parse_rpc_target
from brackengate.proxy.admission import Heartbeat

log = logging.getLogger("brackengate.beats")

JSON = b"application/json"


class _HeartbeatBody(msgspec.Struct, rename="pascal"):
    """The body of an `instances.feedback` call."""

    plant: str
    state: str
    capacity: int = 1
    warmup_left: str = "0ms"
    call_count: int = 0
    zone: str = ""


class HeartbeatEndpoint:
    """Protocol frontend of the `Control` listener on machines with an upstream."""

    max_body_bytes = 64 << 10

    def __init__(self, on_heartbeat: Callable[[Heartbeat], None], on_leave: Callable[[str], None]) -> None:
        self._on_heartbeat, self._on_leave = on_heartbeat, on_leave

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Handle a call of the upstream.  `Bad`: 404 for an unknown call, 400 for an invalid heartbeat."""
        call, of = parse_rpc_target(arrival.target)
        if call == "instances.feedback" and of:
            collect_body(arrival, lambda body: self._receive(of, body, connection))
        elif call == "instances.leave" and of:
            self._on_leave(of)
            connection.respond(200, b"{}", JSON)
        else:
            raise RequestError(404, "no such call")

    def _receive(self, of: str, body: bytes, connection: CallerConnection) -> None:
        try:
            decoded: _HeartbeatBody = msgspec.json.decode(body, type=_HeartbeatBody)
            warmup = int(duration(decoded.warmup_left))
        except (msgspec.DecodeError, ValueError) as error:
            log.warning("beats: invalid heartbeat from %s: %s", of, error)
            raise RequestError(400, "not a beat") from None
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
