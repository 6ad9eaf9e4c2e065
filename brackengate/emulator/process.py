"""A process in simulated time: what an asyncio loop, a clock and sockets are to the code that runs in it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any, cast

from brackengate.emulator.loop import Loop, Timer
from brackengate.emulator.network import End, Listener, Network, Socket
from brackengate.net.node import Clock
from brackengate.net.sockets import Address

EPOCH = 1_000_000_000_000  # what a clock that is right says at the beginning, in microseconds


class EmulatedClock(Clock):
    """A process's idea of Unix time; `off` from the true one since its start."""

    def __init__(self, loop: Loop, off: int = 0) -> None:
        self._loop, self._base = loop, EPOCH + off

    def now(self) -> int:
        return self._base + self._loop.now


class Process:
    """The loop as this process's code sees it: when it dies, nothing of it happens any more."""

    def __init__(self, loop: Loop, net: Network, zone: str, name: str = "") -> None:
        self._loop, self._net, self.zone, self.name = loop, net, zone, name
        self.alive = True
        self._ends: dict[End, None] = {}
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._listeners: list[Listener] = []
        self.connected: Callable[[End, Address], None] | None = None  # who looks on at new connections
        self.accepted: Callable[[End], None] | None = None
        self.closed: Callable[[End], None] | None = None

    def as_loop(self) -> asyncio.AbstractEventLoop:
        return cast(asyncio.AbstractEventLoop, self)

    def listener(self, address: Address) -> Listener:
        made = Listener(self._net, self, self.zone, address)
        self._listeners.append(made)
        return made

    def connect(self, address: Address, told: Callable[[End | None], None]) -> None:
        """For a model; `told` is not called any more once the process has died."""

        def stands(end: End | None) -> None:
            if self.alive:
                if end is not None:
                    self._ends[end] = None
                told(end)

        self._net.connect(self, self.zone, address, stands)

    def holds(self, end: End) -> None:
        """An end that has been accepted is this process's."""
        self._ends[end] = None

    def gone(self, end: End) -> None:
        self._ends.pop(end, None)
        if self.closed is not None:
            self.closed(end)

    def die(self) -> None:
        """At once, as by SIGKILL: the other ends of its connections break."""
        if not self.alive:
            return
        for listener in self._listeners:
            listener.close()
        self.alive = False
        ends, self._ends = list(self._ends), {}
        for end in ends:
            end.die()
        for task in list(self._tasks):
            task.cancel()

    # --- asyncio's side

    def time(self) -> float:
        return self._loop.time()

    def _guarded(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> Callable[[], None]:
        def run() -> None:
            if self.alive:
                callback(*args)

        return run

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: object = None) -> Timer:
        return self._loop.call_soon(self._guarded(callback, args))

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: object = None
    ) -> Timer:
        return self._loop.call_later(delay, self._guarded(callback, args))

    def create_future(self) -> asyncio.Future[Any]:
        return self._loop.create_future()

    def create_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self._loop.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._over)
        return task

    def _over(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self._loop.errors.append(f"{self.name}: {task.exception()!r}")

    def add_reader(self, number: int, callback: Callable[..., None], *args: Any) -> None:
        listener = self._numbered(number)
        if listener is not None:
            listener.readable = self._guarded(callback, args)
            self._loop.call_soon(listener.readable)

    def remove_reader(self, number: int) -> None:
        listener = self._numbered(number)
        if listener is not None:
            listener.readable = None

    def _numbered(self, number: int) -> Listener | None:
        return next((one for one in self._listeners if one.fileno() == number), None)

    async def sock_connect(self, sock: Socket, address: Address) -> None:
        stands: asyncio.Future[End | None] = self._loop.create_future()

        def told(end: End | None) -> None:
            if not stands.done():
                stands.set_result(end)
            elif end is not None:
                end.close()  # nobody waits for it any more

        self.connect(address, told)
        sock.end = await stands
        if sock.end is None:
            raise ConnectionRefusedError(111, "refused")
        if self.connected is not None:
            self.connected(sock.end, address)

    async def create_connection(
        self, factory: Callable[[], Any], host: Any = None, port: int = 0, *, sock: Socket | None = None
    ) -> tuple[End, Any]:
        assert sock is not None  # one that stands
        return self._adopt(factory, sock)

    async def connect_accepted_socket(self, factory: Callable[[], Any], sock: Socket) -> tuple[End, Any]:
        assert sock.end is not None
        self.holds(sock.end)
        if self.accepted is not None:
            self.accepted(sock.end)
        return self._adopt(factory, sock)

    def _adopt(self, factory: Callable[[], Any], sock: Socket) -> tuple[End, Any]:
        assert sock.end is not None
        protocol = factory()
        sock.end.adopt(protocol)
        return sock.end, protocol


class EmulatedWire:
    """What the pools of connections stand on."""

    def __init__(self, net: Network, clock: Clock) -> None:
        self._net, self._clock = net, clock

    def now(self) -> int:
        return self._clock.now()

    def socket(self, address: Address) -> socket.socket:
        return cast(socket.socket, Socket(self._net))
