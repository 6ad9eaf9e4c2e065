"""A replica's status for operators' commands: reads the state and changes nothing.  No I/O."""

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


def replica_status(replica: Replica, proxies: tuple[FollowerStatus, ...], now: int) -> ReplicaStatus:
    """The replica's own status.  `proxies`: the followers' progress; `now`: microseconds."""
    agreement, chain = replica.agreement, replica.chain
    view = agreement.view
    public = chain.published
    upstreams = tuple(
        (name, msgspec.convert(value, UpstreamReport))
        for (kind, name), (_, value) in sorted(public.items())
        if kind == "inst" and value is not None
    )
    peers = []
    for addr, peer in sorted(agreement.peers.items()):
        ping, reachable = peer.last_ping, agreement.is_alive(addr, now)
        if ping is None:
            peers.append(PeerStatus(addr, reachable=reachable))
        else:
            peers.append(
                PeerStatus(addr, ping.zone, reachable, ping.joining, ping.disk_healthy, ping.leaving)
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
        agreement.leaving,
        agreement.epoch_closed,
        chain.state.keys,
        sum(1 for (kind, _), item in chain.items.items() if kind == "route" and item.body is not None),
        sum(1 for (kind, _), item in chain.items.items() if kind == "plant" and item.body is not None),
        _duties(replica, now),
        upstreams,
        tuple(peers),
        proxies,
    )


def _duties(replica: Replica, now: int) -> tuple[str, ...]:
    """The duties of this member in the view, as far as it knows."""
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
    """The operator's items, including removed ones, whose versions still count."""
    items = []
    for (kind, name), (index, value) in sorted(replica.chain.published.items()):
        if kind in ITEM_KINDS:
            item = msgspec.convert(value, Item)
            items.append(StoredItem(kind, name, index, item.version, item.host, item.body))
    return ItemList(
        replica.serves(now), replica.chain.commit_index, replica.agreement.view.epoch, tuple(items)
    )
