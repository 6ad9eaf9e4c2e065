"""What the operating commands work out without a socket: changes, backups, figures, a request's hops."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals, MatchesRegex

from brackengate.bridge import archive, figures, hops
from brackengate.bridge.changes import as_call, compare, items_of, sound
from brackengate.interface import Outcome, Request
from brackengate.lighthouse.item_index import ItemIndex
from brackengate.lighthouse.orders import History, decide
from brackengate.pilot.hop import Said
from brackengate.pilot.wake import MOST_OPEN, Wake
from brackengate.signals.items import read_call
from brackengate.signals.words import (
    CommandDone,
    Follows,
    HeldItem,
    Instance,
    Items,
    Member,
    Neighbour,
    Standing,
)


def route(name: str, version: int, prefix: str = "", plant: str = "p") -> dict[str, Any]:
    fields = {"Name": name, "PathPrefix": prefix or f"/{name}/", "SignalKind": "idempotent", "Cutoff": "1s"}
    return {**fields, "Plant": plant, "Revision": f"r{version}"}


def call(*routes: dict[str, Any], remove: Any = (), plants: Any = ()) -> bytes:
    apply = {"Plants": list(plants), "Hosts": [{"Host": "h", "Paths": list(routes)}]}
    return json.dumps({"Apply": apply, "Remove": {"Routes": list(remove)}}).encode()


HELD = (
    HeldItem("plant", "p", 1, 3, body={"Name": "p", "Revision": "r3"}),
    HeldItem("route", "a", 2, 3, "h", route("a", 3)),
    HeldItem("route", "b", 4, 9),
)
ITEMS = Items(True, 7, 2, HELD)


class Changes(TestCase):
    def test_each_item_is_told_apart(self) -> None:
        body = call(route("new", 1), route("a", 3), route("b", 8), remove=[{"Name": "a2", "Revision": "r4"}])
        self.assertThat(
            [(one.what, one.name, one.why) for one in compare(body, items_of(HELD))],
            Equals(
                [
                    ("set", "new", "new"),
                    ("no effect", "a", "not newer than r3, which is held"),
                    ("no effect", "b", "not newer than r9, which is held as dropped"),
                    ("dropped", "a2", "new"),
                ]
            ),
        )

    def test_every_fault_is_named_and_not_the_first_alone(self) -> None:
        found = compare(call(route("x", 1, prefix="x"), route("y", 1), route("z", 1, plant="")), {})
        self.assertThat([(one.what, one.name) for one in found], Equals([("invalid", "x"), ("invalid", "z")]))
        self.assertThat(sound(found), Equals(False))

    def test_what_does_not_go_together_is_a_fault_of_the_call(self) -> None:
        found = compare(call(route("c", 4, prefix="/a/")), items_of(HELD))
        self.assertThat(
            [(one.kind, one.what, one.why) for one in found],
            Equals([("route", "set", "new"), ("call", "invalid", "two routes at h/a/")]),
        )
        for damaged in (b"\xff", b"[1]", b'{"Apply":{"Plants":7}}', b'{"Apply":{"Hosts":[7]}}'):
            self.assertThat([one.what for one in compare(damaged, {})], Equals(["invalid"]), repr(damaged))

    def test_other_contents_under_a_held_version_are_a_fault_of_the_call(self) -> None:
        other = {**route("a", 3), "Cutoff": "2s"}
        for body in (call(other), call(remove=[{"Name": "a", "Revision": "r3"}])):
            found = compare(body, items_of(HELD))
            self.assertThat(
                [(one.kind, one.what) for one in found], Equals([("route", "no effect"), ("call", "invalid")])
            )
            self.assertThat(found[-1].why, Equals("acknowledged with other content before: route 'a' r3"))

    def test_what_show_prints_can_be_applied(self) -> None:
        layout = b'{"Plants":[{"Name":"q","Revision":"r1"}],"Hosts":[]}'
        self.assertThat([one.name for one in compare(as_call(layout), {})], Equals(["q"]))
        whole = call(route("a", 3))
        self.assertThat(as_call(whole), Equals(whole))


class Backups(TestCase):
    def test_an_empty_mesh_gets_all_of_it_and_a_newer_one_keeps_its_own(self) -> None:
        body = archive.call_of(archive.unpack(archive.pack(ITEMS, "now")))
        first = decide(read_call(body), ItemIndex(), lambda _: History())
        self.assertThat((first.result, first.items), Equals((CommandDone(), items_of(HELD))))
        newer = items_of([*HELD[:1], HeldItem("route", "a", 9, 8), *HELD[2:]])
        again = decide(read_call(body), ItemIndex.of(newer.items()), lambda _: History())
        self.assertThat((again.result, again.items), Equals((CommandDone(), {})))

    def test_a_damaged_or_newer_file_is_turned_down(self) -> None:
        whole = archive.pack(ITEMS, "now")
        with ExpectedException(archive.Unusable, "it is damaged: its checksum .*"):
            archive.unpack(whole.replace(b'"r3"', b'"r4"', 1))
        with ExpectedException(archive.Unusable, "it is no backup, or a damaged one: .*"):
            archive.unpack(whole[:-20])
        with ExpectedException(archive.Unusable, "it is of form 2, written by a newer program; .*"):
            archive.unpack(whole.replace(b'"form": 1', b'"form": 2'))
        self.assertThat(archive.unpack(whole).place, Equals(7))


def standing(addr: str, commit_index: int, seats: str = "ABC", **more: Any) -> Standing:
    view = tuple(Member(one, "first", 1) for one in seats)
    epoch = more.pop("epoch", 4)
    given: dict[str, Any] = {
        "is_member": addr in seats,
        "has_snapshot": True,
        "serves": True,
        "public": commit_index,
    }
    return Standing(
        addr,
        "first",
        f"z{addr}",
        epoch,
        view,
        2,
        commit_index,
        commit_index,
        commit_index,
        **{**given, **more},
    )


class Figures(TestCase):
    def test_members_stand_in_the_chains_order_and_the_lost_are_named(self) -> None:
        told = [
            standing("A", 9, "BAC", neighbours=(Neighbour("C", "zC", True),)),
            standing("B", 12, "BAC", duties=("mend",)),
            standing("D", 3, "BAC", epoch=3, serves=False, leaves=True),
        ]
        rows = figures.members(told, [("C", "no answer")])
        self.assertThat(
            [(row["member"], row["zone"], row["chain"], row.get("lag"), row["state"]) for row in rows],
            Equals(
                [
                    ("B", "zB", "head", 0, "serves"),
                    ("A", "zA", "2", 3, "serves"),
                    ("C", "zC", "tail", None, "no answer"),
                    ("D", "zD", "-", 9, "still in view 3, left"),
                ]
            ),
        )
        self.assertThat(figures.complete(told), Equals(False))
        self.assertThat(figures.complete([*told, standing("C", 12, "BAC")]), Equals(True))

    def test_how_many_may_be_lost(self) -> None:
        spare = [
            figures.spare([standing(one, 1, seats) for one in seats])
            for seats in ("AB", "ABC", "ABCD", "ABCDE", "A")
        ]
        self.assertThat(spare, Equals([0, 1, 1, 2, -1]))
        unfit = [standing("A", 1), standing("B", 1, disk_healthy=False)]  # and C does not answer
        self.assertThat(figures.spare(unfit), Equals(-1))

    def test_a_pilot_that_does_not_say_how_far_it_is_counts_as_late(self) -> None:
        told = [
            standing("A", 9, pilots=(Follows("p1", 9, 9), Follows("p2", 9))),
            standing(
                "B", 9, pilots=(Follows("p3", 9, 6),), upstreams=(("p4", Instance("i", "s", "z", "ready")),)
            ),
        ]
        self.assertThat(figures.behind(told, 7), Equals(["p2", "p3"]))
        self.assertThat([row["behind"] for row in figures.pilots(told)], Equals([0, None, 3]))
        self.assertThat(figures.unseen(told[1:]), Equals(["p4"]))

    def test_the_earliest_place_of_an_item_counts(self) -> None:
        late = Items(True, 9, 2, tuple(msgspec.structs.replace(one, index=9) for one in HELD))
        names = [(("plant", "p"), 3), (("route", "a"), 3)]
        self.assertThat(figures.place_of(names, [late, ITEMS]), Equals(2))
        self.assertThat(figures.place_of([*names, (("route", "b"), 10)], [late, ITEMS]), Equals(None))


class Waking(TestCase):
    """What pilots remember of their requests."""

    def test_a_request_is_told_hop_by_hop(self) -> None:
        wake, request = Wake(), Request("7", "r", 0)
        wake.begins("7", b"id-1", 1_000_000, "r", "s", 500_000)
        wake.attempt_began(request, 0, "i-1", 1_000_300)
        wake.attempt_ended(request, 0, "i-1", Outcome.NOT_SENT, 2_000)
        wake.attempt_began(request, 1, "i-2", 1_002_400)
        wake.attempt_ended(request, 1, "i-2", Outcome.OK, 9_000)
        wake.request_ended(request, 200, 1_000_000, 1_011_400)
        wake.visited(b"id-1", 1_000_900, 400, "r", "i-1", b"", Said.AWAY, "draining")
        wake.turned_away(b"id-2", 5_000_000, 404, "no route")
        found = hops.in_order([Follows("10.0.0.9", 1, 1, wake.about("id-1"))])
        self.assertThat(
            "\n".join(hops.text(*one) for one in found),
            Equals(
                "00:00:01.000  out  10.0.0.9  route r to s, 500 ms\n"
                "    +0.3 ms  sent to i-1: not sent, 2.0 ms\n"
                "    +2.4 ms  sent to i-2: ok, 9.0 ms\n"
                "    an upstream's answer went back after 11.4 ms\n"
                "00:00:01.000  gate 10.0.0.9  route r, for i-1: away (draining) after 0.4 ms"
            ),
        )
        self.assertThat(
            hops.text("p", wake.about("id-2")[0]), MatchesRegex(r".* out  p  answered 404: no route")
        )

    def test_odd_ones_outlast_plain_ones_and_all_is_bounded(self) -> None:
        wake = Wake(most=3, odd=2)
        for n in range(MOST_OPEN + 50):
            name, request = b"id-%d" % n, Request(str(n), "r", 0)
            wake.begins(request.request, name, n, "r", "s", 0)
            wake.attempt_began(request, 0, "i-1", n)
            if n < 20:
                wake.request_ended(request, 503 if n in (4, 6, 8) else 200, n, n + 1)
        known = [n for n in range(MOST_OPEN + 50) if wake.about(f"id-{n}")]
        self.assertThat(known, Equals([6, 8, *range(MOST_OPEN + 47, MOST_OPEN + 50)]))
        self.assertThat(len(wake._open), Equals(MOST_OPEN))
