"""How the descriptors of the process are divided among its parts."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS_COUNT = 24
"""For the log, event loop, listeners, discovery, admin endpoint and other routers."""

MAX_ACCEPTS_PER_TURN = 16
"""Connections accepted in one turn of the event loop: a burst must not delay responses."""

EXPECTED_CLIENT_USE_FRACTION = 1 / 3
"""Of all descriptors: what clients, by their own limit, keep open for requests together.

The sessions that are retained follow from it. How many may be open is `clients` below.
"""

RETAINED_CLIENT_FRACTION = 5 / 8
"""Of the clients' descriptors: idle sessions beyond it are evicted to leave some for bursts."""


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """What each part of the process may have open at a time."""

    servers: int
    """Connections to all servers, including those being opened."""
    clients: int
    """Connections of clients."""
    retained_clients: int
    """Used connections of clients, beyond which idle ones are evicted."""
    lingering: int
    """Connections that are shut down for writing and not yet closed."""
    accepts_per_turn: int
    """Connections accepted in one turn of the event loop."""


def allocate_descriptors(descriptor_limit: int) -> DescriptorBudget:
    """Divide the descriptors of the process.

    Each accepted connection may evict another one, whose descriptor is free only in the next turn
    of the event loop. Until then both count beside all others.
    """
    available = descriptor_limit - RESERVED_DESCRIPTORS_COUNT
    servers = available // 3
    clients = (available - servers) * 3 // 4  # half of all; the rest is for closing connections
    transient = available - servers - clients
    accepts_per_turn = max(1, min(MAX_ACCEPTS_PER_TURN, transient // 4))
    return DescriptorBudget(
        servers=servers,
        clients=clients,
        retained_clients=int(
            descriptor_limit * EXPECTED_CLIENT_USE_FRACTION * RETAINED_CLIENT_FRACTION
        ),
        lingering=transient - 2 * accepts_per_turn,
        accepts_per_turn=accepts_per_turn,
    )
