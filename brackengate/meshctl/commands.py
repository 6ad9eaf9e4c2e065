"""`brackengate mesh`: operation of a running mesh, by the address of one of its control replicas.

Exit codes: 0 done; 1 no control replica answered; 2 invalid file, usage or configuration; 3 refused by
the mesh; 4 something is not as it should be, or not within the given time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import time
from collections.abc import Callable, Coroutine, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click

from brackengate.mesh import fail

if TYPE_CHECKING:
    from brackengate.meshctl.ask import MeshClient
    from brackengate.meshctl.changes import Change
    from brackengate.protocol.messages import ReplicaStatus

UNANSWERED, INVALID, REFUSED, INCOMPLETE = 1, 2, 3, 4
POLL_INTERVAL_S = 0.1

at_option = click.option(
    "--at",
    "at",
    multiple=True,
    required=True,
    metavar="HOST:PORT",
    envvar="BRACKENGATE_MESH_AT",
    help="A lighthouse's internal port (the first of InternalPorts); repeated: the next is tried where one"
    " does not answer.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="JSON, an object a line.")


def wait_option(seconds: float) -> Callable[[Any], Any]:
    return click.option(
        "--wait",
        type=click.FloatRange(0, 600),
        default=seconds,
        show_default=True,
        metavar="SECONDS",
        help="How long it waits for it to be so everywhere.",
    )


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def mesh() -> None:
    """Operate a running mesh: its status, its configuration, its control plane, the trace of a request.

    Exit codes: 0 done; 1 no lighthouse answered; 2 bad file or usage, or a configuration that is not valid;
    3 the mesh refused it; 4 not all is as it should be, or not within the time that was given.
    """


def _run(at: Sequence[str], use: Callable[[MeshClient], Coroutine[Any, Any, int]]) -> NoReturn:
    """Run `use` and exit with its code; prints a line for every control replica that did not answer."""
    from brackengate.meshctl.ask import MeshClient, Unanswered
    from brackengate.net.sockets import parse_address

    try:
        addresses = [parse_address(one) for one in at]
    except ValueError as error:
        fail(f"--at: {error}", INVALID)
    code = UNANSWERED
    try:
        code = asyncio.run(use(MeshClient(addresses)))
    except* Unanswered as group:
        for one in group.exceptions:
            click.echo(f"brackengate: {one}", err=True)
    except* KeyboardInterrupt:
        click.echo("brackengate: stopped", err=True)
    raise SystemExit(code)


def _line(kind: str, row: dict[str, Any]) -> None:
    click.echo(json.dumps({"is": kind, **row}))


# --- status


@mesh.command()
@at_option
@json_option
def status(at: tuple[str, ...], as_json: bool) -> None:
    """Show members, pilots and upstreams; exit code 4 where a member of the view is missing or out of touch.

    \b
    Example: brackengate mesh status --at 10.0.0.1:7000
    """
    from brackengate.meshctl import figures

    async def use(client: MeshClient) -> int:
        statuses, failed = await client.statuses()
        names = {client.address(seat.addr): seat.addr for one in statuses for seat in one.members}
        lost = [(names.get(e.peer, f"{e.peer[0]}:{e.peer[1]}"), e.why) for e in failed]
        view = figures.newest(statuses)
        parts = {
            "member": figures.members(statuses, lost),
            "pilot": figures.pilots(statuses),
            "service": figures.services(statuses),
        }
        unseen, spare = figures.machines_without_follower(statuses), figures.spare_members(statuses)
        if as_json:
            seats = [seat.addr for seat in view.members]
            row = {"view": view.epoch, "chain": seats, "needs": view.min_replicas, "spare": spare}
            _line("view", {**row, "unseen": unseen})
            for kind, rows in parts.items():
                for row in rows:
                    _line(kind, row)
        else:
            loss = f"{spare} may be lost" if spare >= 0 else f"NO WRITES: {-spare} too few"
            click.echo(
                f"view {view.epoch}: {len(view.members)} members, a write needs {view.min_replicas}; {loss}"
            )
            for kind, columns in COLUMNS.items():
                if parts[kind]:
                    click.echo("\n" + figures.table(parts[kind], columns.split()))
            if unseen:
                click.echo(f"\nno pilot follows from: {' '.join(unseen)}")
        return 0 if figures.all_members_serve(statuses) else INCOMPLETE

    _run(at, use)


COLUMNS = {
    "member": "member zone chain view stored agreed lag pilots keys routes services duties state",
    "pilot": "pilot follows place behind",
    "service": "service ready draining away gone",
}


# --- configuration


@mesh.group()
def config() -> None:
    """The operator's configuration: show, compare, apply."""


@config.command()
@at_option
def show(at: tuple[str, ...]) -> None:
    """Print the newest configuration, as `apply` takes it.

    \b
    Example: brackengate mesh config show --at 10.0.0.1:7000 > now.json
    """

    async def use(client: MeshClient) -> int:
        click.echo(json.dumps(await client.read(), indent=1))
        return 0

    _run(at, use)


def _print_changes(changes: Sequence[Change], as_json: bool) -> None:
    for one in changes:
        if as_json:
            _line("item", {"kind": one.kind, "name": one.name, "what": one.what, "why": one.why})
        else:
            click.echo(one.text)


def _read_call(file: str) -> bytes:
    from brackengate.meshctl.changes import as_call

    try:
        with click.open_file(file, "rb") as opened:
            return as_call(opened.read())
    except OSError as error:
        fail(f"step read, file {file}: {error.strerror}", INVALID)


@config.command()
@click.argument("file", type=click.Path(dir_okay=False, allow_dash=True))
@at_option
@json_option
def diff(file: str, at: tuple[str, ...], as_json: bool) -> None:
    """Show what a change would do, item by item; nothing is sent. FILE may be - for standard input.

    A call as the operator sends it ({"Apply": ..., "Remove": ...}), or what `show` prints.

    \b
    Example: brackengate mesh config diff next.json --at 10.0.0.1:7000
    """
    from brackengate.meshctl.changes import compare, is_valid, items_of

    call = _read_call(file)

    async def use(client: MeshClient) -> int:
        changes = compare(call, items_of((await client.items()).items))
        _print_changes(changes, as_json)
        return 0 if is_valid(changes) else INVALID

    _run(at, use)


async def _apply(client: MeshClient, call: bytes, wait: float, as_json: bool) -> int:
    """Validate a change, send it, and wait until the proxies have it."""
    from brackengate.meshctl.changes import compare, effective, is_valid, items_of
    from brackengate.protocol.messages import CommandDone

    changes = compare(call, items_of((await client.items()).items))
    if not changes:
        click.echo("brackengate: step check: the file names no items under Apply or Remove", err=True)
        return INVALID
    _print_changes(changes, as_json)
    if not is_valid(changes):
        click.echo("brackengate: step check: nothing was sent", err=True)
        return INVALID
    answer = await client.amend(call)
    if not isinstance(answer, CommandDone):  # the configuration has changed since it was read
        click.echo(f"brackengate: step amend: {getattr(answer, 'reason', answer)}", err=True)
        return REFUSED
    effects = effective(changes)
    click.echo(f"agreed: {len(effects)} of {len(changes)} items have effect", err=as_json)
    return await _wait_for_proxies(client, changes, wait, as_json)


async def _wait_for_proxies(client: MeshClient, changes: Sequence[Change], wait: float, as_json: bool) -> int:
    from brackengate.meshctl import figures
    from brackengate.protocol.messages import Held, ItemList

    names = [((one.kind, one.name), one.version) for one in changes]
    until, late, place = time.monotonic() + wait, ["nobody could be asked"], None
    while True:
        with contextlib.suppress(ExceptionGroup):  # nobody answered this time: the last state is kept
            statuses, _ = await client.statuses()
            if place is None:
                answers = await client.of_members(Held(), [one.addr for one in statuses])
                place = figures.index_of(names, [one for one in answers if isinstance(one, ItemList)])
            if place is not None:
                late = figures.lagging_proxies(statuses, place)
                count = sum(len(one.proxies) for one in statuses)
                if not late:
                    unseen = figures.machines_without_follower(statuses)
                    if as_json:
                        _line("followed", {"place": place, "pilots": count, "unseen": unseen})
                    else:
                        click.echo(f"all {count} pilots that follow have place {place}")
                        if unseen:
                            click.echo(f"no pilot follows from: {' '.join(unseen)}")
                    return 0
        if time.monotonic() >= until:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    click.echo(
        f"brackengate: step follow: not within {wait:g} s at place {place}: {' '.join(late)}", err=True
    )
    return INCOMPLETE


@config.command()
@click.argument("file", type=click.Path(dir_okay=False, allow_dash=True))
@at_option
@wait_option(5.0)
@json_option
def apply(file: str, at: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Check a change, apply it, and wait until all pilots that follow have it.

    It may be repeated: an item that is no newer has no effect, and the wait is the same.

    \b
    Example: brackengate mesh config apply next.json --at 10.0.0.1:7000 --at 10.0.1.1:7000
    """
    call = _read_call(file)
    _run(at, lambda client: _apply(client, call, wait, as_json))


# --- membership of the control plane


def _member(statuses: Sequence[ReplicaStatus], name: str) -> ReplicaStatus:
    found = [one for one in statuses if name in (one.addr, one.addr.rpartition(":")[0])]
    if not found:
        fail(f"no lighthouse {name} answered; there are {' '.join(one.addr for one in statuses)}", REFUSED)
    return found[0]


async def _change_membership(
    client: MeshClient, name: str, what: Any, wait: float, is_member: bool, warn: bool = False
) -> int:
    """Command a member to leave or to rejoin, and wait for the view with that change."""
    from brackengate.meshctl import figures
    from brackengate.meshctl.ask import Unanswered, ask
    from brackengate.protocol.messages import MembershipAnswer

    statuses, _ = await client.statuses()
    member = _member(statuses, name)
    try:
        answer = await ask(client.address(member.addr), what)
    except Unanswered as error:
        raise ExceptionGroup("a member did not answer", [error]) from None
    assert isinstance(answer, MembershipAnswer)
    if answer.refused:
        click.echo(f"brackengate: step {type(what).__name__.lower()}: {answer.refused}", err=True)
        return REFUSED
    until = time.monotonic() + wait
    while True:
        with contextlib.suppress(ExceptionGroup):
            statuses, _ = await client.statuses()
            view = figures.newest([one for one in statuses if one.addr != member.addr] or statuses)
            if any(seat.addr == member.addr for seat in view.members) is is_member:
                break
        if time.monotonic() >= until:
            click.echo(
                f"brackengate: step view: told, but no view {'with' if is_member else 'without'}"
                f" {member.addr} within {wait:g} s; its wish stands",
                err=True,
            )
            return INCOMPLETE
        await asyncio.sleep(POLL_INTERVAL_S)
    click.echo(f"view {view.epoch}: {' '.join(seat.addr for seat in view.members)}")
    spare = figures.spare_members(statuses)
    if not is_member and spare < view.min_replicas - 1:
        click.echo(f"brackengate: {max(0, spare)} more may be lost before writes wait", err=True)
    return 0


@mesh.command()
@click.argument("member")
@at_option
@wait_option(10.0)
def drain(member: str, at: tuple[str, ...], wait: float) -> None:
    """Remove a member from the control plane; it keeps running and rejoins once readmitted or restarted.

    Refused where fewer than Tolerance.Machines + 1 members would be left.

    \b
    Example: brackengate mesh drain 10.0.0.1 --at 10.0.1.1:7000
    """
    from brackengate.protocol.messages import Leave

    _run(at, lambda client: _change_membership(client, member, Leave(), wait, is_member=False))


@mesh.command()
@click.argument("member")
@at_option
@wait_option(10.0)
def replace(member: str, at: tuple[str, ...], wait: float) -> None:
    """Drain a member once another can take its place.

    Refused where no other lighthouse waits for a seat and fewer than 2 x Tolerance.Machines + 1 members
    would be left: so many outlast the loss of Tolerance.Machines. Start the new one first.

    \b
    Example: brackengate mesh replace 10.0.0.1 --at 10.0.1.1:7000
    """
    from brackengate.protocol.messages import Leave

    _run(at, lambda client: _change_membership(client, member, Leave(replaced=True), wait, is_member=False))


@mesh.command()
@click.argument("member")
@at_option
@wait_option(10.0)
def readmit(member: str, at: tuple[str, ...], wait: float) -> None:
    """Let a lighthouse that was drained become a member again.

    \b
    Example: brackengate mesh readmit 10.0.0.1 --at 10.0.1.1:7000
    """
    from brackengate.protocol.messages import Rejoin

    _run(at, lambda client: _change_membership(client, member, Rejoin(), wait, is_member=True))


# --- a request


@mesh.command()
@click.argument("attempt", metavar="REQUEST-ID")
@at_option
@json_option
def explain(attempt: str, at: tuple[str, ...], as_json: bool) -> None:
    """What each hop decided of a request, by its X-Brackengate-Attempt-Id.

    Pilots keep their latest requests only; exit code 4 where none of them knows it.

    \b
    Example: brackengate mesh explain 9c41d07be2a35f68 --at 10.0.0.1:7000
    """
    from brackengate.meshctl import hops

    async def use(client: MeshClient) -> int:
        statuses, _ = await client.statuses()
        pilots = await client.explain(attempt, [one.addr for one in statuses])
        found = hops.in_order(pilots)
        for pilot, hop in found:
            if as_json:
                _line("hop", {"pilot": pilot, **hop})
            else:
                click.echo(hops.text(pilot, hop))
        silent = sorted(one.addr for one in pilots if one.index is None)
        if silent:
            click.echo(f"brackengate: step explain: no word from pilots {' '.join(silent)}", err=True)
        if not found:
            click.echo(f"brackengate: none of {len(pilots)} pilots remembers {attempt}", err=True)
        return 0 if found else INCOMPLETE

    _run(at, use)


# --- backups


@mesh.command()
@click.argument("file", type=click.Path(dir_okay=False))
@at_option
def backup(file: str, at: tuple[str, ...]) -> None:
    """Write the agreed configuration to a file, with its versions, its place and a checksum.

    \b
    Example: brackengate mesh backup mesh.json --at 10.0.0.1:7000
    """
    from brackengate.meshctl import archive

    async def use(client: MeshClient) -> int:
        held = await client.items()
        data = archive.pack(held, time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()))
        path = Path(file)
        temporary = path.with_name(path.name + ".part")
        try:
            with temporary.open("wb") as out:
                out.write(data)
                out.flush()
                os.fsync(out.fileno())
            temporary.replace(path)  # an earlier backup stays until this one is complete
        except OSError as error:
            temporary.unlink(missing_ok=True)
            fail(f"step write, file {file}: {error.strerror}", INVALID)
        click.echo(f"{file}: {len(held.items)} items at place {held.commit_index}")
        return 0

    _run(at, use)


@mesh.command()
@click.argument("file", type=click.Path(dir_okay=False))
@at_option
@wait_option(5.0)
@json_option
def restore(file: str, at: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Apply a backup's items as an ordinary change: items that the mesh has at a newer version stay.

    \b
    Example: brackengate mesh restore mesh.json --at 10.0.0.1:7000
    """
    from brackengate.meshctl import archive

    try:
        content = archive.unpack(Path(file).read_bytes())
    except OSError as error:
        fail(f"step read, file {file}: {error.strerror}", INVALID)
    except archive.InvalidBackup as error:
        fail(f"step read, file {file}: {error}", INVALID)
    call = archive.restoring_call(content)
    _run(at, lambda client: _apply(client, call, wait, as_json))
