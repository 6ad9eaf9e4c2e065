"""The proxies' records of one request, in order of time and formatted as text."""

from __future__ import annotations

import time
from collections.abc import Iterable
from typing import Any

from brackengate.protocol.messages import FollowerStatus

Hop = dict[str, Any]


def in_order(proxies: Iterable[FollowerStatus]) -> list[tuple[str, Hop]]:
    """All records by the clocks of the proxies, which may differ; egress before ingress."""
    found = [(one.addr, hop) for one in proxies for hop in one.decisions]
    return sorted(found, key=lambda one: (one[1]["at"], one[1]["hop"] == "gate"))


def text(proxy: str, hop: Hop) -> str:
    """One record as text for operators."""
    at = hop["at"]
    clock = time.strftime("%H:%M:%S", time.gmtime(at // 1_000_000)) + f".{at // 1000 % 1000:03d}"
    if hop["hop"] == "gate":
        key = f", key {hop['key']}" if hop["key"] else ""
        why = f" ({hop['why']})" if hop["why"] else ""
        where = f"route {hop['route']}{key}, for {hop['upstream']}"
        return f"{clock}  gate {proxy}  {where}: {hop['said']}{why} after {hop['took_ms']:.1f} ms"
    if not hop["route"]:
        return f"{clock}  out  {proxy}  answered {hop['status']}: {hop['why']}"
    lines = [f"{clock}  out  {proxy}  route {hop['route']} to {hop['service']}, {hop['limit_ms']:.0f} ms"]
    for step in hop["steps"]:
        took = f", {step['took_ms']:.1f} ms" if step["outcome"] != "still out" else ""
        lines.append(f"    +{step['after_ms']:.1f} ms  sent to {step['upstream']}: {step['outcome']}{took}")
    status = hop["status"]
    if status is None:
        lines.append("    no answer yet")
    elif status == 0:
        lines.append(f"    its caller left after {hop['took_ms']:.1f} ms")
    elif status == 200:
        lines.append(f"    an upstream's answer went back after {hop['took_ms']:.1f} ms")
    else:
        lines.append(f"    answered {status} by the pilot after {hop['took_ms']:.1f} ms")
    return "\n".join(lines)
