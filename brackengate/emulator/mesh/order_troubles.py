"""Troublesome orders of the operators: repeated, overtaken, outdated, or two under one version."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from brackengate.emulator.loop import S
from brackengate.emulator.mesh.scenario import OrderKinds

if TYPE_CHECKING:
    from brackengate.emulator.mesh.people import Change, Operators

PAUSE = S  # between two troublesome orders of one fault
BRIEF_SERVICE = "brief"  # it is added, one route goes to it, the route moves on, and it is removed
BRIEF_ROUTE = "y0"
BIG_ORDER_PROBES = 60  # requests that ask for a large order's routes once it must be in force
PROBED_FOR = 3 * S  # the time over which they come
RACED_ROUTES = ("x0", "x1", "x2")  # the routes that the operators add and drop


class OrderTroubles:
    """Sends them by the operators' own means, so that they are repeated and acknowledged like all others."""

    def __init__(self, operators: Operators, rng: random.Random) -> None:
        self._operators, self._rng = operators, rng
        self._many: list[str] = []  # routes of large orders

    def again_and_again(self, count: int, do: Callable[[], None]) -> None:
        for number in range(count):
            self._operators.loop.after(number * PAUSE, do)

    def bad_order(self, kind: OrderKinds) -> None:
        """One that must not take effect, made from the last acknowledged change of a route."""
        {
            "same_version": self._same_version,
            "old_version": self._old_version,
            "unknown_service": self._unknown_service,
            "stale_match": self._stale_removal,
        }[kind]()

    def race(self) -> None:
        """Two operators set one route to different contents under one version, at two machines at once."""
        name = self._rng.choice(RACED_ROUTES)
        one, other = self._two_contents()
        number = self._operators.next_version(name)
        first = self._operators.send([(name, one)], version=number)
        second = self._operators.send([(name, other)], version=number, avoid=first.address)
        self._may_be_refused(first)
        self._may_be_refused(second)

    def resend(self) -> None:
        """An order that was acknowledged earlier is sent again, whatever came after it."""
        if self._operators.history:
            self._operators.resend(self._rng.choice(self._operators.history))

    def overtaken(self) -> None:
        """A service and its route are added, the route moves, the service goes; the first order is resent."""
        operators = self._operators
        plant_version = operators.next_version(BRIEF_SERVICE)
        plant: dict[str, object] = {"Name": BRIEF_SERVICE, "Revision": f"r{plant_version}"}
        operators.note_version(BRIEF_SERVICE, plant_version)

        def moves(first: Change) -> None:
            operators.send([(BRIEF_ROUTE, (operators.services[0],))], done=partial(is_removed, first))

        def is_removed(first: Change, moved: Change) -> None:
            version = operators.next_version(BRIEF_SERVICE)
            operators.note_version(BRIEF_SERVICE, version)
            removed = [(BRIEF_SERVICE, version)]
            operators.send([], removed_plants=removed, done=lambda _: operators.resend(first))

        operators.send([(BRIEF_ROUTE, (BRIEF_SERVICE,))], plants=[plant], done=moves)

    def big_order(self, routes: int, content: str) -> None:
        """An order of many routes; when it must be in force, some of them are asked for."""
        if content == "removed":
            names, self._many = self._many, []
            items = [(name, ()) for name in names]
            self._operators.send(items, done=self._probe_later)
            return
        begun = len(self._many)
        names = [f"z{number}" for number in range(begun, begun + routes)]
        self._many += names
        service = self._rng.choice(self._operators.services)
        digits = 200 if content == "random" else 0
        self._operators.send([(name, (service,)) for name in names], done=self._probe_later, digits=digits)

    def _probe_later(self, change: Change) -> None:
        names = [name for name, _, _ in change.items]
        for number in range(BIG_ORDER_PROBES):
            wait = self._operators.apply_time + PROBED_FOR * number // BIG_ORDER_PROBES
            self._operators.loop.after(wait, partial(self._operators.probe, self._rng.choice(names)))

    # --- orders that must not take effect

    def _same_version(self) -> None:
        found = self._newest_route()
        if found is not None:
            name, number, services = found
            contents = [one for one in self._contents() if set(one) != set(services)]
            order = self._operators.send([(name, self._rng.choice(contents))], version=number)
            self._may_be_refused(order)

    def _old_version(self) -> None:
        self._outdated([one for one in self._contents() if one])

    def _unknown_service(self) -> None:
        self._operators.send([(self._rng.choice(RACED_ROUTES), ("nobody",))], valid=False)

    def _stale_removal(self) -> None:
        """The removal of a route, by a version from before its newest one."""
        self._outdated([()])

    def _outdated(self, contents: list[tuple[str, ...]]) -> None:
        """Under a version below the newest one that no order has used: what it says is new, and too late."""
        found = self._newest_route()
        if found is None:
            return
        free = set(range(1, found[1])) - self._operators.used_versions(found[0])
        if free:
            number = self._rng.choice(sorted(free))
            order = self._operators.send([(found[0], self._rng.choice(contents))], version=number)
            self._may_be_refused(order)

    def _may_be_refused(self, order: Change) -> None:
        """The gate does not ask for its acknowledgement."""
        self._operators.trace("may be refused", order.number)

    def _newest_route(self) -> tuple[str, int, tuple[str, ...]] | None:
        """A route whose newest version was acknowledged, with that version and its services."""
        newest = [
            item
            for change in self._operators.history
            for item in change.items
            if item[1] == self._operators.version_of(item[0]) and item[2]
        ]
        return self._rng.choice(newest) if newest else None

    def _contents(self) -> list[tuple[str, ...]]:
        services = self._operators.services
        return [(), *((service,) for service in services)]

    def _two_contents(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        one, other = self._rng.sample(self._contents(), 2)
        return one, other
