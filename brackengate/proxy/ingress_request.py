"""A request at ingress, and the operations on it that keyed requests need."""

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
from brackengate.proxy.admission import Operation
from brackengate.proxy.hop_headers import HopInfo, HopOutcome
from brackengate.proxy.load import LoadTicket


@dataclass(slots=True, eq=False)
class IngressRequest:
    """One request at ingress, until it is answered."""

    arrival: IncomingRequest
    connection: CallerConnection
    hop: HopInfo
    deadline: int
    timer: asyncio.TimerHandle | None = None
    job: Job | None = None
    operation: Operation | None = None
    ticket: LoadTicket | None = None
    sink: ResponseSink | None = None  # while a long answer is streamed
    finished: bool = False  # answered, or the answer has begun, or nobody awaits one

    @property
    def receiving_body(self) -> bool:
        """Whether its body is still arriving."""
        stream = self.arrival.stream
        return stream is not None and not stream.complete


class RequestHandler(Protocol):
    """What `KeyedRequests` needs from ingress."""

    def accepts(self, request: IngressRequest) -> bool:
        """Whether the upstream is expected to answer the request in time."""

    def run(self, request: IngressRequest) -> None:
        """Send the request to the upstream."""

    def answer_outcome(self, request: IngressRequest, outcome: HopOutcome, reason: str = "") -> None:
        """Answer for this proxy itself, with an outcome in the hop header."""

    def answer(
        self, request: IngressRequest, reply: Reply, outcome: HopOutcome = HopOutcome.RAN, reason: str = ""
    ) -> None:
        """Answer with an upstream's reply and record the outcome."""

    def stream_receiver(
        self, request: IngressRequest, make_reply: Callable[[UpstreamResponse], Reply]
    ) -> StreamAcceptor | None:
        """The receiver of a long answer; `make_reply` makes the reply from its head."""

    def finish_stream(self, request: IngressRequest, result: Result) -> bool:
        """End the answer if it is being streamed; returns whether it was."""

    def discard_body(self, request: IngressRequest) -> None:
        """Release the buffered request body if nobody will read it any more."""
