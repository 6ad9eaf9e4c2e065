"""The size of a change of many routes on the link to a proxy."""

from __future__ import annotations

from brackengate.protocol.json_connection import encode_message
from brackengate.protocol.messages import Changes, Row

ROUTES = 1_520  # in one change
MAX_BYTES = 125_000  # half a second of a link of 2 Mbit/s, which requests share


def _route(number: int) -> Row:
    body = {
        "Name": f"r-{number:07x}",
        "PathPrefix": f"/path{number:05d}/",
        "SignalKind": "idempotent",
        "Cutoff": "1500ms",
        "Setpoint": "600ms",
        "Priority": 2,
        "Plant": "service-a",
        "MaxAttempts": 2,
        "Revision": "r5",
    }
    return "route", f"r-{number:07x}", [5, "host.example", body]


def test_change_of_many_routes_fits_a_slow_link() -> None:
    """Otherwise it is in force too late at a machine with a slow link, and delays its requests."""
    rows = tuple(_route(number) for number in range(ROUTES))
    assert len(encode_message(Changes(1, rows))) <= MAX_BYTES
