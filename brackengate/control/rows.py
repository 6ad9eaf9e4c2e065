"""The committed rows in memory, compact and in an order that every replica shares.  Pure.

A row is kept as one line of JSON, `["kind","name",index,value]`, among the others of its bucket.  The bucket
follows from the name alone, so that "all rows of the buckets below n" means the same everywhere: a copy runs
over the buckets and needs no sorting, no second index and no consistent cut of all rows at once.  A million
rows cost some hundred bytes each, a tenth of what they cost as objects.

The checksum is a sum over the rows, whatever their order; it is kept up with each change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

import msgspec

from brackengate.protocol.messages import PUBLIC_KINDS, CommittedRow, Row

BUCKETS = 1 << 14
KEY = "key"
Name = tuple[str, str]  # kind, name

_encode = msgspec.json.Encoder().encode
_decode: Callable[[bytes], CommittedRow] = msgspec.json.Decoder(CommittedRow).decode


def bucket_of(name: str) -> int:
    return crc32(name.encode()) % BUCKETS


def is_deletion(kind: str, value: Any) -> bool:
    """Whether the row is gone.  Public rows stay, with None as their value: followers have to learn of it."""
    return value is None and kind not in PUBLIC_KINDS


def _record(kind: bytes, name: bytes, index: int, value: bytes) -> bytes:
    """A row whose kind, name and value are JSON already."""
    return b"\n[%b,%b,%d,%b]" % (kind, name, index, value)


def _key(kind: str, name: str) -> bytes:
    """What the line of that row begins with, and no other."""
    return b"\n[%b,%b," % (_encode(kind), _encode(name))


@dataclass(frozen=True, slots=True)
class EncodedRow:
    """A row as it is held.  `key`: what its line begins with; `record`: the line, empty for a deletion."""

    bucket: int
    key: bytes
    record: bytes


def encoded_row(kind: str, name: str, index: int, value: Any, text: bytes | None = None) -> EncodedRow:
    """`text`: its value as JSON, where that is known."""
    key = _key(kind, name)
    if is_deletion(kind, value):
        return EncodedRow(bucket_of(name), key, b"")
    record = b"%b%d,%b]" % (key, index, _encode(value) if text is None else text)
    return EncodedRow(bucket_of(name), key, record)


@dataclass
class CommittedRows:
    """Rows by kind and name, each with the log index of the entry that it comes from."""

    buckets: dict[int, bytes] = field(default_factory=dict)
    count: int = 0
    checksum: int = 0

    @classmethod
    def of(cls, rows: Iterable[tuple[str, str, int, Any]]) -> CommittedRows:
        held = cls()
        held.join(
            (bucket_of(name), _record(_encode(kind), _encode(name), index, _encode(value)))
            for kind, name, index, value in rows
        )
        return held

    def join(self, records: Iterable[tuple[int, bytes]]) -> None:
        """Many rows at once, each as its bucket and its line; no name stands there twice, or is held."""
        found: dict[int, list[bytes]] = {}
        for bucket, record in records:
            found.setdefault(bucket, []).append(record)
            self.count += 1
            self.checksum += crc32(record)
        for bucket, lines in found.items():
            self.buckets[bucket] = self.buckets.get(bucket, b"") + b"".join(lines)

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[tuple[str, str, int, Any]]:
        for bucket in sorted(self.buckets):
            for row in self.in_bucket(bucket):
                yield row.kind, row.name, row.index, row.value

    def get(self, kind: str, name: str) -> tuple[int, Any] | None:
        blob = self.buckets.get(bucket_of(name), b"")
        start, end = _span(blob, _key(kind, name))
        if start < 0:
            return None
        row = _decode(blob[start + 1 : end])
        return row.index, row.value

    def set(self, kind: str, name: str, index: int, value: Any) -> None:
        """A value of None drops the row, where its kind knows deletions."""
        self.put(encoded_row(kind, name, index, value))

    def put(self, row: EncodedRow) -> None:
        """In the place of the row of that kind and name, if there is one."""
        blob = self.buckets.get(row.bucket, b"")
        start, end = _span(blob, row.key)
        if start >= 0:
            self.checksum -= crc32(blob[start:end])
            self.count -= 1
            blob = blob[:start] + blob[end:]
        if row.record:
            self.checksum += crc32(row.record)
            self.count += 1
            blob += row.record
        if blob:
            self.buckets[row.bucket] = blob
        else:
            self.buckets.pop(row.bucket, None)

    def in_bucket(self, bucket: int) -> list[CommittedRow]:
        return [_decode(line) for line in self.buckets.get(bucket, b"").split(b"\n")[1:]]

    def old_names(self, bucket: int, kind: str, index: int) -> list[str]:
        """The names of that kind whose rows are not newer than that index."""
        blob = self.buckets.get(bucket)
        if blob is None:
            return []
        begin = b"[%b," % _encode(kind)
        found = []
        for line in blob.split(b"\n")[1:]:
            if line.startswith(begin):
                row = _decode(line)
                if row.index <= index:
                    found.append(row.name)
        return found

    def clear(self) -> None:
        self.buckets.clear()
        self.count = self.checksum = 0


def _span(blob: bytes, key: bytes) -> tuple[int, int]:
    """Where that row's line stands; -1 where there is none.  JSON has no bare line feed: it begins a row."""
    start = blob.find(key)
    if start < 0:
        return -1, -1
    end = blob.find(b"\n", start + 1)
    return start, end if end >= 0 else len(blob)


@dataclass
class State:
    """All that is committed: every row, and again those that followers get."""

    index: int = 0
    rows: CommittedRows = field(default_factory=CommittedRows)
    public: CommittedRows = field(default_factory=CommittedRows)
    published: dict[Name, tuple[int, Any]] = field(default_factory=dict)  # the public rows, decoded
    keys: int = 0
    public_index: int = -1  # of the last public row

    def set(self, index: int, row: Row, text: bytes | None = None) -> None:
        """`text`: the row's value as JSON, where that is known."""
        kind, name, value = row
        before = self.rows.count
        encoded = encoded_row(kind, name, index, value, text)
        self.rows.put(encoded)
        if kind == KEY:
            self.keys += self.rows.count - before
        elif kind in PUBLIC_KINDS:
            self.public.put(encoded)
            self._publish(kind, name, index, value)

    def _publish(self, kind: str, name: str, index: int, value: Any) -> None:
        self.published[kind, name] = (index, value)
        self.public_index = max(self.public_index, index)

    def clear(self) -> None:
        self.index = self.keys = 0
        self.public_index = -1
        self.rows.clear()
        self.public.clear()
        self.published.clear()


def state_of(index: int, rows: Iterable[tuple[str, str, int, Any]]) -> State:
    if isinstance(rows, LoadedRows):
        state = State(index, rows.rows, keys=rows.keys)
        public = [row for row in rows.others if row[0] in PUBLIC_KINDS]
    else:
        held = list(rows)
        public = [row for row in held if row[0] in PUBLIC_KINDS]
        state = State(index, CommittedRows.of(held), keys=sum(row[0] == KEY for row in held))
    for kind, name, at, value in public:
        state.public.set(kind, name, at, value)
        state._publish(kind, name, at, value)
    return state


@dataclass
class LoadedRows:
    """What a disk held at the start, built beside the loop; it reads as its rows."""

    rows: CommittedRows
    others: list[tuple[str, str, int, Any]]  # all that are no keys
    keys: int

    def record(self, kind: bytes, name: bytes, index: int, value: bytes) -> tuple[int, bytes]:
        """The bucket and the line of a row as it is on disk: kind and name as text, the value as JSON."""
        self.keys += kind == b"key"
        return crc32(name) % BUCKETS, _record(_encode(kind.decode()), _encode(name.decode()), index, value)

    def __iter__(self) -> Iterator[tuple[str, str, int, Any]]:
        return iter(self.rows)


class LatestRows(Mapping[Name, tuple[int, Any]]):
    """The committed rows with those laid over them that are not committed yet; each with its index."""

    def __init__(self, state: State, overlay: Mapping[Name, tuple[int, Any]]) -> None:
        self._state, self._overlay = state, overlay

    def __getitem__(self, name: Name) -> tuple[int, Any]:
        held = self._overlay.get(name)
        if held is None:
            held = self._state.rows.get(*name)
        if held is None or is_deletion(name[0], held[1]):
            raise KeyError(name)
        return held

    def __iter__(self) -> Iterator[Name]:
        for kind, name, _, _ in self._state.rows:
            if (kind, name) not in self._overlay:
                yield kind, name
        for (kind, name), held in self._overlay.items():
            if not is_deletion(kind, held[1]):
                yield kind, name

    def __len__(self) -> int:
        committed = sum(self._state.rows.get(*name) is not None for name in self._overlay)
        uncommitted = sum(not is_deletion(kind, held[1]) for (kind, _), held in self._overlay.items())
        return self._state.rows.count - committed + uncommitted
