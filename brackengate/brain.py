"""Every decision of the balancer.  The types, events and actions are in brackengate/interface.py.

An ordinary call goes to an upstream with none of this copy's own calls in flight, else to the one with
fewest, the earliest assignment breaking ties; failed connections demote: `_order` and `_pick`.  `_may_send`
is the gate of the four rules, `_end` ends a call.  docs/design.md says when each exception acts."""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from brackengate import interface as api

MAX_FAILS = 2  # one failure may be chance; a second in a row is the upstream's own
ABRUPT = 0.2  # of the mean answer time: an error this fast is a failure
REST_CONNECTS = 20  # a rest lasts this many connect time-outs: a try at a dead upstream then costs little
AIM_MARGIN = 0.01  # share of the aim kept for the way back to the client
RETRY_SHARE = 0.2  # retries a call earns: a storm adds at most this much to the load
RETRY_BURST = 5.0  # retries that may be saved up
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
    earlier: tuple[api.Earlier, ...] = ()  # of requests before it under the same key; they may have run
    attempts: list[Attempt] = field(default_factory=list)  # what may have run
    live: int = 0
    done: bool = False
    whole: bool = True  # its body is all there; till then its times are those of a wait for an upstream
    look: int = 0  # when it is looked at again, while it waits
    asked: list[Upstream] = field(default_factory=list)  # probed for this pick
    out: int = 0  # of these, still unanswered
    seen: list[Upstream] = field(default_factory=list)  # of these, answered but busy

    def ran(self) -> bool:
        return bool(self.earlier) or any(a.outcome not in NEVER_RAN for a in self.attempts)


class Balancer:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.rng, self.copies = settings, random.Random(seed), max(1, settings.balancers)
        self.classes = {c.name: c for c in settings.classes}
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
        aim = min([c.aim for c in settings.classes], default=settings.cold_time)
        self.recheck = max(settings.resolution, int(RECHECK * aim))
        affordable = int(PROBE_SPEND / max(settings.probe_price, PROBE_SPEND / PROBE_MOST))
        self.probe_most = affordable if settings.probes and affordable > 1 else 0  # one compares nothing
        self.top_worth = max([c.worth for c in settings.classes], default=1.0)
        self.retries, self.unconnected, self.silent, self.closing = RETRY_BURST, 0.0, 0.0, False
        self.best_time = self.queue_time = 0.0
        self.uncut = settings.tier == 0 or not settings.passes_deadline  # deadlines are the client's
        self.idle: Upstream | None = None  # the last to answer, if few waited there
        self.word_lasts, self.word_waiting = (aim, 0) if self.probe_most else (settings.cold_time, 1)
        self.timers: dict[int, tuple[str, str]] = {}
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Any] = {
            api.Request: self._on_request,
            api.RequestWhole: self._on_whole,
            api.AnswerStarted: self._on_answer,
            api.AttemptEnded: self._on_attempt,
            api.ProbeEnded: self._on_probe,
            api.TimerFired: self._on_timer,
            api.UpstreamList: self._on_list,
            api.ClientGone: lambda event: self._end(self.calls.get(event.request), None),
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.now, self.actions = now, []
        self.handlers.get(type(event), lambda _: None)(event)  # a peer changes nothing
        return self.actions

    def avoided(self) -> int:
        """For the operators' figures: listed upstreams that lose to any sound one, or get nothing at all."""
        return sum(1 for up in self.upstreams.values() if up.demoted or not up.serving)

    def _order(self, up: Upstream) -> None:
        """Idle first, then the fewest own calls for its size, then the earliest assignment."""
        if self.upstreams.get(up.id) is not up:
            return
        up.stamp = self.stamp = self.stamp + 1
        if not up.serving or self.now < max(up.rest_until, up.joins):
            return  # picks do not even look at it; a timer or the list brings it back
        if len(self.heap) > 4 * len(self.upstreams):  # outdated entries at the far end are never met
            self.heap = sorted(entry for entry in self.heap if entry[4].stamp == entry[3])
        busy = up.own > 0 or up.demoted
        count = (up.own + 1) / up.size if busy else 0.0
        heapq.heappush(self.heap, (busy, count, up.last, up.stamp, up))

    def _pick(self, call: Call, most: int, asking: bool = False) -> list[Upstream]:
        """The first `most` upstreams in that order which the gate lets this call go to.

        Exception while connects fail: those with a connection and no own call come alone, if there are any.
        """
        found, passed, linked = list[Upstream](), [], list[Upstream]()
        squeezed, any_linked = self.unconnected > SQUEEZED, False
        while self.heap and (squeezed or len(found) < most):
            entry = heapq.heappop(self.heap)
            up = entry[4]
            if up.stamp == entry[3]:  # else outdated: the upstream has moved in the order
                passed.append(entry)
                open_here = squeezed and up.own == 0 and self.now - up.linked < self.settings.idle_close
                if (open_here or up not in call.asked) and self._may_send(call, up, asking):
                    any_linked = any_linked or open_here
                    if up not in call.asked:
                        (linked if open_here else found).append(up)
        for entry in passed:
            heapq.heappush(self.heap, entry)
        return (linked if any_linked else found)[:most]

    def _place(self, call: Call) -> None:
        """Send the call by the rule; where own counts are all zero, ask a few first."""
        call.asked, call.seen, call.out = [], [], 0
        first = self._pick(call, 1, asking=self.probe_most > 0)
        stay = self._lately_idle(call) if first and first[0].last > TURN else []
        first = stay or first
        if first and (stay or not self._tied(first[0])):
            self._send(call, first[0])
            return
        self._hold(call)
        if first and not call.done:
            self._ask(call)

    def _lately_idle(self, call: Call) -> list[Upstream]:
        """Exception among ties, where answers carry reports: stay with the upstream that answered last if few
        waited there.  Copies that see little of the traffic so settle apart, and off what fails or stalls.
        Where it can ask, only a fresh word saves a probe; where it is blind, old word still beats none.
        """
        up, self.idle = self.idle, None
        if up is None or up.own or up.demoted or self.now - up.heard > self.word_lasts:
            return []  # an own call is there: the ordinary rule decides
        return [up] if not call.attempts and self._may_send(call, up) else []

    def _hold(self, call: Call) -> None:
        """Keep a call that is not out anywhere; it ends here in time, not at the look after that."""
        if self.closing or self.now + self.recheck >= call.answer_by:
            return self._end_unserved(call)
        self.waiting[call.id] = call
        if call.look <= self.now:  # one timer at a time: if each look set two, they would double without end
            call.look = self.now + self.recheck
            self._timer(self.recheck, "look", call.id)

    def _tied(self, up: Upstream) -> bool:
        return self.probe_most > 0 and up.own == 0 and not up.demoted

    def _ask(self, call: Call) -> None:
        room = min(PROBE_WIDTH - call.out, self.probe_most - len(call.asked))
        for up in filter(self._tied, self._pick(call, room, asking=True)):
            call.asked.append(up)
            call.out += 1
            if not up.askers and not up.doubts:
                self.actions.append(api.Probe(up.id))
            up.askers.append(call)
        if call.out < (2 if len(call.asked) >= self.probe_most else 1):  # one may stay silent
            self._settle(call)

    def _settle(self, call: Call) -> None:
        """No upstream said it was idle: go to the least loaded of those that answered."""
        best = [up for up in call.seen if self._may_send(call, up)] or self._pick(call, 1)
        call.asked = []
        best = best or self._pick(call, 1)
        up = min(best, key=lambda up: (up.own, up.demoted, up.load), default=None)
        if up is None:
            self._hold(call)
        elif self._hopeless(call, up.load if up in call.seen else 0.0):
            self._end_unserved(call)
        else:
            self._send(call, up)

    def _on_probe(self, event: api.ProbeEnded) -> None:
        up = self.upstreams.get(event.upstream)
        self._release(event.upstream, up)
        if up is None:
            return
        askers, up.askers, doubts, up.doubts = up.askers, [], up.doubts, []
        if event.outcome is api.Outcome.OK:
            said, up.heard = event.load or api.LoadReport(), self.now
            some = (said.waiting or 0.0) + (said.utilization or 0.0)
            up.load = some if said.in_flight is None else said.in_flight
        elif event.outcome in UNREACHED or event.outcome is api.Outcome.TIMEOUT:
            self._failed(up)
        for call, attempt in doubts:
            self._judge(call, attempt, event.load)
        for call in askers:
            if up not in call.asked or call.id not in self.waiting:
                continue
            call.out = max(0, call.out - 1)
            if event.outcome is api.Outcome.OK:
                call.seen.append(up)
            if call.seen and call.seen[-1] is up and up.load == up.own == 0 and self._may_send(call, up):
                self._send(call, up)
            else:
                self._ask(call)

    def _doubt(self, call: Call) -> None:
        """Exception: ask an upstream after an attempt that has been out for long.

        Its count in flight says whether it holds anything at all.  Guards against what goes silent: a request
        never taken up, a lost answer, a flow that a box in between forgot.  It would wait until its deadline.
        """
        attempt, again = call.attempts[-1], call.cls.idempotency is not api.Idempotency.UNSAFE
        up = attempt.upstream
        if (
            attempt.outcome is None
            and not call.done
            and again
            and up.serving
            and self.probe_most
            and self.settings.cancel
        ):
            if not up.askers and not up.doubts:
                self.actions.append(api.Probe(up.id))
            up.doubts.append((call, attempt))

    def _patience(self, call: Call) -> int:
        """How long an attempt may be out: short once one was lost, as asking has its price."""
        part = ASK_SOON if self.silent > SILENT else ASK_LATE
        return int(part * self.mean_time.get(call.cls.name, 0.0))

    def _judge(self, call: Call, attempt: Attempt, said: api.LoadReport | None) -> None:
        """Give up what is not there, to send it again.

        Harm: where reports lag by more than that, what still runs is sent twice; retries' ration bounds that.
        """
        if attempt.outcome is not None or call.done:
            return
        missing = said is not None and said.in_flight is not None and said.in_flight < NONE_HELD
        attempt.missed = attempt.missed + 1 if missing else 0
        if attempt.missed < MISSED:
            self._timer(self.recheck if missing else self._patience(call), "doubt", call.id)
        elif self.retries >= 1:
            self.silent = 1.0
            self._failed(attempt.upstream, 0)
            self.actions.append(api.CancelAttempt(call.id, call.attempts.index(attempt)))

    def _part(self, call: Call) -> float:
        """Overload: the part of its time that this call may be expected to take; all for the dearest work."""
        return CHEAP_PART + (1 - CHEAP_PART) * call.worth / self.top_worth

    def _hopeless(self, call: Call, ahead: float) -> bool:
        """Overload: what would not be answered in time is refused early, before it holds slots on its way."""
        if self.settings.tier > 0:
            mean = self.mean_time.get(call.cls.name, 0.0)
            if call.aim_by - self.now >= NO_HOPE * mean:
                return False
            self.mean_time[call.cls.name] = mean * (1 - FROM_BEST)
            return True
        expected = self.best_time * call.hint + self.queue_time * ahead
        if expected <= self._part(call) * (call.aim_by - self.now):
            return False
        self.queue_time *= 1 - FROM_BEST  # with none sent, nothing is learned: look again some day
        return True

    def _learn_time(self, call: Call, attempt: Attempt) -> None:
        taken = (attempt.answered or self.now) - attempt.sent
        if attempt.outcome is api.Outcome.OK:
            mean = self.mean_time.get(call.cls.name, float(taken))
            self.mean_time[call.cls.name] = mean + LEARN * (taken - mean)
        if attempt.outcome in (api.Outcome.OK, api.Outcome.TIMEOUT):
            if attempt.ahead > 0:
                each = max(0.0, taken - self.best_time * call.hint) / attempt.ahead
                self.queue_time += LEARN * (each - self.queue_time)
            elif attempt.ahead == 0 and attempt.outcome is api.Outcome.OK:
                # What it takes at best: a mean would let one slow call stop all calls, and so all learning.
                off = taken / call.hint - self.best_time
                self.best_time += off * (TO_BEST if off < 0 else FROM_BEST)

    def _may_send(self, call: Call, up: Upstream, asking: bool = False) -> bool:
        if call.done or self.now >= call.answer_by or len(call.attempts) >= self.settings.max_attempts:
            return False  # rule 1
        for attempt in call.attempts:  # rule 2
            if attempt.outcome not in NEVER_RAN and not self._drops(
                call, attempt.upstream.row, attempt.sent, up
            ):
                return False
        for earlier in call.earlier:
            if not self._drops(call, earlier.row, earlier.sent, up):
                return False
        if not up.serving or self.now < up.rest_until:  # rule 3, and rests
            return False
        if self.now >= up.cold_next:
            return True  # rule 4: a cold one in its turn, else only while it says it is idle
        idle = up.own == 0 and (asking or (up.load == 0 and up.heard == self.now))
        return idle and self._warmth(up) >= WARM_ENOUGH

    def _drops(self, call: Call, one: api.Endpoint, sent: int, up: Upstream) -> bool:
        """Rule 2: whether what may have run at `one` does no harm here."""
        scope, other = call.cls.key_scope, up.row
        if call.cls.idempotency is api.Idempotency.REPEATABLE:
            return True
        late = self.now - sent + self.settings.resolution >= call.cls.key_memory
        if call.cls.idempotency is api.Idempotency.UNSAFE or late:
            return False
        if scope is api.KeyScope.ZONE:
            return one.zone == other.zone and bool(one.zone)
        return scope is not api.KeyScope.CELL or one.cell == other.cell >= 0

    def _send(self, call: Call, up: Upstream) -> None:
        """The only place that sends."""
        if not self._may_send(call, up):
            self._hold(call)
            return
        self.waiting.pop(call.id, None)
        up.last = self.assigned = self.assigned + 1
        call.attempts.append(Attempt(up, self.now, up.load if up in call.seen else -1.0))
        self._count(call.attempts[-1], call.whole)
        call.live += 1
        self.gap, self.sent_at = self.gap + LEARN * (self.now - self.sent_at - self.gap), self.now
        self._pace_cold(up, 0.5, 1.5)
        self._order(up)
        if call.cls.name in self.mean_time and call.whole:
            self._timer(self._patience(call), "doubt", call.id)
        self.actions.append(api.Send(call.id, up.id, call.answer_by))

    def _count(self, attempt: Attempt, on: bool) -> None:
        """A body on its way, either way, is no work that its upstream has."""
        attempt.upstream.own += on - attempt.counts
        attempt.counts = on

    def _pace_cold(self, up: Upstream, low: float, high: float) -> None:
        """All copies together send a cold upstream the part of a warm one's calls that it is sure to bear."""
        cold = up.row.started_at + self.settings.cold_time - self.now  # how long it stays cold
        if up.row.started_at > 0 and cold > 0:
            # Wait until its warmth, rising evenly, adds up to one own turn: that turn it takes first of all.
            # Once warm, or half warm where it can be asked, it has a random place: else copies would herd.
            warmth, rise = self._warmth(up), (1 - self.settings.cold_share) / self.settings.cold_time
            turn = self.gap * self.sizes / up.size * 3 / self.settings.fall_multiple
            wait = ((warmth**2 + 2 * rise * turn * self.rng.uniform(low, high)) ** 0.5 - warmth) / rise
            up.cold_next = self.now + int(min(wait, cold))
            asked = max(0.0, (WARM_ENOUGH - warmth) / rise) if self.probe_most else cold
            up.joins, up.its_turn = self.now + int(min(wait, cold, asked)), wait < min(cold, asked)
            if up.joins > self.now:
                self._timer(up.joins - self.now, "join", up.id)

    def _warmth(self, up: Upstream) -> float:
        """The part of its capacity that an upstream is sure to have."""
        age = (self.now - up.row.started_at) / self.settings.cold_time
        return min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * max(0.0, age))

    def _on_request(self, event: api.Request) -> None:
        left = event.deadline - self.now  # a class the settings do not name gets the most careful handling
        cls = self.classes.get(event.class_name) or api.RequestClass(event.class_name, left, left)
        aim_by = answer_by = event.deadline - self.settings.resolution
        if self.uncut:  # else the aim is in the deadline
            aim = min(cls.aim + int(cls.aim_stretch * event.work_hint), cls.deadline)
            recent = self.time_left.setdefault(cls.name, deque(maxlen=USUAL_OF))
            recent.append(left)
            usual = sorted(recent)[int(USUAL_RANK * len(recent))]
            unusual = abs(left - usual) > USUAL_BAND * usual and not self.settings.marks_retry
            spent = cls.deadline - left if event.is_retry or unusual else 0  # a last try has all that is left
            aim_by = min(answer_by, self.now + aim - spent - int(AIM_MARGIN * aim))
        answer_by = aim_by if cls.late_worth <= 0 and not cls.stream else answer_by
        quota, worth = self.quotas.get(event.tenant, 0.0), cls.worth
        if quota > 0:  # only of tenants that the settings name: what callers name has no end
            saved, then = self.shares.get(event.tenant, (SHARE_BURST, self.now))
            saved = min(SHARE_BURST, saved + quota * (self.now - then))
            worth *= self.settings.over_share_worth if saved < 1 else 1.0  # as far as this copy can tell
            self.shares[event.tenant] = (max(0.0, saved - 1), self.now)
        call = Call(event.request, cls, answer_by, aim_by, worth, max(1, event.work_hint or cls.aim))
        call.earlier, call.whole = event.earlier, event.whole
        if not call.whole:
            call.answer_by = call.aim_by = self.now + OPEN_WAIT
        self.calls[call.id] = call
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        if self.now >= answer_by or self._hopeless(call, 0.0):
            self._end_unserved(call)
        else:
            self._place(call)

    def _on_whole(self, event: api.RequestWhole) -> None:
        """Its body has come: what is out can run from here on, and its time begins."""
        call = self.calls.get(event.request)
        if call is None or call.whole:
            return
        call.whole = True
        call.aim_by = call.answer_by = event.deadline - self.settings.resolution
        if self.uncut and call.cls.late_worth <= 0:
            aim = self.now + int((1 - AIM_MARGIN) * call.cls.aim)
            call.aim_by = call.answer_by = min(call.answer_by, aim)
        for attempt in call.attempts:
            if attempt.outcome is None:
                attempt.sent = self.now
                self._count(attempt, True)
                self._order(attempt.upstream)
                if call.cls.name in self.mean_time:
                    self._timer(self._patience(call), "doubt", call.id)

    def _on_answer(self, event: api.AnswerStarted) -> None:
        """Its answer has begun: no other attempt is wanted, and this one goes on as long as it gives."""
        call = self.calls.get(event.request)
        if call is None or call.done or event.attempt >= len(call.attempts):
            return
        attempt = call.attempts[event.attempt]
        call.done, attempt.answered = True, self.now
        self._count(attempt, False)
        self._order(attempt.upstream)
        self.waiting.pop(call.id, None)
        self._cancel_others(call, event.attempt)

    def _cancel_others(self, call: Call, but: int = -1) -> None:
        for number, attempt in enumerate(call.attempts):
            if attempt.outcome is None and number != but and self.settings.cancel:
                self.actions.append(api.CancelAttempt(call.id, number))

    def _on_attempt(self, event: api.AttemptEnded) -> None:
        call = self.calls.get(event.request)
        attempt = call.attempts[event.attempt] if call and event.attempt < len(call.attempts) else None
        if call is None or attempt is None or attempt.outcome is not None:
            return
        up, attempt.outcome = attempt.upstream, event.outcome
        call.live -= 1
        self._count(attempt, False)
        no_connection = event.outcome is api.Outcome.CONNECT_FAILED
        self.unconnected += LEARN * (no_connection - self.unconnected)
        if event.outcome in UNREACHED:
            up.linked = -(2**62)
        elif event.outcome in (api.Outcome.OK, api.Outcome.ERROR):
            up.linked = self.now
        self._release(up.id, up)
        self.silent *= 1 - FORGET
        self._learn_time(call, attempt)
        if event.outcome is api.Outcome.OK:
            up.fails, up.demoted = 0, False
            if event.load is not None:
                up.heard = self.now
                self.idle = up if round(event.load.waiting or 0.0) <= self.word_waiting else None
        elif (event.outcome in UNREACHED and not event.stale) or self._abrupt(call, attempt):
            self._failed(up)
        self._order(up)
        if event.request_ended:
            self._end(call, None)
        elif not call.done and not call.live:
            unsafe = call.cls.idempotency is api.Idempotency.UNSAFE and call.ran()
            if (
                self.retries < 1
                or unsafe
                or not event.again
                or len(call.attempts) >= self.settings.max_attempts
            ):
                self._end_unserved(call)
            else:
                self.retries -= 1
                self._place(call)
        if call.done and not call.live:
            self.calls.pop(call.id, None)

    def _abrupt(self, call: Call, attempt: Attempt) -> bool:
        """It had time enough; an upstream that errs at once looks idle and would draw every call."""
        mean = self.mean_time.get(call.cls.name, 0.0) if attempt.outcome is api.Outcome.ERROR else 0.0
        return self.now - attempt.sent < ABRUPT * mean < mean < call.answer_by - self.now

    def _failed(self, up: Upstream, counts: int = 1) -> None:
        """A failure demotes; MAX_FAILS in a row make it rest."""
        up.fails += counts
        up.demoted = True
        rest = REST_CONNECTS * self.settings.connect_timeout
        if up.fails >= MAX_FAILS:
            up.rest_until = self.now + rest
        self._timer(rest, "return", up.id)
        self._order(up)

    def _end_unserved(self, call: Call) -> None:
        """Refuse where the rules let it be claimed and the client would come back anyway, else fail."""
        keyed_all = call.cls.idempotency is api.Idempotency.KEYED and call.cls.key_scope is api.KeyScope.ALL
        anyway = call.cls.idempotency is api.Idempotency.REPEATABLE or keyed_all
        if anyway or (not call.ran() and (not call.whole or self.now + self.recheck < call.answer_by)):
            self._end(call, api.Refuse(call.id, self.settings.max_retry_after))
        else:
            self._end(call, api.Fail(call.id))

    def _end(self, call: Call | None, answer: api.Action | None) -> None:
        """The only place that ends a request; `answer` is None when it has ended already."""
        if call is None or call.done:
            return
        call.done = True
        self.waiting.pop(call.id, None)
        self.actions += [answer] if answer is not None else []
        self._cancel_others(call)
        if not call.live:
            self.calls.pop(call.id, None)

    def _on_list(self, event: api.UpstreamList) -> None:
        self.closing = event.last
        self.asks_failed = self.asks_failed + 1 if event.kind is api.ListKind.BROKEN else 0
        if event.kind in (api.ListKind.BROKEN, api.ListKind.CACHED) and self.settings.list_on_request:
            wait = self.settings.ask_within * min(0.5, ASK_BACKOFF * 2 ** min(self.asks_failed, 10))
            self._timer(int(wait * self.rng.uniform(0.1, 1.0)), "watch", "")  # not all copies at once
        rows = list(event.endpoints)
        if event.kind in (api.ListKind.FULL, api.ListKind.CACHED):
            named = {row.upstream for row in rows}
            for gone in [up for up in self.upstreams.values() if up.id not in named]:
                self._forget(gone)
            self.rng.shuffle(rows)  # never-used upstreams come in a random order at each copy
        for row in rows:
            self._learn(row)
        self.sizes = sum(up.size for up in self.upstreams.values())
        for call in [call for call in self.waiting.values() if self.closing or not call.asked]:
            self._place(call)

    def _learn(self, row: api.Endpoint) -> None:
        up = self.upstreams.get(row.upstream)
        if row.state is api.Lifecycle.GONE:
            return self._forget(up) if up is not None else None
        fresh = up is None or up.row.started_at != row.started_at
        if up is None:
            up = self.upstreams[row.upstream] = Upstream(row.upstream, self._random_place(), row)
            self.drawn.append(up)
        up.row, up.size = row, max(row.weight, 1e-3)
        up.serving = row.state is api.Lifecycle.SERVING
        if fresh:  # every copy learns of it at once: each enters at a random time of its own
            self._pace_cold(up, 0.0, 1.0)
        self._order(up)
        self._release(up.id, up)

    def _random_place(self) -> float:
        """Next behind a random other: before them all, it would take the next call of every copy at once."""
        if len(self.drawn) > 2 * len(self.upstreams):  # half of it has gone
            self.drawn = list(self.upstreams.values())
        for _ in range(LOOKS if len(self.drawn) > LONG_LIST else 0):  # a walk for each row would be quadratic
            up = self.rng.choice(self.drawn)
            if up.last > TURN and self.upstreams.get(up.id) is up:
                return up.last + self.rng.random()
        places = [up.last for up in self.upstreams.values() if up.last > TURN]
        return (self.rng.choice(places) if places else NEVER_USED) + self.rng.random()

    def _forget(self, up: Upstream) -> None:
        up.serving, up.stamp = False, -1
        self.upstreams.pop(up.id, None)
        self._release(up.id, up)

    def _release(self, upstream: str, up: Upstream | None) -> None:
        """Rule 5: close idle connections to a leaving upstream, on the notice and at each later outcome."""
        if self.settings.release_within > 0 and (up is None or not up.serving):
            self.actions.append(api.Release(upstream))

    def _timer(self, delay: int, what: str, which: str) -> None:
        self.tokens += 1
        self.timers[self.tokens] = (what, which)
        self.actions.append(api.SetTimer(max(delay, self.settings.resolution), self.tokens))

    def _on_timer(self, event: api.TimerFired) -> None:
        what, which = self.timers.pop(event.token, ("", ""))
        if what == "look" and which in self.waiting:
            call = self.waiting[which]
            self._hold(call)
            if call.asked and not call.done:  # those still out are silent, perhaps a whole zone: ask others
                call.out = 0
                self._ask(call)
            elif not call.done:
                self._place(call)
        elif what == "doubt" and which in self.calls:
            self._doubt(self.calls[which])
        elif what == "watch":
            self.actions.append(api.WatchList(True))
        elif which in self.upstreams:
            up = self.upstreams[which]
            if what == "join" and self.now >= up.joins:
                up.last = TURN if up.its_turn else self._random_place()
            elif what == "return" and self.now >= up.rest_until:
                up.demoted = False
            self._order(up)
