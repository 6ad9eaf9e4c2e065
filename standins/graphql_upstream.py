"""A strežnik that takes GraphQL, on graphql-core's executor; every execution of a root field is counted.

It can be killed on command at a stated byte of the request or of the answer, before, in or after execution.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from graphql import (
    ExecutionResult,
    GraphQLArgument,
    GraphQLField,
    GraphQLFloat,
    GraphQLID,
    GraphQLInputField,
    GraphQLInputObjectType,
    GraphQLInt,
    GraphQLList,
    GraphQLNonNull,
    GraphQLObjectType,
    GraphQLSchema,
    GraphQLString,
    graphql_sync,
)

from standins import http
from standins.memory import KeyMemory


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a root field."""

    field: str
    subject: str  # its lot or key
    header_key: str
    txn: str
    at: float


def schema(record: Callable[[str, str], None]) -> GraphQLSchema:
    """Lots, prices, bids and buy-now orders; `record` hears of each root field that is executed."""
    lot = GraphQLObjectType(
        "Lot",
        lambda: {
            "id": GraphQLField(GraphQLID),
            "cena": GraphQLField(GraphQLFloat),
            "zgodovina": GraphQLField(GraphQLList(GraphQLFloat)),
            "sosednji": GraphQLField(lot, resolve=lambda source, _: source),
        },
    )

    def read(name: str) -> Callable[..., Any]:
        def resolve(_source: Any, _info: Any, **arguments: Any) -> Any:
            record(name, str(arguments.get("id", "")))
            return {"id": arguments.get("id", "7"), "cena": 1250.0, "zgodovina": [1000.0, 1250.0]}

        return resolve

    def bid(_source: Any, _info: Any, **arguments: Any) -> Any:
        told = arguments.get("input") or {}
        record("oddajPonudbo", str(told.get("kljuc", told.get("lot", ""))))
        return {"id": told.get("lot"), "cena": told.get("znesek")}

    def buy(_source: Any, _info: Any, **arguments: Any) -> Any:
        record("takojKupi", str(arguments.get("lot", "")))
        return {"id": arguments.get("lot"), "cena": 2000.0}

    bid_input = GraphQLInputObjectType(
        "Ponudba",
        {
            "lot": GraphQLInputField(GraphQLNonNull(GraphQLID)),
            "znesek": GraphQLInputField(GraphQLFloat),
            "kljuc": GraphQLInputField(GraphQLString),
        },
    )
    by_id = {"id": GraphQLArgument(GraphQLID), "prvih": GraphQLArgument(GraphQLInt)}
    query = GraphQLObjectType(
        "Query",
        {
            "lot": GraphQLField(lot, by_id, resolve=read("lot")),
            "cena": GraphQLField(lot, by_id, resolve=read("cena")),
        },
    )
    mutation = GraphQLObjectType(
        "Mutation",
        {
            "oddajPonudbo": GraphQLField(lot, {"input": GraphQLArgument(bid_input)}, resolve=bid),
            "takojKupi": GraphQLField(lot, {"lot": GraphQLArgument(GraphQLID)}, resolve=buy),
        },
    )
    return GraphQLSchema(query, mutation)


def response(result: ExecutionResult) -> dict[str, Any]:
    """As the specification has it (7.1): no `data` where nothing was executed; graphql-core has null."""
    told = dict(result.formatted)
    if result.data is None and not any(error.path for error in result.errors or ()):
        told.pop("data", None)
    return told


@dataclass(frozen=True, slots=True)
class Cut:
    """Where a request's connection breaks.

    `request`: after so many of its bytes; `executed`: whether it runs all the same; `answer`: after so many
    bytes of the answer.  `process`: all other connections break too.
    """

    request: int | None = None
    executed: bool = False
    answer: int | None = None
    process: bool = False


class GraphqlUpstream:
    """`cut` is asked, for each connection's next request, where it is to break; None: nowhere."""

    def __init__(
        self,
        name: str,
        memory: KeyMemory | None = None,
        work_ms: float = 1.0,
        cut: Callable[[], Cut | None] | None = None,
        seed: int = 0,
    ) -> None:
        self.name, self.memory, self.work_ms = name, memory or KeyMemory(), work_ms
        self.cut = cut or (lambda: None)
        self.rng = random.Random(seed)
        self.runs: list[Run] = []
        self.requests: list[http.Message] = []
        self.cuts: Counter[str] = Counter()
        self.repeats = 0
        self.draining = False
        self.arrived: list[float] = []
        self.begun: asyncio.Queue[str] = asyncio.Queue()
        self.hold: asyncio.Event | None = None
        self._now: tuple[str, str] = ("", "")
        self._schema = schema(self._record)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> GraphqlUpstream:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", port, backlog=512)
        return self

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        for writer in list(self._writers):
            http.reset(writer)

    def _record(self, field: str, subject: str) -> None:
        self.runs.append(Run(field, subject, *self._now, time.monotonic()))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                cut = self.cut()
                if cut is not None and cut.request is not None:
                    await self._cut_request(cut, reader, writer)
                    return
                message = await http.read(reader)
                if message is None:
                    return
                answer = await self._answer(message)
                if cut is not None:
                    self.cuts["answer"] += 1
                    writer.write(answer[: cut.answer or 0])
                    await writer.drain()
                    self._break(cut, writer)
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, RuntimeError, http.Broken, asyncio.CancelledError):
            pass  # reset on command, or cancelled with its loop: asyncio.streams would print that
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _cut_request(
        self, cut: Cut, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read so many bytes, or the whole request if it is shorter, and break; it runs only if whole."""
        assert cut.request is not None
        data = b""
        while len(data) < cut.request:
            more = await reader.read(cut.request - len(data))
            if not more:
                return
            data += more
            feed = asyncio.StreamReader()
            feed.feed_data(data)
            feed.feed_eof()
            try:
                message = await http.read(feed)
            except http.Broken:
                continue
            if message is not None:  # all of it is there: from here on it is a matter of before or after
                if cut.executed:
                    await self._answer(message)
                self.cuts["executed" if cut.executed else "before execution"] += 1
                break
        else:
            self.cuts["request"] += 1
        self._break(cut, writer)

    def _break(self, cut: Cut, writer: asyncio.StreamWriter) -> None:
        if cut.process:
            self.reset()
        http.reset(writer)

    async def _answer(self, message: http.Message) -> bytes:
        self.arrived.append(time.monotonic())
        if message.target in ("/health", "/status/load"):
            return http.answer(404)
        if self.draining:
            return http.answer(503, X_Turned_Away="1")
        self.requests.append(message)
        try:
            told = json.loads(message.body)
        except ValueError:
            return http.answer(500)
        key = message.headers.get("idempotency-key", "")
        txn = message.headers.get("x-txn", "")
        if key and (known := self.memory.recall(key, time.monotonic())) is not None:
            self.repeats += 1
            return http.answer(200, known, Content_Type="application/json")
        self.begun.put_nowait(txn)
        if isinstance(told, list):
            body = json.dumps([self._execute(one, key, txn) for one in told]).encode()
        else:
            body = json.dumps(self._execute(told, key, txn)).encode()
        if key:  # before it waits: a repeat that comes meanwhile is not run beside it
            self.memory.remember(key, body, time.monotonic())
        if self.hold is not None:
            await self.hold.wait()
        await asyncio.sleep(self.work_ms / 1000 * self.rng.uniform(0.5, 1.5))
        return http.answer(200, body, Content_Type="application/json")

    def _execute(self, told: dict[str, Any], key: str, txn: str) -> dict[str, Any]:
        self._now = (key, txn)
        result: ExecutionResult = graphql_sync(
            self._schema,
            told.get("query") or "",
            variable_values=told.get("variables"),
            operation_name=told.get("operationName"),
        )
        return response(result)
