"""Helpers to replace files atomically and to detect changed files."""

from __future__ import annotations

import os
from pathlib import Path


def mark(path: str | Path) -> tuple[int, ...]:
    """A value that differs once the file was changed or replaced: mtime, size and inode, or the errno."""
    try:
        stat = os.stat(path)
    except OSError as error:
        return (error.errno or 0,)
    return (stat.st_mtime_ns, stat.st_size, stat.st_ino)


def replace(path: Path, data: bytes) -> None:
    """Replace the file atomically and durably.  Raises OSError on failure; then the old file stays."""
    temporary = path.with_suffix(f".{os.getpid()}.tmp")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
        folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
