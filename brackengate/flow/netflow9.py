"""NetFlow version 9 export packets (RFC 3954).  Pure.

The sequence number counts packets; times of flows are milliseconds of the exporter's uptime, modulo 2^32.
There are no enterprise fields and no strings: class, tenant, requests, refusals and worst latency go by IPFIX
only, and so do talkers.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from brackengate.flow.ipfix import pair
from brackengate.flow.records import CONNECTION_V4, CONNECTION_V6, STATISTICS, Record, Talker, capped
from brackengate.flow.sets import SET, fill

VERSION = 9
HEADER = struct.Struct("!HHIIII")
TEMPLATE_SET, OPTIONS_SET = 0, 1
_COUNTS = struct.Struct("!BBBQQQQQII")


def fields(v6: bool) -> tuple[tuple[int, int], ...]:
    """Type and length of each field (RFC 3954, section 8)."""
    address = 16 if v6 else 4
    return (
        (27 if v6 else 8, address),
        (28 if v6 else 12, address),
        (7, 2),
        (11, 2),
        (4, 1),
        (61, 1),
        (136, 1),
        (148, 8),
        (1, 8),  # IN_BYTES
        (2, 8),  # IN_PKTS
        (23, 8),  # OUT_BYTES
        (24, 8),  # OUT_PKTS
        (22, 4),  # FIRST_SWITCHED
        (21, 4),  # LAST_SWITCHED
    )


class Encoder:
    def __init__(self, domain: int, pen: int, max_length: int = 1400, started_ms: int = 0) -> None:
        """`started_ms`: Unix time at which the exporter's uptime began."""
        self.domain, self._max, self._started_ms = domain, max_length, started_ms
        self.sequence, self.talkers = 0, False

    def templates(self, now_s: int) -> list[bytes]:
        told = b""
        for number, v6 in ((CONNECTION_V4, False), (CONNECTION_V6, True)):
            chosen = fields(v6)
            told += struct.pack("!HH", number, len(chosen))
            told += b"".join(struct.pack("!HH", *field) for field in chosen)
        body = SET.pack(TEMPLATE_SET, 4 + len(told)) + told
        # Scope: the system (1), 4 bytes; then what was exported in all.
        options = struct.pack("!HHH", STATISTICS, 4, 12) + struct.pack("!HH", 1, 4)
        options += b"".join(struct.pack("!HH", number, 8) for number in (41, 42, 40))
        options += bytes(-len(options) % 4)
        body += SET.pack(OPTIONS_SET, 4 + len(options)) + options
        return [self._packet(now_s, body, 3)]

    def records(self, records: Iterable[Record | Talker], now_s: int) -> list[tuple[bytes, int]]:
        told = (self._encode(record) for record in records if not isinstance(record, Talker))
        bodies = fill(told, self._max - HEADER.size, 4)  # sets end at 32 bits (section 5.3)
        return [(self._packet(now_s, body, count), count) for body, count in bodies]

    def statistics(
        self, now_s: int, messages: int, flows: int, octets: int, lost: tuple[int, int, int]
    ) -> bytes:
        data = struct.pack("!I", self.domain) + b"".join(capped(v, 8) for v in (messages, flows, octets))
        return self._packet(now_s, SET.pack(STATISTICS, 4 + len(data)) + data, 1)

    def _packet(self, now_s: int, body: bytes, count: int) -> bytes:
        uptime = max(0, now_s * 1000 - self._started_ms) & 0xFFFFFFFF
        head = HEADER.pack(VERSION, count, uptime, now_s & 0xFFFFFFFF, self.sequence, self.domain)
        self.sequence = (self.sequence + 1) & 0xFFFFFFFF
        return head + body

    def _encode(self, record: Record) -> tuple[int, bytes]:
        v6, source, destination = pair(record.source, record.destination)
        data = source + destination + capped(record.source_port, 2) + capped(record.destination_port, 2)
        wide = (1 << 64) - 1
        data += _COUNTS.pack(
            6,
            record.kind,
            record.reason,
            record.flow_id & wide,
            min(record.octets_in, wide),
            min(record.reads, wide),
            min(record.octets_out, wide),
            min(record.writes, wide),
            max(0, record.start_ms - self._started_ms) & 0xFFFFFFFF,
            max(0, record.end_ms - self._started_ms) & 0xFFFFFFFF,
        )
        return (CONNECTION_V6 if v6 else CONNECTION_V4), data
