"""Shares out more descriptors than it may have."""

from __future__ import annotations

from ironrail.connections.downstream import descriptor_budget

FOUND = "descriptors of a router"
SEED = 1


def break_it() -> None:
    descriptor_budget.NUM_RESERVED_DESCRIPTORS = -200
