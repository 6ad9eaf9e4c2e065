"""Backups of the committed configuration: a JSON file with a format version and a checksum."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from brackengate.meshctl.changes import items_of
from brackengate.protocol.config_items import config_document
from brackengate.protocol.messages import ItemList, StoredItem

FORMAT_VERSION = 1


class InvalidBackup(Exception):
    """Why the file cannot be restored, in one sentence."""


class Content(msgspec.Struct, frozen=True):
    """The content of a backup.

    `place`, `epoch`: the log index and epoch at which it was committed.  `taken`: when, for readers.
    """

    place: int
    epoch: int
    taken: str
    items: tuple[StoredItem, ...]  # with removed ones, whose versions count too


class _File(msgspec.Struct):
    """The file around the content."""

    form: int
    checksum: str = ""
    content: Any = None


def _checksum(content: Any) -> str:
    """The checksum of the content, independent of its formatting."""
    return "sha256:" + hashlib.sha256(msgspec.json.encode(content, order="sorted")).hexdigest()


def pack(held: ItemList, taken: str) -> bytes:
    """The bytes of a backup file of these items."""
    content = msgspec.to_builtins(Content(held.commit_index, held.epoch, taken, held.items))
    file = {"form": FORMAT_VERSION, "checksum": _checksum(content), "content": content}
    return msgspec.json.format(msgspec.json.encode(file), indent=1) + b"\n"


def unpack(data: bytes) -> Content:
    """Read a backup file.  Raises InvalidBackup."""
    try:
        file: _File = msgspec.json.decode(data, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidBackup(f"it is no backup, or a damaged one: {error}") from None
    if file.form > FORMAT_VERSION:
        raise InvalidBackup(
            f"it is of form {file.form}, written by a newer program; this one reads {FORMAT_VERSION}"
        )
    if file.checksum != _checksum(file.content):
        raise InvalidBackup("it is damaged: its checksum is not that of its content")
    try:
        return msgspec.convert(file.content, Content)
    except msgspec.ValidationError as error:
        raise InvalidBackup(f"its content is not what form {FORMAT_VERSION} says: {error}") from None


def restoring_call(content: Content) -> bytes:
    """The configuration change that restores all of it; versions decide which items have an effect."""
    items = items_of(content.items)
    removed: dict[str, list[dict[str, str]]] = {"route": [], "plant": []}
    for (kind, name), item in items.items():
        if item.body is None:
            removed[kind].append({"Name": name, "Revision": f"r{item.version}"})
    remove = {"Routes": removed["route"], "Plants": removed["plant"]}
    return msgspec.json.encode({"Apply": config_document(items.items()), "Remove": remove})
