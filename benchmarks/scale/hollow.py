"""A process of hollow proxies: all that a proxy does for control, and no calls.

Each follows the log, reports the upstream beside it, sends and hears signs of life, suspects the silent and
claims keys with the product's own code (`ControlClient`, `LivenessMonitor`, `Admission`, `RoutingTable`).
What is left out: HTTP, with it the heartbeats of the upstream over HTTP, which are given to the admission
directly.  As many proxies share a loop, the failure detector hears of a longer list of upstreams only every
second, and of suspects together every 50 ms: a real proxy hears of each at once, which costs it 0.16 ms at
1,000 proxies.
"""

from __future__ import annotations

import asyncio
import bisect
import sys
import time
from typing import Any

import msgspec
import uvloop

from benchmarks.scale.orders import (
    CHANGED_PATH,
    HOST,
    AskHealth,
    AwaitRoute,
    AwaitSuspected,
    Begin,
    Claimed,
    Die,
    End,
    Health,
    HollowPlan,
    Order,
    Reached,
    Report,
    RunClaims,
)
from brackengate.net.environment import monotonic_clock_us
from brackengate.protocol.messages import Claim, CommandDone, ReportUpstream
from brackengate.proxy import failure_detector, role
from brackengate.proxy.admission import Admission, Heartbeat
from brackengate.proxy.control_client import ControlClient
from brackengate.proxy.liveness_monitor import LivenessMonitor
from brackengate.proxy.routing_table import RoutingTable

DRAIN_US = 2_000_000
CLAIM_WITHIN_S = 5.0
GIVE_UP_S = 60.0
LOOK_S = 0.005
STALL_LOOK_S = 0.01
LIST_S = 1.0
SUSPECTS_S = 0.05


class CountingMonitor(LivenessMonitor):
    received = 0

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.received += 1
        super().datagram_received(data, addr)


class HollowProxy:
    """One life of a proxy.  `suspected_at`, `routed_at`: in nanoseconds."""

    def __init__(self, plan: HollowPlan, ip: str, zone: str, service: str) -> None:
        self.ip, self.service, self._feedback_us = ip, service, plan.feedback_us
        self.table = RoutingTable()
        self.admission = Admission(zone, plan.feedback_us, DRAIN_US, f"{time.monotonic_ns():016x}")
        self.control_client = ControlClient(
            ip,
            zone,
            plan.port,
            lambda: plan.seeds,
            self.table,
            self._changed,
            monotonic_clock_us,
            lambda _: (),
        )
        me = ip, plan.port
        self.liveness_monitor = CountingMonitor(
            me, monotonic_clock_us, self.control_client.send_command, self._standing, lambda _: None
        )
        self.suspected_at: dict[str, int] = {}
        self.routed_at: dict[int, int] = {}  # by timeout of the route that the runs change
        self._most_known = 0
        self._known: list[int] = []  # numbers of upstreams, rising, and when each was known first
        self._known_at: list[int] = []
        self._beats = 0
        self._telling: asyncio.TimerHandle | None = None
        self._reporting = self._ended = False
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        await self.liveness_monitor.start()
        self.control_client.start()
        self._beat()
        self._report()

    def end(self) -> None:
        """Without a word, as a process that is killed."""
        self._ended = True
        self.liveness_monitor.close()
        self.control_client.close()

    def _beat(self) -> None:
        if self._ended:
            return
        self._beats += 1
        self.admission.receive_heartbeat(
            Heartbeat(f"i-{self.ip}", self.service, "ready", 6, 0, self._beats), monotonic_clock_us()
        )
        self._loop.call_later(self._feedback_us / 1e6, self._beat)

    def _report(self) -> None:
        if self._ended:
            return
        self._loop.call_later(role.REPORT_INTERVAL_S, self._report)
        wanted, known = self.admission.report(monotonic_clock_us()), self.table.instances.get(self.ip)
        if wanted is None or self._reporting or not self.control_client.connected:
            return
        if known is not None and (known.id, known.state, known.proxy_incarnation) == (
            wanted.id,
            wanted.state,
            wanted.proxy_incarnation,
        ):
            return
        self._reporting = True
        what = ReportUpstream(self.ip, msgspec.to_builtins(wanted))
        self.control_client.send_command(what, self._reported, role.REPORT_TIMEOUT_S)

    def _reported(self, result: object) -> None:
        self._reporting = False

    def _changed(self, kinds: set[str]) -> None:
        now = time.monotonic_ns()
        route = self.table.find(HOST, CHANGED_PATH) if "route" in kinds else None
        if route is not None:
            self.routed_at.setdefault(route.cutoff, now)
        if len(self.table.instances) > self._most_known:
            self._most_known = len(self.table.instances)
            self._known.append(self._most_known)
            self._known_at.append(now)
        if kinds & {"inst", "silent"}:
            at = self._loop.time() + (SUSPECTS_S if "silent" in kinds else LIST_S)
            if self._telling is None or at < self._telling.when():
                if self._telling is not None:
                    self._telling.cancel()
                self._telling = self._loop.call_at(at, self._update_monitor)

    def _update_monitor(self) -> None:
        self._telling = None
        if not self._ended:
            suspected = {
                machine for machines in self.table.suspects_by_watcher.values() for machine in machines
            }
            self.liveness_monitor.update(self.table.proxy_machines(), suspected)

    def _standing(self, machine: str, up: bool) -> None:
        if not up:
            self.suspected_at.setdefault(machine, time.monotonic_ns())

    def knew(self, upstreams: int) -> int:
        """When it knew so many upstreams; -1: not yet."""
        found = bisect.bisect_left(self._known, upstreams)
        return self._known_at[found] if found < len(self._known) else -1


class HollowProcess:
    def __init__(self, plan: HollowPlan) -> None:
        self._plan = plan
        self._proxies: list[HollowProxy] = []
        self._longest_stall_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._look(self._loop.time())

    def _look(self, due: float) -> None:
        """Notes how late its own timer is."""
        now = self._loop.time()
        self._longest_stall_s = max(self._longest_stall_s, now - due)
        self._loop.call_later(STALL_LOOK_S, self._look, now + STALL_LOOK_S)

    def _health(self) -> Health:
        stall, self._longest_stall_s = self._longest_stall_s, 0.0
        suspected = {
            ip for proxy in self._proxies for ones in proxy.table.suspects_by_watcher.values() for ip in ones
        }
        received = sum(proxy.liveness_monitor.received for proxy in self._proxies)
        known = min((len(proxy.table.instances) for proxy in self._proxies), default=0)
        return Health(received, stall * 1e3, len(suspected), known)

    async def carry_out(self, order: Order) -> Report:
        match order:
            case Begin(upstreams, over_s):
                return await self._begin(upstreams, over_s)
            case AwaitRoute(timeout_us):
                return await self._when_all(lambda proxy: proxy.routed_at.get(timeout_us, -1))
            case AwaitSuspected(ip):
                return await self._when_all(lambda proxy: proxy.suspected_at.get(ip, -1))
            case RunClaims():
                return await self._claim(order)
            case Die(ip):
                return self._die(ip)
            case AskHealth():
                return self._health()
            case End():
                raise SystemExit(0)

    async def _begin(self, upstreams: int, over_s: float) -> Report:
        for proxy in self._proxies:
            proxy.end()
        await asyncio.sleep(0)  # closed ports are free from the loop's next turn on
        self._proxies = [HollowProxy(self._plan, *one) for one in self._plan.proxies]
        for proxy in self._proxies:
            await proxy.start()
            if over_s:
                await asyncio.sleep(over_s / len(self._proxies))
        return await self._when_all(lambda proxy: proxy.knew(upstreams))

    async def _when_all(self, when: Any) -> Report:
        until = time.monotonic() + GIVE_UP_S
        while time.monotonic() < until and any(when(proxy) < 0 for proxy in self._proxies):
            await asyncio.sleep(LOOK_S)
        return Reached(tuple(when(proxy) for proxy in self._proxies))

    def _die(self, ip: str) -> Report:
        proxy = next(proxy for proxy in self._proxies if proxy.ip == ip)
        self._proxies.remove(proxy)
        proxy.end()
        return Reached((time.monotonic_ns(),))

    async def _claim(self, order: RunClaims) -> Report:
        took: list[int] = []
        counts = {"refused": 0, "unanswered": 0}
        until = time.monotonic() + order.seconds

        async def one_caller(caller: int) -> None:
            proxy, number = self._proxies[caller % len(self._proxies)], 0
            while time.monotonic() < until:
                number += 1
                key = f"{order.tag}-{proxy.ip}-{caller}-{number}"
                begun, answer = time.monotonic_ns(), asyncio.get_running_loop().create_future()
                proxy.control_client.send_command(
                    Claim(key, proxy.ip, f"{begun:016x}"), answer.set_result, CLAIM_WITHIN_S
                )
                result = await answer
                if result is None:
                    counts["unanswered"] += 1
                elif isinstance(result, CommandDone):
                    took.append((time.monotonic_ns() - begun) // 1000)
                else:
                    counts["refused"] += 1

        await asyncio.gather(*(one_caller(n) for n in range(order.at_once)))
        return Claimed(tuple(took), counts["refused"], counts["unanswered"])


async def main(plan: HollowPlan) -> None:
    failure_detector.KEEPALIVE_TIMEOUT_US = plan.late_us
    process, loop = HollowProcess(plan), asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():  # ends with its parent
        order: Order = msgspec.json.decode(line, type=Order)
        if isinstance(order, End):
            return
        sys.stdout.buffer.write(msgspec.json.encode(await process.carry_out(order)) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    uvloop.run(main(msgspec.json.decode(sys.argv[1], type=HollowPlan)))
