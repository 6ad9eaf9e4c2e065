"""brackengate: the decisions of a load balancer for calls between services."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from brackengate.balancer import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> Any:
    """Import the balancer on first use: control replicas do not need it, and their start has to be short."""
    if name == "Balancer":
        from brackengate.balancer import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
