"""What a balancer knows, and the figures that its decisions go by."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from brackengate import interface as api

MAX_FAILS = 2  # one failure may be chance; a second in a row is the upstream's own
ABRUPT = 0.2  # of the mean answer time: an error this fast is a failure
REST_CONNECTS = 20  # a rest lasts this many connect time-outs: a try at a dead upstream then costs little
AIM_MARGIN = 0.01  # share of the aim kept for the way back to the client
MOST_TRIES = 8  # attempts of any kind, where those that ended unsent are free
PROBE_SPEND = 0.016  # the most one pick may spend on probes, as a share of a request's worth
PROBE_MOST = 8  # probes a pick sends before it settles for the least loaded seen
PROBE_WIDTH = 2  # probes a pick has out at once: one silent upstream must not hold it up
WARM_ENOUGH = 0.5  # a cold upstream that says it is idle is used from here on: twice its time at the most
SHARE_BURST = 5.0  # calls a tenant may send at once within its share
CHEAP_PART = 0.65  # of the time left is open to work of no worth: dear work gets all of it
TO_BEST, FROM_BEST = 0.1, 0.01  # steps of the time an answer takes at best: down quickly, up slowly
USUAL_OF, USUAL_RANK, USUAL_BAND = 15, 0.65, 0.1  # where repeats are unmarked: first tries have time alike
LEARN = 0.2  # weight of a new figure in an average: half of it is from the last three
LONG_LIST, LOOKS = 512, 16  # upstreams from which on one is drawn, and draws before all are looked through
NEVER_USED = -1e6  # place in the order of the first upstream: before all that have been used
TURN = float("-inf")  # place in the order of a cold upstream whose turn has come
SQUEEZED = 0.05  # of lately ended attempts got no connection: the next few calls keep to open ones
NO_HOPE = 0.5  # inner tiers: with less of the mean answer time than this left, few calls are answered
RECHECK = 0.02  # calls that are held are looked at again after this share of the shortest aim
ASK_SOON, ASK_LATE = 1.0, 2.5  # of the mean answer time: an attempt out for longer is asked after
SILENT, FORGET = 0.1, 0.005  # soon, while the memory of the last one lost, less by this at each end, is more
NONE_HELD, MISSED = 0.5, 2  # this many counts in flight in a row under this: what is out will not be answered
ASK_BACKOFF = 0.05  # first wait before asking for the list, as a share of the time allowed between asks

OPEN_WAIT = 10_000_000  # a request whose body is still coming waits this long for an upstream that takes it

NEVER_RAN = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT)
UNREACHED = (api.Outcome.CONNECT_FAILED, api.Outcome.RESET)
UNSENT = (api.Outcome.NOT_SENT, api.Outcome.CONNECT_FAILED)  # nothing of it has come to an upstream


@dataclass(slots=True, eq=False)
class Upstream:
    """What this copy knows of one upstream."""

    id: str
    last: float  # number of its last assignment here
    row: api.Endpoint
    size: float = 1.0
    serving: bool = False
    own: int = 0  # own calls in flight
    fails: int = 0
    demoted: bool = False
    rest_until: int = 0
    cold_next: int = 0  # while cold, nothing goes there before this time
    joins: int = 0  # while cold, it is not in the order before this time
    its_turn: bool = False  # and is first in it then, else at a random place
    load: float = 0.0  # calls it holds, as far as it last reported
    heard: int = 0  # when that was
    linked: int = -(2**62)  # when it last answered: until it is idle too long, a connection is open
    stamp: int = 0  # marks its valid entry in the order
    askers: list[Call] = field(default_factory=list)  # calls that await its probe
    doubts: list[tuple[Call, Attempt]] = field(default_factory=list)  # attempts that await it


@dataclass(slots=True, eq=False)
class Attempt:
    upstream: Upstream
    sent: int
    ahead: float  # calls it held when sent, by its report; below 0 if there was none
    outcome: api.Outcome | None = None  # None: still out
    answered: int = 0  # when its answer began to be passed on
    counts: bool = False  # among its upstream's own calls: from the body's last byte to the answer's first
    missed: int = 0  # words in a row that its upstream holds nothing


@dataclass(slots=True, eq=False)
class Call:
    """One request, from its arrival until its ending and the last outcome of its attempts."""

    id: str
    cls: api.RequestClass
    answer_by: int
    aim_by: int
    worth: float
    hint: int  # its work, or where none is given a figure common to its class
    earlier: tuple[
        api.EarlierAttempt, ...
    ] = ()  # of requests before it under the same key; they may have run
    attempts: list[Attempt] = field(default_factory=list)  # what may have run
    live: int = 0
    most: int = 0  # attempts it may have in all
    done: bool = False
    whole: bool = True  # its body is all there; till then its times are those of a wait for an upstream
    look: int = 0  # when it is looked at again, while it waits
    asked: list[Upstream] = field(default_factory=list)  # probed for this pick
    out: int = 0  # of these, still unanswered
    seen: list[Upstream] = field(default_factory=list)  # of these, answered but busy

    def ran(self) -> bool:
        return bool(self.earlier) or any(a.outcome not in NEVER_RAN for a in self.attempts)


class State:
    """All that the concerns share.  Each is a class on top of those it needs, and adds no data of its own."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rng, self.copies = settings, random.Random(seed), max(1, settings.balancers)
        self.upstreams: dict[str, Upstream] = {}
        self.drawn: list[Upstream] = []  # all of them, and some that have gone, to draw one from
        self.calls: dict[str, Call] = {}
        self.waiting: dict[str, Call] = {}  # calls that no upstream may take now
        self.quotas = {t.name: t.quota_per_s / self.copies / 1e6 for t in settings.tenants}
        self.shares: dict[str, tuple[float, int]] = {}  # by tenant: calls it may send yet, as of a time
        self.time_left: dict[str, deque[int]] = {}  # by class: on arrival, of the latest calls
        self.mean_time: dict[str, float] = {}  # by class: what answered attempts took
        self.heap: list[tuple[bool, float, float, int, Upstream]] = []
        self.assigned = self.stamp = self.now = self.sent_at = self.asks_failed = self.tokens = 0
        self.sizes, self.gap = 1.0, float(settings.cold_time)  # of all upstreams; mean time between own sends
        affordable = int(PROBE_SPEND / max(settings.probe_price, PROBE_SPEND / PROBE_MOST))
        self.probe_most = affordable if settings.probes and affordable > 1 else 0  # one compares nothing
        self._use(settings.classes)
        self.retry_share, self.retry_burst = settings.retry_share, settings.retry_burst
        self.retries, self.unconnected, self.silent, self.closing = settings.retry_start, 0.0, 0.0, False
        self.best_time = self.queue_time = 0.0
        self.uncut = settings.tier == 0 or not settings.passes_deadline  # deadlines are the client's
        self.idle: Upstream | None = None  # the last to answer, if few waited there
        self.timers: dict[int, tuple[str, str]] = {}
        self.actions: list[api.Action] = []

    def _use(self, classes: tuple[api.RequestClass, ...]) -> None:
        """Go by these classes; what was learned of those that keep their name stays."""
        self.classes = {c.name: c for c in classes}
        self._scale_by(list(self.classes.values()))

    def _change_classes(self, changed: tuple[api.RequestClass, ...], gone: tuple[str, ...]) -> None:
        """As `_use` with all of them, at the cost of the change where it takes no extreme away."""
        names = (*gone, *(c.name for c in changed))
        before = [held for name in names if (held := self.classes.pop(name, None)) is not None]
        rest = bool(self.classes)
        self.classes.update((c.name, c) for c in changed)
        aim, worth = self.least_aim, self.top_worth
        aim_stays = any(c.target_latency <= aim for c in changed) or all(
            c.target_latency > aim for c in before
        )
        worth_stays = any(c.value >= worth for c in changed) or all(c.value < worth for c in before)
        if rest and aim_stays and worth_stays:
            extremes = api.RequestClass("", aim, 0, value=worth)
            self._scale_by([extremes, *changed])
        else:
            self._scale_by(list(self.classes.values()))

    def _scale_by(self, classes: list[api.RequestClass]) -> None:
        """Times and worths that follow the tightest and the dearest class."""
        self.least_aim = aim = min([c.target_latency for c in classes], default=self.settings.cold_time)
        self.recheck = max(self.settings.resolution, int(RECHECK * aim))
        self.top_worth = max([c.value for c in classes], default=1.0)
        self.word_lasts, self.word_waiting = (aim, 0) if self.probe_most else (self.settings.cold_time, 1)

    def _timer(self, delay: int, what: str, which: str) -> None:
        self.tokens += 1
        self.timers[self.tokens] = (what, which)
        self.actions.append(api.SetTimer(max(delay, self.settings.resolution), self.tokens))
