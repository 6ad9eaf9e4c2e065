"""All machines and links together: which events may come next, what each leads to, and what must hold.  Pure.

A state is a tuple of small numbers: one for each machine, one for each link, one for whose turn it is among
the links, one for what is remembered of the past.  What an event does to one machine is worked out once, by
the deciders, and kept.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brackengate.control.chain import Chain
from brackengate.control.failure_detector import LEASE
from brackengate.control.replica import FIRST, Replica
from brackengate.control.transfer import COMPLETE
from brackengate.model_check.disk import DiskState
from brackengate.model_check.vessel import (
    Act,
    Effect,
    Vessel,
    Waters,
    decode,
    encode,
    ping,
    plain,
    serves,
    step,
)
from brackengate.model_check.workload import FREED, READ, WORKLOADS, Rows
from brackengate.protocol.messages import (
    Accept,
    Accepted,
    CommandDone,
    CommandResult,
    Configuration,
    NewView,
    Ping,
    Pong,
    Promise,
    UndecidedChange,
    View,
)

FIRST_UNIT = 10  # by all clocks, when time begins to pass
UNIT = LEASE // 2  # in which time passes
LEASE_UNITS = 2
State = tuple[int, ...]
Event = tuple[Any, ...]  # what; the machine; what else
NEVER_TORN = (
    "power",
    "kill",
    "wipe",
    "lose",
    "start",
    "wait",
    "time",
    "gains",
    "loses",
    "probe",
    "freeze",
    "thaw",
)
FREE = 99  # as many as one likes


@dataclass(frozen=True)
class Bounds:
    """How much of each may happen in one history."""

    members: int = 3
    spare: int = 0  # of these, machines that stand beside the first view
    min_replicas: int = 2  # disks that hold a write before it is acknowledged
    writes: int = 1
    frees: int = 0  # claims that were granted are taken back
    reads: int = 0
    views: int = 2  # the highest number of a view
    bids: int = 1
    crashes: int = 1
    wipes: int = 0
    losses: int = 0  # of all that is under way between two
    doubts: int = 1  # one stops hearing another that is up
    pings: int = 0  # heard, beyond those before the beginning
    repeats: int = 0  # an ask is sent again
    delays: int = FREE  # departures from the plain order; FREE: any order
    apart: bool = False  # stores are events of their own
    resends: int = 0  # writes that were acknowledged and come again, at any member
    clock: int = 0  # units of time (half a lease) that pass; pings are lines, where it is not 0
    learns: int = 0  # a learner asks for more, or again, beyond its first request of each kind
    freezes: int = 0  # a machine hears, says and does nothing until it thaws
    drifts: int = 0  # times that a machine's clock gains or loses a unit against the others
    workload: str = ""  # of `WORKLOADS`; empty: claims, or versions where there are reads


@dataclass(frozen=True)
class Past:
    """What the members themselves need not know."""

    left: tuple[int, ...]  # of each bounded kind, in the order of `KINDS`
    views: tuple[View, ...]  # that were agreed, as far as any member has heard
    asked: int = 0
    acked: frozenset[int] = frozenset()
    refused: frozenset[int] = frozenset()
    reads: tuple[tuple[int, int], ...] = ()  # under way: its number, the least that it must see
    seen: int = 0  # the highest version acknowledged or read
    tails: tuple[tuple[int, str, str], ...] = ()
    wiped: tuple[str, ...] = ()
    gone: frozenset[tuple[int, str]] = frozenset()  # writes that stood on a disk when it was lost
    time: int = 0  # that has passed, in units
    off: tuple[tuple[str, int], ...] = ()  # clocks that are off, by how many units
    frozen: frozenset[str] = frozenset()
    agreed_at: tuple[tuple[int, int], ...] = ()  # epochs, and when their views were first known as agreed


KINDS = (
    "bids", "crashes", "wipes", "losses", "doubts", "pings", "repeats", "reads", "frees", "delays",
    "resends", "clock", "drifts", "freezes", "learns",
)  # fmt: skip


class Cut(Exception):
    """The bounds leave no room for what came."""


class Broken(Exception):
    """An invariant does not hold."""


@dataclass(frozen=True)
class Facts:
    """Of one machine, as the invariants ask for them."""

    up: bool
    incarnation: str
    snapshot_epoch: int
    epoch: int  # in memory
    held: frozenset[int]  # writes on its disk
    applied: frozenset[int]  # writes that it knows to be agreed
    before: str
    unmet: bool  # has to meet the one before it in the chain
    asks: bool
    hears: frozenset[str]
    copies_from: str = ""  # a learner: whom it would ask next
    copied: bool = False  # its disk holds a complete copy, or all that a member owes
    committed: tuple[int, int, int] | None = None  # where it holds all: index, number of rows, checksum


def _is_copied(disk: DiskState) -> bool:
    lineage: int = disk.get("lineage", int, 0)
    bucket: int = disk.get("copy", int, 0)
    return lineage > 0 or bucket == COMPLETE


def _committed(chain: Chain) -> tuple[int, int, int] | None:
    if not chain.held.firm or not (chain.has_snapshot or chain.learner.complete):
        return None
    rows = chain.state.rows
    return chain.state.index, rows.count, rows.checksum


class Model:
    def __init__(self, bounds: Bounds, kind: type[Replica] = Replica) -> None:
        self.bounds = bounds
        self.names = tuple("ABCDEFG"[: bounds.members])
        seeds = self.names[: bounds.members - bounds.spare]
        workload = WORKLOADS[bounds.workload or ("versions" if bounds.reads else "claims")]
        self.waters = Waters(seeds, bounds.min_replicas, kind, workload, bounds.apart, bounds.clock > 0)
        self.vessels: list[Vessel] = []
        self.facts: list[Facts] = []
        self._known: dict[Any, int] = {}
        self._steps: dict[tuple[int, Act, int], tuple[int, tuple[Effect, ...]]] = {}
        self._serves: dict[tuple[int, int], bool] = {}
        self._pings: dict[tuple[int, str], bytes | None] = {}
        self._links: list[tuple[bytes, ...]] = [()]
        self._link: dict[tuple[bytes, ...], int] = {(): 0}
        self._swept: dict[tuple[int, int], int] = {}  # of a link, towards a machine: what still matters
        self._turns: list[tuple[int, ...]] = [()]  # the links that are not empty, in turn
        self._turn: dict[tuple[int, ...], int] = {(): 0}
        self._pasts: list[Past] = []
        self._past: dict[Past, int] = {}
        self.pairs = [(one, two) for one in self.names for two in self.names if one != two]
        self._at = {name: n for n, name in enumerate(self.names)}
        self._pair_at = {pair: len(self.names) + n for n, pair in enumerate(self.pairs)}
        self._ends = [(pair, at, self._at[pair[1]]) for pair, at in self._pair_at.items()]

    # --- numbers for states

    def _vessel(self, vessel: Vessel) -> int:
        key = plain(vessel)
        number = self._known.get(key)
        if number is None:
            number = self._known[key] = len(self.vessels)
            self.vessels.append(vessel)
            self.facts.append(self._facts_of(vessel))
        return number

    def _line_up(self, lines: tuple[bytes, ...]) -> int:
        number = self._link.get(lines)
        if number is None:
            number = self._link[lines] = len(self._links)
            self._links.append(lines)
        return number

    def _queue_up(self, turns: tuple[int, ...]) -> int:
        number = self._turn.get(turns)
        if number is None:
            number = self._turn[turns] = len(self._turns)
            self._turns.append(turns)
        return number

    def _remember(self, past: Past) -> int:
        number = self._past.get(past)
        if number is None:
            number = self._past[past] = len(self._pasts)
            self._pasts.append(past)
        return number

    def past(self, state: State) -> Past:
        return self._pasts[state[-1]]

    def _facts_of(self, vessel: Vessel) -> Facts:
        disk, replica = vessel.disk, vessel.replica
        held = self._writes(disk.rows)
        if replica is None:
            epoch = disk.get("lineage", int, 0)
            return Facts(
                False,
                disk.incarnation,
                epoch,
                0,
                held,
                frozenset(),
                "",
                False,
                False,
                frozenset(),
                copied=_is_copied(disk),
            )
        chain, agreement = replica.chain, replica.agreement
        agreed = {
            name: (index, encode(value))
            for name, (index, value) in chain.rows.items()
            if index <= chain.commit_index
        }
        return Facts(
            True,
            disk.incarnation,
            disk.get("lineage", int, 0),
            agreement.view.epoch,
            held,
            self.waters.workload.in_force(agreed, self.bounds.writes),
            chain._before(),
            chain._chain_position() > 0 and chain.caught_up_epoch != chain.view.epoch,
            bool(chain._commands.by_id),
            frozenset(addr for addr in agreement.peers if agreement.hears(addr, 0)),
            "" if chain.has_snapshot or chain._fed else (chain.learner.source or chain._before()),
            _is_copied(disk),
            _committed(chain),
        )

    def _writes(self, rows: Rows) -> frozenset[int]:
        return self.waters.workload.held(rows, self.bounds.writes)

    # --- the beginning

    def start(self) -> State:
        """All have started for the first time, hold the first view and have heard of each other."""
        full = Past((FREE,) * len(KINDS), ())
        hosts = [self._vessel(Vessel(name)) for name in self.names]
        state: State = (*hosts, *([0] * len(self.pairs)), 0, self._remember(full))
        for name in self.names:
            state = self._do(state, ("start", name, FIRST if name in self.waters.seeds else f"{name}0"))
        for _ in range(20):
            for event in [
                *(("have", name) for name in self.names if self.facts[state[self._at[name]]].unmet),
                *(("ping", one, two) for one, two in self.pairs),
            ]:
                state = self._do(state, event)
                state = self._calm(state)
        left = tuple(getattr(self.bounds, kind) for kind in KINDS)
        past = Past(left, self.past(state).views)
        return (*state[:-2], 0, self._remember(past))

    def _calm(self, state: State) -> State:
        """Deliver and store whatever is under way."""
        while True:
            event = next(
                (e for e in self.events(state) if e[0] in ("hear", "sync")),
                None,
            )
            if event is None:
                return state
            state = self._do(state, event)

    # --- what may come next
    #
    # With bounded delays, links take turns, and nothing new begins while a line is under way.  To pass a
    # link over costs a delay, and so does whatever begins before all is delivered.

    def events(self, state: State) -> Iterator[Event]:
        past = self.past(state)
        left = dict(zip(KINDS, past.left, strict=True))
        names = self.names
        up = [n for n in names if self.facts[state[self._at[n]]].up and n not in past.frozen]
        turns = self._live_turns(state)
        if self.bounds.delays == FREE:
            for one, two in self.pairs:
                if state[self._pair_at[one, two]] and two not in past.frozen:
                    yield ("hear", two, one)
        elif turns:
            one, two = self.pairs[turns[0] - len(names)]
            yield ("hear", two, one)
            if left["delays"]:
                if len(turns) > 1:
                    yield ("wait", two, one)
            else:
                yield from (("sync", name) for name in up if self.vessels[state[self._at[name]]].queue)
                yield from (("freeze", name) for name in up if left["freezes"])
                return
        for name in up:
            facts, vessel = self.facts[state[self._at[name]]], self.vessels[state[self._at[name]]]
            if vessel.queue:
                yield ("sync", name)
            if past.asked < self.bounds.writes:
                yield ("ask", name, past.asked + 1)
            for number in past.acked if left["frees"] and self.waters.workload.frees else ():
                yield ("ask", name, FREED + number)
            for number in past.acked if left["resends"] else ():
                yield ("resend", name, number)
            if left["reads"]:
                yield ("ask", name, READ + left["reads"])
            yield ("mend", name)
            for other in names:
                if other in facts.hears and (other not in up or left["doubts"]):
                    yield ("doubt", name, other)
            if left["pings"]:
                for other in up:
                    if other != name:
                        yield ("probe" if self.bounds.clock else "ping", name, other)
            if left["repeats"] and facts.asks:
                yield ("again", name)
            if facts.unmet and not any(
                state[self._pair_at[pair]] for pair in ((name, facts.before), (facts.before, name))
            ):  # else its pause is not over: an answer may be under way
                yield ("have", name)
            source = facts.copies_from
            if (
                left["learns"]
                and source
                and not any(state[self._pair_at[pair]] for pair in ((name, source), (source, name)))
            ):
                yield ("learn", name)
            if left["freezes"]:
                yield ("freeze", name)
            if left["crashes"]:
                yield ("power", name)
                if vessel.queue:
                    yield ("kill", name)
            if left["wipes"] and self._may_be_wiped(state, name, past):
                yield ("wipe", name)
        for name in past.frozen:
            yield ("thaw", name)
        for name in names:
            if name not in up and name not in past.frozen:
                yield (
                    "start",
                    name,
                    self.facts[state[self._at[name]]].incarnation
                    or f"{name}{self.bounds.wipes - left['wipes']}",
                )
                if left["wipes"] and self._may_be_wiped(state, name, past):
                    yield ("wipe", name)
        if left["clock"]:
            yield ("time", self.names[0])
        if left["drifts"]:
            yield from ((what, name) for name in up for what in ("gains", "loses"))
        if left["losses"]:
            for one, two in self.pairs:
                if one < two and (state[self._pair_at[one, two]] or state[self._pair_at[two, one]]):
                    yield ("lose", one, two)

    def _live_turns(self, state: State) -> tuple[int, ...]:
        """The links with lines for machines that hear, in turn."""
        frozen = self.past(state).frozen
        turns = self._turns[state[-2]]
        return tuple(at for at in turns if self.pairs[at - len(self.names)][1] not in frozen)

    def _may_be_wiped(self, state: State, name: str, past: Past) -> bool:
        """One disk at once is what may be lost: whoever lost one before has taken its seat again."""
        if self.facts[state[self._at[name]]].incarnation == "":
            return False
        return all(other == name or self._counts(state, other, past.views[-1]) for other in past.wiped)

    def _counts(self, state: State, name: str, view: View) -> bool:
        facts, member = self.facts[state[self._at[name]]], view.member(name)
        return (
            member is not None
            and member.incarnation == facts.incarnation
            and member.since == facts.snapshot_epoch
        )

    def steps(self, state: State) -> Iterator[tuple[Event, State | None, str]]:
        """All events, what each leads to (None: the bounds have no room) and the words of a breach."""
        crashes = self.past(state).left[KINDS.index("crashes")]
        for event in self.events(state):
            for torn in (False, True) if crashes and not self.bounds.apart else (False,):
                if torn and event[0] in NEVER_TORN:
                    continue  # there is no store in it, or none that this would tear
                if torn and not self._tears(state, event):
                    continue
                try:
                    after = self._do(state, event, torn)
                except Cut:
                    yield event, None, ""
                    continue
                except Broken as broken:
                    yield ("torn", *event) if torn else event, None, str(broken)
                    continue
                if event[0] == "ping" and after[:-1] == state[:-1]:
                    continue  # nothing new in it
                if after != state:
                    yield ("torn", *event) if torn else event, after, self._breach(after)

    def _tears(self, state: State, event: Event) -> bool:
        """Whether something is said before the store; else it is no more than a loss of power."""
        what, name, *rest = event
        number = state[self._at[name]]
        if what == "hear":
            act: Act = ("hear", rest[0], self.first_line(state, rest[0], name))
        elif what == "ping":
            return True
        elif what == "resend":
            act = ("ask", rest[0])
        else:
            act = ("mend", *rest) if what == "doubt" else (what, *rest)
        effects = self.local(number, ("torn", *act), self.now(self.past(state), name))[1]
        return any(effect[0] != "view" for effect in effects)

    # --- one event

    def _do(self, state: State, event: Event, torn: bool = False) -> State:
        return _Doing(self, state).do(event, torn)

    def local(self, number: int, act: Act, now: int = 0) -> tuple[int, tuple[Effect, ...]]:
        found = self._steps.get((number, act, now))
        if found is None:
            vessel, effects = step(self.vessels[number], act, self.waters, now * UNIT)
            found = self._steps[number, act, now] = self._vessel(vessel), effects
        return found

    def now(self, past: Past, name: str) -> int:
        """By this machine's clock, in units."""
        return FIRST_UNIT + past.time + dict(past.off).get(name, 0) if self.bounds.clock else 0

    def serves(self, number: int, now: int) -> bool:
        found = self._serves.get((number, now))
        if found is None:
            found = self._serves[number, now] = serves(self.vessels[number], now * UNIT)
        return found

    def ping(self, number: int, addr: str) -> bytes | None:
        if (number, addr) not in self._pings:
            self._pings[number, addr] = ping(
                self.vessels[number], addr, FIRST_UNIT * UNIT if self.bounds.clock else 0
            )
        return self._pings[number, addr]

    def first_line(self, state: State, one: str, two: str) -> bytes:
        """What is heard next from the one by the other."""
        return self._links[state[self._pair_at[one, two]]][0]

    # --- what must hold

    def _breach(self, state: State) -> str:
        past = self.past(state)
        facts = [self.facts[number] for number in state[: len(self.names)]]
        if past.acked:
            view = past.views[-1]
            counting = {name for name in self.names if self._counts(state, name, view)}
            held = {name: facts[self._at[name]].held for name in counting}
            missing = past.acked - frozenset().union(*held.values())
            if missing:
                return f"write {min(missing)} was acknowledged, and nobody in view {view.epoch} holds it"
            for name, writes in held.items():
                if not past.acked <= writes:
                    lacks = min(past.acked - writes)
                    return (
                        f"write {lacks} was acknowledged, and {name} counts in view {view.epoch} without it"
                    )
        for one in facts:
            both = past.refused & one.applied
            if both:
                return f"write {min(both)} was refused, and it is applied"
        held_at: dict[int, tuple[str, tuple[int, int, int]]] = {}
        for name, one in zip(self.names, facts, strict=True):
            if one.committed is not None:
                other, committed = held_at.setdefault(one.committed[0], (name, one.committed))
                if committed != one.committed:
                    return f"{other} and {name} hold different rows at index {one.committed[0]}"
        return self._stale(state) if self.bounds.clock else ""

    def _stale(self, state: State) -> str:
        """Whoever serves followers serves what was in force for all at most a lease ago, give or take what
        clocks drift within the bounds."""
        past = self.past(state)
        longest = LEASE_UNITS - 1 + self.bounds.drifts
        for name, number in zip(self.names, state, strict=False):
            epoch = self.facts[number].epoch
            if name in past.frozen:
                continue
            newer = [when for other, when in past.agreed_at if other > epoch]
            if newer and past.time - min(newer) > longest and self.serves(number, self.now(past, name)):
                late = past.time - min(newer)
                return f"{name} serves by view {epoch}, {late} half leases after a newer one was agreed"
        return ""


def carry(model: Model, state: State, event: Event) -> tuple[State, list[tuple[str, Effect]]]:
    """One event of a history, and what each machine said and did; the state before it where it broke."""
    torn = event[0] == "torn"
    doing = _Doing(model, state)
    try:
        return doing.do(event[1:] if torn else event, torn), doing.told
    except Broken:
        return state, doing.told


class _Doing:
    """One event, carried through."""

    def __init__(self, model: Model, state: State) -> None:
        self.model = model
        self.state, self.before = list(state), state
        self.past = model.past(state)
        self.told: list[tuple[str, Effect]] = []  # for whoever draws it

    def do(self, event: Event, torn: bool) -> State:
        model = self.model
        what, name, *rest = event
        heard = 0
        if torn:
            self._spend("crashes")
        if what not in ("hear", "sync", "wait", "freeze") and model._live_turns(self.before):
            self._spend("delays")
        if what == "hear":
            pair = (rest[0], name)
            line, *left = model._links[self._link(pair)]
            self._set_link(pair, tuple(left))
            heard = model._pair_at[pair]
            self._act(name, ("hear", rest[0], line), torn)
        elif what == "ping":  # `name` hears of the other, which hears the answer
            self._spend("pings")
            ping = model.ping(self._host(rest[0]), name)
            if ping is not None:
                self._act(name, ("ping", rest[0], ping), torn)
        elif what == "probe":
            self._spend("pings")
            self._act(name, ("probe", rest[0]))
        elif what == "time":
            self._spend("clock")
            self.past = replace(self.past, time=self.past.time + 1)
        elif what == "freeze":
            self._spend("freezes")
            self.past = replace(self.past, frozen=self.past.frozen | {name})
        elif what == "thaw":
            self.past = replace(self.past, frozen=self.past.frozen - {name})
        elif what in ("gains", "loses"):
            self._spend("drifts")
            off = dict(self.past.off)
            off[name] = off.get(name, 0) + (1 if what == "gains" else -1)
            self.past = replace(self.past, off=tuple(sorted(one for one in off.items() if one[1])))
        elif what == "learn":
            self._spend("learns")
            self._act(name, ("learn",), torn)
        elif what == "resend":
            self._spend("resends")
            self._act(name, ("ask", rest[0]), torn)
        elif what == "doubt":
            if model.facts[self._host(rest[0])].up:
                self._spend("doubts")
            self._act(name, ("mend", rest[0]), torn)
        elif what == "ask":
            number = rest[0]
            if number > READ:
                self._spend("reads")
                self.past = replace(self.past, reads=(*self.past.reads, (number, self.past.seen)))
            elif number > FREED:
                self._spend("frees")
                self.past = replace(self.past, acked=self.past.acked - {number - FREED})
            else:
                self.past = replace(self.past, asked=number)
            self._act(name, ("ask", number), torn)
        elif what == "again":
            self._spend("repeats")
            self._act(name, ("again",), torn)
        elif what in ("power", "kill", "wipe"):
            self._spend("wipes" if what == "wipe" else "crashes")
            if what == "wipe":
                held = {(number, name) for number in model.facts[self._host(name)].held}
                self.past = replace(
                    self.past,
                    wiped=tuple(sorted({*self.past.wiped, name})),
                    gone=self.past.gone | held,
                )
            self._act(name, (what,))
        elif what == "start":
            for other in model.names:
                if other != name:
                    self._set_link((name, other), ())
            self._act(name, ("start", rest[0]))
            for other in model.names:
                if other != name and model.facts[self._host(other)].up:
                    self._act(other, ("met", name))
                    self._act(name, ("met", other))
        elif what == "wait":
            self._spend("delays")
            at = model._pair_at[rest[0], name]
            turns = model._turns[self.state[-2]]
            self.state[-2] = model._queue_up((*(one for one in turns if one != at), at))
        elif what == "lose":
            self._spend("losses")
            self._set_link((name, rest[0]), ())
            self._set_link((rest[0], name), ())
            if all(model.facts[self._host(one)].up for one in (name, rest[0])):
                self._act(name, ("met", rest[0]))
                self._act(rest[0], ("met", name))
        else:
            self._act(name, (what,), torn)
        if not model.facts[self._host(name)].up:
            for other in model.names:
                if other != name:
                    self._set_link((other, name), ())
        self._sweep()
        if model.bounds.delays != FREE:  # a link that was heard goes to the end, as do new ones
            old = [at for at in model._turns[self.state[-2]] if at != heard]
            new = [at for at in model._pair_at.values() if at not in old]
            self.state[-2] = model._queue_up(tuple(at for at in (*old, *new) if self.state[at]))
        self.state[-1] = model._remember(self.past)
        return tuple(self.state)

    def _sweep(self) -> None:
        """Lines of an older epoch than their receiver's that do nothing now never will: its epoch only
        grows.  They are as good as delivered."""
        model, state, before = self.model, self.state, self.before
        for pair, at, host in model._ends:
            number = state[at]
            if number and (number != before[at] or state[host] != before[host]):
                swept = model._swept.get((number, state[host]))
                if swept is None:
                    swept = model._swept[number, state[host]] = self._sweep_link(pair)
                state[at] = swept

    def _sweep_link(self, pair: tuple[str, str]) -> int:
        model, host = self.model, self._host(pair[1])
        if not model.facts[host].up:
            return self._link(pair)
        epoch, kept = model.facts[host].epoch, []
        now = model.now(self.past, pair[1])
        for line in model._links[self._link(pair)]:
            word = decode(line)
            if isinstance(word, Ping | Pong):
                kept.append(line)  # these count in any epoch
                continue
            last = word.view.epoch if isinstance(word, NewView) else getattr(word, "epoch", FREE)
            # a view's ballots carry the number of the view to be
            stale = last < epoch + isinstance(word, NewView | Promise | Accept | Accepted)
            if not stale or model.local(host, ("hear", pair[0], line), now) != (host, ()):
                kept.append(line)
        return model._line_up(tuple(kept))

    def _host(self, name: str) -> int:
        return self.state[self.model._at[name]]

    def _link(self, pair: tuple[str, str]) -> int:
        return self.state[self.model._pair_at[pair]]

    def _set_link(self, pair: tuple[str, str], lines: tuple[bytes, ...]) -> None:
        self.state[self.model._pair_at[pair]] = self.model._line_up(lines)

    def _spend(self, kind: str) -> None:
        at = KINDS.index(kind)
        left = list(self.past.left)
        if left[at] == 0:
            raise Cut(kind)
        if left[at] != FREE:
            left[at] -= 1
        self.past = replace(self.past, left=tuple(left))

    def _act(self, name: str, act: Act, torn: bool = False) -> None:
        model = self.model
        now = model.now(self.past, name)
        number, effects = model.local(self._host(name), ("torn", *act) if torn else act, now)
        self.state[model._at[name]] = number
        for effect in effects:
            self.told.append((name, effect))
            kind = effect[0]
            if kind == "tell":
                self._tell(name, effect[1], effect[2])
            elif kind == "pong":
                if model.facts[self._host(effect[1])].up:
                    self._act(effect[1], ("pong", name, effect[2]))
            elif kind == "answer":
                self._answered(effect[1], msgspec.json.decode(effect[2], type=CommandResult | None))
            elif kind == "bid":
                self._spend("bids")
                if effect[1] > model.bounds.views and self.past.left[0] != FREE:
                    raise Cut("views")
            elif kind == "vote":
                self._voted(name, effect[1])
            elif kind == "view":
                self._agreed(effect[1])
            else:
                self._answers(name, effect[1])

    def _tell(self, name: str, addr: str, line: bytes) -> None:
        model = self.model
        if addr not in model._at or not model.facts[self._host(addr)].up:
            return
        lines = model._links[self._link((name, addr))]
        if line not in lines or b'"t":"view' not in line:  # a view said twice is said once
            self._set_link((name, addr), (*lines, line))

    # --- what must hold, where it is done

    def _answered(self, number: int, result: CommandResult | None) -> None:
        past = self.past
        if number > READ:
            least = next(one for asked, one in past.reads if asked == number)
            reads = tuple(one for one in past.reads if one[0] != number)
            plants = result.content["Plants"] if isinstance(result, Configuration) else []
            found = int(plants[0]["Revision"][1:]) if plants else 0
            if found < least:
                raise Broken(f"a read went back: it gave version {found} after version {least} was known")
            self.past = replace(past, reads=reads, seen=max(past.seen, found))
        elif number > FREED:
            pass
        elif isinstance(result, CommandDone):
            for other in past.acked - {number}:
                conflict = self.model.waters.workload.conflict(number, other)
                if conflict:
                    raise Broken(conflict)
            facts = self.model.facts
            holds = {name for name in self.model.names if number in facts[self._host(name)].held}
            holds |= {name for gone, name in past.gone if gone == number}
            if len(holds) < self.model.bounds.min_replicas:
                of = f"{len(holds)} of {self.model.bounds.min_replicas} disks"
                raise Broken(f"write {number} was acknowledged when {of} had stored it")
            self.past = replace(past, acked=past.acked | {number}, seen=max(past.seen, number))
        elif result is None or isinstance(result, UndecidedChange):
            pass  # no clear answer
        elif number in past.acked:
            raise Broken(f"write {number} was acknowledged, and is refused when it comes again")
        else:
            self.past = replace(past, refused=past.refused | {number})

    def _voted(self, name: str, epoch: int) -> None:
        view = next((one for one in self.past.views if one.epoch == epoch - 1), None)
        member = view.member(name) if view is not None else None
        incarnation = self.model.facts[self._host(name)].incarnation
        if member is None or member.incarnation != incarnation:
            raise Broken(f"{name} voted on view {epoch} with a disk that has no seat in view {epoch - 1}")

    def _agreed(self, view: View) -> None:
        views = {one.epoch: one for one in self.past.views}
        if views.setdefault(view.epoch, view) != view:
            raise Broken(f"there are two views with number {view.epoch}")
        self._admits(view, views.get(view.epoch - 1))
        self.past = replace(self.past, views=tuple(views[epoch] for epoch in sorted(views)))
        if self.model.bounds.clock and view.epoch not in dict(self.past.agreed_at):
            agreed_at = (*self.past.agreed_at, (view.epoch, self.past.time))
            self.past = replace(self.past, agreed_at=tuple(sorted(agreed_at)))

    def _admits(self, view: View, before: View | None) -> None:
        """Whoever is new in a view holds a complete copy on its disk."""
        old = {(member.addr, member.incarnation) for member in before.members} if before is not None else None
        for member in view.members if old is not None else ():
            facts = self.model.facts[self._host(member.addr)]
            known = (member.addr, member.incarnation) in (old or ())
            if not known and facts.incarnation == member.incarnation and not facts.copied:
                raise Broken(f"view {view.epoch} admits {member.addr}, whose disk has no complete copy")

    def _answers(self, name: str, epoch: int) -> None:
        incarnation = self.model.facts[self._host(name)].incarnation
        for other_epoch, other, other_inc in self.past.tails:
            if other_epoch == epoch and (other, other_inc) != (name, incarnation):
                raise Broken(f"{other} and {name} both answer as the tail of view {epoch}")
        if (epoch, name, incarnation) not in self.past.tails:
            self.past = replace(
                self.past, tails=tuple(sorted((*self.past.tails, (epoch, name, incarnation))))
            )
