"""A history drawn as text: a line for each event, a column for each member.  Pure."""

from __future__ import annotations

import textwrap
from typing import Any

import msgspec

from brackengate.model_check.model import Event, Model, State, carry
from brackengate.model_check.vessel import Effect, decode
from brackengate.model_check.workload import FREED, READ
from brackengate.protocol.messages import (
    Accept,
    Accepted,
    Ack,
    Append,
    BallotRejected,
    CommandResult,
    Configuration,
    ConflictingChange,
    EntriesRequest,
    HeldBy,
    InvalidChange,
    Message,
    NewView,
    Ping,
    Pong,
    Prepare,
    Promise,
    Result,
    SnapshotPiece,
    SnapshotRequest,
    Submit,
    UndecidedChange,
    View,
    ViewRequest,
)

WIDTH = 30


def draw(model: Model, history: tuple[Event, ...], breach: str = "") -> str:
    """What each member did at each event; `<-` what it heard, `->` what it said, `=` what came of it."""
    rows: list[dict[str, list[str]]] = []
    state = model.start()
    for event in history:
        rows.append(_cells(model, state, event))
        state = carry(model, state, event)[0]
    title = "     | " + "".join(f"{name:<{WIDTH}}" for name in model.names).rstrip()
    lines = [title, "-" * 5 + "+" + "-" * (len(model.names) * WIDTH)]
    for n, cells in enumerate(rows, 1):
        wrapped = {
            name: [
                part
                for words in cells.get(name, [])
                for part in textwrap.wrap(words, WIDTH - 2, subsequent_indent="   ")
            ]
            for name in model.names
        }
        for line in range(max(map(len, wrapped.values()))):
            shown = (wrapped[name][line] if line < len(wrapped[name]) else "" for name in model.names)
            number = f"{n:>4} " if line == 0 else " " * 5
            lines.append((f"{number}| " + "".join(f"{one:<{WIDTH}}" for one in shown)).rstrip())
    return "\n".join([*lines, f"     | BROKEN: {breach}"] if breach else lines)


def _cells(model: Model, state: State, event: Event) -> dict[str, list[str]]:
    cells: dict[str, list[str]] = {}
    torn = event[0] == "torn"
    what, name, *rest = event[1:] if torn else event
    cells[name] = [_event(model, state, what, name, rest)]
    for who, effect in carry(model, state, event)[1]:
        shown = _effect(effect)
        if shown and shown not in cells.setdefault(who, []):
            cells[who].append(shown)
    if torn:
        cells[name].append("LOSES POWER before its disk has it")
    return cells


def _event(model: Model, state: State, what: str, name: str, rest: list[Any]) -> str:
    other: Any = rest[0] if rest else ""
    match what:
        case "ask":
            return f"is asked: {_asked(other)}"
        case "resend":
            return f"is asked again: {_asked(other)}"
        case "hear":
            return f"<- {other}: {_word(decode(model.first_line(state, other, name)))}"
    return {
        "ping": f"<- {other}: ping, and {other} hears the answer",
        "doubt": f"no longer hears {other}",
        "mend": "looks at who is there",
        "again": "asks again",
        "learn": "asks for what it lacks",
        "have": "says again what it has",
        "power": "LOSES POWER",
        "kill": "IS KILLED, what it wrote is kept",
        "wipe": "LOSES ITS DISK, and stops",
        "start": f"starts, disk {other}",
        "sync": "its disk has a store",
        "lose": f"connection to {other} lost, and new",
        "probe": f"-> {other}: ping",
        "time": "(half a lease of time passes)",
        "freeze": "IS FROZEN",
        "thaw": "wakes",
        "gains": "its clock gains half a lease",
        "loses": "its clock loses half a lease",
        "wait": f"(what {other} said is late)",
    }[what]


def _effect(effect: Effect) -> str:
    match effect:
        case ("tell", addr, line):
            return f"-> {addr}: {_word(decode(line))}"
        case ("answer", number, result):
            return f"= answers {_asked(number)}: {_result(result)}"
        case ("view", view):
            return f"= {_view(view)}" if view.epoch else ""
    return ""


def _asked(number: int) -> str:
    if number > READ:
        return "read"
    return f"take back write {number - FREED}" if number > FREED else f"write {number}"


def _result(result: bytes) -> str:
    match msgspec.json.decode(result, type=CommandResult | None):
        case HeldBy(owner):
            return f"refused, {owner} holds it"
        case Configuration(content):
            return " ".join(one["Revision"] for one in content["Plants"]) or "nothing"
        case InvalidChange(reason) | ConflictingChange(reason) | UndecidedChange(reason):
            return f"refused, {reason}"
        case None:
            return "not known"
    return "ok"


def _view(view: View) -> str:
    return f"view {view.epoch}: {' '.join(member.addr for member in view.members)}"


def _word(word: Message) -> str:
    match word:
        case Prepare(epoch, ballot):
            return f"prepare view {epoch}, ballot {ballot[0]}{ballot[1]}"
        case Promise(epoch, ballot):
            taken = f", took {_view(word.accepted_view)}" if word.accepted_view is not None else ""
            return f"promise for view {epoch}, ballot {ballot[0]}{ballot[1]}{taken}"
        case Accept(_, ballot, view):
            return f"accept {_view(view)}, ballot {ballot[0]}{ballot[1]}"
        case Accepted(epoch, ballot):
            return f"accepted view {epoch}, ballot {ballot[0]}{ballot[1]}"
        case BallotRejected(epoch, ballot):
            return f"view {epoch}: outvoted by {ballot[0]}{ballot[1]}"
        case NewView(view):
            return f"agreed: {_view(view)}"
        case ViewRequest():
            return "which view?"
        case EntriesRequest(epoch, index):
            return f"view {epoch}: has {index if index >= 0 else 'nothing'}"
        case Append(epoch, after, entries):
            return f"view {epoch}: after {after}: {' '.join(str(e.index) for e in entries) or 'nothing'}"
        case SnapshotRequest(_, position):
            return f"copy: what follows bucket {position.bucket} at {position.index}?"
        case SnapshotPiece(_, position):
            return f"copy: up to bucket {position.bucket} at {position.index}"
        case Ack(epoch, index):
            return f"view {epoch}: stored {index}"
        case Submit(_, what):
            return f"do {type(what).__name__.lower()} {getattr(what, 'owner', '')}".rstrip()
        case Result(_, result):
            return f"done: {_result(msgspec.json.encode(result))}"
        case Ping():
            return "ping"
        case Pong():
            return f"answers the ping: view {word.epoch}{', closed' if word.epoch_closed else ''}"
    return type(word).__name__
