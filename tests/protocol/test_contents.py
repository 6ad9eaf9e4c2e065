"""Digests of items: which spellings of an item are equal, and which are not."""

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


def digest_of(text: str, host: str = "h.example", kind: str = "route") -> str:
    return digest(kind, Item(7, host, msgspec.json.decode(text)))


@pytest.mark.parametrize(
    ("why", "text"),
    [
        ("spacing", json.dumps(json.loads(ROUTE), indent=3)),
        ("key order", json.dumps(dict(reversed(json.loads(ROUTE).items())))),
        ("key order of a nested object", ROUTE.replace('{"Plant":"p","Gain":90}', '{"Gain":90,"Plant":"p"}')),
        ("escapes", ROUTE.replace('"keyed"', '"\\u006beyed"')),
        ("a number", ROUTE.replace('"Priority":2', '"Priority":2.0')),
        ("a nested number", ROUTE.replace('"Gain":90', '"Gain":9e1')),
        ("a duration", ROUTE.replace('"1500ms"', '"1.5s"')),
        ("a duration with trailing zeros", ROUTE.replace('"1500ms"', '"1.500s"')),
        ("its version, which is compared separately", ROUTE.replace('"r7"', '"r07"')),
    ],
)
def test_equal_spellings_of_an_item(why: str, text: str) -> None:
    assert text != ROUTE
    assert digest_of(text) == digest_of(ROUTE)


def test_hosts_are_equal_but_for_the_case_of_letters() -> None:
    assert digest_of(ROUTE, "H.example") == digest_of(ROUTE)
    assert digest_of(ROUTE, "i.example") != digest_of(ROUTE)


@pytest.mark.parametrize(
    ("why", "text"),
    [
        ("another service", ROUTE.replace('"Plant":"q"', '"Plant":"s"')),
        ("another duration", ROUTE.replace('"1500ms"', '"1500.0001ms"')),
        ("an explicit default", ROUTE.replace('"Priority":2', '"Priority":2,"MaxAttempts":1')),
        ("an unknown field", ROUTE.replace('"Priority":2', '"Priority":2,"Tls":false')),
        ("a boolean for a number", ROUTE.replace('"Priority":2', '"Priority":true')),
        ("a string for a number", ROUTE.replace('"Priority":2', '"Priority":"2"')),
        ("another order of a list", ROUTE.replace(SPLIT, f"[{Q},{P}]")),
        ("case of a path", ROUTE.replace('"/a/"', '"/A/"')),
    ],
)
def test_different_contents(why: str, text: str) -> None:
    assert text != ROUTE
    assert digest_of(text) != digest_of(ROUTE)


def test_a_removal_has_a_digest_too() -> None:
    assert digest("route", Item(7)) == digest("route", Item(9))
    assert digest("route", Item(7)) != digest_of(ROUTE)
    assert digest("plant", Item(7, body={})) != digest("plant", Item(7))


def test_durations_are_normalized_only_in_their_own_fields() -> None:
    fields = '{"Name":"p","HealthPath":"%s","Revision":"r1"}'
    assert digest_of(fields % "1500ms", kind="plant") != digest_of(fields % "1.5s", kind="plant")
    limits = '{"IdleCutoff":"%s","Revision":"r1"}'
    assert digest_of(limits % "15000ms", kind="limits") == digest_of(limits % "15s", kind="limits")


def test_a_body_too_deep_to_be_encoded_is_rejected() -> None:
    deep: Any = 1
    for _ in range(40):
        deep = [deep]
    body = {"Apply": {"Plants": [{"Name": "p", "Revision": "r1", "Deep": deep}]}}
    with pytest.raises(InvalidConfig, match="nested"):
        parse_change(json.dumps(body).encode())
