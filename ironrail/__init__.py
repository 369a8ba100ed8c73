"""ironrail: the decisions of a router in front of a fleet of cache servers."""

from ironrail.policy.balance import Router

__all__ = ["Router"]
