"""`brackengate routes` and `brackengate config`: where requests go and why, and which version is in use."""

from __future__ import annotations

import json
import time
from typing import Any

import click

from brackengate.cli_common import BAD, INCOMPLETE, ask, fail, file_argument, read, sets_option
from brackengate.installation import settings as derived
from brackengate.installation.schema import File


@click.group()
def routes() -> None:
    """Routes: where a request goes, and what can never match."""


def _routes_of(told: File, path: str, saved: str | None) -> Any:
    """The snapshot to look at: a saved version, or the file's own."""
    from pathlib import Path

    from brackengate.routing import setup
    from brackengate.versions import disk

    if saved:
        try:
            return disk.unpack(Path(saved).read_bytes(), told.installation.name).snapshot
        except OSError as error:
            fail(f"{saved}: cannot be read: {error.strerror}", BAD)
        except disk.UnusableFile as error:
            fail(f"{saved}: {error}", BAD)
    if told.versions.source != "file":
        fail(
            f'{path}: versions.source is "{told.versions.source}": give --saved FILE, as in versions.folder',
            BAD,
        )
    return setup.snapshot(told)


saved_option = click.option(
    "--saved", metavar="FILE", help="A saved version, in place of the file's own routes."
)


@routes.command("check")
@file_argument
@sets_option
@saved_option
def routes_check(file: str, sets: tuple[str, ...], saved: str | None) -> None:
    """Name each route that can never match, and why; exit code 2 if there is one.

    \b
    Example: brackengate routes check examples/pools.toml
    """
    from brackengate.routing.shadow import never

    told = read(file, sets)
    snapshot = _routes_of(told, file, saved)
    classes = {cls.name: cls.idempotency for cls in derived.settings(told).classes}
    found = never(snapshot.routes, classes)
    for number, why in found:
        click.echo(f"route {snapshot.routes[number].name!r} can never match: {why}")
    if found:
        raise SystemExit(BAD)
    click.echo(f"{len(snapshot.routes)} routes, {len(snapshot.pools)} pools: each route can match")


@routes.command("explain")
@file_argument
@click.argument("request")
@click.option(
    "-H", "--header", "headers", multiple=True, metavar="NAME:VALUE", help="A header; may be repeated."
)
@click.option("--operation", default="", help="A GraphQL operation's name.")
@click.option("--operation-type", type=click.Choice(["", "query", "mutation"]), default="")
@click.option("--class", "class_name", default="", help="The class; else the X-Lane header.")
@click.option("--client", default="", help="Who asks; else the header of versions.client_header.")
@sets_option
@saved_option
def routes_explain(
    file: str,
    request: str,
    headers: tuple[str, ...],
    operation: str,
    operation_type: str,
    class_name: str,
    client: str,
    sets: tuple[str, ...],
    saved: str | None,
) -> None:
    """Say where REQUEST goes, as "GET /api", and for each route before why not there; exit code 4 for 404.

    \b
    Example: brackengate routes explain examples/pools.toml "POST /api" -H X-Lane:ponudba
    """
    from brackengate.routing.table import RouteTable, Traits, bare_host, explain

    told = read(file, sets)
    method, _, target = request.partition(" ")
    if not target.startswith("/"):
        fail(f'expected a method and a path, as "GET /api", got {request!r}', BAD)
    named: dict[str, str] = {}
    for text in headers:
        name, colon, value = text.partition(":")
        if not colon or not name.strip():
            fail(f"--header: expected NAME:VALUE, got {text!r}", BAD)
        named[name.strip().lower()] = value.strip()
    traits = Traits(
        method=method,
        path=target.partition("?")[0],
        host=bare_host(named.get("host", "")),
        headers=named,
        class_name=class_name or named.get("x-lane", ""),
        tenant=named.get("x-org", ""),
        operation=operation,
        operation_type=operation_type or ("query" if operation else ""),
        client=client or named.get(told.versions.client_header.lower(), ""),
        entity=named.get("x-entity", ""),
        request=named.get("x-txn", ""),
    )
    table = RouteTable(_routes_of(told, file, saved).routes)
    for line in explain(table, traits):
        click.echo(line)
    if not table.pool(traits):
        raise SystemExit(INCOMPLETE)


@click.group()
def config() -> None:
    """Versions of routes and pools in a running fleet."""


def _each(answer: dict[str, Any]) -> list[tuple[int, dict[str, Any]]]:
    """What each instance says; ends the command where none does."""
    if "error" in answer:
        fail(answer["error"], BAD)
    rows = [(row["slot"], row["says"]) for row in answer["answers"] if row["says"]]
    if not rows:
        fail("no instance answered", INCOMPLETE)
    return rows


def _told(answer: dict[str, Any]) -> int:
    """Print a line for each instance; the exit code."""
    code = 0
    for slot, says in _each(answer):
        click.echo(f"instance {slot}: {says.get('error') or says['text']}", err="error" in says)
        code = BAD if "error" in says else code
    return code


@config.command("versions")
@file_argument
@sets_option
@click.option("--json", "as_json", is_flag=True, help="What each instance says, as JSON.")
def versions(file: str, sets: tuple[str, ...], as_json: bool) -> None:
    """Show which version each instance has in use, which wait, and which were turned down and why.

    \b
    Example: brackengate config versions examples/xds.toml
    """

    async def use(client: Any) -> int:
        answer = await client.line(10.0)
        rows = [(r["slot"], r["says"]["config"]) for r in answer["instances"] if r["says"].get("config")]
        if as_json:
            click.echo(json.dumps([{"slot": slot, **told} for slot, told in rows], indent=1))
        elif not rows:
            click.echo("nothing is known: versions.source is off, or no instance is up")
        for slot, told in rows if not as_json else ():
            _print_versions(slot, told)
        return 0

    ask(file, sets, {"op": "status"}, use)


def _print_versions(slot: int, told: dict[str, Any]) -> None:
    held = told["versions"]
    pin = f", pinned to {held['pinned']}" if held["pinned"] else ""
    judged = ", being judged" if held["judging"] else ""
    in_use = f"{held['in_use']} ({held['digest']})" if held["digest"] else "none"
    click.echo(
        f"instance {slot}: in use: {in_use}{judged}{pin}; {held['pools']} pools, {held['routes']} routes"
    )
    if told["not_ready"]:
        click.echo(f"  not ready: {told['not_ready']}")
    if "xds" in told:
        xds = told["xds"]
        where = f"connected to {xds['server']}" if xds["server"] else f"not connected: {xds['why']}"
        click.echo(f"  control service: {where}; {xds['accepted']} taken, {xds['turned_down']} turned down")
        if xds["last_error"]:
            click.echo(f"  last turned down: {xds['last_error']}")
    for version in held["versions"]:
        when = time.strftime("%H:%M:%S", time.localtime(version["told_at"] / 1e6))
        head = f"#{version['number']:<4} {version['label']:<24} {version['digest']}"
        click.echo(f"  {head}  {version['state']:<11} {when}  {version['source']}")
        for why in version["reasons"]:
            click.echo(f"        {why}")


@config.command("show")
@file_argument
@click.argument("version", default="")
@sets_option
def show(file: str, version: str, sets: tuple[str, ...]) -> None:
    """Print a version as JSON, by label, "#3" or the beginning of a digest; else that in use.

    It is as the first instance has it.

    \b
    Example: brackengate config show examples/xds.toml 7
    """

    async def use(client: Any) -> int:
        for _, says in _each(await client.line(10.0))[:1]:
            if "error" in says:
                fail(says["error"], BAD)
            click.echo(json.dumps(says, indent=1))
        return 0

    ask(file, sets, {"op": "show", "version": version}, use)


@config.command("diff")
@file_argument
@click.argument("one", default="")
@click.argument("other", default="")
@sets_option
def diff(file: str, one: str, other: str, sets: tuple[str, ...]) -> None:
    """Print what differs in meaning between two versions, else between the one before and that in use.

    \b
    Example: brackengate config diff examples/xds.toml 6 7
    """

    async def use(client: Any) -> int:
        for _, says in _each(await client.line(10.0))[:1]:
            if "error" in says:
                fail(says["error"], BAD)
            click.echo(f"from {says['from'] or 'nothing'} to {says['to'] or 'nothing'}:")
            for line in says["lines"] or ["no difference"]:
                click.echo(f"  {line}")
            if says["more"]:
                click.echo(f"  and {says['more']} more")
        return 0

    ask(file, sets, {"op": "difference", "one": one, "other": other}, use)


@config.command("rollback")
@file_argument
@click.argument("version")
@sets_option
def rollback(file: str, version: str, sets: tuple[str, ...]) -> None:
    """Go back to a version at every instance and stay there, whatever comes, until `config release`.

    Upstreams go on following their source.

    \b
    Example: brackengate config rollback examples/xds.toml 6
    """

    async def use(client: Any) -> int:
        return _told(await client.line(10.0))

    ask(file, sets, {"op": "rollback", "version": version}, use)


@config.command("release")
@file_argument
@sets_option
def release(file: str, sets: tuple[str, ...]) -> None:
    """End a rollback: the version told last goes into use.

    \b
    Example: brackengate config release examples/xds.toml
    """

    async def use(client: Any) -> int:
        return _told(await client.line(10.0))

    ask(file, sets, {"op": "release"}, use)
