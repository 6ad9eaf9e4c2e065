"""The operators' rules, checked on what callers, upstreams and operators recorded and on the injected faults.

Nothing of the checked program is imported here: a checker that shared its code would share its faults.
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

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # each promises that the request was not run
PLANNED_EVENTS = ("term", "left")  # SIGTERM and an orderly exit
SECOND_US = 1_000_000
ACK_TIMEOUT_US, ACK_TIMEOUT_PER_ROUTE_US = 4_000_000, 3_000


@dataclass(slots=True)
class Attempt:
    """One attempt of a client: what was sent, when (us), and to the proxy at which address."""

    sent_at: int
    request: int
    route: str
    kind: str
    key: str
    ip: str
    service: str
    request_text: str


@dataclass(slots=True)
class _MachineStates:
    """Which machines were down, paused, impaired (disk or network) or partitioned at one time."""

    down: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    impaired: set[str] = field(default_factory=set)
    members: set[str] = field(default_factory=set)  # started and not permanently removed
    partitions: dict[tuple[str, str], int] = field(default_factory=dict)

    def copy(self) -> _MachineStates:
        return _MachineStates(
            set(self.down), set(self.paused), set(self.impaired), set(self.members), dict(self.partitions)
        )

    def connected(self, one: str, other: str) -> bool:
        return not self.partitions.get((one, other)) and not self.partitions.get((other, one))


class Connectivity:
    """Which machines were in contact when ("in touch" in the operators' documentation).

    All times and `contact`, the time without events that is required, are in microseconds.
    """

    def __init__(self, records: Sequence[Record], contact: int) -> None:
        self._contact = contact
        self._core_events: list[int] = []
        self._machine_events: dict[str, list[int]] = defaultdict(list)
        self._unplanned_events: list[int] = []
        self._state_times: list[int] = [-1]
        state = _MachineStates()
        self._states = [state]
        names = {str(of[0]) for _, what, of in records if what == "up"}
        state.down = set(names)
        for when, what, of in records:
            if what not in _MACHINE_EVENTS:
                continue
            state = state.copy()
            name = str(of[0])
            if what in ("cut", "joined"):
                pair = (name, str(of[1]))
                state.partitions[pair] = state.partitions.get(pair, 0) + (1 if what == "cut" else -1)
                for one in pair:
                    self._machine_events[one].append(when)
                if pair[0][0] == pair[1][0] == "l":
                    self._core_events.append(when)
            else:
                self._machine_events[name].append(when)
                if name[0] == "l":
                    self._core_events.append(when)
                if what in ("down", "power", "left"):
                    state.down.add(name)
                    state.paused.discard(name)
                elif what == "up":
                    state.down.discard(name)
                    if name[0] == "l":
                        state.members.add(name)
                elif what == "removed":
                    state.members.discard(name)
                elif what in ("frozen", "thawed"):
                    (state.paused.add if what == "frozen" else state.paused.discard)(name)
                elif what in ("sick", "well"):
                    (state.impaired.add if what == "sick" else state.impaired.discard)(name)
            if what not in (*PLANNED_EVENTS, "up"):
                self._unplanned_events.append(when)
            self._state_times.append(when)
            self._states.append(state)

    def _any_within(self, times: list[int], since: int, until: int) -> bool:
        return bisect_right(times, until) > bisect_right(times, since)

    def _state_at(self, when: int) -> _MachineStates:
        return self._states[bisect_right(self._state_times, when) - 1]

    def has_unplanned(self, since: int, until: int) -> bool:
        """Whether an event other than an orderly stop or a start occurred after `since`, up to `until`."""
        return self._any_within(self._unplanned_events, since, until)

    def core_is_stable(self, when: int) -> bool:
        """Whether the control plane had a healthy majority and no event for the contact time."""
        if self._any_within(self._core_events, when - self._contact, when):
            return False
        return bool(self._majority(self._state_at(when)))

    def _majority(self, state: _MachineStates) -> list[str]:
        """The running replicas that reach more than half of the core; none while any machine is impaired."""
        if state.impaired:
            return []
        running = [one for one in sorted(state.members) if one not in state.down and one not in state.paused]
        half = len(state.members) / 2
        return [one for one in running if sum(state.connected(one, other) for other in running) > half]

    def in_contact(self, name: str, when: int) -> bool:
        """Whether the core was stable and the machine healthy and reachable by it for the contact time."""
        if not self.core_is_stable(when) or self._any_within(
            self._machine_events[name], when - self._contact, when
        ):
            return False
        state = self._state_at(when)
        if name in state.down or name in state.paused or name in state.impaired:
            return False
        return all(state.connected(name, one) for one in self._majority(state))


_MACHINE_EVENTS = frozenset(
    "up down left term power frozen thawed cut joined sick well clock removed reset".split()
)


class History:
    """The records of a run, grouped by kind. Times are in microseconds of simulated time."""

    def __init__(self, records: Sequence[Record], limits: Limits, names: dict[str, str], last: int) -> None:
        """`names`: machine names by address.  `last`: time of the end of the request traffic."""
        self.records, self.limits, self.names, self.last = records, limits, names, last
        self.connectivity = Connectivity(records, int(limits.contact))
        self.attempts: dict[str, Attempt] = {}
        self.runs: list[tuple[int, str, str, str, str, str, str]] = []
        self.arrivals: list[tuple[int, str, str, str]] = []
        self.results: dict[str, tuple[str, str, str]] = {}  # by seal: upstream, attempt, body
        self.outcomes: list[tuple[int, str, object, str, str, bool]] = []
        self.versions: dict[str, list[Version]] = defaultdict(list)
        self._route_versions: dict[str, RouteVersions] = {}
        self.changes: dict[int, list[Version]] = defaultdict(list)
        self.drains: dict[str, tuple[int, str]] = {}
        self.upstream_ips: dict[str, str] = {}
        self.reads: list[tuple[int, dict[str, tuple[int, tuple[str, ...]]]]] = []
        self.sigterms: dict[str, list[int]] = defaultdict(list)
        self.process_starts: dict[str, list[int]] = defaultdict(list)
        self.replies: dict[int, list[tuple[int, int]]] = defaultdict(list)  # by change: time, status
        self.may_be_refused: set[int] = set()  # changes exempt from the ACKS check
        self.closing_at = self.restored_at = 0
        for when, what, of in records:
            match what, of:
                case "asked", (str(a), int(n), str(r), str(k), str(key), str(ip), str(service), str(sent)):
                    self.attempts[a] = Attempt(when, n, r, k, key, ip, service, sent)
                case "ran", (str(u), str(p), str(a), str(key), str(caller), str(sent)):
                    self.runs.append((when, u, p, a, key, caller, sent))
                case "arrived", (str(u), str(p), str(a)):
                    self.arrivals.append((when, u, p, a))
                case "done", (str(u), str(a), str(seal), str(body)):
                    self.results[seal] = (u, a, body)
                case "ended", (str(a), outcome, str(seal), str(body), bool(more)):
                    self.outcomes.append((when, a, outcome, seal, body, more))
                case "offers", (int(call), str(name), int(number), tuple(services), bool(valid)):
                    version = Version(number, tuple(map(str, services)), when, valid)
                    self.versions[name].append(version)
                    self.changes[call].append(version)
                case "acked", (int(call),):
                    for one in self.changes.get(call, ()):  # a change without routes has no versions
                        one.acked_at = when if one.acked_at is None else one.acked_at
                case "said", (int(call), int(status)):
                    self.replies[call].append((when, status))
                case "may be refused", (int(call),):
                    self.may_be_refused.add(call)
                case "drains", (str(u), str(ip)):
                    self.drains[u] = (when, ip)
                case "begins", (str(u), _, str(ip)):
                    self.upstream_ips[u] = ip
                case "read", (tuple(held), int(since)):
                    self.reads.append((since, {n: (v, tuple(s)) for n, v, s in held}))
                case "term", (str(name),):
                    self.sigterms[name].append(when)
                case "up", (str(name),):
                    self.process_starts[name].append(when)
                case "closing", _:
                    self.closing_at = when
                case "back", _:
                    self.restored_at = when

    def in_contact(self, ip: str, *times: int) -> bool:
        """Whether the machine at `ip` was in contact at each of the times."""
        return all(self.connectivity.in_contact(self.names[ip], when) for when in times)

    def possible_versions(self, route: str, sent: int, until: int) -> list[Version]:
        """The versions that may be in force for a request on a machine in contact; version 0: no route."""
        apply_time = int(self.limits.apply_time)
        versions = self.route_versions(route)
        lowest = versions.highest_acked(sent - apply_time)
        found = versions.offered_from(lowest, until)
        return found if lowest else [*found, NO_VERSION]

    def route_versions(self, route: str) -> RouteVersions:
        """The versions of a route. Call it only once the recording is complete."""
        found = self._route_versions.get(route)
        if found is None:
            found = self._route_versions[route] = RouteVersions(self.versions[route])
        return found


def in_force(same: Iterable[Version]) -> list[Version]:
    """Of the versions under one number, those that may be in force: the acknowledged ones, else all."""
    versions = list(same)
    return [one for one in versions if one.acked_at is not None] or versions


# --- the rules


def mixed(history: History) -> Broken:
    """A client gets an answer that is not the one to its own request, or bytes that are no answer."""
    violations = Broken("MIXED")
    first: dict[str, str] = {}  # by key: the seal of its first run
    seals = {attempt_id: seal for seal, (_, attempt_id, _) in history.results.items()}
    for _, _, _, attempt_id, key, _, _ in history.runs:
        if key and key not in first and attempt_id in seals:
            first[key] = seals[attempt_id]
    for when, attempt_id, outcome, seal, body, more in history.outcomes:
        if more:
            violations.at(when, f"{attempt_id}: bytes behind its answer")
        if outcome == "no answer":
            violations.at(when, f"{attempt_id}: bytes that are no answer")
        if not isinstance(outcome, int) or not 200 <= outcome < 300:
            continue
        done, attempt = history.results.get(seal), history.attempts[attempt_id]
        if done is None or done[2] != body:
            violations.at(when, f"{attempt_id}: a success that no upstream gave: seal {seal!r}")
        elif not attempt.key and done[1] != attempt_id:
            violations.at(when, f"{attempt_id}: the answer to {done[1]}")
        elif attempt.key and first.get(attempt.key) != seal:
            violations.at(
                when,
                f"{attempt_id}: key {attempt.key} ran first with seal {first.get(attempt.key)}, not {seal}",
            )
    return violations


def unasked(history: History) -> Broken:
    """An upstream runs a request that no client sent, or sent differently, or from another service."""
    violations = Broken("UNASKED")
    for when, upstream, _, attempt_id, key, caller, sent in history.runs:
        attempt = history.attempts.get(attempt_id)
        if attempt is None:
            violations.at(when, f"{upstream} runs {attempt_id!r}, which nobody sent")
        elif attempt.request_text != sent or attempt.key != key:
            violations.at(
                when, f"{upstream} runs {attempt_id} as {sent!r}, sent was {attempt.request_text!r}"
            )
        elif attempt.service != caller:
            violations.at(
                when, f"{upstream} runs {attempt_id} for {caller!r}; it began beside {attempt.service}"
            )
    return violations


def twice(history: History) -> Broken:
    """An effectful attempt runs twice, or a key runs again within the deduplication window."""
    violations = Broken("TWICE")
    ran: dict[str, str] = {}
    keys: dict[str, tuple[int, str, str]] = {}  # by key: send time, id and upstream of its first run
    window = int(history.limits.dedupe_window)
    for when, upstream, _, attempt_id, key, _, _ in history.runs:
        attempt = history.attempts.get(attempt_id)
        if attempt is None:
            continue
        if attempt.kind == "effectful":
            if attempt_id in ran:
                violations.at(when, f"{attempt_id} runs at {upstream}, and ran at {ran[attempt_id]}")
            ran[attempt_id] = upstream
        if key:
            if key in keys and when < keys[key][0] + window:
                _, before, there = keys[key]
                violations.at(when, f"key {key}: {attempt_id} runs at {upstream}, {before} ran at {there}")
            else:
                keys[key] = (attempt.sent_at, attempt_id, upstream)
    return violations


def refused(history: History) -> Broken:
    """A request was answered that it did not run, and ran."""
    violations = Broken("REFUSED")
    ran = {attempt_id: (when, upstream) for when, upstream, _, attempt_id, _, _, _ in history.runs}
    for when, attempt_id, outcome, _, _, _ in history.outcomes:
        if (
            outcome in NOT_EXECUTED_STATUSES
            and attempt_id in ran
            and history.attempts[attempt_id].kind in ("effectful", "keyed")
        ):
            at, upstream = ran[attempt_id]
            violations.at(
                when, f"{attempt_id} is answered {outcome}, and runs at {upstream} at {at / 1e6:.3f} s"
            )
    return violations


def denied(history: History) -> Broken:
    """Requests get a 3xx or 4xx answer although their route exists; a few (5, and 1 in 500) are tolerated."""
    violations = Broken("DENIED")
    candidates: list[tuple[int, str]] = []
    for when, attempt_id, outcome, _, _, _ in history.outcomes:
        if (
            not isinstance(outcome, int)
            or not 300 <= outcome < 500
            or outcome in (*NOT_EXECUTED_STATUSES, 409)
        ):
            continue
        attempt = history.attempts[attempt_id]
        allowed = history.possible_versions(attempt.route, attempt.sent_at, when)
        if all(one.services for one in allowed) and history.in_contact(attempt.ip, attempt.sent_at, when):
            candidates.append((when, f"{attempt_id} on {attempt.route} is answered {outcome}"))
    if len(candidates) > 5 + len(history.attempts) / 500:
        for when, what in candidates:
            violations.at(when, what)
    return violations


def route(history: History) -> Broken:
    """A request runs at a service that no version of its route has named so far."""
    violations = Broken("ROUTE")
    for when, upstream, service, attempt_id, _, _, _ in history.runs:
        attempt = history.attempts.get(attempt_id)
        if (
            attempt is not None
            and history.route_versions(attempt.route).allowing(service).range_until(when) is None
        ):
            violations.at(when, f"{attempt_id} on {attempt.route} runs at {upstream} of {service}")
    return violations


def drain(history: History) -> Broken:
    """A request reaches an upstream that has been draining for longer than the drain time."""
    violations = Broken("DRAIN")
    drain_time = int(history.limits.drain)
    for when, upstream, _, attempt_id in history.arrivals:
        drained = history.drains.get(upstream)
        attempt = history.attempts.get(attempt_id)
        if drained is None or attempt is None or when <= drained[0] + drain_time:
            continue
        since, ip = drained
        if history.in_contact(ip, since, when) and history.in_contact(attempt.ip, attempt.sent_at, when):
            violations.at(when, f"{attempt_id} reaches {upstream}, draining since {since / 1e6:.3f} s")
    return violations


def config(history: History) -> Broken:
    """A proxy uses a version that is stale after `Apply_time` or older than before; or an invalid change is
    acknowledged.
    """
    violations = Broken("CONFIG")
    for call, items in history.changes.items():
        for one in items:
            if not one.valid and one.acked_at is not None:
                violations.at(one.acked_at, f"call {call} is invalid, and acknowledged")
    handled: list[tuple[int, str, str, bool]] = [
        (when, attempt_id, service, True)
        for when, _, service, attempt_id, _, _, _ in history.runs
        if attempt_id in history.attempts
    ]
    handled += [
        (when, attempt_id, "", False)
        for when, attempt_id, outcome, _, _, _ in history.outcomes
        if outcome == 404
    ]
    shown: dict[
        tuple[str, int, str], tuple[int, int]
    ] = {}  # by proxy incarnation and route: lowest version in use, and when
    for when, attempt_id, service, ran in sorted(handled):
        attempt = history.attempts[attempt_id]
        version_range = (
            history.route_versions(attempt.route).allowing(service if ran else "").range_until(when)
        )
        if version_range is None:
            if not ran and history.in_contact(attempt.ip, attempt.sent_at, when):
                violations.at(when, f"{attempt_id} on {attempt.route} is answered 404")
            continue
        lowest, highest = version_range
        possible = {one.number for one in history.possible_versions(attempt.route, attempt.sent_at, when)}
        if highest < min(possible) and history.in_contact(attempt.ip, attempt.sent_at, when):
            what = f"runs at {service}" if ran else "is answered 404"
            violations.at(when, f"{attempt_id} on {attempt.route} {what}, as only version {highest} has it")
        starts = history.process_starts[history.names[attempt.ip]]
        incarnation = (attempt.ip, bisect_right(starts, attempt.sent_at), attempt.route)
        before = shown.get(incarnation)
        if (
            before is not None
            and highest < before[0]
            and attempt.sent_at > before[1] + int(history.limits.regress_slack)
        ):
            violations.at(
                when, f"{attempt_id} on {attempt.route} goes back to {highest}; {before[0]} was in force"
            )
        if ran and (before is None or lowest > before[0]):
            shown[incarnation] = (lowest, when)
    return violations


def read_back(history: History) -> Broken:
    """The configuration read at the end lacks a change acknowledged before the read, or holds one never sent.

    Reported as LOST after a closing fault, else as CONFIG.
    """
    violations = Broken("LOST" if history.closing_at else "CONFIG")
    if not history.reads:
        violations.at(history.last, "nothing is read back")
        return violations
    when, held = history.reads[-1]
    for name, versions in history.versions.items():
        valid = [one for one in versions if one.valid]
        acked = max(
            (one.number for one in valid if one.acked_at is not None and one.acked_at <= when), default=0
        )
        number, services = held.get(name, (0, ()))
        if number:
            sent = in_force(one for one in valid if one.number == number)
            if not any(set(one.services) == set(services) for one in sent):
                violations.at(when, f"{name} is read back as version {number}, {services}, which nobody sent")
            elif number < acked:
                violations.at(when, f"{name} is read back as version {number}; {acked} was acknowledged")
        elif acked and not any(not one.services and one.number >= acked for one in valid):
            violations.at(when, f"{name} is missing; version {acked} was acknowledged")
    return violations


def lost(history: History) -> Broken:
    """Around a SIGTERM, the connection of a request that reached an upstream ends without an answer."""
    violations = Broken("LOST")
    reached = {attempt_id for _, _, _, attempt_id in history.arrivals}
    span = int(history.limits.grace) + SECOND_US
    for when, attempt_id, outcome, _, _, _ in history.outcomes:
        attempt = history.attempts[attempt_id]
        terms = history.sigterms[history.names[attempt.ip]]
        if outcome not in ("closed", "broken") or attempt_id not in reached:
            continue
        if any(term <= when <= term + span for term in terms) and not history.connectivity.has_unplanned(
            attempt.sent_at - int(history.limits.contact), when
        ):
            violations.at(
                when,
                f"{attempt_id}: its connection to {history.names[attempt.ip]} ends ({outcome}) unanswered",
            )
    return violations


def budget(history: History) -> Broken:
    """Repeated arrivals at a service exceed the retry ratio within a window."""
    violations = Broken("BUDGET")
    window, limits = int(history.limits.retry_window), history.limits
    arrived: set[str] = set()
    extra: dict[str, list[int]] = defaultdict(list)
    for when, _, service, attempt_id in history.arrivals:
        if attempt_id in arrived:
            extra[service].append(when)
        arrived.add(attempt_id)
    services_of: dict[str, set[str]] = {
        name: {target for one in versions if one.valid for target in one.services}
        for name, versions in history.versions.items()
    }
    for service, times in extra.items():
        sent_times = [
            one.sent_at for one in history.attempts.values() if service in services_of.get(one.route, ())
        ]
        for number, until in enumerate(times):
            count = number + 1 - bisect_right(times, until - window)
            requests = max(
                bisect_right(sent_times, end) - bisect_right(sent_times, end - window)
                for end in (until, until - window // 2, until - window)
            )
            if count > limits.retry_ratio * requests + limits.retry_slack:
                violations.at(until, f"{service}: {count} further arrivals for {requests} requests")
                break
    return violations


def recover(history: History) -> Broken:
    """After a closing fault and the recovery time, less than a quarter of the requests is served.

    Checked only if at least a quarter was served before.
    """
    violations = Broken("RECOVER")
    if not history.closing_at:
        return violations
    served = {
        attempt_id
        for _, attempt_id, outcome, _, _, _ in history.outcomes
        if isinstance(outcome, int) and 200 <= outcome < 300
    }

    def served_share(since: int, until: int) -> float:
        sent = [
            a for a, one in history.attempts.items() if one.kind != "probe" and since <= one.sent_at < until
        ]
        return sum(a in served for a in sent) / len(sent) if sent else -1.0

    check_from = history.restored_at + int(history.limits.recovery)
    if check_from < history.last and served_share(0, history.closing_at) >= 0.25:
        after = served_share(check_from, history.last)
        if after < 0.25:
            violations.at(
                check_from, f"after the closing fault {max(0.0, after):.2f} of the requests are served"
            )
    return violations


def acks(history: History) -> Broken:
    """A valid change gets no acknowledgement in time although the core was stable.

    Stability is sampled when the change is first sent, 1 s later and at the end of the time limit.
    """
    violations = Broken("ACKS")
    for call, items in history.changes.items():
        first = items[0]
        until = first.offered_at + ACK_TIMEOUT_US + ACK_TIMEOUT_PER_ROUTE_US * len(items)
        if (
            not first.valid
            or call in history.may_be_refused
            or until > history.last
            or (first.acked_at is not None and first.acked_at <= until)
        ):
            continue
        if any(status == 200 and when <= until for when, status in history.replies[call]):
            continue  # it was acknowledged, and the acknowledgement was lost on its way
        if all(
            history.connectivity.core_is_stable(when)
            for when in (first.offered_at, first.offered_at + SECOND_US, until)
        ):
            violations.at(until, f"call {call} is not acknowledged")
    return violations


def no_crash(history: History) -> Broken:
    """A coroutine of a process ended with an exception."""
    violations = Broken("no crash")
    for when, what, of in history.records:
        if what == "crashed":
            violations.at(when, str(of[0]))
    return violations


def check_history(history: History) -> list[Broken]:
    """The result of every rule, broken or not; results of one rule name are added up."""
    rules = (mixed, unasked, twice, refused, denied, route, drain, config, read_back, lost, budget)
    found: dict[str, Broken] = {}
    change_rules = (
        order_checks.confirmed_twice,
        order_checks.refused_again,
        order_checks.outdated_after_start,
    )
    for one in (
        *(rule(history) for rule in (*rules, *change_rules)),
        recover(history),
        acks(history),
        no_crash(history),
    ):
        merged = found.setdefault(one.rule, one)
        if merged is not one:
            merged.count += one.count
            merged.words += one.words
    return list(found.values())
