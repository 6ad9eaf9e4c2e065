"""What is wrong with a map of cells, and with going over to it from another.  Pure."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator

from brackengate.cells.owners import Owners, Terms, ends
from brackengate.installation.schema import CellMap

Key = tuple[str | int, ...]
Interval = tuple[float, float, str]  # from, to, the cell that owns it

MAX_CELLS, MAX_ASSIGNED, MAX_MOVES = 1000, 1_000_000, 10_000


def map_faults(told: CellMap, pools: Collection[str]) -> list[tuple[Key, str]]:
    """Every fault of a map by itself, each under its key in the file of `cells.file`."""
    found: list[tuple[Key, str]] = []
    for what, count, most in (
        ("cell", len(told.cell), MAX_CELLS),
        ("assign", len(told.assign), MAX_ASSIGNED),
        ("move", len(told.move), MAX_MOVES),
    ):
        if count > most:
            found.append((("cells", what), f"{count} of them; {most} are allowed"))
    if found:
        return found
    names = ", ".join(told.cell) or "none"

    def cell(key: Key, name: str) -> None:
        if name not in told.cell:
            found.append((("cells", *key), f"names no cell: {name!r}; allowed: {names}"))

    cell(("default",), told.default)
    owned: dict[str, str] = {}
    for name, one in told.cell.items():
        if not one.pools:
            found.append((("cells", "cell", name, "pools"), "is empty: a cell has pools of its own"))
        for route_pool, pool in one.pools.items():
            for given in (route_pool, pool):
                if given not in pools:
                    found.append((("cells", "cell", name, "pools", route_pool), f"names no pool: {given!r}"))
            if owned.setdefault(pool, name) != name:
                what = f"pool {pool!r} is also that of cell {owned[pool]!r}: a fault there would be one here"
                found.append((("cells", "cell", name, "pools", route_pool), what))
    for who, name in told.assign.items():
        cell(("assign", who), name)
    for who, move in told.move.items():
        cell(("move", who, "from"), move.from_)
        cell(("move", who, "to"), move.to)
        if move.from_ == move.to:
            found.append((("cells", "move", who, "to"), f"is where it comes from: {move.to!r}"))
        home = told.assign.get(who, told.default)
        if move.from_ != home:
            what = f"is {move.from_!r}, and {who!r} is assigned to {home!r}"
            found.append((("cells", "move", who, "from"), what))
    return found


def term_faults(told: CellMap, terms: Terms) -> list[str]:
    """Moves that do not wait for what the installation's classes need."""
    out = []
    for who, move in told.move.items():
        if move.gap < terms.deadline:
            out.append(f"cells.move.{who}.gap: {move.gap} us; the longest deadline is {terms.deadline} us")
        if move.memory < terms.memory:
            out.append(
                f"cells.move.{who}.memory: {move.memory} us; keys are remembered for {terms.memory} us"
            )
    return out


def change_faults(old: Owners, new: Owners, now: int, terms: Terms) -> list[str]:
    """Why an instance that has `old` must not go over to `new`: some tenant could have two owners at once.

    Instances that have not heard of `new` go by `old` until a notice after its publication; those that have
    go by `new` from its publication on.  Whatever each could send must be over before another owner begins.
    """
    if new.epoch < old.epoch:
        return [f"cells.epoch: {new.epoch} is older than {old.epoch}, which is in use"]
    if new.epoch == old.epoch:
        return [] if new == old else [f"cells.epoch: {new.epoch} is in use already with another map"]
    if new.published > now + 2 * terms.skew:
        return [f"cells.published: {new.published} lies in the future; it is {now}"]
    out = []
    until, since = new.published + terms.notice, new.published - 2 * terms.skew
    for who in _touched(old, new):
        for keyed in (False, True):
            need = terms.deadline + (terms.memory if keyed else 0)
            clash = _clash(
                [*_clipped(old, who, keyed, -math.inf, until), *_clipped(new, who, keyed, since, math.inf)],
                need,
                since - need,
            )
            if clash:
                kind = "keyed requests" if keyed else "unsafe requests"
                name = f"cells.assign.{who}" if who else "cells.default"
                out.append(f"{name}: {kind} could run in {clash[0]!r} and {clash[1]!r} at once; move it")
                break
    return out


def _touched(old: Owners, new: Owners) -> Iterator[str]:
    """Whose timeline may differ; empty: that of all who are not named."""
    names = {*old.moves, *new.moves}
    if old.assigned is not new.assigned:
        names |= {who for who in old.assigned if new.assigned.get(who) != old.assigned[who]}
        names |= {who for who in new.assigned if old.assigned.get(who) != new.assigned[who]}
    yield from sorted(names)
    if old.default != new.default:
        yield ""


def _clipped(owners: Owners, who: str, keyed: bool, least: float, most: float) -> Iterator[Interval]:
    move = owners.moves.get(who)
    if move is None or not move.start:
        intervals: list[Interval] = [(-math.inf, math.inf, owners.home(who))]
    else:
        intervals = [(-math.inf, move.start, move.from_), (ends(move, keyed), math.inf, move.to)]
    for begin, end, cell in intervals:
        begin, end = max(begin, least), min(end, most)
        if begin < end:
            yield begin, end, cell


def _clash(intervals: list[Interval], need: float, since: float) -> tuple[str, str] | None:
    """Two cells whose times are not `need` apart; what ended before `since` is of no account."""
    late = [one for one in intervals if one[1] > since]
    for begin, end, cell in late:
        for other_begin, other_end, other in late:
            if other != cell and begin < other_end + need and other_begin < end + need:
                return cell, other
    return None
