"""The simulator's adapter: one `Balancer` per simulated instance, driven over standard input and output.

It translates lines to events and actions to lines, and decides nothing.
"""

from __future__ import annotations

import gc
import sys
import traceback
from typing import TextIO

from brackengate.balancer import Balancer
from brackengate.interface import Endpoint, Event
from brackengate.platform import wire


class Host:
    """All simulated instances of one process; they share only parsed, immutable endpoint lists."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.registers: dict[int, tuple[Endpoint, ...]] = {}
        self.instance = -1  # the one that the current lines are for
        self.output: list[str] = []
        self.output_instance = -1  # the one of the last `on_behalf` line

    def batch(self, header: str, lines: list[str]) -> list[str]:
        """Handle one batch, given without its `end` line; the lines of the reply, including its `end`."""
        parts = header.split(" ")
        try:
            if len(parts) != 3 or parts[0] != "begin_batch":
                raise ValueError
            now, serial = int(parts[1]), int(parts[2])
        except ValueError:
            raise wire.WireError(f"'begin_batch' takes two numbers, got: {header[:99]}") from None
        self.output, self.output_instance, self.instance = [], -1, -1
        position = 0
        while position < len(lines):
            position = self._handle_line(now, lines, position)
        self.output.append(f"end {serial}")
        return self.output

    def _handle_line(self, now: int, lines: list[str], position: int) -> int:
        """Handle the line at `position`; the position of the next one."""
        line = lines[position]
        word, _, rest = line.partition(" ")
        if word == "register":
            return self._register(lines, position)
        if word == "at":
            try:
                self.instance = int(rest)
            except ValueError:
                raise wire.WireError(f"expected 'at' with an instance, got: {line[:200]}") from None
        elif word == "down":
            self.balancers.pop(self.instance, None)
        elif word == "open_instance":
            seed, _, env = rest.partition(" ")
            if not seed.lstrip("-").isdigit():
                raise wire.WireError(f"expected 'open_instance' with a seed and settings, got: {line[:200]}")
            self.balancers[self.instance] = Balancer(wire.settings(env), int(seed))
        else:
            self._handle_event(now, line, word)
        return position + 1

    def _register(self, lines: list[str], position: int) -> int:
        """Read a register of endpoints; the position after its last line."""
        parts = lines[position].split(" ")
        if len(parts) != 3 or not parts[1].isdigit() or not parts[2].isdigit():
            raise wire.WireError(f"expected 'register' with two numbers, got: {lines[position][:200]}")
        after = position + 1 + int(parts[2])
        if after > len(lines):
            raise wire.WireError(f"the batch ends before the entries of: {lines[position][:200]}")
        self.registers[int(parts[1])] = tuple(wire.endpoint(row) for row in lines[position + 1 : after])
        return after

    def _handle_event(self, now: int, line: str, word: str) -> None:
        balancer = self.balancers.get(self.instance)
        event: Event
        if word == "registry":
            parts = line.split(" ")
            if len(parts) != 4:
                raise wire.WireError(f"expected 'registry' with 3 values, got: {line[:200]}")
            try:
                event = wire.upstream_list(parts, self.registers)
            except ValueError as error:
                raise wire.WireError(f"bad value in 'registry' ({error}): {line[:200]}") from None
        else:
            event = wire.event(line)
        if balancer is None:
            raise wire.WireError(
                f"an event for an instance that was not opened ({self.instance}): {line[:200]}"
            )
        actions = balancer.handle(now, event)
        if actions and self.output_instance != self.instance:
            self.output_instance = self.instance
            self.output.append(f"on_behalf {self.instance}")
        for action in actions:
            self.output.append(wire.action_line(action))


def run(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Handle batches until the input ends; the exit code, 2 for invalid input."""
    host = Host()
    gc.freeze()
    while True:
        header = source.readline()
        if not header:
            return 0
        lines: list[str] = []
        while True:
            line = source.readline()
            if not line.endswith("\n"):
                print("the input ends within a batch: expected 'end'", file=errors)
                return 2
            line = line[:-1]
            if line == "end":
                break
            lines.append(line)
        try:
            reply = host.batch(header.rstrip("\n"), lines)
        except wire.WireError as error:
            print(f"bad input: {error}", file=errors)
            return 2
        except (
            Exception
        ) as error:  # the balancer failed: report it on the wire, and its traceback on standard error
            traceback.print_exc(file=errors)
            message = f"{type(error).__name__}: {error}".replace("\n", " ")
            reply = [f"on_behalf {host.instance}", f"fatal {message}", f"end {header.split(' ')[2].strip()}"]
        sink.write("\n".join(reply) + "\n")
        sink.flush()


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
