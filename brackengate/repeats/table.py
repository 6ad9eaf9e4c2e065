"""What is known of keyed requests: running, answered, or failed and may have run.  Pure.

A repeat is known by its whole identity (tenant, client, class, key) and must have the first one's digest.
Memory is bounded in bytes by tenant; under pressure the oldest finished entry of that tenant is forgotten, a
running one never.  What is forgotten is executed again; what is kept is never given to anybody else.

The conventions of the draft for the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header, 2.7):
the same key with another body is 422, and a repeat that cannot wait for the first is 409.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum

from brackengate.interface import EarlierAttempt

OVERHEAD = 600  # bytes that an entry takes beside its key and its answer
MAX_KEY = 1024  # bytes; requests with longer keys are not tracked


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose request it is, and which."""

    tenant: str
    client: str
    class_name: str
    key: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    body: bytes
    content_type: bytes


@dataclass(frozen=True, slots=True)
class Bounds:
    """Sizes in bytes, times in microseconds."""

    bytes: int = 8 << 20
    max_answer: int = 64 << 10  # larger ones are not kept, but their key is
    keep: int = 10_000_000  # from the answer on; longer than upstreams remember keys
    waiters: int = 64  # that may join one request


# --- decisions


@dataclass(frozen=True, slots=True)
class Lead:
    """It goes on as a request of its own.  `earlier`: where one before may have run; only there it goes."""

    earlier: tuple[EarlierAttempt, ...] = ()


@dataclass(frozen=True, slots=True)
class Pass:
    """It goes on and nothing is kept of it: there is no room."""


@dataclass(frozen=True, slots=True)
class Join:
    """It waits for the answer of the one that runs."""

    leader: str


@dataclass(frozen=True, slots=True)
class Replay:
    answer: Answer


class Turned(Enum):
    MISMATCH = "mismatch"  # the key came with another body
    BUSY = "busy"  # too many wait already
    UNKNOWN = "unknown"  # it may have run, and can't be asked any more


Decision = Lead | Pass | Join | Replay | Turned


class State(Enum):
    RUNNING = "running"
    ANSWERED = "answered"
    MAYBE = "maybe"


@dataclass(slots=True, eq=False)
class Entry:
    identity: Identity
    digest: bytes
    bucket: str
    weight: int
    state: State = State.RUNNING
    leader: str = ""
    waiters: int = 0
    answer: Answer | None = None
    ran: tuple[EarlierAttempt, ...] = ()
    until: int = 0  # when it is forgotten, once finished


@dataclass(slots=True)
class _Bucket:
    """One tenant's part."""

    weight: int = 0
    finished: OrderedDict[Identity, None] = field(default_factory=OrderedDict)  # the oldest first


class Table:
    def __init__(self, bounds: Bounds, secret: bytes, tenants: Collection[str] = ()) -> None:
        """`secret`: 16 bytes or more, new with each process: digests cannot be made to collide."""
        self.bounds, self._secret = bounds, secret
        self._tenants = frozenset(tenants)
        self._part = bounds.bytes // (len(self._tenants) + 1)
        self._entries: dict[Identity, Entry] = {}
        self._buckets: dict[str, _Bucket] = {}
        self.counters: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._entries)

    def size(self) -> int:
        """Bytes, as counted."""
        return sum(bucket.weight for bucket in self._buckets.values())

    def digest(self, method: bytes, path: bytes, body: bytes) -> bytes:
        hashed = hashlib.blake2b(key=self._secret[:64], digest_size=16)
        hashed.update(b"%d %d " % (len(method), len(path)))
        hashed.update(method)
        hashed.update(path)
        hashed.update(body)
        return hashed.digest()

    def arrive(self, now: int, identity: Identity, digest: bytes, request: str, key_memory: int) -> Decision:
        """A keyed request has come.  `key_memory`: how long its class's upstreams drop repeats."""
        self._expire(now, self._bucket_of(identity))
        entry = self._entries.get(identity)
        if entry is None:
            return self._begin(identity, digest, request)
        if entry.digest != digest:
            self.counters["mismatched"] += 1
            return Turned.MISMATCH
        if entry.state is State.RUNNING:
            if entry.waiters >= self.bounds.waiters:
                self.counters["busy"] += 1
                return Turned.BUSY
            entry.waiters += 1
            self.counters["joined"] += 1
            return Join(entry.leader)
        if entry.answer is not None:
            self.counters["replayed"] += 1
            return Replay(entry.answer)
        # It may have run, and its answer is not here.  Where it ran it is dropped as a repeat, for a while.
        if not entry.ran or any(now - earlier.sent_at >= key_memory for earlier in entry.ran):
            self.counters["unknown"] += 1
            return Turned.UNKNOWN
        self.counters["narrowed"] += 1
        self._buckets[entry.bucket].finished.pop(identity, None)
        entry.state, entry.leader = State.RUNNING, request
        return Lead(entry.ran)

    def left(self, identity: Identity, request: str) -> None:
        """One that had joined waits no more."""
        entry = self._entries.get(identity)
        if entry is not None and entry.state is State.RUNNING and entry.leader != request:
            entry.waiters = max(0, entry.waiters - 1)

    def led_by(self, identity: Identity, old: str, new: str) -> bool:
        """Another that had joined goes on in the leader's place; False where the leader leads no more."""
        entry = self._entries.get(identity)
        if entry is None or entry.state is not State.RUNNING or entry.leader != old:
            return False
        entry.leader, entry.waiters = new, max(0, entry.waiters - 1)
        return True

    def answered(self, now: int, identity: Identity, request: str, answer: Answer) -> None:
        """The leader has its answer; where it is too large to keep, that it ran is kept."""
        entry = self._running(identity, request)
        if entry is None:
            return
        size = len(answer.body) + len(answer.content_type)
        if size <= self.bounds.max_answer:
            entry.answer = answer
            self._grow(entry, size)
        else:
            self.counters["answers_not_kept"] += 1
        self._finish(now, entry, State.ANSWERED)

    def may_have_run(
        self, now: int, identity: Identity, request: str, ran: tuple[EarlierAttempt, ...]
    ) -> None:
        """The leader failed, and may have run at these places."""
        entry = self._running(identity, request)
        if entry is not None:
            entry.ran = (*entry.ran, *ran)[-8:]
            self._finish(now, entry, State.MAYBE)

    def never_ran(self, now: int, identity: Identity, request: str) -> None:
        """The leader was refused, or no upstream had it: forgotten, unless an earlier one may have run."""
        entry = self._running(identity, request)
        if entry is None:
            return
        if entry.ran:
            self._finish(now, entry, State.MAYBE)
        else:
            self._drop(entry)

    def ran_at(self, identity: Identity, request: str, ran: tuple[EarlierAttempt, ...]) -> None:
        """Where the leader may have run, before its end: for one that goes on in its place."""
        entry = self._running(identity, request)
        if entry is not None:
            entry.ran = (*entry.ran, *ran)[-8:]

    # --- for the journal

    def finished(self) -> list[tuple[Entry, int]]:
        """What would be lost with the process, and until when it is of use."""
        return [(e, e.until) for e in self._entries.values() if e.state is not State.RUNNING]

    def restore(self, now: int, identity: Identity, digest: bytes, answer: Answer | None, until: int) -> bool:
        """An entry of an earlier process.  Where it ran is not known: without an answer it stays unknown."""
        if until <= now or identity in self._entries:
            return False
        if not isinstance(self._begin(identity, digest, ""), Lead):
            return False
        entry = self._entries[identity]
        if answer is not None:
            entry.answer = answer
            self._grow(entry, len(answer.body) + len(answer.content_type))
        self._finish(now, entry, State.ANSWERED if answer is not None else State.MAYBE)
        entry.until = until
        return True

    # --- room

    def _bucket_of(self, identity: Identity) -> str:
        return identity.tenant if identity.tenant in self._tenants else ""

    def _begin(self, identity: Identity, digest: bytes, request: str) -> Decision:
        bucket = self._bucket_of(identity)
        texts = len(identity.tenant) + len(identity.client) + len(identity.class_name)
        weight = OVERHEAD + 2 * len(identity.key) + 2 * texts
        if len(identity.key) > MAX_KEY or not self._make_room(bucket, weight):
            self.counters["untracked"] += 1
            return Pass()
        self._entries[identity] = Entry(identity, digest, bucket, weight, leader=request)
        self._buckets[bucket].weight += weight
        self.counters["first"] += 1
        return Lead()

    def _make_room(self, bucket: str, weight: int) -> bool:
        mine = self._buckets.setdefault(bucket, _Bucket())
        while mine.weight + weight > self._part and mine.finished:
            self._drop(self._entries[next(iter(mine.finished))])
            self.counters["forgotten"] += 1
        return mine.weight + weight <= self._part

    def _grow(self, entry: Entry, size: int) -> None:
        """An answer is kept only if it fits beside what runs."""
        if self._make_room(entry.bucket, size):
            entry.weight += size
            self._buckets[entry.bucket].weight += size
        else:
            entry.answer = None
            self.counters["answers_not_kept"] += 1

    def _running(self, identity: Identity, request: str) -> Entry | None:
        entry = self._entries.get(identity)
        running = entry is not None and entry.state is State.RUNNING and entry.leader == request
        return entry if running else None

    def _finish(self, now: int, entry: Entry, state: State) -> None:
        entry.state, entry.waiters, entry.leader = state, 0, ""
        entry.until = now + self.bounds.keep
        self._buckets[entry.bucket].finished[entry.identity] = None

    def _expire(self, now: int, bucket: str) -> None:
        mine = self._buckets.get(bucket)
        while mine is not None and mine.finished:
            entry = self._entries[next(iter(mine.finished))]
            if entry.until > now:
                return
            self._drop(entry)
            self.counters["expired"] += 1

    def _drop(self, entry: Entry) -> None:
        del self._entries[entry.identity]
        bucket = self._buckets[entry.bucket]
        bucket.weight -= entry.weight
        bucket.finished.pop(entry.identity, None)
