"""Divides the file descriptors of the process among its parts."""

from __future__ import annotations

from dataclasses import dataclass

NUM_RESERVED_DESCRIPTORS = 24
"""Descriptors for the log, event loop, listeners, discovery, admin endpoint and routers."""

MAX_ACCEPTS_PER_TURN = 16
"""Connections accepted in one turn of the event loop; more would delay responses in a burst."""

EXPECTED_CLIENT_USE_FRACTION = 1 / 3
"""Fraction of all descriptors that clients, by their own limit, use for requests together.

It determines the sessions that are retained; `DescriptorBudget.clients` limits the open ones.
"""

RETAINED_CLIENT_FRACTION = 5 / 8
"""Fraction of these descriptors; idle sessions beyond it are evicted, to leave some for bursts."""


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Descriptors that each part of the process may have open at a time."""

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
    of the event loop. Until then both are open.
    """
    available = descriptor_limit - NUM_RESERVED_DESCRIPTORS
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
