"""A core of lighthouses in simulated time: links, disks and faults drawn from a seed.  The deciders run as
they are.

A disk keeps what was stored whole; what was under way when power is lost is gone.  A link keeps the order of
its lines; a cut loses them; a link that is held keeps them, and they arrive together when it is released.

At every step of every run, whoever serves followers is checked: what was agreed by `LEASE` ago is in force
there.
"""

from __future__ import annotations

import heapq
import random
import shutil
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
    Restart,
    Store,
    Tell,
)
from brackengate.control.commands import GIVE_UP_AFTER
from brackengate.control.failure_detector import LEASE
from brackengate.control.replica import FIRST, Replica, StoredState
from brackengate.control.store import NAME, open_disk
from brackengate.model_check.disk import DiskState
from brackengate.protocol.messages import Command, Message
from standins.mesh import spoil

TICK, NET, SYNC = 50_000, 900, 600
WINDOW = 60_000_000
_decode = msgspec.json.Decoder(Message).decode


class FileState:
    """A disk that is a real store.  What a process leaves is copied to a folder of the next one's."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.lives = folder, 0

    @property
    def here(self) -> Path:
        return self.folder / str(self.lives)

    def open(self, first: bool) -> None:
        left = self.here
        self.lives += 1
        if left.exists():
            shutil.copytree(left, self.here)
        self._disk, self._kept = open_disk(str(self.here), first)

    def kept(self) -> StoredState:
        return self._kept

    def write(self, store: Store) -> None:
        self._disk.write([store])

    def damage(self, what: bytes) -> None:
        """In the log, else in the file."""
        assert any(spoil(self.here / name, what) for name in (f"{NAME}-wal", NAME)), what


class Host:
    """One machine of the core: its disk outlasts its process."""

    def __init__(self, core: Core, name: str) -> None:
        self.core, self.name = core, name
        self.disk: DiskState | FileState = core.disk(name)
        self.generation = 0
        self.replica: Replica | None = None
        self.stalled_until = self.frozen_until = 0
        self.answers: dict[int, Any] = {}
        self.asked: dict[int, Callable[[Any], None]] = {}
        self.published: list[tuple[int, tuple[Any, ...]]] = []
        self.followers_take: int | None = 0  # to fetch a large order; None: they never have it
        self.staged: list[tuple[int, str]] = []  # when its delivery began, and which
        self._queue: list[Store] = []
        self._writing = False

    def start(self, first: bool = False) -> None:
        self.generation += 1
        if isinstance(self.disk, FileState):
            self.disk.open(first)
        elif not self.disk.incarnation:
            self.disk.incarnation = FIRST if first else f"disk{self.core.rng.getrandbits(40)}"
        core = self.core
        self.replica = Replica(
            self.name, "", self.disk.kept(), core.seeds, first, core.min_replicas, WINDOW, core.now
        )
        self._queue, self._writing, self.asked = [], False, {}
        core.connect(self)
        self.do(self.replica.start(core.now))
        self._tick(self.generation)

    def stop(self, wipe: bool = False, damage: str = "") -> None:
        """`damage`: bytes in the disk's file that are found and spoilt."""
        self.generation += 1
        self.replica = None
        if wipe:
            self.disk = DiskState()
        if damage:
            assert isinstance(self.disk, FileState)
            self.disk.damage(damage.encode())

    def ask(self, what: Command, done: Callable[[Any], None], give_up_after: int = GIVE_UP_AFTER) -> int:
        number = self.core.number()
        if self.replica is not None:
            self.asked[number] = done
            self.do(self.replica.ask(what, number, self.core.now, give_up_after))
        return number

    def withdraw(self, number: int) -> None:
        if self.asked.pop(number, None) is not None and self.replica is not None:
            self.replica.withdraw(number)

    def _tick(self, generation: int) -> None:
        if generation == self.generation and self.replica is not None:
            if self.core.now >= self.frozen_until:
                slow = self._writing and self.core.now < self.stalled_until
                self.replica.set_disk_healthy(not slow)
                self.do(self.replica.tick(self.core.now))
                self.check_current()
            self.core.later(TICK, lambda: self._tick(generation))

    def hear(self, addr: str, line: bytes) -> None:
        if self.replica is not None:
            if self.core.now < self.frozen_until:
                self.core.later(self.frozen_until - self.core.now + 1, lambda: self.hear(addr, line))
                return
            self.do(self.replica.heard(addr, _decode(line), self.core.now))
            self.check_current()

    def check_current(self) -> None:
        """Nothing that claims to be current is older than a lease."""
        replica, core = self.replica, self.core
        if replica is None:
            return
        epoch = replica.agreement.view.epoch
        core.agreed.setdefault(epoch, core.now)
        if replica.serves(core.now):
            core.served[self.name] = core.now
            newer = [since for other, since in core.agreed.items() if other > epoch]
            assert all(
                core.now - since <= LEASE for since in newer
            ), f"{core.now} us: {self.name} serves by view {epoch}; agreed: {core.agreed}"

    def do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Tell(addr, word):
                    line = msgspec.json.encode(word)
                    if addr == self.name:
                        self.core.later(
                            0, lambda line=line, generation=self.generation: self._self(line, generation)
                        )
                    else:
                        self.core.send(self, addr, line)
                case Store():
                    self._queue.append(action)
                case Answer(number, result):
                    done = self.asked.pop(number, None)
                    if done is not None:
                        done(result)
                case Publish(index, rows):
                    self.published.append((index, rows))
                case Restart():
                    self.published.append((-1, ()))
                case Continue():
                    self.core.later(0, lambda generation=self.generation: self._proceed(generation))
                case Deliver(order):
                    self.staged.append((self.core.now, order.id))
                    if self.followers_take is not None:
                        self.core.later(
                            self.followers_take,
                            lambda id_=order.id, generation=self.generation: self._delivered(id_, generation),
                        )
        if self._queue and not self._writing:
            self._writing = True
            batch, self._queue = self._queue, []
            wait = max(self.core.now, self.stalled_until, self.frozen_until) - self.core.now + SYNC
            self.core.later(wait, lambda generation=self.generation: self._written(batch, generation))

    def _proceed(self, generation: int) -> None:
        if self.core.now < self.frozen_until:
            self.core.later(self.frozen_until - self.core.now + 1, lambda: self._proceed(generation))
        elif generation == self.generation and self.replica is not None:
            self.do(self.replica.proceed(self.core.now))

    def _delivered(self, id_: str, generation: int) -> None:
        if generation == self.generation and self.replica is not None:
            self.do(self.replica.delivered(id_, self.core.now))

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
            out += store.tells
            if store.index >= 0:
                out += self.replica.stored(store.index, store.generation)
        self.do(out)


class Core:
    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        min_replicas: int = 2,
        seeds: int = 3,
        folder: Path | None = None,
        absent: Iterable[str] = (),
    ) -> None:
        """`folder`: the disks are real files there.  `absent`: hosts that are not there at the beginning."""
        self.disk: Callable[[str], DiskState | FileState] = lambda name: (
            DiskState() if folder is None else FileState(folder / name.partition(":")[0])
        )
        self.rng, self.now, self.min_replicas = random.Random(seed), 0, min_replicas
        self.hosts = {name: Host(self, name) for name in names}
        self.seeds = list(self.hosts)[:seeds]
        self.cuts: set[tuple[str, str]] = set()
        self.agreed: dict[int, int] = {}  # epochs, since when
        self.served: dict[str, int] = {}  # who would serve followers, when last
        self.holds: set[tuple[str, str]] = set()  # links whose lines lie in queues
        self._queues: list[tuple[Host, str, bytes, int]] = []  # with the generation of the link
        self._held: dict[
            tuple[str, str], int
        ] = {}  # the generation of a link: lines of an older one are lost
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
                host.do(host.replica.refused(addr, self.now))
            else:
                there.hear(host.name, line)

    def connect(self, host: Host) -> None:
        """A process that starts, or links that are healed: what was under way is lost, both sides meet
        anew."""
        for other in self.hosts.values():
            for one, two in ((host, other), (other, host)):
                pair = (one.name, two.name)
                self._held[pair] = self._held.get(pair, 0) + 1
            if other.replica is not None and other is not host:
                self.later(NET, lambda other=other: self._met(host, other))

    def _met(self, one: Host, two: Host) -> None:
        for here, there in ((one, two), (two, one)):
            if here.replica is not None and there.replica is not None:
                here.replica.met(there.name, self.now)
                here.do(here.replica.reconnected(there.name, self.now))

    def cut(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.cuts.update(pairs)

    def hold(self, pairs: Iterable[tuple[str, str]]) -> None:
        self.holds.update(pairs)

    def release(self) -> None:
        """All that lies in queues arrives together, each link's lines in their order."""
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

    # --- what is looked at

    def views(self) -> dict[str, Any]:
        return {
            name: host.replica.agreement.view for name, host in self.hosts.items() if host.replica is not None
        }
