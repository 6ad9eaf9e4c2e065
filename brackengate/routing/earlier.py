"""Where a request goes that may have run before: to the pool where it may have, or nowhere.  Pure.

Zones, cells and keys of one pool mean nothing in another, so a word on an earlier attempt carries its pool,
in front of the upstream's name.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace

from brackengate.interface import EarlierAttempt, Idempotency

OF = "\x1f"  # between a pool's name and an upstream's; in neither


def with_pool(earlier: EarlierAttempt, pool: str) -> EarlierAttempt:
    return EarlierAttempt(
        replace(earlier.endpoint, upstream=f"{pool}{OF}{earlier.endpoint.upstream}"), earlier.sent_at
    )


def without_pool(earlier: EarlierAttempt) -> EarlierAttempt:
    name = earlier.endpoint.upstream.rpartition(OF)[2]
    return EarlierAttempt(replace(earlier.endpoint, upstream=name), earlier.sent_at)


def goes_to(chosen: str, earlier: Iterable[EarlierAttempt], kind: Idempotency, pools: Collection[str]) -> str:
    """The pool for a request that routes send to `chosen`; empty where it may go nowhere.

    `pools`: those that there are.  What may be repeated anywhere goes by its route.
    """
    sent = {one.endpoint.upstream.rpartition(OF)[0] for one in earlier}
    if not sent or sent == {chosen} or kind is Idempotency.REPEATABLE:
        return chosen
    (only, *others) = sent
    return only if not others and only in pools else ""
