"""The platform's program: what it stands on, its life, signals and operators' calls.  Decides nothing."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import random
import resource
import signal
import socket
import time
from collections.abc import Coroutine
from typing import Any

from brackengate.admin.listener import AdminListener
from brackengate.admin.protocol import AdminCommand, encode_metrics, encode_no, encode_yes
from brackengate.brain import Balancer
from brackengate.fleet import lifecycle
from brackengate.http.body import ByteBudget
from brackengate.net.discovery import Discovery
from brackengate.net.metrics import RequestMetrics
from brackengate.net.node import Clock, Node
from brackengate.net.server import DRAIN_ACCEPT_S, Server
from brackengate.net.sockets import SocketBudget, bind, inherited_listener
from brackengate.net.upstream import Pool
from brackengate.platform.config import BadConfig, Config, load_config
from brackengate.platform.siblings import Siblings, part, successor

log = logging.getLogger("brackengate")

DRAIN_EXTRA_S = 0.6  # SIGKILL comes 0.7 s after the longest deadline at the soonest
LOOK_S = 0.1  # between two looks at the processes beside this one


class CannotListen(Exception):
    """An address to listen on, or an inherited socket, cannot be had."""


class Watched(RequestMetrics):
    """The figures, and a word when it changes whether an upstream serves."""

    def __init__(self, program: Program) -> None:
        super().__init__()
        self._program = program

    def serving_changed(self, now: bool) -> None:
        self._program.post(lifecycle.Serving(now))


class Program:
    def __init__(self, config: Config) -> None:
        self._config, self._loop = config, asyncio.get_running_loop()
        self._began = time.monotonic_ns()
        self._left: asyncio.Future[int] = self._loop.create_future()
        self._tasks: set[asyncio.Task[None]] = set()
        self._siblings = self._meet()
        others = self._siblings.look() if self._siblings is not None else []
        self.life = lifecycle.Lifecycle(alone=not any(other.ready for other in others))
        descriptors = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        mine = part(descriptors, config.memory_mb, shared=self._siblings is not None)
        elsewhere = self._siblings.sockets_elsewhere if self._siblings is not None else lambda: 0
        self._budget = SocketBudget(mine.sockets, elsewhere)
        settings = config.settings
        connect_s, idle_s = settings.connect_timeout / 1e6, settings.idle_close / 1e6
        bytes_ = ByteBudget(mine.stream_bytes)
        self._pool = Pool(self._loop, self._budget, connect_s, idle_s, bytes_)
        self._module = Balancer(settings, config.seed)
        self._node = Node(self._loop, Clock(), settings, self._module, self._pool)
        self.figures = self._node.observer = Watched(self)
        rng = random.Random(config.seed ^ 0x5EED)
        self._discovery = self._node.watch = Discovery(
            self._node, config.discovery, settings.list_on_request, rng
        )
        self._server = Server(
            self._loop,
            self._node,
            self._budget,
            [self._listen()],
            mine.callers,
            ready=lambda: self.life.ready,
            byte_budget=bytes_,
        )
        self._admin = AdminListener(self._called)

    # --- what it stands on

    def _meet(self) -> Siblings | None:
        """The processes that accept from the same socket, where it is inherited.

        Without the folder in common there is no telling of them: then each is alone.
        """
        folder = os.environ.get("TMPDIR", "")
        if self._config.listen_fd is None or not folder:
            return None
        try:
            return Siblings(folder, self._began)
        except OSError as error:
            log.error("TMPDIR: cannot keep a file in %s: %s; another process is not seen", folder, error)
            return None

    def _listen(self) -> socket.socket:
        """The inherited socket; else its own, also where what was inherited is none."""
        config = self._config
        if config.listen_fd is not None:
            try:
                return inherited_listener(config.listen_fd)
            except OSError as error:
                log.error(
                    "RELAY_LISTEN_FD: descriptor %d: %s; the address is bound instead",
                    config.listen_fd,
                    error,
                )
        try:
            return bind(config.listen)
        except OSError as error:
            raise CannotListen(f"cannot listen on {config.listen[0]}:{config.listen[1]}: {error}") from None

    # --- life

    async def run(self) -> int:
        """Serve until told to leave; the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._hangup)
        admin = self._config.admin
        if admin is not None:
            try:
                await self._admin.start(bind(admin))
            except OSError as error:
                raise CannotListen(f"admin: cannot listen on {admin[0]}:{admin[1]}: {error}") from None
        self._discovery.start(self._config.known)
        self.post(lifecycle.Listening())
        self.post(lifecycle.Waited())  # nobody else is there to accept: callers are owed a word
        self._look()
        gc.collect()
        gc.freeze()
        try:
            return await self._left
        finally:
            self._discovery.close()
            self._admin.close()
            self._server.close()
            self._pool.close()
            if self._siblings is not None:
                self._siblings.close()

    def post(self, event: lifecycle.Event) -> None:
        for action in self.life.handle(event):
            match action:
                case lifecycle.Open():
                    port = self._start_server()
                    log.info("%s: serving on %s:%d", self._config.name, self._config.listen[0], port)
                case lifecycle.AskToGo(on):
                    self._server.set_draining(on)
                case lifecycle.Accept(on):
                    self._server.set_accepting(on)
                case lifecycle.Reload():
                    self.post(lifecycle.Reloaded(self._read_again()))
                case lifecycle.Drain(last_call):
                    self._spawn(self._drain(last_call))
                case lifecycle.Leave(_):  # what was left unanswered is in the log; the platform's code is 0
                    if not self._left.done():
                        self._left.set_result(0)
                case lifecycle.Tell(text):
                    log.info("%s: %s", self._config.name, text.rpartition("STATUS=")[2])

    def _start_server(self) -> int:
        try:
            return self._server.start()[0]
        except OSError as error:
            where = self._config.listen
            raise CannotListen(f"cannot listen on {where[0]}:{where[1]}: {error}") from None

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _stop(self) -> None:
        self._meet_others()  # whether another one is there says how it leaves
        self.post(lifecycle.StopAsked())

    def _look(self) -> None:
        if self._siblings is not None and not self._left.done():
            self._meet_others()
            self._loop.call_later(LOOK_S, self._look)

    def _meet_others(self) -> None:
        """Tell the processes beside this one how it is, and see how they are."""
        if self._siblings is not None:
            accepts = self.life.open and self.life.state is not lifecycle.State.DRAINING
            self._siblings.tell(accepts and self.life.ready, self._budget.in_use)
            self.post(lifecycle.Successor(successor(self._began, self._siblings.look())))

    async def _drain(self, last_call: bool) -> None:
        log.info("%s: leaving, with %d requests held", self._config.name, self._node.pending_count())
        longest = max((c.deadline for c in self._config.settings.classes), default=1_000_000) / 1e6
        await self._server.drain(longest + DRAIN_EXTRA_S, DRAIN_ACCEPT_S if last_call else 0.0)
        held = self._node.pending_count()
        log.info("%s: left, with %d requests held", self._config.name, held)
        self.post(lifecycle.Drained(held))

    # --- reload

    def _hangup(self) -> None:
        self.post(lifecycle.ReloadAsked(time.monotonic_ns() // 1000))

    def _read_again(self) -> str:
        """SIGHUP: read the file again and follow the address of discovery that it names.

        Guards against the signal's default, which would end the program with all that it holds, and against a
        file that is bad or half written: then what is in force stays.  The environment told the start only:
        here the file's word counts.  The rest of it needs a restart.
        """
        config = self._config
        environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
        try:
            told = load_config(environ)
        except BadConfig as error:
            log.error("%s: the configuration stays as it is: %s", config.name, error)
            return "configuration turned down"
        log.info("%s: configuration read again; discovery at %s:%d", config.name, *told.discovery)
        if (told.listen, told.sockets, told.settings) != (config.listen, config.sockets, config.settings):
            log.warning("%s: only discovery changes without a restart", config.name)
        self._discovery.change_address(told.discovery)
        return "configuration read again"

    # --- operators

    def _called(self, call: AdminCommand) -> bytes:
        match call:
            case AdminCommand.CHECK:
                return encode_yes() if self.life.ready else encode_no(f"not ready: {self.life.why_not}")
            case AdminCommand.VARS:
                listed, avoided = self._node.upstream_count(), self._module.avoided()
                return encode_metrics(self.figures, self._node.classes, listed, avoided)
            case AdminCommand.DRAIN_ON:
                self.post(lifecycle.DrainOn())
                return encode_yes() if self.life.asks_to_go else encode_no(self.life.why_not)
            case AdminCommand.DRAIN_OFF:
                self.post(lifecycle.DrainOff())
                leaving = self.life.state is lifecycle.State.DRAINING
                return encode_no(self.life.why_not) if leaving else encode_yes()
