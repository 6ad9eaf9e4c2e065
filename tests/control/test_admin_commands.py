"""A control replica's answers about itself, and about the proxies that follow it."""

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


class FakeConnection:
    """Records what it is sent."""

    def __init__(self, peer: str) -> None:
        self.peer, self.sent = peer, list[Any]()
        self.answered = asyncio.Event()

    def send(self, message: Any) -> None:
        self.sent.append(message)
        self.answered.set()


def follower(follows: bool = True, reports_progress: bool = True) -> Any:
    return SimpleNamespace(follows=follows, reports_progress=reports_progress, index=7)


def status_after(text: str) -> tuple[int, list[tuple[str, str, str]]]:
    """The output of `status` at the end: how many replicas may be lost; chain, duties and state of each."""
    cluster, _ = play(text)
    members = [host.replica for host in cluster.hosts.values() if host.replica is not None]
    standings = [replica_status(member, (), cluster.now) for member in members]
    rows = figures.members(standings)
    found = [(row["chain"], " ".join(row.get("duties", "?")), row["state"]) for row in rows]
    return figures.spare_members(standings), found


def test_each_member_reports_its_duties_and_its_state() -> None:
    assert status_after(
        """
        ms    | A              B              C
        2000  | claim k1 g1
        """
    ) == (1, [("head", "enter prune mend", "serves"), ("2", "", "serves"), ("tail", "agree", "serves")])
    assert status_after(
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
    spare, rows = status_after(
        """
        ms    | A              B              C
        2000  |                down           down
        """
    )
    assert (spare, rows[0]) == (-1, ("head", "enter prune", "out of touch, view being changed"))
    assert [state for _, _, state in rows[1:]] == ["unreached"] * 2


def test_removed_items_are_listed_with_their_versions() -> None:
    cluster, _ = play(
        """
        ms    | A              B              C
        1500  | in             in             in
        """
    )
    host = next(iter(cluster.hosts.values()))
    for version, removed in ((3, ""), (2, '{"Name":"p","Revision":"r7"}')):
        host.ask(Amend(PLANT % (version, removed)), lambda _: None)
        cluster.run(cluster.now + 1_000_000)
    assert host.replica is not None
    found = item_list(host.replica, cluster.now)
    assert [(one.name, one.version, one.body, one.index) for one in found.items] == [("p", 7, None, 2)]
    assert found.serving


def test_proxies_that_do_not_answer_or_are_older_delay_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_commands, "PROGRESS_TIMEOUT_S", 0.0)  # over by the loop's next turn

    async def play() -> None:
        quick, silent, older, gone = (FakeConnection(name) for name in ("quick", "silent", "older", "gone"))
        followers = {quick: follower(), silent: follower(), older: follower(reports_progress=False)}
        followers[gone] = follower(follows=False)
        commands = AdminCommands(None, followers, None, None)  # type: ignore[arg-type]
        asker = FakeConnection("")
        commands.receive(asker, Inquiry(3, Explain("id-1")))  # type: ignore[arg-type]
        assert quick.sent == silent.sent == [ProgressRequest(1, "id-1")]
        assert older.sent == gone.sent == []  # an unknown message would end its connection
        commands.receive_progress(quick, ProgressReport(1, 9, (HOP,)))  # type: ignore[arg-type]
        commands.receive_progress(quick, ProgressReport(8, 9))  # type: ignore[arg-type]
        assert asker.sent == []
        await asker.answered.wait()
        [done] = asker.sent
        assert (type(done), done.id) == (Result, 3)
        assert isinstance(done.result, Followers)
        found = {one.addr: (one.index, one.decisions) for one in done.result.proxies}
        assert found == {"quick": (9, (HOP,)), "silent": (None, ()), "older": (None, ())}
        commands.receive_progress(silent, ProgressReport(1, 9))  # type: ignore[arg-type]

    asyncio.run(asyncio.wait_for(play(), 10))


def test_the_last_answer_ends_the_query(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin_commands, "PROGRESS_TIMEOUT_S", 3600.0)

    async def play() -> None:
        one, two, asker = FakeConnection("one"), FakeConnection("two"), FakeConnection("")
        commands = AdminCommands(None, {one: follower(), two: follower()}, None, None)  # type: ignore[arg-type]
        commands.receive(asker, Inquiry(1, Explain("id-1")))  # type: ignore[arg-type]
        commands.receive_progress(one, ProgressReport(1, 9))  # type: ignore[arg-type]
        assert asker.sent == []
        commands.receive_progress(two, ProgressReport(1, 8))  # type: ignore[arg-type]
        assert [one.index for one in asker.sent[0].result.proxies] == [9, 8]

    asyncio.run(play())
