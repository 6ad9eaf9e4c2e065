"""Faulty configuration changes: repeated, overtaken, outdated, or two under one version."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from brackengate.emulator.loop import S
from brackengate.emulator.mesh.scenario import BadChangeKinds

if TYPE_CHECKING:
    from brackengate.emulator.mesh.people import Change, Operators

PAUSE_US = S  # between two faulty changes of one fault
TEMPORARY_SERVICE = "brief"  # added with one route to it, and removed after the route has moved away
TEMPORARY_ROUTE = "y0"
BIG_CHANGE_PROBES = 60  # requests to routes of a large change once it must be in force
PROBE_PERIOD_US = 3 * S  # the probes are spread over this time
RACED_ROUTES = ("x0", "x1", "x2")  # the routes that the operators add and remove


class ChangeFaults:
    """Sends faulty changes through `Operators`, so that they are retried and acknowledged like all others."""

    def __init__(self, operators: Operators, rng: random.Random) -> None:
        self._operators, self._rng = operators, rng
        self._big_change_routes: list[str] = []

    def repeat(self, count: int, send: Callable[[], None]) -> None:
        """Call `send` count times, PAUSE_US apart, starting now."""
        for number in range(count):
            self._operators.loop.after(number * PAUSE_US, send)

    def send_bad_change(self, kind: BadChangeKinds) -> None:
        """Send a change that must not take effect, made from the last acknowledged change of a route."""
        {
            "same_version": self._send_same_version,
            "old_version": self._send_old_version,
            "unknown_service": self._send_unknown_service,
            "stale_match": self._send_stale_removal,
        }[kind]()

    def send_race(self) -> None:
        """Set one route to two contents under one version, at two replicas at the same time."""
        name = self._rng.choice(RACED_ROUTES)
        one, other = self._two_contents()
        number = self._operators.next_version(name)
        first = self._operators.send([(name, one)], version=number)
        second = self._operators.send([(name, other)], version=number, avoid=first.address)
        self._allow_refusal(first)
        self._allow_refusal(second)

    def resend_earlier(self) -> None:
        """Send a random acknowledged change again, whatever came after it."""
        if self._operators.history:
            self._operators.resend(self._rng.choice(self._operators.history))

    def send_overtaken(self) -> None:
        """Add a service and its route, move the route, remove the service; then resend the first change."""
        operators = self._operators
        service_version = operators.next_version(TEMPORARY_SERVICE)
        service: dict[str, object] = {"Name": TEMPORARY_SERVICE, "Revision": f"r{service_version}"}
        operators.note_version(TEMPORARY_SERVICE, service_version)

        def move_route(first: Change) -> None:
            operators.send([(TEMPORARY_ROUTE, (operators.services[0],))], done=partial(remove_service, first))

        def remove_service(first: Change, moved: Change) -> None:
            version = operators.next_version(TEMPORARY_SERVICE)
            operators.note_version(TEMPORARY_SERVICE, version)
            removed = [(TEMPORARY_SERVICE, version)]
            operators.send([], removed_plants=removed, done=lambda _: operators.resend(first))

        operators.send([(TEMPORARY_ROUTE, (TEMPORARY_SERVICE,))], plants=[service], done=move_route)

    def send_big_change(self, routes: int, content: str) -> None:
        """Send a change of many routes; once it must be in force, send probes to some of them.

        `content` as in `Fault.content`.
        """
        if content == "removed":
            names, self._big_change_routes = self._big_change_routes, []
            items = [(name, ()) for name in names]
            self._operators.send(items, done=self._schedule_probes)
            return
        first = len(self._big_change_routes)
        names = [f"z{number}" for number in range(first, first + routes)]
        self._big_change_routes += names
        service = self._rng.choice(self._operators.services)
        digits = 200 if content == "random" else 0
        self._operators.send(
            [(name, (service,)) for name in names], done=self._schedule_probes, digits=digits
        )

    def _schedule_probes(self, change: Change) -> None:
        names = [name for name, _, _ in change.items]
        for number in range(BIG_CHANGE_PROBES):
            wait = self._operators.apply_time + PROBE_PERIOD_US * number // BIG_CHANGE_PROBES
            self._operators.loop.after(wait, partial(self._operators.probe, self._rng.choice(names)))

    # --- changes that must not take effect

    def _send_same_version(self) -> None:
        found = self._newest_route()
        if found is not None:
            name, number, services = found
            contents = [one for one in self._possible_contents() if set(one) != set(services)]
            change = self._operators.send([(name, self._rng.choice(contents))], version=number)
            self._allow_refusal(change)

    def _send_old_version(self) -> None:
        self._send_outdated([one for one in self._possible_contents() if one])

    def _send_unknown_service(self) -> None:
        self._operators.send([(self._rng.choice(RACED_ROUTES), ("nobody",))], valid=False)

    def _send_stale_removal(self) -> None:
        """Send the removal of a route under a version older than its newest one."""
        self._send_outdated([()])

    def _send_outdated(self, contents: list[tuple[str, ...]]) -> None:
        """Send one of `contents` under an unused version below the newest one: unknown, but outdated."""
        found = self._newest_route()
        if found is None:
            return
        free = set(range(1, found[1])) - self._operators.used_versions(found[0])
        if free:
            number = self._rng.choice(sorted(free))
            change = self._operators.send([(found[0], self._rng.choice(contents))], version=number)
            self._allow_refusal(change)

    def _allow_refusal(self, change: Change) -> None:
        """Record that the change may be refused, so that the ACKS check requires no acknowledgement of it."""
        self._operators.trace("may be refused", change.number)

    def _newest_route(self) -> tuple[str, int, tuple[str, ...]] | None:
        """A random route whose newest version was acknowledged, with that version and its services."""
        newest = [
            item
            for change in self._operators.history
            for item in change.items
            if item[1] == self._operators.version_of(item[0]) and item[2]
        ]
        return self._rng.choice(newest) if newest else None

    def _possible_contents(self) -> list[tuple[str, ...]]:
        services = self._operators.services
        return [(), *((service,) for service in services)]

    def _two_contents(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        one, other = self._rng.sample(self._possible_contents(), 2)
        return one, other
