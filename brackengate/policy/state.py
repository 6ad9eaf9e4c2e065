"""The balancer's state: upstreams, attempts and requests, and the constants that its decisions go by."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from brackengate import interface as api

MAX_CONSECUTIVE_FAILURES = 2  # one failure may be chance; a second in a row is the upstream's own
FAST_ERROR_SHARE = 0.2  # of the mean latency: an error that arrives faster counts as a failure
EJECTION_CONNECT_TIMEOUTS = 20  # length of an ejection: an attempt at a dead upstream then costs little
TARGET_MARGIN = 0.01  # share of the target latency reserved for the way back to the client
MAX_TOTAL_ATTEMPTS = 8  # attempts of any kind, where those that ended unsent are free
MAX_PROBE_COST = 0.016  # per pick, as a share of a request's value
MAX_PROBES_PER_PICK = 8  # after these, the least loaded upstream seen is used
MAX_PENDING_PROBES = 2  # per pick: one silent upstream must not delay it
MIN_PROBED_WARMTH = 0.5  # from here on a cold upstream that reports idle is used: at most twice its time
QUOTA_BURST = 5.0  # requests a tenant may send at once within its quota
ZERO_VALUE_TIME_SHARE = 0.65  # of the time left, for requests of value 0; the most valuable may use all
BEST_TIME_FALL, BEST_TIME_RISE = 0.1, 0.01  # steps of the best-case latency: down quickly, up slowly
TYPICAL_SAMPLES, TYPICAL_QUANTILE, TYPICAL_TOLERANCE = 15, 0.65, 0.1  # the usual time left of first attempts
EWMA_WEIGHT = 0.2  # weight of a new sample in a moving average: half of it is from the last three
MIN_SAMPLED_LIST, MAX_SAMPLES = 512, 16  # longer lists are sampled; samples before a scan of the whole list
NEVER_ASSIGNED = -1e6  # position of the first upstream: before all that have been assigned a request
COLD_TURN_DUE = float("-inf")  # position of a cold upstream whose turn has come
MAX_CONNECT_FAILURE_RATE = 0.05  # above it, the next few requests keep to open connections
MIN_TIME_SHARE = 0.5  # inner tiers: few are answered with less than this share of the mean latency left
RECHECK_SHARE = 0.02  # of the shortest target latency: waiting requests are rechecked this often
SUSPECT_AFTER_LOSS, SUSPECT_AFTER = 1.0, 2.5  # mean latencies after which a silent attempt is probed
LOSS_THRESHOLD, LOSS_DECAY = 0.1, 0.005  # the first while `recent_loss` is above it; decay per ended attempt
MIN_IN_FLIGHT, MAX_MISSING_REPORTS = 0.5, 2  # so many reports in a row below it: the attempt is lost
LIST_BACKOFF_SHARE = 0.05  # first wait before the list is fetched again, as a share of its maximum age

INCOMPLETE_BODY_WAIT_US = 10_000_000  # for an upstream, while the request's body is still arriving

NEVER_RAN = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
CONNECTION_LOST = (api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
UNSENT = (api.Outcome.NOT_SENT, api.Outcome.CONNECT_FAILED)  # no byte of it reached an upstream


@dataclass(slots=True, eq=False)
class Upstream:
    """What this instance knows of one upstream.  Times are microseconds."""

    id: str
    last_assigned: float  # number of its last assignment here: its position in the order
    endpoint: api.Endpoint
    weight: float = 1.0
    serving: bool = False
    own_in_flight: int = 0  # attempts of this instance
    consecutive_failures: int = 0
    demoted: bool = False  # it comes after every upstream without failures
    ejected_until: int = 0
    next_cold_send_at: int = 0  # while cold, it receives nothing before this time
    eligible_at: int = 0  # while cold, it is not in the order before this time
    takes_cold_turn: bool = False  # and is first in it then, else at a random position
    reported_load: float = 0.0  # requests it holds, by its last report
    reported_at: int = 0
    connected_at: int = -(2**62)  # its last answer: a connection is open until it is idle too long
    order_version: int = 0  # marks its valid entry in the order
    awaiting_probe: list[TrackedRequest] = field(default_factory=list)
    suspect_attempts: list[tuple[TrackedRequest, Attempt]] = field(default_factory=list)  # await a probe too


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one upstream."""

    upstream: Upstream
    sent_at: int
    load_when_sent: float  # requests its upstream reported to hold; below 0 without a report
    outcome: api.Outcome | None = None  # None: still in flight
    answer_started_at: int = 0  # when its answer began to be passed on
    counted: bool = False  # in `own_in_flight`: from the body's last byte to the answer's first
    missing_reports: int = 0  # reports in a row that its upstream holds nothing


@dataclass(slots=True, eq=False)
class TrackedRequest:
    """One request, from its arrival until it has ended and each of its attempts has an outcome."""

    id: str
    request_class: api.RequestClass
    answer_by: int  # when its attempts time out
    target_by: int  # when its target latency is over
    value: float
    expected_work: int  # its hint, or without one a figure common to its class
    earlier: tuple[api.EarlierAttempt, ...] = ()  # of requests before it with the same key
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    max_attempts: int = 0
    done: bool = False
    body_complete: bool = True  # until then `answer_by` limits only the wait for an upstream
    recheck_at: int = 0  # while it waits for an upstream
    probed: list[Upstream] = field(default_factory=list)  # for this pick
    probes_pending: int = 0  # of these, still unanswered
    probed_busy: list[Upstream] = field(default_factory=list)  # of these, answered but not idle

    def may_have_run(self) -> bool:
        """Whether any attempt, of this request or an earlier one with its key, may have had an effect."""
        return bool(self.earlier) or any(a.outcome not in NEVER_RAN for a in self.attempts)


class State:
    """All data that the policy's mixins share; the mixins add methods only."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rng, self.balancers = settings, random.Random(seed), max(1, settings.balancers)
        self.upstreams: dict[str, Upstream] = {}
        self.sample_pool: list[Upstream] = []  # all upstreams and some that were removed, to sample from
        self.requests: dict[str, TrackedRequest] = {}
        self.waiting: dict[str, TrackedRequest] = {}  # requests that no upstream may take now
        self.quotas = {t.name: t.quota_per_s / self.balancers / 1e6 for t in settings.tenants}  # per us
        self.quota_balances: dict[str, tuple[float, int]] = {}  # by tenant: requests left, at which time
        self.recent_time_left: dict[str, deque[int]] = {}  # by class: on arrival, of the latest requests
        self.mean_latency: dict[str, float] = {}  # by class, of answered attempts
        self.heap: list[tuple[bool, float, float, int, Upstream]] = []  # the order: see `_update_order`
        self.assignment_count = self.order_version = self.now = self.last_sent_at = self.list_failures = (
            self.last_timer
        ) = 0
        self.total_weight, self.mean_send_interval = 1.0, float(settings.cold_time)
        affordable = int(MAX_PROBE_COST / max(settings.probe_price, MAX_PROBE_COST / MAX_PROBES_PER_PICK))
        self.max_probes = affordable if settings.probes and affordable > 1 else 0  # one compares nothing
        self._set_classes(settings.classes)
        self.retry_share, self.retry_burst = settings.retry_share, settings.retry_burst
        self.retry_tokens, self.connect_failure_rate, self.recent_loss, self.closing = (
            settings.retry_start,
            0.0,
            0.0,
            False,
        )
        self.best_time_per_work = self.time_per_queued = 0.0
        self.client_deadlines = settings.tier == 0 or not settings.passes_deadline  # not cut by a tier before
        self.last_idle: Upstream | None = None  # the last to answer, if few requests waited there
        self.timers: dict[int, tuple[str, str]] = {}  # by token: kind, and the id of its request or upstream
        self.actions: list[api.Action] = []

    def _set_classes(self, classes: tuple[api.RequestClass, ...]) -> None:
        """Replace the table of classes; what was learned of those that keep their name stays."""
        self.classes = {c.name: c for c in classes}
        self._update_class_limits(list(self.classes.values()))

    def _change_classes(self, changed: tuple[api.RequestClass, ...], removed: tuple[str, ...]) -> None:
        """As `_set_classes` with the whole table, but in time of the change unless an extreme was removed."""
        names = (*removed, *(c.name for c in changed))
        before = [old for name in names if (old := self.classes.pop(name, None)) is not None]
        others_remain = bool(self.classes)
        self.classes.update((c.name, c) for c in changed)
        target, value = self.min_target_latency, self.max_value
        target_stays = any(c.target_latency <= target for c in changed) or all(
            c.target_latency > target for c in before
        )
        value_stays = any(c.value >= value for c in changed) or all(c.value < value for c in before)
        if others_remain and target_stays and value_stays:
            extremes = api.RequestClass("", target, 0, value=value)
            self._update_class_limits([extremes, *changed])
        else:
            self._update_class_limits(list(self.classes.values()))

    def _update_class_limits(self, classes: list[api.RequestClass]) -> None:
        """Derive what follows from the shortest target latency and the highest value."""
        self.min_target_latency = target = min(
            [c.target_latency for c in classes], default=self.settings.cold_time
        )
        self.recheck_interval = max(self.settings.resolution, int(RECHECK_SHARE * target))
        self.max_value = max([c.value for c in classes], default=1.0)
        self.report_max_age, self.max_waiting = (
            (target, 0) if self.max_probes else (self.settings.cold_time, 1)
        )

    def _start_timer(self, delay: int, kind: str, target: str) -> None:
        self.last_timer += 1
        self.timers[self.last_timer] = (kind, target)
        self.actions.append(api.SetTimer(max(delay, self.settings.resolution), self.last_timer))
