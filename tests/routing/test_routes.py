"""The route table: first match, index, split, explain, and routes that can never match."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from brackengate.installation.schema import HeaderMatch, Route
from brackengate.interface import Idempotency
from brackengate.routing.shadow import covers, never
from brackengate.routing.table import RouteTable, Traits, bare_host, explain, fits, host_fits, share

CLASSES = {
    "pregled": Idempotency.REPEATABLE,
    "ponudba": Idempotency.KEYED,
    "takoj-kupi": Idempotency.UNSAFE,
}
PATHS = ("/api", "/api/lots", "/api/lots/7", "/other")
NAMES = st.sampled_from(("x-a", "X-B"))
VALUES = st.sampled_from(("", "1", "12", "2"))


def some(*values: str) -> st.SearchStrategy[tuple[str, ...]]:
    return st.lists(st.sampled_from(values), max_size=2, unique=True).map(tuple)


headers = st.builds(
    lambda name, how, value, invert: HeaderMatch(
        name=name,
        exact=value if how == "exact" else "",
        prefix=value if how == "prefix" else "",
        invert=invert,
    ),
    NAMES,
    st.sampled_from(("exact", "prefix")),
    VALUES,
    st.booleans(),
)
routes = st.builds(
    lambda where, path, **more: Route(
        name="r", path=path if where == "path" else "", prefix=path if where == "prefix" else "", **more
    ),
    st.sampled_from(("path", "prefix", "any")),
    st.sampled_from(PATHS),
    host=some("a.example", "*.example", "a.*", "*"),
    method=some("GET", "POST"),
    header=st.lists(headers, max_size=2).map(tuple),
    class_=some(*CLASSES),
    tenant=some("t1", "t2"),
    operation=some("Bid", "type:query", "type:mutation"),
    pool=st.sampled_from(("p", "q")),
)
traits = st.builds(
    Traits,
    method=st.sampled_from(("GET", "POST")),
    path=st.sampled_from(PATHS),
    host=st.sampled_from(("a.example", "b.example", "a.test", "")),
    headers=st.dictionaries(st.sampled_from(("x-a", "x-b")), VALUES, max_size=2),
    class_name=st.sampled_from(tuple(CLASSES)),
    tenant=st.sampled_from(("t1", "t2", "t3", "")),
    operation=st.sampled_from(("Bid", "")),
    operation_type=st.sampled_from(("", "query", "mutation")),
)


def named(rows: list[Route]) -> list[Route]:
    return [
        Route(**{f: getattr(r, f) for f in Route.__struct_fields__ if f != "name"}, name=f"r{i}")
        for i, r in enumerate(rows)
    ]


@given(st.lists(routes, max_size=8), st.lists(traits, min_size=1, max_size=8))
def test_the_index_finds_what_a_walk_finds(rows, asked):
    table = RouteTable(named(rows))
    for one in asked:
        walked = next((route for route in table.routes if fits(route, one)), None)
        assert table.find(one) is walked


@given(st.lists(routes, min_size=2, max_size=6), st.lists(traits, min_size=1, max_size=20))
def test_what_is_said_never_to_match_never_does(rows, asked):
    table = RouteTable(named(rows))
    never_fits = {number for number, _ in never(table.routes, {})}
    for one in asked:
        found = table.find(one)
        assert found is None or table.routes.index(found) not in never_fits


@given(routes, routes, traits)
def test_a_route_that_covers_another_fits_where_it_does(one, other, asked):
    if covers(one, other) and fits(other, asked):
        assert fits(one, asked)


def test_what_is_turned_round_covers_only_its_like():
    def route(**header) -> Route:
        return Route(name="r", header=(HeaderMatch(name="X-A", **header),))

    assert covers(route(prefix="1"), route(exact="12"))
    assert not covers(route(prefix="1", invert=True), route(exact="12"))
    assert not covers(route(prefix="1"), route(exact="12", invert=True))
    assert covers(route(prefix="1", invert=True), route(prefix="1", invert=True))


def test_shadows_are_found_and_named():
    rows = (
        Route(name="reads", prefix="/api", class_=("pregled",), pool="p"),
        Route(name="lots", prefix="/api/lots", class_=("pregled",), tenant=("t1",), pool="q"),
        Route(name="all", pool="p"),
        Route(name="late", header=(HeaderMatch(name="X-A", exact="1"),), pool="q"),
        Route(name="first", path="/x", pool="q"),
    )
    told = dict(never(rows, CLASSES))
    assert set(told) == {1, 3, 4}
    assert "'reads'" in told[1] and "'all'" in told[3]


@pytest.mark.parametrize(
    "route",
    [
        Route(
            name="r",
            header=(HeaderMatch(name="X-A", exact="1"), HeaderMatch(name="x-a", exact="2")),
            pool="p",
        ),
        Route(
            name="r",
            header=(HeaderMatch(name="X-A", exact="1"), HeaderMatch(name="X-A", invert=True)),
            pool="p",
        ),
        Route(name="r", class_=("takoj-kupi",), method=("GET",), pool="p"),
    ],
)
def test_contradictions_are_found(route):
    assert [number for number, _ in never([route], CLASSES)] == [0]


def test_without_contradiction_nothing_is_said():
    rows = (
        Route(name="a", class_=("pregled",), method=("GET",), pool="p"),
        Route(
            name="b",
            header=(HeaderMatch(name="X-A", exact="12"), HeaderMatch(name="X-A", prefix="1")),
            pool="p",
        ),
        Route(name="c", pool="p"),
    )
    assert never(rows, CLASSES) == []


SPLIT = st.dictionaries(st.sampled_from("abcde"), st.integers(0, 100), min_size=1).filter(
    lambda split: any(split.values())
)


@given(SPLIT, st.sampled_from("abcde"), st.integers(1, 100), st.lists(st.text(max_size=8), max_size=20))
def test_a_weight_that_rises_moves_clients_only_to_that_pool(split, pool, more, clients):
    after = dict(split) | {pool: split.get(pool, 0) + more}
    for client in clients:
        before_pool, now_pool = share(split, "r", client), share(after, "r", client)
        assert now_pool in (before_pool, pool)
        assert split[before_pool] > 0


def test_a_split_has_its_weights():
    split = {"a": 90, "b": 10, "c": 0}
    counts = Counter(share(split, "r", f"client-{i}") for i in range(20_000))
    assert counts["c"] == 0
    assert 0.09 < counts["b"] / 20_000 < 0.11


def test_another_route_splits_other_clients():
    split = {"a": 1, "b": 1}
    same = sum(share(split, "r1", str(i)) == share(split, "r2", str(i)) for i in range(2000))
    assert 800 < same < 1200


def test_a_split_keeps_who_it_is_by():
    route = Route(name="r", split={"a": 1, "b": 1}, by="tenant")
    table = RouteTable([route])
    pools = {table.pool(Traits(tenant="t1", client=str(i), request=str(i))) for i in range(50)}
    assert len(pools) == 1
    by_client = RouteTable([Route(name="r", split={"a": 1, "b": 1})])
    assert len({by_client.pool(Traits(tenant="t1", client=str(i))) for i in range(50)}) == 2
    # Without what it is by, requests are spread one by one.
    assert len({table.pool(Traits(request=str(i))) for i in range(50)}) == 2


@pytest.mark.parametrize(
    ("pattern", "host", "holds"),
    [
        ("A.example", "a.example", True),
        ("*.example", "a.example", True),
        ("*.example", ".example", False),
        ("*.example", "example", False),
        ("a.*", "a.test", True),
        ("a.*", "b.test", False),
        ("*", "", True),
    ],
)
def test_hosts(pattern, host, holds):
    assert host_fits(pattern, host) is holds


@pytest.mark.parametrize(
    ("value", "name"),
    [("A.example:80", "a.example"), ("a.example", "a.example"), ("[::1]:80", "[::1]"), ("", "")],
)
def test_the_port_is_no_part_of_a_host(value, name):
    assert bare_host(value) == name


def test_paths_made_up_by_callers_do_not_pile_up():
    table = RouteTable([Route(name="r", prefix="/api", pool="p")])
    for i in range(5000):
        assert table.pool(Traits(path=f"/api/{i}")) == "p"
    assert len(table._paths) <= 512


def test_explain_names_what_failed_and_what_fitted():
    table = RouteTable(
        [
            Route(name="bids", class_=("ponudba",), pool="p"),
            Route(name="op", operation=("Bid",), pool="p"),
            Route(name="host", host=("b.example",), pool="p"),
            Route(name="header", header=(HeaderMatch(name="X-A", exact="1"),), pool="p"),
            Route(name="far", prefix="/far", pool="p"),
            Route(name="rest", split={"p": 1}),
        ]
    )
    told = explain(table, Traits(class_name="pregled", path="/api", host="a.example"))
    assert [line.partition(":")[0] for line in told] == ["bids", "op", "host", "header", "far", "rest"]
    assert "class is 'pregled', not 'ponudba'" in told[0]
    assert "missing" in told[3] and "pool p" in told[-1]
    assert explain(RouteTable([]), Traits()) == ["no route fits: 404"]
