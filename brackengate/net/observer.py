"""What the node tells those who only look on: counters, flow export, traces."""

from __future__ import annotations

from typing import Any, Protocol

from brackengate.interface import Outcome, Request


class Observer(Protocol):
    """Telling never waits and costs one check where nobody listens.  Implementations must not raise."""

    def serving(self, now: bool) -> None:
        """Whether at least one upstream serves has changed."""

    def taken(self, request: Request, at: int) -> None:
        """A request was handed in, at this clock time in microseconds."""

    def ended(self, request: Request, status: int, began: int, at: int) -> None:
        """It has had its answer; status 0: its caller had gone."""

    def attempt_began(self, request: Request, number: int, upstream: str, at: int) -> None: ...

    def attempt_written(self, request: Request, number: int, upstream: str) -> None:
        """Its last byte is with the kernel: from here on it may run."""

    def attempt_ended(
        self, request: Request, number: int, upstream: str, outcome: Outcome, latency: int
    ) -> None: ...


class FlowCounter(Protocol):
    """One connection's figures; each call adds numbers and nothing else."""

    def received(self, octets: int) -> None: ...

    def sent(self, octets: int) -> None: ...


class FlowWatch(Protocol):
    """Hears of connections.  The flow that it gives at the beginning is handed back with what comes later."""

    def client(self, local: object, peer: object) -> Any: ...

    def upstream(self, local: object, peer: object) -> Any: ...

    def request(self, flow: Any, class_name: str, tenant: str, status: int, took_us: int) -> None:
        """A request on a client's connection has had its answer."""

    def ended(self, flow: Any, broken: bool) -> None: ...
