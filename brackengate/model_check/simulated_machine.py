"""One machine of the model: the production state machines, a disk, and no clock.  Pure.

Time stays at 0; whatever a state machine does after some time has passed is an event of its own.  After each
event all stored times are set to one of two values, recent or long ago, so that states can be compared.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields, is_dataclass
from typing import Any

import msgspec

from brackengate.control.actions import Action, Answer, Send, Store
from brackengate.control.chain import Chain
from brackengate.control.replica import FIRST_INCARNATION, Replica
from brackengate.control.view import NEVER, PARTITIONED_AFTER_US, Agreement
from brackengate.model_check.disk import DiskState
from brackengate.model_check.workload import WORKLOADS, Workload
from brackengate.protocol.messages import (
    Accepted,
    Ballot,
    Message,
    Ping,
    Pong,
    Promise,
    View,
)

WINDOW = 60_000_000  # microseconds in which a key may be repeated
Act = tuple[Any, ...]
Effect = tuple[Any, ...]
decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode
encode = msgspec.json.encode


@dataclass(frozen=True)
class ModelSettings:
    """The settings that are the same in all states of a search."""

    seeds: tuple[str, ...]
    min_replicas: int
    kind: type[Replica] = Replica
    workload: Workload = WORKLOADS["claims"]
    apart: bool = False  # whether a store is an event of its own, or part of the event that requested it
    clock: bool = False  # whether time passes: leases expire, and pings are sent like other messages


@dataclass
class SimulatedMachine:
    """One machine: its disk, its process while it runs, and the stores that are not on disk yet."""

    name: str
    disk: DiskState = field(default_factory=DiskState)
    starts: int = 0  # number of process starts
    replica: Replica | None = None
    queue: deque[Store] = field(default_factory=deque)


def copy_mutable(value: Any) -> Any:
    """A copy that shares no part that is ever mutated."""
    match value:
        case dict():
            return {key: copy_mutable(one) for key, one in value.items()}
        case list() | deque() | set():
            return type(value)(copy_mutable(one) for one in value)
        case Replica() | Agreement() | Chain():
            decider = copy.copy(value)
            decider.__dict__.update((key, copy_mutable(one)) for key, one in value.__dict__.items())
            return decider
        case Store():  # never mutated once it is returned
            return value
    if is_dataclass(value):
        new = copy.copy(value)
        for one in fields(value):
            setattr(new, one.name, copy_mutable(getattr(value, one.name)))
        return new
    return value


def canonical(value: Any) -> Any:
    """A hashable value that is equal for equal states."""
    kind = type(value)
    if kind in (str, int, float, bytes, bool) or value is None:
        return value
    if kind is tuple or kind is list or kind is deque:
        return tuple([canonical(one) for one in value])
    if kind is dict:
        return tuple(sorted([(canonical(key), canonical(one)) for key, one in value.items()]))
    if kind is set:
        return tuple(sorted(value))
    names = _field_names.get(kind)
    if names is None:
        names = _field_names[kind] = (
            value.__struct_fields__
            if isinstance(value, msgspec.Struct)
            else tuple(one.name for one in fields(value))
            if is_dataclass(value)
            else tuple(value.__dict__)  # the state machines set all attributes in `__init__`
        )
    return (kind.__name__, *[canonical(getattr(value, name)) for name in names])


_field_names: dict[type, tuple[str, ...]] = {}


def step(
    old: SimulatedMachine, act: Act, settings: ModelSettings, now: int = 0
) -> tuple[SimulatedMachine, tuple[Effect, ...]]:
    """The machine after one event at a time of its clock, and the effects of the event.

    Effects: ("tell", whom, line), ("pong", whom, line), ("answer", number, result), ("bid", epoch),
    ("vote", epoch), ("view", view) and ("tail", epoch): it answered as the tail.
    """
    machine: SimulatedMachine = copy_mutable(old)
    if act[0] in ("kill", "power", "wipe"):
        for store in machine.queue if act[0] == "kill" else ():  # the disk thread may still finish
            machine.disk.write(store)
        if act[0] == "wipe":
            machine.disk = DiskState()
        machine.replica = None
        machine.queue.clear()
        return machine, ()
    turn = _MachineStep(machine, settings, now)
    torn = act[0] == "torn"
    if torn:  # messages that need no store are sent, then power is lost
        act = act[1:]
    actions = turn.begin(act)
    turn.carry_out(actions, torn)
    if torn:
        machine.replica = None
        machine.queue.clear()
    elif machine.replica is not None:
        _normalize_times(machine.replica, settings.clock)
    return machine, tuple(turn.effects)


def serves(machine: SimulatedMachine, now: int) -> bool:
    """Whether followers may treat the data of this machine as current."""
    if machine.replica is None:
        return False
    replica: Replica = copy_mutable(machine.replica)
    _set_times_current(replica, now)
    return replica.serves(now)


def ping(machine: SimulatedMachine, addr: str, now: int) -> bytes | None:
    """The ping that this machine sends to that member, or None."""
    replica: Replica = copy_mutable(machine.replica)
    _set_times_current(replica, now)
    for action in replica.agreement._ping(now, replica.chain.log_status()):
        if isinstance(action, Send) and action.addr == addr and isinstance(action.message, Ping):
            return encode(msgspec.structs.replace(action.message, index=0))  # not used in decisions
    return None


def _set_times_current(replica: Replica, now: int) -> None:
    """Keeps live peers alive: that a peer falls silent is an event of its own.  Leases keep running."""
    agreement = replica.agreement
    agreement._last_ping_sent_at = agreement._last_tick_at = replica.chain.learner.requested_at = now
    for peer in agreement.peers.values():
        peer.last_answer_at = now if peer.last_answer_at > NEVER else NEVER
        peer.last_ping_at = now if peer.last_ping_at > NEVER else NEVER
    if agreement._change is not None:
        agreement._change.started_at = now


def _normalize_times(replica: Replica, clock: bool) -> None:
    """Sets stored times to recent or long ago; if time passes, the times that leases depend on stay."""
    agreement, chain = replica.agreement, replica.chain
    agreement._last_ping_sent_at = agreement._last_tick_at = 0
    if not clock:
        agreement._view_adopted_at = 0
        agreement._open_until = agreement.lease_start = NEVER
    agreement._change_wanted_since = None
    agreement._partitioned_since.clear()
    for peer in agreement.peers.values():
        if peer.last_answer_at > NEVER and not peer.refused:
            peer.last_answer_at, peer.last_ping_at = 0, 0 if peer.last_ping is not None else NEVER
        else:
            peer.last_answer_at = peer.last_ping_at = NEVER
        peer.refused, peer.ever_answered = False, True
        if not clock:
            peer.pings, peer.open_epoch, peer.open_since = (), 0, NEVER
            peer.incarnation_at = 0 if peer.incarnation else NEVER
    if agreement._change is not None:
        agreement._change.started_at = 0
    chain._position_sent_at = chain._last_prune_at = chain._now = chain.learner.requested_at = 0
    for pending in chain._commands.by_id.values():
        pending.submitted_at = pending.last_sent_at = 0


class _MachineStep:
    """One event at one machine, and the effects that it has."""

    def __init__(self, machine: SimulatedMachine, settings: ModelSettings, now: int) -> None:
        self.machine, self.settings, self.now = machine, settings, now
        self._pongs_are_lines = self.probing = False
        self.effects: list[Effect] = []
        self._seen = _seen(machine.replica)

    def begin(self, act: Act) -> list[Action]:
        machine = self.machine
        if act[0] == "start":
            machine.starts += 1
            machine.disk.incarnation = machine.disk.incarnation or act[1]
            first = act[1] == FIRST_INCARNATION
            settings, begins = self.settings, machine.starts * 1000  # commands are numbered from there
            replica = machine.replica = settings.kind(
                machine.name,
                "",
                machine.disk.stored_state(),
                settings.seeds,
                first,
                settings.min_replicas,
                WINDOW,
                begins,
            )
            replica.agreement._view_adopted_at = self.now
            _normalize_times(replica, settings.clock)
            return replica.start(self.now)
        return self.act(self.alive(), act, self.now)

    def act(self, replica: Replica, act: Act, now: int) -> list[Action]:
        agreement, chain = replica.agreement, replica.chain
        _set_times_current(replica, now)
        match act:
            case ("hear", addr, line):
                self._pongs_are_lines = self.settings.clock
                return replica.on_message(addr, decode(line), now)
            case ("ping", addr, line):
                return replica.on_message(addr, decode(line), now)
            case ("probe", addr):
                self.probing = True
                return _sends_to(agreement._ping(now, chain.log_status()), addr)
            case ("pong", addr, line):
                agreement.peers[addr].on_ping_sent(now)
                return replica.on_message(addr, decode(line), now)
            case ("met", addr):
                replica.add_peer(addr, now)
                return replica.on_reconnected(addr, now)
            case ("sync",):
                return self.sync()
            case ("mend", *doubted):  # all delays have passed
                for addr in doubted:
                    agreement.peers[addr].last_answer_at = agreement.peers[addr].last_ping_at = NEVER
                agreement._change = None
                agreement._live_members(-2 * PARTITIONED_AFTER_US)
                agreement._change_wanted_since = NEVER
                return replica._apply_view(agreement._reconfigure(now, chain.log_status()), now)
            case ("ask", number):
                return replica.submit_command(self.settings.workload.command(number), number, now)
            case ("again",):
                numbers = list(chain._commands.by_id)
                return [action for number in numbers for action in chain._submit(number, now)]
            case ("learn",):  # its delay has passed
                chain.learner.requested_at = NEVER
                return chain._request_copy(now)
            case ("have",):
                return chain._send_position(now)
        raise ValueError(act)

    def alive(self) -> Replica:
        assert self.machine.replica is not None
        return self.machine.replica

    def sync(self) -> list[Action]:
        store = self.machine.queue.popleft()
        self.machine.disk.write(store)
        actions: list[Action] = list(store.sends)
        return actions + (self.alive().on_stored(store.index, store.generation) if store.index >= 0 else [])

    def carry_out(self, actions: Iterable[Action], torn: bool) -> None:
        machine, me = self.machine, self.machine.name
        own: deque[Message] = deque()
        while True:
            for action in actions:
                match action:
                    case Send(addr, message):
                        if isinstance(message, Promise | Accepted):
                            self.effects.append(("vote", message.epoch))
                        if addr == me:
                            own.append(message)
                        elif isinstance(message, Pong) and not self._pongs_are_lines:
                            self.effects.append(("pong", addr, encode(message)))
                        elif not isinstance(message, Ping) or self.probing:  # those are events of their own
                            self.effects.append(("tell", addr, encode(_without_index(message))))
                    case Store():
                        machine.queue.append(action)
                    case Answer(number, result):
                        self.effects.append(("answer", number, encode(result)))
            self.record_changes()
            if torn:
                return
            if own:
                actions = self.alive().on_message(me, own.popleft(), self.now)
            elif machine.queue and not self.settings.apart:
                actions = self.sync()
            else:
                return

    def record_changes(self) -> None:
        """Adds effects for changes that the invariants depend on: ballots, views, and commits as the tail."""
        before, self._seen = self._seen, _seen(self.machine.replica)
        bid, view, agreed = self._seen
        replica = self.machine.replica
        if replica is None:
            return
        if bid is not None and bid != before[0]:
            self.effects.append(("bid", bid[0]))
        if view != before[1]:
            self.effects.append(("view", view))
        chain = replica.chain
        if agreed > before[2] and 0 <= chain._chain_position() == len(chain.view.members) - 1:
            self.effects.append(("tail", chain.view.epoch))


def _sends_to(actions: Iterable[Action], addr: str) -> list[Action]:
    return [one for one in actions if isinstance(one, Send) and one.addr == addr]


def _seen(replica: Replica | None) -> tuple[tuple[int, Ballot] | None, View | None, int]:
    if replica is None:
        return None, None, -1
    change = replica.agreement._change
    named = None if change is None else (change.view.epoch, change.ballot)
    return named, replica.agreement.view, replica.chain.commit_index


def _without_index(message: Message) -> Message:
    return msgspec.structs.replace(message, index=0) if isinstance(message, Promise) else message
