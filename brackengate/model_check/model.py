"""All machines and links together: possible events, the state each leads to, and the invariants.  Pure.

A state is a tuple of small numbers: one for each machine, one for each link, one for the order of turns of
the links, and one for the past events.  The effect of an event on one machine is computed once, by the
production state machines, and cached.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brackengate.control.chain import Chain
from brackengate.control.failure_detector import LEASE_US
from brackengate.control.replica import FIRST_INCARNATION, Replica
from brackengate.control.transfer import COMPLETE_BUCKET
from brackengate.model_check.disk import DiskState
from brackengate.model_check.simulated_machine import (
    Act,
    Effect,
    ModelSettings,
    SimulatedMachine,
    canonical,
    decode,
    encode,
    ping,
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

FIRST_UNIT = 10  # the reading of all clocks when time starts to pass
UNIT = LEASE_US // 2  # microseconds
LEASE_UNITS = 2
State = tuple[int, ...]
Event = tuple[Any, ...]  # kind, machine, parameters
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
FREE = 99  # unlimited


@dataclass(frozen=True)
class Bounds:
    """How many events of each kind may happen in one history."""

    members: int = 3
    spare: int = 0  # of these, machines outside the first view
    min_replicas: int = 2  # disks that hold a write before it is acknowledged
    writes: int = 1
    frees: int = 0  # granted claims that are taken back
    reads: int = 0
    views: int = 2  # the highest number of a view
    bids: int = 1
    crashes: int = 1
    wipes: int = 0
    losses: int = 0  # of all messages in flight between two machines
    doubts: int = 1  # one machine stops hearing another that is up
    pings: int = 0  # received, beyond those before the start
    repeats: int = 0  # a command is submitted again
    delays: int = FREE  # deviations from the normal order; FREE: any order
    apart: bool = False  # stores are events of their own
    resends: int = 0  # acknowledged writes that are sent again, to any member
    clock: int = 0  # units of time (half a lease) that pass; if not 0, pings are messages
    learns: int = 0  # copy requests of a learner beyond its first one of each kind
    freezes: int = 0  # a machine is paused until it thaws
    drifts: int = 0  # times that a machine's clock gains or loses a unit against the others
    workload: str = ""  # of `WORKLOADS`; empty: claims, or versions where there are reads


@dataclass(frozen=True)
class PastEvents:
    """What the invariants need to know of the events so far."""

    left: tuple[int, ...]  # remaining events of each bounded kind, in the order of `KINDS`
    views: tuple[View, ...]  # that were agreed, as far as any member knows
    asked: int = 0
    acked: frozenset[int] = frozenset()
    refused: frozenset[int] = frozenset()
    reads: tuple[tuple[int, int], ...] = ()  # pending: number, and the lowest version it must return
    seen: int = 0  # the highest version acknowledged or read
    tails: tuple[tuple[int, str, str], ...] = ()
    wiped: tuple[str, ...] = ()
    gone: frozenset[tuple[int, str]] = frozenset()  # writes that were on a disk when it was lost
    time: int = 0  # elapsed, in units
    off: tuple[tuple[str, int], ...] = ()  # clocks that deviate, by how many units
    frozen: frozenset[str] = frozenset()
    agreed_at: tuple[tuple[int, int], ...] = ()  # epochs, and when their views were first known as agreed


KINDS = (
    "bids", "crashes", "wipes", "losses", "doubts", "pings", "repeats", "reads", "frees", "delays",
    "resends", "clock", "drifts", "freezes", "learns",
)  # fmt: skip


class OutOfBounds(Exception):
    """The event exceeds the bounds."""


class Violation(Exception):
    """An invariant is violated."""


@dataclass(frozen=True)
class MachineFacts:
    """The properties of one machine that the invariants and events depend on."""

    up: bool
    incarnation: str
    snapshot_epoch: int
    epoch: int  # in memory
    held: frozenset[int]  # writes on its disk
    applied: frozenset[int]  # writes that it knows to be committed
    before: str
    unmet: bool  # has to synchronize with its predecessor
    asks: bool
    hears: frozenset[str]
    copies_from: str = ""  # a learner: the sender of its next request
    copied: bool = False  # its disk holds a complete copy, or all that a membership requires
    committed: tuple[int, int, int] | None = None  # if complete: index, number of rows, checksum


def _is_copied(disk: DiskState) -> bool:
    lineage: int = disk.get("lineage", int, 0)
    bucket: int = disk.get("copy", int, 0)
    return lineage > 0 or bucket == COMPLETE_BUCKET


def _committed(chain: Chain) -> tuple[int, int, int] | None:
    if not chain.replica_log.rows_committed or not (chain.has_snapshot or chain.learner.complete):
        return None
    rows = chain.state.rows
    return chain.state.index, rows.count, rows.checksum


class Model:
    """The states of the whole system, the possible events in each, and the invariants."""

    def __init__(self, bounds: Bounds, kind: type[Replica] = Replica) -> None:
        self.bounds = bounds
        self.names = tuple("ABCDEFG"[: bounds.members])
        seeds = self.names[: bounds.members - bounds.spare]
        workload = WORKLOADS[bounds.workload or ("versions" if bounds.reads else "claims")]
        self.settings = ModelSettings(
            seeds, bounds.min_replicas, kind, workload, bounds.apart, bounds.clock > 0
        )
        self.machines: list[SimulatedMachine] = []
        self.facts: list[MachineFacts] = []
        self._known: dict[Any, int] = {}
        self._steps: dict[tuple[int, Act, int], tuple[int, tuple[Effect, ...]]] = {}
        self._serves: dict[tuple[int, int], bool] = {}
        self._pings: dict[tuple[int, str], bytes | None] = {}
        self._links: list[tuple[bytes, ...]] = [()]
        self._link: dict[tuple[bytes, ...], int] = {(): 0}
        self._swept: dict[tuple[int, int], int] = {}  # (link, machine) to the link without obsolete messages
        self._turns: list[tuple[int, ...]] = [()]  # the links that are not empty, in the order of their turns
        self._turn: dict[tuple[int, ...], int] = {(): 0}
        self._pasts: list[PastEvents] = []
        self._past: dict[PastEvents, int] = {}
        self.pairs = [(one, two) for one in self.names for two in self.names if one != two]
        self._index_of = {name: n for n, name in enumerate(self.names)}
        self._link_position = {pair: len(self.names) + n for n, pair in enumerate(self.pairs)}
        self._ends = [(pair, at, self._index_of[pair[1]]) for pair, at in self._link_position.items()]

    # --- state numbering

    def _machine_number(self, machine: SimulatedMachine) -> int:
        key = canonical(machine)
        number = self._known.get(key)
        if number is None:
            number = self._known[key] = len(self.machines)
            self.machines.append(machine)
            self.facts.append(self._facts_of(machine))
        return number

    def _link_number(self, lines: tuple[bytes, ...]) -> int:
        number = self._link.get(lines)
        if number is None:
            number = self._link[lines] = len(self._links)
            self._links.append(lines)
        return number

    def _turns_number(self, turns: tuple[int, ...]) -> int:
        number = self._turn.get(turns)
        if number is None:
            number = self._turn[turns] = len(self._turns)
            self._turns.append(turns)
        return number

    def _past_number(self, past: PastEvents) -> int:
        number = self._past.get(past)
        if number is None:
            number = self._past[past] = len(self._pasts)
            self._pasts.append(past)
        return number

    def past(self, state: State) -> PastEvents:
        """The past events that led to a state."""
        return self._pasts[state[-1]]

    def _facts_of(self, machine: SimulatedMachine) -> MachineFacts:
        disk, replica = machine.disk, machine.replica
        held = self._writes(disk.rows)
        if replica is None:
            epoch = disk.get("lineage", int, 0)
            return MachineFacts(
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
        return MachineFacts(
            True,
            disk.incarnation,
            disk.get("lineage", int, 0),
            agreement.view.epoch,
            held,
            self.settings.workload.in_force(agreed, self.bounds.writes),
            chain._predecessor(),
            chain._chain_position() > 0 and chain.caught_up_epoch != chain.view.epoch,
            bool(chain._commands.by_id),
            frozenset(addr for addr in agreement.peers if agreement.is_alive(addr, 0)),
            ""
            if chain.has_snapshot or chain._catching_up
            else (chain.learner.source or chain._predecessor()),
            _is_copied(disk),
            _committed(chain),
        )

    def _writes(self, rows: Rows) -> frozenset[int]:
        return self.settings.workload.held(rows, self.bounds.writes)

    # --- the initial state

    def start(self) -> State:
        """The state in which all have started, hold the first view and have received each other's pings."""
        full = PastEvents((FREE,) * len(KINDS), ())
        hosts = [self._machine_number(SimulatedMachine(name)) for name in self.names]
        state: State = (*hosts, *([0] * len(self.pairs)), 0, self._past_number(full))
        for name in self.names:
            state = self._do(
                state, ("start", name, FIRST_INCARNATION if name in self.settings.seeds else f"{name}0")
            )
        for _ in range(20):
            for event in [
                *(("have", name) for name in self.names if self.facts[state[self._index_of[name]]].unmet),
                *(("ping", one, two) for one, two in self.pairs),
            ]:
                state = self._do(state, event)
                state = self._deliver_all(state)
        left = tuple(getattr(self.bounds, kind) for kind in KINDS)
        past = PastEvents(left, self.past(state).views)
        return (*state[:-2], 0, self._past_number(past))

    def _deliver_all(self, state: State) -> State:
        """Delivers all messages in flight and completes all stores."""
        while True:
            event = next(
                (e for e in self.events(state) if e[0] in ("hear", "sync")),
                None,
            )
            if event is None:
                return state
            state = self._do(state, event)

    # --- possible events
    #
    # With bounded delays, links take turns, and nothing new starts while a message is in flight.  Skipping a
    # link costs a delay, and so does any event that starts before all messages are delivered.

    def events(self, state: State) -> Iterator[Event]:
        """All events that may come next, within the bounds."""
        past = self.past(state)
        left = dict(zip(KINDS, past.left, strict=True))
        names = self.names
        up = [n for n in names if self.facts[state[self._index_of[n]]].up and n not in past.frozen]
        turns = self._live_turns(state)
        if self.bounds.delays == FREE:
            for one, two in self.pairs:
                if state[self._link_position[one, two]] and two not in past.frozen:
                    yield ("hear", two, one)
        elif turns:
            one, two = self.pairs[turns[0] - len(names)]
            yield ("hear", two, one)
            if left["delays"]:
                if len(turns) > 1:
                    yield ("wait", two, one)
            else:
                yield from (("sync", name) for name in up if self.machines[state[self._index_of[name]]].queue)
                yield from (("freeze", name) for name in up if left["freezes"])
                return
        for name in up:
            facts, machine = (
                self.facts[state[self._index_of[name]]],
                self.machines[state[self._index_of[name]]],
            )
            if machine.queue:
                yield ("sync", name)
            if past.asked < self.bounds.writes:
                yield ("ask", name, past.asked + 1)
            for number in past.acked if left["frees"] and self.settings.workload.frees else ():
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
                state[self._link_position[pair]] for pair in ((name, facts.before), (facts.before, name))
            ):  # else its delay has not passed: an answer may be in flight
                yield ("have", name)
            source = facts.copies_from
            if (
                left["learns"]
                and source
                and not any(state[self._link_position[pair]] for pair in ((name, source), (source, name)))
            ):
                yield ("learn", name)
            if left["freezes"]:
                yield ("freeze", name)
            if left["crashes"]:
                yield ("power", name)
                if machine.queue:
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
                    self.facts[state[self._index_of[name]]].incarnation
                    or f"{name}{self.bounds.wipes - left['wipes']}",
                )
                if left["wipes"] and self._may_be_wiped(state, name, past):
                    yield ("wipe", name)
        if left["clock"]:
            yield ("time", self.names[0])
        if left["drifts"]:
            yield from ((kind, name) for name in up for kind in ("gains", "loses"))
        if left["losses"]:
            for one, two in self.pairs:
                if one < two and (
                    state[self._link_position[one, two]] or state[self._link_position[two, one]]
                ):
                    yield ("lose", one, two)

    def _live_turns(self, state: State) -> tuple[int, ...]:
        """The links with messages for machines that are not paused, in the order of their turns."""
        frozen = self.past(state).frozen
        turns = self._turns[state[-2]]
        return tuple(at for at in turns if self.pairs[at - len(self.names)][1] not in frozen)

    def _may_be_wiped(self, state: State, name: str, past: PastEvents) -> bool:
        """Only one disk may be lost at a time: machines that lost one before must be members again."""
        if self.facts[state[self._index_of[name]]].incarnation == "":
            return False
        return all(other == name or self._counts(state, other, past.views[-1]) for other in past.wiped)

    def _counts(self, state: State, name: str, view: View) -> bool:
        facts, member = self.facts[state[self._index_of[name]]], view.member(name)
        return (
            member is not None
            and member.incarnation == facts.incarnation
            and member.since == facts.snapshot_epoch
        )

    def steps(self, state: State) -> Iterator[tuple[Event, State | None, str]]:
        """All events, the state each leads to (None: out of bounds) and the text of a violation."""
        crashes = self.past(state).left[KINDS.index("crashes")]
        for event in self.events(state):
            for torn in (False, True) if crashes and not self.bounds.apart else (False,):
                if torn and event[0] in NEVER_TORN:
                    continue  # it has no store, or none that can be torn
                if torn and not self._tears(state, event):
                    continue
                try:
                    after = self._do(state, event, torn)
                except OutOfBounds:
                    yield event, None, ""
                    continue
                except Violation as broken:
                    yield ("torn", *event) if torn else event, None, str(broken)
                    continue
                if event[0] == "ping" and after[:-1] == state[:-1]:
                    continue  # no change
                if after != state:
                    yield ("torn", *event) if torn else event, after, self._breach(after)

    def _tears(self, state: State, event: Event) -> bool:
        """Whether a message is sent before the store; otherwise it equals a power loss."""
        kind, name, *rest = event
        number = state[self._index_of[name]]
        if kind == "hear":
            act: Act = ("hear", rest[0], self.next_message(state, rest[0], name))
        elif kind == "ping":
            return True
        elif kind == "resend":
            act = ("ask", rest[0])
        else:
            act = ("mend", *rest) if kind == "doubt" else (kind, *rest)
        effects = self.local_step(number, ("torn", *act), self.now(self.past(state), name))[1]
        return any(effect[0] != "view" for effect in effects)

    # --- one event

    def _do(self, state: State, event: Event, torn: bool = False) -> State:
        return _EventExecution(self, state).do(event, torn)

    def local_step(self, number: int, act: Act, now: int = 0) -> tuple[int, tuple[Effect, ...]]:
        """The effect of an event on one machine: its new number, and its effects; cached."""
        found = self._steps.get((number, act, now))
        if found is None:
            machine, effects = step(self.machines[number], act, self.settings, now * UNIT)
            found = self._steps[number, act, now] = self._machine_number(machine), effects
        return found

    def now(self, past: PastEvents, name: str) -> int:
        """The time by this machine's clock, in units."""
        return FIRST_UNIT + past.time + dict(past.off).get(name, 0) if self.bounds.clock else 0

    def serves(self, number: int, now: int) -> bool:
        """Whether followers may treat the data of this machine as current; cached."""
        found = self._serves.get((number, now))
        if found is None:
            found = self._serves[number, now] = serves(self.machines[number], now * UNIT)
        return found

    def ping(self, number: int, addr: str) -> bytes | None:
        """The ping that this machine sends to that member; cached."""
        if (number, addr) not in self._pings:
            self._pings[number, addr] = ping(
                self.machines[number], addr, FIRST_UNIT * UNIT if self.bounds.clock else 0
            )
        return self._pings[number, addr]

    def next_message(self, state: State, one: str, two: str) -> bytes:
        """The message that the other machine receives next from the first."""
        return self._links[state[self._link_position[one, two]]][0]

    # --- invariants

    def _breach(self, state: State) -> str:
        past = self.past(state)
        facts = [self.facts[number] for number in state[: len(self.names)]]
        if past.acked:
            view = past.views[-1]
            counting = {name for name in self.names if self._counts(state, name, view)}
            held = {name: facts[self._index_of[name]].held for name in counting}
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
        """A machine that serves followers is behind the latest view by at most a lease, plus the clock drift
        within the bounds."""
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


def execute(model: Model, state: State, event: Event) -> tuple[State, list[tuple[str, Effect]]]:
    """The state after one event (before it, if it violates an invariant), and the effects by machine."""
    torn = event[0] == "torn"
    doing = _EventExecution(model, state)
    try:
        return doing.do(event[1:] if torn else event, torn), doing.effects
    except Violation:
        return state, doing.effects


class _EventExecution:
    """The execution of one event on a state."""

    def __init__(self, model: Model, state: State) -> None:
        self.model = model
        self.state, self.before = list(state), state
        self.past = model.past(state)
        self.effects: list[tuple[str, Effect]] = []  # for `format_history`

    def do(self, event: Event, torn: bool) -> State:
        """The state after the event.  Raises OutOfBounds or Violation."""
        model = self.model
        kind, name, *rest = event
        heard = 0
        if torn:
            self._use_bound("crashes")
        if kind not in ("hear", "sync", "wait", "freeze") and model._live_turns(self.before):
            self._use_bound("delays")
        if kind == "hear":
            pair = (rest[0], name)
            line, *left = model._links[self._link(pair)]
            self._set_link(pair, tuple(left))
            heard = model._link_position[pair]
            self._act(name, ("hear", rest[0], line), torn)
        elif kind == "ping":  # `name` receives it from the other machine, which receives the answer
            self._use_bound("pings")
            ping = model.ping(self._host(rest[0]), name)
            if ping is not None:
                self._act(name, ("ping", rest[0], ping), torn)
        elif kind == "probe":
            self._use_bound("pings")
            self._act(name, ("probe", rest[0]))
        elif kind == "time":
            self._use_bound("clock")
            self.past = replace(self.past, time=self.past.time + 1)
        elif kind == "freeze":
            self._use_bound("freezes")
            self.past = replace(self.past, frozen=self.past.frozen | {name})
        elif kind == "thaw":
            self.past = replace(self.past, frozen=self.past.frozen - {name})
        elif kind in ("gains", "loses"):
            self._use_bound("drifts")
            off = dict(self.past.off)
            off[name] = off.get(name, 0) + (1 if kind == "gains" else -1)
            self.past = replace(self.past, off=tuple(sorted(one for one in off.items() if one[1])))
        elif kind == "learn":
            self._use_bound("learns")
            self._act(name, ("learn",), torn)
        elif kind == "resend":
            self._use_bound("resends")
            self._act(name, ("ask", rest[0]), torn)
        elif kind == "doubt":
            if model.facts[self._host(rest[0])].up:
                self._use_bound("doubts")
            self._act(name, ("mend", rest[0]), torn)
        elif kind == "ask":
            number = rest[0]
            if number > READ:
                self._use_bound("reads")
                self.past = replace(self.past, reads=(*self.past.reads, (number, self.past.seen)))
            elif number > FREED:
                self._use_bound("frees")
                self.past = replace(self.past, acked=self.past.acked - {number - FREED})
            else:
                self.past = replace(self.past, asked=number)
            self._act(name, ("ask", number), torn)
        elif kind == "again":
            self._use_bound("repeats")
            self._act(name, ("again",), torn)
        elif kind in ("power", "kill", "wipe"):
            self._use_bound("wipes" if kind == "wipe" else "crashes")
            if kind == "wipe":
                held = {(number, name) for number in model.facts[self._host(name)].held}
                self.past = replace(
                    self.past,
                    wiped=tuple(sorted({*self.past.wiped, name})),
                    gone=self.past.gone | held,
                )
            self._act(name, (kind,))
        elif kind == "start":
            for other in model.names:
                if other != name:
                    self._set_link((name, other), ())
            self._act(name, ("start", rest[0]))
            for other in model.names:
                if other != name and model.facts[self._host(other)].up:
                    self._act(other, ("met", name))
                    self._act(name, ("met", other))
        elif kind == "wait":
            self._use_bound("delays")
            at = model._link_position[rest[0], name]
            turns = model._turns[self.state[-2]]
            self.state[-2] = model._turns_number((*(one for one in turns if one != at), at))
        elif kind == "lose":
            self._use_bound("losses")
            self._set_link((name, rest[0]), ())
            self._set_link((rest[0], name), ())
            if all(model.facts[self._host(one)].up for one in (name, rest[0])):
                self._act(name, ("met", rest[0]))
                self._act(rest[0], ("met", name))
        else:
            self._act(name, (kind,), torn)
        if not model.facts[self._host(name)].up:
            for other in model.names:
                if other != name:
                    self._set_link((other, name), ())
        self._sweep()
        if model.bounds.delays != FREE:  # the link that delivered goes to the end, as do new ones
            old = [at for at in model._turns[self.state[-2]] if at != heard]
            new = [at for at in model._link_position.values() if at not in old]
            self.state[-2] = model._turns_number(tuple(at for at in (*old, *new) if self.state[at]))
        self.state[-1] = model._past_number(self.past)
        return tuple(self.state)

    def _sweep(self) -> None:
        """Drops messages of an epoch older than the receiver's that have no effect now: they never will, as
        its epoch only grows."""
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
            message = decode(line)
            if isinstance(message, Ping | Pong):
                kept.append(line)  # these are valid in any epoch
                continue
            last = message.view.epoch if isinstance(message, NewView) else getattr(message, "epoch", FREE)
            # ballots carry the number of the next view
            stale = last < epoch + isinstance(message, NewView | Promise | Accept | Accepted)
            if not stale or model.local_step(host, ("hear", pair[0], line), now) != (host, ()):
                kept.append(line)
        return model._link_number(tuple(kept))

    def _host(self, name: str) -> int:
        return self.state[self.model._index_of[name]]

    def _link(self, pair: tuple[str, str]) -> int:
        return self.state[self.model._link_position[pair]]

    def _set_link(self, pair: tuple[str, str], lines: tuple[bytes, ...]) -> None:
        self.state[self.model._link_position[pair]] = self.model._link_number(lines)

    def _use_bound(self, kind: str) -> None:
        at = KINDS.index(kind)
        left = list(self.past.left)
        if left[at] == 0:
            raise OutOfBounds(kind)
        if left[at] != FREE:
            left[at] -= 1
        self.past = replace(self.past, left=tuple(left))

    def _act(self, name: str, act: Act, torn: bool = False) -> None:
        model = self.model
        now = model.now(self.past, name)
        number, effects = model.local_step(self._host(name), ("torn", *act) if torn else act, now)
        self.state[model._index_of[name]] = number
        for effect in effects:
            self.effects.append((name, effect))
            kind = effect[0]
            if kind == "tell":
                self._deliver_to_link(name, effect[1], effect[2])
            elif kind == "pong":
                if model.facts[self._host(effect[1])].up:
                    self._act(effect[1], ("pong", name, effect[2]))
            elif kind == "answer":
                self._answered(effect[1], msgspec.json.decode(effect[2], type=CommandResult | None))
            elif kind == "bid":
                self._use_bound("bids")
                if effect[1] > model.bounds.views and self.past.left[0] != FREE:
                    raise OutOfBounds("views")
            elif kind == "vote":
                self._voted(name, effect[1])
            elif kind == "view":
                self._agreed(effect[1])
            else:
                self._answers(name, effect[1])

    def _deliver_to_link(self, name: str, addr: str, line: bytes) -> None:
        model = self.model
        if addr not in model._index_of or not model.facts[self._host(addr)].up:
            return
        lines = model._links[self._link((name, addr))]
        if line not in lines or b'"t":"view' not in line:  # a view sent twice counts once
            self._set_link((name, addr), (*lines, line))

    # --- invariants checked during events

    def _answered(self, number: int, result: CommandResult | None) -> None:
        past = self.past
        if number > READ:
            min_version = next(one for asked, one in past.reads if asked == number)
            reads = tuple(one for one in past.reads if one[0] != number)
            plants = result.content["Plants"] if isinstance(result, Configuration) else []
            found = int(plants[0]["Revision"][1:]) if plants else 0
            if found < min_version:
                raise Violation(
                    f"a read went back: it gave version {found} after version {min_version} was known"
                )
            self.past = replace(past, reads=reads, seen=max(past.seen, found))
        elif number > FREED:
            pass
        elif isinstance(result, CommandDone):
            for other in past.acked - {number}:
                conflict = self.model.settings.workload.conflict(number, other)
                if conflict:
                    raise Violation(conflict)
            facts = self.model.facts
            holds = {name for name in self.model.names if number in facts[self._host(name)].held}
            holds |= {name for gone, name in past.gone if gone == number}
            if len(holds) < self.model.bounds.min_replicas:
                of = f"{len(holds)} of {self.model.bounds.min_replicas} disks"
                raise Violation(f"write {number} was acknowledged when {of} had stored it")
            self.past = replace(past, acked=past.acked | {number}, seen=max(past.seen, number))
        elif result is None or isinstance(result, UndecidedChange):
            pass  # no clear answer
        elif number in past.acked:
            raise Violation(f"write {number} was acknowledged, and is refused when it comes again")
        else:
            self.past = replace(past, refused=past.refused | {number})

    def _voted(self, name: str, epoch: int) -> None:
        view = next((one for one in self.past.views if one.epoch == epoch - 1), None)
        member = view.member(name) if view is not None else None
        incarnation = self.model.facts[self._host(name)].incarnation
        if member is None or member.incarnation != incarnation:
            raise Violation(f"{name} voted on view {epoch} with a disk that has no seat in view {epoch - 1}")

    def _agreed(self, view: View) -> None:
        views = {one.epoch: one for one in self.past.views}
        if views.setdefault(view.epoch, view) != view:
            raise Violation(f"there are two views with number {view.epoch}")
        self._admits(view, views.get(view.epoch - 1))
        self.past = replace(self.past, views=tuple(views[epoch] for epoch in sorted(views)))
        if self.model.bounds.clock and view.epoch not in dict(self.past.agreed_at):
            agreed_at = (*self.past.agreed_at, (view.epoch, self.past.time))
            self.past = replace(self.past, agreed_at=tuple(sorted(agreed_at)))

    def _admits(self, view: View, before: View | None) -> None:
        """Checks that each new member of a view holds a complete copy on its disk."""
        old = {(member.addr, member.incarnation) for member in before.members} if before is not None else None
        for member in view.members if old is not None else ():
            facts = self.model.facts[self._host(member.addr)]
            known = (member.addr, member.incarnation) in (old or ())
            if not known and facts.incarnation == member.incarnation and not facts.copied:
                raise Violation(f"view {view.epoch} admits {member.addr}, whose disk has no complete copy")

    def _answers(self, name: str, epoch: int) -> None:
        incarnation = self.model.facts[self._host(name)].incarnation
        for other_epoch, other, other_inc in self.past.tails:
            if other_epoch == epoch and (other, other_inc) != (name, incarnation):
                raise Violation(f"{other} and {name} both answer as the tail of view {epoch}")
        if (epoch, name, incarnation) not in self.past.tails:
            self.past = replace(
                self.past, tails=tuple(sorted((*self.past.tails, (epoch, name, incarnation))))
            )
