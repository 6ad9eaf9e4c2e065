"""A replica's connections to its followers: their progress, and the messages that they are sent.

What is in effect is decided elsewhere: the replica determines what followers may receive, and whether it
serves them.  Times are microseconds of a monotonic clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from brackengate.control.actions import Action, Publish
from brackengate.control.commands import FOLLOWER_TIMEOUT_US
from brackengate.control.follower_messages import FollowerMessages, StagedIds
from brackengate.control.log import PublicChanges
from brackengate.control.replica import Replica
from brackengate.control.staging import FollowerProgress, StagedChange
from brackengate.protocol.json_connection import JsonConnection
from brackengate.protocol.message_parts import EncodedMessage
from brackengate.protocol.messages import (
    Command,
    ControlReplicas,
    Follow,
    FollowerCommand,
    Heartbeat,
    HeartbeatRequest,
    Message,
    Redirect,
    Result,
    SnapshotPosition,
    SnapshotRequest,
    StagedPosition,
    StageOffer,
    StageRequest,
)

log = logging.getLogger("brackengate.lighthouse.followers")

HEARTBEAT_INTERVAL_US = 150_000  # longest time between heartbeats to a follower, give or take a tick
NO_SNAPSHOT = SnapshotPosition()


@dataclass(slots=True, eq=False)
class Follower:
    """One follower's connection and progress."""

    connection: JsonConnection
    index: int = -1  # up to which it was sent changes
    follows: bool = False  # it has subscribed, and was not redirected since
    heartbeat_at: int = 0  # when it was sent the last heartbeat
    reports_progress: bool = False
    progress: FollowerProgress = field(default_factory=FollowerProgress)
    receives_snapshot: bool = False  # it is receiving a snapshot; changes follow the last piece
    commands: dict[int, int] = field(default_factory=dict)  # without a result: its numbers to the replica's


class FollowerConnections:
    """All followers of one replica."""

    def __init__(
        self,
        replica: Replica,
        now: Callable[[], int],
        carry_out: Callable[[list[Action]], None],
        submit: Callable[[Command, Callable[[Any], None], int], int],
        withdraw: Callable[[int], None],
    ) -> None:
        """`carry_out` executes the replica's actions.  `submit` takes a follower's command, a callback for
        its result and the time after which it is given up; `withdraw` takes the number that this returned."""
        self._replica, self._now, self._carry_out = replica, now, carry_out
        self._submit, self._withdraw = submit, withdraw
        self._messages = FollowerMessages(replica.chain)
        self.by_connection: dict[JsonConnection, Follower] = {}
        self._sent_replicas: ControlReplicas | None = None  # as last sent to the followers

    # --- connections

    def add(self, connection: JsonConnection) -> None:
        """Adds a connection that identified itself as a proxy's."""
        self.by_connection[connection] = Follower(connection)

    def remove(self, connection: JsonConnection) -> None:
        """Removes a connection that ended; withdraws its commands, which the follower submits elsewhere."""
        follower = self.by_connection.pop(connection, None)
        if follower is not None:
            for number in list(follower.commands.values()):
                self._withdraw(number)

    def _following(self) -> list[Follower]:
        return [follower for follower in self.by_connection.values() if follower.follows]

    # --- received messages

    def receive(self, connection: JsonConnection, message: Message) -> None:
        """Handles a follower's message."""
        follower = self.by_connection[connection]
        match message:
            case Follow():
                self._follow(follower, message)
            case HeartbeatRequest():
                if follower.follows and self._serves():
                    self._send_heartbeat(follower, message.sent)
            case StageRequest():
                self._send_stage_piece(follower, message)
            case SnapshotRequest():
                if follower.follows:
                    self._send_snapshot_piece(follower, message)
            case FollowerCommand():
                self._command(follower, message)

    def _follow(self, follower: Follower, message: Follow) -> None:
        follower.index, follower.follows, follower.reports_progress = (
            message.index,
            True,
            message.reports_progress,
        )
        follower.receives_snapshot = False
        if not self._serves():
            self._redirect(follower)
            return
        self._send(follower, self._replicas())
        self._send_heartbeat(follower, message.sent)
        self._add_staged_positions(follower, message.staged)
        self._catch_up(follower, message.snapshot, even_if_current=True)

    def _command(self, follower: Follower, message: FollowerCommand) -> None:
        ended = False

        def done(result: Any) -> None:
            nonlocal ended
            ended = True
            follower.commands.pop(message.id, None)
            log.debug("ask: %s: %s", message.what, result)
            follower.connection.send(Result(message.id, result))

        number = self._submit(message.what, done, FOLLOWER_TIMEOUT_US)
        if not ended:
            follower.commands[message.id] = number

    # --- sent messages

    def _serves(self) -> bool:
        return self._replica.serves(self._now())

    def _replicas(self) -> ControlReplicas:
        return ControlReplicas(tuple(self._replica.agreement.zones().items()))

    def _send(self, follower: Follower, message: Message) -> None:
        follower.connection.send(message)

    def _send_encoded(self, follower: Follower, message: EncodedMessage, ordered: bool = True) -> None:
        """Sends a message that was encoded once.  `ordered`: as in `JsonConnection.send_encoded`."""
        follower.connection.send_encoded(message, ordered)

    def _send_heartbeat(self, follower: Follower, echo: int = 0) -> None:
        """Changes do not replace it: by them alone a follower would not know that it is current."""
        now = self._now()
        follower.heartbeat_at = now
        index, age = self._replica.chain.public_index, now - self._replica.current_as_of()
        self._send(follower, Heartbeat(index, now, age, echo))

    def tick(self, now: int) -> None:
        """Sends heartbeats that are due and changes of the membership."""
        self._redirect_unless_current()
        replicas = self._replicas()
        for follower in self._following():
            if replicas != self._sent_replicas:
                self._send(follower, replicas)
            if now - follower.heartbeat_at >= HEARTBEAT_INTERVAL_US:
                self._send_heartbeat(follower)
        self._sent_replicas = replicas
        self._report_deliveries()

    def _redirect(self, follower: Follower) -> None:
        """Sends a follower to another replica; it may know only those on this side of a partition."""
        follower.follows = False
        replicas = self._replicas()
        if replicas.members:
            self._send(follower, ControlReplicas(replicas.members, in_contact=False))
        self._send(follower, Redirect())

    def _redirect_unless_current(self) -> None:
        """Redirects all followers.  Messages of an old view may arrive before the first tick after it."""
        if not self._serves():
            for follower in self._following():
                self._redirect(follower)

    # --- the log

    def publish(self, news: Publish) -> None:
        """Sends committed rows to all followers that are not receiving a snapshot."""
        self._redirect_unless_current()
        changes = PublicChanges(news.index, news.rows, news.staged)
        messages: dict[StagedIds, EncodedMessage] = {}
        for follower in self._following():
            if not follower.receives_snapshot and follower.index < news.index:
                held = self._messages.held_by(follower.progress, news.staged)
                if held not in messages:
                    messages[held] = self._messages.changes(changes, held)
                follower.index = news.index
                self._send_encoded(follower, messages[held])

    def restart(self) -> None:
        """Brings all followers up to date, after what was published stopped being a prefix of the log."""
        self._redirect_unless_current()
        for follower in self._following():
            self._catch_up(follower)

    def _catch_up(
        self, follower: Follower, snapshot: SnapshotPosition = NO_SNAPSHOT, even_if_current: bool = False
    ) -> None:
        """Sends what the follower lacks.  `snapshot`: its progress in a snapshot that it has begun."""
        news = self._messages.missed_since(follower.index)
        if news is None:
            if not follower.receives_snapshot:
                self._send_snapshot_piece(follower, SnapshotRequest(0, snapshot))
            return
        follower.receives_snapshot = False
        if news.rows or even_if_current:
            held = self._messages.held_by(follower.progress, news.staged)
            self._send_encoded(follower, self._messages.changes_since(follower.index, news, held))
        follower.index = max(follower.index, news.index)

    def _send_snapshot_piece(self, follower: Follower, request: SnapshotRequest) -> None:
        found = self._messages.piece(request) if self._serves() else None
        if found is None:
            follower.receives_snapshot = False
            self._redirect(follower)
            return
        follower.receives_snapshot = found.piece.total is None
        if found.piece.total is not None:
            follower.index = max(follower.index, found.piece.position.index)
        self._send_encoded(follower, found.message)

    # --- staged changes

    def deliver(self, change: StagedChange) -> None:
        """Offers a change to all followers, before it is decided."""
        for follower in self._following():
            self._offer(follower, change)
        self._report_deliveries()

    def _offer(self, follower: Follower, change: StagedChange) -> None:
        follower.progress.keep(self._replica.chain.staged.by_id)
        follower.progress.asked_at[change.id] = self._now()
        self._send(follower, StageOffer(change.id, len(change.pieces)))

    def _add_staged_positions(self, follower: Follower, positions: tuple[StagedPosition, ...]) -> None:
        """Takes what was delivered to a follower by others, and offers it what is being delivered."""
        staged = self._replica.chain.staged
        for one in positions:
            follower.progress.pieces[one.id] = one.pieces
        for id_ in sorted(staged.undelivered):
            self._offer(follower, staged.by_id[id_])

    def _send_stage_piece(self, follower: Follower, request: StageRequest) -> None:
        if request.id not in self._replica.chain.staged.by_id:
            return
        follower.progress.pieces[request.id] = request.piece
        follower.progress.asked_at[request.id] = self._now()
        message = self._messages.stage_piece(request.id, request.piece)
        if message is None:
            self._report_deliveries()
        else:
            self._send_encoded(follower, message, ordered=False)

    def _report_deliveries(self) -> None:
        staged = self._replica.chain.staged
        if not staged.undelivered:
            self._messages.forget_stage_pieces()
            return
        progress = [follower.progress for follower in self._following()]
        for id_ in staged.take_delivered(progress, self._now()):
            self._carry_out(self._replica.on_delivered(id_, self._now()))
