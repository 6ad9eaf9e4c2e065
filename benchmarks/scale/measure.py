"""One run at one size: start, rest, news, claims, suspicion, restart of all; each measured for each role."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.scale import usage
from benchmarks.scale.orders import (
    AskHealth,
    AwaitRoute,
    AwaitSuspected,
    Begin,
    Claimed,
    Die,
    Health,
    Reached,
    RunClaims,
)
from benchmarks.scale.results import Claims, News, Rest, RoleLoad, Run, Start, Suspicion
from benchmarks.scale.site import Site, Size
from benchmarks.scale.slopes import percentile
from benchmarks.scale.usage import Wires, since

PROXIES_PER_S = 50  # that begin at the first start: hollow ones share processors


@dataclass(frozen=True)
class Spans:
    """How long and how often each part is measured."""

    settle_s: float = 6.0  # proxies look for a nearer replica every 4 s
    rest_s: float = 10.0
    changes: int = 20
    claims_s: float = 5.0
    most_at_once: int = 512
    deaths: int = 3


QUICK = Spans(settle_s=0.2, rest_s=0.4, changes=2, claims_s=0.2, most_at_once=8, deaths=1)


@dataclass(frozen=True)
class Place:
    """Where a run takes place.  `folder`: for the replicas' disks; None: the usual one for what passes."""

    first_port: int
    folder: Path | None = None


@dataclass(frozen=True)
class Used:
    """By one process so far."""

    cpu_s: float
    peak_kb: int
    core: Wires = field(default_factory=dict)
    followers: Wires = field(default_factory=dict)
    commits: int = 0
    waited_s: float = 0.0


@dataclass(frozen=True)
class Reading:
    """All processes at one moment: replicas by address, real proxies and hollow processes in their order."""

    at: float
    replicas: dict[str, Used]
    proxies: tuple[Used, ...]
    hollow: tuple[Used, ...]


def read(site: Site) -> Reading:
    ends = usage.connections(site.ports.internal)
    pids = {one.pid for one in site.replicas}
    replicas = {}
    for one in site.replicas:
        core, followers = usage.of_replica(one.pid, pids, ends)
        held = usage.commits(one.machine.folder / "data")
        replicas[one.address] = Used(
            usage.cpu_s(one.pid), usage.memory_kb(one.pid), core, followers, held, usage.waited_s(one.pid)
        )
    rest = [one.pid for one in site.proxies], [one.pid for one in site.groups]
    plain = [tuple(Used(usage.cpu_s(pid), usage.memory_kb(pid)) for pid in pids) for pids in rest]
    return Reading(time.monotonic(), replicas, *plain)


async def loads(site: Site, before: Reading, after: Reading) -> tuple[RoleLoad, ...]:
    """By role between two readings; replicas from the head to the tail."""
    took = after.at - before.at
    out: list[RoleLoad] = []
    chain = await site.standings()
    last = len(max(chain, key=lambda one: one.epoch).members) - 1
    for place, standing in enumerate(chain):
        role = "head" if place == 0 else "middle" if place < last else "tail" if place == last else "out"
        old, new = before.replicas[standing.addr], after.replicas[standing.addr]
        out.append(_replica_load(role, old, new, took, len(standing.proxies)))
    out.append(_mean_load("proxy", before.proxies, after.proxies, took, len(site.proxies)))
    out.append(_mean_load("hollow", before.hollow, after.hollow, took, site.size.hollow))
    return tuple(out)


def _replica_load(role: str, old: Used, new: Used, took: float, followers: int) -> RoleLoad:
    of_followers, core = since(old.followers, new.followers), since(old.core, new.core)
    return RoleLoad(
        role=role,
        cpu=(new.cpu_s - old.cpu_s) / took,
        peak_mb=new.peak_kb / 1024,
        followers=followers,
        messages_out=of_followers.segments_out / took,
        messages_in=of_followers.segments_in / took,
        bytes_out=of_followers.bytes_out / took,
        bytes_in=of_followers.bytes_in / took,
        core_messages_out=core.segments_out / took,
        core_messages_in=core.segments_in / took,
        core_bytes_out=core.bytes_out / took,
        core_bytes_in=core.bytes_in / took,
        commits=(new.commits - old.commits) / took,
        waited=(new.waited_s - old.waited_s) / took,
    )


def _mean_load(
    role: str, before: tuple[Used, ...], after: tuple[Used, ...], took: float, count: int
) -> RoleLoad:
    used = sum(new.cpu_s - old.cpu_s for old, new in zip(before, after, strict=True))
    peak = sum(one.peak_kb for one in after) / 1024 / max(1, count)
    return RoleLoad(role, used / took / max(1, count), peak)


# --- the parts of a run


async def starting(site: Site, over_s: float) -> Start:
    """All hollow proxies begin, for the first time or anew."""
    before, begun = read(site), time.monotonic_ns()
    reports = await site.all(Begin(site.size.proxies, over_s), Reached)
    after = read(site)
    at = [one for report in reports for one in report.at_ns]
    known = [(one - begun) / 1e6 for one in at if one >= 0]
    to_followers = sum(since({}, used.followers).bytes_out for used in after.replicas.values())
    return Start(
        first_ms=min(known, default=-1.0),
        last_ms=max(known, default=-1.0),
        late=len(at) - len(known),
        replicas_cpu_s=tuple(after.replicas[one].cpu_s - used.cpu_s for one, used in before.replicas.items()),
        hollow_cpu_s=sum(
            new.cpu_s - old.cpu_s for old, new in zip(before.hollow, after.hollow, strict=True)
        ) / max(1, site.size.hollow),
        bytes_each=to_followers / site.size.proxies,
        longest_stall_ms=(await health(site)).longest_stall_ms,
    )  # fmt: skip


async def resting(site: Site, span_s: float) -> Rest:
    """Nothing is asked of the system."""
    count = (await health(site)).datagrams
    before = read(site)
    await asyncio.sleep(span_s)
    after = read(site)
    took, end = time.monotonic() - before.at, await health(site)
    received = (end.datagrams - count) / took / max(1, site.size.hollow)
    return Rest(await loads(site, before, after), received, end.longest_stall_ms, end.suspected)


async def health(site: Site) -> Health:
    """Of all hollow processes together."""
    reports = await site.all(AskHealth(), Health)
    return Health(
        sum(one.datagrams for one in reports),
        max(one.longest_stall_ms for one in reports),
        max(one.suspected for one in reports),
        min(one.fewest_known for one in reports),
    )


async def news(site: Site, changes: int) -> News:
    acknowledged, last = [], []
    before = read(site)
    for _ in range(changes):
        sent, acked, timeout_us = await site.change_route()
        at = [one for report in await site.all(AwaitRoute(timeout_us), Reached) for one in report.at_ns]
        acknowledged.append((acked - sent) / 1e6)
        last.append((max(at) - acked) / 1e6 if min(at) >= 0 else float("inf"))
    after = read(site)
    rate = changes / (after.at - before.at)
    return News(tuple(acknowledged), tuple(last), await loads(site, before, after), rate)


async def claims(site: Site, at_once: int, span_s: float, tag: str) -> Claims:
    """`at_once`: claims under way at any time, over all hollow proxies; at least one."""
    groups = site.groups[: min(at_once, len(site.groups))]
    before = read(site)
    reports = await asyncio.gather(
        *(group.order(RunClaims(span_s, at_once // len(groups), tag), Claimed) for group in groups)
    )
    after = read(site)
    took = [one / 1e3 for report in reports for one in report.took_us]
    head = (await site.standings())[0]
    machine = site.replica(head.addr)
    return Claims(
        at_once=at_once // len(groups) * len(groups),
        per_s=len(took) / (after.at - before.at),
        p50_ms=percentile(took, 0.5) if took else -1.0,
        p99_ms=percentile(took, 0.99) if took else -1.0,
        refused=sum(report.refused for report in reports),
        unanswered=sum(report.unanswered for report in reports),
        roles=await loads(site, before, after),
        live_keys=head.keys,
        disk_mb=usage.disk_bytes(machine.machine.folder / "data") / 1e6,
        memory_mb=usage.memory_kb(machine.pid, "VmRSS") / 1024,
    )


async def suspicion(site: Site, deaths: int) -> Suspicion:
    first, last, late = [], [], 0
    for number in range(deaths):
        group = site.groups[number % len(site.groups)]
        ip = group.plan.proxies[number][0]
        died = (await group.order(Die(ip), Reached)).at_ns[0]
        at = [one for report in await site.all(AwaitSuspected(ip), Reached) for one in report.at_ns]
        known = [(one - died) / 1e6 for one in at if one >= 0]
        late += len(at) - len(known)
        first.append(min(known, default=-1.0))
        last.append(max(known, default=-1.0))
    return Suspicion(tuple(first), tuple(last), late)


async def run(size: Size, repeat: int, spans: Spans, place: Place, say: Callable[[str], None]) -> Run:
    """One whole run; all processes are ended with it."""
    load, begun = os.getloadavg()[0], time.monotonic()
    with tempfile.TemporaryDirectory(prefix="scale-", dir=place.folder) as folder:
        sync = usage.sync_ms(Path(folder))
        site = Site(Path(folder), size, place.first_port)
        try:
            say(f"{size.proxies} proxies, {size.replicas} replicas, run {repeat + 1}")
            await site.start()
            start = await starting(site, size.proxies / PROXIES_PER_S)
            say(f"  started: the last knew all after {start.last_ms:.0f} ms; late: {start.late}")
            await asyncio.sleep(spans.settle_s)
            rest = await resting(site, spans.rest_s)
            say(f"  rest: longest stall {rest.longest_stall_ms:.0f} ms, suspected {rest.suspected}")
            changed = await news(site, spans.changes)
            say(f"  news: on the last proxy {percentile(changed.last_proxy_ms, 0.5):.1f} ms after its ack")
            single = await claims(site, 1, spans.claims_s, "single")
            most = await claims(site, spans.most_at_once, spans.claims_s, "most")
            say(f"  claims: {most.per_s:.0f}/s, p50 {most.p50_ms:.1f}, p99 {most.p99_ms:.1f} ms")
            suspected = await suspicion(site, spans.deaths)
            say(f"  suspicion: {suspected.last_ms} ms; late: {suspected.late}")
            restart = await starting(site, 0.0)
            say(f"  restarted: the last knew all after {restart.last_ms:.0f} ms; late: {restart.late}")
            epoch = max(one.epoch for one in await site.standings())
            return Run(
                size.proxies, size.replicas, size.real_proxies, len(site.groups), repeat,
                size.late_us / 1e3, epoch, sync, load, time.monotonic() - begun, start, restart,
                rest, changed, single, most, suspected,
            )  # fmt: skip
        finally:
            await site.stop()
