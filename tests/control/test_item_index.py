"""What an order may do is found by what it changes: the same as by reading everything, at its own cost."""

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


def sound(items: dict[ItemName, Item]) -> bool:
    """By reading everything: no two routes at one place, and none to a service that is not known."""
    services = {name for (kind, name), item in items.items() if kind == "plant" and item.body is not None}
    routes = [parsed(item) for (kind, _), item in items.items() if kind == "route" and item.body is not None]
    places = {(it.host, it.prefix) for it in routes}
    return len(places) == len(routes) and all(p.service in services for it in routes for p in it.services)


@pytest.mark.parametrize("seed", range(40))
def test_drawn_orders_are_judged_as_by_reading_everything(seed: int) -> None:
    rng, held = random.Random(seed), ItemIndex()
    places = [f"/{name}/" for name in "abcd"]
    taken = refused = 0
    for version in range(1, 120):
        names = rng.sample("abcdef", rng.randint(0, 3))
        sets, drops = names[: rng.randint(0, 3)], names[3 - rng.randint(0, 3) :]
        routes = [route(name, version, at=rng.choice(places), to=rng.choice("pq")) for name in sets]
        plants = [plant(name, version) for name in rng.sample("pq", rng.randint(0, 2))]
        gone = [(name, version) for name in rng.sample("pq", rng.randint(0, 1))]
        gone = [one for one in gone if one[0] not in {fields["Name"] for fields in plants}]
        drop = [(name, version) for name in drops if name not in sets]
        body = order(*routes, plants=plants, drop=drop, drop_plants=gone)
        try:
            asked = dict(parse_change(body.encode()))
        except InvalidConfig:
            continue  # two at one place within the order
        decision = decide(Amend(body), {}, held)
        allowed = sound({**held, **asked})
        assert isinstance(decision.result, InvalidChange) is not allowed, body
        taken, refused = taken + allowed, refused + (not allowed)
        if allowed:
            for name, item in asked.items():
                held.put(name, item)
    assert taken > 10 and refused > 10


def test_a_small_order_amid_many_routes_costs_its_own_size() -> None:
    many = order(*(route(f"r{n}", 1, at=f"/{n}/") for n in range(MANY)), plants=[plant("p", 1)])
    few = order(*(route(f"r{n}", 1, at=f"/{n}/") for n in range(10)), plants=[plant("p", 1)])
    one = order(route("r1", 2, at="/1/"))
    took = {}
    for held in (ItemIndex.of(parse_change(many.encode())), ItemIndex.of(parse_change(few.encode()))):
        best = float("inf")
        for _ in range(7):
            begun = time.process_time()
            for _ in range(20):
                assert decide(Amend(one), {}, held).result == DONE
            best = min(best, time.process_time() - begun)
        took[len(held)] = best
    assert took[MANY + 1] < 4 * took[11], took
