"""The versions of one route that operators sent, with answers in logarithmic time for days of changes."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from itertools import accumulate


@dataclass(slots=True)
class Version:
    number: int
    services: tuple[str, ...]  # none: dropped
    offered: int
    sound: bool
    acked: int | None = None


NO_VERSION = Version(0, (), 0, True)  # before the first one


class Allowing:
    """The versions that allow one way to handle a request: by when they were offered."""

    def __init__(self, versions: list[Version]) -> None:
        ordered = sorted(versions, key=lambda one: one.offered)
        self._offered = [one.offered for one in ordered]
        self._newest = list(accumulate((one.number for one in ordered), max))
        self._least = list(accumulate((one.number for one in ordered), min))

    def until(self, when: int) -> tuple[int, int] | None:
        """The lowest and the highest number among those offered by then; None: there is none."""
        at = bisect_right(self._offered, when)
        return (self._least[at - 1], self._newest[at - 1]) if at else None


class RouteVersions:
    """All versions of one route, once all is recorded."""

    def __init__(self, versions: list[Version]) -> None:
        sound = [one for one in versions if one.sound]
        self._by_number = sorted(sound, key=lambda one: one.number)
        self._numbers = [one.number for one in self._by_number]
        offered = [one.offered for one in reversed(self._by_number)]
        self._first_offered = list(accumulate(offered, min))[::-1]  # from each number on
        acked = sorted((one.acked, one.number) for one in sound if one.acked is not None)
        self._acked_at = [when for when, _ in acked]
        self._acked_highest = list(accumulate((number for _, number in acked), max))
        self._sound = [*sound, NO_VERSION]
        self._allowing: dict[str, Allowing] = {}

    def highest_acked(self, until: int) -> int:
        """Among those acknowledged by then; 0: none was."""
        at = bisect_right(self._acked_at, until)
        return self._acked_highest[at - 1] if at else 0

    def offered_from(self, least: int, until: int) -> list[Version]:
        """Those from a number on that were offered by a time."""
        found: list[Version] = []
        for at in range(bisect_left(self._numbers, least), len(self._numbers)):
            if self._first_offered[at] > until:
                break
            if self._by_number[at].offered <= until:
                found.append(self._by_number[at])
        return found

    def allowing(self, service: str) -> Allowing:
        """The versions that send a request to a service; to none, where it is empty."""
        found = self._allowing.get(service)
        if found is None:
            allows = [
                one for one in self._sound if (service in one.services if service else not one.services)
            ]
            found = self._allowing[service] = Allowing(allows)
        return found
