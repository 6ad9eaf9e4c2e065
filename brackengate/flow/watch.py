"""Where connections tell of themselves: from sockets to the cache."""

from __future__ import annotations

import time

from brackengate.flow.cache import Cache, Flow
from brackengate.flow.records import EndReason, Kind


class Watch:
    """Made once an instance; `net` calls it when a connection opens and ends (see `net/observer.py`)."""

    def __init__(self, cache: Cache) -> None:
        self.cache = cache

    def client(self, local: object, peer: object) -> Flow:
        return self.cache.open(_now(), Kind.CLIENT, _pair(peer), _pair(local))

    def upstream(self, local: object, peer: object) -> Flow:
        return self.cache.open(_now(), Kind.UPSTREAM, _pair(local), _pair(peer))

    def request(self, flow: Flow, class_name: str, tenant: str, status: int, took_us: int) -> None:
        flow.request(class_name, tenant, status in (429, 503), took_us)
        self.cache.count(flow.source, tenant)

    def ended(self, flow: Flow, broken: bool) -> None:
        self.cache.close(_now(), flow, EndReason.FORCED if broken else EndReason.ENDED)


def _now() -> int:
    return time.time_ns() // 1_000_000


def _pair(name: object) -> tuple[str, int]:
    if isinstance(name, tuple) and len(name) >= 2:
        return str(name[0]), int(name[1])
    return "", 0  # it has gone already
