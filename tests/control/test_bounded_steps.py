"""The cost of a large order for a replica in one event-loop step.  A replica that blocks for half a second
counts as dead, so its work on an order is done in slices, or before the step that needs it.
"""

from __future__ import annotations

import heapq
from collections import Counter
from typing import Any

import pytest
from operators import Sent, order, route
from test_order_timelines import Mesh, S

from brackengate.control import prepared_rows, rows
from brackengate.control.actions import Store
from brackengate.control.change_coordinator import AwaitDelivery, ChangeCoordinator, Examining
from brackengate.control.item_index import ItemIndex
from brackengate.control.log import FLUSH_BATCH_ROWS, FLUSH_ROWS, ReplicaLog
from brackengate.control.prepared_rows import MAX_PREPARED_ROWS, SLICE_ROWS, PreparedRows
from brackengate.control.rows import CommittedState
from brackengate.protocol import config_items
from brackengate.protocol.config_items import Item
from brackengate.protocol.messages import Amend, Entry, Row

ROUTES = 1_500
MS = 1_000


def rows_of(count: int, version: int = 1) -> tuple[Row, ...]:
    body = {"Name": "", "PathPrefix": "/p/", "SignalKind": "idempotent", "Cutoff": "1s", "Revision": "r1"}
    return tuple(
        ("route", f"r{n}", [version, "h", {**body, "Name": f"r{n}", "PathPrefix": f"/p{n}/", "Plant": "p"}])
        for n in range(count)
    )


def most_in_one_step(mesh: Mesh, until: int, counted: Counter[str]) -> Counter[str]:
    """Runs the mesh; returns the largest count of each kind of work within one event of any replica."""
    cluster, most = mesh.cluster, Counter[str]()
    while cluster._events and cluster._events[0][0] <= until:
        cluster.now, _, what = heapq.heappop(cluster._events)
        counted.clear()
        what()
        for kind, count in counted.items():
            most[kind] = max(most[kind], count)
    cluster.now = until
    return most


def counting(monkeypatch: pytest.MonkeyPatch, counted: Counter[str]) -> None:
    read, encode = config_items._validated_route, rows._encode

    def reads(*of: Any) -> Any:
        counted["routes read"] += 1
        return read(*of)

    def encodes(value: Any) -> bytes:
        counted["values encoded"] += not isinstance(value, str)
        return encode(value)

    monkeypatch.setattr(config_items, "_validated_route", reads)
    monkeypatch.setattr(rows, "_encode", encodes)
    monkeypatch.setattr(prepared_rows, "_encode", encodes)


def test_no_step_reads_or_encodes_more_than_a_slice_of_a_large_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """
    a  rrrrrrr pppppp DDDDDDDD ! |      r: parsed, p: prepared, D: delivered, !: appended,
    b          pppppp DDDDDDDD   |      |: committed
    c          pppppp DDDDDDDD   |
    """
    counted = Counter[str]()
    mesh = Mesh(members=3)
    for host in mesh.hosts:
        host.follower_fetch_us = 500 * MS
    counting(monkeypatch, counted)
    sent: Sent = mesh.operator.send(order(*(route(f"big{n}", 5) for n in range(ROUTES))))
    most = most_in_one_step(mesh, mesh.cluster.now + 3 * S, counted)
    assert sent.status == 200
    assert 0 < most["routes read"] <= SLICE_ROWS and 0 < most["values encoded"] <= SLICE_ROWS


def test_the_rows_of_a_large_order_go_to_the_disk_some_at_a_time() -> None:
    """After an interruption at any point, the disk gives the same rows at the next start."""
    made = ReplicaLog(0)
    stores = [made.store(())]
    for index, entry in enumerate((Entry(1, rows_of(FLUSH_ROWS + 300)), Entry(2, rows_of(7, 2))), 1):
        made.append(entry)
        stores.append(made.store((entry,)))
        made.commit(index)
    now = 0
    while made.unflushed:
        now += 50 * MS
        stores += made.flush_if_due(now)
    assert max(len(store.rows) for store in stores) == FLUSH_BATCH_ROWS
    whole = _as_started(stores)
    assert (whole.state.index, whole.state.rows.checksum) == (2, made.state.rows.checksum)
    for cut in range(3, len(stores)):  # both entries are on disk
        started = _as_started(stores[:cut])
        started.commit(2)
        assert started.state.rows.checksum == made.state.rows.checksum


def _as_started(stores: list[Store]) -> ReplicaLog:
    """The log that a disk with these stores gives at the next start."""
    disk, entries, base, place = CommittedState(), dict[int, Entry](), 0, 0
    for store in stores:
        for index, row in store.rows:
            disk.set(index, row)
        entries = {index: entry for index, entry in entries.items() if index > store.committed}
        entries |= {entry.index: entry for entry in store.entries}
        base, place = store.meta["base"], store.meta.get("place", place)
    started = ReplicaLog(place)
    started.load(disk.rows, entries.values(), base)
    return started


def test_a_row_prepared_with_another_value_is_not_used() -> None:
    prepared, (one, *_) = PreparedRows(), rows_of(1)
    assert not list(prepared.prepare("id", [one]))
    found = prepared.find("id", one)
    assert found is not None and found.parsed_route is not None and found.parsed_route.prefix == "/p0/"
    assert prepared.find("id", (one[0], one[1], [2, *one[2][1:]])) is None
    assert prepared.find("other", one) is None
    prepared.forget("id")
    assert prepared.find("id", one) is None


def test_the_oldest_order_is_evicted_if_many_rows_are_prepared() -> None:
    prepared, many = PreparedRows(), rows_of(MAX_PREPARED_ROWS // 2)
    for id_ in ("a", "b", "c"):
        for _ in prepared.prepare(id_, many):
            assert sum(map(len, prepared.orders.values())) <= MAX_PREPARED_ROWS + SLICE_ROWS
    assert list(prepared.orders) == ["b", "c"]


def test_two_long_orders_are_read_in_turn_and_an_unreadable_one_blocks_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read, raised = config_items._validated_route, Counter[str]()

    def reads(it: Any, host: str) -> Any:
        if it.name == "spoilt0" and not raised["spoilt"]:
            raised["spoilt"] += 1
            raise ZeroDivisionError
        return read(it, host)

    monkeypatch.setattr(config_items, "_validated_route", reads)
    orders = ChangeCoordinator()
    held = ItemIndex.of([(("plant", "p"), Item(1, body={"Name": "p", "Revision": "r1"}))])
    long = {name: order(*(route(f"{name}{n}", 5) for n in range(ROUTES))) for name in ("a", "spoilt", "b")}
    for number, body in enumerate(long.values(), 1):
        taken = orders.submit(Amend(body), "a:1", number, {}, held, ["a:1"], 0)
        assert isinstance(taken, Examining)
    done: list[int] = []
    while orders.examining:
        try:
            outcome = orders.examine(["a:1"], 0)
        except ZeroDivisionError:
            continue
        if outcome is not None:
            assert isinstance(outcome.outcome, AwaitDelivery)
            done += [one.id for one in outcome.submissions]
    assert done == [1, 3] and raised["spoilt"] == 1
