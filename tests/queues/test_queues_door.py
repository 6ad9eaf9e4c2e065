"""The stage itself: on sockets, before a real node, with scripted modules and upstreams."""

from __future__ import annotations

import asyncio
import json
import zlib
from dataclasses import replace
from typing import Any

import gqlkit
import pytest
from peers import SETTINGS, Bench, Caller, Module, Peer, answer, run, send_once, silent

from brackengate import interface as api
from brackengate.graphql.front import GraphqlFront, Options
from brackengate.http.message import IncomingRequest
from brackengate.net.api import API_PATH, ApiFrontend
from brackengate.net.http import CallerConnection
from brackengate.net.node import ClientInfo, Clock, Message, Node, Reply
from brackengate.queues.admission import Admission, Bounds, ClassTerms
from brackengate.queues.door import QueuesDoor, short
from brackengate.queues.limit import LimitBounds
from brackengate.repeats.door import RepeatsDoor
from brackengate.repeats.table import Bounds as TableBounds
from brackengate.repeats.table import Table

ONE = LimitBounds(least=1, start=1, most=1)  # one request out at a time
HOUR_MS = 3_600_000  # a deadline that no request reaches, however slowly a loaded machine runs the test
UNHURRIED = api.Settings(
    classes=tuple(
        replace(cls, target_latency=HOUR_MS * 1000, deadline=HOUR_MS * 1000) for cls in SETTINGS.classes
    ),
    max_attempts=SETTINGS.max_attempts,
    max_retry_after=SETTINGS.max_retry_after,
)


def origin(arrival: IncomingRequest, connection: CallerConnection) -> ClientInfo:
    headers = {name.lower(): value.decode() for name, value in arrival.headers}
    who = headers.get(b"x-client", "")
    return ClientInfo(
        who,
        headers.get(b"x-address", f"10.{zlib.crc32(who.encode()) % 200}.0.1"),
        headers.get(b"x-place", "").encode(),
    )


class Door:
    """A bench with queues; `told` is the stage."""

    def __init__(
        self,
        module: Module | None = None,
        limit: LimitBounds = ONE,
        dry: bool = False,
        repeats: bool = False,
        settings: api.Settings = SETTINGS,
        tenants: dict[str, float] | None = None,
        **bounds: Any,
    ) -> None:
        self.told: QueuesDoor

        def door(node: Node) -> Any:
            loop = asyncio.get_running_loop()
            terms = {cls.name: ClassTerms(cls.target_latency, cls.value) for cls in settings.classes}
            admission = Admission(terms, tenants or {}, Bounds(limit=limit, **bounds), 1, b"s" * 32)
            self.told = QueuesDoor(node, admission, loop, dry=dry)
            if not repeats:
                return self.told
            return RepeatsDoor(self.told, Table(TableBounds(), b"t" * 32), loop)

        self.bench = Bench(
            module,
            settings,
            frontends=lambda node: {
                API_PATH: ApiFrontend(node, (lambda a, c: "same") if repeats else None, origin)
            },
            stage=door,
        )

    async def caller(self) -> Caller:
        return await self.bench.caller()

    async def reaches(self, **told: int) -> None:
        """Until the counters say so: turns of the loop, and no time."""
        for _ in range(100_000):
            status = self.told.status()
            if all(status.get(name, 0) == value for name, value in told.items()):
                return
            await asyncio.sleep(0)
        raise AssertionError(f"{told} not reached: {self.told.status()}")


class Held(Peer):
    """An upstream that answers when it is told to."""

    def __init__(self) -> None:
        super().__init__(self._hold)
        self.order: list[str] = []
        self.free = asyncio.Semaphore(0)

    async def _hold(self, message: Any, writer: asyncio.StreamWriter) -> None:
        self.order.append(message[1]["x-txn"])
        await self.free.acquire()
        writer.write(answer())

    def let(self, count: int = 1) -> None:
        for _ in range(count):
            self.free.release()


async def asked(door: Door, *who: tuple[str, str], lane: str = "read", **more: Any) -> list[Caller]:
    """Send one request for each (id, client), in that order, the last waiting or gone on before the next."""
    callers = []
    for txn, client in who:
        caller = await door.caller()
        status = door.told.status()
        seen = status["waiting"] + status["running"]
        caller.send(txn, lane, X_Client=client, **more)
        callers.append(caller)
        for _ in range(100_000):
            status = door.told.status()
            if status["waiting"] + status["running"] > seen:
                break
            await asyncio.sleep(0)
    return callers


def test_one_clients_line_does_not_hold_up_anothers_request() -> None:
    async def main() -> None:
        door, upstream = Door(send_once()), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        callers = await asked(door, *((f"a{i}", "ana") for i in range(5)), ("b0", "bor"))
        await door.reaches(waiting=5, running=1)
        upstream.let(6)
        answers = [await caller.read() for caller in callers]
        assert [status for status, _, _ in answers] == [200] * 6
        assert upstream.order.index("b0") <= 2
        assert [name for name in upstream.order if name[0] == "a"] == [f"a{i}" for i in range(5)]
        await door.reaches(waiting=0, running=0, passed=6)

    run(main())


def test_one_that_would_wait_too_long_is_refused_at_once_and_told_when_to_come() -> None:
    async def main() -> None:
        door, upstream = Door(send_once(), patience=2_000_000), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        first = (await asked(door, ("a0", "ana")))[0]
        door.told.admission._rate = 1e-4  # as measured: a request takes minutes
        caller = await door.caller()
        status, headers, body = await caller.ask("a1", X_Client="ana")
        assert (status, headers.get("retry-after")) == (503, None)
        assert b"no place is free" in body
        door.told.admission._rate = 0.3
        status, headers, body = await caller.ask("a2", ms=150, X_Client="ana")
        assert status == 503
        assert 0 < float(headers["retry-after"]) <= 2.0
        assert len(headers["x-place"]) == 43
        upstream.let(1)
        assert (await first.read())[0] == 200
        assert upstream.order == ["a0"]

    run(main())


def test_what_waits_past_its_time_is_refused_and_never_sent() -> None:
    async def main() -> None:
        door, upstream = Door(send_once()), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        first, second = await asked(door, ("a0", "ana"), ("a1", "bor"), ms=300)  # type: ignore[arg-type]
        status, _, body = await second.read()
        assert status == 503 and b"its turn did not come" in body
        upstream.let(1)
        assert (await first.read())[0] in (200, 504)
        assert upstream.order == ["a0"]
        await door.reaches(waiting=0, running=0)

    run(main())


def test_a_caller_that_goes_while_it_waits_leaves_nothing_behind() -> None:
    async def main() -> None:
        door, upstream = Door(send_once()), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        first, second, third = await asked(door, ("a0", "ana"), ("b0", "bor"), ("c0", "cene"))
        second.writer.close()
        await door.reaches(waiting=1, running=1)
        upstream.let(2)
        assert (await first.read())[0] == (await third.read())[0] == 200
        assert upstream.order == ["a0", "c0"]
        await door.reaches(waiting=0, running=0, gone=1)

    run(main())


def test_a_caller_that_goes_while_it_runs_frees_its_place() -> None:
    async def main() -> None:
        door, upstream = Door(send_once()), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        first, second = await asked(door, ("a0", "ana"), ("b0", "bor"))
        await upstream.got.get()
        first.writer.close()
        await upstream.got.get()
        upstream.let(2)
        assert (await second.read())[0] == 200
        await door.reaches(waiting=0, running=0)

    run(main())


def test_the_same_id_twice_is_refused_while_the_first_waits() -> None:
    async def main() -> None:
        door, upstream = Door(send_once()), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        first, second = await asked(door, ("a0", "ana"), ("b0", "bor"))
        thief = await door.caller()
        assert (await thief.ask("b0", X_Client="cene"))[0] == 400
        upstream.let(2)
        assert (await first.read())[0] == (await second.read())[0] == 200

    run(main())


def test_a_caller_that_sends_its_next_request_when_one_is_refused_does_not_recurse() -> None:
    """As a batch does whose operations go one after another, behind the table of repeats too."""

    async def main() -> None:
        door = Door(send_once(), max_retry_after=0)
        door.bench.list((await Peer(silent).start()).port)
        await asked(door, ("a0", "bor"))
        door.told.admission._rate = 1e-9  # every wait is too long
        deadline = door.bench.clock.now() + 900_000

        class Chain:
            refused = 0

            def answer(self, reply: Reply) -> None:
                self.refused += reply.status == 503
                if self.refused < 2000:
                    self.send()

            def send(self) -> None:
                request = api.Request(f"c{self.refused}", "read", deadline)
                message = Message(b"GET /api HTTP/1.1\r\n", b"", client_info=ClientInfo("ana", "10.0.0.1"))
                door.told.submit(request, message, self)

        chain = Chain()
        chain.send()
        assert chain.refused == 2000

    run(main())


def test_dry_one_that_is_answered_while_it_would_have_waited_waits_no_more() -> None:
    async def main() -> None:
        async def script(message: Any, writer: asyncio.StreamWriter) -> None:
            if message[1]["x-txn"] == "a1":
                writer.write(answer())

        door, upstream = Door(send_once(), dry=True), await Peer(script).start()
        door.bench.list(upstream.port)
        first, second = await door.caller(), await door.caller()
        first.send("a0", X_Client="ana")
        await upstream.got.get()
        assert (await second.ask("a1", X_Client="bor"))[0] == 200
        await door.reaches(waiting=0, running=1)
        assert "turned.expired" not in door.told.status()
        first.writer.close()
        await door.reaches(waiting=0, running=0)

    run(main())


def test_dry_nothing_waits_and_what_would_have_is_counted() -> None:
    async def main() -> None:
        door, upstream = Door(send_once(), dry=True), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        callers = [await door.caller() for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.send(f"a{number}", X_Client="ana")
            await upstream.got.get()  # each is sent at once, though one at a time may pass
        assert door.told.waiting() == 0
        assert door.told.status()["waited"] == 3
        upstream.let(4)
        for caller in callers:
            status, headers, _ = await caller.read()
            assert status == 200 and "x-place" not in headers
        await door.reaches(waiting=0, running=0)
        door.told.admission._rate = 1e-4
        door.told.admission.limit.value = 0.0
        upstream.let(1)
        status, headers, _ = await callers[0].ask("a9", X_Client="ana")
        assert status == 200 and "retry-after" not in headers
        assert door.told.status()["turned.wait"] == 1

    run(main())


def test_a_joined_repeat_does_not_wait_its_own_turn() -> None:
    """The queues stand behind the table of repeats: a repeat takes no place, and a refusal is everyone's."""

    async def main() -> None:
        door, upstream = Door(send_once(), repeats=True), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        first = (await asked(door, ("k0", "ana"), lane="bid", Idempotency_Key="k1"))[0]
        second = await door.caller()
        second.send("k1", "bid", X_Client="ana", Idempotency_Key="k1")
        await upstream.got.get()
        await door.reaches(waiting=0, running=1)
        upstream.let(1)
        one, other = await first.read(), await second.read()
        assert one[0] == other[0] == 200 and one[2] == other[2]
        assert upstream.order == ["k0"]

    run(main())


def test_a_drain_answers_all_that_waits() -> None:
    async def main() -> None:
        door, upstream = Door(send_once(), limit=LimitBounds(2, 2, 2)), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        callers = await asked(door, *((f"a{i}", f"c{i}") for i in range(8)))
        await door.reaches(waiting=6, running=2)
        draining = asyncio.get_running_loop().create_task(door.bench.server.drain(10.0, 0.0))
        upstream.let(8)
        for caller in callers:
            assert (await caller.read())[0] == 200
        await draining
        assert sorted(upstream.order) == [f"a{i}" for i in range(8)]

    run(main())


def test_slow_bodies_and_half_open_connections_take_no_turn() -> None:
    async def main() -> None:
        door, upstream = Door(send_once()), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        slow = [await door.caller() for _ in range(20)]
        for number, caller in enumerate(slow):
            if number % 2:
                caller.writer.write(
                    b"POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: s%d\r\nX-Lane: buy\r\n" % number
                )
                caller.writer.write(b"X-Remaining-Ms: 900\r\nContent-Length: 60000\r\n\r\nx")
        upstream.let(3)
        caller = await door.caller()
        for number in range(3):
            assert (await caller.ask(f"a{number}", X_Client="ana"))[0] == 200
        status = door.told.status()
        assert status["passed"] == 3 and status["waiting"] == status["running"] == 0
        for one in slow:
            one.writer.close()

    run(main())


def test_names_of_callers_are_kept_short() -> None:
    assert short("ana") == "ana"
    assert len(short("x" * 16_000)) < 64
    assert short("x" * 16_000) != short("x" * 16_001)


def test_a_long_tenant_is_kept_short_unless_the_file_names_it() -> None:
    async def main() -> None:
        named = "n" * 100
        door = Door(send_once(), limit=LimitBounds(9, 9, 9), tenants={named: 1.0})
        door.bench.list((await Peer(silent).start()).port)
        for number, tenant in enumerate((named, "x" * 4000)):
            caller = await door.caller()
            caller.send(f"a{number}", X_Client="ana", X_Org=tenant)
            await door.reaches(passed=number + 1)
        kept = {item.identity.tenant for item in door.told.admission._out.values()}
        assert named in kept and max(len(tenant) for tenant in kept) == 100

    run(main())


def test_the_module_that_gives_up_is_answered_at_once_with_a_place_where_there_is_one() -> None:
    async def main() -> None:
        def act(event: api.Event) -> list[api.Action]:
            return [api.Refuse(event.request, 2_000_000)] if isinstance(event, api.Request) else []

        door = Door(Module(act), patience=2_000_000)
        caller = await door.caller()
        status, headers, _ = await caller.ask("a0", X_Client="ana")
        assert status == 503
        assert float(headers["retry-after"]) < 2.0 and "x-place" in headers
        assert json.loads(json.dumps(door.told.status()))["places"] == 1

    run(main())


def test_the_clock_of_the_door_is_the_nodes() -> None:
    async def main() -> None:
        door = Door(send_once())
        assert isinstance(door.told.clock, Clock) and door.told.clock is door.bench.clock

    run(main())


def test_many_connections_and_many_keys_are_still_one_client() -> None:
    """Sixty connections, a new key on each: the next client's request is at most the second one on."""

    async def main() -> None:
        door, upstream = Door(send_once(), settings=UNHURRIED), Held()
        await upstream.start()
        door.bench.list(upstream.port)
        door.told.admission._rate = 1e9  # so that none is refused for its wait
        crowd = [
            (await asked(door, (f"k{i}", "ana"), lane="bid", ms=HOUR_MS, Idempotency_Key=f"key{i}"))[0]
            for i in range(60)
        ]
        other = (await asked(door, ("b0", "bor"), ms=HOUR_MS))[0]
        await door.reaches(waiting=60, running=1)
        upstream.let(61)
        assert (await other.read())[0] == 200
        assert upstream.order.index("b0") <= 2
        assert {(await caller.read())[0] for caller in crowd} == {200}

    run(main())


ONE_READ = b'{"query": "{ predmet }"}'


def graphql_bench(batch: str, **options: Any) -> tuple[Bench, Admission]:
    """One request out at a time, by GraphQL; the bench and its queues."""
    terms = {cls.name: ClassTerms(cls.target_latency, cls.value) for cls in gqlkit.CLASSES.values()}
    admission = Admission(terms, {}, Bounds(limit=ONE, max_retry_after=0), 1, b"s" * 32)
    admission._rate = 1e9  # so that none is refused for its wait
    made: list[QueuesDoor] = []

    def door(node: Node) -> Any:
        made.append(QueuesDoor(node, admission, asyncio.get_running_loop()))
        return made[0]

    def fronts(node: Node) -> dict[bytes, Any]:
        told = Options(batch=batch, **options)
        return {b"/graphql": GraphqlFront(node, _Late(made), gqlkit.classifier(), None, told, None, origin)}

    settings = api.Settings(classes=tuple(gqlkit.CLASSES.values()), max_attempts=4)
    return Bench(send_once(), settings, frontends=fronts, stage=door), admission


async def graphql_send(bench: Bench, client: str, body: bytes) -> Caller:
    caller = await bench.caller()
    head = f"POST /graphql HTTP/1.1\r\nHost: a\r\nX-Client: {client}\r\n"
    head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    caller.writer.write(head.encode() + body)
    return caller


@pytest.mark.parametrize("batch", ["split", "whole"])
def test_the_operations_of_a_graphql_batch_count_one_by_one(batch: str) -> None:
    """A batch of ten that goes apart takes ten turns; one that goes whole counts as ten times the work."""

    async def main() -> None:
        bench, admission = graphql_bench(batch)
        order: list[str] = []
        free = asyncio.Semaphore(0)
        begun = asyncio.Event()

        async def hold(message: Any, writer: asyncio.StreamWriter) -> None:
            order.append(message[1].get("x-client", "?"))
            begun.set()
            await free.acquire()
            body = b'[{"data": {}}]' if message[2].startswith(b"[") else b'{"data": {}}'
            writer.write(answer(body=body))

        upstream = await Peer(hold).start()
        bench.list(upstream.port)
        first = await graphql_send(bench, "bor", ONE_READ)
        await begun.wait()
        crowd = await graphql_send(bench, "ana", b"[" + b",".join([ONE_READ] * 10) + b"]")
        while admission.waiting() < (10 if batch == "split" else 1):
            await asyncio.sleep(0)
        if batch == "whole":
            (waits,) = admission._items.values()
            assert waits.base == pytest.approx(10 * admission._out[next(iter(admission._out))].base)
        second = await graphql_send(bench, "cene", ONE_READ)
        while admission.waiting() < (11 if batch == "split" else 2):
            await asyncio.sleep(0)
        for _ in range(21):
            free.release()
        for caller in (first, second, crowd):
            assert (await caller.read())[0] == 200
        if batch == "split":
            assert order.count("ana") == 10
            assert order.index("cene") <= 3

    run(main())


class _Late:
    """The stage is made after the fronts."""

    def __init__(self, made: list[QueuesDoor]) -> None:
        self._made = made

    def submit(self, *args: Any) -> None:
        self._made[0].submit(*args)

    def client_disconnected(self, *args: Any) -> None:
        self._made[0].client_disconnected(*args)
