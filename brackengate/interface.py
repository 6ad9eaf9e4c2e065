"""What a balancer is told and what it may ask for: settings, events, actions and outcomes.

Plain data only.  Times are whole microseconds on the host's clock; ids are opaque.
`brackengate.balancer.Balancer` takes a `Settings` at the start, then one event at a time,
and answers each with a list of actions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a class of requests allows once an attempt may have run."""

    REPEATABLE = "repeatable"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class KeyScope(Enum):
    """Which upstreams discard a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Lifecycle(Enum):
    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an `UpstreamList` relates to the list held so far."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"  # the list as last held before a restart, perhaps stale
    BROKEN = "broken"  # a watch or a fetch failed; nothing is said about upstreams


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"  # turned away unseen
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"


# --- settings -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    target_latency: int  # an answer within this time earns its full worth
    deadline: int  # how long a client waits in all, over every try
    idempotency: Idempotency = Idempotency.UNSAFE
    key_scope: KeyScope = KeyScope.ALL
    key_memory: int = 0  # how long repeats of a keyed request are discarded
    value: float = 1.0
    late_value: float = 0.0  # share of the worth an answer earns between aim and deadline
    target_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    stream: bool = False
    max_attempts: int = 0  # 0 = as the settings say


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    fraction: float = 0.0
    quota_per_s: float = 0.0  # over all balancers together; 0 = no quota


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1  # instances of this tier, this one included
    tier: int = 0  # the tier this balancer sends into
    resolution: int = 1000  # the shortest time between two events
    marks_retry: bool = False  # clients mark repeats, so an unmarked request is a first try
    passes_deadline: bool = True  # calls carry the time their caller has left
    list_on_request: bool = False  # the list must be watched or fetched
    list_max_age: int = 10_000_000  # unasked for this long counts as told what is listed
    release_within: int = 0  # idle connections to a leaving upstream close within this; 0 = no such rule
    cold_share: float = 0.1
    cold_time: int = 30_000_000
    fall_multiple: float = 3.0
    probes: bool = False
    cancel: bool = True
    max_attempts: int = 3
    connect_timeout: int = 250_000
    idle_close: int = 60_000_000  # idle connections are closed after this
    max_retry_after: int = 0  # the longest advice a client follows; 0 = none reaches it
    over_quota_value: float = 1.0
    probe_price: float = 0.0  # points for each probe, as a share of one request's worth
    wait_for_upstream: bool = True  # False: what no upstream may take now goes to the least bad one, or ends
    unsent_attempts_free: bool = (
        False  # True: attempts that reached no upstream count for nothing, up to 8 in all
    )
    retry_share: float = 0.2  # retries a call earns: a storm adds at most this much to the load
    retry_burst: float = 5.0  # retries that may be saved up
    retry_start: float = 5.0  # of these at the start: what an earlier process spent is not known
    fail_fast: bool = False  # True: it ends once all that serve turned it away, or too little time is left


# --- events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One row of an upstream list."""

    upstream: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: Lifecycle = Lifecycle.SERVING
    weight: float = 1.0
    started_at: int = 0  # 0 = long ago


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of itself; None where it says nothing."""

    in_flight: float | None = None
    waiting: float | None = None
    utilization: float | None = None


@dataclass(slots=True)
class UpstreamList:
    kind: ListKind
    endpoints: tuple[Endpoint, ...] = ()
    version: int = 0
    final: bool = False  # no upstream will come any more: what waits for one is ended


@dataclass(frozen=True, slots=True)
class EarlierAttempt:
    """An attempt of a request that came before under the same key, and may have run."""

    endpoint: Endpoint
    sent_at: int

    @classmethod
    def at_unknown_upstream(cls, at: int) -> EarlierAttempt:
        """It is not known where: in no zone and no cell."""
        return cls(Endpoint("", cell=-1), at)


@dataclass(slots=True)
class Request:
    request: str
    class_name: str
    deadline: int  # the clock time at which the client leaves
    tenant: str = ""
    key: str = ""
    is_retry: bool = False
    is_write: bool = False
    work_hint: int = 0  # 0 = none
    earlier: tuple[EarlierAttempt, ...] = ()  # as if they were attempts of its own
    body_complete: bool = True  # False: its body is still coming; the deadline is as if it ended now


@dataclass(slots=True)
class RequestBodyComplete:
    """The last byte of a request's body has come: its deadline counts from here."""

    request: str
    deadline: int


@dataclass(slots=True)
class AnswerStarted:
    """The first bytes of an answer are with the client: it is this attempt's, and its rest follows."""

    request: str
    attempt: int
    upstream: str
    latency: int = 0


@dataclass(slots=True)
class AttemptEnded:
    request: str
    attempt: int
    upstream: str
    outcome: Outcome
    latency: int = 0
    request_ended: bool = False
    load: LoadReport | None = None
    stale_connection: bool = (
        False  # lost with a connection that had stood idle: tells nothing of the upstream
    )
    body_replayable: bool = (
        True  # False: what was sent of the body is no longer held, so no attempt can follow
    )


@dataclass(slots=True)
class ClientGone:
    request: str


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class ProbeEnded:
    upstream: str
    outcome: Outcome
    latency: int = 0
    load: LoadReport | None = None


@dataclass(slots=True)
class Classes:
    """The table of classes from here on, in place of the settings'; calls under way keep theirs."""

    classes: tuple[RequestClass, ...]


@dataclass(slots=True)
class ClassesChanged:
    """Some classes of the table are new or other than before, some are gone; the rest stay."""

    changed: tuple[RequestClass, ...]
    removed: tuple[str, ...] = ()  # by name


@dataclass(slots=True)
class RetryBudget:
    """What retries may cost from here on, where a budget is shared and its part has changed."""

    share: float  # retries that a call earns
    burst: float  # that may be saved up


@dataclass(slots=True)
class UpstreamHealth:
    """What others say of an upstream: nobody there answers, or it stands again (or anew)."""

    upstream: str
    healthy: bool


@dataclass(slots=True)
class PeerMessage:
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
    """Start the request's next attempt; attempts count 0, 1, 2 ... in the order of their sends."""

    request: str
    upstream: str
    until: int  # the clock time at which to give the attempt up


@dataclass(slots=True)
class CancelAttempt:
    request: str
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final: the request had no effect and may be tried again, preferably after `retry_after`."""

    request: str
    retry_after: int = 0


@dataclass(slots=True)
class Fail:
    """Final: no answer, and no claim about effects."""

    request: str


@dataclass(slots=True)
class SetTimer:
    delay: int
    token: int


@dataclass(slots=True)
class Probe:
    upstream: str


@dataclass(slots=True)
class Release:
    """Close this copy's idle connections to an upstream."""

    upstream: str


@dataclass(slots=True)
class WatchList:
    """Ask for the changes of the upstream list from now on."""

    on: bool = True


Action = Send | CancelAttempt | Refuse | Fail | SetTimer | Probe | Release | WatchList
