"""Long messages in parts: what overtakes them, how they are reassembled, and what ends a connection."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
import pytest

from brackengate.protocol.json_connection import JsonConnection
from brackengate.protocol.message_parts import (
    COMPRESS_FROM_BYTES,
    INITIAL_WINDOW_BYTES,
    MAX_WINDOW_BYTES,
    MIN_WINDOW_BYTES,
    PART_BYTES,
    IncomingMessages,
    MalformedMessage,
    OutgoingMessages,
    SendWindow,
    compress_long,
    decompress,
)
from brackengate.protocol.messages import Changes, Message, MessagePart, PartReceived, Ping, StagePiece

ROUTES = 400
_decode = msgspec.json.Decoder(Message).decode


def incompressible(rows: int) -> Changes:
    rng = random.Random(1)
    return Changes(
        1, tuple(("route", f"r{n}", [1, "h", {"x": rng.randbytes(120).hex()}]) for n in range(rows))
    )


class FakeTransport:
    """Keeps everything that was written until the test takes it."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.aborted = False

    def get_extra_info(self, name: str) -> None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True

    def write(self, data: bytes) -> None:
        self.written.append(data)

    def take_written(self) -> list[Message]:
        found, self.written = [_decode(one) for one in b"".join(self.written).split(b"\n")[:-1]], []
        return found


def connect(received: list[Message]) -> tuple[JsonConnection, FakeTransport]:
    connection = JsonConnection(lambda _, message: received.append(message), lambda _: None, lambda _: None)
    fake = FakeTransport()
    transport: Any = fake
    connection.connection_made(transport)
    return connection, fake


def test_a_ping_overtakes_a_long_message_and_a_short_ordered_message_does_not() -> None:
    async def play() -> None:
        connection, fake = connect([])
        connection.send(incompressible(ROUTES))
        assert sum(map(len, fake.written)) < 2 * INITIAL_WINDOW_BYTES  # the rest waits for acknowledgements
        first = fake.take_written()
        connection.send(Changes(2))
        connection.send(Ping("a", 1))
        assert [type(message) for message in fake.take_written()] == [Ping]
        later: list[Message] = []
        for _ in range(1000):
            connection.data_received(msgspec.json.encode(PartReceived()) + b"\n")
            later += fake.take_written()
            if Changes(2) in later:
                break
        assert all(isinstance(message, MessagePart) for message in first + later[:-1])

    asyncio.run(play())


def test_an_ordered_message_overtakes_one_in_the_background() -> None:
    async def play() -> None:
        received: list[Message] = []
        (sender, out), (receiver, back) = connect([]), connect(received)
        bulk, ordered = StagePiece("x", 0, incompressible(ROUTES).rows), Changes(2, incompressible(40).rows)
        for message in (bulk, ordered, Changes(3)):
            sender.send(message)
        while out.written or back.written:
            data, out.written = b"".join(out.written), []
            if data:
                receiver.data_received(data)
            answers, back.written = b"".join(back.written), []
            if answers:
                sender.data_received(answers)
        assert received == [ordered, Changes(3), bulk]

    asyncio.run(play())


def test_messages_arrive_unchanged_however_the_bytes_are_split() -> None:
    async def play() -> None:
        received: list[Message] = []
        (sender, out), (receiver, back) = connect([]), connect(received)
        sent = [incompressible(ROUTES), Changes(2), Changes(3, (("inst", "x" * COMPRESS_FROM_BYTES, None),))]
        for message in sent:
            sender.send(message)
        rng = random.Random(2)
        while out.written or back.written:
            data, out.written = b"".join(out.written), []
            while data:
                cut = rng.randrange(1, 3000)
                receiver.data_received(data[:cut])
                data = data[cut:]
            answers, back.written = b"".join(back.written), []
            if answers:
                sender.data_received(answers)
        assert received == sent

    asyncio.run(play())


def test_each_part_shows_that_the_peer_is_alive() -> None:
    async def play() -> None:
        parts: list[int] = []
        receiver = JsonConnection(lambda *_: None, lambda _: None, lambda _: None, lambda: parts.append(1))
        transport: Any = FakeTransport()
        receiver.connection_made(transport)
        outgoing = OutgoingMessages()
        outgoing.add(compress_long(msgspec.json.encode(incompressible(ROUTES)) + b"\n"))
        part = outgoing.next(0.0)
        assert isinstance(part, MessagePart) and not part.size
        receiver.data_received(msgspec.json.encode(part) + b"\n")
        assert parts == [1]

    asyncio.run(play())


def test_the_window_adapts_to_the_time_of_acknowledgements() -> None:
    window = SendWindow()
    for _ in range(100):
        window.sent(PART_BYTES, 0.0)
        window.acknowledged(0.01)
    assert window.size == MAX_WINDOW_BYTES and window.in_flight == 0
    for _ in range(10):
        window.sent(PART_BYTES, 0.0)
        window.acknowledged(0.5)
    assert window.size == MIN_WINDOW_BYTES
    with pytest.raises(MalformedMessage):
        window.acknowledged(1.0)


@pytest.mark.parametrize("wrong", ["short", "long", "truncated", "corrupt", "trailing data", "huge"])
def test_parts_that_form_no_valid_message_are_rejected(wrong: str) -> None:
    """Above all a message that decompresses to more than its declared size."""
    message = compress_long(b"x" * 100_000)
    data, size = {
        "short": (message.data, message.size - 1),
        "long": (message.data, message.size + 1),
        "truncated": (message.data[:-3], message.size),
        "corrupt": (b"?" + message.data[1:], message.size),
        "trailing data": (message.data + b"x", message.size),
        "huge": (message.data, 1 << 40),
    }[wrong]
    with pytest.raises(MalformedMessage):
        decompress(data, size)


def test_a_message_without_a_last_part_is_rejected() -> None:
    incoming, part = IncomingMessages(), MessagePart(bytes(1 << 20))
    with pytest.raises(MalformedMessage):
        for _ in range(33):
            assert incoming.add(part) is None
