"""The control plane under faults: no acknowledged write is lost while at most the tolerated replicas fail."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import pytest
from simulated_cluster import SimulatedCluster
from testtools import TestCase
from testtools.matchers import Equals, HasLength
from timeline import play

from brackengate.control.replica import FIRST_INCARNATION
from brackengate.protocol.messages import Amend, Claim, CommandDone, HeldBy, Read


class Repair(TestCase):
    def test_a_key_is_claimed_once_through_whichever_replica(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            1500  | head           in             in
            2000  | claim k1 g1
            2000  |                claim k2 g2
            2300  |                               claim k1 g2
            2300  | serves         serves         serves
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k2 g2": "ok", "k1 g2": "held by g1"}))

    def test_the_chain_goes_on_without_its_head(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  | claim k1 g1
            2100  | down
            2101  |                               claim k2 g2
            2400  |                head           in
            2500  |                claim k1 g3
            4000  | up
            6000  | in             head           in
            6000  | has k2
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k2 g2": "ok", "k1 g3": "held by g1"}))

    def test_the_chain_goes_on_without_its_tail(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  |                               down
            2050  | claim k1 g1
            2400  | head           in
            4000  |                               up
            6000  |                               has k1
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok"}))

    def test_a_partitioned_member_stops_serving_and_comes_back_by_a_snapshot(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  |                cut
            3500  | in             away           in
            3500  |                claim k1 g1
            3500  | claim k2 g2
            5000  |                heal
            8000  |                has k2
            8000  |                serves
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k2 g2": "ok"}))  # k1 once B is back

    def test_a_partitioned_head_acknowledges_nothing_more(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  | cut
            2010  | claim k1 g1
            4000  |                claim k1 g2
            4000  | away
            6000  | heal
            9000  | has k1
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "held by g2", "k1 g2": "ok"}))

    def test_a_member_that_receives_but_cannot_send_is_removed(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  | mute
            4000  |                head           in
            4000  |                claim k1 g1
            6000  | heal
            9000  | has k1
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok"}))

    def test_nobody_is_refused_for_a_claim_that_was_never_committed(self) -> None:
        """A's claim is only in its memory and is lost with the process: B's claim succeeds."""
        _, answers = play(
            """
            ms    | A              B              C
            2000  | stall 4000
            2010  | claim k1 g1
            2012  |                claim k1 g2
            2016  | down
            4000  |                has k1
            4000  |                               claim k1 g3
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "silent", "k1 g2": "ok", "k1 g3": "held by g2"}))

    def test_a_claim_that_was_sent_twice_is_refused_only_if_both_were(self) -> None:
        """C is paused, so B submits its claim again; k1 is freed between the two, and the second succeeds."""
        _, answers = play(
            """
            ms    | A              B              C
            2000  | claim k1 g1
            2100  |                               freeze 550
            2110  |                claim k1 g2
            2200  | free k1 g1
            4000  |                               claim k1 g3
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k1 g2": "ok", "k1 g3": "held by g2"}))

    def test_a_head_that_was_paused_is_not_the_head_when_it_resumes(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  | freeze 3000
            2100  | claim k1 g1
            4000  |                claim k1 g2
            4000  |                head           in
            8000  | in             head           in
            """
        )
        self.assertThat(answers["k1 g2"], Equals("ok"))
        self.assertThat(answers["k1 g1"], Equals("held by g2"))

    def test_a_stalled_disk_does_not_block_the_chain(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  |                stall 4000
            2050  | claim k1 g1
            3800  | claim k2 g2
            4000  | in             out            in
            9000  |                has k2
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k2 g2": "ok"}))

    def test_each_half_of_four_waits_for_the_other(self) -> None:
        cluster, answers = play(
            """
            ms    | A              B              C              D
            1500  | in             in             in             in
            2000  | cut            cut
            3500  | claim k1 g1                   claim k1 g2
            3900  | away                          away
            6000  | heal
            """,
            seeds=3,
        )
        self.assertThat(
            sorted(answers.values())[0], Equals("held by g1" if answers["k1 g1"] == "ok" else "held by g2")
        )
        self.assertThat({view.epoch for view in cluster.views().values()}, HasLength(1))

    def test_all_seeds_are_replaced_by_new_machines(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C              D              E
            0     |                                              down           down
            2000  | claim k1 g1
            3000  |                                              up
            5000  | down                                         in
            7000  |                                                             up
            9000  |                down                          in             in
            12000 |                               in             has k1         has k1
            12000 |                                              claim k1 g2
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k1 g2": "held by g1"}))


class Leaving(TestCase):
    def test_a_member_leaves_and_stays_out_until_it_rejoins(self) -> None:
        for leaver, head in (("A", "B"), ("B", "A"), ("C", "A")):
            look = {name: "out" if name == leaver else "head" if name == head else "in" for name in "ABC"}
            tell = {name: "leave" if name == leaver else "" for name in "ABC"}
            back = {name: "rejoin" if name == leaver else "" for name in "ABC"}
            _, answers = play(
                f"""
                ms    | A              B              C
                2000  | claim k1 g1
                2100  | {tell["A"]:14} {tell["B"]:14} {tell["C"]:14}
                2105  |                claim k2 g2
                2900  | {look["A"]:14} {look["B"]:14} {look["C"]:14}
                6000  | {look["A"]:14} {look["B"]:14} {look["C"]:14}
                6100  | {back["A"]:14} {back["B"]:14} {back["C"]:14}
                8000  | in             in             in
                8000  | has k2         has k2         has k2
                """
            )
            self.assertThat(answers, Equals({"k1 g1": "ok", "k2 g2": "ok", leaver: ""}))

    def test_a_restart_cancels_a_leave(self) -> None:
        play(
            """
            ms    | A              B              C
            2000  |                               leave
            3000  |                               out
            3100  |                               down
            3500  |                               up
            6000  | in             in             in
            """
        )

    def test_no_member_leaves_if_too_few_would_remain(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  |                               down
            4000  | in             leave
            4000  | leave
            6000  | in             in
            6000  | claim k1 g1
            """
        )
        self.assertThat(answers["k1 g1"], Equals("ok"))
        self.assertThat(answers["A"], Equals(answers["B"]))
        self.assertThat(answers["A"][:43], Equals("1 of the 2 members of view 2 would be left;"))

    def test_of_two_that_are_asked_to_leave_at_the_same_moment_one_stays(self) -> None:
        """Neither knows of the other's request: B stays until there is a third member."""
        _, answers = play(
            """
            ms    | A              B              C              D
            400   |                                              down
            2000  | leave          leave
            4000  | out            head           in
            4000  |                               claim k1 g1
            5000  |                                              up
            9000  | out            out            head           in
            9000  |                                              has k1
            """
        )
        self.assertThat(answers, Equals({"A": "", "B": "", "k1 g1": "ok"}))

    def test_a_member_is_replaced_only_if_another_replica_can_be_admitted(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C              D
            400   |                                              down
            2000  |                replaced
            2900  | in             in             in
            """
        )
        self.assertThat(
            answers,
            Equals(
                {
                    "B": "2 members would be left and no other replica waits to be admitted;"
                    " it takes 3 to lose 1 more"
                }
            ),
        )
        _, answers = play(
            """
            ms    | A              B              C              D
            400   |                                              down
            2000  |                                              up
            5000  |                replaced
            7000  | in             out            in             in
            """
        )
        self.assertThat(answers, Equals({"B": ""}))


class Losses(TestCase):
    def test_all_are_killed_and_come_back(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  | claim k1 g1
            2100  | down           down           down
            2900  | up             up             up
            4000  |                claim k1 g2    has k1
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k1 g2": "held by g1"}))

    def test_a_disk_is_lost_while_the_others_lose_power(self) -> None:
        for lost in "ABC":
            cells = {name: "wipe" if name == lost else "down" for name in "ABC"}
            _, answers = play(
                f"""
                ms    | A              B              C
                2000  | claim k1 g1
                2100  | {cells["A"]:14} {cells["B"]:14} {cells["C"]:14}
                2900  | up             up             up
                6000  | has k1         has k1         has k1
                6000  | claim k1 g2
                """
            )
            self.assertThat(answers, Equals({"k1 g1": "ok", "k1 g2": "held by g1"}), lost)

    def test_a_voter_with_an_empty_disk_has_no_vote(self) -> None:
        """Only B knows of the second view.  It must not agree on a third one with C's empty disk."""
        _, answers = play(
            """
            ms    | A              B              C
            2000  | claim k1 g1
            2200  | down                          wipe
            2900  |                               up
            4500  |                away           out
            4500  |                claim k2 g2
            5500  | up
            8000  | in             has k1         has k1
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k2 g2": "ok"}))

    def test_of_two_members_one_may_lose_its_disk(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  | claim k1 g1                   down
            4000  | claim k2 g2
            4200  | wipe
            5000  | up
            8000  | has k2         head
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "ok", "k2 g2": "ok"}))

    def test_power_is_lost_around_each_step_of_an_acknowledgement(self) -> None:
        """A claim acknowledged before the power loss is found, at every moment between the first store and
        the last."""
        for late in range(0, 8_000, 250):
            cluster = SimulatedCluster([f"10.0.0.{n}:80" for n in (1, 2, 3)], seed=late)
            answers_received: list[Any] = []
            hosts = list(cluster.hosts.values())
            cluster.run(2_000_000)
            hosts[1].ask(Claim("k1", "g1", "1"), answers_received.append)
            cluster.run(cluster.now + late)
            acknowledged = list(answers_received)
            for host in hosts:
                host.stop(wipe=host is hosts[late % 3])
            for host in hosts:
                cluster.later(500_000, host.start)
            cluster.run(cluster.now + 6_000_000)
            again: list[Any] = []
            hosts[2].ask(Claim("k1", "g2", "2"), again.append)
            cluster.run(cluster.now + 2_000_000)
            if acknowledged:
                self.assertThat(again, Equals([HeldBy("g1", "1")]), f"{late} us")
            else:
                self.assertThat(again, HasLength(1), f"{late} us")

    def test_a_chain_shorter_than_min_replicas_accepts_no_writes(self) -> None:
        _, answers = play(
            """
            ms    | A              B              C
            2000  |                down           down
            3000  | claim k1 g1
            3500  | away
            """
        )
        self.assertThat(answers, Equals({"k1 g1": "silent"}))


class Configuration(TestCase):
    def test_two_operators_race_and_the_higher_version_wins_everywhere(self) -> None:
        cluster = SimulatedCluster([f"10.0.0.{n}:80" for n in (1, 2, 3)], seed=3)
        hosts, answers_received = list(cluster.hosts.values()), list[Any]()
        cluster.run(2_000_000)
        plant = '{"Apply":{"Plants":[{"Name":"p","HealthPath":"/%s","Revision":"r%d"}]}}'
        hosts[0].ask(Amend(plant % ("old", 4)), answers_received.append)
        hosts[2].ask(Amend(plant % ("new", 7)), answers_received.append)
        hosts[1].ask(Amend(plant % ("older", 2)), answers_received.append)
        cluster.run(cluster.now + 1_000_000)
        self.assertThat(answers_received, Equals([CommandDone()] * 3))
        for host in hosts:
            read: list[Any] = []
            host.ask(Read(), read.append)
            cluster.run(cluster.now + 500_000)
            self.assertThat(
                read[0].content["Plants"], Equals([{"Name": "p", "HealthPath": "/new", "Revision": "r7"}])
            )

    def test_published_versions_never_go_back(self) -> None:
        cluster = SimulatedCluster([f"10.0.0.{n}:80" for n in (1, 2, 3)], seed=5)
        hosts = list(cluster.hosts.values())
        cluster.run(2_000_000)
        for version in range(1, 30):
            body = f'{{"Apply":{{"Plants":[{{"Name":"p","Revision":"r{version}"}}]}}}}'
            hosts[version % 3].ask(Amend(body), lambda _: None)
            cluster.run(cluster.now + 100_000)
            if version == 10:
                hosts[0].stop()
            if version == 20:
                hosts[0].start()
        for host in hosts:
            seen = [rows[0][2][0] for index, rows in host.published if index >= 0]
            self.assertThat(seen, Equals(sorted(set(seen))), host.name)


def test_a_member_with_a_damaged_file_is_admitted_again(tmp_path: Path) -> None:
    """All were in the first view; those with damaged files come back as new incarnations."""
    cluster, answers = play(
        """
        ms    | A              B              C
        2000  | claim k1 g1
        2500  | damage k1
        2900  |                head
        3000  | up
        3050  | out
        4000  |                claim k2 g2
        7000  | in             head           in
        7000  | has k1
        7000  | has k2
        8000  |                down           down
        9000  | damage k2
        9500  | up             up             up
        16000 | in             in             in
        16000 | has k2         has k1
        """,
        folder=tmp_path,
    )
    assert answers == {"k1 g1": "ok", "k2 g2": "ok"}
    incarnations = {
        member.addr: member.incarnation for view in cluster.views().values() for member in view.members
    }
    assert [incarnations[name] == FIRST_INCARNATION for name in cluster.hosts] == [False, True, True]


def test_damage_next_to_a_promise_costs_the_vote(tmp_path: Path) -> None:
    """B must not form a view with C, whose file may have lost its promise to A."""
    _, answers = play(
        """
        ms    | A              B              C
        2000  | claim k1 g1
        2200  | down                          damage lineage
        2900  |                               up
        4500  |                away           out
        4500  |                claim k2 g2
        5500  | up
        9000  | in             has k1         has k1
        """,
        folder=tmp_path,
    )
    assert answers == {"k1 g1": "ok", "k2 g2": "ok"}


@pytest.mark.parametrize("members", [3, 4, 5])
@pytest.mark.parametrize("seed", range(4))
def test_random_faults_lose_no_claim_and_grant_none_twice(members: int, seed: int) -> None:
    cluster, rng = SimulatedCluster([f"10.0.0.{n}:80" for n in range(members)], seed), random.Random(seed)
    hosts, granted, count = list(cluster.hosts.values()), dict[str, str](), [0]

    def client() -> None:
        if count[0] < 700:
            count[0] += 1
            key = f"k{rng.randrange(1, count[0] + 1)}" if rng.random() < 0.4 else f"k{count[0]}"
            gate = f"g{count[0]}"

            def done(result: Any) -> None:
                if result is not None and not isinstance(result, HeldBy):
                    assert granted.setdefault(key, gate) == gate
                elif result is not None:
                    assert granted.get(key, result.owner) == result.owner

            rng.choice(hosts).ask(Claim(key, gate, "1"), done)
            cluster.later(rng.randrange(50_000), client)

    def fault() -> None:
        if cluster.now > 16_000_000:
            return
        host, duration = rng.choice(hosts), rng.randrange(500_000, 3_000_000)
        others = [(host.name, other.name) for other in hosts if other is not host]
        kind = rng.choice(("down", "wipe", "cut", "mute", "stall", "freeze", "leave", "all"))
        if kind in ("down", "wipe"):
            host.stop(wipe=kind == "wipe")
            cluster.later(duration, host.start)
        elif kind in ("cut", "mute"):
            cluster.cut([*others, *((b, a) for a, b in others if kind == "cut")])
            cluster.later(duration, cluster.heal)
        elif kind == "leave" and host.replica is not None:
            host.replica.leave(rng.random() < 0.5, cluster.now)
            cluster.later(duration, host.replica.rejoin)
        elif kind == "stall":
            host.stalled_until = cluster.now + duration
        elif kind == "freeze":
            host.frozen_until = cluster.now + duration
        else:
            for one in hosts:
                one.stop()
                cluster.later(rng.randrange(100_000, 1_000_000), one.start)
        cluster.later(duration + 4_500_000, fault)

    cluster.later(1_500_000, client)
    cluster.later(2_500_000, fault)
    cluster.run(28_000_000)
    assert len({view.epoch for view in cluster.views().values()}) == 1
    for host in hosts:
        assert host.replica is not None and host.replica.chain.has_snapshot
        assert [key for key in granted if ("key", key) not in host.replica.chain.rows] == []
    assert len(granted) > 200
