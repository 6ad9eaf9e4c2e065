"""The pilot as a process: what is wanted, and the loops that bring it about.  Decides nothing.

Outbound   way.py      requests that begin on this machine: route, service, choice, another pilot
Inbound    entry.py    requests from pilots: gate, key, the upstream beside this one
Control    beats.py    the upstream's beats
lighthouse follow.py   the log of changes in; reports and claims out
pilots     watcher.py  signs of life, to and from the few others that watch this one
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import resource
import signal
from collections.abc import Callable, Iterable

import msgspec

from brackengate.http.body import ByteBudget
from brackengate.net.environment import Environment
from brackengate.net.node import Clock
from brackengate.net.server import Server
from brackengate.net.sockets import Address, SocketBudget
from brackengate.net.upstream import Pool
from brackengate.pilot.beats import Beats
from brackengate.pilot.entry import Entry
from brackengate.pilot.follow import Following
from brackengate.pilot.gate import Beat, Gate
from brackengate.pilot.leaving import LeavePlan
from brackengate.pilot.reachability import Reachability
from brackengate.pilot.table import Table
from brackengate.pilot.verdict import judge, own_judge
from brackengate.pilot.wake import Wake
from brackengate.pilot.watcher import Watcher
from brackengate.pilot.way import WayOut
from brackengate.signals import settings as files
from brackengate.signals.door import Readiness, listener
from brackengate.signals.settings import BadSettings, Settings, plain
from brackengate.signals.words import Instance, Report

log = logging.getLogger("brackengate.pilot")

CONNECT_S = 0.25
SILENT_MS = 500  # a pilot's machine that takes no bytes for so long is given up: a cut says nothing
IDLE_S = 9.0  # kept connections; an upstream's own limit comes first where it says so
REPORT_S = 0.25  # between two looks whether the core knows what this pilot knows
REPORT_WITHIN_S = 1.0
LOOK_OUT_S = 0.02  # between two looks whether a proxy that leaves still holds anything
BODIES = 16 << 20  # bytes: what all bodies in pieces hold together; memory at its peak has a price


class Pilot:
    def __init__(
        self, settings: Settings, read: Callable[[], Settings], ground: Environment | None = None
    ) -> None:
        """`read`: the settings as the file has them by now; BadSettings where it can't be used.  `ground`:
        what it stands on; by default the machine."""
        self.settings, self._read = settings, read
        ground = ground or Environment(asyncio.get_running_loop(), random.Random())
        loop, rng, bind = ground.loop, ground.rng, ground.bind
        self._loop = loop
        clock = self.clock = ground.clock or Clock()
        self.left: asyncio.Future[int] = loop.create_future()  # done with 0 once it has left in order
        self._leaving = False
        descriptors = min(
            settings.limits.file_limit - 250, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - 100
        )
        self._budget = SocketBudget(max(64, descriptors))
        inbound = plain(settings.listen.inbound, "Inbound")
        self._port = inbound[1]
        self.table = Table()
        wake, wire = Wake(), ground.network
        self.gate = Gate(
            settings.zone, settings.feedback, settings.bounds.drain, f"{rng.getrandbits(32):08x}"
        )
        bytes_ = ByteBudget(BODIES)
        self._gates = Pool(
            loop,
            self._budget,
            CONNECT_S,
            IDLE_S,
            bytes_,
            network=wire,
            classify=judge,
            settle_us=0,
            tcp_user_timeout_ms=SILENT_MS,
            stream_slow_responses=False,
        )
        self._own = Pool(
            loop,
            self._budget,
            CONNECT_S,
            IDLE_S,
            bytes_,
            network=wire,
            classify=own_judge,
            stream_slow_responses=False,
        )
        self.following = Following(
            settings.ip,
            settings.zone,
            settings.lighthouse_port,
            self._seeds,
            self.table,
            self._changed,
            clock.now,
            wake.about,
        )
        current_within = settings.bounds.apply_time // 2
        me = settings.ip, settings.internal_ports[0]
        self.reachability = Reachability(loop, self._address_of, self._cut_off)
        self.watcher = Watcher(me, clock.now, self.following.ask, self._standing, self.reachability.given_up)
        self.way = WayOut(
            loop,
            clock,
            self._budget,
            self.table,
            settings.plant,
            self._address_of,
            rng,
            (settings.bounds.retry_ratio, settings.bounds.retry_slack),
            wake,
            bytes_,
            wire,
            lambda: self.following.is_current(current_within),
        )
        self.following.on_current = self.way.unrouted.look
        self.entry = Entry(
            loop,
            clock,
            self._own,
            self.gate,
            settings.ip,
            plain(settings.application, "Application") if settings.application else inbound,
            settings.bounds.dedupe_window,
            self.following.ask,
            self._gates,
            self._address_of,
            f"{rng.getrandbits(48):012x}",
            wake,
        )
        listen = settings.listen
        self._clients = listener(
            loop, clock, [bind(plain(listen.outbound, "Outbound"))], self.way, self._budget, bytes_
        )
        self._gate_door = listener(loop, clock, [bind(inbound)], self.entry, self._budget, bytes_)
        readiness = Readiness(lambda: self.ready)
        self._others: list[Server] = [
            listener(loop, clock, [bind(plain(listen.readiness, "Readiness"))], readiness, self._budget),
            listener(
                loop,
                clock,
                [bind(plain(listen.control, "Control"))],
                Beats(self._beat, self._leave),
                self._budget,
            ),
        ]
        self._reporting = self._adopted = False

    @property
    def ready(self) -> bool:
        return self.table.known and not self._leaving

    def _address_of(self, machine: str) -> Address:
        return machine, self._port

    def reread(self) -> None:
        """The settings file has changed."""
        self._seeds()

    def _seeds(self) -> Iterable[str]:
        """As the file names them now: they may have changed without a signal."""
        try:
            self.settings = self._read()
        except BadSettings as error:
            log.warning("pilot: the settings stay as they are: %s", error)
        return [f"{host}:{port}" for host, port in self.settings.seeds]

    # --- life

    def start(self) -> None:
        self._loop.create_task(self.watcher.start()).add_done_callback(self._watches)
        self.following.start()
        for server in (self._clients, self._gate_door, *self._others):
            server.start()
        self._report()
        log.info("pilot: %s is up beside %s", self.settings.ip, self.settings.plant or "nobody")

    def _watches(self, begun: asyncio.Task[None]) -> None:
        """Without its port it would be taken for silent: it ends with that error."""
        if not begun.cancelled() and (error := begun.exception()) is not None and not self.left.done():
            self.left.set_exception(error)

    def stop(self) -> None:
        """Leave in order: clients and pilots are asked to go, what is held is answered, then the end."""
        if self._leaving:
            return
        self._leaving = True
        log.info("pilot: leaving, with %d requests held", self.way.held() + self.entry.held())
        self._clients.set_draining(True)
        now, longest = self.clock.now(), max((route.cutoff for route in self.table.routes()), default=0)
        plan = LeavePlan(now, self.settings.bounds.grace, longest)
        self.way.leave(plan)
        self._at(plan.leaves_list, self._leave_the_list)
        self._at(plan.gate_closes, self._close_gate)
        self._at(plan.clients_end, self._look_out, plan)

    def _at(self, when: int, do: Callable[..., None], *args: object) -> None:
        self._loop.call_later((when - self.clock.now()) / 1e6, do, *args)

    def _leave_the_list(self) -> None:
        """Callers hear that they are to look elsewhere before the gate closes."""
        self.gate.leaving = True
        self._reconcile()

    def _close_gate(self) -> None:
        """Other proxies' connections end with their next answer, and not before the news has reached them:
        a close that crosses a request leaves its caller without knowing whether it ran."""
        self.gate.closed = True
        self._gate_door.set_draining(True)

    def _look_out(self, plan: LeavePlan) -> None:
        held = self.way.held() + self.entry.held()
        if held and self.clock.now() < plan.ends_by:
            self._loop.call_later(LOOK_OUT_S, self._look_out, plan)
            return
        log.info("pilot: left, with %d requests held", held)
        self.following.close()
        self.watcher.close()
        self.reachability.close()
        if not self.left.done():
            self.left.set_result(0)

    # --- the upstream beside it

    def _beat(self, beat: Beat) -> None:
        before = self.gate.beat
        self.gate.heard(beat, self.clock.now())
        if before is not None and before.id != beat.id:
            self._own.close_idle(before.id)
        self._reconcile()

    def _leave(self, id_: str) -> None:
        self.gate.leaves(id_)
        self._own.close_idle(id_)
        self._reconcile()

    def _report(self) -> None:
        self._loop.call_later(REPORT_S, self._report)
        self._reconcile()

    def _reconcile(self) -> None:
        """Wanted: that the core's row of this machine says what the gate knows."""
        me, wanted = self.settings.ip, self.gate.report(self.clock.now())
        known = self.table.instances.get(me)
        if wanted is None:
            if (
                known is None
                or known.state == "gone"
                or (self.gate.beat is None and not self.gate.ended(known.id))
            ):
                return
            wanted = msgspec.structs.replace(known, state="gone")
        same = known is not None and _said(known) == _said(wanted)
        if same or self._reporting or not self.following.in_touch:
            return
        self._reporting = True
        self.following.ask(Report(me, msgspec.to_builtins(wanted)), self._reported, REPORT_WITHIN_S)

    def _reported(self, result: object) -> None:
        self._reporting = False

    # --- what is followed

    def _changed(self, kinds: set[str]) -> None:
        if self.table.known and not self._adopted:  # its own row may come in the last slice
            self._adopt()
        self.way.changed()
        if kinds & {"inst", "silent"}:
            doubted = {machine for machines in self.table.noticed.values() for machine in machines}
            self.watcher.know(self.table.pilots(), doubted)

    def _adopt(self) -> None:
        self._adopted = True
        known = self.table.instances.get(self.settings.ip)
        if known is not None and known.plant == self.settings.plant:
            self.gate.adopt(known, self.clock.now())

    def _standing(self, machine: str, up: bool) -> None:
        """Wanted: that nothing new goes to a machine which does not answer."""
        if up:
            self.reachability.answers(machine)
        self.way.standing(machine, up)

    def _cut_off(self, machine: str) -> None:
        """And that nothing waits for one which has not answered for long, nor on a connection."""
        self.way.given_up(machine)
        self._gates.reset_connections(machine)


def _said(instance: Instance) -> tuple[str, str, str]:
    """What of a report is news; the rest goes with it."""
    return instance.id, instance.state, instance.pilot


async def serve(settings: Settings, path: str) -> int:
    pilot, loop = Pilot(settings, lambda: files.load(path)), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, pilot.stop)
    loop.add_signal_handler(signal.SIGHUP, pilot.reread)
    pilot.start()
    gc.collect()
    gc.freeze()
    return await pilot.left
