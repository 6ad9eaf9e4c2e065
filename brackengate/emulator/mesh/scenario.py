"""Scenario files of the mesh simulation: machines, client traffic, operators and the schedule of faults.

Field names of the sections are the keys of the file.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

from brackengate.emulator.mesh.names import Names
from brackengate.emulator.scenario import Found, Name, Network, Part
from brackengate.installation.reading import Key, parse_as, read_as
from brackengate.installation.schema import MS, Bounds, S, Section
from brackengate.installation.units import Duration

FaultKinds = Literal[
    "kill", "term", "power", "wipe", "freeze", "cut", "stall", "full", "clock", "seeds",
    "replace", "crash", "reuse", "close", "reset", "loss",
    "replace_core", "ack_lost", "reset_conns", "bad_order", "config_race", "resend", "overtaken_order",
    "big_order",
]  # fmt: skip
BadChangeKinds = Literal["same_version", "old_version", "unknown_service", "stale_match"]
NEED_DURATION = (  # kinds that require `lasts`
    "kill", "power", "wipe", "freeze", "cut", "stall", "full", "loss", "ack_lost", "reset_conns",
)  # fmt: skip
SENDS_CHANGE = ("ack", "sent")  # values of `after` for which the fault itself sends a configuration change
# Machines that a kind of fault may affect: l, the control replicas; p, the machines with proxies; none: the
# fault has no target machine.
TARGETS_BY_KIND = {
    "kill": "lp",
    "term": "p",
    "power": "lp",
    "wipe": "l",
    "freeze": "lp",
    "cut": "lp",
    "stall": "l",
    "full": "l",
    "clock": "lp",
    "seeds": "l",
    "replace": "p",
    "crash": "p",
    "reuse": "p",
    "close": "",
    "reset": "lp",
    "loss": "",
    "replace_core": "l",
    "ack_lost": "",
    "reset_conns": "lp",
    "bad_order": "",
    "config_race": "",
    "resend": "",
    "overtaken_order": "",
    "big_order": "",
}
# kinds that affect configuration changes instead of machines
CHANGE_FAULTS = ("ack_lost", "bad_order", "config_race", "resend", "overtaken_order", "big_order")
MACHINE_PATTERN = re.compile(r"(?:[lp][0-9]{1,4}|head|middle|tail|core|pilots|acker|lot)")
ALLOWED_MACHINES = "l0, p0, head, middle, tail, core, pilots, acker, lot"


class Core(Section, frozen=True, kw_only=True):
    """The control plane: number of replicas, and the time that their disks need for a sync."""

    count: Annotated[int, Bounds(1, 9)] = 3
    spare: Annotated[int, Bounds(0, 1000)] = 0  # replacement machines, for `seeds` and `replace_core`
    tolerance: Annotated[int, Bounds(0, 4)] = 1  # disks that may be lost at the same time
    sync: Annotated[Duration, Bounds(1, S)] = Duration(MS)


class Service(Section, frozen=True, kw_only=True):
    """A service: machines with a proxy and an upstream each, and the concurrency and queue of an upstream."""

    pilots: Annotated[int, Bounds(1, 100)]
    slots: Annotated[int, Bounds(1, 1000)] = 4
    room: Annotated[int, Bounds(0, 10_000)] = 8


class Route(Section, frozen=True, kw_only=True):
    """Traffic of one route. Each request starts at a random proxy."""

    service: str
    kind: Literal["idempotent", "effectful", "keyed"] = "idempotent"
    rate: Annotated[float, Bounds(0.0, 1e5)]  # new requests per second
    work: Annotated[Duration, Bounds(1, 60 * S)] = Duration(20 * MS)
    aim: Annotated[Duration, Bounds(MS, 60 * S)] = Duration(250 * MS)
    deadline: Annotated[Duration, Bounds(MS, 60 * S)] = Duration(800 * MS)
    attempts: Annotated[int, Bounds(1, 8)] = 2
    again: Part = 0.2  # share of keyed requests sent once more from another zone


class Operators(Section, frozen=True, kw_only=True):
    """Configuration changes that the operators send, and probes that show which configuration is in force."""

    every: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)  # mean time between changes; 0: none
    race: Part = 0.3  # share of changes that are followed by a second one at once
    invalid: Part = 0.1
    late: Annotated[Duration, Bounds(0, 60 * S)] = Duration(3 * S)  # age of their list of control replicas
    probes: Annotated[float, Bounds(0.001, 100.0)] = 1.0  # per second, on routes that are added and removed


class Limits(Section, frozen=True, kw_only=True):
    """Time limits and ratios of the checked rules, under their names in the operators' documentation."""

    contact: Duration = Duration(3 * S)
    drain: Duration = Duration(2 * S)
    grace: Duration = Duration(6 * S)
    apply_time: Duration = Duration(2 * S)
    regress_slack: Duration = Duration(250 * MS)
    dedupe_window: Duration = Duration(60 * S)
    recovery: Duration = Duration(15 * S)
    feedback: Duration = Duration(1500 * MS)
    reuse_delay: Duration = Duration(2 * S)
    loss_slack: Duration = Duration(200 * MS)
    retry_ratio: Annotated[float, Bounds(0.0, 10.0)] = 0.2
    retry_window: Duration = Duration(10 * S)
    retry_slack: Annotated[float, Bounds(0.0, 1e6)] = 30.0


class Fault(Section, frozen=True, kw_only=True):
    """One entry of the schedule of faults. `at` counts from the first request."""

    at: Annotated[Duration, Bounds(0, 30 * 24 * 3600 * S)]
    kind: FaultKinds
    # Target machines: l0, p3; head, middle, tail; core, pilots; acker (the one that answered a configuration
    # change last); lot (a random control replica).  None for `close` and for faults of configuration changes.
    on: tuple[str, ...] = ()
    # `cut`: the machines that the targets are partitioned from; none: all others.  With `after`: the machines
    # that the fault affects.
    to: tuple[str, ...] = ()
    lasts: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)
    one_way: bool = False  # `cut`: messages from `to` still arrive
    by: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(5 * S)  # `clock`: size of the jump
    # `loss`: share of packets, which arrive late; `ack_lost`: share of the lost acknowledgements to the
    # operators; `reset_conns`: share of a machine's connections.
    part: Part = 0.05
    back: bool = False  # `clock`: jump backwards
    # When the fault takes effect.  `sync`: at the target's next commit of a claim; `ack`: at the next
    # acknowledgement of a configuration change; `sent`: `wait` after a configuration change was sent.
    after: Literal["", "sync", "ack", "sent"] = ""
    wait: Annotated[Duration, Bounds(0, S)] = Duration(0)  # `sent`; 0: random, 5 to 400 ms
    planned: bool = False  # `replace_core`: the new machine starts first, then the old one gets SIGTERM
    seeds_first: bool = False  # `cut`: seeds of later starts begin with the partitioned machines
    # `cut`: what is restarted during it.  `others`: a share of the proxies that are not partitioned; `both`:
    # the partitioned machines, then the other control replicas.
    restart: Literal["", "others", "both"] = ""
    order: BadChangeKinds = "same_version"  # `bad_order`
    count: Annotated[int, Bounds(1, 100)] = 1  # number of changes, pairs of changes, or repeated changes
    routes: Annotated[int, Bounds(1, 20_000)] = 1500  # `big_order`
    # `big_order`: `plain`, routes as operators write them; `random`, with 200 incompressible digits each;
    # `removed`, removes the routes of earlier large changes.
    content: Literal["plain", "random", "removed"] = "plain"
    how: Literal["power", "kill", "wipe"] = "power"  # `close`
    every: Annotated[Duration, Bounds(0, 24 * 3600 * S)] = Duration(0)  # repeated until the end; 0: once


class MeshScenario(Section, frozen=True, kw_only=True):
    """A complete scenario file."""

    kind: Literal["mesh"]
    name: Name
    length: Annotated[Duration, Bounds(S, 30 * 24 * 3600 * S)]
    zones: tuple[Name, ...] = ("a", "b", "c")
    # Of routes, services and upstreams on the wire: as here, of any letters and lengths, or by the seed.
    names: Names = "drawn"
    network: Network = Network()
    core: Core = Core()
    link: Annotated[float, Bounds(0.0, 1e6)] = 0.0  # Mbit/s of a proxy's machine, each way; 0: unlimited
    core_link: Annotated[float, Bounds(0.0, 1e6)] = 0.0
    service: dict[str, Service]
    route: dict[str, Route]
    operators: Operators = Operators()
    limits: Limits = Limits()
    fault: tuple[Fault, ...] = ()
    found: Found = Found()


def proxy_count(scenario: MeshScenario) -> int:
    """Number of machines with a proxy, over all services."""
    return sum(service.pilots for service in scenario.service.values())


def validation_errors(scenario: MeshScenario) -> list[tuple[Key, str]]:
    """Errors that the types of the fields don't show: keys with a description each."""
    errors: list[tuple[Key, str]] = []
    if not scenario.zones:
        errors.append((("zones",), "is empty; one at least"))
    if not scenario.service:
        errors.append((("service",), "is empty; one at least"))
    if not scenario.route:
        errors.append((("route",), "is empty; one at least"))
    if scenario.core.tolerance >= scenario.core.count:
        errors.append((("core", "tolerance"), f"is not under core.count, which is {scenario.core.count}"))
    for name, route in scenario.route.items():
        if route.service not in scenario.service:
            problem = f"there is no service {route.service!r}; allowed: {', '.join(scenario.service)}"
            errors.append((("route", name, "service"), problem))
    previous_at = -1
    for number, fault in enumerate(scenario.fault):
        key: Key = ("fault", number)
        if fault.at < previous_at:
            errors.append(((*key, "at"), "comes before the one above it; faults stand in the order of time"))
        previous_at = int(fault.at)
        if fault.at >= scenario.length:
            errors.append(((*key, "at"), f"is after the end; allowed: before {scenario.length}"))
        errors += [((*key, *more), problem) for more, problem in _fault_errors(scenario, fault)]
    return errors


def _fault_errors(scenario: MeshScenario, fault: Fault) -> Iterable[tuple[Key, str]]:
    core_count, pilot_count = scenario.core.count + scenario.core.spare, proxy_count(scenario)
    for field, names in (("on", fault.on), ("to", fault.to)):
        for name in names:
            if MACHINE_PATTERN.fullmatch(name) is None:
                yield (field,), f"{name!r} is no machine; allowed: {ALLOWED_MACHINES}"
            elif name[1:].isdigit() and int(name[1:]) >= (core_count if name[0] == "l" else pilot_count):
                yield (
                    (field,),
                    f"there is no {name}; there are {core_count} of the core and {pilot_count} pilots",
                )
            elif field == "on" and _target_group(name) not in TARGETS_BY_KIND[fault.kind]:
                yield (field,), f"{fault.kind} does not strike {name}"
    if not fault.on and TARGETS_BY_KIND[fault.kind]:
        yield ("on",), f"is missing: whom does {fault.kind} strike?"
    if fault.kind in NEED_DURATION and not fault.lasts:
        yield ("lasts",), f"is missing: {fault.kind} has an end"
    if fault.after and fault.kind not in ("power", "kill", "wipe", "close"):
        yield ("after",), f"{fault.kind} waits for nothing"
    if fault.kind == "replace_core" and not scenario.core.spare:
        yield ("kind",), "replace_core needs a machine that takes the place: core.spare is 0"


def _target_group(name: str) -> str:
    """`p` for machines with proxies, `l` for control replicas, as in TARGETS_BY_KIND."""
    return "p" if name == "pilots" or re.fullmatch(r"p[0-9]+", name) else "l"


def load(path: str | Path) -> MeshScenario:
    """Read a scenario file.

    Raises BadFile, which lists every error with its line and the allowed values.
    """
    return read_as(MeshScenario, path, validation_errors)


def parse_scenario(text: str, name: str, sets: Iterable[str]) -> MeshScenario:
    """Parse the text of a scenario file. `sets` override keys of it, as `key=value`.

    Raises BadFile.
    """
    return parse_as(MeshScenario, text, name, validation_errors, sets)
