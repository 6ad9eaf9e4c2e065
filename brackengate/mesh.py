"""The commands of the two roles of the mesh.

`brackengate pilot` is a sidecar proxy, `brackengate lighthouse` a control replica.

Exit codes: 0 stopped in order; 1 an address is not available, or the store's file failed while in use;
2 invalid settings or usage, or the store's file was written by a newer program.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Coroutine
from typing import Any, NoReturn

import click
import uvloop

from brackengate.protocol.settings import (
    CONTROL_REPLICA_KEYS,
    PROXY_KEYS,
    SETTINGS_VARIABLE,
    InvalidSettings,
    Settings,
    load,
)
from brackengate.protocol.settings import check_required as check_settings

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")

settings_option = click.option(
    "--settings",
    "path",
    envvar=SETTINGS_VARIABLE,
    required=True,
    type=click.Path(dir_okay=False),
    help=f"The settings file of this machine (TOML); {SETTINGS_VARIABLE} names it too.",
)
check_option = click.option("--check", is_flag=True, help="Read and check the settings, and end.")
level_option = click.option(
    "--log-level", type=click.Choice(LOG_LEVELS), envvar="BRACKENGATE_LOG", default="INFO", show_default=True
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """The mesh's two roles, one a machine."""


def _read(path: str, level: str, needed: tuple[str, ...]) -> Settings:
    """Set up logging, then read and check the settings file; exits with code 2 if it is invalid."""
    logging.basicConfig(
        stream=sys.stderr,
        level=level,
        format="%(asctime)s.%(msecs)03d %(levelname)s %(name)s: %(message)s",
        datefmt="%H:%M:%S",
    )
    try:
        settings = load(path)
        check_settings(settings, needed, path)
    except* InvalidSettings as group:
        fail("\nbrackengate: ".join(str(error) for error in group.exceptions), 2)
    return settings


def fail(text: str, code: int) -> NoReturn:
    """Print an error line and exit with the code."""
    click.echo(f"brackengate: {text}", err=True)
    raise SystemExit(code)


def _run(
    work: Coroutine[Any, Any, int], refusals: tuple[type[Exception], ...] = (InvalidSettings,)
) -> NoReturn:
    """Run a role and exit.  `refusals`: errors whose text explains why it cannot run, for exit code 2."""
    try:
        code = uvloop.run(work)
    except refusals as error:
        fail(str(error), 2)
    except OSError as error:
        fail(f"an address could not be had: {error}", 1)
    logging.shutdown()
    os._exit(code)  # threads that wait for a failing disk must not delay an orderly exit


@main.command()
@settings_option
@check_option
@level_option
def pilot(path: str, check: bool, log_level: str) -> None:
    """Beside an upstream: carry its requests out, and let in those that are for it."""
    settings = _read(path, log_level, PROXY_KEYS)
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
    settings = _read(path, log_level, CONTROL_REPLICA_KEYS)
    if check:
        click.echo(f"{path}: sound for a lighthouse")
        return
    from brackengate.control.role import serve
    from brackengate.control.store import NewerForm

    _run(serve(settings), (InvalidSettings, NewerForm))


if __name__ == "__main__":
    main(prog_name="brackengate")
