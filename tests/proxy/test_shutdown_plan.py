"""A proxy that was told to stop: what it takes, when it closes which door, that it finishes what it took."""

from __future__ import annotations

from pathlib import Path

import pytest

from brackengate.emulator.mesh import faults
from brackengate.emulator.mesh.play import play
from brackengate.emulator.mesh.scenario import changed
from brackengate.emulator.mesh.world import CALM, World
from brackengate.proxy.shutdown_plan import ShutdownPlan

MESH = Path(__file__).parent.parent.parent / "examples" / "lab" / "mesh"
MS, S = 1_000, 1_000_000


def plan(longest_request: int = 4 * S, grace: int = 6 * S) -> ShutdownPlan:
    return ShutdownPlan(10 * S, grace, longest_request)


@pytest.mark.parametrize("grace", [2 * S, 6 * S, 10 * S])
@pytest.mark.parametrize("longest_request", [0, 800 * MS, 4 * S, 60 * S])
def test_the_doors_close_one_after_the_other(grace: int, longest_request: int) -> None:
    one = plan(longest_request, grace)
    assert (
        one.started_at
        <= one.deregisters_at
        < one.ingress_closes_at
        <= one.egress_closes_at
        < one.exit_deadline
        < one.started_at + grace
    )


def test_what_other_proxies_send_last_can_end_in_time() -> None:
    assert plan(longest_request=2 * S).ingress_closes_at + 2 * S <= plan(longest_request=2 * S).exit_deadline


@pytest.mark.parametrize(
    ("after", "time_limit", "taken"),
    [
        (0, 30 * S, True),  # its client knows no better
        (2_800 * MS, 4 * S, True),
        (3 * S, 2 * S, True),
        (3 * S, 4 * S, False),  # it could outlast the process
        (3_300 * MS, 10 * MS, False),  # whoever still comes would keep it from ending
        (5 * S, 10 * MS, False),
    ],
)
def test_what_a_client_asks_is_taken_where_it_can_be_finished(
    after: int, time_limit: int, taken: bool
) -> None:
    one = plan()
    assert one.accepts(time_limit, one.started_at + after) is taken


def test_a_long_grace_takes_no_long_request_late() -> None:
    one = plan(grace=10 * S)
    assert one.accepts(6 * S, one.started_at + 2 * S) and not one.accepts(6 * S, one.started_at + 4 * S)
    assert one.accepts(4 * S, one.started_at + 5 * S)


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
        seen.append((role._egress_server.draining, role.admission.closed, role._ingress_server.draining))

    begun = CALM + 2 * S
    world.loop.after(begun, lambda: world.pilots[0].role.stop())
    for at in range(100 * MS, 3 * S, 100 * MS):
        world.loop.after(begun + at, look)
    world.run(faults.schedule(world), faults.over(told))
    assert (True, False, False) in seen and (True, True, True) in seen
    assert all(
        egress_draining and admission_closed is ingress_draining
        for egress_draining, admission_closed, ingress_draining in seen
    )
