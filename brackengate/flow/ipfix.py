"""IPFIX messages (RFC 7011).  Pure: records and the time come in, messages go out.

The sequence number counts data records, modulo 2^32, and is the number of those sent before the message
(section 3.1).  Templates go in messages of their own, before the first record and when they are asked for.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from brackengate.flow.records import (
    CONNECTION_V4,
    CONNECTION_V6,
    STATISTICS,
    TALKER_V4,
    TALKER_V6,
    TENANT,
    Field,
    Record,
    Talker,
    capped,
    connection_fields,
    packed,
    string,
    talker_fields,
)
from brackengate.flow.sets import SET, fill

VERSION = 10
HEADER = struct.Struct("!HHIII")
TEMPLATE_SET, OPTIONS_SET = 2, 3
_COUNTS = struct.Struct("!BBBQQQQQQQIII")


class Encoder:
    """One exporter's side of one transport session: its domain and its sequence number."""

    def __init__(self, domain: int, pen: int, max_length: int = 1400, strings: bool = True) -> None:
        """`max_length`: of a message in bytes; under the path's MTU less IP and UDP headers.  `strings`: with
        class and tenant; without them for collectors that read no fields of variable length."""
        self._strings = strings
        self.domain, self._pen, self._max, self.talkers = domain, pen, max_length, True
        self.sequence = 0

    def templates(self, now_s: int) -> list[bytes]:
        layouts = [
            (CONNECTION_V4, connection_fields(False, self._pen, self._strings)),
            (CONNECTION_V6, connection_fields(True, self._pen, self._strings)),
            (TALKER_V4, talker_fields(TALKER_V4, self._pen)),
            (TALKER_V6, talker_fields(TALKER_V6, self._pen)),
        ]
        if self._strings:
            layouts.append((TENANT, talker_fields(TENANT, self._pen)))
        told = b"".join(_template(number, fields) for number, fields in layouts)
        options = struct.pack("!HHHHH", STATISTICS, 7, 1, 149, 4)  # scope: observationDomainId
        options += b"".join(struct.pack("!HH", number, 8) for number in (41, 42, 40, 166, 167, 168))
        body = SET.pack(TEMPLATE_SET, 4 + len(told)) + told
        options += bytes(-len(options) % 4)
        body += SET.pack(OPTIONS_SET, 4 + len(options)) + options
        return [self._message(now_s, body, 0)]

    def records(self, records: Iterable[Record | Talker], now_s: int) -> list[tuple[bytes, int]]:
        """Messages, each with the number of records in it."""
        told = (r for r in records if self._strings or not (isinstance(r, Talker) and r.is_tenant))
        bodies = fill(map(self._encode, told), self._max - HEADER.size, 1)
        return [(self._message(now_s, body, count), count) for body, count in bodies]

    def statistics(
        self, now_s: int, messages: int, flows: int, octets: int, lost: tuple[int, int, int]
    ) -> bytes:
        """Exporter statistics: sent messages, flows and octets; flows, packets and octets not sent."""
        data = struct.pack("!I", self.domain)
        data += b"".join(capped(value, 8) for value in (messages, flows, octets, *lost))
        body = SET.pack(STATISTICS, 4 + len(data)) + data
        return self._message(now_s, body, 1)

    def _message(self, now_s: int, body: bytes, count: int) -> bytes:
        length = HEADER.size + len(body)
        head = HEADER.pack(VERSION, length, now_s & 0xFFFFFFFF, self.sequence, self.domain)
        self.sequence = (self.sequence + count) & 0xFFFFFFFF
        return head + body

    def _encode(self, record: Record | Talker) -> tuple[int, bytes]:
        if isinstance(record, Talker):
            counts = capped(record.requests, 8) + capped(record.error, 8)
            if record.is_tenant:
                return TENANT, string(record.key) + counts
            v6, address = packed(record.key)
            return (TALKER_V6 if v6 else TALKER_V4), address + counts
        v6, source, destination = pair(record.source, record.destination)
        data = source + destination + capped(record.source_port, 2) + capped(record.destination_port, 2)
        wide, narrow = (1 << 64) - 1, (1 << 32) - 1
        data += _COUNTS.pack(
            6,
            record.kind,
            record.reason,
            record.flow_id & wide,
            min(record.octets_in, wide),
            min(record.reads, wide),
            min(record.octets_out, wide),
            min(record.writes, wide),
            max(0, record.start_ms) & wide,
            max(0, record.end_ms) & wide,
            min(record.requests, narrow),
            min(record.refusals, narrow),
            min(record.worst_us, narrow),
        )
        if self._strings:
            data += string(record.class_name) + string(record.tenant)
        return (CONNECTION_V6 if v6 else CONNECTION_V4), data


def pair(source: str, destination: str) -> tuple[bool, bytes, bytes]:
    """Both addresses in one family: IPv6 if either needs it."""
    (one6, one), (other6, other) = packed(source), packed(destination)
    if one6 == other6:
        return one6, one, other
    mapped = bytes(10) + b"\xff\xff"
    return True, one if one6 else mapped + one, other if other6 else mapped + other


def _template(number: int, fields: tuple[Field, ...]) -> bytes:
    data = struct.pack("!HH", number, len(fields))
    for field in fields:
        if field.enterprise:
            data += struct.pack("!HHI", field.number | 0x8000, field.length, field.enterprise)
        else:
            data += struct.pack("!HH", field.number, field.length)
    return data
