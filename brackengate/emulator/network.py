"""A network in simulated time: ways, cuts, losses, and connections that carry bytes in order.

What is sent into a cut, or lost, comes later, as TCP sends it again; nothing on a connection is ever lost, or
comes out of order, but for its end.
"""

from __future__ import annotations

import errno
import random
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from brackengate.emulator.loop import MS, Loop
from brackengate.net.sockets import READ_BUFFER, READ_BYTES, Address

RESEND = 200 * MS  # the first time-out of what was lost; doubled with each
RESENDS = 5
DATA, END, RESET = range(3)


class Owner(Protocol):
    """A process, as its connections see it."""

    alive: bool

    def gone(self, end: End) -> None:
        """This connection is over."""


class Network:
    def __init__(self, loop: Loop, rng: random.Random, same: int, cross: int, jitter: float) -> None:
        self.loop, self._rng = loop, rng
        self._same, self._cross, self._jitter = same, cross, jitter
        self.loss = 0.0  # of what is sent
        self.listeners: dict[Address, Listener] = {}
        self._cuts: dict[tuple[str, str], int] = {}
        self._held: dict[tuple[str, str], deque[tuple[End, int, bytes]]] = {}
        self._numbers = 1000

    def number(self) -> int:
        """As of a descriptor or a port."""
        self._numbers += 1
        return self._numbers

    def way(self, one: str, other: str) -> int:
        base = self._same if one == other else self._cross
        return max(1, int(base * self._rng.uniform(1 - self._jitter, 1 + self._jitter)))

    def cut(self, one: str, other: str) -> bool:
        """Whether nothing gets from the one zone to the other now."""
        return bool(self._cuts) and self._cuts.get((one, other), 0) > 0

    def set_cut(self, one: str, other: str, on: bool) -> None:
        pair = (one, other)
        self._cuts[pair] = self._cuts.get(pair, 0) + (1 if on else -1)
        if not self._cuts[pair]:
            del self._cuts[pair]
            for end, kind, data in self._held.pop(pair, deque()):
                # When TCP tries again, not when the way is free.
                self.carry(end, kind, data, self._rng.randrange(RESEND))

    def carry(self, end: End, kind: int, data: bytes, more: int = 0) -> None:
        """From this end to the other one."""
        pair = (end.zone, end.other.zone)
        if self.cut(*pair):
            self._held.setdefault(pair, deque()).append((end, kind, data))
            return
        if self.loss:
            for again in range(RESENDS):
                if self._rng.random() >= self.loss:
                    break
                more += RESEND << again
        end.due = max(end.due, self.loop.now + self.way(*pair) + more)
        self.loop.at(end.due, partial(end.other.arrives, kind, data))

    def place(self, address: Address, zone: str) -> str:
        """Where an address is, for one who asks from `zone`."""
        listener = self.listeners.get(address)
        return listener.zone if listener is not None else zone

    def connect(self, owner: Owner, zone: str, address: Address, told: Callable[[End | None], None]) -> None:
        """`told`: the near end, or None where it was refused.  Into a cut it hears nothing."""
        there = self.place(address, zone)
        if self.cut(zone, there) or self.cut(there, zone):
            return
        more = (
            RESEND * 5 if self.loss and self._rng.random() < 2 * self.loss else 0
        )  # a lost SYN waits a second

        def reaches() -> None:
            back = self.way(there, zone)
            now = self.listeners.get(address)
            if now is None or not now.up():
                self.loop.after(back, partial(told, None))
                return
            near, far = End(self, owner, zone), End(self, now.owner, now.zone)
            near.other, far.other = far, near
            far.name = near.peer = f"{address[0]}:{address[1]}"
            far.due = self.loop.now + back  # nothing overtakes the word that it stands
            now.comes(far)
            self.loop.after(back, partial(told, near))

        self.loop.after(self.way(zone, there) + more, reaches)


class End:
    """One end of a connection; the transport of a protocol, or of a model that sets `hears` and `ends`."""

    def __init__(self, net: Network, owner: Owner, zone: str) -> None:
        self._net, self.owner, self.zone = net, owner, zone
        self.other: End = self
        self.due = 0  # when what was sent last is at the other end
        self.closed = False  # on this side
        self.over = False  # nothing more comes from the other one
        self.name = self.peer = ""
        self.patience = 0  # for which bytes may be unacknowledged; 0: for ever
        self.hears: Callable[[bytes], None] | None = None
        self.ends: Callable[[bool], None] | None = None  # with whether it broke
        self.wrote: Callable[[End, bytes], None] | None = None  # who looks on
        self.read: Callable[[End, bytes], None] | None = None
        self.protocol: Any = None
        self._paused = False
        self._unread: deque[tuple[int, bytes]] = deque()

    # --- what arrives

    def arrives(self, kind: int, data: bytes) -> None:
        if self.closed or not self.owner.alive:
            return
        if self._paused or (self.protocol is None and self.hears is None):
            self._unread.append((kind, data))
        elif kind == DATA:
            self._feed(data)
        else:
            self._lost(kind == RESET)

    def _feed(self, data: bytes) -> None:
        if self.read is not None:
            self.read(self, data)
        if self.hears is not None:
            self.hears(data)
            return
        for start in range(0, len(data), READ_BYTES):
            piece = data[start : start + READ_BYTES]
            READ_BUFFER[: len(piece)] = piece
            self.protocol.buffer_updated(len(piece))
            if self.closed:
                return

    def _lost(self, broken: bool) -> None:
        self.over = True
        if not self.closed:
            self.closed = True
            self._end(broken)

    def _end(self, broken: bool) -> None:
        self.owner.gone(self)
        if self.ends is not None:
            self.ends(broken)
        elif self.protocol is not None:
            self.protocol.connection_lost(ConnectionResetError() if broken else None)

    def unread(self) -> bool | None:
        """Whether something lies here that was not read; None: its end does."""
        if self.over or self.closed:
            return None
        if self._unread:
            return True if self._unread[0][0] == DATA else None
        return False

    def adopt(self, protocol: Any) -> None:
        """From here on this is its transport."""
        self.protocol = protocol
        protocol.connection_made(self)
        self._catch_up()

    def listen(self, hears: Callable[[bytes], None], ends: Callable[[bool], None]) -> None:
        self.hears, self.ends = hears, ends
        self._catch_up()

    def _catch_up(self) -> None:
        while self._unread and not self._paused and not self.closed:
            self.arrives(*self._unread.popleft())

    # --- what is sent

    def write(self, data: bytes) -> None:
        if self.closed or not self.owner.alive:
            return
        if self.wrote is not None:
            self.wrote(self, bytes(data))
        self._net.carry(self, DATA, bytes(data))

    def close(self) -> None:
        self._finish(END)

    def abort(self) -> None:
        self._finish(END)

    def reset(self) -> None:
        """Break it, at both ends."""
        self._finish(RESET, broken=True)

    def _finish(self, kind: int, broken: bool = False) -> None:
        if self.closed or not self.owner.alive:
            return
        self.closed = True
        self._net.carry(self, kind, b"")
        self._net.loop.after(0, partial(self._ended_here, broken))

    def _ended_here(self, broken: bool) -> None:
        if self.owner.alive:
            self._end(broken)

    def die(self) -> None:
        """Its process has gone: the other end hears of it, this one does nothing more."""
        if not self.closed:
            self.closed = True
            self._net.carry(self, RESET, b"")

    # --- asyncio.Transport

    def is_closing(self) -> bool:
        return self.closed

    def write_eof(self) -> None:
        self.close()

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        if self._paused:
            self._paused = False
            self._net.loop.after(0, self._catch_up)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "socket":
            return self
        return (self.peer or self.zone, 0) if name == "peername" else default

    def setsockopt(self, level: int, option: int, value: int) -> None:
        if option == socket.TCP_USER_TIMEOUT:
            self.patience = value * MS


class Listener:
    """Where connections come in.  A model takes each at once; a process accepts them as a server does."""

    def __init__(self, net: Network, owner: Owner, zone: str, address: Address) -> None:
        self._net, self.owner, self.zone, self._address = net, owner, zone, address
        self._number = net.number()
        self._waits: deque[End] = deque()
        self.readable: Callable[[], None] | None = None
        self.taken: Callable[[End], None] | None = None
        net.listeners[address] = self

    def up(self) -> bool:
        return self.owner.alive and self._number >= 0

    def comes(self, end: End) -> None:
        if self.taken is not None:
            self.taken(end)
            return
        self._waits.append(end)
        if self.readable is not None:
            self._net.loop.after(0, self.readable)

    # --- a socket's

    def listen(self, backlog: int) -> None:
        pass

    def fileno(self) -> int:
        return self._number

    def getsockname(self) -> Address:
        return self._address

    def accept(self) -> tuple[Socket, Address]:
        if not self._waits:
            raise BlockingIOError(errno.EAGAIN, "nothing waits")
        end = self._waits.popleft()
        return Socket(self._net, end), (end.peer or end.zone, 0)

    def close(self) -> None:
        if self._number < 0:
            return
        self._number = -1
        if self._net.listeners.get(self._address) is self:
            del self._net.listeners[self._address]
        for end in self._waits:  # the kernel resets what nobody has accepted
            end.reset()
        self._waits.clear()


class Socket:
    """As much of a socket as `net/` uses."""

    def __init__(self, net: Network, end: End | None = None) -> None:
        self._net, self.end = net, end
        self._closed = False

    def recv(self, count: int, flags: int = 0) -> bytes:
        unread = self.end.unread() if self.end is not None else None
        if unread is False:
            raise BlockingIOError(errno.EAGAIN, "nothing is there")
        return b"?" if unread else b""

    def setsockopt(self, *args: object) -> None:
        pass

    def setblocking(self, on: bool) -> None:
        pass

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            if self.end is not None and self.end.protocol is None:
                self.end.close()
