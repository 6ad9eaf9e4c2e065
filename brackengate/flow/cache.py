"""Live connections and what is to be told of them.  Pure: times come in as arguments (Unix milliseconds).

A kept connection is reported each `active` while it does something, and once it has been idle for `idle`; its
records are deltas that add up to what it did.  Bounded: beyond `most` live flows, further connections are
counted by client address, in `most` // 16 rows and one for the rest.  Records that nobody takes are dropped,
the oldest first, and what they told is counted.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from brackengate.flow.records import EndReason, Kind, Record, Talker
from brackengate.talkers import Talkers


@dataclass(frozen=True, slots=True)
class Limits:
    most: int = 50_000  # live flows
    waiting: int = 20_000  # records that no collector has taken yet
    active: int = 60_000  # milliseconds
    idle: int = 15_000


class Flow:
    """One connection's figures.  Its methods are all that runs in a request's path."""

    __slots__ = (
        "class_name", "destination", "destination_port", "flow_id", "kind", "merged", "octets_in",
        "octets_out", "reads", "refusals", "reported", "reported_ms", "requests", "seen", "source",
        "source_port", "start_ms", "tenant", "worst_us", "writes",
    )  # fmt: skip

    def __init__(
        self, kind: Kind, flow_id: int, source: tuple[str, int], destination: tuple[str, int], start_ms: int
    ) -> None:
        self.kind, self.flow_id = kind, flow_id
        self.source, self.source_port = source
        self.destination, self.destination_port = destination
        self.start_ms = self.reported_ms = start_ms
        self.octets_in = self.octets_out = self.reads = self.writes = 0
        self.requests = self.refusals = self.worst_us = 0
        self.class_name = self.tenant = ""
        self.reported = (0, 0, 0, 0, 0, 0)
        self.seen = (-1, start_ms)  # activity at the last look, and when that changed
        self.merged = 0  # connections that this row stands for, if it does

    def received(self, octets: int) -> None:
        self.octets_in += octets
        self.reads += 1

    def sent(self, octets: int) -> None:
        self.octets_out += octets
        self.writes += 1

    def request(self, class_name: str, tenant: str, refused: bool, took_us: int) -> None:
        self.requests += 1
        self.refusals += refused
        self.class_name, self.tenant = class_name, tenant
        if took_us > self.worst_us:
            self.worst_us = took_us

    def totals(self) -> tuple[int, int, int, int, int, int]:
        return self.octets_in, self.reads, self.octets_out, self.writes, self.requests, self.refusals


class Cache:
    def __init__(self, limits: Limits, first_id: int = 0) -> None:
        """`first_id`: flow ids count from here; a new process starts elsewhere, so that ids do not meet."""
        self.limits = limits
        self._next = first_id
        self._live: OrderedDict[int, Flow] = OrderedDict()  # by id; looked at in turn
        self._merged: dict[tuple[Kind, str], Flow] = {}
        self.waiting: deque[Record] = deque()
        self.addresses, self.tenants = Talkers(), Talkers()
        self.opened = self.closed = self.merged = 0
        self.dropped = [0, 0, 0]  # records, reads and writes, octets

    def __len__(self) -> int:
        return len(self._live)

    def open(self, now_ms: int, kind: Kind, source: tuple[str, int], destination: tuple[str, int]) -> Flow:
        self.opened += 1
        if len(self._live) >= self.limits.most:
            return self._merge(now_ms, kind, source[0], destination)
        self._next += 1
        flow = Flow(kind, self._next, source, destination, now_ms)
        self._live[flow.flow_id] = flow
        return flow

    def _merge(self, now_ms: int, kind: Kind, address: str, destination: tuple[str, int]) -> Flow:
        self.merged += 1
        key = (kind, address)
        if key not in self._merged and len(self._merged) >= max(1, self.limits.most // 16):
            key = (kind, "0.0.0.0")  # the rest
        flow = self._merged.get(key)
        if flow is None:
            self._next += 1
            flow = self._merged[key] = Flow(kind, self._next, (key[1], 0), destination, now_ms)
            self._live[flow.flow_id] = flow
        flow.merged += 1
        return flow

    def close(self, now_ms: int, flow: Flow, reason: EndReason = EndReason.ENDED) -> None:
        self.closed += 1
        if flow.merged:
            flow.merged -= 1
            if flow.merged:
                return
            self._merged.pop((flow.kind, flow.source), None)
        if self._live.pop(flow.flow_id, None) is not None:
            self._tell(now_ms, flow, reason)

    def count(self, address: str, tenant: str) -> None:
        """A request of this client."""
        self.addresses.add(address)
        if tenant:
            self.tenants.add(tenant)

    def tick(self, now_ms: int, most: int = 200) -> int:
        """Look at the next so many live flows; how many were told of."""
        told = 0
        for _ in range(min(most, len(self._live))):
            flow_id, flow = self._live.popitem(last=False)
            self._live[flow_id] = flow
            activity = flow.reads + flow.writes
            if activity != flow.seen[0]:
                flow.seen = (activity, now_ms)
            since = now_ms - flow.reported_ms
            if flow.totals() == flow.reported:
                continue
            if since >= self.limits.active or since < 0:  # a clock that stepped back: tell, and count anew
                told += self._tell(now_ms, flow, EndReason.ACTIVE)
            elif now_ms - flow.seen[1] >= self.limits.idle:
                told += self._tell(now_ms, flow, EndReason.IDLE)
        return told

    def _tell(self, now_ms: int, flow: Flow, reason: EndReason) -> bool:
        totals, before = flow.totals(), flow.reported
        delta = [now - then for now, then in zip(totals, before, strict=True)]
        record = Record(
            flow.kind, flow.flow_id, flow.source, flow.source_port, flow.destination, flow.destination_port,
            delta[0], delta[1], delta[2], delta[3], flow.start_ms, max(flow.start_ms, now_ms), reason,
            flow.class_name, flow.tenant, delta[4], delta[5], flow.worst_us,
        )  # fmt: skip
        flow.reported, flow.reported_ms, flow.worst_us = totals, now_ms, 0
        if len(self.waiting) >= self.limits.waiting:
            self.drop(self.waiting.popleft())
        self.waiting.append(record)
        return True

    def drop(self, record: Record) -> None:
        self.dropped[0] += 1
        self.dropped[1] += record.reads + record.writes
        self.dropped[2] += record.octets_in + record.octets_out

    def talkers(self, most: int = 20) -> list[Talker]:
        rows = [Talker(key, count, error, False) for key, count, error in self.addresses.top(most)]
        return rows + [Talker(key, count, error, True) for key, count, error in self.tenants.top(most)]
