"""The last good version on disk: read only if the file is complete and of this installation.

A file is a header line and a body.  The header, as JSON, has the format, the installation, the version's
label, and the length and SHA-256 of the body.  The body is a snapshot as JSON.
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
MAX_FILE_BYTES = 64 << 20
FILE_PATTERN = "last-good-*.snapshot"


class UnusableFile(ValueError):
    """A file that is incomplete, damaged, foreign or of another format; the text says which."""


class _Header(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    format: str
    installation: str
    label: str
    saved_at: int  # microseconds of Unix time
    length: int
    sha256: str


@dataclass(frozen=True, slots=True)
class SavedVersion:
    """A version as it was saved; `saved_at`: microseconds of Unix time."""

    label: str
    saved_at: int
    snapshot: Snapshot


def pack(installation: str, label: str, saved_at: int, snapshot: Snapshot) -> bytes:
    """The content of a file."""
    body = encode(snapshot)
    header = _Header(FORMAT, installation, label, saved_at, len(body), hashlib.sha256(body).hexdigest())
    return msgspec.json.encode(header) + b"\n" + body


def unpack(data: bytes, installation: str) -> SavedVersion:
    """Decode a file; raises `UnusableFile`."""
    line, newline, body = data.partition(b"\n")
    try:
        header: _Header = msgspec.json.decode(line, type=_Header)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        raise UnusableFile("is no saved version: its first line can't be read") from None
    if header.format != FORMAT:
        raise UnusableFile(f"has the format {header.format!r}; {FORMAT} is read")
    if header.installation != installation:
        raise UnusableFile(f"is of the installation {header.installation!r}, not {installation!r}")
    if not newline or len(body) != header.length:
        raise UnusableFile(f"is torn: {len(body)} bytes, {header.length} are said")
    if hashlib.sha256(body).hexdigest() != header.sha256:
        raise UnusableFile("is damaged: its checksum does not fit")
    try:
        return SavedVersion(header.label, header.saved_at, decode(body))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise UnusableFile(f"is no snapshot: {error}") from None


def path_of(folder: str, slot: int) -> Path:
    """The file of the process in this slot."""
    return Path(folder) / f"last-good-{slot}.snapshot"


def read(folder: str, slot: int, installation: str) -> tuple[SavedVersion | None, list[str]]:
    """The version that this slot saved, or else the newest of other slots; and why files could not be used.

    Other slots' files are read because a slot that was added to the fleet has none of its own.
    """
    own, faults, found = path_of(folder, slot), list[str](), list[tuple[bool, int, SavedVersion]]()
    try:
        paths = sorted(Path(folder).glob(FILE_PATTERN))
    except OSError as error:
        return None, [f"{folder}: cannot be read: {error.strerror}"]
    for path in paths:
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise UnusableFile(f"is too large: {path.stat().st_size} bytes, {MAX_FILE_BYTES} are allowed")
            saved = unpack(path.read_bytes(), installation)
        except OSError as error:
            faults.append(f"{path}: cannot be read: {error.strerror}")
        except UnusableFile as error:
            faults.append(f"{path}: {error}")
        else:
            found.append((path == own, saved.saved_at, saved))
    best = max(found, key=lambda entry: entry[:2], default=None)
    return (best[2] if best else None), faults
