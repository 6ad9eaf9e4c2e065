"""What a resource says in this program's terms: between the messages and the stream's state machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from brackengate.installation.schema import Pool, Route, Upstream

Faults = list[str]
MOST_FAULTS = 20  # of one resource


class Kind(Enum):
    """Resource types, by their URL, in the order in which they are asked for."""

    CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
    ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    ROUTES = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"


@dataclass(slots=True)
class Cluster:
    """A pool without its upstreams, or with them where the cluster is static."""

    name: str
    pool: Pool
    eds_name: str = ""  # empty: it has its upstreams itself


@dataclass(slots=True)
class Translated:
    """One resource: its name, and its value or what is wrong with it."""

    name: str
    value: Cluster | tuple[Upstream, ...] | tuple[Route, ...] | None = None
    faults: Faults = field(default_factory=list)

    def fault(self, what: str) -> None:
        if len(self.faults) < MOST_FAULTS:
            self.faults.append(f"{self.name or '(no name)'}: {what}")
