"""What is exported: records, their fields, and the templates that name them.  Pure.

Field numbers are those of IANA's IPFIX information elements (RFC 7012); reverse ones go under the private
enterprise number 29305 (RFC 5103), our own under a number that is a setting, by default the one for examples
(RFC 5612).  "Packets" are reads and writes of the program: it sees no packets.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from enum import IntEnum

REVERSE_PEN = 29_305
EXAMPLE_PEN = 32_473
VARIABLE = 0xFFFF


class EndReason(IntEnum):
    """flowEndReason (element 136)."""

    IDLE = 1
    ACTIVE = 2
    ENDED = 3
    FORCED = 4
    RESOURCES = 5


class Kind(IntEnum):
    """flowDirection (element 61): clients come in, upstreams are gone to."""

    CLIENT = 0
    UPSTREAM = 1


@dataclass(frozen=True, slots=True)
class Record:
    """What one connection did since the last record of it."""

    kind: Kind
    flow_id: int
    source: str  # who opened it
    source_port: int
    destination: str
    destination_port: int
    octets_in: int  # from the source
    reads: int
    octets_out: int  # to the source
    writes: int
    start_ms: int  # Unix time; of the connection
    end_ms: int
    reason: EndReason
    class_name: str = ""  # of its last request
    tenant: str = ""
    requests: int = 0
    refusals: int = 0
    worst_us: int = 0


@dataclass(frozen=True, slots=True)
class Talker:
    """One of those who ask most: a client's address or a tenant, with the most that the count may be over."""

    key: str
    requests: int
    error: int
    is_tenant: bool


@dataclass(frozen=True, slots=True)
class Field:
    number: int
    length: int  # VARIABLE: a string
    enterprise: int = 0


OWN = {"class": 1, "tenant": 2, "requests": 3, "refusals": 4, "worst": 5, "error": 6}
CONNECTION_V4, CONNECTION_V6, TALKER_V4, TALKER_V6, TENANT, STATISTICS = 256, 257, 258, 259, 260, 261


def connection_fields(v6: bool, pen: int, strings: bool = True) -> tuple[Field, ...]:
    """`strings`: with class and tenant, whose length varies."""
    address = 16 if v6 else 4
    fields = (
        Field(27 if v6 else 8, address),
        Field(28 if v6 else 12, address),
        Field(7, 2),
        Field(11, 2),
        Field(4, 1),  # protocolIdentifier: 6, TCP
        Field(61, 1),
        Field(136, 1),
        Field(148, 8),  # flowId
        Field(1, 8),
        Field(2, 8),
        Field(1, 8, REVERSE_PEN),
        Field(2, 8, REVERSE_PEN),
        Field(152, 8),
        Field(153, 8),
        Field(OWN["requests"], 4, pen),
        Field(OWN["refusals"], 4, pen),
        Field(OWN["worst"], 4, pen),
    )
    if not strings:
        return fields
    return (*fields, Field(OWN["class"], VARIABLE, pen), Field(OWN["tenant"], VARIABLE, pen))


def talker_fields(kind: int, pen: int) -> tuple[Field, ...]:
    counts = (Field(OWN["requests"], 8, pen), Field(OWN["error"], 8, pen))
    if kind == TENANT:
        return (Field(OWN["tenant"], VARIABLE, pen), *counts)
    return (Field(27, 16) if kind == TALKER_V6 else Field(8, 4), *counts)


def packed(address: str) -> tuple[bool, bytes]:
    """Whether it is IPv6, and its bytes; an IPv4-mapped one (RFC 4291, 2.5.5.2) is IPv4, a strange one ::."""
    try:
        told = ipaddress.ip_address(address.partition("%")[0])
    except ValueError:
        return True, bytes(16)
    if isinstance(told, ipaddress.IPv6Address) and told.ipv4_mapped is not None:
        told = told.ipv4_mapped
    return told.version == 6, told.packed


def capped(value: int, length: int) -> bytes:
    """Unsigned, in network order; what does not fit is the most that does."""
    return min(max(0, value), (1 << (8 * length)) - 1).to_bytes(length, "big")


def string(text: str, most: int = 200) -> bytes:
    """A variable-length field (RFC 7011, section 7), cut to `most` bytes at a character's end."""
    data = text.encode("utf-8", "replace")[:most].decode("utf-8", "ignore").encode()
    return bytes([len(data)]) + data
