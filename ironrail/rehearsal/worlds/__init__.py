"""Families of generated scenarios with production-like load; each seed gives an ordinary scenario."""

from ironrail.rehearsal.worlds.families import FAMILIES, family_scenario

__all__ = ["FAMILIES", "family_scenario"]
