"""The version store: accepts or rejects candidates as a whole, and decides which version is in use.

No I/O; times are the clock's microseconds.  Each call returns the actions to carry out, in order: `Apply` to
the pools, `Verdict` to the source, `Save` to the disk.  Changes of upstreams are applied at once, even while
a version is held back (by the rollout or a pin): upstreams that leave must not wait, and new ones do no harm.
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

MAX_REASONS = 32  # of a rejected version
MAX_LABELS = 8  # of a version: upstreams change more often than routes, each time with a new label


class State(Enum):
    """The state of a version; the values are shown to operators."""

    WAITING = "waiting"
    IN_USE = "in use"
    REPLACED = "replaced"
    REJECTED = "turned down"
    REVERTED = "returned"


@dataclass(frozen=True, slots=True)
class Candidate:
    """A version as its source offers it."""

    label: str  # the source's name for the version
    source: str  # "file", "xds host:port", "discovery", "disk"
    snapshot: Snapshot
    received_at: int


@dataclass(slots=True)
class Version:
    """A version that the store holds, and what became of it."""

    number: int  # of this store, from 1
    label: str
    source: str
    digest: str
    shape: str  # the digest of its content without upstreams
    received_at: int
    snapshot: Snapshot
    state: State = State.WAITING
    applied_at: int = 0
    reasons: list[str] = field(default_factory=list)
    labels: list[str] = field(default_factory=list)  # the latest ones, the present one last

    def set_label(self, label: str) -> None:
        """Set the present label and remember it; it changes where the source sends the same content again."""
        if not self.labels or label != self.label:
            self.label = label
            self.labels = [*self.labels[1 - MAX_LABELS :], label]


@dataclass(frozen=True, slots=True)
class Apply:
    """Use this snapshot from now on.  `received_at`: when the change was received from the source."""

    snapshot: Snapshot
    version: Version
    received_at: int


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result for the source: accepted, or rejected or reverted with reasons."""

    version: Version
    reasons: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Save:
    """Save this snapshot as the last good one."""

    snapshot: Snapshot
    version: Version


Action = Apply | Verdict | Save


def with_current_upstreams(base: Snapshot, earlier: Snapshot, new: Snapshot) -> Snapshot:
    """`base` with upstreams and cells of `new`; upstreams of pools that only `earlier` had are draining.

    A cell must not return to an earlier owner because a version is restored, nor wait for a rollout.
    """
    pools = dict(base.pools)
    for name, pool in base.pools.items():
        if name in new.pools:
            rows = new.pools[name].upstream
        elif name in earlier.pools:
            rows = tuple(msgspec.structs.replace(row, state="draining") for row in pool.upstream)
        else:
            continue  # of a version that an operator restored; the source does not have this pool
        if rows != pool.upstream:
            pools[name] = msgspec.structs.replace(pool, upstream=rows)
    return make(pools, base.routes, new.cells)


class Store:
    """The versions of one instance: the one in use, those that wait or can be restored, and the pin."""

    def __init__(
        self,
        class_names: Collection[str],
        rollout: Rollout,
        history: int = 8,
        backwards: bool = True,
        check_change: Callable[[int, Snapshot, Snapshot], list[str]] = lambda now, old, new: [],
    ) -> None:
        """`history`: how many versions are kept.  `backwards`: whether a lower number is accepted, if labels
        are numbers.  `check_change`: reasons why a snapshot must not follow another one."""
        self._check_change = check_change
        self._class_names, self.rollout, self._max_history, self._backwards = (
            class_names,
            rollout,
            history,
            backwards,
        )
        self.history: deque[Version] = deque()
        self.in_use: Version | None = None
        self.active: Snapshot = EMPTY  # applied: the snapshot of `in_use` with the latest upstreams
        self._latest_received: Snapshot = EMPTY  # the last one that was accepted
        self._last_good: Version | None = None  # restored if the evaluation of `in_use` fails
        self._last_good_active: Snapshot = EMPTY
        self._waiting: Version | None = None
        self._waiting_due = 0
        self.pinned: Version | None = None
        self._version_count = 0
        self.counters = {"taken": 0, "turned_down": 0, "returned": 0, "same": 0, "backwards": 0, "held": 0}

    # --- from the source

    def offer(self, now: int, candidate: Candidate) -> list[Action]:
        """Accept or reject a version; an accepted one comes into use now or waits for its rollout."""
        full_digest, shape = digests(candidate.snapshot)
        reasons = self._rejection_reasons(candidate) or self._check_change(
            now, self.active, candidate.snapshot
        )
        if reasons:
            return self._reject(candidate, full_digest, shape, reasons)
        self.counters["taken"] += 1
        earlier, self._latest_received = self._latest_received, candidate.snapshot
        for known in (self._waiting, self.in_use):
            if known is not None and known.shape == shape:
                return self._update_known_version(known, candidate, full_digest, earlier)
        reverted = next((v for v in self.history if v.state is State.REVERTED and v.shape == shape), None)
        if reverted is not None:
            reverted.set_label(candidate.label)
            reverted.digest, reverted.snapshot = full_digest, candidate.snapshot
            return [Verdict(reverted, tuple(reverted.reasons)), *self._apply_upstreams(candidate, earlier)]
        self._supersede()
        new = self._new_version(candidate, full_digest, shape)
        actions: list[Action] = [Verdict(new)]
        if self.in_use is None:
            return actions + self._put_into_use(now, new, new.snapshot)
        wait = self.rollout.delay(shape, bool(vanishing(earlier, new.snapshot)))
        if self.pinned is None and wait <= 0:
            # The version that may be restored gets the latest upstreams, too.
            self.active = with_current_upstreams(self.active, earlier, new.snapshot)
            return actions + self._put_into_use(now, new, new.snapshot)
        self._waiting, self._waiting_due = new, 0 if self.pinned is not None else new.received_at + wait
        self.counters["held"] += 1
        return actions + self._apply_upstreams(candidate, earlier)

    def _new_version(self, candidate: Candidate, full_digest: str, shape: str) -> Version:
        self._version_count += 1
        c = candidate
        new = Version(self._version_count, c.label, c.source, full_digest, shape, c.received_at, c.snapshot)
        new.set_label(c.label)
        self._add_to_history(new)
        return new

    def _rejection_reasons(self, new: Candidate) -> list[str]:
        reasons = tell(faults(new.snapshot, self._class_names))
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

    def _reject(self, candidate: Candidate, full_digest: str, shape: str, reasons: list[str]) -> list[Action]:
        self.counters["turned_down"] += 1
        latest = self.history[-1] if self.history else None
        if latest is not None and latest.state is State.REJECTED and latest.digest == full_digest:
            # A version that is sent again and again must not fill the history.
            return [Verdict(latest, tuple(latest.reasons))]
        new = self._new_version(candidate, full_digest, shape)
        new.state, new.reasons, new.snapshot = State.REJECTED, reasons[:MAX_REASONS], EMPTY
        if len(reasons) > MAX_REASONS:
            new.reasons.append(f"and {len(reasons) - MAX_REASONS} more")
        return [Verdict(new, tuple(new.reasons))]

    def _update_known_version(
        self, known: Version, candidate: Candidate, full_digest: str, earlier: Snapshot
    ) -> list[Action]:
        """The same version with other upstreams or another label, which needs no evaluation."""
        self.counters["same"] += 1
        known.set_label(candidate.label)
        known.source = candidate.source
        known.digest, known.snapshot = full_digest, candidate.snapshot
        if known is not self._waiting:
            self._supersede()  # the source has withdrawn the waiting version
        actions: list[Action] = [Verdict(known), *self._apply_upstreams(candidate, earlier)]
        if len(actions) > 1 and not self.rollout.is_evaluating() and self.in_use is not None:
            actions.append(Save(self.active, self.in_use))
        return actions

    def _with_latest_upstreams(self, base: Snapshot) -> Snapshot:
        """`base` with the source's latest upstreams; those of pools that the source lacks are draining."""
        return with_current_upstreams(base, base, self._latest_received)

    def _apply_upstreams(self, candidate: Candidate, earlier: Snapshot) -> list[Action]:
        """Apply the source's upstreams to the routes and pools in use."""
        assert self.in_use is not None
        updated = with_current_upstreams(self.active, earlier, candidate.snapshot)
        if self._last_good_active is not self.active:
            self._last_good_active = with_current_upstreams(
                self._last_good_active, earlier, candidate.snapshot
            )
        else:
            self._last_good_active = updated
        if updated == self.active:
            return []
        self.active = updated
        return [Apply(updated, self.in_use, candidate.received_at)]

    # --- changes of the version in use

    def _put_into_use(self, now: int, new: Version, snapshot: Snapshot) -> list[Action]:
        old = self.in_use
        if old is not None and old.state is State.IN_USE:
            old.state = State.REPLACED
        if not self.rollout.is_evaluating():
            self._last_good, self._last_good_active = old, self.active
        new.state, new.applied_at = State.IN_USE, now
        self.in_use, self.active = new, snapshot
        if old is not None:
            self.rollout.start_evaluation(now)
        actions: list[Action] = [Apply(snapshot, new, new.received_at)]
        if not self.rollout.is_evaluating():
            self._last_good, self._last_good_active = new, snapshot
            actions.append(Save(snapshot, new))
        return actions

    def due(self) -> int:
        """When `tick` must be called; 0: not at all."""
        times = [
            t for t in (self._waiting_due if self._waiting is not None else 0, self.rollout.due()) if t > 0
        ]
        return min(times, default=0)

    def tick(self, now: int) -> list[Action]:
        """End an evaluation and put a waiting version into use, if they are due."""
        actions: list[Action] = []
        if self.rollout.end_evaluation(now) and self.in_use is not None:
            self._last_good, self._last_good_active = self.in_use, self.active
            actions.append(Save(self.active, self.in_use))
        if self._waiting is not None and self._waiting_due and now >= self._waiting_due:
            waiting, self._waiting = self._waiting, None
            actions += self._put_into_use(now, waiting, self._with_latest_upstreams(waiting.snapshot))
        return actions

    def record_answer(self, now: int, failed: bool) -> list[Action]:
        """Count the answer to a request; reverts the version in use if too many failed."""
        reason = self.rollout.record_answer(now, failed)
        if not reason or self._last_good is None or self.in_use is None:
            return []
        failing, restored = self.in_use, self._last_good
        failing.state = State.REVERTED
        failing.reasons = [reason]
        restored.state, restored.applied_at = State.IN_USE, now
        self.counters["returned"] += 1
        self.in_use, self.active = restored, self._last_good_active
        self.rollout.cancel_evaluation()
        return [Apply(self.active, restored, now), Verdict(failing, (reason,))]

    def _supersede(self) -> None:
        if self._waiting is not None:
            self._waiting.state, self._waiting = State.REPLACED, None

    # --- operators

    def find(self, name: str) -> Version | None:
        """The latest version in the history with this number (as "#3"), label or prefix of its digest."""
        for version in reversed(self.history):
            by_digest = len(name) >= 4 and version.digest.startswith(name)
            if by_digest or name in (f"#{version.number}", *version.labels):
                return version
        return None

    def rollback(self, now: int, name: str) -> tuple[str, list[Action]]:
        """Restore a version and pin it until `release`; the text is why not, or empty."""
        version = self.find(name)
        if version is None:
            held = ", ".join(f"#{v.number} {v.label}" for v in self.history)
            return f"no version {name!r} is held; there are: {held or 'none'}", []
        if version.state is State.REJECTED:
            return f"version {version.label} was turned down: {version.reasons[0]}", []
        if version is self._waiting:
            return f"version {version.label} is not in use yet; it waits for its turn", []
        if self._waiting is None and self.in_use is not None and self.in_use is not version:
            self._waiting = self.in_use  # `release` puts it into use again
        self._waiting_due = 0  # a waiting version now waits for the release
        self.pinned = version
        # With the latest upstreams: those that have left since must get no requests.
        snapshot = with_current_upstreams(version.snapshot, EMPTY, self._latest_received)
        version.reasons = []
        self.rollout.cancel_evaluation()
        old, self.in_use = self.in_use, version
        if old is not None and old is not version and old.state is State.IN_USE:
            old.state = State.WAITING if old is self._waiting else State.REPLACED
        version.state, version.applied_at, self.active = State.IN_USE, now, snapshot
        self._last_good, self._last_good_active = version, snapshot
        return "", [Apply(snapshot, version, now), Save(snapshot, version)]

    def release(self, now: int) -> tuple[str, list[Action]]:
        """Remove the pin; the version that waits comes into use.

        Pools that only the pinned version has leave, also where it stays in use or is restored later.
        """
        if self.pinned is None or self.in_use is None:
            return "no version is pinned", []
        self.pinned = None
        before, self.active = self.active, self._with_latest_upstreams(self.active)
        self._last_good_active = self.active
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            return "", self._put_into_use(now, waiting, self._with_latest_upstreams(waiting.snapshot))
        if self.active == before:
            return "", []
        return "", [Apply(self.active, self.in_use, now), Save(self.active, self.in_use)]

    def _add_to_history(self, version: Version) -> None:
        self.history.append(version)
        held = (self.in_use, self._last_good, self._waiting, self.pinned, version)
        while len(self.history) > self._max_history:
            oldest = next((v for v in self.history if all(v is not h for h in held)), None)
            if oldest is None:
                return
            self.history.remove(oldest)

    def status(self) -> dict[str, object]:
        """Statistics and versions, for `config versions`."""
        return {
            "in_use": self.in_use.label if self.in_use else "",
            "digest": self.in_use.digest if self.in_use else "",
            "pinned": self.pinned.label if self.pinned else "",
            "judging": self.rollout.is_evaluating(),
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
                    "told_at": v.received_at,
                    "applied_at": v.applied_at,
                    "reasons": v.reasons,
                }
                for v in self.history
            ],
        }
