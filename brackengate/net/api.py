"""The platform's protocol frontends: `/api` for requests and `/ready` for readiness checks."""

from __future__ import annotations

import re
from collections.abc import Callable

from brackengate.http.message import IncomingRequest, RequestError
from brackengate.interface import Idempotency, Request
from brackengate.net.http import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_STREAMED_BODY_BYTES,
    CallerConnection,
    TerminalStage,
)
from brackengate.net.node import ClientInfo, Message

API_PATH, READY_PATH = b"/api", b"/ready"
REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
CLASS_NAME_PATTERN = re.compile(rb"[!-~]{1,128}")
MILLISECONDS_PATTERN = re.compile(rb"[0-9]{1,8}")
NUMBER_PATTERN = re.compile(rb"[0-9]{1,15}")
HEADERS_NOT_FORWARDED = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
    b"x-remaining-ms",
}


ClientResolver = Callable[[IncomingRequest, CallerConnection], str | None]
ClientInfoResolver = Callable[[IncomingRequest, CallerConnection], ClientInfo]
RouteResolver = Callable[[IncomingRequest, CallerConnection, Request, str, str], object]
"""Selects the pool of a request; the two strings are its operation's name and type.

Raises `RequestError` with status 404 if no route matches."""


class ReadinessFrontend:
    """Answers whether this balancer can serve requests."""

    max_body_bytes = MAX_BUFFERED_BODY_BYTES

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Respond with 200 if ready, else 503; raises `RequestError` with 405 for other methods."""
        if arrival.method not in (b"GET", b"HEAD"):
            raise RequestError(405, "method", b"Allow: GET, HEAD\r\n")
        ready = self._ready()
        connection.respond(200 if ready else 503, b"ready\n" if ready else b"not ready\n", b"text/plain")


class ApiFrontend:
    """Accepts requests whose headers give their request class, key and remaining time."""

    def __init__(
        self,
        node: TerminalStage,
        resolve_client: ClientResolver | None = None,
        resolve_client_info: ClientInfoResolver | None = None,
        resolve_route: RouteResolver | None = None,
        buffer_bodies: bool = False,
    ) -> None:
        """`resolve_client` returns the name of the client, or None if it is unknown; it is given if a stage
        needs the name.  `resolve_client_info` returns the name and address likewise.  `resolve_route` is
        given if there are routes.  `buffer_bodies`: do not stream bodies."""
        self._node, self._resolve_client, self._resolve_client_info = (
            node,
            resolve_client,
            resolve_client_info,
        )
        self._resolve_route = resolve_route
        # A stage that needs the client compares or stores bodies and answers: they must be complete.
        self._stream_bodies = resolve_client is None and resolve_client_info is None and not buffer_bodies
        self.max_body_bytes = MAX_STREAMED_BODY_BYTES if self._stream_bodies else MAX_BUFFERED_BODY_BYTES

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        """Validate the request and submit it; raises `RequestError` with 400 or 405 if it is invalid."""
        if arrival.method not in (b"GET", b"POST"):
            raise RequestError(405, "method", b"Allow: GET, POST\r\n")
        request, message = self._read(arrival)
        if self._resolve_client is not None and message.key:
            message.client = self._resolve_client(arrival, connection)
        if self._resolve_client_info is not None:
            message.client_info = self._resolve_client_info(arrival, connection)
        if self._resolve_route is not None:
            message.route = self._resolve_route(arrival, connection, request, "", "")
        connection.submit(request, message)

    def _read(self, arrival: IncomingRequest) -> tuple[Request, Message]:
        headers = arrival.fields
        request_id, class_header = headers.get(b"x-txn", b""), headers.get(b"x-lane", b"")
        remaining_ms = headers.get(b"x-remaining-ms", b"")
        if not REQUEST_ID_PATTERN.fullmatch(request_id):
            raise RequestError(400, "X-Txn is missing or bad")
        if not CLASS_NAME_PATTERN.fullmatch(class_header):
            raise RequestError(400, "X-Lane is missing or bad")
        if not MILLISECONDS_PATTERN.fullmatch(remaining_ms):
            raise RequestError(400, "X-Remaining-Ms is missing or bad")
        name, class_name = request_id.decode("ascii"), class_header.decode("ascii")
        # Upstreams would reject an unknown class, after probes and attempts that other callers need.
        request_class = self._node.classes.get(class_name)
        if request_class is None:
            raise RequestError(400, "X-Lane names no class")
        if (arrival.method == b"GET") is not (request_class.idempotency is Idempotency.REPEATABLE):
            raise RequestError(400, "the method is not its class's")
        if request_class.idempotency is Idempotency.KEYED and not headers.get(b"idempotency-key"):
            raise RequestError(400, "Idempotency-Key is missing")
        if self._node.known(name):  # also if answered: callers never reuse an id, but another's may be stolen
            raise RequestError(400, "X-Txn has been used")
        estimate = headers.get(b"x-estimate", b"")
        request = Request(
            request=name,
            class_name=class_name,
            # A deadline longer than the class's would only keep state needlessly.
            deadline=arrival.received_at + min(int(remaining_ms) * 1000, request_class.deadline),
            tenant=headers.get(b"x-org", b"").decode("latin-1"),
            key=headers.get(b"x-entity", b"").decode("latin-1"),
            is_retry=headers.get(b"x-resent") == b"1",
            is_write=arrival.method != b"GET",
            work_hint=int(estimate) if NUMBER_PATTERN.fullmatch(estimate) else 0,
        )
        dropped = HEADERS_NOT_FORWARDED
        if b"connection" in headers:  # headers named here are hop-by-hop, except those the protocol needs
            named = {token.strip().lower() for token in headers[b"connection"].split(b",")}
            dropped = HEADERS_NOT_FORWARDED | (named - {b"x-txn", b"idempotency-key", b"host"})
        lines = [b"%s %s HTTP/1.1" % (arrival.method, arrival.target)]
        lines += [
            b"%s: %s" % (header_name, value)
            for header_name, value in arrival.headers
            if header_name.lower() not in dropped
        ]
        lines += arrival.framing()
        key = headers.get(b"idempotency-key", b"") if request_class.idempotency is Idempotency.KEYED else b""
        head = b"\r\n".join(lines) + b"\r\n"
        return request, Message(
            head, arrival.body, key, stream=arrival.stream, stream_response=self._stream_bodies
        )
