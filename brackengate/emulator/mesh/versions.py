"""Index of the versions of one route that operators sent.

Look-ups take logarithmic time, for scenarios with days of changes.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from itertools import accumulate


@dataclass(slots=True)
class Version:
    """One version of a route, as a configuration change set it. Times are in microseconds."""

    number: int
    services: tuple[str, ...]  # empty: the route is removed
    offered_at: int
    valid: bool
    acked_at: int | None = None


NO_VERSION = Version(0, (), 0, True)  # the route does not exist yet


class VersionsByTime:
    """A set of versions, ordered by the time at which they were offered, that is, first sent."""

    def __init__(self, versions: list[Version]) -> None:
        ordered = sorted(versions, key=lambda one: one.offered_at)
        self._offered_at = [one.offered_at for one in ordered]
        self._highest = list(accumulate((one.number for one in ordered), max))
        self._lowest = list(accumulate((one.number for one in ordered), min))

    def range_until(self, when: int) -> tuple[int, int] | None:
        """The lowest and the highest number among the versions offered by `when`; None if there is none."""
        at = bisect_right(self._offered_at, when)
        return (self._lowest[at - 1], self._highest[at - 1]) if at else None


class RouteVersions:
    """All valid versions of one route. Built once the recording is complete."""

    def __init__(self, versions: list[Version]) -> None:
        valid = [one for one in versions if one.valid]
        self._by_number = sorted(valid, key=lambda one: one.number)
        self._numbers = [one.number for one in self._by_number]
        offered = [one.offered_at for one in reversed(self._by_number)]
        # for each number in order: the earliest offer of it or of a higher one
        self._first_offered_from = list(accumulate(offered, min))[::-1]
        acked = sorted((one.acked_at, one.number) for one in valid if one.acked_at is not None)
        self._acked_at = [when for when, _ in acked]
        self._highest_acked_at = list(accumulate((number for _, number in acked), max))
        self._valid = [*valid, NO_VERSION]
        self._allowing: dict[str, VersionsByTime] = {}

    def highest_acked(self, until: int) -> int:
        """The highest number acknowledged by `until`; 0 if none was."""
        at = bisect_right(self._acked_at, until)
        return self._highest_acked_at[at - 1] if at else 0

    def offered_from(self, lowest: int, until: int) -> list[Version]:
        """The versions numbered `lowest` or higher that were offered by `until`."""
        found: list[Version] = []
        for at in range(bisect_left(self._numbers, lowest), len(self._numbers)):
            if self._first_offered_from[at] > until:
                break
            if self._by_number[at].offered_at <= until:
                found.append(self._by_number[at])
        return found

    def allowing(self, service: str) -> VersionsByTime:
        """The versions that route to a service; for an empty name, those without the route."""
        found = self._allowing.get(service)
        if found is None:
            allows = [
                one for one in self._valid if (service in one.services if service else not one.services)
            ]
            found = self._allowing[service] = VersionsByTime(allows)
        return found
