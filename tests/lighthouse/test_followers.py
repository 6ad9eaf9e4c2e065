"""A replica's followers: those whose copy is under way get its pieces, and changes after the last one."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from brackengate.lighthouse import transfer
from brackengate.lighthouse.actions import Publish
from brackengate.lighthouse.replica import FIRST, Replica, StoredState
from brackengate.lighthouse.role import Follower, Lighthouse
from brackengate.signals.settings import parse
from brackengate.signals.words import Changes, CopyPiece, CopyRequest, Follow, Line, Report

SETTINGS = """
Ip = "127.0.0.1"
InternalPorts = [1, 2]
[Listen]
Control = "127.0.0.1:1"
"""


class Heard:
    """The end of a follower's connection."""

    peer = "10.0.0.9"

    def __init__(self) -> None:
        self.words: list[Line] = []
        self.raw: list[bytes] = []

    def send(self, word: Line) -> None:
        self.words.append(word)

    def send_raw(self, data: bytes) -> None:
        self.raw.append(data)

    def last_piece(self) -> CopyPiece:
        assert isinstance(self.words[-1], CopyPiece)
        return self.words[-1]


def replica(rows: int) -> Replica:
    made = Replica("a:1", "", StoredState(FIRST), ["a:1"], True, 1, 1_000_000, 0)
    made.start(0)
    for n in range(rows):
        made.ask(Report(f"10.0.0.{n}", {"id": f"i{n}"}), n, 0)
        made.stored(made.chain.index, made.chain.generation)
    made.chain.held.recent_public.begin(made.chain.index)  # as after a restart
    made.serves = lambda now: True  # type: ignore[method-assign]
    return made


def test_changes_come_after_the_last_piece(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 7)

    async def follow() -> None:
        lighthouse, heard = Lighthouse(parse(SETTINGS)), Heard()
        lighthouse.replica = replica(40)
        lines: Any = heard
        follower = lighthouse._followers[lines] = Follower(lines)
        lighthouse._from_pilot(follower, Follow(-1))
        pieces = [heard.last_piece()]
        while pieces[-1].total is None:
            assert follower.copying
            lighthouse._publish(Publish(41, (("inst", "10.0.0.1", None),)))
            assert heard.raw == []
            lighthouse._from_pilot(follower, CopyRequest(len(pieces), pieces[-1].position))
            pieces.append(heard.last_piece())
        assert len(pieces) > 4 and sum(len(piece.rows) for piece in pieces) == 40
        assert not any(isinstance(word, Changes) for word in heard.words)
        assert (follower.copying, follower.index) == (False, 40)
        lighthouse._publish(Publish(41, (("inst", "10.0.0.1", None),)))
        assert len(heard.raw) == 1 and follower.index == 41

    asyncio.run(follow())
