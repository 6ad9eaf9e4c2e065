"""Bodies that a front of the system's own calls needs whole."""

from __future__ import annotations

from brackengate.http.body import Body, ByteBudget
from brackengate.http.message import Arrival
from brackengate.protocol.http_api import collect_body


def test_a_long_body_is_there_whole_at_its_end_and_nothing_of_it_is_held() -> None:
    budget, got = ByteBudget(1 << 20), list[bytes]()
    stream = Body(budget, None, lambda: None)
    stream.feed(b"a" * 70_000)
    collect_body(Arrival(b"POST", b"/", [], b"", True, 0, stream), got.append)
    stream.feed(b"b")
    assert got == [] and budget.taken > 0
    stream.end()
    assert got == [b"a" * 70_000 + b"b"] and budget.taken == 0
