"""The roles as they are, with a core machine cut off for twenty seconds: what its followers still get."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from test_mesh_lab import MESH

from brackengate.control.failure_detector import LEASE_US
from brackengate.control.follower_connections import Follower, FollowerConnections
from brackengate.emulator.mesh import checks, faults
from brackengate.emulator.mesh.scenario import changed
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, World
from brackengate.protocol.message_parts import EncodedMessage, decompress
from brackengate.protocol.messages import ControlReplicas, Message, Redirect

S = 1_000_000
SLACK = 100_000  # a tick, and what is on its way


def played(*more: str, one_way: bool, back: bool, monkeypatch: pytest.MonkeyPatch) -> tuple[World, list[Any]]:
    """l0 is cut from the core from 2 s to 22 s; p0, which knows of l0 alone, starts anew at 8 s."""
    text = (MESH / "cut-core.toml").read_text().partition("[[fault]]")[0]
    ways = "one_way = true\n" if one_way else ""
    on, to = ('["l1", "l2"]', '["l0"]') if back else ('["l0"]', '["core"]')
    text += f'[[fault]]\nat = "2s"\nkind = "cut"\non = {on}\nto = {to}\nlasts = "20s"\n{ways}'
    text += '[[fault]]\nat = "8s"\nkind = "kill"\non = ["p0"]\nlasts = "500ms"\n'
    text += "".join(more)
    world = World(changed(text, "cut.toml", ["length=30s"]), 1)
    told: list[tuple[int, str, str, Message]] = []
    say, say_encoded = FollowerConnections._send, FollowerConnections._send_encoded

    def note(self: FollowerConnections, follower: Follower, word: Message) -> None:
        member = self._replica.me.partition(":")[0]
        told.append((world.loop.now - FIRST_REQUEST_AT_US, member, follower.connection.peer, word))

    def said(self: FollowerConnections, follower: Follower, word: Message) -> None:
        note(self, follower, word)
        say(self, follower, word)

    def said_encoded(
        self: FollowerConnections, follower: Follower, message: EncodedMessage, ordered: bool = True
    ) -> None:
        line = decompress(message.data, message.size) if message.size else message.data
        note(self, follower, msgspec.json.decode(line, type=Message))
        say_encoded(self, follower, message, ordered)

    monkeypatch.setattr(FollowerConnections, "_send", said)
    monkeypatch.setattr(FollowerConnections, "_send_encoded", said_encoded)
    world.seeds = ["l0", "l1", "l2"]
    world.loop.at(FIRST_REQUEST_AT_US + 7 * S, lambda: setattr(world, "seeds", ["l0"]))
    records = world.run(faults.schedule(world), faults.over(world.scenario))
    names = {machine.ip: machine.name for machine in (*world.control_machines, *world.proxy_machines)}
    seen = checks.Seen(
        records, world.scenario.limits, names, FIRST_REQUEST_AT_US + int(world.scenario.length)
    )
    assert [word for one in checks.verdict(seen) for word in one.words] == []
    return world, told


@pytest.mark.parametrize(("one_way", "back"), [(False, False), (True, False), (True, True)])
def test_followers_get_nothing_from_a_replica_that_is_cut_off(
    one_way: bool, back: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    world, told = played(one_way=one_way, back=back, monkeypatch=monkeypatch)
    cut_off, anew = world.machine("l0").ip, world.machine("p0").ip
    late = [
        (when, word)
        for when, member, _, word in told
        if member == cut_off and 2 * S + LEASE_US + SLACK < when < 22 * S
    ]
    assert late != []  # it is asked, and sends them away
    assert [word for _, word in late if not isinstance(word, Redirect | ControlReplicas)] == []
    assert not any(word.in_contact for _, word in late if isinstance(word, ControlReplicas))
    found = [
        when for when, member, peer, _ in told if peer.startswith(anew) and member != cut_off and when > 8 * S
    ]
    assert found and min(found) < 11 * S  # by the members that l0 knew
