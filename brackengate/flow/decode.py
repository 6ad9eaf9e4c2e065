"""Reads IPFIX and NetFlow v9, for `brackengate flows dump`.  Pure: bytes in, rows out.

Templates are kept by session and domain.  A record whose template is not known is counted, and skipped.
"""

from __future__ import annotations

import ipaddress
import struct
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

NAMES = {
    1: "octets", 2: "packets", 4: "protocol", 7: "sourcePort", 8: "source", 11: "destinationPort",
    12: "destination", 21: "lastSwitched", 22: "firstSwitched", 23: "octetsBack", 24: "packetsBack",
    27: "source", 28: "destination", 40: "exportedOctets", 41: "exportedMessages", 42: "exportedFlows",
    61: "direction", 136: "endReason", 148: "flowId", 149: "domain", 152: "start", 153: "end",
    166: "notSentFlows", 167: "notSentPackets", 168: "notSentOctets",
}  # fmt: skip
BACK = {1: "octetsBack", 2: "packetsBack"}
OWN = {1: "class", 2: "tenant", 3: "requests", 4: "refusals", 5: "worstUs", 6: "error"}
REVERSE = 29_305
Row = dict[str, object]
_Fields = list[tuple[int, int, int]]  # number, length, enterprise


class Unreadable(ValueError):
    """What came is no message of either version."""


@dataclass(slots=True)
class Reader:
    """One session's templates and counts."""

    templates: dict[tuple[int, int], _Fields] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)

    def message(self, data: bytes) -> list[Row]:
        """The rows of one message; Unreadable where it is none."""
        try:
            if len(data) >= 16 and data[:2] == b"\0\x0a":
                return list(self._ipfix(data))
            if len(data) >= 20 and data[:2] == b"\0\x09":
                return list(self._netflow9(data))
        except (struct.error, IndexError) as error:
            raise Unreadable(f"a message that is cut off: {error}") from None
        raise Unreadable("neither IPFIX nor NetFlow v9")

    def _ipfix(self, data: bytes) -> Iterator[Row]:
        _, length, _, _, domain = struct.unpack_from("!HHIII", data)
        if length > len(data):
            raise Unreadable(f"its length is {length}, and {len(data)} bytes came")
        position = 16
        while position + 4 <= length:
            number, size = struct.unpack_from("!HH", data, position)
            if size < 4 or position + size > length:
                raise Unreadable(f"a set of {size} bytes")
            body = data[position + 4 : position + size]
            if number in (2, 3):
                self._templates(domain, body, options=number == 3)
            else:
                yield from self._rows(domain, number, body)
            position += size

    def _netflow9(self, data: bytes) -> Iterator[Row]:
        _, _, uptime, seconds, _, domain = struct.unpack_from("!HHIIII", data)
        position = 20
        while position + 4 <= len(data):
            number, size = struct.unpack_from("!HH", data, position)
            if size < 4 or position + size > len(data):
                raise Unreadable(f"a flow set of {size} bytes")
            body = data[position + 4 : position + size]
            if number == 0:
                self._templates(domain, body, options=False)
            elif number == 1:
                self._options9(domain, body)
            else:
                for row in self._rows(domain, number, body):
                    for name, old in (("start", "firstSwitched"), ("end", "lastSwitched")):
                        if isinstance(told := row.pop(old, None), int):
                            row[name] = seconds * 1000 - ((uptime - told) & 0xFFFFFFFF)
                    yield row
            position += size

    def _templates(self, domain: int, body: bytes, options: bool) -> None:
        position = 0
        while position + 4 <= len(body):
            number, count = struct.unpack_from("!HH", body, position)
            if number < 256:
                return  # padding
            position += 4
            if count == 0:
                self.templates.pop((domain, number), None)  # a withdrawal
                continue
            if options:
                position += 2
            fields: _Fields = []
            for _ in range(count):
                element, length = struct.unpack_from("!HH", body, position)
                position += 4
                enterprise = 0
                if element & 0x8000:
                    (enterprise,) = struct.unpack_from("!I", body, position)
                    position += 4
                fields.append((element & 0x7FFF, length, enterprise))
            self.templates[domain, number] = fields
            self.counts["templates"] += 1

    def _options9(self, domain: int, body: bytes) -> None:
        position = 0
        while position + 6 <= len(body):
            number, scopes, options = struct.unpack_from("!HHH", body, position)
            if number < 256:
                return
            position += 6
            fields: _Fields = []
            for i in range((scopes + options) // 4):
                element, length = struct.unpack_from("!HH", body, position)
                position += 4
                fields.append((149 if i < scopes // 4 else element, length, 0))
            self.templates[domain, number] = fields

    def _rows(self, domain: int, number: int, body: bytes) -> Iterator[Row]:
        fields = self.templates.get((domain, number))
        if fields is None:
            self.counts["without a template"] += 1
            return
        least = sum(1 if length == 0xFFFF else length for _, length, _ in fields)
        position = 0
        while position + least <= len(body):
            row: Row = {"domain": domain, "template": number}
            for element, length, enterprise in fields:
                if length == 0xFFFF:
                    length = body[position]
                    position += 1
                    if length == 255:
                        (length,) = struct.unpack_from("!H", body, position)
                        position += 2
                raw = body[position : position + length]
                position += length
                name, value = _value(element, enterprise, raw)
                row[name] = value
            self.counts["records"] += 1
            yield row


def _value(element: int, enterprise: int, raw: bytes) -> tuple[str, object]:
    if enterprise == REVERSE:
        return BACK.get(element, f"reverse{element}"), int.from_bytes(raw, "big")
    if enterprise:
        name = OWN.get(element, f"{enterprise}/{element}")
        text = name in ("class", "tenant")
        return name, raw.decode("utf-8", "replace") if text else int.from_bytes(raw, "big")
    name = NAMES.get(element, str(element))
    if element in (8, 12, 27, 28) and len(raw) in (4, 16):
        return name, str(ipaddress.ip_address(raw))
    return name, int.from_bytes(raw, "big")


def split(data: bytes) -> tuple[list[bytes], bytes]:
    """IPFIX messages out of a stream or a file (RFC 5655), and the rest; Unreadable where it is no stream."""
    messages: list[bytes] = []
    while len(data) >= 4:
        version, length = struct.unpack_from("!HH", data)
        if version != 10 or length < 16:
            raise Unreadable(f"version {version} with a length of {length}, where a message should begin")
        if length > len(data):
            break
        messages.append(data[:length])
        data = data[length:]
    return messages, data
