"""What several lighthouses say of themselves, put side by side.  Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

from brackengate.protocol.config_items import Name
from brackengate.protocol.messages import Items, Standing

STATES = ("ready", "draining", "away", "gone")


def newest(standings: Iterable[Standing]) -> Standing:
    """Whose word on the view and the list counts: the highest epoch, then the highest agreed place."""
    return max(standings, key=lambda one: (one.epoch, one.is_member, one.commit_index))


def state(one: Standing, view: Standing) -> str:
    words = []
    if one.epoch != view.epoch:
        words.append(f"still in view {one.epoch}")
    if not one.disk_healthy:
        words.append("disk unfit")
    if one.leaves:
        words.append("leaving" if one.is_member else "left")
    elif not one.is_member:
        words.append("waits for a seat")
    elif not one.has_snapshot:
        words.append("taking its seat")
    elif not one.serves:
        words.append("out of touch")
    if one.epoch_closed:
        words.append("view being changed")
    return ", ".join(words) or "serves"


def members(standings: Sequence[Standing], lost: Iterable[tuple[str, str]] = ()) -> list[dict[str, Any]]:
    """The view's members in the order of the chain, then the others.  `lost`: who did not answer, and why."""
    view = newest(standings)
    agreed = max(one.commit_index for one in standings)
    seats = [seat.addr for seat in view.members]
    said = {one.addr: one for one in standings}
    why = dict(lost)
    out: list[dict[str, Any]] = []
    for addr in (*seats, *sorted(said.keys() - seats), *sorted(why.keys() - said.keys() - set(seats))):
        at = seats.index(addr) if addr in seats else -1
        place = "-" if at < 0 else "head" if at == 0 else "tail" if at == len(seats) - 1 else str(at + 1)
        one = said.get(addr)
        if one is None:
            near = [it for other in standings for it in other.neighbours if it.addr == addr]
            zone = next((it.zone for it in near if it.zone), None)
            lost_row = {"member": addr, "zone": zone, "chain": place, "state": why.get(addr, "unreached")}
            out.append({**lost_row, "heard_by": sum(it.heard for it in near)})
            continue
        row = {"member": addr, "zone": one.zone, "view": one.epoch, "chain": place}
        row |= {"stored": one.stored, "agreed": one.commit_index, "lag": max(0, agreed - one.stored)}
        row |= {"pilots": len(one.pilots), "keys": one.keys, "routes": one.routes, "services": one.plants}
        row |= {"duties": list(one.duties), "state": state(one, view)}
        out.append(row)
    return out


def pilots(standings: Sequence[Standing]) -> list[dict[str, Any]]:
    """`behind`: places up to the last one that concerns pilots; None: it did not say how far it is."""
    public = max(one.public for one in standings)
    out = []
    for one in standings:
        for it in one.pilots:
            behind = None if it.index is None else max(0, public - it.index)
            out.append({"pilot": it.addr, "follows": one.addr, "place": it.index, "behind": behind})
    return sorted(out, key=lambda row: str(row["pilot"]))


def unseen(standings: Sequence[Standing]) -> list[str]:
    """Machines in the list of upstreams whose pilot follows none of those who answered."""
    following = {it.addr for one in standings for it in one.pilots}
    listed = (machine for machine, it in newest(standings).upstreams if it.state != "gone")
    return [machine for machine in listed if machine not in following]


def services(standings: Sequence[Standing]) -> list[dict[str, Any]]:
    counts: dict[str, Counter[str]] = {}
    for _, instance in newest(standings).upstreams:
        counts.setdefault(instance.plant, Counter())[instance.state] += 1
    return [{"service": name, **{s: count[s] for s in STATES}} for name, count in sorted(counts.items())]


def place_of(names: Iterable[tuple[Name, int]], told: Sequence[Items]) -> int | None:
    """From which place on a follower has these items, at these versions or higher; None: not all hold yet.

    Guards against a member that caught up and took several entries as one: it puts items at a later place
    than others do, and the earliest is the true one.
    """
    most = -1
    for (kind, name), version in names:
        places = [
            item.index
            for items in told
            for item in items.items
            if (item.kind, item.name) == (kind, name) and item.version >= version
        ]
        if not places:
            return None
        most = max(most, min(places))
    return most


def behind(standings: Sequence[Standing], place: int) -> list[str]:
    """Pilots that follow and have not said that they have this place."""
    return sorted(it.addr for one in standings for it in one.pilots if it.index is None or it.index < place)


def spare(standings: Sequence[Standing]) -> int:
    """How many more members may be lost while a majority is left to mend the view, and enough disks to write.

    Only those who answered and whose disk is fit count as there.  Below 0: so many are missing.
    """
    view = newest(standings)
    fit = {one.addr for one in standings if one.disk_healthy}
    there = sum(1 for seat in view.members if seat.addr in fit)
    return min(there - (len(view.members) // 2 + 1), there - view.min_replicas)


def complete(standings: Sequence[Standing]) -> bool:
    """Whether every member of the view answered and serves, in one and the same view."""
    view = newest(standings)
    said = {one.addr: one for one in standings}
    return all(
        seat.addr in said and said[seat.addr].serves and said[seat.addr].epoch == view.epoch
        for seat in view.members
    )


def table(rows: Sequence[dict[str, Any]], columns: Sequence[str]) -> str:
    """Numbers to the right, words to the left."""

    def cell(value: Any) -> str:
        return " ".join(value) or "-" if isinstance(value, list) else "-" if value is None else str(value)

    lines = [[cell(row.get(name)) for name in columns] for row in rows]
    number = [
        all(line[n] == "-" or line[n].isdigit() for line in lines) and any(line[n] != "-" for line in lines)
        for n in range(len(columns))
    ]
    widths = [max(map(len, (name, *(line[n] for line in lines)))) for n, name in enumerate(columns)]
    out = []
    for line in (list(columns), *lines):
        cells = (
            f"{one:>{width}}" if right else f"{one:<{width}}"
            for one, width, right in zip(line, widths, number, strict=True)
        )
        out.append("  ".join(cells).rstrip())
    return "\n".join(out)
