"""A pilot's link to the lighthouses: it follows the log of changes, and asks.

Nearest first: a member in its own zone, then the others in an order of its own (rendezvous hashing), so that
those who lose theirs do not all go to the same one.  Silence, a broken connection or `Away` moves it on.
Asks that have no answer are asked again wherever it goes: each says what is wanted, so again does no harm.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from brackengate.control.transfer import NOTHING, Differs
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

SILENCE_TIMEOUT_US = 600_000  # a member beats every 0.15 to 0.2 s
SILENCE_CHECK_S = 0.15  # between two looks whether it has gone silent
RECONNECT_PAUSE_S = 0.1
CLOCK_EXCHANGE_S = 4.0  # between two exchanges of times with the member that is followed
NEARER_REPLICA_CHECK_S = 4.0  # between two looks whether a nearer member is there again


def rank_replicas(me: str, zone: str, replicas: Iterable[tuple[str, str]]) -> list[str]:
    """The members as this pilot would follow them: its own zone's first, then by rendezvous hashing."""

    def rank(replica: tuple[str, str]) -> tuple[bool, bytes]:
        addr, replica_zone = replica
        return replica_zone != zone, hashlib.blake2b(f"{me}|{addr}".encode(), digest_size=8).digest()

    return [addr for addr, _ in sorted(set(replicas), key=rank)]


@dataclass(slots=True, eq=False)
class PendingCommand:
    command: Command
    done: Callable[[Any], None]
    timer: asyncio.TimerHandle


class ReplicaLink:
    """One connection to one member, and whether it has said anything of use."""

    def __init__(self, client: ControlClient, addr: str) -> None:
        self.addr, self._client = addr, client
        self.last_received = client.now()
        self.established = False
        self.clock = ClockOffset()
        self._requested_position, self._request_id = NOTHING, 0  # the piece of a copy that comes next
        host = parse_address(addr)[0]
        address = host, client.port
        self._dialer = Dialer(
            address, self._on_message, self._on_open, self._on_close, tries=1, on_part=self._note_activity
        )

    def send(self, message: Message) -> None:
        self._dialer.send(message)

    def close(self) -> None:
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
        self._requested_position, self._request_id = position, self._request_id + 1
        self.send(SnapshotRequest(self._request_id, position))

    def requested_position(self, piece: SnapshotPiece) -> SnapshotPosition | None:
        """The position that this piece follows; None where it answers no open request."""
        return self._requested_position if piece.id in (0, self._request_id) else None

    def _note_activity(self) -> None:
        self.last_received = self._client.now()

    def _on_message(self, message: Message) -> None:
        self._note_activity()
        self._client.receive(self, message)

    def _on_close(self) -> None:
        self._client.drop_link(self, "the connection ended")


class ControlClient:
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
        """`seeds`: asked again whenever nobody else is known who answers.  `changed`: told what kinds of rows
        have changed, once the table has them.  `wake`: what was decided of an attempt, for an operator."""
        self._records_of = records_of
        self.snapshot = SnapshotReceiver()
        self.staged_changes, self.freshness = StagedChanges(), ConfigFreshness()
        self.on_freshness_changed: Callable[[], None] = (
            lambda: None
        )  # what is in force, or how current it is, changed
        self.me, self.zone, self.port, self.table, self.now = me, zone, port, table, now
        self._seeds, self._on_changed = seeds, changed
        self._replicas: dict[str, str] = {}
        self._link: ReplicaLink | None = None  # followed, or being tried
        self._nearer_link: ReplicaLink | None = None  # a nearer one, being tried beside it
        self._candidates: list[str] = []
        self._pending: dict[int, PendingCommand] = {}
        self._last_command_id = 0
        self._closed = False
        self._loop = asyncio.get_running_loop()
        self._apply_queue = ApplyQueue(table, self._loop.call_soon, self._on_applied)

    def start(self) -> None:
        self._connect_next()
        self._check_silence()
        self._loop.call_later(NEARER_REPLICA_CHECK_S, self._check_nearer_replica)
        self._exchange_times()

    def close(self) -> None:
        self._closed = True
        for link in (self._link, self._nearer_link):
            if link is not None:
                link.close()

    @property
    def connected(self) -> bool:
        return self._link is not None and self._link.established

    # --- asking

    def send_command(self, command: Command, done: Callable[[Any], None], timeout_s: float) -> None:
        """`done` is called once, with None where no answer came in time."""
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

    # --- how current it is

    def is_current(self, max_age: int) -> bool:
        """Whether all that was acknowledged `within` microseconds ago is in force here."""
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

    # --- following

    def _connect_next(self) -> None:
        """Try the next member in turn."""
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
        link.close()
        if link is self._nearer_link:
            self._nearer_link = None
        elif link is self._link:
            if link.established:  # the others first: whoever has just gone silent would be waited for in vain
                log.info("follow: left %s: %s", link.addr, reason)
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
            self._establish(link)
            self.snapshot.restart()
            self._take_changes(link, message)
        elif isinstance(message, StageOffer):
            link.send(StageRequest(message.id, self.staged_changes.next_piece(message.id, message.pieces)))
        elif isinstance(message, StagePiece):
            wanted = self.staged_changes.receive(message)
            if wanted is not None:
                link.send(StageRequest(message.id, wanted))
        elif isinstance(message, SnapshotPiece):
            self._establish(link)
            self._receive_piece(link, message)

    def _receive_piece(self, link: ReplicaLink, piece: SnapshotPiece) -> None:
        requested_after = link.requested_position(piece)
        if requested_after is None:
            return
        try:
            complete = self.snapshot.receive(requested_after, piece)
        except Differs as reason:
            log.error("follow: step copy, from %s: it differs: %s", link.addr, reason)
            self.drop_link(link, "its copy differs")
            return
        if complete:
            self._apply_queue.add_snapshot(*self.snapshot.take_complete())
        else:
            link.request_piece(self.snapshot.position)

    def _take_changes(self, link: ReplicaLink, changes: Changes) -> None:
        """Staged rows are put in force before those that come with them."""
        rows: list[Row] = []
        try:
            for reference in changes.staged:
                rows += self.staged_changes.take_rows(reference)
        except StagedChangeMissing as reason:
            log.error("follow: step staged, from %s: %s is not here", link.addr, reason)
            self.drop_link(link, "it refers to what is not here")
            return
        self._apply_queue.add(changes.index, (*rows, *changes.rows))

    def _on_applied(self, changed: set[str]) -> None:
        self.freshness.index_applied(self.table.index)
        if changed:
            self._on_changed(changed)
        self.on_freshness_changed()

    def _establish(self, link: ReplicaLink) -> None:
        """It is in touch: what was asked is asked again there."""
        if link.established:
            return
        link.established = True
        if link is self._nearer_link:
            old, self._link, self._nearer_link = self._link, link, None
            if old is not None:
                old.close()
        self._candidates = []
        log.info("follow: %s, from index %d", link.addr, self.table.index)
        for number, pending in self._pending.items():
            link.send(FollowerCommand(number, pending.command))
