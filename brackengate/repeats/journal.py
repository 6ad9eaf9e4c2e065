"""Keys and outcomes on a lasting disk, so that a restart does not forget what was answered.

A file of records, each with a mark, its length and a CRC-32; a torn tail is cut off, a corrupt record is
stepped over to the next mark that holds.  The digests' secret stands in the first record, so the file is its
owner's alone.  Writing never holds a request: records are put together in memory and written by a thread.
With `sync` a record is on the disk some `every_s` after its answer, and what a crash of the machine loses is
that much.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import struct
import time
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from brackengate.repeats.table import Answer, Identity, Table

log = logging.getLogger(__name__)

MARK = b"\xb5\x9a"
_HEAD = struct.Struct("<2sII")  # mark, length, CRC-32 of the payload
MAX_RECORD = 4 << 20
MAX_WAITING = 16 << 20  # bytes that wait for a slow disk; beyond it records are dropped and counted
SECRET_BYTES = 32


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One finished request; `until` is Unix time in microseconds."""

    tenant: str
    client: str
    class_name: str
    key: bytes
    digest: bytes
    until: int
    body: bytes | None
    content_type: bytes


_RECORDS: msgspec.msgpack.Decoder[Record] = msgspec.msgpack.Decoder(Record)
_ENCODER = msgspec.msgpack.Encoder()


def frame(payload: bytes) -> bytes:
    return _HEAD.pack(MARK, len(payload), zlib.crc32(payload)) + payload


def payloads(data: bytes) -> Iterator[tuple[bytes, int, int]]:
    """Each payload that holds, where it ends, and how many marks before it did not hold."""
    position, skipped = 0, 0
    while True:
        found = data.find(MARK, position)
        if found < 0 or found + _HEAD.size > len(data):
            return
        _, length, crc = _HEAD.unpack_from(data, found)
        end = found + _HEAD.size + length
        payload = data[found + _HEAD.size : end]
        if length > MAX_RECORD or end > len(data) or zlib.crc32(payload) != crc:
            position = found + 1  # torn or corrupt, or a mark by chance: the next one may hold
            skipped += 1
            continue
        yield payload, end, skipped
        position, skipped = end, 0


@dataclass(slots=True)
class _Other:
    """A file of another process of the same slot: of one that has ended, or of one that is leaving."""

    path: Path
    offset: int = 0


class Journal:
    """One process's file, `NAME-PID.journal`; those of its predecessors are read, and go once unused.

    A successor starts while the one that it replaces still answers: that one's file is followed until its
    lock is free.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        keep_us: int,
        sync: bool = True,
        every_s: float = 0.05,
        max_bytes: int = 64 << 20,
    ) -> None:
        """`max_bytes`: of one file.  Past that it becomes the old one, and the old one before it goes."""
        self.path = folder / f"{name}-{os.getpid()}.journal"
        self._folder, self._name = folder, name
        self._keep_us, self._sync, self._every_s = keep_us, sync, every_s
        self._max_bytes, self._size = max_bytes, 0
        self.secret = os.urandom(SECRET_BYTES)
        self.recovered = self.corrupt = self.dropped = self.failed = self.written = 0
        self._others: list[_Other] = []
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._fd = -1
        self._tasks: list[asyncio.Task[None]] = []
        self._more = asyncio.Event()
        self._closing = False

    # --- what others left

    def read(self) -> list[Record]:
        """What earlier processes left; also their secret.  OSError where the folder cannot be read."""
        found = [p for p in self._folder.glob(f"{self._name}-*.*") if p.suffix in (".journal", ".old")]
        found.sort(key=lambda path: path.stat().st_mtime_ns)
        self._others = [_Other(path) for path in found if path != self.path]
        return [record for other in self._others for record in self._read_on(other)]

    def _read_on(self, other: _Other) -> list[Record]:
        """What has come since the last look.  A record that is not whole yet is left for the next."""
        try:
            with other.path.open("rb") as file:
                file.seek(other.offset)
                data = file.read()
        except OSError:
            return []
        records: list[Record] = []
        consumed = 0
        for payload, end, skipped in payloads(data):
            self.corrupt += skipped > 0
            if other.offset == consumed == 0 and len(payload) == SECRET_BYTES:
                self.secret = payload
            else:
                try:
                    records.append(_RECORDS.decode(payload))
                except msgspec.MsgspecError:
                    self.corrupt += 1
            consumed = end
        other.offset += consumed
        return records

    def fill(self, table: Table, records: Iterable[Record], now: int) -> None:
        """Put what is still of use into a table that was made with this journal's secret."""
        latest = {(r.tenant, r.client, r.class_name, r.key): r for r in records}
        for r in latest.values():
            identity = Identity(r.tenant, r.client, r.class_name, r.key)
            answer = None if r.body is None else Answer(r.body, r.content_type)
            self.recovered += table.restore(now, identity, r.digest, answer, r.until)

    async def _follow(self, table: Table, now: Callable[[], int]) -> None:
        while self._others and not self._closing:
            for other in list(self._others):
                over = _is_free(other.path)  # asked before the last look, so that nothing is missed
                records = self._read_on(other)
                self.fill(table, records, now())
                for record in records:
                    self._put(record)
                if over:
                    self._others.remove(other)
                    other.path.unlink(missing_ok=True)
            await asyncio.sleep(self._every_s)

    # --- what this one writes

    def start(self, table: Table, records: list[Record], now: Callable[[], int]) -> None:
        """Open the file with what is still of use in it, and go on."""
        self._fd = self._open()
        live = [frame(_ENCODER.encode(r)) for r in records if r.until > now()]
        self._write(b"".join(live))
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._run()), loop.create_task(self._follow(table, now))]

    def _open(self) -> int:
        fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.write(fd, frame(self.secret))
        return fd

    def keep(self, identity: Identity, digest: bytes, answer: Answer | None) -> None:
        until = time.time_ns() // 1000 + self._keep_us
        body, content_type = (None, b"") if answer is None else (answer.body, answer.content_type)
        who = (identity.tenant, identity.client, identity.class_name, identity.key)
        self._put(Record(*who, digest, until, body, content_type))

    def _put(self, record: Record) -> None:
        data = frame(_ENCODER.encode(record))
        if self._waiting_bytes + len(data) > MAX_WAITING:
            self.dropped += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        self._more.set()

    async def close(self) -> None:
        """Write what waits.  The file stays, for the next process."""
        self._closing = True
        self._more.set()
        for task in self._tasks:
            await task
        os.close(self._fd)

    async def _run(self) -> None:
        while True:
            await self._more.wait()
            self._more.clear()
            data, self._waiting, self._waiting_bytes = b"".join(self._waiting), [], 0
            if data:
                await asyncio.to_thread(self._write, data)
            if self._closing and not self._waiting:
                return
            if not self._closing:
                await asyncio.sleep(self._every_s)

    def _write(self, data: bytes) -> None:
        """On a full disk the fleet goes on; what was not written is counted."""
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(self._fd, view) :]
            if self._sync:
                os.fdatasync(self._fd)
            self.written += len(data)
            self._size += len(data)
            if self._size > self._max_bytes:
                self._turn()
        except OSError as error:
            self.failed += 1
            log.warning("the journal of repeats cannot be written: %s", error)

    def _turn(self) -> None:
        """Go on in a new file.  Two hold what is of use, unless more comes within `keep` than they take."""
        self.path.rename(self.path.with_suffix(".old"))
        old, self._fd = self._fd, self._open()
        os.close(old)
        self._size = 0

    def stats(self) -> dict[str, int]:
        names = ("recovered", "corrupt", "dropped", "failed", "written")
        return {f"journal.{name}": int(getattr(self, name)) for name in names}


def _is_free(path: Path) -> bool:
    """Whether nobody holds a file's lock: its writer has ended."""
    try:
        fd = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return True
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(fd)
    return True
