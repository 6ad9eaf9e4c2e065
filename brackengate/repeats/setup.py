"""From the installation file to the stage at the door."""

from __future__ import annotations

from pathlib import Path

from brackengate.http.message import IncomingRequest
from brackengate.installation.schema import File
from brackengate.net.api import ClientResolver
from brackengate.net.environment import Environment
from brackengate.net.http import CallerConnection, InnerStage
from brackengate.net.node import Clock
from brackengate.repeats.door import RepeatsDoor
from brackengate.repeats.journal import Journal
from brackengate.repeats.table import Bounds, Table


def client_of(file: File) -> ClientResolver | None:
    """Who sent a request.  One that does not say so is nobody's repeat, and nobody's is its."""
    told = file.repeats
    if told.client == "off":
        return None
    if told.client == "address":
        return lambda _arrival, connection: connection.peer() or None
    wanted = told.client_header.lower().encode()

    def by_header(arrival: IncomingRequest, _connection: CallerConnection) -> str | None:
        found = [value for name, value in arrival.headers if name.lower() == wanted]
        return found[0].decode("latin-1") if len(found) == 1 and found[0] else None

    return by_header


def door(
    file: File, inner: InnerStage, clock: Clock, ground: Environment, slot: int
) -> tuple[RepeatsDoor, Journal | None]:
    """The stage, and its journal where one is kept.  OSError where its folder can't be used."""
    told, fleet = file.repeats, file.fleet
    bounds = Bounds(
        bytes=int(told.memory) // fleet.instances,
        max_answer=int(told.max_answer),
        keep=int(told.keep),
        waiters=told.waiters,
    )
    if not told.journal:
        return RepeatsDoor(inner, Table(bounds, ground.rng.randbytes(32), file.tenant), ground.loop), None
    folder = Path(told.journal)
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    name = f"repeats-{fleet.first_number + slot}"
    journal = Journal(folder, name, int(told.keep), told.journal_sync, max_bytes=int(told.journal_bytes))
    records = journal.read()
    table = Table(bounds, journal.secret, file.tenant)
    journal.fill(table, records, clock.now())
    journal.start(table, records, clock.now)
    return RepeatsDoor(inner, table, ground.loop, journal.keep), journal
