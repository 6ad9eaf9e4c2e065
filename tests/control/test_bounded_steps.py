"""What a large order costs a replica in one step.  A replica that stands still for half a second is taken for
dead: its work on an order is done in slices, or was done before the step that needs it.
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
from brackengate.control.log import FOLD_AT_ONCE, FOLD_MOST, ReplicaLog
from brackengate.control.prepared_rows import MOST_ROWS, SLICE_ROWS, PreparedRows
from brackengate.control.rows import State
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
    """Runs it, and tells the most that any event of any replica did of each kind."""
    core, most = mesh.core, Counter[str]()
    while core._events and core._events[0][0] <= until:
        core.now, _, what = heapq.heappop(core._events)
        counted.clear()
        what()
        for kind, count in counted.items():
            most[kind] = max(most[kind], count)
    core.now = until
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
    a  rrrrrrr pppppp DDDDDDDD ! |
    b          pppppp DDDDDDDD   |      r: read, p: prepared, D: delivered, |: in force
    c          pppppp DDDDDDDD   |
    """
    counted = Counter[str]()
    mesh = Mesh(members=3)
    for host in mesh.hosts:
        host.followers_take = 500 * MS
    counting(monkeypatch, counted)
    sent: Sent = mesh.operator.send(order(*(route(f"big{n}", 5) for n in range(ROUTES))))
    most = most_in_one_step(mesh, mesh.core.now + 3 * S, counted)
    assert sent.status == 200
    assert 0 < most["routes read"] <= SLICE_ROWS and 0 < most["values encoded"] <= SLICE_ROWS


def test_the_rows_of_a_large_order_go_to_the_disk_some_at_a_time() -> None:
    """Whatever is cut off in between, what is on disk gives the same rows after a start."""
    made = ReplicaLog(0)
    stores = [made.store(())]
    for index, entry in enumerate((Entry(1, rows_of(FOLD_MOST + 300)), Entry(2, rows_of(7, 2))), 1):
        made.take(entry)
        stores.append(made.store((entry,)))
        made.commit(index)
    now = 0
    while made.folded:
        now += 50 * MS
        stores += made.fold_if_due(now)
    assert max(len(store.rows) for store in stores) == FOLD_AT_ONCE
    whole = _as_started(stores)
    assert (whole.state.index, whole.state.rows.checksum) == (2, made.state.rows.checksum)
    for cut in range(3, len(stores)):  # both entries are on disk
        started = _as_started(stores[:cut])
        started.commit(2)
        assert started.state.rows.checksum == made.state.rows.checksum


def _as_started(stores: list[Store]) -> ReplicaLog:
    """What a disk with these stores gives at the next start."""
    disk, entries, base, place = State(), dict[int, Entry](), 0, 0
    for store in stores:
        for index, row in store.rows:
            disk.set(index, row)
        entries = {index: entry for index, entry in entries.items() if index > store.committed}
        entries |= {entry.index: entry for entry in store.entries}
        base, place = store.meta["base"], store.meta.get("place", place)
    started = ReplicaLog(place)
    started.load(disk.rows, entries.values(), base)
    return started


def test_what_was_prepared_with_another_value_is_not_used() -> None:
    prepared, (one, *_) = PreparedRows(), rows_of(1)
    assert not list(prepared.prepare("id", [one]))
    found = prepared.find("id", one)
    assert found is not None and found.read is not None and found.read.prefix == "/p0/"
    assert prepared.find("id", (one[0], one[1], [2, *one[2][1:]])) is None
    assert prepared.find("other", one) is None
    prepared.forget("id")
    assert prepared.find("id", one) is None


def test_the_oldest_order_goes_where_many_are_prepared() -> None:
    prepared, many = PreparedRows(), rows_of(MOST_ROWS // 2)
    for id_ in ("a", "b", "c"):
        for _ in prepared.prepare(id_, many):
            assert sum(map(len, prepared.orders.values())) <= MOST_ROWS + SLICE_ROWS
    assert list(prepared.orders) == ["b", "c"]


def test_two_long_orders_are_read_by_turns_and_one_that_cannot_be_read_holds_up_none(
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
        taken = orders.submitted(Amend(body), "a:1", number, {}, held, ["a:1"], 0)
        assert isinstance(taken, Examining)
    done: list[int] = []
    while orders.examining:
        try:
            outcome = orders.examine(["a:1"], 0)
        except ZeroDivisionError:
            continue
        if outcome is not None:
            assert isinstance(outcome.taken, AwaitDelivery)
            done += [one.id for one in outcome.submissions]
    assert done == [1, 3] and raised["spoilt"] == 1
