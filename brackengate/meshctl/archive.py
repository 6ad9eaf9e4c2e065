"""A backup of the agreed configuration: one JSON file with its form and a checksum.  Pure."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from brackengate.meshctl.changes import items_of
from brackengate.protocol.config_items import layout
from brackengate.protocol.messages import HeldItem, Items

FORM = 1


class Unusable(Exception):
    """One sentence: why the file can't be restored."""


class Content(msgspec.Struct, frozen=True):
    """`place`, `epoch`: of the log, where this was agreed.  `taken`: the time of day, for people."""

    place: int
    epoch: int
    taken: str
    items: tuple[HeldItem, ...]  # those that were dropped too: their versions count


class _File(msgspec.Struct):
    form: int
    checksum: str = ""
    content: Any = None


def _checksum(content: Any) -> str:
    """Of the content as it means, however it is laid out."""
    return "sha256:" + hashlib.sha256(msgspec.json.encode(content, order="sorted")).hexdigest()


def pack(held: Items, taken: str) -> bytes:
    content = msgspec.to_builtins(Content(held.commit_index, held.epoch, taken, held.items))
    file = {"form": FORM, "checksum": _checksum(content), "content": content}
    return msgspec.json.format(msgspec.json.encode(file), indent=1) + b"\n"


def unpack(data: bytes) -> Content:
    try:
        file: _File = msgspec.json.decode(data, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Unusable(f"it is no backup, or a damaged one: {error}") from None
    if file.form > FORM:
        raise Unusable(f"it is of form {file.form}, written by a newer program; this one reads {FORM}")
    if file.checksum != _checksum(file.content):
        raise Unusable("it is damaged: its checksum is not that of its content")
    try:
        return msgspec.convert(file.content, Content)
    except msgspec.ValidationError as error:
        raise Unusable(f"its content is not what form {FORM} says: {error}") from None


def call_of(content: Content) -> bytes:
    """The call of the operator that brings all of it back; versions decide what of it has effect."""
    items = items_of(content.items)
    dropped: dict[str, list[dict[str, str]]] = {"route": [], "plant": []}
    for (kind, name), item in items.items():
        if item.body is None:
            dropped[kind].append({"Name": name, "Revision": f"r{item.version}"})
    remove = {"Routes": dropped["route"], "Plants": dropped["plant"]}
    return msgspec.json.encode({"Apply": layout(items.items()), "Remove": remove})
