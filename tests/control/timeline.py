"""Timelines as text: a column for each replica, a line for each time in milliseconds.

    ms    | A              B              C
    2000  | claim k1 g1
    3000  | down
    5000  |                claim k1 g2

Actions: `claim KEY GATE`, `free KEY GATE`, `order VERSION` (of one service), `read`;
`down`, `wipe` (down, and the disk is lost), `up`;
`damage TEXT` (down, and a byte of that text on the disk is corrupted);
`cut` (from all, or `cut AB` from these), `mute` (its messages are lost), `deaf` (messages to it are lost),
`hold`, `holdout`, `holdin` (messages both ways, from it or to it are queued until `heal`), `heal`;
`stall MS` (its disk), `freeze MS` (its process); `leave`, `replaced` (leave if the others can survive the
next loss or admit a learner), `rejoin`.

Checks: `head`, `in`, `out` (of the view), `has KEY`, `lacks KEY`, `serves`, `away` (it does not serve),
`idle MS` (it has served no follower for so long).

Answers are kept by cell, as in `answers["k1 g1"]`, and the reason why a member may not leave by its column,
as in `answers["A"]`.  A column `(D)` is a machine that is absent before its first `up`.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from simulated_cluster import Host, SimulatedCluster

from brackengate.protocol.messages import Amend, Claim, CommandDone, Configuration, HeldBy, Read, Unclaim

LINKS = ("cut", "mute", "deaf", "hold", "holdout", "holdin")


class Broken(AssertionError):
    """A check of a timeline failed."""


def play(
    text: str, seed: int = 1, min_replicas: int = 2, seeds: int = 3, folder: Path | None = None
) -> tuple[SimulatedCluster, dict[str, str]]:
    """Runs a timeline until 8 s after its last line.

    Returns the cluster and the answer to each command: ok, held by a gate, none (outcome unknown) or silent
    (no answer).  With a folder the disks are real files there.
    """
    lines = [line for line in text.splitlines() if "|" in line]
    title, body = lines[0], lines[1:]
    words = [(m.start(), m[0]) for m in re.finditer(r"\S+", title) if m.start() > title.index("|")]
    starts = [(start, name.strip("()")) for start, name in words]
    addresses = {name: f"10.0.0.{n + 1}:80" for n, (_, name) in enumerate(starts)}
    absent = [addresses[name.strip("()")] for _, name in words if name.startswith("(")]
    cluster = SimulatedCluster(addresses.values(), seed, min_replicas, seeds, folder, absent)
    answers: dict[str, str] = {}
    last = 0
    for line in body:
        at = int(line.partition("|")[0]) * 1000
        last = max(last, at)
        for n, (start, name) in enumerate(starts):
            end = starts[n + 1][0] if n + 1 < len(starts) else len(line)
            cell = line[start:end].strip()
            if cell:
                host = cluster.hosts[addresses[name]]
                if cell in ("leave", "replaced"):
                    cell = f"{cell} {name}"
                cluster.later(
                    at, lambda host=host, cell=cell, line=line: _do(cluster, host, cell, line, answers)
                )
    cluster.run(last + 8_000_000)
    return cluster, answers


def _do(cluster: SimulatedCluster, host: Host, cell: str, line: str, answers: dict[str, str]) -> None:
    word, *rest = cell.split()
    hosts = list(cluster.hosts.values())
    named = [hosts["ABCDEFGH".index(name)] for name in rest[0]] if word in LINKS and rest else hosts
    others = [other for other in named if other is not host]
    out_of, into = [(host.name, one.name) for one in others], [(one.name, host.name) for one in others]
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
    elif word in ("order", "read"):
        _order(host, cell, answers)
    elif word in ("leave", "replaced", "rejoin"):
        assert host.replica is not None
        if word == "rejoin":
            host.replica.rejoin()
        else:
            answers[rest[0]] = host.replica.leave(word == "replaced", cluster.now)
    elif word in ("down", "wipe"):
        host.stop(wipe=word == "wipe")
    elif word == "damage":
        host.stop(damage=rest[0])
    elif word == "up":
        host.start()
    elif word == "cut":
        cluster.cut([*out_of, *into])
    elif word == "mute":
        cluster.cut(out_of)
    elif word == "deaf":
        cluster.cut(into)
    elif word in ("hold", "holdout", "holdin"):
        cluster.hold({"hold": [*out_of, *into], "holdout": out_of, "holdin": into}[word])
    elif word == "heal":
        cluster.heal()
    elif word == "stall":
        host.stalled_until = cluster.now + int(rest[0]) * 1000
    elif word == "freeze":
        host.frozen_until = cluster.now + int(rest[0]) * 1000
    else:
        _look(cluster, host, word, rest, line)


def _order(host: Host, cell: str, answers: dict[str, str]) -> None:
    """Answers to `read` are the version; others are `ok` or the refusal."""
    answers.setdefault(cell, "silent")
    version = cell.partition(" ")[2]
    body = f'{{"Apply":{{"Plants":[{{"Name":"p","Revision":"r{version}"}}]}}}}'

    def done(result: Any) -> None:
        match result:
            case None:
                answers[cell] = "none"
            case CommandDone():
                answers[cell] = "ok"
            case Configuration(layout):
                answers[cell] = ",".join(plant["Revision"] for plant in layout["Plants"])
            case _:
                answers[cell] = str(result)

    host.ask(Amend(body) if version else Read(), done)


def _look(cluster: SimulatedCluster, host: Host, word: str, rest: list[str], line: str) -> None:
    member = host.replica
    if member is None:
        raise Broken(f"it is down: {line}")
    found = {
        "head": lambda: member.chain.head == host.name and member.agreement.is_member,
        "in": lambda: member.agreement.is_member and member.chain.has_snapshot,
        "out": lambda: not member.agreement.is_member,
        "has": lambda: ("key", rest[0]) in member.chain.rows,
        "lacks": lambda: ("key", rest[0]) not in member.chain.rows,
        "serves": lambda: member.serves(cluster.now),
        "away": lambda: not member.serves(cluster.now),
        "idle": lambda: cluster.now - cluster.served.get(host.name, 0) >= int(rest[0]) * 1000,
    }[word]()
    if not found:
        raise Broken(f"{word} {' '.join(rest)} does not hold at {host.name}, {member.agreement.view}: {line}")
