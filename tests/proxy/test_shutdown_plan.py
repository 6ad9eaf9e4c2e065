"""Shutdown of a proxy: what it accepts, when egress and ingress close, and that accepted requests finish."""

from __future__ import annotations

from pathlib import Path

import pytest

from brackengate.emulator.mesh import faults
from brackengate.emulator.mesh.play import play
from brackengate.emulator.mesh.scenario import parse_scenario
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, World
from brackengate.proxy.shutdown_plan import ShutdownPlan

MESH = Path(__file__).parent.parent.parent / "examples" / "lab" / "mesh"
MS, S = 1_000, 1_000_000


def plan(longest_request: int = 4 * S, grace: int = 6 * S) -> ShutdownPlan:
    return ShutdownPlan(10 * S, grace, longest_request)


@pytest.mark.parametrize("grace", [2 * S, 6 * S, 10 * S])
@pytest.mark.parametrize("longest_request", [0, 800 * MS, 4 * S, 60 * S])
def test_steps_of_a_shutdown_are_in_order(grace: int, longest_request: int) -> None:
    schedule = plan(longest_request, grace)
    assert (
        schedule.started_at
        <= schedule.deregisters_at
        < schedule.ingress_closes_at
        <= schedule.egress_closes_at
        < schedule.exit_deadline
        < schedule.started_at + grace
    )


def test_last_requests_of_other_proxies_can_finish_in_time() -> None:
    assert plan(longest_request=2 * S).ingress_closes_at + 2 * S <= plan(longest_request=2 * S).exit_deadline


@pytest.mark.parametrize(
    ("after", "time_limit", "taken"),
    [
        (0, 30 * S, True),  # its client does not know of the shutdown yet
        (2_800 * MS, 4 * S, True),
        (3 * S, 2 * S, True),
        (3 * S, 4 * S, False),  # it could outlast the process
        (3_300 * MS, 10 * MS, False),  # late clients would keep it from exiting
        (5 * S, 10 * MS, False),
    ],
)
def test_client_requests_are_accepted_if_they_can_be_finished(
    after: int, time_limit: int, taken: bool
) -> None:
    schedule = plan()
    assert schedule.accepts(time_limit, schedule.started_at + after) is taken


def test_long_grace_period_accepts_no_long_request_late() -> None:
    schedule = plan(grace=10 * S)
    assert schedule.accepts(6 * S, schedule.started_at + 2 * S) and not schedule.accepts(
        6 * S, schedule.started_at + 4 * S
    )
    assert schedule.accepts(4 * S, schedule.started_at + 5 * S)


@pytest.mark.parametrize("seed", [1, 2])
def test_shutdown_of_all_proxies_of_a_zone_loses_no_request(seed: int) -> None:
    """Its clients send requests until the end, as fewer than half of the zone's proxies are ready."""
    path = MESH / "leaving-zone.toml"
    made = play(parse_scenario(path.read_text(), str(path), ()), seed)
    assert [f"{one.rule}: {word}" for one in made.found for word in one.words] == []


def test_connections_of_other_proxies_are_drained_after_ingress_has_closed() -> None:
    """A close that crosses a request leaves its caller without knowing whether it ran."""
    path = MESH / "calm.toml"
    scenario = parse_scenario(path.read_text(), str(path), ("length=8s", "route.read.deadline=3s"))
    world = World(scenario, 1)
    seen: list[tuple[bool, bool, bool]] = []

    def look() -> None:
        role = world.proxy_machines[0].role
        seen.append((role._egress_server.draining, role.admission.closed, role._ingress_server.draining))

    begun = FIRST_REQUEST_AT_US + 2 * S
    world.loop.after(begun, lambda: world.proxy_machines[0].role.stop())
    for at in range(100 * MS, 3 * S, 100 * MS):
        world.loop.after(begun + at, look)
    world.run(faults.schedule(world), faults.end_time(scenario))
    assert (True, False, False) in seen and (True, True, True) in seen
    assert all(
        egress_draining and admission_closed is ingress_draining
        for egress_draining, admission_closed, ingress_draining in seen
    )
