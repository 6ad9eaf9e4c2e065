"""Where the microseconds of a small request go, by part; least of many rounds, in CPU time.

    python -m benchmarks.hot_path                       # parts, the whole, system calls, memory
    python -m benchmarks.hot_path --against FOLDER      # and the whole of another checkout, by turns

The whole is callers, balancer and upstream in one process: 32 connections that ask again as soon as they are
answered.  System calls are those that read or write, as /proc/self/io counts them, on all three sides.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import uvloop

from brackengate import interface as api
from brackengate.balancer import Balancer
from brackengate.net.node import Clock, Node
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget, bind
from brackengate.net.upstream import Pool

BODY = b'{"data": {"lot": 7, "price": 1250}}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)
HEAD = (
    b"GET /api?lot=7 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: a%d\r\nX-Lane: pregled\r\n"
    b"X-Org: zadruga-drava\r\nX-Remaining-Ms: 4000\r\n\r\n"
)
CLASS = api.RequestClass("pregled", 5_000_000, 5_000_000, api.Idempotency.REPEATABLE)
SETTINGS = api.Settings(classes=(CLASS,))
ROUND = 1000
ROUNDS = 30
CONNECTIONS = 32


class Upstream(asyncio.Protocol):
    """Answers each head at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._transport.write(ANSWER * data.count(b"\r\n\r\n"))


class Asker(asyncio.Protocol):
    """Asks again as soon as it is answered, until the rounds are over."""

    asked = answered = 0
    marks: list[float] = []  # noqa: RUF012
    over: asyncio.Future[None]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._ask()

    def _ask(self) -> None:
        Asker.asked += 1
        self._transport.write(HEAD % Asker.asked)

    def data_received(self, data: bytes) -> None:
        if b" 200 " not in data[:16]:
            raise RuntimeError(f"not served: {data!r}")
        Asker.answered += 1
        if Asker.answered % ROUND == 0:
            Asker.marks.append(time.process_time())
        if Asker.answered < ROUND * ROUNDS:
            self._ask()
        elif not Asker.over.done():
            Asker.over.set_result(None)


def calls() -> int:
    with open("/proc/self/io", encoding="ascii") as told:
        lines = dict(line.split(": ") for line in told)
    return int(lines["syscr"]) + int(lines["syscw"])


async def _whole() -> None:
    loop = asyncio.get_running_loop()
    Asker.over = loop.create_future()
    upstream = await loop.create_server(Upstream, "127.0.0.1", 0)
    budget = SocketBudget(4000)
    node = Node(loop, Clock(), SETTINGS, Balancer(SETTINGS, 1), Pool(loop, budget, 1.0, 60.0))
    node.update_upstreams(api.ListKind.FULL, [(api.Endpoint("u0"), upstream.sockets[0].getsockname())])
    port = Server(loop, node, budget, [bind(("127.0.0.1", 0))]).start()[0]
    before = calls()
    for _ in range(CONNECTIONS):
        await loop.create_connection(Asker, "127.0.0.1", port)
    async with asyncio.timeout(120):
        await Asker.over
    took = sorted(b - a for a, b in zip(Asker.marks, Asker.marks[1:], strict=False))
    each = (calls() - before) / Asker.answered
    print(f"{took[0] / ROUND * 1e6:.1f} {statistics.median(took) / ROUND * 1e6:.1f} {each:.2f}")


def whole(folder: Path) -> tuple[float, float, float]:
    """Least and median microseconds a request, and system calls, of a checkout in a process of its own."""
    done = subprocess.run(
        [sys.executable, str(Path(__file__).resolve()), "--inside"],
        cwd=folder,
        env={"PYTHONPATH": str(folder), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=180,
    )
    if done.returncode:
        raise SystemExit(done.stderr[-2000:])
    least, median, each = map(float, done.stdout.split())
    return least, median, each


def least_us(work: Callable[[], object]) -> float:
    took = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(ROUND):
            work()
        took.append(time.process_time() - begun)
    return min(took) / ROUND * 1e6


def parts() -> dict[str, float]:
    """Each on the module's own objects, without a socket."""
    from brackengate.http import caller, upstream
    from brackengate.net.api import ApiFrontend

    clock, number = Clock(), 0

    def request() -> bytes:
        nonlocal number
        number += 1
        return HEAD % number

    machine = caller.CallerMachine(0, lambda target: 1 << 16)

    def read_and_answer() -> None:
        machine.received(request(), 0)
        machine.answer(0, 200, BODY, b"application/json")

    def write_request() -> None:
        request()

    answering = upstream.UpstreamMachine()

    def read_answer() -> None:
        answering.start_request(0)
        answering.next_piece(0)
        answering.received(ANSWER, 0)

    class Known:
        classes = {"pregled": CLASS}  # noqa: RUF012

        def known(self, request: str) -> bool:
            return False

    class Taken:
        def submit(self, request: api.Request, message: Any) -> None: ...

    front = ApiFrontend(cast(Any, Known()))
    command = caller.CallerMachine(0, lambda target: 1 << 16).received(HEAD % 0, clock.now())[-1]
    assert isinstance(command, caller.Deliver)
    arrival = command.arrival
    module = Balancer(SETTINGS, 1)
    module.handle(0, api.UpstreamList(api.ListKind.FULL, (api.Endpoint("u0"),)))

    def decide() -> None:
        nonlocal number
        number += 1
        name = f"a{number}"
        module.handle(number, api.Request(name, "pregled", number + 4_000_000, "zadruga-drava"))
        module.handle(number, api.AttemptEnded(name, 0, "u0", api.Outcome.OK, 100, True))

    made = least_us(write_request)
    return {
        "caller's machine, both ways": least_us(read_and_answer) - made,
        "front": least_us(lambda: front.begin(arrival, cast(Any, Taken()))),
        "decision module": least_us(decide),
        "upstream's machine, both ways": least_us(read_answer),
    }


def machine_bytes() -> float:
    from brackengate.http import caller

    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = [caller.CallerMachine(0, lambda target: 1 << 16) for _ in range(2000)]
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(held)


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--against", type=Path, help="the root of another checkout")
    parser.add_argument("--turns", type=int, default=3)
    parser.add_argument("--inside", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.inside:
        uvloop.run(_whole())
        return
    here = Path(__file__).resolve().parent.parent
    mine, theirs = [], []
    for _ in range(args.turns):
        mine.append(whole(here))
        if args.against:
            theirs.append(whole(args.against.resolve()))
    total = min(least for least, _, _ in mine)
    told = parts()
    for name, cost in told.items():
        print(f"{name:<32} {cost:6.1f} us")
    print(f"{'the rest: sockets, loop, carriers':<32} {total - sum(told.values()):6.1f} us")
    middle = statistics.median(median for _, median, _ in mine)
    print(f"{'the whole, with both ends':<32} {total:6.1f} us  median {middle:.1f}")
    print(f"reads and writes a request: {mine[0][2]:.2f}; a caller's machine: {machine_bytes():.0f} bytes")
    if theirs:
        print(f"against {args.against}: {total / min(least for least, _, _ in theirs):.2f} of its least")


if __name__ == "__main__":
    main()
