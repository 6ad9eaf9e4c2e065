"""Changes of a map: each gives the next map, or says why not and what to do.  Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brackengate.cells.owners import Terms, ends
from brackengate.installation.schema import CellMap, Move


@dataclass(frozen=True, slots=True)
class Refused:
    """Nothing is changed."""

    why: str


def _next(told: CellMap, now: int, **fields: object) -> CellMap:
    return msgspec.structs.replace(told, epoch=told.epoch + 1, published=max(now, told.published), **fields)


def begin(told: CellMap, who: str, to: str, now: int, terms: Terms) -> CellMap | Refused:
    """Move a tenant: the old owner keeps it until every instance knows, or has stopped."""
    if to not in told.cell:
        return Refused(f"there is no cell {to!r}; there are: {', '.join(told.cell)}")
    if who in told.move:
        left = told.move[who]
        return Refused(
            f"{who!r} is on its way from {left.from_!r} to {left.to!r}; undo that, or let it settle"
        )
    home = told.assign.get(who, told.default)
    if home == to:
        return Refused(f"{who!r} is in {to!r} already")
    start = max(now, told.published) + terms.notice
    move = Move(from_=home, to=to, start=start, gap=terms.deadline, memory=terms.memory)
    return _next(told, now, move={**told.move, who: move})


def pause(told: CellMap, who: str, now: int, terms: Terms) -> CellMap | Refused:
    """Hold a move that has not begun: the old owner keeps it until `resume`."""
    move = told.move.get(who)
    if move is None or not move.start:
        return Refused(f"no move of {who!r} is under way")
    if max(now, told.published) + terms.notice > ends(move, False):
        return Refused(f"too late: {_wait(move, now, terms)}")
    return _next(told, now, move={**told.move, who: msgspec.structs.replace(move, start=0)})


def resume(told: CellMap, who: str, now: int, terms: Terms) -> CellMap | Refused:
    """Go on with a move that was paused."""
    move = told.move.get(who)
    if move is None or move.start:
        return Refused(f"no move of {who!r} is paused")
    start = max(now, told.published) + terms.notice
    return _next(told, now, move={**told.move, who: msgspec.structs.replace(move, start=start)})


def undo(told: CellMap, who: str, now: int, terms: Terms) -> CellMap | Refused:
    """Leave a tenant with its old owner; once the new one may have begun that is a move back."""
    move = told.move.get(who)
    if move is None:
        return Refused(f"no move of {who!r} is under way; move it to where it is wanted")
    at = max(now, told.published)
    if not move.start or at + terms.notice <= ends(move, False):
        return _next(told, now, move={name: one for name, one in told.move.items() if name != who})
    if now < ends(move, True) + 2 * terms.skew:
        return Refused(f"too late to take it back and too early to move it back: {_wait(move, now, terms)}")
    return begin(settle(told, now, terms), who, move.from_, now, terms)


def settle(told: CellMap, now: int, terms: Terms) -> CellMap:
    """Take in the moves that are over; the same map where there are none."""
    over = {
        who: one for who, one in told.move.items() if one.start and now >= ends(one, True) + 2 * terms.skew
    }
    if not over:
        return told
    left = {who: one for who, one in told.move.items() if who not in over}
    assign = {**told.assign, **{who: one.to for who, one in over.items()}}
    return _next(told, now, assign=assign, move=left)


def state(move: Move, now: int, terms: Terms) -> str:
    """A move's state in a word, as of a clock that is right."""
    if not move.start:
        return "paused"
    if now < move.start:
        return "planned" if now + terms.notice < ends(move, False) else "planned, can't be undone"
    if now < ends(move, False):
        return "holding"
    return "holding keyed requests" if now < ends(move, True) else "moved"


def _wait(move: Move, now: int, terms: Terms) -> str:
    left = ends(move, True) + 2 * terms.skew - now
    return f"it is moved in {max(0, left) / 1e6:.1f} s, and can be moved back then"
