"""The names of a scenario's caches and routers, and the zone of each."""

from __future__ import annotations

from ironrail.rehearsal.scenario.model import Scenario


def cache_names(scenario: Scenario) -> list[str]:
    return [f"cache-{n + 1}" for n in range(scenario.caches.count)]


def router_names(scenario: Scenario) -> list[str]:
    return [f"router-{n + 1}" for n in range(scenario.routers.count)]


def zone_of(scenario: Scenario, number: int) -> str:
    """Return the zone of a cache or router by its number; zones are assigned round-robin."""
    return scenario.halls.names[number % len(scenario.halls.names)]
