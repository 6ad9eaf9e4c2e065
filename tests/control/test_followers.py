"""A replica's followers: those whose copy is under way get its pieces, and changes after the last one."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from brackengate.control import transfer
from brackengate.control.actions import Publish
from brackengate.control.follower_connections import FollowerConnections
from brackengate.control.follower_messages import MAX_CHANGES_MESSAGES, MAX_START_INDEXES, FollowerMessages
from brackengate.control.replica import FIRST, Replica, StoredState
from brackengate.protocol.message_parts import EncodedMessage, decompress
from brackengate.protocol.messages import (
    Changes,
    Claim,
    Command,
    CommandDone,
    Follow,
    FollowerCommand,
    Message,
    ReportUpstream,
    SnapshotPiece,
    SnapshotRequest,
)


class Heard:
    """The end of a follower's connection."""

    peer = "10.0.0.9"

    def __init__(self) -> None:
        self.words: list[Message] = []
        self.messages: list[EncodedMessage] = []

    def send(self, word: Message) -> None:
        self.words.append(word)

    def send_raw(self, message: EncodedMessage, stream: bool = True) -> None:
        self.messages.append(message)
        line = decompress(message.data, message.size) if message.size else message.data
        self.words.append(msgspec.json.decode(line, type=Message))

    def changes(self) -> list[Changes]:
        return [word for word in self.words if isinstance(word, Changes)]

    def last_piece(self) -> SnapshotPiece:
        assert isinstance(self.words[-1], SnapshotPiece)
        return self.words[-1]


def replica(rows: int) -> Replica:
    made = Replica("a:1", "", StoredState(FIRST), ["a:1"], True, 1, 1_000_000, 0)
    made.start(0)
    for n in range(rows):
        made.ask(ReportUpstream(f"10.0.0.{n}", {"id": f"i{n}"}), n, 0)
        made.stored(made.chain.index, made.chain.generation)
    made.chain.held.recent_public.begin(made.chain.index)  # as after a restart
    made.serves = lambda now: True  # type: ignore[method-assign]
    return made


def followers_of(made: Replica) -> FollowerConnections:
    return FollowerConnections(
        made, lambda: 0, lambda actions: None, lambda what, done, within: 0, lambda number: None
    )


def test_changes_come_after_the_last_piece(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 7)

    connections, heard = followers_of(replica(40)), Heard()
    lines: Any = heard
    connections.add(lines)
    follower = connections.by_connection[lines]
    connections.receive(lines, Follow(-1))
    pieces = [heard.last_piece()]
    while pieces[-1].total is None:
        assert follower.copying
        connections.publish(Publish(41, (("inst", "10.0.0.1", None),)))
        assert heard.changes() == []
        connections.receive(lines, SnapshotRequest(len(pieces), pieces[-1].position))
        pieces.append(heard.last_piece())
    assert len(pieces) > 4 and sum(len(piece.rows) for piece in pieces) == 40
    assert heard.changes() == []
    assert (follower.copying, follower.index) == (False, 40)
    connections.publish(Publish(41, (("inst", "10.0.0.1", None),)))
    assert len(heard.changes()) == 1 and follower.index == 41


def test_what_many_lack_is_made_once_for_all_of_them() -> None:
    """After a change of the view, or a restart of many proxies, followers come together and lack the same."""

    made = replica(40)
    connections, chain = followers_of(made), made.chain
    ends = [Heard() for _ in range(10)]
    for end in ends:
        lines: Any = end
        connections.add(lines)
        connections.receive(lines, Follow(-1))
    assert len({id(end.messages[-1]) for end in ends}) == 1 and ends[0].last_piece().total is not None
    made.ask(ReportUpstream("10.0.1.1", {"id": "late"}), 99, 0)
    made.stored(chain.index, chain.generation)
    connections.restart()
    assert len({id(end.messages[-1]) for end in ends}) == 1
    assert [row[1] for row in ends[0].changes()[-1].rows] == ["10.0.1.1"]
    assert {follower.index for follower in connections.by_connection.values()} == {41}


def test_followers_from_many_indexes_do_not_make_it_keep_what_each_lacks() -> None:
    made = replica(40)
    made.chain.held.recent_public.begin(0)
    messages = FollowerMessages(made.chain)
    for index in range(40):
        news = messages.missed_since(index)
        assert news is not None
        messages.changes_since(index, news, ())
        assert len(messages._missed) <= MAX_START_INDEXES and len(messages._changes) <= MAX_CHANGES_MESSAGES


def test_what_a_follower_asked_is_not_pursued_once_it_has_left() -> None:
    """It asks elsewhere: else each replica that it passed would go on submitting its commands to the head."""
    asked: list[Any] = []
    withdrawn: list[int] = []

    def ask(what: Command, done: Any, within: int) -> int:
        asked.append(done)
        return len(asked)

    connections = FollowerConnections(replica(1), lambda: 0, lambda actions: None, ask, withdrawn.append)
    lines: Any = Heard()
    connections.add(lines)
    for number in (11, 12, 13):
        connections.receive(lines, FollowerCommand(number, Claim(f"k{number}", "g", "1", "")))
    asked[1](CommandDone())
    connections.remove(lines)
    assert withdrawn == [1, 3] and [word.id for word in lines.words] == [12]
