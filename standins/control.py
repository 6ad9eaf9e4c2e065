"""A scripted control service: aggregated xDS streams on grpcio's server, sets of versions, faults on command.

    python -m standins.control --port 18000 --set examples/control.json

It speaks the protocol by its own reading of it and imports nothing of `brackengate`.  Tests use `Control` in
their own loop; what a client acknowledged or turned down stands in `answers`.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2, struct_pb2, wrappers_pb2

PREFIX = "type.googleapis.com/"
CDS = PREFIX + "envoy.config.cluster.v3.Cluster"
EDS = PREFIX + "envoy.config.endpoint.v3.ClusterLoadAssignment"
RDS = PREFIX + "envoy.config.route.v3.RouteConfiguration"
ORDER = (CDS, EDS, RDS)
SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"


# --- resources, made the short way


def cluster(name: str, static: Iterable[str] = (), **more: Any) -> cluster_pb2.Cluster:
    """`more`: max_connections, max_requests, connect_timeout_ms, type (a name), own (metadata)."""
    rows = list(static)
    made = cluster_pb2.Cluster(
        name=name, type=cluster_pb2.Cluster.STATIC if rows else cluster_pb2.Cluster.EDS
    )
    if rows:
        made.load_assignment.CopyFrom(assignment(name, {"": [endpoint(row) for row in rows]}))
    else:
        made.eds_cluster_config.eds_config.CopyFrom(
            config_source_pb2.ConfigSource(ads=config_source_pb2.AggregatedConfigSource())
        )
    caps = {key: more[key] for key in ("max_connections", "max_requests") if key in more}
    if caps:
        values = {key: wrappers_pb2.UInt32Value(value=value) for key, value in caps.items()}
        made.circuit_breakers.thresholds.append(circuit_breaker_pb2.CircuitBreakers.Thresholds(**values))
    if "connect_timeout_ms" in more:
        made.connect_timeout.FromMilliseconds(more["connect_timeout_ms"])
    if "type" in more:
        made.type = cluster_pb2.Cluster.DiscoveryType.Value(more["type"])
    if "own" in more:
        made.metadata.CopyFrom(metadata(more["own"]))
    return made


def metadata(own: Mapping[str, Any]) -> base_pb2.Metadata:
    made = struct_pb2.Struct()
    made.update(dict(own))
    return base_pb2.Metadata(filter_metadata={"brackengate": made})


def endpoint(
    address: str,
    name: str = "",
    health: str = "UNKNOWN",
    weight: int = 0,
    own: Mapping[str, Any] | None = None,
) -> endpoint_components_pb2.LbEndpoint:
    host, _, port = address.rpartition(":")
    sock = address_pb2.SocketAddress(address=host.strip("[]"), port_value=int(port))
    made = endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(
            address=address_pb2.Address(socket_address=sock), hostname=name
        ),
        health_status=health_check_pb2.HealthStatus.Value(health),
    )
    if weight:
        made.load_balancing_weight.value = weight
    if own:
        made.metadata.CopyFrom(metadata(own))
    return made


def assignment(
    name: str, zones: Mapping[str, Iterable[endpoint_components_pb2.LbEndpoint]]
) -> endpoint_pb2.ClusterLoadAssignment:
    return endpoint_pb2.ClusterLoadAssignment(
        cluster_name=name,
        endpoints=[
            endpoint_components_pb2.LocalityLbEndpoints(
                locality=base_pb2.Locality(zone=zone), lb_endpoints=list(rows)
            )
            for zone, rows in zones.items()
        ],
    )


def route(
    name: str,
    pool: str | Mapping[str, int],
    prefix: str = "/",
    headers: Mapping[str, str] | None = None,
    path: str = "",
) -> route_components_pb2.Route:
    match = (
        route_components_pb2.RouteMatch(path=path) if path else route_components_pb2.RouteMatch(prefix=prefix)
    )
    for key, value in (headers or {}).items():
        header = route_components_pb2.HeaderMatcher(name=key)
        header.string_match.exact = value
        match.headers.append(header)
    if isinstance(pool, str):
        action = route_components_pb2.RouteAction(cluster=pool)
    else:
        kind = route_components_pb2.WeightedCluster.ClusterWeight
        parts = [
            kind(name=one, weight=wrappers_pb2.UInt32Value(value=weight)) for one, weight in pool.items()
        ]
        action = route_components_pb2.RouteAction(
            weighted_clusters=route_components_pb2.WeightedCluster(clusters=parts)
        )
    return route_components_pb2.Route(name=name, match=match, route=action)


def routes(*rows: route_components_pb2.Route, name: str = "default") -> route_pb2.RouteConfiguration:
    host = route_components_pb2.VirtualHost(name="all", domains=["*"], routes=rows)
    return route_pb2.RouteConfiguration(name=name, virtual_hosts=[host])


@dataclass(slots=True)
class Set:
    """One version: resources of each type, by name."""

    version: str
    clusters: dict[str, Any] = field(default_factory=dict)
    endpoints: dict[str, Any] = field(default_factory=dict)
    routes: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def of(cls, version: str, pools: Mapping[str, Iterable[Any]], *rows: Any, **more: Any) -> Set:
        """Pools by name with their endpoints (an address, or one made by `endpoint`), and routes in order."""
        made = cls(version)
        for name, members in pools.items():
            made.clusters[name] = cluster(name, **more)
            listed = [endpoint(one) if isinstance(one, str) else one for one in members]
            made.endpoints[name] = assignment(name, {"a": listed})
        made.routes["default"] = routes(*rows)
        return made

    def type(self, url: str) -> dict[str, Any]:
        return {CDS: self.clusters, EDS: self.endpoints, RDS: self.routes}[url]


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client said to a response: taken, or turned down with why."""

    type: str
    version: str  # the response's
    nonce: str
    error: str
    node: str


class _Stream:
    """One client's stream: what it asked for, and what it was sent."""

    def __init__(self, delta: bool) -> None:
        self.delta = delta
        self.node = ""
        self.out: asyncio.Queue[Any] = asyncio.Queue()
        self.names: dict[str, set[str] | None] = {}  # by type; None: every one
        self.sent: dict[str, dict[str, bytes]] = {}  # delta: by type and name, what it has
        self.versions: dict[str, str] = {}  # by nonce
        self.last: dict[str, tuple[str, frozenset[str]]] = {}  # whole: version and names sent last
        self.resources: dict[str, dict[str, bytes]] = {}


class Control:
    """Serves one set to all streams; `push` brings the next.

    Faults: `silent` (takes requests and says nothing), `only` (the types that are served), `no_nonce`,
    `same_nonce` (all responses have one), `break_before` (the stream ends where these types would come).
    """

    def __init__(self) -> None:
        self.set = Set("0")
        self.silent = self.no_nonce = self.same_nonce = False
        self.only: set[str] = set(ORDER)
        self.break_before: set[str] = set()
        self.answers: list[Answer] = []
        self.streams: set[_Stream] = set()
        self.opened = 0
        self.nodes: list[str] = []
        self.requests: list[Any] = []
        self.new = asyncio.Condition()
        self._server: grpc.aio.Server | None = None
        self._nonce = 0
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> Control:
        options = [("grpc.so_reuseport", 0), ("grpc.max_receive_message_length", 16 << 20)]
        self._server = grpc.aio.server(options=options)
        handlers = {
            "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._whole, discovery_pb2.DiscoveryRequest.FromString, _bytes
            ),
            "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._delta, discovery_pb2.DeltaDiscoveryRequest.FromString, _bytes
            ),
        }
        self._server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler(SERVICE, handlers),))
        self.port = self._server.add_insecure_port(f"127.0.0.1:{port}")
        await self._server.start()
        return self

    async def stop(self) -> None:
        if self._server is not None:
            await self._server.stop(0)
            self._server = None

    # --- by script

    async def push(self, made: Set, *types: str) -> None:
        """The next version, to every stream; `types`: only these, in this order."""
        self.set = made
        for stream in list(self.streams):
            for url in types or ORDER:
                self._send(stream, url)

    async def reset(self) -> None:
        """Break every stream."""
        for stream in list(self.streams):
            stream.out.put_nowait(None)

    def raw(
        self, url: str, version: str, resources: Iterable[tuple[str, bytes]], removed: Iterable[str] = ()
    ) -> None:
        """Send every stream these bytes as resources, whatever they are."""
        for stream in list(self.streams):
            self._respond(stream, url, version, dict(resources), tuple(removed))

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait for something that a client's requests bring about."""
        async with self.new:
            await self.new.wait_for(holds)

    async def answered(self, version: str, url: str, count: int = 1) -> list[Answer]:
        """Wait until so many answers came to responses of this version and type; those."""

        def found() -> list[Answer]:
            return [a for a in self.answers if a.version == version and a.type == url]

        await self.until(lambda: len(found()) >= count)
        return found()

    # --- streams

    async def _whole(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        async for response in self._run(requests, _Stream(False)):
            yield response
        await context.abort(grpc.StatusCode.UNAVAILABLE, "broken by script")

    async def _delta(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        async for response in self._run(requests, _Stream(True)):
            yield response
        await context.abort(grpc.StatusCode.UNAVAILABLE, "broken by script")

    async def _run(self, requests: AsyncIterator[Any], stream: _Stream) -> AsyncIterator[Any]:
        self.streams.add(stream)
        self.opened += 1
        reader = asyncio.get_running_loop().create_task(self._read(requests, stream))
        try:
            while (response := await stream.out.get()) is not None:
                yield response
        finally:
            reader.cancel()
            self.streams.discard(stream)

    async def _read(self, requests: AsyncIterator[Any], stream: _Stream) -> None:
        try:
            async for request in requests:
                async with self.new:
                    self._asked(stream, request)
                    self.new.notify_all()
        finally:
            stream.out.put_nowait(None)

    def _asked(self, stream: _Stream, request: Any) -> None:
        self.requests.append(request)
        if request.node.id:
            stream.node = request.node.id
            self.nodes.append(request.node.id)
        url = request.type_url
        version = stream.versions.get(request.response_nonce, "")
        if request.response_nonce:
            error = request.error_detail.message
            self.answers.append(Answer(url, version, request.response_nonce, error, stream.node))
        if self.silent:
            return
        if stream.delta:
            self._asked_delta(stream, url, request)
            return
        names = set(request.resource_names) or None
        if url == EDS and names is None:
            names = set()
        first, changed = url not in stream.names, stream.names.get(url) != names
        stream.names[url] = names
        has = self.set.version if request.version_info == self.set.version and not changed else ""
        if first and request.version_info == self.set.version and not request.error_detail.message:
            stream.last[url] = (self.set.version, frozenset(self._wanted(stream, url)))
        elif (first or changed) and not has:
            self._send(stream, url, force=True)

    def _asked_delta(self, stream: _Stream, url: str, request: Any) -> None:
        first = url not in stream.names
        if first:
            stream.sent[url] = {
                name: self._bytes_if(url, name, version)
                for name, version in request.initial_resource_versions.items()
            }
            stream.names[url] = None if url == CDS else set()
        names = stream.names[url]
        if names is not None:
            names |= set(request.resource_names_subscribe)
            names -= set(request.resource_names_unsubscribe)
            for name in request.resource_names_unsubscribe:
                stream.sent[url].pop(name, None)
        if first or request.resource_names_subscribe:
            self._send(stream, url)

    def _bytes_if(self, url: str, name: str, version: str) -> bytes:
        """What a client that says it has this version has: today's bytes if it is today's, else others."""
        found = self.set.type(url).get(name)
        return _bytes(found) if found is not None and version == self.set.version else b"?"

    def _wanted(self, stream: _Stream, url: str) -> dict[str, bytes]:
        names = stream.names.get(url, set())
        return {n: _bytes(r) for n, r in self.set.type(url).items() if names is None or n in names}

    def _send(self, stream: _Stream, url: str, force: bool = False) -> None:
        if self.silent or url not in self.only or url not in stream.names:
            return
        if url in self.break_before:
            stream.out.put_nowait(None)
            return
        wanted = self._wanted(stream, url)
        if stream.delta:
            had = stream.sent[url]
            fresh = {name: raw for name, raw in wanted.items() if had.get(name) != raw}
            removed = tuple(name for name in had if name not in wanted)
            if fresh or removed:
                stream.sent[url] = dict(wanted)
                self._respond(stream, url, self.set.version, fresh, removed)
            return
        last = (self.set.version, frozenset(wanted))
        if not wanted and url != CDS:
            return
        if force or stream.last.get(url) != last:
            stream.last[url] = last
            self._respond(stream, url, self.set.version, wanted, ())

    def _respond(
        self,
        stream: _Stream,
        url: str,
        version: str,
        resources: Mapping[str, bytes],
        removed: tuple[str, ...],
    ) -> None:
        if not self.same_nonce:
            self._nonce += 1
        nonce = "" if self.no_nonce else f"n{self._nonce}"
        stream.versions[nonce] = version
        if stream.delta:
            rows = [
                discovery_pb2.Resource(
                    name=name, version=version, resource=any_pb2.Any(type_url=url, value=raw)
                )
                for name, raw in resources.items()
            ]
            response = discovery_pb2.DeltaDiscoveryResponse(
                system_version_info=version,
                resources=rows,
                type_url=url,
                removed_resources=removed,
                nonce=nonce,
            )
        else:
            anys = [any_pb2.Any(type_url=url, value=raw) for raw in resources.values()]
            response = discovery_pb2.DiscoveryResponse(
                version_info=version, resources=anys, type_url=url, nonce=nonce
            )
        stream.out.put_nowait(response)


def _bytes(message: Any) -> bytes:
    raw: bytes = message.SerializeToString(deterministic=True)
    return raw


def read_set(told: Mapping[str, Any]) -> Set:
    """From JSON: version; pools, by name their addresses; routes: name, pool or split, prefix, headers."""
    rows = [
        route(
            one["name"],
            one.get("split") or one["pool"],
            one.get("prefix", "/"),
            one.get("headers"),
            one.get("path", ""),
        )
        for one in told["routes"]
    ]
    return Set.of(str(told["version"]), told["pools"], *rows)


async def _main(args: argparse.Namespace) -> None:
    control = await Control().start(args.port)
    with open(args.set, encoding="utf-8") as source:
        control.set = read_set(json.load(source))
    print(f"control service on {control.address}, version {control.set.version}", flush=True)
    seen = 0
    while True:
        await control.until(lambda known=seen: len(control.answers) > known)  # type: ignore[misc]
        for answer in control.answers[seen:]:
            word = f"turned down: {answer.error}" if answer.error else "taken"
            print(f"{answer.node}: {answer.type.rpartition('.')[2]} {answer.version}: {word}", flush=True)
        seen = len(control.answers)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="A scripted control service.")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--set", required=True, help="A JSON file with the version to serve.")
    asyncio.run(_main(parser.parse_args()))
