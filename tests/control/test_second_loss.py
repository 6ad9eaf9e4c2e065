"""A second loss right after a repair: no acknowledged write is lost, and writes are accepted again."""

from __future__ import annotations

import random
from typing import Any

import pytest
from simulated_cluster import Host, SimulatedCluster
from timeline import play

from brackengate.protocol.messages import Claim, HeldBy

S = 1_000_000


class LoadedCluster:
    """A cluster under constant load: claims through any replica, each key once."""

    def __init__(self, members: int, tolerance: int, spare: int = 0, seed: int = 1) -> None:
        names = [f"10.0.0.{n + 1}:80" for n in range(members + spare)]
        self.cluster = SimulatedCluster(names, seed, tolerance + 1, members, absent=names[members:])
        self.hosts = list(self.cluster.hosts.values())
        self.granted: dict[str, str] = {}
        self.rng, self._count = random.Random(seed), 0
        self.cluster.later(1_500_000, self._client)

    def _client(self) -> None:
        self._count += 1
        key = f"k{self._count}"

        def done(result: Any) -> None:
            if result is not None:
                self.granted[key] = result.owner if isinstance(result, HeldBy) else key
                assert self.granted[key] == key

        up = [host for host in self.hosts if host.replica is not None]
        if up:
            self.rng.choice(up).ask(Claim(key, key, "1"), done)
        self.cluster.later(self.rng.randrange(100_000), self._client)

    def at(self, when: float, host: int, what: str) -> None:
        self.cluster.later(int(when * S) - self.cluster.now, lambda: self._do(self.hosts[host], what))

    def _do(self, host: Host, what: str) -> None:
        if what == "up":
            host.start()
        elif what in ("down", "wipe"):
            host.stop(wipe=what == "wipe")
        else:
            assert host.replica is not None and host.replica.leave(what == "replaced", self.cluster.now) == ""

    def check_at(self, when: float, members: int) -> None:
        """Runs until then; checks that all granted claims are on each member and that claims are granted."""
        self.cluster.run(int(when * S) - 3 * S)
        before = len(self.granted)
        self.cluster.run(int(when * S))
        views = self.cluster.views()
        view = max(views.values(), key=lambda one: one.epoch)
        assert len(view.members) == members, (view, self.cluster.agreed)
        assert len(self.granted) > before + 20, (view, self.cluster.agreed)
        for member in view.members:
            replica = self.cluster.hosts[member.addr].replica
            assert replica is not None and replica.chain.has_snapshot, member
            missing = [key for key in list(self.granted)[:-20] if ("key", key) not in replica.chain.rows]
            assert missing == [], member


@pytest.mark.parametrize(("then", "settling"), [("wipe", 4), ("gone", 6)])
@pytest.mark.parametrize(("members", "tolerance"), [(3, 1), (4, 1), (5, 1), (6, 1), (5, 2), (6, 2)])
def test_one_is_replaced_and_then_the_next_loss_comes(
    members: int, tolerance: int, then: str, settling: int
) -> None:
    """As many replicas as tolerated are lost for good, and empty ones start at other addresses a second
    later.  The next loss, of as many, follows after `Settling`."""
    for first in (0, members - 1) if then == "wipe" else (members - tolerance - 1,):
        loaded = LoadedCluster(members, tolerance, 2 * tolerance, seed=first)
        lost = [(first + n) % members for n in range(tolerance)]
        next_lost = [(first + tolerance + n) % members for n in range(tolerance)]
        for n, host in enumerate(lost):
            loaded.at(3, host, "wipe")
            loaded.at(4, members + n, "up")
        for n, host in enumerate(next_lost):
            loaded.at(4 + settling, host, "wipe")
            loaded.at(5 + settling, host if then == "wipe" else members + tolerance + n, "up")
        loaded.check_at(12 + settling, members)


@pytest.mark.parametrize("tolerance", [1, 2])
@pytest.mark.parametrize("members", [3, 4, 5, 6])
def test_a_planned_replacement_followed_by_a_loss(members: int, tolerance: int) -> None:
    """A successor waits; a member leaves and is lost once it may go, then another one loses its disk."""
    for leaver in (0, members - 1):
        loaded = LoadedCluster(members, tolerance, 1, seed=leaver)
        loaded.at(3, members, "up")
        loaded.at(3.2, leaver, "replaced")
        loaded.at(7, leaver, "wipe")
        loaded.at(11, (leaver + 1) % members, "wipe")
        loaded.at(12, (leaver + 1) % members, "up")
        loaded.check_at(18, members)


def test_three_and_four_members_with_tolerance_two_pause_writes_after_two_losses() -> None:
    """A majority of three or four survives one loss: with two lost, writes wait and nothing is lost."""
    for members in (3, 4):
        loaded = LoadedCluster(members, 2)
        loaded.at(3, 0, "down")
        loaded.at(3, 1, "down")
        loaded.cluster.run(8 * S)
        granted = len(loaded.granted)
        loaded.cluster.run(10 * S)
        assert len(loaded.granted) == granted
        loaded.at(10, 0, "up")
        loaded.at(12, 1, "up")
        loaded.check_at(18, members)


@pytest.mark.parametrize("loss", ["down", "wipe"])
def test_a_member_is_lost_while_a_learner_copies_and_right_after_its_admission(loss: str) -> None:
    """C loses its disk and comes back; A or B fails at various times until C is a member again.  It comes
    back, with its disk or without: the other one of the two holds everything and continues."""
    for late in range(0, 1_600, 200):
        loaded = LoadedCluster(3, 1, seed=late)
        lost = late // 200 % 2
        loaded.at(3, 2, "wipe")
        loaded.at(4, 2, "up")
        loaded.at(4.05 + late / 1000, lost, loss)
        loaded.at(6.5, lost, "up")
        loaded.check_at(13, 3)


def test_the_member_with_the_only_other_copy_may_not_leave_and_is_waited_for_if_it_fails() -> None:
    """C is lost; B may not leave before D holds everything, and fails before that: A waits for B."""
    _, answers = play(
        """
        ms    | A              B              C              (D)
        2000  | claim k1 g1
        2100  |                               down
        3000  |                leave
        3100  | claim k2 g2
        3500  | in             in
        4000  |                down
        4500  | claim k3 g3                                  up
        5500  | away                                         out
        6000  |                up
        9000  | in             in                            in
        9000  | has k3         has k3                        has k2
        """
    )
    assert answers.pop("B")[:43] == "1 of the 2 members of view 2 would be left;"
    assert answers == {"k1 g1": "ok", "k2 g2": "ok", "k3 g3": "ok"}


@pytest.mark.parametrize("leavers", [(0, 1), (1, 2), (2, 0)])
def test_two_that_leave_at_once_go_one_after_the_other_as_others_are_admitted(
    leavers: tuple[int, int],
) -> None:
    loaded = LoadedCluster(3, 1, 2)
    for leaver in leavers:
        loaded.at(3, leaver, "leave")
    loaded.at(4, 3, "up")
    loaded.at(6, 4, "up")
    loaded.cluster.run(3_900_000)
    sizes = {len(view.members) for view in loaded.cluster.views().values()}
    assert sizes == {2}  # the other one keeps its copy and its vote
    loaded.check_at(14, 3)
    assert not {loaded.hosts[leaver].name for leaver in leavers} & {
        member.addr for view in loaded.cluster.views().values() for member in view.members
    }


@pytest.mark.parametrize("change", ["loss", "admission", "leave"])
def test_all_lose_power_in_the_middle_of_a_membership_change(change: str) -> None:
    """At many times during the change, in steps of 17.7 ms around its ballots."""
    for late in (*range(0, 700_000, 140_000), *range(450_000, 560_000, 17_700)):
        loaded = LoadedCluster(3, 1, 1, seed=late)
        if change == "admission":
            loaded.at(2.2, 3, "up")
        else:
            loaded.at(2.5, 2, "down" if change == "loss" else "leave")
        loaded.cluster.run(2_500_000 + late)
        for n, host in enumerate(loaded.hosts[:4]):
            if host.replica is not None:
                host.stop()
                loaded.at(3.6 + n / 10, n, "up")
            elif n < 3:
                loaded.at(4.5, n, "up")
        loaded.check_at(11, 4 if change == "admission" else 3)


@pytest.mark.parametrize("members", [3, 4])
def test_a_wiped_replica_comes_back_while_its_successor_copies(members: int) -> None:
    """Both are learners, at the old address and at a new one; both become members, one after the other."""
    for lost in (0, members - 1):
        loaded = LoadedCluster(members, 1, 1, seed=lost)
        loaded.at(3, lost, "wipe")
        loaded.at(3.6, members, "up")
        loaded.at(3.9, lost, "up")
        loaded.at(8, (lost + 1) % members, "wipe")
        loaded.at(9, (lost + 1) % members, "up")
        loaded.check_at(15, members + 1)


def test_of_four_members_two_agree_after_a_disk_was_lost() -> None:
    """D loses its disk and C is down: A and B, two of the three that can still vote, continue."""
    loaded = LoadedCluster(4, 1)
    loaded.at(3, 3, "wipe")
    loaded.at(3, 2, "down")
    loaded.at(3.3, 3, "up")
    loaded.check_at(9, 3)


@pytest.mark.parametrize(("members", "tolerance"), [(3, 1), (6, 2)])
def test_an_empty_successor_is_complete_long_before_the_next_loss(members: int, tolerance: int) -> None:
    """With little to copy it takes 0.5 s of the 4 s that `Settling` allows."""
    loaded = LoadedCluster(members, tolerance, 1)
    loaded.at(3, 1, "wipe")
    loaded.at(4, members, "up")
    loaded.cluster.run(4 * S + 500_000)
    successor = loaded.hosts[members].replica
    assert successor is not None and successor.chain.has_snapshot
