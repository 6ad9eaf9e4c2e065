"""A lighthouse's answers about the pilots that follow it."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from brackengate.lighthouse import watchroom
from brackengate.lighthouse.watchroom import Watchroom
from brackengate.signals.words import Done, Explain, Follows, Inquire, Look, Seen

HOP = {"hop": "out", "at": 1}


class Lines:
    def __init__(self, peer: str) -> None:
        self.peer, self.sent = peer, list[Any]()
        self.said = asyncio.Event()

    def send(self, word: Any) -> None:
        self.sent.append(word)
        self.said.set()


def follower(follows: bool = True, tells: bool = True) -> Any:
    return SimpleNamespace(follows=follows, tells=tells, place=7)


def test_pilots_that_are_silent_or_older_hold_nothing_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchroom, "LOOK_S", 0.0)  # by the time that the loop turns, it is over

    async def play() -> None:
        quick, silent, older, gone = (Lines(name) for name in ("quick", "silent", "older", "gone"))
        followers = {quick: follower(), silent: follower(), older: follower(tells=False)}
        followers[gone] = follower(follows=False)
        room = Watchroom(None, followers, None, None)  # type: ignore[arg-type]
        asker = Lines("")
        room.heard(asker, Inquire(3, Explain("id-1")))  # type: ignore[arg-type]
        assert quick.sent == silent.sent == [Look(1, "id-1")]
        assert older.sent == gone.sent == []  # a line that it can't read would end its connection
        room.seen(quick, Seen(1, 9, (HOP,)))  # type: ignore[arg-type]
        room.seen(quick, Seen(8, 9))  # type: ignore[arg-type]
        assert asker.sent == []
        await asker.said.wait()
        [done] = asker.sent
        assert (type(done), done.id) == (Done, 3)
        told = {one["addr"]: (one.get("place"), one.get("wake", [])) for one in done.result}
        assert told == {"quick": (9, (HOP,)), "silent": (None, []), "older": (None, [])}
        room.seen(silent, Seen(1, 9))  # type: ignore[arg-type]

    asyncio.run(asyncio.wait_for(play(), 10))


def test_the_last_answer_ends_the_look(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchroom, "LOOK_S", 3600.0)

    async def play() -> None:
        one, two, asker = Lines("one"), Lines("two"), Lines("")
        room = Watchroom(None, {one: follower(), two: follower()}, None, None)  # type: ignore[arg-type]
        room.heard(asker, Inquire(1, Explain("id-1")))  # type: ignore[arg-type]
        room.seen(one, Seen(1, 9))  # type: ignore[arg-type]
        assert asker.sent == []
        room.seen(two, Seen(1, 8))  # type: ignore[arg-type]
        assert [Follows(**row).place for row in asker.sent[0].result] == [9, 8]

    asyncio.run(play())
