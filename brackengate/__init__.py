"""brackengate: the decisions of a load balancer for services that call services."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from brackengate.balancer import Balancer

__all__ = ["Balancer"]


def __getattr__(name: str) -> Any:
    """Guards against the cost of the module where it is not used: a lighthouse's start is charged."""
    if name == "Balancer":
        from brackengate.balancer import Balancer

        return Balancer
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
