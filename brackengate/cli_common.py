"""What the groups of commands share: exit codes, options, reading a file, asking a supervisor."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NoReturn

import click

from brackengate.installation.reading import BadFile, load, whereabouts
from brackengate.installation.schema import File

FAILED, BAD, WRONG_STATE, INCOMPLETE = 1, 2, 3, 4

sets_option = click.option(
    "--set",
    "sets",
    multiple=True,
    metavar="KEY=VALUE",
    help="Lay a value over the file's: --set fleet.instances=4, --set listener.0.address=127.0.0.1:80.",
)
file_argument = click.argument("file", type=click.Path(dir_okay=True))


def fail(text: str, code: int) -> NoReturn:
    click.echo(f"brackengate: {text}", err=True)
    raise SystemExit(code)


def read(path: str, sets: tuple[str, ...]) -> File:
    try:
        return load(path, sets)
    except BadFile as error:
        fail(f"the file cannot be used:\n{error}", BAD)


def ask(
    file: str,
    sets: tuple[str, ...],
    request: dict[str, Any],
    use: Callable[[Any], Coroutine[Any, Any, int]],
) -> NoReturn:
    """Send one request to the supervisor; `use` reads its answers and gives the exit code."""
    from brackengate.fleet import control

    try:
        name, folder = whereabouts(file, sets)
    except BadFile as error:
        fail(f"the file cannot be used:\n{error}", BAD)

    async def run() -> int:
        path = control.runtime_dir(folder, name) / "control.sock"
        try:
            client = await control.Client.to(path)
        except OSError as error:
            fail(f"no supervisor answers at {path}: {error.strerror or error}", WRONG_STATE)
        try:
            await client.send(request)
            return await use(client)
        except (OSError, EOFError) as error:
            fail(f"the supervisor went: {error!r}", WRONG_STATE)
        finally:
            client.close()

    try:
        code = asyncio.run(run())
    except control.BadRuntimeDir as error:
        fail(str(error), FAILED)
    raise SystemExit(code)
