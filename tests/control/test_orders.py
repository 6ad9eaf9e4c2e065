"""Decisions on one configuration change after another, as the head makes them, without the log."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
from operators import order, plant, route
from testtools import TestCase
from testtools.matchers import Equals

from brackengate.control.commands import DONE, HISTORY_KIND, decide
from brackengate.control.config_changes import MAX_OVERTAKEN_VERSIONS, History
from brackengate.control.item_index import ItemIndex
from brackengate.protocol.config_items import Item, ItemName
from brackengate.protocol.messages import (
    ITEM_KINDS,
    Amend,
    ConflictingChange,
    InvalidChange,
    Row,
    UndecidedChange,
)

OTHER = "900ms"
Rows = dict[ItemName, tuple[int, object]]


class Head:
    """The rows and items of a head."""

    def __init__(self, *bodies: str) -> None:
        self.rows: Rows = {}
        self.items = ItemIndex()
        for body in bodies:
            assert self.send(body) == "done", body

    def send(self, body: str) -> str:
        found = decide(Amend(body), self.rows, self.items)
        if found.result != DONE:
            assert found.rows == (), "a part of a rejected change is in force"
        self._set(found.rows)
        return {
            InvalidChange: "invalid",
            ConflictingChange: "conflict",
            UndecidedChange: "undecided",
        }.get(type(found.result), "done")

    def _set(self, rows: Sequence[Row]) -> None:
        for kind, name, value in rows:
            self.rows[kind, name] = (len(self.rows), value)
            if kind in ITEM_KINDS:
                self.items.put((kind, name), msgspec.convert(value, Item))

    def __getitem__(self, name: str) -> str:
        """Version and cutoff of a route."""
        item = self.items["route", name]
        return f"r{item.version} {item.body['Cutoff'] if item.body is not None else 'dropped'}"


FIRST = order(route("a", 2), route("b", 2, at="/b/"), plants=[plant("p", 2), plant("q", 2)])


class TwoOperators(TestCase):
    def test_one_version_with_different_contents_is_acknowledged_once(self) -> None:
        head = Head(FIRST, order(route("a", 5)))
        self.assertThat(head.send(order(route("a", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(head["a"], Equals("r5 500ms"))

    def test_the_same_after_the_version_is_superseded(self) -> None:
        head = Head(FIRST, order(route("a", 5)), order(route("a", 7)))
        self.assertThat(head.send(order(route("a", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(head.send(order(route("a", 5))), Equals("done"))

    def test_the_same_if_both_come_after_a_higher_version(self) -> None:
        head = Head(FIRST, order(route("a", 7)))
        self.assertThat(head.send(order(route("a", 5))), Equals("done"))
        self.assertThat(head.send(order(route("a", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(head.send(order(route("a", 5))), Equals("done"))
        self.assertThat(head["a"], Equals("r7 500ms"))

    def test_a_removal_and_a_set_under_one_version_conflict(self) -> None:
        head = Head(FIRST, order(route("a", 5)))
        self.assertThat(head.send(order(drop=[("a", 5)])), Equals("conflict"))
        self.assertThat(head["a"], Equals("r5 500ms"))
        head = Head(FIRST, order(drop=[("a", 5)]))
        self.assertThat(head.send(order(route("a", 5))), Equals("conflict"))
        self.assertThat(head.send(order(drop=[("a", 5), ("a", 5)])), Equals("done"))
        self.assertThat(head["a"], Equals("r5 dropped"))

    def test_services_and_limits_are_items_too(self) -> None:
        head = Head(FIRST)
        self.assertThat(head.send(order(plants=[plant("p", 2, "/other")])), Equals("conflict"))
        limits = '{"Apply":{"Limits":{"IdleCutoff":"%s","Revision":"r2"}}}'
        self.assertThat(head.send(limits % "15s"), Equals("done"))
        self.assertThat(head.send(limits % "16s"), Equals("conflict"))
        self.assertThat(head.send(limits % "15000ms"), Equals("done"))

    def test_the_same_content_under_one_version_is_acknowledged_to_both(self) -> None:
        """As in a race: the second change includes the first one's new route besides its own."""
        first = order(route("new", 43), route("a", 43))
        second = order(route("a", 47, cutoff=OTHER), route("new", 43))
        for one, two in ((first, second), (second, first)):
            head = Head(FIRST, one, two)
            self.assertThat((head["a"], head["new"]), Equals(("r47 900ms", "r43 500ms")))

    def test_a_change_that_conflicts_in_one_item_has_no_effect_in_any(self) -> None:
        head = Head(FIRST, order(route("a", 5)))
        mixed = order(route("b", 6, at="/b/"), route("a", 5, cutoff=OTHER))
        for _ in range(2):  # the same if it is sent again
            self.assertThat(head.send(mixed), Equals("conflict"))
            self.assertThat(head["b"], Equals("r2 500ms"))
        self.assertThat(head.send(order(route("b", 6, at="/b/", cutoff=OTHER))), Equals("done"))  # r6 is free


class Resent(TestCase):
    def test_after_its_service_was_removed(self) -> None:
        head = Head(FIRST, order(route("a", 5, to="q")), order(route("a", 7)), order(drop_plants=[("q", 7)]))
        self.assertThat(head.send(order(route("a", 5, to="q"))), Equals("done"))
        self.assertThat(head["a"], Equals("r7 500ms"))

    def test_after_another_route_took_its_location(self) -> None:
        head = Head(
            FIRST,
            order(route("c", 3, at="/c/")),
            order(route("c", 7, at="/d/"), route("e", 7, at="/c/")),
        )
        self.assertThat(head.send(order(route("c", 3, at="/c/"))), Equals("done"))

    def test_the_first_change_after_every_item_has_changed(self) -> None:
        head = Head(
            FIRST,
            order(route("a", 5, at="/b/"), route("b", 5, at="/a/")),
            order(drop=[("b", 9)], drop_plants=[("q", 9)]),
            order(plants=[plant("p", 9, "/other")]),
        )
        before = dict(head.rows)
        self.assertThat(head.send(FIRST), Equals("done"))
        self.assertThat(head.rows, Equals(before))

    def test_with_another_spelling(self) -> None:
        head = Head(FIRST, order(route("a", 5, cutoff="1500ms")), order(route("a", 7)))
        self.assertThat(head.send(order(route("a", 5, cutoff="1.5s"))), Equals("done"))

    def test_with_an_item_that_it_supersedes_itself(self) -> None:
        """The highest version of a name is in force; both are acknowledged and recorded."""
        both = order(route("new", 5), drop=[("new", 7)])
        head = Head(FIRST, both)
        self.assertThat(head["new"], Equals("r7 dropped"))
        self.assertThat(head.send(order(route("new", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(head.send(both), Equals("done"))

    def test_a_rejected_change_is_accepted_once_it_is_valid(self) -> None:
        head, early = Head(FIRST), order(route("new", 5, to="later"))
        self.assertThat(head.send(early), Equals("invalid"))
        head.send(order(plants=[plant("later", 3)]))
        self.assertThat(head.send(early), Equals("done"))


class Superseded(TestCase):
    def test_a_valid_change_that_comes_late_is_acknowledged_and_has_no_effect(self) -> None:
        head = Head(FIRST, order(route("a", 7)))
        self.assertThat(head.send(order(route("a", 5, to="q"))), Equals("done"))
        self.assertThat(head["a"], Equals("r7 500ms"))

    def test_a_late_change_that_names_an_unknown_service_is_rejected(self) -> None:
        head = Head(FIRST, order(route("a", 7)))
        self.assertThat(head.send(order(route("a", 5, to="nobody"))), Equals("invalid"))
        self.assertThat(head.send(order(route("a", 5, to="q"))), Equals("done"))  # no conflict

    def test_another_route_may_have_its_location_by_now(self) -> None:
        head = Head(FIRST, order(route("a", 7, at="/c/"), route("b", 7, at="/a/")))
        self.assertThat(head.send(order(route("a", 5))), Equals("done"))

    def test_an_invalid_change_with_an_acknowledged_item_is_invalid(self) -> None:
        head = Head(FIRST, order(route("a", 5)))
        body = order(route("a", 5), route("c", 5, to="nobody"), route("b", 6, at="/b/"))
        self.assertThat(head.send(body), Equals("invalid"))
        self.assertThat(head["b"], Equals("r2 500ms"))


class Bounded(TestCase):
    def head(self) -> Head:
        """Has superseded one version more than is remembered."""
        changes = (order(route("a", version)) for version in range(3, MAX_OVERTAKEN_VERSIONS + 4))
        return Head(FIRST, *changes)

    def test_beyond_the_recorded_versions_the_answer_is_undecided(self) -> None:
        head = self.head()
        self.assertThat(head.send(order(route("a", 3))), Equals("done"))
        self.assertThat(head.send(order(route("a", 3, cutoff=OTHER))), Equals("conflict"))
        for forgotten in (order(route("a", 2)), order(route("a", 2, cutoff=OTHER)), FIRST):
            self.assertThat(head.send(forgotten), Equals("undecided"))

    def test_a_change_that_was_certainly_never_accepted_conflicts(self) -> None:
        mixed = order(route("a", 2), route("new", 2))
        self.assertThat(self.head().send(mixed), Equals("conflict"))

    def test_a_history_is_bounded_by_count(self) -> None:
        history = History()
        for version in range(3 * MAX_OVERTAKEN_VERSIONS):
            history = history.with_versions({10**17 + version: "d" * 16})
        self.assertThat(len(history.versions()), Equals(MAX_OVERTAKEN_VERSIONS))
        self.assertThat(history.forgotten, Equals(10**17 + 2 * MAX_OVERTAKEN_VERSIONS - 1))
        self.assertThat(len(history.digests) < MAX_OVERTAKEN_VERSIONS * (18 + 1 + 16 + 1), Equals(True))

    def test_an_item_that_never_changed_has_no_history(self) -> None:
        self.assertThat([name for kind, name in Head(FIRST, FIRST).rows if kind == HISTORY_KIND], Equals([]))


@pytest.mark.parametrize("first", [0, 1])
def test_a_late_version_may_be_forgotten_at_once(first: int) -> None:
    """It is below all recorded versions: acknowledged, and undecided from then on."""
    changes = [order(route("a", version)) for version in range(10, MAX_OVERTAKEN_VERSIONS + 11)]
    head = Head(FIRST, *changes[:-1])
    late = [order(route("a", 5)), order(route("a", 5, cutoff=OTHER))]
    assert head.send(late[first]) == "done"
    head.send(changes[-1])
    head.send(order(route("a", MAX_OVERTAKEN_VERSIONS + 20)))
    assert [head.send(one) for one in late] == ["undecided", "undecided"]
