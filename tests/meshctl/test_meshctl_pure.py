"""The operating commands without sockets: changes, backups, status, and the records of a request."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from testtools import ExpectedException, TestCase
from testtools.matchers import Equals, MatchesRegex

from brackengate.control.config_changes import History, decide
from brackengate.control.item_index import ItemIndex
from brackengate.interface import Outcome, Request
from brackengate.meshctl import archive, figures, hops
from brackengate.meshctl.changes import as_call, compare, is_valid, items_of
from brackengate.protocol.config_items import parse_change
from brackengate.protocol.messages import (
    CommandDone,
    FollowerStatus,
    ItemList,
    Member,
    PeerStatus,
    ReplicaStatus,
    StoredItem,
    UpstreamReport,
)
from brackengate.proxy.hop_headers import HopOutcome
from brackengate.proxy.request_log import MAX_OPEN, RequestLog


def route(name: str, version: int, prefix: str = "", plant: str = "p") -> dict[str, Any]:
    fields = {"Name": name, "PathPrefix": prefix or f"/{name}/", "SignalKind": "idempotent", "Cutoff": "1s"}
    return {**fields, "Plant": plant, "Revision": f"r{version}"}


def call(*routes: dict[str, Any], remove: Any = (), plants: Any = ()) -> bytes:
    apply = {"Plants": list(plants), "Hosts": [{"Host": "h", "Paths": list(routes)}]}
    return json.dumps({"Apply": apply, "Remove": {"Routes": list(remove)}}).encode()


HELD = (
    StoredItem("plant", "p", 1, 3, body={"Name": "p", "Revision": "r3"}),
    StoredItem("route", "a", 2, 3, "h", route("a", 3)),
    StoredItem("route", "b", 4, 9),
)
ITEMS = ItemList(True, 7, 2, HELD)


class Changes(TestCase):
    def test_each_item_has_its_own_result(self) -> None:
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

    def test_every_fault_is_reported(self) -> None:
        found = compare(call(route("x", 1, prefix="x"), route("y", 1), route("z", 1, plant="")), {})
        self.assertThat([(one.what, one.name) for one in found], Equals([("invalid", "x"), ("invalid", "z")]))
        self.assertThat(is_valid(found), Equals(False))

    def test_conflicting_items_are_a_fault_of_the_call(self) -> None:
        found = compare(call(route("c", 4, prefix="/a/")), items_of(HELD))
        self.assertThat(
            [(one.kind, one.what, one.why) for one in found],
            Equals([("route", "set", "new"), ("call", "invalid", "two routes at h/a/")]),
        )
        for damaged in (b"\xff", b"[1]", b'{"Apply":{"Plants":7}}', b'{"Apply":{"Hosts":[7]}}'):
            self.assertThat([one.what for one in compare(damaged, {})], Equals(["invalid"]), repr(damaged))

    def test_other_content_with_a_stored_version_is_a_fault_of_the_call(self) -> None:
        other = {**route("a", 3), "Cutoff": "2s"}
        for body in (call(other), call(remove=[{"Name": "a", "Revision": "r3"}])):
            found = compare(body, items_of(HELD))
            self.assertThat(
                [(one.kind, one.what) for one in found], Equals([("route", "no effect"), ("call", "invalid")])
            )
            self.assertThat(found[-1].why, Equals("acknowledged with other content before: route 'a' r3"))

    def test_the_output_of_show_can_be_applied(self) -> None:
        layout = b'{"Plants":[{"Name":"q","Revision":"r1"}],"Hosts":[]}'
        self.assertThat([one.name for one in compare(as_call(layout), {})], Equals(["q"]))
        complete = call(route("a", 3))
        self.assertThat(as_call(complete), Equals(complete))


class Backups(TestCase):
    def test_a_restore_sets_all_items_of_an_empty_mesh_and_no_newer_ones(self) -> None:
        body = archive.restoring_call(archive.unpack(archive.pack(ITEMS, "now")))
        first = decide(parse_change(body), ItemIndex(), lambda _: History())
        self.assertThat((first.result, first.items), Equals((CommandDone(), items_of(HELD))))
        newer = items_of([*HELD[:1], StoredItem("route", "a", 9, 8), *HELD[2:]])
        second = decide(parse_change(body), ItemIndex.of(newer.items()), lambda _: History())
        self.assertThat((second.result, second.items), Equals((CommandDone(), {})))

    def test_a_damaged_or_newer_file_is_rejected(self) -> None:
        complete = archive.pack(ITEMS, "now")
        with ExpectedException(archive.InvalidBackup, "it is damaged: its checksum .*"):
            archive.unpack(complete.replace(b'"r3"', b'"r4"', 1))
        with ExpectedException(archive.InvalidBackup, "it is no backup, or a damaged one: .*"):
            archive.unpack(complete[:-20])
        with ExpectedException(archive.InvalidBackup, "it is of form 2, written by a newer program; .*"):
            archive.unpack(complete.replace(b'"form": 1', b'"form": 2'))
        self.assertThat(archive.unpack(complete).place, Equals(7))


def standing(addr: str, commit_index: int, seats: str = "ABC", **more: Any) -> ReplicaStatus:
    view = tuple(Member(one, "first", 1) for one in seats)
    epoch = more.pop("epoch", 4)
    given: dict[str, Any] = {
        "is_member": addr in seats,
        "has_snapshot": True,
        "serving": True,
        "public_index": commit_index,
    }
    return ReplicaStatus(
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
    def test_members_are_in_chain_order_with_those_that_did_not_answer(self) -> None:
        statuses = [
            standing("A", 9, "BAC", peers=(PeerStatus("C", "zC", True),)),
            standing("B", 12, "BAC", duties=("mend",)),
            standing("D", 3, "BAC", epoch=3, serving=False, leaving=True),
        ]
        rows = figures.members(statuses, [("C", "no answer")])
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
        self.assertThat(figures.all_members_serve(statuses), Equals(False))
        self.assertThat(figures.all_members_serve([*statuses, standing("C", 12, "BAC")]), Equals(True))

    def test_the_number_of_members_that_may_fail(self) -> None:
        spare = [
            figures.spare_members([standing(one, 1, seats) for one in seats])
            for seats in ("AB", "ABC", "ABCD", "ABCDE", "A")
        ]
        self.assertThat(spare, Equals([0, 1, 1, 2, -1]))
        unfit = [standing("A", 1), standing("B", 1, disk_healthy=False)]  # and C does not answer
        self.assertThat(figures.spare_members(unfit), Equals(-1))

    def test_a_proxy_that_does_not_report_its_index_counts_as_lagging(self) -> None:
        statuses = [
            standing("A", 9, proxies=(FollowerStatus("p1", 9, 9), FollowerStatus("p2", 9))),
            standing(
                "B",
                9,
                proxies=(FollowerStatus("p3", 9, 6),),
                upstreams=(("p4", UpstreamReport("i", "s", "z", "ready")),),
            ),
        ]
        self.assertThat(figures.lagging_proxies(statuses, 7), Equals(["p2", "p3"]))
        self.assertThat([row["behind"] for row in figures.pilots(statuses)], Equals([0, None, 3]))
        self.assertThat(figures.machines_without_follower(statuses[1:]), Equals(["p4"]))

    def test_the_earliest_index_of_an_item_counts(self) -> None:
        late = ItemList(True, 9, 2, tuple(msgspec.structs.replace(one, index=9) for one in HELD))
        names = [(("plant", "p"), 3), (("route", "a"), 3)]
        self.assertThat(figures.index_of(names, [late, ITEMS]), Equals(2))
        self.assertThat(figures.index_of([*names, (("route", "b"), 10)], [late, ITEMS]), Equals(None))


class RequestRecords(TestCase):
    """The proxies' records of their requests."""

    def test_a_request_is_shown_hop_by_hop(self) -> None:
        request_log, request = RequestLog(), Request("7", "r", 0)
        request_log.record_request("7", b"id-1", 1_000_000, "r", "s", 500_000)
        request_log.attempt_began(request, 0, "i-1", 1_000_300)
        request_log.attempt_ended(request, 0, "i-1", Outcome.NOT_SENT, 2_000)
        request_log.attempt_began(request, 1, "i-2", 1_002_400)
        request_log.attempt_ended(request, 1, "i-2", Outcome.OK, 9_000)
        request_log.ended(request, 200, 1_000_000, 1_011_400)
        request_log.record_ingress(b"id-1", 1_000_900, 400, "r", "i-1", b"", HopOutcome.AWAY, "draining")
        request_log.record_rejection(b"id-2", 5_000_000, 404, "no route")
        found = hops.in_order([FollowerStatus("10.0.0.9", 1, 1, request_log.records_of("id-1"))])
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
            hops.text("p", request_log.records_of("id-2")[0]),
            MatchesRegex(r".* out  p  answered 404: no route"),
        )

    def test_unusual_requests_are_kept_longer_and_all_records_are_bounded(self) -> None:
        request_log = RequestLog(max_requests=3, max_unusual=2)
        for n in range(MAX_OPEN + 50):
            name, request = b"id-%d" % n, Request(str(n), "r", 0)
            request_log.record_request(request.request, name, n, "r", "s", 0)
            request_log.attempt_began(request, 0, "i-1", n)
            if n < 20:
                request_log.ended(request, 503 if n in (4, 6, 8) else 200, n, n + 1)
        known = [n for n in range(MAX_OPEN + 50) if request_log.records_of(f"id-{n}")]
        self.assertThat(known, Equals([6, 8, *range(MAX_OPEN + 47, MAX_OPEN + 50)]))
        self.assertThat(len(request_log._open), Equals(MAX_OPEN))
