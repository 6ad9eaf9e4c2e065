"""Drives both state machines without a socket: pieces in, results out."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from brackengate.http import caller, upstream
from brackengate.http.body import Body, ByteBudget
from brackengate.http.message import IncomingRequest

MAX_STREAMED_BODY_BYTES = 64 << 20


@dataclass
class CallerRun:
    """The result of a caller's bytes.  Every request is answered at once, unless `answers` is off."""

    answers: bool = True
    max_body_bytes: int = MAX_STREAMED_BODY_BYTES
    now: int = 0
    requests: list[tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]] = field(default_factory=list)
    refused: list[tuple[int, str]] = field(default_factory=list)
    written: bytes = b""
    closed: bool = False
    max_buffered_bytes: int = 0
    delivered: list[IncomingRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.machine = caller.CallerMachine(self.now, lambda target: self.max_body_bytes)
        self.bodies: dict[int, bytearray] = {}
        self.reads = True
        self._budget = ByteBudget(1 << 30)

    def send(self, data: bytes) -> None:
        self.do(self.machine.received(data, self.now))
        self.max_buffered_bytes = max(self.max_buffered_bytes, self.machine.buffered_bytes())

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

    def outcome(self) -> tuple[object, ...]:
        return self.requests, self.refused, self.written, self.machine.state


def run_caller(pieces: Iterable[bytes], **more: object) -> CallerRun:
    run = CallerRun(**more)  # type: ignore[arg-type]
    for piece in pieces:
        run.send(piece)
    return run


@dataclass
class UpstreamRun:
    """The result of an upstream's bytes."""

    streaming: bool = False
    written: bool = True

    def __post_init__(self) -> None:
        self.machine = upstream.UpstreamMachine()
        self.machine.start_request(0, None, upstream.StreamingPolicy() if self.streaming else None)
        if self.written:
            self.machine.next_piece(0)
        self.results: list[tuple[object, ...]] = []
        self.body = b""
        self.max_buffered_bytes = 0

    def take(self, events: Sequence[upstream.Event]) -> None:
        for event in events:
            match event:
                case upstream.ResponseStarted(head, _):
                    self.body = head.body
                case upstream.BodyPiece(data):
                    self.body += data
                case upstream.UpstreamResponse(status, _, body, reuse):
                    self.results.append(("answered", status, self.body + body, reuse))
                case upstream.InvalidResponse():
                    self.results.append(("invalid",))
                case upstream.UnsolicitedData():
                    self.results.append(("unsolicited",))

    def send(self, data: bytes) -> None:
        self.take(self.machine.received(data, 0))
        self.max_buffered_bytes = max(
            self.max_buffered_bytes, self.machine.buffered_bytes + len(self.machine._unparsed)
        )


def run_upstream(pieces: Iterable[bytes], ends: bool = False, **more: bool) -> UpstreamRun:
    run = UpstreamRun(**more)
    for piece in pieces:
        run.send(piece)
    if ends:
        run.take(run.machine.ended(True))
    return run


def all_splits(data: bytes) -> Iterator[list[bytes]]:
    """The data in one piece, split once at every byte, and byte by byte."""
    yield [data]
    for index in range(1, len(data)):
        yield [data[:index], data[index:]]
    yield [data[index : index + 1] for index in range(len(data))]
