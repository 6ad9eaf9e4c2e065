"""The typed form of the installation file.  `Bounds` say what is allowed; docs/operators.md says why."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from brackengate.installation.units import Duration, Size

S = 1_000_000  # microseconds
MS = 1_000


@dataclass(frozen=True, slots=True)
class Bounds:
    """Least and most, both allowed; in the value's own measure (microseconds, bytes)."""

    least: float
    most: float


SHORTHAND = {"GraphqlField": "class"}  # sections that a string alone may stand for: the key that it gives


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Installation(Section, frozen=True, kw_only=True):
    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class Fleet(Section, frozen=True, kw_only=True):
    instances: Annotated[int, Bounds(1, 256)] = 1
    balancers: Annotated[int, Bounds(0, 100_000)] = 0  # of the whole tier, all machines; 0: `instances`
    first_number: Annotated[int, Bounds(0, 100_000)] = 0
    runtime_dir: str = ""
    together: Annotated[int, Bounds(1, 256)] = 1
    settle: Annotated[Duration, Bounds(0, 600 * S)] = Duration(S)
    ready_within: Annotated[Duration, Bounds(100 * MS, 600 * S)] = Duration(15 * S)
    stop_within: Annotated[Duration, Bounds(0, 600 * S)] = Duration(0)  # 0: the longest deadline and 1.2 s
    watchdog: Annotated[Duration, Bounds(0, 600 * S)] = Duration(5 * S)  # 0: none
    restart_wait: Annotated[Duration, Bounds(10 * MS, 600 * S)] = Duration(200 * MS)
    restart_wait_most: Annotated[Duration, Bounds(10 * MS, 3600 * S)] = Duration(30 * S)
    crash_limit: Annotated[int, Bounds(1, 1000)] = 6
    crash_window: Annotated[Duration, Bounds(100 * MS, 24 * 3600 * S)] = Duration(60 * S)
    pin_cores: bool = False


class Listener(Section, frozen=True, kw_only=True):
    name: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9_-]{1,64}$")]
    address: str = ""  # one socket that all instances accept from
    addresses: tuple[str, ...] = ()  # one for each instance
    backlog: Annotated[int, Bounds(1, 65_535)] = 1024


class Class(Section, frozen=True, kw_only=True):
    aim: Annotated[Duration, Bounds(MS, 3600 * S)]
    deadline: Annotated[Duration, Bounds(MS, 3600 * S)]
    repeats: Literal["safe", "keyed", "unsafe"] = "unsafe"
    key_scope: Literal["all", "zone", "cell"] = "zone"
    key_memory: Annotated[Duration, Bounds(0, 24 * 3600 * S)] = Duration(0)
    worth: Annotated[float, Bounds(0, 1e6)] = 1.0
    late_worth: Annotated[float, Bounds(0, 1)] = 0.0


class Tenant(Section, frozen=True, kw_only=True):
    fraction: Annotated[float, Bounds(0, 1)] = 0.0
    quota_per_s: Annotated[float, Bounds(0, 1e9)] = 0.0  # over all balancers; 0: none
    share: Annotated[float, Bounds(0.01, 100)] = 1.0  # at the door, against other tenants'


class Upstream(Section, frozen=True, kw_only=True):
    name: Annotated[str, msgspec.Meta(pattern="^[!-~]{1,128}$")]
    address: str
    zone: str = ""
    kind: str = ""
    cell: Annotated[int, Bounds(-1, 1 << 31)] = -1
    weight: Annotated[float, Bounds(1e-3, 1e6)] = 1.0
    state: Literal["serving", "draining"] = "serving"
    since: Annotated[int, Bounds(0, 1 << 60)] = (
        0  # when it started, in microseconds of Unix time; 0: not known
    )


class UpstreamFile(Section, frozen=True, kw_only=True):
    """A watched file: what `upstreams.file` names."""

    upstream: tuple[Upstream, ...] = ()


class Upstreams(Section, frozen=True, kw_only=True):
    source: Literal["static", "file", "discovery", "none"]  # none: pools have their own
    discovery: str = ""
    on_request: bool = False  # discovery is asked and does not push
    file: str = ""
    check_every: Annotated[Duration, Bounds(10 * MS, 600 * S)] = Duration(500 * MS)
    static: tuple[Upstream, ...] = ()


class Limits(Section, frozen=True, kw_only=True):
    sockets: Annotated[int, Bounds(64, 1 << 20)] = 4096  # of all instances together
    memory: Annotated[Size, Bounds(32_000_000, 1 << 40)] = Size(768_000_000)  # of all together
    max_attempts: Annotated[int, Bounds(1, 16)] = 3
    connect_timeout: Annotated[Duration, Bounds(MS, 60 * S)] = Duration(250 * MS)
    idle_close: Annotated[Duration, Bounds(100 * MS, 3600 * S)] = Duration(60 * S)
    max_retry_after: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(2 * S)
    over_quota_worth: Annotated[float, Bounds(0, 1)] = 1.0
    tier: Annotated[int, Bounds(0, 16)] = 0  # 0: callers are clients from outside
    marks_retry: bool = False
    probes: bool = False
    cancel: bool = True


class Cold(Section, frozen=True, kw_only=True):
    """What an upstream that has just started can bear."""

    share: Annotated[float, Bounds(0.001, 1)] = 0.1
    time: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(30 * S)
    fall_multiple: Annotated[float, Bounds(0.1, 100)] = 3.0


class GraphqlField(Section, frozen=True, kw_only=True):
    """What a root field means; a string alone is its class."""

    class_: str = msgspec.field(name="class")
    key: str = ""  # where in its arguments its key stands, as "input.kljuc"


class Graphql(Section, frozen=True, kw_only=True):
    """GraphQL over HTTP on one path of every listener.  Off without a path."""

    path: Annotated[str, msgspec.Meta(pattern="^(/[A-Za-z0-9._~/-]{1,200})?$")] = ""
    query_class: str = ""
    unnamed_class: str = ""
    query: dict[str, GraphqlField] = {}
    mutation: dict[str, GraphqlField] = {}
    batch: Literal["off", "split", "whole"] = "off"
    batch_most: Annotated[int, Bounds(1, 100)] = 10
    tenant_header: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]{1,64}$")] = "X-Org"
    deadline_header: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]{1,64}$")] = "X-Remaining-Ms"
    field_work: Annotated[Duration, Bounds(0, 10 * S)] = Duration(0)
    persisted: bool = True
    persisted_memory: Annotated[Size, Bounds(0, 1 << 30)] = Size(4_000_000)
    manifest: str = ""
    only_trusted: bool = False
    cache_memory: Annotated[Size, Bounds(0, 1 << 30)] = Size(4_000_000)
    max_bytes: Annotated[Size, Bounds(64, 65_536)] = Size(16_000)
    max_tokens: Annotated[int, Bounds(8, 10_000)] = 1000
    max_depth: Annotated[int, Bounds(1, 100)] = 16
    max_aliases: Annotated[int, Bounds(0, 10_000)] = 64
    max_root_fields: Annotated[int, Bounds(1, 1000)] = 32
    max_directives: Annotated[int, Bounds(0, 10_000)] = 64


class Repeats(Section, frozen=True, kw_only=True):
    """Recognising repeats of keyed requests.  Off without a word on who a client is."""

    client: Literal["off", "address", "header"] = "off"
    client_header: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]{1,64}$")] = "X-Client"
    memory: Annotated[Size, Bounds(64_000, 1 << 34)] = Size(32_000_000)  # of all instances together
    max_answer: Annotated[Size, Bounds(0, 1 << 20)] = Size(64_000)
    keep: Annotated[Duration, Bounds(100 * MS, 24 * 3600 * S)] = Duration(10 * S)
    waiters: Annotated[int, Bounds(0, 10_000)] = 64
    journal: str = ""  # a folder on a disk that lasts; none: what is known goes with the process
    journal_sync: bool = True
    journal_bytes: Annotated[Size, Bounds(64_000, 1 << 34)] = Size(64_000_000)


class Queues(Section, frozen=True, kw_only=True):
    """Fair queues at the door."""

    mode: Literal["off", "dry", "on"] = "off"
    client: Literal["address", "header"] = "address"
    client_header: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]{1,64}$")] = "X-Client"
    address_header: Annotated[str, msgspec.Meta(pattern="^([A-Za-z0-9-]{1,64})?$")] = ""
    prefix_v4: Annotated[int, Bounds(0, 32)] = 24  # 0: networks are not looked at
    prefix_v6: Annotated[int, Bounds(0, 128)] = 56
    per_network: Annotated[int, Bounds(1, 100_000)] = 8
    connections: Annotated[int, Bounds(0, 1_000_000)] = 0  # of one network, at each instance; 0: no bound
    other_share: Annotated[float, Bounds(0.01, 100)] = 1.0
    clients: Annotated[int, Bounds(16, 10_000_000)] = 10_000  # of all instances together
    hashed: Annotated[int, Bounds(8, 4096)] = 64
    reseed: Annotated[Duration, Bounds(S, 3600 * S)] = Duration(60 * S)
    waiting: Annotated[int, Bounds(1, 1_000_000)] = 4096  # of all together
    memory: Annotated[Size, Bounds(100_000, 1 << 34)] = Size(32_000_000)  # of all together
    limit_least: Annotated[int, Bounds(1, 10_000)] = 4
    limit_start: Annotated[int, Bounds(1, 100_000)] = 32
    limit_most: Annotated[int, Bounds(1, 100_000)] = 2048
    target: Annotated[float, Bounds(0.05, 0.9)] = 0.35
    retry_ratio: Annotated[float, Bounds(0, 10)] = 0.2
    retry_burst: Annotated[float, Bounds(0, 1000)] = 5.0
    reserve: Annotated[float, Bounds(0, 0.9)] = 0.5
    grace: Annotated[Duration, Bounds(10 * MS, 10 * S)] = Duration(300 * MS)
    patience: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)  # 0: the request's own time
    place_header: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]{1,64}$")] = "X-Place"
    secret_file: str = ""  # one for all instances that honour each other's places


class FlowExport(Section, frozen=True, kw_only=True):
    """Flow export.  Off without a collector."""

    collector: str = ""
    collectors: tuple[str, ...] = ()
    protocol: Literal["ipfix", "netflow9"] = "ipfix"
    transport: Literal["udp", "tcp"] = "udp"
    mode: Literal["copy", "spread"] = "copy"
    active: Annotated[Duration, Bounds(100 * MS, 3600 * S)] = Duration(60 * S)
    idle: Annotated[Duration, Bounds(100 * MS, 3600 * S)] = Duration(15 * S)
    template_every: Annotated[Duration, Bounds(100 * MS, 3600 * S)] = Duration(30 * S)
    template_after: Annotated[int, Bounds(1, 1_000_000)] = 500
    max_flows: Annotated[int, Bounds(16, 10_000_000)] = 50_000  # of all instances together
    queue: Annotated[int, Bounds(16, 1_000_000)] = 10_000
    message_size: Annotated[Size, Bounds(512, 65_000)] = Size(1400)
    strings: bool = True  # class and tenant, as fields of variable length
    enterprise: Annotated[int, Bounds(1, 4_294_967_295)] = 32_473  # the number for examples (RFC 5612)


class HeaderMatch(Section, frozen=True, kw_only=True):
    """One condition on a header; of exact, prefix and present one at the most.  None of them: it is there."""

    name: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9-]{1,64}$")]
    exact: str = ""
    prefix: str = ""
    invert: bool = False


class Route(Section, frozen=True, kw_only=True):
    """Which requests go to which pool.  Conditions that are empty hold for all; the first that fits wins."""

    name: Annotated[str, msgspec.Meta(pattern="^[!-~]{1,128}$")]
    host: tuple[str, ...] = ()  # as "a.example", "*.example", "a.*" or "*"
    path: str = ""  # the whole of it, without the query
    prefix: str = ""
    method: tuple[str, ...] = ()
    header: tuple[HeaderMatch, ...] = ()
    class_: tuple[str, ...] = msgspec.field(name="class", default=())
    tenant: tuple[str, ...] = ()
    operation: tuple[str, ...] = ()  # a GraphQL operation's name, or "type:mutation", "type:query"
    pool: str = ""  # one pool; none here and in `split`: answered with 404
    split: dict[str, Annotated[int, Bounds(0, 1_000_000)]] = {}  # pools by weight
    by: Literal["client", "tenant", "entity", "request"] = "client"  # what keeps its part of a split


class Pool(Section, frozen=True, kw_only=True):
    """Upstreams with a decision module of their own.  0: as in `limits` and `cold`."""

    upstream: tuple[Upstream, ...] = ()
    from_discovery: bool = False  # its rows come from [upstreams], those of `kind` where that is given
    kind: str = ""
    max_connections: Annotated[int, Bounds(0, 1 << 20)] = 0  # of one instance; 0: no bound of its own
    max_requests: Annotated[int, Bounds(0, 1 << 20)] = 0  # the same, of requests that are held
    max_attempts: Annotated[int, Bounds(0, 16)] = 0
    connect_timeout: Annotated[Duration, Bounds(0, 60 * S)] = Duration(0)
    idle_close: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)
    cold_share: Annotated[float, Bounds(0, 1)] = 0.0
    cold_time: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)


class Versions(Section, frozen=True, kw_only=True):
    """Routes and pools in numbered versions.  Off without a source."""

    source: Literal["off", "file", "xds"] = "off"
    history: Annotated[int, Bounds(2, 64)] = 8
    folder: str = ""  # on a disk that lasts: the last good version; none: a start without the source is empty
    save_every: Annotated[Duration, Bounds(10 * MS, 600 * S)] = Duration(S)
    jitter: Annotated[Duration, Bounds(0, 400 * MS)] = Duration(0)
    canary: Annotated[float, Bounds(0, 1)] = 0.0  # the part of the fleet that goes first; 0: all at once
    canary_time: Annotated[Duration, Bounds(100 * MS, 3600 * S)] = Duration(30 * S)
    canary_least: Annotated[int, Bounds(1, 1_000_000)] = 20  # answers before a version is judged
    canary_more: Annotated[float, Bounds(0.001, 1)] = 0.05  # more failed, as a part of all, than before
    backwards: Literal["accept", "refuse"] = "accept"  # a lower number, where versions are numbers
    client_header: Annotated[str, msgspec.Meta(pattern="^([A-Za-z0-9-]{1,64})?$")] = "X-Client"  # for splits
    new_pools: Literal["warm", "cold"] = "warm"  # upstreams of which nothing is known


class Cell(Section, frozen=True, kw_only=True):
    """Pools of its own, in place of those that routes name."""

    pools: dict[str, str] = {}


class Move(Section, frozen=True, kw_only=True):
    """A tenant's way from one cell to another.  Times are microseconds of Unix time."""

    from_: str = msgspec.field(name="from")
    to: str
    start: Annotated[int, Bounds(0, 1 << 60)] = 0  # 0: paused, the old owner keeps it
    gap: Annotated[int, Bounds(0, 3600 * S)]  # from `start`, nobody's
    memory: Annotated[int, Bounds(0, 24 * 3600 * S)] = 0  # after that, nobody's for keyed requests


class CellMap(Section, frozen=True, kw_only=True):
    """The file of `cells.file`: who belongs to which cell."""

    epoch: Annotated[int, Bounds(1, 1 << 60)]
    published: Annotated[int, Bounds(0, 1 << 60)]  # microseconds of Unix time
    cell: dict[str, Cell]
    default: str  # the cell of those who are not named
    assign: dict[str, str] = {}
    move: dict[str, Move] = {}


class Cells(Section, frozen=True, kw_only=True):
    """Cells.  Off without a file."""

    file: str = ""
    by: Literal["tenant", "entity"] = "tenant"
    lease: Annotated[Duration, Bounds(300 * MS, 600 * S)] = Duration(3 * S)
    skew: Annotated[Duration, Bounds(0, 60 * S)] = Duration(100 * MS)  # of a clock, either way
    check_every: Annotated[Duration, Bounds(10 * MS, 200 * S)] = Duration(500 * MS)


class Xds(Section, frozen=True, kw_only=True):
    """The control services of `versions.source = "xds"`."""

    servers: tuple[str, ...] = ()  # host:port; the first that can be reached is used
    node_id: str = ""  # none: the installation's name and the instance's number
    cluster: str = ""
    metadata: dict[str, str] = {}
    route_config: str = "default"
    incremental: bool = False
    settle: Annotated[Duration, Bounds(10 * MS, 60 * S)] = Duration(S)  # for what a resource refers to
    resource_timeout: Annotated[Duration, Bounds(100 * MS, 600 * S)] = Duration(15 * S)
    backoff: Annotated[Duration, Bounds(10 * MS, 60 * S)] = Duration(200 * MS)
    backoff_most: Annotated[Duration, Bounds(10 * MS, 600 * S)] = Duration(10 * S)
    # gRPC servers take pings more often than every 5 minutes for abuse and end the connection, unless told.
    keepalive: Annotated[Duration, Bounds(S, 3600 * S)] = Duration(305 * S)


class Log(Section, frozen=True, kw_only=True):
    level: Literal["debug", "info", "warning", "error"] = "info"


class File(Section, frozen=True, kw_only=True):
    """The whole file."""

    installation: Installation
    upstreams: Upstreams
    listener: tuple[Listener, ...]
    class_: dict[str, Class] = msgspec.field(name="class")
    tenant: dict[str, Tenant] = {}
    fleet: Fleet = Fleet()
    limits: Limits = Limits()
    cold: Cold = Cold()
    graphql: Graphql = Graphql()
    repeats: Repeats = Repeats()
    queues: Queues = Queues()
    flow: FlowExport = FlowExport()
    route: tuple[Route, ...] = ()
    pool: dict[str, Pool] = {}
    versions: Versions = Versions()
    cells: Cells = Cells()
    xds: Xds = Xds()
    log: Log = Log()
