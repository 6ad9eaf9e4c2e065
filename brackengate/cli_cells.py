"""`brackengate cells`: who belongs to which cell, and moving tenants between them."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import click

from brackengate.cli_common import BAD, INCOMPLETE, WRONG_STATE, ask, fail, file_argument, read, sets_option
from brackengate.installation.schema import CellMap, File


@click.group()
def cells() -> None:
    """Cells: tenants confined to pools of their own, and moved while their lots are open."""


def _load(path: str, sets: tuple[str, ...]) -> tuple[File, CellMap]:
    """The installation file and the map that it names; the command ends on any fault of either."""
    from brackengate.cells import setup
    from brackengate.cells.check import map_faults, term_faults
    from brackengate.installation.reading import BadFile, load_cells
    from brackengate.snapshot.check import tell

    file = read(path, sets)
    if not file.cells.file:
        fail(f"{path}: cells.file is not set: there are no cells", BAD)
    try:
        told = load_cells(file.cells.file)
    except BadFile as error:
        fail(f"the map cannot be used:\n{error}", BAD)
    if faults := tell(map_faults(told, file.pool)) + term_faults(told, setup.terms(file)):
        fail(f"{file.cells.file}:\n" + "\n".join(f"  {fault}" for fault in faults), BAD)
    return file, told


def _now() -> int:
    return time.time_ns() // 1000


@cells.command("check")
@file_argument
@sets_option
def check(file: str, sets: tuple[str, ...]) -> None:
    """Check the map by itself and against the installation's pools and classes; exit code 2 on a fault.

    \b
    Example: brackengate cells check examples/cells.toml
    """
    _, told = _load(file, sets)
    click.echo(
        f"epoch {told.epoch}: {len(told.cell)} cells, {len(told.assign)} assigned, {len(told.move)} moves"
    )


@cells.command("show")
@file_argument
@sets_option
def show(file: str, sets: tuple[str, ...]) -> None:
    """Show each cell with its pools and tenants, and each move with its state."""
    from brackengate.cells import setup
    from brackengate.cells.change import state
    from brackengate.cells.owners import ends

    installation, told = _load(file, sets)
    now, terms = _now(), setup.terms(installation)
    click.echo(f"epoch {told.epoch}, published {_when(told.published)}; all others: {told.default}")
    for name, cell in told.cell.items():
        pools = ", ".join(f"{route} -> {pool}" for route, pool in cell.pools.items())
        who = ", ".join(sorted(one for one, home in told.assign.items() if home == name))
        click.echo(f"{name}: {pools}; {who or 'nobody by name'}")
    for who, move in told.move.items():
        times = f", from {_when(move.start)} nobody's, from {_when(ends(move, False))} {move.to}'s"
        click.echo(
            f"move of {who}: {move.from_} -> {move.to}:"
            f" {state(move, now, terms)}{times if move.start else ''}"
        )


def _when(at: int) -> str:
    return time.strftime("%H:%M:%S", time.localtime(at / 1e6)) + f".{at // 1000 % 1000:03}"


@cells.command("explain")
@file_argument
@click.argument("tenant")
@sets_option
def explain(file: str, tenant: str, sets: tuple[str, ...]) -> None:
    """Say where TENANT's requests of each class go now, and why; exit code 4 if one is refused now."""
    from brackengate.cells import setup
    from brackengate.cells.owners import Go, Owners
    from brackengate.installation.settings import REPEATS

    installation, told = _load(file, sets)
    owners, now, terms = Owners.of(told), _now(), setup.terms(installation)
    by = "by name" if tenant in told.assign else "by default"
    click.echo(f"{tenant}: cell {owners.home(tenant)} {by}{', being moved' if tenant in told.move else ''}")
    refused = False
    for name, cls in installation.class_.items():
        verdict = owners.decide(tenant, REPEATS[cls.repeats], now, now, terms)
        if isinstance(verdict, Go):
            pools = ", ".join(f"{r} -> {p}" for r, p in told.cell[verdict.cell].pools.items())
            click.echo(f"  {name} ({cls.repeats}): cell {verdict.cell}: {pools}")
        else:
            refused = True
            click.echo(
                f"  {name} ({cls.repeats}): refused: {verdict.why.value}; back in {verdict.wait / 1e6:.3f} s"
            )
    if refused:
        raise SystemExit(INCOMPLETE)


Change = Callable[[CellMap, int, Any], Any]


def _change(file: str, sets: tuple[str, ...], dry_run: bool, what: Change) -> CellMap:
    """Read, decide and write, alone; the new map.  The check that instances make is made here first."""
    from brackengate.cells import keeper, setup
    from brackengate.cells.change import Refused
    from brackengate.cells.check import change_faults
    from brackengate.cells.owners import Owners

    installation = read(file, sets)
    if not installation.cells.file:
        fail(f"{file}: cells.file is not set: there are no cells", BAD)
    try:
        with keeper.alone(installation.cells.file):
            installation, old = _load(file, sets)
            now, terms = _now(), setup.terms(installation)
            new = what(old, now, terms)
            if isinstance(new, Refused):
                fail(new.why, WRONG_STATE)
            if faults := change_faults(Owners.of(old), Owners.of(new), now, terms):
                fail("\n".join(faults), WRONG_STATE)
            if not dry_run and new is not old:
                keeper.write(installation.cells.file, new)
    except OSError as error:
        fail(f"{installation.cells.file}: {error.strerror}", BAD)
    _print_change(old, new, dry_run)
    return new  # type: ignore[no-any-return]


def _print_change(old: CellMap, new: CellMap, dry_run: bool) -> None:
    from brackengate.cells.owners import ends

    if new is old:
        click.echo("nothing to do")
        return
    word = "would be" if dry_run else "is"
    click.echo(f"epoch {old.epoch} -> {new.epoch} {word} published")
    for who in sorted({*old.move, *new.move}):
        move = new.move.get(who)
        if move == old.move.get(who):
            continue
        if move is None:
            click.echo(f"  {who}: in {new.assign.get(who, new.default)}, no move")
        elif not move.start:
            click.echo(f"  {who}: stays in {move.from_}, the move to {move.to} waits")
        else:
            click.echo(f"  {who}: {move.from_} -> {move.to}")
            click.echo(
                f"    reads go to {move.to} from {_when(move.start)}; the rest is refused from then on"
            )
            click.echo(f"    unsafe requests go to {move.to} from {_when(ends(move, False))}")
            click.echo(f"    keyed requests go to {move.to} from {_when(ends(move, True))}")


dry_option = click.option("--dry-run", is_flag=True, help="Say what would change, and change nothing.")


@cells.command("move")
@file_argument
@click.argument("tenant")
@click.argument("cell")
@dry_option
@sets_option
def move(file: str, tenant: str, cell: str, dry_run: bool, sets: tuple[str, ...]) -> None:
    """Move TENANT to CELL while its lots are open.

    \b
    Example: brackengate cells move examples/cells.toml zadruga-drava b --dry-run
    """
    from brackengate.cells import change

    _change(file, sets, dry_run, lambda told, now, terms: change.begin(told, tenant, cell, now, terms))


def _of_move(name: str, what: str) -> None:
    """A command that changes one tenant's move; `change` has a function of its name."""

    @cells.command(name, help=what)
    @file_argument
    @click.argument("tenant")
    @dry_option
    @sets_option
    def command(file: str, tenant: str, dry_run: bool, sets: tuple[str, ...]) -> None:
        from brackengate.cells import change

        decide = getattr(change, name)
        _change(file, sets, dry_run, lambda told, now, terms: decide(told, tenant, now, terms))


_of_move("undo", "Leave TENANT where it was; once the new cell may have begun, move it back.")
_of_move("pause", "Hold TENANT's move; its old cell keeps it until `resume`.")
_of_move("resume", "Go on with a move that was paused.")


@cells.command("settle")
@file_argument
@dry_option
@sets_option
def settle(file: str, dry_run: bool, sets: tuple[str, ...]) -> None:
    """Write moves that are over into the assignments, so that the file stays short."""
    from brackengate.cells import change

    _change(file, sets, dry_run, change.settle)


@cells.command("status")
@file_argument
@sets_option
def status(file: str, sets: tuple[str, ...]) -> None:
    """Show which map each instance of a running fleet has, and when it was confirmed last."""

    async def use(client: Any) -> int:
        answer = await client.line(10.0)
        for row in answer["instances"]:
            told = row["says"].get("config", {})
            if "cells" not in told:
                click.echo(f"instance {row['slot']}: no cells")
                continue
            one, pools = told["cells"], told["pools"]
            click.echo(
                f"instance {row['slot']}: epoch {one['epoch']}, confirmed {one['confirmed_ms_ago']} ms ago"
                f"{'; ' + one['why_not'] if one['why_not'] else ''}; turned away: {pools['turned_moving']}"
                f" for moves, {pools['turned_stale']} for a map that was not confirmed"
            )
        return 0

    ask(file, sets, {"op": "status"}, use)
