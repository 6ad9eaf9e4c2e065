"""A replica's followers: one that receives a snapshot gets changes only after the last piece."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from brackengate.control import transfer
from brackengate.control.actions import Publish
from brackengate.control.follower_connections import FollowerConnections
from brackengate.control.follower_messages import MAX_CHANGES_MESSAGES, MAX_START_INDEXES, FollowerMessages
from brackengate.control.replica import FIRST_INCARNATION, Replica, StoredState
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


class FakeConnection:
    """A follower's connection that records what it is sent."""

    peer = "10.0.0.9"

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.encoded: list[EncodedMessage] = []

    def send(self, message: Message) -> None:
        self.messages.append(message)

    def send_encoded(self, message: EncodedMessage, ordered: bool = True) -> None:
        self.encoded.append(message)
        line = decompress(message.data, message.size) if message.size else message.data
        self.messages.append(msgspec.json.decode(line, type=Message))

    def changes(self) -> list[Changes]:
        return [message for message in self.messages if isinstance(message, Changes)]

    def last_piece(self) -> SnapshotPiece:
        assert isinstance(self.messages[-1], SnapshotPiece)
        return self.messages[-1]


def replica(rows: int) -> Replica:
    made = Replica("a:1", "", StoredState(FIRST_INCARNATION), ["a:1"], True, 1, 1_000_000, 0)
    made.start(0)
    for n in range(rows):
        made.submit_command(ReportUpstream(f"10.0.0.{n}", {"id": f"i{n}"}), n, 0)
        made.on_stored(made.chain.index, made.chain.generation)
    made.chain.replica_log.recent_public.reset(made.chain.index)  # as after a restart
    made.serves = lambda now: True  # type: ignore[method-assign]
    return made


def followers_of(made: Replica) -> FollowerConnections:
    return FollowerConnections(
        made, lambda: 0, lambda actions: None, lambda what, done, within: 0, lambda number: None
    )


def test_changes_come_after_the_last_piece(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(transfer, "PIECE_ROWS", 7)

    connections, fake = followers_of(replica(40)), FakeConnection()
    connection: Any = fake
    connections.add(connection)
    follower = connections.by_connection[connection]
    connections.receive(connection, Follow(-1))
    pieces = [fake.last_piece()]
    while pieces[-1].total is None:
        assert follower.receives_snapshot
        connections.publish(Publish(41, (("inst", "10.0.0.1", None),)))
        assert fake.changes() == []
        connections.receive(connection, SnapshotRequest(len(pieces), pieces[-1].position))
        pieces.append(fake.last_piece())
    assert len(pieces) > 4 and sum(len(piece.rows) for piece in pieces) == 40
    assert fake.changes() == []
    assert (follower.receives_snapshot, follower.index) == (False, 40)
    connections.publish(Publish(41, (("inst", "10.0.0.1", None),)))
    assert len(fake.changes()) == 1 and follower.index == 41


def test_a_message_that_many_followers_need_is_encoded_once() -> None:
    """After a change of the view, or a restart of many proxies, many followers connect and lack the same."""

    made = replica(40)
    connections, chain = followers_of(made), made.chain
    fakes = [FakeConnection() for _ in range(10)]
    for fake in fakes:
        connection: Any = fake
        connections.add(connection)
        connections.receive(connection, Follow(-1))
    assert len({id(fake.encoded[-1]) for fake in fakes}) == 1 and fakes[0].last_piece().total is not None
    made.submit_command(ReportUpstream("10.0.1.1", {"id": "late"}), 99, 0)
    made.on_stored(chain.index, chain.generation)
    connections.restart()
    assert len({id(fake.encoded[-1]) for fake in fakes}) == 1
    assert [row[1] for row in fakes[0].changes()[-1].rows] == ["10.0.1.1"]
    assert {follower.index for follower in connections.by_connection.values()} == {41}


def test_the_cache_is_bounded_however_many_indexes_followers_start_from() -> None:
    made = replica(40)
    recent = made.chain.replica_log.recent_public
    recent.reset(0)
    recent.extend_to(made.chain.index)
    messages = FollowerMessages(made.chain)
    for index in range(40):
        changes = messages.missed_since(index)
        assert changes is not None
        messages.changes_since(index, changes, ())
        assert len(messages._missed) <= MAX_START_INDEXES and len(messages._changes) <= MAX_CHANGES_MESSAGES


def test_commands_of_a_follower_are_withdrawn_when_it_disconnects() -> None:
    """It submits them elsewhere; else each replica that it left would go on submitting them to the head."""
    submitted: list[Any] = []
    withdrawn: list[int] = []

    def submit(what: Command, done: Any, within: int) -> int:
        submitted.append(done)
        return len(submitted)

    connections = FollowerConnections(replica(1), lambda: 0, lambda actions: None, submit, withdrawn.append)
    connection: Any = FakeConnection()
    connections.add(connection)
    for number in (11, 12, 13):
        connections.receive(connection, FollowerCommand(number, Claim(f"k{number}", "g", "1", "")))
    submitted[1](CommandDone())
    connections.remove(connection)
    assert withdrawn == [1, 3] and [message.id for message in connection.messages] == [12]
