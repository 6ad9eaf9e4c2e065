"""One instance as a process: sockets held or inherited, node, source of upstreams, life cycle, signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import resource
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from brackengate.fleet import activation, control, lifecycle
from brackengate.fleet.configured import Configured
from brackengate.fleet.counters import Counters
from brackengate.fleet.notify import Notifier
from brackengate.fleet.sources import FileSource, StaticSource
from brackengate.fleet.stack import Stack
from brackengate.flow import setup as flow
from brackengate.flow.watch import Watch
from brackengate.installation import settings as derived
from brackengate.installation.reading import BadFile, load
from brackengate.installation.schema import File
from brackengate.net.discovery import Discovery, UpstreamListSink
from brackengate.net.environment import Environment
from brackengate.net.node import Clock, Node
from brackengate.net.server import DRAIN_ACCEPT_S
from brackengate.net.sockets import SocketBudget, bind, parse_address

log = logging.getLogger("brackengate")

RESERVED_DESCRIPTORS = 48  # the loop's own, the source, control, standard streams, and those being closed
OPEN_ANYWAY_S = 2.0
MIN_BEAT_S = 0.01


class CannotListen(Exception):
    """An address to listen on cannot be had."""


@dataclass(frozen=True, slots=True)
class Told:
    """What the supervisor says in the environment."""

    slot: int = 0
    generation: int = 0
    alone: bool = True  # nobody else accepts from its sockets now
    runtime_dir: str = ""  # none: run by hand, with no socket for control

    @staticmethod
    def read(environ: dict[str, str]) -> Told:
        def number(name: str) -> int:
            text = environ.get(name, "")
            return int(text) if text.isascii() and text.isdigit() else 0

        return Told(
            slot=number("BRACKENGATE_SLOT"),
            generation=number("BRACKENGATE_GENERATION"),
            alone=environ.get("BRACKENGATE_SUCCESSOR") != "1",
            runtime_dir=environ.get("BRACKENGATE_RUNTIME_DIR", ""),
        )


class Instance:
    def __init__(self, path: str, sets: Sequence[str], file: File, told: Told) -> None:
        self._path, self._sets, self._started_with, self._told = path, tuple(sets), file, told
        self._loop = asyncio.get_running_loop()
        self.life = lifecycle.Lifecycle(told.alone)
        self._notifier = Notifier()
        self._code: asyncio.Future[int] = self._loop.create_future()
        self._tasks: set[asyncio.Task[None]] = set()
        self._began = time.monotonic_ns() // 1000
        self._reloads_refused = 0
        descriptors = min(derived.share(file).sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self._budget = SocketBudget(max(16, descriptors - RESERVED_DESCRIPTORS))
        self.counters = Counters(lambda now: self._post(lifecycle.Serving(now)))
        self._names, self._listening = self._open_sockets(file)
        ground = Environment.for_this_machine()
        self._stack = stack = Stack(
            file, told.slot, Clock(), self._budget, self._listening, self.counters, ground
        )
        self.node, self._server, self._configured = stack.node, stack.server, stack.configured
        self._flow = flow.exporter(file, told.slot)
        if self._flow is not None:
            stack.watch_flows(Watch(self._flow.cache))
        self._control: control.ControlServer | None = None
        self._source = self._make_source(file, random.Random(ground.rng.getrandbits(64)))

    # --- what it stands on

    def _open_sockets(self, file: File) -> tuple[list[str], list[Any]]:
        """Those of the service manager, by name; else its own."""
        handed = activation.inherited()
        activation.forget()
        if handed:
            known = {listener.name for listener in file.listener}
            names = [name for name, _ in handed]
            if strange := [name for name in names if name not in known and name != "unknown"]:
                allowed = ", ".join(sorted(known))
                raise activation.BadActivation(
                    f"LISTEN_FDNAMES names {strange[0]!r}; the file has: {allowed}"
                )
            return names, [activation.listening(fd) for _, fd in handed]
        names, sockets = [], []
        for listener in file.listener:
            address = listener.address or listener.addresses[self._told.slot]
            try:
                sock = bind(parse_address(address))
                sock.listen(listener.backlog)
            except OSError as error:
                raise CannotListen(f"cannot listen on {address}: {error}") from None
            names.append(listener.name)
            sockets.append(sock)
        return names, sockets

    def _make_source(self, file: File, rng: random.Random) -> StaticSource | Discovery:
        up = file.upstreams
        target: UpstreamListSink = self.node if isinstance(self.node, Node) else self._of_versions().feed
        if up.source == "discovery":
            return Discovery(target, parse_address(up.discovery), up.on_request, rng)
        if up.source == "file":
            return FileSource(target, up.file, up.check_every / 1e6)
        return StaticSource(target)

    def _of_versions(self) -> Configured:
        assert self._configured is not None
        return self._configured

    def _start_source(self, file: File) -> None:
        if self._configured is not None:
            self._configured.start(file)
        if isinstance(self.node, Node):
            self.node.watch = self._source
        if file.upstreams.source == "none":
            return
        if isinstance(self._source, Discovery):
            self._source.start({"index": 0, "snapshot": True, "endpoints": []})
        elif isinstance(self._source, FileSource):
            self._source.start()
        else:
            self._source.put(file.upstreams.static)

    # --- life

    async def run(self) -> int:
        """Serve until told to leave; the exit code."""
        for number, event in (
            (signal.SIGTERM, lifecycle.StopAsked()),
            (signal.SIGINT, lifecycle.StopAsked()),
            (signal.SIGUSR2, lifecycle.StopAsked(replaced=True)),
        ):
            self._loop.add_signal_handler(number, self._post, event)
        self._loop.add_signal_handler(signal.SIGHUP, self._hangup)
        if self._told.runtime_dir:
            path = Path(self._told.runtime_dir) / f"i-{self._told.slot}-{os.getpid()}.sock"
            self._control = control.ControlServer(path, self._asked)
        self._beat()
        self._loop.call_later(OPEN_ANYWAY_S, self._post, lifecycle.Waited())
        self._post(lifecycle.Listening())
        self._start_source(self._started_with)
        if self._flow is not None:
            self._flow.start()
        gc.collect()
        gc.freeze()
        # Kept answers and flows are many and no cycles: passes over them cost a third of the throughput.
        gc.set_threshold(20_000, 50, 100)
        try:
            return await self._code
        finally:
            if self._control is not None:
                self._control.close()
            self._source.close()
            if self.life.open:
                self._server.close()
            await self._stack.close()
            if self._flow is not None:
                await asyncio.sleep(0)  # connections that were just closed tell of their end
                self._flow.close()
            self._notifier.close()

    def _post(self, event: lifecycle.Event) -> None:
        for action in self.life.handle(event):
            match action:
                case lifecycle.Tell(text):
                    self._notifier.tell(text)
                case lifecycle.Open():
                    backlog = max(listener.backlog for listener in self._started_with.listener)
                    ports = self._server.start(backlog)
                    pairs = zip(self._names, self._listening, ports, strict=True)
                    told = ", ".join(f"{n} on {s.getsockname()[0]}:{port}" for n, s, port in pairs)
                    log.info("instance %d: serving %s", self._told.slot, told)
                case lifecycle.AskToGo(on):
                    self._server.set_draining(on)
                case lifecycle.Accept(on):
                    self._server.set_accepting(on)
                case lifecycle.Reload():
                    self._spawn(self._reload())
                case lifecycle.Drain(last_call):
                    self._spawn(self._drain(last_call))
                case lifecycle.Leave(code):
                    if not self._code.done():
                        self._code.set_result(code)

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _beat(self) -> None:
        """A sign of life, from the loop that serves: where that hangs, none comes."""
        if self._notifier.watchdog_us:
            self._notifier.tell("WATCHDOG=1")
            self._loop.call_later(max(MIN_BEAT_S, self._notifier.watchdog_us / 2e6), self._beat)

    async def _drain(self, last_call: bool) -> None:
        log.info("instance %d: leaving, with %d requests held", self._told.slot, self._stack.held())
        within = (derived.longest(self._started_with) + derived.DRAIN_EXTRA_US) / 1e6
        if self.life.open:
            await self._server.drain(within, DRAIN_ACCEPT_S if last_call else 0.0)
        held = self._stack.held()
        log.info("instance %d: left, with %d requests held", self._told.slot, held)
        self._post(lifecycle.Drained(held))

    # --- reload

    def _hangup(self) -> None:
        self._post(lifecycle.ReloadAsked(time.monotonic_ns() // 1000))

    async def _reload(self) -> None:
        self._post(lifecycle.Reloaded(self._read_again()))

    def _read_again(self) -> str:
        """Apply what can be applied; what was done, in a line.  A bad file changes nothing."""
        try:
            file = load(self._path, self._sets)
        except BadFile as error:
            self._reloads_refused += 1
            log.error("instance %d: the file stays as it is: %s", self._told.slot, error)
            return f"file turned down: {error}"
        needs = derived.needs_restart(self._started_with, file)
        logging.getLogger().setLevel(file.log.level.upper())
        up = file.upstreams
        if self._configured is not None and "versions" not in needs:
            self._configured.read(file)
        if "upstreams.source" not in needs and up.source != "none":
            if isinstance(self._source, Discovery):
                self._source.change_address(parse_address(up.discovery))
            elif isinstance(self._source, FileSource):
                self._source.follow(up.file, up.check_every / 1e6)
            else:
                self._source.put(up.static)
        if needs:
            log.warning("instance %d: needs a restart to change: %s", self._told.slot, ", ".join(needs))
            return f"reloaded; needs a restart to change: {', '.join(needs)}"
        log.info("instance %d: file read again", self._told.slot)
        return "reloaded"

    # --- control

    async def _asked(self, request: control.Request, connection: control.Connection) -> None:
        match request:
            case control.Status():
                await connection.send(self.status())
            case control.Sockets():
                if self._server.draining:
                    await connection.send({"error": "its sockets are closed"})
                    return
                told = {"names": self._names, "addresses": self._addresses()}
                await connection.send(told, [sock.fileno() for sock in self._listening])
            case control.Rollback() | control.Release() | control.Difference() | control.Show():
                off = {"error": "versions.source is off: there is one list of upstreams and no version"}
                await connection.send(self._configured.ask(request) if self._configured is not None else off)
            case _:
                await connection.send({"error": "an instance answers status and sockets; ask control.sock"})

    def _addresses(self) -> list[str]:
        found = [sock.getsockname() for sock in self._listening if sock.fileno() >= 0]
        return [f"[{name[0]}]:{name[1]}" if ":" in name[0] else f"{name[0]}:{name[1]}" for name in found]

    def status(self) -> dict[str, Any]:
        with open("/proc/self/statm", encoding="ascii") as statm:
            pages = int(statm.read().split()[1])
        return {
            "slot": self._told.slot,
            "pid": os.getpid(),
            "generation": self._told.generation,
            "state": self.life.state.value,
            "started": self._began,
            "held": self._stack.held(),
            "connections": self._server.connections(),
            "sockets": self._budget.in_use,
            "upstreams": self.node.serving_count(),
            "memory_kb": pages * os.sysconf("SC_PAGE_SIZE") // 1024,
            "addresses": self._addresses(),
            "reloads_refused": self._reloads_refused,
            "lists_turned_down": getattr(self._source, "turned_down", 0),
            "notices_failed": self._notifier.failed,
            "refused": dict(self._server.refused),
            "fronts": {path: front.stats() for path, front in self._stack.graphql.items()},
            "repeats": self._stack.repeats_status(),
            "queues": self._stack.queues_status(),
            "flow": self._flow.stats() if self._flow is not None else {},
            "config": self._configured.status() if self._configured is not None else {},
            **self.counters.as_json(),
        }
