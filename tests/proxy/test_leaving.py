"""A proxy that was told to stop: what it takes, when it closes which door, that it finishes what it took."""

from __future__ import annotations

from pathlib import Path

import pytest

from brackengate.emulator.mesh import faults
from brackengate.emulator.mesh.play import play
from brackengate.emulator.mesh.scenario import changed
from brackengate.emulator.mesh.world import CALM, World
from brackengate.proxy.leaving import LeavePlan

MESH = Path(__file__).parent.parent.parent / "examples" / "lab" / "mesh"
MS, S = 1_000, 1_000_000


def plan(longest: int = 4 * S, grace: int = 6 * S) -> LeavePlan:
    return LeavePlan(10 * S, grace, longest)


@pytest.mark.parametrize("grace", [2 * S, 6 * S, 10 * S])
@pytest.mark.parametrize("longest", [0, 800 * MS, 4 * S, 60 * S])
def test_the_doors_close_one_after_the_other(grace: int, longest: int) -> None:
    one = plan(longest, grace)
    assert one.begun <= one.leaves_list < one.gate_closes <= one.clients_end < one.ends_by < one.begun + grace


def test_what_other_proxies_send_last_can_end_in_time() -> None:
    assert plan(longest=2 * S).gate_closes + 2 * S <= plan(longest=2 * S).ends_by


@pytest.mark.parametrize(
    ("after", "limit", "taken"),
    [
        (0, 30 * S, True),  # its client knows no better
        (2_800 * MS, 4 * S, True),
        (3 * S, 2 * S, True),
        (3 * S, 4 * S, False),  # it could outlast the process
        (3_300 * MS, 10 * MS, False),  # whoever still comes would keep it from ending
        (5 * S, 10 * MS, False),
    ],
)
def test_what_a_client_asks_is_taken_where_it_can_be_finished(after: int, limit: int, taken: bool) -> None:
    one = plan()
    assert one.takes(limit, one.begun + after) is taken


def test_a_long_grace_takes_no_long_request_late() -> None:
    one = plan(grace=10 * S)
    assert one.takes(6 * S, one.begun + 2 * S) and not one.takes(6 * S, one.begun + 4 * S)
    assert one.takes(4 * S, one.begun + 5 * S)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_whose_proxies_all_leave_loses_no_request(seed: int) -> None:
    """Its clients come to the end, as fewer than half of the zone are ready."""
    path = MESH / "leaving-zone.toml"
    made = play(changed(path.read_text(), str(path), ()), seed)
    assert [f"{one.rule}: {word}" for one in made.found for word in one.words] == []


def test_other_proxies_are_asked_to_go_once_the_gate_is_closed() -> None:
    """A close that crosses a request leaves its caller without knowing whether it ran."""
    path = MESH / "calm.toml"
    told = changed(path.read_text(), str(path), ("length=8s", "route.read.deadline=3s"))
    world = World(told, 1)
    seen: list[tuple[bool, bool, bool]] = []

    def look() -> None:
        role = world.pilots[0].role
        seen.append((role._clients.draining, role.gate.closed, role._gate_door.draining))

    begun = CALM + 2 * S
    world.loop.after(begun, lambda: world.pilots[0].role.stop())
    for at in range(100 * MS, 3 * S, 100 * MS):
        world.loop.after(begun + at, look)
    world.run(faults.schedule(world), faults.over(told))
    assert (True, False, False) in seen and (True, True, True) in seen
    assert all(clients and gate is door for clients, gate, door in seen)
