"""Bodies that a frontend needs as a whole."""

from __future__ import annotations

from brackengate.http.body import Body, ByteBudget
from brackengate.http.message import IncomingRequest
from brackengate.protocol.http_api import collect_body


def test_a_streamed_body_is_passed_on_complete_and_its_buffers_are_released() -> None:
    budget, received = ByteBudget(1 << 20), list[bytes]()
    stream = Body(budget, None, lambda: None)
    stream.feed(b"a" * 70_000)
    collect_body(IncomingRequest(b"POST", b"/", [], b"", True, 0, stream), received.append)
    stream.feed(b"b")
    assert received == [] and budget.in_use > 0
    stream.end()
    assert received == [b"a" * 70_000 + b"b"] and budget.in_use == 0
