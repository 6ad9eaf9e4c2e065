"""A mesh on this machine, shown while one of each of its parts is killed and comes back.

Three lighthouses and six pilots are real processes; upstreams and callers are stand-ins.  What is known of
the views is read off the lighthouses' log.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import shutil
import socket
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from brackengate.demo import CannotShow, quantile, until_signalled
from standins.mesh import Machine, Mesh, Upstream, call, spoil
from standins.mesh_callers import Callers, Try

LIGHTHOUSES, PILOTS = 3, 6
MEND_S = 60.0  # what has not come right by then will not
CALM_S = 1.0  # between two troubles, and while a part is away
VIEW = re.compile(r"lighthouse: view (\d+), from head to tail: (.+)")


@dataclass(slots=True)
class Trouble:
    """One part was taken away and came back."""

    what: str
    mended_s: float  # until each pilot that was left had a keyed request of its own served
    back_s: float  # from its start until it had its part again
    refused: int
    failed: int
    gap_s: float  # the longest time without an answer to any caller

    def __str__(self) -> str:
        return (
            f"{self.what}: mended after {self.mended_s * 1e3:.0f} ms, back {self.back_s:.1f} s after its"
            f" start; {self.refused} refused, {self.failed} broken off,"
            f" {self.gap_s * 1e3:.0f} ms without an answer"
        )


class MeshDemo:
    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._console = Console()
        self._troubles: list[Trouble] = []
        self._last: Sequence[Try] = ()  # of the last second
        self._ran: dict[str, int] = {}
        self._probes = 0
        self._mesh: Mesh
        self._callers: Callers

    async def run(self, once: bool, seconds: float | None) -> int:
        """`seconds` begin when all is up."""
        loop, stop = asyncio.get_running_loop(), until_signalled()
        folder = Path(tempfile.mkdtemp(prefix="brackengate-"))
        self._mesh = Mesh(folder, LIGHTHOUSES, PILOTS, _free_ports())
        self._callers = Callers(self._mesh, self._rate)
        tasks: list[asyncio.Task[None]] = []
        try:
            if not await self._up(stop):
                return 0
            if seconds is not None and not once:
                loop.call_later(seconds, stop.set)
            drill = loop.create_task(self._drill(once, stop))
            calling = loop.create_task(self._callers.run(stop))
            tasks += [drill, calling, loop.create_task(self._show(stop))]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():
                    task.result()
            if not once:
                return 0
            if stop.is_set():
                raise CannotShow("stopped before its end")
            stop.set()
            await calling
            return self._summary()
        except (CannotShow, OSError) as error:  # TimeoutError is one
            print(f"brackengate: {str(error) or 'no mend in time'}", file=sys.stderr)
            print(self._mesh.log.read_text(errors="replace")[-2000:], file=sys.stderr)
            return 1
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._mesh.stop()
            shutil.rmtree(folder, ignore_errors=True)

    async def _up(self, stop: asyncio.Event) -> bool:
        """False: told to stop before all was up."""
        starting = asyncio.ensure_future(self._mesh.start())
        stopping = asyncio.ensure_future(stop.wait())
        try:
            await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
            if starting.done():
                starting.result()
            return starting.done()
        except OSError as error:  # TimeoutError is one
            raise CannotShow(f"the mesh did not come up: {error}") from None
        finally:
            for one in (starting, stopping):
                one.cancel()
            await asyncio.gather(starting, stopping, return_exceptions=True)

    # --- troubles

    async def _drill(self, once: bool, stop: asyncio.Event) -> None:
        mesh = self._mesh
        n = 0
        while not stop.is_set():
            await asyncio.sleep(CALM_S)
            side, upstream = mesh.sides[n % PILOTS], mesh.upstreams[(n + 3) % PILOTS]
            n += 1
            await self._pilot(side, mesh.upstreams[mesh.sides.index(side)])
            await self._upstream(upstream)
            await self._head(damage=False)
            await self._head(damage=True)
            if once:
                return
            self._begin_anew()

    def _begin_anew(self) -> None:
        """Look at what was asked so far and forget it: this may go on for a day."""
        faults = self._callers.books.faults(self._mesh.upstreams)
        if faults:
            raise CannotShow("lost: " + "; ".join(faults))
        self._callers.books.forget()
        for upstream in self._mesh.upstreams:
            upstream.ran.clear()

    async def _pilot(self, side: Machine, upstream: Upstream) -> None:
        async def away() -> None:
            side.end()

        async def back() -> None:
            self._mesh.restart(side)
            while not await self._mesh.ready(side):
                await asyncio.sleep(0.02)
            await self._runs_again(upstream)

        await self._trouble(f"the pilot {side.ip} is killed", away, back, work=True)

    async def _upstream(self, upstream: Upstream) -> None:
        async def back() -> None:
            await upstream.start()
            await self._runs_again(upstream)

        what = f"the upstream beside {upstream.machine.ip} is killed"
        await self._trouble(what, upstream.stop, back, work=True)

    async def _runs_again(self, upstream: Upstream) -> None:
        ran = len(upstream.ran)
        while len(upstream.ran) == ran:
            await asyncio.sleep(0.02)

    async def _head(self, damage: bool) -> None:
        """What was acknowledged while it was away and before is there when it is back."""
        mesh = self._mesh
        epoch, chain = self._view()
        head = next(one for one in mesh.core if self._address(one) == chain[0])
        addr = self._address(head)
        route, version = f"later{epoch}", 0

        async def away() -> None:
            nonlocal version
            head.end()
            await self._until_view(lambda now, seats: now > epoch and addr not in seats)
            version = await mesh.amend([(route, f"/{route}/", "idempotent")])

        async def back() -> None:
            if damage:
                # Not the log's end: a kill leaves a commit there that was not told to anybody.
                spoil(head.folder / "data" / "lighthouse.db", b"SQLite format 3")
            mesh.restart(head)
            await self._until_view(lambda _, seats: addr in seats)
            status, _, body = await call(head.ip, mesh.ports.control, "POST", "/v1/rpc?call=config.read")
            if status != 200 or f'"r{version}"'.encode() not in body:
                raise CannotShow(f"{addr} does not read back what was acknowledged: {status}")

        found = mesh.log.read_bytes().count(b": damaged: ")
        what = f"the head {head.ip} is killed" + (", its file damaged" if damage else "")
        await self._trouble(what, away, back, work=False)
        if mesh.log.read_bytes().count(b": damaged: ") != found + damage:
            raise CannotShow(f"the damaged file of {addr} was not told in the log")

    async def _trouble(
        self, what: str, away: Callable[[], Awaitable[None]], back: Callable[[], Awaitable[None]], work: bool
    ) -> None:
        """`work`: it may have had requests at work whose answers go with it."""
        books, begun = self._callers.books, time.monotonic()
        if work:
            books.kills.append(begun)
        first = len(books.answered)
        async with asyncio.timeout(MEND_S):
            await away()
            await self._served_everywhere()
        mended = time.monotonic()
        await asyncio.sleep(CALM_S)
        started = time.monotonic()
        async with asyncio.timeout(MEND_S):
            await back()
            await self._served_everywhere()
        ended = time.monotonic()
        tries = books.answered[first:]
        moments = [begun, *(one.at for one in tries if one.status == 200), ended]
        gap = max(later - earlier for earlier, later in pairwise(moments))
        refused = sum(one.status in (409, 429, 503) for one in tries)
        failed = sum(one.status not in (200, 409, 429, 503) for one in tries)
        self._troubles.append(Trouble(what, mended - begun, ended - started, refused, failed, gap))
        if not self._console.is_terminal:
            print(self._troubles[-1], flush=True)
        await asyncio.sleep(CALM_S)

    async def _served_everywhere(self) -> None:
        """Each pilot that lives has a keyed request served."""

        async def served(side: Machine) -> None:
            while True:
                self._probes += 1
                name = f"probe-{self._probes}"
                with contextlib.suppress(OSError):
                    if (await self._mesh.request(side, "/bid/x", name, name))[0] == 200:
                        return
                await asyncio.sleep(0.01)

        await asyncio.gather(*(served(side) for side in self._mesh.sides if side.process is not None))

    # --- the view

    def _address(self, machine: Machine) -> str:
        return f"{machine.ip}:{self._mesh.ports.control}"

    def _view(self) -> tuple[int, list[str]]:
        """The newest view that any lighthouse has written to the log, and its seats from head to tail."""
        found = VIEW.findall(self._mesh.log.read_text(errors="replace"))
        return max(((int(epoch), seats.split(", ")) for epoch, seats in found), default=(0, []))

    async def _until_view(self, holds: Callable[[int, list[str]], bool]) -> None:
        while not holds(*self._view()):
            await asyncio.sleep(0.02)

    # --- shown

    async def _show(self, stop: asyncio.Event) -> None:
        books = self._callers.books
        live = Live(console=self._console, auto_refresh=False) if self._console.is_terminal else None
        with live or contextlib.nullcontext():
            while not stop.is_set():
                first = len(books.answered)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await stop.wait()
                self._last = books.answered[first:]
                ready = [await self._mesh.ready(side) for side in self._mesh.sides]
                if live is not None:
                    live.update(self._tables(ready), refresh=True)
                else:
                    print(self._line(ready), flush=True)

    def _line(self, ready: Sequence[bool]) -> str:
        epoch, chain = self._view()
        statuses = Counter(one.status or "broken off" for one in self._last)
        told = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items(), key=str))
        took = sorted(one.took_s * 1e3 for one in self._last if one.status == 200)
        return (
            f"view {epoch}, head {chain[0]}, tail {chain[-1]}; {sum(ready)} pilots ready;"
            f" {len(self._last)} answers/s  {told}"
            f"  p50 {quantile(took, 0.5):.0f} ms p95 {quantile(took, 0.95):.0f} ms"
        )

    def _tables(self, ready: Sequence[bool]) -> Group:
        mesh, (epoch, chain) = self._mesh, self._view()
        core = Table(title=f"lighthouses, view {epoch}", title_justify="left")
        for name in ("address", "zone", "process", "place in the chain"):
            core.add_column(name)
        for machine in mesh.core:
            addr = self._address(machine)
            place = chain.index(addr) if addr in chain else -1
            names = {-1: "none", 0: "head", len(chain) - 1: "tail"}
            up = "up" if machine.process is not None else "down"
            core.add_row(addr, machine.zone, up, names.get(place, str(place + 1)))
        sides = Table(title="pilots", title_justify="left")
        for name in ("address", "zone", "state", "upstream", "runs/s"):
            sides.add_column(name, justify="right" if name == "runs/s" else "left")
        for side, upstream, is_ready in zip(mesh.sides, mesh.upstreams, ready, strict=True):
            state = "down" if side.process is None else "ready" if is_ready else "not ready"
            ran = len(upstream.ran)
            before = self._ran.get(side.ip, ran)
            self._ran[side.ip] = ran
            ups = upstream.id if upstream.server is not None and upstream.server.is_serving() else "down"
            sides.add_row(side.ip, side.zone, state, ups, str(ran - before))
        requests = Table(title="requests, the last second", title_justify="left")
        for name in ("kind", "tries", "served", "refused", "broken off", "p50 ms", "p95 ms"):
            requests.add_column(name, justify="left" if name == "kind" else "right")
        for keyed, name in ((False, "read"), (True, "bid, with a key")):
            mine = [one for one in self._last if one.keyed == keyed]
            served = sorted(one.took_s * 1e3 for one in mine if one.status == 200)
            refused = sum(one.status in (409, 429, 503) for one in mine)
            counts = (len(mine), len(served), refused, len(mine) - len(served) - refused)
            times = (f"{quantile(served, share):.0f}" for share in (0.5, 0.95))
            requests.add_row(name, *map(str, counts), *times)
        troubles = Table(title="troubles", title_justify="left")
        for name in ("what", "mended ms", "back s", "refused", "broken off", "longest gap ms"):
            troubles.add_column(name, justify="left" if name == "what" else "right")
        for one in self._troubles[-8:]:
            mended, gap = f"{one.mended_s * 1e3:.0f}", f"{one.gap_s * 1e3:.0f}"
            troubles.add_row(one.what, mended, f"{one.back_s:.1f}", str(one.refused), str(one.failed), gap)
        return Group(core, sides, requests, troubles)

    def _summary(self) -> int:
        books, mesh = self._callers.books, self._mesh
        faults = books.faults(mesh.upstreams)
        served = sum(one.served for one in books.operations)
        took = sorted(one.took_s * 1e3 for one in books.answered if one.status == 200)
        if self._console.is_terminal:
            for trouble in self._troubles:
                print(trouble)
        print(
            f"{served} of {len(books.operations)} operations served, p50 {quantile(took, 0.5):.0f} ms,"
            f" p95 {quantile(took, 0.95):.0f} ms; {len(books.lost())} answers went with a killed part,"
            " and their keys ran once at most"
        )
        for fault in faults:
            print(f"lost: {fault}")
        print("served through, and nothing lost" if not faults else f"{len(faults)} lost")
        return 1 if faults else 0


def _free_ports() -> int:
    """The first of a row of ports that nobody has on any machine of the mesh."""
    for first in range(18300, 30000, 16):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + 9):
                    stack.enter_context(socket.create_server(("0.0.0.0", port)))
            except OSError:
                continue
            return first
    return 18300  # the start says what is wrong with it
