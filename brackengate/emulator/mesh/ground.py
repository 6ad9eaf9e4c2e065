"""The runtime environment of a simulated role: a process that can be paused and a network with partitions."""

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
DATAGRAM_LOSS = 0.01  # share of datagrams that are lost
HEADER_BYTES = 60  # overhead on a link of each piece of data that is sent
MEAN_TIMER_DELAY_US, MAX_TIMER_DELAY_US = 150, 4 * MS  # how late timers fire: mean and upper bound


class Link:
    """A machine's network link: full duplex, each direction sends its bytes one after the other."""

    def __init__(self, mbps: float) -> None:
        self._us_per_byte = 8 / mbps
        self._out_busy_until = self._in_busy_until = 0.0  # microseconds

    def queue_outgoing(self, at: int, size: int) -> int:
        """Queues `size` bytes at time `at`; returns when the last of them is sent, in microseconds."""
        self._out_busy_until = max(self._out_busy_until, at) + (size + HEADER_BYTES) * self._us_per_byte
        return int(self._out_busy_until)

    def queue_incoming(self, at: int, size: int) -> int:
        """Queues `size` received bytes at time `at`; returns when the last of them has arrived."""
        self._in_busy_until = max(self._in_busy_until, at) + (size + HEADER_BYTES) * self._us_per_byte
        return int(self._in_busy_until)


class MachineNetwork(Network):
    """A network between machines, which are identified by IP address and can lose power.

    A machine without power sends nothing, and nothing reaches it.
    """

    def __init__(self, loop: Loop, rng: random.Random, same: int, cross: int, jitter: float) -> None:
        super().__init__(loop, rng, same, cross, jitter)
        self.zones: dict[str, str] = {}  # zone of each machine, by IP address
        # Callbacks by local address.
        self.datagram_receivers: dict[Address, Callable[[bytes, Address], None]] = {}
        self._links: dict[str, Link] = {}
        self._loss_rng = random.Random(rng.getrandbits(64))
        self._unpowered_since: dict[str, int] = {}  # machines without power: since when
        # Partitioned pairs of machines, by direction: since when.
        self._cut_since: dict[tuple[str, str], int] = {}

    def place(self, address: Address, zone: str) -> str:
        """Returns the machine that an address belongs to: its IP address."""
        return address[0]

    def way(self, one: str, other: str) -> int:
        """Returns the latency from one machine to another, in microseconds; 20 on the same machine."""
        if one == other:
            return 20
        return super().way(self.zones[one], self.zones[other])

    def cut(self, one: str, other: str) -> bool:
        """Whether nothing gets from one machine to the other: by a partition or for lack of power."""
        return (
            bool(self._unpowered_since) and (one in self._unpowered_since or other in self._unpowered_since)
        ) or super().cut(one, other)

    def set_bandwidth(self, place: str, mbps: float) -> None:
        """Limits the bandwidth of a machine's link in each direction; 0: unlimited."""
        if mbps:
            self._links[place] = Link(mbps)

    def _queueing_delay(self, one: str, other: str, size: int) -> int:
        """Returns the delay that the queues of both links add to `size` bytes, in microseconds."""
        if one == other or not self._links:
            return 0
        now = self.loop.now
        sender, receiver = self._links.get(one), self._links.get(other)
        at = sender.queue_outgoing(now, size) if sender is not None else now
        return (receiver.queue_incoming(at, size) if receiver is not None else at) - now

    def datagram(self, sender: Address, to: Address, data: bytes) -> None:
        """Sends a datagram.  It may be lost, which neither side is notified of."""
        if self.cut(sender[0], to[0]) or self._loss_rng.random() < DATAGRAM_LOSS:
            return
        self.loop.after(self.way(sender[0], to[0]), partial(self._deliver_datagram, sender, to, data))

    def _deliver_datagram(self, sender: Address, to: Address, data: bytes) -> None:
        receiver = self.datagram_receivers.get(to)
        if receiver is not None and not self.cut(sender[0], to[0]):
            receiver(data, sender)

    def set_cut(self, one: str, other: str, on: bool) -> None:
        """Begins or ends a partition in one direction, and remembers since when it lasts."""
        before = super().cut(one, other)
        super().set_cut(one, other, on)
        if on and not before:
            self._cut_since[one, other] = self.loop.now
        elif not super().cut(one, other):
            self._cut_since.pop((one, other), None)

    def set_power(self, place: str, on: bool) -> None:
        """Switches a machine's power.

        Data that it had sent and that a partition still holds back is lost; its connections break when
        power is back.
        """
        if not on:
            self._unpowered_since.setdefault(place, self.loop.now)
        elif self._unpowered_since.pop(place, None) is not None:
            for pair in [pair for pair in self._held if place in pair and not self.cut(*pair)]:
                for end, kind, data in self._held.pop(pair):
                    if kind != DATA or pair[0] != place:
                        self.carry(end, kind, data)

    def _unreachable_since(self, pair: tuple[str, str]) -> int:
        """Returns since when nothing gets through in this direction; NEVER if it is reachable."""
        since = min((self._unpowered_since.get(place, NEVER) for place in pair), default=NEVER)
        return min(since, self._cut_since.get(pair, NEVER))

    def carry(self, end: End, kind: int, data: bytes, more: int = 0) -> None:
        """Transports data of a connection, `more` microseconds later than the latency of the network."""
        there, back = (end.zone, end.other.zone), (end.other.zone, end.zone)
        if end.patience and kind == DATA and (self.cut(*there) or self.cut(*back)):
            self.loop.after(end.patience, partial(self._check_acknowledged, end, self.loop.now))
        super().carry(end, kind, data, more + self._queueing_delay(*there, len(data)))

    def _check_acknowledged(self, end: End, sent: int) -> None:
        """Breaks a connection whose data was not acknowledged, as TCP_USER_TIMEOUT does: the peer is not
        notified."""
        there, back = (end.zone, end.other.zone), (end.other.zone, end.zone)
        if end.closed or min(self._unreachable_since(there), self._unreachable_since(back)) > sent:
            return
        held = self._held.get(there)
        if held is not None:
            self._held[there] = deque(item for item in held if item[0] is not end)
        if self.cut(*there):
            super().carry(end, RESET, b"")  # its answer to a segment that arrives late
        end.arrives(RESET, b"")


class _ProcessProtocol:
    """Wraps a protocol so that its callbacks run inside its process."""

    def __init__(self, process: RoleProcess, end: End, inner: Any) -> None:
        self._process, self._end, self._inner = process, end, inner
        self._buffered = hasattr(inner, "buffer_updated")

    def connection_made(self, end: End) -> None:
        self._inner.connection_made(end)

    def buffer_updated(self, count: int) -> None:
        self._process.enter(partial(self._feed, bytes(READ_BUFFER[:count])))

    def _feed(self, data: bytes) -> None:
        if self._end.closed and not self._end.over:
            return  # closed on this side after the data arrived
        if self._buffered:
            READ_BUFFER[: len(data)] = data
            self._inner.buffer_updated(len(data))
        else:
            self._inner.data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        self._process.enter(partial(self._inner.connection_lost, error))


class _Server:
    """A listening socket, as asyncio's server object."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener

    def close(self) -> None:
        self._listener.close()


class _DatagramTransport:
    """A datagram socket of a process, as an asyncio transport."""

    def __init__(self, net: MachineNetwork, here: Address) -> None:
        self._net, self._here = net, here

    def sendto(self, data: bytes, addr: Address) -> None:
        self._net.datagram(self._here, addr, data)

    def close(self) -> None:
        self._net.datagram_receivers.pop(self._here, None)


class RoleProcess(Process):
    """A process that is also the running asyncio loop of its coroutines, as on a real machine.

    While it is paused, no callback runs; those that became due run in order when it resumes.
    """

    def __init__(self, loop: Loop, net: Network, place: str, name: str, rng: random.Random) -> None:
        super().__init__(loop, net, place, name)
        self._rng = rng
        self._deferred: deque[Callable[[], Any]] | None = None
        self._datagrams: list[_DatagramTransport] = []

    def enter(self, do: Callable[[], Any]) -> None:
        """Runs a callback inside the process, or defers it while paused; an exception is recorded."""
        if not self.alive:
            return
        if self._deferred is not None:
            self._deferred.append(do)
            return
        before = asyncio._get_running_loop()
        asyncio._set_running_loop(self.as_loop())
        try:
            do()
        except Exception as error:  # like an asyncio loop: record it and continue
            where = traceback.extract_tb(error.__traceback__)[-1]
            self._loop.errors.append(f"{self.name}: {error!r} at {where.name}, line {where.lineno}")
        finally:
            asyncio._set_running_loop(before)

    def pause(self) -> None:
        """Stops running callbacks, as SIGSTOP does."""
        if self._deferred is None:
            self._deferred = deque()

    def resume(self) -> None:
        """Runs the callbacks that were deferred since the pause, and continues."""
        deferred, self._deferred = self._deferred or deque(), None
        for do in deferred:
            self.enter(do)

    def reset(self, should_reset: Callable[[], bool] = lambda: True) -> None:
        """Breaks its connections at both ends; only those for which `should_reset` returns true."""
        for end in [end for end in self._ends if should_reset()]:
            end.over = True
            end.reset()

    def die(self) -> None:
        """Kills the process: closes its sockets and discards its tasks."""
        if not self.alive:
            return
        tasks, self._tasks = list(self._tasks), {}
        for end in self._datagrams:
            end.close()
        super().die()
        for task in tasks:  # now, rather than when the garbage collector runs
            coroutine = cast(Coroutine[Any, Any, Any], task.get_coro())
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            coroutine.close()

    # --- the interface of an asyncio loop

    def _guarded(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> Callable[[], None]:
        return partial(self.enter, partial(callback, *args))

    def _set(self, when: int, callback: Callable[..., Any], args: tuple[Any, ...]) -> Timer:
        timer = Timer(when, partial(callback, *args) if args else callback)
        if when > self._loop.now:  # timers fire a little late, occasionally more
            when += int(min(MAX_TIMER_DELAY_US, self._rng.expovariate(1 / MEAN_TIMER_DELAY_US)))
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
        connected = self.create_future()

        def on_connected(end: End | None) -> None:
            if not connected.done():
                connected.set_result(end)
            elif end is not None:
                end.close()  # the caller no longer waits for it

        self.connect(address, lambda end: self.enter(partial(on_connected, end)))
        sock.end = await connected
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

        def accept(end: End) -> None:
            self.holds(end)
            self._adopt(factory, Socket(self._net, end))

        listener.taken = lambda end: self.enter(partial(accept, end))
        return _Server(listener)

    async def create_datagram_endpoint(
        self, factory: Callable[[], Any], here: Address
    ) -> tuple[_DatagramTransport, Any]:
        net = cast(MachineNetwork, self._net)
        end, protocol = _DatagramTransport(net, here), factory()
        if here in net.datagram_receivers:
            raise OSError(98, "the address is taken")
        self._datagrams.append(end)
        net.datagram_receivers[here] = lambda data, sender: self.enter(
            partial(protocol.datagram_received, data, sender)
        )
        protocol.connection_made(end)
        return end, protocol

    def _adopt(self, factory: Callable[[], Any], sock: Socket) -> tuple[End, Any]:
        assert sock.end is not None
        protocol = factory()
        sock.end.adopt(_ProcessProtocol(self, sock.end, protocol))
        return sock.end, protocol


def create_environment(
    process: RoleProcess, loop: Loop, net: Network, rng: random.Random, clock_offset: int
) -> Environment:
    """Returns the clock, sockets and random numbers of a process.

    `clock_offset`: error of the machine's time of day, in microseconds.
    """
    clock = EmulatedClock(loop, clock_offset)
    return Environment(
        process.as_loop(),
        rng,
        EmulatedWire(net, clock),
        clock,
        lambda: loop.now + MS,  # the monotonic clock never reads 0
        cast(Any, process.listener),
    )
