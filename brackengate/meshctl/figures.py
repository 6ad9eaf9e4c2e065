"""Combines the status that several control replicas report of themselves."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from brackengate.protocol.config_items import ItemName
from brackengate.protocol.messages import ItemList, ReplicaStatus

STATES = ("ready", "draining", "away", "gone")


def newest(statuses: Iterable[ReplicaStatus]) -> ReplicaStatus:
    """The status whose view and upstream list are valid: of the highest epoch, then commit index."""
    return max(statuses, key=lambda one: (one.epoch, one.is_member, one.commit_index))


def state(one: ReplicaStatus, view: ReplicaStatus) -> str:
    """The state of a replica in words for operators; `view` is the newest status."""
    phrases = []
    if one.epoch != view.epoch:
        phrases.append(f"still in view {one.epoch}")
    if not one.disk_healthy:
        phrases.append("disk unfit")
    if one.leaving:
        phrases.append("leaving" if one.is_member else "left")
    elif not one.is_member:
        phrases.append("waits for a seat")
    elif not one.has_snapshot:
        phrases.append("taking its seat")
    elif not one.serving:
        phrases.append("out of touch")
    if one.epoch_closed:
        phrases.append("view being changed")
    return ", ".join(phrases) or "serves"


def members(statuses: Sequence[ReplicaStatus], lost: Iterable[tuple[str, str]] = ()) -> list[dict[str, Any]]:
    """Rows of the members in chain order, then of other replicas.  `lost`: who did not answer, and why."""
    view = newest(statuses)
    agreed = max(one.commit_index for one in statuses)
    members_in_order = [member.addr for member in view.members]
    status_of = {one.addr: one for one in statuses}
    reasons = dict(lost)
    rows: list[dict[str, Any]] = []
    for addr in (
        *members_in_order,
        *sorted(status_of.keys() - members_in_order),
        *sorted(reasons.keys() - status_of.keys() - set(members_in_order)),
    ):
        at = members_in_order.index(addr) if addr in members_in_order else -1
        place = (
            "-"
            if at < 0
            else "head"
            if at == 0
            else "tail"
            if at == len(members_in_order) - 1
            else str(at + 1)
        )
        one = status_of.get(addr)
        if one is None:
            reports = [it for other in statuses for it in other.peers if it.addr == addr]
            zone = next((it.zone for it in reports if it.zone), None)
            lost_row = {"member": addr, "zone": zone, "chain": place, "state": reasons.get(addr, "unreached")}
            rows.append({**lost_row, "heard_by": sum(it.reachable for it in reports)})
            continue
        row = {"member": addr, "zone": one.zone, "view": one.epoch, "chain": place}
        row |= {
            "stored": one.stored_index,
            "agreed": one.commit_index,
            "lag": max(0, agreed - one.stored_index),
        }
        row |= {"pilots": len(one.proxies), "keys": one.keys, "routes": one.routes, "services": one.services}
        row |= {"duties": list(one.duties), "state": state(one, view)}
        rows.append(row)
    return rows


def pilots(statuses: Sequence[ReplicaStatus]) -> list[dict[str, Any]]:
    """Rows of the proxies.  `behind`: log indexes up to the last one for proxies; None: not reported."""
    public = max(one.public_index for one in statuses)
    rows = []
    for one in statuses:
        for it in one.proxies:
            behind = None if it.index is None else max(0, public - it.index)
            rows.append({"pilot": it.addr, "follows": one.addr, "place": it.index, "behind": behind})
    return sorted(rows, key=lambda row: str(row["pilot"]))


def machines_without_follower(statuses: Sequence[ReplicaStatus]) -> list[str]:
    """Listed machines whose proxy follows none of the replicas that answered."""
    following = {it.addr for one in statuses for it in one.proxies}
    listed = (machine for machine, it in newest(statuses).upstreams if it.state != "gone")
    return [machine for machine in listed if machine not in following]


def services(statuses: Sequence[ReplicaStatus]) -> list[dict[str, Any]]:
    """Rows of the services, with the number of their instances in each state."""
    counts: dict[str, Counter[str]] = {}
    for _, instance in newest(statuses).upstreams:
        counts.setdefault(instance.service, Counter())[instance.state] += 1
    return [{"service": name, **{s: count[s] for s in STATES}} for name, count in sorted(counts.items())]


def index_of(names: Iterable[tuple[ItemName, int]], item_lists: Sequence[ItemList]) -> int | None:
    """The log index from which a follower has these items at these versions or higher; None: not yet all.

    A replica that caught up may have taken several entries as one and then reports a later index than the
    others, so the earliest one is used.
    """
    latest = -1
    for (kind, name), version in names:
        indexes = [
            item.index
            for items in item_lists
            for item in items.items
            if (item.kind, item.name) == (kind, name) and item.version >= version
        ]
        if not indexes:
            return None
        latest = max(latest, min(indexes))
    return latest


def lagging_proxies(statuses: Sequence[ReplicaStatus], log_index: int) -> list[str]:
    """Following proxies that have not reported this log index."""
    return sorted(
        it.addr for one in statuses for it in one.proxies if it.index is None or it.index < log_index
    )


def spare_members(statuses: Sequence[ReplicaStatus]) -> int:
    """How many more members may fail before reconfiguration lacks a majority or writes lack enough disks.

    Only members that answered and have a healthy disk count as present.  Below 0: the number that is missing.
    """
    view = newest(statuses)
    healthy = {one.addr for one in statuses if one.disk_healthy}
    present = sum(1 for member in view.members if member.addr in healthy)
    return min(present - (len(view.members) // 2 + 1), present - view.min_replicas)


def all_members_serve(statuses: Sequence[ReplicaStatus]) -> bool:
    """Whether every member of the view answered and serves in that same view."""
    view = newest(statuses)
    status_of = {one.addr: one for one in statuses}
    return all(
        member.addr in status_of
        and status_of[member.addr].serving
        and status_of[member.addr].epoch == view.epoch
        for member in view.members
    )


def table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> str:
    """Format rows as text columns: numbers aligned to the right, words to the left."""

    def cell(value: Any) -> str:
        return " ".join(value) or "-" if isinstance(value, list) else "-" if value is None else str(value)

    lines = [[cell(row.get(name)) for name in columns] for row in rows]
    number = [
        all(line[n] == "-" or line[n].isdigit() for line in lines) and any(line[n] != "-" for line in lines)
        for n in range(len(columns))
    ]
    widths = [max(map(len, (name, *(line[n] for line in lines)))) for n, name in enumerate(columns)]
    text_lines = []
    for line in (list(columns), *lines):
        cells = (
            f"{one:>{width}}" if right else f"{one:<{width}}"
            for one, width, right in zip(line, widths, number, strict=True)
        )
        text_lines.append("  ".join(cells).rstrip())
    return "\n".join(text_lines)
