"""The operator's calls: whole or not at all, the highest version of a name holds."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import pytest
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals

from brackengate.control.config_changes import History, decide
from brackengate.control.item_index import ItemIndex
from brackengate.protocol.config_items import (
    ConfigChange,
    InvalidConfig,
    Item,
    ItemName,
    config_document,
    parse_change,
)
from brackengate.protocol.messages import CommandDone

PLANT = {"Name": "p", "HealthPath": "/health", "ConnLimit": 110, "Deduplicates": False, "Revision": "r7"}
ROUTE = {
    "Name": "r",
    "PathPrefix": "/a/",
    "SignalKind": "keyed",
    "Cutoff": "800ms",
    "Setpoint": "300ms",
    "Plant": "p",
    "MaxAttempts": 2,
    "Revision": "r7",
}


def effect(order: ConfigChange, held: Mapping[ItemName, Item]) -> Mapping[ItemName, Item]:
    """What comes into force, where nothing was overtaken before; `InvalidConfig` where it is refused."""
    decision = decide(order, ItemIndex.of(held.items()), lambda _: History())
    if not isinstance(decision.result, CommandDone):
        assert not decision.items and not decision.histories
        raise InvalidConfig(decision.result.reason)
    return decision.items


def call(*routes: dict[str, Any], host: str = "h", plants: Any = (PLANT,), remove: Any = ()) -> bytes:
    hosts = [{"Host": host, "Paths": list(routes)}]
    return json.dumps(
        {"Apply": {"Plants": list(plants), "Hosts": hosts}, "Remove": {"Routes": list(remove)}}
    ).encode()


@pytest.mark.parametrize(
    ("why", "body"),
    [
        ("cut short", call(ROUTE)[:-20]),
        ("no host", call(ROUTE, host="")),
        ("bare prefix", call({**ROUTE, "PathPrefix": "a/"})),
        ("aim over", call({**ROUTE, "Setpoint": "60.8s"})),
        ("below zero", call({**ROUTE, "Plant": None, "Split": [{"Plant": "p", "Gain": -1}]})),
        ("no weight", call({**ROUTE, "Plant": None, "Split": [{"Plant": "p", "Gain": 0}]})),
        ("same place", call(ROUTE, {**ROUTE, "Name": "other"})),
        ("same name", call(ROUTE, {**ROUTE, "PathPrefix": "/b/"})),
        ("unknown service", call({**ROUTE, "Plant": "nobody"})),
        ("no service", call({**ROUTE, "Plant": None})),
        ("no time-out", call({name: value for name, value in ROUTE.items() if name != "Cutoff"})),
        ("a bare number", call({**ROUTE, "Cutoff": 800})),
        ("another kind", call({**ROUTE, "SignalKind": "perhaps"})),
        ("no version", call({**ROUTE, "Revision": "7"})),
        ("not JSON", b"\xff\xfe"),
    ],
)
def test_an_invalid_call_has_no_effect_in_any_part(why: str, body: bytes) -> None:
    with pytest.raises(InvalidConfig):
        effect(parse_change(body), {})


class Versions(TestCase):
    def held(self) -> dict[tuple[str, str], Item]:
        return dict(effect(parse_change(call(ROUTE)), {}))

    def test_the_highest_version_holds_and_an_older_call_changes_nothing(self) -> None:
        held = self.held()
        newer = parse_change(call({**ROUTE, "Cutoff": "900ms", "Revision": "r9"}, plants=()))
        self.assertThat(set(effect(newer, held)), Equals({("route", "r")}))
        held |= effect(newer, held)
        self.assertThat(effect(parse_change(call(ROUTE)), held), Equals({}))
        self.assertThat(held["route", "r"].version, Equals(9))

    def test_what_was_dropped_stays_dropped_for_older_versions(self) -> None:
        held = self.held()
        held |= effect(parse_change(call(plants=(), remove=[{"Name": "r", "Revision": "r9"}])), held)
        self.assertThat(held["route", "r"].body, Equals(None))
        self.assertThat(effect(parse_change(call({**ROUTE, "Revision": "r8"})), held), Equals({}))
        self.assertThat(
            set(effect(parse_change(call({**ROUTE, "Revision": "r10"})), held)), Equals({("route", "r")})
        )

    def test_a_place_may_go_to_another_route_in_one_call_and_not_beside_it(self) -> None:
        held, other = self.held(), {**ROUTE, "Name": "other", "Revision": "r9"}
        with ExpectedException(InvalidConfig):
            effect(parse_change(call(other)), held)
        moved = effect(parse_change(call(other, remove=[{"Name": "r", "Revision": "r9"}])), held)
        self.assertThat(set(moved), Equals({("route", "other"), ("route", "r")}))

    def test_what_is_read_back_is_what_was_sent(self) -> None:
        sent = json.loads(call(ROUTE))["Apply"]
        self.assertThat(config_document(self.held().items()), Equals(sent))
