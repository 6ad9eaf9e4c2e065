"""A scenario on real sockets: instances as processes, stand-ins for upstreams and discovery, in real time.

What is asked, and when a try follows on another, is decided by the same code as in simulated time; upstreams
are stand-ins that share nothing with the emulator's models.  So what differs is what the emulator gets wrong.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import re
import shutil
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from brackengate.emulator import report
from brackengate.emulator.callers import Arrivals, Item, Told, request, wait_after
from brackengate.emulator.faults import DOWN, STEP
from brackengate.emulator.hunt import plain
from brackengate.emulator.loop import MS, S
from brackengate.emulator.scenario import ON, Fault, Scenario, installation
from brackengate.installation import schema
from standins import http
from standins.discovery import Discovery
from standins.memory import KeyMemory
from standins.upstream import Shape, Upstream

CAN = ("kill", "zone", "roll", "slow", "silent", "flood")  # faults that can be made here
MOST = {"balancers": 12, "upstreams": 40, "rate": 300.0, "length": 120}  # of a machine
READY_S = 10.0
LOOK_S = 0.1
SERVING = re.compile(rb"serving api on 127\.0\.0\.1:(\d+)")


class CannotPlay(Exception):
    """The scenario has something that can't be had on sockets, or an instance did not start."""


def check(told: Scenario) -> None:
    """CannotPlay with every reason."""
    reasons = [
        f"fault[{n}].kind: {one.kind} can't be made on sockets; allowed: {', '.join(CAN)}"
        for n, one in enumerate(told.fault)
        if one.kind not in CAN
    ]
    for what, value, most in (
        ("balancers.count", told.balancers.count, MOST["balancers"]),
        ("upstreams.count", told.upstreams.count, MOST["upstreams"]),
        ("clients.rate", told.clients.rate, MOST["rate"]),
        ("length", int(told.length) // S, MOST["length"]),
    ):
        if value > most:
            reasons.append(f"{what}: {value:g} is too many for one machine; allowed: up to {most:g}")
    if told.below.count or told.cells.count:
        reasons.append("below, cells: only in simulated time")
    if reasons:
        raise CannotPlay("\n".join(f"  {reason}" for reason in reasons))


class _Balancer:
    """One instance, as often as its process starts."""

    def __init__(self, day: _Day, name: str, zone: str) -> None:
        self.day, self.name, self.zone = day, name, zone
        self.rng = random.Random(f"{day.seed}/{name}")
        self.discovery = Discovery()
        self.port = 0
        self.offered = self.ready = False
        self.process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        self._up = asyncio.Event()
        self._words = b""  # what it said last

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def prepare(self) -> None:
        await self.discovery.start()
        await self.discovery.put(*self.day.rows.values())
        file = installation(self.day.told)
        file = msgspec.structs.replace(
            file,
            upstreams=schema.Upstreams(source="discovery", discovery=self.discovery.address),
            fleet=msgspec.structs.replace(file.fleet, runtime_dir=str(self.day.folder / "run")),
        )
        self.path = self.day.folder / f"{self.name}.toml"
        self.path.write_text(tomli_w.dumps(plain(file)))

    async def begin(self) -> None:
        if self.alive:
            return
        self.offered = self.ready = False
        self._up.clear()
        environ = {**os.environ, "BRACKENGATE_LOG_FORMAT": "text"}
        environ.pop("BRACKENGATE_RUNTIME_DIR", None)
        command = (sys.executable, "-m", "brackengate.cli", "serve", str(self.path))
        self.process = await asyncio.create_subprocess_exec(
            *command, env=environ, stderr=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.DEVNULL
        )
        self._reader = asyncio.create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self._words = (self._words + line)[-2000:]
            if found := SERVING.search(line):
                self.port = int(found[1])
                self._up.set()

    async def until_up(self) -> None:
        try:
            await asyncio.wait_for(self._up.wait(), READY_S)
        except TimeoutError:
            words = self._words.decode("utf-8", "replace")
            raise CannotPlay(f"{self.name} did not start within {READY_S:.0f} s:\n{words}") from None

    def kill(self) -> None:
        if self.alive and self.process is not None:
            self.process.kill()

    async def stop(self) -> None:
        """In order, as a service manager stops it."""
        if self.alive and self.process is not None:
            self.process.terminate()
            await self.process.wait()

    async def look(self) -> None:
        """As the front does: a yes or no of the living; the dead it sees late."""
        if not self.alive or not self._up.is_set():
            return
        told = False
        with contextlib.suppress(OSError, http.Broken, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(http.request("GET", "/ready", {"Connection": "close"}))
                    answer = await http.read(reader)
                    told = answer is not None and answer.status == 200
                finally:
                    writer.close()
        if self.alive:
            self.offered = self.ready = told

    async def close(self) -> None:
        self.kill()
        if self.process is not None:
            await self.process.wait()
        if self._reader is not None:
            await self._reader
        await self.discovery.stop()


class _Day:
    """One run."""

    def __init__(self, told: Scenario, seed: int, folder: Path) -> None:
        self.told, self.seed, self.folder = told, seed, folder
        self.records: list[tuple[int, str, tuple[object, ...]]] = []
        self._rng = random.Random(f"{seed}/callers")
        self._arrivals = Arrivals(told, seed)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._kept: dict[tuple[str, str], list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self._began = 0.0
        ups, zones = told.upstreams, told.zones
        window = max(int(kind.key_memory) for kind in told.class_.values()) / S
        memories = {zone: KeyMemory(window) for zone in zones}
        shape = Shape(
            slots=ups.slots,
            room=ups.room,
            spread=0.2,
            cold_s=int(ups.cold) / S,
            cold_share=ups.cold_share,
            fall_multiple=ups.fall_multiple,
        )
        self.zones = {f"u{n}": zones[n % len(zones)] for n in range(ups.count)}
        self.upstreams = {
            name: Upstream(name, shape, memories[zone], seed=hash((seed, n)) & 0xFFFF)
            for n, (name, zone) in enumerate(self.zones.items())
        }
        self.rows: dict[str, dict[str, Any]] = {}
        count = told.balancers.count
        self.balancers = [_Balancer(self, f"b{n}", zones[n % len(zones)]) for n in range(count)]

    def now(self) -> int:
        return int((time.monotonic() - self._began) * S)

    def trace(self, what: str, *of: object) -> None:
        self.records.append((self.now(), what, of))

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def later(self, delay: int, do: Callable[[], Any]) -> None:
        """`do` gives a coroutine or nothing."""

        async def then() -> None:
            await asyncio.sleep(delay / S)
            made = do()
            if made is not None:
                await made

        self.spawn(then())

    async def run(self) -> None:
        for one in self.upstreams.values():
            await one.start()
            one.started -= 1e6  # it has been up for a while
        self.rows = {name: self.row(name) for name in self.upstreams}
        for balancer in self.balancers:
            await balancer.prepare()
            await balancer.begin()
        for balancer in self.balancers:
            await balancer.until_up()
        while not all(balancer.ready for balancer in self.balancers):
            await asyncio.gather(*(balancer.look() for balancer in self.balancers))
            await asyncio.sleep(LOOK_S)
        self._began = time.monotonic()
        looking = asyncio.create_task(self._look())
        for number, fault in enumerate(self.told.fault):
            rng = random.Random(f"{self.seed}/fault/{number}")
            self.later(int(fault.at), partial(self._strike, fault, rng))
        try:
            await self._ask()
            while self._tasks:
                await asyncio.wait(self._tasks)
        finally:
            looking.cancel()
            for stack in self._kept.values():
                for _, writer in stack:
                    writer.close()
            for balancer in self.balancers:
                await balancer.close()
            for one in self.upstreams.values():
                await one.kill()

    async def _look(self) -> None:
        while True:
            await asyncio.gather(*(balancer.look() for balancer in self.balancers))
            await asyncio.sleep(LOOK_S)

    # --- discovery

    def row(self, name: str) -> dict[str, Any]:
        return self.upstreams[name].row(self.zones[name])

    def publish(self, name: str, row: dict[str, Any] | None) -> None:
        told = self.told.discovery
        for balancer in self.balancers:
            late = balancer.rng.randint(int(told.least), int(told.most))
            self.later(late, partial(self._hears, balancer, name, row))

    async def _hears(self, balancer: _Balancer, name: str, row: dict[str, Any] | None) -> None:
        if row is not None:
            await balancer.discovery.put(row)
        elif name in balancer.discovery.rows:
            await balancer.discovery.remove(name)

    # --- faults

    def _some(self, of: Sequence[Any], part: float, rng: random.Random) -> list[Any]:
        return rng.sample(list(of), min(len(of), max(1, round(part * len(of)))))

    async def _strike(self, fault: Fault, rng: random.Random) -> None:
        on = fault.on or ON[fault.kind][0]
        self.trace("fault", fault.kind, on)
        lasts = int(fault.lasts)
        if fault.kind == "flood":
            self._arrivals.dealers.flood(fault.dealer, fault.times)
            self.later(lasts, lambda: self._arrivals.dealers.flood(fault.dealer, 1 / fault.times))
        elif fault.kind == "zone":
            self._kill_balancers([one for one in self.balancers if one.zone == fault.zone], lasts)
            await self._kill([name for name, zone in self.zones.items() if zone == fault.zone], lasts)
        elif on == "balancers":
            struck = self._some(self.balancers, fault.part, rng)
            if fault.kind == "kill":
                self._kill_balancers(struck, lasts)
            else:
                await self._roll_balancers(struck, fault.step)
        else:
            names = self._some(list(self.upstreams), fault.part, rng)
            if fault.kind == "kill":
                await self._kill(names, lasts)
            elif fault.kind == "roll":
                await self._roll(names, fault)
            for name in names if fault.kind in ("slow", "silent") else ():
                self._hamper(self.upstreams[name], fault, lasts)

    def _hamper(self, one: Upstream, fault: Fault, lasts: int) -> None:
        if fault.kind == "slow":
            one.slow *= fault.times
            self.later(lasts, lambda: setattr(one, "slow", one.slow / fault.times))
        else:
            one.stall(lasts / S)

    def _kill_balancers(self, struck: Sequence[_Balancer], lasts: int) -> None:
        for balancer in struck:
            balancer.kill()
            self.later(int(self.told.clients.notice), partial(self._unoffer, balancer))
            if lasts:
                # A process of this program takes about that long to start.
                self.later(max(0, lasts - 300 * MS), balancer.begin)

    @staticmethod
    def _unoffer(balancer: _Balancer) -> None:
        if not balancer.alive:
            balancer.offered = False

    async def _kill(self, names: Sequence[str], lasts: int) -> None:
        for name in names:
            await self.upstreams[name].kill()
            self.publish(name, None)
            if lasts:
                self.later(lasts, partial(self._start, name))

    async def _start(self, name: str) -> None:
        one = self.upstreams[name]
        one.draining = one.fallen = False
        await one.start()
        self.publish(name, self.row(name))

    async def _roll_balancers(self, struck: Sequence[_Balancer], step: float) -> None:
        count = max(1, round(step * len(self.balancers)))
        for first in range(0, len(struck), count):
            batch = struck[first : first + count]
            await asyncio.gather(*(one.stop() for one in batch))
            await asyncio.sleep(DOWN / S)
            for one in batch:
                await one.begin()
            await asyncio.sleep(STEP / S)

    async def _roll(self, names: Sequence[str], fault: Fault) -> None:
        count = max(1, round(fault.step * len(self.upstreams)))
        for first in range(0, len(names), count):
            batch = names[first : first + count]
            for name in batch:
                self.publish(name, {**self.row(name), "status": "draining"})
            await asyncio.sleep(int(fault.drain) / S)
            for name in batch:
                await self.upstreams[name].kill()
                self.publish(name, None)
            await asyncio.sleep(DOWN / S)
            for name in batch:
                await self._start(name)
            await asyncio.sleep(STEP / S)

    # --- items

    async def _ask(self) -> None:
        number, due = 0, 0
        while due < self.told.length:
            if (wait := due - self.now()) > 0:
                await asyncio.sleep(wait / S)
            item = self._arrivals.item(number, self.now())
            kind = self.told.class_[item.kind]
            self.trace("asked", item.name, item.kind, kind.repeats, item.dealer)
            self.spawn(self._item(item))
            number, due = number + 1, due + self._arrivals.gap(due)

    async def _item(self, item: Item) -> None:
        while True:
            item.tries += 1
            how = await self._try(item)
            wait = wait_after(self.told, item, how, self.now(), self._rng.random())
            if wait is None:
                break
            item.place = how.place
            await asyncio.sleep(wait / S)
        self.trace("ended", item.name, item.kind, how.what, self.now() - item.began, item.dealer)

    async def _try(self, item: Item) -> Told:
        kind, clients = self.told.class_[item.kind], self.told.clients
        left = item.began + int(kind.deadline) - self.now()
        patience = min(left, int(clients.patience)) if clients.patience else left
        try:
            async with asyncio.timeout(patience / S):
                return await self._exchange(item, kind.repeats)
        except TimeoutError:
            return Told("nothing" if patience == left else "impatient")

    def _offered(self, zone: str) -> _Balancer | None:
        here = [one for one in self.balancers if one.offered and one.zone == zone]
        there = here or [one for one in self.balancers if one.offered]
        return self._rng.choice(there) if there else None

    async def _exchange(self, item: Item, repeats: str) -> Told:
        balancer = self._offered(item.zone)
        if balancer is None:
            return Told("refused connection")
        stack = self._kept.setdefault((item.zone, balancer.name), [])
        for kept in (True, False):
            if kept and (repeats == "unsafe" or not stack):
                continue
            try:
                pair = stack.pop() if kept else await asyncio.open_connection("127.0.0.1", balancer.port)
            except OSError:
                return Told("refused connection")
            reader, writer = pair
            again = False
            try:
                writer.write(request(self.told, item, self.now()))
                answer = await http.read(reader)
                if answer is not None:
                    again = answer.keep_alive and self.told.clients.keep and len(stack) < 4
                    after = float(answer.headers.get("retry-after", "0"))
                    place = answer.headers.get("x-place", "").encode()
                    return Told(str(answer.status), int(after * S), place)
            except (OSError, http.Broken):
                pass
            finally:
                if again:
                    stack.append(pair)
                else:
                    writer.close()
            if kept:
                item.tries += 1  # its id may be known there: another
        return Told("reset")


async def _play(told: Scenario, seed: int, folder: Path) -> _Day:
    day = _Day(told, seed, folder)
    await day.run()
    return day


def play(told: Scenario, seed: int) -> tuple[report.Summary, list[str]]:
    """Play it in real time; what became of its items, and what ran twice.  CannotPlay where it can't be."""
    check(told)
    folder = Path(tempfile.mkdtemp(prefix="brackengate-lab-"))
    try:
        day = asyncio.run(_play(told, seed, folder))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    aims = {name: int(kind.aim) for name, kind in told.class_.items()}
    kinds = {of[0]: of[2] for _, what, of in day.records if what == "asked"}
    ran: dict[str, int] = {}
    for one in day.upstreams.values():
        for request_id, count in one.executions.items():
            ran[request_id] = ran.get(request_id, 0) + count
    twice = [name for name, count in ran.items() if count > 1 and kinds.get(name.partition(".")[0]) != "safe"]
    return report.summarise(day.records, aims), sorted(twice)
