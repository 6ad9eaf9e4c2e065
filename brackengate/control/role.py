"""The control replica's process: its disk and its connections to replicas, followers and operators.

All decisions are made by `replica.Replica`; this module executes the actions that it returns.
"""

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
    ResetFollowers,
    Send,
    Store,
)
from brackengate.control.admin_commands import AdminCommands
from brackengate.control.commands import GIVE_UP_AFTER_US
from brackengate.control.follower_connections import FollowerConnections
from brackengate.control.operator_api import OperatorApi
from brackengate.control.replica import FIRST_INCARNATION, Replica, StoredState
from brackengate.control.store import AsyncDisk, DamagedFile, ThreadedDisk, is_damage
from brackengate.net.environment import Environment
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
HEARTBEAT_INTERVAL_US = 150_000  # longest time between heartbeats to a follower, give or take a tick
SLOW_WRITE_US = 400_000  # a disk that takes longer for a write is unhealthy
NO_SNAPSHOT = SnapshotPosition()
DELIVERY_SHARE_PERCENT = 30  # of `Ack`, that a large configuration change may wait for its followers
GC_THRESHOLD_OBJECTS = 20_000  # a large change allocates a hundred thousand, few of them in cycles
DISK_RETRY_S = 0.3  # delay before a failed write is retried
MAX_BATCH_ROWS = 1_000  # committed rows in one write: more could make the disk look slow


class ControlReplica:
    """One control replica: runs until it is stopped."""

    def __init__(
        self, settings: Settings, ground: Environment | None = None, drive: AsyncDisk | None = None
    ) -> None:
        """`ground`: clock, sockets and random numbers; `drive`: the disk.  By default the machine's."""
        self.settings = settings
        ground = ground or Environment(asyncio.get_running_loop(), random.Random())
        self._loop, self._rng, self._bind, self.now = ground.loop, ground.rng, ground.bind, ground.monotonic
        self.clock = ground.clock or Clock()
        control = required_address(settings.listen.control, "Control")
        self.me = f"{control[0]}:{control[1]}"
        self._port = settings.control_plane_port
        self._stopped: asyncio.Future[int] = self._loop.create_future()
        self._drive: AsyncDisk = drive or ThreadedDisk(settings.data_dir or ".")
        self.replica: Replica
        self.followers: FollowerConnections
        self._admin_commands: AdminCommands
        self._peers: dict[str, Dialer] = {}
        self._queue: list[Store] = []
        self._writing_since = 0
        self._failed = False
        self._pending: dict[int, Callable[[Any], None]] = {}
        self._last_command = 0
        self._logged = 0  # epoch of the last view that was logged
        self._was_ready = False  # as last logged
        self._inner: asyncio.Server | None = None
        self._ticker: asyncio.TimerHandle | None = None
        self._slice_scheduled = False  # a slice of longer work is due
        # The last one, encoded for all members.
        self._stage_message: tuple[StageChange, EncodedMessage] | None = None

    # --- start and stop

    async def run(self) -> int:
        """Runs the replica until `stop`; returns the exit code."""
        stored = await self._open_disk()
        if stored is None:
            return 0
        settings, now = self.settings, self.now()
        first = settings.initial_start and stored.incarnation == FIRST_INCARNATION
        seeds = [f"{host}:{port}" for host, port in settings.seeds]
        window = settings.bounds.dedupe_window
        self.replica = Replica(
            self.me, settings.zone, stored, seeds, first, settings.min_replicas, window, now
        )
        self.replica.chain.set_delivery_timeout(settings.bounds.ack * DELIVERY_SHARE_PERCENT // 100)
        self.followers = FollowerConnections(
            self.replica, self.now, self._carry_out, self.submit, self.withdraw
        )
        self._admin_commands = AdminCommands(
            self.replica, self.followers.by_connection, self.submit, self.now
        )
        self._inner = await self._loop.create_server(
            lambda: JsonConnection(self._on_message, self._on_open, self._on_lost), settings.ip, self._port
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
            return await self._stopped
        finally:
            server.close()

    def stop(self, code: int = 0) -> None:
        """Ends `run` with this exit code."""
        if not self._stopped.done():
            self._stopped.set_result(code)

    async def _open_disk(self) -> StoredState | None:
        """The stored state; None if `stop` was called while the disk could not be opened."""
        first = self.settings.initial_start
        while True:
            opening = self._loop.create_task(self._drive.open(first))
            either: set[asyncio.Future[Any]] = {opening, self._stopped}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            if self._stopped.done():
                return None
            try:
                return opening.result()
            except (OSError, sqlite3.Error, DamagedFile) as error:
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
        self._log_readiness()

    def _log_readiness(self) -> None:
        """Logs when followers can be served, or no longer, and how far back the changes for them go."""
        chain = self.replica.chain
        if chain.ready == self._was_ready:
            return
        self._was_ready = chain.ready
        if chain.ready:
            start = chain.replica_log.recent_public.start
            log.info(
                "lighthouse: ready at index %d, with changes for followers from %d on", chain.index, start
            )
        else:
            log.info("lighthouse: not ready for followers, at index %d", chain.index)

    # --- actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
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
                self._schedule_slice()
            elif isinstance(action, ResetFollowers):
                self.followers.restart()
        if self._queue and not self._writing_since:
            self._write()

    def _send(self, tell: Send) -> None:
        if tell.addr == self.me:
            self._loop.call_soon(self._receive, self.me, tell.message)
            return
        link = self._peers.get(tell.addr)
        if link is None:
            link = self._peers[tell.addr] = self._dial(tell.addr)
        if isinstance(tell.message, StageChange):
            link.send_encoded(self._encoded_stage(tell.message))
        else:
            link.send(tell.message)

    def _encoded_stage(self, stage: StageChange) -> EncodedMessage:
        """Encodes the message once for all members."""
        if self._stage_message is None or self._stage_message[0] is not stage:
            self._stage_message = (stage, encode_message(stage))
        return self._stage_message[1]

    def _schedule_slice(self) -> None:
        if not self._slice_scheduled:
            self._slice_scheduled = True
            self._loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        self._slice_scheduled = False
        self._carry_out(self.replica.run_slice(self.now()))

    def _receive(self, addr: str, message: Message) -> None:
        self._carry_out(self.replica.on_message(addr, message, self.now()))

    def _write(self) -> None:
        batch = self._next_batch()
        self._writing_since = self.now()
        future = self._drive.write(batch)
        future.add_done_callback(lambda done: self._written(batch, done))

    def _next_batch(self) -> list[Store]:
        """The stores of the next write: one at least, together no more than `MAX_BATCH_ROWS` rows."""
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
        if is_damage(error):
            log.error(
                "store: step write: %s; this ends here, and the next start begins a new incarnation", error
            )
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
            actions += store.sends
            if store.index >= 0:
                actions += self.replica.on_stored(store.index, store.generation)
        self._carry_out(actions)

    # --- connections to the other replicas

    def _dial(self, addr: str) -> Dialer:
        host = addr.rpartition(":")[0]
        address: Address = (host, self._port)

        def opened(dialer: Dialer) -> None:
            dialer.send(Hello(self.me))
            self._carry_out(self.replica.on_reconnected(addr, self.now()))

        def refused() -> None:
            self._carry_out(self.replica.on_connection_refused(addr, self.now()))

        return Dialer(address, lambda message: self._receive(addr, message), opened, on_refused=refused)

    # --- accepted connections

    def _on_open(self, connection: JsonConnection) -> None:
        pass

    def _on_message(self, connection: JsonConnection, message: Message) -> None:
        if isinstance(message, Hello):
            connection.peer = message.addr
            if message.is_proxy:
                self.followers.add(connection)
            else:
                self.replica.add_peer(message.addr, self.now())
                self._carry_out(self.replica.on_reconnected(message.addr, self.now()))
        elif connection in self.followers.by_connection:
            if isinstance(message, ProgressReport):
                self._admin_commands.receive_progress(connection, message)
            else:
                self.followers.receive(connection, message)
        elif isinstance(message, Inquiry):
            self._admin_commands.receive(connection, message)
        elif connection.peer:
            self._receive(connection.peer, message)

    def _on_lost(self, connection: JsonConnection) -> None:
        self.followers.remove(connection)

    def submit(
        self, what: Command, done: Callable[[Any], None], give_up_after: int = GIVE_UP_AFTER_US
    ) -> int:
        """Submits a command; returns a number for `withdraw`.

        `done` is called once with the result; None: the outcome is unknown.
        """
        self._last_command += 1
        number = self._last_command
        self._pending[number] = done
        self._carry_out(self.replica.submit_command(what, number, self.now(), give_up_after))
        return number

    def withdraw(self, number: int) -> None:
        """Withdraws a command whose caller has disconnected; `done` is not called."""
        if self._pending.pop(number, None) is not None:
            self.replica.withdraw(number)


async def serve(settings: Settings) -> int:
    """Runs a control replica in this process until SIGTERM or SIGINT; returns the exit code."""
    replica, loop = ControlReplica(settings), asyncio.get_running_loop()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, *gc.get_threshold()[1:])
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, replica.stop)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    with contextlib.suppress(asyncio.CancelledError):
        return await replica.run()
    return 0
