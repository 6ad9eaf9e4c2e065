"""A proxy's connection to the control replicas: it follows the log of changes, and sends commands.

It prefers a replica in its own zone, then the others in an order of its own (rendezvous hashing), so that
proxies that lose their replica do not all move to the same one.  It moves on after silence, a broken
connection or `Away`.  Unanswered commands are sent again to the next replica; they are idempotent.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from brackengate.control.transfer import EMPTY_POSITION, CopyMismatch
from brackengate.net.sockets import parse_address
from brackengate.protocol.json_connection import Dialer
from brackengate.protocol.messages import (
    Changes,
    Command,
    ControlReplicas,
    Follow,
    FollowerCommand,
    Heartbeat,
    HeartbeatRequest,
    Hello,
    Message,
    ProgressReport,
    ProgressRequest,
    Redirect,
    Result,
    Row,
    SnapshotPiece,
    SnapshotPosition,
    SnapshotRequest,
    StageOffer,
    StagePiece,
    StageRequest,
)
from brackengate.proxy.apply_queue import ApplyQueue
from brackengate.proxy.freshness import ClockOffset, ConfigFreshness
from brackengate.proxy.routing_table import RoutingTable
from brackengate.proxy.snapshot_receiver import SnapshotReceiver
from brackengate.proxy.staged_changes import StagedChangeMissing, StagedChanges

log = logging.getLogger("brackengate.follow")

SILENCE_TIMEOUT_US = 600_000  # replicas send a heartbeat every 0.15 to 0.2 s
SILENCE_CHECK_S = 0.15  # interval
RECONNECT_PAUSE_S = 0.1
CLOCK_EXCHANGE_S = 4.0  # interval of clock exchanges with the followed replica
NEARER_REPLICA_CHECK_S = 4.0  # interval of attempts to return to a nearer replica


def rank_replicas(me: str, zone: str, replicas: Iterable[tuple[str, str]]) -> list[str]:
    """Addresses of the replicas in this proxy's order: its own zone's first, then by rendezvous hashing."""

    def rank(replica: tuple[str, str]) -> tuple[bool, bytes]:
        addr, replica_zone = replica
        return replica_zone != zone, hashlib.blake2b(f"{me}|{addr}".encode(), digest_size=8).digest()

    return [addr for addr, _ in sorted(set(replicas), key=rank)]


@dataclass(slots=True, eq=False)
class PendingCommand:
    """A command without an answer yet."""

    command: Command
    done: Callable[[Any], None]
    timer: asyncio.TimerHandle


class ReplicaLink:
    """A connection to one replica.  `established`: it has sent changes or a piece of a snapshot."""

    def __init__(self, client: ControlClient, addr: str) -> None:
        self.addr, self._client = addr, client
        self.last_received = client.now()
        self.established = False
        self.clock = ClockOffset()
        self._requested_position, self._request_id = EMPTY_POSITION, 0  # of the next snapshot piece
        host = parse_address(addr)[0]
        address = host, client.port
        self._dialer = Dialer(
            address,
            self._on_message,
            self._on_open,
            self._on_close,
            max_failures=1,
            on_part=self._note_activity,
        )

    def send(self, message: Message) -> None:
        """Send a message to the replica."""
        self._dialer.send(message)

    def close(self) -> None:
        """Close the connection."""
        self._dialer.close()

    def _on_open(self, dialer: Dialer) -> None:
        self.last_received = self._client.now()
        dialer.send(Hello(self._client.me, is_proxy=True))
        self._requested_position, self._request_id = self._client.snapshot.position, 0
        dialer.send(
            Follow(
                self._client.table.index,
                reports_progress=True,
                snapshot=self._requested_position,
                sent=self.last_received,
                staged=self._client.staged_changes.positions(),
            )
        )

    def request_piece(self, position: SnapshotPosition) -> None:
        """Request the piece of a snapshot that follows `position`."""
        self._requested_position, self._request_id = position, self._request_id + 1
        self.send(SnapshotRequest(self._request_id, position))

    def requested_position(self, piece: SnapshotPiece) -> SnapshotPosition | None:
        """The position that this piece follows; None if it answers no open request."""
        return self._requested_position if piece.id in (0, self._request_id) else None

    def _note_activity(self) -> None:
        self.last_received = self._client.now()

    def _on_message(self, message: Message) -> None:
        self._note_activity()
        self._client.receive(self, message)

    def _on_close(self) -> None:
        self._client.drop_link(self, "the connection ended")


class ControlClient:
    """Keeps the routing table up to date from a control replica, and sends commands to the control plane."""

    def __init__(
        self,
        me: str,
        zone: str,
        port: int,
        seeds: Callable[[], Iterable[str]],
        table: RoutingTable,
        changed: Callable[[set[str]], None],
        now: Callable[[], int],
        records_of: Callable[[str], tuple[dict[str, Any], ...]],
    ) -> None:
        """`seeds`: addresses to try if no other replica answers; called again each time.  `changed`: gets the
        kinds of rows that the table has changed.  `records_of`: the request log's records of an attempt."""
        self._records_of = records_of
        self.snapshot = SnapshotReceiver()
        self.staged_changes, self.freshness = StagedChanges(), ConfigFreshness()
        # Called when the configuration in force or its freshness has changed.
        self.on_freshness_changed: Callable[[], None] = lambda: None
        self.me, self.zone, self.port, self.table, self.now = me, zone, port, table, now
        self._seeds, self._on_changed = seeds, changed
        self._replicas: dict[str, str] = {}
        self._link: ReplicaLink | None = None  # followed, or being connected
        self._nearer_link: ReplicaLink | None = None  # to a nearer replica, being connected
        self._candidates: list[str] = []
        self._pending: dict[int, PendingCommand] = {}
        self._last_command_id = 0
        self._closed = False
        self._loop = asyncio.get_running_loop()
        self._apply_queue = ApplyQueue(table, self._loop.call_soon, self._on_applied)

    def start(self) -> None:
        """Connect to a replica and start all periodic checks."""
        self._connect_next()
        self._check_silence()
        self._loop.call_later(NEARER_REPLICA_CHECK_S, self._check_nearer_replica)
        self._exchange_times()

    def close(self) -> None:
        """Disconnect and stop all periodic checks."""
        self._closed = True
        for link in (self._link, self._nearer_link):
            if link is not None:
                link.close()

    @property
    def connected(self) -> bool:
        """Whether a replica is being followed."""
        return self._link is not None and self._link.established

    # --- commands

    def send_command(self, command: Command, done: Callable[[Any], None], timeout_s: float) -> None:
        """Send a command; `done` is called once, with its result or with None after `timeout_s`."""
        self._last_command_id += 1
        number = self._last_command_id
        timer = self._loop.call_later(timeout_s, self._on_command_timeout, number)
        self._pending[number] = PendingCommand(command, done, timer)
        if self._link is not None and self._link.established:
            self._link.send(FollowerCommand(number, command))

    def _on_command_timeout(self, number: int) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            pending.done(None)

    # --- freshness

    def is_current(self, max_age: int) -> bool:
        """Whether everything that was acknowledged `max_age` microseconds ago is in force here."""
        return self.freshness.is_current(self.now(), max_age)

    def _exchange_times(self) -> None:
        if self._closed:
            return
        self._loop.call_later(CLOCK_EXCHANGE_S, self._exchange_times)
        if self._link is not None and self._link.established:
            self._link.send(HeartbeatRequest(self.now()))

    def _on_heartbeat(self, link: ReplicaLink, beat: Heartbeat) -> None:
        now = self.now()
        if not beat.now:
            return
        if beat.echo:
            link.clock.add_exchange(beat.echo, beat.now, now)
        self.freshness.heartbeat(beat.index, link.clock.to_local(beat.now - beat.age, now))
        self.on_freshness_changed()

    # --- connection to a replica

    def _connect_next(self) -> None:
        """Connect to the next candidate."""
        if self._closed:
            return
        if not self._candidates:
            known = {**dict.fromkeys(self._seeds(), ""), **self._replicas}
            self._candidates = rank_replicas(self.me, self.zone, known.items())
        if not self._candidates:
            self._loop.call_later(RECONNECT_PAUSE_S, self._connect_next)
            return
        self._link = ReplicaLink(self, self._candidates.pop(0))

    def drop_link(self, link: ReplicaLink, reason: str) -> None:
        """Close a link; if it was the followed one, connect to the next candidate."""
        link.close()
        if link is self._nearer_link:
            self._nearer_link = None
        elif link is self._link:
            if link.established:  # the others first: a replica that has just gone silent would cost a timeout
                log.info("follow: disconnected from %s: %s", link.addr, reason)
                others = rank_replicas(self.me, self.zone, self._replicas.items())
                self._candidates = [*(addr for addr in others if addr != link.addr), link.addr]
            self._link = None
            self._loop.call_later(RECONNECT_PAUSE_S if not self._candidates else 0.0, self._connect_next)

    def _check_silence(self) -> None:
        if self._closed:
            return
        self._loop.call_later(SILENCE_CHECK_S, self._check_silence)
        for link in (self._link, self._nearer_link):
            if link is not None and self.now() - link.last_received > SILENCE_TIMEOUT_US:
                self.drop_link(link, "silence")

    def _check_nearer_replica(self) -> None:
        if self._closed:
            return
        self._loop.call_later(NEARER_REPLICA_CHECK_S, self._check_nearer_replica)
        nearest = rank_replicas(self.me, self.zone, self._replicas.items())[:1]
        link = self._link
        if link is None or not link.established or self._nearer_link is not None or not nearest:
            return
        if self._replicas[nearest[0]] == self.zone and link.addr != nearest[0]:
            self._nearer_link = ReplicaLink(self, nearest[0])

    def receive(self, link: ReplicaLink, message: Message) -> None:
        """Handle a message of a replica."""
        if isinstance(message, Redirect):
            self.drop_link(link, "it is out of touch")
        elif isinstance(message, ProgressRequest):
            seen = self._records_of(message.attempt) if message.attempt else ()
            link.send(ProgressReport(message.id, self.table.index, seen))
        elif isinstance(message, ControlReplicas):
            self._replicas = dict(message.members)
        elif isinstance(message, Result):
            pending = self._pending.pop(message.id, None)
            if pending is not None:
                pending.timer.cancel()
                pending.done(message.result)
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(link, message)
        elif isinstance(message, Changes):
            self._establish(
                link, message.index, f"{len(message.rows)} rows, {len(message.staged)} staged changes"
            )
            self.snapshot.restart()
            self._take_changes(link, message)
        elif isinstance(message, StageOffer):
            link.send(StageRequest(message.id, self.staged_changes.next_piece(message.id, message.pieces)))
        elif isinstance(message, StagePiece):
            wanted = self.staged_changes.receive(message)
            if wanted is not None:
                link.send(StageRequest(message.id, wanted))
        elif isinstance(message, SnapshotPiece):
            self._establish(link, message.position.index, "a snapshot")
            self._receive_piece(link, message)

    def _receive_piece(self, link: ReplicaLink, piece: SnapshotPiece) -> None:
        requested_after = link.requested_position(piece)
        if requested_after is None:
            return
        try:
            complete = self.snapshot.receive(requested_after, piece)
        except CopyMismatch as reason:
            log.error("follow: step copy, from %s: checksum differs: %s", link.addr, reason)
            self.drop_link(link, "its copy differs")
            return
        if complete:
            self._apply_queue.add_snapshot(*self.snapshot.take_complete())
        else:
            link.request_piece(self.snapshot.position)

    def _take_changes(self, link: ReplicaLink, changes: Changes) -> None:
        """Apply staged rows before those that the message itself has."""
        rows: list[Row] = []
        try:
            for reference in changes.staged:
                rows += self.staged_changes.take_rows(reference)
        except StagedChangeMissing as reason:
            log.error("follow: step staged, from %s: %s is missing", link.addr, reason)
            self.drop_link(link, "it refers to what is not here")
            return
        self._apply_queue.add(changes.index, (*rows, *changes.rows))

    def _on_applied(self, changed: set[str]) -> None:
        self.freshness.index_applied(self.table.index)
        if changed:
            self._on_changed(changed)
        self.on_freshness_changed()

    def _establish(self, link: ReplicaLink, index: int, content: str) -> None:
        """The replica serves this proxy: follow it, and send it all pending commands.

        `index`, `content`: what its first message brings this proxy to, and by what.
        """
        if link.established:
            return
        link.established = True
        if link is self._nearer_link:
            old, self._link, self._nearer_link = self._link, link, None
            if old is not None:
                old.close()
        self._candidates = []
        log.info(
            "follow: following %s, from index %d to %d by %s", link.addr, self.table.index, index, content
        )
        for number, pending in self._pending.items():
            link.send(FollowerCommand(number, pending.command))
