"""Configuration documents: accepted or rejected as a whole; the highest version of a name is in force."""

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


def effect(change: ConfigChange, stored: Mapping[ItemName, Item]) -> Mapping[ItemName, Item]:
    """The items that take effect, without histories; `InvalidConfig` if the change is rejected."""
    decision = decide(change, ItemIndex.of(stored.items()), lambda _: History())
    if not isinstance(decision.result, CommandDone):
        assert not decision.items and not decision.histories
        raise InvalidConfig(decision.result.reason)
    return decision.items


def document(*routes: dict[str, Any], host: str = "h", plants: Any = (PLANT,), remove: Any = ()) -> bytes:
    hosts = [{"Host": host, "Paths": list(routes)}]
    return json.dumps(
        {"Apply": {"Plants": list(plants), "Hosts": hosts}, "Remove": {"Routes": list(remove)}}
    ).encode()


@pytest.mark.parametrize(
    ("why", "body"),
    [
        ("truncated", document(ROUTE)[:-20]),
        ("no host", document(ROUTE, host="")),
        ("bare prefix", document({**ROUTE, "PathPrefix": "a/"})),
        ("setpoint too high", document({**ROUTE, "Setpoint": "60.8s"})),
        ("negative weight", document({**ROUTE, "Plant": None, "Split": [{"Plant": "p", "Gain": -1}]})),
        ("no weight", document({**ROUTE, "Plant": None, "Split": [{"Plant": "p", "Gain": 0}]})),
        ("same location", document(ROUTE, {**ROUTE, "Name": "other"})),
        ("same name", document(ROUTE, {**ROUTE, "PathPrefix": "/b/"})),
        ("unknown service", document({**ROUTE, "Plant": "nobody"})),
        ("no service", document({**ROUTE, "Plant": None})),
        ("no cutoff", document({name: value for name, value in ROUTE.items() if name != "Cutoff"})),
        ("a bare number", document({**ROUTE, "Cutoff": 800})),
        ("another kind", document({**ROUTE, "SignalKind": "perhaps"})),
        ("no version", document({**ROUTE, "Revision": "7"})),
        ("not JSON", b"\xff\xfe"),
    ],
)
def test_an_invalid_document_is_rejected_as_a_whole(why: str, body: bytes) -> None:
    with pytest.raises(InvalidConfig):
        effect(parse_change(body), {})


class Versions(TestCase):
    def stored(self) -> dict[tuple[str, str], Item]:
        return dict(effect(parse_change(document(ROUTE)), {}))

    def test_the_highest_version_is_in_force_and_an_older_one_changes_nothing(self) -> None:
        stored = self.stored()
        newer = parse_change(document({**ROUTE, "Cutoff": "900ms", "Revision": "r9"}, plants=()))
        self.assertThat(set(effect(newer, stored)), Equals({("route", "r")}))
        stored |= effect(newer, stored)
        self.assertThat(effect(parse_change(document(ROUTE)), stored), Equals({}))
        self.assertThat(stored["route", "r"].version, Equals(9))

    def test_a_removed_item_stays_removed_for_older_versions(self) -> None:
        stored = self.stored()
        stored |= effect(parse_change(document(plants=(), remove=[{"Name": "r", "Revision": "r9"}])), stored)
        self.assertThat(stored["route", "r"].body, Equals(None))
        self.assertThat(effect(parse_change(document({**ROUTE, "Revision": "r8"})), stored), Equals({}))
        self.assertThat(
            set(effect(parse_change(document({**ROUTE, "Revision": "r10"})), stored)),
            Equals({("route", "r")}),
        )

    def test_a_location_may_move_to_another_route_in_one_change_but_two_routes_cannot_share_it(self) -> None:
        stored, other = self.stored(), {**ROUTE, "Name": "other", "Revision": "r9"}
        with ExpectedException(InvalidConfig):
            effect(parse_change(document(other)), stored)
        moved = effect(parse_change(document(other, remove=[{"Name": "r", "Revision": "r9"}])), stored)
        self.assertThat(set(moved), Equals({("route", "other"), ("route", "r")}))

    def test_the_configuration_reads_back_as_it_was_sent(self) -> None:
        sent = json.loads(document(ROUTE))["Apply"]
        self.assertThat(config_document(self.stored().items()), Equals(sent))
