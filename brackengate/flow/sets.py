"""Records to sets, and sets to messages of a size: the same in NetFlow v9 and IPFIX.  Pure."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator

SET = struct.Struct("!HH")  # number and length


def fill(records: Iterable[tuple[int, bytes]], most: int, align: int) -> Iterator[tuple[bytes, int]]:
    """Bodies of messages, each with the number of records in it, from template numbers and encoded records.

    `most`: bytes of a body, which a single longer record alone exceeds; `align`: sets end at a multiple of
    so many bytes.
    """
    sets: dict[int, list[bytes]] = {}
    size = count = 0
    for number, data in records:
        head = SET.size + align - 1
        if count and size + len(data) + (0 if number in sets else head) > most:
            yield _body(sets, align), count
            sets, size, count = {}, 0, 0
        size += len(data) + (0 if number in sets else head)
        sets.setdefault(number, []).append(data)
        count += 1
    if count:
        yield _body(sets, align), count


def _body(sets: dict[int, list[bytes]], align: int) -> bytes:
    body = b""
    for number, encoded in sets.items():
        data = b"".join(encoded)
        data += bytes(-len(data) % align)
        body += SET.pack(number, SET.size + len(data)) + data
    return body
