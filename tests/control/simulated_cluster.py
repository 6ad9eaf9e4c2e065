"""Control replicas in simulated time, with links, disks and faults drawn from a seed.

The production state machines run unchanged.  A disk keeps every completed write; writes in flight are lost
with the power.  A link keeps the order of its messages; a cut link loses them; a held link queues them, and
they arrive together when it is released.

At every step of every run, each replica that serves followers is checked: any view that was agreed `LEASE_US`
ago or earlier must be in force there, and a follower that stopped at an earlier public row must get all later
ones.
"""

from __future__ import annotations

import heapq
import random
import shutil
from collections import deque
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec

from brackengate.control.actions import (
    Action,
    Answer,
    Continue,
    Deliver,
    Publish,
    ResetFollowers,
    Send,
    Store,
)
from brackengate.control.chain import Chain
from brackengate.control.commands import GIVE_UP_AFTER_US
from brackengate.control.failure_detector import LEASE_US
from brackengate.control.replica import FIRST_INCARNATION, Replica, StoredState
from brackengate.control.store import DATABASE_NAME, open_disk
from brackengate.model_check.disk import DiskState
from brackengate.protocol.messages import Command, Message
from standins.mesh import spoil

TICK, NET, SYNC = 50_000, 900, 600
FOLLOWER_INDEXES = 16  # at which followers are assumed to have stopped: those of the last public rows
WINDOW = 60_000_000
_decode = msgspec.json.Decoder(Message).decode


def lacked_rows(chain: Chain, stopped_at: int) -> set[tuple[str, str]]:
    """The public rows after this index that a follower which stopped there is not sent."""
    changes = chain.changes_since(stopped_at)
    if changes is None:
        return set()  # it gets a copy
    sent = {(kind, name) for kind, name, _ in changes.rows}
    return {name for name, (index, _) in chain.published.items() if stopped_at < index} - sent


class FileState:
    """A disk backed by real files.  Each new process opens a copy of the folder that the last one left."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.incarnations = folder, 0

    @property
    def here(self) -> Path:
        return self.folder / str(self.incarnations)

    def open(self, first: bool) -> None:
        left = self.here
        self.incarnations += 1
        if left.exists():
            shutil.copytree(left, self.here)
        self._disk, self._kept = open_disk(str(self.here), first)

    def stored_state(self) -> StoredState:
        return self._kept

    def write(self, store: Store) -> None:
        self._disk.write([store])

    def damage(self, what: bytes) -> None:
        """Corrupts these bytes in the write-ahead log, or else in the database file."""
        assert any(spoil(self.here / name, what) for name in (f"{DATABASE_NAME}-wal", DATABASE_NAME)), what


class Host:
    """One machine of the cluster, whose disk outlives its process."""

    def __init__(self, cluster: SimulatedCluster, name: str) -> None:
        self.cluster, self.name = cluster, name
        self.disk: DiskState | FileState = cluster.disk(name)
        self.generation = 0
        self.replica: Replica | None = None
        self.stalled_until = self.frozen_until = 0
        self.answers: dict[int, Any] = {}
        self.pending_callbacks: dict[int, Callable[[Any], None]] = {}
        self.published: list[tuple[int, tuple[Any, ...]]] = []
        self.follower_fetch_us: int | None = 0  # time to fetch a large order; None: never
        self.staged: list[tuple[int, str]] = []  # deliveries: start time and order id
        self._queue: list[Store] = []
        self._writing = False
        self._offers_checked: tuple[int, int, int] | None = None  # epoch, generation and public index

    def start(self, first: bool = False) -> None:
        self.generation += 1
        if isinstance(self.disk, FileState):
            self.disk.open(first)
        elif not self.disk.incarnation:
            self.disk.incarnation = FIRST_INCARNATION if first else f"disk{self.cluster.rng.getrandbits(40)}"
        cluster = self.cluster
        self.replica = Replica(
            self.name,
            "",
            self.disk.stored_state(),
            cluster.seeds,
            first,
            cluster.min_replicas,
            WINDOW,
            cluster.now,
        )
        self._queue, self._writing, self.pending_callbacks = [], False, {}
        cluster.connect(self)
        self.do(self.replica.start(cluster.now))
        self._tick(self.generation)

    def stop(self, wipe: bool = False, damage: str = "") -> None:
        """Stops the process.  `wipe`: its disk is lost; `damage`: bytes to corrupt in the database file."""
        self.generation += 1
        self.replica = None
        if wipe:
            self.disk = DiskState()
        if damage:
            assert isinstance(self.disk, FileState)
            self.disk.damage(damage.encode())

    def ask(self, what: Command, done: Callable[[Any], None], give_up_after: int = GIVE_UP_AFTER_US) -> int:
        number = self.cluster.number()
        if self.replica is not None:
            self.pending_callbacks[number] = done
            self.do(self.replica.submit_command(what, number, self.cluster.now, give_up_after))
        return number

    def withdraw(self, number: int) -> None:
        if self.pending_callbacks.pop(number, None) is not None and self.replica is not None:
            self.replica.withdraw(number)

    def _tick(self, generation: int) -> None:
        if generation == self.generation and self.replica is not None:
            if self.cluster.now >= self.frozen_until:
                slow = self._writing and self.cluster.now < self.stalled_until
                self.replica.set_disk_healthy(not slow)
                self.do(self.replica.tick(self.cluster.now))
                self.assert_serves_current()
            self.cluster.later(TICK, lambda: self._tick(generation))

    def hear(self, addr: str, line: bytes) -> None:
        if self.replica is not None:
            if self.cluster.now < self.frozen_until:
                self.cluster.later(self.frozen_until - self.cluster.now + 1, lambda: self.hear(addr, line))
                return
            self.do(self.replica.on_message(addr, _decode(line), self.cluster.now))
            self.assert_serves_current()

    def assert_serves_current(self) -> None:
        """Checks that a replica that serves followers is not behind by more than a lease."""
        replica, cluster = self.replica, self.cluster
        if replica is None:
            return
        epoch = replica.agreement.view.epoch
        cluster.agreed.setdefault(epoch, cluster.now)
        if replica.serves(cluster.now):
            cluster.served[self.name] = cluster.now
            newer = [since for other, since in cluster.agreed.items() if other > epoch]
            assert all(
                cluster.now - since <= LEASE_US for since in newer
            ), f"{cluster.now} us: {self.name} serves by view {epoch}; agreed: {cluster.agreed}"
            self._assert_offers_every_change(replica.chain)

    def _assert_offers_every_change(self, chain: Chain) -> None:
        """Checks that no follower is told a newer index without a row that it lacks."""
        state = (chain.view.epoch, chain.generation, chain.public_index)
        if state == self._offers_checked:
            return
        self._offers_checked = state
        stops = self.cluster.public_indexes
        if chain.public_index not in stops:
            stops.append(chain.public_index)
        for stopped_at in stops:
            lacks = lacked_rows(chain, stopped_at)
            assert not lacks, f"{self.cluster.now} us: {self.name} skips {lacks} after index {stopped_at}"

    def do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(addr, message):
                    line = msgspec.json.encode(message)
                    if addr == self.name:
                        self.cluster.later(
                            0, lambda line=line, generation=self.generation: self._self(line, generation)
                        )
                    else:
                        self.cluster.send(self, addr, line)
                case Store():
                    self._queue.append(action)
                case Answer(number, result):
                    done = self.pending_callbacks.pop(number, None)
                    if done is not None:
                        done(result)
                case Publish(index, rows):
                    self.published.append((index, rows))
                case ResetFollowers():
                    self.published.append((-1, ()))
                case Continue():
                    self.cluster.later(0, lambda generation=self.generation: self._proceed(generation))
                case Deliver(order):
                    self.staged.append((self.cluster.now, order.id))
                    if self.follower_fetch_us is not None:
                        self.cluster.later(
                            self.follower_fetch_us,
                            lambda id_=order.id, generation=self.generation: self._delivered(id_, generation),
                        )
        if self._queue and not self._writing:
            self._writing = True
            batch, self._queue = self._queue, []
            wait = max(self.cluster.now, self.stalled_until, self.frozen_until) - self.cluster.now + SYNC
            self.cluster.later(wait, lambda generation=self.generation: self._written(batch, generation))

    def _proceed(self, generation: int) -> None:
        if self.cluster.now < self.frozen_until:
            self.cluster.later(self.frozen_until - self.cluster.now + 1, lambda: self._proceed(generation))
        elif generation == self.generation and self.replica is not None:
            self.do(self.replica.run_slice(self.cluster.now))

    def _delivered(self, id_: str, generation: int) -> None:
        if generation == self.generation and self.replica is not None:
            self.do(self.replica.on_delivered(id_, self.cluster.now))

    def _self(self, line: bytes, generation: int) -> None:
        if generation == self.generation:
            self.hear(self.name, line)

    def _written(self, batch: list[Store], generation: int) -> None:
        if generation != self.generation or self.replica is None:
            return
        out: list[Action] = []
        for store in batch:
            self.disk.write(store)
        self._writing = False
        for store in batch:
            out += store.sends
            if store.index >= 0:
                out += self.replica.on_stored(store.index, store.generation)
        self.do(out)


class SimulatedCluster:
    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        min_replicas: int = 2,
        seeds: int = 3,
        folder: Path | None = None,
        absent: Iterable[str] = (),
    ) -> None:
        """`folder`: use real files there as disks.  `absent`: hosts that are not started at the beginning."""
        self.disk: Callable[[str], DiskState | FileState] = lambda name: (
            DiskState() if folder is None else FileState(folder / name.partition(":")[0])
        )
        self.rng, self.now, self.min_replicas = random.Random(seed), 0, min_replicas
        self.hosts = {name: Host(self, name) for name in names}
        self.seeds = list(self.hosts)[:seeds]
        self.cuts: set[tuple[str, str]] = set()
        self.agreed: dict[int, int] = {}  # epochs, and when each was first known
        self.public_indexes: deque[int] = deque(maxlen=FOLLOWER_INDEXES)
        self.served: dict[str, int] = {}  # the last time at which each host could serve followers
        self.holds: set[tuple[str, str]] = set()  # links whose messages are queued
        self._queues: list[tuple[Host, str, bytes, int]] = []  # with the link generation
        self._held: dict[
            tuple[str, str], int
        ] = {}  # generation of each link: messages of an older one are lost
        self._due: dict[tuple[str, str], int] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        absent = set(absent)
        for host in self.hosts.values():
            late = self.rng.randrange(300_000)
            if host.name not in absent:
                self.later(late, lambda host=host: host.start(first=True))

    def number(self) -> int:
        self._count += 1
        return self._count

    def later(self, delay: int, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + max(0, delay), self.number(), what))

    def run(self, until: int) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = until

    # --- links

    def send(self, host: Host, addr: str, line: bytes) -> None:
        if addr not in self.hosts or (host.name, addr) in self.cuts:
            return
        pair = (host.name, addr)
        generation = self._held.setdefault(pair, 0)
        if pair in self.holds:
            self._queues.append((host, addr, line, generation))
            return
        due = max(self.now + NET + self.rng.randrange(200), self._due.get(pair, 0) + 1)
        self._due[pair] = due
        self.later(due - self.now, lambda: self._arrive(host, addr, line, pair, generation))

    def _arrive(self, host: Host, addr: str, line: bytes, pair: tuple[str, str], generation: int) -> None:
        if pair not in self.cuts and self._held[pair] == generation:
            there = self.hosts[addr]
            if there.replica is None and host.replica is not None:
                host.do(host.replica.on_connection_refused(addr, self.now))
            else:
                there.hear(host.name, line)

    def connect(self, host: Host) -> None:
        """Reconnects a host after a start or a heal: messages in flight are lost on all its links."""
        for other in self.hosts.values():
            for one, two in ((host, other), (other, host)):
                pair = (one.name, two.name)
                self._held[pair] = self._held.get(pair, 0) + 1
            if other.replica is not None and other is not host:
                self.later(NET, lambda other=other: self._met(host, other))

    def _met(self, one: Host, two: Host) -> None:
        for here, there in ((one, two), (two, one)):
            if here.replica is not None and there.replica is not None:
                here.replica.add_peer(there.name, self.now)
                here.do(here.replica.on_reconnected(there.name, self.now))

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.cuts.update(pairs)

    def hold(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.holds.update(pairs)

    def release(self) -> None:
        """Delivers all queued messages together, each link's in their order."""
        queues, self._queues = self._queues, []
        self.holds.clear()
        for host, addr, line, generation in queues:
            pair = (host.name, addr)
            if generation == self._held[pair]:
                due = self._due[pair] = max(self.now + NET, self._due.get(pair, 0))
                self.later(
                    due - self.now,
                    lambda host=host, addr=addr, line=line, pair=pair, generation=generation: self._arrive(
                        host, addr, line, pair, generation
                    ),
                )

    def heal(self) -> None:
        self.release()
        touched = {name for pair in self.cuts for name in pair}
        self.cuts.clear()
        for name in touched:
            self.connect(self.hosts[name])

    # --- inspection

    def views(self) -> dict[str, Any]:
        return {
            name: host.replica.agreement.view for name, host in self.hosts.items() if host.replica is not None
        }
