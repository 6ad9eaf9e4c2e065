"""Arms of an experiment over factors and paired seeds; rows that survive a stop; which arm is better.

Each run is a row in a Parquet file of its own, named by what was played, so a second start goes on where the
first one stopped, and a scenario that has changed is played anew.
"""

from __future__ import annotations

import hashlib
import itertools
import os
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import IO, Annotated, Any, Literal, get_args

import msgspec
import numpy as np
import pyarrow as pa
import pyarrow.parquet as pq
from scipy import stats

from brackengate.emulator import report
from brackengate.emulator.play import play
from brackengate.emulator.scenario import Scenario, changed
from brackengate.installation.reading import BadFile, Fault, Key, read_as, read_text
from brackengate.installation.schema import Bounds, Section

Outcome = Literal[
    "worth", "in_aim", "late", "refused", "failed", "nothing", "tail", "p99_ms", "attempts", "double",
    "unharmed", "broken",
]  # fmt: skip
OUTCOMES: tuple[str, ...] = get_args(Outcome)
DRAWS = 2000  # of the bootstrap
INSIDE = 0.95


class Factor(Section, frozen=True, kw_only=True):
    key: str  # of the scenario, as in clients.rate
    values: tuple[str, ...]


class Experiment(Section, frozen=True, kw_only=True):
    scenario: str  # beside this file
    seeds: Annotated[int, Bounds(2, 10_000)] = 30
    outcome: Outcome = "worth"
    arm: dict[str, dict[str, str]]
    factor: dict[str, Factor] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Run:
    """One cell of the experiment with one seed."""

    arm: str
    at: tuple[str, ...]  # the factors' values, in their order
    seed: int
    text: str
    name: str
    sets: tuple[str, ...]

    def file(self) -> str:
        told = "\0".join((self.text, *self.sets, str(self.seed)))
        return f"{hashlib.sha256(told.encode()).hexdigest()[:24]}.parquet"


def load(path: str | Path) -> tuple[Experiment, list[Run]]:
    """The experiment and all of its runs; BadFile with what is wrong in it or in a scenario that it makes."""
    told = read_as(Experiment, path, _faults)
    base = Path(path).parent / told.scenario
    text, name = read_text(base), str(base)
    runs: list[Run] = []
    for at in itertools.product(*(factor.values for factor in told.factor.values())):
        given = [f"{factor.key}={value}" for factor, value in zip(told.factor.values(), at, strict=True)]
        seen: list[tuple[Scenario, str]] = []
        for arm, keys in told.arm.items():
            sets = (*given, *(f"{key}={value}" for key, value in keys.items()))
            made = changed(text, name, sets)
            same = next((other for scenario, other in seen if scenario == made), None)
            if same is not None:
                where = f" at {', '.join(given)}" if given else ""
                what = f"changes nothing: it is the same as arm {same!r}{where}"
                raise BadFile(str(path), [Fault(f"arm.{arm}", what)])
            seen.append((made, arm))
            runs += [Run(arm, at, seed, text, name, sets) for seed in range(1, told.seeds + 1)]
    return told, runs


def _faults(told: Experiment) -> list[tuple[Key, str]]:
    found: list[tuple[Key, str]] = []
    if len(told.arm) < 2:
        found.append((("arm",), "has less than two arms; nothing could be compared"))
    for name, factor in told.factor.items():
        if not factor.values or len(set(factor.values)) < len(factor.values):
            found.append((("factor", name, "values"), "is empty or names a value twice"))
    return found


def carry(run: Run, folder: Path) -> None:
    """One run, and its row in a file that is there whole or not at all."""
    played = play(changed(run.text, run.name, run.sets), run.seed)
    summary = played.summary
    took = sorted(t for one in summary.classes.values() for t in one.took)
    row = {
        "arm": run.arm,
        "at": list(run.at),
        "seed": run.seed,
        "items": summary.items,
        "worth": played.worth,
        **{
            end.replace(" ", "_"): sum(one.ends[end] for one in summary.classes.values())
            / max(1, summary.items)
            for end in report.ENDS
        },
        "tail": played.tail,
        "double": float(played.double),
        "unharmed": played.unharmed,
        "p99_ms": took[int(0.99 * len(took))] / 1000 if took else 0.0,
        "attempts": summary.attempts / max(1, summary.items),
        "broken": float(played.breaches),
        "events": played.world.loop.events,
    }
    path = folder / run.file()
    part = path.with_suffix(f".{os.getpid()}.part")
    pq.write_table(pa.Table.from_pylist([row]), part)
    part.replace(path)


def read(path: Path) -> dict[str, Any] | None:
    """A finished run's row; None where the file can't be read, as after a full disk."""
    try:
        rows: list[dict[str, Any]] = pq.read_table(path).to_pylist()
        return rows[0] if len(rows) == 1 and set(OUTCOMES) <= rows[0].keys() else None
    except (OSError, pa.ArrowException):
        return None


def carry_out(runs: Sequence[Run], folder: Path, jobs: int, told: Callable[[str, int, int], None]) -> None:
    """Play what is not there yet.  `told` hears of files that can't be read, and of what is done."""
    folder.mkdir(parents=True, exist_ok=True)
    todo: list[Run] = []
    for run in runs:
        path = folder / run.file()
        if path.exists() and read(path) is not None:
            continue
        if path.exists():
            told(f"{path} cannot be read: it is played again", 0, len(runs))
        todo.append(run)
    done = len(runs) - len(todo)
    told("", done, len(runs))
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        waits = [pool.submit(carry, run, folder) for run in todo]
        for one in as_completed(waits):
            one.result()
            done += 1
            told("", done, len(runs))


@dataclass(frozen=True, slots=True)
class Compared:
    """One arm at one combination of the factors, against the first arm there."""

    at: tuple[str, ...]
    arm: str
    seeds: int
    mean: float
    low: float
    high: float
    difference: float = 0.0  # to the first arm, over paired seeds
    least: float = 0.0
    most: float = 0.0
    p: float = 1.0

    @property
    def word(self) -> str:
        if self.p >= 1 - INSIDE:
            return ""
        return "higher" if self.difference > 0 else "lower"


def interval(values: Sequence[float]) -> tuple[float, float]:
    """Percentile bootstrap of the mean; the same every time."""
    drawn = np.random.Generator(np.random.PCG64(1)).choice(np.asarray(values), (DRAWS, len(values)))
    low, high = np.quantile(drawn.mean(axis=1), [(1 - INSIDE) / 2, (1 + INSIDE) / 2])
    return float(low), float(high)


def compare(told: Experiment, runs: Sequence[Run], folder: Path, outcome: str = "") -> Iterator[Compared]:
    """Of what is finished; an arm is compared over the seeds that both it and the first one have.

    `outcome`: one of OUTCOMES, in place of the experiment's own.
    """
    values: dict[tuple[tuple[str, ...], str], dict[int, float]] = {}
    for run in runs:
        path = folder / run.file()
        row = read(path) if path.exists() else None
        if row is not None:
            values.setdefault((run.at, run.arm), {})[run.seed] = float(row[outcome or told.outcome])
    first = next(iter(told.arm))
    for (at, arm), mine in values.items():
        low, high = interval(list(mine.values()))
        mean = float(np.mean(list(mine.values())))
        theirs = values.get((at, first), {})
        pairs = [mine[seed] - theirs[seed] for seed in sorted(mine.keys() & theirs.keys())]
        if arm == first or not pairs:
            yield Compared(at, arm, len(mine), mean, low, high)
            continue
        least, most = interval(pairs)
        p = float(stats.wilcoxon(pairs).pvalue) if any(pairs) else 1.0
        yield Compared(at, arm, len(mine), mean, low, high, float(np.mean(pairs)), least, most, p)


def draw(told: Experiment, rows: Sequence[Compared], path: Path | IO[bytes], outcome: str = "") -> None:
    """Means with their intervals, by combination and arm, as SVG or PNG."""
    places = list(dict.fromkeys(row.at for row in rows))
    figure, axes = report.canvas(told.scenario, 7)
    for number, arm in enumerate(told.arm):
        mine = [row for row in rows if row.arm == arm]
        at = [places.index(row.at) + 0.15 * (number - (len(told.arm) - 1) / 2) for row in mine]
        off = [[row.mean - row.low for row in mine], [row.high - row.mean for row in mine]]
        axes.errorbar(at, [row.mean for row in mine], yerr=off, fmt="o", capsize=3, label=arm)
    names = [", ".join(f"{name} {v}" for name, v in zip(told.factor, place, strict=True)) for place in places]
    axes.set_xticks(range(len(places)), names or [""])
    axes.set(
        ylabel=outcome or told.outcome, title=f"{told.scenario}: mean and {INSIDE:.0%} interval over seeds"
    )
    axes.legend()
    report.save(figure, path)
