"""Where a request goes that may have run before: to the pool where it may have, or nowhere.  Pure.

Zones, cells and keys of one pool mean nothing in another, so a word on an earlier attempt carries its pool,
in front of the upstream's name.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from brackengate.interface import Earlier, Idempotency

OF = "\x1f"  # between a pool's name and an upstream's; in neither


def with_pool(earlier: Earlier, pool: str) -> Earlier:
    return Earlier(replace(earlier.row, upstream=f"{pool}{OF}{earlier.row.upstream}"), earlier.sent)


def without_pool(earlier: Earlier) -> Earlier:
    name = earlier.row.upstream.rpartition(OF)[2]
    return Earlier(replace(earlier.row, upstream=name), earlier.sent)


def goes_to(chosen: str, earlier: Iterable[Earlier], kind: Idempotency, pools: Collection[str]) -> str:
    """The pool for a request that routes send to `chosen`; empty where it may go nowhere.

    `pools`: those that there are.  What may be repeated anywhere goes by its route.
    """
    sent = {one.row.upstream.rpartition(OF)[0] for one in earlier}
    if not sent or sent == {chosen} or kind is Idempotency.REPEATABLE:
        return chosen
    (only, *others) = sent
    return only if not others and only in pools else ""
