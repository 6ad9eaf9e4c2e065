"""Which headers may occur only once, by the installation file and by the routes of a version."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from brackengate.http.message import IncomingRequest, RequestError
from brackengate.http.rules import SINGLE_REQUEST_HEADERS
from brackengate.installation.reading import load
from brackengate.installation.settings import once
from brackengate.interface import Request
from brackengate.routing import setup as routing

EXAMPLES = Path(__file__).parent.parent.parent / "examples"


def test_the_installation_file_adds_single_headers_and_removes_none() -> None:
    assert once(load(EXAMPLES / "one-tier.toml")) >= SINGLE_REQUEST_HEADERS
    told = load(
        EXAMPLES / "graphql.toml", ["graphql.tenant_header=X-Member", "graphql.deadline_header=X-Left"]
    )
    assert once(told) >= SINGLE_REQUEST_HEADERS | {b"x-member", b"x-left"}
    queues = load(EXAMPLES / "queues.toml", ["queues.client=header", "queues.client_header=X-Who"])
    assert once(queues) >= SINGLE_REQUEST_HEADERS | {b"x-who", queues.queues.place_header.lower().encode()}
    assert b"x-who" not in once(load(EXAMPLES / "queues.toml", ["queues.client=address"]))
    assert b"x-forwarded-for" not in once(
        queues
    )  # a list by definition: the value of our own load balancer is the last


def test_a_header_that_a_route_matches_may_occur_only_once() -> None:
    seen: list[Any] = []
    table = SimpleNamespace(headers={b"x-tier"})
    pools = SimpleNamespace(table=table, choose=lambda traits: seen.append(traits.headers) or "pool")
    choose = routing.route_of(load(EXAMPLES / "pools.toml"), cast(Any, pools))
    connection, request = cast(Any, SimpleNamespace(peer=lambda: "127.0.0.1")), Request("a", "read", 1)

    def arrival(*values: bytes) -> IncomingRequest:
        return IncomingRequest(b"GET", b"/api", [(b"X-Tier", value) for value in values], b"", True, 0)

    assert choose(arrival(b"gold"), connection, request, "", "") == "pool"
    assert seen == [{"x-tier": "gold"}]
    with pytest.raises(RequestError) as caught:
        choose(arrival(b"gold", b"tin"), connection, request, "", "")
    assert (caught.value.status, caught.value.rule_slug) == (400, "twice") and len(seen) == 1
