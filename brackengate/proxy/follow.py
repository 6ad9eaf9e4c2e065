"""A pilot's link to the lighthouses: it follows the log of changes, and asks.

Nearest first: a member in its own zone, then the others in an order of its own (rendezvous hashing), so that
those who lose theirs do not all go to the same one.  Silence, a broken connection or `Redirect` moves it on.
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
from brackengate.proxy.copy import PublicCopy
from brackengate.proxy.currency import ClockOffset, Currency
from brackengate.proxy.routing_table import Table
from brackengate.proxy.staged import NotHeld, StagedStore

log = logging.getLogger("brackengate.follow")

SILENT = 600_000  # a member beats every 0.15 to 0.2 s
LOOK_S = 0.15  # between two looks whether it has gone silent
PAUSE_S = 0.1
CLOCK_S = 4.0  # between two exchanges of times with the member that is followed
HOME_S = 4.0  # between two looks whether a nearer member is there again


def order(me: str, zone: str, members: Iterable[tuple[str, str]]) -> list[str]:
    """The members as this pilot would follow them: its own zone's first, then by rendezvous hashing."""

    def rank(member: tuple[str, str]) -> tuple[bool, bytes]:
        addr, its_zone = member
        return its_zone != zone, hashlib.blake2b(f"{me}|{addr}".encode(), digest_size=8).digest()

    return [addr for addr, _ in sorted(set(members), key=rank)]


@dataclass(slots=True, eq=False)
class Question:
    what: Command
    done: Callable[[Any], None]
    timer: asyncio.TimerHandle


class Link:
    """One connection to one member, and whether it has said anything of use."""

    def __init__(self, follow: Following, addr: str) -> None:
        self.addr, self._follow = addr, follow
        self.heard = follow.now()
        self.good = False
        self.clock = ClockOffset()
        self._asked, self._request = NOTHING, 0  # the piece of a copy that comes next
        host = parse_address(addr)[0]
        address = host, follow.port
        self._dialer = Dialer(
            address, self._line, self._opened, self._ended, max_failures=1, on_part=self._heard_something
        )

    def send(self, word: Message) -> None:
        self._dialer.send(word)

    def close(self) -> None:
        self._dialer.close()

    def _opened(self, dialer: Dialer) -> None:
        self.heard = self._follow.now()
        dialer.send(Hello(self._follow.me, is_proxy=True))
        self._asked, self._request = self._follow.copy.position, 0
        dialer.send(
            Follow(
                self._follow.table.index,
                reports_progress=True,
                snapshot=self._asked,
                sent=self.heard,
                staged=self._follow.staged.positions(),
            )
        )

    def ask_for_piece(self, position: SnapshotPosition) -> None:
        self._asked, self._request = position, self._request + 1
        self.send(SnapshotRequest(self._request, position))

    def asked_for(self, piece: SnapshotPiece) -> SnapshotPosition | None:
        """The position that this piece follows; None where it answers no open request."""
        return self._asked if piece.id in (0, self._request) else None

    def _heard_something(self) -> None:
        self.heard = self._follow.now()

    def _line(self, word: Message) -> None:
        self._heard_something()
        self._follow.line(self, word)

    def _ended(self) -> None:
        self._follow.lost(self, "the connection ended")


class Following:
    def __init__(
        self,
        me: str,
        zone: str,
        port: int,
        seeds: Callable[[], Iterable[str]],
        table: Table,
        changed: Callable[[set[str]], None],
        now: Callable[[], int],
        wake: Callable[[str], tuple[dict[str, Any], ...]],
    ) -> None:
        """`seeds`: asked again whenever nobody else is known who answers.  `changed`: told what kinds of rows
        have changed, once the table has them.  `wake`: what was decided of an attempt, for an operator."""
        self._wake = wake
        self.copy = PublicCopy()
        self.staged, self.currency = StagedStore(), Currency()
        self.on_current: Callable[[], None] = lambda: None  # what is in force, or how current it is, changed
        self.me, self.zone, self.port, self.table, self.now = me, zone, port, table, now
        self._seeds, self._changed = seeds, changed
        self._members: dict[str, str] = {}
        self._link: Link | None = None  # followed, or being tried
        self._home: Link | None = None  # a nearer one, being tried beside it
        self._turn: list[str] = []
        self._questions: dict[int, Question] = {}
        self._last = 0
        self._closed = False
        self._loop = asyncio.get_running_loop()
        self._changes = ApplyQueue(table, self._loop.call_soon, self._told)

    def start(self) -> None:
        self._next()
        self._watch()
        self._loop.call_later(HOME_S, self._look_home)
        self._exchange_times()

    def close(self) -> None:
        self._closed = True
        for link in (self._link, self._home):
            if link is not None:
                link.close()

    @property
    def in_touch(self) -> bool:
        return self._link is not None and self._link.good

    # --- asking

    def ask(self, what: Command, done: Callable[[Any], None], within_s: float) -> None:
        """`done` is called once, with None where no answer came in time."""
        self._last += 1
        number = self._last
        timer = self._loop.call_later(within_s, self._unanswered, number)
        self._questions[number] = Question(what, done, timer)
        if self._link is not None and self._link.good:
            self._link.send(FollowerCommand(number, what))

    def _unanswered(self, number: int) -> None:
        question = self._questions.pop(number, None)
        if question is not None:
            question.done(None)

    # --- how current it is

    def is_current(self, within: int) -> bool:
        """Whether all that was acknowledged `within` microseconds ago is in force here."""
        return self.currency.current(self.now(), within)

    def _exchange_times(self) -> None:
        if self._closed:
            return
        self._loop.call_later(CLOCK_S, self._exchange_times)
        if self._link is not None and self._link.good:
            self._link.send(HeartbeatRequest(self.now()))

    def _heartbeat(self, link: Link, beat: Heartbeat) -> None:
        now = self.now()
        if not beat.now:
            return
        if beat.echo:
            link.clock.exchanged(beat.echo, beat.now, now)
        self.currency.heartbeat(beat.index, link.clock.to_ours(beat.now - beat.age, now))
        self.on_current()

    # --- following

    def _next(self) -> None:
        """Try the next member in turn."""
        if self._closed:
            return
        if not self._turn:
            known = {**dict.fromkeys(self._seeds(), ""), **self._members}
            self._turn = order(self.me, self.zone, known.items())
        if not self._turn:
            self._loop.call_later(PAUSE_S, self._next)
            return
        self._link = Link(self, self._turn.pop(0))

    def lost(self, link: Link, why: str) -> None:
        link.close()
        if link is self._home:
            self._home = None
        elif link is self._link:
            if link.good:  # the others first: whoever has just gone silent would be waited for in vain
                log.info("follow: left %s: %s", link.addr, why)
                others = order(self.me, self.zone, self._members.items())
                self._turn = [*(addr for addr in others if addr != link.addr), link.addr]
            self._link = None
            self._loop.call_later(PAUSE_S if not self._turn else 0.0, self._next)

    def _watch(self) -> None:
        if self._closed:
            return
        self._loop.call_later(LOOK_S, self._watch)
        for link in (self._link, self._home):
            if link is not None and self.now() - link.heard > SILENT:
                self.lost(link, "silence")

    def _look_home(self) -> None:
        if self._closed:
            return
        self._loop.call_later(HOME_S, self._look_home)
        best = order(self.me, self.zone, self._members.items())[:1]
        link = self._link
        if link is None or not link.good or self._home is not None or not best:
            return
        if self._members[best[0]] == self.zone and link.addr != best[0]:
            self._home = Link(self, best[0])

    def line(self, link: Link, word: Message) -> None:
        if isinstance(word, Redirect):
            self.lost(link, "it is out of touch")
        elif isinstance(word, ProgressRequest):
            seen = self._wake(word.attempt) if word.attempt else ()
            link.send(ProgressReport(word.id, self.table.index, seen))
        elif isinstance(word, ControlReplicas):
            self._members = dict(word.members)
        elif isinstance(word, Result):
            question = self._questions.pop(word.id, None)
            if question is not None:
                question.timer.cancel()
                question.done(word.result)
        elif isinstance(word, Heartbeat):
            self._heartbeat(link, word)
        elif isinstance(word, Changes):
            self._followed(link)
            self.copy.begin_anew()
            self._take_changes(link, word)
        elif isinstance(word, StageOffer):
            link.send(StageRequest(word.id, self.staged.offered(word.id, word.pieces)))
        elif isinstance(word, StagePiece):
            wanted = self.staged.take(word)
            if wanted is not None:
                link.send(StageRequest(word.id, wanted))
        elif isinstance(word, SnapshotPiece):
            self._followed(link)
            self._piece(link, word)

    def _piece(self, link: Link, piece: SnapshotPiece) -> None:
        asked = link.asked_for(piece)
        if asked is None:
            return
        try:
            whole = self.copy.take(asked, piece)
        except Differs as why:
            log.error("follow: step copy, from %s: it differs: %s", link.addr, why)
            self.lost(link, "its copy differs")
            return
        if whole:
            self._changes.add_copy(*self.copy.whole())
        else:
            link.ask_for_piece(self.copy.position)

    def _take_changes(self, link: Link, news: Changes) -> None:
        """Staged rows are put in force before those that come with them."""
        rows: list[Row] = []
        try:
            for reference in news.staged:
                rows += self.staged.put_in_force(reference)
        except NotHeld as why:
            log.error("follow: step staged, from %s: %s is not here", link.addr, why)
            self.lost(link, "it refers to what is not here")
            return
        self._changes.add(news.index, (*rows, *news.rows))

    def _told(self, changed: set[str]) -> None:
        self.currency.reached(self.table.index)
        if changed:
            self._changed(changed)
        self.on_current()

    def _followed(self, link: Link) -> None:
        """It is in touch: what was asked is asked again there."""
        if link.good:
            return
        link.good = True
        if link is self._home:
            old, self._link, self._home = self._link, link, None
            if old is not None:
                old.close()
        self._turn = []
        log.info("follow: %s, from index %d", link.addr, self.table.index)
        for number, question in self._questions.items():
            link.send(FollowerCommand(number, question.what))
