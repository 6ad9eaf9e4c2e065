"""A fleet's installation on this machine: two tiers of upstreams, two fleets, a front, clients.

The fleets are real: each is `brackengate fleet up` on a file that is written here.  All else are stand-ins.
"""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from brackengate.fleet import control
from standins.clients import AUCTION, Clients, Try
from standins.discovery import Discovery
from standins.front import Front
from standins.memory import KeyMemory
from standins.upstream import Shape, Upstream

ZONES = ("tezno", "pobrezje", "studenci")
READY_S = 30.0
CLASSES = """
[class.pregled]
repeats = "safe"
aim = "410ms"
deadline = "1s"

[class.ponudba]
repeats = "keyed"
key_memory = "4s"
aim = "410ms"
deadline = "1s"
worth = 8

[class.takoj-kupi]
repeats = "unsafe"
aim = "410ms"
deadline = "1s"
worth = 8
"""


GRAPHQL = """
[graphql]
path = "/graphql"
query_class = "pregled"
unnamed_class = "takoj-kupi"
batch = "split"

[graphql.mutation]
takojKupi = "takoj-kupi"
oddajPonudbo = { class = "ponudba", key = "input.kljuc" }
"""


class CannotShow(Exception):
    """A part of the demo did not come up."""


def until_signalled() -> asyncio.Event:
    """Set by SIGINT and SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    return stop


def quantile(sorted_values: Sequence[float], share: float) -> float:
    """0 where there are none."""
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


class FleetProcess:
    """`brackengate fleet up` as a child."""

    def __init__(self, name: str, folder: Path, listener: str, discovery: str, tier: int) -> None:
        self.name, self.dir = name, folder / name
        self.file, self.log = folder / f"{name}.toml", folder / f"{name}.log"
        self.file.write_text(
            f'[installation]\nname = "{name}"\n\n[fleet]\ninstances = 3\nruntime_dir = "{self.dir}"\n\n'
            f'[[listener]]\nname = "api"\n{listener}\n{CLASSES}\n{GRAPHQL}\n'
            f'[upstreams]\nsource = "discovery"\ndiscovery = "{discovery}"\n\n'
            f"[limits]\ntier = {tier}\nmax_attempts = 4\nprobes = true\n"
        )
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, sets: Sequence[str] = ()) -> list[dict[str, Any]]:
        """Until all instances are ready; what they say."""
        words = [word for text in sets for word in ("--set", text)]
        argv = [sys.executable, "-m", "brackengate.cli", "fleet", "up", str(self.file), *words]
        with self.log.open("wb") as log:
            root = Path(__file__).parent.parent
            self._process = await asyncio.create_subprocess_exec(
                *argv, cwd=root, stdin=asyncio.subprocess.DEVNULL, stderr=log, start_new_session=True
            )
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if self._process.returncode is not None:
                raise CannotShow(f"the fleet {self.name} ended:\n{self.log.read_text()[-2000:]}")
            rows = await self.rows()
            if rows and all(row["state"] == "ready" and row["says"] for row in rows):
                return rows
            await asyncio.sleep(0.1)
        raise CannotShow(f"the fleet {self.name} did not become ready:\n{self.log.read_text()[-2000:]}")

    async def rows(self) -> list[dict[str, Any]]:
        try:
            client = await control.Client.to(self.dir / "control.sock")
        except OSError:
            return []
        try:
            rows: list[dict[str, Any]] = (await client.ask({"op": "status"}))["instances"]
            return rows
        except (OSError, EOFError, ValueError):
            return []
        finally:
            client.close()

    async def stop(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGTERM)
            await self._process.wait()


class Demo:
    def __init__(self, port: int, rate: float, sets: Sequence[str]) -> None:
        self._port, self._rate, self._sets = port, rate, sets
        self._console = Console()
        self._upstreams: list[Upstream] = []
        self._lists: list[Discovery] = []
        self._front: Front | None = None
        self._fleets: list[FleetProcess] = []
        self._seen: dict[str, int] = {}

    async def run(self, once: bool, seconds: float | None) -> int:
        """`seconds` begin when all is up; how long that may take is bounded apart, by READY_S."""
        loop, stop = asyncio.get_running_loop(), until_signalled()
        folder = Path(tempfile.mkdtemp(prefix="brackengate-"))
        try:
            started = loop.create_task(self._start(folder))
            stopping = loop.create_task(stop.wait())
            await asyncio.wait({started, stopping}, return_when=asyncio.FIRST_COMPLETED)
            if not started.done():
                started.cancel()
                await asyncio.wait({started})
                return 0
            front = started.result()
            if once:
                return await self._once(front)
            if seconds is not None:
                loop.call_later(seconds, stop.set)
            await self._show(front, stop)
            return 0
        except CannotShow as error:
            print(f"brackengate: {error}", file=sys.stderr)
            return 1
        finally:
            await asyncio.gather(*(fleet.stop() for fleet in self._fleets))
            await self._stop_standins()
            shutil.rmtree(folder, ignore_errors=True)

    async def _stop_standins(self) -> None:
        """Closes their connections: one that outlives its event loop is reported on standard error."""
        if self._front is not None:
            await self._front.stop()
        for upstream in self._upstreams:
            await upstream.kill()
        for one in self._lists:
            await one.stop()

    async def _start(self, folder: Path) -> Front:
        lists = self._lists = [await Discovery().start(), await Discovery().start()]
        memories = {zone: KeyMemory() for zone in ZONES}
        for group, zone in enumerate(ZONES):
            lower = await Upstream(f"knjizenje-{zone}", Shape(8, 32, 12, 0.5), memories[zone]).start()
            self._upstreams.append(lower)
            await lists[1].put(lower.row(zone, group))
        one_each = 'addresses = ["127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"]'
        below = FleetProcess("knjizenje", folder, one_each, lists[1].address, 1)
        self._fleets.append(below)
        rows = await below.start()
        for group, (zone, row) in enumerate(zip(ZONES, rows, strict=True)):
            host, _, port = row["says"]["addresses"][0].rpartition(":")
            memory = KeyMemory()
            upper = Upstream(f"sprejem-{zone}", Shape(8, 32, 10, 0.5), memory, (host, int(port)), seed=group)
            self._upstreams.append(await upper.start())
            await lists[0].put(upper.row(zone, group))
        above = FleetProcess("sprejem", folder, 'address = "127.0.0.1:0"', lists[0].address, 0)
        self._fleets.append(above)
        rows = await above.start(self._sets)
        host, _, port = rows[0]["says"]["addresses"][0].rpartition(":")
        try:
            front = self._front = await Front([(host, int(port))]).start(self._port)
        except OSError as error:
            raise CannotShow(f"the front cannot listen on port {self._port}: {error.strerror}") from None
        try:
            async with asyncio.timeout(READY_S):
                await front.until_ready()
        except TimeoutError:
            raise CannotShow("the front found no instance ready") from None
        return front

    # --- once

    async def _once(self, front: Front) -> int:
        clients = Clients(front.port, 1)
        for kind in AUCTION:
            clients.ask(kind)
        await clients.settle()
        good = True
        for kind in AUCTION:
            tries = [one for one in clients.tally.tries if one.kind is kind]
            last = tries[-1]
            good = good and last.status == 200
            took = f"{last.took_s * 1000:.0f} ms"
            where = _upstream_of(last)
            print(
                f"{kind.name:<12} {kind.repeat.value:<7} {last.status or last.end.value} {took:>7}  {where}"
            )
        return 0 if good else 1

    # --- shown

    async def _show(self, front: Front, stop: asyncio.Event) -> None:
        clients = Clients(front.port, self._rate)
        running = asyncio.get_running_loop().create_task(clients.run(stop))
        print(f"front on 127.0.0.1:{front.port}, /api and /graphql; Ctrl-C stops all", flush=True)
        live = Live(console=self._console, auto_refresh=False) if self._console.is_terminal else None
        with live or contextlib.nullcontext():
            while not stop.is_set():
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await stop.wait()
                tries, clients.tally.tries = clients.tally.tries, []
                clients.tally.items.clear()
                rows = await self._fleets[-1].rows()
                if live is not None:
                    live.update(self._tables(tries, rows), refresh=True)
                else:
                    print(self._line(tries, rows), flush=True)
        await running

    def _line(self, tries: Sequence[Try], rows: Sequence[dict[str, Any]]) -> str:
        statuses = Counter(one.status or one.end.value for one in tries)
        told = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items(), key=str))
        ready = sum(1 for row in rows if row["state"] == "ready")
        p50, p99 = _quantiles(tries)
        return f"{len(tries)} answers/s  {told}  p50 {p50:.0f} ms p99 {p99:.0f} ms  {ready} instances ready"

    def _tables(self, tries: Sequence[Try], rows: Sequence[dict[str, Any]]) -> Group:
        classes = Table(title="requests, the last second", title_justify="left")
        for name in ("class", "tries", "served", "refused", "failed", "p50 ms", "p99 ms"):
            classes.add_column(name, justify="left" if name == "class" else "right")
        for kind in AUCTION:
            mine = [one for one in tries if one.kind is kind]
            served = sum(one.status == 200 for one in mine)
            refused = sum(one.status in (429, 503) for one in mine)
            figures = (len(mine), served, refused, len(mine) - served - refused)
            p50, p99 = _quantiles(mine)
            classes.add_row(kind.name, *map(str, figures), f"{p50:.0f}", f"{p99:.0f}")
        ups = Table(title="upstreams", title_justify="left")
        for name in ("upstream", "run/s", "in flight", "turned away"):
            ups.add_column(name, justify="left" if name == "upstream" else "right")
        for up in self._upstreams:
            counts = up.counts()
            before = self._seen.get(up.name, 0)
            self._seen[up.name] = counts["executed"]
            told = (counts["executed"] - before, counts["in_flight"], counts["turned_away"])
            ups.add_row(up.name, *map(str, told))
        fleet = Table(title="fleet sprejem", title_justify="left")
        for name in ("instance", "state", "pid", "held", "callers", "MB"):
            fleet.add_column(name, justify="left" if name == "state" else "right")
        for row in rows:
            says = row["says"]
            memory = f"{says['memory_kb'] / 1024:.0f}" if says else "-"
            held, callers = (str(says.get(name, "-")) for name in ("held", "connections"))
            fleet.add_row(str(row["slot"]), row["state"], str(row["pid"]), held, callers, memory)
        return Group(classes, ups, fleet)


def _upstream_of(one: Try) -> str:
    if one.status != 200:
        return "no upstream"
    return one.body.decode("utf-8", "replace").partition('"upstream": "')[2].partition('"')[0]


def _quantiles(tries: Sequence[Try]) -> tuple[float, float]:
    """Median and 99th percentile of the served ones, in milliseconds."""
    took = sorted(one.took_s * 1000 for one in tries if one.status == 200)
    return quantile(took, 0.5), quantile(took, 0.99)
