"""Sends records to collectors: UDP, or TCP as RFC 7011, section 10.4, has it.  SCTP is not built.

Nothing here runs in a request's path.  Work is done in slices of at most a millisecond of the loop's time;
what a collector does not take waits in a bounded queue of its own; there the oldest go first, counted.
"""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

from brackengate.flow.cache import Cache
from brackengate.flow.records import Record, Talker

log = logging.getLogger(__name__)

TICK_S = 0.05
SLICE_S = 0.0008
BATCH = 24  # records that are encoded before the clock is looked at
LOOK = 100  # live flows, the same
BACKOFF_S, BACKOFF_MOST_S = 0.1, 5.0


class Encoder(Protocol):
    sequence: int
    talkers: bool  # whether they are exported

    def templates(self, now_s: int) -> list[bytes]: ...

    def records(self, records: list[Record | Talker], now_s: int) -> list[tuple[bytes, int]]: ...

    def statistics(
        self, now_s: int, messages: int, flows: int, octets: int, lost: tuple[int, int, int]
    ) -> bytes: ...


@dataclass(frozen=True, slots=True)
class Options:
    """Times in seconds."""

    queue: int = 10_000  # records that wait for one collector
    template_every: float = 30.0  # over UDP
    template_after: int = 500  # messages, over UDP
    statistics_every: float = 10.0
    spread: bool = False  # each record to one collector, by its flow; else to all


class Link:
    """One collector: its queue, its transport session and its counters."""

    def __init__(self, address: tuple[str, int], make: Callable[[], Encoder], options: Options) -> None:
        self.address, self._make, self.options = address, make, options
        self.encoder = make()
        self.queue: deque[Record | Talker] = deque()
        self.messages = self.flows = self.octets = self.refused = self.connects = 0
        self.lost = [0, 0, 0]  # records, reads and writes, octets
        self._templates_at = self._statistics_at = 0.0
        self._since_templates = 0
        self._unsent: deque[tuple[bytes, list[Record | Talker]]] = deque()

    def put(self, record: Record | Talker) -> None:
        if isinstance(record, Talker) and not self.encoder.talkers:
            return
        if len(self.queue) >= self.options.queue:
            self.lose(self.queue.popleft())
        self.queue.append(record)

    def lose(self, record: Record | Talker) -> None:
        self.lost[0] += 1
        if isinstance(record, Record):
            self.lost[1] += record.reads + record.writes
            self.lost[2] += record.octets_in + record.octets_out

    def send(self, now: float, until: float) -> None:
        """Encode and send while there is something, the transport takes it and it is before `until`."""
        raise NotImplementedError

    def close(self) -> None:
        raise NotImplementedError

    def _encode(self, now: float) -> list[tuple[bytes, list[Record | Talker]]]:
        """The next messages, each with the records that are lost with it."""
        told: list[tuple[bytes, list[Record | Talker]]] = []
        if now >= self._statistics_at:
            self._statistics_at = now + self.options.statistics_every
            lost = (self.lost[0], self.lost[1], self.lost[2])
            message = self.encoder.statistics(int(now), self.messages, self.flows, self.octets, lost)
            told.append((message, []))
        batch = [self.queue.popleft() for _ in range(min(BATCH, len(self.queue)))]
        position = 0
        for message, count in self.encoder.records(batch, int(now)):
            told.append((message, batch[position : position + count]))
            position += count
        return told

    def stats(self) -> dict[str, int]:
        return {
            "messages": self.messages,
            "flows": self.flows,
            "octets": self.octets,
            "waiting": len(self.queue),
            "lost": self.lost[0],
            "lost_octets": self.lost[2],
            "refused": self.refused,
            "connects": self.connects,
        }


class UdpLink(Link):
    """Datagrams.  Templates go first, again by time and count, and soon after the collector was not there."""

    def __init__(self, address: tuple[str, int], make: Callable[[], Encoder], options: Options) -> None:
        super().__init__(address, make, options)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        self._socket.connect(address)
        self.connects = 1

    def send(self, now: float, until: float) -> None:
        while time.perf_counter() < until:
            if now >= self._templates_at or self._since_templates >= self.options.template_after:
                for message in self.encoder.templates(int(now)):
                    if not self._put_out(message):
                        return
                self._templates_at = now + self.options.template_every
                self._since_templates = 0
            if not self._unsent:
                if not self.queue and now < self._statistics_at:
                    return
                self._unsent.extend(self._encode(now))
            while self._unsent:
                message, records = self._unsent[0]
                if not self._put_out(message):
                    return
                self._unsent.popleft()
                self.flows += len(records)
                self._since_templates += 1

    def _put_out(self, message: bytes) -> bool:
        """Whether it went, as far as this end can tell."""
        for _ in range(2):
            try:
                self._socket.send(message)
            except BlockingIOError:
                return False
            except ConnectionRefusedError:
                # An earlier datagram met nobody (ICMP); this one has not gone yet.  Who is there when one is
                # will not know the templates: they go again within a second.
                self.refused += 1
                self._templates_at = min(self._templates_at, time.time() + 1.0)
                continue
            except OSError as error:
                log.debug("collector %s:%d: %s", *self.address, error)
                return False
            self.messages += 1
            self.octets += len(message)
            return True
        return False

    def close(self) -> None:
        self._socket.close()


class TcpLink(Link, asyncio.Protocol):
    """A connection; templates go first on each, sequence numbers begin anew (RFC 7011, section 10.4)."""

    def __init__(self, address: tuple[str, int], make: Callable[[], Encoder], options: Options) -> None:
        super().__init__(address, make, options)
        self._transport: asyncio.Transport | None = None
        self._full = self._closed = False
        self._failures = 0
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            try:
                async with asyncio.timeout(BACKOFF_MOST_S):
                    await loop.create_connection(lambda: self, *self.address)
                return
            except OSError:
                self.refused += 1
                self._failures += 1
                wait = min(BACKOFF_MOST_S, BACKOFF_S * 2.0 ** min(self._failures, 10))
                await asyncio.sleep(wait * random.uniform(0.5, 1.0))  # not all exporters at once

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=64 << 10)
        sock = transport.get_extra_info("socket")
        if sock is not None:  # else the kernel would hold megabytes that nobody can count as lost
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 256 << 10)
        self.connects += 1
        self._failures, self._full = 0, False
        self.encoder = self._make()
        for message in self.encoder.templates(int(time.time())):
            self._write(message)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if not self._closed:
            self._task = asyncio.get_running_loop().create_task(self._connect())

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False

    def send(self, now: float, until: float) -> None:
        while not self._full and self._transport is not None and time.perf_counter() < until:
            if not self.queue and now < self._statistics_at:
                return
            for message, records in self._encode(now):
                self._write(message)
                self.flows += len(records)

    def _write(self, message: bytes) -> None:
        if self._transport is not None:
            self._transport.write(message)
            self.messages += 1
            self.octets += len(message)

    def close(self) -> None:
        self._closed = True
        self._task.cancel()
        if self._transport is not None:
            self._transport.close()


class Exporter:
    """Moves records from the cache to the collectors, in slices."""

    def __init__(
        self, cache: Cache, links: list[Link], options: Options, talkers_every: float = 10.0
    ) -> None:
        self.cache, self.links, self._options = cache, links, options
        self._talkers_every, self._talkers_at = talkers_every, 0.0
        self.worst_slice_us = self.slices = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def close(self) -> None:
        """Send what waits, as far as the collectors take it now."""
        if self._timer is not None:
            self._timer.cancel()
        self._work(time.time(), time.perf_counter() + 0.05)
        for link in self.links:
            link.close()

    def _tick(self) -> None:
        begun = time.perf_counter()
        more = self._work(time.time(), begun + SLICE_S)
        self.slices += 1
        self.worst_slice_us = max(self.worst_slice_us, int((time.perf_counter() - begun) * 1e6))
        wait = TICK_S / 10 if more else TICK_S  # others have their turn in between
        self._timer = asyncio.get_running_loop().call_later(wait, self._tick)

    def _work(self, now: float, until: float) -> bool:
        """Whether there is more to do."""
        self.cache.tick(int(now * 1000), LOOK)
        if now >= self._talkers_at:
            self._talkers_at = now + self._talkers_every
            for talker in self.cache.talkers():
                for link in self.links:
                    link.put(talker)
        waiting = self.cache.waiting
        while waiting and time.perf_counter() < until:
            for _ in range(min(BATCH, len(waiting))):
                record = waiting.popleft()
                if self._options.spread and self.links:
                    self.links[record.flow_id % len(self.links)].put(record)
                else:
                    for link in self.links:
                        link.put(record)
        for link in self.links:
            link.send(now, until)
        return bool(waiting) or any(link.queue for link in self.links)

    def stats(self) -> dict[str, object]:
        cache = self.cache
        return {
            "live": len(cache),
            "opened": cache.opened,
            "closed": cache.closed,
            "merged": cache.merged,
            "dropped": cache.dropped[0],
            "worst_slice_us": self.worst_slice_us,
            "collectors": {f"{link.address[0]}:{link.address[1]}": link.stats() for link in self.links},
            "talkers": [
                {"key": t.key, "requests": t.requests, "error": t.error, "tenant": t.is_tenant}
                for t in cache.talkers()
            ],
        }
