"""The simulator's line protocol: parses lines into events and formats actions as lines, without I/O."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from brackengate.interface import (
    Action,
    AnswerStarted,
    AttemptEnded,
    CancelAttempt,
    ClientGone,
    Endpoint,
    Event,
    Fail,
    Idempotency,
    KeyScope,
    Lifecycle,
    ListKind,
    LoadReport,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    Release,
    Request,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Tenant,
    TimerFired,
    UpstreamList,
    WatchList,
)

OUTCOMES = {
    "0": Outcome.OK,
    "255": Outcome.ERROR,
    "254": Outcome.REJECTED,
    "253": Outcome.TIMEOUT,
    "252": Outcome.CONNECT_FAILED,
    "251": Outcome.RESET,
    "250": Outcome.CANCELLED,
    "249": Outcome.NOT_SENT,
}
STATES = {"SERVING": Lifecycle.SERVING, "DRAINING": Lifecycle.DRAINING, "DELETED": Lifecycle.GONE}
LIST_KINDS = {
    "patch": ListKind.CHANGES,
    "whole": ListKind.FULL,
    "stale_copy": ListKind.CACHED,
    "broken": ListKind.BROKEN,
}
EFFECTS = {
    "repeatable": Idempotency.REPEATABLE,
    "by_key": Idempotency.KEYED,
    "once": Idempotency.UNSAFE,
}
SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.CELL}


class WireError(ValueError):
    """A line that does not follow the protocol."""


def settings(text: str) -> Settings:
    """Read the start-up settings.  Keys that are missing keep their defaults; unknown ones are skipped."""
    try:
        env = json.loads(text)
    except json.JSONDecodeError as error:
        raise WireError(f"open_instance: the settings are not JSON: {error}") from None
    if not isinstance(env, dict):
        raise WireError("open_instance: the settings are not an object")
    try:
        return _settings(env)
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise WireError(f"open_instance: a setting is not of its kind: {error!r}") from None


def _settings(env: dict[str, Any]) -> Settings:
    limits, rules = env.get("PolicyLimits") or {}, env.get("Invariants") or {}
    prices = env.get("Prices") or {}
    classes = tuple(
        RequestClass(
            name=str(c["Name"]),
            target_latency=int(c.get("AimUs", c.get("DeadlineUs", 1_000_000))),
            deadline=int(c.get("DeadlineUs", 1_000_000)),
            idempotency=EFFECTS.get(str(c.get("Idempotency")), Idempotency.UNSAFE),
            key_scope=SCOPES.get(str(c.get("KeyScope")), KeyScope.CELL),
            key_memory=int(c.get("MemorySpanUs") or 0),
            value=float(c.get("Gain", 1.0)),
            late_value=float(c.get("LateShare") or 0.0),
            target_stretch=float(c.get("AimStretch") or 0.0),
            stream=bool(c.get("Stream", False)),
        )
        for c in env.get("Classes") or ()
    )
    tenants = tuple(
        Tenant(str(t["Name"]), float(t.get("Fraction") or 0.0), float(t.get("QuotaPerS") or 0.0))
        for t in env.get("Customers") or ()
    )
    return Settings(
        classes=classes,
        tenants=tenants,
        balancers=int(env.get("Balancers") or 1),
        tier=int(env.get("Layer") or 0),
        resolution=int(env.get("ResolutionUs") or 1000),
        marks_retry=bool((env.get("Callers") or {}).get("MarksRetry", False)),
        passes_deadline=bool((env.get("FamilyInfo") or {}).get("PassesDeadline", True)),
        list_on_request=env.get("Discovery") == "on_request",
        list_max_age=int(rules.get("AskWithinUs") or 10_000_000),
        release_within=int(rules.get("ReleaseWithinUs") or 0),
        cold_share=float(rules.get("ColdShare", 0.1)),
        cold_time=int(rules.get("ColdUs", 30_000_000)) or 1,  # not given: cold for long
        fall_multiple=float(rules.get("FallMultiple") or 3.0),
        probes=bool(limits.get("Probes", False)),
        cancel=bool(limits.get("Cancel", False)),
        max_attempts=int(limits.get("MaxAttempts") or 1),
        connect_timeout=int(limits.get("ConnectTimeoutUs") or 250_000),
        idle_close=int(limits.get("IdleCloseUs") or 60_000_000),
        max_retry_after=int(limits.get("MaxRetryAfterUs") or 0) if limits.get("RetryAfter") else 0,
        over_quota_value=float(env.get("OverShareWorth", 1.0)),
        probe_price=float(prices.get("Probe") or 0.0),
    )


def text(value: str) -> str:
    """A text value; "-" stands for none."""
    return "" if value == "-" else value


def number(value: str) -> int:
    """A whole number; "-" stands for 0."""
    return 0 if value == "-" else int(value)


def report(value: str) -> LoadReport | None:
    """Read a load report of name:value pairs; unknown names are skipped."""
    if value == "-":
        return None
    in_flight = waiting = utilization = None
    for pair in value.split(","):
        name, _, value_text = pair.partition(":")
        if name == "outstanding":
            in_flight = float(value_text)
        elif name == "backlog":
            waiting = float(value_text)
        elif name == "utilization":
            utilization = float(value_text)
    return LoadReport(in_flight, waiting, utilization)


def endpoint(line: str) -> Endpoint:
    """Read an `item` line of a register."""
    parts = line.split(" ")
    if parts[0] != "item" or len(parts) != 8:
        raise WireError(f"expected 'item' with 7 values, got: {line[:200]}")
    _, started, cell, kind, zone, upstream, state, weight = parts
    try:
        return Endpoint(
            upstream=upstream,
            zone=text(zone),
            kind=text(kind),
            cell=-1 if cell == "-" else int(cell),
            # An upstream in an unknown state receives nothing.
            state=STATES.get(state, Lifecycle.DRAINING),
            weight=1.0 if weight == "-" else float(weight),
            started_at=number(started),
        )
    except ValueError:
        raise WireError(f"a value of 'item' is not of its kind: {line[:200]}") from None


def upstream_list(parts: list[str], registers: dict[int, tuple[Endpoint, ...]]) -> UpstreamList:
    """Read a `registry` line; its endpoints are those of the register that it names."""
    kind = LIST_KINDS.get(parts[1])
    if kind is None:
        raise ValueError("an unknown list kind")
    if kind is ListKind.BROKEN:
        return UpstreamList(kind)
    register = int(parts[3])
    if register not in registers:
        raise ValueError(f"no register has the number {register}")
    return UpstreamList(kind, registers[register], number(parts[2]))


def _request(p: list[str]) -> Request:
    return Request(
        request=p[1],
        class_name=p[6],
        deadline=int(p[5]),
        tenant=text(p[7]),
        key=text(p[3]),
        is_retry=p[2] == "1",
        is_write=p[4] == "1",
        work_hint=number(p[8]),
    )


def _outcome(value: str) -> Outcome:
    # An unknown outcome proves nothing: it counts as an error.
    return OUTCOMES.get(value) or OUTCOMES["255"] if value.isdigit() else _invalid_outcome(value)


def _invalid_outcome(value: str) -> Outcome:
    raise ValueError(f"not an outcome: {value}")


def _attempt_ended(p: list[str]) -> AttemptEnded:
    return AttemptEnded(p[1], int(p[2]), p[3], _outcome(p[4]), number(p[5]), p[6] == "1", report(p[7]))


def _probe_ended(p: list[str]) -> ProbeEnded:
    return ProbeEnded(p[3], _outcome(p[1]), number(p[2]), report(p[4]))


EVENTS: dict[str, tuple[int, Callable[[list[str]], Event]]] = {
    "call": (8, _request),
    "reply": (7, _attempt_ended),
    "echo": (4, _probe_ended),
    "fired": (1, lambda p: TimerFired(int(p[1]))),
    "opened": (4, lambda p: AnswerStarted(p[1], int(p[2]), p[3], number(p[4]))),
    "timed_out_client": (1, lambda p: ClientGone(p[1])),
    "whisper": (2, lambda p: PeerMessage(int(p[1]), bytes.fromhex(text(p[2])))),
}


def event(line: str) -> Event:
    """Read an event line; those of processes and lists are read by the adapter."""
    parts = line.split(" ")
    known = EVENTS.get(parts[0])
    if known is None:
        raise WireError(f"unknown message: {line[:200]}")
    count, read = known
    if len(parts) != count + 1:
        raise WireError(f"expected '{parts[0]}' with {count} values, got {len(parts) - 1}: {line[:200]}")
    try:
        return read(parts)
    except ValueError as error:
        raise WireError(f"a value of '{parts[0]}' is not of its kind ({error}): {line[:200]}") from None


def action_line(action: Action) -> str:
    """Format an action as a line of the reply."""
    match action:
        case Send():
            return f"relay {action.request} {action.until} {action.upstream}"
        case Probe():
            return f"test {action.upstream}"
        case Release():
            return f"let_go {action.upstream}"
        case SetTimer():
            return f"remind {action.delay} {action.token}"
        case CancelAttempt():
            return f"drop_attempt {action.request} {action.attempt}"
        case Refuse():
            return f"push_back {action.request} {action.retry_after}"
        case Fail():
            return f"give_up {action.request}"
        case WatchList():
            return f"watch {int(action.on)}"
