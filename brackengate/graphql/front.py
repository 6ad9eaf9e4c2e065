"""The GraphQL front: requests on one path to requests for the node, and its answers to GraphQL's."""

from __future__ import annotations

import json
import re
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from brackengate.graphql.classify import Classifier, Verdict, strictness
from brackengate.graphql.envelope import Envelope, Params, from_body, from_query_string, names_parameters
from brackengate.graphql.errors import Refused
from brackengate.graphql.negotiate import Form, check_content_type, form_of
from brackengate.graphql.persisted import Store
from brackengate.http.body import MAX_UNSTREAMED_BYTES
from brackengate.http.message import IncomingRequest
from brackengate.interface import Idempotency, Request
from brackengate.net.api import (
    HEADERS_NOT_FORWARDED,
    MILLISECONDS_PATTERN,
    REQUEST_ID_PATTERN,
    ClientInfoResolver,
    ClientResolver,
    RouteResolver,
)
from brackengate.net.http import CallerConnection, RequestStage, TerminalStage
from brackengate.net.node import Message, Reply

KEY = re.compile(rb"[!-~ ]{1,256}")
OWN = HEADERS_NOT_FORWARDED | {
    b"accept",
    b"accept-encoding",  # a coded answer could be neither judged nor put together
    b"content-type",
    b"idempotency-key",
    b"x-txn",
    b"x-lane",
    b"x-org",
}
CODES = {
    409: "CONFLICT",
    422: "IDEMPOTENCY_KEY_REUSED",
    503: "REFUSED",
    504: "DEADLINE_EXCEEDED",
    500: "INTERNAL_SERVER_ERROR",
}
WORDS = {
    409: "a request with this key is running, or its answer is not known",
    422: "the key was used with another request",
    503: "refused: trying again is harmless",
    504: "no answer in time",
    500: "a fault of the balancer",
    502: "no upstream answered it",
}


class _Body(msgspec.Struct):
    """An answer, as far as it is looked at."""

    data: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    errors: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


_BODY: msgspec.json.Decoder[_Body] = msgspec.json.Decoder(_Body)


@dataclass(frozen=True, slots=True)
class Options:
    """The `graphql` section, as far as the front goes."""

    batch: str = "off"  # off, split, whole
    batch_most: int = 10
    tenant_header: bytes = b"x-org"
    deadline_header: bytes = b"x-remaining-ms"
    field_work: int = 0  # microseconds of work that a selection stands for, as a hint to the module


@dataclass(frozen=True, slots=True)
class Item:
    """One operation, told."""

    params: Params
    text: str
    verdict: Verdict


class GraphqlFront:
    """One path.  `counters`: requests by class and refusals by code."""

    def __init__(
        self,
        node: TerminalStage,
        door: RequestStage,
        classifier: Classifier,
        store: Store | None,
        options: Options,
        client_of: ClientResolver | None = None,
        origin_of: ClientInfoResolver | None = None,
        route_of: RouteResolver | None = None,
    ) -> None:
        self._node, self._door, self._client_of, self._origin_of = node, door, client_of, origin_of
        self._route_of = route_of
        self._classifier, self._store, self._options = classifier, store, options
        self.counters: Counter[str] = Counter()
        self.max_body_bytes = MAX_UNSTREAMED_BYTES  # it is read and judged before anything is sent

    def begin(self, arrival: IncomingRequest, connection: CallerConnection) -> None:
        headers = arrival.fields
        form = Form.RESPONSE
        try:
            form = form_of(_text(headers.get(b"accept")))
            if arrival.method == b"POST":
                check_content_type(_text(headers.get(b"content-type")))
            elif arrival.method != b"GET":
                raise Refused("METHOD_NOT_ALLOWED", "GET or POST", 405)
            self._serve(arrival, headers, form, connection)
        except Refused as refused:
            self.counters[f"refused.{refused.code}"] += 1
            extra = b""
            if refused.status == 405:
                extra = (
                    b"Allow: GET, POST\r\n" if arrival.method not in (b"GET", b"POST") else b"Allow: POST\r\n"
                )
            connection.respond(form.status(refused.status), refused.body(), form.value, 0, extra)

    def stats(self) -> dict[str, int]:
        told = dict(self.counters)
        cache = self._classifier
        told |= {"cache.hits": cache.hits, "cache.misses": cache.misses, "cache.bytes": cache.weight}
        store = self._store
        if store is not None:
            told |= {"persisted.bytes": store.bytes(), "persisted.registered": store.registered}
            told |= {"persisted.found": store.found, "persisted.missed": store.missed}
            told["persisted.forgotten"] = store.forgotten
        return told

    def _serve(
        self, arrival: IncomingRequest, headers: dict[bytes, bytes], form: Form, connection: CallerConnection
    ) -> None:
        query_string = arrival.target.partition(b"?")[2]
        if arrival.method == b"GET":
            envelope = from_query_string(query_string)
        else:
            if names_parameters(query_string):
                raise Refused("BAD_REQUEST", "a POST's parameters stand in its body, not in its address")
            envelope = from_body(
                arrival.body, self._options.batch_most if self._options.batch != "off" else 0
            )
        tenant = _text(headers.get(self._options.tenant_header)) or ""
        header_key = self._key(headers)
        # With several operations in one request, one header's key can't stand for each of them.
        shared_key = header_key if not envelope.batch or self._options.batch == "whole" else ""
        items = tuple(self._tell(params, tenant, shared_key) for params in envelope.items)
        if arrival.method == b"GET" and any(item.verdict.type != "query" for item in items):
            raise Refused("METHOD_NOT_ALLOWED", "a mutation goes by POST", 405)
        for item in items:
            self.counters[f"class.{item.verdict.class_name}"] += 1
        client = self._client_of(arrival, connection) if self._client_of is not None else None
        origin = self._origin_of(arrival, connection) if self._origin_of is not None else None
        if not envelope.batch:
            body = self._body(arrival, envelope, items)
            call = self._call(arrival, headers, tenant, client, items[0].verdict, body)
            call[1].client_info = origin
            self._route(arrival, connection, call, items[0])
            connection.submit(*call, _Single(connection, form))
        elif self._options.batch == "whole":
            verdict = self._strictest(items)
            body = self._body(arrival, envelope, items)
            call = self._call(arrival, headers, tenant, client, verdict, body)
            call[1].client_info, call[1].operation_count = origin, len(items)
            self._route(arrival, connection, call, None, verdict.type)
            connection.submit(*call, _Single(connection, form, whole=True))
        else:
            calls = [
                self._call(
                    arrival, headers, tenant, client, item.verdict, item.params.as_json(item.text), many=True
                )
                for item in items
            ]
            for call, item in zip(calls, items, strict=True):
                call[1].client_info = origin
                self._route(arrival, connection, call, item)
            mutations = [item.verdict.type == "mutation" for item in items]
            _Split(connection, form, self._door, calls, mutations).start()

    def _route(
        self,
        arrival: IncomingRequest,
        connection: CallerConnection,
        call: tuple[Request, Message],
        item: Item | None,
        kind: str = "",
    ) -> None:
        """Its pool, where there are routes.  A batch that goes as one has a type and no name."""
        if self._route_of is not None:
            name = ""
            if item is not None:
                name = item.params.operation_name or ""
                operations = () if name else self._classifier.analyse(item.text).operations
                if len(operations) == 1:
                    name = operations[0].name
            kind = item.verdict.type if item is not None else kind
            call[1].route = self._route_of(arrival, connection, call[0], name, kind)

    def _tell(self, params: Params, tenant: str, header_key: str) -> Item:
        sha256 = params.sha256
        if sha256 is not None:
            if self._store is None:
                raise Refused("PERSISTED_QUERY_NOT_SUPPORTED", "PersistedQueryNotSupported", 200)
            text = self._store.document(tenant, sha256, params.query)
        else:
            assert params.query is not None
            text = params.query
            if self._store is not None:
                self._store.check_trusted(text)
        told = self._classifier.classify(text, params.operation_name, params.variables, header_key, tenant)
        return Item(params, text, told)

    def _strictest(self, items: tuple[Item, ...]) -> Verdict:
        """Of a batch that goes as one: the strictest class, and unsafe if keyed by more than one key."""
        classes = self._node.classes
        top = max((item.verdict for item in items), key=lambda v: strictness(classes[v.class_name]))
        cost = sum(item.verdict.cost for item in items)
        kind = "mutation" if any(item.verdict.type == "mutation" for item in items) else "query"
        name, key = top.class_name, top.key
        keyed = classes[name].idempotency is Idempotency.KEYED
        if keyed and any(item.verdict.key not in ("", key) for item in items):
            name, key = self._classifier.table.unnamed, ""  # two keys, and upstream sees one a request
        return Verdict(name, key, cost, kind, "", ())

    def _key(self, headers: dict[bytes, bytes]) -> str:
        key = headers.get(b"idempotency-key", b"").strip()
        if key and not KEY.fullmatch(key):
            raise Refused("IDEMPOTENCY_KEY_INVALID", "Idempotency-Key has 1 to 256 visible characters")
        return key.decode("ascii")

    def _body(self, arrival: IncomingRequest, envelope: Envelope, items: tuple[Item, ...]) -> bytes:
        """The client's own bytes, unless a text has to be filled in or there is no body."""
        if arrival.method == b"POST" and all(item.params.query is not None for item in items):
            return arrival.body
        bodies = [item.params.as_json(item.text) for item in items]
        return b"[" + b",".join(bodies) + b"]" if envelope.batch else bodies[0]

    def _call(
        self,
        arrival: IncomingRequest,
        headers: dict[bytes, bytes],
        tenant: str,
        client: str | None,
        verdict: Verdict,
        body: bytes,
        many: bool = False,
    ) -> tuple[Request, Message]:
        cls = self._node.classes[verdict.class_name]
        left = headers.get(self._options.deadline_header, b"")
        within = int(left) * 1000 if MILLISECONDS_PATTERN.fullmatch(left) else cls.deadline
        txn = headers.get(b"x-txn", b"")
        theirs = not many and REQUEST_ID_PATTERN.fullmatch(txn) and not self._node.known(txn.decode("ascii"))
        name = txn.decode("ascii") if theirs else f"g{secrets.token_hex(12)}"
        request = Request(
            request=name,
            class_name=cls.name,
            deadline=arrival.received_at + min(within, cls.deadline),
            tenant=tenant,
            key=headers.get(b"x-entity", b"").decode("latin-1"),
            is_retry=headers.get(b"x-resent") == b"1",
            is_write=verdict.type == "mutation",
            work_hint=self._options.field_work * verdict.cost,
        )
        path = arrival.target.partition(b"?")[0]
        lines = [b"POST %s HTTP/1.1" % path]
        named = {token.strip().lower() for token in headers.get(b"connection", b"").split(b",")} - {b"host"}
        lines += [
            b"%s: %s" % (n, v) for n, v in arrival.headers if n.lower() not in OWN and n.lower() not in named
        ]
        lines += [
            b"Content-Type: application/json",
            b"Accept: application/json",  # the legacy form: an answer is 200, also with errors in it
            b"X-Txn: %s" % name.encode(),
            b"X-Lane: %s" % cls.name.encode(),
            b"Content-Length: %d" % len(body),
        ]
        if tenant:
            lines.append(b"X-Org: %s" % tenant.encode("latin-1"))
        if verdict.key:
            lines.append(b"Idempotency-Key: %s" % verdict.key.encode())
        return request, Message(b"\r\n".join(lines) + b"\r\n", body, verdict.key.encode(), client)


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def failure(status: int, retry_after: int, may_have_run: bool) -> dict[str, object]:
    """The one error of an operation that the node did not serve."""
    extensions: dict[str, object] = {"code": CODES.get(status, "UPSTREAM_FAILED")}
    extensions["mayHaveRun"] = may_have_run and status != 503
    if retry_after > 0:
        extensions["retryAfterMs"] = -(-retry_after // 1000)
    return {"message": WORDS.get(status, WORDS[502]), "extensions": extensions}


def read_answer(body: bytes) -> _Body | None:
    """An upstream's answer, if it is a GraphQL response."""
    try:
        told = _BODY.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    return None if told.data is msgspec.UNSET and told.errors is msgspec.UNSET else told


class _Single:
    """The caller of one operation, or of a batch that went as one."""

    def __init__(self, connection: CallerConnection, form: Form, whole: bool = False) -> None:
        self._connection, self._form, self._whole = connection, form, whole

    def answer(self, reply: Reply) -> None:
        status, body = reply.status, reply.body
        if status == 200:
            told = None if self._whole else read_answer(body)
            if told is None and not self._whole:
                # It has run, and what came back is no GraphQL: passing it on would be worse than to say so.
                status, body = 502, json.dumps({"errors": [failure(502, 0, True)]}).encode()
            elif told is not None and self._form is Form.RESPONSE and told.data is msgspec.UNSET:
                status = 400  # a request error, as the upstream found (section 6.4.2)
        else:
            body = json.dumps(
                {"errors": [failure(status, reply.retry_after_us, bool(reply.possible_executions))]}
            ).encode()
        self._connection.answer(replace(reply, status=status, body=body, content_type=self._form.value))


class _Split:
    """A batch whose operations go apart: queries at once, mutations one after another, answers in order."""

    def __init__(
        self,
        connection: CallerConnection,
        form: Form,
        door: RequestStage,
        calls: list[tuple[Request, Message]],
        mutations: list[bool],
    ) -> None:
        self._connection, self._form, self._door, self._calls = connection, form, door, calls
        self._mutations = [number for number, is_one in enumerate(mutations) if is_one]
        self._queries = [number for number, is_one in enumerate(mutations) if not is_one]
        self._answers: list[bytes | None] = [None] * len(calls)
        self._statuses: list[int] = [0] * len(calls)
        self._out: dict[int, _Part] = {}
        self._retry_after = 0
        self._gone = False

    def start(self) -> None:
        self._connection.expect_answer(self._leave)
        for number in self._queries + self._mutations[:1]:
            self._send(number)

    def _send(self, number: int) -> None:
        part = self._out[number] = _Part(lambda reply: self._ended(number, reply))
        self._door.submit(*self._calls[number], part)

    def _leave(self) -> None:
        """The client has gone: what is out is told so, and the mutations still to come are not sent."""
        self._gone = True
        for number, part in list(self._out.items()):
            self._door.client_disconnected(self._calls[number][0].request, part)

    def _ended(self, number: int, reply: Reply) -> None:
        self._out.pop(number, None)
        status, body, may_have_run = reply.status, reply.body, bool(reply.possible_executions)
        self._statuses[number] = status
        if status == 200 and read_answer(body) is None:
            status, may_have_run = 502, True
        if status != 200:
            body = json.dumps({"errors": [failure(status, reply.retry_after_us, may_have_run)]}).encode()
            self._retry_after = max(self._retry_after, reply.retry_after_us)
        self._answers[number] = body
        if self._gone:
            return
        if number in self._mutations:
            place = self._mutations.index(number) + 1
            if place < len(self._mutations):
                self._send(self._mutations[place])
        answers = [answer for answer in self._answers if answer is not None]
        if len(answers) == len(self._answers):
            refused = all(status == 503 for status in self._statuses)
            out = b"[" + b",".join(answers) + b"]"
            self._connection.answer(Reply(503 if refused else 200, out, self._form.value, self._retry_after))


class _Part:
    """The caller of one operation of a batch."""

    def __init__(self, ended: Callable[[Reply], None]) -> None:
        self._ended = ended

    def answer(self, reply: Reply) -> None:
        self._ended(reply)
