"""Real roles with a control replica partitioned for twenty seconds: what its followers are still sent."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from test_mesh_lab import MESH

from brackengate.control.failure_detector import LEASE_US
from brackengate.control.follower_connections import Follower, FollowerConnections
from brackengate.emulator.mesh import checks, faults
from brackengate.emulator.mesh.scenario import parse_scenario
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, World
from brackengate.protocol.message_parts import EncodedMessage, decompress
from brackengate.protocol.messages import ControlReplicas, Message, Redirect

S = 1_000_000
SLACK_US = 100_000  # a tick, and messages in flight


def played(
    *more: str, one_way: bool, incoming: bool, monkeypatch: pytest.MonkeyPatch
) -> tuple[World, list[Any]]:
    """l0 is partitioned from the core from 2 s to 22 s; p0 restarts at 8 s with l0 as its only seed."""
    text = (MESH / "cut-core.toml").read_text().partition("[[fault]]")[0]
    one_way_line = "one_way = true\n" if one_way else ""
    on, to = ('["l1", "l2"]', '["l0"]') if incoming else ('["l0"]', '["core"]')
    text += f'[[fault]]\nat = "2s"\nkind = "cut"\non = {on}\nto = {to}\nlasts = "20s"\n{one_way_line}'
    text += '[[fault]]\nat = "8s"\nkind = "kill"\non = ["p0"]\nlasts = "500ms"\n'
    text += "".join(more)
    world = World(parse_scenario(text, "cut.toml", ["length=30s"]), 1)
    sent: list[tuple[int, str, str, Message]] = []
    send, send_encoded = FollowerConnections._send, FollowerConnections._send_encoded

    def record(self: FollowerConnections, follower: Follower, message: Message) -> None:
        member = self._replica.me.partition(":")[0]
        sent.append((world.loop.now - FIRST_REQUEST_AT_US, member, follower.connection.peer, message))

    def record_send(self: FollowerConnections, follower: Follower, message: Message) -> None:
        record(self, follower, message)
        send(self, follower, message)

    def record_send_encoded(
        self: FollowerConnections, follower: Follower, message: EncodedMessage, ordered: bool = True
    ) -> None:
        encoded = decompress(message.data, message.size) if message.size else message.data
        record(self, follower, msgspec.json.decode(encoded, type=Message))
        send_encoded(self, follower, message, ordered)

    monkeypatch.setattr(FollowerConnections, "_send", record_send)
    monkeypatch.setattr(FollowerConnections, "_send_encoded", record_send_encoded)
    world.seeds = ["l0", "l1", "l2"]
    world.loop.at(FIRST_REQUEST_AT_US + 7 * S, lambda: setattr(world, "seeds", ["l0"]))
    records = world.run(faults.schedule(world), faults.end_time(world.scenario))
    names = {machine.ip: machine.name for machine in (*world.control_machines, *world.proxy_machines)}
    history = checks.History(
        records, world.scenario.limits, names, FIRST_REQUEST_AT_US + int(world.scenario.length)
    )
    assert [message for one in checks.check_history(history) for message in one.words] == []
    return world, sent


@pytest.mark.parametrize(("one_way", "incoming"), [(False, False), (True, False), (True, True)])
def test_followers_get_no_data_from_a_partitioned_replica(
    one_way: bool, incoming: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    world, sent = played(one_way=one_way, incoming=incoming, monkeypatch=monkeypatch)
    partitioned, restarted = world.machine("l0").ip, world.machine("p0").ip
    late_messages = [
        (when, message)
        for when, member, _, message in sent
        if member == partitioned and 2 * S + LEASE_US + SLACK_US < when < 22 * S
    ]
    assert late_messages != []  # it gets requests, and redirects the followers
    assert [
        message for _, message in late_messages if not isinstance(message, Redirect | ControlReplicas)
    ] == []
    assert not any(message.in_contact for _, message in late_messages if isinstance(message, ControlReplicas))
    served_at = [
        when
        for when, member, peer, _ in sent
        if peer.startswith(restarted) and member != partitioned and when > 8 * S
    ]
    assert served_at and min(served_at) < 11 * S  # by the members that l0 named
