"""Decisions of a proxy without sockets: routing, admission, load, hop headers and choice of replica."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from brackengate.http.upstream import UpstreamResponse
from brackengate.interface import EarlierAttempt, Endpoint, Outcome
from brackengate.net.node import STATUS_BAD_GATEWAY, STATUS_GATEWAY_TIMEOUT, STATUS_UNAVAILABLE
from brackengate.net.upstream import Result
from brackengate.protocol.config_items import WeightedService
from brackengate.protocol.messages import UpstreamReport
from brackengate.proxy.admission import Admission, Heartbeat, OperationState, OperationStore
from brackengate.proxy.control_client import rank_replicas
from brackengate.proxy.egress import EgressReplies
from brackengate.proxy.hop_headers import HOP, HopInfo, HopOutcome, parse_hop_info
from brackengate.proxy.load import UpstreamLoad
from brackengate.proxy.routing_table import RoutingTable, choose_service, host_without_port

MS, S = 1_000, 1_000_000


def route(name: str, prefix: str, version: int, plant: str = "p") -> tuple[str, str, object]:
    body = {
        "Name": name,
        "PathPrefix": prefix,
        "SignalKind": "idempotent",
        "Cutoff": "1s",
        "Plant": plant,
        "Revision": f"r{version}",
    }
    return "route", name, [version, "h.example", body]


class RoutingTables(TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        table = RoutingTable()
        table.apply_snapshot(1, [route("a", "/a/", 1), route("ab", "/a/b/", 1)])
        found = [table.find("h.example", path) for path in ("/a/b/c", "/a/bc", "/a/b/", "/a", "/x/a/")]
        self.assertThat([one.name if one else None for one in found], Equals(["ab", "a", "ab", None, None]))
        self.assertThat(table.find("other.example", "/a/b"), Equals(None))

    def test_without_any_item_there_is_no_configuration(self) -> None:
        """A new control plane accepts followers before it has any item."""
        table, one = RoutingTable(), {"id": "i-1", "plant": "p", "zone": "z", "state": "ready"}
        known = [table.has_configuration]
        table.apply_snapshot(3, [("inst", "10.0.0.1", one)])
        known.append(table.has_configuration)
        table.apply_changes(4, [route("a", "/a/", 1)])
        self.assertThat([*known, table.has_configuration], Equals([False, False, True]))

    def test_older_version_of_an_item_is_ignored(self) -> None:
        table = RoutingTable()
        table.apply_snapshot(5, [route("a", "/new/", 7)])
        table.apply_snapshot(4, [route("a", "/old/", 3)])
        table.apply_changes(6, [route("a", "/old/", 3)])
        self.assertThat(table.find("h.example", "/new/x") is not None, Equals(True))
        self.assertThat(table.find("h.example", "/old/x"), Equals(None))

    def test_snapshot_removes_upstreams_that_it_does_not_name(self) -> None:
        table, one = RoutingTable(), {"id": "i-1", "plant": "p", "zone": "z", "state": "ready"}
        table.apply_snapshot(1, [("inst", "10.0.0.1", one), ("inst", "10.0.0.2", {**one, "id": "i-2"})])
        table.apply_snapshot(9, [("inst", "10.0.0.2", {**one, "id": "i-3"})])
        self.assertThat({name: it.id for name, it in table.instances.items()}, Equals({"10.0.0.2": "i-3"}))

    def test_weights_and_hosts(self) -> None:
        parts = (WeightedService("a", 90), WeightedService("b", 0), WeightedService("c", 10))
        self.assertThat(
            [choose_service(parts, at) for at in (0.0, 0.89, 0.9, 0.999)], Equals(["a", "a", "c", "c"])
        )
        self.assertThat(
            [host_without_port(b"H.example:80"), host_without_port(b"h.example")], Equals(["h.example"] * 2)
        )

    def test_proxies_of_a_zone_without_a_replica_spread_over_all_replicas(self) -> None:
        members = [("a", "z1"), ("b", "z2"), ("c", "z3")]
        first = [rank_replicas(f"10.0.0.{n}", "z4", members)[0] for n in range(60)]
        self.assertThat(max(first.count(one) for one in "abc"), LessThan(35))
        self.assertThat({rank_replicas(f"10.0.0.{n}", "z2", members)[0] for n in range(9)}, Equals({"b"}))


class Admissions(TestCase):
    def admission(self) -> Admission:
        admission = Admission("z", 1500 * MS, 2 * S)
        admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 6, 0, 1), 0)
        return admission

    def test_only_the_current_incarnation_of_the_upstream_is_reached(self) -> None:
        admission = self.admission()
        self.assertThat(
            [admission.rejection_reason("i-1", 0), bool(admission.rejection_reason("i-0", 0))],
            Equals(["", True]),
        )
        admission.receive_heartbeat(Heartbeat("i-2", "p", "ready", 6, 0, 1), 10)
        self.assertThat(
            [bool(admission.rejection_reason("i-1", 10)), admission.rejection_reason("i-2", 10)],
            Equals([True, ""]),
        )
        # A late heartbeat of the earlier incarnation.
        admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 6, 0, 9), 20)
        self.assertThat(admission.rejection_reason("i-2", 20), Equals(""))

    def test_nothing_reaches_a_draining_upstream_near_its_drain_time(self) -> None:
        admission = self.admission()
        admission.receive_heartbeat(Heartbeat("i-1", "p", "draining", 6, 0, 2), 1 * S)
        admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 6, 0, 3), 1 * S)  # draining is final
        self.assertThat(
            [admission.rejection_reason("i-1", 1500 * MS), bool(admission.rejection_reason("i-1", 2 * S))],
            Equals(["", True]),
        )
        report = admission.report(2 * S)
        self.assertThat(report is not None and report.state, Equals("draining"))

    def test_upstream_that_left_or_went_silent_is_gone(self) -> None:
        admission = self.admission()
        self.assertThat([admission.is_silent(5 * S), admission.is_silent(6 * S)], Equals([False, True]))
        admission.remove_upstream("i-1")
        self.assertThat(
            [bool(admission.rejection_reason("i-1", 1)), admission.report(1)], Equals([True, None])
        )
        self.assertThat(
            admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 6, 0, 99), 2), Equals(False)
        )

    def test_proxy_that_shuts_down_reports_it_before_it_closes(self) -> None:
        admission = self.admission()
        admission.leaving = True
        report = admission.report(0)
        self.assertThat([admission.rejection_reason("i-1", 0), report and report.state], Equals(["", "away"]))
        admission.closed = True
        self.assertThat(bool(admission.rejection_reason("i-1", 0)), Equals(True))

    def test_restarted_proxy_adopts_its_upstream_until_the_first_heartbeat_is_overdue(self) -> None:
        for state, admits in (("ready", True), ("away", True), ("draining", False), ("gone", False)):
            admission = Admission("z", 1500 * MS, 2 * S)
            admission.adopt(UpstreamReport("i-1", "p", "z", state, 6), 10 * S)
            self.assertThat(admission.rejection_reason("i-1", 11 * S) == "", Equals(admits), state)
            self.assertThat(bool(admission.rejection_reason("i-1", 13 * S)), Equals(True), state)
        admission = self.admission()
        admission.adopt(UpstreamReport("i-0", "p", "z", "ready", 6), 0)
        self.assertThat(admission.rejection_reason("i-1", 0), Equals(""))

    def test_operations_are_evicted_by_bytes_and_age_but_never_in_progress(self) -> None:
        held = OperationStore(60 * S, max_bytes=1000)
        busy = held.begin("busy", "1", 0)
        for n in range(20):
            held.store_answer(held.begin(f"k{n}", "1", n), "answer", 100)
        held.get("none", 100)
        self.assertThat(held.get("busy", 100) is busy, Equals(True))
        busy.state = OperationState.OUTCOME_UNKNOWN
        self.assertThat(held.get("busy", 100), Equals(None))
        self.assertThat(held.get("k19", 200 * S), Equals(None))


class Loads(TestCase):
    def loaded(self, running: int, **means: int) -> UpstreamLoad:
        load = UpstreamLoad()
        load.slots = 4
        for kind, mean in (means or {"r": 100 * MS}).items():
            for _ in range(50):
                load.record_end(load.record_start(kind, 0), mean, True)
        for _ in range(running):
            load.record_start("r", 0)
        return load

    def test_free_slot_accepts_anything(self) -> None:
        self.assertThat(self.loaded(3).accepts("r", 2, 1, 1, False, 0), Equals(True))

    def test_late_requests_are_rejected_and_client_retries_preferred(self) -> None:
        results = [self.loaded(n).accepts("r", 2, 300 * MS, 700 * MS, False, 0) for n in range(3, 14)]
        # With seven waiting, the wait of 175 ms is more than 0.85 of what the target leaves, 300 - 100 ms.
        self.assertThat(results.index(False), Equals(7))
        self.assertThat(self.loaded(11).accepts("r", 2, 300 * MS, 700 * MS, True, 0), Equals(True))

    def test_request_past_its_target_waits_behind_few(self) -> None:
        results = [self.loaded(n).accepts("r", 2, -100 * MS, 400 * MS, False, 0) for n in range(3, 14)]
        self.assertThat(results.index(False), Equals(4))

    def test_lower_priority_leaves_room_for_requests_that_can_wait_less(self) -> None:
        """Calls of 20 ms that others wait for, beside reads of 100 ms that may wait for 300 ms."""
        for priority, may_wait in ((1, 1), (2, 2), (3, 6)):  # of the call: above, equal to, below the reads
            results = []
            for n in range(4, 16):
                load = self.loaded(n, call=20 * MS, r=100 * MS)
                load.accepts("call", priority, 100 * MS, 200 * MS, False, 0)
                results.append(load.accepts("r", 2, 300 * MS, 700 * MS, False, 0))
            self.assertThat(results.index(False), Equals(may_wait), f"priority {priority}")
        load = self.loaded(8, call=20 * MS, r=100 * MS)
        load.accepts("call", 1, 100 * MS, 200 * MS, False, 0)
        # The last call was too long ago to count.
        self.assertThat(load.accepts("r", 2, 300 * MS, 700 * MS, False, 3 * S), Equals(True))

    def test_short_requests_among_long_ones_may_be_late_rather_than_rejected(self) -> None:
        """Their callers have spent more on them, and they delay the others little."""
        for kind, accepted in (("call", 4), ("r", 1)):
            results = []
            for n in range(4, 16):
                load = self.loaded(n, call=20 * MS, r=100 * MS)
                results.append(load.accepts(kind, 1, 30 * MS, 200 * MS, False, 0))
            self.assertThat(results.index(False), Equals(accepted), kind)

    def test_late_request_of_higher_priority_does_not_block_the_others(self) -> None:
        load = self.loaded(5, bid=60 * MS, r=100 * MS)
        load.accepts("bid", 1, 200 * MS, 500 * MS, False, 0)
        load.accepts("bid", 1, 10 * MS, 300 * MS, True, 0)  # a client's retry, near its target latency
        self.assertThat(load.accepts("r", 2, 300 * MS, 700 * MS, False, 0), Equals(True))

    def test_wait_behind_long_requests_does_not_count_as_service_time(self) -> None:
        load = self.loaded(8, call=20 * MS, r=100 * MS)
        for _ in range(30):  # each waits for five of those before it: 125 ms
            load.record_end(load.record_start("call", 0), 145 * MS, True)
        self.assertThat(load.accepts("call", 1, 150 * MS, 160 * MS, False, 0), Equals(False))
        load = self.loaded(7, call=20 * MS, r=100 * MS)
        self.assertThat(load.accepts("call", 1, 150 * MS, 160 * MS, False, 0), Equals(True))


class Hops(TestCase):
    def test_hop_info_round_trip(self) -> None:
        for step in (HopInfo("i-1", True, 2, True, -40, True, "r-1", 2), HopInfo("i-1", False, route="x")):
            name, _, value = step.header_line().strip().partition(b": ")
            self.assertThat([name, parse_hop_info({HOP.lower(): value})], Equals([HOP, step]))
        self.assertThat(parse_hop_info({}), Equals(None))


class Callers(TestCase):
    """Answers to clients whose requests were not served."""

    def test_only_requests_that_have_not_run_get_503(self) -> None:
        def answer(outcome: HopOutcome, status: int = 503) -> Result:
            fields = {HOP.lower(): outcome.value}
            return Result(
                Outcome.TIMEOUT, response=UpstreamResponse(status, fields, b"", True, [(HOP, outcome.value)])
            )

        ran = EarlierAttempt(Endpoint("i-1"), 0)
        cases = (
            ("all turned it away", STATUS_UNAVAILABLE, answer(HopOutcome.FULL), (), 503),
            ("it broke after the request", STATUS_UNAVAILABLE, answer(HopOutcome.BROKEN), (ran,), 502),
            ("nothing came back at all", STATUS_UNAVAILABLE, None, (ran,), 502),
            ("rejected, after it broke elsewhere", STATUS_UNAVAILABLE, answer(HopOutcome.FULL), (ran,), 502),
            (
                "the outcome of its operation is unknown",
                STATUS_BAD_GATEWAY,
                answer(HopOutcome.UNKNOWN),
                (ran,),
                503,
            ),
            (
                "unknown outcome, and another attempt of it broke",
                STATUS_BAD_GATEWAY,
                answer(HopOutcome.UNKNOWN),
                (ran, ran),
                502,
            ),
            ("its operation is at work", STATUS_BAD_GATEWAY, answer(HopOutcome.BUSY, 409), (ran,), 409),
            ("the upstream's own error", STATUS_UNAVAILABLE, answer(HopOutcome.RAN, 500), (ran,), 500),
            ("its time is up", STATUS_GATEWAY_TIMEOUT, None, (ran,), 504),
        )
        for what, status, last, might, expected in cases:
            self.assertThat(EgressReplies().failure(status, 0, last, might).status, Equals(expected), what)
