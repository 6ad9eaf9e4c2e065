"""From the installation file to the stage at the door."""

from __future__ import annotations

import random
from pathlib import Path

from brackengate.http.message import IncomingRequest
from brackengate.installation import settings as derived
from brackengate.installation.reading import BadFile, Fault
from brackengate.installation.schema import File
from brackengate.net.api import ClientInfoResolver
from brackengate.net.connection_admission import ConnectionAdmission
from brackengate.net.environment import Environment
from brackengate.net.http import CallerConnection, InnerStage
from brackengate.net.node import ClientInfo
from brackengate.queues.admission import Admission, Bounds, ClassTerms
from brackengate.queues.clients import ClientBounds, prefix_of
from brackengate.queues.door import QueuesDoor
from brackengate.queues.limit import LimitBounds

LEAST_SECRET = 16  # bytes
ITEM_COST = 3  # what a byte that waits costs in all: parsed, kept, and sent on


def bounds(file: File) -> Bounds:
    """One instance's."""
    told, count = file.queues, file.fleet.instances
    clients = ClientBounds(
        clients=told.clients // count,
        hashed=told.hashed,
        reseed=int(told.reseed),
        per_prefix=told.per_network,
        prefix_v4=told.prefix_v4,
        prefix_v6=told.prefix_v6,
        retries=told.retry_burst,
    )
    return Bounds(
        clients=clients,
        limit=LimitBounds(told.limit_least, told.limit_start, told.limit_most, told.target),
        waiting=told.waiting // count,
        size=int(told.memory) // count // ITEM_COST,
        max_retry_after=int(file.limits.max_retry_after),
        patience=int(told.patience),
        reserve=told.reserve,
        grace=int(told.grace),
        retry_ratio=told.retry_ratio,
        retry_burst=told.retry_burst,
    )


def secret(file: File, rng: random.Random) -> bytes:
    """That of the file, or one of this process alone.  BadFile where the file's can't be used."""
    path = file.queues.secret_file
    if not path:
        return rng.randbytes(32)
    try:
        found = Path(path).read_bytes().strip()
    except OSError as error:
        raise BadFile(
            path, [Fault("queues.secret_file", f"{path} cannot be read: {error.strerror}")]
        ) from None
    if len(found) < LEAST_SECRET:
        what = f"{path} has {len(found)} bytes; {LEAST_SECRET} at least"
        raise BadFile(path, [Fault("queues.secret_file", what)])
    return found


def origin_of(file: File) -> ClientInfoResolver | None:
    """Who sent a request and whence.  One without the header that names it is known by its address."""
    told = file.queues
    if told.mode == "off":
        return None
    by_header = told.client_header.lower().encode() if told.client == "header" else b""
    by_address, place = told.address_header.lower().encode(), told.place_header.lower().encode()

    def read(arrival: IncomingRequest, connection: CallerConnection) -> ClientInfo:
        client = address = token = b""
        for name, value in arrival.headers:
            lower = name.lower()
            if lower == by_header:
                client = value.strip()
            elif lower == by_address:
                address = value.rpartition(b",")[2].strip()  # the last: the one that our own front added
            elif lower == place:
                token = value.strip()
        whence = address.decode("latin-1") if address else connection.peer()
        return ClientInfo(client.decode("latin-1") or whence, whence, token)

    return read


def crowd(file: File) -> ConnectionAdmission | None:
    """The bound on one network's connections; None where there is none.  It holds in every mode but off."""
    told = file.queues
    if told.mode == "off" or not told.connections:
        return None
    return ConnectionAdmission(
        told.connections, lambda address: prefix_of(address, told.prefix_v4, told.prefix_v6) or address
    )


def door(file: File, inner: InnerStage, ground: Environment) -> QueuesDoor:
    told = file.queues
    terms = {cls.name: ClassTerms(cls.target_latency, cls.value) for cls in derived.settings(file).classes}
    shares = {name: tenant.share for name, tenant in file.tenant.items()}
    seed = ground.rng.getrandbits(64)
    admission = Admission(terms, shares, bounds(file), seed, secret(file, ground.rng), told.other_share)
    return QueuesDoor(inner, admission, ground.loop, told.place_header.encode(), told.mode == "dry")
