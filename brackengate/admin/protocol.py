"""The admin line protocol without I/O: parses command lines and encodes responses and metrics."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from brackengate.net.metrics import RequestMetrics

MAX_LINE_BYTES = 64  # including the line end
METRIC_PREFIX = "app"


class AdminCommand(Enum):
    """The commands; a value is the word on the wire."""

    CHECK = "check"
    VARS = "vars"
    DRAIN_ON = "drain-on"
    DRAIN_OFF = "drain-off"


COMMANDS_BY_WORD = {call.value.encode(): call for call in AdminCommand}
ALLOWED_COMMANDS = ", ".join(call.value for call in AdminCommand)


@dataclass(frozen=True, slots=True)
class InvalidCommand:
    """A line that is not a valid command."""

    reason: str


@dataclass(slots=True)
class CommandReader:
    """Reads the command line of a connection, in pieces of any size; bytes after its end are ignored."""

    _buffer: bytearray = field(default_factory=bytearray)
    done: bool = False

    def feed(self, data: bytes) -> AdminCommand | InvalidCommand | None:
        """The command, once the line is complete; None before and after that."""
        if self.done:
            return None
        self._buffer += data[: MAX_LINE_BYTES + 1 - len(self._buffer)]
        line, end, _ = self._buffer.partition(b"\n")
        if not end:
            if len(self._buffer) > MAX_LINE_BYTES:
                return self._finish(InvalidCommand(f"a line has {MAX_LINE_BYTES} bytes at most"))
            return None
        word = bytes(line).strip(b" \t\r")
        command = COMMANDS_BY_WORD.get(word)
        if command is not None:
            return self._finish(command)
        if not word:
            return self._finish(InvalidCommand(f"an empty line; the calls are {ALLOWED_COMMANDS}"))
        if not word.isascii() or not word.decode("ascii", "replace").isprintable():
            return self._finish(InvalidCommand(f"no text; the calls are {ALLOWED_COMMANDS}"))
        return self._finish(
            InvalidCommand(f"no call {word.decode('ascii')!r}; the calls are {ALLOWED_COMMANDS}")
        )

    def _finish(self, result: AdminCommand | InvalidCommand) -> AdminCommand | InvalidCommand:
        self.done = True
        self._buffer.clear()
        return result


def encode_yes(detail: str = "") -> bytes:
    """The response to a command that succeeded."""
    return f"YES {detail}".rstrip().encode() + b"\n"


def encode_no(reason: str) -> bytes:
    """The response to a command that failed, with the reason."""
    return f"NO {reason}\n".encode()


def encode_metrics(
    metrics: RequestMetrics, classes: Iterable[str], listed_upstreams: int, avoided_upstreams: int
) -> bytes:
    """All metrics, one line each, followed by END.

    `listed_upstreams`: upstreams in the list; `avoided_upstreams`: those that get no requests.
    """
    lines = [
        f"{METRIC_PREFIX}.{kind.value}.{name}:{count}|c"
        for (kind, name), count in metrics.count_by_result(classes).items()
    ]
    lines += [
        f"{METRIC_PREFIX}.backend_calls:{metrics.attempts_written}|c",
        f"{METRIC_PREFIX}.inflight:{metrics.inflight}|g",
        f"{METRIC_PREFIX}.hosts_listed:{listed_upstreams}|g",
        f"{METRIC_PREFIX}.hosts_down:{avoided_upstreams}|g",
        "END",
    ]
    return "\n".join(lines).encode() + b"\n"
