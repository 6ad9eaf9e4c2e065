"""What becomes of an order of the operator, by all that was acknowledged before it.  Pure.

An order is acknowledged as a whole, together with a record of each of its items: the version and a digest of
its content (`protocol/contents.py`).  The record of the version that holds is the item itself; those of
versions that were overtaken stand in the item's history, a row of the log like any other, which every
replica stores and no follower gets.  So of two orders that give an item different contents under one version
the second one finds the record of the first, and one that was acknowledged finds its own, whatever has
become of its services and places since.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from brackengate.control.item_index import ItemIndex, Place, place_of, services_of
from brackengate.protocol.config_items import ConfigChange, InvalidConfig, Item, ItemName, NamedItem, Route
from brackengate.protocol.contents import digest
from brackengate.protocol.messages import (
    CommandDone,
    ConflictingChange,
    InvalidChange,
    UndecidedChange,
)

MAX_OVERTAKEN_VERSIONS = 256  # overtaken versions of one item whose digests are kept
NOTHING_FORGOTTEN = -1


class History(msgspec.Struct, frozen=True, array_like=True):
    """The overtaken versions of one item that were acknowledged.

    Of versions above `forgotten` every one that was acknowledged is there; of others nothing is known.
    """

    forgotten: int = NOTHING_FORGOTTEN
    digests: str = ""  # as in "5=DIGEST 7=DIGEST": one text takes a tenth of the memory of a map

    def versions(self) -> dict[int, str]:
        pairs = (one.partition("=") for one in self.digests.split())
        return {int(version): found for version, _, found in pairs}

    def with_versions(self, added: Mapping[int, str]) -> History:
        """The highest ones are kept."""
        known = sorted({**self.versions(), **added}.items())
        gone, kept = known[:-MAX_OVERTAKEN_VERSIONS], known[-MAX_OVERTAKEN_VERSIONS:]
        forgotten = gone[-1][0] if gone else self.forgotten
        return History(forgotten, " ".join(f"{version}={found}" for version, found in kept))


HistoryOf = Callable[[ItemName], History]


class Verdict(Enum):
    """How one item of an order stands to what was acknowledged."""

    NEWER = auto()  # than what holds: it takes effect
    ACKNOWLEDGED = auto()  # before, with this content
    OVERTAKEN = auto()  # by a higher version, before it ever came
    CONFLICTING = auto()  # another content was acknowledged under its version
    FORGOTTEN = auto()  # too old to know


NEVER_ACKNOWLEDGED = (Verdict.NEWER, Verdict.OVERTAKEN)  # nothing was acknowledged under that version


@dataclass(frozen=True, slots=True)
class ClassifiedItem:
    name: ItemName
    item: Item
    verdict: Verdict

    def __str__(self) -> str:
        return f"{self.name[0]} {self.name[1][:40]!r} r{self.item.version}"


ChangeResult = CommandDone | InvalidChange | ConflictingChange | UndecidedChange


@dataclass(frozen=True, slots=True)
class ChangeDecision:
    """`items` come into force, with the histories of all names whose record has changed."""

    result: ChangeResult
    items: Mapping[ItemName, Item]
    histories: Mapping[ItemName, History]


def decide(order: ConfigChange, held: ItemIndex, history_of: HistoryOf) -> ChangeDecision:
    """Taken whole, with its records, or refused whole.

    An order that was taken has a record, or forgotten versions, for each of its items ever after.  So what
    is refused here was never taken: by a conflict, or by an item that was never acknowledged.
    """
    judged = [ClassifiedItem(name, item, _classify(name, item, held, history_of)) for name, item in order]
    refusal = _refusal_by_records(judged)
    if refusal is not None:
        return ChangeDecision(refusal, {}, {})
    fresh = [one for one in judged if one.verdict in NEVER_ACKNOWLEDGED]
    items = _highest_newer_versions(fresh)
    try:
        _validate_outcome(fresh, items, held, order.routes)
    except InvalidConfig as why:
        return ChangeDecision(InvalidChange(str(why)), {}, {})
    return ChangeDecision(CommandDone(), items, _new_histories(fresh, items, held, history_of))


def _classify(name: ItemName, item: Item, held: Mapping[ItemName, Item], history_of: HistoryOf) -> Verdict:
    holds = held.get(name)
    if holds is None or item.version > holds.version:
        return Verdict.NEWER
    if item.version == holds.version:
        known: str | None = digest(name[0], holds)
    else:
        history = history_of(name)
        known = history.versions().get(item.version)
        if known is None:
            return Verdict.FORGOTTEN if item.version <= history.forgotten else Verdict.OVERTAKEN
    return Verdict.ACKNOWLEDGED if known == digest(name[0], item) else Verdict.CONFLICTING


def _refusal_by_records(judged: Iterable[ClassifiedItem]) -> ConflictingChange | UndecidedChange | None:
    """Why what was acknowledged before, or is forgotten, stands against the order."""
    conflicting = [str(one) for one in judged if one.verdict is Verdict.CONFLICTING]
    if conflicting:
        return ConflictingChange(f"acknowledged with other content before: {', '.join(conflicting)}")
    forgotten = [str(one) for one in judged if one.verdict is Verdict.FORGOTTEN]
    if not forgotten:
        return None
    reason = f"overtaken too long ago to know what it was: {', '.join(forgotten)}"
    if any(one.verdict in NEVER_ACKNOWLEDGED for one in judged):
        return ConflictingChange(reason)
    return UndecidedChange(reason)


def _highest_newer_versions(fresh: Iterable[ClassifiedItem]) -> dict[ItemName, Item]:
    """The highest version of a name holds."""
    found: dict[ItemName, Item] = {}
    for one in fresh:
        if one.verdict is Verdict.NEWER:
            before = found.get(one.name)
            if before is None or before.version < one.item.version:
                found[one.name] = one.item
    return found


def _validate_outcome(
    fresh: list[ClassifiedItem], items: Mapping[ItemName, Item], held: ItemIndex, read: Mapping[str, Route]
) -> None:
    """`InvalidConfig` where the outcome holds two routes at one place, or a route's service is unknown.

    The service is asked of every item that was never acknowledged, also of an overtaken one: an order that
    names an unknown service is invalid whatever its version.  Nothing is asked of what was acknowledged.
    What stood before was sound, so only what the order changes is looked at.  `read`: the routes it sets.
    """
    coming = [
        (one, read[one.name[1]]) for one in fresh if one.name[0] == "route" and one.item.body is not None
    ]
    _check_route_conflicts((it for one, it in coming if items.get(one.name) is one.item), items, held)
    removed = [name for (kind, name), item in items.items() if kind == "plant" and item.body is None]
    for service in removed:
        for name in sorted(held.users(service)):
            if ("route", name) not in items:
                raise _unknown_service_error(name, service)
    known: set[str] = set()
    for one, it in coming:
        for service in services_of(it) - known:
            if not _exists(("plant", service), items, held):
                raise _unknown_service_error(one.name[1], service)
            known.add(service)


def _check_route_conflicts(coming: Iterable[Route], items: Mapping[ItemName, Item], held: ItemIndex) -> None:
    places: dict[Place, str] = {}
    for it in coming:
        place = place_of(it)
        stays = any(("route", name) not in items for name in held.at_place(place))
        if stays or places.setdefault(place, it.name) != it.name:
            raise InvalidConfig(f"two routes at {it.host}{it.prefix}")


def _exists(name: ItemName, items: Mapping[ItemName, Item], held: ItemIndex) -> bool:
    item = items[name] if name in items else held.get(name)
    return item is not None and item.body is not None


def _unknown_service_error(name: str, service: str) -> InvalidConfig:
    return InvalidConfig(f"route {name[:40]!r} names the service {service[:40]!r}, which is not known")


def _new_histories(
    fresh: Iterable[ClassifiedItem], items: Mapping[ItemName, Item], held: ItemIndex, history_of: HistoryOf
) -> dict[ItemName, History]:
    """What of the order is overtaken already, and what it overtakes."""
    added: dict[ItemName, list[NamedItem]] = {}
    for one in fresh:
        if items.get(one.name) is not one.item:
            added.setdefault(one.name, []).append((one.name, one.item))
    for name in filter(held.__contains__, items):
        added.setdefault(name, []).append((name, held[name]))
    return {
        name: history_of(name).with_versions({item.version: digest(name[0], item) for _, item in found})
        for name, found in added.items()
    }
