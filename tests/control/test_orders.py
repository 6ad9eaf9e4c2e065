"""What becomes of one order after another: decided as the head does it, without the log around it."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
from operators import order, plant, route
from testtools import TestCase
from testtools.matchers import Equals

from brackengate.control.commands import DONE, HISTORY, decide
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
Kept = dict[ItemName, tuple[int, object]]


class Held:
    """The rows and items of a head."""

    def __init__(self, *bodies: str) -> None:
        self.rows: Kept = {}
        self.items = ItemIndex()
        for body in bodies:
            assert self.send(body) == "done", body

    def send(self, body: str) -> str:
        found = decide(Amend(body), self.rows, self.items)
        if found.result != DONE:
            assert found.rows == (), "a part of what was refused is in force"
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
        """Version and time-out of a route that stands."""
        item = self.items["route", name]
        return f"r{item.version} {item.body['Cutoff'] if item.body is not None else 'dropped'}"


FIRST = order(route("a", 2), route("b", 2, at="/b/"), plants=[plant("p", 2), plant("q", 2)])


class TwoOperators(TestCase):
    def test_one_version_with_other_contents_is_confirmed_to_one(self) -> None:
        held = Held(FIRST, order(route("a", 5)))
        self.assertThat(held.send(order(route("a", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(held["a"], Equals("r5 500ms"))

    def test_also_once_it_is_overtaken(self) -> None:
        held = Held(FIRST, order(route("a", 5)), order(route("a", 7)))
        self.assertThat(held.send(order(route("a", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(held.send(order(route("a", 5))), Equals("done"))

    def test_also_where_both_come_after_a_higher_one(self) -> None:
        held = Held(FIRST, order(route("a", 7)))
        self.assertThat(held.send(order(route("a", 5))), Equals("done"))
        self.assertThat(held.send(order(route("a", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(held.send(order(route("a", 5))), Equals("done"))
        self.assertThat(held["a"], Equals("r7 500ms"))

    def test_a_drop_and_a_set_under_one_version(self) -> None:
        held = Held(FIRST, order(route("a", 5)))
        self.assertThat(held.send(order(drop=[("a", 5)])), Equals("conflict"))
        self.assertThat(held["a"], Equals("r5 500ms"))
        held = Held(FIRST, order(drop=[("a", 5)]))
        self.assertThat(held.send(order(route("a", 5))), Equals("conflict"))
        self.assertThat(held.send(order(drop=[("a", 5), ("a", 5)])), Equals("done"))
        self.assertThat(held["a"], Equals("r5 dropped"))

    def test_services_and_limits_are_items_too(self) -> None:
        held = Held(FIRST)
        self.assertThat(held.send(order(plants=[plant("p", 2, "/other")])), Equals("conflict"))
        limits = '{"Apply":{"Limits":{"IdleCutoff":"%s","Revision":"r2"}}}'
        self.assertThat(held.send(limits % "15s"), Equals("done"))
        self.assertThat(held.send(limits % "16s"), Equals("conflict"))
        self.assertThat(held.send(limits % "15000ms"), Equals("done"))

    def test_the_same_content_under_one_version_is_confirmed_to_both(self) -> None:
        """As a race does: the second order carries the first one's new route beside its own."""
        first = order(route("new", 43), route("a", 43))
        second = order(route("a", 47, cutoff=OTHER), route("new", 43))
        for one, two in ((first, second), (second, first)):
            held = Held(FIRST, one, two)
            self.assertThat((held["a"], held["new"]), Equals(("r47 900ms", "r43 500ms")))

    def test_an_order_that_conflicts_in_one_item_has_no_effect_in_any(self) -> None:
        held = Held(FIRST, order(route("a", 5)))
        mixed = order(route("b", 6, at="/b/"), route("a", 5, cutoff=OTHER))
        for _ in range(2):  # sent again it meets the same
            self.assertThat(held.send(mixed), Equals("conflict"))
            self.assertThat(held["b"], Equals("r2 500ms"))
        self.assertThat(held.send(order(route("b", 6, at="/b/", cutoff=OTHER))), Equals("done"))  # r6 is free


class SentAgain(TestCase):
    def test_once_its_service_is_gone(self) -> None:
        held = Held(FIRST, order(route("a", 5, to="q")), order(route("a", 7)), order(drop_plants=[("q", 7)]))
        self.assertThat(held.send(order(route("a", 5, to="q"))), Equals("done"))
        self.assertThat(held["a"], Equals("r7 500ms"))

    def test_once_its_place_is_another_routes(self) -> None:
        held = Held(
            FIRST,
            order(route("c", 3, at="/c/")),
            order(route("c", 7, at="/d/"), route("e", 7, at="/c/")),
        )
        self.assertThat(held.send(order(route("c", 3, at="/c/"))), Equals("done"))

    def test_the_first_order_after_every_item_has_changed(self) -> None:
        held = Held(
            FIRST,
            order(route("a", 5, at="/b/"), route("b", 5, at="/a/")),
            order(drop=[("b", 9)], drop_plants=[("q", 9)]),
            order(plants=[plant("p", 9, "/other")]),
        )
        before = dict(held.rows)
        self.assertThat(held.send(FIRST), Equals("done"))
        self.assertThat(held.rows, Equals(before))

    def test_written_in_another_way(self) -> None:
        held = Held(FIRST, order(route("a", 5, cutoff="1500ms")), order(route("a", 7)))
        self.assertThat(held.send(order(route("a", 5, cutoff="1.5s"))), Equals("done"))

    def test_with_an_item_that_it_overtakes_itself(self) -> None:
        """The highest version of a name holds; both are acknowledged, and both are remembered."""
        both = order(route("new", 5), drop=[("new", 7)])
        held = Held(FIRST, both)
        self.assertThat(held["new"], Equals("r7 dropped"))
        self.assertThat(held.send(order(route("new", 5, cutoff=OTHER))), Equals("conflict"))
        self.assertThat(held.send(both), Equals("done"))

    def test_what_was_refused_is_taken_once_it_is_valid(self) -> None:
        held, early = Held(FIRST), order(route("new", 5, to="later"))
        self.assertThat(held.send(early), Equals("invalid"))
        held.send(order(plants=[plant("later", 3)]))
        self.assertThat(held.send(early), Equals("done"))


class Overtaken(TestCase):
    def test_a_valid_order_that_comes_late_is_acknowledged_and_has_no_effect(self) -> None:
        held = Held(FIRST, order(route("a", 7)))
        self.assertThat(held.send(order(route("a", 5, to="q"))), Equals("done"))
        self.assertThat(held["a"], Equals("r7 500ms"))

    def test_one_that_names_no_known_service_is_not(self) -> None:
        held = Held(FIRST, order(route("a", 7)))
        self.assertThat(held.send(order(route("a", 5, to="nobody"))), Equals("invalid"))
        self.assertThat(held.send(order(route("a", 5, to="q"))), Equals("done"))  # nothing stands against it

    def test_its_place_may_be_another_routes_by_now(self) -> None:
        held = Held(FIRST, order(route("a", 7, at="/c/"), route("b", 7, at="/a/")))
        self.assertThat(held.send(order(route("a", 5))), Equals("done"))

    def test_an_invalid_order_of_which_a_part_is_known_is_invalid(self) -> None:
        held = Held(FIRST, order(route("a", 5)))
        body = order(route("a", 5), route("c", 5, to="nobody"), route("b", 6, at="/b/"))
        self.assertThat(held.send(body), Equals("invalid"))
        self.assertThat(held["b"], Equals("r2 500ms"))


class Bounded(TestCase):
    def held(self) -> Held:
        """One version more than is remembered beside the one that holds."""
        changes = (order(route("a", version)) for version in range(3, MAX_OVERTAKEN_VERSIONS + 4))
        return Held(FIRST, *changes)

    def test_beyond_what_is_remembered_there_is_no_clear_answer(self) -> None:
        held = self.held()
        self.assertThat(held.send(order(route("a", 3))), Equals("done"))
        self.assertThat(held.send(order(route("a", 3, cutoff=OTHER))), Equals("conflict"))
        for forgotten in (order(route("a", 2)), order(route("a", 2, cutoff=OTHER)), FIRST):
            self.assertThat(held.send(forgotten), Equals("undecided"))

    def test_an_order_that_was_surely_never_taken_gets_a_clear_one(self) -> None:
        mixed = order(route("a", 2), route("new", 2))
        self.assertThat(self.held().send(mixed), Equals("conflict"))

    def test_a_history_is_bounded_by_count(self) -> None:
        history = History()
        for version in range(3 * MAX_OVERTAKEN_VERSIONS):
            history = history.with_versions({10**17 + version: "d" * 16})
        self.assertThat(len(history.versions()), Equals(MAX_OVERTAKEN_VERSIONS))
        self.assertThat(history.forgotten, Equals(10**17 + 2 * MAX_OVERTAKEN_VERSIONS - 1))
        self.assertThat(len(history.digests) < MAX_OVERTAKEN_VERSIONS * (18 + 1 + 16 + 1), Equals(True))

    def test_an_item_that_never_changed_has_no_history(self) -> None:
        self.assertThat([name for kind, name in Held(FIRST, FIRST).rows if kind == HISTORY], Equals([]))


@pytest.mark.parametrize("first", [0, 1])
def test_what_comes_late_may_be_forgotten_at_once(first: int) -> None:
    """It is below all that is remembered: acknowledged, and no clear answer from then on."""
    changes = [order(route("a", version)) for version in range(10, MAX_OVERTAKEN_VERSIONS + 11)]
    held = Held(FIRST, *changes[:-1])
    late = [order(route("a", 5)), order(route("a", 5, cutoff=OTHER))]
    assert held.send(late[first]) == "done"
    held.send(changes[-1])
    held.send(order(route("a", MAX_OVERTAKEN_VERSIONS + 20)))
    assert [held.send(one) for one in late] == ["undecided", "undecided"]
