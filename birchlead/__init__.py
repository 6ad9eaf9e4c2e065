"""birchlead: the decisions of a load balancer for services that call services."""

from birchlead.brain import Balancer

__all__ = ["Balancer"]
