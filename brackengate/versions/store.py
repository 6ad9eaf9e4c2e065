"""The version store: candidates are taken whole or turned down with every reason, and one is in use.  Pure.

Time is the clock's microseconds.  Each call returns what is to be done, in order: `Apply` to the pools,
`Verdict` to the source, `Save` to the disk.  Upstreams follow the source at once, whatever holds a version
back (its turn in the fleet, a pin): those told to leave must not wait, and new ones harm nobody.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from brackengate.snapshot.check import faults, tell, vanishing
from brackengate.snapshot.model import EMPTY, Snapshot, digests, make
from brackengate.versions.rollout import Rollout

REASONS_KEPT = 32  # of one version that was turned down
LABELS_KEPT = 8  # of one version: upstreams change more often than routes


class State(Enum):
    WAITING = "waiting"
    IN_USE = "in use"
    REPLACED = "replaced"
    TURNED_DOWN = "turned down"
    RETURNED = "returned"


@dataclass(frozen=True, slots=True)
class Candidate:
    label: str  # the source's own word for the version
    source: str  # "file", "xds host:port", "discovery", "disk"
    snapshot: Snapshot
    told_at: int


@dataclass(slots=True)
class Version:
    number: int  # of this store, from 1
    label: str
    source: str
    digest: str
    shape: str  # its digest without upstreams
    told_at: int
    snapshot: Snapshot
    state: State = State.WAITING
    applied_at: int = 0
    reasons: list[str] = field(default_factory=list)
    labels: list[str] = field(default_factory=list)  # all that it had of late, this one last

    def called(self, label: str) -> None:
        """The source has another label for it."""
        if not self.labels or label != self.label:
            self.label = label
            self.labels = [*self.labels[1 - LABELS_KEPT :], label]


@dataclass(frozen=True, slots=True)
class Apply:
    """Use this from now on.  `told_at`: when those that leave by it were told."""

    snapshot: Snapshot
    version: Version
    told_at: int


@dataclass(frozen=True, slots=True)
class Verdict:
    """To the source: taken, or turned down with reasons."""

    version: Version
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Save:
    """This is the last good one."""

    snapshot: Snapshot
    version: Version


Action = Apply | Verdict | Save


def follow(base: Snapshot, earlier: Snapshot, new: Snapshot) -> Snapshot:
    """`base` with upstreams and cells as `new` has them; of pools that only `earlier` had they are draining.

    An owner must not come back because a version does, nor wait for a version's turn.
    """
    pools = dict(base.pools)
    for name, pool in base.pools.items():
        if name in new.pools:
            rows = new.pools[name].upstream
        elif name in earlier.pools:
            rows = tuple(msgspec.structs.replace(row, state="draining") for row in pool.upstream)
        else:
            continue  # an operator went back to a version with this pool: the source has no word on it
        if rows != pool.upstream:
            pools[name] = msgspec.structs.replace(pool, upstream=rows)
    return make(pools, base.routes, new.cells)


class Store:
    def __init__(
        self,
        classes: Collection[str],
        rollout: Rollout,
        history: int = 8,
        backwards: bool = True,
        change: Callable[[int, Snapshot, Snapshot], list[str]] = lambda now, old, new: [],
    ) -> None:
        """`backwards`: whether a lower number is taken, where versions are numbers.  `change`: why one must
        not follow on the other."""
        self._change = change
        self._classes, self.rollout, self._most, self._backwards = classes, rollout, history, backwards
        self.history: deque[Version] = deque()
        self.in_use: Version | None = None
        self.active: Snapshot = EMPTY  # what is carried out: that of `in_use`, upstreams as last told
        self._latest: Snapshot = EMPTY  # as last told by the source and taken
        self._good: Version | None = None  # to return to while `in_use` is judged
        self._good_active: Snapshot = EMPTY
        self._waiting: Version | None = None
        self._due = 0
        self.pinned: Version | None = None
        self._count = 0
        self.counters = {"taken": 0, "turned_down": 0, "returned": 0, "same": 0, "backwards": 0, "held": 0}

    # --- from the source

    def offer(self, now: int, candidate: Candidate) -> list[Action]:
        whole, shape = digests(candidate.snapshot)
        reasons = self._reasons(candidate) or self._change(now, self.active, candidate.snapshot)
        if reasons:
            return self._turn_down(candidate, whole, shape, reasons)
        self.counters["taken"] += 1
        earlier, self._latest = self._latest, candidate.snapshot
        for known in (self._waiting, self.in_use):
            if known is not None and known.shape == shape:
                return self._rows(known, candidate, whole, earlier)
        back = next((v for v in self.history if v.state is State.RETURNED and v.shape == shape), None)
        if back is not None:
            back.called(candidate.label)
            back.digest, back.snapshot = whole, candidate.snapshot
            return [Verdict(back, tuple(back.reasons)), *self._follow(candidate, earlier)]
        self._supersede()
        new = self._new(candidate, whole, shape)
        out: list[Action] = [Verdict(new)]
        if self.in_use is None:
            return out + self._use(now, new, new.snapshot)
        wait = self.rollout.delay(shape, bool(vanishing(earlier, new.snapshot)))
        if self.pinned is None and wait <= 0:
            # What it goes back to, if it must, has upstreams as they are told now, too.
            self.active = follow(self.active, earlier, new.snapshot)
            return out + self._use(now, new, new.snapshot)
        self._waiting, self._due = new, 0 if self.pinned is not None else new.told_at + wait
        self.counters["held"] += 1
        return out + self._follow(candidate, earlier)

    def _new(self, candidate: Candidate, whole: str, shape: str) -> Version:
        self._count += 1
        c = candidate
        new = Version(self._count, c.label, c.source, whole, shape, c.told_at, c.snapshot)
        new.called(c.label)
        self._keep(new)
        return new

    def _reasons(self, new: Candidate) -> list[str]:
        reasons = tell(faults(new.snapshot, self._classes))
        if self.in_use is not None and self.in_use.label.isdigit() and new.label.isdigit():
            newest = max(
                int(v.label) for v in (self.in_use, self._waiting or self.in_use) if v.label.isdigit()
            )
            if int(new.label) < newest:
                self.counters["backwards"] += 1
                if not self._backwards:
                    reasons.append(
                        f"version {new.label} is older than {newest}, and versions.backwards refuses it"
                    )
        return reasons

    def _turn_down(self, candidate: Candidate, whole: str, shape: str, reasons: list[str]) -> list[Action]:
        self.counters["turned_down"] += 1
        latest = self.history[-1] if self.history else None
        if latest is not None and latest.state is State.TURNED_DOWN and latest.digest == whole:
            # Sent again and again it must not fill the history.
            return [Verdict(latest, tuple(latest.reasons))]
        new = self._new(candidate, whole, shape)
        new.state, new.reasons, new.snapshot = State.TURNED_DOWN, reasons[:REASONS_KEPT], EMPTY
        if len(reasons) > REASONS_KEPT:
            new.reasons.append(f"and {len(reasons) - REASONS_KEPT} more")
        return [Verdict(new, tuple(new.reasons))]

    def _rows(self, known: Version, candidate: Candidate, whole: str, earlier: Snapshot) -> list[Action]:
        """Nothing but upstreams differs, or only the label: the same version, which needs no judging."""
        self.counters["same"] += 1
        known.called(candidate.label)
        known.source = candidate.source
        known.digest, known.snapshot = whole, candidate.snapshot
        if known is not self._waiting:
            self._supersede()  # the source is back where it was
        out: list[Action] = [Verdict(known), *self._follow(candidate, earlier)]
        if len(out) > 1 and not self.rollout.judging() and self.in_use is not None:
            out.append(Save(self.active, self.in_use))
        return out

    def _follow(self, candidate: Candidate, earlier: Snapshot) -> list[Action]:
        """Upstreams as the source has them now, under the routes and pools that are in use."""
        assert self.in_use is not None
        after = follow(self.active, earlier, candidate.snapshot)
        if self._good_active is not self.active:
            self._good_active = follow(self._good_active, earlier, candidate.snapshot)
        else:
            self._good_active = after
        if after == self.active:
            return []
        self.active = after
        return [Apply(after, self.in_use, candidate.told_at)]

    # --- going over

    def _use(self, now: int, new: Version, snapshot: Snapshot) -> list[Action]:
        old = self.in_use
        if old is not None and old.state is State.IN_USE:
            old.state = State.REPLACED
        if not self.rollout.judging():
            self._good, self._good_active = old, self.active
        new.state, new.applied_at = State.IN_USE, now
        self.in_use, self.active = new, snapshot
        if old is not None:
            self.rollout.began(now)
        out: list[Action] = [Apply(snapshot, new, new.told_at)]
        if not self.rollout.judging():
            self._good, self._good_active = new, snapshot
            out.append(Save(snapshot, new))
        return out

    def due(self) -> int:
        """When `tick` has something to do; 0: never."""
        times = [t for t in (self._due if self._waiting is not None else 0, self.rollout.due()) if t > 0]
        return min(times, default=0)

    def tick(self, now: int) -> list[Action]:
        out: list[Action] = []
        if self.rollout.end(now) and self.in_use is not None:
            self._good, self._good_active = self.in_use, self.active
            out.append(Save(self.active, self.in_use))
        if self._waiting is not None and self._due and now >= self._due:
            waiting, self._waiting = self._waiting, None
            out += self._use(now, waiting, waiting.snapshot)
        return out

    def answered(self, now: int, bad: bool) -> list[Action]:
        """One request has had its answer."""
        why = self.rollout.count(now, bad)
        if not why or self._good is None or self.in_use is None:
            return []
        left, back = self.in_use, self._good
        left.state = State.RETURNED
        left.reasons = [why]
        back.state, back.applied_at = State.IN_USE, now
        self.counters["returned"] += 1
        self.in_use, self.active = back, self._good_active
        self.rollout.returned()
        return [Apply(self.active, back, now), Verdict(left, (why,))]

    def _supersede(self) -> None:
        if self._waiting is not None:
            self._waiting.state, self._waiting = State.REPLACED, None

    # --- operators

    def find(self, name: str) -> Version | None:
        """The latest version with this number (as "#3"), label or beginning of a digest, if it is held."""
        for version in reversed(self.history):
            by_digest = len(name) >= 4 and version.digest.startswith(name)
            if by_digest or name in (f"#{version.number}", *version.labels):
                return version
        return None

    def rollback(self, now: int, name: str) -> tuple[str, list[Action]]:
        """Go back to a version and stay there until `release`.  A word on why not, or nothing."""
        version = self.find(name)
        if version is None:
            held = ", ".join(f"#{v.number} {v.label}" for v in self.history)
            return f"no version {name!r} is held; there are: {held or 'none'}", []
        if version.state is State.TURNED_DOWN:
            return f"version {version.label} was turned down: {version.reasons[0]}", []
        if version is self._waiting:
            return f"version {version.label} is not in use yet; it waits for its turn", []
        if self._waiting is None and self.in_use is not None and self.in_use is not version:
            self._waiting = self.in_use  # what `release` goes back to
        self._due = 0  # what waits for its turn waits for the release now
        self.pinned = version
        # Its upstreams as last told, not as they were: those that have left since must not be sent to.
        snapshot = follow(version.snapshot, EMPTY, self._latest)
        version.reasons = []
        self.rollout.returned()
        old, self.in_use = self.in_use, version
        if old is not None and old is not version and old.state is State.IN_USE:
            old.state = State.WAITING if old is self._waiting else State.REPLACED
        version.state, version.applied_at, self.active = State.IN_USE, now, snapshot
        self._good, self._good_active = version, snapshot
        return "", [Apply(snapshot, version, now), Save(snapshot, version)]

    def release(self, now: int) -> tuple[str, list[Action]]:
        """End the pin: what was told meanwhile goes into use."""
        if self.pinned is None:
            return "no version is pinned", []
        self.pinned = None
        waiting, self._waiting = self._waiting, None
        return "", self._use(now, waiting, waiting.snapshot) if waiting is not None else []

    def _keep(self, version: Version) -> None:
        self.history.append(version)
        held = (self.in_use, self._good, self._waiting, self.pinned, version)
        while len(self.history) > self._most:
            oldest = next((v for v in self.history if all(v is not h for h in held)), None)
            if oldest is None:
                return
            self.history.remove(oldest)

    def status(self) -> dict[str, object]:
        """For `config versions`."""
        return {
            "in_use": self.in_use.label if self.in_use else "",
            "digest": self.in_use.digest if self.in_use else "",
            "pinned": self.pinned.label if self.pinned else "",
            "judging": self.rollout.judging(),
            "pools": len(self.active.pools),
            "routes": len(self.active.routes),
            **self.counters,
            "versions": [
                {
                    "number": v.number,
                    "label": v.label,
                    "source": v.source,
                    "digest": v.digest,
                    "state": v.state.value,
                    "told_at": v.told_at,
                    "applied_at": v.applied_at,
                    "reasons": v.reasons,
                }
                for v in self.history
            ],
        }
