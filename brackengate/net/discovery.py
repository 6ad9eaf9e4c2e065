"""The watch on the list of upstreams: its snapshot, its changes, its silence, and coming back to it."""

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

WATCH_SILENCE_TIMEOUT_S = (
    3.0  # an empty line comes every 2 s; what it has to tell counts as told after 6 s, come what may
)
CONNECT_TIMEOUT_S = 1.0
FIRST_LINE_TIMEOUT_S = 6.0  # where calls are worked through in turn, the answer may wait
STABLE_WATCH_S = 1.0  # a watch that lasted this long worked: a new one is begun at once
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0
MAX_HEAD_BYTES = 16 << 10
MAX_LINE_BYTES = 2 << 20  # some thousands of upstreams need under 1 MiB
LIFECYCLE_BY_STATUS = {"ready": Lifecycle.SERVING, "draining": Lifecycle.DRAINING, "gone": Lifecycle.GONE}

EndpointRows = list[tuple[Endpoint, Address]]


class InvalidEndpointList(ValueError):
    """A list that does not have discovery's form."""


PARSE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


def parse_endpoint_list(listed: Any) -> tuple[int, bool, EndpointRows]:
    """Version, whether it is the whole list, and its rows, out of discovery's JSON.

    An upstream whose row cannot be read counts as gone until one can.  Guards against one bad row that would
    keep all others from being told, again and again, as the watch would meet it each time that it is begun.
    """
    try:
        index, whole, rows = int(listed["index"]), bool(listed["snapshot"]), []
        for row in listed["endpoints"]:
            try:
                rows.append(_parse_row(row))
            except PARSE_ERRORS as error:
                log.warning("discovery: a row that cannot be read: %.200r: %r", row, error)
                if isinstance(row, dict) and isinstance(row.get("name"), str):
                    rows.append((Endpoint(row["name"], state=Lifecycle.GONE), ("", 0)))
        return index, whole, rows
    except PARSE_ERRORS as error:
        raise InvalidEndpointList(f"not a list of upstreams: {error!r}") from None


def _parse_row(row: dict[str, Any]) -> tuple[Endpoint, Address]:
    # A status this host does not know is not one to send to.
    state = LIFECYCLE_BY_STATUS.get(str(row["status"]), Lifecycle.DRAINING)
    cell = row.get("group")
    weight = 1.0 if row.get("weight") is None else float(row["weight"])
    if not math.isfinite(weight):  # JSON as Python reads it has NaN; it would upset the module's order
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
    """One watch.  `over` is done when it has ended, for whatever reason."""

    def __init__(self, discovery: Discovery, request: bytes) -> None:
        self._discovery, self._request = discovery, request
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self.last_received_at = asyncio.get_running_loop().time()
        self.lines = 0
        self._head_bytes: int | None = 0  # bytes of it so far
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
            # An exception in a callback comes wrapped; it says more than the wrapping.
            self.end(str(error.__context__ or error))

    def connection_lost(self, exc: Exception | None) -> None:
        self.end("ended")

    def end(self, why: str) -> None:
        if not self.ended.done():
            self.end_reason = why
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
    """Whoever takes a list: a node, or what keeps the lists of several."""

    clock: Clock

    def update_upstreams(
        self, kind: ListKind, rows: Iterable[tuple[Endpoint, Address]], version: int = 0
    ) -> None: ...


class Discovery:
    """Keeps the watch.

    Where lists are pushed it holds one from `start` on, and comes back to it by itself; the last list stays
    in force meanwhile.  Where discovery is asked, the module says when, and hears of each failure.
    """

    def __init__(
        self, node: UpstreamListSink, address: Address, on_request: bool, rng: random.Random
    ) -> None:
        self._node, self._address, self._on_request, self._rng = node, address, on_request, rng
        self._version = 0
        self._watching = False  # also between two watches, while the next is awaited
        self._task: asyncio.Task[None] | None = None
        self._stream: _WatchStream | None = None

    def start(self, known: Any) -> None:
        """Begin with the list as last held."""
        self._version, _, rows = parse_endpoint_list(known)
        self._node.update_upstreams(ListKind.CACHED, rows, self._version)
        if not self._on_request:
            self.watch(True)

    def change_address(self, address: Address) -> None:
        """Go on with another discovery.  The list and what was sent by it stay as they are.

        Guards against versions that the new one counts anew, so that `after` would skip changes or wait
        for a number that never comes: it is asked for the whole list.
        """
        if address == self._address:
            return
        self._address, self._version = address, 0
        if self._watching:
            self.watch(True)

    def watch(self, on: bool) -> None:
        self.close()
        self._watching = on
        if on:
            self._task = asyncio.get_running_loop().create_task(self._keep_watching())

    def close(self) -> None:
        self._watching = False
        if self._task is not None:
            self._task.cancel()
            self._task = None
        if self._stream is not None:
            self._stream.end("closed")
            self._stream = None

    def unreadable_line(self) -> None:
        """A line could not be read: what it had to tell comes with the whole list, asked for next."""
        self._version = 0

    def apply(self, listed: Any) -> None:
        index, whole, rows = parse_endpoint_list(listed)
        self._version = index
        self._node.update_upstreams(ListKind.FULL if whole else ListKind.CHANGES, rows, index)

    async def _keep_watching(self) -> None:
        failures = 0
        while True:
            begun = asyncio.get_running_loop().time()
            why = await self._run_watch()
            if self._on_request:
                self._task, self._watching = None, False
                log.info("discovery: %s; the module is told", why)
                self._node.update_upstreams(ListKind.BROKEN, ())
                return
            # At once after a watch that worked, so that no change waits; else later and later, and at
            # random, so that not all balancers come back to a discovery that is just up again together.
            lasted = asyncio.get_running_loop().time() - begun
            failures = 0 if lasted >= STABLE_WATCH_S else failures + 1
            wait = 0.0
            if failures:
                wait = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(failures, 10)) * self._rng.uniform(
                    0.5, 1.0
                )
            level = logging.WARNING if failures <= 1 else logging.INFO
            log.log(level, "discovery: %s; again in %.2f s", why, wait)
            await asyncio.sleep(wait)

    async def _run_watch(self) -> str:
        """One watch to its end; why it ended."""
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
            # Guards against a machine that is cut off: its connection stays open and says nothing.
            limit = FIRST_LINE_TIMEOUT_S if self._on_request and not stream.lines else WATCH_SILENCE_TIMEOUT_S
            left = stream.last_received_at + limit - loop.time()
            if left <= 0:
                stream.end("silent")
                break
            await asyncio.wait([stream.ended], timeout=left)
        self._stream = None
        return stream.end_reason
