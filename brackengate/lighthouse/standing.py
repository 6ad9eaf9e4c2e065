"""What a lighthouse says of itself to an operator's command: read off, and nothing changed by it.  Pure."""

from __future__ import annotations

import msgspec

from brackengate.lighthouse.member import Member
from brackengate.signals.items import Item
from brackengate.signals.words import ITEMS, Follows, HeldItem, Instance, Items, Neighbour, Standing


def standing(member: Member, pilots: tuple[Follows, ...], now: int) -> Standing:
    agreement, chain = member.agreement, member.chain
    view = agreement.view
    public = chain.published
    upstreams = tuple(
        (name, msgspec.convert(value, Instance))
        for (kind, name), (_, value) in sorted(public.items())
        if kind == "inst" and value is not None
    )
    neighbours = []
    for addr, peer in sorted(agreement.peers.items()):
        said, heard = peer.said, agreement.hears(addr, now)
        if said is None:
            neighbours.append(Neighbour(addr, heard=heard))
        else:
            neighbours.append(Neighbour(addr, said.zone, heard, said.joining, said.fit, said.leaves))
    return Standing(
        member.me,
        agreement.inc,
        agreement.zone,
        view.epoch,
        view.seats,
        chain.enough,
        chain.place,
        chain.stored_place,
        chain.agreed,
        max((place for place, _ in public.values()), default=-1),
        agreement.seated,
        chain.whole,
        member.serves(now),
        agreement.fit,
        agreement.leaves,
        agreement.sealed,
        len(chain.born),
        sum(1 for (kind, _), item in chain.items.items() if kind == "route" and item.body is not None),
        sum(1 for (kind, _), item in chain.items.items() if kind == "plant" and item.body is not None),
        _duties(member, now),
        upstreams,
        tuple(neighbours),
        pilots,
    )


def _duties(member: Member, now: int) -> tuple[str, ...]:
    """What this member does for all, by what it knows."""
    agreement, chain = member.agreement, member.chain
    if not agreement.seated:
        return ()
    seats, out = agreement.view.seats, []
    if chain.whole and seats[0].addr == member.me:
        out += ["enter", "prune"]
    if chain.whole and seats[-1].addr == member.me:
        out.append("agree")
    if agreement.fit and agreement.mender(now) == member.me:
        out.append("mend")
    return tuple(out)


def held(member: Member, now: int) -> Items:
    """The operator's items, those that were dropped too: their versions still count."""
    items = []
    for (kind, name), (place, value) in sorted(member.chain.published.items()):
        if kind in ITEMS:
            item = msgspec.convert(value, Item)
            items.append(HeldItem(kind, name, place, item.version, item.host, item.body))
    return Items(member.serves(now), member.chain.agreed, member.agreement.view.epoch, tuple(items))
