"""The orders to a process of hollow proxies and its reports, as lines of JSON over its stdin and stdout.

Each order gets one report.  Times are nanoseconds of the machine's steady clock, which all processes share.
"""

from __future__ import annotations

import msgspec

HOST = "h.example"
CHANGED_ROUTE = "s0-0"  # that the runs change, by its timeout
CHANGED_PATH = f"/{CHANGED_ROUTE}/x"


class Begin(msgspec.Struct, tag="begin", frozen=True):
    """Start all proxies, or start them anew with nothing known, spread over `over_s` seconds.  Reported by
    `Reached`, once each knows `upstreams` upstreams."""

    upstreams: int
    over_s: float


class AwaitRoute(msgspec.Struct, tag="route", frozen=True):
    """Reported by `Reached`, once the route that the runs change had this timeout at each proxy."""

    timeout_us: int


class RunClaims(msgspec.Struct, tag="claims", frozen=True):
    """Claim new keys for so long, so many at once over all proxies of the process.  Reported by `Claimed`."""

    seconds: float
    at_once: int
    tag: str


class Die(msgspec.Struct, tag="die", frozen=True):
    """End one proxy without a word.  Reported by `Reached`."""

    ip: str


class AwaitSuspected(msgspec.Struct, tag="suspected", frozen=True):
    """Reported by `Reached`, once each proxy has taken this machine for silent."""

    ip: str


class End(msgspec.Struct, tag="end", frozen=True):
    """End the process.  No report."""


class AskHealth(msgspec.Struct, tag="health", frozen=True):
    """Reported by `Health`."""


Order = Begin | AwaitRoute | RunClaims | Die | AwaitSuspected | AskHealth | End


class Reached(msgspec.Struct, tag="reached", frozen=True):
    """When each proxy got there; -1: it had not when the wait was given up."""

    at_ns: tuple[int, ...]


class Claimed(msgspec.Struct, tag="claimed", frozen=True):
    """Microseconds that each granted claim took; those that were refused or had no answer in time."""

    took_us: tuple[int, ...]
    refused: int
    unanswered: int


class Health(msgspec.Struct, tag="health", frozen=True):
    """Whether the process keeps up, as proxies that share a loop hold each other up.

    `datagrams`: that came to its proxies since the start.  `longest_stall_ms`: by which a timer was late
    since the last report.  `suspected`: machines that anybody suspects by now.  `fewest_known`: upstreams.
    """

    datagrams: int
    longest_stall_ms: float
    suspected: int
    fewest_known: int


Report = Reached | Claimed | Health


class HollowPlan(msgspec.Struct, frozen=True):
    """What a process of hollow proxies is told at its start, as its only argument."""

    port: int
    seeds: tuple[str, ...]
    feedback_us: int
    late_us: int  # without signs of life for so long, a proxy is suspected
    proxies: tuple[tuple[str, str, str], ...]  # address, zone, service
