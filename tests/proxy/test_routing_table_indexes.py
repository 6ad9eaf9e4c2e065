"""What a proxy looks up is kept up with each change: the same as built anew, at the cost of the change."""

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


def test_drawn_changes_leave_what_a_new_table_would_hold() -> None:
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
            anew = RoutingTable()
            anew.apply_snapshot(index, rows.values())
            for prefix in (f"/r{n}-{m}/x" for n in range(12) for m in range(3)):
                assert table.find("h.example", prefix) == anew.find("h.example", prefix)
            assert sorted(table.proxy_machines()) == sorted(anew.proxy_machines())
            for service in "pq":
                assert dict(table.upstreams_of(service)) == dict(anew.upstreams_of(service))


def test_what_was_touched_is_told_once() -> None:
    table = RoutingTable()
    table.apply_changes(1, [route("a", 1, "/a/"), instance("m", "p", "ready")])
    changed = table.take_changed_names()
    assert (changed.routes, changed.services) == ({"a"}, {"p"})
    table.apply_changes(2, [instance("m", "q", "ready")])
    assert table.take_changed_names().services == {"p", "q"}
    assert table.take_changed_names().services == set()
    assert isinstance(table.upstreams_of("q")["m"], UpstreamReport)


def test_a_route_that_comes_to_a_place_before_the_old_one_leaves_keeps_it() -> None:
    table = RoutingTable()
    table.apply_changes(1, [route("old", 1, "/a/")])
    table.apply_changes(2, [route("new", 1, "/a/", "q"), ("route", "old", [2])])
    found = table.find("h.example", "/a/1")
    assert found is not None and found.name == "new"


def test_one_change_amid_many_routes_costs_its_own_size() -> None:
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
