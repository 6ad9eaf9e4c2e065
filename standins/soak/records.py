"""What a soak's clients, operator and processes report, and the rules that it is held to.  Pure.

Times are seconds of one steady clock.  The bounds are those of the operators' pages.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

APPLY_TIME_S = 2.0
CONTACT_S = 3.0
NOT_RUN_STATUSES = (408, 421, 429, 503)  # promise that the request has not run and never will
GIVE_UP_S = 20.0  # an operation that is not served for so long is reported


@dataclass(slots=True)
class Attempt:
    """One request of a client."""

    id: str
    key: str  # empty: a read
    proxy: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0  # 0: no answer
    body: bytes = b""


@dataclass(slots=True)
class Operation:
    """What a client wants served: a read, or a keyed operation; tried again until it is."""

    key: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def served(self) -> bool:
        """Whether an attempt was answered with success."""
        return any(one.status == 200 for one in self.attempts)


@dataclass(frozen=True, slots=True)
class Order:
    """An acknowledged order: one route in one version."""

    route: int
    version: int
    acked_at: float


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """An answer to `config.read`: the version of each route."""

    sent_at: float
    versions: dict[int, int]


@dataclass(frozen=True, slots=True)
class Probe:
    """A request on a route of the operator's, at a proxy: its status, 0 if it got no answer."""

    route: int
    proxy: int
    sent_at: float
    status: int


@dataclass(frozen=True, slots=True)
class Trouble:
    """A span in which a machine was disturbed.

    `planned`: by SIGTERM or SIGHUP alone.  `killed`: its process was ended by SIGKILL, at `begin`.
    """

    is_core: bool
    machine: int
    begin: float
    end: float
    planned: bool
    killed: bool = False


@dataclass
class Records:
    """All that was seen in one soak."""

    operations: list[Operation] = field(default_factory=list)
    runs: list[tuple[str, str]] = field(default_factory=list)  # attempt id and key, as upstreams ran them
    orders: list[Order] = field(default_factory=list)
    reads: list[ConfigRead] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    process_faults: list[str] = field(default_factory=list)  # ends and exit codes that nobody asked for

    def in_touch(self, proxy: int, at: float) -> bool:
        """Whether neither this proxy nor the core was disturbed in the last `CONTACT_S`."""
        return not any(
            (one.is_core or one.machine == proxy) and one.begin <= at < one.end + CONTACT_S
            for one in self.troubles
        )


def violations(records: Records) -> list[str]:
    """Each broken rule with what was seen, a line each."""
    return [
        *(f"PROCESS: {text}" for text in records.process_faults),
        *_operations_run_twice(records),
        *_wrong_answers(records.operations),
        *_lost_answers(records),
        *_unserved(records),
        *_old_configuration(records),
        *_routes_not_in_force(records),
    ]


def _operations_run_twice(records: Records) -> Iterator[str]:
    runs = Counter(key for _, key in records.runs if key)
    for key, count in runs.items():
        if count > 1:
            yield f"TWICE: {key} ran {count} times"
    for operation in records.operations:
        if operation.key and operation.served and not runs[operation.key]:
            yield f"TWICE: {operation.key} was answered and never ran"


def _wrong_answers(operations: Iterable[Operation]) -> Iterator[str]:
    """An upstream's body ends with the attempt that it ran."""
    for operation in operations:
        own = {one.id for one in operation.attempts}
        good = [one for one in operation.attempts if one.status == 200]
        for one in good:
            ran = one.body.rpartition(b" ")[2].decode()
            if ran not in own if operation.key else ran != one.id:
                yield f"MIXED: {one.id} got the answer to {ran}"
        if operation.key and len({one.body for one in good}) > 1:
            yield f"MIXED: {operation.key} has two answers"


def _lost_answers(records: Records) -> Iterator[str]:
    """Around planned work of its proxy, and no other trouble: a request that ran has an answer."""
    ran = {attempt for attempt, _ in records.runs}
    for one in (one for operation in records.operations for one in operation.attempts):
        if one.status or one.id not in ran:
            continue
        near = [
            trouble
            for trouble in records.troubles
            if trouble.begin - CONTACT_S < one.ended_at and one.sent_at < trouble.end + CONTACT_S
        ]
        own = [trouble for trouble in near if not trouble.is_core and trouble.machine == one.proxy]
        if own and all(trouble.planned for trouble in near):
            yield f"LOST: {one.id} ran and was not answered at proxy {one.proxy}, {one.sent_at:.3f} s"


def _unserved(records: Records) -> Iterator[str]:
    """A keyed operation may lose its answer with a proxy that was killed or told to stop.

    It may also never run: a proxy that was killed may have claimed its key, and then nobody knows.
    """
    ran = {key for _, key in records.runs if key}
    for operation in records.operations:
        if operation.key and _outcome_unknown(operation, records.troubles):
            continue
        if not operation.served and operation.key not in ran:
            first, last = operation.attempts[0], operation.attempts[-1]
            if last.ended_at - first.sent_at >= GIVE_UP_S:
                yield (
                    f"UNSERVED: {operation.key or first.id} for {last.ended_at - first.sent_at:.1f} s;"
                    f" {_attempts_summary(operation, records.troubles)}"
                )


def _outcome_unknown(operation: Operation, troubles: Iterable[Trouble]) -> bool:
    """Whether a proxy was killed during an attempt, and its client was not told that it has not run."""
    return any(
        trouble.killed
        and not trouble.is_core
        and one.status not in NOT_RUN_STATUSES
        and one.sent_at <= trouble.begin <= one.ended_at
        for one in operation.attempts
        for trouble in troubles
    )


def _attempts_summary(operation: Operation, troubles: Iterable[Trouble]) -> str:
    """How its attempts were answered, and which of the proxies that it asked were disturbed then."""
    statuses = Counter(one.status for one in operation.attempts)
    disturbed = sorted(
        {
            one.proxy
            for one in operation.attempts
            for trouble in troubles
            if not trouble.is_core and not trouble.planned and trouble.machine == one.proxy
            if trouble.begin < one.ended_at and one.sent_at < trouble.end
        }
    )
    return f"answers {dict(statuses)}, disturbed when asked: proxies {disturbed}"


def _old_configuration(records: Records) -> Iterator[str]:
    """Any replica, in touch or not, answers a read with all that was acknowledged `APPLY_TIME_S` before."""
    for read in records.reads:
        for order in records.orders:
            held = read.versions.get(order.route, 0)
            if order.acked_at + APPLY_TIME_S < read.sent_at and held < order.version:
                yield (
                    f"CONFIG: a read at {read.sent_at:.3f} s has route {order.route} in version {held},"
                    f" version {order.version} was acknowledged at {order.acked_at:.3f} s"
                )


def _routes_not_in_force(records: Records) -> Iterator[str]:
    first_ack: dict[int, float] = defaultdict(lambda: float("inf"))
    for order in records.orders:
        first_ack[order.route] = min(first_ack[order.route], order.acked_at)
    for probe in records.probes:
        late = probe.sent_at > first_ack[probe.route] + APPLY_TIME_S
        if late and probe.status == 404 and records.in_touch(probe.proxy, probe.sent_at):
            yield f"CONFIG: proxy {probe.proxy} answers 404 on route {probe.route} at {probe.sent_at:.3f} s"
