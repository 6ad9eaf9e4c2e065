"""Long messages in parts: what passes between them, what makes one whole, and what ends a connection."""

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


class Wire:
    """A transport that holds all that was written, until the test lets it through."""

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

    def takes(self) -> list[Message]:
        found, self.written = [_decode(one) for one in b"".join(self.written).split(b"\n")[:-1]], []
        return found


def connection(heard: list[Message]) -> tuple[JsonConnection, Wire]:
    lines, wire = JsonConnection(lambda _, word: heard.append(word), lambda _: None, lambda _: None), Wire()
    transport: Any = wire
    lines.connection_made(transport)
    return lines, wire


def test_a_ping_passes_a_long_message_and_a_short_one_of_the_stream_does_not() -> None:
    async def play() -> None:
        lines, wire = connection([])
        lines.send(incompressible(ROUTES))
        assert sum(map(len, wire.written)) < 2 * INITIAL_WINDOW_BYTES  # the rest waits for acknowledgements
        begun = wire.takes()
        lines.send(Changes(2))
        lines.send(Ping("a", 1))
        assert [type(word) for word in wire.takes()] == [Ping]
        words: list[Message] = []
        for _ in range(1000):
            lines.data_received(msgspec.json.encode(PartReceived()) + b"\n")
            words += wire.takes()
            if Changes(2) in words:
                break
        assert all(isinstance(word, MessagePart) for word in begun + words[:-1])

    asyncio.run(play())


def test_a_message_of_the_stream_passes_one_in_the_background() -> None:
    async def play() -> None:
        heard: list[Message] = []
        (sender, out), (taker, back) = connection([]), connection(heard)
        bulk, news = StagePiece("x", 0, incompressible(ROUTES).rows), Changes(2, incompressible(40).rows)
        for word in (bulk, news, Changes(3)):
            sender.send(word)
        while out.written or back.written:
            data, out.written = b"".join(out.written), []
            if data:
                taker.data_received(data)
            answers, back.written = b"".join(back.written), []
            if answers:
                sender.data_received(answers)
        assert heard == [news, Changes(3), bulk]

    asyncio.run(play())


def test_what_arrives_is_what_was_sent_whatever_the_pieces_it_comes_in() -> None:
    async def play() -> None:
        heard: list[Message] = []
        (sender, out), (taker, back) = connection([]), connection(heard)
        said = [incompressible(ROUTES), Changes(2), Changes(3, (("inst", "x" * COMPRESS_FROM_BYTES, None),))]
        for word in said:
            sender.send(word)
        rng = random.Random(2)
        while out.written or back.written:
            data, out.written = b"".join(out.written), []
            while data:
                cut = rng.randrange(1, 3000)
                taker.data_received(data[:cut])
                data = data[cut:]
            answers, back.written = b"".join(back.written), []
            if answers:
                sender.data_received(answers)
        assert heard == said

    asyncio.run(play())


def test_each_part_is_a_sign_of_life() -> None:
    async def play() -> None:
        signs: list[int] = []
        taker = JsonConnection(lambda *_: None, lambda _: None, lambda _: None, lambda: signs.append(1))
        transport: Any = Wire()
        taker.connection_made(transport)
        outgoing = OutgoingMessages()
        outgoing.add(compress_long(msgspec.json.encode(incompressible(ROUTES)) + b"\n"))
        part = outgoing.next(0.0)
        assert isinstance(part, MessagePart) and not part.size
        taker.data_received(msgspec.json.encode(part) + b"\n")
        assert signs == [1]

    asyncio.run(play())


def test_the_window_follows_the_time_of_acknowledgements() -> None:
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


@pytest.mark.parametrize("wrong", ["short", "long", "cut", "spoilt", "more", "huge"])
def test_parts_that_make_no_message_are_refused(wrong: str) -> None:
    """Above all one that would unfold to more than it tells."""
    message = compress_long(b"x" * 100_000)
    data, size = {
        "short": (message.data, message.size - 1),
        "long": (message.data, message.size + 1),
        "cut": (message.data[:-3], message.size),
        "spoilt": (b"?" + message.data[1:], message.size),
        "more": (message.data + b"x", message.size),
        "huge": (message.data, 1 << 40),
    }[wrong]
    with pytest.raises(MalformedMessage):
        decompress(data, size)


def test_a_message_without_an_end_is_refused() -> None:
    incoming, part = IncomingMessages(), MessagePart(bytes(1 << 20))
    with pytest.raises(MalformedMessage):
        for _ in range(33):
            assert incoming.take(part) is None
