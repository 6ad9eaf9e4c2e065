"""What cells cost: choosing a pool with and without them, a look-up among many keys, and how long moves hold.

    python -m benchmarks.cells            # all; --part choose | keys | moves

`choose` is a ratio from one run, by turns; `moves` is computed from the times of the example file.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Callable
from pathlib import Path

from brackengate.cells import change, setup
from brackengate.cells.owners import Go, Owners, ends
from brackengate.installation.reading import load
from brackengate.installation.schema import Cell, CellMap, Route
from brackengate.interface import Idempotency
from brackengate.routing.table import RouteTable, Traits

S = 1_000_000
NOW = 1_700_000_000 * S
EXAMPLE = Path(__file__).parent.parent / "examples" / "cells.toml"


def cells(tenants: int) -> CellMap:
    return CellMap(
        epoch=1,
        published=NOW,
        cell={name: Cell(pools={"api": name}) for name in "abcd"},
        default="a",
        assign={f"t{n}": "abcd"[n % 4] for n in range(tenants)},
    )


def each_us(work: Callable[[int], object], count: int = 20_000) -> float:
    begun = time.perf_counter()
    for number in range(count):
        work(number)
    return (time.perf_counter() - begun) / count * 1e6


def choose() -> None:
    """The route table alone, and with the cell of the request's tenant after it."""
    terms = setup.terms(load(EXAMPLE))
    table, owners = RouteTable([Route(name="all", pool="api")]), Owners.of(cells(8))

    def without(number: int) -> str:
        return table.pool(Traits(tenant=f"t{number % 8}", request=str(number)))

    def with_cells(number: int) -> str:
        name = table.pool(Traits(tenant=f"t{number % 8}", request=str(number)))
        told = owners.decide(f"t{number % 8}", Idempotency.UNSAFE, NOW, NOW, terms)
        return owners.pool(told.cell, name) if isinstance(told, Go) else ""

    pairs = [(each_us(without), each_us(with_cells)) for _ in range(9)]
    bare, full = (statistics.median(column) for column in zip(*pairs, strict=True))
    print(f"choosing a pool: {bare:.2f} us without cells, {full:.2f} us with: ratio {full / bare:.2f}")


def keys() -> None:
    terms = setup.terms(load(EXAMPLE))
    for count in (8, 1000, 100_000):
        told = cells(count)
        begun = time.perf_counter()
        owners = Owners.of(told)
        made = time.perf_counter() - begun
        moved = change.begin(told, "t0", "c", NOW, terms)
        assert isinstance(moved, CellMap)
        begun = time.perf_counter()
        Owners.of(moved, owners)
        again = time.perf_counter() - begun

        def look(number: int, owners: Owners = owners, count: int = count) -> object:
            return owners.decide(f"t{number % count}", Idempotency.KEYED, NOW, NOW, terms)

        took = statistics.median(each_us(look) for _ in range(5))
        print(
            f"{count:7} keys: {took:.2f} us a look-up;"
            f" {made * 1e3:.1f} ms to take in, {again * 1e3:.1f} ms the next"
        )


def moves() -> None:
    """From the command on, by class: how long the old cell has it, and for how long nobody has."""
    terms = setup.terms(load(EXAMPLE))
    told = change.begin(cells(8), "t0", "c", NOW, terms)
    assert isinstance(told, CellMap)
    move = told.move["t0"]
    print(f"reads: in the new cell after {(move.start - NOW) / S:.1f} s, none refused")
    for name, keyed in (("unsafe", False), ("keyed", True)):
        refused = (ends(move, keyed) - move.start + 2 * terms.skew) / S
        print(
            f"{name}: refused for {refused:.1f} s,"
            f" in the new cell after {(ends(move, keyed) - NOW) / S:.1f} s"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parts: dict[str, Callable[[], None]] = {"choose": choose, "keys": keys, "moves": moves}
    parser.add_argument("--part", choices=tuple(parts))
    told = parser.parse_args()
    for name, part in parts.items():
        if told.part in (None, name):
            part()


if __name__ == "__main__":
    main()
