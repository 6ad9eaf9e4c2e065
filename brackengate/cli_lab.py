"""`brackengate lab`: the whole installation in simulated time."""

from __future__ import annotations

import json
import logging
import re
import time
from dataclasses import asdict, replace
from functools import partial
from pathlib import Path
from typing import Any

import click

from brackengate.cli_common import BAD, FAILED, fail
from brackengate.logs import start_log

log = logging.getLogger("brackengate.lab")

BROKEN = 5
MESH = re.compile(r'^kind *= *"mesh"', re.MULTILINE)


@click.group()
def lab() -> None:
    """Run a scenario of a whole installation in simulated time, and judge it by the rules."""
    start_log("warning")
    level = logging.getLogger().level
    log.setLevel(level)
    if level > logging.DEBUG:  # what the balancers say that are played
        _quiet("brackengate", logging.ERROR)
        _quiet("brackengate.lighthouse", logging.CRITICAL)  # disks that were made full


def _quiet(name: str, level: int) -> None:
    """For this command only."""
    logger = logging.getLogger(name)
    click.get_current_context().call_on_close(partial(logger.setLevel, logger.level))
    logger.setLevel(level)


@lab.command("run")
@click.argument("scenario", type=click.Path(dir_okay=True))
@click.option("--seed", type=int, help="The same seed gives the same run.  Else that of its [found], or 1.")
@click.option("--set", "sets", multiple=True, metavar="KEY=VALUE", help="Lay a value over the scenario's.")
@click.option("--sockets", is_flag=True, help="In real time: instances as processes, stand-ins beside them.")
@click.option("--chart", type=click.Path(dir_okay=False), help="Draw what became of the items: .svg or .png.")
@click.option("--trace", type=click.Path(dir_okay=False), help="Write every record, a JSON array a line.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as one JSON object.")
def run(
    scenario: str,
    seed: int | None,
    sets: tuple[str, ...],
    sockets: bool,
    chart: str | None,
    trace: str | None,
    as_json: bool,
) -> None:
    """Run it once: figures, and whether a rule was broken (exit code 5).

    \b
    Example: brackengate lab run examples/lab/kill-and-roll.toml --seed 3 --chart run.svg
    """
    from brackengate.emulator import hunt, report

    if chart is not None and Path(chart).suffix not in (".svg", ".png"):
        fail(f"--chart: {chart!r} has no ending that can be drawn; allowed: .svg, .png", BAD)
    told = _scenario(scenario, sets)
    if sockets and not hasattr(told, "balancers"):
        fail(
            "--sockets: the mesh on real sockets is `python -m benchmarks.mesh`; allowed: installations", BAD
        )
    seed = told.found.seed if seed is None else seed
    if sockets:
        _on_sockets(told, seed, chart, as_json)
        return
    begun = time.monotonic()
    played = hunt.game(told).play(told, seed)
    lasted = time.monotonic() - begun
    world, found, summary = played.world, played.found, played.summary
    try:
        if trace is not None:
            Path(trace).write_text(
                "".join(json.dumps(record) + "\n" for record in world.records), encoding="utf-8"
            )
        if chart is not None:
            report.draw(summary, f"{told.name}, seed {seed}", Path(chart))
    except OSError as error:
        fail(f"{error.filename}: {error.strerror}", FAILED)
    except ImportError as error:
        fail(f"--chart needs the extra 'lab' (pip install 'brackengate[lab]'): {error}", BAD)
    broken = [one for one in found if one.count]
    told_of = {"scenario": told.name, "seed": seed, "events": world.loop.events, "seconds": round(lasted, 3)}
    log.info("played", extra=told_of)
    for one in broken:
        log.warning("broken: %s", one.rule, extra={**told_of, "count": one.count, "first": one.words[0]})
    figures: dict[str, Any] = {
        "scenario": told.name,
        "seed": seed,
        "items": summary.items,
        "attempts": summary.attempts,
        "double": played.double,
        "events": world.loop.events,
        "classes": {
            name: {
                "in_aim": round(one.share(), 4),
                "p50_ms": one.quantile(0.5) / 1000,
                "p99_ms": one.quantile(0.99) / 1000,
                **{end.replace(" ", "_") + "_items": one.ends[end] for end in report.ENDS},
            }
            for name, one in summary.classes.items()
        },
        "broken": {one.rule: one.count for one in broken},
    }
    if as_json:
        click.echo(json.dumps(figures))
    else:
        _show(figures, summary, found, world, lasted)
    raise SystemExit(BROKEN if broken else 0)


def _show(figures: dict[str, Any], summary: Any, found: Any, world: Any, lasted: float) -> None:
    from rich.console import Console
    from rich.table import Table

    from brackengate.emulator.report import ENDS

    table = Table(title=f"{figures['scenario']}, seed {figures['seed']}")
    for name in ("class", "items", "in aim", "p50 ms", "p99 ms", *ENDS[1:]):
        table.add_column(name, justify="left" if name == "class" else "right")
    for name, one in summary.classes.items():
        shown = [f"{one.share():.3f}", f"{one.quantile(0.5) / 1000:.0f}", f"{one.quantile(0.99) / 1000:.0f}"]
        table.add_row(name, str(one.items), *shown, *(str(one.ends[end]) for end in ENDS[1:]))
    console = Console(width=110)
    console.print(table)
    events, simulated = world.loop.events, world.loop.now / 1e6
    each = figures["attempts"] / max(1, figures["items"])
    console.print(f"{simulated:.0f} s in {lasted:.1f} s; {events} events, {events / lasted:.0f} a second")
    console.print(
        f"{each:.2f} attempts an item; {figures['double']} ran again by a client's own retry", highlight=False
    )
    for one in found:
        count = f": {one.count}" if one.count else ""
        console.print(f"{'BROKEN' if one.count else 'kept  '}  {one.rule}{count}")
        for words in one.words:
            console.print(f"        {words}", highlight=False)


def _experiment(file: str) -> Any:
    try:
        from brackengate.emulator import experiment
    except ImportError as error:
        fail(f"experiments need the extra 'lab' (pip install 'brackengate[lab]'): {error}", BAD)
    from brackengate.installation.reading import BadFile

    try:
        return experiment, *experiment.load(file)
    except BadFile as error:
        fail(f"the experiment cannot be used:\n{error}", BAD)


out_option = click.option(
    "--out", required=True, type=click.Path(file_okay=False), help="Where its rows lie."
)


@lab.command("experiment")
@click.argument("file", type=click.Path(dir_okay=True))
@out_option
@click.option("--jobs", type=click.IntRange(1, 256), default=4, show_default=True, help="Runs side by side.")
def experiment_(file: str, out: str, jobs: int) -> None:
    """Play every arm of an experiment with every seed; started again, it goes on where it stopped.

    \b
    Example: brackengate lab experiment examples/lab/probes.toml --out results --jobs 8
    """
    from rich.console import Console
    from rich.progress import Progress

    module, _, runs = _experiment(file)
    with Progress(console=Console(stderr=True)) as progress:
        task = progress.add_task("runs", total=len(runs))

        def told(words: str, done: int, _of: int) -> None:
            if words:
                log.warning("%s", words, extra={"done": done})
            progress.update(task, completed=done)

        try:
            module.carry_out(runs, Path(out), jobs, told)
        except OSError as error:
            fail(f"{error.filename}: {error.strerror}", FAILED)
    click.echo(f"{len(runs)} runs are in {out}")


@lab.command()
@click.argument("file", type=click.Path(dir_okay=True))
@out_option
@click.option("--chart", type=click.Path(dir_okay=False), help="Draw it: .svg or .png.")
def compare(file: str, out: str, chart: str | None) -> None:
    """Say which arm is better, by paired seeds, of the runs that are finished.

    \b
    Example: brackengate lab compare examples/lab/probes.toml --out results --chart probes.svg
    """
    from rich.console import Console
    from rich.table import Table

    module, told, runs = _experiment(file)
    rows = list(module.compare(told, runs, Path(out)))
    table = Table(title=f"{told.scenario}: {told.outcome}, against the first arm")
    for name in (*told.factor, "arm", "seeds", "mean", "95 %", "difference", "95 %", "p", ""):
        table.add_column(name)
    for row in rows:
        first = row.arm == next(iter(told.arm))
        against = ["", "", "", ""] if first else [
            f"{row.difference:+.4f}", f"{row.least:+.4f} to {row.most:+.4f}", f"{row.p:.2g}", row.word,
        ]  # fmt: skip
        shown = [str(row.seeds), f"{row.mean:.4f}", f"{row.low:.4f} to {row.high:.4f}"]
        table.add_row(*row.at, row.arm, *shown, *against)
    Console(width=120).print(table)
    missing = len(runs) - sum(row.seeds for row in rows)
    if missing:
        click.echo(
            f"{missing} of {len(runs)} runs are not there yet: brackengate lab experiment {file} --out {out}"
        )
    if chart is not None:
        module.draw(told, rows, Path(chart))


def _on_sockets(told: Any, seed: int, chart: str | None, as_json: bool) -> None:
    from brackengate.emulator import report
    from brackengate.emulator.sockets import CannotPlay, play

    try:
        summary, twice = play(told, seed)
    except CannotPlay as error:
        fail(f"the scenario cannot be played on sockets:\n{error}", BAD)
    if chart is not None:
        report.draw(summary, f"{told.name} on sockets, seed {seed}", Path(chart))
    figures = {
        name: {"items": one.items, "in_aim": round(one.share(), 4), "p99_ms": one.quantile(0.99) / 1000}
        for name, one in summary.classes.items()
    }
    if as_json:
        click.echo(json.dumps({"scenario": told.name, "seed": seed, "classes": figures, "twice": twice}))
    else:
        for name, one in figures.items():
            click.echo(
                f"{name:<16} {one['items']:>6} items  {one['in_aim']:.3f} in aim  p99 {one['p99_ms']:.0f} ms"
            )
        click.echo(f"{'BROKEN' if twice else 'kept  '}  no effect twice: {len(twice)}")
    raise SystemExit(BROKEN if twice else 0)


def _scenario(path: str, sets: tuple[str, ...] = ()) -> Any:
    from brackengate.emulator import scenario
    from brackengate.installation.reading import BadFile, read_text

    try:
        text = read_text(path)
        if MESH.search(text) is None:
            return scenario.changed(text, path, sets)
        from brackengate.emulator.mesh.scenario import parse_scenario

        return parse_scenario(text, path, sets)
    except BadFile as error:
        fail(f"the scenario cannot be used:\n{error}", BAD)


def _write(told: Any, out: str, words: str, seed: int, score: Any) -> None:
    """A scenario with what it showed, for `replay`."""
    import msgspec
    import tomli_w

    from brackengate.emulator.hunt import plain
    from brackengate.emulator.scenario import Found

    found = Found(seed=seed, rules=score.rules, lost=score.lost)
    text = tomli_w.dumps(plain(msgspec.structs.replace(told, found=found)))
    try:
        Path(out).parent.mkdir(parents=True, exist_ok=True)
        Path(out).write_text(f"# {words}\n{text}", encoding="utf-8")
    except OSError as error:
        fail(f"{out}: {error.strerror}", FAILED)


@lab.command()
@click.argument("scenario", type=click.Path(dir_okay=True))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--runs", type=click.IntRange(2, 100_000), default=200, show_default=True, help="And no more.")
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="Where the worst is written.")
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Shrink each new kind of breach to a case in here."
)
def search(scenario: str, seed: int, runs: int, out: str, keep: str | None) -> None:
    """Look for the schedule of faults that breaks a rule, or costs most worth.

    What a run did that none before had done (rules, ends, faults that came together) is gone on from, too.

    \b
    Example: brackengate lab search examples/lab/kill-and-roll.toml --runs 300 --out worst.toml
    """
    from rich.console import Console
    from rich.progress import Progress

    from brackengate.emulator import hunt

    told = _scenario(scenario)
    most = hunt.Score(-1, 0.0)
    with Progress(console=Console(stderr=True)) as progress:
        task = progress.add_task("runs", total=runs)

        def heard(run: int, worst: Any, score: Any) -> None:
            nonlocal most
            progress.update(task, completed=run)
            if score > most:
                most = score
                log.info("worse", extra={"run": run, "rules": score.rules, "lost": score.lost})
                words = f"{score.broken} breaches, {score.lost:.1%} of the worth lost"
                _write(worst, out, f"from {told.name} with seed {seed}, by run {run}: {words}", seed, score)

        kinds: dict[tuple[str, ...], Any] = {}
        _, score = hunt.search(told, seed, runs, heard, kinds)
    for rules, broken in kinds.items() if keep is not None else ():
        small, tries = hunt.shrink(broken, seed, hunt.same_rules(rules))
        path = Path(str(keep)) / f"{told.name}-{'-'.join(rules).replace(' ', '-')}-{seed}.toml"
        _write(
            small,
            str(path),
            f"found from {told.name}, shrunk in {tries} runs",
            seed,
            hunt.judge(small, seed)[0],
        )
        click.echo(f"kept: {path}")
    click.echo(f"{score.broken} breaches, {score.lost:.1%} of the worth lost")
    click.echo(f"brackengate lab replay {out}")
    raise SystemExit(BROKEN if score.broken else 0)


@lab.command()
@click.argument("scenario", type=click.Path(dir_okay=True))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--lost", type=float, help="Keep what loses this part of the worth, in place of a broken rule.")
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="Where the smallest is written.")
def shrink(scenario: str, seed: int, lost: float | None, out: str) -> None:
    """Make a scenario that breaks a rule as small as it gets while the same rule stays broken.

    \b
    Example: brackengate lab shrink worst.toml --seed 1 --lost 0.2 --out small.toml
    """
    from brackengate.emulator import hunt

    told = _scenario(scenario)
    score, _ = hunt.judge(told, seed)
    if lost is None and not score.rules:
        fail(f"no rule is broken by it with seed {seed}: nothing to keep; --lost gives another aim", BAD)
    if lost is not None and score.lost < lost:
        fail(f"--lost: it loses {score.lost:.3f} of the worth; at most that can be asked for", BAD)

    def enough(now: Any, broken: Any) -> bool:
        return bool(now.lost >= lost)

    still = hunt.same_rules(score.rules) if lost is None else enough

    def heard(run: int, least: Any) -> None:
        shown = hunt.judge(least, seed)[0]
        _write(least, out, f"shrunk from {told.name} with seed {seed}, by run {run}", seed, shown)

    heard(0, told)
    small, runs = hunt.shrink(told, seed, still, heard=heard)
    click.echo(f"{len(told.fault)} faults to {len(small.fault)} in {runs} runs")
    click.echo(f"brackengate lab replay {out}")


@lab.command()
@click.argument("cases", nargs=-1, required=True, type=click.Path(dir_okay=True))
def replay(cases: tuple[str, ...]) -> None:
    """Play cases that search or shrink has kept again, with their seeds; exit code 5 where a rule is broken.

    \b
    Example: brackengate lab replay examples/lab/cold-in-a-flood.toml
    """
    from brackengate.emulator import hunt

    broken = False
    for case in cases:
        told = _scenario(case)
        played = hunt.game(told).play(told, told.found.seed)
        now, before = set(played.rules), set(told.found.rules)
        words = [f"still broken: {rule}" for rule in sorted(now & before)]
        words += [f"newly broken: {rule}" for rule in sorted(now - before)]
        words += [f"mended: {rule}" for rule in sorted(before - now)]
        lost = f"{1 - played.worth:.1%} of the worth lost, before {told.found.lost:.1%}"
        click.echo(f"{case}: {', '.join(words) or 'all rules kept'}; {lost}")
        for one in played.found:
            for line in one.words if one.rule in now else ():
                click.echo(f"    {line}")
        broken = broken or bool(now)
    raise SystemExit(BROKEN if broken else 0)


@lab.command()
@click.argument("file", type=click.Path(dir_okay=True))
@out_option
@click.option("--csv", "as_csv", is_flag=True, help="Every run as a line, in place of the means.")
def table(file: str, out: str, as_csv: bool) -> None:
    """Every outcome of an experiment, by arm and factors, with its interval over the seeds.

    \b
    Example: brackengate lab table examples/lab/probes.toml --out results
    """
    module, told, runs = _experiment(file)
    if as_csv:
        click.echo(",".join((*told.factor, "arm", "seed", *module.OUTCOMES)))
        for run in runs:
            path = Path(out) / run.file()
            row = module.read(path) if path.exists() else None
            if row is not None:
                shown = [*run.at, run.arm, run.seed, *(f"{row[name]:.6g}" for name in module.OUTCOMES)]
                click.echo(",".join(map(str, shown)))
        return
    from rich.console import Console
    from rich.table import Table

    shown_table = Table(title=told.scenario)
    for name in (*told.factor, "arm", "outcome", "seeds", "mean", "95 %"):
        shown_table.add_column(name)
    for outcome in module.OUTCOMES:
        for row in module.compare(told, runs, Path(out), outcome):
            between = f"{row.low:.4f} to {row.high:.4f}"
            shown_table.add_row(*row.at, row.arm, outcome, str(row.seeds), f"{row.mean:.4f}", between)
    Console(width=110).print(shown_table)


def _outcome(module: Any, outcome: str | None) -> str:
    if outcome is not None and outcome not in module.OUTCOMES:
        fail(f"--outcome: {outcome!r} is none; allowed: {', '.join(module.OUTCOMES)}", BAD)
    return outcome or ""


@lab.command()
@click.argument("file", type=click.Path(dir_okay=True))
@out_option
@click.option("--to", required=True, type=click.Path(dir_okay=False), help=".svg or .png")
@click.option("--outcome", help="In place of the experiment's own.")
def chart(file: str, out: str, to: str, outcome: str | None) -> None:
    """Draw an experiment: the mean of each arm with its interval.  One run's chart: `lab run --chart`.

    \b
    Example: brackengate lab chart examples/lab/probes.toml --out results --to probes.svg
    """
    module, told, runs = _experiment(file)
    if Path(to).suffix not in (".svg", ".png"):
        fail(f"--to: {to!r} has no ending that can be drawn; allowed: .svg, .png", BAD)
    name = _outcome(module, outcome)
    module.draw(told, list(module.compare(told, runs, Path(out), name)), Path(to), name)


@lab.command()
@click.argument("file", type=click.Path(dir_okay=True))
@out_option
@click.option("--to", required=True, type=click.Path(dir_okay=False), help="One HTML file.")
def report(file: str, out: str, to: str) -> None:
    """Write a page on an experiment: which arm is better, by what test, with tables and a chart.

    \b
    Example: brackengate lab report examples/lab/probes.toml --out results --to probes.html
    """
    _, told, runs = _experiment(file)
    from brackengate.emulator import page

    try:
        page.write(told, runs, Path(out), Path(to))
    except OSError as error:
        fail(f"{to}: {error.strerror}", FAILED)


@lab.command()
@click.argument("scenario", type=click.Path(dir_okay=True))
@click.option("--seeds", type=click.IntRange(1, 100), default=2, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def calibrate(scenario: str, seeds: int, as_json: bool) -> None:
    """Play a scenario in simulated time and on real sockets, and say how far they are apart.

    \b
    Example: brackengate lab calibrate examples/lab/calibrate.toml --seeds 3
    """
    from rich.console import Console
    from rich.table import Table

    from brackengate.emulator import calibrate as apart
    from brackengate.emulator import sockets
    from brackengate.emulator.play import play

    told = _scenario(scenario)
    numbers = range(1, seeds + 1)
    try:
        sockets.check(told)
        emulated = [play(told, seed).summary for seed in numbers]
        real = [sockets.play(told, seed)[0] for seed in numbers]
    except sockets.CannotPlay as error:
        fail(f"the scenario cannot be played on sockets:\n{error}", BAD)
    rows = list(apart.compare(emulated, real))
    quantiles = {part: list(apart.times(emulated, real, part)) for part in (0.5, 0.99)}
    worst = max(rows, key=lambda row: abs(row.difference))
    if as_json:
        shown = [
            {
                "class": r.name,
                "end": r.end,
                "emulated": r.emulated,
                "real": r.real,
                "told_apart": r.told_apart,
            }
            for r in rows
        ]
        click.echo(json.dumps({"rows": shown, "worst": abs(worst.difference), "quantiles_ms": quantiles}))
        return
    shown_table = Table(title=f"{told.name}: parts of the items, {seeds} seeds")
    for name in ("class", "outcome", "emulated", "on sockets", "difference", "by chance", ""):
        shown_table.add_column(name, justify="left" if name in ("class", "outcome", "") else "right")
    for row in rows:
        if row.emulated or row.real:
            shown_table.add_row(
                row.name, row.end, f"{row.emulated:.4f}", f"{row.real:.4f}", f"{row.difference:+.4f}",
                f"{apart.NEAR * row.noise:.4f}", "apart" if row.told_apart else "",
            )  # fmt: skip
    console = Console(width=110)
    console.print(shown_table)
    for part, found in quantiles.items():
        for name, one, other in found:
            console.print(f"{name}: {part:.0%} within {one:.0f} ms emulated, {other:.0f} ms on sockets")
    console.print(f"furthest apart: {worst.name}, {worst.end}, by {abs(worst.difference):.4f}")


def _bounds(command: Any) -> Any:
    """An option for each bound, without a value of its own: the scope's, or the mistake's, stands."""
    for name, words in reversed(BOUNDS.items()):
        kind = click.IntRange(1 if name == "members" else 0, 7 if name == "members" else 99)
        command = click.option(f"--{name.replace('_', '-')}", type=kind, help=words)(command)
    return command


WORKLOAD_NAMES = ("claims", "versions", "same-version", "overtaken")
BOUNDS = {
    "members": "Machines of the core.  [3]",
    "spare": "Of these, machines beside the first view.  [0]",
    "min_replicas": "Disks that hold a write before it is acknowledged.  [2]",
    "writes": "Writes of one key, by others each; with reads: versions of one service.  [1]",
    "frees": "Writes that are taken back.  [0]",
    "reads": "Reads of the configuration.  [0]",
    "views": "The highest number of a view.  [2]",
    "bids": "Bids for a view.  [1]",
    "crashes": "Losses of power, and kills.  [1]",
    "wipes": "Losses of a disk, one at once.  [0]",
    "losses": "Losses of all that is under way between two.  [0]",
    "doubts": "One stops hearing another that is up.  [1]",
    "pings": "Pings that are heard, beyond those before the beginning.  [0]",
    "repeats": "Asks that are sent again.  [0]",
    "delays": "Links take turns, and are passed over so often; 99: any order.  [99]",
    "resends": "Writes that were acknowledged and come again.  [0]",
    "clock": "Halves of a lease that pass; pings are lines like others.  [0]",
    "drifts": "Times that a clock gains or loses half a lease.  [0]",
    "freezes": "Machines that stand still for a while.  [0]",
    "learns": "Requests of learners beyond their first.  [0]",
}


@lab.command("model-check")
@_bounds
@click.option("--workload", type=click.Choice(WORKLOAD_NAMES), help="What is written.  [claims]")
@click.option("--apart/--at-once", default=None, help="A store is an event of its own.  [at once]")
@click.option("--depth", type=click.IntRange(1), default=10_000, help="Events in a history, at most.")
@click.option("--states", type=click.IntRange(1), default=5_000_000, show_default=True, help="And no more.")
@click.option("--seconds", type=click.FloatRange(0.1), default=600.0, show_default=True, help="And no more.")
@click.option("--mistake", help="Put a mistake in, in the bounds within which it shows; `list` tells them.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as one JSON object.")
def model_check(
    workload: str | None,
    apart: bool | None,
    depth: int,
    states: int,
    seconds: float,
    mistake: str | None,
    as_json: bool,
    **given: int | None,
) -> None:
    """Drive the control replicas' deciders through every order of events within bounds (exit code 5: broken).

    `check-agreement` is an older name of it.

    \b
    Example: brackengate lab model-check --views 2 --crashes 1
    Example: brackengate lab model-check --mistake lease-from-receipt
    """
    import msgspec

    from brackengate.control.replica import Replica
    from brackengate.model_check.history_text import format_history
    from brackengate.model_check.mistakes import MISTAKES
    from brackengate.model_check.model import Bounds, Model
    from brackengate.model_check.search import Limits, SearchResult, search
    from brackengate.model_check.workload import WORKLOADS

    if mistake is not None and mistake not in MISTAKES:
        told = "\n".join(f"  {name:<14} {one.description}" for name, one in MISTAKES.items())
        if mistake == "list":
            click.echo(told)
            return
        fail(f"--mistake: there is no {mistake!r}; allowed:\n{told}", BAD)
    chosen = MISTAKES.get(mistake or "")
    changes: dict[str, Any] = {name: value for name, value in given.items() if value is not None}
    if apart is not None:
        changes["apart"] = apart
    if workload is not None:
        changes["workload"] = workload
    bounds = replace(chosen.bounds if chosen is not None else Bounds(), **changes)
    if bounds.spare >= bounds.members:
        fail(f"--spare: {bounds.spare} of {bounds.members} members leave no first view", BAD)
    most = WORKLOADS[bounds.workload].max_writes if bounds.workload else bounds.writes
    if bounds.writes > most:
        fail(f"--writes: {bounds.writes}; allowed for {bounds.workload}: up to {most}", BAD)
    if bounds.reads and bounds.reads > bounds.members:
        fail(f"--reads: {bounds.reads}; allowed: up to {bounds.members}, the number of members", BAD)

    def heard(found: SearchResult) -> None:
        told_of = {"depth": found.depth, "states": found.states, "seconds": round(found.seconds, 1)}
        log.info("a layer is done", extra=told_of)

    kind = chosen.kind if chosen is not None else Replica
    found = search(Model(bounds, kind), Limits(depth, states, seconds), time.monotonic, heard)
    drawn = format_history(Model(bounds, kind), found.history, found.breach) if found.breach else ""
    figures = {
        "bounds": asdict(bounds),
        "mistake": mistake,
        "states": found.states,
        "machine_states": found.machine_states,
        "events": found.steps,
        "cut": found.beyond_bounds,
        "depth": len(found.history) if found.breach else found.depth,
        "seconds": round(found.seconds, 2),
        "exhausted": not found.breach and not found.stopped,
        "stopped": found.stopped,
        "breach": found.breach,
    }
    if as_json:
        click.echo(msgspec.json.encode({**figures, "history": found.history}))
    else:
        _show_search(figures, drawn)
    raise SystemExit(BROKEN if found.breach else 0)


lab.add_command(model_check, "check-agreement")


def _show_search(figures: dict[str, Any], drawn: str) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title="agreement within bounds")
    table.add_column("bound")
    table.add_column("", justify="right")
    for name, value in figures["bounds"].items():
        shown = "any order" if name == "delays" and value == 99 else str(value)
        table.add_row(name, shown)
    Console(width=110).print(table)
    if drawn:
        click.echo(drawn)
        click.echo(f"shortest history: {figures['depth']} events")
    click.echo(
        f"{figures['states']} states ({figures['machine_states']} of single machines), {figures['events']}"
        f" events, {figures['cut']} of them beyond the bounds, depth {figures['depth']},"
        f" {figures['seconds']} s"
    )
    if not drawn:
        end = (
            "all of it was seen" if figures["exhausted"] else f"NOT all of it was seen: {figures['stopped']}"
        )
        click.echo(f"no invariant is broken; {end}")


@lab.command("check-calls")
@click.option("--histories", type=click.IntRange(1), default=500, show_default=True, help="How many to draw.")
@click.option("--seed", type=click.IntRange(0), default=0, show_default=True, help="Of the first one.")
@click.option("--json", "as_json", is_flag=True, help="Print the figures as one JSON object.")
def check_calls(histories: int, seed: int, as_json: bool) -> None:
    """Play histories of calls by lot over both proxies as they are (exit code 5: a promise is broken).

    \b
    Example: brackengate lab check-calls --histories 5000 --seed 100000
    """
    from brackengate.emulator.calls.history import minimise_history, random_history
    from brackengate.emulator.calls.promises import broken_promises
    from brackengate.emulator.calls.simulation import play

    found = next((n for n in range(seed, seed + histories) if broken_promises(play(random_history(n)))), None)
    figures: dict[str, Any] = {"histories": histories if found is None else found - seed + 1, "seed": found}
    if found is not None:
        smallest = minimise_history(random_history(found), lambda one: bool(broken_promises(play(one))))
        figures |= {"broken": broken_promises(play(smallest)), "history": asdict(smallest)}
    if as_json:
        click.echo(json.dumps(figures))
    elif found is None:
        click.echo(f"{histories} histories: no promise is broken")
    else:
        click.echo(f"history {found}, as short as it gets: {smallest}")
        click.echo("\n".join(figures["broken"]))
    raise SystemExit(0 if found is None else BROKEN)
