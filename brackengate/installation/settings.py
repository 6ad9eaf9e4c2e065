"""What one instance of the fleet is told, derived from the file: its settings and its share of the limits."""

from __future__ import annotations

from dataclasses import dataclass

from brackengate import interface as api
from brackengate.http.rules import SINGLE_REQUEST_HEADERS
from brackengate.installation.schema import File, Upstream
from brackengate.net.sockets import Address, parse_address

REPEATS = {
    "safe": api.Idempotency.REPEATABLE,
    "keyed": api.Idempotency.KEYED,
    "unsafe": api.Idempotency.UNSAFE,
}
DRAIN_EXTRA_US = 600_000  # after the longest deadline, for answers that are on their way
STOP_EXTRA_US = 1_200_000  # SIGKILL comes this long after the longest deadline, by default


@dataclass(frozen=True, slots=True)
class Share:
    """One instance's part of what the installation's machine has."""

    sockets: int
    memory_mb: int


def settings(file: File) -> api.Settings:
    """The decision module's settings.  Every instance has the same."""
    limits, fleet = file.limits, file.fleet
    return api.Settings(
        classes=tuple(
            api.RequestClass(
                name=name,
                target_latency=int(cls.aim),
                deadline=int(cls.deadline),
                idempotency=REPEATS[cls.repeats],
                key_scope=api.KeyScope(cls.key_scope),
                key_memory=int(cls.key_memory),
                value=cls.worth,
                late_value=cls.late_worth,
            )
            for name, cls in file.class_.items()
        ),
        tenants=tuple(api.Tenant(name, t.fraction, t.quota_per_s) for name, t in file.tenant.items()),
        balancers=fleet.balancers or fleet.first_number + fleet.instances,
        tier=limits.tier,
        marks_retry=limits.marks_retry,
        list_on_request=file.upstreams.source == "discovery" and file.upstreams.on_request,
        cold_share=file.cold.share,
        cold_time=int(file.cold.time),
        fall_multiple=file.cold.fall_multiple,
        probes=limits.probes,
        cancel=limits.cancel,
        max_attempts=limits.max_attempts,
        connect_timeout=int(limits.connect_timeout),
        idle_close=int(limits.idle_close),
        max_retry_after=int(limits.max_retry_after),
        over_quota_value=limits.over_quota_worth,
    )


def share(file: File) -> Share:
    """An equal part for each instance."""
    count = file.fleet.instances
    return Share(file.limits.sockets // count, file.limits.memory // count // 1_000_000)


def once(file: File) -> frozenset[bytes]:
    """Headers that may stand once in a request: those that decide something, by this file too."""
    named = [file.versions.client_header]
    if file.graphql.path:
        named += [file.graphql.tenant_header, file.graphql.deadline_header]
    if file.repeats.client == "header":
        named.append(file.repeats.client_header)
    if file.queues.mode != "off":
        named.append(file.queues.place_header)
        named += [file.queues.client_header] if file.queues.client == "header" else []
    return SINGLE_REQUEST_HEADERS.union(name.lower().encode() for name in named if name)


def listed(row: Upstream, since: int) -> tuple[api.Endpoint, Address]:
    """A row as nodes take it.  `since`: when it started, where the row does not say; 0: long ago."""
    endpoint = api.Endpoint(
        upstream=row.name,
        zone=row.zone,
        kind=row.kind,
        cell=row.cell,
        state=api.Lifecycle(row.state),
        weight=row.weight,
        started_at=row.since or since,
    )
    return endpoint, parse_address(row.address)


def longest(file: File) -> int:
    """The longest deadline of any class, in microseconds."""
    return max((int(cls.deadline) for cls in file.class_.values()), default=1_000_000)


def stop_within(file: File) -> int:
    """How long an instance may take to leave before it is killed, in microseconds."""
    return int(file.fleet.stop_within) or longest(file) + STOP_EXTRA_US


def needs_restart(old: File, new: File) -> list[str]:
    """Sections whose changes a running instance can't take: all but where upstreams come from and the log.

    Of `fleet`, what only the supervisor reads is not among them.
    """
    held: tuple[str, ...] = (
        "installation",
        "listener",
        "class_",
        "tenant",
        "limits",
        "cold",
        "graphql",
        "repeats",
        "queues",
        "flow",
        "versions",
        "cells",
        "xds",
    )
    if old.versions.source != "file":
        held = (*held, "route", "pool")
    changed = [name.rstrip("_") for name in held if getattr(old, name) != getattr(new, name)]
    one, other = old.upstreams, new.upstreams
    if (one.source, one.on_request) != (other.source, other.on_request):
        changed.append("upstreams.source")
    told = ("instances", "balancers", "first_number", "watchdog", "runtime_dir", "pin_cores")
    changed += [f"fleet.{name}" for name in told if getattr(old.fleet, name) != getattr(new.fleet, name)]
    return changed
