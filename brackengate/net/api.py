"""The platform's front: `/api`, as the protocol has it, and `/ready`."""

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
"""Which pool a request goes to, by its operation's name and type too; `RequestError` with 404 where no route
fits."""


class ReadinessFrontend:
    """Answers whether this balancer serves."""

    max_body_bytes = MAX_BUFFERED_BODY_BYTES

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        if arrival.method not in (b"GET", b"HEAD"):
            raise RequestError(405, "method", b"Allow: GET, HEAD\r\n")
        ready = self._ready()
        connection.respond(200 if ready else 503, b"ready\n" if ready else b"not ready\n", b"text/plain")


class ApiFrontend:
    """Requests whose headers say their class, key and time."""

    def __init__(
        self,
        node: TerminalStage,
        resolve_client: ClientResolver | None = None,
        resolve_client_info: ClientInfoResolver | None = None,
        resolve_route: RouteResolver | None = None,
        buffer_bodies: bool = False,
    ) -> None:
        """`resolve_client`: who sent a request, where somebody asks; None where that can't be told.
        `resolve_client_info`:
        the same, and whence.  `resolve_route`: where there are routes.  `buffer_bodies`: no body goes on in
        pieces."""
        self._node, self._resolve_client, self._resolve_client_info = (
            node,
            resolve_client,
            resolve_client_info,
        )
        self._resolve_route = resolve_route
        # A stage at the door compares or keeps bodies and answers: it needs them whole.
        self._stream_bodies = resolve_client is None and resolve_client_info is None and not buffer_bodies
        self.max_body_bytes = MAX_STREAMED_BODY_BYTES if self._stream_bodies else MAX_BUFFERED_BODY_BYTES

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
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
        txn, lane = headers.get(b"x-txn", b""), headers.get(b"x-lane", b"")
        left = headers.get(b"x-remaining-ms", b"")
        if not REQUEST_ID_PATTERN.fullmatch(txn):
            raise RequestError(400, "X-Txn is missing or bad")
        if not CLASS_NAME_PATTERN.fullmatch(lane):
            raise RequestError(400, "X-Lane is missing or bad")
        if not MILLISECONDS_PATTERN.fullmatch(left):
            raise RequestError(400, "X-Remaining-Ms is missing or bad")
        name, class_name = txn.decode("ascii"), lane.decode("ascii")
        # Upstreams turn these away, each after probes and attempts that the usual callers lack then.
        cls = self._node.classes.get(class_name)
        if cls is None:
            raise RequestError(400, "X-Lane names no class")
        if (arrival.method == b"GET") is not (cls.idempotency is Idempotency.REPEATABLE):
            raise RequestError(400, "the method is not its class's")
        if cls.idempotency is Idempotency.KEYED and not headers.get(b"idempotency-key"):
            raise RequestError(400, "Idempotency-Key is missing")
        if self._node.known(name):  # also when answered: no caller uses an id twice, but one may steal it
            raise RequestError(400, "X-Txn has been used")
        estimate = headers.get(b"x-estimate", b"")
        request = Request(
            request=name,
            class_name=class_name,
            deadline=arrival.received_at
            + min(int(left) * 1000, cls.deadline),  # more would hold state for nothing
            tenant=headers.get(b"x-org", b"").decode("latin-1"),
            key=headers.get(b"x-entity", b"").decode("latin-1"),
            is_retry=headers.get(b"x-resent") == b"1",
            is_write=arrival.method != b"GET",
            work_hint=int(estimate) if NUMBER_PATTERN.fullmatch(estimate) else 0,
        )
        dropped = HEADERS_NOT_FORWARDED
        if b"connection" in headers:  # what it names is for this hop, but for what the protocol needs
            named = {token.strip().lower() for token in headers[b"connection"].split(b",")}
            dropped = HEADERS_NOT_FORWARDED | (named - {b"x-txn", b"idempotency-key", b"host"})
        lines = [b"%s %s HTTP/1.1" % (arrival.method, arrival.target)]
        lines += [b"%s: %s" % (n, v) for n, v in arrival.headers if n.lower() not in dropped]
        lines += arrival.framing()
        key = headers.get(b"idempotency-key", b"") if cls.idempotency is Idempotency.KEYED else b""
        head = b"\r\n".join(lines) + b"\r\n"
        return request, Message(
            head, arrival.body, key, stream=arrival.stream, stream_response=self._stream_bodies
        )
