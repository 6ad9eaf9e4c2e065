"""The operators' line protocol.  Pure: bytes in, calls out; figures in, text out."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from brackengate.net.figures import Figures

MAX_LINE = 64  # bytes, its end included
PREFIX = "app"


class Call(Enum):
    CHECK = "check"
    VARS = "vars"
    DRAIN_ON = "drain-on"
    DRAIN_OFF = "drain-off"


WORDS = {call.value.encode(): call for call in Call}
ALLOWED = ", ".join(call.value for call in Call)


@dataclass(frozen=True, slots=True)
class Fault:
    """What came is no call."""

    why: str


@dataclass(slots=True)
class Line:
    """The one line of a connection, as it comes in.  What follows its end is of no account."""

    _read: bytearray = field(default_factory=bytearray)
    over: bool = False

    def feed(self, data: bytes) -> Call | Fault | None:
        """The call, once the line is whole; None while it is not, and after it."""
        if self.over:
            return None
        self._read += data[: MAX_LINE + 1 - len(self._read)]
        line, end, _ = self._read.partition(b"\n")
        if not end:
            if len(self._read) > MAX_LINE:
                return self._end(Fault(f"a line has {MAX_LINE} bytes at most"))
            return None
        word = bytes(line).strip(b" \t\r")
        call = WORDS.get(word)
        if call is not None:
            return self._end(call)
        if not word:
            return self._end(Fault(f"an empty line; the calls are {ALLOWED}"))
        if not word.isascii() or not word.decode("ascii", "replace").isprintable():
            return self._end(Fault(f"no text; the calls are {ALLOWED}"))
        return self._end(Fault(f"no call {word.decode('ascii')!r}; the calls are {ALLOWED}"))

    def _end(self, told: Call | Fault) -> Call | Fault:
        self.over = True
        self._read.clear()
        return told


def yes(why: str = "") -> bytes:
    return f"YES {why}".rstrip().encode() + b"\n"


def no(why: str) -> bytes:
    return f"NO {why}\n".encode()


def figures_text(figures: Figures, classes: Iterable[str], listed: int, avoided: int) -> bytes:
    """All figures, a line each, and the end."""
    lines = [
        f"{PREFIX}.{kind.value}.{name}:{count}|c" for (kind, name), count in figures.by_kind(classes).items()
    ]
    lines += [
        f"{PREFIX}.backend_calls:{figures.attempts_written}|c",
        f"{PREFIX}.inflight:{figures.inflight}|g",
        f"{PREFIX}.hosts_listed:{listed}|g",
        f"{PREFIX}.hosts_down:{avoided}|g",
        "END",
    ]
    return "\n".join(lines).encode() + b"\n"
