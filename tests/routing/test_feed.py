"""Upstreams of pools that discovery tells of, after the first version is in use."""

from __future__ import annotations

import asyncio

from brackengate.fleet.configured import Configured
from brackengate.fleet.counters import Counters
from brackengate.installation.reading import loads
from brackengate.interface import Endpoint, ListKind
from brackengate.net.node import Clock
from brackengate.net.sockets import SocketBudget

FILE = """
[installation]
name = "t"
[upstreams]
source = "discovery"
discovery = "127.0.0.1:1"
[[listener]]
name = "api"
address = "127.0.0.1:0"
[class.c]
aim = "1s"
deadline = "1s"
[versions]
source = "file"
[pool.p]
from_discovery = true
[[route]]
name = "all"
pool = "p"
"""


def test_what_discovery_says_has_run_for_long_is_not_cold_when_the_instance_starts() -> None:
    """The first list comes after the first version: what is of no known age then counts as just started."""

    async def main() -> None:
        file = loads(FILE)
        configured = Configured(file, 0, Clock(), SocketBudget(100), Counters(lambda now: None))
        configured.start(file)
        old, young = Endpoint("old", started_at=0), Endpoint("young", started_at=Clock().now())
        rows = [(old, ("127.0.0.1", 9)), (young, ("127.0.0.1", 10))]
        configured.feed.update_upstreams(ListKind.FULL, rows)
        (module,) = [run.module for run in configured.pools.runs.values()]
        warmth = {name: module._warmth(up) for name, up in module.upstreams.items()}
        joins = {name: up.eligible_at for name, up in module.upstreams.items()}
        assert warmth["old"] == 1.0 and warmth["young"] < 0.2
        assert joins["old"] == 0 < joins["young"]
        await configured.close()

    asyncio.run(main())
