"""Clients that use a connection until it ends, and an operator; what they see goes into `Records`."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable

from standins.mesh import Mesh, call
from standins.soak.records import GIVE_UP_S, Attempt, ConfigRead, Operation, Order, Probe, Records

DEADLINE_MS = 2_000
ANSWER_TIMEOUT_S = 4.0
ORDER_TIMEOUT_S = 1.0
PAUSE_S = (0.0, 0.08)  # of a client between two requests
RETRY_PAUSE_S = 0.1
# One of them is drawn for each soak: claims of keys keep the log busy, and some faults need it at rest.
KEYED_SHARES = (0.0, 0.02, 0.5)
REPEAT_SHARE = 0.3  # of keyed operations, that are sent once more after a good answer
ORDER_PAUSE_S = (0.1, 1.5)
PROBE_PAUSE_S = 0.05
NEW_VERSION_SHARE = 0.3  # of the orders, that set a route which is there; the others add one
# Names as operators may choose them; no page rules a letter out.
NAME_FORMS = ("fare-{}", "fare {}", "vožnja {}", "100% {}", "{} " + "x" * 220)


class Connection:
    """A kept connection to one proxy, opened when it is needed."""

    def __init__(self, mesh: Mesh, proxy: int) -> None:
        self._mesh, self.proxy = mesh, proxy
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, attempt: Attempt, path: str) -> None:
        """Sends the request and takes its answer; without one the connection is given up."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._exchange(attempt, path)
        except (OSError, asyncio.IncompleteReadError):  # TimeoutError is one
            self.close()
        attempt.ended_at = time.monotonic()

    async def _exchange(self, attempt: Attempt, path: str) -> None:
        if self._streams is None:
            side = self._mesh.sides[self.proxy]
            self._streams = await asyncio.open_connection(side.ip, self._mesh.ports.outbound)
        reader, writer = self._streams
        lines = [
            f"{'POST' if attempt.key else 'GET'} {path} HTTP/1.1",
            "Host: h.example",
            "Content-Length: 0",
            f"X-Brackengate-Attempt-Id: {attempt.id}",
            f"X-Brackengate-Deadline-Ms: {DEADLINE_MS}",
        ]
        if attempt.key:
            lines.append(f"X-Brackengate-Operation-Key: {attempt.key}")
        writer.write("\r\n".join([*lines, "", ""]).encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:])}
        attempt.body = await reader.readexactly(int(fields["content-length"]))
        attempt.status = int(head[0].split()[1])
        if fields.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Ends the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Client:
    """Asks one thing after the other, beside one proxy; tries again there and at others."""

    def __init__(self, number: int, mesh: Mesh, records: Records, seed: int) -> None:
        self._number, self._records, self._count = number, records, 0
        self._rng = random.Random(f"{seed}.{number}")
        self._keyed_share = random.Random(f"{seed}.keyed").choice(KEYED_SHARES)
        self._connections = [Connection(mesh, proxy) for proxy in range(len(mesh.sides))]

    async def run(self, stop: asyncio.Event) -> None:
        """Until `stop` is set, and what is under way has ended."""
        try:
            while not stop.is_set():
                await self._operation()
                await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        finally:
            for connection in self._connections:
                connection.close()

    async def _operation(self) -> None:
        self._count += 1
        keyed = self._rng.random() < self._keyed_share
        operation = Operation(f"k{self._number}.{self._count}" if keyed else "")
        self._records.operations.append(operation)
        began, home = time.monotonic(), self._number
        while not operation.served and time.monotonic() - began < GIVE_UP_S:
            await self._attempt(operation, home + len(operation.attempts))
            if not operation.served:
                await asyncio.sleep(RETRY_PAUSE_S)
        if keyed and self._rng.random() < REPEAT_SHARE:
            await self._attempt(operation, self._rng.randrange(len(self._connections)))

    async def _attempt(self, operation: Operation, proxy: int) -> None:
        proxy %= len(self._connections)
        id_ = f"a{self._number}.{self._count}.{len(operation.attempts)}"
        attempt = Attempt(id_, operation.key, proxy, time.monotonic())
        operation.attempts.append(attempt)
        await self._connections[proxy].ask(attempt, "/bid/x" if operation.key else "/read/x")


class Operator:
    """Sends orders, reads the configuration at random replicas, and asks for its routes at all proxies."""

    def __init__(self, mesh: Mesh, records: Records, seed: int, running: Callable[[int], bool]) -> None:
        """`running`: whether the control replica with this number has a process."""
        self._mesh, self._records, self._running = mesh, records, running
        self._rng, self._version = random.Random(f"{seed}.operator"), 100
        self.routes = 0  # so many were acknowledged, by their numbers from 0 on

    async def run(self, stop: asyncio.Event) -> None:
        """Until `stop` is set, and the order under way is acknowledged."""
        await asyncio.gather(self._send_orders(stop), self._probe(stop))

    async def _send_orders(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            await self._send_order(stop)
            await self.read()
            await asyncio.sleep(self._rng.uniform(*ORDER_PAUSE_S))

    async def _send_order(self, stop: asyncio.Event) -> None:
        self._version += self._rng.randrange(1, 9)
        old = self.routes and self._rng.random() < NEW_VERSION_SHARE
        route = self._rng.randrange(self.routes) if old else self.routes
        name = NAME_FORMS[route % len(NAME_FORMS)].format(route)
        path = {
            "Name": name,
            "PathPrefix": f"/n{route}/",
            "SignalKind": "idempotent",
            "Cutoff": "2s",
            "Plant": "p",
            "MaxAttempts": 2,
            "Revision": f"r{self._version}",
        }
        order = json.dumps({"Apply": {"Hosts": [{"Host": "h.example", "Paths": [path]}]}}).encode()
        while await self._call("config.amend", order) is None:
            if stop.is_set():
                return
        self._records.orders.append(Order(route, self._version, time.monotonic()))
        self.routes = max(self.routes, route + 1)

    async def read(self) -> bool:
        """Reads the configuration at some replica; whether there was an answer."""
        sent_at = time.monotonic()
        answer = await self._call("config.read", b"{}")
        if answer is None:
            return False
        versions: dict[int, int] = {}
        for host in json.loads(answer)["Hosts"]:
            for path in host["Paths"]:
                if path["PathPrefix"].startswith("/n"):
                    versions[int(path["PathPrefix"][2:-1])] = int(path["Revision"][1:])
        self._records.reads.append(ConfigRead(sent_at, versions))
        return True

    async def _call(self, name: str, body: bytes) -> bytes | None:
        """The body of a 200; None for anything else, after a pause."""
        machines = [one for number, one in enumerate(self._mesh.core) if self._running(number)]
        machine = self._rng.choice(machines or self._mesh.core)
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                port, target = self._mesh.ports.control, f"/v1/rpc?call={name}"
                status, _, said = await call(machine.ip, port, "POST", target, body)
                if status == 200:
                    return said
        except OSError:  # TimeoutError is one
            pass
        await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def _probe(self, stop: asyncio.Event) -> None:
        count = 0
        while not stop.is_set():
            count += 1
            if self.routes:
                route, proxy = self._rng.randrange(self.routes), count % len(self._mesh.sides)
                await self.probe(route, proxy, f"probe.{count}")
            await asyncio.sleep(PROBE_PAUSE_S)

    async def probe(self, route: int, proxy: int, attempt: str) -> int:
        """Asks for an operator's route at a proxy; the status, 0 without an answer."""
        sent_at, status = time.monotonic(), 0
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                side = self._mesh.sides[proxy]
                status, _, _ = await self._mesh.request(side, f"/n{route}/x", attempt=attempt)
        except OSError:  # TimeoutError is one
            pass
        self._records.probes.append(Probe(route, proxy, sent_at, status))
        return status
