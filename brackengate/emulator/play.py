"""One scenario with one seed, played, judged and summed up."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from brackengate.emulator import checks, faults, report
from brackengate.emulator.scenario import Scenario
from brackengate.emulator.world import World, homes


@dataclass(frozen=True, slots=True)
class Played:
    world: World
    found: list[checks.Broken]  # every rule, broken or not
    summary: report.Summary

    @property
    def breaches(self) -> int:
        return sum(one.count for one in self.found)

    @property
    def rules(self) -> tuple[str, ...]:
        """Those that were broken."""
        return tuple(one.rule for one in self.found if one.count)

    @property
    def double(self) -> int:
        """Items that must not run twice, and did: by their client's own retry, where no rule is broken."""
        kinds = {of[0]: of[2] for _, what, of in self.world.records if what == "asked"}
        ran = Counter(
            of[2] for _, what, of in self.world.records if what == "ran" and str(of[0]).startswith("u")
        )
        return sum(count > 1 and kinds.get(item) != "safe" for item, count in ran.items())

    @property
    def unharmed(self) -> float:
        """In aim, of what dealers asked whose cell no fault names, nor whose own flood it was."""
        told = self.world.told
        cells = homes(told)
        harmed = {fault.cell for fault in told.fault} | {cells.get(fault.dealer, "") for fault in told.fault}
        others = {dealer for dealer, cell in cells.items() if cell not in harmed}
        aims, asked, got = {name: int(kind.aim) for name, kind in told.class_.items()}, 0, 0
        for _, what, of in self.world.records:
            if what == "ended" and of[4] in others:
                asked += 1
                got += of[2] == "200" and int(str(of[3])) <= aims[str(of[1])]
        return got / asked if asked else 1.0

    @property
    def tail(self) -> float:
        """In aim, of what was asked in the last quarter: whether it has come to rest again."""
        over, length = self.summary.over_time, int(self.world.told.length)
        last = range(3 * length // 4 // report.BUCKET, length // report.BUCKET + 1)
        asked = sum(counts[bucket] for counts in over.values() for bucket in last)
        return sum(over["in aim"][bucket] for bucket in last) / asked if asked else 1.0

    @property
    def worth(self) -> float:
        """The part of the worth that was asked for and answered within its aim."""
        kinds, classes = self.world.told.class_, self.summary.classes.items()
        asked = sum(one.items * kinds[name].worth for name, one in classes)
        got = sum(one.ends["in aim"] * kinds[name].worth for name, one in classes)
        return got / asked if asked else 1.0


def play(told: Scenario, seed: int) -> Played:
    world = World(told, seed)
    faults.schedule(world)
    records = world.run()
    found = checks.verdict(records, told.upstreams.fall_multiple)
    aims = {name: int(kind.aim) for name, kind in told.class_.items()}
    return Played(world, found, report.summarise(records, aims))
