"""The operators' rules, on what callers, upstreams and operators saw and on what was done to machines.

Nothing of what is checked is imported here: a checker that shared its code would share its faults.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from brackengate.emulator.checks import Broken, Record
from brackengate.emulator.mesh import order_checks
from brackengate.emulator.mesh.scenario import Limits
from brackengate.emulator.mesh.versions import NO_VERSION, RouteVersions, Version

PROMISES = (408, 421, 429, 503)
PLANNED = ("term", "left")
ONE = 1_000_000
ACK, ACK_FOR_A_ROUTE = 4_000_000, 3_000


@dataclass(slots=True)
class Asked:
    """One try of a client."""

    at: int
    number: int
    route: str
    kind: str
    key: str
    ip: str
    plant: str
    sent: str


@dataclass(slots=True)
class _State:
    down: set[str] = field(default_factory=set)
    frozen: set[str] = field(default_factory=set)
    sick: set[str] = field(default_factory=set)
    core: set[str] = field(default_factory=set)  # that has come and not gone for good
    cuts: dict[tuple[str, str], int] = field(default_factory=dict)

    def copy(self) -> _State:
        return _State(set(self.down), set(self.frozen), set(self.sick), set(self.core), dict(self.cuts))

    def path(self, one: str, other: str) -> bool:
        return not self.cuts.get((one, other)) and not self.cuts.get((other, one))


class Touch:
    """Which machines were in touch when, as the rules' page says it."""

    def __init__(self, records: Sequence[Record], contact: int) -> None:
        self._contact = contact
        self._core_events: list[int] = []
        self._own: dict[str, list[int]] = defaultdict(list)
        self._unplanned: list[int] = []
        self._times: list[int] = [-1]
        state = _State()
        self._states = [state]
        names = {str(of[0]) for _, what, of in records if what == "up"}
        state.down = set(names)
        for when, what, of in records:
            if what not in _EVENTS:
                continue
            state = state.copy()
            name = str(of[0])
            if what in ("cut", "joined"):
                pair = (name, str(of[1]))
                state.cuts[pair] = state.cuts.get(pair, 0) + (1 if what == "cut" else -1)
                for one in pair:
                    self._own[one].append(when)
                if pair[0][0] == pair[1][0] == "l":
                    self._core_events.append(when)
            else:
                self._own[name].append(when)
                if name[0] == "l":
                    self._core_events.append(when)
                if what in ("down", "power", "left"):
                    state.down.add(name)
                    state.frozen.discard(name)
                elif what == "up":
                    state.down.discard(name)
                    if name[0] == "l":
                        state.core.add(name)
                elif what == "removed":
                    state.core.discard(name)
                elif what in ("frozen", "thawed"):
                    (state.frozen.add if what == "frozen" else state.frozen.discard)(name)
                elif what in ("sick", "well"):
                    (state.sick.add if what == "sick" else state.sick.discard)(name)
            if what not in (*PLANNED, "up"):
                self._unplanned.append(when)
            self._times.append(when)
            self._states.append(state)

    def _within(self, times: list[int], since: int, until: int) -> bool:
        return bisect_right(times, until) > bisect_right(times, since)

    def _state(self, when: int) -> _State:
        return self._states[bisect_right(self._times, when) - 1]

    def unplanned(self, since: int, until: int) -> bool:
        return self._within(self._unplanned, since, until)

    def settled(self, when: int) -> bool:
        if self._within(self._core_events, when - self._contact, when):
            return False
        return bool(self._most(self._state(when)))

    def _most(self, state: _State) -> list[str]:
        """The running core machines that reach more than half of the core; none where some are slowed."""
        if state.sick:
            return []
        running = [one for one in sorted(state.core) if one not in state.down and one not in state.frozen]
        half = len(state.core) / 2
        return [one for one in running if sum(state.path(one, other) for other in running) > half]

    def in_touch(self, name: str, when: int) -> bool:
        if not self.settled(when) or self._within(self._own[name], when - self._contact, when):
            return False
        state = self._state(when)
        if name in state.down or name in state.frozen or name in state.sick:
            return False
        return all(state.path(name, one) for one in self._most(state))


_EVENTS = frozenset("up down left term power frozen thawed cut joined sick well clock removed reset".split())


class History:
    """The records, sorted by what they are about."""

    def __init__(self, records: Sequence[Record], limits: Limits, names: dict[str, str], last: int) -> None:
        """`names`: machines by address.  `last`: when requests ended."""
        self.records, self.limits, self.names, self.last = records, limits, names, last
        self.touch = Touch(records, int(limits.contact))
        self.asked: dict[str, Asked] = {}
        self.ran: list[tuple[int, str, str, str, str, str, str]] = []
        self.arrived: list[tuple[int, str, str, str]] = []
        self.done: dict[str, tuple[str, str, str]] = {}  # by seal: upstream, attempt, body
        self.ended: list[tuple[int, str, object, str, str, bool]] = []
        self.versions: dict[str, list[Version]] = defaultdict(list)
        self._of_route: dict[str, RouteVersions] = {}
        self.calls: dict[int, list[Version]] = defaultdict(list)
        self.drains: dict[str, tuple[int, str]] = {}
        self.home: dict[str, str] = {}  # of upstreams
        self.reads: list[tuple[int, dict[str, tuple[int, tuple[str, ...]]]]] = []
        self.terms: dict[str, list[int]] = defaultdict(list)
        self.lives: dict[str, list[int]] = defaultdict(list)
        self.replies: dict[int, list[tuple[int, int]]] = defaultdict(list)  # to an order: when, status
        self.may_be_refused: set[int] = set()  # orders whose acknowledgement the gate does not ask for
        self.closing = self.back = 0
        for when, what, of in records:
            match what, of:
                case "asked", (str(a), int(n), str(r), str(k), str(key), str(ip), str(plant), str(sent)):
                    self.asked[a] = Asked(when, n, r, k, key, ip, plant, sent)
                case "ran", (str(u), str(p), str(a), str(key), str(caller), str(sent)):
                    self.ran.append((when, u, p, a, key, caller, sent))
                case "arrived", (str(u), str(p), str(a)):
                    self.arrived.append((when, u, p, a))
                case "done", (str(u), str(a), str(seal), str(body)):
                    self.done[seal] = (u, a, body)
                case "ended", (str(a), how, str(seal), str(body), bool(more)):
                    self.ended.append((when, a, how, seal, body, more))
                case "offers", (int(call), str(name), int(number), tuple(services), bool(sound)):
                    made = Version(number, tuple(map(str, services)), when, sound)
                    self.versions[name].append(made)
                    self.calls[call].append(made)
                case "acked", (int(call),):
                    for one in self.calls.get(call, ()):  # an order without routes offers none
                        one.acked = when if one.acked is None else one.acked
                case "said", (int(call), int(status)):
                    self.replies[call].append((when, status))
                case "may be refused", (int(call),):
                    self.may_be_refused.add(call)
                case "drains", (str(u), str(ip)):
                    self.drains[u] = (when, ip)
                case "begins", (str(u), _, str(ip)):
                    self.home[u] = ip
                case "read", (tuple(held), int(since)):
                    self.reads.append((since, {n: (v, tuple(s)) for n, v, s in held}))
                case "term", (str(name),):
                    self.terms[name].append(when)
                case "up", (str(name),):
                    self.lives[name].append(when)
                case "closing", _:
                    self.closing = when
                case "back", _:
                    self.back = when

    def calm(self, ip: str, *times: int) -> bool:
        return all(self.touch.in_touch(self.names[ip], when) for when in times)

    def may(self, route: str, sent: int, until: int) -> list[Version]:
        """The versions that may be in force for a request on a calm machine; version 0: none."""
        apply_time = int(self.limits.apply_time)
        versions = self.of_route(route)
        least = versions.highest_acked(sent - apply_time)
        found = versions.offered_from(least, until)
        return found if least else [*found, NO_VERSION]

    def of_route(self, route: str) -> RouteVersions:
        """Its versions; asked for only when all is recorded."""
        found = self._of_route.get(route)
        if found is None:
            found = self._of_route[route] = RouteVersions(self.versions[route])
        return found


def in_force(same: Iterable[Version]) -> list[Version]:
    """Of the versions under one number, those that may be in force: the acknowledged one, else any."""
    versions = list(same)
    return [one for one in versions if one.acked is not None] or versions


# --- the rules


def mixed(seen: History) -> Broken:
    broken = Broken("MIXED")
    first: dict[str, str] = {}  # the seal of each key's run
    seals = {attempt: seal for seal, (_, attempt, _) in seen.done.items()}
    for _, _, _, attempt, key, _, _ in seen.ran:
        if key and key not in first and attempt in seals:
            first[key] = seals[attempt]
    for when, attempt, how, seal, body, more in seen.ended:
        if more:
            broken.at(when, f"{attempt}: bytes behind its answer")
        if how == "no answer":
            broken.at(when, f"{attempt}: bytes that are no answer")
        if not isinstance(how, int) or not 200 <= how < 300:
            continue
        done, asked = seen.done.get(seal), seen.asked[attempt]
        if done is None or done[2] != body:
            broken.at(when, f"{attempt}: a success that no upstream gave: seal {seal!r}")
        elif not asked.key and done[1] != attempt:
            broken.at(when, f"{attempt}: the answer to {done[1]}")
        elif asked.key and first.get(asked.key) != seal:
            broken.at(
                when, f"{attempt}: key {asked.key} ran first with seal {first.get(asked.key)}, not {seal}"
            )
    return broken


def unasked(seen: History) -> Broken:
    broken = Broken("UNASKED")
    for when, upstream, _, attempt, key, caller, sent in seen.ran:
        asked = seen.asked.get(attempt)
        if asked is None:
            broken.at(when, f"{upstream} runs {attempt!r}, which nobody sent")
        elif asked.sent != sent or asked.key != key:
            broken.at(when, f"{upstream} runs {attempt} as {sent!r}, sent was {asked.sent!r}")
        elif asked.plant != caller:
            broken.at(when, f"{upstream} runs {attempt} for {caller!r}; it began beside {asked.plant}")
    return broken


def twice(seen: History) -> Broken:
    broken = Broken("TWICE")
    ran: dict[str, str] = {}
    keys: dict[str, tuple[int, str, str]] = {}  # when its first try was sent, which, and where it ran
    window = int(seen.limits.dedupe_window)
    for when, upstream, _, attempt, key, _, _ in seen.ran:
        asked = seen.asked.get(attempt)
        if asked is None:
            continue
        if asked.kind == "effectful":
            if attempt in ran:
                broken.at(when, f"{attempt} runs at {upstream}, and ran at {ran[attempt]}")
            ran[attempt] = upstream
        if key:
            if key in keys and when < keys[key][0] + window:
                _, before, there = keys[key]
                broken.at(when, f"key {key}: {attempt} runs at {upstream}, {before} ran at {there}")
            else:
                keys[key] = (asked.at, attempt, upstream)
    return broken


def refused(seen: History) -> Broken:
    broken = Broken("REFUSED")
    ran = {attempt: (when, upstream) for when, upstream, _, attempt, _, _, _ in seen.ran}
    for when, attempt, how, _, _, _ in seen.ended:
        if how in PROMISES and attempt in ran and seen.asked[attempt].kind in ("effectful", "keyed"):
            at, upstream = ran[attempt]
            broken.at(when, f"{attempt} is answered {how}, and runs at {upstream} at {at / 1e6:.3f} s")
    return broken


def denied(seen: History) -> Broken:
    broken = Broken("DENIED")
    words: list[tuple[int, str]] = []
    for when, attempt, how, _, _, _ in seen.ended:
        if not isinstance(how, int) or not 300 <= how < 500 or how in (*PROMISES, 409):
            continue
        asked = seen.asked[attempt]
        allowed = seen.may(asked.route, asked.at, when)
        if all(one.services for one in allowed) and seen.calm(asked.ip, asked.at, when):
            words.append((when, f"{attempt} on {asked.route} is answered {how}"))
    if len(words) > 5 + len(seen.asked) / 500:
        for when, what in words:
            broken.at(when, what)
    return broken


def route(seen: History) -> Broken:
    broken = Broken("ROUTE")
    for when, upstream, plant, attempt, _, _, _ in seen.ran:
        asked = seen.asked.get(attempt)
        if asked is not None and seen.of_route(asked.route).allowing(plant).until(when) is None:
            broken.at(when, f"{attempt} on {asked.route} runs at {upstream} of {plant}")
    return broken


def drain(seen: History) -> Broken:
    broken = Broken("DRAIN")
    least = int(seen.limits.drain)
    for when, upstream, _, attempt in seen.arrived:
        told = seen.drains.get(upstream)
        asked = seen.asked.get(attempt)
        if told is None or asked is None or when <= told[0] + least:
            continue
        since, ip = told
        if seen.calm(ip, since, when) and seen.calm(asked.ip, asked.at, when):
            broken.at(when, f"{attempt} reaches {upstream}, draining since {since / 1e6:.3f} s")
    return broken


def config(seen: History) -> Broken:
    """Stale after `Apply_time`, or going back; an invalid one acknowledged."""
    broken = Broken("CONFIG")
    for call, items in seen.calls.items():
        for one in items:
            if not one.sound and one.acked is not None:
                broken.at(one.acked, f"call {call} is invalid, and acknowledged")
    handled: list[tuple[int, str, str, bool]] = [
        (when, attempt, plant, True) for when, _, plant, attempt, _, _, _ in seen.ran if attempt in seen.asked
    ]
    handled += [(when, attempt, "", False) for when, attempt, how, _, _, _ in seen.ended if how == 404]
    shown: dict[tuple[str, int, str], tuple[int, int]] = {}  # life and route: least version shown, and when
    for when, attempt, plant, ran in sorted(handled):
        asked = seen.asked[attempt]
        allows = seen.of_route(asked.route).allowing(plant if ran else "").until(when)
        if allows is None:
            if not ran and seen.calm(asked.ip, asked.at, when):
                broken.at(when, f"{attempt} on {asked.route} is answered 404")
            continue
        least, newest = allows
        may = {one.number for one in seen.may(asked.route, asked.at, when)}
        if newest < min(may) and seen.calm(asked.ip, asked.at, when):
            what = f"runs at {plant}" if ran else "is answered 404"
            broken.at(when, f"{attempt} on {asked.route} {what}, as only version {newest} has it")
        lives = seen.lives[seen.names[asked.ip]]
        life = (asked.ip, bisect_right(lives, asked.at), asked.route)
        before = shown.get(life)
        if (
            before is not None
            and newest < before[0]
            and asked.at > before[1] + int(seen.limits.regress_slack)
        ):
            broken.at(when, f"{attempt} on {asked.route} goes back to {newest}; {before[0]} was in force")
        if ran and (before is None or least > before[0]):
            shown[life] = (least, when)
    return broken


def read_back(seen: History) -> Broken:
    """What was acknowledged before it was asked, read back at the end.

    After a closing fault what is missing is LOST.
    """
    broken = Broken("LOST" if seen.closing else "CONFIG")
    if not seen.reads:
        broken.at(seen.last, "nothing is read back")
        return broken
    when, held = seen.reads[-1]
    for name, versions in seen.versions.items():
        sound = [one for one in versions if one.sound]
        acked = max((one.number for one in sound if one.acked is not None and one.acked <= when), default=0)
        number, services = held.get(name, (0, ()))
        if number:
            sent = in_force(one for one in sound if one.number == number)
            if not any(set(one.services) == set(services) for one in sent):
                broken.at(when, f"{name} is read back as version {number}, {services}, which nobody sent")
            elif number < acked:
                broken.at(when, f"{name} is read back as version {number}; {acked} was acknowledged")
        elif acked and not any(not one.services and one.number >= acked for one in sound):
            broken.at(when, f"{name} is missing; version {acked} was acknowledged")
    return broken


def lost(seen: History) -> Broken:
    """Around a SIGTERM, a request that an upstream has got ends with no answer."""
    broken = Broken("LOST")
    reached = {attempt for _, _, _, attempt in seen.arrived}
    span = int(seen.limits.grace) + ONE
    for when, attempt, how, _, _, _ in seen.ended:
        asked = seen.asked[attempt]
        terms = seen.terms[seen.names[asked.ip]]
        if how not in ("closed", "broken") or attempt not in reached:
            continue
        if any(term <= when <= term + span for term in terms) and not seen.touch.unplanned(
            asked.at - int(seen.limits.contact), when
        ):
            broken.at(when, f"{attempt}: its connection to {seen.names[asked.ip]} ends ({how}) unanswered")
    return broken


def budget(seen: History) -> Broken:
    broken = Broken("BUDGET")
    window, limits = int(seen.limits.retry_window), seen.limits
    begun: set[str] = set()
    extra: dict[str, list[int]] = defaultdict(list)
    for when, _, plant, attempt in seen.arrived:
        if attempt in begun:
            extra[plant].append(when)
        begun.add(attempt)
    goes: dict[str, set[str]] = {
        name: {service for one in versions if one.sound for service in one.services}
        for name, versions in seen.versions.items()
    }
    for plant, times in extra.items():
        asked = [one.at for one in seen.asked.values() if plant in goes.get(one.route, ())]
        for number, until in enumerate(times):
            count = number + 1 - bisect_right(times, until - window)
            requests = max(
                bisect_right(asked, end) - bisect_right(asked, end - window)
                for end in (until, until - window // 2, until - window)
            )
            if count > limits.retry_ratio * requests + limits.retry_slack:
                broken.at(until, f"{plant}: {count} further arrivals for {requests} requests")
                break
    return broken


def recover(seen: History) -> Broken:
    broken = Broken("RECOVER")
    if not seen.closing:
        return broken
    served = {attempt for _, attempt, how, _, _, _ in seen.ended if isinstance(how, int) and 200 <= how < 300}

    def share(since: int, until: int) -> float:
        some = [a for a, one in seen.asked.items() if one.kind != "probe" and since <= one.at < until]
        return sum(a in served for a in some) / len(some) if some else -1.0

    from_ = seen.back + int(seen.limits.recovery)
    if from_ < seen.last and share(0, seen.closing) >= 0.25:
        after = share(from_, seen.last)
        if after < 0.25:
            broken.at(from_, f"after the closing fault {max(0.0, after):.2f} of the requests are served")
    return broken


def acks(seen: History) -> Broken:
    """The gate's: a sound order without an acknowledgement, while the core was settled all along."""
    broken = Broken("ACKS")
    for call, items in seen.calls.items():
        first = items[0]
        until = first.offered + ACK + ACK_FOR_A_ROUTE * len(items)
        if (
            not first.sound
            or call in seen.may_be_refused
            or until > seen.last
            or (first.acked is not None and first.acked <= until)
        ):
            continue
        if any(status == 200 and when <= until for when, status in seen.replies[call]):
            continue  # it was acknowledged, and the word of it was lost on its way
        if all(seen.touch.settled(when) for when in (first.offered, first.offered + ONE, until)):
            broken.at(until, f"call {call} is not acknowledged")
    return broken


def no_crash(seen: History) -> Broken:
    broken = Broken("no crash")
    for when, what, of in seen.records:
        if what == "crashed":
            broken.at(when, str(of[0]))
    return broken


def check_history(seen: History) -> list[Broken]:
    """Every rule, broken or not."""
    rules = (mixed, unasked, twice, refused, denied, route, drain, config, read_back, lost, budget)
    found: dict[str, Broken] = {}
    orders = (order_checks.confirmed_twice, order_checks.refused_again, order_checks.outdated_after_start)
    for one in (*(rule(seen) for rule in (*rules, *orders)), recover(seen), acks(seen), no_crash(seen)):
        whole = found.setdefault(one.rule, one)
        if whole is not one:
            whole.count += one.count
            whole.words += one.words
    return list(found.values())
