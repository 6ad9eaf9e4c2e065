"""Answers the queries of operators' commands: about this replica, and about the proxies that follow it.

Only `Amend` and `Read` go through the chain.  The progress of the proxies is not tracked; they are queried
when an operator asks.
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

PROGRESS_TIMEOUT_S = 0.4  # a proxy that has not answered by then is listed without an index


@dataclass(slots=True, eq=False)
class ProgressQuery:
    """One query to all proxies that follow this replica."""

    done: Callable[[tuple[FollowerStatus, ...]], None]
    queried: dict[JsonConnection, Follower]
    reports: dict[JsonConnection, ProgressReport] = field(default_factory=dict)
    timer: asyncio.TimerHandle | None = None


class AdminCommands:
    """Answers inquiries, and keeps the progress queries that are in flight."""

    def __init__(
        self,
        replica: Replica,
        followers: Mapping[JsonConnection, Follower],
        submit: Callable[[Command, Callable[[Any], None]], object],
        now: Callable[[], int],
    ) -> None:
        self._replica, self._followers, self._submit, self._now = replica, followers, submit, now
        self._loop = asyncio.get_running_loop()
        self._queries: dict[int, ProgressQuery] = {}
        self._last_query = 0

    def receive(self, connection: JsonConnection, inquiry: Inquiry) -> None:
        """Answers an inquiry by a `Result` on its connection."""

        def answer(result: CommandResult | InquiryResult | None) -> None:
            connection.send(Result(inquiry.id, result))

        replica = self._replica
        match inquiry.what:
            case Stand():
                self._query_progress(
                    "", lambda proxies: answer(replica_status(replica, proxies, self._now()))
                )
            case Explain(attempt):
                self._query_progress(attempt, lambda proxies: answer(Followers(proxies)))
            case Held():
                answer(item_list(replica, self._now()))
            case Leave(replaced):
                refusal = replica.leave(replaced, self._now())
                log.info("watchroom: operator's command to leave the view: %s", refusal or "accepted")
                answer(MembershipAnswer(refusal))
            case Rejoin():
                replica.rejoin()
                log.info("watchroom: operator's command to rejoin")
                answer(MembershipAnswer())
            case Amend() | Read():
                self._submit(inquiry.what, answer)

    def receive_progress(self, connection: JsonConnection, report: ProgressReport) -> None:
        """Takes a proxy's answer to a progress query."""
        query = self._queries.get(report.id)
        if query is not None and connection in query.queried:
            query.reports[connection] = report
            if len(query.reports) == len(query.queried):
                self._finish(report.id)

    def _query_progress(self, attempt: str, done: Callable[[tuple[FollowerStatus, ...]], None]) -> None:
        self._last_query += 1
        number = self._last_query
        following = {
            connection: follower for connection, follower in self._followers.items() if follower.follows
        }
        queried = {
            connection: follower for connection, follower in following.items() if follower.reports_progress
        }
        silent = tuple(
            FollowerStatus(connection.peer, follower.index)
            for connection, follower in following.items()
            if not follower.reports_progress
        )
        self._queries[number] = ProgressQuery(lambda reported: done((*reported, *silent)), queried)
        if not queried:
            self._finish(number)
            return
        self._queries[number].timer = self._loop.call_later(PROGRESS_TIMEOUT_S, self._finish, number)
        for connection in queried:
            connection.send(ProgressRequest(number, attempt))

    def _finish(self, number: int) -> None:
        query = self._queries.pop(number)
        if query.timer is not None:
            query.timer.cancel()
        out = []
        for connection, follower in query.queried.items():
            report = query.reports.get(connection)
            index, decisions = (report.index, report.decisions) if report is not None else (None, ())
            out.append(FollowerStatus(connection.peer, follower.index, index, decisions))
        query.done(tuple(out))
