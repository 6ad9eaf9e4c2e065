"""The balancer process: its sockets and resources, lifecycle, signals and operators' calls."""

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
from brackengate.balancer import Balancer
from brackengate.fleet import lifecycle
from brackengate.http.body import ByteBudget
from brackengate.net.discovery import Discovery
from brackengate.net.metrics import RequestMetrics
from brackengate.net.node import Clock, Node
from brackengate.net.server import DRAIN_ACCEPT_S, Server
from brackengate.net.sockets import SocketBudget, bind, inherited_listener
from brackengate.net.upstream import Pool
from brackengate.platform.config import BadConfig, Config, load_config
from brackengate.platform.siblings import Siblings, has_successor, process_limits

log = logging.getLogger("brackengate")

DRAIN_EXTRA_S = 0.6  # added to the longest deadline: SIGKILL follows no earlier than 0.7 s after it
SIBLING_SCAN_INTERVAL_S = 0.1


class CannotListen(Exception):
    """An address cannot be listened on, or an inherited socket cannot be used."""


class ObservedFigures(RequestMetrics):
    """The metrics; also notifies the program when the first upstream serves or the last one stops."""

    def __init__(self, program: Program) -> None:
        super().__init__()
        self._program = program

    def serving_changed(self, now: bool) -> None:
        self._program.post(lifecycle.Serving(now))


class Program:
    """One balancer process: creates its parts and follows `lifecycle.Lifecycle`."""

    def __init__(self, config: Config) -> None:
        self._config, self._loop = config, asyncio.get_running_loop()
        self._started_ns = time.monotonic_ns()
        self._exit_code: asyncio.Future[int] = self._loop.create_future()
        self._tasks: set[asyncio.Task[None]] = set()
        self._siblings = self._open_siblings()
        others = self._siblings.scan() if self._siblings is not None else []
        self.life = lifecycle.Lifecycle(alone=not any(other.ready for other in others))
        descriptors = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        limits = process_limits(descriptors, config.memory_mb, shared=self._siblings is not None)
        elsewhere = self._siblings.sockets_elsewhere if self._siblings is not None else lambda: 0
        self._budget = SocketBudget(limits.sockets, elsewhere)
        settings = config.settings
        connect_s, idle_s = settings.connect_timeout / 1e6, settings.idle_close / 1e6
        stream_budget = ByteBudget(limits.stream_bytes)
        self._pool = Pool(self._loop, self._budget, connect_s, idle_s, stream_budget)
        self._module = Balancer(settings, config.seed)
        self._node = Node(self._loop, Clock(), settings, self._module, self._pool)
        self.figures = self._node.observer = ObservedFigures(self)
        rng = random.Random(config.seed ^ 0x5EED)
        self._discovery = self._node.watch = Discovery(
            self._node, config.discovery, settings.list_on_request, rng
        )
        self._server = Server(
            self._loop,
            self._node,
            self._budget,
            [self._listen()],
            limits.max_clients,
            ready=lambda: self.life.ready,
            byte_budget=stream_budget,
        )
        self._admin = AdminListener(self._on_call)

    # --- resources

    def _open_siblings(self) -> Siblings | None:
        """The other processes that accept from the same inherited socket.

        None where the socket is not inherited, or without a common directory: then no other process is seen.
        """
        directory = os.environ.get("TMPDIR", "")
        if self._config.listen_fd is None or not directory:
            return None
        try:
            return Siblings(directory, self._started_ns)
        except OSError as error:
            log.error(
                "TMPDIR: cannot create a file in %s: %s; other processes are not seen", directory, error
            )
            return None

    def _listen(self) -> socket.socket:
        """The inherited socket, or a socket of its own if there is none or it is not a listening socket."""
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

    # --- lifecycle

    async def run(self) -> int:
        """Serve until stopped; the exit code."""
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
        self.post(lifecycle.Waited())  # no other instance accepts: clients need an answer
        self._scan_siblings()
        gc.collect()
        gc.freeze()
        try:
            return await self._exit_code
        finally:
            self._discovery.close()
            self._admin.close()
            self._server.close()
            self._pool.close()
            if self._siblings is not None:
                self._siblings.close()

    def post(self, event: lifecycle.Event) -> None:
        """Handle an event of the lifecycle and execute the actions that follow."""
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
                    self.post(lifecycle.Reloaded(self._reload()))
                case lifecycle.Drain(last_call):
                    self._spawn(self._drain(last_call))
                case lifecycle.Leave(_):  # unanswered requests are in the log; the platform expects 0
                    if not self._exit_code.done():
                        self._exit_code.set_result(0)
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
        self._update_siblings()  # how it drains depends on whether there is a successor
        self.post(lifecycle.StopAsked())

    def _scan_siblings(self) -> None:
        if self._siblings is not None and not self._exit_code.done():
            self._update_siblings()
            self._loop.call_later(SIBLING_SCAN_INTERVAL_S, self._scan_siblings)

    def _update_siblings(self) -> None:
        """Publish this process's state to the other processes and read theirs."""
        if self._siblings is not None:
            accepts = self.life.open and self.life.state is not lifecycle.State.DRAINING
            self._siblings.publish(accepts and self.life.ready, self._budget.in_use)
            self.post(lifecycle.Successor(has_successor(self._started_ns, self._siblings.scan())))

    async def _drain(self, last_call: bool) -> None:
        log.info("%s: draining, %d requests in flight", self._config.name, self._node.pending_count())
        longest = max((c.deadline for c in self._config.settings.classes), default=1_000_000) / 1e6
        await self._server.drain(longest + DRAIN_EXTRA_S, DRAIN_ACCEPT_S if last_call else 0.0)
        held = self._node.pending_count()
        log.info("%s: drained, %d requests in flight", self._config.name, held)
        self.post(lifecycle.Drained(held))

    # --- reload

    def _hangup(self) -> None:
        self.post(lifecycle.ReloadAsked(time.monotonic_ns() // 1000))

    def _reload(self) -> str:
        """SIGHUP: read the file again and use the discovery address in it.  Other settings need a restart.

        Without a handler the signal would end the process and all its requests.  An invalid or half written
        file changes nothing.  RELAY_DISCOVERY applies to the start only: here the file takes precedence.
        """
        config = self._config
        environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
        try:
            new = load_config(environ)
        except BadConfig as error:
            log.error("%s: the configuration stays as it is: %s", config.name, error)
            return "configuration turned down"
        log.info("%s: configuration reloaded; discovery at %s:%d", config.name, *new.discovery)
        if (new.listen, new.sockets, new.settings) != (config.listen, config.sockets, config.settings):
            log.warning("%s: only the discovery address changes without a restart", config.name)
        self._discovery.change_address(new.discovery)
        return "configuration read again"

    # --- operators

    def _on_call(self, call: AdminCommand) -> bytes:
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
