"""The effect of a configuration change, item by item, computed before it is sent.

The control plane's own code decides what is valid (`protocol/config_items.py`) and what has an effect; here
it is also applied to each item on its own, so that a change with several faults shows them all.  Versions
that were acknowledged but do not hold any more are not known here.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

from brackengate.control.config_changes import History, decide
from brackengate.control.item_index import ItemIndex
from brackengate.protocol.config_items import ConfigChange, InvalidConfig, Item, ItemName, parse_change
from brackengate.protocol.messages import CommandDone, StoredItem

SET, DROPPED, NO_EFFECT, INVALID = "set", "dropped", "no effect", "invalid"


class Change(msgspec.Struct, frozen=True, omit_defaults=True):
    """What happens to one item; `kind` is `call` where the items conflict with each other."""

    kind: str
    name: str
    what: str
    version: int = 0
    why: str = ""

    @property
    def text(self) -> str:
        """A line for operators."""
        version = f" r{self.version}" if self.version else ""
        name = f" {self.name}" if self.name else ""
        return f"{self.what:9}  {self.kind}{name}{version}{': ' if self.why else ''}{self.why}"


def as_call(data: bytes) -> bytes:
    """A file's content as a change; the output of `config show` is one that applies all of it."""
    try:
        found = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return data  # the validation reports what is wrong with it
    is_object = isinstance(found, dict) and not found.keys() & {"Apply", "Remove"}
    if is_object and found.keys() & {"Plants", "Hosts", "Limits"}:
        return msgspec.json.encode({"Apply": found})
    return data


def items_of(held: Iterable[StoredItem]) -> dict[ItemName, Item]:
    """Stored items by kind and name."""
    return {(one.kind, one.name): Item(one.version, one.host, one.body) for one in held}


def compare(call: bytes, held: Mapping[ItemName, Item]) -> list[Change]:
    """The effect of every item of the change, in its order; faults of the whole change come last."""
    try:
        read = parse_change(call)
    except InvalidConfig as error:
        faults = list(_faults(call))
        reported = any(one.why == str(error) for one in faults)
        return faults if reported else [*faults, Change("call", "", INVALID, why=str(error))]
    conflicts: list[Change] = []
    result = decide(read, ItemIndex.of(held.items()), lambda _: History()).result
    if not isinstance(result, CommandDone):
        conflicts.append(Change("call", "", INVALID, why=result.reason))
    highest = _highest(read)
    found = []
    for (kind, name), item in read:
        before = held.get((kind, name))
        if highest[kind, name] > item.version:
            what, why = NO_EFFECT, f"r{highest[kind, name]} stands in the same call"
        elif _newer(item, before):
            what = SET if item.body is not None else DROPPED
            why = "new" if before is None else f"r{before.version} is held"
        else:
            assert before is not None
            what, why = NO_EFFECT, f"not newer than r{before.version}, which is held"
            if before.body is None:
                why += " as dropped"
        found.append(Change(kind, name, what, item.version, why))
    return found + conflicts


def _highest(order: ConfigChange) -> dict[ItemName, int]:
    found: dict[ItemName, int] = {}
    for name, item in order:
        found[name] = max(item.version, found.get(name, 0))
    return found


def _newer(item: Item, before: Item | None) -> bool:
    return before is None or item.version > before.version


def _faults(call: bytes) -> Iterator[Change]:
    """Each item of an invalid change that is invalid on its own."""
    try:
        found: Any = msgspec.json.decode(call)
        apply = found.get("Apply") or {}
        singles = [("plant", raw, {"Plants": [raw]}) for raw in apply.get("Plants") or ()]
        singles += [
            ("route", raw, {"Hosts": [{"Host": host.get("Host"), "Paths": [raw]}]})
            for host in apply.get("Hosts") or ()
            for raw in host.get("Paths") or ()
        ]
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, AttributeError, TypeError):
        return  # not even the structure of a change
    for kind, raw, alone in singles:
        try:
            parse_change(msgspec.json.encode({"Apply": alone}))
        except InvalidConfig as why:
            name = raw.get("Name") if isinstance(raw, dict) else None
            yield Change(kind, str(name or "?"), INVALID, why=str(why))


def is_valid(changes: Iterable[Change]) -> bool:
    return all(one.what != INVALID for one in changes)


def effective(changes: Iterable[Change]) -> list[Change]:
    """Those that set or remove an item."""
    return [one for one in changes if one.what in (SET, DROPPED)]
