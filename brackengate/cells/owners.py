"""Who owns a tenant at a time, and whether a request may go there now.  Pure.

Times are microseconds of Unix time.  A request looks at one `Owners`, and keeps it: the assignments are a
persistent map, so the next version shares what it does not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from immutables import Map

from brackengate.installation.schema import Cell, CellMap, Move
from brackengate.interface import Idempotency


@dataclass(frozen=True, slots=True)
class Terms:
    """What the installation promises: how long a map may go unconfirmed, and how far clocks are off."""

    lease: int
    skew: int
    deadline: int  # the longest of any class
    memory: int  # the longest for which upstreams drop repeats of a key

    @property
    def notice(self) -> int:
        """From a map's publication until no instance acts on the one before it."""
        return self.lease + 2 * self.skew


class Why(Enum):
    MOVING = "its tenant is being moved"
    STALE = "the map of cells has not been confirmed of late"


@dataclass(frozen=True, slots=True)
class Go:
    """To this cell."""

    cell: str


@dataclass(frozen=True, slots=True)
class Turned:
    """Not now: surely not run."""

    why: Why
    wait: int  # until it may go


def ends(move: Move, keyed: bool) -> int:
    """From when on the new owner has it."""
    return move.start + move.gap + (move.memory if keyed else 0)


@dataclass(frozen=True, slots=True)
class Owners:
    epoch: int
    published: int
    default: str
    cells: Map[str, Cell]
    assigned: Map[str, str]
    moves: Map[str, Move]

    @classmethod
    def of(cls, told: CellMap, before: Owners | None = None) -> Owners:
        """From a map; what `before` has in common with it is shared."""
        return cls(
            told.epoch,
            told.published,
            told.default,
            Map(told.cell),
            _grown(before.assigned if before is not None else Map(), told.assign),
            Map(told.move),
        )

    def home(self, who: str) -> str:
        """The cell that it has outside moves."""
        return self.assigned.get(who, self.default)

    def owner(self, who: str, at: int, keyed: bool = False) -> str | None:
        """Whose it is at a time, for what changes something; None: nobody's."""
        move = self.moves.get(who)
        if move is None:
            return self.home(who)
        if not move.start or at < move.start:
            return move.from_
        return move.to if at >= ends(move, keyed) else None

    def reader(self, who: str, at: int) -> str:
        """Where its reads go."""
        move = self.moves.get(who)
        if move is None:
            return self.home(who)
        return move.to if move.start and at >= move.start else move.from_

    def decide(self, who: str, kind: Idempotency, now: int, confirmed: int, terms: Terms) -> Go | Turned:
        """Where a request goes that comes now.  `confirmed`: when this map was last seen to be the newest."""
        if kind is Idempotency.REPEATABLE:
            return Go(self.reader(who, now))
        if now - confirmed > terms.lease:
            return Turned(Why.STALE, terms.lease // 3)
        keyed = kind is Idempotency.KEYED
        # Another's clock may be off: at an edge nobody has it for as long as that could matter.
        early = self.owner(who, now - terms.skew, keyed)
        if early is not None and early == self.owner(who, now + terms.skew, keyed):
            return Go(early)
        return Turned(Why.MOVING, ends(self.moves[who], keyed) + terms.skew - now)

    def pool(self, cell: str, named: str) -> str:
        """The pool that a cell has in place of the one that a route names."""
        return self.cells[cell].pools.get(named, named)


def _grown(before: Map[str, str], told: dict[str, str]) -> Map[str, str]:
    """The map with these entries, made from `before` by what differs."""
    if len(before) == len(told) and all(before.get(who) == cell for who, cell in told.items()):
        return before
    made = before.mutate()
    for who in [who for who in before if who not in told]:
        del made[who]
    for who, cell in told.items():
        if before.get(who) != cell:
            made[who] = cell
    return made.finish()
