"""What a change of many routes costs a follower's link."""

from __future__ import annotations

from brackengate.protocol.json_connection import encode_message
from brackengate.protocol.messages import Changes, Row

ROUTES = 1_520  # in one order
MOST_BYTES = 125_000  # half a second of a link of 2 Mbit/s, which requests share


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


def test_a_change_of_many_routes_fits_a_small_link() -> None:
    """Else it is not in force in time at a machine whose link is small, and holds up its requests."""
    rows = tuple(_route(number) for number in range(ROUTES))
    assert len(encode_message(Changes(1, rows))) <= MOST_BYTES
