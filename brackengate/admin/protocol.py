"""The operators' line protocol.  Pure: bytes in, calls out; figures in, text out."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from brackengate.net.metrics import RequestMetrics

MAX_LINE_BYTES = 64  # bytes, its end included
METRIC_PREFIX = "app"


class AdminCommand(Enum):
    CHECK = "check"
    VARS = "vars"
    DRAIN_ON = "drain-on"
    DRAIN_OFF = "drain-off"


COMMANDS_BY_WORD = {call.value.encode(): call for call in AdminCommand}
ALLOWED_COMMANDS = ", ".join(call.value for call in AdminCommand)


@dataclass(frozen=True, slots=True)
class InvalidCommand:
    """What came is no call."""

    reason: str


@dataclass(slots=True)
class CommandReader:
    """The one line of a connection, as it comes in.  What follows its end is of no account."""

    _buffer: bytearray = field(default_factory=bytearray)
    done: bool = False

    def feed(self, data: bytes) -> AdminCommand | InvalidCommand | None:
        """The call, once the line is whole; None while it is not, and after it."""
        if self.done:
            return None
        self._buffer += data[: MAX_LINE_BYTES + 1 - len(self._buffer)]
        line, end, _ = self._buffer.partition(b"\n")
        if not end:
            if len(self._buffer) > MAX_LINE_BYTES:
                return self._finish(InvalidCommand(f"a line has {MAX_LINE_BYTES} bytes at most"))
            return None
        word = bytes(line).strip(b" \t\r")
        call = COMMANDS_BY_WORD.get(word)
        if call is not None:
            return self._finish(call)
        if not word:
            return self._finish(InvalidCommand(f"an empty line; the calls are {ALLOWED_COMMANDS}"))
        if not word.isascii() or not word.decode("ascii", "replace").isprintable():
            return self._finish(InvalidCommand(f"no text; the calls are {ALLOWED_COMMANDS}"))
        return self._finish(
            InvalidCommand(f"no call {word.decode('ascii')!r}; the calls are {ALLOWED_COMMANDS}")
        )

    def _finish(self, told: AdminCommand | InvalidCommand) -> AdminCommand | InvalidCommand:
        self.done = True
        self._buffer.clear()
        return told


def encode_yes(why: str = "") -> bytes:
    return f"YES {why}".rstrip().encode() + b"\n"


def encode_no(why: str) -> bytes:
    return f"NO {why}\n".encode()


def encode_metrics(figures: RequestMetrics, classes: Iterable[str], listed: int, avoided: int) -> bytes:
    """All figures, a line each, and the end."""
    lines = [
        f"{METRIC_PREFIX}.{kind.value}.{name}:{count}|c"
        for (kind, name), count in figures.count_by_result(classes).items()
    ]
    lines += [
        f"{METRIC_PREFIX}.backend_calls:{figures.attempts_written}|c",
        f"{METRIC_PREFIX}.inflight:{figures.inflight}|g",
        f"{METRIC_PREFIX}.hosts_listed:{listed}|g",
        f"{METRIC_PREFIX}.hosts_down:{avoided}|g",
        "END",
    ]
    return "\n".join(lines).encode() + b"\n"
