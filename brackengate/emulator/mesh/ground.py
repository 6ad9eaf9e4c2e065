"""What a role stands on here: a process that can be frozen, and a network that cuts machine from machine."""

from __future__ import annotations

import asyncio
import random
import traceback
from collections import deque
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, cast

from brackengate.emulator.loop import MS, Loop, Timer
from brackengate.emulator.network import DATA, RESET, End, Listener, Network, Socket
from brackengate.emulator.process import EmulatedClock, EmulatedWire, Process
from brackengate.net.environment import Environment
from brackengate.net.sockets import READ_BUFFER, Address

NEVER = 1 << 60
LOST = 0.01  # of datagrams
HEADERS = 60  # bytes on a link with each piece that is sent
LATE, LATEST = 150, 4 * MS  # of timers: on average, and at the most


class Link:
    """A machine's link: bytes leave and come one after the other, each way on its own."""

    def __init__(self, mbps: float) -> None:
        self._us_a_byte = 8 / mbps
        self._out = self._in = 0.0  # until when it is busy

    def leaves(self, at: int, size: int) -> int:
        self._out = max(self._out, at) + (size + HEADERS) * self._us_a_byte
        return int(self._out)

    def comes(self, at: int, size: int) -> int:
        self._in = max(self._in, at) + (size + HEADERS) * self._us_a_byte
        return int(self._in)


class MachineNetwork(Network):
    """Places are machines, by address.  One without power says nothing, and nothing reaches it."""

    def __init__(self, loop: Loop, rng: random.Random, same: int, cross: int, jitter: float) -> None:
        super().__init__(loop, rng, same, cross, jitter)
        self.zones: dict[str, str] = {}  # of places
        self.hear: dict[Address, Callable[[bytes, Address], None]] = {}  # who takes datagrams
        self._links: dict[str, Link] = {}
        self._lots = random.Random(rng.getrandbits(64))
        self._off: dict[str, int] = {}  # places without power, since when
        self._since: dict[tuple[str, str], int] = {}  # cuts, since when

    def place(self, address: Address, zone: str) -> str:
        return address[0]

    def way(self, one: str, other: str) -> int:
        if one == other:
            return 20
        return super().way(self.zones[one], self.zones[other])

    def cut(self, one: str, other: str) -> bool:
        return (bool(self._off) and (one in self._off or other in self._off)) or super().cut(one, other)

    def set_bandwidth(self, place: str, mbps: float) -> None:
        """Of a machine's link, each way; 0: without bound."""
        if mbps:
            self._links[place] = Link(mbps)

    def _queues(self, one: str, other: str, size: int) -> int:
        """How much longer bytes take by what waits at both links before them."""
        if one == other or not self._links:
            return 0
        now = self.loop.now
        out, in_ = self._links.get(one), self._links.get(other)
        at = out.leaves(now, size) if out is not None else now
        return (in_.comes(at, size) if in_ is not None else at) - now

    def datagram(self, sender: Address, to: Address, data: bytes) -> None:
        """It comes or it does not; nobody is told."""
        if self.cut(sender[0], to[0]) or self._lots.random() < LOST:
            return
        self.loop.after(self.way(sender[0], to[0]), partial(self._comes, sender, to, data))

    def _comes(self, sender: Address, to: Address, data: bytes) -> None:
        hear = self.hear.get(to)
        if hear is not None and not self.cut(sender[0], to[0]):
            hear(data, sender)

    def set_cut(self, one: str, other: str, on: bool) -> None:
        before = super().cut(one, other)
        super().set_cut(one, other, on)
        if on and not before:
            self._since[one, other] = self.loop.now
        elif not super().cut(one, other):
            self._since.pop((one, other), None)

    def set_power(self, place: str, on: bool) -> None:
        """What a machine without power had sent and is still held up is lost; its ends break when it is
        back."""
        if not on:
            self._off.setdefault(place, self.loop.now)
        elif self._off.pop(place, None) is not None:
            for pair in [pair for pair in self._held if place in pair and not self.cut(*pair)]:
                for end, kind, data in self._held.pop(pair):
                    if kind != DATA or pair[0] != place:
                        self.carry(end, kind, data)

    def _unheard_since(self, pair: tuple[str, str]) -> int:
        """Since when nothing gets through; NEVER: something does."""
        since = min((self._off.get(place, NEVER) for place in pair), default=NEVER)
        return min(since, self._since.get(pair, NEVER))

    def carry(self, end: End, kind: int, data: bytes, more: int = 0) -> None:
        there, back = (end.zone, end.other.zone), (end.other.zone, end.zone)
        if end.patience and kind == DATA and (self.cut(*there) or self.cut(*back)):
            self.loop.after(end.patience, partial(self._unacknowledged, end, self.loop.now))
        super().carry(end, kind, data, more + self._queues(*there, len(data)))

    def _unacknowledged(self, end: End, sent: int) -> None:
        """Guards against a cut, as TCP_USER_TIMEOUT does: it says nothing."""
        there, back = (end.zone, end.other.zone), (end.other.zone, end.zone)
        if end.closed or min(self._unheard_since(there), self._unheard_since(back)) > sent:
            return
        held = self._held.get(there)
        if held is not None:
            self._held[there] = deque(one for one in held if one[0] is not end)
        if self.cut(*there):
            super().carry(end, RESET, b"")  # what it answers to a late word
        end.arrives(RESET, b"")


class _Enters:
    """A protocol of a process, as its connection sees it."""

    def __init__(self, process: RoleProcess, end: End, inner: Any) -> None:
        self._process, self._end, self._inner = process, end, inner
        self._buffered = hasattr(inner, "buffer_updated")

    def connection_made(self, end: End) -> None:
        self._inner.connection_made(end)

    def buffer_updated(self, count: int) -> None:
        self._process.enter(partial(self._feed, bytes(READ_BUFFER[:count])))

    def _feed(self, data: bytes) -> None:
        if self._end.closed and not self._end.over:
            return  # closed on this side, since it came
        if self._buffered:
            READ_BUFFER[: len(data)] = data
            self._inner.buffer_updated(len(data))
        else:
            self._inner.data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._process.enter(partial(self._inner.connection_lost, error))


class _Server:
    def __init__(self, listener: Listener) -> None:
        self._listener = listener

    def close(self) -> None:
        self._listener.close()


class _Datagrams:
    """A process's end for datagrams, as a transport."""

    def __init__(self, net: MachineNetwork, here: Address) -> None:
        self._net, self._here = net, here

    def sendto(self, data: bytes, addr: Address) -> None:
        self._net.datagram(self._here, addr, data)

    def close(self) -> None:
        self._net.hear.pop(self._here, None)


class RoleProcess(Process):
    """It is the running loop of what runs in it, so that coroutines find it as they do on a machine.

    Frozen, nothing of it happens; what was due meanwhile happens in order when it wakes.
    """

    def __init__(self, loop: Loop, net: Network, place: str, name: str, rng: random.Random) -> None:
        super().__init__(loop, net, place, name)
        self._rng = rng
        self._slept: deque[Callable[[], Any]] | None = None
        self._datagrams: list[_Datagrams] = []

    def enter(self, do: Callable[[], Any]) -> None:
        if not self.alive:
            return
        if self._slept is not None:
            self._slept.append(do)
            return
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self.as_loop())
        try:
            do()
        except Exception as error:  # as a loop does: it is logged, and the process goes on
            where = traceback.extract_tb(error.__traceback__)[-1]
            self._loop.errors.append(f"{self.name}: {error!r} at {where.name}, line {where.lineno}")
        finally:
            asyncio._set_running_loop(before)

    def pause(self) -> None:
        if self._slept is None:
            self._slept = deque()

    def resume(self) -> None:
        slept, self._slept = self._slept or deque(), None
        for do in slept:
            self.enter(do)

    def reset(self, chosen: Callable[[], bool] = lambda: True) -> None:
        """Break its connections, at both ends; only those that are chosen."""
        for end in [end for end in self._ends if chosen()]:
            end.over = True
            end.reset()

    def die(self) -> None:
        if not self.alive:
            return
        tasks, self._tasks = list(self._tasks), {}
        for end in self._datagrams:
            end.close()
        super().die()
        for task in tasks:  # here and now, not whenever the collector comes by
            coroutine = cast(Coroutine[Any, Any, Any], task.get_coro())
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            coroutine.close()

    # --- asyncio's side

    def _guarded(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> Callable[[], None]:
        return partial(self.enter, partial(callback, *args))

    def _set(self, when: int, callback: Callable[..., Any], args: tuple[Any, ...]) -> Timer:
        timer = Timer(when, partial(callback, *args) if args else callback)
        if when > self._loop.now:  # a timer is a little late, and now and then more
            when += int(min(LATEST, self._rng.expovariate(1 / LATE)))
        self._loop.at(when, partial(self.enter, timer))
        return timer

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: object = None) -> Timer:
        return self._set(self._loop.now, callback, args)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: object = None
    ) -> Timer:
        return self._set(self._loop.now + round(delay * 1e6), callback, args)

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any, context: object = None) -> Timer:
        return self._set(round(when * 1e6), callback, args)

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self.as_loop())

    def create_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.Task(work, loop=self.as_loop())
        self._tasks[task] = None
        task.add_done_callback(self._over)
        return task

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return False

    def get_debug(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self._loop.errors.append(f"{self.name}: {context.get('message')}: {context.get('exception')!r}")

    async def sock_connect(self, sock: Socket, address: Address) -> None:
        stands = self.create_future()

        def told(end: End | None) -> None:
            if not stands.done():
                stands.set_result(end)
            elif end is not None:
                end.close()  # nobody waits for it any more

        self.connect(address, lambda end: self.enter(partial(told, end)))
        sock.end = await stands
        if sock.end is None:
            raise ConnectionRefusedError(111, "refused")

    async def create_connection(
        self, factory: Callable[[], Any], host: Any = None, port: int = 0, *, sock: Socket | None = None
    ) -> tuple[End, Any]:
        if sock is None:
            sock = Socket(self._net)
            await self.sock_connect(sock, (host, port))
        return self._adopt(factory, sock)

    async def create_server(self, factory: Callable[[], Any], host: str, port: int) -> _Server:
        listener = self.listener((host, port))

        def comes(end: End) -> None:
            self.holds(end)
            self._adopt(factory, Socket(self._net, end))

        listener.taken = lambda end: self.enter(partial(comes, end))
        return _Server(listener)

    async def create_datagram_endpoint(
        self, factory: Callable[[], Any], here: Address
    ) -> tuple[_Datagrams, Any]:
        net = cast(MachineNetwork, self._net)
        end, protocol = _Datagrams(net, here), factory()
        if here in net.hear:
            raise OSError(98, "the address is taken")
        self._datagrams.append(end)
        net.hear[here] = lambda data, sender: self.enter(partial(protocol.datagram_received, data, sender))
        protocol.connection_made(end)
        return end, protocol

    def _adopt(self, factory: Callable[[], Any], sock: Socket) -> tuple[End, Any]:
        assert sock.end is not None
        protocol = factory()
        sock.end.adopt(_Enters(self, sock.end, protocol))
        return sock.end, protocol


def create_environment(
    process: RoleProcess, loop: Loop, net: Network, rng: random.Random, off: int
) -> Environment:
    """`off`: of the machine's time of day, in microseconds."""
    clock = EmulatedClock(loop, off)
    return Environment(
        process.as_loop(),
        rng,
        EmulatedWire(net, clock),
        clock,
        lambda: loop.now + MS,  # a steady clock is never 0
        cast(Any, process.listener),
    )
