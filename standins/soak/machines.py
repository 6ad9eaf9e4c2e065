"""Carries a plan out on the processes of a mesh, and reports ends that nobody asked for."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Sequence
from pathlib import Path

from standins.mesh import Machine, Mesh
from standins.soak.links import Links
from standins.soak.plan import CORE_LINK_ACTIONS, PROXY_LINK_ACTIONS, Action, Disturbance
from standins.soak.records import Records, Trouble

WATCH_INTERVAL_S = 0.1
# A process that was told to stop ends within `Grace` of the mesh's settings; more for a busy machine.
GRACE_S, END_TIMEOUT_S = 3.0, 13.0
START_TIMEOUT_S = 20.0
# SIGHUP in the first 0.2 s of a process ends it (review/REPORT-2.md): known, and no part of the soak yet.
LEAST_AGE_FOR_RELOAD_S = 1.0
_LINK_ACTIONS = {*CORE_LINK_ACTIONS, *PROXY_LINK_ACTIONS}


class Machines:
    """The processes of a mesh under disturbances."""

    def __init__(self, mesh: Mesh, records: Records, links: Links | None) -> None:
        self._mesh, self._records, self._links = mesh, records, links
        self._expected_to_end: set[Machine] = set()
        self._reported: set[Machine] = set()
        self._started_at: dict[Machine, float] = {}
        self.restarts = 0

    def running(self, core_machine: int) -> bool:
        """Whether this control replica has a process."""
        return self._mesh.core[core_machine].process is not None

    async def carry_out(self, plan: Sequence[Disturbance]) -> None:
        """All of the plan, from now on; returns when all machines are whole again."""
        begin = time.monotonic()
        await asyncio.gather(*(self._disturb(one, begin) for one in plan))

    async def watch(self, stop: asyncio.Event) -> None:
        """Reports processes that end by themselves, each once."""
        while not stop.is_set():
            for machine in (*self._mesh.core, *self._mesh.sides):
                code = machine.process.poll() if machine.process is not None else None
                if code is not None and machine not in self._expected_to_end | self._reported:
                    self._reported.add(machine)
                    self._report(machine, f"ended by itself with {code}")
            await asyncio.sleep(WATCH_INTERVAL_S)

    def descriptors(self) -> dict[str, int]:
        """Open descriptors of each process, by the name of its machine's folder."""
        return {
            machine.folder.name: len(list(Path(f"/proc/{machine.process.pid}/fd").iterdir()))
            for machine in (*self._mesh.core, *self._mesh.sides)
            if machine.process is not None and machine.process.poll() is None
        }

    def _report(self, machine: Machine, text: str) -> None:
        self._records.process_faults.append(f"{machine.folder.name} {text}")

    async def _disturb(self, one: Disturbance, begin: float) -> None:
        await asyncio.sleep(max(0.0, begin + one.at - time.monotonic()))
        machine = (self._mesh.core if one.is_core else self._mesh.sides)[one.machine]
        if machine.process is None or machine in self._expected_to_end:
            return  # an earlier one takes longer than planned
        started = time.monotonic()
        if one.action is Action.FREEZE:
            await self._freeze(machine, one.lasts)
        elif one.action is Action.RELOAD:
            self._reload(machine)
        elif one.action in _LINK_ACTIONS:
            await self._disturb_link(machine, one)
        else:
            await self._restart(machine, one)
        planned = one.action in (Action.TERMINATE, Action.RELOAD)
        killed = one.action in (Action.KILL, Action.WIPE)
        ended = time.monotonic()
        self._records.troubles.append(Trouble(one.is_core, one.machine, started, ended, planned, killed))

    async def _freeze(self, machine: Machine, lasts: float) -> None:
        process = machine.process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        process.send_signal(signal.SIGCONT)

    def _reload(self, machine: Machine) -> None:
        assert machine.process is not None
        if time.monotonic() - self._started_at.get(machine, 0.0) >= LEAST_AGE_FOR_RELOAD_S:
            machine.process.send_signal(signal.SIGHUP)

    async def _disturb_link(self, machine: Machine, one: Disturbance) -> None:
        assert self._links is not None
        if one.action is Action.RESET:
            self._links.reset(machine)
            return
        if one.action is Action.CUT:
            fault = self._links.holding(machine, [other for other in self._mesh.core if other is not machine])
        elif one.action is Action.HOLD:
            fault = self._links.holding_requests(machine)
        else:
            fault = self._links.delaying(machine, one.delay_s)
        with fault:
            await asyncio.sleep(one.lasts)

    async def _restart(self, machine: Machine, one: Disturbance) -> None:
        self._expected_to_end.add(machine)
        await self._end(machine, one.action)
        await asyncio.sleep(one.lasts)
        self._mesh.restart(machine, wipe=one.action is Action.WIPE)
        self._expected_to_end.discard(machine)
        self._started_at[machine] = time.monotonic()
        self.restarts += 1
        await self._await_ready(machine)

    async def _end(self, machine: Machine, action: Action) -> None:
        process = machine.process
        assert process is not None
        number = signal.SIGTERM if action is Action.TERMINATE else signal.SIGKILL
        process.send_signal(number)
        try:
            code = await asyncio.to_thread(process.wait, END_TIMEOUT_S)
        except TimeoutError:
            code = None
        if action is Action.TERMINATE and code != 0:
            self._report(machine, f"was told to stop and ended with {code}")
        machine.process = None

    async def _await_ready(self, machine: Machine) -> None:
        """Until a proxy is ready again; a control replica counts as back when it is up."""
        if machine in self._mesh.core:
            return
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            if await self._mesh.ready(machine):
                return
            await asyncio.sleep(WATCH_INTERVAL_S)
        self._report(machine, f"is not ready {START_TIMEOUT_S:.0f} s after its start")
