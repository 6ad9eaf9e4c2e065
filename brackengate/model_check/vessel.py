"""One machine as the search sees it: the deciders as they are, a disk, and no clock.  Pure.

Time stands still at 0; what a decider would do once some time has passed is an event of its own.  After each
event what is kept of time is set to one of two values, fresh or long ago, so that states can be compared.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields, is_dataclass
from typing import Any

import msgspec

from brackengate.control.actions import Action, Answer, Store, Tell
from brackengate.control.chain import Chain
from brackengate.control.replica import FIRST, Replica
from brackengate.control.view import APART, NEVER, Agreement
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

WINDOW = 60_000_000
Act = tuple[Any, ...]
Effect = tuple[Any, ...]
decode: Callable[[bytes], Message] = msgspec.json.Decoder(Message).decode
encode = msgspec.json.encode


@dataclass(frozen=True)
class Waters:
    """What is the same in all states."""

    seeds: tuple[str, ...]
    min_replicas: int
    kind: type[Replica] = Replica
    workload: Workload = WORKLOADS["claims"]
    apart: bool = False  # whether a store is an event of its own, else part of what asked for it
    clock: bool = False  # whether time passes: leases run out, and pings are lines like others


@dataclass
class Vessel:
    name: str
    disk: DiskState = field(default_factory=DiskState)
    starts: int = 0
    replica: Replica | None = None
    queue: deque[Store] = field(default_factory=deque)


def copied(value: Any) -> Any:
    """Apart from the old one in all that is ever changed in place."""
    match value:
        case dict():
            return {key: copied(one) for key, one in value.items()}
        case list() | deque() | set():
            return type(value)(copied(one) for one in value)
        case Replica() | Agreement() | Chain():
            decider = copy.copy(value)
            decider.__dict__.update((key, copied(one)) for key, one in value.__dict__.items())
            return decider
        case Store():  # never changed once it is asked for
            return value
    if is_dataclass(value):
        new = copy.copy(value)
        for one in fields(value):
            setattr(new, one.name, copied(getattr(value, one.name)))
        return new
    return value


def plain(value: Any) -> Any:
    """The same for equal states, and hashable."""
    kind = type(value)
    if kind in (str, int, float, bytes, bool) or value is None:
        return value
    if kind is tuple or kind is list or kind is deque:
        return tuple([plain(one) for one in value])
    if kind is dict:
        return tuple(sorted([(plain(key), plain(one)) for key, one in value.items()]))
    if kind is set:
        return tuple(sorted(value))
    names = _names.get(kind)
    if names is None:
        names = _names[kind] = (
            value.__struct_fields__
            if isinstance(value, msgspec.Struct)
            else tuple(one.name for one in fields(value))
            if is_dataclass(value)
            else tuple(value.__dict__)  # the deciders set all that they have at once
        )
    return (kind.__name__, *[plain(getattr(value, name)) for name in names])


_names: dict[type, tuple[str, ...]] = {}


def step(old: Vessel, act: Act, waters: Waters, now: int = 0) -> tuple[Vessel, tuple[Effect, ...]]:
    """What comes of one event at a time, by this machine's clock.

    Effects: ("tell", whom, line), ("pong", whom, line), ("answer", number, result), ("bid", epoch),
    ("vote", epoch), ("view", view) and ("tail", epoch): it answered as the tail.
    """
    vessel: Vessel = copied(old)
    if act[0] in ("kill", "power", "wipe"):
        for store in vessel.queue if act[0] == "kill" else ():  # the thread that writes may still get it done
            vessel.disk.write(store)
        if act[0] == "wipe":
            vessel.disk = DiskState()
        vessel.replica = None
        vessel.queue.clear()
        return vessel, ()
    turn = _Turn(vessel, waters, now)
    torn = act[0] == "torn"
    if torn:  # what needs no store is said, then power is lost
        act = act[1:]
    actions = turn.begin(act)
    turn.carry_out(actions, torn)
    if torn:
        vessel.replica = None
        vessel.queue.clear()
    elif vessel.replica is not None:
        _still(vessel.replica, waters.clock)
    return vessel, tuple(turn.effects)


def serves(vessel: Vessel, now: int) -> bool:
    """Whether followers may take what it holds for current."""
    if vessel.replica is None:
        return False
    replica: Replica = copied(vessel.replica)
    _awake(replica, now)
    return replica.serves(now)


def ping(vessel: Vessel, addr: str, now: int) -> bytes | None:
    """The line that says to that member how this one stands."""
    replica: Replica = copied(vessel.replica)
    _awake(replica, now)
    for action in replica.agreement._ping(now, replica.chain.log()):
        if isinstance(action, Tell) and action.addr == addr and isinstance(action.word, Ping):
            return encode(msgspec.structs.replace(action.word, index=0))  # nobody decides by the index
    return None


def _awake(replica: Replica, now: int) -> None:
    """Who was heard still is: whom a replica no longer hears is an event of its own.  Leases have run on."""
    agreement = replica.agreement
    agreement._pinged = agreement._ticked = replica.chain.learner.asked_at = now
    for peer in agreement.peers.values():
        peer.answered = now if peer.answered > NEVER else NEVER
        peer.said_at = now if peer.said_at > NEVER else NEVER
    if agreement._change is not None:
        agreement._change.at = now


def _still(replica: Replica, clock: bool) -> None:
    """What is kept of time is set to fresh or long ago; where time passes, what leases run from stays."""
    agreement, chain = replica.agreement, replica.chain
    agreement._pinged = agreement._ticked = 0
    if not clock:
        agreement._adopted = 0
        agreement._open_until = agreement.lease_from = NEVER
    agreement._trouble = None
    agreement._apart.clear()
    for peer in agreement.peers.values():
        if peer.answered > NEVER and not peer.refused:
            peer.answered, peer.said_at = 0, 0 if peer.said is not None else NEVER
        else:
            peer.answered = peer.said_at = NEVER
        peer.refused, peer.ever = False, True
        if not clock:
            peer.pings, peer.open_epoch, peer.open_since = (), 0, NEVER
            peer.incarnation_at = 0 if peer.incarnation else NEVER
    if agreement._change is not None:
        agreement._change.at = 0
    chain._said_have = chain._pruned = chain._now = chain.learner.asked_at = 0
    for pending in chain._commands.by_id.values():
        pending.at = pending.sent = 0


class _Turn:
    def __init__(self, vessel: Vessel, waters: Waters, now: int) -> None:
        self.vessel, self.waters, self.now = vessel, waters, now
        self._pongs_are_lines = self.probing = False
        self.effects: list[Effect] = []
        self._seen = _seen(vessel.replica)

    def begin(self, act: Act) -> list[Action]:
        vessel = self.vessel
        if act[0] == "start":
            vessel.starts += 1
            vessel.disk.incarnation = vessel.disk.incarnation or act[1]
            first = act[1] == FIRST
            waters, begins = self.waters, vessel.starts * 1000  # commands are numbered from there
            replica = vessel.replica = waters.kind(
                vessel.name, "", vessel.disk.kept(), waters.seeds, first, waters.min_replicas, WINDOW, begins
            )
            replica.agreement._adopted = self.now
            _still(replica, waters.clock)
            return replica.start(self.now)
        return self.act(self.alive(), act, self.now)

    def act(self, replica: Replica, act: Act, now: int) -> list[Action]:
        agreement, chain = replica.agreement, replica.chain
        _awake(replica, now)
        match act:
            case ("hear", addr, line):
                self._pongs_are_lines = self.waters.clock
                return replica.heard(addr, decode(line), now)
            case ("ping", addr, line):
                return replica.heard(addr, decode(line), now)
            case ("probe", addr):
                self.probing = True
                return _only(agreement._ping(now, chain.log()), addr)
            case ("pong", addr, line):
                agreement.peers[addr].on_ping_sent(now)
                return replica.heard(addr, decode(line), now)
            case ("met", addr):
                replica.met(addr, now)
                return replica.reconnected(addr, now)
            case ("sync",):
                return self.sync()
            case ("mend", *doubted):  # all pauses are over
                for addr in doubted:
                    agreement.peers[addr].answered = agreement.peers[addr].said_at = NEVER
                agreement._change = None
                agreement._live_members(-2 * APART)
                agreement._trouble = NEVER
                return replica._settle(agreement._reconfigure(now, chain.log()), now)
            case ("ask", number):
                return replica.ask(self.waters.workload.command(number), number, now)
            case ("again",):
                numbers = list(chain._commands.by_id)
                return [action for number in numbers for action in chain._submit(number, now)]
            case ("learn",):  # its pause is over
                chain.learner.asked_at = NEVER
                return chain._learn(now)
            case ("have",):
                return chain._say_have(now)
        raise ValueError(act)

    def alive(self) -> Replica:
        assert self.vessel.replica is not None
        return self.vessel.replica

    def sync(self) -> list[Action]:
        store = self.vessel.queue.popleft()
        self.vessel.disk.write(store)
        told: list[Action] = list(store.tells)
        return told + (self.alive().stored(store.index, store.generation) if store.index >= 0 else [])

    def carry_out(self, actions: Iterable[Action], torn: bool) -> None:
        vessel, me = self.vessel, self.vessel.name
        own: deque[Message] = deque()
        while True:
            for action in actions:
                match action:
                    case Tell(addr, word):
                        if isinstance(word, Promise | Accepted):
                            self.effects.append(("vote", word.epoch))
                        if addr == me:
                            own.append(word)
                        elif isinstance(word, Pong) and not self._pongs_are_lines:
                            self.effects.append(("pong", addr, encode(word)))
                        elif not isinstance(word, Ping) or self.probing:  # those are events of their own
                            self.effects.append(("tell", addr, encode(_bare(word))))
                    case Store():
                        vessel.queue.append(action)
                    case Answer(number, result):
                        self.effects.append(("answer", number, encode(result)))
            self.look()
            if torn:
                return
            if own:
                actions = self.alive().heard(me, own.popleft(), self.now)
            elif vessel.queue and not self.waters.apart:
                actions = self.sync()
            else:
                return

    def look(self) -> None:
        """What has changed that somebody outside may care for."""
        before, self._seen = self._seen, _seen(self.vessel.replica)
        bid, view, agreed = self._seen
        replica = self.vessel.replica
        if replica is None:
            return
        if bid is not None and bid != before[0]:
            self.effects.append(("bid", bid[0]))
        if view != before[1]:
            self.effects.append(("view", view))
        chain = replica.chain
        if agreed > before[2] and 0 <= chain._chain_position() == len(chain.view.members) - 1:
            self.effects.append(("tail", chain.view.epoch))


def _only(actions: Iterable[Action], addr: str) -> list[Action]:
    return [one for one in actions if isinstance(one, Tell) and one.addr == addr]


def _seen(replica: Replica | None) -> tuple[tuple[int, Ballot] | None, View | None, int]:
    if replica is None:
        return None, None, -1
    change = replica.agreement._change
    named = None if change is None else (change.view.epoch, change.ballot)
    return named, replica.agreement.view, replica.chain.commit_index


def _bare(word: Message) -> Message:
    return msgspec.structs.replace(word, index=0) if isinstance(word, Promise) else word
