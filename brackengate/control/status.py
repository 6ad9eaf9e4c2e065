"""What a lighthouse says of itself to an operator's command: read off, and nothing changed by it.  Pure."""

from __future__ import annotations

import msgspec

from brackengate.control.replica import Replica
from brackengate.protocol.config_items import Item
from brackengate.protocol.messages import (
    ITEM_KINDS,
    FollowerStatus,
    ItemList,
    PeerStatus,
    ReplicaStatus,
    StoredItem,
    UpstreamReport,
)


def replica_status(replica: Replica, pilots: tuple[FollowerStatus, ...], now: int) -> ReplicaStatus:
    agreement, chain = replica.agreement, replica.chain
    view = agreement.view
    public = chain.published
    upstreams = tuple(
        (name, msgspec.convert(value, UpstreamReport))
        for (kind, name), (_, value) in sorted(public.items())
        if kind == "inst" and value is not None
    )
    neighbours = []
    for addr, peer in sorted(agreement.peers.items()):
        said, heard = peer.said, agreement.hears(addr, now)
        if said is None:
            neighbours.append(PeerStatus(addr, reachable=heard))
        else:
            neighbours.append(
                PeerStatus(addr, said.zone, heard, said.joining, said.disk_healthy, said.leaving)
            )
    return ReplicaStatus(
        replica.me,
        agreement.incarnation,
        agreement.zone,
        view.epoch,
        view.members,
        chain.min_replicas,
        chain.index,
        chain.stored_index,
        chain.commit_index,
        chain.public_index,
        agreement.is_member,
        chain.has_snapshot,
        replica.serves(now),
        agreement.disk_healthy,
        agreement.leaves,
        agreement.epoch_closed,
        chain.state.keys,
        sum(1 for (kind, _), item in chain.items.items() if kind == "route" and item.body is not None),
        sum(1 for (kind, _), item in chain.items.items() if kind == "plant" and item.body is not None),
        _duties(replica, now),
        upstreams,
        tuple(neighbours),
        pilots,
    )


def _duties(replica: Replica, now: int) -> tuple[str, ...]:
    """What this member does for all, by what it knows."""
    agreement, chain = replica.agreement, replica.chain
    if not agreement.is_member:
        return ()
    members, out = agreement.view.members, []
    if chain.has_snapshot and members[0].addr == replica.me:
        out += ["enter", "prune"]
    if chain.has_snapshot and members[-1].addr == replica.me:
        out.append("agree")
    if agreement.disk_healthy and agreement.coordinator(now) == replica.me:
        out.append("mend")
    return tuple(out)


def item_list(replica: Replica, now: int) -> ItemList:
    """The operator's items, those that were dropped too: their versions still count."""
    items = []
    for (kind, name), (index, value) in sorted(replica.chain.published.items()):
        if kind in ITEM_KINDS:
            item = msgspec.convert(value, Item)
            items.append(StoredItem(kind, name, index, item.version, item.host, item.body))
    return ItemList(
        replica.serves(now), replica.chain.commit_index, replica.agreement.view.epoch, tuple(items)
    )
