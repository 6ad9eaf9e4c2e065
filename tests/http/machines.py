"""Drives both machines without a socket: pieces in, verdicts out."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from brackengate.http import caller, upstream
from brackengate.http.body import Body, ByteBudget
from brackengate.http.message import IncomingRequest

MOST_LONG = 64 << 20


@dataclass
class Heard:
    """What a caller's bytes came to.  Every request is answered at once, unless `answers` is off."""

    answers: bool = True
    most_body: int = MOST_LONG
    now: int = 0
    requests: list[tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]] = field(default_factory=list)
    refused: list[tuple[int, str]] = field(default_factory=list)
    written: bytes = b""
    closed: bool = False
    most_held: int = 0
    delivered: list[IncomingRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.machine = caller.CallerMachine(self.now, lambda target: self.most_body)
        self.bodies: dict[int, bytearray] = {}
        self.reads = True
        self._budget = ByteBudget(1 << 30)

    def send(self, data: bytes) -> None:
        self.do(self.machine.received(data, self.now))
        self.most_held = max(self.most_held, self.machine.buffered_bytes())

    def do(self, commands: Sequence[caller.Command]) -> None:
        for command in commands:
            match command:
                case caller.Deliver(arrival):
                    self.delivered.append(arrival)
                    if self.answers:
                        body = bytes(self.bodies.get(id(arrival), arrival.body))
                        self.requests.append((arrival.method, arrival.target, arrival.headers, body))
                        self.do(self.machine.answer(self.now, 200, b"ok"))
                case caller.OpenBody(arrival, length):
                    arrival.stream = Body(self._budget, length, lambda: None)
                    self.bodies[id(arrival)] = bytearray()
                case caller.FeedBody(arrival, data):
                    self.bodies[id(arrival)] += data
                case caller.Write(data):
                    assert not self.closed
                    self.written += data
                case caller.ReportBadRequest(bad):
                    self.refused.append((bad.status, bad.rule_slug))
                case caller.Close():
                    self.closed = True
                case caller.SetReading(on):
                    self.reads = on
                case caller.ContinueLater():
                    self.do(self.machine.resume(self.now))

    def verdict(self) -> tuple[object, ...]:
        return self.requests, self.refused, self.written, self.machine.state


def heard(pieces: Iterable[bytes], **more: object) -> Heard:
    told = Heard(**more)  # type: ignore[arg-type]
    for piece in pieces:
        told.send(piece)
    return told


@dataclass
class Answer:
    """What an upstream's bytes came to."""

    in_pieces: bool = False
    written: bool = True

    def __post_init__(self) -> None:
        self.machine = upstream.UpstreamMachine()
        self.machine.start_request(0, None, upstream.StreamingPolicy() if self.in_pieces else None)
        if self.written:
            self.machine.next_piece(0)
        self.said: list[tuple[object, ...]] = []
        self.body = b""
        self.most_held = 0

    def take(self, events: Sequence[upstream.Event]) -> None:
        for event in events:
            match event:
                case upstream.ResponseStarted(head, _):
                    self.body = head.body
                case upstream.BodyPiece(data):
                    self.body += data
                case upstream.UpstreamResponse(status, _, body, reuse):
                    self.said.append(("answered", status, self.body + body, reuse))
                case upstream.InvalidResponse():
                    self.said.append(("spoilt",))
                case upstream.UnsolicitedData():
                    self.said.append(("unasked",))

    def send(self, data: bytes) -> None:
        self.take(self.machine.received(data, 0))
        self.most_held = max(self.most_held, self.machine.buffered_bytes + len(self.machine._unparsed))


def answered(pieces: Iterable[bytes], ends: bool = False, **more: bool) -> Answer:
    told = Answer(**more)
    for piece in pieces:
        told.send(piece)
    if ends:
        told.take(told.machine.ended(True))
    return told


def cuts(data: bytes) -> Iterator[list[bytes]]:
    """Whole, cut once at every byte, and byte by byte."""
    yield [data]
    for at in range(1, len(data)):
        yield [data[:at], data[at:]]
    yield [data[at : at + 1] for at in range(len(data))]
