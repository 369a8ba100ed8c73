"""Families of worlds as hard as service is, each drawn from its seed: an ordinary scenario once drawn."""

from ironrail.rehearsal.worlds.families import FAMILIES, family_world

__all__ = ["FAMILIES", "family_world"]
