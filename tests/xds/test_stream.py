"""The client on a real stream: the scripted control service, the store, and pools on loopback sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import peers
import pytest
from peers import Caller, Peer, answer, replies

from brackengate import interface as api
from brackengate.fleet.configured import Configured
from brackengate.fleet.counters import Counters
from brackengate.installation.reading import loads
from brackengate.installation.schema import File
from brackengate.net.api import API_PATH, ApiFrontend
from brackengate.net.http import ANY_PATH
from brackengate.net.node import Clock
from brackengate.net.server import Server
from brackengate.net.sockets import SocketBudget, bind
from brackengate.snapshot.model import digests
from brackengate.versions import disk
from brackengate.versions.store import State
from brackengate.xds.client import Terms, wait_before
from standins import control
from standins.control import CDS, EDS, ORDER, RDS, Control, Set, cluster, endpoint, route

FILE = """
[installation]
name = "test"
[[listener]]
name = "api"
address = "127.0.0.1:0"
[class.read]
repeats = "safe"
aim = "3600s"
deadline = "3600s"
[class.buy]
repeats = "unsafe"
aim = "3600s"
deadline = "3600s"
[upstreams]
source = "none"
[versions]
source = "xds"
{versions}
[xds]
servers = [{servers}]
backoff = "10ms"
backoff_most = "50ms"
{xds}
"""
MS = 3_600_000


open_now: list[Any] = []


def run(work: Coroutine[Any, Any, None]) -> None:
    """On the loop that instances use."""
    peers.run(clean(work), 60.0)


async def clean(work: Coroutine[Any, Any, None]) -> None:
    """No server may be left behind: the library would hang at the end."""
    try:
        await work
    finally:
        for one in open_now:
            await (one.stop() if isinstance(one, Control) else one.close())
        open_now.clear()


async def started(port: int = 0, made: Set | None = None) -> Control:
    service = Control()
    open_now.append(service)
    if made is not None:
        service.set = made
    return await service.start(port)


def file(*servers: Control | str, versions: str = "", xds: str = "") -> File:
    names = ", ".join(f'"{s if isinstance(s, str) else s.address}"' for s in servers)
    return loads(FILE.format(servers=names, versions=versions, xds=xds))


class Bench:
    """An instance's pools, store and client, with a listener."""

    def __init__(self, told: File, slot: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.clock, budget, self.closed = Clock(), SocketBudget(300), False
        self.serving = asyncio.Event()
        counters = Counters(lambda now: self.serving.set() if now else self.serving.clear())
        self.configured = Configured(told, slot, self.clock, budget, counters)
        pools = self.pools = self.configured.pools
        front = ApiFrontend(pools, None, None, self.configured.route_of)
        self.server = Server(
            loop, pools, budget, [bind(("127.0.0.1", 0))], 100, {API_PATH: front, ANY_PATH: front}
        )
        self.port = self.server.start()[0]
        self.store = self.configured.versions.store
        self.configured.start(told)
        open_now.append(self)

    async def until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            await asyncio.sleep(0.005)

    async def in_use(self, label: str) -> None:
        await self.until(lambda: self.store.in_use is not None and self.store.in_use.label == label)

    async def caller(self) -> Caller:
        return await Caller.to(self.port)

    async def close(self) -> None:
        if not self.closed:
            self.closed = True
            await self.configured.close()
            self.server.close()

    @property
    def machine(self) -> Any:
        return self.configured._client.machine


async def two() -> tuple[Peer, Peer]:
    return await Peer(replies(answer(200, b"one"))).start(), await Peer(replies(answer(200, b"two"))).start()


def at(peer: Peer, **more: Any) -> Any:
    return endpoint(f"127.0.0.1:{peer.port}", own={"since_ms": 1}, **more)


@pytest.mark.parametrize("incremental", ["true", "false"])
def test_a_good_version_a_broken_one_and_a_removal(incremental: str) -> None:
    async def work() -> None:
        one, other = await two()
        service = await started()
        service.set = Set.of(
            "1",
            {"p": [at(one)], "q": [at(other)]},
            route("buys", "q", headers={"x-lane": "buy"}),
            route("rest", "p"),
        )
        bench = Bench(file(service, xds=f"incremental = {incremental}"))
        await bench.in_use("1")
        for url in ORDER:
            assert (await service.answered("1", url))[0].error == ""
        caller = await bench.caller()
        assert (await caller.ask("a1", ms=MS))[2] == b"one"
        assert (await caller.ask("a2", "buy", ms=MS))[2] == b"two"

        broken = Set.of(
            "2", {"p": [at(one)], "q": [at(other)]}, route("rest", "p", headers={"x-lane": "none"})
        )
        broken.clusters["q"] = cluster("q", type="LOGICAL_DNS")
        broken.endpoints["p"] = control.assignment("p", {"a": [at(one)], "b": [at(one)]})
        await service.push(broken)
        for url, word in ((CDS, "LOGICAL_DNS"), (EDS, "stands in 'a' and in 'b'"), (RDS, "names no class")):
            assert word in (await service.answered("2", url))[0].error
        assert bench.store.in_use is not None and bench.store.in_use.label == "1"
        assert (await caller.ask("a3", "buy", ms=MS))[2] == b"two"

        # A removal with a buy in flight: answered where it was sent, and the pool is gone after it.
        held: list[asyncio.StreamWriter] = []

        async def hold(_: object, writer: asyncio.StreamWriter) -> None:
            held.append(writer)

        other.script = hold
        buyer = await bench.caller()
        buyer.send("a4", "buy", ms=MS)
        await bench.until(lambda: len(held) == 1)
        await service.push(Set.of("3", {"p": [at(one)]}, route("rest", "p")), RDS, CDS, EDS)
        await bench.until(lambda: list(bench.pools.runs) == ["p"])
        for url in (RDS, CDS):
            assert (await service.answered("3", url))[0].error == ""
        assert (await caller.ask("a5", "buy", ms=MS))[2] == b"one"
        held[0].write(answer(200, b"bought"))
        assert (await buyer.read())[2] == b"bought"
        await bench.until(lambda: bench.pools.counters["pools_gone"] == 1)
        assert [r[1]["x-txn"] for r in other.requests].count("a4") == 1
        await bench.close()
        await service.stop()

    run(work())


def test_the_three_in_one_burst() -> None:
    async def work() -> None:
        one, other = await two()
        service = await started()
        service.set = Set.of("1", {"p": [at(one)]}, route("rest", "p"))
        bench = Bench(file(service))
        await bench.in_use("1")
        good = Set.of("2", {"p": [at(one)], "q": [at(other)]}, route("rest", "q"))
        broken = Set.of(
            "3",
            {"p": [at(one)], "q": [at(other)]},
            route("rest", {"p": 1, "q": 1}, headers={"x-lane": "none"}),
        )
        removal = Set.of("4", {"q": [at(other)]}, route("rest", "q"))
        await service.push(good)
        await service.push(broken, RDS)
        await service.push(removal, RDS, CDS, EDS)
        assert (await service.answered("2", RDS))[0].error == ""
        assert "names no class" in (await service.answered("3", RDS))[0].error
        for url in (RDS, CDS):
            assert (await service.answered("4", url))[0].error == ""
        await bench.until(lambda: list(bench.pools.runs) == ["q"])
        caller = await bench.caller()
        assert (await caller.ask("a1", ms=MS))[2] == b"two"
        assert bench.machine.counters["turned_down"] == 1
        await bench.close()
        await service.stop()

    run(work())


def test_a_service_that_accepts_and_says_nothing_is_not_told_as_connected() -> None:
    async def work() -> None:
        reached = asyncio.Event()

        async def says_nothing(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reached.set()
            await writer.wait_closed()

        async with await asyncio.start_server(says_nothing, "127.0.0.1", 0) as silent:
            bench = Bench(file("{}:{}".format(*silent.sockets[0].getsockname())))
            await reached.wait()
            assert bench.configured._client.status()["server"] == ""
            assert "not tried yet; waits for clusters" in bench.configured.why_not_ready()
            await bench.close()

    run(work())


def test_a_start_while_the_control_service_is_away(tmp_path: Any) -> None:
    async def work() -> None:
        one, _ = await two()
        service = await started()
        port = service.port
        service.set = Set.of("7", {"p": [at(one)]}, route("rest", "p"))
        told = file(service, versions=f'folder = "{tmp_path}"')
        # With nothing had: not ready, and it says why.
        await service.stop()
        bench = Bench(told)
        await bench.until(lambda: bench.configured._client.counters["failures"] > 2)
        why = bench.configured.why_not_ready()
        assert "UNAVAILABLE" in why and "waits for clusters" in why and not bench.pools.can_serve()
        caller = await bench.caller()
        status, headers, _ = await caller.ask("a0", ms=MS)
        assert status == 503 and headers["retry-after"] == "1"
        # It comes back by itself, and what it had is kept.
        again = await started(port, service.set)
        await bench.in_use("7")
        await bench.until(lambda: bench.configured.versions.counters["saves"] > 0)
        assert (await caller.ask("a1", ms=MS))[2] == b"one"
        await bench.close()
        await again.stop()
        # Another start without it: serving on what was last had, also in a slot that never ran.
        for slot in (0, 3):
            bench = Bench(told, slot)
            assert bench.store.in_use is not None and bench.store.in_use.source == "disk"
            await bench.serving.wait()
            caller = await bench.caller()
            assert (await caller.ask("a1", ms=MS))[2] == b"one"
            await bench.close()
        # A torn file is refused by name, and nothing is served on it.
        for path in tmp_path.iterdir():
            path.write_bytes(path.read_bytes()[:-10])
        bench = Bench(told)
        assert bench.store.in_use is None
        assert bench.configured.versions.counters["files_refused"] >= 1
        await bench.close()

    run(work())


def test_what_is_saved_is_what_is_in_use(tmp_path: Any) -> None:
    async def work() -> None:
        service = await started()
        service.set = Set.of("1", {"p": ["127.0.0.1:1"]}, route("rest", "p"))
        bench = Bench(file(service, versions=f'folder = "{tmp_path}"\nsave_every = "600s"'))
        await bench.in_use("1")
        for n in range(2, 20):
            await service.push(Set.of(str(n), {"p": [f"127.0.0.1:{n}"]}, route("rest", "p")))
        await bench.until(lambda: bench.store.active.pools["p"].upstream[0].address == "127.0.0.1:19")
        await bench.close()  # also what came within the pause is written
        saved, faults = disk.read(str(tmp_path), 0, "test")
        assert saved is not None and not faults
        assert saved.snapshot == bench.store.active
        await service.stop()

    run(work())


def test_a_folder_that_can_not_be_written_stops_nothing() -> None:
    async def work() -> None:
        service = await started()
        service.set = Set.of("1", {"p": ["127.0.0.1:1"]}, route("rest", "p"))
        bench = Bench(file(service, versions='folder = "/proc/none"'))
        await bench.in_use("1")
        await bench.until(lambda: bench.configured.versions.counters["saves_failed"] == 1)
        assert bench.pools.can_serve()
        await bench.close()
        await service.stop()

    run(work())


@pytest.mark.parametrize("incremental", ["true", "false"])
def test_the_stream_dies_between_clusters_and_endpoints(incremental: str) -> None:
    async def work() -> None:
        one, other = await two()
        service = await started()
        service.set = Set.of("1", {"p": [at(one)]}, route("rest", "p"))
        bench = Bench(file(service, xds=f"incremental = {incremental}"))
        await bench.in_use("1")
        service.break_before = {EDS}
        await service.push(Set.of("2", {"p": [at(one)], "q": [at(other)]}, route("rest", "q")))
        await service.until(lambda: service.opened >= 3)  # it comes back, again and again
        caller = await bench.caller()
        assert (await caller.ask("a1", ms=MS))[2] == b"one"
        service.break_before = set()
        await bench.until(lambda: bench.store.active.routes[0].pool == "q")
        assert (await caller.ask("a2", ms=MS))[2] == b"two"
        await bench.close()
        await service.stop()

    run(work())


def test_a_silent_service_a_missing_nonce_and_one_nonce_for_all() -> None:
    async def work() -> None:
        one, _ = await two()
        service = await started()
        service.silent = True
        service.set = Set.of("1", {"p": [at(one)]}, route("rest", "p"))
        bench = Bench(file(service))
        await service.until(lambda: service.opened == 1)
        assert "waits for clusters" in bench.configured.why_not_ready()
        service.silent, service.no_nonce = False, True
        await service.reset()
        await service.until(lambda: service.opened >= 4)  # not answered without end on one stream
        assert "without a nonce" in bench.configured._client.why
        assert len(service.requests) < 200
        service.no_nonce, service.same_nonce = False, True
        await bench.in_use("1")
        await bench.close()
        await service.stop()

    run(work())


def test_half_of_the_resources_and_an_old_version_again() -> None:
    async def work() -> None:
        one, other = await two()
        service = await started()
        service.only = {CDS, RDS}
        old = service.set = Set.of("1", {"p": [at(one)]}, route("rest", "p"))
        bench = Bench(file(service))
        await service.answered("1", CDS)
        await bench.until(lambda: "endpoints 'p'" in bench.configured.why_not_ready())
        assert bench.store.in_use is None and not bench.pools.can_serve()
        service.only = set(ORDER)
        await service.push(old, EDS)
        await bench.in_use("1")
        await service.push(Set.of("2", {"p": [at(other)]}, route("rest", "p")), EDS)
        await service.answered("2", EDS)
        caller = await bench.caller()
        assert (await caller.ask("a1", ms=MS))[2] == b"two"
        # Backwards: the protocol's versions have no order, and the service's word counts.
        await service.push(old, EDS)
        await service.answered("1", EDS, 2)
        assert (await caller.ask("a2", ms=MS))[2] == b"one"
        assert bench.machine.counters["turned_down"] == 0
        await bench.close()
        await service.stop()

    run(work())


def test_several_services_in_their_order() -> None:
    async def work() -> None:
        one, other = await two()
        first, second = await started(), await started()
        port = first.port
        first.set = Set.of("1", {"p": [at(one)]}, route("rest", "p"))
        second.set = Set.of("2", {"p": [at(other)]}, route("rest", "p"))
        await first.stop()
        bench = Bench(file(first, second))
        await bench.in_use("2")
        assert bench.configured._client.server == second.address
        again = await started(port, Set.of("3", {"p": [at(one)]}, route("rest", "p")))
        await second.stop()
        await bench.in_use("3")
        assert bench.configured._client.server == again.address
        await bench.close()
        await again.stop()

    run(work())


def test_it_names_itself_once_on_each_stream() -> None:
    async def work() -> None:
        service = await started()
        service.set = Set.of("1", {"p": ["127.0.0.1:1"]}, route("rest", "p"))
        bench = Bench(file(service, xds='cluster = "maribor"\nmetadata = { rack = "7" }'), slot=2)
        await bench.in_use("1")
        first, *rest = service.requests
        assert (first.node.id, first.node.cluster) == ("test-2", "maribor")
        assert first.node.metadata.fields["rack"].string_value == "7"
        assert all(not request.node.id for request in rest)
        await bench.close()
        await service.stop()

    run(work())


def test_endpoints_that_drain_go_at_once_whatever_holds_the_routes() -> None:
    async def work() -> None:
        one, other = await two()
        service = await started()
        service.set = Set.of("1", {"p": [at(one), at(other)]}, route("rest", "p"))
        # This instance is no canary of anything: new routes would wait for an hour.
        bench = Bench(file(service, versions='canary = 0.000001\ncanary_time = "3600s"'))
        await bench.in_use("1")
        await service.push(
            Set.of(
                "2",
                {"p": [at(one, health="DRAINING"), at(other)]},
                route("rest", "p"),
                route("more", "p", path="/x"),
            )
        )
        await bench.until(lambda: bench.pools.serving_count() == 1)
        await bench.until(lambda: len(bench.store.history) == 2)  # the routes come in a second response
        assert [route.name for route in bench.store.active.routes] == ["rest"]
        assert [v.state for v in bench.store.history] == [State.IN_USE, State.WAITING]
        caller = await bench.caller()
        for n in range(10):
            assert (await caller.ask(f"a{n}", ms=MS))[2] == b"two"
        await bench.close()
        await service.stop()

    run(work())


def test_a_canary_returns_and_tells_the_service() -> None:
    async def work() -> None:
        good, bad = (
            await Peer(replies(answer(200, b"good"))).start(),
            await Peer(replies(answer(500))).start(),
        )
        service = await started()
        service.set = Set.of("1", {"p": [at(good)], "q": [at(bad)]}, route("rest", "p"))
        bench = Bench(file(service, versions='canary = 1.0\ncanary_time = "3600s"\ncanary_least = 5'))
        await bench.in_use("1")
        caller = await bench.caller()
        for n in range(5):
            assert (await caller.ask(f"a{n}", ms=MS))[0] == 200
        await service.push(Set.of("2", {"p": [at(good)], "q": [at(bad)]}, route("rest", "q")))
        await bench.until(lambda: bench.store.active.routes[0].pool == "q")
        statuses = [(await caller.ask(f"b{n}", ms=MS))[0] for n in range(6)]
        assert sum(status != 200 for status in statuses) == 5 and statuses[-1] == 200
        late = [a for a in await service.answered("2", RDS, 2) if a.error]
        assert "5 of 5 answers failed" in late[0].error
        await bench.close()
        await service.stop()

    run(work())


@pytest.mark.parametrize("incremental", ["true", "false"])
def test_ten_thousand_endpoints_and_a_flood_of_versions(incremental: str) -> None:
    """All are told in the end, the latest version holds, and memory of rows that went is bounded."""

    async def work() -> None:
        one, _ = await two()
        service = await started()

        def rows(version: int, count: int) -> list[Any]:
            return [at(one)] + [
                endpoint(f"127.0.{n // 250 + 1}.{n % 250 + 1}:{1000 + (version if n % 100 == 0 else 0)}")
                for n in range(count)
            ]

        service.set = Set.of("0", {"p": rows(0, 10_000)}, route("rest", "p"))
        bench = Bench(file(service, xds=f"incremental = {incremental}"))
        await bench.in_use("0")
        for version in range(1, 11):
            await service.push(Set.of(str(version), {"p": rows(version, 10_000)}, route("rest", "p")))
        assert (await service.answered("10", EDS))[0].error == ""
        await bench.until(lambda: bench.store.in_use is not None and "10" in bench.store.in_use.label)
        # Down to a few: all of the others have left.
        await service.push(Set.of("11", {"p": rows(11, 5)}, route("rest", "p")))
        await bench.until(lambda: bench.pools.serving_count() == 6 and bench.pools.runs["p"].telling.done())
        assert len(bench.pools.runs["p"].node._module.upstreams) == 6
        caller = await bench.caller()
        await bench.close()
        caller.writer.close()
        await service.stop()

    run(work())


def test_bytes_that_are_nothing_change_nothing() -> None:
    async def work() -> None:
        one, _ = await two()
        service = await started()
        service.set = Set.of("1", {"p": [at(one)]}, route("rest", "p"))
        bench = Bench(file(service))
        await bench.in_use("1")
        rng = random.Random(5)
        for n in range(30):
            url = ORDER[n % 3]
            service.raw(url, f"junk-{n}", [("p", rng.randbytes(rng.randrange(1, 60)))])
            answers = await service.answered(f"junk-{n}", url)
            assert answers[0].error or url != CDS
        before = bench.store.active
        service.raw("type.googleapis.com/unknown", "9", [("p", b"")])
        await service.push(Set.of("2", {"p": [at(one), "127.0.0.1:1"]}, route("rest", "p")))
        await bench.until(lambda: len(bench.store.active.pools["p"].upstream) == 2)
        assert before.routes == bench.store.active.routes
        await bench.close()
        await service.stop()

    run(work())


def test_the_same_content_is_the_same_version_from_every_source(tmp_path: Any) -> None:
    """The installation file, discovery's list, and xDS."""

    async def work() -> None:
        service = await started()
        rows = [
            endpoint("127.0.0.1:1001", "u1", weight=2, own={"kind": "m1", "cell": 3, "since_ms": 77}),
            endpoint("127.0.0.1:1002", "u2", "DRAINING", own={"kind": "m1", "cell": 3, "since_ms": 78}),
        ]
        service.set = Set.of(
            "1",
            {"p": rows},
            route("buys", "p", headers={"x-lane": "buy"}),
            route("rest", "p"),
            max_requests=9,
        )
        bench = Bench(file(service))
        await bench.in_use("1")
        by_xds = digests(bench.store.active)
        await bench.close()
        await service.stop()

        head = FILE.partition("[upstreams]")[0]
        shared = """
[versions]
source = "file"
[[route]]
name = "buys"
class = ["buy"]
pool = "p"
[[route]]
name = "rest"
pool = "p"
[pool.p]
max_requests = 9
"""
        by_hand = loads(
            head
            + '[upstreams]\nsource = "none"\n'
            + shared
            + """
[[pool.p.upstream]]
name = "u2"
address = "127.0.0.1:1002"
zone = "a"
kind = "m1"
cell = 3
since = 78000
state = "draining"
[[pool.p.upstream]]
name = "u1"
address = "127.0.0.1:1001"
zone = "a"
kind = "m1"
cell = 3
since = 77000
weight = 2
"""
        )
        bench = Bench(by_hand)
        assert digests(bench.store.active) == by_xds
        await bench.close()

        listed = loads(
            head
            + '[upstreams]\nsource = "discovery"\ndiscovery = "127.0.0.1:1"\n'
            + shared
            + "from_discovery = true\n"
        )
        bench = Bench(listed)
        assert bench.store.active.pools["p"].upstream == ()
        bench.configured.feed.update_upstreams(
            api.ListKind.FULL,
            [
                (api.Endpoint("u1", "a", "m1", 3, api.Lifecycle.SERVING, 2.0, 77_000), ("127.0.0.1", 1001)),
                (api.Endpoint("u2", "a", "m1", 3, api.Lifecycle.DRAINING, 1.0, 78_000), ("127.0.0.1", 1002)),
            ],
            5,
        )
        assert digests(bench.store.active) == by_xds
        bench.configured.feed.update_upstreams(api.ListKind.BROKEN, [])
        bench.configured.feed.update_upstreams(
            api.ListKind.CHANGES, [(api.Endpoint("u2", state=api.Lifecycle.GONE), ("", 0))], 6
        )
        assert [r.name for r in bench.store.active.pools["p"].upstream] == ["u1"]
        assert bench.store.in_use is not None and bench.store.in_use.label == "file 1 list 6"
        await bench.close()

    run(work())


def test_waits_before_a_try_are_spread_and_bounded() -> None:
    terms = Terms(("a",), "n", backoff=0.2, backoff_most=10.0)
    rng = random.Random(3)
    for failures in range(40):
        waits = [wait_before(failures, terms, rng) for _ in range(50)]
        assert min(waits) >= 0 and max(waits) <= min(10.0, 0.2 * 2**failures)
    late = [wait_before(30, terms, rng) for _ in range(2000)]
    assert sum(wait < 1.0 for wait in late) in range(140, 270)  # evenly over ten seconds
