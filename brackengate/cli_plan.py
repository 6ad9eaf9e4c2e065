"""`brackengate plan`: tenants and upstreams to cells, by a solver; and the order in which to go there."""

from __future__ import annotations

import json
from typing import Any

import click

from brackengate.cli_common import BAD, FAILED, fail
from brackengate.logs import start_log

IMPOSSIBLE = 6


@click.group()
def plan() -> None:
    """Plan which tenants and upstreams belong to which cell.  Changes nothing by itself."""
    start_log("warning")


file_argument = click.argument("demand", type=click.Path(dir_okay=True))
plan_argument = click.argument("made", type=click.Path(dir_okay=True))


def _read(path: str, made: str | None = None) -> tuple[Any, Any]:
    from brackengate.installation.reading import BadFile
    from brackengate.planner import read

    try:
        told = read.demand(path)
        return told, read.plan(made, told) if made is not None else None
    except BadFile as error:
        fail(f"the file cannot be used:\n{error}", BAD)


def _show(told: Any, made: Any) -> None:
    from rich.console import Console
    from rich.table import Table

    from brackengate.planner import model, read

    table = Table(title=f"made by {made.made_by}, within {made.gap:.1%} of the best possible")
    for name in ("cell", "work", "capacity", "full", "full without a zone", "tenants"):
        table.add_column(name, justify="left" if name == "cell" else "right")
    for row in read.figures(model.load(told, made)):
        count = sum(cell == row["cell"] for cell in made.assign.values())
        table.add_row(*("-" if value is None else str(value) for value in row.values()), str(count))
    console = Console(width=110)
    console.print(table)
    moves = [name for name, cell in made.assign.items() if told.assign.get(name, cell) != cell]
    console.print(f"{len(moves)} of {len(told.tenant)} tenants move; cost {model.cost(told, made):.3f}")


@plan.command()
@file_argument
@click.option("--out", type=click.Path(dir_okay=False), help="Write the plan there.")
@click.option("--json", "as_json", is_flag=True)
def make(demand: str, out: str | None, as_json: bool) -> None:
    """Make the plan that keeps all bounds and changes least; exit code 6 where there is none, with why.

    \b
    Example: brackengate plan make examples/demand.toml --out plan.toml
    """
    told, _ = _read(demand)
    try:
        from brackengate.planner import solve
    except ImportError as error:
        fail(f"the planner needs the extra 'lab' (pip install 'brackengate[lab]'): {error}", BAD)
    from brackengate.planner import model, read

    made = solve.make(told)
    if isinstance(made, model.Impossible):
        click.echo("no plan keeps all bounds; the least that would have to give:", err=True)
        for line in made.why:
            click.echo(f"  {line}", err=True)
        raise SystemExit(IMPOSSIBLE)
    if out is not None:
        try:
            read.save(made, out)
        except OSError as error:
            fail(f"{out}: {error.strerror}", FAILED)
    if as_json:
        cells = read.figures(model.load(told, made))
        click.echo(
            json.dumps({"made_by": made.made_by, "gap": made.gap, "cells": cells, "assign": made.assign})
        )
    else:
        _show(told, made)


@plan.command()
@file_argument
@plan_argument
def explain(demand: str, made: str) -> None:
    """How full each cell is by a plan, and each bound that it passes."""
    told, found = _read(demand, made)
    from brackengate.planner.verify import broken

    _show(told, found)
    wrong = broken(told, found)
    for line in wrong or ["all bounds are kept"]:
        click.echo(line)
    raise SystemExit(IMPOSSIBLE if wrong else 0)


@plan.command()
@file_argument
@plan_argument
def diff(demand: str, made: str) -> None:
    """What differs from today: tenants that move, upstreams by cell."""
    told, found = _read(demand, made)
    same = True
    for name, cell in sorted(found.assign.items()):
        before = told.assign.get(name, "")
        if before != cell:
            same = False
            click.echo(f"{name}: {before or 'new'} -> {cell}")
    for row, counts in zip(told.upstreams, found.upstreams, strict=True):
        for cell in told.cells:
            if row.cells.get(cell, 0) != counts.get(cell, 0):
                same = False
                click.echo(
                    f"zone {row.zone}, {cell}: {row.cells.get(cell, 0)} -> {counts.get(cell, 0)} upstreams"
                )
    if same:
        click.echo("nothing changes")


@plan.command()
@file_argument
@plan_argument
@click.option("--undo", is_flag=True, help="The way back, from the last step.")
def steps(demand: str, made: str, undo: bool) -> None:
    """The order of changes in which no step puts a cell over its bounds; exit code 6 where there is none.

    \b
    Example: brackengate plan steps examples/demand.toml plan.toml
    """
    told, found = _read(demand, made)
    from brackengate.planner import read
    from brackengate.planner.steps import Stuck, order

    way = order(told, found)
    done = way.done if isinstance(way, Stuck) else way
    shown = [step.undo() for step in reversed(done)] if undo else done
    for number, step in enumerate(shown, 1):
        click.echo(f"{number}. {read.words(told, step)}")
    if isinstance(way, Stuck):
        click.echo(f"then stuck: {way.why}", err=True)
        raise SystemExit(IMPOSSIBLE)
    if not done:
        click.echo("nothing changes")
