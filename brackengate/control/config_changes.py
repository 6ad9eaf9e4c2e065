"""Decides an operator's configuration change against everything acknowledged before it.  No I/O.

A change is acknowledged as a whole, together with a record of each of its items: the version and a digest of
its content (`protocol/contents.py`).  The record of the version in force is the item itself; those of
superseded versions are kept in the item's history, an ordinary row of the log, which every replica stores
and no follower receives.  So of two changes with different contents for one version of an item, the second
finds the record of the first; and a change that was acknowledged finds its own record when it is sent again,
whatever has happened to its services and locations since.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from brackengate.control.item_index import ItemIndex, RouteKey, route_key, services_of
from brackengate.protocol.config_items import ConfigChange, InvalidConfig, Item, ItemName, NamedItem, Route
from brackengate.protocol.contents import digest
from brackengate.protocol.messages import (
    CommandDone,
    ConflictingChange,
    InvalidChange,
    UndecidedChange,
)

MAX_OVERTAKEN_VERSIONS = 256  # superseded versions of one item whose digests are kept
NOTHING_FORGOTTEN = -1


class History(msgspec.Struct, frozen=True, array_like=True):
    """The acknowledged versions of one item that were superseded.

    All acknowledged versions above `forgotten` are included; about the others nothing is known.
    """

    forgotten: int = NOTHING_FORGOTTEN
    digests: str = ""  # "5=DIGEST 7=DIGEST": one string takes a tenth of the memory of a dict

    def versions(self) -> dict[int, str]:
        """The digests by version."""
        pairs = (one.partition("=") for one in self.digests.split())
        return {int(version): found for version, _, found in pairs}

    def with_versions(self, added: Mapping[int, str]) -> History:
        """This history with more versions, of which the highest `MAX_OVERTAKEN_VERSIONS` are kept."""
        known = sorted({**self.versions(), **added}.items())
        gone, kept = known[:-MAX_OVERTAKEN_VERSIONS], known[-MAX_OVERTAKEN_VERSIONS:]
        forgotten = gone[-1][0] if gone else self.forgotten
        return History(forgotten, " ".join(f"{version}={found}" for version, found in kept))


HistoryOf = Callable[[ItemName], History]


class Verdict(Enum):
    """How one item of a change compares with what was acknowledged."""

    NEWER = auto()  # than the version in force: it takes effect
    ACKNOWLEDGED = auto()  # before, with this content
    OVERTAKEN = auto()  # superseded by a higher version before it was received
    CONFLICTING = auto()  # this version was acknowledged with other content
    FORGOTTEN = auto()  # too old to tell


NEVER_ACKNOWLEDGED = (Verdict.NEWER, Verdict.OVERTAKEN)  # this version was not acknowledged


@dataclass(frozen=True, slots=True)
class ClassifiedItem:
    """An item of a change, and how it compares with what was acknowledged."""

    name: ItemName
    item: Item
    verdict: Verdict

    def __str__(self) -> str:
        return f"{self.name[0]} {self.name[1][:40]!r} r{self.item.version}"


ChangeResult = CommandDone | InvalidChange | ConflictingChange | UndecidedChange


@dataclass(frozen=True, slots=True)
class ChangeDecision:
    """The result, the items that take effect, and the new histories of all names whose record changes."""

    result: ChangeResult
    items: Mapping[ItemName, Item]
    histories: Mapping[ItemName, History]


def decide(change: ConfigChange, current: ItemIndex, history_of: HistoryOf) -> ChangeDecision:
    """Accepts a change as a whole, with its records, or rejects it as a whole.

    From then on, an accepted change has a record, or forgotten versions, for each of its items.  So a change
    that is rejected here was never accepted: it conflicts, or one of its items was never acknowledged.
    """
    classified = [
        ClassifiedItem(name, item, _classify(name, item, current, history_of)) for name, item in change
    ]
    refusal = _refusal_by_records(classified)
    if refusal is not None:
        return ChangeDecision(refusal, {}, {})
    unacknowledged = [one for one in classified if one.verdict in NEVER_ACKNOWLEDGED]
    items = _highest_newer_versions(unacknowledged)
    try:
        _validate_outcome(unacknowledged, items, current, change.routes)
    except InvalidConfig as why:
        return ChangeDecision(InvalidChange(str(why)), {}, {})
    return ChangeDecision(CommandDone(), items, _new_histories(unacknowledged, items, current, history_of))


def _classify(name: ItemName, item: Item, current: Mapping[ItemName, Item], history_of: HistoryOf) -> Verdict:
    in_force = current.get(name)
    if in_force is None or item.version > in_force.version:
        return Verdict.NEWER
    if item.version == in_force.version:
        known: str | None = digest(name[0], in_force)
    else:
        history = history_of(name)
        known = history.versions().get(item.version)
        if known is None:
            return Verdict.FORGOTTEN if item.version <= history.forgotten else Verdict.OVERTAKEN
    return Verdict.ACKNOWLEDGED if known == digest(name[0], item) else Verdict.CONFLICTING


def _refusal_by_records(classified: Iterable[ClassifiedItem]) -> ConflictingChange | UndecidedChange | None:
    """The rejection of a change by what was acknowledged before, or is forgotten; None if there is none."""
    conflicting = [str(one) for one in classified if one.verdict is Verdict.CONFLICTING]
    if conflicting:
        return ConflictingChange(f"acknowledged with other content before: {', '.join(conflicting)}")
    forgotten = [str(one) for one in classified if one.verdict is Verdict.FORGOTTEN]
    if not forgotten:
        return None
    reason = f"overtaken too long ago to know what it was: {', '.join(forgotten)}"
    if any(one.verdict in NEVER_ACKNOWLEDGED for one in classified):
        return ConflictingChange(reason)
    return UndecidedChange(reason)


def _highest_newer_versions(unacknowledged: Iterable[ClassifiedItem]) -> dict[ItemName, Item]:
    """The items that take effect: of each name, the highest version."""
    found: dict[ItemName, Item] = {}
    for one in unacknowledged:
        if one.verdict is Verdict.NEWER:
            before = found.get(one.name)
            if before is None or before.version < one.item.version:
                found[one.name] = one.item
    return found


def _validate_outcome(
    unacknowledged: list[ClassifiedItem],
    items: Mapping[ItemName, Item],
    current: ItemIndex,
    routes: Mapping[str, Route],
) -> None:
    """`InvalidConfig` if the outcome has two routes at one location, or a route to an unknown service.

    The services of every item that was never acknowledged are checked, also of a superseded one: a change
    that names an unknown service is invalid whatever its version.  Acknowledged items are not checked.  The
    previous configuration was valid, so only what the change affects is checked.  `routes`: those it sets.
    """
    set_routes = [
        (one, routes[one.name[1]])
        for one in unacknowledged
        if one.name[0] == "route" and one.item.body is not None
    ]
    _check_route_conflicts(
        (route for one, route in set_routes if items.get(one.name) is one.item), items, current
    )
    removed = [name for (kind, name), item in items.items() if kind == "plant" and item.body is None]
    for service in removed:
        for name in sorted(current.routes_to(service)):
            if ("route", name) not in items:
                raise _unknown_service_error(name, service)
    known: set[str] = set()
    for one, route in set_routes:
        for service in services_of(route) - known:
            if not _exists(("plant", service), items, current):
                raise _unknown_service_error(one.name[1], service)
            known.add(service)


def _check_route_conflicts(
    set_routes: Iterable[Route], items: Mapping[ItemName, Item], current: ItemIndex
) -> None:
    name_by_location: dict[RouteKey, str] = {}
    for route in set_routes:
        location = route_key(route)
        stays = any(("route", name) not in items for name in current.routes_at(location))
        if stays or name_by_location.setdefault(location, route.name) != route.name:
            raise InvalidConfig(f"two routes at {route.host}{route.prefix}")


def _exists(name: ItemName, items: Mapping[ItemName, Item], current: ItemIndex) -> bool:
    item = items[name] if name in items else current.get(name)
    return item is not None and item.body is not None


def _unknown_service_error(name: str, service: str) -> InvalidConfig:
    return InvalidConfig(f"route {name[:40]!r} names the service {service[:40]!r}, which is not known")


def _new_histories(
    unacknowledged: Iterable[ClassifiedItem],
    items: Mapping[ItemName, Item],
    current: ItemIndex,
    history_of: HistoryOf,
) -> dict[ItemName, History]:
    """The histories extended by what the change supersedes, and by what of it is superseded already."""
    added: dict[ItemName, list[NamedItem]] = {}
    for one in unacknowledged:
        if items.get(one.name) is not one.item:
            added.setdefault(one.name, []).append((one.name, one.item))
    for name in filter(current.__contains__, items):
        added.setdefault(name, []).append((name, current[name]))
    return {
        name: history_of(name).with_versions({item.version: digest(name[0], item) for _, item in found})
        for name, found in added.items()
    }
