"""Hosts of routes as operators may write them: what is acknowledged has to be served."""

from __future__ import annotations

import pytest
from peers import run
from proxy_pair import Mesh, Upstream, answers, request_head


@pytest.mark.parametrize("host", ["h", "H.Example", "h.example:8080", "[::1]", "[::1]:80"])
def test_a_route_is_served_under_its_host_with_or_without_a_port(host: str) -> None:
    """Of the kind of `review/3`: a route with a port in its `Host` is acknowledged and answered 404."""

    async def play() -> None:
        mesh = Mesh(await Upstream(answers(1)).start())
        _, _, (version, _, body) = mesh.make_route("ported")
        mesh.table.apply_changes(mesh.table.index + 1, [("route", "ported", [version, host, body])])
        mesh.egress.apply_table_changes()
        caller = await mesh.caller()
        head = request_head("ported")
        caller.writer.write(head.replace(b"Host: h\r\n", f"Host: {host}\r\n".encode()))
        status, _, _ = await caller.read()
        assert status == 200

    run(play())
