"""`brackengate mesh`: a running mesh, by the address of one of its lighthouses.

Exit codes: 0 done; 1 no lighthouse answered; 2 bad file or usage, or a configuration that is not valid;
3 the mesh refused it; 4 not all is as it should be, or not within the time that was given.
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
    from brackengate.meshctl.ask import Bridge
    from brackengate.meshctl.changes import Change
    from brackengate.protocol.messages import Standing

FAILED, BAD, REFUSED, INCOMPLETE = 1, 2, 3, 4
LOOK_S = 0.1  # between two looks at what is waited for

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
    """A running mesh: how it stands, its configuration, its core, what became of a request.

    Exit codes: 0 done; 1 no lighthouse answered; 2 bad file or usage, or a configuration that is not valid;
    3 the mesh refused it; 4 not all is as it should be, or not within the time that was given.
    """


def _run(at: Sequence[str], use: Callable[[Bridge], Coroutine[Any, Any, int]]) -> NoReturn:
    """Do it, and end with its exit code; every lighthouse that did not answer gets a line."""
    from brackengate.meshctl.ask import Bridge, Unanswered
    from brackengate.net.sockets import parse_address

    try:
        addresses = [parse_address(one) for one in at]
    except ValueError as error:
        fail(f"--at: {error}", BAD)
    code = FAILED
    try:
        code = asyncio.run(use(Bridge(addresses)))
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

    async def use(bridge: Bridge) -> int:
        standings, failed = await bridge.standings()
        names = {bridge.address(seat.addr): seat.addr for one in standings for seat in one.members}
        lost = [(names.get(e.peer, f"{e.peer[0]}:{e.peer[1]}"), e.why) for e in failed]
        view = figures.newest(standings)
        parts = {
            "member": figures.members(standings, lost),
            "pilot": figures.pilots(standings),
            "service": figures.services(standings),
        }
        unseen, spare = figures.unseen(standings), figures.spare(standings)
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
        return 0 if figures.complete(standings) else INCOMPLETE

    _run(at, use)


COLUMNS = {
    "member": "member zone chain view stored agreed lag pilots keys routes services duties state",
    "pilot": "pilot follows place behind",
    "service": "service ready draining away gone",
}


# --- configuration


@mesh.group()
def config() -> None:
    """The operator's configuration: read, compared, brought in."""


@config.command()
@at_option
def show(at: tuple[str, ...]) -> None:
    """Print the newest configuration, as `apply` takes it.

    \b
    Example: brackengate mesh config show --at 10.0.0.1:7000 > now.json
    """

    async def use(bridge: Bridge) -> int:
        click.echo(json.dumps(await bridge.read(), indent=1))
        return 0

    _run(at, use)


def _tell(changes: Sequence[Change], as_json: bool) -> None:
    for one in changes:
        if as_json:
            _line("item", {"kind": one.kind, "name": one.name, "what": one.what, "why": one.why})
        else:
            click.echo(one.text)


def _call_in(file: str) -> bytes:
    from brackengate.meshctl.changes import as_call

    try:
        with click.open_file(file, "rb") as opened:
            return as_call(opened.read())
    except OSError as error:
        fail(f"step read, file {file}: {error.strerror}", BAD)


@config.command()
@click.argument("file", type=click.Path(dir_okay=False, allow_dash=True))
@at_option
@json_option
def diff(file: str, at: tuple[str, ...], as_json: bool) -> None:
    """Tell what a call would do, item by item; nothing is sent. FILE may be - for standard input.

    A call as the operator sends it ({"Apply": ..., "Remove": ...}), or what `show` prints.

    \b
    Example: brackengate mesh config diff next.json --at 10.0.0.1:7000
    """
    from brackengate.meshctl.changes import compare, items_of, sound

    call = _call_in(file)

    async def use(bridge: Bridge) -> int:
        changes = compare(call, items_of((await bridge.items()).items))
        _tell(changes, as_json)
        return 0 if sound(changes) else BAD

    _run(at, use)


async def _bring_in(bridge: Bridge, call: bytes, wait: float, as_json: bool) -> int:
    """Check a call, send it, and wait for the pilots."""
    from brackengate.meshctl.changes import compare, effective, items_of, sound
    from brackengate.protocol.messages import CommandDone

    changes = compare(call, items_of((await bridge.items()).items))
    if not changes:
        click.echo("brackengate: step check: the file names no items under Apply or Remove", err=True)
        return BAD
    _tell(changes, as_json)
    if not sound(changes):
        click.echo("brackengate: step check: nothing was sent", err=True)
        return BAD
    answer = await bridge.amend(call)
    if not isinstance(answer, CommandDone):  # the configuration has changed since it was looked at
        click.echo(f"brackengate: step amend: {getattr(answer, 'reason', answer)}", err=True)
        return REFUSED
    news = effective(changes)
    click.echo(f"agreed: {len(news)} of {len(changes)} items have effect", err=as_json)
    return await _until_pilots_have(bridge, changes, wait, as_json)


async def _until_pilots_have(bridge: Bridge, changes: Sequence[Change], wait: float, as_json: bool) -> int:
    from brackengate.meshctl import figures
    from brackengate.protocol.messages import Held, Items

    names = [((one.kind, one.name), one.version) for one in changes]
    until, late, place = time.monotonic() + wait, ["nobody could be asked"], None
    while True:
        with contextlib.suppress(ExceptionGroup):  # nobody answered this time: the word stands as it was
            standings, _ = await bridge.standings()
            if place is None:
                told = await bridge.of_members(Held(), [one.addr for one in standings])
                place = figures.place_of(names, [one for one in told if isinstance(one, Items)])
            if place is not None:
                late = figures.behind(standings, place)
                count = sum(len(one.pilots) for one in standings)
                if not late:
                    unseen = figures.unseen(standings)
                    if as_json:
                        _line("followed", {"place": place, "pilots": count, "unseen": unseen})
                    else:
                        click.echo(f"all {count} pilots that follow have place {place}")
                        if unseen:
                            click.echo(f"no pilot follows from: {' '.join(unseen)}")
                    return 0
        if time.monotonic() >= until:
            break
        await asyncio.sleep(LOOK_S)
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
    """Check a call, bring it in, and wait until all pilots that follow have it.

    Sent again it does no harm: what is no newer has no effect, and the wait is the same.

    \b
    Example: brackengate mesh config apply next.json --at 10.0.0.1:7000 --at 10.0.1.1:7000
    """
    call = _call_in(file)
    _run(at, lambda bridge: _bring_in(bridge, call, wait, as_json))


# --- the core


def _member(standings: Sequence[Standing], name: str) -> Standing:
    found = [one for one in standings if name in (one.addr, one.addr.rpartition(":")[0])]
    if not found:
        fail(f"no lighthouse {name} answered; there are {' '.join(one.addr for one in standings)}", REFUSED)
    return found[0]


async def _seat(bridge: Bridge, name: str, what: Any, wait: float, seated: bool, warn: bool = False) -> int:
    """Tell a member to leave or to come back, and wait for the view that says so."""
    from brackengate.meshctl import figures
    from brackengate.meshctl.ask import Unanswered, ask
    from brackengate.protocol.messages import SeatAnswer

    standings, _ = await bridge.standings()
    member = _member(standings, name)
    try:
        answer = await ask(bridge.address(member.addr), what)
    except Unanswered as error:
        raise ExceptionGroup("a member did not answer", [error]) from None
    assert isinstance(answer, SeatAnswer)
    if answer.refused:
        click.echo(f"brackengate: step {type(what).__name__.lower()}: {answer.refused}", err=True)
        return REFUSED
    until = time.monotonic() + wait
    while True:
        with contextlib.suppress(ExceptionGroup):
            standings, _ = await bridge.standings()
            view = figures.newest([one for one in standings if one.addr != member.addr] or standings)
            if any(seat.addr == member.addr for seat in view.members) is seated:
                break
        if time.monotonic() >= until:
            click.echo(
                f"brackengate: step view: told, but no view {'with' if seated else 'without'}"
                f" {member.addr} within {wait:g} s; its wish stands",
                err=True,
            )
            return INCOMPLETE
        await asyncio.sleep(LOOK_S)
    click.echo(f"view {view.epoch}: {' '.join(seat.addr for seat in view.members)}")
    spare = figures.spare(standings)
    if not seated and spare < view.min_replicas - 1:
        click.echo(f"brackengate: {max(0, spare)} more may be lost before writes wait", err=True)
    return 0


@mesh.command()
@click.argument("member")
@at_option
@wait_option(10.0)
def drain(member: str, at: tuple[str, ...], wait: float) -> None:
    """Have a member of the core give up its seat; it stays up, and takes none until readmitted or restarted.

    Refused where fewer than Tolerance.Machines + 1 members would be left.

    \b
    Example: brackengate mesh drain 10.0.0.1 --at 10.0.1.1:7000
    """
    from brackengate.protocol.messages import Leave

    _run(at, lambda bridge: _seat(bridge, member, Leave(), wait, seated=False))


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

    _run(at, lambda bridge: _seat(bridge, member, Leave(replaced=True), wait, seated=False))


@mesh.command()
@click.argument("member")
@at_option
@wait_option(10.0)
def readmit(member: str, at: tuple[str, ...], wait: float) -> None:
    """Let a lighthouse that was drained take a seat again.

    \b
    Example: brackengate mesh readmit 10.0.0.1 --at 10.0.1.1:7000
    """
    from brackengate.protocol.messages import Rejoin

    _run(at, lambda bridge: _seat(bridge, member, Rejoin(), wait, seated=True))


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

    async def use(bridge: Bridge) -> int:
        standings, _ = await bridge.standings()
        pilots = await bridge.explain(attempt, [one.addr for one in standings])
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

    async def use(bridge: Bridge) -> int:
        held = await bridge.items()
        data = archive.pack(held, time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()))
        path = Path(file)
        part = path.with_name(path.name + ".part")
        try:
            with part.open("wb") as out:
                out.write(data)
                out.flush()
                os.fsync(out.fileno())
            part.replace(path)  # an earlier backup stands until this one is whole
        except OSError as error:
            part.unlink(missing_ok=True)
            fail(f"step write, file {file}: {error.strerror}", BAD)
        click.echo(f"{file}: {len(held.items)} items at place {held.commit_index}")
        return 0

    _run(at, use)


@mesh.command()
@click.argument("file", type=click.Path(dir_okay=False))
@at_option
@wait_option(5.0)
@json_option
def restore(file: str, at: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Bring a backup's items in as an ordinary call: what the mesh holds at a newer version stays.

    \b
    Example: brackengate mesh restore mesh.json --at 10.0.0.1:7000
    """
    from brackengate.meshctl import archive

    try:
        content = archive.unpack(Path(file).read_bytes())
    except OSError as error:
        fail(f"step read, file {file}: {error.strerror}", BAD)
    except archive.Unusable as error:
        fail(f"step read, file {file}: {error}", BAD)
    call = archive.call_of(content)
    _run(at, lambda bridge: _bring_in(bridge, call, wait, as_json))
