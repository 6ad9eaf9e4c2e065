"""The rules about orders: each says CONFIG, as the operators' page does.

They read what operators, callers and upstreams saw, as `checks.History` holds it, and nothing of the roles.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from brackengate.emulator.checks import Broken

if TYPE_CHECKING:
    from brackengate.emulator.mesh.checks import History
    from brackengate.emulator.mesh.versions import Version

OK = 200
REFUSALS = (400, 409, 412, 413, 422)  # answers on which the operator gives an order up


def confirmed_twice(seen: History) -> Broken:
    """Two orders that set an item to different contents under one version are both confirmed."""
    broken = Broken("CONFIG")
    for route, versions in seen.versions.items():
        confirmed: dict[int, tuple[int, Version]] = {}
        for one, call in _with_calls(seen, versions):
            when = next((at for at, status in seen.replies[call] if status == OK), None)
            if when is None or not one.sound:
                continue
            first = confirmed.setdefault(one.number, (call, one))
            if set(first[1].services) != set(one.services):
                broken.at(
                    when,
                    f"call {call} sets {route} to {one.services} under version {one.number}, and is"
                    f" confirmed; so is call {first[0]}, with {first[1].services}",
                )
    return broken


def _with_calls(seen: History, versions: list[Version]) -> list[tuple[Version, int]]:
    call_of = {id(one): call for call, items in seen.calls.items() for one in items}
    return [(one, call_of[id(one)]) for one in versions]


def refused_again(seen: History) -> Broken:
    """An order that was acknowledged is refused when it is sent again; also where the first ack was lost."""
    broken = Broken("CONFIG")
    for call, replies in seen.replies.items():
        taken = next((at for at, status in replies if status == OK), None)
        for when, status in replies:
            if taken is not None and when > taken and status in REFUSALS:
                broken.at(when, f"call {call} was acknowledged, and is answered {status} when it comes again")
    return broken


def outdated_after_start(seen: History) -> Broken:
    """A proxy handles by an older configuration than was acknowledged before its process started.

    In touch or not: until it holds a configuration at least that new, it must not be ready.
    """
    broken = Broken("CONFIG")
    for when, _, plant, attempt, _, _, _ in seen.ran:
        asked = seen.asked.get(attempt)
        if asked is None:
            continue
        lives = seen.lives[seen.names[asked.ip]]
        life = bisect_right(lives, asked.at)
        if not life:
            continue
        versions = seen.of_route(asked.route)
        least, allows = versions.highest_acked(lives[life - 1]), versions.allowing(plant).until(when)
        if allows is not None and allows[1] < least:
            broken.at(
                when,
                f"{attempt} on {asked.route} runs at {plant}, as only version {allows[1]} has it; version"
                f" {least} was acknowledged before its proxy started",
            )
    return broken
