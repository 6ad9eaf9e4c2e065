"""Values with units.  A bare number is refused: 5 of what?"""

from __future__ import annotations

import re

_DURATION = re.compile(r"(\d+(?:\.\d+)?)\s*(us|ms|s|min|h)")
_SIZE = re.compile(r"(\d+(?:\.\d+)?)\s*(B|KB|KiB|MB|MiB|GB|GiB)")
_US = {"us": 1, "ms": 1_000, "s": 1_000_000, "min": 60_000_000, "h": 3_600_000_000}
_BYTES = {
    "B": 1,
    "KB": 1_000,
    "KiB": 1 << 10,
    "MB": 1_000_000,
    "MiB": 1 << 20,
    "GB": 1_000_000_000,
    "GiB": 1 << 30,
}

DURATION_FORM = 'a duration with a unit (us, ms, s, min, h), as in "410ms"'
SIZE_FORM = 'a size with a unit (B, KB, KiB, MB, MiB, GB, GiB), as in "192MB"'


class Duration(int):
    """Whole microseconds."""

    def __str__(self) -> str:
        for unit in ("h", "min", "s", "ms"):
            if self and self % _US[unit] == 0:
                return f"{self // _US[unit]}{unit}"
        return f"{int(self)}us"


class Size(int):
    """Bytes."""

    def __str__(self) -> str:
        for unit in ("GB", "MB", "KB"):
            if self and self % _BYTES[unit] == 0:
                return f"{self // _BYTES[unit]}{unit}"
        return f"{int(self)}B"


def duration(text: object) -> Duration:
    """Read `410ms`; ValueError says what is allowed.  Parts of a microsecond are cut off."""
    found = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"expected {DURATION_FORM}, got {text!r}")
    return Duration(round(float(found[1]) * _US[found[2]]))


def exact_duration(text: object) -> str:
    """Microseconds, not rounded and alike for equal times ("1500000", "0.25"); or ValueError."""
    duration(text)
    assert isinstance(text, str)
    found = _DURATION.fullmatch(text)
    assert found is not None
    whole, _, part = found[1].partition(".")
    digits = str(int(whole + part) * _US[found[2]]).zfill(len(part) + 1)
    if not part:
        return digits
    return f"{digits[: -len(part)]}.{digits[-len(part) :]}".rstrip("0").rstrip(".")


def size(text: object) -> Size:
    """Read `192MB`; ValueError says what is allowed."""
    found = _SIZE.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"expected {SIZE_FORM}, got {text!r}")
    return Size(round(float(found[1]) * _BYTES[found[2]]))
