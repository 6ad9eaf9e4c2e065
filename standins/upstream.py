"""A scripted strežnik: slots, a waiting room, work in milliseconds, a cold start, executions counted.

    python -m standins.upstream --port 9001 --work-ms 20 --cold-s 10

`GET /_counts` tells what it has run; `POST /_fault` with {"kind": "stall", "seconds": 1} (or reset, kill,
err, drain, mend) breaks it on command.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import time
from collections import Counter, deque
from dataclasses import dataclass
from typing import Any

from standins import http
from standins.memory import KeyMemory

IDS_KEPT = 200_000


@dataclass(frozen=True, slots=True)
class Shape:
    """How much it can do."""

    slots: int = 4
    room: int = 32  # requests that wait for a slot; more are turned away
    work_ms: float = 10.0  # of one request, warm
    spread: float = 0.0  # each takes work_ms times 1 - spread to 1 + spread
    cold_s: float = 0.0  # from its start until it is warm; 0: warm at once
    cold_share: float = 0.1
    fall_multiple: float = (
        0.0  # sent more than this times its present capacity for `fall_s`, it falls; 0: never
    )
    fall_s: float = 1.0


class Upstream:
    """One strežnik.  `executions` counts by request id, `keys` by Idempotency-Key."""

    def __init__(
        self,
        name: str,
        shape: Shape | None = None,
        memory: KeyMemory | None = None,
        below: tuple[str, int] | None = None,
        seed: int = 0,
    ) -> None:
        """`below`: the balancer of its own through which it calls the next tier, once for each request."""
        self.name, self.shape, self.memory = name, shape or Shape(), memory or KeyMemory()
        self.below, self.rng = below, random.Random(seed)
        self.safe = frozenset({"pregled"})  # classes that go below by GET
        self.executions: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()
        self.classes: Counter[str] = Counter()
        self.arrivals: deque[tuple[float, str]] = deque(maxlen=IDS_KEPT)  # when, and which id
        self.completed: Counter[str] = Counter()
        self.turned_away = self.repeats = self.late = 0
        self.begun: asyncio.Queue[str] = asyncio.Queue()  # ids as they begin to run
        self.started = time.time()
        self.draining = self.fallen = False
        self.errors = 0  # so many of the next answers are a 500
        self.slow = 1.0  # work takes so many times as long
        self.hold: asyncio.Event | None = None  # what runs ends only when this is set
        self.worst_burden = 0.0  # most work in `fall_s`, as a multiple of what it could do then
        self._stalled_until = 0.0
        self._in_flight = self._waiting = 0
        self._free = asyncio.Semaphore(self.shape.slots)
        self._burden: deque[tuple[float, float]] = deque()  # when, and seconds of work
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._below: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    @property
    def port(self) -> int:
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def row(self, zone: str = "a", group: int = 1, since_ms: int | None = None) -> dict[str, Any]:
        """Its entry as discovery lists it.  Without a cold start it is said to have started long ago."""
        status = "draining" if self.draining else "ready"
        if since_ms is None:
            since_ms = int(self.started * 1000) if self.shape.cold_s else 0
        return {
            "name": self.name,
            "address": self.address,
            "zone": zone,
            "type": "m1",
            "group": group,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }

    async def start(self, port: int = 0) -> Upstream:
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", port, backlog=512)
        self.started = time.time()
        return self

    async def kill(self) -> None:
        """As a process that dies: connections reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for _, writer in self._below:
            http.reset(writer)
        self._below.clear()

    def reset(self) -> None:
        for writer in list(self._writers):
            http.reset(writer)

    def stall(self, seconds: float) -> None:
        """Stand still: nothing begins or ends for a while."""
        self._stalled_until = time.monotonic() + seconds

    def warmth(self) -> float:
        """The share of its capacity that it has now."""
        if not self.shape.cold_s:
            return 1.0
        age = (time.time() - self.started) / self.shape.cold_s
        return min(1.0, self.shape.cold_share + (1 - self.shape.cold_share) * max(0.0, age))

    def counts(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "executed": sum(self.executions.values()),
            "by_class": dict(self.classes),
            "ids_twice": sum(1 for n in self.executions.values() if n > 1),
            "keys_twice": sum(1 for n in self.keys.values() if n > 1),
            "repeats": self.repeats,
            "turned_away": self.turned_away,
            "late": self.late,
            "fallen": self.fallen,
            "worst_burden": round(self.worst_burden, 3),
            "in_flight": self._in_flight,
        }

    def load(self) -> str:
        busy = self._in_flight - self._waiting
        return f"inflight={self._in_flight},queue={self._waiting},util={busy / self.shape.slots:.2f}"

    # --- serving

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await http.read(reader)) is not None:
                writer.write(await self._answer(message))
                await writer.drain()
        except (OSError, RuntimeError, http.Broken, asyncio.CancelledError):
            pass  # reset on command, or cancelled with its loop: asyncio.streams would print that
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message: http.Message) -> bytes:
        path = message.target.partition("?")[0]
        if path == "/_counts":
            return http.answer_json(self.counts())
        if path == "/_fault":
            return await self._fault(message.body)
        if path in ("/health", "/status/load"):
            body = self.load().encode() if path == "/status/load" else b""
            return http.answer(200 if not self.fallen else 503, body)
        txn = message.headers.get("x-txn", "")
        if not txn:
            return http.answer(404)
        self.arrivals.append((time.monotonic(), txn))
        work_s = self.shape.work_ms / 1000
        if message.headers.get("x-work", "").isdigit():  # of this one, in microseconds
            work_s = int(message.headers["x-work"]) / 1e6
        work_s *= self.rng.uniform(1 - self.shape.spread, 1 + self.shape.spread)
        self._bear(work_s)
        if self.draining or self.fallen or self._waiting >= self.shape.room:
            self.turned_away += 1
            return http.answer(503, X_Turned_Away="1")
        left_ms = int(message.headers.get("x-remaining-ms", "0") or 0)
        give_up = time.monotonic() + left_ms / 1000
        self._in_flight += 1
        self._waiting += 1
        try:
            async with self._free:
                self._waiting -= 1
                if left_ms and time.monotonic() > give_up:
                    self.late += 1
                    return http.answer(504, X_Turned_Away="1")
                return await self._run(message, txn, work_s, give_up)
        finally:
            self._in_flight -= 1

    async def _run(self, message: http.Message, txn: str, work_s: float, give_up: float) -> bytes:
        key = message.headers.get("idempotency-key", "")
        if key and (known := self.memory.recall(key, time.monotonic())) is not None:
            self.repeats += 1
            return http.answer(200, known, X_Pressure=self.load())
        name = message.headers.get("x-lane", "")
        self.executions[txn] += 1
        self.classes[name] += 1
        if key:
            self.keys[key] += 1
        body = json.dumps({"upstream": self.name, "txn": txn, "class": name}).encode()
        if message.target.partition("?")[0] == "/graphql":
            body = self._graphql(message.body)
        if key:  # from its beginning on: a repeat that comes meanwhile is not run beside it
            self.memory.remember(key, body, time.monotonic())
        self.begun.put_nowait(txn)
        if self.hold is not None:
            await self.hold.wait()
        await asyncio.sleep(work_s * self.slow / self.warmth())
        while (late := self._stalled_until - time.monotonic()) > 0:
            await asyncio.sleep(late)
        if self.below is not None and not await self._call_below(message, give_up):
            return http.answer(500)
        if self.errors > 0:
            self.errors -= 1
            return http.answer(500)
        self.completed[txn] += 1
        return http.answer(200, body, Content_Type="application/json", X_Pressure=self.load())

    def _graphql(self, body: bytes) -> bytes:
        """Executed on the schema of `standins.graphql_upstream`, which needs graphql-core."""
        from graphql import graphql_sync

        from standins.graphql_upstream import response, schema

        told = json.loads(body)
        made = schema(lambda _field, _subject: None)
        result = graphql_sync(
            made,
            told.get("query") or "",
            variable_values=told.get("variables"),
            operation_name=told.get("operationName"),
        )
        return json.dumps(response(result)).encode()

    async def _call_below(self, message: http.Message, give_up: float) -> bool:
        """One call of the next tier, through this strežnik's own balancer."""
        left_ms = int((give_up - time.monotonic()) * 1000)
        if left_ms <= 0:
            return False
        headers: dict[str, object] = {
            name: message.headers[name]
            for name in ("x-lane", "x-org", "x-entity", "idempotency-key")
            if name in message.headers
        }
        headers |= {"x-txn": f"{self.rng.getrandbits(64):016x}", "x-remaining-ms": left_ms}
        safe = message.headers.get("x-lane", "") in self.safe
        data = http.request("GET" if safe else "POST", "/api", headers, b"" if safe else message.body)
        assert self.below is not None
        pair: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        answer: http.Message | None = None
        try:
            async with asyncio.timeout(left_ms / 1000):
                pair = self._below.pop() if self._below else await asyncio.open_connection(*self.below)
                pair[1].write(data)
                answer = await http.read(pair[0])
        except (OSError, http.Broken, TimeoutError):
            return False
        finally:
            if pair is not None and answer is not None and answer.keep_alive:
                self._below.append(pair)
            elif pair is not None:
                pair[1].close()
        return answer is not None and answer.status == 200

    def _bear(self, work_s: float) -> None:
        """Count what is sent against what it can do now, over the last `fall_s`."""
        now, shape = time.monotonic(), self.shape
        self._burden.append((now, work_s))
        while self._burden[0][0] < now - shape.fall_s:
            self._burden.popleft()
        capacity = shape.slots * self.warmth() * shape.fall_s
        burden = sum(work for _, work in self._burden) / capacity
        self.worst_burden = max(self.worst_burden, burden)
        if shape.fall_multiple and burden > shape.fall_multiple and self.warmth() < 1:
            self.fallen = True

    async def _fault(self, body: bytes) -> bytes:
        try:
            told = json.loads(body)
            kind = told["kind"]
        except (ValueError, KeyError, TypeError):
            return http.answer(400, b'expected {"kind": ...}')
        match kind:
            case "stall":
                self.stall(float(told.get("seconds", 1)))
            case "reset":
                self.reset()
            case "err":
                self.errors = int(told.get("count", 1))
            case "drain":
                self.draining = True
            case "kill":
                await self.kill()
            case "mend":
                self.draining = self.fallen = False
                self.errors, self._stalled_until = 0, 0.0
            case _:
                return http.answer(400, b"kinds: stall, reset, err, drain, kill, mend")
        return http.answer_json({"ok": True})


async def _main(args: argparse.Namespace) -> None:
    shape = Shape(
        args.slots, args.room, args.work_ms, args.spread, args.cold_s, fall_multiple=args.fall_multiple
    )
    made = await Upstream(args.name, shape).start(args.port)
    print(f"{args.name} on {made.address}", flush=True)
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--name", default="s1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--room", type=int, default=32)
    parser.add_argument("--work-ms", type=float, default=10.0)
    parser.add_argument("--spread", type=float, default=0.0)
    parser.add_argument("--cold-s", type=float, default=0.0)
    parser.add_argument("--fall-multiple", type=float, default=0.0)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(parser.parse_args()))
