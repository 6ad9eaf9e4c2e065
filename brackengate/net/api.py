"""The platform's front: `/api`, as the protocol has it, and `/ready`."""

from __future__ import annotations

import re
from collections.abc import Callable

from brackengate.http.message import Arrival, Bad
from brackengate.interface import Idempotency, Request
from brackengate.net.http import MAX_BODY, MAX_LONG_BODY, CallerConnection, Core
from brackengate.net.node import Message, Origin

API, READY = b"/api", b"/ready"
ID = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
NAME = re.compile(rb"[!-~]{1,128}")
MILLISECONDS = re.compile(rb"[0-9]{1,8}")
NUMBER = re.compile(rb"[0-9]{1,15}")
NOT_FORWARDED = {
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


ClientOf = Callable[[Arrival, CallerConnection], str | None]
OriginOf = Callable[[Arrival, CallerConnection], Origin]
RouteOf = Callable[[Arrival, CallerConnection, Request, str, str], object]
"""Which pool a request goes to, by its operation's name and type too; `Bad` with 404 where no route fits."""


class Ready:
    """Answers whether this balancer serves."""

    most_body = MAX_BODY

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        if arrival.method not in (b"GET", b"HEAD"):
            raise Bad(405, "method", b"Allow: GET, HEAD\r\n")
        ready = self._ready()
        connection.respond(200 if ready else 503, b"ready\n" if ready else b"not ready\n", b"text/plain")


class Api:
    """Requests whose headers say their class, key and time."""

    def __init__(
        self,
        node: Core,
        client_of: ClientOf | None = None,
        origin_of: OriginOf | None = None,
        route_of: RouteOf | None = None,
        whole: bool = False,
    ) -> None:
        """`client_of`: who sent a request, where somebody asks; None where that can't be told.  `origin_of`:
        the same, and whence.  `route_of`: where there are routes.  `whole`: no body goes on in pieces."""
        self._node, self._client_of, self._origin_of = node, client_of, origin_of
        self._route_of = route_of
        # A stage at the door compares or keeps bodies and answers: it needs them whole.
        self._in_pieces = client_of is None and origin_of is None and not whole
        self.most_body = MAX_LONG_BODY if self._in_pieces else MAX_BODY

    def begin(self, arrival: Arrival, connection: CallerConnection) -> None:
        if arrival.method not in (b"GET", b"POST"):
            raise Bad(405, "method", b"Allow: GET, POST\r\n")
        request, message = self._read(arrival)
        if self._client_of is not None and message.key:
            message.client = self._client_of(arrival, connection)
        if self._origin_of is not None:
            message.origin = self._origin_of(arrival, connection)
        if self._route_of is not None:
            message.route = self._route_of(arrival, connection, request, "", "")
        connection.submit(request, message)

    def _read(self, arrival: Arrival) -> tuple[Request, Message]:
        headers = arrival.fields
        txn, lane = headers.get(b"x-txn", b""), headers.get(b"x-lane", b"")
        left = headers.get(b"x-remaining-ms", b"")
        if not ID.fullmatch(txn):
            raise Bad(400, "X-Txn is missing or bad")
        if not NAME.fullmatch(lane):
            raise Bad(400, "X-Lane is missing or bad")
        if not MILLISECONDS.fullmatch(left):
            raise Bad(400, "X-Remaining-Ms is missing or bad")
        name, class_name = txn.decode("ascii"), lane.decode("ascii")
        # Upstreams turn these away, each after probes and attempts that the usual callers lack then.
        cls = self._node.classes.get(class_name)
        if cls is None:
            raise Bad(400, "X-Lane names no class")
        if (arrival.method == b"GET") is not (cls.idempotency is Idempotency.REPEATABLE):
            raise Bad(400, "the method is not its class's")
        if cls.idempotency is Idempotency.KEYED and not headers.get(b"idempotency-key"):
            raise Bad(400, "Idempotency-Key is missing")
        if self._node.known(name):  # also when answered: no caller uses an id twice, but one may steal it
            raise Bad(400, "X-Txn has been used")
        estimate = headers.get(b"x-estimate", b"")
        request = Request(
            request=name,
            class_name=class_name,
            deadline=arrival.at + min(int(left) * 1000, cls.deadline),  # more would hold state for nothing
            tenant=headers.get(b"x-org", b"").decode("latin-1"),
            key=headers.get(b"x-entity", b"").decode("latin-1"),
            is_retry=headers.get(b"x-resent") == b"1",
            is_write=arrival.method != b"GET",
            work_hint=int(estimate) if NUMBER.fullmatch(estimate) else 0,
        )
        dropped = NOT_FORWARDED
        if b"connection" in headers:  # what it names is for this hop, but for what the protocol needs
            named = {token.strip().lower() for token in headers[b"connection"].split(b",")}
            dropped = NOT_FORWARDED | (named - {b"x-txn", b"idempotency-key", b"host"})
        lines = [b"%s %s HTTP/1.1" % (arrival.method, arrival.target)]
        lines += [b"%s: %s" % (n, v) for n, v in arrival.headers if n.lower() not in dropped]
        lines += arrival.framing()
        key = headers.get(b"idempotency-key", b"") if cls.idempotency is Idempotency.KEYED else b""
        head = b"\r\n".join(lines) + b"\r\n"
        return request, Message(head, arrival.body, key, stream=arrival.stream, in_pieces=self._in_pieces)
