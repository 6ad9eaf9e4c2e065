"""Pools on loopback sockets: routes, removal with work in flight, bulkheads, drains, versions in between."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import peers
import pytest
from peers import ONCE, SAFE, Caller, Peer, answer, replies, reset, run, silent

from brackengate import interface as api
from brackengate.installation.schema import HeaderMatch, Pool, Route, Upstream, Versions
from brackengate.interface import Request
from brackengate.net.api import API_PATH, ApiFrontend
from brackengate.net.http import ANY_PATH
from brackengate.net.node import Clock, Message
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget, bind
from brackengate.routing import setup
from brackengate.routing.pools import Pools
from brackengate.snapshot.check import faults
from brackengate.snapshot.model import Snapshot, make

# No test waits for a deadline: what is held until then runs into the test's own limit.
LONG = 3_600_000_000
SETTINGS = api.Settings(
    classes=(
        replace(SAFE, deadline=LONG, target_latency=LONG),
        replace(ONCE, deadline=LONG, target_latency=LONG),
    ),
    max_attempts=4,
    max_retry_after=2_000_000,
)
MS = LONG // 1000


class _File:
    """As much of an installation file as the front's router reads."""

    versions = Versions(source="file")


class Bench:
    """A listener before pools, in this process."""

    def __init__(self, settings: api.Settings = SETTINGS, door: Callable[[Pools], Any] | None = None) -> None:
        loop = asyncio.get_running_loop()
        self.budget = SocketBudget(200)
        self.statuses: list[int] = []
        self.pools = Pools(settings, Clock(), self.budget, None, self.statuses.append)
        front = ApiFrontend(self.pools, None, None, setup.route_of(_File(), self.pools))
        stage = door(self.pools) if door else None
        self.server = Server(
            loop,
            self.pools,
            self.budget,
            [bind(("127.0.0.1", 0))],
            100,
            {API_PATH: front, ANY_PATH: front},
            stage,
        )
        self.port = self.server.start()[0]
        self.versions = 0

    def apply(self, snapshot: Snapshot) -> None:
        assert not faults(snapshot, self.pools.classes)
        self.versions += 1
        self.pools.apply(snapshot, str(self.versions))

    async def caller(self) -> Caller:
        return await Caller.to(self.port)

    async def until(self, holds: Callable[[], bool]) -> None:
        """For what a turn of the loop or a look brings about; the test's limit ends it."""
        while not holds():
            await asyncio.sleep(0.005)


def pool(*ports: int, state: str = "serving", **more: Any) -> Pool:
    rows = [Upstream(name=f"u{p}", address=f"127.0.0.1:{p}", state=state, since=1) for p in ports]
    return Pool(upstream=tuple(rows), **more)


def to(name: str, **pools: Pool) -> Snapshot:
    return make(pools, [Route(name="all", pool=name)])


async def two() -> tuple[Peer, Peer]:
    return await Peer(replies(answer(200, b"one"))).start(), await Peer(replies(answer(200, b"two"))).start()


def test_requests_go_where_routes_say():
    async def work() -> None:
        one, other = await two()
        bench = Bench()
        caller = await bench.caller()
        assert (await caller.ask("a0", ms=MS))[0] == 503  # no version yet
        rows = [
            Route(name="buys", class_=("buy",), pool="q"),
            Route(name="header", header=(HeaderMatch(name="X-Canary", exact="1"),), pool="q"),
            Route(name="none", tenant=("t9",)),
            Route(name="lots", path="/api", pool="p"),
        ]
        bench.apply(make({"p": pool(one.port), "q": pool(other.port)}, rows))
        assert (await caller.ask("a1", ms=MS))[2] == b"one"
        assert (await caller.ask("a2", "buy", ms=MS))[2] == b"two"
        assert (await caller.ask("a3", ms=MS, X_Canary="1"))[2] == b"two"
        assert (await caller.ask("a4", ms=MS, X_Org="t9"))[0] == 404
        caller.writer.write(peers.request("a5", ms=MS).replace(b"/api?x=1", b"/elsewhere"))
        assert (await caller.read())[0] == 404
        assert bench.pools.counters["no_route"] == 2
        bench.apply(make(bench.pools.snapshot.pools, [*rows, Route(name="rest", pool="q")]))
        caller.writer.write(peers.request("a6", ms=MS).replace(b"/api?x=1", b"/elsewhere?y=2"))
        assert (await caller.read())[2] == b"two"
        assert other.requests[-1][0] == "GET /elsewhere?y=2 HTTP/1.1"
        assert (await caller.ask("a6", ms=MS))[0] == 400  # an id is used once, over all pools

    run(work())


def test_a_buy_in_flight_keeps_its_pool_and_its_answer_when_that_is_removed():
    async def work() -> None:
        old, new = await Peer(silent).start(), await Peer(replies(answer(200, b"new"))).start()
        bench = Bench()
        bench.apply(to("p", p=pool(old.port), q=pool(new.port)))
        first, second = await bench.caller(), await bench.caller()
        first.send("a1", "buy", ms=MS)
        await old.got.get()
        bench.apply(to("q", q=pool(new.port)))
        assert [run.name for run in bench.pools.leaving] == ["p"]
        assert (await second.ask("a2", "buy", ms=MS))[2] == b"new"  # the next goes by the new version
        assert bench.pools.known("a1")
        old.writers[0].write(answer(200, b"old"))
        assert (await first.read())[2] == b"old"
        await bench.until(lambda: not bench.pools.leaving)
        assert len(old.requests) == 1 and [r[1]["x-txn"] for r in new.requests] == ["a2"]
        await old.closed.get()  # its connection is gone, and the pool with it
        assert bench.pools.counters["pools_gone"] == 1 and list(bench.pools.runs) == ["q"]
        assert bench.budget._evictors.__len__() == 2  # the callers' and the one pool's

    run(work())


@pytest.mark.parametrize(("lane", "status"), [("buy", 502), ("read", 503)])
def test_what_is_lost_in_a_removed_pool_is_answered_at_once_and_goes_nowhere_else(lane: str, status: int):
    """With an hour left: what waited for an upstream of a pool that is gone would never end here."""

    async def work() -> None:
        old, new = await Peer(silent).start(), await Peer(replies(answer(200, b"new"))).start()
        bench = Bench()
        bench.apply(to("p", p=pool(old.port), q=pool(new.port)))
        caller = await bench.caller()
        caller.send("a1", lane, ms=MS)
        await old.got.get()
        bench.apply(to("q", q=pool(new.port)))
        reset(old.writers[0])
        told, headers, _ = await caller.read()
        assert told == status and ("retry-after" in headers) is (status == 503)
        assert new.requests == []
        await bench.until(lambda: not bench.pools.leaving)

    run(work())


def test_what_waits_in_a_removed_pool_is_refused_at_once():
    async def work() -> None:
        _, new = await two()
        bench = Bench()
        # All of p's upstreams drain: the request is held for one that serves.
        bench.apply(to("p", p=pool(1, state="draining"), q=pool(new.port)))
        caller = await bench.caller()
        caller.send("a1", "buy", ms=MS)
        await bench.until(lambda: bench.pools.pending_count() == 1)
        bench.apply(to("q", q=pool(new.port)))
        status, headers, _ = await caller.read()
        assert status == 503 and headers["retry-after"] == "2.000" and new.requests == []

    run(work())


class Holding:
    """A stage at the door that holds each request until it is let go."""

    def __init__(self, pools: Pools) -> None:
        self.pools = pools
        self.held: list[tuple[Request, Message, Any]] = []

    def submit(self, request: Request, message: Message, caller: Any) -> None:
        self.held.append((request, message, caller))

    def client_disconnected(self, request: str, caller: Any) -> None:
        self.pools.client_disconnected(request, caller)

    def let_go(self) -> None:
        for one in self.held:
            self.pools.submit(*one)


def test_a_request_keeps_the_version_it_began_with():
    async def work() -> None:
        one, other = await two()
        stage: list[Holding] = []

        def door(pools: Pools) -> Holding:
            stage.append(Holding(pools))
            return stage[0]

        bench = Bench(door=door)
        pools = {"p": pool(one.port), "q": pool(other.port)}
        bench.apply(to("p", **pools))
        caller = await bench.caller()
        caller.send("a1", ms=MS)
        await bench.until(lambda: len(stage[0].held) == 1)
        bench.apply(to("q", **pools))
        stage[0].let_go()
        assert (await caller.read())[2] == b"one"  # by the table of its arrival
        stage[0].held.clear()
        caller.send("a2", ms=MS)
        await bench.until(lambda: len(stage[0].held) == 1)
        bench.apply(to("p", p=pools["p"]))
        stage[0].let_go()
        status, headers, body = await caller.read()
        assert status == 503 and body == b"refused: its pool is gone\n" and "retry-after" in headers

    run(work())


KEYED = replace(peers.KEYED, deadline=LONG, target_latency=LONG, key_memory=LONG, key_scope=api.KeyScope.ZONE)


def test_a_bid_that_may_have_run_goes_to_its_own_pool_or_nowhere():
    """Both pools have a zone of the same name: a key that one knows means nothing in the other."""

    async def work() -> None:
        one, other = await two()
        bench = Bench(replace(SETTINGS, classes=(*SETTINGS.classes, KEYED)))
        pools = {"p": pool(one.port), "q": pool(other.port)}
        pools = {n: Pool(upstream=(replace_zone(p.upstream[0]),)) for n, p in pools.items()}
        bench.apply(to("p", **pools))
        answers: list[Any] = []

        class Kept:
            def answer(self, reply: Any) -> None:
                answers.append(reply)
                done.set()

        async def bid(txn: str, earlier: tuple[api.EarlierAttempt, ...] = ()) -> Any:
            done.clear()
            deadline = bench.pools.clock.now() + LONG
            request = Request(txn, "bid", deadline, earlier=earlier)
            chosen = bench.pools.choose(setup.Traits(class_name="bid"))
            head = peers.request(txn, "bid", Idempotency_Key="k").partition(b"X-Remaining-Ms")[0]
            bench.pools.submit(request, Message(head + b"Content-Length: 0\r\n", b"", route=chosen), Kept())
            await done.wait()
            return answers[-1]

        done = asyncio.Event()
        one.script = replies(answer(500))
        lost = await bid("a1")
        assert lost.status == 502 and lost.possible_executions
        tries = len(one.requests)
        one.script = replies(answer(200, b"one"))
        bench.apply(to("q", **pools))  # no route goes to p any more, but it is there
        assert (await bid("a2", tuple(lost.possible_executions))).body == b"one"
        assert len(one.requests) == tries + 1 and other.requests == []
        bench.apply(to("q", q=pools["q"]))
        gone = await bid("a3", tuple(lost.possible_executions))
        assert (
            gone.status == 502
            and list(gone.possible_executions) == list(lost.possible_executions)
            and other.requests == []
        )
        assert (await bid("a4")).body == b"two"

    run(work())


def replace_zone(row: Upstream) -> Upstream:
    return Upstream(name=row.name, address=row.address, zone="a", since=1)


def test_answers_of_the_version_before_are_not_told():
    async def work() -> None:
        one, other = await Peer(silent).start(), await Peer(replies(answer(200, b"other"))).start()
        bench = Bench()
        pools = {"p": pool(one.port), "q": pool(other.port)}
        bench.apply(to("p", **pools))
        first, second = await bench.caller(), await bench.caller()
        first.send("a1", "buy", ms=MS)
        await one.got.get()
        bench.apply(to("q", **pools))
        reset(one.writers[0])
        assert (await first.read())[0] == 502
        assert bench.statuses == []
        assert (await second.ask("a2", ms=MS))[0] == 200
        assert bench.statuses == [200]

    run(work())


def test_a_slow_pool_takes_no_more_than_its_own():
    async def work() -> None:
        slow, fast = await Peer(silent).start(), await Peer(replies(answer(200, b"fast"))).start()
        bench = Bench()
        rows = [Route(name="buys", class_=("buy",), pool="p"), Route(name="rest", pool="q")]
        bench.apply(make({"p": pool(slow.port, max_requests=2), "q": pool(fast.port)}, rows))
        callers = [await bench.caller() for _ in range(4)]
        for n in range(2):
            callers[n].send(f"a{n}", "buy", ms=MS)
            await slow.got.get()
        status, headers, body = await callers[2].ask("a2", "buy", ms=MS)
        assert status == 503 and "as many requests as it may" in body.decode() and "retry-after" in headers
        assert (await callers[3].ask("a3", ms=MS))[2] == b"fast"
        slow.writers[0].write(answer(200, b"slow"))
        assert (await callers[0].read())[2] == b"slow"
        callers[2].send("a4", "buy", ms=MS)  # there is room again
        await slow.got.get()
        told = {row["pool"]: row for row in bench.pools.status()["pools"]}
        assert told["p"]["refused"] == {"full": 1} and told["p"]["held"] == 2
        assert bench.statuses == [503, 200, 200]
        # A bound that changes takes hold at once, with the same decision module.
        bench.apply(make({"p": pool(slow.port, max_requests=3), "q": pool(fast.port)}, rows))
        callers[0].send("a5", "buy", ms=MS)
        await slow.got.get()
        assert bench.pools.counters["pools_made"] == 2

    run(work())


def test_a_bound_on_connections_refuses_and_blames_no_upstream():
    async def work() -> None:
        slow = await Peer(silent).start()
        bench = Bench()
        bench.apply(to("p", p=pool(slow.port, max_connections=1)))
        first, second = await bench.caller(), await bench.caller()
        first.send("a1", ms=MS)
        await slow.got.get()
        assert (await second.ask("a2", ms=MS))[0] == 503
        slow.writers[0].write(answer(200, b"done"))
        assert (await first.read())[0] == 200
        slow.script = replies(answer(200, b"again"))
        assert (await second.ask("a3", ms=MS))[2] == b"again"  # no rest, no demotion: at the first try
        assert bench.pools.runs["p"].budget.in_use == 1
        module = bench.pools.runs["p"].node._module
        assert not module.upstreams[f"u{slow.port}"].demoted

    run(work())


def test_a_pool_without_upstreams_refuses_at_once():
    async def work() -> None:
        bench = Bench()
        bench.apply(to("p", p=Pool()))
        caller = await bench.caller()
        status, headers, body = await caller.ask("a1", ms=MS)
        assert (status, body) == (503, b"refused: its pool has no upstreams\n")
        assert headers["retry-after"] == "2.000" and not bench.pools.can_serve()

    run(work())


def test_an_upstream_that_drains_gets_nothing_more_and_finishes_what_it_has():
    async def work() -> None:
        one, other = await Peer(silent).start(), await Peer(replies(answer(200, b"other"))).start()
        bench = Bench()
        bench.apply(to("p", p=pool(one.port)))
        first, second = await bench.caller(), await bench.caller()
        first.send("a1", "buy", ms=MS)
        await one.got.get()
        rows = (*pool(one.port, state="draining").upstream, *pool(other.port).upstream)
        bench.apply(to("p", p=Pool(upstream=rows)))
        for n in range(20):
            assert (await second.ask(f"b{n}", ms=MS))[2] == b"other"
        one.writers[0].write(answer(200, b"one"))
        assert (await first.read())[2] == b"one" and len(one.requests) == 1
        assert bench.pools.counters["pools_made"] == 1

    run(work())


def test_the_same_name_at_a_new_address_is_another_upstream():
    async def work() -> None:
        one, other = await two()
        bench = Bench()

        def at(port: int) -> Snapshot:
            return to("p", p=Pool(upstream=(Upstream(name="u", address=f"127.0.0.1:{port}"),)))

        bench.apply(at(one.port))
        caller = await bench.caller()
        assert (await caller.ask("a1", ms=MS))[2] == b"one"
        module = bench.pools.runs["p"].node._module
        assert module.upstreams["u"].endpoint.started_at == 0
        bench.apply(at(other.port))
        assert module.upstreams["u"].endpoint.started_at > 0  # it counts as just started
        await one.closed.get()  # and connections to the old address have gone

    run(work())


def test_settings_that_need_another_module_make_another_pool_and_the_old_one_finishes():
    async def work() -> None:
        peer = await Peer(silent).start()
        bench = Bench()
        bench.apply(to("p", p=pool(peer.port)))
        first, second = await bench.caller(), await bench.caller()
        first.send("a1", "buy", ms=MS)
        await peer.got.get()
        bench.apply(to("p", p=pool(peer.port, max_attempts=2)))
        second.send("a2", "buy", ms=MS)
        await peer.got.get()
        assert bench.pools.runs["p"].generation == 2 and bench.pools.runs["p"].settings.max_attempts == 2
        # The upstream is no younger for it.
        row = bench.pools.runs["p"].node._module.upstreams[f"u{peer.port}"].endpoint
        assert row.started_at == 1
        for writer in peer.writers:
            writer.write(answer(200, b"done"))
        assert [(await c.read())[0] for c in (first, second)] == [200, 200]
        await bench.until(lambda: not bench.pools.leaving)

    run(work())


def test_thousands_of_upstreams_are_told_in_slices_between_which_requests_are_served():
    async def work() -> None:
        one, _ = await two()
        bench = Bench()
        bench.apply(to("p", p=pool(one.port)))
        caller = await bench.caller()
        many = tuple(Upstream(name=f"x{n}", address=f"127.0.1.1:{n + 1}") for n in range(3000))
        bench.apply(to("p", p=Pool(upstream=(*many, *pool(one.port).upstream))))
        run_of_p = bench.pools.runs["p"]
        assert run_of_p.node.serving_count() < 100 and run_of_p.telling.known() == 3001
        # The list is taken back before it is all told: nothing of it is left.
        await asyncio.sleep(0)
        bench.apply(to("p", p=pool(one.port)))
        assert run_of_p.node.serving_count() == 1 and run_of_p.telling.done()
        assert (await caller.ask("a1", ms=MS))[2] == b"one"
        bench.apply(to("p", p=Pool(upstream=(*many, *pool(one.port).upstream))))
        await bench.until(run_of_p.telling.done)
        assert run_of_p.node.serving_count() == 3001

    run(work())


@pytest.mark.parametrize("warm", [True, False])
def test_a_new_pool_is_warm_or_cold_as_set_and_what_joins_it_is_new(warm: bool):
    async def work() -> None:
        bench = Bench()
        bench.pools._warm = warm

        def rows(*ports: int) -> Pool:
            return Pool(upstream=tuple(Upstream(name=f"u{p}", address=f"127.0.0.1:{p}") for p in ports))

        bench.apply(to("p", p=rows(1)))
        bench.apply(to("p", p=rows(1, 4), q=rows(2, 1)))
        starts = {
            name: {n: up.endpoint.started_at > 0 for n, up in run_of.node._module.upstreams.items()}
            for name, run_of in bench.pools.runs.items()
        }
        assert starts["p"] == {"u1": False, "u4": True}
        assert starts["q"] == {"u1": False, "u2": not warm}  # one that is known keeps its age

    run(work())


def test_a_caller_that_goes_leaves_nothing_behind():
    async def work() -> None:
        peer = await Peer(silent).start()
        bench = Bench()
        bench.apply(to("p", p=pool(peer.port, max_requests=1)))
        caller = await bench.caller()
        caller.send("a1", ms=MS)
        await peer.got.get()
        caller.writer.close()
        await bench.until(
            lambda: bench.pools.pending_count() == 0 and bench.pools.runs["p"].node.unfinished_count() == 0
        )
        assert bench.pools.runs["p"].bulkhead.held == 0

    run(work())
