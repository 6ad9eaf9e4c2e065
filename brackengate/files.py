"""What those who keep or watch files share."""

from __future__ import annotations

import os
from pathlib import Path


def mark(path: str | Path) -> tuple[int, ...]:
    """Tells whether a file was changed or replaced since: its time, size and number, or why there is none."""
    try:
        stat = os.stat(path)
    except OSError as error:
        return (error.errno or 0,)
    return (stat.st_mtime_ns, stat.st_size, stat.st_ino)


def replace(path: Path, data: bytes) -> None:
    """Atomic: the old file or the new one, never a part.  OSError where it fails; the old one stays."""
    beside = path.with_suffix(f".{os.getpid()}.tmp")
    try:
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
        folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError:
        beside.unlink(missing_ok=True)
        raise
