"""Timelines as text: a column for each member of the core, a line for each moment in milliseconds.

    ms    | A              B              C
    2000  | claim k1 g1
    3000  | down
    5000  |                claim k1 g2

What a cell may say: `claim KEY GATE`, `free KEY GATE`; `down`, `wipe` (down, and the disk is lost), `up`;
`damage TEXT` (down, and a byte of that text on the disk is spoilt);
`cut` (from all), `mute` (what it sends is lost), `heal`; `stall MS` (its disk), `freeze MS`; `leave`,
`replaced` (leave where others can take its place), `rejoin`; and what is looked at: `head`, `in`, `out` (of
the view), `has KEY`, `serves`, `away`.  Answers are kept by cell, as in `answers["k1 g1"]`, and why a member
does not leave by its column, as in `answers["A"]`.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from corekit import Core, Host

from brackengate.signals.words import Claim, HeldBy, Unclaim


class Broken(AssertionError):
    """A timeline's line that does not hold."""


def play(
    text: str, seed: int = 1, min_replicas: int = 2, seeds: int = 3, folder: Path | None = None
) -> tuple[Core, dict[str, str]]:
    """Play it to 8 s behind its last line; the core, and what became of each ask: ok, held by a gate, or
    none.  With a folder the disks are real files there."""
    lines = [line for line in text.splitlines() if "|" in line]
    title, body = lines[0], lines[1:]
    starts = [(m.start(), m[0]) for m in re.finditer(r"\S+", title) if m.start() > title.index("|")]
    addresses = {name: f"10.0.0.{n + 1}:80" for n, (_, name) in enumerate(starts)}
    core = Core(addresses.values(), seed, min_replicas, seeds, folder)
    answers: dict[str, str] = {}
    last = 0
    for line in body:
        at = int(line.partition("|")[0]) * 1000
        last = max(last, at)
        for n, (start, name) in enumerate(starts):
            end = starts[n + 1][0] if n + 1 < len(starts) else len(line)
            cell = line[start:end].strip()
            if cell:
                host = core.hosts[addresses[name]]
                if cell in ("leave", "replaced"):
                    cell = f"{cell} {name}"
                core.later(at, lambda host=host, cell=cell, line=line: _do(core, host, cell, line, answers))
    core.run(last + 8_000_000)
    return core, answers


def _do(core: Core, host: Host, cell: str, line: str, answers: dict[str, str]) -> None:
    word, *rest = cell.split()
    others = [other for other in core.hosts.values() if other is not host]
    if word in ("claim", "free"):
        key, gate = rest
        name = f"{key} {gate}"
        answers.setdefault(name, "silent")
        what = (Claim if word == "claim" else Unclaim)(key, gate, f"{gate}.1")

        def done(result: Any) -> None:
            answers[name] = (
                "none"
                if result is None
                else f"held by {result.owner}"
                if isinstance(result, HeldBy)
                else "ok"
            )

        host.ask(what, done)
    elif word in ("leave", "replaced", "rejoin"):
        assert host.replica is not None
        if word == "rejoin":
            host.replica.rejoin()
        else:
            answers[rest[0]] = host.replica.leave(word == "replaced", core.now)
    elif word in ("down", "wipe"):
        host.stop(wipe=word == "wipe")
    elif word == "damage":
        host.stop(damage=rest[0])
    elif word == "up":
        host.start()
    elif word == "cut":
        core.cut((a.name, b.name) for other in others for a, b in ((host, other), (other, host)))
    elif word == "mute":
        core.cut((host.name, other.name) for other in others)
    elif word == "heal":
        core.heal()
    elif word == "stall":
        host.stalled_until = core.now + int(rest[0]) * 1000
    elif word == "freeze":
        host.frozen_until = core.now + int(rest[0]) * 1000
    else:
        _look(core, host, word, rest, line)


def _look(core: Core, host: Host, word: str, rest: list[str], line: str) -> None:
    member = host.replica
    if member is None:
        raise Broken(f"it is down: {line}")
    found = {
        "head": lambda: member.chain.head == host.name and member.agreement.is_member,
        "in": lambda: member.agreement.is_member and member.chain.has_snapshot,
        "out": lambda: not member.agreement.is_member,
        "has": lambda: ("key", rest[0]) in member.chain.rows,
        "serves": lambda: member.serves(core.now),
        "away": lambda: not member.serves(core.now),
    }[word]()
    if not found:
        raise Broken(f"{word} {' '.join(rest)} does not hold at {host.name}, {member.agreement.view}: {line}")
