"""Configuration changes through faults of the control plane: which are acknowledged, now and when resent."""

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
    """A control plane that has accepted the first change."""

    def __init__(self, seed: int = 1, members: int = 3, folder: Path | None = None) -> None:
        self.cluster = SimulatedCluster([f"10.0.0.{n + 1}:80" for n in range(members)], seed, folder=folder)
        self.hosts = list(self.cluster.hosts.values())
        self.operator = Operator(self.cluster, seed)
        self.cluster.run(2 * S)
        self.accept(FIRST)

    def run_for(self, seconds: float) -> None:
        self.cluster.run(self.cluster.now + int(seconds * S))

    def accept(self, *bodies: str) -> None:
        """Sends changes one after the other, each of which must be acknowledged."""
        for body in bodies:
            sent = self.operator.send(body)
            self.run_for(2)
            assert sent.status == 200, body

    def status_everywhere(self, body: str) -> list[int]:
        """Sent to every replica at once."""
        sent = [self.operator.send(body, [host]) for host in self.hosts]
        self.run_for(3)
        return [one.status for one in sent]

    def read(self, name: str) -> dict[str, Any]:
        """A route, as an operator reads it back; empty if there is none."""
        found: list[Any] = []
        self.hosts[0].ask(Read(), found.append)
        self.run_for(1)
        assert isinstance(found[0], Configuration)
        paths = [path for host in found[0].content["Hosts"] for path in host["Paths"]]
        return next((path for path in paths if path["Name"] == name), {})

    def head(self) -> Host:
        """The head of the newest view."""
        alive = [host.replica for host in self.hosts if host.replica is not None]
        newest = max(alive, key=lambda replica: replica.agreement.view.epoch)
        return self.cluster.hosts[newest.agreement.view.members[0].addr]

    def partition(self, host: Host) -> None:
        others = [other.name for other in self.hosts if other is not host]
        self.cluster.cut(pair for other in others for pair in ((host.name, other), (other, host.name)))


def _nothing(mesh: Mesh) -> None:
    """No fault."""


def _head_lost(mesh: Mesh) -> None:
    head = mesh.head()
    head.stop()
    mesh.run_for(3)
    mesh.cluster.later(0, head.start)


def _each_wiped(mesh: Mesh) -> None:
    for host in mesh.hosts:
        host.stop(wipe=True)
        mesh.run_for(1)
        host.start()
        mesh.run_for(4)


def _all_restarted(mesh: Mesh) -> None:
    for host in mesh.hosts:
        host.stop()
    for host in mesh.hosts:
        mesh.cluster.later(S // 2, host.start)


@pytest.mark.parametrize("fault", [_nothing, _head_lost, _each_wiped, _all_restarted])
def test_an_accepted_change_is_acknowledged_ever_after(fault: Any) -> None:
    """Through any replica, even after its service was removed; a conflicting change is always rejected."""
    mesh = Mesh()
    mesh.accept(X, order(route("a", 7)), order(drop_plants=[("q", 7)]))
    fault(mesh)
    mesh.run_for(5)
    assert mesh.status_everywhere(X) == [200] * 3
    assert mesh.status_everywhere(Y) == [409] * 3
    assert mesh.status_everywhere(FIRST) == [200] * 3
    assert mesh.read("a")["Revision"] == "r7"


def test_the_same_from_files_after_a_restart_of_all(tmp_path: Path) -> None:
    mesh = Mesh(folder=tmp_path)
    mesh.accept(X, order(route("a", 7)), order(drop_plants=[("q", 7)]))
    _all_restarted(mesh)
    mesh.run_for(5)
    assert mesh.status_everywhere(X) == [200] * 3
    assert mesh.status_everywhere(Y) == [409] * 3


def test_a_file_from_before_histories_is_read(tmp_path: Path) -> None:
    """Nothing is known of versions that were superseded then: the first to be sent is acknowledged."""
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
def test_two_changes_under_one_version_at_two_replicas(later: int) -> None:
    """Microseconds apart: one is acknowledged and in effect, the other is rejected."""
    mesh = Mesh(seed=later + 1)
    first = mesh.operator.send(X, [mesh.hosts[1]])
    mesh.run_for(later / S)
    second = mesh.operator.send(Y, [mesh.hosts[2]])
    mesh.run_for(3)
    assert sorted((first.status, second.status)) == [200, 409]
    assert mesh.read("a")["Cutoff"] == ("500ms" if first.status == 200 else OTHER)


def test_a_change_that_was_lost_with_its_head_conflicts_when_it_is_resent() -> None:
    """It was only on the old head's disk and was not acknowledged."""
    mesh = Mesh()
    head = mesh.head()
    mesh.partition(head)
    lost = mesh.operator.send(X, [head, head])
    mesh.run_for(0.2)
    assert head.replica is not None and head.replica.chain.items["route", "a"].version == 5
    head.stop()
    mesh.run_for(3)
    assert lost.status == 0
    mesh.accept(Y)
    mesh.cluster.heal()
    head.start()
    mesh.run_for(6)
    assert lost.status == 409
    assert mesh.read("a")["Cutoff"] == OTHER


def test_one_change_at_two_heads() -> None:
    """Appended at the old head, which is partitioned then; sent to the others, and to the old head again."""
    mesh = Mesh()
    head = mesh.head()
    others = [host for host in mesh.hosts if host is not head]
    mesh.partition(head)
    sent = mesh.operator.send(X, [head, *others])
    mesh.run_for(4)
    assert sent.status == 200
    mesh.cluster.heal()
    mesh.run_for(4)
    assert mesh.status_everywhere(X) == [200] * 3
    assert mesh.status_everywhere(Y) == [409] * 3


def test_a_rejected_change_does_not_take_effect_by_an_earlier_submission() -> None:
    """It waited at a partitioned replica; its caller had disconnected, and was rejected elsewhere."""
    mesh = Mesh()
    early = order(route("new", 5, to="later"))
    away = next(host for host in mesh.hosts if host is not mesh.head())
    mesh.partition(away)
    sent = mesh.operator.send(early, [away, mesh.head()])
    mesh.run_for(4)
    assert sent.status == 400
    mesh.accept(order(plants=[plant("later", 3)]))
    mesh.cluster.heal()
    mesh.run_for(12)
    assert mesh.read("new") == {}
    mesh.accept(early)  # sent again as a change of its own, it is valid by now
    assert mesh.read("new")["Revision"] == "r5"


def test_nor_if_its_replica_does_not_notice_that_the_caller_has_disconnected() -> None:
    mesh = Mesh()
    early = order(route("new", 5, to="later"))
    away = next(host for host in mesh.hosts if host is not mesh.head())
    mesh.partition(away)
    away.ask(Amend(early), lambda _: None, OPERATOR_TIMEOUT_US)
    mesh.run_for(1)
    sent = mesh.operator.send(early, [mesh.head()])
    mesh.accept(order(plants=[plant("later", 3)]))
    assert sent.status == 400
    mesh.cluster.heal()
    mesh.run_for(12)
    assert mesh.read("new") == {}


def test_nor_by_a_submission_in_flight() -> None:
    """It is not accepted for a while; then it is when it is sent again."""
    mesh = Mesh()
    early = order(route("new", 5, to="later"))
    refused = mesh.operator.send(early)
    mesh.run_for(0.1)
    assert refused.status == 400
    service = mesh.operator.send(order(plants=[plant("later", 3)]))
    mesh.run_for(0.1)
    assert service.status == 200
    other = next(host for host in mesh.hosts if host is not mesh.head())
    other.withdraw(other.ask(Amend(early), lambda _: None))  # its submission is on the link
    mesh.run_for(1)
    assert mesh.read("new") == {}
    again = mesh.operator.send(early)
    mesh.run_for(6)
    assert again.status == 200
    assert mesh.read("new")["Revision"] == "r5"


def test_a_submission_of_an_earlier_view_is_not_accepted() -> None:
    """It may have been queued, and its caller may have been rejected since."""
    chain = Chain("a:80", 1, 60 * S, 0, 1, 0)
    members = (Member("a:80", "first", 1), Member("b:80", "first", 1))
    chain.on_view(View(2, members), "first", 0)
    assert chain.on_message("b:80", Submit(7, Amend(FIRST), epoch=1), 0) == []
    assert chain.on_message("b:80", Submit(8, Amend(FIRST), epoch=2), 0) != []


def submitted(actions: Iterable[Action]) -> list[Submit]:
    return [one.message for one in actions if isinstance(one, Send) and isinstance(one.message, Submit)]


def test_a_change_whose_caller_has_disconnected_is_not_submitted_again() -> None:
    chain = Chain("b:80", 1, 60 * S, 0, 1, 0)
    members = (Member("a:80", "first", 1), Member("b:80", "first", 1))
    chain.on_view(View(2, members), "first", 0)
    chain.submit_command(Amend(FIRST), 7, 0)
    chain.submit_command(Amend(X), 8, 0)
    chain.withdraw(7)
    assert [one.what for one in submitted(chain.tick(S // 2))] == [Amend(X)]
    assert [one.what for one in submitted(chain.on_view(View(3, members), "first", S))] == [Amend(X)]


def test_a_change_that_waited_too_long_is_not_submitted_in_a_new_view() -> None:
    """Its replica was paused, and receives the new view before anything else."""
    chain = Chain("b:80", 1, 60 * S, 0, 1, 0)
    members = (Member("a:80", "first", 1), Member("b:80", "first", 1))
    chain.on_view(View(2, members), "first", 0)
    chain.submit_command(Amend(FIRST), 7, 0, OPERATOR_TIMEOUT_US)
    assert [one.what for one in submitted(chain.on_view(View(3, members), "first", S))] == [Amend(FIRST)]
    out = chain.on_view(View(4, members), "first", 3 * S)
    assert Answer(7, None) in out
    assert submitted(out) == []


def test_an_invalid_change_concurrent_with_a_removal_has_no_effect() -> None:
    """Sent to every replica at the moment in which its service is removed."""
    mesh = Mesh()
    removal = mesh.operator.send(order(drop_plants=[("q", 7)]), [mesh.hosts[0]])
    sent = [mesh.operator.send(order(route("b", 5, to="q"), route("c", 5)), [host]) for host in mesh.hosts]
    mesh.run_for(3)
    statuses = {one.status for one in sent}
    assert len(statuses) == 1  # either all came first, and the service could not be removed, or none did
    accepted = statuses == {200}
    assert removal.status == (400 if accepted else 200)
    assert bool(mesh.read("c")) is accepted
