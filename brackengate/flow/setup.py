"""From the installation file to an exporter."""

from __future__ import annotations

import secrets
import time

from brackengate.flow import ipfix, netflow9
from brackengate.flow.cache import Cache, Limits
from brackengate.flow.exporter import Encoder, Exporter, Link, Options, TcpLink, UdpLink
from brackengate.installation.schema import File
from brackengate.net.sockets import parse_address


def exporter(file: File, slot: int) -> Exporter | None:
    """None where no collector is named.  Needs a running loop."""
    told, fleet = file.flow, file.fleet
    addresses = [*([told.collector] if told.collector else []), *told.collectors]
    if not addresses:
        return None
    limits = Limits(
        most=told.max_flows // fleet.instances or 1,
        waiting=told.queue,
        active=int(told.active) // 1000,
        idle=int(told.idle) // 1000,
    )
    # A process's flow ids begin at a random place, its domain is its instance: a collector tells a restart by
    # the new transport session and the sequence numbers that begin anew.
    cache = Cache(limits, secrets.randbits(47))
    domain, started_ms = fleet.first_number + slot + 1, time.time_ns() // 1_000_000
    options = Options(
        queue=told.queue,
        template_every=told.template_every / 1e6,
        template_after=told.template_after,
        spread=told.mode == "spread",
    )

    def make() -> Encoder:
        if told.protocol == "ipfix":
            return ipfix.Encoder(domain, told.enterprise, int(told.message_size), told.strings)
        return netflow9.Encoder(domain, told.enterprise, int(told.message_size), started_ms)

    kind: type[Link] = UdpLink if told.transport == "udp" else TcpLink
    links = [kind(parse_address(text), make, options) for text in addresses]
    return Exporter(cache, links, options)
