"""What a pilot decides without a socket: table, gate, load, hop, and whom it follows."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, LessThan

from brackengate.http.upstream import Answered
from brackengate.interface import EarlierAttempt, Endpoint, Outcome
from brackengate.net.node import FAILED, OVERDUE, REFUSED
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


class Following(TestCase):
    def test_the_longest_prefix_of_the_host_is_taken(self) -> None:
        table = RoutingTable()
        table.apply_snapshot(1, [route("a", "/a/", 1), route("ab", "/a/b/", 1)])
        found = [table.find("h.example", path) for path in ("/a/b/c", "/a/bc", "/a/b/", "/a", "/x/a/")]
        self.assertThat([one.name if one else None for one in found], Equals(["ab", "a", "ab", None, None]))
        self.assertThat(table.find("other.example", "/a/b"), Equals(None))

    def test_without_any_item_there_is_no_configuration(self) -> None:
        """A core that has just begun is followed, and has nothing yet."""
        table, one = RoutingTable(), {"id": "i-1", "plant": "p", "zone": "z", "state": "ready"}
        known = [table.has_configuration]
        table.apply_snapshot(3, [("inst", "10.0.0.1", one)])
        known.append(table.has_configuration)
        table.apply_changes(4, [route("a", "/a/", 1)])
        self.assertThat([*known, table.has_configuration], Equals([False, False, True]))

    def test_no_item_goes_back_whichever_lighthouse_says_so(self) -> None:
        table = RoutingTable()
        table.apply_snapshot(5, [route("a", "/new/", 7)])
        table.apply_snapshot(4, [route("a", "/old/", 3)])
        table.apply_changes(6, [route("a", "/old/", 3)])
        self.assertThat(table.find("h.example", "/new/x") is not None, Equals(True))
        self.assertThat(table.find("h.example", "/old/x"), Equals(None))

    def test_upstreams_that_a_snapshot_does_not_name_are_gone(self) -> None:
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

    def test_pilots_of_a_zone_without_a_member_spread_over_the_others(self) -> None:
        members = [("a", "z1"), ("b", "z2"), ("c", "z3")]
        first = [rank_replicas(f"10.0.0.{n}", "z4", members)[0] for n in range(60)]
        self.assertThat(max(first.count(one) for one in "abc"), LessThan(35))
        self.assertThat({rank_replicas(f"10.0.0.{n}", "z2", members)[0] for n in range(9)}, Equals({"b"}))


class Gates(TestCase):
    """ms | upstream                     | requests"""

    def admission(self) -> Admission:
        admission = Admission("z", 1500 * MS, 2 * S)
        admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 6, 0, 1), 0)
        return admission

    def test_only_its_own_life_of_the_upstream_is_reached(self) -> None:
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
        admission.receive_heartbeat(
            Heartbeat("i-1", "p", "ready", 6, 0, 9), 20
        )  # a late beat of the life before
        self.assertThat(admission.rejection_reason("i-2", 20), Equals(""))

    def test_nothing_reaches_a_draining_upstream_near_its_drain_time(self) -> None:
        admission = self.admission()
        admission.receive_heartbeat(Heartbeat("i-1", "p", "draining", 6, 0, 2), 1 * S)
        admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 6, 0, 3), 1 * S)  # there is no way back
        self.assertThat(
            [admission.rejection_reason("i-1", 1500 * MS), bool(admission.rejection_reason("i-1", 2 * S))],
            Equals(["", True]),
        )
        report = admission.report(2 * S)
        self.assertThat(report is not None and report.state, Equals("draining"))

    def test_an_upstream_that_has_left_and_one_that_is_silent_are_gone(self) -> None:
        admission = self.admission()
        self.assertThat([admission.is_silent(5 * S), admission.is_silent(6 * S)], Equals([False, True]))
        admission.remove_upstream("i-1")
        self.assertThat(
            [bool(admission.rejection_reason("i-1", 1)), admission.report(1)], Equals([True, None])
        )
        self.assertThat(
            admission.receive_heartbeat(Heartbeat("i-1", "p", "ready", 6, 0, 99), 2), Equals(False)
        )

    def test_a_pilot_that_leaves_tells_first_and_then_closes(self) -> None:
        admission = self.admission()
        admission.leaving = True
        report = admission.report(0)
        self.assertThat([admission.rejection_reason("i-1", 0), report and report.state], Equals(["", "away"]))
        admission.closed = True
        self.assertThat(bool(admission.rejection_reason("i-1", 0)), Equals(True))

    def test_a_restarted_pilot_knows_its_upstream_until_the_first_beat_is_overdue(self) -> None:
        for state, admits in (("ready", True), ("away", True), ("draining", False), ("gone", False)):
            admission = Admission("z", 1500 * MS, 2 * S)
            admission.adopt(UpstreamReport("i-1", "p", "z", state, 6), 10 * S)
            self.assertThat(admission.rejection_reason("i-1", 11 * S) == "", Equals(admits), state)
            self.assertThat(bool(admission.rejection_reason("i-1", 13 * S)), Equals(True), state)
        admission = self.admission()
        admission.adopt(UpstreamReport("i-0", "p", "z", "ready", 6), 0)
        self.assertThat(admission.rejection_reason("i-1", 0), Equals(""))

    def test_operations_are_forgotten_by_bytes_and_age_but_never_at_work(self) -> None:
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

    def test_a_free_slot_takes_anything(self) -> None:
        self.assertThat(self.loaded(3).accepts("r", 2, 1, 1, False, 0), Equals(True))

    def test_what_would_be_late_is_turned_away_and_what_came_again_goes_first(self) -> None:
        takes = [self.loaded(n).accepts("r", 2, 300 * MS, 700 * MS, False, 0) for n in range(3, 14)]
        self.assertThat(takes.index(False), Equals(7))  # seven wait: 175 ms is more than 0.85 of the rest
        self.assertThat(self.loaded(11).accepts("r", 2, 300 * MS, 700 * MS, True, 0), Equals(True))

    def test_one_that_is_late_anyway_waits_behind_few(self) -> None:
        takes = [self.loaded(n).accepts("r", 2, -100 * MS, 400 * MS, False, 0) for n in range(3, 14)]
        self.assertThat(takes.index(False), Equals(4))

    def test_work_of_a_lower_rank_leaves_room_for_what_can_wait_less(self) -> None:
        """Calls of 20 ms that others wait for, beside reads of 100 ms that may wait for 300."""
        for rank, may_wait in ((1, 1), (2, 2), (3, 6)):  # of the call: above, beside, below the reads
            takes = []
            for n in range(4, 16):
                load = self.loaded(n, call=20 * MS, r=100 * MS)
                load.accepts("call", rank, 100 * MS, 200 * MS, False, 0)
                takes.append(load.accepts("r", 2, 300 * MS, 700 * MS, False, 0))
            self.assertThat(takes.index(False), Equals(may_wait), f"rank {rank}")
        load = self.loaded(8, call=20 * MS, r=100 * MS)
        load.accepts("call", 1, 100 * MS, 200 * MS, False, 0)
        self.assertThat(
            load.accepts("r", 2, 300 * MS, 700 * MS, False, 3 * S), Equals(True)
        )  # none came of late

    def test_short_work_among_long_comes_late_rather_than_not_at_all(self) -> None:
        """Their caller has spent more, and they cost those behind them little."""
        for kind, accepted in (("call", 4), ("r", 1)):
            takes = []
            for n in range(4, 16):
                load = self.loaded(n, call=20 * MS, r=100 * MS)
                takes.append(load.accepts(kind, 1, 30 * MS, 200 * MS, False, 0))
            self.assertThat(takes.index(False), Equals(accepted), kind)

    def test_one_of_a_higher_rank_that_is_late_already_does_not_shut_out_the_others(self) -> None:
        load = self.loaded(5, bid=60 * MS, r=100 * MS)
        load.accepts("bid", 1, 200 * MS, 500 * MS, False, 0)
        load.accepts("bid", 1, 10 * MS, 300 * MS, True, 0)  # comes again, with its aim nearly over
        self.assertThat(load.accepts("r", 2, 300 * MS, 700 * MS, False, 0), Equals(True))

    def test_what_waited_behind_long_work_is_not_taken_for_long_itself(self) -> None:
        load = self.loaded(8, call=20 * MS, r=100 * MS)
        for _ in range(30):  # each waits for five of those before it: 125 ms
            load.record_end(load.record_start("call", 0), 145 * MS, True)
        self.assertThat(load.accepts("call", 1, 150 * MS, 160 * MS, False, 0), Equals(False))
        load = self.loaded(7, call=20 * MS, r=100 * MS)
        self.assertThat(load.accepts("call", 1, 150 * MS, 160 * MS, False, 0), Equals(True))


class Hops(TestCase):
    def test_a_step_is_read_as_it_was_said(self) -> None:
        for step in (HopInfo("i-1", True, 2, True, -40, True, "r-1", 2), HopInfo("i-1", False, route="x")):
            name, _, value = step.header_line().strip().partition(b": ")
            self.assertThat([name, parse_hop_info({HOP.lower(): value})], Equals([HOP, step]))
        self.assertThat(parse_hop_info({}), Equals(None))


class Callers(TestCase):
    """What a client is told of a request that was not served."""

    def test_only_what_has_not_run_is_refused(self) -> None:
        def answer(outcome: HopOutcome, status: int = 503) -> Result:
            fields = {HOP.lower(): outcome.value}
            return Result(Outcome.TIMEOUT, answer=Answered(status, fields, b"", True, [(HOP, outcome.value)]))

        ran = EarlierAttempt(Endpoint("i-1"), 0)
        cases = (
            ("all turned it away", REFUSED, answer(HopOutcome.FULL), (), 503),
            ("it broke behind the request", REFUSED, answer(HopOutcome.BROKEN), (ran,), 502),
            ("nothing came back at all", REFUSED, None, (ran,), 502),
            ("turned away, after it broke elsewhere", REFUSED, answer(HopOutcome.FULL), (ran,), 502),
            ("its operation is known to nobody", FAILED, answer(HopOutcome.UNKNOWN), (ran,), 503),
            (
                "so is it, but another attempt of it broke",
                FAILED,
                answer(HopOutcome.UNKNOWN),
                (ran, ran),
                502,
            ),
            ("its operation is at work", FAILED, answer(HopOutcome.BUSY, 409), (ran,), 409),
            ("the upstream's own error", REFUSED, answer(HopOutcome.RAN, 500), (ran,), 500),
            ("its time is up", OVERDUE, None, (ran,), 504),
        )
        for what, status, last, might, expected in cases:
            self.assertThat(EgressReplies().unserved(status, 0, last, might).status, Equals(expected), what)
