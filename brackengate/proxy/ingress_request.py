"""One request at a gate, until it is answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from brackengate.http.body import AnswerSink
from brackengate.http.message import Arrival
from brackengate.http.upstream import Answered
from brackengate.net.http import CallerConnection
from brackengate.net.node import Reply
from brackengate.net.upstream import Begun, Job, Result
from brackengate.proxy.admission import Operation
from brackengate.proxy.hop_headers import HopInfo, HopOutcome
from brackengate.proxy.load import LoadTicket


@dataclass(slots=True, eq=False)
class IngressRequest:
    """One request at the gate, until it is answered."""

    arrival: Arrival
    connection: CallerConnection
    hop: HopInfo
    deadline: int
    timer: asyncio.TimerHandle | None = None
    job: Job | None = None
    operation: Operation | None = None
    ticket: LoadTicket | None = None
    sink: AnswerSink | None = None  # once a long answer is passed on
    finished: bool = False  # it is answered, or its answer has begun, or nobody awaits one

    @property
    def receiving_body(self) -> bool:
        """Whether its body is still coming."""
        stream = self.arrival.stream
        return stream is not None and not stream.whole


class RequestHandler(Protocol):
    """What becomes of a visit, as the part that has its key asks for it."""

    def accepts(self, request: IngressRequest) -> bool:
        """Whether it would be answered in time here, as far as that can be told."""

    def run(self, request: IngressRequest) -> None:
        """Send it to the upstream."""

    def answer_outcome(self, request: IngressRequest, outcome: HopOutcome, reason: str = "") -> None:
        """Answer it with a word of this proxy's own."""

    def answer(
        self, request: IngressRequest, reply: Reply, outcome: HopOutcome = HopOutcome.RAN, reason: str = ""
    ) -> None: ...

    def stream_receiver(
        self, request: IngressRequest, make_reply: Callable[[Answered], Reply]
    ) -> Begun | None:
        """Who takes a long answer to it."""

    def finish_stream(self, request: IngressRequest, result: Result) -> bool:
        """Whether its answer had begun; then this is its end."""

    def discard_body(self, request: IngressRequest) -> None:
        """Nobody will read its body any more."""
