"""From the installation file to a client."""

from __future__ import annotations

import random
from collections.abc import Callable

from brackengate.installation.schema import File
from brackengate.net.node import Clock
from brackengate.snapshot.model import Snapshot
from brackengate.xds.ads import Machine
from brackengate.xds.ads import Terms as MachineTerms
from brackengate.xds.client import Client, Terms


def client(
    file: File, slot: int, clock: Clock, offer: Callable[[str, str, Snapshot, int], None], rng: random.Random
) -> Client:
    told = file.xds
    terms = Terms(
        servers=told.servers,
        node_id=told.node_id or f"{file.installation.name}-{file.fleet.first_number + slot}",
        cluster=told.cluster or file.installation.name,
        metadata=dict(told.metadata),
        incremental=told.incremental,
        backoff=told.backoff / 1e6,
        backoff_most=told.backoff_most / 1e6,
        keepalive=told.keepalive / 1e6,
    )
    machine = Machine(
        MachineTerms(told.route_config, told.incremental, int(told.settle), int(told.resource_timeout)),
        tuple(file.class_),
    )
    return Client(terms, machine, clock, offer, rng)
