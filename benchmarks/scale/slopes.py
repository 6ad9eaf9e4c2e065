"""Straight lines through what was measured, and where they lead at the target size.  Pure."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Line:
    """`base` where nothing is, `slope` for each one more.  `off`: the most by which a point is off it, as a
    share of the greatest value."""

    base: float
    slope: float
    off: float

    def at(self, size: float) -> float:
        return self.base + self.slope * size


def fit(points: Sequence[tuple[float, float]]) -> Line:
    """Least squares through (size, value); ValueError where fewer than two sizes differ."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / max(1, count)
    mean_y = sum(y for _, y in points) / max(1, count)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        raise ValueError("a line needs two sizes")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    most = max(abs(y) for _, y in points)
    off = max(abs(y - base - slope * x) for x, y in points)
    return Line(base, slope, off / most if most else 0.0)


def percentile(values: Sequence[float], share: float) -> float:
    """The smallest value that so large a share of them does not exceed; ValueError where there are none."""
    if not values:
        raise ValueError("no values")
    rank = math.ceil(share * len(values) - 1e-9)  # 0.99 of 100 is not the 100th
    return sorted(values)[max(1, rank) - 1]


@dataclass(frozen=True, slots=True)
class Target:
    """The size that the operators name."""

    proxies: int = 970
    services: int = 170
    calls_per_s: float = 110_000.0
    added_ms: float = 0.94  # for 99 calls in 100
    regions: int = 2
    zones: int = 7
    replicas: int = 6
    changes_per_day: float = 3_000.0
    restarts_per_day: float = 290.0
    change_within_s: float = 4.0
    control_share_of_core: float = 0.033
    control_memory_mb: float = 32.0
    control_bytes_per_s: float = 17_000.0

    @property
    def calls_per_proxy(self) -> float:
        """Calls a second that one proxy carries out, and as many that it lets in."""
        return self.calls_per_s / self.proxies


@dataclass(frozen=True, slots=True)
class KeyLoad:
    """Claims of keys at the target: an assumption, as the operators name no share."""

    keyed_share: float = 0.1
    window_s: float = 60.0
    kept_windows: float = 2.0  # a key is dropped by its age at the head, after so many windows

    def claims_per_s(self, target: Target) -> float:
        return target.calls_per_s * self.keyed_share

    def live_keys(self, target: Target) -> float:
        return self.claims_per_s(target) * self.window_s * self.kept_windows

    def chains(self, target: Target, claims_per_chain: float, load: float = 0.5) -> int:
        """Chains that carry the claims, each loaded to that share of what it can do."""
        return max(1, -int(-self.claims_per_s(target) // (claims_per_chain * load)))


def cores_for_calls(target: Target, cpu_ms_per_call: float) -> float:
    """Of all proxies together; one call passes two of them."""
    return target.calls_per_s * cpu_ms_per_call / 1e3


def proxy_core_share(target: Target, cpu_ms_per_call: float) -> float:
    return cores_for_calls(target, cpu_ms_per_call) / target.proxies
