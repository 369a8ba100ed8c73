"""ironrail: a router daemon in front of a fleet of cache servers."""

from ironrail.policy.router import Router

__all__ = ["Router"]
