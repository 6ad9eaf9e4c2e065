"""The lighthouse as a process: its disk, its links, its followers and its operators.  Decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import random
import signal
import sqlite3
from collections.abc import Callable
from typing import Any

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
from brackengate.control.admin_commands import AdminCommands
from brackengate.control.commands import GIVE_UP_AFTER
from brackengate.control.follower_connections import FollowerConnections
from brackengate.control.operator_api import OperatorApi
from brackengate.control.replica import FIRST, Replica, StoredState
from brackengate.control.store import Damaged, Drive, Waits, damaged
from brackengate.net.ground import Ground
from brackengate.net.node import Clock
from brackengate.net.sockets import Address
from brackengate.protocol.http_api import create_server
from brackengate.protocol.json_connection import Dialer, JsonConnection, encode_message
from brackengate.protocol.message_parts import EncodedMessage
from brackengate.protocol.messages import (
    Command,
    Hello,
    Inquiry,
    Message,
    ProgressReport,
    SnapshotPosition,
    StageChange,
)
from brackengate.protocol.settings import Settings, required_address

log = logging.getLogger("brackengate.lighthouse")

TICK_S = 0.05
HEARTBEAT_INTERVAL_US = 150_000  # a follower hears something at least so often, give or take a tick
SLOW_WRITE_US = 400_000  # a disk that takes longer over a write is not healthy
NO_SNAPSHOT = SnapshotPosition()
DELIVERY_SHARE_PERCENT = 30  # hundredths of `Ack` that a large order may wait for its followers
GC_THRESHOLD_OBJECTS = 20_000  # objects: a large order makes a hundred thousand, and few are in circles
DISK_RETRY_S = 0.3  # a write that failed is tried again
MAX_BATCH_ROWS = 1_000  # committed rows that go to the disk with one write: it must not look like a slow disk


class ControlReplica:
    def __init__(self, settings: Settings, ground: Ground | None = None, drive: Waits | None = None) -> None:
        """`ground`, `drive`: what it stands on, and its disk; by default the machine's."""
        self.settings = settings
        ground = ground or Ground(asyncio.get_running_loop(), random.Random())
        self._loop, self._rng, self._bind, self.now = ground.loop, ground.rng, ground.bind, ground.steady
        self.clock = ground.clock or Clock()
        control = required_address(settings.listen.control, "Control")
        self.me = f"{control[0]}:{control[1]}"
        self._port = settings.control_plane_port
        self._left: asyncio.Future[int] = self._loop.create_future()
        self._drive: Waits = drive or Drive(settings.data_dir or ".")
        self.replica: Replica
        self.followers: FollowerConnections
        self._admin_commands: AdminCommands
        self._links: dict[str, Dialer] = {}
        self._queue: list[Store] = []
        self._writing_since = 0
        self._failed = False
        self._pending: dict[int, Callable[[Any], None]] = {}
        self._last_ask = 0
        self._logged = 0  # the view that the log names last
        self._inner: asyncio.Server | None = None
        self._ticker: asyncio.TimerHandle | None = None
        self._proceeds = False  # a slice of longer work is due
        self._stage_message: tuple[StageChange, EncodedMessage] | None = None  # the last one, for all members

    # --- life

    async def run(self) -> int:
        kept = await self._open_disk()
        if kept is None:
            return 0
        settings, now = self.settings, self.now()
        first = settings.initial_start and kept.incarnation == FIRST
        seeds = [f"{host}:{port}" for host, port in settings.seeds]
        window = settings.bounds.dedupe_window
        self.replica = Replica(self.me, settings.zone, kept, seeds, first, settings.min_replicas, window, now)
        self.replica.chain.deliver_within(settings.bounds.ack * DELIVERY_SHARE_PERCENT // 100)
        self.followers = FollowerConnections(
            self.replica, self.now, self._carry_out, self.submit, self.withdraw
        )
        self._admin_commands = AdminCommands(
            self.replica, self.followers.by_connection, self.submit, self.now
        )
        self._inner = await self._loop.create_server(
            lambda: JsonConnection(self._on_line, self._on_open, self._on_lost), settings.ip, self._port
        )
        server = create_server(
            self._loop,
            self.clock,
            [self._bind(required_address(settings.listen.control, "Control"))],
            OperatorApi(self),
        )
        server.start()
        view, chain = self.replica.agreement.view, self.replica.chain
        log.info(
            "lighthouse: %s is up, view %d, index %d, %d rows",
            self.me,
            view.epoch,
            chain.index,
            chain.state.rows.count,
        )
        self._carry_out(self.replica.start(now))
        self._tick()
        try:
            return await self._left
        finally:
            server.close()

    def stop(self, code: int = 0) -> None:
        if not self._left.done():
            self._left.set_result(code)

    async def _open_disk(self) -> StoredState | None:
        """None: it was told to stop while the disk was in trouble."""
        first = self.settings.initial_start
        while True:
            opening = self._loop.create_task(self._drive.open(first))
            either: set[asyncio.Future[Any]] = {opening, self._left}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if self._left.done():
                return None
            try:
                return opening.result()
            except (OSError, sqlite3.Error, Damaged) as error:
                log.error("store: step open, folder %s: %s; tried again", self.settings.data_dir, error)
                await asyncio.sleep(DISK_RETRY_S)

    def _tick(self) -> None:
        self._ticker = self._loop.call_later(TICK_S, self._tick)
        now = self.now()
        slow = self._writing_since and now - self._writing_since > SLOW_WRITE_US
        self.replica.set_disk_healthy(not self._failed and not slow)
        self._carry_out(self.replica.tick(now))
        self.followers.tick(now)
        view = self.replica.agreement.view
        if view.epoch != self._logged:
            self._logged = view.epoch
            chain = ", ".join(member.addr for member in view.members)
            log.info("lighthouse: view %d, from head to tail: %s", view.epoch, chain)

    # --- carrying out

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Tell):
                self._tell(action)
            elif isinstance(action, Store):
                self._queue.append(action)
            elif isinstance(action, Answer):
                done = self._pending.pop(action.id, None)
                if done is not None:
                    done(action.result)
            elif isinstance(action, Publish):
                self.followers.publish(action)
            elif isinstance(action, Deliver):
                self.followers.deliver(action.order)
            elif isinstance(action, Continue):
                self._proceed_soon()
            elif isinstance(action, Restart):
                self.followers.restart()
        if self._queue and not self._writing_since:
            self._write()

    def _tell(self, tell: Tell) -> None:
        if tell.addr == self.me:
            self._loop.call_soon(self._heard, self.me, tell.word)
            return
        link = self._links.get(tell.addr)
        if link is None:
            link = self._links[tell.addr] = self._dial(tell.addr)
        if isinstance(tell.word, StageChange):
            link.send_raw(self._encoded_stage(tell.word))
        else:
            link.send(tell.word)

    def _encoded_stage(self, stage: StageChange) -> EncodedMessage:
        """Made once for all members that it goes to."""
        if self._stage_message is None or self._stage_message[0] is not stage:
            self._stage_message = (stage, encode_message(stage))
        return self._stage_message[1]

    def _proceed_soon(self) -> None:
        if not self._proceeds:
            self._proceeds = True
            self._loop.call_soon(self._proceed)

    def _proceed(self) -> None:
        self._proceeds = False
        self._carry_out(self.replica.proceed(self.now()))

    def _heard(self, addr: str, word: Message) -> None:
        self._carry_out(self.replica.heard(addr, word, self.now()))

    def _write(self) -> None:
        batch = self._next_batch()
        self._writing_since = self.now()
        future = self._drive.write(batch)
        future.add_done_callback(lambda done: self._written(batch, done))

    def _next_batch(self) -> list[Store]:
        """The stores that go to the disk together: one at least, and no more than `MAX_BATCH_ROWS`."""
        rows = count = 0
        for store in self._queue:
            rows += len(store.rows)
            if count and rows > MAX_BATCH_ROWS:
                break
            count += 1
        batch, self._queue = self._queue[:count], self._queue[count:]
        return batch

    def _written(self, batch: list[Store], done: asyncio.Future[None]) -> None:
        error = done.exception()
        if damaged(error):
            log.error("store: step write: %s; this ends here, and the next start begins a new life", error)
            self.stop(1)
            return
        if error is not None:
            if not self._failed:
                log.error("store: step write: %s; no member until it succeeds", error)
            self._failed = True
            self._queue = batch + self._queue
            self._loop.call_later(DISK_RETRY_S, self._write)
            return
        if self._failed:
            log.info("store: writes succeed again")
        self._failed, self._writing_since = False, 0
        actions: list[Action] = []
        for store in batch:
            actions += store.tells
            if store.index >= 0:
                actions += self.replica.stored(store.index, store.generation)
        self._carry_out(actions)

    # --- links to the other lighthouses

    def _dial(self, addr: str) -> Dialer:
        host = addr.rpartition(":")[0]
        address: Address = (host, self._port)

        def opened(dialer: Dialer) -> None:
            dialer.send(Hello(self.me))
            self._carry_out(self.replica.reconnected(addr, self.now()))

        def refused() -> None:
            self._carry_out(self.replica.refused(addr, self.now()))

        return Dialer(address, lambda word: self._heard(addr, word), opened, on_refused=refused)

    # --- who comes here

    def _on_open(self, lines: JsonConnection) -> None:
        pass

    def _on_line(self, lines: JsonConnection, word: Message) -> None:
        if isinstance(word, Hello):
            lines.peer = word.addr
            if word.is_proxy:
                self.followers.add(lines)
            else:
                self.replica.met(word.addr, self.now())
                self._carry_out(self.replica.reconnected(word.addr, self.now()))
        elif lines in self.followers.by_connection:
            if isinstance(word, ProgressReport):
                self._admin_commands.receive_progress(lines, word)
            else:
                self.followers.receive(lines, word)
        elif isinstance(word, Inquiry):
            self._admin_commands.receive(lines, word)
        elif lines.peer:
            self._heard(lines.peer, word)

    def _on_lost(self, lines: JsonConnection) -> None:
        self.followers.remove(lines)

    def submit(self, what: Command, done: Callable[[Any], None], give_up_after: int = GIVE_UP_AFTER) -> int:
        """`done` gets the result once; None: it is not known what becomes of it.  A number to withdraw it."""
        self._last_ask += 1
        number = self._last_ask
        self._pending[number] = done
        self._carry_out(self.replica.ask(what, number, self.now(), give_up_after))
        return number

    def withdraw(self, number: int) -> None:
        """Whoever asked has gone."""
        if self._pending.pop(number, None) is not None:
            self.replica.withdraw(number)


async def serve(settings: Settings) -> int:
    lighthouse, loop = ControlReplica(settings), asyncio.get_running_loop()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, *gc.get_threshold()[1:])
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lighthouse.stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    with contextlib.suppress(asyncio.CancelledError):
        return await lighthouse.run()
    return 0
