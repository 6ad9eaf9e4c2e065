"""The commands that clients submit in one search: claims of a key, or orders of the operator.  Pure."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

import msgspec

from brackengate.protocol.messages import Amend, Claim, Command, Read, Unclaim

FREED, READ = 50, 100  # first numbers of undone writes and of reads; writes start at 1
Rows = dict[tuple[str, str], tuple[int, bytes]]  # as on a disk: log index and value


class Workload(ABC):
    """A set of commands.  Writes are numbered from 1."""

    max_writes = READ  # number of writes available
    frees = False  # whether a write can be undone

    @abstractmethod
    def write(self, number: int) -> Command:
        """The write with this number."""
        ...

    @abstractmethod
    def held(self, rows: Rows, writes: int) -> frozenset[int]:
        """The writes up to that number that these rows contain, or that later ones superseded."""

    def in_force(self, rows: Rows, writes: int) -> frozenset[int]:
        """The writes up to that number whose exact values these rows contain."""
        return self.held(rows, writes)

    @abstractmethod
    def conflict(self, one: int, other: int) -> str:
        """The reason why these two may not both be acknowledged; empty if they may."""

    def command(self, number: int) -> Command:
        """The write, undo or read with this number."""
        if number > READ:
            return Read()
        if number > FREED:
            return Unclaim("k", f"g{number - FREED}", "1")
        return self.write(number)


class Claims(Workload):
    """Claims of one key by different proxies."""

    frees = True

    def write(self, number: int) -> Command:
        return Claim("k", f"g{number}", "1")

    def held(self, rows: Rows, writes: int) -> frozenset[int]:
        row = rows.get(("key", "k"))
        value = msgspec.json.decode(row[1]) if row is not None else None
        return frozenset(number for number in range(1, writes + 1) if value == [f"g{number}", "1"])

    def conflict(self, one: int, other: int) -> str:
        return f"writes {min(one, other)} and {max(one, other)} were both granted the key"


class Versions(Workload):
    """Versions of one service."""

    def write(self, number: int) -> Command:
        return Amend(f'{{"Apply":{{"Plants":[{{"Name":"p","Revision":"r{number}"}}]}}}}')

    def held(self, rows: Rows, writes: int) -> frozenset[int]:
        return frozenset(range(1, _version(rows, "plant", "p") + 1))

    def conflict(self, one: int, other: int) -> str:
        return ""


class SameVersion(Workload):
    """Orders that set one service to different contents under one version."""

    def write(self, number: int) -> Command:
        plant = {"Name": "p", "HealthPath": f"/{number}", "Revision": "r1"}
        return Amend(msgspec.json.encode({"Apply": {"Plants": [plant]}}).decode())

    def held(self, rows: Rows, writes: int) -> frozenset[int]:
        body = _item(rows, "plant", "p")[2]
        return frozenset(n for n in range(1, writes + 1) if body and body["HealthPath"] == f"/{n}")

    def conflict(self, one: int, other: int) -> str:
        return f"orders {min(one, other)} and {max(one, other)} differ under one version; both are confirmed"


class Overtaken(Workload):
    """1: service p, and a route to it; 2: service q, and the route moves to it; 3: service p is removed."""

    max_writes = 3

    def write(self, number: int) -> Command:
        match number:
            case 1:
                order: dict[str, Any] = {"Apply": _route_to("p", 1)}
            case 2:
                order = {"Apply": _route_to("q", 2)}
            case _:
                order = {"Remove": {"Plants": [{"Name": "p", "Revision": "r2"}]}}
        return Amend(msgspec.json.encode(order).decode())

    def held(self, rows: Rows, writes: int) -> frozenset[int]:
        service, route = _version(rows, "plant", "p"), _version(rows, "route", "x")
        stands = {1: service >= 1 and route >= 1, 2: route >= 2, 3: service >= 2}
        return frozenset(number for number, holds in stands.items() if holds and number <= writes)

    def in_force(self, rows: Rows, writes: int) -> frozenset[int]:
        service, route = _version(rows, "plant", "p"), _version(rows, "route", "x")
        stands = {1: service == 1 or route == 1, 2: route == 2, 3: service == 2}
        return frozenset(number for number, holds in stands.items() if holds and number <= writes)

    def conflict(self, one: int, other: int) -> str:
        return ""


def _route_to(service: str, version: int) -> dict[str, Any]:
    revision = f"r{version}"
    path = {
        "Name": "x",
        "PathPrefix": "/",
        "SignalKind": "idempotent",
        "Cutoff": "1s",
        "Plant": service,
        "Revision": revision,
    }
    plant = {"Name": service, "Revision": revision if service == "q" else "r1"}
    return {"Plants": [plant], "Hosts": [{"Host": "h", "Paths": [path]}]}


def _item(rows: Rows, kind: str, name: str) -> tuple[int, str, dict[str, Any] | None]:
    row = rows.get((kind, name))
    version, host, body = msgspec.json.decode(row[1]) if row is not None else (0, "", None)
    return version, host, body


def _version(rows: Rows, kind: str, name: str) -> int:
    return _item(rows, kind, name)[0]


WORKLOADS: dict[str, Workload] = {
    "claims": Claims(),
    "versions": Versions(),
    "same-version": SameVersion(),
    "overtaken": Overtaken(),
}
