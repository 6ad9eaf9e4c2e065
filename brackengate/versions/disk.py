"""The last good version on a disk that lasts: read only if it is whole and ours.

A file is one line that names the format, the installation, the version's label and the body's length and
SHA-256, and then the body, a snapshot as JSON.
"""

from __future__ import annotations

import hashlib
import logging
from dataclasses import dataclass
from pathlib import Path

import msgspec

from brackengate.snapshot.model import Snapshot, decode, encode

log = logging.getLogger(__name__)

FORMAT = "brackengate-last-good/1"
MAX_BYTES = 64 << 20
PATTERN = "last-good-*.snapshot"


class Unusable(ValueError):
    """A file that is torn, foreign or of another format; its text says which."""


class _Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    format: str
    installation: str
    label: str
    saved_at: int  # microseconds of Unix time
    length: int
    sha256: str


@dataclass(frozen=True, slots=True)
class Saved:
    label: str
    saved_at: int
    snapshot: Snapshot


def pack(installation: str, label: str, saved_at: int, snapshot: Snapshot) -> bytes:
    body = encode(snapshot)
    head = _Head(FORMAT, installation, label, saved_at, len(body), hashlib.sha256(body).hexdigest())
    return msgspec.json.encode(head) + b"\n" + body


def unpack(data: bytes, installation: str) -> Saved:
    """Unusable where it is not whole, or not of this installation."""
    line, newline, body = data.partition(b"\n")
    try:
        head: _Head = msgspec.json.decode(line, type=_Head)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        raise Unusable("is no saved version: its first line can't be read") from None
    if head.format != FORMAT:
        raise Unusable(f"has the format {head.format!r}; {FORMAT} is read")
    if head.installation != installation:
        raise Unusable(f"is of the installation {head.installation!r}, not {installation!r}")
    if not newline or len(body) != head.length:
        raise Unusable(f"is torn: {len(body)} bytes, {head.length} are said")
    if hashlib.sha256(body).hexdigest() != head.sha256:
        raise Unusable("is damaged: its checksum does not fit")
    try:
        return Saved(head.label, head.saved_at, decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise Unusable(f"is no snapshot: {error}") from None


def path_of(folder: str, slot: int) -> Path:
    return Path(folder) / f"last-good-{slot}.snapshot"


def read(folder: str, slot: int, installation: str) -> tuple[Saved | None, list[str]]:
    """What this slot saved last, else the newest of the others'; and why others could not be used.

    Guards a fleet that has grown: a slot that never ran has no file of its own.
    """
    own, faults, found = path_of(folder, slot), list[str](), list[tuple[bool, int, Saved]]()
    try:
        paths = sorted(Path(folder).glob(PATTERN))
    except OSError as error:
        return None, [f"{folder}: cannot be read: {error.strerror}"]
    for path in paths:
        try:
            if path.stat().st_size > MAX_BYTES:
                raise Unusable(f"is too large: {path.stat().st_size} bytes, {MAX_BYTES} are allowed")
            saved = unpack(path.read_bytes(), installation)
        except OSError as error:
            faults.append(f"{path}: cannot be read: {error.strerror}")
        except Unusable as error:
            faults.append(f"{path}: {error}")
        else:
            found.append((path == own, saved.saved_at, saved))
    best = max(found, key=lambda entry: entry[:2], default=None)
    return (best[2] if best else None), faults
