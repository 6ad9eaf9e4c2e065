"""A scenario's file: who there is, who asks, and what goes wrong when."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from brackengate.installation import schema
from brackengate.installation.reading import Key, cross_checks, parse_as, read_as
from brackengate.installation.schema import MS, Bounds, Queues, Repeats, S, Section
from brackengate.installation.units import Duration, Size

Name = Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9_-]{1,64}$")]
Part = Annotated[float, Bounds(0.0, 1.0)]
Kinds = Literal[
    "kill", "roll", "release", "zone", "partition", "loss", "reset", "slow", "silent", "flap", "clock",
    "late", "stale", "wrong", "flood", "move",
]  # fmt: skip
ON = {  # what a kind of fault strikes; the first is meant where nothing is said
    "kill": ("upstreams", "balancers"),
    "roll": ("upstreams", "balancers"),
    "release": ("upstreams",),
    "zone": ("all",),
    "partition": ("all",),
    "loss": ("all",),
    "reset": ("upstreams", "clients"),
    "slow": ("upstreams",),
    "silent": ("upstreams",),
    "flap": ("upstreams",),
    "clock": ("balancers", "upstreams"),
    "late": ("discovery",),
    "stale": ("balancers",),
    "wrong": ("discovery",),
    "flood": ("clients",),
    "move": ("all",),
}
LASTING = (
    "kill", "zone", "partition", "loss", "slow", "silent", "flap", "late", "stale", "wrong", "flood",
)  # fmt: skip
ENDS = tuple(kind for kind in (*LASTING, "release") if kind != "kill")  # for these `lasts` is needed


class Network(Section, frozen=True, kw_only=True):
    same: Annotated[Duration, Bounds(0, S)] = Duration(300)  # one way within a zone
    cross: Annotated[Duration, Bounds(0, S)] = Duration(600)
    jitter: Part = 0.2


class Upstreams(Section, frozen=True, kw_only=True):
    count: Annotated[int, Bounds(0, 10_000)]
    slots: Annotated[int, Bounds(1, 1000)] = 1
    room: Annotated[int, Bounds(0, 10_000)] = 16
    cold: Annotated[Duration, Bounds(0, 600 * S)] = Duration(9 * S)
    cold_share: Annotated[float, Bounds(0.01, 1.0)] = 0.32
    fall_multiple: Annotated[float, Bounds(0, 100)] = 3.0  # 0: none is pushed over


class Below(Upstreams, frozen=True, kw_only=True):
    """A tier that upstreams call, once for each request, through a balancer beside each of them."""

    count: Annotated[int, Bounds(0, 10_000)] = 0  # 0: there is none
    part: Annotated[float, Bounds(0.001, 100.0)] = 1.0  # of a request's work, there


class Balancers(Section, frozen=True, kw_only=True):
    count: Annotated[int, Bounds(1, 1000)]
    max_attempts: Annotated[int, Bounds(1, 16)] = 4
    max_retry_after: Annotated[Duration, Bounds(0, 60 * S)] = Duration(0)
    probes: bool = True
    connect_timeout: Annotated[Duration, Bounds(MS, 60 * S)] = Duration(300 * MS)
    start: Annotated[Duration, Bounds(0, 60 * S)] = Duration(500 * MS)  # from its process to its first list
    marks_retry: bool = False
    sockets: Annotated[int, Bounds(64, 1 << 20)] = 1024
    memory: Annotated[Size, Bounds(32_000_000, 1 << 40)] = Size(192_000_000)
    module: Annotated[str, msgspec.Meta(pattern="^[a-z_]{1,64}$")] = "brain"  # or one of `variants.py`


class Cells(Section, frozen=True, kw_only=True):
    """Upstreams dealt to cells in turn, and dealers too where `assign` does not say."""

    count: Annotated[int, Bounds(0, 1000)] = 0  # 0: there are none
    apply: bool = (
        True  # off: balancers know of none, for the contrast; faults still strike a cell's upstreams
    )
    assign: dict[str, str] = msgspec.field(default_factory=dict)  # dealer to cell: c0, c1 ...
    lease: Annotated[Duration, Bounds(300 * MS, 600 * S)] = Duration(3 * S)
    skew: Annotated[Duration, Bounds(0, 60 * S)] = Duration(100 * MS)
    check_every: Annotated[Duration, Bounds(10 * MS, 200 * S)] = Duration(500 * MS)


class Discovery(Section, frozen=True, kw_only=True):
    least: Annotated[Duration, Bounds(0, 60 * S)] = Duration(200 * MS)  # until a balancer is told
    most: Annotated[Duration, Bounds(0, 60 * S)] = Duration(2 * S)


class Clients(Section, frozen=True, kw_only=True):
    rate: Annotated[float, Bounds(0.01, 1e6)]  # first tries a second, all together
    retries: Annotated[int, Bounds(0, 100)] = 2
    backoff: Annotated[Duration, Bounds(0, 60 * S)] = Duration(50 * MS)
    patience: Annotated[Duration, Bounds(0, 600 * S)] = Duration(0)  # with one try; 0: to the deadline
    obey: bool = False  # come back when told, in place of `backoff`
    keep: bool = True  # connections, for the next request
    notice: Annotated[Duration, Bounds(0, 60 * S)] = Duration(2 * S)  # until the front sees a dead balancer
    dealers: Annotated[int, Bounds(1, 10_000)] = 1
    skew: Annotated[float, Bounds(0.0, 5.0)] = 0.0  # the n-th dealer asks 1/n**skew as often as the first
    closes: tuple[Duration, ...] = ()  # of lots
    rush: Annotated[float, Bounds(1.0, 100.0)] = 1.0  # times the rate at a close,
    rush_for: Annotated[Duration, Bounds(MS, 600 * S)] = Duration(10 * S)  # growing to it for so long


class Kind(Section, frozen=True, kw_only=True):
    """A class of requests."""

    share: Annotated[float, Bounds(0.0, 1e6)]
    work: Annotated[Duration, Bounds(1, 60 * S)]
    aim: Annotated[Duration, Bounds(MS, 600 * S)] = Duration(410 * MS)
    deadline: Annotated[Duration, Bounds(MS, 600 * S)] = Duration(S)
    repeats: Literal["safe", "keyed", "unsafe"] = "safe"
    key_memory: Annotated[Duration, Bounds(MS, 600 * S)] = Duration(4 * S)
    worth: Annotated[float, Bounds(0.0, 1e6)] = 1.0


class Fault(Section, frozen=True, kw_only=True):
    at: Annotated[Duration, Bounds(0, 3600 * S)]
    kind: Kinds
    on: Literal["", "upstreams", "balancers", "all", "clients", "discovery"] = ""
    part: Part = 0.2  # of those that it strikes, at least one; of `loss` and `reset`: each one's chance
    lasts: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(0)  # 0: for good, where that can be
    zone: str = ""  # of `zone` and `partition`: which
    to: str = ""  # of `partition`: nothing gets from `zone` there; empty: to no other zone, nor back
    times: Annotated[float, Bounds(1.0, 1000.0)] = 3.0  # of `slow`, `flood` and `release`
    errors: Part = 0.5  # of `release`: so many of its answers
    step: Part = 0.2  # of `roll` and `release`: so many at once
    drain: Annotated[Duration, Bounds(0, 600 * S)] = Duration(3 * S)  # of `roll` of upstreams
    every: Annotated[Duration, Bounds(100 * MS, 600 * S)] = Duration(2 * S)  # of `flap`: down and up again
    by: Annotated[Duration, Bounds(0, 3600 * S)] = Duration(S)  # of `clock` and `late`
    back: bool = False  # of `clock`: it goes behind
    dealer: str = ""  # of `flood`: this one alone; of `move`: who
    cell: str = ""  # where upstreams are struck: only this cell's


class Found(Section, frozen=True, kw_only=True):
    """Of a case that was found: what it showed, to be played again with `lab replay`."""

    seed: Annotated[int, Bounds(0, 1 << 53)] = 1
    rules: tuple[str, ...] = ()  # that were broken
    lost: Part = 0.0  # of the worth


class Scenario(Section, frozen=True, kw_only=True):
    name: Name
    length: Annotated[Duration, Bounds(S, 24 * 3600 * S)]
    zones: tuple[Name, ...] = ("a",)
    network: Network = Network()
    upstreams: Upstreams
    below: Below = Below()
    balancers: Balancers
    discovery: Discovery = Discovery()
    clients: Clients
    class_: dict[str, Kind] = msgspec.field(name="class")
    queues: Queues = Queues()
    repeats: Repeats = Repeats()
    cells: Cells = Cells()
    fault: tuple[Fault, ...] = ()
    found: Found = Found()


def installation(told: Scenario, tier: int = 0) -> schema.File:
    """The file of one balancer of a tier, as its program reads it."""
    mine, cells = told.balancers, told.cells
    ups = told.below if tier else told.upstreams
    classes = {
        name: schema.Class(
            aim=kind.aim,
            deadline=kind.deadline,
            repeats=kind.repeats,
            key_memory=kind.key_memory if kind.repeats == "keyed" else Duration(0),
            worth=kind.worth,
        )
        for name, kind in told.class_.items()
    }
    with_cells = cells.count > 0 and cells.apply and not tier
    pools = {f"c{n}": schema.Pool(from_discovery=True, kind=f"c{n}") for n in range(cells.count)}
    return schema.File(
        installation=schema.Installation(name=told.name),
        upstreams=schema.Upstreams(source="discovery", discovery="127.0.0.1:1"),
        listener=(schema.Listener(name="api", address="127.0.0.1:0"),),
        class_=classes,
        fleet=schema.Fleet(balancers=told.upstreams.count if tier else mine.count),
        limits=schema.Limits(
            sockets=mine.sockets,
            memory=mine.memory,
            max_attempts=mine.max_attempts,
            connect_timeout=mine.connect_timeout,
            max_retry_after=mine.max_retry_after,
            probes=mine.probes,
            marks_retry=mine.marks_retry,
            tier=tier,
        ),
        cold=schema.Cold(
            share=ups.cold_share, time=ups.cold or Duration(1), fall_multiple=ups.fall_multiple or 3.0
        ),
        queues=told.queues if not tier else Queues(),
        repeats=told.repeats if not tier else Repeats(),
        versions=schema.Versions(source="file") if with_cells else schema.Versions(),
        pool=pools if with_cells else {},
        route=(schema.Route(name="all", pool="c0"),) if with_cells else (),
        cells=schema.Cells(
            file="the emulator's", lease=cells.lease, skew=cells.skew, check_every=cells.check_every
        )
        if with_cells
        else schema.Cells(),
    )


def faults_of(told: Scenario) -> list[tuple[Key, str]]:
    """What its form alone does not show."""
    from brackengate.emulator.variants import MODULES

    found: list[tuple[Key, str]] = []
    if not told.zones:
        found.append((("zones",), "is empty; one at least"))
    if len(set(told.zones)) < len(told.zones):
        found.append((("zones",), "names a zone twice"))
    if not told.upstreams.count:
        found.append((("upstreams", "count"), "0 is out of bounds; allowed: 1 to 10000"))
    if not told.class_ or sum(kind.share for kind in told.class_.values()) <= 0:
        found.append((("class",), "has no share of the requests; one class at least"))
    if told.discovery.least > told.discovery.most:
        found.append((("discovery", "least"), f"is over `most`, which is {told.discovery.most}"))
    if told.balancers.module not in MODULES:
        what = f"there is no module {told.balancers.module!r}; allowed: {', '.join(MODULES)}"
        found.append((("balancers", "module"), what))
    if told.repeats.journal:
        found.append((("repeats", "journal"), "there is no disk here; allowed: none"))
    if told.queues.secret_file:
        found.append((("queues", "secret_file"), "there is no disk here; allowed: none"))
    dealers, cells = told.clients.dealers, told.cells.count
    for who, cell in told.cells.assign.items():
        if cell not in {f"c{n}" for n in range(cells)}:
            found.append((("cells", "assign", who), f"there is no cell {cell!r}; allowed: {_cells(cells)}"))
        if who not in {f"d{n}" for n in range(dealers)}:
            found.append(
                (("cells", "assign", who), f"there is no dealer {who!r}; allowed: {_dealers(dealers)}")
            )
    if cells > told.upstreams.count:
        found.append((("cells", "count"), f"is over upstreams.count, which is {told.upstreams.count}"))
    if cells and told.balancers.module != "brain":
        found.append((("balancers", "module"), 'with cells there is none but "brain"'))
    if not found:
        sections = {"queues", "repeats", "class"}
        found += [(key, what) for key, what in cross_checks(installation(told)) if key[0] in sections]
    last = -1
    for number, one in enumerate(told.fault):
        key: Key = ("fault", number)
        if one.at < last:
            found.append(
                ((*key, "at"), "comes before the one above it; faults stand in the order of their times")
            )
        last = int(one.at)
        if one.at >= told.length:
            found.append(((*key, "at"), f"is after the end; allowed: before {told.length}"))
        found += [((*key, *more), what) for more, what in _fault(told, one)]
    return found


def _fault(told: Scenario, one: Fault) -> Iterable[tuple[Key, str]]:
    zones, dealers, cells = ", ".join(told.zones), told.clients.dealers, told.cells.count
    if one.on and one.on not in ON[one.kind]:
        yield ("on",), f"{one.kind} strikes {' or '.join(ON[one.kind])}, not {one.on}"
    if one.zone and one.zone not in told.zones:
        yield ("zone",), f"there is no zone {one.zone!r}; allowed: {zones}"
    if one.kind == "move":
        if not cells or not told.cells.apply:
            yield ("kind",), "there are no cells to move between: cells.count is 0, or cells.apply is off"
        elif one.to not in {f"c{n}" for n in range(cells)}:
            yield ("to",), f"there is no cell {one.to!r}; allowed: {_cells(cells)}"
        if not one.dealer:
            yield ("dealer",), f"is missing; allowed: {_dealers(dealers)}"
    elif one.to and one.to not in told.zones:
        yield ("to",), f"there is no zone {one.to!r}; allowed: {zones}"
    if one.cell and (one.on or ON[one.kind][0]) != "upstreams":
        yield ("cell",), f"{one.kind} strikes no upstreams of a cell"
    elif one.cell and one.cell not in {f"c{n}" for n in range(cells)}:
        yield ("cell",), f"there is no cell {one.cell!r}; allowed: {_cells(cells)}"
    if one.dealer and one.dealer not in {f"d{n}" for n in range(dealers)}:
        yield ("dealer",), f"there is no dealer {one.dealer!r}; allowed: {_dealers(dealers)}"
    if one.kind in ("zone", "partition") and not one.zone:
        yield ("zone",), f"is missing; allowed: {zones}"
    if one.kind in ENDS and not one.lasts:
        yield ("lasts",), f"is missing: {one.kind} has an end"


def _cells(count: int) -> str:
    return f"c0 to c{count - 1}" if count else "none, as cells.count is 0"


def _dealers(count: int) -> str:
    return f"d0 to d{count - 1}"


def load(path: str | Path) -> Scenario:
    """Read a scenario; BadFile names every fault with its line and what is allowed."""
    return read_as(Scenario, path, faults_of)


def changed(text: str, name: str, sets: Iterable[str]) -> Scenario:
    """A scenario from its text, with some of its keys laid over by `key=value`."""
    return parse_as(Scenario, text, name, faults_of, sets)
