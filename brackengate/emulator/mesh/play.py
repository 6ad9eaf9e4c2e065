"""One scenario of the mesh with one seed, played, judged and summed up."""

from __future__ import annotations

from brackengate.emulator import report
from brackengate.emulator.checks import Broken, Record
from brackengate.emulator.mesh import checks, faults
from brackengate.emulator.mesh.scenario import MeshScenario
from brackengate.emulator.mesh.world import FIRST_REQUEST_AT_US, World


class Played:
    def __init__(self, world: World, found: list[Broken], summary: report.Summary) -> None:
        self.world, self.found, self.summary = world, found, summary

    @property
    def breaches(self) -> int:
        return sum(one.count for one in self.found)

    @property
    def rules(self) -> tuple[str, ...]:
        """Those that were broken."""
        return tuple(one.rule for one in self.found if one.count)

    @property
    def worth(self) -> float:
        """The part of what was asked that was answered in its aim."""
        asked = sum(one.items for one in self.summary.classes.values())
        return sum(one.ends["in aim"] for one in self.summary.classes.values()) / asked if asked else 1.0

    @property
    def double(self) -> int:
        """Repeatable requests that ran more than once."""
        ran: dict[object, int] = {}
        for _, what, of in self.world.records:
            if what == "ran":
                ran[of[2]] = ran.get(of[2], 0) + 1
        return sum(count > 1 for count in ran.values())


def play(told: MeshScenario, seed: int) -> Played:
    world = World(told, seed)
    records = world.run(faults.schedule(world), faults.over(told))
    names = {machine.ip: machine.name for machine in (*world.control_machines, *world.proxy_machines)}
    seen = checks.Seen(records, told.limits, names, FIRST_REQUEST_AT_US + int(told.length))
    return Played(world, checks.verdict(seen), summarise(records, told))


def summarise(records: list[Record], told: MeshScenario) -> report.Summary:
    """By route; times of the chart are counted from the machines' start."""
    routes = {name: int(route.aim) for name, route in told.route.items()}
    made = report.Summary({name: report.Outcome() for name in routes})
    for when, what, of in records:
        if what in ("served", "failed") and str(of[1]) in routes:
            name = str(of[1])
            took = int(str(of[2])) if what == "served" else 0
            if what == "served":
                end = "in aim" if took <= routes[name] else "late"
                made.classes[name].took.append(took)
            else:
                end = "refused" if of[2] in checks.PROMISES else "nothing" if of[2] == "time" else "failed"
            made.classes[name].ends[end] += 1
            made.over_time[end][(when - took) // report.BUCKET] += 1
            made.items += 1
        elif what == "arrived":
            made.attempts += 1
        elif what == "fault":
            names = of[1] if isinstance(of[1], tuple) else ()
            made.faults.append((when, f"{of[0]} {' '.join(names)}"))
    return made
