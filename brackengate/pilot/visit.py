"""One request at a gate, until it is answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from brackengate.http.body import ResponseSink
from brackengate.http.message import IncomingRequest
from brackengate.http.upstream import UpstreamResponse
from brackengate.net.http import CallerConnection
from brackengate.net.node import Reply
from brackengate.net.upstream import Job, Result, StreamAcceptor
from brackengate.pilot.gate import Operation
from brackengate.pilot.hop import Said, Step
from brackengate.pilot.load import Ticket


@dataclass(slots=True, eq=False)
class Visit:
    """One request at the gate, until it is answered."""

    arrival: IncomingRequest
    connection: CallerConnection
    step: Step
    deadline: int
    timer: asyncio.TimerHandle | None = None
    job: Job | None = None
    operation: Operation | None = None
    ticket: Ticket | None = None
    sink: ResponseSink | None = None  # once a long answer is passed on
    over: bool = False  # it is answered, or its answer has begun, or nobody awaits one

    @property
    def open(self) -> bool:
        """Whether its body is still coming."""
        stream = self.arrival.stream
        return stream is not None and not stream.complete


class Host(Protocol):
    """What becomes of a visit, as the part that has its key asks for it."""

    def takes(self, visit: Visit) -> bool:
        """Whether it would be answered in time here, as far as that can be told."""

    def run(self, visit: Visit) -> None:
        """Send it to the upstream."""

    def say(self, visit: Visit, said: Said, why: str = "") -> None:
        """Answer it with a word of this proxy's own."""

    def answer(self, visit: Visit, reply: Reply, said: Said = Said.RAN, why: str = "") -> None: ...

    def passes(self, visit: Visit, made: Callable[[UpstreamResponse], Reply]) -> StreamAcceptor | None:
        """Who takes a long answer to it."""

    def passed(self, visit: Visit, result: Result) -> bool:
        """Whether its answer had begun; then this is its end."""

    def let_go(self, visit: Visit) -> None:
        """Nobody will read its body any more."""
