"""A replica's connections to its followers: who follows, how far each of them is, and what it is sent.

Decides nothing of what is in force: the replica says what followers may have, and whether it serves them.
Times are microseconds of a steady clock.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from brackengate.control.actions import Action, Publish
from brackengate.control.commands import FOLLOWER_PATIENCE
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

HEARTBEAT_INTERVAL_US = 150_000  # a follower hears something at least so often, give or take a tick
NO_SNAPSHOT = SnapshotPosition()


@dataclass(slots=True, eq=False)
class Follower:
    lines: JsonConnection
    index: int = -1
    follows: bool = False
    beat_at: int = 0  # when it got a heartbeat last
    reports_progress: bool = False
    progress: FollowerProgress = field(default_factory=FollowerProgress)
    copying: bool = False  # it asks for one piece of a copy after the other; changes come after the last one
    commands: dict[int, int] = field(default_factory=dict)  # without a result, by its numbers: the replica's


class FollowerConnections:
    def __init__(
        self,
        replica: Replica,
        now: Callable[[], int],
        carry_out: Callable[[list[Action]], None],
        ask: Callable[[Command, Callable[[Any], None], int], int],
        withdraw: Callable[[int], None],
    ) -> None:
        """`carry_out`: for what the replica decides on a delivery.  `ask`: a follower's command, how to tell
        its result, and for how long it is pursued; `withdraw`: one by the number that this gave."""
        self._replica, self._now, self._carry_out = replica, now, carry_out
        self._ask, self._withdraw = ask, withdraw
        self._messages = FollowerMessages(replica.chain)
        self.by_connection: dict[JsonConnection, Follower] = {}
        self._core: ControlReplicas | None = None  # as the followers were told last

    # --- who follows

    def add(self, lines: JsonConnection) -> None:
        self.by_connection[lines] = Follower(lines)

    def remove(self, lines: JsonConnection) -> None:
        """It asks elsewhere for what it waits for: what it asked here is not pursued any more."""
        follower = self.by_connection.pop(lines, None)
        if follower is not None:
            for number in list(follower.commands.values()):
                self._withdraw(number)

    def _following(self) -> list[Follower]:
        return [follower for follower in self.by_connection.values() if follower.follows]

    # --- what they say

    def receive(self, lines: JsonConnection, word: Message) -> None:
        follower = self.by_connection[lines]
        match word:
            case Follow():
                self._follow(follower, word)
            case HeartbeatRequest():
                if follower.follows and self._serves():
                    self._say_beat(follower, word.sent)
            case StageRequest():
                self._send_stage_piece(follower, word)
            case SnapshotRequest():
                if follower.follows:
                    self._send_piece(follower, word)
            case FollowerCommand():
                self._command(follower, word)

    def _follow(self, follower: Follower, word: Follow) -> None:
        follower.index, follower.follows, follower.reports_progress = word.index, True, word.reports_progress
        follower.copying = False
        if not self._serves():
            self._send_away(follower)
            return
        self._say(follower, self._core_line())
        self._say_beat(follower, word.sent)
        self._take_positions(follower, word.staged)
        self._catch_up(follower, word.snapshot, even_none=True)

    def _command(self, follower: Follower, word: FollowerCommand) -> None:
        ended = False

        def done(result: Any) -> None:
            nonlocal ended
            ended = True
            follower.commands.pop(word.id, None)
            log.debug("ask: %s: %s", word.what, result)
            follower.lines.send(Result(word.id, result))

        number = self._ask(word.what, done, FOLLOWER_PATIENCE)
        if not ended:
            follower.commands[word.id] = number

    # --- what they are told

    def _serves(self) -> bool:
        return self._replica.serves(self._now())

    def _core_line(self) -> ControlReplicas:
        return ControlReplicas(tuple(self._replica.agreement.zones().items()))

    def _say(self, follower: Follower, word: Message) -> None:
        follower.lines.send(word)

    def _say_encoded(self, follower: Follower, message: EncodedMessage, stream: bool = True) -> None:
        """One that is made once for several of them.  `stream`: as of `JsonConnection.send_raw`."""
        follower.lines.send_raw(message, stream)

    def _say_beat(self, follower: Follower, echo: int = 0) -> None:
        """Changes are none: with them alone a follower would not know that it is current."""
        now = self._now()
        follower.beat_at = now
        index, age = self._replica.chain.public_index, now - self._replica.current_as_of()
        self._say(follower, Heartbeat(index, now, age, echo))

    def tick(self, now: int) -> None:
        self._part_unless_current()
        core = self._core_line()
        for follower in self._following():
            if core != self._core:
                self._say(follower, core)
            if now - follower.beat_at >= HEARTBEAT_INTERVAL_US:
                self._say_beat(follower)
        self._core = core
        self._look_at_deliveries()

    def _send_away(self, follower: Follower) -> None:
        """It may know of nobody but this side of a cut: it is told whom else to try."""
        follower.follows = False
        core = self._core_line()
        if core.members:
            self._say(follower, ControlReplicas(core.members, in_contact=False))
        self._say(follower, Redirect())

    def _part_unless_current(self) -> None:
        """Guards what is sent between two ticks: words of an old view may be read before the first tick."""
        if not self._serves():
            for follower in self._following():
                self._send_away(follower)

    # --- the log

    def publish(self, news: Publish) -> None:
        self._part_unless_current()
        changes = PublicChanges(news.index, news.rows, news.staged)
        messages: dict[StagedIds, EncodedMessage] = {}
        for follower in self._following():
            if not follower.copying and follower.index < news.index:
                held = self._messages.held_of(follower.progress, news.staged)
                if held not in messages:
                    messages[held] = self._messages.changes(changes, held)
                follower.index = news.index
                self._say_encoded(follower, messages[held])

    def restart(self) -> None:
        """What was published is no longer a prefix of what is held."""
        self._part_unless_current()
        for follower in self._following():
            self._catch_up(follower)

    def _catch_up(
        self, follower: Follower, copy: SnapshotPosition = NO_SNAPSHOT, even_none: bool = False
    ) -> None:
        """`copy`: how far a copy is that it has begun."""
        news = self._messages.missed_since(follower.index)
        if news is None:
            if not follower.copying:
                self._send_piece(follower, SnapshotRequest(0, copy))
            return
        follower.copying = False
        if news.rows or even_none:
            held = self._messages.held_of(follower.progress, news.staged)
            self._say_encoded(follower, self._messages.changes_since(follower.index, news, held))
        follower.index = max(follower.index, news.index)

    def _send_piece(self, follower: Follower, request: SnapshotRequest) -> None:
        found = self._messages.piece(request) if self._serves() else None
        if found is None:
            follower.copying = False
            self._send_away(follower)
            return
        follower.copying = found.piece.total is None
        if found.piece.total is not None:
            follower.index = max(follower.index, found.piece.position.index)
        self._say_encoded(follower, found.message)

    # --- orders ahead of their decision

    def deliver(self, order: StagedChange) -> None:
        for follower in self._following():
            self._offer(follower, order)
        self._look_at_deliveries()

    def _offer(self, follower: Follower, order: StagedChange) -> None:
        follower.progress.keep(self._replica.chain.staged.orders)
        follower.progress.asked_at[order.id] = self._now()
        self._say(follower, StageOffer(order.id, len(order.pieces)))

    def _take_positions(self, follower: Follower, positions: tuple[StagedPosition, ...]) -> None:
        """What a follower brings along that was delivered elsewhere, and what it lacks of what is open."""
        staged = self._replica.chain.staged
        for one in positions:
            follower.progress.pieces[one.id] = one.pieces
        for id_ in sorted(staged.open):
            self._offer(follower, staged.orders[id_])

    def _send_stage_piece(self, follower: Follower, word: StageRequest) -> None:
        if word.id not in self._replica.chain.staged.orders:
            return
        follower.progress.pieces[word.id] = word.piece
        follower.progress.asked_at[word.id] = self._now()
        message = self._messages.stage_piece(word.id, word.piece)
        if message is None:
            self._look_at_deliveries()
        else:
            self._say_encoded(follower, message, stream=False)

    def _look_at_deliveries(self) -> None:
        staged = self._replica.chain.staged
        if not staged.open:
            self._messages.forget_stage_pieces()
            return
        progress = [follower.progress for follower in self._following()]
        for id_ in staged.take_delivered(progress, self._now()):
            self._carry_out(self._replica.delivered(id_, self._now()))
