"""The aggregated discovery stream as a state machine: what is asked for, taken, turned down and composed.

Pure: translated responses and the time come in, requests and whole snapshots go out.  Two variants of the
protocol are spoken, state of the world and incremental; both end in the same composition.

What a resource refers to may come after it.  A response whose references do not resolve is held, neither
acknowledged nor turned down, until they do or `settle` has passed; then it is turned down with what is
missing, and what was accepted before stays.  Of what is accepted only what is whole is composed (make before
break): routes go over when all of their clusters have endpoints, and a cluster leaves when none needs it.

Source: xDS REST and gRPC protocol (Envoy's documentation): "ACK/NACK and resource type instance version",
"When to send an update", "Eventual consistency considerations", "Incremental xDS".
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import cast

import msgspec

from brackengate.installation.schema import Pool, Route, Upstream
from brackengate.snapshot.check import faults, tell
from brackengate.snapshot.model import Snapshot, make, pools_of
from brackengate.xds.translated import Cluster, Kind, Translated

MOST_REASONS = 32  # in one error_detail


@dataclass(frozen=True, slots=True)
class Terms:
    """Times in microseconds."""

    route_config: str = "default"
    incremental: bool = False
    settle: int = 1_000_000
    resource_timeout: int = 15_000_000


@dataclass(frozen=True, slots=True)
class Ask:
    """One request on the stream.  `error`: turned down, with why."""

    kind: Kind
    names: tuple[str, ...] = ()  # state of the world: all that are wanted; none: every one
    version: str = ""
    nonce: str = ""
    error: str = ""
    subscribe: tuple[str, ...] = ()  # incremental
    unsubscribe: tuple[str, ...] = ()
    initial: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Offer:
    """A whole snapshot, and when the first of what is new in it came."""

    label: str
    snapshot: Snapshot
    told_at: int


@dataclass(frozen=True, slots=True)
class Break:
    """The stream is of no use: close it and begin anew."""

    why: str


Action = Ask | Offer | Break


@dataclass(frozen=True, slots=True)
class Response:
    kind: Kind
    version: str
    nonce: str
    resources: tuple[tuple[str, Translated], ...]  # each with its own version (incremental) or the response's
    removed: tuple[str, ...] = ()
    at: int = 0


@dataclass(slots=True)
class _Pending:
    resources: dict[str, object]
    versions: dict[str, str]
    version: str
    nonces: list[str]  # of all responses that it holds
    at: int  # when the first of them came


class _Type:
    """What one type has, on this stream and over all streams."""

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.accepted: dict[str, object] = {}
        self.versions: dict[str, str] = {}  # of each resource
        self.version = self.nonce = ""
        self.asked: tuple[str, ...] | None = None  # on this stream
        self.pending: _Pending | None = None
        self.since: dict[str, int] = {}  # names that are waited for
        self.missing: set[str] = set()  # those that do not exist there, as far as can be told


class Machine:
    def __init__(self, terms: Terms, classes: Collection[str]) -> None:
        self.terms, self._classes = terms, classes
        self._types = {kind: _Type(kind) for kind in Kind}
        self._clusters, self._endpoints, self._routes = (self._types[kind] for kind in Kind)
        self._open = False
        self._composed: Snapshot | None = None
        self._label = ""
        self._changed_at = 0  # when the first came of what is accepted and not composed
        self._held_since = 0
        self.counters = {
            "responses": 0,
            "accepted": 0,
            "turned_down": 0,
            "unasked": 0,
            "streams": 0,
            "timeouts": 0,
            "held": 0,
        }
        self.last_error = ""

    # --- the stream

    def opened(self, now: int) -> list[Action]:
        """A new stream: ask for all, saying what is had."""
        self._open = True
        self.counters["streams"] += 1
        out = list[Action]()
        for kind in Kind:
            one = self._types[kind]
            one.nonce, one.asked, one.pending = "", None, None
            one.since = dict.fromkeys(one.since, now)
        self._held_since = 0
        for kind in Kind:
            out += self._subscribe(now, self._types[kind])
        return out

    def closed(self) -> None:
        """The stream has ended; what is held and not accepted goes with it."""
        self._open = False
        for one in self._types.values():
            one.pending = None
        self._held_since = 0

    def response(self, now: int, told: Response) -> list[Action]:
        self.counters["responses"] += 1
        one = self._types[told.kind]
        if not told.nonce:
            # An acknowledgement without a nonce would read as a new subscription, answered without end.
            return [Break("a response without a nonce")]
        one.nonce = told.nonce
        reasons = [why for _, resource in told.resources for why in resource.faults]
        names = [resource.name for _, resource in told.resources if resource.name]
        reasons += (
            [f"{name}: stands twice" for name in sorted({n for n in names if names.count(n) > 1})]
            if len(names) != len(set(names))
            else []
        )
        if reasons:
            self._reject(reasons)
            return [*self._answer(one, [told.nonce], self.last_error), *self._settle(now)]
        resources, versions = self._after(one, told)
        held = one.pending
        nonces, at = (held.nonces, held.at) if held is not None else ([], told.at)
        one.pending = _Pending(resources, versions, told.version, [*nonces, told.nonce], at)
        return self._settle(now)

    def _after(self, one: _Type, told: Response) -> tuple[dict[str, object], dict[str, str]]:
        """What the type would have, were the response accepted."""
        wanted = None if one is self._clusters else set(self._wanted(one)) | set(one.accepted)
        whole = one is self._clusters and not self.terms.incremental
        resources: dict[str, object] = {}
        versions: dict[str, str] = {}
        if not whole:  # changes to what is there, with what is held of earlier ones
            base = one.pending or one
            resources.update(base.resources if isinstance(base, _Pending) else base.accepted)
            versions.update(base.versions)
        for version, resource in told.resources:
            if wanted is not None and resource.name not in wanted:
                self.counters["unasked"] += 1  # also endpoints that come before their cluster: asked for then
                continue
            resources[resource.name] = resource.value
            versions[resource.name] = version
        for name in told.removed:
            resources.pop(name, None)
            versions.pop(name, None)
            if one is not self._clusters:
                one.missing.add(name)
        return resources, versions

    # --- what is wanted

    def _wanted(self, one: _Type) -> tuple[str, ...]:
        if one is self._clusters:
            return ()
        if one is self._routes:
            return (self.terms.route_config,)
        names = {c.eds_name for c in self._all_clusters().values() if c.eds_name}
        return tuple(sorted(names))

    def _all_clusters(self) -> dict[str, Cluster]:
        """Accepted, about to be, and those that routes in use still need."""
        have = cast("dict[str, Cluster]", dict(self._clusters.accepted))
        if self._clusters.pending is not None:
            have.update(cast("dict[str, Cluster]", self._clusters.pending.resources))
        return have

    def _subscribe(self, now: int, one: _Type) -> list[Action]:
        """Ask for what is wanted, where that differs from what was asked for."""
        wanted = self._wanted(one)
        before = one.asked
        if before == wanted or (before is None and not wanted and one is self._endpoints):
            return []
        for name in wanted:
            if name not in one.accepted and name not in one.missing:
                one.since.setdefault(name, now)
        for name in [name for name in one.since if name not in wanted]:
            del one.since[name]
        one.missing &= set(wanted)
        if one is self._endpoints:
            for name in [name for name in one.accepted if name not in wanted]:
                del one.accepted[name]
                one.versions.pop(name, None)
        one.asked = wanted
        if not self.terms.incremental:
            return [Ask(one.kind, wanted, one.version, one.nonce)]
        if before is None:
            initial = dict(one.versions)
            return [Ask(one.kind, subscribe=wanted, initial=initial)]
        added = tuple(name for name in wanted if name not in before)
        gone = tuple(name for name in before if name not in wanted)
        return [Ask(one.kind, subscribe=added, unsubscribe=gone)]

    # --- accepting

    def _settle(self, now: int) -> list[Action]:
        """Accept what resolves, hold what does not, and compose."""
        out = list[Action]()
        pending = [one for one in self._types.values() if one.pending is not None]
        # Together first: a route and its cluster may have come in one burst; then each alone.
        for group in ([pending] if len(pending) > 1 else []) + [[one] for one in pending]:
            group = [one for one in group if one.pending is not None]
            if group and not self._dangling(group):
                reasons = self._faults(group)
                if not reasons:
                    for one in group:
                        out += self._accept(one)
                elif len(group) == 1:
                    out += self._turn_down(group[0], reasons)
        held = any(one.pending is not None for one in self._types.values())
        if held and not self._held_since:
            self._held_since = now
            self.counters["held"] += 1
        elif not held:
            self._held_since = 0
        if self._open:
            # New clusters are asked after at once, also while what brought them is held.
            out += self._subscribe(now, self._endpoints)
        return out + self._compose(now)

    def _view(self, one: _Type, group: Iterable[_Type]) -> dict[str, object]:
        return one.pending.resources if one in group and one.pending is not None else one.accepted

    def _dangling(self, group: list[_Type]) -> list[str]:
        """What routes refer to and clusters lack, were this group accepted."""
        if self._clusters not in group and self._routes not in group:
            return []
        clusters = self._view(self._clusters, group)
        found = []
        for route in self._route_list(self._view(self._routes, group)):
            for pool in sorted(pools_of([route]) - set(clusters)):
                found.append(f"route {route.name!r} refers to the cluster {pool!r}, which is not there")
        return found

    def _route_list(self, resources: Mapping[str, object]) -> tuple[Route, ...]:
        return cast("tuple[Route, ...]", resources.get(self.terms.route_config, ()))

    def _faults(self, group: list[_Type]) -> list[str]:
        """What would be wrong with the whole; references are looked at elsewhere."""
        clusters = cast("dict[str, Cluster]", self._view(self._clusters, group))
        endpoints = self._view(self._endpoints, group)
        routes = self._route_list(self._view(self._routes, group))
        only_rows = all(one is self._endpoints for one in group)
        if only_rows:
            names = {name for name in endpoints if endpoints[name] is not self._endpoints.accepted.get(name)}
            clusters = {name: c for name, c in clusters.items() if c.eds_name in names}
        pools = {name: self._pool(cluster, endpoints) for name, cluster in clusters.items()}
        found = faults(make(pools, () if only_rows else routes), self._classes)
        return [why for why in tell(found) if not why.startswith("route: is missing")]

    def _pool(self, cluster: Cluster, endpoints: Mapping[str, object]) -> Pool:
        if not cluster.eds_name:
            return cluster.pool
        rows = cast("tuple[Upstream, ...]", endpoints.get(cluster.eds_name) or ())
        return msgspec.structs.replace(cluster.pool, upstream=rows)

    def _accept(self, one: _Type) -> list[Action]:
        told = one.pending
        assert told is not None
        one.accepted, one.versions, one.version, one.pending = (
            told.resources,
            told.versions,
            told.version,
            None,
        )
        for name in one.accepted:
            one.since.pop(name, None)
            one.missing.discard(name)
        self._changed_at = self._changed_at or told.at
        self.counters["accepted"] += 1
        return self._answer(one, told.nonces, "")

    def _turn_down(self, one: _Type, reasons: list[str]) -> list[Action]:
        assert one.pending is not None
        nonces, one.pending = one.pending.nonces, None
        self._reject(reasons)
        return self._answer(one, nonces, self.last_error)

    def _reject(self, reasons: list[str]) -> None:
        self.counters["turned_down"] += 1
        more = len(reasons) - MOST_REASONS
        self.last_error = "; ".join(reasons[:MOST_REASONS]) + (f"; and {more} more" if more > 0 else "")

    def _answer(self, one: _Type, nonces: list[str], error: str) -> list[Action]:
        """Acknowledge, or turn down: then with the version before, as the protocol has it.

        Incremental responses are answered one by one; else the latest nonce stands for those before it.
        """
        if self.terms.incremental:
            return [Ask(one.kind, nonce=nonce, error=error) for nonce in nonces]
        return [Ask(one.kind, one.asked or (), one.version, one.nonce, error)]

    # --- composing

    def _warm(self, cluster: Cluster) -> bool:
        """Whether its endpoints are known, or known not to be there."""
        name = cluster.eds_name
        return not name or name in self._endpoints.accepted or name in self._endpoints.missing

    def _compose(self, now: int) -> list[Action]:
        if not self._changed_at:
            return []
        clusters = cast("dict[str, Cluster]", self._clusters.accepted)
        before = self._composed
        warm = {name: cluster for name, cluster in clusters.items() if self._warm(cluster)}
        routes = self._route_list(self._routes.accepted)
        whole = bool(routes) and pools_of(routes) <= set(warm)
        if not whole and before is None:
            return []  # nothing is served yet, so nobody is held up
        pools: dict[str, Pool] = {}
        if not whole and before is not None:
            routes = before.routes
            pools = {name: before.pools[name] for name in pools_of(routes)}
        # Also those that no route refers to: one that leaves the routes was not told to leave, and a version
        # that is left again may need it.
        pools |= {name: self._pool(cluster, self._endpoints.accepted) for name, cluster in warm.items()}
        snapshot = make(pools, routes)
        told_at, self._changed_at = self._changed_at, 0
        label = self.label() if whole else self._label  # what is held back has no part in its name
        if snapshot == before and label == self._label:
            return []
        self._composed, self._label = snapshot, label
        return [Offer(label, snapshot, told_at)]

    def label(self) -> str:
        """The version, where all types have the same; else each one's."""
        versions = {one.kind: one.version for one in self._types.values() if one.version}
        if len(set(versions.values())) == 1:
            return next(iter(versions.values()))
        words = {Kind.CLUSTER: "cds", Kind.ENDPOINTS: "eds", Kind.ROUTES: "rds"}
        return " ".join(f"{words[kind]}={version}" for kind, version in versions.items()) or "unnumbered"

    # --- time

    def due(self) -> int:
        """When `tick` has something to do; 0: never."""
        times = [
            at + self.terms.resource_timeout for one in self._types.values() for at in one.since.values()
        ]
        if self._held_since:
            times.append(self._held_since + self.terms.settle)
        return min(times, default=0) if self._open else 0

    def tick(self, now: int) -> list[Action]:
        out = list[Action]()
        if not self._open:
            return out
        if self._held_since and now >= self._held_since + self.terms.settle:
            pending = [one for one in self._types.values() if one.pending is not None]
            self._held_since = 0
            for one in pending:
                reasons = self._dangling([one]) or self._faults([one]) or ["does not fit what came with it"]
                out += self._turn_down(one, reasons)
            out += self._subscribe(now, self._endpoints)
        for one in (self._endpoints, self._routes):
            for name in [n for n, at in one.since.items() if now >= at + self.terms.resource_timeout]:
                del one.since[name]
                one.missing.add(name)
                self.counters["timeouts"] += 1
                self._changed_at = self._changed_at or now
        return out + self._compose(now)

    def returned(self, reasons: Iterable[str]) -> list[Action]:
        """What was composed was left again, by this instance's own counts: the control service hears late."""
        self.last_error = "; ".join(reasons)
        out = list[Action]()
        for one in (self._clusters, self._routes):
            if self._open and one.nonce:
                out += self._answer(one, [one.nonce], self.last_error)
        return out

    def waits_for(self) -> list[str]:
        """For people: what is still to come before anything, or the next version, can be served."""
        words = {Kind.CLUSTER: "clusters", Kind.ENDPOINTS: "endpoints", Kind.ROUTES: "routes"}
        out = []
        for one in self._types.values():
            out += [f"{words[one.kind]} {name!r}" for name in sorted(one.since)[:8]]
            if one is self._routes and one.missing:
                out.append(f"route configuration {self.terms.route_config!r} is not at the control service")
        if not self._clusters.version:
            out.insert(0, "clusters")
        return out

    def status(self) -> dict[str, object]:
        return {
            "open": self._open,
            "version": self.label(),
            "waits_for": self.waits_for(),
            "last_error": self.last_error,
            **self.counters,
        }
