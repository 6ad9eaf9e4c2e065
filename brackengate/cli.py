"""The `brackengate` command.  The platform's program, `python -m brackengate`, stays apart.

Exit codes: 0 done; 1 an address, folder or process could not be had; 2 bad file or usage; 3 another
supervisor runs, or none; 4 requests were left unanswered, or a restart was stopped.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import random
import sys
from pathlib import Path
from typing import Any

import click

from brackengate.cli_cells import cells
from brackengate.cli_common import (
    BAD,
    FAILED,
    INCOMPLETE,
    WRONG_STATE,
    ask,
    fail,
    file_argument,
    read,
    sets_option,
)
from brackengate.cli_lab import lab
from brackengate.cli_plan import plan
from brackengate.cli_versions import config, routes
from brackengate.installation.reading import BadFile, loads, read_text
from brackengate.logs import FORMAT, start_log
from brackengate.mesh import lighthouse, pilot
from brackengate.meshctl.commands import mesh

log = logging.getLogger("brackengate")


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option("0.2.0", prog_name="brackengate")
@click.option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    envvar=FORMAT,
    help="How the log is written; json: one object a line.",
)
def main(log_format: str | None) -> None:
    """A load balancer that runs as a fleet.

    \b
    Try it:      ./demo
    Check:       brackengate check examples/one-tier.toml
    Run a fleet: brackengate fleet up examples/one-tier.toml

    Exit codes: 0 done; 1 an address, folder or process could not be had; 2 bad file or usage; 3 another
    supervisor runs, or none; 4 requests were left unanswered, or a restart was stopped; 5 a rule was broken
    in a simulated run.

    Completion: eval "$(_BRACKENGATE_COMPLETE=bash_source brackengate)", or zsh_source, fish_source.
    """
    if log_format is not None:
        os.environ[FORMAT] = log_format


main.add_command(routes)
main.add_command(config)
main.add_command(cells)
main.add_command(lab)
main.add_command(pilot)
main.add_command(lighthouse)
main.add_command(mesh)
main.add_command(plan)


@main.command()
@file_argument
@sets_option
def check(file: str, sets: tuple[str, ...]) -> None:
    """Read an installation file and name all of its faults.

    \b
    Example: brackengate check examples/one-tier.toml --set fleet.instances=8
    """
    told = read(file, sets)
    listeners = ", ".join(f"{ln.name} {ln.address or ' '.join(ln.addresses)}" for ln in told.listener)
    classes = ", ".join(f"{name} ({cls.repeats})" for name, cls in told.class_.items())
    if told.graphql.path:
        from brackengate.graphql import setup

        try:
            setup.store(told)
        except BadFile as error:
            fail(f"the file cannot be used:\n{error}", BAD)
    if told.queues.mode != "off":
        from brackengate.queues import setup as queues_setup

        try:
            queues_setup.secret(told, random.SystemRandom())
        except BadFile as error:
            fail(f"the file cannot be used:\n{error}", BAD)
    if told.versions.source == "xds":
        from brackengate.fleet.configured import xds_setup

        try:
            xds_setup()
        except BadFile as error:
            fail(f"the file cannot be used:\n{error}", BAD)
    click.echo(f"{file}: good")
    click.echo(f"  {told.installation.name}: {told.fleet.instances} instances; {listeners}")
    click.echo(f"  classes: {classes}; upstreams: {told.upstreams.source}")
    if told.versions.source == "file":
        click.echo(f"  routes: {len(told.route)}; pools: {', '.join(told.pool)}")
    elif told.versions.source == "xds":
        click.echo(f"  routes and pools: by xDS from {', '.join(told.xds.servers)}")


@main.command()
@file_argument
@sets_option
def serve(file: str, sets: tuple[str, ...]) -> None:
    """Run one instance in the foreground.

    SIGTERM drains and ends it, SIGHUP reads the file again, SIGUSR2 drains it where another accepts
    from its sockets already. Sockets may be handed over (LISTEN_FDS), a manager told (NOTIFY_SOCKET).

    \b
    Example: brackengate serve examples/one-tier.toml
    """
    import uvloop

    from brackengate.fleet import activation, control, instance

    accepted = os.environ.pop("BRACKENGATE_FILE_FD", "")
    if accepted.isdigit():  # what the supervisor has accepted: the file itself may be bad by now
        with os.fdopen(int(accepted), encoding="utf-8") as pipe:
            text = pipe.read()
        try:
            told = loads(text, file, sets)
        except BadFile as error:
            fail(f"the file cannot be used:\n{error}", BAD)
    else:
        told = read(file, sets)
    start_log(told.log.level)

    async def run() -> int:
        made = instance.Instance(file, sets, told, instance.Told.read(dict(os.environ)))
        return await made.run()

    try:
        code = uvloop.run(run())
    except BadFile as error:
        fail(f"the file cannot be used:\n{error}", BAD)
    except (instance.CannotListen, activation.BadActivation, control.BadRuntimeDir, OSError) as error:
        fail(str(error), FAILED)
    gc.unfreeze()
    raise SystemExit(code)


@main.group()
def fleet() -> None:
    """Many instances on one installation file."""


@fleet.command()
@file_argument
@sets_option
def up(file: str, sets: tuple[str, ...]) -> None:
    """Start the fleet and look after it, in the foreground.

    SIGTERM stops all instances in order; SIGHUP reloads. If this process is killed the instances serve on
    and the next `fleet up` takes over.

    \b
    Example: brackengate fleet up examples/one-tier.toml --set fleet.instances=4
    """
    from brackengate.fleet import control, supervisor

    try:
        text = read_text(file)
        told = loads(text, file, sets)
    except BadFile as error:
        fail(f"the file cannot be used:\n{error}", BAD)
    start_log(told.log.level)

    async def run() -> int:
        return await supervisor.Supervisor(file, sets, told, text).run()

    try:
        code = asyncio.run(run())
    except supervisor.Taken as error:
        fail(str(error), WRONG_STATE)
    except (control.BadRuntimeDir, supervisor.CannotStart, OSError) as error:
        fail(str(error), FAILED)
    raise SystemExit(code)


@fleet.command()
@file_argument
@sets_option
@click.option("--json", "as_json", is_flag=True, help="All that the instances say, as JSON.")
def status(file: str, sets: tuple[str, ...], as_json: bool) -> None:
    """Show every instance: state, pid, age, held requests, upstreams, memory, last exit.

    \b
    Example: brackengate fleet status examples/one-tier.toml --json
    """

    async def use(client: Any) -> int:
        answer = await client.line(10.0)
        if as_json:
            click.echo(json.dumps(answer, indent=1))
        else:
            _print_status(answer)
        return 0 if all(row["state"] == "ready" for row in answer["instances"]) else INCOMPLETE

    ask(file, sets, {"op": "status"}, use)


def _print_status(answer: dict[str, Any]) -> None:
    from rich.console import Console
    from rich.table import Table

    state = "stopping" if answer["stopping"] else "restarting" if answer["restarting"] else "up"
    table = Table(title=f"{answer['name']}: {state}, generation {answer['generation']}", title_justify="left")
    left = ("instance", "state", "last exit")
    for name in (
        "instance",
        "state",
        "pid",
        "age s",
        "held",
        "callers",
        "upstreams",
        "MB",
        "starts",
        "last exit",
    ):
        table.add_column(name, justify="left" if name in left else "right")
    for row in answer["instances"]:
        says = row["says"]
        figures = [str(says.get(name, "-")) for name in ("held", "connections", "upstreams")]
        memory = f"{says['memory_kb'] / 1024:.0f}" if says else "-"
        pid, age = str(row["pid"] or "-"), str(row["age_s"])
        again = str(row["restarts"])
        table.add_row(str(row["slot"]), row["state"], pid, age, *figures, memory, again, row["last_exit"])
    console = Console()
    if not console.is_terminal:
        console = Console(width=120)
    console.print(table)
    if answer["state_errors"]:
        click.echo(f"the state file could not be written {answer['state_errors']} times", err=True)


async def _progress(client: Any) -> int:
    """Print reports until the final answer."""
    while True:
        answer = await client.line(None)
        if "report" in answer:
            click.echo(answer["report"])
        elif "error" in answer:
            click.echo(f"brackengate: {answer['error']}", err=True)
            return BAD
        else:
            if answer.get("needs_restart"):
                click.echo(f"needs a restart to change: {', '.join(answer['needs_restart'])}")
            click.echo(answer.get("text", "done"))
            return 0 if answer["ok"] else INCOMPLETE


@fleet.command()
@file_argument
@sets_option
@click.option(
    "--instance", "slots", multiple=True, type=int, help="Only this one; may be given more than once."
)
@click.option("--together", type=click.IntRange(1, 256), help="How many at a time; else fleet.together.")
def restart(file: str, sets: tuple[str, ...], slots: tuple[int, ...], together: int | None) -> None:
    """Replace the instances one after another, with the file as it is now; nothing is refused meanwhile.

    Each next one only when the last is ready and has served for fleet.settle. If one does not become ready,
    the rest stay as they are, and the exit code is 4.

    \b
    Example: brackengate fleet restart examples/one-tier.toml --together 2
    """
    ask(file, sets, {"op": "restart", "slots": list(slots), "together": together or 0}, _progress)


@fleet.command()
@file_argument
@sets_option
def reload(file: str, sets: tuple[str, ...]) -> None:
    """Have the file read again; says what needs a restart. A bad file changes nothing.

    \b
    Example: brackengate fleet reload examples/one-tier.toml
    """
    ask(file, sets, {"op": "reload"}, _progress)


@fleet.command()
@file_argument
@sets_option
def stop(file: str, sets: tuple[str, ...]) -> None:
    """Stop all instances in order, and then the supervisor; waits for it.

    \b
    Example: brackengate fleet stop examples/one-tier.toml
    """

    async def use(client: Any) -> int:
        await client.line(10.0)
        try:
            while True:
                await client.line(None)
        except (EOFError, OSError):
            click.echo("stopped")
            return 0

    ask(file, sets, {"op": "stop"}, use)


@main.group()
def graphql() -> None:
    """GraphQL operations and what they count as."""


@graphql.command()
@click.argument("file", type=click.File(encoding="utf-8"))
@click.option("-i", "--installation", required=True, help="The installation file with the graphql section.")
@click.option("--variables", default="{}", metavar="JSON", help="Variables, as a request would bring them.")
@click.option("--key", default="", help="An Idempotency-Key header.")
@click.option("--tenant", default="", help="The tenant.")
@sets_option
def explain(
    file: Any, installation: str, variables: str, key: str, tenant: str, sets: tuple[str, ...]
) -> None:
    """Print class, key, cost and why for each operation of a document; FILE may be - for standard input.

    \b
    Example: brackengate graphql explain examples/ponudba.graphql -i examples/graphql.toml
    """
    from brackengate.graphql import setup
    from brackengate.graphql.errors import Refused

    told = read(installation, sets)
    if not told.graphql.path:
        fail(f"{installation}: graphql.path is missing: GraphQL is off there", BAD)
    try:
        given = json.loads(variables)
    except ValueError as error:
        fail(f"--variables: not JSON: {error}", BAD)
    if not isinstance(given, dict):
        fail("--variables: expected an object", BAD)
    try:
        text = file.read()
    except UnicodeDecodeError as error:
        fail(f"{file.name}: is not UTF-8: byte {error.start}", BAD)
    made, code = setup.classifier(told), 0
    try:
        names = [operation.name for operation in made.analyse(text).operations]
    except Refused as refused:
        fail(f"{file.name}: {refused.code}: {refused.message}", BAD)
    for name in names:
        try:
            verdict = made.classify(text, name or None, given, key, tenant)
        except Refused as refused:
            click.echo(f"{name or '(unnamed)'}: refused, {refused.code}: {refused.message}")
            code = BAD
            continue
        repeats = told.class_[verdict.class_name].repeats
        click.echo(f"{name or '(unnamed)'}: {verdict.type}, class {verdict.class_name} ({repeats})")
        click.echo(f"  key {verdict.key or 'none'}; cost {verdict.cost}")
        for line in verdict.why:
            click.echo(f"  {line}")
    raise SystemExit(code)


@main.group()
def queues() -> None:
    """Fair queues at the door: who waits, who is refused, and why."""


@queues.command("top")
@file_argument
@sets_option
@click.option("--most", type=click.IntRange(1, 128), default=20, show_default=True, help="Clients shown.")
@click.option("--json", "as_json", is_flag=True, help="What each instance says, as JSON.")
def queues_top(file: str, sets: tuple[str, ...], most: int, as_json: bool) -> None:
    """Show tenants and the clients with most waiting and refused, over all instances of a running fleet.

    \b
    Example: brackengate queues top examples/queues.toml
    """

    async def use(client: Any) -> int:
        answer = await client.line(10.0)
        told = [row["says"]["queues"] for row in answer["instances"] if row["says"].get("queues")]
        if as_json:
            click.echo(json.dumps(told, indent=1))
        elif not told:
            click.echo("nothing is known: queues.mode is off, or no instance is ready")
        else:
            _print_queues(told, most)
        return 0

    ask(file, sets, {"op": "status"}, use)


def _print_queues(told: list[dict[str, Any]], most: int) -> None:
    def total(name: str) -> int:
        return sum(row.get(name, 0) for row in told)

    mode = "counted only (dry)" if told[0]["dry"] else "on"
    limits = "+".join(str(row["limit"]) for row in told)
    click.echo(f"queues {mode}: {total('running')} out of {limits}, {total('waiting')} wait")
    turned = {name.partition(".")[2] for row in told for name in row if name.startswith("turned.")}
    reasons = ", ".join(f"{reason} {total(f'turned.{reason}')}" for reason in sorted(turned)) or "none"
    click.echo(f"passed {total('passed')}; refused: {reasons}")
    given, kept, missed = (total(f"places.{name}") for name in ("given", "kept", "missed"))
    click.echo(f"places: {given} given, {kept} come to, {missed} not; no place for {total('places.none')}")
    sums: dict[tuple[str, str, str], list[Any]] = {}
    for row in told:
        rows = [("tenant", one["tenant"], "", one) for one in row["tenants"]]
        rows += [
            ("shared" if one["shared"] else "client", one["tenant"], one["client"], one)
            for one in row["clients"]
        ]
        for kind, tenant, client, one in rows:
            entry = sums.setdefault((kind, tenant, client), [0, 0, 0, ""])
            for place, name in enumerate(("waiting", "passed", "turned")):
                entry[place] += one[name]
            entry[3] = one.get("reason") or entry[3]
    click.echo(f"{'':<7} {'tenant':<20} {'client':<32} {'waiting':>8} {'passed':>9} {'refused':>9}  last for")
    shown = 0
    for (kind, tenant, client), (waiting, passed, refused, reason) in sorted(
        sums.items(), key=lambda entry: (entry[0][0] != "tenant", -entry[1][0], -entry[1][2], -entry[1][1])
    ):
        if kind != "tenant" and (shown := shown + 1) > most:
            break
        name = tenant or "(others)"
        click.echo(f"{kind:<7} {name:<20} {client:<32} {waiting:>8} {passed:>9} {refused:>9}  {reason}")


@main.group()
def flows() -> None:
    """Flow export: who asks most, and what is exported."""


@flows.command()
@file_argument
@sets_option
@click.option("--most", type=click.IntRange(1, 128), default=20, show_default=True, help="Rows of each kind.")
def top(file: str, sets: tuple[str, ...], most: int) -> None:
    """Show the client addresses and tenants with most requests, over all instances of a running fleet.

    A count is never too low, and too high by its error at the most.

    \b
    Example: brackengate flows top examples/one-tier.toml
    """

    async def use(client: Any) -> int:
        answer = await client.line(10.0)
        sums: dict[tuple[bool, str], list[int]] = {}
        for row in answer["instances"]:
            for told in row["says"].get("flow", {}).get("talkers", []):
                entry = sums.setdefault((told["tenant"], told["key"]), [0, 0])
                entry[0] += told["requests"]
                entry[1] += told["error"]
        if not sums:
            click.echo("nothing is known: flow export is off, or nobody has asked yet")
        for tenants in (False, True):
            rows = sorted((-n, key, error) for (kind, key), (n, error) in sums.items() if kind is tenants)
            for count, key, error in rows[:most]:
                kind = "tenant" if tenants else "address"
                click.echo(f"{kind:<8} {key:<40} {-count:>10} requests, {error} too many at most")
        return 0

    ask(file, sets, {"op": "status"}, use)


@flows.command()
@click.option("--listen", metavar="HOST:PORT", help="Read a live export: datagrams that come here.")
@click.option("--file", "path", type=click.Path(exists=True, dir_okay=False), help="Read a file (RFC 5655).")
@click.option("--count", type=click.IntRange(1), help="Stop after so many records.")
def dump(listen: str | None, path: str | None, count: int | None) -> None:
    """Print IPFIX or NetFlow v9 records as JSON, a line each.

    \b
    Example: brackengate flows dump --listen 127.0.0.1:2055 --count 10
    """
    from brackengate.flow.decode import Reader, Unreadable, split
    from brackengate.net.sockets import bind_datagrams, parse_address

    if (listen is None) == (path is None):
        fail("flows dump: give either --listen or --file", BAD)
    reader, shown = Reader(), 0

    def show(message: bytes) -> bool:
        """Whether there is to be more."""
        nonlocal shown
        for row in reader.message(message):
            click.echo(json.dumps(row))
            shown += 1
            if shown == count:
                return False
        return True

    try:
        if path is not None:
            messages, rest = split(Path(path).read_bytes())
            for message in messages:
                if not show(message):
                    return
            if rest:
                fail(f"{path}: {len(rest)} bytes at its end are no whole message", BAD)
            return
        try:
            sock = bind_datagrams(parse_address(str(listen)))
        except (OSError, ValueError) as error:
            fail(f"cannot listen on {listen}: {error}", FAILED)
        click.echo(f"listening on {sock.getsockname()[0]}:{sock.getsockname()[1]}", err=True)
        while True:
            data = sock.recv(65536)
            try:
                if not show(data):
                    return
            except Unreadable as error:
                click.echo(f"brackengate: a datagram that is no export: {error}", err=True)
    except Unreadable as error:
        fail(f"{path}: {error}", BAD)
    except KeyboardInterrupt:
        return


@main.command()
@click.option("--once", is_flag=True, help="One round, told in lines; ends by itself with 0 or 1.")
@click.option(
    "--seconds",
    type=click.FloatRange(1, 86400),
    help="Stop by itself after figures were shown for this time.",
)
@click.option(
    "--rate", type=click.FloatRange(1, 2000), default=60.0, show_default=True, help="Requests a second."
)
@click.option("--fleet", is_flag=True, help="The fleet of other sites: discovery, six upstreams, a front.")
@click.option(
    "--port",
    type=click.IntRange(0, 65535),
    help="With --fleet: the front's port; else the kernel's choice.",
)
@sets_option
def demo(
    once: bool, seconds: float | None, rate: float, fleet: bool, port: int | None, sets: tuple[str, ...]
) -> None:
    """A mesh on this machine: lighthouses, pilots, upstreams and callers.  One of each is killed in turn.

    \b
    Example: brackengate demo --once
    Example: brackengate demo --fleet --port 8080 --set fleet.instances=5

    Exit codes with --once: 0 served through, and nothing lost; 1 otherwise.
    """
    sys.path.insert(0, str(Path(__file__).parent.parent))  # the stand-ins lie beside the package
    if fleet:
        from brackengate.demo import Demo

        raise SystemExit(asyncio.run(Demo(port or 0, rate, sets).run(once, seconds)))
    if port is not None or sets:
        raise click.UsageError("--port and --set are for --fleet")
    from brackengate.demo_mesh import MeshDemo

    raise SystemExit(asyncio.run(MeshDemo(rate).run(once, seconds)))


if __name__ == "__main__":
    main(prog_name="brackengate")
