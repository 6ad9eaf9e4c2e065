"""The two roles of the mesh as commands: `brackengate pilot` and `brackengate lighthouse`.

Exit codes: 0 stopped in order; 1 an address could not be had, or the disk's file broke while in use;
2 bad settings or usage, or the disk's file is of a newer program.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Coroutine
from typing import Any, NoReturn

import click
import uvloop

from brackengate.protocol.settings import LIGHTHOUSE, PILOT, VARIABLE, BadSettings, Settings, load
from brackengate.protocol.settings import check as check_settings

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

settings_option = click.option(
    "--settings",
    "path",
    envvar=VARIABLE,
    required=True,
    type=click.Path(dir_okay=False),
    help=f"The settings file of this machine (TOML); {VARIABLE} names it too.",
)
check_option = click.option("--check", is_flag=True, help="Read and check the settings, and end.")
level_option = click.option(
    "--log-level", type=click.Choice(LEVELS), envvar="BRACKENGATE_LOG", default="INFO", show_default=True
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """The mesh's two roles, one a machine."""


def _read(path: str, level: str, needed: tuple[str, ...]) -> Settings:
    logging.basicConfig(
        stream=sys.stderr,
        level=level,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        settings = load(path)
        check_settings(settings, needed, path)
    except* BadSettings as group:
        fail("\nbrackengate: ".join(str(error) for error in group.exceptions), 2)
    return settings


def fail(text: str, code: int) -> NoReturn:
    click.echo(f"brackengate: {text}", err=True)
    raise SystemExit(code)


def _run(work: Coroutine[Any, Any, int], refusals: tuple[type[Exception], ...] = (BadSettings,)) -> NoReturn:
    """`refusals`: errors of this role that say in a sentence why it can't run as it was told to."""
    try:
        code = uvloop.run(work)
    except refusals as error:
        fail(str(error), 2)
    except OSError as error:
        fail(f"an address could not be had: {error}", 1)
    logging.shutdown()
    os._exit(code)  # threads that wait for a disk in trouble must not hold up an end in order


@main.command()
@settings_option
@check_option
@level_option
def pilot(path: str, check: bool, log_level: str) -> None:
    """Beside an upstream: carry its requests out, and let in those that are for it."""
    settings = _read(path, log_level, PILOT)
    if check:
        click.echo(f"{path}: sound for a pilot")
        return
    from brackengate.proxy.role import serve

    _run(serve(settings, path))


@main.command()
@settings_option
@check_option
@level_option
def lighthouse(path: str, check: bool, log_level: str) -> None:
    """On a core machine: keep what is agreed, and bring it to the pilots."""
    settings = _read(path, log_level, LIGHTHOUSE)
    if check:
        click.echo(f"{path}: sound for a lighthouse")
        return
    from brackengate.control.role import serve
    from brackengate.control.store import NewerFormat

    _run(serve(settings), (BadSettings, NewerFormat))


if __name__ == "__main__":
    main(prog_name="brackengate")
