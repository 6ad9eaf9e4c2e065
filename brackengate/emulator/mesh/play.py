"""Runs one scenario of the mesh with one seed, checks the rules and summarizes the outcome."""

from __future__ import annotations

from brackengate.emulator import report
from brackengate.emulator.checks import Broken, Record
from brackengate.emulator.mesh import checks, faults
from brackengate.emulator.mesh.scenario import MeshScenario
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, World


class MeshRun:
    """A finished run: the simulated world with its records, the result of each rule, and a summary."""

    def __init__(self, world: World, found: list[Broken], summary: report.Summary) -> None:
        self.world, self.found, self.summary = world, found, summary

    @property
    def breaches(self) -> int:
        """Number of violations of all rules."""
        return sum(one.count for one in self.found)

    @property
    def rules(self) -> tuple[str, ...]:
        """Names of the broken rules."""
        return tuple(one.rule for one in self.found if one.count)

    @property
    def worth(self) -> float:
        """Share of all requests that were answered within their target latency; 1.0 if there were none."""
        asked = sum(one.items for one in self.summary.classes.values())
        return sum(one.ends["in aim"] for one in self.summary.classes.values()) / asked if asked else 1.0

    @property
    def double(self) -> int:
        """Number of attempts that ran more than once, as those of repeatable requests may."""
        ran: dict[object, int] = {}
        for _, what, of in self.world.records:
            if what == "ran":
                ran[of[2]] = ran.get(of[2], 0) + 1
        return sum(count > 1 for count in ran.values())


def play(scenario: MeshScenario, seed: int) -> MeshRun:
    """Simulate the scenario; the same seed gives the same run."""
    world = World(scenario, seed)
    records = world.run(faults.schedule(world), faults.end_time(scenario))
    names = {machine.ip: machine.name for machine in (*world.control_machines, *world.proxy_machines)}
    history = checks.History(records, scenario.limits, names, FIRST_REQUEST_AT_US + int(scenario.length))
    return MeshRun(world, checks.check_history(history), summarise(records, scenario))


def summarise(records: list[Record], scenario: MeshScenario) -> report.Summary:
    """Outcomes by route, for the report; times of its chart count from the start of the machines."""
    routes = {name: int(route.aim) for name, route in scenario.route.items()}
    summary = report.Summary({name: report.Outcome() for name in routes})
    for when, what, of in records:
        if what in ("served", "failed") and str(of[1]) in routes:
            name = str(of[1])
            took = int(str(of[2])) if what == "served" else 0
            if what == "served":
                end = "in aim" if took <= routes[name] else "late"
                summary.classes[name].took.append(took)
            else:
                end = (
                    "refused"
                    if of[2] in checks.NOT_EXECUTED_STATUSES
                    else "nothing"
                    if of[2] == "time"
                    else "failed"
                )
            summary.classes[name].ends[end] += 1
            summary.over_time[end][(when - took) // report.BUCKET] += 1
            summary.items += 1
        elif what == "arrived":
            summary.attempts += 1
        elif what == "fault":
            names = of[1] if isinstance(of[1], tuple) else ()
            summary.faults.append((when, f"{of[0]} {' '.join(names)}"))
    return summary
