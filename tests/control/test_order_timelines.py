"""Orders through faults of the core: who is confirmed, and what a taken order meets when it is sent again."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from operators import Operator, order, plant, route
from simulated_cluster import Host, SimulatedCluster

from brackengate.control.actions import Action, Answer, Send, Store
from brackengate.control.chain import Chain
from brackengate.control.commands import OPERATOR_TIMEOUT_US
from brackengate.control.store import open_disk
from brackengate.protocol.config_items import Item
from brackengate.protocol.messages import Amend, Configuration, Member, Read, Row, Submit, View

S = 1_000_000
OTHER = "900ms"
FIRST = order(route("a", 2), route("b", 2), plants=[plant("p", 2), plant("q", 2)])
X = order(route("a", 5, to="q"))
Y = order(route("a", 5, cutoff=OTHER))


class Mesh:
    """A core that has taken the first order."""

    def __init__(self, seed: int = 1, members: int = 3, folder: Path | None = None) -> None:
        self.cluster = SimulatedCluster([f"10.0.0.{n + 1}:80" for n in range(members)], seed, folder=folder)
        self.hosts = list(self.cluster.hosts.values())
        self.operator = Operator(self.cluster, seed)
        self.cluster.run(2 * S)
        self.taken(FIRST)

    def passes(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + int(seconds * S))

    def taken(self, *bodies: str) -> None:
        for body in bodies:
            sent = self.operator.send(body)
            self.passes(2)
            assert sent.status == 200, body

    def status_everywhere(self, body: str) -> list[int]:
        """Sent to every replica at once."""
        sent = [self.operator.send(body, [host]) for host in self.hosts]
        self.passes(3)
        return [one.status for one in sent]

    def read(self, name: str) -> dict[str, Any]:
        """A route, as an operator reads it back; empty where it does not stand."""
        found: list[Any] = []
        self.hosts[0].ask(Read(), found.append)
        self.passes(1)
        assert isinstance(found[0], Configuration)
        paths = [path for host in found[0].content["Hosts"] for path in host["Paths"]]
        return next((path for path in paths if path["Name"] == name), {})

    def head(self) -> Host:
        """Of the newest view."""
        alive = [host.replica for host in self.hosts if host.replica is not None]
        newest = max(alive, key=lambda replica: replica.agreement.view.epoch)
        return self.cluster.hosts[newest.agreement.view.members[0].addr]

    def cut_off(self, host: Host) -> None:
        others = [other.name for other in self.hosts if other is not host]
        self.cluster.cut(pair for other in others for pair in ((host.name, other), (other, host.name)))


def _nothing(mesh: Mesh) -> None:
    """No fault."""


def _head_lost(mesh: Mesh) -> None:
    head = mesh.head()
    head.stop()
    mesh.passes(3)
    mesh.cluster.later(0, head.start)


def _each_wiped(mesh: Mesh) -> None:
    for host in mesh.hosts:
        host.stop(wipe=True)
        mesh.passes(1)
        host.start()
        mesh.passes(4)


def _all_restarted(mesh: Mesh) -> None:
    for host in mesh.hosts:
        host.stop()
    for host in mesh.hosts:
        mesh.cluster.later(S // 2, host.start)


@pytest.mark.parametrize("fault", [_nothing, _head_lost, _each_wiped, _all_restarted])
def test_an_order_that_was_taken_is_taken_ever_after(fault: Any) -> None:
    """Through any replica, though its service is gone; and what conflicts with it is refused ever after."""
    mesh = Mesh()
    mesh.taken(X, order(route("a", 7)), order(drop_plants=[("q", 7)]))
    fault(mesh)
    mesh.passes(5)
    assert mesh.status_everywhere(X) == [200] * 3
    assert mesh.status_everywhere(Y) == [409] * 3
    assert mesh.status_everywhere(FIRST) == [200] * 3
    assert mesh.read("a")["Revision"] == "r7"


def test_from_files_after_a_restart_of_all(tmp_path: Path) -> None:
    mesh = Mesh(folder=tmp_path)
    mesh.taken(X, order(route("a", 7)), order(drop_plants=[("q", 7)]))
    _all_restarted(mesh)
    mesh.passes(5)
    assert mesh.status_everywhere(X) == [200] * 3
    assert mesh.status_everywhere(Y) == [409] * 3


def test_a_file_from_before_histories_is_read(tmp_path: Path) -> None:
    """Of versions that were overtaken then nothing is known: the first to come is acknowledged."""
    old: list[Row] = [
        ("plant", "p", msgspec.to_builtins(Item(2, "", plant("p", 2)))),
        ("route", "a", msgspec.to_builtins(Item(7, "h.example", route("a", 7)))),
    ]
    cluster = SimulatedCluster([f"10.0.0.{n + 1}:80" for n in range(3)], 1, folder=tmp_path)
    for host in cluster.hosts.values():
        disk, _ = open_disk(str(host.disk.folder / "1"), True)  # type: ignore[union-attr]
        disk.write([Store({"place": 2, "lineage": 1}, [(n + 1, row) for n, row in enumerate(old)])])
        disk.close()
        host.disk.lives = 1  # type: ignore[union-attr]
    cluster.run(2 * S)
    operator = Operator(cluster, 1)
    for body, status in (
        (order(route("a", 7)), 200),
        (order(route("a", 7, cutoff=OTHER)), 409),
        (order(route("a", 5, cutoff=OTHER)), 200),
        (order(route("a", 5)), 409),
    ):
        sent = operator.send(body)
        cluster.run(cluster.now + 2 * S)
        assert sent.status == status, body


@pytest.mark.parametrize("later", [0, 500, 1500, 3000])
def test_two_orders_under_one_version_at_two_replicas(later: int) -> None:
    """Microseconds apart: one is confirmed and in force, the other is refused."""
    mesh = Mesh(seed=later + 1)
    first = mesh.operator.send(X, [mesh.hosts[1]])
    mesh.passes(later / S)
    second = mesh.operator.send(Y, [mesh.hosts[2]])
    mesh.passes(3)
    assert sorted((first.status, second.status)) == [200, 409]
    assert mesh.read("a")["Cutoff"] == ("500ms" if first.status == 200 else OTHER)


def test_an_order_that_was_lost_with_its_head_conflicts_when_it_comes_again() -> None:
    """It was on the old head's disk alone, and was confirmed to nobody."""
    mesh = Mesh()
    head = mesh.head()
    mesh.cut_off(head)
    lost = mesh.operator.send(X, [head, head])
    mesh.passes(0.2)
    assert head.replica is not None and head.replica.chain.items["route", "a"].version == 5
    head.stop()
    mesh.passes(3)
    assert lost.status == 0
    mesh.taken(Y)
    mesh.cluster.heal()
    head.start()
    mesh.passes(6)
    assert lost.status == 409
    assert mesh.read("a")["Cutoff"] == OTHER


def test_one_order_at_two_heads() -> None:
    """Entered at the old head, which is cut off with it; sent to the others, and to the old one once more."""
    mesh = Mesh()
    head = mesh.head()
    others = [host for host in mesh.hosts if host is not head]
    mesh.cut_off(head)
    sent = mesh.operator.send(X, [head, *others])
    mesh.passes(4)
    assert sent.status == 200
    mesh.cluster.heal()
    mesh.passes(4)
    assert mesh.status_everywhere(X) == [200] * 3
    assert mesh.status_everywhere(Y) == [409] * 3


def test_what_was_refused_does_not_come_into_force_by_an_earlier_copy() -> None:
    """The copy waited at a replica that was cut off; its caller had gone, and was refused elsewhere."""
    mesh = Mesh()
    early = order(route("new", 5, to="later"))
    away = next(host for host in mesh.hosts if host is not mesh.head())
    mesh.cut_off(away)
    sent = mesh.operator.send(early, [away, mesh.head()])
    mesh.passes(4)
    assert sent.status == 400
    mesh.taken(order(plants=[plant("later", 3)]))
    mesh.cluster.heal()
    mesh.passes(12)
    assert mesh.read("new") == {}
    mesh.taken(early)  # sent again as an order of its own, it is valid by now
    assert mesh.read("new")["Revision"] == "r5"


def test_nor_where_its_replica_does_not_hear_that_the_caller_has_gone() -> None:
    mesh = Mesh()
    early = order(route("new", 5, to="later"))
    away = next(host for host in mesh.hosts if host is not mesh.head())
    mesh.cut_off(away)
    away.ask(Amend(early), lambda _: None, OPERATOR_TIMEOUT_US)
    mesh.passes(1)
    sent = mesh.operator.send(early, [mesh.head()])
    mesh.taken(order(plants=[plant("later", 3)]))
    assert sent.status == 400
    mesh.cluster.heal()
    mesh.passes(12)
    assert mesh.read("new") == {}


def test_nor_by_a_copy_that_is_under_way() -> None:
    """It is not taken for a while, and then it is when it is sent again."""
    mesh = Mesh()
    early = order(route("new", 5, to="later"))
    refused = mesh.operator.send(early)
    mesh.passes(0.1)
    assert refused.status == 400
    service = mesh.operator.send(order(plants=[plant("later", 3)]))
    mesh.passes(0.1)
    assert service.status == 200
    other = next(host for host in mesh.hosts if host is not mesh.head())
    other.withdraw(other.ask(Amend(early), lambda _: None))  # its submission is on the link
    mesh.passes(1)
    assert mesh.read("new") == {}
    again = mesh.operator.send(early)
    mesh.passes(6)
    assert again.status == 200
    assert mesh.read("new")["Revision"] == "r5"


def test_a_submission_of_an_earlier_view_is_not_taken() -> None:
    """It may have lain in a queue, and its caller may have been refused since."""
    chain = Chain("a:80", 1, 60 * S, 0, 1, 0)
    members = (Member("a:80", "first", 1), Member("b:80", "first", 1))
    chain.on_view(View(2, members), "first", 0)
    assert chain.on_message("b:80", Submit(7, Amend(FIRST), epoch=1), 0) == []
    assert chain.on_message("b:80", Submit(8, Amend(FIRST), epoch=2), 0) != []


def submitted(actions: Iterable[Action]) -> list[Submit]:
    return [one.message for one in actions if isinstance(one, Send) and isinstance(one.message, Submit)]


def test_an_order_whose_caller_has_gone_is_not_submitted_again() -> None:
    chain = Chain("b:80", 1, 60 * S, 0, 1, 0)
    members = (Member("a:80", "first", 1), Member("b:80", "first", 1))
    chain.on_view(View(2, members), "first", 0)
    chain.submit_command(Amend(FIRST), 7, 0)
    chain.submit_command(Amend(X), 8, 0)
    chain.withdraw(7)
    assert [one.what for one in submitted(chain.tick(S // 2))] == [Amend(X)]
    assert [one.what for one in submitted(chain.on_view(View(3, members), "first", S))] == [Amend(X)]


def test_an_order_that_waited_too_long_is_not_submitted_in_a_new_view() -> None:
    """Its replica stood still, and hears of the view before anything else."""
    chain = Chain("b:80", 1, 60 * S, 0, 1, 0)
    members = (Member("a:80", "first", 1), Member("b:80", "first", 1))
    chain.on_view(View(2, members), "first", 0)
    chain.submit_command(Amend(FIRST), 7, 0, OPERATOR_TIMEOUT_US)
    assert [one.what for one in submitted(chain.on_view(View(3, members), "first", S))] == [Amend(FIRST)]
    out = chain.on_view(View(4, members), "first", 3 * S)
    assert Answer(7, None) in out
    assert submitted(out) == []


def test_an_invalid_order_beside_a_removal_is_in_force_in_no_part() -> None:
    """Through every replica, at the moment in which its service goes."""
    mesh = Mesh()
    going = mesh.operator.send(order(drop_plants=[("q", 7)]), [mesh.hosts[0]])
    sent = [mesh.operator.send(order(route("b", 5, to="q"), route("c", 5)), [host]) for host in mesh.hosts]
    mesh.passes(3)
    statuses = {one.status for one in sent}
    assert len(statuses) == 1  # either all came first, and then the service could not go, or none did
    taken = statuses == {200}
    assert going.status == (400 if taken else 200)
    assert bool(mesh.read("c")) is taken
