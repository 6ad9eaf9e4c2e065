"""Watches discovery's list of upstreams: reads its snapshot and changes, detects silence, reconnects."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections.abc import Iterable
from typing import Any, Protocol, cast

import httptools

from brackengate.interface import Endpoint, Lifecycle, ListKind
from brackengate.net.node import Clock
from brackengate.net.sockets import Address, parse_address

log = logging.getLogger(__name__)

# Discovery sends an empty line every 2 s, and counts a change as delivered after 6 s in any case.
WATCH_SILENCE_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
FIRST_LINE_TIMEOUT_S = 6.0  # a discovery that handles requests one by one may answer late
STABLE_WATCH_S = 1.0  # after a watch that lasted this long, the next is started at once
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0
MAX_HEAD_BYTES = 16 << 10
MAX_LINE_BYTES = 2 << 20  # some thousands of upstreams need under 1 MiB
LIFECYCLE_BY_STATUS = {"ready": Lifecycle.SERVING, "draining": Lifecycle.DRAINING, "gone": Lifecycle.GONE}

EndpointRows = list[tuple[Endpoint, Address]]


class InvalidEndpointList(ValueError):
    """The message is not a valid list of upstreams."""


PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def parse_endpoint_list(message: Any) -> tuple[int, bool, EndpointRows]:
    """The version, whether the list is complete, and its rows, from discovery's JSON.

    An upstream whose row is invalid counts as gone until a valid row arrives.  If an invalid row failed the
    watch, no other row would be delivered, as each new watch would receive it again.  Raises
    `InvalidEndpointList` if the list as a whole is invalid.
    """
    try:
        version, complete, rows = int(message["index"]), bool(message["snapshot"]), []
        for row in message["endpoints"]:
            try:
                rows.append(_parse_row(row))
            except PARSE_ERRORS as error:
                log.warning("discovery: invalid row: %.200r: %r", row, error)
                if isinstance(row, dict) and isinstance(row.get("name"), str):
                    rows.append((Endpoint(row["name"], state=Lifecycle.GONE), ("", 0)))
        return version, complete, rows
    except PARSE_ERRORS as error:
        raise InvalidEndpointList(f"not a list of upstreams: {error!r}") from None


def _parse_row(row: dict[str, Any]) -> tuple[Endpoint, Address]:
    # An upstream with an unknown status gets no requests.
    state = LIFECYCLE_BY_STATUS.get(str(row["status"]), Lifecycle.DRAINING)
    cell = row.get("group")
    weight = 1.0 if row.get("weight") is None else float(row["weight"])
    if not math.isfinite(weight):  # JSON as Python parses it includes NaN, which breaks sorting
        raise ValueError(f"weight {weight}")
    endpoint = Endpoint(
        upstream=str(row["name"]),
        zone=str(row.get("zone") or ""),
        kind=str(row.get("type") or ""),
        cell=-1 if cell is None else int(cell),
        state=state,
        weight=weight,
        started_at=int(row.get("since_ms") or 0) * 1000,
    )
    gone = state is Lifecycle.GONE and not row.get("address")
    return endpoint, ("", 0) if gone else parse_address(str(row["address"]))


class _WatchStream(asyncio.Protocol):
    """The connection of one watch.  The future `ended` is done when it has ended, for whatever reason."""

    def __init__(self, discovery: Discovery, request: bytes) -> None:
        self._discovery, self._request = discovery, request
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.last_received_at = asyncio.get_running_loop().time()
        self.lines = 0
        self._head_bytes: int | None = 0  # received so far; None after the head
        self.end_reason = "ended"
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is one without deriving from it
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        if self.ended.done():
            return
        self.last_received_at = asyncio.get_running_loop().time()
        try:
            self._parser.feed_data(data)
            if self._head_bytes is not None:
                self._head_bytes += len(data)
                if self._head_bytes > MAX_HEAD_BYTES:
                    self.end("a head without end")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The parser wraps an exception of a callback, which says more than the wrapper.
            self.end(str(error.__context__ or error))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("ended")

    def end(self, reason: str) -> None:
        """End the watch and close its connection; the first reason given is kept."""
        if not self.ended.done():
            self.end_reason = reason
            self.ended.set_result(None)
        if self._transport is not None:
            self._transport.abort()

    def on_headers_complete(self) -> None:
        if self._parser.get_status_code() != 200:
            raise InvalidEndpointList(f"status {self._parser.get_status_code()}")
        self._head_bytes = None

    def on_body(self, data: bytes) -> None:
        self._buffer += data
        if len(self._buffer) > MAX_LINE_BYTES:
            raise InvalidEndpointList("a line without end")
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            if not line.strip():
                continue
            try:
                self._discovery.apply(json.loads(line))
            except (ValueError, RecursionError) as error:
                self._discovery.unreadable_line()
                raise InvalidEndpointList(f"{error}") from None
            self.lines += 1

    def on_message_complete(self) -> None:
        self.end("ended")


class UpstreamListSink(Protocol):
    """Receives the list of upstreams: a node, or a registry that serves several nodes."""

    clock: Clock

    def update_upstreams(
        self, kind: ListKind, rows: Iterable[tuple[Endpoint, Address]], version: int = 0
    ) -> None:
        """Apply a complete list or changes; `version` is discovery's version of the list."""


class Discovery:
    """Keeps a watch on the list of upstreams.

    If lists are pushed, it watches from `start` on and reconnects by itself; meanwhile the last list stays in
    force.  If lists are fetched on request, the decision module starts each watch and is notified of its end.
    """

    def __init__(
        self, node: UpstreamListSink, address: Address, on_request: bool, rng: random.Random
    ) -> None:
        self._node, self._address, self._on_request, self._rng = node, address, on_request, rng
        self._version = 0
        self._watching = False  # also while waiting to reconnect
        self._task: asyncio.Task[None] | None = None
        self._stream: _WatchStream | None = None

    def start(self, known: Any) -> None:
        """Start from the last list received, `known`; raises `InvalidEndpointList` if it is invalid."""
        self._version, _, rows = parse_endpoint_list(known)
        self._node.update_upstreams(ListKind.CACHED, rows, self._version)
        if not self._on_request:
            self.watch(True)

    def change_address(self, address: Address) -> None:
        """Continue with another discovery server; the present list stays in force.

        The new server may count versions from the start, so that `after` would skip changes or wait for a
        version that never comes.  It is therefore asked for the complete list.
        """
        if address == self._address:
            return
        self._address, self._version = address, 0
        if self._watching:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Start a new watch, or end the present one."""
        self.close()
        self._watching = on
        if on:
            self._task = asyncio.get_running_loop().create_task(self._keep_watching())

    def close(self) -> None:
        """End the watch."""
        self._watching = False
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._stream is not None:
            self._stream.end("closed")
            self._stream = None

    def unreadable_line(self) -> None:
        """A line was invalid: the next watch asks for the complete list, which includes its changes."""
        self._version = 0

    def apply(self, message: Any) -> None:
        """Pass on a list; raises `InvalidEndpointList` if it is invalid."""
        version, complete, rows = parse_endpoint_list(message)
        self._version = version
        self._node.update_upstreams(ListKind.FULL if complete else ListKind.CHANGES, rows, version)

    async def _keep_watching(self) -> None:
        failures = 0
        while True:
            started_at = asyncio.get_running_loop().time()
            reason = await self._run_watch()
            if self._on_request:
                self._task, self._watching = None, False
                log.info("discovery: %s; the decision module is notified", reason)
                self._node.update_upstreams(ListKind.BROKEN, ())
                return
            # Reconnect at once after a watch that worked, so that no change is delayed; otherwise back off
            # with jitter, so that not all balancers reconnect together to a discovery that has restarted.
            duration_s = asyncio.get_running_loop().time() - started_at
            failures = 0 if duration_s >= STABLE_WATCH_S else failures + 1
            delay_s = 0.0
            if failures:
                delay_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(failures, 10)) * self._rng.uniform(
                    0.5, 1.0
                )
            level = logging.WARNING if failures <= 1 else logging.INFO
            log.log(level, "discovery: %s; reconnecting in %.2f s", reason, delay_s)
            await asyncio.sleep(delay_s)

    async def _run_watch(self) -> str:
        """Run one watch to its end; returns the reason why it ended."""
        loop = asyncio.get_running_loop()
        host, port = self._address
        request = b"GET /v1/endpoints?watch=1&after=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (
            self._version,
            host.encode(),
            port,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, stream = await loop.create_connection(lambda: _WatchStream(self, request), host, port)
        except OSError as error:
            return f"no connection: {error!r}"
        self._stream = stream
        while not stream.ended.done():
            # The connection to a partitioned machine stays open without sending anything.
            silence_timeout_s = (
                FIRST_LINE_TIMEOUT_S if self._on_request and not stream.lines else WATCH_SILENCE_TIMEOUT_S
            )
            remaining_s = stream.last_received_at + silence_timeout_s - loop.time()
            if remaining_s <= 0:
                stream.end("silent")
                break
            await asyncio.wait([stream.ended], timeout=remaining_s)
        self._stream = None
        return stream.end_reason
