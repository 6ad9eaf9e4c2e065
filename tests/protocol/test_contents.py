"""Which ways of writing an item are equal, and which are not."""

from __future__ import annotations

import json
from typing import Any

import msgspec
import pytest

from brackengate.protocol.config_items import InvalidConfig, Item, parse_change
from brackengate.protocol.contents import digest

P, Q = '{"Plant":"p","Gain":90}', '{"Plant":"q","Gain":10}'
SPLIT = f"[{P},{Q}]"
ROUTE = (
    '{"Name":"r","PathPrefix":"/a/","SignalKind":"keyed","Cutoff":"1500ms","Priority":2,'
    f'"Split":{SPLIT},"Revision":"r7"}}'
)


def written(text: str, host: str = "h.example", kind: str = "route") -> str:
    return digest(kind, Item(7, host, msgspec.json.decode(text)))


@pytest.mark.parametrize(
    ("why", "text"),
    [
        ("spacing", json.dumps(json.loads(ROUTE), indent=3)),
        ("key order", json.dumps(dict(reversed(json.loads(ROUTE).items())))),
        ("key order within", ROUTE.replace('{"Plant":"p","Gain":90}', '{"Gain":90,"Plant":"p"}')),
        ("escapes", ROUTE.replace('"keyed"', '"\\u006beyed"')),
        ("a number", ROUTE.replace('"Priority":2', '"Priority":2.0')),
        ("a number within", ROUTE.replace('"Gain":90', '"Gain":9e1')),
        ("a time", ROUTE.replace('"1500ms"', '"1.5s"')),
        ("a time with noughts", ROUTE.replace('"1500ms"', '"1.500s"')),
        ("its version, which is compared apart", ROUTE.replace('"r7"', '"r07"')),
    ],
)
def test_equal_ways_to_write_an_item(why: str, text: str) -> None:
    assert text != ROUTE
    assert written(text) == written(ROUTE)


def test_hosts_are_equal_but_for_the_case_of_letters() -> None:
    assert written(ROUTE, "H.example") == written(ROUTE)
    assert written(ROUTE, "i.example") != written(ROUTE)


@pytest.mark.parametrize(
    ("why", "text"),
    [
        ("another service", ROUTE.replace('"Plant":"q"', '"Plant":"s"')),
        ("another time", ROUTE.replace('"1500ms"', '"1500.0001ms"')),
        ("a default that is said", ROUTE.replace('"Priority":2', '"Priority":2,"MaxAttempts":1')),
        ("a field that is not read here", ROUTE.replace('"Priority":2', '"Priority":2,"Tls":false')),
        ("a truth for a number", ROUTE.replace('"Priority":2', '"Priority":true')),
        ("a text for a number", ROUTE.replace('"Priority":2', '"Priority":"2"')),
        ("another order of a list", ROUTE.replace(SPLIT, f"[{Q},{P}]")),
        ("case within", ROUTE.replace('"/a/"', '"/A/"')),
    ],
)
def test_other_contents(why: str, text: str) -> None:
    assert text != ROUTE
    assert written(text) != written(ROUTE)


def test_what_is_dropped_is_a_content_too() -> None:
    assert digest("route", Item(7)) == digest("route", Item(9))
    assert digest("route", Item(7)) != written(ROUTE)
    assert digest("plant", Item(7, body={})) != digest("plant", Item(7))


def test_times_are_read_in_their_fields_alone() -> None:
    fields = '{"Name":"p","HealthPath":"%s","Revision":"r1"}'
    assert written(fields % "1500ms", kind="plant") != written(fields % "1.5s", kind="plant")
    limits = '{"IdleCutoff":"%s","Revision":"r1"}'
    assert written(limits % "15000ms", kind="limits") == written(limits % "15s", kind="limits")


def test_a_body_that_could_not_be_written_again_is_not_taken() -> None:
    deep: Any = 1
    for _ in range(40):
        deep = [deep]
    body = {"Apply": {"Plants": [{"Name": "p", "Revision": "r1", "Deep": deep}]}}
    with pytest.raises(InvalidConfig, match="nested"):
        parse_change(json.dumps(body).encode())
