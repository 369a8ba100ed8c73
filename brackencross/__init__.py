"""brackencross: the decisions of a router in front of a fleet of cache servers."""

from brackencross.balance import Router

__all__ = ["Router"]
