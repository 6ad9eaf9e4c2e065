"""Limits the connections that one client network holds.  No I/O."""

from __future__ import annotations

from collections.abc import Callable


class ConnectionAdmission:
    """Counts open connections by network; `rejected` counts those closed on arrival.

    `network_of` returns the network of a client address.
    """

    def __init__(self, max_connections: int, network_of: Callable[[str], str]) -> None:
        self.max_connections, self.network_of = max_connections, network_of
        self.rejected = 0
        self._open_by_network: dict[str, int] = {}

    def try_admit(self, network: str) -> bool:
        """Count one more connection of the network; False if it is at its limit."""
        open_connections = self._open_by_network.get(network, 0)
        if open_connections >= self.max_connections:
            self.rejected += 1
            return False
        self._open_by_network[network] = open_connections + 1
        return True

    def release(self, network: str) -> None:
        """A connection of the network was closed."""
        open_connections = self._open_by_network.get(network, 0) - 1
        if open_connections > 0:
            self._open_by_network[network] = open_connections
        else:
            self._open_by_network.pop(network, None)
