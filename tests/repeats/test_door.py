"""Repeats over loopback sockets: who gets which answer, when the first one's client or upstream goes."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from typing import Any

from peers import ONCE, SAFE, Bench, Caller, Module, Peer, answer, run, send_once, silent

from brackengate import interface as api
from brackengate.graphql.analysis import Limits
from brackengate.graphql.classify import Classifier, FieldRule
from brackengate.graphql.classify import Table as Graph
from brackengate.graphql.front import GraphqlFront, Options
from brackengate.http.message import IncomingRequest
from brackengate.net.api import API_PATH, ApiFrontend
from brackengate.net.http import CallerConnection, Frontend, RequestStage
from brackengate.net.node import Message, Node, Reply
from brackengate.repeats.door import RepeatsDoor
from brackengate.repeats.table import Bounds, Table
from standins import http
from standins.graphql_upstream import GraphqlUpstream
from standins.memory import KeyMemory
from standins.upstream import Shape, Upstream

S = 1_000_000
ZONED = api.RequestClass("bid", 2 * S, 2 * S, api.Idempotency.KEYED, api.KeyScope.ZONE, 4 * S)
SETTINGS = api.Settings(classes=(SAFE, ONCE, ZONED), max_attempts=4, max_retry_after=2 * S)


def by_header(arrival: IncomingRequest, _connection: CallerConnection) -> str | None:
    return next((value.decode() for name, value in arrival.headers if name.lower() == b"x-client"), None)


class Guarded(Bench):
    """A balancer with the table at its door; clients say who they are in X-Client."""

    def __init__(self, module: Module | None = None, bounds: Bounds | None = None) -> None:
        self.table = Table(bounds or Bounds(), b"s" * 32, ("drava", "ptuj"))
        self.stage: RepeatsDoor

        def door(node: Node) -> RequestStage:
            self.stage = RepeatsDoor(node, self.table, asyncio.get_running_loop())
            return self.stage

        def fronts(node: Node) -> dict[bytes, Frontend]:
            return {API_PATH: ApiFrontend(node, by_header)}

        super().__init__(module, SETTINGS, frontends=fronts, stage=door)


def bid(
    key: str = "k", client: str = "c", org: str = "drava", body: bytes = b"b", ms: int = 1900
) -> dict[str, Any]:
    return {"lane": "bid", "Idempotency_Key": key, "X_Client": client, "X_Org": org, "body": body, "ms": ms}


async def until(condition: Any) -> None:
    while not condition():
        await asyncio.sleep(0)


def echo(hold: asyncio.Event | None = None) -> Any:
    """An upstream that answers with the id it got."""

    async def script(message: Any, writer: asyncio.StreamWriter) -> None:
        if hold is not None:
            await hold.wait()
        writer.write(answer(200, message[1]["x-txn"].encode()))

    return script


def test_repeats_join_the_first_and_later_ones_get_its_answer() -> None:
    async def main() -> None:
        hold = asyncio.Event()
        peer = await Peer(echo(hold)).start()
        bench = Guarded(send_once())
        bench.list(peer.port)
        callers = [await bench.caller() for _ in range(4)]
        callers[0].send("a0", **bid())
        await peer.got.get()
        for number in (1, 2, 3):
            callers[number].send(f"a{number}", **bid())
        await until(lambda: bench.stage.waiting() == 3)
        hold.set()
        for caller in callers:
            status, _, body = await caller.read()
            assert (status, body) == (200, b"a0")
        assert (await callers[0].ask("a9", **bid()))[::2] == (200, b"a0")
        assert len(peer.requests) == 1
        assert bench.table.counters["joined"] == 3 and bench.table.counters["replayed"] == 1
        assert bench.stage.waiting() == 0 and bench.node.pending_count() == 0

    run(main())


def test_nobody_gets_anothers_answer() -> None:
    """Two clients and two tenants with one key at once, with the same and other bodies; key in other case."""

    async def main() -> None:
        hold = asyncio.Event()
        peer = await Peer(echo(hold)).start()
        bench = Guarded(send_once())
        bench.list(peer.port)
        asked = [
            bid(),
            bid(client="d"),
            bid(org="ptuj"),
            bid("K"),
            bid("other"),
            {**bid(), "X_Client": ""},  # says not who it is: nobody's repeat
        ]
        asked[-1].pop("X_Client")
        callers = [await bench.caller() for _ in asked]
        for number, (caller, one) in enumerate(zip(callers, asked, strict=True)):
            caller.send(f"a{number}", **one)
            await peer.got.get()
        clash = await bench.caller()
        status, _, body = await clash.ask("b", **bid(body=b"another"))
        assert status == 422 and b"another body" in body
        hold.set()
        for number, caller in enumerate(callers):
            assert (await caller.read())[2] == f"a{number}".encode()
        assert len(peer.requests) == 6

    run(main())


def test_other_classes_go_straight_on() -> None:
    async def main() -> None:
        peer = await Peer(echo()).start()
        bench = Guarded(send_once())
        bench.list(peer.port)
        caller = await bench.caller()
        for number, lane in enumerate(["buy", "buy", "read", "read"]):
            assert (await caller.ask(f"a{number}", lane, X_Client="c"))[2] == f"a{number}".encode()
        assert len(bench.table) == 0

    run(main())


def test_three_that_wait_each_get_a_refusal_of_their_own_and_nothing_is_kept() -> None:
    async def main() -> None:
        def act(event: api.Event) -> list[api.Action]:
            return [api.SetTimer(1000, 1)] if isinstance(event, api.Request) and False else []

        module = Module(act)
        bench = Guarded(module)
        callers = [await bench.caller() for _ in range(4)]
        for number, caller in enumerate(callers):
            caller.send(f"a{number}", **bid())
        await until(lambda: bench.stage.waiting() == 3)
        module.act = lambda event: [api.Refuse("a0", S)] if isinstance(event, api.PeerMessage) else []
        bench.node._post(api.PeerMessage(0, b""))
        for caller in callers:
            status, headers, _ = await caller.read()
            assert status == 503 and headers["retry-after"] == "1.000"
        assert len(bench.table) == 0
        assert len([e for e in module.events if isinstance(e, api.Request)]) == 1

    run(main())


def test_the_firsts_client_goes_and_its_work_goes_on_for_the_repeat() -> None:
    async def main() -> None:
        hold = asyncio.Event()
        peer = await Peer(echo(hold)).start()
        bench = Guarded(send_once())
        bench.list(peer.port)
        first = await bench.caller()
        first.send("a0", **bid())
        await peer.got.get()
        first.writer.close()
        await until(lambda: not bench.stage._by_request)
        again = await bench.caller()
        again.send("a1", **bid())
        await until(lambda: bench.stage.waiting() == 1)
        hold.set()
        assert (await again.read())[::2] == (200, b"a0")
        assert len(peer.requests) == 1

    run(main())


def test_the_last_to_go_ends_what_no_upstream_has() -> None:
    async def main() -> None:
        module = Module(lambda event: [])
        bench = Guarded(module)
        callers = [await bench.caller() for _ in range(2)]
        for number, caller in enumerate(callers):
            caller.send(f"a{number}", **bid())
        await until(lambda: bench.stage.waiting() == 1)
        callers[0].writer.close()
        await until(lambda: len(bench.stage._by_request) == 1)
        assert bench.node.pending_count() == 1  # the other still waits
        callers[1].writer.close()
        assert (await module.next(api.ClientGone)).request == "a0"
        assert bench.node.pending_count() == 0 and len(bench.table) == 0

    run(main())


def test_one_with_more_time_goes_on_where_the_first_may_have_run() -> None:
    """The first's deadline passes; the one that joined has more, and is sent under its own id."""

    async def main() -> None:
        hold = asyncio.Event()
        peer = await Peer(echo(hold)).start()
        module = send_once()
        bench = Guarded(module)
        bench.list(peer.port, zone="a")
        first, second = await bench.caller(), await bench.caller()
        first.send("a0", **bid(ms=150))
        await peer.got.get()
        second.send("a1", **bid(ms=1900))
        assert (await first.read())[0] in (502, 504)
        line, headers, _ = await peer.got.get()
        assert headers["x-txn"] == "a1"
        requests = [event for event in module.events if isinstance(event, api.Request)]
        assert [earlier.endpoint.upstream for earlier in requests[1].earlier] == ["u0"]
        hold.set()
        assert (await second.read())[::2] == (200, b"a1")

    run(main())


def test_one_that_joined_has_its_answer_by_its_own_deadline() -> None:
    async def main() -> None:
        peer = await Peer(silent).start()
        bench = Guarded(send_once())
        bench.list(peer.port)
        first, second = await bench.caller(), await bench.caller()
        first.send("a0", **bid(ms=1900))
        await peer.got.get()
        status, _, _ = await second.ask("a1", **bid(ms=100))
        assert status == 504
        assert bench.node.pending_count() == 1  # the first goes on

    run(main())


def test_after_a_loss_a_repeat_goes_to_the_zone_that_remembers_and_no_other() -> None:
    """The upstream dies after the body was sent.  The real module, two zones, three upstreams in each."""

    async def main() -> None:
        memories = {"a": KeyMemory(), "b": KeyMemory()}
        ups = [await Upstream(f"u{i}", Shape(8, 32, 2), memories["ab"[i % 2]]).start() for i in range(6)]
        for up in ups:
            up.hold = asyncio.Event()
        bench = Guarded()
        rows = [
            (api.Endpoint(up.name, zone="ab"[i % 2], cell=i % 2), ("127.0.0.1", up.port))
            for i, up in enumerate(ups)
        ]
        bench.node.update_upstreams(api.ListKind.FULL, rows)
        first = await bench.caller()
        first.send("a0", **bid())
        await until(lambda: any(up.executions for up in ups))
        where = next(i for i, up in enumerate(ups) if up.executions)
        for up in ups:
            up.draining = True  # whatever the module tries again is turned away: the first ends unknown
        ups[where].reset()
        status, _, _ = await first.read()
        assert status == 502
        for up in ups:
            up.draining = False
            assert up.hold is not None
            up.hold.set()
        seen = [len(up.arrivals) for up in ups]
        status, _, body = await first.ask("a1", **bid())
        assert status == 200 and b'"txn": "a0"' in body  # what its zone remembers of the first
        came = [i for i, up in enumerate(ups) if len(up.arrivals) > seen[i]]
        assert came and all(i % 2 == where % 2 for i in came)
        assert sum(sum(up.executions.values()) for up in ups) == 1
        assert bench.table.counters["narrowed"] == 1

    run(main())


def test_repeats_at_0_1_and_5_seconds_in_a_flood_of_new_keys() -> None:
    """Over two zones whose upstreams forget after 4 s; time is the table's own, set forward by the test.

    Every repeat that is recognised is one execution; every one that is executed again had been forgotten.
    """

    async def main() -> None:
        rng = random.Random(5)
        now = [0]
        memories = {"a": KeyMemory(seconds=0.0), "b": KeyMemory(seconds=0.0)}  # upstreams recognise nothing
        ups = [await Upstream(f"u{i}", Shape(64, 256, 1), memories["ab"[i % 2]]).start() for i in range(4)]
        bench = Guarded(bounds=Bounds(bytes=240_000))
        real = bench.clock.now
        bench.stage._inner.clock.now = lambda: real() + now[0]  # type: ignore[method-assign]
        rows = [
            (api.Endpoint(up.name, zone="ab"[i % 2], cell=i % 2), ("127.0.0.1", up.port))
            for i, up in enumerate(ups)
        ]
        bench.node.update_upstreams(api.ListKind.FULL, rows)
        callers = [await bench.caller() for _ in range(16)]
        count = 0

        async def ask(caller: Caller, key: str, org: str) -> int:
            nonlocal count
            count += 1
            status, _, _ = await caller.ask(f"q{count}", **bid(key, org=org))
            return status

        keys = [f"mine{number}" for number in range(60)]
        asked: Counter[str] = Counter()
        for step, seconds in enumerate((0, 1, 5)):
            now[0] = seconds * S
            for number in range(0, len(keys), 8):
                chosen = keys[number : number + 8]
                flood = [f"f{step}-{number}-{i}" for i in range(8)]
                pairs = [(key, "ptuj") for key in chosen] + [(key, "drava") for key in flood]
                rng.shuffle(pairs)
                told = await asyncio.gather(*(ask(c, *pair) for c, pair in zip(callers, pairs, strict=False)))
                assert set(told) == {200}
                asked.update(chosen)
        executed = Counter[str]()
        for up in ups:
            executed.update(up.keys)
        assert all(asked[key] == 3 and executed[key] == 1 for key in keys)
        assert bench.table.counters["replayed"] == 2 * len(keys)
        # A flood in their own tenant's part: what is executed again is what was forgotten, one for one.
        for number in range(0, 400, 16):
            pairs = [(f"g{number + i}", "ptuj") for i in range(16)]
            await asyncio.gather(*(ask(c, *pair) for c, pair in zip(callers, pairs, strict=True)))
        first_before = bench.table.counters["first"]
        told = [await ask(callers[0], key, "ptuj") for key in keys]
        assert set(told) == {200}
        again = Counter[str]()
        for up in ups:
            again.update(up.keys)
        twice = sum(again[key] - 1 for key in keys)
        assert twice == bench.table.counters["first"] - first_before > 0
        assert bench.table.counters["forgotten"] >= twice

    run(main())


def test_a_repeated_graphql_mutation_gets_the_firsts_answer() -> None:
    """The key stands in an input field; the client says who it is in its header."""

    async def main() -> None:
        up = await GraphqlUpstream("u0", KeyMemory(seconds=0.0)).start()
        table = Table(Bounds(), b"s" * 32)
        classes = {cls.name: cls for cls in (SAFE, ONCE, ZONED)}
        rules = {"oddajPonudbo": FieldRule("bid", ("input", "kljuc"))}
        told = Classifier(Graph(classes, "read", "buy", {}, rules), Limits())
        stages: list[RepeatsDoor] = []

        def fronts(node: Node) -> dict[bytes, Frontend]:
            stage = RepeatsDoor(node, table, asyncio.get_running_loop())
            stages.append(stage)
            return {b"/graphql": GraphqlFront(node, stage, told, None, Options(), by_header)}

        bench = Bench(None, SETTINGS, frontends=fronts, stage=lambda _: stages[0])
        bench.list(up.port, zone="a")

        async def ask(key: str, client: str, znesek: int = 5) -> tuple[int, bytes]:
            reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
            query = (
                f'mutation {{ oddajPonudbo(input: {{lot: 7, znesek: {znesek}, kljuc: "{key}"}}) {{ id }} }}'
            )
            body = json.dumps({"query": query}).encode()
            headers: dict[str, object] = {"Content-Type": "application/json", "X-Client": client}
            writer.write(http.request("POST", "/graphql", headers, body))
            message = await http.read(reader)
            writer.close()
            assert message is not None
            return message.status, message.body

        first = await ask("k1", "c")
        assert first[0] == 200 and await ask("k1", "c") == first and len(up.runs) == 1
        assert (await ask("k1", "d"))[0] == 200 and len(up.runs) == 2  # another client's
        status, body = await ask("k1", "c", 6)
        assert (
            status == 422 and json.loads(body)["errors"][0]["extensions"]["code"] == "IDEMPOTENCY_KEY_REUSED"
        )
        assert len(up.runs) == 2

    run(main())


def test_an_answer_and_a_repeat_in_one_turn_of_the_loop() -> None:
    """The repeat is read in the very callback that the answer's end has started."""

    async def main() -> None:
        peer = await Peer(echo()).start()
        bench = Guarded(send_once())
        bench.list(peer.port)
        told: list[tuple[int, bytes]] = []

        class Once:
            def __init__(self, then: Any = None) -> None:
                self.then = then

            def answer(self, reply: Reply) -> None:
                told.append((reply.status, reply.body))
                if self.then is not None:
                    self.then()

        def submit(name: str, caller: Any) -> None:
            now = bench.clock.now()
            request = api.Request(name, "bid", now + S, "drava", is_write=True)
            bench.stage.submit(
                request, Message(b"POST /api HTTP/1.1\r\nX-Txn: a\r\n", b"", b"k", "c"), caller
            )

        submit("a0", Once(lambda: submit("a1", Once())))
        await until(lambda: len(told) == 2)
        assert told == [(200, b"a"), (200, b"a")]
        assert len(peer.requests) == 1

    run(main())
