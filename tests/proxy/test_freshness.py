"""What a proxy may say of the configuration in force: only as far back as it can show that it is current."""

from __future__ import annotations

import asyncio
import random

import pytest
from peers import run
from proxy_pair import Mesh, Upstream, answers, request_head

from brackengate.proxy.freshness import NEVER, ClockOffset, ConfigFreshness
from brackengate.proxy.unrouted_requests import MAX_HOLD_S

MS, S = 1_000, 1_000_000


def test_a_time_of_the_replica_is_never_taken_for_later_than_it_was() -> None:
    rng = random.Random(1)
    for _ in range(300):
        ahead, clock = rng.randrange(-(10**12), 10**12), ClockOffset()  # of the replica's clock
        now = rng.randrange(10**9)
        for _ in range(20):
            sent, there = now, now + rng.randrange(400 * MS)
            now = there + rng.randrange(400 * MS)
            clock.add_exchange(sent, there + ahead, now)
            as_of = now - rng.randrange(2 * S)
            now += rng.randrange(3 * S)
            assert as_of - 800 * MS - 10 * MS <= clock.to_local(as_of + ahead, now) <= as_of


def test_a_heartbeat_that_lay_in_a_queue_renews_nothing() -> None:
    clock, freshness = ClockOffset(), ConfigFreshness()
    clock.add_exchange(0, 5 * S, 2 * MS)
    freshness.index_applied(7)
    freshness.heartbeat(7, clock.to_local(5 * S, 3 * S))  # it comes 3 s later
    assert freshness.is_current(S, S + 10 * MS) and not freshness.is_current(3 * S, S + 10 * MS)


def test_without_an_exchange_of_times_nothing_is_known() -> None:
    freshness = ConfigFreshness()
    freshness.index_applied(7)
    freshness.heartbeat(7, ClockOffset().to_local(5 * S, 0))
    assert freshness.as_of <= NEVER


def test_a_heartbeat_ahead_of_the_news_counts_once_the_news_is_in_force() -> None:
    freshness = ConfigFreshness()
    freshness.index_applied(7)
    freshness.heartbeat(9, 5 * S)
    assert not freshness.is_current(5 * S, S)
    freshness.index_applied(8)
    assert not freshness.is_current(5 * S, S)
    freshness.index_applied(9)
    assert freshness.is_current(5 * S, S)


@pytest.mark.parametrize("current", [True, False])
def test_only_a_current_proxy_says_that_there_is_no_route(current: bool) -> None:
    async def play() -> None:
        mesh = Mesh(await Upstream(answers(1)).start())
        mesh.current = current
        caller, loop = await mesh.caller(), asyncio.get_running_loop()
        since = loop.time()
        caller.writer.write(request_head("unheard"))
        status, headers, _ = await caller.read()
        assert status == (404 if current else 503)
        assert current or loop.time() - since >= 0.95 * MAX_HOLD_S  # the loop's clock counts milliseconds
        assert current or "retry-after" in headers

    run(play())


@pytest.mark.parametrize("news", ["route", "current"])
def test_what_is_held_goes_on_when_the_news_comes(news: str) -> None:
    async def play() -> None:
        upstream = await Upstream(answers(1)).start()
        mesh = Mesh(upstream)
        mesh.current = False
        caller = await mesh.caller()
        caller.writer.write(request_head("unheard"))
        while not mesh.egress.pending_count():
            await asyncio.sleep(0)
        if news == "route":
            mesh.add_route("unheard")
        else:
            mesh.current = True
            mesh.egress.unrouted.recheck()
        assert (await caller.read())[0] == (200 if news == "route" else 404)
        assert len(upstream.ran) == (news == "route")

    run(play())
