"""Connections to cache servers and to the origin, and the pools of them."""
