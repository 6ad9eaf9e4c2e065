"""A lighthouse's answers about itself, and about the pilots that follow it."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from timeline import play

from brackengate.control import admin_commands
from brackengate.control.admin_commands import AdminCommands
from brackengate.control.status import item_list, replica_status
from brackengate.meshctl import figures
from brackengate.protocol.messages import (
    Amend,
    Explain,
    Followers,
    Inquiry,
    ProgressReport,
    ProgressRequest,
    Result,
)

PLANT = '{"Apply":{"Plants":[{"Name":"p","Revision":"r%d"}]},"Remove":{"Plants":[%s]}}'
HOP = {"hop": "out", "at": 1}


class Lines:
    def __init__(self, peer: str) -> None:
        self.peer, self.sent = peer, list[Any]()
        self.said = asyncio.Event()

    def send(self, word: Any) -> None:
        self.sent.append(word)
        self.said.set()


def follower(follows: bool = True, tells: bool = True) -> Any:
    return SimpleNamespace(follows=follows, reports_progress=tells, index=7)


def told(text: str) -> tuple[int, list[tuple[str, str, str]]]:
    """What `status` makes of the core at the end: how many may be lost; chain, duties and state of each."""
    core, _ = play(text)
    members = [host.replica for host in core.hosts.values() if host.replica is not None]
    standings = [replica_status(member, (), core.now) for member in members]
    rows = figures.members(standings)
    found = [(row["chain"], " ".join(row.get("duties", "?")), row["state"]) for row in rows]
    return figures.spare_members(standings), found


def test_each_member_says_what_it_does_and_what_it_lacks() -> None:
    assert told(
        """
        ms    | A              B              C
        2000  | claim k1 g1
        """
    ) == (1, [("head", "enter prune mend", "serves"), ("2", "", "serves"), ("tail", "agree", "serves")])
    assert told(
        """
        ms    | A              B              C
        2000  | stall 60000
        2010  | claim k1 g1
        """
    ) == (
        0,
        [
            ("head", "enter prune mend", "serves"),
            ("tail", "agree", "serves"),
            ("-", "", "disk unfit, waits for a seat"),
        ],
    )
    spare, rows = told(
        """
        ms    | A              B              C
        2000  |                down           down
        """
    )
    assert (spare, rows[0]) == (-1, ("head", "enter prune", "out of touch, view being changed"))
    assert [state for _, _, state in rows[1:]] == ["unreached"] * 2


def test_dropped_items_are_told_with_their_versions() -> None:
    core, _ = play(
        """
        ms    | A              B              C
        1500  | in             in             in
        """
    )
    host = next(iter(core.hosts.values()))
    for version, dropped in ((3, ""), (2, '{"Name":"p","Revision":"r7"}')):
        host.ask(Amend(PLANT % (version, dropped)), lambda _: None)
        core.run(core.now + 1_000_000)
    assert host.replica is not None
    found = item_list(host.replica, core.now)
    assert [(one.name, one.version, one.body, one.index) for one in found.items] == [("p", 7, None, 2)]
    assert found.serving


def test_pilots_that_are_silent_or_older_hold_nothing_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        admin_commands, "PROGRESS_TIMEOUT_S", 0.0
    )  # by the time that the loop turns, it is over

    async def play() -> None:
        quick, silent, older, gone = (Lines(name) for name in ("quick", "silent", "older", "gone"))
        followers = {quick: follower(), silent: follower(), older: follower(tells=False)}
        followers[gone] = follower(follows=False)
        room = AdminCommands(None, followers, None, None)  # type: ignore[arg-type]
        asker = Lines("")
        room.receive(asker, Inquiry(3, Explain("id-1")))  # type: ignore[arg-type]
        assert quick.sent == silent.sent == [ProgressRequest(1, "id-1")]
        assert older.sent == gone.sent == []  # a line that it can't read would end its connection
        room.receive_progress(quick, ProgressReport(1, 9, (HOP,)))  # type: ignore[arg-type]
        room.receive_progress(quick, ProgressReport(8, 9))  # type: ignore[arg-type]
        assert asker.sent == []
        await asker.said.wait()
        [done] = asker.sent
        assert (type(done), done.id) == (Result, 3)
        assert isinstance(done.result, Followers)
        told = {one.addr: (one.index, one.decisions) for one in done.result.proxies}
        assert told == {"quick": (9, (HOP,)), "silent": (None, ()), "older": (None, ())}
        room.receive_progress(silent, ProgressReport(1, 9))  # type: ignore[arg-type]

    asyncio.run(asyncio.wait_for(play(), 10))


def test_the_last_answer_ends_the_look(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_commands, "PROGRESS_TIMEOUT_S", 3600.0)

    async def play() -> None:
        one, two, asker = Lines("one"), Lines("two"), Lines("")
        room = AdminCommands(None, {one: follower(), two: follower()}, None, None)  # type: ignore[arg-type]
        room.receive(asker, Inquiry(1, Explain("id-1")))  # type: ignore[arg-type]
        room.receive_progress(one, ProgressReport(1, 9))  # type: ignore[arg-type]
        assert asker.sent == []
        room.receive_progress(two, ProgressReport(1, 8))  # type: ignore[arg-type]
        assert [one.index for one in asker.sent[0].result.proxies] == [9, 8]

    asyncio.run(play())
