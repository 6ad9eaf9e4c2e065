"""The stream to a control service, on grpcio: bytes to the machine's events, its requests to bytes.

Decides nothing but when to try again.

Responses are decoded here in slices, so that ten thousand endpoints do not hold up the loop that serves.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import struct_pb2
from google.rpc import status_pb2

from brackengate.net.node import Clock
from brackengate.snapshot.model import Snapshot
from brackengate.xds.ads import Action, Ask, Break, Machine, Offer, Response
from brackengate.xds.resources import RowCache, translate
from brackengate.xds.translated import Kind, Translated

log = logging.getLogger(__name__)

SERVICE = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
WHOLE, DELTA = SERVICE + "StreamAggregatedResources", SERVICE + "DeltaAggregatedResources"
MAX_MESSAGE = 32 << 20  # of one response: some 200,000 endpoints
MAX_RESOURCES = 20_000  # of one response
WORKED_S = 1.0  # a stream that lasted this long worked: the next is begun without much of a wait
INVALID_ARGUMENT = 3  # google.rpc.Code
KINDS = {kind.value: kind for kind in Kind}


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in seconds."""

    servers: Sequence[str]
    node_id: str
    cluster: str = ""
    metadata: dict[str, str] = field(default_factory=dict)
    incremental: bool = False
    backoff: float = 0.2
    backoff_most: float = 10.0
    keepalive: float = 305.0


def wait_before(failures: int, terms: Terms, rng: random.Random) -> float:
    """Seconds before the next try: doubled with each failure, and anywhere up to that (full jitter).

    Guards a control service that comes back against a fleet that comes back to it in one moment.
    """
    return rng.uniform(0.0, min(terms.backoff_most, terms.backoff * 2.0 ** min(failures, 16)))


class Client:
    """Keeps a stream to the first control service that can be reached, in their order."""

    def __init__(
        self,
        terms: Terms,
        machine: Machine,
        clock: Clock,
        offer: Callable[[str, str, Snapshot, int], None],
        rng: random.Random,
    ) -> None:
        """`offer`: takes label, source, snapshot and when it was told."""
        self._terms, self.machine, self._clock, self._offer, self._rng = terms, machine, clock, offer, rng
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._alarm: asyncio.TimerHandle | None = None
        self._out: asyncio.Queue[Any] = asyncio.Queue()
        self._rows = RowCache()
        self._first = True  # of a stream: the node is named in its first request alone
        self.server = ""  # the one that is tried or talked to
        self._channel: grpc.aio.Channel | None = None
        self.why = "not tried yet"
        self._broken = ""
        self.counters = {"failures": 0, "unknown_types": 0, "bytes": 0}

    # --- life

    def start(self) -> None:
        self._task = self._loop.create_task(self._keep())

    async def close(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _keep(self) -> None:
        failures = place = 0
        while True:
            begun, server = self._loop.time(), self._terms.servers[place]
            heard = self.machine.counters["responses"]
            try:
                self.why = await self._stream(server)
            except Exception as error:  # whatever the library raises must not end the watch
                self.why = f"{server}: {type(error).__name__}: {error}"
                log.exception("control service %s", server)
            self.machine.closed()
            self.server = ""
            self.counters["failures"] += 1
            worked = self.machine.counters["responses"] > heard and self._loop.time() - begun >= WORKED_S
            failures = 0 if worked else failures + 1
            # Back to the first after one that worked; else the next in their order.
            place = 0 if worked else (place + 1) % len(self._terms.servers)
            wait = wait_before(failures, self._terms, self._rng)
            level = logging.WARNING if failures <= len(self._terms.servers) else logging.INFO
            log.log(level, "control service %s; again in %.2f s", self.why, wait)
            await asyncio.sleep(wait)

    async def _stream(self, server: str) -> str:
        """One stream to its end; why it ended."""
        pause = int(self._terms.keepalive * 1000)
        options = [
            ("grpc.keepalive_time_ms", pause),
            ("grpc.keepalive_timeout_ms", min(pause, 10_000)),
            ("grpc.keepalive_permit_without_calls", 0),
            ("grpc.http2.max_pings_without_data", 0),
            ("grpc.max_receive_message_length", MAX_MESSAGE),
            ("grpc.enable_retries", 0),
            ("grpc.use_local_subchannel_pool", 1),  # a try is a try, not the memory of an earlier one
        ]
        self._out, self._first, self._broken = asyncio.Queue(), True, ""
        delta = self._terms.incremental
        async with grpc.aio.insecure_channel(server, options) as channel:
            kind = discovery_pb2.DeltaDiscoveryResponse if delta else discovery_pb2.DiscoveryResponse
            method = channel.stream_stream(
                DELTA if delta else WHOLE,
                request_serializer=lambda message: message.SerializeToString(),
                response_deserializer=kind.FromString,
            )
            call = method(self._requests())
            self._channel = channel
            try:
                self._act(self.machine.opened(self._clock.now()))
                self.server = server
                async for told in call:
                    await self._take(told)
                    if self._broken:
                        return f"{server}: {self._broken}"
                return f"{server}: the stream ended"
            except grpc.aio.AioRpcError as error:
                return f"{server}: {error.code().name}: {error.details()}"
            finally:
                self._channel = None
                call.cancel()
                if self._alarm is not None:
                    self._alarm.cancel()
                    self._alarm = None

    async def _requests(self) -> AsyncIterator[Any]:
        queue = self._out
        while True:
            yield await queue.get()

    # --- what comes

    async def _take(self, told: Any) -> None:
        at = self._clock.now()
        kind = KINDS.get(told.type_url)
        if kind is None:
            self.counters["unknown_types"] += 1
            log.warning(
                "control service %s: a response of type %.200r, not asked for", self.server, told.type_url
            )
            return
        if len(told.resources) > MAX_RESOURCES:
            self._broken = f"a response with {len(told.resources)} resources; {MAX_RESOURCES} are allowed"
            return
        found: list[tuple[str, Translated]] = []
        for resource in told.resources:
            any_ = resource.resource if self._terms.incremental else resource
            self.counters["bytes"] += len(any_.value)
            last: Translated | None = None
            for last in translate(kind, any_.type_url, any_.value, self._rows):
                if last is None:
                    await asyncio.sleep(0)
            assert last is not None
            version = told.version_info if not self._terms.incremental else resource.version
            if self._terms.incremental and last.name != resource.name and not last.faults:
                last.fault(f"is called {resource.name!r} by its wrapping")
            found.append((version, last))
            if len(found) % 64 == 0:
                await asyncio.sleep(0)
        version = told.system_version_info if self._terms.incremental else told.version_info
        removed = tuple(told.removed_resources) if self._terms.incremental else ()
        response = Response(kind, version, told.nonce, tuple(found), removed, at)
        self._act(self.machine.response(self._clock.now(), response))

    def returned(self, reasons: tuple[str, ...]) -> None:
        """What was taken, and so acknowledged, was left again."""
        self._act(self.machine.returned(reasons))

    # --- what goes

    def _act(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Ask():
                    self._out.put_nowait(self._message(action))
                case Offer(label, snapshot, told_at):
                    self._offer(label, f"xds {self.server}", snapshot, told_at)
                case Break(why):
                    self._broken = why
        due = self.machine.due()
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        if due:
            wait = max(0.001, (due - self._clock.now()) / 1e6)
            self._alarm = self._loop.call_later(wait, self._tick)

    def _tick(self) -> None:
        self._alarm = None
        self._act(self.machine.tick(self._clock.now()))

    def _message(self, ask: Ask) -> Any:
        node = None
        if self._first:
            self._first = False
            fields = {k: struct_pb2.Value(string_value=v) for k, v in self._terms.metadata.items()}
            node = base_pb2.Node(
                id=self._terms.node_id,
                cluster=self._terms.cluster,
                metadata=struct_pb2.Struct(fields=fields),
                user_agent_name="brackengate",
            )
        error = status_pb2.Status(code=INVALID_ARGUMENT, message=ask.error) if ask.error else None
        if self._terms.incremental:
            return discovery_pb2.DeltaDiscoveryRequest(
                node=node,
                type_url=ask.kind.value,
                resource_names_subscribe=ask.subscribe,
                resource_names_unsubscribe=ask.unsubscribe,
                initial_resource_versions=dict(ask.initial),
                response_nonce=ask.nonce,
                error_detail=error,
            )
        return discovery_pb2.DiscoveryRequest(
            node=node,
            type_url=ask.kind.value,
            resource_names=ask.names,
            version_info=ask.version,
            response_nonce=ask.nonce,
            error_detail=error,
        )

    def connected(self) -> bool:
        """Whether the connection stands; not while a server is only tried, or accepts and says nothing."""
        return self._channel is not None and self._channel.get_state() is grpc.ChannelConnectivity.READY

    def status(self) -> dict[str, object]:
        connected = self.connected()
        return {
            "server": self.server if connected else "",
            "why": "" if connected else self.why,
            "rows_kept": len(self._rows),
            **self.counters,
            **self.machine.status(),
        }
