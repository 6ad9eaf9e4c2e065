"""Answers operators' commands: about this lighthouse, and about the pilots that follow it.

Nothing of it goes through the chain but the operator's own calls, and nothing is kept up while nobody asks:
how far the pilots are is asked of them then.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from brackengate.control.follower_connections import Follower
from brackengate.control.replica import Replica
from brackengate.control.status import item_list, replica_status
from brackengate.protocol.json_connection import JsonConnection
from brackengate.protocol.messages import (
    Amend,
    Command,
    CommandResult,
    Explain,
    Followers,
    FollowerStatus,
    Held,
    Inquiry,
    InquiryResult,
    Leave,
    MembershipAnswer,
    ProgressReport,
    ProgressRequest,
    Read,
    Rejoin,
    Result,
    Stand,
)

log = logging.getLogger("brackengate.watchroom")

PROGRESS_TIMEOUT_S = 0.4  # a pilot that has not answered by then is passed over


@dataclass(slots=True, eq=False)
class ProgressQuery:
    """One look at all pilots that follow this lighthouse."""

    done: Callable[[tuple[FollowerStatus, ...]], None]
    asked: dict[JsonConnection, Follower]
    said: dict[JsonConnection, ProgressReport] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


class AdminCommands:
    def __init__(
        self,
        replica: Replica,
        followers: Mapping[JsonConnection, Follower],
        ask: Callable[[Command, Callable[[Any], None]], object],
        now: Callable[[], int],
    ) -> None:
        self._replica, self._followers, self._ask, self._now = replica, followers, ask, now
        self._loop = asyncio.get_running_loop()
        self._rounds: dict[int, ProgressQuery] = {}
        self._last = 0

    def receive(self, lines: JsonConnection, word: Inquiry) -> None:
        def say(result: CommandResult | InquiryResult | None) -> None:
            lines.send(Result(word.id, result))

        replica = self._replica
        match word.what:
            case Stand():
                self._look("", lambda pilots: say(replica_status(replica, pilots, self._now())))
            case Explain(attempt):
                self._look(attempt, lambda pilots: say(Followers(pilots)))
            case Held():
                say(item_list(replica, self._now()))
            case Leave(replaced):
                why = replica.leave(replaced, self._now())
                log.info("watchroom: told to give up the seat: %s", why or "it does")
                say(MembershipAnswer(why))
            case Rejoin():
                replica.rejoin()
                log.info("watchroom: told to take a seat again")
                say(MembershipAnswer())
            case Amend() | Read():
                self._ask(word.what, say)

    def receive_progress(self, lines: JsonConnection, word: ProgressReport) -> None:
        """A pilot's answer."""
        one = self._rounds.get(word.id)
        if one is not None and lines in one.asked:
            one.said[lines] = word
            if len(one.said) == len(one.asked):
                self._over(word.id)

    def _look(self, attempt: str, done: Callable[[tuple[FollowerStatus, ...]], None]) -> None:
        self._last += 1
        number = self._last
        following = {lines: one for lines, one in self._followers.items() if one.follows}
        asked = {lines: one for lines, one in following.items() if one.reports_progress}
        silent = tuple(
            FollowerStatus(lines.peer, one.index)
            for lines, one in following.items()
            if not one.reports_progress
        )
        self._rounds[number] = ProgressQuery(lambda said: done((*said, *silent)), asked)
        if not asked:
            self._over(number)
            return
        self._rounds[number].timer = self._loop.call_later(PROGRESS_TIMEOUT_S, self._over, number)
        for lines in asked:
            lines.send(ProgressRequest(number, attempt))

    def _over(self, number: int) -> None:
        one = self._rounds.pop(number)
        if one.timer is not None:
            one.timer.cancel()
        out = []
        for lines, follower in one.asked.items():
            said = one.said.get(lines)
            index, wake = (said.index, said.decisions) if said is not None else (None, ())
            out.append(FollowerStatus(lines.peer, follower.index, index, wake))
        one.done(tuple(out))
