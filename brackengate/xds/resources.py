"""From xDS resources (protobuf) to routes and pools.  Pure.

`TABLE` says of each field whether it is used, turned down or ignored; docs/xds.md shows it.  What would
change where a request goes or what it carries, and is not offered here, is turned down: a control service
that asks for TLS and gets plain bytes would be worse off than with an error.  What only tunes what the
decision module decides itself is ignored.

Source: envoy.config.cluster.v3, endpoint.v3 and route.v3, as packaged in xds-protos.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from google.protobuf.message import DecodeError

from brackengate.installation.schema import HeaderMatch, Pool, Route, Upstream
from brackengate.installation.units import Duration
from brackengate.xds.translated import Cluster, Kind, Translated

Rows = dict[tuple[str, bytes], Upstream]  # by zone and an endpoint's bytes
OWN = "brackengate"  # the key of this program's own words in a resource's metadata
SLICE = 250  # endpoints translated before others have a turn
MOST_ENDPOINTS = 50_000
MOST_CLUSTERS = 1000  # whose rows are kept
NAME_PATTERN = re.compile(r"[!-~]{1,128}")  # of routes and upstreams, as in the installation file
NAME_RULE = "a name has 1 to 128 visible ASCII characters"

TABLE: tuple[tuple[str, str, str], ...] = (
    ("Cluster.name", "used", "the pool's name"),
    ("Cluster.type EDS, STATIC", "used", "STATIC takes load_assignment"),
    ("Cluster.type STRICT_DNS, LOGICAL_DNS, ORIGINAL_DST; cluster_type", "turned down", "no name look-ups"),
    ("Cluster.eds_cluster_config.service_name", "used", "the name asked for by EDS; else the cluster's"),
    ("Cluster.eds_cluster_config.eds_config", "turned down", "unless ads or self, or not set"),
    ("Cluster.connect_timeout", "used", "pool.connect_timeout"),
    ("Cluster.circuit_breakers.thresholds DEFAULT max_connections", "used", "pool.max_connections"),
    ("Cluster.circuit_breakers.thresholds DEFAULT max_requests", "used", "pool.max_requests"),
    ("Cluster.circuit_breakers, the rest", "ignored", "retries and waiting are the decision module's"),
    ("Cluster.common_http_protocol_options.idle_timeout", "used", "pool.idle_close"),
    ("Cluster.transport_socket, transport_socket_matches", "turned down", "upstreams speak plain HTTP/1.1"),
    ("Cluster.http2_protocol_options, typed_extension_protocol_options", "turned down", "the same"),
    ("Cluster.upstream_bind_config", "turned down", ""),
    ("Cluster.lb_policy, outlier_detection, health_checks, ...", "ignored", "the decision module's"),
    ('Cluster.metadata "brackengate"', "used", "max_attempts, cold_share, cold_time_ms"),
    ("ClusterLoadAssignment.cluster_name", "used", ""),
    ("ClusterLoadAssignment.endpoints.locality", "used", "zone, else sub_zone, else region"),
    ("ClusterLoadAssignment.endpoints.priority", "turned down", "above 0: there are no failover levels"),
    ("ClusterLoadAssignment.endpoints.load_balancing_weight", "ignored", "upstreams have weights, not zones"),
    ("ClusterLoadAssignment.endpoints.leds_cluster_locality_config", "turned down", ""),
    ("ClusterLoadAssignment.policy, named_endpoints", "ignored", ""),
    ("LbEndpoint.endpoint.address.socket_address", "used", "TCP, numeric, with port_value"),
    ("LbEndpoint.endpoint.address, other forms; additional_addresses", "turned down", ""),
    ("LbEndpoint.endpoint_name", "turned down", "a reference to named_endpoints"),
    ("LbEndpoint.endpoint.hostname", "used", "the upstream's name; else host:port"),
    ("LbEndpoint.health_status UNKNOWN, HEALTHY, DEGRADED", "used", "serving"),
    ("LbEndpoint.health_status DRAINING, UNHEALTHY, TIMEOUT", "used", "draining: nothing new"),
    ("LbEndpoint.load_balancing_weight", "used", "the upstream's weight"),
    ('LbEndpoint.metadata "brackengate"', "used", "kind, cell, since_ms"),
    ("RouteConfiguration.name", "used", ""),
    ("VirtualHost.domains", "used", "Route.host; exact, *.suffix, prefix.*, *"),
    ("VirtualHost.require_tls", "turned down", ""),
    ("Route.match prefix, path", "used", ""),
    ("Route.match safe_regex, path_separated_prefix, path_match_policy, connect_matcher", "turned down", ""),
    ("Route.match case_sensitive = false, query_parameters, grpc, ...", "turned down", ""),
    ("Route.match.headers exact, prefix, present, string_match, invert", "used", ":method and :path too"),
    ("Route.match.headers X-Lane, X-Org, X-GraphQL-Operation, exact", "used", "class, tenant, operation"),
    ("Route.match.headers, other forms", "turned down", ""),
    ("Route.route.cluster, weighted_clusters", "used", "pool, split"),
    ("Route.route.cluster_header, plugins, rewrites, redirect, ...", "turned down", ""),
    ("Route.route.hash_policy", "used", "header X-Org: tenant; X-Entity: entity; else client"),
    (
        "Route.route.timeout, retry_policy, hedge_policy, max_stream_duration",
        "ignored",
        "deadlines are callers'",
    ),
    ("Route.direct_response", "used", "status 404: no pool; others are turned down"),
    ("request_headers_to_add and the like", "turned down", "requests go on as they came"),
)


def translate(kind: Kind, type_url: str, raw: bytes, rows: RowCache) -> Iterator[Translated | None]:
    """One resource's value; None each time that others should have a turn, and the result last.

    Never raises on what a control service sent: it is told as faults.
    """
    told = Translated("")
    if type_url != kind.value:
        told.fault(f"is of type {type_url!r}, not {kind.value!r}")
        yield told
        return
    try:
        if kind is Kind.CLUSTER:
            _cluster(cluster_pb2.Cluster.FromString(raw), told, rows)
        elif kind is Kind.ROUTES:
            _routes(route_pb2.RouteConfiguration.FromString(raw), told)
        else:
            yield from _endpoints(endpoint_pb2.ClusterLoadAssignment.FromString(raw), told, rows)
    except DecodeError as error:
        told.fault(f"can't be decoded: {error}")
    except (msgspec.ValidationError, ValueError, OverflowError) as error:
        told.fault(str(error))
    if not told.name:
        told.fault("has no name")
    if told.faults:
        told.value = None
    yield told


class RowCache:
    """Each cluster's endpoints of the last time, by their bytes: of those sent again most are the same.

    The same bytes give the same object, so what compares lists sees at once what has not changed.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Rows] = {}

    def of(self, cluster: str) -> Rows:
        return self._rows.get(cluster, {})

    def keep(self, cluster: str, rows: Rows) -> None:
        self._rows.pop(cluster, None)
        self._rows[cluster] = rows
        if len(self._rows) > MOST_CLUSTERS:
            del self._rows[next(iter(self._rows))]

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))


# --- clusters


def _cluster(told: cluster_pb2.Cluster, out: Translated, rows: RowCache) -> None:
    out.name = told.name
    if told.HasField("cluster_type"):
        out.fault("cluster_type is not offered")
    static = not told.HasField("cluster_type") and told.type == cluster_pb2.Cluster.STATIC
    if not static and told.type != cluster_pb2.Cluster.EDS:
        kinds = cluster_pb2.Cluster.DiscoveryType
        name = kinds.Name(told.type) if told.type in kinds.values() else str(told.type)
        out.fault(f"type {name} is not offered: EDS or STATIC")
    for name in ("transport_socket", "upstream_bind_config", "http2_protocol_options", "lb_subset_config"):
        if told.HasField(name):
            out.fault(f"{name} is not offered")
    for name in ("transport_socket_matches", "typed_extension_protocol_options", "filters"):
        if len(getattr(told, name)):
            out.fault(f"{name} is not offered")
    source = told.eds_cluster_config.eds_config
    if source.WhichOneof("config_source_specifier") not in (None, "ads", "self"):
        out.fault("eds_config: endpoints come by the same stream (ads or self)")
    own = _own(told.metadata)
    values: dict[str, Any] = {}
    if told.HasField("connect_timeout"):
        values["connect_timeout"] = Duration(told.connect_timeout.ToMicroseconds())
    idle = told.common_http_protocol_options
    if idle.HasField("idle_timeout"):
        values["idle_close"] = Duration(idle.idle_timeout.ToMicroseconds())
    for threshold in told.circuit_breakers.thresholds:
        if threshold.priority == 0:  # DEFAULT
            for name in ("max_connections", "max_requests"):
                if threshold.HasField(name):
                    values[name] = getattr(threshold, name).value
    for name, kind in (("max_attempts", int), ("cold_share", float), ("cold_time_ms", float)):
        if name in own:
            value = _number(own[name], name, out)
            if name == "cold_time_ms":
                values["cold_time"] = Duration(int(value * 1000))
            else:
                values[name] = kind(value)
    for name, value, most in (
        ("connect_timeout", values.get("connect_timeout", 0), 60e6),
        ("idle_timeout", values.get("idle_close", 0), 3600e6),
        ("max_connections", values.get("max_connections", 0), 1 << 20),
        ("max_requests", values.get("max_requests", 0), 1 << 20),
        ("max_attempts", values.get("max_attempts", 0), 16),
        ("cold_share", values.get("cold_share", 0), 1),
        ("cold_time_ms", values.get("cold_time", 0), 3600e6),
    ):
        if not 0 <= value <= most:
            out.fault(f"{name} is out of bounds; 0 to {most:g} (durations in microseconds) is allowed")
    if static:
        collected = list(_localities(told.load_assignment, out, rows))
        values["upstream"] = tuple(sorted(collected[-1] or (), key=lambda row: row.name))
    out.value = Cluster(
        told.name, Pool(**values), "" if static else told.eds_cluster_config.service_name or told.name
    )


def _own(metadata: Any) -> dict[str, Any]:
    if OWN not in metadata.filter_metadata:
        return {}
    fields = metadata.filter_metadata[OWN].fields
    found: dict[str, Any] = {}
    for name, value in fields.items():
        kind = value.WhichOneof("kind")
        if kind in ("number_value", "string_value", "bool_value"):
            found[name] = getattr(value, kind)
    return found


def _number(value: Any, name: str, out: Translated) -> float:
    if isinstance(value, bool) or not isinstance(value, float) or not abs(value) < 1e15:
        out.fault(f"metadata {OWN}.{name} is no number: {value!r}")
        return 0.0
    return float(value)


# --- endpoints


def _endpoints(told: endpoint_pb2.ClusterLoadAssignment, out: Translated, rows: RowCache) -> Iterator[None]:
    out.name = told.cluster_name
    for found in _localities(told, out, rows):
        if found is None:
            yield None
        else:
            out.value = tuple(sorted(found, key=lambda row: row.name))


def _localities(
    told: endpoint_pb2.ClusterLoadAssignment, out: Translated, rows: RowCache
) -> Iterator[list[Upstream] | None]:
    """None now and then, and all rows last."""
    found: list[Upstream] = []
    before, now = rows.of(out.name), Rows()
    names: set[str] = set()
    where: dict[str, str] = {}
    if sum(len(locality.lb_endpoints) for locality in told.endpoints) > MOST_ENDPOINTS:
        out.fault(f"has more than {MOST_ENDPOINTS} endpoints")
        yield found
        return
    count = 0
    for locality in told.endpoints:
        if locality.priority:
            out.fault(f"priority {locality.priority}: there are no failover levels")
        if locality.HasField("leds_cluster_locality_config"):
            out.fault("leds_cluster_locality_config is not offered")
        place = locality.locality
        zone = place.zone or place.sub_zone or place.region
        for endpoint in locality.lb_endpoints:
            count += 1
            if count % SLICE == 0:
                yield None
            raw = endpoint.SerializeToString(deterministic=True)
            row = before.get((zone, raw)) or _row(endpoint, zone, out)
            if row is None:
                continue
            now[zone, raw] = row
            if row.name in names:
                out.fault(f"two endpoints have the name {row.name!r}")
            if row.address in where:
                out.fault(f"{row.address} stands in {where[row.address]!r} and in {zone!r}")
            names.add(row.name)
            where[row.address] = zone
            found.append(row)
    rows.keep(out.name, now)
    yield found


def _row(told: endpoint_components_pb2.LbEndpoint, zone: str, out: Translated) -> Upstream | None:
    if told.WhichOneof("host_identifier") != "endpoint":
        out.fault("an endpoint that only refers to another")
        return None
    address = told.endpoint.address
    if address.WhichOneof("address") != "socket_address" or len(told.endpoint.additional_addresses):
        out.fault("an endpoint's address is one socket_address")
        return None
    sock = address.socket_address
    if sock.protocol or sock.WhichOneof("port_specifier") != "port_value" or sock.resolver_name:
        out.fault(f"{sock.address}: TCP with port_value is offered")
        return None
    host = f"[{sock.address}]" if ":" in sock.address else sock.address
    where = f"{host}:{sock.port_value}"
    name = told.endpoint.hostname or where
    if NAME_PATTERN.fullmatch(name) is None:
        out.fault(f"{where}: {NAME_RULE}, not {name[:140]!r}")
        return None
    health = health_check_pb2.HealthStatus
    serving = told.health_status in (health.UNKNOWN, health.HEALTHY, health.DEGRADED)
    own = _own(told.metadata)
    cell, since = (
        int(_number(own.get(key, -1.0 if key == "cell" else 0.0), key, out)) for key in ("cell", "since_ms")
    )
    if not -1 <= cell <= 1 << 31 or not 0 <= since <= (1 << 60) // 1000:
        out.fault(f"{where}: cell or since_ms is out of bounds")
        return None
    weight = float(told.load_balancing_weight.value) if told.HasField("load_balancing_weight") else 1.0
    if not 1e-3 <= weight <= 1e6:
        out.fault(f"{where}: weight {weight:g} is out of bounds; 1 to 1000000 is allowed")
        return None
    return Upstream(
        name=name,
        address=where,
        zone=zone,
        kind=str(own.get("kind", "")),
        cell=cell,
        weight=weight,
        state="serving" if serving else "draining",
        since=since * 1000,
    )


# --- routes

BY = {"x-org": "tenant", "x-entity": "entity", "x-client": "client"}
FIELDS = {"x-lane": "class_", "x-org": "tenant", "x-graphql-operation": "operation", ":method": "method"}
ADDED = (
    "request_headers_to_add",
    "request_headers_to_remove",
    "response_headers_to_add",
    "response_headers_to_remove",
    "typed_per_filter_config",
)


def _routes(told: route_pb2.RouteConfiguration, out: Translated) -> None:
    out.name = told.name
    _no_extras(told, "", out, [name for name in ADDED if name != "typed_per_filter_config"])
    domains: dict[str, str] = {}
    for host in told.virtual_hosts:
        for domain in host.domains:
            if domains.setdefault(domain.lower(), host.name) != host.name:
                out.fault(f"the domain {domain!r} stands in {domains[domain.lower()]!r} and in {host.name!r}")
        if not host.domains:
            out.fault(f"virtual host {host.name!r} has no domains")
        if host.require_tls:
            out.fault(f"virtual host {host.name!r}: require_tls is not offered")
        _no_extras(host, f"virtual host {host.name!r}: ", out, ADDED)
    flat: list[Route] = []
    # A host's most exact domain decides, and routes of other virtual hosts are not tried then.
    places = [(_rank(domain), domain, host) for host in told.virtual_hosts for domain in host.domains]
    for _, domain, host in sorted(places, key=lambda place: place[0]):
        only = domain if len(told.virtual_hosts) > 1 or domain != "*" else ""
        several = len(host.domains) > 1
        tail = f"@{domain}" if several else ""
        for i, route in enumerate(host.routes):
            name = (route.name or f"{host.name or 'host'}.{i}") + tail
            flat.append(_route(route, name, (only,) if only else (), out))
        if only and domain != "*":
            rest = f"{host.name or 'host'}.none{tail}"
            _check_route_name(rest, out)
            flat.append(Route(name=rest, host=(only,)))
    out.value = tuple(flat)


def _rank(domain: str) -> tuple[int, int]:
    """The order in which domains are looked at: exact, *.suffix, prefix.*, longest first, then *."""
    if domain == "*":
        return 3, 0
    if domain.startswith("*"):
        return 1, -len(domain)
    return (2, -len(domain)) if domain.endswith("*") else (0, 0)


def _no_extras(told: Any, where: str, out: Translated, names: tuple[str, ...] | list[str]) -> None:
    for name in names:
        if len(getattr(told, name)):
            out.fault(f"{where}{name} is not offered")


def _check_route_name(name: str, out: Translated) -> None:
    """A route's name has the form of the installation file, also where it is made from its virtual host's."""
    if NAME_PATTERN.fullmatch(name) is None:
        out.fault(f"route {name!r}: {NAME_RULE}")


def _route(told: route_components_pb2.Route, name: str, host: tuple[str, ...], out: Translated) -> Route:
    where = f"route {name!r}: "
    _check_route_name(name, out)
    _no_extras(told, where, out, ADDED)
    values: dict[str, Any] = {"name": name, "host": host}
    match = told.match
    kind = match.WhichOneof("path_specifier")
    if kind == "path":
        values["path"] = match.path
    elif kind == "prefix":
        values["prefix"] = "" if match.prefix == "/" else match.prefix
    else:
        out.fault(f"{where}match by {kind or 'nothing'} is not offered: prefix or path")
    for field_name in ("grpc", "tls_context", "runtime_fraction"):
        if match.HasField(field_name):
            out.fault(f"{where}match.{field_name} is not offered")
    for field_name in ("query_parameters", "dynamic_metadata", "filter_state"):
        if len(getattr(match, field_name)):
            out.fault(f"{where}match.{field_name} is not offered")
    if match.HasField("case_sensitive") and not match.case_sensitive.value:
        out.fault(f"{where}match.case_sensitive = false is not offered")
    headers = []
    for header in match.headers:
        found = _header(header, where, out)
        if found is None:
            continue
        name_lower = found.name.lower()
        own = FIELDS.get(name_lower)
        if own is not None and found.exact and not found.invert:
            if values.get(own, (found.exact,)) != (found.exact,):
                out.fault(f"{where}{found.name} would have to be two things at once")
            values[own] = (found.exact,)
        elif name_lower == ":path" and found.exact and not found.invert and kind != "path":
            if not found.exact.startswith(match.prefix):
                out.fault(f"{where}:path {found.exact!r} does not begin with the prefix")
            values["path"], values["prefix"] = found.exact, ""
        elif name_lower.startswith(":") or own == "operation":
            out.fault(f"{where}header {found.name}: only an exact value is offered")
        else:
            headers.append(found)
    values["header"] = tuple(headers)
    _action(told, values, where, out)
    return Route(**values)


def _header(told: route_components_pb2.HeaderMatcher, where: str, out: Translated) -> HeaderMatch | None:
    kind = told.WhichOneof("header_match_specifier")
    exact = prefix = ""
    invert = told.invert_match
    if kind == "string_match":
        kind = told.string_match.WhichOneof("match_pattern")
        if told.string_match.ignore_case:
            kind = "ignore_case"
        exact, prefix = told.string_match.exact, told.string_match.prefix
    elif kind == "exact_match":
        kind, exact = "exact", told.exact_match
    elif kind == "prefix_match":
        kind, prefix = "prefix", told.prefix_match
    elif kind == "present_match":
        kind, invert = "present", invert is not (not told.present_match)
    if kind not in ("exact", "prefix", "present", None) or told.treat_missing_header_as_empty:
        out.fault(f"{where}header {told.name}: {kind} is not offered: exact, prefix or present")
        return None
    if (kind == "exact" and not exact) or (kind == "prefix" and not prefix):
        out.fault(f"{where}header {told.name}: an empty value is not offered")
        return None
    plain = told.name[1:] if told.name[:1] == ":" else told.name
    if not 1 <= len(plain) <= 64 or not all(c.isascii() and (c.isalnum() or c == "-") for c in plain):
        out.fault(f"{where}header {told.name[:70]!r} is no name of a header")
        return None
    return HeaderMatch(name=told.name, exact=exact, prefix=prefix, invert=invert)


def _action(told: route_components_pb2.Route, values: dict[str, Any], where: str, out: Translated) -> None:
    action = told.WhichOneof("action")
    if action == "direct_response":
        if told.direct_response.status != 404:
            out.fault(f"{where}direct_response {told.direct_response.status} is not offered: 404")
        return
    if action != "route":
        out.fault(f"{where}{action or 'no action'} is not offered: route, or direct_response 404")
        return
    route = told.route
    for name in (
        "prefix_rewrite",
        "regex_rewrite",
        "path_rewrite_policy",
        "host_rewrite_literal",
        "auto_host_rewrite",
        "host_rewrite_header",
        "host_rewrite_path_regex",
        "internal_redirect_policy",
        "metadata_match",
    ):
        try:
            given = route.HasField(name)
        except ValueError:  # a field without presence
            given = bool(getattr(route, name))
        if given:
            out.fault(f"{where}{name} is not offered")
    for name in ("request_mirror_policies", "rate_limits", "upgrade_configs"):
        if len(getattr(route, name)):
            out.fault(f"{where}{name} is not offered")
    for policy in route.hash_policy:
        if policy.WhichOneof("policy_specifier") == "header":
            values["by"] = BY.get(policy.header.header_name.lower(), "client")
            break
    cluster = route.WhichOneof("cluster_specifier")
    if cluster == "cluster":
        values["pool"] = route.cluster
        if not route.cluster:
            out.fault(f"{where}cluster has no name")
    elif cluster == "weighted_clusters":
        split: dict[str, int] = {}
        for part in route.weighted_clusters.clusters:
            _no_extras(part, where, out, ADDED)
            if not part.name or part.name in split:
                out.fault(f"{where}weighted cluster {part.name!r} has no name, or stands twice")
            split[part.name] = part.weight.value
            if part.weight.value > 1_000_000:
                out.fault(f"{where}weight {part.weight.value} of {part.name!r} is over 1000000")
        if not split or not any(split.values()):
            out.fault(f"{where}weighted_clusters has no weight above 0")
        values["split"] = split
    else:
        out.fault(f"{where}{cluster or 'no cluster'} is not offered: cluster or weighted_clusters")
