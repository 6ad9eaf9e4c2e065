"""Configuration changes as operators write them, and operators in simulated time.

An operator knows only the answers that it received.  A call without an answer is given up after a second and
sent again to another replica; any rejection ends it.
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

CALL_TIMEOUT_US = 1_000_000
RETRY_DELAY_US = 50_000


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
    removed_routes, removed_plants = (
        [{"Name": name, "Revision": f"r{version}"} for name, version in names]
        for names in (drop, drop_plants)
    )
    remove = {"Routes": removed_routes, "Plants": removed_plants}
    return json.dumps({"Apply": {"Plants": list(plants), "Hosts": hosts}, "Remove": remove})


@dataclass(eq=False)
class Sent:
    """A change that an operator has sent.  `status`: of the answer that ended its call; 0: none yet."""

    body: str
    status: int = 0
    tries: int = 0
    on_end: list[Callable[[], None]] = field(default_factory=list)


class Operator:
    """Sends changes to replicas until each is answered."""

    def __init__(self, cluster: SimulatedCluster, seed: int) -> None:
        self.cluster, self._rng = cluster, random.Random(f"operator {seed}")

    def send(self, body: str, hosts: Sequence[Host] = ()) -> Sent:
        """Sends a change to these hosts in turn, then to random ones."""
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
                self.cluster.later(RETRY_DELAY_US, lambda: self._try(sent, hosts))

        def give_up() -> None:
            if not over:
                host.withdraw(number)
                ended(0)

        number = host.ask(Amend(sent.body), lambda result: ended(answer_to(result)[0]), OPERATOR_TIMEOUT_US)
        self.cluster.later(CALL_TIMEOUT_US, give_up)
