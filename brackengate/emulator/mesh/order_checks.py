"""Rules about configuration changes. All report under CONFIG, as in the operators' documentation.

They use only what operators, callers and upstreams observed (`checks.History`), no internal state of a role.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from brackengate.emulator.checks import Broken

if TYPE_CHECKING:
    from brackengate.emulator.mesh.checks import History
    from brackengate.emulator.mesh.versions import Version

OK = 200
REFUSALS = (400, 409, 412, 413, 422)  # statuses after which the operator does not retry a change


def confirmed_twice(history: History) -> Broken:
    """Two changes that set a route to different contents under one version are both acknowledged."""
    violations = Broken("CONFIG")
    for route, versions in history.versions.items():
        confirmed: dict[int, tuple[int, Version]] = {}
        for one, call in _with_calls(history, versions):
            when = next((at for at, status in history.replies[call] if status == OK), None)
            if when is None or not one.valid:
                continue
            first = confirmed.setdefault(one.number, (call, one))
            if set(first[1].services) != set(one.services):
                violations.at(
                    when,
                    f"call {call} sets {route} to {one.services} under version {one.number}, and is"
                    f" confirmed; so is call {first[0]}, with {first[1].services}",
                )
    return violations


def _with_calls(history: History, versions: list[Version]) -> list[tuple[Version, int]]:
    call_of = {id(one): call for call, items in history.changes.items() for one in items}
    return [(one, call_of[id(one)]) for one in versions]


def refused_again(history: History) -> Broken:
    """An acknowledged change is refused when sent again; also where the first acknowledgement was lost."""
    violations = Broken("CONFIG")
    for call, replies in history.replies.items():
        acked_at = next((at for at, status in replies if status == OK), None)
        for when, status in replies:
            if acked_at is not None and when > acked_at and status in REFUSALS:
                violations.at(
                    when, f"call {call} was acknowledged, and is answered {status} when it comes again"
                )
    return violations


def outdated_after_start(history: History) -> Broken:
    """A proxy uses an older configuration than was acknowledged before its process started.

    In contact or not: until it has a configuration at least that new, it must not be ready.
    """
    violations = Broken("CONFIG")
    for when, _, service, attempt_id, _, _, _ in history.runs:
        attempt = history.attempts.get(attempt_id)
        if attempt is None:
            continue
        starts = history.process_starts[history.names[attempt.ip]]
        incarnation = bisect_right(starts, attempt.sent_at)
        if not incarnation:
            continue
        versions = history.route_versions(attempt.route)
        lowest, version_range = (
            versions.highest_acked(starts[incarnation - 1]),
            versions.allowing(service).range_until(when),
        )
        if version_range is not None and version_range[1] < lowest:
            violations.at(
                when,
                f"{attempt_id} on {attempt.route} runs at {service}, as only version {version_range[1]}"
                f" has it; version {lowest} was acknowledged before its proxy started",
            )
    return violations
