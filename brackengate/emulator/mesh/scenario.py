"""The file of a scenario of the mesh: its machines, who asks, the operators, and what goes wrong when."""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

from brackengate.emulator.scenario import Found, Name, Network, Part
from brackengate.installation.reading import Key, parse_as, read_as
from brackengate.installation.schema import MS, Bounds, S, Section
from brackengate.installation.units import Duration

Kinds = Literal[
    "kill", "term", "power", "wipe", "freeze", "cut", "stall", "full", "clock", "seeds",
    "replace", "crash", "reuse", "close", "reset", "loss",
    "replace_core", "ack_lost", "reset_conns", "bad_order", "config_race", "resend", "overtaken_order",
    "big_order",
]  # fmt: skip
OrderKinds = Literal["same_version", "old_version", "unknown_service", "stale_match"]
LASTING = (  # `lasts` is needed
    "kill", "power", "wipe", "freeze", "cut", "stall", "full", "loss", "ack_lost", "reset_conns",
)  # fmt: skip
AFTER_A_CHANGE = ("ack", "sent")  # values of `after` that send a change of their own
STRIKES = {  # what a kind may strike: machines of the core, with pilots, all
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
# what strikes orders
ORDERS = ("ack_lost", "bad_order", "config_race", "resend", "overtaken_order", "big_order")
MACHINE = re.compile(r"(?:[lp][0-9]{1,4}|head|middle|tail|core|pilots|acker|lot)")
ALLOWED = "l0, p0, head, middle, tail, core, pilots, acker, lot"


class Core(Section, frozen=True, kw_only=True):
    count: Annotated[int, Bounds(1, 9)] = 3
    spare: Annotated[int, Bounds(0, 1000)] = 0  # machines that may take another's place, by `seeds`
    tolerance: Annotated[int, Bounds(0, 4)] = 1  # disks that may be lost at once
    sync: Annotated[Duration, Bounds(1, S)] = Duration(MS)


class Service(Section, frozen=True, kw_only=True):
    pilots: Annotated[int, Bounds(1, 100)]
    slots: Annotated[int, Bounds(1, 1000)] = 4
    room: Annotated[int, Bounds(0, 10_000)] = 8


class Route(Section, frozen=True, kw_only=True):
    """Requests on it begin at random pilots."""

    service: str
    kind: Literal["idempotent", "effectful", "keyed"] = "idempotent"
    rate: Annotated[float, Bounds(0.0, 1e5)]  # a second, of new requests
    work: Annotated[Duration, Bounds(1, 60 * S)] = Duration(20 * MS)
    aim: Annotated[Duration, Bounds(MS, 60 * S)] = Duration(250 * MS)
    deadline: Annotated[Duration, Bounds(MS, 60 * S)] = Duration(800 * MS)
    attempts: Annotated[int, Bounds(1, 8)] = 2
    again: Part = 0.2  # of keyed requests that were served: sent once more, from another zone


class Operators(Section, frozen=True, kw_only=True):
    every: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)  # between two changes; 0: none
    race: Part = 0.3  # of the changes: both operators change the same route at once
    invalid: Part = 0.1
    late: Annotated[Duration, Bounds(0, 60 * S)] = Duration(3 * S)  # their list of lighthouses
    probes: Annotated[float, Bounds(0.001, 100.0)] = 1.0  # a second, on routes that come and go


class Limits(Section, frozen=True, kw_only=True):
    """Of the rules, as the operators' page names them."""

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
    at: Annotated[Duration, Bounds(0, 30 * 24 * 3600 * S)]
    kind: Kinds
    on: tuple[str, ...] = ()  # machines: l0, p3; head, middle, tail; core, pilots; acker (it answered an
    # order last); lot (a core machine drawn by lot).  Of `close` and what strikes orders: none
    to: tuple[str, ...] = ()  # of `cut`: from whom; none: from all others.  With `after`: whom it strikes
    lasts: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)
    one_way: bool = False  # of `cut`: what `to` says still comes
    by: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(5 * S)  # of `clock`
    part: Part = 0.05  # of `loss`: of what is sent, which comes late; of `ack_lost`: of the
    # acknowledgements to the operators, which are lost; of `reset_conns`: of a machine's connections
    back: bool = False  # of `clock`: it goes behind
    after: Literal["", "sync", "ack", "sent"] = ""  # waits for the next commit of a claim there, or the
    # next acknowledgement of a configuration; `sent`: `wait` after a configuration was sent
    wait: Annotated[Duration, Bounds(0, S)] = Duration(0)  # of `sent`; 0: drawn, 5 to 400 ms
    planned: bool = False  # of `replace_core`: the new machine comes first, then the old one gets SIGTERM
    seeds_first: bool = False  # of `cut`: the seeds of later starts begin with the machines cut off
    restart: Literal["", "others", "both"] = ""  # of `cut`: who is restarted meanwhile: a share of the
    # machines that are not cut off; those that are cut off and then the other core machines
    order: OrderKinds = "same_version"  # of `bad_order`
    count: Annotated[int, Bounds(1, 100)] = 1  # of orders, pairs of orders, or orders sent again
    routes: Annotated[int, Bounds(1, 20_000)] = 1500  # of `big_order`
    content: Literal["plain", "random", "removed"] = "plain"  # of `big_order`: as operators write them; with
    # 200 digits each that can't be compressed; or the routes of earlier ones are dropped
    how: Literal["power", "kill", "wipe"] = "power"  # of `close`
    every: Annotated[Duration, Bounds(0, 24 * 3600 * S)] = Duration(0)  # again and again, to the end


class MeshScenario(Section, frozen=True, kw_only=True):
    kind: Literal["mesh"]
    name: Name
    length: Annotated[Duration, Bounds(S, 30 * 24 * 3600 * S)]
    zones: tuple[Name, ...] = ("a", "b", "c")
    network: Network = Network()
    core: Core = Core()
    link: Annotated[float, Bounds(0.0, 1e6)] = 0.0  # Mbit/s of a pilot's machine, each way; 0: without bound
    core_link: Annotated[float, Bounds(0.0, 1e6)] = 0.0
    service: dict[str, Service]
    route: dict[str, Route]
    operators: Operators = Operators()
    limits: Limits = Limits()
    fault: tuple[Fault, ...] = ()
    found: Found = Found()


def proxy_count(told: MeshScenario) -> int:
    return sum(one.pilots for one in told.service.values())


def validation_errors(told: MeshScenario) -> list[tuple[Key, str]]:
    """What its form alone does not show."""
    found: list[tuple[Key, str]] = []
    if not told.zones:
        found.append((("zones",), "is empty; one at least"))
    if not told.service:
        found.append((("service",), "is empty; one at least"))
    if not told.route:
        found.append((("route",), "is empty; one at least"))
    if told.core.tolerance >= told.core.count:
        found.append((("core", "tolerance"), f"is not under core.count, which is {told.core.count}"))
    for name, route in told.route.items():
        if route.service not in told.service:
            what = f"there is no service {route.service!r}; allowed: {', '.join(told.service)}"
            found.append((("route", name, "service"), what))
    last = -1
    for number, one in enumerate(told.fault):
        key: Key = ("fault", number)
        if one.at < last:
            found.append(((*key, "at"), "comes before the one above it; faults stand in the order of time"))
        last = int(one.at)
        if one.at >= told.length:
            found.append(((*key, "at"), f"is after the end; allowed: before {told.length}"))
        found += [((*key, *more), what) for more, what in _fault(told, one)]
    return found


def _fault(told: MeshScenario, one: Fault) -> Iterable[tuple[Key, str]]:
    cores, all_pilots = told.core.count + told.core.spare, proxy_count(told)
    for where, names in (("on", one.on), ("to", one.to)):
        for name in names:
            if MACHINE.fullmatch(name) is None:
                yield (where,), f"{name!r} is no machine; allowed: {ALLOWED}"
            elif name[1:].isdigit() and int(name[1:]) >= (cores if name[0] == "l" else all_pilots):
                yield (where,), f"there is no {name}; there are {cores} of the core and {all_pilots} pilots"
            elif where == "on" and _kind_of(name) not in STRIKES[one.kind]:
                yield (where,), f"{one.kind} does not strike {name}"
    if not one.on and STRIKES[one.kind]:
        yield ("on",), f"is missing: whom does {one.kind} strike?"
    if one.kind in LASTING and not one.lasts:
        yield ("lasts",), f"is missing: {one.kind} has an end"
    if one.after and one.kind not in ("power", "kill", "wipe", "close"):
        yield ("after",), f"{one.kind} waits for nothing"
    if one.kind == "replace_core" and not told.core.spare:
        yield ("kind",), "replace_core needs a machine that takes the place: core.spare is 0"


def _kind_of(name: str) -> str:
    return "p" if name == "pilots" or re.fullmatch(r"p[0-9]+", name) else "l"


def load(path: str | Path) -> MeshScenario:
    """Read a scenario; BadFile names every fault with its line and what is allowed."""
    return read_as(MeshScenario, path, validation_errors)


def parse_scenario(text: str, name: str, sets: Iterable[str]) -> MeshScenario:
    """A scenario from its text, with some of its keys laid over by `key=value`."""
    return parse_as(MeshScenario, text, name, validation_errors, sets)
