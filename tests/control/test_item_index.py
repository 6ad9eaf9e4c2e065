"""Orders are checked by the index with the same result as by a full scan, at a cost of their own size."""

from __future__ import annotations

import random
import time

import pytest
from operators import order, plant, route

from brackengate.control.commands import DONE, decide
from brackengate.control.item_index import ItemIndex
from brackengate.protocol.config_items import InvalidConfig, Item, ItemName, parse_change
from brackengate.protocol.config_items import parse_route as parsed
from brackengate.protocol.messages import Amend, InvalidChange

MANY = 4_000


def is_valid(items: dict[ItemName, Item]) -> bool:
    """By a full scan: no two routes have the same host and prefix, and every service exists."""
    services = {name for (kind, name), item in items.items() if kind == "plant" and item.body is not None}
    routes = [parsed(item) for (kind, _), item in items.items() if kind == "route" and item.body is not None]
    prefixes = {(it.host, it.prefix) for it in routes}
    return len(prefixes) == len(routes) and all(p.service in services for it in routes for p in it.services)


@pytest.mark.parametrize("seed", range(40))
def test_random_orders_are_accepted_or_refused_as_by_a_full_scan(seed: int) -> None:
    rng, held = random.Random(seed), ItemIndex()
    prefixes = [f"/{name}/" for name in "abcd"]
    taken = refused = 0
    for version in range(1, 120):
        names = rng.sample("abcdef", rng.randint(0, 3))
        sets, drops = names[: rng.randint(0, 3)], names[3 - rng.randint(0, 3) :]
        routes = [route(name, version, at=rng.choice(prefixes), to=rng.choice("pq")) for name in sets]
        plants = [plant(name, version) for name in rng.sample("pq", rng.randint(0, 2))]
        gone = [(name, version) for name in rng.sample("pq", rng.randint(0, 1))]
        gone = [one for one in gone if one[0] not in {fields["Name"] for fields in plants}]
        drop = [(name, version) for name in drops if name not in sets]
        body = order(*routes, plants=plants, drop=drop, drop_plants=gone)
        try:
            asked = dict(parse_change(body.encode()))
        except InvalidConfig:
            continue  # two routes with the same host and prefix in one order
        decision = decide(Amend(body), {}, held)
        allowed = is_valid({**held, **asked})
        assert isinstance(decision.result, InvalidChange) is not allowed, body
        taken, refused = taken + allowed, refused + (not allowed)
        if allowed:
            for name, item in asked.items():
                held.put(name, item)
    assert taken > 10 and refused > 10


def test_a_small_order_among_many_routes_costs_its_own_size() -> None:
    many = order(*(route(f"r{n}", 1, at=f"/{n}/") for n in range(MANY)), plants=[plant("p", 1)])
    few = order(*(route(f"r{n}", 1, at=f"/{n}/") for n in range(10)), plants=[plant("p", 1)])
    one = order(route("r1", 2, at="/1/"))
    seconds = {}
    for held in (ItemIndex.of(parse_change(many.encode())), ItemIndex.of(parse_change(few.encode()))):
        best = float("inf")
        for _ in range(7):
            begun = time.process_time()
            for _ in range(20):
                assert decide(Amend(one), {}, held).result == DONE
            best = min(best, time.process_time() - begun)
        seconds[len(held)] = best
    assert seconds[MANY + 1] < 4 * seconds[11], seconds
