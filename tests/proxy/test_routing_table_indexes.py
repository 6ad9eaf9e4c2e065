"""Indexes of the routing table: updated with each change, equal to a new table's, at the change's cost."""

from __future__ import annotations

import random
import time

from brackengate.protocol.messages import Row, UpstreamReport
from brackengate.proxy.routing_table import RoutingTable

MANY = 4_000


def route(name: str, version: int, at: str, to: str = "p") -> Row:
    body = {"Name": name, "PathPrefix": at, "SignalKind": "idempotent", "Cutoff": "500ms", "Plant": to}
    return "route", name, [version, "h.example", {**body, "Revision": f"r{version}"}]


def instance(machine: str, service: str, state: str) -> Row:
    return "inst", machine, {"id": f"i-{machine}", "plant": service, "zone": "z", "state": state}


def test_random_changes_leave_the_state_of_a_new_table() -> None:
    rng, table, rows = random.Random(1), RoutingTable(), dict[tuple[str, str], Row]()
    for index in range(1, 2_000):
        if rng.random() < 0.5:
            name, drawn = f"r{rng.randrange(12)}", rng.random()
            row = route(name, index, f"/{name}-{rng.randrange(3)}/", rng.choice("pq"))
            row = ("route", name, [index]) if drawn < 0.3 else row
        else:
            machine = f"10.0.0.{rng.randrange(6)}"
            row = instance(machine, rng.choice("pq"), rng.choice(("ready", "draining", "gone")))
            row = ("inst", machine, None) if rng.random() < 0.1 else row
        table.apply_changes(index, [row])
        rows[row[0], row[1]] = row
        if index % 40 == 0:
            rebuilt = RoutingTable()
            rebuilt.apply_snapshot(index, rows.values())
            for prefix in (f"/r{n}-{m}/x" for n in range(12) for m in range(3)):
                assert table.find("h.example", prefix) == rebuilt.find("h.example", prefix)
            assert sorted(table.proxy_machines()) == sorted(rebuilt.proxy_machines())
            for service in "pq":
                assert dict(table.upstreams_of(service)) == dict(rebuilt.upstreams_of(service))


def test_changed_names_are_returned_once() -> None:
    table = RoutingTable()
    table.apply_changes(1, [route("a", 1, "/a/"), instance("m", "p", "ready")])
    changed = table.take_changed_names()
    assert (changed.routes, changed.services) == ({"a"}, {"p"})
    table.apply_changes(2, [instance("m", "q", "ready")])
    assert table.take_changed_names().services == {"p", "q"}
    assert table.take_changed_names().services == set()
    assert isinstance(table.upstreams_of("q")["m"], UpstreamReport)


def test_new_route_keeps_its_prefix_when_the_old_one_is_removed_later() -> None:
    table = RoutingTable()
    table.apply_changes(1, [route("old", 1, "/a/")])
    table.apply_changes(2, [route("new", 1, "/a/", "q"), ("route", "old", [2])])
    found = table.find("h.example", "/a/1")
    assert found is not None and found.name == "new"


def test_cost_of_a_change_does_not_grow_with_the_table() -> None:
    took = []
    for routes in (10, MANY):
        table = RoutingTable()
        table.apply_changes(1, [route(f"r{n}", 1, f"/{n}/") for n in range(routes)])
        best = float("inf")
        for round_ in range(7):
            begun = time.process_time()
            for n in range(50):
                table.apply_changes(2 + 50 * round_ + n, [route("r1", 2 + 50 * round_ + n, "/1/")])
            best = min(best, time.process_time() - begun)
        took.append(best)
    assert took[1] < 4 * took[0], took
