"""The committed rows in memory, compact and in an order that all replicas share.  Pure.

A row is kept as one line of JSON, `["kind","name",index,value]`, together with the other rows of its bucket.
The bucket is a hash of the name, so that "all rows of the buckets below n" means the same on every replica: a
copy iterates over the buckets and needs no sorting, no second index and no consistent cut of all rows at
once.  A million rows cost some hundred bytes each, a tenth of what they cost as objects.

The checksum is a sum over the rows, independent of their order, and is updated with each change.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

import msgspec

from brackengate.protocol.messages import PUBLIC_KINDS, CommittedRow, Row

BUCKETS = 1 << 14
KEY_KIND = "key"
Name = tuple[str, str]  # kind, name

_encode = msgspec.json.Encoder().encode
_decode: Callable[[bytes], CommittedRow] = msgspec.json.Decoder(CommittedRow).decode


def bucket_of(name: str) -> int:
    """The bucket of a row with this name."""
    return crc32(name.encode()) % BUCKETS


def is_deletion(kind: str, value: Any) -> bool:
    """Whether the value deletes the row.  Public rows stay, with value None: followers must be notified."""
    return value is None and kind not in PUBLIC_KINDS


def _record(kind: bytes, name: bytes, index: int, value: bytes) -> bytes:
    """The line of a row whose kind, name and value are already JSON."""
    return b"\n[%b,%b,%d,%b]" % (kind, name, index, value)


def _key(kind: str, name: str) -> bytes:
    """The prefix of the row's line, which no other row's line has."""
    return b"\n[%b,%b," % (_encode(kind), _encode(name))


@dataclass(frozen=True, slots=True)
class EncodedRow:
    """A row in memory format.  `key`: the prefix of its line; `record`: the line, empty for a deletion."""

    bucket: int
    key: bytes
    record: bytes


def encoded_row(kind: str, name: str, index: int, value: Any, value_json: bytes | None = None) -> EncodedRow:
    """Encodes a row.  `value_json`: its value as JSON, if already encoded."""
    key = _key(kind, name)
    if is_deletion(kind, value):
        return EncodedRow(bucket_of(name), key, b"")
    record = b"%b%d,%b]" % (key, index, _encode(value) if value_json is None else value_json)
    return EncodedRow(bucket_of(name), key, record)


@dataclass
class CommittedRows:
    """Rows by kind and name, each with the log index of the entry that it comes from."""

    buckets: dict[int, bytes] = field(default_factory=dict)
    count: int = 0
    checksum: int = 0

    @classmethod
    def of(cls, rows: Iterable[tuple[str, str, int, Any]]) -> CommittedRows:
        """Rows given as kind, name, index and value."""
        held = cls()
        held.add_records(
            (bucket_of(name), _record(_encode(kind), _encode(name), index, _encode(value)))
            for kind, name, index, value in rows
        )
        return held

    def add_records(self, records: Iterable[tuple[int, bytes]]) -> None:
        """Adds many rows, each given as bucket and line.  No row may occur twice or be held already."""
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
        """The row's index and value, or None."""
        blob = self.buckets.get(bucket_of(name), b"")
        start, end = _span(blob, _key(kind, name))
        if start < 0:
            return None
        row = _decode(blob[start + 1 : end])
        return row.index, row.value

    def set(self, kind: str, name: str, index: int, value: Any) -> None:
        """Sets a row; a value of None deletes it unless its kind is public."""
        self.put(encoded_row(kind, name, index, value))

    def put(self, row: EncodedRow) -> None:
        """Adds a row, or replaces the row of the same kind and name."""
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
        """All rows of a bucket, decoded."""
        return [_decode(line) for line in self.buckets.get(bucket, b"").split(b"\n")[1:]]

    def names_up_to(self, bucket: int, kind: str, index: int) -> list[str]:
        """The names of the bucket's rows of this kind with an index up to `index`."""
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
    """Start and end of the row's line; -1 if there is none.  JSON has no raw line feed: each starts a row."""
    start = blob.find(key)
    if start < 0:
        return -1, -1
    end = blob.find(b"\n", start + 1)
    return start, end if end >= 0 else len(blob)


@dataclass
class CommittedState:
    """The committed state: all rows, and a second copy of the public rows for followers."""

    index: int = 0
    rows: CommittedRows = field(default_factory=CommittedRows)
    public: CommittedRows = field(default_factory=CommittedRows)
    published: dict[Name, tuple[int, Any]] = field(default_factory=dict)  # the public rows, decoded
    keys: int = 0  # number of rows of kind `key`
    public_index: int = -1  # of the last public row

    def set(self, index: int, row: Row, value_json: bytes | None = None) -> None:
        """Sets a committed row.  `value_json`: its value as JSON, if already encoded."""
        kind, name, value = row
        before = self.rows.count
        encoded = encoded_row(kind, name, index, value, value_json)
        self.rows.put(encoded)
        if kind == KEY_KIND:
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


def committed_state(index: int, rows: Iterable[tuple[str, str, int, Any]]) -> CommittedState:
    """The state that these rows (kind, name, index, value) make up at a log index."""
    if isinstance(rows, LoadedRows):
        state = CommittedState(index, rows.rows, keys=rows.keys)
        public = [row for row in rows.others if row[0] in PUBLIC_KINDS]
    else:
        held = list(rows)
        public = [row for row in held if row[0] in PUBLIC_KINDS]
        state = CommittedState(index, CommittedRows.of(held), keys=sum(row[0] == KEY_KIND for row in held))
    for kind, name, at, value in public:
        state.public.set(kind, name, at, value)
        state._publish(kind, name, at, value)
    return state


@dataclass
class LoadedRows:
    """The rows of a disk at the start, built outside the event loop; iterates over them."""

    rows: CommittedRows
    others: list[tuple[str, str, int, Any]]  # all rows that are not of kind `key`
    keys: int  # number of rows of kind `key`

    def record(self, kind: bytes, name: bytes, index: int, value: bytes) -> tuple[int, bytes]:
        """Bucket and line of a row from disk, with kind and name as text and the value as JSON."""
        self.keys += kind == b"key"
        return crc32(name) % BUCKETS, _record(_encode(kind.decode()), _encode(name.decode()), index, value)

    def __iter__(self) -> Iterator[tuple[str, str, int, Any]]:
        return iter(self.rows)


class LatestRows(Mapping[Name, tuple[int, Any]]):
    """The committed rows overlaid with the uncommitted ones, each as index and value."""

    def __init__(self, state: CommittedState, overlay: Mapping[Name, tuple[int, Any]]) -> None:
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
