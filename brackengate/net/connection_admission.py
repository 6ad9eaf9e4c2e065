"""A bound on the connections that one network holds.  Pure."""

from __future__ import annotations

from collections.abc import Callable


class ConnectionAdmission:
    """How many connections one network may hold.  `turned`: those that were closed as they came."""

    def __init__(self, max_connections: int, network_of: Callable[[str], str]) -> None:
        self.max_connections, self.network_of = max_connections, network_of
        self.rejected = 0
        self._open_by_network: dict[str, int] = {}

    def try_admit(self, network: str) -> bool:
        """Count one more, if it has room."""
        held = self._open_by_network.get(network, 0)
        if held >= self.max_connections:
            self.rejected += 1
            return False
        self._open_by_network[network] = held + 1
        return True

    def release(self, network: str) -> None:
        held = self._open_by_network.get(network, 0) - 1
        if held > 0:
            self._open_by_network[network] = held
        else:
            self._open_by_network.pop(network, None)
