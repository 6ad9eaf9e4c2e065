"""What is read off a run as one figure, and against which size: the slopes of the page.  Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from benchmarks.scale.results import Claims, RoleLoad, Run
from benchmarks.scale.slopes import Line, Target, fit

Points = list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Measure:
    """`points`: of one run, (size, value).  `target`: the size at the target."""

    name: str
    unit: str
    size: str  # what is counted along
    points: Callable[[Run], Points]
    target: Callable[[Target], float]


@dataclass(frozen=True, slots=True)
class Slope:
    measure: Measure
    line: Line
    at_target: float


def proxies(target: Target) -> float:
    return target.proxies


def followers(target: Target) -> float:
    """Of one replica, evenly dealt."""
    return target.proxies / target.replicas


def replicas(loads: Iterable[RoleLoad]) -> list[RoleLoad]:
    """Of those that hold a seat."""
    return [one for one in loads if one.role in ("head", "middle", "tail")]


def role(loads: Iterable[RoleLoad], name: str) -> RoleLoad:
    return next(one for one in loads if one.role == name)


def mean_cpu(loads: Iterable[RoleLoad], name: str) -> float:
    """0 where nobody has that role: a chain of two has no middle."""
    used = [one.cpu for one in loads if one.role == name]
    return sum(used) / max(1, len(used))


def of_followers(value: Callable[[RoleLoad], float]) -> Callable[[Run], Points]:
    """At rest, by followers of each replica."""
    return lambda run: [(one.followers, value(one)) for one in replicas(run.rest.roles)]


def of_proxies(value: Callable[[Run], float]) -> Callable[[Run], Points]:
    return lambda run: [(run.proxies, value(run))]


def change_cost(run: Run) -> Points:
    """Processor milliseconds of each replica for one change, over what it uses at rest."""
    return [
        (one.followers, (one.cpu - mean_cpu(run.rest.roles, one.role)) / run.news.changes_per_s * 1e3)
        for one in replicas(run.news.roles)
    ]


def claim_cost(run: Run, name: str) -> float:
    """Processor microseconds of a role for one claim at saturation, over what it uses at rest."""
    used = mean_cpu(run.most_claims.roles, name) - mean_cpu(run.rest.roles, name)
    return used / max(1.0, run.most_claims.per_s) * 1e6


def claims_each_commit(claims: Claims) -> float:
    return claims.per_s / max(1.0, role(claims.roles, "head").commits)


def middle(values: Sequence[float]) -> float:
    return sorted(values)[len(values) // 2]


def by_followers(name: str, unit: str, value: Callable[[RoleLoad], float]) -> Measure:
    return Measure(name, unit, "followers", of_followers(value), followers)


def by_proxies(name: str, unit: str, value: Callable[[Run], float]) -> Measure:
    return Measure(name, unit, "proxies", of_proxies(value), proxies)


def rest(name: str, run: Run) -> RoleLoad:
    return role(run.rest.roles, name)


MEASURES = (
    by_followers("replica, processor at rest", "% of a core", lambda one: one.cpu * 100),
    by_followers("replica, memory at its peak", "MB", lambda one: one.peak_mb),
    by_followers("replica, messages out at rest", "a second", lambda one: one.messages_out),
    by_followers("replica, bytes out at rest", "a second", lambda one: one.bytes_out),
    by_followers("replica, messages to replicas at rest", "a second", lambda one: one.core_messages_out),
    by_followers("replica, bytes to replicas at rest", "a second", lambda one: one.core_bytes_out),
    by_followers("replica, commits at rest", "a second", lambda one: one.commits),
    Measure("replica, processor for one change", "ms", "followers", change_cost, followers),
    by_proxies("real proxy, processor at rest", "% of a core", lambda run: rest("proxy", run).cpu * 100),
    by_proxies("real proxy, memory at its peak", "MB", lambda run: rest("proxy", run).peak_mb),
    by_proxies("hollow proxy, processor at rest", "% of a core", lambda run: rest("hollow", run).cpu * 100),
    by_proxies("hollow proxy, datagrams in", "a second", lambda run: run.rest.datagrams_in),
    by_proxies("bytes to one proxy that starts anew", "bytes", lambda run: run.restart.bytes_each),
    by_proxies("hollow proxy, processor for its start", "ms", lambda run: run.restart.hollow_cpu_s * 1e3),
    by_proxies("all start anew, until the last knows all", "ms", lambda run: run.restart.last_ms),
    by_proxies("a change, until its acknowledgement", "ms", lambda run: middle(run.news.acknowledged_ms)),
    by_proxies("a change, from there to the last proxy", "ms", lambda run: middle(run.news.last_proxy_ms)),
    by_proxies("a death, until the last proxy suspects it", "ms", lambda run: middle(run.suspicion.last_ms)),
)


def slopes(runs: Sequence[Run], target: Target) -> list[Slope]:
    """A line for each measure that was taken at two sizes or more, of the calm runs."""
    found = []
    for measure in MEASURES:
        points = [point for run in runs if run.calm for point in measure.points(run)]
        if len({size for size, _ in points}) > 1:
            line = fit(points)
            found.append(Slope(measure, line, line.at(measure.target(target))))
    return found
