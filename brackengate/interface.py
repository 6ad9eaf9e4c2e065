"""The balancer's interface: its settings, the events it handles and the actions it returns.

Plain data only.  Times are whole microseconds on the host's clock; ids are opaque.
`brackengate.balancer.Balancer` takes a `Settings` at the start, then one event at a time,
and returns a list of actions for each.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a class of requests may be repeated once an attempt may have run."""

    REPEATABLE = "repeatable"  # always
    KEYED = "keyed"  # where upstreams discard repeats of a key
    UNSAFE = "unsafe"  # never


class KeyScope(Enum):
    """Which upstreams discard a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Lifecycle(Enum):
    """State of an upstream in the list; only those that serve receive requests."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an `UpstreamList` relates to the current list."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"  # the list as saved before a restart, perhaps stale
    BROKEN = "broken"  # a watch or a fetch failed; it carries no upstreams


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # the upstream refused it and has not run it
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"  # no connection was established
    RESET = "reset"  # the connection broke before the answer was complete
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # no byte of it left this instance


# --- settings -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings that requests of one kind have in common."""

    name: str
    target_latency: int  # an answer within this time has its full value
    deadline: int  # how long a client waits in total, over all its retries
    idempotency: Idempotency = Idempotency.UNSAFE
    key_scope: KeyScope = KeyScope.ALL
    key_memory: int = 0  # how long upstreams discard repeats of a key
    value: float = 1.0
    late_value: float = 0.0  # share of the value that an answer has between target latency and deadline
    target_stretch: float = 0.0  # the target latency grows by this multiple of the request's work hint
    stream: bool = False  # its answers are streams, which the target latency does not limit
    max_attempts: int = 0  # 0 = as in the settings


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota."""

    name: str
    fraction: float = 0.0  # its share of all requests; the balancer does not use it
    quota_per_s: float = 0.0  # requests, over all balancers together; 0 = no quota


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a balancer, the same for all instances of a tier."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # instances of this tier, this one included
    tier: int = 0  # the tier this balancer sends into
    resolution: int = 1000  # the shortest time between two events
    marks_retry: bool = False  # clients mark retries, so an unmarked request is a first attempt
    passes_deadline: bool = True  # requests carry the time that their caller has left
    list_on_request: bool = False  # the list must be watched or fetched; it is not pushed
    list_max_age: int = 10_000_000  # an instance that has not fetched for this long counts as informed
    release_within: int = 0  # idle connections to a leaving upstream close within this; 0 = no such rule
    cold_share: float = 0.1  # of its capacity, that a just started upstream has
    cold_time: int = 30_000_000  # until it has all of its capacity
    fall_multiple: float = 3.0  # a cold upstream that receives this many times what it can bear fails
    probes: bool = False  # upstreams answer probes with a load report
    cancel: bool = True  # attempts in flight can be cancelled
    max_attempts: int = 3  # of one request
    connect_timeout: int = 250_000
    idle_close: int = 60_000_000  # idle connections are closed after this
    max_retry_after: int = 0  # the longest `retry_after` that a client honours; 0 = none reaches it
    over_quota_value: float = 1.0  # multiplies the value of requests beyond their tenant's quota
    probe_price: float = 0.0  # cost of a probe, as a share of one request's value
    # False: a request that no upstream may take now goes to the least bad one, or ends.
    wait_for_upstream: bool = True
    # True: attempts that reached no upstream use up neither `max_attempts` nor retries, up to 8 in total.
    unsent_attempts_free: bool = False
    retry_share: float = 0.2  # retries that a request earns: retries add at most this share to the load
    retry_burst: float = 5.0  # retries that may be saved
    retry_start: float = 5.0  # of these at the start: how many an earlier process spent is unknown
    # True: a request ends once every serving upstream rejected it, or too little time is left.
    fail_fast: bool = False


# --- events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One row of an upstream list."""

    upstream: str
    zone: str = ""
    kind: str = ""
    cell: int = 0  # below 0: unknown
    state: Lifecycle = Lifecycle.SERVING
    weight: float = 1.0  # relative capacity
    started_at: int = 0  # 0 = long ago


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reports of itself; None where it reports nothing."""

    in_flight: float | None = None  # requests it holds
    waiting: float | None = None  # of these, in its queue
    utilization: float | None = None  # 0 to 1


@dataclass(slots=True)
class UpstreamList:
    """The list of upstreams, or changes to it."""

    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0
    final: bool = False  # no further upstreams will be listed: requests that wait for one end


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """An attempt that may have run, of an earlier request with the same key."""

    endpoint: Endpoint
    sent_at: int

    @classmethod
    def at_unknown_upstream(cls, at: int) -> EarlierAttempt:
        """An attempt at an unknown upstream: in no zone and no cell."""
        return cls(Endpoint("", cell=-1), at)


@dataclass(slots=True)
class Request:
    """A client's request has arrived."""

    request: str
    class_name: str
    deadline: int  # the clock time at which the client gives up
    tenant: str = ""
    key: str = ""
    is_retry: bool = False
    is_write: bool = False
    work_hint: int = 0  # expected service time; 0 = unknown
    earlier: tuple[EarlierAttempt, ...] = ()  # treated as attempts of its own
    body_complete: bool = True  # False: its body is still arriving; the deadline assumes that it ends now


@dataclass(slots=True)
class RequestBodyComplete:
    """The last byte of a request's body has arrived: its deadline counts from here."""

    request: str
    deadline: int


@dataclass(slots=True)
class AnswerStarted:
    """The first bytes of an attempt's answer were passed to the client: the request keeps this attempt."""

    request: str
    attempt: int
    upstream: str
    latency: int = 0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has an outcome."""

    request: str
    attempt: int
    upstream: str
    outcome: Outcome
    latency: int = 0
    request_ended: bool = False  # the client has its answer or has left
    load: LoadReport | None = None
    stale_connection: bool = False  # lost with a connection that was idle: no sign of a failing upstream
    body_replayable: bool = True  # False: the part of the body already sent is discarded: no further attempt


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """A probe has an outcome."""

    upstream: str
    outcome: Outcome
    latency: int = 0
    load: LoadReport | None = None


@dataclass(slots=True)
class Classes:
    """Replaces the settings' table of classes; requests in flight keep theirs."""

    classes: tuple[RequestClass, ...]


@dataclass(slots=True)
class ClassesChanged:
    """Adds, replaces and removes some classes of the table; the others stay."""

    changed: tuple[RequestClass, ...]
    removed: tuple[str, ...] = ()  # by name


@dataclass(slots=True)
class RetryBudget:
    """This instance's part of a shared retry budget has changed."""

    share: float  # retries that a request earns
    burst: float  # retries that may be saved


@dataclass(slots=True)
class UpstreamHealth:
    """Others report that an upstream is unreachable, or is reachable again or was replaced."""

    upstream: str
    healthy: bool


@dataclass(slots=True)
class PeerMessage:
    """A message of another instance."""

    sender: int
    payload: bytes


Event = (
    UpstreamList
    | Request
    | RequestBodyComplete
    | AnswerStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | Classes
    | ClassesChanged
    | RetryBudget
    | UpstreamHealth
    | PeerMessage
)


# --- actions --------------------------------------------------------------------------------


@dataclass(slots=True)
class Send:
    """Start the request's next attempt; attempts are numbered 0, 1, 2 ... in sending order."""

    request: str
    upstream: str
    until: int  # the clock time at which to time the attempt out


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt in flight; its outcome still follows."""

    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final: the request had no effect and may be repeated, preferably after `retry_after`."""

    request: str
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final: no answer; whether the request had an effect is not known."""

    request: str


@dataclass(slots=True)
class SetTimer:
    """Send `TimerFired` with this token after `delay`."""

    delay: int
    token: int


@dataclass(slots=True)
class Probe:
    """Query an upstream for its load."""

    upstream: str


@dataclass(slots=True)
class Release:
    """Close this instance's idle connections to an upstream."""

    upstream: str


@dataclass(slots=True)
class WatchList:
    """Start (or stop) receiving changes of the upstream list."""

    on: bool = True


Action = Send | CancelAttempt | Refuse | Fail | SetTimer | Probe | Release | WatchList
