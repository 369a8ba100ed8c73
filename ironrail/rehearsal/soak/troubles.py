"""What a soak adds to a scenario's faults: signals in series, and crowds of idle clients. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from ironrail.rehearsal.draws import stream
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearsal.scenario.model import Scenario
from ironrail.rehearsal.scenario.names import router_names
from ironrail.rehearsal.soak.world import RESTARTS_UNTIL_SECONDS

SECOND_TERM_SHARE = 0.5  # of restarts
MAX_SECOND_TERM_SECONDS = 1.2  # after the first: later few requests are left
EARLY_TERM_SHARE = 0.7  # of restarts that leave time for one
EARLY_TERM_UNTIL_SECONDS = 6.0  # of restarts: a second shutdown has to fit in
MAX_EARLY_TERM_SECONDS = 0.5  # after the process started, in which it may or may not be ready
CROWD_SHARE = 0.5  # of worlds
CROWDS = (1, 2)  # routers of such a world, at the fewest and at the most
CROWD_SECONDS = (3.0, 6.0)


@dataclass(frozen=True, slots=True)
class SecondTerm:
    """A SIGTERM to a router that has been told to end already."""

    at: float  # seconds from the start of the load
    router: str


@dataclass(frozen=True, slots=True)
class Crowd:
    """Idle clients that take all the descriptors of a router."""

    at: float  # seconds from the start of the load
    router: str
    connections: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Troubles:
    """All of one seed."""

    second_terms: tuple[SecondTerm, ...]
    early_terms: dict[str, float]  # seconds after its restart in which a router is told to end again
    crowds: tuple[Crowd, ...]


def draw_troubles(seed: int, scenario: Scenario) -> Troubles:
    """Draw the troubles of a seed; a second call returns equal ones."""
    return Troubles(
        _draw_second_terms(seed, scenario), _draw_early_terms(seed, scenario), _draw_crowds(seed, scenario)
    )


def _draw_second_terms(seed: int, scenario: Scenario) -> tuple[SecondTerm, ...]:
    draws = stream(seed, "soak.second_terms")
    found = []
    for fault in scenario.faults:
        if fault.kind is FaultKind.ROUTER_RESTART and draws.random() < SECOND_TERM_SHARE:
            after = draws.uniform(0.0, MAX_SECOND_TERM_SECONDS)
            found.append(SecondTerm(fault.at + after, fault.whom))
    return tuple(sorted(found, key=lambda term: term.at))


def _draw_early_terms(seed: int, scenario: Scenario) -> dict[str, float]:
    draws = stream(seed, "soak.early_terms")
    return {
        fault.whom: draws.uniform(0.0, MAX_EARLY_TERM_SECONDS)
        for fault in scenario.faults
        if fault.kind is FaultKind.ROUTER_RESTART
        and fault.at < EARLY_TERM_UNTIL_SECONDS
        and draws.random() < EARLY_TERM_SHARE
    }


def _draw_crowds(seed: int, scenario: Scenario) -> tuple[Crowd, ...]:
    """Draw crowds, two of which may have discovery out meanwhile by a fault of their scenario."""
    draws = stream(seed, "soak.crowds")
    if draws.random() >= CROWD_SHARE:
        return ()
    names = router_names(scenario)
    chosen = draws.sample(names, min(len(names), draws.randint(*CROWDS)))
    return tuple(
        Crowd(
            draws.uniform(0.5, RESTARTS_UNTIL_SECONDS),
            router,
            scenario.routers.descriptors,
            draws.uniform(*CROWD_SECONDS),
        )
        for router in chosen
    )
