"""Orders as operators write them, and operators in simulated time, who know nothing but the answers they got.

A call without an answer is given up after a second and sent again to another replica; any refusal ends it.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from simulated_cluster import Host, SimulatedCluster

from brackengate.control.commands import OPERATOR_TIMEOUT_US
from brackengate.control.operator_api import answer_to
from brackengate.protocol.messages import Amend

PATIENCE = 1_000_000
PAUSE = 50_000


def plant(name: str, version: int, path: str = "/health") -> dict[str, Any]:
    return {"Name": name, "HealthPath": path, "Revision": f"r{version}"}


def route(name: str, version: int, to: str = "p", at: str = "", cutoff: str = "500ms") -> dict[str, Any]:
    fields = {"Name": name, "PathPrefix": at or f"/{name}/", "SignalKind": "idempotent", "Cutoff": cutoff}
    return {**fields, "Plant": to, "Revision": f"r{version}"}


def order(
    *routes: dict[str, Any],
    plants: Sequence[dict[str, Any]] = (),
    drop: Sequence[tuple[str, int]] = (),
    drop_plants: Sequence[tuple[str, int]] = (),
) -> str:
    hosts = [{"Host": "h.example", "Paths": list(routes)}] if routes else []
    routes_dropped, plants_dropped = (
        [{"Name": name, "Revision": f"r{version}"} for name, version in names]
        for names in (drop, drop_plants)
    )
    remove = {"Routes": routes_dropped, "Plants": plants_dropped}
    return json.dumps({"Apply": {"Plants": list(plants), "Hosts": hosts}, "Remove": remove})


@dataclass(eq=False)
class Sent:
    """One order in an operator's hands.  `status`: of the answer that ended its call; 0: none yet."""

    body: str
    status: int = 0
    tries: int = 0
    on_end: list[Callable[[], None]] = field(default_factory=list)


class Operator:
    def __init__(self, cluster: SimulatedCluster, seed: int) -> None:
        self.cluster, self._rng = cluster, random.Random(f"operator {seed}")

    def send(self, body: str, hosts: Sequence[Host] = ()) -> Sent:
        """`hosts`: where it is tried, in their order; else anywhere."""
        sent = Sent(body)
        self._try(sent, list(hosts))
        return sent

    def _try(self, sent: Sent, hosts: list[Host]) -> None:
        host = hosts.pop(0) if hosts else self._rng.choice(list(self.cluster.hosts.values()))
        sent.tries += 1
        over = False

        def ended(status: int) -> None:
            nonlocal over
            if over:
                return
            over = True
            if status in (200, 400, 409):
                sent.status = status
                for do in sent.on_end:
                    do()
            else:
                self.cluster.later(PAUSE, lambda: self._try(sent, hosts))

        def gives_up() -> None:
            if not over:
                host.withdraw(number)
                ended(0)

        number = host.ask(Amend(sent.body), lambda result: ended(answer_to(result)[0]), OPERATOR_TIMEOUT_US)
        self.cluster.later(PATIENCE, gives_up)
