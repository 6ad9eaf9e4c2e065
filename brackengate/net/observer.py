"""Protocols for observers of a node: counters, flow export, traces."""

from __future__ import annotations

from typing import Any, Protocol

from brackengate.interface import Outcome, Request


class Observer(Protocol):
    """Notified of requests and attempts.

    Notifications never block, and cost one check if there is no observer.  Implementations must not raise.
    """

    def serving_changed(self, now: bool) -> None:
        """`now`: whether at least one upstream serves; called when this changes."""

    def request_started(self, request: Request, at: int) -> None:
        """A request was accepted at clock time `at`, in microseconds."""

    def request_ended(self, request: Request, status: int, began: int, at: int) -> None:
        """A request was answered, with status 0 if its caller had disconnected; times in microseconds."""

    def attempt_began(self, request: Request, number: int, upstream: str, at: int) -> None:
        """An attempt of a request, counted from 0, was started."""

    def attempt_written(self, request: Request, number: int, upstream: str) -> None:
        """The attempt's last byte was passed to the kernel: from here on the upstream may execute it."""

    def attempt_ended(
        self, request: Request, number: int, upstream: str, outcome: Outcome, latency: int
    ) -> None:
        """An attempt ended; `latency` in microseconds from its start."""


class FlowCounter(Protocol):
    """Byte counters of one connection; its methods only add numbers."""

    def received(self, octets: int) -> None:
        """Count bytes received."""

    def sent(self, octets: int) -> None:
        """Count bytes sent."""


class FlowWatch(Protocol):
    """Notified of connections.  The flow that it returns first is passed to the later notifications."""

    def client(self, local: object, peer: object) -> Any:
        """A client connected; returns the connection's flow."""

    def upstream(self, local: object, peer: object) -> Any:
        """A connection to an upstream was opened; returns its flow."""

    def request(self, flow: Any, class_name: str, tenant: str, status: int, took_us: int) -> None:
        """A request on a client's connection was answered after `took_us` microseconds."""

    def ended(self, flow: Any, broken: bool) -> None:
        """The connection was closed; `broken`: by an error."""
